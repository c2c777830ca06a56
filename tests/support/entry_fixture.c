#include "support/entry_fixture.h"

#include <arpa/inet.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <sodium.h>

#include "platform/names.h"

#define DESCRIPTORS 1024u /* of an instance */
#define WAIT_LIMIT_S 20.  /* longest time until a condition is met */
#define STEP_S 0.005      /* longest time between two checks of a condition */
#define FIRST_PORT 10000u
#define PORTS 20000u
#define HEADERS_MAX 8 /* request headers, without the NULL at the end */
#define HEADER_SIZE 8192

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static int
run_until(
    entry_fixture_t *fixture, int (*met)(void *ctx), void *ctx, double limit_s)
{
	double end = ev_time() + limit_s;

	while (met == NULL || !met(ctx)) {
		ev_timer step;

		if (ev_time() >= end)
			return 0;
		ev_timer_init(&step, on_step, STEP_S, 0.);
		ev_timer_start(fixture->loop, &step);
		(void)ev_run(fixture->loop, EVRUN_ONCE);
		ev_timer_stop(fixture->loop, &step);
	}
	return 1;
}

void
entry_fixture_run_until(
    entry_fixture_t *fixture, int (*met)(void *ctx), void *ctx)
{
	cr_assert(run_until(fixture, met, ctx, WAIT_LIMIT_S),
	    "condition not met in 20 s");
}

void
entry_fixture_run_ms(entry_fixture_t *fixture, uint32_t time_ms)
{
	(void)run_until(fixture, NULL, NULL, (double)time_ms / AT_MS_PER_S);
}

entry_fixture_t *
entry_fixture_new(void)
{
	entry_fixture_t *fixture = calloc(1, sizeof(*fixture));
	at_status_t status;

	cr_assert_geq(sodium_init(), 0);
	fixture->descriptors = DESCRIPTORS;
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->httpc = at_httpc_new(fixture->loop);
	fixture->store = standin_store_new(fixture->loop);
	cr_assert_eq(
	    standin_store_init(fixture->store, "127.0.0.1:0", &status), AT_OK);
	(void)snprintf(fixture->store_address, AT_ADDR_SIZE, "127.0.0.1:%u",
	    standin_store_port(fixture->store));
	return fixture;
}

void
entry_fixture_delete(entry_fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		at_entry_delete(fixture->entries[i]);
	at_httpc_delete(fixture->httpc);
	for (i = 0; i < fixture->server_count; i++)
		standin_server_delete(fixture->servers[i]);
	standin_store_delete(fixture->store);
	ev_loop_destroy(fixture->loop);
	free(fixture);
}

static void
add_further_routes(json_t *config, size_t count)
{
	json_t *routes = json_object_get(config, "routes");
	char path[AT_NAME_SIZE];
	size_t i;

	for (i = 0; i < count; i++) {
		(void)snprintf(path, sizeof(path), "/more%zu/", i);
		json_array_append_new(routes,
		    json_pack("{s:s,s:s,s:s,s:s,s:s,s:i,s:i}", "name", path + 1,
			"hostname", ENTRY_FIXTURE_HOST, "path_prefix", path,
			"type", "safe", "service", "plain", "timeout_ms", 8000,
			"max_attempts", 2));
	}
}

void
entry_fixture_set_further_routes(
    entry_fixture_t *fixture, size_t further_routes)
{
	fixture->further_routes = further_routes;
}

void
entry_fixture_apply_config(entry_fixture_t *fixture, int with_key)
{
	static const standin_route_t routes[] = {
	    {"/safe/", "safe", "plain", 2, 0},
	    {"/unsafe/", "unsafe", "plain", 1, 0},
	    {"/stream/", "streaming", "llm", 2, 1},
	    {"/once/", "streaming", "llm", 1, 0}};

	json_t *config;

	fixture->config_version += 3;
	config = standin_config_spec(fixture->config_version,
	    ENTRY_FIXTURE_HOST, routes, sizeof(routes) / sizeof(routes[0]),
	    "studio", with_key ? ENTRY_FIXTURE_KEY : "another-key");
	add_further_routes(config, fixture->further_routes);
	if (fixture->cold_per_s != 0)
		(void)json_object_update_new(
		    json_array_get(json_object_get(config, "services"), 1),
		    json_pack("{s:f,s:i}", "cold_start_s", 3., "cold_per_s",
			(int)fixture->cold_per_s));
	standin_store_put(
	    fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, config);
}

