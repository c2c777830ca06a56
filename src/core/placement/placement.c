/*
 * placement.c - the configured models and adapters, their demand estimates and
 * their target numbers of replicas.
 */
#include "core/placement/placement_internal.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/* Time constant of the fast demand estimate in seconds. */
#define FAST_DECAY_S 2.0
/* Time constant in seconds with which the slow estimate follows a fall. */
#define SLOW_DECAY_S 60.0
/* A rise by more than this many standard deviations is not noise. */
#define NOISE_DEVIATIONS 3.0
/* Time for which the demand must be low before the target falls. */
#define FALL_DELAY_MS 60000u
/* Demand is low below this part of the capacity of one replica less. */
#define FALL_PERCENT 70u
/* Part of a data centre's memory for one replica of every item. */
#define RESIDENT_MEMORY_PERCENT 90u
/* Tokens of an average request before the first one. */
#define REQUEST_TOKENS_DEFAULT 100.0

const char *const at_placement_policy_names[] = {"steady", "greedy"};

at_placement_t *
at_placement_new(void)
{
	return calloc(1, sizeof(at_placement_t));
}

void
at_placement_set_policy(at_placement_t *placement, at_placement_policy_t policy)
{
	placement->policy = policy;
}

static void
remove_items(at_placement_t *placement)
{
	HASH_CLEAR(hh, placement->by_name);
	free(placement->items);
	placement->items = NULL;
	placement->item_count = 0;
}

void
at_placement_delete(at_placement_t *placement)
{
	if (placement == NULL)
		return;
	remove_items(placement);
	free(placement);
}

item_t *
at_placement_find(const at_placement_t *placement, const char *name)
{
	item_t *item;

	HASH_FIND_STR(placement->by_name, name, item);
	return item;
}

int
at_placement_is_configured(
    const at_placement_t *placement, const char *model, const char *adapter)
{
	const item_t *item =
	    at_placement_find(placement, adapter[0] ? adapter : model);

	return item != NULL && strcmp(item->model.text, model) == 0;
}

const at_place_state_t *
at_placement_state(const at_placement_t *placement, const char *name)
{
	const item_t *item = at_placement_find(placement, name);

	return item == NULL ? NULL : &item->state;
}

void
at_placement_add_demand(
    at_placement_t *placement, const char *name, uint64_t tokens)
{
	item_t *item = at_placement_find(placement, name);

	if (item == NULL)
		return;
	item->tokens += tokens;
	item->requests++;
	if (item->base == NO_ITEM)
		return;
	placement->items[item->base].tokens += tokens;
	placement->items[item->base].requests++;
}

uint64_t
at_placement_memory_mb(const at_config_t *config, const at_name_t *data_centre)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < config->engine_count; i++) {
		if (at_name_equal(&config->engines[i].data_centre, data_centre))
			sum += config->engines[i].memory_mb;
	}
	return sum;
}

static void
add_model(item_t *item, const at_model_t *model)
{
	item->name = model->name;
	item->model = model->name;
	item->version = model->version;
	item->memory_mb = model->memory_mb;
	item->base = NO_ITEM;
}

static void
add_adapter(
    item_t *item, const at_adapter_t *adapter, const at_config_t *config)
{
	const at_model_t *base =
	    at_config_find_model(config, adapter->model.text);

	item->name = adapter->name;
	item->model = adapter->model;
	item->adapter = adapter->name;
	item->version = adapter->version;
	item->memory_mb = adapter->memory_mb;
	item->base = (size_t)(base - config->models);
}

static void
copy_estimate(item_t *to, const item_t *from)
{
	if (from == NULL)
		return;
	to->tokens = from->tokens;
	to->requests = from->requests;
	to->fast_tokens_s = from->fast_tokens_s;
	to->slow_tokens_s = from->slow_tokens_s;
	to->request_tokens = from->request_tokens;
	to->target = from->target;
	to->low_since_ms = from->low_since_ms;
	to->state = from->state;
}

static void
apply_exceptions(item_t *item, const at_config_t *config)
{
	size_t i;

	item->min_replicas = (uint32_t)at_config_exception_value(config,
	    AT_EXCEPTION_MIN_REPLICAS, item->name.text,
	    config->defaults.min_replicas);
	for (i = 0; i < config->exception_count; i++) {
		const at_exception_t *e = &config->exceptions[i];

		if ((e->kind == AT_EXCEPTION_PIN ||
			e->kind == AT_EXCEPTION_FORBID) &&
		    at_name_equal(&e->subject, &item->name))
			item->has_exceptions = 1;
	}
}

/*
 * Fills and indexes the items. Their estimates are copied from the present
 * items. Returns 0, or -1 if out of memory.
 */
