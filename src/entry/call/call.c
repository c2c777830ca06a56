#include "entry/call/call_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "almondthread/log.h"
#include "entry/orders/orders.h"
#include "entry/servers/reach.h"
#include "io/clock.h"
#include "platform/caller.h"

#define US_PER_MS 1000u
/* Stated in refusals at the shutdown: another instance can run the request. */
#define STOPPING_RETRY_MS 10u
/* A request that holds a connection ends within a second, mostly. */
#define NO_CONNECTION_RETRY_MS 500u
#define REFUSAL_BODY_SIZE 320 /* bytes of a refusal's body, with the NUL */

void
call_reply_refusal(const at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, const refusal_t *refusal)
{
	at_caller_headers_t headers;
	char body[REFUSAL_BODY_SIZE];
	int len = snprintf(body, sizeof(body),
	    "{\"error\":{\"reason\":\"%s\",\"message\":\"%s\",\"run\":%s,"
	    "\"retry_after_ms\":%u}}",
	    at_reason_names[refusal->reason], at_reason_text(refusal->reason),
	    refusal->status == 502 || refusal->status == 504 ? "\"unknown\""
							     : "false",
	    refusal->retry_after_ms);

	at_counters_add_refusal(calls->deps.counters, refusal->reason);
	at_caller_refusal_headers(header, refusal->retry_after_ms, &headers);
	at_httpd_reply(
	    request, refusal->status, headers.entries, body, (size_t)len);
}

static void
end_attempts(at_call_t *call)
{
	size_t i;

	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++)
		call_attempt_end(&call->open_attempts[i], AT_OUTCOME_UNKNOWN);
}

void
call_free(at_call_t *call)
{
	at_calls_t *calls = call->calls;
	size_t i;

	end_attempts(call);
	at_wait_queue_remove(calls->deps.queue, &call->waiter);
	ev_timer_stop(calls->deps.loop, &call->timer);
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		calls->first = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	calls->count--;
	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++)
		buffered_response_reset(&call->open_attempts[i].response);
	buffered_response_reset(&call->failure_response);
	at_request_parts_clear(&call->parts);
	at_header_lines_free(&call->request_headers);
	at_attempts_delete(call->attempts);
	at_site_unref(call->site);
	free(call->id);
	free(call);
}

at_calls_t *
at_calls_new(const at_calls_deps_t *deps)
{
	at_calls_t *calls = calloc(1, sizeof(*calls));

	if (calls != NULL)
		calls->deps = *deps;
	return calls;
}

size_t
at_calls_count(const at_calls_t *calls)
{
	return calls->count;
}

void
at_calls_delete(at_calls_t *calls)
{
	if (calls == NULL)
		return;
	while (calls->first != NULL)
		call_free(calls->first);
	free(calls);
}

void
call_set_timer(at_call_t *call)
{
	uint64_t due =
	    call->is_finished ? 0 : at_attempts_due_ms(call->attempts);
	uint64_t now = at_clock_now_ms();
	double wait_s = 0.;

	if (call->is_finished && call->request != NULL)
		return;
	if (due == AT_ATTEMPTS_NO_TIMER ||
	    (ev_is_active(&call->timer) && call->timer_due_ms <= due))
		return;
	if (due > now)
		wait_s = (double)(due - now) / AT_MS_PER_S;
	ev_timer_stop(call->calls->deps.loop, &call->timer);
	ev_timer_set(&call->timer, wait_s, 0.);
	ev_timer_start(call->calls->deps.loop, &call->timer);
	call->timer_due_ms = due;
}

void
call_on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_call_t *call = timer->data;

	(void)loop;
	(void)events;
	if (call->is_finished) {
		if (call->request == NULL)
			call_free(call);
		return;
	}
	at_attempts_tick(call->attempts, at_clock_now_ms());
	call_process(call);
}

