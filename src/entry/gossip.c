#include <errno.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "almondthread/log.h"
#include "almondthread/reassembly.h"
#include "almondthread/roster.h"
#include "entry/server_crashes.h"
#include "entry/server_notices.h"
#include "entry/gossip_impl.h"
#include "entry/join.h"
#include "entry/orders.h"
#include "entry/retry_budgets.h"
#include "entry/sync.h"
#include "entry/version_record.h"
#include "io/address.h"
#include "io/clock.h"
#include "platform/server_decode.h"

/* Time between two rounds of reports. */
#define REPORT_INTERVAL_US 100000u
#define LATE_ROUND_MS 300u /* a round that is later is logged */
#define US_PER_MS 1000u
/* Rounds between reports of demand to the lease's holder. */
#define DEMAND_REPORT_ROUNDS 3u
#define SOON_DELAY_S 0.004 /* delay of a report that was requested */
/* Changes to the list within this time are sent in one report. */
#define SERVERS_BATCH_DELAY_S 0.002
/* What an object stands for that names no server. */
#define NO_SERVER "null"
/* A larger difference of the configuration is sent in parts. */
#define CONFIG_CHANGE_MAX_BYTES AT_PART_BYTES
/* Texts of servers in one report; what is larger is sent in parts. */
#define SERVERS_MAX_BYTES (3u * AT_PART_BYTES)
/* Rounds between two checks of what the platform has. */
#define CHECK_ROUNDS 8u
/* After its start an instance hears of the others before it takes a task. */
#define LISTEN_US 800000u
/* Age limit of the loads that an instance has reported. */
#define LOADS_MAX_AGE_US 1500000u
/* Age limit of the queues that an instance has reported. */
#define QUEUES_MAX_AGE_US 1000000u

at_gossip_t *
at_gossip_new(at_entry_t *entry)
{
	at_gossip_t *gossip = calloc(1, sizeof(*gossip));

	if (gossip == NULL)
		return NULL;
	gossip->entry = entry;
	gossip->fd = -1;
	gossip->paths = at_report_paths_new();
	gossip->config_text = at_config_text_new();
	if (gossip->paths == NULL || gossip->config_text == NULL) {
		at_gossip_delete(gossip);
		return NULL;
	}
	return gossip;
}

static void
object_report_free(object_report_t *object)
{
	free(object->name);
	free(object->spec);
	memset(object, 0, sizeof(*object));
}

/* Returns -1 if out of memory. */
static int
object_report_set(object_report_t *object, const char *name, uint64_t version,
    const char *text, size_t len)
{
	object->name = strdup(name);
	object->version = version;
	object->spec = text == NULL ? NULL : strndup(text, len);
	if (object->name != NULL && (object->spec != NULL || text == NULL))
		return 0;
	object_report_free(object);
	return -1;
}

static void
clear_servers(at_gossip_t *gossip)
{
	size_t i;

	for (i = 0; i < gossip->server_count; i++)
		object_report_free(&gossip->servers[i]);
	gossip->server_count = 0;
	gossip->server_bytes = 0;
	gossip->has_more_servers = 0;
}

void
at_gossip_delete(at_gossip_t *gossip)
{
	struct ev_loop *loop;

	if (gossip == NULL)
		return;
	loop = gossip->entry->loop;
	ev_timer_stop(loop, &gossip->timer);
	ev_timer_stop(loop, &gossip->soon_timer);
	ev_timer_stop(loop, &gossip->demand_timer);
	ev_timer_stop(loop, &gossip->servers_timer);
	ev_timer_stop(loop, &gossip->crashes_timer);
	ev_timer_stop(loop, &gossip->origins_timer);
	clear_servers(gossip);
	if (gossip->fd >= 0) {
		ev_io_stop(loop, &gossip->readable);
		(void)close(gossip->fd);
	}
	at_report_paths_delete(gossip->paths);
	at_config_text_delete(gossip->config_text);
	free(gossip);
}

