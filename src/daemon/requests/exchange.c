#include "daemon/requests/exchange_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "almondthread/log.h"
#include "io/clock.h"

#define ATTEMPTS_MAX 3u
#define HEDGE_PART 2u /* hedge after this part of the first byte's limit */

/*
 * After silence on a backend server's connection its pooled ones are left
 * alone until they are too old to be reused (see httpc.c).
 */
#define FRESH_AFTER_SILENCE_MS 30000u

/* Frees what exchange_new() made. */
static void
exchange_drop(exchange_t *x)
{
	at_attempts_delete(x->machine);
	free(x->path);
	free(x->body);
	free(x);
}

static void stop_waiting(exchange_t *x);

static void
exchange_free(exchange_t *x)
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
	exchange_drop(x);
}

static void
stop_waiting(exchange_t *x)
{
	if (!x->waiting)
		return;
	x->waiting = 0;
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
		if (!x->waiting)
			continue;
		stop_waiting(x);
		transport_start(x, &x->waiting_action);
		exchange_pump(x);
	}
}

void
at_exchange_delete_all(at_node_t *node)
{
	while (node->exchanges != NULL)
		exchange_free(node->exchanges);
}

/* Has the timer fire when the machine's next tick is due. */
static void
arm(exchange_t *x)
{
	uint64_t due = x->over ? 0 : at_attempts_due_ms(x->machine);
	uint64_t now = at_clock_now_ms();
	double wait_s = 0.;

	/* An earlier firing only looks again. */
	if (ev_is_active(&x->timer) && x->timer_due_ms <= due)
		return;
	if (due == AT_ATTEMPTS_NO_TIMER)
		return;
	if (due > now)
		wait_s = (double)(due - now) / AT_MS_PER_S;
	ev_timer_stop(x->node->loop, &x->timer);
	ev_timer_set(&x->timer, wait_s, 0.);
	ev_timer_start(x->node->loop, &x->timer);
	x->timer_due_ms = due;
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	exchange_t *x = timer->data;

	(void)loop;
	(void)events;
	if (x->over) {
		if (x->request == NULL)
			exchange_free(x);
		return;
	}
	at_attempts_tick(x->machine, at_clock_now_ms());
	exchange_pump(x);
}

/* Silence: new connections go round what the pool holds for a while. */
static void
avoid_pool(exchange_t *x, const transport_t *t)
{
	at_backend_t *b = at_backends_find(x->node->backends, t->backend.text);

	if (b == NULL)
		return;
	if (at_clock_now_ms() >= b->fresh_until_ms)
		at_log(AT_LOG_WARN, "exchange", x->id,
		    "%s is silent; pooled connections are left alone.",
		    t->backend.text);
	b->fresh_until_ms = at_clock_now_ms() + FRESH_AFTER_SILENCE_MS;
}

static void
start(exchange_t *x, const at_action_t *action)
{
	if (action->hedge) {
		at_counters_add(
		    x->node->counters, "hedges_total", NULL, NULL, 1);
		avoid_pool(x, &x->transports[action->attempt - 1]);
	} else if (action->reason != AT_REASON_NONE) {
		at_counters_add_retry(x->node->counters, action->reason);
	}
	transport_start(x, action);
}

static void
cancel(exchange_t *x, uint32_t k)
{
	transport_t *t = &x->transports[k];
	at_reason_t reason = at_attempts_reason(x->machine, k);
	int silent = reason == AT_REASON_FIRST_BYTE_TIMEOUT ||
		     reason == AT_REASON_IDLE_TIMEOUT;

	if (silent)
		avoid_pool(x, t);
	transport_cancel(t, silent || reason == AT_REASON_CONNECT_FAILED);
}

