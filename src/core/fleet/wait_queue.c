/*
 * wait_queue.c - the queue before the backend servers.
 *
 * Answers the load pattern of bursts: for seconds more arrives than can be
 * read in time. Without an order, requests whose objective has passed take
 * the room of those that could still be on time, and all become late.
 */
#include "almondthread/wait_queue.h"

#include <stdlib.h>
#include <string.h>

#define TOKEN_US 45u  /* a prompt token; 29 are read in a ms, less a third */
#define STEP_US 7000u /* a token of every request of a batch */
#define PLAIN_FREE_US 12000u    /* the same at a plain service */
#define LOAD_US 1000000u        /* until a model that is asked for is there */
#define ADAPTER_US 60000u       /* the same for an adapter of a held model */
#define PRIORITY_US 1500000u    /* what a step of priority weighs */
#define WAIT_PERCENT 75u        /* of the time left that may be waited */
#define LEAVE_MARGIN_US 150000u /* a refusal is there by then */
#define RETRY_MIN_MS 50u        /* sooner is no use */
#define RETRY_MAX_MS 5000u      /* a caller that waits longer has gone */
#define FULL_KINDS_MAX 32u      /* kinds of work known to find no room */

const char *const at_admission_names[] = {"placed", "waits", "refused"};

struct at_wait_queue {
	at_fleet_t *fleet;
	at_contention_t *contention;
	at_waiter_t *head; /* by rank */
	at_waiter_t *tail;
	size_t count;
};

/* Kinds of work that found no room in one pass. */
typedef struct full_kinds {
	at_work_t const *works[FULL_KINDS_MAX];
	size_t count;
} full_kinds_t;

at_wait_queue_t *
at_wait_queue_new(at_fleet_t *fleet, at_contention_t *contention)
{
	at_wait_queue_t *waiting = calloc(1, sizeof(*waiting));

	if (waiting == NULL)
		return NULL;
	waiting->fleet = fleet;
	waiting->contention = contention;
	return waiting;
}

void
at_wait_queue_delete(at_wait_queue_t *waiting)
{
	free(waiting);
}

static uint64_t
rank(const at_waiter_t *waiter)
{
	return waiter->objective_us + (uint64_t)waiter->priority * PRIORITY_US;
}

static int
is_late(const at_waiter_t *waiter, uint64_t now_us)
{
	return waiter->objective_us <= now_us;
}

static int
same_kind(const at_work_t *a, const at_work_t *b)
{
	return a->service == b->service && a->model == b->model &&
	       a->adapter == b->adapter;
}

static at_work_kind_t
kind_of(const at_work_t *work)
{
	const at_work_kind_t kind = {work->service, work->model};

	return kind;
}

/* What waits here for the same; ahead: only what goes before this one. */
static at_queue_report_t
own_queue(const at_wait_queue_t *waiting, const at_waiter_t *waiter, int ahead)
{
	at_queue_report_t row = {.kind = kind_of(&waiter->work)};
	const at_waiter_t *other;

	for (other = waiting->head; other != NULL; other = other->next) {
		if (other == waiter ||
		    other->work.service != waiter->work.service ||
		    other->work.model != waiter->work.model ||
		    (ahead && rank(other) > rank(waiter)))
			continue;
		row.requests++;
		row.prompt_tokens += other->work.prompt_tokens;
	}
	return row;
}

/*
 * When so many requests have begun at the engines: they wait for prompts to
 * be read and for places in the batches, whichever takes longer.
 */
static uint64_t
begun_us(const at_waiter_t *like, const at_choice_t *choice, uint64_t requests,
    uint64_t prompt_tokens)
{
	/* An adapter comes to any engine that has its model. */
	uint32_t engines =
	    choice->model_servers == 0 ? 1u : choice->model_servers;
	uint32_t places = choice->batch_slots == 0 ? 1u : choice->batch_slots;
	uint64_t read_us = prompt_tokens * TOKEN_US / engines;
	uint64_t place_us =
	    requests * like->work.output_tokens * STEP_US / places;

	if (like->work.model == 0)
		return requests * PLAIN_FREE_US / engines;
	return read_us > place_us ? read_us : place_us;
}

/*
 * Until this one begins, in microseconds. Of the requests at other instances
 * as large a part goes before it as of those here.
 */
static uint64_t
wait_before(const at_wait_queue_t *waiting, const at_waiter_t *waiter,
    const at_choice_t *choice)
{
	at_queue_report_t all = own_queue(waiting, waiter, 0);
	at_queue_report_t ahead = own_queue(waiting, waiter, 1);
	at_queue_total_t others =
	    at_contention_peer_queues(waiting->contention, &all.kind);
	uint64_t part = ahead.requests + 1u;
	uint64_t of = all.requests + 2u;

	return begun_us(waiter, choice,
	    ahead.requests + 1u + others.requests * part / of,
	    ahead.prompt_tokens + others.prompt_tokens * part / of);
}

