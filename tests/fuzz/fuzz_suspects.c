/*
 * Two instances, three backend servers and eight requests, two of which
 * crash what runs them: no innocent request is ever convicted, a convicted
 * one begins nowhere, and suspects do not meet on one backend server.
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
#define CRASHING 2u /* the first ones */
#define FLIGHTS 16u
#define STEP_MS 100u
#define RUNS_ON_MS 1500u /* a flight that was left runs on for so long */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct flight {
	at_execution_t *handle;
	uint32_t instance;
	uint32_t backend;
	uint32_t request;
	uint64_t left_at_ms; /* 0: still ours */
	int used;
} flight_t;

typedef struct world {
	operations_t input;
	uint64_t now_ms;
	at_suspects_t *instances[INSTANCES];
	flight_t flights[FLIGHTS];
} world_t;

static uint64_t convictions;
static uint64_t operations;

static uint32_t
draw(world_t *w, uint32_t bound)
{
	return operations_draw(&w->input, bound);
}

static at_fingerprint_t
fingerprint(uint32_t request)
{
	at_fingerprint_t f = {1, request};

	return f;
}

static at_name_t
backend_name(uint32_t backend)
{
	at_name_t name;
	char text[2] = {(char)('a' + backend), '\0'};

	(void)at_name_set(&name, text);
	return name;
}

/* Each instance's word reaches the other one. */
static void
on_crash(void *ctx, const at_name_t *backend, const at_fingerprint_t *victims,
    size_t count)
{
	world_t *w = ctx;
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		at_suspects_apply_peer_crash(
		    w->instances[i], backend, victims, count, w->now_ms);
}

static void
on_change(void *ctx, const at_suspect_t *suspect)
{
	(void)ctx;
	CHECK(suspect->suspicion != AT_SUSPICION_BLOCKED ||
	      suspect->fingerprint.low < CRASHING);
	convictions++;
}

static void
begin(world_t *w)
{
	uint32_t i = draw(w, FLIGHTS);
	flight_t *f = &w->flights[i];
	at_fingerprint_t print;
	at_name_t name;
	at_suspects_t *s;

	if (f->used)
		return;
	f->instance = draw(w, INSTANCES);
	f->backend = draw(w, BACKENDS);
	f->request = draw(w, REQUESTS);
	s = w->instances[f->instance];
	print = fingerprint(f->request);
	name = backend_name(f->backend);
	if (!at_suspects_may_run(s, &print, name.text, w->now_ms))
		return;
	CHECK(at_suspects_check(s, &print, w->now_ms) != AT_SUSPICION_BLOCKED);
	f->handle = at_suspects_begin_execution(s, &print, &name, w->now_ms);
	f->left_at_ms = 0;
	f->used = 1;
}

/* A backend server dies with all that runs there, everywhere. */
static void
crash(world_t *w, uint32_t backend)
{
	at_name_t name = backend_name(backend);
	uint32_t i;

	for (i = 0; i < FLIGHTS; i++) {
		flight_t *f = &w->flights[i];

		if (!f->used || f->backend != backend)
			continue;
		if (f->left_at_ms == 0)
			at_suspects_end_execution(w->instances[f->instance],
			    f->handle, AT_EXECUTION_CONNECTION_LOST, w->now_ms);
		f->used = 0;
	}
	for (i = 0; i < INSTANCES; i++)
		at_suspects_note_crash(w->instances[i], &name, w->now_ms);
}

static void
end(world_t *w, at_execution_end_t how)
{
	flight_t *f = &w->flights[draw(w, FLIGHTS)];

	if (!f->used)
		return;
	if (f->request < CRASHING && how != AT_EXECUTION_CANCELLED) {
		crash(w, f->backend);
		return;
	}
	if (f->left_at_ms != 0)
		return;
	at_suspects_end_execution(
	    w->instances[f->instance], f->handle, how, w->now_ms);
	f->used = how == AT_EXECUTION_CANCELLED;
	f->left_at_ms = w->now_ms;
}

/* A connection breaks by itself, and the backend server proves alive. */
static void
lose_and_prove(world_t *w)
{
	flight_t *f = &w->flights[draw(w, FLIGHTS)];
	at_name_t name = backend_name(f->backend);
	uint32_t i;

	if (!f->used || f->left_at_ms != 0)
		return;
	at_suspects_end_execution(w->instances[f->instance], f->handle,
	    AT_EXECUTION_CONNECTION_LOST, w->now_ms);
	/* What it ran runs on for a while over there. */
	f->left_at_ms = w->now_ms;
	f->used = f->request >= CRASHING;
	for (i = 0; i < INSTANCES; i++)
		at_suspects_note_alive(w->instances[i], &name, w->now_ms + 1);
}

static void
pass_time(world_t *w)
{
	uint32_t steps = 1 + draw(w, 4);
	uint32_t i;

	while (steps-- > 0) {
		w->now_ms += STEP_MS;
		for (i = 0; i < INSTANCES; i++)
			at_suspects_tick(w->instances[i], w->now_ms);
		for (i = 0; i < FLIGHTS; i++) {
			flight_t *f = &w->flights[i];

			if (f->used && f->left_at_ms != 0 &&
			    w->now_ms >= f->left_at_ms + RUNS_ON_MS)
				f->used = 0;
		}
	}
}

static void
operate(world_t *w)
{
	switch (draw(w, 8)) {
	case 0:
	case 1:
	case 2:
		begin(w);
		break;
	case 3:
		end(w, AT_EXECUTION_COMPLETED);
		break;
	case 4:
		end(w, AT_EXECUTION_CANCELLED);
		break;
	case 5:
		end(w, AT_EXECUTION_NOT_RUN);
		break;
	case 6:
		if (draw(w, 4) == 0)
			lose_and_prove(w);
		break;
	default:
		pass_time(w);
		break;
	}
}

static void
report(void)
{
	(void)fprintf(stderr, "operations: %llu, convictions: %llu\n",
	    (unsigned long long)operations, (unsigned long long)convictions);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	world_t w = {.input = operations_of(data, size), .now_ms = 1000};
	const at_suspects_events_t events = {on_crash, on_change, &w};
	uint32_t i;

	if (operations == 0)
		(void)atexit(report);
	for (i = 0; i < INSTANCES; i++) {
		w.instances[i] = at_suspects_new();
		at_suspects_set_events(w.instances[i], &events);
	}
	for (i = 0; i < OPERATIONS; i++) {
		operate(&w);
		operations++;
	}
	for (i = 0; i < INSTANCES; i++)
		at_suspects_delete(w.instances[i]);
	return 0;
}
