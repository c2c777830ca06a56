/*
 * The whole path on the users' platform, against its stand-ins: what a caller
 * and a backend server see of one request, and what faults do to it.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "entry/sync.h"
#include "support/entry_fixture.h"

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

/* One instance before two plain servers and two engines. */
static entry_fixture_t *
make_fixture(void)
{
	entry_fixture_t *f = entry_fixture_new();

	entry_fixture_apply_config(f, 1);
	(void)entry_fixture_add_service(f);
	(void)entry_fixture_add_service(f);
	(void)entry_fixture_add_engine(f, "m0");
	(void)entry_fixture_add_engine(f, "m0");
	(void)entry_fixture_add_entry(f);
	entry_fixture_run_until_ready(f);
	return f;
}

static uint64_t
run_count(const entry_fixture_t *f)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < f->server_count; i++)
		sum += standin_server_run_count(f->servers[i]);
	return sum;
}

/* The request as the backend server that got it saw it. */
static const char *
last_request(const entry_fixture_t *f)
{
	size_t i;

	for (i = 0; i < f->server_count; i++) {
		const char *last = standin_server_last_request(f->servers[i]);

		if (last[0] != '\0')
			return last;
	}
	return "";
}

/* Sets one fault, which strikes so many times whichever server is met. */
static void
set_fault(entry_fixture_t *f, size_t offset, uint32_t times)
{
	size_t i;

	for (i = 1; i < f->server_count; i++)
		standin_server_share_faults(f->servers[i], f->servers[0]);
	memcpy((char *)standin_server_faults(f->servers[0]) + offset, &times,
	    sizeof(times));
}

static int
has_prefix(const char *text, const char *prefix)
{
	return strstr(text, prefix) == text;
}

