/*
 * Tests of the models resident on engines: their target numbers and the next
 * orders.
 *
 * The cases replay the load patterns described in residency.c: demand that
 * shifts from one busy model to another, rare models that are requested now and
 * then, and the evacuation of a data centre.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/residency.h"

#define ENGINES 4u
#define MODELS 8u
#define MODELS_PER_ENGINE 3u /* models that fit on one engine */
#define US_PER_S 1000000u

static const at_fleet_secret_t secret = {.bytes = {1}};

/*
 * A service with four engines, which have memory for three models each, and
 * eight models.
 */
typedef struct world {
	at_site_t *site;
	at_site_service_t *service;
	at_server_entry_t entries[ENGINES];
	at_engine_state_t engines[ENGINES];
	at_demand_rates_t *demand;
	at_move_t moves[16];
	size_t move_count;
} world_t;

static at_tag_t
model_tag(unsigned m)
{
	char name[8];

	(void)snprintf(name, sizeof(name), "m%u", m);
	return at_tag_from_text(name);
}

static void
make_world(world_t *w)
{
	unsigned i;

	memset(w, 0, sizeof(*w));
	w->site = at_site_new(&secret);
	w->service = at_site_add_service(w->site);
	w->service->tag = at_tag_from_text("llm");
	w->service->has_models = 1;
	w->service->weights_mb = 230000;
	w->service->adapter_slots = 8;
	for (i = 0; i < MODELS; i++) {
		at_site_model_t *model = at_site_add_model(w->service);

		(void)snprintf(
		    model->name.text, sizeof(model->name.text), "m%u", i);
		model->tag = model_tag(i);
		model->weights_mb = 70000;
		model->memory_load_ms = 450;
		model->disk_load_ms = 800;
		model->store_load_ms = 4000;
	}
	for (i = 0; i < ENGINES; i++) {
		(void)snprintf(w->entries[i].id.text,
		    sizeof(w->entries[i].id.text), "e%u", i);
		w->entries[i].tag = at_tag_from_text(w->entries[i].id.text);
		w->engines[i].entry = &w->entries[i];
		w->engines[i].residents = &w->entries[i].residents;
		w->engines[i].is_usable = 1;
	}
	w->demand = at_demand_rates_new();
}

static void
free_world(world_t *w)
{
	at_demand_rates_delete(w->demand);
	at_site_unref(w->site);
}

static void
add_resident(world_t *w, unsigned engine, unsigned model)
{
	at_server_entry_t *entry = &w->entries[engine];

	entry->residents.models[entry->residents.count].tag = model_tag(model);
	entry->residents.count++;
}

/* Adds requests for a model at this rate for ten seconds. */
static void
add_requests(world_t *w, unsigned model, unsigned per_s)
{
	at_work_t work = {.service = at_tag_from_text("llm"),
	    .model = model_tag(model),
	    .prompt_tokens = 800,
	    .output_tokens = 300};
	unsigned i;

	for (i = 0; i < per_s * 10; i++)
		at_demand_rates_add_request(w->demand, &work, 64, US_PER_S);
}

static void
update_rates(world_t *w)
{
	at_demand_rates_tick(w->demand, US_PER_S);
	at_demand_rates_tick(w->demand, 11u * US_PER_S);
}

static void
add_queued(world_t *w, unsigned model)
{
	const at_work_t work = {
	    .service = at_tag_from_text("llm"), .model = model_tag(model)};

	at_demand_rates_add_queued(w->demand, &work);
}

static void
plan(world_t *w, uint32_t store_loads, uint32_t moves)
{
	const at_residency_limits_t limits = {store_loads, moves};

	w->move_count = at_residency_plan(
	    w->service, w->engines, ENGINES, w->demand, &limits, w->moves, 16);
}

