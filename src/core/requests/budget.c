#include "almondthread/budget.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define IDLE_CHECKS_MAX 4 /* oldest entries checked by one look-up */

typedef struct entry {
	at_budget_t budget; /* first: its address is that of the entry */
	at_name_t name;
	uint64_t used_at_ms;
	uint32_t references;
	UT_hash_handle hh;
} entry_t;

struct at_budgets {
	entry_t *table; /* in order of the last use, oldest first */
};

void
at_budget_init(at_budget_t *budget, uint64_t now_ms)
{
	budget->level_milli = AT_BUDGET_MAX_MILLI;
	budget->max_milli = AT_BUDGET_MAX_MILLI;
	budget->success_milli = AT_BUDGET_SUCCESS_MILLI;
	budget->refilled_at_ms = now_ms;
}

void
at_budget_set_limits(
    at_budget_t *budget, uint32_t max_milli, uint32_t success_milli)
{
	budget->max_milli = max_milli;
	budget->success_milli = success_milli;
	if (budget->level_milli > max_milli)
		budget->level_milli = max_milli;
}

static void
add_milli(at_budget_t *budget, uint64_t milli)
{
	uint64_t level = budget->level_milli + milli;

	budget->level_milli =
	    level > budget->max_milli ? budget->max_milli : (uint32_t)level;
}

void
at_budget_add_success(at_budget_t *budget)
{
	add_milli(budget, budget->success_milli);
}

void
at_budget_refund(at_budget_t *budget)
{
	add_milli(budget, AT_BUDGET_RETRY_MILLI);
}

int
at_budget_take(at_budget_t *budget, uint64_t now_ms)
{
	uint64_t periods;

	if (now_ms > budget->refilled_at_ms) {
		periods =
		    (now_ms - budget->refilled_at_ms) / AT_BUDGET_REFILL_MS;
		budget->refilled_at_ms += periods * AT_BUDGET_REFILL_MS;
		add_milli(budget, periods * AT_BUDGET_RETRY_MILLI);
	}
	if (budget->level_milli < AT_BUDGET_RETRY_MILLI)
		return -1;
	budget->level_milli -= AT_BUDGET_RETRY_MILLI;
	return 0;
}

at_budgets_t *
at_budgets_new(void)
{
	return calloc(1, sizeof(at_budgets_t));
}

void
at_budgets_delete(at_budgets_t *budgets)
{
	entry_t *entry;
	entry_t *next;

	if (budgets == NULL)
		return;
	HASH_ITER(hh, budgets->table, entry, next)
	{
		HASH_DEL(budgets->table, entry);
		free(entry);
	}
	free(budgets);
}

/* Removes budgets that are not referenced and have not been used lately. */
static void
remove_idle(at_budgets_t *budgets, uint64_t now_ms)
{
	entry_t *entry = budgets->table;
	int checked;

	for (checked = 0; entry != NULL && checked < IDLE_CHECKS_MAX;
	     checked++) {
		entry_t *next = entry->hh.next;

		if (entry->references == 0 &&
		    now_ms >= entry->used_at_ms + AT_BUDGETS_IDLE_MS) {
			HASH_DEL(budgets->table, entry);
			free(entry);
		}
		entry = next;
	}
}

at_budget_t *
at_budgets_get(at_budgets_t *budgets, const char *name, uint64_t now_ms)
{
	entry_t *entry;

	remove_idle(budgets, now_ms);
	HASH_FIND_STR(budgets->table, name, entry);
	if (entry != NULL) {
		HASH_DEL(budgets->table, entry);
	} else {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return NULL;
		(void)at_name_set(&entry->name, name);
		at_budget_init(&entry->budget, now_ms);
	}
	HASH_ADD_KEYPTR(hh, budgets->table, entry->name.text,
	    strlen(entry->name.text), entry);
	entry->used_at_ms = now_ms;
	entry->references++;
	return &entry->budget;
}

void
at_budgets_release(at_budgets_t *budgets, at_budget_t *budget, uint64_t now_ms)
{
	entry_t *entry = (entry_t *)budget;

	(void)budgets;
	if (entry == NULL)
		return;
	entry->references--;
	entry->used_at_ms = now_ms;
}

size_t
at_budgets_count(const at_budgets_t *budgets)
{
	return HASH_COUNT(budgets->table);
}
