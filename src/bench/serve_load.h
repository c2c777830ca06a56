/*
 * serve_load.h - arrivals for the measurement of serving: the sites' sizes,
 * models whose popularity moves tenfold, adapters, shared prompt prefixes,
 * long prompts, overnight work, and one workspace at five times its rate.
 * The same seed and load give the same arrivals to every policy.
 */
#ifndef ALMONDTHREAD_BENCH_SERVE_LOAD_H
#define ALMONDTHREAD_BENCH_SERVE_LOAD_H

#include "almondthread/config.h"
#include "almondthread/router.h"

#define SERVE_WORKSPACES 5u
#define SERVE_PREFIX_BLOCKS 8u     /* of a shared prefix */
#define SERVE_OVERNIGHT_MS 600000u /* deadline of overnight work */

typedef struct serve_site {
	const char *name;
	uint32_t data_centres;
	uint32_t engines; /* in each data centre */
	uint32_t accelerators;
	uint32_t models;
	uint32_t adapters;
	uint32_t routers;          /* instances in each data centre */
	uint32_t loads_full_speed; /* of the weight store */
	uint32_t adapters_in_flight;
	uint32_t time_s;
} serve_site_t;

typedef struct serve_arrival {
	uint64_t at_us;
	uint32_t target; /* models first, then adapters */
	uint32_t workspace;
	uint32_t router; /* over all data centres */
	uint32_t prompt_tokens;
	uint32_t out_tokens;
	at_priority_t priority;
	int over_rate; /* beyond its workspace's rate and burst */
	uint64_t prefix_hashes[SERVE_PREFIX_BLOCKS];
} serve_arrival_t;

typedef struct serve_load {
	serve_arrival_t *arrivals;
	size_t count;
} serve_load_t;

/* serve_site_find() returns a site by name, or NULL. */
const serve_site_t *serve_site_find(const char *name);

/* serve_config() makes the site's configuration; the caller deletes it. */
at_config_t *serve_config(const serve_site_t *site);

/* serve_target() writes the name of a model or adapter. */
void serve_target(
    const serve_site_t *site, uint32_t target, char name[AT_NAME_SIZE]);

/*
 * serve_load_make() draws arrivals at a mean of load requests a second for
 * each accelerator. Freed by serve_load_free().
 */
int serve_load_make(serve_load_t *load, const serve_site_t *site,
    double requests_s, uint64_t seed);
void serve_load_free(serve_load_t *load);

/* serve_seconds() is the accelerator's time that an arrival costs at best. */
double serve_seconds(const serve_arrival_t *arrival);

#endif
