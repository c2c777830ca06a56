/*
 * callers.c - callers that keep to one instance for some requests, over
 * connections that stay open, or until one fails there; they retry, and resume
 * broken streams.
 */
#include "soak/soak.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/httpc.h"
#include "platform/names.h"

/* Longest pause between two requests of a caller, in runs with much and little
 * traffic. */
#define BUSY_PAUSE_MAX_MS 300u
#define CALM_PAUSE_MAX_MS 1200u
#define RETRY_PAUSE_MS 50u
#define RETRIES_MAX 2u
#define TOTAL_MS 6000u
#define LINE_SIZE 96u
/* Of the requests that succeed, so many are followed by another instance. */
#define MOVES_ONE_IN 6u
#define CRASH_PART_ONE_IN 4u /* streams, while the part is sent */
/* Parts of prompts: the second one of sound requests, and the own one. */
#define SUBJECT 0x500u
#define SUBJECTS 8u
#define OWN_PART 0x10000u

typedef enum call_type {
	CALL_SAFE,
	CALL_UNSAFE,
	CALL_STREAM
} call_type_t;

typedef struct caller {
	soak_callers_t *callers;
	uint32_t instance;
	call_type_t type;
	uint32_t retries;
	uint32_t events; /* of the stream, over all its requests */
	int has_crash_part;
	soak_phase_t phase; /* when the first request was sent */
	soak_group_t group; /* the same */
	int status;
	at_transfer_t *transfer; /* while a request is open */
	ev_timer timer;
} caller_t;

struct soak_callers {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	soak_judge_t *judge;
	const soak_processes_t *processes;
	const soak_crash_part_t *part;
	at_rng_t rng;
	at_rng_t part_rng;
	at_rng_t move_rng;
	uint32_t pause_max_ms;
	uint64_t last_id;
	caller_t *list;
	uint32_t count;
	int is_stopped;
	uint64_t successes;
	uint64_t refused; /* 429 and 503 */
	uint64_t failed;
};

static void
wait_ms(caller_t *caller, uint32_t ms)
{
	if (caller->callers->is_stopped)
		return;
	ev_timer_set(&caller->timer, ms / 1e3, 0.);
	ev_timer_start(caller->callers->loop, &caller->timer);
}

/* As a balancer does, skips instances that do not take new connections. */
static void
choose_instance(caller_t *caller, at_rng_t *rng)
{
	soak_callers_t *callers = caller->callers;
	uint32_t count = soak_processes_count(callers->processes);
	uint32_t i;

	for (i = 0; i < count; i++) {
		caller->instance = (uint32_t)at_rng_below(rng, count);
		if (soak_processes_is_open(
			callers->processes, caller->instance))
			return;
	}
}

static void
choose_request(caller_t *caller)
{
	soak_callers_t *callers = caller->callers;

	caller->type =
	    (call_type_t)at_rng_below(&callers->rng, CALL_STREAM + 1);
	caller->has_crash_part =
	    caller->type == CALL_STREAM && callers->part->is_sent &&
	    at_rng_below(&callers->part_rng, CRASH_PART_ONE_IN) == 0;
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	(void)transfer;
	((caller_t *)ctx)->status = status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	caller_t *caller = ctx;
	size_t i;

	for (i = 1; i < len; i++)
		caller->events += data[i] == '\n' && data[i - 1] == '\n';
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	caller_t *caller = ctx;
	int is_success = result->is_complete && caller->status / 100 == 2;
	int is_promise = caller->status == 503 || caller->status == 429;
	int may_repeat = caller->type != CALL_UNSAFE || is_promise;

	caller->transfer = NULL;
	if (caller->type == CALL_STREAM && caller->retries == 0 &&
	    !caller->has_crash_part)
		soak_judge_stream_ended(
		    caller->callers->judge, caller->phase, caller->events > 0);
	if (caller->retries == 0 && !caller->has_crash_part)
		soak_judge_tried(
		    caller->callers->judge, caller->group, is_success);
	caller->callers->successes += (uint64_t)is_success;
	caller->callers->refused += (uint64_t)(!is_success && is_promise);
	caller->callers->failed += (uint64_t)(!is_success && !is_promise);
	if (!is_success)
		choose_instance(caller, &caller->callers->rng);
	else if (at_rng_below(&caller->callers->move_rng, MOVES_ONE_IN) == 0)
		choose_instance(caller, &caller->callers->move_rng);
	if (!is_success && may_repeat && caller->retries < RETRIES_MAX) {
		caller->retries++;
		wait_ms(caller, RETRY_PAUSE_MS);
		return;
	}
	caller->retries = 0;
	caller->events = 0;
	choose_request(caller);
	wait_ms(caller, (uint32_t)at_rng_below(&caller->callers->rng,
			    caller->callers->pause_max_ms));
}

