/*
 * call_attempt.c - one attempt of a call at one backend server.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "almondthread/roster.h"
#include "entry/call/call_impl.h"
#include "entry/servers/reach.h"
#include "entry/servers/relay.h"
#include "io/clock.h"

#define URL_SIZE 128            /* bytes of "http://" and an address */
#define CONNECT_TIMEOUT_MS 600u /* for connecting to a backend server */
#define PERCENT 100u
/* While it is not known whether servers are reached, only these go directly. */
#define DOUBTED_ATTEMPTS 2u
/* An instance that could not pass an attempt on is avoided for this time. */
#define RELAY_AVOID_US 500000u
#define PRIORITY_INTERACTIVE 2u /* for an interactive objective */
#define PRIORITY_DEFAULT 5u     /* for any other objective */
/* An objective up to this is interactive. */
#define INTERACTIVE_OBJECTIVE_MAX_MS 1000u

static at_roster_member_t *
find_relay(const call_attempt_t *attempt)
{
	return at_roster_find(
	    attempt->call->calls->deps.roster, attempt->relay);
}

static void
note_relay_ended(const call_attempt_t *attempt)
{
	at_roster_member_t *member = find_relay(attempt);

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
	if (attempt->transfer != NULL)
		at_transfer_cancel(attempt->transfer);
	attempt->transfer = NULL;
	if (attempt->server != NULL && attempt->relay != 0)
		note_relay_ended(attempt);
	if (attempt->server != NULL) {
		uint64_t now_us = at_clock_now_us();

		call_notify(attempt,
		    &(at_attempt_event_t){
			.kind = AT_ATTEMPT_EVENT_ENDED, .outcome = outcome});
		at_wait_queue_note_ended(attempt->call->calls->deps.queue,
		    &attempt->call->waiter.work, outcome,
		    now_us - attempt->sent_us, now_us);
	}
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
on_sending(void *ctx)
{
	call_attempt_t *attempt = ctx;

	if (attempt->relay == 0 &&
	    at_transfer_is_on_new_connection(attempt->transfer))
		call_notify_kind(attempt, AT_ATTEMPT_EVENT_CONNECTED);
	at_attempts_on_sending(
	    attempt->call->attempts, attempt->number, at_clock_now_ms());
	call_set_timer(attempt->call);
}

static void
notify_lost(const call_attempt_t *attempt, const at_transfer_result_t *result,
    int is_sent)
{
	call_notify(attempt,
	    &(at_attempt_event_t){.kind = AT_ATTEMPT_EVENT_LOST,
		.result = result,
		.is_sent = is_sent,
		.why = at_relay_outcome_names[attempt->relay_outcome]});
}

/* The connection to the server has failed, or was lost. */
static void
handle_direct_failure(
    call_attempt_t *attempt, const at_transfer_result_t *result)
{
	at_call_t *call = attempt->call;
	at_server_outcome_t outcome = AT_OUTCOME_FAILED;

	if (result->reason == AT_REASON_CONNECT_FAILED)
		outcome = AT_OUTCOME_UNREACHABLE;
	notify_lost(
	    attempt, result, result->reason != AT_REASON_CONNECT_FAILED);
	/* It says nothing about the server. */
	if (at_reach_io_reaches_none(call->calls->deps.reach))
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
	notify_lost(attempt, result, !is_not_sent);
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
		call_finish_refused(attempt);
	} else if (result->is_complete &&
		   attempt->relay_outcome == AT_RELAY_PASSED) {
		call_finish_complete(attempt);
	} else if (attempt->relay == 0) {
		handle_direct_failure(attempt, result);
	} else {
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
	const at_transfer_events_t events = {.on_headers = call_on_headers,
	    .on_data = call_on_data,
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
	spec.shared_body = at_httpd_shared_body(call->request);
	relay_call.body = at_httpd_body(call->request, &relay_call.body_len);
	spec.new_connection |= relay != NULL;
	if (at_server_call_build_headers(
		&call->request_headers, &server_call, &lines) == 0 &&
	    (relay == NULL || at_relay_add_header(call->calls->deps.identity,
				  relay, &relay_call, &lines) == 0)) {
		spec.headers = (const char *const *)lines.lines;
		transfer =
		    at_httpc_start(call->calls->deps.httpc, &spec, &events);
	}
	at_header_lines_free(&lines);
	return transfer;
}

/*
 * The body is sent to instances in the allowed regions and in this instance's
 * own, which has it anyway.
 */
static int
may_pass_body_to(void *ctx, at_tag_t data_centre)
{
	const at_call_t *call = ctx;
	const at_calls_deps_t *deps = &call->calls->deps;
	at_tag_t region;

	if (data_centre == deps->identity->data_centre)
		return 1;
	region = at_fleet_region(deps->fleet, data_centre);
	return at_work_allows_region(&call->waiter.work, region) ||
	       (region != 0 && region == at_fleet_region(deps->fleet,
					     deps->identity->data_centre));
}

/* Returns the instance that should pass the attempt on, NULL for none. */
static at_roster_member_t *
choose_relay(at_call_t *call, uint32_t number, uint64_t now_us)
{
	const at_calls_deps_t *deps = &call->calls->deps;
	at_tag_t except = 0;
	size_t i;

	if ((number < DOUBTED_ATTEMPTS || at_reach_io_is_up(deps->reach)) &&
	    at_reach_is_direct(at_reach_io_state(deps->reach),
		(uint32_t)(at_rng_next(deps->rng) % PERCENT), now_us))
		return NULL;
	/* One that has fallen silent is not asked again. */
	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++) {
		if (call_attempt_is_open(&call->open_attempts[i]))
			except = call->open_attempts[i].relay;
	}
	return at_roster_choose_relay_where(deps->roster,
	    deps->identity->data_centre, except, may_pass_body_to, call,
	    now_us);
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
	at_transfer_set_sending_handler(attempt->transfer, on_sending);
	call_notify_kind(attempt, AT_ATTEMPT_EVENT_SENT);
}
