/*
 * suspects_internal.h - types and functions shared by suspects.c (executions
 * and crashes) and suspects_entries.c (the state of each fingerprint).
 */
#ifndef ALMONDTHREAD_CORE_SUSPECTS_INTERNAL_H
#define ALMONDTHREAD_CORE_SUSPECTS_INTERNAL_H

#include <uthash.h>

#include "almondthread/suspects.h"

#define VICTIMS_MAX 64u /* victims of one crash, of all instances together */

typedef struct entry {
	at_suspect_t suspect; /* its fingerprint is the key */
	uint32_t pending;     /* lost executions without a decision yet */
	uint32_t confirmed;   /* pending executions that a crash has ended */
	uint64_t lifted_at_ms;
	UT_hash_handle hh;
} entry_t;

struct at_execution {
	at_execution_t *next;
	at_execution_t *prev;
	at_fingerprint_t fingerprint;
	struct server *server;
	int is_suspect;   /* its fingerprint was suspect when it began */
	int is_isolated;  /* nothing else may begin on its backend server */
	int is_lost;      /* counted in pending of its fingerprint's entry */
	int is_confirmed; /* counted in confirmed of that entry */
	uint64_t ended_at_ms;
};

/* A backend server with executions or a crash without a decision. */
typedef struct server {
	at_name_t name;
	at_execution_t *running;
	at_execution_t *ended;  /* executions that a crash may have ended */
	uint64_t crashed_at_ms; /* 0: no crash without a decision */
	at_fingerprint_t victims[VICTIMS_MAX];
	size_t victim_count;
	int is_reported; /* on_crash() was called for the crash */
	UT_hash_handle hh;
} server_t;

struct at_suspects {
	at_suspects_events_t events;
	entry_t *entries;
	server_t *servers;
};

/* Returns the entry of a fingerprint, or NULL. */
entry_t *suspects_find(
    const at_suspects_t *suspects, const at_fingerprint_t *fingerprint);
/*
 * Returns the entry of a fingerprint, which is added if there is none; the
 * entry that expires first is evicted when the table is full. Returns NULL if
 * out of memory.
 */
entry_t *suspects_find_or_add(
    at_suspects_t *suspects, const at_fingerprint_t *fingerprint);
void suspects_remove(at_suspects_t *suspects, entry_t *entry);
/*
 * Returns non-zero if the fingerprint is all zeros and stands for no request.
 */
int suspects_is_none(const at_fingerprint_t *fingerprint);
/* Removes an entry after a complete execution, unless blocked or lifted. */
void suspects_clear(
    at_suspects_t *suspects, const at_fingerprint_t *fingerprint);
/* Adds a crash of a backend server that the fingerprint may have caused. */
void suspects_add_crash(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const server_t *server,
    uint64_t now_ms);

#endif
