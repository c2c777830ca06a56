/*
 * placement.h - plans which engine of a data centre has which model and
 * adapter.
 *
 * The planner estimates the demand for each model and adapter. Once a round
 * it compares the target with the engines' residents and returns decisions,
 * most urgent first. It sends nothing: orders.h checks each decision again
 * and may refuse it; a refused decision is made again in a later round.
 *
 * - Every model and adapter has a target of min_replicas engines in the data
 *   centre as long as one of each fits into RESIDENT_MEMORY_PERCENT
 *   (placement.c) of its memory. If they do not fit, it has a target only in
 *   the data centre that rendezvous hashing selects for it, and elsewhere where
 *   there is demand.
 * - More replicas follow demand at once. A surplus replica stays until its
 *   memory is needed, and the target falls only after a hold time.
 * - A resident is unloaded only for one that serves more demand, only while
 *   another engine serves it, and never as the last replica.
 * - A new version is loaded beside the old one first. A leaving engine is
 *   emptied once its residents are served elsewhere.
 */
#ifndef ALMONDTHREAD_PLACEMENT_H
#define ALMONDTHREAD_PLACEMENT_H

#include "almondthread/config.h"
#include "almondthread/engine_view.h"
#include "almondthread/ports.h"

#define AT_PLACEMENT_REASON_SIZE 128u /* bytes, with the NUL */

/* Planning policy; the greedy one is a baseline for comparisons. */
typedef enum at_placement_policy {
	AT_PLACEMENT_STEADY, /* smooths demand and holds surplus replicas */
	AT_PLACEMENT_GREEDY, /* follows each second's demand at once */
	AT_PLACEMENT_POLICY_COUNT
} at_placement_policy_t;

/* Names of policies, indexed by at_placement_policy_t. */
extern const char *const at_placement_policy_names[];

/* One engine in a round. residents are borrowed. */
typedef struct at_place_engine {
	at_name_t name;
	uint32_t accelerators;
	uint64_t capacity_mb;
	uint64_t free_mb; /* by its memory account (account.h) */
	int is_usable;    /* serves and takes orders */
	int is_leaving;
	const at_resident_t *residents;
	size_t resident_count;
} at_place_engine_t;

/* One decision; id and fence of the order are not set. */
typedef struct at_decision {
	at_order_t order;
	char reason[AT_PLACEMENT_REASON_SIZE];
} at_decision_t;

/* State of one model or adapter in the last round. */
typedef struct at_place_state {
	uint32_t target;   /* replicas to have */
	uint32_t serving;  /* replicas of the right version, not leaving */
	uint32_t loading;  /* replicas being loaded */
	uint32_t outdated; /* of another version or on a leaving engine */
	uint64_t demand_tokens_s;
	char reason[AT_PLACEMENT_REASON_SIZE]; /* of the last decision */
} at_place_state_t;

typedef struct at_placement at_placement_t;

/* at_placement_new() returns NULL if out of memory. */
at_placement_t *at_placement_new(void);
void at_placement_set_policy(
    at_placement_t *placement, at_placement_policy_t policy);
/*
 * at_placement_set_config() sets the configuration, which must outlive the
 * rounds under it. Demand estimates of models and adapters that remain are
 * kept. Returns 0, or -1 if out of memory.
 */
int at_placement_set_config(at_placement_t *placement,
    const at_config_t *config, const at_name_t *data_centre);
void at_placement_delete(at_placement_t *placement);

/*
 * at_placement_add_demand() counts one request of tokens for a model or
 * adapter; a request for an adapter also counts for its base model.
 */
void at_placement_add_demand(
    at_placement_t *placement, const char *name, uint64_t tokens);

/*
 * at_placement_plan() runs one round. open are the orders that are not
 * closed. Returns the number of decisions written, at most max.
 */
size_t at_placement_plan(at_placement_t *placement, uint64_t now_ms,
    const at_place_engine_t *engines, size_t engine_count,
    const at_order_t *open, size_t open_count, at_decision_t *decisions,
    size_t max);

/*
 * at_placement_state() returns the state of the last round, or NULL for a
 * name that is not configured.
 */
const at_place_state_t *at_placement_state(
    const at_placement_t *placement, const char *name);

/*
 * at_placement_is_configured() returns non-zero if a model or adapter is known.
 */
int at_placement_is_configured(
    const at_placement_t *placement, const char *model, const char *adapter);

#endif
