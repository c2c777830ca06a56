#include "bench/sim_engine.h"

#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000u
#define US_PER_MS 1000u

void
sim_engine_init(sim_engine_t *engine, const char *name,
    const at_name_t *data_centre, uint32_t accelerators, uint64_t memory_mb,
    sim_store_t *store)
{
	memset(engine, 0, sizeof(*engine));
	(void)at_name_set(&engine->view.name, name);
	engine->view.data_centre = *data_centre;
	engine->view.accelerators = accelerators;
	engine->view.memory_mb = memory_mb;
	engine->view.incarnation = 1;
	engine->view.residents = engine->residents;
	engine->store = store;
	engine->queue_tail = &engine->queue;
	engine->cache = calloc(SIM_CACHE_BLOCKS, sizeof(uint64_t));
}

void
sim_engine_deinit(sim_engine_t *engine)
{
	free(engine->cache);
}

uint64_t
sim_engine_used_mb(const sim_engine_t *engine)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++)
		sum += engine->residents[i].memory_mb;
	return sum;
}

/* Returns the index of an order's resident, or resident_count. */
static size_t
find_resident(const sim_engine_t *engine, const at_order_t *order)
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

/* Counts a load and returns its duration, in us. */
static uint64_t
start_load(sim_engine_t *engine, const at_order_t *order)
{
	sim_store_t *store = engine->store;
	uint64_t us;

	store->loads++;
	if (order->kind == AT_ORDER_LOAD_ADAPTER) {
		us = (uint64_t)SIM_ADAPTER_LOAD_MS * US_PER_MS;
		if (++store->loading_adapters > store->full_speed_adapter_loads)
			us = us * store->loading_adapters /
			     store->full_speed_adapter_loads;
		return us;
	}
	us = order->memory_mb * US_PER_S / SIM_LOAD_MB_S;
	if (++store->loading_models > store->full_speed_loads)
		us = us * store->loading_models / store->full_speed_loads;
	return us;
}

static int
load_resident(sim_engine_t *engine, const at_order_t *order, uint64_t now_us)
{
	size_t i = find_resident(engine, order);
	at_resident_t *resident = &engine->residents[i];

	if (i < engine->view.resident_count)
		return 0;
	if (i == AT_RESIDENTS_MAX ||
	    sim_engine_used_mb(engine) + order->memory_mb >
		engine->view.memory_mb)
		return -1;
	memset(resident, 0, sizeof(*resident));
	resident->model = order->model;
	resident->adapter = order->adapter;
	resident->version = order->version;
	resident->memory_mb = order->memory_mb;
	resident->in_transition = 1;
	engine->loaded_at_us[i] = now_us + start_load(engine, order);
	engine->view.resident_count++;
	return 0;
}

static int
is_in_use(const sim_engine_t *engine, const at_resident_t *resident)
{
	const char *name = resident->adapter.text[0] ? resident->adapter.text
						     : resident->model.text;
	const sim_request_t *request;

	for (request = engine->running; request != NULL;
	     request = request->next) {
		if (strcmp(request->target, name) == 0)
			return 1;
	}
	for (request = engine->queue; request != NULL;
	     request = request->next) {
		if (strcmp(request->target, name) == 0)
			return 1;
	}
	return 0;
}

static int
unload_resident(sim_engine_t *engine, const at_order_t *order)
{
	size_t i = find_resident(engine, order);
	size_t last = engine->view.resident_count - 1;

	if (i == engine->view.resident_count)
		return 0;
	if (engine->residents[i].in_transition ||
	    is_in_use(engine, &engine->residents[i]))
		return -1;
	engine->residents[i] = engine->residents[last];
	engine->loaded_at_us[i] = engine->loaded_at_us[last];
	engine->view.resident_count--;
	return 0;
}

int
sim_engine_execute(
    sim_engine_t *engine, const at_order_t *order, uint64_t now_us)
{
	if (engine->has_crashed)
		return -1;
	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER)
		return load_resident(engine, order, now_us);
	return unload_resident(engine, order);
}

static void
finish_loads(sim_engine_t *engine, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++) {
		at_resident_t *resident = &engine->residents[i];

		if (!resident->in_transition ||
		    engine->loaded_at_us[i] > now_us)
			continue;
		resident->in_transition = 0;
		if (resident->adapter.text[0] != '\0')
			engine->store->loading_adapters--;
		else
			engine->store->loading_models--;
	}
}

static uint32_t
cached_tokens(const sim_engine_t *engine, const sim_request_t *request)
{
	size_t i;

	for (i = 0; i < request->prefix_count; i++) {
		uint64_t hash = request->prefix_hashes[i];

		if (engine->cache[hash % SIM_CACHE_BLOCKS] != hash)
			break;
	}
	return (uint32_t)i * AT_PREFIX_BLOCK_TOKENS;
}

