/*
 * residency.h - plans which models should be resident on which engines of a
 * service, and returns the next orders towards that plan.
 *
 * The functions keep no state. The owner passes the present engines and
 * demand and gets orders that can be sent at once: at most one for each
 * engine, and each within that engine's memory.
 */
#ifndef ALMONDTHREAD_RESIDENCY_H
#define ALMONDTHREAD_RESIDENCY_H

#include "almondthread/demand_rates.h"

#define AT_RESIDENCY_ENGINES_MAX 1024u /* engines of one service */
/* Models of one service; the target size of a deployment is 1,200. */
#define AT_RESIDENCY_MODELS_MAX 1536u

/* One engine as input of the planner. */
typedef struct at_engine_state {
	const at_server_entry_t *entry;
	/*
	 * Residents after all orders that the engine has accepted so far; the
	 * entry may be older.
	 */
	const at_resident_set_t *residents;
	at_load_t load;
	/* It may be sent orders: not leaving, failing or evacuated. */
	int is_usable;
	int is_evacuated; /* what it has counts as lost */
	/* Of at_residency_plan_for(): it may not serve these requests. */
	int is_excluded;
	int is_busy;      /* an order is in progress or its result is unknown */
	at_tag_t loading; /* model being loaded, or 0 */
	at_tag_t unloading; /* model being unloaded, or 0 */
	/* Model that the last unload freed memory for, until the next load. */
	at_tag_t replacement;
	/* Lasting factor of a slow engine (service_times.h); 0: it is not. */
	uint32_t slow_milli;
} at_engine_state_t;

typedef enum at_move_kind {
	AT_MOVE_LOAD,
	AT_MOVE_UNLOAD
} at_move_kind_t;

/* Where the weights of a load are read from. */
typedef enum at_copy_location {
	AT_COPY_MEMORY,
	AT_COPY_DISK,
	AT_COPY_STORE,
	AT_COPY_LOCATION_COUNT
} at_copy_location_t;

/* Names of locations, indexed by at_copy_location_t. */
extern const char *const at_copy_location_names[];

/* One order to send. */
typedef struct at_move {
	at_tag_t server;
	at_tag_t model;
	at_tag_t replacement; /* of an unload: the model to load afterwards */
	at_move_kind_t kind;
	at_copy_location_t from; /* of a load */
	/* Requests wait for a model that is resident nowhere, or evacuated. */
	int is_urgent;
} at_move_t;

/* Limits of one round. */
typedef struct at_residency_limits {
	uint32_t store_loads; /* loads from the weight store that may start */
	uint32_t moves;       /* orders that are not urgent */
} at_residency_limits_t;

/*
 * at_residency_plan() writes at most max orders and returns their number.
 */
size_t at_residency_plan(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_move_t *moves, size_t max);

/*
 * at_residency_plan_for() plans for one model, for which requests wait that not
 * all engines may serve: if none of the others has it or is about to, it is
 * loaded by one of them. Returns the number of orders, 1 at most.
 */
size_t at_residency_plan_for(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_tag_t model, at_move_t *move);

/*
 * at_residency_compute_targets() writes, for each model of the service, the
 * number of engines that it should be resident on if all models were placed
 * from scratch by the benefit of each replica.
 */
void at_residency_compute_targets(const at_site_service_t *service,
    size_t engines, const at_demand_rates_t *demand, uint32_t *targets);

/*
 * at_adapter_prefetch_next() finds the most requested adapter that is not
 * resident on an engine while its model is. Returns 1 with the names of its
 * model and itself, or 0 when no adapter is requested often enough or the
 * engine has no spare adapter slot.
 */
int at_adapter_prefetch_next(const at_site_service_t *service,
    const at_resident_set_t *residents, const at_demand_rates_t *demand,
    at_name_t *model_name, at_name_t *adapter_name);

#endif
