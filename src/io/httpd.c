/*
 * The server: settings, listening, receiving requests, and shutdown.
 * Connections are in httpd_connections.c, responses in httpd_request.c.
 */
#include "io/httpd_private.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <sodium.h>

#include "io/address.h"
#include "io/httpd_syntax.h"

#define BODY_GROWTH_BYTES 4096u /* added to the bytes needed */
/* Runs of libmicrohttpd in which a deleted server ends its requests. */
#define ABORT_RUNS_MAX 1000
#define DEFAULT_BODY_MAX_BYTES (1u << 20)
#define DEFAULT_HEADER_TIMEOUT_MS 30000u
#define DEFAULT_BODY_TIMEOUT_MS 30000u
/*
 * Lost segments are repeated after 200 and 600 ms by then. Only while hardly
 * any more connections may be accepted.
 */
#define DEFAULT_GIVE_WAY_MS 1000u
#define HEADERS_MAX_BYTES (16u * 1024)
#define DEFAULT_CLOSED_CHECK_MS 250u
#define DEFAULT_CONNECTIONS_MAX 16384u

at_httpd_t *
at_httpd_new(struct ev_loop *loop)
{
	at_httpd_t *httpd = calloc(1, sizeof(*httpd));

	if (httpd == NULL)
		return NULL;
	httpd->loop = loop;
	httpd->body_max_bytes = DEFAULT_BODY_MAX_BYTES;
	httpd->header_timeout_ms = DEFAULT_HEADER_TIMEOUT_MS;
	httpd->body_timeout_ms = DEFAULT_BODY_TIMEOUT_MS;
	httpd->give_way_ms = DEFAULT_GIVE_WAY_MS;
	httpd->may_read_ahead = 1;
	httpd->closed_check_ms = DEFAULT_CLOSED_CHECK_MS;
	httpd->listen_fd = -1;
	httpd->backlog = SOMAXCONN;
	httpd->connections_max = DEFAULT_CONNECTIONS_MAX;
	TAILQ_INIT(&httpd->connections);
	TAILQ_INIT(&httpd->idle);
	return httpd;
}

void
at_httpd_set_handler(at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx)
{
	httpd->handler = handler;
	httpd->handler_ctx = ctx;
}

void
at_httpd_set_closed_check(at_httpd_t *httpd, uint32_t interval_ms)
{
	httpd->closed_check_ms = interval_ms;
}

void
at_httpd_set_backlog(at_httpd_t *httpd, int connections)
{
	httpd->backlog = connections;
}

void
at_httpd_set_connections_max(at_httpd_t *httpd, size_t connections)
{
	httpd->connections_max = connections;
}

void
at_httpd_set_memory(at_httpd_t *httpd, at_memory_t *memory)
{
	httpd->memory = memory;
}

void
at_httpd_set_waiting_buffer(at_httpd_t *httpd, size_t receive_bytes)
{
	httpd->waiting_buffer_bytes = receive_bytes;
}

void
at_httpd_set_socket_buffers(
    at_httpd_t *httpd, size_t receive_bytes, size_t send_bytes)
{
	httpd->receive_buffer_bytes = receive_bytes;
	httpd->send_buffer_bytes = send_bytes;
}

void
at_httpd_set_read_ahead(at_httpd_t *httpd, int may_read_ahead)
{
	httpd->may_read_ahead = may_read_ahead;
}

void
at_httpd_set_request_bytes(at_httpd_t *httpd, size_t bytes)
{
	httpd->request_bytes = bytes;
}

void
at_httpd_set_give_way(at_httpd_t *httpd, uint32_t waiting_ms)
{
	httpd->give_way_ms = waiting_ms;
}

void
at_httpd_set_header_timeout(at_httpd_t *httpd, uint32_t timeout_ms)
{
	httpd->header_timeout_ms = timeout_ms;
}

