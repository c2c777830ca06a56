/*
 * Servers that fall over once they have turned too many requests away. The
 * bound is that of the rule: in one such time, two falls and one for each ten
 * servers.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "io/clock.h"
#include "support/entry_fixture.h"

#define ENTRIES 6u
#define SLOTS 16u /* that the stand-in states */
#define BRITTLE 5u
#define WAITING 2u /* requests that may wait at a server */
#define WORK_MS 100u
#define RESTART_MS 2000u
#define CONTACT_MS 3000u
#define BRITTLE_MS 5000u
#define EVENTS 10u
#define EVENT_GAP_MS 30u
#define REQUESTS_MAX 6000u

typedef struct traffic {
	entry_fixture_t *fixture;
	entry_fixture_response_t responses[REQUESTS_MAX];
	size_t count;
	int is_plain;
} traffic_t;

/* Each entry gets at_once requests every gap_ms; 0 of the last is idle. */
typedef struct load {
	const char *name;
	size_t servers;
	int is_plain;
	uint32_t at_once;
	uint32_t gap_ms;
	uint32_t served_percent; /* of the requests, at least */
} load_t;

static void
send_burst(traffic_t *traffic, const load_t *load)
{
	size_t entry;
	uint32_t i;

	for (entry = 0; entry < ENTRIES; entry++) {
		for (i = 0; i < load->at_once; i++) {
			char id[32];
			const entry_fixture_request_t fields = {"POST",
			    load->is_plain ? "/safe/x" : "/stream/x", id,
			    ENTRY_FIXTURE_KEY, load->is_plain ? NULL : "m0",
			    "body"};

			cr_assert_lt(traffic->count, REQUESTS_MAX);
			(void)snprintf(
			    id, sizeof(id), "request-%zu", traffic->count);
			entry_fixture_send(traffic->fixture, entry, &fields,
			    &traffic->responses[traffic->count++]);
		}
	}
}

static void
run_load(traffic_t *traffic, const load_t *load, uint32_t time_ms)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;

	while (at_clock_now_ms() < end_ms) {
		send_burst(traffic, load);
		entry_fixture_run_ms(traffic->fixture, load->gap_ms);
	}
}

static uint64_t
sum(const traffic_t *traffic, uint64_t (*count)(const standin_server_t *server))
{
	uint64_t total = 0;
	size_t i;

	for (i = 0; i < traffic->fixture->server_count; i++)
		total += count(traffic->fixture->servers[i]);
	return total;
}

static uint32_t
served_since(const traffic_t *traffic, size_t first)
{
	uint32_t served = 0;
	size_t i;

	for (i = first; i < traffic->count; i++)
		served += (uint32_t)(traffic->responses[i].status == 200 &&
				     traffic->responses[i].is_complete);
	return served;
}

static void
set_brittle(const traffic_t *traffic, uint32_t brittle)
{
	size_t i;

	for (i = 0; i < traffic->fixture->server_count; i++)
		standin_server_faults(traffic->fixture->servers[i])->brittle =
		    brittle;
}

static void
set_room(const traffic_t *traffic, uint32_t room)
{
	size_t i;

	for (i = 0; i < traffic->fixture->server_count; i++)
		standin_server_faults(traffic->fixture->servers[i])->room =
		    room;
}

static void
start(traffic_t *traffic, const load_t *load)
{
	size_t i;

	memset(traffic, 0, sizeof(*traffic));
	traffic->fixture = entry_fixture_new();
	entry_fixture_apply_config(traffic->fixture, 1);
	for (i = 0; i < load->servers; i++) {
		size_t server =
		    load->is_plain
			? entry_fixture_add_service(traffic->fixture)
			: entry_fixture_add_engine(traffic->fixture, "m0");

		standin_server_set_events(
		    traffic->fixture->servers[server], EVENTS, EVENT_GAP_MS);
		standin_server_set_restart_ms(
		    traffic->fixture->servers[server], RESTART_MS);
		standin_server_faults(traffic->fixture->servers[server])
		    ->work_ms = WORK_MS;
	}
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(traffic->fixture);
	entry_fixture_run_until_ready(traffic->fixture);
	entry_fixture_run_ms(traffic->fixture, 500);
}

static void
stop(traffic_t *traffic)
{
	size_t i;

	for (i = 0; i < traffic->count; i++)
		entry_fixture_response_free(&traffic->responses[i]);
	entry_fixture_delete(traffic->fixture);
}

static const load_t loads[] = {{"bursts at plain servers", 3, 1, 12, 500, 60},
    {"more than plain servers have room for", 3, 1, 6, 60, 0},
    {"streams in bursts", 3, 0, 8, 700, 60}, {"one server", 1, 1, 5, 500, 60}};

static void
check_load(const load_t *load)
{
	static traffic_t traffic;
	uint64_t falls;
	size_t first;

	start(&traffic, load);
	set_brittle(&traffic, BRITTLE);
	run_load(&traffic, load, CONTACT_MS);
	set_room(&traffic, SLOTS + WAITING);
	first = traffic.count;
	run_load(&traffic, load, BRITTLE_MS);
	entry_fixture_run_ms(traffic.fixture, 2000);
	falls = sum(&traffic, standin_server_crash_count);
	cr_expect_leq(falls, 2u + load->servers / 10u,
	    "%s: %llu falls, %llu rejected", load->name,
	    (unsigned long long)falls,
	    (unsigned long long)sum(&traffic, standin_server_rejection_count));
	cr_expect_geq(100u * served_since(&traffic, first),
	    load->served_percent * (traffic.count - first), "%s: %u of %zu",
	    load->name, served_since(&traffic, first), traffic.count - first);
	stop(&traffic);
}

Test(brittle_servers, do_not_fall_again_and_again, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(loads) / sizeof(loads[0]); i++)
		check_load(&loads[i]);
}
