/*
 * Any order of events for the attempt machine, against an oracle that counts
 * what backend servers truly executed. An input's bytes are operations; a
 * generator seeded by them goes on until OPERATIONS were made.
 * check-args: -seed=1 -runs=4000 -max_len=256 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/attempt.h"
#include "fuzz/operations.h"

#define OPERATIONS 400u /* in one run */
#define REQUESTS 3u     /* open at once */
#define WORKSPACES 1u   /* fewer than backend servers: its budget ends first */
#define BACKENDS 2u
#define STEP_MS 7u /* unit of time that passes */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What is true of one attempt. */
typedef struct truth {
	int open;
	int sent;
	int refused;
	int executed;
	uint64_t sent_at_ms;
	int headed;
	int unsent; /* ended without a connection, nothing had left */
	uint32_t backend;
} truth_t;

/* A budget and what went through it. */
typedef struct ledger {
	at_budget_t budget;
	uint64_t retries;
	uint64_t successes;
} ledger_t;

/* What is true of one request. */
typedef struct request {
	at_attempts_t *machine;
	ledger_t *workspace;
	at_attempt_limits_t limits;
	at_repeat_t repeat;
	int resumable;
	uint64_t began_at_ms;
	truth_t attempts[AT_ATTEMPTS_MAX];
	uint32_t count;
	uint32_t executions;
	uint32_t delivered; /* the attempt that was delivered from */
	int finished;
	at_verdict_t verdict;
} request_t;

typedef struct world {
	operations_t input;
	uint64_t now_ms;
	uint64_t began_at_ms;
	ledger_t workspaces[WORKSPACES];
	ledger_t backends[BACKENDS];
	request_t requests[REQUESTS];
} world_t;

static uint64_t operations;

static uint32_t
draw(world_t *w, uint32_t bound)
{
	return operations_draw(&w->input, bound);
}

static void
check_ledger(const world_t *w, const ledger_t *l)
{
	uint64_t spent = l->retries * AT_BUDGET_RETRY_MILLI;
	uint64_t allowed = AT_BUDGET_MAX_MILLI +
			   l->successes * AT_BUDGET_SUCCESS_MILLI +
			   (w->now_ms - w->began_at_ms) *
			       AT_BUDGET_RETRY_MILLI / AT_BUDGET_TRICKLE_MS;

	CHECK(spent <= allowed);
}

static void
execute(request_t *r, truth_t *t)
{
	if (!t->sent || t->refused || t->executed)
		return;
	t->executed = 1;
	r->executions++;
	CHECK(r->repeat != AT_REPEAT_ONCE || r->executions <= 1);
	CHECK(!r->finished || r->verdict != AT_VERDICT_NOT_RUN);
}

/* No answer was begun, or it broke off and may be gone on with. */
static int
may_deliver_another(const request_t *r)
{
	return r->delivered == AT_ATTEMPT_NONE ||
	       (r->resumable && !r->attempts[r->delivered].open);
}

/* Counts an attempt after the first; with unsent_not_counted once it is sent. */
static void
pay(world_t *w, request_t *r)
{
	r->workspace->retries++;
	check_ledger(w, r->workspace);
}

static void
check_may_start(const request_t *r, const at_action_t *action)
{
	uint32_t open = 0;
	uint32_t counted = 0;
	uint32_t k;

	CHECK(action->attempt == r->count);
	CHECK(r->count < AT_ATTEMPTS_MAX);
	CHECK(may_deliver_another(r));
	CHECK(action->new_connection ||
	      (r->count == 0 && r->repeat != AT_REPEAT_ONCE));
	for (k = 0; k < r->count; k++) {
		const truth_t *t = &r->attempts[k];

		open += (uint32_t)t->open;
		counted +=
		    (uint32_t) !(r->limits.unsent_not_counted && t->unsent);
		CHECK(r->repeat != AT_REPEAT_ONCE || !t->sent || t->refused);
	}
	CHECK(counted < r->limits.attempts_max);
	CHECK(open == (uint32_t)action->hedge);
	CHECK(r->repeat != AT_REPEAT_ONCE || !action->hedge);
}

static void
on_start(world_t *w, request_t *r, const at_action_t *action)
{
	uint32_t k = action->attempt;
	uint32_t backend = draw(w, BACKENDS + 1);
	truth_t *t = &r->attempts[k];

	check_may_start(r, action);
	r->count++;
	memset(t, 0, sizeof(*t));
	if (backend == BACKENDS) {
		at_attempts_on_not_placed(
		    r->machine, k, AT_REASON_NO_BACKEND, w->now_ms);
		return;
	}
	t->backend = backend;
	if (at_attempts_on_placed(
		r->machine, k, &w->backends[backend].budget, w->now_ms) != 0)
		return;
	t->open = 1;
	if (k == 0)
		return;
	if (!r->limits.unsent_not_counted)
		pay(w, r);
	w->backends[backend].retries++;
	check_ledger(w, &w->backends[backend]);
}

