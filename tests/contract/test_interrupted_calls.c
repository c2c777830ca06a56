/*
 * Calls that are at work while something else changes: the configuration, the
 * list of backend servers, the settings, or the process stops or stalls. Each
 * has a complete response all the same. The backend servers are scripted by the
 * tests, on an event loop of their own.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENGINES 2
#define STEP_MS 10u   /* for which the loops run in turn */
#define GAP_MS 100u   /* between two events */
#define EVENT_LEN 18u /* bytes of an event */

/* An engine with the model m0; its requests are responded to by the test. */
typedef struct engine {
	at_httpd_t *httpd;
	at_httpd_request_t *request; /* open, or NULL */
	uint32_t run_count;
	char resume_after[16];
	char address[AT_ADDR_SIZE];
} engine_t;

typedef struct world {
	entry_fixture_t *fixture;
	struct ev_loop *engine_loop;
	engine_t engines[ENGINES];
	uint64_t heartbeat_sequence;
	const char *service; /* of the engines */
	unsigned events;     /* written by all engines */
	entry_fixture_response_t response;
} world_t;

static const char *const ids[ENGINES] = {"e0", "e1"};
static const char *const two_models[ENGINES] = {"m0", "m0"};
static const entry_fixture_request_t streamed = {
    "POST", "/stream/x", "id-1", ENTRY_FIXTURE_KEY, "m0", "prompt"};
static const entry_fixture_request_t unsafe = {
    "POST", "/unsafe/x", "id-1", ENTRY_FIXTURE_KEY, NULL, "pay"};
static const at_header_t response_headers[] = {
    {WIRE_REQUEST_ID, "id-1"}, {WIRE_SIGNATURE, "signed"}, {NULL, NULL}};

static void
on_end(void *ctx, int caller_closed)
{
	(void)caller_closed;
	((engine_t *)ctx)->request = NULL;
}

static void
on_request(void *ctx, at_httpd_request_t *request)
{
	engine_t *engine = ctx;
	const char *resume_after = at_httpd_header(request, WIRE_RESUME_AFTER);

	if (strcmp(at_httpd_path(request), WIRE_REPORT_PATH) == 0) {
		standin_reply_json(request, 200,
		    json_pack("{s:[{s:s,s:i,s:[]}],s:b,s:i}", "models", "name",
			"m0", "version", 1, "adapters", "busy", 0, "sequence",
			0));
		return;
	}
	engine->request = request;
	engine->run_count++;
	(void)snprintf(engine->resume_after, sizeof(engine->resume_after), "%s",
	    resume_after == NULL ? "" : resume_after);
	at_httpd_set_end_handler(request, on_end, engine);
}

/* Runs both loops in turn for time_ms. */
static void
run_ms(world_t *world, uint32_t time_ms)
{
	uint32_t ms;

	for (ms = 0; ms < time_ms; ms += STEP_MS) {
		(void)ev_run(world->engine_loop, EVRUN_NOWAIT);
		entry_fixture_run_ms(world->fixture, STEP_MS);
		(void)ev_run(world->engine_loop, EVRUN_NOWAIT);
	}
}

static void
list_engine(world_t *world, size_t i, const char *model)
{
	standin_store_put(world->fixture->store, WIRE_KIND_SERVERS, ids[i],
	    standin_server_spec(world->service, world->engines[i].address,
		"north", ENTRY_FIXTURE_VERSION, model, 0,
		++world->heartbeat_sequence));
}

static int
is_llm(const world_t *world)
{
	return strcmp(world->service, "llm") == 0;
}

/* Writes a configuration without the engines' service and its routes. */
static void
apply_config_without_engines(world_t *world)
{
	const standin_route_t route = {
	    "/safe/", "safe", is_llm(world) ? "plain" : "llm", 2, 0};
	json_t *spec = standin_config_spec(
	    1000, ENTRY_FIXTURE_HOST, &route, 1, "studio", ENTRY_FIXTURE_KEY);

	(void)json_array_remove(
	    json_object_get(spec, "services"), (size_t)is_llm(world));
	standin_store_put(
	    world->fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, spec);
}

static at_entry_t *
entry_of(const world_t *world)
{
	return world->fixture->entries[0];
}

