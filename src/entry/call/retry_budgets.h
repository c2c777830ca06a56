/*
 * retry_budgets.h - limits how many requests this instance may retry, for each
 * service: a fraction (ratio) of the successful ones, and an even share of the
 * retries (slack) that all instances together may send in addition. A new
 * budget has one retry; the rest of its share comes with time and successes, so
 * that restarts do not refill the budgets.
 */
#ifndef ALMONDTHREAD_ENTRY_RETRY_BUDGETS_H
#define ALMONDTHREAD_ENTRY_RETRY_BUDGETS_H

#include "almondthread/budget.h"
#include "almondthread/site.h"

typedef struct at_retry_budgets at_retry_budgets_t;

/* at_retry_budgets_new() returns NULL if out of memory. */
at_retry_budgets_t *at_retry_budgets_new(double ratio, uint32_t slack);
void at_retry_budgets_delete(at_retry_budgets_t *retries);
/* at_retry_budgets_set_limits() also applies to the existing budgets. */
void at_retry_budgets_set_limits(
    at_retry_budgets_t *retries, double ratio, uint32_t slack);
/* at_retry_budgets_set_instances() sets how many share the slack. */
void at_retry_budgets_set_instances(
    at_retry_budgets_t *retries, uint32_t instances);
/*
 * at_retry_budgets_get() returns the budget of a service, which stays valid
 * until at_retry_budgets_delete(), or NULL if out of memory.
 */
at_budget_t *at_retry_budgets_get(
    at_retry_budgets_t *retries, at_tag_t service, uint64_t now_ms);

#endif