void
entry_fixture_list_server(entry_fixture_t *fixture, size_t server, int leaving)
{
	static uint64_t heartbeat_sequence;
	char address[AT_ADDR_SIZE];
	const char *id = fixture->ids[server];
	const char *model = strchr(id, '-');
	json_t *spec;

	(void)snprintf(address, sizeof(address), "127.0.0.1:%u",
	    standin_server_port(fixture->servers[server]));
	spec = standin_server_spec(model == NULL ? "plain" : "llm", address,
	    fixture->data_centres[server], fixture->versions[server],
	    model == NULL ? NULL : model + 1, leaving, ++heartbeat_sequence);
	if (fixture->cold_per_s != 0)
		json_object_set_new(spec, "cold_remaining_ms",
		    json_integer((json_int_t)standin_server_cold_ms(
			fixture->servers[server])));
	standin_store_put(fixture->store, WIRE_KIND_SERVERS, id, spec);
}

/*
 * A listener with a full backlog drops connection requests: the kernel
 * completes the handshakes of the first connections, and no more.
 */
void
entry_fixture_list_unreachable(
    entry_fixture_t *fixture, int sockets[ENTRY_FIXTURE_SOCKETS])
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);
	char address[AT_ADDR_SIZE];
	int i;

	sockets[0] = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(
	    bind(sockets[0], (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(listen(sockets[0], 0), 0);
	cr_assert_eq(
	    getsockname(sockets[0], (struct sockaddr *)&bound, &len), 0);
	for (i = 1; i < ENTRY_FIXTURE_SOCKETS; i++) {
		sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(
		    sockets[i], (struct sockaddr *)&bound, sizeof(bound));
	}
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(bound.sin_port));
	for (i = 0; i < 2; i++)
		standin_store_put(fixture->store, WIRE_KIND_SERVERS,
		    i == 0 ? "full-0" : "full-1",
		    standin_server_spec("plain", address, "north",
			ENTRY_FIXTURE_VERSION, NULL, 0, 1));
}

static size_t
add_server(entry_fixture_t *fixture, const char *id, const char *model,
    const char *version, const char *data_centre)
{
	size_t i = fixture->server_count++;
	at_status_t status;

	fixture->versions[i] = version;
	fixture->data_centres[i] = data_centre;
	(void)snprintf(fixture->ids[i], sizeof(fixture->ids[i]), "%s", id);
	fixture->servers[i] = standin_server_new(fixture->loop, id);
	if (model != NULL) {
		standin_server_set_engine(fixture->servers[i]);
		standin_server_add_model(fixture->servers[i], model);
	}
	cr_assert_eq(
	    standin_server_init(fixture->servers[i], "127.0.0.1:0", &status),
	    AT_OK);
	entry_fixture_list_server(fixture, i, 0);
	return i;
}

size_t
entry_fixture_add_service_in(entry_fixture_t *fixture, const char *data_centre)
{
	char id[AT_NAME_SIZE];

	(void)snprintf(id, sizeof(id), "p%zu", fixture->server_count);
	return add_server(
	    fixture, id, NULL, ENTRY_FIXTURE_VERSION, data_centre);
}

size_t
entry_fixture_add_service(entry_fixture_t *fixture)
{
	return entry_fixture_add_service_in(fixture, "north");
}

static size_t
add_engine(entry_fixture_t *fixture, const char *model, const char *version,
    const char *data_centre)
{
	char id[AT_NAME_SIZE];

	(void)snprintf(id, sizeof(id), "e%zu-%s", fixture->server_count, model);
	return add_server(fixture, id, model, version, data_centre);
}

size_t
entry_fixture_add_engine_in(
    entry_fixture_t *fixture, const char *model, const char *data_centre)
{
	return add_engine(fixture, model, ENTRY_FIXTURE_VERSION, data_centre);
}

size_t
entry_fixture_add_engine_of_version(
    entry_fixture_t *fixture, const char *model, const char *version)
{
	return add_engine(fixture, model, version, "north");
}

size_t
entry_fixture_add_engine(entry_fixture_t *fixture, const char *model)
{
	return entry_fixture_add_engine_of_version(
	    fixture, model, ENTRY_FIXTURE_VERSION);
}

void
entry_fixture_unlist_server(entry_fixture_t *fixture, size_t server)
{
	standin_store_remove(
	    fixture->store, WIRE_KIND_SERVERS, fixture->ids[server]);
}

/* Returns non-zero if a socket of this type can be bound to the port. */
static int
is_port_free(int type, uint16_t port)
{
	struct sockaddr_in bound = {.sin_family = AF_INET,
	    .sin_port = htons(port),
	    .sin_addr = {htonl(INADDR_LOOPBACK)}};
	int fd = socket(AF_INET, type, 0);
	int result;

	cr_assert_geq(fd, 0);
	result = bind(fd, (struct sockaddr *)&bound, sizeof(bound));
	cr_assert(result == 0 || errno == EADDRINUSE);
	(void)close(fd);
	return result == 0;
}

/*
 * Writes an address on loopback whose port is free for datagrams and
 * connections, and is not one that the kernel picks by itself.
 */
static void
find_free_address(char address[AT_ADDR_SIZE])
{
	uint16_t port;
	uint32_t tries = 0;

	do {
		cr_assert_lt(tries++, PORTS, "no free port found");
		port = (uint16_t)(FIRST_PORT + randombytes_uniform(PORTS));
	} while (!is_port_free(SOCK_DGRAM, port) ||
		 !is_port_free(SOCK_STREAM, port));
	(void)snprintf(address, AT_ADDR_SIZE, "127.0.0.1:%u", port);
}

void
entry_fixture_use_hosts(entry_fixture_t *fixture)
{
	char address[AT_ADDR_SIZE];

	find_free_address(address);
	fixture->peers_port =
	    (uint16_t)strtoul(strchr(address, ':') + 1, NULL, 10);
}

void
entry_fixture_host(size_t entry, char host[AT_ADDR_SIZE])
{
	(void)snprintf(host, AT_ADDR_SIZE, "127.0.1.%zu", entry + 1);
}

static void
choose_peers_address(
    const entry_fixture_t *fixture, size_t entry, char address[AT_ADDR_SIZE])
{
	char host[AT_ADDR_SIZE];

	if (fixture->peers_port == 0) {
		find_free_address(address);
		return;
	}
	entry_fixture_host(entry, host);
	(void)snprintf(
	    address, AT_ADDR_SIZE, "%.15s:%u", host, fixture->peers_port);
}

size_t
entry_fixture_add_entry(entry_fixture_t *fixture)
{
	return entry_fixture_add_entry_in(fixture, "north");
}

size_t
entry_fixture_add_entry_in(entry_fixture_t *fixture, const char *data_centre)
{
	size_t i = fixture->entry_count++;
	at_entry_settings_t settings = {.name = fixture->names[i],
	    .data_centre = data_centre,
	    .listen = "127.0.0.1:0",
	    .ready = "127.0.0.1:0",
	    .metrics = "",
	    .peers = fixture->peers[i],
	    .store = fixture->store_address,
	    .seeds = fixture->seeds,
	    .secret = fixture_secret(),
	    .log_level = "info",
	    .processor_share = 1.,
	    .cores = 1,
	    .link_mbps = 1000,
	    .descriptors = fixture->descriptors,
	    .log_lines_per_s = 1000,
	    .stop_grace_s = 8,
	    .lease_ms = 3000,
	    .retry_ratio = 0.2,
	    .retry_slack = 100,
	    .evacuate_ms = fixture->evacuate_ms,
	    .regions = fixture->regions,
	    .cold_overage = fixture->cold_per_s == 0 ? 1e9 : 1.5,
	    .cold_tolerance = fixture->cold_per_s == 0 ? 1e9 : 5.};
	at_status_t status;

	(void)snprintf(
	    fixture->names[i], sizeof(fixture->names[i]), "entry-%zu", i);
	choose_peers_address(fixture, i, fixture->peers[i]);
	fixture->entries[i] = at_entry_new(fixture->loop, &settings);
	cr_assert_eq(at_entry_init(fixture->entries[i], &status), AT_OK, "%s",
	    status.message);
	if (fixture->on_entry_created != NULL)
		fixture->on_entry_created(fixture->on_entry_created_ctx, i);
	(void)snprintf(fixture->addresses[i], AT_ADDR_SIZE, "127.0.0.1:%u",
	    at_httpd_port(fixture->entries[i]->callers));
	return i;
}

void
entry_fixture_remove_entry(entry_fixture_t *fixture, size_t entry)
{
	at_entry_delete(fixture->entries[entry]);
	fixture->entries[entry] = NULL;
}

static int
are_all_ready(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		if (fixture->entries[i] == NULL)
			continue;
		if (!at_entry_is_ready(fixture->entries[i]) ||
		    at_fleet_count(fixture->entries[i]->fleet) <
			fixture->server_count)
			return 0;
	}
	return 1;
}

