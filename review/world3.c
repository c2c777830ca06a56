#include "world3.h"

#include <arpa/inet.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <sodium.h>

#include "platform/names.h"

#define TRY_GAP_S 0.25 /* from a failed try to the next, doubled each time */
#define DEADLINE_MS 15000u
#define RESUMED_MIN 12u  /* fewer streams do not count */
#define CONNECT_MS 1000u /* a client allows a connection this time */
#define HOST "Host: review.example"
#define SECRET \
	"00000000000000000000000000000000000000000000000000000000000000a1"

world_t world;

static FILE *record;
static ev_timer stop_timer;
static ev_timer client_timer;

double
w_now(void)
{
	return ev_time() - world.started_at;
}

void
w_record(const char *format, ...)
{
	va_list args;

	va_start(args, format);
	(void)fprintf(record, "%8.3f ", w_now());
	(void)vfprintf(record, format, args);
	(void)fprintf(record, "\n");
	va_end(args);
	(void)fflush(record);
}

static void
on_stop(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)timer;
	(void)events;
	ev_break(loop, EVBREAK_ALL);
}

void
w_run_ms(uint32_t ms)
{
	ev_now_update(world.loop);
	ev_timer_init(&stop_timer, on_stop, ms / 1000., 0.);
	ev_timer_start(world.loop, &stop_timer);
	(void)ev_run(world.loop, 0);
}

void
w_run_until(double at)
{
	double left = at - w_now();

	if (left > 0.)
		w_run_ms((uint32_t)(left * 1000.));
}

/* Clients */

static void
parse_events(w_stream_t *stream)
{
	char *end;

	stream->buffer[stream->buffered] = '\0';
	while ((end = strstr(stream->buffer, "\n\n")) != NULL) {
		const char *id = strstr(stream->buffer, "id: ");
		const char *data = strstr(stream->buffer, "data: ");
		uint32_t number = 0;

		*end = '\0';
		if (id != NULL)
			number = (uint32_t)strtoul(id + 4, NULL, 10);
		if (number != stream->last_event + 1)
			stream->faults++;
		if (number > 0 && number < W_EVENTS_MAX && data != NULL)
			stream->versions[number] = data[6];
		stream->last_event = number;
		if (stream->event_at_try > 0 && stream->is_in_touch)
			stream->went_on_in_touch = 1;
		if (stream->first_id[0] == '\0' && stream->tries == 1)
			stream->has_begun_at_first = 1;
		if (stream->first_id[0] == '\0')
			(void)snprintf(stream->first_id,
			    sizeof(stream->first_id), "%s", stream->id);
		stream->buffered -= (size_t)(end + 2 - stream->buffer);
		memmove(stream->buffer, end + 2, stream->buffered + 1);
	}
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	w_stream_t *stream = ctx;
	const char *after = at_transfer_header(transfer, "Retry-After");

	stream->status = status;
	stream->retry_after_s = after == NULL ? 0. : strtod(after, NULL);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	w_stream_t *stream = ctx;

	if (stream->status != 200)
		return 0;
	if (stream->buffered + len >= sizeof(stream->buffer))
		len = sizeof(stream->buffer) - 1 - stream->buffered;
	memcpy(stream->buffer + stream->buffered, data, len);
	stream->buffered += len;
	parse_events(stream);
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	w_stream_t *stream = ctx;

	stream->transfer = NULL;
	if (result->is_complete && stream->status == 200) {
		stream->is_done = 1;
		w_record("stream %u complete after event %u", stream->number,
		    stream->last_event);
		return;
	}
	w_record("stream %u try %s ended status=%d complete=%d event=%u",
	    stream->number, stream->id, stream->status, result->is_complete,
	    stream->last_event);
	if (stream->last_event > stream->event_at_try)
		stream->gap_s = TRY_GAP_S;
	stream->next_at = w_now() + stream->gap_s;
	if (stream->retry_after_s > stream->gap_s)
		stream->next_at = w_now() + stream->retry_after_s;
	stream->gap_s *= 2.;
	if (stream->next_at >= stream->deadline_at || stream->only != NULL)
		stream->is_failed = 1;
}

