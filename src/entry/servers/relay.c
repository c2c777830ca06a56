#include "entry/servers/relay.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "almondthread/log.h"
#include "entry/servers/relay_impl.h"
#include "io/clock.h"
#include "platform/caller.h"

#define URL_SIZE 128 /* bytes of "http://" and an address */
#define CONNECT_TIMEOUT_MS 600u
#define CLOSED_CHECK_MS 50u /* until a closed connection is noticed */
#define US_PER_MS 1000u
/* Largest request body until a configuration is applied. */
#define DEFAULT_BODY_MAX_BYTES (4u << 20)

/* One attempt that is passed on. */
typedef struct relayed {
	at_relay_t *relay;
	struct relayed *next;
	struct relayed *prev;
	at_httpd_request_t *request; /* of the other instance */
	at_transfer_t *transfer;     /* NULL: ended */
	at_name_t server;
	at_tag_t server_tag;
	const char *request_id; /* of the request, or NULL */
	int is_probe;
	int is_started; /* the response has begun */
	int is_paused;
	uint64_t started_us;
} relayed_t;

struct at_relay {
	at_relay_deps_t deps;
	at_httpd_t *httpd;
	relayed_t *list;
	size_t count;
};

static void
delete_relayed(relayed_t *relayed)
{
	at_relay_t *relay = relayed->relay;

	if (relayed->transfer != NULL)
		at_transfer_cancel(relayed->transfer);
	if (relayed->prev != NULL)
		relayed->prev->next = relayed->next;
	else
		relay->list = relayed->next;
	if (relayed->next != NULL)
		relayed->next->prev = relayed->prev;
	relay->count--;
	free(relayed);
}

static void
reply(
    at_relay_t *relay, at_httpd_request_t *request, at_relay_outcome_t outcome)
{
	const at_header_t headers[] = {
	    {RELAY_HEADER, at_relay_outcome_names[outcome]}, {NULL, NULL}};

	at_counters_add(relay->deps.counters, "relayed_total", "outcome",
	    at_relay_outcome_names[outcome], 1);
	at_httpd_reply(
	    request, outcome == AT_RELAY_REACHED ? 200 : 503, headers, "", 0);
}

/*
 * The server's own headers, and the one that marks its response. A header of
 * that name from the server would be taken for this instance's statement.
 */
static at_header_t *
add_outcome(at_response_headers_t *headers)
{
	at_header_t *all = calloc(headers->count + 2, sizeof(*all));
	size_t count = 0;
	size_t i;

	if (all == NULL)
		return NULL;
	for (i = 0; i < headers->count; i++) {
		if (strcasecmp(headers->entries[i].name, RELAY_HEADER) != 0)
			all[count++] = headers->entries[i];
	}
	all[count] = (at_header_t){
	    RELAY_HEADER, at_relay_outcome_names[AT_RELAY_PASSED]};
	return all;
}

/* What a server states in an answer holds for this machine, too. */
static void
take_notices(const relayed_t *relayed, const at_server_response_t *response)
{
	const at_relay_deps_t *deps = &relayed->relay->deps;
	at_server_t *server = at_fleet_find(deps->fleet, relayed->server_tag);

	if (server == NULL)
		return;
	at_server_notices_limit(
	    deps->notices, server, response->limit_milli, relayed->started_us);
	at_server_notices_brittle(deps->notices, server, response->is_brittle,
	    0, relayed->started_us);
	if (response->has_cold)
		at_server_notices_cold(deps->notices, server, response->cold_ms,
		    relayed->started_us);
	if (response->is_leaving)
		at_server_notices_leaving(deps->notices, server);
	if (response->pause_ms != 0)
		at_server_note_pause(
		    server, at_clock_now_us() +
				(uint64_t)response->pause_ms * US_PER_MS);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	relayed_t *relayed = ctx;
	const at_relay_deps_t *deps = &relayed->relay->deps;
	at_response_headers_t headers = {0};
	at_server_response_t response;
	at_header_t *all;

	at_reach_note_received(
	    at_reach_io_state(deps->reach), at_clock_now_us());
	at_server_response_read(
	    transfer, status, relayed->request_id, &response);
	take_notices(relayed, &response);
	/* The other instance cannot know which connection it came on. */
	if (response.is_not_run && !response.names_request &&
	    !at_transfer_is_on_new_connection(transfer)) {
		at_log(AT_LOG_WARN, "relay", relayed->request_id,
		    "response rejected; it is an earlier refusal server=%s",
		    relayed->server.text);
		relayed->is_started = 1;
		at_httpd_stream_abort(relayed->request);
		return;
	}
	at_response_headers_read(transfer, &headers);
	all = headers.failed ? NULL : add_outcome(&headers);
	relayed->is_started = 1;
	if (all != NULL)
		at_httpd_stream_begin(relayed->request, status, all);
	else
		at_httpd_stream_abort(relayed->request);
	free(all);
	at_response_headers_free(&headers);
	at_counters_add(deps->counters, "relayed_total", "outcome",
	    at_relay_outcome_names[AT_RELAY_PASSED], 1);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	relayed_t *relayed = ctx;

	at_reach_note_received(
	    at_reach_io_state(relayed->relay->deps.reach), at_clock_now_us());
	relayed->is_paused = at_httpd_stream_write(relayed->request, data, len);
	return relayed->is_paused;
}

