/*
 * Two instances, three backend servers and eight requests, two of which crash
 * the backend servers that run them. Checks that no other request is ever
 * blocked and that a blocked one does not begin on any backend server.
 * check-args: -seed=1 -runs=10000 -max_len=512 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/suspects.h"
#include "fuzz/operations.h"

#define OPERATIONS 400u
#define INSTANCES 2u
#define BACKENDS 3u
#define REQUESTS 8u
#define CRASHING 2u    /* the first requests crash their backend server */
#define EXECUTIONS 16u /* in progress at once */
#define STEP_MS 100u
/* How long a backend server runs a request that its instance has ended. */
#define ENDED_RUN_MAX_MS 1500u

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct execution {
	at_execution_t *handle;
	uint32_t instance;
	uint32_t backend;
	uint32_t request;
	uint64_t ended_at_ms; /* 0: not ended by its instance */
	int is_running;       /* at the backend server */
} execution_t;

typedef struct world {
	operations_t input;
	uint64_t now_ms;
	at_suspects_t *instances[INSTANCES];
	execution_t executions[EXECUTIONS];
} world_t;

static uint64_t blocked_count;
static uint64_t operations;

static uint32_t
draw(world_t *world, uint32_t bound)
{
	return operations_draw(&world->input, bound);
}

static at_fingerprint_t
fingerprint_of(uint32_t request)
{
	at_fingerprint_t fingerprint = {1, request};

	return fingerprint;
}

static at_name_t
backend_name(uint32_t backend)
{
	at_name_t name;
	char text[2] = {(char)('a' + backend), '\0'};

	(void)at_name_set(&name, text);
	return name;
}

/* The report of each instance reaches the other one. */
static void
on_crash(void *ctx, const at_name_t *backend, const at_fingerprint_t *victims,
    size_t count)
{
	world_t *world = ctx;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		at_suspects_apply_peer_crash(world->instances[i], backend,
		    victims, count, world->now_ms);
}

static void
on_change(void *ctx, const at_suspect_t *suspect)
{
	(void)ctx;
	CHECK(suspect->suspicion != AT_SUSPICION_BLOCKED ||
	      suspect->fingerprint.low < CRASHING);
	blocked_count++;
}

static void
begin_execution(world_t *world)
{
	uint32_t i = draw(world, EXECUTIONS);
	execution_t *execution = &world->executions[i];
	at_fingerprint_t fingerprint;
	at_name_t name;
	at_suspects_t *suspects;

	if (execution->is_running)
		return;
	execution->instance = draw(world, INSTANCES);
	execution->backend = draw(world, BACKENDS);
	execution->request = draw(world, REQUESTS);
	suspects = world->instances[execution->instance];
	fingerprint = fingerprint_of(execution->request);
	name = backend_name(execution->backend);
	if (!at_suspects_may_run(
		suspects, &fingerprint, name.text, world->now_ms))
		return;
	CHECK(at_suspects_check(suspects, &fingerprint, world->now_ms) !=
	      AT_SUSPICION_BLOCKED);
	execution->handle = at_suspects_begin_execution(
	    suspects, &fingerprint, &name, world->now_ms);
	execution->ended_at_ms = 0;
	execution->is_running = 1;
}

/* A backend server crashes and ends the executions of all instances. */
static void
crash(world_t *world, uint32_t backend)
{
	at_name_t name = backend_name(backend);
	uint32_t i;

	for (i = 0; i < EXECUTIONS; i++) {
		execution_t *execution = &world->executions[i];

		if (!execution->is_running || execution->backend != backend)
			continue;
		if (execution->ended_at_ms == 0)
			at_suspects_end_execution(
			    world->instances[execution->instance],
			    execution->handle, AT_EXECUTION_CONNECTION_LOST,
			    world->now_ms);
		execution->is_running = 0;
	}
	for (i = 0; i < INSTANCES; i++)
		at_suspects_note_crash(
		    world->instances[i], &name, world->now_ms);
}

static void
end_execution(world_t *world, at_execution_end_t reason)
{
	execution_t *execution = &world->executions[draw(world, EXECUTIONS)];

	if (!execution->is_running)
		return;
	if (execution->request < CRASHING && reason != AT_EXECUTION_CANCELLED) {
		crash(world, execution->backend);
		return;
	}
	if (execution->ended_at_ms != 0)
		return;
	at_suspects_end_execution(world->instances[execution->instance],
	    execution->handle, reason, world->now_ms);
	execution->is_running = reason == AT_EXECUTION_CANCELLED;
	execution->ended_at_ms = world->now_ms;
}

/* A connection is lost although the backend server is alive. */
static void
lose_connection(world_t *world)
{
	execution_t *execution = &world->executions[draw(world, EXECUTIONS)];
	at_name_t name = backend_name(execution->backend);
	uint32_t i;

	if (!execution->is_running || execution->ended_at_ms != 0)
		return;
	at_suspects_end_execution(world->instances[execution->instance],
	    execution->handle, AT_EXECUTION_CONNECTION_LOST, world->now_ms);
	/* The backend server continues the execution for a while. */
	execution->ended_at_ms = world->now_ms;
	execution->is_running = execution->request >= CRASHING;
	for (i = 0; i < INSTANCES; i++)
		at_suspects_note_alive(
		    world->instances[i], &name, world->now_ms + 1);
}

static void
pass_time(world_t *world)
{
	uint32_t steps = 1 + draw(world, 4);
	uint32_t i;

	while (steps-- > 0) {
		world->now_ms += STEP_MS;
		for (i = 0; i < INSTANCES; i++)
			at_suspects_tick(world->instances[i], world->now_ms);
		for (i = 0; i < EXECUTIONS; i++) {
			execution_t *execution = &world->executions[i];

			if (execution->is_running &&
			    execution->ended_at_ms != 0 &&
			    world->now_ms >=
				execution->ended_at_ms + ENDED_RUN_MAX_MS)
				execution->is_running = 0;
		}
	}
}

static void
run_operation(world_t *world)
{
	switch (draw(world, 8)) {
	case 0:
	case 1:
	case 2:
		begin_execution(world);
		break;
	case 3:
		end_execution(world, AT_EXECUTION_COMPLETED);
		break;
	case 4:
		end_execution(world, AT_EXECUTION_CANCELLED);
		break;
	case 5:
		end_execution(world, AT_EXECUTION_NOT_RUN);
		break;
	case 6:
		if (draw(world, 4) == 0)
			lose_connection(world);
		break;
	default:
		pass_time(world);
		break;
	}
}

static void
print_totals(void)
{
	(void)fprintf(stderr, "operations: %llu, requests blocked: %llu\n",
	    (unsigned long long)operations, (unsigned long long)blocked_count);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t world = {.input = operations_of(data, size), .now_ms = 1000};
	const at_suspects_events_t events = {on_crash, on_change, &world};
	uint32_t i;

	if (operations == 0)
		(void)atexit(print_totals);
	for (i = 0; i < INSTANCES; i++) {
		world.instances[i] = at_suspects_new();
		at_suspects_set_events(world.instances[i], &events);
	}
	for (i = 0; i < OPERATIONS; i++) {
		run_operation(&world);
		operations++;
	}
	for (i = 0; i < INSTANCES; i++)
		at_suspects_delete(world.instances[i]);
	return 0;
}
