#include "daemon/requests/exchange_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "almondthread/log.h"
#include "io/clock.h"

#define ATTEMPTS_MAX 3u /* backend servers tried for one request */
/* A hedge starts after this part of the first-byte timeout. */
#define HEDGE_TIMEOUT_DIVISOR 2u

/*
 * After a backend server has not responded in time, its pooled connections are
 * not used until they are too old for reuse (see httpc.c).
 */
#define AVOID_POOL_MS 30000u

/* Frees an exchange that is not linked. */
static void
exchange_free(exchange_t *exchange)
{
	at_attempts_delete(exchange->attempts);
	free(exchange->path);
	at_shared_body_unref(exchange->body);
	free(exchange);
}

static void stop_waiting(exchange_t *exchange);

static void
exchange_delete(exchange_t *exchange)
{
	uint32_t k;

	for (k = 0; k < exchange->transport_count; k++)
		transport_free(&exchange->transports[k]);
	ev_timer_stop(exchange->node->loop, &exchange->timer);
	if (exchange->prev != NULL)
		exchange->prev->next = exchange->next;
	else
		exchange->node->exchanges = exchange->next;
	if (exchange->next != NULL)
		exchange->next->prev = exchange->prev;
	stop_waiting(exchange);
	exchange->node->open_exchanges--;
	at_budgets_release(
	    exchange->node->budgets, exchange->budget, at_clock_now_ms());
	exchange_free(exchange);
}

static void
stop_waiting(exchange_t *exchange)
{
	if (!exchange->is_waiting)
		return;
	exchange->is_waiting = 0;
	exchange->node->waiting_exchanges--;
}

void
at_exchange_retry_waiting(at_node_t *node)
{
	exchange_t *exchange;
	exchange_t *next;

	if (node->waiting_exchanges == 0)
		return;
	for (exchange = node->exchanges; exchange != NULL; exchange = next) {
		next = exchange->next;
		if (!exchange->is_waiting)
			continue;
		stop_waiting(exchange);
		transport_start(exchange, &exchange->waiting_action);
		exchange_process(exchange);
	}
}

void
at_exchange_delete_all(at_node_t *node)
{
	while (node->exchanges != NULL)
		exchange_delete(node->exchanges);
}

/* Sets the timer to the next tick of the attempts. */
static void
set_timer(exchange_t *exchange)
{
	uint64_t due_ms =
	    exchange->is_finished ? 0 : at_attempts_due_ms(exchange->attempts);
	uint64_t now_ms = at_clock_now_ms();
	double wait_s = 0.;

	/* A timer that expires too early is set again. */
	if (ev_is_active(&exchange->timer) && exchange->timer_due_ms <= due_ms)
		return;
	if (due_ms == AT_ATTEMPTS_NO_TIMER)
		return;
	if (due_ms > now_ms)
		wait_s = (double)(due_ms - now_ms) / AT_MS_PER_S;
	ev_timer_stop(exchange->node->loop, &exchange->timer);
	ev_timer_set(&exchange->timer, wait_s, 0.);
	ev_timer_start(exchange->node->loop, &exchange->timer);
	exchange->timer_due_ms = due_ms;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_t *exchange = timer->data;

	(void)loop;
	(void)events;
	if (exchange->is_finished) {
		if (exchange->request == NULL)
			exchange_delete(exchange);
		return;
	}
	at_attempts_tick(exchange->attempts, at_clock_now_ms());
	exchange_process(exchange);
}

/* Has requests to the backend server use new connections for a while. */
static void
avoid_pool(exchange_t *exchange, const transport_t *transport)
{
	at_backend_t *backend =
	    at_backends_find(exchange->node->backends, transport->backend.text);

	if (backend == NULL)
		return;
	if (at_clock_now_ms() >= backend->avoid_pool_until_ms)
		at_log(AT_LOG_WARN, "exchange", exchange->id,
		    "%s does not respond. Its pooled connections are not used "
		    "for 30 s.",
		    transport->backend.text);
	backend->avoid_pool_until_ms = at_clock_now_ms() + AVOID_POOL_MS;
}

static void
start_attempt(exchange_t *exchange, const at_action_t *action)
{
	if (action->is_hedge) {
		at_counters_add(
		    exchange->node->counters, "hedges_total", NULL, NULL, 1);
		avoid_pool(
		    exchange, &exchange->transports[action->attempt - 1]);
	} else if (action->reason != AT_REASON_NONE) {
		at_counters_add_retry(exchange->node->counters, action->reason);
	}
	transport_start(exchange, action);
}

