/*
 * The interface for callers: each refusal has its documented status, reason and
 * verdict, and the instance serves the next request. Keys do not reach backend
 * servers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/address.h"
#include "support/fixture.h"

static fixture_t *fixture;
static char bearer[160];
static char config[2048];

static int
is_serving(void *ctx)
{
	at_node_t *node = ctx;
	at_backend_t *engine = at_backends_find(node->backends, "e1");

	return at_node_is_ready(node) && engine != NULL &&
	       engine->view.resident_count > 0;
}

static void
setup(void)
{
	char hash[65];
	const char *key = fixture_make_key("k1", hash);

	fixture = fixture_new();
	(void)fixture_add_engine(fixture, "e1", "north", "m1");
	(void)fixture_add_service(fixture, "s1", "north", "desk");
	(void)fixture_add_node(fixture, "n1", "north");
	(void)snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s", key);
	(void)snprintf(config, sizeof(config),
	    "{\"generation\":1,\"defaults\":{\"max_body_bytes\":4096},"
	    "\"data_centres\":[\"north\"],\"workspaces\":[{\"name\":\"w1\","
	    "\"rate_tokens_s\":1000000,\"burst_tokens\":1000000,\"keys\":["
	    "{\"id\":\"k1\",\"hash\":\"%s\"}]}],\"models\":[{\"name\":\"m1\","
	    "\"memory_mb\":10}],\"services\":[{\"name\":\"desk\"}],"
	    "\"routes\":[{\"path\":\"/slots\",\"method\":\"GET\",\"service\":"
	    "\"desk\",\"repeat\":\"repeatable\",\"open\":true},{\"path\":"
	    "\"/charges\",\"method\":\"POST\",\"service\":\"desk\","
	    "\"repeat\":\"once\"}]}",
	    hash);
	fixture_apply_config(fixture, config);
	cr_assert(
	    fixture_run_until(fixture, is_serving, fixture->nodes[0], 12000));
}

static void
teardown(void)
{
	fixture_delete(fixture);
}

typedef struct request_case {
	const char *method;
	const char *path;
	int with_key;
	const char *body;
	int status;
	const char *contains;
} request_case_t;

#define CHAT_PATH "/v1/chat/completions"
#define CHAT_BODY "{\"model\":\"m1\",\"max_tokens\":3,\"messages\":[]}"

static const request_case_t request_cases[] = {
    {"GET", "/v1/models", 1, NULL, 200, "\"id\":\"m1\""},
    {"GET", "/v1/models", 0, NULL, 401, "\"reason\":\"missing_key\""},
    {"POST", "/v1/models", 1, "{}", 405, "\"reason\":\"wrong_method\""},
    {"POST", CHAT_PATH, 1, CHAT_BODY, 200, "\"completion_tokens\":3"},
    {"POST", "/v1/completions", 1, CHAT_BODY, 200, "\"completion_tokens\":3"},
    {"POST", CHAT_PATH, 0, CHAT_BODY, 401, "\"verdict\":\"not_run\""},
    {"POST", CHAT_PATH, 1, "{", 400, "\"reason\":\"bad_json\""},
    {"POST", CHAT_PATH, 1, "[]", 400, "\"reason\":\"bad_json\""},
    {"POST", CHAT_PATH, 1, "{}", 400, "\"reason\":\"bad_request\""},
    {"POST", CHAT_PATH, 1, "{\"model\":\"no\"}", 404,
	"\"reason\":\"unknown_model\""},
    {"GET", CHAT_PATH, 1, NULL, 405, "\"reason\":\"wrong_method\""},
    {"GET", "/nowhere", 1, NULL, 404, "\"reason\":\"unknown_route\""},
    {"POST", "/slots", 1, "{}", 405, "\"reason\":\"wrong_method\""},
    {"GET", "/slots", 0, NULL, 200, "\"ok\":true"},
    {"POST", "/charges", 0, "{}", 401, "\"reason\":\"missing_key\""},
    {"POST", "/charges", 1, "{}", 200, "\"ok\":true"},
};

Test(entry, responds_to_each_case, .init = setup, .fini = teardown)
{
	const char *headers[] = {bearer, "Idempotency-Key: t1", NULL};
	size_t i;

	for (i = 0; i < sizeof(request_cases) / sizeof(request_cases[0]); i++) {
		const request_case_t *request_case = &request_cases[i];
		fixture_response_t response = fixture_call(fixture,
		    request_case->method, fixture->node_addresses[0],
		    request_case->path, request_case->with_key ? headers : NULL,
		    request_case->body);

		cr_assert_eq(response.status, request_case->status,
		    "case %zu: status %d: %s", i, response.status,
		    response.body);
		cr_assert(strstr(response.body, request_case->contains),
		    "case %zu: %s", i, response.body);
		fixture_response_free(&response);
	}
}

Test(entry, refuses_a_body_that_is_too_large, .init = setup, .fini = teardown)
{
	char *body = malloc(10001);
	fixture_response_t response;

	memset(body, 'x', 10000);
	body[10000] = '\0';
	response = fixture_call(
	    fixture, "POST", fixture->node_addresses[0], CHAT_PATH, NULL, body);
	cr_assert_eq(response.status, 413);
	cr_assert(strstr(response.body, "body_too_large"));
	fixture_response_free(&response);
	free(body);
	response = fixture_call(
	    fixture, "GET", fixture->node_addresses[0], "/slots", NULL, NULL);
	cr_assert_eq(response.status, 200);
	fixture_response_free(&response);
}

Test(entry, refuses_headers_that_are_too_large, .init = setup, .fini = teardown)
{
	char *header = malloc(20001);
	const char *headers[] = {header, NULL};
	fixture_response_t response;

	(void)snprintf(header, 20001, "X-Filler: %019980d", 0);
	response = fixture_call(fixture, "GET", fixture->node_addresses[0],
	    "/slots", headers, NULL);
	cr_assert_eq(response.status, 431);
	cr_assert(strstr(response.body, "\"reason\":\"header_too_large\""));
	fixture_response_free(&response);
	free(header);
	response = fixture_call(
	    fixture, "GET", fixture->node_addresses[0], "/slots", NULL, NULL);
	cr_assert_eq(response.status, 200);
	fixture_response_free(&response);
}

static int
is_body_timeout_counted(void *ctx)
{
	at_node_t *node = ctx;

	return at_counters_get(node->counters, "refusals_total", "reason",
		   "body_timeout") == 1;
}

Test(entry, closes_a_body_that_is_too_slow, .init = setup, .fini = teardown)
{
	static const char partial_request[] =
	    "POST /charges HTTP/1.1\r\nHost: x\r\nContent-Length: 10\r\n\r\nab";
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	char byte;

	at_httpd_set_body_timeout(fixture->nodes[0]->callers, 50);
	cr_assert_eq(at_address_parse(fixture->node_addresses[0], &addr), 0);
	cr_assert_eq(connect(fd, (struct sockaddr *)&addr, sizeof(addr)), 0);
	cr_assert_eq(send(fd, partial_request, sizeof(partial_request) - 1, 0),
	    (ssize_t)sizeof(partial_request) - 1);
	fixture_run_ms(fixture, 200);
	cr_assert_eq(send(fd, "c", 1, 0), 1);
	cr_assert(fixture_run_until(
	    fixture, is_body_timeout_counted, fixture->nodes[0], 5000));
	cr_assert_leq(recv(fd, &byte, 1, 0), 0);
	(void)close(fd);
}

Test(entry, no_backend_server_sees_a_key, .init = setup, .fini = teardown)
{
	const char *headers[] = {bearer, NULL};
	const char *key_secret = "0123456789abcdef";
	const char *log_paths[] = {"/control/seen", "/control/log"};
	size_t i;

	for (i = 0; i < 2; i++) {
		fixture_response_t response =
		    fixture_call(fixture, "POST", fixture->node_addresses[0],
			i == 0 ? CHAT_PATH : "/charges", headers, CHAT_BODY);

		cr_assert_eq(response.status, 200);
		fixture_response_free(&response);
		response = fixture_call(fixture, "GET",
		    i == 0 ? fixture->engine_addresses[0]
			   : fixture->service_addresses[0],
		    log_paths[i], NULL, NULL);
		cr_assert(strstr(response.body, "X-Request-Id"));
		cr_assert_null(
		    strstr(response.body, key_secret), "%s", response.body);
		cr_assert_null(
		    strstr(response.body, "Bearer"), "%s", response.body);
		fixture_response_free(&response);
	}
}
