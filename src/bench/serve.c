/*
 * almond-bench serve: compares placement and routing with baseline policies on
 * simulated engines. All policies get the same requests. For each policy, the
 * highest load is searched at which ON_TIME_GOAL of the interactive requests
 * are on time.
 */
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/serve_run.h"

#define ON_TIME_GOAL 0.95 /* of interactive requests */
#define SEARCH_STEPS 7    /* bisections in the search for the highest load */
#define US_PER_S 1000000u
#define LOAD_MAX 1.3 /* end of the search, as a fraction of the bound */

/* The last policy is the one that is compared with the others. */
static const serve_policy_t policies[] = {
    {"random", SERVE_ROUTING_RANDOM, AT_PLACEMENT_STEADY, 1},
    {"fewest outstanding", SERVE_ROUTING_FEWEST, AT_PLACEMENT_STEADY, 1},
    {"static, round robin", SERVE_ROUTING_ROUND_ROBIN, AT_PLACEMENT_STEADY, 0},
    {"no affinity", SERVE_ROUTING_NO_AFFINITY, AT_PLACEMENT_STEADY, 1},
    {"greedy placement", SERVE_ROUTING_FULL, AT_PLACEMENT_GREEDY, 1},
    {"ours", SERVE_ROUTING_FULL, AT_PLACEMENT_STEADY, 1},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

/* Parameters of all runs. */
typedef struct experiment {
	const serve_site_t *site;
	serve_fault_t fault;
	uint64_t seed;
	double bound_requests_s; /* at which all accelerators are always busy */
} experiment_t;

/*
 * Returns the requests per second at which all accelerators are always busy if
 * each request needs its least time.
 */
static double
compute_bound(const serve_site_t *site, uint64_t seed)
{
	double accelerators =
	    (double)site->data_centres * site->engines * site->accelerators;
	serve_load_t load;
	double seconds = 0;
	size_t i;

	if (serve_load_generate(&load, site, 10, seed) != 0)
		return 0;
	for (i = 0; i < load.count; i++)
		seconds += serve_least_seconds(&load.arrivals[i]);
	seconds /= (double)load.count;
	serve_load_free(&load);
	return accelerators / seconds;
}

/* Runs a policy at a load, given as a fraction of the bound. */
static serve_result_t
run_at(const experiment_t *experiment, const serve_policy_t *policy,
    double load_fraction)
{
	serve_load_t load;
	serve_result_t result;

	memset(&result, 0, sizeof(result));
	if (serve_load_generate(&load, experiment->site,
		load_fraction * experiment->bound_requests_s,
		experiment->seed) == 0)
		result = serve_run(experiment->site, policy, &load,
		    experiment->fault, experiment->seed);
	serve_load_free(&load);
	return result;
}

static double
on_time_fraction(const serve_result_t *result)
{
	return result->requests == 0
		   ? 0
		   : (double)result->on_time / result->requests;
}

/* Returns the fraction on time of the workspace that is served worst. */
static double
worst_on_time(const serve_result_t *result)
{
	double lowest = 1;
	uint32_t w;

	/* Without workspace 0, which sends five times its rate for a time. */
	for (w = 1; w < SERVE_WORKSPACES; w++) {
		double fraction = result->requests_by[w] == 0
				      ? 1
				      : (double)result->on_time_by[w] /
					    result->requests_by[w];

		if (fraction < lowest)
			lowest = fraction;
	}
	return lowest;
}

/* Returns the highest load at which a policy reaches ON_TIME_GOAL. */
static double
highest_load(const experiment_t *experiment, const serve_policy_t *policy)
{
	double low = 0;
	double high = LOAD_MAX;
	int step;

	for (step = 0; step < SEARCH_STEPS; step++) {
		double middle = (low + high) / 2;
		serve_result_t result = run_at(experiment, policy, middle);

		if (on_time_fraction(&result) >= ON_TIME_GOAL)
			low = middle;
		else
			high = middle;
	}
	return low;
}

/*
 * Returns the fraction of interactive work that a scheduler could serve if it
 * knew all requests in advance and needed no loads: in each second as much as
 * the accelerators have time for.
 */
static double
clairvoyant_on_time(const experiment_t *experiment, double load_fraction)
{
	double accelerators = (double)experiment->site->data_centres *
			      experiment->site->engines *
			      experiment->site->accelerators;
	serve_load_t load;
	double requested_work = 0;
	double served_work = 0;
	double second_work = 0;
	uint64_t now_s = 0;
	size_t i;

	if (serve_load_generate(&load, experiment->site,
		load_fraction * experiment->bound_requests_s,
		experiment->seed) != 0)
		return 0;
	for (i = 0; i < load.count; i++) {
		const serve_arrival_t *arrival = &load.arrivals[i];

		if (arrival->is_over_rate ||
		    arrival->priority == AT_PRIORITY_OVERNIGHT)
			continue;
		if (arrival->at_us / US_PER_S != now_s) {
			now_s = arrival->at_us / US_PER_S;
			served_work += second_work < accelerators
					   ? second_work
					   : accelerators;
			second_work = 0;
		}
		second_work += serve_least_seconds(arrival);
		requested_work += serve_least_seconds(arrival);
	}
	served_work += second_work < accelerators ? second_work : accelerators;
	serve_load_free(&load);
	return requested_work > 0 ? served_work / requested_work : 0;
}

static double
clairvoyant_load(const experiment_t *experiment)
{
	double low = 0;
	double high = LOAD_MAX;
	int step;

	for (step = 0; step < SEARCH_STEPS; step++) {
		double middle = (low + high) / 2;

		if (clairvoyant_on_time(experiment, middle) >= ON_TIME_GOAL)
			low = middle;
		else
			high = middle;
	}
	return low;
}

static double
percentage(uint32_t count, uint32_t total)
{
	return total == 0 ? 0 : 100.0 * count / total;
}

static void
print_header(const char *title)
{
	(void)printf("\n%s\n%-20s %8s %8s %8s %8s %8s %7s %8s %8s\n", title,
	    "policy", "on time", "first", "tokens", "busy", "worst", "moves",
	    "refused", "night");
}

/*
 * Columns of percentages: first and tokens, requests that were late with the
 * first token or between tokens; busy, time of the accelerators for requests on
 * time, at the least time of each; worst, on time in the workspace that is
 * served worst; night, overnight requests on time.
 */
static void
print_row(const experiment_t *experiment, const serve_policy_t *policy,
    const serve_result_t *result)
{
	double total_seconds =
	    (double)experiment->site->data_centres * experiment->site->engines *
	    experiment->site->accelerators * experiment->site->time_s;

	(void)printf("%-20s %7.2f%% %7.2f%% %7.2f%% %7.1f%% %7.2f%% %7llu "
		     "%7.2f%% %7.2f%%\n",
	    policy->name, 100 * on_time_fraction(result),
	    percentage(result->late_first_tokens, result->requests),
	    percentage(result->late_tokens, result->requests),
	    100 * result->on_time_seconds / total_seconds,
	    100 * worst_on_time(result), (unsigned long long)result->moves,
	    percentage(result->refused, result->requests),
	    result->overnight == 0
		? 100
		: 100.0 * result->overnight_on_time / result->overnight);
}

static void
print_loads(const experiment_t *experiment, double *best_baseline, double *ours)
{
	double clairvoyant = clairvoyant_load(experiment);
	size_t p;

	*best_baseline = 0;
	(void)printf("highest load with 95 in 100 on time, relative to "
		     "all accelerators busy\n");
	for (p = 0; p < POLICY_COUNT; p++) {
		double highest = highest_load(experiment, &policies[p]);

		(void)printf(
		    "%-20s %7.1f%%\n", policies[p].name, 100 * highest);
		if (p + 1 == POLICY_COUNT)
			*ours = highest;
		else if (highest > *best_baseline)
			*best_baseline = highest;
	}
	(void)printf("%-20s %7.1f%%\n", "clairvoyant bound", 100 * clairvoyant);
	(void)printf("ours / best baseline: %.2f (goal 1.50); of the bound: "
		     "%.0f%% (goal 90%%)\n",
	    *best_baseline > 0 ? *ours / *best_baseline : 0,
	    clairvoyant > 0 ? 100 * *ours / clairvoyant : 0);
}

static int
parse_options(experiment_t *experiment, int argc, char **argv)
{
	const char *fault = bench_option(argc, argv, "lose", "engine");
	int i;

	experiment->site =
	    serve_site_find(bench_option(argc, argv, "site", "harthy"));
	experiment->seed =
	    strtoull(bench_option(argc, argv, "seed", "1"), NULL, 10);
	experiment->fault = SERVE_FAULT_COUNT;
	for (i = 0; i < SERVE_FAULT_COUNT; i++) {
		if (strcmp(fault, serve_fault_names[i]) == 0)
			experiment->fault = (serve_fault_t)i;
	}
	return experiment->site == NULL ||
		       experiment->fault == SERVE_FAULT_COUNT
		   ? -1
		   : 0;
}

int
bench_serve(int argc, char **argv)
{
	experiment_t experiment = {0};
	double baseline = 0;
	double ours = 0;
	size_t p;

	if (parse_options(&experiment, argc, argv) != 0) {
		(void)fprintf(stderr,
		    "usage: almond-bench serve [--site=harthy|huilun|target] "
		    "[--lose=none|engine|data_centre] [--seed=N]\n");
		return 2;
	}
	experiment.bound_requests_s =
	    compute_bound(experiment.site, experiment.seed);
	(void)printf("%s: all accelerators busy at %.1f requests/s, seed %llu, "
		     "fault halfway: %s\n",
	    experiment.site->name, experiment.bound_requests_s,
	    (unsigned long long)experiment.seed,
	    serve_fault_names[experiment.fault]);
	print_loads(&experiment, &baseline, &ours);
	print_header("at the load of the best baseline");
	for (p = 0; p < POLICY_COUNT; p++) {
		serve_result_t result =
		    run_at(&experiment, &policies[p], baseline);

		print_row(&experiment, &policies[p], &result);
	}
	print_header("at 1.5 times that load");
	for (p = 0; p < POLICY_COUNT; p++) {
		serve_result_t result =
		    run_at(&experiment, &policies[p], 1.5 * baseline);

		print_row(&experiment, &policies[p], &result);
	}
	return 0;
}
