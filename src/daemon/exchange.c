#include "daemon/exchange.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"

#define ATTEMPTS_MAX 3u
#define RETRY_AFTER_MS 1000u
#define URL_SIZE 512
#define HEADER_SIZE 256

typedef struct exchange {
	at_node_t *node;
	at_httpd_request_t *request;
	char id[AT_REQUEST_ID_SIZE];
	at_instance_kind_t kind;
	at_name_t target;
	char method[16];
	char *path;
	char content_type[128];
	char idempotency_key[128];
	char *body;
	size_t body_len;
	at_repeat_t repeat;
	uint32_t deadline_ms;
	uint32_t attempts;
	at_name_t backend; /* of the attempt in progress */
	at_transfer_t *transfer;
	int answered; /* the caller's answer has begun */
	int ended;
	int backend_refused;
} exchange_t;

static void attempt(exchange_t *x);

static void
exchange_free(exchange_t *x)
{
	x->node->open_exchanges--;
	free(x->path);
	free(x->body);
	free(x);
}

static void
release_backend(exchange_t *x, int failed)
{
	at_backend_t *b = at_backends_find(x->node->backends, x->backend.text);

	if (b == NULL)
		return;
	b->outstanding--;
	b->failures = failed ? b->failures + 1 : 0;
}

static void
on_end(void *ctx, int gone)
{
	exchange_t *x = ctx;

	if (x->transfer != NULL) {
		at_transfer_cancel(x->transfer);
		release_backend(x, 0);
	}
	if (gone)
		at_counters_refusal(x->node->counters, AT_REASON_CALLER_GONE);
	exchange_free(x);
}

static void
on_gone(void *ctx)
{
	exchange_t *x = ctx;

	if (x->transfer == NULL)
		return;
	at_transfer_cancel(x->transfer);
	x->transfer = NULL;
	release_backend(x, 0);
	at_log(AT_LOG_INFO, "exchange", x->id,
	    "The caller is gone; the attempt is cancelled.");
}

static void
on_drain(void *ctx)
{
	exchange_t *x = ctx;

	if (x->transfer != NULL)
		at_transfer_resume(x->transfer);
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	exchange_t *x = ctx;
	const char *type = at_transfer_header(transfer, "Content-Type");
	const at_header_t headers[] = {
	    {"Content-Type", type == NULL ? "application/json" : type},
	    {"X-Request-Id", x->id}, {"X-Verdict", "ran"}, {NULL, NULL}};

	if (status == 503 && at_transfer_header(transfer, "X-Not-Run")) {
		x->backend_refused = 1;
		return;
	}
	x->answered = 1;
	at_httpd_stream_begin(x->request, status, headers);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	exchange_t *x = ctx;

	if (x->backend_refused)
		return 0;
	return at_httpd_stream_write(x->request, data, len);
}

static int
may_repeat(const exchange_t *x, at_verdict_t verdict)
{
	if (x->attempts >= ATTEMPTS_MAX || x->answered)
		return 0;
	return verdict == AT_VERDICT_NOT_RUN || x->repeat != AT_ONCE;
}

static void
give_up(exchange_t *x, at_reason_t reason, at_verdict_t verdict)
{
	if (x->answered) {
		at_counters_refusal(x->node->counters, reason);
		at_log(AT_LOG_WARN, "exchange", x->id,
		    "The answer was cut: %s.", at_reason_names[reason]);
		at_httpd_stream_abort(x->request);
		return;
	}
	at_refuse(x->node, x->request, reason, verdict, RETRY_AFTER_MS);
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	exchange_t *x = ctx;
	at_reason_t reason = result->reason;
	at_verdict_t verdict = result->verdict;

	x->transfer = NULL;
	release_backend(x, !result->whole);
	if (x->backend_refused) {
		reason = AT_REASON_REFUSED_BY_BACKEND;
		verdict = AT_VERDICT_NOT_RUN;
	}
	if (reason == AT_REASON_NONE) {
		at_counters_add(
		    x->node->counters, "answers_total", NULL, NULL, 1);
		at_httpd_stream_end(x->request);
		return;
	}
	if (!may_repeat(x, verdict)) {
		give_up(x, reason, verdict);
		return;
	}
	at_counters_retry(x->node->counters, reason);
	attempt(x);
}

static at_transfer_t *
start_transfer(exchange_t *x, const at_backend_t *backend)
{
	const at_defaults_t *d = &x->node->config->defaults;
	char url[URL_SIZE];
	char id[HEADER_SIZE];
	char type[HEADER_SIZE];
	char key[HEADER_SIZE];
	const char *headers[4] = {id, type, NULL, NULL};
	const at_transfer_spec_t spec = {.method = x->method,
	    .url = url,
	    .headers = headers,
	    .body = x->body,
	    .body_len = x->body_len,
	    .connect_ms = d->connect_ms,
	    .first_byte_ms = d->first_byte_ms,
	    .idle_ms = d->idle_ms,
	    .total_ms = x->deadline_ms,
	    .fresh_connection = x->repeat == AT_ONCE};
	const at_transfer_events_t events = {on_head, on_data, on_done, x};

	(void)snprintf(url, sizeof(url), "http://%s%s",
	    backend->instance.address, x->path);
	(void)snprintf(id, sizeof(id), "X-Request-Id: %s", x->id);
	(void)snprintf(type, sizeof(type), "Content-Type: %s", x->content_type);
	if (x->idempotency_key[0] != '\0') {
		(void)snprintf(key, sizeof(key), "Idempotency-Key: %s",
		    x->idempotency_key);
		headers[2] = key;
	}
	return at_httpc_start(x->node->httpc, &spec, &events);
}

static void
attempt(exchange_t *x)
{
	at_backend_t *backend =
	    at_backends_choose(x->node->backends, x->kind, x->target.text,
		&x->node->data_centre, x->attempts > 0 ? &x->backend : NULL);

	x->backend_refused = 0;
	if (backend == NULL) {
		give_up(x, AT_REASON_NO_BACKEND, AT_VERDICT_NOT_RUN);
		return;
	}
	x->attempts++;
	x->backend = backend->instance.name;
	x->transfer = start_transfer(x, backend);
	if (x->transfer == NULL) {
		give_up(x, AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN);
		return;
	}
	backend->outstanding++;
}

static void
copy_text(char *out, size_t size, const char *text)
{
	(void)snprintf(out, size, "%s", text == NULL ? "" : text);
}

void
at_exchange_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec)
{
	exchange_t *x = calloc(1, sizeof(*x));

	if (x == NULL) {
		at_refuse(node, request, AT_REASON_INTERNAL, AT_VERDICT_NOT_RUN,
		    RETRY_AFTER_MS);
		return;
	}
	x->node = node;
	x->request = request;
	copy_text(x->id, sizeof(x->id), at_httpd_id(request));
	x->kind = spec->kind;
	(void)at_name_set(&x->target, spec->target);
	copy_text(x->method, sizeof(x->method), spec->method);
	copy_text(x->content_type, sizeof(x->content_type), spec->content_type);
	copy_text(x->idempotency_key, sizeof(x->idempotency_key),
	    spec->idempotency_key);
	x->path = strdup(spec->path);
	x->body = malloc(spec->body_len + 1);
	memcpy(x->body, spec->body, spec->body_len);
	x->body_len = spec->body_len;
	x->repeat = spec->repeat;
	x->deadline_ms = spec->deadline_ms;
	node->open_exchanges++;
	at_httpd_set_end(request, on_end, x);
	at_httpd_set_gone(request, on_gone);
	at_httpd_set_drain(request, on_drain);
	attempt(x);
}
