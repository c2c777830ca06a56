/*
 * report_apply.c - takes in what the other instances tell.
 */
#include <sodium.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/gossip_impl.h"
#include "entry/orders.h"
#include "entry/sync.h"
#include "io/clock.h"

static void
take_loads(at_entry_t *entry, at_tag_t from, int is_near, const Report *report,
    uint64_t now_us)
{
	at_load_report_t rows[AT_LOAD_REPORTS_MAX];
	size_t count = 0;

	while (count < report->n_loads && count < AT_LOAD_REPORTS_MAX) {
		const ReportLoad *load = report->loads[count];

		rows[count].server = load->server;
		rows[count].load.active = load->active;
		rows[count].load.prefill_tokens = load->prefill_tokens;
		rows[count].load.kv_tokens = load->kv_tokens;
		rows[count].load.recent_tokens = load->recent_tokens;
		rows[count].load.unreachable = 0;
		if (load->unreachable && is_near)
			at_fleet_apply_unreachable(
			    entry->fleet, load->server, now_us);
		count++;
	}
	at_fleet_apply_report(entry->fleet, from, rows, count, now_us);
}

static void
take_spending(
    at_entry_t *entry, at_tag_t from, const Report *report, uint64_t now_us)
{
	at_quota_usage_t rows[SPENDING_MAX];
	size_t count = 0;

	while (count < report->n_spending && count < SPENDING_MAX) {
		rows[count].workspace = report->spending[count]->workspace;
		rows[count].units = report->spending[count]->units;
		count++;
	}
	at_quota_apply_report(
	    entry->quota, from, report->incarnation, rows, count, now_us);
}

static void
take_servers(at_entry_t *entry, const Report *report)
{
	size_t i;

	for (i = 0; i < report->n_servers; i++) {
		const ReportServer *row = report->servers[i];

		at_sync_feed(entry->sync, row->name, row->version,
		    row->deleted ? NULL : row->spec);
	}
	for (i = 0; i < report->n_configs; i++)
		at_sync_feed_config(entry->sync, report->configs[i]->name,
		    report->configs[i]->version, report->configs[i]->spec);
	if (report->reads && report->n_servers == 0)
		at_sync_compare(entry->sync, report->servers_digest);
}

static void
take_queues(
    at_entry_t *entry, at_tag_t instance, const Report *report, uint64_t now_us)
{
	at_queue_report_t rows[AT_QUEUE_REPORTS_MAX];
	size_t count = 0;

	while (count < report->n_queues && count < AT_QUEUE_REPORTS_MAX) {
		const ReportQueue *queue = report->queues[count];

		rows[count].kind.service = queue->service;
		rows[count].kind.model = queue->model;
		rows[count].requests = queue->requests;
		rows[count].on_time = queue->pressing;
		rows[count].prompt_tokens = queue->prompt_tokens;
		count++;
	}
	at_contention_apply_report(
	    entry->contention, instance, rows, count, now_us);
}

static void
take_report(at_gossip_t *gossip, const Report *report)
{
	at_entry_t *entry = gossip->entry;
	uint64_t now_us = at_clock_now_us();
	at_roster_member_t *member;
	at_name_t name;

	if (at_name_set(&name, report->name) != 0)
		return;
	member = at_roster_add(entry->roster, &name,
	    at_tag_from_text(report->data_centre), report->address, now_us);
	if (member == NULL)
		return;
	if (member->incarnation != report->incarnation)
		at_log(AT_LOG_INFO, "roster", NULL,
		    "heard instance=%s address=%s data_centre=%s", name.text,
		    report->address, report->data_centre);
	if (at_roster_apply_report(member, report->incarnation,
		report->sequence, report->leaving, report->fence, now_us) != 0)
		return;
	member->platform_away = report->platform_away;
	member->strength = report->strength;
	if (member->data_centre == entry->data_centre)
		take_servers(entry, report);
	if (report->config_version >
	    (entry->site == NULL ? 0 : entry->site->version))
		at_sync_hear_newer(entry->sync);
	if (report->has_loads)
		take_loads(entry, member->tag,
		    member->data_centre == entry->data_centre, report, now_us);
	if (report->has_loads)
		take_queues(entry, member->tag, report, now_us);
	take_spending(entry, member->tag, report, now_us);
	at_orders_io_take_report(entry->orders, member, report);
}

void
report_take(at_gossip_t *gossip, size_t len)
{
	unsigned char mac[MAC_SIZE];
	Report *report = NULL;

	if (len < MAC_SIZE)
		return;
	report_seal(gossip, gossip->datagram + MAC_SIZE, len - MAC_SIZE, mac);
	if (sodium_memcmp(mac, gossip->datagram, MAC_SIZE) == 0)
		report = report__unpack(
		    NULL, len - MAC_SIZE, gossip->datagram + MAC_SIZE);
	if (report == NULL) {
		at_counters_add(gossip->entry->counters,
		    "reports_rejected_total", NULL, NULL, 1);
		return;
	}
	take_report(gossip, report);
	report__free_unpacked(report, NULL);
}