void
at_httpd_add_closed(const at_httpd_t *httpd, at_httpd_closed_counts_t *counts)
{
	counts->gave_way += httpd->gave_way_total;
	counts->late_headers += httpd->late_headers_total;
}

void
at_httpd_set_classifier(at_httpd_t *httpd,
    void (*classify)(
	void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class),
    void *ctx)
{
	httpd->classify = classify;
	httpd->classify_ctx = ctx;
}

void
at_httpd_set_max_body(at_httpd_t *httpd, size_t bytes)
{
	httpd->body_max_bytes = bytes;
}

void
at_httpd_set_fault_handler(
    at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx)
{
	httpd->fault_handler = handler;
	httpd->fault_ctx = ctx;
}

void
at_httpd_set_body_timeout_handler(
    at_httpd_t *httpd, void (*handler)(void *ctx), void *ctx)
{
	httpd->on_body_timeout = handler;
	httpd->body_timeout_ctx = ctx;
}

void
at_httpd_set_body_timeout(at_httpd_t *httpd, uint32_t timeout_ms)
{
	httpd->body_timeout_ms = timeout_ms;
}

static void
generate_id(char id[AT_HTTPD_ID_DIGITS + 1])
{
	unsigned char bytes[AT_HTTPD_ID_DIGITS / 2];

	randombytes_buf(bytes, sizeof(bytes));
	(void)sodium_bin2hex(id, AT_HTTPD_ID_DIGITS + 1, bytes, sizeof(bytes));
}

/* libmicrohttpd calls this with the request line, before the headers. */
static void *
request_new(void *cls, const char *target, struct MHD_Connection *connection)
{
	at_httpd_t *httpd = cls;
	at_httpd_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->httpd = httpd;
	request->connection = connection;
	request->target = strdup(target);
	request->raw_target = target;
	generate_id(request->id);
	request->started_at = ev_now(httpd->loop);
	request->progressed_at = request->started_at;
	request->next = httpd->requests;
	if (request->next != NULL)
		request->next->prev = request;
	httpd->requests = request;
	httpd->request_count++;
	httpd_set_request(httpd, connection, request);
	httpd_begin_headers(request);
	return request;
}

static void
request_delete(at_httpd_request_t *request)
{
	at_httpd_t *httpd = request->httpd;

	if (request->prev != NULL)
		request->prev->next = request->next;
	else
		httpd->requests = request->next;
	if (request->next != NULL)
		request->next->prev = request->prev;
	httpd->request_count--;
	httpd_end_headers(request);
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	free(request->path);
	free(request->target);
	free(request->method);
	httpd_drop_body(request);
	httpd_drop_out(request);
	at_memory_sub(
	    httpd->memory, AT_MEMORY_CONNECTIONS, request->charged_bytes);
	free(request);
}

/* Returns the room for need bytes of a body that may go on. */
static size_t
body_room(const at_httpd_request_t *request, size_t need)
{
	size_t size = need + need / 2 + BODY_GROWTH_BYTES;
	size_t max = request->httpd->body_max_bytes;

	return size < max ? size : max;
}

/* Makes room for size bytes of the body, unless there is no memory. */
static at_memory_verdict_t
body_reserve(at_httpd_request_t *request, size_t size, int may_pause)
{
	at_memory_verdict_t verdict;

	if (request->body == NULL)
		request->body = at_shared_body_new(request->httpd->memory);
	if (request->body == NULL)
		return AT_MEMORY_CLOSE;
	if (size <= request->body->size)
		return AT_MEMORY_ACCEPT;
	verdict = httpd_claim_body(request, size, may_pause);
	if (verdict == AT_MEMORY_ACCEPT &&
	    at_shared_body_reserve(request->body, size) != 0)
		return AT_MEMORY_CLOSE;
	return verdict;
}

static void
add_header_size(void *ctx, const char *name, const char *value)
{
	size_t *sum = ctx;

	*sum += strlen(name) + strlen(value);
}