Test(residency, targets_follow_load_with_diminishing_gain)
{
	uint32_t targets[MODELS];
	uint32_t total = 0;
	world_t w;
	unsigned i;

	make_world(&w);
	add_requests(&w, 0, 60);
	add_requests(&w, 1, 30);
	add_requests(&w, 2, 1);
	add_requests(&w, 3, 1);
	update_rates(&w);
	at_residency_compute_targets(w.service, ENGINES, w.demand, targets);
	for (i = 0; i < MODELS; i++)
		total += targets[i];
	cr_assert_eq(targets[0], ENGINES);
	cr_assert_geq(targets[1], 3);
	cr_assert_geq(targets[2], 1);
	cr_assert_eq(targets[4], 0, "a model without requests has a target");
	cr_assert_leq(total, ENGINES * MODELS_PER_ENGINE);
	free_world(&w);
}

Test(residency, follows_a_shift_of_demand)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++) {
		add_resident(&w, e, 0);
		add_resident(&w, e, 1);
		add_resident(&w, e, 2 + e);
		w.entries[e].on_disk[0] = model_tag(2);
		w.entries[e].on_disk_count = 1;
	}
	/* All demand is for a model that is resident on one engine only. */
	add_requests(&w, 2, 60);
	update_rates(&w);
	plan(&w, 0, 2);
	cr_assert_eq(w.move_count, 2);
	for (e = 0; e < w.move_count; e++) {
		cr_assert_eq(w.moves[e].kind, AT_MOVE_UNLOAD);
		cr_assert(w.moves[e].model != model_tag(2));
		cr_assert(w.moves[e].server != w.entries[0].tag);
	}
	free_world(&w);
}

Test(residency, loads_a_rare_model_from_the_nearest_copy)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++) {
		add_resident(&w, e, 0);
		add_resident(&w, e, 1);
	}
	w.entries[2].on_disk[0] = model_tag(7);
	w.entries[2].on_disk_count = 1;
	add_requests(&w, 0, 30);
	update_rates(&w);
	add_queued(&w, 7);
	plan(&w, 1, 0);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_LOAD);
	cr_assert_eq(w.moves[0].server, w.entries[2].tag);
	cr_assert_eq(w.moves[0].from, AT_COPY_DISK);
	cr_assert(w.moves[0].is_urgent);
	free_world(&w);
}

Test(residency, frees_memory_once_for_a_rare_model)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++) {
		add_resident(&w, e, 0);
		add_resident(&w, e, 1);
		add_resident(&w, e, 2 + e);
	}
	add_requests(&w, 0, 30);
	update_rates(&w);
	add_queued(&w, 7);
	plan(&w, 1, 0);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_UNLOAD);
	cr_assert(w.moves[0].model != model_tag(0), "a busy model is unloaded");
	/* While it is being unloaded, no second model is unloaded. */
	for (e = 0; e < ENGINES; e++) {
		if (w.entries[e].tag == w.moves[0].server) {
			w.engines[e].is_busy = 1;
			w.engines[e].unloading = w.moves[0].model;
			w.engines[e].replacement = w.moves[0].replacement;
		}
	}
	plan(&w, 1, 0);
	cr_assert_eq(w.move_count, 0);
	free_world(&w);
}

/*
 * A shift of demand while every rare model is requested, too: the few loads
 * from the weight store go to the model with the longest queue, not to the rare
 * ones first.
 */
Test(residency, a_busy_model_is_loaded_before_rare_ones)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++)
		add_resident(&w, e, 1 + e);
	add_resident(&w, 0, 0);
	add_requests(&w, 0, 60);
	for (e = 5; e < MODELS; e++)
		add_requests(&w, e, 1);
	update_rates(&w);
	for (e = 5; e < MODELS; e++)
		add_queued(&w, e);
	plan(&w, 1, 2);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_LOAD);
	cr_assert_eq(
	    w.moves[0].model, model_tag(0), "a rare model is loaded first");
	free_world(&w);
}

/* Memory that was freed for a busy model is not used for a rare one. */
Test(residency, keeps_memory_for_the_model_it_was_freed_for)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++) {
		add_resident(&w, e, 1);
		add_resident(&w, e, 2);
		add_resident(&w, e, 3);
	}
	add_requests(&w, 0, 60);
	update_rates(&w);
	plan(&w, 1, 1);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_UNLOAD);
	cr_assert_eq(w.moves[0].replacement, model_tag(0));
	for (e = 0; e < ENGINES; e++) {
		if (w.entries[e].tag == w.moves[0].server) {
			w.entries[e].residents.count--;
			w.engines[e].replacement = w.moves[0].replacement;
		}
	}
	add_queued(&w, 7);
	plan(&w, 1, 0);
	cr_assert_geq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_LOAD);
	cr_assert_eq(w.moves[0].model, model_tag(0));
	free_world(&w);
}

