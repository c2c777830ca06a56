/*
 * Engines that are cold, and crash when they get more requests in a second than
 * the bound allows, behind several instances in one process.
 */
#include <stdio.h>
#include <stdlib.h>

#include <criterion/criterion.h>

#include "entry/entry_parts.h"
#include "entry/servers/relay.h"
#include "io/clock.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define ENTRIES 6u
#define WARM 3u /* the first engines */
#define ENGINES 6u
#define COLD_PER_S 7u
#define COLD_MAX 15u /* 7 x 1.5 + 5 */
#define COLD_MS 3000u
#define SETTLING_MS 2500u /* instances that have started take no part */
#define STEP_MS 10u       /* between two requests */
#define REQUESTS_MAX 1000u

typedef struct world {
	entry_fixture_t *fixture;
	entry_fixture_response_t responses[REQUESTS_MAX];
	size_t count;
} world_t;

/* cold_per_s is 0 where the deployment does not limit cold engines. */
static world_t *
world_new(uint32_t cold_per_s)
{
	world_t *world = calloc(1, sizeof(*world));
	size_t i;

	world->fixture = entry_fixture_new();
	world->fixture->cold_per_s = cold_per_s;
	entry_fixture_apply_config(world->fixture, 1);
	for (i = 0; i < ENGINES; i++) {
		(void)entry_fixture_add_engine(world->fixture, "m0");
		standin_server_set_events(world->fixture->servers[i], 3, 30);
		standin_server_set_restart_ms(world->fixture->servers[i], 10);
	}
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(world->fixture);
	entry_fixture_run_until_ready(world->fixture);
	entry_fixture_run_ms(world->fixture, SETTLING_MS);
	return world;
}

static void
world_delete(world_t *world)
{
	size_t i;

	for (i = 0; i < world->count; i++)
		entry_fixture_response_free(&world->responses[i]);
	entry_fixture_delete(world->fixture);
	free(world);
}

/* All requests come to the first entries. */
static void
run_traffic(world_t *world, size_t entries, uint32_t time_ms)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;
	char id[32];
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", id, ENTRY_FIXTURE_KEY, "m0", "prompt"};

	while (at_clock_now_ms() < end_ms) {
		cr_assert_lt(world->count, REQUESTS_MAX);
		(void)snprintf(id, sizeof(id), "request-%zu", world->count);
		entry_fixture_send(world->fixture, world->count % entries,
		    &fields, &world->responses[world->count]);
		world->count++;
		entry_fixture_run_ms(world->fixture, STEP_MS);
	}
	entry_fixture_run_ms(world->fixture, 500);
}

static uint32_t
served_percent(const world_t *world)
{
	uint32_t served = 0;
	size_t i;

	for (i = 0; i < world->count; i++)
		served += world->responses[i].status == 200 &&
			  world->responses[i].is_complete;
	return 100u * served / (uint32_t)world->count;
}

static void
set_cold(world_t *world, size_t from, size_t to, uint32_t cold_max)
{
	size_t i;

	for (i = from; i < to; i++) {
		standin_server_set_cold(world->fixture->servers[i], COLD_MS);
		standin_server_faults(world->fixture->servers[i])->cold_max =
		    cold_max;
	}
}

static uint64_t
count_falls(const world_t *world)
{
	uint64_t falls = 0;
	size_t i;

	for (i = 0; i < ENGINES; i++)
		falls += standin_server_fall_count(world->fixture->servers[i]);
	return falls;
}

static const struct {
	const char *name;
	uint32_t cold_per_s;
	size_t first_cold;
	int is_cut;   /* an instance that gets requests reaches no server */
	int is_stale; /* the list does not state the cold time */
	uint32_t served_least;
} returns[] = {
    {"others are available", COLD_PER_S, WARM, 0, 0, 98},
    {"all engines are cold", COLD_PER_S, 0, 0, 0, 20},
    {"attempts are relayed", COLD_PER_S, WARM, 1, 0, 90},
    {"only answers state it", COLD_PER_S, WARM, 0, 1, 98},
    {"a deployment that does not limit them", 0, WARM, 0, 0, 0},
};