void
gossip_send_datagram(
    at_gossip_t *gossip, const at_roster_member_t *member, size_t len)
{
	struct sockaddr_in addr;

	if (at_address_parse(member->address, &addr) != 0)
		return;
	if (sendto(gossip->fd, gossip->datagram, len, 0,
		(const struct sockaddr *)&addr, sizeof(addr)) < 0)
		at_counters_add(gossip->entry->counters, "reports_unsent_total",
		    "why", strerror(errno), 1);
}

void
gossip_count_sent(
    at_gossip_t *gossip, const char *kind, size_t datagrams, size_t len)
{
	at_counters_t *counters = gossip->entry->counters;

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
	int is_near = member->data_centre == gossip->entry->identity.data_centre;

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
	if (member->data_centre == broadcast->gossip->entry->identity.data_centre)
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
	if (at_orders_io_fence(gossip->entry->orders) != 0 ||
	    at_sync_is_reader(gossip->entry->sync) || gossip->is_leaving)
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

	at_roster_each(gossip->entry->roster, send_to_member, &broadcast);
	gossip_count_sent(gossip, "near", broadcast.near, len);
	gossip_count_sent(gossip, "far", broadcast.far, len);
}

void
gossip_send_near(at_gossip_t *gossip, const char *kind, size_t len)
{
	broadcast_t broadcast = {.gossip = gossip, .len = len};

	at_roster_each(gossip->entry->roster, send_to_member, &broadcast);
	gossip_count_sent(gossip, kind, broadcast.near, len);
}

void
gossip_send_report(at_gossip_t *gossip, report_kind_t kind,
    report_reach_t reach, at_tag_t except)
{
	size_t len;

	gossip->is_to_all = reach != REPORT_NEAR;
	len = report_encode(gossip, kind);
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
	    at_roster_lease_holder(gossip->entry->roster, at_clock_now_us());
	size_t len;

	if (holder == NULL)
		return 0;
	len = report_encode(gossip, REPORT_DEMAND);
	if (len > 0)
		gossip_send_datagram(gossip, holder, len);
	return holder->tag;
}

int
at_gossip_is_listening(const at_gossip_t *gossip)
{
	return at_clock_now_us() < gossip->started_us + LISTEN_US;
}

/* Decides which shared tasks this instance owns. */
static void
assign_tasks(at_gossip_t *gossip, uint64_t now_us)
{
	at_entry_t *entry = gossip->entry;
	int is_reader;

	at_sync_check_confirmation(entry->sync);
	if (at_gossip_is_listening(gossip))
		return;
	is_reader = at_roster_is_task_owner(entry->roster, entry->identity.data_centre,
	    0, at_entry_is_platform_away(entry), now_us);
	/* The reader continues until another instance reads. */
	if (at_sync_is_reader(entry->sync) &&
	    !at_roster_has_reader(entry->roster, entry->identity.data_centre, now_us))
		is_reader = 1;
	at_sync_set_reader(entry->sync, is_reader);
	if (gossip->rounds % CHECK_ROUNDS == 0 &&
	    at_sync_is_reader(entry->sync))
		at_sync_check(entry->sync);
}

/* Only the holder of the lease deletes the objects of removed instances. */
static void
on_member_removed(void *ctx, const at_roster_member_t *member)
{
	at_gossip_t *gossip = ctx;

	at_log(AT_LOG_INFO, "roster", NULL,
	    "instance left or silent for too long; removed instance=%s",
	    member->name.text);
	if (at_orders_io_fence(gossip->entry->orders) != 0)
		at_join_remove(gossip->entry->join, &member->name);
}

static void
send_crashes(at_gossip_t *gossip)
{
	size_t len;

	while ((len = report_encode(gossip, REPORT_CRASHES)) > 0)
		send_encoded(gossip, len, REPORT_ALL, 0);
}

static void
on_crashes_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_crashes(timer->data);
}

