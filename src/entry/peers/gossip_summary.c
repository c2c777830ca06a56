/*
 * gossip_summary.c - summaries between data centres: fills that of this data
 * centre, forwards and applies those of the others.
 */
#include <string.h>

#include "almondthread/report_paths.h"
#include "entry/peers/gossip_impl.h"
#include "io/clock.h"

#define US_PER_MS 1000u
#define MEMBERS_MAX 512u
#define SPENDING_MAX 2048u
#define DATA_CENTRES_MAX 16u
/* Changed usage is repeated for this time, as summaries may be lost. */
#define SPENDING_REPEAT_US 1500000u

/* Usage of a member; member is an index into the summary's. */
typedef struct member_usage {
	size_t member;
	at_quota_usage_t usage;
} member_usage_t;

/* The summary that is filled, with the memory that its message points to. */
typedef struct summary_buffers {
	at_gossip_t *gossip;
	uint64_t now_us;
	ReportMember members[MEMBERS_MAX];
	ReportMember *member_list[MEMBERS_MAX];
	size_t member_count;
	member_usage_t usage[SPENDING_MAX];
	size_t usage_count;
	ReportSpending spending[SPENDING_MAX];
	ReportSpending *spending_list[SPENDING_MAX];
	at_load_report_t load_entries[AT_LOAD_REPORTS_MAX];
	ReportLoad loads[AT_LOAD_REPORTS_MAX];
	ReportLoad *load_list[AT_LOAD_REPORTS_MAX];
	at_queue_report_t queue_entries[AT_QUEUE_REPORTS_MAX];
	ReportQueue queues[AT_QUEUE_REPORTS_MAX];
	ReportQueue *queue_list[AT_QUEUE_REPORTS_MAX];
	uint64_t streams[FORWARDED_ORIGINS_MAX];
	ReportOrigins origins[FORWARDED_ORIGINS_MAX];
	ReportOrigins *origin_list[FORWARDED_ORIGINS_MAX];
} summary_buffers_t;

/* Returns non-zero if the instance's reports are part of the summary. */
static int
is_member(const at_gossip_t *gossip, const at_roster_member_t *member,
    uint64_t now_us)
{
	return member != NULL &&
	       member->data_centre == gossip->deps.identity->data_centre &&
	       member->takes_summaries && member->reported_us != 0 &&
	       now_us <= member->reported_us + AT_ROSTER_REPORT_TIMEOUT_US;
}

static int
is_member_tag(void *ctx, at_tag_t instance)
{
	const summary_buffers_t *buffers = ctx;

	return is_member(buffers->gossip,
	    at_roster_find(buffers->gossip->deps.roster, instance),
	    buffers->now_us);
}

static void
add_member(summary_buffers_t *buffers, at_tag_t instance, uint64_t incarnation,
    uint64_t age_us)
{
	ReportMember *member = &buffers->members[buffers->member_count];

	if (buffers->member_count == MEMBERS_MAX)
		return;
	report_member__init(member);
	member->instance = instance;
	member->incarnation = incarnation;
	member->age_ms = (uint32_t)(age_us / US_PER_MS);
	buffers->member_list[buffers->member_count++] = member;
}

static void
consider_member(void *ctx, at_roster_member_t *member)
{
	summary_buffers_t *buffers = ctx;

	if (is_member(buffers->gossip, member, buffers->now_us))
		add_member(buffers, member->tag, member->incarnation,
		    buffers->now_us - member->reported_us);
}

static void
add_usage(
    summary_buffers_t *buffers, size_t member, const at_quota_usage_t *usage)
{
	if (buffers->usage_count == SPENDING_MAX)
		return;
	buffers->usage[buffers->usage_count].member = member;
	buffers->usage[buffers->usage_count++].usage = *usage;
}

static void
consider_usage(void *ctx, const at_quota_reported_t *reported)
{
	summary_buffers_t *buffers = ctx;
	size_t i;

	for (i = 0; i < buffers->member_count; i++) {
		const ReportMember *member = &buffers->members[i];

		if (member->instance != reported->instance)
			continue;
		if (member->incarnation == reported->incarnation)
			add_usage(buffers, i, &reported->usage);
		return;
	}
}

