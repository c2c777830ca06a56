/*
 * The stored form of a shard: what is malformed is refused, and what is
 * written is read back.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "core/claims/claims_table.h"

#define ENTRIES 5

static uint8_t *
encoded(size_t *len)
{
	claims_table_t table;
	uint8_t *bytes;
	uint8_t i;

	memset(&table, 0, sizeof(table));
	for (i = 0; i < ENTRIES; i++) {
		const claim_entry_t entry = {.key = {{(uint8_t)(ENTRIES - i)}},
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

Test(claims_table, reads_back_what_it_wrote)
{
	claims_table_t table;
	size_t len;
	uint8_t *bytes = encoded(&len);
	size_t i;

	cr_assert_eq(claims_table_decode(&table, bytes, len), 0);
	cr_assert_eq(table.count, ENTRIES);
	for (i = 0; i < ENTRIES; i++) {
		cr_assert_eq(table.entries[i].key.bytes[0], i + 1);
		cr_assert_eq(table.entries[i].id, ENTRIES - 1 - i);
		cr_assert_eq(memcmp(table.entries[i].response, "yes", 3), 0);
	}
	cr_assert_eq(claims_table_shrink(&table, len - 4), 2);
	cr_assert_eq(claims_table_prune(&table, 0), ENTRIES);
	claims_table_free(&table);
	free(bytes);
}

/* One change to a good value. */
typedef struct damage_row {
	const char *name;
	size_t offset; /* of the byte that is changed */
	int cut;       /* bytes cut off the end */
} damage_row_t;

static const damage_row_t damages[] = {{"magic", 0, 0}, {"count", 4, 0},
    {"too many entries", 6, 0}, {"order of keys", 8, 0}, {"cut by one", 0, 1},
    {"cut by an entry", 0, 64}, {"header only", 0, 300}};

Test(claims_table, refuses_what_is_damaged)
{
	claims_table_t table;
	size_t i;

	for (i = 0; i < sizeof(damages) / sizeof(damages[0]); i++) {
		const damage_row_t *d = &damages[i];
		size_t len;
		uint8_t *bytes = encoded(&len);

		if (d->cut == 0)
			bytes[d->offset] ^= 0x7f;
		cr_assert_eq(
		    claims_table_decode(&table, bytes, len - (size_t)d->cut),
		    -1, "%s", d->name);
		free(bytes);
	}
}
