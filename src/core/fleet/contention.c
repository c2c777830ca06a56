/*
 * contention.c - paces the dispatch of requests when several instances have
 * queues for the same engines.
 *
 * Under overload an engine has free slots for a few prompts only. Without
 * pacing, all instances with a queue would send one there within a few
 * milliseconds, before the reports of the others reach them.
 */
#include "almondthread/contention.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

/* Age of reports, beside half of their interval. */
#define REPORT_DELAY_US 20000u
/* Interval of the reports, until it is set. */
#define REPORT_INTERVAL_US 100000u
/* The pace of a kind is removed this time after its interval has ended. */
#define PACE_RETENTION_US 2000000u

typedef struct queue_report {
	at_tag_t instance;
	at_queue_report_t entries[AT_QUEUE_REPORTS_MAX];
	size_t count;
	uint64_t received_us;
	UT_hash_handle hh;
} queue_report_t;

/* When the next request of a kind may be dispatched. */
typedef struct pace {
	at_work_kind_t kind;
	uint64_t next_us;
	UT_hash_handle hh;
} pace_t;

struct at_contention {
	uint32_t report_age_us;
	queue_report_t *reports;
	pace_t *paces;
	uint64_t random_state; /* state of the random numbers */
};

at_contention_t *
at_contention_new(uint64_t seed)
{
	at_contention_t *contention = calloc(1, sizeof(*contention));

	if (contention == NULL)
		return NULL;
	contention->random_state = seed;
	at_contention_set_report_interval(contention, REPORT_INTERVAL_US);
	return contention;
}

void
at_contention_set_report_interval(
    at_contention_t *contention, uint32_t interval_us)
{
	contention->report_age_us = interval_us / 2u + REPORT_DELAY_US;
}

void
at_contention_delete(at_contention_t *contention)
{
	queue_report_t *report;
	queue_report_t *next_report;
	pace_t *pace;
	pace_t *next_pace;

	if (contention == NULL)
		return;
	HASH_ITER(hh, contention->reports, report, next_report)
	{
		HASH_DEL(contention->reports, report);
		free(report);
	}
	HASH_ITER(hh, contention->paces, pace, next_pace)
	{
		HASH_DEL(contention->paces, pace);
		free(pace);
	}
	free(contention);
}

uint64_t
at_contention_seed(const at_contention_t *contention)
{
	return (contention->random_state ^ 0x9e3779b97f4a7c15u) *
	       6364136223846793005u;
}

void
at_contention_apply_report(at_contention_t *contention, at_tag_t instance,
    const at_queue_report_t *entries, size_t count, uint64_t now_us)
{
	queue_report_t *report;

	HASH_FIND(hh, contention->reports, &instance, sizeof(instance), report);
	if (report == NULL && count == 0)
		return;
	if (report == NULL) {
		report = calloc(1, sizeof(*report));
		if (report == NULL)
			return;
		report->instance = instance;
		HASH_ADD(hh, contention->reports, instance, sizeof(instance),
		    report);
	}
	report->count =
	    count < AT_QUEUE_REPORTS_MAX ? count : AT_QUEUE_REPORTS_MAX;
	if (report->count > 0)
		memcpy(
		    report->entries, entries, report->count * sizeof(*entries));
	report->received_us = now_us;
}

void
at_contention_expire_reports(
    at_contention_t *contention, uint64_t now_us, uint64_t max_age_us)
{
	queue_report_t *report;
	queue_report_t *next_report;
	pace_t *pace;
	pace_t *next_pace;

	HASH_ITER(hh, contention->reports, report, next_report)
	{
		if (now_us - report->received_us <= max_age_us &&
		    report->count > 0)
			continue;
		HASH_DEL(contention->reports, report);
		free(report);
	}
	HASH_ITER(hh, contention->paces, pace, next_pace)
	{
		if (pace->next_us + PACE_RETENTION_US > now_us)
			continue;
		HASH_DEL(contention->paces, pace);
		free(pace);
	}
}

static int
is_same_kind(const at_work_kind_t *a, const at_work_kind_t *b)
{
	return a->service == b->service && a->model == b->model &&
	       a->software == b->software;
}

static uint32_t
instances_of(const at_queue_report_t *entry)
{
	return entry->instances == 0 ? 1u : entry->instances;
}

static uint32_t
on_time_instances_of(const at_queue_report_t *entry)
{
	return entry->instances == 0 ? entry->on_time > 0
				     : entry->on_time_instances;
}

static void
add_to_sum(at_queue_report_t *sum, const at_queue_report_t *entry)
{
	uint32_t instances = instances_of(sum) + instances_of(entry);

	sum->on_time_instances =
	    on_time_instances_of(sum) + on_time_instances_of(entry);
	sum->instances = instances;
	sum->requests += entry->requests;
	sum->on_time += entry->on_time;
	sum->prompt_tokens += entry->prompt_tokens;
	sum->flow.arrivals_milli += entry->flow.arrivals_milli;
	sum->flow.served_milli += entry->flow.served_milli;
}

