#include "almondthread/config.h"

#include <inttypes.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>
#include <sodium.h>

#define PATH_SIZE 128             /* bytes of a field's path, with the NUL */
#define MEMORY_MB_MAX 100000000u  /* of an engine, model or adapter */
#define TOKENS_MAX 1000000000000u /* of a rate per second or a burst */
#define DURATION_MS_MAX (24u * 3600 * 1000) /* any duration in milliseconds */

/* State of the parser; status describes the first invalid field. */
typedef struct parser {
	at_config_t *config;
	at_status_t *status;
	char path[PATH_SIZE]; /* of the entry being read */
	int failed;
} parser_t;

static void __attribute__((format(printf, 3, 4)))
set_error(parser_t *parser, const char *field, const char *fmt, ...)
{
	char text[160];
	const char *separator =
	    parser->path[0] != '\0' && field[0] != '\0' ? "." : "";
	va_list ap;

	if (parser->failed)
		return;
	parser->failed = 1;
	va_start(ap, fmt);
	(void)vsnprintf(text, sizeof(text), fmt, ap);
	va_end(ap);
	(void)at_status_set(parser->status, AT_INVALID, "%s%s%s: %s",
	    parser->path, separator, field, text);
}

static uint64_t
read_number(parser_t *parser, json_t *object, const char *field, uint64_t min,
    uint64_t max, uint64_t fallback)
{
	json_t *value = json_object_get(object, field);
	json_int_t number;

	if (value == NULL && fallback != UINT64_MAX)
		return fallback;
	number = json_integer_value(value);
	if (!json_is_integer(value) || number < 0 || (uint64_t)number < min ||
	    (uint64_t)number > max) {
		set_error(parser, field,
		    "expected a number from %" PRIu64 " to %" PRIu64, min, max);
		return min;
	}
	return (uint64_t)number;
}

#define REQUIRED UINT64_MAX /* fallback of a field that must be present */

static uint32_t
read_u32(parser_t *parser, json_t *object, const char *field, uint32_t max,
    uint64_t fallback)
{
	return (uint32_t)read_number(parser, object, field, 0, max, fallback);
}

static int
read_bool(parser_t *parser, json_t *object, const char *field)
{
	json_t *value = json_object_get(object, field);

	if (value != NULL && !json_is_boolean(value))
		set_error(parser, field, "expected true or false");
	return json_is_true(value);
}

static void
read_text(parser_t *parser, json_t *object, const char *field, char *out,
    size_t size, const char *expected)
{
	const char *text = json_string_value(json_object_get(object, field));

	out[0] = '\0';
	if (text == NULL || text[0] == '\0' || strlen(text) >= size) {
		set_error(parser, field, "expected %s of 1 to %zu bytes",
		    expected, size - 1);
		return;
	}
	memcpy(out, text, strlen(text) + 1);
}

static void
read_name(parser_t *parser, json_t *object, const char *field, at_name_t *name,
    int optional)
{
	json_t *value = json_object_get(object, field);

	memset(name, 0, sizeof(*name));
	if (value == NULL && optional)
		return;
	if (at_name_set(name, json_string_value(value)) != 0)
		set_error(parser, field,
		    "expected a name of 1 to %u of the bytes A-Za-z0-9._:/-",
		    AT_NAME_MAX);
}

static int
read_enum(parser_t *parser, json_t *object, const char *field,
    const char *const *names, int count, int fallback)
{
	json_t *value = json_object_get(object, field);
	const char *text = json_string_value(value);
	int i;

	if (value == NULL && fallback >= 0)
		return fallback;
	for (i = 0; text != NULL && i < count; i++) {
		if (strcmp(text, names[i]) == 0)
			return i;
	}
	set_error(parser, field, "expected one of '%s' to '%s'", names[0],
	    names[count - 1]);
	return 0;
}

/* Rejects unknown fields, so that a misspelled field is not ignored. */
static void
check_fields(parser_t *parser, json_t *object, const char *const *fields)
{
	const char *field;
	json_t *value;

	json_object_foreach(object, field, value)
	{
		const char *const *field_name = fields;

		while (*field_name != NULL && strcmp(*field_name, field) != 0)
			field_name++;
		if (*field_name == NULL)
			set_error(parser, field, "unknown field");
	}
}

