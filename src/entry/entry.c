#include "entry/entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/entry_parts.h"
#include "io/clock.h"

#define TICK_S 0.05         /* between two checks of queued requests */
#define LOG_FLUSH_TICKS 4u  /* between two flushes of the log */
#define STOP_CHECK_S 0.05   /* between two checks of open requests */
#define STOP_MARGIN_MS 500u /* end of the grace period, kept for the exit */
#define PERCENT 100u
#define US_PER_MS 1000u
/* Longest time until a caller resumes a stream that was broken off. */
#define RESUME_MARGIN_US 5000000u
#define FAST_LINK_MIN_MBPS 100u /* from here on the link is no bottleneck */
/* Shortest stop after the drain, for requests that are on their way. */
#define STOP_MIN_MS 300u
/* Largest request body until a configuration is applied. */
#define DEFAULT_BODY_MAX_BYTES (4u << 20)

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_entry_t *entry = timer->data;
	static unsigned ticks;

	(void)loop;
	(void)events;
	at_process_guard_check(&entry->guard);
	at_calls_expire(entry->calls);
	at_calls_place_queued(entry->calls);
	if (++ticks % LOG_FLUSH_TICKS == 0)
		at_log_flush();
}

at_entry_t *
at_entry_new(struct ev_loop *loop, const at_entry_settings_t *settings)
{
	at_entry_t *entry = calloc(1, sizeof(*entry));

	if (entry == NULL)
		return NULL;
	entry->loop = loop;
	entry->settings = *settings;
	return entry;
}

/*
 * Returns the capacity of this machine in percent of a core. A fast link counts
 * as a core, because the holder of the lease and the readers send much.
 */
static uint32_t
compute_strength(const at_entry_settings_t *s)
{
	uint32_t processor =
	    (uint32_t)(s->processor_share * s->cores * PERCENT);

	return processor + (s->link_mbps >= FAST_LINK_MIN_MBPS ? PERCENT : 0);
}

static at_code_t
check_settings(at_entry_t *entry, at_status_t *status)
{
	const at_entry_settings_t *s = &entry->settings;
	at_clock_t wall = at_clock_wall();

	if (at_name_set(&entry->identity.self.instance, s->name) != 0)
		return at_status_set(status, AT_INVALID,
		    "--name: expected the name of an instance");
	if (at_fleet_secret_parse(&entry->identity.secret, s->secret) != 0)
		return at_status_set(status, AT_INVALID,
		    "--secret: expected 64 hexadecimal digits");
	entry->identity.self.number = at_random_system().next(NULL);
	entry->identity.tag = at_tag_from_text(s->name);
	entry->identity.data_centre = at_tag_from_text(s->data_centre);
	entry->identity.started_ms = wall.now_ms(wall.impl);
	entry->rng.state = entry->identity.self.number;
	entry->identity.strength = compute_strength(s);
	return AT_OK;
}

at_code_t
at_entry_init(at_entry_t *entry, at_status_t *status)
{
	const at_entry_settings_t *s = &entry->settings;

	if (check_settings(entry, status) != AT_OK)
		return status->code;
	if (entry_parts_new(entry) != 0)
		return at_status_set(status, AT_FAILED, "out of memory");
	if (s->regions != NULL &&
	    at_fleet_set_regions(entry->fleet, s->regions) != 0)
		return at_status_set(status, AT_INVALID,
		    "--regions: expected DATA-CENTRE:REGION,..., not '%s'",
		    s->regions);
	at_httpd_set_max_body(entry->callers, DEFAULT_BODY_MAX_BYTES);
	at_httpd_set_backlog(entry->callers,
	    at_entry_settings_backlog(s, entry->guard.limits.backlog));
	if (at_wire_store_init(entry->wire_store, s->store, status) != AT_OK ||
	    at_readiness_init(entry->readiness, status) != AT_OK ||
	    at_gossip_init(entry->gossip, status) != AT_OK ||
	    at_introductions_init(entry->introductions, status) != AT_OK ||
	    at_relay_init(entry->relay, status) != AT_OK ||
	    at_httpd_init(entry->callers, s->listen, status) != AT_OK)
		return status->code;
	at_sync_start(entry->sync);
	at_evacuation_sync_start(entry->evacuations);
	at_join_start(entry->join);
	at_server_crashes_start(entry->crashes);
	at_crash_blocks_start(entry->blocks);
	at_reach_io_start(entry->reach);
	at_orders_io_start(entry->orders);
	ev_timer_init(&entry->tick, on_tick, TICK_S, TICK_S);
	entry->tick.data = entry;
	ev_timer_start(entry->loop, &entry->tick);
	entry->state = AT_ENTRY_SERVING;
	at_log(AT_LOG_INFO, "entry", NULL,
	    "started name=%s data_centre=%s incarnation=%" PRIu64
	    " callers=%s peers=%s store=%s seeds=%s",
	    s->name, s->data_centre, entry->identity.self.number, s->listen,
	    s->peers, s->store, s->seeds);
	return AT_OK;
}

