/* report_apply.c - applies the reports of the other instances. */
#include <string.h>

#include <sodium.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/server_crashes.h"
#include "entry/server_notices.h"
#include "entry/gossip_impl.h"
#include "entry/orders.h"
#include "entry/reach.h"
#include "entry/sync.h"
#include "io/clock.h"

#define US_PER_MS 1000u

void
report_apply_loads(at_entry_t *entry, at_tag_t from, int is_same_data_centre,
    size_t load_count, ReportLoad *const *loads, uint64_t now_us)
{
	at_load_report_t entries[AT_LOAD_REPORTS_MAX];
	size_t count = 0;

	while (count < load_count && count < AT_LOAD_REPORTS_MAX) {
		const ReportLoad *load = loads[count];

		entries[count].server = load->server;
		entries[count].load.active = load->active;
		entries[count].load.prefill_tokens = load->prefill_tokens;
		entries[count].load.kv_tokens = load->kv_tokens;
		entries[count].load.recent_tokens = load->recent_tokens;
		entries[count].load.unreachable = 0;
		if (load->unreachable && is_same_data_centre)
			at_fleet_apply_unreachable(
			    entry->fleet, load->server, now_us);
		count++;
	}
	at_fleet_apply_report(entry->fleet, from, entries, count, now_us);
}

static void
apply_usage(
    at_entry_t *entry, at_tag_t from, const Report *report, uint64_t now_us)
{
	at_quota_usage_t entries[USAGE_ENTRIES_MAX];
	size_t count = 0;

	while (count < report->n_spending && count < USAGE_ENTRIES_MAX) {
		entries[count].workspace = report->spending[count]->workspace;
		entries[count].units = report->spending[count]->units;
		count++;
	}
	at_quota_apply_report(
	    entry->quota, from, report->incarnation, entries, count, now_us);
}

/* Without the base, the change is asked for when the reports state it. */
static void
apply_config(at_gossip_t *gossip, const ReportServer *object)
{
	const char *taken = object->spec;
	char *text = NULL;

	if (object->base_version != 0) {
		text = at_config_text_apply(gossip->config_text, object);
		taken = text;
	}
	if (taken != NULL)
		at_sync_feed_config(gossip->entry->sync, object->name,
		    object->version, taken, strlen(taken));
	at_counters_add(gossip->entry->counters, "config_reports_total", "form",
	    text != NULL                ? "change"
	    : object->base_version == 0 ? "complete"
					: "other_base",
	    1);
	free(text);
}

static void
apply_servers(at_gossip_t *gossip, const Report *report)
{
	at_entry_t *entry = gossip->entry;
	size_t i;

	for (i = 0; i < report->n_servers; i++) {
		const ReportServer *object = report->servers[i];

		at_sync_feed_server(entry->sync, object->name, object->version,
		    object->deleted ? NULL : object->spec,
		    strlen(object->spec));
	}
	if (report->changes_to != 0)
		at_sync_feed_range(
		    entry->sync, report->changes_from, report->changes_to);
	for (i = 0; i < report->n_configs; i++)
		apply_config(gossip, report->configs[i]);
}

static void
apply_copies(
    at_gossip_t *gossip, const Report *report, const at_roster_member_t *member)
{
	const at_sync_report_t copies = {.instance = member->tag,
	    .is_near = member->data_centre == gossip->entry->identity.data_centre,
	    .config_version = report->config_version,
	    .servers_since = report->servers_since,
	    .reads = report->reads,
	    .platform_away = report->platform_away,
	    .servers_changed = report->servers_changed,
	    .servers_newest = report->servers_version,
	    .servers_digest = report->servers_digest,
	    .age_ms = report->read_age_ms,
	    .age_max_ms = report->read_age_max_ms,
	    .steady_ms = report->steady_ms};

	at_sync_apply_report(gossip->entry->sync, &copies);
}

void
report_apply_queues(at_entry_t *entry, at_tag_t from, size_t queue_count,
    ReportQueue *const *queues, uint64_t now_us)
{
	at_queue_report_t entries[AT_QUEUE_REPORTS_MAX];
	size_t count = 0;

	while (count < queue_count && count < AT_QUEUE_REPORTS_MAX) {
		const ReportQueue *queue = queues[count];

		entries[count].kind.service = queue->service;
		entries[count].kind.model = queue->model;
		entries[count].requests = queue->requests;
		entries[count].on_time = queue->pressing;
		entries[count].prompt_tokens = queue->prompt_tokens;
		entries[count].instances = queue->instances;
		entries[count].on_time_instances = queue->pressing_instances;
		count++;
	}
	at_contention_apply_report(
	    entry->contention, from, entries, count, now_us);
}

