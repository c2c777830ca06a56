#include "io/httpc.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <curl/curl.h>

#define RECEIVE_BUFFER (16L * 1024) /* bytes of one transfer */
#define CONNECTION_IDLE_S 20L       /* an older idle one is not reused */
#define CONNECTION_AGE_S 600L       /* nor one that lived longer */
#define DEFAULT_MAX_CONNECTIONS 512L

/*
 * A connection may go silent for good without a reset. Probes on an idle one
 * and a bound on unacknowledged bytes end it after about three seconds.
 */
#define PROBE_IDLE_S 1
#define PROBE_EVERY_S 1
#define PROBES_MAX 2
#define UNACKNOWLEDGED_MS 3000

struct at_transfer {
	at_httpc_t *httpc;
	at_transfer_t *next;
	at_transfer_t *prev;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	at_transfer_events_t events;
	void (*on_sending)(void *ctx);
	uint32_t idle_ms;
	ev_timer limit;
	at_reason_t limit_reason; /* why we ended it ourselves */
	int forbid_resend;
	uint32_t sendings; /* times the library began to send */
	int head_seen;
	int added; /* the library has it */
	int cancelled;
};

struct at_httpc {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	at_transfer_t *transfers;
	int running;   /* depth of callbacks of the library */
	int unsettled; /* starts or cancels wait for their end */
};

/* One socket of the library. */
typedef struct socket_watch {
	at_httpc_t *httpc;
	ev_io io;
} socket_watch_t;

static void transfer_free(at_transfer_t *transfer);
static void finish(at_transfer_t *transfer, CURLcode code);

/*
 * The library refuses to take or drop a handle while one of its callbacks
 * runs; starts and cancels made there are carried out here.
 */
static void
settle(at_httpc_t *httpc)
{
	at_transfer_t *transfer;
	at_transfer_t *next;

	if (!httpc->unsettled || httpc->running)
		return;
	httpc->unsettled = 0;
	for (transfer = httpc->transfers; transfer != NULL; transfer = next) {
		next = transfer->next;
		if (transfer->cancelled) {
			transfer_free(transfer);
		} else if (!transfer->added) {
			transfer->added = 1;
			(void)curl_multi_add_handle(
			    httpc->multi, transfer->easy);
		}
	}
}

static void
collect(at_httpc_t *httpc)
{
	CURLMsg *message;
	int left;

	settle(httpc);
	while ((message = curl_multi_info_read(httpc->multi, &left)) != NULL) {
		at_transfer_t *transfer = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		finish(transfer, code);
	}
	settle(httpc);
}

