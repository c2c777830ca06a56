#include "entry/store/evacuation_sync.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "platform/names.h"

/* Between two checks of which call is due; a response is followed at once. */
#define CHECK_S 0.05
/*
 * In ms. An instance that has started hears of the others within 0.8 s
 * (at_gossip_is_listening()), then one of them reads the store.
 */
#define SETTLE_MAX_MS 1000u
/* Between two checks for entries that can be dropped, in rounds of reports. */
#define EXPIRE_ROUNDS 100u

struct at_evacuation_sync {
	at_evacuation_sync_deps_t deps;
	at_evacuations_t evacuations;
	at_evacuation_reader_t reader;
	at_objects_call_t *call; /* open call, or NULL */
	uint64_t started_ms;     /* 0: not started, or without the setting */
	uint64_t rounds;
	const char *source; /* of the change that is applied */
	int has_change;     /* since this was cleared */
	ev_timer timer;
};

static void process(at_evacuation_sync_t *sync);

static void
on_change(void *ctx, const at_evacuation_t *evacuation)
{
	at_evacuation_sync_t *sync = ctx;
	const char *name = evacuation->data_centre.text;
	int is_known =
	    at_fleet_set_evacuated(sync->deps.fleet, at_tag_from_text(name),
		evacuation->is_evacuated) == 0;

	sync->has_change = 1;
	/* Its servers may have restarted meanwhile; the list is older. */
	if (!evacuation->is_evacuated)
		at_fleet_note_maybe_cold(sync->deps.fleet,
		    at_tag_from_text(name), at_clock_now_us());
	at_log(is_known ? AT_LOG_WARN : AT_LOG_ERROR, "fleet", NULL,
	    "%s data_centre=%s evacuated=%d version=%" PRIu64
	    " source=%s evacuated_data_centres=%zu",
	    is_known ? "evacuation of a data centre"
		     : "evacuation ignored: too many data centres",
	    name, evacuation->is_evacuated, evacuation->version, sync->source,
	    at_evacuations_count(&sync->evacuations));
	at_counters_add(sync->deps.counters, "evacuation_changes_total",
	    "source", sync->source, 1);
}

/* Passes a change on; the reader tells all instances at once. */
static void
finish_changes(at_evacuation_sync_t *sync, int is_from_store)
{
	if (!sync->has_change)
		return;
	sync->has_change = 0;
	if (is_from_store)
		at_gossip_send_soon(sync->deps.gossip);
	sync->deps.on_changed(sync->deps.ctx);
}

static void
on_page(void *ctx, const at_objects_page_t *page)
{
	at_evacuation_sync_t *sync = ctx;
	uint64_t since = sync->evacuations.since;

	sync->call = NULL;
	if (page->code != AT_OBJECTS_OK)
		at_log(AT_LOG_INFO, "platform", NULL,
		    "evacuations not read result=%s since=%" PRIu64
		    " failures=%u",
		    at_objects_code_names[page->code], since,
		    sync->reader.failures);
	sync->source = "store";
	at_evacuation_reader_handle_response(
	    &sync->reader, at_clock_now_ms(), page);
	/* Instances that have started wait for the first version. */
	if (since == 0 && sync->evacuations.since != 0)
		at_gossip_send_soon(sync->deps.gossip);
	finish_changes(sync, 1);
	process(sync);
}

static void
cancel_call(at_evacuation_sync_t *sync)
{
	const at_objects_t *objects = &sync->deps.objects;

	if (sync->call != NULL)
		objects->cancel(objects->impl, sync->call);
	sync->call = NULL;
}

static void
process(at_evacuation_sync_t *sync)
{
	const at_objects_t *objects = &sync->deps.objects;
	const at_objects_page_t failed = {.code = AT_OBJECTS_NO_RESPONSE};
	at_evacuation_action_t action;

	at_evacuation_reader_process(&sync->reader, at_clock_now_ms(), &action);
	if (action.step == AT_EVACUATION_CANCEL) {
		at_log(AT_LOG_INFO, "platform", NULL,
		    "evacuations not read result=late since=%" PRIu64
		    " failures=%u allowance_ms=%u",
		    sync->evacuations.since, sync->reader.failures,
		    sync->reader.allowance_ms);
		cancel_call(sync);
		at_evacuation_reader_process(
		    &sync->reader, at_clock_now_ms(), &action);
	}
	if (action.step == AT_EVACUATION_LIST)
		sync->call = objects->list(objects->impl, WIRE_KIND_EVACUATIONS,
		    action.after, on_page, sync);
	else if (action.step == AT_EVACUATION_WATCH)
		sync->call =
		    objects->watch(objects->impl, WIRE_KIND_EVACUATIONS,
			action.since, action.wait_ms, on_page, sync);
	else
		return;
	if (sync->call == NULL)
		at_evacuation_reader_handle_response(
		    &sync->reader, at_clock_now_ms(), &failed);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_evacuation_sync_t *sync = timer->data;
	int is_reader = sync->deps.is_reader(sync->deps.ctx);

	(void)loop;
	(void)events;
	if (!is_reader && sync->reader.is_active)
		cancel_call(sync);
	at_evacuation_reader_set_active(&sync->reader, is_reader);
	process(sync);
}