size_t
at_contention_sum_reports(const at_contention_t *contention,
    int (*is_member)(void *ctx, at_tag_t instance), void *ctx,
    at_queue_report_t *entries, size_t count, size_t max)
{
	const queue_report_t *report;
	size_t i;
	size_t k;

	for (report = contention->reports; report != NULL;
	     report = report->hh.next) {
		if (!is_member(ctx, report->instance))
			continue;
		for (i = 0; i < report->count; i++) {
			const at_queue_report_t *entry = &report->entries[i];

			for (k = 0; k < count; k++) {
				if (is_same_kind(
					&entries[k].kind, &entry->kind))
					break;
			}
			if (k < count)
				add_to_sum(&entries[k], entry);
			else if (count < max)
				entries[count++] = *entry;
		}
	}
	return count;
}

at_queue_total_t
at_contention_peer_queues(
    const at_contention_t *contention, const at_work_kind_t *kind)
{
	at_queue_total_t total = {0};
	const queue_report_t *report;
	size_t i;

	for (report = contention->reports; report != NULL;
	     report = report->hh.next) {
		for (i = 0; i < report->count; i++) {
			if (!is_same_kind(&report->entries[i].kind, kind))
				continue;
			total.instances += instances_of(&report->entries[i]);
			total.on_time_instances +=
			    on_time_instances_of(&report->entries[i]);
			total.requests += report->entries[i].requests;
			total.on_time += report->entries[i].on_time;
			total.prompt_tokens += report->entries[i].prompt_tokens;
			total.flow.arrivals_milli +=
			    report->entries[i].flow.arrivals_milli;
			total.flow.served_milli +=
			    report->entries[i].flow.served_milli;
		}
	}
	return total;
}

/* Returns a random number from 0 to 1. */
static double
next_random(at_contention_t *contention)
{
	contention->random_state =
	    contention->random_state * 6364136223846793005u +
	    1442695040888963407u;
	return (double)(contention->random_state >> 33) /
	       (double)(UINT64_MAX >> 33);
}

/*
 * Returns the free slots left for a request: on-time requests of peers are
 * dispatched before a late one.
 */
static uint32_t
free_slots_left(
    const at_dispatch_candidate_t *candidate, const at_queue_total_t *peers)
{
	if (candidate->on_time)
		return candidate->free_slots;
	return candidate->free_slots > peers->on_time
		   ? candidate->free_slots - peers->on_time
		   : 0;
}

/* Returns the mean interval between two requests of one instance. */
static double
interval_us(const at_dispatch_candidate_t *candidate,
    const at_queue_total_t *peers, uint32_t report_age_us)
{
	uint32_t instances =
	    candidate->on_time ? peers->on_time_instances : peers->instances;
	uint32_t free_slots = free_slots_left(candidate, peers);

	return (double)report_age_us * (instances + 1u) /
	       (free_slots == 0 ? 1u : free_slots);
}

static pace_t *
find_pace(at_contention_t *contention, const at_work_kind_t *kind)
{
	pace_t *pace;

	HASH_FIND(hh, contention->paces, kind, sizeof(*kind), pace);
	return pace;
}

static void
set_pace(
    at_contention_t *contention, const at_work_kind_t *kind, uint64_t next_us)
{
	pace_t *pace = find_pace(contention, kind);

	if (pace == NULL) {
		pace = calloc(1, sizeof(*pace));
		if (pace == NULL)
			return;
		pace->kind = *kind;
		HASH_ADD(hh, contention->paces, kind, sizeof(*kind), pace);
	}
	pace->next_us = next_us;
}

int
at_contention_may_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *candidate, uint64_t now_us)
{
	at_queue_total_t peers =
	    at_contention_peer_queues(contention, &candidate->kind);
	const pace_t *pace;

	if (peers.requests == 0 ||
	    peers.requests + candidate->queued_here <= candidate->free_slots)
		return 1;
	if (free_slots_left(candidate, &peers) == 0)
		return 0;
	pace = find_pace(contention, &candidate->kind);
	if (pace != NULL)
		return now_us >= pace->next_us;
	set_pace(contention, &candidate->kind,
	    now_us + (uint64_t)(next_random(contention) *
				interval_us(candidate, &peers,
				    contention->report_age_us)));
	return 0;
}

void
at_contention_note_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *candidate, uint64_t now_us)
{
	at_queue_total_t peers =
	    at_contention_peer_queues(contention, &candidate->kind);

	if (peers.requests == 0)
		return;
	/* A factor from 0.5 to 1.5 keeps instances from dispatching in step. */
	set_pace(contention, &candidate->kind,
	    now_us + (uint64_t)((next_random(contention) + 0.5) *
				interval_us(candidate, &peers,
				    contention->report_age_us)));
}
