/*
 * httpd_private.h - declarations that the source files of httpd share.
 */
#ifndef ALMONDTHREAD_IO_HTTPD_PRIVATE_H
#define ALMONDTHREAD_IO_HTTPD_PRIVATE_H

#include <poll.h>
#include <sys/queue.h>

#include <microhttpd.h>

#include "io/httpd.h"

typedef enum request_state {
	REQUEST_READING,
	REQUEST_HANDLED,   /* the handler was called; no response yet */
	REQUEST_RESPONDED, /* the response is complete */
	REQUEST_STREAMING, /* the producer still writes the body */
	REQUEST_ENDING,    /* the rest of the body is buffered */
	REQUEST_FAILING,   /* closed after the buffered bytes are sent */
	REQUEST_ABORTED
} request_state_t;

struct at_httpd_request {
	at_httpd_t *httpd;
	struct MHD_Connection *connection;
	at_httpd_request_t *next;
	at_httpd_request_t *prev;
	char *path;   /* percent-decoded, without the query */
	char *target; /* path and query as sent by the caller */
	char *method;
	/* In libmicrohttpd's buffer; the target's text is decoded later. */
	const char *raw_method;
	const char *raw_target;
	unsigned long long content_len; /* Content-Length, 0 without one */
	int has_headers;                /* on_access() has seen the headers */
	int is_heading; /* counted by heading_count until it has them */
	char id[AT_HTTPD_ID_DIGITS + 1];
	at_shared_body_t *body; /* NULL: empty, or dropped */
	at_httpd_fault_t fault;
	const char *fault_text; /* of AT_HTTPD_MALFORMED, else NULL; static */
	double started_at;      /* seconds, on the loop's clock */
	/* When AT_MEMORY_PROGRESS_BYTES of body or response went on. */
	double progressed_at;
	size_t progress_bytes; /* since then */
	double paused_at;      /* reading of the body, for want of memory */
	int is_body_paused;
	size_t header_bytes;  /* names and values */
	size_t charged_bytes; /* for the request itself, once it is handled */
	int is_classified;
	uint32_t priority;       /* once classified */
	uint32_t retry_after_ms; /* of AT_HTTPD_NO_MEMORY */
	request_state_t state;
	int is_suspended;
	int caller_closed;
	int is_paused; /* the producer should pause */
	struct MHD_Response *response;
	int status;
	char *out; /* bytes that libmicrohttpd has not read */
	size_t out_start;
	size_t out_end;
	size_t out_size;
	at_httpd_end_t on_end;
	void (*finalizer)(void *ctx, int status);
	void *finalizer_ctx;
	at_httpd_closed_t on_caller_closed;
	at_httpd_drain_t on_drain;
	void *ctx;
};

/* A connection of a caller. */
typedef struct connection {
	struct MHD_Connection *handle;
	/* From the request line to the end of the response, else NULL. */
	at_httpd_request_t *request;
	int was_used;      /* it has had a request */
	double idle_since; /* seconds, on the loop's clock */
	int is_expiring;   /* it is closed after a second without data */
	int is_closed;     /* its socket was shut down */
	/* Of a response that has ended: what its caller had not received then.
	 */
	size_t unsent_bytes;
	double unsent_at; /* 0: not looked at since */
	TAILQ_ENTRY(connection) all;
	TAILQ_ENTRY(connection) idle; /* unless it has a request */
} connection_t;

TAILQ_HEAD(connection_list, connection);

struct at_httpd {
	struct connection_list connections;
	struct connection_list idle; /* the longest idle first */
	size_t connection_count;
	size_t connections_max;
	size_t expiring_count; /* of those that are idle */
	size_t closing_count;  /* that were shut down and still exist */
	uint32_t give_way_ms;  /* see at_httpd_set_give_way() */
	double next_search_at; /* for connections that give way */
	uint64_t gave_way_total;
	uint64_t late_headers_total;
	struct ev_loop *loop;
	struct MHD_Daemon *daemon;
	at_httpd_handler_t handler;
	void *handler_ctx;
	at_httpd_handler_t fault_handler;
	void *fault_ctx;
	at_memory_t *memory;         /* NULL: no account */
	size_t receive_buffer_bytes; /* 0: as the kernel has it */
	size_t send_buffer_bytes;    /* likewise */
	size_t waiting_buffer_bytes; /* see at_httpd_set_waiting_buffer() */
	int may_read_ahead;          /* see at_httpd_set_read_ahead() */
	size_t request_bytes;        /* see at_httpd_set_request_bytes() */
	void (*classify)(void *ctx, const at_httpd_request_t *request,
	    at_httpd_class_t *class);
	void *classify_ctx;
	size_t body_max_bytes;
	uint32_t header_timeout_ms;
	uint32_t body_timeout_ms;
	uint32_t closed_check_ms; /* between polls of suspended callers */
	void (*on_body_timeout)(void *ctx);
	void *body_timeout_ctx;
	int listen_fd;
	int backlog;
	uint16_t port;
	int is_quiescing;
	int is_aborting;     /* the server is being deleted */
	int is_closing;      /* responses close their connection */
	int is_closing_idle; /* at_httpd_close_idle() was called */
	int is_run_pending;
	ev_io readable;
	ev_timer timeout;
	ev_timer closed_check;
	ev_prepare prepare;
	size_t heading_count; /* requests whose headers are incomplete */
	at_httpd_request_t *requests;
	size_t request_count;
	struct pollfd *poll_fds;
	at_httpd_request_t **poll_requests; /* request of each poll_fds entry */
	size_t poll_size;
};

