/*
 * almond-bench place: processor time of a planning round by the size of a data
 * centre, and number of moves compared with the greedy policy under the same
 * demand.
 */
#include "bench/bench.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "almondthread/orders.h"
#include "almondthread/placement.h"

#define ACCELERATOR_TOKENS_S 1000u  /* capacity of one accelerator */
#define REQUEST_TOKENS 350u         /* tokens of each request */
#define TRACE_S 3600u               /* time in which moves are counted */
#define DEMAND_CHANGE_PERIOD_S 120u /* between changes of demand */
#define MEASURED_ROUNDS 50u
#define DECISIONS_MAX 64u  /* decisions of one round */
#define LOAD_CREDIT_MAX 8  /* model loads that may start at once */
#define SETTLE_MAX_S 3600u /* longest time to load the initial models */

/* Size of one data centre of a site. */
typedef struct site_size {
	const char *name;
	size_t engines;
	uint64_t engine_mb;
	size_t models;
	size_t adapters;
	double tokens_s;           /* demand in this data centre */
	uint32_t accelerators;     /* of each engine */
	uint32_t loads_per_1000_s; /* part of the weight store's rate */
} site_size_t;

static const site_size_t sizes[] = {
    {"harthy", 5, 160000, 20, 80, 2000, 1, 667},
    {"huilun", 4, 160000, 17, 55, 1500, 1, 375},
    {"target/4", 31, 640000, 300, 1200, 95000, 8, 2000},
    {"target/2", 61, 640000, 600, 2400, 190000, 8, 2000},
    {"target", 122, 640000, 1200, 4800, 380000, 8, 2000},
    {"target*2", 244, 640000, 2400, 9600, 760000, 8, 4000},
};

/* A data centre whose engines execute orders at once. */
typedef struct site {
	const site_size_t *size;
	at_config_t config;
	at_name_t data_centre;
	at_placement_t *placement;
	at_place_engine_t *engines;
	at_resident_t *residents;
	double *requests_s; /* of each model */
	uint64_t now_ms;
	double load_credit; /* model loads that the weight store admits */
	uint64_t loads;
	uint64_t unloads;
	double requested_tokens;
	double served_tokens;
} site_t;

static void
set_name(at_name_t *name, const char *prefix, size_t number)
{
	(void)snprintf(name->text, sizeof(name->text), "%s%zu", prefix, number);
}

static void
fill_config(site_t *site, at_rng_t *rng)
{
	static const uint32_t model_mb[] = {
	    8000, 12000, 16000, 24000, 32000, 40000};
	at_config_t *config = &site->config;
	size_t i;

	set_name(&site->data_centre, "dc", 0);
	config->data_centres = &site->data_centre;
	config->data_centre_count = 1;
	config->defaults.min_replicas = 1;
	config->defaults.engine_tokens_s = ACCELERATOR_TOKENS_S;
	config->model_count = site->size->models;
	config->adapter_count = site->size->adapters;
	config->engine_count = site->size->engines;
	config->models = calloc(config->model_count, sizeof(*config->models));
	config->adapters =
	    calloc(config->adapter_count, sizeof(*config->adapters));
	config->engines =
	    calloc(config->engine_count, sizeof(*config->engines));
	for (i = 0; i < config->model_count; i++) {
		set_name(&config->models[i].name, "model", i);
		config->models[i].version = 1;
		config->models[i].memory_mb = model_mb[at_rng_below(rng, 6)];
	}
	for (i = 0; i < config->adapter_count; i++) {
		set_name(&config->adapters[i].name, "adapter", i);
		config->adapters[i].model =
		    config->models[at_rng_below(rng, config->model_count)].name;
		config->adapters[i].version = 1;
		config->adapters[i].memory_mb = 100;
	}
	for (i = 0; i < config->engine_count; i++) {
		set_name(&config->engines[i].name, "engine", i);
		config->engines[i].data_centre = site->data_centre;
		config->engines[i].accelerators = site->size->accelerators;
		config->engines[i].memory_mb = site->size->engine_mb;
	}
}

static void
fill_engines(site_t *site)
{
	size_t i;

	site->engines =
	    calloc(site->config.engine_count, sizeof(*site->engines));
	site->residents = calloc(site->config.engine_count * AT_RESIDENTS_MAX,
	    sizeof(*site->residents));
	for (i = 0; i < site->config.engine_count; i++) {
		at_place_engine_t *engine = &site->engines[i];

		engine->name = site->config.engines[i].name;
		engine->accelerators = site->size->accelerators;
		engine->capacity_mb = site->size->engine_mb;
		engine->free_mb = engine->capacity_mb;
		engine->is_usable = 1;
		engine->residents = &site->residents[i * AT_RESIDENTS_MAX];
	}
}

