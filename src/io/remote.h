/*
 * remote.h - calls to one HTTP server with buffered responses. Both clients of
 * the platform's object API use it (platform.c here and platform/store.c).
 *
 * A call ends in one of three ways: on_done is called, the call is cancelled,
 * or its at_remote_t is deleted. No call is retried.
 *
 * While one of its callbacks runs, a call and its context exist. A call that
 * its on_response cancels ends without on_done; cancelled in on_done, it has no
 * effect. The at_remote_t must not be deleted in a callback (asserted).
 */
#ifndef ALMONDTHREAD_IO_REMOTE_H
#define ALMONDTHREAD_IO_REMOTE_H

#include "almondthread/counters.h"
#include "almondthread/status.h"
#include "io/httpc.h"

#define AT_REMOTE_PATH_SIZE 448u /* bytes of path and query, with the NUL */
#define AT_REMOTE_BODY_MAX_BYTES (8u << 20) /* a longer response fails */

typedef struct at_remote at_remote_t;
typedef struct at_remote_call at_remote_call_t;

/* A growing buffer; data is NULL when empty, otherwise NUL-terminated. */
typedef struct at_body {
	char *data;
	size_t len;
} at_body_t;

/*
 * at_body_append() appends len bytes. Returns 0, or -1 with body unchanged if
 * out of memory.
 */
int at_body_append(at_body_t *body, const char *data, size_t len);

/* A response, valid during on_done. */
typedef struct at_remote_response {
	int is_complete;      /* the response is complete */
	at_verdict_t verdict; /* NOT_RUN only if nothing was sent */
	int status;           /* 0 if no response headers arrived */
	const char *body;     /* NUL-terminated, or NULL if empty */
	size_t len;
	uint64_t number;  /* value of number_header, or 0 */
	uint64_t took_ms; /* since the call began */
} at_remote_response_t;

typedef void (*at_remote_done_t)(
    void *context, const at_remote_response_t *response);

/*
 * A call. All but number_header is copied. headers ends with NULL. The value of
 * the response header number_header is returned as a number.
 */
typedef struct at_remote_spec {
	const char *method;
	const char *path; /* with its query */
	const char *const *headers;
	const void *body;
	size_t body_len;
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* until the response begins; 0: no limit */
	uint32_t idle_ms;       /* between two parts of it; 0: no limit */
	uint32_t total_ms;
	int new_connection;        /* also used after a failed call */
	const char *number_header; /* or NULL; must outlive the call */
	/*
	 * Called before on_done, unless NULL, for what the response says of the
	 * server as a whole: it may cancel calls, also this one.
	 */
	at_remote_done_t on_response;
	at_remote_done_t on_done;
	const void *context; /* copied; the callbacks get the copy */
	size_t context_size;
} at_remote_spec_t;

/* at_remote_new() returns a client, or NULL if out of memory. */
at_remote_t *at_remote_new(struct ev_loop *loop, at_httpc_t *httpc);
void at_remote_set_counters(at_remote_t *remote, at_counters_t *counters);
/* at_remote_init() sets the server's "ip:port". Returns AT_OK or AT_INVALID. */
at_code_t at_remote_init(
    at_remote_t *remote, const char *address, at_status_t *status);
/* at_remote_delete() cancels the open calls without on_done. */
void at_remote_delete(at_remote_t *remote);

/* at_remote_call() begins a call. Returns NULL if out of memory. */
at_remote_call_t *at_remote_call(
    at_remote_t *remote, const at_remote_spec_t *spec);
/* at_remote_cancel() ends a call without on_done. */
void at_remote_cancel(at_remote_call_t *call);

/*
 * at_remote_add_count() adds 1 to platform_KIND_total{result="RESULT"} and the
 * duration of the call to platform_call_ms{call="KIND"}.
 */
void at_remote_add_count(const at_remote_t *remote, const char *kind,
    const char *result, uint64_t took_ms);
/*
 * at_remote_age_ms() returns the ms since the last complete response with a
 * status below 500, or UINT64_MAX if there was none.
 */
uint64_t at_remote_age_ms(const at_remote_t *remote);

#endif
