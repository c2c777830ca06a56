#include "almondthread/mirror.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

/* Longest duration of one watch; connections are also probed separately. */
#define WATCH_TIMEOUT_MS 15000u
#define WATCH_NO_WAIT_MS 1u       /* a watch that responds at once */
#define RETRY_DELAY_FIRST_MS 100u /* delay after the first failed call */
/* Longest delay after calls that were refused, or that got no response. */
#define REFUSED_DELAY_MAX_MS 1600u
#define NO_RESPONSE_DELAY_MAX_MS 400u
/* A watch that has lost its history is silent for less, then refused. */
#define DEAF_WATCH_MAX_MS 2000u
#define NAME_SIZE 128u /* bytes of an object's name, with the NUL */

const char *const at_objects_code_names[] = {
    "ok", "history_gone", "refused", "silent"};

/* An object that exists or was deleted recently. */
typedef struct mirror_entry {
	char name[NAME_SIZE];
	uint64_t version;         /* of the last change, or of the deletion */
	uint64_t deletion_due_ms; /* when it is deleted; 0: it is not missing */
	uint64_t deletion_version; /* while it is missing */
	uint64_t deleted_ms;       /* when it was deleted; 0: it exists */
	int is_listed;             /* the list being read has it */
	char *text;                /* NULL: not kept, or there is none */
	size_t len;
	UT_hash_handle hh;
} mirror_entry_t;

struct at_mirror {
	at_mirror_sink_t sink;
	uint32_t deletion_delay_ms;
	uint32_t batch_delay_ms;
	mirror_entry_t *objects;
	int keeps_texts;
	size_t deleted_count; /* of the objects; the others exist */
	size_t missing_count; /* missing objects that are still kept */
	int call_in_flight;   /* a response is expected */
	int is_listing;       /* the next call is a list, not a watch */
	int is_following; /* another instance watches and sends the changes */
	char after[NAME_SIZE]; /* last name of the page before, or empty */
	/* Version up to which all changes were known before the list, if any.
	 */
	uint64_t since;
	uint64_t list_version; /* of the first page of the list */
	/* Stated by a watch without changes at that time; 0: none. */
	uint64_t unproved_version;
	uint64_t unproved_ms;
	uint64_t changed;         /* version after which no change is known */
	uint64_t newest;          /* highest version stated for a change */
	uint64_t horizon;         /* deletions up to it may be forgotten */
	int is_synced;            /* a complete list was applied */
	int is_platform_away;     /* the last call failed */
	uint64_t outage_ended_ms; /* end of the last outage */
	uint32_t failures;        /* consecutive failed calls */
	uint64_t next_call_ms;
	uint64_t now_ms;
};

at_mirror_t *
at_mirror_new(void)
{
	at_mirror_t *mirror = calloc(1, sizeof(*mirror));

	if (mirror != NULL)
		mirror->is_listing = 1;
	return mirror;
}

void
at_mirror_delete(at_mirror_t *mirror)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	if (mirror == NULL)
		return;
	HASH_ITER(hh, mirror->objects, entry, next)
	{
		HASH_DEL(mirror->objects, entry);
		free(entry->text);
		free(entry);
	}
	free(mirror);
}

void
at_mirror_set_sink(at_mirror_t *mirror, const at_mirror_sink_t *sink)
{
	mirror->sink = *sink;
}

void
at_mirror_set_deletion_delay(at_mirror_t *mirror, uint32_t delay_ms)
{
	mirror->deletion_delay_ms = delay_ms;
}

void
at_mirror_set_batch_delay(at_mirror_t *mirror, uint32_t delay_ms)
{
	mirror->batch_delay_ms = delay_ms;
}

void
at_mirror_keep_texts(at_mirror_t *mirror)
{
	mirror->keeps_texts = 1;
}

static void
note_changed(at_mirror_t *mirror, uint64_t version)
{
	if (version > mirror->changed)
		mirror->changed = version;
}

/* Also notes the highest version that the platform has stated. */
static void
note_version(at_mirror_t *mirror, uint64_t version)
{
	if (version > mirror->newest)
		mirror->newest = version;
	note_changed(mirror, version);
}

static void
clear_missing(at_mirror_t *mirror, mirror_entry_t *entry)
{
	if (entry->deletion_due_ms == 0)
		return;
	entry->deletion_due_ms = 0;
	mirror->missing_count--;
}

