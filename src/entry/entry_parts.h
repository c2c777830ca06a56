/*
 * entry_parts.h - makes the parts of an instance, connects them and frees them.
 * No part knows the instance: each borrows what it uses, and what it has others
 * do are callbacks (docs/design/instance.md).
 */
#ifndef ALMONDTHREAD_ENTRY_ENTRY_PARTS_H
#define ALMONDTHREAD_ENTRY_ENTRY_PARTS_H

#include "entry/entry.h"

/*
 * entry_parts_new() makes the parts of an instance whose settings and identity
 * are set. Returns 0, or -1 if out of memory. entry_parts_delete() frees those
 * that were made.
 */
int entry_parts_new(at_entry_t *entry);
void entry_parts_delete(at_entry_t *entry);

#endif
