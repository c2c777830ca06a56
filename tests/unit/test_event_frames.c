/*
 * Events of a stream that is divided at any byte into two calls.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/event_frames.h"

static char found[256];

static void
on_event(void *ctx, const at_event_t *event)
{
	size_t len = strlen(found);

	(void)ctx;
	(void)snprintf(found + len, sizeof(found) - len, "%s%llu:%zu ",
	    event->has_id ? "" : "?", (unsigned long long)event->id,
	    event->len);
}

static const struct {
	const char *stream;
	const char *events; /* id and length of each */
	size_t buffered;    /* bytes of an incomplete event at the end */
} cases[] = {
    {"id: 1\ndata: x\n\n", "1:15 ", 0},
    {"id: 1\ndata: x\n\nid: 2\ndata: y\n\n", "1:15 2:15 ", 0},
    {"id: 1\r\ndata: x\r\n\r\n", "1:18 ", 0},
    {"data: x\n\n", "?0:9 ", 0},
    {"x-weight-versions: 3\nid: 7\ndata: x\n\n", "7:36 ", 0},
    {"id: 1\ndata: x\n\nid: 2\nda", "1:15 ", 8},
    {"", "", 0},
};

Test(event_frames, finds_events_divided_anywhere)
{
	size_t i;
	size_t cut;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		size_t len = strlen(cases[i].stream);

		for (cut = 0; cut <= len; cut++) {
			at_event_frames_t frames = {0};

			found[0] = '\0';
			cr_assert_eq(at_event_frames_feed(&frames,
					 cases[i].stream, cut, on_event, NULL),
			    0);
			cr_assert_eq(
			    at_event_frames_feed(&frames, cases[i].stream + cut,
				len - cut, on_event, NULL),
			    0);
			cr_assert_str_eq(found, cases[i].events);
			cr_assert_eq(at_event_frames_buffered_bytes(&frames),
			    cases[i].buffered);
			at_event_frames_reset(&frames);
		}
	}
}

/* Each byte would be searched again with every later one. */
Test(event_frames, finds_events_that_come_byte_by_byte)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_event_frames_t frames = {0};

		found[0] = '\0';
		for (k = 0; k < strlen(cases[i].stream); k++)
			cr_assert_eq(
			    at_event_frames_feed(&frames, cases[i].stream + k,
				1, on_event, NULL),
			    0);
		cr_assert_str_eq(found, cases[i].events);
		at_event_frames_reset(&frames);
	}
}

Test(event_frames, rejects_an_event_too_long)
{
	static char data[AT_EVENT_MAX_BYTES + 1];
	at_event_frames_t frames = {0};

	memset(data, 'x', sizeof(data));
	cr_assert_eq(
	    at_event_frames_feed(&frames, data, sizeof(data), on_event, NULL),
	    -1);
	at_event_frames_reset(&frames);
}
