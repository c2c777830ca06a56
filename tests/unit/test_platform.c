/*
 * Tests of the decoders of the platform's documents: configurations, and valid
 * and invalid entries of the list of backend servers.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/server_call.h"
#include "platform/server_decode.h"
#include "platform/site_decode.h"

static const at_fleet_secret_t secret = {.bytes = {1}};

#define ROUTE                                                                 \
	"{\"name\":\"r\",\"hostname\":\"h.example\",\"path_prefix\":\"/p/\"," \
	"\"type\":\"streaming\",\"timeout_ms\":15000,"                        \
	"\"target_latency_ms\":400,\"priority\":1,\"max_attempts\":2,"        \
	"\"resumable\":true,\"gap_target_ms\":300,"                           \
	"\"backends\":[{\"service\":\"s\",\"weight\":90},"                    \
	"{\"service\":\"t\",\"weight\":10}]}"
#define SERVICE                                                             \
	"{\"name\":\"s\",\"max_connections\":370,\"engine\":{\"slots\":64," \
	"\"kv_capacity\":1000,\"weights_mb\":230000.0,\"adapter_slots\":8," \
	"\"loads_per_s\":2.1,\"models\":[{\"name\":\"m\","                  \
	"\"weights_mb\":65099.99,\"load_s\":3.8,\"warm_s\":0.45,"           \
	"\"disk_s\":0.76,\"adapters\":3,\"adapter_mb\":12.0}]}}"
#define TENANT                                                              \
	"{\"name\":\"w\",\"api_keys\":[\"k1\",\"k2\"],\"unit\":\"tokens\"," \
	"\"plain_tokens\":200,\"rate_per_s\":93743,\"burst\":93743}"

static at_site_t *
decode(const char *text, at_status_t *status)
{
	at_status_clear(status);
	return at_site_decode(text, strlen(text), NULL, &secret, status);
}

Test(platform, decodes_a_configuration)
{
	at_status_t status;
	at_site_t *site = decode("{\"version\":7,\"new_field\":1,\"routes\":"
				 "[" ROUTE "],\"services\":[" SERVICE
				 "],\"tenants\":[" TENANT "],\"limits\":"
				 "{\"max_body_bytes\":99}}",
	    &status);
	const at_site_route_t *route;
	const at_site_model_t *model;

	cr_assert_not_null(site, "%s", status.message);
	cr_assert_eq(site->version, 7);
	cr_assert_eq(site->limits.body_bytes, 99);
	route = at_site_find_route(site, "h.example", "/p/x");
	cr_assert_not_null(route);
	cr_assert_eq(route->type, AT_ROUTE_STREAM);
	cr_assert_eq(route->objective_ms, 400);
	cr_assert_eq(route->event_gap_ms, 300);
	cr_assert_eq(route->target_count, 2);
	cr_assert_eq(route->targets[0].service, at_tag_from_text("s"));
	cr_assert(route->is_resumable);
	model = at_site_find_model(site->services[0], at_tag_from_text("m"));
	cr_assert_not_null(model);
	cr_assert_eq(model->weights_mb, 65100);
	cr_assert_eq(model->disk_load_ms, 760);
	cr_assert_eq(site->services[0]->loads_per_1000_s, 2100);
	cr_assert_not_null(at_site_find_workspace(site, "k2"));
	cr_assert(site->workspaces[0].counts_tokens);
	at_site_unref(site);
}

static const struct {
	const char *text;
	const char *fault; /* start of the error message */
} faults[] = {
    {"{}", "version:"},
    {"{\"version\":\"7\"}", "version:"},
    {"{\"version\":1,\"routes\":[{}]}", "routes[0].name:"},
    {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
     "\"path_prefix\":\"/\",\"type\":\"odd\"}]}",
	"routes[0].type:"},
    {"{\"version\":1,\"routes\":[{\"name\":\"r\",\"hostname\":\"h\","
     "\"path_prefix\":\"/\",\"type\":\"safe\"}]}",
	"routes[0].service:"},
    {"{\"version\":1,\"tenants\":[{\"name\":\"w\",\"api_keys\":[1]}]}",
	"tenants[0].api_keys:"},
    {"{\"version\":1,\"tenants\":[{\"name\":\"w\","
     "\"allowed_regions\":\"eu\"}]}",
	"tenants[0].allowed_regions:"},
    {"{\"version\":1,\"tenants\":[{\"name\":\"w\","
     "\"allowed_regions\":[\"eu\",1]}]}",
	"tenants[0].allowed_regions:"},
    {"{\"version\":1,\"routes\":[1e999]}", "routes[0]:"},
    {"{\"version\":1,\"services\":[{} {}]}", "services[0].name:"},
    {"{\"version\":-1}", "version:"},
    {"", "version:"},
};

