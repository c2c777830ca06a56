/*
 * The claim ledger on several instances over one object API that delays, loses
 * and refuses calls, checked against the true state of each key.
 *
 * Input bytes choose the operations, then a generator seeded with them does,
 * so that each run has at least OPERATIONS operations.
 * check-args: -seed=1 -runs=4100 -max_len=512 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/claims/claims_table.h"
#include "fuzz/operations.h"
#include "support/faulty_store.h"

#define OPERATIONS 256
#define INSTANCES 4
#define KEYS 7
#define DIGESTS 2
#define SHARDS 2
#define SHARD_BYTES 420u /* a few entries and responses */
#define REQUESTS_MAX 64
#define RETENTION_S 60u
#define WAIT_MS 1000u
#define FAULT_FREE_ROUNDS 400 /* rounds without faults at the end of a run */
#define ROUND_MS 10u

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* The true state of a key. Times are true times. */
typedef struct key_state {
	int is_claimed; /* granted, and not released since */
	int is_settled;
	uint64_t requested_ms; /* when the granted request was made */
	int digest;
	uint32_t execution;       /* number of the last grant */
	int digest_used[DIGESTS]; /* a request had this digest */
} key_state_t;

typedef struct instance {
	at_claims_t *ledger;
	uint64_t incarnation;
	uint64_t offset_ms;
	int rate_percent; /* rate of the clock in percent of true time */
	uint64_t started_ms;
	int is_paused;
	uint32_t granted[KEYS + 1]; /* last execution granted for each key */
	at_rng_t rng;
} instance_t;

typedef struct request {
	int used;
	int is_delivered; /* the callback was called */
	int is_granted;
	int instance;
	int key;
	int digest;
	uint64_t requested_ms; /* true time */
	uint32_t executions;   /* number of grants before it */
	uint32_t execution;    /* number of its own grant */
	uint64_t deadline_ms;  /* by the instance's clock */
	at_claim_t *claim;
} request_t;

static uint64_t now_ms;
static faulty_store_t *store;
static instance_t instances[INSTANCES];
/* The last key is used only at the end of a run. */
static key_state_t key_states[KEYS + 1];
static request_t requests[REQUESTS_MAX];
static uint32_t executions;
static uint64_t incarnations;

static operations_t input;

static unsigned
draw(unsigned bound)
{
	return operations_draw(&input, bound);
}

static uint64_t
instance_now(void *impl)
{
	const instance_t *i = impl;

	return i->offset_ms +
	       (now_ms - i->started_ms) * (uint64_t)i->rate_percent / 100;
}

static void
start_instance(int n)
{
	instance_t *i = &instances[n];
	at_store_t port = faulty_store_port(store, (unsigned)n);
	at_clock_t clock = {instance_now, i};
	at_random_t random;
	at_incarnation_t self = {.number = ++incarnations};

	memset(i, 0, sizeof(*i));
	i->incarnation = incarnations;
	i->rng.state = incarnations * 7919;
	random = at_rng_port(&i->rng);
	i->offset_ms = draw(200) * 1000u;
	i->rate_percent = 99 + (int)draw(3);
	i->started_ms = now_ms;
	i->ledger = at_claims_new();
	at_claims_set_store(i->ledger, &port);
	at_claims_set_clock(i->ledger, &clock);
	at_claims_set_random(i->ledger, &random);
	at_claims_set_self(i->ledger, &self);
	at_claims_set_retention(i->ledger, RETENTION_S);
	at_claims_set_shards(i->ledger, SHARDS, SHARD_BYTES);
	at_claims_set_put_rate(i->ledger, draw(2) * 100);
}

/* Ends an instance; the puts that it sent may still take effect. */
static void
stop_instance(int n)
{
	int i;

	faulty_store_remove_client(store, (unsigned)n);
	for (i = 0; i < REQUESTS_MAX; i++) {
		if (requests[i].used && requests[i].instance == n)
			requests[i].used = 0;
	}
	at_claims_delete(instances[n].ledger);
	instances[n].ledger = NULL;
}

