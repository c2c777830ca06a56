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
	free(config);
}

/*
 * Every named entry begins with its at_name_t, so one search serves all
 * arrays.
 */
static const void *
find_named(const void *array, size_t count, size_t size, const char *name)
{
	const char *entry = array;
	size_t i;

	for (i = 0; i < count; i++, entry += size) {
		if (strcmp(((const at_name_t *)(const void *)entry)->text,
			name) == 0)
			return entry;
	}
	return NULL;
}

const at_workspace_t *
at_config_workspace(const at_config_t *config, const char *name)
{
	return find_named(config->workspaces, config->workspace_count,
	    sizeof(*config->workspaces), name);
}

const at_model_t *
at_config_model(const at_config_t *config, const char *name)
{
	return find_named(
	    config->models, config->model_count, sizeof(*config->models), name);
}

const at_adapter_t *
at_config_adapter(const at_config_t *config, const char *name)
{
	return find_named(config->adapters, config->adapter_count,
	    sizeof(*config->adapters), name);
}

const at_engine_t *
at_config_engine(const at_config_t *config, const char *name)
{
	return find_named(config->engines, config->engine_count,
	    sizeof(*config->engines), name);
}

const at_service_t *
at_config_service(const at_config_t *config, const char *name)
{
	return find_named(config->services, config->service_count,
	    sizeof(*config->services), name);
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
at_config_route(const at_config_t *config, const char *path, const char *method,
    int *wrong_method)
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
at_config_value(const at_config_t *config, at_exception_kind_t kind,
    const char *subject, uint64_t fallback)
{
	size_t i;

	for (i = 0; i < config->exception_count; i++) {
		const at_exception_t *e = &config->exceptions[i];

		if (e->kind == kind && strcmp(e->subject.text, subject) == 0)
			return e->value;
	}
	return fallback;
}
