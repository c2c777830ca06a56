/*
 * gossip.h - reports between entry instances, one datagram each: loads of
 * backend servers, quota usage of workspaces, origins of streams, and the
 * sections of other parts, which add and take what is theirs.
 *
 * A datagram is a 16-byte keyed hash under the fleet's secret, then a Report
 * (proto/report.proto). Reports repeat their contents, so that the next one
 * makes up for one that is lost. With datagrams, a link that is cut, frozen or
 * silent does not delay the others.
 */
#ifndef ALMONDTHREAD_ENTRY_GOSSIP_H
#define ALMONDTHREAD_ENTRY_GOSSIP_H

#include <ev.h>

#include "almondthread/contention.h"
#include "almondthread/counters.h"
#include "almondthread/ports.h"
#include "almondthread/quota.h"
#include "almondthread/report_paths.h"
#include "almondthread/roster.h"
#include "almondthread/stream_origins.h"
#include "almondthread/wait_queue.h"
#include "entry/base/attempt_events.h"
#include "entry/base/entry_settings.h"
#include "entry/base/identity.h"
#include "report.pb-c.h"

typedef struct at_gossip at_gossip_t;

/* Contents of a report besides what all have that bear a name. */
typedef enum at_report_kind {
	AT_REPORT_COMMON,  /* loads, queues, usage and the holder's changes */
	AT_REPORT_HEADER,  /* the same without loads, queues and usage */
	AT_REPORT_DEMAND,  /* those of the first, with demand and adapter
			      requests, for the holder of the lease */
	AT_REPORT_CHANGES, /* of the platform's objects */
	AT_REPORT_ORIGINS, /* origins of streams, without a name */
	AT_REPORT_ORIGINS_REQUEST,     /* a request for all origins */
	AT_REPORT_OWN_ORIGINS_REQUEST, /* for those that an instance has noted
					*/
} at_report_kind_t;

/* at_report_is_regular() returns non-zero for the first three of them. */
static inline int
at_report_is_regular(at_report_kind_t kind)
{
	return kind == AT_REPORT_COMMON || kind == AT_REPORT_HEADER ||
	       kind == AT_REPORT_DEMAND;
}

/* What a part adds to reports and takes from them. Any may be NULL. */
typedef struct at_report_section {
	/*
	 * Adds to a report that bears a name. What it points to stays valid
	 * until the next call. is_to_all is zero if it stays in this data
	 * centre.
	 */
	void (*fill)(
	    void *ctx, at_report_kind_t kind, int is_to_all, Report *report);
	/* Takes from a report that bears a name, if it is newer than others. */
	void (*apply)(
	    void *ctx, at_roster_member_t *from, const Report *report);
	/* Takes from any report, in whatever order they arrive. */
	void (*apply_unordered)(void *ctx, const Report *report);
	/* In each round, before its reports are sent, and after that. */
	void (*begin_round)(void *ctx, uint64_t now_us);
	void (*end_round)(void *ctx, uint64_t now_us, int is_direct_due);
	/* Non-zero if all instances must know the state of this one at once. */
	int (*is_special)(void *ctx);
	void *ctx;
} at_report_section_t;

/* What reports need, borrowed. */
typedef struct at_gossip_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_settings_t *settings;
	at_rng_t *rng;
	at_roster_t *roster;
	at_fleet_t *fleet;
	at_quota_t *quota;
	at_wait_queue_t *queue;
	at_contention_t *contention;
	at_stream_origins_t *origins;
	/* Zero while failures to reach a server may be this instance's. */
	int (*is_reaching)(void *ctx);
	/* An instance has left or was silent for too long. */
	void (*on_removed)(void *ctx, const at_roster_member_t *member);
	/* Reports were applied. */
	void (*on_received)(void *ctx);
	void *ctx;
} at_gossip_deps_t;

#define AT_GOSSIP_SECTIONS_MAX 12u

/* at_gossip_new() returns NULL if out of memory. */
at_gossip_t *at_gossip_new(const at_gossip_deps_t *deps);
/*
 * at_gossip_add_section() adds a section, AT_GOSSIP_SECTIONS_MAX at most, which
 * is copied. They are called in the order in which they were added.
 */
void at_gossip_add_section(
    at_gossip_t *gossip, const at_report_section_t *section);
/*
 * at_gossip_loads_section() returns the section of loads of servers, queues and
 * quota usage.
 */
at_report_section_t at_gossip_loads_section(at_gossip_t *gossip);
/*
 * at_gossip_init() binds the socket and starts the periodic reports. Returns
 * AT_INVALID for a malformed address and AT_FAILED when it cannot be bound.
 */
at_code_t at_gossip_init(at_gossip_t *gossip, at_status_t *status);
void at_gossip_delete(at_gossip_t *gossip);
/* at_gossip_send_soon() broadcasts a report within a few milliseconds. */
void at_gossip_send_soon(at_gossip_t *gossip);
/*
 * at_gossip_send_demand_soon() sends the demand and the queued requests to
 * the holder of the lease within a few milliseconds.
 */
void at_gossip_send_demand_soon(at_gossip_t *gossip);
/*
 * at_gossip_send_changes() sends a report with what fill adds to the instances
 * of this data centre. at_gossip_send_unnamed() sends one without a name to all
 * instances, unless fill returns zero, which it returns.
 */
void at_gossip_send_changes(
    at_gossip_t *gossip, void (*fill)(void *ctx, Report *report), void *ctx);
int at_gossip_send_unnamed(
    at_gossip_t *gossip, int (*fill)(void *ctx, Report *report), void *ctx);
/* at_gossip_send_to() sends a report in one datagram. */
void at_gossip_send_to(
    at_gossip_t *gossip, const char *address, const Report *report);
/* at_gossip_send_named_to() sends one that bears this instance's name. */
void at_gossip_send_named_to(at_gossip_t *gossip, const char *address,
    void (*fill)(void *ctx, Report *report), void *ctx);
/*
 * at_gossip_origins_observer() notes where streams have begun and tells the
 * other instances. at_gossip_send_origins_soon() sends the origins of streams
 * that were noted here to all instances after at_stream_origins_batch_ms().
 */
at_attempt_observer_t at_gossip_origins_observer(at_gossip_t *gossip);
void at_gossip_send_origins_soon(at_gossip_t *gossip);
/*
 * at_gossip_note_versions() records which software versions the platform lists
 * for each service.
 */
void at_gossip_note_versions(at_gossip_t *gossip);
/*
 * at_gossip_is_listening() returns non-zero until an instance that has started
 * has had the time to receive the reports of the others.
 */
int at_gossip_is_listening(const at_gossip_t *gossip);
/* at_gossip_paths() returns the ways of the reports. */
at_report_paths_t *at_gossip_paths(at_gossip_t *gossip);
/* at_gossip_send_leaving() tells every instance that this one shuts down. */
void at_gossip_send_leaving(at_gossip_t *gossip);

#endif
