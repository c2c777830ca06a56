/*
 * limits_events.h - a queue of events in virtual time, and a record of used
 * tokens that is checked against the limit of a workspace.
 */
#ifndef ALMONDTHREAD_BENCH_LIMITS_EVENTS_H
#define ALMONDTHREAD_BENCH_LIMITS_EVENTS_H

#include <stddef.h>
#include <stdint.h>

typedef enum event_kind {
	EVENT_ARRIVAL, /* of a request */
	EVENT_RETRY,   /* of the admission of a queued request */
	EVENT_REQUEST_END,
	EVENT_DELIVERY,   /* of a message between instances */
	EVENT_STORE_CALL, /* a call to the object API completes */
	EVENT_TICK        /* of an instance */
} event_kind_t;

typedef struct event {
	uint64_t at_ms;
	uint64_t sequence; /* of insertion */
	event_kind_t kind;
	uint32_t index; /* of the workspace or instance, by kind */
	void *data;
} event_t;

/*
 * A binary heap. Events are removed in order of their time; events of the same
 * time in order of their insertion.
 */
typedef struct event_queue {
	event_t *events;
	size_t count;
	size_t capacity;
	uint64_t sequence; /* of the next insertion */
} event_queue_t;

/* event_queue_push() aborts the program if out of memory. */
void event_queue_push(event_queue_t *queue, uint64_t at_ms, event_kind_t kind,
    uint32_t index, void *data);
/* event_queue_pop() removes the first event; the queue must not be empty. */
event_t event_queue_pop(event_queue_t *queue);

/* Tokens that the requests of one workspace used, by time of admission. */
typedef struct usage_record {
	uint64_t *at_ms;
	uint64_t *used_tokens;
	size_t count;
	size_t capacity;
} usage_record_t;

/*
 * usage_record_add() adds the tokens of one request. at_ms must not be less
 * than in the call before.
 */
void usage_record_add(
    usage_record_t *record, uint64_t at_ms, uint64_t used_tokens);
/*
 * usage_record_excess() returns the tokens by which the usage of the worst
 * interval exceeds a rate in tokens per second and a burst in tokens; 0 if none
 * does.
 */
double usage_record_excess(
    const usage_record_t *record, double tokens_s, double burst_tokens);

#endif
