#include "io/httpd.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <microhttpd.h>

#include "io/address.h"

#define CONNECTION_MEMORY (32u * 1024) /* bytes of headers and buffers */
#define CONNECTION_IDLE_S 75u          /* an unused connection is closed */
#define GONE_CHECK_S 0.25              /* between looks for gone callers */
#define BODY_GROWTH 4096u              /* bytes a body buffer grows by */
#define STREAM_BLOCK (16u * 1024)      /* bytes handed over at a time */
#define RUNS_PER_TURN 16               /* runs of the library in one turn */
#define DEFAULT_MAX_BODY (1u << 20)
#define POLLS_GROWTH 64u /* places added for gone checks */

typedef enum request_state {
	REQUEST_READING,
	REQUEST_HANDLED,   /* the handler has it, no answer yet */
	REQUEST_ANSWERED,  /* a response is queued or ready to be */
	REQUEST_STREAMING, /* the body is still being written */
	REQUEST_ENDING,    /* the whole answer is buffered */
	REQUEST_FAILING,   /* what is buffered goes out, then it is cut */
	REQUEST_ABORTED
} request_state_t;

struct at_httpd_request {
	at_httpd_t *httpd;
	struct MHD_Connection *connection;
	at_httpd_request_t *next;
	at_httpd_request_t *prev;
	char *path;
	char method[16];
	char *body;
	size_t body_len;
	size_t body_size;
	int too_large;
	request_state_t state;
	int suspended;
	int gone;
	int paused; /* the producer was told to pause */
	struct MHD_Response *response;
	int status;
	char *out; /* stream bytes not yet handed over */
	size_t out_start;
	size_t out_end;
	size_t out_size;
	at_httpd_end_t on_end;
	at_httpd_gone_t on_gone;
	at_httpd_drain_t on_drain;
	void *ctx;
};

struct at_httpd {
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	at_httpd_handler_t handler;
	void *handler_ctx;
	size_t max_body;
	int listen_fd;
	uint16_t port;
	int quiescing;
	int closing; /* each answer ends its connection */
	int run_owed;
	ev_io readable;
	ev_timer timeout;
	ev_timer gone_check;
	ev_prepare prepare;
	at_httpd_request_t *requests;
	size_t open;
	struct pollfd *polls;
	at_httpd_request_t **polled; /* whose descriptor each is */
	size_t poll_size;
};

at_httpd_t *
at_httpd_new(struct ev_loop *loop)
{
	at_httpd_t *httpd = calloc(1, sizeof(*httpd));

	if (httpd == NULL)
		return NULL;
	httpd->loop = loop;
	httpd->max_body = DEFAULT_MAX_BODY;
	httpd->listen_fd = -1;
	return httpd;
}

void
at_httpd_set_handler(at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx)
{
	httpd->handler = handler;
	httpd->handler_ctx = ctx;
}

void
at_httpd_set_max_body(at_httpd_t *httpd, size_t bytes)
{
	httpd->max_body = bytes;
}

static void
suspend(at_httpd_request_t *request)
{
	if (request->suspended)
		return;
	request->suspended = 1;
	MHD_suspend_connection(request->connection);
}

/* The library acts on a resumed connection only in its next run. */
static void
resume(at_httpd_request_t *request)
{
	if (!request->suspended)
		return;
	request->suspended = 0;
	MHD_resume_connection(request->connection);
	request->httpd->run_owed = 1;
}

static at_httpd_request_t *
request_new(at_httpd_t *httpd, struct MHD_Connection *connection,
    const char *method, const char *path)
{
	at_httpd_request_t *request = calloc(1, sizeof(*request));

	if (request == NULL)
		return NULL;
	request->httpd = httpd;
	request->connection = connection;
	request->path = strdup(path);
	(void)snprintf(request->method, sizeof(request->method), "%s", method);
	request->next = httpd->requests;
	if (request->next != NULL)
		request->next->prev = request;
	httpd->requests = request;
	httpd->open++;
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
	httpd->open--;
	if (request->response != NULL)
		MHD_destroy_response(request->response);
	free(request->path);
	free(request->body);
	free(request->out);
	free(request);
}