/* libmicrohttpd neither reads nor writes a suspended connection. */
void at_httpd_suspend(at_httpd_request_t *request);
/* libmicrohttpd handles a resumed connection in its next run. */
void at_httpd_resume(at_httpd_request_t *request);

/*
 * httpd_claim_body() asks for room for size bytes of a body. After
 * AT_MEMORY_REFUSE the request has the fault AT_HTTPD_NO_MEMORY and no body;
 * AT_MEMORY_PAUSE is returned with may_pause only.
 */
at_memory_verdict_t httpd_claim_body(
    at_httpd_request_t *request, size_t size, int may_pause);
/* httpd_is_short() returns non-zero while requests are refused. */
int httpd_is_short(const at_httpd_t *httpd);
/* httpd_widen_buffer() is called for each connection that is accepted. */
void httpd_widen_buffer(const at_httpd_t *httpd, int fd);
/*
 * httpd_claim_request() asks for room for the request itself, before it is
 * handled; without, it has the fault AT_HTTPD_NO_MEMORY and no body.
 */
void httpd_claim_request(at_httpd_request_t *request);
/*
 * Between the two the headers of a request are received. Where many are, those
 * that take the longest are closed.
 */
void httpd_begin_headers(at_httpd_request_t *request);
void httpd_end_headers(at_httpd_request_t *request);
/* Returns 0 if a stream may be read ahead, else -1. */
int httpd_claim_ahead(at_httpd_request_t *request);
void httpd_refuse_body(
    at_httpd_request_t *request, const at_memory_claim_t *claim);
/* httpd_is_body_late() returns non-zero after the body timeout. */
int httpd_is_body_late(const at_httpd_request_t *request);
/* More bytes of the body were received, or of the response passed on. */
void httpd_note_progress(at_httpd_request_t *request, size_t bytes);
/* They free what was received, and what was not sent. */
void httpd_drop_body(at_httpd_request_t *request);
void httpd_drop_out(at_httpd_request_t *request);

/* What libmicrohttpd calls when a connection begins or ends. */
void httpd_on_connection(void *cls, struct MHD_Connection *handle,
    void **socket_cls, enum MHD_ConnectionNotificationCode code);
/* A request begins on a connection, or, with NULL, its response has ended. */
void httpd_set_request(at_httpd_t *httpd, struct MHD_Connection *handle,
    at_httpd_request_t *request);
/* The socket of a connection, and the time since a moment. */
int httpd_fd(struct MHD_Connection *handle);
uint64_t httpd_ms_since(const at_httpd_t *httpd, double since_s);
/*
 * httpd_queued_bytes() returns what is in one of the kernel's queues of a
 * connection: FIONREAD, not read by this process, or SIOCOUTQ, not received by
 * the caller.
 */
size_t httpd_queued_bytes(struct MHD_Connection *handle, unsigned long queue);
/*
 * httpd_may_close_idle() returns non-zero if a connection without a request may
 * be closed: no bytes of it wait here, and its caller has the last response or
 * has stopped reading it.
 */
int httpd_may_close_idle(const at_httpd_t *httpd, connection_t *connection);
/*
 * httpd_shut_down() ends a connection, and what the kernel has not sent on it.
 * The library finds that in its next run.
 */
void httpd_shut_down(at_httpd_t *httpd, connection_t *connection);
void httpd_shut_down_request(at_httpd_request_t *request);
/*
 * httpd_waits_for_caller() returns non-zero if a request goes on only if its
 * caller sends or reads.
 */
int httpd_waits_for_caller(const at_httpd_request_t *request);
/*
 * httpd_make_room() closes the connections that wait for their callers for the
 * longest time, if hardly any more could be accepted.
 */
void httpd_make_room(at_httpd_t *httpd);
/* httpd_close_late() closes connections whose request takes too long to arrive.
 */
void httpd_close_late(at_httpd_t *httpd);
/*
 * httpd_is_crowded() returns non-zero if few more connections may be accepted:
 * responses then close theirs. httpd_close_longest_idle() makes room.
 */
int httpd_is_crowded(const at_httpd_t *httpd);
void httpd_close_longest_idle(at_httpd_t *httpd);
/* Of each connection, for headers; the library maps it as it is filled. */
#define CONNECTION_MEMORY_BYTES (48u * 1024)
/* libmicrohttpd closes a connection after this time without data. */
#define CONNECTION_IDLE_TIMEOUT_S 75u

/* Start and stop the watchers that run libmicrohttpd (httpd_loop.c). */
void httpd_start_watchers(at_httpd_t *httpd);
void httpd_stop_watchers(at_httpd_t *httpd);

#endif