typedef void (*read_entry_t)(parser_t *parser, json_t *object, void *entry);

/*
 * Reads an array into a new array of entries of size bytes, which the caller
 * frees. Returns NULL when the field is absent, empty or invalid.
 */
static void *
read_array(parser_t *parser, json_t *parent, const char *field, size_t size,
    size_t *count, read_entry_t read_entry)
{
	json_t *array = json_object_get(parent, field);
	char parent_path[PATH_SIZE];
	char *entries;
	size_t i;

	*count = 0;
	if (array == NULL)
		return NULL;
	if (!json_is_array(array)) {
		set_error(parser, field, "expected an array");
		return NULL;
	}
	if (json_array_size(array) == 0)
		return NULL;
	entries = calloc(json_array_size(array), size);
	if (entries == NULL) {
		set_error(parser, field, "out of memory");
		return NULL;
	}
	*count = json_array_size(array);
	memcpy(parent_path, parser->path, sizeof(parent_path));
	for (i = 0; i < *count && !parser->failed; i++) {
		json_t *object = json_array_get(array, i);

		(void)snprintf(parser->path, sizeof(parser->path),
		    "%.80s%s%s[%zu]", parent_path,
		    parent_path[0] == '\0' ? "" : ".", field, i);
		if (json_is_object(object) || json_is_string(object))
			read_entry(parser, object, entries + i * size);
		else
			set_error(parser, "", "expected an object");
	}
	memcpy(parser->path, parent_path, sizeof(parent_path));
	return entries;
}

static void
read_data_centre(parser_t *parser, json_t *object, void *entry)
{
	if (at_name_set(entry, json_string_value(object)) != 0)
		set_error(parser, "", "expected a name");
}

static void
read_key(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {"id", "hash", NULL};
	at_key_t *key = entry;
	const char *hex;
	size_t len = 0;

	check_fields(parser, object, fields);
	read_name(parser, object, "id", &key->id, 0);
	hex = json_string_value(json_object_get(object, "hash"));
	if (hex == NULL || strlen(hex) != 2 * sizeof(key->hash) ||
	    sodium_hex2bin(key->hash, sizeof(key->hash), hex, strlen(hex), NULL,
		&len, NULL) != 0 ||
	    len != sizeof(key->hash))
		set_error(parser, "hash", "expected %zu hexadecimal digits",
		    2 * sizeof(key->hash));
}

static void
read_workspace(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {
	    "name", "rate_tokens_s", "burst_tokens", "keys", NULL};
	at_workspace_t *w = entry;

	check_fields(parser, object, fields);
	read_name(parser, object, "name", &w->name, 0);
	w->rate_tokens_s = read_number(
	    parser, object, "rate_tokens_s", 0, TOKENS_MAX, REQUIRED);
	w->burst_tokens = read_number(
	    parser, object, "burst_tokens", 0, TOKENS_MAX, REQUIRED);
	w->keys = read_array(
	    parser, object, "keys", sizeof(*w->keys), &w->key_count, read_key);
}

static void
read_model(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {
	    "name", "version", "memory_mb", NULL};
	at_model_t *m = entry;

	check_fields(parser, object, fields);
	read_name(parser, object, "name", &m->name, 0);
	m->version = read_u32(parser, object, "version", UINT32_MAX, 1);
	m->memory_mb = read_number(
	    parser, object, "memory_mb", 1, MEMORY_MB_MAX, REQUIRED);
}

static void
read_adapter(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {
	    "name", "model", "version", "memory_mb", "workspace", NULL};
	at_adapter_t *a = entry;

	check_fields(parser, object, fields);
	read_name(parser, object, "name", &a->name, 0);
	read_name(parser, object, "model", &a->model, 0);
	read_name(parser, object, "workspace", &a->workspace, 1);
	a->version = read_u32(parser, object, "version", UINT32_MAX, 1);
	a->memory_mb = read_number(
	    parser, object, "memory_mb", 1, MEMORY_MB_MAX, REQUIRED);
}

