/*
 * orders_adapters.c - adapters are loaded when a request asks for one that is
 * nowhere, on the least loaded engine that holds its model.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/gossip.h"
#include "entry/orders_impl.h"
#include "io/clock.h"

#define LOOK_AGAIN_US 40000u    /* between two looks after one adapter */
#define ADAPTER_READY_US 11000u /* from an accepted order to its end */
#define AHEAD_PER_ROUND 32u     /* adapters loaded before they are waited for */

/* The engine to load an adapter on, and what has to go for it. */
typedef struct spot {
	at_orders_io_t *orders;
	at_tag_t service;
	at_tag_t model;
	at_tag_t adapter;
	uint32_t slots;
	uint64_t now_us;
	at_server_t *server;
	const at_resident_model_t
	    *victim_model; /* NULL: there is a free place */
	const at_resident_adapter_t *victim;
	double cost;
	unsigned holders;      /* engines with its model */
	unsigned idle;         /* of them take orders now */
	int there;             /* an engine holds it, or will soon */
	at_tag_t there_server; /* which one holds it; 0: it will soon */
} spot_t;

/* Finds the adapter that is asked for least. */
static double
find_victim(const spot_t *spot, const at_resident_set_t *held,
    const at_resident_model_t **model, const at_resident_adapter_t **victim)
{
	double least = 0.;
	size_t i;
	size_t k;

	*victim = NULL;
	for (i = 0; i < held->count; i++) {
		for (k = 0; k < held->models[i].adapter_count; k++) {
			const at_resident_adapter_t *a =
			    &held->models[i].adapters[k];
			double rate = at_demand_rates_get(
			    spot->orders->demand, spot->service, a->tag)
					  .requests_per_s;

			if (*victim != NULL && rate >= least)
				continue;
			*model = &held->models[i];
			*victim = a;
			least = rate;
		}
	}
	return least;
}

static int
is_coming(const track_t *track, const spot_t *spot, const char *adapter)
{
	if (at_tag_from_text(track->next_model.text) == spot->model &&
	    strcmp(track->next_adapter.text, adapter) == 0)
		return 1;
	if (track->adapter_ready_us != 0 &&
	    at_tag_from_text(track->ready_model.text) == spot->model &&
	    strcmp(track->ready_adapter.text, adapter) == 0)
		return 1;
	return track->state != TRACK_IDLE && track->load &&
	       at_tag_from_text(track->model.text) == spot->model &&
	       strcmp(track->adapter.text, adapter) == 0;
}

typedef struct visit {
	spot_t *spot;
	const char *adapter;
} visit_t;

static void
consider(void *ctx, at_server_t *server)
{
	visit_t *visit = ctx;
	spot_t *spot = visit->spot;
	const at_server_entry_t *entry = at_server_entry(server);
	const at_resident_model_t *model = NULL;
	const at_resident_adapter_t *victim = NULL;
	const track_t *track;
	double cost;

	if (entry->service != spot->service || spot->there)
		return;
	track = track_of(spot->orders, entry);
	if (track == NULL)
		return;
	if (at_server_has_resident(server, spot->model, spot->adapter) ||
	    is_coming(track, spot, visit->adapter)) {
		/* Beside an engine without room another one is worth it. */
		if (at_server_load(server, spot->now_us).active >= entry->slots)
			return;
		spot->there = 1;
		if (at_resident_set_has(
			&track->held, spot->model, spot->adapter))
			spot->there_server = entry->tag;
		return;
	}
	if (entry->is_leaving ||
	    !at_server_is_available(server, spot->now_us) ||
	    !at_server_has_resident(server, spot->model, 0))
		return;
	spot->holders++;
	if (track->state != TRACK_IDLE || track->adapter_ready_us != 0)
		return;
	spot->idle++;
	cost = at_server_load(server, spot->now_us).active;
	if (at_resident_set_adapter_count(&track->held) >= spot->slots) {
		cost += 20. +
			100. * find_victim(spot, &track->held, &model, &victim);
		if (victim == NULL)
			return;
	}
	if (spot->server != NULL && cost >= spot->cost)
		return;
	spot->server = server;
	spot->victim_model = model;
	spot->victim = victim;
	spot->cost = cost;
}

/* Several instances may want one adapter, each in several reports. */
static int
was_looked_after(at_orders_io_t *orders, at_tag_t adapter, uint64_t now_us)
{
	want_t *want;

	HASH_FIND(hh, orders->wants, &adapter, sizeof(adapter), want);
	if (want == NULL) {
		want = calloc(1, sizeof(*want));
		if (want == NULL)
			return 0;
		want->adapter = adapter;
		HASH_ADD(hh, orders->wants, adapter, sizeof(adapter), want);
	}
	if (now_us < want->until_us)
		return 1;
	want->until_us = now_us + LOOK_AGAIN_US;
	return 0;
}

