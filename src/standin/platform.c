#include "standin/standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define NAME_SIZE 128 /* of objects and instances, with the NUL */
#define TICK_S 0.01   /* between checks for responses due */

/* An object. A deleted one is kept so that watches see the deletion. */
typedef struct object {
	char name[NAME_SIZE];
	char *value;
	size_t len;
	uint64_t version;  /* 0 after a deletion */
	uint64_t revision; /* of the platform at the last change */
	UT_hash_handle hh;
} object_t;

/* An entry of the instance list. */
typedef struct instance {
	char name[NAME_SIZE];
	json_t *entry;
	UT_hash_handle hh;
} instance_t;

/* A call whose response is delayed: a watch, or any call with delay_ms. */
typedef struct waiter {
	struct waiter *next;
	standin_platform_t *platform;
	at_httpd_request_t *request;
	char prefix[NAME_SIZE];
	uint64_t since; /* revision that the caller of the watch has */
	double due_s;   /* by the time of the loop */
	int is_watch;
	int caller_closed;
} waiter_t;

struct standin_platform {
	struct ev_loop *loop;
	at_httpd_t *httpd;
	standin_faults_t faults;
	object_t *objects;
	instance_t *instances;
	uint64_t revision;
	uint64_t list_revision;
	uint64_t calls; /* calls received; a watch counts as one */
	uint64_t writes;
	waiter_t *waiters;
	int is_processing; /* process_waiters() is running */
	int process_again; /* an object changed while it was running */
	ev_timer tick;
};

static json_t *
event_to_json(const object_t *object)
{
	return json_pack("{s:s,s:I,s:s%}", "name", object->name, "version",
	    (json_int_t)object->version, "value",
	    object->value == NULL ? "" : object->value, object->len);
}

static int
matches_watch(const waiter_t *waiter, const object_t *object)
{
	return object->revision > waiter->since &&
	       strncmp(object->name, waiter->prefix, strlen(waiter->prefix)) ==
		   0;
}

static json_t *
collect_events(const waiter_t *waiter)
{
	json_t *events = json_array();
	object_t *object;

	for (object = waiter->platform->objects; object != NULL;
	     object = object->hh.next) {
		if (matches_watch(waiter, object))
			json_array_append_new(events, event_to_json(object));
	}
	return events;
}

static void handle_call(
    standin_platform_t *platform, at_httpd_request_t *request);

/*
 * Responds to a delayed call when it is due, and to a watch when an object
 * has changed, its wait has ended or there is an outage. Returns 1 if the
 * waiter is done.
 */
static int
respond_if_due(waiter_t *waiter, double now_s)
{
	json_t *events;

	if (waiter->caller_closed)
		return 1;
	if (!waiter->is_watch) {
		if (now_s < waiter->due_s)
			return 0;
		handle_call(waiter->platform, waiter->request);
		return 1;
	}
	if (waiter->platform->faults.outage) {
		standin_reply_json(waiter->request, 503, json_object());
		return 1;
	}
	events = collect_events(waiter);
	if (json_array_size(events) == 0 && now_s < waiter->due_s) {
		json_decref(events);
		return 0;
	}
	standin_reply_json(waiter->request, 200,
	    json_pack("{s:o,s:I}", "events", events, "revision",
		(json_int_t)waiter->platform->revision));
	return 1;
}

static void
process_waiters_once(standin_platform_t *platform)
{
	waiter_t **link = &platform->waiters;
	waiter_t *waiter;

	while ((waiter = *link) != NULL) {
		if (!respond_if_due(waiter, ev_now(platform->loop))) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (!waiter->caller_closed)
			at_httpd_set_end_handler(waiter->request, NULL, NULL);
		free(waiter);
	}
}

/*
 * Responds to all waiters that are due. A delayed write that is carried out
 * here may complete further watches, so the list is then processed again.
 */
static void
process_waiters(standin_platform_t *platform)
{
	platform->process_again = 1;
	if (platform->is_processing)
		return;
	platform->is_processing = 1;
	while (platform->process_again) {
		platform->process_again = 0;
		process_waiters_once(platform);
	}
	platform->is_processing = 0;
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	process_waiters(timer->data);
}

static void
on_waiter_end(void *ctx, int caller_closed)
{
	waiter_t *waiter = ctx;

	(void)caller_closed;
	waiter->caller_closed = 1;
}

