#include "almondthread/event_frames.h"

#include <stdlib.h>
#include <string.h>

#define GROWTH_MIN_BYTES 1024u /* smallest growth of the buffer */
#define ID_FIELD "id:"

/* Returns the length of the complete event at the start of data, or 0. */
static size_t
event_length(const char *data, size_t len)
{
	const char *at = data;
	const char *end = data + len;

	while ((at = memchr(at, '\n', (size_t)(end - at))) != NULL) {
		const char *next = at + 1;

		if (next < end && *next == '\r')
			next++;
		if (next < end && *next == '\n')
			return (size_t)(next + 1 - data);
		at++;
	}
	return 0;
}

static void
parse_id(at_event_t *event)
{
	const char *line = event->data;
	const char *end = event->data + event->len;

	while (line < end) {
		const char *newline = memchr(line, '\n', (size_t)(end - line));

		if (newline == NULL)
			return;
		if ((size_t)(newline - line) > strlen(ID_FIELD) &&
		    memcmp(line, ID_FIELD, strlen(ID_FIELD)) == 0) {
			/* The newline ends the number. */
			event->id = strtoull(line + strlen(ID_FIELD), NULL, 10);
			event->has_id = 1;
			return;
		}
		line = newline + 1;
	}
}

/* Passes complete events to the sink; returns their length in bytes. */
static size_t
emit_events(const char *data, size_t len, at_event_sink_t sink, void *ctx)
{
	size_t done = 0;
	size_t event_len;

	while ((event_len = event_length(data + done, len - done)) > 0) {
		at_event_t event = {.data = data + done, .len = event_len};

		parse_id(&event);
		done += event_len;
		sink(ctx, &event);
	}
	return done;
}

static int
append(at_event_frames_t *frames, const char *data, size_t len)
{
	if (frames->len + len > AT_EVENT_MAX_BYTES)
		return -1;
	if (frames->len + len > frames->size) {
		size_t size = frames->len + len + GROWTH_MIN_BYTES;
		char *buffer = realloc(frames->buffer, size);

		if (buffer == NULL)
			return -1;
		frames->buffer = buffer;
		frames->size = size;
	}
	memcpy(frames->buffer + frames->len, data, len);
	frames->len += len;
	return 0;
}

int
at_event_frames_feed(at_event_frames_t *frames, const char *data, size_t len,
    at_event_sink_t sink, void *ctx)
{
	size_t done;

	if (frames->len == 0) {
		done = emit_events(data, len, sink, ctx);
		return done == len ? 0
				   : append(frames, data + done, len - done);
	}
	if (append(frames, data, len) != 0)
		return -1;
	done = emit_events(frames->buffer, frames->len, sink, ctx);
	frames->len -= done;
	memmove(frames->buffer, frames->buffer + done, frames->len);
	return 0;
}

size_t
at_event_frames_buffered_bytes(const at_event_frames_t *frames)
{
	return frames->len;
}

void
at_event_frames_reset(at_event_frames_t *frames)
{
	free(frames->buffer);
	memset(frames, 0, sizeof(*frames));
}
