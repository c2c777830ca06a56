#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "almondthread/log.h"
#include "entry/peers/gossip_impl.h"
#include "io/address.h"
#include "io/clock.h"

/* Time between two rounds of reports. */
#define REPORT_INTERVAL_US 100000u
#define LATE_ROUND_MS 300u /* a round that is later is logged */
#define US_PER_MS 1000u
/* Rounds between reports of demand to the lease's holder. */
#define DEMAND_REPORT_ROUNDS 3u
#define SOON_DELAY_S 0.004 /* delay of a report that was requested */
/* After its start an instance hears of the others before it takes a task. */
#define LISTEN_US 800000u
/* Age limit of the loads that an instance has reported. */
#define LOADS_MAX_AGE_US 1500000u
/* Age limit of the queues that an instance has reported. */
#define QUEUES_MAX_AGE_US 1000000u

at_gossip_t *
at_gossip_new(const at_gossip_deps_t *deps)
{
	at_gossip_t *gossip = calloc(1, sizeof(*gossip));

	if (gossip == NULL)
		return NULL;
	gossip->deps = *deps;
	gossip->fd = -1;
	gossip->paths = at_report_paths_new();
	if (gossip->paths == NULL) {
		free(gossip);
		return NULL;
	}
	return gossip;
}

void
at_gossip_add_section(at_gossip_t *gossip, const at_report_section_t *section)
{
	assert(gossip->section_count < AT_GOSSIP_SECTIONS_MAX);
	gossip->sections[gossip->section_count++] = *section;
}

void
at_gossip_delete(at_gossip_t *gossip)
{
	struct ev_loop *loop;

	if (gossip == NULL)
		return;
	loop = gossip->deps.loop;
	ev_timer_stop(loop, &gossip->timer);
	ev_timer_stop(loop, &gossip->soon_timer);
	ev_timer_stop(loop, &gossip->demand_timer);
	ev_timer_stop(loop, &gossip->origins_timer);
	if (gossip->fd >= 0) {
		ev_io_stop(loop, &gossip->readable);
		(void)close(gossip->fd);
	}
	at_report_paths_delete(gossip->paths);
	free(gossip);
}

static void
send_datagram_to(at_gossip_t *gossip, const char *address, size_t len)
{
	struct sockaddr_in addr;

	if (len == 0 || at_address_parse(address, &addr) != 0)
		return;
	if (sendto(gossip->fd, gossip->datagram, len, 0,
		(const struct sockaddr *)&addr, sizeof(addr)) < 0)
		at_counters_add(gossip->deps.counters, "reports_unsent_total",
		    "why", strerror(errno), 1);
}

void
gossip_send_datagram(
    at_gossip_t *gossip, const at_roster_member_t *member, size_t len)
{
	send_datagram_to(gossip, member->address, len);
}

void
gossip_count_sent(
    at_gossip_t *gossip, const char *kind, size_t datagrams, size_t len)
{
	at_counters_t *counters = gossip->deps.counters;

	if (datagrams == 0)
		return;
	at_counters_add(
	    counters, "report_datagrams_total", "kind", kind, datagrams);
	at_counters_add(
	    counters, "report_bytes_total", "kind", kind, datagrams * len);
}

typedef struct broadcast {
	at_gossip_t *gossip;
	size_t len;
	report_reach_t reach;
	at_tag_t except; /* instance that gets another report; 0: none */
	int is_special;
	uint64_t now_us;
	size_t near; /* datagrams sent in this data centre, and to others */
	size_t far;
} broadcast_t;

static int
is_addressed(const broadcast_t *broadcast, const at_roster_member_t *member)
{
	at_gossip_t *gossip = broadcast->gossip;
	int is_near = member->data_centre == gossip->deps.identity->data_centre;

	if (broadcast->reach == REPORT_ALL)
		return 1;
	if (is_near || broadcast->reach == REPORT_NEAR)
		return is_near && broadcast->reach != REPORT_REST;
	return at_report_paths_needs_direct(gossip->paths, member,
		   broadcast->is_special,
		   broadcast->now_us) == (broadcast->reach == REPORT_DIRECT);
}