static void
add_request(world_t *w, unsigned model)
{
	const at_work_t work = {.service = at_tag_from_text("llm"),
	    .model = model_tag(model),
	    .prompt_tokens = 800,
	    .output_tokens = 300};

	at_demand_rates_add_request(w->demand, &work, 64, US_PER_S);
}

/*
 * A model that was loaded for three requests 3.2 s ago is kept in preference to
 * one that was requested once just now.
 */
Test(residency, keeps_a_rare_model_that_was_loaded_recently)
{
	world_t w;
	unsigned e;

	make_world(&w);
	for (e = 0; e < ENGINES; e++) {
		add_resident(&w, e, 0);
		add_resident(&w, e, 1);
	}
	add_resident(&w, 0, 3);
	add_resident(&w, 1, 4);
	for (e = 2; e < ENGINES; e++)
		w.engines[e].is_usable = 0;
	at_demand_rates_tick(w.demand, US_PER_S);
	add_requests(&w, 0, 60);
	add_requests(&w, 1, 60);
	for (e = 0; e < 3; e++)
		add_request(&w, 3);
	at_demand_rates_tick(w.demand, 2u * US_PER_S);
	add_requests(&w, 0, 60);
	add_requests(&w, 1, 60);
	add_request(&w, 4);
	at_demand_rates_tick(w.demand, 5200000u);
	add_queued(&w, 7);
	add_queued(&w, 7);
	plan(&w, 1, 0);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].kind, AT_MOVE_UNLOAD);
	cr_assert_eq(w.moves[0].model, model_tag(4));
	free_world(&w);
}

Test(residency, respects_the_load_limit_of_the_weight_store)
{
	world_t w;

	make_world(&w);
	add_queued(&w, 7);
	plan(&w, 0, 2);
	cr_assert_eq(w.move_count, 0);
	plan(&w, 1, 2);
	cr_assert_eq(w.move_count, 1);
	cr_assert_eq(w.moves[0].from, AT_COPY_STORE);
	free_world(&w);
}

/*
 * No plan may exceed the memory of an engine, whatever the engines and the
 * demand are.
 */
Test(residency, never_exceeds_the_memory)
{
	uint64_t state = 7;
	unsigned round;

	for (round = 0; round < 300; round++) {
		world_t w;
		unsigned e;
		size_t i;

		make_world(&w);
		for (e = 0; e < ENGINES; e++) {
			unsigned resident;

			for (resident = 0; resident < MODELS_PER_ENGINE;
			     resident++) {
				state = state * 6364136223846793005u + 1u;
				if ((state >> 60) < 9)
					add_resident(&w, e,
					    resident + (state >> 40) % 4);
			}
			w.engines[e].is_usable = (state >> 33) % 8 != 0;
			w.engines[e].is_busy = (state >> 35) % 8 == 0;
		}
		add_requests(&w, (unsigned)(state >> 50) % MODELS, 20);
		update_rates(&w);
		add_queued(&w, (unsigned)(state >> 45) % MODELS);
		plan(&w, 2, 2);
		for (i = 0; i < w.move_count; i++) {
			for (e = 0; e < ENGINES; e++) {
				if (w.entries[e].tag != w.moves[i].server)
					continue;
				cr_assert(w.engines[e].is_usable);
				cr_assert_not(w.engines[e].is_busy);
				if (w.moves[i].kind == AT_MOVE_LOAD)
					cr_assert_lt(
					    w.entries[e].residents.count,
					    MODELS_PER_ENGINE);
			}
		}
		free_world(&w);
	}
}