void
adapters_want(at_orders_io_t *orders, at_tag_t service, const at_name_t *model,
    const at_name_t *adapter)
{
	const at_site_t *site = orders->entry->site;
	const at_site_service_t *s =
	    site == NULL ? NULL : at_site_find_service(site, service);
	char text[2 * AT_NAME_SIZE];
	spot_t spot = {.orders = orders,
	    .service = service,
	    .model = at_tag_from_text(model->text),
	    .slots = s == NULL ? 0 : s->adapter_slots,
	    .now_us = at_clock_now_us()};
	visit_t visit = {&spot, adapter->text};
	track_t *track;

	if (!orders_may_send(orders) || s == NULL)
		return;
	(void)snprintf(text, sizeof(text), "%s/%s", model->text, adapter->text);
	spot.adapter = at_tag_from_text(text);
	if (was_looked_after(orders, spot.adapter, spot.now_us))
		return;
	at_fleet_each(orders->entry->fleet, consider, &visit);
	/* Whoever wants it has not heard where it is. */
	if (spot.there_server != 0)
		orders_tell(orders, spot.there_server, model, adapter, 1);
	if (spot.there || spot.server == NULL) {
		at_log(AT_LOG_INFO, "orders", NULL,
		    "adapter waits model=%s adapter=%s there=%d holders=%u "
		    "idle=%u",
		    model->text, adapter->text, spot.there, spot.holders,
		    spot.idle);
		return;
	}
	track = track_of(orders, at_server_entry(spot.server));
	if (track == NULL)
		return;
	if (spot.victim == NULL) {
		track_send(track, 1, model, adapter);
		return;
	}
	track->next_model = *model;
	track->next_adapter = *adapter;
	track_send(track, 0, &spot.victim_model->name, &spot.victim->name);
}

void
at_orders_io_want(at_orders_io_t *orders, const at_work_t *work)
{
	if (!orders_may_send(orders))
		at_gossip_want(orders->entry->gossip);
	else if (work->adapter != 0)
		adapters_want(orders, work->service, work->model_name,
		    work->adapter_name);
}

static void
own_want(void *ctx, const at_waiter_t *waiter)
{
	at_orders_io_t *orders = ctx;

	if (waiter->work.adapter != 0)
		adapters_want(orders, waiter->work.service,
		    waiter->work.model_name, waiter->work.adapter_name);
}

void
adapters_own_wants(at_orders_io_t *orders)
{
	if (orders_may_send(orders))
		at_wait_queue_each(orders->entry->waiting, own_want, orders);
}

/* Loads the adapter that is worth it most on an idle engine; returns 1 if so.
 */
static int
load_ahead(at_orders_io_t *orders, at_server_t *server)
{
	const at_server_entry_t *entry = at_server_entry(server);
	const at_site_service_t *service =
	    at_site_find_service(orders->entry->site, entry->service);
	at_name_t model;
	at_name_t adapter;
	track_t *track;

	if (service == NULL || !service->has_models || entry->is_leaving ||
	    !at_server_is_available(server, at_clock_now_us()))
		return 0;
	track = track_of(orders, entry);
	if (track == NULL || track->state != TRACK_IDLE ||
	    track->adapter_ready_us != 0 ||
	    !at_adapter_prefetch_next(
		service, &track->held, orders->demand, &model, &adapter))
		return 0;
	track_send(track, 1, &model, &adapter);
	return 1;
}

typedef struct ahead {
	at_orders_io_t *orders;
	unsigned left; /* orders that may still be given */
} ahead_t;

static void
load_ahead_at(void *ctx, at_server_t *server)
{
	ahead_t *ahead = ctx;

	if (ahead->left > 0 && load_ahead(ahead->orders, server))
		ahead->left--;
}

void
adapters_load_ahead(at_orders_io_t *orders)
{
	ahead_t ahead = {orders, AHEAD_PER_ROUND};

	at_fleet_each(orders->entry->fleet, load_ahead_at, &ahead);
}

static void
on_adapter_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_orders_io_t *orders = timer->data;
	uint64_t now_us = at_clock_now_us();
	uint64_t due_us = 0;
	track_t *track;

	(void)events;
	for (track = orders->tracks; track != NULL; track = track->hh.next) {
		at_server_t *server;

		if (track->adapter_ready_us == 0)
			continue;
		if (track->adapter_ready_us > now_us) {
			if (due_us == 0 || track->adapter_ready_us < due_us)
				due_us = track->adapter_ready_us;
			continue;
		}
		track->adapter_ready_us = 0;
		server = at_fleet_find(orders->entry->fleet, track->server);
		if (server == NULL)
			continue;
		at_server_note_adapter(
		    server, &track->ready_model, &track->ready_adapter, 1);
		orders_tell(orders, track->server, &track->ready_model,
		    &track->ready_adapter, 1);
		/* The next one goes before orders that take seconds. */
		if (orders_may_send(orders))
			(void)load_ahead(orders, server);
	}
	at_gossip_soon(orders->entry->gossip);
	at_entry_place_waiting(orders->entry);
	if (due_us == 0)
		return;
	ev_timer_set(timer, (double)(due_us - now_us) / 1e6, 0.);
	ev_timer_start(loop, timer);
}

void
adapters_accepted(track_t *track)
{
	at_orders_io_t *orders = track->orders;
	at_server_t *server =
	    at_fleet_find(orders->entry->fleet, track->server);
	at_name_t model = track->next_model;
	at_name_t adapter = track->next_adapter;

	if (server == NULL)
		return;
	if (track->load) {
		track->ready_model = track->model;
		track->ready_adapter = track->adapter;
		track->adapter_ready_us = at_clock_now_us() + ADAPTER_READY_US;
		if (ev_is_active(&orders->adapter_timer))
			return;
		ev_timer_init(&orders->adapter_timer, on_adapter_timer,
		    ADAPTER_READY_US / 1e6, 0.);
		orders->adapter_timer.data = orders;
		ev_timer_start(orders->entry->loop, &orders->adapter_timer);
		return;
	}
	at_server_note_adapter(server, &track->model, &track->adapter, 0);
	orders_tell(orders, track->server, &track->model, &track->adapter, 0);
	track->next_adapter.text[0] = '\0';
	track->next_model.text[0] = '\0';
	if (adapter.text[0] != '\0')
		track_send(track, 1, &model, &adapter);
}