/* The platform leaves out machines that are not ready, unless all are. */
static const w_instance_t *
choose_instance(uint32_t draw)
{
	size_t i;

	for (i = 0; i < world.instance_count; i++) {
		const w_instance_t *instance =
		    &world.instances[(draw + i) % world.instance_count];

		if (instance->pid != 0 && !instance->is_stopping)
			return instance;
	}
	return &world.instances[draw % world.instance_count];
}

static void
start_try(w_stream_t *stream)
{
	const w_instance_t *instance =
	    stream->only != NULL
		? stream->only
		: choose_instance(stream->number + stream->tries);
	char url[64];
	char lines[6][96];
	const char *headers[10] = {HOST, "X-Token-Count: 100,200"};
	size_t count = 2;
	const at_transfer_spec_t spec = {.method = "POST",
	    .url = url,
	    .target = "/chat/1",
	    .headers = headers,
	    .body = "hello",
	    .body_len = 5,
	    .connect_ms = CONNECT_MS,
	    .new_connection = 1,
	    .forbid_resend = 1};
	const at_transfer_events_t events = {
	    on_headers, on_data, on_done, stream};

	stream->tries++;
	stream->event_at_try = stream->last_event;
	stream->is_in_touch = !instance->is_stopping && instance->pid != 0 &&
			      w_now() >= instance->calm_at;
	if (stream->last_event > 0 && stream->is_in_touch)
		stream->has_resumed_in_touch = 1;
	stream->buffered = 0;
	stream->status = 0;
	stream->retry_after_s = 0.;
	(void)snprintf(stream->id, sizeof(stream->id), "r%04u%04u",
	    stream->number, stream->tries);
	(void)snprintf(
	    url, sizeof(url), "http://127.0.0.1:%u/", instance->ports[0]);
	(void)snprintf(lines[0], 96, "X-Attempt-Id: %s", stream->id);
	(void)snprintf(lines[1], 96, "X-Deadline-Ms: %u",
	    (uint32_t)((stream->deadline_at - w_now()) * 1000.));
	(void)snprintf(lines[4], 96, "X-Model: %s", stream->model);
	headers[count++] = lines[0];
	headers[count++] = lines[1];
	(void)snprintf(lines[5], 96, "Authorization: Bearer %s", stream->key);
	headers[count++] = lines[4];
	headers[count++] = lines[5];
	if (stream->last_event > 0) {
		(void)snprintf(
		    lines[2], 96, "Last-Event-Id: %u", stream->last_event);
		(void)snprintf(lines[3], 96, "Resumes: %s", stream->first_id);
		headers[count++] = lines[2];
		headers[count++] = lines[3];
	}
	headers[count] = NULL;
	w_record("stream %u try %s at %s model=%s after event %u",
	    stream->number, stream->id, instance->name, stream->model,
	    stream->last_event);
	stream->transfer = at_httpc_start(world.client, &spec, &events);
}

static void
on_client_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	size_t i;

	(void)loop;
	(void)timer;
	(void)events;
	for (i = 0; i < world.stream_count; i++) {
		w_stream_t *stream = &world.streams[i];

		if (stream->is_done || stream->is_failed)
			continue;
		if (stream->transfer == NULL && w_now() >= stream->next_at)
			start_try(stream);
	}
}

static w_stream_t *
add_stream(const char *model, const char *key, const w_instance_t *only)
{
	w_stream_t *stream = &world.streams[world.stream_count++];

	stream->number = (uint32_t)world.stream_count;
	stream->deadline_at = w_now() + world.deadline_ms / 1000.;
	stream->gap_s = TRY_GAP_S;
	(void)snprintf(stream->model, sizeof(stream->model), "%s", model);
	stream->key = key;
	stream->only = only;
	start_try(stream);
	return stream;
}

