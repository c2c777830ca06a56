/*
 * almond-bench claims: cost of a claim in virtual time. Claims that are written
 * in batches (claims.h, policy "ledger") are compared with one object for each
 * claim, with the same distribution of arrivals. Eight instances share an
 * object API whose calls take a few milliseconds and whose writes per second
 * are limited.
 */
#include "bench/bench.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/claims.h"

#define INSTANCES 8u
#define CLAIM_TIMEOUT_MS 1000u /* a claim without a response is refused */
#define EXECUTION_MS 20u       /* from the grant of the claim to its end */
#define CALL_DELAY_MIN_MS 1u   /* until the API executes a call */
#define CALL_DELAY_RANGE_MS 3u /* added to it, uniformly distributed */
#define RESPONSE_DELAY_MS 1u   /* from execution to the response */
#define PUT_RATE_PERCENT 90u   /* part of the write limit for claims.h */
#define BURST_WRITES 20u       /* writes that the limit admits at once */
#define RESPONSE_BYTES 64u     /* stored with a claim */
/* Stands for all objects of single claims; writes to it never conflict. */
#define SINGLE_CLAIM_OBJECT AT_CLAIM_SHARDS_MAX
#define US_PER_MS 1000u

typedef struct sim sim_t;

/* A call to the object API that is in flight. */
typedef struct call {
	struct call *next;
	sim_t *sim;
	uint64_t executes_ms;
	uint32_t object_index;
	int is_put;
	int is_executed;
	uint64_t expected_version;
	void *value;
	size_t len;
	at_store_result_t result;
	at_store_done_t done;
	void *ctx;
} call_t;

/* An object of the object API. */
typedef struct object {
	uint64_t version;
	void *value;
	size_t len;
} object_t;

/* A request from its arrival to its end. */
typedef struct request {
	struct request *next;
	sim_t *sim;
	uint32_t instance;
	uint64_t arrived_ms;
	uint64_t end_ms; /* when the claim is settled */
	at_claim_t *claim;
	int is_settling; /* the single claim waits for its second write */
} request_t;

typedef struct request_queue {
	request_t *first;
	request_t *last;
} request_queue_t;

struct sim {
	uint64_t now_ms;
	at_rng_t rng;
	object_t objects[AT_CLAIM_SHARDS_MAX + 1];
	uint64_t last_version; /* of any object */
	call_t *calls;
	uint32_t writes_s;     /* limit of the object API */
	uint64_t write_credit; /* millionths of a write */
	at_claims_t *claims[INSTANCES];
	request_queue_t write_queues[INSTANCES]; /* single claims to write */
	uint64_t next_write_ms[INSTANCES];
	request_queue_t running; /* in order of end_ms */
	uint64_t writes;
	uint64_t written_bytes;
	uint64_t reads;
	uint64_t write_conflicts;
	uint64_t refused_writes;
	uint64_t granted;
	uint64_t refused;
	uint32_t *latency_ms; /* from arrival to grant */
	size_t latency_max;
};

static uint64_t
sim_now(void *impl)
{
	const sim_t *sim = impl;

	return sim->now_ms;
}

static void
queue_push(request_queue_t *queue, request_t *request)
{
	request->next = NULL;
	if (queue->last != NULL)
		queue->last->next = request;
	else
		queue->first = request;
	queue->last = request;
}

static request_t *
queue_pop(request_queue_t *queue)
{
	request_t *request = queue->first;

	queue->first = request->next;
	if (queue->first == NULL)
		queue->last = NULL;
	return request;
}

static call_t *
new_call(sim_t *sim, uint32_t object_index, at_store_done_t done, void *ctx)
{
	call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		abort();
	call->sim = sim;
	call->object_index = object_index;
	call->done = done;
	call->ctx = ctx;
	call->executes_ms = sim->now_ms + CALL_DELAY_MIN_MS +
			    at_rng_below(&sim->rng, CALL_DELAY_RANGE_MS);
	call->next = sim->calls;
	sim->calls = call;
	return call;
}

