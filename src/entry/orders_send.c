/*
 * orders_send.c - one order at one engine, from its sending to its end.
 *
 * Each order names the count of orders that its decision was made on. An
 * order that is carried out late therefore fails once another was accepted,
 * and two for the same count cannot both be carried out.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/gossip.h"
#include "entry/orders_impl.h"
#include "io/clock.h"

#define LOOK_AGAIN_US 150000u  /* between two looks at an order's end */
#define LOOK_EARLY_US 40000u   /* of the time that a load should take */
#define UNSURE_LOOK_US 250000u /* after an order without an answer */
#define GIVE_UP_US 15000000u   /* an order that has not ended by then */

static track_t *
track_add(at_orders_io_t *orders, const at_server_entry_t *entry)
{
	track_t *track = calloc(1, sizeof(*track));

	if (track == NULL)
		return NULL;
	track->orders = orders;
	track->server = entry->tag;
	HASH_ADD(hh, orders->tracks, server, sizeof(track->server), track);
	return track;
}

track_t *
track_of(at_orders_io_t *orders, const at_server_entry_t *entry)
{
	track_t *track;

	HASH_FIND(hh, orders->tracks, &entry->tag, sizeof(entry->tag), track);
	if (track == NULL)
		track = track_add(orders, entry);
	if (track == NULL)
		return NULL;
	/* A new life counts its orders anew. */
	if (track->born_ms != entry->started_ms) {
		track->born_ms = entry->started_ms;
		track->knows_accepted = 0;
		track->room_for = 0;
	}
	if (track->state == TRACK_IDLE && !track->knows_accepted) {
		track->state = TRACK_UNSURE;
		track->model.text[0] = '\0';
		track->begun_us = at_clock_now_us();
		track->look_us = track->begun_us;
	}
	return track;
}

/* How long a model's load should take at an engine. */
static uint64_t
load_us(const at_orders_io_t *orders, const at_server_entry_t *entry,
    const char *name)
{
	const at_site_service_t *service =
	    at_site_find_service(orders->entry->site, entry->service);
	const at_site_model_t *model =
	    service == NULL
		? NULL
		: at_site_find_model(service, at_tag_from_text(name));
	size_t i;

	if (model == NULL)
		return LOOK_AGAIN_US;
	for (i = 0; i < entry->in_memory_count; i++) {
		if (entry->in_memory[i] == model->tag)
			return model->memory_load_ms * 1000u;
	}
	for (i = 0; i < entry->on_disk_count; i++) {
		if (entry->on_disk[i] == model->tag)
			return model->disk_load_ms * 1000u;
	}
	return model->store_load_ms * 1000u;
}

static void
carried(track_t *track, const at_server_entry_t *entry)
{
	uint64_t now_us = at_clock_now_us();

	track->state = TRACK_CARRIED;
	track->look_us = now_us + LOOK_AGAIN_US;
	if (track->load)
		track->look_us =
		    now_us + load_us(track->orders, entry, track->model.text) +
		    LOOK_EARLY_US;
}

/* A model on its way out keeps its place until a report shows the end. */
static void
note_accepted(track_t *track, int is_adapter)
{
	if (is_adapter)
		at_resident_set_update_adapter(
		    &track->held, &track->model, &track->adapter, track->load);
	else if (track->load)
		at_resident_set_update_model(&track->held, &track->model, 1);
}

static void
on_answer(void *ctx, at_order_response_t answer)
{
	track_t *track = ctx;
	at_orders_io_t *orders = track->orders;
	at_server_t *server =
	    at_fleet_find(orders->entry->fleet, track->server);
	int is_adapter = track->adapter.text[0] != '\0';

	at_log(AT_LOG_INFO, "orders", NULL,
	    "answer=%s server=%s %s model=%s adapter=%s accepted=%" PRIu64,
	    at_order_response_names[answer],
	    server == NULL ? "gone" : at_server_entry(server)->id.text,
	    track->load ? "load" : "unload", track->model.text,
	    track->adapter.text, track->accepted);
	at_counters_add(orders->entry->counters, "orders_total", "answer",
	    at_order_response_names[answer], 1);
	track->state = TRACK_IDLE;
	if (server == NULL)
		return;
	switch (answer) {
	case AT_ORDER_ACCEPTED:
	case AT_ORDER_ALREADY_DONE:
		track->accepted++;
		note_accepted(track, is_adapter);
		if (is_adapter)
			adapters_accepted(track);
		else
			carried(track, at_server_entry(server));
		break;
	case AT_ORDER_FENCE_TOO_LOW:
		orders_outranked(orders);
		break;
	default:
		track->knows_accepted = 0;
		track->state = TRACK_UNSURE;
		track->look_us = at_clock_now_us() + UNSURE_LOOK_US;
		break;
	}
}

