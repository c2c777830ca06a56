/*
 * httpd.h - HTTP server for callers and operators: libmicrohttpd, driven by
 * libev on one thread.
 *
 * The handler is called once for each request, with the complete body. The
 * response is either sent by at_httpd_reply(), or streamed by one
 * at_httpd_stream_begin(), any number of at_httpd_stream_write() and one
 * at_httpd_stream_end(). The request object is valid until its end handler
 * returns. After a caller has closed its connection, writes have no effect.
 */
#ifndef ALMONDTHREAD_IO_HTTPD_H
#define ALMONDTHREAD_IO_HTTPD_H

#include <ev.h>

#include "almondthread/status.h"
#include "almondthread/units.h"
#include "almondthread/verdict.h"
#include "io/shared_body.h"

typedef struct at_httpd at_httpd_t;
typedef struct at_httpd_request at_httpd_request_t;

#define AT_HTTPD_ID_DIGITS 32u /* hexadecimal digits of a request's id */

/* Bytes buffered for one stream at which its producer should pause. */
#define AT_HTTPD_HIGH_WATER_BYTES (16u * 1024)
/* Bytes below which the drain handler of a paused producer is called. */
#define AT_HTTPD_LOW_WATER_BYTES (4u * 1024)

/* Why a request is rejected. */
typedef enum at_httpd_fault {
	AT_HTTPD_NO_FAULT,
	AT_HTTPD_HEADER_TOO_LARGE,
	AT_HTTPD_BODY_TOO_LARGE,
	AT_HTTPD_NO_MEMORY, /* for its body or itself; at_httpd_set_memory() */
	AT_HTTPD_MALFORMED  /* syntax or framing, see at_httpd_fault_text() */
} at_httpd_fault_t;

/*
 * Called once for each request, when its body is complete. For a request
 * with a fault, the fault handler is called instead, as soon as the fault is
 * found. If the body does not arrive in time, the connection is closed without
 * a response and the body timeout handler is called.
 */
typedef void (*at_httpd_handler_t)(void *ctx, at_httpd_request_t *request);

/*
 * Called once when the request ends. caller_closed is non-zero if the
 * connection ended before the complete response was passed to the kernel. The
 * request is freed after the call.
 */
typedef void (*at_httpd_end_t)(void *ctx, int caller_closed);

/* Called when the caller is found to have closed, before the end handler. */
typedef void (*at_httpd_closed_t)(void *ctx);

/* Called when a paused stream falls below AT_HTTPD_LOW_WATER_BYTES. */
typedef void (*at_httpd_drain_t)(void *ctx);

/* A response header. */
typedef struct at_header {
	const char *name;
	const char *value;
} at_header_t;

/* at_httpd_new() returns a server on loop, or NULL if out of memory. */
at_httpd_t *at_httpd_new(struct ev_loop *loop);
/* at_httpd_set_handler() is called before at_httpd_init(). */
void at_httpd_set_handler(
    at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx);
/*
 * Without a fault handler, the response is 400, 413 or 431 with an empty body.
 * The response to a request with a fault ends the connection.
 */
void at_httpd_set_fault_handler(
    at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx);
/* The handler is called for each connection closed by the body timeout. */
void at_httpd_set_body_timeout_handler(
    at_httpd_t *httpd, void (*handler)(void *ctx), void *ctx);
/*
 * at_httpd_set_body_timeout() limits the time from the request line to the end
 * of the body.
 */
void at_httpd_set_body_timeout(at_httpd_t *httpd, uint32_t timeout_ms);
/*
 * at_httpd_set_backlog() sets how many new connections may wait to be accepted;
 * as many as the system allows without it. To be called before at_httpd_init().
 */
void at_httpd_set_backlog(at_httpd_t *httpd, int connections);
/*
 * at_httpd_set_waiting_buffer() sets how many bytes the kernel may receive on
 * each of these; 0 and more than on accepted connections: as many as on them.
 * With less, the window keeps the scale of the smaller buffer when it grows, at
 * least 64 KB. To be called before at_httpd_init().
 */
void at_httpd_set_waiting_buffer(at_httpd_t *httpd, size_t receive_bytes);
/*
 * at_httpd_set_connections_max() limits the connections, 16,384 without it.
 * From three quarters on, responses close theirs, and the longest idle are
 * closed. Further ones wait to be accepted. To be called before
 * at_httpd_init().
 */
void at_httpd_set_connections_max(at_httpd_t *httpd, size_t connections);
/*
 * at_httpd_set_give_way() sets for how long a connection may wait for its
 * caller while hardly any more may be accepted, 1,000 ms without it: then those
 * that wait the longest are closed, first those without a request, then those
 * whose request does not arrive or whose response is not read. A connection
 * whose request runs does not give way.
 */