static void
cancel_attempt(exchange_t *exchange, uint32_t k)
{
	transport_t *transport = &exchange->transports[k];
	at_reason_t reason = at_attempts_reason(exchange->attempts, k);
	int timed_out = reason == AT_REASON_FIRST_BYTE_TIMEOUT ||
			reason == AT_REASON_IDLE_TIMEOUT;

	if (timed_out)
		avoid_pool(exchange, transport);
	transport_cancel(
	    transport, timed_out || reason == AT_REASON_CONNECT_FAILED);
}

static void
begin_response(
    exchange_t *exchange, const transport_t *transport, int is_complete)
{
	const at_header_t headers[] = {
	    {"Content-Type", transport->content_type},
	    {"X-Request-Id", exchange->id}, {"X-Verdict", "ran"}, {NULL, NULL}};

	exchange->response_begun = 1;
	exchange->response_sent = is_complete;
	if (exchange->request == NULL)
		return;
	if (is_complete)
		at_httpd_reply(exchange->request, transport->http_status,
		    headers, exchange->chunk, exchange->chunk_len);
	else
		at_httpd_stream_begin(
		    exchange->request, transport->http_status, headers);
}

static void
notify_done(exchange_t *exchange, const at_exchange_end_t *end)
{
	at_exchange_done_t on_done = exchange->on_done;

	exchange->on_done = NULL;
	if (on_done != NULL)
		on_done(exchange->done_ctx, end);
}

/* Sends a response that is complete before any of it has been delivered. */
static void
send_complete(exchange_t *exchange, const transport_t *transport)
{
	const at_exchange_end_t end = {AT_VERDICT_RAN, AT_REASON_NONE,
	    transport->http_status, transport->content_type, exchange->chunk,
	    exchange->chunk_len};

	notify_done(exchange, &end);
	begin_response(exchange, transport, 1);
}

static void
deliver_chunk(exchange_t *exchange, uint32_t k)
{
	const transport_t *transport = &exchange->transports[k];

	if (!exchange->response_begun && transport->is_received) {
		send_complete(exchange, transport);
		return;
	}
	if (!exchange->response_begun)
		begin_response(exchange, transport, 0);
	if (exchange->request != NULL &&
	    at_httpd_stream_write(
		exchange->request, exchange->chunk, exchange->chunk_len))
		exchange->is_paused = 1;
}

/*
 * Aborts a response that has begun: sends an error event if it is an event
 * stream, then closes the connection.
 */
static void
abort_response(exchange_t *exchange, const transport_t *transport,
    const at_action_t *action)
{
	const char *name = at_reason_names[action->reason];
	char event[256];
	int len = snprintf(event, sizeof(event),
	    "data: {\"error\":{\"message\":\"%s\",\"type\":\"server_error\","
	    "\"code\":\"%s\",\"reason\":\"%s\",\"verdict\":\"%s\","
	    "\"retry_after_ms\":%u}}\n\n",
	    at_reason_text(action->reason), name, name,
	    at_verdict_names[action->verdict], action->retry_after_ms);

	at_counters_add_refusal(exchange->node->counters, action->reason);
	at_counters_add(
	    exchange->node->counters, "answers_cut_total", "reason", name, 1);
	at_log(AT_LOG_WARN, "exchange", exchange->id,
	    "Response aborted: %s. The caller's connection is closed.", name);
	if (exchange->request == NULL)
		return;
	if (strncmp(transport->content_type, "text/event-stream", 17) == 0)
		(void)at_httpd_stream_write(
		    exchange->request, event, (size_t)len);
	at_httpd_stream_fail(exchange->request);
}

static void
finish_complete(exchange_t *exchange, uint32_t delivered)
{
	const transport_t *transport = &exchange->transports[delivered];

	at_counters_add(
	    exchange->node->counters, "answers_total", NULL, NULL, 1);
	if (!exchange->response_begun) {
		exchange->chunk = "";
		exchange->chunk_len = 0;
		send_complete(exchange, transport);
	}
	if (!exchange->response_sent && exchange->request != NULL)
		at_httpd_stream_end(exchange->request);
}

