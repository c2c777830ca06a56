/*
 * Instances that are cut off from all backend servers, while callers, the store
 * and the other instances reach them.
 */
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "entry/servers/relay.h"
#include "entry/store/sync.h"
#include "io/address.h"
#include "io/clock.h"
#include "platform/names.h"
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
	int may_repeat;
	uint32_t runs; /* at any server */
} sent_request_t;

typedef struct traffic {
	const deployment_t *deployment;
	sent_request_t requests[REQUESTS_MAX];
	size_t count;
} traffic_t;

static void
on_arrival(void *ctx, const at_httpd_request_t *request, int is_run)
{
	traffic_t *traffic = ctx;
	const char *id = at_httpd_header(request, WIRE_REQUEST_ID);
	size_t i = strtoul(id + strlen("request-"), NULL, 10);

	cr_assert_lt(i, traffic->count);
	traffic->requests[i].runs += (uint32_t)is_run;
}

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
	request->may_repeat =
	    strcmp(target, "/unsafe/x") != 0 && strcmp(target, "/once/x") != 0;
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
	for (i = 0; i < deployment.fixture->server_count; i++)
		standin_server_set_observer(
		    deployment.fixture->servers[i], on_arrival, &traffic);
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
	for (i = 0; i < traffic.count; i++) {
		cr_expect(traffic.requests[i].may_repeat ||
			      traffic.requests[i].runs <= 1,
		    "links %d: request-%zu has run %u times", (int)state, i,
		    traffic.requests[i].runs);
		entry_fixture_response_free(&traffic.requests[i].response);
	}
	deployment_delete(&deployment);
}

Test(cut_instances, serve_as_the_others_do, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++)
		check_cut(cuts[i].state, cuts[i].cut);
}

/* Cuts entry 0 and waits until it knows. */
static void
cut_entry_0(const deployment_t *deployment)
{
	links_set(deployment->links, 0, LINKS_RESET);
	(void)call_with_parts(deployment, 0, "first-after-the-cut");
	entry_fixture_run_ms(deployment->fixture, 700);
}

static uint64_t
run_count(const deployment_t *deployment)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < deployment->fixture->server_count; i++)
		sum +=
		    standin_server_run_count(deployment->fixture->servers[i]);
	return sum;
}

typedef struct reply {
	int status;
	int done;
	at_relay_outcome_t outcome;
} reply_t;

static void
on_reply_headers(void *ctx, at_transfer_t *transfer, int status)
{
	reply_t *reply = ctx;

	reply->status = status;
	reply->outcome = at_relay_read_outcome(transfer, status);
}

static void
on_reply_done(void *ctx, const at_transfer_result_t *result)
{
	(void)result;
	((reply_t *)ctx)->done = 1;
}

static int
is_replied(void *ctx)
{
	return ((const reply_t *)ctx)->done;
}

/* Has entry 1 pass a request on, as another instance would. */
static reply_t
ask_to_relay(const deployment_t *deployment, const char *header)
{
	entry_fixture_t *fixture = deployment->fixture;
	reply_t reply = {0, 0, AT_RELAY_REFUSED};
	char url[AT_ADDR_SIZE + 16];
	const char *headers[] = {header, "X-Attempt-Id: forged", NULL};
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .target = "/unsafe/x",
	    .headers = headers,
	    .total_ms = 2000,
	    .new_connection = 1};
	const at_transfer_events_t events = {
	    on_reply_headers, NULL, on_reply_done, &reply};

	(void)snprintf(url, sizeof(url), "http://%s/", fixture->peers[1]);
	cr_assert_not_null(at_httpc_start(fixture->httpc, &spec, &events));
	entry_fixture_run_until(fixture, is_replied, &reply);
	return reply;
}

/* Which fields of a valid header are changed; it is for entry 1. */
static const struct {
	const char *name;
	const char *header; /* NULL: a valid one */
	size_t for_entry;   /* whose incarnation it names */
	const char *target; /* in the hash */
	int status;
} relay_headers[] = {{"valid", NULL, 1, "/unsafe/x", 200},
    {"for another instance", NULL, 2, "/unsafe/x", 403},
    {"of another request", NULL, 1, "/unsafe/y", 403},
    {"no header", "X-Other: 1", 1, "/unsafe/x", 403},
    {"no hash", "Almondthread-Relay: v1 new p5", 1, "/unsafe/x", 403},
    {"wrong hash", "Almondthread-Relay: v1 new p5 0123", 1, "/unsafe/x", 403}};

