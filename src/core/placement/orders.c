#include "core/placement/orders_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* Time from a read of the object to the next attempt. */
#define CALL_RETRY_MS 200u
#define PPM 1000000u
/* An order that is not sent within this time is removed. */
#define UNSENT_TIMEOUT_MS 10000u

at_orders_t *
at_orders_new(void)
{
	at_orders_t *orders = calloc(1, sizeof(*orders));

	if (orders == NULL)
		return NULL;
	orders->intents =
	    calloc(AT_ORDERS_INTENTS_MAX, sizeof(*orders->intents));
	if (orders->intents == NULL) {
		free(orders);
		return NULL;
	}
	return orders;
}

void
at_orders_set_self(at_orders_t *orders, const at_incarnation_t *self)
{
	orders->self = *self;
}

void
at_orders_set_limits(at_orders_t *orders, const at_orders_limits_t *limits)
{
	orders->limits = *limits;
}

void
at_orders_delete(at_orders_t *orders)
{
	order_engine_t *engine;
	order_engine_t *next;

	if (orders == NULL)
		return;
	HASH_ITER(hh, orders->engines, engine, next)
	{
		HASH_DEL(orders->engines, engine);
		at_account_delete(engine->account);
		free(engine);
	}
	free(orders->intents);
	free(orders->text);
	free(orders);
}

void
at_orders_begin_term(at_orders_t *orders, uint64_t fence)
{
	at_orders_end_term(orders);
	orders->fence = fence;
	orders->next_number = 0;
	orders->object_state = OBJECT_UNREAD;
	orders->next_call_ms = 0;
}

static void
remove_intents(at_orders_t *orders)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		const at_order_t *o = &orders->intents[i].intent.order;
		order_engine_t *engine =
		    at_orders_find_engine(orders, o->engine.text);

		if (engine != NULL)
			at_account_release(engine->account, o->id);
	}
	orders->count = 0;
}

void
at_orders_end_term(at_orders_t *orders)
{
	order_engine_t *engine;

	remove_intents(orders);
	for (engine = orders->engines; engine != NULL; engine = engine->hh.next)
		engine->fenced_at_ms = 0;
	orders->fence = 0;
	orders->is_ready = 0;
	orders->ready_at_ms = 0;
	orders->pending_call = AT_ORDERS_NO_CALL;
	orders->is_dirty = 0;
	orders->sequence = 0;
}

int
at_orders_is_ready(const at_orders_t *orders)
{
	return orders->is_ready;
}

/* Reserves memory for every load that was read from the object. */
static void
reserve_loads(at_orders_t *orders)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		const at_order_t *o = &orders->intents[i].intent.order;
		order_engine_t *engine =
		    at_orders_find_engine(orders, o->engine.text);
		at_resident_t resident = at_orders_resident(o);

		if (engine == NULL)
			continue;
		if (at_orders_is_load(o))
			(void)at_account_reserve_unchecked(
			    engine->account, o->id, &resident);
		orders->intents[i].has_taken_effect =
		    at_orders_has_taken_effect(engine->account, o);
	}
}

static void
on_write_confirmed(at_orders_t *orders, uint64_t version)
{
	size_t i;

	orders->object_state = OBJECT_OWNED;
	orders->object_version = version;
	orders->is_ready = 1;
	for (i = 0; i < orders->count; i++) {
		if (orders->intents[i].is_in_write)
			orders->intents[i].is_durable = 1;
		orders->intents[i].is_in_write = 0;
	}
}

static void
apply_object(at_orders_t *orders, const at_store_result_t *result)
{
	int replace_intents = !orders->is_ready;

	if (replace_intents)
		remove_intents(orders);
	orders->object_fence = 0;
	orders->object_sequence = 0;
	orders->object_version = result->version;
	if (result->code == AT_STORE_NOT_FOUND) {
		orders->object_version = 0;
	} else if (at_orders_doc_parse(orders, result->value, result->value_len,
		       replace_intents) != 0) {
		/*
		 * An object that is not valid is never overwritten: it may
		 * contain an order.
		 */
		orders->count = 0;
		orders->object_state = OBJECT_UNREAD;
		return;
	}
	if (replace_intents)
		reserve_loads(orders);
	if (orders->object_fence > orders->fence)
		orders->object_state = OBJECT_SUPERSEDED;
	else if (orders->sequence != 0 &&
		 orders->object_fence == orders->fence &&
		 orders->object_sequence == orders->sequence)
		on_write_confirmed(orders, orders->object_version);
	else
		orders->object_state =
		    orders->is_ready ? OBJECT_OWNED : OBJECT_READ;
}

static void
handle_read_response(at_orders_t *orders, const at_store_result_t *result)
{
	if (result->code == AT_STORE_OK || result->code == AT_STORE_NOT_FOUND) {
		apply_object(orders, result);
		if (orders->object_state != OBJECT_UNREAD)
			orders->next_call_ms = 0;
		if (orders->object_state == OBJECT_OWNED &&
		    orders->object_sequence != orders->sequence)
			orders->is_dirty = 1;
	}
}

