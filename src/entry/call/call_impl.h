/*
 * call_impl.h - types shared by the files of a call: call_admit.c checks and
 * admits a request, call_origin.c finds where a resumed stream may go on,
 * call.c has the request and its caller, call_attempt.c one attempt at one
 * backend server, call_response.c its response, call_events.c tells the
 * observers and call_log.c is one of them, call_crashes.c has what crashes of
 * servers have to do with a call.
 */
#ifndef ALMONDTHREAD_ENTRY_CALL_IMPL_H
#define ALMONDTHREAD_ENTRY_CALL_IMPL_H

#include <sys/queue.h>

#include "almondthread/attempt.h"
#include "almondthread/crash_causes.h"
#include "almondthread/request_header.h"
#include "almondthread/event_frames.h"
#include "entry/call/call.h"
#include "entry/servers/relay.h"
#include "platform/server_call.h"

#define CONTENT_TYPE_SIZE 96u /* bytes of a media type, with the NUL */
#define OPEN_ATTEMPTS_MAX 2u  /* a second one beside one that is silent */

/* A response that is buffered until it is complete. */
typedef struct buffered_response {
	at_response_headers_t headers;
	int status;
	char *body;
	size_t len;
	size_t size;
	size_t *total_bytes; /* of the instance, with size; NULL: no body */
	at_memory_t *memory; /* with size, while the body is here */
} buffered_response_t;

typedef struct at_call at_call_t;

/* One attempt at one backend server. */
typedef struct call_attempt {
	at_call_t *call;
	uint32_t number;
	at_server_t *server; /* counts this attempt; NULL: none is open */
	at_name_t server_id;
	at_tag_t software; /* version of the server's software */
	at_transfer_t *transfer;
	at_tag_t relay; /* the instance that passes it on; 0: none */
	at_name_t relay_name;
	at_relay_outcome_t relay_outcome;
	int relay_has_responded; /* with headers */
	uint64_t sent_us;
	uint64_t predicted_us;
	int had_event; /* an event or the complete response has arrived */
	uint64_t first_event_us; /* when that arrived */
	uint32_t event_count;    /* of a stream */
	at_event_gaps_t gaps;    /* between them */
	int is_begun;   /* it has gone on since, which the crashes know */
	int is_silent;  /* another attempt was started beside it */
	int is_refused; /* the server states that it did not run it */
	int refused_status;
	size_t refused_bytes; /* of the refusal's body, which is not used */
	int is_misplaced;     /* refused: wrong server, or model not resident */
	int is_stream;        /* the response is passed on as it arrives */
	int is_resumption;    /* it goes on with a stream that has begun */
	int is_other_stream;  /* what has arrived does not go on with it */
	at_reason_t fault;    /* why the response was rejected */
	buffered_response_t response;
	at_event_frames_t frames;
} call_attempt_t;

/*
 * A request that resumes a stream of unknown origin: until the reports that
 * have arrived are read, and then until the list of servers is confirmed up to
 * its arrival. It has no response and no call yet.
 */
typedef struct held_request {
	at_calls_t *calls;
	at_httpd_request_t *request;
	at_tag_t stream; /* that it resumes; 0: not stated */
	uint64_t arrived_us;
	uint64_t ticket; /* of the deps' ask_list(); 0: not asked yet */
	int is_waiting;  /* it stays held */
	ev_timer timer;
	LIST_ENTRY(held_request) entries;
} held_request_t;

struct at_calls {
	at_calls_deps_t deps;
	LIST_HEAD(held_requests, held_request) held;
	at_call_t *first;
	size_t count;
	size_t buffered_bytes; /* of all buffered responses */
	int is_placing;        /* queued requests are being placed */
	int placing_pending;   /* slots became free since */
};

struct at_call {
	at_calls_t *calls;
	at_call_t *next;
	at_call_t *prev;
	at_httpd_request_t *request; /* NULL: the caller has closed */
	at_request_parts_t parts;    /* of the request, once that is so */
	at_request_header_t header;
	char *id; /* a copy, as the request may end first */
	at_site_t *site;
	const at_site_route_t *route;
	const at_site_workspace_t *workspace; /* NULL: the route is public */
	const at_site_service_t *service;
	uint64_t units; /* charged to the workspace's quota */
	at_header_lines_t request_headers;
	at_waiter_t waiter;
	char content_type[CONTENT_TYPE_SIZE]; /* of the stream that has begun */
	at_attempts_t *attempts;
	uint32_t queued_attempt; /* number of the attempt to be placed */
	call_attempt_t open_attempts[OPEN_ATTEMPTS_MAX];
	/* The attempt whose response is passed on, or else the newest one. */
	call_attempt_t *current;
	at_tag_t stream;        /* names it in stream_origins.h; 0: none */
	int is_origin_reported; /* this call has passed on an event of it */
	int is_processing;      /* call_process() is running */
	int is_finished;
	int response_started;    /* the response's headers have been sent */
	int is_paused;           /* the caller reads too slowly */
	int has_event_id;        /* event_id is set */
	uint64_t event_id;       /* id of the last event passed on */
	const at_event_t *event; /* event being delivered */
	buffered_response_t failure_response; /* used if no attempt succeeds */
	uint64_t started_us;
	uint64_t first_event_us;   /* when the first event was sent; 0: none */
	uint64_t last_event_us;    /* when the last event was sent */
	uint64_t event_gap_max_us; /* longest time between two events */
	uint64_t waited_us;
	/* The caller leaves after this time without an event; 0: never. */
	uint64_t caller_timeout_us;
	uint32_t retry_after_ms; /* from the last admission decision */
	ev_timer timer;
	uint64_t timer_due_ms;
};

