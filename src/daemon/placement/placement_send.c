/*
 * Sends orders to engines: POST /v1/orders.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "daemon/placement/placement_impl.h"
#include "io/clock.h"

#define CONNECT_TIMEOUT_MS 500u
#define ORDER_TIMEOUT_MS 2000u
#define URL_SIZE 128

static void
transfer_free(at_order_transfer_t *t)
{
	if (t->prev != NULL)
		t->prev->next = t->next;
	else
		t->io->order_transfers = t->next;
	if (t->next != NULL)
		t->next->prev = t->prev;
	free(t);
}

/* Notifies the orders of the result and deletes the transfer. */
static void
transfer_end(at_order_transfer_t *t, at_order_result_t result)
{
	at_placement_io_t *io = t->io;

	at_counters_add(io->node->counters, "orders_total", "result",
	    at_order_result_names[result], 1);
	at_orders_note_transfer_ended(
	    io->orders, t->id, result, at_clock_now_ms());
	transfer_free(t);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	at_order_transfer_t *t = ctx;

	(void)transfer;
	t->http_status = status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	at_order_transfer_t *t = ctx;
	size_t free_bytes = sizeof(t->response) - t->response_len;

	if (len > free_bytes)
		len = free_bytes;
	memcpy(t->response + t->response_len, data, len);
	t->response_len += len;
	return 0;
}

static at_order_result_t
parse_result(const at_order_transfer_t *t)
{
	json_t *root = json_loadb(t->response, t->response_len, 0, NULL);
	const char *text = json_string_value(json_object_get(root, "result"));
	int result = AT_ORDER_UNKNOWN;
	int i;

	for (i = 0; text != NULL && i < AT_ORDER_RESULT_COUNT; i++) {
		if (strcmp(text, at_order_result_names[i]) == 0)
			result = i;
	}
	json_decref(root);
	return (at_order_result_t)result;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	at_order_transfer_t *t = ctx;
	at_placement_io_t *io = t->io;

	if (result->is_complete && t->http_status == 200)
		transfer_end(t, parse_result(t));
	else
		transfer_end(t, AT_ORDER_UNKNOWN);
	at_placement_io_process(io);
}

/* Cancels the transfer if the lease expired while the connection was made. */
static void
on_sending(void *ctx)
{
	at_order_transfer_t *t = ctx;

	if (at_lease_is_valid(
		t->io->lease, at_clock_now_ms(), AT_LEASE_SEND_MARGIN_MS))
		return;
	at_transfer_cancel(t->transfer);
	transfer_end(t, AT_ORDER_UNKNOWN);
}

static char *
format_order(const at_order_t *o)
{
	json_t *root = json_pack("{s:s,s:I,s:I,s:s,s:s,s:I,s:I}", "kind",
	    at_order_kind_names[o->kind], "id", (json_int_t)o->id, "fence",
	    (json_int_t)o->fence, "model", o->model.text, "adapter",
	    o->adapter.text, "version", (json_int_t)o->version, "memory_mb",
	    (json_int_t)o->memory_mb);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static at_transfer_t *
transfer_start(
    at_order_transfer_t *t, const char *address, const at_order_t *order)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	const at_transfer_events_t events = {on_headers, on_data, on_done, t};
	char url[URL_SIZE];
	char *text = format_order(order);
	at_transfer_spec_t spec = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    .total_ms = ORDER_TIMEOUT_MS,
	    .new_connection = 1,
	    .forbid_resend = 1};
	at_transfer_t *transfer;

	if (text == NULL)
		return NULL;
	spec.body_len = strlen(text);
	(void)snprintf(url, sizeof(url), "http://%s/v1/orders", address);
	transfer = at_httpc_start(t->io->node->httpc, &spec, &events);
	free(text);
	return transfer;
}

void
at_order_transfer_start(at_placement_io_t *io, const at_order_t *order)
{
	const at_backend_t *backend =
	    at_backends_find(io->node->backends, order->engine.text);
	at_order_transfer_t *t = calloc(1, sizeof(*t));

	if (t == NULL || backend == NULL) {
		free(t);
		at_orders_note_transfer_ended(
		    io->orders, order->id, AT_ORDER_UNKNOWN, at_clock_now_ms());
		return;
	}
	t->io = io;
	t->id = order->id;
	t->next = io->order_transfers;
	if (t->next != NULL)
		t->next->prev = t;
	io->order_transfers = t;
	t->transfer = transfer_start(t, backend->instance.address, order);
	if (t->transfer == NULL) {
		transfer_end(t, AT_ORDER_UNKNOWN);
		return;
	}
	at_transfer_set_sending_handler(t->transfer, on_sending);
	at_log(AT_LOG_INFO, "placement", NULL,
	    "Sending order %s of %s%s%s to %s.",
	    at_order_kind_names[order->kind], order->model.text,
	    order->adapter.text[0] ? "/" : "", order->adapter.text,
	    order->engine.text);
	at_counters_add(io->node->counters, "orders_sent_total", "kind",
	    at_order_kind_names[order->kind], 1);
}

void
at_order_transfer_cancel_all(at_placement_io_t *io)
{
	while (io->order_transfers != NULL) {
		at_transfer_cancel(io->order_transfers->transfer);
		transfer_free(io->order_transfers);
	}
}
