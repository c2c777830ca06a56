/*
 * Demand served on time: the real placement and routing machines over small
 * engine fakes, beside the baselines, with the same arrivals for each. The
 * load of each policy is raised until 95 in 100 are no longer on time.
 */
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bench/serve_run.h"

#define ON_TIME_GOAL 0.95
#define LOAD_STEPS 7 /* halvings in the search for the highest load */
#define US_PER_S 1000000u
#define LOAD_HIGH 1.3 /* of the bound */

static const policy_t policies[] = {
    {"random", CHOOSE_RANDOM, AT_PLACEMENT_STEADY, 1},
    {"fewest outstanding", CHOOSE_FEWEST, AT_PLACEMENT_STEADY, 1},
    {"static, round robin", CHOOSE_ROUND_ROBIN, AT_PLACEMENT_STEADY, 0},
    {"no affinity", CHOOSE_NO_AFFINITY, AT_PLACEMENT_STEADY, 1},
    {"greedy placement", CHOOSE_OURS, AT_PLACEMENT_GREEDY, 1},
    {"ours", CHOOSE_OURS, AT_PLACEMENT_STEADY, 1},
};

#define POLICY_COUNT (sizeof(policies) / sizeof(policies[0]))

typedef struct plan {
	const serve_site_t *site;
	serve_loss_t loss;
	uint64_t seed;
	double bound_s; /* requests a second that capacity allows at best */
} plan_t;

/* Requests a second at which the accelerators are busy all the time. */
static double
bound_of(const serve_site_t *site, uint64_t seed)
{
	double accelerators =
	    (double)site->data_centres * site->engines * site->accelerators;
	serve_load_t load;
	double seconds = 0;
	size_t i;

	if (serve_load_make(&load, site, 10, seed) != 0)
		return 0;
	for (i = 0; i < load.count; i++)
		seconds += serve_seconds(&load.arrivals[i]);
	seconds /= (double)load.count;
	serve_load_free(&load);
	return accelerators / seconds;
}

static result_t
run_at(const plan_t *plan, const policy_t *policy, double part)
{
	serve_load_t load;
	result_t result;

	memset(&result, 0, sizeof(result));
	if (serve_load_make(
		&load, plan->site, part * plan->bound_s, plan->seed) == 0)
		result = serve_run(
		    plan->site, policy, &load, plan->loss, plan->seed);
	serve_load_free(&load);
	return result;
}

static double
on_time(const result_t *r)
{
	return r->asked == 0 ? 0 : (double)r->on_time / r->asked;
}

static double
worst(const result_t *r)
{
	double least = 1;
	uint32_t w;

	/* Workspace 0 asks for five times its rate; the others do not. */
	for (w = 1; w < SERVE_WORKSPACES; w++) {
		double part = r->asked_by[w] == 0
				  ? 1
				  : (double)r->on_time_by[w] / r->asked_by[w];

		if (part < least)
			least = part;
	}
	return least;
}

static double
highest_load(const plan_t *plan, const policy_t *policy)
{
	double low = 0;
	double high = LOAD_HIGH;
	int step;

	for (step = 0; step < LOAD_STEPS; step++) {
		double middle = (low + high) / 2;
		result_t r = run_at(plan, policy, middle);

		if (on_time(&r) >= ON_TIME_GOAL)
			low = middle;
		else
			high = middle;
	}
	return low;
}

/*
 * What a scheduler that knows the future and moves nothing could serve: in
 * each second as much interactive work as the accelerators have time for.
 */
static double
clairvoyant_on_time(const plan_t *plan, double part)
{
	double accelerators = (double)plan->site->data_centres *
			      plan->site->engines * plan->site->accelerators;
	serve_load_t load;
	double asked = 0;
	double served = 0;
	double second = 0;
	uint64_t now_s = 0;
	size_t i;

	if (serve_load_make(
		&load, plan->site, part * plan->bound_s, plan->seed) != 0)
		return 0;
	for (i = 0; i < load.count; i++) {
		const serve_arrival_t *a = &load.arrivals[i];

		if (a->over_rate || a->priority == AT_PRIORITY_OVERNIGHT)
			continue;
		if (a->at_us / US_PER_S != now_s) {
			now_s = a->at_us / US_PER_S;
			served += second < accelerators ? second : accelerators;
			second = 0;
		}
		second += serve_seconds(a);
		asked += serve_seconds(a);
	}
	served += second < accelerators ? second : accelerators;
	serve_load_free(&load);
	return asked > 0 ? served / asked : 0;
}

