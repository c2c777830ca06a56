/*
 * placement_data_centre.c - selects the data centre in which a model must be
 * resident when no data centre has memory for all models.
 *
 * Every planner computes the same result from the same configuration. Models
 * are assigned in order of size, the largest first, each to the data centre
 * that rendezvous hashing ranks highest among those with enough memory left. So
 * no data centre is assigned more than its memory as long as one has enough
 * left.
 */
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/placement/placement_internal.h"

/* A model in the order of assignment. */
typedef struct ordered_model {
	const item_t *model;
	size_t index;
} ordered_model_t;

static uint64_t
total_mb(const item_t *model)
{
	return model->memory_mb + model->adapters_mb;
}

static int
compare_size(const void *a, const void *b)
{
	const ordered_model_t *x = a;
	const ordered_model_t *y = b;

	if (total_mb(x->model) != total_mb(y->model))
		return total_mb(x->model) > total_mb(y->model) ? -1 : 1;
	return strcmp(x->model->name.text, y->model->name.text);
}

static uint64_t
compute_rank(const at_name_t *data_centre, const char *model)
{
	uint64_t own = XXH64(data_centre->text, strlen(data_centre->text), 0);

	return XXH64(&own, sizeof(own), XXH64(model, strlen(model), 1));
}

/*
 * Returns the data centre of a model. If the model fits nowhere, that is the
 * one with the most memory left.
 */
static size_t
select_data_centre(
    const at_config_t *config, const item_t *model, const int64_t *left_mb)
{
	int64_t needed_mb = (int64_t)total_mb(model);
	size_t best = 0;
	uint64_t best_rank = 0;
	int found = 0;
	size_t i;

	for (i = 0; i < config->data_centre_count; i++) {
		uint64_t rank =
		    compute_rank(&config->data_centres[i], model->name.text);

		if (!found && left_mb[i] > left_mb[best])
			best = i;
		if (left_mb[i] < needed_mb || (found && rank <= best_rank))
			continue;
		found = 1;
		best = i;
		best_rank = rank;
	}
	return best;
}

int
at_placement_assign_data_centres(const at_config_t *config, const item_t *items,
    uint32_t percent, size_t *data_centres)
{
	ordered_model_t *order =
	    calloc(config->model_count + 1, sizeof(*order));
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
	qsort(order, config->model_count, sizeof(*order), compare_size);
	for (i = 0; i < config->model_count; i++) {
		size_t data_centre =
		    select_data_centre(config, order[i].model, left_mb);

		data_centres[order[i].index] = data_centre;
		left_mb[data_centre] -= (int64_t)total_mb(order[i].model);
	}
	free(order);
	free(left_mb);
	return 0;
}
