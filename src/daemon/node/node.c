#include "daemon/node/node.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "daemon/claims/claims_io.h"
#include "daemon/requests/crashes.h"
#include "daemon/requests/admission.h"
#include "daemon/routing/engine_status.h"
#include "daemon/jobs/jobs_io.h"
#include "daemon/routing/routing.h"
#include "daemon/requests/exchange.h"
#include "daemon/limits/limits_io.h"
#include "io/clock.h"

#define STATUS_INTERVAL_S 0.5      /* between status requests to an engine */
#define GUARD_INTERVAL_S 0.05      /* between measurements of the memory */
#define STOP_CHECK_INTERVAL_S 0.05 /* between checks of open requests */
#define LEAVE_TIMEOUT_MS 3000u /* longest wait until shares are given back */
/* The platform is away if it has not responded for longer. */
#define PLATFORM_SILENCE_TIMEOUT_MS 3000u
/* Shortest wait for requests that were sent before the listener closed. */
#define LATE_REQUESTS_WAIT_MS 500u

const char *const at_node_state_names[] = {
    "starting", "serving", "draining", "stopping", "stopped"};

static void
on_body_timeout(void *ctx)
{
	at_node_t *node = ctx;

	at_counters_add_refusal(node->counters, AT_REASON_BODY_TIMEOUT);
}

at_node_t *
at_node_new(struct ev_loop *loop, const at_node_settings_t *settings)
{
	at_node_t *node = calloc(1, sizeof(*node));

	if (node == NULL)
		return NULL;
	node->loop = loop;
	node->settings = *settings;
	node->random = at_random_system();
	node->counters = at_counters_new();
	node->httpc = at_httpc_new(loop);
	node->callers = at_httpd_new(loop);
	node->operators = at_httpd_new(loop);
	node->platform = at_platform_new(loop, node->httpc);
	node->claims = at_claims_io_new(node);
	node->jobs = at_jobs_io_new(node);
	node->backends = at_backends_new();
	node->budgets = at_budgets_new();
	node->history = at_history_new();
	node->peers = at_peers_new(loop);
	(void)at_crashes_new(node);
	node->placement = at_placement_io_new(node);
	node->config_io = at_config_io_new(loop, node->peers, node->platform);
	node->limits = at_limits_new(loop, node->peers);
	at_limits_set_counters(node->limits, node->counters);
	node->admissions = at_admissions_new(node);
	at_process_guard_init(&node->guard, settings->descriptors,
	    settings->memory_mb, node->httpc);
	at_process_guard_add(&node->guard, node->callers, AT_GUARD_CALLERS);
	at_process_guard_add(&node->guard, node->operators, AT_GUARD_OPERATORS);
	at_httpd_set_read_ahead(node->callers, 0);
	at_peers_set_max_unidentified(node->peers, node->guard.limits.peers);
	at_httpd_set_classifier(node->callers, at_entry_classify, node);
	at_httpd_set_handler(node->callers, at_entry_handle, node);
	at_httpd_set_fault_handler(node->callers, at_entry_handle_fault, node);
	at_httpd_set_body_timeout_handler(node->callers, on_body_timeout, node);
	at_httpd_set_handler(node->operators, at_operators_handle, node);
	return node;
}

static void
on_config(void *ctx, at_config_t *config)
{
	at_node_t *node = ctx;

	at_placement_io_configure(node->placement, config);
	at_config_delete(node->config);
	node->config = config;
	at_limits_set_config(node->limits, config);
	at_httpd_set_max_body(node->callers, config->defaults.max_body_bytes);
}

static void
on_instances(void *ctx, const at_instance_t *instances, size_t count)
{
	at_node_t *node = ctx;

	at_backends_update(node->backends, instances, count);
	at_placement_io_update_list(node->placement);
	at_limits_set_instances(node->limits, instances, count);
	at_routing_update_list(node);
}

static void
on_status_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	at_engine_status_poll(timer->data);
}

static void
on_guard_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_node_t *node = timer->data;

	(void)loop;
	(void)events;
	at_process_guard_check(&node->guard);
}

