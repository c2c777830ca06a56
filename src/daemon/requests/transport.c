#include "daemon/routing/routing.h"

#include <stdio.h>
#include <string.h>

#include "daemon/requests/crashes.h"
#include "io/clock.h"

#define URL_SIZE 512
#define HEADER_SIZE 256
#define NOT_RUN_STATUS 503 /* with X-Not-Run: refused before it ran */
#define EVENT_STREAM "text/event-stream"

/* What an ended attempt says of its backend server. */
typedef enum outcome {
	OUTCOME_WELL,
	OUTCOME_FAILED,
	OUTCOME_UNKNOWN /* we ended it for reasons of our own */
} outcome_t;

static void
release_backend(transport_t *t, outcome_t outcome, at_execution_end_t end)
{
	at_node_t *node = t->x->node;
	at_backend_t *b = at_backends_find(node->backends, t->backend.text);

	at_routing_note_ended(t, outcome == OUTCOME_FAILED);
	at_suspects_end_execution(
	    node->suspects, t->flight, end, at_clock_now_ms());
	t->flight = NULL;
	if (b == NULL)
		return;
	b->outstanding--;
	if (outcome == OUTCOME_FAILED) {
		b->failures++;
	} else if (outcome == OUTCOME_WELL) {
		b->failures = 0;
		b->is_down = 0;
	}
}

static void
on_sending(void *ctx)
{
	transport_t *t = ctx;

	at_attempts_on_sending(t->x->machine, t->number, at_clock_now_ms());
	exchange_pump(t->x);
}

static at_response_kind_t
answer_kind(const transport_t *t)
{
	int events =
	    strncmp(t->content_type, EVENT_STREAM, strlen(EVENT_STREAM)) == 0;

	if (t->x->kind != AT_INSTANCE_ENGINE)
		return events ? AT_RESPONSE_STREAMED : AT_RESPONSE_BUFFERED;
	if (t->status != 200)
		return AT_RESPONSE_BUFFERED;
	return events ? AT_RESPONSE_EVENTS : AT_RESPONSE_JSON;
}

/* Proved bytes of this attempt. */
static void
on_proved(void *ctx, const char *data, size_t len)
{
	transport_t *t = ctx;
	exchange_t *x = t->x;

	x->part = data;
	x->part_len = len;
	at_routing_note_first_token(t);
	at_attempts_on_data(x->machine, t->number, at_clock_now_ms());
	exchange_pump(x);
	x->part = NULL;
	x->part_len = 0;
}

/* A backend server that repeats the id repeats ours. */
static int
is_foreign(const transport_t *t, at_transfer_t *transfer)
{
	const char *id = at_transfer_header(transfer, "X-Request-Id");

	return id != NULL && strcmp(id, t->id) != 0;
}

/* Without either of these an end of the connection proves nothing. */
static int
has_framing(at_transfer_t *transfer, int status)
{
	return status == 204 || status == 304 ||
	       at_transfer_header(transfer, "Content-Length") != NULL ||
	       at_transfer_header(transfer, "Transfer-Encoding") != NULL;
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	transport_t *t = ctx;
	const char *type = at_transfer_header(transfer, "Content-Type");

	t->status = status;
	if (status == NOT_RUN_STATUS &&
	    at_transfer_header(transfer, "X-Not-Run") != NULL) {
		t->refused = 1;
		return;
	}
	(void)snprintf(t->content_type, sizeof(t->content_type), "%s",
	    type == NULL ? "application/json" : type);
	if (is_foreign(t, transfer))
		t->fault = AT_REASON_CROSSED;
	else if (!has_framing(transfer, status))
		t->fault = AT_REASON_TRUNCATED;
	t->answer = at_response_new();
	if (t->answer == NULL ||
	    at_response_init(t->answer, answer_kind(t), t->id) != 0) {
		t->fault = AT_REASON_INTERNAL;
		return;
	}
	at_response_set_sink(t->answer, on_proved, t);
	at_attempts_on_headers(t->x->machine, t->number, at_clock_now_ms());
	exchange_pump(t->x);
}

