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

/* Vanished servers may be back so long after the platform's return. */
#define SERVERS_LINGER_MS 2000u
/* Changes within so long are read together. */
#define GATHER_MS 300u
/* Between two looks at the configuration at least. */
#define LOOK_EVERY_MS 250u
/* So long a newer configuration is waited for before it is read. */
#define TOLD_WITHIN_MS 200u
/* A list that differs from the reader's for so long missed a datagram. */
#define DIFFERS_MS 700u

/* One kind of objects. */
typedef struct copy {
	at_sync_t *sync;
	const char *kind;
	at_mirror_t *mirror;
	at_objects_call_t *call; /* open, or NULL */
	int was_away;
	ev_timer timer;
} copy_t;

struct at_sync {
	at_entry_t *entry;
	at_objects_t objects;
	copy_t config;
	copy_t servers;
	at_objects_call_t *look; /* open, or NULL */
	uint64_t look_after_ms;  /* no further one before */
	int is_reader;
	uint64_t newer_since_ms;   /* another has a newer config; 0: none */
	uint64_t differs_since_ms; /* from the reader's list; 0: it does not */
};

static void step(copy_t *copy);

static void
on_config_change(void *ctx, const at_object_t *object)
{
	copy_t *copy = ctx;
	at_entry_t *entry = copy->sync->entry;
	at_status_t status;
	at_site_t *site;

	if (strcmp(object->name, WIRE_CONFIG_NAME) != 0)
		return;
	at_status_clear(&status);
	site = at_site_decode(object->spec, &entry->secret, &status);
	if (site == NULL) {
		at_log(AT_LOG_ERROR, "config", NULL,
		    "unreadable object_version=%" PRIu64 " fault=\"%s\"",
		    object->version, status.message);
		return;
	}
	if (entry->site != NULL && site->version <= entry->site->version) {
		at_log(AT_LOG_WARN, "config", NULL,
		    "ignored version=%" PRIu64 " in_force=%" PRIu64,
		    site->version, entry->site->version);
		at_site_unref(site);
		return;
	}
	at_entry_set_site(entry, site);
	copy->sync->newer_since_ms = 0;
	if (at_sync_is_reader(copy->sync))
		at_gossip_tell_config(
		    entry->gossip, object->name, object->version, object->spec);
}

static void
on_config_gone(void *ctx, const char *name, uint64_t version)
{
	(void)ctx;
	(void)version;
	at_log(AT_LOG_ERROR, "config", NULL,
	    "object vanished name=%s; the last one stays in force", name);
}

static void
on_server_change(void *ctx, const at_object_t *object)
{
	copy_t *copy = ctx;
	at_entry_t *entry = copy->sync->entry;
	at_server_entry_t server;
	const char *fault =
	    at_server_decode(object->name, object->spec, &server);

	if (at_sync_is_reader(copy->sync))
		at_gossip_tell_server(
		    entry->gossip, object->name, object->version, object->spec);

	if (fault != NULL) {
		at_log(AT_LOG_WARN, "servers", NULL,
		    "entry ignored name=%s object_version=%" PRIu64 " fault=%s",
		    object->name, object->version, fault);
		at_fleet_remove(entry->fleet, at_tag_from_text(object->name));
		return;
	}
	if (at_fleet_update_server(entry->fleet, &server) == NULL) {
		at_log(AT_LOG_INFO, "servers", NULL,
		    "entry overtaken name=%s object_version=%" PRIu64,
		    object->name, object->version);
		return;
	}
	at_log(AT_LOG_INFO, "servers", NULL,
	    "entry name=%s address=%s leaving=%d models=%zu beat=%" PRIu64
	    " object_version=%" PRIu64,
	    object->name, server.address, server.is_leaving,
	    server.residents.count, server.heartbeat_sequence, object->version);
}

static void
on_server_gone(void *ctx, const char *name, uint64_t version)
{
	copy_t *copy = ctx;
	at_entry_t *entry = copy->sync->entry;

	at_log(AT_LOG_INFO, "servers", NULL, "gone name=%s", name);
	at_fleet_remove(entry->fleet, at_tag_from_text(name));
	if (at_sync_is_reader(copy->sync))
		at_gossip_tell_server(entry->gossip, name, version, NULL);
}

static void
report_reach(copy_t *copy, at_objects_code_t code)
{
	int away = at_mirror_is_platform_away(copy->mirror);

	if (away == copy->was_away)
		return;
	copy->was_away = away;
	if (away)
		at_log(AT_LOG_WARN, "platform", NULL, "lost kind=%s result=%s",
		    copy->kind, at_objects_code_names[code]);
	else
		at_log(AT_LOG_INFO, "platform", NULL,
		    "regained kind=%s objects=%zu", copy->kind,
		    at_mirror_count(copy->mirror));
}

