/*
 * prefix_table.h - the prompt prefixes that engines probably have cached.
 *
 * The table is set-associative and of fixed size. A new entry replaces the
 * least recently used one of its set. Prefixes are given by their hash, which
 * is not 0, and engines by their index in the router. Times are in
 * milliseconds of the monotonic clock.
 */
#ifndef ALMONDTHREAD_CORE_PREFIX_TABLE_H
#define ALMONDTHREAD_CORE_PREFIX_TABLE_H

#include <stddef.h>
#include <stdint.h>

typedef struct at_prefix_table at_prefix_table_t;

/* at_prefix_table_new() returns an empty table, or NULL if out of memory. */
at_prefix_table_t *at_prefix_table_new(void);
void at_prefix_table_delete(at_prefix_table_t *table);

/* at_prefix_table_add() records that an engine is sent a prefix. */
void at_prefix_table_add(
    at_prefix_table_t *table, uint64_t hash, uint32_t engine, uint64_t now_ms);

/*
 * at_prefix_table_has() returns non-zero if the engine probably still has it.
 */
int at_prefix_table_has(const at_prefix_table_t *table, uint64_t hash,
    uint32_t engine, uint64_t now_ms);

/* at_prefix_table_remove_engine() removes all prefixes of an engine. */
void at_prefix_table_remove_engine(at_prefix_table_t *table, uint32_t engine);

#endif
