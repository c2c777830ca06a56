/*
 * server_notices.h - what backend servers state about themselves in their
 * answers, a limit or that they leave, and its exchange with the other
 * instances (fleet.h).
 */
#ifndef ALMONDTHREAD_ENTRY_SERVER_NOTICES_H
#define ALMONDTHREAD_ENTRY_SERVER_NOTICES_H

#include "entry/base/attempt_events.h"
#include "entry/peers/gossip.h"

typedef struct at_server_notices at_server_notices_t;

/* What they need, borrowed. */
typedef struct at_server_notices_deps {
	at_counters_t *counters;
	at_fleet_t *fleet;
	at_roster_t *roster;
	at_gossip_t *gossip;
	at_site_t *const *site; /* points to NULL before the first one */
	const at_identity_t *identity;
	/* Whether this instance sends requests to servers itself. */
	int (*is_sending)(void *ctx);
	void *ctx;
} at_server_notices_deps_t;

/* at_server_notices_new() returns NULL if out of memory. */
at_server_notices_t *at_server_notices_new(
    const at_server_notices_deps_t *deps);
void at_server_notices_delete(at_server_notices_t *notices);

/*
 * at_server_notices_limit() takes what an answer states to a request that was
 * sent at sent_us: a limit in requests in 1,000 s, or 0 for none.
 * at_server_notices_leaving() takes that an answer states that the server
 * leaves.
 */
void at_server_notices_limit(at_server_notices_t *notices, at_server_t *server,
    uint32_t limit_milli, uint64_t sent_us);
void at_server_notices_leaving(
    at_server_notices_t *notices, at_server_t *server);
/*
 * at_server_notices_brittle() takes whether an answer to a request that was
 * sent at sent_us states that the server is brittle, and whether it rejects the
 * request.
 */
void at_server_notices_brittle(at_server_notices_t *notices,
    at_server_t *server, int is_brittle, int is_rejected, uint64_t sent_us);
/*
 * at_server_notices_cold() takes that an answer to a request that was sent at
 * sent_us states the remaining cold time of the server, 0 for none.
 */
void at_server_notices_cold(at_server_notices_t *notices, at_server_t *server,
    uint32_t cold_ms, uint64_t sent_us);
/* at_server_notices_section() returns their section of the reports. */
at_report_section_t at_server_notices_section(at_server_notices_t *notices);
/* at_server_notices_observer() takes what responses to attempts state. */
at_attempt_observer_t at_server_notices_observer(at_server_notices_t *notices);

#endif
