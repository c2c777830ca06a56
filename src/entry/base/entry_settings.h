/*
 * entry_settings.h - the settings of almond-entry.
 */
#ifndef ALMONDTHREAD_ENTRY_ENTRY_SETTINGS_H
#define ALMONDTHREAD_ENTRY_ENTRY_SETTINGS_H

#include "almondthread/status.h"
#include "io/settings.h"

/* Settings; the texts must outlive the instance. */
typedef struct at_entry_settings {
	const char *name;
	const char *data_centre;
	const char *listen;  /* own address for callers */
	const char *ready;   /* own address for readiness checks */
	const char *metrics; /* own address for counters, or "" */
	const char *peers;   /* own address for reports of other instances */
	const char *store;   /* address of the platform's store */
	const char *seeds;   /* addresses of some other instances, or "" */
	const char *secret;
	const char *log_level;
	double processor_share; /* part of each core that may be used */
	uint32_t cores;
	double link_mbps;
	uint32_t memory_mb;   /* of this machine, in MiB; 0: it is found out */
	uint32_t descriptors; /* files and sockets that may be open */
	uint32_t log_lines_per_s;
	uint32_t stop_grace_s; /* time from SIGTERM to SIGKILL */
	uint32_t lease_ms;     /* term of the lease for orders */
	/* Within these times a leaving of a server, and a configuration, must
	 * be in force. */
	uint32_t drain_ms;
	uint32_t config_apply_ms;
	double retry_ratio;   /* part of requests that may be retried */
	uint32_t retry_slack; /* retries in addition, over all instances */
	/* Within this time an evacuation must be in force; 0: none is read. */
	uint32_t evacuate_ms;
	/* "DATA-CENTRE:REGION,..."; NULL or "": regions are not used. */
	const char *regions;
	/* In a second all instances send a cold engine at most its rate x
	 * cold_overage + cold_tolerance requests. */
	double cold_overage;
	double cold_tolerance;
} at_entry_settings_t;

/*
 * at_entry_settings_read() reads flags, environment variables and the settings
 * file at path. Numbers may have any decimal form. A fraction of a unit is
 * rounded down, and up for the term of the lease, so that neither a limit is
 * exceeded nor a lease taken over early. Returns 0; 1 if --help was printed; or
 * -1 with an error in status. The texts of the settings point into *file, which
 * the caller deletes.
 */
int at_entry_settings_read(at_entry_settings_t *settings, int argc, char **argv,
    const char *path, at_settings_file_t **file, at_status_t *status);

/*
 * at_entry_settings_backlog() returns how many new connections may wait: those
 * that the processor can read before their callers give up. Of more, each would
 * be read too late. fitting is how many the memory has room for.
 */
int at_entry_settings_backlog(
    const at_entry_settings_t *settings, size_t fitting);

#endif
