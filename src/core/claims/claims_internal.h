/*
 * claims_internal.h - what the two halves of the ledger share: claims.c has
 * the requests, claims_shard.c the objects.
 */
#ifndef ALMONDTHREAD_CORE_CLAIMS_INTERNAL_H
#define ALMONDTHREAD_CORE_CLAIMS_INTERNAL_H

#include "almondthread/claims.h"
#include "core/claims/claims_table.h"

#define CLAIM_OBJECT_SIZE 32u /* bytes of an object's name */

/* Life of one request for a claim. */
typedef enum claim_state {
	CLAIM_ASKING,    /* free as far as we know: to be put */
	CLAIM_WAITING,   /* another holds the key, or nothing is known yet */
	CLAIM_READY,     /* its outcome waits to be delivered */
	CLAIM_HELD,      /* granted */
	CLAIM_SETTLING,  /* to be recorded as run */
	CLAIM_RELEASING, /* to be proved absent from the object */
	CLAIM_STATE_COUNT
} claim_state_t;

typedef struct shard shard_t;

struct at_claim {
	at_claims_t *claims;
	shard_t *shard;
	at_claim_t *next;
	at_claim_t *prev;
	at_claim_t *next_ready;
	claim_state_t state;
	at_claim_hash_t key;
	at_claim_hash_t digest;
	uint64_t id;
	uint64_t limit_ms; /* the outcome is due */
	uint64_t since_ms; /* of the present state */
	int fresh;         /* the object was read after the request came */
	int reading;       /* since before the open read was sent */
	int sent;          /* in a put that may still take effect */
	int cancelled;     /* no callback is wanted */
	at_claim_done_t done;
	void *ctx;
	at_claim_result_t result;
	uint16_t status; /* of SETTLING */
	uint8_t *answer; /* owned */
	size_t answer_len;
	int answer_kept;
};

struct shard {
	at_claims_t *claims;
	char object[CLAIM_OBJECT_SIZE];
	claims_table_t table; /* the object at version */
	uint64_t version;
	int loaded;
	int must_read;      /* the object may differ from table */
	int busy;           /* a call is open */
	int paid;           /* the next put is within the put rate */
	uint32_t failures;  /* calls in a row without an answer */
	uint32_t conflicts; /* puts in a row */
	uint64_t retry_at_ms;
	uint64_t seen_at_ms; /* table was the object's value */
	uint64_t read_at_ms; /* when a waiting request may read again */
	claims_table_t next; /* what the open put writes */
	at_claim_t *first;
	at_claim_t *last;
};

struct at_claims {
	at_store_t store;
	at_clock_t clock;
	at_random_t random;
	at_incarnation_t self;
	uint64_t retention_ms;
	uint32_t shard_count;
	size_t shard_bytes;
	shard_t *shards;
	uint32_t cursor; /* the shard that is looked at first */
	uint32_t put_gap_ms;
	uint64_t paid_until_ms; /* by the puts sent so far */
	size_t pending;
	at_claim_t *ready_first;
	at_claim_t *ready_last;
	int delivering;
	int entered; /* a public call is on the stack */
	at_claims_stats_t stats;
};

uint64_t claims_now(const at_claims_t *claims);

/* claim_resolve() stores an outcome, to be delivered later. */
void claim_resolve(
    at_claim_t *claim, at_claim_outcome_t outcome, uint32_t retry_after_ms);
/* claim_set_state() notes the time of the change. */
void claim_set_state(at_claim_t *claim, claim_state_t state);
/* claim_free() unlinks and frees a request. */
void claim_free(at_claim_t *claim);
/* claim_give_up() answers one that was not granted in time. */
void claim_abandon(at_claim_t *claim);
/* claim_evaluate() places a request by what its shard's table says. */
void claim_evaluate(at_claim_t *claim);
/* claims_deliver() calls back with every outcome that waits. */
void claims_deliver(at_claims_t *claims);

void shard_free(shard_t *shard);
/* claims_kick() starts what is due: first where requests wait. */
void claims_process(at_claims_t *claims);

#endif
