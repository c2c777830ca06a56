/*
 * Placement over real connections: the engines start without residents, and
 * the instances load what the configuration names, within the memory of the
 * engines. The time limits are the stated targets: a planned handover of the
 * lease takes less than a second, a takeover after a crash the lease's term,
 * and filling a restarted engine the order lifetime and its reports.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <jansson.h>

#include "almondthread/lease.h"
#include "daemon/placement/placement_impl.h"
#include "io/clock.h"
#include "support/fixture.h"

#define NODES 3u
#define ENGINES 3u
#define POLL_INTERVAL_MS 200u
/* Longest time until six names are resident, at two loads per second. */
#define LOAD_LIMIT_MS 20000u
#define HANDOVER_LIMIT_MS 1000u /* target for a planned stop */
/* After a crash the term of the lease ends, then the next round takes it. */
#define CRASH_LIMIT_MS (AT_LEASE_TERM_MS + 4000u)
#define CAPACITY_MB 100u /* memory of each engine */

static fixture_t *fixture;

static const char config[] =
    "{\"generation\":%d,\"defaults\":{\"loads_per_1000_s\":10000,"
    "\"order_lifetime_ms\":1000},\"data_centres\":[\"north\"],"
    "\"models\":[{\"name\":\"m1\",\"memory_mb\":40,\"version\":%d},"
    "{\"name\":\"m2\",\"memory_mb\":50},{\"name\":\"m3\",\"memory_mb\":"
    "45},{\"name\":\"m4\",\"memory_mb\":30}],\"adapters\":[{\"name\":\"a1\","
    "\"model\":\"m1\",\"memory_mb\":5},{\"name\":\"a2\",\"model\":\"m2\","
    "\"memory_mb\":5}],\"engines\":[{\"name\":\"e1\",\"data_centre\":"
    "\"north\",\"memory_mb\":100,\"heeds_fencing\":true},{\"name\":\"e2\","
    "\"data_centre\":\"north\",\"memory_mb\":100},{\"name\":\"e3\","
    "\"data_centre\":\"north\",\"memory_mb\":100}]}";

static const char *const names[] = {"m1", "m2", "m3", "m4", "a1", "a2"};

/* Returns the /v1/status of an engine; the caller frees it. */
static json_t *
read_engine_status(size_t engine)
{
	fixture_response_t response = fixture_call(fixture, "GET",
	    fixture->engine_addresses[engine], "/v1/status", NULL, NULL);
	json_t *root = json_loads(response.body, 0, NULL);

	fixture_response_free(&response);
	cr_assert_not_null(root);
	return root;
}

static void
check_memory(void)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		json_t *root = read_engine_status(i);

		cr_assert_leq(
		    json_integer_value(json_object_get(root, "peak_mb")),
		    (json_int_t)CAPACITY_MB, "engine %zu", i);
		json_decref(root);
	}
}

static int
is_resident_in(json_t *list, const char *name, int version)
{
	json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		const char *adapter =
		    json_string_value(json_object_get(entry, "adapter"));
		const char *model =
		    json_string_value(json_object_get(entry, "model"));
		const char *state =
		    json_string_value(json_object_get(entry, "state"));

		if (strcmp(adapter[0] ? adapter : model, name) == 0 &&
		    strcmp(state, "ready") == 0 &&
		    (version == 0 || json_integer_value(json_object_get(
					 entry, "version")) == version))
			return 1;
	}
	return 0;
}

/* Reads the status of all engines, so that conditions compare one moment. */
static void
read_all_engines(json_t *roots[ENGINES])
{
	size_t i;

	for (i = 0; i < ENGINES; i++)
		roots[i] = read_engine_status(i);
}

static int
is_resident(json_t *const roots[ENGINES], const char *name, int version)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		if (is_resident_in(
			json_object_get(roots[i], "resident"), name, version))
			return 1;
	}
	return 0;
}

static int
are_all_resident(json_t *const roots[ENGINES])
{
	size_t i;

	for (i = 0; i < sizeof(names) / sizeof(names[0]); i++) {
		if (!is_resident(roots, names[i], 0))
			return 0;
	}
	return 1;
}

static int
has_second_version(json_t *const roots[ENGINES])
{
	return are_all_resident(roots) && is_resident(roots, "m1", 2) &&
	       !is_resident(roots, "m1", 1);
}

/* Polls the engines until the condition is met; returns non-zero if it was. */
static int
poll_until(int (*met)(json_t *const roots[ENGINES]), uint32_t limit_ms)
{
	uint64_t end_ms = at_clock_now_ms() + limit_ms;
	json_t *roots[ENGINES];
	int done = 0;
	size_t i;

	while (!done && at_clock_now_ms() < end_ms) {
		fixture_run_ms(fixture, POLL_INTERVAL_MS);
		read_all_engines(roots);
		done = met(roots);
		for (i = 0; i < ENGINES; i++)
			json_decref(roots[i]);
	}
	return done;
}

