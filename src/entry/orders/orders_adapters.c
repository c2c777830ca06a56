/*
 * orders_adapters.c - loads an adapter that a request needs and no engine has,
 * on the least loaded engine with its model resident.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/orders/orders_impl.h"
#include "io/clock.h"

/* Time between two searches for an engine for the same adapter. */
#define REQUEST_INTERVAL_US 40000u
/* Usual time from an accepted order until the adapter is loaded. */
#define ADAPTER_LOAD_US 11000u
/* Most adapters loaded in one round before requests wait for them. */
#define PREFETCHES_PER_ROUND 32u

/*
 * The cost of an engine is the number of its active requests. An eviction adds
 * a fixed cost, and one for each request per second for the evicted adapter.
 */
#define EVICTION_COST 20.
#define REQUEST_RATE_COST 100.

/* Engine to load an adapter on, and the adapter to be evicted for it. */
typedef struct adapter_target {
	at_orders_io_t *orders;
	at_tag_t service;
	at_tag_t model;
	at_tag_t adapter;
	uint32_t slots;
	uint64_t now_us;
	at_server_t *server;
	/* Adapter to be evicted and its model; NULL: there is space. */
	const at_resident_model_t *victim_model;
	const at_resident_adapter_t *victim;
	double cost;
	unsigned model_servers;   /* engines with the model resident */
	unsigned idle_servers;    /* those that can take an order now */
	int is_available;         /* an engine has the adapter or loads it */
	at_tag_t resident_server; /* engine that has it; 0: none yet */
} adapter_target_t;

/* Finds the adapter with the least demand and returns its request rate. */
static double
find_victim(const adapter_target_t *target, const at_resident_set_t *residents,
    const at_resident_model_t **model, const at_resident_adapter_t **victim)
{
	double least = 0.;
	size_t i;
	size_t k;

	*victim = NULL;
	for (i = 0; i < residents->count; i++) {
		for (k = 0; k < residents->models[i].adapter_count; k++) {
			const at_resident_adapter_t *a =
			    &residents->models[i].adapters[k];
			double rate = at_demand_rates_get(
			    target->orders->demand, target->service, a->tag)
					  .requests_per_s;

			if (*victim != NULL && rate >= least)
				continue;
			*model = &residents->models[i];
			*victim = a;
			least = rate;
		}
	}
	return least;
}

static int
is_loading(
    const engine_t *engine, const adapter_target_t *target, const char *adapter)
{
	if (at_tag_from_text(engine->next_model.text) == target->model &&
	    strcmp(engine->next_adapter.text, adapter) == 0)
		return 1;
	if (engine->adapter_ready_us != 0 &&
	    at_tag_from_text(engine->ready_model.text) == target->model &&
	    strcmp(engine->ready_adapter.text, adapter) == 0)
		return 1;
	return engine->state != ENGINE_IDLE && engine->is_load &&
	       at_tag_from_text(engine->model.text) == target->model &&
	       strcmp(engine->adapter.text, adapter) == 0;
}

typedef struct adapter_search {
	adapter_target_t *target;
	const char *adapter;
} adapter_search_t;

static void
consider_server(void *ctx, at_server_t *server)
{
	adapter_search_t *search = ctx;
	adapter_target_t *target = search->target;
	const at_server_entry_t *entry = at_server_entry(server);
	const at_resident_model_t *model = NULL;
	const at_resident_adapter_t *victim = NULL;
	const engine_t *engine;
	double cost;

	if (entry->service != target->service || target->is_available ||
	    at_server_is_evacuated(server))
		return;
	engine = engine_find_or_add(target->orders, entry);
	if (engine == NULL)
		return;
	if (at_server_has_resident(server, target->model, target->adapter) ||
	    is_loading(engine, target, search->adapter)) {
		/* If it has no free slot, another engine may load it too. */
		if (at_server_load(server, target->now_us).active >=
		    entry->slots)
			return;
		target->is_available = 1;
		if (at_resident_set_has(
			&engine->residents, target->model, target->adapter))
			target->resident_server = entry->tag;
		return;
	}
	if (entry->is_leaving ||
	    !at_server_is_available(server, target->now_us) ||
	    !at_server_has_resident(server, target->model, 0))
		return;
	target->model_servers++;
	if (engine->state != ENGINE_IDLE || engine->adapter_ready_us != 0)
		return;
	target->idle_servers++;
	cost = at_server_load(server, target->now_us).active;
	if (at_resident_set_adapter_count(&engine->residents) >=
	    target->slots) {
		cost +=
		    EVICTION_COST + REQUEST_RATE_COST * find_victim(target,
							    &engine->residents,
							    &model, &victim);
		if (victim == NULL)
			return;
	}
	if (target->server != NULL && cost >= target->cost)
		return;
	target->server = server;
	target->victim_model = model;
	target->victim = victim;
	target->cost = cost;
}