static void
relist(copy_t *copy)
{
	if (copy->call != NULL)
		copy->sync->objects.cancel(
		    copy->sync->objects.impl, copy->call);
	copy->call = NULL;
	at_mirror_relist(copy->mirror);
	step(copy);
}

/* Where one watch lost its history, the other hears nothing either. */
static void
relist_other(copy_t *copy)
{
	at_sync_t *sync = copy->sync;
	copy_t *other = copy == &sync->config ? &sync->servers : &sync->config;

	at_log(AT_LOG_WARN, "platform", NULL,
	    "history lost kind=%s; listing kind=%s too", copy->kind,
	    other->kind);
	relist(other);
}

static void
on_look(void *ctx, const at_objects_page_t *page)
{
	at_sync_t *sync = ctx;

	sync->look = NULL;
	/* One that follows hears of changes later than the reader. */
	if (!at_mirror_check_list(
		sync->config.mirror, at_clock_now_ms(), page) ||
	    !sync->is_reader)
		return;
	at_log(AT_LOG_WARN, "platform", NULL, "a watch missed changes kind=%s",
	    sync->config.kind);
	relist(&sync->config);
	relist(&sync->servers);
}

static void
set_following(copy_t *copy, int following)
{
	if (following && copy->call != NULL &&
	    !at_mirror_is_listing(copy->mirror)) {
		copy->sync->objects.cancel(
		    copy->sync->objects.impl, copy->call);
		copy->call = NULL;
		at_mirror_note_call_dropped(copy->mirror);
	}
	at_mirror_set_following(copy->mirror, following);
	step(copy);
}

void
at_sync_set_reader(at_sync_t *sync, int is_reader)
{
	if (sync->is_reader == is_reader)
		return;
	sync->is_reader = is_reader;
	sync->differs_since_ms = 0;
	at_log(AT_LOG_INFO, "platform", NULL, "%s the platform's lists",
	    is_reader ? "reads" : "follows another instance for");
	set_following(&sync->config, !is_reader);
	set_following(&sync->servers, !is_reader);
}

int
at_sync_is_reader(const at_sync_t *sync)
{
	return sync->is_reader;
}

static void
feed(copy_t *copy, const char *name, uint64_t version, const char *spec)
{
	at_object_t object = {.name = name, .version = version};
	uint64_t now_ms = at_clock_now_ms();
	json_t *root;

	if (copy->sync->is_reader)
		return;
	if (spec == NULL) {
		at_mirror_feed_deleted(copy->mirror, now_ms, name, version);
		return;
	}
	root = json_loads(spec, JSON_DECODE_ANY, NULL);
	if (root == NULL) {
		at_log(AT_LOG_WARN, "platform", NULL,
		    "unreadable report kind=%s name=%s object_version=%" PRIu64,
		    copy->kind, name, version);
		return;
	}
	object.spec = root;
	at_mirror_feed(copy->mirror, now_ms, &object);
	json_decref(root);
}

void
at_sync_feed(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec)
{
	feed(&sync->servers, name, version, spec);
}

void
at_sync_feed_config(
    at_sync_t *sync, const char *name, uint64_t version, const char *spec)
{
	/* A start reads it itself, to know that it is the newest. */
	if (spec != NULL && at_mirror_is_synced(sync->config.mirror))
		feed(&sync->config, name, version, spec);
}

void
at_sync_hear_newer(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->newer_since_ms == 0)
		sync->newer_since_ms = now_ms;
	if (sync->is_reader || now_ms - sync->newer_since_ms >= TOLD_WITHIN_MS)
		at_sync_look(sync);
}

uint64_t
at_sync_digest(const at_sync_t *sync)
{
	return at_mirror_digest(sync->servers.mirror);
}

void
at_sync_compare(at_sync_t *sync, uint64_t readers_digest)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->is_reader || at_mirror_is_listing(sync->servers.mirror) ||
	    readers_digest == at_mirror_digest(sync->servers.mirror)) {
		sync->differs_since_ms = 0;
		return;
	}
	if (sync->differs_since_ms == 0)
		sync->differs_since_ms = now_ms;
	if (now_ms - sync->differs_since_ms < DIFFERS_MS)
		return;
	at_log(AT_LOG_WARN, "platform", NULL,
	    "list differs from the reader's kind=%s; listing",
	    WIRE_KIND_SERVERS);
	sync->differs_since_ms = 0;
	relist(&sync->servers);
}

void
at_sync_look(at_sync_t *sync)
{
	uint64_t now_ms = at_clock_now_ms();

	if (sync->look != NULL || now_ms < sync->look_after_ms ||
	    !at_mirror_is_synced(sync->config.mirror))
		return;
	sync->look_after_ms = now_ms + LOOK_EVERY_MS;
	sync->look = sync->objects.list(
	    sync->objects.impl, sync->config.kind, NULL, on_look, sync);
}

