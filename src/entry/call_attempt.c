/*
 * call_attempt.c - one attempt of a call at one backend server.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/call_impl.h"
#include "io/clock.h"

#define URL_SIZE 128        /* bytes of "http://" and an address */
#define CONNECT_MS 600u     /* a connection to a backend server */
#define HELD_MAX (8u << 20) /* bytes of an answer that is held */
#define HELD_GROWTH 2048u   /* bytes its buffer grows by at least */
#define URGENCY_SOON 2u     /* of a request due within SOON_MS */
#define URGENCY_LATER 5u    /* of any other */
#define SOON_MS 1000u       /* an objective below it is interactive */

void
held_answer_reset(held_answer_t *answer)
{
	at_response_headers_free(&answer->headers);
	free(answer->body);
	memset(answer, 0, sizeof(*answer));
}

void
leg_end(leg_t *leg, at_server_outcome_t outcome)
{
	at_call_t *call = leg->call;

	if (leg->transfer != NULL)
		at_transfer_cancel(leg->transfer);
	leg->transfer = NULL;
	if (leg->server != NULL)
		at_fleet_note_ended(call->entry->fleet, leg->server,
		    &call->waiter.work, leg->had_event, outcome,
		    at_clock_now_us());
	leg->server = NULL;
	at_event_frames_reset(&leg->frames);
}

static void
first_event(leg_t *leg)
{
	at_call_t *call = leg->call;
	uint64_t seen_us = at_clock_now_us() - leg->sent_us;

	if (leg->had_event)
		return;
	leg->had_event = 1;
	at_server_note_first_event(
	    leg->server, &call->waiter.work, leg->predicted_us, seen_us);
	at_counters_observe(call->entry->counters, "first_event_ms", "route",
	    at_route_type_names[call->route->type], seen_us / 1000u);
}

static void
on_sending(void *ctx)
{
	leg_t *leg = ctx;

	at_attempts_on_sending(
	    leg->call->machine, leg->number, at_clock_now_ms());
}

