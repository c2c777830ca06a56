/*
 * call_attempt.c - one attempt of a call at one backend server.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "almondthread/log.h"
#include "entry/call_impl.h"
#include "entry/server_crashes.h"
#include "entry/server_notices.h"
#include "entry/gossip.h"
#include "entry/reach.h"
#include "io/clock.h"

#define URL_SIZE 128 /* bytes of "http://" and an address */
/* Bytes of the ids of all parts of a prompt, with commas and the NUL. */
#define PARTS_TEXT_SIZE (AT_PREFIX_PARTS_MAX * 17u + 1u)
#define US_PER_MS 1000u
#define CONNECT_TIMEOUT_MS 600u /* for connecting to a backend server */
#define PERCENT 100u
#define STATUS_STREAM 200 /* of a response that is a stream */
#define CONTENT_TYPE "Content-Type"
/* While it is not known whether servers are reached, only these go directly. */
#define DOUBTED_ATTEMPTS 2u
/* An instance that could not pass an attempt on is avoided for this time. */
#define RELAY_AVOID_US 500000u
/* Largest response that is buffered. */
#define RESPONSE_BUFFER_MAX_BYTES (8u << 20)
/* Of all buffered responses; smaller ones are not refused for it. */
#define RESPONSE_BUFFERS_MAX_BYTES (32u << 20)
#define RESPONSE_SMALL_BYTES (64u << 10)
/* Longest body of a refusal that is read, so that its connection is kept. */
#define REFUSAL_BODY_MAX_BYTES (16u << 10)
/* Smallest growth of the buffer. */
#define RESPONSE_BUFFER_GROWTH_BYTES 2048u
#define PRIORITY_INTERACTIVE 2u /* for an interactive objective */
#define PRIORITY_DEFAULT 5u     /* for any other objective */
/* An objective up to this is interactive. */
#define INTERACTIVE_OBJECTIVE_MAX_MS 1000u

void
buffered_response_reset(buffered_response_t *response)
{
	at_response_headers_free(&response->headers);
	free(response->body);
	if (response->total_bytes != NULL)
		*response->total_bytes -= response->size;
	memset(response, 0, sizeof(*response));
}

static at_roster_member_t *
find_relay(const call_attempt_t *attempt)
{
	return at_roster_find(attempt->call->entry->roster, attempt->relay);
}

static void
note_way_ended(const call_attempt_t *attempt)
{
	at_roster_member_t *member;

	if (attempt->relay == 0) {
		at_reach_note_ended(
		    at_reach_io_state(attempt->call->entry->reach));
		return;
	}
	member = find_relay(attempt);
	/* An instance that was removed meanwhile counts anew. */
	if (member != NULL && member->relays_open > 0)
		member->relays_open--;
}

static void
avoid_relay(const call_attempt_t *attempt)
{
	at_roster_member_t *member = find_relay(attempt);

	if (member != NULL)
		member->relay_avoid_until_us =
		    at_clock_now_us() + RELAY_AVOID_US;
}

void
call_attempt_end(call_attempt_t *attempt, at_server_outcome_t outcome)
{
	at_call_t *call = attempt->call;

	if (attempt->transfer != NULL)
		at_transfer_cancel(attempt->transfer);
	attempt->transfer = NULL;
	if (attempt->server != NULL)
		note_way_ended(attempt);
	if (attempt->server != NULL)
		at_fleet_note_ended(call->entry->fleet, attempt->server,
		    &call->waiter.work, attempt->had_event, outcome,
		    at_clock_now_us());
	attempt->server = NULL;
	at_event_frames_reset(&attempt->frames);
}

int
call_attempt_is_open(const call_attempt_t *attempt)
{
	return attempt->server != NULL;
}

call_attempt_t *
call_attempt_find(at_call_t *call, uint32_t number)
{
	size_t i;

	for (i = 0; i < OPEN_ATTEMPTS_MAX && number != AT_ATTEMPT_NONE; i++) {
		if (call->open_attempts[i].number == number)
			return &call->open_attempts[i];
	}
	return NULL;
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
	at_server_note_first_event(attempt->server, &call->waiter.work,
	    attempt->predicted_us, elapsed_us);
	at_counters_observe(call->entry->counters, "first_event_ms", "route",
	    at_route_type_names[call->route->type], elapsed_us / 1000u);
}

