#include "bench/serve_load.h"

#include <assert.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/ports.h"
#include "bench/sim_engine.h"

#define US_PER_S 1000000u
#define ZIPF_POWER 0.8
#define MOVE_EVERY_S 60.0 /* one model becomes hot or cool again */
#define MOVE_FACTOR 10.0
#define OUT_MEAN_TOKENS 150.0
#define TAIL_MEAN_TOKENS 250.0
#define LONG_PROMPT_TOKENS 1500u
#define LONG_PROMPT_PART 0.03
#define OVERNIGHT_PART 0.15
#define ADAPTER_PART 0.4
#define PREFIXES 4u /* of each workspace and model */
#define EAGER_FACTOR 5.0
#define RATE_ROOM 1.3 /* a workspace's rate over its mean demand */
#define BURST_S 20.0  /* a workspace's burst in seconds of its rate */

static const serve_site_t sites[] = {
    {"harthy", 3, 4, 1, 20, 80, 2, 8, 60, 300},
    {"huilun", 4, 2, 1, 17, 55, 2, 5, 40, 300},
    {"target", 1, 122, 8, 1200, 600, 2, 64, 60, 20},
};

/* The draw of one load. */
typedef struct draw {
	const serve_site_t *site;
	at_rng_t rng;
	double *weights; /* of models, moving */
	double sum;
	uint32_t step;                   /* of the demand's moves */
	double tokens[SERVE_WORKSPACES]; /* in each workspace's bucket */
	double rate[SERVE_WORKSPACES];   /* tokens a second */
	double last_s;
} draw_t;

static const double workspace_part[SERVE_WORKSPACES] = {
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
serve_target(const serve_site_t *site, uint32_t target, char name[AT_NAME_SIZE])
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
serve_config(const serve_site_t *site)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);
	at_status_t status;
	at_config_t *config;
	uint32_t i;
	const uint32_t data_centres = site->data_centres;
	const uint32_t models = site->models;
	uint32_t total = data_centres * site->engines;

	assert(data_centres > 0 && models > 0);

	(void)fprintf(out,
	    "{\"generation\":1,\"defaults\":{\"engine_tokens_s\":930},"
	    "\"data_centres\":[\"dc-0\"");
	for (i = 1; i < data_centres; i++)
		(void)fprintf(out, ",\"dc-%u\"", i);
	(void)fprintf(out, "],\"models\":[");
	for (i = 0; i < models; i++)
		(void)fprintf(out, "%s{\"name\":\"model-%u\",\"memory_mb\":%u}",
		    i > 0 ? "," : "", i, model_mb(i));
	(void)fprintf(out, "],\"adapters\":[");
	for (i = 0; i < site->adapters; i++)
		(void)fprintf(out,
		    "%s{\"name\":\"adapter-%u\",\"model\":\"model-%u\","
		    "\"memory_mb\":100}",
		    i > 0 ? "," : "", i, i % models);
	(void)fprintf(out, "],\"engines\":[");
	for (i = 0; i < total; i++)
		(void)fprintf(out,
		    "%s{\"name\":\"engine-%u\",\"data_centre\":\"dc-%u\","
		    "\"accelerators\":%u,\"memory_mb\":%u}",
		    i > 0 ? "," : "", i, i % data_centres, site->accelerators,
		    80000 * site->accelerators);
	(void)fprintf(out, "]}");
	(void)fclose(out);
	at_status_clear(&status);
	config = at_config_parse(text, size, &status);
	if (config == NULL)
		(void)fprintf(stderr, "serve: %s\n", status.message);
	free(text);
	return config;
}

static double
uniform(draw_t *d)
{
	return ((double)(at_rng_next(&d->rng) >> 11) + 0.5) /
	       (double)(1ull << 53);
}

static double
exponential(draw_t *d, double mean)
{
	return -mean * log(uniform(d));
}

/* One model in turn becomes hot for a time, then falls back. */
static void
move_demand(draw_t *d, double now_s)
{
	uint32_t step = (uint32_t)(now_s / MOVE_EVERY_S);
	uint32_t m;

	if (d->sum > 0 && step == d->step)
		return;
	d->step = step;
	d->sum = 0;
	for (m = 0; m < d->site->models; m++) {
		double base = pow(m + 1.0, -ZIPF_POWER);
		int hot = (m * 7 + 3) % d->site->models ==
			  (step * 5) % d->site->models;

		d->weights[m] = hot ? MOVE_FACTOR * base : base;
		d->sum += d->weights[m];
	}
}

static uint32_t
draw_target(draw_t *d)
{
	double x = uniform(d) * d->sum;
	uint32_t m = 0;
	uint32_t per_model = d->site->adapters / d->site->models;

	while (m + 1 < d->site->models && x > d->weights[m])
		x -= d->weights[m++];
	if (per_model == 0 || uniform(d) > ADAPTER_PART)
		return m;
	return d->site->models + m +
	       d->site->models * (uint32_t)at_rng_below(&d->rng, per_model);
}

