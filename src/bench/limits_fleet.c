#include "bench/limits_fleet.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/limits_events.h"
#include "io/share_codec.h"

#define NEAR_MS 1u      /* between instances of a data centre, one way */
#define FAR_MS 2u       /* between data centres, one way */
#define STORE_MS 4u     /* a call to the object API, both ways */
#define WAIT_MS 100u    /* longest wait of a request for a grant */
#define SHIFT_MS 10000u /* skewed callers move to another instance */
#define PROMPT_MIN 50u
#define PROMPT_SPREAD 600u
#define MAX_TOKENS 512u
#define TOKEN_MS 35u /* between two generated tokens */
#define MS_PER_S 1000.0
#define FRAME_BYTES 60u /* of a link's frame, its seal and TCP/IP */

const char *const fleet_policy_names[] = {"central", "rate/N", "shares"};

typedef struct fleet fleet_t;

typedef struct instance {
	fleet_t *fleet;
	uint32_t index;
	uint32_t centre;
	int alive;
	at_incarnation_t self;
	at_share_root_t *root;
	struct holding {
		struct instance *instance;
		uint32_t workspace;
		at_share_t *share;
		at_bucket_t *split;
	} holdings[FLEET_WORKSPACES_MAX];
	uint64_t messages;
	uint64_t bytes;
} instance_t;

typedef struct request {
	uint32_t workspace;
	instance_t *at;
	uint64_t arrived_ms;
	uint64_t cost;
	uint64_t used;
	uint64_t lasts_ms;
	int central_admits;
	at_debit_t *debits[FLEET_POLICY_COUNT];
} request_t;

typedef struct mail {
	struct instance *from;
	struct instance *to;
	uint32_t workspace;
	at_share_message_t message;
} mail_t;

typedef struct call {
	int is_put;
	uint64_t expect;
	char *value;
	size_t len;
	at_store_done_t done;
	void *ctx;
} call_t;

struct fleet {
	const fleet_setup_t *setup;
	fleet_result_t *result;
	at_rng_t rng;
	uint64_t now_ms;
	heap_t heap;
	instance_t *instances;
	at_bucket_t *central[FLEET_WORKSPACES_MAX];
	oracle_t oracles[FLEET_POLICY_COUNT][FLEET_WORKSPACES_MAX];
	char *object;
	size_t object_len;
	uint64_t version;
	uint64_t calls;
};

static double
uniform(fleet_t *f)
{
	return ((double)(at_rng_next(&f->rng) >> 11) + 1) / 9007199254740993.0;
}

static int
counted(const fleet_t *f)
{
	return f->now_ms >= f->setup->warm_ms;
}

/* Whether a fault that begins at_ms after the warm-up has begun. */
static int
begun(const fleet_t *f, uint32_t at_ms)
{
	return at_ms != 0 && f->now_ms >= f->setup->warm_ms + at_ms;
}

static int
is_cut(const fleet_t *f, const instance_t *a, const instance_t *b)
{
	return begun(f, f->setup->cut_at_ms) && a->centre != b->centre &&
	       (a->centre == 0 || b->centre == 0);
}

static void
count_message(fleet_t *f, instance_t *at, size_t bytes)
{
	if (!counted(f))
		return;
	at->messages++;
	at->bytes += bytes;
}

static void
on_send(void *ctx, const at_incarnation_t *to, const at_share_message_t *m)
{
	struct holding *h = ctx;
	instance_t *from = h->instance;
	fleet_t *f = from->fleet;
	mail_t *mail = calloc(1, sizeof(*mail));
	uint8_t bytes[AT_SHARE_BYTES_MAX];
	at_name_t name;
	size_t len;

	(void)at_name_set(&name, "workspace");
	mail->from = from;
	mail->to = &f->instances[to->number - 1];
	mail->workspace = h->workspace;
	mail->message = *m;
	len = at_share_pack(&name, m, bytes) + FRAME_BYTES;
	count_message(f, from, len);
	count_message(f, mail->to, len);
	heap_push(&f->heap,
	    f->now_ms + (from->centre == mail->to->centre ? NEAR_MS : FAR_MS),
	    EVENT_MAIL, 0, mail);
}

static void
deliver(fleet_t *f, mail_t *mail)
{
	if (mail->to->alive && !is_cut(f, mail->from, mail->to))
		(void)at_share_receive(
		    mail->to->holdings[mail->workspace].share, f->now_ms,
		    &mail->from->self, &mail->message);
	free(mail);
}

static void
add_call(instance_t *at, call_t *call)
{
	at->fleet->calls += (uint64_t)counted(at->fleet);
	heap_push(&at->fleet->heap, at->fleet->now_ms + STORE_MS, EVENT_CALL,
	    at->index, call);
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	call_t *call = calloc(1, sizeof(*call));

	(void)name;
	call->done = done;
	call->ctx = ctx;
	add_call(impl, call);
}

