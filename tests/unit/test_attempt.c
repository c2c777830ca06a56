/*
 * The attempt state machine: a script of events gives a list of actions.
 *
 * An event is a letter and the number of the attempt: s sending, h headers,
 * d data, w complete, r refused without a run, f reset, c cannot connect, u not
 * passed on, p paused, q no longer paused, n not placed: it follows the event
 * that starts the attempt. "g" means that the caller has closed its connection,
 * "tN" is a tick N ms after the start.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/attempt.h"

#define START_MS 1000u

typedef struct script {
	const char *name;
	at_repeat_t repeat;
	const char *events;
	const char *actions;
} script_t;

static const at_attempt_limits_t default_limits = {.connect_ms = 100,
    .first_byte_ms = 400,
    .idle_ms = 300,
    .hedge_ms = 200,
    .deadline_ms = 2000,
    .attempts_max = 3};

static const script_t scripts[] = {
    {"complete", AT_REPEAT_ANY, "s0 h0 d0 w0", "start0 deliver0 none/ran/0"},
    {"stream", AT_REPEAT_ANY, "s0 h0 d0 d0 w0",
	"start0 deliver0 deliver0 none/ran/0"},
    {"reset before the first response byte", AT_REPEAT_ANY, "s0 f0 s1 d1 w1",
	"start0 start1 deliver1 none/ran/0"},
    {"reset in mid-stream", AT_REPEAT_ANY, "s0 d0 f0",
	"start0 deliver0 backend_reset/may_have_run/1000"},
    {"buffered response truncated", AT_REPEAT_IDEMPOTENT,
	"s0 h0 h0 f0 s1 d1 w1", "start0 start1 deliver1 none/ran/0"},
    {"once: reset after it was sent", AT_REPEAT_ONCE, "s0 f0",
	"start0 backend_reset/may_have_run/0"},
    {"once: nothing was sent", AT_REPEAT_ONCE, "c0 s1 w1",
	"start0 start1 none/ran/0"},
    {"once: refused without a run", AT_REPEAT_ONCE, "s0 r0 s1 f1",
	"start0 start1 backend_reset/may_have_run/0"},
    {"once: not passed on by another instance", AT_REPEAT_ONCE, "s0 u0 s1 w1",
	"start0 start1 none/ran/0"},
    {"not passed on three times", AT_REPEAT_ONCE, "s0 u0 s1 u1 s2 u2",
	"start0 start1 start2 connect_failed/not_run/1000"},
    {"not passed on after a possible run", AT_REPEAT_ANY, "s0 f0 s1 u1 s2 u2",
	"start0 start1 start2 backend_reset/may_have_run/1000"},
    {"once: never hedged", AT_REPEAT_ONCE, "s0 t250 t399 t401",
	"start0 cancel0 first_byte_timeout/may_have_run/0"},
    {"no connection three times", AT_REPEAT_ANY, "c0 c1 c2",
	"start0 start1 start2 connect_failed/not_run/1000"},
    {"refused three times", AT_REPEAT_ONCE, "s0 r0 s1 r1 s2 r2",
	"start0 start1 start2 refused_by_backend/not_run/1000"},
    {"possible run takes precedence", AT_REPEAT_ANY, "s0 f0 c1 c2",
	"start0 start1 start2 backend_reset/may_have_run/1000"},
    {"hedge is delivered", AT_REPEAT_ANY, "s0 t201 s1 d1 w1",
	"start0 hedge1 cancel0 deliver1 none/ran/0"},
    {"first attempt is delivered", AT_REPEAT_ANY, "s0 t201 s1 h0 w0",
	"start0 hedge1 cancel1 none/ran/0"},
    {"both open attempts fail", AT_REPEAT_ANY, "s0 t201 s1 f1 f0 s2 w2",
	"start0 hedge1 start2 none/ran/0"},
    {"connect time-out", AT_REPEAT_ANY, "t101 w1",
	"start0 cancel0 start1 none/ran/0"},
    {"idle time-out in mid-stream", AT_REPEAT_ANY, "s0 d0 t301",
	"start0 deliver0 cancel0 idle_timeout/may_have_run/1000"},
    {"no time-out while paused", AT_REPEAT_ANY, "s0 d0 p0 t900 q0 w0",
	"start0 deliver0 none/ran/0"},
    {"deadline", AT_REPEAT_ANY, "s0 d0 p0 t2000",
	"start0 deliver0 cancel0 deadline/may_have_run/1000"},
    {"caller closed before sending", AT_REPEAT_ANY, "g",
	"start0 cancel0 caller_gone/not_run/1000"},
    {"caller closed in mid-stream", AT_REPEAT_ANY, "s0 d0 g",
	"start0 deliver0 cancel0 caller_gone/may_have_run/1000"},
};

static void
append_action(char *out, size_t size, const at_action_t *action)
{
	size_t len = strlen(out);
	const char *space = len > 0 ? " " : "";

	if (action->kind == AT_ACTION_FINISH)
		(void)snprintf(out + len, size - len, "%s%s/%s/%u", space,
		    at_reason_names[action->reason],
		    at_verdict_names[action->verdict], action->retry_after_ms);
	else
		(void)snprintf(out + len, size - len, "%s%s%u", space,
		    action->is_hedge ? "hedge"
				     : at_action_kind_names[action->kind],
		    action->attempt);
}

static void
take_actions(
    at_attempts_t *a, char *out, size_t size, uint64_t now, char next_event)
{
	at_action_t action;

	while (at_attempts_next_action(a, &action)) {
		append_action(out, size, &action);
		if (action.kind == AT_ACTION_START && next_event != 'n')
			cr_assert_eq(
			    at_attempts_on_placed(a, action.attempt, NULL, now),
			    0);
	}
}

static void
send_event(at_attempts_t *a, char letter, uint32_t n, uint64_t *now)
{
	switch (letter) {
	case 's':
		at_attempts_on_sending(a, n, *now);
		break;
	case 'u':
		at_attempts_on_not_passed(a, n, *now);
		break;
	case 'h':
		at_attempts_on_headers(a, n, *now);
		break;
	case 'd':
		at_attempts_on_data(a, n, *now);
		break;
	case 'w':
		at_attempts_on_complete(a, n, *now);
		break;
	case 'r':
		at_attempts_on_refused(a, n, *now);
		break;
	case 'f':
		at_attempts_on_failed(a, n, AT_REASON_BACKEND_RESET,
		    AT_VERDICT_MAY_HAVE_RUN, *now);
		break;
	case 'c':
		at_attempts_on_failed(
		    a, n, AT_REASON_CONNECT_FAILED, AT_VERDICT_NOT_RUN, *now);
		break;
	case 'p':
	case 'q':
		at_attempts_on_paused(a, n, letter == 'p', *now);
		break;
	case 'n':
		at_attempts_on_not_placed(a, n, AT_REASON_OVERLOAD, *now);
		break;
	case 'g':
		at_attempts_on_caller_closed(a, *now);
		break;
	default:
		*now = START_MS + n;
		at_attempts_tick(a, *now);
		break;
	}
}

/* Scripts for a stream that another backend server may continue. */
static const script_t resumable_scripts[] = {
    {"complete", AT_REPEAT_ANY, "s0 h0 d0 w0", "start0 deliver0 none/ran/0"},
    {"resumed after a reset in mid-stream", AT_REPEAT_ANY, "s0 d0 f0 s1 d1 w1",
	"start0 deliver0 start1 deliver1 none/ran/0"},
    {"resumed after silence in mid-stream", AT_REPEAT_ANY,
	"s0 d0 t301 s1 d1 w1",
	"start0 deliver0 cancel0 start1 deliver1 none/ran/0"},
    {"reset in every attempt", AT_REPEAT_ANY, "s0 d0 f0 s1 d1 f1 s2 d2 f2",
	"start0 deliver0 start1 deliver1 start2 deliver2 "
	"backend_reset/may_have_run/1000"},
    {"deadline in second attempt", AT_REPEAT_ANY, "s0 d0 f0 t2000",
	"start0 deliver0 start1 cancel1 deadline/may_have_run/1000"},
};

