#include "support/placement_fixture.h"

#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

static at_config_t *
parse_config(const char *json)
{
	at_status_t status;
	at_config_t *config;

	at_status_clear(&status);
	config = at_config_parse(json, strlen(json), &status);
	cr_assert_not_null(config, "%s", status.message);
	return config;
}

void
placement_fixture_apply_config(placement_fixture_t *fixture, const char *json)
{
	at_config_t *old = fixture->config;

	fixture->config = parse_config(json);
	cr_assert_eq(at_placement_set_config(fixture->placement,
			 fixture->config, &fixture->config->data_centres[0]),
	    0);
	at_config_delete(old);
}

placement_fixture_t *
placement_fixture_new(const char *json)
{
	placement_fixture_t *fixture = calloc(1, sizeof(*fixture));
	size_t i;

	fixture->placement = at_placement_new();
	fixture->now_ms = 1000;
	placement_fixture_apply_config(fixture, json);
	fixture->engine_count = fixture->config->engine_count;
	for (i = 0; i < fixture->engine_count; i++) {
		const at_engine_t *declared = &fixture->config->engines[i];
		at_place_engine_t *e = &fixture->engines[i];

		e->name = declared->name;
		e->accelerators = declared->accelerators;
		e->capacity_mb = declared->memory_mb;
		e->is_usable = 1;
		e->residents = fixture->residents[i];
	}
	return fixture;
}

void
placement_fixture_delete(placement_fixture_t *fixture)
{
	at_placement_delete(fixture->placement);
	at_config_delete(fixture->config);
	free(fixture);
}

static const char *
resident_name(const at_resident_t *resident)
{
	return resident->adapter.text[0] ? resident->adapter.text
					 : resident->model.text;
}

int
placement_fixture_is_resident(const placement_fixture_t *fixture, size_t engine,
    const char *name, uint32_t version)
{
	const at_place_engine_t *e = &fixture->engines[engine];
	size_t i;

	for (i = 0; i < e->resident_count; i++) {
		if (strcmp(resident_name(&e->residents[i]), name) == 0 &&
		    (version == 0 || e->residents[i].version == version))
			return 1;
	}
	return 0;
}

size_t
placement_fixture_count_resident(
    const placement_fixture_t *fixture, const char *name)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->engine_count; i++)
		count += fixture->engines[i].is_usable &&
			 placement_fixture_is_resident(fixture, i, name, 0);
	return count;
}

static void
apply_order(placement_fixture_t *fixture, size_t index, const at_order_t *order)
{
	at_place_engine_t *e = &fixture->engines[index];
	at_resident_t *residents = fixture->residents[index];
	at_resident_t resident = {.model = order->model,
	    .adapter = order->adapter,
	    .version = order->version,
	    .memory_mb = order->memory_mb};
	size_t i;

	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		cr_assert_not(placement_fixture_is_resident(
		    fixture, index, resident_name(&resident), 0));
		residents[e->resident_count++] = resident;
		fixture->loads++;
		return;
	}
	for (i = 0; i < e->resident_count; i++) {
		if (strcmp(resident_name(&residents[i]),
			resident_name(&resident)) == 0)
			break;
	}
	cr_assert_lt(i, e->resident_count);
	residents[i] = residents[--e->resident_count];
	fixture->unloads++;
	if (at_placement_is_configured(
		fixture->placement, resident.model.text, resident.adapter.text))
		cr_assert_geq(placement_fixture_count_resident(
				  fixture, resident_name(&resident)),
		    1, "%s is not served by any engine",
		    resident_name(&resident));
}

static void
check_memory(placement_fixture_t *fixture)
{
	size_t i;
	size_t j;

	for (i = 0; i < fixture->engine_count; i++) {
		at_place_engine_t *e = &fixture->engines[i];
		uint64_t used = 0;

		for (j = 0; j < e->resident_count; j++)
			used += e->residents[j].memory_mb;
		cr_assert_leq(used, e->capacity_mb);
		e->free_mb = e->capacity_mb - used;
	}
}

void
placement_fixture_run_round(placement_fixture_t *fixture)
{
	at_decision_t decisions[PLACEMENT_FIXTURE_DECISIONS_MAX];
	size_t count;
	size_t i;
	size_t e;

	fixture->now_ms += 1000;
	check_memory(fixture);
	count = at_placement_plan(fixture->placement, fixture->now_ms,
	    fixture->engines, fixture->engine_count, NULL, 0, decisions,
	    PLACEMENT_FIXTURE_DECISIONS_MAX);
	for (i = 0; i < count; i++) {
		cr_assert_neq(decisions[i].reason[0], '\0');
		for (e = 0; e < fixture->engine_count; e++) {
			if (at_name_equal(&fixture->engines[e].name,
				&decisions[i].order.engine))
				apply_order(fixture, e, &decisions[i].order);
		}
	}
	check_memory(fixture);
}
