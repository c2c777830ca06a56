/*
 * The attempt machine: a script of events gives a list of actions.
 *
 * An event is a letter and the attempt's number: s sending, h head, d data,
 * w whole, r refused by contract, f reset, c cannot connect, p paused,
 * q resumed. "g" is the caller gone, "tN" a tick N ms after the start.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/attempt.h"

#define START_MS 1000u

typedef struct case_row {
	const char *name;
	at_repeat_t repeat;
	const char *script;
	const char *actions;
} case_row_t;

static const at_attempt_limits_t limits = {.connect_ms = 100,
    .first_byte_ms = 400,
    .idle_ms = 300,
    .hedge_ms = 200,
    .deadline_ms = 2000,
    .attempts_max = 3};

static const case_row_t cases[] = {
    {"whole", AT_REPEAT_ANY, "s0 h0 d0 w0", "start0 deliver0 none/ran/0"},
    {"stream", AT_REPEAT_ANY, "s0 h0 d0 d0 w0",
	"start0 deliver0 deliver0 none/ran/0"},
    {"reset before a byte of the answer", AT_REPEAT_ANY, "s0 f0 s1 d1 w1",
	"start0 start1 deliver1 none/ran/0"},
    {"reset in mid-stream", AT_REPEAT_ANY, "s0 d0 f0",
	"start0 deliver0 backend_reset/may_have_run/1000"},
    {"whole answer truncated", AT_REPEAT_IDEMPOTENT, "s0 h0 h0 f0 s1 d1 w1",
	"start0 start1 deliver1 none/ran/0"},
    {"once: reset after it left", AT_REPEAT_ONCE, "s0 f0",
	"start0 backend_reset/may_have_run/0"},
    {"once: nothing left", AT_REPEAT_ONCE, "c0 s1 w1",
	"start0 start1 none/ran/0"},
    {"once: refused by contract", AT_REPEAT_ONCE, "s0 r0 s1 f1",
	"start0 start1 backend_reset/may_have_run/0"},
    {"once: never hedged", AT_REPEAT_ONCE, "s0 t250 t399 t401",
	"start0 cancel0 first_byte_timeout/may_have_run/0"},
    {"no connection three times", AT_REPEAT_ANY, "c0 c1 c2",
	"start0 start1 start2 connect_failed/not_run/1000"},
    {"refused three times", AT_REPEAT_ONCE, "s0 r0 s1 r1 s2 r2",
	"start0 start1 start2 refused_by_backend/not_run/1000"},
    {"a possible run is told first", AT_REPEAT_ANY, "s0 f0 c1 c2",
	"start0 start1 start2 backend_reset/may_have_run/1000"},
    {"hedge wins", AT_REPEAT_ANY, "s0 t201 s1 d1 w1",
	"start0 hedge1 cancel0 deliver1 none/ran/0"},
    {"first wins over the hedge", AT_REPEAT_ANY, "s0 t201 s1 h0 w0",
	"start0 hedge1 cancel1 none/ran/0"},
    {"both open attempts fail", AT_REPEAT_ANY, "s0 t201 s1 f1 f0 s2 w2",
	"start0 hedge1 start2 none/ran/0"},
    {"connect limit", AT_REPEAT_ANY, "t101 w1",
	"start0 cancel0 start1 none/ran/0"},
    {"idle limit in mid-stream", AT_REPEAT_ANY, "s0 d0 t301",
	"start0 deliver0 cancel0 idle_timeout/may_have_run/1000"},
    {"a slow caller is not silence", AT_REPEAT_ANY, "s0 d0 p0 t900 q0 w0",
	"start0 deliver0 none/ran/0"},
    {"deadline", AT_REPEAT_ANY, "s0 d0 p0 t2000",
	"start0 deliver0 cancel0 deadline/may_have_run/1000"},
    {"caller gone before it left", AT_REPEAT_ANY, "g",
	"start0 cancel0 caller_gone/not_run/1000"},
    {"caller gone in mid-stream", AT_REPEAT_ANY, "s0 d0 g",
	"start0 deliver0 cancel0 caller_gone/may_have_run/1000"},
};

static void
append(char *out, size_t size, const at_action_t *action)
{
	size_t len = strlen(out);
	const char *space = len > 0 ? " " : "";

	if (action->kind == AT_ACTION_FINISH)
		(void)snprintf(out + len, size - len, "%s%s/%s/%u", space,
		    at_reason_names[action->reason],
		    at_verdict_names[action->verdict], action->retry_after_ms);
	else
		(void)snprintf(out + len, size - len, "%s%s%u", space,
		    action->hedge ? "hedge"
				  : at_action_kind_names[action->kind],
		    action->attempt);
}

static void
pump(at_attempts_t *a, char *out, size_t size, uint64_t now)
{
	at_action_t action;

	while (at_attempts_next_action(a, &action)) {
		append(out, size, &action);
		if (action.kind == AT_ACTION_START)
			cr_assert_eq(
			    at_attempts_on_placed(a, action.attempt, NULL, now),
			    0);
	}
}

static void
event(at_attempts_t *a, char letter, uint32_t n, uint64_t *now)
{
	switch (letter) {
	case 's':
		at_attempts_on_sending(a, n, *now);
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
	case 'g':
		at_attempts_on_caller_closed(a, *now);
		break;
	default:
		*now = START_MS + n;
		at_attempts_tick(a, *now);
		break;
	}
}

/* Of a stream that another backend server may go on with. */
static const case_row_t resumable_cases[] = {
    {"whole", AT_REPEAT_ANY, "s0 h0 d0 w0", "start0 deliver0 none/ran/0"},
    {"resumed after a reset in mid-stream", AT_REPEAT_ANY, "s0 d0 f0 s1 d1 w1",
	"start0 deliver0 start1 deliver1 none/ran/0"},
    {"resumed after silence in mid-stream", AT_REPEAT_ANY,
	"s0 d0 t301 s1 d1 w1",
	"start0 deliver0 cancel0 start1 deliver1 none/ran/0"},
    {"broken off at each", AT_REPEAT_ANY, "s0 d0 f0 s1 d1 f1 s2 d2 f2",
	"start0 deliver0 start1 deliver1 start2 deliver2 "
	"backend_reset/may_have_run/1000"},
    {"deadline between two", AT_REPEAT_ANY, "s0 d0 f0 t2000",
	"start0 deliver0 start1 cancel1 deadline/may_have_run/1000"},
};

