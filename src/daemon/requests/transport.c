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
release_backend(transport_t *t, outcome_t outcome, at_execution_end_t end)
{
	at_node_t *node = t->x->node;
	at_backend_t *b = at_backends_find(node->backends, t->backend.text);

	at_routing_note_ended(t, outcome == OUTCOME_FAILED);
	at_suspects_end_execution(
	    node->suspects, t->execution, end, at_clock_now_ms());
	t->execution = NULL;
	if (b == NULL)
		return;
	b->outstanding--;
	if (outcome == OUTCOME_FAILED) {
		b->failures++;
	} else if (outcome == OUTCOME_SUCCESS) {
		b->failures = 0;
		b->is_down = 0;
	}
}

static void
on_sending(void *ctx)
{
	transport_t *t = ctx;

	at_attempts_on_sending(t->x->attempts, t->number, at_clock_now_ms());
	exchange_process(t->x);
}

static at_response_kind_t
response_kind(const transport_t *t)
{
	int events =
	    strncmp(t->content_type, EVENT_STREAM, strlen(EVENT_STREAM)) == 0;

	if (t->x->kind != AT_INSTANCE_ENGINE)
		return events ? AT_RESPONSE_STREAMED : AT_RESPONSE_BUFFERED;
	if (t->http_status != 200)
		return AT_RESPONSE_BUFFERED;
	return events ? AT_RESPONSE_EVENTS : AT_RESPONSE_JSON;
}

/* Receives the validated bytes of the response. */
static void
on_validated(void *ctx, const char *data, size_t len)
{
	transport_t *t = ctx;
	exchange_t *x = t->x;

	x->chunk = data;
	x->chunk_len = len;
	at_routing_note_first_token(t);
	at_attempts_on_data(x->attempts, t->number, at_clock_now_ms());
	exchange_process(x);
	x->chunk = NULL;
	x->chunk_len = 0;
}

/* Whether the response carries the id of another request. */
static int
is_foreign(const transport_t *t, at_transfer_t *transfer)
{
	const char *id = at_transfer_header(transfer, "X-Request-Id");

	return id != NULL && strcmp(id, t->id) != 0;
}

/* Whether the end of the body can be told from a lost connection. */
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
	transport_t *t = ctx;
	const char *content_type = at_transfer_header(transfer, "Content-Type");

	t->http_status = http_status;
	if (http_status == NOT_RUN_STATUS &&
	    at_transfer_header(transfer, "X-Not-Run") != NULL) {
		t->is_refused = 1;
		return;
	}
	(void)snprintf(t->content_type, sizeof(t->content_type), "%s",
	    content_type == NULL ? "application/json" : content_type);
	if (is_foreign(t, transfer))
		t->fault = AT_REASON_CROSSED;
	else if (!has_framing(transfer, http_status))
		t->fault = AT_REASON_TRUNCATED;
	t->response = at_response_new();
	if (t->response == NULL ||
	    at_response_init(t->response, response_kind(t), t->id) != 0) {
		t->fault = AT_REASON_INTERNAL;
		return;
	}
	at_response_set_sink(t->response, on_validated, t);
	at_attempts_on_headers(t->x->attempts, t->number, at_clock_now_ms());
	exchange_process(t->x);
}

