/*
 * Entry instances on the users' platform, against stand-ins of the store and
 * the backend servers: what the caller and the backend server get of a request,
 * how a request ends under faults, and how instances follow the store.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "entry/call/call.h"
#include "entry/peers/gossip_impl.h"
#include "entry/store/sync.h"
#include "io/address.h"
#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

/* Time to stop sending to a server that has left. */
#define DRAIN_MS 2000
#define THREE_EVENTS                                          \
	"id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: " \
	"e3\n\n"

static const entry_fixture_request_t safe = {
    "GET", "/safe/a%2Fb?x=1", "id-1", ENTRY_FIXTURE_KEY, NULL, NULL};
static const entry_fixture_request_t unsafe = {
    "POST", "/unsafe/pay", "id-2", ENTRY_FIXTURE_KEY, NULL, "{\"pay\":1}"};
static const entry_fixture_request_t streamed = {
    "POST", "/stream/x", "id-3", ENTRY_FIXTURE_KEY, "m0", "prompt"};
static const entry_fixture_request_t once = {
    "POST", "/once/x", "id-4", ENTRY_FIXTURE_KEY, "m0", "prompt"};

/* Starts one entry instance, two servers of "plain" and two engines. */
static entry_fixture_t *
make_fixture(void)
{
	entry_fixture_t *fixture = entry_fixture_new();

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_engine(fixture, "m0");
	(void)entry_fixture_add_engine(fixture, "m0");
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	return fixture;
}

static uint64_t
count_runs(const entry_fixture_t *fixture)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		sum += standin_server_run_count(fixture->servers[i]);
	return sum;
}

/* Returns the last request of the first backend server that got one. */
static const char *
find_last_request(const entry_fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < fixture->server_count; i++) {
		const char *last =
		    standin_server_last_request(fixture->servers[i]);

		if (last[0] != '\0')
			return last;
	}
	return "";
}

/*
 * Sets a fault that all backend servers share; together they have it this many
 * times. offset is that of the field in standin_faults_t.
 */
static void
set_fault(entry_fixture_t *fixture, size_t offset, uint32_t times)
{
	size_t i;

	for (i = 1; i < fixture->server_count; i++)
		standin_server_share_faults(
		    fixture->servers[i], fixture->servers[0]);
	memcpy((char *)standin_server_faults(fixture->servers[0]) + offset,
	    &times, sizeof(times));
}

static int
has_prefix(const char *text, const char *prefix)
{
	return strstr(text, prefix) == text;
}

