/*
 * retry_budgets.h - how many requests this instance may send once more to each
 * service: a part of those that went well, and an even part of what all
 * instances together may send besides.
 */
#ifndef ALMONDTHREAD_ENTRY_RETRY_BUDGETS_H
#define ALMONDTHREAD_ENTRY_RETRY_BUDGETS_H

#include "entry/entry.h"

at_retry_budgets_t *at_retry_budgets_new(double ratio, uint32_t slack);
void at_retry_budgets_delete(at_retry_budgets_t *retries);
void at_retry_budgets_set_limits(
    at_retry_budgets_t *retries, double ratio, uint32_t slack);
/* How many instances share the slack. */
void at_retry_budgets_set_instances(
    at_retry_budgets_t *retries, uint32_t instances);
/* The budget of a service; it stays where it is. NULL without memory. */
at_budget_t *at_retry_budgets_get(
    at_retry_budgets_t *retries, at_tag_t service, uint64_t now_ms);

#endif
