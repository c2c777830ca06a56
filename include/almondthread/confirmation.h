/*
 * confirmation.h - evidence that a copy of the platform's list has all changes
 * up to a moment. Whoever needs it takes a ticket; a question that is sent
 * after that covers the ticket once the platform has responded to it. One
 * question covers all tickets that were taken before it was sent.
 *
 * Load pattern: after a restart of all instances, thousands of callers resume
 * their streams within a second, at instances that know no origin. The
 * questions of an instance are spaced so that all instances together send at
 * most 400 a second, a fifth of the 2,000 reads that the platform allows.
 *
 * Times are passed in, in milliseconds.
 */
#ifndef ALMONDTHREAD_CONFIRMATION_H
#define ALMONDTHREAD_CONFIRMATION_H

#include <stdint.h>

/* Questions without a response at a time; the platform may be slow. */
#define AT_CONFIRMATION_OPEN_MAX 4u
/*
 * A question without a response is given up after this time; a caller could
 * have been served at another instance by then.
 */
#define AT_CONFIRMATION_TIMEOUT_MS 500u

/* Zeroed at first; its fields are for confirmation.c. */
typedef struct at_confirmation {
	uint64_t wanted;    /* highest ticket */
	uint64_t sent;      /* number of the last question; 0: none */
	uint64_t confirmed; /* highest number that was confirmed */
	uint64_t sent_ms;   /* when the last question was sent */
	uint64_t failed_ms; /* when the last one failed; 0: one did not */
	uint32_t open_count;
} at_confirmation_t;

/*
 * at_confirmation_take() returns a ticket, which is never 0. It remains valid
 * after failed questions, but only further tickets lead to further questions.
 */
uint64_t at_confirmation_take(at_confirmation_t *confirmation);
/* at_confirmation_covers() returns whether a ticket is confirmed. */
int at_confirmation_covers(
    const at_confirmation_t *confirmation, uint64_t ticket);

/*
 * at_confirmation_next() returns the number of a question that is to be sent
 * now, or 0. instances is the number of those that may ask, with this one.
 * at_confirmation_due_ms() returns when it is to be called again, UINT64_MAX if
 * not before the next ticket or the end of a question.
 */
uint64_t at_confirmation_next(
    at_confirmation_t *confirmation, uint32_t instances, uint64_t now_ms);
uint64_t at_confirmation_due_ms(
    const at_confirmation_t *confirmation, uint32_t instances);
/*
 * at_confirmation_end() notes the end of a question. is_confirmed is non-zero
 * if all changes that the platform had when it responded are known.
 */
void at_confirmation_end(at_confirmation_t *confirmation, uint64_t number,
    int is_confirmed, uint64_t now_ms);
/*
 * at_confirmation_is_failing() returns non-zero if the last question that ended
 * has failed recently: it is not worth while to wait for another one.
 */
int at_confirmation_is_failing(
    const at_confirmation_t *confirmation, uint64_t now_ms);

#endif
