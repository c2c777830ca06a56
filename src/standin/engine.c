#include "standin/engine_memory.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_S 0.001           /* between checks for tokens and orders due */
#define DEFAULT_TOKEN_US 2000u /* time between tokens */
#define DEFAULT_MAX_TOKENS 16u /* of a request without max_tokens */
#define BYTES_PER_TOKEN 4u     /* of a body, to count the prompt tokens */
#define NAME_SIZE 64           /* of engines and models, with the NUL */
#define ID_SIZE 80             /* of requests, with the NUL */
#define RECORDED_REQUESTS_MAX 1000
#define US_PER_S 1e6
#define NOT_DUE_S 1e300 /* later than any time of the loop */

/* A completion that is being generated. */
typedef struct completion {
	struct completion *next;
	struct completion *prev;
	standin_engine_t *engine;
	at_httpd_request_t *request;
	char id[ID_SIZE];
	char model[NAME_SIZE];
	int is_chat;
	int is_stream;
	uint32_t prompt_tokens;
	uint32_t max_tokens;
	uint32_t token_count;
	double next_token_due_s; /* by the time of the loop */
	char *text;              /* text so far, unless streamed */
	size_t text_len;
} completion_t;

struct standin_engine {
	struct ev_loop *loop;
	at_httpd_t *httpd;
	standin_faults_t faults;
	char name[NAME_SIZE];
	standin_memory_t *memory;
	completion_t *completions;
	uint32_t running;
	uint64_t executions;
	uint64_t cancelled;
	json_t *recorded_requests; /* newest requests, for GET /control/seen */
	ev_timer tick;
};

/* Returns 1 and counts down if a fault affects this response, else 0. */
static int
consume_fault(uint32_t *remaining)
{
	if (*remaining == 0)
		return 0;
	(*remaining)--;
	return 1;
}

static void
handle_order(standin_engine_t *engine, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *order = json_loadb(body, len, 0, NULL);
	const char *result = NULL;

	if (consume_fault(&engine->faults.lose_orders))
		result = NULL;
	else if (engine->faults.late_orders_ms > 0)
		standin_memory_schedule_order(engine->memory, order,
		    ev_now(engine->loop) + engine->faults.late_orders_ms / 1e3);
	else
		result = standin_memory_apply_order(
		    engine->memory, order, ev_now(engine->loop));
	json_decref(order);
	if (result == NULL || consume_fault(&engine->faults.lose_replies)) {
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

	json_object_update_new(status, standin_memory_status(engine->memory));
	standin_reply_json(request, 200, status);
}

static void
record_header(void *ctx, const char *name, const char *value)
{
	json_t *entry = ctx;

	json_array_append_new(entry, json_sprintf("%s: %s", name, value));
}

static void
record_request(standin_engine_t *engine, at_httpd_request_t *request)
{
	json_t *entry = json_array();
	size_t len;
	const char *body = at_httpd_body(request, &len);

	json_array_append_new(
	    entry, json_sprintf("%s %s", at_httpd_method(request),
		       at_httpd_path(request)));
	at_httpd_each_header(request, record_header, entry);
	json_array_append_new(entry, json_stringn_nocheck(body, len));
	json_array_append_new(engine->recorded_requests, entry);
	if (json_array_size(engine->recorded_requests) > RECORDED_REQUESTS_MAX)
		json_array_remove(engine->recorded_requests, 0);
}

static void
on_completion_end(void *ctx, int caller_closed)
{
	completion_t *completion = ctx;

	if (completion->prev != NULL)
		completion->prev->next = completion->next;
	else
		completion->engine->completions = completion->next;
	if (completion->next != NULL)
		completion->next->prev = completion->prev;
	completion->engine->running--;
	if (caller_closed && completion->token_count < completion->max_tokens)
		completion->engine->cancelled++;
	free(completion->text);
	free(completion);
}

static void
reply_error(at_httpd_request_t *request, int status, const char *code)
{
	standin_reply_json(request, status,
	    json_pack("{s:{s:s,s:s}}", "error", "code", code, "message", code));
}

static size_t
format_event(const completion_t *completion, char *out, size_t size)
{
	const char *object =
	    completion->is_chat ? "chat.completion.chunk" : "text_completion";

	if (completion->is_chat)
		return (size_t)snprintf(out, size,
		    "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
		    "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
		    "\"w%u \"},\"finish_reason\":null}]}\n\n",
		    completion->id, object, completion->model,
		    completion->token_count);
	return (size_t)snprintf(out, size,
	    "data: {\"id\":\"%s\",\"object\":\"%s\",\"model\":\"%s\","
	    "\"choices\":[{\"index\":0,\"text\":\"w%u \","
	    "\"finish_reason\":null}]}\n\n",
	    completion->id, object, completion->model, completion->token_count);
}

static void
end_stream(completion_t *completion)
{
	char out[512];
	int len = snprintf(out, sizeof(out),
	    "data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
	    "\"model\":\"%s\",\"choices\":[{\"index\":0,\"delta\":{},"
	    "\"finish_reason\":\"stop\"}],\"usage\":{\"prompt_tokens\":%u,"
	    "\"completion_tokens\":%u,\"total_tokens\":%u}}\n\n"
	    "data: [DONE]\n\n",
	    completion->id, completion->model, completion->prompt_tokens,
	    completion->token_count,
	    completion->prompt_tokens + completion->token_count);

	if (!consume_fault(&completion->engine->faults.shorten))
		(void)at_httpd_stream_write(
		    completion->request, out, (size_t)len);
	at_httpd_stream_end(completion->request);
}

/*
 * Sends half of a buffered response, then ends it without an error or closes
 * the connection.
 */
static void
reply_half(completion_t *completion, json_t *object, int ends_cleanly)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {NULL, NULL}};
	char *text = json_dumps(object, JSON_COMPACT);

	at_httpd_stream_begin(completion->request, 200, headers);
	(void)at_httpd_stream_write(
	    completion->request, text, strlen(text) / 2);
	if (ends_cleanly)
		at_httpd_stream_end(completion->request);
	else
		at_httpd_stream_fail(completion->request);
	free(text);
	json_decref(object);
}