static void
add_waiter(standin_platform_t *platform, at_httpd_request_t *request,
    int is_watch, uint64_t wait_ms)
{
	waiter_t *waiter = calloc(1, sizeof(*waiter));
	const char *prefix = at_httpd_argument(request, "prefix");
	const char *since = at_httpd_argument(request, "since");

	waiter->platform = platform;
	waiter->request = request;
	waiter->is_watch = is_watch;
	waiter->due_s = ev_now(platform->loop) + (double)wait_ms / AT_MS_PER_S;
	(void)snprintf(waiter->prefix, sizeof(waiter->prefix), "%s",
	    prefix == NULL ? "" : prefix);
	waiter->since = since == NULL ? 0 : strtoull(since, NULL, 10);
	waiter->next = platform->waiters;
	platform->waiters = waiter;
	at_httpd_set_end_handler(request, on_waiter_end, waiter);
}

static object_t *
find_object(standin_platform_t *platform, const char *name)
{
	object_t *object;

	HASH_FIND_STR(platform->objects, name, object);
	return object;
}

static void
reply_object(at_httpd_request_t *request, const object_t *object)
{
	char version[32];
	const at_header_t headers[] = {{"X-Version", version}, {NULL, NULL}};

	if (object == NULL || object->version == 0) {
		at_httpd_reply(request, 404, NULL, "", 0);
		return;
	}
	(void)snprintf(version, sizeof(version), "%" PRIu64, object->version);
	at_httpd_reply(request, 200, headers, object->value, object->len);
}

static int
drop_response(standin_platform_t *platform, at_httpd_request_t *request)
{
	if (platform->faults.lose_replies == 0)
		return 0;
	platform->faults.lose_replies--;
	at_httpd_stream_abort(request);
	return 1;
}

static void
reply_version(standin_platform_t *platform, at_httpd_request_t *request,
    int status, uint64_t number)
{
	char version[32];
	const at_header_t headers[] = {{"X-Version", version}, {NULL, NULL}};

	if (status == 200 && drop_response(platform, request))
		return;
	(void)snprintf(version, sizeof(version), "%" PRIu64, number);
	at_httpd_reply(request, status, headers, "", 0);
}

static void
write_object(standin_platform_t *platform, at_httpd_request_t *request,
    const char *name, int is_delete)
{
	const char *expected_version =
	    at_httpd_header(request, "X-Expect-Version");
	object_t *object = find_object(platform, name);
	uint64_t current_version = object == NULL ? 0 : object->version;
	const char *body;
	size_t len;

	platform->writes++;
	body = at_httpd_body(request, &len);
	if (expected_version == NULL ||
	    strtoull(expected_version, NULL, 10) != current_version) {
		reply_version(platform, request, 409, current_version);
		return;
	}
	if (object == NULL) {
		object = calloc(1, sizeof(*object));
		(void)snprintf(object->name, sizeof(object->name), "%s", name);
		HASH_ADD_STR(platform->objects, name, object);
	}
	free(object->value);
	object->value = is_delete ? NULL : malloc(len + 1);
	object->len = is_delete ? 0 : len;
	if (!is_delete)
		memcpy(object->value, body, len);
	object->revision = ++platform->revision;
	object->version = is_delete ? 0 : platform->revision;
	reply_version(platform, request, 200, object->version);
	process_waiters(platform);
}

static void
handle_object(
    standin_platform_t *platform, at_httpd_request_t *request, const char *name)
{
	const char *method = at_httpd_method(request);

	if (strcmp(method, "GET") == 0)
		reply_object(request, find_object(platform, name));
	else if (strcmp(method, "PUT") == 0)
		write_object(platform, request, name, 0);
	else if (strcmp(method, "DELETE") == 0)
		write_object(platform, request, name, 1);
	else
		at_httpd_reply(request, 405, NULL, "", 0);
}

static void
list_instances(standin_platform_t *platform, at_httpd_request_t *request)
{
	const char *known_revision = at_httpd_header(request, "If-None-Match");
	char revision[32];
	json_t *list;
	instance_t *instance;

	(void)snprintf(revision, sizeof(revision), "\"%" PRIu64 "\"",
	    platform->list_revision);
	if (known_revision != NULL && strcmp(known_revision, revision) == 0) {
		at_httpd_reply(request, 304, NULL, "", 0);
		return;
	}
	list = json_array();
	for (instance = platform->instances; instance != NULL;
	     instance = instance->hh.next)
		json_array_append(list, instance->entry);
	standin_reply_json(request, 200,
	    json_pack("{s:I,s:o}", "revision",
		(json_int_t)platform->list_revision, "instances", list));
}