static void
send_to_member(void *ctx, at_roster_member_t *member)
{
	broadcast_t *broadcast = ctx;

	if (member->tag == broadcast->except ||
	    !is_addressed(broadcast, member))
		return;
	gossip_send_datagram(broadcast->gossip, member, broadcast->len);
	if (member->data_centre ==
	    broadcast->gossip->deps.identity->data_centre)
		broadcast->near++;
	else
		broadcast->far++;
}

/*
 * All know these instances' state at once: the holder of the lease, a reader of
 * the platform's lists, one that leaves; and one that has ceased to be.
 */
static int
is_special(at_gossip_t *gossip, uint64_t now_us)
{
	int has_task = gossip->is_leaving;
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->is_special != NULL &&
		    section->is_special(section->ctx))
			has_task = 1;
	}
	if (has_task)
		gossip->task_until_us = now_us + AT_REPORT_URGENT_US;
	return now_us < gossip->task_until_us;
}

static void
send_encoded(
    at_gossip_t *gossip, size_t len, report_reach_t reach, at_tag_t except)
{
	uint64_t now_us = at_clock_now_us();
	broadcast_t broadcast = {gossip, len, reach, except,
	    is_special(gossip, now_us), now_us, 0, 0};

	at_roster_each(gossip->deps.roster, send_to_member, &broadcast);
	gossip_count_sent(gossip, "near", broadcast.near, len);
	gossip_count_sent(gossip, "far", broadcast.far, len);
}

void
gossip_send_near(at_gossip_t *gossip, const char *kind, size_t len)
{
	broadcast_t broadcast = {.gossip = gossip, .len = len};

	at_roster_each(gossip->deps.roster, send_to_member, &broadcast);
	gossip_count_sent(gossip, kind, broadcast.near, len);
}

void
gossip_send_report(at_gossip_t *gossip, at_report_kind_t kind,
    report_reach_t reach, at_tag_t except)
{
	size_t len;

	gossip->is_to_all = reach != REPORT_NEAR;
	len = report_encode(gossip, kind, NULL, NULL);
	if (len > 0)
		send_encoded(gossip, len, reach, except);
}

/*
 * Sends the demand to the holder of the lease; returns the holder's tag or 0.
 */
static at_tag_t
send_demand(at_gossip_t *gossip)
{
	const at_roster_member_t *holder =
	    at_roster_lease_holder(gossip->deps.roster, at_clock_now_us());
	size_t len;

	if (holder == NULL)
		return 0;
	len = report_encode(gossip, AT_REPORT_DEMAND, NULL, NULL);
	if (len > 0)
		gossip_send_datagram(gossip, holder, len);
	return holder->tag;
}

int
at_gossip_is_listening(const at_gossip_t *gossip)
{
	return at_clock_now_us() < gossip->started_us + LISTEN_US;
}

static void
on_member_removed(void *ctx, const at_roster_member_t *member)
{
	at_gossip_t *gossip = ctx;

	at_log(AT_LOG_INFO, "roster", NULL,
	    "instance left or silent for too long; removed instance=%s",
	    member->name.text);
	gossip->deps.on_removed(gossip->deps.ctx, member);
}

void
at_gossip_send_changes(
    at_gossip_t *gossip, void (*fill)(void *ctx, Report *report), void *ctx)
{
	size_t len;

	if (gossip->fd < 0)
		return;
	gossip->is_to_all = 0;
	len = report_encode(gossip, AT_REPORT_CHANGES, fill, ctx);
	if (len > 0)
		send_encoded(gossip, len, REPORT_NEAR, 0);
}

