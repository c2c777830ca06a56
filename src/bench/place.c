/*
 * almond-bench place: what one round of the planner costs, how it grows, and
 * how many moves it makes against a greedy planner under the same demand.
 */
#include "bench/bench.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "almondthread/orders.h"
#include "almondthread/placement.h"

#define TOKENS_S 1000u /* of one accelerator */
#define REQUEST_TOKENS 350u
#define TRACE_S 3600u
#define TENFOLD_EVERY_S 120u /* another model's demand rises or falls */
#define TIMED_ROUNDS 50u
#define DECISIONS 64u
#define SETTLE_S 3600u /* at the weight store's pace */

/* One data centre of a site. */
typedef struct size_row {
	const char *name;
	size_t engines;
	uint64_t engine_mb;
	size_t models;
	size_t adapters;
	double tokens_s;           /* of this data centre */
	uint32_t accelerators;     /* of each engine */
	uint32_t loads_per_1000_s; /* this data centre's share */
} size_row_t;

static const size_row_t sizes[] = {
    {"harthy", 5, 160000, 20, 80, 2000, 1, 667},
    {"huilun", 4, 160000, 17, 55, 1500, 1, 375},
    {"target/4", 31, 640000, 300, 1200, 95000, 8, 2000},
    {"target/2", 61, 640000, 600, 2400, 190000, 8, 2000},
    {"target", 122, 640000, 1200, 4800, 380000, 8, 2000},
    {"target*2", 244, 640000, 2400, 9600, 760000, 8, 4000},
};

/* A data centre whose engines do at once what they are told. */
typedef struct site {
	const size_row_t *size;
	at_config_t config;
	at_name_t data_centre;
	at_placement_t *placement;
	at_place_engine_t *engines;
	at_resident_t *residents;
	double *rate; /* requests a second, of each model */
	uint64_t now_ms;
	double load_credit;
	uint64_t loads;
	uint64_t unloads;
	double wanted_tokens;
	double served_tokens;
} site_t;

static void
name_it(at_name_t *name, const char *prefix, size_t number)
{
	(void)snprintf(name->text, sizeof(name->text), "%s%zu", prefix, number);
}

static void
fill_config(site_t *s, at_rng_t *rng)
{
	static const uint32_t model_mb[] = {
	    8000, 12000, 16000, 24000, 32000, 40000};
	at_config_t *c = &s->config;
	size_t i;

	name_it(&s->data_centre, "dc", 0);
	c->data_centres = &s->data_centre;
	c->data_centre_count = 1;
	c->defaults.min_replicas = 1;
	c->defaults.engine_tokens_s = TOKENS_S;
	c->model_count = s->size->models;
	c->adapter_count = s->size->adapters;
	c->engine_count = s->size->engines;
	c->models = calloc(c->model_count, sizeof(*c->models));
	c->adapters = calloc(c->adapter_count, sizeof(*c->adapters));
	c->engines = calloc(c->engine_count, sizeof(*c->engines));
	for (i = 0; i < c->model_count; i++) {
		name_it(&c->models[i].name, "model", i);
		c->models[i].version = 1;
		c->models[i].memory_mb = model_mb[at_rng_below(rng, 6)];
	}
	for (i = 0; i < c->adapter_count; i++) {
		name_it(&c->adapters[i].name, "adapter", i);
		c->adapters[i].model =
		    c->models[at_rng_below(rng, c->model_count)].name;
		c->adapters[i].version = 1;
		c->adapters[i].memory_mb = 100;
	}
	for (i = 0; i < c->engine_count; i++) {
		name_it(&c->engines[i].name, "engine", i);
		c->engines[i].data_centre = s->data_centre;
		c->engines[i].accelerators = s->size->accelerators;
		c->engines[i].memory_mb = s->size->engine_mb;
	}
}

static void
fill_engines(site_t *s)
{
	size_t i;

	s->engines = calloc(s->config.engine_count, sizeof(*s->engines));
	s->residents = calloc(
	    s->config.engine_count * AT_RESIDENTS_MAX, sizeof(*s->residents));
	for (i = 0; i < s->config.engine_count; i++) {
		at_place_engine_t *e = &s->engines[i];

		e->name = s->config.engines[i].name;
		e->accelerators = s->size->accelerators;
		e->capacity_mb = s->size->engine_mb;
		e->free_mb = e->capacity_mb;
		e->is_usable = 1;
		e->residents = &s->residents[i * AT_RESIDENTS_MAX];
	}
}

