/*
 * mirror.h - copy of all objects of one kind, maintained by list and watch.
 *
 * This state machine does no input or output: at_mirror_process() returns
 * the call to make, at_mirror_handle_response() takes its response, and the
 * sink is called for each object that is new, changed or deleted. Versions
 * of an object never decrease.
 *
 * The platform numbers all changes. A mirror knows up to which of them it has
 * all, from complete lists, from watches that have brought changes, and from
 * other instances. A watch without changes shows less: one that has lost its
 * history may be silent for a moment, before it is refused. What it states
 * counts once a later watch was not refused.
 *
 * A deleted object is remembered for AT_MIRROR_DELETED_MS, so that an older
 * list does not bring it back and other instances can be told.
 *
 * Objects that disappear around an outage of the platform may reappear
 * shortly after it. They are kept for delay_ms after the outage and reported
 * as deleted if they are still missing then. An outage that only this instance
 * has had is no reason to keep them: see at_mirror_delete_missing().
 */
#ifndef ALMONDTHREAD_MIRROR_H
#define ALMONDTHREAD_MIRROR_H

#include "almondthread/objects.h"

#define AT_MIRROR_NOT_DUE UINT64_MAX /* nothing is due */
#define AT_MIRROR_DELETED_MS 60000u  /* for which a deletion is remembered */

typedef enum at_mirror_step {
	AT_MIRROR_WAIT,
	AT_MIRROR_LIST,
	AT_MIRROR_WATCH,
	AT_MIRROR_STEP_COUNT
} at_mirror_step_t;

typedef struct at_mirror_action {
	at_mirror_step_t step;
	const char *after; /* LIST: NULL for the first page */
	uint64_t since;    /* WATCH */
	uint32_t wait_ms;  /* WATCH */
} at_mirror_action_t;

/* Receives changes. The object is valid only during the call. */
typedef struct at_mirror_sink {
	void (*on_change)(void *ctx, const at_object_t *object);
	void (*on_deleted)(void *ctx, const char *name, uint64_t version);
	void *ctx;
} at_mirror_sink_t;

typedef struct at_mirror at_mirror_t;

/* at_mirror_new() returns an empty mirror, or NULL if out of memory. */
at_mirror_t *at_mirror_new(void);
void at_mirror_delete(at_mirror_t *mirror);
void at_mirror_set_sink(at_mirror_t *mirror, const at_mirror_sink_t *sink);
/* How long missing objects are kept after an outage. */
void at_mirror_set_deletion_delay(at_mirror_t *mirror, uint32_t delay_ms);

/*
 * at_mirror_set_batch_delay() makes the mirror wait after changes before it
 * watches again, so that changes in quick succession arrive together.
 */
void at_mirror_set_batch_delay(at_mirror_t *mirror, uint32_t delay_ms);
/* at_mirror_keep_texts() makes it keep the objects' texts, to hand them on. */
void at_mirror_keep_texts(at_mirror_t *mirror);
/*
 * at_mirror_set_following() sets whether another instance watches and sends
 * the changes. While following, the mirror makes no calls after its first
 * list; afterwards it watches from the version up to which it has all changes.
 */
void at_mirror_set_following(at_mirror_t *mirror, int following);
/*
 * Both apply a change sent by another instance. One of an object that is not
 * after the version up to which all is known is ignored: if the mirror does not
 * have it, it has been superseded.
 */
void at_mirror_feed(
    at_mirror_t *mirror, uint64_t now_ms, const at_object_t *object);
void at_mirror_feed_deleted(
    at_mirror_t *mirror, uint64_t now_ms, const char *name, uint64_t version);
/*
 * at_mirror_feed_all() applies all objects that there were at version: what the
 * mirror has besides, and has not learned later, is deleted.
 */
void at_mirror_feed_all(at_mirror_t *mirror, uint64_t now_ms,
    const at_object_t *objects, size_t count, uint64_t version);
/*
 * at_mirror_since() returns the version up to which the mirror has all changes,
 * or 0 while it lists; at_mirror_base() then returns the one before the list.
 * at_mirror_advance() states that there are no others
 * than those fed between the versions from and to. Returns non-zero if the
 * mirror then has all changes up to to.
 */
