/*
 * shed.h - what it costs callers to delay or to refuse a request: the order of
 * queued requests, and which one is refused when not all can be served.
 *
 * Times are passed in, in microseconds of one clock.
 */
#ifndef ALMONDTHREAD_SHED_H
#define ALMONDTHREAD_SHED_H

#include <stdint.h>

/* What a caller loses depends on these. */
typedef struct at_shed_request {
	uint32_t priority; /* 0 is the most urgent */
	uint64_t arrived_us;
	uint64_t objective_us; /* when its first event is due */
	uint64_t deadline_us;  /* when its caller leaves */
	uint64_t work_us;      /* time at a server until its first event */
	int is_begun;          /* its caller has a part of the response */
	int is_surplus;        /* see at_shed_is_surplus() */
} at_shed_request_t;

/* at_shed_rank() returns the place in the queue; the lowest goes first. */
uint64_t at_shed_rank(const at_shed_request_t *request);

/*
 * at_shed_is_surplus() returns non-zero for a request of a workspace that has
 * more requests queued than its equal part: own of all queued ones, which are
 * those of this number of workspaces, with this request.
 */
int at_shed_is_surplus(uint32_t own, uint32_t all, uint32_t workspaces);

/*
 * at_shed_cost() returns what a refusal costs callers for each millisecond of
 * work that it saves, if the request would otherwise be sent at start_us.
 */
uint64_t at_shed_cost(const at_shed_request_t *request, uint64_t start_us);

/*
 * at_shed_yields() returns non-zero if the queued request, which can be sent at
 * queued_us, is to be refused in favour of the other one, which then can be
 * sent at other_us.
 */
int at_shed_yields(const at_shed_request_t *queued, uint64_t queued_us,
    const at_shed_request_t *other, uint64_t other_us);

#endif
