/*
 * Questions to the platform whether a copy of its list is complete, and the
 * moments that their responses cover.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/confirmation.h"

#define START_MS 5000u

/*
 * Steps: "tN" takes a ticket, which must be N; "qN" sends the question that is
 * due, which must be N (0: none is due); "+N" lets N ms pass; "oN" and "fN" end
 * question N with and without a confirmation; "cN" and "uN" expect that ticket
 * N is covered, or not; "F" and "G" expect that the questions fail, or not.
 */
static const struct {
	const char *name;
	uint32_t instances;
	const char *steps;
} cases[] = {
    {"one ticket, one question", 3, "q0 t1 u1 q1 u1 o1 c1 q0"},
    {"an open question does not cover a later ticket", 3,
	"t1 q1 t2 o1 c1 u2 +20 q2 o2 c2"},
    {"tickets before a question share it", 3, "t1 t1 t1 q1 q0 o1 c1"},
    {"questions are spaced", 3, "t1 q1 o1 t2 q0 +19 q0 +1 q2"},
    {"further with more instances", 80, "t1 q1 o1 t2 +199 q0 +1 q2"},
    {"not further than 250 ms", 1000, "t1 q1 o1 t2 +249 q0 +1 q2"},
    {"responses overtake each other", 3, "t1 q1 t2 +20 q2 o2 c1 c2 f1 c2 F"},
    {"a later question covers what a failed one did not", 3,
	"t1 q1 f1 u1 F q0 t2 +20 q2 o2 c1 c2 G"},
    {"a failure is forgotten", 3, "t1 q1 f1 F +499 F +1 G"},
    {"four are open at most", 3,
	"t1 q1 +20 t2 q2 +20 t3 q3 +20 t4 q4 +20 t5 q0 f1 q5"},
    {"nobody waits: no further question", 3, "t1 q1 f1 +1000 q0"},
};

static void
run_step(at_confirmation_t *c, const char *step, uint64_t *now_ms,
    uint32_t instances, const char *name)
{
	unsigned long n = strtoul(step + 1, NULL, 10);

	switch (step[0]) {
	case 't':
		cr_expect_eq(at_confirmation_take(c), n, "%s: %s", name, step);
		break;
	case 'q':
		cr_expect_eq(at_confirmation_next(c, instances, *now_ms), n,
		    "%s: %s", name, step);
		break;
	case '+':
		*now_ms += n;
		break;
	case 'o':
	case 'f':
		at_confirmation_end(c, n, step[0] == 'o', *now_ms);
		break;
	case 'c':
	case 'u':
		cr_expect_eq(at_confirmation_covers(c, n), step[0] == 'c',
		    "%s: %s", name, step);
		break;
	default:
		cr_expect_eq(at_confirmation_is_failing(c, *now_ms),
		    step[0] == 'F', "%s: %s", name, step);
		break;
	}
}

/* A response to an earlier question was taken for news of this moment. */
Test(confirmation, covers_the_tickets_before_its_question)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_confirmation_t confirmation = {0};
		uint64_t now_ms = START_MS;
		char steps[128];
		char *step;
		char *rest;

		(void)snprintf(steps, sizeof(steps), "%s", cases[i].steps);
		for (step = strtok_r(steps, " ", &rest); step != NULL;
		     step = strtok_r(NULL, " ", &rest))
			run_step(&confirmation, step, &now_ms,
			    cases[i].instances, cases[i].name);
	}
}

/* The timer is set for the next question, not for one that is not wanted. */
Test(confirmation, states_when_a_question_is_due)
{
	at_confirmation_t confirmation = {0};

	cr_expect_eq(at_confirmation_due_ms(&confirmation, 3), UINT64_MAX);
	(void)at_confirmation_take(&confirmation);
	cr_expect_eq(at_confirmation_due_ms(&confirmation, 3), 0);
	(void)at_confirmation_next(&confirmation, 3, START_MS);
	cr_expect_eq(at_confirmation_due_ms(&confirmation, 3), UINT64_MAX);
	(void)at_confirmation_take(&confirmation);
	cr_expect_eq(at_confirmation_due_ms(&confirmation, 3), START_MS + 20u);
}
