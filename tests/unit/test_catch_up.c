/*
 * When an instance that lacks changes asks others, and when the platform.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/catch_up.h"

#define START_MS 5000u
#define END_MS 2000u
#define STEP_MS 10u

/* Events at their times; steps as "aTIME", "rTIME" after the start. */
static const struct {
	const char *name;
	uint32_t wait_ms;
	uint32_t progress_ms[4]; /* 0: none */
	uint32_t current_ms;     /* 0: never */
	const char *steps;
} cases[] = {
    {"the changes arrive by themselves", 60, {0}, 50, ""},
    {"the first one asked has them", 20, {0}, 40, "a20 "},
    {"the first one asked is lost", 20, {0}, 300, "a20 a170 "},
    {"parts arrive slowly", 20, {100, 200, 300}, 400, "a20 "},
    {"one that is asked dies midway", 20, {100, 200}, 500, "a20 a350 "},
    {"nobody answers", 0, {0}, 1000, "a0 a150 a300 a450 a600 r700 a750 a900 "},
};

Test(catch_up, asks_one_after_another_and_then_the_platform)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_catch_up_t catch_up = {0};
		char steps[256] = "";
		uint32_t at_ms;
		size_t k = 0;

		cr_expect_eq(at_catch_up_due_ms(&catch_up), UINT64_MAX);
		at_catch_up_note_behind(&catch_up, START_MS, cases[i].wait_ms);
		for (at_ms = 0; at_ms < END_MS; at_ms += STEP_MS) {
			size_t len = strlen(steps);
			at_catch_up_step_t step;

			if (k < 4 && cases[i].progress_ms[k] != 0 &&
			    at_ms == cases[i].progress_ms[k]) {
				at_catch_up_note_progress(
				    &catch_up, START_MS + at_ms);
				k++;
			}
			if (cases[i].current_ms != 0 &&
			    at_ms == cases[i].current_ms)
				at_catch_up_note_current(&catch_up);
			/* It is known all the while, and does not begin anew.
			 */
			if (catch_up.behind_ms != 0)
				at_catch_up_note_behind(
				    &catch_up, START_MS + at_ms, 0);
			while ((step = at_catch_up_step(&catch_up,
				    START_MS + at_ms)) != AT_CATCH_UP_WAIT)
				len += (size_t)snprintf(steps + len,
				    sizeof(steps) - len, "%c%u ",
				    step == AT_CATCH_UP_ASK ? 'a' : 'r', at_ms);
		}
		cr_expect_str_eq(
		    steps, cases[i].steps, "%s: %s", cases[i].name, steps);
	}
}
