#include "entry/servers/server_notices.h"

#include <inttypes.h>
#include <stdlib.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/peers/gossip.h"
#include "io/clock.h"

#define US_PER_MS 1000u
#define LEAVING_MAX 64u /* servers that leave, in one report */
/* Least time between two reports of rejections, and more for each instance. */
#define UPDATE_GAP_US 200000u
#define UPDATE_GAP_EACH_US 3000u
/* Without a change, what is known is reported again after this time. */
#define REPEAT_US 1000000u
/* A limit that changes by a smaller part is reported with the next round. */
#define URGENT_CHANGE_PERCENT 25u

struct at_server_notices {
	at_server_notices_deps_t deps;
	uint64_t brittle_notified_us; /* last report of brittle servers */
	int brittle_has_update;       /* to be reported at once */
};

at_server_notices_t *
at_server_notices_new(const at_server_notices_deps_t *deps)
{
	at_server_notices_t *notices = calloc(1, sizeof(*notices));

	if (notices != NULL)
		notices->deps = *deps;
	return notices;
}

void
at_server_notices_delete(at_server_notices_t *notices)
{
	free(notices);
}

static void
set_share(
    const at_server_notices_t *notices, at_server_t *server, uint64_t now_us)
{
	at_server_set_limit_share(server,
	    at_roster_rank(
		notices->deps.roster, at_server_entry(server)->tag, now_us),
	    at_roster_reporting_count(notices->deps.roster, now_us), now_us);
}

static void
log_limit(const at_server_t *server, uint32_t before, uint32_t limit_milli,
    const char *source)
{
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "limit of a server server=%s requests_per_s=%u.%03u "
	    "before=%u.%03u source=%s",
	    at_server_entry(server)->id.text, limit_milli / 1000u,
	    limit_milli % 1000u, before / 1000u, before % 1000u, source);
}

static int
is_urgent(uint32_t before, uint32_t after)
{
	uint32_t difference = before > after ? before - after : after - before;

	return (uint64_t)difference * 100u >
	       (uint64_t)before * URGENT_CHANGE_PERCENT;
}

void
at_server_notices_limit(at_server_notices_t *notices, at_server_t *server,
    uint32_t limit_milli, uint64_t sent_us)
{
	uint64_t now_us = at_clock_now_us();
	uint32_t before = at_server_limit_milli(server);

	if (!at_server_note_limit(
		server, limit_milli, limit_milli == 0 ? sent_us : now_us))
		return;
	set_share(notices, server, now_us);
	if (!is_urgent(before, limit_milli))
		return;
	log_limit(server, before, limit_milli, "answer");
	at_gossip_send_soon(notices->deps.gossip);
}

static void
log_leaving(const at_server_t *server, const char *source)
{
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "server states that it leaves server=%s source=%s",
	    at_server_entry(server)->id.text, source);
}

void
at_server_notices_leaving(at_server_notices_t *notices, at_server_t *server)
{
	if (!at_server_note_leaving(server))
		return;
	log_leaving(server, "answer");
	at_gossip_send_soon(notices->deps.gossip);
}

/* Logs a change of what is assumed of a server, whatever it came from. */
static void
follow_cold(at_server_notices_t *notices, at_server_t *server, uint64_t now_us)
{
	int is_cold = at_server_is_cold(server, now_us);
	int was_cold = at_server_mark_cold(server, is_cold);

	if (is_cold)
		at_server_share_cold(server, notices->deps.roster,
		    notices->deps.identity->data_centre,
		    notices->deps.is_sending(notices->deps.ctx), now_us);
	if (is_cold == was_cold)
		return;
	at_counters_add(
	    notices->deps.counters, "cold_changes_total", NULL, NULL, 1);
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "engine cold=%d server=%s source=%s remaining_ms=%u "
	    "own_requests_per_s=%u.%03u",
	    is_cold, at_server_entry(server)->id.text,
	    at_cold_source_names[at_server_cold_source(server)],
	    at_server_cold_ms(server, now_us),
	    at_server_cold_share_milli(server) / 1000u,
	    at_server_cold_share_milli(server) % 1000u);
}

