#include "entry/entry.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "almondthread/roster.h"
#include "entry/call.h"
#include "entry/crash_blocks.h"
#include "entry/server_crashes.h"
#include "entry/server_health.h"
#include "entry/server_notices.h"
#include "entry/entry_settings.h"
#include "entry/gossip.h"
#include "entry/join.h"
#include "entry/version_record.h"
#include "entry/orders.h"
#include "entry/reach.h"
#include "entry/readiness.h"
#include "entry/relay.h"
#include "entry/retry_budgets.h"
#include "entry/sync.h"
#include "io/clock.h"

#define TICK_S 0.05         /* between two checks of queued requests */
#define LOG_FLUSH_TICKS 4u  /* between two flushes of the log */
#define DRAIN_MS 2600u      /* until the balancer sends no more requests here */
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

	if (at_name_set(&entry->identity.self.instance, s->name) != 0)
		return at_status_set(status, AT_INVALID,
		    "--name: expected the name of an instance");
	if (at_fleet_secret_parse(&entry->identity.secret, s->secret) != 0)
		return at_status_set(status, AT_INVALID,
		    "--secret: expected 64 hexadecimal digits");
	entry->identity.self.number = at_random_system().next(NULL);
	entry->identity.tag = at_tag_from_text(s->name);
	entry->identity.data_centre = at_tag_from_text(s->data_centre);
	entry->rng.state = entry->identity.self.number;
	entry->identity.strength = compute_strength(s);
	return AT_OK;
}

static int
is_reaching(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_reach_io_is_up(entry->reach);
}

/* Only the holder of the lease deletes the objects of removed instances. */
static void
on_member_removed(void *ctx, const at_roster_member_t *member)
{
	at_entry_t *entry = ctx;

	if (at_orders_io_fence(entry->orders) != 0)
		at_join_remove(entry->join, &member->name);
}

static void
place_queued(void *ctx)
{
	at_entry_t *entry = ctx;

	at_calls_place_queued(entry->calls);
}

static at_gossip_t *
create_gossip(at_entry_t *entry)
{
	const at_gossip_deps_t deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .settings = &entry->settings,
	    .rng = &entry->rng,
	    .roster = entry->roster,
	    .fleet = entry->fleet,
	    .quota = entry->quota,
	    .queue = entry->queue,
	    .contention = entry->contention,
	    .origins = entry->origins,
	    .is_reaching = is_reaching,
	    .on_removed = on_member_removed,
	    .on_received = place_queued,
	    .ctx = entry};

	return at_gossip_new(&deps);
}

/* Orders cannot be sent; another instance takes over at once. */
static void
on_reaches_none(void *ctx)
{
	at_entry_t *entry = ctx;

	at_orders_io_step_down(entry->orders);
	at_calls_place_queued(entry->calls);
}

static void
on_verdicts_changed(void *ctx)
{
	at_entry_t *entry = ctx;

	at_calls_apply_verdicts(entry->calls);
}

/* Creates what sees to the backend servers; returns -1 if out of memory. */
static int
create_servers(at_entry_t *entry)
{
	const at_server_notices_deps_t notices_deps = {
	    .counters = entry->counters,
	    .fleet = entry->fleet,
	    .roster = entry->roster,
	    .gossip = entry->gossip,
	    .site = &entry->site};
	const at_reach_io_deps_t reach_deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .fleet = entry->fleet,
	    .httpc = entry->httpc,
	    .gossip = entry->gossip,
	    .on_reaches_none = on_reaches_none,
	    .ctx = entry};
	at_server_crashes_deps_t crashes_deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .fleet = entry->fleet,
	    .roster = entry->roster,
	    .httpc = entry->httpc,
	    .gossip = entry->gossip,
	    .on_verdicts_changed = on_verdicts_changed,
	    .ctx = entry};
	at_relay_deps_t relay_deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .settings = &entry->settings,
	    .state = &entry->state,
	    .fleet = entry->fleet,
	    .httpc = entry->httpc};

	entry->notices = at_server_notices_new(&notices_deps);
	entry->reach = at_reach_io_new(&reach_deps);
	crashes_deps.reach = entry->reach;
	entry->crashes = at_server_crashes_new(&crashes_deps);
	relay_deps.reach = entry->reach;
	relay_deps.notices = entry->notices;
	entry->relay = at_relay_new(&relay_deps);
	return entry->notices == NULL || entry->reach == NULL ||
		       entry->crashes == NULL || entry->relay == NULL
		   ? -1
		   : 0;
}