static int
body_append(at_httpd_request_t *request, const char *data, size_t len)
{
	size_t need = request->body_len + len + 1;
	char *grown;

	if (need > request->body_size) {
		size_t size = need + need / 2 + BODY_GROWTH;

		grown = realloc(request->body, size);
		if (grown == NULL)
			return -1;
		request->body = grown;
		request->body_size = size;
	}
	memcpy(request->body + request->body_len, data, len);
	request->body_len += len;
	request->body[request->body_len] = '\0';
	return 0;
}

static int
body_announced_too_large(at_httpd_request_t *request)
{
	const char *text = at_httpd_header(request, "Content-Length");

	return text != NULL &&
	       strtoull(text, NULL, 10) > request->httpd->max_body;
}

static void
answer_too_large(at_httpd_request_t *request)
{
	static const char body[] =
	    "{\"error\":{\"message\":\"The body is larger than is accepted.\","
	    "\"type\":\"invalid_request_error\",\"code\":\"body_too_large\","
	    "\"verdict\":\"not_run\",\"reason\":\"body_too_large\"}}\n";
	static const at_header_t headers[] = {
	    {"Content-Type", "application/json"}, {"Connection", "close"},
	    {NULL, NULL}};

	request->state = REQUEST_HANDLED;
	at_httpd_reply(request, 413, headers, body, sizeof(body) - 1);
}

static enum MHD_Result
queue_response(at_httpd_request_t *request)
{
	return MHD_queue_response(request->connection,
	    (unsigned int)request->status, request->response);
}

/*
 * The library calls this with the headers, with each part of the body, with
 * the end of the body, and once more after each resume until a response is
 * queued.
 */
static enum MHD_Result
on_access(void *cls, struct MHD_Connection *connection, const char *url,
    const char *method, const char *version, const char *data, size_t *len,
    void **request_cls)
{
	at_httpd_t *httpd = cls;
	at_httpd_request_t *request = *request_cls;

	(void)version;
	if (request == NULL) {
		request = request_new(httpd, connection, method, url);
		*request_cls = request;
		if (request == NULL)
			return MHD_NO;
		if (!body_announced_too_large(request))
			return MHD_YES;
		answer_too_large(request);
		return queue_response(request);
	}
	if (*len > 0) {
		if (request->body_len + *len > httpd->max_body)
			request->too_large = 1;
		else if (body_append(request, data, *len) != 0)
			return MHD_NO;
		*len = 0;
		return MHD_YES;
	}
	if (request->state == REQUEST_READING) {
		if (request->too_large) {
			answer_too_large(request);
			return queue_response(request);
		}
		request->state = REQUEST_HANDLED;
		httpd->handler(httpd->handler_ctx, request);
	}
	if (request->state == REQUEST_ABORTED)
		return MHD_NO;
	if (request->response != NULL)
		return queue_response(request);
	suspend(request);
	return MHD_YES;
}

static void
on_completed(void *cls, struct MHD_Connection *connection, void **request_cls,
    enum MHD_RequestTerminationCode code)
{
	at_httpd_request_t *request = *request_cls;

	(void)cls;
	(void)connection;
	if (request == NULL)
		return;
	if (code != MHD_REQUEST_TERMINATED_COMPLETED_OK)
		request->gone = 1;
	if (request->on_end != NULL)
		request->on_end(request->ctx, request->gone);
	request_delete(request);
	*request_cls = NULL;
}

