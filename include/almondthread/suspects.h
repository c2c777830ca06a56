/*
 * suspects.h - requests that crash the backend servers that run them.
 *
 * A request is known by its fingerprint, a keyed hash of what it asks for,
 * so that one that comes again is recognised on every instance. When a
 * backend server crashes, all that was in flight there is suspect:
 *
 *   clear      runs anywhere
 *   suspect    in flight at one crash: runs where no other suspect runs
 *   held       in flight at two, each time beside others: runs alone or not
 *   doubted    lost twice, and it is not known yet whether by a crash: waits
 *   pending    in flight at two, of which one is not judged yet: not run
 *   convicted  in flight at two and alone at the last: refused
 *   lifted     an operator lifted it; words of others do not bring it back
 *
 * A crash is judged AT_SUSPECTS_DECISION_DELAY_MS after it was seen, when the
 * other instances have told what they had in flight there. Only one that was
 * alone fleet-wide is convicted, so that no innocent neighbour ever is. Whoever
 * runs to its end without a crash is clear again. All but "clear" expires.
 *
 * Time is passed in. The object holds at most AT_SUSPECTS_MAX fingerprints;
 * beyond, the one that expires first goes.
 */
#ifndef ALMONDTHREAD_SUSPECTS_H
#define ALMONDTHREAD_SUSPECTS_H

#include "almondthread/units.h"

#define AT_SUSPECTS_MAX 1024u
#define AT_SUSPECTS_REPORT_DELAY_MS               \
	500u /* from a crash to the word about it \
	      */
#define AT_SUSPECTS_ENDED_WINDOW_MS \
	2000u /* a flight ended so long before counts */
#define AT_SUSPECTS_UNCONFIRMED_MAX_MS \
	10000u /* longest doubt whether it crashed */
#define AT_SUSPECTS_DECISION_DELAY_MS 1500u   /* from a crash to its judgment */
#define AT_SUSPECTS_LIFETIME_MS (600u * 1000) /* from the last crash */
#define AT_FINGERPRINT_TEXT_SIZE 33u          /* hexadecimal digits and NUL */

typedef struct at_fingerprint {
	uint64_t high;
	uint64_t low;
} at_fingerprint_t;

/*
 * The fingerprint {0, 0} is of a request that cannot be told from others of
 * its kind: it counts as a neighbour and is never charged itself.
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

/* What is known of one fingerprint. */
typedef struct at_suspect {
	at_fingerprint_t fingerprint;
	at_suspicion_t suspicion;
	uint32_t crashes;
	uint64_t expires_at_ms;
} at_suspect_t;

/* How a flight, one attempt on one backend server, ended. */
typedef enum at_execution_end {
	AT_EXECUTION_COMPLETED,       /* with a whole answer */
	AT_EXECUTION_CONNECTION_LOST, /* its connection was lost: perhaps a
					 crash */
	AT_EXECUTION_CANCELLED, /* we closed it: it may run on for a while */
	AT_EXECUTION_NOT_RUN,   /* proved not to have run */
	AT_EXECUTION_END_COUNT
} at_execution_end_t;

typedef struct at_suspects at_suspects_t;
typedef struct at_execution at_execution_t;

/* What the owner tells the other instances. Pointers last for the call. */
typedef struct at_suspects_events {
	/* A crash was seen; these were in flight there from here. */
	void (*on_crash)(void *ctx, const at_name_t *backend,
	    const at_fingerprint_t *victims, size_t count);
	/* A fingerprint was convicted or lifted here. */
	void (*on_change)(void *ctx, const at_suspect_t *suspect);
	void *ctx;
} at_suspects_events_t;

at_suspects_t *at_suspects_new(void);
void at_suspects_delete(at_suspects_t *suspects);
void at_suspects_set_events(
    at_suspects_t *suspects, const at_suspects_events_t *events);

/* at_suspects_begin_execution() notes a flight; NULL without memory, which is
 * well. */
at_execution_t *at_suspects_begin_execution(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const at_name_t *backend,
    uint64_t now_ms);
/* at_suspects_end_execution() ends a flight; NULL is permitted. */
void at_suspects_end_execution(at_suspects_t *suspects, at_execution_t *flight,
    at_execution_end_t end, uint64_t now_ms);

/* at_suspects_note_crash() says, once a crash, that it crashed just now. */
void at_suspects_note_crash(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t now_ms);
/* at_suspects_note_alive() says that it had not crashed at since_ms. */
void at_suspects_note_alive(
    at_suspects_t *suspects, const at_name_t *backend, uint64_t since_ms);
/*
 * at_suspects_apply_peer_crash() takes another instance's on_crash, which comes
 * AT_SUSPECTS_REPORT_DELAY_MS after the crash.
 */
void at_suspects_apply_peer_crash(at_suspects_t *suspects,
    const at_name_t *backend, const at_fingerprint_t *victims, size_t count,
    uint64_t now_ms);
/*
 * at_suspects_apply_peer_decision() takes another instance's word: convicted or
 * lifted, for so long. Any other suspicion is ignored.
 */
void at_suspects_apply_peer_decision(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, at_suspicion_t suspicion,
    uint64_t lifetime_ms, uint64_t now_ms);
/* at_suspects_tick() judges crashes and forgets; about twice a second. */
void at_suspects_tick(at_suspects_t *suspects, uint64_t now_ms);

at_suspicion_t at_suspects_check(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, uint64_t now_ms);
/* at_suspects_get() returns what is known, or NULL; lent until a change. */
const at_suspect_t *at_suspects_get(
    const at_suspects_t *suspects, const at_fingerprint_t *fingerprint);
/*
 * at_suspects_may_run() tells whether a request may begin on a backend
 * server now.
 */
int at_suspects_may_run(const at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, const char *backend, uint64_t now_ms);
/* at_suspects_is_unrestricted() is true while nothing is kept from anywhere. */
int at_suspects_is_unrestricted(const at_suspects_t *suspects);

/* at_suspects_lift() clears one; returns 0, or -1 when it is not known. */
int at_suspects_lift(at_suspects_t *suspects,
    const at_fingerprint_t *fingerprint, uint64_t now_ms);
/* at_suspects_each() visits all that is not clear. */
void at_suspects_each(const at_suspects_t *suspects,
    void (*visit)(void *ctx, const at_suspect_t *suspect), void *ctx);

#endif
