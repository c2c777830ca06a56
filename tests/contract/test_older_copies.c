/*
 * The platform's store is back from a copy that is some seconds old: what was
 * written since is gone, leases too, and its revisions are given out again.
 */
#include <stdio.h>

#include <criterion/criterion.h>

#include "entry/orders/orders.h"
#include "entry/store/join.h"
#include "entry/store/sync.h"
#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENTRIES 3u
#define SERVERS 3u
#define STEADY_MS 2500u
#define AWAY_MS 300u
#define IN_FORCE_MS 2000u
#define TERM_MS 3000u
#define LOST_WRITES 40u
#define ALL_CALLS 1000000u

static entry_fixture_t *
deployment_new(void)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < SERVERS; i++)
		(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_engine(fixture, "m");
	/* A copy without the lease; an era is stated from now on. */
	standin_store_copy(fixture->store);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, STEADY_MS);
	return fixture;
}

static size_t
count_holders(const entry_fixture_t *fixture, uint64_t *fence)
{
	size_t holders = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		uint64_t held = at_orders_io_fence(fixture->entries[i]->orders);

		holders += held != 0;
		if (held != 0)
			*fence = held;
	}
	return holders;
}

/* Runs for time_ms; at no time is there more than one holder of the lease. */
static void
run_ms(entry_fixture_t *fixture, uint32_t time_ms)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;
	uint64_t fence;

	while (at_clock_now_ms() < end_ms) {
		entry_fixture_run_ms(fixture, 5);
		cr_expect_leq(count_holders(fixture, &fence), 1u);
	}
}

/* Objects that only raise the revision. */
static void
write_others(entry_fixture_t *fixture, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		standin_store_put(
		    fixture->store, "others", "object", json_object());
}

/* Goes away for a moment, and comes back from the copy. */
static void
restore(entry_fixture_t *fixture)
{
	standin_faults_t *faults = standin_store_faults(fixture->store);

	faults->silent = ALL_CALLS;
	run_ms(fixture, AWAY_MS);
	standin_store_restore(fixture->store);
	faults->silent = 0;
}

static size_t
count_with_config(const entry_fixture_t *fixture, uint64_t version)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += fixture->entries[i]->site->version == version;
	return count;
}

static size_t
count_with_servers(const entry_fixture_t *fixture, size_t servers)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += at_fleet_count(fixture->entries[i]->fleet) == servers;
	return count;
}

/* Later changes were taken for older ones, as their revisions were lower. */
Test(older_copies, changes_after_it_are_in_force, .timeout = 120)
{
	entry_fixture_t *fixture = deployment_new();

	standin_store_copy(fixture->store);
	run_ms(fixture, STEADY_MS);
	write_others(fixture, LOST_WRITES);
	entry_fixture_apply_config(fixture, 1);
	write_others(fixture, LOST_WRITES);
	run_ms(fixture, IN_FORCE_MS);
	cr_assert_eq(
	    count_with_config(fixture, fixture->config_version), ENTRIES);
	restore(fixture);
	run_ms(fixture, IN_FORCE_MS);
	cr_expect_eq(count_with_config(fixture, fixture->config_version),
	    ENTRIES, "a configuration went back");
	entry_fixture_apply_config(fixture, 1);
	entry_fixture_unlist_server(fixture, 0);
	run_ms(fixture, IN_FORCE_MS);
	cr_expect_eq(count_with_config(fixture, fixture->config_version),
	    ENTRIES, "%zu of %u have a later configuration",
	    count_with_config(fixture, fixture->config_version), ENTRIES);
	cr_expect_eq(count_with_servers(fixture, SERVERS), ENTRIES,
	    "%zu of %u know that a server has gone",
	    count_with_servers(fixture, SERVERS), ENTRIES);
	entry_fixture_delete(fixture);
}

/* A server that is listed only in the copy, and one that is not listed there.
 */
Test(older_copies, the_list_is_that_of_the_store, .timeout = 120)
{
	entry_fixture_t *fixture = deployment_new();

	standin_store_copy(fixture->store);
	run_ms(fixture, STEADY_MS);
	entry_fixture_unlist_server(fixture, 0);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_service(fixture);
	run_ms(fixture, IN_FORCE_MS);
	cr_assert_eq(count_with_servers(fixture, SERVERS + 2u), ENTRIES);
	restore(fixture);
	/* It writes itself again; the other new one has gone. */
	entry_fixture_list_server(fixture, SERVERS + 1u, 0);
	entry_fixture_unlist_server(fixture, 0);
	run_ms(fixture, 2u * IN_FORCE_MS);
	cr_expect_eq(count_with_servers(fixture, SERVERS + 1u), ENTRIES,
	    "%zu of %u", count_with_servers(fixture, SERVERS + 1u), ENTRIES);
	entry_fixture_delete(fixture);
}

/* Whether the lease was first acquired before the copy, or after it. */
static const int has_lease_in_copy[] = {1, 0};

/* Fencing tokens went back, and two instances could hold the lease. */
Test(older_copies, the_lease_has_one_holder_and_a_higher_fence, .timeout = 120)
{
	size_t i;

	for (i = 0; i < 2; i++) {
		entry_fixture_t *fixture = deployment_new();
		uint64_t before = 0;
		uint64_t after = 0;
		uint64_t end_ms;

		if (has_lease_in_copy[i])
			standin_store_copy(fixture->store);
		run_ms(fixture, 2u * TERM_MS);
		write_others(fixture, LOST_WRITES);
		cr_assert_eq(count_holders(fixture, &before), 1u);
		restore(fixture);
		end_ms = at_clock_now_ms() + TERM_MS + IN_FORCE_MS;
		run_ms(fixture, AWAY_MS);
		while (count_holders(fixture, &after) == 0 &&
		       at_clock_now_ms() < end_ms)
			run_ms(fixture, 10);
		run_ms(fixture, TERM_MS);
		cr_expect_eq(count_holders(fixture, &after), 1u, "row %zu", i);
		cr_expect_gt(after, before, "row %zu: fence %llu after %llu", i,
		    (unsigned long long)after, (unsigned long long)before);
		entry_fixture_delete(fixture);
	}
}

/* Instances that had started since the copy were unknown to later ones. */
Test(older_copies, instances_write_their_objects_again, .timeout = 120)
{
	entry_fixture_t *fixture = deployment_new();
	size_t i;

	standin_store_copy(fixture->store);
	run_ms(fixture, AWAY_MS);
	(void)entry_fixture_add_entry(fixture);
	run_ms(fixture, STEADY_MS);
	restore(fixture);
	run_ms(fixture, 2u * IN_FORCE_MS);
	for (i = 0; i < fixture->entry_count; i++) {
		cr_expect(standin_store_has(
		    fixture->store, "entry-instances", fixture->names[i]));
		cr_expect(at_join_is_complete(fixture->entries[i]->join));
		cr_expect_not(at_entry_is_platform_away(fixture->entries[i]));
	}
	entry_fixture_delete(fixture);
}
