/*
 * Reports between data centres by way of their gateways. The fleet here is
 * small; the number of instances from which on there are summaries is lowered.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/roster.h"
#include "entry/peers/gossip.h"
#include "io/clock.h"
#include "support/entry_fixture.h"

#define NEAR 3u
#define FAR 3u
#define ENTRIES (NEAR + FAR)
#define STREAMS 4u
#define US_PER_MS 1000u

typedef struct fleet {
	entry_fixture_t *fixture;
	size_t engine;
} fleet_t;

static fleet_t
fleet_new(void)
{
	fleet_t fleet = {entry_fixture_new(), 0};
	size_t i;

	entry_fixture_apply_config(fleet.fixture, 1);
	fleet.engine = entry_fixture_add_engine(fleet.fixture, "m0");
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry_in(
		    fleet.fixture, i < NEAR ? "north" : "south");
	for (i = 0; i < ENTRIES; i++)
		at_report_paths_set_min_instances(
		    at_gossip_paths(fleet.fixture->entries[i]->gossip), 1);
	entry_fixture_run_until_ready(fleet.fixture);
	entry_fixture_run_ms(fleet.fixture, 2500);
	return fleet;
}

static uint32_t
active_at(const fleet_t *fleet, size_t entry)
{
	const entry_fixture_t *fixture = fleet->fixture;
	const at_server_t *server =
	    at_fleet_find(fixture->entries[entry]->fleet,
		at_tag_from_text(fixture->ids[fleet->engine]));

	return at_server_load(server, at_clock_now_us()).active;
}

/* The instances of a data centre agree; returns the one that is the gateway. */
static size_t
gateway_of(const fleet_t *fleet, size_t first, size_t count)
{
	size_t found = ENTRIES;
	size_t i;

	for (i = first; i < first + count; i++) {
		const at_entry_t *entry = fleet->fixture->entries[i];

		if (entry != NULL &&
		    at_roster_is_gateway(entry->roster,
			entry->identity.data_centre, at_clock_now_us()))
			found = i;
	}
	cr_assert_lt(found, ENTRIES);
	return found;
}

/* Streams that go on for longer than the test, at one instance each. */
static void
open_streams(const fleet_t *fleet, entry_fixture_response_t *responses)
{
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", "long", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	size_t i;

	standin_server_set_events(
	    fleet->fixture->servers[fleet->engine], 1000, 20);
	for (i = 0; i < STREAMS; i++)
		entry_fixture_send(
		    fleet->fixture, i % NEAR, &fields, &responses[i]);
}

static void
close_streams(entry_fixture_response_t *responses)
{
	size_t i;

	for (i = 0; i < STREAMS; i++)
		entry_fixture_response_free(&responses[i]);
}

Test(summaries, instances_elsewhere_do_not_know_a_load, .timeout = 60)
{
	fleet_t fleet = fleet_new();
	entry_fixture_response_t responses[STREAMS];
	size_t i;

	open_streams(&fleet, responses);
	entry_fixture_run_ms(fleet.fixture, 1000);
	for (i = 0; i < ENTRIES; i++)
		cr_expect_eq(active_at(&fleet, i), STREAMS, "entry %zu: %u", i,
		    active_at(&fleet, i));
	close_streams(responses);
	entry_fixture_run_ms(fleet.fixture, 1000);
	for (i = 0; i < ENTRIES; i++)
		cr_expect_eq(active_at(&fleet, i), 0, "entry %zu: %u", i,
		    active_at(&fleet, i));
	entry_fixture_delete(fleet.fixture);
}

/* Of a data centre whose gateway was killed, or of both at once. */
static const struct {
	const char *name;
	int near;
	int far;
} losses[] = {{"the sender's", 1, 0}, {"the receiver's", 0, 1}, {"both", 1, 1}};

static uint32_t
reporting_at(const fleet_t *fleet, size_t entry)
{
	return at_roster_reporting_count(
	    fleet->fixture->entries[entry]->roster, at_clock_now_us());
}

Test(summaries, nothing_is_known_of_others_without_a_gateway, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(losses) / sizeof(losses[0]); i++) {
		fleet_t fleet = fleet_new();
		entry_fixture_response_t responses[STREAMS];
		uint32_t lowest = ENTRIES;
		uint32_t lost = (uint32_t)(losses[i].near + losses[i].far);
		uint32_t left = 0;
		size_t near = gateway_of(&fleet, 0, NEAR);
		size_t far = gateway_of(&fleet, NEAR, FAR);
		size_t witness = far == NEAR ? NEAR + 1 : NEAR;
		size_t k;

		open_streams(&fleet, responses);
		entry_fixture_run_ms(fleet.fixture, 1000);
		if (losses[i].near)
			entry_fixture_remove_entry(fleet.fixture, near);
		if (losses[i].far)
			entry_fixture_remove_entry(fleet.fixture, far);
		for (k = 0; k < STREAMS; k++)
			left += !losses[i].near || k % NEAR != near;
		for (k = 0; k < 30; k++) {
			entry_fixture_run_ms(fleet.fixture, 100);
			if (reporting_at(&fleet, witness) < lowest)
				lowest = reporting_at(&fleet, witness);
		}
		cr_expect_eq(active_at(&fleet, witness), left, "%s: %u of %u",
		    losses[i].name, active_at(&fleet, witness), left);
		cr_expect_geq(lowest, ENTRIES - lost, "%s: %u reporting",
		    losses[i].name, lowest);
		close_streams(responses);
		entry_fixture_delete(fleet.fixture);
	}
}
