/*
 * Orders to engines over HTTP: POST /v1/orders.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "daemon/placement/placement_impl.h"
#include "io/clock.h"

#define ORDER_CONNECT_MS 500u
#define ORDER_TOTAL_MS 2000u
#define URL_SIZE 128

static void
sending_free(at_sending_t *s)
{
	if (s->prev != NULL)
		s->prev->next = s->next;
	else
		s->io->sendings = s->next;
	if (s->next != NULL)
		s->next->prev = s->prev;
	free(s);
}

/* Tells the machine how a transfer ended and forgets it. */
static void
sending_end(at_sending_t *s, at_order_result_t result)
{
	at_placement_io_t *io = s->io;

	at_counters_add(io->node->counters, "orders_total", "result",
	    at_order_result_names[result], 1);
	at_orders_note_transfer_ended(
	    io->orders, s->id, result, at_clock_now_ms());
	sending_free(s);
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	at_sending_t *s = ctx;

	(void)transfer;
	s->http_status = status;
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	at_sending_t *s = ctx;
	size_t room = sizeof(s->answer) - s->answer_len;

	if (len > room)
		len = room;
	memcpy(s->answer + s->answer_len, data, len);
	s->answer_len += len;
	return 0;
}

static at_order_result_t
read_result(const at_sending_t *s)
{
	json_t *root = json_loadb(s->answer, s->answer_len, 0, NULL);
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
	at_sending_t *s = ctx;
	at_placement_io_t *io = s->io;

	if (result->is_complete && s->http_status == 200)
		sending_end(s, read_result(s));
	else
		sending_end(s, AT_ORDER_UNKNOWN);
	at_placement_io_run(io);
}

/* The connection stands; the lease may have lapsed while it was made. */
static void
on_sending(void *ctx)
{
	at_sending_t *s = ctx;

	if (at_lease_is_valid(
		s->io->lease, at_clock_now_ms(), AT_LEASE_SEND_MARGIN_MS))
		return;
	at_transfer_cancel(s->transfer);
	sending_end(s, AT_ORDER_UNKNOWN);
}

static char *
order_text(const at_order_t *o)
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
transfer_start(at_sending_t *s, const char *address, const at_order_t *order)
{
	static const char *const headers[] = {
	    "Content-Type: application/json", NULL};
	const at_transfer_events_t events = {on_head, on_data, on_done, s};
	char url[URL_SIZE];
	char *text = order_text(order);
	at_transfer_spec_t spec = {.method = "POST",
	    .url = url,
	    .headers = headers,
	    .body = text,
	    .connect_ms = ORDER_CONNECT_MS,
	    .total_ms = ORDER_TOTAL_MS,
	    .new_connection = 1,
	    .forbid_resend = 1};
	at_transfer_t *transfer;

	if (text == NULL)
		return NULL;
	spec.body_len = strlen(text);
	(void)snprintf(url, sizeof(url), "http://%s/v1/orders", address);
	transfer = at_httpc_start(s->io->node->httpc, &spec, &events);
	free(text);
	return transfer;
}

void
at_sending_start(at_placement_io_t *io, const at_order_t *order)
{
	const at_backend_t *backend =
	    at_backends_find(io->node->backends, order->engine.text);
	at_sending_t *s = calloc(1, sizeof(*s));

	if (s == NULL || backend == NULL) {
		free(s);
		at_orders_note_transfer_ended(
		    io->orders, order->id, AT_ORDER_UNKNOWN, at_clock_now_ms());
		return;
	}
	s->io = io;
	s->id = order->id;
	s->next = io->sendings;
	if (s->next != NULL)
		s->next->prev = s;
	io->sendings = s;
	s->transfer = transfer_start(s, backend->instance.address, order);
	if (s->transfer == NULL) {
		sending_end(s, AT_ORDER_UNKNOWN);
		return;
	}
	at_transfer_set_sending(s->transfer, on_sending);
	at_log(AT_LOG_INFO, "placement", NULL, "Orders %s %s%s%s on %s.",
	    at_order_kind_names[order->kind], order->model.text,
	    order->adapter.text[0] ? "/" : "", order->adapter.text,
	    order->engine.text);
	at_counters_add(io->node->counters, "orders_sent_total", "kind",
	    at_order_kind_names[order->kind], 1);
}

void
at_sending_cancel_all(at_placement_io_t *io)
{
	while (io->sendings != NULL) {
		at_transfer_cancel(io->sendings->transfer);
		sending_free(io->sendings);
	}
}
