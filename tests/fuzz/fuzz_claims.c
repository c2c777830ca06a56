/*
 * The claim ledger on several instances over one object API that delays,
 * loses and refuses, against an oracle that counts what was dispatched.
 *
 * Input bytes choose the operations; when they end, numbers seeded by them
 * go on, so that each run has OPERATIONS of them.
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
#define SHARD_BYTES 420u /* a few entries and answers */
#define ASKS_MAX 64
#define RETENTION_S 60u
#define WAIT_MS 1000u
#define SETTLE_ROUNDS 400 /* of the fault-free end */
#define ROUND_MS 10u

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What truly happened to a key, by true time. */
typedef struct truth {
	int taken; /* granted and not released */
	int ended;
	uint64_t since_ms; /* of the request */
	int digest;
	uint32_t execution;
	int asked[DIGESTS];
} truth_t;

typedef struct instance {
	at_claims_t *ledger;
	uint64_t life;
	uint64_t offset_ms;
	int rate_percent; /* of true time */
	uint64_t started_ms;
	int paused;
	uint32_t granted[KEYS + 1]; /* executions of this life */
	at_rng_t rng;
} instance_t;

typedef struct ask {
	int used;
	int told; /* how often the outcome was told */
	int held;
	int instance;
	int key;
	int digest;
	uint64_t asked_ms;   /* true time */
	uint32_t executions; /* granted before it */
	uint32_t execution;  /* of its own grant */
	uint64_t limit_ms;   /* by the instance's clock */
	at_claim_t *claim;
} ask_t;

static uint64_t now_ms;
static faulty_store_t *store;
static instance_t instances[INSTANCES];
static truth_t truths[KEYS + 1]; /* the last is for the end of a run */
static ask_t asks[ASKS_MAX];
static uint32_t executions;
static uint64_t lives;

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
	at_incarnation_t self = {.number = ++lives};

	memset(i, 0, sizeof(*i));
	i->life = lives;
	i->rng.state = lives * 7919;
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

/* The process dies; what it sent may still land. */
static void
kill_instance(int n)
{
	int i;

	faulty_store_forget(store, (unsigned)n);
	for (i = 0; i < ASKS_MAX; i++) {
		if (asks[i].used && asks[i].instance == n)
			asks[i].used = 0;
	}
	at_claims_delete(instances[n].ledger);
	instances[n].ledger = NULL;
}

static void
set_paused(int n, int paused)
{
	instances[n].paused = paused;
	faulty_store_set_paused(store, (unsigned)n, paused);
}

static int
retained(const truth_t *t)
{
	return t->taken && now_ms - t->since_ms < RETENTION_S * AT_MS_PER_S;
}

static void
on_granted(ask_t *a, at_claim_t *claim)
{
	truth_t *t = &truths[a->key];

	CHECK(!retained(t));
	CHECK(instance_now(&instances[a->instance]) <= a->limit_ms);
	t->taken = 1;
	t->ended = 0;
	t->since_ms = a->asked_ms;
	t->digest = a->digest;
	t->execution = ++executions;
	a->execution = t->execution;
	a->held = 1;
	a->claim = claim;
	instances[a->instance].granted[a->key] = t->execution;
}

static uint16_t
status_of(uint32_t execution)
{
	return (uint16_t)(200 + execution % 100);
}

static void
on_answered(const ask_t *a, const at_claim_result_t *r)
{
	const truth_t *t = &truths[a->key];
	uint32_t execution;

	/* The object was read before the present execution began. */
	if (t->execution > a->executions)
		return;
	CHECK(t->taken && t->ended);
	CHECK(t->digest == a->digest);
	CHECK(r->status == status_of(t->execution));
	if (!r->response_stored)
		return;
	CHECK(r->response_len >= sizeof(execution));
	memcpy(&execution, r->response, sizeof(execution));
	CHECK(execution == t->execution);
}

