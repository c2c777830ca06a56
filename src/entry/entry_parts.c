#include "entry/entry_parts.h"

#include "entry/servers/server_health.h"
#include "io/clock.h"

/* In which all instances write their objects again. */
#define REJOIN_SPREAD_MS 2000u
/* In which the servers have written their entries again. */
#define RELISTED_MS 2000u

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

/* Reports may have told the origins of streams that callers resume. */
static void
on_reports_received(void *ctx)
{
	at_entry_t *entry = ctx;

	at_calls_place_queued(entry->calls);
	at_calls_release_held(entry->calls);
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
	    .on_received = on_reports_received,
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

/* A leaving instance, or one that reaches no server, leaves it to others. */
static int
is_sending(void *ctx)
{
	const at_entry_t *entry = ctx;

	return entry->state < AT_ENTRY_DRAINING &&
	       at_reach_io_is_up(entry->reach);
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
	    .site = &entry->site,
	    .identity = &entry->identity,
	    .is_sending = is_sending,
	    .ctx = entry};
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
	    .guard = &entry->guard,
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

/* What this system has written to the platform may be gone. */
static void
on_later_era(void *ctx)
{
	at_entry_t *entry = ctx;

	entry->later_era_ms = at_clock_now_ms();
	at_counters_add(entry->counters, "store_eras_total", NULL, NULL, 1);
	at_orders_io_note_lost_writes(entry->orders);
	at_stream_origins_forget_recorded(entry->origins);
	at_crash_blocks_forget_stored(entry->blocks);
	at_join_repeat(entry->join,
	    (uint32_t)(at_rng_next(&entry->rng) % REJOIN_SPREAD_MS));
}

/* Queued requests that can go nowhere any more are refused at once. */
static void
on_evacuations_changed(void *ctx)
{
	at_entry_t *entry = ctx;

	at_calls_place_queued(entry->calls);
	at_calls_expire(entry->calls);
}

static void
on_list_asked(void *ctx)
{
	const at_entry_t *entry = ctx;

	at_calls_note_list_asked(entry->calls);
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
	    .origins = entry->origins,
	    .objects = objects,
	    .site = &entry->site,
	    .set_site = set_site,
	    .on_servers_changed = place_queued,
	    .on_list_asked = on_list_asked,
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

	const at_evacuation_sync_deps_t evacuation_deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .identity = &entry->identity,
	    .settings = &entry->settings,
	    .fleet = entry->fleet,
	    .gossip = entry->gossip,
	    .objects = objects,
	    .is_reader = is_reader,
	    .on_changed = on_evacuations_changed,
	    .ctx = entry};

	entry->sync = at_sync_new(&sync_deps);
	entry->evacuations = at_evacuation_sync_new(&evacuation_deps);
	entry->join = at_join_new(&join_deps);
	entry->version_record = at_version_record_new(&record_deps);
	entry->blocks = at_crash_blocks_new(&blocks_deps);
	return entry->sync == NULL || entry->evacuations == NULL ||
		       entry->join == NULL || entry->version_record == NULL ||
		       entry->blocks == NULL
		   ? -1
		   : 0;
}

static int
is_listed(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_join_is_complete(entry->join);
}

static at_introductions_t *
create_introductions(at_entry_t *entry)
{
	const at_introductions_deps_t deps = {.counters = entry->counters,
	    .settings = &entry->settings,
	    .rng = &entry->rng,
	    .roster = entry->roster,
	    .gossip = entry->gossip,
	    .is_listed = is_listed,
	    .ctx = entry};

	return at_introductions_new(&deps);
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

/*
 * Without the platform, or shortly after it is back from an older copy, the
 * list may lack servers for longer than a question to the platform takes.
 */
static int
is_list_current(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_sync_is_complete(entry->sync) &&
	       at_join_is_complete(entry->join) &&
	       !at_entry_is_platform_away(entry) &&
	       (entry->later_era_ms == 0 ||
		   at_clock_now_ms() >= entry->later_era_ms + RELISTED_MS);
}

static uint64_t
ask_list(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_sync_ask(entry->sync);
}

static int
is_list_confirmed(void *ctx, uint64_t ticket)
{
	const at_entry_t *entry = ctx;

	return at_sync_has_answer(entry->sync, ticket);
}

static int
is_list_unconfirmed(void *ctx)
{
	const at_entry_t *entry = ctx;

	return at_sync_is_unanswered(entry->sync);
}

static uint64_t
left_ms(void *ctx)
{
	return at_entry_left_ms(ctx);
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
	    .memory = &entry->guard.memory,
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
	    .ask_list = ask_list,
	    .is_list_confirmed = is_list_confirmed,
	    .is_list_unconfirmed = is_list_unconfirmed,
	    .left_ms = left_ms,
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
	    {"cold_servers",
		at_fleet_count_cold(entry->fleet, at_clock_now_us())},
	    {"slow_servers", at_fleet_slow(entry->fleet, at_clock_now_us())},
	    {"copies_age_ms", at_sync_age_ms(entry->sync)},
	    {"evacuated_data_centres",
		at_evacuation_sync_count(entry->evacuations)},
	    {"config_version", entry->site == NULL ? 0 : entry->site->version},
	};
	size_t i;

	for (i = 0; i < sizeof(values) / sizeof(values[0]); i++)
		at_counters_set(entry->counters, values[i].name, NULL, NULL,
		    values[i].value);
	at_process_guard_count(&entry->guard, entry->counters);
}

