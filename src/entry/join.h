/*
 * join.h - discovery of the other instances: each instance writes one object
 * with its address to the platform's store and reads the others' objects once,
 * at its start. Instances that start later are added by their reports.
 */
#ifndef ALMONDTHREAD_ENTRY_JOIN_H
#define ALMONDTHREAD_ENTRY_JOIN_H

#include "entry/entry.h"

/* at_join_new() returns NULL if out of memory. */
at_join_t *at_join_new(at_entry_t *entry);
/* at_join_start() makes the first call; failed calls are repeated. */
void at_join_start(at_join_t *join);
void at_join_delete(at_join_t *join);
/*
 * at_join_is_complete() returns non-zero if the others' objects have been read.
 */
int at_join_is_complete(const at_join_t *join);
/* at_join_remove() deletes the object of an instance that was removed. */
void at_join_remove(at_join_t *join, const at_name_t *instance);

#endif