static void
begin_answer(exchange_t *x, const transport_t *t, int whole)
{
	const at_header_t headers[] = {{"Content-Type", t->content_type},
	    {"X-Request-Id", x->id}, {"X-Verdict", "ran"}, {NULL, NULL}};

	x->answered = 1;
	x->replied = whole;
	if (x->request == NULL)
		return;
	if (whole)
		at_httpd_reply(
		    x->request, t->status, headers, x->part, x->part_len);
	else
		at_httpd_stream_begin(x->request, t->status, headers);
}

static void
tell_done(exchange_t *x, const at_exchange_end_t *end)
{
	at_exchange_done_t on_done = x->on_done;

	x->on_done = NULL;
	if (on_done != NULL)
		on_done(x->done_ctx, end);
}

/* An answer that is complete before its first part goes out goes whole. */
static void
reply_whole(exchange_t *x, const transport_t *t)
{
	const at_exchange_end_t end = {AT_VERDICT_RAN, AT_REASON_NONE,
	    t->status, t->content_type, x->part, x->part_len};

	tell_done(x, &end);
	begin_answer(x, t, 1);
}

static void
deliver(exchange_t *x, uint32_t k)
{
	const transport_t *t = &x->transports[k];

	if (!x->answered && t->ending) {
		reply_whole(x, t);
		return;
	}
	if (!x->answered)
		begin_answer(x, t, 0);
	if (x->request != NULL &&
	    at_httpd_stream_write(x->request, x->part, x->part_len))
		x->paused = 1;
}

/* Tells a client that reads events of the end; then cuts the connection. */
static void
cut(exchange_t *x, const transport_t *t, const at_action_t *action)
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
	at_log(AT_LOG_WARN, "exchange", x->id, "The answer was cut: %s.", name);
	if (x->request == NULL)
		return;
	if (strncmp(t->content_type, "text/event-stream", 17) == 0)
		(void)at_httpd_stream_write(x->request, event, (size_t)len);
	at_httpd_stream_fail(x->request);
}

static void
finish_whole(exchange_t *x, uint32_t winner)
{
	const transport_t *t = &x->transports[winner];

	at_counters_add(x->node->counters, "answers_total", NULL, NULL, 1);
	if (!x->answered) {
		x->part = "";
		x->part_len = 0;
		reply_whole(x, t);
	}
	if (!x->replied && x->request != NULL)
		at_httpd_stream_end(x->request);
}

static void
finish(exchange_t *x, const at_action_t *action)
{
	uint32_t winner = action->attempt;
	const at_exchange_end_t end = {.verdict = action->verdict,
	    .reason = action->reason,
	    .http_status = x->answered ? x->transports[winner].status : 0};

	x->over = 1;
	stop_waiting(x);
	if (at_attempts_is_retry_denied(x->machine))
		at_counters_add(
		    x->node->counters, "retries_denied_total", NULL, NULL, 1);
	if (action->verdict == AT_VERDICT_RAN)
		finish_whole(x, winner);
	tell_done(x, &end);
	if (action->verdict == AT_VERDICT_RAN)
		return;
	if (action->reason == AT_REASON_CALLER_GONE)
		at_counters_add_refusal(x->node->counters, action->reason);
	else if (x->answered)
		cut(x, &x->transports[winner], action);
	else if (x->request != NULL)
		at_refuse(x->node, x->request, action->reason, action->verdict,
		    action->retry_after_ms);
}

void
exchange_pump(exchange_t *x)
{
	at_action_t action;

	/* The outermost call takes what inner ones bring about. */
	if (x->pumping)
		return;
	x->pumping = 1;
	while (at_attempts_next_action(x->machine, &action)) {
		if (action.kind == AT_ACTION_START)
			start(x, &action);
		else if (action.kind == AT_ACTION_CANCEL)
			cancel(x, action.attempt);
		else if (action.kind == AT_ACTION_DELIVER)
			deliver(x, action.attempt);
		else
			finish(x, &action);
	}
	x->pumping = 0;
	arm(x);
}

