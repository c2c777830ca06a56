/* report_encode.c - encodes the reports to the other instances. */
#include <sodium.h>

#include "almondthread/log.h"
#include "entry/server_crashes.h"
#include "entry/server_notices.h"
#include "entry/gossip_impl.h"
#include "entry/orders.h"
#include "entry/reach.h"
#include "entry/relay.h"
#include "entry/sync.h"
#include "io/clock.h"

/* Memory that the fields of a report point to. */
typedef struct report_buffers {
	at_load_report_t load_entries[AT_LOAD_REPORTS_MAX];
	ReportLoad loads[AT_LOAD_REPORTS_MAX];
	ReportLoad *load_list[AT_LOAD_REPORTS_MAX];
	at_quota_usage_t usage_entries[USAGE_ENTRIES_MAX];
	ReportSpending usage[USAGE_ENTRIES_MAX];
	ReportSpending *usage_list[USAGE_ENTRIES_MAX];
	at_queue_report_t queue_entries[AT_QUEUE_REPORTS_MAX];
	ReportQueue queues[AT_QUEUE_REPORTS_MAX];
	ReportQueue *queue_list[AT_QUEUE_REPORTS_MAX];
	ReportServer servers[SERVERS_MAX];
	ReportServer *server_list[SERVERS_MAX];
	uint64_t streams[ORIGINS_MAX];
	ReportOrigins origins[ORIGINS_MAX];
	ReportOrigins *origin_list[ORIGINS_MAX];
} report_buffers_t;

void
report_compute_mac(const at_gossip_t *gossip, const unsigned char *data,
    size_t len, unsigned char mac[MAC_SIZE])
{
	(void)crypto_generichash(mac, MAC_SIZE, data, len,
	    gossip->entry->identity.secret.bytes, sizeof(gossip->entry->identity.secret.bytes));
}

void
report_fill_load(const at_load_report_t *entry, ReportLoad *load)
{
	report_load__init(load);
	load->server = entry->server;
	load->active = entry->load.active;
	load->prefill_tokens = entry->load.prefill_tokens;
	load->kv_tokens = entry->load.kv_tokens;
	load->unreachable = entry->load.unreachable;
	load->recent_tokens = entry->load.recent_tokens;
}

void
report_fill_queue(const at_queue_report_t *entry, ReportQueue *queue)
{
	report_queue__init(queue);
	queue->service = entry->kind.service;
	queue->model = entry->kind.model;
	queue->requests = entry->requests;
	queue->pressing = entry->on_time;
	queue->prompt_tokens = entry->prompt_tokens;
	queue->instances = entry->instances;
	queue->pressing_instances = entry->on_time_instances;
}

static void
fill_loads(const at_entry_t *entry, report_buffers_t *buffers, Report *report)
{
	size_t count = at_fleet_fill_report(entry->fleet, buffers->load_entries,
	    AT_LOAD_REPORTS_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		at_load_report_t *load = &buffers->load_entries[i];

		load->load.unreachable &= at_reach_io_is_up(entry->reach);
		report_fill_load(load, &buffers->loads[i]);
		buffers->load_list[i] = &buffers->loads[i];
	}
	report->n_loads = count;
	report->loads = buffers->load_list;
}

static void
fill_usage(const at_entry_t *entry, report_buffers_t *buffers, Report *report)
{
	size_t count = at_quota_fill_report(entry->quota,
	    buffers->usage_entries, USAGE_ENTRIES_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		ReportSpending *usage = &buffers->usage[i];

		report_spending__init(usage);
		usage->workspace = buffers->usage_entries[i].workspace;
		usage->units = buffers->usage_entries[i].units;
		buffers->usage_list[i] = usage;
	}
	report->n_spending = count;
	report->spending = buffers->usage_list;
}

static void
fill_queues(const at_entry_t *entry, report_buffers_t *buffers, Report *report)
{
	size_t count = at_wait_queue_fill_report(entry->queue,
	    buffers->queue_entries, AT_QUEUE_REPORTS_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		report_fill_queue(
		    &buffers->queue_entries[i], &buffers->queues[i]);
		buffers->queue_list[i] = &buffers->queues[i];
	}
	report->n_queues = count;
	report->queues = buffers->queue_list;
}

static void
fill_object(const object_report_t *object, ReportServer *message)
{
	report_server__init(message);
	message->name = object->name;
	message->version = object->version;
	message->deleted = object->spec == NULL;
	if (object->spec != NULL)
		message->spec = object->spec;
}

static void
fill_servers(
    const at_gossip_t *gossip, report_buffers_t *buffers, Report *report)
{
	size_t i;

	for (i = 0; i < gossip->server_count; i++) {
		fill_object(&gossip->servers[i], &buffers->servers[i]);
		buffers->server_list[i] = &buffers->servers[i];
	}
	report->n_servers = gossip->server_count;
	report->servers = buffers->server_list;
	/* Otherwise these are not all changes. */
	if (!gossip->has_more_servers) {
		report->changes_from = gossip->servers_from;
		report->changes_to = at_sync_servers_since(gossip->entry->sync);
	}
}

