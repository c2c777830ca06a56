#include "entry/orders_impl.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/gossip.h"
#include "io/clock.h"

#define TICK_S 0.1 /* between two rounds of planning */
#define LEASE_OBJECT "entry-lease/orders"
#define LEASE_MARGIN_MS 250u /* left of the term when an order is sent */
#define LEARN_US 1200000u    /* after taking the lease */
#define SETTLE_US 400000u    /* after a start, to hear of a holder */
#define STORE_RATE_PART 0.85 /* of the weight store's rate */
#define STORE_LOADS_MAX 2.   /* that may begin at once */
#define MOVES_PER_ROUND 4u   /* that follow demand */
#define MOVES_MAX 64u        /* in one round, room for their results */
#define US_PER_S 1000000.

int
orders_may_send(const at_orders_io_t *orders)
{
	return orders->entry->state != AT_ENTRY_STARTING &&
	       at_lease_is_valid(
		   orders->lease, at_clock_now_ms(), LEASE_MARGIN_MS);
}

void
orders_outranked(at_orders_io_t *orders)
{
	at_log(AT_LOG_WARN, "orders", NULL, "outranked fence=%" PRIu64,
	    at_lease_fencing_token(orders->lease));
	at_lease_note_higher_fence(orders->lease, at_clock_now_ms());
}

int
at_orders_io_is_platform_away(const at_orders_io_t *orders)
{
	return orders->platform_away;
}

uint64_t
at_orders_io_fence(const at_orders_io_t *orders)
{
	return at_lease_state(orders->lease) == AT_LEASE_HELD
		   ? at_lease_fencing_token(orders->lease)
		   : 0;
}

static void step_lease(at_orders_io_t *orders);

static void
on_lease_answer(void *ctx, const at_store_result_t *result)
{
	at_orders_io_t *orders = ctx;

	orders->lease_call_open = 0;
	orders->platform_away = result->code == AT_STORE_NOT_SENT ||
				result->code == AT_STORE_UNKNOWN;
	at_lease_handle_response(orders->lease, at_clock_now_ms(), result);
	step_lease(orders);
}

/* Only one of those that hear each other stands by to take the lease. */
static int
is_candidate(const at_orders_io_t *orders)
{
	const at_entry_t *entry = orders->entry;
	uint64_t now_us = at_clock_now_us();

	if (at_lease_state(orders->lease) == AT_LEASE_HELD)
		return 1;
	return entry->state == AT_ENTRY_SERVING && entry->site != NULL &&
	       at_roster_is_task_owner(entry->roster, 0, 1,
		   at_entry_is_platform_away(entry), now_us);
}

/* What the engines have accepted under others is not known. */
static void
doubt_tracks(at_orders_io_t *orders)
{
	track_t *track;

	for (track = orders->tracks; track != NULL; track = track->hh.next)
		track->knows_accepted = 0;
}

static void
forget_tracks(at_orders_io_t *orders)
{
	track_t *track;

	for (track = orders->tracks; track != NULL; track = track->hh.next) {
		if (track->state == TRACK_CLOSING)
			track->state = TRACK_IDLE;
	}
}

static void
tell_state(at_orders_io_t *orders)
{
	at_lease_state_t state = at_lease_state(orders->lease);

	if (state == orders->told_state)
		return;
	at_log(AT_LOG_INFO, "lease", NULL, "%s before=%s fence=%" PRIu64,
	    at_lease_state_names[state],
	    at_lease_state_names[orders->told_state],
	    at_lease_fencing_token(orders->lease));
	orders->told_state = state;
	if (state == AT_LEASE_HELD) {
		orders->taken_us = at_clock_now_us();
		orders->refilled_us = orders->taken_us;
		/* The holder before may have begun all that is allowed. */
		orders->store_loads = 0.;
		doubt_tracks(orders);
	} else {
		forget_tracks(orders);
	}
}

static void
step_lease(at_orders_io_t *orders)
{
	at_store_t *store = &orders->entry->store;
	at_lease_action_t action;

	at_lease_set_candidate(orders->lease, is_candidate(orders));
	at_lease_process(orders->lease, at_clock_now_ms(), &action);
	tell_state(orders);
	if (action.call == AT_LEASE_NO_CALL || orders->lease_call_open)
		return;
	orders->lease_call_open = 1;
	if (action.call == AT_LEASE_READ)
		store->get(store->impl, LEASE_OBJECT, on_lease_answer, orders);
	else
		store->put(store->impl, LEASE_OBJECT, action.expect_version,
		    action.value, action.value_len, on_lease_answer, orders);
}

