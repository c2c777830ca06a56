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
	int is_unsent;   /* ended without a connection, nothing was sent */
	int is_unplaced; /* ended without a backend server */
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
	int is_cut_off; /* a sent attempt was cancelled; it must be replaced */
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
draw(world_t *world, uint32_t bound)
{
	return operations_draw(&world->input, bound);
}

static void
check_budget(const world_t *world, const budget_state_t *state)
{
	uint64_t spent = state->retries * AT_BUDGET_RETRY_MILLI;
	uint64_t allowed = AT_BUDGET_MAX_MILLI +
			   state->successes * AT_BUDGET_SUCCESS_MILLI +
			   (world->now_ms - world->started_at_ms) *
			       AT_BUDGET_RETRY_MILLI / AT_BUDGET_REFILL_MS;

	CHECK(spent <= allowed);
}

static void
execute(request_t *request, attempt_state_t *attempt)
{
	if (!attempt->is_sent || attempt->is_refused || attempt->is_executed)
		return;
	attempt->is_executed = 1;
	request->executions++;
	CHECK(request->repeat != AT_REPEAT_ONCE || request->executions <= 1);
	CHECK(!request->is_finished || request->verdict != AT_VERDICT_NOT_RUN);
}

/*
 * Returns whether a response may be delivered from another attempt: none was,
 * or that one ended early and may be continued.
 */
static int
may_deliver_another(const request_t *request)
{
	return request->delivered == AT_ATTEMPT_NONE ||
	       (request->is_resumable &&
		   !request->attempts[request->delivered].is_open);
}

/* Counts a retry; with unsent_not_counted only once it is sent. */
static void
count_retry(world_t *world, request_t *request)
{
	request->workspace->retries++;
	check_budget(world, request->workspace);
}

static void
check_may_start(const request_t *request, const at_action_t *action)
{
	uint32_t open_attempts = 0;
	uint32_t counted = 0;
	uint32_t k;

	CHECK(action->attempt == request->count);
	CHECK(request->count < AT_ATTEMPTS_MAX);
	CHECK(may_deliver_another(request) ||
	      (request->is_resumable && request->limits.keeps_silent &&
		  action->is_hedge));
	CHECK(action->new_connection ||
	      (request->count == 0 && request->repeat != AT_REPEAT_ONCE));
	for (k = 0; k < request->count; k++) {
		const attempt_state_t *attempt = &request->attempts[k];

		open_attempts += (uint32_t)attempt->is_open;
		counted +=
		    (uint32_t) !(request->limits.unsent_not_counted &&
				 (attempt->is_unsent || attempt->is_unplaced));
		CHECK(request->repeat != AT_REPEAT_ONCE || !attempt->is_sent ||
		      attempt->is_refused);
	}
	CHECK(counted < request->limits.attempts_max);
	CHECK(open_attempts == (uint32_t)action->is_hedge);
	CHECK(request->repeat != AT_REPEAT_ONCE || !action->is_hedge);
}

static void
on_start(world_t *world, request_t *request, const at_action_t *action)
{
	uint32_t k = action->attempt;
	uint32_t backend = draw(world, BACKENDS + 1);
	attempt_state_t *attempt = &request->attempts[k];

	check_may_start(request, action);
	request->count++;
	memset(attempt, 0, sizeof(*attempt));
	if (backend == BACKENDS) {
		attempt->is_unplaced = 1;
		at_attempts_on_not_placed(
		    request->machine, k, AT_REASON_NO_BACKEND, world->now_ms);
		return;
	}
	attempt->backend = backend;
	attempt->is_unplaced =
	    at_attempts_on_placed(request->machine, k,
		&world->backends[backend].budget, world->now_ms) != 0;
	if (attempt->is_unplaced)
		return;
	attempt->is_open = 1;
	if (k == 0)
		return;
	if (!request->limits.unsent_not_counted)
		count_retry(world, request);
	world->backends[backend].retries++;
	check_budget(world, &world->backends[backend]);
}

static void
on_finish(request_t *request, const at_action_t *action)
{
	uint32_t k;

	request->is_finished = 1;
	request->verdict = action->verdict;
	CHECK(
	    action->verdict != AT_VERDICT_NOT_RUN || request->executions == 0);
	CHECK((action->verdict == AT_VERDICT_RAN) ==
	      (action->reason == AT_REASON_NONE));
	CHECK(action->verdict != AT_VERDICT_RAN || request->executions > 0);
	if (request->limits.keeps_silent)
		CHECK(action->reason != AT_REASON_FIRST_BYTE_TIMEOUT &&
		      action->reason != AT_REASON_IDLE_TIMEOUT);
	request->is_cut_off = 0;
	for (k = 0; k < request->count; k++)
		CHECK(!request->attempts[k].is_open);
}

