/*
 * response.h - validates the body of a backend server's response: it must be
 * complete and belong to our request.
 *
 * The caller feeds the bytes of one response; those that are proved to be
 * ours are passed to a sink, in order and unchanged.
 *
 *   AT_RESPONSE_JSON      buffered until it is complete, valid JSON whose
 *                         "id" is ours
 *   AT_RESPONSE_EVENTS    server-sent events: each one is buffered until it
 *                         is complete and its "id" is ours. "data: [DONE]"
 *                         is buffered until at_response_end(), so that no
 *                         caller receives it before the transfer is proved
 *                         complete.
 *   AT_RESPONSE_BUFFERED  any body, buffered until it is complete. A body
 *                         larger than AT_RESPONSE_BUFFER_MAX_BYTES is passed
 *                         on from that size.
 *   AT_RESPONSE_STREAMED  any body, passed on as it arrives
 *
 * An id is ours when it ends with the id that was sent, because engines may
 * add a prefix. At most AT_RESPONSE_BUFFER_MAX_BYTES of a response, or
 * AT_RESPONSE_EVENT_MAX_BYTES of an event, are buffered.
 */
#ifndef ALMONDTHREAD_RESPONSE_H
#define ALMONDTHREAD_RESPONSE_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

#define AT_RESPONSE_BUFFER_MAX_BYTES (4u << 20) /* of one response */
#define AT_RESPONSE_EVENT_MAX_BYTES (64u << 10) /* of one event */

typedef enum at_response_kind {
	AT_RESPONSE_JSON,
	AT_RESPONSE_EVENTS,
	AT_RESPONSE_BUFFERED,
	AT_RESPONSE_STREAMED,
	AT_RESPONSE_KIND_COUNT
} at_response_kind_t;

/* Names of kinds, indexed by at_response_kind_t. */
extern const char *const at_response_kind_names[];

typedef struct at_response at_response_t;

/* Receives len validated bytes, which are valid only during the call. */
typedef void (*at_response_sink_t)(void *ctx, const char *data, size_t len);

/* at_response_new() returns NULL if out of memory. */
at_response_t *at_response_new(void);
void at_response_delete(at_response_t *response);
void at_response_set_sink(
    at_response_t *response, at_response_sink_t sink, void *ctx);

/*
 * at_response_init() starts a new response. id is copied; no id is checked when
 * it is NULL or empty. Returns 0, or -1 if out of memory.
 */
int at_response_init(
    at_response_t *response, at_response_kind_t kind, const char *id);

/*
 * at_response_feed() takes the next bytes. Returns AT_REASON_NONE,
 * AT_REASON_CROSSED when they belong to another request, or
 * AT_REASON_TRUNCATED when they cannot become a complete response. After an
 * error nothing more is passed to the sink.
 */
at_reason_t at_response_feed(
    at_response_t *response, const char *data, size_t len);

/*
 * at_response_end() is called when the transfer is complete. It passes on
 * what is buffered and returns the same values as at_response_feed().
 */
at_reason_t at_response_end(at_response_t *response);

/* at_response_buffered_bytes() returns the number of bytes buffered. */
size_t at_response_buffered_bytes(const at_response_t *response);

#endif
