/*
 * serve_load.h - sites and generated requests for almond-bench serve: models
 * and adapters whose popularity changes tenfold, shared prompt prefixes, long
 * prompts, overnight requests, and one workspace that sends five times its rate
 * for a time. The same seed and rate give the same requests.
 */
#ifndef ALMONDTHREAD_BENCH_SERVE_LOAD_H
#define ALMONDTHREAD_BENCH_SERVE_LOAD_H

#include "almondthread/config.h"
#include "almondthread/router.h"

#define SERVE_WORKSPACES 5u
#define SERVE_PREFIX_BLOCKS 8u     /* shared blocks at the start of a prompt */
#define SERVE_OVERNIGHT_MS 600000u /* deadline of overnight requests */

typedef struct serve_site {
	const char *name;
	uint32_t data_centres;
	uint32_t engines;      /* in each data centre */
	uint32_t accelerators; /* of each engine */
	uint32_t models;
	uint32_t adapters;
	uint32_t routers;          /* instances in each data centre */
	uint32_t full_speed_loads; /* see sim_store_t */
	uint32_t full_speed_adapter_loads;
	uint32_t time_s; /* time from the first to the last arrival */
} serve_site_t;

/* A request that arrives. */
typedef struct serve_arrival {
	uint64_t at_us;  /* since the start of the load */
	uint32_t target; /* index; models first, then adapters */
	uint32_t workspace;
	uint32_t router; /* index over all data centres */
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	at_priority_t priority;
	int is_over_rate; /* exceeds its workspace's rate and burst */
	uint64_t prefix_hashes[SERVE_PREFIX_BLOCKS];
} serve_arrival_t;

typedef struct serve_load {
	serve_arrival_t *arrivals;
	size_t count;
} serve_load_t;

/* serve_site_find() returns a static site by name, or NULL. */
const serve_site_t *serve_site_find(const char *name);

/*
 * serve_config_new() returns a site's configuration, to be deleted by the
 * caller, or NULL if it is not valid.
 */
at_config_t *serve_config_new(const serve_site_t *site);

/* serve_target_name() writes the name of a model or adapter by its index. */
void serve_target_name(
    const serve_site_t *site, uint32_t target, char name[AT_NAME_SIZE]);

/*
 * serve_load_generate() generates requests for time_s of a site. They arrive at
 * requests_s on average, and faster while one workspace exceeds its rate.
 * Returns 0, or -1 if out of memory. In both cases serve_load_free() frees the
 * load.
 */
int serve_load_generate(serve_load_t *load, const serve_site_t *site,
    double requests_s, uint64_t seed);
void serve_load_free(serve_load_t *load);

/*
 * serve_least_seconds() returns the least time of one accelerator that a
 * request needs: in a full batch, and with its prefix in the prompt cache.
 */
double serve_least_seconds(const serve_arrival_t *arrival);

#endif
