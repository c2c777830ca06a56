#include "almondthread/event_frames.h"

#include <stdlib.h>
#include <string.h>

#define GROWTH 1024u /* bytes the buffer grows by at least */
#define ID_FIELD "id:"

/* Returns the length of the event that data begins with, or 0. */
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
read_id(at_event_t *event)
{
	const char *line = event->data;
	const char *end = event->data + event->len;

	while (line < end) {
		const char *stop = memchr(line, '\n', (size_t)(end - line));

		if (stop == NULL)
			return;
		if ((size_t)(stop - line) > strlen(ID_FIELD) &&
		    memcmp(line, ID_FIELD, strlen(ID_FIELD)) == 0) {
			/* The line ends, so the number does. */
			event->id = strtoull(line + strlen(ID_FIELD), NULL, 10);
			event->has_id = 1;
			return;
		}
		line = stop + 1;
	}
}

/* Passes on what is whole; returns how many bytes that were. */
static size_t
pass_on(const char *data, size_t len, at_event_sink_t sink, void *ctx)
{
	size_t done = 0;
	size_t event_len;

	while ((event_len = event_length(data + done, len - done)) > 0) {
		at_event_t event = {.data = data + done, .len = event_len};

		read_id(&event);
		done += event_len;
		sink(ctx, &event);
	}
	return done;
}

static int
hold(at_event_frames_t *frames, const char *data, size_t len)
{
	if (frames->len + len > AT_EVENT_MAX_BYTES)
		return -1;
	if (frames->len + len > frames->size) {
		size_t size = frames->len + len + GROWTH;
		char *grown = realloc(frames->buffer, size);

		if (grown == NULL)
			return -1;
		frames->buffer = grown;
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
		done = pass_on(data, len, sink, ctx);
		return done == len ? 0 : hold(frames, data + done, len - done);
	}
	if (hold(frames, data, len) != 0)
		return -1;
	done = pass_on(frames->buffer, frames->len, sink, ctx);
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
