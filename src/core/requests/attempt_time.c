#include "core/requests/attempt_internal.h"

/* Returns whether one attempt is live and waits for its response headers. */
static int
is_hedge_useful(const at_attempts_t *attempts)
{
	uint32_t waiting = 0;
	uint32_t k;

	for (k = 0; k < attempts->count; k++) {
		at_attempt_state_t state = attempts->list[k].state;

		if (state == AT_ATTEMPT_PLACING ||
		    state == AT_ATTEMPT_RECEIVING)
			return 0;
		waiting += (uint32_t)attempt_is_live(&attempts->list[k]);
	}
	return waiting == 1;
}

static at_reason_t
timeout_reason(const attempt_t *attempt)
{
	if (attempt->state == AT_ATTEMPT_CONNECTING)
		return AT_REASON_CONNECT_FAILED;
	if (attempt->state == AT_ATTEMPT_SENT)
		return AT_REASON_FIRST_BYTE_TIMEOUT;
	return AT_REASON_IDLE_TIMEOUT;
}

/*
 * Starts another attempt beside a silent one, unless one is live already. It is
 * tried again each time that the timeout has passed.
 */
static void
start_beside(at_attempts_t *attempts, uint32_t k, uint64_t now_ms)
{
	attempt_t *attempt = &attempts->list[k];
	at_reason_t reason = timeout_reason(attempt);

	attempt->timeout_at_ms = attempts_timeout_at(now_ms,
	    attempt->state == AT_ATTEMPT_SENT ? attempts->limits.first_byte_ms
					      : attempts->limits.idle_ms);
	if (attempts->repeat != AT_REPEAT_ANY || attempts_live(attempts) > 1 ||
	    !attempts_may_start(attempts, now_ms) ||
	    !attempts_take_budget(attempts, attempts->budget, now_ms))
		return;
	attempts_start(attempts, reason, 1, now_ms);
	attempts->list[attempts->count - 1].is_paid = 1;
}

static void
check_timeouts(at_attempts_t *attempts, uint64_t now_ms)
{
	uint32_t count = attempts->count;
	uint32_t k;

	for (k = 0; k < count && !attempts->is_finished; k++) {
		attempt_t *attempt = &attempts->list[k];
		at_reason_t reason = timeout_reason(attempt);

		if (!attempt_is_open(attempt) ||
		    now_ms < attempt->timeout_at_ms)
			continue;
		if (attempts->limits.keeps_silent &&
		    attempt->state >= AT_ATTEMPT_SENT) {
			start_beside(attempts, k, now_ms);
			continue;
		}
		attempts_cancel(attempts, k, reason);
		attempts_end(attempts, k, reason, attempt->verdict, now_ms);
	}
}

static void
check_hedge(at_attempts_t *attempts, uint64_t now_ms)
{
	if (attempts->is_finished || now_ms < attempts->hedge_at_ms)
		return;
	attempts->hedge_at_ms = AT_ATTEMPTS_NO_TIMER;
	if (!is_hedge_useful(attempts))
		return;
	if (attempts_may_start(attempts, now_ms) &&
	    attempts_take_budget(attempts, attempts->budget, now_ms)) {
		attempts_start(
		    attempts, AT_REASON_FIRST_BYTE_TIMEOUT, 1, now_ms);
		attempts->list[attempts->count - 1].is_paid = 1;
	}
}

void
at_attempts_tick(at_attempts_t *attempts, uint64_t now_ms)
{
	if (attempts->is_finished)
		return;
	if (now_ms >= attempts->deadline_at_ms) {
		attempts_finish_failed(attempts, AT_REASON_DEADLINE);
		return;
	}
	check_timeouts(attempts, now_ms);
	check_hedge(attempts, now_ms);
}

uint64_t
at_attempts_due_ms(const at_attempts_t *attempts)
{
	uint64_t due = attempts->deadline_at_ms;
	uint32_t k;

	if (attempts->is_finished)
		return AT_ATTEMPTS_NO_TIMER;
	if (attempts->hedge_at_ms < due)
		due = attempts->hedge_at_ms;
	for (k = 0; k < attempts->count; k++) {
		if (attempt_is_open(&attempts->list[k]) &&
		    attempts->list[k].timeout_at_ms < due)
			due = attempts->list[k].timeout_at_ms;
	}
	return due;
}
