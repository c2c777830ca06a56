/*
 * server_cold.c - which engines are cold, and how many instances may send them
 * requests at which rate.
 *
 * The load pattern: a data centre of engines returns at once, each without a
 * request and cold. Every instance sees all of them idle and would send there
 * whatever arrives, several times of what a cold engine survives, while the
 * reports that would show the load are some 100 ms old.
 *
 * What all instances send to a cold engine in one second is bounded by
 * cold_per_s x overage + tolerance. An instance that may send has a part of the
 * rate and may have saved up one request, so a group of k instances that agree
 * on who may send sends at most k and the rate. Instances may disagree, as two
 * disjoint groups or before and after a change, so a group uses half of the
 * bound.
 */
#include "core/fleet/fleet_private.h"

#define MILLI 1000u
#define US_PER_MS 1000u
/* Groups of instances that may disagree on who may send. */
#define GROUPS 2u
/*
 * Part of the rate that is used: requests may be 100 ms under way, for which
 * the bound needs a tenth of the rate of both groups.
 */
#define USED_PERCENT 90u
/* Part of the bound beyond one sender's saved request that is the rate. */
#define RATE_PERCENT 75u
/*
 * The part of the rate ends AT_ROSTER_REPORT_TIMEOUT_US after the reports that
 * it rests on, which may be AT_ROSTER_TOUCH_US old.
 */
#define SHARE_VALID_US (AT_ROSTER_REPORT_TIMEOUT_US - AT_ROSTER_TOUCH_US)
/*
 * A report states the remaining time as of when it was sent. A time that is
 * passed on from report to report would grow by the age of each; it is taken
 * only if it is longer than what is known by more than this.
 */
#define REPORT_AGE_MAX_US AT_ROSTER_TOUCH_US
/*
 * Largest difference between the clocks of a server and of this machine: that
 * of the platform, bounds.max_skew_ms.
 */
#define CLOCK_SKEW_MAX_MS 6000u

const char *const at_cold_source_names[] = {
    "none", "start", "assumed", "entry", "answer", "unreachable"};

/* Returns what a group may send in a second, in thousandths of a request. */
static uint32_t
group_milli(const at_fleet_t *fleet, uint32_t per_s_milli)
{
	double milli = (per_s_milli * fleet->cold_overage +
			   fleet->cold_tolerance * MILLI) /
		       GROUPS;

	return milli >= UINT32_MAX ? UINT32_MAX : (uint32_t)milli;
}

void
server_cold_set_service(const at_fleet_t *fleet, at_server_t *server)
{
	const at_site_service_t *service =
	    fleet->site == NULL
		? NULL
		: at_site_find_service(fleet->site, server->entry.service);
	server_cold_t *cold = &server->cold;

	/* One that the configuration lacks finishes its requests as before. */
	if (service == NULL)
		return;
	cold->has_service = 1;
	cold->start_ms = service->cold_start_ms;
	cold->per_s_milli = fleet->has_cold_bound ? service->cold_milli : 0;
	cold->group_milli = group_milli(fleet, cold->per_s_milli);
}

server_cold_plan_t
server_cold_plan(uint32_t per_s_milli, uint32_t group_milli, uint32_t instances)
{
	server_cold_plan_t plan = {0, 0};
	uint32_t rate;

	/* One request at a time is more than a group may send in a second. */
	if (group_milli <= MILLI || instances == 0)
		return plan;
	rate =
	    (uint32_t)((uint64_t)(group_milli - MILLI) * RATE_PERCENT / 100u);
	if (rate > per_s_milli)
		rate = per_s_milli;
	plan.senders = (group_milli - rate) / MILLI;
	if (plan.senders > instances)
		plan.senders = instances;
	rate = group_milli - plan.senders * MILLI;
	if (rate > per_s_milli)
		rate = per_s_milli;
	plan.rate_milli = (uint32_t)((uint64_t)rate * USED_PERCENT / 100u);
	return plan;
}

void
server_cold_note_entry(
    server_cold_t *cold, const at_server_entry_t *entry, int is_new)
{
	if (!entry->has_warmup && !is_new)
		return;
	cold->has_pending = 1;
	cold->pending_source =
	    entry->has_warmup ? AT_COLD_ENTRY : AT_COLD_START;
	cold->pending_ms = entry->warmup_ms;
	cold->age_ms = entry->listed_ms > entry->started_ms
			   ? entry->listed_ms - entry->started_ms
			   : 0;
}