static void
set_paused(int n, int is_paused)
{
	instances[n].is_paused = is_paused;
	faulty_store_set_paused(store, (unsigned)n, is_paused);
}

static int
is_retained(const key_state_t *state)
{
	return state->is_claimed &&
	       now_ms - state->requested_ms < RETENTION_S * AT_MS_PER_S;
}

static void
on_granted(request_t *request, at_claim_t *claim)
{
	key_state_t *state = &key_states[request->key];

	CHECK(!is_retained(state));
	CHECK(instance_now(&instances[request->instance]) <=
	      request->deadline_ms);
	state->is_claimed = 1;
	state->is_settled = 0;
	state->requested_ms = request->requested_ms;
	state->digest = request->digest;
	state->execution = ++executions;
	request->execution = state->execution;
	request->is_granted = 1;
	request->claim = claim;
	instances[request->instance].granted[request->key] = state->execution;
}

static uint16_t
execution_status(uint32_t execution)
{
	return (uint16_t)(200 + execution % 100);
}

static void
on_completed(const request_t *request, const at_claim_result_t *result)
{
	const key_state_t *state = &key_states[request->key];
	uint32_t execution;

	/* The object was read before the last execution was granted. */
	if (state->execution > request->executions)
		return;
	CHECK(state->is_claimed && state->is_settled);
	CHECK(state->digest == request->digest);
	CHECK(result->status == execution_status(state->execution));
	if (!result->response_stored)
		return;
	CHECK(result->response_len >= sizeof(execution));
	memcpy(&execution, result->response, sizeof(execution));
	CHECK(execution == state->execution);
}

static void
on_outcome(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	request_t *request = ctx;
	const key_state_t *state = &key_states[request->key];

	CHECK(request->used && !request->is_delivered);
	request->is_delivered = 1;
	switch (result->outcome) {
	case AT_CLAIM_GRANTED:
		on_granted(request, claim);
		return;
	case AT_CLAIM_COMPLETED:
		on_completed(request, result);
		break;
	case AT_CLAIM_MISMATCH:
		CHECK(state->digest_used[!request->digest]);
		CHECK(!is_retained(state) || state->digest != request->digest ||
		      state->execution > request->executions);
		break;
	case AT_CLAIM_UNAVAILABLE:
		/* An instance must not deny an execution of its own. */
		CHECK(!is_retained(state) ||
		      instances[request->instance].granted[request->key] !=
			  state->execution);
		break;
	default:
		break;
	}
	request->used = 0;
}

static request_t *
pick_request(int is_granted)
{
	unsigned start = draw(REQUESTS_MAX);
	unsigned i;

	for (i = 0; i < REQUESTS_MAX; i++) {
		request_t *request = &requests[(start + i) % REQUESTS_MAX];

		if (request->used && request->is_granted == is_granted &&
		    !instances[request->instance].is_paused)
			return request;
	}
	return NULL;
}

static void
hash_number(at_claim_hash_t *hash, int number)
{
	const void *part = &number;
	const size_t len = sizeof(number);

	at_claim_hash(hash, &part, &len, 1);
}

static int
find_key(const claim_entry_t *entry)
{
	at_claim_hash_t hash;
	int key;

	for (key = 0; key < KEYS; key++) {
		hash_number(&hash, key);
		if (memcmp(&hash, &entry->key, sizeof(hash)) == 0)
			break;
	}
	return key;
}

