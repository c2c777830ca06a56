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

#include "entry/servers/server_crashes.h"
#include "platform/store.h"

typedef struct at_crash_blocks at_crash_blocks_t;

/* What they need, borrowed. */
typedef struct at_crash_blocks_deps {
	struct ev_loop *loop;
	const at_entry_settings_t *settings;
	at_server_crashes_t *crashes;
	at_store_t store;
	at_objects_t objects;
	/* Non-zero for the holder of the lease, which writes. */
	int (*may_write)(void *ctx);
	/* Non-zero for one that reads the platform's lists. */
	int (*may_read)(void *ctx);
	/* Non-zero if the last calls to the platform failed. */
	int (*is_platform_away)(void *ctx);
	void *ctx;
} at_crash_blocks_deps_t;

/* at_crash_blocks_new() returns NULL if out of memory. */
at_crash_blocks_t *at_crash_blocks_new(const at_crash_blocks_deps_t *deps);
void at_crash_blocks_start(at_crash_blocks_t *blocks);
/*
 * at_crash_blocks_forget_stored(): the platform may have lost objects, which
 * does not lift their blocks; the holder writes them again.
 */
void at_crash_blocks_forget_stored(at_crash_blocks_t *blocks);
void at_crash_blocks_delete(at_crash_blocks_t *blocks);

#endif