void
at_orders_handle_response(at_orders_t *orders, const at_store_result_t *result)
{
	at_orders_call_t call = orders->pending_call;

	orders->pending_call = AT_ORDERS_NO_CALL;
	if (call == AT_ORDERS_READ) {
		handle_read_response(orders, result);
	} else if (call == AT_ORDERS_WRITE) {
		if (result->code == AT_STORE_OK)
			on_write_confirmed(orders, result->version);
		else if (result->code == AT_STORE_NOT_SENT)
			orders->is_dirty = 1;
		else
			orders->object_state = OBJECT_WRITE_UNRESOLVED;
	}
}

/* Returns the lifetime of an order, with an allowance for clock errors. */
static uint64_t
lifetime_ms(const at_orders_t *orders)
{
	uint64_t ms = orders->limits.order_lifetime_ms;

	return ms + ms * 2 * AT_CLOCK_ERROR_PPM / PPM + 1;
}

void
at_orders_note_transfer_ended(
    at_orders_t *orders, uint64_t id, at_order_result_t result, uint64_t now_ms)
{
	order_engine_t *engine;
	open_intent_t *o = NULL;
	size_t i;

	for (i = 0; i < orders->count && o == NULL; i++) {
		if (orders->intents[i].intent.order.id == id)
			o = &orders->intents[i];
	}
	if (o == NULL)
		return;
	o->is_in_transit = 0;
	o->last_arrival_ms = now_ms + lifetime_ms(orders);
	o->next_send_ms = now_ms + AT_ORDERS_RETRY_MS;
	o->is_answered |= result == AT_ORDER_DONE || result == AT_ORDER_REFUSED;
	engine = at_orders_find_engine(orders, o->intent.order.engine.text);
	if (engine != NULL && result == AT_ORDER_DONE) {
		engine->fenced_at_ms = now_ms;
		engine->fenced_incarnation =
		    at_account_incarnation(engine->account);
	}
}

static int
is_same_incarnation(const at_incarnation_t *a, const at_incarnation_t *b)
{
	return a->number == b->number &&
	       at_name_equal(&a->instance, &b->instance);
}

void
at_orders_note_sender_ended(at_orders_t *orders, const at_incarnation_t *sender,
    uint64_t fence, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		open_intent_t *o = &orders->intents[i];

		if (o->is_foreign && o->last_arrival_ms == UNKNOWN_MS &&
		    o->intent.order.fence <= fence &&
		    is_same_incarnation(&o->intent.sender, sender))
			o->last_arrival_ms = now_ms + lifetime_ms(orders);
	}
}

void
at_orders_each_sender(const at_orders_t *orders,
    void (*visit)(void *ctx, const at_incarnation_t *sender), void *ctx)
{
	size_t i;
	size_t j;

	for (i = 0; i < orders->count; i++) {
		const open_intent_t *o = &orders->intents[i];

		if (!o->is_foreign || o->last_arrival_ms != UNKNOWN_MS)
			continue;
		for (j = 0; j < i; j++) {
			const open_intent_t *p = &orders->intents[j];

			if (p->is_foreign && p->last_arrival_ms == UNKNOWN_MS &&
			    is_same_incarnation(
				&p->intent.sender, &o->intent.sender))
				break;
		}
		if (j == i)
			visit(ctx, &o->intent.sender);
	}
}

void
at_orders_each(const at_orders_t *orders,
    void (*visit)(void *ctx, const at_intent_t *intent), void *ctx)
{
	size_t i;

	for (i = 0; i < orders->count; i++)
		visit(ctx, &orders->intents[i].intent);
}

/* Removes an intent. No copy of its order can arrive any more. */
static void
remove_intent(at_orders_t *orders, size_t index)
{
	const at_order_t *o = &orders->intents[index].intent.order;
	order_engine_t *engine = at_orders_find_engine(orders, o->engine.text);

	if (engine != NULL)
		at_account_release(engine->account, o->id);
	orders->count--;
	memmove(&orders->intents[index], &orders->intents[index + 1],
	    (orders->count - index) * sizeof(*orders->intents));
	orders->is_dirty = 1;
}

/* Returns non-zero if an order of ours was not sent in time. */
static int
is_send_overdue(const open_intent_t *o, uint64_t now_ms)
{
	return !o->is_foreign && o->sends == 0 &&
	       now_ms >= o->created_at_ms + UNSENT_TIMEOUT_MS;
}

static int
is_last_arrival_past(const at_orders_t *orders, const open_intent_t *o)
{
	const order_engine_t *engine =
	    at_orders_find_engine(orders, o->intent.order.engine.text);

	return !o->is_in_transit && engine != NULL &&
	       o->last_arrival_ms != UNKNOWN_MS &&
	       at_account_report_requested_at_ms(engine->account) >
		   o->last_arrival_ms;
}

static void
remove_finished(at_orders_t *orders, uint64_t now_ms)
{
	size_t i = 0;

	while (i < orders->count) {
		const open_intent_t *o = &orders->intents[i];

		if (o->is_closed || is_send_overdue(o, now_ms) ||
		    is_last_arrival_past(orders, o))
			remove_intent(orders, i);
		else
			i++;
	}
}

