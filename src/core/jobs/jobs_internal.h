/*
 * jobs_internal.h - what the parts of the jobs machine share: jobs.c has
 * runs, jobs_submit.c submissions, jobs_index.c the shards and their leases.
 */
#ifndef ALMONDTHREAD_CORE_JOBS_INTERNAL_H
#define ALMONDTHREAD_CORE_JOBS_INTERNAL_H

#include "almondthread/jobs.h"

#define JOBS_RETRY_MS 100u /* after a call of the store without an answer */

/* One job in an index shard. */
typedef struct job_entry {
	at_claim_hash_t id;
	uint64_t due_ms;  /* wall */
	uint64_t done_ms; /* wall; 0: queued */
} job_entry_t;

typedef struct job_index {
	uint64_t owner; /* incarnation number; 0: nobody */
	uint64_t beat;  /* grows with each renewal */
	job_entry_t *entries;
	size_t count;
	size_t size;
} job_index_t;

typedef enum submit_state {
	SUBMIT_CREATING, /* the record */
	SUBMIT_CHECKING, /* what stands under its id */
	SUBMIT_INDEXING, /* rides the shard's next put */
	SUBMIT_ENDED
} submit_state_t;

typedef struct job_shard job_shard_t;

struct at_job_submit {
	at_jobs_t *jobs;
	job_shard_t *shard;
	at_job_submit_t *next;
	submit_state_t state;
	at_claim_hash_t id;
	at_claim_hash_t digest;
	uint8_t *value; /* the packed record */
	size_t len;
	uint64_t due_ms;
	uint64_t limit_ms;
	uint64_t retry_at_ms;
	int busy; /* a call of its own is open */
	int sent; /* in an index put that may still take effect */
	int told;
	at_job_outcome_t outcome;
	at_job_submitted_t done; /* NULL: nobody waits */
	void *ctx;
};

typedef enum run_state {
	RUN_READING,  /* the record */
	RUN_RUNNING,  /* with the runner */
	RUN_STORING,  /* its end */
	RUN_CHECKING, /* whether an end was stored */
	RUN_DELETING, /* an old end */
	RUN_MARKING,  /* in the index */
	RUN_WAITING   /* to be started again */
} run_state_t;

typedef struct job_run {
	struct job_run *next;
	at_jobs_t *jobs;
	job_shard_t *shard;
	run_state_t state;
	job_entry_t entry;
	int sweep; /* an old end is deleted */
	int busy;
	uint64_t version; /* of the record that was read */
	at_claim_hash_t digest;
	at_job_state_t end;
	uint8_t *value; /* the packed end */
	size_t len;
	uint32_t attempts;
	uint64_t retry_at_ms;
	int obsolete; /* to be freed */
} job_run_t;

struct job_shard {
	at_jobs_t *jobs;
	char object[AT_JOB_OBJECT_SIZE];
	job_index_t index; /* the object at version */
	job_index_t next;  /* what the open put writes */
	uint64_t version;
	int loaded;
	int must_read;
	int busy;
	int candidate;
	int accepted_here; /* a job of ours may still be run by nobody */
	uint64_t retry_at_ms;
	uint64_t first_look_ms; /* of a new candidate */
	uint64_t read_at_ms;    /* the next look */
	uint64_t beat_seen_ms;  /* owner and beat were new */
	uint64_t put_ms;        /* the open put was sent */
	uint64_t held_until_ms; /* own lease; 0: not held */
	uint64_t renew_at_ms;
};

struct at_jobs {
	at_store_t store;
	at_clock_t clock;
	at_clock_t wall;
	uint64_t self;
	uint64_t retention_ms;
	int stopping;
	at_job_run_t run;
	void *run_ctx;
	job_shard_t shards[AT_JOB_SHARDS];
	at_job_submit_t *submits;
	job_run_t *runs;
	at_jobs_stats_t stats;
};

uint64_t jobs_now(const at_jobs_t *jobs);
uint64_t jobs_wall(const at_jobs_t *jobs);

/* jobs_index.c */
void job_index_free(job_index_t *index);
job_entry_t *job_index_find(
    const job_index_t *index, const at_claim_hash_t *id);
/* job_shard_tick() starts the call that a shard is due, if any. */
void job_shard_tick(job_shard_t *shard);
/* job_shard_looks() tells whether this instance may run its jobs. */
int job_shard_is_candidate(const job_shard_t *shard);
/* job_shard_holds() tells whether jobs may be started now. */
int job_shard_has_lease(const job_shard_t *shard);

/* jobs_submit.c */
void jobs_submit_end(at_job_submit_t *submit, at_job_outcome_t outcome);
void jobs_submits_tick(at_jobs_t *jobs, uint64_t now_ms);
/* jobs_submits_deliver() tells callers their ends, and frees what is told. */
void jobs_submits_deliver(at_jobs_t *jobs);
void jobs_submits_free(at_jobs_t *jobs);

/* jobs.c: the shard's index was replaced; newer: older puts cannot land. */
void jobs_index_changed(job_shard_t *shard, int newer);

#endif
