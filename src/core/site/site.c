#include "almondthread/site.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include <xxhash.h>

#define LIST_INITIAL 16u /* entries of a list at first; a power of two */

#define FNV_BASIS 14695981039346656037u
#define FNV_PRIME 1099511628211u

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
unref_route(at_site_route_t *route)
{
	if (--route->references == 0)
		free(route);
}

static void
unref_service(at_site_service_t *service)
{
	size_t i;

	if (--service->references > 0)
		return;
	for (i = 0; i < service->model_count; i++)
		free(service->models[i].adapters);
	free(service->models);
	free(service);
}

void
at_site_unref(at_site_t *site)
{
	size_t i;

	if (site == NULL || --site->references > 0)
		return;
	for (i = 0; i < site->route_count; i++)
		unref_route(site->routes[i]);
	for (i = 0; i < site->service_count; i++)
		unref_service(site->services[i]);
	free(site->routes);
	free(site->route_table);
	free(site->services);
	free(site->workspaces);
	free(site->keys);
	free(site);
}

/*
 * Appends a zeroed entry to a list, whose size doubles from LIST_INITIAL
 * entries on, and returns it, or NULL if out of memory.
 */
static void *
append_entry(void **list, size_t *count, size_t size)
{
	char *entry;

	if (*count == 0 ||
	    (*count >= LIST_INITIAL && (*count & (*count - 1)) == 0)) {
		size_t capacity = *count == 0 ? LIST_INITIAL : *count * 2;
		void *grown = realloc(*list, capacity * size);

		if (grown == NULL)
			return NULL;
		*list = grown;
	}
	entry = (char *)*list + *count * size;
	memset(entry, 0, size);
	(*count)++;
	return entry;
}

int
at_site_share_route(at_site_t *site, at_site_route_t *route)
{
	at_site_route_t **place = append_entry(
	    (void **)&site->routes, &site->route_count, sizeof(void *));

	if (place == NULL)
		return -1;
	*place = route;
	route->references++;
	return 0;
}

at_site_route_t *
at_site_add_route(at_site_t *site)
{
	at_site_route_t *route = calloc(1, sizeof(*route));

	if (route != NULL && at_site_share_route(site, route) != 0) {
		free(route);
		return NULL;
	}
	return route;
}

int
at_site_share_service(at_site_t *site, at_site_service_t *service)
{
	at_site_service_t **place = append_entry(
	    (void **)&site->services, &site->service_count, sizeof(void *));

	if (place == NULL)
		return -1;
	*place = service;
	service->references++;
	return 0;
}

at_site_service_t *
at_site_add_service(at_site_t *site)
{
	at_site_service_t *service = calloc(1, sizeof(*service));

	if (service != NULL && at_site_share_service(site, service) != 0) {
		free(service);
		return NULL;
	}
	return service;
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

/* FNV-1a, whose state after a prefix of the path is that prefix's hash. */
static uint64_t
hash_byte(uint64_t hash, char byte)
{
	return (hash ^ (unsigned char)byte) * FNV_PRIME;
}

/* Hashes a host in lower case, up to its port, if any. */
static uint64_t
hash_host(const char *host)
{
	uint64_t hash = FNV_BASIS;

	for (; *host != '\0' && *host != ':'; host++)
		hash = hash_byte(hash, (char)tolower((unsigned char)*host));
	/* Ends the host, in which it does not occur. */
	return hash_byte(hash, ':');
}

static int
is_host_equal(const char *expected, const char *host)
{
	size_t len = strcspn(host, ":");

	return strlen(expected) == len && strncasecmp(expected, host, len) == 0;
}

/*
 * Returns the place of the route with this host and the first len bytes of the
 * path, or the free one where it belongs.
 */
static at_site_route_t **
find_place(const at_site_t *site, uint64_t hash, const char *host,
    const char *path, size_t len)
{
	size_t i = (size_t)(hash ^ (hash >> 32)) & site->route_mask;

	for (; site->route_table[i] != NULL; i = (i + 1) & site->route_mask) {
		const at_site_route_t *route = site->route_table[i];

		if (strncmp(route->prefix, path, len) == 0 &&
		    route->prefix[len] == '\0' &&
		    is_host_equal(route->host, host))
			break;
	}
	return &site->route_table[i];
}

static int
build_route_table(at_site_t *site)
{
	size_t size = 2;
	size_t i;

	while (size < 2 * site->route_count)
		size *= 2;
	site->route_table = calloc(size, sizeof(void *));
	if (site->route_table == NULL)
		return -1;
	site->route_mask = size - 1;
	for (i = 0; i < site->route_count; i++) {
		at_site_route_t *route = site->routes[i];
		uint64_t hash = hash_host(route->host);
		at_site_route_t **place;
		size_t len = 0;

		while (route->prefix[len] != '\0')
			hash = hash_byte(hash, route->prefix[len++]);
		place = find_place(site, hash, route->host, route->prefix, len);
		if (*place == NULL)
			*place = route;
	}
	return 0;
}

int
at_site_seal(at_site_t *site)
{
	if (site->key_count > 0)
		qsort(site->keys, site->key_count, sizeof(*site->keys),
		    compare_keys);
	return build_route_table(site);
}

const at_site_route_t *
at_site_find_route(const at_site_t *site, const char *host, const char *path)
{
	uint64_t hash = hash_host(host);
	const at_site_route_t *best = NULL;
	size_t i;

	for (i = 0; path[i] != '\0' && i + 1 < AT_SITE_TEXT_SIZE; i++) {
		const at_site_route_t *route;

		hash = hash_byte(hash, path[i]);
		if (path[i] != '/')
			continue;
		route = *find_place(site, hash, host, path, i + 1);
		if (route != NULL)
			best = route;
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

int
at_site_allows_region(const at_site_regions_t *regions, at_tag_t region)
{
	size_t i;

	for (i = 0; i < regions->count; i++) {
		if (regions->tags[i] == region)
			return 1;
	}
	return regions->count == 0;
}

const at_site_service_t *
at_site_find_service(const at_site_t *site, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < site->service_count; i++) {
		if (site->services[i]->tag == tag)
			return site->services[i];
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