int
at_gossip_send_unnamed(
    at_gossip_t *gossip, int (*fill)(void *ctx, Report *report), void *ctx)
{
	Report report = REPORT__INIT;
	size_t len;

	if (gossip->fd < 0 || !fill(ctx, &report))
		return 0;
	len = report_pack(gossip, &report);
	if (len > 0)
		send_encoded(gossip, len, REPORT_ALL, 0);
	return len > 0;
}

static void
send_reports(at_gossip_t *gossip, uint32_t reporting, uint32_t outside,
    int is_direct_due)
{
	uint32_t near_rounds =
	    at_report_paths_near_rounds(reporting - 1u - outside);
	int is_header_due =
	    at_report_paths_is_header_due(outside, gossip->rounds);
	at_tag_t holder;

	/* All instances get the origins that are sent again. */
	if (is_header_due)
		origins_add_due(gossip);
	holder = gossip->rounds % DEMAND_REPORT_ROUNDS == 0
		     ? send_demand(gossip)
		     : 0;
	at_contention_set_report_interval(
	    gossip->deps.contention, near_rounds * REPORT_INTERVAL_US);
	if (is_direct_due || gossip->rounds % near_rounds == 0)
		gossip_send_report(gossip, AT_REPORT_COMMON,
		    is_direct_due ? REPORT_DIRECT : REPORT_NEAR, holder);
	if (is_header_due &&
	    at_report_paths_has_summaries(gossip->paths, reporting))
		gossip_send_report(
		    gossip, AT_REPORT_HEADER, REPORT_REST, holder);
	gossip->origin_count = 0;
}

/* The time beyond the interval since the last round. */
static void
note_lateness(at_gossip_t *gossip, uint64_t now_us)
{
	uint64_t late_ms = 0;

	if (gossip->round_us != 0 &&
	    now_us > gossip->round_us + REPORT_INTERVAL_US)
		late_ms = (now_us - gossip->round_us - REPORT_INTERVAL_US) /
			  US_PER_MS;
	gossip->round_us = now_us;
	at_counters_observe(
	    gossip->deps.counters, "round_late_ms", "of", "reports", late_ms);
	if (late_ms >= LATE_ROUND_MS)
		at_log(AT_LOG_INFO, "gossip", NULL,
		    "round of reports was late late_ms=%llu",
		    (unsigned long long)late_ms);
}

static void
begin_round(at_gossip_t *gossip, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->begin_round != NULL)
			section->begin_round(section->ctx, now_us);
	}
}

static void
end_round(at_gossip_t *gossip, uint64_t now_us, int is_direct_due)
{
	size_t i;

	for (i = 0; i < gossip->section_count; i++) {
		const at_report_section_t *section = &gossip->sections[i];

		if (section->end_round != NULL)
			section->end_round(section->ctx, now_us, is_direct_due);
	}
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_gossip_t *gossip = timer->data;
	const at_gossip_deps_t *deps = &gossip->deps;
	uint64_t now_us = at_clock_now_us();
	uint32_t reporting = at_roster_reporting_count(deps->roster, now_us);
	uint32_t present = at_roster_present_count(deps->roster);
	uint32_t outside = at_roster_count_outside(
	    deps->roster, deps->identity->data_centre, now_us);
	int is_direct_due;

	(void)loop;
	(void)events;
	note_lateness(gossip, now_us);
	gossip->rounds++;
	is_direct_due = at_report_paths_is_direct_due(gossip->rounds);
	begin_round(gossip, now_us);
	send_reports(gossip, reporting, outside, is_direct_due);
	summary_on_round(gossip, reporting, now_us);
	origins_on_round(gossip, now_us);
	at_roster_expire(deps->roster, now_us, on_member_removed, gossip);
	at_fleet_expire_reports(deps->fleet, now_us, LOADS_MAX_AGE_US);
	at_fleet_expire_removed(deps->fleet, now_us);
	at_quota_set_instances(deps->quota, present, reporting, now_us);
	at_contention_expire_reports(
	    deps->contention, now_us, QUEUES_MAX_AGE_US);
	end_round(gossip, now_us, is_direct_due);
}

