/*
 * A request that crashes each engine that executes it is blocked by all
 * instances after it has crashed two engines, until an operator lifts the
 * block. Requests that an engine executes at the same time are not blocked, and
 * their callers get their responses.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/fault_fixture.h"

/* Stated target: a request is blocked "within seconds". */
#define DECISION_LIMIT_MS 5000u
#define CRASHING_CHAT                                         \
	"{\"model\":\"m1\",\"max_tokens\":8,\"stream\":true," \
	"\"messages\":[\"" STANDIN_CRASH_TEXT "\"]}"
#define OTHER_REQUESTS 4

static fixture_t *fixture;

static int
has_listed_engines(void *ctx)
{
	at_node_t *node = ctx;
	const char *const names[] = {"e1", "e2", "e3"};
	size_t i;

	for (i = 0; i < 3; i++) {
		at_backend_t *backend =
		    at_backends_find(node->backends, names[i]);

		if (backend == NULL || backend->view.resident_count == 0)
			return 0;
	}
	return at_node_is_ready(node);
}

static void
setup(void)
{
	fixture = fault_fixture_new(NULL);
	(void)fixture_add_engine(fixture, "e2", "north", "m1");
	(void)fixture_add_engine(fixture, "e3", "north", "m1");
	(void)fixture_add_node(fixture, "n2", "north");
	cr_assert(fixture_run_until(
	    fixture, has_listed_engines, fixture->nodes[0], 12000));
	cr_assert(fixture_run_until(
	    fixture, has_listed_engines, fixture->nodes[1], 12000));
}

static void
teardown(void)
{
	fixture_delete(fixture);
}

static uint64_t
count_executions(void)
{
	return standin_engine_execution_count(fixture->engines[0]) +
	       standin_engine_execution_count(fixture->engines[1]) +
	       standin_engine_execution_count(fixture->engines[2]);
}

/* The most severe suspicion that a node has, and the suspect it is about. */
static at_suspicion_t worst_suspicion;
static at_suspect_t worst_suspect;

static void
keep_most_severe(void *ctx, const at_suspect_t *suspect)
{
	(void)ctx;
	if (suspect->suspicion < worst_suspicion)
		return;
	worst_suspicion = suspect->suspicion;
	worst_suspect = *suspect;
}

static at_suspicion_t
get_most_severe_suspicion(const at_node_t *node)
{
	worst_suspicion = AT_SUSPICION_CLEAR;
	at_suspects_each(node->suspects, keep_most_severe, NULL);
	return worst_suspicion;
}

static int
is_blocked_everywhere(void *ctx)
{
	(void)ctx;
	return get_most_severe_suspicion(fixture->nodes[0]) ==
		   AT_SUSPICION_BLOCKED &&
	       get_most_severe_suspicion(fixture->nodes[1]) ==
		   AT_SUSPICION_BLOCKED;
}

static int
is_lifted_everywhere(void *ctx)
{
	(void)ctx;
	return get_most_severe_suspicion(fixture->nodes[0]) ==
		   AT_SUSPICION_LIFTED &&
	       get_most_severe_suspicion(fixture->nodes[1]) ==
		   AT_SUSPICION_LIFTED;
}

static int
has_crashed_two_engines(void *ctx)
{
	(void)ctx;
	return count_executions() >= 2 &&
	       fixture->nodes[0]->open_exchanges == 0;
}

/* Sends the crashing request and waits until it is blocked. */
static void
crash_until_blocked(void)
{
	fixture_response_t response = fault_fixture_call(
	    fixture, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, CRASHING_CHAT);

	cr_assert_eq(response.status, 502, "status %d: %s", response.status,
	    response.body);
	cr_assert(strstr(response.body, "\"verdict\":\"may_have_run\""), "%s",
	    response.body);
	fixture_response_free(&response);
	cr_assert(fixture_run_until(
	    fixture, has_crashed_two_engines, NULL, DECISION_LIMIT_MS));
	cr_assert(fixture_run_until(
	    fixture, is_blocked_everywhere, NULL, DECISION_LIMIT_MS));
}

