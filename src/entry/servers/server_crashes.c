#include "entry/servers/server_crashes.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/servers/relay.h"
#include "io/clock.h"

#define US_PER_MS 1000u
#define REPORT_DELAY_S 0.004    /* of what is to be reported at once */
#define LOSSES_MAX 32u          /* servers that may have crashed, at a time */
#define REQUESTS_PER_REPORT 32u /* of one crash; they fit a packet */
#define PARTS_PER_REPORT 256u   /* of all its requests; the same */
#define PROMPT_PARTS_MAX 16384u /* of one prompt, in pieces */
#define REPORTS_MAX 64u         /* crashes that are being reported */
#define REPORT_TIMES 3u         /* reports may be lost */
#define BEGUN_PER_REPORT 64u
#define TRIALS_MAX 8u
/* A server that crashes breaks all its connections within this time. */
#define COLLECT_S 0.03
#define CONNECT_MS 400u        /* for the connection that decides */
#define RELAYED_PROBE_MS 1000u /* the same, made by another instance */
#define DECIDE_S 0.1
/* Between two checks of whether a refused connection shows a crash. */
#define REFUSED_CHECK_S 0.02
/* Until then, an instance that reaches servers has reported so. */
#define WITNESS_US 1500000u
/* Instances send trials of a suspect part one after the other. */
#define TRIAL_FIRST_US 300000u
#define TRIAL_STEP_MAX_US 300000u
#define TRIAL_ALL_US 3000000u /* until every instance may send one */

/* Connections that one server has broken off. */
typedef struct loss {
	at_server_crashes_t *crashes;
	struct loss *next;
	uint64_t incarnation;
	at_tag_t tag;
	at_name_t id;
	char address[AT_ADDR_SIZE];
	at_request_parts_t requests[REQUESTS_PER_REPORT];
	size_t count;
	uint64_t lost_us;
	ev_timer timer;
	at_transfer_t *probe; /* NULL: still collecting, or it has ended */
	at_relay_outcome_t probe_outcome; /* of a relayed probe */
	int needs_witness; /* this instance has reached no server since */
} loss_t;

/* A crash seen here that is being reported. */
typedef struct crash_report {
	uint64_t incarnation;
	uint64_t crashed_us;
	at_request_parts_t requests[REQUESTS_PER_REPORT];
	size_t count;
	uint32_t reported; /* number of reports so far */
	int is_due;
	size_t next_request; /* what the next report begins with */
	size_t next_part;    /* of that request */
} crash_report_t;

struct at_server_crashes {
	at_server_crashes_deps_t deps;
	at_crash_causes_t *causes;
	loss_t *losses;
	crash_report_t *reports[REPORTS_MAX];
	size_t report_count;
	uint64_t trials[TRIALS_MAX]; /* to be reported */
	size_t trial_count;
	ev_timer timer;
	ev_timer report_timer; /* for what is not reported yet */
};

static void
log_verdict(void *ctx, const at_crash_verdict_t *verdict)
{
	(void)ctx;
	at_log(AT_LOG_WARN, "crashes", NULL,
	    "verdict part=%" PRIx64 " state=%s crashes=%u has_begun=%d",
	    verdict->part, at_cause_state_names[verdict->state],
	    verdict->crashes, verdict->has_begun);
}

static void
count_blocked(void *ctx, const at_crash_verdict_t *verdict)
{
	*(uint64_t *)ctx += verdict->state == AT_CAUSE_BLOCKED;
}

static void
on_verdicts_changed(at_server_crashes_t *crashes)
{
	uint64_t blocked = 0;

	at_log(AT_LOG_INFO, "crashes", NULL, "verdicts changed");
	at_crash_causes_each(crashes->causes, log_verdict, NULL);
	at_crash_causes_each(crashes->causes, count_blocked, &blocked);
	at_counters_set(
	    crashes->deps.counters, "blocked_parts", NULL, NULL, blocked);
	crashes->deps.on_verdicts_changed(crashes->deps.ctx);
}

