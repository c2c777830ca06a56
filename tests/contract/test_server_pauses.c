/*
 * Servers that turn a request away and want no further ones from the instance
 * for some time. The rule allows two requests between half a second after the
 * answer and the end of that time.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define PAUSE_MS 2000u
#define GRACE_MS 500u
#define AT_ONCE_MS 150u
#define RELIST_MS 900u /* longer than changes of the list are collected */
#define REQUESTS 12

static uint32_t arrivals; /* at engine 0 */

static void
on_arrival(void *ctx, const at_httpd_request_t *request, int is_run)
{
	(void)ctx;
	(void)request;
	(void)is_run;
	arrivals++;
}

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
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	arrivals = 0;
	standin_server_set_observer(fixture->servers[0], on_arrival, NULL);
	return fixture;
}

static void
refuse(entry_fixture_t *fixture, size_t server, uint32_t count, uint32_t ms)
{
	standin_faults_t *faults =
	    standin_server_faults(fixture->servers[server]);

	faults->refuse = count;
	faults->pause_reply_ms = ms;
}

static int
is_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

/* Runs requests one after the other; all are to be served. */
static void
serve(entry_fixture_t *fixture, uint32_t time_ms)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;
	entry_fixture_response_t response;

	while (at_clock_now_ms() < end_ms) {
		entry_fixture_call(fixture, 0, &request, &response);
		cr_assert_eq(response.status, 200);
		entry_fixture_response_free(&response);
	}
}

/* What the server or the list does beside the refusal. */
static const struct {
	const char *name;
	int is_unstated; /* the refusal does not state that nothing was run */
	int is_relisted; /* the server's entry is away for a moment */
} pause_cases[] = {
    {"refused", 0, 0},
    {"refused without a statement", 1, 0},
    {"listed again", 0, 1},
};

static void
run_pause_case(size_t i)
{
	entry_fixture_t *fixture = make_fixture(2);
	uint64_t start_ms;
	uint32_t before;

	refuse(fixture, 0, 1, PAUSE_MS);
	standin_server_faults(fixture->servers[0])->refuse_unstated =
	    pause_cases[i].is_unstated;
	while (arrivals == 0)
		serve(fixture, 20);
	start_ms = at_clock_now_ms();
	before = arrivals;
	if (pause_cases[i].is_relisted) {
		entry_fixture_unlist_server(fixture, 0);
		entry_fixture_run_ms(fixture, RELIST_MS);
		entry_fixture_list_server(fixture, 0, 0);
	}
	serve(fixture,
	    (uint32_t)(start_ms + PAUSE_MS - 200u - at_clock_now_ms()));
	cr_assert_eq(arrivals, before, "%s", pause_cases[i].name);
	cr_assert_lt(at_clock_now_ms(), start_ms + PAUSE_MS);
	serve(fixture, GRACE_MS + 2000);
	cr_assert_gt(arrivals, before, "%s", pause_cases[i].name);
	entry_fixture_delete(fixture);
}

/* The server was asked again at once, and after each failure elsewhere. */
Test(server_pauses, a_server_that_wants_a_pause_has_it)
{
	size_t i;

	for (i = 0; i < sizeof(pause_cases) / sizeof(pause_cases[0]); i++)
		run_pause_case(i);
}

/* All requests that have waited came at the moment of its end. */
Test(server_pauses, requests_come_back_one_at_a_time)
{
	entry_fixture_t *fixture = make_fixture(1);
	entry_fixture_response_t responses[REQUESTS];
	size_t i;

	standin_server_set_events(fixture->servers[0], 10, 20);
	refuse(fixture, 0, 2, 400);
	for (i = 0; i < REQUESTS; i++) {
		entry_fixture_send(fixture, 0, &request, &responses[i]);
		entry_fixture_run_ms(fixture, 10);
	}
	/* The first was refused; the others wait, and one asks again. */
	entry_fixture_run_ms(fixture, 380);
	cr_assert_leq(arrivals, 3);
	entry_fixture_run_ms(fixture, 300);
	cr_assert_leq(arrivals, 4);
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_response_free(&responses[i]);
	entry_fixture_delete(fixture);
}

/* Nothing could be sent before their callers leave. */
Test(server_pauses, requests_are_refused_at_once_if_the_pause_is_longer)
{
	entry_fixture_t *fixture = make_fixture(1);
	entry_fixture_response_t response;
	uint64_t start_ms;

	refuse(fixture, 0, 1, 20000);
	entry_fixture_call(fixture, 0, &request, &response);
	cr_assert_eq(response.status, 503);
	entry_fixture_response_free(&response);
	start_ms = at_clock_now_ms();
	entry_fixture_call(fixture, 0, &request, &response);
	cr_assert_lt(at_clock_now_ms(), start_ms + AT_ONCE_MS);
	cr_assert_eq(response.status, 503);
	cr_assert_neq(response.retry_after[0], '\0');
	cr_assert_eq(arrivals, 1);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}

/* A pause that ends in time is waited for. */
Test(server_pauses, a_short_pause_is_waited_for)
{
	entry_fixture_t *fixture = make_fixture(1);
	entry_fixture_response_t response;

	refuse(fixture, 0, 1, 300);
	entry_fixture_call(fixture, 0, &request, &response);
	entry_fixture_response_free(&response);
	entry_fixture_send(fixture, 0, &request, &response);
	entry_fixture_run_until(fixture, is_done, &response);
	cr_assert_eq(response.status, 200);
	entry_fixture_response_free(&response);
	entry_fixture_delete(fixture);
}
