/*
 * wait_queue.h - requests of this instance that wait for a free slot at a
 * backend server: admission, order, expiry and the retry time of refusals.
 *
 * Times are passed in, in microseconds.
 *
 * Requests that can still meet their objective are dispatched before all that
 * cannot, by remaining time and route priority. Late requests take what is left
 * over, those of the more urgent route first. A request is refused on arrival
 * if those before it will take longer than it can wait. A queued request is
 * refused as soon as its time to wait is over, before its caller would leave
 * without a response, when no server of the version that it needs is left, or
 * when all servers that could run it have named limits that are full.
 * A queued request that will be late is refused if an arriving one can be on
 * time in its place; the requests of a workspace that has more than its part of
 * the queue wait behind the others (shed.h).
 * Free slots that several instances see are taken in turns (contention.h).
 * While the servers of a plain service are short of slots, part of its requests
 * is sent (plain_rates.h), and one that would be late is refused.
 *
 * A request that goes on with a stream needs a server of the version that began
 * it. It goes before new requests of its priority, and while one waits, those
 * of this instance leave such servers to it.
 */
#ifndef ALMONDTHREAD_WAIT_QUEUE_H
#define ALMONDTHREAD_WAIT_QUEUE_H

#include "almondthread/contention.h"
#include "almondthread/fleet.h"

#define AT_WAIT_QUEUE_NOT_DUE UINT64_MAX /* nothing is due */

/* What happens to a request that arrives. */
typedef enum at_admission {
	AT_ADMISSION_PLACED, /* to be sent to the chosen backend server */
	AT_ADMISSION_QUEUED, /* it can expect a slot in time */
	AT_ADMISSION_REFUSED,
	AT_ADMISSION_COUNT
} at_admission_t;

/* Names of decisions, indexed by at_admission_t. */
extern const char *const at_admission_names[];

/* One request; it belongs to the owner and is linked while it is queued. */
typedef struct at_waiter {
	at_work_t work;
	uint32_t priority;  /* of its route, 0 is the most urgent */
	at_tag_t workspace; /* of its caller; 0: none */
	uint64_t arrived_us;
	uint64_t objective_us; /* when its first event is due */
	uint64_t deadline_us;  /* when its caller leaves */
	/* The caller leaves if it has no event by then; 0: it does not. */
	uint64_t first_event_limit_us;
	uint64_t expires_us; /* set by at_wait_queue_decide() */
	struct at_waiter *next;
	struct at_waiter *prev;
	int is_queued;
	int is_counted;  /* among the arrivals at a plain service */
	int is_yielding; /* it is refused in favour of another */
	int is_surplus;  /* its workspace has more than its part of the queue */
} at_waiter_t;

/* An admission decision and its causes. */
typedef struct at_admission_decision {
	at_admission_t admission;
	at_choice_result_t choice_result;
	at_choice_t choice;      /* of AT_ADMISSION_PLACED */
	uint64_t wait_us;        /* expected, until a slot is free */
	uint32_t retry_after_ms; /* for a refusal; 0 if placed */
	int is_short; /* the servers of the plain service are short of slots */
} at_admission_decision_t;

typedef struct at_wait_queue at_wait_queue_t;

/*
 * at_wait_queue_new() returns an empty queue, or NULL if out of memory. It uses
 * both arguments, which the caller frees after it.
 */
at_wait_queue_t *at_wait_queue_new(
    at_fleet_t *fleet, at_contention_t *contention);
void at_wait_queue_delete(at_wait_queue_t *queue);
/*
 * at_wait_queue_fill_report() writes the queued requests by kind, at most max
 * entries, and returns the number of entries.
 */
size_t at_wait_queue_fill_report(const at_wait_queue_t *queue,
    at_queue_report_t *entries, size_t max, uint64_t now_us);

/*
 * at_wait_queue_decide() decides on a request that arrives or is retried. A
 * queued one that is to be refused in its favour expires with it.
 */
void at_wait_queue_decide(at_wait_queue_t *queue, at_waiter_t *waiter,
    uint64_t now_us, at_admission_decision_t *decision);
void at_wait_queue_add(at_wait_queue_t *queue, at_waiter_t *waiter);
/* at_wait_queue_remove() does nothing for a request that is not queued. */
void at_wait_queue_remove(at_wait_queue_t *queue, at_waiter_t *waiter);

/*
 * at_wait_queue_note_ended() tells that a request that was sent has ended,
 * elapsed_us after it.
 */
void at_wait_queue_note_ended(at_wait_queue_t *queue, const at_work_t *work,
    at_server_outcome_t outcome, uint64_t elapsed_us, uint64_t now_us);

/*
 * at_wait_queue_take_placeable() removes the next request that can be sent
 * now and returns it with its choice, or NULL.
 */
at_waiter_t *at_wait_queue_take_placeable(
    at_wait_queue_t *queue, uint64_t now_us, at_choice_t *choice);
/*
 * at_wait_queue_take_expired() removes and returns a request that has
 * expired, or NULL.
 */
at_waiter_t *at_wait_queue_take_expired(
    at_wait_queue_t *queue, uint64_t now_us);
/*
 * at_wait_queue_due_us() returns when the next request expires, or
 * AT_WAIT_QUEUE_NOT_DUE.
 */
uint64_t at_wait_queue_due_us(const at_wait_queue_t *queue);

size_t at_wait_queue_count(const at_wait_queue_t *queue);
/* at_wait_queue_each() visits all queued requests in order. */
void at_wait_queue_each(const at_wait_queue_t *queue,
    void (*visit)(void *ctx, const at_waiter_t *waiter), void *ctx);

#endif