/*
 * Returns whether an engine for an adapter was searched recently; if not,
 * records this search. Several instances may request one adapter, each in
 * several reports.
 */
static int
was_requested_recently(
    at_orders_io_t *orders, at_tag_t adapter, uint64_t now_us)
{
	adapter_request_t *request;

	HASH_FIND(
	    hh, orders->adapter_requests, &adapter, sizeof(adapter), request);
	if (request == NULL) {
		request = calloc(1, sizeof(*request));
		if (request == NULL)
			return 0;
		request->adapter = adapter;
		HASH_ADD(hh, orders->adapter_requests, adapter, sizeof(adapter),
		    request);
	}
	if (now_us < request->next_us)
		return 1;
	request->next_us = now_us + REQUEST_INTERVAL_US;
	return 0;
}

void
adapters_request(at_orders_io_t *orders, at_tag_t service,
    const at_name_t *model, const at_name_t *adapter)
{
	const at_site_t *site = *orders->deps.site;
	const at_site_service_t *s =
	    site == NULL ? NULL : at_site_find_service(site, service);
	char text[2 * AT_NAME_SIZE];
	adapter_target_t target = {.orders = orders,
	    .service = service,
	    .model = at_tag_from_text(model->text),
	    .slots = s == NULL ? 0 : s->adapter_slots,
	    .now_us = at_clock_now_us()};
	adapter_search_t search = {&target, adapter->text};
	engine_t *engine;

	if (!orders_may_send(orders) || s == NULL)
		return;
	(void)snprintf(text, sizeof(text), "%s/%s", model->text, adapter->text);
	target.adapter = at_tag_from_text(text);
	if (was_requested_recently(orders, target.adapter, target.now_us))
		return;
	at_fleet_each(orders->deps.fleet, consider_server, &search);
	/* The requesting instance does not know this engine yet. */
	if (target.resident_server != 0)
		orders_add_change(
		    orders, target.resident_server, model, adapter, 1);
	if (target.is_available || target.server == NULL) {
		at_log(AT_LOG_INFO, "orders", NULL,
		    "adapter not ordered model=%s adapter=%s available=%d "
		    "model_servers=%u idle=%u",
		    model->text, adapter->text, target.is_available,
		    target.model_servers, target.idle_servers);
		return;
	}
	engine = engine_find_or_add(orders, at_server_entry(target.server));
	if (engine == NULL)
		return;
	if (target.victim == NULL) {
		engine_send_order(engine, 1, model, adapter);
		return;
	}
	engine->next_model = *model;
	engine->next_adapter = *adapter;
	engine_send_order(
	    engine, 0, &target.victim_model->name, &target.victim->name);
}

void
at_orders_io_request_load(at_orders_io_t *orders, const at_work_t *work)
{
	if (!orders_may_send(orders))
		at_gossip_send_demand_soon(orders->deps.gossip);
	else if (work->adapter != 0)
		adapters_request(orders, work->service, work->model_name,
		    work->adapter_name);
}

static void
request_queued(void *ctx, const at_waiter_t *waiter)
{
	at_orders_io_t *orders = ctx;

	if (waiter->work.adapter != 0)
		adapters_request(orders, waiter->work.service,
		    waiter->work.model_name, waiter->work.adapter_name);
}

void
adapters_request_queued(at_orders_io_t *orders)
{
	if (orders_may_send(orders))
		at_wait_queue_each(orders->deps.queue, request_queued, orders);
}

