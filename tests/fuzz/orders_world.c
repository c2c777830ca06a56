#include "fuzz/orders_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

const uint64_t slot_mb[SLOTS] = {20, 30, 45, 25, 6, 9};

at_rng_t rng;
uint64_t now;
uint64_t next_number;
engine_t engines[ENGINES];
node_t nodes[NODES];
static object_t lease_object;
static object_t orders_object;
static uint64_t revision;
uint64_t outage_until;
static event_t events[EVENTS];
static uint64_t last_serial;
/* No event at or above this index is in use. */
static size_t event_top;
/* Time of the last restart that removed the resident of a slot. */
static uint64_t lost_by_restart_at[SLOTS];

void
fail_oracle(const char *message)
{
	(void)fprintf(
	    stderr, "oracle: %s at %llu\n", message, (unsigned long long)now);
	abort();
}

int
chance(uint64_t percent)
{
	return at_rng_below(&rng, 100) < percent;
}

uint64_t
clock_of(const node_t *node)
{
	return CLOCK_START_MS + now +
	       (uint64_t)((int64_t)now * node->rate_ppm / 1000000);
}

static event_t *
schedule(event_kind_t kind, uint64_t at)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		if (!events[i].is_used) {
			memset(&events[i], 0, sizeof(events[i]));
			events[i].is_used = 1;
			events[i].serial = ++last_serial;
			if (i >= event_top)
				event_top = i + 1;
			events[i].kind = kind;
			events[i].at = at;
			return &events[i];
		}
	}
	fail_oracle("too many events");
}

void
slot_names(size_t slot, at_name_t *model, at_name_t *adapter)
{
	size_t base = slot < 4 ? slot : 0;

	memset(model, 0, sizeof(*model));
	memset(adapter, 0, sizeof(*adapter));
	model->text[0] = (char)('a' + base);
	if (slot >= 4)
		adapter->text[0] = (char)('a' + slot);
}

static size_t
slot_of(const at_order_t *order)
{
	const char *text =
	    order->adapter.text[0] ? order->adapter.text : order->model.text;

	return (size_t)(text[0] - 'a');
}

/* --- engines and invariants --- */

static void
check_memory(const engine_t *engine)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < SLOTS; i++)
		sum += engine->residents[i].is_resident ? slot_mb[i] : 0;
	if (sum > CAPACITY_MB)
		fail_oracle("memory overcommitted");
}

static int
serves(const engine_t *engine, size_t slot)
{
	const resident_t *h = &engine->residents[slot];

	if (!h->is_resident || h->change)
		return 0;
	return slot < 4 || (engine->residents[0].is_resident &&
			       !engine->residents[0].change);
}

static void
check_reachable(const engine_t *except, size_t slot, uint64_t checked_at)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		if (&engines[i] != except && serves(&engines[i], slot))
			return;
	}
	/*
	 * A loss by a restart that no fresh report could show is not a fault of
	 * the instances.
	 */
	if (lost_by_restart_at[slot] + UNSEEN_RESTART_MS >= checked_at)
		return;
	fail_oracle("a model is not served by any engine");
}

static void
engine_settle(engine_t *engine)
{
	size_t i;

	for (i = 0; i < SLOTS; i++) {
		resident_t *h = &engine->residents[i];

		if (h->change && now >= h->done_at) {
			h->is_resident = h->change > 0;
			h->change = 0;
		}
	}
}

static at_order_result_t
engine_execute(engine_t *engine, const at_order_t *order, uint64_t checked_at)
{
	size_t slot = slot_of(order);
	resident_t *h = &engine->residents[slot];

	if (engine->heeds_fencing && order->fence < engine->highest_fence)
		return AT_ORDER_FENCED;
	if (order->fence > engine->highest_fence)
		engine->highest_fence = order->fence;
	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		if (h->is_resident)
			return AT_ORDER_DONE;
		h->is_resident = 1;
		h->change = 1;
		h->done_at = now + at_rng_below(&rng, 3000);
		check_memory(engine);
		return AT_ORDER_DONE;
	}
	if (!h->is_resident || h->change < 0)
		return AT_ORDER_DONE;
	if (serves(engine, slot))
		check_reachable(engine, slot, checked_at);
	h->change = -1;
	h->done_at = now + at_rng_below(&rng, 1000);
	return AT_ORDER_DONE;
}

void
engine_restart(engine_t *engine)
{
	size_t i;

	for (i = 0; i < SLOTS; i++) {
		if (engine->residents[i].is_resident)
			lost_by_restart_at[i] = now;
	}
	if (engine->residents[0].is_resident) {
		lost_by_restart_at[4] = now;
		lost_by_restart_at[5] = now;
	}
	memset(engine->residents, 0, sizeof(engine->residents));
	engine->incarnation = ++next_number;
	engine->highest_fence = 0;
}

