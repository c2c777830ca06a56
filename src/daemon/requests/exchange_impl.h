/*
 * exchange_impl.h - what exchange.c (the request and its caller) and
 * transport.c (its attempts and their backend servers) share.
 */
#ifndef ALMONDTHREAD_DAEMON_EXCHANGE_IMPL_H
#define ALMONDTHREAD_DAEMON_EXCHANGE_IMPL_H

#include "almondthread/response.h"
#include "almondthread/attempt.h"
#include "almondthread/router.h"
#include "daemon/requests/exchange.h"

#define ATTEMPT_ID_SIZE (AT_REQUEST_ID_SIZE + 8u) /* "-" and a number */
#define TYPE_SIZE 128u                            /* of a content type */

typedef struct exchange exchange_t;

/* One attempt's way to a backend server. */
typedef struct transport {
	exchange_t *x;
	uint32_t number;
	at_name_t backend;
	char id[ATTEMPT_ID_SIZE];
	at_transfer_t *transfer;
	at_execution_t *flight;
	at_response_t *answer;
	int status;
	char content_type[TYPE_SIZE];
	int refused;              /* by contract, before running */
	int ending;               /* the transfer was complete */
	at_reason_t fault;        /* found in the answer */
	at_route_choice_t choice; /* of an engine */
	uint64_t sent_at_ms;
	int routed; /* the router counts it */
	int first_token_seen;
} transport_t;

struct exchange {
	exchange_t *next;
	exchange_t *prev;
	at_node_t *node;
	at_httpd_request_t *request; /* NULL once the caller is gone */
	char id[AT_REQUEST_ID_SIZE];
	at_instance_kind_t kind;
	at_name_t target;
	at_name_t workspace;
	char method[16];
	char *path;
	char content_type[TYPE_SIZE];
	char idempotency_key[128];
	char *body;
	size_t body_len;
	at_repeat_t repeat;
	at_exchange_done_t on_done;
	void *done_ctx;
	at_attempts_t *machine;
	at_budget_t *budget; /* of the workspace */
	at_fingerprint_t fingerprint;
	int barring; /* keep to where suspects allow it */
	int waiting; /* for a backend server free of suspects */
	at_action_t waiting_action;
	transport_t transports[AT_ATTEMPTS_MAX];
	uint32_t transport_count;
	ev_timer timer;
	uint64_t timer_due_ms;
	const char *part; /* proved bytes while they are delivered */
	size_t part_len;
	int pumping;
	int answered; /* the caller's answer has begun */
	int replied;  /* and is complete */
	int paused;   /* the caller reads slowly */
	int over;
};

/* Carries out what the machine asks for. */
void exchange_pump(exchange_t *x);

/* transport.c: begins attempt k, or tells the machine why not. */
void transport_start(exchange_t *x, const at_action_t *action);
/* Ends an attempt; failed says whether its backend server is to blame. */
void transport_cancel(transport_t *t, int failed);
void transport_free(transport_t *t);

#endif
