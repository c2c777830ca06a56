/*
 * Requests under faults of backend servers: each ends with the right verdict
 * and with its own complete response or none, and is not executed more often
 * than its route allows.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/fault_fixture.h"

static fixture_t *fixture;
static standin_relay_t *relay;

static void
setup(void)
{
	fixture = fault_fixture_new(NULL);
}

static void
setup_relay(void)
{
	fixture = fault_fixture_new(&relay);
}

static void
teardown(void)
{
	if (relay != NULL)
		standin_relay_delete(relay);
	fixture_delete(fixture);
}

static void
silence_old_connections(void)
{
	char address[AT_ADDR_SIZE];

	(void)snprintf(address, sizeof(address), "127.0.0.1:%u",
	    standin_relay_control_port(relay));
	fixture_set_faults(fixture, address, "{\"silent_old\":1}");
}

typedef struct fault_case {
	const char *faults;
	const char *method;
	const char *path;
	const char *body;
	int status;
	int is_complete;
	const char *contains;
	uint64_t executions; /* expected at the backend servers */
	at_reason_t retried; /* reason of a retry; NONE: not checked */
} fault_case_t;

#define CHAT_STREAM "POST", FAULT_FIXTURE_CHAT_PATH, FAULT_FIXTURE_CHAT_STREAM
#define CHAT "POST", FAULT_FIXTURE_CHAT_PATH, FAULT_FIXTURE_CHAT
#define CHARGE "POST", "/charges", "{}"
#define SLOTS "GET", "/slots", NULL
#define STREAM_END "data: [DONE]"
#define MAY_HAVE_RUN "\"verdict\":\"may_have_run\""
#define NOT_RUN "\"verdict\":\"not_run\""

static const fault_case_t cases[] = {
    {"{}", CHAT_STREAM, 200, 1, STREAM_END, 1, AT_REASON_NONE},
    {"{}", CHAT, 200, 1, "-0\"", 1, AT_REASON_NONE},
    {"{\"crossed\":1}", CHAT_STREAM, 200, 1, STREAM_END, 2, AT_REASON_CROSSED},
    {"{\"crossed\":1}", CHAT, 200, 1, "-1\"", 2, AT_REASON_CROSSED},
    {"{\"crossed\":3}", CHAT_STREAM, 502, 1, MAY_HAVE_RUN, 3,
	AT_REASON_CROSSED},
    {"{\"crossed\":3}", CHAT, 502, 1, MAY_HAVE_RUN, 3, AT_REASON_CROSSED},
    {"{\"repeat_refusal\":1}", CHAT, 200, 1, "-1\"", 2, AT_REASON_CROSSED},
    {"{\"repeat_refusal\":3}", CHAT, 502, 1, MAY_HAVE_RUN, 3,
	AT_REASON_CROSSED},
    {"{\"repeat_refusal\":3}", CHAT_STREAM, 502, 1, MAY_HAVE_RUN, 3,
	AT_REASON_CROSSED},
    {"{\"truncate_after\":2}", CHAT_STREAM, 200, 0, "\"reason\":\"truncated\"",
	1, AT_REASON_NONE},
    {"{\"shorten\":1}", CHAT_STREAM, 200, 0, "\"reason\":\"truncated\"", 1,
	AT_REASON_NONE},
    {"{\"break_whole\":1}", CHAT, 200, 1, "-1\"", 2, AT_REASON_TRUNCATED},
    {"{\"shorten\":1}", CHAT, 200, 1, "-1\"", 2, AT_REASON_TRUNCATED},
    {"{\"break_whole\":3}", CHAT, 502, 1, "\"truncated\"", 3,
	AT_REASON_TRUNCATED},
    {"{\"refuse\":1}", CHAT_STREAM, 200, 1, STREAM_END, 1,
	AT_REASON_REFUSED_BY_BACKEND},
    {"{\"refuse\":3}", CHAT_STREAM, 503, 1, NOT_RUN, 0,
	AT_REASON_REFUSED_BY_BACKEND},
    {"{\"crash\":1}", CHAT_STREAM, 200, 1, STREAM_END, 2,
	AT_REASON_BACKEND_RESET},
    {"{\"silent\":1}", CHAT_STREAM, 200, 1, STREAM_END, 2, AT_REASON_NONE},
    {"{\"refuse\":1,\"crossed\":1}", CHAT, 200, 1, "-2\"", 2,
	AT_REASON_CROSSED},
    {"{\"crash\":1,\"shorten\":1}", CHAT, 200, 1, "-2\"", 3,
	AT_REASON_TRUNCATED},
    {"{\"lose_replies\":1}", SLOTS, 200, 1, "\"ok\":true", 2,
	AT_REASON_BACKEND_RESET},
    {"{\"silent\":1}", SLOTS, 200, 1, "\"ok\":true", 2, AT_REASON_NONE},
    {"{\"lose_replies\":1}", CHARGE, 502, 1, MAY_HAVE_RUN, 1, AT_REASON_NONE},
    {"{\"crash\":1}", CHARGE, 502, 1, MAY_HAVE_RUN, 1, AT_REASON_NONE},
    {"{\"silent\":1}", CHARGE, 504, 1, MAY_HAVE_RUN, 1, AT_REASON_NONE},
    {"{\"refuse\":1}", CHARGE, 200, 1, "\"ok\":true", 1,
	AT_REASON_REFUSED_BY_BACKEND},
    {"{\"refuse\":3}", CHARGE, 503, 1, NOT_RUN, 0,
	AT_REASON_REFUSED_BY_BACKEND},
    {"{\"refuse\":1,\"lose_replies\":1}", CHARGE, 502, 1, MAY_HAVE_RUN, 1,
	AT_REASON_REFUSED_BY_BACKEND},
    {"{\"repeat_refusal\":1}", CHARGE, 502, 1, MAY_HAVE_RUN, 1, AT_REASON_NONE},
};