static at_relay_outcome_t
outcome_of(const relayed_t *relayed, const at_transfer_result_t *result)
{
	if (result->is_complete)
		return relayed->is_probe ? AT_RELAY_REACHED : AT_RELAY_PASSED;
	if (result->is_connection_refused)
		return AT_RELAY_CONNECTION_REFUSED;
	return result->verdict == AT_VERDICT_NOT_RUN ? AT_RELAY_UNREACHABLE
						     : AT_RELAY_LOST;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	relayed_t *relayed = ctx;
	const at_relay_deps_t *deps = &relayed->relay->deps;
	at_relay_outcome_t outcome = outcome_of(relayed, result);

	relayed->transfer = NULL;
	if (outcome == AT_RELAY_UNREACHABLE ||
	    outcome == AT_RELAY_CONNECTION_REFUSED)
		at_reach_io_note_failed(deps->reach);
	if (!result->is_complete)
		at_log(AT_LOG_INFO, "relay", NULL,
		    "relayed attempt failed server=%s outcome=%s reason=%s "
		    "began=%d",
		    relayed->server.text, at_relay_outcome_names[outcome],
		    at_reason_names[result->reason], relayed->is_started);
	if (!relayed->is_started)
		reply(relayed->relay, relayed->request, outcome);
	else if (result->is_complete)
		at_httpd_stream_end(relayed->request);
	else
		at_httpd_stream_fail(relayed->request);
}

static void
on_request_end(void *ctx, int closed)
{
	relayed_t *relayed = ctx;

	(void)closed;
	delete_relayed(relayed);
}

static void
on_closed(void *ctx)
{
	relayed_t *relayed = ctx;

	if (relayed->transfer != NULL)
		at_transfer_cancel(relayed->transfer);
	relayed->transfer = NULL;
}

static void
on_drain(void *ctx)
{
	relayed_t *relayed = ctx;

	relayed->is_paused = 0;
	if (relayed->transfer != NULL)
		at_transfer_resume(relayed->transfer);
}

static int
start_transfer(relayed_t *relayed, const at_relay_call_t *call,
    const at_server_entry_t *server)
{
	char url[URL_SIZE];
	at_header_lines_t lines = {0};
	const at_transfer_spec_t spec = {.method = call->method,
	    .url = url,
	    .target = call->target,
	    .shared_body = at_httpd_shared_body(relayed->request),
	    .connect_ms = CONNECT_TIMEOUT_MS,
	    .connect_only = call->is_probe,
	    .new_connection = call->new_connection || call->is_probe,
	    .forbid_resend = 1};
	at_transfer_spec_t with_headers = spec;
	const at_transfer_events_t events = {.on_headers = on_headers,
	    .on_data = on_data,
	    .on_done = on_done,
	    .ctx = relayed};

	(void)snprintf(url, sizeof(url), "http://%s/", server->address);
	at_server_call_copy_relayed(relayed->request, RELAY_HEADER, &lines);
	with_headers.headers = (const char *const *)lines.lines;
	if (!lines.failed)
		relayed->transfer = at_httpc_start(
		    relayed->relay->deps.httpc, &with_headers, &events);
	at_header_lines_free(&lines);
	return relayed->transfer == NULL ? -1 : 0;
}

/* Returns the server that the call may be passed on to, or NULL. */
static at_server_t *
find_server(const at_relay_t *relay, const at_relay_call_t *call)
{
	const at_relay_deps_t *deps = &relay->deps;
	at_server_t *server =
	    at_fleet_find(deps->fleet, at_tag_from_text(call->server_id));

	if (*deps->state >= AT_ENTRY_LINGERING ||
	    at_reach_io_reaches_none(deps->reach) ||
	    relay->count >= AT_ROSTER_RELAYED_MAX || server == NULL ||
	    !at_httpc_has_room(deps->httpc) ||
	    !at_server_accepts_relayed(server, at_clock_now_us()))
		return NULL;
	/* A probe only connects. */
	if (!call->is_probe &&
	    !at_server_take_relayed(server, at_clock_now_us())) {
		at_counters_add(
		    deps->counters, "cold_relays_refused_total", NULL, NULL, 1);
		at_log(AT_LOG_INFO, "relay", call->request_id,
		    "attempt not passed on; the engine is cold server=%s "
		    "remaining_ms=%u own_requests_per_s=%u.%03u",
		    call->server_id,
		    at_server_cold_ms(server, at_clock_now_us()),
		    at_server_cold_share_milli(server) / 1000u,
		    at_server_cold_share_milli(server) % 1000u);
		return NULL;
	}
	return server;
}

