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
	at_attempts_t *a = calloc(1, sizeof(*a));

	if (a == NULL)
		return NULL;
	a->delivered = AT_ATTEMPT_NONE;
	a->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
	return a;
}

void
at_attempts_delete(at_attempts_t *attempts)
{
	free(attempts);
}

void
at_attempts_set_limits(at_attempts_t *a, const at_attempt_limits_t *limits)
{
	assert(limits->attempts_max >= 1);
	assert(limits->attempts_max <= AT_ATTEMPTS_MAX);
	a->limits = *limits;
}

void
at_attempts_set_repeat(at_attempts_t *a, at_repeat_t repeat)
{
	a->repeat = repeat;
}

void
at_attempts_set_resumable(at_attempts_t *a, int resumable)
{
	a->is_resumable = resumable;
}

void
at_attempts_set_budget(at_attempts_t *a, at_budget_t *budget)
{
	a->budget = budget;
}

static at_action_t *
add_action(at_attempts_t *a, at_action_kind_t kind, uint32_t k)
{
	at_action_t *action;

	if (a->action_next == a->action_count) {
		a->action_next = 0;
		a->action_count = 0;
	}
	assert(a->action_count < ACTIONS_MAX);
	action = &a->actions[a->action_count++];
	memset(action, 0, sizeof(*action));
	action->kind = kind;
	action->attempt = k;
	return action;
}

int
at_attempts_next_action(at_attempts_t *a, at_action_t *action)
{
	if (a->action_next == a->action_count)
		return 0;
	*action = a->actions[a->action_next++];
	return 1;
}

int
attempt_is_live(const attempt_t *t)
{
	return t->state > AT_ATTEMPT_UNUSED && t->state < AT_ATTEMPT_ENDED;
}

int
attempt_is_open(const attempt_t *t)
{
	return attempt_is_live(t) && t->state != AT_ATTEMPT_PLACING;
}

static uint32_t
live_count(const at_attempts_t *a)
{
	uint32_t live = 0;
	uint32_t k;

	for (k = 0; k < a->count; k++)
		live += (uint32_t)attempt_is_live(&a->list[k]);
	return live;
}

/* Returns the attempt if it is open, or NULL. */
static attempt_t *
open_attempt(at_attempts_t *a, uint32_t k)
{
	assert(k < a->count);
	if (a->is_finished || !attempt_is_open(&a->list[k]))
		return NULL;
	return &a->list[k];
}

static uint64_t
timeout_at(uint64_t now_ms, uint32_t timeout_ms)
{
	return timeout_ms == 0 ? AT_ATTEMPTS_NO_TIMER : now_ms + timeout_ms;
}

/* Returns whether the request may have run, by its ended attempts. */
static at_verdict_t
overall_verdict(const at_attempts_t *a)
{
	uint32_t k;

	for (k = 0; k < a->count; k++) {
		if (a->list[k].verdict != AT_VERDICT_NOT_RUN)
			return AT_VERDICT_MAY_HAVE_RUN;
	}
	return AT_VERDICT_NOT_RUN;
}

void
attempts_cancel(at_attempts_t *a, uint32_t k, at_reason_t reason)
{
	attempt_t *t = &a->list[k];

	if (!attempt_is_live(t))
		return;
	if (attempt_is_open(t))
		(void)add_action(a, AT_ACTION_CANCEL, k);
	t->verdict = t->state >= AT_ATTEMPT_SENT ? AT_VERDICT_MAY_HAVE_RUN
						 : AT_VERDICT_NOT_RUN;
	t->reason = reason;
	t->state = AT_ATTEMPT_ENDED;
}

static void
cancel_all_but(at_attempts_t *a, uint32_t but, at_reason_t reason)
{
	uint32_t k;

	for (k = 0; k < a->count; k++) {
		if (k != but)
			attempts_cancel(a, k, reason);
	}
}

static uint32_t
retry_after_ms(const at_attempts_t *a, at_verdict_t verdict)
{
	if (verdict == AT_VERDICT_RAN)
		return 0;
	if (a->repeat == AT_REPEAT_ONCE && verdict != AT_VERDICT_NOT_RUN)
		return 0;
	return AT_DEFAULT_RETRY_AFTER_MS;
}

static void
finish(at_attempts_t *a, at_reason_t reason, at_verdict_t verdict)
{
	at_action_t *action = add_action(a, AT_ACTION_FINISH, a->delivered);

	action->reason = reason;
	action->verdict = verdict;
	action->retry_after_ms = retry_after_ms(a, verdict);
	a->is_finished = 1;
}

void
attempts_finish_failed(at_attempts_t *a, at_reason_t reason)
{
	cancel_all_but(a, AT_ATTEMPT_NONE, reason);
	finish(a, reason, overall_verdict(a));
}