/* An answer that cannot be passed on ends the attempt. */
static void
reject(leg_t *leg, at_reason_t reason)
{
	at_call_t *call = leg->call;

	leg->fault = reason;
	at_log(AT_LOG_WARN, "call", call->id,
	    "answer rejected server=%s reason=%s", leg->server_id.text,
	    at_reason_names[reason]);
	leg_end(leg, AT_OUTCOME_FAILED);
	at_attempts_on_failed(call->machine, leg->number, reason,
	    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
	call_pump(call);
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	leg_t *leg = ctx;
	at_call_t *call = leg->call;
	at_server_response_t head;
	int is_success = status >= 200 && status < 300;

	at_server_response_read(transfer, status, call->id, &head);
	if (head.not_run) {
		leg->refused = 1;
		leg->misplaced = head.misplaced;
		return;
	}
	if (!head.is_ours) {
		reject(leg, AT_REASON_CROSSED);
		return;
	}
	if (!head.is_signed) {
		reject(leg, AT_REASON_TRUNCATED);
		return;
	}
	leg->answer.status = status;
	at_response_headers_read(transfer, &leg->answer.headers);
	leg->is_stream = is_success && call->route->type == AT_ROUTE_STREAM;
	at_attempts_on_headers(call->machine, leg->number, at_clock_now_ms());
	call_pump(call);
}

static void
on_event(void *ctx, const at_event_t *event)
{
	leg_t *leg = ctx;
	at_call_t *call = leg->call;

	if (call->over || leg->transfer == NULL)
		return;
	first_event(leg);
	/* A resumed run may repeat what was already passed on. */
	if (event->has_id && call->has_event_id && event->id <= call->event_id)
		return;
	if (event->has_id) {
		call->has_event_id = 1;
		call->event_id = event->id;
	}
	call->event = event;
	at_attempts_on_data(call->machine, leg->number, at_clock_now_ms());
	call_pump(call);
	call->event = NULL;
}

static int
hold(held_answer_t *answer, const char *data, size_t len)
{
	if (answer->len + len > HELD_MAX)
		return -1;
	if (answer->len + len > answer->size) {
		size_t size = answer->len + len + HELD_GROWTH;
		char *grown = realloc(answer->body, size);

		if (grown == NULL)
			return -1;
		answer->body = grown;
		answer->size = size;
	}
	memcpy(answer->body + answer->len, data, len);
	answer->len += len;
	return 0;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	leg_t *leg = ctx;
	at_call_t *call = leg->call;
	int result;

	if (leg->refused)
		return 0;
	if (leg->is_stream)
		result = at_event_frames_feed(
		    &leg->frames, data, len, on_event, leg);
	else
		result = hold(&leg->answer, data, len);
	if (result != 0 && leg->transfer != NULL)
		reject(leg, AT_REASON_TRUNCATED);
	if (!call->paused || leg->transfer == NULL)
		return 0;
	at_attempts_on_paused(call->machine, leg->number, 1, at_clock_now_ms());
	return 1;
}

/* A failure that a backend server answered with; another may do better. */
static void
take_failure(leg_t *leg)
{
	at_call_t *call = leg->call;

	held_answer_reset(&call->failure);
	call->failure = leg->answer;
	memset(&leg->answer, 0, sizeof(leg->answer));
	leg_end(leg, AT_OUTCOME_SUCCESS);
	at_attempts_on_failed(call->machine, leg->number,
	    AT_REASON_BACKEND_FAILED, AT_VERDICT_MAY_HAVE_RUN,
	    at_clock_now_ms());
}

static void
take_whole(leg_t *leg)
{
	at_call_t *call = leg->call;
	int may_repeat =
	    call->route->type == AT_ROUTE_SAFE ||
	    (call->route->type == AT_ROUTE_STREAM && call->route->resumable);

	if (leg->is_stream &&
	    at_event_frames_buffered_bytes(&leg->frames) > 0) {
		leg_end(leg, AT_OUTCOME_FAILED);
		at_attempts_on_failed(call->machine, leg->number,
		    AT_REASON_TRUNCATED, AT_VERDICT_MAY_HAVE_RUN,
		    at_clock_now_ms());
		return;
	}
	first_event(leg);
	if (leg->answer.status >= 500 && may_repeat) {
		take_failure(leg);
		return;
	}
	leg_end(leg, AT_OUTCOME_SUCCESS);
	at_attempts_on_complete(call->machine, leg->number, at_clock_now_ms());
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	leg_t *leg = ctx;
	at_call_t *call = leg->call;

	leg->transfer = NULL;
	if (leg->refused) {
		if (leg->misplaced && leg->server != NULL)
			at_server_note_misplaced(
			    leg->server, &call->waiter.work, at_clock_now_us());
		leg_end(leg, AT_OUTCOME_REFUSED);
		at_log(AT_LOG_INFO, "call", call->id,
		    "refused by server=%s status=%d", leg->server_id.text,
		    result->http_status);
		at_attempts_on_refused(
		    call->machine, leg->number, at_clock_now_ms());
	} else if (result->is_complete) {
		take_whole(leg);
	} else {
		at_log(AT_LOG_INFO, "call", call->id,
		    "broken off server=%s reason=%s verdict=%s events=%d",
		    leg->server_id.text, at_reason_names[result->reason],
		    at_verdict_names[result->verdict], leg->had_event);
		leg_end(leg, result->reason == AT_REASON_CONNECT_FAILED
				 ? AT_OUTCOME_UNREACHABLE
				 : AT_OUTCOME_FAILED);
		at_attempts_on_failed(call->machine, leg->number,
		    result->reason, result->verdict, at_clock_now_ms());
	}
	call_pump(call);
}

static uint32_t
left_ms(const at_call_t *call, uint64_t now_us)
{
	uint64_t deadline_us = call->waiter.deadline_us;

	return deadline_us <= now_us
		   ? 1
		   : (uint32_t)((deadline_us - now_us) / 1000u) + 1u;
}

static at_transfer_t *
start_transfer(leg_t *leg, const at_server_entry_t *to, uint64_t now_us)
{
	at_call_t *call = leg->call;
	char url[URL_SIZE];
	char resume_after[32];
	at_header_lines_t lines = {0};
	const at_server_call_t say = {.server_id = to->id.text,
	    .workspace =
		call->workspace == NULL ? NULL : call->workspace->name.text,
	    .remaining_ms = left_ms(call, now_us),
	    .priority = call->route->objective_ms <= SOON_MS ? URGENCY_SOON
							     : URGENCY_LATER,
	    .is_model_engine = call->service->has_models,
	    .resume_after = call->has_event_id ? resume_after : NULL};
	at_transfer_spec_t spec = {.method = at_httpd_method(call->request),
	    .url = url,
	    .target = at_httpd_target(call->request),
	    .connect_ms = CONNECT_MS,
	    .new_connection = call->route->type == AT_ROUTE_UNSAFE ||
			      (call->route->type == AT_ROUTE_STREAM &&
				  !call->route->resumable) ||
			      leg->number > 0,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {.on_headers = on_head,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = leg};
	at_transfer_t *transfer = NULL;

	(void)snprintf(url, sizeof(url), "http://%s/", to->address);
	(void)snprintf(resume_after, sizeof(resume_after), "%llu",
	    (unsigned long long)call->event_id);
	spec.body = at_httpd_body(call->request, &spec.body_len);
	if (at_server_call_build_headers(&call->lines, &say, &lines) == 0) {
		spec.headers = (const char *const *)lines.lines;
		transfer = at_httpc_start(call->entry->httpc, &spec, &events);
	}
	at_header_lines_free(&lines);
	return transfer;
}

void
leg_start(at_call_t *call, uint32_t number, const at_choice_t *choice)
{
	leg_t *leg = &call->leg;
	const at_server_entry_t *to = at_server_entry(choice->server);
	uint64_t now_us = at_clock_now_us();

	held_answer_reset(&leg->answer);
	memset(leg, 0, sizeof(*leg));
	leg->call = call;
	leg->number = number;
	leg->server_id = to->id;
	leg->sent_us = now_us;
	leg->predicted_us = choice->predicted_us;
	if (at_attempts_on_placed(
		call->machine, number, NULL, at_clock_now_ms()) != 0)
		return;
	call->waiter.work.avoid[number] = to->tag;
	leg->transfer = start_transfer(leg, to, now_us);
	if (leg->transfer == NULL) {
		at_attempts_on_failed(call->machine, number, AT_REASON_INTERNAL,
		    AT_VERDICT_NOT_RUN, at_clock_now_ms());
		return;
	}
	leg->server = choice->server;
	at_transfer_set_sending(leg->transfer, on_sending);
	at_server_note_sent(leg->server, &call->waiter.work, now_us);
	at_log(AT_LOG_DEBUG, "call", call->id,
	    "sent attempt=%u server=%s predicted_us=%llu waited_us=%llu",
	    number, to->id.text, (unsigned long long)leg->predicted_us,
	    (unsigned long long)call->waited_us);
}
