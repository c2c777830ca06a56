/*
 * almond-bench limits: compares the policies of limits_fleet.h by wrongful
 * refusals, tokens over the limit, the workspace that is served worst, and the
 * messages and object API calls that they need.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "bench/limits_fleet.h"

#define WARM_UP_MS 150000u
#define RUN_MS 60000u
#define LOAD_PCT 80u    /* demand in percent of each rate */
#define GREEDY_PCT 500u /* the same of workspace 0 in the "5x" scenarios */

typedef struct site {
	const char *name;
	uint32_t data_centres;
	uint32_t workspaces;
	uint64_t total_tokens_s;
	uint32_t instances[3]; /* sizes of fleets, ended by 0 */
} site_t;

static const site_t sites[] = {
    {"harthy", 3, 5, 30000, {6, 9, 0}},
    {"huilun", 4, 5, 22000, {6, 9, 0}},
    {"target", 5, 20, 1900000, {40, 320, 0}},
};

static uint32_t burst_s; /* option --burst-s */

/* A scenario of the tables; see fleet_setup_t for its fields. */
typedef struct scenario {
	const char *name;
	fleet_arrival_t arrival;
	uint32_t greedy_pct;
	uint32_t platform_away_at_ms;
	uint32_t crash_at_ms;
	uint32_t partition_at_ms;
} scenario_t;

static const scenario_t scenarios[] = {
    {"uniform", FLEET_UNIFORM, 0, 0, 0, 0},
    {"skewed", FLEET_SKEWED, 0, 0, 0, 0},
    {"5x uniform", FLEET_UNIFORM, GREEDY_PCT, 0, 0, 0},
    {"5x skewed", FLEET_SKEWED, GREEDY_PCT, 0, 0, 0},
    {"platform out", FLEET_UNIFORM, 0, 1000, 0, 0},
    {"crash", FLEET_UNIFORM, 0, 0, 5000, 0},
    {"centre cut", FLEET_UNIFORM, 0, 0, 0, 5000},
};

static fleet_setup_t
make_setup(const site_t *site, uint32_t instances, const scenario_t *scenario)
{
	fleet_setup_t setup = {.instances = instances,
	    .data_centres = site->data_centres,
	    .workspaces = site->workspaces,
	    .total_tokens_s = site->total_tokens_s,
	    .burst_s = burst_s,
	    .load_pct = LOAD_PCT,
	    .greedy_pct = scenario->greedy_pct,
	    .arrival = scenario->arrival,
	    .floor_ppb = AT_FLOOR_DEFAULT_PPB,
	    .warm_up_ms = WARM_UP_MS,
	    .run_ms = RUN_MS,
	    .platform_away_at_ms = scenario->platform_away_at_ms,
	    .crash_at_ms = scenario->crash_at_ms,
	    .partition_at_ms = scenario->partition_at_ms,
	    .seed = 1};

	return setup;
}

/* Sums over the workspaces under one policy. */
typedef struct summary {
	uint64_t requests;
	uint64_t wrongful_refusals;
	uint64_t waited;
	double excess_tokens;
	double lowest_pct; /* of the tokens that the central bucket admits */
	double partition_tokens;
} summary_t;

/*
 * Workspace 0 is included only in the excess when it sends more than its rate:
 * its refusals are expected.
 */
static summary_t
summarize(const fleet_setup_t *setup, const fleet_result_t *result,
    fleet_policy_t policy)
{
	summary_t summary = {.lowest_pct = 100.0};
	uint32_t w = setup->greedy_pct != 0 ? 1 : 0;

	for (; w < setup->workspaces; w++) {
		const fleet_count_t *count = &result->counts[policy][w];
		const fleet_count_t *central =
		    &result->counts[FLEET_CENTRAL][w];
		double pct =
		    100.0 * count->admitted_tokens / central->admitted_tokens;

		summary.requests += count->requests;
		summary.wrongful_refusals += count->wrongful_refusals;
		summary.waited += count->waited;
		summary.partition_tokens += count->partition_tokens;
		if (pct < summary.lowest_pct)
			summary.lowest_pct = pct;
	}
	for (w = 0; w < setup->workspaces; w++)
		summary.excess_tokens +=
		    result->counts[policy][w].excess_tokens;
	return summary;
}

static void
print_header(void)
{
	(void)printf("%-6s %4s %-13s %-8s %9s %9s %7s %8s %7s %8s %8s %6s\n",
	    "site", "n", "scenario", "policy", "requests", "wrongful%",
	    "waited%", "excess", "worst%", "msg/s", "bytes/s", "calls");
}

