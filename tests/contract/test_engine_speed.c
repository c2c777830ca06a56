/*
 * Engines of different speed: what one instance sees of their streams is known
 * to another one, which has sent them nothing.
 */
#include <criterion/criterion.h>

#include "io/clock.h"
#include "support/entry_fixture.h"

#define EVENTS 30u
#define FAST_GAP_MS 10u
#define SLOW_GAP_MS 40u
#define ENGINES 3u /* of which the last is slow */
#define STREAMS 18u
#define REPORT_MS 400u /* longer than the time between two reports */

static const entry_fixture_request_t request = {
    "POST", "/stream/x", "id", ENTRY_FIXTURE_KEY, "m0", "prompt"};

static uint32_t
factor(const entry_fixture_t *fixture, size_t entry, size_t engine,
    at_service_time_t *time)
{
	const at_fleet_t *fleet = fixture->entries[entry]->fleet;
	const at_server_t *server =
	    at_fleet_find(fleet, at_tag_from_text(fixture->ids[engine]));

	cr_assert_not_null(server);
	at_service_times_get(at_fleet_service_times(fleet),
	    at_server_entry(server)->service, at_server_entry(server)->tag,
	    at_tag_from_text("m0"), at_clock_now_us(), time);
	return time->factor_milli;
}

static int
are_done(void *ctx)
{
	const entry_fixture_response_t *responses = ctx;
	size_t i;

	for (i = 0; i < STREAMS; i++) {
		if (!responses[i].done)
			return 0;
	}
	return 1;
}

/*
 * Guards against gaps between events that are not observed, or not reported.
 * Only the ratio of the engines is checked, as all are slower on a busy
 * machine.
 */
Test(engine_speed, another_instance_knows_the_slow_engine, .timeout = 60)
{
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t responses[STREAMS];
	at_service_time_t time;
	uint32_t fast;
	uint32_t slow;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < ENGINES; i++) {
		size_t engine = entry_fixture_add_engine(fixture, "m0");

		standin_server_set_events(fixture->servers[engine], EVENTS,
		    i + 1 < ENGINES ? FAST_GAP_MS : SLOW_GAP_MS);
	}
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	cr_assert_eq(factor(fixture, 1, 0, &time), AT_FACTOR_MEAN_MILLI);
	for (i = 0; i < STREAMS; i++)
		entry_fixture_send(fixture, 0, &request, &responses[i]);
	entry_fixture_run_until(fixture, are_done, responses);
	entry_fixture_run_ms(fixture, REPORT_MS);
	for (i = 0; i < STREAMS; i++) {
		cr_expect_eq(responses[i].status, 200);
		entry_fixture_response_free(&responses[i]);
	}
	fast = factor(fixture, 1, 0, &time);
	slow = factor(fixture, 1, ENGINES - 1, &time);
	cr_expect_gt(slow, fast * 3u / 2u, "slow %u, fast %u", (unsigned)slow,
	    (unsigned)fast);
	cr_expect_neq(time.age_us, AT_SERVICE_TIME_NO_AGE);
	(void)factor(fixture, 0, ENGINES - 1, &time);
	cr_expect(time.event_us > 0 && time.token_us > 0);
	entry_fixture_delete(fixture);
}
