#include "core/placement/orders_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PPM 1000000u
/* Bits of the number in an order id; the fencing token is above them. */
#define ORDER_NUMBER_BITS 24u

order_engine_t *
at_orders_find_engine(const at_orders_t *orders, const char *name)
{
	order_engine_t *engine;

	HASH_FIND_STR(orders->engines, name, engine);
	return engine;
}

static order_engine_t *
add_engine(at_orders_t *orders, const char *name)
{
	order_engine_t *engine = calloc(1, sizeof(*engine));
	size_t i;

	if (engine == NULL)
		return NULL;
	engine->account = at_account_new();
	if (engine->account == NULL || at_name_set(&engine->name, name) != 0) {
		at_account_delete(engine->account);
		free(engine);
		return NULL;
	}
	HASH_ADD_STR(orders->engines, name.text, engine);
	for (i = 0; i < orders->count; i++) {
		const at_order_t *o = &orders->intents[i].intent.order;
		at_resident_t resident = at_orders_resident(o);

		if (at_name_equal(&o->engine, &engine->name) &&
		    (o->kind == AT_ORDER_LOAD_MODEL ||
			o->kind == AT_ORDER_LOAD_ADAPTER))
			(void)at_account_reserve_unchecked(
			    engine->account, o->id, &resident);
	}
	return engine;
}

int
at_orders_set_engine(at_orders_t *orders, const char *name,
    uint64_t capacity_mb, int checks_fencing, int usable)
{
	order_engine_t *engine = at_orders_find_engine(orders, name);

	if (engine == NULL)
		engine = add_engine(orders, name);
	if (engine == NULL)
		return -1;
	at_account_set_capacity_mb(engine->account, capacity_mb);
	engine->checks_fencing = checks_fencing;
	engine->is_usable = usable;
	return 0;
}

const at_account_t *
at_orders_account(const at_orders_t *orders, const char *engine)
{
	const order_engine_t *e = at_orders_find_engine(orders, engine);

	return e == NULL ? NULL : e->account;
}

int
at_orders_is_load(const at_order_t *order)
{
	return order->kind == AT_ORDER_LOAD_MODEL ||
	       order->kind == AT_ORDER_LOAD_ADAPTER;
}

int
at_orders_is_unload(const at_order_t *order)
{
	return order->kind == AT_ORDER_UNLOAD_MODEL ||
	       order->kind == AT_ORDER_UNLOAD_ADAPTER;
}

at_resident_t
at_orders_resident(const at_order_t *order)
{
	at_resident_t resident = {.model = order->model,
	    .adapter = order->adapter,
	    .version = order->version,
	    .memory_mb = order->memory_mb};

	return resident;
}

int
at_orders_same_slot(const at_order_t *order, const char *engine,
    const char *model, const char *adapter)
{
	return strcmp(order->engine.text, engine) == 0 &&
	       strcmp(order->model.text, model) == 0 &&
	       strcmp(order->adapter.text, adapter) == 0;
}

/*
 * Returns an open intent for a slot; with unloads set, only one of an unload.
 */
static open_intent_t *
find_open(const at_orders_t *orders, const char *engine, const char *model,
    const char *adapter, int unloads)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		open_intent_t *o = &orders->intents[i];

		if (at_orders_same_slot(
			&o->intent.order, engine, model, adapter) &&
		    (!unloads || at_orders_is_unload(&o->intent.order)))
			return o;
	}
	return NULL;
}

int
at_orders_has_open_intent(const at_orders_t *orders, const char *engine,
    const char *model, const char *adapter)
{
	return find_open(orders, engine, model, adapter, 0) != NULL;
}

int
at_orders_has_taken_effect(const at_account_t *account, const at_order_t *order)
{
	const at_resident_t *r =
	    at_account_find(account, order->model.text, order->adapter.text);

	if (at_orders_is_unload(order))
		return r == NULL;
	return r != NULL && !r->in_transition;
}

/*
 * Suspends the reservations for loads that the engine now refuses because it
 * checks fencing tokens.
 */
static void
suspend_foreign(at_orders_t *orders, const order_engine_t *engine)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		const open_intent_t *o = &orders->intents[i];

		if (o->is_foreign && at_orders_is_load(&o->intent.order) &&
		    at_name_equal(&o->intent.order.engine, &engine->name))
			at_account_suspend(engine->account, o->intent.order.id);
	}
}

