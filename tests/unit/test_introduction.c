/* When an instance asks its seeds for the others, and how many it answers. */
#include <criterion/criterion.h>

#include "almondthread/introduction.h"

#define STARTED_MS 5000u
#define STEP_MS 100u /* between two rounds of reports */

static const struct {
	uint64_t draw;
	uint64_t first_ms; /* after the start */
	uint32_t asked;    /* in ten seconds */
} draws[] = {
    {0, 200, 7},
    {AT_INTRODUCTION_FIRST_MS - 1u, 400, 6},
    {UINT64_MAX, 300, 6},
};

/* Seeds were asked by all at once, or again and again. */
Test(introduction, requests_are_few_and_spread)
{
	size_t i;

	for (i = 0; i < sizeof(draws) / sizeof(draws[0]); i++) {
		at_introduction_t state;
		uint64_t first_ms = 0;
		uint64_t now_ms;

		at_introduction_init(&state, STARTED_MS, draws[i].draw);
		for (now_ms = STARTED_MS; now_ms < STARTED_MS + 10000u;
		     now_ms += STEP_MS) {
			if (at_introduction_is_due(
				&state, now_ms, draws[i].draw) &&
			    first_ms == 0)
				first_ms = now_ms - STARTED_MS;
		}
		cr_expect_eq(first_ms, draws[i].first_ms, "row %zu: %llu", i,
		    (unsigned long long)first_ms);
		cr_expect_eq(
		    state.asked, draws[i].asked, "row %zu: %u", i, state.asked);
	}
}

static const struct {
	uint32_t requests; /* in each step */
	uint32_t steps;
	uint32_t answers;
} storms[] = {
    {1, 10, 10},
    {295, 1, AT_INTRODUCTION_ANSWERS_PER_S},
    {295, 11, 2u * AT_INTRODUCTION_ANSWERS_PER_S},
    {295, 101, 11u * AT_INTRODUCTION_ANSWERS_PER_S},
};

/* 295 instances that start at once had a seed answer all. */
Test(introduction, answers_are_bounded)
{
	size_t i;

	for (i = 0; i < sizeof(storms) / sizeof(storms[0]); i++) {
		at_introduction_t state;
		uint32_t answers = 0;
		uint32_t step;
		uint32_t k;

		at_introduction_init(&state, STARTED_MS, 0);
		for (step = 0; step < storms[i].steps; step++) {
			for (k = 0; k < storms[i].requests; k++)
				answers += (uint32_t)at_introduction_may_answer(
				    &state, STARTED_MS + step * STEP_MS);
		}
		cr_expect_eq(
		    answers, storms[i].answers, "row %zu: %u", i, answers);
	}
}