static void
read_engine(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {"name", "data_centre",
	    "accelerators", "memory_mb", "heeds_fencing", NULL};
	at_engine_t *e = entry;

	check_fields(parser, object, fields);
	read_name(parser, object, "name", &e->name, 0);
	read_name(parser, object, "data_centre", &e->data_centre, 0);
	e->accelerators = read_u32(parser, object, "accelerators", 1024, 1);
	e->memory_mb = read_number(
	    parser, object, "memory_mb", 1, MEMORY_MB_MAX, REQUIRED);
	e->heeds_fencing = read_bool(parser, object, "heeds_fencing");
}

static void
read_service(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {"name", "checks_orders", NULL};
	at_service_t *s = entry;

	check_fields(parser, object, fields);
	read_name(parser, object, "name", &s->name, 0);
	s->checks_orders = read_bool(parser, object, "checks_orders");
}

static void
read_route(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {"path", "method", "service",
	    "repeat", "priority", "deadline_ms", "cost_tokens", "open", NULL};
	at_route_t *route = entry;

	check_fields(parser, object, fields);
	read_text(
	    parser, object, "path", route->path, sizeof(route->path), "a path");
	if (route->path[0] != '/')
		set_error(
		    parser, "path", "expected a path that begins with '/'");
	read_text(parser, object, "method", route->method,
	    sizeof(route->method), "a method");
	read_name(parser, object, "service", &route->service, 0);
	route->repeat = (at_repeat_t)read_enum(
	    parser, object, "repeat", at_repeat_names, AT_REPEAT_COUNT, -1);
	route->priority = (at_priority_t)read_enum(parser, object, "priority",
	    at_priority_names, AT_PRIORITY_COUNT, AT_PRIORITY_INTERACTIVE);
	route->deadline_ms =
	    read_u32(parser, object, "deadline_ms", DURATION_MS_MAX, 0);
	route->cost_tokens =
	    read_u32(parser, object, "cost_tokens", UINT32_MAX, 1);
	route->is_public = read_bool(parser, object, "open");
}

static void
read_exception(parser_t *parser, json_t *object, void *entry)
{
	static const char *const fields[] = {
	    "kind", "subject", "engine", "value", "reason", NULL};
	at_exception_t *e = entry;
	int has_engine;

	check_fields(parser, object, fields);
	e->kind = (at_exception_kind_t)read_enum(parser, object, "kind",
	    at_exception_kind_names, AT_EXCEPTION_KIND_COUNT, -1);
	has_engine =
	    e->kind == AT_EXCEPTION_PIN || e->kind == AT_EXCEPTION_FORBID;
	read_name(parser, object, "subject", &e->subject, 0);
	read_name(parser, object, "engine", &e->engine, !has_engine);
	e->value = read_number(parser, object, "value", 0, DURATION_MS_MAX,
	    has_engine ? 0 : REQUIRED);
	read_text(
	    parser, object, "reason", e->reason, sizeof(e->reason), "a reason");
}

static void
read_placement_defaults(parser_t *parser, json_t *object)
{
	at_defaults_t *d = &parser->config->defaults;

	d->loads_per_1000_s = (uint32_t)read_number(
	    parser, object, "loads_per_1000_s", 1, 1000000, 2000);
	d->loads_in_flight = (uint32_t)read_number(
	    parser, object, "loads_in_flight", 1, 10000, 8);
	d->adapters_in_flight = (uint32_t)read_number(
	    parser, object, "adapters_in_flight", 1, 10000, 40);
	d->order_lifetime_ms = read_u32(
	    parser, object, "order_lifetime_ms", DURATION_MS_MAX, 10000);
	d->engine_tokens_s = (uint32_t)read_number(
	    parser, object, "engine_tokens_s", 1, 100000000, 1000);
	d->instance_gone_ms = read_u32(
	    parser, object, "instance_gone_ms", DURATION_MS_MAX, 60000);
}