static void
run_case(size_t i)
{
	const fault_case_t *test_case = &cases[i];
	const char *reason = at_reason_names[test_case->retried];
	uint64_t before = fault_fixture_count_executions(fixture);
	uint64_t retries = fault_fixture_get_counter(
	    fixture, "retries_total", "reason", reason);
	char key[64];
	fixture_response_t response;

	(void)snprintf(key, sizeof(key), "Idempotency-Key: row-%zu", i);
	fixture_set_faults(
	    fixture, fixture->engine_addresses[0], test_case->faults);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], test_case->faults);
	response = fault_fixture_call(
	    fixture, test_case->method, test_case->path, key, test_case->body);
	cr_expect_eq(response.status, test_case->status,
	    "case %zu: status %d: %s", i, response.status, response.body);
	cr_expect_eq(response.is_complete, test_case->is_complete,
	    "case %zu: complete %d", i, response.is_complete);
	cr_expect(strstr(response.body, test_case->contains), "case %zu: %s", i,
	    response.body);
	cr_expect_null(strstr(response.body, "someone-else"), "case %zu", i);
	cr_expect(
	    test_case->is_complete || strstr(response.body, STREAM_END) == NULL,
	    "case %zu", i);
	cr_expect_eq(fault_fixture_count_executions(fixture) - before,
	    test_case->executions, "case %zu: %llu executions", i,
	    (unsigned long long)(fault_fixture_count_executions(fixture) -
				 before));
	if (test_case->retried != AT_REASON_NONE)
		cr_expect_gt(fault_fixture_get_counter(
				 fixture, "retries_total", "reason", reason),
		    retries);
	fixture_response_free(&response);
	fixture_set_faults(
	    fixture, fixture->engine_addresses[0], FAULT_FIXTURE_NO_FAULTS);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], FAULT_FIXTURE_NO_FAULTS);
}

Test(requests, end_with_the_right_verdict_under_each_fault, .init = setup,
    .fini = teardown)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		/*
		 * Each case starts with a full retry budget, so that the
		 * retries of one do not deny those of the next.
		 */
		at_budget_t *budget =
		    at_budgets_get(fixture->nodes[0]->budgets, "w1", 0);

		at_budget_init(budget, 0);
		at_budget_init(
		    at_budgets_get(fixture->nodes[0]->budgets, "", 0), 0);
		at_budget_init(
		    &at_backends_find(fixture->nodes[0]->backends, "e1")
			 ->budget,
		    0);
		at_budget_init(
		    &at_backends_find(fixture->nodes[0]->backends, "s1")
			 ->budget,
		    0);
		run_case(i);
	}
}

Test(requests, stop_retrying_without_retry_budget, .init = setup,
    .fini = teardown)
{
	uint64_t before = fault_fixture_count_executions(fixture);
	uint64_t executions = 0;
	int i;

	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"lose_replies\":1000}");
	for (i = 0; i < 30; i++) {
		fixture_response_t response =
		    fault_fixture_call(fixture, "GET", "/slots", NULL, NULL);

		cr_assert_eq(response.status, 502, "%d", response.status);
		fixture_response_free(&response);
	}
	executions = fault_fixture_count_executions(fixture) - before;
	/* 30 requests, a burst of 10 retries and 0.1 retries per second. */
	cr_assert_geq(executions, 40);
	cr_assert_leq(executions, 42);
	cr_assert_gt(fault_fixture_get_counter(
			 fixture, "retries_denied_total", NULL, NULL),
	    0);
}

static int
discard(void *ctx, const char *data, size_t len)
{
	(void)ctx;
	(void)data;
	(void)len;
	return 0;
}

static at_transfer_result_t last_result;
static int has_result;

static void
keep_result(void *ctx, const at_transfer_result_t *result)
{
	(void)ctx;
	last_result = *result;
	has_result = 1;
}

static int
is_result_known(void *ctx)
{
	(void)ctx;
	return has_result;
}