static uint32_t
parse_object_index(const char *name)
{
	return (uint32_t)strtoul(
	    name + strlen(AT_CLAIM_OBJECT_PREFIX), NULL, 10);
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	(void)new_call(impl, parse_object_index(name), done, ctx);
}

static void
store_put(void *impl, const char *name, uint64_t expected_version,
    const void *value, size_t len, at_store_done_t done, void *ctx)
{
	call_t *call = new_call(impl, parse_object_index(name), done, ctx);

	call->is_put = 1;
	call->expected_version = expected_version;
	call->value = malloc(len);
	if (call->value == NULL)
		abort();
	call->len = len;
	memcpy(call->value, value, len);
}

/* Returns non-zero if the write limit admits one more write now. */
static int
admit_write(sim_t *sim, size_t len)
{
	if (sim->write_credit < (uint64_t)AT_MS_PER_S * US_PER_MS) {
		sim->refused_writes++;
		return 0;
	}
	sim->write_credit -= (uint64_t)AT_MS_PER_S * US_PER_MS;
	sim->writes++;
	sim->written_bytes += len;
	return 1;
}

static void
execute_put(call_t *call)
{
	sim_t *sim = call->sim;
	object_t *object = &sim->objects[call->object_index];

	if (!admit_write(sim, call->len)) {
		call->result.code = AT_STORE_NOT_SENT;
		return;
	}
	if (call->object_index == SINGLE_CLAIM_OBJECT)
		return;
	if (call->expected_version != object->version) {
		sim->write_conflicts++;
		call->result.code = AT_STORE_CONFLICT;
		return;
	}
	free(object->value);
	object->value = call->value;
	object->len = call->len;
	call->value = NULL;
	object->version = ++sim->last_version;
	call->result.version = object->version;
}

static void
execute_call(call_t *call)
{
	sim_t *sim = call->sim;
	const object_t *object = &sim->objects[call->object_index];

	call->is_executed = 1;
	if (call->is_put) {
		execute_put(call);
		return;
	}
	sim->reads++;
	call->result.code =
	    object->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	call->result.version = object->version;
	call->value = malloc(object->len + 1);
	if (call->value == NULL)
		abort();
	if (object->len > 0)
		memcpy(call->value, object->value, object->len);
	call->result.value = call->value;
	call->result.value_len = object->len;
}

static void
process_calls(sim_t *sim)
{
	call_t **link = &sim->calls;
	call_t *ended = NULL;
	call_t *call;

	while ((call = *link) != NULL) {
		if (!call->is_executed && sim->now_ms >= call->executes_ms)
			execute_call(call);
		if (sim->now_ms < call->executes_ms + RESPONSE_DELAY_MS) {
			link = &call->next;
			continue;
		}
		*link = call->next;
		call->next = ended;
		ended = call;
	}
	while ((call = ended) != NULL) {
		ended = call->next;
		call->done(call->ctx, &call->result);
		free(call->value);
		free(call);
	}
}

static void
note_granted(request_t *request)
{
	sim_t *sim = request->sim;

	if (sim->granted < sim->latency_max)
		sim->latency_ms[sim->granted] =
		    (uint32_t)(sim->now_ms - request->arrived_ms);
	sim->granted++;
	request->end_ms = sim->now_ms + EXECUTION_MS;
	queue_push(&sim->running, request);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	request_t *request = ctx;

	if (result->outcome == AT_CLAIM_GRANTED) {
		request->claim = claim;
		note_granted(request);
		return;
	}
	request->sim->refused++;
	free(request);
}

static void
on_single_write(void *ctx, const at_store_result_t *result)
{
	request_t *request = ctx;

	if (result->code != AT_STORE_OK)
		queue_push(
		    &request->sim->write_queues[request->instance], request);
	else if (request->is_settling)
		free(request);
	else
		note_granted(request);
}

