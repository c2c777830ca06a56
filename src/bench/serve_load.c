#include "bench/serve_load.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/ports.h"
#include "bench/sim_engine.h"

#define US_PER_S 1000000u
#define ZIPF_EXPONENT 0.8
#define POPULARITY_PERIOD_S 60.0 /* time until another model is popular */
#define POPULARITY_FACTOR 10.0
#define OUTPUT_MIN_TOKENS 8
#define OUTPUT_MEAN_TOKENS 150.0      /* added to the minimum */
#define PROMPT_TAIL_MEAN_TOKENS 250.0 /* after the shared prefix */
#define LONG_PROMPT_TOKENS 1500u      /* added to a long prompt */
#define LONG_PROMPT_FRACTION 0.03
#define OVERNIGHT_FRACTION 0.15
#define ADAPTER_FRACTION 0.4
#define PREFIX_COUNT 4u     /* of each workspace and target */
#define OVERLOAD_FACTOR 5.0 /* demand of workspace 0 in the middle third */
#define RATE_FACTOR 1.3     /* a workspace's rate over its mean demand */
#define BURST_S 20.0        /* a workspace's burst, in seconds of its rate */

static const serve_site_t sites[] = {
    {"harthy", 3, 4, 1, 20, 80, 2, 8, 60, 300},
    {"huilun", 4, 2, 1, 17, 55, 2, 5, 40, 300},
    {"target", 1, 122, 8, 1200, 600, 2, 64, 60, 20},
};

/* State of the generation of one load. */
typedef struct generator {
	const serve_site_t *site;
	at_rng_t rng;
	double *weights; /* of models, in the present period */
	double weight_sum;
	uint32_t period; /* number of the popularity period */
	double bucket_tokens[SERVE_WORKSPACES]; /* level of each bucket */
	double tokens_s[SERVE_WORKSPACES];      /* rate of each workspace */
	double last_s; /* when the buckets were refilled last */
} generator_t;

static const double workspace_fraction[SERVE_WORKSPACES] = {
    0.35, 0.25, 0.2, 0.12, 0.08};

const serve_site_t *
serve_site_find(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(sites) / sizeof(sites[0]); i++) {
		if (strcmp(sites[i].name, name) == 0)
			return &sites[i];
	}
	return NULL;
}

void
serve_target_name(
    const serve_site_t *site, uint32_t target, char name[AT_NAME_SIZE])
{
	if (target < site->models)
		(void)snprintf(name, AT_NAME_SIZE, "model-%u", target);
	else
		(void)snprintf(
		    name, AT_NAME_SIZE, "adapter-%u", target - site->models);
}

static uint32_t
model_mb(uint32_t model)
{
	static const uint32_t sizes[] = {
	    8000, 12000, 16000, 8000, 24000, 16000, 32000};

	return sizes[model % (sizeof(sizes) / sizeof(sizes[0]))];
}

at_config_t *
serve_config_new(const serve_site_t *site)
{
	char *text = NULL;
	size_t size = 0;
	FILE *json = open_memstream(&text, &size);
	at_status_t status;
	at_config_t *config;
	uint32_t i;
	const uint32_t data_centres = site->data_centres;
	const uint32_t models = site->models;
	uint32_t total = data_centres * site->engines;

	assert(data_centres > 0 && models > 0);

	(void)fprintf(json,
	    "{\"generation\":1,\"defaults\":{\"engine_tokens_s\":930},"
	    "\"data_centres\":[\"dc-0\"");
	for (i = 1; i < data_centres; i++)
		(void)fprintf(json, ",\"dc-%u\"", i);
	(void)fprintf(json, "],\"models\":[");
	for (i = 0; i < models; i++)
		(void)fprintf(json,
		    "%s{\"name\":\"model-%u\",\"memory_mb\":%u}",
		    i > 0 ? "," : "", i, model_mb(i));
	(void)fprintf(json, "],\"adapters\":[");
	for (i = 0; i < site->adapters; i++)
		(void)fprintf(json,
		    "%s{\"name\":\"adapter-%u\",\"model\":\"model-%u\","
		    "\"memory_mb\":100}",
		    i > 0 ? "," : "", i, i % models);
	(void)fprintf(json, "],\"engines\":[");
	for (i = 0; i < total; i++)
		(void)fprintf(json,
		    "%s{\"name\":\"engine-%u\",\"data_centre\":\"dc-%u\","
		    "\"accelerators\":%u,\"memory_mb\":%u}",
		    i > 0 ? "," : "", i, i % data_centres, site->accelerators,
		    80000 * site->accelerators);
	(void)fprintf(json, "]}");
	(void)fclose(json);
	at_status_clear(&status);
	config = at_config_parse(text, size, &status);
	if (config == NULL)
		(void)fprintf(
		    stderr, "almond-bench serve: %s\n", status.message);
	free(text);
	return config;
}