static void
decide(at_server_crashes_t *crashes)
{
	if (at_crash_causes_decide(crashes->causes, at_clock_now_us()))
		on_verdicts_changed(crashes);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	decide(timer->data);
}

static int fill_updates(void *ctx, Report *report);

static void
send_reports(at_server_crashes_t *crashes)
{
	at_gossip_t *gossip = crashes->deps.gossip;

	while (at_gossip_send_unnamed(gossip, fill_updates, crashes))
		continue;
}

static void
on_report_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_reports(timer->data);
}

/*
 * Sends crashes, and parts that are accused of one and have begun here, to all
 * instances within a few milliseconds.
 */
static void
report_soon(at_server_crashes_t *crashes)
{
	if (!ev_is_active(&crashes->report_timer))
		ev_timer_start(crashes->deps.loop, &crashes->report_timer);
}

at_server_crashes_t *
at_server_crashes_new(const at_server_crashes_deps_t *deps)
{
	at_server_crashes_t *crashes = calloc(1, sizeof(*crashes));

	if (crashes == NULL)
		return NULL;
	crashes->deps = *deps;
	crashes->causes = at_crash_causes_new();
	if (crashes->causes == NULL) {
		free(crashes);
		return NULL;
	}
	ev_timer_init(&crashes->timer, on_timer, DECIDE_S, DECIDE_S);
	crashes->timer.data = crashes;
	ev_timer_init(
	    &crashes->report_timer, on_report_timer, REPORT_DELAY_S, 0.);
	crashes->report_timer.data = crashes;
	return crashes;
}

void
at_server_crashes_start(at_server_crashes_t *crashes)
{
	ev_timer_start(crashes->deps.loop, &crashes->timer);
}

static void
clear_requests(at_request_parts_t *requests, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		at_request_parts_clear(&requests[i]);
}

static void
delete_report(crash_report_t *report)
{
	clear_requests(report->requests, report->count);
	free(report);
}

static void
delete_loss(loss_t *loss)
{
	at_server_crashes_t *crashes = loss->crashes;

	LL_DELETE(crashes->losses, loss);
	ev_timer_stop(crashes->deps.loop, &loss->timer);
	if (loss->probe != NULL)
		at_transfer_cancel(loss->probe);
	clear_requests(loss->requests, loss->count);
	free(loss);
}

void
at_server_crashes_delete(at_server_crashes_t *crashes)
{
	size_t i;

	if (crashes == NULL)
		return;
	ev_timer_stop(crashes->deps.loop, &crashes->timer);
	ev_timer_stop(crashes->deps.loop, &crashes->report_timer);
	while (crashes->losses != NULL)
		delete_loss(crashes->losses);
	for (i = 0; i < crashes->report_count; i++)
		delete_report(crashes->reports[i]);
	at_crash_causes_delete(crashes->causes);
	free(crashes);
}

/* Crashes seen here */

static void
remove_report(at_server_crashes_t *crashes, size_t i)
{
	delete_report(crashes->reports[i]);
	crashes->reports[i] = crashes->reports[--crashes->report_count];
}

static void
add_report(at_server_crashes_t *crashes, const loss_t *loss)
{
	crash_report_t *report = calloc(1, sizeof(*report));
	size_t i;

	if (report == NULL)
		return;
	if (crashes->report_count == REPORTS_MAX)
		remove_report(crashes, 0);
	report->incarnation = loss->incarnation;
	report->crashed_us = loss->lost_us;
	report->count = loss->count;
	for (i = 0; i < loss->count; i++)
		at_request_parts_copy(&report->requests[i], &loss->requests[i]);
	report->is_due = 1;
	crashes->reports[crashes->report_count++] = report;
}

static void
confirm(const loss_t *loss)
{
	at_server_crashes_t *crashes = loss->crashes;
	const at_server_crashes_deps_t *deps = &crashes->deps;

	at_counters_add(deps->counters, "crashes_total", NULL, NULL, 1);
	at_log(AT_LOG_WARN, "crashes", NULL,
	    "server crashed server=%s beginning=%zu", loss->id.text,
	    loss->count);
	at_fleet_apply_unreachable(deps->fleet, loss->tag, at_clock_now_us());
	(void)at_crash_causes_add_crash(crashes->causes, loss->incarnation,
	    loss->requests, loss->count, loss->lost_us);
	add_report(crashes, loss);
	report_soon(crashes);
	decide(crashes);
}

