/*
 * A request is passed on by another instance, and what comes back looks like
 * that instance's statement that it was not sent to a backend server.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "entry/servers/relay.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define SERVERS 2u
#define TRIES_MAX 50

static int
call(entry_fixture_t *fixture, const char *target, const char *model,
    const char *id)
{
	const entry_fixture_request_t request = {
	    "POST", target, id, ENTRY_FIXTURE_KEY, model, "body"};
	entry_fixture_response_t response;
	int status;

	entry_fixture_call(fixture, 0, &request, &response);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

static uint64_t
count_runs(const entry_fixture_t *fixture)
{
	uint64_t runs = 0;
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		runs += standin_server_run_count(fixture->servers[i]);
	return runs;
}

static void
check_target(const char *target, const char *model)
{
	entry_fixture_t *fixture = entry_fixture_new();
	links_t *links;
	uint64_t runs;
	int tries = 0;
	int status;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < SERVERS; i++) {
		if (model == NULL)
			(void)entry_fixture_add_service(fixture);
		else
			(void)entry_fixture_add_engine(fixture, model);
	}
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	links = links_new(fixture);
	links_set(links, 0, LINKS_RESET);
	while (call(fixture, target, model, "before") != 200 &&
	       ++tries < TRIES_MAX)
		entry_fixture_run_ms(fixture, 100);
	for (i = 0; i < SERVERS; i++)
		standin_server_faults(fixture->servers[i])
		    ->claims_relay_refusal = 1;
	runs = count_runs(fixture);
	status = call(fixture, target, model, "request-1");
	runs = count_runs(fixture) - runs;
	cr_expect_eq(status, 200, "%s: %d", target, status);
	cr_expect_eq(
	    runs, 1, "%s: %llu runs", target, (unsigned long long)runs);
	entry_fixture_delete(fixture);
	links_delete(links);
}

/* A charge ran at two servers, as the first one's response had that header. */
Test(relay_outcomes, are_not_taken_from_servers, .timeout = 60)
{
	check_target("/unsafe/x", NULL);
	check_target("/safe/x", NULL);
	check_target("/once/x", "m0");
}

/* What has the address of an instance that is gone responds. */
typedef struct answer_case {
	int status;
	const char *outcome; /* NULL: no such header */
	at_relay_outcome_t expected;
} answer_case_t;

static const answer_case_t answers[] = {
    {200, "passed", AT_RELAY_PASSED},
    {503, "refused", AT_RELAY_REFUSED},
    {503, "unreachable", AT_RELAY_UNREACHABLE},
    {503, "lost", AT_RELAY_LOST},
    /* An instance rejects the request before it looks for a server. */
    {400, NULL, AT_RELAY_REFUSED},
    {403, NULL, AT_RELAY_REFUSED},
    {413, NULL, AT_RELAY_REFUSED},
    {431, NULL, AT_RELAY_REFUSED},
    {200, NULL, AT_RELAY_LOST},
    {500, NULL, AT_RELAY_LOST},
    {503, NULL, AT_RELAY_LOST},
    {200, "garbage", AT_RELAY_LOST},
};

typedef struct exchange {
	const answer_case_t *answer;
	at_relay_outcome_t outcome;
	int is_done;
} exchange_t;

static void
respond(void *ctx, at_httpd_request_t *request)
{
	const exchange_t *exchange = ctx;
	const at_header_t headers[] = {
	    {RELAY_HEADER, exchange->answer->outcome}, {NULL, NULL}};

	at_httpd_reply(request, exchange->answer->status,
	    exchange->answer->outcome == NULL ? NULL : headers, "", 0);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	exchange_t *exchange = ctx;

	exchange->outcome = at_relay_read_outcome(transfer, status);
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	exchange_t *exchange = ctx;

	(void)result;
	exchange->is_done = 1;
}

static int
is_done(void *ctx)
{
	return ((exchange_t *)ctx)->is_done;
}

/* An answer of anything else was taken for "not sent", and a charge repeated.
 */
Test(relay_outcomes, need_the_header_or_a_rejection, .timeout = 60)
{
	entry_fixture_t *fixture = entry_fixture_new();
	at_httpd_t *httpd = at_httpd_new(fixture->loop);
	exchange_t exchange = {0};
	const at_transfer_events_t events = {
	    .on_headers = on_headers, .on_done = on_done, .ctx = &exchange};
	at_transfer_spec_t spec = {.method = "POST"};
	char url[64];
	size_t i;

	at_httpd_set_handler(httpd, respond, &exchange);
	cr_assert_eq(at_httpd_init(httpd, "127.0.0.1:0", NULL), AT_OK);
	(void)snprintf(
	    url, sizeof(url), "http://127.0.0.1:%u/", at_httpd_port(httpd));
	spec.url = url;
	for (i = 0; i < sizeof(answers) / sizeof(answers[0]); i++) {
		exchange = (exchange_t){.answer = &answers[i]};
		cr_assert_not_null(
		    at_httpc_start(fixture->httpc, &spec, &events));
		entry_fixture_run_until(fixture, is_done, &exchange);
		cr_expect_eq(exchange.outcome, answers[i].expected,
		    "%d, %s: %s", answers[i].status,
		    answers[i].outcome == NULL ? "none" : answers[i].outcome,
		    at_relay_outcome_names[exchange.outcome]);
	}
	at_httpd_delete(httpd);
	entry_fixture_delete(fixture);
}