static double
draw_uniform(generator_t *gen)
{
	return ((double)(at_rng_next(&gen->rng) >> 11) + 0.5) /
	       (double)(1ull << 53);
}

static double
draw_exponential(generator_t *gen, double mean)
{
	return -mean * log(draw_uniform(gen));
}

/* Sets the weights of models; in each period another one is popular. */
static void
update_popularity(generator_t *gen, double now_s)
{
	uint32_t period = (uint32_t)(now_s / POPULARITY_PERIOD_S);
	uint32_t m;

	if (gen->weight_sum > 0 && period == gen->period)
		return;
	gen->period = period;
	gen->weight_sum = 0;
	for (m = 0; m < gen->site->models; m++) {
		double weight = pow(m + 1.0, -ZIPF_EXPONENT);
		int is_popular = (m * 7 + 3) % gen->site->models ==
				 (period * 5) % gen->site->models;

		gen->weights[m] =
		    is_popular ? POPULARITY_FACTOR * weight : weight;
		gen->weight_sum += gen->weights[m];
	}
}

static uint32_t
draw_target(generator_t *gen)
{
	double x = draw_uniform(gen) * gen->weight_sum;
	uint32_t m = 0;
	uint32_t per_model = gen->site->adapters / gen->site->models;

	while (m + 1 < gen->site->models && x > gen->weights[m])
		x -= gen->weights[m++];
	if (per_model == 0 || draw_uniform(gen) > ADAPTER_FRACTION)
		return m;
	return gen->site->models + m +
	       gen->site->models * (uint32_t)at_rng_below(&gen->rng, per_model);
}

static uint32_t
draw_workspace(generator_t *gen, int is_overload)
{
	double added_fraction =
	    is_overload ? workspace_fraction[0] * (OVERLOAD_FACTOR - 1) : 0;
	double x = draw_uniform(gen) * (1 + added_fraction) - added_fraction;
	uint32_t w = 0;

	while (w + 1 < SERVE_WORKSPACES && x > workspace_fraction[w])
		x -= workspace_fraction[w++];
	return w;
}

/*
 * Takes the tokens of a request from its workspace's bucket. Returns non-zero
 * if the bucket has too few. One exact bucket stands for the shares, which
 * almond-bench limits measures.
 */
static int
debit_bucket(generator_t *gen, const serve_arrival_t *arrival)
{
	double cost = arrival->prompt_tokens + arrival->output_tokens;
	double *level_tokens = &gen->bucket_tokens[arrival->workspace];

	if (*level_tokens < cost)
		return 1;
	*level_tokens -= cost;
	return 0;
}

static void
refill_buckets(generator_t *gen, double now_s)
{
	uint32_t w;

	for (w = 0; w < SERVE_WORKSPACES; w++) {
		gen->bucket_tokens[w] +=
		    gen->tokens_s[w] * (now_s - gen->last_s);
		if (gen->bucket_tokens[w] > gen->tokens_s[w] * BURST_S)
			gen->bucket_tokens[w] = gen->tokens_s[w] * BURST_S;
	}
	gen->last_s = now_s;
}

