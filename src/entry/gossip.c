#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/gossip_impl.h"
#include "entry/join.h"
#include "entry/orders.h"
#include "entry/retry_budgets.h"
#include "entry/sync.h"
#include "io/address.h"
#include "io/clock.h"

#define REPORT_EVERY_S 0.1     /* within the data centre, and to the holder */
#define DEMAND_EVERY 3u        /* of those tell the holder what is asked for */
#define FAR_EVERY 4u           /* of those go to other data centres */
#define SOON_S 0.004           /* a report that is asked for */
#define SERVERS_S 0.002        /* changes that come together go together */
#define CONFIG_TOLD_MAX 50000u /* bytes of a configuration that is told */
#define CONFIG_LINK_MBPS 100u  /* of a link that can tell it to all at once */
#define LOOK_EVERY 8u          /* rounds between two looks at the config */
#define LOADS_FORGET_US 1500000u  /* loads of an instance that is silent */
#define QUEUES_FORGET_US 1000000u /* the same for what waits there */

at_gossip_t *
at_gossip_new(at_entry_t *entry)
{
	at_gossip_t *gossip = calloc(1, sizeof(*gossip));

	if (gossip == NULL)
		return NULL;
	gossip->entry = entry;
	gossip->fd = -1;
	return gossip;
}

static void
told_object_free(told_object_t *told)
{
	free(told->name);
	free(told->spec);
	memset(told, 0, sizeof(*told));
}

/* Returns -1 without memory. */
static int
told_object_set(
    told_object_t *told, const char *name, uint64_t version, const json_t *spec)
{
	told->name = strdup(name);
	told->version = version;
	told->spec = spec == NULL
			 ? NULL
			 : json_dumps(spec, JSON_COMPACT | JSON_ENCODE_ANY);
	if (told->name != NULL && (told->spec != NULL || spec == NULL))
		return 0;
	told_object_free(told);
	return -1;
}

static void
forget_told(at_gossip_t *gossip)
{
	size_t i;

	for (i = 0; i < gossip->server_count; i++)
		told_object_free(&gossip->servers[i]);
	gossip->server_count = 0;
}

void
at_gossip_delete(at_gossip_t *gossip)
{
	struct ev_loop *loop;

	if (gossip == NULL)
		return;
	loop = gossip->entry->loop;
	ev_timer_stop(loop, &gossip->timer);
	ev_timer_stop(loop, &gossip->soon);
	ev_timer_stop(loop, &gossip->want);
	ev_timer_stop(loop, &gossip->servers_timer);
	forget_told(gossip);
	if (gossip->fd >= 0) {
		ev_io_stop(loop, &gossip->readable);
		(void)close(gossip->fd);
	}
	free(gossip);
}

static void
send_one(at_gossip_t *gossip, const at_roster_member_t *member, size_t len)
{
	struct sockaddr_in addr;

	if (at_address_parse(member->address, &addr) != 0)
		return;
	if (sendto(gossip->fd, gossip->datagram, len, 0,
		(const struct sockaddr *)&addr, sizeof(addr)) < 0)
		at_counters_add(gossip->entry->counters, "reports_unsent_total",
		    "why", strerror(errno), 1);
}

typedef struct sending {
	at_gossip_t *gossip;
	size_t len;
	int far_too;
	at_tag_t but; /* who gets another one; 0: nobody */
} sending_t;

static void
send_to(void *ctx, at_roster_member_t *member)
{
	const sending_t *s = ctx;

	if (member->tag == s->but)
		return;
	if (s->far_too || member->data_centre == s->gossip->entry->data_centre)
		send_one(s->gossip, member, s->len);
}

static void
send_report(at_gossip_t *gossip, report_kind_t kind, int far_too, at_tag_t but)
{
	sending_t s = {gossip, report_pack(gossip, kind), far_too, but};

	if (s.len > 0)
		at_roster_each(gossip->entry->roster, send_to, &s);
}

/* Tells the holder of the lease what is asked for; returns who that is. */
static at_tag_t
send_demand(at_gossip_t *gossip)
{
	const at_roster_member_t *holder =
	    at_roster_lease_holder(gossip->entry->roster, at_clock_now_us());
	size_t len;

	if (holder == NULL)
		return 0;
	len = report_pack(gossip, REPORT_DEMAND);
	if (len > 0)
		send_one(gossip, holder, len);
	return holder->tag;
}

/* Which of the shared tasks are this instance's. */
static void
share_out(at_gossip_t *gossip, uint64_t now_us)
{
	at_entry_t *entry = gossip->entry;

	at_sync_set_reader(entry->sync,
	    at_roster_is_task_owner(entry->roster, entry->data_centre, 0,
		at_entry_is_platform_away(entry), now_us));
	if (gossip->rounds % LOOK_EVERY == 0 && at_sync_is_reader(entry->sync))
		at_sync_look(entry->sync);
}