/* Returns the node that may send orders, or -1. */
static int
find_lease_holder(void)
{
	size_t i;

	for (i = 0; i < fixture->node_count; i++) {
		if (fixture->nodes[i] != NULL &&
		    at_orders_is_ready(fixture->nodes[i]->placement->orders))
			return (int)i;
	}
	return -1;
}

static int
has_lease_holder(void *ctx)
{
	(void)ctx;
	return find_lease_holder() >= 0;
}

static void
apply_config(int generation, int version)
{
	char text[2048];

	(void)snprintf(text, sizeof(text), config, generation, version);
	fixture_apply_config(fixture, text);
}

static void
setup(void)
{
	const char *const engines[] = {"e1", "e2", "e3"};
	const char *const nodes[] = {"n1", "n2", "n3"};
	size_t i;

	fixture = fixture_new();
	for (i = 0; i < ENGINES; i++)
		(void)fixture_add_engine(fixture, engines[i], "north", NULL);
	for (i = 0; i < NODES; i++)
		(void)fixture_add_node(fixture, nodes[i], "north");
	apply_config(1, 1);
	cr_assert(poll_until(are_all_resident, LOAD_LIMIT_MS),
	    "not all are resident");
	check_memory();
}

static void
teardown(void)
{
	check_memory();
	fixture_delete(fixture);
}

Test(placement_io, empty_engines_are_filled, .init = setup, .fini = teardown)
{
	char path[64];
	fixture_response_t response;

	(void)snprintf(path, sizeof(path), "/explain?model=a1");
	response = fixture_call(fixture, "GET",
	    fixture->operator_addresses[find_lease_holder()], path, NULL, NULL);
	cr_assert(strstr(response.body, "it is resident nowhere"), "%s",
	    response.body);
	fixture_response_free(&response);
}

Test(
    placement_io, a_stopping_holder_hands_over, .init = setup, .fini = teardown)
{
	int first = find_lease_holder();

	at_node_stop(fixture->nodes[first]);
	cr_assert_neq(find_lease_holder(), first);
	cr_assert(fixture_run_until(
	    fixture, has_lease_holder, NULL, HANDOVER_LIMIT_MS));
	cr_assert_neq(find_lease_holder(), first);
}

Test(
    placement_io, a_crashed_holder_is_replaced, .init = setup, .fini = teardown)
{
	fixture_remove_node(fixture, (size_t)find_lease_holder());
	cr_assert(
	    fixture_run_until(fixture, has_lease_holder, NULL, CRASH_LIMIT_MS));
}

Test(
    placement_io, a_restarted_engine_is_filled, .init = setup, .fini = teardown)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		fixture_response_t response =
		    fixture_call(fixture, "POST", fixture->engine_addresses[i],
			"/control/restart", NULL, "{}");

		fixture_response_free(&response);
		cr_assert(poll_until(are_all_resident, LOAD_LIMIT_MS),
		    "engine %zu", i);
	}
}

Test(placement_io, a_new_version_replaces_the_old, .init = setup,
    .fini = teardown)
{
	apply_config(2, 2);
	cr_assert(poll_until(has_second_version, 2 * LOAD_LIMIT_MS));
}

typedef struct fault_case {
	const char *name;
	const char *faults;   /* of all engines */
	const char *platform; /* faults of the platform */
} fault_case_t;

static const fault_case_t fault_cases[] = {
    {"orders lost", "{\"lose_orders\":2}", "{}"},
    {"orders late", "{\"late_orders_ms\":700}", "{}"},
    {"responses to orders lost", "{\"lose_replies\":2}", "{}"},
    {"responses of the store lost", "{}", "{\"lose_replies\":3}"},
    {"store slow", "{}", "{\"delay_ms\":200}"},
};

Test(placement_io, recovers_from_each_fault, .init = setup, .fini = teardown)
{
	size_t number;
	size_t i;

	for (number = 0; number < sizeof(fault_cases) / sizeof(fault_cases[0]);
	     number++) {
		for (i = 0; i < ENGINES; i++)
			fixture_set_faults(fixture,
			    fixture->engine_addresses[i],
			    fault_cases[number].faults);
		fixture_set_faults(fixture, fixture->platform_address,
		    fault_cases[number].platform);
		for (i = 0; i < 2; i++) {
			fixture_response_t response = fixture_call(fixture,
			    "POST", fixture->engine_addresses[i],
			    "/control/restart", NULL, "{}");

			fixture_response_free(&response);
		}
		cr_assert(poll_until(are_all_resident, 2 * LOAD_LIMIT_MS), "%s",
		    fault_cases[number].name);
		fixture_set_faults(fixture, fixture->platform_address,
		    "{\"lose_replies\":0,\"delay_ms\":0}");
		for (i = 0; i < ENGINES; i++)
			fixture_set_faults(fixture,
			    fixture->engine_addresses[i],
			    "{\"lose_orders\":0,\"late_orders_ms\":0,"
			    "\"lose_replies\":0}");
		check_memory();
	}
}
