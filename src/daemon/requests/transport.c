#include "daemon/routing/routing.h"

#include <stdio.h>
#include <string.h>

#include "daemon/requests/crashes.h"
#include "io/clock.h"

#define URL_SIZE 512
#define HEADER_SIZE 256
#define NOT_RUN_STATUS 503 /* with X-Not-Run: the request was not run */
#define EVENT_STREAM "text/event-stream"

/* How an ended attempt counts for its backend server. */
typedef enum outcome {
	OUTCOME_SUCCESS,
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN /* ended by this instance */
} outcome_t;

static void
release_backend(
    transport_t *transport, outcome_t outcome, at_execution_end_t end)
{
	at_node_t *node = transport->exchange->node;
	at_backend_t *backend =
	    at_backends_find(node->backends, transport->backend.text);

	at_routing_note_ended(transport, outcome == OUTCOME_FAILED);
	at_suspects_end_execution(
	    node->suspects, transport->execution, end, at_clock_now_ms());
	transport->execution = NULL;
	if (backend == NULL)
		return;
	backend->outstanding--;
	if (outcome == OUTCOME_FAILED) {
		backend->failures++;
	} else if (outcome == OUTCOME_SUCCESS) {
		backend->failures = 0;
		backend->is_down = 0;
	}
}

static void
on_sending(void *ctx)
{
	transport_t *transport = ctx;

	at_attempts_on_sending(transport->exchange->attempts, transport->number,
	    at_clock_now_ms());
	exchange_process(transport->exchange);
}

static at_response_kind_t
response_kind(const transport_t *transport)
{
	int events = strncmp(transport->content_type, EVENT_STREAM,
			 strlen(EVENT_STREAM)) == 0;

	if (transport->exchange->kind != AT_INSTANCE_ENGINE)
		return events ? AT_RESPONSE_STREAMED : AT_RESPONSE_BUFFERED;
	if (transport->http_status != 200)
		return AT_RESPONSE_BUFFERED;
	return events ? AT_RESPONSE_EVENTS : AT_RESPONSE_JSON;
}

/* Receives the validated bytes of the response. */
static void
on_validated(void *ctx, const char *data, size_t len)
{
	transport_t *transport = ctx;
	exchange_t *exchange = transport->exchange;

	exchange->chunk = data;
	exchange->chunk_len = len;
	at_routing_note_first_token(transport);
	at_attempts_on_data(
	    exchange->attempts, transport->number, at_clock_now_ms());
	exchange_process(exchange);
	exchange->chunk = NULL;
	exchange->chunk_len = 0;
}

/* Returns whether the response carries the id of another request. */
static int
is_foreign(const transport_t *transport, at_transfer_t *transfer)
{
	const char *id = at_transfer_header(transfer, "X-Request-Id");

	return id != NULL && strcmp(id, transport->id) != 0;
}

/* Returns whether the end of the body can be told from a lost connection. */
static int
has_framing(at_transfer_t *transfer, int http_status)
{
	return http_status == 204 || http_status == 304 ||
	       at_transfer_header(transfer, "Content-Length") != NULL ||
	       at_transfer_header(transfer, "Transfer-Encoding") != NULL;
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int http_status)
{
	transport_t *transport = ctx;
	const char *content_type = at_transfer_header(transfer, "Content-Type");

	transport->http_status = http_status;
	/* The refusal of another request says nothing about this one. */
	if (http_status == NOT_RUN_STATUS && !is_foreign(transport, transfer) &&
	    at_transfer_header(transfer, "X-Not-Run") != NULL) {
		transport->is_refused = 1;
		return;
	}
	(void)snprintf(transport->content_type, sizeof(transport->content_type),
	    "%s", content_type == NULL ? "application/json" : content_type);
	if (is_foreign(transport, transfer))
		transport->fault = AT_REASON_CROSSED;
	else if (!has_framing(transfer, http_status))
		transport->fault = AT_REASON_TRUNCATED;
	transport->response = at_response_new();
	if (transport->response == NULL ||
	    at_response_init(transport->response, response_kind(transport),
		transport->id) != 0) {
		transport->fault = AT_REASON_INTERNAL;
		return;
	}
	at_response_set_sink(transport->response, on_validated, transport);
	at_attempts_on_headers(transport->exchange->attempts, transport->number,
	    at_clock_now_ms());
	exchange_process(transport->exchange);
}

