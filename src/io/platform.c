#include "io/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "io/address.h"

#define CALL_TOTAL_MS 3000u  /* one call of the object API */
#define CONNECT_MS 500u      /* a connection to the platform */
#define WATCH_WAIT_MS 1500u  /* the platform holds a watch this long */
#define WATCH_TOTAL_MS 3500u /* a watch without an answer is dead */
#define RETRY_S 0.5          /* after a failed watch */
#define URL_SIZE 512

/* One call in flight. */
typedef struct call {
	at_platform_t *platform;
	struct call *next;
	struct call *prev;
	at_transfer_t *transfer;
	char *body;
	size_t len;
	const char *kind; /* for the counters */
	int http_status;
	uint64_t version;
	void (*finish)(struct call *call, const at_transfer_result_t *result);
	at_store_done_t done;
	at_platform_list_t on_list;
	void *ctx;
	struct watch *watch;
} call_t;

/* One standing watch on a prefix. */
typedef struct watch {
	at_platform_t *platform;
	struct watch *next;
	char prefix[AT_NAME_SIZE];
	uint64_t revision;
	at_store_watch_t on_event;
	void *ctx;
	ev_timer retry;
	int paused;
	call_t *call; /* open, or NULL */
} watch_t;

struct at_platform {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	at_counters_t *counters;
	char base[AT_ADDR_SIZE + 16];
	call_t *calls;
	watch_t *watches;
	int doubtful; /* the last call failed: trust no open connection */
	int answered;
	double answered_at;
};

at_platform_t *
at_platform_new(struct ev_loop *loop, at_httpc_t *httpc)
{
	at_platform_t *platform = calloc(1, sizeof(*platform));

	if (platform == NULL)
		return NULL;
	platform->loop = loop;
	platform->httpc = httpc;
	return platform;
}

void
at_platform_set_counters(at_platform_t *platform, at_counters_t *counters)
{
	platform->counters = counters;
}

at_code_t
at_platform_init(
    at_platform_t *platform, const char *address, at_status_t *status)
{
	struct sockaddr_in addr;

	if (at_address_parse(address, &addr) != 0)
		return at_status_set(
		    status, AT_INVALID, "'%s': expected IP:PORT", address);
	(void)snprintf(
	    platform->base, sizeof(platform->base), "http://%s", address);
	return AT_OK;
}

static void
call_free(call_t *call)
{
	at_platform_t *platform = call->platform;

	if (call->prev != NULL)
		call->prev->next = call->next;
	else
		platform->calls = call->next;
	if (call->next != NULL)
		call->next->prev = call->prev;
	free(call->body);
	free(call);
}

void
at_platform_delete(at_platform_t *platform)
{
	watch_t *watch;

	if (platform == NULL)
		return;
	while (platform->calls != NULL) {
		at_transfer_cancel(platform->calls->transfer);
		call_free(platform->calls);
	}
	while ((watch = platform->watches) != NULL) {
		platform->watches = watch->next;
		ev_timer_stop(platform->loop, &watch->retry);
		free(watch);
	}
	free(platform);
}

static void
count(call_t *call, const char *result)
{
	char name[64];

	if (call->platform->counters == NULL)
		return;
	(void)snprintf(name, sizeof(name), "platform_%s_total", call->kind);
	at_counters_add(call->platform->counters, name, "result", result, 1);
}

static void
on_head(void *ctx, at_transfer_t *transfer, int status)
{
	call_t *call = ctx;
	const char *version = at_transfer_header(transfer, "X-Version");

	call->http_status = status;
	if (version != NULL)
		call->version = strtoull(version, NULL, 10);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	call_t *call = ctx;
	char *grown = realloc(call->body, call->len + len + 1);

	if (grown == NULL)
		return 0;
	memcpy(grown + call->len, data, len);
	call->body = grown;
	call->len += len;
	call->body[call->len] = '\0';
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	call_t *call = ctx;
	at_platform_t *platform = call->platform;

	platform->doubtful = !result->whole;
	if (result->whole && result->http_status < 500) {
		platform->answered = 1;
		platform->answered_at = ev_now(platform->loop);
	}
	call->finish(call, result);
	call_free(call);
}