static void
on_socket_ready(struct ev_loop *loop, ev_io *io, int events)
{
	socket_watch_t *watch = io->data;
	at_httpc_t *httpc = watch->httpc;
	int mask = 0;
	int running;

	(void)loop;
	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	(void)curl_multi_socket_action(httpc->multi, io->fd, mask, &running);
	collect(httpc);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_httpc_t *httpc = timer->data;
	int running;

	(void)loop;
	(void)events;
	(void)curl_multi_socket_action(
	    httpc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	collect(httpc);
}

static int
timer_function(CURLM *multi, long timeout_ms, void *ctx)
{
	at_httpc_t *httpc = ctx;

	(void)multi;
	ev_timer_stop(httpc->loop, &httpc->timer);
	if (timeout_ms < 0)
		return 0;
	ev_timer_set(&httpc->timer, (double)timeout_ms / AT_MS_PER_S, 0.);
	ev_timer_start(httpc->loop, &httpc->timer);
	return 0;
}

static int
socket_function(CURL *easy, curl_socket_t fd, int what, void *ctx, void *socket)
{
	at_httpc_t *httpc = ctx;
	socket_watch_t *watch = socket;
	int events = 0;

	(void)easy;
	if (what == CURL_POLL_REMOVE) {
		if (watch != NULL) {
			ev_io_stop(httpc->loop, &watch->io);
			free(watch);
		}
		return 0;
	}
	if (watch == NULL) {
		watch = calloc(1, sizeof(*watch));
		if (watch == NULL)
			return -1;
		watch->httpc = httpc;
		ev_io_init(&watch->io, on_socket_ready, fd, 0);
		watch->io.data = watch;
		(void)curl_multi_assign(httpc->multi, fd, watch);
	}
	if (what & CURL_POLL_IN)
		events |= EV_READ;
	if (what & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(httpc->loop, &watch->io);
	ev_io_set(&watch->io, fd, events);
	if (events != 0)
		ev_io_start(httpc->loop, &watch->io);
	return 0;
}

at_httpc_t *
at_httpc_new(struct ev_loop *loop)
{
	at_httpc_t *httpc = calloc(1, sizeof(*httpc));

	if (httpc == NULL)
		return NULL;
	httpc->loop = loop;
	httpc->multi = curl_multi_init();
	if (httpc->multi == NULL) {
		free(httpc);
		return NULL;
	}
	ev_timer_init(&httpc->timer, on_timer, 0., 0.);
	httpc->timer.data = httpc;
	(void)curl_multi_setopt(
	    httpc->multi, CURLMOPT_SOCKETFUNCTION, socket_function);
	(void)curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETDATA, httpc);
	(void)curl_multi_setopt(
	    httpc->multi, CURLMOPT_TIMERFUNCTION, timer_function);
	(void)curl_multi_setopt(httpc->multi, CURLMOPT_TIMERDATA, httpc);
	at_httpc_set_max_connections(httpc, DEFAULT_MAX_CONNECTIONS);
	return httpc;
}

void
at_httpc_set_max_connections(at_httpc_t *httpc, long connections)
{
	(void)curl_multi_setopt(
	    httpc->multi, CURLMOPT_MAXCONNECTS, connections);
}

void
at_httpc_delete(at_httpc_t *httpc)
{
	if (httpc == NULL)
		return;
	while (httpc->transfers != NULL)
		transfer_free(httpc->transfers);
	ev_timer_stop(httpc->loop, &httpc->timer);
	(void)curl_multi_cleanup(httpc->multi);
	free(httpc);
}

static void
limit_start(at_transfer_t *transfer, uint32_t limit_ms)
{
	struct ev_loop *loop = transfer->httpc->loop;

	if (limit_ms == 0) {
		ev_timer_stop(loop, &transfer->limit);
		return;
	}
	transfer->limit.repeat = (double)limit_ms / AT_MS_PER_S;
	ev_timer_again(loop, &transfer->limit);
}

static int
request_has_left(at_transfer_t *transfer, uint64_t *sent)
{
	long bytes = 0;

	(void)curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &bytes);
	*sent = (uint64_t)bytes;
	return bytes > 0 || transfer->sendings > 0;
}

static at_reason_t
reason_of(const at_transfer_t *transfer, CURLcode code, int has_left)
{
	if (code == CURLE_OK)
		return AT_REASON_NONE;
	if (transfer->limit_reason != AT_REASON_NONE)
		return has_left ? transfer->limit_reason
				: AT_REASON_CONNECT_FAILED;
	if (!has_left)
		return AT_REASON_CONNECT_FAILED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return AT_REASON_DEADLINE;
	return transfer->head_seen ? AT_REASON_TRUNCATED
				   : AT_REASON_BACKEND_RESET;
}

static void
fill_result(
    at_transfer_t *transfer, CURLcode code, at_transfer_result_t *result)
{
	long status = 0;
	long connects = 0;
	int has_left = request_has_left(transfer, &result->sent_bytes);

	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	result->is_complete = code == CURLE_OK;
	result->http_status = (int)status;
	result->reason = reason_of(transfer, code, has_left);
	result->reused_connection = connects == 0;
	if (transfer->sendings > 1)
		result->resends = transfer->sendings - 1;
	if (result->is_complete)
		result->verdict = AT_VERDICT_RAN;
	else if (!has_left)
		result->verdict = AT_VERDICT_NOT_RUN;
	else
		result->verdict = AT_VERDICT_MAY_HAVE_RUN;
}

static void
finish(at_transfer_t *transfer, CURLcode code)
{
	at_transfer_events_t events = transfer->events;
	at_transfer_result_t result;
	int cancelled;

	memset(&result, 0, sizeof(result));
	fill_result(transfer, code, &result);
	cancelled = transfer->cancelled;
	transfer_free(transfer);
	if (!cancelled)
		events.on_done(events.ctx, &result);
}