int
at_entry_is_ready(const at_entry_t *entry)
{
	return entry->state == AT_ENTRY_SERVING && entry->site != NULL &&
	       at_sync_is_complete(entry->sync) &&
	       at_evacuation_sync_is_settled(entry->evacuations);
}

int
at_entry_is_platform_away(const at_entry_t *entry)
{
	return at_sync_is_platform_away(entry->sync) ||
	       at_orders_io_failed_ms(entry->orders) >
		   at_sync_responded_ms(entry->sync);
}

/* Returns the longest time that a resumable stream may take. */
static uint64_t
longest_stream_us(const at_site_t *site)
{
	uint32_t longest_ms = 0;
	size_t i;

	for (i = 0; i < site->route_count; i++) {
		const at_site_route_t *route = site->routes[i];

		if (route->type == AT_ROUTE_STREAM && route->is_resumable &&
		    route->timeout_ms > longest_ms)
			longest_ms = route->timeout_ms;
	}
	return (uint64_t)longest_ms * US_PER_MS;
}

/* Returns how many routes and workspaces have allowed regions. */
static size_t
count_restricted(const at_site_t *site)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < site->route_count; i++)
		count += site->routes[i]->allowed_regions.count > 0;
	for (i = 0; i < site->workspace_count; i++)
		count += site->workspaces[i].allowed_regions.count > 0;
	return count;
}

void
at_entry_set_site(at_entry_t *entry, at_site_t *site)
{
	size_t restricted = count_restricted(site);

	at_log(AT_LOG_INFO, "config", NULL,
	    "configuration applied version=%" PRIu64 " previous=%" PRIu64
	    " routes=%zu services=%zu workspaces=%zu keys=%zu needs_keys=%d",
	    site->version, entry->site == NULL ? 0 : entry->site->version,
	    site->route_count, site->service_count, site->workspace_count,
	    site->key_count, site->has_workspaces);
	if (restricted > 0 && !at_fleet_has_regions(entry->fleet))
		at_log(AT_LOG_WARN, "config", NULL,
		    "allowed regions not applied: the setting regions is empty "
		    "restricted=%zu",
		    restricted);
	at_site_unref(entry->site);
	entry->site = site;
	at_fleet_set_site(entry->fleet, site);
	at_quota_set_site(entry->quota, site, at_clock_now_us());
	at_stream_origins_set_lifetime(
	    entry->origins, longest_stream_us(site) + RESUME_MARGIN_US);
	at_httpd_set_max_body(entry->callers, site->limits.body_bytes);
	at_httpd_set_header_timeout(entry->callers, site->limits.header_ms);
	at_relay_set_max_body(entry->relay, site->limits.body_bytes);
}

static void
warn_if_changed(const char *setting, const char *current, const char *newer)
{
	if (strcmp(current, newer) != 0)
		at_log(AT_LOG_WARN, "entry", NULL,
		    "setting changed; the new value takes effect at the next "
		    "start setting=%s",
		    setting);
}

void
at_entry_reload(at_entry_t *entry, const at_entry_settings_t *newer)
{
	at_entry_settings_t *s = &entry->settings;

	warn_if_changed("name", s->name, newer->name);
	warn_if_changed("data-centre", s->data_centre, newer->data_centre);
	warn_if_changed("listen", s->listen, newer->listen);
	warn_if_changed("ready", s->ready, newer->ready);
	warn_if_changed("metrics", s->metrics, newer->metrics);
	warn_if_changed("peers", s->peers, newer->peers);
	warn_if_changed("store", s->store, newer->store);
	warn_if_changed("secret", s->secret, newer->secret);
	if (s->regions != NULL && newer->regions != NULL)
		warn_if_changed("regions", s->regions, newer->regions);
	if (s->memory_mb != newer->memory_mb)
		at_log(AT_LOG_WARN, "entry", NULL,
		    "setting changed; the new value takes effect at the next "
		    "start setting=memory-mb");
	if (s->lease_ms != newer->lease_ms)
		at_log(AT_LOG_WARN, "entry", NULL,
		    "setting changed; the new value takes effect at the next "
		    "start setting=lease-ms");
	if (s->evacuate_ms != newer->evacuate_ms)
		at_log(AT_LOG_WARN, "entry", NULL,
		    "setting changed; the new value takes effect at the next "
		    "start setting=evacuate-ms");
	s->stop_grace_s = newer->stop_grace_s;
	s->log_lines_per_s = newer->log_lines_per_s;
	s->retry_ratio = newer->retry_ratio;
	s->retry_slack = newer->retry_slack;
	at_retry_budgets_set_limits(
	    entry->retries, s->retry_ratio, s->retry_slack);
	at_log_to_stdout(s->log_lines_per_s);
	at_log(AT_LOG_INFO, "entry", NULL,
	    "settings reloaded stop_grace_s=%u log_lines=%u retry_ratio=%.2f "
	    "retry_slack=%u",
	    s->stop_grace_s, s->log_lines_per_s, s->retry_ratio,
	    s->retry_slack);
}