/* What a round collects of a service's engines. */
typedef struct engines {
	at_orders_io_t *orders;
	at_tag_t service;
	at_engine_state_t list[AT_RESIDENCY_ENGINES_MAX];
	size_t count;
	uint64_t now_us;
} engines_t;

static void
collect_engine(void *ctx, at_server_t *server)
{
	engines_t *engines = ctx;
	const at_server_entry_t *entry = at_server_entry(server);
	at_engine_state_t *state = &engines->list[engines->count];
	const track_t *track;

	if (entry->service != engines->service ||
	    engines->count == AT_RESIDENCY_ENGINES_MAX)
		return;
	track = track_of(engines->orders, entry);
	if (track == NULL)
		return;
	memset(state, 0, sizeof(*state));
	state->entry = entry;
	state->residents = &track->held;
	state->load = at_server_load(server, engines->now_us);
	state->is_usable = !entry->is_leaving &&
			   at_server_is_available(server, engines->now_us);
	state->is_busy = track->state != TRACK_IDLE;
	state->replacement = track->room_for;
	if (state->is_busy && track->adapter.text[0] == '\0') {
		if (track->load)
			state->loading = at_tag_from_text(track->model.text);
		else
			state->unloading = at_tag_from_text(track->model.text);
	}
	engines->count++;
}

static void
begin_move(at_orders_io_t *orders, const at_site_service_t *service,
    const at_move_t *move)
{
	const at_site_model_t *model = at_site_find_model(service, move->model);
	at_server_t *server = at_fleet_find(orders->entry->fleet, move->server);
	track_t *track =
	    server == NULL ? NULL : track_of(orders, at_server_entry(server));
	at_name_t none = {.text = ""};

	if (model == NULL || server == NULL || track == NULL)
		return;
	at_log(AT_LOG_INFO, "orders", NULL,
	    "%s server=%s model=%s from=%s urgent=%d accepted=%" PRIu64,
	    move->kind == AT_MOVE_LOAD ? "load" : "unload",
	    at_server_entry(server)->id.text, model->name.text,
	    at_copy_location_names[move->from], move->is_urgent,
	    track->accepted);
	track->room_for = move->replacement;
	if (move->kind == AT_MOVE_LOAD) {
		track_send(track, 1, &model->name, NULL);
		return;
	}
	/* No instance sends it there any more before it goes. */
	track->state = TRACK_CLOSING;
	track->load = 0;
	track->model = model->name;
	track->adapter = none;
	track->begun_us = at_clock_now_us();
	at_server_note_model(server, &model->name, 0, at_clock_now_us());
	orders_tell(orders, move->server, &model->name, &none, 0);
	at_gossip_soon(orders->entry->gossip);
}

static void
refill_store_loads(
    at_orders_io_t *orders, const at_site_service_t *service, uint64_t now_us)
{
	double passed_s = (double)(now_us - orders->refilled_us) / US_PER_S;

	orders->refilled_us = now_us;
	orders->store_loads +=
	    passed_s * service->loads_per_1000_s / 1000. * STORE_RATE_PART;
	if (orders->store_loads > STORE_LOADS_MAX)
		orders->store_loads = STORE_LOADS_MAX;
}

static void
run_round(at_orders_io_t *orders, const at_site_service_t *service)
{
	static engines_t engines;
	at_move_t moves[MOVES_MAX];
	at_residency_limits_t limits = {0, MOVES_PER_ROUND};
	size_t count;
	size_t i;

	engines.orders = orders;
	engines.service = service->tag;
	engines.count = 0;
	engines.now_us = at_clock_now_us();
	refill_store_loads(orders, service, engines.now_us);
	limits.store_loads = (uint32_t)orders->store_loads;
	at_fleet_each(orders->entry->fleet, collect_engine, &engines);
	count = at_residency_plan(service, engines.list, engines.count,
	    orders->demand, &limits, moves, MOVES_MAX);
	for (i = 0; i < count; i++) {
		if (moves[i].kind == AT_MOVE_LOAD &&
		    moves[i].from == AT_COPY_STORE)
			orders->store_loads -= 1.;
		begin_move(orders, service, &moves[i]);
	}
}

