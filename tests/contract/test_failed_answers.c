/*
 * A backend server runs a request, fails, and responds with a signed status
 * that says to the caller that nothing was run.
 */
#include <stdio.h>

#include <criterion/criterion.h>

#include "support/entry_fixture.h"
#include "support/links.h"

#define SERVERS 2u
#define TRIES_MAX 50

typedef struct failure_case {
	const char *name;
	const char *target;
	const char *model; /* NULL: of the plain service */
	int status;        /* of the server's response */
	int expected;      /* what the caller gets */
	int may_repeat;
} failure_case_t;

static const failure_case_t cases[] = {
    {"charge, 503", "/unsafe/x", NULL, 503, 502, 0},
    {"charge, 429", "/unsafe/x", NULL, 429, 502, 0},
    {"charge, 408", "/unsafe/x", NULL, 408, 502, 0},
    {"stream that may not be resumed, 503", "/once/x", "m0", 503, 502, 0},
    {"stream that may not be resumed, 429", "/once/x", "m0", 429, 502, 0},
    {"safe, 503", "/safe/x", NULL, 503, 502, 1},
    {"safe, 429", "/safe/x", NULL, 429, 502, 1},
    {"safe, 408", "/safe/x", NULL, 408, 502, 1},
    {"stream, 503", "/stream/x", "m0", 503, 502, 1},
    {"stream, 429", "/stream/x", "m0", 429, 502, 1},
    /* These promise nothing and are the server's to give. */
    {"charge, 500", "/unsafe/x", NULL, 500, 500, 0},
    {"charge, 504", "/unsafe/x", NULL, 504, 504, 0},
    {"charge, 409", "/unsafe/x", NULL, 409, 409, 0},
    {"safe, 500", "/safe/x", NULL, 500, 500, 1},
    {"safe, 404", "/safe/x", NULL, 404, 404, 1},
    /* RFC 9110, 15: these are no statuses, and were passed on. */
    {"charge, 600", "/unsafe/x", NULL, 600, 502, 0},
    {"safe, 600", "/safe/x", NULL, 600, 502, 1},
    {"stream, 600", "/stream/x", "m0", 600, 502, 1},
    {"charge, 999", "/unsafe/x", NULL, 999, 502, 0},
    {"safe, 999", "/safe/x", NULL, 999, 502, 1},
    {"stream that may not be resumed, 999", "/once/x", "m0", 999, 502, 0},
};

static void
check_response(const failure_case_t *c, const char *via,
    const entry_fixture_response_t *response)
{
	int is_servers = c->expected == c->status;

	cr_expect_eq(response->status, c->expected, "%s, %s: %d", c->name, via,
	    response->status);
	cr_expect_eq(response->signature[0] != '\0', is_servers,
	    "%s, %s: signature '%s'", c->name, via, response->signature);
	cr_expect_str_empty(response->retry_after, "%s, %s: Retry-After %s",
	    c->name, via, response->retry_after);
}

/* Until it passes requests on through the other instance. */
static void
cut_first_instance(entry_fixture_t *fixture, links_t *links,
    const entry_fixture_request_t *request)
{
	entry_fixture_request_t before = *request;
	entry_fixture_response_t response;
	int tries = 0;
	int status;

	before.id = "before";
	links_set(links, 0, LINKS_RESET);
	do {
		entry_fixture_call(fixture, 0, &before, &response);
		status = response.status;
		entry_fixture_response_free(&response);
		entry_fixture_run_ms(fixture, 100);
	} while (status != 200 && ++tries < TRIES_MAX);
	cr_assert_eq(status, 200, "%d", status);
}

static uint64_t
count_runs(const entry_fixture_t *fixture)
{
	uint64_t runs = 0;
	size_t i;

	for (i = 0; i < SERVERS; i++)
		runs += standin_server_run_count(fixture->servers[i]);
	return runs;
}

static void
run_case(const failure_case_t *c, int is_relayed)
{
	const entry_fixture_request_t request = {"POST", c->target, "request-1",
	    ENTRY_FIXTURE_KEY, c->model, "body"};
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;
	links_t *links;
	uint64_t runs;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < SERVERS; i++) {
		if (c->model == NULL)
			(void)entry_fixture_add_service(fixture);
		else
			(void)entry_fixture_add_engine(fixture, c->model);
	}
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	links = links_new(fixture);
	if (is_relayed)
		cut_first_instance(fixture, links, &request);
	runs = count_runs(fixture);
	for (i = 0; i < SERVERS; i++)
		standin_server_faults(fixture->servers[i])->failure_status =
		    (uint32_t)c->status;
	entry_fixture_call(fixture, 0, &request, &response);
	check_response(c, is_relayed ? "relayed" : "direct", &response);
	runs = count_runs(fixture) - runs;
	cr_expect(runs == 1 || (c->may_repeat && runs > 1), "%s: %llu runs",
	    c->name, (unsigned long long)runs);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
	links_delete(links);
}

/* A charge that had run was answered 503, and its caller sent it again. */
Test(failed_answers, do_not_say_that_nothing_was_run, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i], 0);
}

/* The same by way of another instance. */
Test(failed_answers, do_not_say_so_when_relayed, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i += 3)
		run_case(&cases[i], 1);
}
