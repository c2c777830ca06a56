/*
 * sync_check.c - asks the platform whether there are changes that the watches
 * have not brought: a watch may be silent although there are some.
 *
 * A check is a watch of each kind that responds at once, so that it costs the
 * same whatever the size of the objects. Several may be open, so that a slow
 * platform confirms as often as a fast one, only later.
 */
#include <inttypes.h>

#include "almondthread/log.h"
#include "entry/store/sync_impl.h"
#include "io/clock.h"

/* Least time between two checks. */
#define CHECK_INTERVAL_MS 250u
/* Wait of a watch that only checks for changes. */
#define CHECK_WAIT_MS 1u
/* A watch that has responded since then needs no check. */
#define WATCH_CONFIRMATION_MS 800u
/* Where the platform takes longer, both kinds are asked at the same time. */
#define SLOW_RESPONSE_MS 100u
/* Time between two readings of the whole configuration. */
#define LIST_INTERVAL_MS 5000u

enum {
	CHECK_CONFIG,
	CHECK_SERVERS
};

static int
is_open(const check_t *check)
{
	return check->calls[CHECK_CONFIG] != NULL ||
	       check->calls[CHECK_SERVERS] != NULL;
}

/* The highest of the last times, which decays. */
static void
note_response(at_sync_t *sync, uint64_t sent_ms)
{
	uint64_t took_ms = at_clock_now_ms() - sent_ms;

	sync->responded_ms = at_clock_now_ms();
	sync->response_ms -= sync->response_ms / 8u;
	if (took_ms > sync->response_ms)
		sync->response_ms = (uint32_t)took_ms;
}

/* A reader's watches show themselves whether the platform responds to them. */
static void
note_platform_back(at_sync_t *sync)
{
	watcher_t *const watchers[] = {&sync->config, &sync->servers};
	size_t i;

	if (sync->is_reader)
		return;
	for (i = 0; i < sizeof(watchers) / sizeof(watchers[0]); i++) {
		at_mirror_note_response(watchers[i]->mirror, at_clock_now_ms());
		watcher_log_platform(watchers[i], AT_OBJECTS_OK);
	}
}

int
sync_take_check(watcher_t *watcher, uint64_t since, uint64_t sent_ms,
    const at_objects_page_t *page)
{
	at_sync_t *sync = watcher->sync;
	int is_complete;

	if (page->code == AT_OBJECTS_HISTORY_GONE &&
	    at_mirror_since(watcher->mirror) == since) {
		at_log(AT_LOG_WARN, "platform", NULL,
		    "history lost; listing kind=%s since=%" PRIu64,
		    watcher->kind, since);
		watcher_relist(watcher);
		return 0;
	}
	if (page->code != AT_OBJECTS_OK)
		return 0;
	note_platform_back(sync);
	note_response(sync, sent_ms);
	if (at_mirror_check_watch(
		watcher->mirror, at_clock_now_ms(), since, page)) {
		if (sync->is_reader)
			at_log(AT_LOG_WARN, "platform", NULL,
			    "watch missed changes; watching again kind=%s "
			    "objects=%zu",
			    watcher->kind, page->count);
		watcher_watch_again(watcher);
		sync->deps.on_servers_changed(sync->deps.ctx);
	}
	/* Otherwise it was made from a version that is outdated. */
	is_complete = page->count == 0 ||
		      at_mirror_since(watcher->mirror) >= page->store_version;
	if (is_complete)
		watcher_confirm(watcher, sent_ms);
	if (sync->is_reader)
		at_gossip_send_soon(sync->deps.gossip);
	return is_complete;
}

static void
on_servers_checked(void *ctx, const at_objects_page_t *page)
{
	check_t *check = ctx;

	check->calls[CHECK_SERVERS] = NULL;
	(void)sync_take_check(&check->sync->servers,
	    check->since[CHECK_SERVERS], check->sent_ms, page);
	sync_note_servers_known(check->sync);
}

