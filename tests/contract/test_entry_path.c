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

static const edge_request_t safe = {
    "GET", "/safe/a%2Fb?x=1", "id-1", EDGE_KEY, NULL, NULL};
static const edge_request_t unsafe = {
    "POST", "/unsafe/pay", "id-2", EDGE_KEY, NULL, "{\"pay\":1}"};
static const edge_request_t streamed = {
    "POST", "/stream/x", "id-3", EDGE_KEY, "m0", "prompt"};
static const edge_request_t once = {
    "POST", "/once/x", "id-4", EDGE_KEY, "m0", "prompt"};

/* One instance before two plain servers and two engines. */
static edge_t *
make(void)
{
	edge_t *edge = edge_new();

	edge_configure(edge, 1);
	(void)edge_add_plain(edge);
	(void)edge_add_plain(edge);
	(void)edge_add_engine(edge, "m0");
	(void)edge_add_engine(edge, "m0");
	(void)edge_add_entry(edge);
	edge_until_ready(edge);
	return edge;
}

static uint64_t
runs(const edge_t *edge)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < edge->server_count; i++)
		sum += standin_server_run_count(edge->servers[i]);
	return sum;
}

/* The request as the backend server that got it saw it. */
static const char *
seen(const edge_t *edge)
{
	size_t i;

	for (i = 0; i < edge->server_count; i++) {
		const char *last =
		    standin_server_last_request(edge->servers[i]);

		if (last[0] != '\0')
			return last;
	}
	return "";
}

/* Sets one fault, which strikes so many times whichever server is met. */
static void
set_fault(edge_t *edge, size_t offset, uint32_t times)
{
	size_t i;

	for (i = 1; i < edge->server_count; i++)
		standin_server_share_faults(edge->servers[i], edge->servers[0]);
	memcpy((char *)standin_server_faults(edge->servers[0]) + offset, &times,
	    sizeof(times));
}

static int
begins_with(const char *text, const char *prefix)
{
	return strstr(text, prefix) == text;
}

Test(entry_path, passes_a_request_on_as_it_is)
{
	edge_t *edge = make();
	edge_answer_t answer;

	edge_ask(edge, 0, &unsafe, &answer);
	cr_assert_eq(answer.status, 200);
	cr_assert_str_eq(answer.body, "done");
	cr_assert_str_neq(answer.stamp, "");
	cr_assert(begins_with(seen(edge), "POST /unsafe/pay\n"));
	cr_assert_not_null(strstr(seen(edge), "X-Attempt-Id: id-2\n"));
	cr_assert_not_null(strstr(seen(edge), "X-Tenant: studio\n"));
	cr_assert_not_null(strstr(seen(edge), "X-Expect-Instance: p"));
	cr_assert_not_null(strstr(seen(edge), "X-Deadline-Ms: "));
	cr_assert_not_null(strstr(seen(edge), "\n\n{\"pay\":1}"));
	cr_assert_null(strstr(seen(edge), EDGE_KEY), "a key was passed on");
	edge_answer_free(&answer);
	edge_delete(edge);
}

Test(entry_path, leaves_the_path_encoded)
{
	edge_t *edge = make();
	edge_answer_t answer;

	edge_ask(edge, 0, &safe, &answer);
	cr_assert_eq(answer.status, 200);
	cr_assert(begins_with(seen(edge), "GET /safe/a%2Fb?x=1\n"));
	edge_answer_free(&answer);
	edge_delete(edge);
}

/* Faults of backend servers and what the caller gets. */
static const struct {
	const char *name;
	const edge_request_t *request;
	size_t fault;
	uint32_t times;
	int status;
	uint64_t runs;
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
	edge_t *edge = make();
	edge_answer_t answer;

	set_fault(edge, faults[i].fault, faults[i].times);
	edge_ask(edge, 0, faults[i].request, &answer);
	cr_assert_eq(answer.status, faults[i].status, "%s: %d", faults[i].name,
	    answer.status);
	cr_assert_eq(runs(edge), faults[i].runs, "%s: %llu runs",
	    faults[i].name, (unsigned long long)runs(edge));
	if (faults[i].body != NULL)
		cr_assert_str_eq(
		    answer.body, faults[i].body, "%s", faults[i].name);
	cr_assert_eq(answer.retry_after[0] != '\0', faults[i].retry_after, "%s",
	    faults[i].name);
	edge_answer_free(&answer);
	edge_delete(edge);
}

