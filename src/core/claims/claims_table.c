#include "core/claims/claims_table.h"

#include <stdlib.h>
#include <string.h>

#define HEADER_BYTES 8u
#define ENTRY_BYTES (2 * AT_CLAIM_HASH_SIZE + 3 * 8u + 2u + 2u + 1u)
#define MAGIC_BYTES 4u
#define GROWTH_ENTRIES 64u /* growth of a full table */

static const uint8_t magic[MAGIC_BYTES] = {'A', 'T', 'C', '1'};

static void
put_number(uint8_t **pos, uint64_t number, size_t bytes)
{
	size_t i;

	for (i = 0; i < bytes; i++)
		(*pos)[i] = (uint8_t)(number >> (8 * i));
	*pos += bytes;
}

static uint64_t
get_number(const uint8_t **pos, size_t bytes)
{
	uint64_t number = 0;
	size_t i;

	for (i = 0; i < bytes; i++)
		number |= (uint64_t)(*pos)[i] << (8 * i);
	*pos += bytes;
	return number;
}

static int
compare_keys(const at_claim_hash_t *a, const at_claim_hash_t *b)
{
	return memcmp(a->bytes, b->bytes, sizeof(a->bytes));
}

/* Returns the index of the first entry whose key is not below key. */
static size_t
lower_bound(const claims_table_t *table, const at_claim_hash_t *key)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (compare_keys(&table->entries[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static int
reserve(claims_table_t *table, size_t capacity)
{
	claim_entry_t *entries;

	if (capacity <= table->capacity)
		return 0;
	entries = realloc(table->entries, capacity * sizeof(*entries));
	if (entries == NULL)
		return -1;
	table->entries = entries;
	table->capacity = capacity;
	return 0;
}

/* Decodes one entry; returns -1 when the value is truncated. */
static int
decode_entry(claim_entry_t *entry, const uint8_t **pos, const uint8_t *end)
{
	if ((size_t)(end - *pos) < ENTRY_BYTES)
		return -1;
	memcpy(entry->key.bytes, *pos, AT_CLAIM_HASH_SIZE);
	*pos += AT_CLAIM_HASH_SIZE;
	memcpy(entry->digest.bytes, *pos, AT_CLAIM_HASH_SIZE);
	*pos += AT_CLAIM_HASH_SIZE;
	entry->id = get_number(pos, 8);
	entry->claimant = get_number(pos, 8);
	entry->age_ms = get_number(pos, 8);
	entry->status = (uint16_t)get_number(pos, 2);
	entry->response_len = (uint16_t)get_number(pos, 2);
	entry->response_stored = (int)get_number(pos, 1);
	if ((size_t)(end - *pos) < entry->response_len)
		return -1;
	entry->response = *pos;
	*pos += entry->response_len;
	return 0;
}

static int
decode_entries(claims_table_t *table)
{
	const uint8_t *pos = table->bytes;
	const uint8_t *end = table->bytes + table->len;
	size_t count;
	size_t i;

	if (table->len < HEADER_BYTES || memcmp(pos, magic, MAGIC_BYTES) != 0)
		return -1;
	pos += MAGIC_BYTES;
	count = get_number(&pos, 4);
	if (count > table->len / ENTRY_BYTES || reserve(table, count) != 0)
		return -1;
	for (i = 0; i < count; i++) {
		claim_entry_t *entry = &table->entries[i];

		if (decode_entry(entry, &pos, end) != 0)
			return -1;
		if (i > 0 && compare_keys(&entry[-1].key, &entry->key) >= 0)
			return -1;
	}
	table->count = count;
	return pos == end ? 0 : -1;
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
	size_t pos = lower_bound(table, key);

	if (pos == table->count ||
	    compare_keys(&table->entries[pos].key, key) != 0)
		return NULL;
	return &table->entries[pos];
}

int
claims_table_add(claims_table_t *table, const claim_entry_t *entry)
{
	size_t pos = lower_bound(table, &entry->key);

	if (table->count == table->capacity &&
	    reserve(table, table->capacity + GROWTH_ENTRIES) != 0)
		return -1;
	memmove(&table->entries[pos + 1], &table->entries[pos],
	    (table->count - pos) * sizeof(*entry));
	table->entries[pos] = *entry;
	table->count++;
	return 0;
}

void
claims_table_remove(claims_table_t *table, claim_entry_t *entry)
{
	size_t pos = (size_t)(entry - table->entries);

	table->count--;
	memmove(entry, entry + 1, (table->count - pos) * sizeof(*entry));
}

size_t
claims_table_prune(claims_table_t *table, uint64_t age_ms)
{
	size_t count = 0;
	size_t pruned;
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (table->entries[i].age_ms < age_ms)
			table->entries[count++] = table->entries[i];
	}
	pruned = table->count - count;
	table->count = count;
	return pruned;
}

void
claims_table_merge_ages(
    claims_table_t *table, const claims_table_t *previous, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - previous->base_ms;
	size_t o = 0;
	size_t i;

	table->base_ms = now_ms;
	for (i = 0; i < table->count; i++) {
		claim_entry_t *entry = &table->entries[i];
		const claim_entry_t *known;

		while (o < previous->count &&
		       compare_keys(&previous->entries[o].key, &entry->key) < 0)
			o++;
		if (o == previous->count)
			return;
		known = &previous->entries[o];
		if (known->id == entry->id &&
		    known->age_ms + elapsed_ms > entry->age_ms)
			entry->age_ms = known->age_ms + elapsed_ms;
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
		size += ENTRY_BYTES + table->entries[i].response_len;
	return size;
}

/* Returns the oldest entry with a stored response, or NULL. */
static claim_entry_t *
find_oldest_response(claims_table_t *table)
{
	claim_entry_t *oldest = NULL;
	size_t i;

	for (i = 0; i < table->count; i++) {
		claim_entry_t *entry = &table->entries[i];

		if (entry->response_len == 0)
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
		claim_entry_t *entry = find_oldest_response(table);

		if (entry == NULL)
			break;
		size -= entry->response_len;
		entry->response_len = 0;
		entry->response_stored = 0;
		dropped++;
	}
	return dropped;
}

static void
encode_entry(const claim_entry_t *entry, uint8_t **pos)
{
	memcpy(*pos, entry->key.bytes, AT_CLAIM_HASH_SIZE);
	*pos += AT_CLAIM_HASH_SIZE;
	memcpy(*pos, entry->digest.bytes, AT_CLAIM_HASH_SIZE);
	*pos += AT_CLAIM_HASH_SIZE;
	put_number(pos, entry->id, 8);
	put_number(pos, entry->claimant, 8);
	put_number(pos, entry->age_ms, 8);
	put_number(pos, entry->status, 2);
	put_number(pos, entry->response_len, 2);
	put_number(pos, (uint64_t)entry->response_stored, 1);
	if (entry->response_len > 0)
		memcpy(*pos, entry->response, entry->response_len);
	*pos += entry->response_len;
}

uint8_t *
claims_table_encode(const claims_table_t *table, size_t *len)
{
	uint8_t *bytes;
	uint8_t *pos;
	size_t i;

	*len = claims_table_size(table);
	bytes = malloc(*len);
	if (bytes == NULL)
		return NULL;
	pos = bytes;
	memcpy(pos, magic, MAGIC_BYTES);
	pos += MAGIC_BYTES;
	put_number(&pos, table->count, 4);
	for (i = 0; i < table->count; i++)
		encode_entry(&table->entries[i], &pos);
	return bytes;
}