static void
dismiss(loss_t *loss, const char *why)
{
	at_log(AT_LOG_INFO, "crashes", NULL,
	    "server lost connections without a crash server=%s why=%s",
	    loss->id.text, why);
	delete_loss(loss);
}

/*
 * A cut instance is refused by each server. So a refused connection shows a
 * crash only if this instance has reached another server since, or if no
 * instance reaches any.
 */
static void
decide_refused(loss_t *loss)
{
	const at_server_crashes_deps_t *deps = &loss->crashes->deps;
	uint64_t now_us = at_clock_now_us();

	loss->needs_witness |= at_reach_io_reaches_none(deps->reach);
	if (loss->needs_witness &&
	    at_roster_evidence_us(deps->roster) > loss->lost_us) {
		dismiss(loss, "other_instances_reach_servers");
		return;
	}
	if (now_us < loss->lost_us + WITNESS_US &&
	    (loss->needs_witness || at_reach_evidence_us(at_reach_io_state(
					deps->reach)) <= loss->lost_us))
		return;
	confirm(loss);
	delete_loss(loss);
}

static void
on_refused_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	decide_refused(timer->data);
}

static void
on_probe_done(void *ctx, const at_transfer_result_t *result)
{
	loss_t *loss = ctx;
	const at_server_crashes_deps_t *deps = &loss->crashes->deps;

	loss->probe = NULL;
	if (!result->is_connection_refused) {
		dismiss(loss, result->is_complete ? "connected" : "no_answer");
		return;
	}
	if (at_reach_evidence_us(at_reach_io_state(deps->reach)) <=
	    loss->lost_us)
		at_reach_io_doubt(deps->reach);
	ev_timer_stop(deps->loop, &loss->timer);
	ev_timer_init(
	    &loss->timer, on_refused_timer, REFUSED_CHECK_S, REFUSED_CHECK_S);
	ev_timer_start(deps->loop, &loss->timer);
	decide_refused(loss);
}

static void
on_relayed_probe_headers(void *ctx, at_transfer_t *transfer, int status)
{
	loss_t *loss = ctx;

	loss->probe_outcome = at_relay_read_outcome(transfer, status);
}

/* The other instance reaches servers, or it would not have passed it on. */
static void
on_relayed_probe_done(void *ctx, const at_transfer_result_t *result)
{
	loss_t *loss = ctx;

	loss->probe = NULL;
	if (!result->is_complete ||
	    loss->probe_outcome != AT_RELAY_CONNECTION_REFUSED) {
		dismiss(loss, at_relay_outcome_names[loss->probe_outcome]);
		return;
	}
	confirm(loss);
	delete_loss(loss);
}

/* Has another instance try the connection; returns -1 if none can. */
static int
start_relayed_probe(loss_t *loss)
{
	const at_server_crashes_deps_t *deps = &loss->crashes->deps;
	const at_roster_member_t *member = at_roster_choose_relay(
	    deps->roster, deps->identity->data_centre, 0, at_clock_now_us());
	char url[AT_ADDR_SIZE + 16];
	const at_relay_call_t call = {.server_id = loss->id.text,
	    .method = "GET",
	    .target = "/",
	    .is_probe = 1};
	at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .total_ms = RELAYED_PROBE_MS,
	    .new_connection = 1};
	const at_transfer_events_t probe_events = {
	    .on_headers = on_relayed_probe_headers,
	    .on_done = on_relayed_probe_done,
	    .ctx = loss};
	at_header_lines_t lines = {0};

	if (member == NULL)
		return -1;
	(void)snprintf(url, sizeof(url), "http://%s/", member->address);
	loss->probe_outcome = AT_RELAY_REFUSED;
	if (at_relay_add_header(deps->identity, member, &call, &lines) == 0) {
		spec.headers = (const char *const *)lines.lines;
		loss->probe = at_httpc_start(deps->httpc, &spec, &probe_events);
	}
	at_header_lines_free(&lines);
	return loss->probe == NULL ? -1 : 0;
}

