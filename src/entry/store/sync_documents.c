/*
 * sync_documents.c - changes that instances hand each other: what one that
 * lacks some asks for, what it is answered, and what it makes of the answer.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/store/sync_impl.h"
#include "io/clock.h"

#define CATCH_UP_INTERVAL_S 0.01
/* In which a list that is under way brings what is lacking. */
#define LIST_ARRIVAL_MS 500u
/* Earlier builds state no version, and do not answer. */
#define SINCE_STATED 1u
/* A reader that was up to date within this time knows the newest. */
#define FRESH_READER_MS 2000u
/* The platform's lists have this time after the start. */
#define FIRST_LIST_MS 500u

/* Sending */

static void
clear_filled(at_sync_t *sync)
{
	free(sync->objects_filled);
	free(sync->object_list);
	sync->objects_filled = NULL;
	sync->object_list = NULL;
}

typedef struct filling {
	at_sync_t *sync;
	ReportDocument *message;
} filling_t;

static void
fill_object(void *ctx, const at_object_t *object)
{
	filling_t *filling = ctx;
	size_t i = filling->message->n_objects++;
	ReportServer *message = &filling->sync->objects_filled[i];

	report_server__init(message);
	message->name = (char *)(uintptr_t)object->name;
	message->version = object->version;
	message->deleted = object->is_deleted;
	if (object->text != NULL)
		message->spec = (char *)(uintptr_t)object->text;
	filling->sync->object_list[i] = message;
}

static int
fill_servers(at_sync_t *sync, uint64_t have, ReportDocument *message,
    at_document_range_t *range)
{
	const at_mirror_t *mirror = sync->servers.mirror;
	filling_t filling = {sync, message};
	size_t size = at_mirror_size(mirror);

	clear_filled(sync);
	sync->objects_filled = calloc(size + 1, sizeof(ReportServer));
	sync->object_list = calloc(size + 1, sizeof(ReportServer *));
	if (sync->objects_filled == NULL || sync->object_list == NULL ||
	    at_mirror_since(mirror) == 0 || have > at_mirror_since(mirror))
		return -1;
	message->objects = sync->object_list;
	range->base = have;
	range->version = at_mirror_since(mirror);
	if (have != 0 &&
	    at_mirror_each_change(mirror, have, fill_object, &filling) == 0)
		return 0;
	range->base = 0;
	message->complete = 1;
	at_mirror_each(mirror, fill_object, &filling);
	return 0;
}

static int
fill_config(at_sync_t *sync, uint64_t have, ReportDocument *message,
    at_document_range_t *range)
{
	at_config_text_t *text = sync->config_text;

	clear_filled(sync);
	sync->objects_filled = calloc(1, sizeof(ReportServer));
	sync->object_list = calloc(1, sizeof(ReportServer *));
	if (sync->objects_filled == NULL || sync->object_list == NULL)
		return -1;
	report_server__init(sync->objects_filled);
	sync->object_list[0] = sync->objects_filled;
	sync->objects_filled->name = (char *)(uintptr_t)WIRE_CONFIG_NAME;
	if (at_config_text_fill_since(text, have, sync->objects_filled) != 0)
		return -1;
	message->complete = 1;
	message->n_objects = 1;
	message->objects = sync->object_list;
	range->base = sync->objects_filled->base_version;
	range->version = sync->objects_filled->version;
	return 0;
}

static int
on_fill(void *ctx, at_document_kind_t kind, uint64_t have,
    ReportDocument *message, at_document_range_t *range)
{
	return kind == AT_DOCUMENT_CONFIG
		   ? fill_config(ctx, have, message, range)
		   : fill_servers(ctx, have, message, range);
}

static void
on_send(void *ctx, const char *address, const Report *report)
{
	at_sync_t *sync = ctx;

	at_gossip_send_to(sync->deps.gossip, address, report);
}

/* Receiving */

void
sync_feed_server(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len)
{
	const at_object_t object = {
	    .name = name, .version = version, .text = text, .len = len};
	watcher_t *servers = &sync->servers;

	if (text == NULL) {
		at_mirror_feed_deleted(
		    servers->mirror, at_clock_now_ms(), name, version);
		return;
	}
	servers->is_fed = 1;
	at_mirror_feed(servers->mirror, at_clock_now_ms(), &object);
	servers->is_fed = 0;
}

void
sync_feed_range(at_sync_t *sync, uint64_t from, uint64_t to)
{
	if (at_mirror_advance(sync->servers.mirror, from, to))
		sync_note_servers_known(sync);
	else
		sync_want_servers(sync, to, 0);
}

static int
is_reader_fresh(const at_sync_t *sync)
{
	return sync->reader_ms != 0 &&
	       at_clock_now_ms() <= sync->reader_ms + FRESH_READER_MS;
}

