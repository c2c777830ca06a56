/*
 * name_index.h - hash index of an array's entries by name. Each entry begins
 * with its at_name_t. The array must not move while the index is in use.
 */
#ifndef ALMONDTHREAD_NAME_INDEX_H
#define ALMONDTHREAD_NAME_INDEX_H

#include <stddef.h>
#include <stdint.h>

typedef struct at_name_index {
	uint32_t *slots; /* position + 1, 0: free; NULL: not built */
	size_t mask;
} at_name_index_t;

/*
 * at_name_index_build() indexes count entries of size bytes. *duplicate is the
 * first name that occurs twice, or NULL. Returns 0, or -1 if out of memory. The
 * index is freed by at_name_index_clear().
 */
int at_name_index_build(at_name_index_t *index, const void *array, size_t count,
    size_t size, const char **duplicate);
void at_name_index_clear(at_name_index_t *index);

/*
 * at_name_index_find() returns the entry with a name, or NULL. An array
 * without an index is searched sequentially.
 */
const void *at_name_index_find(const at_name_index_t *index, const void *array,
    size_t count, size_t size, const char *name);

#endif
