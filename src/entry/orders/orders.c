#include "entry/orders/orders_impl.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/handover.h"
#include "almondthread/log.h"
#include "io/clock.h"

#define TICK_S 0.1 /* between two rounds of planning */
#define LEASE_OBJECT "entry-lease/orders"
/* Least remaining term of the lease when an order is sent. */
#define LEASE_SEND_MARGIN_MS 250u
/* After taking the lease, the longest time until the demand counts as known. */
#define DEMAND_LEARN_US 1200000u
/* A lease that is taken within this time after its release was handed over. */
#define HANDED_OVER_US 3000000u
/* In which instances that become able together hear so of each other. */
#define ABLE_REPORTS_US 300000u
/* Time after the start in which the reports of a holder arrive. */
#define START_DELAY_US 400000u
#define STORE_RATE_FRACTION 0.85  /* part of the weight store's rate in use */
#define STORE_LOAD_BURST 2.       /* loads that may start at once */
#define DEMAND_MOVES_PER_ROUND 4u /* moves of one round that follow demand */
#define ROUND_MOVES_MAX 64u       /* all moves of one round */
#define US_PER_S 1000000.

int
orders_may_send(const at_orders_io_t *orders)
{
	return *orders->deps.state != AT_ENTRY_STARTING &&
	       at_lease_is_valid(
		   orders->lease, at_clock_now_ms(), LEASE_SEND_MARGIN_MS);
}

void
orders_note_higher_fence(at_orders_io_t *orders)
{
	at_log(AT_LOG_WARN, "orders", NULL,
	    "lease given up: engine has seen a higher fencing token "
	    "fence=%" PRIu64,
	    at_lease_fencing_token(orders->lease));
	at_lease_note_higher_fence(orders->lease, at_clock_now_ms());
}

uint64_t
at_orders_io_failed_ms(const at_orders_io_t *orders)
{
	return orders->failed_ms;
}

void
at_orders_io_note_lost_writes(at_orders_io_t *orders)
{
	at_lease_note_lost_writes(orders->lease, at_clock_now_ms());
}

uint64_t
at_orders_io_fence(const at_orders_io_t *orders)
{
	return at_lease_state(orders->lease) == AT_LEASE_HELD
		   ? at_lease_fencing_token(orders->lease)
		   : 0;
}

static void process_lease(at_orders_io_t *orders);

static void
on_lease_response(void *ctx, const at_store_result_t *result)
{
	at_orders_io_t *orders = ctx;

	orders->lease_call_open = 0;
	orders->lease_call_took_ms =
	    (uint32_t)(at_clock_now_ms() - orders->lease_call_ms);
	orders->failed_ms = result->code == AT_STORE_NOT_SENT ||
				    result->code == AT_STORE_UNKNOWN
				? at_clock_now_ms()
				: 0;
	at_lease_handle_response(orders->lease, at_clock_now_ms(), result);
	process_lease(orders);
}

static uint64_t
left_ms(const at_orders_io_t *orders)
{
	uint64_t now_ms = at_clock_now_ms();

	return orders->ends_ms > now_ms ? orders->ends_ms - now_ms : 0;
}

int
orders_could_hold(const at_orders_io_t *orders)
{
	const at_orders_io_deps_t *deps = &orders->deps;

	if (orders->ends_ms != 0 && left_ms(orders) <= AT_HANDOVER_STAND_IN_MS)
		return 0;
	return *deps->state != AT_ENTRY_STARTING && *deps->site != NULL &&
	       !at_gossip_is_listening(deps->gossip) &&
	       !at_reach_io_reaches_none(deps->reach);
}

/*
 * Returns whether this instance may take the lease: it has it, or is the only
 * one to take it among the instances that receive each other's reports.
 */
static int
is_candidate(at_orders_io_t *orders)
{
	const at_orders_io_deps_t *deps = &orders->deps;
	uint64_t now_us = at_clock_now_us();

	if (at_lease_state(orders->lease) == AT_LEASE_HELD)
		return 1;
	if (!orders_could_hold(orders))
		orders->able_since_us = 0;
	else if (orders->able_since_us == 0)
		orders->able_since_us = now_us;
	if (orders->able_since_us == 0 ||
	    now_us < orders->able_since_us + ABLE_REPORTS_US)
		return 0;
	if (orders->ends_ms != 0)
		return at_roster_stands_in(deps->roster, now_us);
	return at_roster_is_task_owner(
	    deps->roster, 0, 1, deps->is_platform_away(deps->ctx), now_us);
}