/* --- the store --- */

static void
store_apply(event_t *e)
{
	object_t *object = e->is_lease ? &lease_object : &orders_object;

	e->result.code = AT_STORE_CONFLICT;
	if (e->expect != object->version)
		return;
	free(object->value);
	object->value = e->value;
	object->len = e->len;
	e->value = NULL;
	object->version = ++revision;
	e->result.code = AT_STORE_OK;
	e->result.version = object->version;
}

void
store_call(node_t *node, int is_lease, int is_write, uint64_t expect,
    const char *value, size_t len)
{
	uint64_t delay = at_rng_below(&rng, chance(90) ? 20 : 4000);
	event_t *response =
	    schedule(is_lease ? EVENT_LEASE : EVENT_ORDERS, now + delay + 1);
	event_t *effect;

	response->node = (size_t)(node - nodes);
	response->number = node->self.number;
	response->is_lease = is_lease;
	response->is_write = is_write;
	response->is_lost = chance(8);
	if (now < outage_until) {
		response->result.code =
		    chance(50) ? AT_STORE_NOT_SENT : AT_STORE_UNKNOWN;
		response->is_lost = 1;
		if (response->result.code == AT_STORE_NOT_SENT || chance(50))
			return;
	} else if (response->is_lost) {
		response->result.code = AT_STORE_UNKNOWN;
		if (chance(40))
			return;
	}
	if (!is_write)
		return;
	effect = schedule(EVENT_EFFECT,
	    response->is_lost ? now + at_rng_below(&rng, 5000) : now + delay);
	effect->is_lease = is_lease;
	effect->expect = expect;
	effect->value = malloc(len + 1);
	memcpy(effect->value, value, len);
	effect->len = len;
	effect->response_event = (size_t)(response - events);
	effect->response_serial = response->serial;
	effect->is_lost = response->is_lost;
}

static void
store_respond(event_t *e)
{
	node_t *node = &nodes[e->node];
	const object_t *object = e->is_lease ? &lease_object : &orders_object;

	if (node->self.number != e->number)
		return;
	if (!e->is_write && !e->is_lost) {
		e->result.code =
		    object->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
		e->result.version = object->version;
		e->result.value = object->value;
		e->result.value_len = object->len;
	}
	if (e->is_lease)
		at_lease_handle_response(
		    node->lease, clock_of(node), &e->result);
	else if (node->fence != 0)
		at_orders_handle_response(node->orders, &e->result);
}

/* --- orders in transit --- */

void
send_order(node_t *node, const at_order_t *order, uint64_t checked_at)
{
	uint64_t end = now + at_rng_below(&rng, TRANSFER_MS);
	event_t *transfer = schedule(EVENT_TRANSFER_ENDED, end);
	size_t copies = chance(80) ? 1 : at_rng_below(&rng, 3);
	size_t i;

	transfer->node = (size_t)(node - nodes);
	transfer->number = node->self.number;
	transfer->order = *order;
	transfer->order_result = AT_ORDER_UNKNOWN;
	for (i = 0; i < copies; i++) {
		uint64_t longest_ms =
		    chance(70) ? end - now : end - now + LIFETIME_MS;
		event_t *copy = schedule(
		    EVENT_ORDER, now + at_rng_below(&rng, longest_ms + 1));

		copy->node = transfer->node;
		copy->number = node->self.number;
		copy->order = *order;
		copy->checked_at = checked_at;
		copy->engine = (size_t)(order->engine.text[0] - '0');
		copy->response_event = (size_t)(transfer - events);
		copy->response_serial = transfer->serial;
	}
}

void
end_transfers(const node_t *node)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		event_t *e = &events[i];

		if (!e->is_used || e->number != node->self.number)
			continue;
		if (e->kind == EVENT_TRANSFER_ENDED)
			e->is_used = 0;
		if (e->kind == EVENT_ORDER && e->at > now + LIFETIME_MS)
			e->at = now + LIFETIME_MS;
	}
}

static void
deliver_order(event_t *e)
{
	event_t *transfer = &events[e->response_event];
	at_order_result_t result =
	    engine_execute(&engines[e->engine], &e->order, e->checked_at);

	if (transfer->is_used && transfer->serial == e->response_serial &&
	    chance(85))
		transfer->order_result = result;
}

/* --- reports --- */