static int
build_items(at_placement_t *placement, const at_config_t *config,
    const at_name_t *data_centre, item_t *items, size_t count)
{
	uint64_t total_mb = 0;
	uint64_t usable_mb = at_placement_memory_mb(config, data_centre) / 100 *
			     RESIDENT_MEMORY_PERCENT;
	size_t *data_centres =
	    calloc(config->model_count + 1, sizeof(*data_centres));
	item_t *by_name = NULL;
	size_t i;

	if (data_centres == NULL)
		return -1;

	for (i = 0; i < count; i++) {
		item_t *item = &items[i];

		if (i < config->model_count)
			add_model(item, &config->models[i]);
		else
			add_adapter(item,
			    &config->adapters[i - config->model_count], config);
		apply_exceptions(item, config);
		item->index = i;
		copy_estimate(
		    item, at_placement_find(placement, item->name.text));
		total_mb += item->memory_mb;
		if (item->base != NO_ITEM)
			items[item->base].adapters_mb += item->memory_mb;
	}
	if (config->data_centre_count > 0 &&
	    at_placement_assign_data_centres(
		config, items, RESIDENT_MEMORY_PERCENT, data_centres) != 0) {
		free(data_centres);
		return -1;
	}
	for (i = 0; i < count; i++) {
		size_t model = items[i].base == NO_ITEM ? i : items[i].base;

		items[i].is_required =
		    total_mb <= usable_mb || config->data_centre_count == 0 ||
		    at_name_equal(&config->data_centres[data_centres[model]],
			data_centre);
		HASH_ADD_KEYPTR(hh, by_name, items[i].name.text,
		    strlen(items[i].name.text), &items[i]);
	}
	remove_items(placement);
	placement->by_name = by_name;
	free(data_centres);
	return 0;
}

int
at_placement_set_config(at_placement_t *placement, const at_config_t *config,
    const at_name_t *data_centre)
{
	size_t count = config->model_count + config->adapter_count;
	item_t *items = calloc(count + 1, sizeof(*items));

	if (items == NULL)
		return -1;
	if (build_items(placement, config, data_centre, items, count) != 0) {
		free(items);
		return -1;
	}
	placement->items = items;
	placement->item_count = count;
	placement->config = config;
	placement->data_centre = *data_centre;
	return 0;
}

void
at_placement_estimate(at_placement_policy_t policy, item_t *item,
    uint64_t now_ms, uint64_t past_ms)
{
	double elapsed_s = (double)(now_ms - past_ms) / AT_MS_PER_S;
	double rate;
	double noise;

	if (past_ms == 0 || now_ms <= past_ms)
		return;
	rate = (double)item->tokens / elapsed_s;
	if (item->request_tokens <= 0)
		item->request_tokens = REQUEST_TOKENS_DEFAULT;
	if (item->requests > 0)
		item->request_tokens +=
		    ((double)item->tokens / (double)item->requests -
			item->request_tokens) /
		    4;
	item->tokens = 0;
	item->requests = 0;
	item->fast_tokens_s +=
	    (rate - item->fast_tokens_s) * (1 - exp(-elapsed_s / FAST_DECAY_S));
	item->slow_tokens_s += (item->fast_tokens_s - item->slow_tokens_s) *
			       (1 - exp(-elapsed_s / SLOW_DECAY_S));
	noise =
	    NOISE_DEVIATIONS *
	    sqrt((item->slow_tokens_s + item->request_tokens / FAST_DECAY_S) *
		 item->request_tokens / (2 * FAST_DECAY_S));
	if (item->fast_tokens_s > item->slow_tokens_s + noise)
		item->slow_tokens_s = item->fast_tokens_s;
	if (policy == AT_PLACEMENT_GREEDY)
		item->slow_tokens_s = rate;
	item->state.demand_tokens_s = (uint64_t)item->slow_tokens_s;
}

void
at_placement_set_target(at_placement_policy_t policy, item_t *item,
    double share_tokens_s, size_t engine_count, uint64_t now_ms)
{
	uint32_t min_replicas = item->is_required ? item->min_replicas : 0;
	uint32_t needed = 0;
	double low;

	if (share_tokens_s > 0)
		needed = (uint32_t)ceil(item->slow_tokens_s / share_tokens_s);
	/* Below one request a minute hardly any request waits for a replica. */
	if (item->slow_tokens_s * 60 < item->request_tokens)
		needed = 0;
	if (needed < min_replicas)
		needed = min_replicas;
	if (needed > engine_count)
		needed = (uint32_t)engine_count;
	if (needed >= item->target || policy == AT_PLACEMENT_GREEDY) {
		item->target = needed;
		item->low_since_ms = 0;
		item->state.target = needed;
		return;
	}
	low = share_tokens_s * (item->target - 1) * FALL_PERCENT / 100;
	if (item->slow_tokens_s > low)
		item->low_since_ms = 0;
	else if (item->low_since_ms == 0)
		item->low_since_ms = now_ms;
	else if (now_ms - item->low_since_ms >= FALL_DELAY_MS)
		item->target = needed;
	item->state.target = item->target;
}
