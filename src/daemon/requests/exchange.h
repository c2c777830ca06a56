/*
 * exchange.h - runs one request on a backend server and delivers the response.
 *
 * An exchange owns the state of the request's attempts and one transfer for
 * each attempt. The caller gets exactly one response: the complete response of
 * a backend server, a refusal, or a stream that is aborted in a way that no
 * client takes for a complete response.
 */
#ifndef ALMONDTHREAD_DAEMON_EXCHANGE_H
#define ALMONDTHREAD_DAEMON_EXCHANGE_H

#include "daemon/node/node.h"

#define AT_REQUEST_ID_SIZE (AT_HTTPD_ID_DIGITS + 1) /* with the NUL */

/* How an exchange ended; the texts are valid during the callback only. */
typedef struct at_exchange_end {
	at_verdict_t verdict;
	at_reason_t reason;
	int http_status;          /* status of the response, 0 if none */
	const char *content_type; /* NULL if there was no response */
	const char *body;         /* NULL if the response was streamed */
	size_t body_len;
} at_exchange_end_t;

/* Called exactly once, before the caller gets the end of the response. */
typedef void (*at_exchange_done_t)(void *ctx, const at_exchange_end_t *end);

/* The request to run; the texts are copied, and a shared body is not. */
typedef struct at_exchange_spec {
	at_instance_kind_t kind;
	const char *target;    /* model, adapter or service */
	const char *workspace; /* empty on a public route */
	const char *method;
	const char *path; /* with the query, if any */
	const char *content_type;
	const char *idempotency_key; /* may be NULL */
	const void *body;
	size_t body_len;
	at_shared_body_t *shared_body; /* of which body is part, or NULL */
	at_repeat_t repeat;
	at_priority_t priority;
	uint32_t deadline_ms;
	int stream; /* event stream wanted; the request is never a job */
	const char *request_id;     /* if there is no caller, else NULL */
	at_exchange_done_t on_done; /* may be NULL */
	void *done_ctx;
} at_exchange_spec_t;

/*
 * at_exchange_start() runs the request and sends the response to the caller.
 * request may be NULL for work without a caller; spec then has a request_id and
 * an on_done. If the caller closes its connection, a request that may not be
 * repeated freely continues to its end; any other is cancelled.
 */
void at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec);

/*
 * at_exchange_retry_waiting() tries again to place the requests that wait for a
 * backend server because those that could serve them run suspect requests.
 */
void at_exchange_retry_waiting(at_node_t *node);

/* at_exchange_delete_all() deletes all exchanges; callers get no response. */
void at_exchange_delete_all(at_node_t *node);

/*
 * at_refuse() sends the HTTP status and JSON body of reason, counts the refusal
 * and adds it to the history. verdict may be weaker than the usual verdict of
 * reason. retry_after_ms is stated in the body and, if it is not 0, in a
 * Retry-After header.
 */
void at_refuse(at_node_t *node, at_httpd_request_t *request, at_reason_t reason,
    at_verdict_t verdict, uint32_t retry_after_ms);

#endif
