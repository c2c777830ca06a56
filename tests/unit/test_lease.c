/*
 * Tests of the lease with two instances and a simulated object under virtual
 * time. Each case has one fault and the holder that is expected after it.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/lease.h"

#define STEP_MS 10u
#define HAND_OVER_MS 1000u /* limit of a planned hand-over */

/* An object that responds at once, with faults by flag. */
typedef struct object {
	uint64_t version;
	char value[AT_LEASE_VALUE_SIZE];
	size_t len;
	int lose_responses; /* number of writes whose responses are lost */
	int lose_calls; /* number of calls that are lost before any effect */
	int is_away;
} object_t;

static void
respond(object_t *object, const at_lease_action_t *action,
    at_store_result_t *result)
{
	memset(result, 0, sizeof(*result));
	if (object->is_away) {
		result->code = AT_STORE_NOT_SENT;
		return;
	}
	if (object->lose_calls > 0) {
		object->lose_calls--;
		result->code = AT_STORE_UNKNOWN;
		return;
	}
	if (action->call == AT_LEASE_WRITE) {
		if (action->expect_version != object->version) {
			result->code = AT_STORE_CONFLICT;
			return;
		}
		object->version += 7;
		object->len = action->value_len;
		memcpy(object->value, action->value, action->value_len);
		if (object->lose_responses > 0) {
			object->lose_responses--;
			result->code = AT_STORE_UNKNOWN;
			return;
		}
	}
	result->code = object->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	result->version = object->version;
	result->value = object->value;
	result->value_len = object->len;
}

static void
process_lease(at_lease_t *lease, object_t *object, uint64_t now_ms)
{
	at_lease_action_t action;
	at_store_result_t result;

	at_lease_process(lease, now_ms, &action);
	if (action.call == AT_LEASE_NO_CALL)
		return;
	respond(object, &action, &result);
	at_lease_handle_response(lease, now_ms, &result);
}

static at_lease_t *
make_lease(const char *name, uint64_t number)
{
	at_incarnation_t self = {.number = number};
	at_lease_t *lease = at_lease_new();

	(void)at_name_set(&self.instance, name);
	at_lease_set_self(lease, &self);
	return lease;
}

typedef struct test_case {
	const char *name;
	int lose_responses;
	int lose_calls;
	int away_ms;   /* duration of a platform outage from the fault on */
	int stop_a_ms; /* pause of the first holder */
	/* The first holder releases the lease: 1 for good, 2 steps down. */
	int release;
	char holder; /* '-' for none, '*' for either */
	uint64_t after_ms;
} test_case_t;

#define TERM AT_LEASE_TERM_MS

static const test_case_t cases[] = {
    {"no fault", 0, 0, 0, 0, 0, 'a', 20000},
    {"one renewal response lost", 1, 0, 0, 0, 0, 'a', 20000},
    {"five renewal responses lost", 5, 0, 0, 0, 0, 'a', 20000},
    {"calls lost", 0, 5, 0, 0, 0, 'a', 20000},
    {"platform away for less than the term", 0, 0, 3000, 0, 0, 'a', 3500},
    {"platform away for longer", 0, 0, 20000, 0, 0, '-', 19000},
    {"platform back", 0, 0, 20000, 0, 0, '*', 21000},
    {"holder paused for less than the term", 0, 0, 0, 3000, 0, 'a', 3500},
    {"holder paused: not before its term", 0, 0, 0, 99999, 0, 'a', TERM - 1600},
    {"holder paused: after its term", 0, 0, 0, 99999, 0, 'b',
	TERM + AT_LEASE_POLL_MS + 100},
    {"planned hand-over", 0, 0, 0, 0, 1, 'b', HAND_OVER_MS - 1},
    {"holder steps down", 0, 0, 0, 0, 2, 'b', HAND_OVER_MS - 1},
    {"holder steps down, response lost", 1, 0, 0, 0, 2, 'b', HAND_OVER_MS - 1},
    {"hand-over, response lost", 1, 0, 0, 0, 1, 'b', HAND_OVER_MS - 1},
};