w_stream_t *
w_start_stream(const char *model)
{
	return add_stream(model, W_KEY, NULL);
}

w_stream_t *
w_try_key(const char *key, const w_instance_t *instance)
{
	return add_stream("m0", key, instance);
}

uint32_t
w_open_streams(void)
{
	uint32_t open = 0;
	size_t i;

	for (i = 0; i < world.stream_count; i++)
		open +=
		    !world.streams[i].is_done && !world.streams[i].is_failed;
	return open;
}

uint32_t
w_versions_of(const w_stream_t *stream)
{
	int seen[256] = {0};
	uint32_t count = 0;
	uint32_t i;

	for (i = 1; i <= stream->last_event && i < W_EVENTS_MAX; i++) {
		unsigned char version = (unsigned char)stream->versions[i];

		if (version != 0 && !seen[version])
			count++;
		seen[version] = 1;
	}
	return count;
}

int
w_judge_resumptions(size_t first_new)
{
	uint32_t resumed = 0;
	uint32_t gone_on = 0;
	uint32_t created = 0;
	uint32_t begun = 0;
	int is_broken;
	size_t i;

	for (i = 0; i < world.stream_count; i++) {
		const w_stream_t *stream = &world.streams[i];

		resumed += stream->has_resumed_in_touch != 0;
		gone_on += stream->went_on_in_touch != 0;
		created += i >= first_new;
		begun += i >= first_new && stream->has_begun_at_first;
	}
	is_broken =
	    resumed >= RESUMED_MIN && 2u * gone_on * created < resumed * begun;
	w_record("taken up again at machines in touch=%u gone on=%u, new "
		 "streams=%u begun at the first try=%u: LOST %s",
	    resumed, gone_on, created, begun,
	    is_broken ? "is broken" : "holds");
	return is_broken;
}

/* Engines */

typedef struct run {
	w_engine_t *engine;
	at_httpd_request_t *request;
	char id[32];
	uint32_t sent;
	int64_t born_ms; /* of the engine */
	int is_waiting;
	ev_timer timer;
	struct run *next;
} run_t;

static run_t *runs;
static void on_request(void *ctx, at_httpd_request_t *request);

static void
delete_run(run_t *run)
{
	run_t **link = &runs;

	while (*link != run)
		link = &(*link)->next;
	*link = run->next;
	ev_timer_stop(world.loop, &run->timer);
	free(run);
}

static uint32_t
running(const w_engine_t *engine)
{
	const run_t *run;
	uint32_t count = 0;

	for (run = runs; run != NULL; run = run->next)
		count += run->engine == engine && !run->is_waiting;
	return count;
}

static void begin(run_t *run);

static void
end_run(run_t *run)
{
	w_engine_t *engine = run->engine;
	run_t *oldest = NULL;

	engine->open--;
	delete_run(run);
	if (running(engine) >= engine->slots)
		return;
	for (run = runs; run != NULL; run = run->next) {
		if (run->engine == engine && run->is_waiting)
			oldest = run;
	}
	if (oldest != NULL)
		begin(oldest);
}

static void
on_run_end(void *ctx, int closed)
{
	run_t *run = ctx;

	if (run->born_ms != run->engine->born_ms) {
		delete_run(run);
		return;
	}
	w_record("engine %s run %s ended closed=%d event=%u", run->engine->id,
	    run->id, closed, run->sent);
	end_run(run);
}

static void
on_event(struct ev_loop *loop, ev_timer *timer, int events)
{
	run_t *run = timer->data;
	char text[64];
	int len;

	(void)events;
	if (run->sent >= run->engine->events) {
		ev_timer_stop(loop, timer);
		at_httpd_stream_end(run->request);
		return;
	}
	run->sent++;
	len = snprintf(text, sizeof(text), "id: %u\ndata: %s piece %u\n\n",
	    run->sent, run->engine->version, run->sent);
	(void)at_httpd_stream_write(run->request, text, (size_t)len);
}

