#include "standin/standin.h"

#include <stdlib.h>
#include <string.h>

#define DELAY_TICK_S 0.005 /* between checks for delayed responses due */

/* A response that is delayed by delay_ms. */
typedef struct delayed_response {
	struct delayed_response *next;
	at_httpd_request_t *request;
	json_t *body;
	double due_s; /* by the time of the loop */
	int caller_closed;
} delayed_response_t;

struct standin_service {
	struct ev_loop *loop;
	at_httpd_t *httpd;
	standin_faults_t faults;
	uint64_t executions;
	json_t *execution_log; /* executed requests, for GET /control/log */
	delayed_response_t *delayed_responses;
	ev_timer tick;
};

static json_t *
header_or_empty(at_httpd_request_t *request, const char *name)
{
	const char *value = at_httpd_header(request, name);

	return json_string(value == NULL ? "" : value);
}

static void
record_header(void *ctx, const char *name, const char *value)
{
	json_t *entry = ctx;

	json_array_append_new(entry, json_sprintf("%s: %s", name, value));
}

static void
log_execution(standin_service_t *service, at_httpd_request_t *request)
{
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *headers = json_array();

	at_httpd_each_header(request, record_header, headers);
	json_array_append_new(service->execution_log,
	    json_pack("{s:s,s:s,s:o,s:o,s:o,s:o}", "method",
		at_httpd_method(request), "path", at_httpd_path(request), "key",
		header_or_empty(request, "Idempotency-Key"), "id",
		header_or_empty(request, "X-Request-Id"), "headers", headers,
		"body", json_stringn_nocheck(body, len)));
}

static void
on_delayed_end(void *ctx, int caller_closed)
{
	delayed_response_t *response = ctx;

	(void)caller_closed;
	response->caller_closed = 1;
}

static void
reply_later(
    standin_service_t *service, at_httpd_request_t *request, json_t *body)
{
	delayed_response_t *response = calloc(1, sizeof(*response));

	response->request = request;
	response->body = body;
	response->due_s = ev_now(service->loop) +
			  (double)service->faults.delay_ms / AT_MS_PER_S;
	response->next = service->delayed_responses;
	service->delayed_responses = response;
	at_httpd_set_end_handler(request, on_delayed_end, response);
}

static void
on_tick(struct ev_loop *loop, ev_timer *timer, int events)
{
	standin_service_t *service = timer->data;
	delayed_response_t **link = &service->delayed_responses;
	delayed_response_t *response;

	(void)events;
	while ((response = *link) != NULL) {
		if (!response->caller_closed &&
		    ev_now(loop) < response->due_s) {
			link = &response->next;
			continue;
		}
		*link = response->next;
		if (response->caller_closed) {
			json_decref(response->body);
		} else {
			at_httpd_set_end_handler(response->request, NULL, NULL);
			standin_reply_json(
			    response->request, 200, response->body);
		}
		free(response);
	}
}

static void
execute(standin_service_t *service, at_httpd_request_t *request)
{
	static const at_header_t not_run[] = {{"X-Not-Run", "1"}, {NULL, NULL}};
	json_t *body;

	if (service->faults.refuse > 0) {
		service->faults.refuse--;
		at_httpd_reply(request, 503, not_run, "{}", 2);
		return;
	}
	service->executions++;
	log_execution(service, request);
	if (service->faults.repeat_refusal > 0) {
		static const at_header_t headers[] = {{"X-Not-Run", "1"},
		    {"X-Request-Id", "someone-else"}, {NULL, NULL}};

		service->faults.repeat_refusal--;
		at_httpd_reply(request, 503, headers, "{}", 2);
		return;
	}
	if (service->faults.silent > 0) {
		service->faults.silent--;
		return;
	}
	if (service->faults.crash > 0 || service->faults.lose_replies > 0) {
		if (service->faults.crash > 0)
			service->faults.crash--;
		else
			service->faults.lose_replies--;
		at_httpd_stream_abort(request);
		return;
	}
	body = json_pack("{s:b,s:I,s:s}", "ok", 1, "execution",
	    (json_int_t)service->executions, "path", at_httpd_path(request));
	if (service->faults.delay_ms > 0)
		reply_later(service, request, body);
	else
		standin_reply_json(request, 200, body);
}

static void
on_request(void *ctx, at_httpd_request_t *request)
{
	standin_service_t *service = ctx;
	const char *path = at_httpd_path(request);
	size_t len;
	const char *text = at_httpd_body(request, &len);

	if (strcmp(path, "/control/faults") == 0) {
		json_t *object = json_loadb(text, len, 0, NULL);

		standin_faults_update(&service->faults, object);
		json_decref(object);
		standin_reply_json(request, 200, json_object());
	} else if (strcmp(path, "/control/log") == 0) {
		standin_reply_json(request, 200,
		    json_pack("{s:I,s:O}", "executions",
			(json_int_t)service->executions, "log",
			service->execution_log));
	} else if (service->faults.outage) {
		standin_reply_json(request, 503, json_object());
	} else {
		execute(service, request);
	}
}

standin_service_t *
standin_service_new(struct ev_loop *loop)
{
	standin_service_t *service = calloc(1, sizeof(*service));

	service->loop = loop;
	service->execution_log = json_array();
	service->httpd = at_httpd_new(loop);
	at_httpd_set_handler(service->httpd, on_request, service);
	at_httpd_set_max_body(service->httpd, STANDIN_BODY_MAX_BYTES);
	return service;
}

at_code_t
standin_service_init(
    standin_service_t *service, const char *address, at_status_t *status)
{
	ev_timer_init(&service->tick, on_tick, DELAY_TICK_S, DELAY_TICK_S);
	service->tick.data = service;
	ev_timer_start(service->loop, &service->tick);
	return at_httpd_init(service->httpd, address, status);
}

uint16_t
standin_service_port(const standin_service_t *service)
{
	return at_httpd_port(service->httpd);
}

void
standin_service_delete(standin_service_t *service)
{
	ev_timer_stop(service->loop, &service->tick);
	at_httpd_delete(service->httpd);
	while (service->delayed_responses != NULL) {
		delayed_response_t *next = service->delayed_responses->next;

		json_decref(service->delayed_responses->body);
		free(service->delayed_responses);
		service->delayed_responses = next;
	}
	json_decref(service->execution_log);
	free(service);
}
