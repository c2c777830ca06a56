/*
 * node.h - one entry instance: its settings, its parts and its life.
 *
 * The parts are created by at_node_new(), started by at_node_init() and
 * freed by at_node_delete() in reverse order. Everything runs on one loop.
 */
#ifndef ALMONDTHREAD_DAEMON_NODE_H
#define ALMONDTHREAD_DAEMON_NODE_H

#include <ev.h>

#include "almondthread/config.h"
#include "almondthread/counters.h"
#include "almondthread/keyring.h"
#include "almondthread/ports.h"
#include "almondthread/router.h"
#include "almondthread/suspects.h"
#include "daemon/routing/backends.h"
#include "daemon/config/config_io.h"
#include "daemon/requests/history.h"
#include "daemon/placement/placement_io.h"
#include "io/httpc.h"
#include "io/httpd.h"
#include "io/peers.h"
#include "io/platform.h"

typedef struct at_claims_io at_claims_io_t;
typedef struct at_jobs_io at_jobs_io_t;

/* What a process learns from its flags and environment. */
typedef struct at_node_settings {
	const char *name;
	const char *data_centre;
	const char *listen;
	const char *operators;
	const char *platform;
	const char *secret;
	const char *peers; /* where peers connect; empty or NULL: none do */
	const char *seeds; /* peers' addresses, separated by commas */
	const char *log_level;
	uint32_t drain_ms;    /* the balancer's time to look elsewhere */
	uint32_t stop_max_ms; /* longest wait for open requests */
} at_node_settings_t;

typedef enum at_node_state {
	AT_NODE_STARTING,
	AT_NODE_SERVING,
	AT_NODE_DRAINING, /* not ready, still accepting */
	AT_NODE_STOPPING, /* no new connections, finishing */
	AT_NODE_STOPPED,
	AT_NODE_STATE_COUNT
} at_node_state_t;

extern const char *const at_node_state_names[];

typedef struct at_node {
	struct ev_loop *loop;
	at_node_settings_t settings;
	at_incarnation_t self;
	at_name_t data_centre;
	at_fleet_secret_t secret;
	at_node_state_t state;
	at_random_t random;
	at_counters_t *counters;
	at_httpc_t *httpc;
	at_httpd_t *callers;
	at_httpd_t *operators;
	at_platform_t *platform;
	at_store_t store;
	at_peers_t *peers;
	at_config_io_t *config_io;
	struct at_limits *limits;
	struct at_admissions *admissions;
	at_config_t *config; /* NULL until the first one */
	at_backends_t *backends;
	at_router_t *router;   /* of engines */
	at_history_t *history; /* of refusals, for explain */
	at_placement_io_t *placement;
	ev_timer stop_timer;
	ev_timer status_timer;
	uint64_t started_at_ms;
	uint64_t stop_since_ms;
	at_budgets_t *budgets; /* of retries, by workspace */
	at_claims_io_t *claims;
	at_jobs_io_t *jobs;
	struct exchange *exchanges;
	size_t waiting_exchanges; /* for a backend server free of suspects */
	at_suspects_t *suspects;
	ev_timer suspects_timer;
	uint64_t decisions_due_ms; /* convictions are told again */
	size_t open_exchanges;
} at_node_t;

at_node_t *at_node_new(
    struct ev_loop *loop, const at_node_settings_t *settings);
at_code_t at_node_init(at_node_t *node, at_status_t *status);
/* at_node_stop() begins a graceful shutdown; the loop breaks at its end. */
void at_node_stop(at_node_t *node);
void at_node_delete(at_node_t *node);
/*
 * at_node_is_ready() tells whether callers may be sent here: the instance has a
 * configuration and its floor of the shares. Without an answering platform
 * it does not wait for the floor and lives on what its peers donate.
 */
int at_node_is_ready(const at_node_t *node);

/* entry.c: one request of a caller, and one that cannot be handled. */
void at_entry_handle(void *ctx, at_httpd_request_t *request);
void at_entry_handle_fault(void *ctx, at_httpd_request_t *request);

/* operators.c: /metrics, /healthz, /readyz, /status, /explain. */
void at_operators_handle(void *ctx, at_httpd_request_t *request);

#endif