static void
on_cancel(request_t *request, uint32_t k)
{
	attempt_state_t *attempt = &request->attempts[k];

	CHECK(attempt->is_open);
	attempt->is_open = 0;
	request->is_cut_off |= request->limits.keeps_silent && attempt->is_sent;
	attempt->is_unsent =
	    !attempt->is_sent &&
	    at_attempts_reason(request->machine, k) == AT_REASON_CONNECT_FAILED;
}

static void
take_actions(world_t *world, request_t *request)
{
	at_action_t action;

	while (at_attempts_next_action(request->machine, &action)) {
		CHECK(!request->is_finished);
		switch (action.kind) {
		case AT_ACTION_START:
			on_start(world, request, &action);
			break;
		case AT_ACTION_CANCEL:
			on_cancel(request, action.attempt);
			break;
		case AT_ACTION_DELIVER:
			CHECK(request->delivered == action.attempt ||
			      may_deliver_another(request));
			CHECK(request->attempts[action.attempt].is_executed);
			request->delivered = action.attempt;
			request->is_cut_off = 0;
			break;
		default:
			on_finish(request, &action);
			break;
		}
	}
	CHECK(!request->is_cut_off);
	CHECK(
	    request->is_finished == at_attempts_is_finished(request->machine));
}

static void
begin_request(world_t *world, request_t *request)
{
	at_attempts_delete(request->machine);
	memset(request, 0, sizeof(*request));
	request->machine = at_attempts_new();
	CHECK(request->machine != NULL);
	request->workspace = &world->workspaces[draw(world, WORKSPACES)];
	request->delivered = AT_ATTEMPT_NONE;
	request->repeat = (at_repeat_t)draw(world, AT_REPEAT_COUNT);
	request->limits.connect_ms = draw(world, 100);
	request->limits.first_byte_ms = draw(world, 200);
	request->limits.idle_ms = draw(world, 200);
	request->limits.hedge_ms = draw(world, 100);
	request->limits.deadline_ms = 1 + 4 * draw(world, 256);
	request->limits.attempts_max = 1 + draw(world, AT_ATTEMPTS_MAX);
	request->limits.unsent_not_counted = (int)draw(world, 2);
	request->limits.keeps_silent = (int)draw(world, 2);
	request->is_resumable = (int)draw(world, 2);
	request->started_at_ms = world->now_ms;
	at_attempts_set_limits(request->machine, &request->limits);
	at_attempts_set_repeat(request->machine, request->repeat);
	at_attempts_set_resumable(request->machine, request->is_resumable);
	at_attempts_set_budget(request->machine, &request->workspace->budget);
	at_attempts_init(request->machine, world->now_ms);
	take_actions(world, request);
}

static void
check_limits(const world_t *world, const request_t *request)
{
	uint32_t k;

	if (request->is_finished)
		return;
	CHECK(world->now_ms <
	      request->started_at_ms + request->limits.deadline_ms);
	CHECK(at_attempts_due_ms(request->machine) > world->now_ms);
	for (k = 0; k < request->count; k++) {
		const attempt_state_t *attempt = &request->attempts[k];

		if (attempt->is_open && attempt->is_sent &&
		    !attempt->has_headers && !request->limits.keeps_silent &&
		    request->limits.first_byte_ms != 0)
			CHECK(
			    world->now_ms < attempt->sent_at_ms +
						request->limits.first_byte_ms);
	}
}

static void
pass_time(world_t *world, uint32_t steps)
{
	uint32_t i;

	world->now_ms += steps * STEP_MS;
	for (i = 0; i < REQUESTS; i++) {
		request_t *request = &world->requests[i];

		if (request->machine == NULL)
			continue;
		at_attempts_tick(request->machine, world->now_ms);
		take_actions(world, request);
		check_limits(world, request);
	}
}

