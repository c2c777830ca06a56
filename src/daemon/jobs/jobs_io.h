/*
 * jobs_io.h - durable jobs: accepts requests that may run later, runs queued
 * jobs as exchanges and reports their state to callers.
 *
 * When the caller gets status 202, the job is stored in the object API. Any
 * instance may run it, and it is retried until its end is stored.
 */
#ifndef ALMONDTHREAD_DAEMON_JOBS_IO_H
#define ALMONDTHREAD_DAEMON_JOBS_IO_H

#include "almondthread/jobs.h"
#include "daemon/requests/exchange.h"

#define AT_JOBS_PATH "/v1/jobs/" /* followed by an id */

/* at_jobs_io_new() borrows node. Returns NULL if out of memory. */
at_jobs_io_t *at_jobs_io_new(at_node_t *node);
/* at_jobs_io_init() is called when node has its store and incarnation. */
void at_jobs_io_init(at_jobs_io_t *io);
/*
 * at_jobs_io_delete() is called when the platform and the HTTP server for
 * callers have been deleted, so that no callback can follow.
 */
void at_jobs_io_delete(at_jobs_io_t *io);

/*
 * at_jobs_io_is_job() returns non-zero if a request is to be run as a job: a
 * POST with "Prefer: respond-async", or any POST on an overnight route.
 */
int at_jobs_io_is_job(
    const at_httpd_request_t *request, const at_exchange_spec_t *spec);

/*
 * at_jobs_io_submit() stores the job and sends the response to the caller.
 * route is the path of the route that was matched.
 */
void at_jobs_io_submit(at_jobs_io_t *io, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, const char *route);

/*
 * at_jobs_io_show() responds to GET /v1/jobs/ID. A job of another workspace is
 * refused as unknown.
 */
void at_jobs_io_show(
    at_jobs_io_t *io, at_httpd_request_t *request, const at_name_t *workspace);

/* at_jobs_io_active_count() counts the jobs that delay a shutdown. */
size_t at_jobs_io_active_count(const at_jobs_io_t *io);

#endif