/* Keeps the entry, for those that ask later and against older lists. */
static void
delete_entry(at_mirror_t *mirror, mirror_entry_t *entry, uint64_t version)
{
	clear_missing(mirror, entry);
	if (version > entry->version)
		entry->version = version;
	note_changed(mirror, entry->version);
	entry->deleted_ms = mirror->now_ms;
	mirror->deleted_count++;
	free(entry->text);
	entry->text = NULL;
	entry->len = 0;
	mirror->sink.on_deleted(mirror->sink.ctx, entry->name, entry->version);
}

/* Forgets the deletions that are older than AT_MIRROR_DELETED_MS. */
static void
expire_deleted(at_mirror_t *mirror)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	if (mirror->deleted_count == 0)
		return;
	HASH_ITER(hh, mirror->objects, entry, next)
	{
		if (entry->deleted_ms == 0 ||
		    mirror->now_ms < entry->deleted_ms + AT_MIRROR_DELETED_MS)
			continue;
		if (entry->version > mirror->horizon)
			mirror->horizon = entry->version;
		mirror->deleted_count--;
		HASH_DEL(mirror->objects, entry);
		free(entry);
	}
}

/*
 * Handles an object that the platform no longer has. Around an outage it may
 * reappear, so it is kept until the deletion delay has passed.
 */
static void
handle_missing(at_mirror_t *mirror, mirror_entry_t *entry, uint64_t version)
{
	uint64_t due_ms = mirror->outage_ended_ms + mirror->deletion_delay_ms;

	/* It may have come back meanwhile, unseen. */
	if (entry->deleted_ms != 0 && version > entry->version)
		entry->version = version;
	if (entry->deletion_due_ms != 0 && version > entry->deletion_version)
		entry->deletion_version = version;
	if (entry->deletion_due_ms != 0 || entry->deleted_ms != 0)
		return;
	if (mirror->now_ms >= due_ms) {
		delete_entry(mirror, entry, version);
		return;
	}
	entry->deletion_due_ms = due_ms;
	entry->deletion_version = version;
	mirror->missing_count++;
}

/* Deletes the missing objects that are due at until_ms. */
static void
delete_due(at_mirror_t *mirror, uint64_t until_ms)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	if (mirror->missing_count == 0)
		return;
	HASH_ITER(hh, mirror->objects, entry, next)
	{
		if (entry->deletion_due_ms != 0 &&
		    until_ms >= entry->deletion_due_ms)
			delete_entry(mirror, entry, entry->deletion_version);
	}
}

void
at_mirror_delete_missing(at_mirror_t *mirror, uint64_t now_ms)
{
	mirror->now_ms = now_ms;
	delete_due(mirror, UINT64_MAX);
}

size_t
at_mirror_missing_count(const at_mirror_t *mirror)
{
	return mirror->missing_count;
}

/* Returns NULL if out of memory or if the name is too long. */
static mirror_entry_t *
find_or_add(at_mirror_t *mirror, const char *name)
{
	mirror_entry_t *entry;

	if (strlen(name) >= NAME_SIZE)
		return NULL;
	HASH_FIND_STR(mirror->objects, name, entry);
	if (entry != NULL)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	(void)snprintf(entry->name, NAME_SIZE, "%s", name);
	HASH_ADD_STR(mirror->objects, name, entry);
	return entry;
}

static void
set_text(
    const at_mirror_t *mirror, mirror_entry_t *entry, const at_object_t *object)
{
	free(entry->text);
	entry->text = NULL;
	entry->len = 0;
	if (!mirror->keeps_texts || object->text == NULL)
		return;
	entry->text = malloc(object->len + 1);
	if (entry->text == NULL)
		return;
	memcpy(entry->text, object->text, object->len);
	entry->text[object->len] = '\0';
	entry->len = object->len;
}

static void
apply_change(at_mirror_t *mirror, const at_object_t *object)
{
	mirror_entry_t *entry = find_or_add(mirror, object->name);

	note_version(mirror, object->version);
	if (entry == NULL)
		return;
	/* A list that was begun before the deletion. */
	if (entry->deleted_ms != 0 && object->version <= entry->version)
		return;
	if (entry->deleted_ms != 0)
		mirror->deleted_count--;
	entry->deleted_ms = 0;
	entry->is_listed = 1;
	/* A list has what exists; otherwise only a later change shows that. */
	if (mirror->is_listing || object->version > entry->deletion_version)
		clear_missing(mirror, entry);
	if (object->version <= entry->version)
		return;
	entry->version = object->version;
	set_text(mirror, entry, object);
	mirror->sink.on_change(mirror->sink.ctx, object);
}