static void
on_collected(struct ev_loop *loop, ev_timer *timer, int events)
{
	loss_t *loss = timer->data;
	char url[AT_ADDR_SIZE + 16];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .connect_ms = CONNECT_MS,
	    .connect_only = 1,
	    .new_connection = 1};
	const at_transfer_events_t probe_events = {
	    .on_done = on_probe_done, .ctx = loss};

	(void)loop;
	(void)events;
	if (at_reach_io_reaches_none(loss->crashes->deps.reach) &&
	    start_relayed_probe(loss) == 0)
		return;
	(void)snprintf(url, sizeof(url), "http://%s/", loss->address);
	loss->probe =
	    at_httpc_start(loss->crashes->deps.httpc, &spec, &probe_events);
	if (loss->probe == NULL)
		delete_loss(loss);
}

static uint64_t
incarnation_of(const at_server_entry_t *server)
{
	return server->tag ^ (server->started_ms * 0x9e3779b97f4a7c15u);
}

static loss_t *
find_or_add_loss(at_server_crashes_t *crashes, const at_server_entry_t *server)
{
	uint64_t incarnation = incarnation_of(server);
	size_t count = 0;
	loss_t *loss;

	LL_FOREACH(crashes->losses, loss)
	{
		if (loss->incarnation == incarnation)
			return loss;
		count++;
	}
	loss = count < LOSSES_MAX ? calloc(1, sizeof(*loss)) : NULL;
	if (loss == NULL)
		return NULL;
	loss->crashes = crashes;
	loss->incarnation = incarnation;
	loss->tag = server->tag;
	loss->id = server->id;
	memcpy(loss->address, server->address, sizeof(loss->address));
	loss->lost_us = at_clock_now_us();
	ev_timer_init(&loss->timer, on_collected, COLLECT_S, 0.);
	loss->timer.data = loss;
	ev_timer_start(crashes->deps.loop, &loss->timer);
	LL_PREPEND(crashes->losses, loss);
	return loss;
}

/*
 * The connection of a request was lost before the request had begun. Takes over
 * its parts.
 */
static void
note_lost(at_server_crashes_t *crashes, const at_server_entry_t *server,
    at_request_parts_t *parts)
{
	loss_t *loss = find_or_add_loss(crashes, server);

	if (loss != NULL && loss->count < REQUESTS_PER_REPORT)
		loss->requests[loss->count++] = *parts;
	else
		at_request_parts_clear(parts);
}

static void
notify(void *ctx, const at_attempt_event_t *event)
{
	at_server_crashes_t *crashes = ctx;
	at_request_parts_t parts;

	if (event->kind == AT_ATTEMPT_EVENT_BEGUN) {
		event->fill_parts(event, &parts);
		at_crash_causes_note_begun(
		    crashes->causes, &parts, event->first_event_us);
		at_request_parts_clear(&parts);
	} else if (event->kind == AT_ATTEMPT_EVENT_LOST && event->is_sent &&
		   !event->is_begun && event->server != NULL) {
		event->fill_parts(event, &parts);
		note_lost(crashes, at_server_entry(event->server), &parts);
	}
}

at_attempt_observer_t
at_server_crashes_observer(at_server_crashes_t *crashes)
{
	return (at_attempt_observer_t){notify, crashes};
}

/* Requests that are refused */

int
at_server_crashes_has_verdicts(const at_server_crashes_t *crashes)
{
	return at_crash_causes_has_verdicts(crashes->causes);
}

