#include "core/jobs/jobs_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The first reads of a new candidate's shards are spread over this time. */
#define FIRST_READS_SPREAD_MS 30000u
#define RUNS_MAX 16u         /* jobs in progress in one process */
#define BACKOFF_MS 1000u     /* delay before the second run */
#define BACKOFF_DOUBLINGS 6u /* most doublings of the delay */

at_jobs_t *
at_jobs_new(void)
{
	at_jobs_t *jobs = calloc(1, sizeof(*jobs));
	uint32_t i;

	if (jobs == NULL)
		return NULL;
	for (i = 0; i < AT_JOB_SHARDS; i++) {
		job_shard_t *shard = &jobs->shards[i];

		shard->jobs = jobs;
		(void)snprintf(
		    shard->object, sizeof(shard->object), "jobs/%02u", i);
	}
	return jobs;
}

void
at_jobs_set_store(at_jobs_t *jobs, const at_store_t *store)
{
	jobs->store = *store;
}

void
at_jobs_set_clocks(
    at_jobs_t *jobs, const at_clock_t *clock, const at_clock_t *wall)
{
	jobs->clock = *clock;
	jobs->wall = *wall;
}

void
at_jobs_set_self(at_jobs_t *jobs, const at_incarnation_t *self)
{
	jobs->self = self->number;
}

void
at_jobs_set_run(at_jobs_t *jobs, at_job_run_t run, void *ctx)
{
	jobs->run = run;
	jobs->run_ctx = ctx;
}

void
at_jobs_set_retention(at_jobs_t *jobs, uint32_t retention_s)
{
	jobs->retention_ms = (uint64_t)retention_s * AT_MS_PER_S;
}

void
at_jobs_set_candidate(at_jobs_t *jobs, uint32_t shard, int candidate)
{
	job_shard_t *s = &jobs->shards[shard];

	/* A new candidate does not read all shards at the same time. */
	if (candidate && !s->is_candidate)
		s->first_read_ms =
		    jobs_now(jobs) + (uint64_t)FIRST_READS_SPREAD_MS *
					 (shard + 1) / (AT_JOB_SHARDS + 1);
	s->is_candidate = candidate;
}

void
at_jobs_stop(at_jobs_t *jobs)
{
	jobs->is_stopping = 1;
}

uint64_t
jobs_now(const at_jobs_t *jobs)
{
	return jobs->clock.now_ms(jobs->clock.impl);
}

uint64_t
jobs_wall_now(const at_jobs_t *jobs)
{
	return jobs->wall.now_ms(jobs->wall.impl);
}

static void
run_free(job_run_t *run)
{
	free(run->value);
	free(run);
}

void
at_jobs_delete(at_jobs_t *jobs)
{
	uint32_t i;

	if (jobs == NULL)
		return;
	jobs_submits_free(jobs);
	while (jobs->runs != NULL) {
		job_run_t *run = jobs->runs;

		jobs->runs = run->next;
		run_free(run);
	}
	for (i = 0; i < AT_JOB_SHARDS; i++) {
		job_index_free(&jobs->shards[i].index);
		job_index_free(&jobs->shards[i].next);
	}
	free(jobs);
}

static job_run_t *
find_run(const at_jobs_t *jobs, const at_claim_hash_t *id)
{
	job_run_t *run;

	for (run = jobs->runs; run != NULL; run = run->next) {
		if (memcmp(&run->entry.id, id, sizeof(*id)) == 0)
			return run;
	}
	return NULL;
}

void
at_jobs_finish(at_jobs_t *jobs, const at_claim_hash_t *id, at_job_state_t state,
    const void *data, size_t len)
{
	job_run_t *run = find_run(jobs, id);
	at_job_record_t record = {.state = state, .data = data, .len = len};

	if (run == NULL || run->state != RUN_RUNNING)
		return;
	record.digest = run->digest;
	run->value = at_job_pack(&record, &run->len);
	if (run->value == NULL) {
		at_jobs_retry(jobs, id);
		return;
	}
	run->end_state = state;
	run->state = RUN_STORING;
}

