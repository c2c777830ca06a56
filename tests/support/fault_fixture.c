#include "support/fault_fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

/* Stated target: a new configuration is in force within 12 s. */
#define CONFIG_LIMIT_MS 12000u

static int
is_ready(void *ctx)
{
	at_node_t *node = ctx;
	at_backend_t *engine = at_backends_find(node->backends, "e1");

	return at_node_is_ready(node) && engine != NULL &&
	       engine->view.resident_count > 0 &&
	       at_backends_find(node->backends, "s1") != NULL;
}

static void
apply_config(fixture_t *fixture)
{
	char config[2048];
	char hash[65];

	(void)fixture_make_key("k1", hash);
	(void)snprintf(config, sizeof(config),
	    "{\"generation\":1,\"defaults\":{\"first_byte_ms\":%u,"
	    "\"idle_ms\":1000,\"deadline_ms\":60000,\"connect_ms\":500},"
	    "\"data_centres\":[\"north\"],\"workspaces\":[{\"name\":\"w1\","
	    "\"rate_tokens_s\":1000000,\"burst_tokens\":1000000,\"keys\":["
	    "{\"id\":\"k1\",\"hash\":\"%s\"}]}],\"models\":[{\"name\":\"m1\","
	    "\"memory_mb\":10}],\"services\":[{\"name\":\"desk\"}],"
	    "\"routes\":[{\"path\":\"/slots\",\"method\":\"GET\",\"service\":"
	    "\"desk\",\"repeat\":\"repeatable\",\"open\":true},{\"path\":"
	    "\"/charges\",\"method\":\"POST\",\"service\":\"desk\","
	    "\"repeat\":\"once\"}]}",
	    FAULT_FIXTURE_FIRST_BYTE_MS, hash);
	fixture_apply_config(fixture, config);
	cr_assert(fixture_run_until(
	    fixture, is_ready, fixture->nodes[0], CONFIG_LIMIT_MS));
}

static void
add_relay(fixture_t *fixture, standin_relay_t **relay)
{
	at_status_t status;
	char body[256];
	fixture_response_t response;

	*relay = standin_relay_new(fixture->loop);
	cr_assert_eq(standin_relay_init(*relay, "127.0.0.1:0",
			 fixture->service_addresses[0], "127.0.0.1:0", &status),
	    AT_OK);
	(void)snprintf(body, sizeof(body),
	    "{\"kind\":\"service\",\"data_centre\":\"north\",\"service\":"
	    "\"desk\",\"address\":\"127.0.0.1:%u\"}",
	    standin_relay_port(*relay));
	response = fixture_call(fixture, "PUT", fixture->platform_address,
	    "/v1/instances/s1", NULL, body);
	fixture_response_free(&response);
}

fixture_t *
fault_fixture_new(standin_relay_t **relay)
{
	fixture_t *fixture = fixture_new();

	(void)fixture_add_engine(fixture, "e1", "north", "m1");
	(void)fixture_add_service(fixture, "s1", "north", "desk");
	if (relay != NULL)
		add_relay(fixture, relay);
	(void)fixture_add_node(fixture, "n1", "north");
	apply_config(fixture);
	return fixture;
}

void
fault_fixture_send(fixture_t *fixture, fixture_response_t *response,
    const char *method, const char *path, const char *header, const char *body)
{
	char hash[65];
	char bearer[160];
	const char *headers[] = {bearer, header, NULL};

	(void)snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s",
	    fixture_make_key("k1", hash));
	fixture_send(fixture, response, method, fixture->node_addresses[0],
	    path, headers, body);
}

int
fault_fixture_is_done(void *response)
{
	return ((fixture_response_t *)response)->done;
}

fixture_response_t
fault_fixture_call(fixture_t *fixture, const char *method, const char *path,
    const char *header, const char *body)
{
	fixture_response_t response;

	fault_fixture_send(fixture, &response, method, path, header, body);
	cr_assert(fixture_run_until(fixture, fault_fixture_is_done, &response,
		      FAULT_FIXTURE_CALL_TIMEOUT_MS),
	    "no response: %s", path);
	return response;
}

uint64_t
fault_fixture_get_counter(
    fixture_t *fixture, const char *name, const char *label, const char *value)
{
	return at_counters_get(fixture->nodes[0]->counters, name, label, value);
}

static uint64_t
read_number(fixture_t *fixture, const char *address, const char *path,
    const char *field)
{
	char quoted[64];
	const char *found;
	uint64_t number;
	fixture_response_t response =
	    fixture_call(fixture, "GET", address, path, NULL, NULL);

	(void)snprintf(quoted, sizeof(quoted), "\"%s\":", field);
	found = strstr(response.body, quoted);
	cr_assert_not_null(found, "no %s in %s", field, response.body);
	number = strtoull(found + strlen(quoted), NULL, 10);
	fixture_response_free(&response);
	return number;
}

uint64_t
fault_fixture_get_engine_field(fixture_t *fixture, const char *field)
{
	return read_number(
	    fixture, fixture->engine_addresses[0], "/v1/status", field);
}

uint64_t
fault_fixture_count_executions(fixture_t *fixture)
{
	return fault_fixture_get_engine_field(fixture, "executions") +
	       read_number(fixture, fixture->service_addresses[0],
		   "/control/log", "executions");
}
