#include "io/httpc.h"

#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include <curl/curl.h>
#include <uthash.h>
#include <xxhash.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/http_syntax.h"
#include "io/tcp_out.h"

#define RECEIVE_BUFFER_BYTES (16L * 1024) /* buffer of each transfer */
#define CONNECTION_IDLE_MAX_S 20L         /* idle for longer: not reused */
#define CONNECTION_AGE_MAX_S 600L         /* open for longer: not reused */
/* Reads of a socket in a row that yield neither a header line nor a body. */
#define IDLE_READS_MAX 64u
/* Bytes that were to be read by then; libcurl passes over them one by one. */
#define IDLE_BYTES_MAX (256u << 10)
#define POOL_MAX 512u /* size of the connection pool */
/* Part of the connections that is left for others than callers' requests. */
#define RESERVED_PART 8u
/* Of libcurl, for a transfer and its connection. */
#define TRANSFER_BYTES (32u << 10)

/*
 * A request that the server's kernel has not received by then is given up: it
 * must not arrive at a server that has begun to leave meanwhile.
 */
#define UNACKNOWLEDGED_MAX_MS 2000u
#define UNACKNOWLEDGED_CHECK_S 0.25
/* Until the kernel has ended the other silent connections to the server. */
#define SILENT_ADDRESS_MS 15000u

struct at_transfer {
	at_httpc_t *httpc;
	at_transfer_t *next;
	at_transfer_t *prev;
	CURL *easy;
	struct curl_slist *headers;
	char *body;
	at_shared_body_t *shared_body;
	int is_paused;
	at_transfer_events_t events;
	void (*on_sending)(void *ctx);
	uint32_t idle_ms;
	ev_timer timeout;
	at_reason_t timeout_reason; /* AT_REASON_NONE before a timeout */
	int forbid_resend;
	int connect_only;    /* a connection is all that is wanted */
	uint32_t send_count; /* times libcurl began to send */
	size_t head_bytes;
	size_t head_lines;
	http_head_t head; /* of the response that is received */
	uint64_t body_bytes;
	uint64_t body_max_bytes; /* 0: no limit */
	uint32_t idle_reads;     /* of the socket, since the response went on */
	uint64_t idle_bytes;     /* available at these */
	int fd;                  /* once the request was sent, else -1 */
	int is_released;         /* the request has reached the server */
	int pending_bytes;       /* when it was last checked */
	uint64_t progress_ms;    /* of sending */
	uint64_t address;        /* hash of the server's address */
	int headers_received;
	int is_added; /* added to the multi handle */
	int is_cancelled;
	int is_ended; /* on_done is running; libcurl has let it go */
};

/*
 * A server of which a connection has become silent. Others that are open may be
 * as silent, so that only new ones are used.
 */
typedef struct silent_address {
	uint64_t address;
	uint64_t until_ms;
	UT_hash_handle hh;
} silent_address_t;

struct at_httpc {
	struct ev_loop *loop;
	CURLM *multi;
	ev_timer timer;
	ev_timer unacknowledged_timer;
	at_transfer_t *transfers;
	at_memory_t *memory; /* NULL: no account */
	size_t transfer_count;
	size_t open_max;                    /* connections, in use and pooled */
	silent_address_t *silent_addresses; /* hash table by address */
	at_httpc_open_t on_open;            /* NULL: none */
	void *open_ctx;
	int callback_depth;      /* nested callbacks of libcurl */
	uint32_t ending_count;   /* transfers whose on_done is running */
	int has_pending_changes; /* transfers to add or remove */
};

/* Watches one socket of libcurl. */
typedef struct socket_watcher {
	at_httpc_t *httpc;
	CURL *easy; /* the transfer that uses it */
	ev_io io;
} socket_watcher_t;

static void transfer_free(at_transfer_t *transfer);
static void transfer_finish(at_transfer_t *transfer, CURLcode code);

/* Returns a hash of the scheme, host and port of a URL. */
static uint64_t
address_hash(const char *url)
{
	const char *host = strstr(url, "://");

	return XXH3_64bits(url,
	    host == NULL ? strlen(url)
			 : 3 + strcspn(host + 3, "/") + (size_t)(host - url));
}

