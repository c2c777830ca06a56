/*
 * Instances that are stopped one soon after the other, as in a rolling restart
 * that overlaps.
 */
#include <criterion/criterion.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "support/entry_fixture.h"

#define ENTRIES 3u
#define STOP_GAP_MS 400u
#define STEP_MS 50u
#define TERM_MS 3000u /* of the lease, in the fixture */
/* Of the grace of 8 s, this is left for the last writes and the exit. */
#define KEPT_UNTIL_MS 5500u

typedef struct deployment {
	entry_fixture_t *fixture;
	uint64_t last_held_ms;
	uint64_t longest_gap_ms; /* without a holder */
} deployment_t;

static deployment_t deployment;

static size_t
count_holders(void)
{
	const entry_fixture_t *fixture = deployment.fixture;
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += fixture->entries[i] != NULL &&
			 at_orders_io_fence(fixture->entries[i]->orders) != 0;
	return count;
}

static int
has_holder(void *ctx)
{
	(void)ctx;
	return count_holders() > 0;
}

static void
setup(void)
{
	size_t i;

	deployment = (deployment_t){.fixture = entry_fixture_new()};
	entry_fixture_apply_config(deployment.fixture, 1);
	(void)entry_fixture_add_engine(deployment.fixture, "m0");
	(void)entry_fixture_add_service(deployment.fixture);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(deployment.fixture);
	entry_fixture_run_until_ready(deployment.fixture);
	entry_fixture_run_until(deployment.fixture, has_holder, NULL);
	deployment.last_held_ms = at_clock_now_ms();
}

static void
teardown(void)
{
	entry_fixture_delete(deployment.fixture);
}

/* Runs the loop and measures how long there is no holder. */
static void
watch_holders(uint32_t time_ms)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;

	while (at_clock_now_ms() < end_ms) {
		uint64_t now_ms;

		entry_fixture_run_ms(deployment.fixture, STEP_MS);
		now_ms = at_clock_now_ms();
		if (count_holders() > 0)
			deployment.last_held_ms = now_ms;
		if (now_ms - deployment.last_held_ms >
		    deployment.longest_gap_ms)
			deployment.longest_gap_ms =
			    now_ms - deployment.last_held_ms;
	}
}

/* All stop: guards that nobody places models until others have started. */
Test(restarts, the_lease_has_a_holder_while_all_stop, .init = setup,
    .fini = teardown, .timeout = 60)
{
	size_t i;

	for (i = 0; i < ENTRIES; i++) {
		at_entry_stop(deployment.fixture->entries[i]);
		watch_holders(STOP_GAP_MS);
	}
	watch_holders(KEPT_UNTIL_MS - ENTRIES * STOP_GAP_MS);
	cr_expect_lt(deployment.longest_gap_ms, TERM_MS, "%llu",
	    (unsigned long long)deployment.longest_gap_ms);
	/* One that starts meanwhile takes it. */
	i = entry_fixture_add_entry(deployment.fixture);
	watch_holders(4000);
	cr_expect_lt(deployment.longest_gap_ms, TERM_MS, "%llu",
	    (unsigned long long)deployment.longest_gap_ms);
	cr_expect_neq(
	    at_orders_io_fence(deployment.fixture->entries[i]->orders), 0);
	cr_expect_eq(count_holders(), 1);
}

/* A request that ends in time, one that may not, and what they get. */
static const struct {
	const char *target;
	const char *deadline_ms;
	int status;
} requests[] = {
    {"/safe/a", "1000", 200},
    {"/safe/a", "7900", 503},
    {"/once/a", NULL, 503},
};

static int
send_to(size_t entry, size_t i)
{
	const entry_fixture_request_t request = {.method = "POST",
	    .target = requests[i].target,
	    .id = "r",
	    .key = ENTRY_FIXTURE_KEY,
	    .model = i == 2 ? "m0" : NULL,
	    .body = "{}"};
	entry_fixture_response_t response;
	int status;

	entry_fixture_call_within(deployment.fixture, entry, &request,
	    requests[i].deadline_ms, &response);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

/* Guards against a time in which nobody accepts a connection. */
Test(restarts, requests_are_served_while_all_stop, .init = setup,
    .fini = teardown, .timeout = 60)
{
	size_t i;
	size_t k;

	for (i = 0; i < ENTRIES; i++) {
		at_entry_stop(deployment.fixture->entries[i]);
		entry_fixture_run_ms(deployment.fixture, STOP_GAP_MS);
	}
	entry_fixture_run_ms(
	    deployment.fixture, 3000 - (ENTRIES - 1) * STOP_GAP_MS);
	/* Those that were told last go on, the first one ends. */
	cr_expect_eq(send_to(0, 0), 0);
	for (k = 0; k < 5; k++) {
		for (i = 0; i < sizeof(requests) / sizeof(requests[0]); i++)
			cr_expect_eq(send_to(ENTRIES - 1, i),
			    requests[i].status, "%s %zu", requests[i].target,
			    k);
		entry_fixture_run_ms(deployment.fixture, 500);
	}
}

/* A charge that comes during the shutdown, and what becomes of it. */
static const struct {
	const char *name;
	uint32_t sent_ms; /* after the signal */
	const char *deadline_ms;
	uint32_t work_ms;
	int status;
	uint64_t runs;
} late_charges[] = {
    {"one that ends in time", 500, "3000", 100, 200, 1},
    {"one that may last longer than the grace period", 1500, "7900", 7000, 503,
	0},
    {"a short one that may last as long", 1500, "7900", 100, 503, 0},
    {"one late in the drain", 2300, "3000", 2000, 200, 1},
    {"one after the drain", 3000, "1000", 100, 0, 0},
};

/* A charge that was passed on in a planned stop was cut at its end. */
Test(restarts, no_charge_is_taken_that_the_stop_may_cut, .timeout = 60)
{
	size_t i;

	for (i = 0; i < sizeof(late_charges) / sizeof(late_charges[0]); i++) {
		const entry_fixture_request_t request = {
		    "POST", "/unsafe/x", "r", ENTRY_FIXTURE_KEY, NULL, "{}"};
		entry_fixture_response_t response;
		standin_server_t *server;

		setup();
		server = deployment.fixture->servers[1];
		standin_server_faults(server)->work_ms =
		    late_charges[i].work_ms;
		at_entry_stop(deployment.fixture->entries[0]);
		entry_fixture_run_ms(
		    deployment.fixture, late_charges[i].sent_ms);
		entry_fixture_call_within(deployment.fixture, 0, &request,
		    late_charges[i].deadline_ms, &response);
		cr_expect_eq(response.status, late_charges[i].status, "%s: %d",
		    late_charges[i].name, response.status);
		cr_expect_eq(standin_server_run_count(server),
		    late_charges[i].runs, "%s: %llu runs", late_charges[i].name,
		    (unsigned long long)standin_server_run_count(server));
		entry_fixture_response_free(&response);
		teardown();
	}
}
