/* call_events.c - tells the observers of attempts what happens to one. */
#include "entry/call/call_impl.h"

static void
fill_parts(const at_attempt_event_t *event, at_request_parts_t *parts)
{
	const call_attempt_t *attempt = event->attempt;

	call_fill_parts(attempt->call, parts);
}

void
call_notify(const call_attempt_t *attempt, const at_attempt_event_t *event)
{
	const at_call_t *call = attempt->call;
	const at_calls_deps_t *deps = &call->calls->deps;
	at_attempt_event_t complete = *event;
	size_t i;

	complete.request_id = call->id;
	complete.number = attempt->number;
	complete.server = attempt->server;
	complete.server_id = attempt->server_id.text;
	complete.via = call_via(attempt);
	complete.is_direct = attempt->relay == 0;
	complete.work = &call->waiter.work;
	complete.stream = call->stream;
	complete.software = attempt->software;
	complete.sent_us = attempt->sent_us;
	complete.waited_us = call->waited_us;
	complete.predicted_us = attempt->predicted_us;
	complete.first_event_us = attempt->first_event_us;
	complete.event_count = attempt->event_count;
	complete.had_event = attempt->had_event;
	complete.is_begun = attempt->is_begun;
	complete.fill_parts = fill_parts;
	complete.attempt = attempt;
	for (i = 0; i < deps->observer_count; i++)
		deps->observers[i].notify(deps->observers[i].ctx, &complete);
}

void
call_notify_kind(const call_attempt_t *attempt, at_attempt_event_kind_t kind)
{
	call_notify(attempt, &(at_attempt_event_t){.kind = kind});
}