/* A restriction that is read as none would let requests leave the region. */
static const struct {
	const char *list;
	size_t count;
	int allows_eu;
	int allows_other;
} regions[] = {
    {"", 0, 1, 1},
    {"\"allowed_regions\":null,", 0, 1, 1},
    {"\"allowed_regions\":[],", 0, 1, 1},
    {"\"allowed_regions\":[\"eu\"],", 1, 1, 0},
    {"\"allowed_regions\":[\"us\",\"eu\"],", 2, 1, 0},
    {"\"allowed_regions\":[\"us\"],", 1, 0, 0},
};

Test(platform, decodes_allowed_regions)
{
	size_t i;

	for (i = 0; i < sizeof(regions) / sizeof(regions[0]); i++) {
		const at_site_regions_t *route;
		const at_site_regions_t *workspace;
		char text[512];
		at_status_t status;
		at_site_t *site;

		(void)snprintf(text, sizeof(text),
		    "{\"version\":1,\"routes\":[{%s\"name\":\"r\","
		    "\"hostname\":\"h\",\"path_prefix\":\"/\",\"type\":"
		    "\"safe\",\"service\":\"s\"}],\"tenants\":[{%s\"name\":"
		    "\"w\"}]}",
		    regions[i].list, regions[i].list);
		site = decode(text, &status);
		cr_assert_not_null(site, "%s", status.message);
		route = &site->routes[0]->allowed_regions;
		workspace = &site->workspaces[0].allowed_regions;
		cr_expect_eq(route->count, regions[i].count);
		cr_expect_eq(workspace->count, regions[i].count);
		cr_expect_eq(
		    at_site_allows_region(route, at_tag_from_text("eu")) != 0,
		    regions[i].allows_eu);
		cr_expect_eq(at_site_allows_region(
				 workspace, at_tag_from_text("asia")) != 0,
		    regions[i].allows_other);
		/* That of a data centre which the setting does not name. */
		cr_expect_eq(at_site_allows_region(workspace, 0) != 0,
		    regions[i].allows_other);
		at_site_unref(site);
	}
}

#define ROUTE_NAMED(name)                                    \
	"{\"name\":\"" name "\",\"hostname\":\"h.example\"," \
	"\"path_prefix\":\"/" name "/\",\"type\":\"safe\",\"service\":\"s\"}"

/* A change of one route read all of them again. */
Test(platform, shares_what_is_written_as_before)
{
	static const char *const texts[] = {
	    "{\"version\":7,\"routes\":[" ROUTE_NAMED("a") "," ROUTE_NAMED(
		"b") "],\"services\":[" SERVICE "]}",
	    "{\"version\":8,\"routes\":[" ROUTE_NAMED("c") "," ROUTE_NAMED(
		"b") "],\"services\":[" SERVICE "]}"};
	at_status_t status;
	at_site_t *before = decode(texts[0], &status);
	at_site_t *after = at_site_decode(
	    texts[1], strlen(texts[1]), before, &secret, &status);

	cr_assert_not_null(after, "%s", status.message);
	cr_assert_eq(after->routes[1], before->routes[1]);
	cr_assert_eq(after->services[0], before->services[0]);
	at_site_unref(before);
	cr_assert_null(at_site_find_route(after, "h.example", "/a/"));
	cr_assert_eq(
	    at_site_find_route(after, "h.example", "/c/"), after->routes[0]);
	cr_assert_eq(
	    at_site_find_route(after, "h.example", "/b/"), after->routes[1]);
	at_site_unref(after);
}

