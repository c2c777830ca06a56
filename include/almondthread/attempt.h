/*
 * attempt.h - the attempts of one request, from admission to its verdict.
 *
 * A machine without input, output or clock: the owner reports events and
 * then takes actions with at_attempts_next_action() until there are none.
 * Attempts are numbered from 0 in the order of their start.
 *
 * Promises, whatever the order of events:
 *   - exactly one AT_ACTION_FINISH, and no action after it;
 *   - AT_VERDICT_NOT_RUN only when each attempt is proved not to have run;
 *   - an AT_REPEAT_ONCE request has no second attempt after a byte of it left
 * us, unless the backend server refused it before running it;
 *   - AT_ACTION_DELIVER names one and the same attempt in all of a request,
 *     unless the request may be resumed: then a later attempt may go on where
 *     the one before broke off;
 *   - each attempt but the first is paid for by the workspace's budget and
 *     by that of its backend server.
 *
 * What the owner promises: at_attempts_on_sending() comes before the first byte
 * leaves, and after AT_ACTION_CANCEL no further byte of that attempt leaves.
 */
#ifndef ALMONDTHREAD_ATTEMPT_H
#define ALMONDTHREAD_ATTEMPT_H

#include "almondthread/budget.h"
#include "almondthread/config.h"
#include "almondthread/verdict.h"

#define AT_ATTEMPTS_MAX 4u              /* of one request */
#define AT_DEFAULT_RETRY_AFTER_MS 1000u /* told with most refusals */
#define AT_ATTEMPTS_NO_TIMER UINT64_MAX /* no timer is due */
#define AT_ATTEMPT_NONE UINT32_MAX      /* no attempt */

/* The life of one attempt. */
typedef enum at_attempt_state {
	AT_ATTEMPT_UNUSED,
	AT_ATTEMPT_PLACING,    /* the owner looks for a backend server */
	AT_ATTEMPT_CONNECTING, /* nothing has left us */
	AT_ATTEMPT_SENT,       /* some of the request has left us */
	AT_ATTEMPT_RECEIVING,  /* the answer's head has come */
	AT_ATTEMPT_ENDED,
	AT_ATTEMPT_STATE_COUNT
} at_attempt_state_t;

extern const char *const at_attempt_state_names[];

/* What the owner is to do. */
typedef enum at_action_kind {
	AT_ACTION_START,   /* choose a backend server and begin an attempt */
	AT_ACTION_CANCEL,  /* close the attempt's connection at once */
	AT_ACTION_DELIVER, /* pass on the part just reported */
	AT_ACTION_FINISH,  /* the request is over */
	AT_ACTION_KIND_COUNT
} at_action_kind_t;

extern const char *const at_action_kind_names[];

/* An action; the fields after attempt belong to the kinds named. */
typedef struct at_action {
	at_action_kind_t kind;
	uint32_t attempt;
	int new_connection;      /* START: ride no pooled connection */
	int hedge;               /* START: another one is still open */
	uint32_t remaining_ms;   /* START: until the deadline */
	at_reason_t reason;      /* START: why again; FINISH: the end */
	at_verdict_t verdict;    /* FINISH */
	uint32_t retry_after_ms; /* FINISH: when to come back; 0: do not */
} at_action_t;

/* Limits of one request, in milliseconds. */
typedef struct at_attempt_limits {
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the first byte out to the head */
	uint32_t idle_ms;       /* between two parts of the answer */
	uint32_t hedge_ms;      /* head later than this: hedge; 0: never */
	uint32_t deadline_ms;   /* of the whole request */
	uint32_t attempts_max;  /* 1 to AT_ATTEMPTS_MAX */
	/*
	 * Attempts of which nothing left us, for want of a connection, neither
	 * count nor are paid for; there are at most AT_ATTEMPTS_MAX in all.
	 */
	int unsent_not_counted;
	/* Silence ends an attempt only if another one may follow it. */
	int no_timeout_on_last;
} at_attempt_limits_t;

typedef struct at_attempts at_attempts_t;

/* at_attempts_new() returns NULL without memory. */
at_attempts_t *at_attempts_new(void);
void at_attempts_delete(at_attempts_t *attempts);

/* Settings, before at_attempts_init(). */
void at_attempts_set_limits(
    at_attempts_t *attempts, const at_attempt_limits_t *limits);
void at_attempts_set_repeat(at_attempts_t *attempts, at_repeat_t repeat);
/* A resumable answer may be gone on with by another attempt. */
void at_attempts_set_resumable(at_attempts_t *attempts, int resumable);
/* The workspace's budget; it must outlive the machine. NULL: unlimited. */
void at_attempts_set_budget(at_attempts_t *attempts, at_budget_t *budget);

/* at_attempts_init() begins: the first AT_ACTION_START. */
void at_attempts_init(at_attempts_t *attempts, uint64_t now_ms);

/*
 * at_attempts_on_placed() answers AT_ACTION_START with the budget of the chosen
 * backend server, which must stay until the attempt's end (NULL: unlimited).
 * Returns 0, or -1 when that budget has no retry left and the attempt must
 * not begin.
 */
int at_attempts_on_placed(
    at_attempts_t *attempts, uint32_t k, at_budget_t *budget, uint64_t now_ms);
/*
 * at_attempts_on_not_placed() answers it when there is no backend server;
 * reason is told unless an earlier attempt may have run, whose own goes first.
 */
void at_attempts_on_not_placed(
    at_attempts_t *attempts, uint32_t k, at_reason_t reason, uint64_t now_ms);

/* Events of a placed attempt. Those of an ended one are ignored. */
void at_attempts_on_sending(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The answer's head, or a part not yet proved to be ours. */
void at_attempts_on_headers(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* A part proved to be ours: from now on this attempt alone is delivered. */
void at_attempts_on_data(at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The owner stops (or resumes) reading because its caller is slow. */
void at_attempts_on_paused(
    at_attempts_t *attempts, uint32_t k, int paused, uint64_t now_ms);
/* The answer is whole. */
void at_attempts_on_complete(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The backend server says, by contract, that it did not run it. */
void at_attempts_on_refused(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/*
 * The attempt failed. verdict is what the transfer proves; the machine
 * weakens it where it knows that something has left.
 */
void at_attempts_on_failed(at_attempts_t *attempts, uint32_t k,
    at_reason_t reason, at_verdict_t verdict, uint64_t now_ms);
void at_attempts_on_caller_closed(at_attempts_t *attempts, uint64_t now_ms);
/* The owner ends the request, whatever is open; reason is told. */
void at_attempts_abandon(at_attempts_t *attempts, at_reason_t reason);
void at_attempts_tick(at_attempts_t *attempts, uint64_t now_ms);

/* at_attempts_due_ms() returns when a tick is due, or AT_ATTEMPTS_NO_TIMER. */
uint64_t at_attempts_due_ms(const at_attempts_t *attempts);

/* at_attempts_next_action() takes an action. Returns 0 when there is none. */
int at_attempts_next_action(at_attempts_t *attempts, at_action_t *action);

/* at_attempts_delivered() returns the delivered attempt or AT_ATTEMPT_NONE. */
uint32_t at_attempts_delivered(const at_attempts_t *attempts);
at_attempt_state_t at_attempts_state(const at_attempts_t *attempts, uint32_t k);
/* at_attempts_reason() returns why an attempt ended. */
at_reason_t at_attempts_reason(const at_attempts_t *attempts, uint32_t k);
int at_attempts_is_finished(const at_attempts_t *attempts);
/* at_attempts_is_retry_denied() tells whether a budget has refused a retry. */
int at_attempts_is_retry_denied(const at_attempts_t *attempts);

#endif
