#include "bench/limits_events.h"

#include <stdlib.h>

#define MS_PER_S 1000.0

static int
is_before(const event_t *a, const event_t *b)
{
	return a->at_ms != b->at_ms ? a->at_ms < b->at_ms
				    : a->sequence < b->sequence;
}

void
event_queue_push(event_queue_t *queue, uint64_t at_ms, event_kind_t kind,
    uint32_t index, void *data)
{
	event_t event = {at_ms, queue->sequence++, kind, index, data};
	size_t i = queue->count++;

	if (queue->count > queue->capacity) {
		queue->capacity = 2 * queue->capacity + 1024;
		queue->events =
		    realloc(queue->events, queue->capacity * sizeof(event_t));
		if (queue->events == NULL)
			abort();
	}
	while (i > 0 && is_before(&event, &queue->events[(i - 1) / 2])) {
		queue->events[i] = queue->events[(i - 1) / 2];
		i = (i - 1) / 2;
	}
	queue->events[i] = event;
}

event_t
event_queue_pop(event_queue_t *queue)
{
	event_t top = queue->events[0];
	event_t last = queue->events[--queue->count];
	size_t i = 0;

	for (;;) {
		size_t child = 2 * i + 1;

		if (child >= queue->count)
			break;
		if (child + 1 < queue->count &&
		    is_before(&queue->events[child + 1], &queue->events[child]))
			child++;
		if (!is_before(&queue->events[child], &last))
			break;
		queue->events[i] = queue->events[child];
		i = child;
	}
	queue->events[i] = last;
	return top;
}

void
usage_record_add(usage_record_t *record, uint64_t at_ms, uint64_t used_tokens)
{
	if (record->count == record->capacity) {
		record->capacity = 2 * record->capacity + 1024;
		record->at_ms = realloc(
		    record->at_ms, record->capacity * sizeof(*record->at_ms));
		record->used_tokens = realloc(record->used_tokens,
		    record->capacity * sizeof(*record->used_tokens));
	}
	record->at_ms[record->count] = at_ms;
	record->used_tokens[record->count++] = used_tokens;
}

double
usage_record_excess(
    const usage_record_t *record, double tokens_s, double burst_tokens)
{
	double level_tokens = burst_tokens;
	double excess_tokens = 0;
	uint64_t last_ms = 0;
	size_t i;

	for (i = 0; i < record->count; i++) {
		level_tokens +=
		    (double)(record->at_ms[i] - last_ms) * tokens_s / MS_PER_S;
		last_ms = record->at_ms[i];
		if (level_tokens > burst_tokens)
			level_tokens = burst_tokens;
		level_tokens -= (double)record->used_tokens[i];
		if (-level_tokens > excess_tokens)
			excess_tokens = -level_tokens;
	}
	return excess_tokens;
}