Test(entry_path, forwards_the_request_unchanged)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	entry_fixture_call(f, 0, &unsafe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_str_eq(response.body, "done");
	cr_assert_str_neq(response.signature, "");
	cr_assert(has_prefix(last_request(f), "POST /unsafe/pay\n"));
	cr_assert_not_null(strstr(last_request(f), "X-Attempt-Id: id-2\n"));
	cr_assert_not_null(strstr(last_request(f), "X-Tenant: studio\n"));
	cr_assert_not_null(strstr(last_request(f), "X-Expect-Instance: p"));
	cr_assert_not_null(strstr(last_request(f), "X-Deadline-Ms: "));
	cr_assert_not_null(strstr(last_request(f), "\n\n{\"pay\":1}"));
	cr_assert_null(
	    strstr(last_request(f), ENTRY_FIXTURE_KEY), "a key was passed on");
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

Test(entry_path, leaves_the_path_encoded)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	entry_fixture_call(f, 0, &safe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert(has_prefix(last_request(f), "GET /safe/a%2Fb?x=1\n"));
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

/* Faults of backend servers and what the caller gets. */
static const struct {
	const char *name;
	const entry_fixture_request_t *request;
	size_t fault;
	uint32_t times;
	int status;
	uint64_t run_count;
	const char *body; /* NULL: any */
	int retry_after;  /* says when to come back */
} faults[] = {
    {"safe: a failure is tried elsewhere", &safe,
	offsetof(standin_faults_t, lose_replies), 1, 200, 2, "done", 0},
    {"safe: the last failure is passed on", &safe,
	offsetof(standin_faults_t, lose_replies), 2, 500, 2, "failed", 0},
    {"safe: a reset is tried elsewhere", &safe,
	offsetof(standin_faults_t, crash), 1, 200, 2, "done", 0},
    {"safe: refused unrun, tried elsewhere", &safe,
	offsetof(standin_faults_t, refuse), 1, 200, 1, "done", 0},
    {"unsafe: a failure is passed on", &unsafe,
	offsetof(standin_faults_t, lose_replies), 1, 500, 1, "failed", 0},
    {"unsafe: a reset may have run", &unsafe, offsetof(standin_faults_t, crash),
	1, 502, 1, NULL, 0},
    {"unsafe: refused unrun is told so", &unsafe,
	offsetof(standin_faults_t, refuse), 1, 503, 0, NULL, 1},
    {"unsafe: another request's answer", &unsafe,
	offsetof(standin_faults_t, crossed), 1, 502, 1, NULL, 0},
    {"stream: another request's answer", &streamed,
	offsetof(standin_faults_t, crossed), 1, 200, 2, THREE_EVENTS, 0},
    {"stream: broken within an event, resumed", &streamed,
	offsetof(standin_faults_t, truncate_after), 2, 200, 2, THREE_EVENTS, 0},
    {"stream: reset before it began, tried elsewhere", &streamed,
	offsetof(standin_faults_t, crash), 1, 200, 2, THREE_EVENTS, 0},
    {"once: a reset may have run", &once, offsetof(standin_faults_t, crash), 1,
	502, 1, NULL, 0},
    {"once: refused unrun is told so", &once,
	offsetof(standin_faults_t, refuse), 1, 503, 0, NULL, 1},
};

static void
run_fault(size_t i)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	set_fault(f, faults[i].fault, faults[i].times);
	entry_fixture_call(f, 0, faults[i].request, &response);
	cr_assert_eq(response.status, faults[i].status, "%s: %d",
	    faults[i].name, response.status);
	cr_assert_eq(run_count(f), faults[i].run_count, "%s: %llu runs",
	    faults[i].name, (unsigned long long)run_count(f));
	if (faults[i].body != NULL)
		cr_assert_str_eq(
		    response.body, faults[i].body, "%s", faults[i].name);
	cr_assert_eq(response.retry_after[0] != '\0', faults[i].retry_after,
	    "%s", faults[i].name);
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

Test(entry_path, ends_right_under_each_fault)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		run_fault(i);
}

/* A stream broken off where it may not be resumed must not look whole. */
Test(entry_path, a_broken_stream_is_not_completed)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	set_fault(f, offsetof(standin_faults_t, truncate_after), 2);
	entry_fixture_call(f, 0, &once, &response);
	cr_assert_eq(response.status, 200);
	cr_assert_not(response.is_complete);
	cr_assert_eq(run_count(f), 1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
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
	entry_fixture_t *f = make_fixture();
	size_t i;

	for (i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		entry_fixture_response_t response;

		entry_fixture_call(f, 0, &refusals[i].request, &response);
		cr_assert_eq(response.status, refusals[i].status, "%s: %d",
		    refusals[i].name, response.status);
		entry_fixture_response_free(&response);
	}
	cr_assert_eq(run_count(f), 0);
	entry_fixture_delete(f);
}

Test(entry_path, responds_503_before_it_has_a_configuration)
{
	entry_fixture_t *f = entry_fixture_new();
	entry_fixture_response_t response;

	(void)entry_fixture_add_entry(f);
	entry_fixture_call(f, 0, &safe, &response);
	cr_assert_eq(response.status, 503);
	cr_assert_not(at_entry_is_ready(f->entries[0]));
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

static int
is_newest_everywhere(void *ctx)
{
	const entry_fixture_t *f = ctx;
	size_t i;

	for (i = 0; i < f->entry_count; i++) {
		if (f->entries[i]->site->version != f->config_version)
			return 0;
	}
	return 1;
}

/* Instances that hear of a change by their own watch, another's, or a look. */
Test(entry_path, a_withdrawn_key_stops_everywhere)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;
	size_t i;

	(void)entry_fixture_add_entry(f);
	(void)entry_fixture_add_entry(f);
	entry_fixture_run_until_ready(f);
	entry_fixture_run_ms(f, 500);
	standin_store_drop_history(f->store);
	entry_fixture_apply_config(f, 0);
	entry_fixture_run_until(f, is_newest_everywhere, f);
	for (i = 0; i < f->entry_count; i++) {
		entry_fixture_call(f, i, &safe, &response);
		cr_assert_eq(response.status, 401);
		entry_fixture_response_free(&response);
	}
	entry_fixture_delete(f);
}

static int
has_leaving_server(void *ctx)
{
	const entry_fixture_t *f = ctx;
	const at_server_t *server =
	    at_fleet_find(f->entries[0]->fleet, at_tag_from_text(f->ids[0]));

	return server != NULL && at_server_entry(server)->is_leaving;
}

Test(entry_path, a_leaving_server_is_not_chosen)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;
	uint64_t before;
	int i;

	entry_fixture_list_server(f, 0, 1);
	entry_fixture_run_until(f, has_leaving_server, f);
	before = standin_server_run_count(f->servers[0]);
	for (i = 0; i < 6; i++) {
		entry_fixture_call(f, 0, &safe, &response);
		cr_assert_eq(response.status, 200);
		entry_fixture_response_free(&response);
	}
	cr_assert_eq(standin_server_run_count(f->servers[0]), before);
	entry_fixture_delete(f);
}