static void
log_end(const at_call_t *call, const char *outcome, at_reason_t reason,
    int status, uint32_t retry_after_ms)
{
	const at_work_t *work = &call->waiter.work;
	uint64_t now_us = at_clock_now_us();

	at_log(AT_LOG_INFO, "call", call->id,
	    "ended outcome=%s reason=%s status=%d route=%s workspace=%s "
	    "model=%s adapter=%s config=%" PRIu64 " newest_config=%" PRIu64
	    " server=%s attempts=%u "
	    "prompt=%u objective_ms=%u waited_us=%" PRIu64
	    " first_event_us=%" PRIu64 " event_gap_max_us=%" PRIu64
	    " took_us=%" PRIu64 " predicted_us=%" PRIu64
	    " retry_after_ms=%u via=%s",
	    outcome, at_reason_names[reason], status, call->route->name.text,
	    call->workspace == NULL ? "-" : call->workspace->name.text,
	    call->header.model.text, call->header.adapter.text,
	    call->site->version, (*call->calls->deps.site)->version,
	    call->current->server_id.text,
	    call->current->server_id.text[0] == '\0'
		? 0
		: call->current->number + 1,
	    work->prompt_tokens, call->route->objective_ms, call->waited_us,
	    call->first_event_us == 0 ? 0
				      : call->first_event_us - call->started_us,
	    call->event_gap_max_us, now_us - call->started_us,
	    call->current->predicted_us, retry_after_ms,
	    call_via(call->current));
}

static void
begin_stream(at_call_t *call, const buffered_response_t *response)
{
	const at_header_t *header = response->headers.entries;

	for (; header != NULL && header->name != NULL; header++) {
		if (strcasecmp(header->name, "Content-Type") == 0)
			(void)snprintf(call->content_type,
			    sizeof(call->content_type), "%s", header->value);
	}
	at_httpd_stream_begin(
	    call->request, response->status, response->headers.entries);
}

static void
deliver_event(at_call_t *call, call_attempt_t *attempt)
{
	const buffered_response_t *response = &attempt->response;
	uint64_t now_us = at_clock_now_us();

	call->current = attempt;
	if (attempt->is_silent) {
		attempt->is_silent = 0;
		at_server_note_responding(attempt->server, now_us);
	}
	if (call->event == NULL || call->request == NULL)
		return;
	if (call->first_event_us == 0)
		call->first_event_us = now_us;
	else if (now_us - call->last_event_us > call->event_gap_max_us)
		call->event_gap_max_us = now_us - call->last_event_us;
	call->last_event_us = now_us;
	if (!call->response_started)
		begin_stream(call, response);
	call->response_started = 1;
	call->is_paused = at_httpd_stream_write(
	    call->request, call->event->data, call->event->len);
}

static void
reply_buffered(at_call_t *call, buffered_response_t *response)
{
	if (call->request != NULL)
		at_httpd_reply_owned(call->request, response->status,
		    response->headers.entries, buffered_response_take(response),
		    response->len);
	call->response_started = 1;
}

static void
finish_complete(at_call_t *call)
{
	if (call->response_started) {
		if (call->request != NULL)
			at_httpd_stream_end(call->request);
	} else if (call->current->is_stream && call->request != NULL) {
		/* The stream is complete without a single event. */
		at_httpd_stream_begin(call->request,
		    call->current->response.status,
		    call->current->response.headers.entries);
		at_httpd_stream_end(call->request);
	} else {
		reply_buffered(call, &call->current->response);
	}
	log_end(call, "answered", AT_REASON_NONE,
	    call->current->response.status, 0);
	at_counters_add(
	    call->calls->deps.counters, "answers_total", NULL, NULL, 1);
}

/* Only a request that has certainly not run may be reported as not run. */
static refusal_t
make_refusal(const at_call_t *call, const at_action_t *action)
{
	refusal_t refusal = {action->reason, at_reason_status(action->reason),
	    call->retry_after_ms};

	if (action->verdict == AT_VERDICT_NOT_RUN) {
		if (refusal.status != 429)
			refusal.status = 503;
		if (refusal.retry_after_ms == 0)
			refusal.retry_after_ms = AT_DEFAULT_RETRY_AFTER_MS / 4u;
	} else {
		if (refusal.status != 504)
			refusal.status = 502;
		refusal.retry_after_ms = 0;
	}
	return refusal;
}

static void
refund_units(at_call_t *call)
{
	if (call->workspace != NULL)
		at_quota_refund(
		    call->calls->deps.quota, call->workspace->tag, call->units);
	call->units = 0;
}

