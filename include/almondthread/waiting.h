/*
 * waiting.h - requests that wait in this instance for room at a backend
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
#ifndef ALMONDTHREAD_WAITING_H
#define ALMONDTHREAD_WAITING_H

#include "almondthread/contention.h"
#include "almondthread/fleet.h"

#define AT_WAITING_NEVER UINT64_MAX /* nothing is due */

/* What becomes of a request that arrives. */
typedef enum at_arrival {
	AT_ARRIVAL_PLACED, /* it can go to the chosen backend server */
	AT_ARRIVAL_WAITS,  /* it is worth its while to wait */
	AT_ARRIVAL_REFUSED,
	AT_ARRIVAL_COUNT
} at_arrival_t;

extern const char *const at_arrival_names[];

/* One request; kept by its owner, linked in while it waits. */
typedef struct at_waiter {
	at_work_t work;
	uint32_t priority; /* of its route, 0 is the most urgent */
	uint64_t arrived_us;
	uint64_t objective_us; /* when its first event is due */
	uint64_t deadline_us;  /* when its caller leaves */
	/* When a caller leaves that has heard nothing until then; 0: never. */
	uint64_t patience_us;
	uint64_t give_up_us; /* set by at_waiting_judge() */
	struct at_waiter *next;
	struct at_waiter *prev;
	int linked;
} at_waiter_t;

/* Why, and when to come back. */
typedef struct at_judgment {
	at_arrival_t arrival;
	at_fit_t fit;
	at_choice_t choice;      /* of AT_ARRIVAL_PLACED */
	uint64_t wait_us;        /* expected until there is room */
	uint32_t retry_after_ms; /* unless it is placed */
} at_judgment_t;

typedef struct at_waiting at_waiting_t;

/* at_waiting_new() keeps both, which the caller frees after it. */
at_waiting_t *at_waiting_new(at_fleet_t *fleet, at_contention_t *contention);
void at_waiting_delete(at_waiting_t *waiting);
/*
 * at_waiting_report() fills rows with what waits here, by kind, and returns
 * how many there are.
 */
size_t at_waiting_report(const at_waiting_t *waiting, at_queue_row_t *rows,
    size_t max, uint64_t now_us);

/* at_waiting_judge() looks at a request that arrives or comes back. */
void at_waiting_judge(at_waiting_t *waiting, at_waiter_t *waiter,
    uint64_t now_us, at_judgment_t *judgment);
void at_waiting_add(at_waiting_t *waiting, at_waiter_t *waiter);
/* at_waiting_remove() takes it out; one that does not wait is left alone. */
void at_waiting_remove(at_waiting_t *waiting, at_waiter_t *waiter);

/*
 * at_waiting_next() takes out the next request that can be placed now and
 * returns it with its choice, or NULL.
 */
at_waiter_t *at_waiting_next(
    at_waiting_t *waiting, uint64_t now_us, at_choice_t *choice);
/* at_waiting_first() returns the one that goes first, or NULL. */
at_waiter_t *at_waiting_first(const at_waiting_t *waiting);
/* at_waiting_expired() takes out a request whose time to wait is over. */
at_waiter_t *at_waiting_expired(at_waiting_t *waiting, uint64_t now_us);
/* at_waiting_due_us() returns when the next one's time is over. */
uint64_t at_waiting_due_us(const at_waiting_t *waiting);

size_t at_waiting_count(const at_waiting_t *waiting);
/* at_waiting_each() visits what waits, the first to go first. */
void at_waiting_each(const at_waiting_t *waiting,
    void (*visit)(void *ctx, const at_waiter_t *waiter), void *ctx);

#endif