/* The entries of each member follow one another in the list of pointers. */
static void
assign_usage(summary_buffers_t *buffers)
{
	size_t filled = 0;
	size_t i;
	size_t k;

	for (i = 0; i < buffers->member_count; i++) {
		ReportMember *member = &buffers->members[i];

		member->spending = &buffers->spending_list[filled];
		for (k = 0; k < buffers->usage_count; k++) {
			ReportSpending *spending = &buffers->spending[filled];

			if (buffers->usage[k].member != i)
				continue;
			report_spending__init(spending);
			spending->workspace = buffers->usage[k].usage.workspace;
			spending->units = buffers->usage[k].usage.units;
			buffers->spending_list[filled++] = spending;
			member->n_spending++;
		}
	}
}

static void
fill_members(summary_buffers_t *buffers, ReportSummary *summary)
{
	const at_gossip_deps_t *deps = &buffers->gossip->deps;
	at_quota_usage_t own[USAGE_ENTRIES_MAX];
	size_t count = at_quota_fill_report(
	    deps->quota, own, USAGE_ENTRIES_MAX, buffers->now_us);
	size_t i;

	add_member(
	    buffers, deps->identity->tag, deps->identity->self.number, 0);
	for (i = 0; i < count; i++)
		add_usage(buffers, 0, &own[i]);
	at_roster_each(deps->roster, consider_member, buffers);
	at_quota_each_reported(deps->quota,
	    buffers->now_us - SPENDING_REPEAT_US, consider_usage, buffers);
	assign_usage(buffers);
	summary->n_members = buffers->member_count;
	summary->members = buffers->member_list;
}

static void
fill_sums(summary_buffers_t *buffers, ReportSummary *summary)
{
	const at_gossip_deps_t *deps = &buffers->gossip->deps;
	size_t count = at_fleet_sum_reports(deps->fleet, is_member_tag, buffers,
	    buffers->load_entries, AT_LOAD_REPORTS_MAX, buffers->now_us);
	size_t i;

	for (i = 0; i < count; i++) {
		report_fill_load(&buffers->load_entries[i], &buffers->loads[i]);
		buffers->load_list[i] = &buffers->loads[i];
	}
	summary->n_loads = count;
	summary->loads = buffers->load_list;
	count = at_wait_queue_fill_report(deps->queue, buffers->queue_entries,
	    AT_QUEUE_REPORTS_MAX, buffers->now_us);
	count = at_contention_sum_reports(deps->contention, is_member_tag,
	    buffers, buffers->queue_entries, count, AT_QUEUE_REPORTS_MAX);
	for (i = 0; i < count; i++) {
		report_fill_queue(
		    &buffers->queue_entries[i], &buffers->queues[i]);
		buffers->queue_list[i] = &buffers->queues[i];
	}
	summary->n_queues = count;
	summary->queues = buffers->queue_list;
}

/* Other data centres with a gateway that can be sent to. */
typedef struct data_centres {
	at_tag_t tags[DATA_CENTRES_MAX];
	size_t count;
	at_tag_t own;
} data_centres_t;

static void
consider_data_centre(void *ctx, at_roster_member_t *member)
{
	data_centres_t *others = ctx;
	size_t i;

	if (member->data_centre == others->own ||
	    others->count == DATA_CENTRES_MAX)
		return;
	for (i = 0; i < others->count; i++) {
		if (others->tags[i] == member->data_centre)
			return;
	}
	others->tags[others->count++] = member->data_centre;
}

static void
send_to_gateways(at_gossip_t *gossip, size_t len, uint64_t now_us)
{
	const at_gossip_deps_t *deps = &gossip->deps;
	data_centres_t others = {.own = deps->identity->data_centre};
	size_t sent = 0;
	size_t i;

	at_roster_each(deps->roster, consider_data_centre, &others);
	for (i = 0; i < others.count; i++) {
		const at_roster_member_t *gateway = at_roster_find_gateway(
		    deps->roster, others.tags[i], now_us);

		if (gateway == NULL)
			continue;
		gossip_send_datagram(gossip, gateway, len);
		sent++;
	}
	gossip_count_sent(gossip, "summary", sent, len);
}

