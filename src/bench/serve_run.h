/*
 * serve_run.h - runs one policy with one load, in virtual time. The placement
 * and routing of src/core control simulated engines (sim_engine.h).
 */
#ifndef ALMONDTHREAD_BENCH_SERVE_RUN_H
#define ALMONDTHREAD_BENCH_SERVE_RUN_H

#include "almondthread/placement.h"
#include "bench/serve_load.h"

/* How an engine is chosen. The first two use router.h. */
typedef enum serve_routing {
	SERVE_ROUTING_FULL,
	SERVE_ROUTING_NO_AFFINITY, /* the router gets no prefix hashes */
	SERVE_ROUTING_RANDOM,
	SERVE_ROUTING_FEWEST, /* the fewest running and queued requests */
	SERVE_ROUTING_ROUND_ROBIN
} serve_routing_t;

typedef struct serve_policy {
	const char *name;
	serve_routing_t routing;
	at_placement_policy_t placement;
	int continues_placement; /* after the warm-up */
} serve_policy_t;

typedef struct serve_result {
	/* Interactive requests within the rate of their workspace. */
	uint32_t requests;
	uint32_t on_time; /* met both objectives */
	uint32_t refused; /* expired in a queue */
	uint32_t late_first_tokens;
	uint32_t late_tokens; /* by the mean time between tokens */
	uint32_t overnight;   /* overnight requests within the rate */
	uint32_t overnight_on_time;
	uint32_t requests_by[SERVE_WORKSPACES]; /* requests by workspace */
	uint32_t on_time_by[SERVE_WORKSPACES];  /* on_time by workspace */
	uint64_t moves;                         /* loads that were started */
	/* Sums of serve_least_seconds(). */
	double requested_seconds;
	double on_time_seconds; /* late overnight requests are included */
} serve_result_t;

/* What fails halfway through a load, and is not replaced. */
typedef enum serve_fault {
	SERVE_FAULT_NONE,
	SERVE_FAULT_ENGINE,
	SERVE_FAULT_DATA_CENTRE,
	SERVE_FAULT_COUNT
} serve_fault_t;

extern const char *const serve_fault_names[];

/*
 * serve_run() returns the counts of one policy with one load. They are zero if
 * out of memory.
 */
serve_result_t serve_run(const serve_site_t *site, const serve_policy_t *policy,
    const serve_load_t *load, serve_fault_t fault, uint64_t seed);

#endif