void at_httpd_set_give_way(at_httpd_t *httpd, uint32_t waiting_ms);
/*
 * at_httpd_set_header_timeout() limits the time from the request line to the
 * end of the headers, 30,000 ms without it; 0: none. The connection is closed.
 */
void at_httpd_set_header_timeout(at_httpd_t *httpd, uint32_t timeout_ms);
/* How many connections this server has closed. */
typedef struct at_httpd_closed_counts {
	uint64_t gave_way;     /* see at_httpd_set_give_way() */
	uint64_t late_headers; /* see at_httpd_set_header_timeout() */
} at_httpd_closed_counts_t;
/* at_httpd_add_closed() adds those of httpd to counts. */
void at_httpd_add_closed(
    const at_httpd_t *httpd, at_httpd_closed_counts_t *counts);
/* at_httpd_set_max_body() limits the body; a larger one is a fault. */
void at_httpd_set_max_body(at_httpd_t *httpd, size_t bytes);
/*
 * at_httpd_set_closed_check() sets the time until a connection that its caller
 * has closed is noticed; 250 ms without it. To be called before
 * at_httpd_init().
 */
void at_httpd_set_closed_check(at_httpd_t *httpd, uint32_t interval_ms);
/*
 * at_httpd_set_memory() has an account decide on bodies and on responses that
 * callers do not read; it outlives the server. A body that is refused is read
 * to its end and dropped, so that the response arrives. A stream is read on
 * beyond AT_HTTPD_HIGH_WATER_BYTES while the account has room. To be called
 * before at_httpd_init(), as at_httpd_set_socket_buffers(), which sets how
 * many bytes the kernel may receive in advance on each connection, and how many
 * it may hold that the caller has not read; 0: as the system has it.
 */
void at_httpd_set_memory(at_httpd_t *httpd, at_memory_t *memory);
void at_httpd_set_socket_buffers(
    at_httpd_t *httpd, size_t receive_bytes, size_t send_bytes);
/*
 * at_httpd_set_read_ahead() sets whether streams are read on while the account
 * has room, as stated above; without the call they are.
 */
void at_httpd_set_read_ahead(at_httpd_t *httpd, int may_read_ahead);
/*
 * at_httpd_set_request_bytes() sets what the account is charged for each
 * request that is handled, beside its body and twice its headers; 0: a request
 * is not charged. One for which there is no room is a fault.
 */
void at_httpd_set_request_bytes(at_httpd_t *httpd, size_t bytes);
/* Whom a request belongs to (0: its address), and how urgent it is. */
typedef struct at_httpd_class {
	at_memory_owner_t owner;
	uint32_t priority;
} at_httpd_class_t;
/*
 * classify is called for requests with large bodies, with the headers and
 * before the body; class is zeroed.
 */
void at_httpd_set_classifier(at_httpd_t *httpd,
    void (*classify)(
	void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class),
    void *ctx);
/*
 * at_httpd_relieve() resumes what was suspended for want of memory, and closes
 * connections if the account exceeds its limit. To be called several times a
 * second, after at_memory_set_resident().
 */
void at_httpd_relieve(at_httpd_t *httpd);
/*
 * at_httpd_kernel_bytes() sums what the kernel holds for all connections: bytes
 * that this process has not read, and bytes that callers have not.
 */
uint64_t at_httpd_kernel_bytes(const at_httpd_t *httpd);
/*
 * at_httpd_init() listens on "ip:port"; with port 0, the kernel picks one.
 * Returns AT_OK, or AT_INVALID or AT_FAILED with a message in status.
 */
at_code_t at_httpd_init(
    at_httpd_t *httpd, const char *address, at_status_t *status);
/* at_httpd_port() returns the port in use. */
uint16_t at_httpd_port(const at_httpd_t *httpd);
/*
 * at_httpd_stop_accepting() stops listening. Open requests continue, and each
 * connection is closed after its response.
 */
void at_httpd_stop_accepting(at_httpd_t *httpd);
/* at_httpd_close_connections() closes each connection after its response. */
void at_httpd_close_connections(at_httpd_t *httpd);
/*
 * at_httpd_close_idle() closes connections without a request after at most
 * one second without data.
 */
