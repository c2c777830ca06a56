/*
 * Tests of the cost of delays and refusals: which request is refused when not
 * all can be on time.
 */
#include <criterion/criterion.h>

#include "almondthread/shed.h"

#define MS 1000u /* microseconds in a millisecond */

/* A queued request and one that arrives, either of which can start at 1 s. */
static const struct {
	const char *name;
	at_shed_request_t queued;
	at_shed_request_t arriving;
	int yields;
} cases[] = {
    {"both can be on time",
	{.objective_us = 1400 * MS, .deadline_us = 9000 * MS},
	{.objective_us = 1400 * MS, .deadline_us = 9000 * MS}, 0},
    {"a late one to one on time",
	{.objective_us = 900 * MS, .deadline_us = 9000 * MS},
	{.objective_us = 1400 * MS, .deadline_us = 9000 * MS}, 1},
    {"one that is late because of its work",
	{.objective_us = 1100 * MS,
	    .deadline_us = 9000 * MS,
	    .work_us = 200 * MS},
	{.objective_us = 1400 * MS,
	    .deadline_us = 9000 * MS,
	    .work_us = 200 * MS},
	1},
    {"both are late", {.objective_us = 900 * MS, .deadline_us = 9000 * MS},
	{.objective_us = 950 * MS, .deadline_us = 9000 * MS}, 0},
    {"an urgent late one not to one far less urgent",
	{.objective_us = 900 * MS, .deadline_us = 9000 * MS},
	{.priority = 3, .objective_us = 1400 * MS, .deadline_us = 9000 * MS},
	0},
    {"an urgent one whose caller will have left, to any",
	{.objective_us = 900 * MS, .deadline_us = 950 * MS},
	{.priority = 3, .objective_us = 1400 * MS, .deadline_us = 9000 * MS},
	1},
    {"a stream that has begun to none",
	{.objective_us = 900 * MS, .deadline_us = 9000 * MS, .is_begun = 1},
	{.objective_us = 1400 * MS, .deadline_us = 9000 * MS}, 0},
    {"a short late one not to a long one",
	{.objective_us = 900 * MS,
	    .deadline_us = 9000 * MS,
	    .work_us = 10 * MS},
	{.objective_us = 1400 * MS,
	    .deadline_us = 9000 * MS,
	    .work_us = 300 * MS},
	0},
};

Test(shed, refuses_what_costs_callers_least)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		cr_expect_eq(at_shed_yields(&cases[i].queued, 1000 * MS,
				 &cases[i].arriving, 1000 * MS),
		    cases[i].yields, "%s", cases[i].name);
}

static const struct {
	uint32_t own;
	uint32_t all;
	uint32_t workspaces;
	int is_surplus;
} parts[] = {
    {9, 9, 1, 0}, /* nobody else waits */
    {2, 4, 2, 0},
    {3, 4, 2, 1},
    {1, 7, 2, 0},
    {2, 6, 4, 0},
    {3, 6, 4, 1},
};

Test(shed, more_than_the_equal_part_is_surplus)
{
	size_t i;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++)
		cr_expect_eq(at_shed_is_surplus(parts[i].own, parts[i].all,
				 parts[i].workspaces),
		    parts[i].is_surplus, "%u of %u, %u workspaces",
		    parts[i].own, parts[i].all, parts[i].workspaces);
}
