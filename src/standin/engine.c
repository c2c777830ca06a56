#include "standin/standin.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.001
#define DEFAULT_MEMORY_MB 80000u
#define DEFAULT_MODEL_MB 1000u
#define DEFAULT_TOKEN_US 2000u
#define DEFAULT_MAX_TOKENS 16u
#define BYTES_PER_TOKEN 4u
#define NAME_SIZE 64
#define ID_SIZE 80
#define US_PER_S 1e6
#define NEVER_S 1e300 /* later than any time of the loop */

/* A model or adapter held in memory. */
typedef struct resident {
	struct resident *next;
	char model[NAME_SIZE];
	char adapter[NAME_SIZE];
	uint32_t version;
	uint64_t memory_mb;
} resident_t;

/* One answer being generated. */
typedef struct generation {
	struct generation *next;
	struct generation *prev;
	standin_engine_t *engine;
	at_httpd_request_t *request;
	char id[ID_SIZE];
	char model[NAME_SIZE];
	int chat;
	int stream;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t made;
	double next_at; /* seconds of the loop's clock */
	char *text;     /* of a whole answer */
	size_t text_len;
} generation_t;

struct standin_engine {
	struct ev_loop *loop;
	at_httpd_t *httpd;
	standin_faults_t faults;
	char name[NAME_SIZE];
	uint64_t memory_mb;
	uint64_t peak_mb;
	int heeds_fencing;
	uint64_t highest_fence;
	resident_t *residents;
	generation_t *generations;
	uint32_t running;
	uint64_t executions;
	uint64_t cancelled;
	json_t *seen; /* all that callers sent, for contract tests */
	ev_timer tick;
};

static uint64_t
used_mb(const standin_engine_t *engine)
{
	const resident_t *r;
	uint64_t sum = 0;

	for (r = engine->residents; r != NULL; r = r->next)
		sum += r->memory_mb;
	return sum;
}

static resident_t **
find_resident(standin_engine_t *engine, const char *model, const char *adapter)
{
	resident_t **link = &engine->residents;

	while (*link != NULL) {
		if (strcmp((*link)->model, model) == 0 &&
		    strcmp((*link)->adapter, adapter) == 0)
			return link;
		link = &(*link)->next;
	}
	return NULL;
}

static int
serves(standin_engine_t *engine, const char *name)
{
	const resident_t *r;

	for (r = engine->residents; r != NULL; r = r->next) {
		const char *own = r->adapter[0] ? r->adapter : r->model;

		if (strcmp(own, name) == 0)
			return 1;
	}
	return 0;
}

static void
add_resident(standin_engine_t *engine, const char *model, const char *adapter,
    uint32_t version, uint64_t memory_mb)
{
	resident_t **link = find_resident(engine, model, adapter);
	resident_t *r = link == NULL ? calloc(1, sizeof(*r)) : *link;

	if (link == NULL) {
		(void)snprintf(r->model, sizeof(r->model), "%s", model);
		(void)snprintf(r->adapter, sizeof(r->adapter), "%s", adapter);
		r->next = engine->residents;
		engine->residents = r;
	}
	r->version = version;
	r->memory_mb = memory_mb;
	if (used_mb(engine) > engine->peak_mb)
		engine->peak_mb = used_mb(engine);
}

static const char *
text_of(json_t *object, const char *field)
{
	const char *text = json_string_value(json_object_get(object, field));

	return text == NULL ? "" : text;
}

static uint64_t
number_of(json_t *object, const char *field, uint64_t fallback)
{
	json_t *value = json_object_get(object, field);

	return json_is_integer(value) ? (uint64_t)json_integer_value(value)
				      : fallback;
}

/* Carries out one order; returns the result's name. */
static const char *
obey(standin_engine_t *engine, json_t *order)
{
	const char *kind = text_of(order, "kind");
	const char *model = text_of(order, "model");
	const char *adapter = text_of(order, "adapter");
	uint64_t fence = number_of(order, "fence", 0);
	resident_t **link;

	if (engine->heeds_fencing && fence < engine->highest_fence)
		return "fenced";
	if (fence > engine->highest_fence)
		engine->highest_fence = fence;
	if (strncmp(kind, "load_", 5) == 0) {
		add_resident(engine, model, adapter,
		    (uint32_t)number_of(order, "version", 1),
		    number_of(order, "memory_mb", DEFAULT_MODEL_MB));
		return "done";
	}
	if (strncmp(kind, "unload_", 7) != 0)
		return "refused";
	link = find_resident(engine, model, adapter);
	if (link != NULL) {
		resident_t *r = *link;

		*link = r->next;
		free(r);
	}
	return "done";
}

