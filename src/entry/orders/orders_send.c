/*
 * orders_send.c - one order at one engine, from its sending to its end.
 *
 * Each order states the number of orders that the engine had accepted when it
 * was decided. An order that arrives late therefore fails once another one was
 * accepted, and of two orders that state the same number only one is carried
 * out.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/orders/orders_impl.h"
#include "io/clock.h"

#define REPORT_INTERVAL_US 150000u /* between two fetches of a report */
/* Delay from the expected end of a load to the first fetch of a report. */
#define LOAD_REPORT_DELAY_US 40000u
/* Delay from an order without a response to the first fetch of a report. */
#define UNKNOWN_REPORT_DELAY_US 250000u
/*
 * An order that has not ended after this time is given up, and the state of the
 * engine is requested again.
 */
#define ORDER_TIMEOUT_US 15000000u

static engine_t *
engine_add(at_orders_io_t *orders, const at_server_entry_t *entry)
{
	engine_t *engine = calloc(1, sizeof(*engine));

	if (engine == NULL)
		return NULL;
	engine->orders = orders;
	engine->server = entry->tag;
	HASH_ADD(hh, orders->engines, server, sizeof(engine->server), engine);
	return engine;
}

engine_t *
engine_find_or_add(at_orders_io_t *orders, const at_server_entry_t *entry)
{
	engine_t *engine;

	HASH_FIND(hh, orders->engines, &entry->tag, sizeof(entry->tag), engine);
	if (engine == NULL)
		engine = engine_add(orders, entry);
	if (engine == NULL)
		return NULL;
	/* A new incarnation counts its orders from zero. */
	if (engine->started_ms != entry->started_ms) {
		engine->started_ms = entry->started_ms;
		engine->is_count_known = 0;
		engine->replacement = 0;
	}
	if (engine->state == ENGINE_IDLE && !engine->is_count_known) {
		engine->state = ENGINE_UNKNOWN;
		engine->model.text[0] = '\0';
		engine->order_started_us = at_clock_now_us();
		engine->report_due_us = engine->order_started_us;
	}
	return engine;
}

