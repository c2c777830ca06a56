/*
 * Cost of one routing decision and of one engine report, by the numbers of
 * engines and models.
 */
#include "bench/bench.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/ports.h"
#include "almondthread/router.h"
#include "io/clock.h"

#define DECISION_COUNT 200000u
#define REPORT_COUNT 20000u
#define RESIDENTS_PER_ENGINE 40u
#define PROMPT_BLOCKS 16u

/* Size of a fleet. The models are spread evenly over the engines. */
typedef struct fleet_size {
	uint32_t engines;
	uint32_t models;
} fleet_size_t;

static const fleet_size_t sizes[] = {
    {12, 20}, {40, 400}, {122, 1200}, {244, 1200}, {610, 1200}};

static void
fill_view(at_engine_view_t *view, at_resident_t *residents, uint32_t engine,
    const fleet_size_t *size, uint64_t now_ms)
{
	uint32_t i;

	memset(view, 0, sizeof(*view));
	(void)snprintf(view->name.text, AT_NAME_SIZE, "engine-%u", engine);
	(void)at_name_set(&view->data_centre, "here");
	view->residents = residents;
	view->resident_count = RESIDENTS_PER_ENGINE;
	view->incarnation = 1;
	view->report_at_ms = now_ms;
	view->running = engine % 13;
	for (i = 0; i < RESIDENTS_PER_ENGINE; i++) {
		memset(&residents[i], 0, sizeof(residents[i]));
		(void)snprintf(residents[i].model.text, AT_NAME_SIZE,
		    "model-%u",
		    (engine * RESIDENTS_PER_ENGINE + i) % size->models);
	}
}

/* Returns the mean time to apply an engine report. */
static double
measure_report_us(
    at_router_t *router, const fleet_size_t *size, at_resident_t *residents)
{
	at_engine_view_t view;
	uint64_t start_us;
	uint64_t elapsed_us = 0;
	uint32_t i;

	for (i = 0; i < REPORT_COUNT; i++) {
		fill_view(&view, residents, i % size->engines, size,
		    1 + i / size->engines);
		start_us = at_clock_now_us();
		(void)at_router_apply_report(router, &view);
		elapsed_us += at_clock_now_us() - start_us;
	}
	return (double)elapsed_us / REPORT_COUNT;
}

/* Returns the mean time to choose an engine and note the request's end. */
static double
measure_decision_us(
    at_router_t *router, const fleet_size_t *size, at_rng_t *rng)
{
	uint64_t hashes[PROMPT_BLOCKS];
	char target[AT_NAME_SIZE];
	at_route_request_t request = {.target = target,
	    .prompt_tokens = 2000,
	    .prefix_hashes = hashes,
	    .prefix_count = PROMPT_BLOCKS};
	at_route_choice_t choice;
	uint64_t start_us = at_clock_now_us();
	uint32_t i;
	uint32_t h;

	for (i = 0; i < DECISION_COUNT; i++) {
		(void)snprintf(target, sizeof(target), "model-%u",
		    (uint32_t)at_rng_below(rng, size->models));
		for (h = 0; h < PROMPT_BLOCKS; h++)
			hashes[h] = at_rng_next(rng) | 1;
		if (at_router_choose(router, &request, 100, &choice) !=
		    AT_REASON_NONE)
			continue;
		at_router_note_sent(router, &request, &choice, 100);
		at_router_note_ended(router, &choice, 0, 100);
	}
	return (double)(at_clock_now_us() - start_us) / DECISION_COUNT;
}

int
bench_route(int argc, char **argv)
{
	at_resident_t residents[RESIDENTS_PER_ENGINE];
	at_name_t data_centre;
	size_t s;

	(void)argc;
	(void)argv;
	(void)at_name_set(&data_centre, "here");
	(void)printf("%8s %8s %10s %14s %14s\n", "engines", "models",
	    "replicas", "us/decision", "us/report");
	for (s = 0; s < sizeof(sizes) / sizeof(sizes[0]); s++) {
		at_router_t *router = at_router_new(&data_centre, 1);
		at_rng_t rng = {1};
		double report_us;

		if (router == NULL)
			return 1;
		report_us = measure_report_us(router, &sizes[s], residents);
		(void)printf("%8u %8u %10.1f %14.2f %14.2f\n", sizes[s].engines,
		    sizes[s].models,
		    (double)sizes[s].engines * RESIDENTS_PER_ENGINE /
			sizes[s].models,
		    measure_decision_us(router, &sizes[s], &rng), report_us);
		at_router_delete(router);
	}
	return 0;
}
