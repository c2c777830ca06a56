/* sync.c - the roles of reader and follower. */
#include "entry/store/sync.h"

#include <inttypes.h>
#include <stdlib.h>

#include "almondthread/log.h"
#include "entry/store/sync_impl.h"
#include "io/clock.h"

/* Missing servers may be listed again within this time after an outage. */
#define SERVERS_DELETION_DELAY_MS 2000u
/*
 * A reader gives way when the platform has confirmed nothing for longer; where
 * the platform takes long for each response, when it is that much later than
 * usual, since another reader would wait as long.
 */
#define READER_CONFIRMATION_MIN_MS 1200u
#define READER_CONFIRMATION_MAX_MS 4800u
/* Between two checks, with the round in which they begin. */
#define READER_CHECK_MS 900u
/* A new reader, or one that takes its place, has this time more. */
#define READER_CHANGE_MS 300u
/*
 * A follower asks the platform itself without a confirmation for longer. Where
 * there is more time, another instance has become the reader by then, and only
 * that one asks; CHECK_TIME_MS is left for the follower's own question.
 */
#define FOLLOWER_CONFIRMATION_MIN_MS 1500u
#define CHECK_TIME_MS 500u
/* For which changes may be on their way to a follower, or to a reader. */
#define CONFIG_ARRIVAL_MS 60u
#define SERVERS_ARRIVAL_MS 100u
#define READER_ARRIVAL_MS 700u
/* With all changes the list differs from the reader's for longer. */
#define DIGEST_MISMATCH_MAX_MS 700u

void
at_sync_set_reader(at_sync_t *sync, int is_reader)
{
	if (sync->is_reader == is_reader)
		return;
	sync->is_reader = is_reader;
	sync->reader_since_ms = at_clock_now_ms();
	sync->differs_since_ms = 0;
	at_log(AT_LOG_INFO, "platform", NULL,
	    "this instance %s the platform's lists servers_since=%" PRIu64
	    " config_since=%" PRIu64,
	    is_reader ? "reads" : "follows the reader of",
	    at_mirror_since(sync->servers.mirror),
	    at_mirror_since(sync->config.mirror));
	watcher_set_following(&sync->config, !is_reader);
	watcher_set_following(&sync->servers, !is_reader);
	if (!is_reader)
		return;
	sync->check_after_ms = 0;
	at_sync_check(sync);
}

int
at_sync_is_reader(const at_sync_t *sync)
{
	return sync->is_reader;
}

/* How long a reader may be without a confirmation. */
static uint32_t
reader_confirmation_max_ms(const at_sync_t *sync)
{
	uint32_t max_ms = READER_CHECK_MS + 2u * sync->response_ms;

	if (max_ms < READER_CONFIRMATION_MIN_MS)
		return READER_CONFIRMATION_MIN_MS;
	return max_ms > READER_CONFIRMATION_MAX_MS ? READER_CONFIRMATION_MAX_MS
						   : max_ms;
}

static void
apply_digest(at_sync_t *sync, const sync_copies_t *report)
{
	uint64_t now_ms = at_clock_now_ms();

	if (at_mirror_is_listing(sync->servers.mirror) ||
	    report->servers_digest == at_mirror_digest(sync->servers.mirror)) {
		sync->differs_since_ms = 0;
		return;
	}
	if (sync->differs_since_ms == 0)
		sync->differs_since_ms = now_ms;
	if (now_ms - sync->differs_since_ms < DIGEST_MISMATCH_MAX_MS)
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "list differs from the reader's; %s kind=%s",
	    report->servers_since == 0 ? "listing again" : "asking for all",
	    sync->servers.kind);
	sync->differs_since_ms = 0;
	/* A reader that does not state versions cannot be asked. */
	if (report->servers_since == 0)
		watcher_relist(&sync->servers);
	else
		sync_ask_for_all_servers(sync, report->instance);
}

/*
 * Returns non-zero if the list has all changes that the reader has: since it
 * has those up to the last that the reader knows of, or since the lists are the
 * same.
 */
static int
has_servers_of(at_mirror_t *servers, const sync_copies_t *report)
{
	return at_mirror_advance(
		   servers, report->servers_changed, report->servers_since) ||
	       (report->servers_digest == at_mirror_digest(servers) &&
		   at_mirror_advance(servers, 0, report->servers_since));
}