void
request_report(node_t *node, size_t engine)
{
	event_t *e = schedule(EVENT_SNAPSHOT, now + at_rng_below(&rng, 200));

	e->node = (size_t)(node - nodes);
	e->number = node->self.number;
	e->engine = engine;
	e->requested_at = clock_of(node);
}

static void
take_snapshot(const event_t *request)
{
	const engine_t *engine = &engines[request->engine];
	event_t *e = schedule(
	    EVENT_REPORT, now + at_rng_below(&rng, chance(80) ? 50 : 3000));
	size_t i;

	e->node = request->node;
	e->number = request->number;
	e->engine = request->engine;
	e->requested_at = request->requested_at;
	e->incarnation = engine->incarnation;
	for (i = 0; i < SLOTS; i++) {
		at_resident_t *r = &e->residents[e->count];

		if (!engine->residents[i].is_resident)
			continue;
		slot_names(i, &r->model, &r->adapter);
		r->version = 1;
		r->memory_mb = slot_mb[i];
		r->in_transition = engine->residents[i].change != 0;
		e->count++;
	}
}

void
engine_name(char name[8], size_t engine)
{
	(void)snprintf(name, 8, "%zu", engine);
}

static void
deliver_report(const event_t *e)
{
	node_t *node = &nodes[e->node];
	char name[8];

	if (node->self.number != e->number)
		return;
	engine_name(name, e->engine);
	(void)at_orders_apply_report(node->orders, name, e->requested_at,
	    e->incarnation, e->residents, e->count);
}

static void
run_event(event_t *e)
{
	node_t *node = &nodes[e->node];

	/* Events for a paused process are delivered after its pause. */
	if (e->kind != EVENT_EFFECT && e->kind != EVENT_ORDER &&
	    e->kind != EVENT_SNAPSHOT && node->self.number == e->number &&
	    now < node->paused_until) {
		e->at = node->paused_until;
		return;
	}
	if (e->kind == EVENT_LEASE || e->kind == EVENT_ORDERS)
		store_respond(e);
	else if (e->kind == EVENT_EFFECT) {
		store_apply(e);
		if (!e->is_lost &&
		    events[e->response_event].serial == e->response_serial)
			events[e->response_event].result = e->result;
		free(e->value);
	} else if (e->kind == EVENT_ORDER)
		deliver_order(e);
	else if (e->kind == EVENT_TRANSFER_ENDED &&
		 node->self.number == e->number)
		at_orders_note_transfer_ended(
		    node->orders, e->order.id, e->order_result, clock_of(node));
	else if (e->kind == EVENT_SNAPSHOT)
		take_snapshot(e);
	else if (e->kind == EVENT_REPORT)
		deliver_report(e);
	e->is_used = 0;
}

void
run_events(uint64_t until)
{
	for (;;) {
		event_t *first = NULL;
		size_t i;

		while (event_top > 0 && !events[event_top - 1].is_used)
			event_top--;
		for (i = 0; i < event_top; i++) {
			if (events[i].is_used &&
			    (first == NULL || events[i].at < first->at))
				first = &events[i];
		}
		if (first == NULL || first->at > until)
			break;
		if (first->at > now)
			now = first->at;
		for (i = 0; i < ENGINES; i++)
			engine_settle(&engines[i]);
		run_event(first);
	}
	now = until;
	for (size_t i = 0; i < ENGINES; i++)
		engine_settle(&engines[i]);
}

void
store_drop_responses(const node_t *node)
{
	size_t i;

	for (i = 0; i < event_top; i++) {
		if (events[i].is_used && events[i].kind == EVENT_ORDERS &&
		    events[i].number == node->self.number)
			events[i].is_used = 0;
	}
}

void
world_reset(void)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		if (events[i].is_used)
			free(events[i].value);
		events[i].is_used = 0;
	}
	free(lease_object.value);
	free(orders_object.value);
	now = START_MS;
	next_number = 0;
	revision = 0;
	outage_until = 0;
	memset(engines, 0, sizeof(engines));
	memset(lost_by_restart_at, 0, sizeof(lost_by_restart_at));
	memset(&lease_object, 0, sizeof(lease_object));
	memset(&orders_object, 0, sizeof(orders_object));
	for (i = 0; i < ENGINES; i++) {
		engines[i].incarnation = ++next_number;
		engines[i].heeds_fencing = i == 0;
	}
	engines[0].residents[0].is_resident = 1;
	engines[0].residents[4].is_resident = 1;
	engines[1].residents[1].is_resident = 1;
	engines[2].residents[2].is_resident = 1;
	engines[2].residents[3].is_resident = 1;
}
