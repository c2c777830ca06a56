/*
 * call_response.c - the response to an attempt: what of it is passed on, and
 * what ends the attempt.
 */
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "almondthread/log.h"
#include "entry/call/call_impl.h"
#include "io/clock.h"

#define STATUS_STREAM 200 /* of a response that is a stream */
#define CONTENT_TYPE "Content-Type"
/* Largest response that is buffered. */
#define RESPONSE_BUFFER_MAX_BYTES (8u << 20)
/* Of all buffered responses; smaller ones are not refused for it. */
#define RESPONSE_BUFFERS_MAX_BYTES (32u << 20)
#define RESPONSE_SMALL_BYTES (64u << 10)
/* Longest body of a refusal that is read, so that its connection is kept. */
#define REFUSAL_BODY_MAX_BYTES (16u << 10)
/* Smallest growth of the buffer. */
#define RESPONSE_BUFFER_GROWTH_BYTES 2048u

char *
buffered_response_take(buffered_response_t *response)
{
	char *body = response->body;

	if (body != NULL)
		at_memory_sub(
		    response->memory, AT_MEMORY_RESPONSES, response->size);
	response->body = NULL;
	return body;
}

void
buffered_response_reset(buffered_response_t *response)
{
	at_response_headers_free(&response->headers);
	free(buffered_response_take(response));
	if (response->total_bytes != NULL)
		*response->total_bytes -= response->size;
	memset(response, 0, sizeof(*response));
}

static void
note_first_event(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;
	uint64_t elapsed_us = at_clock_now_us() - attempt->sent_us;

	if (attempt->had_event)
		return;
	attempt->had_event = 1;
	attempt->first_event_us = at_clock_now_us();
	call_notify(
	    attempt, &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_FIRST_EVENT,
			 .elapsed_us = elapsed_us});
	at_counters_observe(call->calls->deps.counters, "first_event_ms",
	    "route", at_route_type_names[call->route->type],
	    elapsed_us / 1000u);
}

/* Ends the attempt after a response that cannot be passed on. */
static void
reject_response(call_attempt_t *attempt, at_reason_t reason)
{
	at_call_t *call = attempt->call;

	attempt->fault = reason;
	call_notify(
	    attempt, &(at_attempt_event_t){
			 .kind = AT_ATTEMPT_EVENT_REJECTED, .reason = reason});
	call_attempt_end(attempt, AT_OUTCOME_FAILED);
	at_attempts_on_failed(call->attempts, attempt->number, reason,
	    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
	call_process(call);
}

static int
is_success(int status)
{
	return status >= 200 && status < 300;
}

/*
 * A refusal that was meant for an earlier request on a kept connection has that
 * request's id, or none. Without an id it is believed where there was no
 * earlier request.
 */
static int
is_own_refusal(const call_attempt_t *attempt, const at_transfer_t *transfer,
    const at_server_response_t *response)
{
	return response->names_request ||
	       (response->matches_request &&
		   (attempt->relay != 0 ||
		       at_transfer_is_on_new_connection(transfer)));
}

/* What goes on with a stream has the type of its first response. */
static int
has_same_type(const at_call_t *call, const at_transfer_t *transfer)
{
	const char *type = at_transfer_header(transfer, CONTENT_TYPE);

	return strncasecmp(type == NULL ? "" : type, call->content_type,
		   CONTENT_TYPE_SIZE - 1u) == 0;
}

void
call_on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;
	at_server_response_t server_response;

	if (attempt->relay != 0) {
		attempt->relay_outcome =
		    at_relay_read_outcome(transfer, status);
		attempt->relay_has_responded = 1;
	}
	if (attempt->relay_outcome != AT_RELAY_PASSED)
		return;
	call_notify_kind(attempt, AT_ATTEMPT_EVENT_RECEIVED);
	at_server_response_read(transfer, status, call->id, &server_response);
	if (attempt->server != NULL)
		call_notify(attempt,
		    &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_STATED,
			.response = &server_response});
	if (server_response.is_not_run &&
	    !is_own_refusal(attempt, transfer, &server_response)) {
		reject_response(attempt, AT_REASON_CROSSED);
		return;
	}
	if (server_response.is_not_run) {
		attempt->is_refused = 1;
		attempt->is_misplaced = server_response.is_misplaced;
		attempt->refused_status = status;
		return;
	}
	if (!server_response.matches_request) {
		reject_response(attempt, AT_REASON_CROSSED);
		return;
	}
	if (!server_response.is_signed) {
		reject_response(attempt, AT_REASON_TRUNCATED);
		return;
	}
	attempt->response.status = status;
	at_response_headers_read(transfer, &attempt->response.headers);
	attempt->is_stream =
	    status == STATUS_STREAM && call->route->type == AT_ROUTE_STREAM;
	if (attempt->is_resumption && attempt->is_stream &&
	    !has_same_type(call, transfer)) {
		reject_response(attempt, AT_REASON_TRUNCATED);
		return;
	}
	/* A failure does not take a stream over from another attempt. */
	if (attempt->is_stream || call->route->type != AT_ROUTE_STREAM)
		at_attempts_on_headers(
		    call->attempts, attempt->number, at_clock_now_ms());
	call_process(call);
}