/* Divides the demand between models in proportion to 1/rank. */
static void
fill_rates(site_t *site)
{
	double sum = 0;
	size_t i;

	site->requests_s =
	    calloc(site->size->models, sizeof(*site->requests_s));
	for (i = 0; i < site->size->models; i++)
		sum += 1 / (double)(i + 1);
	for (i = 0; i < site->size->models; i++)
		site->requests_s[i] = site->size->tokens_s / REQUEST_TOKENS /
				      ((double)(i + 1) * sum);
}

static site_t *
site_new(const site_size_t *size, at_placement_policy_t policy)
{
	site_t *site = calloc(1, sizeof(*site));
	at_rng_t rng = {7};

	site->size = size;
	site->now_ms = 1000;
	fill_config(site, &rng);
	fill_engines(site);
	fill_rates(site);
	site->placement = at_placement_new();
	at_placement_set_policy(site->placement, policy);
	(void)at_placement_set_config(
	    site->placement, &site->config, &site->data_centre);
	return site;
}

static void
site_delete(site_t *site)
{
	at_placement_delete(site->placement);
	free(site->config.models);
	free(site->config.adapters);
	free(site->config.engines);
	free(site->engines);
	free(site->residents);
	free(site->requests_s);
	free(site);
}

/* Engines are named by their index. */
static at_place_engine_t *
find_engine(site_t *site, const at_name_t *name)
{
	return &site->engines[strtoul(name->text + strlen("engine"), NULL, 10)];
}

static size_t
find_resident(const at_place_engine_t *engine, const at_order_t *order)
{
	size_t i;

	for (i = 0; i < engine->resident_count; i++) {
		if (at_name_equal(&engine->residents[i].model, &order->model) &&
		    at_name_equal(
			&engine->residents[i].adapter, &order->adapter))
			break;
	}
	return i;
}

/* Returns non-zero if the weight store admits an order now. */
static int
take_load_credit(site_t *site, const at_order_t *order)
{
	if (order->kind != AT_ORDER_LOAD_MODEL)
		return 1;
	if (site->load_credit < 1)
		return 0;
	site->load_credit -= 1;
	return 1;
}

/* Executes an order if orders.h would send it. */
static void
execute_order(site_t *site, const at_order_t *order, int count_moves)
{
	at_place_engine_t *engine = find_engine(site, &order->engine);
	at_resident_t *residents =
	    &site->residents[(size_t)(engine - site->engines) *
			     AT_RESIDENTS_MAX];
	size_t index = find_resident(engine, order);

	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		if (index < engine->resident_count ||
		    engine->resident_count == AT_RESIDENTS_MAX ||
		    engine->free_mb < order->memory_mb ||
		    !take_load_credit(site, order))
			return;
		residents[index].model = order->model;
		residents[index].adapter = order->adapter;
		residents[index].version = order->version;
		residents[index].memory_mb = order->memory_mb;
		engine->resident_count++;
		engine->free_mb -= order->memory_mb;
		site->loads += (uint64_t)count_moves;
		return;
	}
	if (index == engine->resident_count)
		return;
	engine->free_mb += residents[index].memory_mb;
	engine->resident_count--;
	residents[index] = residents[engine->resident_count];
	site->unloads += (uint64_t)count_moves;
}

static void
add_demand(site_t *site, at_rng_t *rng)
{
	size_t i;

	for (i = 0; i < site->size->models; i++) {
		double mean_requests = site->requests_s[i];
		uint64_t requests = (uint64_t)mean_requests;
		uint64_t n;

		/*
		 * The mean is rounded up or down at random; in half of the
		 * rounds, the square root of the number is added.
		 */
		if (mean_requests - (double)requests >
		    (double)at_rng_below(rng, 1000) / 1000)
			requests++;
		if (at_rng_below(rng, 2) == 0)
			requests += (uint64_t)sqrt((double)requests);
		for (n = 0; n < requests; n++)
			at_placement_add_demand(site->placement,
			    site->config.models[i].name.text, REQUEST_TOKENS);
	}
}

/* Counts the demand that replicas serve, each with half an engine at most. */
static void
count_served(site_t *site)
{
	double replica_tokens_s =
	    (double)ACCELERATOR_TOKENS_S * site->size->accelerators / 2;
	size_t i;

	for (i = 0; i < site->size->models; i++) {
		double requested = site->requests_s[i] * REQUEST_TOKENS;
		const at_place_state_t *state = at_placement_state(
		    site->placement, site->config.models[i].name.text);
		double served = replica_tokens_s * state->serving;

		site->requested_tokens += requested;
		site->served_tokens += served < requested ? served : requested;
	}
}

