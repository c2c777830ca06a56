/*
 * crash_causes.h - finds what crashes backend servers: a part of a prompt that
 * crashes each engine that begins to answer it, whatever else the request has,
 * or a whole request that is sent again.
 *
 * A crash accuses what was beginning at the server: the parts of the requests
 * that had been sent there, by any instance, and of which no response had
 * begun. A request that begins and goes on clears its parts, because a part
 * that crashes engines lets none begin. Other parts of the same requests are
 * accused with it. So a part is judged by the crashes since it last began that
 * no other part explains better: one with about as many crashes that is further
 * back in its prompt, since the parts at the front are shared by most requests.
 * Servers that crash together count as one crash.
 *
 *   clear    runs anywhere
 *   suspect  two crashes, and it is not known to have ever begun: a request is
 *            sent as a trial now and then
 *   blocked  three crashes, or more if it has begun earlier: is refused
 *   lifted   by an operator; earlier crashes do not count
 *
 * A whole request counts as the part that is furthest back. It explains the
 * crashes of a request that is sent again and again.
 *
 * Instances exchange crashes, what has begun of the accused parts, and blocks
 * (see the functions named take and apply); each judges by itself.
 *
 * Times are passed in, in microseconds. All tables are bounded; when one is
 * full, its oldest entry is removed.
 */
#ifndef ALMONDTHREAD_CRASH_CAUSES_H
#define ALMONDTHREAD_CRASH_CAUSES_H

#include "almondthread/fleet.h"

#define AT_CRASHES_MAX 64u        /* crashes that are remembered */
#define AT_CRASH_REQUESTS_MAX 96u /* requests of one crash */
#define AT_CRASH_BEGUN_MAX 8192u  /* parts that are known to have begun */
#define AT_CRASH_PARTS_MAX 65536u /* of all requests of all crashes */
#define AT_CRASH_VERDICTS_MAX 32u /* parts that are not clear */
/* Crashes after which a part that is not known to have begun is blocked. */
#define AT_CRASHES_TO_BLOCK 3u
/* How long a block lasts after its last crash or refusal. */
#define AT_CRASH_VERDICT_LIFETIME_US 600000000u
/* A request has begun when it goes on for this long after its first event. */
#define AT_CRASH_BEGUN_AFTER_US 200000u

/* The place of a part that another instance has not told yet. */
#define AT_REQUEST_PART_NONE UINT64_MAX

/* The parts of one request: as many as its prompt has. */
typedef struct at_request_parts {
	uint64_t request; /* hash of the whole request, itself a part */
	uint64_t *parts;  /* of its prompt, in order; owned; NULL: none */
	size_t count;
} at_request_parts_t;

/*
 * at_request_parts_init() takes over the parts of a request's prompt (count 0:
 * none, parts may be NULL). Target, key and body may be NULL. Requests are the
 * same if the target's path, key, body and the last part of the prompt are.
 */
void at_request_parts_init(at_request_parts_t *request, uint64_t *parts,
    size_t count, const char *target, const char *key, const void *body,
    size_t body_len);
/* at_request_parts_copy() copies no parts if out of memory. */
void at_request_parts_copy(
    at_request_parts_t *copy, const at_request_parts_t *request);
void at_request_parts_clear(at_request_parts_t *request);

typedef enum at_cause_state {
	AT_CAUSE_CLEAR,
	AT_CAUSE_SUSPECT,
	AT_CAUSE_BLOCKED,
	AT_CAUSE_LIFTED,
	AT_CAUSE_STATE_COUNT
} at_cause_state_t;

/* Names of states, indexed by at_cause_state_t. */
extern const char *const at_cause_state_names[];

/* A part that is not clear. */
typedef struct at_crash_verdict {
	uint64_t part;
	at_cause_state_t state;
	uint32_t crashes; /* that it was judged by */
	int has_begun;    /* blocked although it had begun earlier */
	uint64_t since_us;
	uint64_t expires_us;
} at_crash_verdict_t;