static void
send_request(int n, int key, int digest)
{
	at_claim_hash_t key_hash;
	at_claim_hash_t digest_hash;
	request_t *request = NULL;
	int i;

	for (i = 0; i < REQUESTS_MAX && request == NULL; i++) {
		if (!requests[i].used)
			request = &requests[i];
	}
	if (request == NULL || instances[n].is_paused)
		return;
	hash_number(&key_hash, key);
	hash_number(&digest_hash, digest);
	memset(request, 0, sizeof(*request));
	request->used = 1;
	request->instance = n;
	request->key = key;
	request->digest = digest;
	request->requested_ms = now_ms;
	request->executions = executions;
	request->deadline_ms = instance_now(&instances[n]) + WAIT_MS;
	key_states[key].digest_used[digest] = 1;
	request->claim = at_claims_request(instances[n].ledger, &key_hash,
	    &digest_hash, WAIT_MS, on_outcome, request);
}

static void
end_claim(request_t *request, unsigned choice)
{
	at_claims_t *ledger = instances[request->instance].ledger;
	key_state_t *state = &key_states[request->key];
	uint8_t response[AT_CLAIM_RESPONSE_MAX_BYTES + 1] = {0};
	static const size_t lens[] = {
	    4, 60, 300, AT_CLAIM_RESPONSE_MAX_BYTES + 1};

	request->used = 0;
	memcpy(response, &request->execution, sizeof(request->execution));
	if (choice < 4) {
		if (state->execution == request->execution)
			state->is_settled = 1;
		at_claims_settle(ledger, request->claim,
		    execution_status(request->execution), response,
		    lens[choice]);
	} else if (choice == 4) {
		if (state->execution == request->execution)
			state->is_claimed = 0;
		at_claims_release(ledger, request->claim);
	} else {
		at_claims_abandon(ledger, request->claim);
	}
}

static void
cancel(request_t *request)
{
	request->used = 0;
	at_claims_cancel(instances[request->instance].ledger, request->claim);
}

/* Ticks the instances that are not paused; no outcome may be late. */
static void
tick(void)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		if (!instances[i].is_paused)
			at_claims_tick(instances[i].ledger);
	}
	for (i = 0; i < REQUESTS_MAX; i++) {
		const request_t *request = &requests[i];
		const instance_t *owner = &instances[request->instance];

		if (request->used && !request->is_delivered &&
		    !owner->is_paused)
			CHECK(instance_now(&instances[request->instance]) <
			      request->deadline_ms);
	}
}

static void
advance(unsigned choice)
{
	static const uint64_t steps_ms[] = {1, 5, 20, 100, 500, 2000, 25000,
	    RETENTION_S * AT_MS_PER_S - 1500, 70000};

	now_ms += steps_ms[choice];
	tick();
}

static void
run_without_faults(int rounds)
{
	int i;

	for (i = 0; i < rounds; i++) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		advance(3);
	}
}

/*
 * An instance ends its claim after the claim was pruned and granted to another
 * instance. Its table was read so recently that the end is written by a put
 * without another read.
 */
static void
end_claim_after_new_grant(request_t *request)
{
	int own = request->instance;
	int other = (own + 1) % INSTANCES;
	int key = request->key;
	int k;

	advance(8);
	send_request(other, key, 0);
	run_without_faults(3);
	send_request(own, key, 0);
	faulty_store_handle_all(store, FAULTY_DONE, 0);
	if (request->used && request->is_granted)
		end_claim(request, draw(6));
	for (k = 0; k < KEYS; k++)
		send_request(own, k, 0);
	run_without_faults(3);
	send_request(other, key, 0);
	run_without_faults(3);
}

