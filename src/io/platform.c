#include "io/platform.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "io/remote.h"

#define CALL_TIMEOUT_MS 3000u   /* until a call of the API counts as failed */
#define CONNECT_TIMEOUT_MS 500u /* until a connection counts as failed */
#define WATCH_WAIT_MS 1500u     /* after it the platform ends a watch */
#define WATCH_TIMEOUT_MS 3500u  /* until a watch counts as failed */
#define WATCH_RETRY_DELAY_S 0.5 /* after a failed watch */

/* Context of a call. */
typedef struct call_context {
	at_platform_t *platform;
	const char *kind; /* KIND in the name of the counter */
	at_store_done_t done;
	at_platform_list_t on_list;
	void *ctx;
	struct watch *watch;
} call_context_t;

/* A watch on a prefix, made of consecutive long polls. */
typedef struct watch {
	at_platform_t *platform;
	struct watch *next;
	char prefix[AT_NAME_SIZE];
	uint64_t revision;
	at_store_watch_t on_event;
	void *ctx;
	ev_timer retry;
	int paused;
	at_remote_call_t *call; /* the open request, or NULL */
} watch_t;

struct at_platform {
	struct ev_loop *loop;
	at_remote_t *remote;
	watch_t *watches;
};

at_platform_t *
at_platform_new(struct ev_loop *loop, at_httpc_t *httpc)
{
	at_platform_t *platform = calloc(1, sizeof(*platform));

	if (platform == NULL)
		return NULL;
	platform->loop = loop;
	platform->remote = at_remote_new(loop, httpc);
	if (platform->remote == NULL) {
		free(platform);
		return NULL;
	}
	return platform;
}

void
at_platform_set_counters(at_platform_t *platform, at_counters_t *counters)
{
	at_remote_set_counters(platform->remote, counters);
}

at_code_t
at_platform_init(
    at_platform_t *platform, const char *address, at_status_t *status)
{
	return at_remote_init(platform->remote, address, status);
}

void
at_platform_delete(at_platform_t *platform)
{
	watch_t *watch;

	if (platform == NULL)
		return;
	at_remote_delete(platform->remote);
	while ((watch = platform->watches) != NULL) {
		platform->watches = watch->next;
		ev_timer_stop(platform->loop, &watch->retry);
		free(watch);
	}
	free(platform);
}

static at_remote_call_t *
start_call(const call_context_t *call, at_remote_spec_t spec)
{
	spec.connect_ms = CONNECT_TIMEOUT_MS;
	/*
	 * On a reused connection that has closed, it would be unknown
	 * whether the write took place.
	 */
	spec.new_connection = strcmp(spec.method, "GET") != 0;
	spec.context = call;
	spec.context_size = sizeof(*call);
	return at_remote_call(call->platform->remote, &spec);
}

static at_store_code_t
store_code(const at_remote_response_t *response)
{
	if (!response->is_complete)
		return response->verdict == AT_VERDICT_NOT_RUN
			   ? AT_STORE_NOT_SENT
			   : AT_STORE_UNKNOWN;
	switch (response->status) {
	case 200:
		return AT_STORE_OK;
	case 404:
		return AT_STORE_NOT_FOUND;
	case 409:
		return AT_STORE_CONFLICT;
	case 429:
		/* The rate limit refuses a request before reading it. */
		return AT_STORE_NOT_SENT;
	default:
		return AT_STORE_UNKNOWN;
	}
}

static void
on_store_done(void *context, const at_remote_response_t *response)
{
	const call_context_t *call = context;
	at_store_result_t result = {.code = store_code(response),
	    .version = response->number,
	    .value = response->body,
	    .value_len = response->len};

	at_remote_add_count(call->platform->remote, call->kind,
	    at_store_code_names[result.code], response->took_ms);
	call->done(call->ctx, &result);
}