/* Sends the next write of an instance that writes one object for each claim. */
static void
send_next_write(sim_t *sim, uint32_t instance)
{
	request_queue_t *queue = &sim->write_queues[instance];
	request_t *request;
	call_t *call;

	while (queue->first != NULL && !queue->first->is_settling &&
	       sim->now_ms - queue->first->arrived_ms >= CLAIM_TIMEOUT_MS) {
		free(queue_pop(queue));
		sim->refused++;
	}
	if (queue->first == NULL || sim->now_ms < sim->next_write_ms[instance])
		return;
	sim->next_write_ms[instance] =
	    sim->now_ms + AT_MS_PER_S * INSTANCES / sim->writes_s;
	request = queue_pop(queue);
	call = new_call(sim, 0, on_single_write, request);
	call->is_put = 1;
	call->object_index = SINGLE_CLAIM_OBJECT;
	call->len = RESPONSE_BYTES;
}

/* A request arrives at a random instance. */
static void
start_request(sim_t *sim, int is_batched)
{
	static uint64_t request_number;
	request_t *request = calloc(1, sizeof(*request));
	const void *data = &request_number;
	const size_t len = sizeof(request_number);
	at_claim_hash_t hash;

	if (request == NULL)
		abort();
	request->sim = sim;
	request->instance = (uint32_t)at_rng_below(&sim->rng, INSTANCES);
	request->arrived_ms = sim->now_ms;
	request_number++;
	if (!is_batched) {
		queue_push(&sim->write_queues[request->instance], request);
		return;
	}
	at_claim_hash(&hash, &data, &len, 1);
	(void)at_claims_request(sim->claims[request->instance], &hash, &hash,
	    CLAIM_TIMEOUT_MS, on_claim, request);
}

/* Ends the requests that are due and settles their claims. */
static void
end_requests(sim_t *sim, int is_batched)
{
	static const char response[RESPONSE_BYTES];

	while (sim->running.first != NULL &&
	       sim->running.first->end_ms <= sim->now_ms) {
		request_t *request = queue_pop(&sim->running);

		if (is_batched) {
			at_claims_settle(sim->claims[request->instance],
			    request->claim, 200, response, sizeof(response));
			free(request);
		} else {
			request->is_settling = 1;
			queue_push(
			    &sim->write_queues[request->instance], request);
		}
	}
}

static void
init_claims(sim_t *sim, uint32_t shards)
{
	const at_store_t store = {store_get, store_put, NULL, NULL, sim};
	const at_clock_t clock = {sim_now, sim};
	const at_random_t random = at_rng_port(&sim->rng);
	uint32_t i;

	for (i = 0; i < INSTANCES; i++) {
		at_claims_t *claims = at_claims_new();
		const at_incarnation_t self = {.number = i + 1};

		if (claims == NULL)
			abort();
		at_claims_set_store(claims, &store);
		at_claims_set_clock(claims, &clock);
		at_claims_set_random(claims, &random);
		at_claims_set_self(claims, &self);
		at_claims_set_shards(claims, shards, AT_VALUE_MAX_BYTES);
		at_claims_set_put_rate(
		    claims, sim->writes_s * PUT_RATE_PERCENT / 100 / INSTANCES);
		sim->claims[i] = claims;
	}
}

/* Advances the time by 1 ms. */
static void
advance(sim_t *sim, int is_batched, uint32_t requests_s)
{
	uint64_t credit_max = (uint64_t)BURST_WRITES * AT_MS_PER_S * US_PER_MS;
	uint32_t i;

	sim->now_ms++;
	sim->write_credit += (uint64_t)sim->writes_s * US_PER_MS;
	if (sim->write_credit > credit_max)
		sim->write_credit = credit_max;
	/* Binomially distributed arrivals, ten trials per millisecond. */
	for (i = 0; i < 10; i++) {
		if (at_rng_below(&sim->rng, 10u * AT_MS_PER_S) < requests_s)
			start_request(sim, is_batched);
	}
	process_calls(sim);
	end_requests(sim, is_batched);
	for (i = 0; i < INSTANCES; i++) {
		if (is_batched)
			at_claims_tick(sim->claims[i]);
		else
			send_next_write(sim, i);
	}
}

