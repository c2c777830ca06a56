#include "support/placement_fixture.h"

#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

static at_config_t *
parse(const char *json)
{
	at_status_t status;
	at_config_t *config;

	at_status_clear(&status);
	config = at_config_parse(json, strlen(json), &status);
	cr_assert_not_null(config, "%s", status.message);
	return config;
}

void
fleet_configure(fleet_t *fleet, const char *json)
{
	at_config_t *old = fleet->config;

	fleet->config = parse(json);
	cr_assert_eq(at_placement_set_config(fleet->placement, fleet->config,
			 &fleet->config->data_centres[0]),
	    0);
	at_config_delete(old);
}

fleet_t *
fleet_new(const char *json)
{
	fleet_t *fleet = calloc(1, sizeof(*fleet));
	size_t i;

	fleet->placement = at_placement_new();
	fleet->now_ms = 1000;
	fleet_configure(fleet, json);
	fleet->engine_count = fleet->config->engine_count;
	for (i = 0; i < fleet->engine_count; i++) {
		const at_engine_t *declared = &fleet->config->engines[i];
		at_place_engine_t *e = &fleet->engines[i];

		e->name = declared->name;
		e->accelerators = declared->accelerators;
		e->capacity_mb = declared->memory_mb;
		e->is_usable = 1;
		e->residents = fleet->residents[i];
	}
	return fleet;
}

void
fleet_delete(fleet_t *fleet)
{
	at_placement_delete(fleet->placement);
	at_config_delete(fleet->config);
	free(fleet);
}

static const char *
own_name(const at_resident_t *r)
{
	return r->adapter.text[0] ? r->adapter.text : r->model.text;
}

int
fleet_on(
    const fleet_t *fleet, size_t engine, const char *name, uint32_t version)
{
	const at_place_engine_t *e = &fleet->engines[engine];
	size_t i;

	for (i = 0; i < e->resident_count; i++) {
		if (strcmp(own_name(&e->residents[i]), name) == 0 &&
		    (version == 0 || e->residents[i].version == version))
			return 1;
	}
	return 0;
}

size_t
fleet_has(const fleet_t *fleet, const char *name)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fleet->engine_count; i++)
		count +=
		    fleet->engines[i].is_usable && fleet_on(fleet, i, name, 0);
	return count;
}

static void
carry_out(fleet_t *fleet, size_t index, const at_order_t *order)
{
	at_place_engine_t *e = &fleet->engines[index];
	at_resident_t *residents = fleet->residents[index];
	at_resident_t what = {.model = order->model,
	    .adapter = order->adapter,
	    .version = order->version,
	    .memory_mb = order->memory_mb};
	size_t i;

	if (order->kind == AT_ORDER_LOAD_MODEL ||
	    order->kind == AT_ORDER_LOAD_ADAPTER) {
		cr_assert_not(fleet_on(fleet, index, own_name(&what), 0));
		residents[e->resident_count++] = what;
		fleet->loads++;
		return;
	}
	for (i = 0; i < e->resident_count; i++) {
		if (strcmp(own_name(&residents[i]), own_name(&what)) == 0)
			break;
	}
	cr_assert_lt(i, e->resident_count);
	residents[i] = residents[--e->resident_count];
	fleet->unloads++;
	if (at_placement_is_configured(
		fleet->placement, what.model.text, what.adapter.text))
		cr_assert_geq(fleet_has(fleet, own_name(&what)), 1,
		    "%s was made unreachable", own_name(&what));
}

static void
count_memory(fleet_t *fleet)
{
	size_t i;
	size_t j;

	for (i = 0; i < fleet->engine_count; i++) {
		at_place_engine_t *e = &fleet->engines[i];
		uint64_t used = 0;

		for (j = 0; j < e->resident_count; j++)
			used += e->residents[j].memory_mb;
		cr_assert_leq(used, e->capacity_mb);
		e->free_mb = e->capacity_mb - used;
	}
}

void
fleet_round(fleet_t *fleet)
{
	at_decision_t decisions[FLEET_DECISIONS];
	size_t count;
	size_t i;
	size_t e;

	fleet->now_ms += 1000;
	count_memory(fleet);
	count =
	    at_placement_plan(fleet->placement, fleet->now_ms, fleet->engines,
		fleet->engine_count, NULL, 0, decisions, FLEET_DECISIONS);
	for (i = 0; i < count; i++) {
		cr_assert_neq(decisions[i].reason[0], '\0');
		for (e = 0; e < fleet->engine_count; e++) {
			if (at_name_equal(&fleet->engines[e].name,
				&decisions[i].order.engine))
				carry_out(fleet, e, &decisions[i].order);
		}
	}
	count_memory(fleet);
}
