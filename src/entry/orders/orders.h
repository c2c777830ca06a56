/*
 * orders.h - the lease, and the orders of its holder: models and adapters are
 * loaded and unloaded according to the demand for them.
 *
 * Only the holder of the lease sends orders. Its reports inform the other
 * instances of the resulting changes before the platform's list does.
 */
#ifndef ALMONDTHREAD_ENTRY_ORDERS_H
#define ALMONDTHREAD_ENTRY_ORDERS_H

#include "entry/peers/gossip.h"
#include "entry/servers/reach.h"
#include "entry/servers/server_notices.h"
#include "entry/base/state.h"
#include "io/httpc.h"
#include "platform/store.h"

typedef struct at_orders_io at_orders_io_t;

/* What they need, borrowed. */
typedef struct at_orders_io_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_settings_t *settings;
	const at_entry_state_t *state;
	at_site_t *const *site; /* points to NULL before the first one */
	at_fleet_t *fleet;
	at_roster_t *roster;
	at_wait_queue_t *queue;
	at_httpc_t *httpc;
	at_store_t store;
	at_gossip_t *gossip;
	at_reach_io_t *reach;
	at_server_notices_t *notices;
	/* Non-zero if the last calls to the platform failed. */
	int (*is_platform_away)(void *ctx);
	/* Engines have other models or adapters than before. */
	void (*on_residents_changed)(void *ctx);
	void *ctx;
} at_orders_io_deps_t;

/* at_orders_io_new() returns NULL if out of memory. */
at_orders_io_t *at_orders_io_new(const at_orders_io_deps_t *deps);
/* at_orders_io_start() starts the periodic rounds after a short delay. */
void at_orders_io_start(at_orders_io_t *orders);
void at_orders_io_delete(at_orders_io_t *orders);
/*
 * at_orders_io_begin_stop() is called when the instance shuts down, within
 * grace_ms: a holder keeps the lease and goes on sending orders, and another
 * one acquires it only where all leave. at_orders_io_stop() is called several
 * times a second from then on, with whether nothing else keeps the instance: it
 * hands the lease over when that is due (handover.h). Returns non-zero until it
 * has.
 */
void at_orders_io_begin_stop(at_orders_io_t *orders, uint64_t grace_ms);
int at_orders_io_stop(at_orders_io_t *orders, int is_idle);
/*
 * at_orders_io_step_down() releases the lease; this instance may acquire it
 * again once it reaches the servers.
 */
void at_orders_io_step_down(at_orders_io_t *orders);

/* at_orders_io_note_demand() counts a request of this instance. */
void at_orders_io_note_demand(at_orders_io_t *orders, const at_work_t *work);

/*
 * at_orders_io_request_load() is called when a request needs a model or
 * adapter that is not resident. The holder of the lease loads the adapter;
 * any other instance reports the demand to the holder at once.
 */
void at_orders_io_request_load(at_orders_io_t *orders, const at_work_t *work);
/*
 * at_orders_io_failed_ms() returns when the last call about the lease failed,
 * or 0 if it did not.
 */
uint64_t at_orders_io_failed_ms(const at_orders_io_t *orders);
/* at_orders_io_note_lost_writes(): see at_lease_note_lost_writes(). */
void at_orders_io_note_lost_writes(at_orders_io_t *orders);
/* at_orders_io_fence() returns the fencing token of a held lease, or 0. */
uint64_t at_orders_io_fence(const at_orders_io_t *orders);
/* at_orders_io_section() returns its section of the reports. */
at_report_section_t at_orders_io_section(at_orders_io_t *orders);

#endif