/* Ends an attempt whose response is not valid. */
static void
fail_attempt(transport_t *t, at_reason_t reason)
{
	exchange_t *x = t->x;

	transport_cancel(t, 1);
	at_attempts_on_failed(x->attempts, t->number, reason,
	    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
	exchange_process(x);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	transport_t *t = ctx;
	exchange_t *x = t->x;

	if (t->is_refused)
		return 0;
	at_attempts_on_headers(x->attempts, t->number, at_clock_now_ms());
	if (t->fault == AT_REASON_NONE)
		t->fault = at_response_feed(t->response, data, len);
	if (t->fault != AT_REASON_NONE) {
		fail_attempt(t, t->fault);
		return 0;
	}
	exchange_process(x);
	if (!x->is_paused || at_attempts_delivered(x->attempts) != t->number)
		return 0;
	at_attempts_on_paused(x->attempts, t->number, 1, at_clock_now_ms());
	exchange_process(x);
	return 1;
}

/* Checks that the response of a complete transfer is complete, too. */
static void
check_complete(transport_t *t)
{
	exchange_t *x = t->x;
	uint64_t now_ms = at_clock_now_ms();

	t->is_received = 1;
	if (t->is_refused) {
		at_attempts_on_refused(x->attempts, t->number, now_ms);
		return;
	}
	if (t->fault == AT_REASON_NONE)
		t->fault = at_response_end(t->response);
	if (t->fault == AT_REASON_NONE)
		at_attempts_on_complete(x->attempts, t->number, now_ms);
	else
		at_attempts_on_failed(x->attempts, t->number, t->fault,
		    AT_VERDICT_MAY_HAVE_RUN, now_ms);
}

static at_execution_end_t
execution_end(const transport_t *t, const at_transfer_result_t *result)
{
	if (t->is_refused || result->verdict == AT_VERDICT_NOT_RUN)
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
check_crash(const transport_t *t, const at_transfer_result_t *result)
{
	at_node_t *node = t->x->node;
	at_backend_t *b = at_backends_find(node->backends, t->backend.text);

	if (b == NULL)
		return;
	if (result->reason == AT_REASON_CONNECT_FAILED)
		at_crashes_note_unreachable(node, b);
	else if (execution_end(t, result) == AT_EXECUTION_CONNECTION_LOST)
		at_crashes_note_connection_lost(node, b);
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	transport_t *t = ctx;
	exchange_t *x = t->x;

	t->transfer = NULL;
	if (result->resend_count > 0)
		at_counters_add(x->node->counters, "hidden_resends_total", NULL,
		    NULL, result->resend_count);
	release_backend(t,
	    result->is_complete ? OUTCOME_SUCCESS : OUTCOME_FAILED,
	    execution_end(t, result));
	check_crash(t, result);
	if (result->is_complete)
		check_complete(t);
	else if (t->is_refused)
		at_attempts_on_refused(
		    x->attempts, t->number, at_clock_now_ms());
	else
		at_attempts_on_failed(x->attempts, t->number, result->reason,
		    result->verdict, at_clock_now_ms());
	exchange_process(x);
}

static at_transfer_t *
begin_transfer(transport_t *t, const char *address, int new_connection)
{
	exchange_t *x = t->x;
	char url[URL_SIZE];
	char id[HEADER_SIZE];
	char content_type[HEADER_SIZE];
	char key[HEADER_SIZE];
	const char *headers[4] = {id, content_type, NULL, NULL};
	/* No time-outs are set: the attempts enforce them. */
	const at_transfer_spec_t spec = {.method = x->method,
	    .url = url,
	    .headers = headers,
	    .body = x->body,
	    .body_len = x->body_len,
	    .new_connection = new_connection,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {.on_headers = on_headers,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = t};

	(void)snprintf(url, sizeof(url), "http://%s%s", address, x->path);
	(void)snprintf(id, sizeof(id), "X-Request-Id: %s", t->id);
	(void)snprintf(content_type, sizeof(content_type), "Content-Type: %s",
	    x->content_type);
	if (x->idempotency_key[0] != '\0') {
		(void)snprintf(key, sizeof(key), "Idempotency-Key: %s",
		    x->idempotency_key);
		headers[2] = key;
	}
	return at_httpc_start(x->node->httpc, &spec, &events);
}

static at_reason_t
choose_service_backend(const transport_t *t, at_backend_t **b)
{
	const exchange_t *x = t->x;

	if (x->avoids_suspects)
		at_crashes_exclude_backends(x->node, &x->fingerprint);
	*b = at_backends_choose(x->node->backends, x->target.text,
	    &x->node->data_centre,
	    t->number > 0 ? &x->transports[t->number - 1].backend : NULL);
	if (x->avoids_suspects)
		at_crashes_include_backends(x->node);
	return *b == NULL ? AT_REASON_NO_BACKEND : AT_REASON_NONE;
}

static at_reason_t
choose_backend(transport_t *t, at_backend_t **b)
{
	if (t->x->kind == AT_INSTANCE_ENGINE)
		return at_routing_choose(t, b);
	return choose_service_backend(t, b);
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
 * isolated or blocked: then it is refused.
 */
static void
wait_or_refuse(transport_t *t, const at_action_t *action, at_reason_t reason)
{
	exchange_t *x = t->x;
	uint64_t now_ms = at_clock_now_ms();
	at_backend_t *b;
	int is_blocked_by_suspects;

	x->avoids_suspects = 0;
	is_blocked_by_suspects = reason == AT_REASON_NO_BACKEND &&
				 choose_backend(t, &b) == AT_REASON_NONE;
	if (is_blocked_by_suspects &&
	    is_restricted(at_suspects_check(
		x->node->suspects, &x->fingerprint, now_ms))) {
		reason = AT_REASON_CRASHES_BACKEND;
	} else if (is_blocked_by_suspects) {
		x->is_waiting = 1;
		x->waiting_action = *action;
		x->node->waiting_exchanges++;
		return;
	}
	at_attempts_on_not_placed(x->attempts, action->attempt, reason, now_ms);
}

static void
begin_attempt(
    transport_t *t, at_backend_t *b, int new_connection, uint64_t now_ms)
{
	exchange_t *x = t->x;

	t->backend = b->instance.name;
	b->outstanding++;
	at_routing_note_sent(t);
	t->execution = at_suspects_begin_execution(
	    x->node->suspects, &x->fingerprint, &t->backend, now_ms);
	t->transfer = begin_transfer(t, b->instance.address,
	    new_connection || now_ms < b->avoid_pool_until_ms);
	if (t->transfer != NULL) {
		at_transfer_set_sending_handler(t->transfer, on_sending);
		return;
	}
	release_backend(t, OUTCOME_UNKNOWN, AT_EXECUTION_NOT_RUN);
	at_attempts_on_failed(x->attempts, t->number, AT_REASON_INTERNAL,
	    AT_VERDICT_NOT_RUN, now_ms);
}

void
transport_start(exchange_t *x, const at_action_t *action)
{
	uint32_t k = action->attempt;
	transport_t *t = &x->transports[k];
	uint64_t now_ms = at_clock_now_ms();
	at_backend_t *b;
	at_reason_t reason;

	x->transport_count = k + 1;
	t->x = x;
	t->number = k;
	(void)snprintf(t->id, sizeof(t->id), "%s-%u", x->id, k);
	x->avoids_suspects = !at_suspects_is_unrestricted(x->node->suspects);
	reason = choose_backend(t, &b);
	if (reason != AT_REASON_NONE)
		wait_or_refuse(t, action, reason);
	else if (at_attempts_on_placed(x->attempts, k, &b->budget, now_ms) == 0)
		begin_attempt(t, b, action->new_connection, now_ms);
}

void
transport_cancel(transport_t *t, int failed)
{
	if (t->transfer == NULL)
		return;
	at_transfer_cancel(t->transfer);
	t->transfer = NULL;
	release_backend(t, failed ? OUTCOME_FAILED : OUTCOME_UNKNOWN,
	    AT_EXECUTION_CANCELLED);
}

void
transport_free(transport_t *t)
{
	transport_cancel(t, 0);
	at_response_delete(t->response);
	t->response = NULL;
}