static void
run_script(
    const script_t *script, const at_attempt_limits_t *limits, int resumable)
{
	at_attempts_t *a = at_attempts_new();
	const char *p = script->events;
	uint64_t now = START_MS;
	char out[256] = "";

	at_attempts_set_limits(a, limits);
	at_attempts_set_repeat(a, script->repeat);
	at_attempts_set_resumable(a, resumable);
	at_attempts_init(a, now);
	take_actions(a, out, sizeof(out), now, *p);
	while (*p != '\0') {
		char letter = *p++;
		char *rest;
		uint32_t n = (uint32_t)strtoul(p, &rest, 10);

		send_event(a, letter, n, &now);
		p = rest + (*rest == ' ');
		take_actions(a, out, sizeof(out), now, *p);
	}
	cr_assert_str_eq(out, script->actions, "%s: %s", script->name, out);
	at_attempts_delete(a);
}

Test(attempt, returns_the_actions_of_scripts)
{
	size_t i;

	for (i = 0; i < sizeof(scripts) / sizeof(scripts[0]); i++)
		run_script(&scripts[i], &default_limits, 0);
}

Test(attempt, resumes_an_interrupted_response)
{
	size_t count = sizeof(resumable_scripts) / sizeof(resumable_scripts[0]);
	size_t i;

	for (i = 0; i < count; i++)
		run_script(&resumable_scripts[i], &default_limits, 1);
}

