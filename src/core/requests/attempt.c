#include "core/requests/attempt_internal.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

const char *const at_attempt_state_names[] = {
    "unused", "placing", "connecting", "sent", "answering", "ended"};
const char *const at_action_kind_names[] = {
    "start", "cancel", "deliver", "finish"};

at_attempts_t *
at_attempts_new(void)
{
	at_attempts_t *attempts = calloc(1, sizeof(*attempts));

	if (attempts == NULL)
		return NULL;
	attempts->delivered = AT_ATTEMPT_NONE;
	attempts->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
	return attempts;
}

void
at_attempts_delete(at_attempts_t *attempts)
{
	free(attempts);
}

void
at_attempts_set_limits(
    at_attempts_t *attempts, const at_attempt_limits_t *limits)
{
	assert(limits->attempts_max >= 1);
	assert(limits->attempts_max <= AT_ATTEMPTS_MAX);
	attempts->limits = *limits;
}

void
at_attempts_set_repeat(at_attempts_t *attempts, at_repeat_t repeat)
{
	attempts->repeat = repeat;
}

void
at_attempts_set_resumable(at_attempts_t *attempts, int resumable)
{
	attempts->is_resumable = resumable;
}

void
at_attempts_set_budget(at_attempts_t *attempts, at_budget_t *budget)
{
	attempts->budget = budget;
}

