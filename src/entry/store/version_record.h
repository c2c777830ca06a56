/*
 * version_record.h - the software versions of backend servers that were listed
 * recently, recorded in the platform's store. After a restart of all instances
 * no origin of a stream is known; a stream is only taken up at the one version
 * of its service if no other one can have begun it.
 *
 * The holder of the lease for orders writes an object for each version, of the
 * kind and next to the objects of the instances, which each instance reads at
 * its start. It deletes the object when the version has not been listed for the
 * lifetime of a stream.
 */
#ifndef ALMONDTHREAD_ENTRY_VERSION_RECORD_H
#define ALMONDTHREAD_ENTRY_VERSION_RECORD_H

#include "entry/peers/gossip.h"
#include "platform/store.h"

typedef struct at_version_record at_version_record_t;

/* What it needs, borrowed. */
typedef struct at_version_record_deps {
	at_stream_origins_t *origins;
	at_gossip_t *gossip;
	at_store_t store;
	/* Non-zero if it is this instance's turn to write. */
	int (*may_write)(void *ctx);
	void *ctx;
} at_version_record_deps_t;

/* Kind of the objects of instances and of recorded versions. */
#define AT_INSTANCES_KIND "entry-instances"

/* at_version_record_new() returns NULL if out of memory. */
at_version_record_t *at_version_record_new(
    const at_version_record_deps_t *deps);
void at_version_record_delete(at_version_record_t *record);
/*
 * at_version_record_apply() takes an object that was read at the start; returns
 * zero if it does not record a version.
 */
int at_version_record_apply(at_version_record_t *record, const char *name);
/* at_version_record_section() has no contents, but follows the rounds. */
at_report_section_t at_version_record_section(at_version_record_t *record);

#endif
