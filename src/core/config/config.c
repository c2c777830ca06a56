#include "almondthread/config.h"

#include <stdlib.h>
#include <string.h>

const char *const at_repeat_names[] = {"repeatable", "idempotent", "once"};
const char *const at_priority_names[] = {"interactive", "overnight"};
const char *const at_cut_off_keys_names[] = {"serve", "refuse"};
const char *const at_exception_kind_names[] = {"pin", "forbid", "min_replicas",
    "first_byte_ms", "deadline_ms", "max_tokens"};

void
at_config_delete(at_config_t *config)
{
	size_t i;

	if (config == NULL)
		return;
	for (i = 0; i < config->workspace_count; i++)
		free(config->workspaces[i].keys);
	free(config->data_centres);
	free(config->workspaces);
	free(config->models);
	free(config->adapters);
	free(config->engines);
	free(config->services);
	free(config->routes);
	free(config->exceptions);
	at_name_index_clear(&config->data_centre_index);
	at_name_index_clear(&config->workspace_index);
	at_name_index_clear(&config->model_index);
	at_name_index_clear(&config->adapter_index);
	at_name_index_clear(&config->engine_index);
	at_name_index_clear(&config->service_index);
	free(config->key_slots);
	free(config);
}

static size_t
count_keys(const at_config_t *config)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < config->workspace_count; i++)
		count += config->workspaces[i].key_count;
	return count;
}

/*
 * Returns the first slot to probe. The hash is uniform and keyed, so callers
 * cannot choose keys that collide.
 */
static size_t
first_key_slot(const at_config_t *config, const uint8_t hash[AT_KEY_HASH_SIZE])
{
	size_t slot;

	memcpy(&slot, hash, sizeof(slot));
	return slot & config->key_mask;
}

static void
add_key(
    at_config_t *config, const at_workspace_t *workspace, const at_key_t *key)
{
	size_t i = first_key_slot(config, key->hash);

	while (config->key_slots[i].key != NULL)
		i = (i + 1) & config->key_mask;
	config->key_slots[i].key = key;
	config->key_slots[i].workspace = workspace;
}

int
at_config_index_keys(at_config_t *config)
{
	size_t size = 2;
	size_t w;
	size_t k;

	while (size < 2 * count_keys(config))
		size *= 2;
	free(config->key_slots);
	config->key_slots = calloc(size, sizeof(*config->key_slots));
	config->key_mask = size - 1;
	if (config->key_slots == NULL)
		return -1;
	for (w = 0; w < config->workspace_count; w++) {
		const at_workspace_t *workspace = &config->workspaces[w];

		for (k = 0; k < workspace->key_count; k++)
			add_key(config, workspace, &workspace->keys[k]);
	}
	return 0;
}

const at_workspace_t *
at_config_find_workspace(const at_config_t *config, const char *name)
{
	return at_name_index_find(&config->workspace_index, config->workspaces,
	    config->workspace_count, sizeof(*config->workspaces), name);
}

const at_model_t *
at_config_find_model(const at_config_t *config, const char *name)
{
	return at_name_index_find(&config->model_index, config->models,
	    config->model_count, sizeof(*config->models), name);
}

const at_adapter_t *
at_config_find_adapter(const at_config_t *config, const char *name)
{
	return at_name_index_find(&config->adapter_index, config->adapters,
	    config->adapter_count, sizeof(*config->adapters), name);
}

const at_engine_t *
at_config_find_engine(const at_config_t *config, const char *name)
{
	return at_name_index_find(&config->engine_index, config->engines,
	    config->engine_count, sizeof(*config->engines), name);
}

const at_service_t *
at_config_find_service(const at_config_t *config, const char *name)
{
	return at_name_index_find(&config->service_index, config->services,
	    config->service_count, sizeof(*config->services), name);
}

static int
path_matches(const char *pattern, const char *path)
{
	size_t len = strlen(pattern);

	if (len > 0 && pattern[len - 1] == '/')
		return strncmp(pattern, path, len) == 0;
	return strcmp(pattern, path) == 0;
}

const at_route_t *
at_config_find_route(const at_config_t *config, const char *path,
    const char *method, int *wrong_method)
{
	const at_route_t *best = NULL;
	size_t i;

	*wrong_method = 0;
	for (i = 0; i < config->route_count; i++) {
		const at_route_t *route = &config->routes[i];

		if (!path_matches(route->path, path))
			continue;
		if (strcmp(route->method, method) != 0) {
			*wrong_method = 1;
			continue;
		}
		if (best == NULL || strlen(route->path) > strlen(best->path))
			best = route;
	}
	if (best != NULL)
		*wrong_method = 0;
	return best;
}

uint64_t
at_config_exception_value(const at_config_t *config, at_exception_kind_t kind,
    const char *subject, uint64_t fallback)
{
	size_t i;

	for (i = 0; i < config->exception_count; i++) {
		const at_exception_t *exception = &config->exceptions[i];

		if (exception->kind == kind &&
		    strcmp(exception->subject.text, subject) == 0)
			return exception->value;
	}
	return fallback;
}
