#include "almondthread/site.h"

#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#define LIST_GROWTH 16u /* entries by which a list grows */

const char *const at_route_type_names[] = {"safe", "unsafe", "stream"};

at_tag_t
at_tag_from_text(const char *text)
{
	size_t len = strlen(text);

	return len == 0 ? 0 : XXH3_64bits(text, len);
}

at_site_t *
at_site_new(const at_fleet_secret_t *secret)
{
	at_site_t *site = calloc(1, sizeof(*site));

	if (site == NULL)
		return NULL;
	site->references = 1;
	site->secret = *secret;
	return site;
}

at_site_t *
at_site_ref(at_site_t *site)
{
	site->references++;
	return site;
}

static void
free_models(at_site_service_t *service)
{
	size_t i;

	for (i = 0; i < service->model_count; i++)
		free(service->models[i].adapters);
	free(service->models);
}

void
at_site_unref(at_site_t *site)
{
	size_t i;

	if (site == NULL || --site->references > 0)
		return;
	for (i = 0; i < site->service_count; i++)
		free_models(&site->services[i]);
	free(site->routes);
	free(site->services);
	free(site->workspaces);
	free(site->keys);
	free(site);
}

/*
 * Appends a zeroed entry to a list that grows in steps of LIST_GROWTH and
 * returns it, or NULL if out of memory.
 */
static void *
append_entry(void **list, size_t *count, size_t size)
{
	char *entry;

	if (*count % LIST_GROWTH == 0) {
		void *grown = realloc(*list, (*count + LIST_GROWTH) * size);

		if (grown == NULL)
			return NULL;
		*list = grown;
	}
	entry = (char *)*list + *count * size;
	memset(entry, 0, size);
	(*count)++;
	return entry;
}

at_site_route_t *
at_site_add_route(at_site_t *site)
{
	return append_entry(
	    (void **)&site->routes, &site->route_count, sizeof(*site->routes));
}

at_site_service_t *
at_site_add_service(at_site_t *site)
{
	return append_entry((void **)&site->services, &site->service_count,
	    sizeof(*site->services));
}

at_site_workspace_t *
at_site_add_workspace(at_site_t *site)
{
	return append_entry((void **)&site->workspaces, &site->workspace_count,
	    sizeof(*site->workspaces));
}

at_site_adapter_t *
at_site_add_adapter(at_site_model_t *model)
{
	return append_entry((void **)&model->adapters, &model->adapter_count,
	    sizeof(*model->adapters));
}

at_site_model_t *
at_site_add_model(at_site_service_t *service)
{
	return append_entry((void **)&service->models, &service->model_count,
	    sizeof(*service->models));
}

int
at_site_add_key(at_site_t *site, const char *key, uint32_t workspace)
{
	at_site_key_t *entry = append_entry(
	    (void **)&site->keys, &site->key_count, sizeof(*site->keys));

	if (entry == NULL)
		return -1;
	at_key_hash(&site->secret, key, entry->hash);
	entry->workspace = workspace;
	return 0;
}

static int
compare_keys(const void *a, const void *b)
{
	const at_site_key_t *left = a;
	const at_site_key_t *right = b;

	return memcmp(left->hash, right->hash, sizeof(left->hash));
}

void
at_site_seal(at_site_t *site)
{
	if (site->key_count > 0)
		qsort(site->keys, site->key_count, sizeof(*site->keys),
		    compare_keys);
}

static int
is_host_equal(const char *expected, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(expected) == len && strncasecmp(expected, host, len) == 0;
}

const at_site_route_t *
at_site_find_route(const at_site_t *site, const char *host, const char *path)
{
	const at_site_route_t *best = NULL;
	size_t best_len = 0;
	size_t i;

	for (i = 0; i < site->route_count; i++) {
		const at_site_route_t *route = &site->routes[i];
		size_t len = strlen(route->prefix);

		if (len <= best_len || strncmp(route->prefix, path, len) != 0 ||
		    !is_host_equal(route->host, host))
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

const at_site_workspace_t *
at_site_find_workspace(const at_site_t *site, const char *key)
{
	at_site_key_t lookup;
	const at_site_key_t *found;

	if (site->key_count == 0)
		return NULL;
	at_key_hash(&site->secret, key, lookup.hash);
	found = bsearch(&lookup, site->keys, site->key_count,
	    sizeof(*site->keys), compare_keys);
	return found == NULL ? NULL : &site->workspaces[found->workspace];
}

const at_site_service_t *
at_site_find_service(const at_site_t *site, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < site->service_count; i++) {
		if (site->services[i].tag == tag)
			return &site->services[i];
	}
	return NULL;
}

const at_site_model_t *
at_site_find_model(const at_site_service_t *service, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < service->model_count; i++) {
		if (service->models[i].tag == tag)
			return &service->models[i];
	}
	return NULL;
}

at_tag_t
at_site_pick_target(const at_site_route_t *route, uint64_t draw)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < route->target_count; i++)
		sum += route->targets[i].weight;
	if (sum == 0)
		return route->target_count == 0 ? 0 : route->targets[0].service;
	draw %= sum;
	for (i = 0; i + 1 < route->target_count; i++) {
		if (draw < route->targets[i].weight)
			break;
		draw -= route->targets[i].weight;
	}
	return route->targets[i].service;
}
