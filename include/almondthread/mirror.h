/*
 * mirror.h - a copy of all objects of one kind, kept by list and watch.
 *
 * A machine without input or output: at_mirror_process() says which call to
 * make, at_mirror_handle_response() takes its answer, and the sink hears of
 * each object that is new, changed or gone. Versions of an object never go
 * back.
 *
 * Objects that vanish around an outage of the platform may be back shortly
 * after its return. They are kept for linger_ms after the return and are
 * gone if they are missing still.
 */
#ifndef ALMONDTHREAD_MIRROR_H
#define ALMONDTHREAD_MIRROR_H

#include "almondthread/objects.h"

#define AT_MIRROR_NOT_DUE UINT64_MAX /* nothing is due */

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

/* Hears of changes. The object is lent for the call. */
typedef struct at_mirror_sink {
	void (*on_change)(void *ctx, const at_object_t *object);
	void (*on_deleted)(void *ctx, const char *name, uint64_t version);
	void *ctx;
} at_mirror_sink_t;

typedef struct at_mirror at_mirror_t;

at_mirror_t *at_mirror_new(void);
void at_mirror_delete(at_mirror_t *mirror);
void at_mirror_set_sink(at_mirror_t *mirror, const at_mirror_sink_t *sink);
/* How long vanished objects are kept after an outage, in ms. */
void at_mirror_set_deletion_delay(at_mirror_t *mirror, uint32_t linger_ms);

/*
 * at_mirror_set_batch_delay() has the mirror wait so long after changes before
 * it watches again, so that changes that come one after the other come
 * together.
 */
void at_mirror_set_batch_delay(at_mirror_t *mirror, uint32_t gather_ms);
/*
 * at_mirror_set_following() says that another instance watches and tells what
 * changes: after its first list the mirror makes no calls of its own. When
 * that ends it lists anew.
 */
void at_mirror_set_following(at_mirror_t *mirror, int following);
/* Both take what the other instance tells; what is older is ignored. */
void at_mirror_feed(
    at_mirror_t *mirror, uint64_t now_ms, const at_object_t *object);
void at_mirror_feed_deleted(
    at_mirror_t *mirror, uint64_t now_ms, const char *name, uint64_t version);
/* at_mirror_digest() is the same for the same objects and versions. */
uint64_t at_mirror_digest(const at_mirror_t *mirror);

/* at_mirror_process() returns the call to make now, if any. */
void at_mirror_process(
    at_mirror_t *mirror, uint64_t now_ms, at_mirror_action_t *action);
/* at_mirror_handle_response() takes the answer of that call. */
void at_mirror_handle_response(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page);
/*
 * at_mirror_check_list() takes a list that was read besides, to find out
 * whether the watch still hears of changes. Returns non-zero when it did not:
 * the owner then drops the open call and says so with at_mirror_relist().
 */
int at_mirror_check_list(
    at_mirror_t *mirror, uint64_t now_ms, const at_objects_page_t *page);
/* at_mirror_relist() forgets the open call; a list is due at once. */
void at_mirror_relist(at_mirror_t *mirror);
/* at_mirror_due_ms() returns when at_mirror_process() is due again. */
uint64_t at_mirror_due_ms(const at_mirror_t *mirror);

/* at_mirror_note_call_dropped() says that the owner dropped the open call. */
void at_mirror_note_call_dropped(at_mirror_t *mirror);
int at_mirror_is_listing(const at_mirror_t *mirror);
/* at_mirror_is_synced() tells whether a whole list was ever taken over. */
int at_mirror_is_synced(const at_mirror_t *mirror);
/* at_mirror_is_platform_away() tells whether the last call failed. */
int at_mirror_is_platform_away(const at_mirror_t *mirror);
/* at_mirror_count() returns how many objects are known. */
size_t at_mirror_count(const at_mirror_t *mirror);

#endif