static void
step(void)
{
	unsigned choice = draw(32);
	request_t *request;
	int n;

	if (choice < 9) {
		send_request(
		    (int)draw(INSTANCES), (int)draw(KEYS), draw(8) == 0);
	} else if (choice < 17) {
		n = (int)draw(FAULTY_CALLS_MAX);
		faulty_store_handle(store, (unsigned)n,
		    (faulty_outcome_t)draw(FAULTY_OUTCOME_COUNT));
	} else if (choice < 20) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
	} else if (choice < 24) {
		request = pick_request(1);
		if (request != NULL && draw(24) == 0)
			end_claim_after_new_grant(request);
		else if (request != NULL)
			end_claim(request, draw(6));
	} else if (choice < 28) {
		advance(draw(draw(4) == 0 ? 9 : 5));
	} else if (choice == 28) {
		n = (int)draw(INSTANCES);
		stop_instance(n);
		start_instance(n);
	} else if (choice == 29) {
		faulty_store_set_outage(store, draw(3) == 0);
	} else if (choice == 30) {
		n = (int)draw(INSTANCES);
		set_paused(n, !instances[n].is_paused);
	} else if (draw(8) == 0) {
		for (n = 0; n < INSTANCES; n++) {
			stop_instance(n);
			start_instance(n);
		}
	} else {
		request = pick_request(0);
		if (request != NULL)
			cancel(request);
	}
}

static int
is_everything_recorded(void)
{
	int i;

	for (i = 0; i < REQUESTS_MAX; i++) {
		if (requests[i].used)
			return 0;
	}
	for (i = 0; i < INSTANCES; i++) {
		if (at_claims_unsettled_count(instances[i].ledger) != 0)
			return 0;
	}
	return 1;
}

/* Runs without faults until every request and settlement has ended. */
static void
settle_all(void)
{
	request_t *request;
	int i;

	for (i = 0; i < FAULT_FREE_ROUNDS; i++) {
		while ((request = pick_request(1)) != NULL)
			end_claim(request, 0);
		if (is_everything_recorded())
			return;
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		now_ms += ROUND_MS;
		tick();
	}
	CHECK(is_everything_recorded());
}

/* A key that was never used is granted although the response is lost. */
static void
claim_with_lost_response(void)
{
	int i;

	now_ms += WAIT_MS;
	send_request(0, KEYS, 0);
	for (i = 0; i < FAULT_FREE_ROUNDS; i++) {
		faulty_store_handle_all(store, FAULTY_RESPONSE_LOST, 1);
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		if (key_states[KEYS].is_claimed)
			break;
		now_ms += ROUND_MS;
		tick();
	}
	CHECK(key_states[KEYS].is_claimed);
}

/* An unsettled entry of a running instance must be of a granted claim. */
static void
check_object(const faulty_object_t *o)
{
	claims_table_t table;
	size_t i;
	int n;

	CHECK(claims_table_decode(&table, o->value, o->len) == 0);
	for (i = 0; i < table.count; i++) {
		const claim_entry_t *entry = &table.entries[i];
		const key_state_t *state = &key_states[find_key(entry)];

		for (n = 0; n < INSTANCES; n++) {
			if (entry->claimant == instances[n].incarnation)
				CHECK(entry->status != 0 || state->is_claimed);
		}
	}
	claims_table_free(&table);
}

static void
finish(void)
{
	const faulty_object_t *objects;
	size_t count;
	size_t o;
	int i;

	faulty_store_set_outage(store, 0);
	for (i = 0; i < INSTANCES; i++)
		set_paused(i, 0);
	settle_all();
	faulty_store_apply_abandoned(store);
	objects = faulty_store_objects(store, &count);
	for (o = 0; o < count; o++)
		check_object(&objects[o]);
	now_ms += 2 * RETENTION_S * AT_MS_PER_S;
	claim_with_lost_response();
	for (i = 0; i < INSTANCES; i++)
		CHECK(at_claims_stats(instances[i].ledger)->malformed == 0);
}

static void
clean_up(void)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		stop_instance(i);
	faulty_store_delete(store);
	memset(key_states, 0, sizeof(key_states));
	memset(requests, 0, sizeof(requests));
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int i;

	input = operations_of(data, size);
	incarnations = 0;
	store = faulty_store_new();
	now_ms = 1000;
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	for (i = 0; i < OPERATIONS || input.size > 0; i++)
		step();
	finish();
	clean_up();
	return 0;
}
