/*
 * A backend server writes an earlier refusal once more on a kept connection, in
 * place of the response to a request that it runs.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "support/entry_fixture.h"

/* A request is refused; the next one gets that refusal, and has run. */
typedef struct refusal_case {
	const char *name;
	const char *target;
	const char *model; /* NULL: of the plain service */
	int without_id;
} refusal_case_t;

static const refusal_case_t cases[] = {
    {"safe", "/safe/x", NULL, 0},
    {"safe, without an id", "/safe/x", NULL, 1},
    {"stream", "/stream/x", "m0", 0},
    {"stream, without an id", "/stream/x", "m0", 1},
    /* Their connections are not kept. */
    {"unsafe", "/unsafe/x", NULL, 0},
    {"stream that may not be resumed", "/once/x", "m0", 0},
};

static void
send(entry_fixture_t *fixture, const refusal_case_t *c, const char *id,
    entry_fixture_response_t *response)
{
	const entry_fixture_request_t request = {
	    "POST", c->target, id, ENTRY_FIXTURE_KEY, c->model, "body"};

	entry_fixture_call(fixture, 0, &request, response);
}

static void
run_case(const refusal_case_t *c)
{
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;
	standin_faults_t *faults;
	uint64_t runs;

	entry_fixture_apply_config(fixture, 1);
	if (c->model == NULL)
		(void)entry_fixture_add_service(fixture);
	else
		(void)entry_fixture_add_engine(fixture, c->model);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	faults = standin_server_faults(fixture->servers[0]);
	faults->refuse_without_id = c->without_id;
	faults->refuse = 2;
	send(fixture, c, "refused", &response);
	cr_expect_eq(response.status, 503, "%s: %d", c->name, response.status);
	entry_fixture_response_free(&response);
	faults->refuse = 0;
	faults->repeat_refusal = 1;
	send(fixture, c, "next", &response);
	runs = standin_server_run_count(fixture->servers[0]);
	cr_expect_eq(
	    runs, 1, "%s: %llu runs", c->name, (unsigned long long)runs);
	/* It has run: nothing may promise that it has not. */
	cr_expect_eq(response.status, 502, "%s: %d", c->name, response.status);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* It was taken for the refusal of the request that had just run. */
Test(repeated_refusals, are_not_those_of_another_request, .timeout = 60)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}
