/*
 * Instances that lose the platform's store for some seconds, alone or all at
 * once, while the list of backend servers changes.
 */
#include <criterion/criterion.h>

#include "entry/store/sync.h"
#include "io/clock.h"
#include "support/entry_fixture.h"
#include "support/links.h"

#define ENTRIES 2u
/* The first retries after 0.1, 0.3, 0.7, 1.5 and 3.1 s. */
#define CUT_MS 3300u
#define REMOVED_BEFORE_END_MS 400u
#define DRAIN_MS 2000u
#define KEPT_MS 1000u
#define STEADY_MS 2500u

typedef struct deployment {
	entry_fixture_t *fixture;
	links_t *links;
} deployment_t;

/* Each instance reads the lists of its own data centre. */
static deployment_t
deployment_new(void)
{
	deployment_t deployment = {entry_fixture_new(), NULL};

	deployment.links = links_new(deployment.fixture);
	entry_fixture_apply_config(deployment.fixture, 1);
	(void)entry_fixture_add_service(deployment.fixture);
	(void)entry_fixture_add_service(deployment.fixture);
	(void)entry_fixture_add_entry(deployment.fixture);
	(void)entry_fixture_add_entry_in(deployment.fixture, "south");
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

static int
knows_first_server(const entry_fixture_t *fixture)
{
	return at_fleet_find(fixture->entries[0]->fleet,
		   at_tag_from_text(fixture->ids[0])) != NULL;
}

/* Cuts the first count instances from the store; a server goes meanwhile. */
static void
cut_while_a_server_goes(deployment_t *deployment, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		links_set_store(deployment->links, i, LINKS_RESET);
	entry_fixture_run_ms(
	    deployment->fixture, CUT_MS - REMOVED_BEFORE_END_MS);
	entry_fixture_unlist_server(deployment->fixture, 0);
	entry_fixture_run_ms(deployment->fixture, REMOVED_BEFORE_END_MS);
	for (i = 0; i < count; i++)
		links_set_store(deployment->links, i, LINKS_UP);
}

/* The delay for entries that lapse in an outage held after any cut. */
Test(store_cuts, a_removed_server_is_not_kept_after_a_cut)
{
	deployment_t deployment = deployment_new();
	uint64_t healed_ms;

	cut_while_a_server_goes(&deployment, 1);
	healed_ms = at_clock_now_ms();
	while (knows_first_server(deployment.fixture) &&
	       at_clock_now_ms() < healed_ms + DRAIN_MS)
		entry_fixture_run_ms(deployment.fixture, 20);
	cr_assert_not(knows_first_server(deployment.fixture),
	    "server in use %u ms after the cut", DRAIN_MS);
	deployment_delete(&deployment);
}

static int
has_platform(const entry_fixture_t *fixture)
{
	return !at_entry_is_platform_away(fixture->entries[0]);
}

/* A watch without changes responds at its end only, 15 s after the cut. */
Test(store_cuts, an_instance_has_the_platform_again_soon_after_a_cut)
{
	deployment_t deployment = deployment_new();
	uint64_t healed_ms;

	links_set_store(deployment.links, 0, LINKS_RESET);
	entry_fixture_run_ms(deployment.fixture, CUT_MS);
	cr_assert_not(has_platform(deployment.fixture));
	links_set_store(deployment.links, 0, LINKS_UP);
	healed_ms = at_clock_now_ms();
	while (!has_platform(deployment.fixture) &&
	       at_clock_now_ms() < healed_ms + DRAIN_MS)
		entry_fixture_run_ms(deployment.fixture, 20);
	cr_assert(has_platform(deployment.fixture), "platform away for %u ms",
	    DRAIN_MS);
	deployment_delete(&deployment);
}

static const struct {
	const char *name;
	links_state_t state;
} cuts[] = {{"reset", LINKS_RESET}, {"silent", LINKS_HANG}};

/* A reader that gave way made no calls that could show the platform again. */
Test(store_cuts, one_that_gave_way_has_the_platform_again, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cuts) / sizeof(cuts[0]); i++) {
		deployment_t deployment = deployment_new();
		entry_fixture_t *fixture = deployment.fixture;
		uint64_t healed_ms;

		(void)entry_fixture_add_entry(fixture);
		entry_fixture_run_until_ready(fixture);
		links_set_store(deployment.links, 0, LINKS_RESET);
		links_set_store(deployment.links, 0, cuts[i].state);
		entry_fixture_run_ms(fixture, CUT_MS);
		cr_expect_not(has_platform(fixture), "%s", cuts[i].name);
		cr_expect_not(at_sync_is_reader(fixture->entries[0]->sync),
		    "%s: does not give way", cuts[i].name);
		links_set_store(deployment.links, 0, LINKS_UP);
		healed_ms = at_clock_now_ms();
		while (!has_platform(fixture) &&
		       at_clock_now_ms() < healed_ms + DRAIN_MS)
			entry_fixture_run_ms(fixture, 20);
		cr_expect(has_platform(fixture),
		    "%s: platform away for %u ms after the cut", cuts[i].name,
		    DRAIN_MS);
		deployment_delete(&deployment);
	}
}

/* Entries that lapse in an outage of the store are back soon after it. */
Test(store_cuts, a_missing_server_is_kept_after_an_outage)
{
	deployment_t deployment = deployment_new();
	uint64_t healed_ms;

	cut_while_a_server_goes(&deployment, ENTRIES);
	healed_ms = at_clock_now_ms();
	while (!has_platform(deployment.fixture) &&
	       at_clock_now_ms() < healed_ms + DRAIN_MS)
		entry_fixture_run_ms(deployment.fixture, 20);
	entry_fixture_run_ms(deployment.fixture, KEPT_MS);
	cr_assert(knows_first_server(deployment.fixture));
	deployment_delete(&deployment);
}