static void
apply_deletion(at_mirror_t *mirror, const at_object_t *object)
{
	mirror_entry_t *entry;

	note_version(mirror, object->version);
	HASH_FIND_STR(mirror->objects, object->name, entry);
	/* A deletion older than the known version is outdated. */
	if (entry != NULL && object->version >= entry->version)
		handle_missing(mirror, entry, object->version);
}

/*
 * Objects may have come and gone between two lists, which others have: whoever
 * does not have all changes up to this one needs the whole list.
 */
static void
note_whole_list(at_mirror_t *mirror, uint64_t version)
{
	note_changed(mirror, version);
	if (version > mirror->horizon)
		mirror->horizon = version;
}

/* Ends a complete list: objects that it did not contain are missing. */
static void
end_list(at_mirror_t *mirror)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;

	HASH_ITER(hh, mirror->objects, entry, next)
	{
		if (!entry->is_listed)
			handle_missing(mirror, entry, mirror->list_version);
	}
	mirror->is_listing = 0;
	mirror->since = mirror->list_version;
	note_whole_list(mirror, mirror->list_version);
	mirror->is_synced = 1;
}

static void
begin_list(at_mirror_t *mirror)
{
	mirror_entry_t *entry;

	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next)
		entry->is_listed = 0;
	mirror->is_listing = 1;
	mirror->after[0] = '\0';
	mirror->unproved_version = 0;
}

static void
apply_list_page(at_mirror_t *mirror, const at_objects_page_t *page)
{
	size_t i;

	/*
	 * The watch starts from the first page's version, because a change
	 * during the list may be missing from the later pages.
	 */
	if (mirror->after[0] == '\0')
		mirror->list_version = page->store_version;
	for (i = 0; i < page->count; i++)
		apply_change(mirror, &page->objects[i]);
	if (!page->has_more || page->count == 0) {
		end_list(mirror);
		return;
	}
	(void)snprintf(mirror->after, NAME_SIZE, "%s",
	    page->objects[page->count - 1].name);
}

/*
 * Takes the version that a watch without changes has stated. A watch that was
 * deaf meanwhile would have been refused by now.
 */
static void
note_no_changes(at_mirror_t *mirror, uint64_t version)
{
	if (mirror->unproved_version != 0 &&
	    mirror->now_ms < mirror->unproved_ms + DEAF_WATCH_MAX_MS)
		return;
	if (mirror->unproved_version > mirror->since)
		mirror->since = mirror->unproved_version;
	mirror->unproved_version = version;
	mirror->unproved_ms = mirror->now_ms;
}

static void
apply_watch_page(at_mirror_t *mirror, const at_objects_page_t *page)
{
	size_t i;

	for (i = 0; i < page->count; i++) {
		if (page->objects[i].is_deleted)
			apply_deletion(mirror, &page->objects[i]);
		else
			apply_change(mirror, &page->objects[i]);
	}
	if (page->count == 0) {
		note_no_changes(mirror, page->store_version);
		return;
	}
	if (page->store_version > mirror->since)
		mirror->since = page->store_version;
	mirror->unproved_version = 0;
	mirror->next_call_ms = mirror->now_ms + mirror->batch_delay_ms;
}

static void
note_failed_call(at_mirror_t *mirror, uint64_t now_ms, at_objects_code_t code)
{
	uint32_t wait_max_ms = code == AT_OBJECTS_REFUSED
				   ? REFUSED_DELAY_MAX_MS
				   : NO_RESPONSE_DELAY_MAX_MS;
	uint32_t wait_ms = RETRY_DELAY_FIRST_MS;
	uint32_t i;

	for (i = 0; i < mirror->failures && wait_ms < wait_max_ms; i++)
		wait_ms *= 2;
	mirror->failures++;
	mirror->is_platform_away = 1;
	mirror->next_call_ms = now_ms + wait_ms;
}

