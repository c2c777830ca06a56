#include <criterion/criterion.h>
#include <criterion/parameterized.h>

#include "entry/call/retry_budgets.h"

#define RATIO 0.2
#define SERVICE ((at_tag_t)7)
#define WINDOW_MS 10000u

typedef struct fleet_case {
	uint32_t instances;
	uint32_t slack;
	int reads_roster_first; /* a new process knows the others at once */
} fleet_case_t;

/* Spends all retries of a process; returns their number. */
static uint32_t
spend_all(at_retry_budgets_t *retries, uint64_t now_ms)
{
	uint32_t count = 0;

	while (at_budget_take(
		   at_retry_budgets_get(retries, SERVICE, now_ms), now_ms) == 0)
		count++;
	return count;
}

/* A process that has run long enough for its budget to be full. */
static at_retry_budgets_t *
new_settled(const fleet_case_t *fleet, uint64_t now_ms)
{
	at_retry_budgets_t *retries = at_retry_budgets_new(RATIO, fleet->slack);
	uint32_t i;

	at_retry_budgets_set_instances(retries, fleet->instances);
	for (i = 0; i < 10000; i++)
		at_budget_add_success(
		    at_retry_budgets_get(retries, SERVICE, now_ms));
	return retries;
}

ParameterizedTestParameters(retry_budgets, restarts_do_not_refill_the_budget)
{
	static fleet_case_t cases[] = {
	    {6, 52, 0}, {6, 52, 1}, {9, 58, 0}, {9, 58, 1}, {1, 20, 1}};

	return cr_make_param_array(
	    fleet_case_t, cases, sizeof(cases) / sizeof(cases[0]));
}

/* All instances spend their budget, are restarted in a window, and spend. */
ParameterizedTest(
    fleet_case_t *fleet, retry_budgets, restarts_do_not_refill_the_budget)
{
	uint32_t spent = 0;
	uint32_t i;

	for (i = 0; i < fleet->instances; i++) {
		uint64_t now_ms = 100000u + WINDOW_MS * i / fleet->instances;
		at_retry_budgets_t *retries = new_settled(fleet, now_ms);

		spent += spend_all(retries, now_ms);
		at_retry_budgets_delete(retries);
		retries = at_retry_budgets_new(RATIO, fleet->slack);
		if (fleet->reads_roster_first)
			at_retry_budgets_set_instances(
			    retries, fleet->instances);
		spent += spend_all(retries, now_ms);
		at_retry_budgets_delete(retries);
	}
	cr_assert_leq(spent, fleet->slack, "%u of %u", spent, fleet->slack);
}
