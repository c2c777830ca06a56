#include "core/routing/prefix_table.h"

#include <stdlib.h>

#define SETS 8192u                        /* number of sets, a power of two */
#define WAYS 4u                           /* entries in one set */
#define PREFIX_LIFETIME_MS (10u * 60000u) /* assumed lifetime in a cache */

typedef struct entry {
	uint64_t hash; /* 0: empty */
	uint64_t used_at_ms;
	uint32_t engine;
} entry_t;

struct at_prefix_table {
	entry_t entries[SETS][WAYS];
};

at_prefix_table_t *
at_prefix_table_new(void)
{
	return calloc(1, sizeof(at_prefix_table_t));
}

void
at_prefix_table_delete(at_prefix_table_t *table)
{
	free(table);
}

void
at_prefix_table_add(
    at_prefix_table_t *table, uint64_t hash, uint32_t engine, uint64_t now_ms)
{
	entry_t *set = table->entries[hash & (SETS - 1)];
	entry_t *oldest = &set[0];
	size_t i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].hash == hash && set[i].engine == engine) {
			set[i].used_at_ms = now_ms;
			return;
		}
		if (set[i].hash == 0 ||
		    (oldest->hash != 0 &&
			set[i].used_at_ms < oldest->used_at_ms))
			oldest = &set[i];
	}
	oldest->hash = hash;
	oldest->engine = engine;
	oldest->used_at_ms = now_ms;
}

int
at_prefix_table_has(const at_prefix_table_t *table, uint64_t hash,
    uint32_t engine, uint64_t now_ms)
{
	const entry_t *set = table->entries[hash & (SETS - 1)];
	size_t i;

	for (i = 0; i < WAYS; i++) {
		if (set[i].hash == hash && set[i].engine == engine)
			return now_ms - set[i].used_at_ms <= PREFIX_LIFETIME_MS;
	}
	return 0;
}

void
at_prefix_table_remove_engine(at_prefix_table_t *table, uint32_t engine)
{
	size_t set;
	size_t i;

	for (set = 0; set < SETS; set++) {
		for (i = 0; i < WAYS; i++) {
			if (table->entries[set][i].engine == engine)
				table->entries[set][i].hash = 0;
		}
	}
}
