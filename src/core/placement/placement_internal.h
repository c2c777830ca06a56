/*
 * placement_internal.h - what placement.c and placement_plan.c share.
 */
#ifndef ALMONDTHREAD_CORE_PLACEMENT_INTERNAL_H
#define ALMONDTHREAD_CORE_PLACEMENT_INTERNAL_H

#include <uthash.h>

#include "almondthread/placement.h"

#define NO_ITEM SIZE_MAX

/* One model or adapter of the configuration. */
typedef struct item {
	at_name_t name;
	at_name_t model;
	at_name_t adapter; /* empty for a model */
	uint32_t version;
	uint64_t memory_mb;
	uint64_t adapters_mb; /* of a model's adapters, all together */
	uint32_t min_replicas;
	int required;   /* stands in this data centre in any case */
	int restricted; /* an exception pins or forbids it somewhere */
	size_t base;    /* of an adapter: its model's index */
	/* The estimate. */
	uint64_t tokens; /* since the last round */
	uint64_t requests;
	double fast_tokens_s;
	double slow_tokens_s;
	double request_tokens; /* of one request, on average */
	uint32_t wanted;
	uint64_t low_since_ms; /* 0: the demand is not low */
	/* The round's view. */
	at_place_state_t state;
	size_t first; /* of its places */
	size_t places;
	size_t index;
	UT_hash_handle hh;
} item_t;

/* Where an item is: on which engine, and how. */
typedef enum place_kind {
	PLACE_SERVING,
	PLACE_COMING,
	PLACE_OLD,    /* wrong version, leaving engine, or forbidden */
	PLACE_GOING,  /* an unload is open */
	PLACE_BLOCKED /* the slot takes no order */
} place_kind_t;

typedef struct place {
	size_t engine;
	place_kind_t kind;
	int open; /* its slot has an open order */
} place_t;

struct at_placement {
	at_placement_policy_t policy;
	const at_config_t *config;
	at_name_t data_centre;
	item_t *items;
	size_t item_count;
	item_t *by_name;
	uint64_t last_round_ms;
};

/* at_placement_memory_mb() sums the engines of a data centre. */
uint64_t at_placement_memory_mb(
    const at_config_t *config, const at_name_t *data_centre);

/*
 * at_placement_assign_data_centres() gives each model the index of the data
 * centre that must hold it, when percent of each one's memory may be taken.
 * items begins with the models. Returns 0, or -1 without memory.
 */
int at_placement_assign_data_centres(const at_config_t *config,
    const item_t *items, uint32_t percent, size_t *homes);

/* at_placement_find() returns an item by name, or NULL. */
item_t *at_placement_find(const at_placement_t *placement, const char *name);

/* at_placement_estimate() ends a round's measurement of one item. */
void at_placement_estimate(at_placement_policy_t policy, item_t *item,
    uint64_t now_ms, uint64_t past_ms);

/*
 * at_placement_set_target() sets how many replicas an item is to have when one
 * engine can give it share_tokens_s.
 */
void at_placement_set_target(at_placement_policy_t policy, item_t *item,
    double share_tokens_s, size_t engine_count, uint64_t now_ms);

#endif