static void
note_silent_address(at_httpc_t *httpc, uint64_t address, uint64_t now_ms)
{
	silent_address_t *silent;

	HASH_FIND(
	    hh, httpc->silent_addresses, &address, sizeof(address), silent);
	if (silent == NULL) {
		silent = calloc(1, sizeof(*silent));
		if (silent == NULL)
			return;
		silent->address = address;
		HASH_ADD(hh, httpc->silent_addresses, address,
		    sizeof(silent->address), silent);
	}
	silent->until_ms = now_ms + SILENT_ADDRESS_MS;
}

/* Also forgets those that are due. */
static int
is_address_silent(at_httpc_t *httpc, uint64_t address)
{
	uint64_t now_ms;
	silent_address_t *silent;
	silent_address_t *next;
	int found = 0;

	if (httpc->silent_addresses == NULL)
		return 0;
	now_ms = at_clock_now_ms();
	HASH_ITER(hh, httpc->silent_addresses, silent, next)
	{
		if (now_ms >= silent->until_ms) {
			HASH_DEL(httpc->silent_addresses, silent);
			free(silent);
		} else if (silent->address == address) {
			found = 1;
		}
	}
	return found;
}

/*
 * libcurl does not allow handles to be added or removed within its callbacks.
 * Transfers that a callback starts or cancels are added or removed here.
 */
static void
apply_pending_changes(at_httpc_t *httpc)
{
	at_transfer_t *transfer;
	at_transfer_t *next;

	if (!httpc->has_pending_changes || httpc->callback_depth)
		return;
	httpc->has_pending_changes = 0;
	for (transfer = httpc->transfers; transfer != NULL; transfer = next) {
		next = transfer->next;
		if (transfer->is_cancelled) {
			transfer_free(transfer);
		} else if (!transfer->is_added) {
			transfer->is_added = 1;
			(void)curl_multi_add_handle(
			    httpc->multi, transfer->easy);
		}
	}
}

static void
process_completed(at_httpc_t *httpc)
{
	CURLMsg *message;
	int left;

	apply_pending_changes(httpc);
	while ((message = curl_multi_info_read(httpc->multi, &left)) != NULL) {
		at_transfer_t *transfer = NULL;
		CURLcode code = message->data.result;

		if (message->msg != CURLMSG_DONE)
			continue;
		(void)curl_easy_getinfo(
		    message->easy_handle, CURLINFO_PRIVATE, &transfer);
		transfer_finish(transfer, code);
	}
	apply_pending_changes(httpc);
}

/*
 * Ends the transfer of a socket whose bytes have led to nothing for too long.
 * Returns non-zero if it has.
 */
static int
end_without_progress(const socket_watcher_t *watcher)
{
	at_transfer_t *transfer = NULL;
	int available = 0;

	(void)curl_easy_getinfo(watcher->easy, CURLINFO_PRIVATE, &transfer);
	if (transfer == NULL)
		return 0;
	if (++transfer->idle_reads <= IDLE_READS_MAX &&
	    transfer->idle_bytes <= IDLE_BYTES_MAX) {
		/* Mostly the read before has led to something. */
		if (transfer->idle_reads > 1 &&
		    ioctl(watcher->io.fd, FIONREAD, &available) == 0)
			transfer->idle_bytes += (uint64_t)available;
		return 0;
	}
	at_log(AT_LOG_WARN, "http", NULL,
	    "response ended; its bytes lead to nothing reads=%u "
	    "available_bytes=%" PRIu64,
	    transfer->idle_reads, transfer->idle_bytes);
	transfer_finish(transfer, CURLE_WEIRD_SERVER_REPLY);
	return 1;
}

static void
on_socket_ready(struct ev_loop *loop, ev_io *io, int events)
{
	socket_watcher_t *watcher = io->data;
	at_httpc_t *httpc = watcher->httpc;
	int mask = 0;
	int running;

	(void)loop;
	if ((events & EV_READ) && end_without_progress(watcher)) {
		apply_pending_changes(httpc);
		return;
	}
	if (events & EV_READ)
		mask |= CURL_CSELECT_IN;
	if (events & EV_WRITE)
		mask |= CURL_CSELECT_OUT;
	(void)curl_multi_socket_action(httpc->multi, io->fd, mask, &running);
	process_completed(httpc);
}

