#include "support/once_fixture.h"

#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>
#include <jansson.h>

#include "daemon/limits/limits_io.h"

/* Stated target: a new configuration is in force within 12 s. */
#define CONFIG_LIMIT_MS 12000u
/*
 * Time until a new instance has a share of the rate: first a lease of 15 s and
 * loans of 20 s of removed instances must end; 10 s are margin.
 */
#define JOIN_LIMIT_MS 45000u
#define CALL_TIMEOUT_MS 20000u /* for one call */

static char bearer[160];

/* Returns non-zero if the instance has a share of the workspace's rate. */
static int
has_share(const at_node_t *node)
{
	json_t *list = at_limits_status(node->limits);
	json_t *floor = json_object_get(json_array_get(list, 0), "floor_ppb");
	int has = json_integer_value(floor) > 0;

	json_decref(list);
	return has;
}

static int
has_config(void *ctx)
{
	return ((const at_node_t *)ctx)->config != NULL;
}

static int
is_serving(void *ctx)
{
	const at_node_t *node = ctx;

	return at_node_is_ready(node) &&
	       at_backends_find(node->backends, "s1") != NULL &&
	       has_share(node);
}

void
once_fixture_add_node(
    fixture_t *fixture, const char *name, const char *data_centre)
{
	size_t i = fixture_add_node(fixture, name, data_centre);

	cr_assert(fixture_run_until(
	    fixture, has_config, fixture->nodes[i], CONFIG_LIMIT_MS));
	cr_assert(fixture_run_until(
	    fixture, is_serving, fixture->nodes[i], JOIN_LIMIT_MS));
}

fixture_t *
once_fixture_new(void)
{
	char hash[65];
	char config[2048];
	const char *key = fixture_make_key("k1", hash);
	fixture_t *fixture = fixture_new();

	(void)fixture_add_service(fixture, "s1", "north", "desk");
	(void)snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s", key);
	(void)snprintf(config, sizeof(config),
	    "{\"generation\":1,\"defaults\":{\"instance_gone_ms\":1000},"
	    "\"data_centres\":[\"north\",\"south\"],"
	    "\"workspaces\":[{\"name\":\"w1\",\"rate_tokens_s\":1000000,"
	    "\"burst_tokens\":1000000,\"keys\":[{\"id\":\"k1\",\"hash\":"
	    "\"%s\"}]}],\"services\":[{\"name\":\"desk\"}],\"routes\":["
	    "{\"path\":\"/slots\",\"method\":\"GET\",\"service\":\"desk\","
	    "\"repeat\":\"repeatable\",\"open\":true},{\"path\":\"/charges\","
	    "\"method\":\"POST\",\"service\":\"desk\",\"repeat\":\"once\"},"
	    "{\"path\":\"/notices\",\"method\":\"POST\",\"service\":\"desk\","
	    "\"repeat\":\"repeatable\",\"priority\":\"overnight\"}]}",
	    hash);
	fixture_apply_config(fixture, config);
	once_fixture_add_node(fixture, "n1", "north");
	once_fixture_add_node(fixture, "n2", "north");
	once_fixture_add_node(fixture, "n3", "south");
	return fixture;
}

void
once_fixture_remove_node(fixture_t *fixture, size_t node)
{
	at_name_t name = fixture->nodes[node]->self.instance;

	fixture_remove_node(fixture, node);
	fixture_unlist_instance(fixture, name.text);
}

void
once_fixture_replace_all(fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < 3; i++)
		once_fixture_remove_node(fixture, i);
	once_fixture_add_node(fixture, "n4", "north");
	once_fixture_add_node(fixture, "n5", "south");
}

void
once_fixture_send(fixture_t *fixture, fixture_response_t *response, size_t node,
    const char *method, const char *path, const char *const header[2],
    const char *body)
{
	const char *headers[] = {bearer, NULL, NULL, NULL};

	if (header != NULL) {
		headers[1] = header[0];
		headers[2] = header[1];
	}
	fixture_send(fixture, response, method, fixture->node_addresses[node],
	    path, headers, body);
}

static int
is_done(void *ctx)
{
	return ((const fixture_response_t *)ctx)->done;
}

fixture_response_t
once_fixture_call(fixture_t *fixture, size_t node, const char *method,
    const char *path, const char *const header[2], const char *body)
{
	fixture_response_t response;

	once_fixture_send(fixture, &response, node, method, path, header, body);
	cr_assert(
	    fixture_run_until(fixture, is_done, &response, CALL_TIMEOUT_MS));
	return response;
}

uint64_t
once_fixture_count_executions(fixture_t *fixture)
{
	fixture_response_t response = fixture_call(fixture, "GET",
	    fixture->service_addresses[0], "/control/log", NULL, NULL);
	json_t *root = json_loadb(response.body, response.len, 0, NULL);
	uint64_t count =
	    (uint64_t)json_integer_value(json_object_get(root, "executions"));

	json_decref(root);
	fixture_response_free(&response);
	return count;
}

void
once_fixture_check_response(
    fixture_response_t *response, int status, const char *contains)
{
	cr_assert_eq(response->status, status, "status %d: %s",
	    response->status, response->body);
	cr_assert(strstr(response->body, contains), "%s", response->body);
	fixture_response_free(response);
}