static void
set_site(void *ctx, at_site_t *site)
{
	at_entry_set_site(ctx, site);
}

static int
is_platform_away(void *ctx)
{
	return at_entry_is_platform_away(ctx);
}

static int
is_holder(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_orders_io_fence(entry->orders) != 0;
}

static int
is_reader(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_sync_is_reader(entry->sync);
}

static int
may_write_versions(void *ctx)
{
	return is_holder(ctx) && !at_entry_is_platform_away(ctx);
}

static int
take_recorded_version(void *ctx, const char *name)
{
	at_entry_t *entry = ctx;

	return at_version_record_apply(entry->version_record, name);
}

/* Creates what copies the platform's objects, or keeps some there. */
static int
create_copies(at_entry_t *entry)
{
	const at_objects_t objects = at_wire_store_objects(entry->wire_store);
	const at_sync_deps_t sync_deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .settings = &entry->settings,
	    .rng = &entry->rng,
	    .roster = entry->roster,
	    .fleet = entry->fleet,
	    .gossip = entry->gossip,
	    .objects = objects,
	    .site = &entry->site,
	    .set_site = set_site,
	    .on_servers_changed = place_queued,
	    .is_platform_away = is_platform_away,
	    .ctx = entry};
	const at_join_deps_t join_deps = {.loop = entry->loop,
	    .settings = &entry->settings,
	    .roster = entry->roster,
	    .store = entry->store,
	    .objects = objects,
	    .take_other = take_recorded_version,
	    .ctx = entry};
	const at_version_record_deps_t record_deps = {.origins = entry->origins,
	    .gossip = entry->gossip,
	    .store = entry->store,
	    .may_write = may_write_versions,
	    .ctx = entry};
	const at_crash_blocks_deps_t blocks_deps = {.loop = entry->loop,
	    .settings = &entry->settings,
	    .crashes = entry->crashes,
	    .store = entry->store,
	    .objects = objects,
	    .may_write = is_holder,
	    .may_read = is_reader,
	    .is_platform_away = is_platform_away,
	    .ctx = entry};

	entry->sync = at_sync_new(&sync_deps);
	entry->join = at_join_new(&join_deps);
	entry->version_record = at_version_record_new(&record_deps);
	entry->blocks = at_crash_blocks_new(&blocks_deps);
	return entry->sync == NULL || entry->join == NULL ||
		       entry->version_record == NULL || entry->blocks == NULL
		   ? -1
		   : 0;
}

static at_orders_io_t *
create_orders(at_entry_t *entry)
{
	const at_orders_io_deps_t deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .settings = &entry->settings,
	    .state = &entry->state,
	    .site = &entry->site,
	    .fleet = entry->fleet,
	    .roster = entry->roster,
	    .queue = entry->queue,
	    .httpc = entry->httpc,
	    .store = entry->store,
	    .gossip = entry->gossip,
	    .reach = entry->reach,
	    .notices = entry->notices,
	    .is_platform_away = is_platform_away,
	    .on_residents_changed = place_queued,
	    .ctx = entry};

	return at_orders_io_new(&deps);
}

/* Without the platform, the list may lack servers. */
static int
is_list_current(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_sync_is_complete(entry->sync) &&
	       at_join_is_complete(entry->join) &&
	       !at_entry_is_platform_away(entry);
}

static at_calls_t *
create_calls(at_entry_t *entry)
{
	const at_calls_deps_t deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .state = &entry->state,
	    .site = &entry->site,
	    .rng = &entry->rng,
	    .fleet = entry->fleet,
	    .roster = entry->roster,
	    .queue = entry->queue,
	    .quota = entry->quota,
	    .retries = entry->retries,
	    .origins = entry->origins,
	    .httpc = entry->httpc,
	    .gossip = entry->gossip,
	    .reach = entry->reach,
	    .crashes = entry->crashes,
	    .orders = entry->orders,
	    .observers = {at_calls_log_observer(),
		at_reach_io_observer(entry->reach),
		at_server_notices_observer(entry->notices),
		at_server_health_observer(entry->fleet),
		at_server_crashes_observer(entry->crashes),
		at_gossip_origins_observer(entry->gossip)},
	    .observer_count = 6,
	    .is_list_current = is_list_current,
	    .ctx = entry};

	return at_calls_new(&deps);
}

static int
is_ready(void *ctx)
{
	return at_entry_is_ready(ctx);
}

