/*
 * suspects.h - detects requests that crash the backend servers that run
 * them, and blocks them.
 *
 * A request is identified by its fingerprint, a keyed hash of its content,
 * so that a repeated request is recognised on every instance. When a backend
 * server crashes, all requests in flight there become suspect:
 *
 *   clear        runs anywhere
 *   suspect      in flight at one crash: runs where no other suspect runs
 *   isolated     in flight at two crashes, each time with others: runs only
 *                alone on a backend server
 *   unconfirmed  lost twice, and it is not known yet whether by a crash:
 *                waits
 *   pending      in flight at two crashes, of which one is not decided yet:
 *                is not run
 *   blocked      in flight at two crashes, and alone at the last: is refused
 *   lifted       unblocked by an operator; decisions of other instances do
 *                not block it again
 *
 * A crash is decided AT_SUSPECTS_DECISION_DELAY_MS after it was seen, when
 * the other instances have reported what they had in flight there. Only a
 * request that was alone there fleet-wide is blocked, so that requests that
 * ran beside it are not. A request that completes without a crash is clear
 * again. All states but "clear" expire.
 *
 * Times are passed in. At most AT_SUSPECTS_MAX fingerprints are stored; when
 * the table is full, the one that expires first is removed.
 */
#ifndef ALMONDTHREAD_SUSPECTS_H
#define ALMONDTHREAD_SUSPECTS_H

#include "almondthread/units.h"

#define AT_SUSPECTS_MAX 1024u /* fingerprints that are not clear */
/* Delay from a crash to the report about it to other instances. */
#define AT_SUSPECTS_REPORT_DELAY_MS 500u
/* A crash also concerns executions that ended this long before it. */
#define AT_SUSPECTS_ENDED_WINDOW_MS 2000u
/* Longest time that it may be unknown whether a server crashed. */
#define AT_SUSPECTS_UNCONFIRMED_MAX_MS 10000u
/* Delay from a crash to the decision about it. */
#define AT_SUSPECTS_DECISION_DELAY_MS 1500u
/* Time from its last crash until a state expires. */
#define AT_SUSPECTS_LIFETIME_MS (600u * 1000)
#define AT_FINGERPRINT_TEXT_SIZE 33u /* hexadecimal digits and the NUL */

typedef struct at_fingerprint {
	uint64_t high;
	uint64_t low;
} at_fingerprint_t;

/*
 * The fingerprint {0, 0} is that of requests that cannot be distinguished
 * from each other. They count as running beside others and are never
 * suspected themselves.
 *
 * at_fingerprint_make() hashes a target (model or service) and a body under
 * the fleet's secret of secret_len bytes.
 */
at_fingerprint_t at_fingerprint_make(const uint8_t *secret, size_t secret_len,
    const char *target, const void *body, size_t body_len);
void at_fingerprint_format(
    const at_fingerprint_t *fingerprint, char text[AT_FINGERPRINT_TEXT_SIZE]);
/* at_fingerprint_parse() returns 0, or -1 when text is not 32 digits. */
int at_fingerprint_parse(at_fingerprint_t *fingerprint, const char *text);

typedef enum at_suspicion {
	AT_SUSPICION_CLEAR,
	AT_SUSPICION_SUSPECT,
	AT_SUSPICION_ISOLATED,
	AT_SUSPICION_UNCONFIRMED,
	AT_SUSPICION_PENDING,
	AT_SUSPICION_BLOCKED,
	AT_SUSPICION_LIFTED,
	AT_SUSPICION_COUNT
} at_suspicion_t;

extern const char *const at_suspicion_names[];

/* State of one fingerprint. */
typedef struct at_suspect {
	at_fingerprint_t fingerprint;
	at_suspicion_t suspicion;
	uint32_t crashes;
	uint64_t expires_at_ms;
} at_suspect_t;

/* How an execution, one attempt on one backend server, ended. */
typedef enum at_execution_end {
	AT_EXECUTION_COMPLETED,       /* with a complete response */
	AT_EXECUTION_CONNECTION_LOST, /* perhaps by a crash */
	AT_EXECUTION_CANCELLED,       /* closed by us; it may still run */
	AT_EXECUTION_NOT_RUN,         /* proved not to have run */
	AT_EXECUTION_END_COUNT
} at_execution_end_t;

typedef struct at_suspects at_suspects_t;
typedef struct at_execution at_execution_t;

/*
 * Callbacks whose content the owner sends to the other instances. Pointers
 * are valid only during the call.
 */
typedef struct at_suspects_events {
	/* A crash; victims are this instance's requests in flight there. */
	void (*on_crash)(void *ctx, const at_name_t *backend,
	    const at_fingerprint_t *victims, size_t count);
	/* This instance blocked or lifted a fingerprint. */
	void (*on_change)(void *ctx, const at_suspect_t *suspect);
	void *ctx;
} at_suspects_events_t;

at_suspects_t *at_suspects_new(void);
void at_suspects_delete(at_suspects_t *suspects);
void at_suspects_set_events(
    at_suspects_t *suspects, const at_suspects_events_t *events);

/*
 * at_suspects_begin_execution() records the start of an execution. Returns NULL
 * if out of memory; the request may run nevertheless.
 */
at_execution_t *at_suspects_begin_execution(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const at_name_t *backend,
    uint64_t now_ms);
/* at_suspects_end_execution() ends an execution; NULL is permitted. */
void at_suspects_end_execution(at_suspects_t *suspects,
    at_execution_t *execution, at_execution_end_t end, uint64_t now_ms);

/* Records that a backend server crashed now; called once for each crash. */
void at_suspects_note_crash(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t now_ms);
/* Records that a backend server had not crashed at since_ms. */
void at_suspects_note_alive(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t since_ms);
/*
 * at_suspects_apply_peer_crash() takes the content of another instance's
 * on_crash, which arrives AT_SUSPECTS_REPORT_DELAY_MS after the crash.
 */
void at_suspects_apply_peer_crash(at_suspects_t *suspects,
    const at_name_t *backend, const at_fingerprint_t *victims, size_t count,
    uint64_t now_ms);
/*
 * at_suspects_apply_peer_decision() takes another instance's decision:
 * blocked or lifted, for lifetime_ms. Any other state is ignored.
 */
void at_suspects_apply_peer_decision(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, at_suspicion_t suspicion,
    uint64_t lifetime_ms, uint64_t now_ms);
/*
 * at_suspects_tick() decides crashes and expires states; it is called about
 * twice a second.
 */
void at_suspects_tick(at_suspects_t *suspects, uint64_t now_ms);

at_suspicion_t at_suspects_check(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, uint64_t now_ms);
/*
 * at_suspects_get() returns the state of a fingerprint, valid until a change,
 * or NULL when it is clear.
 */
const at_suspect_t *at_suspects_get(
    const at_suspects_t *suspects, const at_fingerprint_t *fingerprint);
/*
 * at_suspects_may_run() returns non-zero if a request may start on a backend
 * server now.
 */
int at_suspects_may_run(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const char *backend, uint64_t now_ms);
/*
 * at_suspects_is_unrestricted() returns non-zero while every fingerprint is
 * clear, so that all requests may run anywhere.
 */
int at_suspects_is_unrestricted(const at_suspects_t *suspects);

/*
 * at_suspects_lift() lifts the suspicion of a fingerprint. Returns 0, or -1
 * when it has none.
 */
int at_suspects_lift(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, uint64_t now_ms);
/* at_suspects_each() visits all fingerprints that are not clear. */
void at_suspects_each(const at_suspects_t *suspects,
    void (*visit)(void *ctx, const at_suspect_t *suspect), void *ctx);

#endif
