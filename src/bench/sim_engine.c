#include "bench/sim_engine.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000u
#define US_PER_MS 1000u

void
fake_engine_init(fake_engine_t *engine, const char *name,
    const at_name_t *data_centre, uint32_t accelerators, uint64_t memory_mb,
    fake_store_t *store)
{
	memset(engine, 0, sizeof(*engine));
	(void)at_name_set(&engine->view.name, name);
	engine->view.data_centre = *data_centre;
	engine->view.accelerators = accelerators;
	engine->view.memory_mb = memory_mb;
	engine->view.incarnation = 1;
	engine->view.residents = engine->residents;
	engine->store = store;
	engine->waiting_tail = &engine->waiting;
	engine->cache = calloc(FAKE_CACHE_BLOCKS, sizeof(uint64_t));
}

void
fake_engine_finish(fake_engine_t *engine)
{
	free(engine->cache);
}

uint64_t
fake_engine_used_mb(const fake_engine_t *engine)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++)
		sum += engine->residents[i].memory_mb;
	return sum;
}

static size_t
find(const fake_engine_t *engine, const at_order_t *order)
{
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++) {
		if (at_name_equal(&engine->residents[i].model, &order->model) &&
		    at_name_equal(
			&engine->residents[i].adapter, &order->adapter))
			break;
	}
	return i;
}

static uint64_t
load_us(fake_engine_t *engine, const at_order_t *order)
{
	fake_store_t *store = engine->store;
	uint64_t us;

	store->loads++;
	if (order->kind == AT_ORDER_LOAD_ADAPTER) {
		us = (uint64_t)FAKE_ADAPTER_LOAD_MS * US_PER_MS;
		if (++store->adapters_loading > store->adapters_full_speed)
			us = us * store->adapters_loading /
			     store->adapters_full_speed;
		return us;
	}
	us = order->memory_mb * US_PER_S / FAKE_LOAD_MB_S;
	if (++store->loading > store->full_speed)
		us = us * store->loading / store->full_speed;
	return us;
}

static int
load(fake_engine_t *engine, const at_order_t *order, uint64_t now_us)
{
	size_t i = find(engine, order);
	at_resident_t *r = &engine->residents[i];

	if (i < engine->view.resident_count)
		return 0;
	if (i == AT_RESIDENTS_MAX ||
	    fake_engine_used_mb(engine) + order->memory_mb >
		engine->view.memory_mb)
		return -1;
	memset(r, 0, sizeof(*r));
	r->model = order->model;
	r->adapter = order->adapter;
	r->version = order->version;
	r->memory_mb = order->memory_mb;
	r->in_transition = 1;
	engine->ready_at_us[i] = now_us + load_us(engine, order);
	engine->view.resident_count++;
	return 0;
}

static int
in_use(const fake_engine_t *engine, const at_resident_t *resident)
{
	const char *name = resident->adapter.text[0] ? resident->adapter.text
						     : resident->model.text;
	const fake_request_t *r;

	for (r = engine->running; r != NULL; r = r->next) {
		if (strcmp(r->target, name) == 0)
			return 1;
	}
	for (r = engine->waiting; r != NULL; r = r->next) {
		if (strcmp(r->target, name) == 0)
			return 1;
	}
	return 0;
}

static int
unload(fake_engine_t *engine, const at_order_t *order)
{
	size_t i = find(engine, order);
	size_t last = engine->view.resident_count - 1;

	if (i == engine->view.resident_count)
		return 0;
	if (engine->residents[i].in_transition ||
	    in_use(engine, &engine->residents[i]))
		return -1;
	engine->residents[i] = engine->residents[last];
	engine->ready_at_us[i] = engine->ready_at_us[last];
	engine->view.resident_count--;
	return 0;
}

int
fake_engine_order(
    fake_engine_t *engine, const at_order_t *order, uint64_t now_us)
{
	if (engine->dead)
		return -1;
	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER)
		return load(engine, order, now_us);
	return unload(engine, order);
}

static void
finish_loads(fake_engine_t *engine, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++) {
		at_resident_t *r = &engine->residents[i];

		if (!r->in_transition || engine->ready_at_us[i] > now_us)
			continue;
		r->in_transition = 0;
		if (r->adapter.text[0] != '\0')
			engine->store->adapters_loading--;
		else
			engine->store->loading--;
	}
}

