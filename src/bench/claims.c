/*
 * What a claim costs: the ledger's group commit against one object for each
 * claim, on the same arrivals, under virtual time. Eight instances share an
 * object API that takes a few milliseconds a call and a capped number of
 * writes a second.
 */
#include "bench/bench.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/claims.h"

#define INSTANCES 8u
#define WAIT_MS 1000u     /* a claim is refused after this */
#define SERVICE_MS 20u    /* from the grant to the end of the request */
#define TO_EFFECT_MS 1u   /* least time until a call takes effect */
#define SPREAD_MS 3u      /* more, drawn evenly */
#define REPLY_MS 1u       /* from effect to answer */
#define SHARE_PERCENT 90u /* of the cap that the ledgers plan to use */
#define WRITE_BURST 20u   /* writes the cap admits at once */
#define ANSWER_BYTES 64u  /* of a stored answer */
#define OWN_OBJECT AT_CLAIM_SHARDS_MAX /* one for each: none clashes */
#define US_PER_MS 1000u

typedef struct world world_t;

/* One call on its way. */
typedef struct call {
	struct call *next;
	world_t *world;
	uint64_t effect_ms;
	uint32_t object;
	int is_put;
	int carried_out;
	uint64_t expect;
	void *value;
	size_t len;
	at_store_result_t result;
	at_store_done_t done;
	void *ctx;
} call_t;

typedef struct object {
	uint64_t version;
	void *value;
	size_t len;
} object_t;

/* One request from its arrival to its end. */
typedef struct request {
	struct request *next;
	world_t *world;
	uint32_t instance;
	uint64_t arrived_ms;
	uint64_t end_ms; /* when its claim is settled */
	at_claim_t *claim;
	int settling; /* one object for each: this is its second write */
} request_t;

typedef struct queue {
	request_t *first;
	request_t *last;
} queue_t;

struct world {
	uint64_t now_ms;
	at_rng_t rng;
	object_t objects[AT_CLAIM_SHARDS_MAX + 1];
	uint64_t versions;
	call_t *calls;
	uint32_t cap; /* writes a second */
	uint64_t tokens_us;
	at_claims_t *ledgers[INSTANCES];
	queue_t waiting[INSTANCES]; /* for a write of their own */
	uint64_t next_write_ms[INSTANCES];
	queue_t running; /* granted, by end_ms */
	uint64_t writes;
	uint64_t written_bytes;
	uint64_t reads;
	uint64_t conflicts;
	uint64_t over_cap;
	uint64_t granted;
	uint64_t refused;
	uint32_t *latency_ms;
	size_t latency_size;
};

static uint64_t
world_now(void *impl)
{
	const world_t *w = impl;

	return w->now_ms;
}

static void
push(queue_t *queue, request_t *r)
{
	r->next = NULL;
	if (queue->last != NULL)
		queue->last->next = r;
	else
		queue->first = r;
	queue->last = r;
}

static request_t *
pop(queue_t *queue)
{
	request_t *r = queue->first;

	queue->first = r->next;
	if (queue->first == NULL)
		queue->last = NULL;
	return r;
}

static call_t *
new_call(world_t *w, uint32_t object, at_store_done_t done, void *ctx)
{
	call_t *c = calloc(1, sizeof(*c));

	if (c == NULL)
		abort();
	c->world = w;
	c->object = object;
	c->done = done;
	c->ctx = ctx;
	c->effect_ms =
	    w->now_ms + TO_EFFECT_MS + at_rng_below(&w->rng, SPREAD_MS);
	c->next = w->calls;
	w->calls = c;
	return c;
}

static uint32_t
object_of(const char *name)
{
	return (uint32_t)strtoul(
	    name + strlen(AT_CLAIM_OBJECT_PREFIX), NULL, 10);
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	(void)new_call(impl, object_of(name), done, ctx);
}

static void
store_put(void *impl, const char *name, uint64_t expect, const void *value,
    size_t len, at_store_done_t done, void *ctx)
{
	call_t *c = new_call(impl, object_of(name), done, ctx);

	c->is_put = 1;
	c->expect = expect;
	c->value = malloc(len);
	if (c->value == NULL)
		abort();
	c->len = len;
	memcpy(c->value, value, len);
}

/* Returns non-zero when the platform takes one more write now. */
static int
admit_write(world_t *w, size_t len)
{
	if (w->tokens_us < (uint64_t)AT_MS_PER_S * US_PER_MS) {
		w->over_cap++;
		return 0;
	}
	w->tokens_us -= (uint64_t)AT_MS_PER_S * US_PER_MS;
	w->writes++;
	w->written_bytes += len;
	return 1;
}

static void
carry_out_put(call_t *c)
{
	world_t *w = c->world;
	object_t *o = &w->objects[c->object];

	if (!admit_write(w, c->len)) {
		c->result.code = AT_STORE_NOT_SENT;
		return;
	}
	if (c->object == OWN_OBJECT)
		return;
	if (c->expect != o->version) {
		w->conflicts++;
		c->result.code = AT_STORE_CONFLICT;
		return;
	}
	free(o->value);
	o->value = c->value;
	o->len = c->len;
	c->value = NULL;
	o->version = ++w->versions;
	c->result.version = o->version;
}

