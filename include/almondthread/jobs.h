/*
 * jobs.h - durable jobs: requests that may wait but must not be lost.
 *
 * A job is accepted once its record and its entry in an index shard are
 * stored in the object API. Index shards are leased: the holder runs the
 * queued jobs, earliest due time first, and records their end. When a holder
 * dies, another instance takes the lease after it has seen no renewal for
 * AT_JOB_LEASE_MS of its own clock, and runs what is still queued. A job may
 * therefore be started twice; its runner claims what must run at most once
 * (claims.h).
 *
 * A job leaves the queue only with a recorded end. The wall clock
 * (milliseconds since 1970) decides only the order of jobs and how long an
 * end is kept.
 */
#ifndef ALMONDTHREAD_JOBS_H
#define ALMONDTHREAD_JOBS_H

#include "almondthread/claims.h"
#include "almondthread/ports.h"

#define AT_JOB_SHARDS 4u      /* index objects; equal in the whole fleet */
#define AT_JOB_LEASE_MS 6000u /* time without renewal before a takeover */
#define AT_JOB_RECORD_MAX_BYTES (1000000u) /* of what the runner stores */
#define AT_JOB_ID_DIGITS 32u               /* hexadecimal */
#define AT_JOB_ID_SIZE (AT_JOB_ID_DIGITS + 1)
#define AT_JOB_OBJECT_SIZE 64u /* bytes of an object's name */

typedef enum at_job_state {
	AT_JOB_QUEUED,
	AT_JOB_DONE,         /* it ran; the record has the response */
	AT_JOB_MAY_HAVE_RUN, /* not repeatable, and its end is unknown */
	AT_JOB_STATE_COUNT
} at_job_state_t;

/* Names of states, indexed by at_job_state_t. */
extern const char *const at_job_state_names[];

/* Outcome of a submission. */
typedef enum at_job_outcome {
	AT_JOB_ACCEPTED, /* it is stored, now or by an earlier submission */
	AT_JOB_MISMATCH, /* another job has this id */
	AT_JOB_REFUSED,  /* proved that it will never run */
	AT_JOB_UNKNOWN,  /* it may have been accepted */
	AT_JOB_OUTCOME_COUNT
} at_job_outcome_t;

/* Names of outcomes, indexed by at_job_outcome_t. */
extern const char *const at_job_outcome_names[];

/* A record as stored in the object API; data is borrowed. */
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
	uint64_t leases_taken; /* taken for the first time or taken over */
	uint64_t deleted;
	uint64_t malformed; /* objects that could not be decoded */
} at_jobs_stats_t;

/* at_jobs_new() returns NULL if out of memory. */
at_jobs_t *at_jobs_new(void);
void at_jobs_set_store(at_jobs_t *jobs, const at_store_t *store);
/* at_jobs_set_clocks() sets a monotonic clock and a wall clock. */
void at_jobs_set_clocks(
    at_jobs_t *jobs, const at_clock_t *clock, const at_clock_t *wall);
void at_jobs_set_self(at_jobs_t *jobs, const at_incarnation_t *self);
/* at_jobs_set_run() sets the callback that runs queued jobs. */
void at_jobs_set_run(at_jobs_t *jobs, at_job_run_t run, void *ctx);
/* at_jobs_set_retention() sets how long the record of an ended job is kept. */
void at_jobs_set_retention(at_jobs_t *jobs, uint32_t retention_s);
/*
 * at_jobs_set_candidate() sets whether this instance tries to lease a shard.
 * Two candidates at once cost extra calls but lose no job.
 */
void at_jobs_set_candidate(at_jobs_t *jobs, uint32_t shard, int candidate);
/* at_jobs_stop() starts no more jobs; running ones are finished. */
void at_jobs_stop(at_jobs_t *jobs);
/* The store's open calls must have been dropped before. */
void at_jobs_delete(at_jobs_t *jobs);

/*
 * at_jobs_submit() records a job. done is called once, within wait_ms and never
 * before the call has returned. data is copied. Returns NULL if out of memory.
 */
at_job_submit_t *at_jobs_submit(at_jobs_t *jobs, const at_claim_hash_t *id,
    const at_claim_hash_t *digest, const void *data, size_t len,
    uint64_t due_wall_ms, uint32_t wait_ms, at_job_submitted_t done, void *ctx);

/* at_jobs_detach() removes the callback; the submission continues. */
void at_jobs_detach(at_job_submit_t *submit);

/* at_jobs_finish() records the end of a job that was passed to the runner. */
void at_jobs_finish(at_jobs_t *jobs, const at_claim_hash_t *id,
    at_job_state_t state, const void *data, size_t len);

/*
 * at_jobs_retry() schedules another run of a job that did not run, or that
 * may be repeated.
 */
void at_jobs_retry(at_jobs_t *jobs, const at_claim_hash_t *id);

/* at_jobs_tick() runs due calls; call it every few milliseconds. */
void at_jobs_tick(at_jobs_t *jobs);

/* at_jobs_active_count() counts submissions and running jobs. */
size_t at_jobs_active_count(const at_jobs_t *jobs);

const at_jobs_stats_t *at_jobs_stats(const at_jobs_t *jobs);

/* at_job_object_name() writes the name of the object that stores a job. */
void at_job_object_name(
    const at_claim_hash_t *id, char name[AT_JOB_OBJECT_SIZE]);
void at_job_id_format(const at_claim_hash_t *id, char text[AT_JOB_ID_SIZE]);
/* at_job_id_parse() returns 0, or -1 when text is not an id. */
int at_job_id_parse(at_claim_hash_t *id, const char *text);

/*
 * at_job_pack() returns the encoded record, which the caller frees, or NULL if
 * out of memory.
 */
uint8_t *at_job_pack(const at_job_record_t *record, size_t *len);
/*
 * at_job_unpack() decodes a record, whose data points into value. Returns 0,
 * or -1 when the value is malformed.
 */
int at_job_unpack(at_job_record_t *record, const void *value, size_t len);

#endif
