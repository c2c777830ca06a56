/*
 * sync_report.c - what this instance reports of its copies, the changes of the
 * platform's objects that a reader sends to the instances of its data centre,
 * and what the others make of both.
 */
#include <stdlib.h>
#include <string.h>

#include "almondthread/reassembly.h"
#include "entry/store/sync_impl.h"
#include "platform/server_decode.h"

/* Changes to the list within this time are sent in one report. */
#define BATCH_DELAY_S 0.002
/* Rounds between two checks of what the platform has. */
#define CHECK_ROUNDS 8u
/* What an object stands for that names no server. */
#define NO_SERVER "null"
/* A larger difference of the configuration is sent in parts. */
#define CONFIG_CHANGE_MAX_BYTES AT_PART_BYTES
/* Texts of servers in one report; what is larger is sent in parts. */
#define SERVERS_MAX_BYTES (3u * AT_PART_BYTES)

/* Sending */

static void
object_change_free(object_change_t *object)
{
	free(object->name);
	free(object->spec);
	memset(object, 0, sizeof(*object));
}

/* Returns -1 if out of memory. */
static int
object_change_set(object_change_t *object, const char *name, uint64_t version,
    const char *text, size_t len)
{
	object->name = strdup(name);
	object->version = version;
	object->spec = text == NULL ? NULL : strndup(text, len);
	if (object->name != NULL && (object->spec != NULL || text == NULL))
		return 0;
	object_change_free(object);
	return -1;
}

static void
clear_servers(at_sync_t *sync)
{
	size_t i;

	for (i = 0; i < sync->changes.count; i++)
		object_change_free(&sync->changes.servers[i]);
	sync->changes.count = 0;
	sync->changes.bytes = 0;
	sync->changes.has_more = 0;
}

/* Leaves only the urgent ones. */
static void
keep_urgent_servers(at_sync_t *sync)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < sync->changes.count; i++) {
		if (!sync->changes.servers[i].is_urgent)
			object_change_free(&sync->changes.servers[i]);
		else if (count++ != i)
			sync->changes.servers[count - 1] =
			    sync->changes.servers[i];
	}
	sync->changes.count = count;
}

static void
fill_object(const object_change_t *object, ReportServer *message)
{
	report_server__init(message);
	message->name = object->name;
	message->version = object->version;
	message->deleted = object->spec == NULL;
	if (object->spec != NULL)
		message->spec = object->spec;
}

static void
fill_servers(void *ctx, Report *report)
{
	static ReportServer messages[CHANGES_MAX];
	static ReportServer *list[CHANGES_MAX];
	at_sync_t *sync = ctx;
	size_t i;

	for (i = 0; i < sync->changes.count; i++) {
		fill_object(&sync->changes.servers[i], &messages[i]);
		list[i] = &messages[i];
	}
	report->n_servers = sync->changes.count;
	report->servers = list;
	/* Otherwise these are not all changes. */
	if (!sync->changes.has_more) {
		report->changes_from = sync->changes.from;
		report->changes_to = at_mirror_since(sync->servers.mirror);
	}
}

static void
fill_config(void *ctx, Report *report)
{
	static ReportServer *list[1];

	list[0] = ctx;
	report->n_configs = 1;
	report->configs = list;
}

static void
send_servers(at_sync_t *sync)
{
	/* A whole list is not told as changes. */
	if (!at_mirror_knows_since(sync->servers.mirror, sync->changes.from))
		sync->changes.has_more = 1;
	if (sync->changes.has_more)
		keep_urgent_servers(sync);
	if (sync->changes.count > 0)
		at_gossip_send_changes(sync->deps.gossip, fill_servers, sync);
	if (sync->changes.has_more)
		at_documents_spread(
		    sync->documents, AT_DOCUMENT_SERVERS, sync->changes.from);
	clear_servers(sync);
}

static void
on_servers_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	send_servers(timer->data);
}

/* Returns the place of an object, or NULL if the report is full. */
static object_change_t *
find_server_place(at_sync_t *sync, size_t len, int is_urgent)
{
	size_t i;

	if (sync->changes.count < CHANGES_MAX &&
	    sync->changes.bytes + len <= SERVERS_MAX_BYTES) {
		sync->changes.bytes += len;
		return &sync->changes.servers[sync->changes.count++];
	}
	sync->changes.has_more = 1;
	for (i = 0; is_urgent && i < sync->changes.count; i++) {
		if (!sync->changes.servers[i].is_urgent) {
			object_change_free(&sync->changes.servers[i]);
			return &sync->changes.servers[i];
		}
	}
	return NULL;
}

void
sync_send_server(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len, int is_leaving)
{
	int is_urgent = is_leaving || text == NULL;
	object_change_t *object;

	if (sync->changes.count == 0 && !sync->changes.has_more)
		sync->changes.from = at_mirror_base(sync->servers.mirror);
	if (!ev_is_active(&sync->changes.timer))
		ev_timer_start(sync->deps.loop, &sync->changes.timer);
	/* All that matters of one that names no server is its version. */
	if (len > AT_SERVER_TEXT_MAX_BYTES) {
		text = NO_SERVER;
		len = strlen(NO_SERVER);
	}
	object = find_server_place(sync, len, is_urgent);
	if (object == NULL)
		return;
	if (object_change_set(object, name, version, text, len) != 0) {
		sync->changes.has_more = 1;
		*object = sync->changes.servers[--sync->changes.count];
		return;
	}
	object->is_urgent = is_urgent;
}