/*
 * An instance that has no list of its own yet takes what it is told if the
 * reader is up to date. Otherwise it waits for its list, and where the platform
 * does not respond, it takes what the others use.
 */
static int
may_take(const watcher_t *watcher)
{
	const at_sync_t *sync = watcher->sync;

	return at_mirror_is_synced(watcher->mirror) || is_reader_fresh(sync) ||
	       at_mirror_is_platform_away(watcher->mirror) ||
	       at_clock_now_ms() >= sync->started_ms + FIRST_LIST_MS;
}

/* The list that is open counts as unanswered, so that it is tried again. */
static void
begin_without_platform(watcher_t *watcher, uint64_t version)
{
	const at_objects_page_t none = {.code = AT_OBJECTS_NO_RESPONSE};
	uint64_t now_ms = at_clock_now_ms();

	at_mirror_handle_response(watcher->mirror, now_ms, &none);
	watcher_log_platform(watcher, none.code);
	at_log(AT_LOG_WARN, "platform", NULL,
	    "no list since the start; using that of another instance kind=%s "
	    "version=%" PRIu64 " waited_ms=%" PRIu64,
	    watcher->kind, version, now_ms - watcher->sync->started_ms);
}

/* Applies all objects of a kind, in place of a list that may be under way. */
static void
feed_all(watcher_t *watcher, const at_object_t *objects, size_t count,
    uint64_t version)
{
	watcher_drop_list(watcher);
	if (!at_mirror_is_synced(watcher->mirror) &&
	    !is_reader_fresh(watcher->sync))
		begin_without_platform(watcher, version);
	watcher->is_fed = 1;
	at_mirror_feed_all(
	    watcher->mirror, at_clock_now_ms(), objects, count, version);
	watcher->is_fed = 0;
	watcher_process(watcher);
}

void
sync_feed_config(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len)
{
	const at_object_t object = {
	    .name = name, .version = version, .text = text, .len = len};

	if (text != NULL && strcmp(name, WIRE_CONFIG_NAME) == 0 &&
	    may_take(&sync->config))
		feed_all(&sync->config, &object, 1, version);
}

static void
apply_servers(at_sync_t *sync, const ReportDocument *message,
    const at_document_range_t *range)
{
	at_object_t *objects;
	size_t i;

	if (!message->complete) {
		for (i = 0; i < message->n_objects; i++) {
			const ReportServer *object = message->objects[i];

			sync_feed_server(sync, object->name, object->version,
			    object->deleted ? NULL : object->spec,
			    strlen(object->spec));
		}
		sync_feed_range(sync, range->base, range->version);
		return;
	}
	if (!may_take(&sync->servers))
		return;
	objects = calloc(message->n_objects + 1, sizeof(*objects));
	for (i = 0; objects != NULL && i < message->n_objects; i++) {
		objects[i].name = message->objects[i]->name;
		objects[i].version = message->objects[i]->version;
		objects[i].text = message->objects[i]->spec;
		objects[i].len = strlen(message->objects[i]->spec);
	}
	if (objects != NULL)
		feed_all(&sync->servers, objects, message->n_objects,
		    range->version);
	free(objects);
	sync_note_servers_known(sync);
}

static void
apply_config(at_sync_t *sync, const ReportDocument *message)
{
	const at_config_text_t *text = sync->config_text;
	const ReportServer *object;
	char *applied = NULL;

	if (message->n_objects != 1)
		return;
	object = message->objects[0];
	if (object->base_version != 0)
		applied = at_config_text_apply(text, object);
	if (applied != NULL)
		sync_feed_config(sync, object->name, object->version, applied,
		    strlen(applied));
	else if (object->base_version == 0)
		sync_feed_config(sync, object->name, object->version,
		    object->spec, strlen(object->spec));
	free(applied);
}

static void
on_apply(void *ctx, at_document_kind_t kind, const ReportDocument *message,
    const at_document_range_t *range)
{
	at_sync_t *sync = ctx;

	if (kind == AT_DOCUMENT_CONFIG)
		apply_config(sync, message);
	else
		apply_servers(sync, message, range);
	sync->deps.on_servers_changed(sync->deps.ctx);
}

static void
on_progress(void *ctx, at_document_kind_t kind)
{
	at_sync_t *sync = ctx;

	at_catch_up_note_progress(kind == AT_DOCUMENT_CONFIG
				      ? &sync->config.catch_up
				      : &sync->servers.catch_up,
	    at_clock_now_ms());
}

/* Asking */

static void
note_behind(watcher_t *watcher, uint32_t wait_ms)
{
	at_sync_t *sync = watcher->sync;

	if (at_mirror_is_listing(watcher->mirror) &&
	    !at_mirror_is_platform_away(watcher->mirror) &&
	    wait_ms < LIST_ARRIVAL_MS)
		wait_ms = LIST_ARRIVAL_MS;
	at_catch_up_note_behind(&watcher->catch_up, at_clock_now_ms(), wait_ms);
	if (!ev_is_active(&sync->catch_up_timer))
		ev_timer_again(sync->deps.loop, &sync->catch_up_timer);
}

