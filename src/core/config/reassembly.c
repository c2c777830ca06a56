#include "almondthread/reassembly.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

struct at_reassembly {
	uint64_t document; /* 0: none */
	uint64_t version;
	uint64_t base;
	uint64_t taken; /* the last that was complete */
	uint32_t total;
	uint32_t missing;     /* parts */
	unsigned char *parts; /* 1 for each that is there */
	uint8_t *data;
	uint64_t progress_ms;
};

at_reassembly_t *
at_reassembly_new(void)
{
	return calloc(1, sizeof(at_reassembly_t));
}

static void
reset(at_reassembly_t *reassembly)
{
	free(reassembly->parts);
	free(reassembly->data);
	reassembly->parts = NULL;
	reassembly->data = NULL;
	reassembly->document = 0;
	reassembly->version = 0;
}

void
at_reassembly_delete(at_reassembly_t *reassembly)
{
	if (reassembly == NULL)
		return;
	reset(reassembly);
	free(reassembly);
}

uint64_t
at_document_hash(const uint8_t *data, size_t len)
{
	uint64_t hash = XXH3_64bits(data, len);

	return hash == 0 ? 1 : hash;
}

static uint32_t
count_parts(uint32_t total)
{
	return (total + AT_PART_BYTES - 1) / AT_PART_BYTES;
}

static int
is_valid(const at_part_t *part)
{
	size_t expected;

	if (part->document == 0 || part->total == 0 ||
	    part->total > AT_DOCUMENT_MAX_BYTES ||
	    part->offset % AT_PART_BYTES != 0 || part->offset >= part->total)
		return 0;
	expected = part->total - part->offset;
	if (expected > AT_PART_BYTES)
		expected = AT_PART_BYTES;
	return part->len == expected;
}

/* Returns non-zero if the part's document takes the place of another one. */
static int
takes_over(
    const at_reassembly_t *reassembly, const at_part_t *part, uint64_t now_ms)
{
	if (reassembly->document == 0 || part->version > reassembly->version)
		return 1;
	return part->version == reassembly->version &&
	       now_ms >= reassembly->progress_ms + AT_REASSEMBLY_STALL_MS;
}

/* Returns -1 if out of memory. */
static int
begin(at_reassembly_t *reassembly, const at_part_t *part)
{
	reset(reassembly);
	reassembly->parts = calloc(count_parts(part->total), 1);
	reassembly->data = malloc(part->total);
	if (reassembly->parts == NULL || reassembly->data == NULL) {
		reset(reassembly);
		return -1;
	}
	reassembly->document = part->document;
	reassembly->version = part->version;
	reassembly->base = part->base;
	reassembly->total = part->total;
	reassembly->missing = count_parts(part->total);
	return 0;
}

at_part_result_t
at_reassembly_add(
    at_reassembly_t *reassembly, const at_part_t *part, uint64_t now_ms)
{
	unsigned char *is_there;

	if (!is_valid(part))
		return AT_PART_INVALID;
	if (part->document == reassembly->taken)
		return AT_PART_KNOWN;
	if (part->document != reassembly->document) {
		if (!takes_over(reassembly, part, now_ms))
			return AT_PART_IGNORED;
		if (begin(reassembly, part) != 0)
			return AT_PART_IGNORED;
	}
	if (part->total != reassembly->total)
		return AT_PART_INVALID;
	is_there = &reassembly->parts[part->offset / AT_PART_BYTES];
	if (*is_there)
		return AT_PART_KNOWN;
	*is_there = 1;
	memcpy(reassembly->data + part->offset, part->data, part->len);
	reassembly->progress_ms = now_ms;
	if (--reassembly->missing > 0)
		return AT_PART_TAKEN;
	if (at_document_hash(reassembly->data, reassembly->total) ==
	    reassembly->document)
		return AT_PART_COMPLETE;
	reset(reassembly);
	return AT_PART_INVALID;
}

uint8_t *
at_reassembly_take(
    at_reassembly_t *reassembly, size_t *len, uint64_t *version, uint64_t *base)
{
	uint8_t *data = reassembly->data;

	*len = reassembly->total;
	*version = reassembly->version;
	*base = reassembly->base;
	reassembly->taken = reassembly->document;
	reassembly->data = NULL;
	reset(reassembly);
	return data;
}

uint64_t
at_reassembly_missing(const at_reassembly_t *reassembly,
    uint32_t offsets[AT_REASSEMBLY_MISSING_MAX], size_t *count)
{
	uint32_t i;

	*count = 0;
	if (reassembly->document == 0)
		return 0;
	for (i = 0; i < count_parts(reassembly->total) &&
		    *count < AT_REASSEMBLY_MISSING_MAX;
	     i++) {
		if (!reassembly->parts[i])
			offsets[(*count)++] = i * AT_PART_BYTES;
	}
	return reassembly->document;
}

uint64_t
at_reassembly_version(const at_reassembly_t *reassembly)
{
	return reassembly->version;
}
