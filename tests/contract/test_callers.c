/*
 * Callers that close their connection or read slowly, and instances and backend
 * servers that stop under load. The tests guard against engines that go on for
 * a caller that has left, buffers that grow with a slow caller, and requests
 * that are cut off by a planned stop.
 */
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/address.h"
#include "support/fault_fixture.h"

/* Longest time from the caller's close until the engine has cancelled. */
#define CANCEL_LIMIT_MS 1000u
/* Stated target: a leaving engine gets no new requests after this time. */
#define LEAVING_LIMIT_MS 5000u
#define STREAM_COUNT 12 /* streams that are open at a planned stop */

#define LONG_STREAM                                             \
	"{\"model\":\"m1\",\"max_tokens\":400,\"stream\":true," \
	"\"messages\":[]}"
#define LONG_CHAT "{\"model\":\"m1\",\"max_tokens\":9000,\"messages\":[]}"
#define STREAM_END "data: [DONE]"

static fixture_t *fixture;

static void
setup(void)
{
	fixture = fault_fixture_new(NULL);
}

static void
teardown(void)
{
	fixture_delete(fixture);
}

static int
has_body(void *ctx)
{
	return ((fixture_response_t *)ctx)->len > 0;
}

static int
is_request_running(void *ctx)
{
	(void)ctx;
	return fault_fixture_get_engine_field(fixture, "running") > 0;
}

static int
engine_has_cancelled(void *ctx)
{
	return fault_fixture_get_engine_field(fixture, "cancelled") >=
	       *(const uint64_t *)ctx;
}

typedef struct cancel_case {
	const char *body;
	int (*leave_when)(void *ctx); /* condition for closing */
} cancel_case_t;

static const cancel_case_t cancel_cases[] = {
    {LONG_STREAM, has_body},
    {LONG_CHAT, is_request_running},
};

Test(callers, leaving_cancel_the_engines_work, .init = setup, .fini = teardown)
{
	uint64_t i;

	for (i = 0; i < sizeof(cancel_cases) / sizeof(cancel_cases[0]); i++) {
		uint64_t expected = i + 1;
		fixture_response_t response;

		fault_fixture_send(fixture, &response, "POST",
		    FAULT_FIXTURE_CHAT_PATH, NULL, cancel_cases[i].body);
		cr_assert(fixture_run_until(fixture, cancel_cases[i].leave_when,
		    &response, FAULT_FIXTURE_CALL_TIMEOUT_MS));
		fixture_cancel(&response);
		cr_assert(fixture_run_until(fixture, engine_has_cancelled,
			      &expected, CANCEL_LIMIT_MS),
		    "case %llu: not cancelled within 1 s",
		    (unsigned long long)i);
		fixture_response_free(&response);
	}
	cr_assert_eq(fault_fixture_get_counter(
			 fixture, "refusals_total", "reason", "caller_gone"),
	    2);
	cr_assert_eq(fixture->nodes[0]->open_exchanges, 0);
}

static int
has_no_exchange(void *ctx)
{
	(void)ctx;
	return fixture->nodes[0]->open_exchanges == 0;
}

static int
has_one_exchange(void *ctx)
{
	(void)ctx;
	return fixture->nodes[0]->open_exchanges == 1;
}

