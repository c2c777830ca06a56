/*
 * reach.h - probes the backend servers when connections to them fail, and what
 * follows if this instance reaches none (server_reach.h).
 */
#ifndef ALMONDTHREAD_ENTRY_REACH_H
#define ALMONDTHREAD_ENTRY_REACH_H

#include "almondthread/roster.h"
#include "almondthread/server_reach.h"
#include "entry/base/attempt_events.h"
#include "entry/peers/gossip.h"
#include "io/httpc.h"

typedef struct at_reach_io at_reach_io_t;

/* What it needs, borrowed. */
typedef struct at_reach_io_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	at_fleet_t *fleet;
	at_httpc_t *httpc;
	at_gossip_t *gossip;
	/* No server is reached any longer. */
	void (*on_reaches_none)(void *ctx);
	void *ctx;
} at_reach_io_deps_t;

/* at_reach_io_new() returns NULL if out of memory. */
at_reach_io_t *at_reach_io_new(const at_reach_io_deps_t *deps);
void at_reach_io_start(at_reach_io_t *io);
void at_reach_io_delete(at_reach_io_t *io);

/*
 * at_reach_io_state() returns the state, which takes these events:
 * at_reach_io_note_failed() and at_reach_io_doubt() may begin a round.
 */
at_reach_t *at_reach_io_state(at_reach_io_t *io);
void at_reach_io_note_failed(at_reach_io_t *io);
void at_reach_io_doubt(at_reach_io_t *io);

/* at_reach_io_is_up() returns zero while failures may be this instance's. */
int at_reach_io_is_up(const at_reach_io_t *io);
/* at_reach_io_reaches_none() returns non-zero if no server is reached. */
int at_reach_io_reaches_none(const at_reach_io_t *io);

/* at_reach_io_section() returns its section of the reports. */
at_report_section_t at_reach_io_section(at_reach_io_t *io);
/* at_reach_io_observer() observes which attempts reach their servers. */
at_attempt_observer_t at_reach_io_observer(at_reach_io_t *io);

#endif