static double
clairvoyant_load(const plan_t *plan)
{
	double low = 0;
	double high = LOAD_HIGH;
	int step;

	for (step = 0; step < LOAD_STEPS; step++) {
		double middle = (low + high) / 2;

		if (clairvoyant_on_time(plan, middle) >= ON_TIME_GOAL)
			low = middle;
		else
			high = middle;
	}
	return low;
}

static double
percent(uint32_t part, uint32_t of)
{
	return of == 0 ? 0 : 100.0 * part / of;
}

static void
print_head(const char *title)
{
	(void)printf("\n%s\n%-20s %8s %8s %8s %8s %8s %7s %8s %8s\n", title,
	    "policy", "on time", "first", "tokens", "busy", "worst", "moves",
	    "refused", "night");
}

/*
 * first, tokens: late in the first token, or between tokens.
 * busy: accelerators' time in answers on time, of all their time, each
 * answer at its least cost.
 */
static void
print_row(const plan_t *plan, const policy_t *policy, const result_t *r)
{
	double all = (double)plan->site->data_centres * plan->site->engines *
		     plan->site->accelerators * plan->site->time_s;

	(void)printf("%-20s %7.2f%% %7.2f%% %7.2f%% %7.1f%% %7.2f%% %7llu "
		     "%7.2f%% %7.2f%%\n",
	    policy->name, 100 * on_time(r), percent(r->late_first, r->asked),
	    percent(r->late_token, r->asked), 100 * r->seconds_on_time / all,
	    100 * worst(r), (unsigned long long)r->moves,
	    percent(r->refused, r->asked),
	    r->night == 0 ? 100 : 100.0 * r->night_done / r->night);
}

static void
print_loads(const plan_t *plan, double *best_baseline, double *ours)
{
	double bound = clairvoyant_load(plan);
	size_t p;

	*best_baseline = 0;
	(void)printf(
	    "highest load with 95 in 100 on time, of all accelerators busy\n");
	for (p = 0; p < POLICY_COUNT; p++) {
		double load = highest_load(plan, &policies[p]);

		(void)printf("%-20s %7.1f%%\n", policies[p].name, 100 * load);
		if (p + 1 == POLICY_COUNT)
			*ours = load;
		else if (load > *best_baseline)
			*best_baseline = load;
	}
	(void)printf("%-20s %7.1f%%\n", "clairvoyant bound", 100 * bound);
	(void)printf("ours / best baseline: %.2f (goal 1.50); of the bound: "
		     "%.0f%% (goal 90%%)\n",
	    *best_baseline > 0 ? *ours / *best_baseline : 0,
	    bound > 0 ? 100 * *ours / bound : 0);
}

static int
parse(plan_t *plan, int argc, char **argv)
{
	const char *loss = bench_option(argc, argv, "lose", "engine");
	int i;

	plan->site =
	    serve_site_find(bench_option(argc, argv, "site", "harthy"));
	plan->seed = strtoull(bench_option(argc, argv, "seed", "1"), NULL, 10);
	plan->loss = SERVE_LOSS_COUNT;
	for (i = 0; i < SERVE_LOSS_COUNT; i++) {
		if (strcmp(loss, serve_loss_names[i]) == 0)
			plan->loss = (serve_loss_t)i;
	}
	return plan->site == NULL || plan->loss == SERVE_LOSS_COUNT ? -1 : 0;
}

int
bench_serve(int argc, char **argv)
{
	plan_t plan = {0};
	double baseline = 0;
	double ours = 0;
	size_t p;

	if (parse(&plan, argc, argv) != 0) {
		(void)fprintf(stderr,
		    "usage: almond-bench serve [--site=harthy|huilun|target] "
		    "[--lose=none|engine|data_centre] [--seed=N]\n");
		return 2;
	}
	plan.bound_s = bound_of(plan.site, plan.seed);
	(void)printf(
	    "%s: all busy at %.1f requests/s, seed %llu, lost halfway: %s\n",
	    plan.site->name, plan.bound_s, (unsigned long long)plan.seed,
	    serve_loss_names[plan.loss]);
	print_loads(&plan, &baseline, &ours);
	print_head("at the load of the best baseline");
	for (p = 0; p < POLICY_COUNT; p++) {
		result_t r = run_at(&plan, &policies[p], baseline);

		print_row(&plan, &policies[p], &r);
	}
	print_head("at 1.5 times that load");
	for (p = 0; p < POLICY_COUNT; p++) {
		result_t r = run_at(&plan, &policies[p], 1.5 * baseline);

		print_row(&plan, &policies[p], &r);
	}
	return 0;
}
