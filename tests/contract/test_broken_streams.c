/*
 * A stream has begun and breaks off; the next engine responds with an error.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/entry_fixture.h"

#define ENGINES 3u
#define EVENTS_BEFORE 2u
#define EVENTS "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\n"

/* What all engines respond to a resumption. */
typedef struct resumption {
	const char *name;
	uint32_t status;
	int is_unstamped;
	int is_empty; /* and of another type than the stream */
} resumption_t;

static const resumption_t resumptions[] = {
    {"a failure", 500, 0, 0},
    {"a failure of the proxy kind", 502, 0, 0},
    {"a deadline", 504, 0, 0},
    {"not found", 404, 0, 0},
    {"a bad request", 400, 0, 0},
    {"a redirection", 302, 0, 0},
    {"no content", 204, 0, 0},
    {"a success that is no stream", 200, 0, 0},
    {"a partial one", 206, 0, 0},
    {"a failure without a signature", 500, 1, 0},
    {"a success without a signature", 200, 1, 0},
    {"a refusal that may have run", 503, 0, 0},
    {"an empty success of another type", 200, 0, 1},
};

static void
run_case(const resumption_t *resumption)
{
	static const entry_fixture_request_t request = {
	    "POST", "/stream/x", "id-1", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;
	standin_faults_t *faults;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < ENGINES; i++) {
		(void)entry_fixture_add_engine(fixture, "m0");
		if (i > 0)
			standin_server_share_faults(
			    fixture->servers[i], fixture->servers[0]);
	}
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	faults = standin_server_faults(fixture->servers[0]);
	faults->truncate_after = EVENTS_BEFORE;
	faults->resumed_status = resumption->status;
	faults->resumed_unstamped = resumption->is_unstamped;
	faults->resumed_empty = resumption->is_empty;
	entry_fixture_call(fixture, 0, &request, &response);
	cr_expect_eq(
	    response.status, 200, "%s: %d", resumption->name, response.status);
	cr_expect_eq(response.len, strlen(EVENTS), "%s: %s", resumption->name,
	    response.body);
	cr_expect(response.len == strlen(EVENTS) &&
		      memcmp(response.body, EVENTS, strlen(EVENTS)) == 0,
	    "%s: %s", resumption->name, response.body);
	cr_expect_not(response.is_complete, "%s", resumption->name);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* Nothing of the error gets into the stream, and it does not end as whole. */
Test(broken_streams, get_nothing_of_the_next_response, .timeout = 60)
{
	size_t i;

	for (i = 0; i < sizeof(resumptions) / sizeof(resumptions[0]); i++)
		run_case(&resumptions[i]);
}
