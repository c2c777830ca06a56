/*
 * placement_round.h - the working state of one round of the planner.
 */
#ifndef ALMONDTHREAD_CORE_PLACEMENT_ROUND_H
#define ALMONDTHREAD_CORE_PLACEMENT_ROUND_H

#include "core/placement/placement_internal.h"

#define EVICTION_LIST_MAX AT_RESIDENTS_MAX

/* Why another replica is wanted, least urgent first. */
typedef enum urgency {
	URGENCY_DEMAND,
	URGENCY_FEW,
	URGENCY_OLD,
	URGENCY_NOWHERE,
	URGENCY_REQUIRED /* nowhere, and this data centre must hold it */
} urgency_t;

typedef struct want {
	size_t item;
	urgency_t urgency;
	int is_adapter;
	double demand;
	uint64_t memory_mb;
} want_t;

/* A resident that may give way. item and place are NULL for a stranger. */
typedef struct eviction {
	size_t engine;
	size_t resident;
	item_t *item;
	place_t *place;
	uint64_t memory_mb;
	double worth; /* tokens per second that it serves */
} eviction_t;

typedef struct round {
	at_placement_t *placement;
	uint64_t now_ms;
	const at_place_engine_t *engines;
	size_t engine_count;
	size_t stays;      /* engines that are usable and not leaving */
	uint64_t *free_mb; /* of each engine, less what was decided */
	uint64_t *soon_mb; /* of each engine, being unloaded */
	uint64_t *kept_mb; /* of each engine, for its models' adapters */
	uint64_t total_free_mb;
	uint64_t missing_mb; /* of what must stand here and does not */
	double *load;        /* of each engine, tokens per second */
	double *rate;        /* of each engine, tokens per second */
	double mean_rate;
	size_t *first_resident; /* of each engine, in resident_item */
	size_t *resident_item;  /* NO_ITEM for a stranger */
	place_t *places;        /* by item */
	want_t *wants;
	eviction_t list[EVICTION_LIST_MAX];
	uint32_t evictions;   /* searches made */
	uint32_t relocations; /* searches made */
	int relocating;       /* one is under way */
	at_decision_t *decisions;
	size_t count;
	size_t max;
} round_t;

/* at_round_find_place() returns where an item is on an engine, or NULL. */
place_t *at_round_find_place(
    const round_t *r, const item_t *item, size_t engine);
/* at_round_is_excepted() tells whether a pin or forbid names both. */
int at_round_is_excepted(const round_t *r, const item_t *item, size_t engine,
    at_exception_kind_t kind);
/* at_round_emit() adds a decision as long as there is room. */
void at_round_emit(round_t *r, at_order_kind_t kind, const at_order_t *what,
    size_t engine, const char *reason);
/* at_round_run() plans on a round that has been filled in. */
void at_round_run(round_t *r);

#endif
