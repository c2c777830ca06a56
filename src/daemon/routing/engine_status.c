#include "daemon/routing/engine_status.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "daemon/requests/crashes.h"
#include "daemon/routing/routing.h"
#include "io/clock.h"
#include "io/remote.h"

#define FAR_EVERY_MS 5000u /* between two reports of a far engine */
#define STATUS_TOTAL_MS 1000u
#define URL_SIZE 128

/* One status call. */
typedef struct poll {
	at_node_t *node;
	at_name_t engine;
	uint64_t asked_at_ms; /* what was sent before is in the report */
	at_body_t body;
	int cut; /* a part of the body could not be kept */
	int status;
} poll_t;

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	poll_t *poll = ctx;

	(void)transfer;
	poll->status = status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	poll_t *poll = ctx;

	if (at_body_append(&poll->body, data, len) != 0)
		poll->cut = 1;
	return 0;
}

static void
read_resident(json_t *object, at_resident_t *resident)
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
number_of(json_t *root, const char *field)
{
	return (uint32_t)json_integer_value(json_object_get(root, field));
}

static void
take_report(const poll_t *poll, at_backend_t *backend, json_t *root)
{
	uint64_t incarnation =
	    (uint64_t)json_integer_value(json_object_get(root, "incarnation"));
	json_t *list = json_object_get(root, "resident");
	size_t count = json_array_size(list);
	at_resident_t *residents = calloc(count + 1, sizeof(*residents));
	size_t i;

	/* What was lost in the same millisecond is part of the question. */
	at_crashes_apply_report(
	    poll->node, backend, incarnation, poll->asked_at_ms + 1);
	if (residents == NULL)
		return;
	for (i = 0; i < count; i++)
		read_resident(json_array_get(list, i), &residents[i]);
	free(backend->view.residents);
	backend->view.residents = residents;
	backend->view.resident_count = count;
	backend->view.running = number_of(root, "running");
	backend->view.queued = number_of(root, "queued");
	backend->view.queued_prefill_tokens =
	    number_of(root, "queued_prefill_tokens");
	backend->view.report_at_ms = poll->asked_at_ms;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	poll_t *poll = ctx;
	at_backend_t *backend =
	    at_backends_find(poll->node->backends, poll->engine.text);
	json_t *root = NULL;

	if (backend != NULL) {
		backend->is_polling = 0;
		if (result->is_complete && poll->status == 200 && !poll->cut)
			root = json_loadb(
			    poll->body.data, poll->body.len, 0, NULL);
		if (root != NULL) {
			take_report(poll, backend, root);
			at_placement_io_apply_report(poll->node->placement,
			    poll->engine.text, poll->asked_at_ms,
			    &backend->view);
			at_routing_apply_report(poll->node, backend);
		} else if (result->reason == AT_REASON_CONNECT_FAILED) {
			at_crashes_note_unreachable(poll->node, backend);
		}
	}
	json_decref(root);
	free(poll->body.data);
	free(poll);
}

static void
poll_engine(void *ctx, at_backend_t *backend)
{
	at_node_t *node = ctx;
	int near =
	    at_name_equal(&backend->instance.data_centre, &node->data_centre);

	/* Far engines get overflow only; a late report of them will do. */
	if (near || backend->view.report_at_ms == 0 ||
	    at_clock_now_ms() - backend->view.report_at_ms >= FAR_EVERY_MS)
		at_engine_status_request(node, backend);
}

void
at_engine_status_request(at_node_t *node, at_backend_t *backend)
{
	char url[URL_SIZE];
	const at_transfer_spec_t spec = {
	    .method = "GET", .url = url, .total_ms = STATUS_TOTAL_MS};
	at_transfer_events_t events = {on_head, on_data, on_done, NULL};
	poll_t *poll;

	if (backend->instance.kind != AT_INSTANCE_ENGINE || backend->is_polling)
		return;
	poll = calloc(1, sizeof(*poll));
	if (poll == NULL)
		return;
	poll->node = node;
	poll->asked_at_ms = at_clock_now_ms();
	poll->engine = backend->instance.name;
	events.ctx = poll;
	(void)snprintf(
	    url, sizeof(url), "http://%s/v1/status", backend->instance.address);
	if (at_httpc_start(node->httpc, &spec, &events) == NULL) {
		free(poll);
		return;
	}
	backend->is_polling = 1;
}

void
at_engine_status_poll(at_node_t *node)
{
	at_backends_each(node->backends, poll_engine, node);
}
