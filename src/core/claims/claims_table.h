/*
 * claims_table.h - the value of one shard object: entries sorted by key.
 *
 * A decoded table owns a copy of the encoded bytes; the responses of its
 * entries point into that copy.
 */
#ifndef ALMONDTHREAD_CORE_CLAIMS_TABLE_H
#define ALMONDTHREAD_CORE_CLAIMS_TABLE_H

#include "almondthread/claims.h"

typedef struct claim_entry {
	at_claim_hash_t key;
	at_claim_hash_t digest;
	uint64_t id;       /* random, of one request for the claim */
	uint64_t claimant; /* incarnation number */
	uint64_t age_ms;   /* proved age at base_ms of the table */
	uint16_t status;   /* HTTP status; 0: unsettled */
	uint16_t response_len;
	int response_stored;
	const uint8_t *response;
} claim_entry_t;

typedef struct claims_table {
	uint8_t *bytes;
	size_t len;
	claim_entry_t *entries;
	size_t count;
	size_t capacity;  /* entries allocated */
	uint64_t base_ms; /* time of the ages, by the clock of this process */
} claims_table_t;

/*
 * claims_table_decode() decodes a copy of value[0..len-1]; NULL and 0 give an
 * empty table, whose base_ms is 0. Returns 0, or -1 if the value is malformed
 * or if out of memory.
 */
int claims_table_decode(claims_table_t *table, const void *value, size_t len);
void claims_table_free(claims_table_t *table);

/*
 * claims_table_copy() copies the entries of another table and advances their
 * ages to now_ms. The responses still belong to from, which must outlive the
 * copy. Returns 0, or -1 if out of memory.
 */
int claims_table_copy(
    claims_table_t *table, const claims_table_t *from, uint64_t now_ms);

/* claims_table_find() returns the entry of a key, or NULL. */
claim_entry_t *claims_table_find(
    const claims_table_t *table, const at_claim_hash_t *key);

/* claims_table_add() returns 0, or -1 if out of memory. */
int claims_table_add(claims_table_t *table, const claim_entry_t *entry);
void claims_table_remove(claims_table_t *table, claim_entry_t *entry);

/*
 * claims_table_prune() removes entries of at least age_ms and returns their
 * number.
 */
size_t claims_table_prune(claims_table_t *table, uint64_t age_ms);

/*
 * claims_table_merge_ages() sets base_ms to now_ms. An entry that is also in
 * previous gets the greater of its age and its age in previous, the latter
 * advanced to now_ms.
 */
void claims_table_merge_ages(
    claims_table_t *table, const claims_table_t *previous, uint64_t now_ms);

/* claims_table_size() returns the bytes of the encoded table. */
size_t claims_table_size(const claims_table_t *table);
/* claims_table_entry_size() returns the bytes of an entry without response. */
size_t claims_table_entry_size(void);

/*
 * claims_table_shrink() removes the responses of the oldest settled entries
 * until the table has at most limit bytes, and returns their number.
 */
size_t claims_table_shrink(claims_table_t *table, size_t limit);

/*
 * claims_table_encode() returns the encoded table of *len bytes, which the
 * caller frees, or NULL if out of memory.
 */
uint8_t *claims_table_encode(const claims_table_t *table, size_t *len);

#endif