int
at_orders_is_fenced(const order_engine_t *engine)
{
	const at_account_t *account = engine->account;

	return engine->checks_fencing && engine->fenced_at_ms != 0 &&
	       at_account_report_requested_at_ms(account) >
		   engine->fenced_at_ms &&
	       at_account_incarnation(account) == engine->fenced_incarnation;
}

int
at_orders_apply_report(at_orders_t *orders, const char *name,
    uint64_t requested_at_ms, uint64_t incarnation,
    const at_resident_t *residents, size_t count)
{
	order_engine_t *engine = at_orders_find_engine(orders, name);
	size_t i;

	if (engine == NULL ||
	    at_account_apply_report(engine->account, requested_at_ms,
		incarnation, residents, count) != 0)
		return -1;
	if (at_orders_is_fenced(engine))
		suspend_foreign(orders, engine);
	for (i = 0; i < orders->count; i++) {
		open_intent_t *o = &orders->intents[i];

		if (at_name_equal(&o->intent.order.engine, &engine->name))
			o->has_taken_effect = at_orders_has_taken_effect(
			    engine->account, &o->intent.order);
	}
	return 0;
}

int
at_orders_is_fresh(
    const at_orders_t *orders, const order_engine_t *engine, uint64_t now_ms)
{
	uint64_t requested_ms =
	    at_account_report_requested_at_ms(engine->account);

	return orders->ready_at_ms != 0 &&
	       requested_ms >= orders->ready_at_ms &&
	       now_ms <= requested_ms + AT_ORDERS_REPORT_MAX_AGE_MS;
}

/*
 * Returns non-zero if the engine serves the model or adapter and no unload of
 * it is open.
 */
static int
is_served_on(const at_orders_t *orders, const order_engine_t *engine,
    const at_order_t *order)
{
	const at_resident_t *r = at_account_find(
	    engine->account, order->model.text, order->adapter.text);

	if (r == NULL || r->in_transition)
		return 0;
	if (find_open(orders, engine->name.text, order->model.text,
		order->adapter.text, 1) != NULL)
		return 0;
	if (order->adapter.text[0] == '\0')
		return 1;
	r = at_account_find(engine->account, order->model.text, "");
	return r != NULL && !r->in_transition &&
	       find_open(orders, engine->name.text, order->model.text, "", 1) ==
		   NULL;
}

static int
is_served_elsewhere(
    const at_orders_t *orders, const at_order_t *order, uint64_t now_ms)
{
	const order_engine_t *e;

	for (e = orders->engines; e != NULL; e = e->hh.next) {
		if (strcmp(e->name.text, order->engine.text) != 0 &&
		    e->is_usable && at_orders_is_fresh(orders, e, now_ms) &&
		    is_served_on(orders, e, order))
			return 1;
	}
	return 0;
}

/*
 * Returns non-zero if an adapter of the model is on the engine or may still
 * arrive there.
 */
static int
may_have_adapter(const at_orders_t *orders, const order_engine_t *engine,
    const at_order_t *order)
{
	const at_resident_t *r;
	size_t count;
	size_t i;

	r = at_account_residents(engine->account, &count);
	for (i = 0; i < count; i++) {
		if (r[i].adapter.text[0] != '\0' &&
		    at_name_equal(&r[i].model, &order->model))
			return 1;
	}
	for (i = 0; i < orders->count; i++) {
		const at_order_t *o = &orders->intents[i].intent.order;

		if (o->kind == AT_ORDER_LOAD_ADAPTER &&
		    at_name_equal(&o->engine, &engine->name) &&
		    at_name_equal(&o->model, &order->model))
			return 1;
	}
	return 0;
}

int
at_orders_may_unload(const at_orders_t *orders, const order_engine_t *engine,
    const at_order_t *order, uint64_t now_ms)
{
	if (order->adapter.text[0] == '\0' &&
	    may_have_adapter(orders, engine, order))
		return 0;
	return is_served_elsewhere(orders, order, now_ms);
}

