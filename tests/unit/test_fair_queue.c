/*
 * Order of the requests in the fair queue: weights, priorities and deadlines.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/fair_queue.h"

#define HOUR_MS 3600000u
#define ITEMS 300

static at_fair_item_t items[ITEMS];

static at_fair_item_t *
push(at_fair_queue_t *q, size_t i, const char *workspace, uint64_t weight,
    uint64_t cost, at_priority_t priority, uint64_t deadline_at_ms)
{
	at_fair_item_t *item = &items[i];

	memset(item, 0, sizeof(*item));
	item->workspace = workspace;
	item->weight = weight;
	item->cost_tokens = cost;
	item->priority = priority;
	item->deadline_at_ms = deadline_at_ms;
	cr_assert_eq(at_fair_queue_push(q, item), 0);
	return item;
}

Test(fair_queue, shares_tokens_by_weight)
{
	at_fair_queue_t *q = at_fair_queue_new(ITEMS);
	uint64_t tokens[2] = {0, 0};
	size_t i;

	/* One workspace has many requests, the other fewer costly ones. */
	for (i = 0; i < 200; i++)
		(void)push(
		    q, i, "many", 1, 10, AT_PRIORITY_INTERACTIVE, HOUR_MS);
	for (i = 200; i < 220; i++)
		(void)push(
		    q, i, "costly", 1, 100, AT_PRIORITY_INTERACTIVE, HOUR_MS);
	while (tokens[0] + tokens[1] < 2000) {
		at_fair_item_t *item = at_fair_queue_pop(q, 0);

		tokens[item->workspace[0] == 'c'] += item->cost_tokens;
	}
	cr_assert_geq(tokens[1], 900);
	cr_assert_leq(tokens[1], 1100);
	at_fair_queue_delete(q);
}

Test(fair_queue, orders_priorities)
{
	at_fair_queue_t *q = at_fair_queue_new(ITEMS);
	at_fair_item_t *overnight;
	at_fair_item_t *interactive;
	at_fair_item_t *urgent;

	overnight = push(q, 0, "w", 1, 1, AT_PRIORITY_OVERNIGHT, 8 * HOUR_MS);
	interactive = push(q, 1, "w", 1, 1, AT_PRIORITY_INTERACTIVE, 5000);
	cr_assert_eq(at_fair_queue_pop(q, 0), interactive);
	urgent = push(q, 2, "v", 1, 1, AT_PRIORITY_OVERNIGHT, 10 * 60000);
	interactive =
	    push(q, 3, "w", 1, 1, AT_PRIORITY_INTERACTIVE, 20 * 60000);
	/* Overnight requests near their deadline are ordered by deadline. */
	cr_assert_eq(at_fair_queue_pop(q, 0), urgent);
	cr_assert_eq(at_fair_queue_pop(q, 0), interactive);
	cr_assert_eq(at_fair_queue_pop(q, 0), overnight);
	cr_assert_null(at_fair_queue_pop(q, 0));
	at_fair_queue_delete(q);
}

Test(fair_queue, push_remove_and_expiry)
{
	at_fair_queue_t *q = at_fair_queue_new(2);
	at_fair_item_t extra = {
	    .workspace = "w", .weight = 1, .cost_tokens = 1};
	at_fair_item_t *a = push(q, 0, "w", 1, 1, AT_PRIORITY_INTERACTIVE, 100);
	at_fair_item_t *b = push(q, 1, "w", 1, 1, AT_PRIORITY_INTERACTIVE, 200);

	cr_assert_eq(at_fair_queue_push(q, &extra), -1);
	at_fair_queue_remove(q, a);
	at_fair_queue_remove(q, a);
	cr_assert_eq(at_fair_queue_count(q), 1);
	cr_assert_null(at_fair_queue_take_expired(q, 199));
	cr_assert_eq(at_fair_queue_take_expired(q, 200), b);
	cr_assert_eq(at_fair_queue_count(q), 0);
	at_fair_queue_delete(q);
}
