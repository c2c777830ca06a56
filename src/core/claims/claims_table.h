/*
 * claims_table.h - the value of one shard object: entries sorted by key.
 *
 * A table owns its encoded bytes; the answers of its entries point into
 * them.
 */
#ifndef ALMONDTHREAD_CORE_CLAIMS_TABLE_H
#define ALMONDTHREAD_CORE_CLAIMS_TABLE_H

#include "almondthread/claims.h"

typedef struct claim_entry {
	at_claim_hash_t key;
	at_claim_hash_t digest;
	uint64_t id;       /* drawn by the claimant */
	uint64_t claimant; /* incarnation number */
	uint64_t age_ms;   /* proved, at the table's base time */
	uint16_t status;   /* 0: unsettled */
	uint16_t answer_len;
	int answer_kept;
	const uint8_t *answer;
} claim_entry_t;

typedef struct claims_table {
	uint8_t *bytes;
	size_t len;
	claim_entry_t *entries;
	size_t count;
	size_t size;      /* places in entries */
	uint64_t base_ms; /* own clock when the ages held */
} claims_table_t;

/*
 * claims_table_decode() reads a copy of value[0..len-1]; NULL and 0 give an
 * empty table. Returns 0, or -1 when the value is malformed.
 */
int claims_table_decode(claims_table_t *table, const void *value, size_t len);
void claims_table_free(claims_table_t *table);

/*
 * claims_table_copy() makes a table that borrows the answers of another, its
 * ages moved on to now_ms. Returns 0, or -1 without memory.
 */
int claims_table_copy(
    claims_table_t *table, const claims_table_t *from, uint64_t now_ms);

claim_entry_t *claims_table_find(
    const claims_table_t *table, const at_claim_hash_t *key);

/* claims_table_add() returns 0, or -1 without memory. */
int claims_table_add(claims_table_t *table, const claim_entry_t *entry);
void claims_table_remove(claims_table_t *table, claim_entry_t *entry);

/* claims_table_prune() drops entries of at least age_ms; returns how many. */
size_t claims_table_prune(claims_table_t *table, uint64_t age_ms);

/* claims_table_adopt_ages() keeps the greater age of entries in both. */
void claims_table_adopt_ages(
    claims_table_t *table, const claims_table_t *old, uint64_t now_ms);

/* claims_table_size() returns the bytes of the encoded table. */
size_t claims_table_size(const claims_table_t *table);
/* Bytes that one more entry without an answer takes. */
size_t claims_table_entry_size(void);

/*
 * claims_table_shrink() drops the answers of the oldest settled entries
 * until the table has at most limit bytes; returns how many were dropped.
 */
size_t claims_table_shrink(claims_table_t *table, size_t limit);

/* claims_table_encode() returns new bytes, or NULL without memory. */
uint8_t *claims_table_encode(const claims_table_t *table, size_t *len);

#endif
