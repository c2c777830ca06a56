/*
 * Callers that leave or read slowly, and instances and backend servers that
 * leave under load.
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

#define CANCEL_MS 1000u  /* an engine's stream ends after its caller left */
#define LEAVING_MS 5000u /* no new work after the list says so */
#define LOAD 12          /* streams open at a stop */

#define LONG_STREAM                                             \
	"{\"model\":\"m1\",\"max_tokens\":400,\"stream\":true," \
	"\"messages\":[]}"
#define LONG_WHOLE "{\"model\":\"m1\",\"max_tokens\":9000,\"messages\":[]}"
#define DONE "data: [DONE]"

static fixture_t *f;

static void
setup(void)
{
	f = fault_fixture_new(NULL);
}

static void
teardown(void)
{
	fixture_delete(f);
}

static int
has_body(void *ctx)
{
	return ((fixture_response_t *)ctx)->len > 0;
}

static int
engine_runs(void *ctx)
{
	(void)ctx;
	return fault_fixture_get_engine_field(f, "running") > 0;
}

static int
engine_cancelled(void *ctx)
{
	return fault_fixture_get_engine_field(f, "cancelled") >=
	       *(const uint64_t *)ctx;
}

typedef struct gone_row {
	const char *body;
	int (*until)(void *ctx); /* when the caller leaves */
} gone_row_t;

static const gone_row_t gone[] = {
    {LONG_STREAM, has_body},
    {LONG_WHOLE, engine_runs},
};

Test(callers, that_leave_end_the_engines_work, .init = setup, .fini = teardown)
{
	uint64_t i;

	for (i = 0; i < sizeof(gone) / sizeof(gone[0]); i++) {
		uint64_t expected = i + 1;
		fixture_response_t a;

		fault_fixture_send(
		    f, &a, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, gone[i].body);
		cr_assert(fixture_run_until(
		    f, gone[i].until, &a, FAULT_FIXTURE_CALL_TIMEOUT_MS));
		fixture_cancel(&a);
		cr_assert(fixture_run_until(
			      f, engine_cancelled, &expected, CANCEL_MS),
		    "row %llu: not cancelled within a second",
		    (unsigned long long)i);
		fixture_response_free(&a);
	}
	cr_assert_eq(fault_fixture_get_counter(
			 f, "refusals_total", "reason", "caller_gone"),
	    2);
	cr_assert_eq(f->nodes[0]->open_exchanges, 0);
}

static int
no_exchange(void *ctx)
{
	(void)ctx;
	return f->nodes[0]->open_exchanges == 0;
}

static int
one_exchange(void *ctx)
{
	(void)ctx;
	return f->nodes[0]->open_exchanges == 1;
}

