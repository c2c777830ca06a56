/*
 * Changes of a configuration of thousands of routes: beside a store that does
 * not respond to most instances, and one that takes long for each call.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "entry/store/sync.h"
#include "io/clock.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define ENTRIES 5u
#define FURTHER_ROUTES 2000u
#define STEADY_MS 2500u
#define IN_FORCE_MS 2000u

typedef struct deployment {
	entry_fixture_t *fixture;
	links_t *links;
} deployment_t;

static deployment_t
deployment_new(void)
{
	deployment_t deployment = {entry_fixture_new(), NULL};
	size_t i;

	deployment.links = links_new(deployment.fixture);
	entry_fixture_apply_config(deployment.fixture, 1);
	(void)entry_fixture_add_service(deployment.fixture);
	for (i = 0; i < ENTRIES; i++) {
		(void)entry_fixture_add_entry(deployment.fixture);
		deployment.fixture->entries[i]->settings.drain_ms = IN_FORCE_MS;
		deployment.fixture->entries[i]->settings.config_apply_ms =
		    IN_FORCE_MS;
	}
	entry_fixture_run_until_ready(deployment.fixture);
	entry_fixture_run_ms(deployment.fixture, STEADY_MS);
	return deployment;
}

static void
deployment_delete(deployment_t *deployment)
{
	entry_fixture_delete(deployment->fixture);
	links_delete(deployment->links);
}

static size_t
count_with_newest(const entry_fixture_t *fixture)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += fixture->entries[i] != NULL &&
			 fixture->entries[i]->site != NULL &&
			 fixture->entries[i]->site->version ==
			     fixture->config_version;
	return count;
}

/* Runs until all have the newest configuration, for at most limit_ms. */
static void
run_until_in_force(const deployment_t *deployment, uint64_t limit_ms)
{
	uint64_t end_ms = at_clock_now_ms() + limit_ms;

	while (count_with_newest(deployment->fixture) < ENTRIES &&
	       at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(deployment->fixture, 10);
}

static uint64_t
count_follower_lists(const entry_fixture_t *fixture)
{
	uint64_t lists = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		const at_entry_t *entry = fixture->entries[i];

		if (!at_sync_is_reader(entry->sync))
			lists += at_counters_get(entry->counters,
			    "platform_list_total", "result", "ok");
	}
	return lists;
}

/* All that hold no lists of their own have lost the store. */
static void
cut_followers(const deployment_t *deployment)
{
	size_t i;

	for (i = 0; i < ENTRIES; i++) {
		if (at_sync_is_reader(deployment->fixture->entries[i]->sync))
			continue;
		links_set_store(deployment->links, i, LINKS_RESET);
		links_set_store(deployment->links, i, LINKS_HANG);
	}
}

/* Those that state how late they had a configuration that others have. */
static size_t
count_stating_delays(const entry_fixture_t *fixture)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++) {
		char *text = at_counters_format(fixture->entries[i]->counters);

		count += strstr(text, "behind_ms_count{of=\"config\"") != NULL;
		free(text);
	}
	return count;
}

/* The difference was too large to be sent, so that each instance listed. */
Test(large_configuration, followers_get_a_large_change_from_their_reader,
    .timeout = 120)
{
	deployment_t deployment = deployment_new();

	cut_followers(&deployment);
	entry_fixture_set_further_routes(deployment.fixture, FURTHER_ROUTES);
	entry_fixture_apply_config(deployment.fixture, 1);
	run_until_in_force(&deployment, IN_FORCE_MS);
	cr_assert_eq(count_with_newest(deployment.fixture), ENTRIES,
	    "%zu of %u instances have the change after %u ms",
	    count_with_newest(deployment.fixture), ENTRIES, IN_FORCE_MS);
	cr_expect_eq(count_stating_delays(deployment.fixture), ENTRIES);
	deployment_delete(&deployment);
}

Test(large_configuration, followers_do_not_list_a_large_change, .timeout = 120)
{
	deployment_t deployment = deployment_new();
	uint64_t before = count_follower_lists(deployment.fixture);

	entry_fixture_set_further_routes(deployment.fixture, FURTHER_ROUTES);
	entry_fixture_apply_config(deployment.fixture, 1);
	run_until_in_force(&deployment, IN_FORCE_MS);
	cr_assert_eq(count_with_newest(deployment.fixture), ENTRIES);
	cr_assert_eq(count_follower_lists(deployment.fixture), before,
	    "%llu lists",
	    (unsigned long long)(count_follower_lists(deployment.fixture) -
				 before));
	deployment_delete(&deployment);
}

static const uint32_t delays_ms[] = {50, 1900, 2400};

/* A call that took over 2 s was given up, and begun anew. */
Test(large_configuration, a_slow_store_is_not_an_absent_one, .timeout = 120)
{
	deployment_t deployment = deployment_new();
	size_t i;

	entry_fixture_set_further_routes(deployment.fixture, FURTHER_ROUTES);
	for (i = 0; i < sizeof(delays_ms) / sizeof(delays_ms[0]); i++) {
		standin_store_faults(deployment.fixture->store)->delay_ms =
		    delays_ms[i];
		entry_fixture_run_ms(deployment.fixture, STEADY_MS);
		entry_fixture_apply_config(deployment.fixture, i % 2 == 0);
		run_until_in_force(&deployment, IN_FORCE_MS + delays_ms[i]);
		cr_expect_eq(count_with_newest(deployment.fixture), ENTRIES,
		    "calls take %u ms: %zu of %u instances have the change",
		    delays_ms[i], count_with_newest(deployment.fixture),
		    ENTRIES);
	}
	deployment_delete(&deployment);
}