/* Returns how long a load of the model is expected to take at the engine. */
static uint64_t
expected_load_us(const at_orders_io_t *orders, const at_server_entry_t *entry,
    const char *name)
{
	const at_site_service_t *service =
	    at_site_find_service(*orders->deps.site, entry->service);
	const at_site_model_t *model =
	    service == NULL
		? NULL
		: at_site_find_model(service, at_tag_from_text(name));
	size_t i;

	if (model == NULL)
		return REPORT_INTERVAL_US;
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
note_order_accepted(engine_t *engine, const at_server_entry_t *entry)
{
	uint64_t now_us = at_clock_now_us();

	engine->state = ENGINE_ORDER_ACCEPTED;
	engine->report_due_us = now_us + REPORT_INTERVAL_US;
	if (engine->is_load)
		engine->report_due_us = now_us +
					expected_load_us(engine->orders, entry,
					    engine->model.text) +
					LOAD_REPORT_DELAY_US;
}

/*
 * A model that is being unloaded uses its memory until a report shows the end.
 */
static void
update_residents(engine_t *engine, int is_adapter)
{
	if (is_adapter)
		at_resident_set_update_adapter(&engine->residents,
		    &engine->model, &engine->adapter, engine->is_load);
	else if (engine->is_load)
		at_resident_set_update_model(
		    &engine->residents, &engine->model, 1);
}

static void
on_order_response(void *ctx, at_order_response_t response)
{
	engine_t *engine = ctx;
	at_orders_io_t *orders = engine->orders;
	at_server_t *server = at_fleet_find(orders->deps.fleet, engine->server);
	int is_adapter = engine->adapter.text[0] != '\0';

	at_log(AT_LOG_INFO, "orders", NULL,
	    "engine responded response=%s server=%s order=%s model=%s "
	    "adapter=%s "
	    "accepted=%" PRIu64,
	    at_order_response_names[response],
	    server == NULL ? "gone" : at_server_entry(server)->id.text,
	    engine->is_load ? "load" : "unload", engine->model.text,
	    engine->adapter.text, engine->accepted_count);
	at_counters_add(orders->deps.counters, "orders_total", "answer",
	    at_order_response_names[response], 1);
	engine->state = ENGINE_IDLE;
	if (server == NULL)
		return;
	switch (response) {
	case AT_ORDER_ACCEPTED:
	case AT_ORDER_ALREADY_DONE:
		engine->accepted_count++;
		update_residents(engine, is_adapter);
		if (is_adapter)
			adapters_note_accepted(engine);
		else
			note_order_accepted(engine, at_server_entry(server));
		break;
	case AT_ORDER_FENCE_TOO_LOW:
		orders_note_higher_fence(orders);
		break;
	default:
		engine->is_count_known = 0;
		engine->state = ENGINE_UNKNOWN;
		engine->report_due_us =
		    at_clock_now_us() + UNKNOWN_REPORT_DELAY_US;
		break;
	}
}

void
engine_send_order(engine_t *engine, int is_load, const at_name_t *model,
    const at_name_t *adapter)
{
	at_orders_io_t *orders = engine->orders;
	const at_orders_io_deps_t *deps = &orders->deps;
	at_server_t *server = at_fleet_find(deps->fleet, engine->server);
	at_engine_order_t order = {.is_load = is_load,
	    .model = model->text,
	    .adapter = adapter == NULL ? NULL : adapter->text,
	    .holder = deps->settings->name,
	    .fence = at_lease_fencing_token(orders->lease)};

	at_name_t none = {.text = ""};

	engine->state = ENGINE_IDLE;
	if (server == NULL || !orders_may_send(orders) ||
	    at_server_is_evacuated(server))
		return;
	engine->is_load = is_load;
	engine->model = *model;
	engine->adapter = adapter == NULL ? none : *adapter;
	order.expect_sequence = engine->accepted_count;
	engine->order_started_us = at_clock_now_us();
	if (at_engine_order_send(deps->httpc, at_server_entry(server), &order,
		on_order_response, engine) == 0)
		engine->state = ENGINE_ORDER_SENT;
}

/* Applies the report that shows the end of an order or the engine's state. */
static void
finish_order(
    engine_t *engine, at_server_t *server, const at_engine_report_t *report)
{
	at_orders_io_t *orders = engine->orders;
	int had_order = engine->model.text[0] != '\0';
	int is_resident;

	at_server_apply_residents(server, &report->residents);
	engine->accepted_count = report->sequence;
	engine->residents = report->residents.residents;
	engine->is_count_known = 1;
	engine->state = ENGINE_IDLE;
	is_resident = at_resident_set_has(
	    &engine->residents, at_tag_from_text(engine->model.text), 0);
	/* The platform's list may be some seconds older than this report. */
	if (had_order)
		at_server_note_model(
		    server, &engine->model, is_resident, at_clock_now_us());
	at_log(AT_LOG_INFO, "orders", NULL,
	    "engine state confirmed server=%s order=%s model=%s "
	    "resident=%d "
	    "accepted=%" PRIu64 " took_ms=%" PRIu64,
	    at_server_entry(server)->id.text,
	    engine->is_load ? "load" : "unload", engine->model.text,
	    is_resident, report->sequence,
	    (at_clock_now_us() - engine->order_started_us) / 1000u);
	engine->adapter.text[0] = '\0';
	if (had_order)
		orders_add_change(orders, engine->server, &engine->model,
		    &engine->adapter, is_resident);
	at_gossip_send_soon(orders->deps.gossip);
	orders->deps.on_residents_changed(orders->deps.ctx);
}

static int
is_order_ended(const engine_t *engine, const at_engine_report_t *report)
{
	/*
	 * Models and adapters being loaded are counted in the sequence but not
	 * yet listed.
	 */
	if (report == NULL || report->is_busy || report->pending_adapters > 0)
		return 0;
	return engine->state == ENGINE_UNKNOWN ||
	       report->sequence >= engine->accepted_count;
}

static void
on_engine_report(void *ctx, const at_engine_report_t *report)
{
	engine_t *engine = ctx;
	at_server_t *server =
	    at_fleet_find(engine->orders->deps.fleet, engine->server);
	uint64_t now_us = at_clock_now_us();

	engine->report_pending = 0;
	if (server == NULL)
		return;
	if (report != NULL && report->has_cold)
		at_server_notices_cold(engine->orders->deps.notices, server,
		    report->cold_ms, engine->report_sent_us);
	if (report != NULL && report->is_leaving)
		at_server_notices_leaving(engine->orders->deps.notices, server);
	if (engine->state == ENGINE_IDLE)
		return;
	engine->report_due_us = now_us + REPORT_INTERVAL_US;
	if (is_order_ended(engine, report)) {
		finish_order(engine, server, report);
	} else if (now_us - engine->order_started_us > ORDER_TIMEOUT_US) {
		at_log(AT_LOG_ERROR, "orders", NULL,
		    "engine state not confirmed in time; requested again "
		    "server=%s model=%s reported=%d",
		    at_server_entry(server)->id.text, engine->model.text,
		    report != NULL);
		engine->state = ENGINE_IDLE;
		engine->is_count_known = 0;
	}
}

void
engine_fetch_report(engine_t *engine)
{
	const at_orders_io_deps_t *deps = &engine->orders->deps;
	at_server_t *server = at_fleet_find(deps->fleet, engine->server);

	/* Until its data centre is in use again, its state is not needed. */
	if (server == NULL || at_server_is_evacuated(server))
		return;
	if (at_engine_report_fetch(deps->httpc, at_server_entry(server),
		on_engine_report, engine) == 0)
		engine->report_pending = 1;
	engine->report_sent_us = at_clock_now_us();
}
