/*
 * contention.h - decides when a queued request of this instance may take a
 * slot at a backend server that other instances also see as free.
 *
 * Times are passed in, in microseconds. The seed makes random draws differ
 * between instances.
 *
 * The loads of other instances are known some hundred milliseconds late.
 * When many instances have queued requests, all of them see the same free
 * slots at the same moment. Each instance therefore dispatches one request
 * in a random interval, chosen so that all instances together fill the free
 * slots once within the age of their information. Requests that can still
 * meet their objective go first across all instances.
 */
#ifndef ALMONDTHREAD_CONTENTION_H
#define ALMONDTHREAD_CONTENTION_H

#include "almondthread/plain_rates.h"
#include "almondthread/site.h"

#define AT_QUEUE_REPORTS_MAX 64u /* kinds of work in one report */

/*
 * The model of a service that requests wait for; model 0: the service. Requests
 * that go on with a stream need a version of the servers' software.
 */
typedef struct at_work_kind {
	at_tag_t service;
	at_tag_t model;
	at_tag_t software; /* 0: any */
} at_work_kind_t;

/* Requests of one kind that wait at one instance. */
typedef struct at_queue_report {
	at_work_kind_t kind;
	uint32_t requests;
	uint32_t on_time;       /* those that can still meet their objective */
	uint32_t prompt_tokens; /* of all these requests */
	/* In a sum over instances, those that have such requests; else 0. */
	uint32_t instances;
	uint32_t on_time_instances;
	at_plain_flow_t flow; /* of a plain service in a shortage; else 0 */
} at_queue_report_t;

/* Requests of one kind that wait at all other instances. */
typedef struct at_queue_total {
	uint32_t instances;
	uint32_t on_time_instances; /* those that have on-time requests */
	uint32_t requests;
	uint32_t on_time;
	uint64_t prompt_tokens;
	at_plain_flow_t flow;
} at_queue_total_t;

/* A queued request that needs a slot. */
typedef struct at_dispatch_candidate {
	at_work_kind_t kind;
	int on_time;          /* it can still meet its objective */
	uint32_t free_slots;  /* for its kind, as known here */
	uint32_t queued_here; /* requests of its kind here, including it */
} at_dispatch_candidate_t;

typedef struct at_contention at_contention_t;

/* at_contention_new() returns NULL if out of memory. */
at_contention_t *at_contention_new(uint64_t seed);
void at_contention_delete(at_contention_t *contention);
/* at_contention_seed() derives a seed for another part of this instance. */
uint64_t at_contention_seed(const at_contention_t *contention);
/*
 * at_contention_set_report_interval() sets the interval of the reports of most
 * other instances, 100 ms by default; it decides how old they are.
 */
void at_contention_set_report_interval(
    at_contention_t *contention, uint32_t interval_us);

/* at_contention_apply_report() replaces an instance's previous report. */
void at_contention_apply_report(at_contention_t *contention, at_tag_t instance,
    const at_queue_report_t *entries, size_t count, uint64_t now_us);

/* at_contention_expire_reports() drops reports older than max_age_us. */
void at_contention_expire_reports(
    at_contention_t *contention, uint64_t now_us, uint64_t max_age_us);

/*
 * at_contention_sum_reports() adds the reports of the instances for which
 * is_member() returns non-zero to entries, of which there are count and at most
 * max; it returns their new number.
 */
size_t at_contention_sum_reports(const at_contention_t *contention,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx,
    at_queue_report_t *entries, size_t count, size_t max);

/* at_contention_peer_queues() sums one kind over all other instances. */
at_queue_total_t at_contention_peer_queues(
    const at_contention_t *contention, const at_work_kind_t *kind);

/*
 * at_contention_may_dispatch() returns non-zero if a request may take a slot
 * now. Without contention it always may. A late request yields to on-time
 * requests of other instances.
 */
int at_contention_may_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *candidate, uint64_t now_us);

/*
 * at_contention_note_dispatch() records that the request was dispatched and
 * starts the interval until the next one.
 */
void at_contention_note_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *candidate, uint64_t now_us);

#endif