static void
finish_failed(at_call_t *call, const at_action_t *action)
{
	refusal_t refusal = make_refusal(call, action);

	if (action->verdict == AT_VERDICT_NOT_RUN)
		refund_units(call);
	if (action->reason == AT_REASON_CALLER_GONE) {
		log_end(call, "left", action->reason, 0, 0);
		at_counters_add_refusal(
		    call->calls->deps.counters, action->reason);
	} else if (call->response_started) {
		log_end(call, "cut", action->reason, 0, 0);
		at_counters_add(call->calls->deps.counters, "answers_cut_total",
		    "reason", at_reason_names[action->reason], 1);
		if (call->request != NULL)
			at_httpd_stream_fail(call->request);
	} else if (call->failure_response.status != 0) {
		log_end(call, "failed", action->reason,
		    call->failure_response.status, 0);
		reply_buffered(call, &call->failure_response);
	} else {
		log_end(call, "refused", action->reason, refusal.status,
		    refusal.retry_after_ms);
		if (call->request != NULL)
			call_reply_refusal(call->calls, call->request,
			    &call->header, &refusal);
	}
}

/* An attempt is about to start beside another one, whose server is silent. */
static void
note_silence(at_call_t *call, const at_action_t *action)
{
	size_t i;

	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++) {
		call_attempt_t *attempt = &call->open_attempts[i];

		if (!call_attempt_is_open(attempt))
			continue;
		/* A relayed one may be silent for the other instance's sake. */
		if (!attempt->is_silent && attempt->relay == 0 &&
		    !at_reach_io_reaches_none(call->calls->deps.reach))
			at_server_note_silent(
			    attempt->server, at_clock_now_us());
		attempt->is_silent = 1;
		at_log(AT_LOG_INFO, "call", call->id,
		    "server silent; another attempt starts beside it "
		    "attempt=%u server=%s reason=%s",
		    attempt->number, attempt->server_id.text,
		    at_reason_names[action->reason]);
	}
}

static at_reason_t
reason_from_choice(at_choice_result_t result)
{
	if (result == AT_CHOICE_LIMITED)
		return AT_REASON_SERVER_LIMIT;
	if (result == AT_CHOICE_PAUSED)
		return AT_REASON_SERVER_PAUSE;
	/* With a free slot, others of the queue go before it. */
	return result == AT_CHOICE_FULL || result == AT_CHOICE_SERVER
		   ? AT_REASON_OVERLOAD
		   : AT_REASON_NO_BACKEND;
}

/* No server is left that is not evacuated and in an allowed region. */
static int
is_closed_off(const at_admission_decision_t *decision)
{
	return decision->choice_result == AT_CHOICE_NO_SERVER &&
	       (decision->choice.evacuated > 0 ||
		   decision->choice.outside_regions > 0);
}

/* The caller has closed, and nothing of the attempt has been sent. */
static int
has_left(const at_call_t *call)
{
	return call->request == NULL || at_httpd_is_caller_gone(call->request);
}

/* Places the next attempt at a backend server, or queues or refuses it. */
static void
place_attempt(at_call_t *call, const at_action_t *action)
{
	at_calls_t *calls = call->calls;
	uint64_t now_us = at_clock_now_us();
	at_admission_decision_t decision;

	call->queued_attempt = action->attempt;
	if (has_left(call)) {
		at_attempts_on_not_placed(call->attempts, action->attempt,
		    AT_REASON_CALLER_GONE, at_clock_now_ms());
		return;
	}
	if (call_is_refused_for_crashes(call, 1)) {
		at_attempts_on_not_placed(call->attempts, action->attempt,
		    AT_REASON_CRASHES_BACKEND, at_clock_now_ms());
		return;
	}
	if (!at_httpc_has_room(calls->deps.httpc)) {
		call->retry_after_ms = NO_CONNECTION_RETRY_MS;
		at_attempts_on_not_placed(call->attempts, action->attempt,
		    AT_REASON_NO_CONNECTION, at_clock_now_ms());
		return;
	}
	if (action->attempt > 0)
		at_counters_add_retry(calls->deps.counters, action->reason);
	if (action->is_hedge)
		note_silence(call, action);
	if (call->caller_timeout_us != 0)
		call->waiter.first_event_limit_us =
		    (call->response_started ? call->last_event_us
					    : call->started_us) +
		    call->caller_timeout_us;
	call->waiter.work.is_resumption |= call->response_started;
	at_wait_queue_decide(
	    calls->deps.queue, &call->waiter, now_us, &decision);
	if (decision.admission == AT_ADMISSION_PLACED) {
		call_attempt_start(call, action->attempt, &decision.choice);
		return;
	}
	at_log(AT_LOG_INFO, "call", call->id,
	    "attempt not sent admission=%s choice=%s candidates=%u "
	    "evacuated=%u outside_regions=%u "
	    "wait_us=%" PRIu64 " queued=%zu model=%s shortage=%d active=%u "
	    "slots=%u",
	    at_admission_names[decision.admission],
	    at_choice_result_names[decision.choice_result],
	    decision.choice.candidates, decision.choice.evacuated,
	    decision.choice.outside_regions, decision.wait_us,
	    at_wait_queue_count(calls->deps.queue), call->header.model.text,
	    decision.is_short, decision.choice.open_active,
	    decision.choice.open_slots);
	if (decision.is_short && decision.admission == AT_ADMISSION_REFUSED)
		at_counters_add(calls->deps.counters, "shortage_refusals_total",
		    NULL, NULL, 1);
	if (decision.choice_result == AT_CHOICE_NOT_RESIDENT)
		at_orders_io_request_load(
		    calls->deps.orders, &call->waiter.work);
	if (decision.admission == AT_ADMISSION_QUEUED) {
		at_wait_queue_add(calls->deps.queue, &call->waiter);
		return;
	}
	call->retry_after_ms = decision.retry_after_ms;
	at_attempts_on_not_placed(call->attempts, action->attempt,
	    reason_from_choice(decision.choice_result), at_clock_now_ms());
}

