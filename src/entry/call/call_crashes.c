/*
 * call_crashes.c - a call and the crashes of backend servers: what it tells of
 * them, and whether it is refused because of them.
 */
#include <inttypes.h>
#include <stdlib.h>

#include "almondthread/log.h"
#include "entry/call/call_impl.h"
#include "entry/servers/server_crashes.h"
#include "io/clock.h"
#include "platform/caller.h"

/* Stated in refusals: the block lasts longer, the suspicion does not. */
#define BLOCKED_RETRY_MS 60000u
#define SUSPECT_RETRY_MS 1000u

void
call_fill_parts(const at_call_t *call, at_request_parts_t *parts)
{
	uint64_t *prompt;
	size_t body_len;
	size_t count;
	const void *body;

	if (call->request == NULL) {
		at_request_parts_copy(parts, &call->parts);
		return;
	}
	prompt = at_caller_prompt_parts(call->header.prompt, &count);
	body = at_httpd_body(call->request, &body_len);
	at_request_parts_init(parts, prompt, count,
	    at_httpd_target(call->request), call->header.key, body, body_len);
}

void
call_keep_parts(at_call_t *call)
{
	at_request_parts_clear(&call->parts);
	call_fill_parts(call, &call->parts);
}

void
call_note_begun(call_attempt_t *attempt)
{
	if (attempt->is_begun)
		return;
	attempt->is_begun = 1;
	call_notify_kind(attempt, AT_ATTEMPT_EVENT_BEGUN);
}

int
call_is_refused_for_crashes(at_call_t *call, int may_try)
{
	at_server_crashes_t *crashes = call->calls->deps.crashes;
	const at_crash_verdict_t *verdict;
	at_request_parts_t parts;

	if (!at_server_crashes_has_verdicts(crashes))
		return 0;
	call_fill_parts(call, &parts);
	verdict = at_server_crashes_check(crashes, &parts, may_try);
	at_request_parts_clear(&parts);
	if (verdict == NULL)
		return 0;
	call->retry_after_ms = verdict->state == AT_CAUSE_BLOCKED
				   ? BLOCKED_RETRY_MS
				   : SUSPECT_RETRY_MS;
	at_log(AT_LOG_INFO, "call", call->id,
	    "refused because of crashes part=%" PRIx64 " state=%s crashes=%u",
	    verdict->part, at_cause_state_names[verdict->state],
	    verdict->crashes);
	return 1;
}

/* Returns non-zero if an attempt that may be cancelled has not begun. */
static int
has_unbegun_attempt(const at_call_t *call)
{
	size_t i;

	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++) {
		if (call_attempt_is_open(&call->open_attempts[i]) &&
		    !call->open_attempts[i].is_begun)
			return call->route->type != AT_ROUTE_UNSAFE;
	}
	return 0;
}

static int
is_blocked(at_call_t *call)
{
	const at_crash_verdict_t *verdict;
	at_request_parts_t parts;

	call_fill_parts(call, &parts);
	verdict = at_server_crashes_check(call->calls->deps.crashes, &parts, 0);
	at_request_parts_clear(&parts);
	return verdict != NULL && verdict->state == AT_CAUSE_BLOCKED;
}

/* Engines that have not begun a blocked request yet are spared it. */
static void
apply_verdicts(at_call_t *call)
{
	if (call->waiter.is_queued && call_is_refused_for_crashes(call, 0)) {
		at_wait_queue_remove(call->calls->deps.queue, &call->waiter);
		at_attempts_on_not_placed(call->attempts, call->queued_attempt,
		    AT_REASON_CRASHES_BACKEND, at_clock_now_ms());
		call_process(call);
	} else if (has_unbegun_attempt(call) && is_blocked(call)) {
		at_log(AT_LOG_INFO, "call", call->id,
		    "cancelled because of crashes server=%s",
		    call->current->server_id.text);
		at_attempts_abandon(call->attempts, AT_REASON_CRASHES_BACKEND);
		call_process(call);
	}
}

void
at_calls_apply_verdicts(at_calls_t *calls)
{
	at_call_t *call;

	if (!at_server_crashes_has_verdicts(calls->deps.crashes))
		return;
	for (call = calls->first; call != NULL; call = call->next) {
		if (!call->is_finished && !call->is_processing)
			apply_verdicts(call);
	}
}
