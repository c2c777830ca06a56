/*
 * attempt_events.h - what attempts at backend servers tell those who observe
 * them: whether servers are reached, what they state, where streams began and
 * what may have crashed.
 */
#ifndef ALMONDTHREAD_ENTRY_ATTEMPT_EVENTS_H
#define ALMONDTHREAD_ENTRY_ATTEMPT_EVENTS_H

#include "almondthread/crash_causes.h"
#include "almondthread/fleet.h"
#include "io/httpc.h"
#include "platform/server_call.h"

typedef enum at_attempt_event_kind {
	AT_ATTEMPT_EVENT_SENT, /* to the server, or to an instance for it */
	AT_ATTEMPT_EVENT_CONNECTED, /* on a new connection to the server */
	AT_ATTEMPT_EVENT_RECEIVED,  /* bytes from the server */
	AT_ATTEMPT_EVENT_STATED,    /* headers of a response: response is set */
	AT_ATTEMPT_EVENT_FIRST_EVENT, /* or the complete response: elapsed_us is
					 set */
	AT_ATTEMPT_EVENT_GAPS,        /* between events: gap_count and gap_us */
	AT_ATTEMPT_EVENT_ORIGIN,  /* the stream has an event of this version */
	AT_ATTEMPT_EVENT_BEGUN,   /* the response has begun and gone on */
	AT_ATTEMPT_EVENT_REFUSED, /* it has not run: status and is_misplaced */
	/* It states no refusal, but its status is one to callers: status. */
	AT_ATTEMPT_EVENT_MAY_HAVE_RUN,
	AT_ATTEMPT_EVENT_REJECTED, /* its response is not passed on: reason */
	AT_ATTEMPT_EVENT_LOST,     /* without a response: result and is_sent */
	AT_ATTEMPT_EVENT_ENDED, /* whatever was told before: outcome is set */
	AT_ATTEMPT_EVENT_COUNT
} at_attempt_event_kind_t;

typedef struct at_attempt_event at_attempt_event_t;

struct at_attempt_event {
	at_attempt_event_kind_t kind;
	const char *request_id;
	uint32_t number;     /* of the attempt */
	at_server_t *server; /* NULL after the end */
	const char *server_id;
	const char *via; /* instance that passes it on; "-": it went directly */
	int is_direct;
	const at_work_t *work;
	at_tag_t stream;   /* 0: it has no origin to be noted */
	at_tag_t software; /* version of the server's software */
	uint64_t sent_us;
	uint64_t waited_us; /* in the queue before */
	uint64_t predicted_us;
	uint64_t first_event_us;
	uint32_t event_count; /* of a stream, so far */
	int had_event;
	int is_begun;
	/* Of single kinds: */
	const at_server_response_t *response;
	uint64_t elapsed_us; /* since it was sent */
	uint32_t gap_count;  /* as at_event_gaps_add() returns it */
	uint32_t gap_us;     /* their usual length */
	int status;
	int is_misplaced; /* wrong server, or a model that is not resident */
	at_reason_t reason;
	const at_transfer_result_t *result;
	int is_sent;     /* it may have reached the server */
	const char *why; /* what the instance that passes it on has stated */
	at_server_outcome_t outcome;
	/* Fills the parts of the request, which takes a hash of its body; the
	   observer clears them. */
	void (*fill_parts)(
	    const at_attempt_event_t *event, at_request_parts_t *parts);
	const void *attempt;
};

/* One that is told all events. */
typedef struct at_attempt_observer {
	void (*notify)(void *ctx, const at_attempt_event_t *event);
	void *ctx;
} at_attempt_observer_t;

#endif
