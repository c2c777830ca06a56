#include "entry/sync.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "almondthread/mirror.h"
#include "entry/gossip.h"
#include "io/clock.h"
#include "platform/names.h"
#include "platform/server_decode.h"
#include "platform/site_decode.h"

/* Missing servers may be listed again within this time after an outage. */
#define SERVERS_DELETION_DELAY_MS 2000u
/* Changes within this time are read in one call. */
#define BATCH_DELAY_MS 600u
/* Least time between two checks of the configuration. */
#define CONFIG_CHECK_INTERVAL_MS 250u
/* How long to wait for the reader's report of a newer configuration. */
#define CONFIG_REPORT_TIMEOUT_MS 700u
/* A reader gives way when the platform has confirmed nothing for longer. */
#define READER_CONFIRMATION_MAX_MS 1200u
/*
 * A follower lists by itself without a confirmation for longer. Where there is
 * more time, another instance has become the reader by then, and only that one
 * lists; LIST_TIME_MS is left for the follower's own list.
 */
#define FOLLOWER_CONFIRMATION_MIN_MS 1500u
#define LIST_TIME_MS 500u
/* A watch has failed if another reader knows a newer change for longer. */
#define NEWER_VERSION_MAX_MS 700u
/* A watch that has responded since then needs no check. */
#define WATCH_CONFIRMATION_MS 800u
/*
 * Entries of the list lapse after some seconds without a heartbeat; no outage
 * of the platform between two confirmations within this time makes them lapse.
 */
#define CONFIRMATION_GAP_MAX_MS 1500u
/* Wait of a watch that only checks for changes. */
#define WATCH_CHECK_WAIT_MS 1u
/* A datagram was lost if the list differs from the reader's for longer. */
#define DIGEST_MISMATCH_MAX_MS 700u

/* Copy of the platform's objects of one kind. */
typedef struct watcher {
	at_sync_t *sync;
	const char *kind;
	at_mirror_t *mirror;
	at_objects_call_t *call; /* open call, or NULL */
	uint64_t list_sent_ms;   /* when the first page was requested */
	uint64_t listed_ms;      /* the same of the last complete list */
	uint64_t responded_ms;   /* last response with objects or changes */
	uint64_t watch_sent_ms;  /* when the open or last watch was sent */
	/* The same of the last watch that responded: all earlier changes are
	 * known here. */
	uint64_t watched_ms;
	int was_away;
	int is_fed;             /* the change comes from the reader */
	uint64_t away_since_ms; /* last confirmation before the last outage */
	ev_timer timer;
} watcher_t;

struct at_sync {
	at_entry_t *entry;
	at_objects_t objects;
	watcher_t config;
	watcher_t servers;
	at_objects_call_t *config_check; /* open call, or NULL */
	uint64_t config_check_after_ms;  /* no check before this time */
	uint64_t config_check_sent_ms;
	/* A check has shown that earlier changes of the configuration are
	 * known.
	 */
	uint64_t config_confirmed_ms;
	at_objects_call_t *servers_check; /* open call, or NULL */
	uint64_t servers_check_since;     /* version that it starts from */
	uint64_t servers_check_sent_ms;
	/*
	 * Changes that the platform had before this time are known here, from
	 * its responses to this instance or from the reader's reports.
	 */
	uint64_t confirmed_ms;
	uint64_t steady_since_ms; /* confirmed since then without a gap */
	int is_reader;
	uint64_t reader_since_ms;
	int is_silent; /* the platform did not confirm in time to the reader */
	/* Since when another instance has a newer configuration; 0: none. */
	uint64_t newer_since_ms;
	/* Version of the servers that another reader has; 0: none newer. */
	uint64_t newer_version;
	uint64_t newer_version_since_ms;
	/* Since when the list differs from the reader's; 0: it does not. */
	uint64_t differs_since_ms;
};

static void process(watcher_t *watcher);
static void set_timer(watcher_t *watcher);

