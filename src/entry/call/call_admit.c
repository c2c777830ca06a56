/*
 * call_admit.c - checks a request before it becomes a call: its route, its key
 * and its workspace's quota.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/log.h"
#include "entry/call/call_impl.h"
#include "io/clock.h"
#include "platform/caller.h"

#define US_PER_MS 1000u
/* Part of the time limit that is left for sending the response. */
#define RESPONSE_MARGIN_MS 30u
/* Longest time until the first event of a resumable stream. */
#define FIRST_EVENT_TIMEOUT_MS 3000u
/* Longest time between two events of a resumable stream. */
#define EVENT_GAP_TIMEOUT_MS 1200u
/* Longest time for which two servers may both respond to a stream. */
#define TAKEOVER_MS 200u
/* Longest time until a backend server's response to a safe request. */
#define SAFE_RESPONSE_TIMEOUT_MS 900u
/* Expected output, as part of the maximum, if the caller states none. */
#define OUTPUT_ESTIMATE_PERCENT 60u
/* Requests whose objective is at least this have slack. */
#define SLACK_OBJECTIVE_MIN_MS 1500u
/*
 * The caller of a stream is assumed to leave after the longest of this time,
 * this multiple of the objective, and this multiple of the event gap.
 */
#define CALLER_TIMEOUT_MIN_MS 2000u
#define CALLER_TIMEOUT_OBJECTIVES 4u
#define CALLER_TIMEOUT_EVENT_GAPS 8u
/* The first configuration takes two list calls and the parsing. */
#define NO_CONFIG_RETRY_MS 500u
/* Stated in refusals at the shutdown: another instance can run the request. */
#define STOPPING_RETRY_MS 10u

void
call_refuse_request(at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, at_reason_t reason,
    uint32_t retry_after_ms, const char *detail)
{
	const at_site_t *site = *calls->deps.site;
	const refusal_t refusal = {
	    reason, at_reason_status(reason), retry_after_ms};

	at_log(AT_LOG_INFO, "call", header->id,
	    "refused at admission reason=%s status=%d retry_after_ms=%u "
	    "config=%" PRIu64 " %s",
	    at_reason_names[reason], refusal.status, retry_after_ms,
	    site == NULL ? 0 : site->version, detail);
	call_reply_refusal(calls, request, header, &refusal);
}

void
at_call_handle_fault(void *ctx, at_httpd_request_t *request)
{
	at_calls_t *calls = ctx;
	at_request_header_t header = {0};

	/* The headers of a malformed request are not read, nor its id logged.
	 */
	if (at_httpd_fault(request) != AT_HTTPD_MALFORMED)
		(void)at_caller_parse_headers(request, &header);
	call_refuse_request(calls, request, &header,
	    at_httpd_fault_reason(request), at_httpd_retry_after_ms(request),
	    at_httpd_fault_text(request));
}

void
at_call_classify(
    void *ctx, const at_httpd_request_t *request, at_httpd_class_t *class)
{
	const at_calls_t *calls = ctx;
	const at_site_t *site = *calls->deps.site;
	const at_site_workspace_t *workspace = NULL;
	const at_site_route_t *route;
	at_request_header_t header;

	if (site == NULL)
		return;
	(void)at_caller_parse_headers(request, &header);
	route = at_site_find_route(site, header.host, at_httpd_target(request));
	if (header.key != NULL)
		workspace = at_site_find_workspace(site, header.key);
	if (route != NULL)
		class->priority = route->priority;
	if (workspace == NULL)
		return;
	class->owner = workspace->tag;
	if (workspace->has_priority)
		class->priority = workspace->priority;
}

/* The regions of the route and of the workspace both apply. */
static void
set_regions(const at_call_t *call, at_work_t *work)
{
	if (!at_fleet_has_regions(call->calls->deps.fleet))
		return;
	if (call->route->allowed_regions.count > 0)
		work->regions[0] = &call->route->allowed_regions;
	if (call->workspace != NULL &&
	    call->workspace->allowed_regions.count > 0)
		work->regions[1] = &call->workspace->allowed_regions;
}