static void
finish(exchange_t *exchange, const at_action_t *action)
{
	uint32_t delivered = action->attempt;
	const at_exchange_end_t end = {.verdict = action->verdict,
	    .reason = action->reason,
	    .http_status = exchange->response_begun
			       ? exchange->transports[delivered].http_status
			       : 0};

	exchange->is_finished = 1;
	stop_waiting(exchange);
	if (at_attempts_is_retry_denied(exchange->attempts))
		at_counters_add(exchange->node->counters,
		    "retries_denied_total", NULL, NULL, 1);
	if (action->verdict == AT_VERDICT_RAN)
		finish_complete(exchange, delivered);
	notify_done(exchange, &end);
	if (action->verdict == AT_VERDICT_RAN)
		return;
	if (action->reason == AT_REASON_CALLER_GONE)
		at_counters_add_refusal(
		    exchange->node->counters, action->reason);
	else if (exchange->response_begun)
		abort_response(
		    exchange, &exchange->transports[delivered], action);
	else if (exchange->request != NULL)
		at_refuse(exchange->node, exchange->request, action->reason,
		    action->verdict, action->retry_after_ms);
}

void
exchange_process(exchange_t *exchange)
{
	at_action_t action;

	/* The outermost call also carries out the actions of nested calls. */
	if (exchange->is_processing)
		return;
	exchange->is_processing = 1;
	while (at_attempts_next_action(exchange->attempts, &action)) {
		if (action.kind == AT_ACTION_START)
			start_attempt(exchange, &action);
		else if (action.kind == AT_ACTION_CANCEL)
			cancel_attempt(exchange, action.attempt);
		else if (action.kind == AT_ACTION_DELIVER)
			deliver_chunk(exchange, action.attempt);
		else
			finish(exchange, &action);
	}
	exchange->is_processing = 0;
	set_timer(exchange);
}

/*
 * Cancels the request only if repeating it is harmless. Any other request must
 * not be stopped half-way: it continues to its end.
 */
static void
on_caller_closed(void *ctx)
{
	exchange_t *exchange = ctx;

	if (exchange->is_finished)
		return;
	at_log(AT_LOG_INFO, "exchange", exchange->id,
	    "The caller closed its connection. The request is "
	    "cancelled only if it can be repeated freely.");
	if (exchange->repeat != AT_REPEAT_ANY)
		return;
	at_attempts_on_caller_closed(exchange->attempts, at_clock_now_ms());
	exchange_process(exchange);
}

static void
on_end(void *ctx, int caller_closed)
{
	exchange_t *exchange = ctx;

	if (caller_closed)
		on_caller_closed(exchange);
	exchange->request = NULL;
	if (exchange->is_finished) {
		exchange_delete(exchange);
		return;
	}
	if (!caller_closed) {
		at_attempts_on_caller_closed(
		    exchange->attempts, at_clock_now_ms());
		exchange_process(exchange);
	}
}

static void
on_drain(void *ctx)
{
	exchange_t *exchange = ctx;
	uint32_t delivered = at_attempts_delivered(exchange->attempts);
	transport_t *transport;

	exchange->is_paused = 0;
	if (exchange->is_finished || delivered == AT_ATTEMPT_NONE)
		return;
	transport = &exchange->transports[delivered];
	if (transport->transfer == NULL)
		return;
	at_attempts_on_paused(
	    exchange->attempts, delivered, 0, at_clock_now_ms());
	exchange_process(exchange);
	at_transfer_resume(transport->transfer);
}

static void
copy_text(char *out, size_t size, const char *text)
{
	(void)snprintf(out, size, "%s", text == NULL ? "" : text);
}

static void
init_attempts(
    exchange_t *exchange, const at_exchange_spec_t *spec, uint64_t now_ms)
{
	const at_defaults_t *defaults = &exchange->node->config->defaults;
	const at_attempt_limits_t limits = {.connect_ms = defaults->connect_ms,
	    .first_byte_ms = defaults->first_byte_ms,
	    .idle_ms = defaults->idle_ms,
	    .hedge_ms = spec->repeat == AT_REPEAT_ANY
			    ? defaults->first_byte_ms / HEDGE_TIMEOUT_DIVISOR
			    : 0,
	    .deadline_ms = spec->deadline_ms,
	    .attempts_max = ATTEMPTS_MAX};

	exchange->budget = at_budgets_get(
	    exchange->node->budgets, exchange->workspace.text, now_ms);
	at_attempts_set_limits(exchange->attempts, &limits);
	at_attempts_set_repeat(exchange->attempts, exchange->repeat);
	at_attempts_set_budget(exchange->attempts, exchange->budget);
	at_attempts_init(exchange->attempts, now_ms);
}