static void
check_servers(check_t *check)
{
	at_sync_t *sync = check->sync;
	const watcher_t *servers = &sync->servers;

	if (at_mirror_is_listing(servers->mirror) ||
	    check->calls[CHECK_SERVERS] != NULL)
		return;
	check->since[CHECK_SERVERS] = at_mirror_since(servers->mirror);
	check->calls[CHECK_SERVERS] = sync->deps.objects.watch(
	    sync->deps.objects.impl, servers->kind, check->since[CHECK_SERVERS],
	    CHECK_WAIT_MS, on_servers_checked, check);
}

/* With many changes the watch proves itself, again and again. */
static int
needs_servers_check(const at_sync_t *sync)
{
	return !sync->is_reader ||
	       sync->servers.watched_ms + WATCH_CONFIRMATION_MS <
		   at_clock_now_ms();
}

static void
on_config_checked(void *ctx, const at_objects_page_t *page)
{
	check_t *check = ctx;
	at_sync_t *sync = check->sync;

	check->calls[CHECK_CONFIG] = NULL;
	(void)sync_take_check(
	    &sync->config, check->since[CHECK_CONFIG], check->sent_ms, page);
	/* All versions of the platform up to there are known. */
	if (page->code == AT_OBJECTS_OK &&
	    page->store_version <= at_mirror_since(sync->servers.mirror))
		watcher_confirm(&sync->servers, check->sent_ms);
	else if (page->code == AT_OBJECTS_OK && needs_servers_check(sync))
		check_servers(check);
}

void
at_sync_check(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();
	check_t *check = NULL;
	size_t i;

	for (i = 0; i < CHECKS_MAX && check == NULL; i++) {
		if (!is_open(&sync->checks[i]))
			check = &sync->checks[i];
	}
	if (check == NULL || now_ms < sync->check_after_ms ||
	    at_mirror_is_listing(sync->config.mirror))
		return;
	sync->check_after_ms = now_ms + CHECK_INTERVAL_MS;
	check->sync = sync;
	check->sent_ms = now_ms;
	check->since[CHECK_CONFIG] = at_mirror_since(sync->config.mirror);
	check->calls[CHECK_CONFIG] =
	    sync->deps.objects.watch(sync->deps.objects.impl, sync->config.kind,
		check->since[CHECK_CONFIG], CHECK_WAIT_MS, on_config_checked,
		check);
	if (sync->response_ms > SLOW_RESPONSE_MS && needs_servers_check(sync))
		check_servers(check);
}

static void
on_listed(void *ctx, const at_objects_page_t *page)
{
	at_sync_t *sync = ctx;

	sync->list_call = NULL;
	if (!at_mirror_check_list(sync->config.mirror, at_clock_now_ms(), page))
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "watch missed changes; listing all kinds again kind=%s",
	    sync->config.kind);
	watcher_relist(&sync->config);
	watcher_relist(&sync->servers);
}

void
sync_check_list(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	uint64_t before_ms = sync->listed_ms > sync->reader_since_ms
				 ? sync->listed_ms
				 : sync->reader_since_ms;

	if (sync->list_call != NULL || now_ms < before_ms + LIST_INTERVAL_MS ||
	    at_mirror_is_listing(sync->config.mirror))
		return;
	sync->listed_ms = now_ms;
	sync->list_call = sync->deps.objects.list(
	    sync->deps.objects.impl, sync->config.kind, NULL, on_listed, sync);
}

void
sync_checks_cancel(at_sync_t *sync)
{
	size_t i;
	int kind;

	for (i = 0; i < CHECKS_MAX; i++) {
		for (kind = CHECK_CONFIG; kind <= CHECK_SERVERS; kind++) {
			if (sync->checks[i].calls[kind] != NULL)
				sync->deps.objects.cancel(
				    sync->deps.objects.impl,
				    sync->checks[i].calls[kind]);
			sync->checks[i].calls[kind] = NULL;
		}
	}
	if (sync->list_call != NULL)
		sync->deps.objects.cancel(
		    sync->deps.objects.impl, sync->list_call);
	sync->list_call = NULL;
}