static void
fill_work(at_call_t *call, const at_request_header_t *header)
{
	at_work_t *work = &call->waiter.work;
	uint32_t output = header->output_max_tokens;

	work->service = call->service->tag;
	work->own_service = call->service;
	set_regions(call, work);
	work->has_slack = call->route->objective_ms >= SLACK_OBJECTIVE_MIN_MS &&
			  call->waiter.priority > 0;
	if (!call->service->has_models)
		return;
	work->model = at_tag_from_text(header->model.text);
	work->adapter = at_request_header_model_tag(header);
	work->model_name = &call->header.model;
	work->adapter_name = &call->header.adapter;
	work->prompt_tokens = header->prompt_tokens;
	if (header->output_hint_tokens > 0 &&
	    header->output_hint_tokens < output)
		output = header->output_hint_tokens;
	else
		output = output * OUTPUT_ESTIMATE_PERCENT / 100u;
	work->output_tokens = output;
	if (call->route->type == AT_ROUTE_STREAM)
		work->event_gap_ms = call->route->event_gap_ms;
	memcpy(work->prefix, header->prefix, sizeof(work->prefix));
	work->prefix_count = header->prefix_count;
}

/* Returns how long a stream's caller waits for an event; 0: no limit. */
static uint64_t
caller_timeout_us(const at_site_route_t *route)
{
	uint32_t ms = CALLER_TIMEOUT_MIN_MS;

	if (route->type != AT_ROUTE_STREAM)
		return 0;
	if (ms < route->objective_ms * CALLER_TIMEOUT_OBJECTIVES)
		ms = route->objective_ms * CALLER_TIMEOUT_OBJECTIVES;
	if (ms < route->event_gap_ms * CALLER_TIMEOUT_EVENT_GAPS)
		ms = route->event_gap_ms * CALLER_TIMEOUT_EVENT_GAPS;
	return (uint64_t)ms * US_PER_MS;
}

uint32_t
call_limit_ms(const at_site_route_t *route, const at_request_header_t *header)
{
	return header->has_deadline && header->deadline_ms < route->timeout_ms
		   ? header->deadline_ms
		   : route->timeout_ms;
}

static void
fill_waiter(at_call_t *call, const at_request_header_t *header)
{
	at_waiter_t *waiter = &call->waiter;
	uint32_t limit_ms = call_limit_ms(call->route, header);

	if (limit_ms > RESPONSE_MARGIN_MS)
		limit_ms -= RESPONSE_MARGIN_MS;
	waiter->priority =
	    call->workspace != NULL && call->workspace->has_priority
		? call->workspace->priority
		: call->route->priority;
	if (call->workspace != NULL)
		waiter->workspace = call->workspace->tag;
	waiter->arrived_us = call->started_us;
	waiter->objective_us =
	    call->started_us + call->route->objective_ms * US_PER_MS;
	waiter->deadline_us = call->started_us + (uint64_t)limit_ms * US_PER_MS;
	call->caller_timeout_us = caller_timeout_us(call->route);
	fill_work(call, header);
}

static void
start_attempts(at_call_t *call)
{
	const at_site_route_t *route = call->route;
	int may_repeat =
	    route->type == AT_ROUTE_SAFE ||
	    (route->type == AT_ROUTE_STREAM && route->is_resumable);
	uint64_t now_us = at_clock_now_us();
	uint64_t left_us = call->waiter.deadline_us > now_us
			       ? call->waiter.deadline_us - now_us
			       : 0;
	at_attempt_limits_t limits = {.connect_ms = 0,
	    .deadline_ms = (uint32_t)(left_us / US_PER_MS),
	    .attempts_max = route->attempts_max,
	    .unsent_not_counted = 1,
	    .keeps_silent = 1,
	    .takeover_ms = TAKEOVER_MS};
	uint64_t now_ms = at_clock_now_ms();

	if (limits.attempts_max < 1)
		limits.attempts_max = 1;
	if (limits.attempts_max > AT_ATTEMPTS_MAX)
		limits.attempts_max = AT_ATTEMPTS_MAX;
	if (route->type == AT_ROUTE_SAFE)
		limits.first_byte_ms = SAFE_RESPONSE_TIMEOUT_MS;
	if (route->type == AT_ROUTE_STREAM && may_repeat) {
		limits.first_byte_ms = FIRST_EVENT_TIMEOUT_MS;
		limits.idle_ms = EVENT_GAP_TIMEOUT_MS;
	}
	at_attempts_set_limits(call->attempts, &limits);
	at_attempts_set_repeat(
	    call->attempts, may_repeat ? AT_REPEAT_ANY : AT_REPEAT_ONCE);
	at_attempts_set_resumable(
	    call->attempts, route->type == AT_ROUTE_STREAM && may_repeat);
	at_attempts_set_budget(
	    call->attempts, at_retry_budgets_get(call->calls->deps.retries,
				call->service->tag, now_ms));
	at_attempts_init(call->attempts, now_ms);
}