static void
on_config_change(void *ctx, const at_object_t *object)
{
	watcher_t *watcher = ctx;
	at_entry_t *entry = watcher->sync->entry;
	uint64_t begun_us = at_clock_now_us();
	at_status_t status;
	at_site_t *site;

	if (strcmp(object->name, WIRE_CONFIG_NAME) != 0)
		return;
	at_status_clear(&status);
	site = at_site_decode(
	    object->text, object->len, entry->site, &entry->secret, &status);
	if (site == NULL) {
		at_log(AT_LOG_ERROR, "config", NULL,
		    "configuration rejected; the previous one stays in use "
		    "object_version=%" PRIu64 " fault=\"%s\"",
		    object->version, status.message);
		return;
	}
	if (entry->site != NULL && site->version <= entry->site->version) {
		at_log(AT_LOG_WARN, "config", NULL,
		    "configuration ignored: not newer version=%" PRIu64
		    " current=%" PRIu64,
		    site->version, entry->site->version);
		at_site_unref(site);
		return;
	}
	at_entry_set_site(entry, site);
	watcher->sync->newer_since_ms = 0;
	at_gossip_note_config(entry->gossip, object->name, object->version,
	    object->text, object->len, at_sync_is_reader(watcher->sync));
	at_log(AT_LOG_INFO, "config", NULL,
	    "configuration taken object_version=%" PRIu64
	    " from=%s took_us=%" PRIu64,
	    object->version, watcher->is_fed ? "reader" : "platform",
	    at_clock_now_us() - begun_us);
}

static void
on_config_deleted(void *ctx, const char *name, uint64_t version)
{
	(void)ctx;
	(void)version;
	at_log(AT_LOG_ERROR, "config", NULL,
	    "configuration object deleted; the last version stays in "
	    "use name=%s",
	    name);
}

static void
on_server_change(void *ctx, const at_object_t *object)
{
	watcher_t *watcher = ctx;
	at_entry_t *entry = watcher->sync->entry;
	at_server_entry_t server;
	const char *fault =
	    at_server_decode(object->name, object->text, object->len, &server);

	if (at_sync_is_reader(watcher->sync))
		at_gossip_send_server(entry->gossip, object->name,
		    object->version, object->text, object->len);

	if (fault != NULL) {
		at_log(AT_LOG_WARN, "servers", NULL,
		    "server object rejected; server removed name=%s "
		    "object_version=%" PRIu64 " fault=%s",
		    object->name, object->version, fault);
		at_fleet_remove(entry->fleet, at_tag_from_text(object->name));
		return;
	}
	if (at_fleet_update_server(entry->fleet, &server) == NULL) {
		at_log(AT_LOG_INFO, "servers", NULL,
		    "server object ignored: of an earlier incarnation name=%s "
		    "object_version=%" PRIu64,
		    object->name, object->version);
		return;
	}
	at_log(AT_LOG_INFO, "servers", NULL,
	    "server object applied name=%s address=%s software=%016" PRIx64
	    " leaving=%d models=%zu "
	    "heartbeat=%" PRIu64 " object_version=%" PRIu64,
	    object->name, server.address, server.software, server.is_leaving,
	    server.residents.count, server.heartbeat_sequence, object->version);
}

static void
on_server_deleted(void *ctx, const char *name, uint64_t version)
{
	watcher_t *watcher = ctx;
	at_entry_t *entry = watcher->sync->entry;

	at_log(AT_LOG_INFO, "servers", NULL,
	    "server object deleted; server removed name=%s", name);
	at_fleet_remove(entry->fleet, at_tag_from_text(name));
	if (at_sync_is_reader(watcher->sync))
		at_gossip_send_server(entry->gossip, name, version, NULL, 0);
}

static void
log_platform_state(watcher_t *watcher, at_objects_code_t code)
{
	int away = at_mirror_is_platform_away(watcher->mirror);

	if (away == watcher->was_away)
		return;
	watcher->was_away = away;
	if (away)
		watcher->away_since_ms = watcher->sync->confirmed_ms;
	if (away)
		at_log(AT_LOG_WARN, "platform", NULL,
		    "platform away; the last known objects stay in use "
		    "kind=%s result=%s",
		    watcher->kind, at_objects_code_names[code]);
	else
		at_log(AT_LOG_INFO, "platform", NULL,
		    "platform responds again kind=%s objects=%zu",
		    watcher->kind, at_mirror_count(watcher->mirror));
}