void
at_server_notices_cold(at_server_notices_t *notices, at_server_t *server,
    uint32_t cold_ms, uint64_t sent_us)
{
	uint64_t now_us = at_clock_now_us();

	if (!at_server_note_cold(
		server, cold_ms, cold_ms == 0 ? sent_us : now_us, now_us))
		return;
	follow_cold(notices, server, now_us);
	if (at_server_is_cold(server, now_us))
		at_gossip_send_soon(notices->deps.gossip);
}

static void
share_room(const at_server_notices_t *notices, at_tag_t service)
{
	at_fleet_share_room(notices->deps.fleet, service,
	    at_roster_present_rank(notices->deps.roster, service),
	    at_roster_present_count(notices->deps.roster), at_clock_now_us());
}

static void
note_brittle(const at_server_notices_t *notices, at_tag_t service,
    int is_brittle, uint64_t received_us, const char *source)
{
	if (!at_fleet_note_brittle(
		notices->deps.fleet, service, is_brittle, received_us))
		return;
	share_room(notices, service);
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "servers of a service state that they are brittle "
	    "service=%016" PRIx64 " brittle=%d instances=%u source=%s",
	    service, is_brittle, at_roster_present_count(notices->deps.roster),
	    source);
}

void
at_server_notices_brittle(at_server_notices_t *notices, at_server_t *server,
    int is_brittle, int is_rejected, uint64_t sent_us)
{
	at_tag_t service = at_server_entry(server)->service;
	int was_brittle = at_fleet_is_brittle(notices->deps.fleet, service);
	uint64_t now_us = at_clock_now_us();
	uint64_t gap_us;

	if (!is_brittle && !was_brittle)
		return;
	note_brittle(notices, service, is_brittle,
	    is_brittle ? now_us : sent_us, "answer");
	if (is_brittle && is_rejected) {
		at_server_note_rejected(server, 1, now_us);
		at_counters_add(notices->deps.counters,
		    "brittle_rejections_total", NULL, NULL, 1);
	}
	gap_us = UPDATE_GAP_US + UPDATE_GAP_EACH_US * at_roster_present_count(
							  notices->deps.roster);
	if ((is_rejected && now_us >= notices->brittle_notified_us + gap_us) ||
	    was_brittle != at_fleet_is_brittle(notices->deps.fleet, service)) {
		notices->brittle_has_update = 1;
		at_gossip_send_soon(notices->deps.gossip);
	}
}

typedef struct round_context {
	at_server_notices_t *notices;
	uint64_t now_us;
} round_context_t;

static void
update_share(void *ctx, at_server_t *server)
{
	const round_context_t *round = ctx;

	if (at_server_limit_milli(server) != 0)
		set_share(round->notices, server, round->now_us);
	follow_cold(round->notices, server, round->now_us);
}

/* Follows changes of the instances. */
static void
end_round(void *ctx, uint64_t now_us, int is_direct_due)
{
	at_server_notices_t *notices = ctx;
	const at_site_t *site = *notices->deps.site;
	round_context_t round = {notices, now_us};
	size_t i;

	(void)is_direct_due;
	at_roster_settle(notices->deps.roster, now_us);
	at_fleet_each(notices->deps.fleet, update_share, &round);
	at_fleet_expire_brittle(notices->deps.fleet, now_us);
	for (i = 0; site != NULL && i < site->service_count; i++) {
		if (at_fleet_is_brittle(
			notices->deps.fleet, site->services[i]->tag))
			share_room(notices, site->services[i]->tag);
	}
}

static void
fill_leaving(const at_server_notices_t *notices, Report *report)
{
	static ReportLeaving messages[LEAVING_MAX];
	static ReportLeaving *list[LEAVING_MAX];
	at_leaving_report_t entries[LEAVING_MAX];
	size_t count =
	    at_fleet_fill_leaving(notices->deps.fleet, entries, LEAVING_MAX);
	size_t i;

	for (i = 0; i < count; i++) {
		report_leaving__init(&messages[i]);
		messages[i].server = entries[i].server;
		messages[i].started_ms = entries[i].started_ms;
		list[i] = &messages[i];
	}
	report->n_leaving_servers = count;
	report->leaving_servers = list;
}

