#include "almondthread/mirror.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#define WATCH_MS 15000u     /* one watch; connections are probed besides */
#define RETRY_FIRST_MS 100u /* after a failed call */
#define RETRY_MAX_MS 1600u  /* after any number of them */
#define NAME_SIZE 128u      /* bytes of an object name, with the NUL */

const char *const at_objects_code_names[] = {
    "ok", "history_gone", "refused", "silent"};

/* One known object. */
typedef struct known {
	char name[NAME_SIZE];
	uint64_t version;
	uint64_t
	    gone_at_ms; /* it vanished and is gone by then; 0: it has not */
	int listed;     /* in the list being read */
	UT_hash_handle hh;
} known_t;

struct at_mirror {
	at_mirror_sink_t sink;
	uint32_t linger_ms;
	uint32_t gather_ms;
	known_t *objects;
	size_t lingering; /* objects with gone_at_ms set */
	int open;         /* a call has no answer yet */
	int listing;      /* the next call is a list */
	int following;    /* another instance watches */
	char after[NAME_SIZE];
	uint64_t since;
	int synced;
	int away;
	uint64_t returned_at_ms;
	uint32_t failures;
	uint64_t next_call_ms;
	uint64_t now_ms;
};

at_mirror_t *
at_mirror_new(void)
{
	at_mirror_t *mirror = calloc(1, sizeof(*mirror));

	if (mirror != NULL)
		mirror->listing = 1;
	return mirror;
}

void
at_mirror_delete(at_mirror_t *mirror)
{
	known_t *known;
	known_t *next;

	if (mirror == NULL)
		return;
	HASH_ITER(hh, mirror->objects, known, next)
	{
		HASH_DEL(mirror->objects, known);
		free(known);
	}
	free(mirror);
}

void
at_mirror_set_sink(at_mirror_t *mirror, const at_mirror_sink_t *sink)
{
	mirror->sink = *sink;
}

void
at_mirror_set_deletion_delay(at_mirror_t *mirror, uint32_t linger_ms)
{
	mirror->linger_ms = linger_ms;
}

void
at_mirror_set_batch_delay(at_mirror_t *mirror, uint32_t gather_ms)
{
	mirror->gather_ms = gather_ms;
}

static void
forget(at_mirror_t *mirror, known_t *known)
{
	HASH_DEL(mirror->objects, known);
	if (known->gone_at_ms != 0)
		mirror->lingering--;
	mirror->sink.on_deleted(mirror->sink.ctx, known->name, known->version);
	free(known);
}

/* An object is no longer there; around an outage that may be an error. */
static void
vanish(at_mirror_t *mirror, known_t *known)
{
	uint64_t until_ms = mirror->returned_at_ms + mirror->linger_ms;

	if (known->gone_at_ms != 0)
		return;
	if (mirror->now_ms >= until_ms) {
		forget(mirror, known);
		return;
	}
	known->gone_at_ms = until_ms;
	mirror->lingering++;
}

static void
expire_vanished(at_mirror_t *mirror)
{
	known_t *known;
	known_t *next;

	if (mirror->lingering == 0)
		return;
	HASH_ITER(hh, mirror->objects, known, next)
	{
		if (known->gone_at_ms != 0 &&
		    mirror->now_ms >= known->gone_at_ms)
			forget(mirror, known);
	}
}

static void
change(at_mirror_t *mirror, const at_object_t *object)
{
	known_t *known;

	if (strlen(object->name) >= NAME_SIZE)
		return;
	HASH_FIND_STR(mirror->objects, object->name, known);
	if (known == NULL) {
		known = calloc(1, sizeof(*known));
		if (known == NULL)
			return;
		(void)snprintf(known->name, NAME_SIZE, "%s", object->name);
		HASH_ADD_STR(mirror->objects, name, known);
	}
	known->listed = 1;
	if (known->gone_at_ms != 0) {
		known->gone_at_ms = 0;
		mirror->lingering--;
	}
	if (object->version <= known->version)
		return;
	known->version = object->version;
	mirror->sink.on_change(mirror->sink.ctx, object);
}

static void
remove_object(at_mirror_t *mirror, const at_object_t *object)
{
	known_t *known;

	HASH_FIND_STR(mirror->objects, object->name, known);
	/* A removal that is older than what is known has been overtaken. */
	if (known != NULL && object->version >= known->version)
		vanish(mirror, known);
}

/* What a whole list did not name no longer exists. */
static void
end_list(at_mirror_t *mirror)
{
	known_t *known;
	known_t *next;

	HASH_ITER(hh, mirror->objects, known, next)
	{
		if (!known->listed)
			vanish(mirror, known);
	}
	mirror->listing = 0;
	mirror->synced = 1;
}

static void
begin_list(at_mirror_t *mirror)
{
	known_t *known;

	for (known = mirror->objects; known != NULL; known = known->hh.next)
		known->listed = 0;
	mirror->listing = 1;
	mirror->after[0] = '\0';
	mirror->since = 0;
}

static void
take_list(at_mirror_t *mirror, const at_objects_page_t *page)
{
	size_t i;

	/* Watching from the first page's version misses no later change. */
	if (mirror->after[0] == '\0')
		mirror->since = page->as_of;
	for (i = 0; i < page->count; i++)
		change(mirror, &page->objects[i]);
	if (!page->has_more || page->count == 0) {
		end_list(mirror);
		return;
	}
	(void)snprintf(mirror->after, NAME_SIZE, "%s",
	    page->objects[page->count - 1].name);
}