uint64_t at_mirror_since(const at_mirror_t *mirror);
uint64_t at_mirror_base(const at_mirror_t *mirror);
int at_mirror_advance(at_mirror_t *mirror, uint64_t from, uint64_t to);
/*
 * at_mirror_changed() returns a version after which the mirror knows of no
 * change. at_mirror_newest() returns the highest version that the platform has
 * stated for a change, which is lower where an object was missing from a list.
 */
uint64_t at_mirror_changed(const at_mirror_t *mirror);
uint64_t at_mirror_newest(const at_mirror_t *mirror);
/*
 * at_mirror_each_change() visits the objects that were changed or deleted after
 * a version. Returns 0, or -1 if it does not know all that were deleted, as it
 * has a whole list from after that version, or has forgotten some;
 * at_mirror_knows_since() returns zero then. at_mirror_each() visits those that
 * exist. Both give texts if they are kept.
 */
int at_mirror_knows_since(const at_mirror_t *mirror, uint64_t after);
typedef void (*at_mirror_visit_t)(void *ctx, const at_object_t *object);
int at_mirror_each_change(const at_mirror_t *mirror, uint64_t after,
    at_mirror_visit_t visit, void *ctx);
void at_mirror_each(
    const at_mirror_t *mirror, at_mirror_visit_t visit, void *ctx);
/* at_mirror_digest() returns a hash of all objects and their versions. */
uint64_t at_mirror_digest(const at_mirror_t *mirror);
/*
 * at_mirror_covers() returns non-zero if the mirror has all changes up to a
 * version; a mirror that watches learns this from the platform's responses.
 */
int at_mirror_covers(const at_mirror_t *mirror, uint64_t version);

/* at_mirror_process() stores the call to make now, or AT_MIRROR_WAIT. */
void at_mirror_process(
    at_mirror_t *mirror, uint64_t now_ms, at_mirror_action_t *action);
/* at_mirror_handle_response() takes the response of that call. */
void at_mirror_handle_response(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page);
/*
 * at_mirror_note_response() states that the platform has responded to another
 * call of the owner. A mirror that follows makes none itself that would show
 * it.
 */
void at_mirror_note_response(at_mirror_t *mirror, uint64_t now_ms);
/*
 * at_mirror_check_list() compares the mirror with a list that was read
 * separately, to find out whether the watch still delivers changes. Returns
 * non-zero if it does not: the owner then drops the open call and calls
 * at_mirror_relist().
 */
int at_mirror_check_list(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page);
/*
 * at_mirror_check_watch() takes the response to a watch that was made
 * separately from the version since, to find out whether the open one still
 * delivers changes. Returns non-zero if it does not: the changes are applied,
 * and the owner drops the open call.
 */
int at_mirror_check_watch(at_mirror_t *mirror, uint64_t now_ms, uint64_t since,
    const at_objects_page_t *page);
/*
 * at_mirror_delete_missing() reports the objects that are kept after an outage
 * as deleted; their number is at_mirror_missing_count(). The owner calls it
 * when it learns that others had the platform throughout.
 */
void at_mirror_delete_missing(at_mirror_t *mirror, uint64_t now_ms);
size_t at_mirror_missing_count(const at_mirror_t *mirror);
/* at_mirror_relist() discards the open call; a list is due at once. */
void at_mirror_relist(at_mirror_t *mirror);
/* at_mirror_due_ms() returns when at_mirror_process() is due again. */
uint64_t at_mirror_due_ms(const at_mirror_t *mirror);

/* at_mirror_note_call_dropped() records that the owner dropped the call. */
void at_mirror_note_call_dropped(at_mirror_t *mirror);
/* at_mirror_is_listing() returns non-zero if a list is due or in progress. */
int at_mirror_is_listing(const at_mirror_t *mirror);
/*
 * at_mirror_is_synced() returns non-zero if a complete list was ever applied.
 */
int at_mirror_is_synced(const at_mirror_t *mirror);
/* at_mirror_is_platform_away() returns non-zero if the last call failed. */
int at_mirror_is_platform_away(const at_mirror_t *mirror);
/*
 * at_mirror_count() returns the number of objects, at_mirror_size() that with
 * those whose deletion is remembered.
 */
size_t at_mirror_count(const at_mirror_t *mirror);
size_t at_mirror_size(const at_mirror_t *mirror);

#endif