static void
refuse(const w_engine_t *engine, at_httpd_request_t *request, int status)
{
	const char *id = at_httpd_header(request, WIRE_REQUEST_ID);
	const at_header_t headers[] = {{"X-Instance-Id", engine->id},
	    {WIRE_NOT_RUN, "1"}, {WIRE_REQUEST_ID, id == NULL ? "-" : id},
	    {NULL, NULL}};

	at_httpd_reply(request, status, headers, "", 0);
}

static void
on_fall(struct ev_loop *loop, ev_timer *timer, int events)
{
	w_engine_t *engine = timer->data;
	at_status_t status;

	(void)events;
	if (engine->httpd != NULL) {
		engine->born_ms = 0;
		engine->is_registered = 0;
		engine->open = 0;
		at_httpd_delete(engine->httpd);
		engine->httpd = NULL;
		ev_timer_set(timer, 2., 0.);
		ev_timer_start(loop, timer);
		return;
	}
	engine->born_ms = (int64_t)(ev_time() * 1000.);
	engine->orders = 0;
	engine->fence = 0;
	engine->model_count = 0;
	engine->adapter_count = 0;
	engine->httpd = at_httpd_new(loop);
	at_httpd_set_handler(engine->httpd, on_request, engine);
	at_httpd_set_closed_check(engine->httpd, 20);
	if (at_httpd_init(engine->httpd, engine->address, &status) != AT_OK) {
		w_record("engine %s does not listen again", engine->id);
		return;
	}
	w_record("engine %s is back", engine->id);
	engine->is_registered = 1;
	w_write_entry(engine);
}

static void
begin(run_t *run)
{
	w_engine_t *engine = run->engine;
	const at_header_t headers[] = {{WIRE_REQUEST_ID, run->id},
	    {WIRE_SIGNATURE, engine->id}, {"Content-Type", "text/event-stream"},
	    {NULL, NULL}};

	run->is_waiting = 0;
	engine->runs++;
	w_record("engine %s version %s runs %s after event %u", engine->id,
	    engine->version, run->id, run->sent);
	at_httpd_stream_begin(run->request, 200, headers);
	ev_timer_start(world.loop, &run->timer);
}

static void
take(w_engine_t *engine, at_httpd_request_t *request)
{
	const char *id = at_httpd_header(request, WIRE_REQUEST_ID);
	const char *after = at_httpd_header(request, WIRE_RESUME_AFTER);
	run_t *run;

	if (engine->open >= engine->slots + engine->waiting_max) {
		refuse(engine, request, 503);
		return;
	}
	run = calloc(1, sizeof(*run));
	run->engine = engine;
	run->request = request;
	run->born_ms = engine->born_ms;
	run->sent = after == NULL ? 0 : (uint32_t)strtoul(after, NULL, 10);
	(void)snprintf(run->id, sizeof(run->id), "%s", id == NULL ? "-" : id);
	ev_timer_init(&run->timer, on_event, engine->event_gap_ms / 1000.,
	    engine->event_gap_ms / 1000.);
	run->timer.data = run;
	run->is_waiting = running(engine) >= engine->slots;
	run->next = runs;
	runs = run;
	engine->open++;
	at_httpd_set_end_handler(request, on_run_end, run);
	if (!run->is_waiting)
		begin(run);
}

static json_t *
models_json(const w_engine_t *engine)
{
	json_t *models = json_array();
	size_t i;
	size_t k;

	for (i = 0; i < engine->model_count; i++) {
		size_t len = strlen(engine->models[i]);
		json_t *adapters = json_array();

		for (k = 0; k < engine->adapter_count; k++) {
			const char *adapter = engine->adapters[k];

			if (strncmp(adapter, engine->models[i], len) == 0 &&
			    adapter[len] == '/')
				json_array_append_new(
				    adapters, json_string(adapter + len + 1));
		}
		json_array_append_new(models,
		    json_pack("{s:s,s:i,s:o}", "name", engine->models[i],
			"version", 1, "adapters", adapters));
	}
	return models;
}