/* The adapter that an engine with models 0 and 1 should load next. */
static const struct {
	const char *name;
	unsigned requests[3]; /* requests for m0/a1, m0/a2, m2/a1 */
	unsigned resident;    /* resident adapters of other names */
	const char *adapter;  /* NULL for none */
} prefetch_cases[] = {
    {"the most requested one", {3, 9, 0}, 0, "a2"},
    {"none without requests", {0, 0, 0}, 0, NULL},
    {"none of a model that is not resident", {0, 0, 9}, 0, NULL},
    {"none in the last adapter slot", {9, 0, 0}, 7, NULL},
};

/*
 * Engines 0 and 1 are evacuated. Models 0 to 2 are resident there only, 3 and 4
 * elsewhere as well; 3 is overloaded with the replica that is left.
 */
static const struct {
	const char *name;
	unsigned requests[5]; /* per second, for each model */
	unsigned queued;      /* requests for model 2 */
	uint32_t store_loads;
	uint32_t moves;
	const char *loads; /* models, in order */
} evacuations[] = {
    {"the ones with the most requests first", {4, 12, 2, 60, 0}, 0, 4, 9, "10"},
    {"before one that is overloaded", {0, 1, 0, 60, 0}, 0, 4, 9, "13"},
    {"without a limit of moves for them", {4, 12, 2, 60, 0}, 0, 4, 0, "10"},
    {"as many as the weight store allows", {4, 12, 2, 60, 0}, 0, 1, 9, "1"},
    {"not the ones that nobody requests", {0, 1, 0, 1, 0}, 0, 4, 9, "1"},
    {"one for which requests wait", {0, 0, 0, 0, 0}, 1, 4, 0, "2"},
};

Test(residency, loads_elsewhere_what_was_evacuated)
{
	size_t i;
	unsigned k;

	for (i = 0; i < sizeof(evacuations) / sizeof(evacuations[0]); i++) {
		char loads[16] = "";
		world_t w;

		make_world(&w);
		for (k = 0; k < 2; k++) {
			w.engines[k].is_usable = 0;
			w.engines[k].is_evacuated = 1;
		}
		for (k = 0; k < 5; k++) {
			if (evacuations[i].requests[k] > 0)
				add_requests(&w, k, evacuations[i].requests[k]);
		}
		for (k = 0; k < evacuations[i].queued; k++)
			add_queued(&w, 2);
		update_rates(&w);
		for (k = 0; k < 3; k++)
			add_resident(&w, 0, k);
		add_resident(&w, 1, 3);
		add_resident(&w, 1, 4);
		add_resident(&w, 2, 3);
		add_resident(&w, 3, 4);
		plan(&w, evacuations[i].store_loads, evacuations[i].moves);
		for (k = 0; k < w.move_count; k++) {
			unsigned m = 0;

			cr_expect_eq(w.moves[k].kind, AT_MOVE_LOAD);
			cr_expect_neq(w.moves[k].server, w.entries[0].tag);
			cr_expect_neq(w.moves[k].server, w.entries[1].tag);
			while (model_tag(m) != w.moves[k].model)
				m++;
			(void)snprintf(loads + strlen(loads),
			    sizeof(loads) - strlen(loads), "%u", m);
		}
		cr_expect_str_eq(loads, evacuations[i].loads, "%s: %s",
		    evacuations[i].name, loads);
		free_world(&w);
	}
}

/*
 * Engines 0 and 1 are in another region; model 0 is resident there. Requests
 * for it that may not go there wait.
 */
static const struct {
	const char *name;
	int resident_at; /* also at this engine; -1: nowhere else */
	int loading_at;
	int is_usable; /* engines 2 and 3 */
	uint32_t store_loads;
	size_t moves;
} regional[] = {
    {"it is loaded there", -1, -1, 1, 4, 1},
    {"it is there", 2, -1, 1, 4, 0},
    {"it is being loaded there", -1, 3, 1, 4, 0},
    {"it is being loaded elsewhere", -1, 0, 1, 4, 1},
    {"no engine there is usable", -1, -1, 0, 4, 0},
    {"the weight store allows none", -1, -1, 1, 0, 0},
};