/* Checks the headers before the body is read. */
static at_httpd_fault_t
check_headers(at_httpd_request_t *request, const char *version)
{
	const char *text = at_httpd_header(request, "Content-Length");
	size_t sum = 0;

	at_httpd_each_header(request, add_header_size, &sum);
	request->header_bytes = sum;
	if (sum > HEADERS_MAX_BYTES)
		return AT_HTTPD_HEADER_TOO_LARGE;
	if (text != NULL)
		request->content_len = strtoull(text, NULL, 10);
	request->fault_text = httpd_check_syntax(request, version);
	if (request->fault_text != NULL)
		return AT_HTTPD_MALFORMED;
	if (request->content_len > request->httpd->body_max_bytes)
		return AT_HTTPD_BODY_TOO_LARGE;
	return AT_HTTPD_NO_FAULT;
}

static enum MHD_Result
queue_response(at_httpd_request_t *request)
{
	return MHD_queue_response(request->connection,
	    (unsigned int)request->status, request->response);
}

static void
call_handler(at_httpd_request_t *request)
{
	at_httpd_t *httpd = request->httpd;

	request->state = REQUEST_HANDLED;
	if (request->fault == AT_HTTPD_NO_FAULT)
		httpd->handler(httpd->handler_ctx, request);
	else if (httpd->fault_handler != NULL)
		httpd->fault_handler(httpd->fault_ctx, request);
	else
		at_httpd_reply(request,
		    at_reason_status(at_httpd_fault_reason(request)), NULL, "",
		    0);
}

/* Calls the handler once, then queues the response or suspends. */
static enum MHD_Result
handle_request(at_httpd_request_t *request)
{
	if (request->state == REQUEST_READING) {
		if (request->fault == AT_HTTPD_NO_FAULT)
			httpd_claim_request(request);
		call_handler(request);
	}
	if (request->state == REQUEST_ABORTED)
		return MHD_NO;
	if (request->response != NULL)
		return queue_response(request);
	at_httpd_suspend(request);
	return MHD_YES;
}

int
httpd_is_body_late(const at_httpd_request_t *request)
{
	const at_httpd_t *httpd = request->httpd;
	double age_s = ev_now(httpd->loop) - request->started_at;

	return age_s * AT_MS_PER_S > httpd->body_timeout_ms;
}

/*
 * Appends a chunk of the body. Returns AT_MEMORY_CLOSE to close the connection,
 * AT_MEMORY_PAUSE if the chunk is to be passed again, else the chunk is used.
 */
static at_memory_verdict_t
receive_body(at_httpd_request_t *request, const char *data, size_t len)
{
	at_httpd_t *httpd = request->httpd;
	size_t need = len + (request->body == NULL ? 0 : request->body->len);
	at_memory_verdict_t verdict;

	if (httpd_is_body_late(request)) {
		if (httpd->on_body_timeout != NULL)
			httpd->on_body_timeout(httpd->body_timeout_ctx);
		return AT_MEMORY_CLOSE;
	}
	httpd_note_progress(request, len);
	/* What follows a fault is dropped. */
	if (request->fault != AT_HTTPD_NO_FAULT)
		return AT_MEMORY_ACCEPT;
	if (need > httpd->body_max_bytes) {
		request->fault = AT_HTTPD_BODY_TOO_LARGE;
		httpd_drop_body(request);
		return AT_MEMORY_ACCEPT;
	}
	verdict = request->body != NULL && need <= request->body->size
		      ? AT_MEMORY_ACCEPT
		      : body_reserve(request, body_room(request, need), 1);
	if (verdict == AT_MEMORY_ACCEPT)
		at_shared_body_append(request->body, data, len);
	return verdict;
}