/* Ends an attempt whose response is not valid. */
static void
fail_attempt(transport_t *transport, at_reason_t reason)
{
	exchange_t *exchange = transport->exchange;

	transport_cancel(transport, 1);
	at_attempts_on_failed(exchange->attempts, transport->number, reason,
	    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
	exchange_process(exchange);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	transport_t *transport = ctx;
	exchange_t *exchange = transport->exchange;

	if (transport->is_refused)
		return 0;
	at_attempts_on_headers(
	    exchange->attempts, transport->number, at_clock_now_ms());
	if (transport->fault == AT_REASON_NONE)
		transport->fault =
		    at_response_feed(transport->response, data, len);
	if (transport->fault != AT_REASON_NONE) {
		fail_attempt(transport, transport->fault);
		return 0;
	}
	exchange_process(exchange);
	if (!exchange->is_paused ||
	    at_attempts_delivered(exchange->attempts) != transport->number)
		return 0;
	at_attempts_on_paused(
	    exchange->attempts, transport->number, 1, at_clock_now_ms());
	exchange_process(exchange);
	return 1;
}

/* Checks that the response of a complete transfer is complete, too. */
static void
check_complete(transport_t *transport)
{
	exchange_t *exchange = transport->exchange;
	uint64_t now_ms = at_clock_now_ms();

	transport->is_received = 1;
	if (transport->is_refused) {
		at_attempts_on_refused(
		    exchange->attempts, transport->number, now_ms);
		return;
	}
	if (transport->fault == AT_REASON_NONE)
		transport->fault = at_response_end(transport->response);
	if (transport->fault == AT_REASON_NONE)
		at_attempts_on_complete(
		    exchange->attempts, transport->number, now_ms);
	else
		at_attempts_on_failed(exchange->attempts, transport->number,
		    transport->fault, AT_VERDICT_MAY_HAVE_RUN, now_ms);
}

static at_execution_end_t
execution_end(const transport_t *transport, const at_transfer_result_t *result)
{
	if (transport->is_refused || result->verdict == AT_VERDICT_NOT_RUN)
		return AT_EXECUTION_NOT_RUN;
	if (result->is_complete)
		return AT_EXECUTION_COMPLETED;
	if (result->reason == AT_REASON_BACKEND_RESET ||
	    result->reason == AT_REASON_TRUNCATED)
		return AT_EXECUTION_CONNECTION_LOST;
	return AT_EXECUTION_CANCELLED;
}

/* Checks whether the failed transfer was caused by a crash. */
static void
check_crash(const transport_t *transport, const at_transfer_result_t *result)
{
	at_node_t *node = transport->exchange->node;
	at_backend_t *backend =
	    at_backends_find(node->backends, transport->backend.text);

	if (backend == NULL)
		return;
	if (result->reason == AT_REASON_CONNECT_FAILED)
		at_crashes_note_unreachable(node, backend);
	else if (execution_end(transport, result) ==
		 AT_EXECUTION_CONNECTION_LOST)
		at_crashes_note_connection_lost(node, backend);
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	transport_t *transport = ctx;
	exchange_t *exchange = transport->exchange;

	transport->transfer = NULL;
	if (result->resend_count > 0)
		at_counters_add(exchange->node->counters,
		    "hidden_resends_total", NULL, NULL, result->resend_count);
	release_backend(transport,
	    result->is_complete ? OUTCOME_SUCCESS : OUTCOME_FAILED,
	    execution_end(transport, result));
	check_crash(transport, result);
	if (result->is_complete)
		check_complete(transport);
	else if (transport->is_refused)
		at_attempts_on_refused(
		    exchange->attempts, transport->number, at_clock_now_ms());
	else
		at_attempts_on_failed(exchange->attempts, transport->number,
		    result->reason, result->verdict, at_clock_now_ms());
	exchange_process(exchange);
}

static at_transfer_t *
begin_transfer(transport_t *transport, const char *address, int new_connection)
{
	exchange_t *exchange = transport->exchange;
	char url[URL_SIZE];
	char id[HEADER_SIZE];
	char content_type[HEADER_SIZE];
	char key[HEADER_SIZE];
	const char *headers[4] = {id, content_type, NULL, NULL};
	/* No timeouts are set: the attempts enforce them. */
	const at_transfer_spec_t spec = {.method = exchange->method,
	    .url = url,
	    .headers = headers,
	    .shared_body = exchange->body,
	    .new_connection = new_connection,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {.on_headers = on_headers,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = transport};

	(void)snprintf(
	    url, sizeof(url), "http://%s%s", address, exchange->path);
	(void)snprintf(id, sizeof(id), "X-Request-Id: %s", transport->id);
	(void)snprintf(content_type, sizeof(content_type), "Content-Type: %s",
	    exchange->content_type);
	if (exchange->idempotency_key[0] != '\0') {
		(void)snprintf(key, sizeof(key), "Idempotency-Key: %s",
		    exchange->idempotency_key);
		headers[2] = key;
	}
	return at_httpc_start(exchange->node->httpc, &spec, &events);
}

static at_reason_t
choose_service_backend(const transport_t *transport, at_backend_t **backend)
{
	const exchange_t *exchange = transport->exchange;

	if (exchange->avoids_suspects)
		at_crashes_exclude_backends(
		    exchange->node, &exchange->fingerprint);
	*backend = at_backends_choose(exchange->node->backends,
	    exchange->target.text, &exchange->node->data_centre,
	    transport->number > 0
		? &exchange->transports[transport->number - 1].backend
		: NULL);
	if (exchange->avoids_suspects)
		at_crashes_include_backends(exchange->node);
	return *backend == NULL ? AT_REASON_NO_BACKEND : AT_REASON_NONE;
}

static at_reason_t
choose_backend(transport_t *transport, at_backend_t **backend)
{
	if (!at_httpc_has_room(transport->exchange->node->httpc))
		return AT_REASON_NO_CONNECTION;
	if (transport->exchange->kind == AT_INSTANCE_ENGINE)
		return at_routing_choose(transport, backend);
	return choose_service_backend(transport, backend);
}

static int
is_restricted(at_suspicion_t suspicion)
{
	return suspicion == AT_SUSPICION_ISOLATED ||
	       suspicion == AT_SUSPICION_PENDING ||
	       suspicion == AT_SUSPICION_BLOCKED;
}

/*
 * Handles a request for which no backend server was found. If one exists, but
 * is excluded because of suspects, the request waits, unless it is itself
 * isolated, pending or blocked: then it is refused.
 */
static void
wait_or_refuse(
    transport_t *transport, const at_action_t *action, at_reason_t reason)
{
	exchange_t *exchange = transport->exchange;
	uint64_t now_ms = at_clock_now_ms();
	at_backend_t *backend;
	int is_blocked_by_suspects;

	exchange->avoids_suspects = 0;
	is_blocked_by_suspects =
	    reason == AT_REASON_NO_BACKEND &&
	    choose_backend(transport, &backend) == AT_REASON_NONE;
	if (is_blocked_by_suspects &&
	    is_restricted(at_suspects_check(
		exchange->node->suspects, &exchange->fingerprint, now_ms))) {
		reason = AT_REASON_CRASHES_BACKEND;
	} else if (is_blocked_by_suspects) {
		exchange->is_waiting = 1;
		exchange->waiting_action = *action;
		exchange->node->waiting_exchanges++;
		return;
	}
	at_attempts_on_not_placed(
	    exchange->attempts, action->attempt, reason, now_ms);
}

static void
begin_attempt(transport_t *transport, at_backend_t *backend, int new_connection,
    uint64_t now_ms)
{
	exchange_t *exchange = transport->exchange;

	transport->backend = backend->instance.name;
	backend->outstanding++;
	at_routing_note_sent(transport);
	transport->execution =
	    at_suspects_begin_execution(exchange->node->suspects,
		&exchange->fingerprint, &transport->backend, now_ms);
	transport->transfer =
	    begin_transfer(transport, backend->instance.address,
		new_connection || now_ms < backend->avoid_pool_until_ms);
	if (transport->transfer != NULL) {
		at_transfer_set_sending_handler(
		    transport->transfer, on_sending);
		return;
	}
	release_backend(transport, OUTCOME_UNKNOWN, AT_EXECUTION_NOT_RUN);
	at_attempts_on_failed(exchange->attempts, transport->number,
	    AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN, now_ms);
}

void
transport_start(exchange_t *exchange, const at_action_t *action)
{
	uint32_t k = action->attempt;
	transport_t *transport = &exchange->transports[k];
	uint64_t now_ms = at_clock_now_ms();
	at_backend_t *backend;
	at_reason_t reason;

	exchange->transport_count = k + 1;
	transport->exchange = exchange;
	transport->number = k;
	(void)snprintf(
	    transport->id, sizeof(transport->id), "%s-%u", exchange->id, k);
	exchange->avoids_suspects =
	    !at_suspects_is_unrestricted(exchange->node->suspects);
	reason = choose_backend(transport, &backend);
	if (reason != AT_REASON_NONE)
		wait_or_refuse(transport, action, reason);
	else if (at_attempts_on_placed(
		     exchange->attempts, k, &backend->budget, now_ms) == 0)
		begin_attempt(
		    transport, backend, action->new_connection, now_ms);
}

void
transport_cancel(transport_t *transport, int failed)
{
	if (transport->transfer == NULL)
		return;
	at_transfer_cancel(transport->transfer);
	transport->transfer = NULL;
	release_backend(transport, failed ? OUTCOME_FAILED : OUTCOME_UNKNOWN,
	    AT_EXECUTION_CANCELLED);
}

void
transport_free(transport_t *transport)
{
	transport_cancel(transport, 0);
	at_response_delete(transport->response);
	transport->response = NULL;
}
