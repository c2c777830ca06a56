#include "almondthread/name_index.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

static const char *
name_at(const void *array, size_t size, size_t position)
{
	return (const char *)array + position * size;
}

/* Returns the slot of a name, or the free slot where it would be added. */
static size_t
find_slot(const at_name_index_t *index, const void *array, size_t size,
    const char *name)
{
	size_t i = XXH3_64bits(name, strlen(name)) & index->mask;

	while (index->slots[i] != 0 &&
	       strcmp(name_at(array, size, index->slots[i] - 1), name) != 0)
		i = (i + 1) & index->mask;
	return i;
}

int
at_name_index_build(at_name_index_t *index, const void *array, size_t count,
    size_t size, const char **duplicate)
{
	size_t slots = 2;
	size_t position;

	*duplicate = NULL;
	while (slots < 2 * count)
		slots *= 2;
	index->mask = slots - 1;
	index->slots = calloc(slots, sizeof(*index->slots));
	if (index->slots == NULL)
		return -1;
	for (position = 0; position < count; position++) {
		const char *name = name_at(array, size, position);
		size_t i = find_slot(index, array, size, name);

		if (index->slots[i] == 0)
			index->slots[i] = (uint32_t)position + 1;
		else if (*duplicate == NULL)
			*duplicate = name;
	}
	return 0;
}

void
at_name_index_clear(at_name_index_t *index)
{
	free(index->slots);
	memset(index, 0, sizeof(*index));
}

const void *
at_name_index_find(const at_name_index_t *index, const void *array,
    size_t count, size_t size, const char *name)
{
	size_t i;

	if (index->slots != NULL) {
		i = find_slot(index, array, size, name);
		return index->slots[i] == 0
			   ? NULL
			   : name_at(array, size, index->slots[i] - 1);
	}
	for (i = 0; i < count; i++) {
		if (strcmp(name_at(array, size, i), name) == 0)
			return name_at(array, size, i);
	}
	return NULL;
}