static void
read_defaults(parser_t *parser, json_t *root)
{
	static const char *const fields[] = {"first_byte_ms", "idle_ms",
	    "deadline_ms", "connect_ms", "max_body_bytes", "max_tokens",
	    "min_replicas", "key_staleness_ms", "claim_retention_s",
	    "cut_off_keys", "loads_per_1000_s", "loads_in_flight",
	    "adapters_in_flight", "order_lifetime_ms", "engine_tokens_s",
	    "instance_gone_ms", NULL};
	json_t *object = json_object_get(root, "defaults");
	at_defaults_t *d = &parser->config->defaults;

	(void)snprintf(parser->path, sizeof(parser->path), "defaults");
	if (object != NULL && !json_is_object(object))
		set_error(parser, "", "expected an object");
	check_fields(parser, object, fields);
	d->first_byte_ms =
	    read_u32(parser, object, "first_byte_ms", DURATION_MS_MAX, 10000);
	d->idle_ms = read_u32(parser, object, "idle_ms", DURATION_MS_MAX, 5000);
	d->deadline_ms =
	    read_u32(parser, object, "deadline_ms", DURATION_MS_MAX, 120000);
	d->connect_ms =
	    read_u32(parser, object, "connect_ms", DURATION_MS_MAX, 1000);
	d->max_body_bytes =
	    read_u32(parser, object, "max_body_bytes", 64u << 20, 1u << 20);
	d->max_tokens = read_u32(parser, object, "max_tokens", 10000000, 512);
	d->min_replicas = read_u32(parser, object, "min_replicas", 1024, 1);
	d->key_staleness_ms = read_u32(
	    parser, object, "key_staleness_ms", DURATION_MS_MAX, 600000);
	d->claim_retention_s = read_u32(
	    parser, object, "claim_retention_s", 30u * 24 * 3600, 24 * 3600);
	d->cut_off_keys =
	    (at_cut_off_keys_t)read_enum(parser, object, "cut_off_keys",
		at_cut_off_keys_names, AT_CUT_OFF_COUNT, AT_CUT_OFF_SERVE);
	read_placement_defaults(parser, object);
	parser->path[0] = '\0';
}

static void
index_names(parser_t *parser, const char *field, at_name_index_t *index,
    const void *array, size_t count, size_t size)
{
	const char *duplicate;

	if (at_name_index_build(index, array, count, size, &duplicate) != 0)
		set_error(parser, field, "out of memory");
	else if (duplicate != NULL)
		set_error(parser, field, "duplicate name '%s'", duplicate);
}

static void
check_reference(parser_t *parser, const char *field, size_t index,
    const at_name_t *name, const void *found)
{
	if (found != NULL)
		return;
	(void)snprintf(
	    parser->path, sizeof(parser->path), "%.32s[%zu]", field, index);
	set_error(parser, "", "'%s' is not configured", name->text);
	parser->path[0] = '\0';
}

static const void *
find_data_centre(const at_config_t *c, const at_name_t *name)
{
	return at_name_index_find(&c->data_centre_index, c->data_centres,
	    c->data_centre_count, sizeof(*c->data_centres), name->text);
}

static int
subject_exists(const at_config_t *c, const char *name)
{
	return at_config_find_model(c, name) != NULL ||
	       at_config_find_adapter(c, name) != NULL ||
	       at_config_find_service(c, name) != NULL;
}

static void
build_indexes(parser_t *parser)
{
	at_config_t *c = parser->config;

	index_names(parser, "data_centres", &c->data_centre_index,
	    c->data_centres, c->data_centre_count, sizeof(*c->data_centres));
	index_names(parser, "workspaces", &c->workspace_index, c->workspaces,
	    c->workspace_count, sizeof(*c->workspaces));
	index_names(parser, "models", &c->model_index, c->models,
	    c->model_count, sizeof(*c->models));
	index_names(parser, "adapters", &c->adapter_index, c->adapters,
	    c->adapter_count, sizeof(*c->adapters));
	index_names(parser, "engines", &c->engine_index, c->engines,
	    c->engine_count, sizeof(*c->engines));
	index_names(parser, "services", &c->service_index, c->services,
	    c->service_count, sizeof(*c->services));
	if (at_config_index_keys(c) != 0)
		set_error(parser, "workspaces", "out of memory");
}