static void
carry_out(call_t *c)
{
	world_t *w = c->world;
	const object_t *o = &w->objects[c->object];

	c->carried_out = 1;
	if (c->is_put) {
		carry_out_put(c);
		return;
	}
	w->reads++;
	c->result.code = o->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	c->result.version = o->version;
	c->value = malloc(o->len + 1);
	if (c->value == NULL)
		abort();
	if (o->len > 0)
		memcpy(c->value, o->value, o->len);
	c->result.value = c->value;
	c->result.value_len = o->len;
}

static void
run_calls(world_t *w)
{
	call_t **link = &w->calls;
	call_t *replies = NULL;
	call_t *c;

	while ((c = *link) != NULL) {
		if (!c->carried_out && w->now_ms >= c->effect_ms)
			carry_out(c);
		if (w->now_ms < c->effect_ms + REPLY_MS) {
			link = &c->next;
			continue;
		}
		*link = c->next;
		c->next = replies;
		replies = c;
	}
	while ((c = replies) != NULL) {
		replies = c->next;
		c->done(c->ctx, &c->result);
		free(c->value);
		free(c);
	}
}

static void
note_granted(request_t *r)
{
	world_t *w = r->world;

	if (w->granted < w->latency_size)
		w->latency_ms[w->granted] =
		    (uint32_t)(w->now_ms - r->arrived_ms);
	w->granted++;
	r->end_ms = w->now_ms + SERVICE_MS;
	push(&w->running, r);
}

static void
on_claim(void *ctx, at_claim_t *claim, const at_claim_result_t *result)
{
	request_t *r = ctx;

	if (result->outcome == AT_CLAIM_GRANTED) {
		r->claim = claim;
		note_granted(r);
		return;
	}
	r->world->refused++;
	free(r);
}

static void
on_own_write(void *ctx, const at_store_result_t *result)
{
	request_t *r = ctx;

	if (result->code != AT_STORE_OK)
		push(&r->world->waiting[r->instance], r);
	else if (r->settling)
		free(r);
	else
		note_granted(r);
}

/* Sends the next write of an instance that gives each claim an object. */
static void
write_next(world_t *w, uint32_t instance)
{
	queue_t *queue = &w->waiting[instance];
	request_t *r;
	call_t *c;

	while (queue->first != NULL && !queue->first->settling &&
	       w->now_ms - queue->first->arrived_ms >= WAIT_MS) {
		free(pop(queue));
		w->refused++;
	}
	if (queue->first == NULL || w->now_ms < w->next_write_ms[instance])
		return;
	w->next_write_ms[instance] =
	    w->now_ms + AT_MS_PER_S * INSTANCES / w->cap;
	r = pop(queue);
	c = new_call(w, 0, on_own_write, r);
	c->is_put = 1;
	c->object = OWN_OBJECT;
	c->len = ANSWER_BYTES;
}

static void
arrive(world_t *w, int grouped)
{
	static uint64_t number;
	request_t *r = calloc(1, sizeof(*r));
	const void *part = &number;
	const size_t len = sizeof(number);
	at_claim_hash_t key;

	if (r == NULL)
		abort();
	r->world = w;
	r->instance = (uint32_t)at_rng_below(&w->rng, INSTANCES);
	r->arrived_ms = w->now_ms;
	number++;
	if (!grouped) {
		push(&w->waiting[r->instance], r);
		return;
	}
	at_claim_hash(&key, &part, &len, 1);
	(void)at_claims_request(
	    w->ledgers[r->instance], &key, &key, WAIT_MS, on_claim, r);
}

static void
end_running(world_t *w, int grouped)
{
	static const char answer[ANSWER_BYTES];

	while (
	    w->running.first != NULL && w->running.first->end_ms <= w->now_ms) {
		request_t *r = pop(&w->running);

		if (grouped) {
			at_claims_settle(w->ledgers[r->instance], r->claim, 200,
			    answer, sizeof(answer));
			free(r);
		} else {
			r->settling = 1;
			push(&w->waiting[r->instance], r);
		}
	}
}

static void
make_ledgers(world_t *w, uint32_t shards)
{
	const at_store_t store = {store_get, store_put, NULL, NULL, w};
	const at_clock_t clock = {world_now, w};
	const at_random_t random = at_rng_port(&w->rng);
	uint32_t i;

	for (i = 0; i < INSTANCES; i++) {
		at_claims_t *ledger = at_claims_new();
		const at_incarnation_t self = {.number = i + 1};

		if (ledger == NULL)
			abort();
		at_claims_set_store(ledger, &store);
		at_claims_set_clock(ledger, &clock);
		at_claims_set_random(ledger, &random);
		at_claims_set_self(ledger, &self);
		at_claims_set_shards(ledger, shards, AT_VALUE_MAX_BYTES);
		at_claims_set_put_rate(
		    ledger, w->cap * SHARE_PERCENT / 100 / INSTANCES);
		w->ledgers[i] = ledger;
	}
}

