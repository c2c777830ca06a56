/*
 * join.h - how instances find each other: each writes one object with its
 * address and reads those of the others once. Whoever joins later is heard.
 */
#ifndef ALMONDTHREAD_ENTRY_JOIN_H
#define ALMONDTHREAD_ENTRY_JOIN_H

#include "entry/entry.h"

at_join_t *at_join_new(at_entry_t *entry);
void at_join_start(at_join_t *join);
void at_join_delete(at_join_t *join);
/* at_join_complete() tells whether the others have been read. */
int at_join_is_complete(const at_join_t *join);
/* at_join_remove() deletes the object of an instance that is gone. */
void at_join_remove(at_join_t *join, const at_name_t *instance);

#endif