void at_httpd_close_idle(at_httpd_t *httpd);
/* at_httpd_open_requests() returns the number of requests in progress. */
size_t at_httpd_open_requests(const at_httpd_t *httpd);
/* at_httpd_buffered_bytes() returns the bytes buffered by all streams. */
size_t at_httpd_buffered_bytes(const at_httpd_t *httpd);
/*
 * at_httpd_delete() aborts the open requests, calls their end handlers and
 * closes all connections. httpd may be NULL.
 */
void at_httpd_delete(at_httpd_t *httpd);

/*
 * Texts of a request are valid until its end handler returns. at_httpd_id()
 * returns a random id of AT_HTTPD_ID_DIGITS digits.
 */
const char *at_httpd_id(const at_httpd_request_t *request);
at_httpd_fault_t at_httpd_fault(const at_httpd_request_t *request);
/*
 * at_httpd_fault_text() returns what is wrong with a malformed request, else
 * ""; static. at_httpd_fault_reason() returns the reason of a fault.
 */
const char *at_httpd_fault_text(const at_httpd_request_t *request);
at_reason_t at_httpd_fault_reason(const at_httpd_request_t *request);
const char *at_httpd_method(const at_httpd_request_t *request);
/* The percent-decoded path, without the query. */
const char *at_httpd_path(const at_httpd_request_t *request);
/* The path and query as sent by the caller. */
const char *at_httpd_target(const at_httpd_request_t *request);
/* The value of a header or of a query argument, or NULL. */
const char *at_httpd_header(
    const at_httpd_request_t *request, const char *name);
const char *at_httpd_argument(
    const at_httpd_request_t *request, const char *name);
/* at_httpd_each_header() calls visit for each header of the request. */
void at_httpd_each_header(const at_httpd_request_t *request,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx);
/* The NUL-terminated body; *len is set to its length in bytes. */
const char *at_httpd_body(const at_httpd_request_t *request, size_t *len);
/*
 * at_httpd_shared_body() returns the body, or NULL if it is empty. With a
 * reference of their own, others may use it after the request has ended.
 */
at_shared_body_t *at_httpd_shared_body(const at_httpd_request_t *request);
/* Time after which a request with AT_HTTPD_NO_MEMORY may be repeated. */
uint32_t at_httpd_retry_after_ms(const at_httpd_request_t *request);

/* Sets the end handler; ctx is also passed to the two handlers below. */
void at_httpd_set_end_handler(
    at_httpd_request_t *request, at_httpd_end_t handler, void *ctx);
/*
 * Sets a function that is called after the end handler, with the HTTP status
 * of the response, or 0 without a response.
 */
void at_httpd_set_finalizer(at_httpd_request_t *request,
    void (*finalizer)(void *ctx, int status), void *ctx);
void at_httpd_set_caller_closed_handler(
    at_httpd_request_t *request, at_httpd_closed_t handler);
/*
 * at_httpd_is_caller_gone() asks the kernel whether the caller has closed its
 * connection; the handler may be called later, if there is much to do.
 */
int at_httpd_is_caller_gone(const at_httpd_request_t *request);
void at_httpd_set_drain_handler(
    at_httpd_request_t *request, at_httpd_drain_t handler);

/*
 * at_httpd_reply() sends a complete response. headers ends with a NULL name,
 * or is NULL. The body is copied.
 */
void at_httpd_reply(at_httpd_request_t *request, int status,
    const at_header_t *headers, const void *body, size_t len);
/*
 * at_httpd_reply_owned() does the same with a body that is freed once it was
 * sent; it may be NULL.
 */
void at_httpd_reply_owned(at_httpd_request_t *request, int status,
    const at_header_t *headers, char *body, size_t len);
/*
 * at_httpd_claim_response() asks for room to keep more of a response to the
 * request. Returns 0, or -1 if there is none.
 */
int at_httpd_claim_response(at_httpd_request_t *request, size_t bytes);
/* at_httpd_stream_begin() begins a streamed response. */
void at_httpd_stream_begin(
    at_httpd_request_t *request, int status, const at_header_t *headers);
/*
 * at_httpd_stream_write() copies bytes to the buffer. Returns non-zero if the
 * producer should pause until the drain handler is called.
 */
int at_httpd_stream_write(
    at_httpd_request_t *request, const void *data, size_t len);
/* at_httpd_stream_end() ends the response after the buffered bytes. */
void at_httpd_stream_end(at_httpd_request_t *request);
/*
 * at_httpd_stream_fail() closes the connection after the buffered bytes have
 * been sent, so that the caller sees an incomplete response.
 */
void at_httpd_stream_fail(at_httpd_request_t *request);
/* at_httpd_stream_abort() closes the connection at once. */
void at_httpd_stream_abort(at_httpd_request_t *request);

#endif