/* Could anything follow an attempt that was sent and stays silent? */
static int
silence_is_final(const request_t *r)
{
	if (r->repeat == AT_REPEAT_ONCE)
		return 1;
	if (r->limits.attempts_max == 1 && !r->limits.unsent_not_counted)
		return 1;
	return r->delivered != AT_ATTEMPT_NONE && !r->resumable;
}

static void
on_finish(request_t *r, const at_action_t *action)
{
	uint32_t k;

	r->finished = 1;
	r->verdict = action->verdict;
	CHECK(action->verdict != AT_VERDICT_NOT_RUN || r->executions == 0);
	CHECK((action->verdict == AT_VERDICT_RAN) ==
	      (action->reason == AT_REASON_NONE));
	CHECK(action->verdict != AT_VERDICT_RAN || r->executions > 0);
	if (r->limits.no_timeout_on_last && silence_is_final(r))
		CHECK(action->reason != AT_REASON_FIRST_BYTE_TIMEOUT &&
		      action->reason != AT_REASON_IDLE_TIMEOUT);
	for (k = 0; k < r->count; k++)
		CHECK(!r->attempts[k].open);
}

static void
on_cancel(request_t *r, uint32_t k)
{
	truth_t *t = &r->attempts[k];

	CHECK(t->open);
	t->open = 0;
	t->unsent = !t->sent && at_attempts_reason(r->machine, k) ==
				    AT_REASON_CONNECT_FAILED;
}

static void
pump(world_t *w, request_t *r)
{
	at_action_t action;

	while (at_attempts_next_action(r->machine, &action)) {
		CHECK(!r->finished);
		switch (action.kind) {
		case AT_ACTION_START:
			on_start(w, r, &action);
			break;
		case AT_ACTION_CANCEL:
			on_cancel(r, action.attempt);
			break;
		case AT_ACTION_DELIVER:
			CHECK(r->delivered == action.attempt ||
			      may_deliver_another(r));
			CHECK(r->attempts[action.attempt].executed);
			r->delivered = action.attempt;
			break;
		default:
			on_finish(r, &action);
			break;
		}
	}
	CHECK(r->finished == at_attempts_is_finished(r->machine));
}

static void
begin(world_t *w, request_t *r)
{
	at_attempts_delete(r->machine);
	memset(r, 0, sizeof(*r));
	r->machine = at_attempts_new();
	CHECK(r->machine != NULL);
	r->workspace = &w->workspaces[draw(w, WORKSPACES)];
	r->delivered = AT_ATTEMPT_NONE;
	r->repeat = (at_repeat_t)draw(w, AT_REPEAT_COUNT);
	r->limits.connect_ms = draw(w, 100);
	r->limits.first_byte_ms = draw(w, 200);
	r->limits.idle_ms = draw(w, 200);
	r->limits.hedge_ms = draw(w, 100);
	r->limits.deadline_ms = 1 + 4 * draw(w, 256);
	r->limits.attempts_max = 1 + draw(w, AT_ATTEMPTS_MAX);
	r->limits.unsent_not_counted = (int)draw(w, 2);
	r->limits.no_timeout_on_last = (int)draw(w, 2);
	r->resumable = (int)draw(w, 2);
	r->began_at_ms = w->now_ms;
	at_attempts_set_limits(r->machine, &r->limits);
	at_attempts_set_repeat(r->machine, r->repeat);
	at_attempts_set_resumable(r->machine, r->resumable);
	at_attempts_set_budget(r->machine, &r->workspace->budget);
	at_attempts_init(r->machine, w->now_ms);
	pump(w, r);
}

static void
check_limits(const world_t *w, const request_t *r)
{
	uint32_t k;

	if (r->finished)
		return;
	CHECK(w->now_ms < r->began_at_ms + r->limits.deadline_ms);
	CHECK(at_attempts_due_ms(r->machine) > w->now_ms);
	for (k = 0; k < r->count; k++) {
		const truth_t *t = &r->attempts[k];

		if (t->open && t->sent && !t->headed &&
		    !r->limits.no_timeout_on_last &&
		    r->limits.first_byte_ms != 0)
			CHECK(w->now_ms <
			      t->sent_at_ms + r->limits.first_byte_ms);
	}
}