void
at_mirror_process(
    at_mirror_t *mirror, uint64_t now_ms, at_mirror_action_t *action)
{
	mirror->now_ms = now_ms;
	delete_due(mirror, now_ms);
	expire_deleted(mirror);
	action->step = AT_MIRROR_WAIT;
	if (mirror->call_in_flight || now_ms < mirror->next_call_ms ||
	    (mirror->is_following && !mirror->is_listing))
		return;
	mirror->call_in_flight = 1;
	if (mirror->is_listing) {
		action->step = AT_MIRROR_LIST;
		action->after = mirror->after[0] == '\0' ? NULL : mirror->after;
		return;
	}
	action->step = AT_MIRROR_WATCH;
	action->since = mirror->since;
	/* After an outage, only a response shows that the platform is back. */
	action->wait_ms =
	    mirror->is_platform_away ? WATCH_NO_WAIT_MS : WATCH_TIMEOUT_MS;
}

static void
note_response(at_mirror_t *mirror)
{
	if (mirror->is_platform_away) {
		mirror->is_platform_away = 0;
		mirror->outage_ended_ms = mirror->now_ms;
	}
	mirror->failures = 0;
}

void
at_mirror_note_response(at_mirror_t *mirror, uint64_t now_ms)
{
	mirror->now_ms = now_ms;
	note_response(mirror);
}

void
at_mirror_handle_response(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page)
{
	mirror->call_in_flight = 0;
	mirror->now_ms = now_ms;
	if (page->code == AT_OBJECTS_REFUSED ||
	    page->code == AT_OBJECTS_NO_RESPONSE) {
		note_failed_call(mirror, now_ms, page->code);
		return;
	}
	note_response(mirror);
	if (page->code == AT_OBJECTS_HISTORY_GONE)
		begin_list(mirror);
	else if (mirror->is_listing)
		apply_list_page(mirror, page);
	else
		apply_watch_page(mirror, page);
}

int
at_mirror_check_list(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page)
{
	int watch_missed_change = 0;
	size_t i;

	if (page->code != AT_OBJECTS_OK || mirror->is_listing)
		return 0;
	mirror->now_ms = now_ms;
	for (i = 0; i < page->count; i++) {
		const mirror_entry_t *entry;

		HASH_FIND_STR(mirror->objects, page->objects[i].name, entry);
		if (entry != NULL && entry->version >= page->objects[i].version)
			continue;
		watch_missed_change = 1;
		apply_change(mirror, &page->objects[i]);
	}
	return watch_missed_change;
}

uint64_t
at_mirror_since(const at_mirror_t *mirror)
{
	return mirror->is_listing ? 0 : mirror->since;
}

uint64_t
at_mirror_base(const at_mirror_t *mirror)
{
	return mirror->since;
}

int
at_mirror_check_watch(at_mirror_t *mirror, uint64_t now_ms, uint64_t since,
    const at_objects_page_t *page)
{
	if (page->code != AT_OBJECTS_OK || mirror->is_listing ||
	    mirror->since != since)
		return 0;
	mirror->now_ms = now_ms;
	if (page->count > 0)
		mirror->call_in_flight = 0;
	apply_watch_page(mirror, page);
	return page->count > 0;
}

void
at_mirror_relist(at_mirror_t *mirror)
{
	begin_list(mirror);
	mirror->call_in_flight = 0;
	mirror->next_call_ms = 0;
}

void
at_mirror_set_following(at_mirror_t *mirror, int following)
{
	if (mirror->is_following == following)
		return;
	mirror->is_following = following;
	if (!following)
		mirror->next_call_ms = mirror->now_ms;
}

/* All changes up to there are known, whoever brings one of them again. */
static int
is_past(const at_mirror_t *mirror, uint64_t version)
{
	return mirror->is_synced && !mirror->is_listing &&
	       version <= mirror->since;
}

void
at_mirror_feed(at_mirror_t *mirror, uint64_t now_ms, const at_object_t *object)
{
	mirror->now_ms = now_ms;
	if (!is_past(mirror, object->version))
		apply_change(mirror, object);
}

void
at_mirror_feed_deleted(
    at_mirror_t *mirror, uint64_t now_ms, const char *name, uint64_t version)
{
	mirror_entry_t *entry;

	mirror->now_ms = now_ms;
	note_version(mirror, version);
	HASH_FIND_STR(mirror->objects, name, entry);
	if (entry != NULL && entry->deleted_ms == 0 &&
	    entry->version <= version)
		delete_entry(mirror, entry, version);
}

