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
#define RESPONSE_MAX_BYTES (64u << 10)
#define URL_SIZE 128

static void
transfer_free(at_order_transfer_t *order_transfer)
{
	if (order_transfer->prev != NULL)
		order_transfer->prev->next = order_transfer->next;
	else
		order_transfer->io->order_transfers = order_transfer->next;
	if (order_transfer->next != NULL)
		order_transfer->next->prev = order_transfer->prev;
	free(order_transfer);
}

/* Notifies the orders of the result and deletes the transfer. */
static void
transfer_end(at_order_transfer_t *order_transfer, at_order_result_t result)
{
	at_placement_io_t *io = order_transfer->io;

	at_counters_add(io->node->counters, "orders_total", "result",
	    at_order_result_names[result], 1);
	at_orders_note_transfer_ended(
	    io->orders, order_transfer->id, result, at_clock_now_ms());
	transfer_free(order_transfer);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	at_order_transfer_t *order_transfer = ctx;

	(void)transfer;
	order_transfer->http_status = status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	at_order_transfer_t *order_transfer = ctx;
	size_t free_bytes =
	    sizeof(order_transfer->response) - order_transfer->response_len;

	if (len > free_bytes)
		len = free_bytes;
	memcpy(
	    order_transfer->response + order_transfer->response_len, data, len);
	order_transfer->response_len += len;
	return 0;
}

static at_order_result_t
parse_result(const at_order_transfer_t *order_transfer)
{
	json_t *root = json_loadb(
	    order_transfer->response, order_transfer->response_len, 0, NULL);
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
	at_order_transfer_t *order_transfer = ctx;
	at_placement_io_t *io = order_transfer->io;

	if (result->is_complete && order_transfer->http_status == 200)
		transfer_end(order_transfer, parse_result(order_transfer));
	else
		transfer_end(order_transfer, AT_ORDER_UNKNOWN);
	at_placement_io_process(io);
}

/* Cancels the transfer if the lease expired while the connection was made. */
static void
on_sending(void *ctx)
{
	at_order_transfer_t *order_transfer = ctx;

	if (at_lease_is_valid(order_transfer->io->lease, at_clock_now_ms(),
		AT_LEASE_SEND_MARGIN_MS))
		return;
	at_transfer_cancel(order_transfer->transfer);
	transfer_end(order_transfer, AT_ORDER_UNKNOWN);
}

static char *
format_order(const at_order_t *order)
{
	json_t *root = json_pack("{s:s,s:I,s:I,s:s,s:s,s:I,s:I}", "kind",
	    at_order_kind_names[order->kind], "id", (json_int_t)order->id,
	    "fence", (json_int_t)order->fence, "model", order->model.text,
	    "adapter", order->adapter.text, "version",
	    (json_int_t)order->version, "memory_mb",
	    (json_int_t)order->memory_mb);
	char *text = json_dumps(root, JSON_COMPACT);

	json_decref(root);
	return text;
}

static at_transfer_t *
transfer_start(at_order_transfer_t *order_transfer, const char *address,
    const at_order_t *order)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	const at_transfer_events_t events = {
	    on_headers, on_data, on_done, order_transfer};
	char url[URL_SIZE];
	char *text = format_order(order);
	at_transfer_spec_t spec = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    .total_ms = ORDER_TIMEOUT_MS,
	    .body_max_bytes = RESPONSE_MAX_BYTES,
	    .new_connection = 1,
	    .forbid_resend = 1};
	at_transfer_t *transfer;

	if (text == NULL)
		return NULL;
	spec.body_len = strlen(text);
	(void)snprintf(url, sizeof(url), "http://%s/v1/orders", address);
	transfer =
	    at_httpc_start(order_transfer->io->node->httpc, &spec, &events);
	free(text);
	return transfer;
}

void
at_order_transfer_start(at_placement_io_t *io, const at_order_t *order)
{
	const at_backend_t *backend =
	    at_backends_find(io->node->backends, order->engine.text);
	at_order_transfer_t *order_transfer =
	    calloc(1, sizeof(*order_transfer));

	if (order_transfer == NULL || backend == NULL) {
		free(order_transfer);
		at_orders_note_transfer_ended(
		    io->orders, order->id, AT_ORDER_UNKNOWN, at_clock_now_ms());
		return;
	}
	order_transfer->io = io;
	order_transfer->id = order->id;
	order_transfer->next = io->order_transfers;
	if (order_transfer->next != NULL)
		order_transfer->next->prev = order_transfer;
	io->order_transfers = order_transfer;
	order_transfer->transfer =
	    transfer_start(order_transfer, backend->instance.address, order);
	if (order_transfer->transfer == NULL) {
		transfer_end(order_transfer, AT_ORDER_UNKNOWN);
		return;
	}
	at_transfer_set_sending_handler(order_transfer->transfer, on_sending);
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