static void
set_values(void *ctx)
{
	const at_entry_t *entry = ctx;
	const struct {
		const char *name;
		uint64_t value;
	} values[] = {
	    {"open_requests", at_calls_count(entry->calls)},
	    {"waiting_requests", at_wait_queue_count(entry->queue)},
	    {"backend_servers", at_fleet_count(entry->fleet)},
	    {"config_version", entry->site == NULL ? 0 : entry->site->version},
	};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		at_counters_set(entry->counters, values[i].name, NULL, NULL,
		    values[i].value);
}

static at_readiness_t *
create_readiness(at_entry_t *entry)
{
	const at_readiness_deps_t deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .settings = &entry->settings,
	    .is_ready = is_ready,
	    .set_values = set_values,
	    .ctx = entry};

	return at_readiness_new(&deps);
}

static void
fill_report(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	(void)kind;
	(void)is_to_all;
	report->platform_away = at_entry_is_platform_away(ctx);
}

static void
begin_round(void *ctx, uint64_t now_us)
{
	at_entry_t *entry = ctx;

	(void)now_us;
	at_retry_budgets_set_instances(
	    entry->retries, at_roster_present_count(entry->roster));
}

/* What one part states in a report, later ones may rely on. */
static void
add_sections(at_entry_t *entry)
{
	const at_report_section_t sections[] = {
	    {.fill = fill_report, .begin_round = begin_round, .ctx = entry},
	    at_sync_section(entry->sync),
	    at_gossip_loads_section(entry->gossip),
	    at_reach_io_section(entry->reach),
	    at_relay_section(entry->relay),
	    at_server_notices_section(entry->notices),
	    at_orders_io_section(entry->orders),
	    at_server_crashes_section(entry->crashes),
	    at_version_record_section(entry->version_record),
	};
	size_t i;

	for (i = 0; i < sizeof(sections) / sizeof(sections[0]); i++)
		at_gossip_add_section(entry->gossip, &sections[i]);
}

/* Creates all components; returns -1 if out of memory. */
static int
create_components(at_entry_t *entry)
{
	const at_entry_settings_t *s = &entry->settings;

	entry->counters = at_counters_new();
	entry->httpc = at_httpc_new(entry->loop);
	entry->callers = at_httpd_new(entry->loop);
	if (entry->counters == NULL || entry->httpc == NULL ||
	    entry->callers == NULL)
		return -1;
	entry->wire_store = at_wire_store_new(entry->loop, entry->httpc);
	entry->fleet =
	    at_fleet_new(entry->identity.data_centre, at_rng_next(&entry->rng));
	entry->quota = at_quota_new(at_rng_next(&entry->rng));
	entry->retries = at_retry_budgets_new(s->retry_ratio, s->retry_slack);
	entry->roster = at_roster_new(
	    &entry->identity.self.instance, entry->identity.strength);
	entry->origins = at_stream_origins_new();
	if (entry->wire_store == NULL || entry->fleet == NULL ||
	    entry->quota == NULL || entry->retries == NULL ||
	    entry->roster == NULL || entry->origins == NULL)
		return -1;
	entry->store = at_wire_store_port(entry->wire_store);
	at_wire_store_set_counters(entry->wire_store, entry->counters);
	entry->contention = at_contention_new(at_rng_next(&entry->rng));
	entry->queue = at_wait_queue_new(entry->fleet, entry->contention);
	entry->gossip = create_gossip(entry);
	if (create_servers(entry) != 0)
		return -1;
	if (create_copies(entry) != 0)
		return -1;
	entry->orders = create_orders(entry);
	entry->calls = create_calls(entry);
	entry->readiness = create_readiness(entry);
	return entry->queue == NULL || entry->contention == NULL ||
		       entry->gossip == NULL || entry->orders == NULL ||
		       entry->calls == NULL || entry->readiness == NULL
		   ? -1
		   : 0;
}