static void
on_sending(void *ctx)
{
	call_attempt_t *attempt = ctx;

	if (attempt->relay == 0 &&
	    at_transfer_is_on_new_connection(attempt->transfer))
		at_reach_note_connected(
		    at_reach_io_state(attempt->call->entry->reach),
		    at_clock_now_us());
	at_attempts_on_sending(
	    attempt->call->attempts, attempt->number, at_clock_now_ms());
	call_set_timer(attempt->call);
}

/* Ends the attempt after a response that cannot be passed on. */
static void
reject_response(call_attempt_t *attempt, at_reason_t reason)
{
	at_call_t *call = attempt->call;

	attempt->fault = reason;
	at_log(AT_LOG_WARN, "call", call->id,
	    "response rejected; attempt failed server=%s reason=%s",
	    attempt->server_id.text, at_reason_names[reason]);
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

static void
note_received(const call_attempt_t *attempt)
{
	if (attempt->relay == 0)
		at_reach_note_received(
		    at_reach_io_state(attempt->call->entry->reach),
		    at_clock_now_us());
}

static void
note_pause(const call_attempt_t *attempt, uint32_t pause_ms)
{
	at_server_note_pause(attempt->server,
	    at_clock_now_us() + (uint64_t)pause_ms * US_PER_MS);
	at_log(AT_LOG_INFO, "fleet", NULL,
	    "server wants no requests for some time server=%s pause_ms=%u%s",
	    attempt->server_id.text, pause_ms,
	    pause_ms >= AT_SERVER_PAUSE_MAX_MS ? " at_most=1" : "");
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

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;
	at_server_response_t server_response;

	if (attempt->relay != 0) {
		attempt->relay_outcome = at_relay_read_outcome(transfer);
		attempt->relay_has_responded = 1;
	}
	if (attempt->relay_outcome != AT_RELAY_PASSED)
		return;
	note_received(attempt);
	at_server_response_read(transfer, status, call->id, &server_response);
	if (attempt->server != NULL) {
		at_server_notices_limit(call->entry->notices, attempt->server,
		    server_response.limit_milli, attempt->sent_us);
		at_server_notices_brittle(call->entry->notices, attempt->server,
		    server_response.is_brittle, server_response.is_rejected,
		    attempt->sent_us);
		if (server_response.is_leaving)
			at_server_notices_leaving(
			    call->entry->notices, attempt->server);
		if (server_response.pause_ms != 0)
			note_pause(attempt, server_response.pause_ms);
	}
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
	at_entry_t *entry = call->entry;

	call->waiter.work.software = attempt->software;
	if (call->stream == 0 || call->is_origin_reported)
		return;
	call->is_origin_reported = 1;
	at_stream_origins_note(
	    entry->origins, call->stream, attempt->software, at_clock_now_us());
	at_gossip_send_origins_soon(entry->gossip);
}

static void
on_event(void *ctx, const at_event_t *event)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;

	if (call->is_finished || attempt->transfer == NULL)
		return;
	note_first_event(attempt);
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
}

static int
append_body(at_entry_t *entry, buffered_response_t *response, const char *data,
    size_t len)
{
	if (response->len + len > RESPONSE_BUFFER_MAX_BYTES ||
	    (response->len + len > RESPONSE_SMALL_BYTES &&
		entry->buffered_bytes + len > RESPONSE_BUFFERS_MAX_BYTES))
		return -1;
	if (response->len + len > response->size) {
		size_t size =
		    response->len + len + RESPONSE_BUFFER_GROWTH_BYTES;
		char *body = realloc(response->body, size);

		if (body == NULL)
			return -1;
		entry->buffered_bytes += size - response->size;
		response->total_bytes = &entry->buffered_bytes;
		response->body = body;
		response->size = size;
	}
	memcpy(response->body + response->len, data, len);
	response->len += len;
	return 0;
}