/* The caller left: a request that must not be lost half-way goes on. */
static void
on_gone(void *ctx)
{
	exchange_t *x = ctx;

	if (x->over)
		return;
	at_log(AT_LOG_INFO, "exchange", x->id, "The caller is gone.");
	if (x->repeat != AT_REPEAT_ANY)
		return;
	at_attempts_on_caller_closed(x->machine, at_clock_now_ms());
	exchange_pump(x);
}

static void
on_end(void *ctx, int gone)
{
	exchange_t *x = ctx;

	if (gone)
		on_gone(x);
	x->request = NULL;
	if (x->over) {
		exchange_free(x);
		return;
	}
	if (!gone) {
		at_attempts_on_caller_closed(x->machine, at_clock_now_ms());
		exchange_pump(x);
	}
}

static void
on_drain(void *ctx)
{
	exchange_t *x = ctx;
	uint32_t winner = at_attempts_delivered(x->machine);
	transport_t *t;

	x->paused = 0;
	if (x->over || winner == AT_ATTEMPT_NONE)
		return;
	t = &x->transports[winner];
	if (t->transfer == NULL)
		return;
	at_attempts_on_paused(x->machine, winner, 0, at_clock_now_ms());
	exchange_pump(x);
	at_transfer_resume(t->transfer);
}

static void
copy_text(char *out, size_t size, const char *text)
{
	(void)snprintf(out, size, "%s", text == NULL ? "" : text);
}

static void
set_machine(exchange_t *x, const at_exchange_spec_t *spec, uint64_t now_ms)
{
	const at_defaults_t *d = &x->node->config->defaults;
	const at_attempt_limits_t limits = {.connect_ms = d->connect_ms,
	    .first_byte_ms = d->first_byte_ms,
	    .idle_ms = d->idle_ms,
	    .hedge_ms = spec->repeat == AT_REPEAT_ANY
			    ? d->first_byte_ms / HEDGE_PART
			    : 0,
	    .deadline_ms = spec->deadline_ms,
	    .attempts_max = ATTEMPTS_MAX};

	x->budget = at_budgets_get(x->node->budgets, x->workspace.text, now_ms);
	at_attempts_set_limits(x->machine, &limits);
	at_attempts_set_repeat(x->machine, x->repeat);
	at_attempts_set_budget(x->machine, x->budget);
	at_attempts_init(x->machine, now_ms);
}

/* Returns an exchange with copies of all texts, or NULL without memory. */
static exchange_t *
exchange_new(at_node_t *node, const at_exchange_spec_t *spec)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (x == NULL)
		return NULL;
	x->machine = at_attempts_new();
	x->path = strdup(spec->path);
	x->body = malloc(spec->body_len + 1);
	if (x->machine == NULL || x->path == NULL || x->body == NULL) {
		exchange_drop(x);
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
	/* Without a body one request is like all others of its route. */
	if (spec->body_len > 0)
		x->fingerprint = at_fingerprint_make(node->secret.bytes,
		    sizeof(node->secret.bytes), spec->target, spec->body,
		    spec->body_len);
	return x;
}

/* Returns when to come back, or 0 when the request may run. */
static uint32_t
refused_for_ms(const exchange_t *x)
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
link_exchange(at_node_t *node, exchange_t *x)
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
	if (refused_for_ms(x) > 0) {
		at_refuse(node, request, AT_REASON_CRASHES_BACKEND,
		    AT_VERDICT_NOT_RUN, refused_for_ms(x));
		exchange_drop(x);
		return;
	}
	x->request = request;
	copy_text(x->id, sizeof(x->id),
	    request == NULL ? spec->request_id : at_httpd_id(request));
	ev_timer_init(&x->timer, on_timer, 0., 0.);
	x->timer.data = x;
	link_exchange(node, x);
	if (request != NULL) {
		at_httpd_set_end_handler(request, on_end, x);
		at_httpd_set_caller_closed_handler(request, on_gone);
		at_httpd_set_drain_handler(request, on_drain);
	}
	set_machine(x, spec, at_clock_now_ms());
	exchange_pump(x);
}
