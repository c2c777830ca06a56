/*
 * Two instances and one backend server: what a crash means for each.
 */
#include <criterion/criterion.h>

#include "almondthread/suspects.h"

#define FIRST_MS 10000u
#define STEP_MS 100u

static at_suspects_t *here;
static at_suspects_t *there;
static at_name_t backend;
static uint64_t now;

static void
pass_on(void *ctx, const at_name_t *name, const at_fingerprint_t *victims,
    size_t count)
{
	at_suspects_t *other = ctx == here ? there : here;

	at_suspects_apply_peer_crash(other, name, victims, count, now);
}

static at_suspects_t *
instance(void)
{
	at_suspects_t *s = at_suspects_new();
	const at_suspects_events_t events = {.on_crash = pass_on, .ctx = s};

	at_suspects_set_events(s, &events);
	return s;
}

static void
setup(void)
{
	here = instance();
	there = instance();
	now = FIRST_MS;
	cr_assert_eq(at_name_set(&backend, "e1"), 0);
}

static void
teardown(void)
{
	at_suspects_delete(here);
	at_suspects_delete(there);
}

static void
pass_time(uint64_t time_ms)
{
	uint64_t end = now + time_ms;

	while (now < end) {
		now += STEP_MS;
		at_suspects_tick(here, now);
		at_suspects_tick(there, now);
	}
}

static at_execution_t *
begin(at_suspects_t *s, uint64_t request)
{
	at_fingerprint_t print = {1, request};

	return at_suspects_begin_execution(s, &print, &backend, now);
}

static void
lose(at_suspects_t *s, at_execution_t *flight)
{
	at_suspects_end_execution(s, flight, AT_EXECUTION_CONNECTION_LOST, now);
}

static void
crash(void)
{
	at_suspects_note_crash(here, &backend, now);
	at_suspects_note_crash(there, &backend, now);
}

static at_suspicion_t
suspicion_of(at_suspects_t *s, uint64_t request)
{
	at_fingerprint_t print = {1, request};

	return at_suspects_check(s, &print, now);
}

Test(suspects, alone_at_two_crashes_is_convicted, .init = setup,
    .fini = teardown)
{
	int i;

	for (i = 0; i < 2; i++) {
		lose(here, begin(here, 1));
		crash();
		pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	}
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_BLOCKED);
	pass_time(AT_SUSPECTS_LIFETIME_MS);
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_CLEAR);
}

Test(suspects, beside_one_of_another_instance_is_held, .init = setup,
    .fini = teardown)
{
	int i;

	for (i = 0; i < 2; i++) {
		at_execution_t *own = begin(here, 1);

		lose(there, begin(there, 2));
		lose(here, own);
		crash();
		pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	}
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_ISOLATED);
	cr_assert_eq(suspicion_of(there, 2), AT_SUSPICION_ISOLATED);
}

/* The second crash comes before the first is judged. */
Test(suspects, in_close_crashes_are_told_of, .init = setup, .fini = teardown)
{
	at_execution_t *left;

	lose(here, begin(here, 1));
	crash();
	pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	left = begin(there, 3);
	at_suspects_note_crash(there, &backend, now);
	pass_time(
	    AT_SUSPECTS_REPORT_DELAY_MS + STEP_MS); /* nothing to tell yet */
	lose(there, begin(there, 2));
	lose(here, begin(here, 1));
	crash();
	pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_ISOLATED);
	at_suspects_end_execution(there, left, AT_EXECUTION_NOT_RUN, now);
}

Test(suspects, proved_alive_are_clear, .init = setup, .fini = teardown)
{
	lose(here, begin(here, 1));
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_SUSPECT);
	lose(here, begin(here, 1));
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_UNCONFIRMED);
	at_suspects_note_alive(here, &backend, now + 1);
	cr_assert_eq(suspicion_of(here, 1), AT_SUSPICION_CLEAR);
	cr_assert(at_suspects_is_unrestricted(here));
}
