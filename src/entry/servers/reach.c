#include "entry/servers/reach.h"

#include <stdio.h>
#include <stdlib.h>

#include "almondthread/log.h"
#include "io/clock.h"

#define TICK_S 0.05
#define PROBE_CONNECT_MS 400u
#define URL_SIZE 128 /* bytes of "http://" and an address */
#define US_PER_MS 1000u
/* Another instance reaches nothing; older own evidence is renewed for it. */
#define EVIDENCE_MAX_US 100000u

struct at_reach_io {
	at_reach_io_deps_t deps;
	at_reach_t reach;
	at_reach_state_t logged_state;
	at_transfer_t *probes[AT_REACH_PROBES_MAX];
	struct probe {
		at_reach_io_t *io;
		size_t index;
	} contexts[AT_REACH_PROBES_MAX];
	size_t open_probes;
	ev_timer timer;
};

static int
is_failing(at_reach_state_t state)
{
	return state == AT_REACH_UNSURE || state == AT_REACH_NONE;
}

/* Failures while no server is reached are not those of the servers. */
static void
on_state_changed(at_reach_io_t *io)
{
	const at_reach_io_deps_t *deps = &io->deps;
	at_reach_state_t state = io->reach.state;
	at_reach_state_t previous = io->logged_state;

	if (state == previous)
		return;
	io->logged_state = state;
	/* A failure of one server leads to a short doubt. */
	if (state != AT_REACH_UNSURE && previous != AT_REACH_UNSURE)
		at_log(AT_LOG_WARN, "reach", NULL,
		    "backend servers reached state=%s previous=%s",
		    at_reach_state_names[state],
		    at_reach_state_names[previous]);
	at_counters_set(deps->counters, "reaches_no_server", NULL, NULL,
	    state == AT_REACH_NONE);
	if (state != AT_REACH_NONE)
		return;
	at_log(AT_LOG_WARN, "reach", NULL,
	    "no backend server is reached; other instances pass attempts on "
	    "probes_failed=%u servers=%zu",
	    io->reach.round_failed, at_fleet_count(deps->fleet));
	at_fleet_forget_failures(deps->fleet);
	at_gossip_send_soon(deps->gossip);
	deps->on_reaches_none(deps->ctx);
}

static void
end_round_if_done(at_reach_io_t *io)
{
	if (io->open_probes > 0)
		return;
	at_reach_end_round(&io->reach, at_clock_now_us());
	on_state_changed(io);
}

static void
on_probe_done(void *ctx, const at_transfer_result_t *result)
{
	const struct probe *probe = ctx;
	at_reach_io_t *io = probe->io;

	io->probes[probe->index] = NULL;
	io->open_probes--;
	if (result->is_complete)
		at_reach_note_connected(&io->reach, at_clock_now_us());
	else
		at_reach_note_failed(&io->reach, at_clock_now_us());
	on_state_changed(io);
	end_round_if_done(io);
}

static void
start_round(at_reach_io_t *io)
{
	const at_server_entry_t *servers[AT_REACH_PROBES_MAX];
	size_t count =
	    at_fleet_pick_probes(io->deps.fleet, servers, AT_REACH_PROBES_MAX);
	char url[URL_SIZE];
	const at_transfer_spec_t spec = {.method = "GET",
	    .url = url,
	    .connect_ms = PROBE_CONNECT_MS,
	    .connect_only = 1,
	    .new_connection = 1};
	size_t i;

	at_reach_begin_round(&io->reach, at_clock_now_us());
	for (i = 0; i < count; i++) {
		const at_transfer_events_t events = {
		    .on_done = on_probe_done, .ctx = &io->contexts[i]};

		(void)snprintf(
		    url, sizeof(url), "http://%s/", servers[i]->address);
		io->probes[i] = at_httpc_start(io->deps.httpc, &spec, &events);
		io->open_probes += io->probes[i] != NULL;
	}
	at_counters_add(
	    io->deps.counters, "reach_probes_total", NULL, NULL, count);
	end_round_if_done(io);
}

static void
check(at_reach_io_t *io)
{
	if (at_reach_tick(&io->reach, at_clock_now_us()) &&
	    at_fleet_count(io->deps.fleet) > 0)
		start_round(io);
	on_state_changed(io);
}