/* The engines may have accepted orders from other holders. */
static void
invalidate_order_counts(at_orders_io_t *orders)
{
	engine_t *engine;

	for (engine = orders->engines; engine != NULL; engine = engine->hh.next)
		engine->is_count_known = 0;
}

static void
cancel_announced_unloads(at_orders_io_t *orders)
{
	engine_t *engine;

	for (engine = orders->engines; engine != NULL;
	     engine = engine->hh.next) {
		if (engine->state == ENGINE_UNLOAD_ANNOUNCED)
			engine->state = ENGINE_IDLE;
	}
}

static void
note_lease_state(at_orders_io_t *orders)
{
	at_lease_state_t state = at_lease_state(orders->lease);

	if (state == orders->logged_state)
		return;
	at_log(AT_LOG_INFO, "lease", NULL,
	    "lease state=%s previous=%s fence=%" PRIu64,
	    at_lease_state_names[state],
	    at_lease_state_names[orders->logged_state],
	    at_lease_fencing_token(orders->lease));
	orders->logged_state = state;
	if (state == AT_LEASE_HELD) {
		orders->lease_taken_us = at_clock_now_us();
		orders->refilled_us = orders->lease_taken_us;
		/*
		 * The previous holder may have used all that the store's rate
		 * permits.
		 */
		orders->store_load_tokens = 0.;
		invalidate_order_counts(orders);
	} else {
		cancel_announced_unloads(orders);
	}
}

static void
process_lease(at_orders_io_t *orders)
{
	const at_store_t *store = &orders->deps.store;
	at_lease_action_t action;

	/* Orders cannot be sent; another instance takes over at once. */
	if (at_reach_io_reaches_none(orders->deps.reach))
		at_lease_step_down(orders->lease);
	/* A renewal that is open would delay it, and nobody could send orders.
	 */
	if (orders->is_release_due && !orders->lease_call_open) {
		orders->is_release_due = 0;
		at_lease_step_down(orders->lease);
	}
	at_lease_set_candidate(orders->lease, is_candidate(orders));
	at_lease_process(orders->lease, at_clock_now_ms(), &action);
	note_lease_state(orders);
	if (action.call == AT_LEASE_NO_CALL || orders->lease_call_open)
		return;
	orders->lease_call_open = 1;
	orders->lease_call_ms = at_clock_now_ms();
	if (action.call == AT_LEASE_READ)
		store->get(
		    store->impl, LEASE_OBJECT, on_lease_response, orders);
	else
		store->put(store->impl, LEASE_OBJECT, action.expect_version,
		    action.value, action.value_len, on_lease_response, orders);
}

/* States of one service's engines, collected for a round. */
typedef struct engine_states {
	at_orders_io_t *orders;
	at_tag_t service;
	at_engine_state_t list[AT_RESIDENCY_ENGINES_MAX];
	size_t count;
	uint64_t now_us;
} engine_states_t;

static void
collect_engine(void *ctx, at_server_t *server)
{
	engine_states_t *states = ctx;
	const at_server_entry_t *entry = at_server_entry(server);
	at_engine_state_t *state = &states->list[states->count];
	const engine_t *engine;

	if (entry->service != states->service ||
	    states->count == AT_RESIDENCY_ENGINES_MAX)
		return;
	engine = engine_find_or_add(states->orders, entry);
	if (engine == NULL)
		return;
	memset(state, 0, sizeof(*state));
	state->entry = entry;
	state->residents = &engine->residents;
	state->load = at_server_load(server, states->now_us);
	state->is_usable = !entry->is_leaving &&
			   at_server_is_available(server, states->now_us);
	state->is_evacuated = at_server_is_evacuated(server);
	/* An engine that is evacuated is not asked what it has. */
	if (state->is_evacuated)
		state->residents = &entry->residents;
	state->is_busy = engine->state != ENGINE_IDLE;
	state->replacement = engine->replacement;
	state->slow_milli = at_server_slow_milli(server, states->now_us);
	if (state->is_busy && engine->adapter.text[0] == '\0') {
		if (engine->is_load)
			state->loading = at_tag_from_text(engine->model.text);
		else
			state->unloading = at_tag_from_text(engine->model.text);
	}
	states->count++;
}