Test(crashes, are_blocked_after_two_engine_crashes, .init = setup,
    .fini = teardown)
{
	const char *const nodes[] = {
	    fixture->node_addresses[0], fixture->node_addresses[1]};
	char hash[65];
	char bearer[160];
	char path[128];
	char text[AT_FINGERPRINT_TEXT_SIZE];
	const char *headers[] = {bearer, NULL};
	uint64_t before;
	fixture_response_t response;
	size_t i;

	(void)snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s",
	    fixture_make_key("k1", hash));
	crash_until_blocked();
	before = count_executions();
	cr_assert_eq(before, 2, "%llu", (unsigned long long)before);
	for (i = 0; i < 2; i++) {
		response = fixture_call(fixture, "POST", nodes[i],
		    FAULT_FIXTURE_CHAT_PATH, headers, CRASHING_CHAT);
		cr_assert_eq(response.status, 422, "status %d: %s",
		    response.status, response.body);
		cr_assert(
		    strstr(response.body, "\"reason\":\"crashes_backend\""));
		cr_assert(strstr(response.body, "\"verdict\":\"not_run\""));
		fixture_response_free(&response);
	}
	cr_assert_eq(count_executions(), before);
	response = fixture_call(fixture, "GET", fixture->operator_addresses[1],
	    "/status", NULL, NULL);
	cr_assert(strstr(response.body, "\"suspicion\":\"convicted\""), "%s",
	    response.body);
	fixture_response_free(&response);
	at_fingerprint_format(&worst_suspect.fingerprint, text);
	(void)snprintf(
	    path, sizeof(path), "/suspects/lift?fingerprint=%s", text);
	response = fixture_call(
	    fixture, "POST", fixture->operator_addresses[1], path, NULL, NULL);
	cr_assert_eq(response.status, 200);
	fixture_response_free(&response);
	cr_assert(fixture_run_until(
	    fixture, is_lifted_everywhere, NULL, DECISION_LIMIT_MS));
}

static int
has_no_exchange(void *ctx)
{
	(void)ctx;
	return fixture->nodes[0]->open_exchanges == 0;
}

typedef struct suspect_count {
	uint32_t blocked;
	uint32_t others;
} suspect_count_t;

static void
count_suspect(void *ctx, const at_suspect_t *suspect)
{
	suspect_count_t *counts = ctx;

	if (suspect->suspicion == AT_SUSPICION_BLOCKED)
		counts->blocked++;
	else
		counts->others++;
}

/*
 * Requests whose response is buffered when their engine crashes are retried on
 * another engine.
 */
Test(crashes, do_not_block_other_requests, .init = setup, .fini = teardown)
{
	fixture_response_t responses[OTHER_REQUESTS];
	char bodies[OTHER_REQUESTS][160];
	fixture_response_t response;
	suspect_count_t counts = {0};
	int i;

	for (i = 0; i < 3; i++)
		fixture_set_faults(fixture, fixture->engine_addresses[i],
		    "{\"token_us\":30000}");
	for (i = 0; i < OTHER_REQUESTS; i++) {
		(void)snprintf(bodies[i], sizeof(bodies[i]),
		    "{\"model\":\"m1\",\"max_tokens\":8,"
		    "\"messages\":[\"innocent %d\"]}",
		    i);
		fault_fixture_send(fixture, &responses[i], "POST",
		    FAULT_FIXTURE_CHAT_PATH, NULL, bodies[i]);
	}
	fixture_run_ms(fixture, 50);
	response = fault_fixture_call(
	    fixture, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, CRASHING_CHAT);
	cr_assert_neq(response.status, 200);
	fixture_response_free(&response);
	for (i = 0; i < OTHER_REQUESTS; i++) {
		cr_assert(fixture_run_until(fixture, fault_fixture_is_done,
		    &responses[i], FAULT_FIXTURE_CALL_TIMEOUT_MS));
		cr_assert_eq(
		    responses[i].status, 200, "%d: %s", i, responses[i].body);
		cr_assert(responses[i].is_complete);
		fixture_response_free(&responses[i]);
	}
	cr_assert(fixture_run_until(
	    fixture, has_no_exchange, NULL, FAULT_FIXTURE_CALL_TIMEOUT_MS));
	fixture_run_ms(fixture, 2 * AT_SUSPECTS_DECISION_DELAY_MS);
	at_suspects_each(fixture->nodes[0]->suspects, count_suspect, &counts);
	cr_assert_leq(counts.blocked, 1);
	/* The other requests are not blocked: they are served again. */
	for (i = 0; i < OTHER_REQUESTS; i++) {
		response = fault_fixture_call(
		    fixture, "POST", FAULT_FIXTURE_CHAT_PATH, NULL, bodies[i]);
		cr_assert_eq(response.status, 200, "%d: %s", i, response.body);
		fixture_response_free(&response);
	}
}