typedef struct at_crash_causes at_crash_causes_t;

/* at_crash_causes_new() returns NULL if out of memory. */
at_crash_causes_t *at_crash_causes_new(void);
void at_crash_causes_delete(at_crash_causes_t *causes);

/*
 * at_crash_causes_add_crash() records that a server crashed at crashed_us while
 * these requests were beginning there. server names one incarnation; what
 * several instances record of it is one crash. Returns non-zero if that was new
 * in any part. Requests are copied; of one that was recorded before, parts that
 * were missing are added. Requests are dropped if out of memory, and those of
 * the oldest crashes beyond AT_CRASH_PARTS_MAX.
 */
int at_crash_causes_add_crash(at_crash_causes_t *causes, uint64_t server,
    const at_request_parts_t *requests, size_t count, uint64_t crashed_us);

/*
 * at_crash_causes_note_begun() records that a request began at begun_us and has
 * gone on. at_crash_causes_apply_begun() takes the same of one part from
 * another instance.
 */
void at_crash_causes_note_begun(at_crash_causes_t *causes,
    const at_request_parts_t *request, uint64_t begun_us);
void at_crash_causes_apply_begun(
    at_crash_causes_t *causes, uint64_t part, uint64_t begun_us);
/*
 * at_crash_causes_take_begun() writes accused parts that have begun here and
 * have not been reported since, at most max, and returns their number. The
 * caller reports them.
 */
typedef struct at_part_begun {
	uint64_t part;
	uint64_t begun_us;
} at_part_begun_t;
size_t at_crash_causes_take_begun(
    at_crash_causes_t *causes, at_part_begun_t *entries, size_t max);

/*
 * at_crash_causes_decide() judges the parts of all crashes and expires
 * verdicts. Returns non-zero if a verdict has changed. It is called after new
 * crashes and about ten times a second.
 */
int at_crash_causes_decide(at_crash_causes_t *causes, uint64_t now_us);

/*
 * at_crash_causes_check() returns the verdict on a request, the most severe one
 * of its parts, or NULL if it is clear or lifted. It is valid until the next
 * call that may change a verdict. A block lasts longer by this.
 */
const at_crash_verdict_t *at_crash_causes_check(at_crash_causes_t *causes,
    const at_request_parts_t *request, uint64_t now_us);
/*
 * at_crash_causes_has_verdicts() returns zero if no part is suspect or blocked,
 * so that at_crash_causes_check() need not be called.
 */
int at_crash_causes_has_verdicts(const at_crash_causes_t *causes);
/*
 * at_crash_causes_start_trial() returns non-zero if a request with a suspect
 * part may be sent as a trial: delay_us after the suspicion or after the last
 * trial. Instances give different delays, and tell the others of their trials,
 * which at_crash_causes_note_trial() records.
 */
int at_crash_causes_start_trial(at_crash_causes_t *causes, uint64_t part,
    uint64_t delay_us, uint64_t now_us);

void at_crash_causes_note_trial(
    at_crash_causes_t *causes, uint64_t part, uint64_t now_us);

/* at_crash_causes_each() visits the verdicts that have not expired. */
void at_crash_causes_each(const at_crash_causes_t *causes,
    void (*visit)(void *ctx, const at_crash_verdict_t *verdict), void *ctx);
/*
 * at_crash_causes_apply_verdict() takes a block or its lifting from another
 * instance or from the platform; the newer of two counts. Other states are
 * ignored. Returns non-zero if a verdict has changed.
 */
int at_crash_causes_apply_verdict(at_crash_causes_t *causes,
    const at_crash_verdict_t *verdict, uint64_t now_us);
/*
 * at_crash_causes_lift() lifts the block of a part. Returns 0, or -1 if it is
 * neither suspect nor blocked.
 */
int at_crash_causes_lift(
    at_crash_causes_t *causes, uint64_t part, uint64_t now_us);

#endif