uint64_t
at_entry_left_ms(const at_entry_t *entry)
{
	uint64_t grace_ms =
	    (uint64_t)entry->settings.stop_grace_s * AT_MS_PER_S;
	uint64_t waited_ms = at_clock_now_ms() - entry->stop_since_ms;

	return waited_ms + STOP_MARGIN_MS < grace_ms
		   ? grace_ms - waited_ms - STOP_MARGIN_MS
		   : 0;
}

static void
linger(at_entry_t *entry, size_t open, const at_stop_view_t *view)
{
	entry->state = AT_ENTRY_LINGERING;
	at_calls_refuse_queued(entry->calls, at_entry_left_ms(entry));
	at_log(AT_LOG_INFO, "entry", NULL,
	    "few others serve; requests that end in time are accepted open=%zu "
	    "ready=%u outlast=%u total=%u left_ms=%" PRIu64,
	    open, view->all.ready, view->all.outlast, view->all.total,
	    view->left_ms);
}

static void
close_listener(at_entry_t *entry, size_t open)
{
	at_httpd_stop_accepting(entry->callers);
	at_httpd_close_idle(entry->callers);
	entry->state = AT_ENTRY_STOPPING;
	entry->closed_ms = at_clock_now_ms();
	at_calls_refuse_queued(entry->calls, 0);
	at_log(AT_LOG_INFO, "entry", NULL,
	    "no new connections accepted; queued requests refused open=%zu",
	    open);
}

/* Returns non-zero if the instance is closed. */
static int
go_on_stopping(at_entry_t *entry, size_t open)
{
	uint64_t waited_ms = at_clock_now_ms() - entry->stop_since_ms;
	uint64_t grace_ms =
	    (uint64_t)entry->settings.stop_grace_s * AT_MS_PER_S;
	uint64_t now_us = at_clock_now_us();
	const at_stop_view_t view = {.waited_ms = waited_ms,
	    .left_ms = waited_ms < grace_ms ? grace_ms - waited_ms : 0,
	    .near = at_roster_presence(
		entry->roster, entry->identity.data_centre, now_us),
	    .all = at_roster_presence(entry->roster, 0, now_us)};
	at_stop_step_t step;

	if (entry->state == AT_ENTRY_STOPPING)
		return 1;
	step = at_stop_next(&entry->stop, &view);
	if (step == AT_STOP_LINGER && entry->state == AT_ENTRY_DRAINING)
		linger(entry, open, &view);
	else if (step == AT_STOP_CLOSE)
		close_listener(entry, open);
	return 0;
}

static void
on_stop_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_entry_t *entry = timer->data;
	size_t open = at_httpd_open_requests(entry->callers);
	int is_closed;
	int is_holder;

	(void)events;
	if (at_calls_count(entry->calls) > open)
		open = at_calls_count(entry->calls);
	open += at_relay_open(entry->relay);
	is_closed = go_on_stopping(entry, open) &&
		    at_clock_now_ms() >= entry->closed_ms + STOP_MIN_MS;
	is_holder = at_orders_io_stop(entry->orders, is_closed && open == 0);
	if (!is_closed ||
	    ((open > 0 || is_holder) && at_entry_left_ms(entry) > 0))
		return;
	if (open > 0 && !entry->calls_abandoned) {
		at_log(AT_LOG_ERROR, "entry", NULL,
		    "grace period over; open requests are ended open=%zu",
		    open);
		/* The responses are sent before the next check. */
		entry->calls_abandoned = 1;
		at_calls_abandon(entry->calls);
		at_relay_abandon(entry->relay);
		return;
	}
	ev_timer_stop(loop, timer);
	ev_break(loop, EVBREAK_ALL);
}

void
at_entry_stop(at_entry_t *entry)
{
	if (entry->state >= AT_ENTRY_DRAINING)
		return;
	entry->state = AT_ENTRY_DRAINING;
	entry->stop_since_ms = at_clock_now_ms();
	at_httpd_close_connections(entry->callers);
	at_orders_io_begin_stop(entry->orders,
	    (uint64_t)entry->settings.stop_grace_s * AT_MS_PER_S);
	at_gossip_send_leaving(entry->gossip);
	at_log(AT_LOG_INFO, "entry", NULL,
	    "shutdown started open=%zu grace_s=%u",
	    at_calls_count(entry->calls), entry->settings.stop_grace_s);
	ev_timer_init(
	    &entry->stop_timer, on_stop_timer, STOP_CHECK_S, STOP_CHECK_S);
	entry->stop_timer.data = entry;
	ev_timer_start(entry->loop, &entry->stop_timer);
}

void
at_entry_delete(at_entry_t *entry)
{
	if (entry == NULL)
		return;
	ev_timer_stop(entry->loop, &entry->tick);
	ev_timer_stop(entry->loop, &entry->stop_timer);
	entry_parts_delete(entry);
	free(entry);
}
