#include "support/entry_fixture.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <sodium.h>

#include "platform/names.h"

#define UNTIL_S 20. /* longest wait for anything */
#define STEP_S 0.005
#define HEADERS_MAX 8

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static int
run_until(edge_t *edge, int (*met)(void *ctx), void *ctx, double limit_s)
{
	double end = ev_time() + limit_s;

	while (met == NULL || !met(ctx)) {
		ev_timer step;

		if (ev_time() >= end)
			return 0;
		ev_timer_init(&step, on_step, STEP_S, 0.);
		ev_timer_start(edge->loop, &step);
		(void)ev_run(edge->loop, EVRUN_ONCE);
		ev_timer_stop(edge->loop, &step);
	}
	return 1;
}

void
edge_until(edge_t *edge, int (*met)(void *ctx), void *ctx)
{
	cr_assert(run_until(edge, met, ctx, UNTIL_S), "waited in vain");
}

void
edge_run_ms(edge_t *edge, uint32_t time_ms)
{
	(void)run_until(edge, NULL, NULL, (double)time_ms / AT_MS_PER_S);
}

edge_t *
edge_new(void)
{
	edge_t *edge = calloc(1, sizeof(*edge));
	at_status_t status;

	cr_assert_geq(sodium_init(), 0);
	edge->loop = ev_loop_new(EVFLAG_AUTO);
	edge->httpc = at_httpc_new(edge->loop);
	edge->store = standin_store_new(edge->loop);
	cr_assert_eq(
	    standin_store_init(edge->store, "127.0.0.1:0", &status), AT_OK);
	(void)snprintf(edge->store_address, AT_ADDR_SIZE, "127.0.0.1:%u",
	    standin_store_port(edge->store));
	return edge;
}

void
edge_delete(edge_t *edge)
{
	size_t i;

	for (i = 0; i < edge->entry_count; i++)
		at_entry_delete(edge->entries[i]);
	at_httpc_delete(edge->httpc);
	for (i = 0; i < edge->server_count; i++)
		standin_server_delete(edge->servers[i]);
	standin_store_delete(edge->store);
	ev_loop_destroy(edge->loop);
	free(edge);
}

void
edge_configure(edge_t *edge, int with_key)
{
	static const standin_route_t routes[] = {
	    {"/safe/", "safe", "plain", 2, 0},
	    {"/unsafe/", "unsafe", "plain", 1, 0},
	    {"/stream/", "streaming", "llm", 2, 1},
	    {"/once/", "streaming", "llm", 1, 0}};

	edge->config_version += 3;
	standin_store_put(edge->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME,
	    standin_config_spec(edge->config_version, EDGE_HOST, routes,
		sizeof(routes) / sizeof(routes[0]), "studio",
		with_key ? EDGE_KEY : "another-key"));
}

void
edge_list_server(edge_t *edge, size_t server, int leaving)
{
	static uint64_t beat;
	char address[AT_ADDR_SIZE];
	const char *id = edge->ids[server];
	const char *model = strchr(id, '-');

	(void)snprintf(address, sizeof(address), "127.0.0.1:%u",
	    standin_server_port(edge->servers[server]));
	standin_store_put(edge->store, WIRE_KIND_SERVERS, id,
	    standin_server_spec(model == NULL ? "plain" : "llm", address,
		"north", model == NULL ? NULL : model + 1, leaving, ++beat));
}

/* A listener whose queue is full drops what asks for a connection. */
void
edge_list_unreachable(edge_t *edge, int sockets[EDGE_FULL_SOCKETS])
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
	for (i = 1; i < EDGE_FULL_SOCKETS; i++) {
		sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(
		    sockets[i], (struct sockaddr *)&bound, sizeof(bound));
	}
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(bound.sin_port));
	for (i = 0; i < 2; i++)
		standin_store_put(edge->store, WIRE_KIND_SERVERS,
		    i == 0 ? "full-0" : "full-1",
		    standin_server_spec("plain", address, "north", NULL, 0, 1));
}

static size_t
add_server(edge_t *edge, const char *id, const char *model)
{
	size_t i = edge->server_count++;
	at_status_t status;

	(void)snprintf(edge->ids[i], sizeof(edge->ids[i]), "%s", id);
	edge->servers[i] = standin_server_new(edge->loop, id);
	if (model != NULL) {
		standin_server_set_engine(edge->servers[i]);
		standin_server_add_model(edge->servers[i], model);
	}
	cr_assert_eq(
	    standin_server_init(edge->servers[i], "127.0.0.1:0", &status),
	    AT_OK);
	edge_list_server(edge, i, 0);
	return i;
}

size_t
edge_add_plain(edge_t *edge)
{
	char id[AT_NAME_SIZE];

	(void)snprintf(id, sizeof(id), "p%zu", edge->server_count);
	return add_server(edge, id, NULL);
}

size_t
edge_add_engine(edge_t *edge, const char *model)
{
	char id[AT_NAME_SIZE];

	(void)snprintf(id, sizeof(id), "e%zu-%s", edge->server_count, model);
	return add_server(edge, id, model);
}

