#include <stdio.h>
#include <string.h>

#include "almondthread/fleet.h"

static at_resident_model_t *
find_model(at_resident_set_t *set, at_tag_t model)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		if (set->models[i].tag == model)
			return &set->models[i];
	}
	return NULL;
}

static size_t
find_adapter(const at_resident_model_t *model, at_tag_t adapter)
{
	size_t i;

	for (i = 0; i < model->adapter_count; i++) {
		if (model->adapters[i].tag == adapter)
			break;
	}
	return i;
}

int
at_resident_set_has(
    const at_resident_set_t *set, at_tag_t model, at_tag_t adapter)
{
	size_t i;

	for (i = 0; i < set->count; i++) {
		const at_resident_model_t *entry = &set->models[i];

		if (entry->tag == model)
			return adapter == 0 || find_adapter(entry, adapter) <
						   entry->adapter_count;
	}
	return 0;
}

void
at_resident_set_update_model(
    at_resident_set_t *set, const at_name_t *model, int resident)
{
	at_resident_model_t *entry =
	    find_model(set, at_tag_from_text(model->text));

	if (!resident && entry != NULL) {
		*entry = set->models[--set->count];
	} else if (resident && entry == NULL &&
		   set->count < AT_RESIDENT_MODELS_MAX) {
		entry = &set->models[set->count++];
		memset(entry, 0, sizeof(*entry));
		entry->name = *model;
		entry->tag = at_tag_from_text(model->text);
	}
}

void
at_resident_set_update_adapter(at_resident_set_t *set, const at_name_t *model,
    const at_name_t *adapter, int resident)
{
	at_resident_model_t *entry =
	    find_model(set, at_tag_from_text(model->text));
	char text[2 * AT_NAME_SIZE];
	at_tag_t tag;
	size_t i;

	if (entry == NULL)
		return;
	(void)snprintf(text, sizeof(text), "%s/%s", model->text, adapter->text);
	tag = at_tag_from_text(text);
	i = find_adapter(entry, tag);
	if (resident && i == entry->adapter_count &&
	    i < AT_RESIDENT_ADAPTERS_MAX) {
		entry->adapters[i].tag = tag;
		entry->adapters[i].name = *adapter;
		entry->adapter_count++;
	} else if (!resident && i < entry->adapter_count) {
		entry->adapters[i] = entry->adapters[--entry->adapter_count];
	}
}

size_t
at_resident_set_adapter_count(const at_resident_set_t *set)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < set->count; i++)
		count += set->models[i].adapter_count;
	return count;
}
