#include "daemon/routing/engine_status.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daemon/requests/crashes.h"
#include "daemon/routing/routing.h"
#include "io/clock.h"
#include "io/remote.h"

#define REMOTE_INTERVAL_MS 5000u /* between calls to remote engines */
#define STATUS_TIMEOUT_MS 1000u
#define STATUS_MAX_BYTES (4u << 20)
#define URL_SIZE 128

/* One status call. */
typedef struct status_call {
	at_node_t *node;
	at_name_t engine;
	uint64_t requested_at_ms; /* the report covers requests sent before */
	at_body_t body;
	int is_truncated; /* out of memory for the body */
	int http_status;
} status_call_t;

static void
on_headers(void *ctx, at_transfer_t *transfer, int http_status)
{
	status_call_t *call = ctx;

	(void)transfer;
	call->http_status = http_status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	status_call_t *call = ctx;

	if (at_body_append(&call->body, data, len) != 0)
		call->is_truncated = 1;
	return 0;
}

static void
parse_resident(json_t *object, at_resident_t *resident)
{
	const char *adapter =
	    json_string_value(json_object_get(object, "adapter"));
	const char *state = json_string_value(json_object_get(object, "state"));

	memset(resident, 0, sizeof(*resident));
	(void)at_name_set(&resident->model,
	    json_string_value(json_object_get(object, "model")));
	if (adapter != NULL && adapter[0] != '\0')
		(void)at_name_set(&resident->adapter, adapter);
	resident->version =
	    (uint32_t)json_integer_value(json_object_get(object, "version"));
	resident->memory_mb =
	    (uint64_t)json_integer_value(json_object_get(object, "memory_mb"));
	resident->in_transition = state != NULL && strcmp(state, "ready") != 0;
}

static uint32_t
get_number(json_t *root, const char *field)
{
	return (uint32_t)json_integer_value(json_object_get(root, field));
}

static void
apply_report(const status_call_t *call, at_backend_t *backend, json_t *root)
{
	uint64_t incarnation =
	    (uint64_t)json_integer_value(json_object_get(root, "incarnation"));
	json_t *list = json_object_get(root, "resident");
	size_t count = json_array_size(list);
	at_resident_t *residents = calloc(count + 1, sizeof(*residents));
	size_t i;

	/* Executions that ended in the same millisecond are covered, too. */
	at_crashes_apply_report(
	    call->node, backend, incarnation, call->requested_at_ms + 1);
	if (residents == NULL)
		return;
	for (i = 0; i < count; i++)
		parse_resident(json_array_get(list, i), &residents[i]);
	free(backend->view.residents);
	backend->view.residents = residents;
	backend->view.resident_count = count;
	backend->view.running = get_number(root, "running");
	backend->view.queued = get_number(root, "queued");
	backend->view.queued_prefill_tokens =
	    get_number(root, "queued_prefill_tokens");
	backend->view.report_at_ms = call->requested_at_ms;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	status_call_t *call = ctx;
	at_backend_t *backend =
	    at_backends_find(call->node->backends, call->engine.text);
	json_t *root = NULL;

	if (backend != NULL) {
		backend->is_polling = 0;
		if (result->is_complete && call->http_status == 200 &&
		    !call->is_truncated)
			root = json_loadb(
			    call->body.data, call->body.len, 0, NULL);
		if (root != NULL) {
			apply_report(call, backend, root);
			at_placement_io_apply_report(call->node->placement,
			    call->engine.text, call->requested_at_ms,
			    &backend->view);
			at_routing_apply_report(call->node, backend);
		} else if (result->reason == AT_REASON_CONNECT_FAILED) {
			at_crashes_note_unreachable(call->node, backend);
		}
	}
	json_decref(root);
	free(call->body.data);
	free(call);
}

static void
poll_engine(void *ctx, at_backend_t *backend)
{
	at_node_t *node = ctx;
	int is_local =
	    at_name_equal(&backend->instance.data_centre, &node->data_centre);

	/* Remote engines get overflow only: less recent reports suffice. */
	if (is_local || backend->view.report_at_ms == 0 ||
	    at_clock_now_ms() - backend->view.report_at_ms >=
		REMOTE_INTERVAL_MS)
		at_engine_status_request(node, backend);
}

void
at_engine_status_request(at_node_t *node, at_backend_t *backend)
{
	char url[URL_SIZE];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .total_ms = STATUS_TIMEOUT_MS,
	    .body_max_bytes = STATUS_MAX_BYTES};
	at_transfer_events_t events = {on_headers, on_data, on_done, NULL};
	status_call_t *call;

	if (backend->instance.kind != AT_INSTANCE_ENGINE || backend->is_polling)
		return;
	call = calloc(1, sizeof(*call));
	if (call == NULL)
		return;
	call->node = node;
	call->requested_at_ms = at_clock_now_ms();
	call->engine = backend->instance.name;
	events.ctx = call;
	(void)snprintf(
	    url, sizeof(url), "http://%s/v1/status", backend->instance.address);
	if (at_httpc_start(node->httpc, &spec, &events) == NULL) {
		free(call);
		return;
	}
	backend->is_polling = 1;
}

void
at_engine_status_poll(at_node_t *node)
{
	at_backends_each(node->backends, poll_engine, node);
}