static int
grow_polls(at_httpd_t *httpd)
{
	size_t size = 2 * httpd->poll_size + POLLS_GROWTH;
	struct pollfd *polls = realloc(httpd->polls, size * sizeof(*polls));
	at_httpd_request_t **polled;

	if (polls == NULL)
		return -1;
	httpd->polls = polls;
	polled =
	    realloc(httpd->polled, size * sizeof(struct at_httpd_request *));
	if (polled == NULL)
		return -1;
	httpd->polled = polled;
	httpd->poll_size = size;
	return 0;
}

/* Looks at suspended connections, which the library does not read. */
static void
check_gone(at_httpd_t *httpd)
{
	size_t count = 0;
	size_t i;
	at_httpd_request_t *request;

	for (request = httpd->requests; request != NULL;
	     request = request->next) {
		const union MHD_ConnectionInfo *info;

		if (!request->suspended || request->gone)
			continue;
		if (count == httpd->poll_size && grow_polls(httpd) != 0)
			break;
		info = MHD_get_connection_info(
		    request->connection, MHD_CONNECTION_INFO_CONNECTION_FD);
		httpd->polls[count].fd = info->connect_fd;
		httpd->polls[count].events = POLLRDHUP;
		httpd->polled[count] = request;
		count++;
	}
	if (count == 0 || poll(httpd->polls, count, 0) <= 0)
		return;
	for (i = 0; i < count; i++) {
		short seen = httpd->polls[i].revents;

		request = httpd->polled[i];
		if ((seen & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
			continue;
		request->gone = 1;
		if (request->on_gone != NULL)
			request->on_gone(request->ctx);
		request->state = REQUEST_ABORTED;
		resume(request);
	}
}

static void
on_gone_check(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	check_gone(timer->data);
}

static void
run(at_httpd_t *httpd)
{
	int turns = 0;

	do {
		httpd->run_owed = 0;
		(void)MHD_run(httpd->daemon);
	} while (httpd->run_owed && ++turns < RUNS_PER_TURN);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_httpd_t *httpd = io->data;

	(void)loop;
	(void)events;
	httpd->run_owed = 1;
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_httpd_t *httpd = timer->data;

	(void)loop;
	(void)events;
	httpd->run_owed = 1;
}

/* Runs before each wait: what is owed to the library, then its timeout. */
static void
on_prepare(struct ev_loop *loop, ev_prepare *prepare, int events)
{
	at_httpd_t *httpd = prepare->data;
	MHD_UNSIGNED_LONG_LONG timeout_ms = 0;

	(void)events;
	if (!httpd->run_owed)
		return;
	run(httpd);
	ev_timer_stop(loop, &httpd->timeout);
	if (httpd->run_owed)
		timeout_ms = 0;
	else if (MHD_get_timeout(httpd->daemon, &timeout_ms) != MHD_YES)
		return;
	ev_timer_set(&httpd->timeout, (double)timeout_ms / AT_MS_PER_S, 0.);
	ev_timer_start(loop, &httpd->timeout);
}

static int
listen_on(const struct sockaddr_in *addr, uint16_t *port)
{
	struct sockaddr_in bound = {0};
	socklen_t len = sizeof(bound);
	int one = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);

	if (fd < 0)
		return -1;
	(void)setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
	if (bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) != 0 ||
	    listen(fd, SOMAXCONN) != 0 ||
	    getsockname(fd, (struct sockaddr *)&bound, &len) != 0) {
		(void)close(fd);
		return -1;
	}
	*port = ntohs(bound.sin_port);
	return fd;
}

static void
start_watchers(at_httpd_t *httpd)
{
	const union MHD_DaemonInfo *info =
	    MHD_get_daemon_info(httpd->daemon, MHD_DAEMON_INFO_EPOLL_FD);

	ev_io_init(&httpd->readable, on_readable, info->epoll_fd, EV_READ);
	ev_timer_init(&httpd->timeout, on_timeout, 0., 0.);
	ev_timer_init(
	    &httpd->gone_check, on_gone_check, GONE_CHECK_S, GONE_CHECK_S);
	ev_prepare_init(&httpd->prepare, on_prepare);
	httpd->readable.data = httpd;
	httpd->timeout.data = httpd;
	httpd->gone_check.data = httpd;
	httpd->prepare.data = httpd;
	ev_io_start(httpd->loop, &httpd->readable);
	ev_timer_start(httpd->loop, &httpd->gone_check);
	ev_prepare_start(httpd->loop, &httpd->prepare);
}