at_code_t
at_entry_init(at_entry_t *entry, at_status_t *status)
{
	const at_entry_settings_t *s = &entry->settings;

	if (check_settings(entry, status) != AT_OK)
		return status->code;
	if (create_components(entry) != 0)
		return at_status_set(status, AT_FAILED, "out of memory");
	add_sections(entry);
	at_httpd_set_handler(entry->callers, at_call_handle, entry->calls);
	at_httpd_set_fault_handler(
	    entry->callers, at_call_handle_fault, entry->calls);
	at_httpd_set_max_body(entry->callers, DEFAULT_BODY_MAX_BYTES);
	at_httpd_set_backlog(entry->callers, at_entry_settings_backlog(s));
	if (at_wire_store_init(entry->wire_store, s->store, status) != AT_OK ||
	    at_readiness_init(entry->readiness, status) != AT_OK ||
	    at_gossip_init(entry->gossip, status) != AT_OK ||
	    at_relay_init(entry->relay, status) != AT_OK ||
	    at_httpd_init(entry->callers, s->listen, status) != AT_OK)
		return status->code;
	at_sync_start(entry->sync);
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
	    " callers=%s peers=%s store=%s",
	    s->name, s->data_centre, entry->identity.self.number, s->listen,
	    s->peers, s->store);
	return AT_OK;
}

int
at_entry_is_ready(const at_entry_t *entry)
{
	return entry->state == AT_ENTRY_SERVING && entry->site != NULL &&
	       at_sync_is_complete(entry->sync);
}

int
at_entry_is_platform_away(const at_entry_t *entry)
{
	return at_sync_is_platform_away(entry->sync) ||
	       at_orders_io_is_platform_away(entry->orders);
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

void
at_entry_set_site(at_entry_t *entry, at_site_t *site)
{
	at_log(AT_LOG_INFO, "config", NULL,
	    "configuration applied version=%" PRIu64 " previous=%" PRIu64
	    " routes=%zu services=%zu workspaces=%zu keys=%zu",
	    site->version, entry->site == NULL ? 0 : entry->site->version,
	    site->route_count, site->service_count, site->workspace_count,
	    site->key_count);
	at_site_unref(entry->site);
	entry->site = site;
	at_fleet_set_site(entry->fleet, site);
	at_quota_set_site(entry->quota, site, at_clock_now_us());
	at_stream_origins_set_lifetime(
	    entry->origins, longest_stream_us(site) + RESUME_MARGIN_US);
	at_httpd_set_max_body(entry->callers, site->limits.body_bytes);
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
	if (s->lease_ms != newer->lease_ms)
		at_log(AT_LOG_WARN, "entry", NULL,
		    "setting changed; the new value takes effect at the next "
		    "start setting=lease-ms");
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

static void
on_stop_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_entry_t *entry = timer->data;
	uint64_t waited_ms = at_clock_now_ms() - entry->stop_since_ms;
	uint64_t grace_ms =
	    (uint64_t)entry->settings.stop_grace_s * AT_MS_PER_S;
	size_t open = at_httpd_open_requests(entry->callers);

	(void)events;
	if (at_calls_count(entry->calls) > open)
		open = at_calls_count(entry->calls);
	open += at_relay_open(entry->relay);
	if (entry->state == AT_ENTRY_DRAINING) {
		if (waited_ms < DRAIN_MS)
			return;
		at_httpd_stop_accepting(entry->callers);
		at_httpd_close_idle(entry->callers);
		entry->state = AT_ENTRY_STOPPING;
		at_calls_refuse_queued(entry->calls);
		at_log(AT_LOG_INFO, "entry", NULL,
		    "no new connections accepted; queued requests refused "
		    "open=%zu",
		    open);
		return;
	}
	if (waited_ms < DRAIN_MS + STOP_MIN_MS)
		return;
	if (open > 0 && waited_ms + STOP_MARGIN_MS < grace_ms)
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
	at_orders_io_release(entry->orders);
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
	at_httpd_delete(entry->callers);
	at_calls_delete(entry->calls);
	at_relay_delete(entry->relay);
	at_reach_io_delete(entry->reach);
	at_readiness_delete(entry->readiness);
	at_orders_io_delete(entry->orders);
	at_gossip_delete(entry->gossip);
	at_crash_blocks_delete(entry->blocks);
	at_server_crashes_delete(entry->crashes);
	at_server_notices_delete(entry->notices);
	at_join_delete(entry->join);
	at_version_record_delete(entry->version_record);
	if (entry->sync != NULL)
		at_sync_delete(entry->sync);
	at_wire_store_delete(entry->wire_store);
	at_httpc_delete(entry->httpc);
	at_wait_queue_delete(entry->queue);
	at_contention_delete(entry->contention);
	at_roster_delete(entry->roster);
	at_retry_budgets_delete(entry->retries);
	at_stream_origins_delete(entry->origins);
	at_quota_delete(entry->quota);
	at_fleet_delete(entry->fleet);
	at_site_unref(entry->site);
	at_counters_delete(entry->counters);
	free(entry);
}