static void
start_move(at_orders_io_t *orders, const at_site_service_t *service,
    const at_move_t *move)
{
	const at_site_model_t *model = at_site_find_model(service, move->model);
	at_server_t *server = at_fleet_find(orders->deps.fleet, move->server);
	engine_t *engine = server == NULL ? NULL
					  : engine_find_or_add(orders,
						at_server_entry(server));
	at_name_t none = {.text = ""};

	if (model == NULL || server == NULL || engine == NULL)
		return;
	at_log(AT_LOG_INFO, "orders", NULL,
	    "%s planned server=%s model=%s from=%s urgent=%d "
	    "accepted=%" PRIu64,
	    move->kind == AT_MOVE_LOAD ? "load" : "unload",
	    at_server_entry(server)->id.text, model->name.text,
	    at_copy_location_names[move->from], move->is_urgent,
	    engine->accepted_count);
	engine->replacement = move->replacement;
	if (move->kind == AT_MOVE_LOAD) {
		engine_send_order(engine, 1, &model->name, NULL);
		return;
	}
	/* Other instances stop sending requests before the unload. */
	engine->state = ENGINE_UNLOAD_ANNOUNCED;
	engine->is_load = 0;
	engine->model = model->name;
	engine->adapter = none;
	engine->order_started_us = at_clock_now_us();
	at_server_note_model(server, &model->name, 0, at_clock_now_us());
	orders_add_change(orders, move->server, &model->name, &none, 0);
	at_gossip_send_soon(orders->deps.gossip);
}

static void
refill_store_load_tokens(
    at_orders_io_t *orders, const at_site_service_t *service, uint64_t now_us)
{
	double elapsed_s = (double)(now_us - orders->refilled_us) / US_PER_S;

	orders->refilled_us = now_us;
	orders->store_load_tokens +=
	    elapsed_s * service->loads_per_1000_s / 1000. * STORE_RATE_FRACTION;
	if (orders->store_load_tokens > STORE_LOAD_BURST)
		orders->store_load_tokens = STORE_LOAD_BURST;
}

static void
plan_moves(at_orders_io_t *orders, const at_site_service_t *service)
{
	static engine_states_t states;
	at_move_t moves[ROUND_MOVES_MAX];
	at_residency_limits_t limits = {0, DEMAND_MOVES_PER_ROUND};
	size_t count;
	size_t i;

	states.orders = orders;
	states.service = service->tag;
	states.count = 0;
	states.now_us = at_clock_now_us();
	refill_store_load_tokens(orders, service, states.now_us);
	limits.store_loads = (uint32_t)orders->store_load_tokens;
	at_fleet_each(orders->deps.fleet, collect_engine, &states);
	count = at_residency_plan(service, states.list, states.count,
	    orders->demand, &limits, moves, ROUND_MOVES_MAX);
	for (i = 0; i < count; i++) {
		if (moves[i].kind == AT_MOVE_LOAD &&
		    moves[i].from == AT_COPY_STORE)
			orders->store_load_tokens -= 1.;
		start_move(orders, service, &moves[i]);
	}
}

/* Loads the models for which requests with allowed regions wait. */
static void
plan_regions(at_orders_io_t *orders, const at_site_service_t *service)
{
	static engine_states_t states;
	const regional_demand_t *demand;
	size_t next = 0;
	size_t i;

	while ((demand = regions_find(orders, service->tag, &next)) != NULL) {
		at_residency_limits_t limits = {
		    (uint32_t)orders->store_load_tokens, 0};
		at_move_t move;

		states.orders = orders;
		states.service = service->tag;
		states.count = 0;
		states.now_us = at_clock_now_us();
		at_fleet_each(orders->deps.fleet, collect_engine, &states);
		for (i = 0; i < states.count; i++)
			states.list[i].is_excluded =
			    !at_site_allows_region(&demand->regions,
				at_fleet_region(orders->deps.fleet,
				    states.list[i].entry->data_centre));
		if (at_residency_plan_for(service, states.list, states.count,
			orders->demand, &limits, demand->model, &move) == 0)
			continue;
		if (move.kind == AT_MOVE_LOAD && move.from == AT_COPY_STORE)
			orders->store_load_tokens -= 1.;
		start_move(orders, service, &move);
	}
}