static void
on_outcome(void *ctx, at_claim_t *claim, const at_claim_result_t *r)
{
	ask_t *a = ctx;
	const truth_t *t = &truths[a->key];

	CHECK(a->used && !a->told);
	a->told = 1;
	switch (r->outcome) {
	case AT_CLAIM_GRANTED:
		on_granted(a, claim);
		return;
	case AT_CLAIM_COMPLETED:
		on_answered(a, r);
		break;
	case AT_CLAIM_MISMATCH:
		CHECK(t->asked[!a->digest]);
		CHECK(!retained(t) || t->digest != a->digest ||
		      t->execution > a->executions);
		break;
	case AT_CLAIM_UNAVAILABLE:
		/* "Not run" never from the one that dispatched it. */
		CHECK(!retained(t) ||
		      instances[a->instance].granted[a->key] != t->execution);
		break;
	default:
		break;
	}
	a->used = 0;
}

static ask_t *
pick_ask(int held)
{
	unsigned start = draw(ASKS_MAX);
	unsigned i;

	for (i = 0; i < ASKS_MAX; i++) {
		ask_t *a = &asks[(start + i) % ASKS_MAX];

		if (a->used && a->held == held &&
		    !instances[a->instance].paused)
			return a;
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
key_of(const claim_entry_t *entry)
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
ask(int n, int key, int digest)
{
	at_claim_hash_t key_hash;
	at_claim_hash_t digest_hash;
	ask_t *a = NULL;
	int i;

	for (i = 0; i < ASKS_MAX && a == NULL; i++) {
		if (!asks[i].used)
			a = &asks[i];
	}
	if (a == NULL || instances[n].paused)
		return;
	hash_number(&key_hash, key);
	hash_number(&digest_hash, digest);
	memset(a, 0, sizeof(*a));
	a->used = 1;
	a->instance = n;
	a->key = key;
	a->digest = digest;
	a->asked_ms = now_ms;
	a->executions = executions;
	a->limit_ms = instance_now(&instances[n]) + WAIT_MS;
	truths[key].asked[digest] = 1;
	a->claim = at_claims_request(instances[n].ledger, &key_hash,
	    &digest_hash, WAIT_MS, on_outcome, a);
}

static void
end_claim(ask_t *a, unsigned how)
{
	at_claims_t *ledger = instances[a->instance].ledger;
	truth_t *t = &truths[a->key];
	uint8_t answer[AT_CLAIM_RESPONSE_MAX_BYTES + 1] = {0};
	static const size_t lens[] = {
	    4, 60, 300, AT_CLAIM_RESPONSE_MAX_BYTES + 1};

	a->used = 0;
	memcpy(answer, &a->execution, sizeof(a->execution));
	if (how < 4) {
		if (t->execution == a->execution)
			t->ended = 1;
		at_claims_settle(ledger, a->claim, status_of(a->execution),
		    answer, lens[how]);
	} else if (how == 4) {
		if (t->execution == a->execution)
			t->taken = 0;
		at_claims_release(ledger, a->claim);
	} else {
		at_claims_abandon(ledger, a->claim);
	}
}

static void
cancel(ask_t *a)
{
	a->used = 0;
	at_claims_cancel(instances[a->instance].ledger, a->claim);
}

/* Ticks everyone who is not paused; no outcome is late. */
static void
tick(void)
{
	int i;

	for (i = 0; i < INSTANCES; i++) {
		if (!instances[i].paused)
			at_claims_tick(instances[i].ledger);
	}
	for (i = 0; i < ASKS_MAX; i++) {
		const ask_t *a = &asks[i];
		const instance_t *owner = &instances[a->instance];

		if (a->used && !a->told && !owner->paused)
			CHECK(instance_now(&instances[a->instance]) <
			      a->limit_ms);
	}
}

static void
advance(unsigned how)
{
	static const uint64_t steps_ms[] = {1, 5, 20, 100, 500, 2000, 25000,
	    RETENTION_S * AT_MS_PER_S - 1500, 70000};

	now_ms += steps_ms[how];
	tick();
}

static void
work(int rounds)
{
	int i;

	for (i = 0; i < rounds; i++) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		advance(3);
	}
}

/*
 * A holder ends its claim after it was pruned and granted to another; its
 * table is so fresh that the end rides a put without another read.
 */
static void
outlast(ask_t *a)
{
	int own = a->instance;
	int other = (own + 1) % INSTANCES;
	int key = a->key;
	int k;

	advance(8);
	ask(other, key, 0);
	work(3);
	ask(own, key, 0);
	faulty_store_handle_all(store, FAULTY_DONE, 0);
	if (a->used && a->held)
		end_claim(a, draw(6));
	for (k = 0; k < KEYS; k++)
		ask(own, k, 0);
	work(3);
	ask(other, key, 0);
	work(3);
}

static void
step(void)
{
	unsigned what = draw(32);
	ask_t *a;
	int n;

	if (what < 9) {
		ask((int)draw(INSTANCES), (int)draw(KEYS), draw(8) == 0);
	} else if (what < 17) {
		n = (int)draw(FAULTY_CALLS);
		faulty_store_handle(
		    store, (unsigned)n, (faulty_fate_t)draw(FAULTY_FATES));
	} else if (what < 20) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
	} else if (what < 24) {
		a = pick_ask(1);
		if (a != NULL && draw(24) == 0)
			outlast(a);
		else if (a != NULL)
			end_claim(a, draw(6));
	} else if (what < 28) {
		advance(draw(draw(4) == 0 ? 9 : 5));
	} else if (what == 28) {
		n = (int)draw(INSTANCES);
		kill_instance(n);
		start_instance(n);
	} else if (what == 29) {
		faulty_store_set_outage(store, draw(3) == 0);
	} else if (what == 30) {
		n = (int)draw(INSTANCES);
		set_paused(n, !instances[n].paused);
	} else if (draw(8) == 0) {
		for (n = 0; n < INSTANCES; n++) {
			kill_instance(n);
			start_instance(n);
		}
	} else {
		a = pick_ask(0);
		if (a != NULL)
			cancel(a);
	}
}