/* Returns the time since the instance began to stop. */
static uint64_t
stop_ms(const world_t *world)
{
	return at_clock_now_ms() - entry_of(world)->stop_since_ms;
}

static world_t *
world_new(const char *service, const char *const models[ENGINES])
{
	world_t *world = calloc(1, sizeof(*world));
	at_status_t status;
	size_t i;

	world->service = service;
	world->fixture = entry_fixture_new();
	world->engine_loop = ev_loop_new(EVFLAG_AUTO);
	entry_fixture_apply_config(world->fixture, 1);
	for (i = 0; i < ENGINES; i++) {
		engine_t *engine = &world->engines[i];

		engine->httpd = at_httpd_new(world->engine_loop);
		at_httpd_set_handler(engine->httpd, on_request, engine);
		cr_assert_eq(
		    at_httpd_init(engine->httpd, "127.0.0.1:0", &status),
		    AT_OK);
		(void)snprintf(engine->address, AT_ADDR_SIZE, "127.0.0.1:%u",
		    at_httpd_port(engine->httpd));
		list_engine(world, i, models[i]);
	}
	(void)entry_fixture_add_entry(world->fixture);
	while (!at_entry_is_ready(entry_of(world)) ||
	       at_fleet_count(entry_of(world)->fleet) < ENGINES)
		run_ms(world, STEP_MS);
	return world;
}

static void
world_delete(world_t *world)
{
	size_t i;

	entry_fixture_response_free(&world->response);
	entry_fixture_delete(world->fixture);
	for (i = 0; i < ENGINES; i++)
		at_httpd_delete(world->engines[i].httpd);
	ev_loop_destroy(world->engine_loop);
	free(world);
}

/* Returns the engine that has the request, and waits for it. */
static engine_t *
wait_for_run(world_t *world, uint32_t time_ms)
{
	uint32_t ms;
	size_t i;

	for (ms = 0; ms < time_ms; ms += STEP_MS) {
		run_ms(world, STEP_MS);
		for (i = 0; i < ENGINES; i++) {
			if (world->engines[i].request != NULL)
				return &world->engines[i];
		}
	}
	return NULL;
}

static void
begin(const engine_t *engine)
{
	at_httpd_stream_begin(engine->request, 200, response_headers);
}

static void
write_event(world_t *world, const engine_t *engine)
{
	char event[EVENT_LEN + 1];

	world->events++;
	(void)snprintf(event, sizeof(event), "id: %02u\ndata: e%02u\n\n",
	    world->events % 100, world->events % 100);
	(void)at_httpd_stream_write(engine->request, event, EVENT_LEN);
}

/* Sends a stream's request, of which one event is passed on. */
static engine_t *
begin_stream(world_t *world)
{
	engine_t *engine;

	entry_fixture_send(world->fixture, 0, &streamed, &world->response);
	engine = wait_for_run(world, 2000);
	cr_assert_not_null(engine);
	begin(engine);
	write_event(world, engine);
	while (world->response.len == 0)
		run_ms(world, STEP_MS);
	return engine;
}

/* Sends the last event, and expects that the caller has both. */
static void
expect_completed(world_t *world, const engine_t *engine, const char *name)
{
	int has_request = engine != NULL && engine->request != NULL;

	cr_expect(has_request, "%s: no engine has the request", name);
	if (has_request) {
		write_event(world, engine);
		at_httpd_stream_end(engine->request);
	}
	run_ms(world, 300);
	cr_expect(world->response.done, "%s: not done", name);
	cr_expect(world->response.is_complete, "%s: cut", name);
	cr_expect_eq(world->response.len, world->events * EVENT_LEN,
	    "%s: %zu bytes of %u events", name, world->response.len,
	    world->events);
}

/* Breaks the stream off, and waits until another engine has the request. */
static engine_t *
move_stream(world_t *world, engine_t *engine)
{
	engine_t *other;
	char last[16];

	(void)snprintf(last, sizeof(last), "%u", world->events);
	at_httpd_stream_fail(engine->request);
	other = wait_for_run(world, 1500);
	if (other != NULL) {
		cr_expect_str_eq(other->resume_after, last);
		begin(other);
	}
	return other;
}

static void
drop_the_service(world_t *world)
{
	apply_config_without_engines(world);
}

