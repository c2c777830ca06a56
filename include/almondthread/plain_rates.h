/*
 * plain_rates.h - how many requests this instance sends to the backend servers
 * of a plain service while they are short of slots.
 *
 * Times are passed in, in microseconds. The seed makes the instances send at
 * different moments.
 *
 * A request of a plain service is shorter than the delay of a report, so the
 * free slots of a single server are not known. What all instances together
 * receive, complete and have in flight is known well enough: from it follows
 * the part of the requests that may be sent, which is the same at all
 * instances. Without a shortage every request may be sent.
 */
#ifndef ALMONDTHREAD_PLAIN_RATES_H
#define ALMONDTHREAD_PLAIN_RATES_H

#include "almondthread/site.h"

#define AT_PLAIN_RATES_MAX 16u /* services; others are not limited */

/* Requests in 1,000 s of one instance, or of several. */
typedef struct at_plain_flow {
	uint64_t arrivals_milli;
	uint64_t served_milli;
} at_plain_flow_t;

/* What is known of a service when a decision is made. */
typedef struct at_plain_view {
	uint32_t slots;       /* of the servers that take requests */
	uint32_t active;      /* requests there, of all instances */
	uint32_t queued_here; /* without the request that is decided on */
	uint32_t peers_queued;
	uint64_t request_us;   /* time of a request, until it is observed */
	at_plain_flow_t peers; /* of all other instances */
} at_plain_view_t;

typedef struct at_plain_rates at_plain_rates_t;

/* at_plain_rates_new() returns NULL if out of memory. */
at_plain_rates_t *at_plain_rates_new(uint64_t seed);
/* at_plain_rates_delete() does nothing for NULL. */
void at_plain_rates_delete(at_plain_rates_t *rates);

/* at_plain_rates_note_arrival() counts a request that needs a slot. */
void at_plain_rates_note_arrival(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t priority, uint64_t now_us);
/* at_plain_rates_note_sent() counts one that has been sent. */
void at_plain_rates_note_sent(
    at_plain_rates_t *rates, at_tag_t service, uint64_t now_us);
/*
 * at_plain_rates_note_ended() counts one that has been served, elapsed_us after
 * it was sent, or that its server has refused.
 */
void at_plain_rates_note_ended(at_plain_rates_t *rates, at_tag_t service,
    int is_refused, uint64_t elapsed_us, uint64_t now_us);

/*
 * at_plain_rates_is_short() returns non-zero while the servers are short of
 * slots and more requests arrive than they can complete, or they refuse many. A
 * short burst is not a shortage.
 */
int at_plain_rates_is_short(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint64_t now_us);
/*
 * at_plain_rates_may_send() returns non-zero if one may be sent now; priority 0
 * is the most urgent.
 */
int at_plain_rates_may_send(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t priority, uint64_t now_us);
/*
 * at_plain_rates_wait_us() returns the time until a request may be sent with
 * this number of others of this instance before it; 0 without a shortage.
 */
uint64_t at_plain_rates_wait_us(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t ahead, uint64_t now_us);
/*
 * at_plain_rates_return_us() returns when a caller that is refused should come
 * back: after the time in which the servers could run all that was refused in
 * the last second; 0 without a shortage.
 */
uint64_t at_plain_rates_return_us(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint64_t now_us);
/* at_plain_rates_served_us() returns the recent mean time at a server. */
uint64_t at_plain_rates_served_us(
    const at_plain_rates_t *rates, at_tag_t service);

/*
 * at_plain_rates_next() fills in what this instance reports of the service that
 * follows position *next, which it advances; it returns 0 at the end. Services
 * without a shortage are left out.
 */
int at_plain_rates_next(const at_plain_rates_t *rates, size_t *next,
    at_tag_t *service, at_plain_flow_t *flow, uint64_t now_us);

#endif