static at_readiness_t *
create_readiness(at_entry_t *entry)
{
	const at_readiness_deps_t deps = {.loop = entry->loop,
	    .counters = entry->counters,
	    .settings = &entry->settings,
	    .guard = &entry->guard,
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
	/* Others may have noticed a later era of the platform. */
	at_wire_store_note_version(
	    entry->wire_store, at_sync_servers_since(entry->sync));
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
	    at_evacuation_sync_section(entry->evacuations),
	    at_gossip_loads_section(entry->gossip),
	    at_reach_io_section(entry->reach),
	    at_relay_section(entry->relay),
	    at_server_notices_section(entry->notices),
	    at_orders_io_section(entry->orders),
	    at_server_crashes_section(entry->crashes),
	    at_version_record_section(entry->version_record),
	    at_introductions_section(entry->introductions),
	};
	size_t i;

	for (i = 0; i < sizeof(sections) / sizeof(sections[0]); i++)
		at_gossip_add_section(entry->gossip, &sections[i]);
}

int
entry_parts_new(at_entry_t *entry)
{
	const at_entry_settings_t *s = &entry->settings;

	entry->counters = at_counters_new();
	entry->httpc = at_httpc_new(entry->loop);
	entry->callers = at_httpd_new(entry->loop);
	if (entry->counters == NULL || entry->httpc == NULL ||
	    entry->callers == NULL)
		return -1;
	at_process_guard_init(
	    &entry->guard, s->descriptors, s->memory_mb, entry->httpc);
	at_process_guard_add(&entry->guard, entry->callers, AT_GUARD_CALLERS);
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
	at_fleet_set_cold_bound(
	    entry->fleet, s->cold_overage, s->cold_tolerance);
	at_roster_set_started(entry->roster, entry->identity.started_ms);
	entry->store = at_wire_store_port(entry->wire_store);
	at_wire_store_set_counters(entry->wire_store, entry->counters);
	entry->contention = at_contention_new(at_rng_next(&entry->rng));
	entry->queue = at_wait_queue_new(entry->fleet, entry->contention);
	entry->gossip = create_gossip(entry);
	if (entry->gossip == NULL || create_servers(entry) != 0)
		return -1;
	if (create_copies(entry) != 0)
		return -1;
	entry->introductions = create_introductions(entry);
	entry->orders = create_orders(entry);
	entry->calls = create_calls(entry);
	entry->readiness = create_readiness(entry);
	if (entry->queue == NULL || entry->contention == NULL ||
	    entry->introductions == NULL || entry->orders == NULL ||
	    entry->calls == NULL || entry->readiness == NULL)
		return -1;
	at_httpd_set_handler(entry->callers, at_call_handle, entry->calls);
	at_httpd_set_fault_handler(
	    entry->callers, at_call_handle_fault, entry->calls);
	at_httpd_set_classifier(entry->callers, at_call_classify, entry->calls);
	at_wire_store_set_era_handler(entry->wire_store, on_later_era, entry);
	add_sections(entry);
	return 0;
}

void
entry_parts_delete(at_entry_t *entry)
{
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
	at_introductions_delete(entry->introductions);
	at_evacuation_sync_delete(entry->evacuations);
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
}
