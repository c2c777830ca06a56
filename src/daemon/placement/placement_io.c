#include "daemon/placement/placement_io.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "daemon/placement/placement_impl.h"
#include "io/clock.h"

#define TICK_INTERVAL_S 0.1 /* between calls of at_placement_io_process() */
#define DECISIONS_MAX 64u   /* decisions of one run of the planner */
/* An engine whose last report is older than this is not usable. */
#define ENGINE_REPORT_TIMEOUT_MS 10000u
#define LEASE_ROLE "lease" /* key of at_peers_owner() for lease candidates */

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	at_placement_io_process(timer->data);
}

static void
on_demand(void *ctx, const at_peer_member_t *from, const void *data, size_t len)
{
	at_placement_io_t *io = ctx;

	(void)from;
	at_demand_apply_message(io->placement, data, len);
}

at_placement_io_t *
at_placement_io_new(at_node_t *node)
{
	at_placement_io_t *io = calloc(1, sizeof(*io));

	if (io == NULL)
		return NULL;
	io->node = node;
	io->lease = at_lease_new();
	io->orders = at_orders_new();
	io->placement = at_placement_new();
	io->demand = at_demand_new();
	at_peers_set_handler(node->peers, AT_PEER_DEMAND, on_demand, io);
	ev_timer_init(&io->tick, on_tick, TICK_INTERVAL_S, TICK_INTERVAL_S);
	io->tick.data = io;
	return io;
}

void
at_placement_io_init(at_placement_io_t *io)
{
	at_node_t *node = io->node;

	(void)snprintf(io->lease_object, sizeof(io->lease_object),
	    AT_LEASE_OBJECT "%s", node->data_centre.text);
	(void)snprintf(io->orders_object, sizeof(io->orders_object),
	    AT_ORDERS_OBJECT "%s", node->data_centre.text);
	at_lease_set_self(io->lease, &node->self);
	at_orders_set_self(io->orders, &node->self);
	at_lease_set_candidate(io->lease, 0);
	ev_timer_start(node->loop, &io->tick);
	io->is_started = 1;
}

void
at_placement_io_delete(at_placement_io_t *io)
{
	if (io == NULL)
		return;
	ev_timer_stop(io->node->loop, &io->tick);
	at_order_transfer_cancel_all(io);
	at_demand_delete(io->demand);
	at_placement_delete(io->placement);
	at_orders_delete(io->orders);
	at_lease_delete(io->lease);
	free(io);
}

/*
 * Returns a data centre's even share of a limit of the weight store; 1 or more.
 */
static uint32_t
even_share(uint32_t total, size_t data_centres)
{
	uint32_t share =
	    data_centres > 0 ? total / (uint32_t)data_centres : total;

	return share > 0 ? share : 1;
}

void
at_placement_io_configure(at_placement_io_t *io, const at_config_t *config)
{
	const at_defaults_t *defaults = &config->defaults;
	at_orders_limits_t limits = {
	    .order_lifetime_ms = defaults->order_lifetime_ms,
	    .loads_per_1000_s = even_share(
		defaults->loads_per_1000_s, config->data_centre_count),
	    .loads_in_flight = even_share(
		defaults->loads_in_flight, config->data_centre_count),
	    .adapters_in_flight = even_share(
		defaults->adapters_in_flight, config->data_centre_count)};

	if (at_placement_set_config(
		io->placement, config, &io->node->data_centre) != 0) {
		at_log(AT_LOG_ERROR, "placement", NULL,
		    "Out of memory. Placement does not use the new "
		    "configuration.");
		return;
	}
	io->config = config;
	at_orders_set_limits(io->orders, &limits);
	at_placement_io_update_list(io);
}

/*
 * Returns whether an engine is listed, not leaving and reported in the last
 * max_age_ms.
 */
static int
is_usable(const at_backend_t *backend, uint32_t max_age_ms)
{
	return backend != NULL && backend->is_listed &&
	       !backend->instance.is_leaving &&
	       backend->view.report_at_ms != 0 &&
	       at_clock_now_ms() <= backend->view.report_at_ms + max_age_ms;
}

static int
is_in_data_centre(const at_placement_io_t *io, const at_engine_t *engine)
{
	return at_name_equal(&engine->data_centre, &io->node->data_centre);
}

/* Updates the orders' list of this data centre's engines. */
static void
update_engines(at_placement_io_t *io)
{
	size_t i;

	for (i = 0; i < io->config->engine_count; i++) {
		const at_engine_t *engine = &io->config->engines[i];

		if (!is_in_data_centre(io, engine))
			continue;
		(void)at_orders_set_engine(io->orders, engine->name.text,
		    engine->memory_mb, engine->heeds_fencing,
		    is_usable(
			at_backends_find(io->node->backends, engine->name.text),
			AT_ORDERS_REPORT_MAX_AGE_MS));
	}
}

void
at_placement_io_update_list(at_placement_io_t *io)
{
	if (io->config == NULL)
		return;
	update_engines(io);
	at_former_senders_update_list(io, at_clock_now_ms());
}