static int
has_own_intent(const at_orders_t *orders, const at_order_t *order)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		const open_intent_t *o = &orders->intents[i];

		if (!o->is_foreign &&
		    at_orders_same_slot(&o->intent.order, order->engine.text,
			order->model.text, order->adapter.text))
			return 1;
	}
	return 0;
}

/* Appends the orders of earlier holders again under our fencing token. */
static void
repeat_foreign(at_orders_t *orders, uint64_t now_ms)
{
	size_t count = orders->count;
	size_t i;

	for (i = 0; i < count; i++) {
		const open_intent_t *o = &orders->intents[i];
		const at_order_t *order = &o->intent.order;
		const order_engine_t *engine =
		    at_orders_find_engine(orders, order->engine.text);
		at_resident_t resident = at_orders_resident(order);
		open_intent_t *own;

		if (!o->is_foreign || o->has_taken_effect || engine == NULL ||
		    at_orders_is_fenced(engine) ||
		    !at_orders_is_fresh(orders, engine, now_ms) ||
		    has_own_intent(orders, order))
			continue;
		if (at_orders_is_unload(order) &&
		    !at_orders_may_unload(orders, engine, order, now_ms))
			continue;
		own = at_orders_append(orders, order,
		    "repeats the order of an earlier holder", now_ms);
		if (own != NULL && at_orders_is_load(order) &&
		    at_account_reserve(
			engine->account, own->intent.order.id, &resident) != 0)
			own->is_closed = 1;
	}
}

/*
 * Returns non-zero if an order may be sent now. Closes an order that is not
 * allowed any more and was never sent.
 */
static int
may_send(at_orders_t *orders, open_intent_t *o, uint64_t now_ms)
{
	const at_order_t *order = &o->intent.order;
	const order_engine_t *engine =
	    at_orders_find_engine(orders, order->engine.text);
	int allowed;

	if (engine == NULL || !at_orders_is_fresh(orders, engine, now_ms))
		return 0;
	if (at_orders_is_unload(order))
		allowed = at_orders_may_unload(orders, engine, order, now_ms);
	else
		allowed = at_account_committed_mb(engine->account) <=
			  at_account_capacity_mb(engine->account);
	if (!allowed && o->sends == 0)
		o->is_closed = 1;
	return allowed;
}

static int
send_due(at_orders_t *orders, const at_lease_t *lease, uint64_t now_ms,
    at_orders_action_t *action)
{
	size_t i;

	for (i = 0; i < orders->count; i++) {
		open_intent_t *o = &orders->intents[i];

		if (o->is_foreign || !o->is_durable || o->is_in_transit ||
		    o->is_answered || o->has_taken_effect || o->is_closed ||
		    o->sends == AT_ORDERS_SENDS_MAX ||
		    now_ms < o->next_send_ms || !may_send(orders, o, now_ms))
			continue;
		if (!at_lease_is_valid(lease, now_ms, AT_LEASE_SEND_MARGIN_MS))
			return 0;
		o->sends++;
		o->is_in_transit = 1;
		action->call = AT_ORDERS_SEND;
		action->order = o->intent.order;
		return 1;
	}
	return 0;
}

static void
call_object(at_orders_t *orders, uint64_t now_ms, at_orders_action_t *action)
{
	size_t i;

	if (orders->pending_call != AT_ORDERS_NO_CALL ||
	    orders->object_state == OBJECT_SUPERSEDED ||
	    now_ms < orders->next_call_ms)
		return;
	if (orders->object_state == OBJECT_UNREAD ||
	    orders->object_state == OBJECT_WRITE_UNRESOLVED) {
		orders->next_call_ms = now_ms + CALL_RETRY_MS;
		action->call = AT_ORDERS_READ;
		orders->pending_call = AT_ORDERS_READ;
		return;
	}
	if (orders->object_state == OBJECT_OWNED && !orders->is_dirty)
		return;
	orders->sequence++;
	orders->is_dirty = 0;
	for (i = 0; i < orders->count; i++)
		orders->intents[i].is_in_write = 1;
	action->value_len = at_orders_doc_encode(orders);
	action->value = orders->text;
	action->expect_version = orders->object_version;
	action->call = AT_ORDERS_WRITE;
	orders->pending_call = AT_ORDERS_WRITE;
}

void
at_orders_process(at_orders_t *orders, const at_lease_t *lease, uint64_t now_ms,
    at_orders_action_t *action)
{
	memset(action, 0, sizeof(*action));
	if (orders->fence == 0 ||
	    at_lease_fencing_token(lease) != orders->fence)
		return;
	if (orders->is_ready && orders->object_state != OBJECT_SUPERSEDED) {
		if (orders->ready_at_ms == 0) {
			orders->ready_at_ms = now_ms;
			at_orders_note_sender_ended(
			    orders, &orders->self, orders->fence - 1, now_ms);
		}
		remove_finished(orders, now_ms);
		repeat_foreign(orders, now_ms);
		if (send_due(orders, lease, now_ms, action))
			return;
	}
	call_object(orders, now_ms, action);
}
