#include "standin/engine_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.001
#define DEFAULT_TOKEN_US 2000u
#define DEFAULT_MAX_TOKENS 16u
#define BYTES_PER_TOKEN 4u
#define NAME_SIZE 64
#define ID_SIZE 80
#define US_PER_S 1e6
#define NEVER_S 1e300 /* later than any time of the loop */

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
	standin_memory_t *memory;
	generation_t *generations;
	uint32_t running;
	uint64_t executions;
	uint64_t cancelled;
	json_t *seen; /* all that callers sent, for contract tests */
	ev_timer tick;
};

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
handle_order(standin_engine_t *engine, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *order = json_loadb(body, len, 0, NULL);
	const char *result = NULL;

	if (take_fault(&engine->faults.lose_orders))
		result = NULL;
	else if (engine->faults.late_orders_ms > 0)
		standin_memory_obey_later(engine->memory, order,
		    ev_now(engine->loop) + engine->faults.late_orders_ms / 1e3);
	else
		result = standin_memory_obey(
		    engine->memory, order, ev_now(engine->loop));
	json_decref(order);
	if (result == NULL || take_fault(&engine->faults.lose_replies)) {
		at_httpd_stream_abort(request);
		return;
	}
	standin_reply_json(request, 200, json_pack("{s:s}", "result", result));
}

static void
handle_status(standin_engine_t *engine, at_httpd_request_t *request)
{
	json_t *status = json_pack("{s:s,s:i,s:I,s:I}", "name", engine->name,
	    "running", (int)engine->running, "executions",
	    (json_int_t)engine->executions, "cancelled",
	    (json_int_t)engine->cancelled);

	json_object_update_new(status, standin_memory_report(engine->memory));
	standin_reply_json(request, 200, status);
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
	standin_memory_process(engine->memory, now);
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
	    (uint32_t)standin_number_of(body, "max_tokens", DEFAULT_MAX_TOKENS);
	(void)snprintf(
	    g->model, sizeof(g->model), "%s", standin_text_of(body, "model"));
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
	at_httpd_set_end_handler(request, generation_end, g);
	if (g->stream)
		at_httpd_stream_begin(request, 200, headers);
}

/* The process dies and comes back at once: what ran there is lost. */
static void
die(standin_engine_t *engine, at_httpd_request_t *request)
{
	generation_t *g;

	standin_memory_renew(engine->memory);
	at_httpd_stream_abort(request);
	for (g = engine->generations; g != NULL; g = g->next) {
		g->next_at = NEVER_S;
		at_httpd_stream_abort(g->request);
	}
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
	if (strstr(text, STANDIN_POISON) != NULL) {
		die(engine, request);
		return;
	}
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
	else if (!standin_memory_serves(
		     engine->memory, standin_text_of(body, "model")))
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
	} else if (strcmp(path, "/control/restart") == 0) {
		standin_memory_restart(engine->memory);
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
	engine->memory = standin_memory_new();
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
	standin_memory_set_mb(engine->memory, mb);
}

void
standin_engine_set_fencing(standin_engine_t *engine, int heeds)
{
	standin_memory_set_fencing(engine->memory, heeds);
}

void
standin_engine_set_load_ms(standin_engine_t *engine, uint32_t ms)
{
	standin_memory_set_load_ms(engine->memory, ms);
}

void
standin_engine_set_token_us(standin_engine_t *engine, uint32_t us)
{
	engine->faults.token_us = us;
}

void
standin_engine_add_model(standin_engine_t *engine, const char *model)
{
	standin_memory_add_model(engine->memory, model);
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

uint64_t
standin_engine_executions(const standin_engine_t *engine)
{
	return engine->executions;
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
	standin_memory_delete(engine->memory);
	json_decref(engine->seen);
	free(engine);
}