static uint64_t
trial_delay_us(
    const at_server_crashes_t *crashes, uint64_t part, uint64_t now_us)
{
	const at_roster_t *roster = crashes->deps.roster;
	uint32_t rank = at_roster_rank(roster, part, now_us);
	uint64_t step_us =
	    TRIAL_ALL_US / at_roster_reporting_count(roster, now_us);

	if (step_us > TRIAL_STEP_MAX_US)
		step_us = TRIAL_STEP_MAX_US;
	return TRIAL_FIRST_US + rank * step_us;
}

const at_crash_verdict_t *
at_server_crashes_check(
    at_server_crashes_t *crashes, const at_request_parts_t *parts, int may_try)
{
	uint64_t now_us = at_clock_now_us();
	const at_crash_verdict_t *verdict =
	    at_crash_causes_check(crashes->causes, parts, now_us);

	if (verdict == NULL || verdict->state != AT_CAUSE_SUSPECT || !may_try ||
	    !at_crash_causes_start_trial(crashes->causes, verdict->part,
		trial_delay_us(crashes, verdict->part, now_us), now_us))
		return verdict;
	at_log(AT_LOG_INFO, "crashes", NULL,
	    "request sent as a trial part=%" PRIx64 " crashes=%u",
	    verdict->part, verdict->crashes);
	if (crashes->trial_count < TRIALS_MAX)
		crashes->trials[crashes->trial_count++] = verdict->part;
	report_soon(crashes);
	return NULL;
}

/* Blocks in the platform's store */

void
at_server_crashes_each(const at_server_crashes_t *crashes,
    void (*visit)(void *ctx, const at_crash_verdict_t *verdict), void *ctx)
{
	at_crash_causes_each(crashes->causes, visit, ctx);
}

void
at_server_crashes_apply_block(at_server_crashes_t *crashes, uint64_t part,
    uint32_t crash_count, int has_begun)
{
	uint64_t now_us = at_clock_now_us();
	const at_crash_verdict_t block = {.part = part,
	    .state = AT_CAUSE_BLOCKED,
	    .crashes = crash_count,
	    .has_begun = has_begun,
	    .since_us = now_us,
	    .expires_us = now_us + AT_CRASH_VERDICT_LIFETIME_US};

	if (at_crash_causes_apply_verdict(crashes->causes, &block, now_us))
		on_verdicts_changed(crashes);
}

int
at_server_crashes_lift(at_server_crashes_t *crashes, uint64_t part)
{
	if (at_crash_causes_lift(crashes->causes, part, at_clock_now_us()) != 0)
		return -1;
	on_verdicts_changed(crashes);
	return 0;
}

typedef struct block_search {
	uint64_t part;
	uint64_t since_us; /* 0: it is not blocked */
} block_search_t;

static void
find_block(void *ctx, const at_crash_verdict_t *verdict)
{
	block_search_t *search = ctx;

	if (verdict->part == search->part && verdict->state == AT_CAUSE_BLOCKED)
		search->since_us = verdict->since_us;
}

uint64_t
at_server_crashes_block_age_us(
    const at_server_crashes_t *crashes, uint64_t part)
{
	block_search_t search = {part, 0};
	uint64_t now_us = at_clock_now_us();

	at_crash_causes_each(crashes->causes, find_block, &search);
	if (search.since_us == 0)
		return 0;
	return now_us > search.since_us ? now_us - search.since_us : 1;
}

/* Reports */

typedef struct verdict_list {
	ReportVerdict entries[AT_CRASH_VERDICTS_MAX];
	ReportVerdict *list[AT_CRASH_VERDICTS_MAX];
	size_t count;
	uint64_t now_us;
} verdict_list_t;

static uint32_t
age_ms(uint64_t since_us, uint64_t now_us)
{
	return now_us > since_us ? (uint32_t)((now_us - since_us) / US_PER_MS)
				 : 0;
}

static void
add_verdict(void *ctx, const at_crash_verdict_t *verdict)
{
	verdict_list_t *verdicts = ctx;
	ReportVerdict *entry = &verdicts->entries[verdicts->count];

	if (verdict->state != AT_CAUSE_BLOCKED &&
	    verdict->state != AT_CAUSE_LIFTED)
		return;
	report_verdict__init(entry);
	entry->part = verdict->part;
	entry->state = verdict->state;
	entry->crashes = verdict->crashes;
	entry->has_begun = verdict->has_begun;
	entry->age_ms = age_ms(verdict->since_us, verdicts->now_us);
	entry->remaining_ms = age_ms(verdicts->now_us, verdict->expires_us);
	verdicts->list[verdicts->count++] = entry;
}

