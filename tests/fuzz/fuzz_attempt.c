/*
 * Events in any order for the attempt state machine, against an oracle that
 * counts what the backend servers executed. The bytes of an input are
 * operations; a random generator seeded by them continues up to OPERATIONS.
 * check-args: -seed=1 -runs=4000 -max_len=256 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/attempt.h"
#include "fuzz/operations.h"

#define OPERATIONS 400u /* in one run */
#define REQUESTS 3u     /* open at once */
#define WORKSPACES 1u   /* fewer than BACKENDS: its budget ends first */
#define BACKENDS 2u
#define STEP_MS 7u /* unit of simulated time */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The real state of one attempt. */
typedef struct attempt_state {
	int is_open;
	int is_sent;
	int is_refused;
	int is_executed;
	uint64_t sent_at_ms;
	int has_headers;
	int is_unsent; /* ended without a connection, nothing was sent */
	uint32_t backend;
} attempt_state_t;

/* A budget and the events that it counted. */
typedef struct budget_state {
	at_budget_t budget;
	uint64_t retries;
	uint64_t successes;
} budget_state_t;

/* The real state of one request. */
typedef struct request {
	at_attempts_t *machine;
	budget_state_t *workspace;
	at_attempt_limits_t limits;
	at_repeat_t repeat;
	int is_resumable;
	uint64_t started_at_ms;
	attempt_state_t attempts[AT_ATTEMPTS_MAX];
	uint32_t count;
	uint32_t executions;
	uint32_t delivered; /* attempt whose response was delivered last */
	int is_finished;
	at_verdict_t verdict;
} request_t;

typedef struct world {
	operations_t input;
	uint64_t now_ms;
	uint64_t started_at_ms;
	budget_state_t workspaces[WORKSPACES];
	budget_state_t backends[BACKENDS];
	request_t requests[REQUESTS];
} world_t;

static uint64_t operations;

static uint32_t
draw(world_t *w, uint32_t bound)
{
	return operations_draw(&w->input, bound);
}

static void
check_budget(const world_t *w, const budget_state_t *state)
{
	uint64_t spent = state->retries * AT_BUDGET_RETRY_MILLI;
	uint64_t allowed = AT_BUDGET_MAX_MILLI +
			   state->successes * AT_BUDGET_SUCCESS_MILLI +
			   (w->now_ms - w->started_at_ms) *
			       AT_BUDGET_RETRY_MILLI / AT_BUDGET_TRICKLE_MS;

	CHECK(spent <= allowed);
}

static void
execute(request_t *r, attempt_state_t *t)
{
	if (!t->is_sent || t->is_refused || t->is_executed)
		return;
	t->is_executed = 1;
	r->executions++;
	CHECK(r->repeat != AT_REPEAT_ONCE || r->executions <= 1);
	CHECK(!r->is_finished || r->verdict != AT_VERDICT_NOT_RUN);
}

/*
 * Returns whether a response may be delivered from another attempt: none was,
 * or that one ended early and may be continued.
 */
static int
may_deliver_another(const request_t *r)
{
	return r->delivered == AT_ATTEMPT_NONE ||
	       (r->is_resumable && !r->attempts[r->delivered].is_open);
}

/* Counts a retry; with unsent_not_counted it is called when that is sent. */
static void
count_retry(world_t *w, request_t *r)
{
	r->workspace->retries++;
	check_budget(w, r->workspace);
}

static void
check_may_start(const request_t *r, const at_action_t *action)
{
	uint32_t open_attempts = 0;
	uint32_t counted = 0;
	uint32_t k;

	CHECK(action->attempt == r->count);
	CHECK(r->count < AT_ATTEMPTS_MAX);
	CHECK(may_deliver_another(r));
	CHECK(action->new_connection ||
	      (r->count == 0 && r->repeat != AT_REPEAT_ONCE));
	for (k = 0; k < r->count; k++) {
		const attempt_state_t *t = &r->attempts[k];

		open_attempts += (uint32_t)t->is_open;
		counted +=
		    (uint32_t) !(r->limits.unsent_not_counted && t->is_unsent);
		CHECK(r->repeat != AT_REPEAT_ONCE || !t->is_sent ||
		      t->is_refused);
	}
	CHECK(counted < r->limits.attempts_max);
	CHECK(open_attempts == (uint32_t)action->hedge);
	CHECK(r->repeat != AT_REPEAT_ONCE || !action->hedge);
}