/* What two software versions generate does not fit together. */
static void
note_origin(const call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;

	call->waiter.work.software = attempt->software;
	if (call->stream == 0 || call->is_origin_reported)
		return;
	call->is_origin_reported = 1;
	call_notify_kind(attempt, AT_ATTEMPT_EVENT_ORIGIN);
}

static void
note_gap(call_attempt_t *attempt)
{
	uint32_t usual_us = 0;
	uint32_t count;

	attempt->event_count++;
	count = at_event_gaps_add(&attempt->gaps, at_clock_now_us(), &usual_us);
	if (count > 0)
		call_notify(attempt,
		    &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_GAPS,
			.gap_count = count,
			.gap_us = usual_us});
}

static void
on_event(void *ctx, const at_event_t *event)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;

	if (call->is_finished || attempt->transfer == NULL)
		return;
	note_first_event(attempt);
	note_gap(attempt);
	if (at_clock_now_us() >=
	    attempt->first_event_us + AT_CRASH_BEGUN_AFTER_US)
		call_note_begun(attempt);
	/* Without an id, nothing shows that it follows the last event. */
	if (attempt->is_resumption && !event->has_id)
		attempt->is_other_stream = 1;
	if (attempt->is_other_stream)
		return;
	/* A resumed stream may repeat events that were already passed on. */
	if (event->has_id && call->has_event_id && event->id <= call->event_id)
		return;
	if (event->has_id) {
		call->has_event_id = 1;
		call->event_id = event->id;
	}
	note_origin(attempt);
	call->event = event;
	at_attempts_on_data(call->attempts, attempt->number, at_clock_now_ms());
	call_process(call);
	call->event = NULL;
	/* What waits for a slow caller says nothing of the server. */
	if (call->is_paused)
		at_event_gaps_reset(&attempt->gaps);
}

static int
append_body(at_call_t *call, buffered_response_t *response, const char *data,
    size_t len)
{
	at_calls_t *calls = call->calls;

	if (response->len + len > RESPONSE_SMALL_BYTES &&
	    call->request != NULL &&
	    at_httpd_claim_response(call->request, len) != 0)
		return -1;
	if (response->len + len > RESPONSE_BUFFER_MAX_BYTES ||
	    (response->len + len > RESPONSE_SMALL_BYTES &&
		calls->buffered_bytes + len > RESPONSE_BUFFERS_MAX_BYTES))
		return -1;
	if (response->len + len > response->size) {
		size_t size =
		    response->len + len + RESPONSE_BUFFER_GROWTH_BYTES;
		char *body = realloc(response->body, size);

		if (body == NULL)
			return -1;
		calls->buffered_bytes += size - response->size;
		response->total_bytes = &calls->buffered_bytes;
		response->memory = calls->deps.memory;
		at_memory_add(response->memory, AT_MEMORY_RESPONSES,
		    size - response->size);
		response->body = body;
		response->size = size;
	}
	memcpy(response->body + response->len, data, len);
	response->len += len;
	return 0;
}