static at_server_outcome_t
outcome_from_reason(at_reason_t reason)
{
	return reason == AT_REASON_FIRST_BYTE_TIMEOUT ||
		       reason == AT_REASON_IDLE_TIMEOUT ||
		       reason == AT_REASON_CONNECT_FAILED
		   ? AT_OUTCOME_FAILED
		   : AT_OUTCOME_UNKNOWN;
}

static void
cancel_attempt(at_call_t *call, uint32_t number)
{
	call_attempt_t *attempt = call_attempt_find(call, number);
	at_reason_t reason = at_attempts_reason(call->attempts, number);

	if (attempt == NULL)
		return;
	if (attempt->is_silent)
		at_log(AT_LOG_INFO, "call", call->id,
		    "silent attempt cancelled attempt=%u server=%s reason=%s "
		    "had_event=%d",
		    number, attempt->server_id.text, at_reason_names[reason],
		    attempt->had_event);
	call_attempt_end(
	    attempt, attempt->relay != 0 ||
			     at_reach_io_reaches_none(call->calls->deps.reach)
			 ? AT_OUTCOME_UNKNOWN
			 : outcome_from_reason(reason));
}

static void
finish(at_call_t *call, const at_action_t *action)
{
	call_attempt_t *delivered = call_attempt_find(call, action->attempt);

	call->is_finished = 1;
	at_wait_queue_remove(call->calls->deps.queue, &call->waiter);
	if (delivered != NULL)
		call->current = delivered;
	if (action->verdict == AT_VERDICT_RAN)
		finish_complete(call);
	else
		finish_failed(call, action);
	end_attempts(call);
}

void
call_process(at_call_t *call)
{
	at_action_t action;

	/* The outermost call carries out the actions of inner ones, too. */
	if (call->is_processing)
		return;
	call->is_processing = 1;
	while (at_attempts_next_action(call->attempts, &action)) {
		if (action.kind == AT_ACTION_START)
			place_attempt(call, &action);
		else if (action.kind == AT_ACTION_CANCEL)
			cancel_attempt(call, action.attempt);
		else if (action.kind == AT_ACTION_DELIVER)
			deliver_event(
			    call, call_attempt_find(call, action.attempt));
		else
			finish(call, &action);
	}
	/* An attempt that was queued is cancelled without an action. */
	if (at_attempts_state(call->attempts, call->queued_attempt) !=
	    AT_ATTEMPT_PLACING)
		at_wait_queue_remove(call->calls->deps.queue, &call->waiter);
	call->is_processing = 0;
	call_set_timer(call);
	at_calls_place_queued(call->calls);
}

/*
 * The caller has closed. A request that was sent and may not be repeated
 * continues.
 */
static void
on_caller_closed(void *ctx)
{
	at_call_t *call = ctx;

	if (call->is_finished)
		return;
	if (call->route->type == AT_ROUTE_UNSAFE &&
	    call_attempt_is_open(call->current))
		return;
	at_attempts_on_caller_closed(call->attempts, at_clock_now_ms());
	call_process(call);
}

static void
on_request_end(void *ctx, int closed)
{
	at_call_t *call = ctx;

	if (!call->is_finished && closed)
		on_caller_closed(call);
	if (!call->is_finished)
		call_keep_parts(call);
	call->request = NULL;
	call->header.id = call->id;
	if (call->is_finished)
		call_free(call);
}

