/*
 * prefix_table.h - which engines probably hold which prompt prefixes: a
 * bounded, set-associative table that forgets the least recently used.
 */
#ifndef ALMONDTHREAD_CORE_PREFIX_TABLE_H
#define ALMONDTHREAD_CORE_PREFIX_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef struct at_prefix_table at_prefix_table_t;

at_prefix_table_t *at_prefix_table_new(void);
void at_prefix_table_delete(at_prefix_table_t *table);

/* at_prefix_table_add() notes that an engine saw a prefix. */
void at_prefix_table_add(
    at_prefix_table_t *table, uint64_t hash, uint32_t engine, uint64_t now_ms);

/* at_prefix_table_has() tells whether it probably still holds it. */
int at_prefix_table_has(const at_prefix_table_t *table, uint64_t hash,
    uint32_t engine, uint64_t now_ms);

/* at_prefix_table_drop() forgets all that an engine held. */
void at_prefix_table_drop(at_prefix_table_t *table, uint32_t engine);

#endif
