#include "core/claims/claims_table.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 8u
#define ENTRY_BYTES (2 * AT_CLAIM_HASH_SIZE + 3 * 8u + 2u + 2u + 1u)
#define MAGIC_BYTES 4u
#define GROWTH 64u /* places added to a table */

static const uint8_t magic[MAGIC_BYTES] = {'A', 'T', 'C', '1'};

static void
put_number(uint8_t **at, uint64_t number, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		(*at)[i] = (uint8_t)(number >> (8 * i));
	*at += bytes;
}

static uint64_t
get_number(const uint8_t **at, size_t bytes)
{
	uint64_t number = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		number |= (uint64_t)(*at)[i] << (8 * i);
	*at += bytes;
	return number;
}

static int
compare(const at_claim_hash_t *a, const at_claim_hash_t *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

/* Returns the first place whose key is not below key. */
static size_t
lower_bound(const claims_table_t *table, const at_claim_hash_t *key)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (compare(&table->entries[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static int
reserve(claims_table_t *table, size_t size)
{
	claim_entry_t *grown;

	if (size <= table->size)
		return 0;
	grown = realloc(table->entries, size * sizeof(*grown));
	if (grown == NULL)
		return -1;
	table->entries = grown;
	table->size = size;
	return 0;
}

/* Reads one entry; returns -1 when the bytes end too soon. */
static int
decode_entry(claim_entry_t *entry, const uint8_t **at, const uint8_t *end)
{
	if ((size_t)(end - *at) < ENTRY_BYTES)
		return -1;
	memcpy(entry->key.bytes, *at, AT_CLAIM_HASH_SIZE);
	*at += AT_CLAIM_HASH_SIZE;
	memcpy(entry->digest.bytes, *at, AT_CLAIM_HASH_SIZE);
	*at += AT_CLAIM_HASH_SIZE;
	entry->id = get_number(at, 8);
	entry->claimant = get_number(at, 8);
	entry->age_ms = get_number(at, 8);
	entry->status = (uint16_t)get_number(at, 2);
	entry->answer_len = (uint16_t)get_number(at, 2);
	entry->answer_kept = (int)get_number(at, 1);
	if ((size_t)(end - *at) < entry->answer_len)
		return -1;
	entry->answer = *at;
	*at += entry->answer_len;
	return 0;
}

static int
decode_entries(claims_table_t *table)
{
	const uint8_t *at = table->bytes;
	const uint8_t *end = table->bytes + table->len;
	size_t count;
	size_t i;

	if (table->len < HEADER_BYTES || memcmp(at, magic, MAGIC_BYTES) != 0)
		return -1;
	at += MAGIC_BYTES;
	count = get_number(&at, 4);
	if (count > table->len / ENTRY_BYTES || reserve(table, count) != 0)
		return -1;
	for (i = 0; i < count; i++) {
		claim_entry_t *entry = &table->entries[i];

		if (decode_entry(entry, &at, end) != 0)
			return -1;
		if (i > 0 && compare(&entry[-1].key, &entry->key) >= 0)
			return -1;
	}
	table->count = count;
	return at == end ? 0 : -1;
}

int
claims_table_decode(claims_table_t *table, const void *value, size_t len)
{
	memset(table, 0, sizeof(*table));
	if (len == 0)
		return 0;
	table->bytes = malloc(len);
	if (table->bytes == NULL)
		return -1;
	memcpy(table->bytes, value, len);
	table->len = len;
	if (decode_entries(table) == 0)
		return 0;
	claims_table_free(table);
	return -1;
}

void
claims_table_free(claims_table_t *table)
{
	free(table->bytes);
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

int
claims_table_copy(
    claims_table_t *table, const claims_table_t *from, uint64_t now_ms)
{
	size_t i;

	memset(table, 0, sizeof(*table));
	if (reserve(table, from->count + 1) != 0)
		return -1;
	for (i = 0; i < from->count; i++) {
		table->entries[i] = from->entries[i];
		table->entries[i].age_ms += now_ms - from->base_ms;
	}
	table->count = from->count;
	table->base_ms = now_ms;
	return 0;
}

claim_entry_t *
claims_table_find(const claims_table_t *table, const at_claim_hash_t *key)
{
	size_t at = lower_bound(table, key);

	if (at == table->count || compare(&table->entries[at].key, key) != 0)
		return NULL;
	return &table->entries[at];
}

int
claims_table_add(claims_table_t *table, const claim_entry_t *entry)
{
	size_t at = lower_bound(table, &entry->key);

	if (table->count == table->size &&
	    reserve(table, table->size + GROWTH) != 0)
		return -1;
	memmove(&table->entries[at + 1], &table->entries[at],
	    (table->count - at) * sizeof(*entry));
	table->entries[at] = *entry;
	table->count++;
	return 0;
}

void
claims_table_remove(claims_table_t *table, claim_entry_t *entry)
{
	size_t at = (size_t)(entry - table->entries);

	table->count--;
	memmove(entry, entry + 1, (table->count - at) * sizeof(*entry));
}

size_t
claims_table_prune(claims_table_t *table, uint64_t age_ms)
{
	size_t kept = 0;
	size_t pruned;
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (table->entries[i].age_ms < age_ms)
			table->entries[kept++] = table->entries[i];
	}
	pruned = table->count - kept;
	table->count = kept;
	return pruned;
}

void
claims_table_adopt_ages(
    claims_table_t *table, const claims_table_t *old, uint64_t now_ms)
{
	uint64_t passed_ms = now_ms - old->base_ms;
	size_t o = 0;
	size_t i;

	table->base_ms = now_ms;
	for (i = 0; i < table->count; i++) {
		claim_entry_t *entry = &table->entries[i];
		const claim_entry_t *seen;

		while (o < old->count &&
		       compare(&old->entries[o].key, &entry->key) < 0)
			o++;
		if (o == old->count)
			return;
		seen = &old->entries[o];
		if (seen->id == entry->id &&
		    seen->age_ms + passed_ms > entry->age_ms)
			entry->age_ms = seen->age_ms + passed_ms;
	}
}

size_t
claims_table_entry_size(void)
{
	return ENTRY_BYTES;
}

size_t
claims_table_size(const claims_table_t *table)
{
	size_t size = HEADER_BYTES;
	size_t i;

	for (i = 0; i < table->count; i++)
		size += ENTRY_BYTES + table->entries[i].answer_len;
	return size;
}

/* Returns the oldest entry that holds an answer, or NULL. */
static claim_entry_t *
oldest_answer(claims_table_t *table)
{
	claim_entry_t *oldest = NULL;
	size_t i;

	for (i = 0; i < table->count; i++) {
		claim_entry_t *entry = &table->entries[i];

		if (entry->answer_len == 0)
			continue;
		if (oldest == NULL || entry->age_ms > oldest->age_ms)
			oldest = entry;
	}
	return oldest;
}

size_t
claims_table_shrink(claims_table_t *table, size_t limit)
{
	size_t size = claims_table_size(table);
	size_t dropped = 0;

	while (size > limit) {
		claim_entry_t *entry = oldest_answer(table);

		if (entry == NULL)
			break;
		size -= entry->answer_len;
		entry->answer_len = 0;
		entry->answer_kept = 0;
		dropped++;
	}
	return dropped;
}

static void
encode_entry(const claim_entry_t *entry, uint8_t **at)
{
	memcpy(*at, entry->key.bytes, AT_CLAIM_HASH_SIZE);
	*at += AT_CLAIM_HASH_SIZE;
	memcpy(*at, entry->digest.bytes, AT_CLAIM_HASH_SIZE);
	*at += AT_CLAIM_HASH_SIZE;
	put_number(at, entry->id, 8);
	put_number(at, entry->claimant, 8);
	put_number(at, entry->age_ms, 8);
	put_number(at, entry->status, 2);
	put_number(at, entry->answer_len, 2);
	put_number(at, (uint64_t)entry->answer_kept, 1);
	if (entry->answer_len > 0)
		memcpy(*at, entry->answer, entry->answer_len);
	*at += entry->answer_len;
}

uint8_t *
claims_table_encode(const claims_table_t *table, size_t *len)
{
	uint8_t *bytes;
	uint8_t *at;
	size_t i;

	*len = claims_table_size(table);
	bytes = malloc(*len);
	if (bytes == NULL)
		return NULL;
	at = bytes;
	memcpy(at, magic, MAGIC_BYTES);
	at += MAGIC_BYTES;
	put_number(&at, table->count, 4);
	for (i = 0; i < table->count; i++)
		encode_entry(&table->entries[i], &at);
	return bytes;
}