/*
 * Scripts for keeps_silent. "t301" is 1 ms after the idle time-out of an
 * attempt that has just responded at 0 ms.
 */
static const script_t silence_scripts[] = {
    {"the silent attempt goes on", AT_REPEAT_ANY, "s0 d0 t301 s1 d0 w0",
	"start0 deliver0 hedge1 cancel1 deliver0 none/ran/0"},
    {"the other attempt responds", AT_REPEAT_ANY, "s0 d0 t301 s1 d1 w1",
	"start0 deliver0 hedge1 cancel0 deliver1 none/ran/0"},
    {"headers of the other do not end the silent one at once", AT_REPEAT_ANY,
	"s0 d0 t301 s1 h1 t500 d0 w0",
	"start0 deliver0 hedge1 cancel1 deliver0 none/ran/0"},
    {"headers of the other end the silent one in time", AT_REPEAT_ANY,
	"s0 d0 t301 s1 h1 t501 d1 w1",
	"start0 deliver0 hedge1 cancel0 deliver1 none/ran/0"},
    {"the other attempt fails after its headers", AT_REPEAT_ANY,
	"s0 d0 t301 s1 h1 f1 t502 d0 w0",
	"start0 deliver0 hedge1 hedge2 cancel2 deliver0 none/ran/0"},
    {"the other attempt is refused", AT_REPEAT_ANY,
	"s0 d0 t301 s1 r1 s2 r2 d0 w0",
	"start0 deliver0 hedge1 hedge2 deliver0 none/ran/0"},
    {"the other attempt is refused, and none after it", AT_REPEAT_ANY,
	"s0 d0 t301 s1 r1 n2 t602 n2 d0 w0",
	"start0 deliver0 hedge1 hedge2 hedge2 deliver0 none/ran/0"},
    {"the other attempt is not placed", AT_REPEAT_ANY,
	"s0 d0 t301 n1 t602 n1 t903 n1 t1204 n1 t1400 f0 s1 d1 w1",
	"start0 deliver0 hedge1 hedge1 hedge1 hedge1 start1 deliver1 "
	"none/ran/0"},
    {"the silent attempt breaks off", AT_REPEAT_ANY, "s0 d0 t301 s1 f0 d1 w1",
	"start0 deliver0 hedge1 deliver1 none/ran/0"},
    {"both break off", AT_REPEAT_ANY, "s0 d0 t301 s1 f1 f0 s2 d2 w2",
	"start0 deliver0 hedge1 hedge2 deliver2 none/ran/0"},
    {"both are silent", AT_REPEAT_ANY, "s0 d0 t301 s1 t800 d0 w0",
	"start0 deliver0 hedge1 cancel1 deliver0 none/ran/0"},
    {"no other attempt beside the last", AT_REPEAT_ANY,
	"s0 d0 t301 s1 r1 s2 r2 t1300 d0 w0",
	"start0 deliver0 hedge1 hedge2 deliver0 none/ran/0"},
    {"no first byte", AT_REPEAT_ANY, "s0 t401 s1 r1 s2 r2 d0 w0",
	"start0 hedge1 hedge2 deliver0 none/ran/0"},
    {"first byte: its time-out starts anew", AT_REPEAT_ANY,
	"s0 t401 n1 t702 t802 s1 d1 w1",
	"start0 hedge1 hedge1 cancel0 deliver1 none/ran/0"},
    {"a paused attempt is not silent", AT_REPEAT_ANY,
	"s0 d0 p0 t700 q0 t900 t1001 s1 d0 w0",
	"start0 deliver0 hedge1 cancel1 deliver0 none/ran/0"},
    {"a caller that leaves ends both", AT_REPEAT_ANY, "s0 d0 t301 s1 g0",
	"start0 deliver0 hedge1 cancel0 cancel1 caller_gone/may_have_run/1000"},
    {"once: nothing beside it", AT_REPEAT_ONCE, "s0 t401 d0 t801 w0",
	"start0 deliver0 none/ran/0"},
    {"deadline ends both", AT_REPEAT_ANY, "s0 d0 t301 s1 t2000",
	"start0 deliver0 hedge1 cancel0 cancel1 deadline/may_have_run/1000"},
};

Test(attempt, silence_does_not_end_a_response)
{
	const at_attempt_limits_t silence_limits = {.first_byte_ms = 400,
	    .idle_ms = 300,
	    .deadline_ms = 2000,
	    .attempts_max = 3,
	    .unsent_not_counted = 1,
	    .keeps_silent = 1,
	    .takeover_ms = 200};
	size_t count = sizeof(silence_scripts) / sizeof(silence_scripts[0]);
	size_t i;

	for (i = 0; i < count; i++)
		run_script(&silence_scripts[i], &silence_limits, 1);
}