static void
on_start(world_t *w, request_t *r, const at_action_t *action)
{
	uint32_t k = action->attempt;
	uint32_t backend = draw(w, BACKENDS + 1);
	attempt_state_t *t = &r->attempts[k];

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
	t->is_open = 1;
	if (k == 0)
		return;
	if (!r->limits.unsent_not_counted)
		count_retry(w, r);
	w->backends[backend].retries++;
	check_budget(w, &w->backends[backend]);
}

/* Returns whether no attempt may follow one that was sent. */
static int
is_last_attempt(const request_t *r)
{
	if (r->repeat == AT_REPEAT_ONCE)
		return 1;
	if (r->limits.attempts_max == 1 && !r->limits.unsent_not_counted)
		return 1;
	return r->delivered != AT_ATTEMPT_NONE && !r->is_resumable;
}

static void
on_finish(request_t *r, const at_action_t *action)
{
	uint32_t k;

	r->is_finished = 1;
	r->verdict = action->verdict;
	CHECK(action->verdict != AT_VERDICT_NOT_RUN || r->executions == 0);
	CHECK((action->verdict == AT_VERDICT_RAN) ==
	      (action->reason == AT_REASON_NONE));
	CHECK(action->verdict != AT_VERDICT_RAN || r->executions > 0);
	if (r->limits.no_timeout_on_last && is_last_attempt(r))
		CHECK(action->reason != AT_REASON_FIRST_BYTE_TIMEOUT &&
		      action->reason != AT_REASON_IDLE_TIMEOUT);
	for (k = 0; k < r->count; k++)
		CHECK(!r->attempts[k].is_open);
}

static void
on_cancel(request_t *r, uint32_t k)
{
	attempt_state_t *t = &r->attempts[k];

	CHECK(t->is_open);
	t->is_open = 0;
	t->is_unsent = !t->is_sent && at_attempts_reason(r->machine, k) ==
					  AT_REASON_CONNECT_FAILED;
}

static void
take_actions(world_t *w, request_t *r)
{
	at_action_t action;

	while (at_attempts_next_action(r->machine, &action)) {
		CHECK(!r->is_finished);
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
			CHECK(r->attempts[action.attempt].is_executed);
			r->delivered = action.attempt;
			break;
		default:
			on_finish(r, &action);
			break;
		}
	}
	CHECK(r->is_finished == at_attempts_is_finished(r->machine));
}

static void
begin_request(world_t *w, request_t *r)
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
	r->is_resumable = (int)draw(w, 2);
	r->started_at_ms = w->now_ms;
	at_attempts_set_limits(r->machine, &r->limits);
	at_attempts_set_repeat(r->machine, r->repeat);
	at_attempts_set_resumable(r->machine, r->is_resumable);
	at_attempts_set_budget(r->machine, &r->workspace->budget);
	at_attempts_init(r->machine, w->now_ms);
	take_actions(w, r);
}