static uint32_t
cached_tokens(const fake_engine_t *engine, const fake_request_t *r)
{
	size_t i;

	for (i = 0; i < r->prefix_count; i++) {
		uint64_t hash = r->prefix_hashes[i];

		if (engine->cache[hash % FAKE_CACHE_BLOCKS] != hash)
			break;
	}
	return (uint32_t)i * AT_PREFIX_BLOCK_TOKENS;
}

int
fake_engine_submit(fake_engine_t *engine, fake_request_t *r)
{
	uint32_t cached = cached_tokens(engine, r);
	size_t i;

	if (engine->dead ||
	    !at_engine_view_is_serving(&engine->view, r->target))
		return -1;
	for (i = 0; i < r->prefix_count; i++)
		engine->cache[r->prefix_hashes[i] % FAKE_CACHE_BLOCKS] =
		    r->prefix_hashes[i];
	r->left_prefill =
	    cached < r->prompt_tokens ? r->prompt_tokens - cached : 1;
	r->made = 0;
	r->next = NULL;
	*engine->waiting_tail = r;
	engine->waiting_tail = &r->next;
	engine->view.queued++;
	engine->view.queued_prefill_tokens += r->left_prefill;
	return 0;
}

static fake_request_t *
take_waiting(fake_engine_t *engine)
{
	fake_request_t *r = engine->waiting;

	engine->waiting = r->next;
	if (engine->waiting == NULL)
		engine->waiting_tail = &engine->waiting;
	engine->view.queued--;
	return r;
}

/* Time of one token for each request of the batch, without prefill. */
static double
token_us(const fake_engine_t *engine)
{
	double batch = (double)engine->view.running / engine->view.accelerators;

	return FAKE_TOKEN_US + (batch > 1 ? batch - 1 : 0) * FAKE_TOKEN_MORE_US;
}

/*
 * Prefills in order of arrival, in chunks that leave the batch the time it
 * needs between tokens; returns the time it took.
 */
static double
prefill(fake_engine_t *engine, double step_us, const fake_events_t *events)
{
	double rate = (double)FAKE_PREFILL_TOKENS_S *
		      engine->view.accelerators / US_PER_S;
	double part = 1 - token_us(engine) / FAKE_TOKEN_LIMIT_US;
	double left;

	if (engine->view.running > 0)
		step_us *= part > FAKE_PREFILL_PART ? part : FAKE_PREFILL_PART;
	left = step_us;
	while (
	    engine->waiting != NULL && left > 0 &&
	    engine->view.running < FAKE_BATCH_MAX * engine->view.accelerators) {
		fake_request_t *r = engine->waiting;
		uint32_t tokens = (uint32_t)(left * rate);

		if (tokens < r->left_prefill) {
			r->left_prefill -= tokens;
			engine->view.queued_prefill_tokens -= tokens;
			return step_us;
		}
		left -= r->left_prefill / rate;
		engine->view.queued_prefill_tokens -= r->left_prefill;
		r = take_waiting(engine);
		r->made = 1;
		r->next = engine->running;
		engine->running = r;
		engine->view.running++;
		events->first_token(events->ctx, r);
	}
	return step_us - left;
}

static void
decode(fake_engine_t *engine, double left_us, const fake_events_t *events)
{
	double tokens = left_us / token_us(engine);
	fake_request_t **link = &engine->running;

	while (*link != NULL) {
		fake_request_t *r = *link;

		r->made += tokens;
		if (r->made < r->out_tokens) {
			link = &r->next;
			continue;
		}
		*link = r->next;
		engine->view.running--;
		events->done(events->ctx, r);
	}
}

void
fake_engine_tick(fake_engine_t *engine, uint64_t now_us, uint32_t step_us,
    const fake_events_t *events)
{
	double spent;

	if (engine->dead)
		return;
	finish_loads(engine, now_us);
	spent = prefill(engine, step_us, events);
	decode(engine, step_us - spent, events);
}

void
fake_engine_die(fake_engine_t *engine, const fake_events_t *events)
{
	fake_request_t *r;

	engine->dead = 1;
	while (engine->waiting != NULL)
		events->lost(events->ctx, take_waiting(engine));
	while ((r = engine->running) != NULL) {
		engine->running = r->next;
		events->lost(events->ctx, r);
	}
	finish_loads(engine, UINT64_MAX);
	engine->view.resident_count = 0;
	engine->view.running = 0;
	engine->view.queued_prefill_tokens = 0;
}
