/*
 * join.h - discovery of the other instances: each instance writes one object
 * with its address to the platform's store and reads the others' objects once,
 * at its start. Instances that start later are added by their reports.
 */
#ifndef ALMONDTHREAD_ENTRY_JOIN_H
#define ALMONDTHREAD_ENTRY_JOIN_H

#include <ev.h>

#include "almondthread/roster.h"
#include "entry/base/entry_settings.h"
#include "platform/store.h"

typedef struct at_join at_join_t;

/* What it needs, borrowed. */
typedef struct at_join_deps {
	struct ev_loop *loop;
	const at_entry_settings_t *settings;
	at_roster_t *roster;
	at_store_t store;
	at_objects_t objects;
	/* Takes an object that is not an instance's; zero if it is one. */
	int (*take_other)(void *ctx, const char *name);
	void *ctx;
} at_join_deps_t;

/* at_join_new() returns NULL if out of memory. */
at_join_t *at_join_new(const at_join_deps_t *deps);
/* at_join_start() makes the first call; failed calls are repeated. */
void at_join_start(at_join_t *join);
void at_join_delete(at_join_t *join);
/*
 * at_join_is_complete() returns non-zero if the others' objects have been read.
 */
/*
 * at_join_repeat() writes and reads the objects once more after delay_ms, since
 * the platform may have lost some.
 */
void at_join_repeat(at_join_t *join, uint32_t delay_ms);
int at_join_is_complete(const at_join_t *join);
/* at_join_remove() deletes the object of an instance that was removed. */
void at_join_remove(at_join_t *join, const at_name_t *instance);

#endif
