/*
 * event_frames.h - splits the bytes of an event stream into complete events,
 * so that an incomplete event is never passed on.
 */
#ifndef ALMONDTHREAD_EVENT_FRAMES_H
#define ALMONDTHREAD_EVENT_FRAMES_H

#include "almondthread/units.h"

#define AT_EVENT_MAX_BYTES (256u << 10) /* largest event */

/* A complete event with its final empty line; valid during the call. */
typedef struct at_event {
	const char *data;
	size_t len;
	int has_id;
	uint64_t id;
} at_event_t;

typedef void (*at_event_sink_t)(void *ctx, const at_event_t *event);

/* Zeroed before use; freed by at_event_frames_reset(). */
typedef struct at_event_frames {
	char *buffer;
	size_t len;
	size_t size;
	size_t searched; /* no event ends in these bytes */
} at_event_frames_t;

/*
 * at_event_frames_feed() passes each complete event to the sink. Returns 0, or
 * -1 if an event is larger than AT_EVENT_MAX_BYTES or if out of memory.
 */
int at_event_frames_feed(at_event_frames_t *frames, const char *data,
    size_t len, at_event_sink_t sink, void *ctx);

/*
 * at_event_frames_buffered_bytes() returns the size of the incomplete event
 * that is buffered.
 */
size_t at_event_frames_buffered_bytes(const at_event_frames_t *frames);

/* at_event_frames_reset() drops the buffered bytes and frees the buffer. */
void at_event_frames_reset(at_event_frames_t *frames);

#endif
