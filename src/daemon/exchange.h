/*
 * exchange.h - one caller's request on its way to a backend server and back.
 */
#ifndef ALMONDTHREAD_DAEMON_EXCHANGE_H
#define ALMONDTHREAD_DAEMON_EXCHANGE_H

#include "daemon/node.h"

#define AT_REQUEST_ID_SIZE (AT_HTTPD_ID_DIGITS + 1) /* with the NUL */

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
} at_exchange_spec_t;

/* at_exchange_start() runs the request and answers the caller. */
void at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec);

/*
 * at_refuse() answers with the documented status and body of a reason and
 * counts it. verdict may be weaker than the reason's own.
 */
void at_refuse(at_node_t *node, at_httpd_request_t *request, at_reason_t reason,
    at_verdict_t verdict, uint32_t retry_after_ms);

#endif