void
at_gossip_send_crashes_soon(at_gossip_t *gossip)
{
	gossip_start_timer(gossip, &gossip->crashes_timer, SOON_DELAY_S);
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
	    gossip->entry->contention, near_rounds * REPORT_INTERVAL_US);
	if (is_direct_due || gossip->rounds % near_rounds == 0)
		gossip_send_report(gossip, REPORT_COMMON,
		    is_direct_due ? REPORT_DIRECT : REPORT_NEAR, holder);
	if (is_header_due &&
	    at_report_paths_has_summaries(gossip->paths, reporting))
		gossip_send_report(gossip, REPORT_HEADER, REPORT_REST, holder);
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
	    gossip->entry->counters, "round_late_ms", "of", "reports", late_ms);
	if (late_ms >= LATE_ROUND_MS)
		at_log(AT_LOG_INFO, "gossip", NULL,
		    "round of reports was late late_ms=%llu",
		    (unsigned long long)late_ms);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_gossip_t *gossip = timer->data;
	at_entry_t *entry = gossip->entry;
	uint64_t now_us = at_clock_now_us();
	uint32_t reporting = at_roster_reporting_count(entry->roster, now_us);
	uint32_t present = at_roster_present_count(entry->roster);
	uint32_t outside =
	    at_roster_count_outside(entry->roster, entry->identity.data_centre, now_us);
	int is_direct_due;

	(void)loop;
	(void)events;
	note_lateness(gossip, now_us);
	gossip->rounds++;
	is_direct_due = at_report_paths_is_direct_due(gossip->rounds);
	assign_tasks(gossip, now_us);
	send_reports(gossip, reporting, outside, is_direct_due);
	summary_on_round(gossip, reporting, now_us);
	origins_on_round(gossip, now_us);
	if (is_direct_due) {
		at_server_crashes_on_round(entry->crashes);
		send_crashes(gossip);
	}
	at_roster_expire(entry->roster, now_us, on_member_removed, gossip);
	at_fleet_expire_reports(entry->fleet, now_us, LOADS_MAX_AGE_US);
	at_fleet_expire_removed(entry->fleet, now_us);
	at_quota_set_instances(entry->quota, present, reporting, now_us);
	at_contention_expire_reports(
	    entry->contention, now_us, QUEUES_MAX_AGE_US);
	at_retry_budgets_set_instances(entry->retries, present);
	at_server_notices_on_round(entry, now_us);
	at_version_record_on_round(entry->version_record, now_us);
}

static void
on_soon_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	gossip_send_report(timer->data, REPORT_COMMON, REPORT_ALL, 0);
}

void
gossip_start_timer(at_gossip_t *gossip, ev_timer *timer, double after_s)
{
	if (gossip->fd < 0 || ev_is_active(timer))
		return;
	ev_timer_set(timer, after_s, 0.);
	ev_timer_start(gossip->entry->loop, timer);
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

/* Leaves only the urgent ones. */
static void
keep_urgent_servers(at_gossip_t *gossip)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < gossip->server_count; i++) {
		if (!gossip->servers[i].is_urgent)
			object_report_free(&gossip->servers[i]);
		else if (count++ != i)
			gossip->servers[count - 1] = gossip->servers[i];
	}
	gossip->server_count = count;
}

static void
send_servers(at_gossip_t *gossip)
{
	if (gossip->has_more_servers)
		keep_urgent_servers(gossip);
	if (gossip->server_count > 0)
		gossip_send_report(gossip, REPORT_SERVERS, REPORT_NEAR, 0);
	if (gossip->has_more_servers)
		at_documents_spread(at_sync_documents(gossip->entry->sync),
		    AT_DOCUMENT_SERVERS, gossip->servers_from);
	clear_servers(gossip);
}

static void
on_servers_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_servers(timer->data);
}

/* Returns the place of an object, or NULL if the report is full. */
static object_report_t *
find_server_place(at_gossip_t *gossip, size_t len, int is_urgent)
{
	size_t i;

	if (gossip->server_count < SERVERS_MAX &&
	    gossip->server_bytes + len <= SERVERS_MAX_BYTES) {
		gossip->server_bytes += len;
		return &gossip->servers[gossip->server_count++];
	}
	gossip->has_more_servers = 1;
	for (i = 0; is_urgent && i < gossip->server_count; i++) {
		if (!gossip->servers[i].is_urgent) {
			object_report_free(&gossip->servers[i]);
			return &gossip->servers[i];
		}
	}
	return NULL;
}