static void
relist(watcher_t *watcher)
{
	if (watcher->call != NULL)
		watcher->sync->objects.cancel(
		    watcher->sync->objects.impl, watcher->call);
	watcher->call = NULL;
	at_mirror_relist(watcher->mirror);
	process(watcher);
}

/* Takes confirmation that changes before since_ms are known here. */
static void
note_confirmed(at_sync_t *sync, uint64_t since_ms)
{
	if (since_ms <= sync->confirmed_ms)
		return;
	if (since_ms > sync->confirmed_ms + CONFIRMATION_GAP_MAX_MS)
		sync->steady_since_ms = since_ms;
	sync->confirmed_ms = since_ms;
}

/*
 * Two complete lists confirm all changes before the earlier one was sent.
 * Followers that receive this do not list for themselves.
 */
static void
note_listed(at_sync_t *sync)
{
	uint64_t config_ms = sync->config.listed_ms;
	uint64_t servers_ms = sync->servers.listed_ms;

	note_confirmed(sync, config_ms < servers_ms ? config_ms : servers_ms);
	if (sync->is_reader)
		at_gossip_send_soon(sync->entry->gossip);
}

/*
 * Returns since when the reader has no confirmation. A new reader has the time
 * of its first lists.
 */
static uint64_t
unconfirmed_since_ms(const at_sync_t *sync)
{
	return sync->confirmed_ms > sync->reader_since_ms
		   ? sync->confirmed_ms
		   : sync->reader_since_ms;
}

/* When one watch has lost its history, the other receives no changes either. */
static void
relist_other(watcher_t *watcher)
{
	at_sync_t *sync = watcher->sync;
	watcher_t *other =
	    watcher == &sync->config ? &sync->servers : &sync->config;

	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch history lost kind=%s; listing kind=%s too", watcher->kind,
	    other->kind);
	relist(other);
}

static void
on_servers_checked(void *ctx, const at_objects_page_t *page)
{
	at_sync_t *sync = ctx;
	watcher_t *servers = &sync->servers;

	sync->servers_check = NULL;
	if (!sync->is_reader || at_mirror_is_listing(servers->mirror))
		return;
	if (page->code == AT_OBJECTS_HISTORY_GONE) {
		relist_other(servers);
		relist(servers);
		return;
	}
	/* Meanwhile the open watch may have responded. */
	if (page->code == AT_OBJECTS_OK)
		note_confirmed(sync, at_mirror_since(servers->mirror) ==
					     sync->servers_check_since
					 ? sync->servers_check_sent_ms
					 : sync->config_check_sent_ms);
	if (!at_mirror_check_watch(servers->mirror, at_clock_now_ms(),
		sync->servers_check_since, page))
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch missed changes; watching again kind=%s objects=%zu",
	    servers->kind, page->count);
	if (servers->call != NULL)
		sync->objects.cancel(sync->objects.impl, servers->call);
	servers->call = NULL;
	process(servers);
	at_entry_place_queued(sync->entry);
}

/* A check of the configuration and a watch of the servers confirm together. */
static void
note_watched(at_sync_t *sync)
{
	uint64_t watched_ms = sync->servers.watched_ms;

	note_confirmed(sync, watched_ms < sync->config_confirmed_ms
				 ? watched_ms
				 : sync->config_confirmed_ms);
}

/*
 * Called with the version of the store that a check of the configuration has
 * returned. The list of servers is complete if its watch began at that version.
 * Otherwise a second watch shows whether there are changes: a watch whose
 * response was lost, or whose history was dropped, stays open without any.
 */
