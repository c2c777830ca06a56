#include "soak/soak.h"

#include <stdlib.h>

#define QUIET_START_MS 4000u
#define GAP_MIN_MS 600u /* least longest gap between two steps */
#define SERIES_PERCENT 20u
#define PART_MIN_MS 14000u /* for which a part that crashes engines is sent */
#define PART_MORE_MS 10000u
#define LIMIT_MIN_MS 5000u /* for which a server names a limit */
#define LIMIT_MORE_MS 10000u
#define CUT_MIN_MS 5000u /* for which instances are cut from all servers */
#define CUT_MORE_MS 6000u
#define BRITTLE_MS 9000u    /* for which servers are brittle */
#define OUTAGE_MIN_MS 8000u /* of the store, beside restarts */
#define OUTAGE_MORE_MS 5000u

const char *const soak_kind_names[] = {"term", "kill", "freeze", "hang-up",
    "config", "backend-leaves", "backend-removed", "backend-crashes",
    "backend-rejects", "backend-silent", "store-outage", "store-loses-watches",
    "store-drops-history", "part-crashes", "server-limit", "cut", "pause",
    "brittle"};

/* How often each kind is drawn. */
static const uint32_t weights[SOAK_DRAWN_KINDS] = {
    6, 6, 6, 3, 8, 8, 3, 4, 10, 6, 1, 2, 1};

/* Each run has some kinds three times as often, and others not at all. */
static void
draw_weights(at_rng_t *rng, uint32_t drawn[SOAK_DRAWN_KINDS])
{
	static const uint32_t factors[] = {0, 1, 3};
	uint32_t kind;

	for (kind = 0; kind < SOAK_DRAWN_KINDS; kind++)
		drawn[kind] = weights[kind] * factors[at_rng_below(rng, 3)];
	drawn[SOAK_BACKEND_LEAVES] += weights[SOAK_BACKEND_LEAVES];
}

static soak_kind_t
draw_kind(at_rng_t *rng, const uint32_t run_weights[SOAK_DRAWN_KINDS])
{
	uint32_t total = 0;
	uint32_t drawn;
	uint32_t kind;

	for (kind = 0; kind < SOAK_DRAWN_KINDS; kind++)
		total += run_weights[kind];
	drawn = (uint32_t)at_rng_below(rng, total);
	for (kind = 0; drawn >= run_weights[kind]; kind++)
		drawn -= run_weights[kind];
	return (soak_kind_t)kind;
}

static uint32_t
draw_target(at_rng_t *rng, soak_kind_t kind, uint32_t instances)
{
	return (uint32_t)at_rng_below(
	    rng, kind <= SOAK_HANG_UP ? instances : SOAK_BACKENDS);
}

static void
add_step(soak_step_t **steps, size_t *count, const soak_step_t *step)
{
	if ((*count & (*count - 1)) == 0)
		*steps = realloc(
		    *steps, (*count == 0 ? 1 : 2 * *count) * sizeof(**steps));
	(*steps)[(*count)++] = *step;
}

static int
compare_steps(const void *a, const void *b)
{
	const soak_step_t *x = a;
	const soak_step_t *y = b;

	if (x->at_ms != y->at_ms)
		return x->at_ms < y->at_ms ? -1 : 1;
	if (x->kind != y->kind)
		return x->kind < y->kind ? -1 : 1;
	return (x->target > y->target) - (x->target < y->target);
}

/*
 * A series repeats a kind at all targets in turn, or at the same moment when
 * its spacing is 0.
 */
static void
add_series(soak_step_t **steps, size_t *count, at_rng_t *rng, soak_step_t step,
    uint32_t instances)
{
	static const uint32_t spacings_ms[] = {0, 200, 700, 1500};
	uint32_t spacing_ms = spacings_ms[at_rng_below(rng, 4)];
	uint32_t targets = step.kind <= SOAK_HANG_UP
			       ? instances
			       : SOAK_BACKENDS >> at_rng_below(rng, 2);
	uint32_t i;

	for (i = 0; i < targets; i++) {
		add_step(steps, count, &step);
		step.at_ms += spacing_ms;
		step.target =
		    (step.target + 1) %
		    (step.kind <= SOAK_HANG_UP ? instances : SOAK_BACKENDS);
	}
}