at_evacuation_sync_t *
at_evacuation_sync_new(const at_evacuation_sync_deps_t *deps)
{
	at_evacuation_sync_t *sync = calloc(1, sizeof(*sync));

	if (sync == NULL)
		return NULL;
	sync->deps = *deps;
	sync->source = "-";
	at_evacuations_init(&sync->evacuations, on_change, sync);
	at_evacuation_reader_init(
	    &sync->reader, &sync->evacuations, deps->settings->evacuate_ms);
	ev_timer_init(&sync->timer, on_timer, CHECK_S, CHECK_S);
	sync->timer.data = sync;
	return sync;
}

void
at_evacuation_sync_start(at_evacuation_sync_t *sync)
{
	if (sync->deps.settings->evacuate_ms == 0)
		return;
	sync->started_ms = at_clock_now_ms();
	ev_timer_start(sync->deps.loop, &sync->timer);
}

void
at_evacuation_sync_delete(at_evacuation_sync_t *sync)
{
	if (sync == NULL)
		return;
	ev_timer_stop(sync->deps.loop, &sync->timer);
	cancel_call(sync);
	free(sync);
}

int
at_evacuation_sync_is_settled(const at_evacuation_sync_t *sync)
{
	return sync->started_ms == 0 || sync->evacuations.since != 0 ||
	       sync->reader.failures > 0 ||
	       at_clock_now_ms() >= sync->started_ms + SETTLE_MAX_MS;
}

size_t
at_evacuation_sync_count(const at_evacuation_sync_t *sync)
{
	return at_evacuations_count(&sync->evacuations);
}

/* Reports */

static void
fill_entries(const at_evacuations_t *evacuations, ReportEvacuations *message)
{
	static ReportEvacuation entries[AT_EVACUATIONS_MAX];
	static ReportEvacuation *list[AT_EVACUATIONS_MAX];
	size_t i;

	for (i = 0; i < evacuations->count; i++) {
		const at_evacuation_t *known = &evacuations->entries[i];

		report_evacuation__init(&entries[i]);
		entries[i].data_centre =
		    (char *)(uintptr_t)known->data_centre.text;
		entries[i].evacuated = known->is_evacuated;
		entries[i].version = known->version;
		list[i] = &entries[i];
	}
	message->n_entries = evacuations->count;
	message->entries = list;
}

/*
 * All instances state what they know of evacuations; while there are none, only
 * the readers state up to which version that is so.
 */
static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	static ReportEvacuations message;
	const at_evacuation_sync_t *sync = ctx;
	const at_evacuations_t *evacuations = &sync->evacuations;
	uint64_t list_age_ms = at_clock_now_ms() - sync->reader.listed_ms;

	(void)is_to_all;
	if (!at_report_is_regular(kind) || sync->started_ms == 0 ||
	    (evacuations->count == 0 && !sync->reader.is_active))
		return;
	report_evacuations__init(&message);
	fill_entries(evacuations, &message);
	if (!evacuations->is_partial)
		message.since = evacuations->since;
	if (sync->reader.listed_ms != 0 &&
	    list_age_ms < sync->deps.settings->evacuate_ms)
		message.list_age_ms = (uint32_t)list_age_ms + 1u;
	report->evacuations = &message;
}

static void
note_list(at_evacuation_sync_t *sync, uint32_t list_age_ms, uint64_t now_ms)
{
	if (list_age_ms != 0 && list_age_ms <= now_ms)
		at_evacuation_reader_note_list(
		    &sync->reader, now_ms - (list_age_ms - 1u));
}

static void
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	at_evacuation_sync_t *sync = ctx;
	const ReportEvacuations *message = report->evacuations;
	at_evacuation_t entries[AT_EVACUATIONS_MAX];
	uint64_t now_ms = at_clock_now_ms();
	size_t count = 0;
	size_t i;

	if (message == NULL || sync->started_ms == 0)
		return;
	for (i = 0; i < message->n_entries && count < AT_EVACUATIONS_MAX; i++) {
		at_evacuation_t *entry = &entries[count];

		memset(entry, 0, sizeof(*entry));
		entry->is_evacuated = message->entries[i]->evacuated;
		entry->version = message->entries[i]->version;
		count += at_name_set(&entry->data_centre,
			     message->entries[i]->data_centre) == 0;
	}
	sync->source = "report";
	at_evacuations_merge(&sync->evacuations, entries, count,
	    count == message->n_entries ? message->since : 0, now_ms);
	if (member->data_centre == sync->deps.identity->data_centre)
		note_list(sync, message->list_age_ms, now_ms);
	finish_changes(sync, 0);
}

static void
begin_round(void *ctx, uint64_t now_us)
{
	at_evacuation_sync_t *sync = ctx;

	(void)now_us;
	if (++sync->rounds % EXPIRE_ROUNDS == 0)
		at_evacuations_expire(&sync->evacuations, at_clock_now_ms());
}

at_report_section_t
at_evacuation_sync_section(at_evacuation_sync_t *sync)
{
	return (at_report_section_t){.fill = fill,
	    .apply = apply,
	    .begin_round = begin_round,
	    .ctx = sync};
}
