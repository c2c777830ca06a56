/*
 * Servers that state in their answers that they leave, while the platform's
 * list goes on saying that they are ready. The rule allows drain_ms (2 s) from
 * the first such answer that an instance has passed on.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENTRIES 3u
#define DRAIN_MS 2000u
#define REPORT_MS 500u
#define AT_ONCE_MS 150u
#define RELIST_MS 900u /* longer than changes of the list are collected */

static const entry_fixture_request_t request = {
    "POST", "/stream/x", "id", ENTRY_FIXTURE_KEY, "m0", "prompt"};

static entry_fixture_t *
make_fixture(size_t engines)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < engines; i++)
		(void)entry_fixture_add_engine(fixture, "m0");
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, REPORT_MS);
	return fixture;
}

/* Returns the status of one request. */
static int
call(entry_fixture_t *fixture, size_t entry)
{
	entry_fixture_response_t response;
	int status;

	entry_fixture_call(fixture, entry, &request, &response);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

/* Sends requests to an entry until engine 0 has run one. */
static void
call_until_notified(entry_fixture_t *fixture, size_t entry)
{
	uint64_t before = standin_server_run_count(fixture->servers[0]);
	int i;

	for (i = 0;
	     i < 200 && standin_server_run_count(fixture->servers[0]) == before;
	     i++)
		cr_assert_eq(call(fixture, entry), 200);
	cr_assert_lt(i, 200);
}

typedef enum change {
	CHANGE_NONE,
	CHANGE_HEARTBEAT,  /* a later entry of the list says "ready" */
	CHANGE_RELISTED,   /* the entry is away for a moment */
	CHANGE_STORE_AWAY, /* no entry can follow */
	CHANGE_OTHER_ENTRY /* the requests come at instances not notified */
} change_t;

static const struct {
	const char *name;
	change_t change;
} cases[] = {
    {"the list says nothing", CHANGE_NONE},
    {"the list says ready", CHANGE_HEARTBEAT},
    {"the list has it again", CHANGE_RELISTED},
    {"the store is away", CHANGE_STORE_AWAY},
    {"another instance was notified", CHANGE_OTHER_ENTRY},
};

static void
run_case(size_t i)
{
	entry_fixture_t *fixture = make_fixture(2);
	uint64_t before;
	size_t k;

	standin_server_faults(fixture->servers[0])->leaving = 1;
	call_until_notified(fixture, 0);
	if (cases[i].change == CHANGE_HEARTBEAT)
		entry_fixture_list_server(fixture, 0, 0);
	else if (cases[i].change == CHANGE_RELISTED) {
		entry_fixture_unlist_server(fixture, 0);
		entry_fixture_run_ms(fixture, RELIST_MS);
		entry_fixture_list_server(fixture, 0, 0);
	} else if (cases[i].change == CHANGE_STORE_AWAY)
		standin_store_faults(fixture->store)->outage = 1;
	entry_fixture_run_ms(fixture, REPORT_MS);
	before = standin_server_run_count(fixture->servers[0]);
	for (k = 0; k < 40; k++)
		cr_assert_eq(call(fixture, cases[i].change == CHANGE_OTHER_ENTRY
					       ? 1 + k % (ENTRIES - 1)
					       : 0),
		    200, "%s", cases[i].name);
	cr_assert_eq(standin_server_run_count(fixture->servers[0]), before,
	    "%s", cases[i].name);
	entry_fixture_delete(fixture);
}

/* Only the platform's list was read. */
Test(server_leaving, a_server_that_says_so_gets_no_requests)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}

/* Also while it is the only one, and at its next start it is another server. */
Test(server_leaving, a_new_incarnation_is_used_again)
{
	entry_fixture_t *fixture = make_fixture(1);
	uint64_t start_ms;
	json_t *spec;
	char address[AT_ADDR_SIZE];

	standin_server_faults(fixture->servers[0])->leaving = 1;
	cr_assert_eq(call(fixture, 0), 200);
	start_ms = at_clock_now_ms();
	cr_assert_eq(call(fixture, 0), 503);
	cr_assert_lt(at_clock_now_ms(), start_ms + AT_ONCE_MS);
	standin_server_faults(fixture->servers[0])->leaving = 0;
	(void)snprintf(address, sizeof(address), "127.0.0.1:%u",
	    standin_server_port(fixture->servers[0]));
	spec = standin_server_spec(
	    "llm", address, "north", ENTRY_FIXTURE_VERSION, "m0", 0, 1000);
	json_object_set_new(spec, "born",
	    json_integer(
		json_integer_value(json_object_get(spec, "born")) + 1000));
	standin_store_put(
	    fixture->store, WIRE_KIND_SERVERS, fixture->ids[0], spec);
	entry_fixture_run_ms(fixture, REPORT_MS);
	cr_assert_eq(call(fixture, 0), 200);
	entry_fixture_delete(fixture);
}
