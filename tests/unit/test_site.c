/*
 * Tests of the configuration of a deployment: routes by host and longest
 * prefix, keys by hash, services by weight.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/site.h"

static const at_fleet_secret_t secret = {.bytes = {7}};

static void
add_route(
    at_site_t *site, const char *name, const char *host, const char *prefix)
{
	at_site_route_t *route = at_site_add_route(site);

	(void)at_name_set(&route->name, name);
	(void)strcpy(route->host, host);
	(void)strcpy(route->prefix, prefix);
}

static at_site_t *
make_site(void)
{
	at_site_t *site = at_site_new(&secret);
	at_site_workspace_t *workspace = at_site_add_workspace(site);

	(void)at_name_set(&workspace->name, "studio");
	cr_assert_eq(at_site_add_key(site, "key-one", 0), 0);
	cr_assert_eq(at_site_add_key(site, "key-two", 0), 0);
	add_route(site, "root", "a.example", "/");
	add_route(site, "short", "a.example", "/notes/");
	add_route(site, "long", "a.example", "/notes/live/");
	add_route(site, "other", "b.example", "/notes/");
	add_route(site, "again", "b.example", "/notes/");
	cr_assert_eq(at_site_seal(site), 0);
	return site;
}

static const struct {
	const char *host;
	const char *path;
	const char *route; /* NULL if no route matches */
} routes[] = {
    {"a.example", "/notes/live/3", "long"},
    {"a.example", "/notes/3", "short"},
    {"a.example", "/notes", "root"},
    {"A.Example", "/notes/3", "short"},
    {"a.example:8080", "/notes/3", "short"},
    {"b.example", "/notes/live/3", "other"},
    {"b.example", "/", NULL},
    {"a.example.org", "/notes/3", NULL},
    {"", "/notes/3", NULL},
    {"a.example", "/notes//live/3", "short"},
    {"a.example", "", NULL},
    {"a.example", "notes/live/3", NULL},
};

Test(site, finds_the_route_with_the_longest_prefix)
{
	at_site_t *site = make_site();
	size_t i;

	for (i = 0; i < sizeof(routes) / sizeof(routes[0]); i++) {
		const at_site_route_t *route =
		    at_site_find_route(site, routes[i].host, routes[i].path);

		if (routes[i].route == NULL)
			cr_assert_null(
			    route, "%s%s", routes[i].host, routes[i].path);
		else
			cr_assert_str_eq(route->name.text, routes[i].route);
	}
	at_site_unref(site);
}

#define MANY_ROUTES 20000u

/* A look-up compared the path with each route. */
Test(site, finds_each_of_many_routes)
{
	at_site_t *site = at_site_new(&secret);
	at_site_t *next = at_site_new(&secret);
	char text[AT_NAME_SIZE];
	char path[AT_NAME_SIZE];
	size_t i;

	for (i = 0; i < MANY_ROUTES; i++) {
		(void)snprintf(text, sizeof(text), "/p%zu/", i);
		add_route(site, text + 1, "a.example", text);
		cr_assert_eq(at_site_share_route(next, site->routes[i]), 0);
	}
	cr_assert_eq(at_site_seal(site), 0);
	cr_assert_eq(at_site_seal(next), 0);
	at_site_unref(site);
	for (i = 0; i < MANY_ROUTES; i++) {
		const at_site_route_t *route;

		(void)snprintf(path, sizeof(path), "/p%zu/x/y", i);
		route = at_site_find_route(next, "a.example", path);
		cr_assert_eq(route, next->routes[i]);
	}
	cr_assert_null(at_site_find_route(next, "a.example", "/p20000/"));
	at_site_unref(next);
}

Test(site, finds_only_known_keys)
{
	at_site_t *site = make_site();

	cr_assert_not_null(at_site_find_workspace(site, "key-one"));
	cr_assert_not_null(at_site_find_workspace(site, "key-two"));
	cr_assert_null(at_site_find_workspace(site, "key-three"));
	cr_assert_null(at_site_find_workspace(site, ""));
	at_site_unref(site);
}

Test(site, splits_a_route_by_weight)
{
	at_site_route_t route = {
	    .targets = {{1, 90}, {2, 10}, {3, 0}}, .target_count = 3};
	unsigned picked[4] = {0};
	uint64_t draw;

	for (draw = 0; draw < 1000; draw++)
		picked[at_site_pick_target(&route, draw)]++;
	cr_assert_eq(picked[1], 900);
	cr_assert_eq(picked[2], 100);
	cr_assert_eq(picked[3], 0);
}

Test(site, is_freed_with_its_last_reference)
{
	at_site_t *site = make_site();
	at_site_t *reference = at_site_ref(site);

	at_site_unref(site);
	cr_assert_not_null(at_site_find_route(reference, "a.example", "/x"));
	at_site_unref(reference);
}
