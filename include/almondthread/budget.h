/*
 * budget.h - limits retries to a fraction of recent successes.
 *
 * A budget holds at most AT_BUDGET_MAX_MILLI thousandths of a retry. Each
 * success adds a fraction of a retry, and a slow constant refill permits
 * retries where there are no successes. Over any interval
 *     retries <= max + successes * fraction + time / refill time of a retry.
 * There is one budget for each workspace and one for each backend server.
 */
#ifndef ALMONDTHREAD_BUDGET_H
#define ALMONDTHREAD_BUDGET_H

#include "almondthread/units.h"

#define AT_BUDGET_RETRY_MILLI 1000u  /* one retry */
#define AT_BUDGET_MAX_MILLI 10000u   /* largest level */
#define AT_BUDGET_SUCCESS_MILLI 100u /* added by one success */
#define AT_BUDGET_REFILL_MS 10000u   /* time that adds one retry */
/* Time after its last use until a budget is removed. */
#define AT_BUDGETS_IDLE_MS (600u * 1000)

typedef struct at_budget {
	uint32_t level_milli;
	uint32_t max_milli;     /* largest level */
	uint32_t success_milli; /* added by one success */
	uint64_t refilled_at_ms;
} at_budget_t;

/*
 * at_budget_set_limits() replaces AT_BUDGET_MAX_MILLI and
 * AT_BUDGET_SUCCESS_MILLI; a level above the new maximum is reduced to it.
 */
void at_budget_set_limits(
    at_budget_t *budget, uint32_t max_milli, uint32_t success_milli);

/* at_budget_init() fills the budget. */
void at_budget_init(at_budget_t *budget, uint64_t now_ms);

/* at_budget_add_success() adds the fraction of a retry for one success. */
void at_budget_add_success(at_budget_t *budget);

/* at_budget_take() spends one retry. Returns 0, or -1 when none is left. */
int at_budget_take(at_budget_t *budget, uint64_t now_ms);

/* at_budget_refund() adds back a retry that was not sent. */
void at_budget_refund(at_budget_t *budget);

/* Budgets by name. */
typedef struct at_budgets at_budgets_t;

/* at_budgets_new() returns an empty set, or NULL if out of memory. */
at_budgets_t *at_budgets_new(void);
void at_budgets_delete(at_budgets_t *budgets);

/*
 * at_budgets_get() returns the budget of a name, full when it is new, or NULL
 * if out of memory. Each use is paired with at_budgets_release(); until then
 * the pointer stays valid. An unused budget is removed AT_BUDGETS_IDLE_MS after
 * its last use, when it is full again.
 */
at_budget_t *at_budgets_get(
    at_budgets_t *budgets, const char *name, uint64_t now_ms);
void at_budgets_release(
    at_budgets_t *budgets, at_budget_t *budget, uint64_t now_ms);

/* at_budgets_count() returns the number of budgets. */
size_t at_budgets_count(const at_budgets_t *budgets);

#endif