Test(callers, that_leave_do_not_stop_a_charge, .init = setup, .fini = teardown)
{
	fixture_response_t a;

	fixture_set_faults(f, f->service_addresses[0], "{\"delay_ms\":800}");
	fault_fixture_send(
	    f, &a, "POST", "/charges", "Idempotency-Key: g1", "{}");
	cr_assert(fixture_run_until(
	    f, one_exchange, NULL, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture_run_ms(f, 100);
	fixture_cancel(&a);
	cr_assert(fixture_run_until(
	    f, no_exchange, NULL, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(
	    fault_fixture_get_counter(f, "answers_total", NULL, NULL), 1);
	cr_assert_eq(fault_fixture_count_executions(f), 1);
}

/*
 * The library does not run by itself after a resume: an answer that comes
 * from a timer would wait for the next event on some socket.
 */
Test(callers, get_an_answer_that_a_timer_made, .init = setup, .fini = teardown)
{
	fixture_response_t a;

	fixture_set_faults(f, f->service_addresses[0], "{\"delay_ms\":50}");
	a = fixture_call(
	    f, "GET", f->service_addresses[0], "/slots", NULL, NULL);
	cr_assert_eq(a.status, 200);
	fixture_response_free(&a);
}

/* Stopping the library with a suspended connection would abort us. */
Test(callers, lose_an_instance_that_dies_without_more, .init = setup,
    .fini = teardown)
{
	fixture_response_t streaming;
	fixture_response_t waiting;

	fault_fixture_send(
	    f, &streaming, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, LONG_STREAM);
	fault_fixture_send(
	    f, &waiting, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, LONG_WHOLE);
	cr_assert(fixture_run_until(
	    f, has_body, &streaming, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture_remove_node(f, 0);
	cr_assert(fixture_run_until(f, fault_fixture_is_done, &streaming,
	    FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert(fixture_run_until(
	    f, fault_fixture_is_done, &waiting, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_not(streaming.is_complete);
	cr_assert_not(waiting.is_complete);
	cr_assert_null(strstr(streaming.body, DONE));
	fixture_response_free(&streaming);
	fixture_response_free(&waiting);
}

static int
all_streaming(void *ctx)
{
	fixture_response_t *responses = ctx;
	int i;

	for (i = 0; i < LOAD; i++) {
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

Test(callers, lose_nothing_at_a_planned_stop, .init = setup, .fini = teardown)
{
	fixture_response_t responses[LOAD];
	at_node_t *node = f->nodes[0];
	fixture_response_t late;
	int i;

	for (i = 0; i < LOAD; i++)
		fault_fixture_send(f, &responses[i], "POST",
		    FAULT_FIXTURE_CHAT_PATH, NULL, LONG_STREAM);
	cr_assert(fixture_run_until(
	    f, all_streaming, responses, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	node->settings.drain_ms = 400;
	at_node_stop(node);
	/* The balancer has not looked elsewhere yet. */
	late = fault_fixture_call(f, "POST", FAULT_FIXTURE_CHAT_PATH, NULL,
	    FAULT_FIXTURE_CHAT_STREAM);
	cr_assert_eq(late.status, 200);
	cr_assert(late.is_complete && strstr(late.body, DONE));
	fixture_response_free(&late);
	late = fixture_call(
	    f, "GET", f->operator_addresses[0], "/readyz", NULL, NULL);
	cr_assert_eq(late.status, 503);
	fixture_response_free(&late);
	for (i = 0; i < LOAD; i++) {
		cr_assert(fixture_run_until(f, fault_fixture_is_done,
		    &responses[i], FAULT_FIXTURE_CALL_TIMEOUT_MS));
		cr_assert(responses[i].is_complete, "stream %d was cut", i);
		cr_assert(strstr(responses[i].body, DONE), "stream %d", i);
		fixture_response_free(&responses[i]);
	}
	cr_assert(fixture_run_until(
	    f, is_stopped, node, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(node->open_exchanges, 0);
}

/*
 * Bytes of one stream in an instance: the mark at which reading stops, and
 * what one call of the library may add after it.
 */
#define STREAM_BYTES_MAX (AT_HTTPD_HIGH_WATER_BYTES + 2 * 16u * 1024)
#define FLOOD                                                     \
	"{\"model\":\"m1\",\"max_tokens\":60000,\"stream\":true," \
	"\"messages\":[]}"

/* A caller that reads nothing until it is told to. */
typedef struct slow {
	int fd;
	int reads;
	size_t most; /* bytes held for it at any time */
} slow_t;

static void
slow_open(slow_t *slow)
{
	struct sockaddr_in addr;
	char hash[65];
	char text[512];
	int size = 4096;
	int len;

	slow->fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	cr_assert_eq(at_address_parse(f->node_addresses[0], &addr), 0);
	(void)setsockopt(slow->fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	cr_assert_eq(
	    connect(slow->fd, (const struct sockaddr *)&addr, sizeof(addr)), 0);
	len = snprintf(text, sizeof(text),
	    "POST " FAULT_FIXTURE_CHAT_PATH " HTTP/1.1\r\nHost: n1\r\n"
	    "Authorization: Bearer %s\r\nContent-Length: %zu\r\n\r\n%s",
	    fixture_make_key("k1", hash), strlen(FLOOD), FLOOD);
	cr_assert_eq(send(slow->fd, text, (size_t)len, 0), len);
}

static void
slow_look(slow_t *slow)
{
	static char block[65536];
	size_t held = at_httpd_buffered_bytes(f->nodes[0]->callers);

	if (held > slow->most)
		slow->most = held;
	if (!slow->reads)
		return;
	while (recv(slow->fd, block, sizeof(block), MSG_DONTWAIT) > 0)
		;
}

static int
is_paused(void *ctx)
{
	slow_look(ctx);
	return ((slow_t *)ctx)->most >= AT_HTTPD_HIGH_WATER_BYTES;
}

static int
looked_only(void *ctx)
{
	slow_look(ctx);
	return 0;
}

static int
has_read_all(void *ctx)
{
	slow_look(ctx);
	return f->nodes[0]->open_exchanges == 0;
}

Test(callers, that_read_slowly_hold_up_only_themselves, .init = setup,
    .fini = teardown)
{
	slow_t slow = {0};

	fixture_set_faults(f, f->engine_addresses[0], "{\"token_us\":1}");
	slow_open(&slow);
	cr_assert(fixture_run_until(
	    f, is_paused, &slow, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	(void)fixture_run_until(f, looked_only, &slow, 300);
	cr_assert_eq(fault_fixture_get_engine_field(f, "cancelled"), 0);
	slow.reads = 1;
	cr_assert(fixture_run_until(
	    f, has_read_all, &slow, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(
	    fault_fixture_get_counter(f, "answers_total", NULL, NULL), 1);
	cr_assert_leq(slow.most, STREAM_BYTES_MAX, "%zu bytes", slow.most);
	(void)close(slow.fd);
}

/* One caller on one connection, one request after the other. */
typedef struct keeper {
	at_httpc_t *httpc;
	uint32_t answered;
	uint32_t cut;     /* ended in any way but whole or unsent */
	uint32_t refused; /* nothing of the request left the caller */
	int open;
} keeper_t;

static void
on_kept(void *ctx, const at_transfer_result_t *result)
{
	keeper_t *k = ctx;

	k->open = 0;
	if (result->is_complete && result->http_status == 200)
		k->answered++;
	else if (result->verdict == AT_VERDICT_NOT_RUN)
		k->refused++;
	else
		k->cut++;
}

static void
keep_asking(keeper_t *k)
{
	char url[128];
	const at_transfer_spec_t spec = {
	    .method = "GET", .url = url, .forbid_resend = 1};
	const at_transfer_events_t events = {.on_done = on_kept, .ctx = k};

	if (k->open || k->refused > 0)
		return;
	(void)snprintf(
	    url, sizeof(url), "http://%s/slots", f->node_addresses[0]);
	k->open = 1;
	cr_assert_not_null(at_httpc_start(k->httpc, &spec, &events));
}

static int
stopped_while_asking(void *ctx)
{
	keep_asking(ctx);
	return is_stopped(f->nodes[0]);
}

static int
asked_often(void *ctx)
{
	keeper_t *k = ctx;

	keep_asking(k);
	return k->answered >= 5;
}

Test(callers, that_keep_a_connection_are_not_reset, .init = setup,
    .fini = teardown)
{
	keeper_t k = {.httpc = at_httpc_new(f->loop)};

	cr_assert(fixture_run_until(
	    f, asked_often, &k, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	f->nodes[0]->settings.drain_ms = 400;
	at_node_stop(f->nodes[0]);
	cr_assert(fixture_run_until(
	    f, stopped_while_asking, &k, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert_eq(k.cut, 0);
	cr_assert_gt(k.answered, 5);
	at_httpc_delete(k.httpc);
}

static int
is_leaving(void *ctx)
{
	(void)ctx;
	return at_backends_find(f->nodes[0]->backends, "e1")
	    ->instance.is_leaving;
}

Test(callers, see_no_cut_when_an_engine_leaves, .init = setup, .fini = teardown)
{
	char body[256];
	fixture_response_t stream;
	fixture_response_t a;
	uint64_t before;

	fault_fixture_send(
	    f, &stream, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, LONG_STREAM);
	cr_assert(fixture_run_until(
	    f, has_body, &stream, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	(void)snprintf(body, sizeof(body),
	    "{\"kind\":\"engine\",\"data_centre\":\"north\",\"address\":\"%s\","
	    "\"leaving\":true}",
	    f->engine_addresses[0]);
	a = fixture_call(
	    f, "PUT", f->platform_address, "/v1/instances/e1", NULL, body);
	fixture_response_free(&a);
	cr_assert(fixture_run_until(f, is_leaving, NULL, LEAVING_MS));
	before = fault_fixture_get_engine_field(f, "executions");
	a = fault_fixture_call(f, "POST", FAULT_FIXTURE_CHAT_PATH, NULL,
	    FAULT_FIXTURE_CHAT_STREAM);
	cr_assert_eq(a.status, 503);
	cr_assert(strstr(a.body, "\"reason\":\"no_backend\""), "%s", a.body);
	cr_assert(strstr(a.body, "\"verdict\":\"not_run\""), "%s", a.body);
	fixture_response_free(&a);
	cr_assert_eq(fault_fixture_get_engine_field(f, "executions"), before);
	cr_assert(fixture_run_until(
	    f, fault_fixture_is_done, &stream, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	cr_assert(stream.is_complete && strstr(stream.body, DONE));
	fixture_response_free(&stream);
}