/* Demand by rank: a few models have most of it. */
static void
fill_rates(site_t *s)
{
	double sum = 0;
	size_t i;

	s->rate = calloc(s->size->models, sizeof(*s->rate));
	for (i = 0; i < s->size->models; i++)
		sum += 1 / (double)(i + 1);
	for (i = 0; i < s->size->models; i++)
		s->rate[i] = s->size->tokens_s / REQUEST_TOKENS /
			     ((double)(i + 1) * sum);
}

static site_t *
site_new(const size_row_t *size, at_placement_policy_t policy)
{
	site_t *s = calloc(1, sizeof(*s));
	at_rng_t rng = {7};

	s->size = size;
	s->now_ms = 1000;
	fill_config(s, &rng);
	fill_engines(s);
	fill_rates(s);
	s->placement = at_placement_new();
	at_placement_set_policy(s->placement, policy);
	(void)at_placement_set_config(
	    s->placement, &s->config, &s->data_centre);
	return s;
}

static void
site_delete(site_t *s)
{
	at_placement_delete(s->placement);
	free(s->config.models);
	free(s->config.adapters);
	free(s->config.engines);
	free(s->engines);
	free(s->residents);
	free(s->rate);
	free(s);
}

static at_place_engine_t *
find_engine(site_t *s, const at_name_t *name)
{
	return &s->engines[strtoul(name->text + strlen("engine"), NULL, 10)];
}

static size_t
find_resident(const at_place_engine_t *e, const at_order_t *order)
{
	size_t i;

	for (i = 0; i < e->resident_count; i++) {
		if (at_name_equal(&e->residents[i].model, &order->model) &&
		    at_name_equal(&e->residents[i].adapter, &order->adapter))
			break;
	}
	return i;
}

static int
takes_credit(site_t *s, const at_order_t *order)
{
	if (order->kind != AT_ORDER_LOAD_MODEL)
		return 1;
	if (s->load_credit < 1)
		return 0;
	s->load_credit -= 1;
	return 1;
}

/* Carries an order out as orders.h would allow it. */
static void
carry_out(site_t *s, const at_order_t *order, int count_moves)
{
	at_place_engine_t *e = find_engine(s, &order->engine);
	at_resident_t *residents =
	    &s->residents[(size_t)(e - s->engines) * AT_RESIDENTS_MAX];
	size_t at = find_resident(e, order);

	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		if (at < e->resident_count ||
		    e->resident_count == AT_RESIDENTS_MAX ||
		    e->free_mb < order->memory_mb || !takes_credit(s, order))
			return;
		residents[at].model = order->model;
		residents[at].adapter = order->adapter;
		residents[at].version = order->version;
		residents[at].memory_mb = order->memory_mb;
		e->resident_count++;
		e->free_mb -= order->memory_mb;
		s->loads += (uint64_t)count_moves;
		return;
	}
	if (at == e->resident_count)
		return;
	e->free_mb += residents[at].memory_mb;
	e->resident_count--;
	residents[at] = residents[e->resident_count];
	s->unloads += (uint64_t)count_moves;
}

static void
add_demand(site_t *s, at_rng_t *rng)
{
	size_t i;

	for (i = 0; i < s->size->models; i++) {
		double expected = s->rate[i];
		uint64_t requests = (uint64_t)expected;
		uint64_t n;

		/* Twice the mean or none at all, with the same mean. */
		if (expected - (double)requests >
		    (double)at_rng_below(rng, 1000) / 1000)
			requests++;
		if (at_rng_below(rng, 2) == 0)
			requests += (uint64_t)sqrt((double)requests);
		for (n = 0; n < requests; n++)
			at_placement_add_demand(s->placement,
			    s->config.models[i].name.text, REQUEST_TOKENS);
	}
}

/* What replicas give each model, up to half an engine each. */
static void
add_served(site_t *s)
{
	double share = (double)TOKENS_S * s->size->accelerators / 2;
	size_t i;

	for (i = 0; i < s->size->models; i++) {
		double wanted = s->rate[i] * REQUEST_TOKENS;
		const at_place_state_t *state = at_placement_state(
		    s->placement, s->config.models[i].name.text);
		double given = share * state->serving;

		s->wanted_tokens += wanted;
		s->served_tokens += given < wanted ? given : wanted;
	}
}

