/*
 * Leases, orders and planners of three instances on three engines, checked
 * against an oracle that knows the true residents of each engine. Orders are
 * lost, delayed, duplicated and reordered. Reports are delayed. The store loses
 * calls and responses, applies writes after their time-out, and has outages.
 * Instances pause before any action, crash and restart. Clocks differ in rate.
 * Engines restart without residents.
 *
 * Each input is a seed and a list of operations; every run makes OPERATIONS
 * of them. check-args: -seed=1 -runs=5500 -max_len=64 -rss_limit_mb=1024
 */
#include <stdlib.h>
#include <string.h>

#include "fuzz/orders_world.h"

#define OPERATIONS 200u

static at_name_t data_centre = {"d"};
static at_model_t models[4];
static at_adapter_t adapters[2];
static at_engine_t config_engines[ENGINES];
static at_config_t config = {.data_centres = &data_centre,
    .data_centre_count = 1,
    .models = models,
    .model_count = 4,
    .adapters = adapters,
    .adapter_count = 2,
    .engines = config_engines,
    .engine_count = ENGINES,
    .defaults = {.min_replicas = 1, .engine_tokens_s = 1000}};

static void
config_fill(void)
{
	at_name_t none;
	size_t i;

	for (i = 0; i < 4; i++) {
		slot_names(i, &models[i].name, &none);
		models[i].version = 1;
		models[i].memory_mb = slot_mb[i];
	}
	for (i = 0; i < 2; i++) {
		slot_names(4 + i, &adapters[i].model, &adapters[i].name);
		adapters[i].version = 1;
		adapters[i].memory_mb = slot_mb[4 + i];
	}
	for (i = 0; i < ENGINES; i++) {
		engine_name(config_engines[i].name.text, i);
		config_engines[i].data_centre = data_centre;
		config_engines[i].accelerators = 1;
		config_engines[i].memory_mb = CAPACITY_MB;
	}
}

static void
node_start(node_t *node, size_t index)
{
	char name[8];
	size_t i;

	memset(&node->self, 0, sizeof(node->self));
	node->self.instance.text[0] = (char)('x' + index);
	node->self.number = ++next_number;
	node->lease = at_lease_new();
	node->orders = at_orders_new();
	node->placement = at_placement_new();
	(void)at_placement_set_config(
	    node->placement, &config, &config.data_centres[0]);
	at_lease_set_self(node->lease, &node->self);
	at_orders_set_self(node->orders, &node->self);
	at_orders_set_limits(
	    node->orders, &(at_orders_limits_t){LIFETIME_MS, 20000, 8, 8});
	for (i = 0; i < ENGINES; i++) {
		engine_name(name, i);
		(void)at_orders_set_engine(node->orders, name, CAPACITY_MB,
		    engines[i].heeds_fencing, 1);
	}
	node->rate_ppm = (int64_t)at_rng_below(&rng, 2001) - 1000;
	node->fence = 0;
	node->ended_fence = 0;
	node->paused_until = 0;
	node->has_paused_action = 0;
}

static void
node_stop(node_t *node)
{
	at_lease_delete(node->lease);
	at_orders_delete(node->orders);
	at_placement_delete(node->placement);
	free(node->paused_value);
	node->paused_value = NULL;
}

static void
node_restart(size_t index)
{
	end_transfers(&nodes[index]);
	node_stop(&nodes[index]);
	node_start(&nodes[index], index);
}

static void
execute_action(node_t *node, const at_orders_action_t *a, uint64_t checked_at)
{
	if (a->call == AT_ORDERS_SEND)
		send_order(node, &a->order, checked_at);
	else
		store_call(node, 0, a->call == AT_ORDERS_WRITE,
		    a->expect_version, a->value, a->value_len);
}

/* When an order is checked, no other instance may hold the lease. */
static void
check_sole_holder(const node_t *node)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		if (&nodes[i] != node &&
		    at_lease_is_valid(nodes[i].lease, clock_of(&nodes[i]), 0))
			fail_oracle("an order was sent under an expired lease");
	}
}

