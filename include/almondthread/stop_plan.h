/*
 * stop_plan.h - what an instance that shuts down does next.
 *
 * At first it takes requests as before, until the balancer has noticed that it
 * is not ready. Then it closes, unless fewer than half of the instances are
 * left that serve: those that were told to stop last go on taking requests that
 * end within their grace period, while the others end and start again.
 */
#ifndef ALMONDTHREAD_STOP_PLAN_H
#define ALMONDTHREAD_STOP_PLAN_H

#include "almondthread/roster.h"

/* Until the balancer sends no more requests here. */
#define AT_STOP_DRAIN_MS 2600u
/* Left of the grace period when it closes at the latest. */
#define AT_STOP_RESERVE_MS 1000u

typedef enum at_stop_step {
	AT_STOP_DRAIN,  /* take all requests */
	AT_STOP_LINGER, /* take requests that end in time */
	AT_STOP_CLOSE,  /* take none */
	AT_STOP_STEP_COUNT
} at_stop_step_t;

typedef struct at_stop_view {
	uint64_t waited_ms; /* since it was told to stop */
	uint64_t left_ms;   /* of the grace period */
	at_presence_t near; /* in this data centre */
	at_presence_t all;
} at_stop_view_t;

/* The most instances that were there since it was told to stop; 0 at first. */
typedef struct at_stop {
	uint32_t near_total;
	uint32_t all_total;
} at_stop_t;

/*
 * at_stop_next() is called several times a second, until it returns
 * AT_STOP_CLOSE. An instance that knows no other closes after the drain: the
 * sooner it ends, the sooner it starts again.
 */
at_stop_step_t at_stop_next(at_stop_t *stop, const at_stop_view_t *view);

#endif