Test(cut_instances, passes_on_what_other_instances_have_signed)
{
	deployment_t deployment = deployment_new();
	size_t i;

	for (i = 0; i < sizeof(relay_headers) / sizeof(relay_headers[0]); i++) {
		const at_relay_call_t call = {.server_id = "p5",
		    .request_id = "forged",
		    .method = "GET",
		    .target = relay_headers[i].target,
		    .new_connection = 1};
		at_entry_t *const *entries = deployment.fixture->entries;
		const at_roster_member_t member = {
		    .incarnation = entries[relay_headers[i].for_entry]
				       ->identity.self.number};
		at_header_lines_t lines = {0};
		uint64_t runs = run_count(&deployment);
		reply_t reply;

		cr_assert_eq(at_relay_add_header(
				 &entries[0]->identity, &member, &call, &lines),
		    0);
		reply = ask_to_relay(&deployment,
		    relay_headers[i].header == NULL ? lines.lines[0]
						    : relay_headers[i].header);
		cr_expect_eq(reply.status, relay_headers[i].status, "%s: %d",
		    relay_headers[i].name, reply.status);
		cr_expect_eq(run_count(&deployment) - runs,
		    relay_headers[i].status == 200, "%s",
		    relay_headers[i].name);
		at_header_lines_free(&lines);
	}
	deployment_delete(&deployment);
}

/* The header of a valid call to p5 at entry 1, owned by lines. */
static reply_t
relay_to_p5(const deployment_t *deployment)
{
	at_entry_t *const *entries = deployment->fixture->entries;
	const at_relay_call_t call = {.server_id = "p5",
	    .request_id = "forged",
	    .method = "GET",
	    .target = "/unsafe/x",
	    .new_connection = 1};
	const at_roster_member_t member = {
	    .incarnation = entries[1]->identity.self.number};
	at_header_lines_t lines = {0};
	reply_t reply;

	cr_assert_eq(
	    at_relay_add_header(&entries[0]->identity, &member, &call, &lines),
	    0);
	reply = ask_to_relay(deployment, lines.lines[0]);
	at_header_lines_free(&lines);
	return reply;
}

static int
knows_leaving(void *ctx)
{
	const deployment_t *deployment = ctx;
	const at_fleet_t *fleet = deployment->fixture->entries[1]->fleet;

	return at_server_entry(at_fleet_find(fleet, at_tag_from_text("p5")))
	    ->is_leaving;
}

Test(cut_instances, passes_nothing_on_to_a_server_that_leaves)
{
	deployment_t deployment = deployment_new();

	entry_fixture_list_server(deployment.fixture, 5, 1);
	entry_fixture_run_until(deployment.fixture, knows_leaving, &deployment);
	cr_expect_eq(relay_to_p5(&deployment).outcome, AT_RELAY_REFUSED);
	cr_expect_eq(run_count(&deployment), 0);
	deployment_delete(&deployment);
}

Test(cut_instances, passes_nothing_on_twice)
{
	deployment_t deployment = deployment_new();

	links_set(deployment.links, 1, LINKS_RESET);
	(void)call_with_parts(&deployment, 1, "first-after-the-cut");
	entry_fixture_run_ms(deployment.fixture, 100);
	cr_expect_eq(relay_to_p5(&deployment).outcome, AT_RELAY_REFUSED);
	deployment_delete(&deployment);
}

Test(cut_instances, a_caller_that_leaves_ends_the_run_behind_both_instances)
{
	deployment_t deployment = deployment_new();
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", "leaves", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	entry_fixture_response_t response;
	uint64_t runs;
	size_t i;

	cut_entry_0(&deployment);
	for (i = 0; i < ENGINES; i++)
		standin_server_set_events(
		    deployment.fixture->servers[i], 1000, 20);
	runs = run_count(&deployment);
	entry_fixture_send(deployment.fixture, 0, &fields, &response);
	while (run_count(&deployment) == runs)
		entry_fixture_run_ms(deployment.fixture, 10);
	entry_fixture_run_ms(deployment.fixture, 100);
	cr_expect_gt(response.len, 0);
	entry_fixture_response_free(&response);
	entry_fixture_run_ms(deployment.fixture, 500);
	cr_expect_eq(at_relay_open(deployment.fixture->entries[1]->relay) +
			 at_relay_open(deployment.fixture->entries[2]->relay),
	    0);
	deployment_delete(&deployment);
}

/* Reports of the lists do not have the reach of their sender. */
Test(cut_instances, a_cut_reader_seems_to_reach_servers, .timeout = 60)
{
	deployment_t deployment = deployment_new();
	at_entry_t *const *entries = deployment.fixture->entries;
	const at_roster_member_t *member;
	size_t reader = 0;
	size_t i;

	entry_fixture_run_ms(deployment.fixture, 1500);
	while (
	    reader + 1 < ENTRIES && !at_sync_is_reader(entries[reader]->sync))
		reader++;
	links_set(deployment.links, reader, LINKS_RESET);
	(void)call_with_parts(&deployment, reader, "first-after-the-cut");
	entry_fixture_run_ms(deployment.fixture, 700);
	member = at_roster_find(entries[(reader + 1) % ENTRIES]->roster,
	    entries[reader]->identity.tag);
	cr_assert(member->reaches_none);
	for (i = 0; i < 200; i++) {
		if (i % 10 == 0)
			entry_fixture_list_server(deployment.fixture, 0, 0);
		entry_fixture_run_ms(deployment.fixture, 5);
		cr_assert(member->reaches_none, "step %zu", i);
	}
	deployment_delete(&deployment);
}