/*
 * An engine lists a model that is being unloaded until its requests have ended;
 * the unload is therefore announced again in each round.
 */
static void
announce_unload(engine_t *engine, uint64_t now_us)
{
	at_server_t *server =
	    at_fleet_find(engine->orders->deps.fleet, engine->server);

	if (server == NULL || engine->is_load ||
	    engine->adapter.text[0] != '\0' ||
	    (engine->state != ENGINE_UNLOAD_ANNOUNCED &&
		engine->state != ENGINE_ORDER_SENT &&
		engine->state != ENGINE_ORDER_ACCEPTED))
		return;
	at_server_note_model(server, &engine->model, 0, now_us);
	orders_add_change(engine->orders, engine->server, &engine->model,
	    &engine->adapter, 0);
}

static void
process_engines(at_orders_io_t *orders)
{
	uint64_t now_us = at_clock_now_us();
	engine_t *engine;
	engine_t *next;

	HASH_ITER(hh, orders->engines, engine, next)
	{
		const at_server_t *server =
		    at_fleet_find(orders->deps.fleet, engine->server);

		announce_unload(engine, now_us);
		if ((server == NULL || !at_server_is_listed(server)) &&
		    engine->state != ENGINE_ORDER_SENT &&
		    !engine->report_pending) {
			HASH_DEL(orders->engines, engine);
			free(engine);
		} else if (engine->state == ENGINE_UNLOAD_ANNOUNCED &&
			   now_us > engine->order_started_us) {
			at_name_t model = engine->model;

			engine_send_order(engine, 0, &model, NULL);
		} else if ((engine->state == ENGINE_ORDER_ACCEPTED ||
			       engine->state == ENGINE_UNKNOWN) &&
			   !engine->report_pending &&
			   now_us >= engine->report_due_us) {
			engine_fetch_report(engine);
		}
	}
}

static void
add_queued(void *ctx, const at_waiter_t *waiter)
{
	at_orders_io_t *orders = ctx;

	if (waiter->work.model != 0)
		at_demand_rates_add_queued(orders->demand, &waiter->work);
}

/* All instances report it within some time, or are cut off. */
static int
is_demand_known(const at_orders_io_t *orders)
{
	uint64_t now_us = at_clock_now_us();

	if (now_us - orders->lease_taken_us >= DEMAND_LEARN_US)
		return 1;
	/* Otherwise some may not have started yet. */
	return orders->released_us + HANDED_OVER_US >= orders->lease_taken_us &&
	       at_roster_has_all_demand(
		   orders->deps.roster, orders->lease_taken_us, now_us);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_orders_io_t *orders = timer->data;
	const at_orders_io_deps_t *deps = &orders->deps;
	const at_site_t *site;
	size_t i;

	(void)loop;
	(void)events;
	at_demand_rates_clear_queued(orders->demand);
	at_wait_queue_each(deps->queue, add_queued, orders);
	at_demand_rates_tick(orders->demand, at_clock_now_us());
	at_fleet_expire_notes(deps->fleet, at_clock_now_us());
	process_lease(orders);
	if (!orders_may_send(orders))
		return;
	process_engines(orders);
	adapters_request_queued(orders);
	if (!is_demand_known(orders))
		return;
	adapters_prefetch(orders);
	site = *deps->site;
	regions_collect(orders);
	for (i = 0; i < site->service_count; i++) {
		if (!site->services[i]->has_models)
			continue;
		plan_moves(orders, site->services[i]);
		plan_regions(orders, site->services[i]);
	}
}