/* One millisecond: arrivals, calls, decisions. */
static void
step(world_t *w, int grouped, uint32_t rate)
{
	uint64_t full = (uint64_t)WRITE_BURST * AT_MS_PER_S * US_PER_MS;
	uint32_t i;

	w->now_ms++;
	w->tokens_us += (uint64_t)w->cap * US_PER_MS;
	if (w->tokens_us > full)
		w->tokens_us = full;
	/* Binomial arrivals, ten chances in each millisecond. */
	for (i = 0; i < 10; i++) {
		if (at_rng_below(&w->rng, 10u * AT_MS_PER_S) < rate)
			arrive(w, grouped);
	}
	run_calls(w);
	end_running(w, grouped);
	for (i = 0; i < INSTANCES; i++) {
		if (grouped)
			at_claims_tick(w->ledgers[i]);
		else
			write_next(w, i);
	}
}

static int
by_value(const void *a, const void *b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static void
free_queue(queue_t *queue)
{
	while (queue->first != NULL)
		free(pop(queue));
}

static void
free_world(world_t *w)
{
	call_t *c;
	uint32_t i;

	while ((c = w->calls) != NULL) {
		w->calls = c->next;
		free(c->value);
		free(c);
	}
	for (i = 0; i < INSTANCES; i++) {
		at_claims_delete(w->ledgers[i]);
		free_queue(&w->waiting[i]);
	}
	free_queue(&w->running);
	for (i = 0; i < AT_CLAIM_SHARDS_MAX; i++)
		free(w->objects[i].value);
	free(w->latency_ms);
	free(w);
}

static void
print_row(world_t *w, const char *policy, uint32_t rate, uint32_t time_s)
{
	size_t count =
	    w->granted < w->latency_size ? w->granted : w->latency_size;
	uint64_t ended = w->granted + w->refused;

	qsort(w->latency_ms, count, sizeof(*w->latency_ms), by_value);
	(void)printf("%6u  %-18s %9.0f %9.2f %9.1f %8.0f %8.0f %9.0f %8.1f "
		     "%7u %7u\n",
	    rate, policy, (double)w->granted / time_s,
	    ended == 0 ? 0. : 100. * (double)w->refused / (double)ended,
	    w->writes == 0 ? 0. : (double)w->granted / (double)w->writes,
	    (double)w->writes / time_s, (double)w->reads / time_s,
	    (double)w->conflicts / time_s,
	    w->writes == 0
		? 0.
		: (double)w->written_bytes / 1024. / (double)w->writes,
	    count == 0 ? 0 : w->latency_ms[count / 2],
	    count == 0 ? 0 : w->latency_ms[count * 99 / 100]);
}

static void
run(uint32_t shards, uint32_t rate, uint32_t cap, uint32_t time_s)
{
	world_t *w = calloc(1, sizeof(*w));
	char policy[32] = "object per claim";
	uint32_t i;

	if (w == NULL)
		abort();
	w->now_ms = 1;
	w->rng.state = 1;
	w->cap = cap;
	w->latency_size = (size_t)rate * time_s * 2;
	w->latency_ms = calloc(w->latency_size, sizeof(*w->latency_ms));
	if (w->latency_ms == NULL)
		abort();
	if (shards > 0) {
		make_ledgers(w, shards);
		(void)snprintf(
		    policy, sizeof(policy), "ledger, %u shards", shards);
	}
	for (i = 0; i < time_s * AT_MS_PER_S; i++)
		step(w, shards > 0, rate);
	print_row(w, policy, rate, time_s);
	free_world(w);
}

int
bench_claims(int argc, char **argv)
{
	static const uint32_t rates[] = {50, 500, 2000};
	static const uint32_t shards[] = {0, 4, 8, 16};
	uint32_t cap =
	    (uint32_t)atoi(bench_option(argc, argv, "writes", "200"));
	uint32_t time_s =
	    (uint32_t)atoi(bench_option(argc, argv, "time-s", "30"));
	size_t r;
	size_t s;

	if (cap < INSTANCES || time_s == 0) {
		(void)fprintf(stderr,
		    "claims: --writes of at least %u and "
		    "--time-s of at least 1\n",
		    INSTANCES);
		return 2;
	}
	(void)printf("%u instances, cap %u writes/s, %u s of virtual time\n\n"
		     "once/s  %-18s %9s %9s %9s %8s %8s %9s %8s %7s %7s\n",
	    INSTANCES, cap, time_s, "policy", "granted/s", "refused%",
	    "claims/wr", "writes/s", "reads/s", "conflct/s", "KB/write",
	    "p50 ms", "p99 ms");
	for (r = 0; r < sizeof(rates) / sizeof(rates[0]); r++) {
		for (s = 0; s < sizeof(shards) / sizeof(shards[0]); s++)
			run(shards[s], rates[r], cap, time_s);
	}
	return 0;
}