static void
check_references(parser_t *parser)
{
	const at_config_t *c = parser->config;
	size_t i;

	for (i = 0; i < c->adapter_count; i++) {
		const at_adapter_t *a = &c->adapters[i];

		check_reference(parser, "adapters", i, &a->model,
		    at_config_find_model(c, a->model.text));
		if (a->workspace.text[0] != '\0')
			check_reference(parser, "adapters", i, &a->workspace,
			    at_config_find_workspace(c, a->workspace.text));
		if (at_config_find_model(c, a->name.text) != NULL)
			set_error(parser, "adapters",
			    "'%s' is also the name of a model", a->name.text);
	}
	for (i = 0; i < c->engine_count; i++)
		check_reference(parser, "engines", i,
		    &c->engines[i].data_centre,
		    find_data_centre(c, &c->engines[i].data_centre));
	for (i = 0; i < c->route_count; i++)
		check_reference(parser, "routes", i, &c->routes[i].service,
		    at_config_find_service(c, c->routes[i].service.text));
	for (i = 0; i < c->exception_count; i++) {
		const at_exception_t *e = &c->exceptions[i];

		check_reference(parser, "exceptions", i, &e->subject,
		    subject_exists(c, e->subject.text) ? e : NULL);
		if (e->engine.text[0] != '\0')
			check_reference(parser, "exceptions", i, &e->engine,
			    at_config_find_engine(c, e->engine.text));
	}
}

static void
read_document(parser_t *parser, json_t *root)
{
	static const char *const fields[] = {"generation", "defaults",
	    "data_centres", "workspaces", "models", "adapters", "engines",
	    "services", "routes", "exceptions", NULL};
	at_config_t *c = parser->config;

	check_fields(parser, root, fields);
	c->generation =
	    read_number(parser, root, "generation", 0, INT64_MAX, 0);
	read_defaults(parser, root);
	c->data_centres = read_array(parser, root, "data_centres",
	    sizeof(*c->data_centres), &c->data_centre_count, read_data_centre);
	c->workspaces = read_array(parser, root, "workspaces",
	    sizeof(*c->workspaces), &c->workspace_count, read_workspace);
	c->models = read_array(parser, root, "models", sizeof(*c->models),
	    &c->model_count, read_model);
	c->adapters = read_array(parser, root, "adapters", sizeof(*c->adapters),
	    &c->adapter_count, read_adapter);
	c->engines = read_array(parser, root, "engines", sizeof(*c->engines),
	    &c->engine_count, read_engine);
	c->services = read_array(parser, root, "services", sizeof(*c->services),
	    &c->service_count, read_service);
	c->routes = read_array(parser, root, "routes", sizeof(*c->routes),
	    &c->route_count, read_route);
	c->exceptions = read_array(parser, root, "exceptions",
	    sizeof(*c->exceptions), &c->exception_count, read_exception);
	if (!parser->failed)
		build_indexes(parser);
	if (!parser->failed)
		check_references(parser);
}

at_config_t *
at_config_parse(const char *text, size_t len, at_status_t *status)
{
	parser_t parser = {.status = status};
	json_error_t error;
	json_t *root = json_loadb(text, len, JSON_REJECT_DUPLICATES, &error);

	if (root == NULL || !json_is_object(root)) {
		(void)at_status_set(status, AT_INVALID,
		    "line %d, column %d: %s", error.line, error.column,
		    root == NULL ? error.text : "expected an object");
		json_decref(root);
		return NULL;
	}
	parser.config = calloc(1, sizeof(*parser.config));
	if (parser.config == NULL) {
		(void)at_status_set(status, AT_FAILED, "out of memory");
		json_decref(root);
		return NULL;
	}
	read_document(&parser, root);
	json_decref(root);
	if (parser.failed) {
		at_config_delete(parser.config);
		return NULL;
	}
	return parser.config;
}
