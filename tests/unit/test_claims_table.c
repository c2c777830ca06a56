/*
 * Encoding of a shard object: encoded tables decode to the same entries, and
 * malformed values are rejected.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "core/claims/claims_table.h"

#define ENTRY_COUNT 5

static uint8_t *
encode_table(size_t *len)
{
	claims_table_t table;
	uint8_t *bytes;
	uint8_t i;

	memset(&table, 0, sizeof(table));
	for (i = 0; i < ENTRY_COUNT; i++) {
		const claim_entry_t entry = {
		    .key = {{(uint8_t)(ENTRY_COUNT - i)}},
		    .id = i,
		    .status = 200,
		    .response_len = 3,
		    .response_stored = 1,
		    .response = (const uint8_t *)"yes"};

		cr_assert_eq(claims_table_add(&table, &entry), 0);
	}
	bytes = claims_table_encode(&table, len);
	cr_assert_eq(*len, claims_table_size(&table));
	claims_table_free(&table);
	return bytes;
}

Test(claims_table, decodes_what_it_encoded)
{
	claims_table_t table;
	size_t len;
	uint8_t *bytes = encode_table(&len);
	size_t i;

	cr_assert_eq(claims_table_decode(&table, bytes, len), 0);
	cr_assert_eq(table.count, ENTRY_COUNT);
	for (i = 0; i < ENTRY_COUNT; i++) {
		cr_assert_eq(table.entries[i].key.bytes[0], i + 1);
		cr_assert_eq(table.entries[i].id, ENTRY_COUNT - 1 - i);
		cr_assert_eq(memcmp(table.entries[i].response, "yes", 3), 0);
	}
	cr_assert_eq(claims_table_shrink(&table, len - 4), 2);
	cr_assert_eq(claims_table_prune(&table, 0), ENTRY_COUNT);
	claims_table_free(&table);
	free(bytes);
}

/* One change to a valid value. */
typedef struct corruption_row {
	const char *name;
	size_t offset;       /* of the byte that is changed */
	int truncated_bytes; /* bytes removed from the end */
} corruption_row_t;

static const corruption_row_t corruptions[] = {{"magic", 0, 0}, {"count", 4, 0},
    {"too many entries", 6, 0}, {"order of keys", 8, 0},
    {"truncated by a byte", 0, 1}, {"truncated by an entry", 0, 64},
    {"header only", 0, 300}};

Test(claims_table, rejects_malformed_values)
{
	claims_table_t table;
	size_t i;

	for (i = 0; i < sizeof(corruptions) / sizeof(corruptions[0]); i++) {
		const corruption_row_t *row = &corruptions[i];
		size_t len;
		uint8_t *bytes = encode_table(&len);

		if (row->truncated_bytes == 0)
			bytes[row->offset] ^= 0x7f;
		cr_assert_eq(claims_table_decode(&table, bytes,
				 len - (size_t)row->truncated_bytes),
		    -1, "%s", row->name);
		free(bytes);
	}
}
