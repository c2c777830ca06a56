/*
 * Which data centre must hold a model when none can hold them all. Every
 * planner works it out alone from the same configuration: the largest models
 * choose first, each the data centre that rendezvous hashing ranks highest
 * among those with room left, so that none has to hold more than it can.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/placement/placement_internal.h"

/* One model in the order of choice. */
typedef struct chooser {
	const item_t *model;
	size_t index;
} chooser_t;

static uint64_t
whole_mb(const item_t *model)
{
	return model->memory_mb + model->adapters_mb;
}

static int
by_size(const void *a, const void *b)
{
	const chooser_t *x = a;
	const chooser_t *y = b;

	if (whole_mb(x->model) != whole_mb(y->model))
		return whole_mb(x->model) > whole_mb(y->model) ? -1 : 1;
	return strcmp(x->model->name.text, y->model->name.text);
}

static uint64_t
rank_of(const at_name_t *data_centre, const char *model)
{
	uint64_t own = XXH64(data_centre->text, strlen(data_centre->text), 0);

	return XXH64(&own, sizeof(own), XXH64(model, strlen(model), 1));
}

/* Without room anywhere the data centre with the most left is taken. */
static size_t
choose(const at_config_t *config, const item_t *model, const int64_t *left_mb)
{
	int64_t need = (int64_t)whole_mb(model);
	size_t best = 0;
	uint64_t best_rank = 0;
	int found = 0;
	size_t i;

	for (i = 0; i < config->data_centre_count; i++) {
		uint64_t rank =
		    rank_of(&config->data_centres[i], model->name.text);

		if (!found && left_mb[i] > left_mb[best])
			best = i;
		if (left_mb[i] < need || (found && rank <= best_rank))
			continue;
		found = 1;
		best = i;
		best_rank = rank;
	}
	return best;
}

int
at_placement_assign_data_centres(const at_config_t *config, const item_t *items,
    uint32_t percent, size_t *homes)
{
	chooser_t *order = calloc(config->model_count + 1, sizeof(*order));
	int64_t *left_mb =
	    calloc(config->data_centre_count + 1, sizeof(*left_mb));
	size_t i;

	if (order == NULL || left_mb == NULL) {
		free(order);
		free(left_mb);
		return -1;
	}
	for (i = 0; i < config->data_centre_count; i++)
		left_mb[i] = (int64_t)(at_placement_memory_mb(
					   config, &config->data_centres[i]) /
				       100 * percent);
	for (i = 0; i < config->model_count; i++) {
		order[i].model = &items[i];
		order[i].index = i;
	}
	qsort(order, config->model_count, sizeof(*order), by_size);
	for (i = 0; i < config->model_count; i++) {
		size_t home = choose(config, order[i].model, left_mb);

		homes[order[i].index] = home;
		left_mb[home] -= (int64_t)whole_mb(order[i].model);
	}
	free(order);
	free(left_mb);
	return 0;
}