/*
 * Loads the most useful adapter on an idle engine; returns non-zero if an order
 * was sent.
 */
static int
prefetch(at_orders_io_t *orders, at_server_t *server)
{
	const at_server_entry_t *entry = at_server_entry(server);
	const at_site_service_t *service =
	    at_site_find_service(*orders->deps.site, entry->service);
	at_name_t model;
	at_name_t adapter;
	engine_t *engine;

	if (service == NULL || !service->has_models || entry->is_leaving ||
	    !at_server_is_available(server, at_clock_now_us()))
		return 0;
	engine = engine_find_or_add(orders, entry);
	if (engine == NULL || engine->state != ENGINE_IDLE ||
	    engine->adapter_ready_us != 0 ||
	    !at_adapter_prefetch_next(
		service, &engine->residents, orders->demand, &model, &adapter))
		return 0;
	engine_send_order(engine, 1, &model, &adapter);
	return 1;
}

typedef struct prefetch {
	at_orders_io_t *orders;
	unsigned orders_left; /* orders that may still be sent */
} prefetch_t;

static void
prefetch_on_server(void *ctx, at_server_t *server)
{
	prefetch_t *prefetch_ctx = ctx;

	if (prefetch_ctx->orders_left > 0 &&
	    prefetch(prefetch_ctx->orders, server))
		prefetch_ctx->orders_left--;
}

void
adapters_prefetch(at_orders_io_t *orders)
{
	prefetch_t prefetch_ctx = {orders, PREFETCHES_PER_ROUND};

	at_fleet_each(orders->deps.fleet, prefetch_on_server, &prefetch_ctx);
}

static void
on_adapter_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_orders_io_t *orders = timer->data;
	uint64_t now_us = at_clock_now_us();
	uint64_t due_us = 0;
	engine_t *engine;

	(void)events;
	for (engine = orders->engines; engine != NULL;
	     engine = engine->hh.next) {
		at_server_t *server;

		if (engine->adapter_ready_us == 0)
			continue;
		if (engine->adapter_ready_us > now_us) {
			if (due_us == 0 || engine->adapter_ready_us < due_us)
				due_us = engine->adapter_ready_us;
			continue;
		}
		engine->adapter_ready_us = 0;
		server = at_fleet_find(orders->deps.fleet, engine->server);
		if (server == NULL)
			continue;
		at_server_note_adapter(
		    server, &engine->ready_model, &engine->ready_adapter, 1);
		orders_add_change(orders, engine->server, &engine->ready_model,
		    &engine->ready_adapter, 1);
		/* Load the next adapter before orders that take seconds. */
		if (orders_may_send(orders))
			(void)prefetch(orders, server);
	}
	at_gossip_send_soon(orders->deps.gossip);
	orders->deps.on_residents_changed(orders->deps.ctx);
	if (due_us == 0)
		return;
	ev_timer_set(timer, (double)(due_us - now_us) / 1e6, 0.);
	ev_timer_start(loop, timer);
}

void
adapters_note_accepted(engine_t *engine)
{
	at_orders_io_t *orders = engine->orders;
	at_server_t *server = at_fleet_find(orders->deps.fleet, engine->server);
	at_name_t model = engine->next_model;
	at_name_t adapter = engine->next_adapter;

	if (server == NULL)
		return;
	if (engine->is_load) {
		engine->ready_model = engine->model;
		engine->ready_adapter = engine->adapter;
		engine->adapter_ready_us = at_clock_now_us() + ADAPTER_LOAD_US;
		if (ev_is_active(&orders->adapter_timer))
			return;
		ev_timer_init(&orders->adapter_timer, on_adapter_timer,
		    ADAPTER_LOAD_US / 1e6, 0.);
		orders->adapter_timer.data = orders;
		ev_timer_start(orders->deps.loop, &orders->adapter_timer);
		return;
	}
	at_server_note_adapter(server, &engine->model, &engine->adapter, 0);
	orders_add_change(
	    orders, engine->server, &engine->model, &engine->adapter, 0);
	engine->next_adapter.text[0] = '\0';
	engine->next_model.text[0] = '\0';
	if (adapter.text[0] != '\0')
		engine_send_order(engine, 1, &model, &adapter);
}
