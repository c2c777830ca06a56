/*
 * placement_internal.h - structures shared by the files of the planner:
 * placement.c has the items and their demand, placement_data_centre.c the data
 * centre of each model, placement_view.c the state before a round, and
 * placement_plan.c its decisions.
 */
#ifndef ALMONDTHREAD_CORE_PLACEMENT_INTERNAL_H
#define ALMONDTHREAD_CORE_PLACEMENT_INTERNAL_H

#include <uthash.h>

#include "almondthread/placement.h"

#define NO_ITEM SIZE_MAX /* no item or engine */

/* A model or adapter of the configuration. */
typedef struct item {
	at_name_t name;
	at_name_t model;
	at_name_t adapter; /* empty for a model */
	uint32_t version;
	uint64_t memory_mb;
	uint64_t adapters_mb; /* total of the adapters of a model */
	uint32_t min_replicas;
	int is_required;    /* must be resident in this data centre */
	int has_exceptions; /* an exception pins or forbids it on some engine */
	/* Of an adapter: index of its model; NO_ITEM for a model. */
	size_t base;
	/* The demand estimate. */
	uint64_t tokens; /* since the last round */
	uint64_t requests;
	double fast_tokens_s;
	double slow_tokens_s;
	double request_tokens; /* average of one request */
	uint32_t target;
	uint64_t low_since_ms; /* 0 while the demand is not low */
	/* The state in the present round. */
	at_place_state_t state;
	size_t first_replica; /* index of its first replica in the round */
	size_t replica_count;
	size_t index;
	UT_hash_handle hh;
} item_t;

/* State of a model or adapter on an engine. */
typedef enum replica_state {
	REPLICA_SERVING,
	REPLICA_LOADING,
	REPLICA_OUTDATED,  /* old version, leaving engine, or forbidden */
	REPLICA_UNLOADING, /* an unload order is open */
	REPLICA_BLOCKED    /* no order is possible */
} replica_state_t;

typedef struct replica {
	size_t engine;
	replica_state_t state;
	int has_open_order;
} replica_t;

struct at_placement {
	at_placement_policy_t policy;
	const at_config_t *config;
	at_name_t data_centre;
	item_t *items;
	size_t item_count;
	item_t *by_name;
	uint64_t last_round_ms;
};

/*
 * at_placement_memory_mb() returns the total memory of the engines of a data
 * centre.
 */
uint64_t at_placement_memory_mb(
    const at_config_t *config, const at_name_t *data_centre);

/*
 * at_placement_assign_data_centres() gives each model the index of the data
 * centre that it must be resident in; percent of the memory of each data centre
 * may be used. items begins with the models. Returns 0, or -1 if out of memory.
 */
int at_placement_assign_data_centres(const at_config_t *config,
    const item_t *items, uint32_t percent, size_t *data_centres);

/* at_placement_find() returns the item of a name, or NULL. */
item_t *at_placement_find(const at_placement_t *placement, const char *name);

/*
 * at_placement_estimate() updates the demand estimate of one item with the
 * requests since past_ms and resets its counters.
 */
void at_placement_estimate(at_placement_policy_t policy, item_t *item,
    uint64_t now_ms, uint64_t past_ms);

/*
 * at_placement_set_target() sets the number of replicas that an item should
 * have if one replica can serve share_tokens_s.
 */
void at_placement_set_target(at_placement_policy_t policy, item_t *item,
    double share_tokens_s, size_t engine_count, uint64_t now_ms);

#endif