static void
on_multi_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_httpc_t *httpc = timer->data;
	int running;

	(void)loop;
	(void)events;
	(void)curl_multi_socket_action(
	    httpc->multi, CURL_SOCKET_TIMEOUT, 0, &running);
	process_completed(httpc);
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

/* libcurl no longer waits for this socket; it is still open. */
static void
forget_socket(CURL *easy, curl_socket_t fd)
{
	at_transfer_t *transfer = NULL;

	(void)curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
	if (transfer == NULL || transfer->fd != fd)
		return;
	if (transfer->is_released)
		tcp_out_hold(fd);
	transfer->is_released = 0;
	transfer->fd = -1;
}

/* The socket of a transfer is known once libcurl waits for the response. */
static void
note_socket(at_httpc_t *httpc, CURL *easy, curl_socket_t fd)
{
	at_transfer_t *transfer = NULL;

	(void)curl_easy_getinfo(easy, CURLINFO_PRIVATE, &transfer);
	if (transfer == NULL || transfer->send_count == 0 || transfer->fd == fd)
		return;
	transfer->fd = fd;
	transfer->is_released = 0;
	transfer->pending_bytes = 0;
	transfer->progress_ms = at_clock_now_ms();
	if (!ev_is_active(&httpc->unacknowledged_timer))
		ev_timer_again(httpc->loop, &httpc->unacknowledged_timer);
}

/* Returns non-zero if the request has been on its way for too long. */
static int
is_stuck(at_transfer_t *transfer, uint64_t now_ms)
{
	int pending =
	    transfer->headers_received ? 0 : tcp_out_pending(transfer->fd);

	if (pending == 0) {
		transfer->is_released = 1;
		tcp_out_release(transfer->fd);
		return 0;
	}
	if (pending != transfer->pending_bytes)
		transfer->progress_ms = now_ms;
	transfer->pending_bytes = pending;
	return now_ms >= transfer->progress_ms + UNACKNOWLEDGED_MAX_MS;
}

static void
on_unacknowledged_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_httpc_t *httpc = timer->data;
	uint64_t now_ms = at_clock_now_ms();
	at_transfer_t *transfer = httpc->transfers;
	int unacknowledged = 0;

	(void)events;
	while (transfer != NULL) {
		if (transfer->fd < 0 || transfer->is_released ||
		    transfer->is_cancelled) {
			transfer = transfer->next;
		} else if (is_stuck(transfer, now_ms)) {
			note_silent_address(httpc, transfer->address, now_ms);
			transfer_finish(transfer, CURLE_SEND_ERROR);
			/* Its callback may have changed the list. */
			transfer = httpc->transfers;
		} else {
			unacknowledged |= !transfer->is_released;
			transfer = transfer->next;
		}
	}
	if (!unacknowledged)
		ev_timer_stop(loop, timer);
	apply_pending_changes(httpc);
}

static int
socket_function(
    CURL *easy, curl_socket_t fd, int poll_action, void *ctx, void *socket_data)
{
	at_httpc_t *httpc = ctx;
	socket_watcher_t *watcher = socket_data;
	int events = 0;

	if (poll_action == CURL_POLL_REMOVE) {
		forget_socket(easy, fd);
		if (watcher != NULL) {
			ev_io_stop(httpc->loop, &watcher->io);
			free(watcher);
		}
		return 0;
	}
	if (watcher == NULL) {
		watcher = calloc(1, sizeof(*watcher));
		if (watcher == NULL)
			return -1;
		watcher->httpc = httpc;
		ev_io_init(&watcher->io, on_socket_ready, fd, 0);
		watcher->io.data = watcher;
		(void)curl_multi_assign(httpc->multi, fd, watcher);
	}
	watcher->easy = easy;
	note_socket(httpc, easy, fd);
	if (poll_action & CURL_POLL_IN)
		events |= EV_READ;
	if (poll_action & CURL_POLL_OUT)
		events |= EV_WRITE;
	ev_io_stop(httpc->loop, &watcher->io);
	ev_io_set(&watcher->io, fd, events);
	if (events != 0)
		ev_io_start(httpc->loop, &watcher->io);
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
	ev_timer_init(&httpc->timer, on_multi_timer, 0., 0.);
	httpc->timer.data = httpc;
	ev_timer_init(&httpc->unacknowledged_timer, on_unacknowledged_timer, 0.,
	    UNACKNOWLEDGED_CHECK_S);
	httpc->unacknowledged_timer.data = httpc;
	(void)curl_multi_setopt(
	    httpc->multi, CURLMOPT_SOCKETFUNCTION, socket_function);
	(void)curl_multi_setopt(httpc->multi, CURLMOPT_SOCKETDATA, httpc);
	(void)curl_multi_setopt(
	    httpc->multi, CURLMOPT_TIMERFUNCTION, timer_function);
	(void)curl_multi_setopt(httpc->multi, CURLMOPT_TIMERDATA, httpc);
	at_httpc_set_open_max(httpc, SIZE_MAX);
	return httpc;
}