static uint32_t
retry_after_ms(const at_waiter_t *waiter, uint64_t wait_us)
{
	/* Those refused one after the other come back one after the other. */
	uint64_t spread = (waiter->arrived_us / 1000u) % 97u;
	uint64_t ms = wait_us / 1000u + spread;

	if (ms < RETRY_MIN_MS)
		ms = RETRY_MIN_MS;
	return ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)ms;
}

/* How long it may wait here, so that an answer still finds its caller. */
static uint64_t
may_wait_us(const at_waiter_t *waiter, uint64_t now_us)
{
	uint64_t own_us = (uint64_t)waiter->work.prompt_tokens * TOKEN_US;
	uint64_t left_us =
	    waiter->deadline_us > now_us ? waiter->deadline_us - now_us : 0;
	uint64_t may_us = left_us * WAIT_PERCENT / 100u;
	uint64_t margin_us = own_us;

	if (waiter->first_event_limit_us != 0 &&
	    waiter->first_event_limit_us < waiter->deadline_us) {
		left_us = waiter->first_event_limit_us > now_us
			      ? waiter->first_event_limit_us - now_us
			      : 0;
		margin_us += LEAVE_MARGIN_US;
	}
	if (left_us <= margin_us)
		return 0;
	return may_us < left_us - margin_us ? may_us : left_us - margin_us;
}

static at_dispatch_candidate_t
seeker_of(const at_wait_queue_t *waiting, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	const at_dispatch_candidate_t seeker = {.kind = kind_of(&waiter->work),
	    .on_time = !is_late(waiter, now_us),
	    .free_slots = choice->free_slots,
	    .queued_here = own_queue(waiting, waiter, 0).requests + 1u};

	return seeker;
}

/* Room that others wait for, too, is taken in turns. */
static int
may_go(at_wait_queue_t *waiting, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_dispatch_candidate_t seeker =
	    seeker_of(waiting, waiter, choice, now_us);

	/* A plain service's request is over before its load is told. */
	return waiter->work.model == 0 ||
	       at_contention_may_dispatch(waiting->contention, &seeker, now_us);
}

static void
went(at_wait_queue_t *waiting, const at_waiter_t *waiter,
    const at_choice_t *choice, uint64_t now_us)
{
	at_dispatch_candidate_t seeker =
	    seeker_of(waiting, waiter, choice, now_us);

	if (waiter->work.model != 0)
		at_contention_note_dispatch(
		    waiting->contention, &seeker, now_us);
}

void
at_wait_queue_decide(at_wait_queue_t *waiting, at_waiter_t *waiter,
    uint64_t now_us, at_admission_decision_t *j)
{
	uint64_t may_us = may_wait_us(waiter, now_us);

	memset(j, 0, sizeof(*j));
	waiter->expires_us = now_us + may_us;
	j->choice_result =
	    at_fleet_choose(waiting->fleet, &waiter->work, now_us, &j->choice);
	if (j->choice_result == AT_CHOICE_SERVER &&
	    may_go(waiting, waiter, &j->choice, now_us)) {
		went(waiting, waiter, &j->choice, now_us);
		j->admission = AT_ADMISSION_PLACED;
		return;
	}
	j->wait_us = wait_before(waiting, waiter, &j->choice);
	if (j->choice_result == AT_CHOICE_NOT_RESIDENT)
		j->wait_us +=
		    j->choice.model_servers > 0 ? ADAPTER_US : LOAD_US;
	j->retry_after_ms = retry_after_ms(waiter, j->wait_us);
	j->admission =
	    j->choice_result != AT_CHOICE_NO_SERVER && j->wait_us <= may_us
		? AT_ADMISSION_QUEUED
		: AT_ADMISSION_REFUSED;
}

void
at_wait_queue_add(at_wait_queue_t *waiting, at_waiter_t *waiter)
{
	at_waiter_t *before = waiting->tail;

	while (before != NULL && rank(before) > rank(waiter))
		before = before->prev;
	waiter->prev = before;
	waiter->next = before == NULL ? waiting->head : before->next;
	if (waiter->next != NULL)
		waiter->next->prev = waiter;
	else
		waiting->tail = waiter;
	if (before != NULL)
		before->next = waiter;
	else
		waiting->head = waiter;
	waiter->is_queued = 1;
	waiting->count++;
}

