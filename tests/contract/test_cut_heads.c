/*
 * A server stops in the middle of its response's head and closes. Whatever has
 * arrived by then is no response, for no kind of request.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "support/entry_fixture.h"
#include "support/fault_fixture.h"
#include "support/links.h"
#include "support/raw_server.h"

/* Heads, each of which is cut at each of its bytes. */
static const struct {
	const char *name;
	const char *head;
} heads[] = {
    {"a length", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n"},
    {"chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"},
    {"the length first",
	"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-A: b\r\n\r\n"},
    {"no length", "HTTP/1.1 200 OK\r\nX-A: b\r\n\r\n"},
    {"no fields", "HTTP/1.1 200 OK\r\n\r\n"},
    {"HTTP/1.0", "HTTP/1.0 200 OK\r\nX-A: b\r\n\r\n"},
    {"it closes", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"},
    {"an interim response before",
	"HTTP/1.1 103 Early\r\nX-A: b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"},
    {"line feeds only", "HTTP/1.1 200 OK\nX-A: b\n\n"},
    {"no content", "HTTP/1.1 204 No\r\nX-A: b\r\n\r\n"},
    {"not modified", "HTTP/1.1 304 No\r\nX-A: b\r\n\r\n"},
    {"a failure", "HTTP/1.1 500 No\r\nX-A: b\r\n\r\n"},
};

typedef struct ended {
	int is_done;
	int had_headers;
	at_transfer_result_t result;
} ended_t;

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	(void)transfer;
	(void)status;
	((ended_t *)ctx)->had_headers = 1;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	ended_t *ended = ctx;

	ended->is_done = 1;
	ended->result = *result;
}

static int
is_done(void *ctx)
{
	return ((ended_t *)ctx)->is_done;
}

static void
run_head(entry_fixture_t *fixture, raw_server_t *server, size_t i, size_t len,
    const char *method)
{
	ended_t ended = {0};
	char url[AT_ADDR_SIZE + 16];
	const at_transfer_spec_t spec = {
	    .method = method, .url = url, .total_ms = 5000};
	const at_transfer_events_t events = {
	    .on_headers = on_headers, .on_done = on_done, .ctx = &ended};

	(void)snprintf(url, sizeof(url), "http://%s/", server->address);
	server->bytes = heads[i].head;
	server->len = len;
	cr_assert_not_null(at_httpc_start(fixture->httpc, &spec, &events));
	entry_fixture_run_until(fixture, is_done, &ended);
	cr_expect(!ended.result.is_complete && !ended.had_headers,
	    "%s, %s, cut after %zu bytes: complete=%d status=%d", heads[i].name,
	    method, len, ended.result.is_complete, ended.result.http_status);
	cr_expect(ended.result.verdict != AT_VERDICT_RAN &&
		      ended.result.reason != AT_REASON_NONE,
	    "%s, %s, cut after %zu bytes", heads[i].name, method, len);
}

/* The client of all servers took a part of a head for an empty response. */
Test(cut_heads, are_no_responses, .timeout = 120)
{
	static const char *const methods[] = {"GET", "POST", "HEAD"};
	entry_fixture_t *fixture = entry_fixture_new();
	raw_server_t server;
	size_t i;
	size_t k;
	size_t len;

	raw_server_init(&server, fixture->loop);
	for (i = 0; i < sizeof(heads) / sizeof(heads[0]); i++) {
		for (k = 0; k < sizeof(methods) / sizeof(methods[0]); k++) {
			for (len = 0; len < strlen(heads[i].head) - 1; len++)
				run_head(fixture, &server, i, len, methods[k]);
		}
	}
	raw_server_close(&server);
	entry_fixture_delete(fixture);
}

#define ID "request-1"
/* A stream that another server begins, and breaks off. */
#define BEGUN_EVENTS 200u
#define BEGUN_GAP_MS 20u
#define RELAYED_TRIES_MAX 50
#define SIGNED WIRE_REQUEST_ID ": " ID "\r\n" WIRE_SIGNATURE ": sig\r\n"

/* Requests of callers, and the response that their server does not finish. */
typedef struct form {
	const char *name;
	const char *target;
	const char *key;
	const char *model; /* NULL: of the plain service */
	const char *resumes;
	int goes_on; /* another server has begun the stream */
	const char *head;
} form_t;

#define LENGTH_HEAD "HTTP/1.1 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\n"
#define PLAIN_HEAD "HTTP/1.1 200 OK\r\n" SIGNED "X-A: b\r\n\r\n"
#define STREAM_HEAD                                              \
	"HTTP/1.1 200 OK\r\n" SIGNED                             \
	"Content-Type: text/event-stream\r\nTransfer-Encoding: " \
	"chunked\r\n\r\n"

static const form_t request_forms[] = {
    {"safe", "/safe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0, LENGTH_HEAD},
    {"safe, no length", "/safe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0,
	PLAIN_HEAD},
    {"unsafe", "/unsafe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0, LENGTH_HEAD},
    {"unsafe, no length", "/unsafe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0,
	PLAIN_HEAD},
    {"unsafe, not modified", "/unsafe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0,
	"HTTP/1.1 304 No\r\n" SIGNED "\r\n"},
    {"unsafe, a refusal", "/unsafe/x", ENTRY_FIXTURE_KEY, NULL, NULL, 0,
	"HTTP/1.1 503 No\r\n" SIGNED WIRE_NOT_RUN ": 1\r\n\r\n"},
    {"stream that may not be resumed", "/once/x", ENTRY_FIXTURE_KEY, "m0", NULL,
	0, STREAM_HEAD},
    {"stream", "/stream/x", ENTRY_FIXTURE_KEY, "m0", NULL, 0, STREAM_HEAD},
    {"stream, no length", "/stream/x", ENTRY_FIXTURE_KEY, "m0", NULL, 0,
	"HTTP/1.1 200 OK\r\n" SIGNED "Content-Type: text/event-stream\r\n\r\n"},
    {"resumed stream", "/stream/x", ENTRY_FIXTURE_KEY, "m0", "earlier", 0,
	STREAM_HEAD},
    {"stream that another server has begun", "/stream/x", ENTRY_FIXTURE_KEY,
	"m0", NULL, 1, STREAM_HEAD},
};

typedef struct world {
	entry_fixture_t *fixture;
	links_t *links;
	raw_server_t raw;
} world_t;

static void
list_raw_server(world_t *world, const char *model)
{
	standin_store_put(world->fixture->store, WIRE_KIND_SERVERS, "raw",
	    standin_server_spec(model == NULL ? "plain" : "llm",
		world->raw.address, "north", ENTRY_FIXTURE_VERSION, model, 0,
		1));
}

static int
knows_raw_server(void *ctx)
{
	const world_t *world = ctx;
	size_t i;

	for (i = 0; i < world->fixture->entry_count; i++) {
		if (at_fleet_find(world->fixture->entries[i]->fleet,
			at_tag_from_text("raw")) == NULL)
			return 0;
	}
	return 1;
}

static int
is_response_done(void *ctx)
{
	return ((entry_fixture_response_t *)ctx)->done;
}

/* Until the first instance passes its requests on through the second one. */
static void
cut_first_instance(world_t *world, const form_t *form)
{
	static const char answer[] =
	    "HTTP/1.1 200 OK\r\n" WIRE_REQUEST_ID ": before\r\n" WIRE_SIGNATURE
	    ": sig\r\nContent-Length: 0\r\n\r\n";
	const entry_fixture_request_t before = {"POST",
	    form->model == NULL ? "/safe/x" : "/once/x", "before",
	    ENTRY_FIXTURE_KEY, form->model, "body"};
	entry_fixture_response_t response;
	int tries = 0;
	int status;

	world->raw.bytes = answer;
	world->raw.len = strlen(answer);
	links_add_server(world->links, world->raw.address);
	links_set(world->links, 0, LINKS_RESET);
	do {
		entry_fixture_call(world->fixture, 0, &before, &response);
		status = response.status;
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(world->fixture, 100);
	} while (status != 200 && ++tries < RELAYED_TRIES_MAX);
	cr_assert_eq(status, 200, "%d", status);
	world->raw.responses = 0;
}

static void
world_init(world_t *world, const form_t *form, int is_relayed)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	world->fixture = fixture;
	raw_server_init(&world->raw, fixture->loop);
	entry_fixture_apply_config(fixture, 1);
	if (form->goes_on) {
		i = entry_fixture_add_engine(fixture, form->model);
		standin_server_set_events(
		    fixture->servers[i], BEGUN_EVENTS, BEGUN_GAP_MS);
	}
	for (i = 0; i < (is_relayed ? 2u : 1u); i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	world->links = links_new(fixture);
	/* A stream begins at the other server, the only one. */
	if (!form->goes_on) {
		list_raw_server(world, form->model);
		entry_fixture_run_until(fixture, knows_raw_server, world);
	}
	if (is_relayed)
		cut_first_instance(world, form);
}

static void
world_free(world_t *world)
{
	raw_server_close(&world->raw);
	entry_fixture_delete(world->fixture);
	links_delete(world->links);
}

static void
check_response(const form_t *form, const char *via, size_t len, raw_end_t end,
    const entry_fixture_response_t *response)
{
	int is_whole = response->status == 200 && response->is_complete;

	cr_expect(!is_whole,
	    "%s, %s, %s after %zu bytes: 200 with a body of %zu bytes",
	    form->name, via, end == RAW_RESET ? "reset" : "closed", len,
	    response->len);
	/* It may have run, and no part of the head is passed on. */
	cr_expect(form->goes_on || response->status == 502 ||
		      response->status == 504 || response->status == 0,
	    "%s, %s, after %zu bytes: status %d", form->name, via, len,
	    response->status);
	cr_expect_str_empty(form->goes_on ? "" : response->signature,
	    "%s, %s, after %zu bytes", form->name, via, len);
}

static int
has_begun(void *ctx)
{
	const entry_fixture_response_t *response = ctx;

	return response->done || response->len > 0;
}

static void
run_form(const form_t *form, int is_relayed, raw_end_t end, uint32_t percent)
{
	const entry_fixture_request_t request = {
	    "POST", form->target, ID, form->key, form->model, "body"};
	const char *via = is_relayed ? "relayed" : "direct";
	entry_fixture_response_t response;
	world_t world;

	world_init(&world, form, is_relayed);
	world.raw.bytes = form->head;
	world.raw.len = (strlen(form->head) - 1u) * percent / 100u;
	world.raw.end = end;
	entry_fixture_send_resumed(world.fixture, 0, &request, form->resumes,
	    form->resumes == NULL ? NULL : "1", &response);
	if (form->goes_on) {
		entry_fixture_run_until(world.fixture, has_begun, &response);
		list_raw_server(&world, form->model);
		entry_fixture_run_until(
		    world.fixture, knows_raw_server, &world);
		standin_server_faults(world.fixture->servers[0])
		    ->truncate_after = BEGUN_EVENTS / 2;
	}
	entry_fixture_run_until(world.fixture, is_response_done, &response);
	check_response(form, via, world.raw.len, end, &response);
	cr_expect(world.raw.responses > 0, "%s, %s: not sent", form->name, via);
	entry_fixture_response_free(&response);
	world_free(&world);
}

/* In percent of the head without its last byte. */
static const uint32_t cuts[] = {0, 40, 80, 100};

/* Callers got a 200 with an empty body, framed as whole (MIXED, ORDER). */
Test(cut_heads, are_no_whole_answers, .timeout = 120)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(request_forms) / sizeof(request_forms[0]); i++) {
		for (k = 0; k < sizeof(cuts) / sizeof(cuts[0]); k++)
			run_form(&request_forms[i], 0, RAW_CLOSE, cuts[k]);
		run_form(&request_forms[i], 0, RAW_RESET, 100);
	}
}

/* The same through another instance. */
Test(cut_heads, are_no_whole_answers_when_relayed, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(request_forms) / sizeof(request_forms[0]); i++) {
		if (request_forms[i].goes_on)
			continue;
		run_form(&request_forms[i], 1, RAW_CLOSE, 60);
		run_form(&request_forms[i], 1, RAW_CLOSE, 100);
	}
}