void
at_placement_io_apply_report(at_placement_io_t *io, const char *engine,
    uint64_t requested_at_ms, const at_engine_view_t *view)
{
	(void)at_orders_apply_report(io->orders, engine, requested_at_ms,
	    view->incarnation, view->residents, view->resident_count);
}

void
at_placement_io_add_demand(
    at_placement_io_t *io, const char *name, uint64_t tokens)
{
	at_demand_add(io->demand, name, tokens);
}

void
at_placement_io_release(at_placement_io_t *io)
{
	at_lease_release(io->lease);
	at_placement_io_process(io);
}

static void
on_lease(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;

	at_lease_handle_response(io->lease, at_clock_now_ms(), result);
	at_placement_io_process(io);
}

static void
on_orders_object(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;

	io->orders_call_open = 0;
	if (io->orders_call_term == io->term)
		at_orders_handle_response(io->orders, result);
	at_placement_io_process(io);
}

static void
process_lease(at_placement_io_t *io)
{
	const at_store_t *store = &io->node->store;
	at_lease_action_t action;

	at_lease_process(io->lease, at_clock_now_ms(), &action);
	if (action.call == AT_LEASE_READ)
		store->get(store->impl, io->lease_object, on_lease, io);
	else if (action.call == AT_LEASE_WRITE)
		store->put(store->impl, io->lease_object, action.expect_version,
		    action.value, action.value_len, on_lease, io);
}

/* Ends or begins a term when the lease has been lost or acquired. */
static void
update_term(at_placement_io_t *io)
{
	uint64_t fence = at_lease_is_valid(io->lease, at_clock_now_ms(), 0)
			     ? at_lease_fencing_token(io->lease)
			     : 0;

	if (fence == io->term)
		return;
	if (io->term != 0) {
		at_order_transfer_cancel_all(io);
		at_orders_end_term(io->orders);
		io->ended_fence = io->term;
		io->term = 0;
		at_log(AT_LOG_INFO, "placement", NULL,
		    "The lease of %s has ended. No more orders are sent.",
		    io->node->data_centre.text);
	}
	/*
	 * A response to a call of the last term would be taken for one of this
	 * term: the term begins after it.
	 */
	if (fence == 0 || io->orders_call_open)
		return;
	io->term = fence;
	at_orders_begin_term(io->orders, fence);
	at_log(AT_LOG_INFO, "placement", NULL,
	    "Acquired the lease of %s with fencing token %llu. "
	    "Orders can be sent.",
	    io->node->data_centre.text, (unsigned long long)fence);
}

static void
call_orders_object(at_placement_io_t *io, const at_orders_action_t *action)
{
	const at_store_t *store = &io->node->store;

	io->orders_call_open = 1;
	io->orders_call_term = io->term;
	if (action->call == AT_ORDERS_READ)
		store->get(
		    store->impl, io->orders_object, on_orders_object, io);
	else
		store->put(store->impl, io->orders_object,
		    action->expect_version, action->value, action->value_len,
		    on_orders_object, io);
}

static void
process_orders(at_placement_io_t *io)
{
	at_orders_action_t action;

	for (;;) {
		at_orders_process(
		    io->orders, io->lease, at_clock_now_ms(), &action);
		if (action.call == AT_ORDERS_NO_CALL)
			return;
		if (action.call == AT_ORDERS_SEND)
			at_order_transfer_start(io, &action.order);
		else
			call_orders_object(io, &action);
	}
}

typedef struct open_orders {
	at_order_t list[AT_ORDERS_INTENTS_MAX];
	size_t count;
} open_orders_t;

static void
add_open_order(void *ctx, const at_intent_t *intent)
{
	open_orders_t *open = ctx;

	open->list[open->count++] = intent->order;
}

static size_t
collect_engines(const at_placement_io_t *io, at_place_engine_t *engines)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < io->config->engine_count; i++) {
		const at_engine_t *declared = &io->config->engines[i];
		at_place_engine_t *engine = &engines[count];
		const at_account_t *account =
		    at_orders_account(io->orders, declared->name.text);
		const at_backend_t *backend =
		    at_backends_find(io->node->backends, declared->name.text);

		if (!is_in_data_centre(io, declared) || account == NULL)
			continue;
		engine->name = declared->name;
		engine->accelerators = declared->accelerators;
		engine->capacity_mb = declared->memory_mb;
		engine->free_mb = at_account_free_mb(account);
		engine->is_usable =
		    is_usable(backend, ENGINE_REPORT_TIMEOUT_MS);
		engine->is_leaving =
		    backend != NULL && backend->instance.is_leaving;
		engine->residents =
		    at_account_residents(account, &engine->resident_count);
		count++;
	}
	return count;
}

static void
propose_order(at_placement_io_t *io, const at_decision_t *decision)
{
	at_status_t status;
	at_code_t code;

	at_status_clear(&status);
	code = at_orders_propose(io->orders, &decision->order, decision->reason,
	    at_clock_now_ms(), &status);
	at_counters_add(io->node->counters, "decisions_total", "result",
	    at_code_names[code], 1);
	if (code == AT_OK)
		at_log(AT_LOG_INFO, "placement", NULL,
		    "Planned %s of %s on %s: %s.",
		    at_order_kind_names[decision->order.kind],
		    decision->order.adapter.text[0]
			? decision->order.adapter.text
			: decision->order.model.text,
		    decision->order.engine.text, decision->reason);
}