/* Executes an action, or pauses between its check and its execution. */
static void
execute_or_pause(node_t *node, const at_orders_action_t *a)
{
	if (a->call == AT_ORDERS_SEND)
		check_sole_holder(node);
	if (!chance(2)) {
		execute_action(node, a, now);
		return;
	}
	node->paused_until = now + at_rng_below(&rng, chance(50) ? 500 : 30000);
	node->paused_action = *a;
	node->paused_checked_at = now;
	free(node->paused_value);
	node->paused_value = malloc(a->value_len + 1);
	if (a->value_len > 0)
		memcpy(node->paused_value, a->value, a->value_len);
	node->paused_action.value = node->paused_value;
	node->has_paused_action = 1;
}

static void
node_lease(node_t *node)
{
	at_lease_action_t action;
	uint64_t fence;

	at_lease_process(node->lease, clock_of(node), &action);
	if (action.call != AT_LEASE_NO_CALL)
		store_call(node, 1, action.call == AT_LEASE_WRITE,
		    action.expect_version, action.value, action.value_len);
	fence = at_lease_is_valid(node->lease, clock_of(node), 0)
		    ? at_lease_fencing_token(node->lease)
		    : 0;
	if (fence == node->fence)
		return;
	end_transfers(node);
	at_orders_end_term(node->orders);
	if (node->fence != 0)
		node->ended_fence = node->fence;
	node->fence = fence;
	if (fence != 0)
		at_orders_begin_term(node->orders, fence);
	/* Responses to calls of the previous term are discarded. */
	store_drop_responses(node);
}

static void
node_run(node_t *node)
{
	at_orders_action_t action;

	if (now < node->paused_until)
		return;
	if (node->has_paused_action) {
		node->has_paused_action = 0;
		execute_action(
		    node, &node->paused_action, node->paused_checked_at);
	}
	if (chance(40))
		node_lease(node);
	while (now >= node->paused_until) {
		at_orders_process(
		    node->orders, node->lease, clock_of(node), &action);
		if (action.call == AT_ORDERS_NO_CALL)
			break;
		execute_or_pause(node, &action);
	}
}

static void
propose(node_t *node, int load)
{
	at_order_t order = {0};
	size_t slot = at_rng_below(&rng, SLOTS);
	at_status_t status;

	if (now < node->paused_until || node->fence == 0)
		return;
	order.kind = load ? AT_ORDER_LOAD_MODEL : AT_ORDER_UNLOAD_MODEL;
	if (slot >= 4)
		order.kind =
		    load ? AT_ORDER_LOAD_ADAPTER : AT_ORDER_UNLOAD_ADAPTER;
	slot_names(slot, &order.model, &order.adapter);
	order.engine.text[0] = (char)('0' + at_rng_below(&rng, ENGINES));
	order.version = 1;
	order.memory_mb = slot_mb[slot];
	(void)at_orders_propose(
	    node->orders, &order, "fuzz", clock_of(node), &status);
}

typedef struct open_orders {
	at_order_t orders[AT_ORDERS_INTENTS_MAX];
	size_t count;
} open_orders_t;

static void
collect_open(void *ctx, const at_intent_t *intent)
{
	open_orders_t *open = ctx;

	open->orders[open->count++] = intent->order;
}

/* Runs one round of the planner under abruptly changing demand. */
static void
plan(node_t *node)
{
	static open_orders_t open;
	at_place_engine_t view[ENGINES] = {0};
	at_decision_t decisions[16];
	at_status_t status;
	char name[8] = "a";
	size_t count;
	size_t i;

	if (now < node->paused_until || node->fence == 0)
		return;
	for (i = 0; i < ENGINES; i++) {
		const at_account_t *account;

		engine_name(view[i].name.text, i);
		account = at_orders_account(node->orders, view[i].name.text);
		view[i].accelerators = 1;
		view[i].capacity_mb = CAPACITY_MB;
		view[i].free_mb = at_account_free_mb(account);
		view[i].is_usable = 1;
		view[i].is_leaving = chance(5);
		view[i].residents =
		    at_account_residents(account, &view[i].resident_count);
	}
	name[0] = (char)('a' + at_rng_below(&rng, SLOTS));
	at_placement_add_demand(
	    node->placement, name, at_rng_below(&rng, 100000));
	open.count = 0;
	at_orders_each(node->orders, collect_open, &open);
	count = at_placement_plan(node->placement, clock_of(node), view,
	    ENGINES, open.orders, open.count, decisions, 16);
	for (i = 0; i < count; i++)
		(void)at_orders_propose(node->orders, &decisions[i].order,
		    decisions[i].reason, clock_of(node), &status);
}