static at_code_t
check_settings(at_node_t *node, at_status_t *status)
{
	const at_node_settings_t *settings = &node->settings;

	if (at_name_set(&node->self.instance, settings->name) != 0)
		return at_status_set(
		    status, AT_INVALID, "--name: expected a name");
	if (at_name_set(&node->data_centre, settings->data_centre) != 0)
		return at_status_set(
		    status, AT_INVALID, "--data-centre: expected a name");
	if (at_fleet_secret_parse(&node->secret, settings->secret) != 0)
		return at_status_set(status, AT_INVALID,
		    "--secret: expected 64 hexadecimal digits");
	return AT_OK;
}

static at_code_t
add_seeds(at_node_t *node, at_status_t *status)
{
	const char *rest = node->settings.seeds;
	char address[AT_ADDR_SIZE];

	while (rest != NULL && *rest != '\0') {
		size_t len = strcspn(rest, ",");

		(void)snprintf(
		    address, sizeof(address), "%.*s", (int)len, rest);
		if (at_peers_add_seed(node->peers, address) != 0)
			return at_status_set(status, AT_INVALID,
			    "--seeds: '%s': expected IP:PORT", address);
		rest += len;
		rest += *rest == ',';
	}
	return AT_OK;
}

static at_code_t
init_peers(at_node_t *node, at_status_t *status)
{
	const char *address = node->settings.peers;

	at_peers_set_self(node->peers, &node->self, &node->data_centre);
	at_peers_set_secret(node->peers, &node->secret);
	at_peers_set_counters(node->peers, node->counters);
	if (address == NULL || address[0] == '\0')
		return AT_OK;
	if (add_seeds(node, status) != AT_OK)
		return status->code;
	return at_peers_init(node->peers, address, status);
}

at_code_t
at_node_init(at_node_t *node, at_status_t *status)
{
	const at_node_settings_t *settings = &node->settings;

	if (check_settings(node, status) != AT_OK)
		return status->code;
	node->self.number = node->random.next(node->random.impl);
	node->router = at_router_new(
	    &node->data_centre, node->random.next(node->random.impl));
	if (node->router == NULL)
		return at_status_set(status, AT_FAILED, "out of memory");
	at_backends_set_remove_handler(node->backends, at_routing_remove, node);
	if (at_platform_init(node->platform, settings->platform, status) !=
		AT_OK ||
	    at_httpd_init(node->operators, settings->operators, status) !=
		AT_OK ||
	    at_httpd_init(node->callers, settings->listen, status) != AT_OK ||
	    init_peers(node, status) != AT_OK)
		return status->code;
	at_platform_set_counters(node->platform, node->counters);
	node->store = at_platform_store(node->platform);
	at_claims_io_init(node->claims);
	at_placement_io_init(node->placement);
	at_jobs_io_init(node->jobs);
	if (at_limits_init(node->limits, &node->self, &node->data_centre,
		&node->store, status) != AT_OK)
		return status->code;
	at_config_io_set_self(
	    node->config_io, &node->self.instance, &node->data_centre);
	at_config_io_set_counters(node->config_io, node->counters);
	at_config_io_set_events(node->config_io, on_config, on_instances, node);
	at_config_io_init(node->config_io);
	ev_timer_init(
	    &node->status_timer, on_status_timer, 0., STATUS_INTERVAL_S);
	node->status_timer.data = node;
	ev_timer_start(node->loop, &node->status_timer);
	ev_timer_init(&node->guard_timer, on_guard_timer, GUARD_INTERVAL_S,
	    GUARD_INTERVAL_S);
	node->guard_timer.data = node;
	ev_timer_start(node->loop, &node->guard_timer);
	at_crashes_start(node);
	node->state = AT_NODE_SERVING;
	node->started_at_ms = at_clock_now_ms();
	at_log(AT_LOG_INFO, "node", NULL,
	    "%s in %s is serving: callers on port %u, operators on port %u, "
	    "peers on port %u.",
	    settings->name, settings->data_centre, at_httpd_port(node->callers),
	    at_httpd_port(node->operators), at_peers_port(node->peers));
	return AT_OK;
}