static void
send_request(caller_t *caller)
{
	static const char *const targets[] = {
	    "/safe/1", "/unsafe/1", "/stream/1"};
	soak_callers_t *callers = caller->callers;
	char lines[6][LINE_SIZE];
	const char *headers[] = {lines[0], lines[1], lines[2], lines[3],
	    "Authorization: Bearer " SOAK_KEY, "X-Model: m0",
	    "X-Token-Count: 100,50", lines[5],
	    caller->has_crash_part ? SOAK_PART_HEADER ": 1"
				   : SOAK_PART_HEADER ":",
	    lines[4], NULL};
	char id[32];
	char url[AT_ADDR_SIZE + 16];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .target = targets[caller->type],
	    .headers = headers,
	    .connect_ms = 1000,
	    .total_ms = TOTAL_MS};
	const at_transfer_events_t events = {
	    on_headers, on_data, on_done, caller};

	(void)snprintf(id, sizeof(id), "r%" PRIu64, ++callers->last_id);
	(void)snprintf(lines[0], LINE_SIZE, "Host: " SOAK_HOST);
	(void)snprintf(lines[1], LINE_SIZE, WIRE_REQUEST_ID ": %s", id);
	(void)snprintf(
	    lines[2], LINE_SIZE, SOAK_INSTANCE_HEADER ": %u", caller->instance);
	(void)snprintf(lines[3], LINE_SIZE, WIRE_DEADLINE ": %u", TOTAL_MS);
	(void)snprintf(
	    lines[4], LINE_SIZE, WIRE_RESUME_AFTER ": %u", caller->events);
	(void)snprintf(lines[5], LINE_SIZE,
	    WIRE_PROMPT_PREFIX ": a1:40,%x:30,%" PRIx64 ":30",
	    caller->has_crash_part
		? callers->part->part
		: SUBJECT + (uint32_t)(callers->last_id % SUBJECTS),
	    OWN_PART + callers->last_id);
	if (caller->retries == 0) {
		caller->phase =
		    soak_judge_phase(callers->judge, caller->instance);
		caller->group =
		    soak_judge_group(callers->judge, caller->instance);
	}
	if (caller->type != CALL_STREAM)
		headers[5] = NULL;
	else if (caller->events == 0)
		headers[9] = NULL;
	(void)snprintf(url, sizeof(url), "http://%s/",
	    soak_processes_address(callers->processes, caller->instance));
	caller->status = 0;
	soak_judge_sent(callers->judge, id,
	    caller->type == CALL_STREAM ? SOAK_LLM : SOAK_PLAIN);
	caller->transfer = at_httpc_start(callers->httpc, &spec, &events);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_request(timer->data);
}

soak_callers_t *
soak_callers_new(struct ev_loop *loop, soak_judge_t *judge,
    const soak_processes_t *processes, const soak_crash_part_t *part,
    uint64_t seed, uint32_t count)
{
	soak_callers_t *callers = calloc(1, sizeof(*callers));
	uint32_t i;

	callers->loop = loop;
	callers->httpc = at_httpc_new(loop);
	callers->judge = judge;
	callers->processes = processes;
	callers->part = part;
	callers->rng.state = ~seed;
	callers->part_rng.state = seed;
	callers->move_rng.state = seed * 0x9e3779b97f4a7c15u;
	callers->count = count;
	callers->pause_max_ms = at_rng_below(&callers->rng, 2) == 0
				    ? BUSY_PAUSE_MAX_MS
				    : CALM_PAUSE_MAX_MS;
	callers->list = calloc(count, sizeof(*callers->list));
	for (i = 0; i < count; i++) {
		caller_t *caller = &callers->list[i];

		caller->callers = callers;
		caller->type = (call_type_t)(i % 3u);
		ev_timer_init(&caller->timer, on_timer, 0., 0.);
		caller->timer.data = caller;
		choose_instance(caller, &callers->rng);
		wait_ms(caller, (uint32_t)at_rng_below(
				    &callers->rng, callers->pause_max_ms));
	}
	return callers;
}

void
soak_callers_stop(soak_callers_t *callers)
{
	uint32_t i;

	callers->is_stopped = 1;
	(void)printf("callers: successes=%" PRIu64 " refused=%" PRIu64
		     " failed=%" PRIu64 "\n",
	    callers->successes, callers->refused, callers->failed);
	for (i = 0; i < callers->count; i++)
		ev_timer_stop(callers->loop, &callers->list[i].timer);
}

void
soak_callers_delete(soak_callers_t *callers)
{
	at_httpc_delete(callers->httpc);
	free(callers->list);
	free(callers);
}
