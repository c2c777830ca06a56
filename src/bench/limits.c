/*
 * limits: three policies side by side, by wrongful refusals, excess, the
 * worst-served workspace and the cost of control.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/bench.h"
#include "bench/limits_fleet.h"

#define WARM_MS 150000u
#define RUN_MS 60000u
#define LOAD_PCT 80u
#define GREEDY_PCT 500u

typedef struct site {
	const char *name;
	uint32_t centres;
	uint32_t workspaces;
	uint64_t total_rate; /* tokens per second */
	uint32_t sizes[3];   /* instances; 0 ends the list */
} site_t;

static const site_t sites[] = {
    {"harthy", 3, 5, 30000, {6, 9, 0}},
    {"huilun", 4, 5, 22000, {6, 9, 0}},
    {"target", 5, 20, 1900000, {40, 320, 0}},
};

static uint32_t burst_s; /* burst in seconds of the rate */

typedef struct scenario {
	const char *name;
	fleet_arrival_t arrival;
	uint32_t greedy_pct;
	uint32_t platform_out_at_ms;
	uint32_t crash_at_ms;
	uint32_t cut_at_ms;
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
setup_of(const site_t *site, uint32_t instances, const scenario_t *scenario)
{
	fleet_setup_t setup = {.instances = instances,
	    .centres = site->centres,
	    .workspaces = site->workspaces,
	    .total_rate = site->total_rate,
	    .burst_s = burst_s,
	    .load_pct = LOAD_PCT,
	    .greedy_pct = scenario->greedy_pct,
	    .arrival = scenario->arrival,
	    .floor_ppb = AT_FLOOR_DEFAULT_PPB,
	    .warm_ms = WARM_MS,
	    .run_ms = RUN_MS,
	    .platform_out_at_ms = scenario->platform_out_at_ms,
	    .crash_at_ms = scenario->crash_at_ms,
	    .cut_at_ms = scenario->cut_at_ms,
	    .seed = 1};

	return setup;
}

typedef struct row {
	uint64_t requests;
	uint64_t wrongful;
	uint64_t waited;
	double excess;
	double worst_pct; /* of what the central bucket admits */
	double cut_tokens;
} row_t;

static row_t
add_up(const fleet_setup_t *setup, const fleet_result_t *result,
    fleet_policy_t policy)
{
	row_t row = {.worst_pct = 100.0};
	uint32_t w = setup->greedy_pct != 0 ? 1 : 0;

	for (; w < setup->workspaces; w++) {
		const fleet_count_t *count = &result->counts[policy][w];
		const fleet_count_t *best = &result->counts[FLEET_CENTRAL][w];
		double pct =
		    100.0 * count->admitted_tokens / best->admitted_tokens;

		row.requests += count->requests;
		row.wrongful += count->wrongful;
		row.waited += count->waited;
		row.cut_tokens += count->cut_tokens;
		if (pct < row.worst_pct)
			row.worst_pct = pct;
	}
	for (w = 0; w < setup->workspaces; w++)
		row.excess += result->counts[policy][w].excess_tokens;
	return row;
}

static void
print_head(void)
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
		row_t row = add_up(setup, result, p);

		(void)printf("%-6s %4u %-13s %-8s %9llu %9.4f %7.2f %8.0f "
			     "%7.2f",
		    site->name, setup->instances, name, fleet_policy_names[p],
		    (unsigned long long)row.requests,
		    100.0 * (double)row.wrongful / (double)row.requests,
		    100.0 * (double)row.waited / (double)row.requests,
		    row.excess, row.worst_pct);
		if (p == FLEET_SHARES)
			(void)printf(" %8.1f %8.0f %6.1f (busiest: %.0f "
				     "msg/s, %.0f bytes/s)",
			    result->messages_s, result->bytes_s,
			    result->platform_calls_s, result->messages_max_s,
			    result->bytes_max_s);
		(void)printf("\n");
	}
	if (setup->cut_at_ms != 0) {
		double floor = (double)site->total_rate *
			       (setup->run_ms - setup->cut_at_ms) / 1000.0 *
			       (double)setup->floor_ppb / AT_PPB_WHOLE /
			       setup->centres;
		double used = add_up(setup, result, FLEET_SHARES).cut_tokens;
		double wanted = add_up(setup, result, FLEET_CENTRAL).cut_tokens;

		(void)printf("       the cut centre admitted %.0f tokens of "
			     "%.0f; its floor is %.0f\n",
		    used, wanted, floor);
	}
	(void)fflush(stdout);
}

/* What floors of several sizes cost when the platform or a process fails. */
static void
floors(const site_t *site)
{
	static const int tenths[] = {2, 5, 8, 10};
	static const scenario_t faults[] = {
	    {"platform out", FLEET_UNIFORM, 0, 1000, 0, 0},
	    {"crash", FLEET_UNIFORM, 0, 0, 5000, 0},
	    {"both", FLEET_UNIFORM, 0, 1000, 5000, 0},
	    {"centre cut", FLEET_UNIFORM, 0, 0, 0, 5000},
	};
	size_t i;
	size_t k;

	(void)printf("\nwrongful%% by the floors' part of the whole\n");
	(void)printf("%-6s %4s %-13s %8s %8s %8s %8s\n", "site", "n",
	    "scenario", "0.2", "0.5", "0.8", "1.0");
	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		(void)printf("%-6s %4u %-13s", site->name, site->sizes[0],
		    faults[i].name);
		for (k = 0; k < sizeof(tenths) / sizeof(tenths[0]); k++) {
			fleet_setup_t setup =
			    setup_of(site, site->sizes[0], &faults[i]);
			fleet_result_t result;
			row_t row;

			setup.floor_ppb =
			    (int64_t)AT_PPB_WHOLE / 10 * tenths[k];
			fleet_run(&setup, &result);
			row = add_up(&setup, &result, FLEET_SHARES);
			(void)printf(" %8.4f", 100.0 * (double)row.wrongful /
						   (double)row.requests);
			(void)fflush(stdout);
		}
		(void)printf("\n");
	}
}

static void
run_site(const site_t *site, const char *only)
{
	size_t i;
	size_t k;

	print_head();
	for (i = 0; site->sizes[i] != 0; i++) {
		for (k = 0; k < sizeof(scenarios) / sizeof(scenarios[0]); k++) {
			fleet_setup_t setup =
			    setup_of(site, site->sizes[i], &scenarios[k]);
			fleet_result_t result;

			if (*only != '\0' &&
			    strcmp(only, scenarios[k].name) != 0)
				continue;
			fleet_run(&setup, &result);
			print_rows(site, scenarios[k].name, &setup, &result);
		}
	}
	if (*only == '\0' || strcmp(only, "floors") == 0)
		floors(site);
}

int
bench_limits(int argc, char **argv)
{
	const char *name = bench_option(argc, argv, "site", "harthy");
	const char *only = bench_option(argc, argv, "scenario", "");
	size_t i;

	burst_s = (uint32_t)atoi(bench_option(argc, argv, "burst-s", "60"));
	for (i = 0; i < sizeof(sites) / sizeof(sites[0]); i++) {
		if (strcmp(sites[i].name, name) == 0) {
			run_site(&sites[i], only);
			return 0;
		}
	}
	(void)fprintf(stderr, "almond-bench limits: --site: expected harthy, "
			      "huilun or target\n");
	return 2;
}