static void
fill_limits(const at_server_notices_t *notices, Report *report)
{
	static ReportLimit limits[AT_LIMIT_REPORTS_MAX];
	static ReportLimit *list[AT_LIMIT_REPORTS_MAX];
	static at_limit_report_t entries[AT_LIMIT_REPORTS_MAX];
	uint64_t now_us = at_clock_now_us();
	size_t count = at_fleet_fill_limits(
	    notices->deps.fleet, entries, AT_LIMIT_REPORTS_MAX, now_us);
	size_t i;

	for (i = 0; i < count; i++) {
		report_limit__init(&limits[i]);
		limits[i].server = entries[i].server;
		limits[i].rate_milli = entries[i].rate_milli;
		limits[i].age_ms =
		    (uint32_t)((now_us - entries[i].received_us) / US_PER_MS);
		list[i] = &limits[i];
	}
	report->n_limits = count;
	report->limits = list;
}

static void
fill_cold(const at_server_notices_t *notices, Report *report)
{
	static ReportCold messages[AT_COLD_REPORTS_MAX];
	static ReportCold *list[AT_COLD_REPORTS_MAX];
	static at_cold_report_t entries[AT_COLD_REPORTS_MAX];
	uint64_t now_us = at_clock_now_us();
	size_t count = at_fleet_fill_cold(
	    notices->deps.fleet, entries, AT_COLD_REPORTS_MAX, now_us);
	size_t i;

	for (i = 0; i < count; i++) {
		report_cold__init(&messages[i]);
		messages[i].server = entries[i].server;
		messages[i].started_ms = entries[i].started_ms;
		messages[i].remaining_ms = entries[i].remaining_ms;
		messages[i].age_ms =
		    (uint32_t)((now_us - entries[i].stated_us) / US_PER_MS);
		list[i] = &messages[i];
	}
	report->n_cold_servers = count;
	report->cold_servers = list;
}

/* Brittle servers are reported once a second and after a change. */
static void
fill_brittle(at_server_notices_t *notices, Report *report)
{
	static at_brittle_report_t entries[AT_BRITTLE_SERVICES_MAX];
	static ReportBrittle messages[AT_BRITTLE_SERVICES_MAX];
	static ReportBrittle *list[AT_BRITTLE_SERVICES_MAX];
	uint64_t now_us = at_clock_now_us();
	size_t count;
	size_t i;

	if (!notices->brittle_has_update &&
	    now_us < notices->brittle_notified_us + REPEAT_US)
		return;
	notices->brittle_has_update = 0;
	notices->brittle_notified_us = now_us;
	count = at_fleet_fill_brittle(notices->deps.fleet, entries, now_us);
	for (i = 0; i < count; i++) {
		report_brittle__init(&messages[i]);
		messages[i].service = entries[i].service;
		messages[i].brittle = entries[i].is_brittle;
		messages[i].age_ms =
		    (uint32_t)((now_us - entries[i].received_us) / US_PER_MS);
		messages[i].n_rejected = entries[i].rejected_count;
		messages[i].rejected = entries[i].rejected;
		list[i] = &messages[i];
	}
	report->n_brittle = count;
	report->brittle = list;
}

static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	at_server_notices_t *notices = ctx;

	if (!at_report_is_regular(kind))
		return;
	fill_leaving(notices, report);
	fill_limits(notices, report);
	fill_cold(notices, report);
	if (kind == AT_REPORT_HEADER || (kind == AT_REPORT_COMMON && is_to_all))
		fill_brittle(notices, report);
}

