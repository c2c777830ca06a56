/*
 * httpd.h - HTTP towards callers and operators: libmicrohttpd driven by
 * libev on one thread.
 *
 * A request reaches the handler once, with its whole body. It is answered
 * either with at_httpd_reply() or as a stream: at_httpd_stream_begin(), any
 * number of at_httpd_stream_write(), at_httpd_stream_end(). The request
 * object stays valid until the end callback; after a caller has gone, writes
 * are accepted and dropped.
 */
#ifndef ALMONDTHREAD_IO_HTTPD_H
#define ALMONDTHREAD_IO_HTTPD_H

#include <ev.h>

#include "almondthread/status.h"
#include "almondthread/units.h"

typedef struct at_httpd at_httpd_t;
typedef struct at_httpd_request at_httpd_request_t;

#define AT_HTTPD_ID_DIGITS 32u /* hexadecimal, of a request's id */

/* Bytes buffered for one stream before its producer should pause. */
#define AT_HTTPD_HIGH_WATER_BYTES (16u * 1024)
/* Bytes under which a paused producer is called again. */
#define AT_HTTPD_LOW_WATER_BYTES (4u * 1024)

/* Why a request cannot be handled. */
typedef enum at_httpd_fault {
	AT_HTTPD_NO_FAULT,
	AT_HTTPD_HEADER_TOO_LARGE,
	AT_HTTPD_BODY_TOO_LARGE
} at_httpd_fault_t;

/*
 * Called once for each request, when its body is whole; the handler of
 * faults is called instead as soon as a request has one. A body that does
 * not arrive in time has no answer: its connection is closed and the slow
 * callback runs.
 */
typedef void (*at_httpd_handler_t)(void *ctx, at_httpd_request_t *request);

/*
 * Called once when the request is over: gone is non-zero when the caller
 * closed before the whole answer was handed to the system. The request is
 * freed when it returns.
 */
typedef void (*at_httpd_end_t)(void *ctx, int caller_closed);

/* Called as soon as the caller is seen to be gone, before the end. */
typedef void (*at_httpd_closed_t)(void *ctx);

/* Called when a stream that was over the high mark falls under the low. */
typedef void (*at_httpd_drain_t)(void *ctx);

/* A header of an answer. */
typedef struct at_header {
	const char *name;
	const char *value;
} at_header_t;

at_httpd_t *at_httpd_new(struct ev_loop *loop);
void at_httpd_set_handler(
    at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx);
/* Without a handler of faults they are answered with an empty body. */
void at_httpd_set_fault_handler(
    at_httpd_t *httpd, at_httpd_handler_t handler, void *ctx);
/* Called for each connection closed because its body came too slowly. */
void at_httpd_set_body_timeout_handler(
    at_httpd_t *httpd, void (*handler)(void *ctx), void *ctx);
/* Longest wait for a body, in ms. */
void at_httpd_set_body_timeout(at_httpd_t *httpd, uint32_t timeout_ms);
/* Longest body taken, in bytes; a longer one is a fault. */
void at_httpd_set_max_body(at_httpd_t *httpd, size_t bytes);
/* at_httpd_init() listens on "ip:port". Port 0 draws a free one. */
at_code_t at_httpd_init(
    at_httpd_t *httpd, const char *address, at_status_t *status);
/* at_httpd_port() returns the port in use. */
uint16_t at_httpd_port(const at_httpd_t *httpd);
/* at_httpd_stop_accepting() stops accepting; open requests go on. */
void at_httpd_stop_accepting(at_httpd_t *httpd);
/* at_httpd_close_connections() ends each connection after its answer. */
void at_httpd_close_connections(at_httpd_t *httpd);
/*
 * at_httpd_close_idle() closes connections that carry no request, after a
 * second without bytes at most.
 */
void at_httpd_close_idle(at_httpd_t *httpd);
/* at_httpd_open_requests() counts requests that have not ended. */
size_t at_httpd_open_requests(const at_httpd_t *httpd);
/* at_httpd_buffered_bytes() sums the bytes of streams not yet handed over. */
size_t at_httpd_buffered_bytes(const at_httpd_t *httpd);
/*
 * at_httpd_delete() aborts the open requests, calls their end callbacks and
 * closes every connection. NULL is permitted.
 */
void at_httpd_delete(at_httpd_t *httpd);

/* at_httpd_id() returns a random identifier of AT_HTTPD_ID_DIGITS digits. */
const char *at_httpd_id(const at_httpd_request_t *request);
at_httpd_fault_t at_httpd_fault(const at_httpd_request_t *request);
const char *at_httpd_method(const at_httpd_request_t *request);
/* The path without the query, decoded. */
const char *at_httpd_path(const at_httpd_request_t *request);
/* Path and query as the caller sent them. */
const char *at_httpd_target(const at_httpd_request_t *request);
/* A header or query argument, or NULL. */
const char *at_httpd_header(
    const at_httpd_request_t *request, const char *name);
const char *at_httpd_argument(
    const at_httpd_request_t *request, const char *name);
/* Calls visit with each header of the request. */
void at_httpd_each_header(const at_httpd_request_t *request,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx);
/* The body, NUL-terminated; *len is its length in bytes. */
const char *at_httpd_body(const at_httpd_request_t *request, size_t *len);

/* Callbacks of a request that is not answered at once. */
void at_httpd_set_end_handler(
    at_httpd_request_t *request, at_httpd_end_t handler, void *ctx);
/* Called last, with the status of the answer, or 0 without one. */
void at_httpd_set_finalizer(at_httpd_request_t *request,
    void (*finalizer)(void *ctx, int status), void *ctx);
void at_httpd_set_caller_closed_handler(
    at_httpd_request_t *request, at_httpd_closed_t handler);
void at_httpd_set_drain_handler(
    at_httpd_request_t *request, at_httpd_drain_t handler);

/* at_httpd_reply() answers whole; headers ends with a NULL name. */
void at_httpd_reply(at_httpd_request_t *request, int status,
    const at_header_t *headers, const void *body, size_t len);
void at_httpd_stream_begin(
    at_httpd_request_t *request, int status, const at_header_t *headers);
/*
 * at_httpd_stream_write() queues bytes. Returns non-zero when the producer
 * should pause until the drain callback.
 */
int at_httpd_stream_write(
    at_httpd_request_t *request, const void *data, size_t len);
void at_httpd_stream_end(at_httpd_request_t *request);
/*
 * at_httpd_stream_fail() closes the connection without a proper end after
 * what was queued has been handed over.
 */
void at_httpd_stream_fail(at_httpd_request_t *request);
/* at_httpd_stream_abort() closes the connection without a proper end. */
void at_httpd_stream_abort(at_httpd_request_t *request);

#endif