/* Adds the blocks and lifted blocks. */
static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	static verdict_list_t verdicts;
	at_server_crashes_t *crashes = ctx;

	(void)is_to_all;
	if (!at_report_is_regular(kind))
		return;
	verdicts.count = 0;
	verdicts.now_us = at_clock_now_us();
	at_crash_causes_each(crashes->causes, add_verdict, &verdicts);
	report->n_verdicts = verdicts.count;
	report->verdicts = verdicts.list;
}

static int
fill_begun(at_server_crashes_t *crashes, Report *report, uint64_t now_us)
{
	static ReportBegun entries[BEGUN_PER_REPORT];
	static ReportBegun *list[BEGUN_PER_REPORT];
	at_part_begun_t begun[BEGUN_PER_REPORT];
	size_t count = at_crash_causes_take_begun(
	    crashes->causes, begun, BEGUN_PER_REPORT);
	size_t i;

	for (i = 0; i < count; i++) {
		report_begun__init(&entries[i]);
		entries[i].part = begun[i].part;
		entries[i].age_ms = age_ms(begun[i].begun_us, now_us);
		list[i] = &entries[i];
	}
	report->n_begun = count;
	report->begun = list;
	return count > 0;
}

/*
 * Adds as many requests as a report takes, or a piece of one with a long
 * prompt, and notes what the next report begins with.
 */
static void
fill_crash(crash_report_t *crash, Report *report, uint64_t now_us)
{
	static ReportCrashedRequest requests[REQUESTS_PER_REPORT];
	static ReportCrashedRequest *request_list[REQUESTS_PER_REPORT];
	static ReportCrash message;
	static ReportCrash *list[1];
	size_t left = PARTS_PER_REPORT;
	size_t count = 0;

	while (crash->next_request < crash->count && left > 0) {
		const at_request_parts_t *source =
		    &crash->requests[crash->next_request];
		ReportCrashedRequest *request = &requests[count];
		size_t parts = source->count - crash->next_part;

		if (parts > left)
			parts = left;
		report_crashed_request__init(request);
		request->request = source->request;
		request->first = (uint32_t)crash->next_part;
		request->n_parts = parts;
		request->parts =
		    parts == 0 ? NULL : source->parts + crash->next_part;
		request_list[count++] = request;
		left -= parts;
		crash->next_part += parts;
		if (crash->next_part == source->count) {
			crash->next_request++;
			crash->next_part = 0;
		}
	}
	if (crash->next_request == crash->count) {
		crash->next_request = 0;
		crash->is_due = 0;
		crash->reported++;
	}
	report_crash__init(&message);
	message.server = crash->incarnation;
	message.age_ms = age_ms(crash->crashed_us, now_us);
	message.n_requests = count;
	message.requests = request_list;
	list[0] = &message;
	report->n_crashes = 1;
	report->crashes = list;
}

/*
 * Adds the next crash or beginnings that are to be reported; returns zero if
 * there are none.
 */
static int
fill_updates(void *ctx, Report *report)
{
	static uint64_t trials[TRIALS_MAX];
	at_server_crashes_t *crashes = ctx;
	uint64_t now_us = at_clock_now_us();
	size_t i;

	memcpy(trials, crashes->trials, sizeof(trials));
	report->n_trials = crashes->trial_count;
	report->trials = trials;
	crashes->trial_count = 0;
	for (i = 0; i < crashes->report_count; i++) {
		crash_report_t *crash = crashes->reports[i];

		if (!crash->is_due)
			continue;
		fill_crash(crash, report, now_us);
		return 1;
	}
	return fill_begun(crashes, report, now_us) || report->n_trials > 0;
}

