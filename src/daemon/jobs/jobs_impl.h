/*
 * jobs_impl.h - structures shared by jobs_io.c, which accepts jobs and reports
 * their state, and jobs_run.c, which runs them.
 */
#ifndef ALMONDTHREAD_DAEMON_JOBS_IMPL_H
#define ALMONDTHREAD_DAEMON_JOBS_IMPL_H

#include <jansson.h>

#include "daemon/jobs/jobs_io.h"

/* A caller's request that waits for a response of the object API. */
typedef struct job_request {
	struct job_request *next;
	struct job_request *prev;
	at_jobs_io_t *io;
	at_httpd_request_t *request; /* NULL once it has ended */
	at_claim_hash_t id;
	at_name_t workspace;
	at_job_submit_t *submit; /* NULL if a job's state is requested */
} job_request_t;

typedef struct job_task job_task_t;

struct at_jobs_io {
	at_node_t *node;
	at_jobs_t *jobs;
	ev_timer tick;
	uint64_t candidates_updated_ms; /* 0: never */
	job_request_t *requests;
	job_task_t *tasks;
};

/*
 * The data of a record is a JSON header, a NUL and a body. job_parse_data()
 * returns a new reference to the header, or NULL if the data is not valid.
 * *body is borrowed from record.
 */
json_t *job_parse_data(
    const at_job_record_t *record, const char **body, size_t *len);
/*
 * job_format_data() returns the data of *len bytes, which the caller frees, or
 * NULL if out of memory. It always releases the header.
 */
char *job_format_data(
    json_t *header, const void *body, size_t body_len, size_t *len);

/* job_run() runs a job; it is the callback of at_jobs_set_run(). */
void job_run(
    void *ctx, const at_claim_hash_t *id, const at_job_record_t *record);
/* job_tasks_free() frees the tasks of all running jobs. */
void job_tasks_free(at_jobs_io_t *io);

#endif