static void
store_put(void *impl, const char *name, uint64_t expect, const void *value,
    size_t len, at_store_done_t done, void *ctx)
{
	call_t *call = calloc(1, sizeof(*call));

	(void)name;
	call->is_put = 1;
	call->expect = expect;
	call->value = malloc(len);
	memcpy(call->value, value, len);
	call->len = len;
	call->done = done;
	call->ctx = ctx;
	add_call(impl, call);
}

static void
answer_call(fleet_t *f, instance_t *at, call_t *call)
{
	at_store_result_t result = {.code = AT_STORE_OK};

	if (begun(f, f->setup->platform_out_at_ms) ||
	    (begun(f, f->setup->cut_at_ms) && at->centre == 0)) {
		result.code = AT_STORE_NOT_SENT;
	} else if (!call->is_put) {
		result.code =
		    f->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	} else if (call->expect != f->version) {
		result.code = AT_STORE_CONFLICT;
	} else {
		free(f->object);
		f->object = call->value;
		f->object_len = call->len;
		call->value = NULL;
		f->version++;
	}
	result.version = f->version;
	result.value = f->object;
	result.value_len = f->object_len;
	if (at->alive)
		call->done(call->ctx, &result);
	free(call->value);
	free(call);
}

static void
on_apply(void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	instance_t *at = ctx;
	uint32_t w;

	for (w = 0; w < at->fleet->setup->workspaces; w++)
		at_share_set_root(at->holdings[w].share, at->fleet->now_ms,
		    floor_ppb, lease_ppb, expires_ms);
}

static void
tick(fleet_t *f, instance_t *at)
{
	int64_t lent_ppb = 0;
	uint32_t w;

	if (!at->alive)
		return;
	for (w = 0; w < f->setup->workspaces; w++) {
		at_share_t *share = at->holdings[w].share;

		at_share_tick(share, f->now_ms);
		if (at_share_lent_ppb(share) > lent_ppb)
			lent_ppb = at_share_lent_ppb(share);
	}
	at_share_root_tick(at->root, f->now_ms, lent_ppb);
	heap_push(&f->heap, f->now_ms + AT_SHARE_TICK_MS, EVENT_TICK, at->index,
	    NULL);
}

static uint64_t
rate_of(const fleet_setup_t *setup, uint32_t workspace)
{
	double sum = 0;
	uint32_t w;

	for (w = 0; w < setup->workspaces; w++)
		sum += 1.0 / (w + 1);
	return (uint64_t)((double)setup->total_rate / (workspace + 1) / sum);
}

/* The home of a workspace in a centre; another one for each workspace. */
static instance_t *
home_of(fleet_t *f, uint32_t centre, uint32_t workspace)
{
	uint32_t per_centre =
	    (f->setup->instances - centre - 1) / f->setup->centres + 1;

	return &f->instances[centre +
			     workspace % per_centre * f->setup->centres];
}

static void
init_holding(fleet_t *f, instance_t *at, uint32_t w)
{
	struct holding *h = &at->holdings[w];
	const at_share_port_t port = {on_send, NULL, h};
	uint64_t rate = rate_of(f->setup, w);
	at_incarnation_t remotes[FLEET_CENTRES_MAX];
	size_t count = 0;
	uint32_t c;

	h->instance = at;
	h->workspace = w;
	h->share = at_share_new(0, &at->self, &port);
	at_share_set_limit(h->share, 0, rate, rate * f->setup->burst_s);
	at_share_set_coordinator(h->share, 0, &home_of(f, at->centre, w)->self);
	for (c = 0; c < f->setup->centres; c++) {
		if (c != at->centre)
			remotes[count++] = home_of(f, c, w)->self;
	}
	at_share_set_remote_coordinators(h->share, remotes, count);
	h->split = at_bucket_new(0);
	at_bucket_set_limit(h->split, rate, rate * f->setup->burst_s);
	at_bucket_set_share(
	    h->split, AT_PPB_WHOLE / (int64_t)f->setup->instances);
}

static void
init_instance(fleet_t *f, instance_t *at)
{
	const at_store_t store = {store_get, store_put, NULL, NULL, at};
	uint32_t w;

	at->alive = 1;
	for (w = 0; w < f->setup->workspaces; w++)
		init_holding(f, at, w);
	at->root = at_share_root_new(0, &at->self, &store);
	at_share_root_set_changed(at->root, on_apply, at);
	at_share_root_set_floor(at->root, f->setup->floor_ppb);
	at_share_root_set_instance_counts(
	    at->root, f->setup->instances, f->setup->centres);
	at_share_root_set_lease_holder(at->root, at->index < f->setup->centres);
	heap_push(&f->heap, at_rng_below(&f->rng, AT_SHARE_TICK_MS), EVENT_TICK,
	    at->index, NULL);
}