static int
has_name(const char *names, size_t size, size_t count, const char *name)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(names + i * size, name) == 0)
			return 1;
	}
	return 0;
}

static int
has_model(const w_engine_t *engine, const char *name)
{
	return strchr(name, '/') != NULL
		   ? has_name(engine->adapters[0], sizeof(engine->adapters[0]),
			 engine->adapter_count, name)
		   : has_name(engine->models[0], sizeof(engine->models[0]),
			 engine->model_count, name);
}

/* Carries an order out; a load that does not fit makes the engine crash. */
static int
carry_out(w_engine_t *engine, int is_load, const char *name)
{
	int is_adapter = strchr(name, '/') != NULL;
	uint32_t mb = (uint32_t)(engine->model_count * W_MODEL_MB +
				 engine->adapter_count * W_ADAPTER_MB);
	size_t i;

	if (is_load && has_model(engine, name))
		return 200;
	mb += is_adapter ? W_ADAPTER_MB : W_MODEL_MB;
	if (is_load &&
	    (mb > world.weights_mb ||
		(is_adapter && engine->adapter_count == W_ADAPTER_SLOTS))) {
		w_record("engine %s crashes: ordered to load %s, with which "
			 "it would hold %u of %u MB and %zu adapters",
		    engine->id, name, mb, world.weights_mb,
		    engine->adapter_count + is_adapter);
		engine->beyond_memory++;
		ev_timer_set(&engine->fall, 0., 0.);
		ev_timer_start(world.loop, &engine->fall);
		return 202;
	}
	if (is_load && is_adapter)
		(void)snprintf(engine->adapters[engine->adapter_count++],
		    sizeof(engine->adapters[0]), "%s", name);
	else if (is_load)
		w_add_model(engine, name);
	for (i = 0; !is_load && i < engine->adapter_count; i++) {
		if (strcmp(engine->adapters[i], name) == 0)
			memmove(engine->adapters[i],
			    engine->adapters[--engine->adapter_count],
			    sizeof(engine->adapters[0]));
	}
	for (i = 0; !is_load && i < engine->model_count; i++) {
		if (strcmp(engine->models[i], name) == 0)
			memmove(engine->models[i],
			    engine->models[--engine->model_count],
			    sizeof(engine->models[0]));
	}
	return is_load ? 202 : 200;
}

static void
handle_order(w_engine_t *engine, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *order = json_loadb(body, len, 0, NULL);
	uint64_t fence = standin_json_number(order, "fencing_token", 0);
	uint64_t expected =
	    standin_json_number(order, "precondition", engine->orders);
	const char *adapter = standin_json_text(order, "adapter");
	char name[64];
	int status;

	(void)snprintf(name, sizeof(name), "%s%s%s",
	    standin_json_text(order, "model"), adapter[0] == '\0' ? "" : "/",
	    adapter);
	if (fence < engine->fence)
		status = 412;
	else if (expected != engine->orders)
		status = 409;
	else
		status = carry_out(engine,
		    strcmp(standin_json_text(order, "operation"), "load") == 0,
		    name);
	if (status < 300) {
		engine->fence = fence;
		engine->orders++;
	}
	w_record("engine %s order %s %s holder=%s fence=%llu status=%d",
	    engine->id, standin_json_text(order, "operation"), name,
	    standin_json_text(order, "holder"), (unsigned long long)fence,
	    status);
	json_decref(order);
	standin_reply_json(request, status, json_object());
}

