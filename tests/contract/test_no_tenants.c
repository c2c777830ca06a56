/*
 * The configuration's list of tenants is missing, empty, or something else: an
 * empty list has no keys, and only a missing one asks for none.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "support/entry_fixture.h"

#define ALL_CALLS 1000000u
#define APPLIED_MS 1500u
#define HERE 200
#define NO_KEY 401
#define WITHDRAWN "withdrawn-key"

typedef struct tenants_case {
	const char *name;
	const char *tenants; /* JSON; NULL: no such member */
	int status_key;      /* with ENTRY_FIXTURE_KEY */
	int status_withdrawn;
	int status_none;  /* without a key */
	int status_empty; /* with an empty one */
} tenants_case_t;

static const tenants_case_t cases[] = {
    {"one tenant", "[{\"name\":\"studio\",\"api_keys\":[\"key-one\"]}]", HERE,
	NO_KEY, NO_KEY, NO_KEY},
    {"an empty list", "[]", NO_KEY, NO_KEY, NO_KEY, NO_KEY},
    {"a tenant without keys", "[{\"name\":\"studio\",\"api_keys\":[]}]", NO_KEY,
	NO_KEY, NO_KEY, NO_KEY},
    {"a tenant whose keys are missing", "[{\"name\":\"studio\"}]", NO_KEY,
	NO_KEY, NO_KEY, NO_KEY},
    {"null", "null", NO_KEY, NO_KEY, NO_KEY, NO_KEY},
    {"an empty object", "{}", NO_KEY, NO_KEY, NO_KEY, NO_KEY},
    {"no list", NULL, HERE, HERE, HERE, HERE},
};

static void
apply(entry_fixture_t *fixture, const char *tenants)
{
	static const standin_route_t routes[] = {
	    {"/safe/", "safe", "plain", 2, 0},
	    {"/open/", "safe", "plain", 2, 0}};
	json_t *config;

	fixture->config_version += 3;
	config = standin_config_spec(fixture->config_version,
	    ENTRY_FIXTURE_HOST, routes, sizeof(routes) / sizeof(routes[0]),
	    "studio", WITHDRAWN);
	json_object_set_new(
	    json_array_get(json_object_get(config, "routes"), 1), "public",
	    json_true());
	json_object_del(config, "tenants");
	if (tenants != NULL)
		json_object_set_new(config, "tenants",
		    json_loads(tenants, JSON_DECODE_ANY, NULL));
	standin_store_put(
	    fixture->store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME, config);
}

static int
call(
    entry_fixture_t *fixture, size_t entry, const char *target, const char *key)
{
	const entry_fixture_request_t request = {
	    "GET", target, "request-1", key, NULL, NULL};
	entry_fixture_response_t response;
	int status;

	entry_fixture_call(fixture, entry, &request, &response);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

static void
check(entry_fixture_t *fixture, size_t entry, const tenants_case_t *c,
    const char *way)
{
	const struct {
		const char *key;
		int expected;
	} keys[] = {{ENTRY_FIXTURE_KEY, c->status_key},
	    {WITHDRAWN, c->status_withdrawn}, {NULL, c->status_none},
	    {"", c->status_empty}};
	int status;
	size_t i;

	for (i = 0; i < sizeof(keys) / sizeof(keys[0]); i++) {
		status = call(fixture, entry, "/safe/x", keys[i].key);
		cr_expect_eq(status, keys[i].expected,
		    "%s, %s, instance %zu, key %s: %d", c->name, way, entry,
		    keys[i].key == NULL ? "none" : keys[i].key, status);
	}
	status = call(fixture, entry, "/open/x", NULL);
	cr_expect_eq(
	    status, HERE, "%s, %s: %d on a public route", c->name, way, status);
}

static entry_fixture_t *
fixture_with_instances(void)
{
	entry_fixture_t *fixture = entry_fixture_new();
	char host[AT_ADDR_SIZE];

	entry_fixture_use_hosts(fixture);
	apply(fixture,
	    "[{\"name\":\"studio\",\"api_keys\":[\"" WITHDRAWN "\"]}]");
	(void)entry_fixture_add_service(fixture);
	entry_fixture_host(0, host);
	(void)snprintf(fixture->seeds, sizeof(fixture->seeds), "%s:8229", host);
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	return fixture;
}

/* When the last tenant was taken away, all routes were open to everybody. */
Test(no_tenants, an_empty_list_opens_no_route, .timeout = 120)
{
	entry_fixture_t *fixture = fixture_with_instances();
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		apply(fixture, cases[i].tenants);
		entry_fixture_run_ms(fixture, APPLIED_MS);
		check(fixture, 0, &cases[i], "a change");
		check(fixture, 1, &cases[i], "a change");
	}
	entry_fixture_delete(fixture);
}

/* The same where an instance has the configuration from another one only. */
Test(no_tenants, an_empty_list_from_another_instance_opens_none, .timeout = 120)
{
	entry_fixture_t *fixture;
	size_t started;
	size_t i;

	for (i = 1; i < sizeof(cases) / sizeof(cases[0]); i += 3) {
		fixture = fixture_with_instances();
		apply(fixture, cases[i].tenants);
		entry_fixture_run_ms(fixture, APPLIED_MS);
		standin_store_faults(fixture->store)->silent = ALL_CALLS;
		started = entry_fixture_add_entry(fixture);
		entry_fixture_run_ms(fixture, 2u * APPLIED_MS);
		check(fixture, started, &cases[i], "a start");
		entry_fixture_delete(fixture);
	}
}
