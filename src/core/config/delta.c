#include "almondthread/delta.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define PIECE_END '}'
#define PARTS_INITIAL 16u /* parts allocated at first */

/* Hash, offset and length of a piece of the base; len 0 marks a free slot. */
typedef struct slot {
	uint64_t hash;
	uint32_t offset;
	uint32_t len;
} slot_t;

/* Hash table of the base's pieces, with open addressing. */
typedef struct index {
	slot_t *slots;
	size_t mask;
} index_t;

static size_t
piece_len(const char *text, size_t len)
{
	const char *end = memchr(text, PIECE_END, len);

	return end == NULL ? len : (size_t)(end - text) + 1;
}

static size_t
count_pieces(const char *text, size_t len)
{
	size_t count = 0;

	while (len > 0) {
		size_t piece = piece_len(text, len);

		text += piece;
		len -= piece;
		count++;
	}
	return count;
}

static void
index_add(index_t *index, const char *base, size_t offset, size_t len)
{
	uint64_t hash = XXH3_64bits(base + offset, len);
	size_t i = hash & index->mask;

	while (index->slots[i].len != 0) {
		if (index->slots[i].hash == hash)
			return;
		i = (i + 1) & index->mask;
	}
	index->slots[i].hash = hash;
	index->slots[i].offset = (uint32_t)offset;
	index->slots[i].len = (uint32_t)len;
}

static int
index_build(index_t *index, const char *base, size_t base_len)
{
	size_t size = 2;
	size_t offset = 0;

	while (size < 2 * count_pieces(base, base_len))
		size *= 2;
	index->slots = calloc(size, sizeof(*index->slots));
	index->mask = size - 1;
	if (index->slots == NULL)
		return -1;
	while (offset < base_len) {
		size_t len = piece_len(base + offset, base_len - offset);

		index_add(index, base, offset, len);
		offset += len;
	}
	return 0;
}

/* Returns the slot of a piece with the same bytes, or NULL. */
static const slot_t *
index_find(
    const index_t *index, const char *base, const char *piece, size_t len)
{
	uint64_t hash = XXH3_64bits(piece, len);
	size_t i = hash & index->mask;
	const slot_t *slot;

	for (; index->slots[i].len != 0; i = (i + 1) & index->mask) {
		slot = &index->slots[i];
		if (slot->hash == hash && slot->len == len &&
		    memcmp(base + slot->offset, piece, len) == 0)
			return slot;
	}
	return NULL;
}

/* Appends an empty part and returns it, or NULL if out of memory. */
static at_delta_part_t *
add_part(at_delta_t *delta, size_t *capacity)
{
	at_delta_part_t *part;

	if (delta->count == *capacity) {
		size_t new_capacity =
		    *capacity == 0 ? PARTS_INITIAL : *capacity * 2;
		at_delta_part_t *parts =
		    realloc(delta->parts, new_capacity * sizeof(*parts));

		if (parts == NULL)
			return NULL;
		delta->parts = parts;
		*capacity = new_capacity;
	}
	part = &delta->parts[delta->count++];
	memset(part, 0, sizeof(*part));
	return part;
}

/* Returns whether piece follows the range that part copies from the base. */
static int
follows(const at_delta_part_t *part, const char *base, size_t base_len,
    const char *piece, size_t len)
{
	size_t end = (size_t)part->offset + part->length;

	return part->length > 0 && len <= base_len - end &&
	       memcmp(base + end, piece, len) == 0;
}

static int
build_parts(at_delta_t *delta, const index_t *index, const char *base,
    size_t base_len, const char *text, size_t text_len)
{
	size_t capacity = 0;
	size_t used = 0;
	at_delta_part_t *part = add_part(delta, &capacity);

	while (part != NULL && used < text_len) {
		size_t len = piece_len(text + used, text_len - used);
		const slot_t *slot;

		if (follows(part, base, base_len, text + used, len)) {
			part->length += (uint32_t)len;
			used += len;
			continue;
		}
		slot = index_find(index, base, text + used, len);
		if (part->length > 0)
			part = add_part(delta, &capacity);
		if (part == NULL)
			break;
		if (slot != NULL) {
			part->offset = slot->offset;
			part->length = slot->len;
		} else {
			if (part->literal == NULL)
				part->literal = text + used;
			part->literal_len += (uint32_t)len;
		}
		used += len;
	}
	return part == NULL ? -1 : 0;
}

int
at_delta_make(at_delta_t *delta, const char *base, size_t base_len,
    const char *text, size_t text_len)
{
	index_t index;
	int result;

	memset(delta, 0, sizeof(*delta));
	if (base_len > UINT32_MAX || text_len > UINT32_MAX)
		return -1;
	delta->result_hash = XXH3_64bits(text, text_len);
	delta->result_len = (uint32_t)text_len;
	if (index_build(&index, base, base_len) != 0)
		return -1;
	result = build_parts(delta, &index, base, base_len, text, text_len);
	free(index.slots);
	if (result != 0)
		at_delta_clear(delta);
	return result;
}

void
at_delta_clear(at_delta_t *delta)
{
	free(delta->parts);
	memset(delta, 0, sizeof(*delta));
}

/*
 * Appends one part to text at *used. Returns 0, or -1 when the part is outside
 * the base or the result.
 */
static int
append_part(const at_delta_t *delta, const at_delta_part_t *part,
    const char *base, size_t base_len, char *text, size_t *used)
{
	size_t available = delta->result_len - *used;

	if (part->literal_len > available ||
	    part->length > available - part->literal_len ||
	    part->offset > base_len || part->length > base_len - part->offset)
		return -1;
	if (part->literal_len > 0)
		memcpy(text + *used, part->literal, part->literal_len);
	*used += part->literal_len;
	if (part->length > 0)
		memcpy(text + *used, base + part->offset, part->length);
	*used += part->length;
	return 0;
}

char *
at_delta_apply(
    const at_delta_t *delta, const char *base, size_t base_len, size_t *len)
{
	char *text = malloc((size_t)delta->result_len + 1);
	size_t used = 0;
	size_t i;

	for (i = 0; text != NULL && i < delta->count; i++) {
		if (append_part(delta, &delta->parts[i], base, base_len, text,
			&used) != 0)
			break;
	}
	if (text == NULL || i < delta->count || used != delta->result_len ||
	    XXH3_64bits(text, used) != delta->result_hash) {
		free(text);
		return NULL;
	}
	text[used] = '\0';
	*len = used;
	return text;
}