/* Runs one planning round and returns its processor time in milliseconds. */
static double
plan_round(site_t *site, int count_moves)
{
	at_decision_t decisions[DECISIONS_MAX];
	struct timespec start;
	struct timespec end;
	size_t count;
	size_t i;

	site->now_ms += 1000;
	site->load_credit += (double)site->size->loads_per_1000_s / 1000;
	if (site->load_credit > LOAD_CREDIT_MAX)
		site->load_credit = LOAD_CREDIT_MAX;
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &start);
	count = at_placement_plan(site->placement, site->now_ms, site->engines,
	    site->size->engines, NULL, 0, decisions, DECISIONS_MAX);
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
	for (i = 0; i < count; i++)
		execute_order(site, &decisions[i].order, count_moves);
	return (double)(end.tv_sec - start.tv_sec) * 1e3 +
	       (double)(end.tv_nsec - start.tv_nsec) / 1e6;
}

/*
 * Runs rounds until the initial models are loaded. Sites of more than 60
 * engines get about 400 rounds.
 */
static void
settle(site_t *site, at_rng_t *rng)
{
	uint32_t second;

	for (second = 0; second < SETTLE_MAX_S; second++) {
		/* The weight store does not limit the initial loads. */
		site->load_credit = LOAD_CREDIT_MAX;
		add_demand(site, rng);
		(void)plan_round(site, 0);
		if (second > 400 && site->size->engines > 60)
			break;
	}
}

static int
compare_values(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

static void
print_cost(const site_size_t *size)
{
	site_t *site = site_new(size, AT_PLACEMENT_STEADY);
	at_rng_t rng = {1};
	double round_ms[MEASURED_ROUNDS];
	double empty_ms = plan_round(site, 0);
	size_t i;

	settle(site, &rng);
	for (i = 0; i < MEASURED_ROUNDS; i++) {
		add_demand(site, &rng);
		round_ms[i] = plan_round(site, 0);
	}
	qsort(round_ms, MEASURED_ROUNDS, sizeof(*round_ms), compare_values);
	(void)printf("%-9s %8zu %7zu %9zu %9.2f %9.2f %9.2f\n", size->name,
	    size->engines, size->models, size->adapters, empty_ms,
	    round_ms[MEASURED_ROUNDS / 2], round_ms[MEASURED_ROUNDS - 1]);
	site_delete(site);
}

/* Raises the demand for a random model tenfold, or undoes that. */
static void
change_demand(site_t *site, at_rng_t *rng, uint8_t *is_raised)
{
	size_t i = at_rng_below(rng, site->size->models);

	site->requests_s[i] =
	    is_raised[i] ? site->requests_s[i] / 10 : site->requests_s[i] * 10;
	is_raised[i] = !is_raised[i];
}

static void
print_moves(const site_size_t *size, at_placement_policy_t policy)
{
	site_t *site = site_new(size, policy);
	at_rng_t rng = {2};
	uint8_t *is_raised = calloc(size->models, 1);
	uint32_t second;

	settle(site, &rng);
	rng.state = 3;
	for (second = 0; second < TRACE_S; second++) {
		if (second % DEMAND_CHANGE_PERIOD_S == 0)
			change_demand(site, &rng, is_raised);
		add_demand(site, &rng);
		(void)plan_round(site, 1);
		count_served(site);
	}
	(void)printf("%-9s %-8s %8llu %8llu %10.4f\n", size->name,
	    at_placement_policy_names[policy], (unsigned long long)site->loads,
	    (unsigned long long)site->unloads,
	    site->served_tokens / site->requested_tokens);
	free(is_raised);
	site_delete(site);
}

int
bench_place(int argc, char **argv)
{
	const char *site_name = bench_option(argc, argv, "site", "all");
	size_t i;

	(void)printf("Processor time of one planning round, in ms\n");
	(void)printf("%-9s %8s %7s %9s %9s %9s %9s\n", "size", "engines",
	    "models", "adapters", "empty", "median", "longest");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		if (strcmp(site_name, "all") == 0 ||
		    strcmp(site_name, sizes[i].name) == 0)
			print_cost(&sizes[i]);
	}
	(void)printf("\nMoves in %u s; every %u s the demand for one model "
		     "rises or falls tenfold\n",
	    TRACE_S, DEMAND_CHANGE_PERIOD_S);
	(void)printf("%-9s %-8s %8s %8s %10s\n", "size", "policy", "loads",
	    "unloads", "served");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		if (sizes[i].engines > 5 &&
		    strcmp(site_name, sizes[i].name) != 0)
			continue;
		if (strcmp(site_name, "all") != 0 &&
		    strcmp(site_name, sizes[i].name) != 0)
			continue;
		print_moves(&sizes[i], AT_PLACEMENT_STEADY);
		print_moves(&sizes[i], AT_PLACEMENT_GREEDY);
	}
	return 0;
}