void
at_jobs_retry(at_jobs_t *jobs, const at_claim_hash_t *id)
{
	job_run_t *run = find_run(jobs, id);
	uint32_t doublings;

	if (run == NULL || run->state != RUN_RUNNING)
		return;
	doublings = run->attempts < BACKOFF_DOUBLINGS ? run->attempts
						      : BACKOFF_DOUBLINGS;
	jobs->stats.retried++;
	run->attempts++;
	run->state = RUN_WAITING;
	run->retry_at_ms = jobs_now(jobs) + ((uint64_t)BACKOFF_MS << doublings);
}

static void
run_set_delayed(job_run_t *run, run_state_t state)
{
	run->state = state;
	run->retry_at_ms = jobs_now(run->jobs) + JOBS_RETRY_MS;
}

static void
on_record_read(void *ctx, const at_store_result_t *result)
{
	job_run_t *run = ctx;
	at_jobs_t *jobs = run->jobs;
	at_job_record_t record;

	run->call_in_flight = 0;
	if (run->is_expired && result->code == AT_STORE_NOT_FOUND) {
		run->state = RUN_MARKING;
		return;
	}
	if (result->code != AT_STORE_OK ||
	    at_job_unpack(&record, result->value, result->value_len) != 0) {
		jobs->stats.malformed += result->code == AT_STORE_OK;
		run_set_delayed(run, run->state);
		return;
	}
	run->version = result->version;
	run->digest = record.digest;
	if (run->is_expired) {
		run->state = RUN_DELETING;
	} else if (record.state != AT_JOB_QUEUED) {
		run->state = RUN_MARKING;
	} else if (run->state == RUN_CHECKING) {
		run->state = RUN_STORING;
	} else if (!job_shard_has_lease(run->shard)) {
		run->is_obsolete = 1;
	} else {
		run->state = RUN_RUNNING;
		jobs->stats.started++;
		jobs->run(jobs->run_ctx, &run->entry.id, &record);
	}
}

static void
on_end_stored(void *ctx, const at_store_result_t *result)
{
	job_run_t *run = ctx;
	at_jobs_t *jobs = run->jobs;

	run->call_in_flight = 0;
	if (result->code == AT_STORE_OK) {
		jobs->stats.finished[run->end_state]++;
		jobs->stats.past_due += jobs_wall_now(jobs) > run->entry.due_ms;
		run->state = RUN_MARKING;
	} else if (result->code == AT_STORE_NOT_SENT) {
		run_set_delayed(run, RUN_STORING);
	} else {
		run_set_delayed(run, RUN_CHECKING);
	}
}

static void
on_record_deleted(void *ctx, const at_store_result_t *result)
{
	job_run_t *run = ctx;

	run->call_in_flight = 0;
	run->jobs->stats.deleted += result->code == AT_STORE_OK;
	if (result->code == AT_STORE_OK || result->code == AT_STORE_NOT_FOUND)
		run->state = RUN_MARKING;
	else
		run_set_delayed(run, RUN_READING);
}

static void
run_tick(job_run_t *run, uint64_t now_ms)
{
	at_jobs_t *jobs = run->jobs;
	char name[AT_JOB_OBJECT_SIZE];

	if (run->call_in_flight || run->is_obsolete ||
	    now_ms < run->retry_at_ms)
		return;
	at_job_object_name(&run->entry.id, name);
	switch (run->state) {
	case RUN_WAITING:
	case RUN_READING:
		run->state = RUN_READING;
		/* FALLTHROUGH */
	case RUN_CHECKING:
		run->call_in_flight = 1;
		jobs->store.get(jobs->store.impl, name, on_record_read, run);
		return;
	case RUN_STORING:
		run->call_in_flight = 1;
		jobs->store.put(jobs->store.impl, name, run->version,
		    run->value, run->len, on_end_stored, run);
		return;
	case RUN_DELETING:
		run->call_in_flight = 1;
		jobs->store.del(jobs->store.impl, name, run->version,
		    on_record_deleted, run);
		return;
	default:
		return;
	}
}

void
jobs_index_changed(job_shard_t *shard, int is_newer)
{
	at_jobs_t *jobs = shard->jobs;
	at_job_submit_t *submit;
	job_run_t *run;

	for (submit = jobs->submits; submit != NULL; submit = submit->next) {
		if (submit->shard != shard || submit->state == SUBMIT_ENDED)
			continue;
		submit->may_be_indexed &= !is_newer;
		if (submit->state == SUBMIT_INDEXING &&
		    job_index_find(&shard->index, &submit->id) != NULL) {
			jobs_submit_end(submit, AT_JOB_ACCEPTED);
			shard->accepted_here = 1;
		}
	}
	for (run = jobs->runs; run != NULL; run = run->next) {
		const job_entry_t *entry;

		if (run->shard != shard || run->state != RUN_MARKING)
			continue;
		entry = job_index_find(&shard->index, &run->entry.id);
		if (entry == NULL || (!run->is_expired && entry->done_ms != 0))
			run->is_obsolete = 1;
	}
}