static void
transfer_free(at_transfer_t *transfer)
{
	at_httpc_t *httpc = transfer->httpc;

	ev_timer_stop(httpc->loop, &transfer->limit);
	if (transfer->prev != NULL)
		transfer->prev->next = transfer->next;
	else
		httpc->transfers = transfer->next;
	if (transfer->next != NULL)
		transfer->next->prev = transfer->prev;
	(void)curl_multi_remove_handle(httpc->multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	curl_slist_free_all(transfer->headers);
	free(transfer->body);
	free(transfer);
}

static void
on_limit(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_transfer_t *transfer = timer->data;

	(void)loop;
	(void)events;
	transfer->limit_reason = transfer->head_seen
				     ? AT_REASON_IDLE_TIMEOUT
				     : AT_REASON_FIRST_BYTE_TIMEOUT;
	finish(transfer, CURLE_OPERATION_TIMEDOUT);
}

/* Calls on_head once, with the status of the final answer. */
static void
see_head(at_transfer_t *transfer)
{
	long status = 0;

	if (transfer->head_seen)
		return;
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return;
	transfer->head_seen = 1;
	limit_start(transfer, transfer->idle_ms);
	if (transfer->events.on_headers != NULL)
		transfer->events.on_headers(
		    transfer->events.ctx, transfer, (int)status);
}

/* The library calls this each time it is about to send the request. */
static int
sending_function(
    void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	at_transfer_t *transfer = ctx;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (transfer->cancelled)
		return CURL_PREREQFUNC_ABORT;
	transfer->sendings++;
	if (transfer->sendings > 1 && transfer->forbid_resend)
		return CURL_PREREQFUNC_ABORT;
	if (transfer->sendings == 1 && transfer->on_sending != NULL) {
		transfer->httpc->running++;
		transfer->on_sending(transfer->events.ctx);
		transfer->httpc->running--;
	}
	return transfer->cancelled ? CURL_PREREQFUNC_ABORT : CURL_PREREQFUNC_OK;
}

static size_t
header_function(char *data, size_t size, size_t count, void *ctx)
{
	at_transfer_t *transfer = ctx;
	size_t len = size * count;

	if (transfer->cancelled)
		return 0;
	/* An empty line ends the head. */
	if (len <= 2 && data[0] == '\r') {
		transfer->httpc->running++;
		see_head(transfer);
		transfer->httpc->running--;
		if (transfer->cancelled)
			return 0;
	}
	return len;
}

static size_t
write_function(char *data, size_t size, size_t count, void *ctx)
{
	at_transfer_t *transfer = ctx;
	size_t len = size * count;
	int pause = 0;

	if (transfer->cancelled)
		return CURL_WRITEFUNC_ERROR;
	limit_start(transfer, transfer->idle_ms);
	if (transfer->events.on_data == NULL)
		return len;
	transfer->httpc->running++;
	pause = transfer->events.on_data(transfer->events.ctx, data, len);
	transfer->httpc->running--;
	if (transfer->cancelled)
		return CURL_WRITEFUNC_ERROR;
	if (pause) {
		/* The data were taken: stop after them, without a limit. */
		limit_start(transfer, 0);
		(void)curl_easy_pause(transfer->easy, CURLPAUSE_RECV);
	}
	return len;
}

static int
sockopt_function(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	static const struct {
		int level;
		int name;
		int value;
	} options[] = {{SOL_SOCKET, SO_KEEPALIVE, 1},
	    {IPPROTO_TCP, TCP_KEEPIDLE, PROBE_IDLE_S},
	    {IPPROTO_TCP, TCP_KEEPINTVL, PROBE_EVERY_S},
	    {IPPROTO_TCP, TCP_KEEPCNT, PROBES_MAX},
	    {IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS}};
	size_t i;

	(void)ctx;
	(void)purpose;
	for (i = 0; i < sizeof(options) / sizeof(options[0]); i++)
		(void)setsockopt(fd, options[i].level, options[i].name,
		    &options[i].value, sizeof(options[i].value));
	return CURL_SOCKOPT_OK;
}

static int
set_options(at_transfer_t *transfer, const at_transfer_spec_t *spec)
{
	CURL *easy = transfer->easy;
	const char *const *header;
	int has_body = spec->body_len > 0 || strcmp(spec->method, "POST") == 0;

	transfer->headers = curl_slist_append(NULL, "Expect:");
	for (header = spec->headers; header != NULL && *header != NULL;
	     header++)
		transfer->headers =
		    curl_slist_append(transfer->headers, *header);
	if (transfer->headers == NULL)
		return -1;
	(void)curl_easy_setopt(easy, CURLOPT_URL, spec->url);
	(void)curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	(void)curl_easy_setopt(easy, CURLOPT_PROXY, "");
	(void)curl_easy_setopt(
	    easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
	(void)curl_easy_setopt(easy, CURLOPT_HTTPHEADER, transfer->headers);
	(void)curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER);
	(void)curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_S);
	(void)curl_easy_setopt(
	    easy, CURLOPT_MAXLIFETIME_CONN, CONNECTION_AGE_S);
	(void)curl_easy_setopt(easy, CURLOPT_SOCKOPTFUNCTION, sockopt_function);
	(void)curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
	if (spec->target != NULL)
		(void)curl_easy_setopt(
		    easy, CURLOPT_REQUEST_TARGET, spec->target);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, header_function);
	(void)curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, write_function);
	(void)curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
	(void)curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, sending_function);
	(void)curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
	if (spec->connect_only)
		(void)curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
	if (spec->connect_ms != 0)
		(void)curl_easy_setopt(
		    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)spec->connect_ms);
	if (spec->total_ms != 0)
		(void)curl_easy_setopt(
		    easy, CURLOPT_TIMEOUT_MS, (long)spec->total_ms);
	if (spec->new_connection) {
		(void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		(void)curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (has_body) {
		transfer->body = malloc(spec->body_len + 1);
		if (transfer->body == NULL)
			return -1;
		if (spec->body_len > 0)
			memcpy(transfer->body, spec->body, spec->body_len);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)spec->body_len);
		(void)curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, transfer->body);
	}
	(void)curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, spec->method);
	return 0;
}

