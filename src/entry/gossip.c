#include "entry/gossip.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/orders.h"
#include "entry/retries.h"
#include "entry/sync.h"
#include "io/address.h"
#include "io/clock.h"
#include "report.pb-c.h"

#define REPORT_EVERY_S 0.1       /* within the data centre */
#define FAR_EVERY 3u             /* of those go to other data centres */
#define SOON_S 0.004             /* a report that is asked for */
#define LOOK_EVERY 8u            /* rounds between two looks at the config */
#define MAC_SIZE 16u             /* bytes of the keyed hash */
#define DATAGRAM_MAX 60000u      /* bytes, with the hash */
#define LOADS_FORGET_US 1200000u /* loads of an instance that is silent */
#define SPENDING_MAX 256u        /* workspaces in one report */
#define DEMAND_MAX 512u          /* models in one report */

struct at_gossip {
	at_entry_t *entry;
	int fd;
	ev_io readable;
	ev_timer timer;
	ev_timer soon;
	uint64_t sequence;
	uint64_t rounds;
	int leaving;
	unsigned char datagram[DATAGRAM_MAX];
};

/* What a report is put together from. */
typedef struct parts {
	at_load_row_t load_rows[AT_LOAD_ROWS_MAX];
	ReportLoad loads[AT_LOAD_ROWS_MAX];
	ReportLoad *load_list[AT_LOAD_ROWS_MAX];
	at_spending_t spending_rows[SPENDING_MAX];
	ReportSpending spending[SPENDING_MAX];
	ReportSpending *spending_list[SPENDING_MAX];
} parts_t;

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

void
at_gossip_delete(at_gossip_t *gossip)
{
	if (gossip == NULL)
		return;
	ev_timer_stop(gossip->entry->loop, &gossip->timer);
	ev_timer_stop(gossip->entry->loop, &gossip->soon);
	if (gossip->fd >= 0) {
		ev_io_stop(gossip->entry->loop, &gossip->readable);
		(void)close(gossip->fd);
	}
	free(gossip);
}

static void
seal(const at_gossip_t *gossip, const unsigned char *data, size_t len,
    unsigned char mac[MAC_SIZE])
{
	(void)crypto_generichash(mac, MAC_SIZE, data, len,
	    gossip->entry->secret.bytes, sizeof(gossip->entry->secret.bytes));
}

static void
fill_loads(const at_entry_t *entry, parts_t *parts, Report *report)
{
	size_t count =
	    at_fleet_report(entry->fleet, parts->load_rows, AT_LOAD_ROWS_MAX);
	size_t i;

	for (i = 0; i < count; i++) {
		ReportLoad *load = &parts->loads[i];

		report_load__init(load);
		load->server = parts->load_rows[i].server;
		load->active = parts->load_rows[i].load.active;
		load->prefill_tokens = parts->load_rows[i].load.prefill_tokens;
		load->kv_tokens = parts->load_rows[i].load.kv_tokens;
		parts->load_list[i] = load;
	}
	report->n_loads = count;
	report->loads = parts->load_list;
}