/*
 * Counts the work that delays a shutdown. Exchanges are counted, too, because
 * some continue after their callers have closed.
 */
static size_t
count_open_work(const at_node_t *node)
{
	size_t requests = at_httpd_open_requests(node->callers);
	size_t unsettled = at_claims_io_unsettled_count(node->claims) +
			   at_jobs_io_active_count(node->jobs);

	return unsettled + (requests > node->open_exchanges
				   ? requests
				   : node->open_exchanges);
}

int
at_node_is_ready(const at_node_t *node)
{
	uint64_t uptime_ms = at_clock_now_ms() - node->started_at_ms;

	if (node->state != AT_NODE_SERVING || node->config == NULL)
		return 0;
	if (at_limits_is_ready(node->limits))
		return 1;
	return uptime_ms > PLATFORM_SILENCE_TIMEOUT_MS &&
	       at_platform_age_ms(node->platform) > PLATFORM_SILENCE_TIMEOUT_MS;
}

/* Advances the shutdown by at most one state. */
static void
on_stop_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_node_t *node = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	uint64_t waited_ms = now_ms - node->stop_since_ms;
	size_t open_count = count_open_work(node);

	(void)events;
	if (node->state == AT_NODE_DRAINING) {
		if (waited_ms < node->settings.drain_ms)
			return;
		at_httpd_stop_accepting(node->callers);
		node->state = AT_NODE_STOPPING;
		node->stop_since_ms = now_ms;
		at_log(AT_LOG_INFO, "node", NULL,
		    "Stopped accepting connections. Waiting for %zu open "
		    "requests.",
		    open_count);
		return;
	}
	if (waited_ms < LATE_REQUESTS_WAIT_MS)
		return;
	if (open_count > 0 && waited_ms < node->settings.stop_max_ms)
		return;
	at_limits_leave(node->limits);
	if (open_count == 0 && !at_limits_has_left(node->limits) &&
	    waited_ms < LEAVE_TIMEOUT_MS)
		return;
	if (open_count > 0)
		at_log(AT_LOG_ERROR, "node", NULL,
		    "%zu requests are still open after the time-out and are "
		    "aborted.",
		    open_count);
	node->state = AT_NODE_STOPPED;
	ev_timer_stop(loop, timer);
	ev_break(loop, EVBREAK_ALL);
}

void
at_node_stop(at_node_t *node)
{
	if (node->state >= AT_NODE_DRAINING)
		return;
	node->state = AT_NODE_DRAINING;
	node->stop_since_ms = at_clock_now_ms();
	at_httpd_close_connections(node->callers);
	at_peers_send_leaving(node->peers);
	at_placement_io_release(node->placement);
	at_log(AT_LOG_INFO, "node", NULL,
	    "Stopping. Connections are accepted for %u ms, until the "
	    "load balancer has noticed.",
	    node->settings.drain_ms);
	ev_timer_init(&node->stop_timer, on_stop_timer, STOP_CHECK_INTERVAL_S,
	    STOP_CHECK_INTERVAL_S);
	node->stop_timer.data = node;
	ev_timer_start(node->loop, &node->stop_timer);
}

void
at_node_delete(at_node_t *node)
{
	if (node == NULL)
		return;
	ev_timer_stop(node->loop, &node->stop_timer);
	ev_timer_stop(node->loop, &node->status_timer);
	ev_timer_stop(node->loop, &node->guard_timer);
	at_httpd_delete(node->callers);
	at_exchange_delete_all(node);
	at_placement_io_delete(node->placement);
	at_admissions_delete(node->admissions);
	at_httpd_delete(node->operators);
	at_config_io_delete(node->config_io);
	at_peers_delete(node->peers);
	at_platform_delete(node->platform);
	at_claims_io_delete(node->claims);
	at_jobs_io_delete(node->jobs);
	at_httpc_delete(node->httpc);
	at_limits_delete(node->limits);
	at_backends_delete(node->backends);
	at_router_delete(node->router);
	at_budgets_delete(node->budgets);
	at_crashes_delete(node);
	at_history_delete(node->history);
	at_config_delete(node->config);
	at_counters_delete(node->counters);
	free(node);
}
