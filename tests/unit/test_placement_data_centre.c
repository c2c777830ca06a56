/*
 * Tests that no data centre is assigned more than its memory, and that every
 * planner assigns each model to the same data centre.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "core/placement/placement_internal.h"

#define CENTRES 4u
#define ENGINES 8u
#define MODELS_MAX 40u
#define ENGINE_MB 80000u
#define PERCENT 90u

typedef struct test_case {
	size_t models;
	uint32_t sizes_mb[4]; /* used in turn */
} test_case_t;

/*
 * All models fit if they are spread; rendezvous hashing alone overfills a data
 * centre.
 */
static const test_case_t cases[] = {{17, {8000, 16000, 24000, 32000}},
    {30, {16000, 16000, 16000, 16000}}, {16, {32000, 32000, 32000, 32000}},
    {40, {4000, 8000, 12000, 24000}}};

static at_name_t centres[CENTRES];
static at_engine_t engines[ENGINES];
static at_model_t models[MODELS_MAX];
static item_t items[MODELS_MAX];

static at_config_t
make_config(const test_case_t *c)
{
	at_config_t config = {.data_centres = centres,
	    .data_centre_count = CENTRES,
	    .engines = engines,
	    .engine_count = ENGINES,
	    .models = models,
	    .model_count = c->models};
	size_t i;

	memset(items, 0, sizeof(items));
	for (i = 0; i < CENTRES; i++)
		(void)snprintf(centres[i].text, AT_NAME_SIZE, "dc-%zu", i);
	for (i = 0; i < ENGINES; i++) {
		engines[i].data_centre = centres[i % CENTRES];
		engines[i].memory_mb = ENGINE_MB;
	}
	for (i = 0; i < c->models; i++) {
		(void)snprintf(
		    items[i].name.text, AT_NAME_SIZE, "model-%zu", i);
		items[i].memory_mb = c->sizes_mb[i % 4];
		items[i].adapters_mb = 100 * (i % 5);
		items[i].base = NO_ITEM;
	}
	return config;
}

Test(placement_data_centre, overfills_no_data_centre)
{
	const uint64_t usable_mb =
	    (uint64_t)ENGINES / CENTRES * ENGINE_MB / 100 * PERCENT;
	size_t c;
	size_t i;

	for (c = 0; c < sizeof(cases) / sizeof(cases[0]); c++) {
		at_config_t config = make_config(&cases[c]);
		size_t assigned[MODELS_MAX];
		size_t again[MODELS_MAX];
		uint64_t assigned_mb[CENTRES] = {0};

		cr_assert_eq(at_placement_assign_data_centres(
				 &config, items, PERCENT, assigned),
		    0);
		cr_assert_eq(at_placement_assign_data_centres(
				 &config, items, PERCENT, again),
		    0);
		for (i = 0; i < cases[c].models; i++) {
			cr_assert_lt(assigned[i], CENTRES);
			cr_assert_eq(assigned[i], again[i]);
			assigned_mb[assigned[i]] +=
			    items[i].memory_mb + items[i].adapters_mb;
		}
		for (i = 0; i < CENTRES; i++)
			cr_assert_leq(assigned_mb[i], usable_mb,
			    "case %zu: dc-%zu is assigned %llu MB", c, i,
			    (unsigned long long)assigned_mb[i]);
	}
}