static void
plan(at_placement_io_t *io, uint64_t now_ms)
{
	at_place_engine_t *engines =
	    calloc(io->config->engine_count + 1, sizeof(*engines));
	at_decision_t *decisions = calloc(DECISIONS_MAX, sizeof(*decisions));
	open_orders_t *open = calloc(1, sizeof(*open));
	size_t count = 0;
	size_t i;

	if (engines != NULL && decisions != NULL && open != NULL) {
		at_orders_each(io->orders, add_open_order, open);
		count = at_placement_plan(io->placement, now_ms, engines,
		    collect_engines(io, engines), open->list, open->count,
		    decisions, DECISIONS_MAX);
	}
	for (i = 0; i < count; i++)
		propose_order(io, &decisions[i]);
	free(engines);
	free(decisions);
	free(open);
}

/*
 * Returns whether the data centre has engines. Without engines there is nothing
 * to place, and no calls are made for a lease.
 */
static int
has_engines(const at_placement_io_t *io)
{
	size_t i;

	for (i = 0; i < io->config->engine_count; i++) {
		if (is_in_data_centre(io, &io->config->engines[i]))
			return 1;
	}
	return 0;
}

/*
 * Updates whether this instance is a candidate for the lease, and sends the
 * counted demand to every candidate, because each may become the planner.
 */
static void
send_demand(at_placement_io_t *io)
{
	const at_name_t *names[AT_LEASE_CANDIDATES];
	const at_node_t *node = io->node;
	int candidate = 0;
	size_t count = 0;
	uint32_t rank;

	for (rank = 0; rank < AT_LEASE_CANDIDATES; rank++) {
		const at_name_t *owner = at_peers_owner(
		    node->peers, &node->data_centre, LEASE_ROLE, rank);

		if (owner == NULL)
			break;
		if (at_name_equal(owner, &node->self.instance))
			candidate = 1;
		else
			names[count++] = owner;
	}
	at_lease_set_candidate(io->lease, candidate && has_engines(io));
	at_demand_flush(io->demand, candidate ? io->placement : NULL,
	    node->peers, names, count);
}

static void
process_plan(at_placement_io_t *io, uint64_t now_ms)
{
	if (io->config == NULL || now_ms < io->next_plan_ms)
		return;
	io->next_plan_ms = now_ms + AT_PLAN_INTERVAL_MS;
	update_engines(io);
	send_demand(io);
	if (!at_orders_is_ready(io->orders))
		return;
	at_former_senders_check(io, now_ms);
	plan(io, now_ms);
}

void
at_placement_io_process(at_placement_io_t *io)
{
	if (!io->is_started)
		return;
	if (io->is_processing) {
		io->process_again = 1;
		return;
	}
	io->is_processing = 1;
	do {
		io->process_again = 0;
		process_lease(io);
		update_term(io);
		process_plan(io, at_clock_now_ms());
		process_orders(io);
		at_former_senders_write_statement(io, at_clock_now_ms());
	} while (io->process_again);
	io->is_processing = 0;
}

static void
add_intent(void *ctx, const at_intent_t *intent)
{
	const at_order_t *order = &intent->order;

	json_array_append_new(
	    ctx, json_pack("{s:s,s:s,s:s,s:s,s:s}", "kind",
		     at_order_kind_names[order->kind], "engine",
		     order->engine.text, "subject",
		     order->adapter.text[0] ? order->adapter.text
					    : order->model.text,
		     "sender", intent->sender.instance.text, "reason",
		     intent->reason));
}

json_t *
at_placement_io_status(const at_placement_io_t *io)
{
	json_t *open = json_array();

	at_orders_each(io->orders, add_intent, open);
	return json_pack("{s:s,s:s,s:I,s:b,s:o}", "lease",
	    at_lease_state_names[at_lease_state(io->lease)], "holder",
	    at_lease_holder(io->lease)->instance.text, "fence",
	    (json_int_t)io->term, "ready", at_orders_is_ready(io->orders),
	    "open_orders", open);
}

json_t *
at_placement_io_explain(const at_placement_io_t *io, const char *name)
{
	const at_place_state_t *state = at_placement_state(io->placement, name);

	if (state == NULL || !at_orders_is_ready(io->orders))
		return json_pack("{s:b,s:s}", "plans_here", 0, "ask",
		    at_lease_holder(io->lease)->instance.text);
	return json_pack("{s:b,s:i,s:i,s:i,s:i,s:I,s:s}", "plans_here", 1,
	    "wanted", (int)state->target, "serving", (int)state->serving,
	    "coming", (int)state->loading, "old", (int)state->outdated,
	    "demand_tokens_s", (json_int_t)state->demand_tokens_s,
	    "last_decision", state->reason);
}