/* The routes lead elsewhere, with less time and fewer attempts. */
static void
move_the_routes(world_t *world)
{
	static const standin_route_t routes[] = {
	    {"/stream/", "streaming", "plain", 1, 0},
	    {"/unsafe/", "unsafe", "llm", 1, 0}};
	json_t *spec = standin_config_spec(
	    1000, ENTRY_FIXTURE_HOST, routes, 2, "studio", ENTRY_FIXTURE_KEY);
	size_t i;

	for (i = 0; i < 2; i++)
		json_object_set_new(
		    json_array_get(json_object_get(spec, "routes"), i),
		    "timeout_ms", json_integer(100));
	standin_store_put(
	    world->fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, spec);
}

static void
start_the_engines_again(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		json_t *spec =
		    standin_server_spec("llm", world->engines[i].address,
			"north", ENTRY_FIXTURE_VERSION, "m0", 0, 1);

		json_object_set_new(spec, "born", json_integer(1800000000000));
		standin_store_put(
		    world->fixture->store, WIRE_KIND_SERVERS, ids[i], spec);
	}
}

static void
drop_the_key(world_t *world)
{
	entry_fixture_apply_config(world->fixture, 0);
}

static void
remove_the_engines(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_store_remove(
		    world->fixture->store, WIRE_KIND_SERVERS, ids[i]);
}

static void
list_the_engines_elsewhere(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_store_put(world->fixture->store, WIRE_KIND_SERVERS,
		    ids[i],
		    standin_server_spec(is_llm(world) ? "plain" : "llm",
			world->engines[i].address, "north",
			ENTRY_FIXTURE_VERSION, NULL, i == 0,
			++world->heartbeat_sequence));
}

static void
let_the_engines_leave(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_store_put(world->fixture->store, WIRE_KIND_SERVERS,
		    ids[i],
		    standin_server_spec(world->service,
			world->engines[i].address, "north",
			ENTRY_FIXTURE_VERSION, is_llm(world) ? "m0" : NULL, 1,
			++world->heartbeat_sequence));
}

static void
write_unreadable_entries(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_store_put(world->fixture->store, WIRE_KIND_SERVERS,
		    ids[i], json_pack("{s:i}", "service", 7));
}

static void
reload_settings(world_t *world)
{
	at_entry_settings_t settings = entry_of(world)->settings;

	settings.stop_grace_s = 4;
	settings.retry_ratio = 0;
	settings.retry_slack = 0;
	at_entry_reload(entry_of(world), &settings);
}

static void
stop(world_t *world)
{
	at_entry_stop(entry_of(world));
}

static const struct {
	const char *name;
	void (*change)(world_t *world);
	uint32_t run_ms;
	int moves; /* the stream breaks off afterwards and moves */
} changes[] = {
    {"service dropped", drop_the_service, 600, 0},
    {"routes moved", move_the_routes, 600, 0},
    {"routes moved, moves", move_the_routes, 600, 1},
    {"key dropped", drop_the_key, 600, 0},
    {"key dropped, moves", drop_the_key, 600, 1},
    {"engines removed", remove_the_engines, 2800, 0},
    {"engines started again", start_the_engines_again, 600, 0},
    {"engines started again, moves", start_the_engines_again, 600, 1},
    {"engines listed elsewhere", list_the_engines_elsewhere, 600, 0},
    {"engines leaving", let_the_engines_leave, 600, 0},
    {"entries unreadable", write_unreadable_entries, 600, 0},
    {"settings reloaded", reload_settings, 100, 0},
    {"settings reloaded, moves", reload_settings, 100, 1},
    {"stopping", stop, 3000, 0},
    {"stopping, moves", stop, 3000, 1},
};

static void
run_change(size_t i)
{
	world_t *world = world_new("llm", two_models);
	engine_t *engine = begin_stream(world);
	uint32_t ms;

	changes[i].change(world);
	for (ms = 0; ms < changes[i].run_ms; ms += GAP_MS) {
		run_ms(world, GAP_MS);
		if (engine->request != NULL)
			write_event(world, engine);
	}
	run_ms(world, GAP_MS);
	if (changes[i].moves && engine->request != NULL)
		engine = move_stream(world, engine);
	expect_completed(world, engine, changes[i].name);
	world_delete(world);
}