static void
fill_spending(const at_entry_t *entry, parts_t *parts, Report *report)
{
	size_t count =
	    at_quota_report(entry->quota, parts->spending_rows, SPENDING_MAX);
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

/* Packs a report into the datagram; returns its length, or 0. */
static size_t
pack(at_gossip_t *gossip)
{
	static parts_t parts;
	at_entry_t *entry = gossip->entry;
	Report report = REPORT__INIT;
	size_t len;

	report.name = entry->self.instance.text;
	report.data_centre = (char *)(uintptr_t)entry->settings.data_centre;
	report.address = (char *)(uintptr_t)entry->settings.peers;
	report.incarnation = entry->self.number;
	report.sequence = ++gossip->sequence;
	report.leaving = gossip->leaving;
	report.config_version = entry->site == NULL ? 0 : entry->site->version;
	fill_loads(entry, &parts, &report);
	fill_spending(entry, &parts, &report);
	at_orders_io_fill_report(entry->orders, &report);
	len = report__get_packed_size(&report);
	if (len + MAC_SIZE > DATAGRAM_MAX) {
		at_log(AT_LOG_ERROR, "gossip", NULL,
		    "report too large bytes=%zu", len);
		return 0;
	}
	(void)report__pack(&report, gossip->datagram + MAC_SIZE);
	seal(gossip, gossip->datagram + MAC_SIZE, len, gossip->datagram);
	return len + MAC_SIZE;
}

typedef struct sending {
	at_gossip_t *gossip;
	size_t len;
	int far_too;
} sending_t;

static void
send_to(void *ctx, at_roster_member_t *member)
{
	const sending_t *s = ctx;
	struct sockaddr_in addr;

	if (!s->far_too && member->data_centre != s->gossip->entry->data_centre)
		return;
	if (at_address_parse(member->address, &addr) != 0)
		return;
	if (sendto(s->gossip->fd, s->gossip->datagram, s->len, 0,
		(const struct sockaddr *)&addr, sizeof(addr)) < 0)
		at_counters_add(s->gossip->entry->counters,
		    "reports_unsent_total", "why", strerror(errno), 1);
}

static void
send_report(at_gossip_t *gossip, int far_too)
{
	sending_t s = {gossip, pack(gossip), far_too};

	if (s.len > 0)
		at_roster_each(gossip->entry->roster, send_to, &s);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_gossip_t *gossip = timer->data;
	at_entry_t *entry = gossip->entry;
	uint64_t now_us = at_clock_now_us();

	(void)loop;
	(void)events;
	gossip->rounds++;
	send_report(gossip, gossip->rounds % FAR_EVERY == 0);
	/* One instance of each data centre looks for all of it. */
	if (gossip->rounds % LOOK_EVERY == 0 &&
	    at_roster_is_first_of(entry->roster, entry->data_centre, now_us))
		at_sync_look(entry->sync);
	at_fleet_forget(entry->fleet, now_us, LOADS_FORGET_US);
	at_quota_set_instances(entry->quota, at_roster_present(entry->roster),
	    at_roster_heard_count(entry->roster, now_us), now_us);
	at_waiting_set_instances(
	    entry->waiting, at_roster_heard_count(entry->roster, now_us));
	at_retry_budgets_set_instances(
	    entry->retries, at_roster_present(entry->roster));
}

static void
on_soon(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_report(timer->data, 1);
}

void
at_gossip_soon(at_gossip_t *gossip)
{
	if (gossip->fd < 0 || ev_is_active(&gossip->soon))
		return;
	ev_timer_set(&gossip->soon, SOON_S, 0.);
	ev_timer_start(gossip->entry->loop, &gossip->soon);
}

void
at_gossip_leave(at_gossip_t *gossip)
{
	gossip->leaving = 1;
	if (gossip->fd >= 0)
		send_report(gossip, 1);
}

static void
take_loads(
    at_entry_t *entry, at_tag_t from, const Report *report, uint64_t now_us)
{
	at_load_row_t rows[AT_LOAD_ROWS_MAX];
	size_t count = 0;

	while (count < report->n_loads && count < AT_LOAD_ROWS_MAX) {
		const ReportLoad *load = report->loads[count];

		rows[count].server = load->server;
		rows[count].load.active = load->active;
		rows[count].load.prefill_tokens = load->prefill_tokens;
		rows[count].load.kv_tokens = load->kv_tokens;
		count++;
	}
	at_fleet_heard(entry->fleet, from, rows, count, now_us);
}

static void
take_spending(
    at_entry_t *entry, at_tag_t from, const Report *report, uint64_t now_us)
{
	at_spending_t rows[SPENDING_MAX];
	size_t count = 0;

	while (count < report->n_spending && count < SPENDING_MAX) {
		rows[count].workspace = report->spending[count]->workspace;
		rows[count].units = report->spending[count]->units;
		count++;
	}
	at_quota_heard(
	    entry->quota, from, report->incarnation, rows, count, now_us);
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
	    at_tag(report->data_centre), report->address, now_us);
	if (member == NULL)
		return;
	if (member->incarnation != report->incarnation)
		at_log(AT_LOG_INFO, "roster", NULL,
		    "heard instance=%s address=%s data_centre=%s", name.text,
		    report->address, report->data_centre);
	if (at_roster_heard(member, report->incarnation, report->sequence,
		report->leaving, report->fence, now_us) != 0)
		return;
	if (entry->site != NULL &&
	    report->config_version > entry->site->version)
		at_sync_look(entry->sync);
	take_loads(entry, member->tag, report, now_us);
	take_spending(entry, member->tag, report, now_us);
	at_orders_io_take_report(entry->orders, member, report);
	if (report->leaving)
		at_roster_remove(entry->roster, member->tag);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_gossip_t *gossip = io->data;
	unsigned char mac[MAC_SIZE];
	Report *report;
	ssize_t len;

	(void)loop;
	(void)events;
	while (
	    (len = recv(gossip->fd, gossip->datagram, DATAGRAM_MAX, 0)) > 0) {
		if ((size_t)len < MAC_SIZE)
			continue;
		seal(gossip, gossip->datagram + MAC_SIZE,
		    (size_t)len - MAC_SIZE, mac);
		report = NULL;
		if (sodium_memcmp(mac, gossip->datagram, MAC_SIZE) == 0)
			report = report__unpack(NULL, (size_t)len - MAC_SIZE,
			    gossip->datagram + MAC_SIZE);
		if (report == NULL) {
			at_counters_add(gossip->entry->counters,
			    "reports_rejected_total", NULL, NULL, 1);
			continue;
		}
		take_report(gossip, report);
		report__free_unpacked(report, NULL);
	}
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
	return AT_OK;
}