static void
on_drain(void *ctx)
{
	at_call_t *call = ctx;
	size_t i;

	call->is_paused = 0;
	for (i = 0; i < OPEN_ATTEMPTS_MAX && !call->is_finished; i++) {
		call_attempt_t *attempt = &call->open_attempts[i];

		if (attempt->transfer == NULL)
			continue;
		at_attempts_on_paused(
		    call->attempts, attempt->number, 0, at_clock_now_ms());
		call_process(call);
		if (attempt->transfer != NULL)
			at_transfer_resume(attempt->transfer);
	}
}

void
call_attach(at_call_t *call)
{
	at_httpd_set_end_handler(call->request, on_request_end, call);
	at_httpd_set_caller_closed_handler(call->request, on_caller_closed);
	at_httpd_set_drain_handler(call->request, on_drain);
}

static at_call_t *
call_from_waiter(at_waiter_t *waiter)
{
	return (
	    at_call_t *)(void *)((char *)waiter - offsetof(at_call_t, waiter));
}

static void
place_all(at_calls_t *calls)
{
	uint64_t now_us = at_clock_now_us();
	at_waiter_t *waiter;
	at_choice_t choice;

	while (at_httpc_has_room(calls->deps.httpc) &&
	       (waiter = at_wait_queue_take_placeable(
		    calls->deps.queue, now_us, &choice)) != NULL) {
		at_call_t *call = call_from_waiter(waiter);

		call->waited_us = now_us - call->started_us;
		at_counters_observe(calls->deps.counters, "waited_ms", "route",
		    at_route_type_names[call->route->type],
		    call->waited_us / US_PER_MS);
		if (has_left(call))
			at_attempts_on_not_placed(call->attempts,
			    call->queued_attempt, AT_REASON_CALLER_GONE,
			    at_clock_now_ms());
		else
			call_attempt_start(call, call->queued_attempt, &choice);
		call_process(call);
	}
}

void
at_calls_place_queued(at_calls_t *calls)
{
	/* Placing a request may free slots for others. */
	if (calls->is_placing) {
		calls->placing_pending = 1;
		return;
	}
	calls->is_placing = 1;
	do {
		calls->placing_pending = 0;
		place_all(calls);
	} while (calls->placing_pending);
	calls->is_placing = 0;
}

void
at_calls_expire(at_calls_t *calls)
{
	at_waiter_t *waiter;

	while ((waiter = at_wait_queue_take_expired(
		    calls->deps.queue, at_clock_now_us())) != NULL) {
		at_call_t *call = call_from_waiter(waiter);
		at_admission_decision_t decision;

		call->waited_us = at_clock_now_us() - call->started_us;
		at_wait_queue_decide(
		    calls->deps.queue, waiter, at_clock_now_us(), &decision);
		call->retry_after_ms = decision.retry_after_ms;
		if (decision.admission == AT_ADMISSION_PLACED)
			call_attempt_start(
			    call, call->queued_attempt, &decision.choice);
		else
			at_attempts_on_not_placed(call->attempts,
			    call->queued_attempt,
			    decision.choice_result == AT_CHOICE_LIMITED ||
				    decision.choice_result ==
					AT_CHOICE_PAUSED ||
				    is_closed_off(&decision)
				? reason_from_choice(decision.choice_result)
				: AT_REASON_OVERLOAD,
			    at_clock_now_ms());
		call_process(call);
	}
}

void
at_calls_refuse_queued(at_calls_t *calls, uint64_t left_ms)
{
	uint64_t latest_us = at_clock_now_us() + left_ms * US_PER_MS;
	at_call_t *call;

	for (call = calls->first; call != NULL; call = call->next) {
		/* A refusal can no longer be sent; the stream would be cut. */
		if (!call->waiter.is_queued || call->response_started ||
		    call->waiter.deadline_us <= latest_us)
			continue;
		at_wait_queue_remove(calls->deps.queue, &call->waiter);
		call->retry_after_ms = STOPPING_RETRY_MS;
		at_attempts_on_not_placed(call->attempts, call->queued_attempt,
		    AT_REASON_STOPPING, at_clock_now_ms());
		call_process(call);
	}
}

void
at_calls_abandon(at_calls_t *calls)
{
	at_call_t *call;

	for (call = calls->first; call != NULL; call = call->next) {
		call->retry_after_ms = STOPPING_RETRY_MS;
		at_attempts_abandon(call->attempts, AT_REASON_STOPPING);
		call_process(call);
	}
}
