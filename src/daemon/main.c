/*
 * almondthreadd - runs one entry instance.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>
#include <sodium.h>

#include "almondthread/log.h"
#include "daemon/node/node.h"
#include "io/resident.h"
#include "io/settings.h"

static void
on_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)loop;
	(void)events;
	at_node_stop(signal->data);
}

static int
set_log_level(const char *name)
{
	int level;

	for (level = 0; level < AT_LOG_LEVEL_COUNT; level++) {
		if (strcmp(name, at_log_level_names[level]) == 0) {
			at_log_set_level((at_log_level_t)level);
			return 0;
		}
	}
	return -1;
}

static int
run(const at_node_settings_t *settings)
{
	struct ev_loop *loop = ev_default_loop(0);
	at_node_t *node = at_node_new(loop, settings);
	at_status_t status;
	ev_signal term;
	ev_signal interrupt;

	at_status_clear(&status);
	if (node == NULL || at_node_init(node, &status) != AT_OK) {
		(void)fprintf(stderr, "almondthreadd: %s\n", status.message);
		at_node_delete(node);
		return status.code == AT_INVALID ? AT_EXIT_USAGE : 1;
	}
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	term.data = node;
	interrupt.data = node;
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &interrupt);
	(void)ev_run(loop, 0);
	at_node_delete(node);
	at_log(AT_LOG_INFO, "node", NULL, "Stopped.");
	return 0;
}

int
main(int argc, char **argv)
{
	at_node_settings_t node_settings = {0};
	const at_setting_t settings[] = {
	    {"name", "ALMONDTHREAD_NAME", AT_SETTING_TEXT, &node_settings.name,
		NULL, 0, 0, "name of this instance"},
	    {"data-centre", "ALMONDTHREAD_DATA_CENTRE", AT_SETTING_TEXT,
		&node_settings.data_centre, NULL, 0, 0, "its data centre"},
	    {"listen", "ALMONDTHREAD_LISTEN", AT_SETTING_ADDRESS,
		&node_settings.listen, "127.0.0.1:8080", 0, 0,
		"address for callers"},
	    {"operators", "ALMONDTHREAD_OPERATORS", AT_SETTING_ADDRESS,
		&node_settings.operators, "127.0.0.1:8081", 0, 0,
		"address for operators"},
	    {"platform", "ALMONDTHREAD_PLATFORM", AT_SETTING_ADDRESS,
		&node_settings.platform, NULL, 0, 0, "address of the platform"},
	    {"secret", "ALMONDTHREAD_SECRET", AT_SETTING_TEXT,
		&node_settings.secret, NULL, 0, 0,
		"the fleet's secret, 64 hexadecimal digits"},
	    {"peers", "ALMONDTHREAD_PEERS", AT_SETTING_ADDRESS,
		&node_settings.peers, "", 0, 0,
		"address for peers; empty: no peers"},
	    {"seeds", "ALMONDTHREAD_SEEDS", AT_SETTING_TEXT,
		&node_settings.seeds, "", 0, 0,
		"peers to connect to while the platform is away, IP:PORT "
		"separated by commas"},
	    {"log-level", "ALMONDTHREAD_LOG_LEVEL", AT_SETTING_TEXT,
		&node_settings.log_level, "info", 0, 0,
		"error, warn, info or debug"},
	    {"descriptors", "ALMONDTHREAD_DESCRIPTORS", AT_SETTING_NUMBER,
		&node_settings.descriptors, "32768", AT_PROCESS_DESCRIPTORS_MIN,
		1000000,
		"files and sockets that the process may have open, if the "
		"kernel grants as many"},
	    {"memory-mb", "ALMONDTHREAD_MEMORY_MB", AT_SETTING_NUMBER,
		&node_settings.memory_mb, "0", 0, 16777216,
		"memory of this machine; what does not fit is refused; 0: what "
		"the kernel grants"},
	    {"drain-ms", "ALMONDTHREAD_DRAIN_MS", AT_SETTING_NUMBER,
		&node_settings.drain_ms, "3000", 0, 600000,
		"time for the load balancer to notice a stop"},
	    {"stop-max-ms", "ALMONDTHREAD_STOP_MAX_MS", AT_SETTING_NUMBER,
		&node_settings.stop_max_ms, "600000", 0, 3600000,
		"longest wait for open requests at a stop"},
	};
	at_status_t status;
	int result;

	at_status_clear(&status);
	result = at_settings_read(settings,
	    sizeof(settings) / sizeof(settings[0]), argc, argv, &status);
	if (result > 0)
		return 0;
	if (result == 0 && set_log_level(node_settings.log_level) != 0) {
		(void)at_status_set(&status, AT_INVALID,
		    "--log-level: expected error, warn, info or debug");
		result = -1;
	}
	if (result == 0 && node_settings.memory_mb != 0 &&
	    (uint64_t)node_settings.memory_mb << 20 <
		AT_PROCESS_MEMORY_MIN_BYTES) {
		(void)at_status_set(&status, AT_INVALID,
		    "--memory-mb: expected 0 or at least %u, not %u",
		    AT_PROCESS_MEMORY_MIN_BYTES >> 20, node_settings.memory_mb);
		result = -1;
	}
	if (result < 0) {
		(void)fprintf(stderr, "almondthreadd: %s\n", status.message);
		return AT_EXIT_USAGE;
	}
	at_log_set_fatal_signals();
	at_resident_set_returning();
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_ALL) != 0)
		return 1;
	return run(&node_settings);
}