/* Passes a chunk on; the library passes one that is not used again. */
static enum MHD_Result
on_body(at_httpd_request_t *request, const char *data, size_t *len)
{
	switch (receive_body(request, data, *len)) {
	case AT_MEMORY_CLOSE:
		return MHD_NO;
	case AT_MEMORY_PAUSE:
		at_httpd_suspend(request);
		return MHD_YES;
	case AT_MEMORY_ACCEPT:
	case AT_MEMORY_REFUSE:
	case AT_MEMORY_CUT_BACK:
		break;
	}
	*len = 0;
	return MHD_YES;
}

/* The headers are complete: refuses the request, or reads its body. */
static enum MHD_Result
on_headers(at_httpd_request_t *request, const char *version)
{
	at_memory_verdict_t verdict = AT_MEMORY_ACCEPT;

	request->fault = check_headers(request, version);
	if (request->fault != AT_HTTPD_NO_FAULT)
		return handle_request(request);
	request->progressed_at = ev_now(request->httpd->loop);
	if (request->content_len > 0)
		verdict =
		    body_reserve(request, (size_t)request->content_len, 0);
	if (verdict == AT_MEMORY_CLOSE)
		return MHD_NO;
	/* The caller of a refused one that waits has sent no body yet. */
	return verdict == AT_MEMORY_REFUSE &&
		       at_httpd_header(request, "Expect") != NULL
		   ? handle_request(request)
		   : MHD_YES;
}

static int
begin_request(at_httpd_request_t *request, const char *method, const char *path)
{
	request->has_headers = 1;
	httpd_end_headers(request);
	request->path = strdup(path);
	request->method = strdup(method);
	request->raw_method = method;
	return request->path == NULL || request->target == NULL ||
		       request->method == NULL
		   ? -1
		   : 0;
}

/*
 * libmicrohttpd calls this with the headers, with each chunk of the body, at
 * the end of the body, and after each resume until a response is queued.
 */
static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **request_cls)
{
	at_httpd_t *httpd = cls;
	at_httpd_request_t *request = *request_cls;

	(void)connection;
	if (httpd->is_aborting)
		return MHD_NO;
	if (request == NULL || request->state == REQUEST_ABORTED)
		return MHD_NO;
	if (!request->has_headers) {
		if (begin_request(request, method, url) != 0)
			return MHD_NO;
		return on_headers(request, version);
	}
	if (*len > 0)
		return on_body(request, data, len);
	return handle_request(request);
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **request_cls,
    enum MHD_RequestTerminationCode code)
{
	at_httpd_request_t *request = *request_cls;

	if (request == NULL)
		return;
	if (code == MHD_REQUEST_TERMINATED_COMPLETED_OK)
		httpd_set_request(cls, connection, NULL);
	else
		request->caller_closed = 1;
	if (request->on_end != NULL)
		request->on_end(request->ctx, request->caller_closed);
	if (request->finalizer != NULL)
		request->finalizer(request->finalizer_ctx, request->status);
	request_delete(request);
	*request_cls = NULL;
}

/*
 * Bounds what the kernel holds for each connection: those that are accepted
 * have the buffers of the listening socket. The kernel doubles the value.
 */
static void
set_buffer(int fd, int option, size_t bytes)
{
	int half = (int)(bytes / 2u);

	if (bytes > 0)
		(void)setsockopt(fd, SOL_SOCKET, option, &half, sizeof(half));
}

static int
has_waiting_buffer(const at_httpd_t *httpd)
{
	return httpd->waiting_buffer_bytes != 0 &&
	       httpd->waiting_buffer_bytes < httpd->receive_buffer_bytes;
}

void
httpd_widen_buffer(const at_httpd_t *httpd, int fd)
{
	int window = (int)httpd->receive_buffer_bytes;

	if (!has_waiting_buffer(httpd))
		return;
	set_buffer(fd, SO_RCVBUF, httpd->receive_buffer_bytes);
	/* It has kept that of the smaller buffer. */
	(void)setsockopt(
	    fd, IPPROTO_TCP, TCP_WINDOW_CLAMP, &window, sizeof(window));
}