static void
fail_attempt(world_t *world, request_t *request, uint32_t k)
{
	attempt_state_t *attempt = &request->attempts[k];
	/* The verdict of the transfer may be wrong and must not matter. */
	at_verdict_t reported = (at_verdict_t)draw(world, 2);
	at_reason_t reason = draw(world, 2) == 0 ? AT_REASON_BACKEND_RESET
						 : AT_REASON_CONNECT_FAILED;

	attempt->is_open = 0;
	attempt->is_unsent =
	    !attempt->is_sent && reason == AT_REASON_CONNECT_FAILED;
	at_attempts_on_failed(request->machine, k, reason,
	    attempt->is_sent ? reported : AT_VERDICT_NOT_RUN, world->now_ms);
}

static void
complete(world_t *world, request_t *request, uint32_t k)
{
	attempt_state_t *attempt = &request->attempts[k];

	execute(request, attempt);
	attempt->is_open = 0;
	request->workspace->successes++;
	world->backends[attempt->backend].successes++;
	at_attempts_on_complete(request->machine, k, world->now_ms);
}

/* One event of an open attempt that has sent its request. */
static void
respond(world_t *world, request_t *request, uint32_t k, uint32_t operation)
{
	attempt_state_t *attempt = &request->attempts[k];

	switch (operation) {
	case 0:
		execute(request, attempt);
		attempt->has_headers = 1;
		at_attempts_on_headers(request->machine, k, world->now_ms);
		break;
	case 1:
	case 2:
		execute(request, attempt);
		attempt->has_headers = 1;
		at_attempts_on_data(request->machine, k, world->now_ms);
		break;
	case 3:
		complete(world, request, k);
		break;
	case 4:
		if (attempt->is_executed || attempt->has_headers)
			break;
		attempt->is_refused = 1;
		attempt->is_open = 0;
		at_attempts_on_refused(request->machine, k, world->now_ms);
		break;
	default:
		at_attempts_on_paused(
		    request->machine, k, (int)draw(world, 2), world->now_ms);
		break;
	}
}

static uint32_t
sent_count(const request_t *request)
{
	uint32_t sent = 0;
	uint32_t k;

	for (k = 0; k < request->count; k++)
		sent += (uint32_t)request->attempts[k].is_sent;
	return sent;
}

static void
run_operation(world_t *world)
{
	request_t *request = &world->requests[draw(world, REQUESTS)];
	uint32_t operation = draw(world, 16);
	uint32_t k;
	attempt_state_t *attempt;

	if (request->machine == NULL ||
	    (request->is_finished && operation < 3)) {
		begin_request(world, request);
		return;
	}
	if (operation == 3) {
		pass_time(world, draw(world, 32));
		return;
	}
	if (operation == 4 && draw(world, 8) == 0) {
		at_attempts_on_caller_closed(request->machine, world->now_ms);
		take_actions(world, request);
		return;
	}
	if (request->count == 0)
		return;
	k = draw(world, request->count);
	attempt = &request->attempts[k];
	if (operation == 5) {
		/* A request may also run long after its cancellation or end. */
		execute(request, attempt);
	} else if (!attempt->is_open) {
		/* Late events of an ended attempt must change nothing. */
		at_attempts_on_data(request->machine, k, world->now_ms);
		at_attempts_on_failed(request->machine, k,
		    AT_REASON_BACKEND_RESET, AT_VERDICT_NOT_RUN, world->now_ms);
	} else if (operation == 6) {
		fail_attempt(world, request, k);
	} else if (!attempt->is_sent) {
		attempt->is_sent = 1;
		attempt->sent_at_ms = world->now_ms;
		if (request->limits.unsent_not_counted &&
		    sent_count(request) > 1)
			count_retry(world, request);
		at_attempts_on_sending(request->machine, k, world->now_ms);
	} else {
		respond(world, request, k, operation % 6);
	}
	take_actions(world, request);
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
	world_t world = {.input = operations_of(data, size)};
	uint32_t i;

	if (operations == 0)
		(void)atexit(print_operations);
	world.now_ms = world.started_at_ms = 1;
	for (i = 0; i < WORKSPACES; i++)
		at_budget_init(&world.workspaces[i].budget, world.now_ms);
	for (i = 0; i < BACKENDS; i++)
		at_budget_init(&world.backends[i].budget, world.now_ms);
	for (i = 0; i < OPERATIONS; i++) {
		run_operation(&world);
		operations++;
	}
	for (i = 0; i < REQUESTS; i++)
		at_attempts_delete(world.requests[i].machine);
	return 0;
}
