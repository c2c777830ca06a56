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
#define CONTACT_MS 3000u
#define JUDGED_MS 2000u
#define STEP_MS 25u
#define REQUESTS_MAX 1000u

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

/* One of three kinds in turn, to each instance in turn. */
typedef struct sent_request {
	entry_fixture_response_t response;
	size_t entry;
	int is_judged;
} sent_request_t;

typedef struct traffic {
	const deployment_t *deployment;
	sent_request_t requests[REQUESTS_MAX];
	size_t count;
} traffic_t;

static void
send_next(traffic_t *traffic, int is_judged)
{
	static const char *const targets[] = {
	    "/stream/x", "/unsafe/x", "/safe/x", "/once/x"};
	const char *target = targets[traffic->count / ENTRIES % 4u];
	int is_plain = target[1] == 'u' || target[2] == 'a';
	sent_request_t *request = &traffic->requests[traffic->count];
	char id[32];
	const entry_fixture_request_t fields = {is_plain ? "GET" : "POST",
	    target, id, ENTRY_FIXTURE_KEY, is_plain ? NULL : "m0",
	    is_plain ? NULL : "prompt"};

	cr_assert_lt(traffic->count, REQUESTS_MAX);
	(void)snprintf(id, sizeof(id), "request-%zu", traffic->count);
	request->entry = traffic->count++ % ENTRIES;
	request->is_judged = is_judged;
	entry_fixture_send(traffic->deployment->fixture, request->entry,
	    &fields, &request->response);
}

static void
run_traffic(traffic_t *traffic, uint32_t time_ms, int is_judged)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;

	while (at_clock_now_ms() < end_ms) {
		send_next(traffic, is_judged);
		entry_fixture_run_ms(traffic->deployment->fixture, STEP_MS);
	}
}

typedef struct counts {
	uint32_t sent;
	uint32_t served;
} counts_t;

/* Counts judged requests at the cut instances or at the others. */
static counts_t
count_requests(const traffic_t *traffic, size_t cut, int at_cut)
{
	counts_t counts = {0, 0};
	size_t i;

	for (i = 0; i < traffic->count; i++) {
		const sent_request_t *request = &traffic->requests[i];

		if (!request->is_judged || (request->entry < cut) != at_cut)
			continue;
		counts.sent++;
		counts.served += (uint32_t)(request->response.status == 200 &&
					    request->response.is_complete);
	}
	return counts;
}

static const struct {
	links_state_t state;
	size_t cut; /* instances */
} cuts[] = {{LINKS_HANG, 1}, {LINKS_RESET, 1}, {LINKS_NO_NEW, 1},
    {LINKS_HANG, 2}, {LINKS_RESET, 2}};

static void
check_cut(links_state_t state, size_t cut)
{
	static traffic_t traffic;
	deployment_t deployment = deployment_new();
	counts_t at_cut;
	counts_t others;
	size_t i;

	memset(&traffic, 0, sizeof(traffic));
	traffic.deployment = &deployment;
	run_traffic(&traffic, 500, 0);
	for (i = 0; i < cut; i++)
		links_set(deployment.links, i, state);
	run_traffic(&traffic, CONTACT_MS, 0);
	run_traffic(&traffic, JUDGED_MS, 1);
	entry_fixture_run_ms(deployment.fixture, 1500);
	at_cut = count_requests(&traffic, cut, 1);
	others = count_requests(&traffic, cut, 0);
	cr_expect(3u * at_cut.served * others.sent >=
			  2u * others.served * at_cut.sent ||
		      at_cut.sent - at_cut.served <=
			  10u + (at_cut.sent + others.sent) / 50u,
	    "links %d, %zu cut: served %u of %u there, %u of %u at the others",
	    (int)state, cut, at_cut.served, at_cut.sent, others.served,
	    others.sent);
	for (i = 0; i < traffic.count; i++)
		entry_fixture_response_free(&traffic.requests[i].response);
	deployment_delete(&deployment);
}

Test(cut_instances, serve_as_the_others_do, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++)
		check_cut(cuts[i].state, cuts[i].cut);
}
