/*
 * node.h - one entry instance: its settings, its components and its states.
 *
 * The components are created by at_node_new(), started by at_node_init() and
 * freed by at_node_delete(). Everything runs in one event loop.
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
#include "io/process_guard.h"

typedef struct at_claims_io at_claims_io_t;
typedef struct at_jobs_io at_jobs_io_t;

/* Settings from the command line and the environment; texts are borrowed. */
typedef struct at_node_settings {
	const char *name;
	const char *data_centre;
	const char *listen;
	const char *operators;
	const char *platform;
	const char *secret;
	const char *peers; /* listen address for peers; empty or NULL: none */
	const char *seeds; /* IP:PORT of peers, separated by commas */
	const char *log_level;
	uint32_t descriptors; /* files and sockets that may be open */
	uint32_t memory_mb;   /* of this machine, in MiB; 0: it is found out */
	uint32_t drain_ms;    /* time for the load balancer to notice a stop */
	uint32_t stop_max_ms; /* timeout of open requests at a stop */
} at_node_settings_t;

typedef enum at_node_state {
	AT_NODE_STARTING,
	AT_NODE_SERVING,
	AT_NODE_DRAINING, /* not ready, still accepting connections */
	AT_NODE_STOPPING, /* no new connections, requests finish */
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
	at_process_guard_t guard;
	ev_timer guard_timer;
	at_httpd_t *callers;
	at_httpd_t *operators;
	at_platform_t *platform;
	at_store_t store;
	at_peers_t *peers;
	at_config_io_t *config_io;
	struct at_limits *limits;
	struct at_admissions *admissions;
	at_config_t *config; /* NULL until the first is in force */
	at_backends_t *backends;
	at_router_t *router;   /* chooses engines */
	at_history_t *history; /* recent refusals */
	at_placement_io_t *placement;
	ev_timer stop_timer;
	ev_timer status_timer;
	uint64_t started_at_ms;
	uint64_t stop_since_ms;
	at_budgets_t *budgets; /* retries of each workspace */
	at_claims_io_t *claims;
	at_jobs_io_t *jobs;
	struct exchange *exchanges;
	size_t waiting_exchanges; /* number that wait because of suspects */
	at_suspects_t *suspects;
	ev_timer suspects_timer;
	uint64_t decisions_due_ms; /* when decisions are sent again */
	size_t open_exchanges;
} at_node_t;

/*
 * at_node_new() borrows loop and the texts of settings. Returns NULL if out of
 * memory.
 */
at_node_t *at_node_new(
    struct ev_loop *loop, const at_node_settings_t *settings);
/*
 * at_node_init() starts the node. Returns AT_OK, or sets status and returns its
 * code, which is AT_INVALID if a setting is not valid.
 */
at_code_t at_node_init(at_node_t *node, at_status_t *status);
/* at_node_stop() begins a graceful shutdown, which ends the loop. */
void at_node_stop(at_node_t *node);
/* at_node_delete() frees a node in any state; node may be NULL. */
void at_node_delete(at_node_t *node);
/*
 * at_node_is_ready() returns non-zero if the load balancer may send requests
 * here: the instance has a configuration, and its token limits are ready (see
 * at_limits_is_ready()). While the platform is away it does not wait for a
 * floor, but uses loans from its peers.
 */
int at_node_is_ready(const at_node_t *node);

/* entry.c: handles a request of a caller, or one that cannot be parsed. */
void at_entry_handle(void *ctx, at_httpd_request_t *request);
void at_entry_handle_fault(void *ctx, at_httpd_request_t *request);
/* entry.c: states whom the body of a request belongs to. */
void at_entry_classify(
    void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class);

/*
 * operators.c: handles a request of an operator for /metrics, /healthz,
 * /readyz, /status, /explain or /suspects/lift.
 */
void at_operators_handle(void *ctx, at_httpd_request_t *request);

#endif