static void
run_case(const test_case_t *c, uint64_t phase_ms)
{
	object_t object = {.lose_responses = 0, .lose_calls = 0, .is_away = 0};
	at_lease_t *a = make_lease("a", 1);
	at_lease_t *b = make_lease("b", 2);
	uint64_t fault_ms = 10000 + phase_ms;
	uint64_t now_ms;
	uint64_t fence_a;
	char holder = '-';

	for (now_ms = 0; now_ms < fault_ms; now_ms += STEP_MS) {
		process_lease(a, &object, now_ms);
		process_lease(b, &object, now_ms);
	}
	cr_assert(at_lease_is_valid(a, now_ms, 0), "%s", c->name);
	fence_a = at_lease_fencing_token(a);
	object.lose_responses = c->lose_responses;
	object.lose_calls = c->lose_calls;
	if (c->release == 1)
		at_lease_release(a);
	if (c->release == 2) {
		at_lease_step_down(a);
		at_lease_set_candidate(a, 0);
	}
	for (; now_ms <= fault_ms + c->after_ms; now_ms += STEP_MS) {
		object.is_away = now_ms < fault_ms + (uint64_t)c->away_ms;
		if (now_ms >= fault_ms + (uint64_t)c->stop_a_ms)
			process_lease(a, &object, now_ms);
		process_lease(b, &object, now_ms);
		cr_assert(!at_lease_is_valid(a, now_ms, 0) ||
			      !at_lease_is_valid(b, now_ms, 0),
		    "%s: two holders", c->name);
	}
	if (at_lease_is_valid(a, now_ms, 0))
		holder = 'a';
	if (at_lease_is_valid(b, now_ms, 0))
		holder = 'b';
	if (c->holder == '*')
		cr_assert_neq(holder, '-', "%s", c->name);
	else
		cr_assert_eq(holder, c->holder, "%s: %c", c->name, holder);
	if (holder == 'b')
		cr_assert_gt(at_lease_fencing_token(b), fence_a, "%s", c->name);
	at_lease_delete(a);
	at_lease_delete(b);
}

Test(lease, one_holder_in_each_case)
{
	uint64_t phase_ms;
	size_t i;

	/* The fault occurs at every phase of the renewals and reads. */
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (phase_ms = 0; phase_ms < 2 * AT_LEASE_RENEW_MS;
		     phase_ms += STEP_MS)
			run_case(&cases[i], phase_ms);
	}
}

Test(lease, is_acquired_again_after_stepping_down)
{
	object_t object = {.version = 0};
	at_lease_t *lease = make_lease("a", 1);
	uint64_t now_ms;
	uint64_t fence;

	for (now_ms = 0; now_ms < 2000; now_ms += STEP_MS)
		process_lease(lease, &object, now_ms);
	cr_assert(at_lease_is_valid(lease, now_ms, 0));
	fence = at_lease_fencing_token(lease);
	at_lease_step_down(lease);
	at_lease_set_candidate(lease, 0);
	for (; now_ms < 4000; now_ms += STEP_MS) {
		process_lease(lease, &object, now_ms);
		cr_assert_not(at_lease_is_valid(lease, now_ms, 0));
	}
	at_lease_set_candidate(lease, 1);
	for (; now_ms < 6000; now_ms += STEP_MS)
		process_lease(lease, &object, now_ms);
	cr_expect(at_lease_is_valid(lease, now_ms, 0));
	cr_expect_gt(at_lease_fencing_token(lease), fence);
	at_lease_delete(lease);
}

/* Whether the answer to the open renewal arrives, or is lost. */
static const struct {
	const char *name;
	int is_lost;
	int steps_down;
} renewals[] = {
    {"answered", 0, 0},
    {"lost", 1, 0},
    {"answered, steps down", 0, 1},
    {"lost, steps down", 1, 1},
};