static relayed_t *
add_relayed(at_relay_t *relay, at_httpd_request_t *request,
    const at_relay_call_t *call, const at_server_entry_t *server)
{
	relayed_t *relayed = calloc(1, sizeof(*relayed));

	if (relayed == NULL)
		return NULL;
	relayed->relay = relay;
	relayed->request = request;
	relayed->server = server->id;
	relayed->server_tag = server->tag;
	relayed->request_id = call->request_id;
	relayed->is_probe = call->is_probe;
	relayed->started_us = at_clock_now_us();
	relayed->next = relay->list;
	if (relayed->next != NULL)
		relayed->next->prev = relayed;
	relay->list = relayed;
	relay->count++;
	at_httpd_set_end_handler(request, on_request_end, relayed);
	at_httpd_set_caller_closed_handler(request, on_closed);
	at_httpd_set_drain_handler(request, on_drain);
	return relayed;
}

static void
handle(void *ctx, at_httpd_request_t *request)
{
	at_relay_t *relay = ctx;
	at_relay_call_t call = {.method = at_httpd_method(request),
	    .target = at_httpd_target(request)};
	char server_id[AT_NAME_SIZE];
	at_request_header_t header;
	const at_server_t *server;
	relayed_t *relayed = NULL;

	(void)at_caller_parse_headers(request, &header);
	call.request_id = header.id;
	call.body = at_httpd_body(request, &call.body_len);
	if (relay_parse_header(relay->deps.identity,
		at_httpd_header(request, RELAY_HEADER), &call,
		server_id) != 0) {
		at_counters_add(relay->deps.counters, "relayed_total",
		    "outcome", "rejected", 1);
		at_httpd_reply(request, 403, NULL, "", 0);
		return;
	}
	server = find_server(relay, &call);
	if (server != NULL)
		relayed =
		    add_relayed(relay, request, &call, at_server_entry(server));
	if (relayed == NULL ||
	    start_transfer(relayed, &call, at_server_entry(server)) != 0)
		reply(relay, request, AT_RELAY_REFUSED);
}

/* The other instance sends what found no memory here another way. */
static void
handle_fault(void *ctx, at_httpd_request_t *request)
{
	at_relay_t *relay = ctx;

	if (at_httpd_fault(request) == AT_HTTPD_NO_MEMORY)
		reply(relay, request, AT_RELAY_REFUSED);
	else
		at_httpd_reply(request,
		    at_reason_status(at_httpd_fault_reason(request)), NULL, "",
		    0);
}

at_relay_t *
at_relay_new(const at_relay_deps_t *deps)
{
	at_relay_t *relay = calloc(1, sizeof(*relay));

	if (relay == NULL)
		return NULL;
	relay->deps = *deps;
	relay->httpd = at_httpd_new(deps->loop);
	if (relay->httpd == NULL) {
		free(relay);
		return NULL;
	}
	at_httpd_set_handler(relay->httpd, handle, relay);
	at_httpd_set_fault_handler(relay->httpd, handle_fault, relay);
	at_process_guard_add(deps->guard, relay->httpd, AT_GUARD_PEERS);
	at_httpd_set_max_body(relay->httpd, DEFAULT_BODY_MAX_BYTES);
	at_httpd_set_closed_check(relay->httpd, CLOSED_CHECK_MS);
	return relay;
}

at_code_t
at_relay_init(at_relay_t *relay, at_status_t *status)
{
	return at_httpd_init(relay->httpd, relay->deps.settings->peers, status);
}

void
at_relay_delete(at_relay_t *relay)
{
	if (relay == NULL)
		return;
	/* Ends the requests, which frees the attempts. */
	at_httpd_delete(relay->httpd);
	free(relay);
}

void
at_relay_set_max_body(at_relay_t *relay, size_t bytes)
{
	at_httpd_set_max_body(relay->httpd, bytes);
}

size_t
at_relay_open(const at_relay_t *relay)
{
	return relay->count;
}

void
at_relay_abandon(at_relay_t *relay)
{
	relayed_t *relayed;

	for (relayed = relay->list; relayed != NULL; relayed = relayed->next) {
		on_closed(relayed);
		if (relayed->is_started)
			at_httpd_stream_fail(relayed->request);
		else
			at_httpd_stream_abort(relayed->request);
	}
}

static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	const at_relay_t *relay = ctx;

	(void)is_to_all;
	if (!at_report_is_regular(kind))
		return;
	/* The last states of a shutdown take no more. */
	report->relayed = *relay->deps.state >= AT_ENTRY_LINGERING
			      ? AT_ROSTER_RELAYED_MAX
			      : (uint32_t)relay->count;
}

at_report_section_t
at_relay_section(at_relay_t *relay)
{
	return (at_report_section_t){.fill = fill, .ctx = relay};
}