static void
confirm_servers(at_sync_t *sync, uint64_t store_version)
{
	const at_mirror_t *mirror = sync->servers.mirror;

	if (!sync->is_reader || sync->servers_check != NULL ||
	    at_mirror_is_listing(sync->config.mirror) ||
	    at_mirror_is_listing(mirror))
		return;
	if (store_version <= at_mirror_since(mirror)) {
		note_confirmed(sync, sync->config_check_sent_ms);
		return;
	}
	/* With many changes the watch proves itself, again and again. */
	if (sync->servers.watched_ms + WATCH_CONFIRMATION_MS >=
	    at_clock_now_ms()) {
		sync->config_confirmed_ms = sync->config_check_sent_ms;
		note_watched(sync);
		return;
	}
	/* No watch is open for a moment after each response to one. */
	if (sync->servers.call == NULL) {
		note_confirmed(sync, sync->servers.responded_ms);
		return;
	}
	sync->servers_check_since = at_mirror_since(mirror);
	sync->servers_check_sent_ms = at_clock_now_ms();
	sync->servers_check = sync->objects.watch(sync->objects.impl,
	    sync->servers.kind, sync->servers_check_since, WATCH_CHECK_WAIT_MS,
	    on_servers_checked, sync);
}

static void
on_config_checked(void *ctx, const at_objects_page_t *page)
{
	at_sync_t *sync = ctx;

	sync->config_check = NULL;
	if (page->code == AT_OBJECTS_OK)
		confirm_servers(sync, page->store_version);
	/*
	 * A follower receives changes later than the reader, so a missing
	 * change does not show that a watch has failed.
	 */
	if (!at_mirror_check_list(
		sync->config.mirror, at_clock_now_ms(), page) ||
	    !sync->is_reader)
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch missed changes; listing all kinds again kind=%s",
	    sync->config.kind);
	relist(&sync->config);
	relist(&sync->servers);
}

static void
set_following(watcher_t *watcher, int following)
{
	if (following && watcher->call != NULL &&
	    !at_mirror_is_listing(watcher->mirror)) {
		watcher->sync->objects.cancel(
		    watcher->sync->objects.impl, watcher->call);
		watcher->call = NULL;
		at_mirror_note_call_dropped(watcher->mirror);
	}
	at_mirror_set_following(watcher->mirror, following);
	process(watcher);
}

void
at_sync_set_reader(at_sync_t *sync, int is_reader)
{
	if (sync->is_reader == is_reader)
		return;
	sync->is_reader = is_reader;
	sync->reader_since_ms = at_clock_now_ms();
	sync->differs_since_ms = 0;
	sync->newer_version = 0;
	at_log(AT_LOG_INFO, "platform", NULL,
	    "this instance %s the platform's lists",
	    is_reader ? "reads" : "follows the reader of");
	set_following(&sync->config, !is_reader);
	set_following(&sync->servers, !is_reader);
}

int
at_sync_is_reader(const at_sync_t *sync)
{
	return sync->is_reader;
}

static void
feed_object(
    watcher_t *watcher, const char *name, uint64_t version, const char *spec)
{
	at_object_t object = {.name = name,
	    .version = version,
	    .text = spec,
	    .len = spec == NULL ? 0 : strlen(spec)};
	uint64_t now_ms = at_clock_now_ms();

	if (watcher->sync->is_reader)
		return;
	if (spec == NULL) {
		at_mirror_feed_deleted(watcher->mirror, now_ms, name, version);
		return;
	}
	watcher->is_fed = 1;
	at_mirror_feed(watcher->mirror, now_ms, &object);
	watcher->is_fed = 0;
}

void
at_sync_feed_server(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec)
{
	feed_object(&sync->servers, name, version, spec);
}

void
at_sync_feed_config(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec)
{
	/* A new instance lists the configuration, to be sure of the newest. */
	if (spec != NULL && at_mirror_is_synced(sync->config.mirror))
		feed_object(&sync->config, name, version, spec);
}

void
at_sync_note_newer_config(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->newer_since_ms == 0)
		sync->newer_since_ms = now_ms;
	if (sync->is_reader ||
	    now_ms - sync->newer_since_ms >= CONFIG_REPORT_TIMEOUT_MS)
		at_sync_check_config(sync);
}

uint64_t
at_sync_digest(const at_sync_t *sync)
{
	return at_mirror_digest(sync->servers.mirror);
}