static void
init(fleet_t *f)
{
	uint32_t i;

	f->instances = calloc(f->setup->instances, sizeof(instance_t));
	for (i = 0; i < f->setup->instances; i++) {
		f->instances[i].fleet = f;
		f->instances[i].index = i;
		f->instances[i].centre = i % f->setup->centres;
		f->instances[i].self.number = i + 1;
		(void)at_name_set(&f->instances[i].self.instance, "i");
	}
	for (i = 0; i < f->setup->instances; i++)
		init_instance(f, &f->instances[i]);
	for (i = 0; i < f->setup->workspaces; i++) {
		uint64_t rate = rate_of(f->setup, i);

		f->result->rates[i] = rate;
		f->central[i] = at_bucket_new(0);
		at_bucket_set_limit(
		    f->central[i], rate, rate * f->setup->burst_s);
		at_bucket_set_share(f->central[i], AT_PPB_WHOLE);
		heap_push(&f->heap, at_rng_below(&f->rng, 1000), EVENT_ARRIVAL,
		    i, NULL);
	}
}

static void
admitted(fleet_t *f, request_t *r, fleet_policy_t policy)
{
	fleet_count_t *count = &f->result->counts[policy][r->workspace];

	oracle_add(&f->oracles[policy][r->workspace], f->now_ms, r->used);
	if (!counted(f))
		return;
	count->admitted++;
	count->admitted_tokens += (double)r->used;
	count->waited += r->arrived_ms != f->now_ms;
	if (begun(f, f->setup->cut_at_ms) && r->at->centre == 0)
		count->cut_tokens += (double)r->used;
}

static void
refused(fleet_t *f, const request_t *r, fleet_policy_t policy)
{
	if (counted(f) && r->central_admits)
		f->result->counts[policy][r->workspace].wrongful++;
}

static void
try_shares(fleet_t *f, request_t *r)
{
	at_debit_t **debit = &r->debits[FLEET_SHARES];

	if (!r->at->alive)
		return;
	if (at_share_admit(r->at->holdings[r->workspace].share, f->now_ms,
		r->cost, debit) == AT_ADMIT_OK)
		admitted(f, r, FLEET_SHARES);
	else if (f->now_ms < r->arrived_ms + WAIT_MS)
		heap_push(&f->heap, f->now_ms + 1, EVENT_RETRY, 0, r);
	else
		refused(f, r, FLEET_SHARES);
}

static instance_t *
pick_instance(fleet_t *f, uint32_t workspace)
{
	uint64_t n = f->setup->instances;
	uint64_t pick = at_rng_below(&f->rng, n);

	if (f->setup->arrival == FLEET_SKEWED)
		pick = (f->now_ms / SHIFT_MS * 7 + workspace * 3) % n;
	if (!f->instances[pick].alive)
		pick = (pick + 1) % n;
	return &f->instances[pick];
}

static void
next_arrival(fleet_t *f, uint32_t workspace)
{
	uint32_t pct = f->setup->load_pct;
	double mean_tokens =
	    PROMPT_MIN + PROMPT_SPREAD / 2.0 + MAX_TOKENS / 2.0;
	double per_ms;

	if (workspace == 0 && f->setup->greedy_pct != 0)
		pct = f->setup->greedy_pct;
	per_ms = (double)f->result->rates[workspace] * pct / 100.0 /
		 mean_tokens / MS_PER_S;
	heap_push(&f->heap,
	    f->now_ms + (uint64_t)llround(-log(uniform(f)) / per_ms),
	    EVENT_ARRIVAL, workspace, NULL);
}

static void
arrive(fleet_t *f, uint32_t workspace)
{
	request_t *r = calloc(1, sizeof(*r));
	uint64_t prompt = PROMPT_MIN + at_rng_below(&f->rng, PROMPT_SPREAD);
	uint64_t generated = at_rng_below(&f->rng, MAX_TOKENS + 1);
	at_bucket_t *split;
	fleet_policy_t p;

	r->workspace = workspace;
	r->at = pick_instance(f, workspace);
	r->arrived_ms = f->now_ms;
	r->cost = prompt + MAX_TOKENS;
	r->used = prompt + generated;
	r->lasts_ms = generated * TOKEN_MS + WAIT_MS + 1;
	for (p = 0; counted(f) && p < FLEET_POLICY_COUNT; p++) {
		f->result->counts[p][workspace].requests++;
		f->result->counts[p][workspace].demanded_tokens +=
		    (double)r->used;
	}
	at_bucket_advance(f->central[workspace], f->now_ms);
	r->debits[FLEET_CENTRAL] =
	    at_bucket_debit(f->central[workspace], r->cost);
	r->central_admits = r->debits[FLEET_CENTRAL] != NULL;
	if (r->central_admits)
		admitted(f, r, FLEET_CENTRAL);
	split = r->at->holdings[workspace].split;
	at_bucket_advance(split, f->now_ms);
	r->debits[FLEET_SPLIT] = at_bucket_debit(split, r->cost);
	if (r->debits[FLEET_SPLIT] != NULL)
		admitted(f, r, FLEET_SPLIT);
	else
		refused(f, r, FLEET_SPLIT);
	try_shares(f, r);
	heap_push(&f->heap, f->now_ms + r->lasts_ms, EVENT_END, 0, r);
	next_arrival(f, workspace);
}