/* Draws a free port for datagrams. */
static void
free_address(char address[AT_ADDR_SIZE])
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);
	int fd = socket(AF_INET, SOCK_DGRAM, 0);

	cr_assert_eq(bind(fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(getsockname(fd, (struct sockaddr *)&bound, &len), 0);
	(void)close(fd);
	(void)snprintf(
	    address, AT_ADDR_SIZE, "127.0.0.1:%u", ntohs(bound.sin_port));
}

size_t
edge_add_entry(edge_t *edge)
{
	size_t i = edge->entry_count++;
	at_entry_settings_t settings = {.name = edge->names[i],
	    .data_centre = "north",
	    .listen = "127.0.0.1:0",
	    .ready = "127.0.0.1:0",
	    .metrics = "",
	    .peers = edge->peers[i],
	    .store = edge->store_address,
	    .secret = fixture_secret(),
	    .log_level = "info",
	    .processor_share = 1.,
	    .cores = 1,
	    .link_mbps = 1000,
	    .log_lines_per_s = 1000,
	    .stop_grace_s = 8,
	    .lease_ms = 3000,
	    .retry_ratio = 0.2,
	    .retry_slack = 100};
	at_status_t status;

	(void)snprintf(edge->names[i], sizeof(edge->names[i]), "entry-%zu", i);
	free_address(edge->peers[i]);
	edge->entries[i] = at_entry_new(edge->loop, &settings);
	cr_assert_eq(at_entry_init(edge->entries[i], &status), AT_OK, "%s",
	    status.message);
	(void)snprintf(edge->addresses[i], AT_ADDR_SIZE, "127.0.0.1:%u",
	    at_httpd_port(edge->entries[i]->callers));
	return i;
}

static int
all_ready(void *ctx)
{
	const edge_t *edge = ctx;
	size_t i;

	for (i = 0; i < edge->entry_count; i++) {
		if (!at_entry_is_ready(edge->entries[i]) ||
		    at_fleet_count(edge->entries[i]->fleet) <
			edge->server_count)
			return 0;
	}
	return 1;
}

void
edge_until_ready(edge_t *edge)
{
	edge_until(edge, all_ready, edge);
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	edge_answer_t *answer = ctx;
	const char *retry = at_transfer_header(transfer, WIRE_RETRY_AFTER);
	const char *stamp = at_transfer_header(transfer, WIRE_SIGNATURE);

	answer->status = status;
	if (retry != NULL)
		(void)snprintf(answer->retry_after, sizeof(answer->retry_after),
		    "%s", retry);
	if (stamp != NULL)
		(void)snprintf(
		    answer->stamp, sizeof(answer->stamp), "%s", stamp);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	edge_answer_t *answer = ctx;

	answer->body = realloc(answer->body, answer->len + len + 1);
	memcpy(answer->body + answer->len, data, len);
	answer->len += len;
	answer->body[answer->len] = '\0';
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	edge_answer_t *answer = ctx;

	answer->whole = result->is_complete;
	answer->transfer = NULL;
	answer->done = 1;
}

static size_t
add_header(char lines[HEADERS_MAX][256], size_t count, const char *name,
    const char *before, const char *value)
{
	if (value == NULL)
		return count;
	(void)snprintf(lines[count], 256, "%s: %s%s", name, before, value);
	return count + 1;
}

void
edge_send(
    edge_t *edge, size_t entry, const edge_request_t *r, edge_answer_t *answer)
{
	char lines[HEADERS_MAX][256];
	const char *headers[HEADERS_MAX + 1] = {NULL};
	char url[AT_ADDR_SIZE + 16];
	size_t count = 0;
	size_t i;
	const at_transfer_spec_t spec = {.method = r->method,
	    .url = url,
	    .target = r->target,
	    .headers = headers,
	    .body = r->body,
	    .body_len = r->body == NULL ? 0 : strlen(r->body),
	    .total_ms = 15000};
	const at_transfer_events_t events = {on_head, on_data, on_done, answer};

	memset(answer, 0, sizeof(*answer));
	(void)snprintf(url, sizeof(url), "http://%s/", edge->addresses[entry]);
	count = add_header(lines, count, "Host", "", EDGE_HOST);
	count = add_header(lines, count, WIRE_REQUEST_ID, "", r->id);
	count = add_header(lines, count, WIRE_API_KEY, "Bearer ", r->key);
	count = add_header(lines, count, WIRE_MODEL, "", r->model);
	if (r->model != NULL)
		count =
		    add_header(lines, count, WIRE_TOKEN_COUNTS, "", "100,50");
	for (i = 0; i < count; i++)
		headers[i] = lines[i];
	answer->transfer = at_httpc_start(edge->httpc, &spec, &events);
	cr_assert_not_null(answer->transfer);
}

static int
is_done(void *ctx)
{
	return ((const edge_answer_t *)ctx)->done;
}

void
edge_ask(edge_t *edge, size_t entry, const edge_request_t *request,
    edge_answer_t *answer)
{
	edge_send(edge, entry, request, answer);
	edge_until(edge, is_done, answer);
}

void
edge_answer_free(edge_answer_t *answer)
{
	if (answer->transfer != NULL)
		at_transfer_cancel(answer->transfer);
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}
