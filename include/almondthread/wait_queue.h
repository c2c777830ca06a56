/*
 * wait_queue.h - requests that wait in this instance for room at a backend
 * server: who may wait at all, who goes first, and when to come back.
 *
 * Pure: times are passed in, in microseconds.
 *
 * A request that can still meet its objective goes before all that cannot,
 * by the time that it has left and its route's priority. Late ones take what
 * is left over, the more urgent route first. A request is refused when it
 * arrives if those before it will take longer than it can wait; one that was
 * let in is refused as soon as its time to wait is over, before its caller
 * would leave without an answer. Room that many instances see is taken in
 * turns (contention.h).
 */
#ifndef ALMONDTHREAD_WAIT_QUEUE_H
#define ALMONDTHREAD_WAIT_QUEUE_H

#include "almondthread/contention.h"
#include "almondthread/fleet.h"

#define AT_WAIT_QUEUE_NOT_DUE UINT64_MAX /* nothing is due */

/* What becomes of a request that arrives. */
typedef enum at_admission {
	AT_ADMISSION_PLACED, /* it can go to the chosen backend server */
	AT_ADMISSION_QUEUED, /* it is worth its while to wait */
	AT_ADMISSION_REFUSED,
	AT_ADMISSION_COUNT
} at_admission_t;

extern const char *const at_admission_names[];

/* One request; kept by its owner, linked in while it waits. */
typedef struct at_waiter {
	at_work_t work;
	uint32_t priority; /* of its route, 0 is the most urgent */
	uint64_t arrived_us;
	uint64_t objective_us; /* when its first event is due */
	uint64_t deadline_us;  /* when its caller leaves */
	/* When a caller leaves that has heard nothing until then; 0: never. */
	uint64_t first_event_limit_us;
	uint64_t expires_us; /* set by at_wait_queue_decide() */
	struct at_waiter *next;
	struct at_waiter *prev;
	int is_queued;
} at_waiter_t;

/* Why, and when to come back. */
typedef struct at_admission_decision {
	at_admission_t admission;
	at_choice_result_t choice_result;
	at_choice_t choice;      /* of AT_ADMISSION_PLACED */
	uint64_t wait_us;        /* expected until there is room */
	uint32_t retry_after_ms; /* unless it is placed */
} at_admission_decision_t;

typedef struct at_wait_queue at_wait_queue_t;

/* at_wait_queue_new() keeps both, which the caller frees after it. */
at_wait_queue_t *at_wait_queue_new(
    at_fleet_t *fleet, at_contention_t *contention);
void at_wait_queue_delete(at_wait_queue_t *waiting);
/*
 * at_wait_queue_fill_report() fills rows with what waits here, by kind, and
 * returns how many there are.
 */
size_t at_wait_queue_fill_report(const at_wait_queue_t *waiting,
    at_queue_report_t *rows, size_t max, uint64_t now_us);

/* at_wait_queue_decide() looks at a request that arrives or comes back. */
void at_wait_queue_decide(at_wait_queue_t *waiting, at_waiter_t *waiter,
    uint64_t now_us, at_admission_decision_t *judgment);
void at_wait_queue_add(at_wait_queue_t *waiting, at_waiter_t *waiter);
/* at_wait_queue_remove() takes it out; one that does not wait is left alone. */
void at_wait_queue_remove(at_wait_queue_t *waiting, at_waiter_t *waiter);

/*
 * at_wait_queue_take_placeable() takes out the next request that can be placed
 * now and returns it with its choice, or NULL.
 */
at_waiter_t *at_wait_queue_take_placeable(
    at_wait_queue_t *waiting, uint64_t now_us, at_choice_t *choice);
/* at_wait_queue_peek() returns the one that goes first, or NULL. */
at_waiter_t *at_wait_queue_peek(const at_wait_queue_t *waiting);
/* at_wait_queue_take_expired() takes out a request whose time to wait is over.
 */
at_waiter_t *at_wait_queue_take_expired(
    at_wait_queue_t *waiting, uint64_t now_us);
/* at_wait_queue_due_us() returns when the next one's time is over. */
uint64_t at_wait_queue_due_us(const at_wait_queue_t *waiting);

size_t at_wait_queue_count(const at_wait_queue_t *waiting);
/* at_wait_queue_each() visits what waits, the first to go first. */
void at_wait_queue_each(const at_wait_queue_t *waiting,
    void (*visit)(void *ctx, const at_waiter_t *waiter), void *ctx);

#endif