static void
end_buffered(completion_t *completion)
{
	json_t *choice = completion->is_chat
			     ? json_pack("{s:i,s:{s:s,s:s},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   completion->text, "finish_reason", "stop")
			     : json_pack("{s:i,s:s,s:s}", "index", 0, "text",
				   completion->text, "finish_reason", "stop");

	json_t *response = json_pack("{s:s,s:s,s:s,s:[o],s:{s:i,s:i,s:i}}",
	    "id", completion->id, "object",
	    completion->is_chat ? "chat.completion" : "text_completion",
	    "model", completion->model, "choices", choice, "usage",
	    "prompt_tokens", (int)completion->prompt_tokens,
	    "completion_tokens", (int)completion->token_count, "total_tokens",
	    (int)(completion->prompt_tokens + completion->token_count));

	if (consume_fault(&completion->engine->faults.break_whole))
		reply_half(completion, response, 0);
	else if (consume_fault(&completion->engine->faults.shorten))
		reply_half(completion, response, 1);
	else
		standin_reply_json(completion->request, 200, response);
}

static void
generate_token(
    completion_t *completion, char *out, size_t size, size_t *out_len)
{
	if (completion->is_stream) {
		*out_len +=
		    format_event(completion, out + *out_len, size - *out_len);
	} else {
		char *resized =
		    realloc(completion->text, completion->text_len + 16);

		completion->text = resized;
		completion->text_len +=
		    (size_t)snprintf(completion->text + completion->text_len,
			16, "w%u ", completion->token_count);
	}
	completion->token_count++;
}

/* Sends the events generated so far and closes the connection. */
static void
cut_response(completion_t *completion, const char *out, size_t out_len)
{
	completion->next_token_due_s = NOT_DUE_S;
	if (!completion->is_stream) {
		at_httpd_stream_abort(completion->request);
		return;
	}
	(void)at_httpd_stream_write(completion->request, out, out_len);
	at_httpd_stream_fail(completion->request);
}

/* Generates the tokens that are due and ends the response after the last. */
static void
generate_due_tokens(completion_t *completion, double now_s)
{
	const standin_faults_t *faults = &completion->engine->faults;
	char out[4096];
	size_t out_len = 0;

	while (completion->token_count < completion->max_tokens &&
	       completion->next_token_due_s <= now_s &&
	       out_len < sizeof(out) - 512) {
		if (faults->truncate_after > 0 &&
		    completion->token_count >= faults->truncate_after) {
			cut_response(completion, out, out_len);
			return;
		}
		generate_token(completion, out, sizeof(out), &out_len);
		completion->next_token_due_s += faults->token_us / US_PER_S;
	}
	if (out_len > 0)
		(void)at_httpd_stream_write(completion->request, out, out_len);
	if (completion->token_count < completion->max_tokens)
		return;
	completion->next_token_due_s = NOT_DUE_S;
	if (completion->is_stream)
		end_stream(completion);
	else
		end_buffered(completion);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	standin_engine_t *engine = timer->data;
	double now_s = ev_now(loop);
	completion_t *completion;
	completion_t *next;

	(void)events;
	standin_memory_process(engine->memory, now_s);
	for (completion = engine->completions; completion != NULL;
	     completion = next) {
		next = completion->next;
		if (completion->next_token_due_s <= now_s)
			generate_due_tokens(completion, now_s);
	}
}

static void
start_completion(standin_engine_t *engine, at_httpd_request_t *request,
    json_t *body, size_t body_len, int is_chat)
{
	static const at_header_t headers[] = {
	    {"Content-Type", "text/event-stream"}, {NULL, NULL}};
	const char *id = at_httpd_header(request, "X-Request-Id");
	completion_t *completion = calloc(1, sizeof(*completion));

	completion->engine = engine;
	completion->request = request;
	completion->is_chat = is_chat;
	completion->is_stream = json_is_true(json_object_get(body, "stream"));
	completion->prompt_tokens = (uint32_t)(body_len / BYTES_PER_TOKEN);
	completion->max_tokens = (uint32_t)standin_json_number(
	    body, "max_tokens", DEFAULT_MAX_TOKENS);
	(void)snprintf(completion->model, sizeof(completion->model), "%s",
	    standin_json_text(body, "model"));
	(void)snprintf(completion->id, sizeof(completion->id), "%s",
	    id == NULL ? "none" : id);
	if (engine->faults.crossed > 0) {
		engine->faults.crossed--;
		(void)snprintf(
		    completion->id, sizeof(completion->id), "someone-else");
	}
	completion->next_token_due_s =
	    ev_now(engine->loop) + engine->faults.token_us / US_PER_S;
	completion->next = engine->completions;
	if (completion->next != NULL)
		completion->next->prev = completion;
	engine->completions = completion;
	engine->running++;
	at_httpd_set_end_handler(request, on_completion_end, completion);
	if (completion->is_stream)
		at_httpd_stream_begin(request, 200, headers);
}

/*
 * Simulates a crash and an immediate restart that loads the same models: all
 * requests that run lose their connection.
 */
static void
crash_and_restart(standin_engine_t *engine, at_httpd_request_t *request)
{
	completion_t *completion;

	standin_memory_new_incarnation(engine->memory);
	at_httpd_stream_abort(request);
	for (completion = engine->completions; completion != NULL;
	     completion = completion->next) {
		completion->next_token_due_s = NOT_DUE_S;
		at_httpd_stream_abort(completion->request);
	}
}

static void
handle_completion(
    standin_engine_t *engine, at_httpd_request_t *request, int is_chat)
{
	size_t len;
	const char *text = at_httpd_body(request, &len);
	json_t *body;

	record_request(engine, request);
	if (engine->faults.refuse > 0) {
		static const at_header_t headers[] = {
		    {"X-Not-Run", "1"}, {NULL, NULL}};

		engine->faults.refuse--;
		at_httpd_reply(request, 503, headers, "{}", 2);
		return;
	}
	engine->executions++;
	if (engine->faults.repeat_refusal > 0) {
		static const at_header_t headers[] = {{"X-Not-Run", "1"},
		    {"X-Request-Id", "someone-else"}, {NULL, NULL}};

		engine->faults.repeat_refusal--;
		at_httpd_reply(request, 503, headers, "{}", 2);
		return;
	}
	if (strstr(text, STANDIN_CRASH_TEXT) != NULL) {
		crash_and_restart(engine, request);
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
	else if (!standin_memory_is_serving(
		     engine->memory, standin_json_text(body, "model")))
		reply_error(request, 404, "model_not_found");
	else
		start_completion(engine, request, body, len, is_chat);
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
		standin_reply_json(request, 200,
		    json_pack("{s:O}", "seen", engine->recorded_requests));
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
	engine->recorded_requests = json_array();
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
standin_engine_set_fencing(standin_engine_t *engine, int heeds_fencing)
{
	standin_memory_set_fencing(engine->memory, heeds_fencing);
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
standin_engine_execution_count(const standin_engine_t *engine)
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
	json_decref(engine->recorded_requests);
	free(engine);
}