/* A renewal that is open when the lease is released does not release it. */
Test(lease, is_released_after_an_open_renewal)
{
	size_t i;

	for (i = 0; i < sizeof(renewals) / sizeof(renewals[0]); i++) {
		object_t object = {.version = 0};
		at_lease_t *lease = make_lease("a", 1);
		at_store_result_t result;
		at_lease_action_t action;
		uint64_t now_ms = 1000;

		while (at_lease_state(lease) != AT_LEASE_HELD)
			process_lease(lease, &object, now_ms += STEP_MS);
		do
			at_lease_process(lease, now_ms += STEP_MS, &action);
		while (action.call != AT_LEASE_WRITE);
		if (renewals[i].steps_down)
			at_lease_step_down(lease);
		else
			at_lease_release(lease);
		object.lose_responses = renewals[i].is_lost;
		respond(&object, &action, &result);
		at_lease_handle_response(lease, now_ms, &result);
		cr_expect_eq(at_lease_state(lease), AT_LEASE_RELEASING, "%s",
		    renewals[i].name);
		at_lease_set_candidate(lease, 0);
		while (at_lease_state(lease) == AT_LEASE_RELEASING)
			process_lease(lease, &object, now_ms += STEP_MS);
		cr_expect_not_null(strstr(object.value, "\"released\":true"),
		    "%s", renewals[i].name);
		at_lease_delete(lease);
	}
}

#define OTHERS 30u /* versions that other objects have used since the copy */

static const struct {
	const char *name;
	int in_copy; /* the copy has the lease as the holder has acquired it */
	int b_first; /* the one that follows notices first */
	int a_is_gone;
	uint32_t within_ms; /* in which there is a holder again */
} lost_writes[] = {
    {"the holder notices first", 0, 0, 0, AT_LEASE_RENEW_MS},
    {"the holder notices later", 0, 1, 0, AT_LEASE_RENEW_MS},
    {"the object is in the copy", 1, 1, 0, AT_LEASE_RENEW_MS},
    {"the holder has gone", 0, 1, 1, 2u * AT_LEASE_TERM_MS},
    {"and is in the copy", 1, 1, 1, 2u * AT_LEASE_TERM_MS},
};

/* Two instances held the lease, or one with the fence of before. */
Test(lease, survives_a_store_that_has_lost_writes)
{
	const uint64_t step_ms = STEP_MS;
	size_t i;

	for (i = 0; i < sizeof(lost_writes) / sizeof(lost_writes[0]); i++) {
		at_lease_t *a = make_lease("a", 1);
		at_lease_t *b = make_lease("b", 2);
		object_t object = {0};
		object_t copy = {0};
		uint64_t now_ms = step_ms;
		uint64_t held_ms = 0;
		uint64_t lost_ms;
		int has_a = !lost_writes[i].a_is_gone;

		while (at_lease_state(a) != AT_LEASE_HELD) {
			process_lease(a, &object, now_ms);
			now_ms += step_ms;
		}
		if (lost_writes[i].in_copy)
			copy = object;
		for (; now_ms < 2u * AT_LEASE_TERM_MS; now_ms += step_ms) {
			process_lease(a, &object, now_ms);
			process_lease(b, &object, now_ms);
		}
		/* Its versions are of a later era. */
		if (copy.version != 0)
			copy.version = object.version + OTHERS;
		object = copy;
		lost_ms = now_ms;
		if (lost_writes[i].b_first)
			at_lease_note_lost_writes(b, now_ms);
		for (; now_ms < lost_ms + lost_writes[i].within_ms;
		     now_ms += step_ms) {
			if (has_a && now_ms == lost_ms + AT_LEASE_RENEW_MS / 2u)
				at_lease_note_lost_writes(a, now_ms);
			if (has_a)
				process_lease(a, &object, now_ms);
			process_lease(b, &object, now_ms);
			cr_expect_not(at_lease_is_valid(a, now_ms, 0) &&
					  at_lease_is_valid(b, now_ms, 0),
			    "%s: two holders", lost_writes[i].name);
			if (now_ms > lost_ms + AT_LEASE_RENEW_MS / 2u &&
			    (at_lease_is_valid(b, now_ms, 0) ||
				(has_a && at_lease_is_valid(a, now_ms, 0))))
				held_ms = now_ms;
		}
		cr_expect_neq(
		    held_ms, 0u, "%s: no holder", lost_writes[i].name);
		at_lease_delete(a);
		at_lease_delete(b);
	}
}