void
at_httpc_set_open_max(at_httpc_t *httpc, size_t connections)
{
	size_t pool = connections < POOL_MAX ? connections : POOL_MAX;

	httpc->open_max = connections;
	(void)curl_multi_setopt(httpc->multi, CURLMOPT_MAXCONNECTS, (long)pool);
}

void
at_httpc_set_memory(at_httpc_t *httpc, at_memory_t *memory)
{
	httpc->memory = memory;
}

int
at_httpc_has_room(const at_httpc_t *httpc)
{
	return httpc->transfer_count <
	       httpc->open_max - httpc->open_max / RESERVED_PART;
}

void
at_httpc_set_open_handler(at_httpc_t *httpc, at_httpc_open_t on_open, void *ctx)
{
	httpc->on_open = on_open;
	httpc->open_ctx = ctx;
}

void
at_httpc_delete(at_httpc_t *httpc)
{
	silent_address_t *silent;
	silent_address_t *next;

	if (httpc == NULL)
		return;
	assert(httpc->callback_depth == 0 && httpc->ending_count == 0);
	while (httpc->transfers != NULL)
		transfer_free(httpc->transfers);
	ev_timer_stop(httpc->loop, &httpc->timer);
	ev_timer_stop(httpc->loop, &httpc->unacknowledged_timer);
	(void)curl_multi_cleanup(httpc->multi);
	HASH_ITER(hh, httpc->silent_addresses, silent, next)
	{
		HASH_DEL(httpc->silent_addresses, silent);
		free(silent);
	}
	free(httpc);
}

static void
timeout_start(at_transfer_t *transfer, uint32_t timeout_ms)
{
	struct ev_loop *loop = transfer->httpc->loop;

	if (timeout_ms == 0) {
		ev_timer_stop(loop, &transfer->timeout);
		return;
	}
	transfer->timeout.repeat = (double)timeout_ms / AT_MS_PER_S;
	ev_timer_again(loop, &transfer->timeout);
}

static int
is_request_sent(at_transfer_t *transfer, uint64_t *sent)
{
	long bytes = 0;

	(void)curl_easy_getinfo(transfer->easy, CURLINFO_REQUEST_SIZE, &bytes);
	*sent = (uint64_t)bytes;
	return bytes > 0 || transfer->send_count > 0;
}

static at_reason_t
transfer_reason(const at_transfer_t *transfer, CURLcode code, int is_sent)
{
	if (code == CURLE_OK)
		return AT_REASON_NONE;
	if (transfer->timeout_reason != AT_REASON_NONE)
		return is_sent ? transfer->timeout_reason
			       : AT_REASON_CONNECT_FAILED;
	if (!is_sent)
		return AT_REASON_CONNECT_FAILED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return AT_REASON_DEADLINE;
	return transfer->headers_received ? AT_REASON_TRUNCATED
					  : AT_REASON_BACKEND_RESET;
}

static void
fill_result(
    at_transfer_t *transfer, CURLcode code, at_transfer_result_t *result)
{
	long status = 0;
	long connects = 0;
	long connect_errno = 0;
	int is_sent = is_request_sent(transfer, &result->sent_bytes);

	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	result->is_complete = code == CURLE_OK;
	result->http_status = transfer->headers_received ? (int)status : 0;
	result->reason = transfer_reason(transfer, code, is_sent);
	result->reused_connection = connects == 0;
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_OS_ERRNO, &connect_errno);
	result->is_connection_refused =
	    code == CURLE_COULDNT_CONNECT && connect_errno == ECONNREFUSED;
	if (transfer->send_count > 1)
		result->resend_count = transfer->send_count - 1;
	if (result->is_complete)
		result->verdict = AT_VERDICT_RAN;
	else if (!is_sent)
		result->verdict = AT_VERDICT_NOT_RUN;
	else
		result->verdict = AT_VERDICT_MAY_HAVE_RUN;
}

