/*
 * report_loads.c - loads of backend servers, queues and quota usage in the
 * reports of instances.
 */
#include "entry/peers/gossip_impl.h"
#include "io/clock.h"

/* Memory that the fields of a report point to. */
typedef struct load_buffers {
	at_load_report_t load_entries[AT_LOAD_REPORTS_MAX];
	ReportLoad loads[AT_LOAD_REPORTS_MAX];
	ReportLoad *load_list[AT_LOAD_REPORTS_MAX];
	at_quota_usage_t usage_entries[USAGE_ENTRIES_MAX];
	ReportSpending usage[USAGE_ENTRIES_MAX];
	ReportSpending *usage_list[USAGE_ENTRIES_MAX];
	at_queue_report_t queue_entries[AT_QUEUE_REPORTS_MAX];
	ReportQueue queues[AT_QUEUE_REPORTS_MAX];
	ReportQueue *queue_list[AT_QUEUE_REPORTS_MAX];
} load_buffers_t;

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
	load->speed = entry->load.speed;
}

void
report_fill_queue(const at_queue_report_t *entry, ReportQueue *queue)
{
	report_queue__init(queue);
	queue->service = entry->kind.service;
	queue->model = entry->kind.model;
	queue->software = entry->kind.software;
	queue->requests = entry->requests;
	queue->pressing = entry->on_time;
	queue->prompt_tokens = entry->prompt_tokens;
	queue->instances = entry->instances;
	queue->pressing_instances = entry->on_time_instances;
	queue->arrivals_milli = entry->flow.arrivals_milli;
	queue->served_milli = entry->flow.served_milli;
}

static void
fill_loads(const at_gossip_t *gossip, load_buffers_t *buffers, Report *report)
{
	size_t count = at_fleet_fill_report(gossip->deps.fleet,
	    buffers->load_entries, AT_LOAD_REPORTS_MAX, at_clock_now_us());
	int is_reaching = gossip->deps.is_reaching(gossip->deps.ctx);
	size_t i;

	for (i = 0; i < count; i++) {
		at_load_report_t *load = &buffers->load_entries[i];

		load->load.unreachable &= is_reaching;
		report_fill_load(load, &buffers->loads[i]);
		buffers->load_list[i] = &buffers->loads[i];
	}
	report->n_loads = count;
	report->loads = buffers->load_list;
}

static void
fill_usage(const at_gossip_t *gossip, load_buffers_t *buffers, Report *report)
{
	size_t count = at_quota_fill_report(gossip->deps.quota,
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
fill_queues(const at_gossip_t *gossip, load_buffers_t *buffers, Report *report)
{
	size_t count = at_wait_queue_fill_report(gossip->deps.queue,
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
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	static load_buffers_t buffers;
	const at_gossip_t *gossip = ctx;

	(void)is_to_all;
	if (kind != AT_REPORT_COMMON && kind != AT_REPORT_DEMAND)
		return;
	fill_loads(gossip, &buffers, report);
	fill_queues(gossip, &buffers, report);
	fill_usage(gossip, &buffers, report);
	report->has_loads = 1;
}

void
report_apply_loads(at_gossip_t *gossip, at_tag_t from, int is_same_data_centre,
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
		entries[count].load.speed = load->speed;
		if (load->unreachable && is_same_data_centre)
			at_fleet_apply_unreachable(
			    gossip->deps.fleet, load->server, now_us);
		count++;
	}
	at_fleet_apply_report(gossip->deps.fleet, from, entries, count, now_us);
}

void
report_apply_queues(at_gossip_t *gossip, at_tag_t from, size_t queue_count,
    ReportQueue *const *queues, uint64_t now_us)
{
	at_queue_report_t entries[AT_QUEUE_REPORTS_MAX];
	size_t count = 0;

	while (count < queue_count && count < AT_QUEUE_REPORTS_MAX) {
		const ReportQueue *queue = queues[count];

		entries[count].kind.service = queue->service;
		entries[count].kind.model = queue->model;
		entries[count].kind.software = queue->software;
		entries[count].requests = queue->requests;
		entries[count].on_time = queue->pressing;
		entries[count].prompt_tokens = queue->prompt_tokens;
		entries[count].instances = queue->instances;
		entries[count].on_time_instances = queue->pressing_instances;
		entries[count].flow.arrivals_milli = queue->arrivals_milli;
		entries[count].flow.served_milli = queue->served_milli;
		count++;
	}
	at_contention_apply_report(
	    gossip->deps.contention, from, entries, count, now_us);
}

static void
apply_usage(
    at_gossip_t *gossip, at_tag_t from, const Report *report, uint64_t now_us)
{
	at_quota_usage_t entries[USAGE_ENTRIES_MAX];
	size_t count = 0;

	while (count < report->n_spending && count < USAGE_ENTRIES_MAX) {
		entries[count].workspace = report->spending[count]->workspace;
		entries[count].units = report->spending[count]->units;
		count++;
	}
	at_quota_apply_report(gossip->deps.quota, from, report->incarnation,
	    entries, count, now_us);
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
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	at_gossip_t *gossip = ctx;
	uint64_t now_us = at_clock_now_us();

	if (report->has_loads && !is_summarised(gossip, member, now_us)) {
		member->has_direct_load = 1;
		report_apply_loads(gossip, member->tag,
		    member->data_centre == gossip->deps.identity->data_centre,
		    report->n_loads, report->loads, now_us);
		report_apply_queues(gossip, member->tag, report->n_queues,
		    report->queues, now_us);
	}
	apply_usage(gossip, member->tag, report, now_us);
}

at_report_section_t
at_gossip_loads_section(at_gossip_t *gossip)
{
	return (at_report_section_t){
	    .fill = fill, .apply = apply, .ctx = gossip};
}