static void
check_limits(const world_t *w, const request_t *r)
{
	uint32_t k;

	if (r->is_finished)
		return;
	CHECK(w->now_ms < r->started_at_ms + r->limits.deadline_ms);
	CHECK(at_attempts_due_ms(r->machine) > w->now_ms);
	for (k = 0; k < r->count; k++) {
		const attempt_state_t *t = &r->attempts[k];

		if (t->is_open && t->is_sent && !t->has_headers &&
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
		take_actions(w, r);
		check_limits(w, r);
	}
}

static void
fail_attempt(world_t *w, request_t *r, uint32_t k)
{
	attempt_state_t *t = &r->attempts[k];
	/* The verdict of the transfer may be wrong and must not matter. */
	at_verdict_t reported = (at_verdict_t)draw(w, 2);
	at_reason_t reason = draw(w, 2) == 0 ? AT_REASON_BACKEND_RESET
					     : AT_REASON_CONNECT_FAILED;

	t->is_open = 0;
	t->is_unsent = !t->is_sent && reason == AT_REASON_CONNECT_FAILED;
	at_attempts_on_failed(r->machine, k, reason,
	    t->is_sent ? reported : AT_VERDICT_NOT_RUN, w->now_ms);
}

static void
complete(world_t *w, request_t *r, uint32_t k)
{
	attempt_state_t *t = &r->attempts[k];

	execute(r, t);
	t->is_open = 0;
	r->workspace->successes++;
	w->backends[t->backend].successes++;
	at_attempts_on_complete(r->machine, k, w->now_ms);
}

/* One event of an open attempt that has sent its request. */
static void
respond(world_t *w, request_t *r, uint32_t k, uint32_t operation)
{
	attempt_state_t *t = &r->attempts[k];

	switch (operation) {
	case 0:
		execute(r, t);
		t->has_headers = 1;
		at_attempts_on_headers(r->machine, k, w->now_ms);
		break;
	case 1:
	case 2:
		execute(r, t);
		t->has_headers = 1;
		at_attempts_on_data(r->machine, k, w->now_ms);
		break;
	case 3:
		complete(w, r, k);
		break;
	case 4:
		if (t->is_executed || t->has_headers)
			break;
		t->is_refused = 1;
		t->is_open = 0;
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
		sent += (uint32_t)r->attempts[k].is_sent;
	return sent;
}

static void
run_operation(world_t *w)
{
	request_t *r = &w->requests[draw(w, REQUESTS)];
	uint32_t operation = draw(w, 16);
	uint32_t k;
	attempt_state_t *t;

	if (r->machine == NULL || (r->is_finished && operation < 3)) {
		begin_request(w, r);
		return;
	}
	if (operation == 3) {
		pass_time(w, draw(w, 32));
		return;
	}
	if (operation == 4 && draw(w, 8) == 0) {
		at_attempts_on_caller_closed(r->machine, w->now_ms);
		take_actions(w, r);
		return;
	}
	if (r->count == 0)
		return;
	k = draw(w, r->count);
	t = &r->attempts[k];
	if (operation == 5) {
		execute(r, t); /* also long after a cancellation or the end */
	} else if (!t->is_open) {
		/* Late events of an ended attempt must change nothing. */
		at_attempts_on_data(r->machine, k, w->now_ms);
		at_attempts_on_failed(r->machine, k, AT_REASON_BACKEND_RESET,
		    AT_VERDICT_NOT_RUN, w->now_ms);
	} else if (operation == 6) {
		fail_attempt(w, r, k);
	} else if (!t->is_sent) {
		t->is_sent = 1;
		t->sent_at_ms = w->now_ms;
		if (r->limits.unsent_not_counted && sent_count(r) > 1)
			count_retry(w, r);
		at_attempts_on_sending(r->machine, k, w->now_ms);
	} else {
		respond(w, r, k, operation % 6);
	}
	take_actions(w, r);
}

static void
print_operations(void)
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
		(void)atexit(print_operations);
	w.now_ms = w.started_at_ms = 1;
	for (i = 0; i < WORKSPACES; i++)
		at_budget_init(&w.workspaces[i].budget, w.now_ms);
	for (i = 0; i < BACKENDS; i++)
		at_budget_init(&w.backends[i].budget, w.now_ms);
	for (i = 0; i < OPERATIONS; i++) {
		run_operation(&w);
		operations++;
	}
	for (i = 0; i < REQUESTS; i++)
		at_attempts_delete(w.requests[i].machine);
	return 0;
}