/* The server states that it did not run the request. */
void
call_finish_refused(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;

	call_notify(
	    attempt, &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_REFUSED,
			 .status = attempt->refused_status,
			 .is_misplaced = attempt->is_misplaced});
	call_attempt_end(attempt, AT_OUTCOME_REFUSED);
	at_attempts_on_refused(
	    call->attempts, attempt->number, at_clock_now_ms());
}

int
call_on_data(void *ctx, const char *data, size_t len)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;
	int result;

	if (attempt->relay_outcome != AT_RELAY_PASSED)
		return 0;
	call_notify_kind(attempt, AT_ATTEMPT_EVENT_RECEIVED);
	if (attempt->is_refused) {
		attempt->refused_bytes += len;
		if (attempt->refused_bytes > REFUSAL_BODY_MAX_BYTES &&
		    attempt->transfer != NULL) {
			call_finish_refused(attempt);
			call_process(call);
		}
		return 0;
	}
	if (attempt->is_stream)
		result = at_event_frames_feed(&attempt->frames, data, len,
			     on_event, attempt) != 0 ||
			 attempt->is_other_stream;
	else
		result = append_body(call, &attempt->response, data, len);
	if (result != 0 && attempt->transfer != NULL)
		reject_response(attempt, AT_REASON_TRUNCATED);
	if (!call->is_paused || attempt->transfer == NULL)
		return 0;
	at_attempts_on_paused(
	    call->attempts, attempt->number, 1, at_clock_now_ms());
	return 1;
}

/*
 * Fails the attempt; another one may succeed. The response is kept to be passed
 * on if none does, unless its status says what the server has not stated.
 */
static void
handle_failure_response(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;

	if (at_caller_status_says_not_run(attempt->response.status)) {
		call_notify(attempt,
		    &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_MAY_HAVE_RUN,
			.status = attempt->response.status});
		buffered_response_reset(&attempt->response);
	} else {
		buffered_response_reset(&call->failure_response);
		call->failure_response = attempt->response;
		memset(&attempt->response, 0, sizeof(attempt->response));
	}
	call_attempt_end(attempt, AT_OUTCOME_SUCCESS);
	at_attempts_on_failed(call->attempts, attempt->number,
	    AT_REASON_BACKEND_FAILED, AT_VERDICT_MAY_HAVE_RUN,
	    at_clock_now_ms());
}

void
call_finish_complete(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;
	int may_repeat =
	    call->route->type == AT_ROUTE_SAFE ||
	    (call->route->type == AT_ROUTE_STREAM && call->route->is_resumable);
	/* A failure does not complete a stream that has begun. */
	int is_partial = attempt->is_stream ? at_event_frames_buffered_bytes(
						  &attempt->frames) > 0
					    : call->response_started;

	if (is_partial) {
		call_attempt_end(attempt, AT_OUTCOME_FAILED);
		at_attempts_on_failed(call->attempts, attempt->number,
		    AT_REASON_TRUNCATED, AT_VERDICT_MAY_HAVE_RUN,
		    at_clock_now_ms());
		return;
	}
	note_first_event(attempt);
	/* A failure does not show that the server survives an answer. */
	if (is_success(attempt->response.status))
		call_note_begun(attempt);
	if (at_caller_status_says_not_run(attempt->response.status) ||
	    (attempt->response.status >= 500 && may_repeat)) {
		handle_failure_response(attempt);
		return;
	}
	call_attempt_end(attempt, AT_OUTCOME_SUCCESS);
	at_attempts_on_complete(
	    call->attempts, attempt->number, at_clock_now_ms());
}
