/*
 * remote.h - calls to one HTTP server whose answers are read whole: the
 * platform's object API, in each of its dialects.
 *
 * A call ends exactly once: finish() is called, or the call is cancelled, or
 * its at_remote_t is deleted. Nothing is repeated.
 */
#ifndef ALMONDTHREAD_IO_REMOTE_H
#define ALMONDTHREAD_IO_REMOTE_H

#include "almondthread/counters.h"
#include "almondthread/status.h"
#include "io/httpc.h"

#define AT_REMOTE_PATH_SIZE 448u /* of a path with its query, at most */

typedef struct at_remote at_remote_t;
typedef struct at_remote_call at_remote_call_t;

/* A body that grows; data is NUL-terminated once it is not NULL. */
typedef struct at_body {
	char *data;
	size_t len;
} at_body_t;

/* at_body_append() returns 0, or -1 without memory and leaves it as it was. */
int at_body_append(at_body_t *body, const char *data, size_t len);

/* An answer, valid during finish(). */
typedef struct at_remote_response {
	int is_complete;      /* it is complete */
	at_verdict_t verdict; /* NOT_RUN only if nothing left us */
	int status;           /* 0 when no answer began */
	const char *body;     /* NUL-terminated, or NULL when empty */
	size_t len;
	uint64_t number; /* of number_header; 0 without it */
} at_remote_response_t;

typedef void (*at_remote_done_t)(
    void *context, const at_remote_response_t *response);

/* What to call; all is copied. */
typedef struct at_remote_spec {
	const char *method;
	const char *path; /* with its query */
	const char *const *headers;
	const void *body;
	size_t body_len;
	uint32_t connect_ms;
	uint32_t total_ms;
	int new_connection;        /* besides after a call that failed */
	const char *number_header; /* of the answer; must outlive the call */
	at_remote_done_t on_done;
	const void *context; /* copied; finish() gets the copy */
	size_t context_size;
} at_remote_spec_t;

at_remote_t *at_remote_new(struct ev_loop *loop, at_httpc_t *httpc);
void at_remote_set_counters(at_remote_t *remote, at_counters_t *counters);
/* at_remote_init() takes "ip:port". */
at_code_t at_remote_init(
    at_remote_t *remote, const char *address, at_status_t *status);
/* at_remote_delete() drops open calls without finish(). */
void at_remote_delete(at_remote_t *remote);

/* at_remote_call() returns NULL when the call cannot begin. */
at_remote_call_t *at_remote_call(
    at_remote_t *remote, const at_remote_spec_t *spec);
/* at_remote_cancel() drops a call without finish(). */
void at_remote_cancel(at_remote_call_t *call);

/* at_remote_add_count() adds to the counter platform_KIND_total. */
void at_remote_add_count(
    const at_remote_t *remote, const char *kind, const char *result);
/*
 * at_remote_age_ms() returns the time since the server last answered below
 * 500, in milliseconds; UINT64_MAX when it never did.
 */
uint64_t at_remote_age_ms(const at_remote_t *remote);

#endif