static int
all_recorded(void)
{
	int i;

	for (i = 0; i < ASKS_MAX; i++) {
		if (asks[i].used)
			return 0;
	}
	for (i = 0; i < INSTANCES; i++) {
		if (at_claims_unsettled_count(instances[i].ledger) != 0)
			return 0;
	}
	return 1;
}

/* Runs without faults until every request and settlement is done. */
static void
settle_down(void)
{
	ask_t *a;
	int i;

	for (i = 0; i < SETTLE_ROUNDS; i++) {
		while ((a = pick_ask(1)) != NULL)
			end_claim(a, 0);
		if (all_recorded())
			return;
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		now_ms += ROUND_MS;
		tick();
	}
	CHECK(all_recorded());
}

/* A key never used before is granted although the reply is lost. */
static void
claim_with_lost_reply(void)
{
	int i;

	now_ms += WAIT_MS;
	ask(0, KEYS, 0);
	for (i = 0; i < SETTLE_ROUNDS; i++) {
		faulty_store_handle_all(store, FAULTY_LOST_REPLY, 1);
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		if (truths[KEYS].taken)
			break;
		now_ms += ROUND_MS;
		tick();
	}
	CHECK(truths[KEYS].taken);
}

/* What stays unsettled may truly have run, or its claimant has died. */
static void
check_object(const faulty_object_t *o)
{
	claims_table_t table;
	size_t i;
	int n;

	CHECK(claims_table_decode(&table, o->value, o->len) == 0);
	for (i = 0; i < table.count; i++) {
		const claim_entry_t *entry = &table.entries[i];
		const truth_t *t = &truths[key_of(entry)];

		for (n = 0; n < INSTANCES; n++) {
			if (entry->claimant == instances[n].life)
				CHECK(entry->status != 0 || t->taken);
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
	settle_down();
	faulty_store_land_all(store);
	objects = faulty_store_objects(store, &count);
	for (o = 0; o < count; o++)
		check_object(&objects[o]);
	now_ms += 2 * RETENTION_S * AT_MS_PER_S;
	claim_with_lost_reply();
	for (i = 0; i < INSTANCES; i++)
		CHECK(at_claims_stats(instances[i].ledger)->malformed == 0);
}

static void
clean_up(void)
{
	int i;

	for (i = 0; i < INSTANCES; i++)
		kill_instance(i);
	faulty_store_delete(store);
	memset(truths, 0, sizeof(truths));
	memset(asks, 0, sizeof(asks));
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int i;

	input = operations_of(data, size);
	lives = 0;
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