/* Whoever gives orders also cleans up after instances that are gone. */
static void
on_gone(void *ctx, const at_roster_member_t *member)
{
	at_gossip_t *gossip = ctx;

	at_log(
	    AT_LOG_INFO, "roster", NULL, "gone instance=%s", member->name.text);
	if (at_orders_io_fence(gossip->entry->orders) != 0)
		at_join_remove(gossip->entry->join, &member->name);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_gossip_t *gossip = timer->data;
	at_entry_t *entry = gossip->entry;
	uint64_t now_us = at_clock_now_us();
	uint32_t heard = at_roster_reporting_count(entry->roster, now_us);
	uint32_t present = at_roster_present_count(entry->roster);
	at_tag_t holder;

	(void)loop;
	(void)events;
	gossip->rounds++;
	holder = gossip->rounds % DEMAND_EVERY == 0 ? send_demand(gossip) : 0;
	send_report(
	    gossip, REPORT_COMMON, gossip->rounds % FAR_EVERY == 0, holder);
	share_out(gossip, now_us);
	at_roster_expire(entry->roster, now_us, on_gone, gossip);
	at_fleet_expire_reports(entry->fleet, now_us, LOADS_FORGET_US);
	at_quota_set_instances(entry->quota, present, heard, now_us);
	at_contention_expire_reports(
	    entry->contention, now_us, QUEUES_FORGET_US);
	at_retry_budgets_set_instances(entry->retries, present);
}

static void
on_soon(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_report(timer->data, REPORT_COMMON, 1, 0);
}

static void
start_timer(at_gossip_t *gossip, ev_timer *timer, double after_s)
{
	if (gossip->fd < 0 || ev_is_active(timer))
		return;
	ev_timer_set(timer, after_s, 0.);
	ev_timer_start(gossip->entry->loop, timer);
}

void
at_gossip_soon(at_gossip_t *gossip)
{
	start_timer(gossip, &gossip->soon, SOON_S);
}

static void
on_want(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	(void)send_demand(timer->data);
}

void
at_gossip_want(at_gossip_t *gossip)
{
	start_timer(gossip, &gossip->want, SOON_S);
}

static void
tell_servers(at_gossip_t *gossip)
{
	if (gossip->server_count > 0)
		send_report(gossip, REPORT_SERVERS, 0, 0);
	forget_told(gossip);
}

static void
on_servers(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	tell_servers(timer->data);
}

void
at_gossip_tell_server(
    at_gossip_t *gossip, const char *name, uint64_t version, const json_t *spec)
{
	told_object_t *told;

	if (gossip->fd < 0)
		return;
	if (gossip->server_count == SERVERS_MAX)
		tell_servers(gossip);
	told = &gossip->servers[gossip->server_count];
	if (told_object_set(told, name, version, spec) != 0)
		return;
	gossip->server_count++;
	start_timer(gossip, &gossip->servers_timer, SERVERS_S);
}

void
at_gossip_tell_config(
    at_gossip_t *gossip, const char *name, uint64_t version, const json_t *spec)
{
	if (gossip->fd < 0 ||
	    gossip->entry->settings.link_mbps < CONFIG_LINK_MBPS ||
	    told_object_set(&gossip->config, name, version, spec) != 0)
		return;
	if (gossip->config.spec != NULL &&
	    strlen(gossip->config.spec) <= CONFIG_TOLD_MAX)
		send_report(gossip, REPORT_CONFIG, 0, 0);
	told_object_free(&gossip->config);
}

void
at_gossip_leave(at_gossip_t *gossip)
{
	gossip->leaving = 1;
	if (gossip->fd >= 0)
		send_report(gossip, REPORT_COMMON, 1, 0);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_gossip_t *gossip = io->data;
	ssize_t len;

	(void)loop;
	(void)events;
	while ((len = recv(gossip->fd, gossip->datagram, DATAGRAM_MAX, 0)) > 0)
		report_take(gossip, (size_t)len);
	at_entry_place_waiting(gossip->entry);
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
		return at_status_set(status, AT_FAILED, "datagrams on %s: %s",
		    address, strerror(errno));
	ev_io_init(&gossip->readable, on_readable, gossip->fd, EV_READ);
	gossip->readable.data = gossip;
	ev_io_start(gossip->entry->loop, &gossip->readable);
	ev_timer_init(&gossip->timer, on_timer, REPORT_EVERY_S, REPORT_EVERY_S);
	gossip->timer.data = gossip;
	ev_timer_start(gossip->entry->loop, &gossip->timer);
	ev_timer_init(&gossip->soon, on_soon, SOON_S, 0.);
	gossip->soon.data = gossip;
	ev_timer_init(&gossip->want, on_want, SOON_S, 0.);
	gossip->want.data = gossip;
	ev_timer_init(&gossip->servers_timer, on_servers, SERVERS_S, 0.);
	gossip->servers_timer.data = gossip;
	return AT_OK;
}