static void
print_rows(const site_t *site, const char *name, const fleet_setup_t *setup,
    const fleet_result_t *result)
{
	fleet_policy_t p;

	for (p = 0; p < FLEET_POLICY_COUNT; p++) {
		summary_t summary = summarize(setup, result, p);

		(void)printf("%-6s %4u %-13s %-8s %9llu %9.4f %7.2f %8.0f "
			     "%7.2f",
		    site->name, setup->instances, name, fleet_policy_names[p],
		    (unsigned long long)summary.requests,
		    100.0 * (double)summary.wrongful_refusals /
			(double)summary.requests,
		    100.0 * (double)summary.waited / (double)summary.requests,
		    summary.excess_tokens, summary.lowest_pct);
		if (p == FLEET_SHARES)
			(void)printf(" %8.1f %8.0f %6.1f (busiest: %.0f "
				     "msg/s, %.0f bytes/s)",
			    result->messages_per_s, result->bytes_per_s,
			    result->platform_calls_per_s,
			    result->max_messages_per_s,
			    result->max_bytes_per_s);
		(void)printf("\n");
	}
	if (setup->partition_at_ms != 0) {
		double floor_tokens = (double)site->total_tokens_s *
				      (setup->run_ms - setup->partition_at_ms) /
				      1000.0 * (double)setup->floor_ppb /
				      AT_PPB_WHOLE / setup->data_centres;
		double shares_tokens =
		    summarize(setup, result, FLEET_SHARES).partition_tokens;
		double central_tokens =
		    summarize(setup, result, FLEET_CENTRAL).partition_tokens;

		(void)printf("       the isolated data centre admitted %.0f of "
			     "%.0f tokens; its floor is %.0f\n",
		    shares_tokens, central_tokens, floor_tokens);
	}
	(void)fflush(stdout);
}

/*
 * Prints the wrongful refusals for several sums of floors when the platform, an
 * instance or a network link fails.
 */
static void
measure_floors(const site_t *site)
{
	static const int floor_tenths[] = {2, 5, 8, 10};
	static const scenario_t faults[] = {
	    {"platform out", FLEET_UNIFORM, 0, 1000, 0, 0},
	    {"crash", FLEET_UNIFORM, 0, 0, 5000, 0},
	    {"both", FLEET_UNIFORM, 0, 1000, 5000, 0},
	    {"centre cut", FLEET_UNIFORM, 0, 0, 0, 5000},
	};
	size_t i;
	size_t k;

	(void)printf("\nwrongful%% by the sum of the floors, as a fraction of "
		     "the limits\n");
	(void)printf("%-6s %4s %-13s %8s %8s %8s %8s\n", "site", "n",
	    "scenario", "0.2", "0.5", "0.8", "1.0");
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		(void)printf("%-6s %4u %-13s", site->name, site->instances[0],
		    faults[i].name);
		for (k = 0; k < sizeof(floor_tenths) / sizeof(floor_tenths[0]);
		     k++) {
			fleet_setup_t setup =
			    make_setup(site, site->instances[0], &faults[i]);
			fleet_result_t result;
			summary_t summary;

			setup.floor_ppb =
			    (int64_t)AT_PPB_WHOLE / 10 * floor_tenths[k];
			fleet_run(&setup, &result);
			summary = summarize(&setup, &result, FLEET_SHARES);
			(void)printf(" %8.4f",
			    100.0 * (double)summary.wrongful_refusals /
				(double)summary.requests);
			(void)fflush(stdout);
		}
		(void)printf("\n");
	}
}

static void
run_site(const site_t *site, const char *scenario_name)
{
	size_t i;
	size_t k;

	print_header();
	for (i = 0; site->instances[i] != 0; i++) {
		for (k = 0; k < sizeof(scenarios) / sizeof(scenarios[0]); k++) {
			fleet_setup_t setup =
			    make_setup(site, site->instances[i], &scenarios[k]);
			fleet_result_t result;

			if (*scenario_name != '\0' &&
			    strcmp(scenario_name, scenarios[k].name) != 0)
				continue;
			fleet_run(&setup, &result);
			print_rows(site, scenarios[k].name, &setup, &result);
		}
	}
	if (*scenario_name == '\0' || strcmp(scenario_name, "floors") == 0)
		measure_floors(site);
}

int
bench_limits(int argc, char **argv)
{
	const char *name = bench_option(argc, argv, "site", "harthy");
	const char *scenario_name = bench_option(argc, argv, "scenario", "");
	size_t i;

	burst_s = (uint32_t)atoi(bench_option(argc, argv, "burst-s", "60"));
	for (i = 0; i < sizeof(sites) / sizeof(sites[0]); i++) {
		if (strcmp(sites[i].name, name) == 0) {
			run_site(&sites[i], scenario_name);
			return 0;
		}
	}
	(void)fprintf(stderr, "almond-bench limits: --site: expected harthy, "
			      "huilun or target\n");
	return 2;
}
