/*
 * call_impl.h - shapes shared by the files of a call: call_admit.c lets it in,
 * call.c has the request and its caller, call_attempt.c one attempt at one
 * backend server.
 */
#ifndef ALMONDTHREAD_ENTRY_CALL_IMPL_H
#define ALMONDTHREAD_ENTRY_CALL_IMPL_H

#include "almondthread/attempt.h"
#include "almondthread/request_header.h"
#include "almondthread/event_frames.h"
#include "entry/call.h"
#include "platform/server_call.h"

#define ID_SIZE 96u /* of a request's id, with the NUL */

/* An answer that is held until it is whole. */
typedef struct buffered_response {
	at_response_headers_t headers;
	int status;
	char *body;
	size_t len;
	size_t size;
} buffered_response_t;

/* One attempt at one backend server. */
typedef struct call_attempt {
	at_call_t *call;
	uint32_t number;
	at_server_t *server; /* counted there; NULL: none is open */
	at_name_t server_id;
	at_transfer_t *transfer;
	uint64_t sent_us;
	uint64_t predicted_us;
	int had_event;     /* the first event, or the whole answer, came */
	int is_refused;    /* it says that it did not run it */
	int is_misplaced;  /* and that what was asked for is not there */
	int is_stream;     /* its answer is passed on as it comes */
	at_reason_t fault; /* found in what it sent */
	buffered_response_t response;
	at_event_frames_t frames;
} call_attempt_t;

struct at_call {
	at_entry_t *entry;
	at_call_t *next;
	at_call_t *prev;
	at_httpd_request_t *request; /* NULL once the caller has gone */
	at_request_header_t header;
	char id[ID_SIZE];
	at_site_t *site;
	const at_site_route_t *route;
	const at_site_workspace_t *workspace; /* NULL: the route is open */
	const at_site_service_t *service;
	uint64_t units; /* spent of the workspace's limit */
	at_header_lines_t request_headers;
	at_waiter_t waiter;
	at_attempts_t *attempts;
	uint32_t
	    queued_attempt; /* the attempt that waits for a backend server */
	call_attempt_t current;
	int is_processing;
	int is_finished;
	int response_started; /* the head of an answer has gone out */
	int is_paused;        /* the caller is slow */
	int has_event_id;     /* of the last event passed on */
	uint64_t event_id;
	const at_event_t *event; /* being delivered */
	buffered_response_t
	    failure_response; /* of a backend server, if nothing better */
	uint64_t started_us;
	uint64_t first_us;      /* when the first event went out; 0: none did */
	uint64_t last_event_us; /* when the last one did */
	uint64_t event_gap_max_us; /* longest time between two events */
	uint64_t waited_us;
	uint64_t caller_timeout_us; /* its caller leaves after such a silence;
				       0: no */
	uint32_t retry_after_ms;    /* when to come back, as it was judged */
	ev_timer timer;
	uint64_t timer_due_ms;
};

/* What is said to a caller that gets no backend server's answer. */
typedef struct refusal {
	at_reason_t reason;
	int status;
	uint32_t retry_after_ms;
} refusal_t;

/* call.c */
void call_process(at_call_t *call);
void call_free(at_call_t *call);
void call_on_timer(struct ev_loop *loop, ev_timer *timer, int events);
/* Has the caller's end, its leaving and its reading come to the call. */
void call_attach(at_call_t *call);
void call_reply_refusal(at_entry_t *entry, at_httpd_request_t *request,
    const at_request_header_t *header, const refusal_t *refusal);
/* call_attempt.c */
void call_attempt_start(
    at_call_t *call, uint32_t number, const at_choice_t *choice);
/* Ends the leg at its backend server; the transfer is closed if open. */
void call_attempt_end(call_attempt_t *attempt, at_server_outcome_t outcome);
void buffered_response_reset(buffered_response_t *response);

#endif