Test(platform, names_the_invalid_field)
{
	size_t i;

	for (i = 0; i < sizeof(faults) / sizeof(faults[0]); i++) {
		at_status_t status;

		cr_assert_null(decode(faults[i].text, &status));
		cr_assert_eq(strncmp(status.message, faults[i].fault,
				 strlen(faults[i].fault)),
		    0, "%s", status.message);
	}
}

/* Entries of the list, each with its invalid field, or NULL if valid. */
static const struct {
	const char *spec;
	const char *fault;
} entries[] = {
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
     "\"sequence\":3}",
	NULL},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"draining\","
     "\"remaining_ms\":2000}",
	NULL},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"asleep\"}",
	"state"},
    {"{\"service\":\"s\",\"address\":\"host:80\",\"zone\":\"z\","
     "\"slots\":4,\"state\":\"ready\"}",
	"address"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":\"4\",\"state\":\"ready\"}",
	"slots"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":4,\"state\":\"ready\"}",
	"version"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":1,\"slots\":4,\"state\":\"ready\"}",
	"version"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"\",\"slots\":4,\"state\":\"ready\"}",
	"version"},
    {"{\"service\":4,\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"slots\":4,\"state\":\"ready\"}",
	"service"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"slots\":4,"
     "\"state\":\"ready\"}",
	"zone"},
    {"[]", "spec"},
    {"\"text\"", "spec"},
    {"", "spec"},
    {"{\"service\":\"s\",", "spec"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4.5,\"state\":\"ready\"}",
	"slots"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":-4,\"state\":\"ready\"}",
	"slots"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\",\"born\":\"x\"}",
	"born"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
     "\"cold_remaining_ms\":-1}",
	"cold_remaining_ms"},
    {"{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
     "\"version\":\"v1\",\"slots\":4,\"state\":\"ready\","
     "\"cold_remaining_ms\":12.5,\"remaining_ms\":null}",
	NULL},
};

Test(platform, rejects_invalid_backend_server_entries)
{
	size_t i;

	for (i = 0; i < sizeof(entries) / sizeof(entries[0]); i++) {
		at_server_entry_t entry;
		const char *fault = at_server_decode(
		    "i-1", entries[i].spec, strlen(entries[i].spec), &entry);

		if (entries[i].fault == NULL)
			cr_assert_null(fault, "%s", entries[i].spec);
		else
			cr_assert_str_eq(fault, entries[i].fault);
	}
}

Test(platform, decodes_engine_residents)
{
	static const char text[] =
	    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","
	    "\"version\":\"v1.1\",\"slots\":64,\"state\":\"ready\","
	    "\"born\":1700000000000,"
	    "\"sequence\":4,\"models\":[{\"name\":\"m\",\"version\":2,"
	    "\"adapters\":[\"a1\",\"a2\"]},{\"name\":5}],\"available\":"
	    "{\"in_memory\":[\"m\"],\"on_disk\":[\"m\",\"n\"]}}";
	at_server_entry_t entry;

	cr_assert_null(at_server_decode("i-1", text, strlen(text), &entry));
	cr_assert_eq(entry.started_ms, 1700000000000u);
	cr_assert_eq(entry.heartbeat_sequence, 4);
	cr_assert_eq(entry.software, at_tag_from_text("v1.1"));
	cr_assert_eq(entry.residents.count, 1);
	cr_assert_eq(entry.residents.models[0].tag, at_tag_from_text("m"));
	cr_assert_eq(entry.residents.models[0].adapter_count, 2);
	cr_assert_eq(entry.residents.models[0].adapters[1].tag,
	    at_tag_from_text("m/a2"));
	cr_assert_eq(entry.on_disk_count, 2);
}

