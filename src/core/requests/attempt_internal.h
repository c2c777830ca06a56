/*
 * attempt_internal.h - internals of the attempt state machine. attempt.c has
 * events and actions, attempt_time.c timeouts, hedges and the deadline.
 */
#ifndef ALMONDTHREAD_CORE_ATTEMPT_INTERNAL_H
#define ALMONDTHREAD_CORE_ATTEMPT_INTERNAL_H

#include "almondthread/attempt.h"

/* One event may cancel all attempts, and start, deliver and finish. */
#define ACTIONS_MAX (AT_ATTEMPTS_MAX + 3u)

typedef struct attempt {
	at_attempt_state_t state;
	at_verdict_t verdict; /* set when it has ended */
	at_reason_t reason;   /* set when it has ended */
	int is_hedge;
	int is_placed; /* a backend server was chosen */
	int is_paid;   /* a retry of the workspace's budget was taken */
	int is_paused; /* the caller accepts no data */
	uint64_t timeout_at_ms; /* latest end of the present state */
	at_budget_t *budget;    /* budget of its backend server */
} attempt_t;

struct at_attempts {
	at_attempt_limits_t limits;
	at_repeat_t repeat;
	int is_resumable;    /* another attempt may continue the response */
	at_budget_t *budget; /* budget of the workspace */
	attempt_t list[AT_ATTEMPTS_MAX];
	uint32_t count;
	uint32_t delivered; /* attempt whose response is delivered */
	uint64_t deadline_at_ms;
	uint64_t hedge_at_ms;
	at_reason_t reason; /* the failure to be reported */
	int is_finished;
	int is_retry_denied; /* a budget had no retry left */
	at_action_t actions[ACTIONS_MAX];
	uint32_t action_count;
	uint32_t action_next;
};

/* attempt.c */

/* Returns non-zero if the attempt has started and not ended. */
int attempt_is_live(const attempt_t *attempt);
/* Returns non-zero if the attempt is live and placed on a backend server. */
int attempt_is_open(const attempt_t *attempt);
/* Returns the number of attempts that have started and not ended. */
uint32_t attempts_live(const at_attempts_t *attempts);
/* Returns the time at which a timeout ends, or AT_ATTEMPTS_NO_TIMER for 0. */
uint64_t attempts_timeout_at(uint64_t now_ms, uint32_t timeout_ms);
/*
 * Returns non-zero if another attempt may start, apart from the retry budgets.
 */
int attempts_may_start(const at_attempts_t *attempts, uint64_t now_ms);
/* Takes a retry from a budget; NULL has no limit. Returns 0 if none is left. */
int attempts_take_budget(
    at_attempts_t *attempts, at_budget_t *budget, uint64_t now_ms);
/* Starts an attempt, which must be placed next. */
void attempts_start(
    at_attempts_t *attempts, at_reason_t reason, int is_hedge, uint64_t now_ms);
/* Cancels a live attempt. If its request was sent, it may run. */
void attempts_cancel(at_attempts_t *attempts, uint32_t k, at_reason_t reason);
/* Ends an attempt without a complete response; retries or finishes. */
void attempts_end(at_attempts_t *attempts, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms);
/* Finishes the request with the verdict of all its attempts. */
void attempts_finish_failed(at_attempts_t *attempts, at_reason_t reason);

#endif