/* Returns non-zero if the difference is small enough for one report. */
static int
send_config_change(at_sync_t *sync, const char *name, uint64_t version)
{
	ReportServer message = REPORT_SERVER__INIT;
	size_t size;

	message.name = (char *)(uintptr_t)name;
	message.version = version;
	size = at_config_text_fill(sync->config_text, &message);
	if (size == 0 || size > CONFIG_CHANGE_MAX_BYTES)
		return 0;
	at_gossip_send_changes(sync->deps.gossip, fill_config, &message);
	return 1;
}

void
sync_note_config(at_sync_t *sync, const char *name, uint64_t version,
    const char *text, size_t len, int is_reader)
{
	uint64_t previous = at_config_text_version(sync->config_text);

	if (at_config_text_set(sync->config_text, version, text, len) != 0 ||
	    !is_reader)
		return;
	if (!send_config_change(sync, name, version))
		at_documents_spread(
		    sync->documents, AT_DOCUMENT_CONFIG, previous);
}

/* Receiving */

/* Without the base, the change is asked for when the reports state it. */
static void
apply_config(at_sync_t *sync, const ReportServer *object)
{
	const char *taken = object->spec;
	char *text = NULL;

	if (object->base_version != 0) {
		text = at_config_text_apply(sync->config_text, object);
		taken = text;
	}
	if (taken != NULL)
		sync_feed_config(
		    sync, object->name, object->version, taken, strlen(taken));
	at_counters_add(sync->deps.counters, "config_reports_total", "form",
	    text != NULL                ? "change"
	    : object->base_version == 0 ? "complete"
					: "other_base",
	    1);
	free(text);
}

static void
apply_servers(at_sync_t *sync, const Report *report)
{
	size_t i;

	for (i = 0; i < report->n_servers; i++) {
		const ReportServer *object = report->servers[i];

		sync_feed_server(sync, object->name, object->version,
		    object->deleted ? NULL : object->spec,
		    strlen(object->spec));
	}
	if (report->changes_to != 0)
		sync_feed_range(sync, report->changes_from, report->changes_to);
	for (i = 0; i < report->n_configs; i++)
		apply_config(sync, report->configs[i]);
}

/* Reports of the copies */

static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	const at_sync_t *sync = ctx;
	const at_site_t *site = *sync->deps.site;
	sync_copies_t copies = {0};

	(void)kind;
	(void)is_to_all;
	sync_fill_copies(sync, &copies);
	report->config_version = site == NULL ? 0 : site->version;
	report->servers_since = copies.servers_since;
	report->reads = copies.reads;
	report->servers_changed = copies.servers_changed;
	report->servers_digest = copies.servers_digest;
	report->servers_version = copies.servers_newest;
	report->read_age_ms = copies.age_ms;
	report->read_age_max_ms = copies.age_max_ms;
	report->steady_ms = copies.steady_ms;
}

static void
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	at_sync_t *sync = ctx;
	const sync_copies_t copies = {.instance = member->tag,
	    .is_near = member->data_centre == sync->deps.identity->data_centre,
	    .config_version = report->config_version,
	    .servers_since = report->servers_since,
	    .reads = report->reads,
	    .platform_away = report->platform_away,
	    .servers_changed = report->servers_changed,
	    .servers_newest = report->servers_version,
	    .servers_digest = report->servers_digest,
	    .age_ms = report->read_age_ms,
	    .age_max_ms = report->read_age_max_ms,
	    .steady_ms = report->steady_ms};

	if (copies.is_near)
		apply_servers(sync, report);
	sync_apply_copies(sync, &copies);
}

static void
apply_unordered(void *ctx, const Report *report)
{
	at_sync_t *sync = ctx;

	at_documents_apply_report(sync->documents, report);
}

/* Decides whether this instance reads the platform's lists. */
static void
begin_round(void *ctx, uint64_t now_us)
{
	at_sync_t *sync = ctx;
	const at_sync_deps_t *deps = &sync->deps;
	at_tag_t data_centre = deps->identity->data_centre;
	int is_reader;

	sync->rounds++;
	at_sync_check_confirmation(sync);
	if (at_gossip_is_listening(deps->gossip))
		return;
	is_reader = at_roster_is_task_owner(deps->roster, data_centre, 0,
	    deps->is_platform_away(deps->ctx), now_us);
	/* The reader continues until another instance reads. */
	if (sync->is_reader &&
	    !at_roster_has_reader(deps->roster, data_centre, now_us))
		is_reader = 1;
	at_sync_set_reader(sync, is_reader);
	if (sync->rounds % CHECK_ROUNDS == 0 && sync->is_reader)
		at_sync_check(sync);
}

static int
is_special(void *ctx)
{
	const at_sync_t *sync = ctx;

	return sync->is_reader;
}

at_report_section_t
at_sync_section(at_sync_t *sync)
{
	return (at_report_section_t){.fill = fill,
	    .apply = apply,
	    .apply_unordered = apply_unordered,
	    .begin_round = begin_round,
	    .is_special = is_special,
	    .ctx = sync};
}

int
sync_report_init(at_sync_t *sync)
{
	ev_timer_init(
	    &sync->changes.timer, on_servers_timer, BATCH_DELAY_S, 0.);
	sync->changes.timer.data = sync;
	sync->config_text = at_config_text_new();
	return sync->config_text == NULL ? -1 : 0;
}

void
sync_report_free(at_sync_t *sync)
{
	ev_timer_stop(sync->deps.loop, &sync->changes.timer);
	clear_servers(sync);
	at_config_text_delete(sync->config_text);
}