/* The server states that it did not run the request. */
static void
finish_refused(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;

	if (attempt->is_misplaced && attempt->server != NULL)
		at_server_note_misplaced(
		    attempt->server, &call->waiter.work, at_clock_now_us());
	call_attempt_end(attempt, AT_OUTCOME_REFUSED);
	at_log(AT_LOG_INFO, "call", call->id,
	    "attempt refused server=%s status=%d", attempt->server_id.text,
	    attempt->refused_status);
	at_attempts_on_refused(
	    call->attempts, attempt->number, at_clock_now_ms());
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;
	int result;

	if (attempt->relay_outcome != AT_RELAY_PASSED)
		return 0;
	note_received(attempt);
	if (attempt->is_refused) {
		attempt->refused_bytes += len;
		if (attempt->refused_bytes > REFUSAL_BODY_MAX_BYTES &&
		    attempt->transfer != NULL) {
			finish_refused(attempt);
			call_process(call);
		}
		return 0;
	}
	if (attempt->is_stream)
		result = at_event_frames_feed(&attempt->frames, data, len,
			     on_event, attempt) != 0 ||
			 attempt->is_other_stream;
	else
		result =
		    append_body(call->entry, &attempt->response, data, len);
	if (result != 0 && attempt->transfer != NULL)
		reject_response(attempt, AT_REASON_TRUNCATED);
	if (!call->is_paused || attempt->transfer == NULL)
		return 0;
	at_attempts_on_paused(
	    call->attempts, attempt->number, 1, at_clock_now_ms());
	return 1;
}

/*
 * Keeps a backend server's failure response and fails the attempt; another
 * attempt may succeed.
 */
static void
handle_failure_response(call_attempt_t *attempt)
{
	at_call_t *call = attempt->call;

	buffered_response_reset(&call->failure_response);
	call->failure_response = attempt->response;
	memset(&attempt->response, 0, sizeof(attempt->response));
	call_attempt_end(attempt, AT_OUTCOME_SUCCESS);
	at_attempts_on_failed(call->attempts, attempt->number,
	    AT_REASON_BACKEND_FAILED, AT_VERDICT_MAY_HAVE_RUN,
	    at_clock_now_ms());
}

static void
handle_complete(call_attempt_t *attempt)
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
	if (attempt->response.status >= 500 && may_repeat) {
		handle_failure_response(attempt);
		return;
	}
	call_attempt_end(attempt, AT_OUTCOME_SUCCESS);
	at_attempts_on_complete(
	    call->attempts, attempt->number, at_clock_now_ms());
}

/* Writes the ids of the parts of a prompt, "ID,ID"; "-" if there are none. */
static void
format_parts(const at_work_t *work, char text[PARTS_TEXT_SIZE])
{
	size_t len = 0;
	size_t i;

	(void)snprintf(text, PARTS_TEXT_SIZE, "-");
	for (i = 0; i < work->prefix_count; i++)
		len += (size_t)snprintf(text + len, PARTS_TEXT_SIZE - len,
		    "%s%" PRIx64, i == 0 ? "" : ",", work->prefix[i].id);
}

static void
log_failure(const call_attempt_t *attempt, const at_transfer_result_t *result)
{
	const at_call_t *call = attempt->call;
	char parts[PARTS_TEXT_SIZE];

	/* The other instance has responded itself. */
	if (result->is_complete) {
		at_log(AT_LOG_INFO, "call", call->id,
		    "attempt not passed on server=%s via=%s outcome=%s",
		    attempt->server_id.text, call_via(attempt),
		    at_relay_outcome_names[attempt->relay_outcome]);
		return;
	}
	format_parts(&call->waiter.work, parts);
	at_log(AT_LOG_INFO, "call", call->id,
	    "attempt failed server=%s reason=%s verdict=%s had_event=%d "
	    "parts=%s via=%s",
	    attempt->server_id.text, at_reason_names[result->reason],
	    at_verdict_names[result->verdict], attempt->had_event, parts,
	    call_via(attempt));
}

/* The connection to the server has failed, or was lost. */
static void
handle_direct_failure(
    call_attempt_t *attempt, const at_transfer_result_t *result)
{
	at_call_t *call = attempt->call;
	at_server_outcome_t outcome = AT_OUTCOME_FAILED;

	if (result->reason == AT_REASON_CONNECT_FAILED) {
		outcome = AT_OUTCOME_UNREACHABLE;
		at_reach_io_note_failed(call->entry->reach);
	} else {
		call_note_lost(attempt);
	}
	/* It says nothing about the server. */
	if (at_reach_io_reaches_none(call->entry->reach))
		outcome = AT_OUTCOME_UNKNOWN;
	call_attempt_end(attempt, outcome);
	at_attempts_on_failed(call->attempts, attempt->number, result->reason,
	    result->verdict, at_clock_now_ms());
}