/* Takes the transfer from the client and from libcurl. */
static void
transfer_detach(at_transfer_t *transfer)
{
	at_httpc_t *httpc = transfer->httpc;

	ev_timer_stop(httpc->loop, &transfer->timeout);
	httpc->transfer_count--;
	at_memory_sub(httpc->memory, AT_MEMORY_CONNECTIONS, TRANSFER_BYTES);
	if (transfer->prev != NULL)
		transfer->prev->next = transfer->next;
	else
		httpc->transfers = transfer->next;
	if (transfer->next != NULL)
		transfer->next->prev = transfer->prev;
	(void)curl_multi_remove_handle(httpc->multi, transfer->easy);
	curl_easy_cleanup(transfer->easy);
	transfer->easy = NULL;
	curl_slist_free_all(transfer->headers);
	free(transfer->body);
	at_shared_body_unref(transfer->shared_body);
}

static void
transfer_free(at_transfer_t *transfer)
{
	transfer_detach(transfer);
	free(transfer);
}

static void
transfer_finish(at_transfer_t *transfer, CURLcode code)
{
	at_transfer_result_t result;

	memset(&result, 0, sizeof(result));
	/* libcurl takes a head that the end of the connection cuts for whole.
	 */
	if (code == CURLE_OK && !transfer->headers_received &&
	    !transfer->connect_only)
		code = CURLE_RECV_ERROR;
	fill_result(transfer, code, &result);
	transfer_detach(transfer);
	transfer->is_ended = 1;
	if (!transfer->is_cancelled) {
		transfer->httpc->ending_count++;
		transfer->events.on_done(transfer->events.ctx, &result);
		transfer->httpc->ending_count--;
	}
	free(transfer);
}

static void
on_timeout(struct ev_loop *loop, ev_timer *timer, int events)
{
	at_transfer_t *transfer = timer->data;

	(void)loop;
	(void)events;
	transfer->timeout_reason = transfer->headers_received
				       ? AT_REASON_IDLE_TIMEOUT
				       : AT_REASON_FIRST_BYTE_TIMEOUT;
	transfer_finish(transfer, CURLE_OPERATION_TIMEDOUT);
}

/* Calls on_headers once, for the final response. */
static void
receive_headers(at_transfer_t *transfer)
{
	long status = 0;

	if (transfer->headers_received)
		return;
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < 200)
		return;
	transfer->headers_received = 1;
	timeout_start(transfer, transfer->idle_ms);
	if (transfer->events.on_headers != NULL)
		transfer->events.on_headers(
		    transfer->events.ctx, transfer, (int)status);
}

/* libcurl calls this each time it is about to send the request. */
static int
sending_function(
    void *ctx, char *remote_ip, char *local_ip, int remote_port, int local_port)
{
	at_transfer_t *transfer = ctx;

	(void)remote_ip;
	(void)local_ip;
	(void)remote_port;
	(void)local_port;
	if (transfer->is_cancelled)
		return CURL_PREREQFUNC_ABORT;
	transfer->send_count++;
	if (transfer->send_count > 1 && transfer->forbid_resend)
		return CURL_PREREQFUNC_ABORT;
	if (transfer->send_count == 1 && transfer->on_sending != NULL) {
		transfer->httpc->callback_depth++;
		transfer->on_sending(transfer->events.ctx);
		transfer->httpc->callback_depth--;
	}
	return transfer->is_cancelled ? CURL_PREREQFUNC_ABORT
				      : CURL_PREREQFUNC_OK;
}

/* Returns non-zero if the line makes the response one that is not passed on. */
static int
is_line_rejected(at_transfer_t *transfer, const char *line, size_t len)
{
	const char *fault;
	const char *url = NULL;

	/* Trailers are not used. */
	if (transfer->headers_received)
		return 0;
	fault = http_head_add_line(&transfer->head, line, len);
	if (fault == NULL)
		return 0;
	(void)curl_easy_getinfo(transfer->easy, CURLINFO_EFFECTIVE_URL, &url);
	at_log(AT_LOG_WARN, "http", NULL, "response rejected; %s url=%s", fault,
	    url == NULL ? "-" : url);
	return 1;
}