static void
put_instance(
    standin_platform_t *platform, at_httpd_request_t *request, const char *name)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *entry = json_loadb(body, len, 0, NULL);
	instance_t *instance;

	HASH_FIND_STR(platform->instances, name, instance);
	platform->list_revision++;
	if (strcmp(at_httpd_method(request), "DELETE") == 0) {
		if (instance != NULL) {
			HASH_DEL(platform->instances, instance);
			json_decref(instance->entry);
			free(instance);
		}
		json_decref(entry);
		at_httpd_reply(request, 200, NULL, "", 0);
		return;
	}
	if (!json_is_object(entry)) {
		json_decref(entry);
		at_httpd_reply(request, 400, NULL, "", 0);
		return;
	}
	if (instance == NULL) {
		instance = calloc(1, sizeof(*instance));
		(void)snprintf(
		    instance->name, sizeof(instance->name), "%s", name);
		HASH_ADD_STR(platform->instances, name, instance);
	}
	json_decref(instance->entry);
	instance->entry = entry;
	json_object_set_new(entry, "name", json_string(name));
	at_httpd_reply(request, 200, NULL, "", 0);
}

static void
handle_control(standin_platform_t *platform, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *object = json_loadb(body, len, 0, NULL);

	if (strcmp(at_httpd_path(request), "/control/faults") == 0)
		standin_faults_update(&platform->faults, object);
	json_decref(object);
	standin_reply_json(request, 200,
	    json_pack("{s:I,s:I,s:I}", "calls", (json_int_t)platform->calls,
		"writes", (json_int_t)platform->writes, "revision",
		(json_int_t)platform->revision));
}

/* Returns the part of path after prefix, or NULL if path does not have it. */
static const char *
skip_prefix(const char *path, const char *prefix)
{
	size_t len = strlen(prefix);

	return strncmp(path, prefix, len) == 0 ? path + len : NULL;
}

static void
handle_call(standin_platform_t *platform, at_httpd_request_t *request)
{
	const char *path = at_httpd_path(request);
	const char *rest;

	if ((rest = skip_prefix(path, "/v1/objects/")) != NULL)
		handle_object(platform, request, rest);
	else if ((rest = skip_prefix(path, "/v1/instances/")) != NULL)
		put_instance(platform, request, rest);
	else if (strcmp(path, "/v1/instances") == 0)
		list_instances(platform, request);
	else
		at_httpd_reply(request, 404, NULL, "", 0);
}

static void
on_request(void *ctx, at_httpd_request_t *request)
{
	standin_platform_t *platform = ctx;
	const char *path = at_httpd_path(request);
	const char *wait;

	if (skip_prefix(path, "/control/") != NULL) {
		handle_control(platform, request);
		return;
	}
	platform->calls++;
	if (platform->faults.outage) {
		standin_reply_json(request, 503, json_object());
		return;
	}
	if (platform->faults.silent > 0) {
		platform->faults.silent--;
		return;
	}
	if (strcmp(path, "/v1/watch") == 0) {
		wait = at_httpd_argument(request, "wait_ms");
		add_waiter(platform, request, 1,
		    wait == NULL ? 0 : strtoull(wait, NULL, 10));
		process_waiters(platform);
		return;
	}
	if (platform->faults.delay_ms > 0)
		add_waiter(platform, request, 0, platform->faults.delay_ms);
	else
		handle_call(platform, request);
}

standin_platform_t *
standin_platform_new(struct ev_loop *loop)
{
	standin_platform_t *platform = calloc(1, sizeof(*platform));

	platform->loop = loop;
	platform->list_revision = 1;
	platform->httpd = at_httpd_new(loop);
	at_httpd_set_handler(platform->httpd, on_request, platform);
	at_httpd_set_max_body(platform->httpd, AT_VALUE_MAX_BYTES);
	return platform;
}

at_code_t
standin_platform_init(
    standin_platform_t *platform, const char *address, at_status_t *status)
{
	at_code_t code = at_httpd_init(platform->httpd, address, status);

	ev_timer_init(&platform->tick, on_tick, TICK_S, TICK_S);
	platform->tick.data = platform;
	ev_timer_start(platform->loop, &platform->tick);
	return code;
}

uint16_t
standin_platform_port(const standin_platform_t *platform)
{
	return at_httpd_port(platform->httpd);
}

void
standin_platform_delete(standin_platform_t *platform)
{
	object_t *object;
	object_t *next_object;
	instance_t *instance;
	instance_t *next_instance;

	ev_timer_stop(platform->loop, &platform->tick);
	at_httpd_delete(platform->httpd);
	HASH_ITER(hh, platform->objects, object, next_object)
	{
		HASH_DEL(platform->objects, object);
		free(object->value);
		free(object);
	}
	HASH_ITER(hh, platform->instances, instance, next_instance)
	{
		HASH_DEL(platform->instances, instance);
		json_decref(instance->entry);
		free(instance);
	}
	while (platform->waiters != NULL) {
		waiter_t *next = platform->waiters->next;

		free(platform->waiters);
		platform->waiters = next;
	}
	free(platform);
}