void
entry_fixture_run_until_ready(entry_fixture_t *fixture)
{
	entry_fixture_run_until(fixture, are_all_ready, fixture);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	entry_fixture_response_t *response = ctx;
	const char *retry_after =
	    at_transfer_header(transfer, WIRE_RETRY_AFTER);
	const char *signature = at_transfer_header(transfer, WIRE_SIGNATURE);

	response->status = status;
	if (retry_after != NULL)
		(void)snprintf(response->retry_after,
		    sizeof(response->retry_after), "%s", retry_after);
	if (signature != NULL)
		(void)snprintf(response->signature, sizeof(response->signature),
		    "%s", signature);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	entry_fixture_response_t *response = ctx;

	response->body = realloc(response->body, response->len + len + 1);
	memcpy(response->body + response->len, data, len);
	response->len += len;
	response->body[response->len] = '\0';
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	entry_fixture_response_t *response = ctx;

	response->is_complete = result->is_complete;
	response->transfer = NULL;
	response->done = 1;
}

static size_t
add_header(char lines[HEADERS_MAX][HEADER_SIZE], size_t count, const char *name,
    const char *prefix, const char *value)
{
	if (value == NULL)
		return count;
	(void)snprintf(
	    lines[count], HEADER_SIZE, "%s: %s%s", name, prefix, value);
	return count + 1;
}