static void
on_request(void *ctx, at_httpd_request_t *request)
{
	w_engine_t *engine = ctx;
	const char *path = at_httpd_path(request);
	const char *expected = at_httpd_header(request, WIRE_EXPECT_SERVER);
	const char *model = at_httpd_header(request, WIRE_MODEL);

	if (expected != NULL && strcmp(expected, engine->id) != 0)
		refuse(engine, request, 421);
	else if (strcmp(path, WIRE_ORDER_PATH) == 0)
		handle_order(engine, request);
	else if (strcmp(path, WIRE_REPORT_PATH) == 0)
		standin_reply_json(request, 200,
		    json_pack("{s:s,s:o,s:b,s:I,s:I,s:[]}", "phase", "both",
			"models", models_json(engine), "busy", 0, "sequence",
			(json_int_t)engine->orders, "born",
			(json_int_t)engine->born_ms, "pending"));
	else if (model != NULL && !has_model(engine, model))
		refuse(engine, request, 421);
	else
		take(engine, request);
}

void
w_write_entry(w_engine_t *engine)
{
	if (world.is_store_away)
		return;
	standin_store_put(world.store, WIRE_KIND_SERVERS, engine->id,
	    json_pack("{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:I,s:I,s:o}", "service",
		engine->service, "address", engine->address, "zone", "north",
		"version", engine->version, "slots", (int)engine->slots,
		"state", "ready", "cold_remaining_ms", 0, "born",
		(json_int_t)engine->born_ms, "sequence",
		(json_int_t)++engine->heartbeats, "models",
		models_json(engine)));
}

static void
on_heartbeat(struct ev_loop *loop, ev_timer *timer, int events)
{
	w_engine_t *engine = timer->data;

	(void)loop;
	(void)events;
	if (engine->is_registered)
		w_write_entry(engine);
}

void
w_add_model(w_engine_t *engine, const char *model)
{
	(void)snprintf(engine->models[engine->model_count++],
	    sizeof(engine->models[0]), "%s", model);
}

w_engine_t *
w_add_engine(const char *id, const char *version)
{
	w_engine_t *engine = &world.engines[world.engine_count++];
	at_status_t status;

	(void)snprintf(engine->id, sizeof(engine->id), "%s", id);
	(void)snprintf(engine->version, sizeof(engine->version), "%s", version);
	(void)snprintf(engine->service, sizeof(engine->service), "llm");
	engine->born_ms = (int64_t)(ev_time() * 1000.);
	engine->events = 60;
	w_add_model(engine, "m0");
	engine->slots = 16;
	engine->waiting_max = 16;
	ev_timer_init(&engine->fall, on_fall, 0., 0.);
	engine->fall.data = engine;
	engine->event_gap_ms = 100;
	engine->httpd = at_httpd_new(world.loop);
	at_httpd_set_handler(engine->httpd, on_request, engine);
	at_httpd_set_closed_check(engine->httpd, 20);
	if (at_httpd_init(engine->httpd, "127.0.0.1:0", &status) != AT_OK) {
		w_end();
		exit(2);
	}
	(void)snprintf(engine->address, sizeof(engine->address), "127.0.0.1:%u",
	    at_httpd_port(engine->httpd));
	ev_timer_init(&engine->heartbeat, on_heartbeat, W_HEARTBEAT_MS / 1000.,
	    W_HEARTBEAT_MS / 1000.);
	engine->heartbeat.data = engine;
	return engine;
}

void
w_register(w_engine_t *engine)
{
	w_record("engine %s of version %s writes its entry", engine->id,
	    engine->version);
	engine->is_registered = 1;
	w_write_entry(engine);
	ev_timer_start(world.loop, &engine->heartbeat);
}

/* Instances */

static uint16_t
free_port(void)
{
	struct sockaddr_in address = {
	    .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
	socklen_t len = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	uint16_t port = 0;

	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) == 0 &&
	    getsockname(fd, (struct sockaddr *)&address, &len) == 0)
		port = ntohs(address.sin_port);
	(void)close(fd);
	return port;
}

