/*
 * One request: access to its parts, its handlers, and complete and streamed
 * responses.
 */
#include "io/httpd_private.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define OUT_MOVE_PART 4u
#define BUFFER_GROWTH_BYTES 4096u /* added to the bytes needed */
/* A larger buffer is freed when it is empty. */
#define OUT_KEPT_BYTES (2u * AT_HTTPD_HIGH_WATER_BYTES)
#define STREAM_BLOCK_BYTES (16u * 1024) /* largest read by libmicrohttpd */

void
at_httpd_suspend(at_httpd_request_t *request)
{
	if (request->is_suspended)
		return;
	request->is_suspended = 1;
	MHD_suspend_connection(request->connection);
}

void
at_httpd_resume(at_httpd_request_t *request)
{
	if (!request->is_suspended)
		return;
	request->is_suspended = 0;
	MHD_resume_connection(request->connection);
	request->httpd->is_run_pending = 1;
}

at_httpd_fault_t
at_httpd_fault(const at_httpd_request_t *request)
{
	return request->fault;
}

const char *
at_httpd_fault_text(const at_httpd_request_t *request)
{
	return request->fault_text == NULL ? "" : request->fault_text;
}

at_reason_t
at_httpd_fault_reason(const at_httpd_request_t *request)
{
	switch (request->fault) {
	case AT_HTTPD_NO_FAULT:
		return AT_REASON_NONE;
	case AT_HTTPD_HEADER_TOO_LARGE:
		return AT_REASON_HEADER_TOO_LARGE;
	case AT_HTTPD_BODY_TOO_LARGE:
		return AT_REASON_BODY_TOO_LARGE;
	case AT_HTTPD_NO_MEMORY:
		return AT_REASON_NO_MEMORY;
	case AT_HTTPD_MALFORMED:
		break;
	}
	return AT_REASON_MALFORMED;
}

const char *
at_httpd_id(const at_httpd_request_t *request)
{
	return request->id;
}

const char *
at_httpd_method(const at_httpd_request_t *request)
{
	return request->method;
}

const char *
at_httpd_path(const at_httpd_request_t *request)
{
	return request->path;
}

const char *
at_httpd_target(const at_httpd_request_t *request)
{
	return request->target;
}

const char *
at_httpd_header(const at_httpd_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_HEADER_KIND, name);
}

const char *
at_httpd_argument(const at_httpd_request_t *request, const char *name)
{
	return MHD_lookup_connection_value(
	    request->connection, MHD_GET_ARGUMENT_KIND, name);
}

typedef struct header_visit {
	void (*visit)(void *ctx, const char *name, const char *value);
	void *ctx;
} header_visit_t;

static enum MHD_Result
visit_header(
    void *cls, enum MHD_ValueKind kind, const char *name, const char *value)
{
	header_visit_t *header_visit = cls;

	(void)kind;
	header_visit->visit(
	    header_visit->ctx, name, value == NULL ? "" : value);
	return MHD_YES;
}

void
at_httpd_each_header(const at_httpd_request_t *request,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx)
{
	header_visit_t header_visit = {visit, ctx};

	(void)MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, visit_header, &header_visit);
}

const char *
at_httpd_body(const at_httpd_request_t *request, size_t *len)
{
	const at_shared_body_t *body = at_httpd_shared_body(request);

	*len = body == NULL ? 0 : body->len;
	return body == NULL ? "" : body->data;
}

at_shared_body_t *
at_httpd_shared_body(const at_httpd_request_t *request)
{
	return request->body == NULL || request->body->len == 0 ? NULL
								: request->body;
}

uint32_t
at_httpd_retry_after_ms(const at_httpd_request_t *request)
{
	return request->retry_after_ms;
}

void
at_httpd_set_end_handler(
    at_httpd_request_t *request, at_httpd_end_t handler, void *ctx)
{
	request->on_end = handler;
	request->ctx = ctx;
}