Test(residency, loads_a_model_where_requests_may_run)
{
	size_t i;

	for (i = 0; i < sizeof(regional) / sizeof(regional[0]); i++) {
		const at_residency_limits_t limits = {
		    regional[i].store_loads, 0};
		at_move_t move = {.model = 0};
		size_t moves;
		world_t w;

		make_world(&w);
		w.engines[0].is_excluded = 1;
		w.engines[1].is_excluded = 1;
		w.engines[2].is_usable = regional[i].is_usable;
		w.engines[3].is_usable = regional[i].is_usable;
		add_resident(&w, 1, 0);
		if (regional[i].resident_at >= 0)
			add_resident(&w, (unsigned)regional[i].resident_at, 0);
		if (regional[i].loading_at >= 0) {
			w.engines[regional[i].loading_at].loading =
			    model_tag(0);
			w.engines[regional[i].loading_at].is_busy = 1;
		}
		update_rates(&w);
		moves = at_residency_plan_for(w.service, w.engines, ENGINES,
		    w.demand, &limits, model_tag(0), &move);
		cr_expect_eq(moves, regional[i].moves, "%s: %zu",
		    regional[i].name, moves);
		if (moves > 0) {
			cr_expect_eq(move.kind, AT_MOVE_LOAD);
			cr_expect_eq(move.model, model_tag(0));
			cr_expect(move.server == w.entries[2].tag ||
				      move.server == w.entries[3].tag,
			    "%s", regional[i].name);
		}
		free_world(&w);
	}
}

Test(residency, prefetches_the_adapter_with_the_most_requests)
{
	static const char *const names[] = {"a1", "a2", "a1"};
	static const unsigned models[] = {0, 0, 2};
	size_t i;
	unsigned k;

	for (i = 0; i < sizeof(prefetch_cases) / sizeof(prefetch_cases[0]);
	     i++) {
		at_name_t model;
		at_name_t adapter;
		world_t w;
		int found;

		make_world(&w);
		add_resident(&w, 0, 0);
		add_resident(&w, 0, 1);
		w.entries[0].residents.models[1].adapter_count =
		    prefetch_cases[i].resident;
		for (k = 0; k < 3; k++) {
			at_site_model_t *m = &w.service->models[models[k]];
			at_site_adapter_t *a = at_site_add_adapter(m);
			at_work_t work = {.service = at_tag_from_text("llm")};
			char text[2 * AT_NAME_SIZE];
			unsigned n;

			(void)at_name_set(&a->name, names[k]);
			(void)snprintf(text, sizeof(text), "%s/%s",
			    m->name.text, names[k]);
			a->tag = at_tag_from_text(text);
			work.model = a->tag;
			for (n = 0; n < prefetch_cases[i].requests[k] * 10; n++)
				at_demand_rates_add_request(
				    w.demand, &work, 64, US_PER_S);
		}
		update_rates(&w);
		found = at_adapter_prefetch_next(w.service,
		    &w.entries[0].residents, w.demand, &model, &adapter);
		cr_assert_eq(found, prefetch_cases[i].adapter != NULL, "%s",
		    prefetch_cases[i].name);
		if (found)
			cr_assert_str_eq(
			    adapter.text, prefetch_cases[i].adapter);
		free_world(&w);
	}
}

/*
 * Guards against a busy model that stays on the slow engines while others have
 * memory for it, or is loaded on a slow one where a usual one is as near.
 */
Test(residency, a_replica_at_a_slow_engine_counts_for_less)
{
	static const uint32_t slow_milli[] = {0, 3000};
	size_t moves[2];
	world_t w;
	size_t c;

	for (c = 0; c < 2; c++) {
		make_world(&w);
		add_resident(&w, 0, 0);
		add_resident(&w, 1, 0);
		w.engines[0].slow_milli = slow_milli[c];
		w.engines[1].slow_milli = slow_milli[c];
		w.engines[2].slow_milli = slow_milli[c];
		add_requests(&w, 0, 6);
		update_rates(&w);
		plan(&w, 1, 1);
		moves[c] = w.move_count;
		cr_assert(
		    moves[c] == 0 || w.moves[0].server == w.entries[3].tag);
		free_world(&w);
	}
	cr_assert_eq(moves[0], 0);
	cr_assert_eq(moves[1], 1);
}