w_instance_t *
w_add_instance(const char *name)
{
	w_instance_t *instance = &world.instances[world.instance_count++];
	char path[128];
	FILE *file;
	size_t i;

	(void)snprintf(instance->name, sizeof(instance->name), "%s", name);
	for (i = 0; i < 4; i++)
		instance->ports[i] = free_port();
	(void)snprintf(path, sizeof(path), "%s/%s.conf", world.folder, name);
	file = fopen(path, "w");
	if (file == NULL)
		exit(2);
	/* As deploy/entry.conf, with the bounds of the small deployments. */
	(void)fprintf(file,
	    "name=%s\ndata-centre=north\nlisten=127.0.0.1:%u\n"
	    "ready=127.0.0.1:%u\nmetrics=127.0.0.1:%u\npeers=127.0.0.1:%u\n"
	    "store=127.0.0.1:%u\nseeds=\nstop-grace-s=8\nlease-ms=3000\n"
	    "drain-ms=2000\nconfig-apply-ms=2000\nretry-ratio=0.2\n"
	    "retry-slack=58\nprocessor-share=0.25\ncores=1\n"
	    "link-mbps=1000.0\ndescriptors=4100\nevacuate-ms=\n"
	    "regions=north:home\ncold-overage=\ncold-tolerance=\n"
	    "memory-mb=260\n",
	    name, instance->ports[0], instance->ports[1], instance->ports[2],
	    instance->ports[3], standin_store_port(world.store));
	(void)fclose(file);
	return instance;
}

void
w_start_instance(w_instance_t *instance)
{
	char conf[128];
	char log[128];
	int pid;

	(void)snprintf(
	    conf, sizeof(conf), "%s/%s.conf", world.folder, instance->name);
	(void)snprintf(
	    log, sizeof(log), "%s/%s.log", world.folder, instance->name);
	pid = fork();
	if (pid == 0) {
		/* It ends with this process. */
		(void)prctl(PR_SET_PDEATHSIG, SIGKILL);
		(void)setenv("ALMONDTHREAD_NODE_FILE", conf, 1);
		(void)setenv("ALMONDTHREAD_SECRET", SECRET, 1);
		if (freopen(log, "a", stdout) == NULL ||
		    freopen(log, "a", stderr) == NULL)
			_exit(2);
		(void)execl(
		    "target/bin/almond-entry", "almond-entry", (char *)NULL);
		_exit(2);
	}
	instance->pid = pid;
	instance->is_stopping = 0;
	instance->calm_at = w_now() + W_CONTACT_S;
	w_record("instance %s started", instance->name);
}

void
w_kill_instance(w_instance_t *instance)
{
	if (instance->pid == 0)
		return;
	(void)kill(instance->pid, SIGKILL);
	(void)waitpid(instance->pid, NULL, 0);
	instance->pid = 0;
	w_record("instance %s killed", instance->name);
}

static void
on_instance_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	w_instance_t *instance = timer->data;

	(void)events;
	if (instance->pid != 0 && instance->is_stopping) {
		if (waitpid(instance->pid, NULL, WNOHANG) != instance->pid)
			return;
		w_record("instance %s has ended", instance->name);
		instance->pid = 0;
		instance->start_at = w_now() + instance->after_s;
	} else if (instance->pid == 0 && w_now() >= instance->start_at) {
		ev_timer_stop(loop, timer);
		w_start_instance(instance);
	}
}

void
w_restart_instance(w_instance_t *instance, uint32_t after_ms)
{
	w_record("instance %s is sent SIGTERM", instance->name);
	instance->is_stopping = 1;
	instance->after_s = after_ms / 1000.;
	(void)kill(instance->pid, SIGTERM);
	ev_timer_init(&instance->check, on_instance_check, 0.02, 0.02);
	instance->check.data = instance;
	ev_timer_start(world.loop, &instance->check);
}

static uint32_t ready_count;

static void
on_ready(void *ctx, const at_transfer_result_t *result)
{
	(void)ctx;
	ready_count += result->is_complete && result->http_status == 200;
}

