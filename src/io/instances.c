#include "io/instances.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

static void
copy_address(char out[AT_ADDR_SIZE], json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	(void)snprintf(out, AT_ADDR_SIZE, "%s", text == NULL ? "" : text);
}

static int
parse_entry(json_t *object, at_instance_t *instance)
{
	const char *kind = json_string_value(json_object_get(object, "kind"));
	const char *service =
	    json_string_value(json_object_get(object, "service"));
	int k;

	memset(instance, 0, sizeof(*instance));
	for (k = 0; kind != NULL && k < AT_INSTANCE_KIND_COUNT; k++) {
		if (strcmp(kind, at_instance_kind_names[k]) == 0)
			break;
	}
	if (kind == NULL || k == AT_INSTANCE_KIND_COUNT)
		return -1;
	instance->kind = (at_instance_kind_t)k;
	if (service != NULL)
		(void)at_name_set(&instance->service, service);
	copy_address(instance->address, object, "address");
	copy_address(instance->peer_address, object, "peer_address");
	instance->is_leaving = json_is_true(json_object_get(object, "leaving"));
	if (at_name_set(&instance->data_centre,
		json_string_value(json_object_get(object, "data_centre"))) != 0)
		return -1;
	return at_name_set(&instance->name,
	    json_string_value(json_object_get(object, "name")));
}

static void
parse_entries(at_instances_t *instances, json_t *list)
{
	json_t *entry;
	size_t i;

	json_array_foreach(list, i, entry)
	{
		if (parse_entry(entry, &instances->entries[instances->count]) ==
		    0)
			instances->count++;
	}
}

at_instances_t *
at_instances_parse(const char *text, size_t len)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	json_t *list = json_object_get(root, "instances");
	json_int_t revision =
	    json_integer_value(json_object_get(root, "revision"));
	at_instances_t *instances = NULL;

	if (json_is_array(list) && revision > 0)
		instances = calloc(1, sizeof(*instances));
	if (instances != NULL) {
		instances->revision = (uint64_t)revision;
		instances->entries =
		    calloc(json_array_size(list) + 1, sizeof(at_instance_t));
		if (instances->entries != NULL)
			parse_entries(instances, list);
	}
	json_decref(root);
	return instances;
}

void
at_instances_delete(at_instances_t *instances)
{
	if (instances == NULL)
		return;
	free(instances->entries);
	free(instances);
}