static void
on_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	(void)loop;
	(void)events;
	check(timer->data);
}

at_reach_io_t *
at_reach_io_new(const at_reach_io_deps_t *deps)
{
	at_reach_io_t *io = calloc(1, sizeof(*io));
	size_t i;

	if (io == NULL)
		return NULL;
	io->deps = *deps;
	for (i = 0; i < AT_REACH_PROBES_MAX; i++) {
		io->contexts[i].io = io;
		io->contexts[i].index = i;
	}
	ev_timer_init(&io->timer, on_timer, TICK_S, TICK_S);
	io->timer.data = io;
	return io;
}

void
at_reach_io_start(at_reach_io_t *io)
{
	ev_timer_start(io->deps.loop, &io->timer);
}

void
at_reach_io_delete(at_reach_io_t *io)
{
	size_t i;

	if (io == NULL)
		return;
	ev_timer_stop(io->deps.loop, &io->timer);
	for (i = 0; i < AT_REACH_PROBES_MAX; i++) {
		if (io->probes[i] != NULL)
			at_transfer_cancel(io->probes[i]);
	}
	free(io);
}

at_reach_t *
at_reach_io_state(at_reach_io_t *io)
{
	return &io->reach;
}

void
at_reach_io_note_failed(at_reach_io_t *io)
{
	at_reach_note_failed(&io->reach, at_clock_now_us());
	check(io);
}

void
at_reach_io_doubt(at_reach_io_t *io)
{
	at_reach_note_doubt(&io->reach, at_clock_now_us());
	check(io);
}

int
at_reach_io_is_up(const at_reach_io_t *io)
{
	return !is_failing(io->reach.state);
}

int
at_reach_io_reaches_none(const at_reach_io_t *io)
{
	return io->reach.state == AT_REACH_NONE;
}

/* Reports */

static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	const at_reach_io_t *io = ctx;
	uint64_t evidence_us = at_reach_evidence_us(&io->reach);
	uint64_t age_ms = (at_clock_now_us() - evidence_us) / US_PER_MS;

	(void)is_to_all;
	if (!at_report_is_regular(kind))
		return;
	report->reaches_none = at_reach_io_reaches_none(io);
	if (evidence_us != 0 && age_ms < UINT32_MAX)
		report->evidence_age_ms = (uint32_t)age_ms + 1u;
}

static void
apply(void *ctx, at_roster_member_t *member, const Report *report)
{
	at_reach_io_t *io = ctx;
	uint64_t now_us = at_clock_now_us();
	uint64_t age_us = (uint64_t)report->evidence_age_ms * US_PER_MS;

	if (!report->has_loads && !report->has_state)
		return;
	if (report->evidence_age_ms != 0 && age_us < now_us)
		member->evidence_us = now_us - age_us;
	/* It needs to know whether others reach the servers. */
	if (report->reaches_none && !member->reaches_none &&
	    now_us > at_reach_evidence_us(&io->reach) + EVIDENCE_MAX_US)
		at_reach_io_doubt(io);
	member->reaches_none = report->reaches_none;
}

at_report_section_t
at_reach_io_section(at_reach_io_t *io)
{
	return (at_report_section_t){.fill = fill, .apply = apply, .ctx = io};
}

/* Attempts */

static void
notify(void *ctx, const at_attempt_event_t *event)
{
	at_reach_io_t *io = ctx;

	if (!event->is_direct)
		return;
	switch (event->kind) {
	case AT_ATTEMPT_EVENT_SENT:
		at_reach_note_sent(&io->reach, event->sent_us);
		break;
	case AT_ATTEMPT_EVENT_CONNECTED:
		at_reach_note_connected(&io->reach, at_clock_now_us());
		break;
	case AT_ATTEMPT_EVENT_RECEIVED:
		at_reach_note_received(&io->reach, at_clock_now_us());
		break;
	case AT_ATTEMPT_EVENT_LOST:
		if (event->result->reason == AT_REASON_CONNECT_FAILED)
			at_reach_io_note_failed(io);
		break;
	case AT_ATTEMPT_EVENT_ENDED:
		at_reach_note_ended(&io->reach);
		break;
	default:
		break;
	}
}

at_attempt_observer_t
at_reach_io_observer(at_reach_io_t *io)
{
	return (at_attempt_observer_t){notify, io};
}