void
at_wait_queue_remove(at_wait_queue_t *waiting, at_waiter_t *waiter)
{
	if (!waiter->is_queued)
		return;
	if (waiter->prev != NULL)
		waiter->prev->next = waiter->next;
	else
		waiting->head = waiter->next;
	if (waiter->next != NULL)
		waiter->next->prev = waiter->prev;
	else
		waiting->tail = waiter->prev;
	waiter->is_queued = 0;
	waiting->count--;
}

static int
is_full(const full_kinds_t *full, const at_work_t *work)
{
	size_t i;

	for (i = 0; i < full->count; i++) {
		if (same_kind(full->works[i], work) &&
		    full->works[i]->has_slack <= work->has_slack)
			return 1;
	}
	return 0;
}

static at_waiter_t *
first_that_fits(at_wait_queue_t *waiting, int late, full_kinds_t *full,
    uint64_t now_us, at_choice_t *choice)
{
	at_waiter_t *waiter;

	for (waiter = waiting->head; waiter != NULL; waiter = waiter->next) {
		if (is_late(waiter, now_us) != late ||
		    is_full(full, &waiter->work))
			continue;
		if (at_fleet_choose(waiting->fleet, &waiter->work, now_us,
			choice) == AT_CHOICE_SERVER &&
		    may_go(waiting, waiter, choice, now_us))
			return waiter;
		if (full->count < FULL_KINDS_MAX)
			full->works[full->count++] = &waiter->work;
	}
	return NULL;
}

at_waiter_t *
at_wait_queue_take_placeable(
    at_wait_queue_t *waiting, uint64_t now_us, at_choice_t *choice)
{
	full_kinds_t full = {.count = 0};
	at_waiter_t *waiter;

	if (waiting->head == NULL)
		return NULL;
	waiter = first_that_fits(waiting, 0, &full, now_us, choice);
	if (waiter == NULL)
		waiter = first_that_fits(waiting, 1, &full, now_us, choice);
	if (waiter == NULL)
		return NULL;
	went(waiting, waiter, choice, now_us);
	at_wait_queue_remove(waiting, waiter);
	return waiter;
}

at_waiter_t *
at_wait_queue_peek(const at_wait_queue_t *waiting)
{
	return waiting->head;
}

at_waiter_t *
at_wait_queue_take_expired(at_wait_queue_t *waiting, uint64_t now_us)
{
	at_waiter_t *waiter;

	for (waiter = waiting->head; waiter != NULL; waiter = waiter->next) {
		if (waiter->expires_us > now_us)
			continue;
		at_wait_queue_remove(waiting, waiter);
		return waiter;
	}
	return NULL;
}

uint64_t
at_wait_queue_due_us(const at_wait_queue_t *waiting)
{
	const at_waiter_t *waiter;
	uint64_t due_us = AT_WAIT_QUEUE_NOT_DUE;

	for (waiter = waiting->head; waiter != NULL; waiter = waiter->next) {
		if (waiter->expires_us < due_us)
			due_us = waiter->expires_us;
	}
	return due_us;
}

static at_queue_report_t *
row_of(
    at_queue_report_t *rows, size_t *count, size_t max, const at_work_t *work)
{
	size_t i;

	for (i = 0; i < *count; i++) {
		if (rows[i].kind.service == work->service &&
		    rows[i].kind.model == work->model)
			return &rows[i];
	}
	if (*count == max)
		return NULL;
	memset(&rows[i], 0, sizeof(rows[i]));
	rows[i].kind = kind_of(work);
	(*count)++;
	return &rows[i];
}

size_t
at_wait_queue_fill_report(const at_wait_queue_t *waiting,
    at_queue_report_t *rows, size_t max, uint64_t now_us)
{
	const at_waiter_t *waiter;
	size_t count = 0;

	for (waiter = waiting->head; waiter != NULL; waiter = waiter->next) {
		at_queue_report_t *row =
		    row_of(rows, &count, max, &waiter->work);

		if (row == NULL)
			continue;
		row->requests++;
		row->on_time += (uint32_t)!is_late(waiter, now_us);
		row->prompt_tokens += waiter->work.prompt_tokens;
	}
	return count;
}

size_t
at_wait_queue_count(const at_wait_queue_t *waiting)
{
	return waiting->count;
}

void
at_wait_queue_each(const at_wait_queue_t *waiting,
    void (*visit)(void *ctx, const at_waiter_t *waiter), void *ctx)
{
	const at_waiter_t *waiter;

	for (waiter = waiting->head; waiter != NULL; waiter = waiter->next)
		visit(ctx, waiter);
}
