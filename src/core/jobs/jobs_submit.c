/*
 * jobs_submit.c - submissions: writes the record, adds it to its index shard
 * and delivers the outcome. The job is run from the index (jobs.c).
 */
#include "core/jobs/jobs_internal.h"

#include <stdlib.h>
#include <string.h>

static void
submit_free(at_job_submit_t *submit)
{
	free(submit->value);
	free(submit);
}

static job_shard_t *
find_shard(at_jobs_t *jobs, const at_claim_hash_t *id)
{
	return &jobs->shards[id->bytes[0] % AT_JOB_SHARDS];
}

void
jobs_submit_end(at_job_submit_t *submit, at_job_outcome_t outcome)
{
	submit->state = SUBMIT_ENDED;
	submit->outcome = outcome;
}

static void
submit_set_delayed(at_job_submit_t *submit, submit_state_t state)
{
	submit->state = state;
	submit->retry_at_ms = jobs_now(submit->jobs) + JOBS_RETRY_MS;
}

static void
on_created(void *ctx, const at_store_result_t *result)
{
	at_job_submit_t *submit = ctx;

	submit->call_in_flight = 0;
	if (submit->state == SUBMIT_ENDED)
		return;
	if (result->code == AT_STORE_OK)
		submit->state = SUBMIT_INDEXING;
	else if (result->code == AT_STORE_NOT_SENT)
		submit_set_delayed(submit, SUBMIT_CREATING);
	else
		submit->state = SUBMIT_COMPARING;
}

/* A record with the same digest is this job, no matter which call wrote it. */
static void
on_record_read(void *ctx, const at_store_result_t *result)
{
	at_job_submit_t *submit = ctx;
	at_job_record_t record;

	submit->call_in_flight = 0;
	if (submit->state == SUBMIT_ENDED)
		return;
	if (result->code == AT_STORE_NOT_FOUND) {
		submit_set_delayed(submit, SUBMIT_CREATING);
		return;
	}
	if (result->code != AT_STORE_OK) {
		submit_set_delayed(submit, SUBMIT_COMPARING);
		return;
	}
	if (at_job_unpack(&record, result->value, result->value_len) != 0 ||
	    memcmp(&record.digest, &submit->digest, sizeof(record.digest)) != 0)
		jobs_submit_end(submit, AT_JOB_MISMATCH);
	else if (record.state != AT_JOB_QUEUED)
		jobs_submit_end(submit, AT_JOB_ACCEPTED);
	else
		submit->state = SUBMIT_INDEXING;
}

static void
submit_tick(at_job_submit_t *submit, uint64_t now_ms)
{
	at_jobs_t *jobs = submit->jobs;
	char name[AT_JOB_OBJECT_SIZE];

	if (submit->state == SUBMIT_ENDED)
		return;
	if (now_ms >= submit->deadline_ms) {
		jobs_submit_end(submit,
		    submit->may_be_indexed ? AT_JOB_UNKNOWN : AT_JOB_REFUSED);
		return;
	}
	if (submit->call_in_flight || now_ms < submit->retry_at_ms ||
	    submit->state == SUBMIT_INDEXING)
		return;
	at_job_object_name(&submit->id, name);
	submit->call_in_flight = 1;
	if (submit->state == SUBMIT_CREATING)
		jobs->store.put(jobs->store.impl, name, 0, submit->value,
		    submit->len, on_created, submit);
	else
		jobs->store.get(jobs->store.impl, name, on_record_read, submit);
}

at_job_submit_t *
at_jobs_submit(at_jobs_t *jobs, const at_claim_hash_t *id,
    const at_claim_hash_t *digest, const void *data, size_t len,
    uint64_t due_wall_ms, uint32_t wait_ms, at_job_submitted_t done, void *ctx)
{
	const at_job_record_t record = {.state = AT_JOB_QUEUED,
	    .digest = *digest,
	    .data = data,
	    .len = len};
	at_job_submit_t *submit = calloc(1, sizeof(*submit));

	if (submit == NULL)
		return NULL;
	submit->value = at_job_pack(&record, &submit->len);
	if (submit->value == NULL) {
		free(submit);
		return NULL;
	}
	submit->jobs = jobs;
	submit->shard = find_shard(jobs, id);
	submit->id = *id;
	submit->digest = *digest;
	submit->due_ms = due_wall_ms;
	submit->deadline_ms = jobs_now(jobs) + wait_ms;
	submit->done = done;
	submit->ctx = ctx;
	submit->next = jobs->submits;
	jobs->submits = submit;
	return submit;
}

void
at_jobs_detach(at_job_submit_t *submit)
{
	submit->done = NULL;
}

static void
deliver(at_job_submit_t *submit)
{
	at_job_submitted_t done = submit->done;

	submit->done = NULL;
	submit->is_delivered = 1;
	submit->jobs->stats.outcomes[submit->outcome]++;
	if (done != NULL)
		done(submit->ctx, submit->outcome);
}

/* An outcome is delivered at once, even while a call is in flight. */
void
jobs_submits_deliver(at_jobs_t *jobs)
{
	at_job_submit_t **link = &jobs->submits;
	at_job_submit_t *submit;

	for (submit = jobs->submits; submit != NULL; submit = submit->next) {
		if (submit->state == SUBMIT_ENDED && !submit->is_delivered)
			deliver(submit);
	}
	while ((submit = *link) != NULL) {
		if (!submit->is_delivered || submit->call_in_flight) {
			link = &submit->next;
			continue;
		}
		*link = submit->next;
		submit_free(submit);
	}
}

void
jobs_submits_tick(at_jobs_t *jobs, uint64_t now_ms)
{
	at_job_submit_t *submit;

	for (submit = jobs->submits; submit != NULL; submit = submit->next)
		submit_tick(submit, now_ms);
}

void
jobs_submits_free(at_jobs_t *jobs)
{
	while (jobs->submits != NULL) {
		at_job_submit_t *submit = jobs->submits;

		jobs->submits = submit->next;
		submit_free(submit);
	}
}