static int
listen_on(
    const at_httpd_t *httpd, const struct sockaddr_in *addr, uint16_t *port)
{
	struct sockaddr_in bound = {0};
	socklen_t len = sizeof(bound);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	set_buffer(fd, SO_RCVBUF,
	    has_waiting_buffer(httpd) ? httpd->waiting_buffer_bytes
				      : httpd->receive_buffer_bytes);
	set_buffer(fd, SO_SNDBUF, httpd->send_buffer_bytes);
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) != 0 ||
	    listen(fd, httpd->backlog) != 0 ||
	    getsockname(fd, (struct sockaddr *)&bound, &len) != 0) {
		(void)close(fd);
		return -1;
	}
	*port = ntohs(bound.sin_port);
	return fd;
}

at_code_t
at_httpd_init(at_httpd_t *httpd, const char *address, at_status_t *status)
{
	struct sockaddr_in addr;

	assert(httpd->handler != NULL);
	if (at_address_parse(address, &addr) != 0)
		return at_status_set(
		    status, AT_INVALID, "'%s': expected IP:PORT", address);
	httpd->listen_fd = listen_on(httpd, &addr, &httpd->port);
	if (httpd->listen_fd < 0)
		return at_status_set(status, AT_FAILED,
		    "cannot listen on %s: %s", address, strerror(errno));
	httpd->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
	    httpd, MHD_OPTION_LISTEN_SOCKET, httpd->listen_fd,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
	    MHD_OPTION_CONNECTION_LIMIT, (unsigned int)httpd->connections_max,
	    MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_TIMEOUT_S,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd,
	    MHD_OPTION_NOTIFY_CONNECTION, httpd_on_connection, httpd,
	    MHD_OPTION_URI_LOG_CALLBACK, request_new, httpd, MHD_OPTION_END);
	if (httpd->daemon == NULL) {
		(void)close(httpd->listen_fd);
		httpd->listen_fd = -1;
		return at_status_set(status, AT_FAILED,
		    "cannot start the HTTP server on %s", address);
	}
	httpd_start_watchers(httpd);
	return AT_OK;
}

uint16_t
at_httpd_port(const at_httpd_t *httpd)
{
	return httpd->port;
}

void
at_httpd_stop_accepting(at_httpd_t *httpd)
{
	if (httpd->is_quiescing || httpd->daemon == NULL)
		return;
	httpd->is_quiescing = 1;
	httpd->is_closing = 1;
	(void)MHD_quiesce_daemon(httpd->daemon);
	(void)close(httpd->listen_fd);
	httpd->listen_fd = -1;
}

void
at_httpd_close_connections(at_httpd_t *httpd)
{
	httpd->is_closing = 1;
}

size_t
at_httpd_open_requests(const at_httpd_t *httpd)
{
	return httpd->request_count;
}

/*
 * libmicrohttpd aborts the process if it is stopped with a suspended
 * connection. Requests that arrive while the open ones end are closed at once
 * by on_access().
 */
static void
abort_requests(at_httpd_t *httpd)
{
	at_httpd_request_t *request;
	int runs;

	httpd->is_aborting = 1;
	for (runs = 0; runs < ABORT_RUNS_MAX; runs++) {
		for (request = httpd->requests; request != NULL;
		     request = request->next) {
			at_httpd_stream_abort(request);
			at_httpd_resume(request);
		}
		(void)MHD_run(httpd->daemon);
		if (httpd->requests == NULL)
			return;
	}
}

void
at_httpd_delete(at_httpd_t *httpd)
{
	if (httpd == NULL)
		return;
	if (httpd->daemon != NULL) {
		httpd_stop_watchers(httpd);
		abort_requests(httpd);
		MHD_stop_daemon(httpd->daemon);
	}
	free(httpd->poll_fds);
	free(httpd->poll_requests);
	free(httpd);
}