static uint32_t
draw_workspace(draw_t *d, int eager)
{
	double extra = eager ? workspace_part[0] * (EAGER_FACTOR - 1) : 0;
	double x = uniform(d) * (1 + extra) - extra;
	uint32_t w = 0;

	while (w + 1 < SERVE_WORKSPACES && x > workspace_part[w])
		x -= workspace_part[w++];
	return w;
}

/* A perfect bucket in the place of the shares, which others measure. */
static int
is_over_rate(draw_t *d, const serve_arrival_t *a)
{
	double cost = a->prompt_tokens + a->out_tokens;
	double *level = &d->tokens[a->workspace];

	if (*level < cost)
		return 1;
	*level -= cost;
	return 0;
}

static void
fill_buckets(draw_t *d, double now_s)
{
	uint32_t w;

	for (w = 0; w < SERVE_WORKSPACES; w++) {
		d->tokens[w] += d->rate[w] * (now_s - d->last_s);
		if (d->tokens[w] > d->rate[w] * BURST_S)
			d->tokens[w] = d->rate[w] * BURST_S;
	}
	d->last_s = now_s;
}

static void
draw_arrival(draw_t *d, serve_arrival_t *a, double now_s, int eager)
{
	uint32_t prefix;
	uint64_t hash;
	size_t i;

	a->at_us = (uint64_t)(now_s * US_PER_S);
	a->target = draw_target(d);
	a->workspace = draw_workspace(d, eager);
	a->router = (uint32_t)at_rng_below(
	    &d->rng, d->site->data_centres * d->site->routers);
	a->out_tokens = 8 + (uint32_t)exponential(d, OUT_MEAN_TOKENS);
	a->prompt_tokens = SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS +
			   (uint32_t)exponential(d, TAIL_MEAN_TOKENS);
	if (uniform(d) < LONG_PROMPT_PART)
		a->prompt_tokens += LONG_PROMPT_TOKENS;
	a->priority = uniform(d) < OVERNIGHT_PART ? AT_PRIORITY_OVERNIGHT
						  : AT_PRIORITY_INTERACTIVE;
	prefix = (uint32_t)at_rng_below(&d->rng, PREFIXES);
	hash = ((uint64_t)a->target << 32) | (a->workspace << 8) | prefix;
	for (i = 0; i < SERVE_PREFIX_BLOCKS; i++) {
		at_rng_t mix = {hash * SERVE_PREFIX_BLOCKS + i};

		a->prefix_hashes[i] = at_rng_next(&mix) | 1;
	}
	fill_buckets(d, now_s);
	a->over_rate = is_over_rate(d, a);
}

int
serve_load_make(serve_load_t *load, const serve_site_t *site, double requests_s,
    uint64_t seed)
{
	draw_t d = {.site = site, .rng = {seed}};
	double mean_tokens = OUT_MEAN_TOKENS + 8 + TAIL_MEAN_TOKENS +
			     SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS +
			     LONG_PROMPT_PART * LONG_PROMPT_TOKENS;
	size_t room = (size_t)(3 * requests_s * site->time_s) + 1000;
	double now_s = 0;
	uint32_t w;

	load->count = 0;
	load->arrivals = calloc(room, sizeof(*load->arrivals));
	d.weights = calloc(site->models, sizeof(double));
	if (load->arrivals == NULL || d.weights == NULL) {
		free(d.weights);
		return -1;
	}
	for (w = 0; w < SERVE_WORKSPACES; w++) {
		d.rate[w] =
		    requests_s * workspace_part[w] * mean_tokens * RATE_ROOM;
		d.tokens[w] = d.rate[w] * BURST_S;
	}
	while (now_s < site->time_s && load->count < room) {
		int eager = now_s > site->time_s / 3.0 &&
			    now_s < 2.0 * site->time_s / 3;
		double factor =
		    eager ? 1 + workspace_part[0] * (EAGER_FACTOR - 1) : 1;

		move_demand(&d, now_s);
		draw_arrival(&d, &load->arrivals[load->count++], now_s, eager);
		now_s += exponential(&d, 1 / (requests_s * factor));
	}
	free(d.weights);
	return 0;
}

void
serve_load_free(serve_load_t *load)
{
	free(load->arrivals);
	load->arrivals = NULL;
}

double
serve_seconds(const serve_arrival_t *a)
{
	double token_us =
	    FAKE_TOKEN_US + (FAKE_BATCH_MAX - 1) * FAKE_TOKEN_MORE_US;
	uint32_t cached = SERVE_PREFIX_BLOCKS * AT_PREFIX_BLOCK_TOKENS;

	return (double)(a->prompt_tokens - cached) / FAKE_PREFILL_TOKENS_S +
	       a->out_tokens * token_us / FAKE_BATCH_MAX / US_PER_S;
}
