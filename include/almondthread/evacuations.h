/*
 * evacuations.h - which data centres are evacuated, and when to ask the store.
 *
 * The set has an entry for each data centre whose evacuation has changed, with
 * the store version at which that took effect. Instances exchange their sets;
 * of two entries the one with the higher version is valid. since is the version
 * up to which a set has all changes: a data centre without an entry was not
 * evacuated at that version, and an older entry of it is ignored. So entries of
 * data centres that are not evacuated any more can be dropped.
 *
 * The reader decides which call to the store is due. It does no I/O. Times are
 * in milliseconds of a clock that does not go back.
 */
#ifndef ALMONDTHREAD_EVACUATIONS_H
#define ALMONDTHREAD_EVACUATIONS_H

#include "almondthread/objects.h"

/* Entries of a set; a deployment has some ten data centres at most. */
#define AT_EVACUATIONS_MAX 64u
/*
 * For which an entry of a data centre that is not evacuated any more is kept,
 * in ms. An instance that is removed from the roster after 60 s without reports
 * has been sent it several hundred times.
 */
#define AT_EVACUATION_REMOVED_KEPT_MS 120000u

typedef struct at_evacuation {
	at_name_t data_centre;
	int is_evacuated;
	uint64_t version;    /* of the store */
	uint64_t changed_ms; /* when this instance learned it */
} at_evacuation_t;

/* Receives an entry that has become evacuated, or is no longer. */
typedef void (*at_evacuation_change_t)(
    void *ctx, const at_evacuation_t *evacuation);

typedef struct at_evacuations {
	at_evacuation_t entries[AT_EVACUATIONS_MAX];
	size_t count;
	uint64_t since; /* version up to which all changes are known; 0: none */
	/* An entry was left out for want of room: since is not passed on. */
	int is_partial;
	at_evacuation_change_t on_change;
	void *ctx;
} at_evacuations_t;

/* at_evacuations_init() makes a set empty; on_change may be NULL. */
void at_evacuations_init(
    at_evacuations_t *evacuations, at_evacuation_change_t on_change, void *ctx);
/*
 * at_evacuations_apply() takes one entry. Returns non-zero if it was newer than
 * what is known.
 */
int at_evacuations_apply(at_evacuations_t *evacuations,
    const at_evacuation_t *entry, uint64_t now_ms);
/*
 * at_evacuations_merge() takes all entries of another instance, or of a list of
 * the store, which have all changes up to since; 0: some may be lacking. What
 * is evacuated here, is older than since and not among them was removed.
 */
void at_evacuations_merge(at_evacuations_t *evacuations,
    const at_evacuation_t *entries, size_t count, uint64_t since,
    uint64_t now_ms);
/*
 * at_evacuations_advance() states that there were no other changes than those
 * applied between the versions from and to.
 */
void at_evacuations_advance(
    at_evacuations_t *evacuations, uint64_t from, uint64_t to);
/* at_evacuations_expire() drops entries that are not needed any more. */
void at_evacuations_expire(at_evacuations_t *evacuations, uint64_t now_ms);
/* at_evacuations_count() returns how many data centres are evacuated. */
size_t at_evacuations_count(const at_evacuations_t *evacuations);

/* The call to the store that is due. */
typedef enum at_evacuation_step {
	AT_EVACUATION_WAIT,
	AT_EVACUATION_LIST,
	AT_EVACUATION_WATCH,
	AT_EVACUATION_CANCEL, /* the open call, which takes too long */
} at_evacuation_step_t;

typedef struct at_evacuation_action {
	at_evacuation_step_t step;
	const char *after; /* LIST: NULL for the first page */
	uint64_t since;    /* WATCH */
	uint32_t wait_ms;  /* WATCH */
} at_evacuation_action_t;

typedef struct at_evacuation_reader {
	at_evacuations_t *evacuations;
	uint32_t bound_ms; /* in which a change must be in force everywhere */
	int is_active;     /* this instance reads for its data centre */
	int has_call;
	int is_watching; /* the open call is a watch */
	uint64_t sent_ms;
	uint32_t wait_ms;      /* of the open watch */
	uint32_t allowance_ms; /* for a response, beyond wait_ms */
	uint32_t failures;     /* calls without a response, one after another */
	uint64_t next_ms;      /* no call before */
	/* The list is read: page by page, into listed. */
	int must_list;
	int is_listing;
	uint64_t listed_ms; /* when a list last began; 0: never */
	uint64_t list_version;
	at_name_t after;
	at_evacuation_t listed[AT_EVACUATIONS_MAX];
	size_t listed_count;
	int is_list_partial;
	/* Of the open or last watch, and what one without changes stated. */
	uint64_t watched_since;
	uint64_t unproved_version;
} at_evacuation_reader_t;

/* at_evacuation_reader_init() borrows the set. */
void at_evacuation_reader_init(at_evacuation_reader_t *reader,
    at_evacuations_t *evacuations, uint32_t bound_ms);
/*
 * at_evacuation_reader_set_active() begins or ends to read. An open call of one
 * that ends is the caller's to cancel.
 */
void at_evacuation_reader_set_active(
    at_evacuation_reader_t *reader, int is_active);
/*
 * at_evacuation_reader_note_list() takes when another instance of the data
 * centre last listed.
 */
void at_evacuation_reader_note_list(
    at_evacuation_reader_t *reader, uint64_t listed_ms);
/*
 * at_evacuation_reader_process() stores what is due now; it is called several
 * times a second and after each response. The call counts as sent.
 */
void at_evacuation_reader_process(at_evacuation_reader_t *reader,
    uint64_t now_ms, at_evacuation_action_t *action);
/*
 * at_evacuation_reader_handle_response() takes the response of the open call,
 * or that it could not be sent.
 */
void at_evacuation_reader_handle_response(at_evacuation_reader_t *reader,
    uint64_t now_ms, const at_objects_page_t *page);

#endif