void
sync_want_config(at_sync_t *sync, uint64_t config_version, uint32_t wait_ms)
{
	const at_site_t *site = *sync->deps.site;

	if (site != NULL && config_version <= site->version)
		return;
	if (config_version > sync->config_wanted)
		sync->config_wanted = config_version;
	note_behind(&sync->config, wait_ms);
}

void
sync_want_servers(at_sync_t *sync, uint64_t since, uint32_t wait_ms)
{
	if (since <= at_mirror_since(sync->servers.mirror))
		return;
	if (since > sync->servers_wanted)
		sync->servers_wanted = since;
	note_behind(&sync->servers, wait_ms);
}

/* Counts for how long others were known to have what is known here now. */
static void
note_current(watcher_t *watcher)
{
	uint64_t since_ms = watcher->catch_up.behind_ms;

	at_counters_observe(watcher->sync->deps.counters, "behind_ms", "of",
	    watcher->kind, since_ms == 0 ? 0 : at_clock_now_ms() - since_ms);
	at_catch_up_note_current(&watcher->catch_up);
}

void
sync_note_config_known(at_sync_t *sync)
{
	const at_site_t *site = *sync->deps.site;

	if (site != NULL && site->version >= sync->config_wanted)
		note_current(&sync->config);
}

void
sync_note_servers_known(at_sync_t *sync)
{
	if (sync->servers.catch_up.behind_ms != 0 &&
	    at_mirror_since(sync->servers.mirror) >= sync->servers_wanted)
		note_current(&sync->servers);
}

/* Asks an instance that has what is wanted; another one each time. */
static void
ask(at_sync_t *sync, at_document_kind_t kind)
{
	const at_sync_deps_t *deps = &sync->deps;
	int is_config = kind == AT_DOCUMENT_CONFIG;
	const at_roster_member_t *member = at_roster_choose_source(deps->roster,
	    deps->identity->data_centre, is_config ? sync->config_wanted : 0,
	    is_config ? SINCE_STATED : sync->servers_wanted,
	    at_rng_next(deps->rng), at_clock_now_us());

	if (member == NULL)
		return;
	at_log(AT_LOG_INFO, "platform", NULL,
	    "changes are lacking; asking another instance kind=%s instance=%s "
	    "wanted=%" PRIu64,
	    is_config ? sync->config.kind : sync->servers.kind,
	    member->name.text,
	    is_config ? sync->config_wanted : sync->servers_wanted);
	at_documents_ask(sync->documents, member, kind,
	    is_config ? at_config_text_version(sync->config_text)
		      : at_mirror_since(sync->servers.mirror));
}

void
sync_ask_for_all_servers(at_sync_t *sync, at_tag_t instance)
{
	const at_roster_member_t *member =
	    at_roster_find(sync->deps.roster, instance);

	if (member != NULL)
		at_documents_ask(
		    sync->documents, member, AT_DOCUMENT_SERVERS, 0);
}

static void
run_catch_up(watcher_t *watcher, at_document_kind_t kind)
{
	at_sync_t *sync = watcher->sync;
	at_catch_up_step_t step =
	    at_catch_up_step(&watcher->catch_up, at_clock_now_ms());

	if (step == AT_CATCH_UP_ASK)
		ask(sync, kind);
	else if (step == AT_CATCH_UP_READ)
		at_sync_check(sync);
}

static void
on_catch_up(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_sync_t *sync = timer->data;

	(void)events;
	run_catch_up(&sync->config, AT_DOCUMENT_CONFIG);
	run_catch_up(&sync->servers, AT_DOCUMENT_SERVERS);
	if (sync->config.catch_up.behind_ms == 0 &&
	    sync->servers.catch_up.behind_ms == 0)
		ev_timer_stop(loop, timer);
}

int
sync_documents_init(at_sync_t *sync)
{
	const at_sync_deps_t *deps = &sync->deps;
	const at_documents_port_t port = {
	    on_send, on_fill, on_apply, on_progress, sync};

	ev_timer_init(&sync->catch_up_timer, on_catch_up, CATCH_UP_INTERVAL_S,
	    CATCH_UP_INTERVAL_S);
	sync->catch_up_timer.data = sync;
	sync->documents = at_documents_new(deps->loop, deps->roster,
	    deps->counters, deps->identity->tag, deps->identity->data_centre,
	    deps->settings->link_mbps, &port);
	return sync->documents == NULL ? -1 : 0;
}

void
sync_documents_free(at_sync_t *sync)
{
	ev_timer_stop(sync->deps.loop, &sync->catch_up_timer);
	clear_filled(sync);
	at_documents_delete(sync->documents);
}
