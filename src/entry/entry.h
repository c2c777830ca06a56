/*
 * entry.h - one entry instance before the backend servers of a deployment.
 *
 * entry.c has its start, its end and its states; entry_parts.c makes its parts,
 * which docs/design/instance.md shows, and connects them.
 */
#ifndef ALMONDTHREAD_ENTRY_ENTRY_H
#define ALMONDTHREAD_ENTRY_ENTRY_H

#include "almondthread/stop_plan.h"
#include "entry/call/call.h"
#include "entry/readiness.h"
#include "entry/servers/relay.h"
#include "entry/store/crash_blocks.h"
#include "entry/store/evacuation_sync.h"
#include "entry/store/join.h"
#include "entry/store/sync.h"
#include "entry/store/version_record.h"
#include "entry/peers/introductions.h"
#include "io/process_guard.h"

typedef struct at_entry {
	struct ev_loop *loop;
	at_entry_settings_t settings;
	at_entry_state_t state;
	at_identity_t identity;
	at_rng_t rng;
	at_counters_t *counters;
	at_process_guard_t guard;
	at_httpd_t *callers;
	at_httpc_t *httpc;
	at_wire_store_t *wire_store;
	at_store_t store;
	uint64_t later_era_ms; /* when the store's last one was noticed, or 0 */
	at_site_t *site; /* NULL until the first configuration is applied */
	at_fleet_t *fleet;
	at_contention_t *contention;
	at_wait_queue_t *queue;
	at_quota_t *quota;
	at_retry_budgets_t *retries;
	at_stream_origins_t *origins;
	at_sync_t *sync;
	at_evacuation_sync_t *evacuations;
	at_gossip_t *gossip;
	at_server_crashes_t *crashes;
	at_crash_blocks_t *blocks;
	at_server_notices_t *notices;
	at_reach_io_t *reach;
	at_relay_t *relay;
	at_roster_t *roster;
	at_join_t *join;
	at_version_record_t *version_record;
	at_introductions_t *introductions;
	at_orders_io_t *orders;
	at_readiness_t *readiness;
	at_calls_t *calls;
	ev_timer tick;
	ev_timer stop_timer;
	uint64_t stop_since_ms;
	at_stop_t stop;
	uint64_t closed_ms;  /* when it stopped accepting connections */
	int calls_abandoned; /* at the end of the grace period */
} at_entry_t;

/* at_entry_new() copies the settings; it returns NULL if out of memory. */
at_entry_t *at_entry_new(
    struct ev_loop *loop, const at_entry_settings_t *settings);
/*
 * at_entry_init() binds the addresses and starts the instance. Returns
 * AT_INVALID for wrong settings, else AT_FAILED on failure.
 */
at_code_t at_entry_init(at_entry_t *entry, at_status_t *status);
/*
 * at_entry_reload() applies newer settings. Addresses, names and the secret
 * stay as they were at the start; a difference is logged.
 */
void at_entry_reload(at_entry_t *entry, const at_entry_settings_t *settings);
/* at_entry_stop() begins a graceful shutdown, which stops the event loop. */
void at_entry_stop(at_entry_t *entry);
void at_entry_delete(at_entry_t *entry);

/* at_entry_is_ready() returns non-zero if callers should be sent here. */
int at_entry_is_ready(const at_entry_t *entry);

/*
 * at_entry_is_platform_away() returns non-zero if the last calls to the
 * platform failed.
 */
int at_entry_is_platform_away(const at_entry_t *entry);

/*
 * at_entry_left_ms() returns how long requests may still run during a shutdown.
 */
uint64_t at_entry_left_ms(const at_entry_t *entry);
/*
 * at_entry_set_site() applies a newer configuration and takes over the
 * reference.
 */
void at_entry_set_site(at_entry_t *entry, at_site_t *site);

#endif
