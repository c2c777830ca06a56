/*
 * attempt.h - state machine for the attempts of one request, from admission
 * to its verdict.
 *
 * The machine does no input or output and reads no clock: its owner reports
 * events and then takes actions with at_attempts_next_action() until there
 * are none. Attempts are numbered from 0 in the order of their start.
 *
 * For any order of events:
 *   - there is exactly one AT_ACTION_FINISH, and no action after it;
 *   - AT_VERDICT_NOT_RUN is given only when every attempt is proved not to
 *     have run;
 *   - an AT_REPEAT_ONCE request has no second attempt after a byte of it was
 *     sent, unless the backend server refused it before running it;
 *   - all AT_ACTION_DELIVER actions of a request name the same attempt,
 *     unless the request is resumable: then a later attempt may continue
 *     where the previous one broke off or fell silent;
 *   - with keeps_silent, an attempt that was sent is cancelled only when
 *     another one has responded or the request ends;
 *   - each attempt but the first spends a retry of the workspace's budget
 *     and of its backend server's budget.
 *
 * The owner guarantees that at_attempts_on_sending() is called before the
 * first byte is sent, and that no byte of an attempt is sent after its
 * AT_ACTION_CANCEL.
 */
#ifndef ALMONDTHREAD_ATTEMPT_H
#define ALMONDTHREAD_ATTEMPT_H

#include "almondthread/budget.h"
#include "almondthread/config.h"
#include "almondthread/verdict.h"

#define AT_ATTEMPTS_MAX 4u              /* attempts of one request */
#define AT_DEFAULT_RETRY_AFTER_MS 1000u /* retry time of most refusals */
#define AT_ATTEMPTS_NO_TIMER UINT64_MAX /* no timer is set */
#define AT_ATTEMPT_NONE UINT32_MAX      /* no attempt */

/* State of one attempt. */
typedef enum at_attempt_state {
	AT_ATTEMPT_UNUSED,
	AT_ATTEMPT_PLACING,    /* the owner is choosing a backend server */
	AT_ATTEMPT_CONNECTING, /* nothing has been sent */
	AT_ATTEMPT_SENT,       /* some of the request has been sent */
	AT_ATTEMPT_RECEIVING,  /* the response headers have arrived */
	AT_ATTEMPT_ENDED,
	AT_ATTEMPT_STATE_COUNT
} at_attempt_state_t;

/* Names of states, indexed by at_attempt_state_t. */
extern const char *const at_attempt_state_names[];

/* What the owner must do. */
typedef enum at_action_kind {
	AT_ACTION_START,   /* choose a backend server and start an attempt */
	AT_ACTION_CANCEL,  /* close the attempt's connection at once */
	AT_ACTION_DELIVER, /* pass on the chunk that was just reported */
	AT_ACTION_FINISH,  /* the request has ended */
	AT_ACTION_KIND_COUNT
} at_action_kind_t;

/* Names of kinds, indexed by at_action_kind_t. */
extern const char *const at_action_kind_names[];

/* An action; the fields after attempt apply to the kinds that they name. */
typedef struct at_action {
	at_action_kind_t kind;
	uint32_t attempt;
	int new_connection;      /* START: use no pooled connection */
	int is_hedge;            /* START: another attempt is still open */
	uint32_t remaining_ms;   /* START: time until the deadline */
	at_reason_t reason;      /* START: of the retry; FINISH: of the end */
	at_verdict_t verdict;    /* FINISH */
	uint32_t retry_after_ms; /* FINISH: stated to the caller; 0: none */
} at_action_t;

/* Limits of one request. */
typedef struct at_attempt_limits {
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the first byte sent to the headers */
	uint32_t idle_ms;       /* between two chunks of the response */
	uint32_t hedge_ms;    /* time without headers until a hedge; 0: never */
	uint32_t deadline_ms; /* of the whole request */
	uint32_t attempts_max; /* 1 to AT_ATTEMPTS_MAX */
	/*
	 * Attempts of which nothing was sent, for lack of a server or a
	 * connection, do not count towards attempts_max; those for lack of a
	 * connection do not spend a retry either. In total there are still at
	 * most AT_ATTEMPTS_MAX.
	 */
	int unsent_not_counted;
	/*
	 * A server that is silent for first_byte_ms or idle_ms does not end
	 * its attempt. Another attempt is started beside it, if one may be,
	 * and the attempt that responds next ends the other. Of a resumable
	 * request, headers end the other takeover_ms later, so that two
	 * servers do not run it for long; of other requests, only the
	 * complete response does.
	 */
	int keeps_silent;
	uint32_t takeover_ms;
} at_attempt_limits_t;