void
summary_on_round(at_gossip_t *gossip, uint32_t instances, uint64_t now_us)
{
	static summary_buffers_t buffers;
	const at_gossip_deps_t *deps = &gossip->deps;
	Report report = REPORT__INIT;
	ReportSummary summary = REPORT_SUMMARY__INIT;
	size_t len;

	if (!at_report_paths_is_summary_due(
		gossip->paths, instances, gossip->rounds))
		return;
	if (gossip->is_leaving || !at_roster_is_gateway(deps->roster,
				      deps->identity->data_centre, now_us)) {
		gossip->forwarded_origin_count = 0;
		return;
	}
	buffers.gossip = gossip;
	buffers.now_us = now_us;
	buffers.member_count = 0;
	buffers.usage_count = 0;
	summary.data_centre = (char *)(uintptr_t)deps->settings->data_centre;
	summary.gateway = deps->identity->self.number;
	summary.sequence = ++gossip->summary_sequence;
	fill_members(&buffers, &summary);
	fill_sums(&buffers, &summary);
	report.n_origins = report_fill_origins(gossip->forwarded_origins,
	    gossip->forwarded_origin_count, buffers.streams, buffers.origins,
	    buffers.origin_list);
	report.origins = buffers.origin_list;
	gossip->forwarded_origin_count = 0;
	report.summary = &summary;
	len = report_pack(gossip, &report);
	if (len > 0)
		send_to_gateways(gossip, len, now_us);
}

void
summary_keep_own_origins(at_gossip_t *gossip)
{
	size_t i;

	for (i = 0; i < gossip->origin_count &&
		    gossip->forwarded_origin_count < FORWARDED_ORIGINS_MAX;
	     i++)
		gossip->forwarded_origins[gossip->forwarded_origin_count++] =
		    gossip->origins[i];
}

void
summary_keep_origins(at_gossip_t *gossip, const Report *report)
{
	size_t i;
	size_t k;

	if (report->origins_data_centre != gossip->deps.identity->data_centre)
		return;
	for (i = 0; i < report->n_origins; i++) {
		const ReportOrigins *origins = report->origins[i];

		for (k = 0;
		     k < origins->n_streams &&
		     gossip->forwarded_origin_count < FORWARDED_ORIGINS_MAX;
		     k++) {
			at_stream_origin_t *kept =
			    &gossip->forwarded_origins
				 [gossip->forwarded_origin_count++];

			kept->stream = origins->streams[k];
			kept->software = origins->software;
		}
	}
}

static void
apply_member(
    const at_gossip_deps_t *deps, const ReportMember *source, uint64_t now_us)
{
	at_roster_member_t *member =
	    at_roster_find(deps->roster, source->instance);
	uint64_t age_us = (uint64_t)source->age_ms * US_PER_MS;
	at_quota_usage_t usage[USAGE_ENTRIES_MAX];
	size_t count = 0;

	if (member == NULL || age_us >= now_us ||
	    at_roster_note_summarised(
		member, source->incarnation, now_us - age_us, now_us) != 0)
		return;
	while (count < source->n_spending && count < USAGE_ENTRIES_MAX) {
		usage[count].workspace = source->spending[count]->workspace;
		usage[count].units = source->spending[count]->units;
		count++;
	}
	at_quota_apply_report(deps->quota, member->tag, source->incarnation,
	    usage, count, now_us);
	if (!member->has_direct_load)
		return;
	member->has_direct_load = 0;
	at_fleet_apply_report(deps->fleet, member->tag, NULL, 0, now_us);
	at_contention_apply_report(
	    deps->contention, member->tag, NULL, 0, now_us);
}

static void
forward(at_gossip_t *gossip, Report *report)
{
	size_t len;

	report->summary->forwarded = 1;
	len = report_pack(gossip, report);
	if (len > 0)
		gossip_send_near(gossip, "forwarded", len);
}

void
summary_apply(at_gossip_t *gossip, Report *report, uint64_t now_us)
{
	const at_gossip_deps_t *deps = &gossip->deps;
	const ReportSummary *summary = report->summary;
	at_tag_t data_centre = at_tag_from_text(summary->data_centre);
	size_t i;

	if (data_centre == deps->identity->data_centre ||
	    at_report_paths_note_summary(gossip->paths, data_centre,
		summary->gateway, summary->sequence, now_us) != 0)
		return;
	if (!summary->forwarded)
		forward(gossip, report);
	for (i = 0; i < summary->n_members; i++)
		apply_member(deps, summary->members[i], now_us);
	report_apply_loads(
	    gossip, data_centre, 0, summary->n_loads, summary->loads, now_us);
	report_apply_queues(
	    gossip, data_centre, summary->n_queues, summary->queues, now_us);
}