/* The silent attempt goes on while the other one is still queued. */
Test(attempt, a_queued_attempt_that_is_cancelled_refunds_its_retry)
{
	const at_attempt_limits_t silence_limits = {.idle_ms = 300,
	    .deadline_ms = 20000,
	    .attempts_max = 4,
	    .unsent_not_counted = 1,
	    .keeps_silent = 1};
	at_attempts_t *a = at_attempts_new();
	at_budget_t one_retry;
	char out[256] = "";

	at_budget_init(&one_retry, START_MS);
	at_budget_set_limits(&one_retry, AT_BUDGET_RETRY_MILLI, 0);
	at_attempts_set_limits(a, &silence_limits);
	at_attempts_set_repeat(a, AT_REPEAT_ANY);
	at_attempts_set_resumable(a, 1);
	at_attempts_set_budget(a, &one_retry);
	at_attempts_init(a, START_MS);
	take_actions(a, out, sizeof(out), START_MS, '\0');
	at_attempts_on_data(a, 0, START_MS);
	at_attempts_tick(a, START_MS + 301);
	at_attempts_on_data(a, 0, START_MS + 400);
	at_attempts_tick(a, START_MS + 701);
	take_actions(a, out, sizeof(out), START_MS + 701, 'n');
	cr_assert_str_eq(
	    out, "start0 deliver0 hedge1 deliver0 hedge2", "%s", out);
	at_attempts_delete(a);
}

Test(attempt, failed_connections_do_not_count_or_use_the_budget)
{
	const at_attempt_limits_t once_limits = {
	    .deadline_ms = 2000, .attempts_max = 1, .unsent_not_counted = 1};
	at_attempts_t *a = at_attempts_new();
	at_budget_t empty;
	char out[256] = "";
	uint32_t k;

	at_budget_init(&empty, START_MS);
	at_budget_set_limits(&empty, 0, 0);
	at_attempts_set_limits(a, &once_limits);
	at_attempts_set_repeat(a, AT_REPEAT_ONCE);
	at_attempts_set_budget(a, &empty);
	at_attempts_init(a, START_MS);
	take_actions(a, out, sizeof(out), START_MS, '\0');
	for (k = 0; k < 4; k++) {
		at_attempts_on_failed(a, k, AT_REASON_CONNECT_FAILED,
		    AT_VERDICT_NOT_RUN, START_MS);
		take_actions(a, out, sizeof(out), START_MS, '\0');
	}
	cr_assert_str_eq(out,
	    "start0 start1 start2 start3 connect_failed/not_run/1000", "%s",
	    out);
	at_attempts_delete(a);
}

Test(attempt, abandoned_before_sending_has_not_run)
{
	at_attempts_t *a = at_attempts_new();
	char out[256] = "";

	at_attempts_set_limits(a, &default_limits);
	at_attempts_set_repeat(a, AT_REPEAT_ONCE);
	at_attempts_init(a, START_MS);
	take_actions(a, out, sizeof(out), START_MS, '\0');
	at_attempts_abandon(a, AT_REASON_STOPPING);
	take_actions(a, out, sizeof(out), START_MS, '\0');
	cr_assert_str_eq(
	    out, "start0 cancel0 stopping/not_run/1000", "%s", out);
	at_attempts_delete(a);
}

Test(budget, follows_successes_and_time)
{
	at_budget_t b;
	int i;

	at_budget_init(&b, 0);
	for (i = 0; i < 10; i++)
		cr_assert_eq(at_budget_take(&b, 0), 0);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_REFILL_MS - 1), -1);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_REFILL_MS), 0);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_REFILL_MS), -1);
	for (i = 0; i < 10; i++)
		at_budget_add_success(&b);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_REFILL_MS), 0);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_REFILL_MS), -1);
}

Test(budget, removes_names_without_references)
{
	at_budgets_t *budgets = at_budgets_new();
	at_budget_t *used = at_budgets_get(budgets, "used", 0);
	at_budget_t *released = at_budgets_get(budgets, "released", 0);

	at_budgets_release(budgets, released, 0);
	at_budgets_release(budgets,
	    at_budgets_get(budgets, "new", AT_BUDGETS_IDLE_MS),
	    AT_BUDGETS_IDLE_MS);
	cr_assert_eq(at_budgets_count(budgets), 2);
	cr_assert_eq(at_budgets_get(budgets, "used", AT_BUDGETS_IDLE_MS), used);
	at_budgets_delete(budgets);
}
