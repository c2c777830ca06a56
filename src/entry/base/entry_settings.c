#include "entry/base/entry_settings.h"

#include <sys/socket.h>

#include "almondthread/process_limits.h"

/* Connections that a core can read in the second that callers wait. */
#define CONNECTIONS_PER_CORE 1000
#define BACKLOG_MIN 64
#define MEMORY_MIN_MB (AT_PROCESS_MEMORY_MIN_BYTES >> 20)

int
at_entry_settings_read(at_entry_settings_t *s, int argc, char **argv,
    const char *path, at_settings_file_t **file, at_status_t *status)
{
	const at_setting_t table[] = {
	    {"name", "ALMONDTHREAD_NAME", AT_SETTING_TEXT, &s->name, NULL, 0, 0,
		"name of this instance"},
	    {"data-centre", "ALMONDTHREAD_DATA_CENTRE", AT_SETTING_TEXT,
		&s->data_centre, NULL, 0, 0, "data centre of this instance"},
	    {"listen", "ALMONDTHREAD_LISTEN", AT_SETTING_ADDRESS, &s->listen,
		NULL, 0, 0, "address for callers"},
	    {"ready", "ALMONDTHREAD_READY", AT_SETTING_ADDRESS, &s->ready, NULL,
		0, 0, "address for the balancer's readiness checks"},
	    {"metrics", "ALMONDTHREAD_METRICS", AT_SETTING_ADDRESS, &s->metrics,
		"", 0, 0, "address for counters; empty: that of --ready"},
	    {"peers", "ALMONDTHREAD_PEERS", AT_SETTING_ADDRESS, &s->peers, NULL,
		0, 0, "address for reports and attempts of other instances"},
	    {"store", "ALMONDTHREAD_STORE", AT_SETTING_ADDRESS, &s->store, NULL,
		0, 0, "address of the platform's store"},
	    {"seeds", "ALMONDTHREAD_SEEDS", AT_SETTING_TEXT, &s->seeds, "", 0,
		0,
		"IP:PORT,... of other instances, which are asked if the "
		"store does not respond; their ports are that of --peers"},
	    {"secret", "ALMONDTHREAD_SECRET", AT_SETTING_TEXT, &s->secret, NULL,
		0, 0, "the fleet's secret, 64 hexadecimal digits"},
	    {"log-level", "ALMONDTHREAD_LOG_LEVEL", AT_SETTING_TEXT,
		&s->log_level, "info", 0, 0, "error, warn, info or debug"},
	    {"descriptors", "ALMONDTHREAD_DESCRIPTORS", AT_SETTING_NUMBER,
		&s->descriptors, "1024", AT_PROCESS_DESCRIPTORS_MIN, 1000000,
		"files and sockets that the process may have open"},
	    {"memory-mb", "ALMONDTHREAD_MEMORY_MB", AT_SETTING_NUMBER,
		&s->memory_mb, "0", 0, 16777216,
		"memory of this machine; what does not fit is refused; 0: what "
		"the kernel grants"},
	    {"log-lines", "ALMONDTHREAD_LOG_LINES", AT_SETTING_NUMBER,
		&s->log_lines_per_s, "200", 1, 1000000,
		"most log lines a second; further ones are only counted"},
	    {"processor-share", "ALMONDTHREAD_PROCESSOR_SHARE",
		AT_SETTING_DECIMAL, &s->processor_share, "1", 0, 0,
		"part of each core that the process may use"},
	    {"cores", "ALMONDTHREAD_CORES", AT_SETTING_NUMBER, &s->cores, "1",
		1, 4096, "cores of this machine"},
	    {"link-mbps", "ALMONDTHREAD_LINK_MBPS", AT_SETTING_DECIMAL,
		&s->link_mbps, "1000", 0, 0,
		"rate of this machine's link, in Mbit/s"},
	    {"stop-grace-s", "ALMONDTHREAD_STOP_GRACE_S", AT_SETTING_NUMBER,
		&s->stop_grace_s, "8", 3, 3600,
		"time from SIGTERM to the end of the process"},
	    {"lease-ms", "ALMONDTHREAD_LEASE_MS", AT_SETTING_NUMBER_UP,
		&s->lease_ms, "3000", 500, 600000,
		"term of the lease for orders"},
	    {"drain-ms", "ALMONDTHREAD_DRAIN_MS", AT_SETTING_NUMBER,
		&s->drain_ms, "2000", 1000, 600000,
		"time after which a leaving server gets no more requests"},
	    {"config-apply-ms", "ALMONDTHREAD_CONFIG_APPLY_MS",
		AT_SETTING_NUMBER, &s->config_apply_ms, "2000", 1000, 600000,
		"time after which a configuration is in force"},
	    {"retry-ratio", "ALMONDTHREAD_RETRY_RATIO", AT_SETTING_DECIMAL,
		&s->retry_ratio, "0.2", 0, 0,
		"retries per request that all instances may send"},
	    {"retry-slack", "ALMONDTHREAD_RETRY_SLACK", AT_SETTING_NUMBER,
		&s->retry_slack, "20", 0, 1000000,
		"retries that all instances may send in addition"},
	    {"evacuate-ms", "ALMONDTHREAD_EVACUATE_MS", AT_SETTING_NUMBER,
		&s->evacuate_ms, "0", 0, 600000,
		"time after which the evacuation of a data centre is in force; "
		"0: evacuations are not read"},
	    {"regions", "ALMONDTHREAD_REGIONS", AT_SETTING_TEXT, &s->regions,
		"", 0, 0, "DATA-CENTRE:REGION,... of all data centres"},
	    {"cold-overage", "ALMONDTHREAD_COLD_OVERAGE", AT_SETTING_DECIMAL,
		&s->cold_overage, "1e9", 0, 0,
		"part of the rate of a cold engine that all instances may "
		"send in a second; empty: cold engines are not limited"},
	    {"cold-tolerance", "ALMONDTHREAD_COLD_TOLERANCE",
		AT_SETTING_DECIMAL, &s->cold_tolerance, "1e9", 0, 0,
		"requests that they may send in addition; empty: cold engines "
		"are not limited"},
	};
	size_t count = sizeof(table) / sizeof(table[0]);
	int result;

	*file = at_settings_file_read(path, table, count, status);
	if (*file == NULL)
		return -1;
	result = at_settings_read_with(table, count, argc, argv, *file, status);
	if (result == 0 && s->memory_mb != 0 && s->memory_mb < MEMORY_MIN_MB) {
		(void)at_status_set(status, AT_INVALID,
		    "--memory-mb: expected 0 or at least %u, not %u",
		    MEMORY_MIN_MB, s->memory_mb);
		return -1;
	}
	return result;
}

int
at_entry_settings_backlog(const at_entry_settings_t *s, size_t fitting)
{
	double connections =
	    s->processor_share * s->cores * CONNECTIONS_PER_CORE;

	if (connections > (double)fitting)
		connections = (double)fitting;
	if (connections < BACKLOG_MIN)
		return BACKLOG_MIN;
	return connections < SOMAXCONN ? (int)connections : SOMAXCONN;
}
