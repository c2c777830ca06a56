/*
 * call_origin.c - finds the software version at which a request that resumes a
 * stream must run. If no report has told it, the reports that have arrived are
 * read first, in the next turn of the loop. Then it may run at the only
 * version of the service, but this instance may have been cut off, or stood
 * still, since before a server of another one was listed. Such a request is
 * held until the platform has confirmed that the list is complete up to its
 * arrival: any server that can have begun the stream was listed before.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "almondthread/log.h"
#include "entry/call/call_impl.h"
#include "io/clock.h"
#include "platform/caller.h"

/* Time until a lost report on the origin of a stream has been repeated. */
#define UNKNOWN_ORIGIN_RETRY_MS 200u
/* Longest time for which a request is held, and as a part of its time limit. */
#define HOLD_MAX_MS 500u
#define HOLD_MAX_PART 4u
#define US_PER_MS 1000u

int
call_is_resumable(const at_site_route_t *route)
{
	return route->type == AT_ROUTE_STREAM && route->is_resumable;
}

static at_tag_t
find_origin(const at_calls_t *calls, at_tag_t stream)
{
	return stream == 0 ? 0
			   : at_stream_origins_find(calls->deps.origins, stream,
				 at_clock_now_us());
}

/*
 * Returns the only version that is known to be listed for the service, or 0.
 * Without the platform, the list may lack servers of another version.
 */
static at_tag_t
only_version(at_calls_t *calls, at_tag_t service)
{
	const at_calls_deps_t *deps = &calls->deps;

	if (!deps->is_list_current(deps->ctx))
		return 0;
	at_gossip_note_versions(deps->gossip);
	return at_stream_origins_only_version(
	    deps->origins, service, at_clock_now_us());
}

static uint64_t
held_ms(const held_request_t *held)
{
	return (at_clock_now_us() - held->arrived_us) / US_PER_MS;
}

static void
count_held(const at_calls_t *calls, const char *end)
{
	at_counters_add(
	    calls->deps.counters, "held_resumptions_total", "end", end, 1);
}

static void
held_free(held_request_t *held)
{
	ev_timer_stop(held->calls->deps.loop, &held->timer);
	LIST_REMOVE(held, entries);
	free(held);
}

static void
on_held_end(void *ctx, int closed)
{
	held_request_t *held = ctx;

	(void)closed;
	count_held(held->calls, "left");
	held_free(held);
}

static void
set_timer(held_request_t *held, uint32_t after_ms)
{
	struct ev_loop *loop = held->calls->deps.loop;

	ev_timer_stop(loop, &held->timer);
	ev_timer_set(&held->timer, (double)after_ms / AT_MS_PER_S, 0.);
	ev_timer_start(loop, &held->timer);
}

/* Decides on the request once more; it may stay held. */
static void
decide(held_request_t *held)
{
	at_calls_t *calls = held->calls;

	/* A response ends the request. */
	at_httpd_set_end_handler(held->request, NULL, NULL);
	held->is_waiting = 0;
	call_admit(calls, held->request, held);
	if (held->is_waiting) {
		at_httpd_set_end_handler(held->request, on_held_end, held);
		return;
	}
	at_counters_observe(
	    calls->deps.counters, "held_ms", "of", "origin", held_ms(held));
	held_free(held);
}

static void
on_held_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	held_request_t *held = timer->data;

	(void)loop;
	(void)events;
	if (held->ticket != 0)
		count_held(held->calls, "late");
	decide(held);
}

/*
 * Holds the request until the reports that have arrived are read: they may tell
 * its origin. Reading them here would apply what else they bring, like a
 * configuration, in the middle of the request. Returns -1 if out of memory.
 */
static int
hold(at_calls_t *calls, at_httpd_request_t *request, at_tag_t stream)
{
	held_request_t *held = calloc(1, sizeof(*held));

	if (held == NULL)
		return -1;
	held->calls = calls;
	held->request = request;
	held->stream = stream;
	held->arrived_us = at_clock_now_us();
	ev_timer_init(&held->timer, on_held_timer, 0., 0.);
	/* Reports and responses that have arrived are read before. */
	ev_set_priority(&held->timer, EV_MINPRI);
	held->timer.data = held;
	LIST_INSERT_HEAD(&calls->held, held, entries);
	at_httpd_set_end_handler(request, on_held_end, held);
	set_timer(held, 0);
	return 0;
}