static int
compare_values(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

/* Frees the requests in a queue. */
static void
free_queue(request_queue_t *queue)
{
	while (queue->first != NULL)
		free(queue_pop(queue));
}

static void
sim_delete(sim_t *sim)
{
	call_t *call;
	uint32_t i;

	while ((call = sim->calls) != NULL) {
		sim->calls = call->next;
		free(call->value);
		free(call);
	}
	for (i = 0; i < INSTANCES; i++) {
		at_claims_delete(sim->claims[i]);
		free_queue(&sim->write_queues[i]);
	}
	free_queue(&sim->running);
	for (i = 0; i < AT_CLAIM_SHARDS_MAX; i++)
		free(sim->objects[i].value);
	free(sim->latency_ms);
	free(sim);
}

static void
print_row(sim_t *sim, const char *policy, uint32_t requests_s, uint32_t time_s)
{
	size_t count =
	    sim->granted < sim->latency_max ? sim->granted : sim->latency_max;
	uint64_t ended = sim->granted + sim->refused;

	qsort(sim->latency_ms, count, sizeof(*sim->latency_ms), compare_values);
	(void)printf("%6u  %-18s %9.0f %9.2f %9.1f %8.0f %8.0f %9.0f %8.1f "
		     "%7u %7u\n",
	    requests_s, policy, (double)sim->granted / time_s,
	    ended == 0 ? 0. : 100. * (double)sim->refused / (double)ended,
	    sim->writes == 0 ? 0. : (double)sim->granted / (double)sim->writes,
	    (double)sim->writes / time_s, (double)sim->reads / time_s,
	    (double)sim->write_conflicts / time_s,
	    sim->writes == 0
		? 0.
		: (double)sim->written_bytes / 1024. / (double)sim->writes,
	    count == 0 ? 0 : sim->latency_ms[count / 2],
	    count == 0 ? 0 : sim->latency_ms[count * 99 / 100]);
}

/* Measures one row of the table. Without shards each claim has an object. */
static void
run_policy(
    uint32_t shards, uint32_t requests_s, uint32_t writes_s, uint32_t time_s)
{
	sim_t *sim = calloc(1, sizeof(*sim));
	char policy[32] = "object per claim";
	uint32_t i;

	if (sim == NULL)
		abort();
	sim->now_ms = 1;
	sim->rng.state = 1;
	sim->writes_s = writes_s;
	sim->latency_max = (size_t)requests_s * time_s * 2;
	sim->latency_ms = calloc(sim->latency_max, sizeof(*sim->latency_ms));
	if (sim->latency_ms == NULL)
		abort();
	if (shards > 0) {
		init_claims(sim, shards);
		(void)snprintf(
		    policy, sizeof(policy), "ledger, %u shards", shards);
	}
	for (i = 0; i < time_s * AT_MS_PER_S; i++)
		advance(sim, shards > 0, requests_s);
	print_row(sim, policy, requests_s, time_s);
	sim_delete(sim);
}

int
bench_claims(int argc, char **argv)
{
	static const uint32_t arrival_rates[] = {50, 500, 2000};
	static const uint32_t shards[] = {0, 4, 8, 16};
	uint32_t writes_s =
	    (uint32_t)atoi(bench_option(argc, argv, "writes", "200"));
	uint32_t time_s =
	    (uint32_t)atoi(bench_option(argc, argv, "time-s", "30"));
	size_t i;
	size_t k;

	if (writes_s < INSTANCES || time_s == 0) {
		(void)fprintf(stderr,
		    "almond-bench claims: expected --writes of at least "
		    "%u and --time-s of at least 1\n",
		    INSTANCES);
		return 2;
	}
	(void)printf("%u instances, cap %u writes/s, %u s of virtual time\n\n"
		     "once/s  %-18s %9s %9s %9s %8s %8s %9s %8s %7s %7s\n",
	    INSTANCES, writes_s, time_s, "policy", "granted/s", "refused%",
	    "claims/wr", "writes/s", "reads/s", "conflct/s", "KB/write",
	    "p50 ms", "p99 ms");
	for (i = 0; i < sizeof(arrival_rates) / sizeof(arrival_rates[0]); i++) {
		for (k = 0; k < sizeof(shards) / sizeof(shards[0]); k++)
			run_policy(
			    shards[k], arrival_rates[i], writes_s, time_s);
	}
	return 0;
}