/* All instances are restarted, once or twice, while servers fail. */
static void
add_restarts(soak_step_t **steps, size_t *count, at_rng_t *rng,
    uint32_t after_ms, uint32_t instances)
{
	uint32_t rounds = 1u + (uint32_t)at_rng_below(rng, 2);
	soak_step_t step = {.at_ms = after_ms};

	while (rounds-- > 0) {
		step.kind = at_rng_below(rng, 2) == 0 ? SOAK_TERM : SOAK_KILL;
		step.at_ms += 500u + (uint32_t)at_rng_below(rng, 2500);
		add_series(steps, count, rng, step, instances);
	}
}

/*
 * In every second run, parts that crash engines come one after the other. They
 * have random numbers of their own, so that a seed keeps its other steps.
 */
static void
add_crash_parts(
    soak_step_t **steps, size_t *count, uint64_t seed, uint32_t duration_ms)
{
	at_rng_t rng = {~seed * 0x9e3779b97f4a7c15u};
	soak_step_t step = {.kind = SOAK_PART_CRASHES};

	if (at_rng_below(&rng, 2) == 0)
		return;
	step.at_ms = QUIET_START_MS + (uint32_t)at_rng_below(&rng, 4000);
	while (step.at_ms < duration_ms) {
		step.duration_ms =
		    PART_MIN_MS + (uint32_t)at_rng_below(&rng, PART_MORE_MS);
		add_step(steps, count, &step);
		step.at_ms +=
		    step.duration_ms + (uint32_t)at_rng_below(&rng, 8000);
	}
}

/* Limits that come, change and go, in two of three runs. */
static void
add_limits(
    soak_step_t **steps, size_t *count, uint64_t seed, uint32_t duration_ms)
{
	at_rng_t rng = {~seed * 0xd6e8feb86659fd93u};
	soak_step_t step = {.kind = SOAK_SERVER_LIMIT};

	if (at_rng_below(&rng, 3) == 0)
		return;
	step.at_ms = QUIET_START_MS + (uint32_t)at_rng_below(&rng, 3000);
	while (step.at_ms < duration_ms) {
		step.target = (uint32_t)at_rng_below(&rng, SOAK_BACKENDS);
		step.duration_ms =
		    LIMIT_MIN_MS + (uint32_t)at_rng_below(&rng, LIMIT_MORE_MS);
		add_step(steps, count, &step);
		step.at_ms += (uint32_t)at_rng_below(&rng, 5000);
	}
}

/* Some instances at once, in two of three runs. */
static void
add_cuts(soak_step_t **steps, size_t *count, uint64_t seed,
    uint32_t duration_ms, uint32_t instances)
{
	at_rng_t rng = {~seed * 0xa24baed4963ee407u};
	soak_step_t step = {.kind = SOAK_CUT};
	uint32_t i;

	if (instances < 2 || at_rng_below(&rng, 3) == 0)
		return;
	step.at_ms = QUIET_START_MS + (uint32_t)at_rng_below(&rng, 6000);
	while (step.at_ms + CUT_MIN_MS < duration_ms) {
		uint32_t cut = 1u + (uint32_t)at_rng_below(&rng, instances - 1);

		step.duration_ms =
		    CUT_MIN_MS + (uint32_t)at_rng_below(&rng, CUT_MORE_MS);
		step.target = (uint32_t)at_rng_below(&rng, instances);
		for (i = 0; i < cut; i++) {
			add_step(steps, count, &step);
			step.target = (step.target + 1u) % instances;
		}
		step.at_ms += step.duration_ms + 1000u +
			      (uint32_t)at_rng_below(&rng, 8000);
	}
}

