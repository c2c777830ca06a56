/*
 * residency.h - which models should be on which engines of a service, and
 * the next orders on the way there.
 *
 * Pure. The owner describes the engines and the demand as they are now and
 * gets orders that can be given at once: at most one for each engine, each
 * within that engine's memory.
 */
#ifndef ALMONDTHREAD_RESIDENCY_H
#define ALMONDTHREAD_RESIDENCY_H

#include "almondthread/demand_rates.h"

#define AT_RESIDENCY_ENGINES_MAX 1024u /* planned for at a time */
#define AT_RESIDENCY_MODELS_MAX 1536u  /* 1,200 at target size, and room */

/* One engine as the planner sees it. */
typedef struct at_engine_state {
	const at_server_entry_t *entry;
	/*
	 * What it holds at the count of orders that the next one will name;
	 * the entry may be older than that.
	 */
	const at_resident_set_t *residents;
	at_load_t load;
	int is_usable;    /* it may be given orders: not leaving, not failing */
	int is_busy;      /* an order is under way or its end is not known */
	at_tag_t loading; /* model under way there, or 0 */
	at_tag_t unloading; /* model on its way out, or 0 */
	at_tag_t
	    replacement; /* of the last unload's move, until the next load */
} at_engine_state_t;

typedef enum at_move_kind {
	AT_MOVE_LOAD,
	AT_MOVE_UNLOAD
} at_move_kind_t;

/* Where the weights of a load come from. */
typedef enum at_copy_location {
	AT_COPY_MEMORY,
	AT_COPY_DISK,
	AT_COPY_STORE,
	AT_COPY_LOCATION_COUNT
} at_copy_location_t;

extern const char *const at_copy_location_names[];

/* One order to give. */
typedef struct at_move {
	at_tag_t server;
	at_tag_t model;
	at_tag_t replacement; /* of an unload: the model to be loaded then */
	at_move_kind_t kind;
	at_copy_location_t from; /* of a load */
	int is_urgent;           /* requests wait for it and it is nowhere */
} at_move_t;

/* Bounds on one round. */
typedef struct at_residency_limits {
	uint32_t store_loads; /* that may begin now */
	uint32_t moves;       /* that are not urgent */
} at_residency_limits_t;

/*
 * at_residency_plan() fills moves and returns how many there are.
 */
size_t at_residency_plan(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_move_t *moves, size_t max);

/*
 * at_residency_compute_targets() fills how many engines each model of the
 * service should be on, if each were placed anew by what its replicas earn.
 */
void at_residency_compute_targets(const at_site_service_t *service,
    size_t engines, const at_demand_rates_t *demand, uint32_t *targets);

/*
 * at_adapter_prefetch_next() finds the adapter that is asked for most of those
 * that an engine does not hold while it holds their model. Returns 1 with its
 * model's and its own name, or 0 when none is asked for often enough or no
 * place is to spare.
 */
int at_adapter_prefetch_next(const at_site_service_t *service,
    const at_resident_set_t *held, const at_demand_rates_t *demand,
    at_name_t *model, at_name_t *adapter);

#endif