int
sim_engine_submit(sim_engine_t *engine, sim_request_t *request)
{
	uint32_t cached = cached_tokens(engine, request);
	size_t i;

	if (engine->has_crashed ||
	    !at_engine_view_is_serving(&engine->view, request->target))
		return -1;
	for (i = 0; i < request->prefix_count; i++)
		engine->cache[request->prefix_hashes[i] % SIM_CACHE_BLOCKS] =
		    request->prefix_hashes[i];
	request->remaining_prefill = cached < request->prompt_tokens
					 ? request->prompt_tokens - cached
					 : 1;
	request->generated_tokens = 0;
	request->next = NULL;
	*engine->queue_tail = request;
	engine->queue_tail = &request->next;
	engine->view.queued++;
	engine->view.queued_prefill_tokens += request->remaining_prefill;
	return 0;
}

/* Removes and returns the first queued request. */
static sim_request_t *
queue_take(sim_engine_t *engine)
{
	sim_request_t *request = engine->queue;

	engine->queue = request->next;
	if (engine->queue == NULL)
		engine->queue_tail = &engine->queue;
	engine->view.queued--;
	return request;
}

/* Returns the time of one output token of each request, without prefill. */
static double
token_us(const sim_engine_t *engine)
{
	double batch = (double)engine->view.running / engine->view.accelerators;

	return SIM_TOKEN_US +
	       (batch > 1 ? batch - 1 : 0) * SIM_TOKEN_PER_REQUEST_US;
}

/*
 * Prefills requests in order of arrival, in chunks that keep the time between
 * output tokens below SIM_TOKEN_LIMIT_US, but with at least
 * SIM_PREFILL_MIN_FRACTION of the step. Returns the time used, in us.
 */
static double
prefill(sim_engine_t *engine, double step_us, const sim_events_t *events)
{
	double tokens_per_us =
	    (double)SIM_PREFILL_TOKENS_S * engine->view.accelerators / US_PER_S;
	double fraction = 1 - token_us(engine) / SIM_TOKEN_LIMIT_US;
	double remaining_us;

	if (engine->view.running > 0)
		step_us *= fraction > SIM_PREFILL_MIN_FRACTION
			       ? fraction
			       : SIM_PREFILL_MIN_FRACTION;
	remaining_us = step_us;
	while (
	    engine->queue != NULL && remaining_us > 0 &&
	    engine->view.running < SIM_BATCH_MAX * engine->view.accelerators) {
		sim_request_t *request = engine->queue;
		uint32_t tokens = (uint32_t)(remaining_us * tokens_per_us);

		if (tokens < request->remaining_prefill) {
			request->remaining_prefill -= tokens;
			engine->view.queued_prefill_tokens -= tokens;
			return step_us;
		}
		remaining_us -= request->remaining_prefill / tokens_per_us;
		engine->view.queued_prefill_tokens -=
		    request->remaining_prefill;
		request = queue_take(engine);
		request->generated_tokens = 1;
		request->next = engine->running;
		engine->running = request;
		engine->view.running++;
		events->first_token(events->ctx, request);
	}
	return step_us - remaining_us;
}

/* Generates output tokens for decode_us. */
static void
decode(sim_engine_t *engine, double decode_us, const sim_events_t *events)
{
	double tokens = decode_us / token_us(engine);
	sim_request_t **link = &engine->running;

	while (*link != NULL) {
		sim_request_t *request = *link;

		request->generated_tokens += tokens;
		if (request->generated_tokens < request->output_tokens) {
			link = &request->next;
			continue;
		}
		*link = request->next;
		engine->view.running--;
		events->done(events->ctx, request);
	}
}

void
sim_engine_tick(sim_engine_t *engine, uint64_t now_us, uint32_t step_us,
    const sim_events_t *events)
{
	double prefill_us;

	if (engine->has_crashed)
		return;
	finish_loads(engine, now_us);
	prefill_us = prefill(engine, step_us, events);
	decode(engine, step_us - prefill_us, events);
}

void
sim_engine_crash(sim_engine_t *engine, const sim_events_t *events)
{
	sim_request_t *request;

	engine->has_crashed = 1;
	while (engine->queue != NULL)
		events->lost(events->ctx, queue_take(engine));
	while ((request = engine->running) != NULL) {
		engine->running = request->next;
		events->lost(events->ctx, request);
	}
	finish_loads(engine, UINT64_MAX);
	engine->view.resident_count = 0;
	engine->view.running = 0;
	engine->view.queued_prefill_tokens = 0;
}