/* Until its requests have ended an engine shows a model that is to go. */
static void
tell_unload(track_t *track, uint64_t now_us)
{
	at_server_t *server =
	    at_fleet_find(track->orders->entry->fleet, track->server);

	if (server == NULL || track->load || track->adapter.text[0] != '\0' ||
	    (track->state != TRACK_CLOSING && track->state != TRACK_SENT &&
		track->state != TRACK_CARRIED))
		return;
	at_server_note_model(server, &track->model, 0, now_us);
	orders_tell(
	    track->orders, track->server, &track->model, &track->adapter, 0);
}

static void
step_tracks(at_orders_io_t *orders)
{
	uint64_t now_us = at_clock_now_us();
	track_t *track;
	track_t *next;

	HASH_ITER(hh, orders->tracks, track, next)
	{
		tell_unload(track, now_us);
		if (at_fleet_find(orders->entry->fleet, track->server) ==
			NULL &&
		    track->state != TRACK_SENT && !track->looking) {
			HASH_DEL(orders->tracks, track);
			free(track);
		} else if (track->state == TRACK_CLOSING &&
			   now_us > track->begun_us) {
			at_name_t model = track->model;

			track_send(track, 0, &model, NULL);
		} else if ((track->state == TRACK_CARRIED ||
			       track->state == TRACK_UNSURE) &&
			   !track->looking && now_us >= track->look_us) {
			track_look(track);
		}
	}
}

static void
note_waiting(void *ctx, const at_waiter_t *waiter)
{
	at_orders_io_t *orders = ctx;

	if (waiter->work.model != 0)
		at_demand_rates_add_queued(orders->demand, &waiter->work);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_orders_io_t *orders = timer->data;
	const at_entry_t *entry = orders->entry;
	size_t i;

	(void)loop;
	(void)events;
	at_demand_rates_clear_queued(orders->demand);
	at_wait_queue_each(entry->waiting, note_waiting, orders);
	at_demand_rates_tick(orders->demand, at_clock_now_us());
	at_fleet_expire_notes(entry->fleet, at_clock_now_us());
	step_lease(orders);
	if (!orders_may_send(orders))
		return;
	step_tracks(orders);
	adapters_own_wants(orders);
	/* What is asked for is not known before all have told it. */
	if (at_clock_now_us() - orders->taken_us < LEARN_US)
		return;
	adapters_load_ahead(orders);
	for (i = 0; i < entry->site->service_count; i++) {
		if (entry->site->services[i].has_models)
			run_round(orders, &entry->site->services[i]);
	}
}

void
at_orders_io_note_demand(at_orders_io_t *orders, const at_work_t *work)
{
	const at_site_service_t *service =
	    at_site_find_service(orders->entry->site, work->service);
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
at_orders_io_new(at_entry_t *entry)
{
	at_orders_io_t *orders = calloc(1, sizeof(*orders));

	if (orders == NULL)
		return NULL;
	orders->entry = entry;
	orders->lease = at_lease_new();
	orders->demand = at_demand_rates_new();
	if (orders->lease == NULL || orders->demand == NULL) {
		at_orders_io_delete(orders);
		return NULL;
	}
	at_lease_set_term(orders->lease, entry->settings.lease_ms);
	return orders;
}

static void
on_settled(struct ev_loop *loop, ev_timer *timer, int events)
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
	at_lease_set_self(orders->lease, &orders->entry->self);
	ev_timer_init(&orders->tick, on_settled, SETTLE_US / US_PER_S, 0.);
	orders->tick.data = orders;
	ev_timer_start(orders->entry->loop, &orders->tick);
}

void
at_orders_io_release(at_orders_io_t *orders)
{
	at_lease_release(orders->lease);
	step_lease(orders);
}

void
at_orders_io_delete(at_orders_io_t *orders)
{
	track_t *track;
	track_t *next;
	want_t *want;
	want_t *next_want;

	if (orders == NULL)
		return;
	ev_timer_stop(orders->entry->loop, &orders->tick);
	ev_timer_stop(orders->entry->loop, &orders->adapter_timer);
	HASH_ITER(hh, orders->tracks, track, next)
	{
		HASH_DEL(orders->tracks, track);
		free(track);
	}
	HASH_ITER(hh, orders->wants, want, next_want)
	{
		HASH_DEL(orders->wants, want);
		free(want);
	}
	at_lease_delete(orders->lease);
	at_demand_rates_delete(orders->demand);
	free(orders);
}
