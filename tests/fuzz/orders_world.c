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
static size_t event_top;                /* no event at or above it is in use */
static uint64_t lost_by_restart[SLOTS]; /* when a restart took a slot */

void
violated(const char *what)
{
	(void)fprintf(
	    stderr, "oracle: %s at %llu\n", what, (unsigned long long)now);
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
		if (!events[i].used) {
			memset(&events[i], 0, sizeof(events[i]));
			events[i].used = 1;
			events[i].serial = ++last_serial;
			if (i >= event_top)
				event_top = i + 1;
			events[i].kind = kind;
			events[i].at = at;
			return &events[i];
		}
	}
	violated("too many events");
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

/* --- the engines and what must hold --- */

static void
check_memory(const engine_t *engine)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < SLOTS; i++)
		sum += engine->held[i].present ? slot_mb[i] : 0;
	if (sum > CAPACITY_MB)
		violated("memory overcommitted");
}

static int
serves(const engine_t *engine, size_t slot)
{
	const held_t *h = &engine->held[slot];

	if (!h->present || h->changing)
		return 0;
	return slot < 4 ||
	       (engine->held[0].present && !engine->held[0].changing);
}

static void
check_reachable(const engine_t *except, size_t slot, uint64_t checked_at)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		if (&engines[i] != except && serves(&engines[i], slot))
			return;
	}
	/* A restart that no fresh report could show is no act of ours. */
	if (lost_by_restart[slot] + EXCUSE_MS >= checked_at)
		return;
	violated("a model was made unreachable");
}

static void
engine_settle(engine_t *engine)
{
	size_t i;

	for (i = 0; i < SLOTS; i++) {
		held_t *h = &engine->held[i];

		if (h->changing && now >= h->done_at) {
			h->present = h->changing > 0;
			h->changing = 0;
		}
	}
}

static at_order_result_t
engine_obey(engine_t *engine, const at_order_t *order, uint64_t checked_at)
{
	size_t slot = slot_of(order);
	held_t *h = &engine->held[slot];

	if (engine->heeds && order->fence < engine->highest_fence)
		return AT_ORDER_FENCED;
	if (order->fence > engine->highest_fence)
		engine->highest_fence = order->fence;
	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		if (h->present)
			return AT_ORDER_DONE;
		h->present = 1;
		h->changing = 1;
		h->done_at = now + at_rng_below(&rng, 3000);
		check_memory(engine);
		return AT_ORDER_DONE;
	}
	if (!h->present || h->changing < 0)
		return AT_ORDER_DONE;
	if (serves(engine, slot))
		check_reachable(engine, slot, checked_at);
	h->changing = -1;
	h->done_at = now + at_rng_below(&rng, 1000);
	return AT_ORDER_DONE;
}