typedef struct ended_senders {
	node_t *holder;
	at_incarnation_t senders[AT_ORDERS_INTENTS_MAX];
	size_t count;
} ended_senders_t;

static void
collect_sender(void *ctx, const at_incarnation_t *sender)
{
	ended_senders_t *ended_senders = ctx;

	ended_senders->senders[ended_senders->count++] = *sender;
}

/* Reports to a holder which earlier holders have ended, as the store would. */
static void
note_ended_senders(node_t *holder)
{
	static ended_senders_t ended_senders;
	size_t i;
	size_t j;

	ended_senders.holder = holder;
	ended_senders.count = 0;
	if (now < holder->paused_until)
		return;
	at_orders_each_sender(holder->orders, collect_sender, &ended_senders);
	for (i = 0; i < ended_senders.count; i++) {
		uint64_t fence = UINT64_MAX;

		for (j = 0; j < NODES; j++) {
			if (nodes[j].self.number ==
			    ended_senders.senders[i].number)
				fence = nodes[j].ended_fence;
		}
		at_orders_note_sender_ended(holder->orders,
		    &ended_senders.senders[i], fence, clock_of(holder));
	}
}

/* Returns the holder of the lease in most cases. */
static node_t *
pick_holder(void)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		if (at_orders_is_ready(nodes[i].orders) && chance(90))
			return &nodes[i];
	}
	return &nodes[at_rng_below(&rng, NODES)];
}

/* Injects one of the rarer faults. */
static void
inject_fault(size_t kind)
{
	size_t n = at_rng_below(&rng, NODES);
	node_t *node = &nodes[n];

	switch (kind) {
	case 0:
	case 1:
		node->paused_until = now + at_rng_below(&rng, 20000);
		break;
	case 2:
		node_restart(n);
		break;
	case 3:
		engine_restart(&engines[at_rng_below(&rng, ENGINES)]);
		break;
	case 4:
		outage_until = now + at_rng_below(&rng, 10000);
		break;
	case 5:
		if (at_lease_state(node->lease) == AT_LEASE_RELEASED)
			node_restart(n);
		else if (now >= node->paused_until)
			at_lease_release(node->lease);
		break;
	default:
		run_events(now + at_rng_below(&rng, 8000));
		break;
	}
}

static void
run_operation(uint8_t op)
{
	size_t i;

	if (op < 40)
		propose(pick_holder(), 1);
	else if (op < 80)
		plan(pick_holder());
	else if (op < 160)
		propose(pick_holder(), 0);
	else if (op < 175)
		note_ended_senders(pick_holder());
	else if (op >= 249)
		inject_fault(op - 249u);
	run_events(now + at_rng_below(&rng, 150));
	for (i = 0; i < NODES; i++) {
		if (now >= nodes[i].paused_until && chance(30))
			request_report(&nodes[i], at_rng_below(&rng, ENGINES));
		node_run(&nodes[i]);
	}
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	size_t i;

	rng.state = size;
	for (i = 0; i < size && i < sizeof(rng.state); i++)
		rng.state = rng.state * 257 + data[i];
	config_fill();
	world_reset();
	for (i = 0; i < NODES; i++)
		node_start(&nodes[i], i);
	for (i = 0; i < OPERATIONS; i++)
		run_operation(i + 8 < size ? data[i + 8]
					   : (uint8_t)at_rng_below(&rng, 256));
	for (i = 0; i < NODES; i++)
		node_stop(&nodes[i]);
	world_reset();
	return 0;
}