/* A request that may run once gets the response of the server that has it. */
static void
run_change_with_unsafe(size_t i)
{
	static const char *const no_models[ENGINES] = {NULL, NULL};
	world_t *world = world_new("plain", no_models);
	engine_t *engine;

	entry_fixture_send(world->fixture, 0, &unsafe, &world->response);
	engine = wait_for_run(world, 2000);
	cr_assert_not_null(engine);
	changes[i].change(world);
	run_ms(world, changes[i].run_ms);
	cr_assert_not_null(engine->request, "%s", changes[i].name);
	at_httpd_reply(engine->request, 200, response_headers, "paid", 4);
	run_ms(world, 100);
	cr_expect(world->response.is_complete, "%s: cut", changes[i].name);
	cr_expect_eq(world->response.status, 200, "%s: %d", changes[i].name,
	    world->response.status);
	world_delete(world);
}

ParameterizedTestParameters(interrupted_calls, outlive_a_change)
{
	static size_t rows[sizeof(changes) / sizeof(changes[0])];
	size_t i;

	for (i = 0; i < sizeof(rows) / sizeof(rows[0]); i++)
		rows[i] = i;
	return cr_make_param_array(size_t, rows, i);
}

ParameterizedTest(size_t *row, interrupted_calls, outlive_a_change)
{
	run_change(*row);
	if (!changes[*row].moves)
		run_change_with_unsafe(*row);
}

/* The stream may go on where its own configuration allowed it. */
Test(interrupted_calls, a_stream_moves_after_its_service_was_dropped)
{
	world_t *world = world_new("llm", two_models);
	engine_t *engine = begin_stream(world);

	apply_config_without_engines(world);
	run_ms(world, 600);
	engine = move_stream(world, engine);
	expect_completed(world, engine, "service dropped");
	world_delete(world);
}

/* Events that arrived while the process stalled are not a silent server. */
Test(interrupted_calls, a_stall_of_the_process_cuts_no_stream)
{
	world_t *world = world_new("llm", two_models);
	engine_t *engine = begin_stream(world);
	int i;

	/* Past the time-out of connecting, at which libcurl reads, too. */
	for (i = 0; i < 8; i++) {
		run_ms(world, GAP_MS);
		write_event(world, engine);
	}
	run_ms(world, GAP_MS);
	write_event(world, engine);
	for (i = 0; i < 10; i++)
		(void)ev_run(world->engine_loop, EVRUN_NOWAIT);
	(void)usleep(1500000);
	run_ms(world, 300);
	cr_expect_eq(
	    world->engines[0].run_count + world->engines[1].run_count, 1);
	cr_expect_eq(at_counters_get(entry_of(world)->counters, "retries_total",
			 "reason", "idle_timeout"),
	    0);
	expect_completed(world, engine, "stall");
	world_delete(world);
}

/* Another status than that of the stream is not its end. */
Test(interrupted_calls, a_failure_does_not_complete_a_stream)
{
	world_t *world = world_new("llm", two_models);
	engine_t *engine = begin_stream(world);

	at_httpd_stream_fail(engine->request);
	engine = wait_for_run(world, 1500);
	cr_assert_not_null(engine);
	at_httpd_reply(engine->request, 404, response_headers, "none", 4);
	run_ms(world, 300);
	cr_expect(world->response.done);
	cr_expect_not(world->response.is_complete);
	world_delete(world);
}

/* The queue is closed 2.6 s after the stop began; the model comes later. */
Test(interrupted_calls, a_stop_does_not_cut_a_queued_stream)
{
	static const char *const models[ENGINES] = {"m0", "m1"};
	world_t *world = world_new("llm", models);
	engine_t *engine = begin_stream(world);

	at_entry_stop(entry_of(world));
	while (stop_ms(world) < 2300) {
		run_ms(world, GAP_MS);
		write_event(world, engine);
	}
	run_ms(world, GAP_MS / 2);
	at_httpd_stream_fail(engine->request);
	while (stop_ms(world) < 2750)
		run_ms(world, STEP_MS);
	cr_expect_not(world->response.done, "the stream was cut");
	list_engine(world, 1, "m0");
	engine = wait_for_run(world, 1500);
	if (engine != NULL)
		begin(engine);
	expect_completed(world, engine, "stop");
	world_delete(world);
}