static void
on_soon_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	gossip_send_report(timer->data, AT_REPORT_COMMON, REPORT_ALL, 0);
}

void
gossip_start_timer(at_gossip_t *gossip, ev_timer *timer, double after_s)
{
	if (gossip->fd < 0 || ev_is_active(timer))
		return;
	ev_timer_set(timer, after_s, 0.);
	ev_timer_start(gossip->deps.loop, timer);
}

void
at_gossip_send_soon(at_gossip_t *gossip)
{
	at_report_paths_note_change(gossip->paths, at_clock_now_us());
	gossip_start_timer(gossip, &gossip->soon_timer, SOON_DELAY_S);
}

static void
on_demand_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	(void)send_demand(timer->data);
}

void
at_gossip_send_demand_soon(at_gossip_t *gossip)
{
	gossip_start_timer(gossip, &gossip->demand_timer, SOON_DELAY_S);
}

void
at_gossip_send_to(
    at_gossip_t *gossip, const char *address, const Report *report)
{
	size_t len = report_pack(gossip, report);

	send_datagram_to(gossip, address, len);
	gossip_count_sent(gossip, "parts", 1, len);
}

void
at_gossip_send_named_to(at_gossip_t *gossip, const char *address,
    void (*fill)(void *ctx, Report *report), void *ctx)
{
	gossip->is_to_all = 1;
	send_datagram_to(gossip, address,
	    report_encode(gossip, AT_REPORT_CHANGES, fill, ctx));
}

at_report_paths_t *
at_gossip_paths(at_gossip_t *gossip)
{
	return gossip->paths;
}

void
at_gossip_send_leaving(at_gossip_t *gossip)
{
	gossip->is_leaving = 1;
	if (gossip->fd >= 0)
		gossip_send_report(gossip, AT_REPORT_COMMON, REPORT_ALL, 0);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_gossip_t *gossip = io->data;
	ssize_t len;

	(void)loop;
	(void)events;
	while ((len = recv(
		    gossip->fd, gossip->datagram, DATAGRAM_MAX_BYTES, 0)) > 0)
		report_apply_datagram(gossip, (size_t)len);
	gossip->deps.on_received(gossip->deps.ctx);
}

at_code_t
at_gossip_init(at_gossip_t *gossip, at_status_t *status)
{
	const char *address = gossip->deps.settings->peers;
	struct sockaddr_in addr;

	if (at_address_parse(address, &addr) != 0)
		return at_status_set(status, AT_INVALID,
		    "--peers: expected IP:PORT, not '%s'", address);
	gossip->fd =
	    socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
	if (gossip->fd < 0 ||
	    bind(gossip->fd, (const struct sockaddr *)&addr, sizeof(addr)) != 0)
		return at_status_set(status, AT_FAILED,
		    "--peers: cannot receive datagrams on %s: %s", address,
		    strerror(errno));
	ev_io_init(&gossip->readable, on_readable, gossip->fd, EV_READ);
	gossip->readable.data = gossip;
	ev_io_start(gossip->deps.loop, &gossip->readable);
	ev_timer_init(&gossip->timer, on_timer, REPORT_INTERVAL_US / 1e6,
	    REPORT_INTERVAL_US / 1e6);
	gossip->timer.data = gossip;
	ev_timer_start(gossip->deps.loop, &gossip->timer);
	/* All learn of this instance. */
	at_report_paths_note_change(gossip->paths, at_clock_now_us());
	ev_timer_init(&gossip->soon_timer, on_soon_timer, SOON_DELAY_S, 0.);
	gossip->soon_timer.data = gossip;
	ev_timer_init(&gossip->demand_timer, on_demand_timer, SOON_DELAY_S, 0.);
	gossip->demand_timer.data = gossip;
	origins_init(gossip);
	return AT_OK;
}
