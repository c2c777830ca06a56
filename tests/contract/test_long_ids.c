/*
 * Requests whose ids are long, but within the limit on headers: an id that was
 * cut did not match the server's response, and the caller got 502 for a request
 * that had run.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/entry_fixture.h"

typedef struct id_case {
	const char *target;
	const char *model;
	size_t len; /* of the id */
} id_case_t;

static const id_case_t cases[] = {{"/safe/x", NULL, 95}, {"/safe/x", NULL, 96},
    {"/safe/x", NULL, 300}, {"/unsafe/x", NULL, 96}, {"/unsafe/x", NULL, 4000},
    {"/stream/x", "m0", 96}, {"/stream/x", "m0", 4000}, {"/once/x", "m0", 96},
    {"/once/x", "m0", 4000}};

Test(long_ids, are_matched_whole, .timeout = 60)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_engine(fixture, "m0");
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		char *id = calloc(1, cases[i].len + 1);
		const entry_fixture_request_t request = {"POST",
		    cases[i].target, id, ENTRY_FIXTURE_KEY, cases[i].model,
		    "prompt"};
		entry_fixture_response_t response;

		memset(id, 'a', cases[i].len);
		id[cases[i].len - 1] = (char)('0' + i);
		entry_fixture_call(fixture, 0, &request, &response);
		cr_expect_eq(response.status, 200, "%s, %zu bytes: %d",
		    cases[i].target, cases[i].len, response.status);
		cr_expect(response.is_complete);
		entry_fixture_response_free(&response);
		free(id);
	}
	entry_fixture_delete(fixture);
}