at_transfer_t *
at_httpc_start(at_httpc_t *httpc, const at_transfer_spec_t *spec,
    const at_transfer_events_t *events)
{
	at_transfer_t *transfer = calloc(1, sizeof(*transfer));

	if (transfer == NULL)
		return NULL;
	transfer->httpc = httpc;
	transfer->events = *events;
	transfer->idle_ms = spec->idle_ms;
	transfer->forbid_resend = spec->forbid_resend;
	ev_timer_init(&transfer->limit, on_limit, 0., 0.);
	transfer->limit.data = transfer;
	transfer->easy = curl_easy_init();
	if (transfer->easy == NULL || set_options(transfer, spec) != 0) {
		curl_easy_cleanup(transfer->easy);
		curl_slist_free_all(transfer->headers);
		free(transfer->body);
		free(transfer);
		return NULL;
	}
	transfer->next = httpc->transfers;
	if (transfer->next != NULL)
		transfer->next->prev = transfer;
	httpc->transfers = transfer;
	limit_start(transfer, spec->first_byte_ms);
	httpc->unsettled = 1;
	settle(httpc);
	return transfer;
}

void
at_transfer_set_sending(at_transfer_t *transfer, void (*on_sending)(void *ctx))
{
	transfer->on_sending = on_sending;
}

void
at_transfer_cancel(at_transfer_t *transfer)
{
	transfer->cancelled = 1;
	ev_timer_stop(transfer->httpc->loop, &transfer->limit);
	transfer->httpc->unsettled = 1;
	settle(transfer->httpc);
}

void
at_transfer_resume(at_transfer_t *transfer)
{
	limit_start(transfer, transfer->idle_ms);
	(void)curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
}

const char *
at_transfer_header(const at_transfer_t *transfer, const char *name)
{
	struct curl_header *header = NULL;

	if (curl_easy_header(transfer->easy, name, 0, CURLH_HEADER, -1,
		&header) != CURLHE_OK)
		return NULL;
	return header->value;
}

void
at_transfer_each_header(const at_transfer_t *transfer,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx)
{
	struct curl_header *header = NULL;

	while ((header = curl_easy_nextheader(
		    transfer->easy, CURLH_HEADER, -1, header)) != NULL)
		visit(ctx, header->name, header->value);
}