/* Plain requests to entry 0, one after the other; returns how many succeed. */
static uint32_t
count_served(const deployment_t *deployment, uint32_t requests)
{
	const entry_fixture_request_t fields = {
	    "GET", "/unsafe/x", "plain", ENTRY_FIXTURE_KEY, NULL, NULL};
	uint32_t served = 0;

	while (requests-- > 0) {
		entry_fixture_response_t response;

		entry_fixture_call(deployment->fixture, 0, &fields, &response);
		served += (uint32_t)(response.status == 200);
		entry_fixture_response_free(&response);
	}
	return served;
}

#define ONLY_RELAY 2u /* the entry that is not cut */

static void
stop_the_relay(const deployment_t *deployment)
{
	at_entry_stop(deployment->fixture->entries[ONLY_RELAY]);
	entry_fixture_run_ms(deployment->fixture, 300);
}

/* Responses break off before their first event. */
static void
crash_engines(const deployment_t *deployment)
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_server_faults(deployment->fixture->servers[i])
		    ->crash_part = 0xb2;
	cr_expect_neq(call_with_parts(deployment, 0, "crashes"), 200);
}

static const struct {
	const char *name;
	void (*disturb)(const deployment_t *deployment);
} disturbances[] = {
    {"it drains", stop_the_relay}, {"engines crash", crash_engines}};

Test(cut_instances, lose_the_only_way_to_the_servers, .timeout = 60)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(disturbances) / sizeof(disturbances[0]); i++) {
		deployment_t deployment = deployment_new();

		for (k = 0; k < ONLY_RELAY; k++)
			links_set(deployment.links, k, LINKS_RESET);
		(void)call_with_parts(&deployment, 0, "first-after-the-cut");
		(void)call_with_parts(&deployment, 1, "first-after-the-cut");
		entry_fixture_run_ms(deployment.fixture, 1000);
		cr_expect_eq(count_served(&deployment, 10), 10, "before %s",
		    disturbances[i].name);
		disturbances[i].disturb(&deployment);
		cr_expect_eq(count_served(&deployment, 10), 10, "%s",
		    disturbances[i].name);
		deployment_delete(&deployment);
	}
}

/* The fewest descriptors: an instance then takes 12 connections of others. */
#define FEW_DESCRIPTORS 128u
#define CROWD 60u
#define RELAYED_REQUESTS 10u
#define SERVED_MAX_MS 10000u

/* Clients that connect to another instance's address and send nothing. */
static void
step_crowd(const entry_fixture_t *fixture, int fds[CROWD])
{
	struct sockaddr_in addr;
	char byte;
	size_t i;

	cr_assert_eq(at_address_parse(fixture->peers[1], &addr), 0);
	for (i = 0; i < CROWD; i++) {
		if (fds[i] >= 0 && recv(fds[i], &byte, 1, 0) < 0 &&
		    (errno == EAGAIN || errno == ENOTCONN))
			continue;
		if (fds[i] >= 0)
			(void)close(fds[i]);
		fds[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		cr_assert_geq(fds[i], 0);
		(void)connect(
		    fds[i], (const struct sockaddr *)&addr, sizeof(addr));
	}
}

static int
call_beside_crowd(entry_fixture_t *fixture, int fds[CROWD])
{
	static const entry_fixture_request_t request = {
	    "POST", "/safe/x", "beside", ENTRY_FIXTURE_KEY, NULL, "body"};
	uint64_t end_ms = at_clock_now_ms() + SERVED_MAX_MS;
	int status = 0;

	while (status != 200 && at_clock_now_ms() < end_ms) {
		entry_fixture_response_t response;

		entry_fixture_send(fixture, 0, &request, &response);
		while (!response.done && at_clock_now_ms() < end_ms) {
			step_crowd(fixture, fds);
			entry_fixture_run_ms(fixture, STEP_MS);
		}
		status = response.status;
		entry_fixture_response_free(&response);
	}
	return status;
}

/* Where connections give way to new ones, those of other instances do not. */
Test(cut_instances, are_served_beside_a_crowd, .timeout = 60)
{
	deployment_t deployment = {entry_fixture_new(), NULL};
	entry_fixture_t *fixture = deployment.fixture;
	int fds[CROWD];
	size_t i;

	memset(fds, -1, sizeof(fds));
	fixture->descriptors = FEW_DESCRIPTORS;
	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, 500);
	deployment.links = links_new(fixture);
	cut_entry_0(&deployment);
	for (i = 0; i < RELAYED_REQUESTS; i++)
		cr_expect_eq(call_beside_crowd(fixture, fds), 200);
	cr_expect_gt(at_counters_get(fixture->entries[1]->counters,
			 "relayed_total", "outcome", "passed"),
	    0);
	for (i = 0; i < CROWD; i++)
		(void)close(fds[i]);
	deployment_delete(&deployment);
}
