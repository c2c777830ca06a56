/*
 * Documents from parts: lost, repeated, out of order, of two versions, spoiled.
 */
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/reassembly.h"

#define DOCUMENTS 4u
#define PARTS 4u
#define LAST_BYTES 100u
#define TOTAL (AT_PART_BYTES * (PARTS - 1u) + LAST_BYTES)
#define NOW_MS 1000u

static uint8_t documents[DOCUMENTS][TOTAL];
/* The last two have the same version. */
static const uint64_t versions[DOCUMENTS] = {5, 6, 7, 7};

static at_part_t
make_part(size_t document, uint32_t index)
{
	at_part_t part = {.version = versions[document],
	    .base = 3,
	    .total = TOTAL,
	    .offset = index * AT_PART_BYTES,
	    .data = documents[document] + (size_t)index * AT_PART_BYTES,
	    .len = index + 1 < PARTS ? AT_PART_BYTES : LAST_BYTES};
	size_t i;

	for (i = 0; i < TOTAL; i++)
		documents[document][i] =
		    (uint8_t)(i * 7u + i / 251u + document);
	part.document = at_document_hash(documents[document], TOTAL);
	return part;
}

/* Parts as "DOCUMENT INDEX"; "x" spoils a byte, "+" lets time go by. */
static const struct {
	const char *name;
	const char *parts;
	const char *results; /* t, C, k, i, ! as in at_part_result_t */
	int complete;        /* the document that is there at the end, or -1 */
} cases[] = {
    {"in order", "00 01 02 03", "tttC", 0},
    {"out of order", "03 01 00 02", "tttC", 0},
    {"repeated", "00 00 01 01 02 03 03", "tktktCk", 0},
    {"one lost", "00 01 03", "ttt", -1},
    {"one lost, sent again", "00 01 03 02", "tttC", 0},
    {"a newer version in between", "00 01 10 11 02 12 13 03", "ttttitCt", 1},
    {"an older version after it", "10 00 11 01 12 13", "tititC", 1},
    {"another of that version", "20 30 21 22 23", "tittC", 2},
    {"another, after no progress", "20 + 30 31 32 33", "ttttC", 3},
    {"spoiled", "00 x01 02 03 00 01 02 03", "ttt!tttC", 0},
};

static const char letters[] = "tCki!";

static void
run_case(size_t i)
{
	at_reassembly_t *reassembly = at_reassembly_new();
	const char *at = cases[i].parts;
	const char *expected = cases[i].results;
	uint64_t now_ms = NOW_MS;
	int complete = -1;

	for (; *at != '\0'; at++) {
		uint8_t spoiled[AT_PART_BYTES];
		at_part_result_t result;
		at_part_t part;
		int is_spoiled = *at == 'x';

		if (*at == ' ')
			continue;
		if (*at == '+') {
			now_ms += AT_REASSEMBLY_STALL_MS;
			continue;
		}
		at += is_spoiled;
		part =
		    make_part((size_t)(at[0] - '0'), (uint32_t)(at[1] - '0'));
		memcpy(spoiled, part.data, part.len);
		spoiled[part.len / 2] ^= 1;
		if (is_spoiled)
			part.data = spoiled;
		result = at_reassembly_add(reassembly, &part, now_ms);
		cr_expect_eq(letters[result], *expected,
		    "%s: '%c' in place of '%c' at \"%s\"", cases[i].name,
		    letters[result], *expected, at);
		expected++;
		if (result == AT_PART_COMPLETE) {
			size_t len;
			uint64_t version;
			uint64_t base;
			uint8_t *data = at_reassembly_take(
			    reassembly, &len, &version, &base);

			complete = at[0] - '0';
			cr_expect_eq(len, TOTAL);
			cr_expect_eq(version, versions[complete]);
			cr_expect_eq(base, 3);
			cr_expect_eq(
			    memcmp(data, documents[complete], TOTAL), 0);
			free(data);
		}
		at++;
	}
	cr_expect_eq(*expected, '\0', "%s", cases[i].name);
	cr_expect_eq(complete, cases[i].complete, "%s", cases[i].name);
	at_reassembly_delete(reassembly);
}

Test(reassembly, uses_a_document_only_as_a_whole)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}

Test(reassembly, states_which_parts_it_lacks)
{
	at_reassembly_t *reassembly = at_reassembly_new();
	uint32_t offsets[AT_REASSEMBLY_MISSING_MAX];
	at_part_t part = make_part(0, 1);
	size_t count;

	cr_assert_eq(at_reassembly_missing(reassembly, offsets, &count), 0);
	(void)at_reassembly_add(reassembly, &part, NOW_MS);
	cr_assert_eq(
	    at_reassembly_missing(reassembly, offsets, &count), part.document);
	cr_assert_eq(count, PARTS - 1u);
	cr_assert_eq(offsets[0], 0);
	cr_assert_eq(offsets[1], 2u * AT_PART_BYTES);
	cr_assert_eq(at_reassembly_version(reassembly), 5);
	at_reassembly_delete(reassembly);
}

/* What a part may state that no sender would. */
Test(reassembly, refuses_what_is_out_of_range)
{
	at_reassembly_t *reassembly = at_reassembly_new();
	at_part_t odd[8];
	size_t i;

	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		odd[i] = make_part(0, 3);
	odd[0].document = 0;
	odd[1].total = 0;
	odd[2].total = AT_DOCUMENT_MAX_BYTES + 1u;
	odd[3].offset = AT_PART_BYTES / 2u;
	odd[4].offset = PARTS * AT_PART_BYTES;
	odd[5].len = LAST_BYTES - 1u;
	odd[6].len = 0;
	odd[7].offset = UINT32_MAX - AT_PART_BYTES + 1u;
	for (i = 0; i < sizeof(odd) / sizeof(odd[0]); i++)
		cr_expect_eq(at_reassembly_add(reassembly, &odd[i], NOW_MS),
		    AT_PART_INVALID, "row %zu", i);
	odd[0] = make_part(0, 3);
	cr_assert_eq(
	    at_reassembly_add(reassembly, &odd[0], NOW_MS), AT_PART_TAKEN);
	odd[0] = make_part(0, 1);
	odd[0].total = TOTAL + AT_PART_BYTES;
	cr_assert_eq(
	    at_reassembly_add(reassembly, &odd[0], NOW_MS), AT_PART_INVALID);
	at_reassembly_delete(reassembly);
}
