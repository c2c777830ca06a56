#include "core/routing/router_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define DEFAULT_PREFILL_TOKENS_S 8000u
#define DEFAULT_BATCH_MAX 32u
#define DEFAULT_BATCH_SLOT_MS 60u
#define DEFAULT_DISTANCE_MS 4u
#define DEFAULT_STALE_MS 1500u

at_router_t *
at_router_new(const at_name_t *data_centre, uint64_t seed)
{
	at_router_t *router = calloc(1, sizeof(*router));

	if (router == NULL)
		return NULL;
	router->data_centre = *data_centre;
	router->speed.prefill_tokens_s = DEFAULT_PREFILL_TOKENS_S;
	router->speed.batch_max = DEFAULT_BATCH_MAX;
	router->speed.batch_slot_ms = DEFAULT_BATCH_SLOT_MS;
	router->distance_ms = DEFAULT_DISTANCE_MS;
	router->stale_ms = DEFAULT_STALE_MS;
	router->rng.state = seed;
	router->prefixes = at_prefix_table_new();
	if (router->prefixes == NULL) {
		free(router);
		return NULL;
	}
	return router;
}

void
at_router_set_speed(at_router_t *router, const at_engine_speed_t *speed)
{
	assert(speed->prefill_tokens_s > 0 && speed->batch_max > 0);
	router->speed = *speed;
}

void
at_router_set_distance_ms(at_router_t *router, uint32_t distance_ms)
{
	router->distance_ms = distance_ms;
}

void
at_router_set_stale_ms(at_router_t *router, uint32_t stale_ms)
{
	router->stale_ms = stale_ms;
}

engine_t *
at_router_find_engine(const at_router_t *router, const at_name_t *name)
{
	engine_t *engine;

	HASH_FIND_STR(router->engines, name->text, engine);
	return engine;
}

static const char *
target_name(const at_resident_t *resident)
{
	return resident->adapter.text[0] != '\0' ? resident->adapter.text
						 : resident->model.text;
}

static void
remove_from_target(
    at_router_t *router, const char *target, const engine_t *engine)
{
	target_engines_t *entry;
	size_t i;

	HASH_FIND_STR(router->targets, target, entry);
	if (entry == NULL)
		return;
	for (i = 0; i < entry->count; i++) {
		if (entry->engines[i] == engine) {
			entry->engines[i] = entry->engines[--entry->count];
			break;
		}
	}
	if (entry->count > 0)
		return;
	HASH_DEL(router->targets, entry);
	free(entry->engines);
	free(entry);
}

static int
grow_target(target_engines_t *entry)
{
	size_t size = 2 * entry->size + 4;
	engine_t **engines = realloc(entry->engines, size * sizeof(engine_t *));

	if (engines == NULL)
		return -1;
	entry->engines = engines;
	entry->size = size;
	return 0;
}

static int
add_to_target(at_router_t *router, const char *target, engine_t *engine)
{
	target_engines_t *entry;

	HASH_FIND_STR(router->targets, target, entry);
	if (entry == NULL) {
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return -1;
		memcpy(entry->target, target, strlen(target) + 1);
		HASH_ADD_STR(router->targets, target, entry);
	}
	if (entry->count == entry->size && grow_target(entry) != 0)
		return -1;
	entry->engines[entry->count++] = engine;
	return 0;
}

static void
clear_residents(at_router_t *router, engine_t *engine)
{
	size_t i;

	for (i = 0; i < engine->view.resident_count; i++)
		remove_from_target(
		    router, target_name(&engine->view.residents[i]), engine);
	free(engine->view.residents);
	engine->view.residents = NULL;
	engine->view.resident_count = 0;
}

static int
is_same_residents(const at_engine_view_t *a, const at_engine_view_t *b)
{
	size_t i;

	if (a->resident_count != b->resident_count)
		return 0;
	for (i = 0; i < a->resident_count; i++) {
		if (!at_name_equal(
			&a->residents[i].model, &b->residents[i].model) ||
		    !at_name_equal(
			&a->residents[i].adapter, &b->residents[i].adapter))
			return 0;
	}
	return 1;
}

static int
apply_residents(
    at_router_t *router, engine_t *engine, const at_engine_view_t *view)
{
	size_t bytes = view->resident_count * sizeof(view->residents[0]);
	size_t i;

	if (is_same_residents(&engine->view, view))
		return 0;
	clear_residents(router, engine);
	if (bytes == 0)
		return 0;
	engine->view.residents = malloc(bytes);
	if (engine->view.residents == NULL)
		return -1;
	memcpy(engine->view.residents, view->residents, bytes);
	engine->view.resident_count = view->resident_count;
	for (i = 0; i < view->resident_count; i++) {
		if (add_to_target(
			router, target_name(&view->residents[i]), engine) != 0)
			return -1;
	}
	return 0;
}

/* Removes the requests that the report already includes. */
static void
remove_reported(engine_t *engine, uint64_t report_at_ms)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < engine->sent_count; i++) {
		if (engine->sent[i].at_ms > report_at_ms)
			engine->sent[kept++] = engine->sent[i];
	}
	engine->sent_count = kept;
}

static engine_t *
add_engine(at_router_t *router, const at_name_t *name)
{
	engine_t *engine = calloc(1, sizeof(*engine));

	if (engine == NULL)
		return NULL;
	engine->view.name = *name;
	engine->index = router->next_index++;
	engine->ratio = RATIO_ONE;
	engine->successes = PROBATION_SUCCESSES;
	HASH_ADD_KEYPTR(hh, router->engines, engine->view.name.text,
	    strlen(name->text), engine);
	return engine;
}

int
at_router_apply_report(at_router_t *router, const at_engine_view_t *view)
{
	engine_t *engine = at_router_find_engine(router, &view->name);
	at_resident_t *residents;
	size_t count;

	if (engine == NULL)
		engine = add_engine(router, &view->name);
	if (engine == NULL)
		return -1;
	if (view->report_at_ms < engine->view.report_at_ms)
		return 0;
	if (view->incarnation != engine->view.incarnation)
		at_prefix_table_remove_engine(router->prefixes, engine->index);
	if (apply_residents(router, engine, view) != 0)
		return -1;
	remove_reported(engine, view->report_at_ms);
	residents = engine->view.residents;
	count = engine->view.resident_count;
	engine->view = *view;
	engine->view.residents = residents;
	engine->view.resident_count = count;
	return 0;
}

static void
engine_delete(at_router_t *router, engine_t *engine)
{
	clear_residents(router, engine);
	HASH_DEL(router->engines, engine);
	free(engine);
}

void
at_router_remove(at_router_t *router, const at_name_t *name)
{
	engine_t *engine = at_router_find_engine(router, name);

	if (engine == NULL)
		return;
	at_prefix_table_remove_engine(router->prefixes, engine->index);
	engine_delete(router, engine);
}

void
at_router_set_leaving(
    at_router_t *router, const at_name_t *name, int is_leaving)
{
	engine_t *engine = at_router_find_engine(router, name);

	if (engine != NULL)
		engine->view.is_leaving = is_leaving;
}

void
at_router_delete(at_router_t *router)
{
	engine_t *engine;
	engine_t *next;

	if (router == NULL)
		return;
	HASH_ITER(hh, router->engines, engine, next)
	{
		engine_delete(router, engine);
	}
	at_prefix_table_delete(router->prefixes);
	free(router);
}