static void
draw_arrival(
    generator_t *gen, serve_arrival_t *arrival, double now_s, int is_overload)
{
	uint32_t prefix;
	uint64_t hash;
	size_t i;

	arrival->at_us = (uint64_t)(now_s * US_PER_S);
	arrival->target = draw_target(gen);
	arrival->workspace = draw_workspace(gen, is_overload);
	arrival->router = (uint32_t)at_rng_below(
	    &gen->rng, gen->site->data_centres * gen->site->routers);
	arrival->output_tokens =
	    OUTPUT_MIN_TOKENS +
	    (uint32_t)draw_exponential(gen, OUTPUT_MEAN_TOKENS);
	arrival->prompt_tokens =
	    SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS +
	    (uint32_t)draw_exponential(gen, PROMPT_TAIL_MEAN_TOKENS);
	if (draw_uniform(gen) < LONG_PROMPT_FRACTION)
		arrival->prompt_tokens += LONG_PROMPT_TOKENS;
	arrival->priority = draw_uniform(gen) < OVERNIGHT_FRACTION
				? AT_PRIORITY_OVERNIGHT
				: AT_PRIORITY_INTERACTIVE;
	prefix = (uint32_t)at_rng_below(&gen->rng, PREFIX_COUNT);
	hash = ((uint64_t)arrival->target << 32) | (arrival->workspace << 8) |
	       prefix;
	for (i = 0; i < SERVE_PREFIX_BLOCKS; i++) {
		at_rng_t block_rng = {hash * SERVE_PREFIX_BLOCKS + i};

		arrival->prefix_hashes[i] = at_rng_next(&block_rng) | 1;
	}
	refill_buckets(gen, now_s);
	arrival->is_over_rate = debit_bucket(gen, arrival);
}

int
serve_load_generate(serve_load_t *load, const serve_site_t *site,
    double requests_s, uint64_t seed)
{
	generator_t gen = {.site = site, .rng = {seed}};
	double mean_tokens = OUTPUT_MEAN_TOKENS + OUTPUT_MIN_TOKENS +
			     PROMPT_TAIL_MEAN_TOKENS +
			     SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS +
			     LONG_PROMPT_FRACTION * LONG_PROMPT_TOKENS;
	size_t capacity = (size_t)(3 * requests_s * site->time_s) + 1000;
	double now_s = 0;
	uint32_t w;

	load->count = 0;
	load->arrivals = calloc(capacity, sizeof(*load->arrivals));
	gen.weights = calloc(site->models, sizeof(double));
	if (load->arrivals == NULL || gen.weights == NULL) {
		free(gen.weights);
		return -1;
	}
	for (w = 0; w < SERVE_WORKSPACES; w++) {
		gen.tokens_s[w] = requests_s * workspace_fraction[w] *
				  mean_tokens * RATE_FACTOR;
		gen.bucket_tokens[w] = gen.tokens_s[w] * BURST_S;
	}
	while (now_s < site->time_s && load->count < capacity) {
		int is_overload = now_s > site->time_s / 3.0 &&
				  now_s < 2.0 * site->time_s / 3;
		double factor = is_overload ? 1 + workspace_fraction[0] *
						      (OVERLOAD_FACTOR - 1)
					    : 1;

		update_popularity(&gen, now_s);
		draw_arrival(
		    &gen, &load->arrivals[load->count++], now_s, is_overload);
		now_s += draw_exponential(&gen, 1 / (requests_s * factor));
	}
	free(gen.weights);
	return 0;
}

void
serve_load_free(serve_load_t *load)
{
	free(load->arrivals);
	load->arrivals = NULL;
}

double
serve_least_seconds(const serve_arrival_t *arrival)
{
	double token_us =
	    SIM_TOKEN_US + (SIM_BATCH_MAX - 1) * SIM_TOKEN_PER_REQUEST_US;
	uint32_t cached = SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS;

	return (double)(arrival->prompt_tokens - cached) /
		   SIM_PREFILL_TOKENS_S +
	       arrival->output_tokens * token_us / SIM_BATCH_MAX / US_PER_S;
}
