/*
 * exchange_impl.h - structures shared by exchange.c, which handles a request
 * and its caller, and transport.c, which runs the attempts on backend servers.
 */
#ifndef ALMONDTHREAD_DAEMON_EXCHANGE_IMPL_H
#define ALMONDTHREAD_DAEMON_EXCHANGE_IMPL_H

#include "almondthread/response.h"
#include "almondthread/attempt.h"
#include "almondthread/router.h"
#include "daemon/requests/exchange.h"

#define ATTEMPT_ID_SIZE (AT_REQUEST_ID_SIZE + 8u) /* "-" and its number */
#define CONTENT_TYPE_SIZE 128u                    /* bytes, with the NUL */

typedef struct exchange exchange_t;

/* One attempt on a backend server. */
typedef struct transport {
	exchange_t *exchange;
	uint32_t number;
	at_name_t backend;
	char id[ATTEMPT_ID_SIZE];
	at_transfer_t *transfer;
	at_execution_t *execution;
	at_response_t *response;
	int http_status;
	char content_type[CONTENT_TYPE_SIZE];
	int is_refused;           /* the backend server did not run it */
	int is_received;          /* all bytes have been received */
	at_reason_t fault;        /* fault of the response */
	at_route_choice_t choice; /* the router's; for engines only */
	uint64_t sent_at_ms;
	int is_routed; /* the router counts it as outstanding */
	int has_first_token;
} transport_t;

struct exchange {
	exchange_t *next;
	exchange_t *prev;
	at_node_t *node;
	at_httpd_request_t *request; /* NULL once the caller has closed */
	char id[AT_REQUEST_ID_SIZE];
	at_instance_kind_t kind;
	at_name_t target;
	at_name_t workspace;
	char method[16];
	char *path;
	char content_type[CONTENT_TYPE_SIZE];
	char idempotency_key[128];
	at_shared_body_t *body; /* NULL: empty */
	at_repeat_t repeat;
	at_exchange_done_t on_done;
	void *done_ctx;
	at_attempts_t *attempts;
	at_budget_t *budget; /* retries of the workspace */
	at_fingerprint_t fingerprint;
	int avoids_suspects; /* only backend servers that suspects allow */
	int is_waiting;      /* no allowed backend server is available */
	at_action_t waiting_action;
	transport_t transports[AT_ATTEMPTS_MAX];
	uint32_t transport_count;
	ev_timer timer;
	uint64_t timer_due_ms;
	const char *chunk; /* validated bytes to deliver, or NULL */
	size_t chunk_len;
	int is_processing;  /* exchange_process() is running */
	int response_begun; /* the response to the caller has begun */
	int response_sent;  /* the response was sent in one piece */
	int is_paused;      /* the caller's send buffer is full */
	int is_finished;    /* the attempts have a result */
};

/* Carries out the actions that the attempts call for. */
void exchange_process(exchange_t *exchange);

/* Starts the attempt of action, or notes why it cannot be placed. */
void transport_start(exchange_t *exchange, const at_action_t *action);
/* Cancels the transfer; failed counts it as a failure of the backend server. */
void transport_cancel(transport_t *transport, int failed);
/* Cancels the transfer and frees what the attempt owns, but not transport. */
void transport_free(transport_t *transport);

#endif