static void
finish(fleet_t *f, request_t *r)
{
	struct holding *h = &r->at->holdings[r->workspace];

	at_bucket_advance(f->central[r->workspace], f->now_ms);
	at_bucket_advance(h->split, f->now_ms);
	if (r->debits[FLEET_CENTRAL] != NULL)
		(void)at_bucket_settle(f->central[r->workspace],
		    r->debits[FLEET_CENTRAL], r->used);
	if (r->debits[FLEET_SPLIT] != NULL)
		(void)at_bucket_settle(
		    h->split, r->debits[FLEET_SPLIT], r->used);
	if (r->debits[FLEET_SHARES] != NULL && r->at->alive)
		at_share_settle(
		    h->share, f->now_ms, r->debits[FLEET_SHARES], r->used);
	free(r);
}

static void
dispatch(fleet_t *f, const event_t *e)
{
	switch (e->kind) {
	case EVENT_ARRIVAL:
		arrive(f, e->workspace);
		return;
	case EVENT_RETRY:
		try_shares(f, e->data);
		return;
	case EVENT_END:
		finish(f, e->data);
		return;
	case EVENT_MAIL:
		deliver(f, e->data);
		return;
	case EVENT_CALL:
		answer_call(f, &f->instances[e->workspace], e->data);
		return;
	default:
		tick(f, &f->instances[e->workspace]);
		return;
	}
}

static void
sum_up(fleet_t *f)
{
	double run_s = f->setup->run_ms / MS_PER_S;
	fleet_result_t *result = f->result;
	uint32_t i;
	uint32_t p;

	for (p = 0; p < FLEET_POLICY_COUNT; p++) {
		for (i = 0; i < f->setup->workspaces; i++)
			result->counts[p][i].excess_tokens = oracle_excess(
			    &f->oracles[p][i], (double)result->rates[i],
			    (double)result->rates[i] * f->setup->burst_s);
	}
	for (i = 0; i < f->setup->instances; i++) {
		double messages = (double)f->instances[i].messages / run_s;
		double bytes = (double)f->instances[i].bytes / run_s;

		result->messages_s += messages / f->setup->instances;
		result->bytes_s += bytes / f->setup->instances;
		result->messages_max_s = fmax(result->messages_max_s, messages);
		result->bytes_max_s = fmax(result->bytes_max_s, bytes);
	}
	result->platform_calls_s = (double)f->calls / run_s;
}

static void
clear(fleet_t *f)
{
	uint32_t i;
	uint32_t w;

	while (f->heap.count > 0) {
		event_t e = heap_pop(&f->heap);

		if (e.kind == EVENT_CALL)
			free(((call_t *)e.data)->value);
		if (e.kind != EVENT_RETRY)
			free(e.data);
	}
	for (w = 0; w < f->setup->workspaces; w++) {
		for (i = 0; i < f->setup->instances; i++) {
			at_share_delete(f->instances[i].holdings[w].share);
			at_bucket_delete(f->instances[i].holdings[w].split);
		}
		at_bucket_delete(f->central[w]);
		for (i = 0; i < FLEET_POLICY_COUNT; i++) {
			free(f->oracles[i][w].at_ms);
			free(f->oracles[i][w].used);
		}
	}
	for (i = 0; i < f->setup->instances; i++)
		at_share_root_delete(f->instances[i].root);
	free(f->instances);
	free(f->heap.events);
	free(f->object);
}

void
fleet_run(const fleet_setup_t *setup, fleet_result_t *result)
{
	fleet_t f = {.setup = setup, .result = result};
	uint64_t end_ms = setup->warm_ms + (uint64_t)setup->run_ms;

	memset(result, 0, sizeof(*result));
	f.rng.state = setup->seed;
	init(&f);
	while (f.heap.count > 0 && f.heap.events[0].at_ms < end_ms) {
		event_t e = heap_pop(&f.heap);

		f.now_ms = e.at_ms;
		if (begun(&f, setup->crash_at_ms))
			f.instances[setup->instances - 1].alive = 0;
		dispatch(&f, &e);
	}
	sum_up(&f);
	clear(&f);
}