/* Holds the request until the platform has confirmed the list. */
static void
ask(held_request_t *held, const at_request_header_t *header,
    const at_site_route_t *route)
{
	const at_calls_deps_t *deps = &held->calls->deps;
	uint32_t limit_ms = call_limit_ms(route, header) / HOLD_MAX_PART;

	if (limit_ms > HOLD_MAX_MS)
		limit_ms = HOLD_MAX_MS;
	held->ticket = deps->ask_list(deps->ctx);
	held->is_waiting = 1;
	set_timer(held, limit_ms);
	at_log(AT_LOG_INFO, "call", header->id,
	    "held until the platform confirms the list of servers stream=%s "
	    "question=%" PRIu64 " limit_ms=%u",
	    header->resumes == NULL ? "-" : header->resumes, held->ticket,
	    limit_ms);
}

static void
log_resumption(
    const at_request_header_t *header, at_tag_t software, const char *source)
{
	at_log(AT_LOG_INFO, "call", header->id,
	    "resumes a stream stream=%s after=%s software=%016" PRIx64
	    " origin=%s",
	    header->resumes == NULL ? "-" : header->resumes,
	    header->resume_after == NULL ? "-" : header->resume_after, software,
	    source);
}

/*
 * Decides on a request of unknown origin whose reports have been read. Returns
 * 0 with the software, or -1 if it stays held or is to be refused.
 */
static int
find_unknown(held_request_t *held, const at_request_header_t *header,
    const at_site_route_t *route, at_tag_t service, at_tag_t *software)
{
	const at_calls_deps_t *deps = &held->calls->deps;
	at_tag_t only = only_version(held->calls, service);

	if (only == 0)
		return -1;
	if (held->ticket != 0) {
		if (!deps->is_list_confirmed(deps->ctx, held->ticket))
			return -1;
		*software = only;
		log_resumption(header, only, "only_version");
		return 0;
	}
	if (deps->is_list_unconfirmed(deps->ctx))
		/* The platform's next response is noticed. */
		(void)deps->ask_list(deps->ctx);
	else
		ask(held, header, route);
	return -1;
}

int
call_find_software(at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, const at_site_route_t *route,
    at_tag_t service, held_request_t *held, at_tag_t *software)
{
	at_tag_t stream =
	    header->resumes == NULL ? 0 : at_tag_from_text(header->resumes);
	char detail[160];

	*software = 0;
	if (!call_is_resumable(route) ||
	    (header->resumes == NULL && header->resume_after == NULL))
		return 0;
	*software = find_origin(calls, stream);
	if (*software != 0) {
		log_resumption(header, *software, "reported");
		return 0;
	}
	if (held == NULL && hold(calls, request, stream) == 0)
		return -1;
	if (held != NULL &&
	    find_unknown(held, header, route, service, software) == 0)
		return 0;
	if (held != NULL && held->is_waiting)
		return -1;
	(void)snprintf(detail, sizeof(detail),
	    "stream=%s origins=%zu held_ms=%" PRIu64,
	    header->resumes == NULL ? "-" : header->resumes,
	    at_stream_origins_count(calls->deps.origins),
	    held == NULL ? 0 : held_ms(held));
	call_refuse_request(calls, request, header, AT_REASON_UNKNOWN_ORIGIN,
	    UNKNOWN_ORIGIN_RETRY_MS, detail);
	return -1;
}

void
at_calls_release_held(at_calls_t *calls)
{
	const at_calls_deps_t *deps = &calls->deps;
	held_request_t *held;
	held_request_t *next;

	for (held = LIST_FIRST(&calls->held); held != NULL; held = next) {
		int is_confirmed =
		    held->ticket != 0 &&
		    deps->is_list_confirmed(deps->ctx, held->ticket);

		next = LIST_NEXT(held, entries);
		if (!is_confirmed && find_origin(calls, held->stream) == 0)
			continue;
		count_held(calls, is_confirmed ? "confirmed" : "reported");
		decide(held);
	}
}

void
at_calls_note_list_asked(at_calls_t *calls)
{
	const held_request_t *held;

	at_calls_release_held(calls);
	LIST_FOREACH(held, &calls->held, entries)
	{
		if (held->ticket == 0)
			continue;
		(void)calls->deps.ask_list(calls->deps.ctx);
		return;
	}
}