/* The same at almondthreadd, also for charges with a key. */
static const struct {
	const char *name;
	const char *method;
	const char *path;
	const char *header;
	const char *body;
} daemon_forms[] = {
    {"repeatable", "GET", "/slots", NULL, NULL},
    {"charge with a key", "POST", "/charges", "Idempotency-Key: row", "{}"},
    {"charge without a key", "POST", "/charges", NULL, "{}"},
};

typedef struct moved {
	const fixture_t *fixture;
	const char *address;
} moved_t;

static int
knows_address(void *ctx)
{
	const moved_t *moved = ctx;
	const at_backend_t *backend =
	    at_backends_find(moved->fixture->nodes[0]->backends, "s1");

	return backend != NULL &&
	       strcmp(backend->instance.address, moved->address) == 0;
}

static void
run_daemon_form(size_t i, uint32_t percent)
{
	static const char head[] = "HTTP/1.1 200 OK\r\nContent-Type: "
				   "application/json\r\nContent-Length: 2\r\n"
				   "\r\n";
	fixture_t *fixture = fault_fixture_new(NULL);
	fixture_response_t response;
	raw_server_t raw;
	moved_t moved = {fixture, raw.address};
	char body[256];

	raw_server_init(&raw, fixture->loop);
	raw.bytes = head;
	raw.len = (strlen(head) - 1u) * percent / 100u;
	(void)snprintf(body, sizeof(body),
	    "{\"kind\":\"service\",\"data_centre\":\"north\",\"service\":"
	    "\"desk\",\"address\":\"%s\"}",
	    raw.address);
	response = fixture_call(fixture, "PUT", fixture->platform_address,
	    "/v1/instances/s1", NULL, body);
	fixture_response_free(&response);
	cr_assert(fixture_run_until(fixture, knows_address, &moved, 12000));
	response = fault_fixture_call(fixture, daemon_forms[i].method,
	    daemon_forms[i].path, daemon_forms[i].header, daemon_forms[i].body);
	cr_expect_eq(response.status, 502, "%s, after %zu bytes: status %d",
	    daemon_forms[i].name, raw.len, response.status);
	cr_expect_gt(raw.responses, 0, "%s: not sent", daemon_forms[i].name);
	fixture_response_free(&response);
	raw_server_close(&raw);
	fixture_delete(fixture);
}

/* almondthreadd ended by itself: it had no response to check. */
Test(cut_heads, are_no_whole_answers_of_the_daemon, .timeout = 120)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(daemon_forms) / sizeof(daemon_forms[0]); i++) {
		for (k = 0; k < sizeof(cuts) / sizeof(cuts[0]); k++)
			run_daemon_form(i, cuts[k]);
	}
}