static void
on_page(void *ctx, const at_objects_page_t *page)
{
	copy_t *copy = ctx;

	copy->call = NULL;
	at_log(AT_LOG_DEBUG, "platform", NULL,
	    "answer kind=%s result=%s objects=%zu as_of=%" PRIu64, copy->kind,
	    at_objects_code_names[page->code], page->count, page->as_of);
	at_mirror_handle_response(copy->mirror, at_clock_now_ms(), page);
	report_reach(copy, page->code);
	if (page->code == AT_OBJECTS_HISTORY_GONE)
		relist_other(copy);
	step(copy);
	at_entry_place_waiting(copy->sync->entry);
}

static void
arm(copy_t *copy)
{
	struct ev_loop *loop = copy->sync->entry->loop;
	uint64_t due_ms = at_mirror_due_ms(copy->mirror);
	uint64_t now_ms = at_clock_now_ms();

	ev_timer_stop(loop, &copy->timer);
	if (due_ms == AT_MIRROR_NOT_DUE)
		return;
	ev_timer_set(&copy->timer,
	    due_ms > now_ms ? (double)(due_ms - now_ms) / AT_MS_PER_S : 0., 0.);
	ev_timer_start(loop, &copy->timer);
}

static void
step(copy_t *copy)
{
	const at_objects_t *objects = &copy->sync->objects;
	const at_objects_page_t failed = {.code = AT_OBJECTS_NO_RESPONSE};
	at_mirror_action_t action;

	at_mirror_process(copy->mirror, at_clock_now_ms(), &action);
	if (action.step == AT_MIRROR_LIST)
		copy->call = objects->list(
		    objects->impl, copy->kind, action.after, on_page, copy);
	else if (action.step == AT_MIRROR_WATCH)
		copy->call = objects->watch(objects->impl, copy->kind,
		    action.since, action.wait_ms, on_page, copy);
	if (action.step != AT_MIRROR_WAIT && copy->call == NULL)
		at_mirror_handle_response(
		    copy->mirror, at_clock_now_ms(), &failed);
	arm(copy);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	copy_t *copy = timer->data;

	(void)loop;
	(void)events;
	step(copy);
}

static int
copy_init(at_sync_t *sync, copy_t *copy, const char *kind,
    const at_mirror_sink_t *sink, uint32_t linger_ms)
{
	copy->sync = sync;
	copy->kind = kind;
	copy->mirror = at_mirror_new();
	if (copy->mirror == NULL)
		return -1;
	at_mirror_set_sink(copy->mirror, sink);
	at_mirror_set_deletion_delay(copy->mirror, linger_ms);
	at_mirror_set_batch_delay(copy->mirror, GATHER_MS);
	ev_timer_init(&copy->timer, on_timer, 0., 0.);
	copy->timer.data = copy;
	return 0;
}

at_sync_t *
at_sync_new(at_entry_t *entry)
{
	at_sync_t *sync = calloc(1, sizeof(*sync));
	const at_mirror_sink_t config_sink = {on_config_change, on_config_gone,
	    sync == NULL ? NULL : &sync->config};
	const at_mirror_sink_t servers_sink = {on_server_change, on_server_gone,
	    sync == NULL ? NULL : &sync->servers};

	if (sync == NULL)
		return NULL;
	sync->entry = entry;
	sync->is_reader = 1;
	sync->objects = at_wire_store_objects(entry->wire_store);
	if (copy_init(sync, &sync->config, WIRE_KIND_CONFIG, &config_sink, 0) !=
		0 ||
	    copy_init(sync, &sync->servers, WIRE_KIND_SERVERS, &servers_sink,
		SERVERS_LINGER_MS) != 0) {
		at_sync_delete(sync);
		return NULL;
	}
	return sync;
}

void
at_sync_start(at_sync_t *sync)
{
	step(&sync->config);
	step(&sync->servers);
}

void
at_sync_delete(at_sync_t *sync)
{
	copy_t *copies[] = {&sync->config, &sync->servers};
	size_t i;

	if (sync->look != NULL)
		sync->objects.cancel(sync->objects.impl, sync->look);
	for (i = 0; i < sizeof(copies) / sizeof(copies[0]); i++) {
		ev_timer_stop(sync->entry->loop, &copies[i]->timer);
		if (copies[i]->call != NULL)
			sync->objects.cancel(
			    sync->objects.impl, copies[i]->call);
		at_mirror_delete(copies[i]->mirror);
	}
	free(sync);
}

int
at_sync_complete(const at_sync_t *sync)
{
	return at_mirror_is_synced(sync->config.mirror) &&
	       at_mirror_is_synced(sync->servers.mirror);
}

int
at_sync_is_platform_away(const at_sync_t *sync)
{
	return at_mirror_is_platform_away(sync->config.mirror) ||
	       at_mirror_is_platform_away(sync->servers.mirror);
}
