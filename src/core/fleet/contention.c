/*
 * contention.c - many instances wait for the same room.
 *
 * Answers the load pattern of overload seen by many: an engine has room for
 * a few prompts, and all instances with a queue send one there within a few
 * milliseconds, before they can hear of each other.
 */
#include "almondthread/contention.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define NEWS_AGE_US 70000u    /* age of what is known of the others' sends */
#define PACE_KEPT_US 2000000u /* after its time an interval is forgotten */

typedef struct queue_report {
	at_tag_t instance;
	at_queue_report_t rows[AT_QUEUE_REPORTS_MAX];
	size_t count;
	uint64_t heard_us;
	UT_hash_handle hh;
} queue_report_t;

/* When the next request of a kind may go. */
typedef struct pace {
	at_work_kind_t kind;
	uint64_t next_us;
	UT_hash_handle hh;
} pace_t;

struct at_contention {
	queue_report_t *reports;
	pace_t *paces;
	uint64_t draws; /* state of the generator of draw() */
};

at_contention_t *
at_contention_new(uint64_t seed)
{
	at_contention_t *contention = calloc(1, sizeof(*contention));

	if (contention != NULL)
		contention->draws = seed;
	return contention;
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

void
at_contention_apply_report(at_contention_t *contention, at_tag_t instance,
    const at_queue_report_t *rows, size_t count, uint64_t now_us)
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
		memcpy(report->rows, rows, report->count * sizeof(*rows));
	report->heard_us = now_us;
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
		if (now_us - report->heard_us <= max_age_us &&
		    report->count > 0)
			continue;
		HASH_DEL(contention->reports, report);
		free(report);
	}
	HASH_ITER(hh, contention->paces, pace, next_pace)
	{
		if (pace->next_us + PACE_KEPT_US > now_us)
			continue;
		HASH_DEL(contention->paces, pace);
		free(pace);
	}
}

static int
same_kind(const at_work_kind_t *a, const at_work_kind_t *b)
{
	return a->service == b->service && a->model == b->model;
}

at_queue_total_t
at_contention_peer_queues(
    const at_contention_t *contention, const at_work_kind_t *kind)
{
	at_queue_total_t sum = {0};
	const queue_report_t *report;
	size_t i;

	for (report = contention->reports; report != NULL;
	     report = report->hh.next) {
		for (i = 0; i < report->count; i++) {
			if (!same_kind(&report->rows[i].kind, kind))
				continue;
			sum.instances++;
			sum.on_time_instances += report->rows[i].on_time > 0;
			sum.requests += report->rows[i].requests;
			sum.on_time += report->rows[i].on_time;
			sum.prompt_tokens += report->rows[i].prompt_tokens;
		}
	}
	return sum;
}

/* Returns a number from 0 to 1. */
static double
draw(at_contention_t *contention)
{
	contention->draws =
	    contention->draws * 6364136223846793005u + 1442695040888963407u;
	return (double)(contention->draws >> 33) / (double)(UINT64_MAX >> 33);
}

/* Room that is left for a request: what is pressing elsewhere goes before. */
static uint32_t
rooms_left(
    const at_dispatch_candidate_t *seeker, const at_queue_total_t *others)
{
	if (seeker->on_time)
		return seeker->free_slots;
	return seeker->free_slots > others->on_time
		   ? seeker->free_slots - others->on_time
		   : 0;
}

/* Between two requests of one instance, on average. */
static double
interval_us(
    const at_dispatch_candidate_t *seeker, const at_queue_total_t *others)
{
	uint32_t instances =
	    seeker->on_time ? others->on_time_instances : others->instances;
	uint32_t rooms = rooms_left(seeker, others);

	return (double)NEWS_AGE_US * (instances + 1u) /
	       (rooms == 0 ? 1u : rooms);
}

static pace_t *
pace_of(at_contention_t *contention, const at_work_kind_t *kind)
{
	pace_t *pace;

	HASH_FIND(hh, contention->paces, kind, sizeof(*kind), pace);
	return pace;
}

static void
set_pace(
    at_contention_t *contention, const at_work_kind_t *kind, uint64_t next_us)
{
	pace_t *pace = pace_of(contention, kind);

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
    const at_dispatch_candidate_t *seeker, uint64_t now_us)
{
	at_queue_total_t others =
	    at_contention_peer_queues(contention, &seeker->kind);
	const pace_t *pace;

	if (others.requests == 0 ||
	    others.requests + seeker->queued_here <= seeker->free_slots)
		return 1;
	if (rooms_left(seeker, &others) == 0)
		return 0;
	pace = pace_of(contention, &seeker->kind);
	if (pace != NULL)
		return now_us >= pace->next_us;
	set_pace(contention, &seeker->kind,
	    now_us +
		(uint64_t)(draw(contention) * interval_us(seeker, &others)));
	return 0;
}

void
at_contention_note_dispatch(at_contention_t *contention,
    const at_dispatch_candidate_t *seeker, uint64_t now_us)
{
	at_queue_total_t others =
	    at_contention_peer_queues(contention, &seeker->kind);

	if (others.requests == 0)
		return;
	/* From half to one and a half of it, so that no two keep in step. */
	set_pace(contention, &seeker->kind,
	    now_us + (uint64_t)((draw(contention) + 0.5) *
				interval_us(seeker, &others)));
}
