#include "almondthread/event_frames.h"

#include <stdlib.h>
#include <string.h>

#define GROWTH_MIN_BYTES 1024u /* smallest growth of the buffer */
#define ID_FIELD "id:"

/*
 * Returns the length of the complete event at the start of data, or 0. None
 * ends in the first searched bytes.
 */
static size_t
event_length(const char *data, size_t len, size_t searched)
{
	const char *at = data + searched;
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
emit_events(const char *data, size_t len, size_t searched, at_event_sink_t sink,
    void *ctx)
{
	size_t done = 0;
	size_t event_len;

	while (
	    (event_len = event_length(data + done, len - done, searched)) > 0) {
		searched = 0;
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
		size_t size =
		    frames->len + frames->len / 2 + len + GROWTH_MIN_BYTES;
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

/* An event may end with the next bytes, after "\n" or "\n\r". */
static void
note_searched(at_event_frames_t *frames)
{
	frames->searched = frames->len < 2 ? 0 : frames->len - 2;
}

int
at_event_frames_feed(at_event_frames_t *frames, const char *data, size_t len,
    at_event_sink_t sink, void *ctx)
{
	size_t done;

	if (frames->len == 0) {
		done = emit_events(data, len, 0, sink, ctx);
		if (done == len)
			return 0;
		if (append(frames, data + done, len - done) != 0)
			return -1;
		note_searched(frames);
		return 0;
	}
	if (append(frames, data, len) != 0)
		return -1;
	done = emit_events(
	    frames->buffer, frames->len, frames->searched, sink, ctx);
	frames->len -= done;
	memmove(frames->buffer, frames->buffer + done, frames->len);
	note_searched(frames);
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
