/*
 * suspects_internal.h - shapes shared by suspects.c (flights and crashes) and
 * suspects_entries.c (what is known of each fingerprint).
 */
#ifndef ALMONDTHREAD_CORE_SUSPECTS_INTERNAL_H
#define ALMONDTHREAD_CORE_SUSPECTS_INTERNAL_H

#include <uthash.h>

#include "almondthread/suspects.h"

#define VICTIMS_MAX 64u /* of one crash, told by all instances together */

typedef struct entry {
	at_suspect_t suspect; /* its fingerprint is the key */
	uint32_t pending;     /* lost flights not judged yet */
	uint32_t confirmed;   /* of those: by a crash */
	uint64_t lifted_at_ms;
	UT_hash_handle hh;
} entry_t;

struct at_execution {
	at_execution_t *next;
	at_execution_t *prev;
	at_fingerprint_t fingerprint;
	struct place *place;
	int suspect;   /* when it began */
	int alone;     /* it runs alone: nothing else may begin there */
	int doubted;   /* it made its fingerprint's entry pending */
	int confirmed; /* there was a crash */
	uint64_t ended_at_ms;
};

/* A backend server with something in flight or a crash to be judged. */
typedef struct place {
	at_name_t name;
	at_execution_t *open;
	at_execution_t *ended;  /* that a crash may still concern */
	uint64_t crashed_at_ms; /* 0: no crash to be judged */
	at_fingerprint_t victims[VICTIMS_MAX];
	size_t victim_count;
	int told; /* the other instances know our part */
	UT_hash_handle hh;
} place_t;

struct at_suspects {
	at_suspects_events_t events;
	entry_t *entries;
	place_t *places;
};

entry_t *suspects_find(
    const at_suspects_t *s, const at_fingerprint_t *fingerprint);
/* Makes room when the table is full. NULL without memory. */
entry_t *suspects_find_or_add(
    at_suspects_t *s, const at_fingerprint_t *fingerprint);
void suspects_remove(at_suspects_t *s, entry_t *entry);
int suspects_is_none(const at_fingerprint_t *fingerprint);
/* It ran to its end: only a conviction outlasts that. */
void suspects_clear(at_suspects_t *s, const at_fingerprint_t *fingerprint);
/* One more crash, at a place, of which the fingerprint may be the cause. */
void suspects_add_crash(at_suspects_t *s, const at_fingerprint_t *fingerprint,
    const place_t *place, uint64_t now_ms);

#endif
