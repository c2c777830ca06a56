/*
 * limits_fleet.h - a fleet of share machines under virtual time, beside a
 * central bucket and rate/N, all fed the same requests.
 */
#ifndef ALMONDTHREAD_BENCH_LIMITS_FLEET_H
#define ALMONDTHREAD_BENCH_LIMITS_FLEET_H

#include "almondthread/share_root.h"

#define FLEET_WORKSPACES_MAX 24u
#define FLEET_CENTRES_MAX 5u

/* How callers of a workspace spread over the instances. */
typedef enum fleet_arrival {
	FLEET_UNIFORM, /* each request at any instance */
	FLEET_SKEWED   /* all at one, another one every 10 s */
} fleet_arrival_t;

typedef enum fleet_policy {
	FLEET_CENTRAL, /* one bucket, always in reach */
	FLEET_SPLIT,   /* rate/N at each instance */
	FLEET_SHARES,  /* the share machines */
	FLEET_POLICY_COUNT
} fleet_policy_t;

extern const char *const fleet_policy_names[];

/* One run. */
typedef struct fleet_setup {
	uint32_t instances;
	uint32_t centres;
	uint32_t workspaces;
	uint64_t total_rate; /* tokens per second, over all workspaces */
	uint32_t burst_s;    /* burst in seconds of the rate */
	uint32_t load_pct;   /* demand as a part of each rate */
	uint32_t greedy_pct; /* demand of workspace 0; 0: as the others */
	fleet_arrival_t arrival;
	int64_t floor_ppb;
	uint32_t warm_ms; /* before anything is counted */
	uint32_t run_ms;
	uint32_t platform_out_at_ms; /* after the warm-up; 0: never */
	uint32_t crash_at_ms;        /* one instance, not replaced; 0: never */
	uint32_t cut_at_ms;          /* centre 0 from all; 0: never */
	uint64_t seed;
} fleet_setup_t;

/* Counts of one workspace under one policy. */
typedef struct fleet_count {
	uint64_t requests;
	uint64_t admitted;
	uint64_t wrongful; /* refused, though the central bucket admits */
	uint64_t waited;   /* admitted after a wait for a grant */
	double demanded_tokens;
	double admitted_tokens; /* as used */
	double cut_tokens;      /* admitted in centre 0 after it was cut */
	double excess_tokens;   /* over the bound in the worst interval */
} fleet_count_t;

typedef struct fleet_result {
	fleet_count_t counts[FLEET_POLICY_COUNT][FLEET_WORKSPACES_MAX];
	uint64_t rates[FLEET_WORKSPACES_MAX];
	double messages_s;     /* sent and received, mean over the daemons */
	double bytes_s;        /* the same */
	double messages_max_s; /* of the busiest daemon */
	double bytes_max_s;
	double platform_calls_s; /* of the whole fleet */
} fleet_result_t;

void fleet_run(const fleet_setup_t *setup, fleet_result_t *result);

#endif
