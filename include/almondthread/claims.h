/*
 * claims.h - at-most-once execution: a ledger of claims in the object API.
 *
 * A request of a `once` route with an idempotency key is claimed before it
 * is dispatched and settled after it has ended. Claims are stored in a fixed
 * number of shard objects. All claims and settlements of a shard that wait
 * while a put of that shard is in flight are written by the next put.
 *
 * A claim is granted only when it is proved ours: by the response to our
 * conditional put, or by reading the object back and finding our claim id. A
 * put without a response may take effect later; its effect is known only when
 * the object is read at a newer version, which any instance may have written.
 *
 * Every entry stores its proved age in milliseconds. A writer adds the time
 * that has passed by its own clock since it first read the entry, so the age
 * never exceeds the true one by more than the difference of the clock rates
 * (AT_CLAIM_CLOCK_RATE_DIVISOR). Clocks need not agree on the time.
 */
#ifndef ALMONDTHREAD_CLAIMS_H
#define ALMONDTHREAD_CLAIMS_H

#include "almondthread/ports.h"

#define AT_CLAIM_HASH_SIZE 16u            /* bytes */
#define AT_CLAIM_RESPONSE_MAX_BYTES 2048u /* of a stored response */
#define AT_CLAIM_SHARDS 8u       /* shard objects; equal in the whole fleet */
#define AT_CLAIM_SHARDS_MAX 256u /* shard objects */
/* Clock rates differ from true time by at most 1 part in this many. */
#define AT_CLAIM_CLOCK_RATE_DIVISOR 100u
#define AT_CLAIM_RETENTION_MIN_S 60u /* shortest retention */
#define AT_CLAIMS_PENDING_MAX 8192u  /* claims in one process */
#define AT_CLAIM_OBJECT_PREFIX "claims/"

typedef struct at_claim_hash {
	uint8_t bytes[AT_CLAIM_HASH_SIZE];
} at_claim_hash_t;

/* Outcome of a request for a claim. */
typedef enum at_claim_outcome {
	AT_CLAIM_GRANTED,     /* ours: dispatch, then settle or release */
	AT_CLAIM_COMPLETED,   /* it ran before; its result was stored */
	AT_CLAIM_IN_FLIGHT,   /* claimed by another, or its end is unknown */
	AT_CLAIM_MISMATCH,    /* the key was used with another body */
	AT_CLAIM_UNAVAILABLE, /* not recorded; it must not be dispatched */
	AT_CLAIM_OUTCOME_COUNT
} at_claim_outcome_t;

extern const char *const at_claim_outcome_names[];

/* response is valid only during the callback. */
typedef struct at_claim_result {
	at_claim_outcome_t outcome;
	uint16_t status;     /* COMPLETED: the stored HTTP status */
	int response_stored; /* COMPLETED: response is complete */
	const void *response;
	size_t response_len;     /* bytes */
	uint32_t retry_after_ms; /* 0: a retry would change nothing */
} at_claim_result_t;

typedef struct at_claims at_claims_t;
typedef struct at_claim at_claim_t;

/*
 * Called exactly once for each request, unless it is cancelled, and never
 * before at_claims_request() has returned. After AT_CLAIM_GRANTED the claim
 * belongs to the caller until at_claims_settle(), at_claims_release() or
 * at_claims_abandon(); after any other outcome it is freed.
 */
typedef void (*at_claim_done_t)(
    void *ctx, at_claim_t *claim, const at_claim_result_t *result);

/* Totals since at_claims_new(). */
typedef struct at_claims_stats {
	uint64_t outcomes[AT_CLAIM_OUTCOME_COUNT];
	uint64_t reads;
	uint64_t puts;
	uint64_t puts_ok;
	uint64_t puts_conflict;
	uint64_t puts_unknown;
	uint64_t puts_not_sent;
	uint64_t settled;      /* settlements recorded */
	uint64_t released;     /* claims released: nothing was dispatched */
	uint64_t recovered;    /* proved ours by reading the object back */
	uint64_t refused_full; /* a shard or this process was full */
	uint64_t pruned;       /* entries removed after their retention */
	uint64_t responses_dropped;
	uint64_t malformed; /* objects that could not be decoded */
} at_claims_stats_t;

/* at_claims_new() returns an empty ledger, or NULL if out of memory. */
at_claims_t *at_claims_new(void);
void at_claims_set_store(at_claims_t *claims, const at_store_t *store);
void at_claims_set_clock(at_claims_t *claims, const at_clock_t *clock);
/* The random port gives claim ids, which must be unique in the fleet. */
void at_claims_set_random(at_claims_t *claims, const at_random_t *random);
void at_claims_set_self(at_claims_t *claims, const at_incarnation_t *self);
/*
 * at_claims_set_retention() sets how long entries are kept, at least
 * AT_CLAIM_RETENTION_MIN_S. It may be changed at any time.
 */
void at_claims_set_retention(at_claims_t *claims, uint32_t retention_s);
/*
 * at_claims_set_shards() sets the number of shards and the bytes of each; it is
 * called before the first request.
 */
void at_claims_set_shards(
    at_claims_t *claims, uint32_t shards, size_t shard_bytes);
/* at_claims_set_put_rate() limits the puts of this process; 0: no limit. */
void at_claims_set_put_rate(at_claims_t *claims, uint32_t puts_s);
/*
 * at_claims_delete() frees everything without callbacks. The store's open
 * calls must have been dropped before.
 */
void at_claims_delete(at_claims_t *claims);

/*
 * at_claim_hash() hashes parts[0..count-1], each with its length, so that
 * different lists of parts never give the same input.
 */
void at_claim_hash(at_claim_hash_t *hash, const void *const *parts,
    const size_t *lens, size_t count);

/*
 * at_claims_request() requests the claim of key; digest is that of the body.
 * The outcome is delivered within wait_ms. Returns NULL if out of memory.
 */
at_claim_t *at_claims_request(at_claims_t *claims, const at_claim_hash_t *key,
    const at_claim_hash_t *digest, uint32_t wait_ms, at_claim_done_t done,
    void *ctx);

/* at_claims_cancel() withdraws a request that has no outcome yet. */
void at_claims_cancel(at_claims_t *claims, at_claim_t *claim);

/*
 * at_claims_settle() records that a granted claim ran, with the HTTP status
 * and the response; one over AT_CLAIM_RESPONSE_MAX_BYTES is not stored.
 */
void at_claims_settle(at_claims_t *claims, at_claim_t *claim, uint16_t status,
    const void *response, size_t len);

/* at_claims_release() removes a granted claim that is proved not run. */
void at_claims_release(at_claims_t *claims, at_claim_t *claim);

/*
 * at_claims_abandon() ends a granted claim whose request may have run. Its
 * entry stays unsettled until the end of its retention.
 */
void at_claims_abandon(at_claims_t *claims, at_claim_t *claim);

/* at_claims_tick() runs due calls; call it every few milliseconds. */
void at_claims_tick(at_claims_t *claims);

/* at_claims_pending_count() counts requests and claims that have not ended. */
size_t at_claims_pending_count(const at_claims_t *claims);

/*
 * at_claims_unsettled_count() counts settlements and releases that are not
 * recorded yet.
 */
size_t at_claims_unsettled_count(const at_claims_t *claims);

const at_claims_stats_t *at_claims_stats(const at_claims_t *claims);

#endif
