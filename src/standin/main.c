/*
 * almond-standin: runs one stand-in for tests and the demo: a platform, an
 * engine, a service, or a relay that closes, delays or blocks connections;
 * store and server are the stand-ins of platform/standin.
 */
#include "platform/standin/standin_platform.h"

#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "io/settings.h"

#define CRASH_RESTART_MS 3000u /* from a server's crash to its next start */

typedef struct options {
	const char *listen;
	const char *name;
	const char *models;
	const char *target;
	const char *control;
	uint32_t memory_mb;
	uint32_t token_us;
	uint32_t load_ms;
	uint32_t heeds_fencing;
} options_t;

static void
on_signal(struct ev_loop *loop, ev_signal *signal, int events)
{
	(void)signal;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

/* Runs until SIGTERM or SIGINT. */
static void
run_loop(struct ev_loop *loop, const char *kind, uint16_t port)
{
	ev_signal term;
	ev_signal interrupt;

	(void)printf("%s listens on port %u\n", kind, port);
	(void)fflush(stdout);
	ev_signal_init(&term, on_signal, SIGTERM);
	ev_signal_init(&interrupt, on_signal, SIGINT);
	ev_signal_start(loop, &term);
	ev_signal_start(loop, &interrupt);
	(void)ev_run(loop, 0);
}

static int
run_platform(
    struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_platform_t *platform = standin_platform_new(loop);
	int failed =
	    standin_platform_init(platform, options->listen, status) != AT_OK;

	if (!failed)
		run_loop(loop, "platform", standin_platform_port(platform));
	standin_platform_delete(platform);
	return failed;
}

static void
add_models(standin_engine_t *engine, const char *models)
{
	char name[AT_NAME_SIZE];

	while (*models != '\0') {
		size_t len = strcspn(models, ",");

		(void)snprintf(name, sizeof(name), "%.*s", (int)len, models);
		if (name[0] != '\0')
			standin_engine_add_model(engine, name);
		models += len;
		if (*models == ',')
			models++;
	}
}

static int
run_engine(struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_engine_t *engine = standin_engine_new(loop);
	int failed;

	standin_engine_set_name(engine, options->name);
	standin_engine_set_memory_mb(engine, options->memory_mb);
	standin_engine_set_fencing(engine, (int)options->heeds_fencing);
	standin_engine_set_token_us(engine, options->token_us);
	standin_engine_set_load_ms(engine, options->load_ms);
	add_models(engine, options->models);
	failed = standin_engine_init(engine, options->listen, status) != AT_OK;
	if (!failed)
		run_loop(loop, "engine", standin_engine_port(engine));
	standin_engine_delete(engine);
	return failed;
}

static int
run_service(struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_service_t *service = standin_service_new(loop);
	int failed =
	    standin_service_init(service, options->listen, status) != AT_OK;

	if (!failed)
		run_loop(loop, "service", standin_service_port(service));
	standin_service_delete(service);
	return failed;
}

static int
run_relay(struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_relay_t *relay = standin_relay_new(loop);
	int failed = standin_relay_init(relay, options->listen, options->target,
			 options->control, status) != AT_OK;

	if (!failed) {
		(void)printf("relay is controlled on port %u\n",
		    standin_relay_control_port(relay));
		run_loop(loop, "relay", standin_relay_port(relay));
	}
	standin_relay_delete(relay);
	return failed;
}

static int
run_store(struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_store_t *store = standin_store_new(loop);
	int failed =
	    standin_store_init(store, options->listen, status) != AT_OK;

	if (!failed)
		run_loop(loop, "store", standin_store_port(store));
	standin_store_delete(store);
	return failed;
}

/* Runs a backend server: an engine if it has models, else a service. */
static int
run_server(struct ev_loop *loop, const options_t *options, at_status_t *status)
{
	standin_server_t *server = standin_server_new(loop, options->name);
	char name[AT_NAME_SIZE];
	const char *models = options->models;
	int failed;

	if (models[0] != '\0')
		standin_server_set_engine(server);
	while (models[0] != '\0') {
		size_t len = strcspn(models, ",");

		(void)snprintf(name, sizeof(name), "%.*s", (int)len, models);
		standin_server_add_model(server, name);
		models += len + (models[len] == ',');
	}
	standin_server_set_restart_ms(server, CRASH_RESTART_MS);
	failed = standin_server_init(server, options->listen, status) != AT_OK;
	if (!failed)
		run_loop(loop, "server", standin_server_port(server));
	standin_server_delete(server);
	return failed;
}

typedef struct command {
	const char *name;
	int (*run)(struct ev_loop *, const options_t *, at_status_t *);
} command_t;

static const command_t commands[] = {{"platform", run_platform},
    {"engine", run_engine}, {"service", run_service}, {"relay", run_relay},
    {"store", run_store}, {"server", run_server}};

int
main(int argc, char **argv)
{
	options_t options = {0};
	const at_setting_t settings[] = {
	    {"listen", NULL, AT_SETTING_ADDRESS, &options.listen, "127.0.0.1:0",
		0, 0, "address to listen on"},
	    {"name", NULL, AT_SETTING_TEXT, &options.name, "standin", 0, 0,
		"name of the engine or server"},
	    {"models", NULL, AT_SETTING_TEXT, &options.models, "", 0, 0,
		"engine, server: models resident at the start, separated by "
		"commas"},
	    {"target", NULL, AT_SETTING_ADDRESS, &options.target, "127.0.0.1:0",
		0, 0, "relay: address to connect to"},
	    {"control", NULL, AT_SETTING_ADDRESS, &options.control,
		"127.0.0.1:0", 0, 0, "relay: address for setting faults"},
	    {"memory-mb", NULL, AT_SETTING_NUMBER, &options.memory_mb, "80000",
		1, UINT32_MAX, "engine: memory for weights in MB"},
	    {"token-us", NULL, AT_SETTING_NUMBER, &options.token_us, "2000", 0,
		10000000, "engine: time per token in microseconds"},
	    {"load-ms", NULL, AT_SETTING_NUMBER, &options.load_ms, "20", 0,
		3600000, "engine: time of one load or unload in milliseconds"},
	    {"heeds-fencing", NULL, AT_SETTING_FLAG, &options.heeds_fencing,
		"0", 0, 1, "engine: refuse orders with an old fencing token"},
	};
	at_status_t status;
	size_t i;
	int result;

	at_status_clear(&status);
	for (i = 0; argc > 1 && i < sizeof(commands) / sizeof(commands[0]);
	     i++) {
		if (strcmp(argv[1], commands[i].name) != 0)
			continue;
		result = at_settings_read(settings,
		    sizeof(settings) / sizeof(settings[0]), argc - 1, argv + 1,
		    &status);
		if (result == 0)
			result = commands[i].run(
			    ev_default_loop(0), &options, &status);
		else if (result < 0)
			result = AT_EXIT_USAGE;
		else
			result = 0;
		if (status.code != AT_OK)
			(void)fprintf(
			    stderr, "almond-standin: %s\n", status.message);
		return result;
	}
	(void)fprintf(stderr,
	    "usage: almond-standin "
	    "platform|engine|service|relay|store|server [settings]\n");
	return AT_EXIT_USAGE;
}
