/*
 * report_encode.c - puts together what this instance tells the others.
 */
#include <sodium.h>

#include "almondthread/log.h"
#include "entry/gossip_impl.h"
#include "entry/orders.h"
#include "entry/sync.h"
#include "io/clock.h"

/* What a report is put together from. */
typedef struct parts {
	at_load_report_t load_rows[AT_LOAD_REPORTS_MAX];
	ReportLoad loads[AT_LOAD_REPORTS_MAX];
	ReportLoad *load_list[AT_LOAD_REPORTS_MAX];
	at_quota_usage_t spending_rows[SPENDING_MAX];
	ReportSpending spending[SPENDING_MAX];
	ReportSpending *spending_list[SPENDING_MAX];
	at_queue_report_t queue_rows[AT_QUEUE_REPORTS_MAX];
	ReportQueue queues[AT_QUEUE_REPORTS_MAX];
	ReportQueue *queue_list[AT_QUEUE_REPORTS_MAX];
	ReportServer servers[SERVERS_MAX];
	ReportServer *server_list[SERVERS_MAX];
} parts_t;

void
report_seal(const at_gossip_t *gossip, const unsigned char *data, size_t len,
    unsigned char mac[MAC_SIZE])
{
	(void)crypto_generichash(mac, MAC_SIZE, data, len,
	    gossip->entry->secret.bytes, sizeof(gossip->entry->secret.bytes));
}

static void
fill_loads(const at_entry_t *entry, parts_t *parts, Report *report)
{
	size_t count = at_fleet_fill_report(entry->fleet, parts->load_rows,
	    AT_LOAD_REPORTS_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		ReportLoad *load = &parts->loads[i];

		report_load__init(load);
		load->server = parts->load_rows[i].server;
		load->active = parts->load_rows[i].load.active;
		load->prefill_tokens = parts->load_rows[i].load.prefill_tokens;
		load->kv_tokens = parts->load_rows[i].load.kv_tokens;
		load->unreachable = parts->load_rows[i].load.unreachable;
		load->recent_tokens = parts->load_rows[i].load.recent_tokens;
		parts->load_list[i] = load;
	}
	report->n_loads = count;
	report->loads = parts->load_list;
}

static void
fill_spending(const at_entry_t *entry, parts_t *parts, Report *report)
{
	size_t count = at_quota_fill_report(entry->quota, parts->spending_rows,
	    SPENDING_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		ReportSpending *row = &parts->spending[i];

		report_spending__init(row);
		row->workspace = parts->spending_rows[i].workspace;
		row->units = parts->spending_rows[i].units;
		parts->spending_list[i] = row;
	}
	report->n_spending = count;
	report->spending = parts->spending_list;
}

static void
fill_queues(const at_entry_t *entry, parts_t *parts, Report *report)
{
	size_t count = at_wait_queue_fill_report(entry->waiting,
	    parts->queue_rows, AT_QUEUE_REPORTS_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		const at_queue_report_t *row = &parts->queue_rows[i];
		ReportQueue *queue = &parts->queues[i];

		report_queue__init(queue);
		queue->service = row->kind.service;
		queue->model = row->kind.model;
		queue->requests = row->requests;
		queue->pressing = row->on_time;
		queue->prompt_tokens = row->prompt_tokens;
		parts->queue_list[i] = queue;
	}
	report->n_queues = count;
	report->queues = parts->queue_list;
}

static void
fill_object(const told_object_t *told, ReportServer *row)
{
	report_server__init(row);
	row->name = told->name;
	row->version = told->version;
	row->deleted = told->spec == NULL;
	if (told->spec != NULL)
		row->spec = told->spec;
}

static void
fill_servers(const at_gossip_t *gossip, parts_t *parts, Report *report)
{
	size_t i;

	for (i = 0; i < gossip->server_count; i++) {
		fill_object(&gossip->servers[i], &parts->servers[i]);
		parts->server_list[i] = &parts->servers[i];
	}
	report->n_servers = gossip->server_count;
	report->servers = parts->server_list;
}

static void
fill_config(const at_gossip_t *gossip, parts_t *parts, Report *report)
{
	fill_object(&gossip->config, &parts->servers[0]);
	parts->server_list[0] = &parts->servers[0];
	report->n_configs = 1;
	report->configs = parts->server_list;
}

static void
fill_head(at_gossip_t *gossip, Report *report)
{
	at_entry_t *entry = gossip->entry;

	report->name = entry->self.instance.text;
	report->data_centre = (char *)(uintptr_t)entry->settings.data_centre;
	report->address = (char *)(uintptr_t)entry->settings.peers;
	report->incarnation = entry->self.number;
	report->sequence = ++gossip->sequence;
	report->leaving = gossip->leaving;
	report->config_version = entry->site == NULL ? 0 : entry->site->version;
	report->platform_away = at_entry_is_platform_away(entry);
	report->reads = at_sync_is_reader(entry->sync);
	if (report->reads)
		report->servers_digest = at_sync_digest(entry->sync);
	report->strength = entry->strength;
	report->fence = at_orders_io_fence(entry->orders);
}

size_t
report_pack(at_gossip_t *gossip, report_kind_t kind)
{
	static parts_t parts;
	at_entry_t *entry = gossip->entry;
	Report report = REPORT__INIT;
	size_t len;

	fill_head(gossip, &report);
	if (kind == REPORT_SERVERS) {
		fill_servers(gossip, &parts, &report);
	} else if (kind == REPORT_CONFIG) {
		fill_config(gossip, &parts, &report);
	} else {
		fill_loads(entry, &parts, &report);
		fill_queues(entry, &parts, &report);
		fill_spending(entry, &parts, &report);
		at_orders_io_fill_news(entry->orders, &report);
	}
	if (kind == REPORT_DEMAND)
		at_orders_io_fill_demand(entry->orders, &report);
	report.has_loads = kind == REPORT_COMMON || kind == REPORT_DEMAND;
	len = report__get_packed_size(&report);
	if (len + MAC_SIZE > DATAGRAM_MAX) {
		at_log(AT_LOG_ERROR, "gossip", NULL,
		    "report too large bytes=%zu", len);
		return 0;
	}
	(void)report__pack(&report, gossip->datagram + MAC_SIZE);
	report_seal(gossip, gossip->datagram + MAC_SIZE, len, gossip->datagram);
	return len + MAC_SIZE;
}
