/*
 * fair_queue.h - requests that wait for an engine, by workspace: the next is
 * taken from the workspace that has had the fewest tokens for its weight.
 *
 * Interactive work goes before overnight work; overnight work whose deadline
 * is near counts as interactive. One queue serves one model. Items belong to
 * the user; the queue keeps pointers.
 */
#ifndef ALMONDTHREAD_FAIR_QUEUE_H
#define ALMONDTHREAD_FAIR_QUEUE_H

#include "almondthread/config.h"

typedef struct at_fair_queue at_fair_queue_t;

/* One waiting request. Embedded in the user's object; zeroed before use. */
typedef struct at_fair_item {
	const char *workspace;
	uint64_t weight;         /* the workspace's rate; at least 1 */
	uint64_t cost_tokens;    /* at least 1 */
	uint64_t deadline_at_ms; /* it must leave the queue by then */
	at_priority_t priority;
	void *user;
	/* The queue's own. */
	struct at_fair_flow *flow;
	struct at_fair_item *next;
	struct at_fair_item *prev;
} at_fair_item_t;

at_fair_queue_t *at_fair_queue_new(size_t max_items);
/* at_fair_queue_delete() forgets what waits; the items stay the user's. */
void at_fair_queue_delete(at_fair_queue_t *queue);

/* at_fair_queue_push() returns -1 when the queue is full. */
int at_fair_queue_push(at_fair_queue_t *queue, at_fair_item_t *item);

/* at_fair_queue_remove() takes out an item that still waits. */
void at_fair_queue_remove(at_fair_queue_t *queue, at_fair_item_t *item);

/* at_fair_queue_peek() returns what at_fair_queue_pop() would take. */
at_fair_item_t *at_fair_queue_peek(at_fair_queue_t *queue, uint64_t now_ms);
at_fair_item_t *at_fair_queue_pop(at_fair_queue_t *queue, uint64_t now_ms);

/* at_fair_queue_take_expired() takes out one item past its deadline, or NULL.
 */
at_fair_item_t *at_fair_queue_take_expired(
    at_fair_queue_t *queue, uint64_t now_ms);

size_t at_fair_queue_count(const at_fair_queue_t *queue);

#endif