Test(entry_path, answers_truly_whatever_fails)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++)
		run_fault(i);
}

/* A stream broken off where it may not be resumed must not look whole. */
Test(entry_path, a_broken_stream_ends_as_broken)
{
	edge_t *edge = make();
	edge_answer_t answer;

	set_fault(edge, offsetof(standin_faults_t, truncate_after), 2);
	edge_ask(edge, 0, &once, &answer);
	cr_assert_eq(answer.status, 200);
	cr_assert_not(answer.whole);
	cr_assert_eq(runs(edge), 1);
	edge_answer_free(&answer);
	edge_delete(edge);
}

static const struct {
	const char *name;
	edge_request_t request;
	int status;
} refusals[] = {
    {"no key", {"GET", "/safe/x", "i", NULL, NULL, NULL}, 401},
    {"unknown key", {"GET", "/safe/x", "i", "no-key", NULL, NULL}, 401},
    {"unknown path", {"GET", "/none/x", "i", EDGE_KEY, NULL, NULL}, 404},
    {"model without a name",
	{"POST", "/stream/x", "i", EDGE_KEY, "bad name", ""}, 400},
};

Test(entry_path, refuses_what_the_configuration_does_not_allow)
{
	edge_t *edge = make();
	size_t i;

	for (i = 0; i < sizeof(refusals) / sizeof(refusals[0]); i++) {
		edge_answer_t answer;

		edge_ask(edge, 0, &refusals[i].request, &answer);
		cr_assert_eq(answer.status, refusals[i].status, "%s: %d",
		    refusals[i].name, answer.status);
		edge_answer_free(&answer);
	}
	cr_assert_eq(runs(edge), 0);
	edge_delete(edge);
}

Test(entry_path, answers_503_before_it_knows_a_configuration)
{
	edge_t *edge = edge_new();
	edge_answer_t answer;

	(void)edge_add_entry(edge);
	edge_ask(edge, 0, &safe, &answer);
	cr_assert_eq(answer.status, 503);
	cr_assert_not(at_entry_is_ready(edge->entries[0]));
	edge_answer_free(&answer);
	edge_delete(edge);
}

static int
newest_everywhere(void *ctx)
{
	const edge_t *edge = ctx;
	size_t i;

	for (i = 0; i < edge->entry_count; i++) {
		if (edge->entries[i]->site->version != edge->config_version)
			return 0;
	}
	return 1;
}

/* Instances that hear of a change by their own watch, another's, or a look. */
Test(entry_path, a_withdrawn_key_stops_everywhere)
{
	edge_t *edge = make();
	edge_answer_t answer;
	size_t i;

	(void)edge_add_entry(edge);
	(void)edge_add_entry(edge);
	edge_until_ready(edge);
	edge_run_ms(edge, 500);
	standin_store_drop_history(edge->store);
	edge_configure(edge, 0);
	edge_until(edge, newest_everywhere, edge);
	for (i = 0; i < edge->entry_count; i++) {
		edge_ask(edge, i, &safe, &answer);
		cr_assert_eq(answer.status, 401);
		edge_answer_free(&answer);
	}
	edge_delete(edge);
}

static int
knows_leaving(void *ctx)
{
	const edge_t *edge = ctx;
	const at_server_t *server = at_fleet_find(
	    edge->entries[0]->fleet, at_tag_from_text(edge->ids[0]));

	return server != NULL && at_server_entry(server)->is_leaving;
}