void
at_gossip_send_server(at_gossip_t *gossip, const char *name, uint64_t version,
    const char *text, size_t len, int is_leaving)
{
	int is_urgent = is_leaving || text == NULL;
	object_report_t *object;

	if (gossip->fd < 0)
		return;
	if (gossip->server_count == 0 && !gossip->has_more_servers)
		gossip->servers_from =
		    at_sync_servers_base(gossip->entry->sync);
	gossip_start_timer(
	    gossip, &gossip->servers_timer, SERVERS_BATCH_DELAY_S);
	/* All that matters of one that names no server is its version. */
	if (len > AT_SERVER_TEXT_MAX_BYTES) {
		text = NO_SERVER;
		len = strlen(NO_SERVER);
	}
	object = find_server_place(gossip, len, is_urgent);
	if (object == NULL)
		return;
	if (object_report_set(object, name, version, text, len) != 0) {
		gossip->has_more_servers = 1;
		*object = gossip->servers[--gossip->server_count];
		return;
	}
	object->is_urgent = is_urgent;
}

/* Returns non-zero if the difference is small enough for one report. */
static int
send_config_change(at_gossip_t *gossip, const char *name, uint64_t version)
{
	ReportServer message = REPORT_SERVER__INIT;
	size_t size;

	message.name = (char *)(uintptr_t)name;
	message.version = version;
	size = at_config_text_fill(gossip->config_text, &message);
	if (size == 0 || size > CONFIG_CHANGE_MAX_BYTES)
		return 0;
	gossip->config_change = &message;
	gossip_send_report(gossip, REPORT_CONFIG_CHANGE, REPORT_NEAR, 0);
	gossip->config_change = NULL;
	return 1;
}

void
at_gossip_note_config(at_gossip_t *gossip, const char *name, uint64_t version,
    const char *text, size_t len, int is_reader)
{
	uint64_t previous = at_config_text_version(gossip->config_text);

	if (at_config_text_set(gossip->config_text, version, text, len) != 0 ||
	    !is_reader || gossip->fd < 0)
		return;
	if (!send_config_change(gossip, name, version))
		at_documents_spread(at_sync_documents(gossip->entry->sync),
		    AT_DOCUMENT_CONFIG, previous);
}

at_config_text_t *
at_gossip_config_text(at_gossip_t *gossip)
{
	return gossip->config_text;
}

void
at_gossip_send_to(
    at_gossip_t *gossip, const char *address, const Report *report)
{
	struct sockaddr_in addr;
	size_t len = report_pack(gossip, report);

	if (len == 0 || at_address_parse(address, &addr) != 0)
		return;
	if (sendto(gossip->fd, gossip->datagram, len, 0,
		(const struct sockaddr *)&addr, sizeof(addr)) < 0)
		at_counters_add(gossip->entry->counters, "reports_unsent_total",
		    "why", strerror(errno), 1);
	gossip_count_sent(gossip, "parts", 1, len);
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
		gossip_send_report(gossip, REPORT_COMMON, REPORT_ALL, 0);
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
	at_entry_place_queued(gossip->entry);
}

at_code_t
at_gossip_init(at_gossip_t *gossip, at_status_t *status)
{
	const char *address = gossip->entry->settings.peers;
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
	ev_io_start(gossip->entry->loop, &gossip->readable);
	ev_timer_init(&gossip->timer, on_timer, REPORT_INTERVAL_US / 1e6,
	    REPORT_INTERVAL_US / 1e6);
	gossip->timer.data = gossip;
	ev_timer_start(gossip->entry->loop, &gossip->timer);
	/* All learn of this instance. */
	at_report_paths_note_change(gossip->paths, at_clock_now_us());
	ev_timer_init(&gossip->soon_timer, on_soon_timer, SOON_DELAY_S, 0.);
	gossip->soon_timer.data = gossip;
	ev_timer_init(&gossip->demand_timer, on_demand_timer, SOON_DELAY_S, 0.);
	gossip->demand_timer.data = gossip;
	ev_timer_init(&gossip->servers_timer, on_servers_timer,
	    SERVERS_BATCH_DELAY_S, 0.);
	gossip->servers_timer.data = gossip;
	ev_timer_init(
	    &gossip->crashes_timer, on_crashes_timer, SOON_DELAY_S, 0.);
	gossip->crashes_timer.data = gossip;
	origins_init(gossip);
	return AT_OK;
}
