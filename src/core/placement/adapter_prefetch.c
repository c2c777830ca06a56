/*
 * adapter_prefetch.c - adapters that are loaded before a request waits for them.
 *
 * Answers the load pattern of a shift of demand: engines are busy with models'
 * orders for seconds and take none for an adapter meanwhile, so that requests
 * for an adapter that is on a single engine, or on none, run out of time.
 */
#include "almondthread/residency.h"

#define AHEAD_PER_S 0.15 /* requests a second from which it is worth a load */
#define PLACES_KEPT 1u   /* for adapters that are asked for at once */

static int
holds(const at_resident_model_t *held, at_tag_t adapter)
{
	size_t i;

	for (i = 0; i < held->adapter_count; i++) {
		if (held->adapters[i].tag == adapter)
			return 1;
	}
	return 0;
}

int
at_adapter_prefetch_next(const at_site_service_t *service,
    const at_resident_set_t *held, const at_demand_rates_t *demand,
    at_name_t *model_name, at_name_t *adapter_name)
{
	double most_per_s = AHEAD_PER_S;
	int found = 0;
	size_t i;
	size_t k;

	if (at_resident_set_adapter_count(held) + PLACES_KEPT >=
	    service->adapter_slots)
		return 0;
	for (i = 0; i < held->count; i++) {
		const at_site_model_t *model =
		    at_site_find_model(service, held->models[i].tag);

		if (model == NULL)
			continue;
		for (k = 0; k < model->adapter_count; k++) {
			const at_site_adapter_t *adapter = &model->adapters[k];
			double per_s = at_demand_rates_get(
			    demand, service->tag, adapter->tag)
					   .long_term_per_s;

			if (per_s <= most_per_s ||
			    holds(&held->models[i], adapter->tag))
				continue;
			most_per_s = per_s;
			*model_name = model->name;
			*adapter_name = adapter->name;
			found = 1;
		}
	}
	return found;
}