static call_t *
call_start(at_platform_t *platform, call_t model, const char *method,
    const char *path, const char *const *headers, const void *body,
    size_t body_len, uint32_t total_ms)
{
	char url[URL_SIZE];
	at_transfer_spec_t spec = {.method = method,
	    .url = url,
	    .headers = headers,
	    .body = body,
	    .body_len = body_len,
	    .connect_ms = CONNECT_MS,
	    .total_ms = total_ms,
	    .fresh_connection =
		platform->doubtful || strcmp(method, "GET") != 0};
	at_transfer_events_t events = {
	    .on_head = on_head, .on_data = on_data, .on_done = on_done};
	call_t *call = calloc(1, sizeof(*call));

	if (call == NULL)
		return NULL;
	*call = model;
	call->platform = platform;
	call->next = platform->calls;
	if (call->next != NULL)
		call->next->prev = call;
	platform->calls = call;
	events.ctx = call;
	(void)snprintf(url, sizeof(url), "%s%s", platform->base, path);
	call->transfer = at_httpc_start(platform->httpc, &spec, &events);
	if (call->transfer == NULL) {
		call_free(call);
		return NULL;
	}
	return call;
}

static at_store_code_t
store_code(const call_t *call, const at_transfer_result_t *result)
{
	if (!result->whole)
		return result->verdict == AT_VERDICT_NOT_RUN ? AT_STORE_NOT_SENT
							     : AT_STORE_UNKNOWN;
	switch (call->http_status) {
	case 200:
		return AT_STORE_OK;
	case 404:
		return AT_STORE_NOT_FOUND;
	case 409:
		return AT_STORE_CONFLICT;
	case 429:
		/* The platform counts it before it reads it. */
		return AT_STORE_NOT_SENT;
	default:
		return AT_STORE_UNKNOWN;
	}
}

static void
finish_store(call_t *call, const at_transfer_result_t *result)
{
	at_store_result_t answer = {.code = store_code(call, result),
	    .version = call->version,
	    .value = call->body,
	    .value_len = call->len};

	count(call, at_store_code_names[answer.code]);
	call->done(call->ctx, &answer);
}

static void
store_call(at_platform_t *platform, const char *kind, const char *method,
    const char *name, const char *version_header, const void *value, size_t len,
    at_store_done_t done, void *ctx)
{
	const char *headers[] = {version_header, NULL};
	call_t model = {
	    .kind = kind, .finish = finish_store, .done = done, .ctx = ctx};
	at_store_result_t failed = {.code = AT_STORE_NOT_SENT};
	char path[URL_SIZE - AT_ADDR_SIZE - 16];

	(void)snprintf(path, sizeof(path), "/v1/objects/%s", name);
	if (call_start(platform, model, method, path, headers, value, len,
		CALL_TOTAL_MS) == NULL)
		done(ctx, &failed);
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	store_call(impl, "get", "GET", name, NULL, NULL, 0, done, ctx);
}

static void
store_put(void *impl, const char *name, uint64_t expect_version,
    const void *value, size_t len, at_store_done_t done, void *ctx)
{
	char header[64];

	(void)snprintf(header, sizeof(header), "X-Expect-Version: %" PRIu64,
	    expect_version);
	store_call(impl, "put", "PUT", name, header, value, len, done, ctx);
}

static void
store_del(void *impl, const char *name, uint64_t expect_version,
    at_store_done_t done, void *ctx)
{
	char header[64];

	(void)snprintf(header, sizeof(header), "X-Expect-Version: %" PRIu64,
	    expect_version);
	store_call(impl, "del", "DELETE", name, header, NULL, 0, done, ctx);
}

static void watch_start(watch_t *watch);

static void
watch_again_later(watch_t *watch)
{
	ev_timer_set(&watch->retry, RETRY_S, 0.);
	ev_timer_start(watch->platform->loop, &watch->retry);
}

static void
deliver_event(watch_t *watch, json_t *object)
{
	json_t *value = json_object_get(object, "value");
	at_store_event_t event = {
	    .name = json_string_value(json_object_get(object, "name")),
	    .version = (uint64_t)json_integer_value(
		json_object_get(object, "version")),
	    .value = json_string_value(value),
	    .value_len = json_string_length(value)};

	if (event.name != NULL)
		watch->on_event(watch->ctx, &event);
}

