#include "bench/limits_events.h"

#include <stdlib.h>

#define MS_PER_S 1000.0

static int
before(const event_t *a, const event_t *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms : a->order < b->order;
}

void
heap_push(heap_t *heap, uint64_t at_ms, event_kind_t kind, uint32_t workspace,
    void *data)
{
	event_t e = {at_ms, heap->order++, kind, workspace, data};
	size_t i = heap->count++;

	if (heap->count > heap->size) {
		heap->size = 2 * heap->size + 1024;
		heap->events =
		    realloc(heap->events, heap->size * sizeof(event_t));
		if (heap->events == NULL)
			abort();
	}
	while (i > 0 && before(&e, &heap->events[(i - 1) / 2])) {
		heap->events[i] = heap->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	heap->events[i] = e;
}

event_t
heap_pop(heap_t *heap)
{
	event_t top = heap->events[0];
	event_t last = heap->events[--heap->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= heap->count)
			break;
		if (child + 1 < heap->count &&
		    before(&heap->events[child + 1], &heap->events[child]))
			child++;
		if (!before(&heap->events[child], &last))
			break;
		heap->events[i] = heap->events[child];
		i = child;
	}
	heap->events[i] = last;
	return top;
}

void
oracle_add(oracle_t *o, uint64_t at_ms, uint64_t used)
{
	if (o->count == o->size) {
		o->size = 2 * o->size + 1024;
		o->at_ms = realloc(o->at_ms, o->size * sizeof(*o->at_ms));
		o->used = realloc(o->used, o->size * sizeof(*o->used));
	}
	o->at_ms[o->count] = at_ms;
	o->used[o->count++] = used;
}

double
oracle_excess(const oracle_t *o, double rate, double burst)
{
	double level = burst;
	double excess = 0;
	uint64_t last_ms = 0;
	size_t i;

	for (i = 0; i < o->count; i++) {
		level += (double)(o->at_ms[i] - last_ms) * rate / MS_PER_S;
		last_ms = o->at_ms[i];
		if (level > burst)
			level = burst;
		level -= (double)o->used[i];
		if (-level > excess)
			excess = -level;
	}
	return excess;
}
