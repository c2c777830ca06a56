/*
 * limits_events.h - a queue of events in virtual time, and a true bucket.
 */
#ifndef ALMONDTHREAD_BENCH_LIMITS_EVENTS_H
#define ALMONDTHREAD_BENCH_LIMITS_EVENTS_H

#include <stddef.h>
#include <stdint.h>

typedef enum event_kind {
	EVENT_ARRIVAL,
	EVENT_RETRY,
	EVENT_END,
	EVENT_MAIL,
	EVENT_CALL,
	EVENT_TICK
} event_kind_t;

typedef struct event {
	uint64_t at_ms;
	uint64_t order;
	event_kind_t kind;
	uint32_t workspace;
	void *data;
} event_t;

/* Events in order of time, and of insertion at one time. */
typedef struct heap {
	event_t *events;
	size_t count;
	size_t size;
	uint64_t order;
} heap_t;

void heap_push(heap_t *heap, uint64_t at_ms, event_kind_t kind,
    uint32_t workspace, void *data);
event_t heap_pop(heap_t *heap);

/* A bucket in net tokens that shows by how much the bound was passed. */
typedef struct oracle {
	uint64_t *at_ms;
	uint64_t *used;
	size_t count;
	size_t size;
} oracle_t;

void oracle_add(oracle_t *o, uint64_t at_ms, uint64_t used);
/* By how many tokens the worst interval exceeds rate and burst. */
double oracle_excess(const oracle_t *o, double rate, double burst);

#endif