static void
check_return(size_t i)
{
	world_t *world = world_new(returns[i].cold_per_s);
	links_t *links = links_new(world->fixture);
	size_t e;

	if (returns[i].is_cut)
		links_set(links, 0, LINKS_RESET);
	for (e = returns[i].first_cold; e < ENGINES && !returns[i].is_stale;
	     e++)
		entry_fixture_unlist_server(world->fixture, e);
	entry_fixture_run_ms(world->fixture, 500);
	set_cold(world, returns[i].first_cold, ENGINES, COLD_MAX);
	for (e = returns[i].first_cold; e < ENGINES && !returns[i].is_stale;
	     e++)
		entry_fixture_list_server(world->fixture, e, 0);
	run_traffic(world, ENTRIES, COLD_MS - 200u);
	for (e = returns[i].first_cold; e < ENGINES; e++)
		cr_expect_geq(
		    standin_server_run_count(world->fixture->servers[e]), 1,
		    "%s: engine %zu got none", returns[i].name, e);
	cr_expect_eq(count_falls(world) != 0, returns[i].cold_per_s == 0,
	    "%s: %llu crashes", returns[i].name,
	    (unsigned long long)count_falls(world));
	for (e = 0; e < ENGINES; e++)
		cr_log_info("%s: engine %zu has run %llu, at most %u in 1 s",
		    returns[i].name, e,
		    (unsigned long long)standin_server_run_count(
			world->fixture->servers[e]),
		    standin_server_arrivals_most(world->fixture->servers[e]));
	cr_expect_geq(served_percent(world), returns[i].served_least,
	    "%s: %u %% served", returns[i].name, served_percent(world));
	world_delete(world);
	links_delete(links);
}

/* Each instance sent what arrived to engines that it saw without a request. */
Test(cold_engines_io, engines_that_return_at_once_do_not_crash, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(returns) / sizeof(returns[0]); i++)
		check_return(i);
}

typedef struct passing {
	size_t done;
	uint32_t passed;
	uint32_t refused;
} passing_t;

static void
on_passed_headers(void *ctx, at_transfer_t *transfer, int status)
{
	passing_t *passing = ctx;
	at_relay_outcome_t outcome = at_relay_read_outcome(transfer, status);

	passing->passed += outcome == AT_RELAY_PASSED;
	passing->refused += outcome == AT_RELAY_REFUSED;
}

static void
on_passed_done(void *ctx, const at_transfer_result_t *result)
{
	(void)result;
	((passing_t *)ctx)->done++;
}

/* Asks an instance to pass an attempt on, as one that sees a warm engine. */
static void
pass(world_t *world, size_t entry, size_t engine, passing_t *passing)
{
	const at_entry_t *from = world->fixture->entries[(entry + 1) % ENTRIES];
	const at_roster_member_t *member = at_roster_find(
	    from->roster, at_tag_from_text(world->fixture->names[entry]));
	const at_relay_call_t call = {.server_id = world->fixture->ids[engine],
	    .method = "POST",
	    .target = "/stream/x"};
	at_header_lines_t lines = {0};
	char url[AT_ADDR_SIZE + 16];
	at_transfer_spec_t spec = {
	    .method = "POST", .url = url, .target = "/stream/x"};
	const at_transfer_events_t events = {.on_headers = on_passed_headers,
	    .on_done = on_passed_done,
	    .ctx = passing};

	(void)snprintf(url, sizeof(url), "http://%s/", member->address);
	cr_assert_eq(
	    at_relay_add_header(&from->identity, member, &call, &lines), 0);
	spec.headers = (const char *const *)lines.lines;
	cr_assert_not_null(
	    at_httpc_start(world->fixture->httpc, &spec, &events));
	at_header_lines_free(&lines);
}

/* Instances passed on whatever others asked for, beside their own requests. */
Test(cold_engines_io, relayed_attempts_keep_to_the_rate, .timeout = 120)
{
	world_t *world = world_new(COLD_PER_S);
	passing_t passing = {0};
	size_t i;

	set_cold(world, 0, 1, COLD_MAX);
	entry_fixture_list_server(world->fixture, 0, 0);
	entry_fixture_run_ms(world->fixture, 800);
	for (i = 0; i < 10u * ENTRIES; i++)
		pass(world, i % ENTRIES, 0, &passing);
	entry_fixture_run_ms(world->fixture, 200);
	cr_expect_eq(passing.done, 10u * ENTRIES);
	cr_expect_eq(count_falls(world), 0);
	cr_expect(passing.passed >= 1 && passing.passed <= 4, "%u passed on",
	    passing.passed);
	cr_expect_eq(passing.passed + passing.refused, 10u * ENTRIES);
	world_delete(world);
}

/* Each instance learnt it from its own requests only, and sent one at least. */
Test(cold_engines_io, what_one_is_told_all_know, .timeout = 120)
{
	world_t *world = world_new(COLD_PER_S);
	uint32_t told = 0;
	size_t e;
	size_t i;

	set_cold(world, 0, ENGINES, COLD_MAX);
	run_traffic(world, 1, STEP_MS);
	for (e = 0; e < ENGINES; e++) {
		if (standin_server_arrivals_most(world->fixture->servers[e]) ==
		    0)
			continue;
		for (i = 0; i < ENTRIES; i++)
			told += at_server_is_cold(
			    at_fleet_find(world->fixture->entries[i]->fleet,
				at_tag_from_text(world->fixture->ids[e])),
			    at_clock_now_us());
	}
	cr_expect_eq(told, ENTRIES, "%u", told);
	world_delete(world);
}