static double
site_round(site_t *s, int count_moves)
{
	at_decision_t decisions[DECISIONS];
	struct timespec begin;
	struct timespec end;
	size_t count;
	size_t i;

	s->now_ms += 1000;
	s->load_credit += (double)s->size->loads_per_1000_s / 1000;
	if (s->load_credit > 8)
		s->load_credit = 8;
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &begin);
	count = at_placement_plan(s->placement, s->now_ms, s->engines,
	    s->size->engines, NULL, 0, decisions, DECISIONS);
	(void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &end);
	for (i = 0; i < count; i++)
		carry_out(s, &decisions[i].order, count_moves);
	return (double)(end.tv_sec - begin.tv_sec) * 1e3 +
	       (double)(end.tv_nsec - begin.tv_nsec) / 1e6;
}

static void
settle(site_t *s, at_rng_t *rng)
{
	uint32_t second;

	for (second = 0; second < SETTLE_S; second++) {
		s->load_credit = 8; /* the first filling is not measured */
		add_demand(s, rng);
		(void)site_round(s, 0);
		if (second > 400 && s->size->engines > 60)
			break;
	}
}

static int
compare_ms(const void *a, const void *b)
{
	const double *x = a;
	const double *y = b;

	return (*x > *y) - (*x < *y);
}

static void
print_cost(const size_row_t *size)
{
	site_t *s = site_new(size, AT_PLACEMENT_STEADY);
	at_rng_t rng = {1};
	double ms[TIMED_ROUNDS];
	double empty = site_round(s, 0);
	size_t i;

	settle(s, &rng);
	for (i = 0; i < TIMED_ROUNDS; i++) {
		add_demand(s, &rng);
		ms[i] = site_round(s, 0);
	}
	qsort(ms, TIMED_ROUNDS, sizeof(*ms), compare_ms);
	(void)printf("%-9s %8zu %7zu %9zu %9.2f %9.2f %9.2f\n", size->name,
	    size->engines, size->models, size->adapters, empty,
	    ms[TIMED_ROUNDS / 2], ms[TIMED_ROUNDS - 1]);
	site_delete(s);
}

/* Every so often another model's demand moves tenfold, up or back. */
static void
move_tenfold(site_t *s, at_rng_t *rng, uint8_t *high)
{
	size_t i = at_rng_below(rng, s->size->models);

	s->rate[i] = high[i] ? s->rate[i] / 10 : s->rate[i] * 10;
	high[i] = !high[i];
}

static void
print_moves(const size_row_t *size, at_placement_policy_t policy)
{
	site_t *s = site_new(size, policy);
	at_rng_t rng = {2};
	uint8_t *high = calloc(size->models, 1);
	uint32_t second;

	settle(s, &rng);
	rng.state = 3;
	for (second = 0; second < TRACE_S; second++) {
		if (second % TENFOLD_EVERY_S == 0)
			move_tenfold(s, &rng, high);
		add_demand(s, &rng);
		(void)site_round(s, 1);
		add_served(s);
	}
	(void)printf("%-9s %-8s %8llu %8llu %10.4f\n", size->name,
	    at_placement_policy_names[policy], (unsigned long long)s->loads,
	    (unsigned long long)s->unloads,
	    s->served_tokens / s->wanted_tokens);
	free(high);
	site_delete(s);
}

int
bench_place(int argc, char **argv)
{
	const char *site = bench_option(argc, argv, "site", "all");
	size_t i;

	(void)printf("One round of the planner, processor time in ms\n");
	(void)printf("%-9s %8s %7s %9s %9s %9s %9s\n", "size", "engines",
	    "models", "adapters", "empty", "median", "longest");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		if (strcmp(site, "all") == 0 ||
		    strcmp(site, sizes[i].name) == 0)
			print_cost(&sizes[i]);
	}
	(void)printf("\nMoves in %u s; every %u s one model's demand moves "
		     "tenfold\n",
	    TRACE_S, TENFOLD_EVERY_S);
	(void)printf("%-9s %-8s %8s %8s %10s\n", "size", "policy", "loads",
	    "unloads", "served");
	for (i = 0; i < sizeof(sizes) / sizeof(sizes[0]); i++) {
		if (sizes[i].engines > 5 && strcmp(site, sizes[i].name) != 0)
			continue;
		if (strcmp(site, "all") != 0 &&
		    strcmp(site, sizes[i].name) != 0)
			continue;
		print_moves(&sizes[i], AT_PLACEMENT_STEADY);
		print_moves(&sizes[i], AT_PLACEMENT_GREEDY);
	}
	return 0;
}