void
at_sync_compare_digest(at_sync_t *sync, uint64_t reader_digest)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->is_reader || at_mirror_is_listing(sync->servers.mirror) ||
	    reader_digest == at_mirror_digest(sync->servers.mirror)) {
		sync->differs_since_ms = 0;
		return;
	}
	if (sync->differs_since_ms == 0)
		sync->differs_since_ms = now_ms;
	if (now_ms - sync->differs_since_ms < DIGEST_MISMATCH_MAX_MS)
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "list differs from the reader's; listing again kind=%s",
	    WIRE_KIND_SERVERS);
	sync->differs_since_ms = 0;
	relist(&sync->servers);
}

uint64_t
at_sync_servers_version(const at_sync_t *sync)
{
	return at_mirror_newest(sync->servers.mirror);
}

void
at_sync_compare_version(at_sync_t *sync, uint64_t version)
{
	const at_mirror_t *mirror = sync->servers.mirror;
	uint64_t now_ms = at_clock_now_ms();

	if (!sync->is_reader || at_mirror_is_listing(mirror) ||
	    at_mirror_covers(mirror, sync->newer_version))
		sync->newer_version = 0;
	if (!sync->is_reader || at_mirror_is_listing(mirror) ||
	    at_mirror_covers(mirror, version))
		return;
	if (sync->newer_version == 0) {
		sync->newer_version = version;
		sync->newer_version_since_ms = now_ms;
	}
	if (now_ms - sync->newer_version_since_ms < NEWER_VERSION_MAX_MS)
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch missed changes that another reader has; listing all kinds "
	    "again kind=%s version=%" PRIu64,
	    sync->servers.kind, sync->newer_version);
	sync->newer_version = 0;
	relist(&sync->config);
	relist(&sync->servers);
}

uint64_t
at_sync_confirmation_age_ms(const at_sync_t *sync)
{
	return at_clock_now_ms() - sync->confirmed_ms;
}

uint64_t
at_sync_steady_ms(const at_sync_t *sync)
{
	return at_clock_now_ms() - sync->steady_since_ms;
}

void
at_sync_note_steady(at_sync_t *sync, uint64_t steady_ms, uint64_t age_ms)
{
	watcher_t *servers = &sync->servers;
	uint64_t now_ms = at_clock_now_ms();
	size_t missing = at_mirror_missing_count(servers->mirror);

	if (missing == 0 || age_ms > READER_CONFIRMATION_MAX_MS ||
	    at_mirror_is_platform_away(servers->mirror) ||
	    steady_ms + servers->away_since_ms < now_ms)
		return;
	at_log(AT_LOG_INFO, "platform", NULL,
	    "platform was away from this instance only; missing servers are "
	    "removed kind=%s missing=%zu outage_ms=%" PRIu64,
	    servers->kind, missing, now_ms - servers->away_since_ms);
	at_mirror_delete_missing(servers->mirror, now_ms);
	set_timer(servers);
}

void
at_sync_note_reader(at_sync_t *sync, uint64_t age_ms)
{
	uint64_t now_ms = at_clock_now_ms();

	if (!sync->is_reader && age_ms < now_ms)
		note_confirmed(sync, now_ms - age_ms);
}

static void
set_silent(at_sync_t *sync, int is_silent, uint64_t now_ms)
{
	if (is_silent == sync->is_silent)
		return;
	sync->is_silent = is_silent;
	if (is_silent)
		at_log(AT_LOG_WARN, "platform", NULL,
		    "platform does not respond to the reader of its lists "
		    "age_ms=%" PRIu64,
		    now_ms - unconfirmed_since_ms(sync));
	else
		at_log(AT_LOG_INFO, "platform", NULL,
		    "platform responds again age_ms=%" PRIu64,
		    now_ms - sync->confirmed_ms);
}

/* A reader without confirmation reports that the platform is away. */
static void
check_reader(at_sync_t *sync, uint64_t now_ms)
{
	if (now_ms - unconfirmed_since_ms(sync) > READER_CONFIRMATION_MAX_MS)
		set_silent(sync, 1, now_ms);
}

static uint32_t
follower_confirmation_max_ms(const at_sync_t *sync)
{
	const at_entry_settings_t *settings = &sync->entry->settings;
	uint32_t max_ms = settings->drain_ms < settings->config_apply_ms
			      ? settings->drain_ms
			      : settings->config_apply_ms;

	return max_ms < FOLLOWER_CONFIRMATION_MIN_MS + LIST_TIME_MS
		   ? FOLLOWER_CONFIRMATION_MIN_MS
		   : max_ms - LIST_TIME_MS;
}

