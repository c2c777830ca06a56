/*
 * crash_blocks.h - blocked parts in the platform's store, so that they outlast
 * the instances and an operator sees and lifts them.
 *
 * The holder of the lease writes an object "entry-blocked-parts/PART" for each
 * block. An operator lifts a block by deleting its object, or by setting its
 * "state" to "lifted". Instances that read the platform's lists read these
 * objects once when they start; the others learn the blocks by reports.
 */
#ifndef ALMONDTHREAD_ENTRY_CRASH_BLOCKS_H
#define ALMONDTHREAD_ENTRY_CRASH_BLOCKS_H

#include "entry/entry.h"

/* at_crash_blocks_new() returns NULL if out of memory. */
at_crash_blocks_t *at_crash_blocks_new(at_entry_t *entry);
void at_crash_blocks_start(at_crash_blocks_t *blocks);
void at_crash_blocks_delete(at_crash_blocks_t *blocks);

#endif