static void
store_call(at_platform_t *platform, const char *kind, const char *method,
    const char *name, const char *version_header, const void *value, size_t len,
    at_store_done_t done, void *ctx)
{
	const char *headers[] = {version_header, NULL};
	const call_context_t call = {
	    .platform = platform, .kind = kind, .done = done, .ctx = ctx};
	const at_store_result_t failed = {.code = AT_STORE_NOT_SENT};
	char path[AT_REMOTE_PATH_SIZE];

	(void)snprintf(path, sizeof(path), "/v1/objects/%s", name);
	if (start_call(&call, (at_remote_spec_t){.method = method,
				  .path = path,
				  .headers = headers,
				  .body = value,
				  .body_len = len,
				  .total_ms = CALL_TIMEOUT_MS,
				  .number_header = "X-Version",
				  .on_done = on_store_done}) == NULL)
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
watch_schedule_retry(watch_t *watch)
{
	ev_timer_set(&watch->retry, WATCH_RETRY_DELAY_S, 0.);
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
on_watch_done(void *context, const at_remote_response_t *response)
{
	const call_context_t *call = context;
	watch_t *watch = call->watch;
	json_t *root = NULL;
	json_t *object;
	size_t i;

	if (response->is_complete && response->status == 200 &&
	    response->body != NULL)
		root = json_loadb(response->body, response->len, 0, NULL);
	at_remote_add_count(call->platform->remote, call->kind,
	    root == NULL ? "failed" : "ok", response->took_ms);
	watch->call = NULL;
	if (root == NULL) {
		/* Starts again from all existing objects, to miss none. */
		watch->revision = 0;
		watch_schedule_retry(watch);
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
	/* on_event may have paused or restarted the watch. */
	if (!watch->paused && watch->call == NULL)
		watch_start(watch);
}

static void
watch_start(watch_t *watch)
{
	const call_context_t call = {
	    .platform = watch->platform, .kind = "watch", .watch = watch};
	char path[AT_REMOTE_PATH_SIZE];

	(void)snprintf(path, sizeof(path),
	    "/v1/watch?prefix=%s&since=%" PRIu64 "&wait_ms=%u", watch->prefix,
	    watch->revision, WATCH_WAIT_MS);
	watch->call = start_call(&call, (at_remote_spec_t){.method = "GET",
					    .path = path,
					    .total_ms = WATCH_TIMEOUT_MS,
					    .on_done = on_watch_done});
	if (watch->call == NULL)
		watch_schedule_retry(watch);
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
		at_remote_cancel(watch->call);
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
on_list_done(void *context, const at_remote_response_t *response)
{
	const call_context_t *call = context;
	int is_unchanged = response->is_complete && response->status == 304;
	int is_changed = response->is_complete && response->status == 200;

	at_remote_add_count(call->platform->remote, call->kind,
	    is_changed     ? "ok"
	    : is_unchanged ? "unchanged"
			   : "failed",
	    response->took_ms);
	if (is_changed && response->body != NULL)
		call->on_list(call->ctx, response->body, response->len);
	else if (is_unchanged)
		call->on_list(call->ctx, NULL, 0);
}

void
at_platform_fetch_list(at_platform_t *platform, uint64_t known_revision,
    at_platform_list_t on_list, void *ctx)
{
	const call_context_t call = {.platform = platform,
	    .kind = "instances",
	    .on_list = on_list,
	    .ctx = ctx};
	char header[64];
	const char *headers[] = {header, NULL};

	(void)snprintf(header, sizeof(header), "If-None-Match: \"%" PRIu64 "\"",
	    known_revision);
	(void)start_call(&call, (at_remote_spec_t){.method = "GET",
				    .path = "/v1/instances",
				    .headers = headers,
				    .total_ms = CALL_TIMEOUT_MS,
				    .on_done = on_list_done});
}

uint64_t
at_platform_age_ms(const at_platform_t *platform)
{
	return at_remote_age_ms(platform->remote);
}