static at_call_t *
call_new(at_calls_t *calls, at_site_t *site, at_httpd_request_t *request,
    const at_request_header_t *header, uint64_t arrived_us)
{
	at_call_t *call = calloc(1, sizeof(*call));
	size_t i;

	if (call == NULL)
		return NULL;
	call->calls = calls;
	for (i = 0; i < OPEN_ATTEMPTS_MAX; i++) {
		call->open_attempts[i].call = call;
		call->open_attempts[i].number = AT_ATTEMPT_NONE;
	}
	call->current = &call->open_attempts[0];
	call->request = request;
	call->header = *header;
	call->site = at_site_ref(site);
	call->started_us = arrived_us;
	call->id = strdup(header->id == NULL ? "" : header->id);
	ev_timer_init(&call->timer, call_on_timer, 0., 0.);
	/* After a stall, data that has arrived is read before time-outs. */
	ev_set_priority(&call->timer, EV_MINPRI);
	call->timer.data = call;
	call->next = calls->first;
	if (call->next != NULL)
		call->next->prev = call;
	calls->first = call;
	calls->count++;
	call->attempts = at_attempts_new();
	at_server_call_copy_headers(request, &call->request_headers);
	if (call->id == NULL || call->attempts == NULL ||
	    call->request_headers.failed) {
		call_free(call);
		return NULL;
	}
	return call;
}

/* Charges the request's units to the quota, or refuses it and returns -1. */
static int
charge_quota(at_calls_t *calls, at_httpd_request_t *request,
    const at_request_header_t *header, const at_site_workspace_t *workspace,
    int is_resumption, uint64_t *units)
{
	uint64_t now_us = at_clock_now_us();
	uint32_t retry_ms;
	char detail[160];

	*units = 1;
	if (workspace->counts_tokens)
		*units = header->has_token_counts
			     ? (uint64_t)header->prompt_tokens +
				   header->output_max_tokens
			     : workspace->default_units;
	retry_ms = is_resumption ? at_quota_take_resumed(calls->deps.quota,
				       workspace, *units, now_us)
				 : at_quota_take(calls->deps.quota, workspace,
				       *units, now_us);
	if (retry_ms == 0)
		return 0;
	(void)snprintf(detail, sizeof(detail),
	    "workspace=%s units=%" PRIu64 " level=%" PRId64
	    " recent_deficit=%" PRId64,
	    workspace->name.text, *units,
	    at_quota_level(calls->deps.quota, workspace->tag),
	    at_quota_recent_deficit(calls->deps.quota, workspace->tag, now_us));
	call_refuse_request(
	    calls, request, header, AT_REASON_OVER_RATE, retry_ms, detail);
	return -1;
}

/* Returns the tag that names the stream of a request, 0 for none. */
static at_tag_t
stream_tag(const at_request_header_t *header, const at_site_route_t *route)
{
	if (!call_is_resumable(route))
		return 0;
	if (header->resumes != NULL)
		return at_tag_from_text(header->resumes);
	return header->resume_after != NULL || header->id == NULL
		   ? 0
		   : at_tag_from_text(header->id);
}

static void
start_call(at_calls_t *calls, at_site_t *site, at_httpd_request_t *request,
    const at_request_header_t *header, const at_site_route_t *route,
    const at_site_workspace_t *workspace, held_request_t *held)
{
	const at_site_service_t *service = at_site_find_service(
	    site, at_site_pick_target(route, at_rng_next(calls->deps.rng)));
	uint64_t units = 0;
	at_tag_t software;
	at_call_t *call;

	if (service == NULL) {
		call_refuse_request(calls, request, header,
		    AT_REASON_NO_BACKEND, NO_CONFIG_RETRY_MS,
		    "error=unknown_service");
		return;
	}
	if (call_find_software(calls, request, header, route, service->tag,
		held, &software) != 0)
		return;
	if (workspace != NULL && charge_quota(calls, request, header, workspace,
				     software != 0, &units) != 0)
		return;
	call = call_new(calls, site, request, header,
	    held == NULL ? at_clock_now_us() : held->arrived_us);
	if (call == NULL) {
		if (workspace != NULL)
			at_quota_refund(
			    calls->deps.quota, workspace->tag, units);
		call_refuse_request(calls, request, header, AT_REASON_OVERLOAD,
		    NO_CONFIG_RETRY_MS, "error=no_memory");
		return;
	}
	call->route = route;
	call->workspace = workspace;
	call->service = service;
	call->units = units;
	call->stream = stream_tag(header, route);
	fill_waiter(call, header);
	call->waiter.work.software = software;
	call->waiter.work.is_resumption = software != 0;
	at_orders_io_note_demand(calls->deps.orders, &call->waiter.work);
	call_attach(call);
	start_attempts(call);
	call_process(call);
}

