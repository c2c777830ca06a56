/*
 * server_crashes.h - crashes of backend servers as this instance sees them, and
 * what it refuses because of them (crash_causes.h).
 *
 * Where a server breaks connections off, it may have crashed, or the network
 * has failed. A new connection decides: one that is refused shows that the
 * server's process is gone, provided that this instance reaches other servers
 * (server_reach.h). If it reaches none, another instance makes the connection.
 */
#ifndef ALMONDTHREAD_ENTRY_SERVER_CRASHES_H
#define ALMONDTHREAD_ENTRY_SERVER_CRASHES_H

#include "almondthread/crash_causes.h"
#include "entry/base/attempt_events.h"
#include "entry/peers/gossip.h"
#include "entry/servers/reach.h"
#include "io/httpc.h"

typedef struct at_server_crashes at_server_crashes_t;

/* What they need, borrowed. */
typedef struct at_server_crashes_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	at_fleet_t *fleet;
	at_roster_t *roster;
	at_httpc_t *httpc;
	at_gossip_t *gossip;
	at_reach_io_t *reach;
	/* Other requests than before are refused. */
	void (*on_verdicts_changed)(void *ctx);
	void *ctx;
} at_server_crashes_deps_t;

/* at_server_crashes_new() returns NULL if out of memory. */
at_server_crashes_t *at_server_crashes_new(
    const at_server_crashes_deps_t *deps);
void at_server_crashes_start(at_server_crashes_t *crashes);
void at_server_crashes_delete(at_server_crashes_t *crashes);

/*
 * at_server_crashes_observer() takes attempts whose connection is lost before
 * they have begun, and those that have begun.
 */
at_attempt_observer_t at_server_crashes_observer(at_server_crashes_t *crashes);

/* at_server_crashes_has_verdicts() returns zero if no request is refused. */
int at_server_crashes_has_verdicts(const at_server_crashes_t *crashes);
/*
 * at_server_crashes_check() returns the verdict because of which a request is
 * refused, or NULL. With may_try, a request with a suspect part may be let
 * through as a trial.
 */
const at_crash_verdict_t *at_server_crashes_check(
    at_server_crashes_t *crashes, const at_request_parts_t *parts, int may_try);

/*
 * Blocks in the platform's store. at_server_crashes_apply_block() takes one
 * that was read there. at_server_crashes_lift() lifts a block; it returns 0, or
 * -1 if there is none. at_server_crashes_block_age_us() returns how long ago a
 * part was blocked, 1 at least, or 0 if it is not.
 */
void at_server_crashes_each(const at_server_crashes_t *crashes,
    void (*visit)(void *ctx, const at_crash_verdict_t *verdict), void *ctx);
void at_server_crashes_apply_block(at_server_crashes_t *crashes, uint64_t part,
    uint32_t crash_count, int has_begun);
int at_server_crashes_lift(at_server_crashes_t *crashes, uint64_t part);
uint64_t at_server_crashes_block_age_us(
    const at_server_crashes_t *crashes, uint64_t part);

/* at_server_crashes_section() returns its section of the reports. */
at_report_section_t at_server_crashes_section(at_server_crashes_t *crashes);

#endif