void
track_send(
    track_t *track, int load, const at_name_t *model, const at_name_t *adapter)
{
	at_orders_io_t *orders = track->orders;
	at_entry_t *entry = orders->entry;
	at_server_t *server = at_fleet_find(entry->fleet, track->server);
	at_engine_order_t order = {.is_load = load,
	    .model = model->text,
	    .adapter = adapter == NULL ? NULL : adapter->text,
	    .holder = entry->settings.name,
	    .fence = at_lease_fencing_token(orders->lease)};

	at_name_t none = {.text = ""};

	track->state = TRACK_IDLE;
	if (server == NULL || !orders_may_send(orders))
		return;
	track->load = load;
	track->model = *model;
	track->adapter = adapter == NULL ? none : *adapter;
	order.expect_sequence = track->accepted;
	track->begun_us = at_clock_now_us();
	if (at_engine_order_send(entry->httpc, at_server_entry(server), &order,
		on_answer, track) == 0)
		track->state = TRACK_SENT;
}

/* The order has ended: what the engine holds is told. */
static void
ended(track_t *track, at_server_t *server, const at_engine_report_t *report)
{
	at_orders_io_t *orders = track->orders;
	int had_order = track->model.text[0] != '\0';
	int held;

	at_server_apply_residents(server, &report->residents);
	track->accepted = report->sequence;
	track->held = report->residents.residents;
	track->knows_accepted = 1;
	track->state = TRACK_IDLE;
	held = at_resident_set_has(
	    &track->held, at_tag_from_text(track->model.text), 0);
	/* The list may be older than this for some seconds. */
	if (had_order)
		at_server_note_model(
		    server, &track->model, held, at_clock_now_us());
	at_log(AT_LOG_INFO, "orders", NULL,
	    "ended server=%s %s model=%s held=%d accepted=%" PRIu64
	    " took_ms=%" PRIu64,
	    at_server_entry(server)->id.text, track->load ? "load" : "unload",
	    track->model.text, held, report->sequence,
	    (at_clock_now_us() - track->begun_us) / 1000u);
	track->adapter.text[0] = '\0';
	if (had_order)
		orders_tell(orders, track->server, &track->model,
		    &track->adapter, held);
	at_gossip_soon(orders->entry->gossip);
	at_entry_place_waiting(orders->entry);
}

static int
shows_end(const track_t *track, const at_engine_report_t *report)
{
	/* What is on its way counts already, and is not told as held. */
	if (report == NULL || report->is_busy || report->pending_adapters > 0)
		return 0;
	return track->state == TRACK_UNSURE ||
	       report->sequence >= track->accepted;
}

static void
on_report(void *ctx, const at_engine_report_t *report)
{
	track_t *track = ctx;
	at_server_t *server =
	    at_fleet_find(track->orders->entry->fleet, track->server);
	uint64_t now_us = at_clock_now_us();

	track->looking = 0;
	if (server == NULL || track->state == TRACK_IDLE)
		return;
	track->look_us = now_us + LOOK_AGAIN_US;
	if (shows_end(track, report)) {
		ended(track, server, report);
	} else if (now_us - track->begun_us > GIVE_UP_US) {
		at_log(AT_LOG_ERROR, "orders", NULL,
		    "no end server=%s model=%s reported=%d",
		    at_server_entry(server)->id.text, track->model.text,
		    report != NULL);
		track->state = TRACK_IDLE;
		track->knows_accepted = 0;
	}
}

void
track_look(track_t *track)
{
	at_entry_t *entry = track->orders->entry;
	at_server_t *server = at_fleet_find(entry->fleet, track->server);

	if (server == NULL)
		return;
	if (at_engine_report_fetch(
		entry->httpc, at_server_entry(server), on_report, track) == 0)
		track->looking = 1;
}