/* Returns when the platform confirmed the reader's lists, or 0 if unknown. */
static uint64_t
confirmed_us(const Report *report, uint64_t now_us)
{
	uint64_t age_ms = report->read_age_ms;

	return age_ms < now_us / US_PER_MS ? now_us - age_ms * US_PER_MS : 0;
}

/* Returns non-zero if a summary has the loads of the instance. */
static int
is_summarised(
    at_gossip_t *gossip, const at_roster_member_t *member, uint64_t now_us)
{
	return member->summarised_us != 0 &&
	       now_us <= member->summarised_us + AT_SUMMARY_MAX_AGE_US &&
	       at_report_paths_is_summarised(
		   gossip->paths, member->data_centre, now_us);
}

static void
apply_report(at_gossip_t *gossip, Report *report)
{
	at_entry_t *entry = gossip->entry;
	uint64_t now_us = at_clock_now_us();
	at_roster_member_t *member;
	uint64_t last_us;
	at_name_t name;

	/* These do not depend on the order of the reports. */
	origins_apply(gossip, report, now_us);
	at_server_crashes_apply_report(entry->crashes, report);
	at_documents_apply_report(at_sync_documents(entry->sync), report);
	if (report->origins_data_centre != 0)
		summary_keep_origins(gossip, report);
	if (report->summary != NULL) {
		summary_apply(gossip, report, now_us);
		return;
	}
	if (at_name_set(&name, report->name) != 0)
		return;
	member = at_roster_add(entry->roster, &name,
	    at_tag_from_text(report->data_centre), report->address, now_us);
	if (member == NULL)
		return;
	if (member->incarnation != report->incarnation)
		at_log(AT_LOG_INFO, "roster", NULL,
		    "first report of this incarnation instance=%s address=%s "
		    "data_centre=%s",
		    name.text, report->address, report->data_centre);
	last_us = member->reported_us;
	if (at_roster_apply_report(member, report->incarnation,
		report->sequence, report->leaving, report->fence, now_us) != 0)
		return;
	if (last_us != 0 && now_us - last_us > AT_ROSTER_REPORT_TIMEOUT_US)
		origins_on_member_back(gossip, member, now_us);
	if (report->wants_origins || report->wants_own_origins)
		origins_answer(gossip, member, report);
	member->platform_away = report->platform_away;
	member->strength = report->strength;
	member->takes_summaries = report->takes_summaries;
	member->config_version = report->config_version;
	member->servers_since = report->servers_since;
	member->confirmation_max_us = report->read_age_max_ms * US_PER_MS;
	at_roster_note_reads(
	    member, report->reads, confirmed_us(report, now_us), now_us);
	if (member->data_centre == entry->identity.data_centre)
		apply_servers(gossip, report);
	apply_copies(gossip, report, member);
	if (report->has_loads && !is_summarised(gossip, member, now_us)) {
		member->has_direct_load = 1;
		report_apply_loads(entry, member->tag,
		    member->data_centre == entry->identity.data_centre, report->n_loads,
		    report->loads, now_us);
		report_apply_queues(entry, member->tag, report->n_queues,
		    report->queues, now_us);
	}
	if (report->has_loads || report->has_state) {
		at_reach_io_apply_report(entry->reach, member, report);
		member->relayed = report->relayed;
	}
	apply_usage(entry, member->tag, report, now_us);
	at_server_notices_apply_report(entry, report);
	at_orders_io_apply_report(entry->orders, member, report);
}

void
report_apply_datagram(at_gossip_t *gossip, size_t len)
{
	unsigned char mac[MAC_SIZE];
	Report *report = NULL;

	if (len < MAC_SIZE)
		return;
	report_compute_mac(
	    gossip, gossip->datagram + MAC_SIZE, len - MAC_SIZE, mac);
	if (sodium_memcmp(mac, gossip->datagram, MAC_SIZE) == 0)
		report = report__unpack(
		    NULL, len - MAC_SIZE, gossip->datagram + MAC_SIZE);
	if (report == NULL) {
		at_counters_add(gossip->entry->counters,
		    "reports_rejected_total", NULL, NULL, 1);
		return;
	}
	apply_report(gossip, report);
	report__free_unpacked(report, NULL);
}