static void
check_follower(at_sync_t *sync, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - sync->confirmed_ms;

	if (age_ms <= follower_confirmation_max_ms(sync) ||
	    at_mirror_is_listing(sync->config.mirror) ||
	    at_mirror_is_listing(sync->servers.mirror))
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "no recent confirmation from the reader; listing all kinds "
	    "age_ms=%" PRIu64,
	    age_ms);
	relist(&sync->config);
	relist(&sync->servers);
}

void
at_sync_check_confirmation(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (now_ms - sync->confirmed_ms <= READER_CONFIRMATION_MAX_MS)
		set_silent(sync, 0, now_ms);
	if (sync->is_reader)
		check_reader(sync, now_ms);
	else
		check_follower(sync, now_ms);
}

void
at_sync_check_config(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->config_check != NULL ||
	    now_ms < sync->config_check_after_ms ||
	    !at_mirror_is_synced(sync->config.mirror))
		return;
	sync->config_check_after_ms = now_ms + CONFIG_CHECK_INTERVAL_MS;
	sync->config_check_sent_ms = now_ms;
	sync->config_check = sync->objects.list(sync->objects.impl,
	    sync->config.kind, NULL, on_config_checked, sync);
}

static void
on_page(void *ctx, const at_objects_page_t *page)
{
	watcher_t *watcher = ctx;
	int was_listing = at_mirror_is_listing(watcher->mirror);
	size_t missing = at_mirror_missing_count(watcher->mirror);
	int was_away;

	watcher->call = NULL;
	at_log(AT_LOG_DEBUG, "platform", NULL,
	    "platform responded kind=%s result=%s objects=%zu as_of=%" PRIu64,
	    watcher->kind, at_objects_code_names[page->code], page->count,
	    page->store_version);
	if (page->code == AT_OBJECTS_OK)
		watcher->responded_ms = at_clock_now_ms();
	if (page->code == AT_OBJECTS_OK && !was_listing) {
		watcher->watched_ms = watcher->watch_sent_ms;
		if (watcher == &watcher->sync->servers &&
		    watcher->sync->is_reader)
			note_watched(watcher->sync);
	}
	was_away = at_mirror_is_platform_away(watcher->mirror);
	at_mirror_handle_response(watcher->mirror, at_clock_now_ms(), page);
	log_platform_state(watcher, page->code);
	/* Confirms the lists without waiting for the next regular check. */
	if (was_away && page->code == AT_OBJECTS_OK)
		at_sync_check_config(watcher->sync);
	if (at_mirror_missing_count(watcher->mirror) != missing)
		at_log(AT_LOG_INFO, "platform", NULL,
		    "objects missing after an outage are kept kind=%s "
		    "missing=%zu delay_ms=%u",
		    watcher->kind, at_mirror_missing_count(watcher->mirror),
		    SERVERS_DELETION_DELAY_MS);
	if (was_listing && !at_mirror_is_listing(watcher->mirror)) {
		watcher->listed_ms = watcher->list_sent_ms;
		note_listed(watcher->sync);
	}
	if (page->code == AT_OBJECTS_HISTORY_GONE)
		relist_other(watcher);
	process(watcher);
	at_entry_place_queued(watcher->sync->entry);
}

static void
set_timer(watcher_t *watcher)
{
	struct ev_loop *loop = watcher->sync->entry->loop;
	uint64_t due_ms = at_mirror_due_ms(watcher->mirror);
	uint64_t now_ms = at_clock_now_ms();

	ev_timer_stop(loop, &watcher->timer);
	if (due_ms == AT_MIRROR_NOT_DUE)
		return;
	ev_timer_set(&watcher->timer,
	    due_ms > now_ms ? (double)(due_ms - now_ms) / AT_MS_PER_S : 0., 0.);
	ev_timer_start(loop, &watcher->timer);
}