/* Crashes are reported again, as reports get lost. */
static void
end_round(void *ctx, uint64_t now_us, int is_direct_due)
{
	at_server_crashes_t *crashes = ctx;
	size_t i = 0;

	(void)now_us;
	if (!is_direct_due)
		return;
	while (i < crashes->report_count) {
		if (crashes->reports[i]->reported >= REPORT_TIMES)
			remove_report(crashes, i);
		else
			crashes->reports[i++]->is_due = 1;
	}
	send_reports(crashes);
}

static uint64_t
time_of(uint32_t since_ms, uint64_t now_us)
{
	uint64_t since_us = (uint64_t)since_ms * US_PER_MS;

	return since_us < now_us ? now_us - since_us : 1;
}

/* The parts before the first one that is told are in other reports. */
static void
read_request(const ReportCrashedRequest *source, at_request_parts_t *request)
{
	size_t first = source->first;
	size_t i;

	*request = (at_request_parts_t){.request = source->request};
	if (first + source->n_parts > PROMPT_PARTS_MAX || source->n_parts == 0)
		return;
	request->parts =
	    malloc((first + source->n_parts) * sizeof(*request->parts));
	if (request->parts == NULL)
		return;
	request->count = first + source->n_parts;
	for (i = 0; i < first; i++)
		request->parts[i] = AT_REQUEST_PART_NONE;
	memcpy(request->parts + first, source->parts,
	    source->n_parts * sizeof(*request->parts));
}

/* Returns non-zero if the crash, or a part of it, was not known. */
static int
apply_crash(
    at_server_crashes_t *crashes, const ReportCrash *message, uint64_t now_us)
{
	at_request_parts_t requests[REQUESTS_PER_REPORT] = {{0}};
	size_t count = 0;
	int is_new;

	while (count < message->n_requests && count < REQUESTS_PER_REPORT) {
		read_request(message->requests[count], &requests[count]);
		count++;
	}
	is_new = at_crash_causes_add_crash(crashes->causes, message->server,
	    requests, count, time_of(message->age_ms, now_us));
	clear_requests(requests, count);
	return is_new;
}

static int
apply_verdict(
    at_server_crashes_t *crashes, const ReportVerdict *message, uint64_t now_us)
{
	const at_crash_verdict_t verdict = {.part = message->part,
	    .state = message->state < AT_CAUSE_STATE_COUNT
			 ? (at_cause_state_t)message->state
			 : AT_CAUSE_CLEAR,
	    .crashes = message->crashes,
	    .has_begun = message->has_begun,
	    .since_us = time_of(message->age_ms, now_us),
	    .expires_us = now_us + (uint64_t)message->remaining_ms * US_PER_MS};

	return at_crash_causes_apply_verdict(crashes->causes, &verdict, now_us);
}

static void
apply_unordered(void *ctx, const Report *report)
{
	at_server_crashes_t *crashes = ctx;
	uint64_t now_us = at_clock_now_us();
	int is_new = 0;
	int is_changed = 0;
	size_t i;

	for (i = 0; i < report->n_crashes; i++)
		is_new |= apply_crash(crashes, report->crashes[i], now_us);
	for (i = 0; i < report->n_begun; i++)
		at_crash_causes_apply_begun(crashes->causes,
		    report->begun[i]->part,
		    time_of(report->begun[i]->age_ms, now_us));
	for (i = 0; i < report->n_trials; i++)
		at_crash_causes_note_trial(
		    crashes->causes, report->trials[i], now_us);
	for (i = 0; i < report->n_verdicts; i++)
		is_changed |=
		    apply_verdict(crashes, report->verdicts[i], now_us);
	if (is_changed)
		on_verdicts_changed(crashes);
	if (is_new) {
		/* Parts that have begun here are reported at once. */
		report_soon(crashes);
		decide(crashes);
	}
}

at_report_section_t
at_server_crashes_section(at_server_crashes_t *crashes)
{
	return (at_report_section_t){.fill = fill,
	    .apply_unordered = apply_unordered,
	    .end_round = end_round,
	    .ctx = crashes};
}