static void
handle_order(standin_engine_t *engine, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *order = json_loadb(body, len, 0, NULL);
	const char *result = obey(engine, order);

	json_decref(order);
	if (engine->faults.lose_replies > 0) {
		engine->faults.lose_replies--;
		at_httpd_stream_abort(request);
		return;
	}
	standin_reply_json(request, 200, json_pack("{s:s}", "result", result));
}

static void
handle_status(standin_engine_t *engine, at_httpd_request_t *request)
{
	json_t *residents = json_array();
	const resident_t *r;

	for (r = engine->residents; r != NULL; r = r->next)
		json_array_append_new(residents,
		    json_pack("{s:s,s:s,s:I,s:I}", "model", r->model, "adapter",
			r->adapter, "version", (json_int_t)r->version,
			"memory_mb", (json_int_t)r->memory_mb));
	standin_reply_json(request, 200,
	    json_pack("{s:s,s:I,s:I,s:I,s:i,s:I,s:I,s:o}", "name", engine->name,
		"memory_mb", (json_int_t)engine->memory_mb, "used_mb",
		(json_int_t)used_mb(engine), "peak_mb",
		(json_int_t)engine->peak_mb, "running", (int)engine->running,
		"executions", (json_int_t)engine->executions, "cancelled",
		(json_int_t)engine->cancelled, "resident", residents));
}

static void
record_header(void *ctx, const char *name, const char *value)
{
	json_t *entry = ctx;

	json_array_append_new(entry, json_sprintf("%s: %s", name, value));
}

static void
record(standin_engine_t *engine, at_httpd_request_t *request)
{
	json_t *entry = json_array();
	size_t len;
	const char *body = at_httpd_body(request, &len);

	json_array_append_new(
	    entry, json_sprintf("%s %s", at_httpd_method(request),
		       at_httpd_path(request)));
	at_httpd_each_header(request, record_header, entry);
	json_array_append_new(entry, json_stringn_nocheck(body, len));
	json_array_append_new(engine->seen, entry);
	if (json_array_size(engine->seen) > 1000)
		json_array_remove(engine->seen, 0);
}

static void
generation_end(void *ctx, int gone)
{
	generation_t *g = ctx;

	if (g->prev != NULL)
		g->prev->next = g->next;
	else
		g->engine->generations = g->next;
	if (g->next != NULL)
		g->next->prev = g->prev;
	g->engine->running--;
	if (gone && g->made < g->max_tokens)
		g->engine->cancelled++;
	free(g->text);
	free(g);
}

static void
reply_error(at_httpd_request_t *request, int status, const char *code)
{
	standin_reply_json(request, status,
	    json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", code));
}

static size_t
format_chunk(const generation_t *g, char *out, size_t size)
{
	const char *object =
	    g->chat ? "chat.completion.chunk" : "text_completion";

	if (g->chat)
		return (size_t)snprintf(out, size,
		    "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
		    "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
		    "\"w%u \"},\"finish_reason\":null}]}\n\n",
		    g->id, object, g->model, g->made);
	return (size_t)snprintf(out, size,
	    "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
	    "\"choices\":[{\"index\":0,\"text\":\"w%u \","
	    "\"finish_reason\":null}]}\n\n",
	    g->id, object, g->model, g->made);
}

/* Takes one of the answers that a fault is to hit. */
static int
take_fault(uint32_t *left)
{
	if (*left == 0)
		return 0;
	(*left)--;
	return 1;
}

static void
end_stream(generation_t *g)
{
	char out[512];
	int len = snprintf(out, sizeof(out),
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
	    "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%u,"
	    "\"completion_tokens\":%u,\"total_tokens\":%u}}\n\n"
	    "data: [DONE]\n\n",
	    g->id, g->model, g->prompt_tokens, g->made,
	    g->prompt_tokens + g->made);

	if (!take_fault(&g->engine->faults.shorten))
		(void)at_httpd_stream_write(g->request, out, (size_t)len);
	at_httpd_stream_end(g->request);
}

/* Sends half of a whole answer; then ends it properly or breaks it off. */
static void
reply_half(generation_t *g, json_t *object, int properly)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	char *text = json_dumps(object, JSON_COMPACT);

	at_httpd_stream_begin(g->request, 200, headers);
	(void)at_httpd_stream_write(g->request, text, strlen(text) / 2);
	if (properly)
		at_httpd_stream_end(g->request);
	else
		at_httpd_stream_fail(g->request);
	free(text);
	json_decref(object);
}