static at_action_t *
add_action(at_attempts_t *attempts, at_action_kind_t kind, uint32_t k)
{
	at_action_t *action;

	if (attempts->action_next == attempts->action_count) {
		attempts->action_next = 0;
		attempts->action_count = 0;
	}
	assert(attempts->action_count < ACTIONS_MAX);
	action = &attempts->actions[attempts->action_count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->attempt = k;
	return action;
}

int
at_attempts_next_action(at_attempts_t *attempts, at_action_t *action)
{
	if (attempts->action_next == attempts->action_count)
		return 0;
	*action = attempts->actions[attempts->action_next++];
	return 1;
}

int
attempt_is_live(const attempt_t *attempt)
{
	return attempt->state > AT_ATTEMPT_UNUSED &&
	       attempt->state < AT_ATTEMPT_ENDED;
}

int
attempt_is_open(const attempt_t *attempt)
{
	return attempt_is_live(attempt) && attempt->state != AT_ATTEMPT_PLACING;
}

uint32_t
attempts_live(const at_attempts_t *attempts)
{
	uint32_t live = 0;
	uint32_t k;

	for (k = 0; k < attempts->count; k++)
		live += (uint32_t)attempt_is_live(&attempts->list[k]);
	return live;
}

/* Returns the attempt if it is open, or NULL. */
static attempt_t *
open_attempt(at_attempts_t *attempts, uint32_t k)
{
	assert(k < attempts->count);
	if (attempts->is_finished || !attempt_is_open(&attempts->list[k]))
		return NULL;
	return &attempts->list[k];
}

uint64_t
attempts_timeout_at(uint64_t now_ms, uint32_t timeout_ms)
{
	return timeout_ms == 0 ? AT_ATTEMPTS_NO_TIMER : now_ms + timeout_ms;
}

/* Returns whether the request may have run, according to the ended attempts. */
static at_verdict_t
overall_verdict(const at_attempts_t *attempts)
{
	uint32_t k;

	for (k = 0; k < attempts->count; k++) {
		if (attempts->list[k].verdict != AT_VERDICT_NOT_RUN)
			return AT_VERDICT_MAY_HAVE_RUN;
	}
	return AT_VERDICT_NOT_RUN;
}

void
attempts_cancel(at_attempts_t *attempts, uint32_t k, at_reason_t reason)
{
	attempt_t *attempt = &attempts->list[k];

	if (!attempt_is_live(attempt))
		return;
	if (attempt_is_open(attempt))
		(void)add_action(attempts, AT_ACTION_CANCEL, k);
	else if (attempt->is_paid && attempts->budget != NULL)
		at_budget_refund(attempts->budget);
	attempt->verdict = attempt->state >= AT_ATTEMPT_SENT
			       ? AT_VERDICT_MAY_HAVE_RUN
			       : AT_VERDICT_NOT_RUN;
	attempt->reason = reason;
	attempt->state = AT_ATTEMPT_ENDED;
}

static void
cancel_all_but(at_attempts_t *attempts, uint32_t except, at_reason_t reason)
{
	uint32_t k;

	for (k = 0; k < attempts->count; k++) {
		if (k != except)
			attempts_cancel(attempts, k, reason);
	}
}

static uint32_t
retry_after_ms(const at_attempts_t *attempts, at_verdict_t verdict)
{
	if (verdict == AT_VERDICT_RAN)
		return 0;
	if (attempts->repeat == AT_REPEAT_ONCE && verdict != AT_VERDICT_NOT_RUN)
		return 0;
	return AT_DEFAULT_RETRY_AFTER_MS;
}

static void
finish(at_attempts_t *attempts, at_reason_t reason, at_verdict_t verdict)
{
	at_action_t *action =
	    add_action(attempts, AT_ACTION_FINISH, attempts->delivered);

	action->reason = reason;
	action->verdict = verdict;
	action->retry_after_ms = retry_after_ms(attempts, verdict);
	attempts->is_finished = 1;
}

void
attempts_finish_failed(at_attempts_t *attempts, at_reason_t reason)
{
	cancel_all_but(attempts, AT_ATTEMPT_NONE, reason);
	finish(attempts, reason, overall_verdict(attempts));
}

void
attempts_start(
    at_attempts_t *attempts, at_reason_t reason, int is_hedge, uint64_t now_ms)
{
	uint32_t k = attempts->count++;
	at_action_t *action = add_action(attempts, AT_ACTION_START, k);
	attempt_t *attempt = &attempts->list[k];

	memset(attempt, 0, sizeof(*attempt));
	attempt->state = AT_ATTEMPT_PLACING;
	attempt->is_hedge = is_hedge;
	attempt->timeout_at_ms = AT_ATTEMPTS_NO_TIMER;
	action->reason = reason;
	action->is_hedge = is_hedge;
	action->new_connection = k > 0 || attempts->repeat == AT_REPEAT_ONCE;
	action->remaining_ms = (uint32_t)(attempts->deadline_at_ms - now_ms);
}

/* Returns whether an attempt ended for lack of a connection. */
static int
is_unconnected(const at_attempts_t *attempts, const attempt_t *attempt)
{
	return attempts->limits.unsent_not_counted &&
	       attempt->state == AT_ATTEMPT_ENDED &&
	       attempt->verdict == AT_VERDICT_NOT_RUN &&
	       attempt->reason == AT_REASON_CONNECT_FAILED;
}

static int
is_not_counted(const at_attempts_t *attempts, const attempt_t *attempt)
{
	return is_unconnected(attempts, attempt) ||
	       (attempts->limits.unsent_not_counted &&
		   attempt->state == AT_ATTEMPT_ENDED && !attempt->is_placed);
}

/* Returns the number of attempts that count towards attempts_max. */
static uint32_t
counted(const at_attempts_t *attempts)
{
	uint32_t count = 0;
	uint32_t k;

	for (k = 0; k < attempts->count; k++)
		count +=
		    (uint32_t)!is_not_counted(attempts, &attempts->list[k]);
	return count;
}

int
attempts_may_start(const at_attempts_t *attempts, uint64_t now_ms)
{
	if (attempts->is_finished ||
	    (attempts->delivered != AT_ATTEMPT_NONE && !attempts->is_resumable))
		return 0;
	if (attempts->count == AT_ATTEMPTS_MAX ||
	    counted(attempts) >= attempts->limits.attempts_max ||
	    now_ms >= attempts->deadline_at_ms)
		return 0;
	return attempts->repeat != AT_REPEAT_ONCE ||
	       overall_verdict(attempts) == AT_VERDICT_NOT_RUN;
}

int
attempts_take_budget(
    at_attempts_t *attempts, at_budget_t *budget, uint64_t now_ms)
{
	if (budget == NULL || at_budget_take(budget, now_ms) == 0)
		return 1;
	attempts->is_retry_denied = 1;
	return 0;
}

/*
 * Starts another attempt or finishes the request. Called when no attempt is
 * live and none has a complete response.
 */
static void
retry_or_finish(at_attempts_t *attempts, uint64_t now_ms)
{
	at_reason_t reason = attempts->reason;
	int is_free =
	    is_unconnected(attempts, &attempts->list[attempts->count - 1]);

	if (attempts_may_start(attempts, now_ms)) {
		if (is_free ||
		    attempts_take_budget(attempts, attempts->budget, now_ms)) {
			attempts_start(attempts, reason, 0, now_ms);
			attempts->list[attempts->count - 1].is_paid = !is_free;
			return;
		}
		if (overall_verdict(attempts) == AT_VERDICT_NOT_RUN)
			reason = AT_REASON_RETRY_BUDGET;
	}
	attempts_finish_failed(attempts, reason);
}

/*
 * Records the failure to be reported. One after which the request may have run
 * takes precedence.
 */
static void
note_failure(at_attempts_t *attempts, at_reason_t reason, at_verdict_t verdict)
{
	if (attempts->reason == AT_REASON_NONE ||
	    verdict != AT_VERDICT_NOT_RUN ||
	    overall_verdict(attempts) == AT_VERDICT_NOT_RUN)
		attempts->reason = reason;
}

/* The attempt beside a silent one has ended; another may follow at once. */
static void
replace_beside_silent(at_attempts_t *attempts, uint64_t now_ms)
{
	uint32_t count = attempts->count;
	uint32_t k;

	for (k = 0; k < count; k++) {
		if (attempt_is_open(&attempts->list[k]) &&
		    attempts->list[k].is_silent)
			attempts_start_beside(attempts, k, now_ms);
	}
}

void
attempts_end(at_attempts_t *attempts, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms)
{
	attempt_t *attempt = &attempts->list[k];

	note_failure(attempts, reason, verdict);
	attempt->state = AT_ATTEMPT_ENDED;
	attempt->reason = reason;
	attempt->verdict = verdict;
	if (attempts->delivered == k && attempts->is_resumable)
		attempts->delivered = AT_ATTEMPT_NONE;
	if (attempts->delivered == k)
		attempts_finish_failed(attempts, reason);
	else if (attempts_live(attempts) == 0)
		retry_or_finish(attempts, now_ms);
	else
		replace_beside_silent(attempts, now_ms);
}

void
at_attempts_init(at_attempts_t *attempts, uint64_t now_ms)
{
	assert(attempts->count == 0);
	attempts->deadline_at_ms = now_ms + attempts->limits.deadline_ms;
	attempts_start(attempts, AT_REASON_NONE, 0, now_ms);
}

int
at_attempts_on_placed(
    at_attempts_t *attempts, uint32_t k, at_budget_t *budget, uint64_t now_ms)
{
	attempt_t *attempt = &attempts->list[k];

	assert(k < attempts->count);
	if (attempts->is_finished || attempt->state != AT_ATTEMPT_PLACING)
		return -1;
	if (k > 0 && !attempts_take_budget(attempts, budget, now_ms)) {
		at_attempts_on_not_placed(
		    attempts, k, AT_REASON_RETRY_BUDGET, now_ms);
		return -1;
	}
	attempt->budget = budget;
	attempt->is_placed = 1;
	attempt->state = AT_ATTEMPT_CONNECTING;
	attempt->timeout_at_ms =
	    attempts_timeout_at(now_ms, attempts->limits.connect_ms);
	if (k == 0 && attempts->repeat != AT_REPEAT_ONCE)
		attempts->hedge_at_ms =
		    attempts_timeout_at(now_ms, attempts->limits.hedge_ms);
	return 0;
}

void
at_attempts_on_not_placed(
    at_attempts_t *attempts, uint32_t k, at_reason_t reason, uint64_t now_ms)
{
	attempt_t *attempt = &attempts->list[k];

	assert(k < attempts->count);
	(void)now_ms;
	if (attempts->is_finished || attempt->state != AT_ATTEMPT_PLACING)
		return;
	if (attempt->is_paid && attempts->budget != NULL)
		at_budget_refund(attempts->budget);
	attempt->state = AT_ATTEMPT_ENDED;
	attempt->reason = reason;
	attempt->verdict = AT_VERDICT_NOT_RUN;
	if (attempts_live(attempts) > 0) {
		/* Its number is used again: nothing refers to it. */
		if (k + 1 == attempts->count)
			attempts->count--;
		return;
	}
	note_failure(attempts, reason, AT_VERDICT_NOT_RUN);
	attempts_finish_failed(attempts, attempts->reason);
}

void
at_attempts_on_sending(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	attempt_t *attempt = open_attempt(attempts, k);

	if (attempt == NULL || attempt->state != AT_ATTEMPT_CONNECTING)
		return;
	attempt->state = AT_ATTEMPT_SENT;
	attempt->timeout_at_ms =
	    attempts_timeout_at(now_ms, attempts->limits.first_byte_ms);
}

/*
 * Records that a response has begun. It proves that the request was sent, even
 * if at_attempts_on_sending() was not called.
 */
static void
note_response(at_attempts_t *attempts, attempt_t *attempt, uint64_t now_ms)
{
	attempt->state = AT_ATTEMPT_RECEIVING;
	attempt->is_silent = 0;
	attempt->timeout_at_ms =
	    attempt->is_paused
		? AT_ATTEMPTS_NO_TIMER
		: attempts_timeout_at(now_ms, attempts->limits.idle_ms);
	attempts->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
}

void
at_attempts_on_headers(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	attempt_t *attempt = open_attempt(attempts, k);

	if (attempt == NULL)
		return;
	note_response(attempts, attempt, now_ms);
	if (attempts->limits.keeps_silent && attempts->is_resumable &&
	    attempt->takeover_at_ms == 0)
		attempt->takeover_at_ms = now_ms + attempts->limits.takeover_ms;
}

/* From now on only this attempt is delivered. */
static void
set_delivered(at_attempts_t *attempts, uint32_t k)
{
	attempts->delivered = k;
	cancel_all_but(attempts, k, AT_REASON_NONE);
}

void
at_attempts_on_data(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	attempt_t *attempt = open_attempt(attempts, k);

	if (attempt == NULL)
		return;
	note_response(attempts, attempt, now_ms);
	set_delivered(attempts, k);
	(void)add_action(attempts, AT_ACTION_DELIVER, k);
}

void
at_attempts_on_paused(
    at_attempts_t *attempts, uint32_t k, int paused, uint64_t now_ms)
{
	attempt_t *attempt = open_attempt(attempts, k);

	if (attempt == NULL || attempt->is_paused == paused)
		return;
	attempt->is_paused = paused;
	if (attempt->state == AT_ATTEMPT_RECEIVING)
		note_response(attempts, attempt, now_ms);
}

void
at_attempts_on_complete(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	attempt_t *attempt = open_attempt(attempts, k);

	(void)now_ms;
	if (attempt == NULL)
		return;
	set_delivered(attempts, k);
	attempt->state = AT_ATTEMPT_ENDED;
	attempt->verdict = AT_VERDICT_RAN;
	if (attempt->budget != NULL)
		at_budget_add_success(attempt->budget);
	if (attempts->budget != NULL)
		at_budget_add_success(attempts->budget);
	finish(attempts, AT_REASON_NONE, AT_VERDICT_RAN);
}

void
at_attempts_on_refused(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	if (open_attempt(attempts, k) != NULL)
		attempts_end(attempts, k, AT_REASON_REFUSED_BY_BACKEND,
		    AT_VERDICT_NOT_RUN, now_ms);
}

void
at_attempts_on_failed(at_attempts_t *attempts, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms)
{
	const attempt_t *attempt = open_attempt(attempts, k);

	if (attempt == NULL)
		return;
	if (attempt->state >= AT_ATTEMPT_SENT)
		verdict = AT_VERDICT_MAY_HAVE_RUN;
	attempts_end(attempts, k, reason, verdict, now_ms);
}

void
at_attempts_on_not_passed(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	if (open_attempt(attempts, k) != NULL)
		attempts_end(attempts, k, AT_REASON_CONNECT_FAILED,
		    AT_VERDICT_NOT_RUN, now_ms);
}

void
at_attempts_abandon(at_attempts_t *attempts, at_reason_t reason)
{
	if (!attempts->is_finished)
		attempts_finish_failed(attempts, reason);
}

void
at_attempts_on_caller_closed(at_attempts_t *attempts, uint64_t now_ms)
{
	(void)now_ms;
	at_attempts_abandon(attempts, AT_REASON_CALLER_GONE);
}

uint32_t
at_attempts_delivered(const at_attempts_t *attempts)
{
	return attempts->delivered;
}

at_attempt_state_t
at_attempts_state(const at_attempts_t *attempts, uint32_t k)
{
	return k < attempts->count ? attempts->list[k].state
				   : AT_ATTEMPT_UNUSED;
}

at_reason_t
at_attempts_reason(const at_attempts_t *attempts, uint32_t k)
{
	return k < attempts->count ? attempts->list[k].reason : AT_REASON_NONE;
}

int
at_attempts_is_finished(const at_attempts_t *attempts)
{
	return attempts->is_finished;
}

int
at_attempts_is_retry_denied(const at_attempts_t *attempts)
{
	return attempts->is_retry_denied;
}