typedef struct at_attempts at_attempts_t;

/* at_attempts_new() returns NULL if out of memory. */
at_attempts_t *at_attempts_new(void);
void at_attempts_delete(at_attempts_t *attempts);

/* Settings, made before at_attempts_init(). */
void at_attempts_set_limits(
    at_attempts_t *attempts, const at_attempt_limits_t *limits);
void at_attempts_set_repeat(at_attempts_t *attempts, at_repeat_t repeat);
/* Another attempt may continue the response of a resumable request. */
void at_attempts_set_resumable(at_attempts_t *attempts, int resumable);
/* The workspace's budget; it must outlive the machine. NULL: unlimited. */
void at_attempts_set_budget(at_attempts_t *attempts, at_budget_t *budget);

/* at_attempts_init() queues the first AT_ACTION_START. */
void at_attempts_init(at_attempts_t *attempts, uint64_t now_ms);

/*
 * at_attempts_on_placed() reports, after AT_ACTION_START, that a backend
 * server was chosen for attempt k. budget is that server's retry budget,
 * which must remain valid until the attempt ends (NULL: unlimited).
 * Returns 0, or -1 when the budget has no retry left and the attempt must
 * not start.
 */
int at_attempts_on_placed(
    at_attempts_t *attempts, uint32_t k, at_budget_t *budget, uint64_t now_ms);

/*
 * at_attempts_on_not_placed() reports, after AT_ACTION_START, that there is
 * no backend server. reason is given to the caller, unless an earlier
 * attempt may have run: then the reason of that attempt is given. While
 * another attempt is open, the number k is given to the next attempt again.
 */
void at_attempts_on_not_placed(
    at_attempts_t *attempts, uint32_t k, at_reason_t reason, uint64_t now_ms);

/* Events of a placed attempt; those of an ended attempt are ignored. */
void at_attempts_on_sending(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The response headers, or a chunk that is not yet proved to be ours. */
void at_attempts_on_headers(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* A chunk proved to be ours: from now on only this attempt is delivered. */
void at_attempts_on_data(at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The owner pauses or resumes reading because its caller reads slowly. */
void at_attempts_on_paused(
    at_attempts_t *attempts, uint32_t k, int paused, uint64_t now_ms);
/* The response is complete. */
void at_attempts_on_complete(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The backend server states, by contract, that it did not run the request. */
void at_attempts_on_refused(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/*
 * The attempt failed. verdict is what the transfer proves; the machine
 * weakens it where it knows that bytes have been sent.
 */
void at_attempts_on_failed(at_attempts_t *attempts, uint32_t k,
    at_reason_t reason, at_verdict_t verdict, uint64_t now_ms);
/*
 * An instance that should have passed the attempt on states that nothing of it
 * was sent to the backend server. It is as if no connection had been made.
 */
void at_attempts_on_not_passed(
    at_attempts_t *attempts, uint32_t k, uint64_t now_ms);
/* The caller has closed its connection. */
void at_attempts_on_caller_closed(at_attempts_t *attempts, uint64_t now_ms);

/*
 * at_attempts_abandon() ends the request and cancels its open attempts;
 * reason is given to the caller.
 */
void at_attempts_abandon(at_attempts_t *attempts, at_reason_t reason);

/* at_attempts_tick() checks timeouts, hedges and the deadline. */
void at_attempts_tick(at_attempts_t *attempts, uint64_t now_ms);

/* at_attempts_due_ms() returns when a tick is due, or AT_ATTEMPTS_NO_TIMER. */
uint64_t at_attempts_due_ms(const at_attempts_t *attempts);

/*
 * at_attempts_next_action() stores the next action and returns non-zero, or
 * returns 0 when there is none.
 */
int at_attempts_next_action(at_attempts_t *attempts, at_action_t *action);

/* at_attempts_delivered() returns the delivered attempt or AT_ATTEMPT_NONE. */
uint32_t at_attempts_delivered(const at_attempts_t *attempts);
at_attempt_state_t at_attempts_state(const at_attempts_t *attempts, uint32_t k);

/* at_attempts_reason() returns why an attempt ended. */
at_reason_t at_attempts_reason(const at_attempts_t *attempts, uint32_t k);
int at_attempts_is_finished(const at_attempts_t *attempts);

/* at_attempts_is_retry_denied() returns non-zero if a budget denied a retry. */
int at_attempts_is_retry_denied(const at_attempts_t *attempts);

#endif
