#include "core/requests/attempt_internal.h"

/* Returns whether one attempt is live and waits for its response headers. */
static int
is_hedge_useful(const at_attempts_t *a)
{
	uint32_t waiting = 0;
	uint32_t k;

	for (k = 0; k < a->count; k++) {
		at_attempt_state_t state = a->list[k].state;

		if (state == AT_ATTEMPT_PLACING ||
		    state == AT_ATTEMPT_RECEIVING)
			return 0;
		waiting += (uint32_t)attempt_is_live(&a->list[k]);
	}
	return waiting == 1;
}

static at_reason_t
timeout_reason(const attempt_t *t)
{
	if (t->state == AT_ATTEMPT_CONNECTING)
		return AT_REASON_CONNECT_FAILED;
	if (t->state == AT_ATTEMPT_SENT)
		return AT_REASON_FIRST_BYTE_TIMEOUT;
	return AT_REASON_IDLE_TIMEOUT;
}

/* Returns whether another attempt may follow one that has been sent. */
static int
may_retry(const at_attempts_t *a, uint64_t now_ms)
{
	if (a->repeat == AT_REPEAT_ONCE || a->count == AT_ATTEMPTS_MAX ||
	    attempts_counted(a) >= a->limits.attempts_max ||
	    now_ms >= a->deadline_at_ms)
		return 0;
	if (a->delivered != AT_ATTEMPT_NONE && !a->is_resumable)
		return 0;
	return a->budget == NULL || at_budget_has_retry(a->budget);
}

static void
check_timeouts(at_attempts_t *a, uint64_t now_ms)
{
	uint32_t count = a->count;
	uint32_t k;

	for (k = 0; k < count && !a->is_finished; k++) {
		attempt_t *t = &a->list[k];
		at_reason_t reason = timeout_reason(t);

		if (!attempt_is_open(t) || now_ms < t->timeout_at_ms)
			continue;
		if (a->limits.no_timeout_on_last &&
		    t->state >= AT_ATTEMPT_SENT && !may_retry(a, now_ms)) {
			t->timeout_at_ms = AT_ATTEMPTS_NO_TIMER;
			continue;
		}
		attempts_cancel(a, k, reason);
		attempts_end(a, k, reason, t->verdict, now_ms);
	}
}

static void
check_hedge(at_attempts_t *a, uint64_t now_ms)
{
	if (a->is_finished || now_ms < a->hedge_at_ms)
		return;
	a->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
	if (!is_hedge_useful(a))
		return;
	if (attempts_may_start(a, now_ms) &&
	    attempts_take_budget(a, a->budget, now_ms)) {
		attempts_start(a, AT_REASON_FIRST_BYTE_TIMEOUT, 1, now_ms);
		a->list[a->count - 1].is_paid = 1;
	}
}

void
at_attempts_tick(at_attempts_t *a, uint64_t now_ms)
{
	if (a->is_finished)
		return;
	if (now_ms >= a->deadline_at_ms) {
		attempts_finish_failed(a, AT_REASON_DEADLINE);
		return;
	}
	check_timeouts(a, now_ms);
	check_hedge(a, now_ms);
}

uint64_t
at_attempts_due_ms(const at_attempts_t *a)
{
	uint64_t due = a->deadline_at_ms;
	uint32_t k;

	if (a->is_finished)
		return AT_ATTEMPTS_NO_TIMER;
	if (a->hedge_at_ms < due)
		due = a->hedge_at_ms;
	for (k = 0; k < a->count; k++) {
		if (attempt_is_open(&a->list[k]) &&
		    a->list[k].timeout_at_ms < due)
			due = a->list[k].timeout_at_ms;
	}
	return due;
}
