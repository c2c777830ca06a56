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
exchange_free(exchange_t *x)
{
	at_attempts_delete(x->attempts);
	free(x->path);
	free(x->body);
	free(x);
}

static void stop_waiting(exchange_t *x);

static void
exchange_delete(exchange_t *x)
{
	uint32_t k;

	for (k = 0; k < x->transport_count; k++)
		transport_free(&x->transports[k]);
	ev_timer_stop(x->node->loop, &x->timer);
	if (x->prev != NULL)
		x->prev->next = x->next;
	else
		x->node->exchanges = x->next;
	if (x->next != NULL)
		x->next->prev = x->prev;
	stop_waiting(x);
	x->node->open_exchanges--;
	at_budgets_release(x->node->budgets, x->budget, at_clock_now_ms());
	exchange_free(x);
}

static void
stop_waiting(exchange_t *x)
{
	if (!x->is_waiting)
		return;
	x->is_waiting = 0;
	x->node->waiting_exchanges--;
}

void
at_exchange_retry_waiting(at_node_t *node)
{
	exchange_t *x;
	exchange_t *next;

	if (node->waiting_exchanges == 0)
		return;
	for (x = node->exchanges; x != NULL; x = next) {
		next = x->next;
		if (!x->is_waiting)
			continue;
		stop_waiting(x);
		transport_start(x, &x->waiting_action);
		exchange_process(x);
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
set_timer(exchange_t *x)
{
	uint64_t due_ms = x->is_finished ? 0 : at_attempts_due_ms(x->attempts);
	uint64_t now_ms = at_clock_now_ms();
	double wait_s = 0.;

	/* A timer that expires too early is set again. */
	if (ev_is_active(&x->timer) && x->timer_due_ms <= due_ms)
		return;
	if (due_ms == AT_ATTEMPTS_NO_TIMER)
		return;
	if (due_ms > now_ms)
		wait_s = (double)(due_ms - now_ms) / AT_MS_PER_S;
	ev_timer_stop(x->node->loop, &x->timer);
	ev_timer_set(&x->timer, wait_s, 0.);
	ev_timer_start(x->node->loop, &x->timer);
	x->timer_due_ms = due_ms;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_t *x = timer->data;

	(void)loop;
	(void)events;
	if (x->is_finished) {
		if (x->request == NULL)
			exchange_delete(x);
		return;
	}
	at_attempts_tick(x->attempts, at_clock_now_ms());
	exchange_process(x);
}

/* Has requests to the backend server use new connections for a while. */
static void
avoid_pool(exchange_t *x, const transport_t *t)
{
	at_backend_t *b = at_backends_find(x->node->backends, t->backend.text);

	if (b == NULL)
		return;
	if (at_clock_now_ms() >= b->avoid_pool_until_ms)
		at_log(AT_LOG_WARN, "exchange", x->id,
		    "%s does not respond. Its pooled connections are not used "
		    "for 30 s.",
		    t->backend.text);
	b->avoid_pool_until_ms = at_clock_now_ms() + AVOID_POOL_MS;
}

static void
start_attempt(exchange_t *x, const at_action_t *action)
{
	if (action->is_hedge) {
		at_counters_add(
		    x->node->counters, "hedges_total", NULL, NULL, 1);
		avoid_pool(x, &x->transports[action->attempt - 1]);
	} else if (action->reason != AT_REASON_NONE) {
		at_counters_add_retry(x->node->counters, action->reason);
	}
	transport_start(x, action);
}

static void
cancel_attempt(exchange_t *x, uint32_t k)
{
	transport_t *t = &x->transports[k];
	at_reason_t reason = at_attempts_reason(x->attempts, k);
	int timed_out = reason == AT_REASON_FIRST_BYTE_TIMEOUT ||
			reason == AT_REASON_IDLE_TIMEOUT;

	if (timed_out)
		avoid_pool(x, t);
	transport_cancel(t, timed_out || reason == AT_REASON_CONNECT_FAILED);
}

static void
begin_response(exchange_t *x, const transport_t *t, int is_complete)
{
	const at_header_t headers[] = {{"Content-Type", t->content_type},
	    {"X-Request-Id", x->id}, {"X-Verdict", "ran"}, {NULL, NULL}};

	x->response_begun = 1;
	x->response_sent = is_complete;
	if (x->request == NULL)
		return;
	if (is_complete)
		at_httpd_reply(x->request, t->http_status, headers, x->chunk,
		    x->chunk_len);
	else
		at_httpd_stream_begin(x->request, t->http_status, headers);
}

static void
notify_done(exchange_t *x, const at_exchange_end_t *end)
{
	at_exchange_done_t on_done = x->on_done;

	x->on_done = NULL;
	if (on_done != NULL)
		on_done(x->done_ctx, end);
}

/* Sends a response that is complete before any of it has been delivered. */
static void
send_complete(exchange_t *x, const transport_t *t)
{
	const at_exchange_end_t end = {AT_VERDICT_RAN, AT_REASON_NONE,
	    t->http_status, t->content_type, x->chunk, x->chunk_len};

	notify_done(x, &end);
	begin_response(x, t, 1);
}

static void
deliver_chunk(exchange_t *x, uint32_t k)
{
	const transport_t *t = &x->transports[k];

	if (!x->response_begun && t->is_received) {
		send_complete(x, t);
		return;
	}
	if (!x->response_begun)
		begin_response(x, t, 0);
	if (x->request != NULL &&
	    at_httpd_stream_write(x->request, x->chunk, x->chunk_len))
		x->is_paused = 1;
}

/*
 * Aborts a response that has begun: sends an error event if it is an event
 * stream, then closes the connection.
 */
static void
abort_response(exchange_t *x, const transport_t *t, const at_action_t *action)
{
	const char *name = at_reason_names[action->reason];
	char event[256];
	int len = snprintf(event, sizeof(event),
	    "data: {\"error\":{\"message\":\"%s\",\"type\":\"server_error\","
	    "\"code\":\"%s\",\"reason\":\"%s\",\"verdict\":\"%s\","
	    "\"retry_after_ms\":%u}}\n\n",
	    at_reason_text(action->reason), name, name,
	    at_verdict_names[action->verdict], action->retry_after_ms);

	at_counters_add_refusal(x->node->counters, action->reason);
	at_counters_add(
	    x->node->counters, "answers_cut_total", "reason", name, 1);
	at_log(AT_LOG_WARN, "exchange", x->id,
	    "Response aborted: %s. The caller's connection is closed.", name);
	if (x->request == NULL)
		return;
	if (strncmp(t->content_type, "text/event-stream", 17) == 0)
		(void)at_httpd_stream_write(x->request, event, (size_t)len);
	at_httpd_stream_fail(x->request);
}

static void
finish_complete(exchange_t *x, uint32_t delivered)
{
	const transport_t *t = &x->transports[delivered];

	at_counters_add(x->node->counters, "answers_total", NULL, NULL, 1);
	if (!x->response_begun) {
		x->chunk = "";
		x->chunk_len = 0;
		send_complete(x, t);
	}
	if (!x->response_sent && x->request != NULL)
		at_httpd_stream_end(x->request);
}

static void
finish(exchange_t *x, const at_action_t *action)
{
	uint32_t delivered = action->attempt;
	const at_exchange_end_t end = {.verdict = action->verdict,
	    .reason = action->reason,
	    .http_status =
		x->response_begun ? x->transports[delivered].http_status : 0};

	x->is_finished = 1;
	stop_waiting(x);
	if (at_attempts_is_retry_denied(x->attempts))
		at_counters_add(
		    x->node->counters, "retries_denied_total", NULL, NULL, 1);
	if (action->verdict == AT_VERDICT_RAN)
		finish_complete(x, delivered);
	notify_done(x, &end);
	if (action->verdict == AT_VERDICT_RAN)
		return;
	if (action->reason == AT_REASON_CALLER_GONE)
		at_counters_add_refusal(x->node->counters, action->reason);
	else if (x->response_begun)
		abort_response(x, &x->transports[delivered], action);
	else if (x->request != NULL)
		at_refuse(x->node, x->request, action->reason, action->verdict,
		    action->retry_after_ms);
}

void
exchange_process(exchange_t *x)
{
	at_action_t action;

	/* The outermost call also carries out the actions of nested calls. */
	if (x->is_processing)
		return;
	x->is_processing = 1;
	while (at_attempts_next_action(x->attempts, &action)) {
		if (action.kind == AT_ACTION_START)
			start_attempt(x, &action);
		else if (action.kind == AT_ACTION_CANCEL)
			cancel_attempt(x, action.attempt);
		else if (action.kind == AT_ACTION_DELIVER)
			deliver_chunk(x, action.attempt);
		else
			finish(x, &action);
	}
	x->is_processing = 0;
	set_timer(x);
}

/*
 * Cancels the request only if repeating it is harmless. Any other request must
 * not be stopped half-way: it continues to its end.
 */
static void
on_caller_closed(void *ctx)
{
	exchange_t *x = ctx;

	if (x->is_finished)
		return;
	at_log(AT_LOG_INFO, "exchange", x->id,
	    "The caller closed its connection. The request is "
	    "cancelled only if it can be repeated freely.");
	if (x->repeat != AT_REPEAT_ANY)
		return;
	at_attempts_on_caller_closed(x->attempts, at_clock_now_ms());
	exchange_process(x);
}

static void
on_end(void *ctx, int caller_closed)
{
	exchange_t *x = ctx;

	if (caller_closed)
		on_caller_closed(x);
	x->request = NULL;
	if (x->is_finished) {
		exchange_delete(x);
		return;
	}
	if (!caller_closed) {
		at_attempts_on_caller_closed(x->attempts, at_clock_now_ms());
		exchange_process(x);
	}
}

static void
on_drain(void *ctx)
{
	exchange_t *x = ctx;
	uint32_t delivered = at_attempts_delivered(x->attempts);
	transport_t *t;

	x->is_paused = 0;
	if (x->is_finished || delivered == AT_ATTEMPT_NONE)
		return;
	t = &x->transports[delivered];
	if (t->transfer == NULL)
		return;
	at_attempts_on_paused(x->attempts, delivered, 0, at_clock_now_ms());
	exchange_process(x);
	at_transfer_resume(t->transfer);
}

static void
copy_text(char *out, size_t size, const char *text)
{
	(void)snprintf(out, size, "%s", text == NULL ? "" : text);
}

static void
init_attempts(exchange_t *x, const at_exchange_spec_t *spec, uint64_t now_ms)
{
	const at_defaults_t *d = &x->node->config->defaults;
	const at_attempt_limits_t limits = {.connect_ms = d->connect_ms,
	    .first_byte_ms = d->first_byte_ms,
	    .idle_ms = d->idle_ms,
	    .hedge_ms = spec->repeat == AT_REPEAT_ANY
			    ? d->first_byte_ms / HEDGE_TIMEOUT_DIVISOR
			    : 0,
	    .deadline_ms = spec->deadline_ms,
	    .attempts_max = ATTEMPTS_MAX};

	x->budget = at_budgets_get(x->node->budgets, x->workspace.text, now_ms);
	at_attempts_set_limits(x->attempts, &limits);
	at_attempts_set_repeat(x->attempts, x->repeat);
	at_attempts_set_budget(x->attempts, x->budget);
	at_attempts_init(x->attempts, now_ms);
}

/* Returns an exchange with copies of all texts, or NULL if out of memory. */
static exchange_t *
exchange_new(at_node_t *node, const at_exchange_spec_t *spec)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->attempts = at_attempts_new();
	x->path = strdup(spec->path);
	x->body = malloc(spec->body_len + 1);
	if (x->attempts == NULL || x->path == NULL || x->body == NULL) {
		exchange_free(x);
		return NULL;
	}
	x->node = node;
	x->kind = spec->kind;
	(void)at_name_set(&x->target, spec->target);
	(void)at_name_set(&x->workspace, spec->workspace);
	copy_text(x->method, sizeof(x->method), spec->method);
	copy_text(x->content_type, sizeof(x->content_type), spec->content_type);
	copy_text(x->idempotency_key, sizeof(x->idempotency_key),
	    spec->idempotency_key);
	memcpy(x->body, spec->body, spec->body_len);
	x->body_len = spec->body_len;
	x->repeat = spec->repeat;
	x->on_done = spec->on_done;
	x->done_ctx = spec->done_ctx;
	/*
	 * Requests of a route that have no body cannot be told apart, so they
	 * get no fingerprint.
	 */
	if (spec->body_len > 0)
		x->fingerprint = at_fingerprint_make(node->secret.bytes,
		    sizeof(node->secret.bytes), spec->target, spec->body,
		    spec->body_len);
	return x;
}

/* Returns the time after which to retry, or 0 if the request may run. */
static uint32_t
blocked_for_ms(const exchange_t *x)
{
	uint64_t now_ms = at_clock_now_ms();
	at_suspicion_t suspicion =
	    at_suspects_check(x->node->suspects, &x->fingerprint, now_ms);
	const at_suspect_t *suspect =
	    at_suspects_get(x->node->suspects, &x->fingerprint);

	if (suspicion == AT_SUSPICION_PENDING)
		return AT_SUSPECTS_DECISION_DELAY_MS;
	if (suspicion == AT_SUSPICION_BLOCKED)
		return (uint32_t)(suspect->expires_at_ms - now_ms);
	return 0;
}

static void
add_exchange(at_node_t *node, exchange_t *x)
{
	x->next = node->exchanges;
	if (x->next != NULL)
		x->next->prev = x;
	node->exchanges = x;
	node->open_exchanges++;
}

void
at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec)
{
	static const at_exchange_end_t no_memory = {
	    .verdict = AT_VERDICT_NOT_RUN, .reason = AT_REASON_INTERNAL};
	exchange_t *x = exchange_new(node, spec);

	if (x == NULL && request == NULL) {
		spec->on_done(spec->done_ctx, &no_memory);
		return;
	}
	if (x == NULL) {
		at_refuse(node, request, AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN,
		    AT_DEFAULT_RETRY_AFTER_MS);
		return;
	}
	if (blocked_for_ms(x) > 0) {
		at_refuse(node, request, AT_REASON_CRASHES_BACKEND,
		    AT_VERDICT_NOT_RUN, blocked_for_ms(x));
		exchange_free(x);
		return;
	}
	x->request = request;
	copy_text(x->id, sizeof(x->id),
	    request == NULL ? spec->request_id : at_httpd_id(request));
	ev_timer_init(&x->timer, on_timer, 0., 0.);
	x->timer.data = x;
	add_exchange(node, x);
	if (request != NULL) {
		at_httpd_set_end_handler(request, on_end, x);
		at_httpd_set_caller_closed_handler(request, on_caller_closed);
		at_httpd_set_drain_handler(request, on_drain);
	}
	init_attempts(x, spec, at_clock_now_ms());
	exchange_process(x);
}