/* Returns non-zero if this instance has all changes that the reader has. */
static int
has_all_of(at_sync_t *sync, const sync_copies_t *report)
{
	at_mirror_t *servers = sync->servers.mirror;
	int has_config = (*sync->deps.site) != NULL &&
			 report->config_version <= (*sync->deps.site)->version;

	if (report->servers_since == 0)
		return has_config &&
		       report->servers_digest == at_mirror_digest(servers);
	if (!has_servers_of(servers, report)) {
		sync_want_servers(
		    sync, report->servers_since, SERVERS_ARRIVAL_MS);
		return 0;
	}
	sync_note_servers_known(sync);
	return has_config;
}

static void
apply_reader(at_sync_t *sync, const sync_copies_t *report)
{
	uint64_t now_ms = at_clock_now_ms();

	sync->reader_age_max_ms = report->age_max_ms;
	if (!report->platform_away &&
	    report->age_ms <= (report->age_max_ms == 0
				      ? READER_CONFIRMATION_MIN_MS
				      : report->age_max_ms))
		sync->reader_ms = now_ms;
	if (has_all_of(sync, report) && !sync->is_reader &&
	    report->age_ms < now_ms) {
		watcher_confirm(&sync->config, now_ms - report->age_ms);
		watcher_confirm(&sync->servers, now_ms - report->age_ms);
	}
	if (!sync->is_reader && !report->platform_away)
		apply_digest(sync, report);
}

/*
 * If a reader of any data centre has had the platform throughout an outage of
 * this instance, the platform was not down: servers that it no longer lists
 * have gone.
 */
static void
apply_steady(at_sync_t *sync, const sync_copies_t *report)
{
	watcher_t *servers = &sync->servers;
	uint64_t now_ms = at_clock_now_ms();
	size_t missing = at_mirror_missing_count(servers->mirror);

	if (missing == 0 || report->age_ms > READER_CONFIRMATION_MIN_MS ||
	    at_mirror_is_platform_away(servers->mirror) ||
	    report->steady_ms + servers->away_since_ms < now_ms)
		return;
	at_log(AT_LOG_INFO, "platform", NULL,
	    "platform was away from this instance only; missing servers are "
	    "removed kind=%s missing=%zu outage_ms=%" PRIu64,
	    servers->kind, missing, now_ms - servers->away_since_ms);
	at_mirror_delete_missing(servers->mirror, now_ms);
	watcher_set_timer(servers);
}

void
sync_apply_copies(at_sync_t *sync, const sync_copies_t *report)
{
	if (report->reads && report->is_near)
		apply_reader(sync, report);
	/* Whoever has no list yet takes that of any instance. */
	if (!at_mirror_is_synced(sync->servers.mirror))
		sync_want_servers(
		    sync, report->servers_since, SERVERS_ARRIVAL_MS);
	/* A watch has failed if another reader knows a newer change for long.
	 */
	if (report->reads && !report->is_near && sync->is_reader &&
	    !at_mirror_covers(sync->servers.mirror, report->servers_newest))
		sync_want_servers(
		    sync, report->servers_newest, READER_ARRIVAL_MS);
	if (report->reads && !report->platform_away)
		apply_steady(sync, report);
	sync_want_config(sync, report->config_version, CONFIG_ARRIVAL_MS);
}

void
sync_fill_copies(const at_sync_t *sync, sync_copies_t *report)
{
	const at_mirror_t *servers = sync->servers.mirror;
	uint64_t now_ms = at_clock_now_ms();

	report->servers_since = at_mirror_since(servers);
	report->reads = sync->is_reader;
	if (!report->reads)
		return;
	report->servers_changed = at_mirror_changed(servers);
	report->servers_newest = at_mirror_newest(servers);
	report->servers_digest = at_mirror_digest(servers);
	report->age_ms = now_ms - sync->confirmed_ms;
	report->age_max_ms = reader_confirmation_max_ms(sync);
	report->steady_ms = now_ms - sync->steady_since_ms;
}

/*
 * Returns since when the reader has no confirmation. A new reader has the time
 * of its first check.
 */
static uint64_t
unconfirmed_since_ms(const at_sync_t *sync)
{
	return sync->confirmed_ms > sync->reader_since_ms
		   ? sync->confirmed_ms
		   : sync->reader_since_ms;
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
		    "age_ms=%" PRIu64 " response_ms=%u",
		    now_ms - unconfirmed_since_ms(sync), sync->response_ms);
	else
		at_log(AT_LOG_INFO, "platform", NULL,
		    "platform responds again age_ms=%" PRIu64,
		    now_ms - sync->confirmed_ms);
}

