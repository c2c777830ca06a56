#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "core/placement/orders_internal.h"

static json_t *
encode_intent(const at_intent_t *intent)
{
	const at_order_t *o = &intent->order;

	return json_pack("{s:s,s:I,s:I,s:s,s:s,s:s,s:I,s:I,s:s,s:s,s:s}",
	    "kind", at_order_kind_names[o->kind], "id", (json_int_t)o->id,
	    "fence", (json_int_t)o->fence, "engine", o->engine.text, "model",
	    o->model.text, "adapter", o->adapter.text, "version",
	    (json_int_t)o->version, "memory_mb", (json_int_t)o->memory_mb,
	    "sender", intent->sender.instance.text, "number", "", "reason",
	    intent->reason);
}

size_t
at_orders_doc_encode(at_orders_t *orders)
{
	json_t *list = json_array();
	json_t *root;
	size_t i;

	for (i = 0; i < orders->count; i++) {
		const at_intent_t *intent = &orders->intents[i].intent;
		json_t *object = encode_intent(intent);

		/* JSON integers have 63 bits, incarnation numbers 64. */
		json_object_set_new(object, "number",
		    json_sprintf("%" PRIu64, intent->sender.number));
		json_array_append_new(list, object);
	}
	root = json_pack("{s:I,s:I,s:o}", "fence", (json_int_t)orders->fence,
	    "sequence", (json_int_t)orders->sequence, "intents", list);
	free(orders->text);
	orders->text = json_dumps(root, JSON_COMPACT);
	json_decref(root);
	return orders->text == NULL ? 0 : strlen(orders->text);
}

static uint64_t
get_number(json_t *object, const char *field)
{
	return (uint64_t)json_integer_value(json_object_get(object, field));
}

static int
parse_kind(json_t *object, at_order_kind_t *kind)
{
	const char *text = json_string_value(json_object_get(object, "kind"));
	int i;

	for (i = 0; text != NULL && i < AT_ORDER_KIND_COUNT; i++) {
		if (strcmp(text, at_order_kind_names[i]) == 0) {
			*kind = (at_order_kind_t)i;
			return 0;
		}
	}
	return -1;
}

static int
parse_name(json_t *object, const char *field, at_name_t *name)
{
	return at_name_set(
	    name, json_string_value(json_object_get(object, field)));
}

static int
parse_intent(json_t *object, at_intent_t *intent)
{
	at_order_t *o = &intent->order;
	const char *number =
	    json_string_value(json_object_get(object, "number"));
	const char *reason =
	    json_string_value(json_object_get(object, "reason"));

	memset(intent, 0, sizeof(*intent));
	if (number == NULL || parse_kind(object, &o->kind) != 0 ||
	    parse_name(object, "engine", &o->engine) != 0 ||
	    parse_name(object, "model", &o->model) != 0 ||
	    parse_name(object, "sender", &intent->sender.instance) != 0)
		return -1;
	(void)parse_name(object, "adapter", &o->adapter);
	o->id = get_number(object, "id");
	o->fence = get_number(object, "fence");
	o->version = (uint32_t)get_number(object, "version");
	o->memory_mb = get_number(object, "memory_mb");
	intent->sender.number = strtoull(number, NULL, 10);
	(void)snprintf(intent->reason, sizeof(intent->reason), "%s",
	    reason == NULL ? "" : reason);
	return 0;
}

static int
parse_intents(at_orders_t *orders, json_t *list)
{
	json_t *object;
	size_t i;

	orders->count = 0;
	json_array_foreach(list, i, object)
	{
		open_intent_t *o = &orders->intents[orders->count];

		if (orders->count == AT_ORDERS_INTENTS_MAX)
			return -1;
		memset(o, 0, sizeof(*o));
		if (parse_intent(object, &o->intent) != 0)
			return -1;
		o->is_foreign = 1;
		o->last_arrival_ms = UNKNOWN_MS;
		orders->count++;
	}
	return 0;
}

int
at_orders_doc_parse(
    at_orders_t *orders, const char *text, size_t len, int replace_intents)
{
	json_t *root = json_loadb(text, len, 0, NULL);
	json_t *list = json_object_get(root, "intents");
	int result = json_is_array(list) ? 0 : -1;

	orders->object_fence = get_number(root, "fence");
	orders->object_sequence = get_number(root, "sequence");
	if (result == 0 && replace_intents)
		result = parse_intents(orders, list);
	json_decref(root);
	return result;
}