static void
end_whole(generation_t *g)
{
	json_t *choice = g->chat
			     ? json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   g->text, "finish_reason", "stop")
			     : json_pack("{s:i,s:s,s:s}", "index", 0, "text",
				   g->text, "finish_reason", "stop");

	json_t *answer = json_pack("{s:s,s:s,s:s,s:[o],s:{s:i,s:i,s:i}}", "id",
	    g->id, "object", g->chat ? "chat.completion" : "text_completion",
	    "model", g->model, "choices", choice, "usage", "prompt_tokens",
	    (int)g->prompt_tokens, "completion_tokens", (int)g->made,
	    "total_tokens", (int)(g->prompt_tokens + g->made));

	if (take_fault(&g->engine->faults.break_whole))
		reply_half(g, answer, 0);
	else if (take_fault(&g->engine->faults.shorten))
		reply_half(g, answer, 1);
	else
		standin_reply_json(g->request, 200, answer);
}

static void
make_token(generation_t *g, char *out, size_t size, size_t *used)
{
	if (g->stream) {
		*used += format_chunk(g, out + *used, size - *used);
	} else {
		char *grown = realloc(g->text, g->text_len + 16);

		g->text = grown;
		g->text_len += (size_t)snprintf(
		    g->text + g->text_len, 16, "w%u ", g->made);
	}
	g->made++;
}

/* Cuts the connection after what was made. */
static void
break_off(generation_t *g, const char *out, size_t used)
{
	g->next_at = NEVER_S;
	if (!g->stream) {
		at_httpd_stream_abort(g->request);
		return;
	}
	(void)at_httpd_stream_write(g->request, out, used);
	at_httpd_stream_fail(g->request);
}

/* Makes the tokens that are due; ends the answer after the last. */
static void
generation_step(generation_t *g, double now)
{
	const standin_faults_t *faults = &g->engine->faults;
	char out[4096];
	size_t used = 0;

	while (g->made < g->max_tokens && g->next_at <= now &&
	       used < sizeof(out) - 512) {
		if (faults->truncate_after > 0 &&
		    g->made >= faults->truncate_after) {
			break_off(g, out, used);
			return;
		}
		make_token(g, out, sizeof(out), &used);
		g->next_at += faults->token_us / US_PER_S;
	}
	if (used > 0)
		(void)at_httpd_stream_write(g->request, out, used);
	if (g->made < g->max_tokens)
		return;
	g->next_at = NEVER_S;
	if (g->stream)
		end_stream(g);
	else
		end_whole(g);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	standin_engine_t *engine = timer->data;
	double now = ev_now(loop);
	generation_t *g;
	generation_t *next;

	(void)events;
	for (g = engine->generations; g != NULL; g = next) {
		next = g->next;
		if (g->next_at <= now)
			generation_step(g, now);
	}
}

static void
start_generation(standin_engine_t *engine, at_httpd_request_t *request,
    json_t *body, size_t body_len, int chat)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "text/event-stream"}, {NULL, NULL}};
	const char *id = at_httpd_header(request, "X-Request-Id");
	generation_t *g = calloc(1, sizeof(*g));

	g->engine = engine;
	g->request = request;
	g->chat = chat;
	g->stream = json_is_true(json_object_get(body, "stream"));
	g->prompt_tokens = (uint32_t)(body_len / BYTES_PER_TOKEN);
	g->max_tokens =
	    (uint32_t)number_of(body, "max_tokens", DEFAULT_MAX_TOKENS);
	(void)snprintf(
	    g->model, sizeof(g->model), "%s", text_of(body, "model"));
	(void)snprintf(g->id, sizeof(g->id), "%s", id == NULL ? "none" : id);
	if (engine->faults.crossed > 0) {
		engine->faults.crossed--;
		(void)snprintf(g->id, sizeof(g->id), "someone-else");
	}
	g->next_at = ev_now(engine->loop) + engine->faults.token_us / US_PER_S;
	g->next = engine->generations;
	if (g->next != NULL)
		g->next->prev = g;
	engine->generations = g;
	engine->running++;
	at_httpd_set_end(request, generation_end, g);
	if (g->stream)
		at_httpd_stream_begin(request, 200, headers);
}