/* Ends an attempt whose answer is not ours or cannot become whole. */
static void
fail(transport_t *t, at_reason_t reason)
{
	exchange_t *x = t->x;

	transport_cancel(t, 1);
	at_attempts_on_failed(x->machine, t->number, reason,
	    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
	exchange_pump(x);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	transport_t *t = ctx;
	exchange_t *x = t->x;

	if (t->refused)
		return 0;
	at_attempts_on_headers(x->machine, t->number, at_clock_now_ms());
	if (t->fault == AT_REASON_NONE)
		t->fault = at_response_feed(t->answer, data, len);
	if (t->fault != AT_REASON_NONE) {
		fail(t, t->fault);
		return 0;
	}
	exchange_pump(x);
	if (!x->paused || at_attempts_delivered(x->machine) != t->number)
		return 0;
	at_attempts_on_paused(x->machine, t->number, 1, at_clock_now_ms());
	exchange_pump(x);
	return 1;
}

/* The transfer is complete: is the answer? */
static void
end_whole(transport_t *t)
{
	exchange_t *x = t->x;
	uint64_t now_ms = at_clock_now_ms();

	t->ending = 1;
	if (t->refused) {
		at_attempts_on_refused(x->machine, t->number, now_ms);
		return;
	}
	if (t->fault == AT_REASON_NONE)
		t->fault = at_response_end(t->answer);
	if (t->fault == AT_REASON_NONE)
		at_attempts_on_complete(x->machine, t->number, now_ms);
	else
		at_attempts_on_failed(x->machine, t->number, t->fault,
		    AT_VERDICT_MAY_HAVE_RUN, now_ms);
}

static at_execution_end_t
flight_end(const transport_t *t, const at_transfer_result_t *result)
{
	if (t->refused || result->verdict == AT_VERDICT_NOT_RUN)
		return AT_EXECUTION_NOT_RUN;
	if (result->is_complete)
		return AT_EXECUTION_COMPLETED;
	if (result->reason == AT_REASON_BACKEND_RESET ||
	    result->reason == AT_REASON_TRUNCATED)
		return AT_EXECUTION_CONNECTION_LOST;
	return AT_EXECUTION_CANCELLED;
}

/* Has the question answered whether the backend server crashed. */
static void
look_into(const transport_t *t, const at_transfer_result_t *result)
{
	at_node_t *node = t->x->node;
	at_backend_t *b = at_backends_find(node->backends, t->backend.text);

	if (b == NULL)
		return;
	if (result->reason == AT_REASON_CONNECT_FAILED)
		at_crashes_note_unreachable(node, b);
	else if (flight_end(t, result) == AT_EXECUTION_CONNECTION_LOST)
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
	release_backend(t, result->is_complete ? OUTCOME_WELL : OUTCOME_FAILED,
	    flight_end(t, result));
	look_into(t, result);
	if (result->is_complete)
		end_whole(t);
	else if (t->refused)
		at_attempts_on_refused(
		    x->machine, t->number, at_clock_now_ms());
	else
		at_attempts_on_failed(x->machine, t->number, result->reason,
		    result->verdict, at_clock_now_ms());
	exchange_pump(x);
}

static at_transfer_t *
begin_transfer(transport_t *t, const char *address, int fresh)
{
	exchange_t *x = t->x;
	char url[URL_SIZE];
	char id[HEADER_SIZE];
	char type[HEADER_SIZE];
	char key[HEADER_SIZE];
	const char *headers[4] = {id, type, NULL, NULL};
	/* The machine keeps the limits. */
	const at_transfer_spec_t spec = {.method = x->method,
	    .url = url,
	    .headers = headers,
	    .body = x->body,
	    .body_len = x->body_len,
	    .new_connection = fresh,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {.on_headers = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = t};

	(void)snprintf(url, sizeof(url), "http://%s%s", address, x->path);
	(void)snprintf(id, sizeof(id), "X-Request-Id: %s", t->id);
	(void)snprintf(type, sizeof(type), "Content-Type: %s", x->content_type);
	if (x->idempotency_key[0] != '\0') {
		(void)snprintf(key, sizeof(key), "Idempotency-Key: %s",
		    x->idempotency_key);
		headers[2] = key;
	}
	return at_httpc_start(x->node->httpc, &spec, &events);
}

static at_reason_t
choose_service(const transport_t *t, at_backend_t **b)
{
	const exchange_t *x = t->x;

	if (x->barring)
		at_crashes_exclude_backends(x->node, &x->fingerprint);
	*b = at_backends_choose(x->node->backends, x->target.text,
	    &x->node->data_centre,
	    t->number > 0 ? &x->transports[t->number - 1].backend : NULL);
	if (x->barring)
		at_crashes_include_backends(x->node);
	return *b == NULL ? AT_REASON_NO_BACKEND : AT_REASON_NONE;
}

static at_reason_t
choose(transport_t *t, at_backend_t **b)
{
	if (t->x->kind == AT_INSTANCE_ENGINE)
		return at_routing_choose(t, b);
	return choose_service(t, b);
}

static int
is_grave(at_suspicion_t suspicion)
{
	return suspicion == AT_SUSPICION_ISOLATED ||
	       suspicion == AT_SUSPICION_PENDING ||
	       suspicion == AT_SUSPICION_BLOCKED;
}

/*
 * No backend server can take it now. When it is only kept away from suspects
 * it waits; when it is itself under grave suspicion it is given up.
 */
static void
wait_or_give_up(transport_t *t, const at_action_t *action, at_reason_t reason)
{
	exchange_t *x = t->x;
	uint64_t now_ms = at_clock_now_ms();
	at_backend_t *b;
	int barred;

	x->barring = 0;
	barred =
	    reason == AT_REASON_NO_BACKEND && choose(t, &b) == AT_REASON_NONE;
	if (barred && is_grave(at_suspects_check(
			  x->node->suspects, &x->fingerprint, now_ms))) {
		reason = AT_REASON_CRASHES_BACKEND;
	} else if (barred) {
		x->waiting = 1;
		x->waiting_action = *action;
		x->node->waiting_exchanges++;
		return;
	}
	at_attempts_on_not_placed(x->machine, action->attempt, reason, now_ms);
}

static void
begin_attempt(transport_t *t, at_backend_t *b, int fresh, uint64_t now_ms)
{
	exchange_t *x = t->x;

	t->backend = b->instance.name;
	b->outstanding++;
	at_routing_note_sent(t);
	t->flight = at_suspects_begin_execution(
	    x->node->suspects, &x->fingerprint, &t->backend, now_ms);
	t->transfer = begin_transfer(
	    t, b->instance.address, fresh || now_ms < b->fresh_until_ms);
	if (t->transfer != NULL) {
		at_transfer_set_sending(t->transfer, on_sending);
		return;
	}
	release_backend(t, OUTCOME_UNKNOWN, AT_EXECUTION_NOT_RUN);
	at_attempts_on_failed(x->machine, t->number, AT_REASON_INTERNAL,
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
	x->barring = !at_suspects_is_unrestricted(x->node->suspects);
	reason = choose(t, &b);
	if (reason != AT_REASON_NONE)
		wait_or_give_up(t, action, reason);
	else if (at_attempts_on_placed(x->machine, k, &b->budget, now_ms) == 0)
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
	at_response_delete(t->answer);
	t->answer = NULL;
}