/*
 * The connection to the instance that should pass the attempt on has failed or
 * was lost, or that instance responds itself.
 */
static void
handle_relay_failure(
    call_attempt_t *attempt, const at_transfer_result_t *result)
{
	at_call_t *call = attempt->call;
	at_server_outcome_t outcome = AT_OUTCOME_UNKNOWN;
	int is_not_sent = 0;

	if (attempt->relay_outcome == AT_RELAY_UNREACHABLE ||
	    attempt->relay_outcome == AT_RELAY_CONNECTION_REFUSED) {
		outcome = AT_OUTCOME_UNREACHABLE;
		is_not_sent = 1;
	} else if (attempt->relay_outcome == AT_RELAY_LOST) {
		outcome = AT_OUTCOME_FAILED;
	} else {
		is_not_sent = attempt->relay_outcome == AT_RELAY_REFUSED ||
			      result->verdict == AT_VERDICT_NOT_RUN;
		/* A server's response that breaks off is not its failure. */
		if (!attempt->relay_has_responded ||
		    attempt->relay_outcome == AT_RELAY_REFUSED)
			avoid_relay(attempt);
	}
	/* Nothing speaks against the server if the attempt did not get there.
	 */
	if (is_not_sent && outcome == AT_OUTCOME_UNKNOWN)
		call->waiter.work.avoid[attempt->number] = 0;
	if (!is_not_sent)
		call_note_lost(attempt);
	call_attempt_end(attempt, outcome);
	if (is_not_sent)
		at_attempts_on_not_passed(
		    call->attempts, attempt->number, at_clock_now_ms());
	else
		at_attempts_on_failed(call->attempts, attempt->number,
		    attempt->relay_outcome == AT_RELAY_LOST
			? AT_REASON_BACKEND_RESET
			: result->reason,
		    AT_VERDICT_MAY_HAVE_RUN, at_clock_now_ms());
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	call_attempt_t *attempt = ctx;
	at_call_t *call = attempt->call;

	attempt->transfer = NULL;
	if (attempt->is_refused) {
		finish_refused(attempt);
	} else if (result->is_complete &&
		   attempt->relay_outcome == AT_RELAY_PASSED) {
		handle_complete(attempt);
	} else {
		log_failure(attempt, result);
		if (attempt->relay == 0)
			handle_direct_failure(attempt, result);
		else
			handle_relay_failure(attempt, result);
	}
	call_process(call);
}

static uint32_t
remaining_ms(const at_call_t *call, uint64_t now_us)
{
	uint64_t deadline_us = call->waiter.deadline_us;

	return deadline_us <= now_us
		   ? 1
		   : (uint32_t)((deadline_us - now_us) / 1000u) + 1u;
}