static void
handle_completion(
    standin_engine_t *engine, at_httpd_request_t *request, int chat)
{
	size_t len;
	const char *text = at_httpd_body(request, &len);
	json_t *body;

	record(engine, request);
	if (engine->faults.refuse > 0) {
		static const at_header_t headers[] = {
		    {"X-Not-Run", "1"}, {NULL, NULL}};

		engine->faults.refuse--;
		at_httpd_reply(request, 503, headers, "{}", 2);
		return;
	}
	engine->executions++;
	if (engine->faults.crash > 0) {
		engine->faults.crash--;
		at_httpd_stream_abort(request);
		return;
	}
	if (engine->faults.silent > 0) {
		engine->faults.silent--;
		return;
	}
	body = json_loadb(text, len, 0, NULL);
	if (body == NULL)
		reply_error(request, 400, "bad_json");
	else if (!serves(engine, text_of(body, "model")))
		reply_error(request, 404, "model_not_found");
	else
		start_generation(engine, request, body, len, chat);
	json_decref(body);
}

static void
on_request(void *ctx, at_httpd_request_t *request)
{
	standin_engine_t *engine = ctx;
	const char *path = at_httpd_path(request);
	size_t len;
	const char *body = at_httpd_body(request, &len);

	if (strcmp(path, "/control/faults") == 0) {
		json_t *object = json_loadb(body, len, 0, NULL);

		standin_faults_update(&engine->faults, object);
		json_decref(object);
		standin_reply_json(request, 200, json_object());
	} else if (strcmp(path, "/control/seen") == 0) {
		standin_reply_json(
		    request, 200, json_pack("{s:O}", "seen", engine->seen));
	} else if (engine->faults.outage) {
		reply_error(request, 503, "outage");
	} else if (strcmp(path, "/v1/chat/completions") == 0) {
		handle_completion(engine, request, 1);
	} else if (strcmp(path, "/v1/completions") == 0) {
		handle_completion(engine, request, 0);
	} else if (strcmp(path, "/v1/orders") == 0) {
		handle_order(engine, request);
	} else if (strcmp(path, "/v1/status") == 0) {
		handle_status(engine, request);
	} else {
		reply_error(request, 404, "not_found");
	}
}

standin_engine_t *
standin_engine_new(struct ev_loop *loop)
{
	standin_engine_t *engine = calloc(1, sizeof(*engine));

	engine->loop = loop;
	engine->memory_mb = DEFAULT_MEMORY_MB;
	engine->faults.token_us = DEFAULT_TOKEN_US;
	engine->seen = json_array();
	engine->httpd = at_httpd_new(loop);
	at_httpd_set_handler(engine->httpd, on_request, engine);
	at_httpd_set_max_body(engine->httpd, 64u << 20);
	return engine;
}

void
standin_engine_set_name(standin_engine_t *engine, const char *name)
{
	(void)snprintf(engine->name, sizeof(engine->name), "%s", name);
}

void
standin_engine_set_memory_mb(standin_engine_t *engine, uint64_t mb)
{
	engine->memory_mb = mb;
}

void
standin_engine_set_fencing(standin_engine_t *engine, int heeds)
{
	engine->heeds_fencing = heeds;
}

void
standin_engine_set_token_us(standin_engine_t *engine, uint32_t us)
{
	engine->faults.token_us = us;
}

void
standin_engine_add_model(standin_engine_t *engine, const char *model)
{
	add_resident(engine, model, "", 1, DEFAULT_MODEL_MB);
}

at_code_t
standin_engine_init(
    standin_engine_t *engine, const char *address, at_status_t *status)
{
	ev_timer_init(&engine->tick, on_tick, TICK_S, TICK_S);
	engine->tick.data = engine;
	ev_timer_start(engine->loop, &engine->tick);
	return at_httpd_init(engine->httpd, address, status);
}

uint16_t
standin_engine_port(const standin_engine_t *engine)
{
	return at_httpd_port(engine->httpd);
}

void
standin_engine_delete(standin_engine_t *engine)
{
	ev_timer_stop(engine->loop, &engine->tick);
	at_httpd_delete(engine->httpd);
	while (engine->residents != NULL) {
		resident_t *next = engine->residents->next;

		free(engine->residents);
		engine->residents = next;
	}
	json_decref(engine->seen);
	free(engine);
}
