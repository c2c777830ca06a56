/*
 * Durable jobs: an accepted job is executed once although the instance that
 * accepted it, or each instance, was replaced; a refused job is not executed.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <jansson.h>

#include "support/once_fixture.h"

/* Longest time until a lease is taken over and the job is executed. */
#define JOB_LIMIT_MS 60000u
#define ASYNC_HEADER "Prefer: respond-async"
#define NODES 3
#define KEY_HEADER "Idempotency-Key: j1"

static fixture_t *fixture;
static size_t polled_node;
static char href[128];

static void
setup(void)
{
	fixture = once_fixture_new();
}

static void
teardown(void)
{
	fixture_delete(fixture);
}

static fixture_response_t
submit_job(size_t node, const char *path, const char *body)
{
	static const char *const headers[2] = {ASYNC_HEADER, KEY_HEADER};

	return once_fixture_call(fixture, node, "POST", path, headers, body);
}

/* Submits a job, checks that it is accepted and stores its address. */
static void
submit_accepted_job(size_t node, const char *path)
{
	fixture_response_t response = submit_job(node, path, ONCE_FIXTURE_BODY);
	json_t *root = json_loadb(response.body, response.len, 0, NULL);

	cr_assert_eq(response.status, 202, "status %d: %s", response.status,
	    response.body);
	(void)snprintf(href, sizeof(href), "%s",
	    json_string_value(json_object_get(root, "href")));
	json_decref(root);
	fixture_response_free(&response);
}

static int
is_done(void *ctx)
{
	fixture_response_t response =
	    once_fixture_call(fixture, polled_node, "GET", href, NULL, NULL);
	int done = response.status == 200 &&
		   strstr(response.body, "\"state\":\"done\"") &&
		   strstr(response.body, "\"execution\":1");

	(void)ctx;
	fixture_response_free(&response);
	fixture_run_ms(fixture, 50);
	return done;
}

static void
run_until_done(size_t node)
{
	polled_node = node;
	cr_assert(fixture_run_until(fixture, is_done, NULL, JOB_LIMIT_MS));
	cr_assert_eq(once_fixture_count_executions(fixture), 1);
}

typedef struct route_case {
	const char *path;
	const char *platform_faults;
} route_case_t;

static const route_case_t routes[] = {{"/charges", "{}"}, {"/notices", "{}"},
    {"/charges", "{\"lose_replies\":1}"}, {"/charges", "{\"lose_replies\":2}"},
    {"/notices", "{\"delay_ms\":20,\"lose_replies\":1}"}};

static void
check_route(const route_case_t *route)
{
	fixture_set_faults(
	    fixture, fixture->platform_address, route->platform_faults);
	submit_accepted_job(0, route->path);
	run_until_done(2);
}

Test(jobs, once_route, .init = setup, .fini = teardown)
{
	check_route(&routes[0]);
}

Test(jobs, repeatable_route, .init = setup, .fini = teardown)
{
	check_route(&routes[1]);
}

Test(jobs, lost_response, .init = setup, .fini = teardown)
{
	check_route(&routes[2]);
}

Test(jobs, two_lost_responses, .init = setup, .fini = teardown)
{
	check_route(&routes[3]);
}

Test(jobs, delayed_and_lost_responses, .init = setup, .fini = teardown)
{
	check_route(&routes[4]);
}

Test(jobs, repeated_submission_is_one_job, .init = setup, .fini = teardown)
{
	fixture_response_t response;
	char first[128];

	submit_accepted_job(0, "/charges");
	memcpy(first, href, sizeof(first));
	submit_accepted_job(1, "/charges");
	cr_assert_str_eq(href, first);
	response = submit_job(2, "/charges", "{\"amount\":6}");
	once_fixture_check_response(
	    &response, 422, "\"reason\":\"claim_mismatch\"");
	run_until_done(1);
}

Test(jobs, crash_after_acknowledgement, .init = setup, .fini = teardown)
{
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":1000000}");
	submit_accepted_job(0, "/charges");
	fixture_remove_node(fixture, 0);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":0}");
	run_until_done(2);
}

/* Returns the instance that has retried a job, or NODES. */
static size_t
find_running_node(void)
{
	size_t i;

	for (i = 0; i < NODES; i++) {
		if (at_counters_get(fixture->nodes[i]->counters,
			"jobs_retried_total", NULL, NULL) > 0)
			return i;
	}
	return NODES;
}

static int
has_running_node(void *ctx)
{
	(void)ctx;
	return find_running_node() < NODES;
}

Test(jobs, crash_of_the_lease_holder, .init = setup, .fini = teardown)
{
	size_t crashed;

	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":1000000}");
	submit_accepted_job(0, "/notices");
	cr_assert(
	    fixture_run_until(fixture, has_running_node, NULL, JOB_LIMIT_MS));
	crashed = find_running_node();
	fixture_remove_node(fixture, crashed);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":0}");
	run_until_done((crashed + 1) % NODES);
}

Test(jobs, replacement_of_all_instances, .init = setup, .fini = teardown)
{

	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":1000000}");
	submit_accepted_job(0, "/notices");
	once_fixture_replace_all(fixture);
	fixture_set_faults(
	    fixture, fixture->service_addresses[0], "{\"refuse\":0}");
	run_until_done(4);
}

Test(jobs, platform_away, .init = setup, .fini = teardown)
{
	fixture_response_t response;

	fixture_set_faults(
	    fixture, fixture->platform_address, "{\"outage\":1}");
	response = submit_job(0, "/charges", ONCE_FIXTURE_BODY);
	cr_assert(strstr(response.body, "\"verdict\":\"not_run\""), "%s",
	    response.body);
	once_fixture_check_response(
	    &response, 503, "\"reason\":\"job_unavailable\"");
	cr_assert_eq(once_fixture_count_executions(fixture), 0);
	fixture_set_faults(
	    fixture, fixture->platform_address, "{\"outage\":0}");
	submit_accepted_job(1, "/charges");
	run_until_done(1);
}

Test(jobs, unknown_job, .init = setup, .fini = teardown)
{
	fixture_response_t response =
	    once_fixture_call(fixture, 0, "GET", "/v1/jobs/abc", NULL, NULL);

	once_fixture_check_response(
	    &response, 404, "\"reason\":\"unknown_job\"");
	response = once_fixture_call(fixture, 0, "GET",
	    "/v1/jobs/00112233445566778899aabbccddeeff", NULL, NULL);
	once_fixture_check_response(
	    &response, 404, "\"reason\":\"unknown_job\"");
}
