/*
 * call.h - one request of a caller: it is admitted, placed at a backend
 * server, sent, and gets exactly one response.
 */
#ifndef ALMONDTHREAD_ENTRY_CALL_H
#define ALMONDTHREAD_ENTRY_CALL_H

#include "almondthread/quota.h"
#include "entry/base/attempt_events.h"
#include "entry/peers/gossip.h"
#include "entry/orders/orders.h"
#include "entry/servers/reach.h"
#include "entry/call/retry_budgets.h"
#include "entry/servers/server_crashes.h"
#include "entry/base/state.h"
#include "io/httpc.h"
#include "io/httpd.h"

#define AT_CALL_OBSERVERS_MAX 8u

/* All open requests of an instance. */
typedef struct at_calls at_calls_t;

/* What they need, borrowed. */
typedef struct at_calls_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_state_t *state;
	at_site_t *const *site; /* points to NULL before the first one */
	at_rng_t *rng;
	at_fleet_t *fleet;
	at_roster_t *roster;
	at_wait_queue_t *queue;
	at_quota_t *quota;
	at_retry_budgets_t *retries;
	at_stream_origins_t *origins;
	at_httpc_t *httpc;
	at_memory_t *memory; /* has no limit unless one is set */
	at_gossip_t *gossip;
	at_reach_io_t *reach;
	at_server_crashes_t *crashes;
	at_orders_io_t *orders;
	/* Told of the events of all attempts, in this order. */
	at_attempt_observer_t observers[AT_CALL_OBSERVERS_MAX];
	size_t observer_count;
	/* Zero if the list of servers is known to lack some, or may for long.
	 */
	int (*is_list_current)(void *ctx);
	/*
	 * Has the platform asked for all servers that it lists at this moment;
	 * returns a ticket. Once the list has them, it is confirmed for the
	 * ticket. It is unconfirmed if the platform did not respond just now.
	 */
	uint64_t (*ask_list)(void *ctx);
	int (*is_list_confirmed)(void *ctx, uint64_t ticket);
	int (*is_list_unconfirmed)(void *ctx);
	/* The time in which requests may still run, in ms, during a shutdown.
	 */
	uint64_t (*left_ms)(void *ctx);
	void *ctx;
} at_calls_deps_t;

/* at_calls_new() returns NULL if out of memory. */
at_calls_t *at_calls_new(const at_calls_deps_t *deps);
/* at_calls_delete() frees all open requests without a response. */
void at_calls_delete(at_calls_t *calls);
size_t at_calls_count(const at_calls_t *calls);
/* at_calls_log_observer() writes the lines of the log on attempts. */
at_attempt_observer_t at_calls_log_observer(void);

/*
 * Handlers for the callers' HTTP server; ctx is the calls.
 * at_call_handle_fault() refuses requests that are too large to be read.
 */
void at_call_handle(void *ctx, at_httpd_request_t *request);
void at_call_handle_fault(void *ctx, at_httpd_request_t *request);
/* at_call_classify() finds the workspace and the priority of a request. */
void at_call_classify(
    void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class);

/*
 * at_calls_release_held() decides on the requests that resume a stream and were
 * held, if its origin is known or the list is confirmed by now; to be called
 * when reports were read. at_calls_note_list_asked() does so when a question of
 * ask_list() has ended, and asks again if it did not help all of them.
 */
void at_calls_release_held(at_calls_t *calls);
void at_calls_note_list_asked(at_calls_t *calls);
/*
 * at_calls_place_queued() places queued requests; to be called when slots may
 * have become free at a backend server.
 */
void at_calls_place_queued(at_calls_t *calls);
/*
 * at_calls_expire() refuses queued requests whose time limit has passed, unless
 * they can be placed now.
 */
void at_calls_expire(at_calls_t *calls);
/*
 * at_calls_apply_verdicts() refuses the queued requests that have a part which
 * is now blocked or suspect, and ends those with a blocked part that have not
 * begun.
 */
void at_calls_apply_verdicts(at_calls_t *calls);
/*
 * at_calls_refuse_queued() refuses the queued requests whose response has not
 * begun and which may take longer than left_ms, for the shutdown.
 */
void at_calls_refuse_queued(at_calls_t *calls, uint64_t left_ms);
/*
 * at_calls_abandon() ends all open requests. Callers whose response has not
 * begun get a refusal.
 */
void at_calls_abandon(at_calls_t *calls);

#endif
