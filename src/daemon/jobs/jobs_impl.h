/*
 * jobs_impl.h - what the parts of the daemon's jobs share: jobs_io.c takes
 * and shows them, jobs_run.c runs them.
 */
#ifndef ALMONDTHREAD_DAEMON_JOBS_IMPL_H
#define ALMONDTHREAD_DAEMON_JOBS_IMPL_H

#include <jansson.h>

#include "daemon/jobs/jobs_io.h"

/* A caller's request that waits for the object API. */
typedef struct job_request {
	struct job_request *next;
	struct job_request *prev;
	at_jobs_io_t *io;
	at_httpd_request_t *request; /* NULL once the caller is gone */
	at_claim_hash_t id;
	at_name_t workspace;
	at_job_submit_t *submit; /* NULL when it only asks */
} job_request_t;

typedef struct job_task job_task_t;

struct at_jobs_io {
	at_node_t *node;
	at_jobs_t *jobs;
	ev_timer tick;
	uint64_t roles_ms; /* when the candidates were last set */
	job_request_t *requests;
	job_task_t *tasks;
};

/*
 * A record's data is a JSON head, a NUL and a body. job_head() returns the
 * head, which the caller releases, or NULL; *body is borrowed.
 */
json_t *job_head(const at_job_record_t *record, const char **body, size_t *len);
/* job_data() joins them and releases the head; NULL without memory. */
char *job_data(json_t *head, const void *body, size_t body_len, size_t *len);

/* job_run() is the machine's runner; ctx is the at_jobs_io_t. */
void job_run(
    void *ctx, const at_claim_hash_t *id, const at_job_record_t *record);
/* job_tasks_free() forgets what runs. */
void job_tasks_free(at_jobs_io_t *io);

#endif
