/*
 * Instances that are cut off from all backend servers, while callers, the store
 * and the other instances reach them.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "io/clock.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define ENTRIES 3u
#define ENGINES 5u
#define CUTS 4u
#define CUT_MS 400u
#define BETWEEN_MS 300u
#define PARTS "a1:40,b2:30,c3:30"
#define SERVICES 3u

typedef struct deployment {
	entry_fixture_t *fixture;
	links_t *links;
} deployment_t;

static deployment_t
deployment_new(void)
{
	deployment_t deployment = {entry_fixture_new(), NULL};
	size_t i;

	entry_fixture_apply_config(deployment.fixture, 1);
	for (i = 0; i < ENGINES; i++)
		(void)entry_fixture_add_engine(deployment.fixture, "m0");
	for (i = 0; i < SERVICES; i++)
		(void)entry_fixture_add_service(deployment.fixture);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(deployment.fixture);
	entry_fixture_run_until_ready(deployment.fixture);
	entry_fixture_run_ms(deployment.fixture, 500);
	deployment.links = links_new(deployment.fixture);
	return deployment;
}

static void
deployment_delete(deployment_t *deployment)
{
	entry_fixture_delete(deployment->fixture);
	links_delete(deployment->links);
}

static void
set_silent(const deployment_t *deployment, uint32_t count)
{
	size_t i;

	for (i = 0; i < deployment->fixture->server_count; i++)
		standin_server_faults(deployment->fixture->servers[i])->silent =
		    count;
}

/* The same request each time but for its id; returns its status. */
static int
call_with_parts(const deployment_t *deployment, size_t entry, const char *id)
{
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", id, ENTRY_FIXTURE_KEY, "m0", "prompt"};
	entry_fixture_response_t response;
	uint64_t end_ms = at_clock_now_ms() + 3000;
	int status;

	entry_fixture_send_prompt(
	    deployment->fixture, entry, &fields, PARTS, &response);
	while (!response.done && at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(deployment->fixture, 10);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

/* Engines are slow to begin while the links of entry 0 fail now and then. */
static void
reset_links_in_series(const deployment_t *deployment)
{
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", "cut", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	entry_fixture_response_t response;
	size_t i;

	for (i = 0; i < CUTS; i++) {
		set_silent(deployment, 100);
		entry_fixture_send_prompt(
		    deployment->fixture, 0, &fields, PARTS, &response);
		entry_fixture_run_ms(deployment->fixture, 100);
		links_set(deployment->links, 0, LINKS_RESET);
		entry_fixture_run_ms(deployment->fixture, CUT_MS);
		links_set(deployment->links, 0, LINKS_UP);
		entry_fixture_response_free(&response);
		set_silent(deployment, 0);
		entry_fixture_run_ms(deployment->fixture, BETWEEN_MS);
	}
}

Test(cut_instances, blocks_no_sound_request)
{
	deployment_t deployment = deployment_new();

	reset_links_in_series(&deployment);
	cr_expect_eq(call_with_parts(&deployment, 1, "elsewhere"), 200);
	cr_expect_eq(call_with_parts(&deployment, 0, "here"), 200);
	deployment_delete(&deployment);
}