static void
set_until(server_cold_t *cold, at_cold_source_t source, uint64_t until_us,
    uint64_t now_us)
{
	cold->source = source;
	cold->until_us = until_us;
	cold->noted_us = now_us;
}

static void
assume(server_cold_t *cold, uint64_t now_us)
{
	uint64_t until_us = now_us + (uint64_t)cold->start_ms * US_PER_MS;

	if (cold->start_ms != 0 && until_us > cold->until_us)
		set_until(cold, AT_COLD_ASSUMED, until_us, now_us);
}

/* Returns for how long an entry makes the engine cold, from now on. */
static uint32_t
pending_ms(const server_cold_t *cold)
{
	if (cold->pending_source == AT_COLD_ENTRY)
		return cold->pending_ms;
	/* One that has started long ago is only new to this instance. */
	return cold->age_ms > (uint64_t)cold->start_ms + CLOCK_SKEW_MAX_MS
		   ? 0
		   : cold->start_ms;
}

/* The time that an entry states counts from when it is first looked at. */
static void
take_pending(server_cold_t *cold, uint64_t now_us)
{
	uint64_t until_us;

	if (!cold->has_pending ||
	    (cold->pending_source == AT_COLD_START && !cold->has_service))
		return;
	cold->has_pending = 0;
	cold->unreachable_until_us = 0;
	until_us = now_us + (uint64_t)pending_ms(cold) * US_PER_MS;
	/* An entry may be older than an answer that came before it. */
	if (until_us <= cold->answer_until_us)
		set_until(cold, AT_COLD_ANSWER, cold->answer_until_us, now_us);
	else if (now_us < until_us || now_us < cold->until_us)
		set_until(cold, cold->pending_source, until_us, now_us);
}

static uint64_t
cold_until_us(const server_cold_t *cold)
{
	return cold->until_us > cold->unreachable_until_us
		   ? cold->until_us
		   : cold->unreachable_until_us;
}

void
server_cold_settle(at_server_t *server, uint64_t now_us)
{
	server_cold_t *cold = &server->cold;
	uint64_t until_us;

	take_pending(cold, now_us);
	until_us = cold->per_s_milli == 0 ? 0 : cold_until_us(cold);
	if (until_us != server->limit.cold_until_us)
		server_limit_set_cold(&server->limit, until_us, now_us);
}

/* Takes what an answer has stated; returns whether it is cold since or not. */
static int
set_answer(
    at_server_t *server, uint64_t until_us, uint64_t stated_us, uint64_t now_us)
{
	server_cold_t *cold = &server->cold;
	int was_cold = now_us < cold_until_us(cold);

	cold->answer_until_us = until_us;
	cold->answer_us = stated_us;
	cold->unreachable_until_us = 0;
	set_until(cold, AT_COLD_ANSWER, until_us, now_us);
	server_cold_settle(server, now_us);
	return was_cold != (now_us < until_us);
}

int
at_server_note_cold(at_server_t *server, uint32_t remaining_ms,
    uint64_t stated_us, uint64_t now_us)
{
	server_cold_t *cold = &server->cold;

	server_cold_settle(server, now_us);
	if (stated_us <= cold->stated_us)
		return 0;
	cold->stated_us = stated_us;
	/* What has been noted since the request was sent is newer. */
	if (remaining_ms == 0 &&
	    (now_us >= cold_until_us(cold) || stated_us <= cold->noted_us))
		return 0;
	return set_answer(server,
	    stated_us + (uint64_t)remaining_ms * US_PER_MS, stated_us, now_us);
}

void
server_cold_note_unreachable(at_server_t *server, uint64_t now_us)
{
	server_cold_t *cold = &server->cold;

	server_cold_settle(server, now_us);
	cold->unreachable_until_us =
	    now_us + (uint64_t)cold->start_ms * US_PER_MS;
	cold->noted_us = now_us;
	server_cold_settle(server, now_us);
}

void
server_cold_forget_unreachable(server_cold_t *cold)
{
	cold->unreachable_until_us = 0;
}

void
at_fleet_note_maybe_cold(
    at_fleet_t *fleet, at_tag_t data_centre, uint64_t now_us)
{
	at_server_t *server;

	for (server = fleet->servers; server != NULL;
	     server = server->hh.next) {
		if (server->entry.data_centre != data_centre)
			continue;
		server_cold_settle(server, now_us);
		assume(&server->cold, now_us);
		server_cold_settle(server, now_us);
	}
}