static void
take_watch(at_mirror_t *mirror, const at_objects_page_t *page)
{
	size_t i;

	for (i = 0; i < page->count; i++) {
		if (page->objects[i].is_deleted)
			remove_object(mirror, &page->objects[i]);
		else
			change(mirror, &page->objects[i]);
	}
	if (page->as_of > mirror->since)
		mirror->since = page->as_of;
	if (page->count > 0)
		mirror->next_call_ms = mirror->now_ms + mirror->gather_ms;
}

static void
fail(at_mirror_t *mirror, uint64_t now_ms)
{
	uint32_t wait_ms = RETRY_FIRST_MS;
	uint32_t i;

	for (i = 0; i < mirror->failures && wait_ms < RETRY_MAX_MS; i++)
		wait_ms *= 2;
	mirror->failures++;
	mirror->away = 1;
	mirror->next_call_ms = now_ms + wait_ms;
}

void
at_mirror_process(
    at_mirror_t *mirror, uint64_t now_ms, at_mirror_action_t *action)
{
	mirror->now_ms = now_ms;
	expire_vanished(mirror);
	action->step = AT_MIRROR_WAIT;
	if (mirror->open || now_ms < mirror->next_call_ms ||
	    (mirror->following && !mirror->listing))
		return;
	mirror->open = 1;
	if (mirror->listing) {
		action->step = AT_MIRROR_LIST;
		action->after = mirror->after[0] == '\0' ? NULL : mirror->after;
		return;
	}
	action->step = AT_MIRROR_WATCH;
	action->since = mirror->since;
	action->wait_ms = WATCH_MS;
}

void
at_mirror_handle_response(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page)
{
	mirror->open = 0;
	mirror->now_ms = now_ms;
	if (page->code == AT_OBJECTS_REFUSED ||
	    page->code == AT_OBJECTS_NO_RESPONSE) {
		fail(mirror, now_ms);
		return;
	}
	if (mirror->away) {
		mirror->away = 0;
		mirror->returned_at_ms = now_ms;
	}
	mirror->failures = 0;
	if (page->code == AT_OBJECTS_HISTORY_GONE)
		begin_list(mirror);
	else if (mirror->listing)
		take_list(mirror, page);
	else
		take_watch(mirror, page);
}

int
at_mirror_check_list(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page)
{
	int missed = 0;
	size_t i;

	if (page->code != AT_OBJECTS_OK || mirror->listing)
		return 0;
	mirror->now_ms = now_ms;
	for (i = 0; i < page->count; i++) {
		const known_t *known;

		HASH_FIND_STR(mirror->objects, page->objects[i].name, known);
		if (known != NULL && known->version >= page->objects[i].version)
			continue;
		missed = 1;
		change(mirror, &page->objects[i]);
	}
	return missed;
}

void
at_mirror_relist(at_mirror_t *mirror)
{
	begin_list(mirror);
	mirror->open = 0;
	mirror->next_call_ms = 0;
}

void
at_mirror_set_following(at_mirror_t *mirror, int following)
{
	if (mirror->following == following)
		return;
	mirror->following = following;
	if (!following && !mirror->open)
		at_mirror_relist(mirror);
}

void
at_mirror_feed(at_mirror_t *mirror, uint64_t now_ms, const at_object_t *object)
{
	mirror->now_ms = now_ms;
	change(mirror, object);
}

void
at_mirror_feed_deleted(
    at_mirror_t *mirror, uint64_t now_ms, const char *name, uint64_t version)
{
	known_t *known;

	mirror->now_ms = now_ms;
	HASH_FIND_STR(mirror->objects, name, known);
	if (known != NULL && known->version <= version)
		forget(mirror, known);
}

uint64_t
at_mirror_digest(const at_mirror_t *mirror)
{
	const known_t *known;
	uint64_t digest = 0;

	/* Sums do not depend on the order. */
	for (known = mirror->objects; known != NULL; known = known->hh.next)
		digest += XXH3_64bits_withSeed(
		    known->name, strlen(known->name), known->version);
	return digest;
}

uint64_t
at_mirror_due_ms(const at_mirror_t *mirror)
{
	int quiet = mirror->open || (mirror->following && !mirror->listing);
	uint64_t due_ms = quiet ? AT_MIRROR_NOT_DUE : mirror->next_call_ms;
	const known_t *known;

	if (mirror->lingering == 0)
		return due_ms;
	for (known = mirror->objects; known != NULL; known = known->hh.next) {
		if (known->gone_at_ms != 0 && known->gone_at_ms < due_ms)
			due_ms = known->gone_at_ms;
	}
	return due_ms;
}

void
at_mirror_note_call_dropped(at_mirror_t *mirror)
{
	mirror->open = 0;
}

int
at_mirror_is_listing(const at_mirror_t *mirror)
{
	return mirror->listing;
}

int
at_mirror_is_synced(const at_mirror_t *mirror)
{
	return mirror->synced;
}

int
at_mirror_is_platform_away(const at_mirror_t *mirror)
{
	return mirror->away;
}

size_t
at_mirror_count(const at_mirror_t *mirror)
{
	return HASH_COUNT(mirror->objects);
}
