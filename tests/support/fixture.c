#include "support/fixture.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <sodium.h>

#define CALL_TIMEOUT_MS 20000u /* for one call */
#define DESCRIPTORS 1024u      /* of a node */
#define STEP_S 0.005 /* longest time between two checks of a condition */

static void
on_step(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ONE);
}

static double
now_s(void)
{
	return ev_time();
}

int
fixture_run_until(
    fixture_t *fixture, int (*met)(void *ctx), void *ctx, uint32_t limit_ms)
{
	double end = now_s() + (double)limit_ms / AT_MS_PER_S;

	while (!met(ctx)) {
		ev_timer step;

		if (now_s() >= end)
			return 0;
		ev_timer_init(&step, on_step, STEP_S, 0.);
		ev_timer_start(fixture->loop, &step);
		(void)ev_run(fixture->loop, EVRUN_ONCE);
		ev_timer_stop(fixture->loop, &step);
	}
	return 1;
}

static int
is_never_met(void *ctx)
{
	(void)ctx;
	return 0;
}

void
fixture_run_ms(fixture_t *fixture, uint32_t time_ms)
{
	(void)fixture_run_until(fixture, is_never_met, NULL, time_ms);
}

fixture_t *
fixture_new(void)
{
	fixture_t *fixture = calloc(1, sizeof(*fixture));
	at_status_t status;

	cr_assert_geq(sodium_init(), 0);
	fixture->loop = ev_loop_new(EVFLAG_AUTO);
	fixture->httpc = at_httpc_new(fixture->loop);
	fixture->platform = standin_platform_new(fixture->loop);
	cr_assert_eq(
	    standin_platform_init(fixture->platform, "127.0.0.1:0", &status),
	    AT_OK);
	(void)snprintf(fixture->platform_address, AT_ADDR_SIZE, "127.0.0.1:%u",
	    standin_platform_port(fixture->platform));
	return fixture;
}

void
fixture_remove_node(fixture_t *fixture, size_t index)
{
	at_node_delete(fixture->nodes[index]);
	fixture->nodes[index] = NULL;
}

void
fixture_delete(fixture_t *fixture)
{
	size_t i;

	for (i = 0; i < fixture->node_count; i++)
		at_node_delete(fixture->nodes[i]);
	for (i = 0; i < fixture->engine_count; i++)
		standin_engine_delete(fixture->engines[i]);
	for (i = 0; i < fixture->service_count; i++)
		standin_service_delete(fixture->services[i]);
	at_httpc_delete(fixture->httpc);
	standin_platform_delete(fixture->platform);
	ev_loop_destroy(fixture->loop);
	free(fixture);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	fixture_response_t *response = ctx;

	const char *version = at_transfer_header(transfer, "X-Version");

	response->status = status;
	if (version != NULL)
		response->version = strtoull(version, NULL, 10);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	fixture_response_t *response = ctx;

	response->body = realloc(response->body, response->len + len + 1);
	memcpy(response->body + response->len, data, len);
	response->len += len;
	response->body[response->len] = '\0';
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	fixture_response_t *response = ctx;

	response->done = 1;
	response->transfer = NULL;
	response->is_complete = result->is_complete;
	response->reason = result->reason;
	if (response->body == NULL)
		response->body = calloc(1, 1);
}

void
fixture_send(fixture_t *fixture, fixture_response_t *response,
    const char *method, const char *address, const char *path,
    const char *const *headers, const char *body)
{
	char url[256];
	const at_transfer_spec_t spec = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_len = body == NULL ? 0 : strlen(body),
	    .new_connection = 1};
	const at_transfer_events_t events = {
	    on_headers, on_data, on_done, response};

	memset(response, 0, sizeof(*response));
	(void)snprintf(url, sizeof(url), "http://%s%s", address, path);
	response->transfer = at_httpc_start(fixture->httpc, &spec, &events);
	cr_assert_not_null(response->transfer);
}

void
fixture_cancel(fixture_response_t *response)
{
	at_transfer_cancel(response->transfer);
	response->transfer = NULL;
}

static int
is_done(void *ctx)
{
	return ((fixture_response_t *)ctx)->done;
}

fixture_response_t
fixture_call(fixture_t *fixture, const char *method, const char *address,
    const char *path, const char *const *headers, const char *body)
{
	fixture_response_t response;

	fixture_send(fixture, &response, method, address, path, headers, body);
	cr_assert(
	    fixture_run_until(fixture, is_done, &response, CALL_TIMEOUT_MS),
	    "no response to %s %s", method, path);
	return response;
}

void
fixture_response_free(fixture_response_t *response)
{
	free(response->body);
	response->body = NULL;
}

static void
call_expecting_200(fixture_t *fixture, const char *method, const char *address,
    const char *path, const char *body)
{
	fixture_response_t response =
	    fixture_call(fixture, method, address, path, NULL, body);

	cr_assert_eq(response.status, 200, "%s %s: status %d", method, path,
	    response.status);
	fixture_response_free(&response);
}

void
fixture_set_faults(fixture_t *fixture, const char *address, const char *json)
{
	call_expecting_200(fixture, "POST", address, "/control/faults", json);
}

