#include "almondthread/fair_queue.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Overnight items that are due within this time count as interactive. */
#define PROMOTE_MS (15u * 60000u)
#define WEIGHT_SCALE 1000000u /* virtual time units per token at weight 1 */

/* The items of one workspace and class, in order of arrival. */
typedef struct at_fair_flow {
	char key[AT_NAME_SIZE + 2];
	at_fair_item_t *head;
	at_fair_item_t *tail;
	uint64_t next_start; /* virtual time at which its next item starts */
	UT_hash_handle hh;
} flow_t;

struct at_fair_queue {
	flow_t *flows[AT_PRIORITY_COUNT];
	uint64_t virtual_time[AT_PRIORITY_COUNT];
	size_t count;
	size_t max_items;
};

at_fair_queue_t *
at_fair_queue_new(size_t max_items)
{
	at_fair_queue_t *queue = calloc(1, sizeof(*queue));

	if (queue != NULL)
		queue->max_items = max_items;
	return queue;
}

void
at_fair_queue_delete(at_fair_queue_t *queue)
{
	flow_t *flow;
	flow_t *next;
	int priority;

	if (queue == NULL)
		return;
	for (priority = 0; priority < AT_PRIORITY_COUNT; priority++) {
		HASH_ITER(hh, queue->flows[priority], flow, next)
		{
			HASH_DEL(queue->flows[priority], flow);
			free(flow);
		}
	}
	free(queue);
}

static flow_t *
find_or_add_flow(at_fair_queue_t *queue, const at_fair_item_t *item)
{
	flow_t **table = &queue->flows[item->priority];
	flow_t *flow;

	HASH_FIND_STR(*table, item->workspace, flow);
	if (flow != NULL)
		return flow;
	flow = calloc(1, sizeof(*flow));
	if (flow == NULL)
		return NULL;
	strncpy(flow->key, item->workspace, sizeof(flow->key) - 1);
	HASH_ADD_STR(*table, key, flow);
	return flow;
}

int
at_fair_queue_push(at_fair_queue_t *queue, at_fair_item_t *item)
{
	uint64_t now = queue->virtual_time[item->priority];
	flow_t *flow;

	assert(item->weight > 0 && item->cost_tokens > 0);
	if (queue->count >= queue->max_items)
		return -1;
	flow = find_or_add_flow(queue, item);
	if (flow == NULL)
		return -1;
	/* A flow gets no credit for time without items. */
	if (flow->head == NULL && flow->next_start < now)
		flow->next_start = now;
	item->flow = flow;
	item->next = NULL;
	item->prev = flow->tail;
	if (flow->tail != NULL)
		flow->tail->next = item;
	else
		flow->head = item;
	flow->tail = item;
	queue->count++;
	return 0;
}

void
at_fair_queue_remove(at_fair_queue_t *queue, at_fair_item_t *item)
{
	flow_t *flow = item->flow;

	if (flow == NULL)
		return;
	if (item->prev != NULL)
		item->prev->next = item->next;
	else
		flow->head = item->next;
	if (item->next != NULL)
		item->next->prev = item->prev;
	else
		flow->tail = item->prev;
	item->flow = NULL;
	item->next = NULL;
	item->prev = NULL;
	queue->count--;
}

/* Returns the flow whose next item starts first, or NULL. */
static flow_t *
find_next_flow(flow_t *flows)
{
	flow_t *best = NULL;
	flow_t *flow;

	for (flow = flows; flow != NULL; flow = flow->hh.next) {
		if (flow->head == NULL)
			continue;
		if (best == NULL || flow->next_start < best->next_start)
			best = flow;
	}
	return best;
}

/*
 * Returns the overnight item with the earliest deadline among the first items
 * of their flows that are due within PROMOTE_MS, or NULL.
 */
static at_fair_item_t *
find_promoted(at_fair_queue_t *queue, uint64_t now_ms)
{
	at_fair_item_t *best = NULL;
	flow_t *flow;

	for (flow = queue->flows[AT_PRIORITY_OVERNIGHT]; flow != NULL;
	     flow = flow->hh.next) {
		at_fair_item_t *item = flow->head;

		if (item == NULL || item->deadline_at_ms > now_ms + PROMOTE_MS)
			continue;
		if (best == NULL || item->deadline_at_ms < best->deadline_at_ms)
			best = item;
	}
	return best;
}

at_fair_item_t *
at_fair_queue_peek(at_fair_queue_t *queue, uint64_t now_ms)
{
	at_fair_item_t *urgent = find_promoted(queue, now_ms);
	flow_t *flow = find_next_flow(queue->flows[AT_PRIORITY_INTERACTIVE]);

	if (flow != NULL && (urgent == NULL || flow->head->deadline_at_ms <=
						   urgent->deadline_at_ms))
		return flow->head;
	if (urgent != NULL)
		return urgent;
	flow = find_next_flow(queue->flows[AT_PRIORITY_OVERNIGHT]);
	return flow == NULL ? NULL : flow->head;
}

at_fair_item_t *
at_fair_queue_pop(at_fair_queue_t *queue, uint64_t now_ms)
{
	at_fair_item_t *item = at_fair_queue_peek(queue, now_ms);
	flow_t *flow;

	if (item == NULL)
		return NULL;
	flow = item->flow;
	if (queue->virtual_time[item->priority] < flow->next_start)
		queue->virtual_time[item->priority] = flow->next_start;
	flow->next_start += item->cost_tokens * WEIGHT_SCALE / item->weight;
	at_fair_queue_remove(queue, item);
	return item;
}

at_fair_item_t *
at_fair_queue_take_expired(at_fair_queue_t *queue, uint64_t now_ms)
{
	at_fair_item_t *item;
	flow_t *flow;
	int priority;

	for (priority = 0; priority < AT_PRIORITY_COUNT; priority++) {
		for (flow = queue->flows[priority]; flow != NULL;
		     flow = flow->hh.next) {
			for (item = flow->head; item != NULL;
			     item = item->next) {
				if (item->deadline_at_ms > now_ms)
					continue;
				at_fair_queue_remove(queue, item);
				return item;
			}
		}
	}
	return NULL;
}

size_t
at_fair_queue_count(const at_fair_queue_t *queue)
{
	return queue->count;
}
