/*
 * attempt_internal.h - what the parts of the attempt machine share: attempt.c
 * has events and actions, attempt_time.c limits, hedges and the deadline.
 */
#ifndef ALMONDTHREAD_CORE_ATTEMPT_INTERNAL_H
#define ALMONDTHREAD_CORE_ATTEMPT_INTERNAL_H

#include "almondthread/attempt.h"

/* One event cancels each attempt, starts or finishes, and delivers. */
#define ACTIONS_MAX (AT_ATTEMPTS_MAX + 3u)

typedef struct attempt {
	at_attempt_state_t state;
	at_verdict_t verdict; /* of an ended one */
	at_reason_t reason;   /* of an ended one */
	int hedge;
	int paid; /* a retry of the workspace's budget was spent on it */
	int paused;
	uint64_t limit_at_ms; /* end of the limit in force */
	at_budget_t *budget;  /* of its backend server */
} attempt_t;

struct at_attempts {
	at_attempt_limits_t limits;
	at_repeat_t repeat;
	int resumable; /* another attempt may go on with a broken answer */
	at_budget_t *budget;
	attempt_t list[AT_ATTEMPTS_MAX];
	uint32_t count;
	uint32_t winner;
	uint64_t deadline_at_ms;
	uint64_t hedge_at_ms;
	at_reason_t reason; /* the failure that is told */
	int finished;
	int denied;
	at_action_t actions[ACTIONS_MAX];
	uint32_t action_count;
	uint32_t action_next;
};

/* attempt.c */
int attempt_is_live(const attempt_t *t);
int attempt_is_open(const attempt_t *t);
/* Attempts that count against attempts_max. */
uint32_t attempts_counted(const at_attempts_t *a);
/* The request itself allows another attempt; budgets are not looked at. */
int attempts_may_start(const at_attempts_t *a, uint64_t now_ms);
int attempts_take_budget(
    at_attempts_t *a, at_budget_t *budget, uint64_t now_ms);
void attempts_start(
    at_attempts_t *a, at_reason_t reason, int hedge, uint64_t now_ms);
/* Ends an attempt that was not told to fail: what left may run. */
void attempts_cancel(at_attempts_t *a, uint32_t k, at_reason_t reason);
/* An attempt ended without a whole answer: another one, or the end. */
void attempts_end(at_attempts_t *a, uint32_t k, at_reason_t reason,
    at_verdict_t verdict, uint64_t now_ms);
/* Ends the request with what its attempts prove. */
void attempts_finish_failed(at_attempts_t *a, at_reason_t reason);

#endif