static void
run_case(const case_row_t *c, int resumable)
{
	at_attempts_t *a = at_attempts_new();
	const char *p = c->script;
	uint64_t now = START_MS;
	char out[256] = "";

	at_attempts_set_limits(a, &limits);
	at_attempts_set_repeat(a, c->repeat);
	at_attempts_set_resumable(a, resumable);
	at_attempts_init(a, now);
	pump(a, out, sizeof(out), now);
	while (*p != '\0') {
		char letter = *p++;
		char *rest;
		uint32_t n = (uint32_t)strtoul(p, &rest, 10);

		event(a, letter, n, &now);
		pump(a, out, sizeof(out), now);
		p = rest + (*rest == ' ');
	}
	cr_assert_str_eq(out, c->actions, "%s: %s", c->name, out);
	at_attempts_delete(a);
}

Test(attempt, gives_the_actions_of_each_case)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i], 0);
}

Test(attempt, goes_on_with_a_resumable_answer)
{
	size_t count = sizeof(resumable_cases) / sizeof(resumable_cases[0]);
	size_t i;

	for (i = 0; i < count; i++)
		run_case(&resumable_cases[i], 1);
}

/* Silence of the last attempt that there may be ends at the deadline. */
Test(attempt, waits_for_the_last_one_that_may_be)
{
	const at_attempt_limits_t patient = {.first_byte_ms = 400,
	    .idle_ms = 300,
	    .deadline_ms = 2000,
	    .attempts_max = 2,
	    .no_timeout_on_last = 1};
	at_attempts_t *a = at_attempts_new();
	uint64_t now = START_MS;
	char out[256] = "";

	at_attempts_set_limits(a, &patient);
	at_attempts_set_repeat(a, AT_REPEAT_ANY);
	at_attempts_set_resumable(a, 1);
	at_attempts_init(a, now);
	pump(a, out, sizeof(out), now);
	event(a, 's', 0, &now);
	event(a, 'd', 0, &now);
	pump(a, out, sizeof(out), now);
	event(a, 't', 301, &now);
	pump(a, out, sizeof(out), now);
	event(a, 's', 1, &now);
	event(a, 'd', 1, &now);
	pump(a, out, sizeof(out), now);
	event(a, 't', 1500, &now);
	pump(a, out, sizeof(out), now);
	event(a, 'd', 1, &now);
	event(a, 'w', 1, &now);
	pump(a, out, sizeof(out), now);
	cr_assert_str_eq(out,
	    "start0 deliver0 cancel0 start1 deliver1 deliver1 none/ran/0", "%s",
	    out);
	at_attempts_delete(a);
}