void
at_orders_io_note_demand(at_orders_io_t *orders, const at_work_t *work)
{
	const at_site_service_t *service =
	    at_site_find_service(*orders->deps.site, work->service);
	uint64_t now_us = at_clock_now_us();
	at_work_t adapter;

	if (work->model == 0 || service == NULL)
		return;
	at_demand_rates_add_request(
	    orders->demand, work, service->slots, now_us);
	if (work->adapter == 0)
		return;
	/* Adapters have a rate of their own, under their own tag. */
	adapter = *work;
	adapter.model = work->adapter;
	at_demand_rates_add_request(
	    orders->demand, &adapter, service->slots, now_us);
}

at_orders_io_t *
at_orders_io_new(const at_orders_io_deps_t *deps)
{
	at_orders_io_t *orders = calloc(1, sizeof(*orders));

	if (orders == NULL)
		return NULL;
	orders->deps = *deps;
	orders->lease = at_lease_new();
	orders->demand = at_demand_rates_new();
	if (orders->lease == NULL || orders->demand == NULL) {
		at_orders_io_delete(orders);
		return NULL;
	}
	at_lease_set_term(orders->lease, deps->settings->lease_ms);
	return orders;
}

static void
on_start_delay(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_orders_io_t *orders = timer->data;

	(void)events;
	ev_timer_stop(loop, timer);
	ev_timer_init(&orders->tick, on_tick, 0., TICK_S);
	orders->tick.data = orders;
	ev_timer_start(loop, &orders->tick);
}

void
at_orders_io_start(at_orders_io_t *orders)
{
	at_lease_set_self(orders->lease, &orders->deps.identity->self);
	ev_timer_init(
	    &orders->tick, on_start_delay, START_DELAY_US / US_PER_S, 0.);
	orders->tick.data = orders;
	ev_timer_start(orders->deps.loop, &orders->tick);
}

void
at_orders_io_begin_stop(at_orders_io_t *orders, uint64_t grace_ms)
{
	at_clock_t wall = at_clock_wall();

	orders->ends_ms = at_clock_now_ms() + grace_ms;
	orders->stated_ends_ms = wall.now_ms(wall.impl) + grace_ms;
	at_roster_set_ends(orders->deps.roster, orders->stated_ends_ms);
	process_lease(orders);
}

static void
hand_over(at_orders_io_t *orders, const at_handover_t *handover)
{
	at_log(AT_LOG_INFO, "lease", NULL,
	    "lease handed over left_ms=%" PRIu64
	    " ready=%u started_later=%u leaving=%u idle=%d",
	    handover->left_ms, handover->successors.ready,
	    handover->successors.later, handover->successors.leaving,
	    handover->is_idle);
	orders->is_release_due = 1;
	process_lease(orders);
}

int
at_orders_io_stop(at_orders_io_t *orders, int is_idle)
{
	at_lease_state_t state = at_lease_state(orders->lease);
	const at_handover_t handover = {.left_ms = left_ms(orders),
	    .call_ms = orders->lease_call_took_ms,
	    .is_idle = is_idle,
	    .successors =
		at_roster_successors(orders->deps.roster, at_clock_now_us())};

	if (state == AT_LEASE_HELD && !orders->is_release_due &&
	    at_handover_is_due(&handover))
		hand_over(orders, &handover);
	else if (state == AT_LEASE_FOLLOWING && is_idle)
		at_lease_release(orders->lease);
	return state == AT_LEASE_HELD || state == AT_LEASE_RELEASING ||
	       orders->lease_call_open;
}

void
at_orders_io_step_down(at_orders_io_t *orders)
{
	at_lease_step_down(orders->lease);
	process_lease(orders);
}

void
at_orders_io_delete(at_orders_io_t *orders)
{
	engine_t *engine;
	engine_t *next;
	adapter_request_t *request;
	adapter_request_t *next_request;

	if (orders == NULL)
		return;
	ev_timer_stop(orders->deps.loop, &orders->tick);
	ev_timer_stop(orders->deps.loop, &orders->adapter_timer);
	HASH_ITER(hh, orders->engines, engine, next)
	{
		HASH_DEL(orders->engines, engine);
		free(engine);
	}
	HASH_ITER(hh, orders->adapter_requests, request, next_request)
	{
		HASH_DEL(orders->adapter_requests, request);
		free(request);
	}
	at_lease_delete(orders->lease);
	at_demand_rates_delete(orders->demand);
	free(orders);
}
