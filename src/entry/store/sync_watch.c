/* sync_watch.c - the copies of the platform's objects and their calls. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/store/sync_impl.h"
#include "io/clock.h"
#include "platform/server_decode.h"
#include "platform/site_decode.h"

/* Changes within this time are read in one call. */
#define BATCH_DELAY_MS 600u
/*
 * Entries of the list lapse after some seconds without a heartbeat; no outage
 * of the platform between two confirmations within this time makes them lapse.
 */
#define CONFIRMATION_GAP_MAX_MS 1500u

static void
on_config_change(void *ctx, const at_object_t *object)
{
	watcher_t *watcher = ctx;
	at_sync_t *sync = watcher->sync;
	const at_sync_deps_t *deps = &sync->deps;
	const at_site_t *current = *deps->site;
	uint64_t begun_us = at_clock_now_us();
	at_status_t status;
	at_site_t *site;

	if (strcmp(object->name, WIRE_CONFIG_NAME) != 0)
		return;
	at_status_clear(&status);
	site = at_site_decode(object->text, object->len, *deps->site,
	    &deps->identity->secret, &status);
	if (site == NULL) {
		at_log(AT_LOG_ERROR, "config", NULL,
		    "configuration rejected; the previous one stays in use "
		    "object_version=%" PRIu64 " fault=\"%s\"",
		    object->version, status.message);
		return;
	}
	if (current != NULL && site->version <= current->version) {
		at_log(AT_LOG_WARN, "config", NULL,
		    "configuration ignored: not newer version=%" PRIu64
		    " current=%" PRIu64,
		    site->version, current->version);
		at_site_unref(site);
		return;
	}
	deps->set_site(deps->ctx, site);
	sync_note_config_known(sync);
	sync_note_config(sync, object->name, object->version, object->text,
	    object->len, sync->is_reader && !watcher->is_fed);
	at_log(AT_LOG_INFO, "config", NULL,
	    "configuration taken object_version=%" PRIu64
	    " from=%s took_us=%" PRIu64,
	    object->version, watcher->is_fed ? "instance" : "platform",
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
	at_fleet_t *fleet = watcher->sync->deps.fleet;
	at_clock_t wall = at_clock_wall();
	at_server_entry_t server;
	const char *fault =
	    at_server_decode(object->name, object->text, object->len, &server);

	server.listed_ms = wall.now_ms(wall.impl);
	if (watcher->sync->is_reader)
		sync_send_server(watcher->sync, object->name, object->version,
		    object->text, object->len,
		    fault != NULL || server.is_leaving);
	if (fault != NULL) {
		at_log(AT_LOG_WARN, "servers", NULL,
		    "server object rejected; server removed name=%s "
		    "object_version=%" PRIu64 " fault=%s",
		    object->name, object->version, fault);
		at_fleet_remove(fleet, at_tag_from_text(object->name));
		return;
	}
	/* Also that of a server whose deletion comes with the same page. */
	at_stream_origins_note_listed(watcher->sync->deps.origins,
	    server.service, server.software, at_clock_now_us());
	if (at_fleet_update_server(fleet, &server) == NULL) {
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
	at_fleet_t *fleet = watcher->sync->deps.fleet;

	at_log(AT_LOG_INFO, "servers", NULL,
	    "server object deleted; server removed name=%s "
	    "object_version=%" PRIu64,
	    name, version);
	at_fleet_remove(fleet, at_tag_from_text(name));
	if (watcher->sync->is_reader)
		sync_send_server(watcher->sync, name, version, NULL, 0, 1);
}

void
watcher_log_platform(watcher_t *watcher, at_objects_code_t code)
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

void
watcher_confirm(watcher_t *watcher, uint64_t since_ms)
{
	at_sync_t *sync = watcher->sync;
	uint64_t both_ms;

	if (since_ms > watcher->confirmed_ms)
		watcher->confirmed_ms = since_ms;
	both_ms = sync->config.confirmed_ms < sync->servers.confirmed_ms
		      ? sync->config.confirmed_ms
		      : sync->servers.confirmed_ms;
	if (both_ms <= sync->confirmed_ms)
		return;
	if (both_ms > sync->confirmed_ms + CONFIRMATION_GAP_MAX_MS)
		sync->steady_since_ms = both_ms;
	sync->confirmed_ms = both_ms;
}

static void
drop_call(watcher_t *watcher)
{
	if (watcher->call != NULL)
		watcher->sync->deps.objects.cancel(
		    watcher->sync->deps.objects.impl, watcher->call);
	watcher->call = NULL;
}

void
watcher_relist(watcher_t *watcher)
{
	drop_call(watcher);
	at_mirror_relist(watcher->mirror);
	watcher_process(watcher);
}

void
watcher_watch_again(watcher_t *watcher)
{
	if (at_mirror_is_listing(watcher->mirror))
		return;
	drop_call(watcher);
	at_mirror_note_call_dropped(watcher->mirror);
	watcher_process(watcher);
}

void
watcher_drop_list(watcher_t *watcher)
{
	if (!at_mirror_is_listing(watcher->mirror))
		return;
	drop_call(watcher);
	at_mirror_note_call_dropped(watcher->mirror);
}

void
watcher_set_following(watcher_t *watcher, int following)
{
	if (following && !at_mirror_is_listing(watcher->mirror)) {
		drop_call(watcher);
		at_mirror_note_call_dropped(watcher->mirror);
	}
	at_mirror_set_following(watcher->mirror, following);
	watcher_process(watcher);
}

/* When one watch has lost its history, the other receives no changes either. */
static void
watch_other_again(watcher_t *watcher)
{
	at_sync_t *sync = watcher->sync;
	watcher_t *other =
	    watcher == &sync->config ? &sync->servers : &sync->config;

	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch history lost kind=%s; watching kind=%s again", watcher->kind,
	    other->kind);
	watcher_watch_again(other);
}

static void
on_page(void *ctx, const at_objects_page_t *page)
{
	watcher_t *watcher = ctx;
	at_sync_t *sync = watcher->sync;
	int was_listing = at_mirror_is_listing(watcher->mirror);
	size_t missing = at_mirror_missing_count(watcher->mirror);
	int was_away;

	watcher->call = NULL;
	at_log(AT_LOG_DEBUG, "platform", NULL,
	    "platform responded kind=%s result=%s objects=%zu as_of=%" PRIu64,
	    watcher->kind, at_objects_code_names[page->code], page->count,
	    page->store_version);
	was_away = at_mirror_is_platform_away(watcher->mirror);
	at_mirror_handle_response(watcher->mirror, at_clock_now_ms(), page);
	if (!at_mirror_is_platform_away(watcher->mirror))
		sync->responded_ms = at_clock_now_ms();
	watcher_log_platform(watcher, page->code);
	if (page->code == AT_OBJECTS_OK && !was_listing) {
		watcher->watched_ms = watcher->watch_sent_ms;
		watcher_confirm(watcher, watcher->watched_ms);
	}
	/* Confirms the lists without waiting for the next regular check. */
	if (was_away && page->code == AT_OBJECTS_OK)
		at_sync_check(sync);
	if (at_mirror_missing_count(watcher->mirror) != missing)
		at_log(AT_LOG_INFO, "platform", NULL,
		    "objects missing after an outage are kept kind=%s "
		    "missing=%zu",
		    watcher->kind, at_mirror_missing_count(watcher->mirror));
	if (was_listing && !at_mirror_is_listing(watcher->mirror)) {
		watcher_confirm(watcher, watcher->list_sent_ms);
		/* Followers that receive this do not ask for themselves. */
		if (sync->is_reader)
			at_gossip_send_soon(sync->deps.gossip);
	}
	if (page->code == AT_OBJECTS_HISTORY_GONE)
		watch_other_again(watcher);
	if (watcher == &sync->servers)
		sync_note_servers_known(sync);
	watcher_process(watcher);
	sync->deps.on_servers_changed(sync->deps.ctx);
}

void
watcher_set_timer(watcher_t *watcher)
{
	struct ev_loop *loop = watcher->sync->deps.loop;
	uint64_t due_ms = at_mirror_due_ms(watcher->mirror);
	uint64_t now_ms = at_clock_now_ms();

	ev_timer_stop(loop, &watcher->timer);
	if (due_ms == AT_MIRROR_NOT_DUE)
		return;
	ev_timer_set(&watcher->timer,
	    due_ms > now_ms ? (double)(due_ms - now_ms) / AT_MS_PER_S : 0., 0.);
	ev_timer_start(loop, &watcher->timer);
}

void
watcher_process(watcher_t *watcher)
{
	const at_objects_t *objects = &watcher->sync->deps.objects;
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
	watcher_set_timer(watcher);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	watcher_process(timer->data);
}

int
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

void
watcher_free(watcher_t *watcher)
{
	if (watcher->sync == NULL)
		return;
	ev_timer_stop(watcher->sync->deps.loop, &watcher->timer);
	drop_call(watcher);
	at_mirror_delete(watcher->mirror);
}

at_mirror_sink_t
watcher_config_sink(watcher_t *watcher)
{
	return (at_mirror_sink_t){on_config_change, on_config_deleted, watcher};
}

at_mirror_sink_t
watcher_servers_sink(watcher_t *watcher)
{
	return (at_mirror_sink_t){on_server_change, on_server_deleted, watcher};
}