static at_transfer_t *
start_transfer(call_attempt_t *attempt, const at_server_entry_t *server_entry,
    const at_roster_member_t *relay, uint64_t now_us)
{
	at_call_t *call = attempt->call;
	char url[URL_SIZE];
	char resume_after[32];
	at_header_lines_t lines = {0};
	const at_server_call_t server_call = {
	    .server_id = server_entry->id.text,
	    .workspace =
		call->workspace == NULL ? NULL : call->workspace->name.text,
	    .remaining_ms = remaining_ms(call, now_us),
	    .priority =
		call->route->objective_ms <= INTERACTIVE_OBJECTIVE_MAX_MS
		    ? PRIORITY_INTERACTIVE
		    : PRIORITY_DEFAULT,
	    .is_model_engine = call->service->has_models,
	    .resume_after = call->has_event_id ? resume_after : NULL};
	at_transfer_spec_t spec = {.method = at_httpd_method(call->request),
	    .url = url,
	    .target = at_httpd_target(call->request),
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    .new_connection = call->route->type == AT_ROUTE_UNSAFE ||
			      (call->route->type == AT_ROUTE_STREAM &&
				  !call->route->is_resumable) ||
			      attempt->number > 0,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {.on_headers = on_headers,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = attempt};
	at_relay_call_t relay_call = {.server_id = server_entry->id.text,
	    .request_id = call->id,
	    .method = spec.method,
	    .target = spec.target,
	    .new_connection = spec.new_connection};
	at_transfer_t *transfer = NULL;

	(void)snprintf(url, sizeof(url), "http://%s/",
	    relay == NULL ? server_entry->address : relay->address);
	(void)snprintf(resume_after, sizeof(resume_after), "%llu",
	    (unsigned long long)call->event_id);
	spec.body = at_httpd_body(call->request, &spec.body_len);
	relay_call.body = spec.body;
	relay_call.body_len = spec.body_len;
	spec.new_connection |= relay != NULL;
	if (at_server_call_build_headers(
		&call->request_headers, &server_call, &lines) == 0 &&
	    (relay == NULL || at_relay_add_header(&call->entry->identity, relay,
				  &relay_call, &lines) == 0)) {
		spec.headers = (const char *const *)lines.lines;
		transfer = at_httpc_start(call->entry->httpc, &spec, &events);
	}
	at_header_lines_free(&lines);
	return transfer;
}

/* Returns the instance that should pass the attempt on, NULL for none. */
static at_roster_member_t *
choose_relay(const at_call_t *call, uint32_t number, uint64_t now_us)
{
	at_entry_t *entry = call->entry;
	at_tag_t except = 0;
	size_t i;

	if ((number < DOUBTED_ATTEMPTS || at_reach_io_is_up(entry->reach)) &&
	    at_reach_is_direct(at_reach_io_state(entry->reach),
		(uint32_t)(at_rng_next(&entry->rng) % PERCENT), now_us))
		return NULL;
	/* One that has fallen silent is not asked again. */
	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++) {
		if (call_attempt_is_open(&call->open_attempts[i]))
			except = call->open_attempts[i].relay;
	}
	return at_roster_choose_relay(
	    entry->roster, entry->identity.data_centre, except, now_us);
}

const char *
call_via(const call_attempt_t *attempt)
{
	return attempt->relay == 0 ? "-" : attempt->relay_name.text;
}

void
call_attempt_start(at_call_t *call, uint32_t number, const at_choice_t *choice)
{
	call_attempt_t *attempt = call_attempt_is_open(&call->open_attempts[0])
				      ? &call->open_attempts[1]
				      : &call->open_attempts[0];
	const at_server_entry_t *server_entry = at_server_entry(choice->server);
	uint64_t now_us = at_clock_now_us();
	at_roster_member_t *relay = choose_relay(call, number, now_us);

	buffered_response_reset(&attempt->response);
	memset(attempt, 0, sizeof(*attempt));
	attempt->call = call;
	if (relay != NULL) {
		attempt->relay = relay->tag;
		attempt->relay_name = relay->name;
	}
	attempt->number = number;
	attempt->server_id = server_entry->id;
	attempt->software = server_entry->software;
	attempt->sent_us = now_us;
	attempt->predicted_us = choice->predicted_us;
	attempt->is_resumption = call->response_started;
	if (at_attempts_on_placed(
		call->attempts, number, NULL, at_clock_now_ms()) != 0)
		return;
	if (!call_attempt_is_open(call->current))
		call->current = attempt;
	call->waiter.work.avoid[number] = server_entry->tag;
	attempt->transfer =
	    start_transfer(attempt, server_entry, relay, now_us);
	if (attempt->transfer == NULL) {
		at_attempts_on_failed(call->attempts, number,
		    AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN, at_clock_now_ms());
		return;
	}
	attempt->server = choice->server;
	if (relay != NULL)
		relay->relays_open++;
	else
		at_reach_note_sent(
		    at_reach_io_state(call->entry->reach), now_us);
	at_transfer_set_sending_handler(attempt->transfer, on_sending);
	at_server_note_sent(attempt->server, &call->waiter.work, now_us);
	at_log(AT_LOG_DEBUG, "call", call->id,
	    "request sent attempt=%u server=%s via=%s predicted_us=%llu "
	    "waited_us=%llu",
	    number, server_entry->id.text, call_via(attempt),
	    (unsigned long long)attempt->predicted_us,
	    (unsigned long long)call->waited_us);
}