static void
apply_leaving(at_server_notices_t *notices, const ReportLeaving *message)
{
	const at_leaving_report_t report = {
	    message->server, message->started_ms};

	if (at_fleet_apply_leaving(notices->deps.fleet, &report))
		log_leaving(at_fleet_find(notices->deps.fleet, message->server),
		    "report");
}

static void
apply_limits(at_server_notices_t *notices, const Report *report)
{
	uint64_t now_us = at_clock_now_us();
	size_t i;

	for (i = 0; i < report->n_limits; i++) {
		const ReportLimit *limit = report->limits[i];
		uint64_t age_us = (uint64_t)limit->age_ms * US_PER_MS;
		at_server_t *server =
		    at_fleet_find(notices->deps.fleet, limit->server);
		uint32_t before;

		if (server == NULL || age_us >= now_us)
			continue;
		before = at_server_limit_milli(server);
		if (!at_server_note_limit(
			server, limit->rate_milli, now_us - age_us))
			continue;
		set_share(notices, server, now_us);
		if (is_urgent(before, limit->rate_milli))
			log_limit(server, before, limit->rate_milli, "report");
	}
}

static void
apply_cold(at_server_notices_t *notices, const Report *report)
{
	uint64_t now_us = at_clock_now_us();
	size_t i;

	for (i = 0; i < report->n_cold_servers; i++) {
		const ReportCold *message = report->cold_servers[i];
		uint64_t age_us = (uint64_t)message->age_ms * US_PER_MS;
		const at_cold_report_t entry = {message->server,
		    message->started_ms, message->remaining_ms,
		    age_us < now_us ? now_us - age_us : 0};

		if (at_fleet_apply_cold(notices->deps.fleet, &entry, now_us))
			follow_cold(notices,
			    at_fleet_find(notices->deps.fleet, message->server),
			    now_us);
	}
}

static void
apply_brittle(at_server_notices_t *notices, const ReportBrittle *message)
{
	uint64_t now_us = at_clock_now_us();
	uint64_t age_us = (uint64_t)message->age_ms * US_PER_MS;
	size_t i;

	if (age_us >= now_us)
		return;
	note_brittle(notices, message->service, message->brittle,
	    now_us - age_us, "report");
	for (i = 0; i < message->n_rejected; i++) {
		at_server_t *server =
		    at_fleet_find(notices->deps.fleet, message->rejected[i]);

		if (server != NULL)
			at_server_note_rejected(server, 0, now_us);
	}
}

static void
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	at_server_notices_t *notices = ctx;
	size_t i;

	(void)member;
	for (i = 0; i < report->n_brittle; i++)
		apply_brittle(notices, report->brittle[i]);
	for (i = 0; i < report->n_leaving_servers; i++)
		apply_leaving(notices, report->leaving_servers[i]);
	apply_limits(notices, report);
	apply_cold(notices, report);
}

at_report_section_t
at_server_notices_section(at_server_notices_t *notices)
{
	return (at_report_section_t){.fill = fill,
	    .apply = apply,
	    .end_round = end_round,
	    .ctx = notices};
}

static void
notify(void *ctx, const at_attempt_event_t *event)
{
	at_server_notices_t *notices = ctx;
	const at_server_response_t *response = event->response;

	if (event->kind == AT_ATTEMPT_EVENT_SENT &&
	    at_server_is_cold(event->server, event->sent_us))
		at_counters_add(notices->deps.counters, "cold_requests_total",
		    NULL, NULL, 1);
	if (event->kind != AT_ATTEMPT_EVENT_STATED)
		return;
	at_server_notices_limit(
	    notices, event->server, response->limit_milli, event->sent_us);
	at_server_notices_brittle(notices, event->server, response->is_brittle,
	    response->is_rejected, event->sent_us);
	if (response->has_cold)
		at_server_notices_cold(
		    notices, event->server, response->cold_ms, event->sent_us);
	if (response->is_leaving)
		at_server_notices_leaving(notices, event->server);
}

at_attempt_observer_t
at_server_notices_observer(at_server_notices_t *notices)
{
	return (at_attempt_observer_t){notify, notices};
}