/* Sets the body. Returns -1 if out of memory. */
static int
set_body(exchange_t *exchange, const at_exchange_spec_t *spec)
{
	if (spec->shared_body != NULL || spec->body_len == 0) {
		exchange->body = at_shared_body_ref(spec->shared_body);
		return 0;
	}
	exchange->body = at_shared_body_new(&exchange->node->guard.memory);
	if (exchange->body == NULL ||
	    at_shared_body_reserve(exchange->body, spec->body_len) != 0)
		return -1;
	at_shared_body_append(exchange->body, spec->body, spec->body_len);
	return 0;
}

/* Returns an exchange with copies of all texts, or NULL if out of memory. */
static exchange_t *
exchange_new(at_node_t *node, const at_exchange_spec_t *spec)
{
	exchange_t *exchange = calloc(1, sizeof(*exchange));

	if (exchange == NULL)
		return NULL;
	exchange->node = node;
	exchange->attempts = at_attempts_new();
	exchange->path = strdup(spec->path);
	if (exchange->attempts == NULL || exchange->path == NULL ||
	    set_body(exchange, spec) != 0) {
		exchange_free(exchange);
		return NULL;
	}
	exchange->kind = spec->kind;
	(void)at_name_set(&exchange->target, spec->target);
	(void)at_name_set(&exchange->workspace, spec->workspace);
	copy_text(exchange->method, sizeof(exchange->method), spec->method);
	copy_text(exchange->content_type, sizeof(exchange->content_type),
	    spec->content_type);
	copy_text(exchange->idempotency_key, sizeof(exchange->idempotency_key),
	    spec->idempotency_key);
	exchange->repeat = spec->repeat;
	exchange->on_done = spec->on_done;
	exchange->done_ctx = spec->done_ctx;
	/*
	 * Requests of a route that have no body cannot be told apart, so they
	 * get no fingerprint.
	 */
	if (spec->body_len > 0)
		exchange->fingerprint = at_fingerprint_make(node->secret.bytes,
		    sizeof(node->secret.bytes), spec->target, spec->body,
		    spec->body_len);
	return exchange;
}

/* Returns the time after which to retry, or 0 if the request may run. */
static uint32_t
blocked_for_ms(const exchange_t *exchange)
{
	uint64_t now_ms = at_clock_now_ms();
	at_suspicion_t suspicion = at_suspects_check(
	    exchange->node->suspects, &exchange->fingerprint, now_ms);
	const at_suspect_t *suspect =
	    at_suspects_get(exchange->node->suspects, &exchange->fingerprint);

	if (suspicion == AT_SUSPICION_PENDING)
		return AT_SUSPECTS_DECISION_DELAY_MS;
	if (suspicion == AT_SUSPICION_BLOCKED)
		return (uint32_t)(suspect->expires_at_ms - now_ms);
	return 0;
}

static void
add_exchange(at_node_t *node, exchange_t *exchange)
{
	exchange->next = node->exchanges;
	if (exchange->next != NULL)
		exchange->next->prev = exchange;
	node->exchanges = exchange;
	node->open_exchanges++;
}

void
at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec)
{
	static const at_exchange_end_t no_memory = {
	    .verdict = AT_VERDICT_NOT_RUN, .reason = AT_REASON_INTERNAL};
	exchange_t *exchange = exchange_new(node, spec);

	if (exchange == NULL && request == NULL) {
		spec->on_done(spec->done_ctx, &no_memory);
		return;
	}
	if (exchange == NULL) {
		at_refuse(node, request, AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN,
		    AT_DEFAULT_RETRY_AFTER_MS);
		return;
	}
	if (blocked_for_ms(exchange) > 0) {
		at_refuse(node, request, AT_REASON_CRASHES_BACKEND,
		    AT_VERDICT_NOT_RUN, blocked_for_ms(exchange));
		exchange_free(exchange);
		return;
	}
	exchange->request = request;
	copy_text(exchange->id, sizeof(exchange->id),
	    request == NULL ? spec->request_id : at_httpd_id(request));
	ev_timer_init(&exchange->timer, on_timer, 0., 0.);
	exchange->timer.data = exchange;
	add_exchange(node, exchange);
	if (request != NULL) {
		at_httpd_set_end_handler(request, on_end, exchange);
		at_httpd_set_caller_closed_handler(request, on_caller_closed);
		at_httpd_set_drain_handler(request, on_drain);
	}
	init_attempts(exchange, spec, at_clock_now_ms());
	exchange_process(exchange);
}
