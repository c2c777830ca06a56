/*
 * adapter_prefetch.c - selects adapters to load before requests wait for them.
 *
 * When demand shifts, engines are busy for seconds with loading and unloading
 * models and accept no order for an adapter meanwhile. Without prefetching,
 * requests for an adapter that is resident on one engine or on none would
 * expire.
 */
#include "almondthread/residency.h"

/* Request rate from which an adapter is worth a load. */
#define PREFETCH_MIN_PER_S 0.15
/* Slots left free for adapters that are requested at once. */
#define SLOTS_RESERVED 1u

static int
has_adapter(const at_resident_model_t *model, at_tag_t adapter)
{
	size_t i;

	for (i = 0; i < model->adapter_count; i++) {
		if (model->adapters[i].tag == adapter)
			return 1;
	}
	return 0;
}

int
at_adapter_prefetch_next(const at_site_service_t *service,
    const at_resident_set_t *residents, const at_demand_rates_t *demand,
    at_name_t *model_name, at_name_t *adapter_name)
{
	double highest_per_s = PREFETCH_MIN_PER_S;
	int found = 0;
	size_t i;
	size_t k;

	if (at_resident_set_adapter_count(residents) + SLOTS_RESERVED >=
	    service->adapter_slots)
		return 0;
	for (i = 0; i < residents->count; i++) {
		const at_site_model_t *model =
		    at_site_find_model(service, residents->models[i].tag);

		if (model == NULL)
			continue;
		for (k = 0; k < model->adapter_count; k++) {
			const at_site_adapter_t *adapter = &model->adapters[k];
			double per_s = at_demand_rates_get(
			    demand, service->tag, adapter->tag)
					   .long_term_per_s;

			if (per_s <= highest_per_s ||
			    has_adapter(&residents->models[i], adapter->tag))
				continue;
			highest_per_s = per_s;
			*model_name = model->name;
			*adapter_name = adapter->name;
			found = 1;
		}
	}
	return found;
}