void
at_mirror_feed_all(at_mirror_t *mirror, uint64_t now_ms,
    const at_object_t *objects, size_t count, uint64_t version)
{
	mirror_entry_t *entry;
	mirror_entry_t *next;
	size_t i;

	mirror->now_ms = now_ms;
	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next)
		entry->is_listed = entry->version > version;
	for (i = 0; i < count; i++)
		apply_change(mirror, &objects[i]);
	HASH_ITER(hh, mirror->objects, entry, next)
	{
		if (!entry->is_listed && entry->deleted_ms == 0)
			delete_entry(mirror, entry, version);
	}
	/* A list that is under way is not needed any more. */
	mirror->is_listing = 0;
	mirror->is_synced = 1;
	note_whole_list(mirror, version);
	if (version > mirror->since)
		mirror->since = version;
}

int
at_mirror_advance(at_mirror_t *mirror, uint64_t from, uint64_t to)
{
	if (mirror->is_listing || mirror->since < from)
		return 0;
	if (to > mirror->since) {
		mirror->since = to;
		mirror->unproved_version = 0;
	}
	return 1;
}

uint64_t
at_mirror_changed(const at_mirror_t *mirror)
{
	return mirror->changed;
}

static void
visit_entry(const mirror_entry_t *entry, at_mirror_visit_t visit, void *ctx)
{
	const at_object_t object = {.name = entry->name,
	    .version = entry->version,
	    .is_deleted = entry->deleted_ms != 0,
	    .text = entry->text,
	    .len = entry->len};

	visit(ctx, &object);
}

int
at_mirror_knows_since(const at_mirror_t *mirror, uint64_t after)
{
	return after >= mirror->horizon;
}

int
at_mirror_each_change(const at_mirror_t *mirror, uint64_t after,
    at_mirror_visit_t visit, void *ctx)
{
	const mirror_entry_t *entry;

	if (!at_mirror_knows_since(mirror, after))
		return -1;
	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next) {
		if (entry->version > after)
			visit_entry(entry, visit, ctx);
	}
	return 0;
}

void
at_mirror_each(const at_mirror_t *mirror, at_mirror_visit_t visit, void *ctx)
{
	const mirror_entry_t *entry;

	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next) {
		if (entry->deleted_ms == 0)
			visit_entry(entry, visit, ctx);
	}
}

uint64_t
at_mirror_digest(const at_mirror_t *mirror)
{
	const mirror_entry_t *entry;
	uint64_t digest = 0;

	/* A sum does not depend on the order of the objects. */
	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next) {
		if (entry->deleted_ms == 0)
			digest += XXH3_64bits_withSeed(
			    entry->name, strlen(entry->name), entry->version);
	}
	return digest;
}

uint64_t
at_mirror_newest(const at_mirror_t *mirror)
{
	return mirror->newest;
}

int
at_mirror_covers(const at_mirror_t *mirror, uint64_t version)
{
	return version <= mirror->newest || version <= mirror->since;
}

uint64_t
at_mirror_due_ms(const at_mirror_t *mirror)
{
	int no_call_due = mirror->call_in_flight ||
			  (mirror->is_following && !mirror->is_listing);
	uint64_t due_ms =
	    no_call_due ? AT_MIRROR_NOT_DUE : mirror->next_call_ms;
	const mirror_entry_t *entry;

	if (mirror->missing_count == 0)
		return due_ms;
	for (entry = mirror->objects; entry != NULL; entry = entry->hh.next) {
		if (entry->deletion_due_ms != 0 &&
		    entry->deletion_due_ms < due_ms)
			due_ms = entry->deletion_due_ms;
	}
	return due_ms;
}

void
at_mirror_note_call_dropped(at_mirror_t *mirror)
{
	mirror->call_in_flight = 0;
}

int
at_mirror_is_listing(const at_mirror_t *mirror)
{
	return mirror->is_listing;
}

int
at_mirror_is_synced(const at_mirror_t *mirror)
{
	return mirror->is_synced;
}

int
at_mirror_is_platform_away(const at_mirror_t *mirror)
{
	return mirror->is_platform_away;
}

size_t
at_mirror_count(const at_mirror_t *mirror)
{
	return HASH_COUNT(mirror->objects) - mirror->deleted_count;
}

size_t
at_mirror_size(const at_mirror_t *mirror)
{
	return HASH_COUNT(mirror->objects);
}