void
at_fleet_set_cold_bound(at_fleet_t *fleet, double overage, double tolerance)
{
	at_server_t *server;

	fleet->has_cold_bound =
	    overage < AT_COLD_NO_BOUND && tolerance < AT_COLD_NO_BOUND;
	fleet->cold_overage = overage;
	fleet->cold_tolerance = tolerance;
	for (server = fleet->servers; server != NULL; server = server->hh.next)
		server_cold_set_service(fleet, server);
}

int
at_server_is_cold(at_server_t *server, uint64_t now_us)
{
	server_cold_settle(server, now_us);
	return now_us < server->limit.cold_until_us;
}

int
at_server_mark_cold(at_server_t *server, int is_cold)
{
	int was_cold = server->cold.is_marked;

	server->cold.is_marked = is_cold;
	return was_cold;
}

uint32_t
at_server_cold_ms(const at_server_t *server, uint64_t now_us)
{
	return server->limit.cold_until_us <= now_us
		   ? 0
		   : (uint32_t)((server->limit.cold_until_us - now_us) /
				US_PER_MS) +
			 1u;
}

at_cold_source_t
at_server_cold_source(const at_server_t *server)
{
	return server->cold.unreachable_until_us > server->cold.until_us
		   ? AT_COLD_UNREACHABLE
		   : server->cold.source;
}

uint32_t
at_server_cold_share_milli(const at_server_t *server)
{
	return server->limit.cold_share_milli;
}

void
at_server_share_cold(at_server_t *server, const at_roster_t *roster,
    at_tag_t own, int is_sending, uint64_t now_us)
{
	server_cold_plan_t plan = {0, 0};
	uint32_t named = server_limit_named_milli(&server->limit);
	uint32_t rank = 0;
	uint32_t instances = 0;
	uint32_t share = 0;

	if (!at_server_is_cold(server, now_us))
		return;
	if (is_sending &&
	    at_roster_rank_at(roster, own, server->entry.data_centre,
		server->entry.tag, now_us, &rank, &instances))
		plan = server_cold_plan(server->cold.per_s_milli,
		    server->cold.group_milli, instances);
	if (named != 0 && plan.rate_milli > named)
		plan.rate_milli = named;
	if (rank < plan.senders)
		share = plan.rate_milli / plan.senders;
	server_limit_set_cold_share(
	    &server->limit, share, now_us + SHARE_VALID_US, now_us);
}

int
at_server_take_relayed(at_server_t *server, uint64_t now_us)
{
	if (!at_server_is_cold(server, now_us))
		return 1;
	if (!server_limit_allows(&server->limit, now_us))
		return 0;
	server_limit_take(&server->limit, now_us);
	return 1;
}

size_t
at_fleet_fill_cold(const at_fleet_t *fleet, at_cold_report_t *entries,
    size_t max, uint64_t now_us)
{
	const at_server_t *server;
	size_t count = 0;

	for (server = fleet->servers; server != NULL && count < max;
	     server = server->hh.next) {
		const server_cold_t *cold = &server->cold;

		if (!server->is_listed || now_us >= cold->answer_until_us ||
		    now_us < cold->answer_us)
			continue;
		entries[count++] = (at_cold_report_t){server->entry.tag,
		    server->entry.started_ms,
		    (uint32_t)((cold->answer_until_us - now_us) / US_PER_MS) +
			1u,
		    cold->answer_us};
	}
	return count;
}

int
at_fleet_apply_cold(
    at_fleet_t *fleet, const at_cold_report_t *report, uint64_t now_us)
{
	at_server_t *server = at_fleet_find(fleet, report->server);
	uint64_t until_us = now_us + (uint64_t)report->remaining_ms * US_PER_MS;

	/* One of an earlier incarnation says nothing about this one. */
	if (server == NULL || report->started_ms < server->entry.started_ms)
		return 0;
	server_cold_settle(server, now_us);
	if (report->stated_us <= server->cold.stated_us ||
	    until_us <= cold_until_us(&server->cold) + REPORT_AGE_MAX_US)
		return 0;
	return set_answer(server, until_us, report->stated_us, now_us);
}

uint32_t
at_fleet_count_cold(at_fleet_t *fleet, uint64_t now_us)
{
	at_server_t *server;
	uint32_t count = 0;

	for (server = fleet->servers; server != NULL; server = server->hh.next)
		count += (uint32_t)(server->is_listed &&
				    at_server_is_cold(server, now_us));
	return count;
}
