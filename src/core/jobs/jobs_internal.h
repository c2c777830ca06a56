/*
 * jobs_internal.h - types and functions shared by jobs.c, which runs jobs,
 * jobs_submit.c, which records submissions, and jobs_index.c, which reads and
 * writes the index shards and their leases.
 *
 * Times are in milliseconds of the monotonic clock unless marked as wall clock.
 */
#ifndef ALMONDTHREAD_CORE_JOBS_INTERNAL_H
#define ALMONDTHREAD_CORE_JOBS_INTERNAL_H

#include "almondthread/jobs.h"

#define JOBS_RETRY_MS 100u /* delay after a failed call of the store */

/* One job in an index shard. */
typedef struct job_entry {
	at_claim_hash_t id;
	uint64_t due_ms;  /* wall clock */
	uint64_t done_ms; /* wall clock; 0: queued */
} job_entry_t;

/* The decoded value of one index shard. */
typedef struct job_index {
	uint64_t holder;   /* incarnation with the lease; 0: none */
	uint64_t renewals; /* number of times the lease was taken or renewed */
	job_entry_t *entries;
	size_t count;
	size_t capacity; /* entries allocated */
} job_index_t;

/* States of one submission. */
typedef enum submit_state {
	SUBMIT_CREATING,  /* writes the record */
	SUBMIT_COMPARING, /* compares the record that already has its id */
	SUBMIT_INDEXING,  /* is added by the next put of the index shard */
	SUBMIT_ENDED      /* has an outcome */
} submit_state_t;

typedef struct job_shard job_shard_t;

struct at_job_submit {
	at_jobs_t *jobs;
	job_shard_t *shard;
	at_job_submit_t *next;
	submit_state_t state;
	at_claim_hash_t id;
	at_claim_hash_t digest;
	uint8_t *value; /* owned; the encoded record */
	size_t len;
	uint64_t due_ms; /* wall clock */
	uint64_t deadline_ms;
	uint64_t retry_at_ms;
	int call_in_flight; /* a call for the record has not completed */
	int may_be_indexed; /* in a put of the index that may take effect */
	int is_delivered;   /* the callback was called */
	at_job_outcome_t outcome;
	at_job_submitted_t done; /* NULL: detached, or called */
	void *ctx;
};

/* States of one job that this instance runs or deletes. */
typedef enum run_state {
	RUN_READING,  /* reads the record */
	RUN_RUNNING,  /* passed to the runner */
	RUN_STORING,  /* writes its end to the record */
	RUN_CHECKING, /* reads whether an end was written */
	RUN_DELETING, /* deletes the expired record */
	RUN_MARKING,  /* is updated by the next put of the index shard */
	RUN_WAITING   /* waits for its next run */
} run_state_t;

/* One job that this instance runs, or whose expired record it deletes. */
typedef struct job_run {
	struct job_run *next;
	at_jobs_t *jobs;
	job_shard_t *shard;
	run_state_t state;
	job_entry_t entry;
	int is_expired;     /* its record is to be deleted */
	int call_in_flight; /* a call for the record has not completed */
	uint64_t version;   /* of the record that was read */
	at_claim_hash_t digest;
	at_job_state_t end_state;
	uint8_t *value; /* owned; the encoded record with the end */
	size_t len;
	uint32_t attempts;
	uint64_t retry_at_ms;
	int is_obsolete; /* freed once no call is in flight */
} job_run_t;

struct job_shard {
	at_jobs_t *jobs;
	char object[AT_JOB_OBJECT_SIZE];
	job_index_t index; /* decoded value of the object at version */
	job_index_t next;  /* value written by the put in flight */
	uint64_t version;
	int is_loaded;
	int needs_read;     /* the object may differ from index */
	int call_in_flight; /* a call of the store has not completed */
	int is_candidate;
	int accepted_here; /* an accepted job may have no holder to run it */
	uint64_t retry_at_ms;
	uint64_t first_read_ms;   /* earliest first read of a new candidate */
	uint64_t next_read_ms;    /* next read, unless the lease is ours */
	uint64_t renewal_seen_ms; /* last change of holder or renewals */
	uint64_t put_sent_ms;     /* start of the put in flight */
	uint64_t lease_until_ms;  /* no job is started after it; 0: no lease */
	uint64_t renewal_due_ms;
};

struct at_jobs {
	at_store_t store;
	at_clock_t clock;
	at_clock_t wall;
	uint64_t self; /* incarnation number */
	uint64_t retention_ms;
	int is_stopping;
	at_job_run_t run;
	void *run_ctx;
	job_shard_t shards[AT_JOB_SHARDS];
	at_job_submit_t *submits;
	job_run_t *runs;
	at_jobs_stats_t stats;
};

uint64_t jobs_now(const at_jobs_t *jobs);
uint64_t jobs_wall_now(const at_jobs_t *jobs);

/* jobs_index.c */
/*
 * job_index_decode() decodes the value of a shard's object; NULL and 0 give an
 * empty index. Returns 0, or -1 if the value is malformed or if out of memory.
 * The index is freed by job_index_free().
 */
int job_index_decode(job_index_t *index, const void *value, size_t len);
void job_index_free(job_index_t *index);
/* job_index_find() returns the entry of a job, or NULL. */
job_entry_t *job_index_find(
    const job_index_t *index, const at_claim_hash_t *id);
/* job_shard_tick() starts the call that a shard is due, if any. */
void job_shard_tick(job_shard_t *shard);
/*
 * job_shard_is_candidate() returns non-zero if this instance may lease the
 * shard.
 */
int job_shard_is_candidate(const job_shard_t *shard);
/* job_shard_has_lease() returns non-zero if jobs may be started now. */
int job_shard_has_lease(const job_shard_t *shard);

/* jobs_submit.c */
/* jobs_submit_end() sets the outcome, which is delivered later. */
void jobs_submit_end(at_job_submit_t *submit, at_job_outcome_t outcome);
void jobs_submits_tick(at_jobs_t *jobs, uint64_t now_ms);
/*
 * jobs_submits_deliver() delivers the outcomes and frees the submissions that
 * have no call in flight.
 */
void jobs_submits_deliver(at_jobs_t *jobs);
void jobs_submits_free(at_jobs_t *jobs);

/* jobs.c */
/*
 * jobs_index_changed() updates submissions and runs after the shard's index was
 * replaced. is_newer: the version has increased, so that earlier puts can no
 * longer take effect.
 */
void jobs_index_changed(job_shard_t *shard, int is_newer);

#endif