static void
start_run(job_shard_t *shard, const job_entry_t *entry, int is_expired)
{
	job_run_t *run = calloc(1, sizeof(*run));

	if (run == NULL)
		return;
	run->jobs = shard->jobs;
	run->shard = shard;
	run->entry = *entry;
	run->is_expired = is_expired;
	run->next = shard->jobs->runs;
	shard->jobs->runs = run;
}

static size_t
count_active_runs(const at_jobs_t *jobs)
{
	const job_run_t *run;
	size_t count = 0;

	for (run = jobs->runs; run != NULL; run = run->next)
		count += run->state != RUN_WAITING;
	return count;
}

/* Returns the queued job due first that has no run here, or NULL. */
static const job_entry_t *
find_next_queued(const job_shard_t *shard)
{
	const job_entry_t *first = NULL;
	size_t i;

	for (i = 0; i < shard->index.count; i++) {
		const job_entry_t *entry = &shard->index.entries[i];

		if (entry->done_ms != 0 ||
		    (first != NULL && entry->due_ms >= first->due_ms) ||
		    find_run(shard->jobs, &entry->id) != NULL)
			continue;
		first = entry;
	}
	return first;
}

/* Returns an ended job that is past its retention, or NULL. */
static const job_entry_t *
find_expired(const job_shard_t *shard)
{
	uint64_t wall_ms = jobs_wall_now(shard->jobs);
	size_t i;

	for (i = 0; i < shard->index.count; i++) {
		const job_entry_t *entry = &shard->index.entries[i];

		if (entry->done_ms != 0 &&
		    wall_ms >= entry->done_ms + shard->jobs->retention_ms &&
		    find_run(shard->jobs, &entry->id) == NULL)
			return entry;
	}
	return NULL;
}

static void
start_runs(job_shard_t *shard)
{
	const job_entry_t *entry;

	if (!job_shard_is_candidate(shard) || !shard->is_loaded)
		return;
	while (job_shard_has_lease(shard) &&
	       count_active_runs(shard->jobs) < RUNS_MAX &&
	       (entry = find_next_queued(shard)) != NULL)
		start_run(shard, entry, 0);
	entry = find_expired(shard);
	if (entry != NULL && count_active_runs(shard->jobs) < RUNS_MAX)
		start_run(shard, entry, 1);
}

static void
remove_obsolete(at_jobs_t *jobs)
{
	job_run_t **link = &jobs->runs;
	job_run_t *run;

	while ((run = *link) != NULL) {
		/* The next holder of the lease runs a waiting job. */
		if (run->state == RUN_WAITING &&
		    !job_shard_has_lease(run->shard))
			run->is_obsolete = 1;
		if (!run->is_obsolete || run->call_in_flight) {
			link = &run->next;
			continue;
		}
		*link = run->next;
		run_free(run);
	}
}

void
at_jobs_tick(at_jobs_t *jobs)
{
	uint64_t now_ms = jobs_now(jobs);
	job_run_t *run;
	uint32_t i;

	jobs_submits_tick(jobs, now_ms);
	for (i = 0; i < AT_JOB_SHARDS; i++)
		start_runs(&jobs->shards[i]);
	for (run = jobs->runs; run != NULL; run = run->next)
		run_tick(run, now_ms);
	for (i = 0; i < AT_JOB_SHARDS; i++)
		job_shard_tick(&jobs->shards[i]);
	remove_obsolete(jobs);
	jobs_submits_deliver(jobs);
}

size_t
at_jobs_active_count(const at_jobs_t *jobs)
{
	const at_job_submit_t *submit;
	size_t count = count_active_runs(jobs);

	for (submit = jobs->submits; submit != NULL; submit = submit->next)
		count++;
	return count;
}

const at_jobs_stats_t *
at_jobs_stats(const at_jobs_t *jobs)
{
	return &jobs->stats;
}
