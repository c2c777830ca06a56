/*
 * fair_queue.h - weighted fair queue of the requests that wait for one model:
 * the next request is taken from the workspace that has received the fewest
 * tokens in proportion to its weight.
 *
 * Interactive work is taken before overnight work. Overnight work whose
 * deadline is near counts as interactive. Items belong to the user; the queue
 * stores pointers to them.
 */
#ifndef ALMONDTHREAD_FAIR_QUEUE_H
#define ALMONDTHREAD_FAIR_QUEUE_H

#include "almondthread/config.h"

typedef struct at_fair_queue at_fair_queue_t;

/* A queued request; embedded in the user's object and zeroed before use. */
typedef struct at_fair_item {
	const char *workspace;
	uint64_t weight;         /* the workspace's rate; at least 1 */
	uint64_t cost_tokens;    /* at least 1 */
	uint64_t deadline_at_ms; /* it must leave the queue by then */
	at_priority_t priority;
	void *user;
	/* Private to the queue. */
	struct at_fair_flow *flow;
	struct at_fair_item *next;
	struct at_fair_item *prev;
} at_fair_item_t;

/* at_fair_queue_new() returns an empty queue, or NULL if out of memory. */
at_fair_queue_t *at_fair_queue_new(size_t max_items);

/* at_fair_queue_delete() frees the queue but not the queued items. */
void at_fair_queue_delete(at_fair_queue_t *queue);

/* at_fair_queue_push() returns 0, or -1 if it is full or out of memory. */
int at_fair_queue_push(at_fair_queue_t *queue, at_fair_item_t *item);

/* at_fair_queue_remove() removes an item that is still queued. */
void at_fair_queue_remove(at_fair_queue_t *queue, at_fair_item_t *item);

/* at_fair_queue_peek() returns what at_fair_queue_pop() would, or NULL. */
at_fair_item_t *at_fair_queue_peek(at_fair_queue_t *queue, uint64_t now_ms);

/* at_fair_queue_pop() removes and returns the next item, or NULL. */
at_fair_item_t *at_fair_queue_pop(at_fair_queue_t *queue, uint64_t now_ms);

/*
 * at_fair_queue_take_expired() removes and returns one item that is past its
 * deadline, or NULL.
 */
at_fair_item_t *at_fair_queue_take_expired(
    at_fair_queue_t *queue, uint64_t now_ms);
size_t at_fair_queue_count(const at_fair_queue_t *queue);

#endif
