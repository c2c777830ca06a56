/*
 * memory.h - the account of the memory that grows with traffic, and what
 * becomes of a claim that does not fit.
 *
 * The account has no I/O and no clock. Its owner adds and subtracts what it
 * holds, and states from time to time the resident size of the process; what
 * that contains beyond the kinds that are added is the kind "other" (peers,
 * queues, libraries, the program itself). Sizes are bytes.
 */
#ifndef ALMONDTHREAD_MEMORY_H
#define ALMONDTHREAD_MEMORY_H

#include "almondthread/units.h"

/* A body up to this size is small: it may use room that large ones may not. */
#define AT_MEMORY_SMALL_BYTES (64u << 10)
/*
 * While memory is short, a connection gives way that has not made this progress
 * for this time. Lost segments are repeated after 200 and 600 ms by then; 128
 * kbit/s is less than any link that is used.
 */
#define AT_MEMORY_STALLED_MS 1000u
#define AT_MEMORY_PROGRESS_BYTES (16u << 10)
/* Reading a body is suspended for this time at most before it is refused. */
#define AT_MEMORY_PAUSE_MAX_MS 1000u

typedef enum at_memory_kind {
	AT_MEMORY_BODIES,      /* of requests, until their last attempt ends */
	AT_MEMORY_RESPONSES,   /* not yet read by callers */
	AT_MEMORY_CONNECTIONS, /* their requests, and transfers to servers */
	AT_MEMORY_KERNEL,      /* received and not yet read */
	AT_MEMORY_OTHER,
	AT_MEMORY_KIND_COUNT
} at_memory_kind_t;

/* Names of kinds, indexed by at_memory_kind_t. */
extern const char *const at_memory_kind_names[];

/* Whom bodies belong to: a workspace or an address, as a hash; 0: none. */
typedef uint64_t at_memory_owner_t;
#define AT_MEMORY_OWNERS 256u /* owners with the same remainder are one */

typedef struct at_memory {
	uint64_t limit; /* 0: there is no limit */
	uint64_t held[AT_MEMORY_KIND_COUNT];
	/* Part of the bodies that has not arrived and is not resident. */
	uint64_t unfilled;
	uint64_t by_owner[AT_MEMORY_OWNERS];
	/* Bytes released in the present and the last second. */
	uint64_t released;
	uint64_t released_before;
	uint64_t second_ms;  /* begin of the present second */
	uint64_t refused_ms; /* last refusal, as at_memory_tick() noticed it */
	int is_refusing;
	int has_refused; /* since the last at_memory_tick() */
	uint64_t refused_total;
	uint64_t closed_total;
	uint64_t paused_total;
} at_memory_t;

typedef enum at_memory_verdict {
	AT_MEMORY_ACCEPT,
	AT_MEMORY_PAUSE,  /* stop reading, and ask again */
	AT_MEMORY_REFUSE, /* drop what was received, and state "not run" */
	/* Close the connection without progress for longest, and ask again. */
	AT_MEMORY_CLOSE,
	/* Refuse an unfinished body of the largest owner, and ask again. */
	AT_MEMORY_CUT_BACK
} at_memory_verdict_t;

/* A claim on memory. */
typedef struct at_memory_claim {
	at_memory_kind_t kind; /* bodies or responses */
	uint64_t bytes;        /* in addition */
	uint64_t total;        /* of the body, with what it holds */
	uint64_t own;          /* part of total that is held */
	uint32_t priority;     /* 0: the most urgent */
	at_memory_owner_t owner;
	int is_request;      /* for a request itself, beside its body */
	int is_ahead;        /* a stream is read faster than its caller reads */
	int may_pause;       /* reading can be suspended */
	uint64_t paused_ms;  /* for which it was */
	uint64_t stalled_ms; /* longest time of a connection without progress */
} at_memory_claim_t;

/*
 * at_memory_init() sets the limit to what a process may use on a machine with
 * as much memory; 0: no limit.
 */
void at_memory_init(at_memory_t *memory, uint64_t machine_bytes);
/* memory may be NULL in these two. */
void at_memory_add(at_memory_t *memory, at_memory_kind_t kind, uint64_t bytes);
void at_memory_sub(at_memory_t *memory, at_memory_kind_t kind, uint64_t bytes);
/* The same for a body: owner may be 0. */
void at_memory_add_owned(
    at_memory_t *memory, at_memory_owner_t owner, uint64_t bytes);
void at_memory_sub_owned(
    at_memory_t *memory, at_memory_owner_t owner, uint64_t bytes);
/* Sets what the kernel holds, and the process, resident. */
void at_memory_set_kernel(at_memory_t *memory, uint64_t bytes);
void at_memory_set_resident(at_memory_t *memory, uint64_t bytes);
uint64_t at_memory_used(const at_memory_t *memory);

/* at_memory_fits() returns non-zero if the claim needs no further decision. */
int at_memory_fits(const at_memory_t *memory, const at_memory_claim_t *claim);
at_memory_verdict_t at_memory_decide(
    const at_memory_t *memory, const at_memory_claim_t *claim);
/*
 * at_memory_excess() returns how much must be given up without a claim, since
 * what is used has grown by itself; 0 mostly.
 */
uint64_t at_memory_excess(const at_memory_t *memory);
/* The owner, modulo AT_MEMORY_OWNERS, that holds the most. */
size_t at_memory_largest_owner(const at_memory_t *memory);
/*
 * at_memory_note_refused() notes a refusal. at_memory_retry_ms() returns after
 * which time as much is released as the claim lacks, by the rate of the last
 * seconds.
 */
void at_memory_note_refused(at_memory_t *memory);
uint32_t at_memory_retry_ms(
    const at_memory_t *memory, const at_memory_claim_t *claim);
/*
 * at_memory_tick() is called several times a second. Returns 1 if the account
 * has begun to refuse, -1 if it has refused nothing for a second, else 0.
 */
int at_memory_tick(at_memory_t *memory, uint64_t now_ms);

#endif
