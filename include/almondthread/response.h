/*
 * response.h - is this answer whole, and is it the answer to our request?
 *
 * The bytes of one backend server's answer go in with at_response_feed(); what
 * is proved to be ours comes out through the sink, in order and unchanged.
 *
 *   AT_RESPONSE_JSON    held until it is whole, valid JSON; its "id" is ours
 *   AT_RESPONSE_EVENTS  server-sent events: each is held until it is whole and
 *                     its "id" is ours; "data: [DONE]" is held until
 *                     at_response_end(), so that no caller sees it before the
 *                     transfer is proved complete
 *   AT_RESPONSE_BUFFERED    any body, held until it is whole; one larger than
 *                     AT_RESPONSE_BUFFER_MAX_BYTES is passed on from there
 *   AT_RESPONSE_STREAMED  any body, passed on as it comes
 *
 * An id is ours when it ends with the one that was sent: engines may put a
 * prefix before it. At most AT_RESPONSE_BUFFER_MAX_BYTES bytes of a whole
 * answer, or AT_RESPONSE_EVENT_MAX_BYTES of an event, are held.
 */
#ifndef ALMONDTHREAD_RESPONSE_H
#define ALMONDTHREAD_RESPONSE_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

#define AT_RESPONSE_BUFFER_MAX_BYTES (4u << 20) /* bytes of a whole answer */
#define AT_RESPONSE_EVENT_MAX_BYTES (64u << 10) /* bytes of one event */

typedef enum at_response_kind {
	AT_RESPONSE_JSON,
	AT_RESPONSE_EVENTS,
	AT_RESPONSE_BUFFERED,
	AT_RESPONSE_STREAMED,
	AT_RESPONSE_KIND_COUNT
} at_response_kind_t;

extern const char *const at_response_kind_names[];

typedef struct at_response at_response_t;

/* Takes len proved bytes; they are borrowed for the call. */
typedef void (*at_response_sink_t)(void *ctx, const char *data, size_t len);

/* at_response_new() returns NULL without memory. */
at_response_t *at_response_new(void);
void at_response_delete(at_response_t *answer);

void at_response_set_sink(
    at_response_t *answer, at_response_sink_t sink, void *ctx);
/*
 * at_response_init() begins an answer; id is copied, NULL or empty checks no
 * id. Returns 0, or -1 without memory.
 */
int at_response_init(
    at_response_t *answer, at_response_kind_t kind, const char *id);

/*
 * at_response_feed() takes the next bytes. Returns AT_REASON_NONE,
 * AT_REASON_CROSSED when they belong to another request, or
 * AT_REASON_TRUNCATED when they cannot become a whole answer. After a fault
 * nothing more is passed on.
 */
at_reason_t at_response_feed(
    at_response_t *answer, const char *data, size_t len);

/*
 * at_response_end() is called when the transfer was complete. It passes on
 * what was held and returns as at_response_feed() does.
 */
at_reason_t at_response_end(at_response_t *answer);

/* at_response_buffered_bytes() returns how many bytes are held. */
size_t at_response_buffered_bytes(const at_response_t *answer);

#endif