Test(entry_path, serves_while_the_store_is_down)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	standin_store_faults(f->store)->outage = 1;
	entry_fixture_run_ms(f, 1000);
	entry_fixture_call(f, 0, &safe, &response);
	cr_assert_eq(response.status, 200);
	cr_assert(at_entry_is_ready(f->entries[0]));
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

Test(entry_path, a_model_that_is_not_resident_is_loaded)
{
	static const entry_fixture_request_t rare = {
	    "POST", "/stream/x", "id-5", ENTRY_FIXTURE_KEY, "m1", "prompt"};
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;
	int tries = 0;

	/* Nobody holds the lease in the first moments. */
	do {
		entry_fixture_call(f, 0, &rare, &response);
		if (response.status == 200)
			break;
		cr_assert_eq(response.status, 503);
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(f, 300);
	} while (++tries < 40);
	cr_assert_eq(response.status, 200);
	cr_assert_str_eq(response.body, THREE_EVENTS);
	cr_assert_geq(standin_server_order_count(f->servers[2]) +
			  standin_server_order_count(f->servers[3]),
	    1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

/*
 * An adapter that is on its way takes its place before the report names it
 * among what is held; an engine with one is not planned for.
 */
Test(entry_path, sends_no_order_while_an_adapter_is_loading)
{
	static const entry_fixture_request_t rare = {
	    "POST", "/stream/x", "id-6", ENTRY_FIXTURE_KEY, "m1", "prompt"};
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;
	int tries;

	standin_server_set_pending_adapter(f->servers[2], "m0/a1@1");
	standin_server_set_pending_adapter(f->servers[3], "m0/a1@1");
	for (tries = 0; tries < 8; tries++) {
		entry_fixture_call(f, 0, &rare, &response);
		cr_assert_eq(response.status, 503);
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(f, 300);
	}
	cr_assert_eq(standin_server_order_count(f->servers[2]), 0);
	cr_assert_eq(standin_server_order_count(f->servers[3]), 0);
	standin_server_set_pending_adapter(f->servers[2], NULL);
	standin_server_set_pending_adapter(f->servers[3], NULL);
	for (tries = 0; tries < 40; tries++) {
		entry_fixture_call(f, 0, &rare, &response);
		if (response.status == 200)
			break;
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(f, 300);
	}
	cr_assert_eq(response.status, 200);
	entry_fixture_response_free(&response);
	entry_fixture_delete(f);
}

static int
has_body(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->len > 0;
}

static int
has_no_call(void *ctx)
{
	return ((const entry_fixture_t *)ctx)->entries[0]->call_count == 0;
}

Test(entry_path, a_call_ends_when_its_caller_leaves)
{
	entry_fixture_t *f = make_fixture();
	entry_fixture_response_t response;

	standin_server_set_events(f->servers[2], 10000, 5);
	standin_server_set_events(f->servers[3], 10000, 5);
	entry_fixture_send(f, 0, &streamed, &response);
	entry_fixture_run_until(f, has_body, &response);
	entry_fixture_response_free(&response);
	entry_fixture_run_until(f, has_no_call, f);
	entry_fixture_delete(f);
}

static int
has_one_call(void *ctx)
{
	return ((const entry_fixture_t *)ctx)->entries[0]->call_count == 1;
}

static int
has_two_servers(void *ctx)
{
	const at_entry_t *entry = ((const entry_fixture_t *)ctx)->entries[0];

	return at_entry_is_ready(entry) && at_fleet_count(entry->fleet) == 2;
}

/* The caller leaves while its charge waits for a connection that fails. */
Test(entry_path, no_retry_after_the_caller_has_left)
{
	entry_fixture_t *f = entry_fixture_new();
	int sockets[ENTRY_FIXTURE_SOCKETS];
	entry_fixture_response_t response;
	int i;

	entry_fixture_apply_config(f, 1);
	entry_fixture_list_unreachable(f, sockets);
	(void)entry_fixture_add_entry(f);
	entry_fixture_run_until(f, has_two_servers, f);
	entry_fixture_send(f, 0, &unsafe, &response);
	entry_fixture_run_until(f, has_one_call, f);
	entry_fixture_response_free(&response);
	entry_fixture_run_until(f, has_no_call, f);
	for (i = 0; i < ENTRY_FIXTURE_SOCKETS; i++)
		(void)close(sockets[i]);
	entry_fixture_delete(f);
}

static int
has_one_reader(void *ctx)
{
	const entry_fixture_t *f = ctx;
	unsigned readers = 0;
	size_t i;

	for (i = 0; i < f->entry_count; i++)
		readers += (unsigned)at_sync_is_reader(f->entries[i]->sync);
	return readers == 1;
}

/* Whoever follows hears of servers that come, from the reader. */
Test(entry_path, one_instance_reads_for_its_data_centre)
{
	entry_fixture_t *f = make_fixture();
	uint64_t calls;

	(void)entry_fixture_add_entry(f);
	(void)entry_fixture_add_entry(f);
	(void)entry_fixture_add_entry(f);
	entry_fixture_run_until_ready(f);
	entry_fixture_run_until(f, has_one_reader, f);
	(void)entry_fixture_add_service(f);
	entry_fixture_run_until_ready(f);
	calls = standin_store_call_count(f->store);
	entry_fixture_list_server(f, 0, 0);
	entry_fixture_list_server(f, 1, 0);
	entry_fixture_run_ms(f, 300);
	/* A watch answers each change once; the looks and the lease go on. */
	cr_assert_leq(standin_store_call_count(f->store) - calls, 8);
	entry_fixture_delete(f);
}

/* One reads a new configuration, and tells the others of its data centre. */
Test(entry_path, one_instance_reads_a_configuration_for_its_data_centre)
{
	entry_fixture_t *f = make_fixture();
	uint64_t calls;
	int i;

	for (i = 0; i < 6; i++)
		(void)entry_fixture_add_entry(f);
	entry_fixture_run_until_ready(f);
	entry_fixture_run_until(f, has_one_reader, f);
	entry_fixture_run_ms(f, 300);
	calls = standin_store_call_count(f->store);
	entry_fixture_apply_config(f, 0);
	entry_fixture_run_until(f, is_newest_everywhere, f);
	/* Six that follow would be six calls; the lease and a look go on. */
	cr_assert_leq(standin_store_call_count(f->store) - calls, 4);
	entry_fixture_delete(f);
}

static int
is_reader_without_platform(void *ctx)
{
	const entry_fixture_t *f = ctx;
	size_t i;

	for (i = 0; i < f->entry_count; i++) {
		if (at_sync_is_reader(f->entries[i]->sync) &&
		    at_sync_is_platform_away(f->entries[i]->sync))
			return 1;
	}
	return 0;
}

/*
 * A store that takes calls and does not answer them leaves the watches open;
 * whoever reads for the others must notice by its looks, and give way.
 */
Test(entry_path, a_reader_reports_a_silent_store)
{
	entry_fixture_t *f = make_fixture();
	int i;

	(void)entry_fixture_add_entry(f);
	(void)entry_fixture_add_entry(f);
	entry_fixture_run_until_ready(f);
	entry_fixture_run_until(f, has_one_reader, f);
	standin_store_faults(f->store)->silent = 100;
	for (i = 0; i < 40 && !is_reader_without_platform(f); i++)
		entry_fixture_run_ms(f, 50);
	cr_assert(is_reader_without_platform(f), "nobody noticed in 2 s");
	entry_fixture_delete(f);
}