void
engine_restart(engine_t *engine)
{
	size_t i;

	for (i = 0; i < SLOTS; i++) {
		if (engine->held[i].present)
			lost_by_restart[i] = now;
	}
	if (engine->held[0].present) {
		lost_by_restart[4] = now;
		lost_by_restart[5] = now;
	}
	memset(engine->held, 0, sizeof(engine->held));
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

/* Starts a call; its effect and its answer come in either order. */
void
store_call(node_t *node, int is_lease, int is_write, uint64_t expect,
    const char *value, size_t len)
{
	uint64_t delay = at_rng_below(&rng, chance(90) ? 20 : 4000);
	event_t *answer =
	    schedule(is_lease ? EVENT_LEASE : EVENT_ORDERS, now + delay + 1);
	event_t *effect;

	answer->node = (size_t)(node - nodes);
	answer->number = node->self.number;
	answer->is_lease = is_lease;
	answer->is_write = is_write;
	answer->lost = chance(8);
	if (now < outage_until) {
		answer->result.code =
		    chance(50) ? AT_STORE_NOT_SENT : AT_STORE_UNKNOWN;
		answer->lost = 1;
		if (answer->result.code == AT_STORE_NOT_SENT || chance(50))
			return;
	} else if (answer->lost) {
		answer->result.code = AT_STORE_UNKNOWN;
		if (chance(40))
			return;
	}
	if (!is_write)
		return;
	effect = schedule(EVENT_EFFECT,
	    answer->lost ? now + at_rng_below(&rng, 5000) : now + delay);
	effect->is_lease = is_lease;
	effect->expect = expect;
	effect->value = malloc(len + 1);
	memcpy(effect->value, value, len);
	effect->len = len;
	effect->link = (size_t)(answer - events);
	effect->link_serial = answer->serial;
	effect->lost = answer->lost;
}

static void
store_answer(event_t *e)
{
	node_t *node = &nodes[e->node];
	const object_t *object = e->is_lease ? &lease_object : &orders_object;

	if (node->self.number != e->number)
		return;
	if (!e->is_write && !e->lost) {
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

/* --- orders on the way --- */

void
send_order(node_t *node, const at_order_t *order, uint64_t checked_at)
{
	uint64_t end = now + at_rng_below(&rng, TRANSFER_MS);
	event_t *sent = schedule(EVENT_SENT, end);
	size_t copies = chance(80) ? 1 : at_rng_below(&rng, 3);
	size_t i;

	sent->node = (size_t)(node - nodes);
	sent->number = node->self.number;
	sent->order = *order;
	sent->order_result = AT_ORDER_UNKNOWN;
	for (i = 0; i < copies; i++) {
		uint64_t longest =
		    chance(70) ? end - now : end - now + LIFETIME_MS;
		event_t *copy = schedule(
		    EVENT_ORDER, now + at_rng_below(&rng, longest + 1));

		copy->node = sent->node;
		copy->number = node->self.number;
		copy->order = *order;
		copy->checked_at = checked_at;
		copy->engine = (size_t)(order->engine.text[0] - '0');
		copy->link = (size_t)(sent - events);
		copy->link_serial = sent->serial;
	}
}

/* All transfers of a node end now; copies may still be on their way. */
void
end_transfers(const node_t *node)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		event_t *e = &events[i];

		if (!e->used || e->number != node->self.number)
			continue;
		if (e->kind == EVENT_SENT)
			e->used = 0;
		if (e->kind == EVENT_ORDER && e->at > now + LIFETIME_MS)
			e->at = now + LIFETIME_MS;
	}
}

static void
order_arrives(event_t *e)
{
	event_t *sent = &events[e->link];
	at_order_result_t result =
	    engine_obey(&engines[e->engine], &e->order, e->checked_at);

	if (sent->used && sent->serial == e->link_serial && chance(85))
		sent->order_result = result;
}

/* --- reports --- */

void
ask_report(node_t *node, size_t engine)
{
	event_t *e = schedule(EVENT_SNAPSHOT, now + at_rng_below(&rng, 200));

	e->node = (size_t)(node - nodes);
	e->number = node->self.number;
	e->engine = engine;
	e->asked_at = clock_of(node);
}

static void
take_snapshot(const event_t *asked)
{
	const engine_t *engine = &engines[asked->engine];
	event_t *e = schedule(
	    EVENT_REPORT, now + at_rng_below(&rng, chance(80) ? 50 : 3000));
	size_t i;

	e->node = asked->node;
	e->number = asked->number;
	e->engine = asked->engine;
	e->asked_at = asked->asked_at;
	e->incarnation = engine->incarnation;
	for (i = 0; i < SLOTS; i++) {
		at_resident_t *r = &e->residents[e->count];

		if (!engine->held[i].present)
			continue;
		slot_names(i, &r->model, &r->adapter);
		r->version = 1;
		r->memory_mb = slot_mb[i];
		r->in_transition = engine->held[i].changing != 0;
		e->count++;
	}
}

void
engine_name(char name[8], size_t engine)
{
	(void)snprintf(name, 8, "%zu", engine);
}

static void
report_arrives(const event_t *e)
{
	node_t *node = &nodes[e->node];
	char name[8];

	if (node->self.number != e->number)
		return;
	engine_name(name, e->engine);
	(void)at_orders_apply_report(node->orders, name, e->asked_at,
	    e->incarnation, e->residents, e->count);
}

static void
event_run(event_t *e)
{
	node_t *node = &nodes[e->node];

	/* What a paused process is told waits for it. */
	if (e->kind != EVENT_EFFECT && e->kind != EVENT_ORDER &&
	    e->kind != EVENT_SNAPSHOT && node->self.number == e->number &&
	    now < node->paused_until) {
		e->at = node->paused_until;
		return;
	}
	if (e->kind == EVENT_LEASE || e->kind == EVENT_ORDERS)
		store_answer(e);
	else if (e->kind == EVENT_EFFECT) {
		store_apply(e);
		if (!e->lost && events[e->link].serial == e->link_serial)
			events[e->link].result = e->result;
		free(e->value);
	} else if (e->kind == EVENT_ORDER)
		order_arrives(e);
	else if (e->kind == EVENT_SENT && node->self.number == e->number)
		at_orders_note_transfer_ended(
		    node->orders, e->order.id, e->order_result, clock_of(node));
	else if (e->kind == EVENT_SNAPSHOT)
		take_snapshot(e);
	else if (e->kind == EVENT_REPORT)
		report_arrives(e);
	e->used = 0;
}

void
run_events(uint64_t until)
{
	for (;;) {
		event_t *first = NULL;
		size_t i;

		while (event_top > 0 && !events[event_top - 1].used)
			event_top--;
		for (i = 0; i < event_top; i++) {
			if (events[i].used &&
			    (first == NULL || events[i].at < first->at))
				first = &events[i];
		}
		if (first == NULL || first->at > until)
			break;
		if (first->at > now)
			now = first->at;
		for (i = 0; i < ENGINES; i++)
			engine_settle(&engines[i]);
		event_run(first);
	}
	now = until;
	for (size_t i = 0; i < ENGINES; i++)
		engine_settle(&engines[i]);
}

void
store_forget(const node_t *node)
{
	size_t i;

	for (i = 0; i < event_top; i++) {
		if (events[i].used && events[i].kind == EVENT_ORDERS &&
		    events[i].number == node->self.number)
			events[i].used = 0;
	}
}

void
world_reset(void)
{
	size_t i;

	for (i = 0; i < EVENTS; i++) {
		if (events[i].used)
			free(events[i].value);
		events[i].used = 0;
	}
	free(lease_object.value);
	free(orders_object.value);
	now = START_MS;
	next_number = 0;
	revision = 0;
	outage_until = 0;
	memset(engines, 0, sizeof(engines));
	memset(lost_by_restart, 0, sizeof(lost_by_restart));
	memset(&lease_object, 0, sizeof(lease_object));
	memset(&orders_object, 0, sizeof(orders_object));
	for (i = 0; i < ENGINES; i++) {
		engines[i].incarnation = ++next_number;
		engines[i].heeds = i == 0;
	}
	engines[0].held[0].present = 1;
	engines[0].held[4].present = 1;
	engines[1].held[1].present = 1;
	engines[2].held[2].present = 1;
	engines[2].held[3].present = 1;
}
