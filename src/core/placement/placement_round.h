/* placement_round.h - working state of one round of the planner. */
#ifndef ALMONDTHREAD_CORE_PLACEMENT_ROUND_H
#define ALMONDTHREAD_CORE_PLACEMENT_ROUND_H

#include "core/placement/placement_internal.h"

#define EVICTION_CANDIDATES_MAX AT_RESIDENTS_MAX

/* Why an item needs another replica, least urgent first. */
typedef enum urgency {
	URGENCY_DEMAND,       /* its replicas do not suffice */
	URGENCY_BELOW_MIN,    /* fewer replicas than min_replicas */
	URGENCY_OUTDATED,     /* only outdated replicas */
	URGENCY_NOT_RESIDENT, /* no replica */
	/* No replica, and it must be resident in this data centre. */
	URGENCY_REQUIRED
} urgency_t;

typedef struct need {
	size_t item;
	urgency_t urgency;
	int is_adapter;
	double demand;
	uint64_t memory_mb;
} need_t;

/*
 * A resident that may be unloaded. item and replica are NULL if it is not
 * configured.
 */
typedef struct eviction {
	size_t engine;
	size_t resident;
	item_t *item;
	replica_t *replica;
	uint64_t memory_mb;
	double served_tokens_s; /* demand on the replica */
} eviction_t;

typedef struct round {
	at_placement_t *placement;
	uint64_t now_ms;
	const at_place_engine_t *engines;
	size_t engine_count;
	size_t usable_count;    /* engines that are usable and not leaving */
	uint64_t *free_mb;      /* of each engine, after the decisions so far */
	uint64_t *unloading_mb; /* of each engine, being unloaded */
	uint64_t *adapters_reserved_mb; /* of each engine, for adapters */
	uint64_t total_free_mb;
	/* Of items that must be resident here and are not. */
	uint64_t missing_mb;
	double *load; /* demand on each engine, tokens per second */
	double *rate; /* capacity of each engine, tokens per second */
	double mean_rate;
	size_t *first_resident; /* of each engine, in resident_item */
	/* Index of its item, or NO_ITEM if it is not configured. */
	size_t *resident_item;
	replica_t *replicas; /* grouped by item */
	need_t *needs;
	eviction_t candidates[EVICTION_CANDIDATES_MAX];
	uint32_t eviction_searches;   /* made so far */
	uint32_t relocation_searches; /* made so far */
	int is_relocating;            /* a relocation is in progress */
	at_decision_t *decisions;
	size_t count;
	size_t max;
} round_t;

/*
 * at_round_find_replica() returns the replica of an item on an engine, or NULL.
 */
replica_t *at_round_find_replica(
    const round_t *r, const item_t *item, size_t engine);
/*
 * at_round_is_excepted() returns non-zero if an exception of this kind names
 * both the item and the engine.
 */
int at_round_is_excepted(const round_t *r, const item_t *item, size_t engine,
    at_exception_kind_t kind);
/* at_round_emit() adds a decision, or discards it if max is reached. */
void at_round_emit(round_t *r, at_order_kind_t kind, const at_order_t *order,
    size_t engine, const char *reason);
/* at_round_run() plans a round whose state is complete. */
void at_round_run(round_t *r);

#endif