void
at_httpd_set_finalizer(at_httpd_request_t *request,
    void (*finalizer)(void *ctx, int status), void *ctx)
{
	request->finalizer = finalizer;
	request->finalizer_ctx = ctx;
}

void
at_httpd_set_caller_closed_handler(
    at_httpd_request_t *request, at_httpd_closed_t handler)
{
	request->on_caller_closed = handler;
}

void
at_httpd_set_drain_handler(
    at_httpd_request_t *request, at_httpd_drain_t handler)
{
	request->on_drain = handler;
}

static void
set_response(at_httpd_request_t *request, struct MHD_Response *response,
    int status, const at_header_t *headers)
{
	for (; headers != NULL && headers->name != NULL; headers++)
		(void)MHD_add_response_header(
		    response, headers->name, headers->value);
	/* What follows a request with a fault may be its body. */
	if (request->httpd->is_closing || httpd_is_crowded(request->httpd) ||
	    httpd_is_short(request->httpd) ||
	    request->fault != AT_HTTPD_NO_FAULT)
		(void)MHD_add_response_header(response, "Connection", "close");
	request->response = response;
	request->status = status;
	request->progressed_at = ev_now(request->httpd->loop);
}

void
at_httpd_reply(at_httpd_request_t *request, int status,
    const at_header_t *headers, const void *body, size_t len)
{
	struct MHD_Response *response;

	if (request->state == REQUEST_ABORTED)
		return;
	assert(request->state == REQUEST_HANDLED);
	response = MHD_create_response_from_buffer(
	    len, (void *)(uintptr_t)body, MHD_RESPMEM_MUST_COPY);
	request->state = REQUEST_RESPONDED;
	set_response(request, response, status, headers);
	at_httpd_resume(request);
}

/*
 * Passes buffered bytes to libmicrohttpd. If there are none, the connection is
 * suspended until more are written.
 */
static ssize_t
on_stream_read(void *cls, uint64_t pos, char *buf, size_t max)
{
	at_httpd_request_t *request = cls;
	size_t len = request->out_end - request->out_start;

	(void)pos;
	if (request->state == REQUEST_ABORTED)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	if (len == 0) {
		if (request->state == REQUEST_ENDING)
			return MHD_CONTENT_READER_END_OF_STREAM;
		if (request->state == REQUEST_FAILING)
			return MHD_CONTENT_READER_END_WITH_ERROR;
		at_httpd_suspend(request);
		return 0;
	}
	if (len > max)
		len = max;
	memcpy(buf, request->out + request->out_start, len);
	request->out_start += len;
	httpd_note_progress(request, len);
	if (request->out_start == request->out_end) {
		request->out_start = 0;
		request->out_end = 0;
		if (request->out_size > OUT_KEPT_BYTES)
			httpd_drop_out(request);
	}
	if (request->is_paused &&
	    request->out_end - request->out_start < AT_HTTPD_LOW_WATER_BYTES) {
		request->is_paused = 0;
		if (request->on_drain != NULL)
			request->on_drain(request->ctx);
	}
	return (ssize_t)len;
}

void
at_httpd_reply_owned(at_httpd_request_t *request, int status,
    const at_header_t *headers, char *body, size_t len)
{
	struct MHD_Response *response;

	if (request->state == REQUEST_ABORTED) {
		free(body);
		return;
	}
	assert(request->state == REQUEST_HANDLED);
	if (request->httpd->memory != NULL &&
	    request->httpd->memory->limit != 0 &&
	    len >= AT_HTTPD_HIGH_WATER_BYTES) {
		/* Its progress is seen, as that of a stream. */
		request->out = body;
		request->out_end = len;
		request->out_size = len;
		at_memory_add(request->httpd->memory, AT_MEMORY_RESPONSES, len);
		response = MHD_create_response_from_callback(
		    len, STREAM_BLOCK_BYTES, on_stream_read, request, NULL);
		request->state = REQUEST_ENDING;
	} else {
		response = MHD_create_response_from_buffer(len,
		    len == 0 ? (void *)(uintptr_t) "" : body,
		    len == 0 ? MHD_RESPMEM_PERSISTENT : MHD_RESPMEM_MUST_FREE);
		if (len == 0)
			free(body);
		request->state = REQUEST_RESPONDED;
	}
	set_response(request, response, status, headers);
	at_httpd_resume(request);
}

