#include "entry/call/retry_budgets.h"

#include <stdlib.h>

#include <uthash.h>

/* Part of the ratio in use, because successes are counted late. */
#define RATIO_FRACTION 0.7
/* Part of the slack in use, because instances start and stop. */
#define SLACK_FRACTION 0.6
#define RETRY_MILLI 1000. /* one retry, in thousandths */
/* A smaller budget would never permit two consecutive retries. */
#define BUDGET_MIN_MILLI 2000u
/* Level of a new budget: an earlier process may just have spent its share. */
#define BUDGET_START_MILLI 1000u

typedef struct budget_entry {
	at_tag_t service;
	at_budget_t budget;
	UT_hash_handle hh;
} budget_entry_t;

struct at_retry_budgets {
	double ratio;
	uint32_t slack;
	uint32_t instances;
	budget_entry_t *table;
};

at_retry_budgets_t *
at_retry_budgets_new(double ratio, uint32_t slack)
{
	at_retry_budgets_t *retries = calloc(1, sizeof(*retries));

	if (retries == NULL)
		return NULL;
	retries->ratio = ratio;
	retries->slack = slack;
	retries->instances = 1;
	return retries;
}

void
at_retry_budgets_delete(at_retry_budgets_t *retries)
{
	budget_entry_t *entry;
	budget_entry_t *next;

	if (retries == NULL)
		return;
	HASH_ITER(hh, retries->table, entry, next)
	{
		HASH_DEL(retries->table, entry);
		free(entry);
	}
	free(retries);
}

static void
set_limits(const at_retry_budgets_t *retries, at_budget_t *budget)
{
	double share = retries->slack * SLACK_FRACTION / retries->instances;
	uint32_t max_milli = (uint32_t)(share * RETRY_MILLI);

	if (max_milli < BUDGET_MIN_MILLI)
		max_milli = BUDGET_MIN_MILLI;
	at_budget_set_limits(budget, max_milli,
	    (uint32_t)(retries->ratio * RATIO_FRACTION * RETRY_MILLI));
}

void
at_retry_budgets_set_limits(
    at_retry_budgets_t *retries, double ratio, uint32_t slack)
{
	retries->ratio = ratio;
	retries->slack = slack;
	at_retry_budgets_set_instances(retries, retries->instances);
}

void
at_retry_budgets_set_instances(at_retry_budgets_t *retries, uint32_t instances)
{
	budget_entry_t *entry;

	retries->instances = instances == 0 ? 1 : instances;
	for (entry = retries->table; entry != NULL; entry = entry->hh.next)
		set_limits(retries, &entry->budget);
}

at_budget_t *
at_retry_budgets_get(
    at_retry_budgets_t *retries, at_tag_t service, uint64_t now_ms)
{
	budget_entry_t *entry;

	HASH_FIND(hh, retries->table, &service, sizeof(service), entry);
	if (entry != NULL)
		return &entry->budget;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	entry->service = service;
	at_budget_init(&entry->budget, now_ms);
	entry->budget.level_milli = BUDGET_START_MILLI;
	set_limits(retries, &entry->budget);
	HASH_ADD(hh, retries->table, service, sizeof(service), entry);
	return &entry->budget;
}
