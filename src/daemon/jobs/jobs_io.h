/*
 * jobs_io.h - durable jobs in the daemon: takes requests that may wait, runs
 * queued jobs through the exchange and tells callers of their state.
 *
 * Accepted (202) means: the job stands in the object API and will be run by
 * whichever instance lives, until it has a recorded end.
 */
#ifndef ALMONDTHREAD_DAEMON_JOBS_IO_H
#define ALMONDTHREAD_DAEMON_JOBS_IO_H

#include "almondthread/jobs.h"
#include "daemon/requests/exchange.h"

#define AT_JOBS_PATH "/v1/jobs/" /* followed by an id */

at_jobs_io_t *at_jobs_io_new(at_node_t *node);
/* at_jobs_io_init() takes the node's store and incarnation. */
void at_jobs_io_init(at_jobs_io_t *io);
/* The platform must have dropped its calls, the callers their requests. */
void at_jobs_io_delete(at_jobs_io_t *io);

/*
 * at_jobs_io_is_job() tells whether a request asks to be run as a job: a
 * POST with "Prefer: respond-async", or one of an overnight route.
 */
int at_jobs_io_is_job(
    const at_httpd_request_t *request, const at_exchange_spec_t *spec);

/*
 * at_jobs_io_submit() records the job and answers the caller. route is the
 * path of the route that was matched.
 */
void at_jobs_io_submit(at_jobs_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const char *route);

/* at_jobs_io_show() answers GET /v1/jobs/ID for a workspace. */
void at_jobs_io_show(
    at_jobs_io_t *io, at_httpd_request_t *request, const at_name_t *workspace);

/* at_jobs_io_active_count() counts what a stop waits for. */
size_t at_jobs_io_active_count(const at_jobs_io_t *io);

#endif