/* A reader without confirmation reports that the platform is away. */
static void
check_reader(at_sync_t *sync, uint64_t now_ms)
{
	if (now_ms - unconfirmed_since_ms(sync) >
	    reader_confirmation_max_ms(sync))
		set_silent(sync, 1, now_ms);
	sync_check_list(sync);
}

static uint64_t
follower_confirmation_max_ms(const at_sync_t *sync)
{
	const at_entry_settings_t *settings = sync->deps.settings;
	uint32_t bound_ms = settings->drain_ms < settings->config_apply_ms
				? settings->drain_ms
				: settings->config_apply_ms;
	uint64_t max_ms = FOLLOWER_CONFIRMATION_MIN_MS;

	if (bound_ms > max_ms + CHECK_TIME_MS)
		max_ms = bound_ms - CHECK_TIME_MS;
	return sync->reader_age_max_ms + READER_CHANGE_MS > max_ms
		   ? sync->reader_age_max_ms + READER_CHANGE_MS
		   : max_ms;
}

static void
check_follower(at_sync_t *sync, uint64_t now_ms)
{
	uint64_t age_ms = now_ms - sync->confirmed_ms;
	int is_behind = age_ms > follower_confirmation_max_ms(sync);

	/* One that has given way makes no other calls that show the platform.
	 */
	if ((!is_behind && !sync->deps.is_platform_away(sync->deps.ctx)) ||
	    at_mirror_is_listing(sync->config.mirror) ||
	    at_mirror_is_listing(sync->servers.mirror) ||
	    now_ms < sync->check_after_ms)
		return;
	if (is_behind)
		at_log(AT_LOG_INFO, "platform", NULL,
		    "no recent confirmation from the reader; asking the "
		    "platform age_ms=%" PRIu64,
		    age_ms);
	at_sync_check(sync);
	sync->check_after_ms = now_ms + READER_CHECK_MS;
}

void
at_sync_check_confirmation(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (now_ms - sync->confirmed_ms <= reader_confirmation_max_ms(sync))
		set_silent(sync, 0, now_ms);
	if (sync->is_reader)
		check_reader(sync, now_ms);
	else
		check_follower(sync, now_ms);
}

at_sync_t *
at_sync_new(const at_sync_deps_t *deps)
{
	at_sync_t *sync = calloc(1, sizeof(*sync));
	at_mirror_sink_t config_sink;
	at_mirror_sink_t servers_sink;

	if (sync == NULL)
		return NULL;
	config_sink = watcher_config_sink(&sync->config);
	servers_sink = watcher_servers_sink(&sync->servers);
	sync->deps = *deps;
	sync->reader_since_ms = at_clock_now_ms();
	sync_confirm_init(sync);
	if (sync_report_init(sync) != 0 || sync_documents_init(sync) != 0 ||
	    watcher_init(
		sync, &sync->config, WIRE_KIND_CONFIG, &config_sink, 0) != 0 ||
	    watcher_init(sync, &sync->servers, WIRE_KIND_SERVERS, &servers_sink,
		SERVERS_DELETION_DELAY_MS) != 0) {
		at_sync_delete(sync);
		return NULL;
	}
	at_mirror_keep_texts(sync->servers.mirror);
	return sync;
}

void
at_sync_start(at_sync_t *sync)
{
	sync->started_ms = at_clock_now_ms();
	watcher_process(&sync->config);
	watcher_process(&sync->servers);
}

void
at_sync_delete(at_sync_t *sync)
{
	sync_checks_cancel(sync);
	sync_confirm_cancel(sync);
	sync_documents_free(sync);
	sync_report_free(sync);
	watcher_free(&sync->config);
	watcher_free(&sync->servers);
	free(sync);
}

int
at_sync_is_complete(const at_sync_t *sync)
{
	return at_mirror_is_synced(sync->config.mirror) &&
	       at_mirror_is_synced(sync->servers.mirror);
}

uint64_t
at_sync_responded_ms(const at_sync_t *sync)
{
	return sync->responded_ms;
}

uint64_t
at_sync_age_ms(const at_sync_t *sync)
{
	return at_clock_now_ms() - sync->confirmed_ms;
}

uint64_t
at_sync_servers_since(const at_sync_t *sync)
{
	return at_mirror_since(sync->servers.mirror);
}

int
at_sync_is_platform_away(const at_sync_t *sync)
{
	return sync->is_silent ||
	       at_mirror_is_platform_away(sync->config.mirror) ||
	       at_mirror_is_platform_away(sync->servers.mirror);
}