int
w_await_ready(uint32_t ms)
{
	double until = w_now() + ms / 1000.;
	size_t i;

	while (w_now() < until) {
		ready_count = 0;
		for (i = 0; i < world.instance_count; i++) {
			char url[64];
			const at_transfer_spec_t spec = {.method = "GET",
			    .url = url,
			    .target = "/readyz",
			    .total_ms = 500,
			    .new_connection = 1};
			const at_transfer_events_t events = {
			    .on_done = on_ready};

			(void)snprintf(url, sizeof(url), "http://127.0.0.1:%u/",
			    world.instances[i].ports[1]);
			(void)at_httpc_start(world.client, &spec, &events);
		}
		w_run_ms(600);
		if (ready_count == world.instance_count)
			return 1;
	}
	return 0;
}

void
w_put_config(uint64_t version)
{
	json_t *models = json_array();
	json_t *keys = json_pack("[s]", W_KEY);
	int i;

	if (world.has_old_key)
		json_array_append_new(keys, json_string(W_OLD_KEY));
	for (i = 0; i < 3; i++) {
		char name[8];

		(void)snprintf(name, sizeof(name), "m%d", i);
		json_array_append_new(
		    models, json_pack("{s:s,s:i,s:f,s:i,s:i,s:f,s:f}", "name",
				name, "weights_mb", W_MODEL_MB, "load_s", 4.2,
				"adapters", W_ADAPTERS, "adapter_mb",
				W_ADAPTER_MB, "warm_s", 0.47, "disk_s", 0.84));
	}
	standin_store_put(world.store, WIRE_KIND_CONFIG, WIRE_CONFIG_NAME,
	    json_pack("{s:I,s:[{s:s,s:s,s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:i,s:b,"
		      "s:b}],s:[{s:s,s:{s:i,s:i,s:i,s:i,s:f,s:o}}],"
		      "s:[{s:s,s:o}]}",
		"version", (json_int_t)version, "routes", "name", "chat",
		"hostname", "review.example", "path_prefix", "/chat/", "type",
		"streaming", "service", "llm", "timeout_ms",
		(int)world.deadline_ms, "target_latency_ms", 400,
		"gap_target_ms", 300, "priority", 0, "max_attempts", 2,
		"resumable", 1, "sticky", 1, "services", "name", "llm",
		"engine", "slots", 16, "kv_capacity", 150000, "weights_mb",
		(int)world.weights_mb, "adapter_slots", W_ADAPTER_SLOTS,
		"loads_per_s", 2.1, "models", models, "tenants", "name",
		"studio", "api_keys", keys));
}

void
w_begin(const char *path)
{
	const char *trouble = getenv("TROUBLE");
	at_status_t status;

	record = fopen(path, "w");
	if (record == NULL || sodium_init() < 0 ||
	    curl_global_init(CURL_GLOBAL_ALL) != 0)
		exit(2);
	(void)signal(SIGPIPE, SIG_IGN);
	world.started_at = ev_time();
	world.deadline_ms = DEADLINE_MS;
	world.weights_mb = 230000;
	world.has_trouble = trouble == NULL || strcmp(trouble, "0") != 0;
	(void)snprintf(
	    world.folder, sizeof(world.folder), "/tmp/review3-XXXXXX");
	if (mkdtemp(world.folder) == NULL)
		exit(2);
	world.loop = ev_loop_new(EVFLAG_AUTO);
	world.client = at_httpc_new(world.loop);
	world.store = standin_store_new(world.loop);
	if (standin_store_init(world.store, "127.0.0.1:0", &status) != AT_OK)
		exit(2);
	ev_timer_init(&client_timer, on_client_timer, 0.02, 0.02);
	ev_timer_start(world.loop, &client_timer);
	w_record("trouble=%d", world.has_trouble);
}

void
w_end(void)
{
	char command[160];
	size_t i;

	for (i = 0; i < world.instance_count; i++)
		w_kill_instance(&world.instances[i]);
	if (getenv("KEEP_LOGS") != NULL)
		return;
	(void)snprintf(command, sizeof(command), "rm -rf '%s'", world.folder);
	if (system(command) != 0)
		w_record("the temporary folder was not removed");
}
