/*
 * Decisions on crashes of one backend server that two instances use.
 */
#include <criterion/criterion.h>

#include "almondthread/suspects.h"

#define FIRST_MS 10000u
#define STEP_MS 100u

static at_suspects_t *first;
static at_suspects_t *second;
static at_name_t backend;
static uint64_t now;

static void
on_crash(void *ctx, const at_name_t *name, const at_fingerprint_t *victims,
    size_t count)
{
	at_suspects_t *other = ctx == first ? second : first;

	at_suspects_apply_peer_crash(other, name, victims, count, now);
}

static at_suspects_t *
new_instance(void)
{
	at_suspects_t *s = at_suspects_new();
	const at_suspects_events_t events = {.on_crash = on_crash, .ctx = s};

	at_suspects_set_events(s, &events);
	return s;
}

static void
setup(void)
{
	first = new_instance();
	second = new_instance();
	now = FIRST_MS;
	cr_assert_eq(at_name_set(&backend, "e1"), 0);
}

static void
teardown(void)
{
	at_suspects_delete(first);
	at_suspects_delete(second);
}

static void
pass_time(uint64_t time_ms)
{
	uint64_t end = now + time_ms;

	while (now < end) {
		now += STEP_MS;
		at_suspects_tick(first, now);
		at_suspects_tick(second, now);
	}
}

static at_execution_t *
begin(at_suspects_t *s, uint64_t request)
{
	at_fingerprint_t fingerprint = {1, request};

	return at_suspects_begin_execution(s, &fingerprint, &backend, now);
}

static void
lose_connection(at_suspects_t *s, at_execution_t *execution)
{
	at_suspects_end_execution(
	    s, execution, AT_EXECUTION_CONNECTION_LOST, now);
}

static void
crash(void)
{
	at_suspects_note_crash(first, &backend, now);
	at_suspects_note_crash(second, &backend, now);
}

static at_suspicion_t
suspicion_of(at_suspects_t *s, uint64_t request)
{
	at_fingerprint_t fingerprint = {1, request};

	return at_suspects_check(s, &fingerprint, now);
}

Test(suspects, alone_in_two_crashes_is_blocked, .init = setup, .fini = teardown)
{
	int i;

	for (i = 0; i < 2; i++) {
		lose_connection(first, begin(first, 1));
		crash();
		pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	}
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_BLOCKED);
	pass_time(AT_SUSPECTS_LIFETIME_MS);
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_CLEAR);
}

Test(suspects, beside_another_instances_request_is_isolated, .init = setup,
    .fini = teardown)
{
	int i;

	for (i = 0; i < 2; i++) {
		at_execution_t *own = begin(first, 1);

		lose_connection(second, begin(second, 2));
		lose_connection(first, own);
		crash();
		pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	}
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_ISOLATED);
	cr_assert_eq(suspicion_of(second, 2), AT_SUSPICION_ISOLATED);
}

/*
 * A second crash before the decision on the first must also be reported.
 * Otherwise the other instance takes its own request for the only victim.
 */
Test(suspects, second_crash_is_reported, .init = setup, .fini = teardown)
{
	at_execution_t *not_run;

	lose_connection(first, begin(first, 1));
	crash();
	pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	not_run = begin(second, 3);
	at_suspects_note_crash(second, &backend, now);
	pass_time(AT_SUSPECTS_REPORT_DELAY_MS + STEP_MS); /* no victims yet */
	lose_connection(second, begin(second, 2));
	lose_connection(first, begin(first, 1));
	crash();
	pass_time(2 * AT_SUSPECTS_DECISION_DELAY_MS);
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_ISOLATED);
	at_suspects_end_execution(second, not_run, AT_EXECUTION_NOT_RUN, now);
}

Test(suspects, cleared_when_server_is_alive, .init = setup, .fini = teardown)
{
	lose_connection(first, begin(first, 1));
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_SUSPECT);
	lose_connection(first, begin(first, 1));
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_UNCONFIRMED);
	at_suspects_note_alive(first, &backend, now + 1);
	cr_assert_eq(suspicion_of(first, 1), AT_SUSPICION_CLEAR);
	cr_assert(at_suspects_is_unrestricted(first));
}
