#include "io/remote.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "io/address.h"
#include "io/clock.h"

#define BASE_SIZE (AT_ADDR_SIZE + 16u) /* "http://" and an address */

struct at_remote_call {
	at_remote_t *remote;
	at_remote_call_t *next;
	at_remote_call_t *prev;
	at_transfer_t *transfer;
	at_body_t body;
	int is_truncated; /* a chunk could not be stored */
	int status;
	uint64_t number;
	uint64_t begun_ms;
	const char *number_header;
	at_remote_done_t on_response;
	at_remote_done_t on_done;
	void *context;
	int is_ending;    /* one of the two is running */
	int is_cancelled; /* by on_response */
};

struct at_remote {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	at_counters_t *counters;
	char base[BASE_SIZE];
	at_remote_call_t *calls;
	uint32_t ending_count; /* calls whose callbacks are running */
	/* Set by a failed call, since pooled connections may be dead. */
	int needs_new_connection;
	int has_response;
	double responded_at_s; /* on the loop's clock */
};

int
at_body_append(at_body_t *body, const char *data, size_t len)
{
	char *grown = realloc(body->data, body->len + len + 1);

	if (grown == NULL)
		return -1;
	memcpy(grown + body->len, data, len);
	body->data = grown;
	body->len += len;
	body->data[body->len] = '\0';
	return 0;
}

at_remote_t *
at_remote_new(struct ev_loop *loop, at_httpc_t *httpc)
{
	at_remote_t *remote = calloc(1, sizeof(*remote));

	if (remote == NULL)
		return NULL;
	remote->loop = loop;
	remote->httpc = httpc;
	return remote;
}

void
at_remote_set_counters(at_remote_t *remote, at_counters_t *counters)
{
	remote->counters = counters;
}

at_code_t
at_remote_init(at_remote_t *remote, const char *address, at_status_t *status)
{
	struct sockaddr_in parsed;

	if (at_address_parse(address, &parsed) != 0)
		return at_status_set(
		    status, AT_INVALID, "'%s': expected IP:PORT", address);
	(void)snprintf(
	    remote->base, sizeof(remote->base), "http://%s", address);
	return AT_OK;
}

static void
call_free(at_remote_call_t *call)
{
	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		call->remote->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	free(call->body.data);
	free(call->context);
	free(call);
}

void
at_remote_cancel(at_remote_call_t *call)
{
	if (call->is_ending) {
		call->is_cancelled = 1;
		return;
	}
	at_transfer_cancel(call->transfer);
	call_free(call);
}

void
at_remote_delete(at_remote_t *remote)
{
	if (remote == NULL)
		return;
	assert(remote->ending_count == 0);
	while (remote->calls != NULL)
		at_remote_cancel(remote->calls);
	free(remote);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	at_remote_call_t *call = ctx;
	const char *number =
	    call->number_header == NULL
		? NULL
		: at_transfer_header(transfer, call->number_header);

	call->status = status;
	if (number != NULL)
		call->number = strtoull(number, NULL, 10);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	at_remote_call_t *call = ctx;

	if (at_body_append(&call->body, data, len) != 0)
		call->is_truncated = 1;
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	at_remote_call_t *call = ctx;
	at_remote_t *remote = call->remote;
	const at_remote_response_t response = {
	    .is_complete = result->is_complete && !call->is_truncated,
	    .verdict = result->verdict,
	    .status = call->status,
	    .body = call->body.data,
	    .len = call->body.len,
	    .number = call->number,
	    .took_ms = at_clock_now_ms() - call->begun_ms};

	remote->needs_new_connection = !result->is_complete;
	if (result->is_complete && result->http_status < 500) {
		remote->has_response = 1;
		remote->responded_at_s = ev_now(remote->loop);
	}
	call->is_ending = 1;
	remote->ending_count++;
	if (call->on_response != NULL)
		call->on_response(call->context, &response);
	if (!call->is_cancelled)
		call->on_done(call->context, &response);
	remote->ending_count--;
	call_free(call);
}

static at_remote_call_t *
call_new(at_remote_t *remote, const at_remote_spec_t *spec)
{
	at_remote_call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return NULL;
	call->context = malloc(spec->context_size);
	if (call->context == NULL) {
		free(call);
		return NULL;
	}
	memcpy(call->context, spec->context, spec->context_size);
	call->number_header = spec->number_header;
	call->on_response = spec->on_response;
	call->on_done = spec->on_done;
	call->remote = remote;
	call->begun_ms = at_clock_now_ms();
	call->next = remote->calls;
	if (call->next != NULL)
		call->next->prev = call;
	remote->calls = call;
	return call;
}

at_remote_call_t *
at_remote_call(at_remote_t *remote, const at_remote_spec_t *spec)
{
	char url[BASE_SIZE + AT_REMOTE_PATH_SIZE];
	const at_transfer_spec_t transfer = {.method = spec->method,
	    .url = url,
	    .headers = spec->headers,
	    .body = spec->body,
	    .body_len = spec->body_len,
	    .connect_ms = spec->connect_ms,
	    .first_byte_ms = spec->first_byte_ms,
	    .idle_ms = spec->idle_ms,
	    .total_ms = spec->total_ms,
	    .body_max_bytes = AT_REMOTE_BODY_MAX_BYTES,
	    .new_connection =
		spec->new_connection || remote->needs_new_connection,
	    .forbid_resend = strcmp(spec->method, "GET") != 0};
	at_remote_call_t *call = call_new(remote, spec);
	const at_transfer_events_t events = {.on_headers = on_headers,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = call};

	if (call == NULL)
		return NULL;
	(void)snprintf(url, sizeof(url), "%s%s", remote->base, spec->path);
	call->transfer = at_httpc_start(remote->httpc, &transfer, &events);
	if (call->transfer == NULL) {
		call_free(call);
		return NULL;
	}
	return call;
}

void
at_remote_add_count(const at_remote_t *remote, const char *kind,
    const char *result, uint64_t took_ms)
{
	char name[64];

	if (remote->counters == NULL)
		return;
	(void)snprintf(name, sizeof(name), "platform_%s_total", kind);
	at_counters_add(remote->counters, name, "result", result, 1);
	at_counters_observe(
	    remote->counters, "platform_call_ms", "call", kind, took_ms);
}

uint64_t
at_remote_age_ms(const at_remote_t *remote)
{
	double age_s;

	if (!remote->has_response)
		return UINT64_MAX;
	age_s = ev_now(remote->loop) - remote->responded_at_s;
	return age_s < 0 ? 0 : (uint64_t)(age_s * AT_MS_PER_S);
}