Test(entry_path, a_leaving_server_gets_nothing_new)
{
	edge_t *edge = make();
	edge_answer_t answer;
	uint64_t before;
	int i;

	edge_list_server(edge, 0, 1);
	edge_until(edge, knows_leaving, edge);
	before = standin_server_run_count(edge->servers[0]);
	for (i = 0; i < 6; i++) {
		edge_ask(edge, 0, &safe, &answer);
		cr_assert_eq(answer.status, 200);
		edge_answer_free(&answer);
	}
	cr_assert_eq(standin_server_run_count(edge->servers[0]), before);
	edge_delete(edge);
}

Test(entry_path, serves_on_while_the_store_is_away)
{
	edge_t *edge = make();
	edge_answer_t answer;

	standin_store_faults(edge->store)->outage = 1;
	edge_run_ms(edge, 1000);
	edge_ask(edge, 0, &safe, &answer);
	cr_assert_eq(answer.status, 200);
	cr_assert(at_entry_is_ready(edge->entries[0]));
	edge_answer_free(&answer);
	edge_delete(edge);
}

Test(entry_path, a_model_that_is_nowhere_is_loaded_when_asked_for)
{
	static const edge_request_t rare = {
	    "POST", "/stream/x", "id-5", EDGE_KEY, "m1", "prompt"};
	edge_t *edge = make();
	edge_answer_t answer;
	int tries = 0;

	/* Nobody holds the lease in the first moments. */
	do {
		edge_ask(edge, 0, &rare, &answer);
		if (answer.status == 200)
			break;
		cr_assert_eq(answer.status, 503);
		edge_answer_free(&answer);
		edge_run_ms(edge, 300);
	} while (++tries < 40);
	cr_assert_eq(answer.status, 200);
	cr_assert_str_eq(answer.body, THREE_EVENTS);
	cr_assert_geq(standin_server_order_count(edge->servers[2]) +
			  standin_server_order_count(edge->servers[3]),
	    1);
	edge_answer_free(&answer);
	edge_delete(edge);
}

/*
 * An adapter that is on its way takes its place before the report names it
 * among what is held; an engine with one is not planned for.
 */
Test(entry_path, gives_no_order_while_an_adapter_is_on_its_way)
{
	static const edge_request_t rare = {
	    "POST", "/stream/x", "id-6", EDGE_KEY, "m1", "prompt"};
	edge_t *edge = make();
	edge_answer_t answer;
	int tries;

	standin_server_set_pending_adapter(edge->servers[2], "m0/a1@1");
	standin_server_set_pending_adapter(edge->servers[3], "m0/a1@1");
	for (tries = 0; tries < 8; tries++) {
		edge_ask(edge, 0, &rare, &answer);
		cr_assert_eq(answer.status, 503);
		edge_answer_free(&answer);
		edge_run_ms(edge, 300);
	}
	cr_assert_eq(standin_server_order_count(edge->servers[2]), 0);
	cr_assert_eq(standin_server_order_count(edge->servers[3]), 0);
	standin_server_set_pending_adapter(edge->servers[2], NULL);
	standin_server_set_pending_adapter(edge->servers[3], NULL);
	for (tries = 0; tries < 40; tries++) {
		edge_ask(edge, 0, &rare, &answer);
		if (answer.status == 200)
			break;
		edge_answer_free(&answer);
		edge_run_ms(edge, 300);
	}
	cr_assert_eq(answer.status, 200);
	edge_answer_free(&answer);
	edge_delete(edge);
}

static int
stream_begun(void *ctx)
{
	return ((const edge_answer_t *)ctx)->len > 0;
}

static int
nothing_open(void *ctx)
{
	return ((const edge_t *)ctx)->entries[0]->call_count == 0;
}

Test(entry_path, a_caller_that_leaves_frees_its_place)
{
	edge_t *edge = make();
	edge_answer_t answer;

	standin_server_set_events(edge->servers[2], 10000, 5);
	standin_server_set_events(edge->servers[3], 10000, 5);
	edge_send(edge, 0, &streamed, &answer);
	edge_until(edge, stream_begun, &answer);
	edge_answer_free(&answer);
	edge_until(edge, nothing_open, edge);
	edge_delete(edge);
}