static void
list_instance(fixture_t *fixture, const char *name, const char *kind,
    const char *data_centre, const char *service, const char *address,
    const char *peer_address)
{
	char path[128];
	char body[512];

	(void)snprintf(path, sizeof(path), "/v1/instances/%s", name);
	(void)snprintf(body, sizeof(body),
	    "{\"kind\":\"%s\",\"data_centre\":\"%s\",\"service\":\"%s\","
	    "\"address\":\"%s\",\"peer_address\":\"%s\"}",
	    kind, data_centre, service, address, peer_address);
	call_expecting_200(
	    fixture, "PUT", fixture->platform_address, path, body);
}

void
fixture_list_service(fixture_t *fixture, const char *name,
    const char *data_centre, const char *service, const char *address)
{
	list_instance(
	    fixture, name, "service", data_centre, service, address, "");
}

void
fixture_unlist_instance(fixture_t *fixture, const char *name)
{
	char path[128];

	(void)snprintf(path, sizeof(path), "/v1/instances/%s", name);
	call_expecting_200(
	    fixture, "DELETE", fixture->platform_address, path, NULL);
}

size_t
fixture_add_engine(fixture_t *fixture, const char *name,
    const char *data_centre, const char *model)
{
	size_t i = fixture->engine_count++;
	at_status_t status;

	fixture->engines[i] = standin_engine_new(fixture->loop);
	standin_engine_set_name(fixture->engines[i], name);
	if (model != NULL)
		standin_engine_add_model(fixture->engines[i], model);
	cr_assert_eq(
	    standin_engine_init(fixture->engines[i], "127.0.0.1:0", &status),
	    AT_OK);
	(void)snprintf(fixture->engine_addresses[i], AT_ADDR_SIZE,
	    "127.0.0.1:%u", standin_engine_port(fixture->engines[i]));
	list_instance(fixture, name, "engine", data_centre, "",
	    fixture->engine_addresses[i], "");
	return i;
}

size_t
fixture_add_service(fixture_t *fixture, const char *name,
    const char *data_centre, const char *service)
{
	size_t i = fixture->service_count++;
	at_status_t status;

	fixture->services[i] = standin_service_new(fixture->loop);
	cr_assert_eq(
	    standin_service_init(fixture->services[i], "127.0.0.1:0", &status),
	    AT_OK);
	(void)snprintf(fixture->service_addresses[i], AT_ADDR_SIZE,
	    "127.0.0.1:%u", standin_service_port(fixture->services[i]));
	list_instance(fixture, name, "service", data_centre, service,
	    fixture->service_addresses[i], "");
	return i;
}

const char *
fixture_secret(void)
{
	static char secret[65];

	(void)snprintf(
	    secret, sizeof(secret), "%056x%08x", 1u, (unsigned)getpid());
	return secret;
}

size_t
fixture_add_node(fixture_t *fixture, const char *name, const char *data_centre)
{
	size_t i = fixture->node_count++;
	at_node_settings_t settings = {.name = name,
	    .data_centre = data_centre,
	    .listen = "127.0.0.1:0",
	    .operators = "127.0.0.1:0",
	    .platform = fixture->node_platform != NULL
			    ? fixture->node_platform
			    : fixture->platform_address,
	    .seeds = fixture->node_seeds,
	    .peers = "127.0.0.1:0",
	    .secret = fixture_secret(),
	    .log_level = "info",
	    .descriptors = DESCRIPTORS,
	    .stop_max_ms = FIXTURE_STOP_MAX_MS};
	at_status_t status;

	at_status_clear(&status);
	fixture->nodes[i] = at_node_new(fixture->loop, &settings);
	cr_assert_eq(at_node_init(fixture->nodes[i], &status), AT_OK, "%s",
	    status.message);
	(void)snprintf(fixture->node_addresses[i], AT_ADDR_SIZE, "127.0.0.1:%u",
	    at_httpd_port(fixture->nodes[i]->callers));
	(void)snprintf(fixture->operator_addresses[i], AT_ADDR_SIZE,
	    "127.0.0.1:%u", at_httpd_port(fixture->nodes[i]->operators));
	(void)snprintf(fixture->peer_addresses[i], AT_ADDR_SIZE, "127.0.0.1:%u",
	    at_peers_port(fixture->nodes[i]->peers));
	list_instance(fixture, name, "entry", data_centre, "",
	    fixture->node_addresses[i], fixture->peer_addresses[i]);
	return i;
}

void
fixture_apply_config(fixture_t *fixture, const char *json)
{
	const char *path = "/v1/objects/" AT_CONFIG_OBJECT;
	char expect[64];
	const char *headers[] = {expect, NULL};
	fixture_response_t response;

	response = fixture_call(
	    fixture, "GET", fixture->platform_address, path, NULL, NULL);
	(void)snprintf(expect, sizeof(expect), "X-Expect-Version: %llu",
	    (unsigned long long)response.version);
	fixture_response_free(&response);
	response = fixture_call(
	    fixture, "PUT", fixture->platform_address, path, headers, json);
	cr_assert_eq(response.status, 200);
	fixture_response_free(&response);
}

const char *
fixture_make_key(const char *id, char hash[65])
{
	static char key[AT_KEY_SIZE];
	at_fleet_secret_t secret;
	uint8_t bytes[AT_KEY_HASH_SIZE];

	(void)snprintf(key, sizeof(key), "%s.0123456789abcdef", id);
	cr_assert_eq(at_fleet_secret_parse(&secret, fixture_secret()), 0);
	at_key_hash(&secret, key, bytes);
	(void)sodium_bin2hex(hash, 65, bytes, sizeof(bytes));
	return key;
}