static const struct {
	const char *text;
	uint32_t limit_milli;
} limits[] = {{NULL, 0}, {"", 0}, {"2.1", 2100}, {"12", 12000}, {".5", 500},
    {"0.0004", 1}, {"0", 1}, {"3 ", 3000}, {"-1", 0}, {"nan", 0}, {"inf", 0},
    {"2.1/s", 0}, {"2,1", 0}, {"1e300", 1000000000}};

/* A limit that cannot be read would close a server, or open it wide. */
Test(platform, limits_of_servers)
{
	size_t i;

	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++)
		cr_assert_eq(at_server_parse_limit(limits[i].text),
		    limits[i].limit_milli, "'%s'",
		    limits[i].text == NULL ? "(none)" : limits[i].text);
}

static const struct {
	const char *fields;
	uint32_t start_ms;
	uint32_t milli;
	int is_valid;
} cold_services[] = {{"", 0, 0, 1},
    {",\"cold_start_s\":3,\"cold_per_s\":7", 3000, 7000, 1},
    {",\"cold_start_s\":2.5,\"cold_per_s\":0.0001", 2500, 1, 1},
    {",\"cold_start_s\":3,\"cold_per_s\":0", 3000, 0, 1},
    {",\"cold_start_s\":3,\"cold_per_s\":null", 3000, 0, 1},
    {",\"cold_per_s\":1e99", 0, 1000000000, 1}, {",\"cold_per_s\":-1", 0, 0, 0},
    {",\"cold_per_s\":\"7\"", 0, 0, 0}};

/* A rate that cannot be read would leave cold engines without a limit. */
Test(platform, cold_times_and_rates_of_services)
{
	char text[128];
	size_t i;

	for (i = 0; i < sizeof(cold_services) / sizeof(cold_services[0]); i++) {
		at_status_t status;
		at_site_t *site;

		(void)snprintf(text, sizeof(text),
		    "{\"version\":7,\"services\":[{\"name\":\"s\"%s}]}",
		    cold_services[i].fields);
		site = decode(text, &status);
		cr_assert_eq(site != NULL, cold_services[i].is_valid, "%s",
		    cold_services[i].fields);
		if (site == NULL)
			continue;
		cr_assert_eq(site->services[0]->cold_start_ms,
		    cold_services[i].start_ms, "%s", cold_services[i].fields);
		cr_assert_eq(site->services[0]->cold_milli,
		    cold_services[i].milli, "%s", cold_services[i].fields);
		at_site_unref(site);
	}
}

static const struct {
	const char *text;
	int result;
	uint32_t cold_ms;
} colds[] = {{NULL, -1, 0}, {"", -1, 0}, {"0", 0, 0}, {"3000", 0, 3000},
    {"0.2", 0, 1}, {"1e12", 0, UINT32_MAX}, {"-1", -1, 0}, {"cold", -1, 0}};

/* What cannot be read must not count as "not cold". */
Test(platform, cold_times_of_servers)
{
	size_t i;

	for (i = 0; i < sizeof(colds) / sizeof(colds[0]); i++) {
		uint32_t cold_ms = 0;

		cr_assert_eq(at_server_parse_cold(colds[i].text, &cold_ms),
		    colds[i].result);
		cr_assert_eq(cold_ms, colds[i].cold_ms);
	}
}

static const struct {
	const char *text;
	uint32_t pause_ms;
} pauses[] = {{NULL, 0}, {"", 0}, {"2", 2001}, {"0.25", 251}, {"0", 0},
    {"-3", 0}, {"Fri, 04 Dec 2026 12:00:00 GMT", 0}, {"1e9", 30000},
    {"86400", 30000}};

/* One server could close itself for ever, or at once. */
Test(platform, pauses_of_servers)
{
	size_t i;

	for (i = 0; i < sizeof(pauses) / sizeof(pauses[0]); i++)
		cr_assert_eq(at_server_parse_pause(pauses[i].text),
		    pauses[i].pause_ms, "'%s'",
		    pauses[i].text == NULL ? "(none)" : pauses[i].text);
}