static void
run_transfer(const char *method, int new_connection, int forbid_resend)
{
	char url[128];
	const at_transfer_spec_t spec = {.method = method,
	    .url = url,
	    .body = "{}",
	    .body_len = 2,
	    .new_connection = new_connection,
	    .forbid_resend = forbid_resend};
	const at_transfer_events_t events = {
	    .on_data = discard, .on_done = keep_result};

	(void)snprintf(url, sizeof(url), "http://%s/charges",
	    fixture->service_addresses[0]);
	has_result = 0;
	cr_assert_not_null(at_httpc_start(fixture->httpc, &spec, &events));
	cr_assert(fixture_run_until(fixture, is_result_known, NULL, 20000));
}

typedef struct resend_case {
	int new_connection;
	int forbid_resend;
	uint64_t executions;
	int is_complete;
	uint32_t resends;
	int reused;
} resend_case_t;

static const resend_case_t resend_cases[] = {
    {0, 0, 2, 1, 1, 0}, /* libcurl resends: one success, two executions */
    {0, 1, 1, 0, 1, 1},
    {1, 0, 1, 0, 0, 0},
};

Test(requests, are_not_resent_by_the_http_library, .init = setup,
    .fini = teardown)
{
	size_t i;

	for (i = 0; i < sizeof(resend_cases) / sizeof(resend_cases[0]); i++) {
		const resend_case_t *test_case = &resend_cases[i];
		uint64_t before;

		run_transfer("POST", 0, 0); /* fills the pool */
		before = fault_fixture_count_executions(fixture);
		fixture_set_faults(fixture, fixture->service_addresses[0],
		    "{\"lose_replies\":1}");
		run_transfer("POST", test_case->new_connection,
		    test_case->forbid_resend);
		cr_expect_eq(fault_fixture_count_executions(fixture) - before,
		    test_case->executions, "case %zu: %llu executions", i,
		    (unsigned long long)(fault_fixture_count_executions(
					     fixture) -
					 before));
		cr_expect_eq(last_result.is_complete, test_case->is_complete,
		    "case %zu", i);
		cr_expect_eq(last_result.resend_count, test_case->resends,
		    "case %zu", i);
	}
}

Test(requests, count_a_hidden_resend_as_retry, .init = setup, .fini = teardown)
{
	uint64_t before;
	fixture_response_t response =
	    fault_fixture_call(fixture, "GET", "/slots", NULL, NULL);

	fixture_response_free(&response);
	before = fault_fixture_count_executions(fixture);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"lose_replies\":1}");
	response = fault_fixture_call(fixture, "GET", "/slots", NULL, NULL);
	cr_assert_eq(response.status, 200);
	fixture_response_free(&response);
	cr_assert_eq(fault_fixture_count_executions(fixture) - before, 2);
	cr_assert_eq(fault_fixture_get_counter(
			 fixture, "hidden_resends_total", NULL, NULL),
	    1);
	cr_assert_eq(fault_fixture_get_counter(
			 fixture, "retries_total", "reason", "backend_reset"),
	    1);
	/* A request that runs at most once uses a new connection. */
	before = fault_fixture_count_executions(fixture);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"lose_replies\":1}");
	response = fault_fixture_call(
	    fixture, "POST", "/charges", "Idempotency-Key: t", "{}");
	cr_assert_eq(response.status, 502);
	cr_assert(strstr(response.body, MAY_HAVE_RUN), "%s", response.body);
	fixture_response_free(&response);
	cr_assert_eq(fault_fixture_count_executions(fixture) - before, 1);
	cr_assert_eq(fault_fixture_get_counter(
			 fixture, "hidden_resends_total", NULL, NULL),
	    1);
}

Test(requests, skip_a_silent_pool_after_one_time_out, .init = setup_relay,
    .fini = teardown)
{
	fixture_response_t responses[8];
	size_t i;
	double start;
	double slowest = 0.;

	/* Puts eight connections in the pool, which then become silent. */
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"delay_ms\":100}");
	for (i = 0; i < 8; i++)
		fault_fixture_send(
		    fixture, &responses[i], "GET", "/slots", NULL, NULL);
	for (i = 0; i < 8; i++) {
		cr_assert(fixture_run_until(
		    fixture, fault_fixture_is_done, &responses[i], 20000));
		cr_assert_eq(responses[i].status, 200);
		fixture_response_free(&responses[i]);
	}
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"delay_ms\":0}");
	silence_old_connections();
	for (i = 0; i < 8; i++) {
		fixture_response_t response;

		start = ev_time();
		response =
		    fault_fixture_call(fixture, "GET", "/slots", NULL, NULL);
		if (ev_time() - start > slowest)
			slowest = ev_time() - start;
		cr_assert_eq(response.status, 200, "%s", response.body);
		fixture_response_free(&response);
	}
	/* Only the first request used a silent connection and was hedged. */
	cr_assert_eq(
	    fault_fixture_get_counter(fixture, "hedges_total", NULL, NULL), 1);
	cr_assert_lt(slowest * AT_MS_PER_S, FAULT_FIXTURE_FIRST_BYTE_MS);
}