void
attempts_start(
    at_attempts_t *a, at_reason_t reason, int is_hedge, uint64_t now_ms)
{
	uint32_t k = a->count++;
	at_action_t *action = add_action(a, AT_ACTION_START, k);
	attempt_t *t = &a->list[k];

	t->state = AT_ATTEMPT_PLACING;
	t->is_hedge = is_hedge;
	t->timeout_at_ms = AT_ATTEMPTS_NO_TIMER;
	action->reason = reason;
	action->hedge = is_hedge;
	action->new_connection = k > 0 || a->repeat == AT_REPEAT_ONCE;
	action->remaining_ms = (uint32_t)(a->deadline_at_ms - now_ms);
}

/* Returns whether it ended without a connection and does not count. */
static int
is_not_counted(const at_attempts_t *a, const attempt_t *t)
{
	return a->limits.unsent_not_counted && t->state == AT_ATTEMPT_ENDED &&
	       t->verdict == AT_VERDICT_NOT_RUN &&
	       t->reason == AT_REASON_CONNECT_FAILED;
}

uint32_t
attempts_counted(const at_attempts_t *a)
{
	uint32_t count = 0;
	uint32_t k;

	for (k = 0; k < a->count; k++)
		count += (uint32_t)!is_not_counted(a, &a->list[k]);
	return count;
}

int
attempts_may_start(const at_attempts_t *a, uint64_t now_ms)
{
	if (a->is_finished || a->delivered != AT_ATTEMPT_NONE)
		return 0;
	if (a->count == AT_ATTEMPTS_MAX ||
	    attempts_counted(a) >= a->limits.attempts_max ||
	    now_ms >= a->deadline_at_ms)
		return 0;
	return a->repeat != AT_REPEAT_ONCE ||
	       overall_verdict(a) == AT_VERDICT_NOT_RUN;
}

int
attempts_take_budget(at_attempts_t *a, at_budget_t *budget, uint64_t now_ms)
{
	if (budget == NULL || at_budget_take(budget, now_ms) == 0)
		return 1;
	a->is_retry_denied = 1;
	return 0;
}

/* Called when no attempt is live and none has a complete response. */
static void
retry_or_finish(at_attempts_t *a, uint64_t now_ms)
{
	at_reason_t reason = a->reason;
	int is_free = is_not_counted(a, &a->list[a->count - 1]);

	if (attempts_may_start(a, now_ms)) {
		if (is_free || attempts_take_budget(a, a->budget, now_ms)) {
			attempts_start(a, reason, 0, now_ms);
			a->list[a->count - 1].is_paid = !is_free;
			return;
		}
		if (overall_verdict(a) == AT_VERDICT_NOT_RUN)
			reason = AT_REASON_RETRY_BUDGET;
	}
	attempts_finish_failed(a, reason);
}

/* A failure after which the request may have run takes precedence. */
static void
note_failure(at_attempts_t *a, at_reason_t reason, at_verdict_t verdict)
{
	if (a->reason == AT_REASON_NONE || verdict != AT_VERDICT_NOT_RUN ||
	    overall_verdict(a) == AT_VERDICT_NOT_RUN)
		a->reason = reason;
}

void
attempts_end(at_attempts_t *a, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms)
{
	attempt_t *t = &a->list[k];

	note_failure(a, reason, verdict);
	t->state = AT_ATTEMPT_ENDED;
	t->reason = reason;
	t->verdict = verdict;
	if (a->delivered == k && a->is_resumable)
		a->delivered = AT_ATTEMPT_NONE;
	if (a->delivered == k)
		attempts_finish_failed(a, reason);
	else if (live_count(a) == 0)
		retry_or_finish(a, now_ms);
}

void
at_attempts_init(at_attempts_t *a, uint64_t now_ms)
{
	assert(a->count == 0);
	a->deadline_at_ms = now_ms + a->limits.deadline_ms;
	attempts_start(a, AT_REASON_NONE, 0, now_ms);
}

int
at_attempts_on_placed(
    at_attempts_t *a, uint32_t k, at_budget_t *budget, uint64_t now_ms)
{
	attempt_t *t = &a->list[k];

	assert(k < a->count);
	if (a->is_finished || t->state != AT_ATTEMPT_PLACING)
		return -1;
	if (k > 0 && !attempts_take_budget(a, budget, now_ms)) {
		at_attempts_on_not_placed(a, k, AT_REASON_RETRY_BUDGET, now_ms);
		return -1;
	}
	t->budget = budget;
	t->state = AT_ATTEMPT_CONNECTING;
	t->timeout_at_ms = timeout_at(now_ms, a->limits.connect_ms);
	if (k == 0 && a->repeat != AT_REPEAT_ONCE)
		a->hedge_at_ms = timeout_at(now_ms, a->limits.hedge_ms);
	return 0;
}

