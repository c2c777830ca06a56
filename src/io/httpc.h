/*
 * httpc.h - HTTP client for backend servers and the platform: the multi
 * interface of libcurl, driven by libev on one thread.
 *
 * A response without end is bounded: its head and trailer by
 * AT_TRANSFER_HEAD_MAX_BYTES and AT_TRANSFER_HEAD_LINES_MAX, with the
 * informational responses before it, its body by the owner, and what is neither
 * (the frame of a chunk) by a number of reads that yield nothing.
 *
 * A transfer calls on_headers at most once, on_data any number of times and
 * on_done exactly once; after at_transfer_cancel() it calls nothing. on_done
 * states whether the request may have run. A response whose connection ends
 * before the end of its head is not complete, whatever libcurl says.
 *
 * While one of its callbacks runs, a transfer exists: at_transfer_cancel() may
 * be called in each for any transfer, also for the one that is ending, where it
 * has no effect. The client itself must not be deleted in a callback, and the
 * headers must not be read in on_done (both are asserted).
 */
#ifndef ALMONDTHREAD_IO_HTTPC_H
#define ALMONDTHREAD_IO_HTTPC_H

#include <ev.h>

#include "almondthread/units.h"
#include "almondthread/verdict.h"
#include "io/shared_body.h"

#define AT_TRANSFER_HEAD_MAX_BYTES (64u << 10)
#define AT_TRANSFER_HEAD_LINES_MAX 256u

typedef struct at_httpc at_httpc_t;
typedef struct at_transfer at_transfer_t;

/* The result of a transfer. */
typedef struct at_transfer_result {
	int is_complete;       /* the response is complete */
	int http_status;       /* 0 if no response headers arrived */
	at_reason_t reason;    /* AT_REASON_NONE if complete */
	at_verdict_t verdict;  /* NOT_RUN only if nothing was sent */
	uint64_t sent_bytes;   /* bytes of the request header that were sent */
	uint32_t resend_count; /* resends, including forbidden ones */
	int reused_connection; /* the connection was used before */
	int is_connection_refused; /* no process listens on the address */
} at_transfer_result_t;

/* Callbacks of a transfer. All but on_done may be NULL. */
typedef struct at_transfer_events {
	/* The headers have arrived; at_transfer_header() returns them. */
	void (*on_headers)(void *ctx, at_transfer_t *transfer, int status);
	/*
	 * Receives a chunk of the body. Returns non-zero to pause the
	 * transfer until at_transfer_resume().
	 */
	int (*on_data)(void *ctx, const char *data, size_t len);
	void (*on_done)(void *ctx, const at_transfer_result_t *result);
	void *ctx;
} at_transfer_events_t;

/*
 * A request. Strings and the body are copied, except shared_body: the transfer
 * keeps a reference to it until its last byte was read. headers is an array of
 * "Name: value" that ends with NULL, or NULL. A timeout of 0 is none.
 */
typedef struct at_transfer_spec {
	const char *method;
	const char *url;    /* its host is an IP literal */
	const char *target; /* path and query to send unchanged, or NULL */
	const char *const *headers;
	const void *body;
	size_t body_len;
	at_shared_body_t *shared_body; /* instead of body; NULL: none */
	uint32_t connect_ms;
	uint32_t first_byte_ms; /* from the start to the response headers */
	uint32_t idle_ms;       /* between two chunks of the response */
	uint32_t total_ms;
	uint64_t body_max_bytes; /* a longer response fails; 0: no limit */
	int connect_only;        /* completes once connected; nothing is sent */
	int new_connection;      /* never reuses a pooled connection */
	/*
	 * libcurl sends a request again if a reused connection closes before
	 * the first byte of the response. Non-zero makes the transfer fail
	 * with AT_REASON_BACKEND_RESET instead.
	 */
	int forbid_resend;
} at_transfer_spec_t;

/* at_httpc_new() returns a client on loop, or NULL if out of memory. */
at_httpc_t *at_httpc_new(struct ev_loop *loop);
/*
 * at_httpc_set_open_max() limits the connections, in use and pooled. Not
 * enforced for transfers: who starts one for a caller asks at_httpc_has_room(),
 * which leaves some for calls to the platform and for checks.
 */
void at_httpc_set_open_max(at_httpc_t *httpc, size_t connections);
int at_httpc_has_room(const at_httpc_t *httpc);
/*
 * at_httpc_set_memory() has an account charged for each transfer, beside its
 * body. It outlives the client.
 */
void at_httpc_set_memory(at_httpc_t *httpc, at_memory_t *memory);
/*
 * at_httpc_set_open_handler() sets a function that is called for each socket
 * before it connects; it may change the address. It is meant for tests, which
 * cut one client off from some addresses with it.
 */
struct sockaddr_in;
typedef void (*at_httpc_open_t)(void *ctx, int fd, struct sockaddr_in *address);
void at_httpc_set_open_handler(
    at_httpc_t *httpc, at_httpc_open_t on_open, void *ctx);
/* at_httpc_delete() cancels the open transfers; on_done is not called. */
void at_httpc_delete(at_httpc_t *httpc);

/*
 * at_httpc_start() begins a transfer; no callback runs before it returns.
 * Returns NULL if out of memory. The transfer is freed before on_done runs.
 */
at_transfer_t *at_httpc_start(at_httpc_t *httpc, const at_transfer_spec_t *spec,
    const at_transfer_events_t *events);

/*
 * at_transfer_set_sending_handler() sets a callback that runs once, when the
 * connection is established and before the request is sent.
 */
void at_transfer_set_sending_handler(
    at_transfer_t *transfer, void (*on_sending)(void *ctx));
/*
 * at_transfer_is_on_new_connection() returns non-zero if no earlier transfer
 * has used the connection; to be called within the callbacks.
 */
int at_transfer_is_on_new_connection(const at_transfer_t *transfer);
/*
 * at_transfer_cancel() ends a transfer; on_done is not called, unless it is
 * running.
 */
void at_transfer_cancel(at_transfer_t *transfer);
/*
 * at_httpc_unread_bytes() returns how many bytes the kernel has received for
 * the paused transfers.
 */
uint64_t at_httpc_unread_bytes(const at_httpc_t *httpc);
/* at_transfer_resume() resumes a paused transfer. */
void at_transfer_resume(at_transfer_t *transfer);
/*
 * at_transfer_header() returns the value of a response header, or NULL. Both
 * functions are called within on_headers.
 */
const char *at_transfer_header(const at_transfer_t *transfer, const char *name);
/* at_transfer_each_header() calls visit for each response header. */
void at_transfer_each_header(const at_transfer_t *transfer,
    void (*visit)(void *ctx, const char *name, const char *value), void *ctx);

#endif