static size_t
header_function(char *data, size_t size, size_t count, void *ctx)
{
	at_transfer_t *transfer = ctx;
	size_t len = size * count;

	transfer->idle_reads = 0;
	transfer->idle_bytes = 0;
	transfer->head_bytes += len;
	if (transfer->is_cancelled ||
	    transfer->head_bytes > AT_TRANSFER_HEAD_MAX_BYTES ||
	    ++transfer->head_lines > AT_TRANSFER_HEAD_LINES_MAX ||
	    is_line_rejected(transfer, data, len))
		return 0;
	/* An empty line ends the headers. */
	if (len <= 2 && (data[0] == '\r' || data[0] == '\n')) {
		memset(&transfer->head, 0, sizeof(transfer->head));
		transfer->httpc->callback_depth++;
		receive_headers(transfer);
		transfer->httpc->callback_depth--;
		if (transfer->is_cancelled)
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

	transfer->idle_reads = 0;
	transfer->idle_bytes = 0;
	transfer->body_bytes += len;
	if (transfer->is_cancelled ||
	    (transfer->body_max_bytes != 0 &&
		transfer->body_bytes > transfer->body_max_bytes))
		return CURL_WRITEFUNC_ERROR;
	timeout_start(transfer, transfer->idle_ms);
	if (transfer->events.on_data == NULL)
		return len;
	transfer->httpc->callback_depth++;
	pause = transfer->events.on_data(transfer->events.ctx, data, len);
	transfer->httpc->callback_depth--;
	if (transfer->is_cancelled)
		return CURL_WRITEFUNC_ERROR;
	if (pause) {
		/* The chunk is consumed. A paused transfer has no timeout. */
		timeout_start(transfer, 0);
		transfer->is_paused = 1;
		(void)curl_easy_pause(transfer->easy, CURLPAUSE_RECV);
	}
	return len;
}

static curl_socket_t
opensocket_function(
    void *ctx, curlsocktype purpose, struct curl_sockaddr *address)
{
	const at_httpc_t *httpc = ctx;
	int fd = socket(address->family, address->socktype | SOCK_CLOEXEC,
	    address->protocol);

	(void)purpose;
	if (fd >= 0 && address->family == AF_INET && httpc->on_open != NULL)
		httpc->on_open(httpc->open_ctx, fd,
		    (struct sockaddr_in *)(void *)&address->addr);
	return fd < 0 ? CURL_SOCKET_BAD : fd;
}

static int
closesocket_function(void *ctx, curl_socket_t fd)
{
	(void)ctx;
	return tcp_out_close(fd);
}

static int
sockopt_function(void *ctx, curl_socket_t fd, curlsocktype purpose)
{
	(void)ctx;
	(void)purpose;
	tcp_out_init(fd);
	return CURL_SOCKOPT_OK;
}

static int
set_options(at_transfer_t *transfer, const at_transfer_spec_t *spec)
{
	CURL *easy = transfer->easy;
	const char *const *header;
	int is_shared = spec->shared_body != NULL && spec->shared_body->len > 0;
	int has_body = is_shared || spec->body_len > 0 ||
		       strcmp(spec->method, "POST") == 0;

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
	(void)curl_easy_setopt(easy, CURLOPT_BUFFERSIZE, RECEIVE_BUFFER_BYTES);
	(void)curl_easy_setopt(
	    easy, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
	(void)curl_easy_setopt(
	    easy, CURLOPT_MAXLIFETIME_CONN, CONNECTION_AGE_MAX_S);
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
	(void)curl_easy_setopt(
	    easy, CURLOPT_OPENSOCKETFUNCTION, opensocket_function);
	(void)curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, transfer->httpc);
	(void)curl_easy_setopt(
	    easy, CURLOPT_CLOSESOCKETFUNCTION, closesocket_function);
	if (spec->connect_only)
		(void)curl_easy_setopt(easy, CURLOPT_CONNECT_ONLY, 1L);
	if (spec->connect_ms != 0)
		(void)curl_easy_setopt(
		    easy, CURLOPT_CONNECTTIMEOUT_MS, (long)spec->connect_ms);
	if (spec->total_ms != 0)
		(void)curl_easy_setopt(
		    easy, CURLOPT_TIMEOUT_MS, (long)spec->total_ms);
	if (is_address_silent(transfer->httpc, transfer->address))
		(void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
	if (spec->new_connection) {
		(void)curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
		(void)curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
	}
	if (is_shared) {
		transfer->shared_body = at_shared_body_ref(spec->shared_body);
		(void)curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
		    (curl_off_t)spec->shared_body->len);
		(void)curl_easy_setopt(
		    easy, CURLOPT_POSTFIELDS, spec->shared_body->data);
	} else if (has_body) {
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
	/* A response to HEAD has no body, whatever its Content-Length. */
	if (strcmp(spec->method, "HEAD") == 0)
		(void)curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
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
	transfer->body_max_bytes = spec->body_max_bytes;
	transfer->forbid_resend = spec->forbid_resend;
	transfer->connect_only = spec->connect_only;
	transfer->fd = -1;
	transfer->address = address_hash(spec->url);
	ev_timer_init(&transfer->timeout, on_timeout, 0., 0.);
	transfer->timeout.data = transfer;
	transfer->easy = curl_easy_init();
	if (transfer->easy == NULL || set_options(transfer, spec) != 0) {
		curl_easy_cleanup(transfer->easy);
		curl_slist_free_all(transfer->headers);
		free(transfer->body);
		at_shared_body_unref(transfer->shared_body);
		free(transfer);
		return NULL;
	}
	transfer->next = httpc->transfers;
	if (transfer->next != NULL)
		transfer->next->prev = transfer;
	httpc->transfers = transfer;
	httpc->transfer_count++;
	at_memory_add(httpc->memory, AT_MEMORY_CONNECTIONS, TRANSFER_BYTES);
	timeout_start(transfer, spec->first_byte_ms);
	httpc->has_pending_changes = 1;
	apply_pending_changes(httpc);
	return transfer;
}

void
at_transfer_set_sending_handler(
    at_transfer_t *transfer, void (*on_sending)(void *ctx))
{
	transfer->on_sending = on_sending;
}

int
at_transfer_is_on_new_connection(const at_transfer_t *transfer)
{
	long connects = 0;

	assert(!transfer->is_ended);
	(void)curl_easy_getinfo(
	    transfer->easy, CURLINFO_NUM_CONNECTS, &connects);
	return connects > 0;
}

void
at_transfer_cancel(at_transfer_t *transfer)
{
	/* Its owner is in on_done, which is not called twice. */
	if (transfer->is_ended)
		return;
	transfer->is_cancelled = 1;
	ev_timer_stop(transfer->httpc->loop, &transfer->timeout);
	transfer->httpc->has_pending_changes = 1;
	apply_pending_changes(transfer->httpc);
}

void
at_transfer_resume(at_transfer_t *transfer)
{
	if (transfer->is_ended)
		return;
	transfer->is_paused = 0;
	timeout_start(transfer, transfer->idle_ms);
	(void)curl_easy_pause(transfer->easy, CURLPAUSE_CONT);
}

uint64_t
at_httpc_unread_bytes(const at_httpc_t *httpc)
{
	const at_transfer_t *transfer;
	uint64_t sum = 0;

	for (transfer = httpc->transfers; transfer != NULL;
	     transfer = transfer->next) {
		curl_socket_t fd = CURL_SOCKET_BAD;
		int available = 0;

		if (transfer->is_paused &&
		    curl_easy_getinfo(transfer->easy, CURLINFO_ACTIVESOCKET,
			&fd) == CURLE_OK &&
		    ioctl(fd, FIONREAD, &available) == 0)
			sum += (uint64_t)available;
	}
	return sum;
}

const char *
at_transfer_header(const at_transfer_t *transfer, const char *name)
{
	struct curl_header *header = NULL;

	assert(!transfer->is_ended);
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

	assert(!transfer->is_ended);
	while ((header = curl_easy_nextheader(
		    transfer->easy, CURLH_HEADER, -1, header)) != NULL)
		visit(ctx, header->name, header->value);
}