Test(attempt, connections_that_fail_neither_count_nor_cost)
{
	const at_attempt_limits_t once = {
	    .deadline_ms = 2000, .attempts_max = 1, .unsent_not_counted = 1};
	at_attempts_t *a = at_attempts_new();
	at_budget_t empty;
	char out[256] = "";
	uint32_t k;

	at_budget_init(&empty, START_MS);
	at_budget_set_limits(&empty, 0, 0);
	at_attempts_set_limits(a, &once);
	at_attempts_set_repeat(a, AT_REPEAT_ONCE);
	at_attempts_set_budget(a, &empty);
	at_attempts_init(a, START_MS);
	pump(a, out, sizeof(out), START_MS);
	for (k = 0; k < 4; k++) {
		at_attempts_on_failed(a, k, AT_REASON_CONNECT_FAILED,
		    AT_VERDICT_NOT_RUN, START_MS);
		pump(a, out, sizeof(out), START_MS);
	}
	cr_assert_str_eq(out,
	    "start0 start1 start2 start3 connect_failed/not_run/1000", "%s",
	    out);
	at_attempts_delete(a);
}

Test(attempt, abandoned_before_it_left_has_not_run)
{
	at_attempts_t *a = at_attempts_new();
	char out[256] = "";

	at_attempts_set_limits(a, &limits);
	at_attempts_set_repeat(a, AT_REPEAT_ONCE);
	at_attempts_init(a, START_MS);
	pump(a, out, sizeof(out), START_MS);
	at_attempts_abandon(a, AT_REASON_STOPPING);
	pump(a, out, sizeof(out), START_MS);
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
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_TRICKLE_MS - 1), -1);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_TRICKLE_MS), 0);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_TRICKLE_MS), -1);
	for (i = 0; i < 10; i++)
		at_budget_add_success(&b);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_TRICKLE_MS), 0);
	cr_assert_eq(at_budget_take(&b, AT_BUDGET_TRICKLE_MS), -1);
}

Test(budget, forgets_names_that_nobody_uses)
{
	at_budgets_t *budgets = at_budgets_new();
	at_budget_t *held = at_budgets_get(budgets, "held", 0);
	at_budget_t *left = at_budgets_get(budgets, "left", 0);

	at_budgets_release(budgets, left, 0);
	at_budgets_release(budgets,
	    at_budgets_get(budgets, "new", AT_BUDGETS_IDLE_MS),
	    AT_BUDGETS_IDLE_MS);
	cr_assert_eq(at_budgets_count(budgets), 2);
	cr_assert_eq(at_budgets_get(budgets, "held", AT_BUDGETS_IDLE_MS), held);
	at_budgets_delete(budgets);
}