/* Silences of a second, and times in which a service is brittle. */
static void
add_pauses(
    soak_step_t **steps, size_t *count, uint64_t seed, uint32_t duration_ms)
{
	at_rng_t rng = {~seed * 0xe7037ed1a0b428dbu};
	soak_step_t step = {.at_ms = QUIET_START_MS};

	while (step.at_ms < duration_ms) {
		step.kind =
		    at_rng_below(&rng, 4) == 0 ? SOAK_BRITTLE : SOAK_PAUSE;
		step.target = (uint32_t)at_rng_below(&rng, SOAK_BACKENDS);
		step.duration_ms =
		    step.kind == SOAK_BRITTLE
			? BRITTLE_MS
			: 800u + (uint32_t)at_rng_below(&rng, 400);
		add_step(steps, count, &step);
		step.at_ms += 500u + (uint32_t)at_rng_below(&rng, 7000) +
			      (step.kind == SOAK_BRITTLE ? BRITTLE_MS : 0);
	}
}

/* The store is away while all instances are restarted, in every second run. */
static void
add_outages(soak_step_t **steps, size_t *count, uint64_t seed,
    uint32_t duration_ms, uint32_t instances)
{
	at_rng_t rng = {~seed * 0x8ebc6af09c88c6e3u};
	soak_step_t outage = {.kind = SOAK_STORE_OUTAGE};

	if (at_rng_below(&rng, 2) == 0)
		return;
	outage.at_ms = QUIET_START_MS + (uint32_t)at_rng_below(&rng, 4000);
	while (outage.at_ms + OUTAGE_MIN_MS < duration_ms) {
		soak_step_t step = {.at_ms = outage.at_ms + 500u,
		    .kind = at_rng_below(&rng, 2) == 0 ? SOAK_TERM : SOAK_KILL,
		    .target = (uint32_t)at_rng_below(&rng, instances)};

		outage.duration_ms = OUTAGE_MIN_MS + (uint32_t)at_rng_below(
							 &rng, OUTAGE_MORE_MS);
		add_step(steps, count, &outage);
		add_series(steps, count, &rng, step, instances);
		outage.at_ms += outage.duration_ms + 4000u +
				(uint32_t)at_rng_below(&rng, 8000);
	}
}

soak_step_t *
soak_schedule_new(
    uint64_t seed, uint32_t duration_ms, uint32_t instances, size_t *step_count)
{
	at_rng_t rng = {seed};
	soak_step_t *steps = NULL;
	soak_step_t step = {.at_ms = QUIET_START_MS};

	uint32_t run_weights[SOAK_DRAWN_KINDS];
	uint32_t gap_max_ms = GAP_MIN_MS << at_rng_below(&rng, 4);
	int is_series;

	*step_count = 0;
	draw_weights(&rng, run_weights);
	while (step.at_ms < duration_ms) {
		step.kind = draw_kind(&rng, run_weights);
		step.target = draw_target(&rng, step.kind, instances);
		step.duration_ms = 200u + (uint32_t)at_rng_below(&rng, 4000);
		is_series = step.kind < SOAK_STORE_OUTAGE &&
			    at_rng_below(&rng, 100) < SERIES_PERCENT;
		if (is_series)
			add_series(&steps, step_count, &rng, step, instances);
		else
			add_step(&steps, step_count, &step);
		if (is_series &&
		    (step.kind == SOAK_BACKEND_REJECTS ||
			step.kind == SOAK_BACKEND_SILENT) &&
		    at_rng_below(&rng, 2) == 0)
			add_restarts(
			    &steps, step_count, &rng, step.at_ms, instances);
		step.at_ms += (uint32_t)at_rng_below(&rng, gap_max_ms);
	}
	add_crash_parts(&steps, step_count, seed, duration_ms);
	add_limits(&steps, step_count, seed, duration_ms);
	add_cuts(&steps, step_count, seed, duration_ms, instances);
	add_pauses(&steps, step_count, seed, duration_ms);
	add_outages(&steps, step_count, seed, duration_ms, instances);
	if (steps != NULL)
		qsort(steps, *step_count, sizeof(*steps), compare_steps);
	return steps;
}
