/*
 * answer.h - is this answer whole, and is it the answer to our request?
 *
 * The bytes of one backend server's answer go in with at_answer_feed(); what
 * is proved to be ours comes out through the sink, in order and unchanged.
 *
 *   AT_ANSWER_JSON    held until it is whole, valid JSON; its "id" is ours
 *   AT_ANSWER_EVENTS  server-sent events: each is held until it is whole and
 *                     its "id" is ours; "data: [DONE]" is held until
 *                     at_answer_end(), so that no caller sees it before the
 *                     transfer is proved complete
 *   AT_ANSWER_HELD    any body, held until it is whole; one larger than
 *                     AT_ANSWER_HELD_MAX is passed on from there
 *   AT_ANSWER_PASSED  any body, passed on as it comes
 *
 * An id is ours when it ends with the one that was sent: engines may put a
 * prefix before it. At most AT_ANSWER_HELD_MAX bytes of a whole answer, or
 * AT_ANSWER_EVENT_MAX of an event, are held.
 */
#ifndef ALMONDTHREAD_ANSWER_H
#define ALMONDTHREAD_ANSWER_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

#define AT_ANSWER_HELD_MAX (4u << 20)   /* bytes of a whole answer */
#define AT_ANSWER_EVENT_MAX (64u << 10) /* bytes of one event */

typedef enum at_answer_kind {
	AT_ANSWER_JSON,
	AT_ANSWER_EVENTS,
	AT_ANSWER_HELD,
	AT_ANSWER_PASSED,
	AT_ANSWER_KIND_COUNT
} at_answer_kind_t;

extern const char *const at_answer_kind_names[];

typedef struct at_answer at_answer_t;

/* Takes len proved bytes; they are borrowed for the call. */
typedef void (*at_answer_sink_t)(void *ctx, const char *data, size_t len);

/* at_answer_new() returns NULL without memory. */
at_answer_t *at_answer_new(void);
void at_answer_delete(at_answer_t *answer);

void at_answer_set_sink(at_answer_t *answer, at_answer_sink_t sink, void *ctx);
/*
 * at_answer_init() begins an answer; id is copied, NULL or empty checks no
 * id. Returns 0, or -1 without memory.
 */
int at_answer_init(at_answer_t *answer, at_answer_kind_t kind, const char *id);

/*
 * at_answer_feed() takes the next bytes. Returns AT_REASON_NONE,
 * AT_REASON_CROSSED when they belong to another request, or
 * AT_REASON_TRUNCATED when they cannot become a whole answer. After a fault
 * nothing more is passed on.
 */
at_reason_t at_answer_feed(at_answer_t *answer, const char *data, size_t len);

/*
 * at_answer_end() is called when the transfer was complete. It passes on
 * what was held and returns as at_answer_feed() does.
 */
at_reason_t at_answer_end(at_answer_t *answer);

/* at_answer_held() returns how many bytes are held. */
size_t at_answer_held(const at_answer_t *answer);

#endif