open_intent_t *
at_orders_append(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms)
{
	open_intent_t *o;

	if (orders->count == AT_ORDERS_INTENTS_MAX ||
	    orders->next_number >> ORDER_NUMBER_BITS != 0)
		return NULL;
	o = &orders->intents[orders->count++];
	memset(o, 0, sizeof(*o));
	o->intent.order = *order;
	o->intent.order.fence = orders->fence;
	o->intent.order.id =
	    (orders->fence << ORDER_NUMBER_BITS) | orders->next_number++;
	o->intent.sender = orders->self;
	o->last_arrival_ms = UNKNOWN_MS;
	o->created_at_ms = now_ms;
	(void)snprintf(
	    o->intent.reason, sizeof(o->intent.reason), "%s", reason);
	orders->is_dirty = 1;
	return o;
}

/* Returns why a load must wait, or NULL. */
static const char *
load_limit_reason(
    const at_orders_t *orders, const at_order_t *order, uint64_t now_ms)
{
	uint32_t limit = order->kind == AT_ORDER_LOAD_MODEL
			     ? orders->limits.loads_in_flight
			     : orders->limits.adapters_in_flight;
	uint32_t open = 0;
	size_t i;

	if (order->kind == AT_ORDER_LOAD_MODEL && now_ms < orders->next_load_ms)
		return "the load rate of the weight store is used up";
	for (i = 0; i < orders->count; i++) {
		const open_intent_t *o = &orders->intents[i];

		if (o->intent.order.kind == order->kind && !o->has_taken_effect)
			open++;
	}
	return open >= limit ? "the allowed number of loads is in flight"
			     : NULL;
}

static at_code_t
propose_load(at_orders_t *orders, order_engine_t *engine,
    const at_order_t *order, const char *reason, uint64_t now_ms,
    at_status_t *status)
{
	const char *reason_to_wait = load_limit_reason(orders, order, now_ms);
	at_resident_t resident = at_orders_resident(order);
	open_intent_t *o;

	if (at_account_find(engine->account, order->model.text,
		order->adapter.text) != NULL)
		return at_status_set(status, AT_CONFLICT,
		    "the model or adapter is already resident");
	if (reason_to_wait != NULL)
		return at_status_set(
		    status, AT_EXHAUSTED, "%s", reason_to_wait);
	o = at_orders_append(orders, order, reason, now_ms);
	if (o == NULL)
		return at_status_set(
		    status, AT_EXHAUSTED, "too many orders are open");
	if (at_account_reserve(
		engine->account, o->intent.order.id, &resident) != 0) {
		orders->count--;
		return at_status_set(status, AT_EXHAUSTED,
		    "the engine does not have enough free memory");
	}
	if (order->kind == AT_ORDER_LOAD_MODEL &&
	    orders->limits.loads_per_1000_s > 0)
		orders->next_load_ms =
		    now_ms + PPM / orders->limits.loads_per_1000_s;
	return AT_OK;
}

at_code_t
at_orders_propose(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms, at_status_t *status)
{
	order_engine_t *engine =
	    at_orders_find_engine(orders, order->engine.text);

	if (engine == NULL)
		return at_status_set(status, AT_NOT_FOUND, "unknown engine");
	if (!orders->is_ready || !at_orders_is_fresh(orders, engine, now_ms))
		return at_status_set(status, AT_UNAVAILABLE,
		    "the open orders or the report of the engine are not known "
		    "yet");
	if (at_orders_has_open_intent(orders, order->engine.text,
		order->model.text, order->adapter.text))
		return at_status_set(status, AT_CONFLICT,
		    "the model or adapter has an open order on this engine");
	if (at_orders_is_load(order))
		return propose_load(
		    orders, engine, order, reason, now_ms, status);
	if (!at_orders_is_unload(order))
		return at_status_set(
		    status, AT_INVALID, "not an order to load or unload");
	if (at_account_find(engine->account, order->model.text,
		order->adapter.text) == NULL)
		return at_status_set(status, AT_CONFLICT,
		    "the model or adapter is not resident");
	if (!at_orders_may_unload(orders, engine, order, now_ms))
		return at_status_set(status, AT_CONFLICT,
		    "no other engine serves the model or adapter");
	if (at_orders_append(orders, order, reason, now_ms) == NULL)
		return at_status_set(
		    status, AT_EXHAUSTED, "too many orders are open");
	return AT_OK;
}