at_code_t
at_httpd_init(at_httpd_t *httpd, const char *address, at_status_t *status)
{
	struct sockaddr_in addr;

	assert(httpd->handler != NULL);
	if (at_address_parse(address, &addr) != 0)
		return at_status_set(
		    status, AT_INVALID, "'%s': expected IP:PORT", address);
	httpd->listen_fd = listen_on(&addr, &httpd->port);
	if (httpd->listen_fd < 0)
		return at_status_set(status, AT_FAILED, "listen on %s: %s",
		    address, strerror(errno));
	httpd->daemon = MHD_start_daemon(
	    MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
	    httpd, MHD_OPTION_LISTEN_SOCKET, httpd->listen_fd,
	    MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY,
	    MHD_OPTION_CONNECTION_TIMEOUT, CONNECTION_IDLE_S,
	    MHD_OPTION_NOTIFY_COMPLETED, on_completed, httpd, MHD_OPTION_END);
	if (httpd->daemon == NULL) {
		(void)close(httpd->listen_fd);
		httpd->listen_fd = -1;
		return at_status_set(
		    status, AT_FAILED, "cannot start HTTP on %s", address);
	}
	start_watchers(httpd);
	return AT_OK;
}

uint16_t
at_httpd_port(const at_httpd_t *httpd)
{
	return httpd->port;
}

void
at_httpd_quiesce(at_httpd_t *httpd)
{
	if (httpd->quiescing || httpd->daemon == NULL)
		return;
	httpd->quiescing = 1;
	httpd->closing = 1;
	(void)MHD_quiesce_daemon(httpd->daemon);
	(void)close(httpd->listen_fd);
	httpd->listen_fd = -1;
}

void
at_httpd_close_connections(at_httpd_t *httpd)
{
	httpd->closing = 1;
}

size_t
at_httpd_open_requests(const at_httpd_t *httpd)
{
	return httpd->open;
}

/* Stopping the library with a suspended connection would abort us. */
static void
abort_open(at_httpd_t *httpd)
{
	at_httpd_request_t *request;
	int turns;

	for (request = httpd->requests; request != NULL;
	     request = request->next)
		at_httpd_stream_abort(request);
	for (turns = 0; httpd->requests != NULL && turns < RUNS_PER_TURN;
	     turns++)
		(void)MHD_run(httpd->daemon);
}

void
at_httpd_delete(at_httpd_t *httpd)
{
	if (httpd == NULL)
		return;
	if (httpd->daemon != NULL) {
		ev_io_stop(httpd->loop, &httpd->readable);
		ev_timer_stop(httpd->loop, &httpd->timeout);
		ev_timer_stop(httpd->loop, &httpd->gone_check);
		ev_prepare_stop(httpd->loop, &httpd->prepare);
		abort_open(httpd);
		MHD_stop_daemon(httpd->daemon);
	}
	free(httpd->polls);
	free(httpd->polled);
	free(httpd);
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
	header_visit_t *v = cls;

	(void)kind;
	v->visit(v->ctx, name, value == NULL ? "" : value);
	return MHD_YES;
}

void
at_httpd_each_header(const at_httpd_request_t *request,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx)
{
	header_visit_t v = {visit, ctx};

	(void)MHD_get_connection_values(
	    request->connection, MHD_HEADER_KIND, visit_header, &v);
}

const char *
at_httpd_body(const at_httpd_request_t *request, size_t *len)
{
	*len = request->body_len;
	return request->body == NULL ? "" : request->body;
}

