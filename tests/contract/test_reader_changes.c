/*
 * The list of backend servers while the instance that reads it changes, and
 * while instances list for themselves beside it.
 */
#include <stdio.h>

#include <criterion/criterion.h>

#include "entry/store/sync.h"
#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENTRIES 5u
#define SERVERS 8u
#define STEADY_MS 2500u
#define DRAIN_MS 2000u
#define SLOW_MS 200u

static size_t
count_with_server(const entry_fixture_t *fixture, size_t server)
{
	at_tag_t tag = at_tag_from_text(fixture->ids[server]);
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += fixture->entries[i] != NULL &&
			 at_fleet_find(fixture->entries[i]->fleet, tag) != NULL;
	return count;
}

static entry_fixture_t *
deployment_new(uint32_t entries)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < SERVERS; i++)
		(void)entry_fixture_add_service(fixture);
	for (i = 0; i < entries; i++) {
		(void)entry_fixture_add_entry(fixture);
		fixture->entries[i]->settings.drain_ms = DRAIN_MS;
		fixture->entries[i]->settings.config_apply_ms = DRAIN_MS;
	}
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, STEADY_MS);
	return fixture;
}

static size_t
find_reader(const entry_fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		if (fixture->entries[i] != NULL &&
		    at_sync_is_reader(fixture->entries[i]->sync))
			return i;
	}
	cr_assert_fail("no instance reads the lists");
	return 0;
}

static void
run_until_removed(entry_fixture_t *fixture, size_t server)
{
	uint64_t end_ms = at_clock_now_ms() + DRAIN_MS;

	while (count_with_server(fixture, server) > 0 &&
	       at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(fixture, 10);
}

/* From the reader's end to the removal of a server, in milliseconds. */
static const uint32_t offsets_ms[] = {0, 600, 1200, 1500, 1700, 1900};

/* Followers listed by themselves while the next reader removed the server. */
Test(reader_changes, a_server_that_goes_meanwhile_is_removed, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(offsets_ms) / sizeof(offsets_ms[0]); i++) {
		entry_fixture_t *fixture = deployment_new(ENTRIES);

		standin_store_faults(fixture->store)->delay_ms = SLOW_MS;
		entry_fixture_remove_entry(fixture, find_reader(fixture));
		entry_fixture_run_ms(fixture, offsets_ms[i]);
		entry_fixture_unlist_server(fixture, SERVERS - 1u);
		run_until_removed(fixture, SERVERS - 1u);
		cr_expect_eq(count_with_server(fixture, SERVERS - 1u), 0,
		    "%u ms after the reader's end: in use by %zu instances "
		    "after %u ms",
		    offsets_ms[i], count_with_server(fixture, SERVERS - 1u),
		    DRAIN_MS);
		entry_fixture_delete(fixture);
	}
}

/* The store answers nobody, then slowly; times from the beginning, in ms. */
typedef struct slow_lists {
	uint32_t silent_ms;    /* until the next reader takes over */
	uint32_t followers_ms; /* until the followers ask the store, too */
	uint32_t removed_ms;
	uint32_t first_delay_ms; /* of what the next reader asks first */
	uint32_t delay_ms;       /* of all that follows */
} slow_lists_t;

static const slow_lists_t slow_lists[] = {
    {1250, 1450, 1750, 300, 1000},
    {1250, 1450, 1650, 200, 800},
    {1250, 1500, 1900, 300, 600},
};

static void
set_delay(entry_fixture_t *fixture, uint32_t delay_ms)
{
	standin_store_faults(fixture->store)->delay_ms = delay_ms;
}

static void
run_slow_lists(entry_fixture_t *fixture, const slow_lists_t *lists)
{
	uint32_t asked_ms = lists->removed_ms - lists->followers_ms;

	standin_store_faults(fixture->store)->silent = 1000;
	entry_fixture_run_ms(fixture, lists->silent_ms);
	standin_store_faults(fixture->store)->silent = 0;
	set_delay(fixture, lists->first_delay_ms);
	entry_fixture_run_ms(fixture, lists->followers_ms - lists->silent_ms);
	set_delay(fixture, lists->delay_ms);
	entry_fixture_run_ms(fixture, asked_ms / 2u);
	/* A watch that is open reports the change at once. */
	set_delay(fixture, 0);
	entry_fixture_run_ms(fixture, asked_ms - asked_ms / 2u);
	entry_fixture_unlist_server(fixture, 0);
	entry_fixture_run_ms(fixture, 50);
	set_delay(fixture, lists->delay_ms);
}

/* Lists that were begun before the removal brought the server back. */
Test(reader_changes, older_lists_do_not_bring_a_removed_server_back,
    .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(slow_lists) / sizeof(slow_lists[0]); i++) {
		entry_fixture_t *fixture = deployment_new(ENTRIES);

		run_slow_lists(fixture, &slow_lists[i]);
		entry_fixture_run_ms(fixture, DRAIN_MS - 50u);
		cr_expect_eq(count_with_server(fixture, 0), 0,
		    "row %zu: in use by %zu instances after %u ms", i,
		    count_with_server(fixture, 0), DRAIN_MS);
		entry_fixture_delete(fixture);
	}
}

#define MANY 60u
#define MANY_MS 1500u

static void
put_many(entry_fixture_t *fixture, uint64_t heartbeat)
{
	char id[AT_NAME_SIZE];
	unsigned i;

	for (i = 0; i < MANY; i++) {
		(void)snprintf(id, sizeof(id), "many-%u", i);
		standin_store_put(fixture->store, WIRE_KIND_SERVERS, id,
		    standin_server_spec("plain", "127.0.0.1:9", "north",
			ENTRY_FIXTURE_VERSION, NULL, 0, heartbeat));
	}
}

/* Instances that know count servers, of which none leaves. */
static size_t
count_knowing(const entry_fixture_t *fixture, size_t count)
{
	size_t knowing = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		knowing += at_fleet_count(fixture->entries[i]->fleet) == count;
	return knowing;
}

static uint64_t
count_lists(const entry_fixture_t *fixture)
{
	uint64_t lists = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		lists += at_counters_get(fixture->entries[i]->counters,
		    "platform_list_total", "result", "ok");
	return lists;
}

/* More changes than one report holds; one of the servers has gone. */
Test(reader_changes, many_changes_reach_all_without_a_list, .timeout = 120)
{
	entry_fixture_t *fixture = deployment_new(ENTRIES);
	uint64_t before = count_lists(fixture);

	put_many(fixture, 1);
	entry_fixture_run_ms(fixture, MANY_MS);
	cr_expect_eq(count_knowing(fixture, SERVERS + MANY), ENTRIES);
	put_many(fixture, 2);
	standin_store_remove(fixture->store, WIRE_KIND_SERVERS, "many-7");
	entry_fixture_unlist_server(fixture, 0);
	entry_fixture_run_ms(fixture, MANY_MS);
	cr_expect_eq(count_knowing(fixture, SERVERS + MANY - 2u), ENTRIES,
	    "%zu instances know %u servers",
	    count_knowing(fixture, SERVERS + MANY - 2u), SERVERS + MANY - 2u);
	/* The reader's own, of the configuration. */
	cr_expect_leq(count_lists(fixture) - before, 1);
	entry_fixture_delete(fixture);
}