void
at_attempts_on_not_placed(
    at_attempts_t *a, uint32_t k, at_reason_t reason, uint64_t now_ms)
{
	attempt_t *t = &a->list[k];

	assert(k < a->count);
	(void)now_ms;
	if (a->is_finished || t->state != AT_ATTEMPT_PLACING)
		return;
	if (t->is_paid && a->budget != NULL)
		at_budget_refund(a->budget);
	t->state = AT_ATTEMPT_ENDED;
	t->reason = reason;
	t->verdict = AT_VERDICT_NOT_RUN;
	if (live_count(a) > 0)
		return;
	note_failure(a, reason, AT_VERDICT_NOT_RUN);
	attempts_finish_failed(a, a->reason);
}

void
at_attempts_on_sending(at_attempts_t *a, uint32_t k, uint64_t now_ms)
{
	attempt_t *t = open_attempt(a, k);

	if (t == NULL || t->state != AT_ATTEMPT_CONNECTING)
		return;
	t->state = AT_ATTEMPT_SENT;
	t->timeout_at_ms = timeout_at(now_ms, a->limits.first_byte_ms);
}

/* A response proves that the request was sent, also without that event. */
static void
note_response(at_attempts_t *a, attempt_t *t, uint64_t now_ms)
{
	t->state = AT_ATTEMPT_RECEIVING;
	t->timeout_at_ms = t->is_paused ? AT_ATTEMPTS_NO_TIMER
					: timeout_at(now_ms, a->limits.idle_ms);
	a->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
}

void
at_attempts_on_headers(at_attempts_t *a, uint32_t k, uint64_t now_ms)
{
	attempt_t *t = open_attempt(a, k);

	if (t != NULL)
		note_response(a, t, now_ms);
}

static void
set_delivered(at_attempts_t *a, uint32_t k)
{
	if (a->delivered != AT_ATTEMPT_NONE)
		return;
	a->delivered = k;
	cancel_all_but(a, k, AT_REASON_NONE);
}

void
at_attempts_on_data(at_attempts_t *a, uint32_t k, uint64_t now_ms)
{
	attempt_t *t = open_attempt(a, k);

	if (t == NULL)
		return;
	note_response(a, t, now_ms);
	set_delivered(a, k);
	(void)add_action(a, AT_ACTION_DELIVER, k);
}

void
at_attempts_on_paused(at_attempts_t *a, uint32_t k, int paused, uint64_t now_ms)
{
	attempt_t *t = open_attempt(a, k);

	if (t == NULL || t->is_paused == paused)
		return;
	t->is_paused = paused;
	if (t->state == AT_ATTEMPT_RECEIVING)
		note_response(a, t, now_ms);
}

void
at_attempts_on_complete(at_attempts_t *a, uint32_t k, uint64_t now_ms)
{
	attempt_t *t = open_attempt(a, k);

	(void)now_ms;
	if (t == NULL)
		return;
	set_delivered(a, k);
	t->state = AT_ATTEMPT_ENDED;
	t->verdict = AT_VERDICT_RAN;
	if (t->budget != NULL)
		at_budget_add_success(t->budget);
	if (a->budget != NULL)
		at_budget_add_success(a->budget);
	finish(a, AT_REASON_NONE, AT_VERDICT_RAN);
}

void
at_attempts_on_refused(at_attempts_t *a, uint32_t k, uint64_t now_ms)
{
	if (open_attempt(a, k) != NULL)
		attempts_end(a, k, AT_REASON_REFUSED_BY_BACKEND,
		    AT_VERDICT_NOT_RUN, now_ms);
}

void
at_attempts_on_failed(at_attempts_t *a, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms)
{
	const attempt_t *t = open_attempt(a, k);

	if (t == NULL)
		return;
	if (t->state >= AT_ATTEMPT_SENT)
		verdict = AT_VERDICT_MAY_HAVE_RUN;
	attempts_end(a, k, reason, verdict, now_ms);
}

void
at_attempts_abandon(at_attempts_t *a, at_reason_t reason)
{
	if (!a->is_finished)
		attempts_finish_failed(a, reason);
}

void
at_attempts_on_caller_closed(at_attempts_t *a, uint64_t now_ms)
{
	(void)now_ms;
	at_attempts_abandon(a, AT_REASON_CALLER_GONE);
}

uint32_t
at_attempts_delivered(const at_attempts_t *a)
{
	return a->delivered;
}

at_attempt_state_t
at_attempts_state(const at_attempts_t *a, uint32_t k)
{
	return k < a->count ? a->list[k].state : AT_ATTEMPT_UNUSED;
}

at_reason_t
at_attempts_reason(const at_attempts_t *a, uint32_t k)
{
	return k < a->count ? a->list[k].reason : AT_REASON_NONE;
}

int
at_attempts_is_finished(const at_attempts_t *a)
{
	return a->is_finished;
}

int
at_attempts_is_retry_denied(const at_attempts_t *a)
{
	return a->is_retry_denied;
}