/* Response to a caller whose request got none from a backend server. */
typedef struct refusal {
	at_reason_t reason;
	int status;
	uint32_t retry_after_ms;
} refusal_t;

/*
 * call_process() carries out the actions that the attempts ask for, and sets
 * the timer. call_set_timer() starts the timer for the next tick of the
 * attempts, after an event that asks for no action. call_free() ends the
 * attempt and frees the call. call_attach() registers the handlers for the
 * caller's connection. call_reply_refusal() counts a refusal and sends it to
 * the caller.
 */
void call_process(at_call_t *call);
void call_set_timer(at_call_t *call);
void call_free(at_call_t *call);
void call_on_timer(struct ev_loop *loop, ev_timer *timer, int events);
void call_attach(at_call_t *call);
void call_reply_refusal(const at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, const refusal_t *refusal);
/*
 * call_admit() decides on a request: it becomes a call, is refused, or is held
 * or stays held. held is what a held one was until now, else NULL. The site in
 * force is referenced meanwhile, and by the call.
 *
 * call_refuse_request() refuses a request that has no call; detail goes into
 * the log. call_limit_ms() returns after which time a request ends at the
 * latest.
 */
void call_admit(
    at_calls_t *calls, at_httpd_request_t *request, held_request_t *held);
void call_refuse_request(at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, at_reason_t reason,
    uint32_t retry_after_ms, const char *detail);
uint32_t call_limit_ms(
    const at_site_route_t *route, const at_request_header_t *header);
/*
 * call_find_software() finds the software version at which the request must
 * run, 0 for any. Returns -1 if the request was refused, since it resumes a
 * stream whose version is unknown, or is held until that can be told.
 */
int call_is_resumable(const at_site_route_t *route);
int call_find_software(at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, const at_site_route_t *route,
    at_tag_t service, held_request_t *held, at_tag_t *software);
/*
 * call_attempt_start() sends the request to the chosen backend server; a
 * failure is reported to the attempts. call_attempt_end() tells the fleet the
 * outcome and cancels an open transfer.
 */
void call_attempt_start(
    at_call_t *call, uint32_t number, const at_choice_t *choice);
void call_attempt_end(call_attempt_t *attempt, at_server_outcome_t outcome);
/* call_via() names the instance that passes the attempt on, "-" if none does.
 */
const char *call_via(const call_attempt_t *attempt);
/* call_attempt_is_open() returns non-zero until call_attempt_end(). */
int call_attempt_is_open(const call_attempt_t *attempt);
/* call_attempt_find() returns the attempt with this number; NULL: none. */
call_attempt_t *call_attempt_find(at_call_t *call, uint32_t number);
/*
 * call_notify() tells the observers of an event, of which the fields of its
 * kind are set; call_notify_kind() of one that has none.
 */
void call_notify(
    const call_attempt_t *attempt, const at_attempt_event_t *event);
void call_notify_kind(
    const call_attempt_t *attempt, at_attempt_event_kind_t kind);
/*
 * The response to an attempt. call_finish_refused() ends one that the server
 * states not to have run, call_finish_complete() one that is complete.
 */
void call_on_headers(void *ctx, at_transfer_t *transfer, int status);
int call_on_data(void *ctx, const char *data, size_t len);
void call_finish_refused(call_attempt_t *attempt);
void call_finish_complete(call_attempt_t *attempt);
/*
 * call_fill_parts() fills the parts of a request. call_keep_parts() keeps them
 * of one whose caller has closed.
 */
/* The caller clears parts. */
void call_fill_parts(const at_call_t *call, at_request_parts_t *parts);
void call_keep_parts(at_call_t *call);
/* call_note_begun() notes that a response has begun and has gone on. */
void call_note_begun(call_attempt_t *attempt);
/*
 * call_is_refused_for_crashes() returns non-zero if a part of the request is
 * blocked or suspect, and sets its retry time. With may_try, a suspect one may
 * be let through as a trial.
 */
int call_is_refused_for_crashes(at_call_t *call, int may_try);
/* The caller of buffered_response_take() frees the body. */
char *buffered_response_take(buffered_response_t *response);
void buffered_response_reset(buffered_response_t *response);

#endif
