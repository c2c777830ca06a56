/*
 * httpc.h - HTTP towards backend servers and the platform: libcurl multi
 * driven by libev on one thread.
 *
 * A transfer calls on_head once (when an answer began), on_data any number
 * of times and on_done exactly once, unless it is cancelled. on_done says
 * what the transfer proves about the request.
 */
#ifndef ALMONDTHREAD_IO_HTTPC_H
#define ALMONDTHREAD_IO_HTTPC_H

#include <ev.h>

#include "almondthread/units.h"
#include "almondthread/verdict.h"

typedef struct at_httpc at_httpc_t;
typedef struct at_transfer at_transfer_t;

/* How a transfer ended. */
typedef struct at_transfer_result {
	int is_complete;       /* the answer is complete */
	int http_status;       /* 0 when no answer began */
	at_reason_t reason;    /* AT_REASON_NONE when whole */
	at_verdict_t verdict;  /* NOT_RUN only if nothing left us */
	uint64_t sent_bytes;   /* of the request's headers */
	uint32_t resend_count; /* the library sent it again, or wished to */
	int reused_connection; /* it rode a connection used before */
} at_transfer_result_t;

/* Callbacks of a transfer. Any but on_done may be NULL. */
typedef struct at_transfer_events {
	/* status and, through at_transfer_header(), the headers. */
	void (*on_headers)(void *ctx, at_transfer_t *transfer, int status);
	/* Returns non-zero to pause until at_transfer_resume(). */
	int (*on_data)(void *ctx, const char *data, size_t len);
	void (*on_done)(void *ctx, const at_transfer_result_t *result);
	void *ctx;
} at_transfer_events_t;

/*
 * What to send. Strings and the body are copied. headers is an array of
 * "Name: value" ending with NULL. A limit of 0 ms is no limit.
 */
typedef struct at_transfer_spec {
	const char *method;
	const char *url;    /* with an IP literal */
	const char *target; /* path and query to send as they are, or NULL */
	const char *const *headers;
	const void *body;
	size_t body_len;
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the start to the answer's head */
	uint32_t idle_ms;       /* between two parts of the answer */
	uint32_t total_ms;
	int connect_only;   /* nothing is sent: whole once connected */
	int new_connection; /* never ride a reused connection */
	/*
	 * When a reused connection dies before the first byte of the answer,
	 * the library sends the request a second time by itself. Non-zero
	 * ends the transfer instead, with AT_REASON_BACKEND_RESET.
	 */
	int forbid_resend;
} at_transfer_spec_t;

at_httpc_t *at_httpc_new(struct ev_loop *loop);
/* at_httpc_set_max_connections() bounds idle connections kept. */
void at_httpc_set_max_connections(at_httpc_t *httpc, long connections);
/* at_httpc_delete() cancels what is open without calling on_done. */
void at_httpc_delete(at_httpc_t *httpc);

/*
 * at_httpc_start() begins a transfer; no callback runs before it returns.
 * Returns NULL without memory. The transfer frees itself after on_done.
 */
at_transfer_t *at_httpc_start(at_httpc_t *httpc, const at_transfer_spec_t *spec,
    const at_transfer_events_t *events);

/*
 * at_transfer_set_sending() sets what is called once when a connection
 * stands and nothing of the request has left us yet.
 */
void at_transfer_set_sending(
    at_transfer_t *transfer, void (*on_sending)(void *ctx));
/* at_transfer_cancel() closes the connection; on_done is not called. */
void at_transfer_cancel(at_transfer_t *transfer);
/* at_transfer_resume() goes on with a paused transfer. */
void at_transfer_resume(at_transfer_t *transfer);
/* at_transfer_header() returns an answer's header in on_head, or NULL. */
const char *at_transfer_header(const at_transfer_t *transfer, const char *name);
/* at_transfer_each_header() visits an answer's headers in on_head. */
void at_transfer_each_header(const at_transfer_t *transfer,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx);

#endif