void
at_httpd_stream_begin(
    at_httpd_request_t *request, int status, const at_header_t *headers)
{
	struct MHD_Response *response;

	if (request->state == REQUEST_ABORTED)
		return;
	assert(request->state == REQUEST_HANDLED);
	response = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN,
	    STREAM_BLOCK_BYTES, on_stream_read, request, NULL);
	request->state = REQUEST_STREAMING;
	set_response(request, response, status, headers);
	at_httpd_resume(request);
}

static int
out_reserve(at_httpd_request_t *request, size_t len)
{
	size_t buffered = request->out_end - request->out_start;
	size_t size;
	char *grown;

	if (request->out_end + len <= request->out_size)
		return 0;
	/* Moving a large rest for little room would take longer than it. */
	if (request->out_start > 0 &&
	    request->out_start >= buffered / OUT_MOVE_PART) {
		memmove(
		    request->out, request->out + request->out_start, buffered);
		request->out_start = 0;
		request->out_end = buffered;
	}
	if (request->out_end + len <= request->out_size)
		return 0;
	size = request->out_end + len + buffered / OUT_MOVE_PART +
	       BUFFER_GROWTH_BYTES;
	grown = realloc(request->out, size);
	if (grown == NULL)
		return -1;
	at_memory_add(request->httpd->memory, AT_MEMORY_RESPONSES,
	    size - request->out_size);
	request->out = grown;
	request->out_size = size;
	return 0;
}

/* The backend server cuts off a response that stays unread for long. */
static int
may_read_on(at_httpd_request_t *request)
{
	const at_httpd_t *httpd = request->httpd;

	if (httpd->memory == NULL || httpd->memory->limit == 0)
		return 0;
	if (httpd_claim_ahead(request) == 0)
		return 1;
	httpd->memory->paused_total += !request->is_paused;
	return 0;
}

int
at_httpd_stream_write(at_httpd_request_t *request, const void *data, size_t len)
{
	if (request->state != REQUEST_STREAMING || request->caller_closed)
		return 0;
	if (out_reserve(request, len) != 0) {
		at_httpd_stream_abort(request);
		return 0;
	}
	/* A caller makes no progress only while it has something to read. */
	if (request->out_end == request->out_start)
		request->progressed_at = ev_now(request->httpd->loop);
	memcpy(request->out + request->out_end, data, len);
	request->out_end += len;
	at_httpd_resume(request);
	if (request->out_end - request->out_start >=
		AT_HTTPD_HIGH_WATER_BYTES &&
	    !may_read_on(request))
		request->is_paused = 1;
	return request->is_paused;
}

size_t
at_httpd_buffered_bytes(const at_httpd_t *httpd)
{
	const at_httpd_request_t *request;
	size_t sum = 0;

	for (request = httpd->requests; request != NULL;
	     request = request->next)
		sum += request->out_end - request->out_start;
	return sum;
}

void
at_httpd_stream_end(at_httpd_request_t *request)
{
	if (request->state != REQUEST_STREAMING)
		return;
	request->state = REQUEST_ENDING;
	at_httpd_resume(request);
}

void
at_httpd_stream_fail(at_httpd_request_t *request)
{
	if (request->state != REQUEST_STREAMING)
		return;
	request->state = REQUEST_FAILING;
	at_httpd_resume(request);
}

void
at_httpd_stream_abort(at_httpd_request_t *request)
{
	if (request->state == REQUEST_ABORTED)
		return;
	request->state = REQUEST_ABORTED;
	at_httpd_resume(request);
}