static void
pass_time(world_t *w, uint32_t steps)
{
	uint32_t i;

	w->now_ms += steps * STEP_MS;
	for (i = 0; i < REQUESTS; i++) {
		request_t *r = &w->requests[i];

		if (r->machine == NULL)
			continue;
		at_attempts_tick(r->machine, w->now_ms);
		pump(w, r);
		check_limits(w, r);
	}
}

static void
fail(world_t *w, request_t *r, uint32_t k)
{
	truth_t *t = &r->attempts[k];
	/* Also what the transfer claims wrongly must not matter. */
	at_verdict_t claimed = (at_verdict_t)draw(w, 2);
	at_reason_t reason = draw(w, 2) == 0 ? AT_REASON_BACKEND_RESET
					     : AT_REASON_CONNECT_FAILED;

	t->open = 0;
	t->unsent = !t->sent && reason == AT_REASON_CONNECT_FAILED;
	at_attempts_on_failed(r->machine, k, reason,
	    t->sent ? claimed : AT_VERDICT_NOT_RUN, w->now_ms);
}

static void
end_whole(world_t *w, request_t *r, uint32_t k)
{
	truth_t *t = &r->attempts[k];

	execute(r, t);
	t->open = 0;
	r->workspace->successes++;
	w->backends[t->backend].successes++;
	at_attempts_on_complete(r->machine, k, w->now_ms);
}

/* One event of an open attempt that has sent its request. */
static void
answer(world_t *w, request_t *r, uint32_t k, uint32_t operation)
{
	truth_t *t = &r->attempts[k];

	switch (operation) {
	case 0:
		execute(r, t);
		t->headed = 1;
		at_attempts_on_headers(r->machine, k, w->now_ms);
		break;
	case 1:
	case 2:
		execute(r, t);
		t->headed = 1;
		at_attempts_on_data(r->machine, k, w->now_ms);
		break;
	case 3:
		end_whole(w, r, k);
		break;
	case 4:
		if (t->executed || t->headed)
			break;
		t->refused = 1;
		t->open = 0;
		at_attempts_on_refused(r->machine, k, w->now_ms);
		break;
	default:
		at_attempts_on_paused(
		    r->machine, k, (int)draw(w, 2), w->now_ms);
		break;
	}
}

static uint32_t
sent_count(const request_t *r)
{
	uint32_t sent = 0;
	uint32_t k;

	for (k = 0; k < r->count; k++)
		sent += (uint32_t)r->attempts[k].sent;
	return sent;
}

static void
operate(world_t *w)
{
	request_t *r = &w->requests[draw(w, REQUESTS)];
	uint32_t operation = draw(w, 16);
	uint32_t k;
	truth_t *t;

	if (r->machine == NULL || (r->finished && operation < 3)) {
		begin(w, r);
		return;
	}
	if (operation == 3) {
		pass_time(w, draw(w, 32));
		return;
	}
	if (operation == 4 && draw(w, 8) == 0) {
		at_attempts_on_caller_closed(r->machine, w->now_ms);
		pump(w, r);
		return;
	}
	if (r->count == 0)
		return;
	k = draw(w, r->count);
	t = &r->attempts[k];
	if (operation == 5) {
		execute(r, t); /* also long after a cancel or the end */
	} else if (!t->open) {
		/* Late events of an ended attempt change nothing. */
		at_attempts_on_data(r->machine, k, w->now_ms);
		at_attempts_on_failed(r->machine, k, AT_REASON_BACKEND_RESET,
		    AT_VERDICT_NOT_RUN, w->now_ms);
	} else if (operation == 6) {
		fail(w, r, k);
	} else if (!t->sent) {
		t->sent = 1;
		t->sent_at_ms = w->now_ms;
		if (r->limits.unsent_not_counted && sent_count(r) > 1)
			pay(w, r);
		at_attempts_on_sending(r->machine, k, w->now_ms);
	} else {
		answer(w, r, k, operation % 6);
	}
	pump(w, r);
}

static void
report(void)
{
	(void)fprintf(
	    stderr, "operations: %llu\n", (unsigned long long)operations);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t w = {.input = operations_of(data, size)};
	uint32_t i;

	if (operations == 0)
		(void)atexit(report);
	w.now_ms = w.began_at_ms = 1;
	for (i = 0; i < WORKSPACES; i++)
		at_budget_init(&w.workspaces[i].budget, w.now_ms);
	for (i = 0; i < BACKENDS; i++)
		at_budget_init(&w.backends[i].budget, w.now_ms);
	for (i = 0; i < OPERATIONS; i++) {
		operate(&w);
		operations++;
	}
	for (i = 0; i < REQUESTS; i++)
		at_attempts_delete(w.requests[i].machine);
	return 0;
}
