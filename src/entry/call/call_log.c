/* call_log.c - the lines of the log on attempts. */
#include <inttypes.h>
#include <stdio.h>

#include "almondthread/log.h"
#include "entry/call/call_impl.h"

/* Bytes of the ids of all parts of a prompt, with commas and the NUL. */
#define PARTS_TEXT_SIZE (AT_PREFIX_PARTS_MAX * 17u + 1u)

/* Writes the ids of the parts of a prompt, "ID,ID"; "-" if there are none. */
static void
format_parts(const at_work_t *work, char text[PARTS_TEXT_SIZE])
{
	size_t len = 0;
	size_t i;

	(void)snprintf(text, PARTS_TEXT_SIZE, "-");
	for (i = 0; i < work->prefix_count; i++)
		len += (size_t)snprintf(text + len, PARTS_TEXT_SIZE - len,
		    "%s%" PRIx64, i == 0 ? "" : ",", work->prefix[i].id);
}

static void
log_lost(const at_attempt_event_t *event)
{
	const at_transfer_result_t *result = event->result;
	char parts[PARTS_TEXT_SIZE];

	/* The other instance has responded itself. */
	if (result->is_complete) {
		at_log(AT_LOG_INFO, "call", event->request_id,
		    "attempt not passed on server=%s via=%s outcome=%s",
		    event->server_id, event->via, event->why);
		return;
	}
	format_parts(event->work, parts);
	at_log(AT_LOG_INFO, "call", event->request_id,
	    "attempt failed server=%s reason=%s verdict=%s had_event=%d "
	    "parts=%s via=%s",
	    event->server_id, at_reason_names[result->reason],
	    at_verdict_names[result->verdict], event->had_event, parts,
	    event->via);
}

static void
log_event(void *ctx, const at_attempt_event_t *event)
{
	(void)ctx;
	switch (event->kind) {
	case AT_ATTEMPT_EVENT_SENT:
		at_log(AT_LOG_DEBUG, "call", event->request_id,
		    "request sent attempt=%u server=%s via=%s "
		    "predicted_us=%" PRIu64 " waited_us=%" PRIu64,
		    event->number, event->server_id, event->via,
		    event->predicted_us, event->waited_us);
		break;
	case AT_ATTEMPT_EVENT_REFUSED:
		at_log(AT_LOG_INFO, "call", event->request_id,
		    "attempt refused server=%s status=%d", event->server_id,
		    event->status);
		break;
	case AT_ATTEMPT_EVENT_MAY_HAVE_RUN:
		at_log(AT_LOG_INFO, "call", event->request_id,
		    "response not passed on; the server does not state that "
		    "the request was not run server=%s status=%d",
		    event->server_id, event->status);
		break;
	case AT_ATTEMPT_EVENT_REJECTED:
		at_log(AT_LOG_WARN, "call", event->request_id,
		    "response rejected; attempt failed server=%s reason=%s",
		    event->server_id, at_reason_names[event->reason]);
		break;
	case AT_ATTEMPT_EVENT_LOST:
		log_lost(event);
		break;
	default:
		break;
	}
}

at_attempt_observer_t
at_calls_log_observer(void)
{
	return (at_attempt_observer_t){log_event, NULL};
}