void
at_httpd_set_end(at_httpd_request_t *request, at_httpd_end_t end, void *ctx)
{
	request->on_end = end;
	request->ctx = ctx;
}

void
at_httpd_set_gone(at_httpd_request_t *request, at_httpd_gone_t gone)
{
	request->on_gone = gone;
}

void
at_httpd_set_drain(at_httpd_request_t *request, at_httpd_drain_t drain)
{
	request->on_drain = drain;
}

static void
set_response(at_httpd_request_t *request, struct MHD_Response *response,
    int status, const at_header_t *headers)
{
	for (; headers != NULL && headers->name != NULL; headers++)
		(void)MHD_add_response_header(
		    response, headers->name, headers->value);
	if (request->httpd->closing)
		(void)MHD_add_response_header(response, "Connection", "close");
	request->response = response;
	request->status = status;
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
	request->state = REQUEST_ANSWERED;
	set_response(request, response, status, headers);
	resume(request);
}

/* Hands over buffered bytes, or suspends until there are more. */
static ssize_t
on_read(void *cls, uint64_t pos, char *buf, size_t max)
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
		suspend(request);
		return 0;
	}
	if (len > max)
		len = max;
	memcpy(buf, request->out + request->out_start, len);
	request->out_start += len;
	if (request->out_start == request->out_end) {
		request->out_start = 0;
		request->out_end = 0;
	}
	if (request->paused &&
	    request->out_end - request->out_start < AT_HTTPD_LOW_WATER) {
		request->paused = 0;
		if (request->on_drain != NULL)
			request->on_drain(request->ctx);
	}
	return (ssize_t)len;
}

void
at_httpd_stream_begin(
    at_httpd_request_t *request, int status, const at_header_t *headers)
{
	struct MHD_Response *response;

	if (request->state == REQUEST_ABORTED)
		return;
	assert(request->state == REQUEST_HANDLED);
	response = MHD_create_response_from_callback(
	    MHD_SIZE_UNKNOWN, STREAM_BLOCK, on_read, request, NULL);
	request->state = REQUEST_STREAMING;
	set_response(request, response, status, headers);
	resume(request);
}

static int
out_reserve(at_httpd_request_t *request, size_t len)
{
	size_t held = request->out_end - request->out_start;
	size_t size;
	char *grown;

	if (request->out_end + len <= request->out_size)
		return 0;
	if (request->out_start > 0) {
		memmove(request->out, request->out + request->out_start, held);
		request->out_start = 0;
		request->out_end = held;
	}
	if (held + len <= request->out_size)
		return 0;
	size = held + len + request->out_size;
	grown = realloc(request->out, size);
	if (grown == NULL)
		return -1;
	request->out = grown;
	request->out_size = size;
	return 0;
}

int
at_httpd_stream_write(at_httpd_request_t *request, const void *data, size_t len)
{
	if (request->state != REQUEST_STREAMING || request->gone)
		return 0;
	if (out_reserve(request, len) != 0) {
		at_httpd_stream_abort(request);
		return 0;
	}
	memcpy(request->out + request->out_end, data, len);
	request->out_end += len;
	resume(request);
	if (request->out_end - request->out_start >= AT_HTTPD_HIGH_WATER)
		request->paused = 1;
	return request->paused;
}

void
at_httpd_stream_end(at_httpd_request_t *request)
{
	if (request->state != REQUEST_STREAMING)
		return;
	request->state = REQUEST_ENDING;
	resume(request);
}

void
at_httpd_stream_fail(at_httpd_request_t *request)
{
	if (request->state != REQUEST_STREAMING)
		return;
	request->state = REQUEST_FAILING;
	resume(request);
}

void
at_httpd_stream_abort(at_httpd_request_t *request)
{
	if (request->state == REQUEST_ABORTED)
		return;
	request->state = REQUEST_ABORTED;
	resume(request);
}