Test(callers, leaving_do_not_stop_the_request, .init = setup, .fini = teardown)
{
	fixture_response_t response;

	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"delay_ms\":800}");
	fault_fixture_send(fixture, &response, "POST", "/charges",
	    "Idempotency-Key: g1", "{}");
	cr_assert(fixture_run_until(
	    fixture, has_one_exchange, NULL, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture_run_ms(fixture, 100);
	fixture_cancel(&response);
	cr_assert(fixture_run_until(
	    fixture, has_no_exchange, NULL, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(
	    fault_fixture_get_counter(fixture, "answers_total", NULL, NULL), 1);
	cr_assert_eq(fault_fixture_count_executions(fixture), 1);
}

/*
 * libmicrohttpd does not process a connection by itself after it was resumed.
 * Without an explicit run, a response that a timer sends would wait for the
 * next event on any socket.
 */
Test(callers, get_a_response_sent_by_a_timer, .init = setup, .fini = teardown)
{
	fixture_response_t delayed;

	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"delay_ms\":50}");
	delayed = fixture_call(fixture, "GET", fixture->service_addresses[0],
	    "/slots", NULL, NULL);
	cr_assert_eq(delayed.status, 200);
	fixture_response_free(&delayed);
}

/*
 * libmicrohttpd aborts the process if it is stopped while a connection is
 * suspended.
 */
Test(callers, are_disconnected_by_a_crashed_instance, .init = setup,
    .fini = teardown)
{
	fixture_response_t streamed;
	fixture_response_t buffered;

	fault_fixture_send(fixture, &streamed, "POST", FAULT_FIXTURE_CHAT_PATH,
	    NULL, LONG_STREAM);
	fault_fixture_send(fixture, &buffered, "POST", FAULT_FIXTURE_CHAT_PATH,
	    NULL, LONG_CHAT);
	cr_assert(fixture_run_until(
	    fixture, has_body, &streamed, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture_remove_node(fixture, 0);
	cr_assert(fixture_run_until(fixture, fault_fixture_is_done, &streamed,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert(fixture_run_until(fixture, fault_fixture_is_done, &buffered,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_not(streamed.is_complete);
	cr_assert_not(buffered.is_complete);
	cr_assert_null(strstr(streamed.body, STREAM_END));
	fixture_response_free(&streamed);
	fixture_response_free(&buffered);
}

static int
are_all_streaming(void *ctx)
{
	fixture_response_t *responses = ctx;
	int i;

	for (i = 0; i < STREAM_COUNT; i++) {
		if (responses[i].len == 0)
			return 0;
	}
	return 1;
}

static int
is_stopped(void *ctx)
{
	return ((at_node_t *)ctx)->state == AT_NODE_STOPPED;
}

Test(callers, are_served_during_a_planned_stop, .init = setup, .fini = teardown)
{
	fixture_response_t responses[STREAM_COUNT];
	at_node_t *node = fixture->nodes[0];
	fixture_response_t response;
	int i;

	for (i = 0; i < STREAM_COUNT; i++)
		fault_fixture_send(fixture, &responses[i], "POST",
		    FAULT_FIXTURE_CHAT_PATH, NULL, LONG_STREAM);
	cr_assert(fixture_run_until(fixture, are_all_streaming, responses,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	node->settings.drain_ms = 400;
	at_node_stop(node);
	/* The load balancer still sends requests until it sees /readyz. */
	response = fault_fixture_call(fixture, "POST", FAULT_FIXTURE_CHAT_PATH,
	    NULL, FAULT_FIXTURE_CHAT_STREAM);
	cr_assert_eq(response.status, 200);
	cr_assert(response.is_complete && strstr(response.body, STREAM_END));
	fixture_response_free(&response);
	response = fixture_call(fixture, "GET", fixture->operator_addresses[0],
	    "/readyz", NULL, NULL);
	cr_assert_eq(response.status, 503);
	fixture_response_free(&response);
	for (i = 0; i < STREAM_COUNT; i++) {
		cr_assert(fixture_run_until(fixture, fault_fixture_is_done,
		    &responses[i], FAULT_FIXTURE_CALL_TIMEOUT_MS));
		cr_assert(
		    responses[i].is_complete, "stream %d is not complete", i);
		cr_assert(strstr(responses[i].body, STREAM_END),
		    "stream %d has no end", i);
		fixture_response_free(&responses[i]);
	}
	cr_assert(fixture_run_until(
	    fixture, is_stopped, node, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(node->open_exchanges, 0);
}

/*
 * Most bytes of one stream that an instance buffers: the mark at which it stops
 * reading from the engine, and the two blocks of 16 KiB that one call of
 * libcurl may deliver after that.
 */
#define STREAM_BYTES_MAX (AT_HTTPD_HIGH_WATER_BYTES + 2 * 16u * 1024)
#define LARGE_STREAM                                              \
	"{\"model\":\"m1\",\"max_tokens\":60000,\"stream\":true," \
	"\"messages\":[]}"

/* A caller that reads only while is_reading is set. */
typedef struct slow_caller {
	int fd;
	int is_reading;
	size_t buffered_max; /* most bytes buffered for it */
} slow_caller_t;

static void
slow_caller_open(slow_caller_t *slow_caller)
{
	struct sockaddr_in addr;
	char hash[65];
	char text[512];
	int size = 4096;
	int len;

	slow_caller->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	cr_assert_eq(at_address_parse(fixture->node_addresses[0], &addr), 0);
	(void)setsockopt(
	    slow_caller->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	cr_assert_eq(connect(slow_caller->fd, (const struct sockaddr *)&addr,
			 sizeof(addr)),
	    0);
	len = snprintf(text, sizeof(text),
	    "POST " FAULT_FIXTURE_CHAT_PATH " HTTP/1.1\r\nHost: n1\r\n"
	    "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n%s",
	    fixture_make_key("k1", hash), strlen(LARGE_STREAM), LARGE_STREAM);
	cr_assert_eq(send(slow_caller->fd, text, (size_t)len, 0), len);
}

static void
slow_caller_poll(slow_caller_t *slow_caller)
{
	static char block[65536];
	size_t buffered = at_httpd_buffered_bytes(fixture->nodes[0]->callers);

	if (buffered > slow_caller->buffered_max)
		slow_caller->buffered_max = buffered;
	if (!slow_caller->is_reading)
		return;
	while (recv(slow_caller->fd, block, sizeof(block), MSG_DONTWAIT) > 0)
		;
}

static int
is_paused(void *ctx)
{
	slow_caller_poll(ctx);
	return ((slow_caller_t *)ctx)->buffered_max >=
	       AT_HTTPD_HIGH_WATER_BYTES;
}

static int
poll_without_reading(void *ctx)
{
	slow_caller_poll(ctx);
	return 0;
}

static int
has_read_all(void *ctx)
{
	slow_caller_poll(ctx);
	return fixture->nodes[0]->open_exchanges == 0;
}

Test(callers, reading_slowly_pause_only_their_own_stream, .init = setup,
    .fini = teardown)
{
	slow_caller_t slow_caller = {0};

	fixture_set_faults(
	    fixture, fixture->engine_addresses[0], "{\"token_us\":1}");
	slow_caller_open(&slow_caller);
	cr_assert(fixture_run_until(
	    fixture, is_paused, &slow_caller, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	(void)fixture_run_until(
	    fixture, poll_without_reading, &slow_caller, 300);
	cr_assert_eq(fault_fixture_get_engine_field(fixture, "cancelled"), 0);
	slow_caller.is_reading = 1;
	cr_assert(fixture_run_until(fixture, has_read_all, &slow_caller,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(
	    fault_fixture_get_counter(fixture, "answers_total", NULL, NULL), 1);
	cr_assert_leq(slow_caller.buffered_max, STREAM_BYTES_MAX,
	    "%zu bytes buffered", slow_caller.buffered_max);
	(void)close(slow_caller.fd);
}

/* A caller that sends one request after the other on one connection. */
typedef struct repeat_caller {
	at_httpc_t *httpc;
	uint32_t complete;
	uint32_t incomplete; /* neither complete nor not run */
	uint32_t not_run;    /* nothing of the request was sent */
	int is_open;
} repeat_caller_t;

static void
on_request_done(void *ctx, const at_transfer_result_t *result)
{
	repeat_caller_t *caller = ctx;

	caller->is_open = 0;
	if (result->is_complete && result->http_status == 200)
		caller->complete++;
	else if (result->verdict == AT_VERDICT_NOT_RUN)
		caller->not_run++;
	else
		caller->incomplete++;
}

static void
send_next_request(repeat_caller_t *caller)
{
	char url[128];
	const at_transfer_spec_t spec = {
	    .method = "GET", .url = url, .forbid_resend = 1};
	const at_transfer_events_t events = {
	    .on_done = on_request_done, .ctx = caller};

	if (caller->is_open || caller->not_run > 0)
		return;
	(void)snprintf(
	    url, sizeof(url), "http://%s/slots", fixture->node_addresses[0]);
	caller->is_open = 1;
	cr_assert_not_null(at_httpc_start(caller->httpc, &spec, &events));
}

static int
is_stopped_under_requests(void *ctx)
{
	send_next_request(ctx);
	return is_stopped(fixture->nodes[0]);
}

static int
has_five_responses(void *ctx)
{
	repeat_caller_t *caller = ctx;

	send_next_request(caller);
	return caller->complete >= 5;
}

Test(
    callers, are_not_reset_on_kept_connections, .init = setup, .fini = teardown)
{
	repeat_caller_t caller = {.httpc = at_httpc_new(fixture->loop)};

	cr_assert(fixture_run_until(fixture, has_five_responses, &caller,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture->nodes[0]->settings.drain_ms = 400;
	at_node_stop(fixture->nodes[0]);
	cr_assert(fixture_run_until(fixture, is_stopped_under_requests, &caller,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(caller.incomplete, 0);
	cr_assert_gt(caller.complete, 5);
	at_httpc_delete(caller.httpc);
}

static int
is_leaving(void *ctx)
{
	(void)ctx;
	return at_backends_find(fixture->nodes[0]->backends, "e1")
	    ->instance.is_leaving;
}

Test(callers, keep_streams_of_leaving_engines, .init = setup, .fini = teardown)
{
	char body[256];
	fixture_response_t stream;
	fixture_response_t last_response;
	uint64_t before;

	fault_fixture_send(fixture, &stream, "POST", FAULT_FIXTURE_CHAT_PATH,
	    NULL, LONG_STREAM);
	cr_assert(fixture_run_until(
	    fixture, has_body, &stream, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	(void)snprintf(body, sizeof(body),
	    "{\"kind\":\"engine\",\"data_centre\":\"north\",\"address\":\"%s\","
	    "\"leaving\":true}",
	    fixture->engine_addresses[0]);
	last_response = fixture_call(fixture, "PUT", fixture->platform_address,
	    "/v1/instances/e1", NULL, body);
	fixture_response_free(&last_response);
	cr_assert(
	    fixture_run_until(fixture, is_leaving, NULL, LEAVING_LIMIT_MS));
	before = fault_fixture_get_engine_field(fixture, "executions");
	last_response = fault_fixture_call(fixture, "POST",
	    FAULT_FIXTURE_CHAT_PATH, NULL, FAULT_FIXTURE_CHAT_STREAM);
	cr_assert_eq(last_response.status, 503);
	cr_assert(strstr(last_response.body, "\"reason\":\"no_backend\""), "%s",
	    last_response.body);
	cr_assert(strstr(last_response.body, "\"verdict\":\"not_run\""), "%s",
	    last_response.body);
	fixture_response_free(&last_response);
	cr_assert_eq(
	    fault_fixture_get_engine_field(fixture, "executions"), before);
	cr_assert(fixture_run_until(fixture, fault_fixture_is_done, &stream,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert(stream.is_complete && strstr(stream.body, STREAM_END));
	fixture_response_free(&stream);
}