static int
has_one_call(void *ctx)
{
	return ((const edge_t *)ctx)->entries[0]->call_count == 1;
}

static int
knows_two_servers(void *ctx)
{
	const at_entry_t *entry = ((const edge_t *)ctx)->entries[0];

	return at_entry_is_ready(entry) && at_fleet_count(entry->fleet) == 2;
}

/* The caller leaves while its charge waits for a connection that fails. */
Test(entry_path, a_charge_without_a_caller_is_not_tried_again)
{
	edge_t *edge = edge_new();
	int sockets[EDGE_FULL_SOCKETS];
	edge_answer_t answer;
	int i;

	edge_configure(edge, 1);
	edge_list_unreachable(edge, sockets);
	(void)edge_add_entry(edge);
	edge_until(edge, knows_two_servers, edge);
	edge_send(edge, 0, &unsafe, &answer);
	edge_until(edge, has_one_call, edge);
	edge_answer_free(&answer);
	edge_until(edge, nothing_open, edge);
	for (i = 0; i < EDGE_FULL_SOCKETS; i++)
		(void)close(sockets[i]);
	edge_delete(edge);
}

static int
one_reads(void *ctx)
{
	const edge_t *edge = ctx;
	unsigned readers = 0;
	size_t i;

	for (i = 0; i < edge->entry_count; i++)
		readers += (unsigned)at_sync_is_reader(edge->entries[i]->sync);
	return readers == 1;
}

/* Whoever follows hears of servers that come, from the reader. */
Test(entry_path, one_instance_reads_for_its_data_centre)
{
	edge_t *edge = make();
	uint64_t calls;

	(void)edge_add_entry(edge);
	(void)edge_add_entry(edge);
	(void)edge_add_entry(edge);
	edge_until_ready(edge);
	edge_until(edge, one_reads, edge);
	(void)edge_add_plain(edge);
	edge_until_ready(edge);
	calls = standin_store_call_count(edge->store);
	edge_list_server(edge, 0, 0);
	edge_list_server(edge, 1, 0);
	edge_run_ms(edge, 300);
	/* A watch answers each change once; the looks and the lease go on. */
	cr_assert_leq(standin_store_call_count(edge->store) - calls, 8);
	edge_delete(edge);
}

/* One reads a new configuration, and tells the others of its data centre. */
Test(entry_path, one_instance_reads_a_configuration_for_its_data_centre)
{
	edge_t *edge = make();
	uint64_t calls;
	int i;

	for (i = 0; i < 6; i++)
		(void)edge_add_entry(edge);
	edge_until_ready(edge);
	edge_until(edge, one_reads, edge);
	edge_run_ms(edge, 300);
	calls = standin_store_call_count(edge->store);
	edge_configure(edge, 0);
	edge_until(edge, newest_everywhere, edge);
	/* Six that follow would be six calls; the lease and a look go on. */
	cr_assert_leq(standin_store_call_count(edge->store) - calls, 4);
	edge_delete(edge);
}

static int
reader_is_away(void *ctx)
{
	const edge_t *edge = ctx;
	size_t i;

	for (i = 0; i < edge->entry_count; i++) {
		if (at_sync_is_reader(edge->entries[i]->sync) &&
		    at_sync_is_platform_away(edge->entries[i]->sync))
			return 1;
	}
	return 0;
}

/*
 * A store that takes calls and does not answer them leaves the watches open;
 * whoever reads for the others must notice by its looks, and give way.
 */
Test(entry_path, a_reader_without_answers_says_so)
{
	edge_t *edge = make();
	int i;

	(void)edge_add_entry(edge);
	(void)edge_add_entry(edge);
	edge_until_ready(edge);
	edge_until(edge, one_reads, edge);
	standin_store_faults(edge->store)->silent = 100;
	for (i = 0; i < 40 && !reader_is_away(edge); i++)
		edge_run_ms(edge, 50);
	cr_assert(reader_is_away(edge), "nobody noticed in 2 s");
	edge_delete(edge);
}