static void
process(watcher_t *watcher)
{
	const at_objects_t *objects = &watcher->sync->objects;
	const at_objects_page_t failed = {.code = AT_OBJECTS_NO_RESPONSE};
	at_mirror_action_t action;

	at_mirror_process(watcher->mirror, at_clock_now_ms(), &action);
	if (action.step == AT_MIRROR_LIST && action.after == NULL)
		watcher->list_sent_ms = at_clock_now_ms();
	if (action.step == AT_MIRROR_LIST)
		watcher->call = objects->list(objects->impl, watcher->kind,
		    action.after, on_page, watcher);
	else if (action.step == AT_MIRROR_WATCH) {
		watcher->watch_sent_ms = at_clock_now_ms();
		watcher->call = objects->watch(objects->impl, watcher->kind,
		    action.since, action.wait_ms, on_page, watcher);
	}
	if (action.step != AT_MIRROR_WAIT && watcher->call == NULL)
		at_mirror_handle_response(
		    watcher->mirror, at_clock_now_ms(), &failed);
	set_timer(watcher);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	watcher_t *watcher = timer->data;

	(void)loop;
	(void)events;
	process(watcher);
}

static int
watcher_init(at_sync_t *sync, watcher_t *watcher, const char *kind,
    const at_mirror_sink_t *sink, uint32_t deletion_delay_ms)
{
	watcher->sync = sync;
	watcher->kind = kind;
	watcher->mirror = at_mirror_new();
	if (watcher->mirror == NULL)
		return -1;
	at_mirror_set_sink(watcher->mirror, sink);
	at_mirror_set_following(watcher->mirror, 1);
	at_mirror_set_deletion_delay(watcher->mirror, deletion_delay_ms);
	at_mirror_set_batch_delay(watcher->mirror, BATCH_DELAY_MS);
	ev_timer_init(&watcher->timer, on_timer, 0., 0.);
	watcher->timer.data = watcher;
	return 0;
}

at_sync_t *
at_sync_new(at_entry_t *entry)
{
	at_sync_t *sync = calloc(1, sizeof(*sync));
	const at_mirror_sink_t config_sink = {on_config_change,
	    on_config_deleted, sync == NULL ? NULL : &sync->config};
	const at_mirror_sink_t servers_sink = {on_server_change,
	    on_server_deleted, sync == NULL ? NULL : &sync->servers};

	if (sync == NULL)
		return NULL;
	sync->entry = entry;
	sync->reader_since_ms = at_clock_now_ms();
	sync->objects = at_wire_store_objects(entry->wire_store);
	if (watcher_init(
		sync, &sync->config, WIRE_KIND_CONFIG, &config_sink, 0) != 0 ||
	    watcher_init(sync, &sync->servers, WIRE_KIND_SERVERS, &servers_sink,
		SERVERS_DELETION_DELAY_MS) != 0) {
		at_sync_delete(sync);
		return NULL;
	}
	return sync;
}

void
at_sync_start(at_sync_t *sync)
{
	process(&sync->config);
	process(&sync->servers);
}

void
at_sync_delete(at_sync_t *sync)
{
	watcher_t *watchers[] = {&sync->config, &sync->servers};
	size_t i;

	if (sync->config_check != NULL)
		sync->objects.cancel(sync->objects.impl, sync->config_check);
	if (sync->servers_check != NULL)
		sync->objects.cancel(sync->objects.impl, sync->servers_check);
	for (i = 0; i < sizeof(watchers) / sizeof(watchers[0]); i++) {
		ev_timer_stop(sync->entry->loop, &watchers[i]->timer);
		if (watchers[i]->call != NULL)
			sync->objects.cancel(
			    sync->objects.impl, watchers[i]->call);
		at_mirror_delete(watchers[i]->mirror);
	}
	free(sync);
}

int
at_sync_is_complete(const at_sync_t *sync)
{
	return at_mirror_is_synced(sync->config.mirror) &&
	       at_mirror_is_synced(sync->servers.mirror);
}

int
at_sync_is_platform_away(const at_sync_t *sync)
{
	return sync->is_silent ||
	       at_mirror_is_platform_away(sync->config.mirror) ||
	       at_mirror_is_platform_away(sync->servers.mirror);
}
