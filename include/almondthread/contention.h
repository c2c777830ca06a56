/*
 * contention.h - what waits at the other instances for the same backend
 * servers, and when one of this instance's requests may take room that all of
 * them see.
 *
 * Pure: times are passed in, in microseconds; the seed makes draws differ
 * between instances.
 *
 * Loads of the others are known some hundred milliseconds late. When many
 * instances have requests waiting, all see the same room at the same moment.
 * Each then sends one request in an interval of its own, drawn at random and
 * as long as it takes all of them together to fill that room once within the
 * age of their information. Requests that can still meet their objective go
 * first over all instances.
 */
#ifndef ALMONDTHREAD_CONTENTION_H
#define ALMONDTHREAD_CONTENTION_H

#include "almondthread/site.h"

#define AT_QUEUE_REPORTS_MAX 64u /* kinds of work in one report */

/* What is waited for: a model of a service; 0: a plain service itself. */
typedef struct at_work_kind {
	at_tag_t service;
	at_tag_t model;
} at_work_kind_t;

/* Requests of one kind that wait at one instance, or at several. */
typedef struct at_queue_report {
	at_work_kind_t kind;
	uint32_t requests;
	uint32_t on_time;       /* of them can still meet their objective */
	uint32_t prompt_tokens; /* of all of them */
} at_queue_report_t;

/* The same for all other instances. */
typedef struct at_queue_total {
	uint32_t instances;
	uint32_t on_time_instances; /* of them have pressing requests */
	uint32_t requests;
	uint32_t on_time;
	uint64_t prompt_tokens;
} at_queue_total_t;

/* A request that looks for room. */
typedef struct at_dispatch_candidate {
	at_work_kind_t kind;
	int on_time;          /* it can still meet its objective */
	uint32_t free_slots;  /* for requests like it, as far as is known */
	uint32_t queued_here; /* requests of its kind that wait here, with it */
} at_dispatch_candidate_t;

typedef struct at_contention at_contention_t;

/* at_contention_new() returns NULL without memory. */
at_contention_t *at_contention_new(uint64_t seed);
void at_contention_delete(at_contention_t *contention);

/* at_contention_apply_report() replaces what an instance reported before. */
void at_contention_apply_report(at_contention_t *contention, at_tag_t instance,
    const at_queue_report_t *rows, size_t count, uint64_t now_us);
/* at_contention_expire_reports() drops reports older than max_age_us. */
void at_contention_expire_reports(
    at_contention_t *contention, uint64_t now_us, uint64_t max_age_us);
at_queue_total_t at_contention_peer_queues(
    const at_contention_t *contention, const at_work_kind_t *kind);

/*
 * at_contention_may_dispatch() tells whether a request may take room now.
 * Without contention it may; one that is late yields to those of other
 * instances that are not.
 */
int at_contention_may_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *seeker, uint64_t now_us);
/* at_contention_note_dispatch() begins the interval until the next one. */
void at_contention_note_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *seeker, uint64_t now_us);

#endif
