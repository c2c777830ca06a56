/*
 * limits_fleet.h - a simulation of the limits of workspaces in a fleet of
 * instances, in virtual time. The same requests are given to three policies:
 * the shares of share.h, one central token bucket, and an equal part of the
 * rate at each instance.
 */
#ifndef ALMONDTHREAD_BENCH_LIMITS_FLEET_H
#define ALMONDTHREAD_BENCH_LIMITS_FLEET_H

#include "almondthread/share_root.h"

#define FLEET_WORKSPACES_MAX 24u
#define FLEET_DATA_CENTRES_MAX 5u

/* How the requests of a workspace are distributed over the instances. */
typedef enum fleet_arrival {
	FLEET_UNIFORM, /* each request to a random instance */
	FLEET_SKEWED   /* all to one instance, another one every 10 s */
} fleet_arrival_t;

typedef enum fleet_policy {
	FLEET_CENTRAL,    /* one bucket that every instance can always reach */
	FLEET_EVEN_SPLIT, /* a bucket with rate/N at each of N instances */
	FLEET_SHARES,     /* at_share_t at each instance */
	FLEET_POLICY_COUNT
} fleet_policy_t;

extern const char *const fleet_policy_names[];

/* Parameters of one run. */
typedef struct fleet_setup {
	uint32_t instances;
	uint32_t data_centres;
	uint32_t workspaces;
	uint64_t total_tokens_s; /* of all workspaces together */
	uint32_t burst_s;    /* burst of a workspace in seconds of its rate */
	uint32_t load_pct;   /* demand in percent of each rate */
	uint32_t greedy_pct; /* demand of workspace 0, or 0 for load_pct */
	fleet_arrival_t arrival;
	int64_t floor_ppb;   /* sum of the floors of all instances */
	uint32_t warm_up_ms; /* not included in the counts */
	uint32_t run_ms;     /* measured, after the warm-up */
	/* Times of faults after the warm-up, or 0 for no fault. */
	uint32_t platform_away_at_ms; /* object API calls fail */
	uint32_t crash_at_ms;     /* the last instance ends, is not replaced */
	uint32_t partition_at_ms; /* data centre 0 reaches nothing outside */
	uint64_t seed;
} fleet_setup_t;

/*
 * Counts of one workspace under one policy in the measured time. The excess
 * covers the warm-up, too.
 */
typedef struct fleet_count {
	uint64_t requests;
	uint64_t admitted;
	uint64_t wrongful_refusals; /* the central bucket admits them */
	uint64_t waited;            /* requests admitted after a wait */
	double requested_tokens;
	double admitted_tokens;  /* tokens used, not reserved */
	double partition_tokens; /* in data centre 0 while it is isolated */
	double excess_tokens;    /* over rate and burst in the worst interval */
} fleet_count_t;

typedef struct fleet_result {
	fleet_count_t counts[FLEET_POLICY_COUNT][FLEET_WORKSPACES_MAX];
	uint64_t rates_tokens_s[FLEET_WORKSPACES_MAX]; /* of each workspace */
	double messages_per_s;     /* sent and received, mean of instances */
	double bytes_per_s;        /* bytes of these messages */
	double max_messages_per_s; /* of the busiest instance */
	double max_bytes_per_s;
	double platform_calls_per_s; /* of the whole fleet */
} fleet_result_t;

/* fleet_run() simulates one run and fills result. */
void fleet_run(const fleet_setup_t *setup, fleet_result_t *result);

#endif