/* Origins of one version are sent together, if they follow one another. */
size_t
report_fill_origins(const at_stream_origin_t *source, size_t count,
    uint64_t *streams, ReportOrigins *origins, ReportOrigins **list)
{
	size_t filled = 0;
	size_t i;

	for (i = 0; i < count; i++) {
		streams[i] = source[i].stream;
		if (filled == 0 ||
		    origins[filled - 1].software != source[i].software) {
			report_origins__init(&origins[filled]);
			origins[filled].software = source[i].software;
			origins[filled].streams = &streams[i];
			list[filled] = &origins[filled];
			filled++;
		}
		origins[filled - 1].n_streams++;
	}
	return filled;
}

static void
fill_origins(
    const at_gossip_t *gossip, report_buffers_t *buffers, Report *report)
{
	report->n_origins =
	    report_fill_origins(gossip->origins, gossip->origin_count,
		buffers->streams, buffers->origins, buffers->origin_list);
	report->origins = buffers->origin_list;
	report->origins_end = gossip->is_origins_end;
}

static void
fill_header(at_gossip_t *gossip, Report *report)
{
	at_entry_t *entry = gossip->entry;
	at_sync_report_t copies = {0};

	report->name = entry->identity.self.instance.text;
	report->data_centre = (char *)(uintptr_t)entry->settings.data_centre;
	report->address = (char *)(uintptr_t)entry->settings.peers;
	report->incarnation = entry->identity.self.number;
	report->sequence = ++gossip->sequence;
	report->leaving = gossip->is_leaving;
	report->config_version = entry->site == NULL ? 0 : entry->site->version;
	report->platform_away = at_entry_is_platform_away(entry);
	at_sync_fill_report(entry->sync, &copies);
	report->servers_since = copies.servers_since;
	report->reads = copies.reads;
	report->servers_changed = copies.servers_changed;
	report->servers_digest = copies.servers_digest;
	report->servers_version = copies.servers_newest;
	report->read_age_ms = copies.age_ms;
	report->read_age_max_ms = copies.age_max_ms;
	report->steady_ms = copies.steady_ms;
	report->strength = entry->identity.strength;
	report->takes_summaries = 1;
	report->fence = at_orders_io_fence(entry->orders);
}

size_t
report_pack(at_gossip_t *gossip, const Report *report)
{
	size_t len = report__get_packed_size(report);

	if (len + MAC_SIZE > DATAGRAM_MAX_BYTES) {
		at_log(AT_LOG_ERROR, "gossip", NULL,
		    "report not sent: larger than a datagram bytes=%zu", len);
		return 0;
	}
	(void)report__pack(report, gossip->datagram + MAC_SIZE);
	report_compute_mac(
	    gossip, gossip->datagram + MAC_SIZE, len, gossip->datagram);
	return len + MAC_SIZE;
}

size_t
report_encode(at_gossip_t *gossip, report_kind_t kind)
{
	static report_buffers_t buffers;
	at_entry_t *entry = gossip->entry;
	Report report = REPORT__INIT;

	if (kind == REPORT_CRASHES) {
		if (!at_server_crashes_fill_updates(entry->crashes, &report))
			return 0;
		return report_pack(gossip, &report);
	}
	if (kind != REPORT_ORIGINS)
		fill_header(gossip, &report);
	fill_origins(gossip, &buffers, &report);
	if (kind == REPORT_SERVERS) {
		fill_servers(gossip, &buffers, &report);
	} else if (kind == REPORT_CONFIG_CHANGE) {
		report.n_configs = 1;
		report.configs = &gossip->config_change;
	} else if (kind == REPORT_OWN_ORIGINS_REQUEST) {
		report.wants_own_origins = 1;
	} else if (kind == REPORT_ORIGINS_REQUEST) {
		report.wants_origins = 1;
		report.age_ms = origins_age_ms(gossip);
	} else if (kind == REPORT_ORIGINS) {
		report.origins_data_centre = entry->identity.data_centre;
	} else {
		if (kind != REPORT_HEADER) {
			fill_loads(entry, &buffers, &report);
			fill_queues(entry, &buffers, &report);
			fill_usage(entry, &buffers, &report);
		}
		at_orders_io_fill_changes(entry->orders, &report);
		at_server_crashes_fill_verdicts(entry->crashes, &report);
		at_server_notices_fill_report(entry, &report);
		at_reach_io_fill_report(entry->reach, &report);
		at_relay_fill_report(entry->relay, &report);
	}
	if (kind == REPORT_HEADER ||
	    (kind == REPORT_COMMON && gossip->is_to_all))
		at_server_notices_fill_brittle(entry, &report);
	if (kind == REPORT_DEMAND)
		at_orders_io_fill_demand(entry->orders, &report);
	report.has_state = kind == REPORT_HEADER;
	report.has_loads = kind == REPORT_COMMON || kind == REPORT_DEMAND;
	return report_pack(gossip, &report);
}
