/*
 * exchange.h - one caller's request on its way to a backend server and back.
 *
 * An exchange owns an attempt machine and one transfer for each attempt. It
 * answers the caller exactly once: with the whole answer, with a refusal, or
 * with a stream that ends as an error no client takes for whole.
 */
#ifndef ALMONDTHREAD_DAEMON_EXCHANGE_H
#define ALMONDTHREAD_DAEMON_EXCHANGE_H

#include "daemon/node/node.h"

#define AT_REQUEST_ID_SIZE (AT_HTTPD_ID_DIGITS + 1) /* with the NUL */

/* How an exchange ended; the body is lent for the call. */
typedef struct at_exchange_end {
	at_verdict_t verdict;
	at_reason_t reason;
	int http_status;          /* of the answer, 0 without one */
	const char *content_type; /* of the answer, or NULL */
	const char *body;         /* of an answer sent whole, or NULL */
	size_t body_len;
} at_exchange_end_t;

/* Called exactly once, before the caller gets the end of the answer. */
typedef void (*at_exchange_done_t)(void *ctx, const at_exchange_end_t *end);

/* What to run; the texts are copied. */
typedef struct at_exchange_spec {
	at_instance_kind_t kind;
	const char *target;    /* model, adapter or service */
	const char *workspace; /* empty on a route open to all */
	const char *method;
	const char *path; /* with the query, if any */
	const char *content_type;
	const char *idempotency_key; /* may be NULL */
	const void *body;
	size_t body_len;
	at_repeat_t repeat;
	at_priority_t priority;
	uint32_t deadline_ms;
	int stream;
	const char *request_id;     /* without a caller; else NULL */
	at_exchange_done_t on_done; /* may be NULL */
	void *done_ctx;
} at_exchange_spec_t;

/*
 * at_exchange_start() runs the request and answers the caller; request may
 * be NULL for work without a caller, whose spec has a request_id. A request
 * that may not be repeated goes on to its end when its caller is gone.
 */
void at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec);

/* at_exchange_retry_waiting() looks again for a backend server. */
void at_exchange_retry_waiting(at_node_t *node);

/* at_exchange_delete_all() ends what is open; callers are not answered. */
void at_exchange_delete_all(at_node_t *node);

/*
 * at_refuse() answers with the documented status and body of a reason and
 * counts it. verdict may be weaker than the reason's own.
 */
void at_refuse(at_node_t *node, at_httpd_request_t *request, at_reason_t reason,
    at_verdict_t verdict, uint32_t retry_after_ms);

#endif
