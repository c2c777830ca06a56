/*
 * jobs.h - durable jobs: work that may wait but is never lost.
 *
 * A job is accepted once its record and its entry in an index shard stand in
 * the object API. Index shards are leased: the holder runs what is queued,
 * earliest due first, and records the end. When a holder dies, another
 * instance takes the lease after it saw no renewal for AT_JOB_LEASE_MS of its
 * own clock, and runs what is still queued. A job may thus be started twice;
 * what must run at most once is claimed by its runner (claims.h).
 *
 * A job leaves the queue only with a recorded end. Wall time (milliseconds
 * since 1970) decides order and how long an end is kept, and nothing else.
 */
#ifndef ALMONDTHREAD_JOBS_H
#define ALMONDTHREAD_JOBS_H

#include "almondthread/claims.h"
#include "almondthread/ports.h"

#define AT_JOB_SHARDS 4u      /* index objects; fleet-wide the same */
#define AT_JOB_LEASE_MS 6000u /* without renewal, to be taken over */
#define AT_JOB_RECORD_MAX_BYTES                                 \
	(1000000u)           /* bytes of what the runner stores \
			      */
#define AT_JOB_ID_DIGITS 32u /* hexadecimal */
#define AT_JOB_ID_SIZE (AT_JOB_ID_DIGITS + 1)
#define AT_JOB_OBJECT_SIZE 64u /* bytes of an object's name */

typedef enum at_job_state {
	AT_JOB_QUEUED,
	AT_JOB_DONE,         /* it ran; the record holds the answer */
	AT_JOB_MAY_HAVE_RUN, /* not repeatable, and its end is unknown */
	AT_JOB_STATE_COUNT
} at_job_state_t;

extern const char *const at_job_state_names[];

/* What became of a submission. */
typedef enum at_job_outcome {
	AT_JOB_ACCEPTED, /* it stands in the object API, now or from before */
	AT_JOB_MISMATCH, /* another job has this id */
	AT_JOB_REFUSED,  /* proved: it will never run */
	AT_JOB_UNKNOWN,  /* it may have been accepted */
	AT_JOB_OUTCOME_COUNT
} at_job_outcome_t;

extern const char *const at_job_outcome_names[];

/* A record as it stands in the object API; data is borrowed. */
typedef struct at_job_record {
	at_job_state_t state;
	at_claim_hash_t digest; /* of what was submitted */
	const void *data;
	size_t len;
} at_job_record_t;

typedef struct at_jobs at_jobs_t;
typedef struct at_job_submit at_job_submit_t;

typedef void (*at_job_submitted_t)(void *ctx, at_job_outcome_t outcome);

/*
 * Called to run a queued job. It ends with one call of at_jobs_finish() or
 * at_jobs_retry(), during the callback or later.
 */
typedef void (*at_job_run_t)(
    void *ctx, const at_claim_hash_t *id, const at_job_record_t *record);

typedef struct at_jobs_stats {
	uint64_t outcomes[AT_JOB_OUTCOME_COUNT];
	uint64_t started;
	uint64_t finished[AT_JOB_STATE_COUNT]; /* by recorded end */
	uint64_t retried;
	uint64_t past_due;     /* ended after they were due */
	uint64_t leases_taken; /* taken */
	uint64_t deleted;
	uint64_t malformed;
} at_jobs_stats_t;

at_jobs_t *at_jobs_new(void);
void at_jobs_set_store(at_jobs_t *jobs, const at_store_t *store);
/* A monotonic clock, and one of wall time. */
void at_jobs_set_clocks(
    at_jobs_t *jobs, const at_clock_t *clock, const at_clock_t *wall);
void at_jobs_set_self(at_jobs_t *jobs, const at_incarnation_t *self);
void at_jobs_set_run(at_jobs_t *jobs, at_job_run_t run, void *ctx);
/* How long an end is kept. */
void at_jobs_set_retention(at_jobs_t *jobs, uint32_t retention_s);
/*
 * at_jobs_set_candidate() says whether this instance should look after a
 * shard. Two that do at once cost calls, never a job.
 */
void at_jobs_set_candidate(at_jobs_t *jobs, uint32_t shard, int candidate);
/* at_jobs_stop() starts no more jobs; what runs is finished. */
void at_jobs_stop(at_jobs_t *jobs);
/* The store must have dropped its open calls. */
void at_jobs_delete(at_jobs_t *jobs);

/*
 * at_jobs_submit() records a job; done is called once, within wait_ms, and
 * never before the call returned. data is copied. Returns NULL without
 * memory.
 */
at_job_submit_t *at_jobs_submit(at_jobs_t *jobs, const at_claim_hash_t *id,
    const at_claim_hash_t *digest, const void *data, size_t len,
    uint64_t due_wall_ms, uint32_t wait_ms, at_job_submitted_t done, void *ctx);

/* at_jobs_detach() drops the callback; the submission goes on. */
void at_jobs_detach(at_job_submit_t *submit);

/* at_jobs_finish() records the end of a job that the runner was given. */
void at_jobs_finish(at_jobs_t *jobs, const at_claim_hash_t *id,
    at_job_state_t state, const void *data, size_t len);

/* at_jobs_retry() has the job run again later: it did not run, or may. */
void at_jobs_retry(at_jobs_t *jobs, const at_claim_hash_t *id);

/* at_jobs_tick() does what is due; call it every few milliseconds. */
void at_jobs_tick(at_jobs_t *jobs);

/* at_jobs_active_count() counts submissions and running jobs. */
size_t at_jobs_active_count(const at_jobs_t *jobs);

const at_jobs_stats_t *at_jobs_stats(const at_jobs_t *jobs);

/* at_job_object_name() writes the name of the object that holds a job. */
void at_job_object_name(
    const at_claim_hash_t *id, char name[AT_JOB_OBJECT_SIZE]);
void at_job_id_format(const at_claim_hash_t *id, char text[AT_JOB_ID_SIZE]);
/* at_job_id_parse() returns 0, or -1 when text is no id. */
int at_job_id_parse(at_claim_hash_t *id, const char *text);

/* at_job_pack() returns new bytes, or NULL without memory. */
uint8_t *at_job_pack(const at_job_record_t *record, size_t *len);
/* at_job_unpack() returns 0, or -1 when the value is malformed. */
int at_job_unpack(at_job_record_t *record, const void *value, size_t len);

#endif
