/*
 * claims_internal.h - types and functions shared by claims.c, which handles
 * the requests for claims, and claims_shard.c, which reads and writes the
 * shard objects.
 */
#ifndef ALMONDTHREAD_CORE_CLAIMS_INTERNAL_H
#define ALMONDTHREAD_CORE_CLAIMS_INTERNAL_H

#include "almondthread/claims.h"
#include "core/claims/claims_table.h"

#define CLAIM_OBJECT_SIZE 32u /* bytes of an object's name, with the NUL */

/* States of one request for a claim. */
typedef enum claim_state {
	CLAIM_REQUESTING, /* the key has no entry; the next put adds one */
	CLAIM_WAITING,    /* the key is claimed, or the shard is not loaded */
	CLAIM_READY,      /* its outcome is to be delivered */
	CLAIM_GRANTED,    /* delivered; the caller runs its request */
	CLAIM_SETTLING,   /* its end is to be recorded */
	CLAIM_RELEASING,  /* its entry is to be removed */
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
	uint64_t deadline_ms;    /* latest time of the outcome */
	uint64_t state_since_ms; /* start of the present state */
	int has_fresh_read;  /* the table was read after the request arrived */
	int covered_by_read; /* it arrived before the read in flight was sent */
	int in_put;          /* a put with its entry may still take effect */
	int is_cancelled;    /* the callback is not called */
	at_claim_done_t done;
	void *ctx;
	at_claim_result_t result;
	uint16_t status;   /* HTTP status to record, in CLAIM_SETTLING */
	uint8_t *response; /* owned; stored response, or the one to store */
	size_t response_len;
	int response_stored;
};

struct shard {
	at_claims_t *claims;
	char object[CLAIM_OBJECT_SIZE];
	claims_table_t table; /* decoded value of the object at version */
	uint64_t version;
	int is_loaded;
	int needs_read;     /* the object may differ from table */
	int call_in_flight; /* a call of the store has not completed */
	int is_put_counted; /* the next put is counted in the put rate */
	uint32_t failures;  /* consecutive calls that failed */
	uint32_t conflicts; /* consecutive puts that met a newer version */
	uint64_t retry_at_ms;
	uint64_t confirmed_ms; /* when table was last the object's value */
	uint64_t next_read_ms; /* earliest next read for waiting requests */
	claims_table_t next;   /* value written by the put in flight */
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
	uint32_t next_shard;            /* index of the shard processed first */
	uint32_t put_interval_ms;       /* at the put rate; 0: no limit */
	uint64_t puts_counted_until_ms; /* end of the last put's interval */
	size_t pending;
	at_claim_t *ready_first;
	at_claim_t *ready_last;
	int is_delivering;
	int call_depth; /* public functions; callbacks wait for 0 */
	at_claims_stats_t stats;
};

uint64_t claims_now(const at_claims_t *claims);

/* claim_resolve() stores an outcome, to be delivered later. */
void claim_resolve(
    at_claim_t *claim, at_claim_outcome_t outcome, uint32_t retry_after_ms);
/* claim_set_state() also records the time of the change. */
void claim_set_state(at_claim_t *claim, claim_state_t state);
/* claim_free() removes a request from its shard and frees it. */
void claim_free(at_claim_t *claim);
/* claim_abandon() resolves a request that was not granted in time. */
void claim_abandon(at_claim_t *claim);
/* claim_evaluate() sets a request's state from its shard's table. */
void claim_evaluate(at_claim_t *claim);
/* claims_deliver() calls the callbacks of all resolved requests. */
void claims_deliver(at_claims_t *claims);

void shard_free(shard_t *shard);
/*
 * claims_process() starts the reads and puts that are due, those for new
 * requests first.
 */
void claims_process(at_claims_t *claims);

#endif
