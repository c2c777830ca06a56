#include "almondthread/delta.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define PIECE_END '}'
#define PARTS_MIN 16u

/* Where a piece of the base begins; len 0 marks a free slot. */
typedef struct slot {
	uint64_t hash;
	uint32_t offset;
	uint32_t len;
} slot_t;

/* A table of the base's pieces by hash, open addressing. */
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

/* Returns the slot that holds the same bytes, or NULL. */
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

/* Returns a new empty part at the end, or NULL. */
static at_delta_part_t *
add_part(at_delta_t *delta, size_t *room)
{
	at_delta_part_t *part;

	if (delta->count == *room) {
		size_t more = *room == 0 ? PARTS_MIN : *room * 2;
		at_delta_part_t *grown =
		    realloc(delta->parts, more * sizeof(*grown));

		if (grown == NULL)
			return NULL;
		delta->parts = grown;
		*room = more;
	}
	part = &delta->parts[delta->count++];
	memset(part, 0, sizeof(*part));
	return part;
}

/* Tells whether the base goes on with piece behind what part copies. */
static int
continues(const at_delta_part_t *part, const char *base, size_t base_len,
    const char *piece, size_t len)
{
	size_t end = (size_t)part->offset + part->length;

	return part->length > 0 && len <= base_len - end &&
	       memcmp(base + end, piece, len) == 0;
}

static int
compare(at_delta_t *delta, const index_t *index, const char *base,
    size_t base_len, const char *text, size_t text_len)
{
	size_t room = 0;
	size_t at = 0;
	at_delta_part_t *part = add_part(delta, &room);

	while (part != NULL && at < text_len) {
		size_t len = piece_len(text + at, text_len - at);
		const slot_t *slot;

		if (continues(part, base, base_len, text + at, len)) {
			part->length += (uint32_t)len;
			at += len;
			continue;
		}
		slot = index_find(index, base, text + at, len);
		if (part->length > 0)
			part = add_part(delta, &room);
		if (part == NULL)
			break;
		if (slot != NULL) {
			part->offset = slot->offset;
			part->length = slot->len;
		} else {
			if (part->literal == NULL)
				part->literal = text + at;
			part->literal_len += (uint32_t)len;
		}
		at += len;
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
	result = compare(delta, &index, base, base_len, text, text_len);
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

/* Appends one part at *at; -1 when it does not fit. */
static int
append(const at_delta_t *delta, const at_delta_part_t *part, const char *base,
    size_t base_len, char *text, size_t *at)
{
	size_t room = delta->result_len - *at;

	if (part->literal_len > room ||
	    part->length > room - part->literal_len ||
	    part->offset > base_len || part->length > base_len - part->offset)
		return -1;
	if (part->literal_len > 0)
		memcpy(text + *at, part->literal, part->literal_len);
	*at += part->literal_len;
	if (part->length > 0)
		memcpy(text + *at, base + part->offset, part->length);
	*at += part->length;
	return 0;
}

char *
at_delta_apply(
    const at_delta_t *delta, const char *base, size_t base_len, size_t *len)
{
	char *text = malloc((size_t)delta->result_len + 1);
	size_t at = 0;
	size_t i;

	for (i = 0; text != NULL && i < delta->count; i++) {
		if (append(delta, &delta->parts[i], base, base_len, text,
			&at) != 0)
			break;
	}
	if (text == NULL || i < delta->count || at != delta->result_len ||
	    XXH3_64bits(text, at) != delta->result_hash) {
		free(text);
		return NULL;
	}
	text[at] = '\0';
	*len = at;
	return text;
}
