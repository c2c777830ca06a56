/*
 * evacuation_sync.h - evacuated data centres: the reader of the platform's
 * lists in each data centre reads the objects of kind "evacuations", and the
 * reports of all instances state which are known.
 *
 * The name of an object is that of a data centre, which is evacuated as long as
 * the object exists, whatever it contains.
 */
#ifndef ALMONDTHREAD_ENTRY_EVACUATION_SYNC_H
#define ALMONDTHREAD_ENTRY_EVACUATION_SYNC_H

#include "almondthread/evacuations.h"
#include "entry/peers/gossip.h"
#include "platform/store.h"

typedef struct at_evacuation_sync at_evacuation_sync_t;

/* What it needs, borrowed. */
typedef struct at_evacuation_sync_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_identity_t *identity;
	const at_entry_settings_t *settings;
	at_fleet_t *fleet;
	at_gossip_t *gossip;
	at_objects_t objects;
	/* Non-zero for the instance that reads for its data centre. */
	int (*is_reader)(void *ctx);
	/* A data centre is evacuated, or is no longer. */
	void (*on_changed)(void *ctx);
	void *ctx;
} at_evacuation_sync_deps_t;

/* at_evacuation_sync_new() returns NULL if out of memory. */
at_evacuation_sync_t *at_evacuation_sync_new(
    const at_evacuation_sync_deps_t *deps);
/* at_evacuation_sync_start() does nothing without the setting evacuate-ms. */
void at_evacuation_sync_start(at_evacuation_sync_t *sync);
void at_evacuation_sync_delete(at_evacuation_sync_t *sync);
/*
 * at_evacuation_sync_is_settled() returns zero while an instance that has just
 * started may still learn which data centres are evacuated: until the store or
 * another instance has stated it, the store has failed, or 1 s has passed.
 */
int at_evacuation_sync_is_settled(const at_evacuation_sync_t *sync);
/* at_evacuation_sync_count() returns how many data centres are evacuated. */
size_t at_evacuation_sync_count(const at_evacuation_sync_t *sync);
/* at_evacuation_sync_section() returns its section of the reports. */
at_report_section_t at_evacuation_sync_section(at_evacuation_sync_t *sync);

#endif