/* Headers that only some tests send; NULL: not sent. */
typedef struct extra_headers {
	const char *resumes;
	const char *resume_after;
	const char *parts;
	const char *deadline_ms;
} extra_headers_t;

static void
send_request(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const extra_headers_t *extra,
    entry_fixture_response_t *response)
{
	char lines[HEADERS_MAX][HEADER_SIZE];
	const char *headers[HEADERS_MAX + 1] = {NULL};
	char url[AT_ADDR_SIZE + 16];
	size_t count = 0;
	size_t i;
	const at_transfer_spec_t spec = {.method = request->method,
	    .url = url,
	    .target = request->target,
	    .headers = headers,
	    .body = request->body,
	    .body_len = request->body == NULL ? 0 : strlen(request->body),
	    .total_ms = 15000};
	const at_transfer_events_t events = {
	    on_headers, on_data, on_done, response};

	memset(response, 0, sizeof(*response));
	(void)snprintf(
	    url, sizeof(url), "http://%s/", fixture->addresses[entry]);
	count = add_header(lines, count, "Host", "", ENTRY_FIXTURE_HOST);
	count = add_header(lines, count, WIRE_REQUEST_ID, "", request->id);
	count = add_header(lines, count, WIRE_API_KEY, "Bearer ", request->key);
	count = add_header(lines, count, WIRE_MODEL, "", request->model);
	count = add_header(lines, count, WIRE_DEADLINE, "", extra->deadline_ms);
	if (request->model != NULL)
		count =
		    add_header(lines, count, WIRE_TOKEN_COUNTS, "", "100,50");
	count = add_header(lines, count, WIRE_RESUMES, "", extra->resumes);
	count = add_header(
	    lines, count, WIRE_RESUME_AFTER, "", extra->resume_after);
	count = add_header(lines, count, WIRE_PROMPT_PREFIX, "", extra->parts);
	for (i = 0; i < count; i++)
		headers[i] = lines[i];
	response->transfer = at_httpc_start(fixture->httpc, &spec, &events);
	cr_assert_not_null(response->transfer);
}

void
entry_fixture_send_resumed(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *resumes,
    const char *resume_after, entry_fixture_response_t *response)
{
	const extra_headers_t extra = {
	    .resumes = resumes, .resume_after = resume_after};

	send_request(fixture, entry, request, &extra, response);
}

void
entry_fixture_send_prompt(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *parts,
    entry_fixture_response_t *response)
{
	const extra_headers_t extra = {.parts = parts};

	send_request(fixture, entry, request, &extra, response);
}

void
entry_fixture_send(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response)
{
	entry_fixture_send_prompt(fixture, entry, request, NULL, response);
}

static int
is_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

void
entry_fixture_call(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response)
{
	entry_fixture_send(fixture, entry, request, response);
	entry_fixture_run_until(fixture, is_done, response);
}

void
entry_fixture_call_resumed(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *resumes,
    const char *resume_after, entry_fixture_response_t *response)
{
	entry_fixture_send_resumed(
	    fixture, entry, request, resumes, resume_after, response);
	entry_fixture_run_until(fixture, is_done, response);
}

void
entry_fixture_call_within(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *deadline_ms,
    entry_fixture_response_t *response)
{
	const extra_headers_t extra = {.deadline_ms = deadline_ms};

	send_request(fixture, entry, request, &extra, response);
	entry_fixture_run_until(fixture, is_done, response);
}

void
entry_fixture_response_free(entry_fixture_response_t *response)
{
	if (response->transfer != NULL)
		at_transfer_cancel(response->transfer);
	free(response->body);
	memset(response, 0, sizeof(*response));
}