/*
 * Returns 0 with the caller's workspace, or refuses the request and returns -1.
 */
static int
authenticate(at_calls_t *calls, const at_site_t *site,
    at_httpd_request_t *request, const at_request_header_t *header,
    const at_site_route_t *route, const at_site_workspace_t **workspace)
{
	*workspace = NULL;
	if (route->is_public || !site->has_workspaces)
		return 0;
	if (header->key == NULL) {
		call_refuse_request(
		    calls, request, header, AT_REASON_MISSING_KEY, 0, "");
		return -1;
	}
	*workspace = at_site_find_workspace(site, header->key);
	if (*workspace != NULL)
		return 0;
	call_refuse_request(
	    calls, request, header, AT_REASON_UNKNOWN_KEY, 0, "");
	return -1;
}

/*
 * Returns non-zero if the shutdown may cut the request, as it may last longer
 * than the grace period. At first, until the balancer has noticed, that counts
 * for requests only that nobody may send again once they were passed on: other
 * ones mostly end long before their limit.
 */
static int
may_be_cut(const at_calls_t *calls, const at_site_route_t *route,
    const at_request_header_t *header)
{
	at_entry_state_t state = *calls->deps.state;

	return (state == AT_ENTRY_LINGERING ||
		   (state == AT_ENTRY_DRAINING &&
		       route->type == AT_ROUTE_UNSAFE)) &&
	       call_limit_ms(route, header) >
		   calls->deps.left_ms(calls->deps.ctx);
}

static void
admit(at_calls_t *calls, at_site_t *site, at_httpd_request_t *request,
    held_request_t *held)
{
	const at_site_route_t *route;
	const at_site_workspace_t *workspace;
	at_request_header_t header;
	const char *fault = at_caller_parse_headers(request, &header);

	/* The request would not end before this process does. */
	if (*calls->deps.state == AT_ENTRY_STOPPING) {
		call_refuse_request(calls, request, &header, AT_REASON_STOPPING,
		    STOPPING_RETRY_MS, "");
		return;
	}
	if (site == NULL) {
		call_refuse_request(calls, request, &header,
		    AT_REASON_NO_CONFIG, NO_CONFIG_RETRY_MS, "");
		return;
	}
	route = at_site_find_route(site, header.host, at_httpd_target(request));
	if (route == NULL) {
		call_refuse_request(
		    calls, request, &header, AT_REASON_UNKNOWN_ROUTE, 0, "");
		return;
	}
	if (fault != NULL) {
		call_refuse_request(
		    calls, request, &header, AT_REASON_BAD_REQUEST, 0, fault);
		return;
	}
	if (authenticate(calls, site, request, &header, route, &workspace) != 0)
		return;
	if (header.has_deadline && header.deadline_ms == 0) {
		call_refuse_request(calls, request, &header, AT_REASON_OVERLOAD,
		    0, "error=no_time_left");
		return;
	}
	if (may_be_cut(calls, route, &header)) {
		call_refuse_request(calls, request, &header, AT_REASON_STOPPING,
		    STOPPING_RETRY_MS, "");
		return;
	}
	start_call(calls, site, request, &header, route, workspace, held);
}

void
call_admit(at_calls_t *calls, at_httpd_request_t *request, held_request_t *held)
{
	at_site_t *site =
	    *calls->deps.site == NULL ? NULL : at_site_ref(*calls->deps.site);

	admit(calls, site, request, held);
	at_site_unref(site);
}

void
at_call_handle(void *ctx, at_httpd_request_t *request)
{
	at_calls_t *calls = ctx;

	at_counters_add(calls->deps.counters, "requests_total", NULL, NULL, 1);
	call_admit(calls, request, NULL);
}