static void
finish_watch(call_t *call, const at_transfer_result_t *result)
{
	watch_t *watch = call->watch;
	json_t *root = NULL;
	json_t *object;
	size_t i;

	if (result->whole && call->http_status == 200 && call->body != NULL)
		root = json_loadb(call->body, call->len, 0, NULL);
	count(call, root == NULL ? "failed" : "ok");
	watch->call = NULL;
	if (root == NULL) {
		/* Start again from what exists: nothing is missed. */
		watch->revision = 0;
		watch_again_later(watch);
		return;
	}
	json_array_foreach(json_object_get(root, "events"), i, object)
	{
		deliver_event(watch, object);
	}
	watch->revision =
	    (uint64_t)json_integer_value(json_object_get(root, "revision"));
	json_decref(root);
	watch->on_event(watch->ctx, NULL);
	/* The owner may have paused it within. */
	if (!watch->paused && watch->call == NULL)
		watch_start(watch);
}

static void
watch_start(watch_t *watch)
{
	call_t model = {
	    .kind = "watch", .finish = finish_watch, .watch = watch};
	char path[URL_SIZE - AT_ADDR_SIZE - 16];

	(void)snprintf(path, sizeof(path),
	    "/v1/watch?prefix=%s&since=%" PRIu64 "&wait_ms=%u", watch->prefix,
	    watch->revision, WATCH_WAIT_MS);
	watch->call = call_start(
	    watch->platform, model, "GET", path, NULL, NULL, 0, WATCH_TOTAL_MS);
	if (watch->call == NULL)
		watch_again_later(watch);
}

static void
on_watch_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	watch_start(timer->data);
}

static void
store_watch(
    void *impl, const char *prefix, at_store_watch_t on_event, void *ctx)
{
	at_platform_t *platform = impl;
	watch_t *watch = calloc(1, sizeof(*watch));

	if (watch == NULL)
		return;
	watch->platform = platform;
	watch->on_event = on_event;
	watch->ctx = ctx;
	(void)snprintf(watch->prefix, sizeof(watch->prefix), "%s", prefix);
	ev_timer_init(&watch->retry, on_watch_retry, 0., 0.);
	watch->retry.data = watch;
	watch->next = platform->watches;
	platform->watches = watch;
	watch_start(watch);
}

void
at_platform_pause_watch(at_platform_t *platform, const char *prefix, int paused)
{
	watch_t *watch = platform->watches;

	while (watch != NULL && strcmp(watch->prefix, prefix) != 0)
		watch = watch->next;
	if (watch == NULL || watch->paused == paused)
		return;
	watch->paused = paused;
	ev_timer_stop(platform->loop, &watch->retry);
	if (!paused) {
		watch->revision = 0;
		watch_start(watch);
	} else if (watch->call != NULL) {
		at_transfer_cancel(watch->call->transfer);
		call_free(watch->call);
		watch->call = NULL;
	}
}

at_store_t
at_platform_store(at_platform_t *platform)
{
	at_store_t store = {
	    store_get, store_put, store_del, store_watch, platform};

	return store;
}

static void
finish_list(call_t *call, const at_transfer_result_t *result)
{
	int unchanged = result->whole && call->http_status == 304;
	int whole = result->whole && call->http_status == 200;

	count(call, whole ? "ok" : unchanged ? "unchanged" : "failed");
	if (whole && call->body != NULL)
		call->on_list(call->ctx, call->body, call->len);
	else if (unchanged)
		call->on_list(call->ctx, NULL, 0);
}

void
at_platform_fetch_list(at_platform_t *platform, uint64_t known_revision,
    at_platform_list_t on_list, void *ctx)
{
	call_t model = {.kind = "instances",
	    .finish = finish_list,
	    .on_list = on_list,
	    .ctx = ctx};
	char header[64];
	const char *headers[] = {header, NULL};

	(void)snprintf(header, sizeof(header), "If-None-Match: \"%" PRIu64 "\"",
	    known_revision);
	(void)call_start(platform, model, "GET", "/v1/instances", headers, NULL,
	    0, CALL_TOTAL_MS);
}

uint64_t
at_platform_age_ms(const at_platform_t *platform)
{
	double age_s;

	if (!platform->answered)
		return UINT64_MAX;
	age_s = ev_now(platform->loop) - platform->answered_at;
	return age_s < 0 ? 0 : (uint64_t)(age_s * AT_MS_PER_S);
}