Test(entry_path, forwards_requests_unchanged)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	entry_fixture_call(fixture, 0, &unsafe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_str_eq(response.body, "done");
	cr_assert_str_neq(response.signature, "");
	cr_assert(has_prefix(find_last_request(fixture), "POST /unsafe/pay\n"));
	cr_assert_not_null(
	    strstr(find_last_request(fixture), "X-Attempt-Id: id-2\n"));
	cr_assert_not_null(
	    strstr(find_last_request(fixture), "X-Tenant: studio\n"));
	cr_assert_not_null(
	    strstr(find_last_request(fixture), "X-Expect-Instance: p"));
	cr_assert_not_null(
	    strstr(find_last_request(fixture), "X-Deadline-Ms: "));
	cr_assert_not_null(
	    strstr(find_last_request(fixture), "\n\n{\"pay\":1}"));
	cr_assert_null(strstr(find_last_request(fixture), ENTRY_FIXTURE_KEY),
	    "the key was forwarded");
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* The Content-Length of a HEAD response announces bytes that do not follow. */
Test(entry_path, a_head_request_ends_with_the_headers)
{
	static const entry_fixture_request_t head = {
	    "HEAD", "/safe/x", "id-1", ENTRY_FIXTURE_KEY, NULL, NULL};
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	entry_fixture_call(fixture, 0, &head, &response);
	cr_assert_eq(response.status, 200, "%d", response.status);
	cr_assert(response.is_complete);
	cr_assert(has_prefix(find_last_request(fixture), "HEAD /safe/x\n"));
	cr_assert_eq(count_runs(fixture), 1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

Test(entry_path, leaves_the_path_encoded)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	entry_fixture_call(fixture, 0, &safe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert(
	    has_prefix(find_last_request(fixture), "GET /safe/a%2Fb?x=1\n"));
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* Faults of backend servers, and what the caller gets. */
static const struct {
	const char *name;
	const entry_fixture_request_t *request;
	size_t fault;
	uint32_t times;
	int status;
	uint64_t run_count;
	const char *body; /* NULL: any */
	int retry_after;  /* has a Retry-After header */
} faults[] = {
    {"safe: retried after a failed attempt", &safe,
	offsetof(standin_faults_t, lose_replies), 1, 200, 2, "done", 0},
    {"safe: last failure is returned", &safe,
	offsetof(standin_faults_t, lose_replies), 2, 500, 2, "failed", 0},
    {"safe: retried after a reset by the server", &safe,
	offsetof(standin_faults_t, crash), 1, 200, 2, "done", 0},
    {"safe: retried after a refusal, not run", &safe,
	offsetof(standin_faults_t, refuse), 1, 200, 1, "done", 0},
    {"unsafe: failure is returned to the caller", &unsafe,
	offsetof(standin_faults_t, lose_replies), 1, 500, 1, "failed", 0},
    {"unsafe: reset, may have run", &unsafe, offsetof(standin_faults_t, crash),
	1, 502, 1, NULL, 0},
    {"unsafe: refused, reported as not run", &unsafe,
	offsetof(standin_faults_t, refuse), 1, 503, 0, NULL, 1},
    {"unsafe: response of another one", &unsafe,
	offsetof(standin_faults_t, crossed), 1, 502, 1, NULL, 0},
    {"stream: response of another one", &streamed,
	offsetof(standin_faults_t, crossed), 1, 200, 2, THREE_EVENTS, 0},
    {"stream: resumed after a broken event", &streamed,
	offsetof(standin_faults_t, truncate_after), 2, 200, 2, THREE_EVENTS, 0},
    {"stream: retried after a reset at its start", &streamed,
	offsetof(standin_faults_t, crash), 1, 200, 2, THREE_EVENTS, 0},
    {"once: reset, may have run", &once, offsetof(standin_faults_t, crash), 1,
	502, 1, NULL, 0},
    {"once: refused, reported as not run", &once,
	offsetof(standin_faults_t, refuse), 1, 503, 0, NULL, 1},
};

static void
run_fault(size_t i)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	set_fault(fixture, faults[i].fault, faults[i].times);
	entry_fixture_call(fixture, 0, faults[i].request, &response);
	cr_assert_eq(response.status, faults[i].status, "%s: %d",
	    faults[i].name, response.status);
	cr_assert_eq(count_runs(fixture), faults[i].run_count,
	    "%s: %llu executions", faults[i].name,
	    (unsigned long long)count_runs(fixture));
	if (faults[i].body != NULL)
		cr_assert_str_eq(
		    response.body, faults[i].body, "%s", faults[i].name);
	cr_assert_eq(response.retry_after[0] != '\0', faults[i].retry_after,
	    "%s", faults[i].name);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

Test(entry_path, ends_right_under_each_fault)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		run_fault(i);
}

/* A broken stream that must not be resumed must not look complete. */
Test(entry_path, a_broken_stream_is_not_completed)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	set_fault(fixture, offsetof(standin_faults_t, truncate_after), 2);
	entry_fixture_call(fixture, 0, &once, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_not(response.is_complete);
	cr_assert_eq(count_runs(fixture), 1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

static int
has_leaving_server(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	const at_server_t *server = at_fleet_find(
	    fixture->entries[0]->fleet, at_tag_from_text(fixture->ids[0]));

	return server != NULL && at_server_entry(server)->is_leaving;
}

static int
is_response_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

/*
 * A server falls silent for longer than the time after which another one is
 * tried, and goes on. The other server has a fault, or there is none.
 */
static const struct {
	const char *name;
	const entry_fixture_request_t *request;
	uint32_t pause_after; /* events */
	uint32_t pause_ms;
	size_t fault; /* of the other server */
	int is_alone; /* the other server leaves */
	const char *body;
} silences[] = {
    {"stream: the other server refuses", &streamed, 1, 1600,
	offsetof(standin_faults_t, refuse), 0, THREE_EVENTS},
    {"stream: the other server crashes", &streamed, 1, 1600,
	offsetof(standin_faults_t, crash), 0, THREE_EVENTS},
    {"stream: there is no other server", &streamed, 1, 1600,
	offsetof(standin_faults_t, refuse), 1, THREE_EVENTS},
    {"stream: the other server falls silent, too", &streamed, 2, 1600,
	offsetof(standin_faults_t, silent), 0, THREE_EVENTS},
    {"stream: the other server rejects the resumption", &streamed, 1, 1600,
	offsetof(standin_faults_t, reject_resumed), 0, THREE_EVENTS},
    {"stream: the other server responds 500", &streamed, 1, 1600,
	offsetof(standin_faults_t, lose_replies), 0, THREE_EVENTS},
    {"safe: the other server responds 500", &safe, 0, 1300,
	offsetof(standin_faults_t, lose_replies), 0, "done"},
    {"first event: the other server refuses", &streamed, 0, 3300,
	offsetof(standin_faults_t, refuse), 0, THREE_EVENTS},
    {"safe: the other server refuses", &safe, 0, 1300,
	offsetof(standin_faults_t, refuse), 0, "done"},
    {"safe: there is no other server", &safe, 0, 1300,
	offsetof(standin_faults_t, refuse), 1, "done"},
};

static int
has_run(void *ctx)
{
	return count_runs(ctx) > 0;
}

static void
run_silence(size_t i)
{
	entry_fixture_t *fixture = make_fixture();
	standin_faults_t *server_faults =
	    standin_server_faults(fixture->servers[0]);
	entry_fixture_response_t response;

	set_fault(fixture, offsetof(standin_faults_t, pause_after),
	    silences[i].pause_after);
	server_faults->pause_ms = silences[i].pause_ms;
	if (silences[i].is_alone) {
		entry_fixture_list_server(fixture, 0, 1);
		entry_fixture_list_server(fixture, 2, 1);
		entry_fixture_run_until(fixture, has_leaving_server, fixture);
		entry_fixture_run_ms(fixture, 400);
	}
	entry_fixture_send(fixture, 0, silences[i].request, &response);
	entry_fixture_run_until(fixture, has_run, fixture);
	set_fault(fixture, silences[i].fault, 100);
	entry_fixture_run_until(fixture, is_response_done, &response);
	cr_expect_eq(
	    response.status, 200, "%s: %d", silences[i].name, response.status);
	cr_expect(response.is_complete, "%s: cut", silences[i].name);
	cr_expect_str_eq(response.body == NULL ? "" : response.body,
	    silences[i].body, "%s", silences[i].name);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* A server that is silent before its response does not delay a safe request. */
Test(entry_path, a_silent_server_delays_no_safe_request)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	set_fault(fixture, offsetof(standin_faults_t, pause_ms), 5000);
	entry_fixture_send(fixture, 0, &safe, &response);
	entry_fixture_run_ms(fixture, 2500);
	cr_assert(response.done, "no response in 2,500 ms");
	cr_assert_eq(response.status, 200);
	cr_assert_eq(count_runs(fixture), 2);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

Test(entry_path, a_silent_server_that_goes_on_ends_its_response)
{
	size_t i;

	for (i = 0; i < sizeof(silences) / sizeof(silences[0]); i++)
		run_silence(i);
}

/* A server that rejects the rest of a stream does not complete it. */
Test(entry_path, a_rejected_resumption_is_not_completed)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	set_fault(fixture, offsetof(standin_faults_t, truncate_after), 2);
	standin_server_faults(fixture->servers[0])->reject_resumed = 1;
	entry_fixture_call(fixture, 0, &streamed, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_not(response.is_complete);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

static const struct {
	const char *name;
	entry_fixture_request_t request;
	int status;
} refusals[] = {
    {"no key", {"GET", "/safe/x", "i", NULL, NULL, NULL}, 401},
    {"unknown key", {"GET", "/safe/x", "i", "no-key", NULL, NULL}, 401},
    {"unknown path", {"GET", "/none/x", "i", ENTRY_FIXTURE_KEY, NULL, NULL},
	404},
    {"model without a name",
	{"POST", "/stream/x", "i", ENTRY_FIXTURE_KEY, "bad name", ""}, 400},
};

Test(entry_path, refuses_requests_that_are_not_configured)
{
	entry_fixture_t *fixture = make_fixture();
	size_t i;

	for (i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		entry_fixture_response_t response;

		entry_fixture_call(fixture, 0, &refusals[i].request, &response);
		cr_assert_eq(response.status, refusals[i].status, "%s: %d",
		    refusals[i].name, response.status);
		entry_fixture_response_free(&response);
	}
	cr_assert_eq(count_runs(fixture), 0);
	entry_fixture_delete(fixture);
}

Test(entry_path, responds_503_before_it_has_a_configuration)
{
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;

	(void)entry_fixture_add_entry(fixture);
	entry_fixture_call(fixture, 0, &safe, &response);
	cr_assert_eq(response.status, 503);
	cr_assert_not(at_entry_is_ready(fixture->entries[0]));
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

static int
is_newest_everywhere(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		if (fixture->entries[i]->site->version !=
		    fixture->config_version)
			return 0;
	}
	return 1;
}

/*
 * An instance gets a new configuration from its own watch, from another
 * instance or, if the store has lost its history, by reading the list.
 */
Test(entry_path, a_withdrawn_key_stops_everywhere)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;
	size_t i;

	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 500);
	standin_store_drop_history(fixture->store);
	entry_fixture_apply_config(fixture, 0);
	entry_fixture_run_until(fixture, is_newest_everywhere, fixture);
	for (i = 0; i < fixture->entry_count; i++) {
		entry_fixture_call(fixture, i, &safe, &response);
		cr_assert_eq(response.status, 401);
		entry_fixture_response_free(&response);
	}
	entry_fixture_delete(fixture);
}

Test(entry_path, a_leaving_server_is_not_chosen)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;
	uint64_t before;
	int i;

	entry_fixture_list_server(fixture, 0, 1);
	entry_fixture_run_until(fixture, has_leaving_server, fixture);
	before = standin_server_run_count(fixture->servers[0]);
	for (i = 0; i < 6; i++) {
		entry_fixture_call(fixture, 0, &safe, &response);
		cr_assert_eq(response.status, 200);
		entry_fixture_response_free(&response);
	}
	cr_assert_eq(standin_server_run_count(fixture->servers[0]), before);
	entry_fixture_delete(fixture);
}

Test(entry_path, serves_while_the_store_is_down)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	standin_store_faults(fixture->store)->outage = 1;
	entry_fixture_run_ms(fixture, 1000);
	entry_fixture_call(fixture, 0, &safe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert(at_entry_is_ready(fixture->entries[0]));
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

Test(entry_path, a_model_that_is_not_resident_is_loaded)
{
	static const entry_fixture_request_t rare = {
	    "POST", "/stream/x", "id-5", ENTRY_FIXTURE_KEY, "m1", "prompt"};
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;
	int tries = 0;

	/* No instance has the lease at first. */
	do {
		entry_fixture_call(fixture, 0, &rare, &response);
		if (response.status == 200)
			break;
		cr_assert_eq(response.status, 503);
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(fixture, 300);
	} while (++tries < 40);
	cr_assert_eq(response.status, 200);
	cr_assert_str_eq(response.body, THREE_EVENTS);
	cr_assert_geq(standin_server_order_count(fixture->servers[2]) +
			  standin_server_order_count(fixture->servers[3]),
	    1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/*
 * An adapter that is being loaded takes memory before the engine's report
 * lists it as resident, so an engine with such an adapter gets no order.
 */
Test(entry_path, sends_no_order_while_an_adapter_is_loading)
{
	static const entry_fixture_request_t rare = {
	    "POST", "/stream/x", "id-6", ENTRY_FIXTURE_KEY, "m1", "prompt"};
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;
	int tries;

	standin_server_set_pending_adapter(fixture->servers[2], "m0/a1@1");
	standin_server_set_pending_adapter(fixture->servers[3], "m0/a1@1");
	for (tries = 0; tries < 8; tries++) {
		entry_fixture_call(fixture, 0, &rare, &response);
		cr_assert_eq(response.status, 503);
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(fixture, 300);
	}
	cr_assert_eq(standin_server_order_count(fixture->servers[2]), 0);
	cr_assert_eq(standin_server_order_count(fixture->servers[3]), 0);
	standin_server_set_pending_adapter(fixture->servers[2], NULL);
	standin_server_set_pending_adapter(fixture->servers[3], NULL);
	for (tries = 0; tries < 40; tries++) {
		entry_fixture_call(fixture, 0, &rare, &response);
		if (response.status == 200)
			break;
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(fixture, 300);
	}
	cr_assert_eq(response.status, 200);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

static int
has_body(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->len > 0;
}

static int
has_no_call(void *ctx)
{
	return at_calls_count(
		   ((const entry_fixture_t *)ctx)->entries[0]->calls) == 0;
}

Test(entry_path, a_call_ends_when_its_caller_leaves)
{
	entry_fixture_t *fixture = make_fixture();
	entry_fixture_response_t response;

	standin_server_set_events(fixture->servers[2], 10000, 5);
	standin_server_set_events(fixture->servers[3], 10000, 5);
	entry_fixture_send(fixture, 0, &streamed, &response);
	entry_fixture_run_until(fixture, has_body, &response);
	entry_fixture_response_free(&response);
	entry_fixture_run_until(fixture, has_no_call, fixture);
	entry_fixture_delete(fixture);
}

static int
connect_to(const char *address)
{
	struct sockaddr_in addr;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	cr_assert_eq(at_address_parse(address, &addr), 0);
	cr_assert_eq(
	    connect(fd, (const struct sockaddr *)&addr, sizeof(addr)), 0);
	return fd;
}

#define LEFT_COUNT 20

/* An instance that is behind read requests whose callers had long left. */
Test(entry_path, a_request_whose_caller_has_left_is_not_sent)
{
	entry_fixture_t *fixture = make_fixture();
	uint64_t before = 0;
	uint64_t after = 0;
	char text[512];
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		before += standin_server_run_count(fixture->servers[i]);
	for (i = 0; i < LEFT_COUNT; i++) {
		int fd = connect_to(fixture->addresses[0]);
		int len = snprintf(text, sizeof(text),
		    "POST /safe/x HTTP/1.1\r\nHost: " ENTRY_FIXTURE_HOST
		    "\r\n" WIRE_REQUEST_ID ": left-%zu\r\n"
		    "Authorization: Bearer " ENTRY_FIXTURE_KEY "\r\n"
		    "Content-Length: 4\r\n\r\nbody",
		    i);

		cr_assert_eq(write(fd, text, (size_t)len), len);
		(void)close(fd);
	}
	entry_fixture_run_ms(fixture, 500);
	for (i = 0; i < fixture->server_count; i++)
		after += standin_server_run_count(fixture->servers[i]);
	cr_assert_eq(after, before);
	entry_fixture_delete(fixture);
}

static int
has_one_call(void *ctx)
{
	return at_calls_count(
		   ((const entry_fixture_t *)ctx)->entries[0]->calls) == 1;
}

static int
has_two_servers(void *ctx)
{
	const at_entry_t *entry = ((const entry_fixture_t *)ctx)->entries[0];

	return at_entry_is_ready(entry) && at_fleet_count(entry->fleet) == 2;
}

/* The caller closes while its request waits for a connection that fails. */
Test(entry_path, no_retry_after_the_caller_has_left)
{
	entry_fixture_t *fixture = entry_fixture_new();
	int sockets[ENTRY_FIXTURE_SOCKETS];
	entry_fixture_response_t response;
	int i;

	entry_fixture_apply_config(fixture, 1);
	entry_fixture_list_unreachable(fixture, sockets);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until(fixture, has_two_servers, fixture);
	entry_fixture_send(fixture, 0, &unsafe, &response);
	entry_fixture_run_until(fixture, has_one_call, fixture);
	entry_fixture_response_free(&response);
	entry_fixture_run_until(fixture, has_no_call, fixture);
	for (i = 0; i < ENTRY_FIXTURE_SOCKETS; i++)
		(void)close(sockets[i]);
	entry_fixture_delete(fixture);
}

static int
has_one_reader(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	unsigned readers = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		readers +=
		    (unsigned)at_sync_is_reader(fixture->entries[i]->sync);
	return readers == 1;
}

/* The reader reports new backend servers to the other instances. */
Test(entry_path, one_instance_reads_for_its_data_centre)
{
	entry_fixture_t *fixture = make_fixture();
	uint64_t calls;

	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_until(fixture, has_one_reader, fixture);
	(void)entry_fixture_add_service(fixture);
	entry_fixture_run_until_ready(fixture);
	calls = standin_store_call_count(fixture->store);
	entry_fixture_list_server(fixture, 0, 0);
	entry_fixture_list_server(fixture, 1, 0);
	entry_fixture_run_ms(fixture, 300);
	/*
	 * The reader's watch ends once per change; reads of the list and lease
	 * renewals continue.
	 */
	cr_assert_leq(standin_store_call_count(fixture->store) - calls, 8);
	entry_fixture_delete(fixture);
}

/* The reader sends a new configuration to the others of its data centre. */
Test(entry_path, one_instance_reads_a_configuration_for_its_data_centre)
{
	entry_fixture_t *fixture = make_fixture();
	uint64_t calls;
	int i;

	for (i = 0; i < 6; i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_until(fixture, has_one_reader, fixture);
	entry_fixture_run_ms(fixture, 300);
	calls = standin_store_call_count(fixture->store);
	entry_fixture_apply_config(fixture, 0);
	entry_fixture_run_until(fixture, is_newest_everywhere, fixture);
	/*
	 * Six instances that read it themselves would make six calls. Lease
	 * renewals and reads of the list are counted as well.
	 */
	cr_assert_leq(standin_store_call_count(fixture->store) - calls, 4);
	entry_fixture_delete(fixture);
}

static int
first_server_has_left(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	const at_server_t *server = at_fleet_find(
	    fixture->entries[0]->fleet, at_tag_from_text(fixture->ids[0]));

	return server == NULL || at_server_entry(server)->is_leaving;
}

typedef struct watch_fault_case {
	int drops_history; /* else the responses are lost */
	int is_removed;    /* the server does not say that it leaves */
} watch_fault_case_t;

ParameterizedTestParameters(entry_path, a_dead_watch_does_not_hide_a_leaving)
{
	static watch_fault_case_t cases[] = {{0, 0}, {0, 1}, {1, 0}, {1, 1}};

	return cr_make_param_array(
	    watch_fault_case_t, cases, sizeof(cases) / sizeof(cases[0]));
}

/* A watch stays open without responses; the store serves all other calls. */
ParameterizedTest(
    watch_fault_case_t *fault, entry_path, a_dead_watch_does_not_hide_a_leaving)
{
	entry_fixture_t *fixture = make_fixture();
	uint64_t left_ms;

	entry_fixture_run_ms(fixture, 500);
	if (fault->drops_history)
		standin_store_drop_history(fixture->store);
	else
		standin_store_lose_watches(fixture->store);
	entry_fixture_run_ms(fixture, 500);
	if (fault->is_removed)
		standin_store_remove(
		    fixture->store, WIRE_KIND_SERVERS, fixture->ids[0]);
	else
		entry_fixture_list_server(fixture, 0, 1);
	left_ms = at_clock_now_ms();
	while (!first_server_has_left(fixture) &&
	       at_clock_now_ms() < left_ms + DRAIN_MS)
		entry_fixture_run_ms(fixture, 20);
	cr_assert(first_server_has_left(fixture),
	    "server in use %d ms after it has left", DRAIN_MS);
	entry_fixture_delete(fixture);
}

static int
is_reader_without_platform(void *ctx)
{
	const entry_fixture_t *fixture = ctx;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		if (at_sync_is_reader(fixture->entries[i]->sync) &&
		    at_sync_is_platform_away(fixture->entries[i]->sync))
			return 1;
	}
	return 0;
}

/* Longer than the time between two checks of the reader. */
#define SILENCE_MS 900

static int
knows_leaving(const at_entry_t *entry, const char *server)
{
	const at_server_t *found =
	    at_fleet_find(entry->fleet, at_tag_from_text(server));

	return found == NULL || at_server_entry(found)->is_leaving;
}

static int
is_leaving_known(const entry_fixture_t *fixture, const char *server)
{
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		if (!knows_leaving(fixture->entries[i], server))
			return 0;
	}
	return 1;
}

/*
 * The store does not respond to the reader from shortly before a server leaves:
 * its watches report nothing, and the calls of SILENCE_MS are lost.
 */
Test(entry_path, knows_a_leaving_server_beside_a_silent_reader)
{
	entry_fixture_t *fixture = make_fixture();
	int i;

	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_until(fixture, has_one_reader, fixture);
	entry_fixture_run_ms(fixture, 1000);
	standin_store_drop_history(fixture->store);
	standin_store_faults(fixture->store)->silent = 1000;
	entry_fixture_list_server(fixture, 0, 1);
	entry_fixture_run_ms(fixture, SILENCE_MS);
	standin_store_faults(fixture->store)->silent = 0;
	for (i = SILENCE_MS;
	     i < DRAIN_MS && !is_leaving_known(fixture, fixture->ids[0]);
	     i += 50)
		entry_fixture_run_ms(fixture, 50);
	cr_assert(is_leaving_known(fixture, fixture->ids[0]),
	    "not known everywhere in %d ms", DRAIN_MS);
	entry_fixture_delete(fixture);
}

/* Other calls get responses, so that the reader is not silent. */
Test(entry_path, knows_a_leaving_server_although_its_watch_has_failed)
{
	entry_fixture_t *fixture = make_fixture();
	int i;

	entry_fixture_run_ms(fixture, 1000);
	standin_store_drop_history(fixture->store);
	(void)entry_fixture_add_entry_in(fixture, "south");
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 1000);
	entry_fixture_list_server(fixture, 0, 1);
	for (i = 0; i < DRAIN_MS && !is_leaving_known(fixture, fixture->ids[0]);
	     i += 50)
		entry_fixture_run_ms(fixture, 50);
	cr_assert(is_leaving_known(fixture, fixture->ids[0]),
	    "not known everywhere in %d ms", DRAIN_MS);
	entry_fixture_delete(fixture);
}

/* A follower may receive no report although its reader still sends them. */
Test(entry_path, knows_a_leaving_server_without_reports_of_the_reader)
{
	entry_fixture_t *fixture = make_fixture();
	at_entry_t *entry = fixture->entries[0];
	int i;

	entry_fixture_run_ms(fixture, 1000);
	ev_timer_stop(fixture->loop, &entry->gossip->timer);
	at_sync_set_reader(entry->sync, 0);
	entry_fixture_list_server(fixture, 0, 1);
	for (i = 0;
	     i < DRAIN_MS / 100 && !knows_leaving(entry, fixture->ids[0]);
	     i++) {
		entry_fixture_run_ms(fixture, 100);
		at_sync_check_confirmation(entry->sync);
	}
	cr_assert(knows_leaving(entry, fixture->ids[0]));
	entry_fixture_delete(fixture);
}

/*
 * A store that accepts calls without responding to them leaves the watches
 * open. The reader must notice this from its reads of the list, and report that
 * the platform is away, so that another instance becomes the reader.
 */
Test(entry_path, a_reader_reports_a_silent_store)
{
	entry_fixture_t *fixture = make_fixture();
	int i;

	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_until(fixture, has_one_reader, fixture);
	standin_store_faults(fixture->store)->silent = 100;
	for (i = 0; i < 40 && !is_reader_without_platform(fixture); i++)
		entry_fixture_run_ms(fixture, 50);
	cr_assert(
	    is_reader_without_platform(fixture), "no reader reports it in 2 s");
	entry_fixture_delete(fixture);
}
