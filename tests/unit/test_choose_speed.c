/*
 * Tests of the choice among backend servers of different speed, and of the
 * observations and reports that it rests on.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/fleet.h"

#define MS 1000u
#define S 1000000u
#define SLOTS 16u
#define ENGINES 9u
#define EVENT_US 40000u

static const at_fleet_secret_t secret = {.bytes = {1}};

static at_server_t *
add_server(at_fleet_t *fleet, const char *service, uint32_t number)
{
	at_server_entry_t entry = {.service = at_tag_from_text(service),
	    .data_centre = at_tag_from_text("north"),
	    .slots = SLOTS,
	    .started_ms = 1000,
	    .heartbeat_sequence = 1};
	char id[16];

	(void)snprintf(id, sizeof(id), "%s-%u", service, (unsigned)number);
	(void)at_name_set(&entry.id, id);
	entry.tag = at_tag_from_text(id);
	(void)at_name_set(&entry.residents.models[0].name, "m");
	entry.residents.models[0].tag = at_tag_from_text("m");
	entry.residents.count = 1;
	return at_fleet_update_server(fleet, &entry);
}

static at_fleet_t *
make_fleet(const char *service, at_server_t *servers[ENGINES], uint64_t seed)
{
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("north"), seed);
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);
	uint32_t i;

	llm->tag = at_tag_from_text("llm");
	llm->has_models = 1;
	llm->slots = SLOTS;
	llm->kv_tokens = 100000;
	at_site_add_service(site)->tag = at_tag_from_text("plain");
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	for (i = 0; i < ENGINES; i++)
		servers[i] = add_server(fleet, service, i);
	return fleet;
}

static at_work_t
make_work(const char *service, uint32_t prompt)
{
	int is_plain = strcmp(service, "plain") == 0;
	at_work_t work = {.service = at_tag_from_text(service),
	    .model = is_plain ? 0 : at_tag_from_text("m"),
	    .prompt_tokens = prompt,
	    .output_tokens = is_plain ? 0 : 100,
	    .event_gap_ms = is_plain ? 0 : 300};

	return work;
}

/* Streams at all engines, by the time of each, in percent. */
static void
observe(at_server_t *servers[ENGINES], const at_work_t *work,
    const uint32_t *percent, uint64_t begin_us, uint64_t end_us)
{
	uint64_t now_us;
	size_t i;

	for (now_us = begin_us; now_us < end_us; now_us += 200u * MS) {
		for (i = 0; i < ENGINES; i++) {
			if (work->model != 0)
				at_server_note_events(servers[i], work, 5,
				    EVENT_US * percent[i] / 100u, now_us);
			else
				at_server_note_completed(servers[i], work, 0,
				    EVENT_US * percent[i] / 100u, now_us);
		}
	}
}

static int
is_member(void *ctx, at_tag_t instance)
{
	(void)ctx;
	(void)instance;
	return 1;
}

static uint32_t
factor_of(const at_fleet_t *fleet, const at_server_t *server, uint64_t now_us)
{
	at_service_time_t time;

	at_service_times_get(at_fleet_service_times(fleet),
	    at_tag_from_text("llm"), at_server_entry(server)->tag,
	    at_tag_from_text("m"), now_us, &time);
	return time.factor_milli;
}

/*
 * Guards against observations that stay with one instance: they reach another
 * one of its data centre, and by a summary those of others, also of engines at
 * which no request is left. A new incarnation begins anew.
 */
Test(choose_speed, observations_are_reported)
{
	static const uint32_t percent[ENGINES] = {
	    100, 100, 100, 200, 100, 100, 100, 100, 100};
	at_server_t *seen[ENGINES];
	at_server_t *near[ENGINES];
	at_server_t *far[ENGINES];
	at_fleet_t *fleets[3] = {make_fleet("llm", seen, 1),
	    make_fleet("llm", near, 2), make_fleet("llm", far, 3)};
	at_load_report_t entries[ENGINES + 1];
	at_server_entry_t entry;
	at_work_t work = make_work("llm", 1000);
	size_t count;
	size_t i;

	observe(seen, &work, percent, S, 2u * S);
	count = at_fleet_fill_report(fleets[0], entries, ENGINES, 2u * S);
	cr_assert_eq(count, ENGINES);
	at_fleet_apply_report(fleets[1], 1, entries, count, 2u * S);
	cr_expect_gt(factor_of(fleets[1], near[3], 2u * S), 1500);
	cr_expect_lt(factor_of(fleets[1], near[2], 2u * S), 1001);
	count = at_fleet_sum_reports(
	    fleets[1], is_member, NULL, entries, ENGINES, 2u * S);
	cr_assert_eq(count, ENGINES);
	at_fleet_apply_report(fleets[2], 2, entries, count, 2u * S);
	cr_expect_gt(factor_of(fleets[2], far[3], 2u * S), 1500);
	cr_expect_eq(
	    at_fleet_fill_report(fleets[0], entries, ENGINES, 3u * S), 0);
	entry = *at_server_entry(far[3]);
	entry.started_ms++;
	(void)at_fleet_update_server(fleets[2], &entry);
	cr_expect_lt(factor_of(fleets[2], far[3], 4u * S), 1200,
	    "the speed of an earlier incarnation is kept");
	for (i = 0; i < 3; i++)
		at_fleet_delete(fleets[i]);
}

/*
 * Guards against a choice that changes where it need not: with equal engines
 * it is the same, request by request, as without any observation.
 */
Test(choose_speed, equal_engines_are_chosen_as_without_observations)
{
	static const uint32_t percent[ENGINES] = {
	    100, 102, 98, 103, 97, 100, 101, 99, 100};
	static const char *const services[] = {"llm", "plain"};
	size_t s;
	uint32_t i;

	for (s = 0; s < 2; s++) {
		at_server_t *known[ENGINES];
		at_server_t *unknown[ENGINES];
		at_fleet_t *a = make_fleet(services[s], known, 5);
		at_fleet_t *b = make_fleet(services[s], unknown, 5);
		at_work_t work = make_work(services[s], 1200);
		uint64_t now_us = 3u * S;

		observe(known, &work, percent, S, now_us);
		for (i = 0; i < 120; i++, now_us += 10u * MS) {
			at_choice_t one;
			at_choice_t other;

			cr_assert_eq(at_fleet_choose(a, &work, now_us, &one),
			    at_fleet_choose(b, &work, now_us, &other));
			if (one.server == NULL)
				break;
			cr_assert_eq(at_server_entry(one.server)->tag,
			    at_server_entry(other.server)->tag,
			    "%s: request %u", services[s], (unsigned)i);
			at_server_note_sent(one.server, &work, now_us);
			at_server_note_sent(other.server, &work, now_us);
			if (i % 3u == 0)
				continue;
			at_server_note_first_event(one.server, &work, 0, 0);
			at_server_note_first_event(other.server, &work, 0, 0);
		}
		cr_assert_gt(i, 20);
		at_fleet_delete(a);
		at_fleet_delete(b);
	}
}

/* Guards against a slow server of a plain service that gets as many requests.
 */
Test(choose_speed, a_slow_plain_server_gets_fewer_requests)
{
	static const uint32_t percent[ENGINES] = {
	    100, 300, 100, 100, 100, 100, 100, 100, 100};
	at_server_t *servers[ENGINES];
	at_fleet_t *fleet = make_fleet("plain", servers, 5);
	at_work_t work = make_work("plain", 0);
	uint32_t sent = 0;
	uint32_t slow = 0;
	at_choice_t choice;

	observe(servers, &work, percent, S, 5u * S);
	while (sent < 300) {
		cr_assert_eq(at_fleet_choose(fleet, &work, 5u * S, &choice),
		    AT_CHOICE_SERVER);
		at_server_note_sent(choice.server, &work, 5u * S);
		slow += choice.server == servers[1];
		sent++;
	}
	cr_expect_gt(slow, 0, "it gets none although the others are full");
	cr_expect_lt(slow, 20, "%u of 300", (unsigned)slow);
	at_fleet_delete(fleet);
}

/*
 * Replay: many instances, each of which sees few of the streams. An engine
 * makes an event for each of its streams in one step, and reads in it the
 * prompts that have arrived.
 */
#define INSTANCES 12u
#define STREAMS_MAX 400u
#define EVENTS 36u
#define REPORT_US (100u * MS)
#define PROMPT_TOKEN_US 34u
#define FIRST_EVENT_US (400u * MS)
#define GAP_US (300u * MS)
#define TICK_US (5u * MS)
#define WARM_US (4u * S) /* not counted */
#define END_US (20u * S)
#define STUCK_US (10u * S) /* when the engine that gets stuck does */
#define STUCK_FOR_US (4u * S)

typedef struct stream {
	at_server_t *server; /* NULL: free */
	uint32_t instance;
	uint32_t engine;
	uint32_t events;
	int is_late;
	at_work_t work;
	uint64_t sent_us;
	uint64_t first_us;
	at_event_gaps_t gaps;
} stream_t;

typedef struct replay {
	at_fleet_t *fleets[INSTANCES];
	at_server_t *servers[INSTANCES][ENGINES];
	stream_t streams[STREAMS_MAX];
	uint64_t step_begin_us[ENGINES];
	uint64_t step_end_us[ENGINES];
	uint64_t state;
	uint32_t done;
	uint32_t late;
	uint32_t sent[ENGINES];
	uint32_t stuck_sent; /* from 1 s after it got stuck to its end */
	uint32_t after_sent; /* from 3 s after that */
} replay_t;

typedef struct replay_case {
	const char *name;
	uint32_t percent[ENGINES]; /* of the usual time */
	int has_noise;
	uint32_t stuck; /* engine at a fifth of its speed for 4 s */
	uint32_t per_s;
	uint32_t late_max_percent;
} replay_case_t;

static uint32_t
draw(replay_t *replay, uint32_t below)
{
	replay->state =
	    replay->state * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)((replay->state >> 33) % below);
}

static uint64_t
step_us(const replay_t *replay, const replay_case_t *c, uint32_t engine,
    uint64_t now_us)
{
	uint64_t spell = (now_us / (600u * MS) * 31u + engine * 101u + 1u) *
			 0x9e3779b97f4a7c15u;
	uint64_t us = EVENT_US;
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		const stream_t *stream = &replay->streams[i];

		if (stream->server != NULL && stream->engine == engine &&
		    stream->events == 0)
			us += (uint64_t)stream->work.prompt_tokens *
			      PROMPT_TOKEN_US;
	}
	us = us * c->percent[engine] / 100u;
	if (c->has_noise && (spell >> 33) % 100u < 15)
		us = us * 5u / 2u;
	if (engine == c->stuck && now_us >= STUCK_US &&
	    now_us < STUCK_US + STUCK_FOR_US)
		us *= 5u;
	return us;
}

static void
end_stream(replay_t *replay, stream_t *stream, uint64_t now_us)
{
	at_server_note_completed(stream->server, &stream->work, EVENTS,
	    now_us - stream->first_us, now_us);
	at_fleet_note_ended(replay->fleets[stream->instance], stream->server,
	    &stream->work, 1, AT_OUTCOME_SUCCESS, now_us);
	stream->server = NULL;
	if (now_us < WARM_US)
		return;
	replay->done++;
	replay->late += (uint32_t)stream->is_late;
}

static void
make_event(replay_t *replay, stream_t *stream, uint64_t now_us)
{
	uint32_t usual_us = 0;
	uint32_t count;

	if (stream->events == 0) {
		at_server_note_first_event(stream->server, &stream->work, 1, 1);
		stream->first_us = now_us;
		stream->is_late = now_us - stream->sent_us > FIRST_EVENT_US;
	} else if (now_us - stream->gaps.last_us > GAP_US) {
		stream->is_late = 1;
	}
	count = at_event_gaps_add(&stream->gaps, now_us, &usual_us);
	at_server_note_events(
	    stream->server, &stream->work, count, usual_us, now_us);
	if (++stream->events == EVENTS)
		end_stream(replay, stream, now_us);
}

static void
run_engine(
    replay_t *replay, const replay_case_t *c, uint32_t engine, uint64_t now_us)
{
	size_t i;

	if (now_us < replay->step_end_us[engine])
		return;
	for (i = 0; i < STREAMS_MAX; i++) {
		stream_t *stream = &replay->streams[i];

		if (stream->server != NULL && stream->engine == engine &&
		    stream->sent_us <= replay->step_begin_us[engine])
			make_event(replay, stream, now_us);
	}
	replay->step_begin_us[engine] = now_us;
	replay->step_end_us[engine] =
	    now_us + step_us(replay, c, engine, now_us);
}

static void
send_stream(replay_t *replay, const replay_case_t *c, uint64_t now_us)
{
	uint32_t instance = draw(replay, INSTANCES);
	at_work_t work = make_work("llm", 300u + draw(replay, 2500));
	at_choice_t choice;
	stream_t *stream = replay->streams;
	uint32_t engine = 0;

	while (stream->server != NULL)
		stream++;
	if (at_fleet_choose(replay->fleets[instance], &work, now_us, &choice) !=
	    AT_CHOICE_SERVER)
		return;
	while (replay->servers[instance][engine] != choice.server)
		engine++;
	memset(stream, 0, sizeof(*stream));
	stream->server = choice.server;
	stream->instance = instance;
	stream->engine = engine;
	stream->work = work;
	stream->sent_us = now_us;
	at_server_note_sent(choice.server, &work, now_us);
	replay->sent[engine]++;
	if (engine == c->stuck && now_us >= STUCK_US + S &&
	    now_us < STUCK_US + STUCK_FOR_US)
		replay->stuck_sent++;
	if (engine == c->stuck && now_us >= STUCK_US + STUCK_FOR_US + 3u * S)
		replay->after_sent++;
}

static void
exchange_reports(replay_t *replay, uint64_t now_us)
{
	at_load_report_t entries[ENGINES];
	uint32_t from;
	uint32_t to;

	for (from = 0; from < INSTANCES; from++) {
		size_t count = at_fleet_fill_report(
		    replay->fleets[from], entries, ENGINES, now_us);

		for (to = 0; to < INSTANCES; to++) {
			if (to != from)
				at_fleet_apply_report(replay->fleets[to],
				    from + 1u, entries, count, now_us);
		}
	}
}

static void
run(replay_t *replay, const replay_case_t *c)
{
	uint64_t now_us;
	uint32_t i;

	memset(replay->streams, 0, sizeof(replay->streams));
	memset(replay->step_begin_us, 0, sizeof(replay->step_begin_us));
	memset(replay->step_end_us, 0, sizeof(replay->step_end_us));
	for (i = 0; i < INSTANCES; i++)
		replay->fleets[i] = make_fleet(
		    "llm", replay->servers[i], replay->state + i + 1u);
	for (now_us = S; now_us < END_US; now_us += TICK_US) {
		for (i = 0; i < ENGINES; i++)
			run_engine(replay, c, i, now_us);
		if (draw(replay, 1000000u / TICK_US) < c->per_s)
			send_stream(replay, c, now_us);
		if (now_us % REPORT_US == 0)
			exchange_reports(replay, now_us);
	}
	for (i = 0; i < INSTANCES; i++)
		at_fleet_delete(replay->fleets[i]);
}

#define NO_ENGINE ENGINES
#define RUNS 10u
static const replay_case_t replay_cases[] = {
    {"all engines equal", {100, 100, 100, 100, 100, 100, 100, 100, 100}, 0,
	NO_ENGINE, 40, 1},
    {"a third is slower, with noise", {70, 70, 170, 70, 70, 170, 70, 70, 170},
	1, NO_ENGINE, 25, 6},
    {"the same, more requests", {70, 70, 170, 70, 70, 170, 70, 70, 170}, 1,
	NO_ENGINE, 40, 15},
    {"one falls to a fifth for 4 s",
	{100, 100, 100, 100, 100, 100, 100, 100, 100}, 0, 4, 30, 2},
    {"one is faster", {100, 100, 100, 60, 100, 100, 100, 100, 100}, 0,
	NO_ENGINE, 60, 8},
};

/*
 * Guards against pauses in the streams at slow engines, against one that has
 * become slow and still gets requests a second later or none at all after it
 * has recovered, and against a fast one that all instances send theirs to.
 */
Test(choose_speed, streams_are_late_at_slow_engines)
{
	static replay_t replay;
	size_t i;

	for (i = 0; i < sizeof(replay_cases) / sizeof(replay_cases[0]); i++) {
		const replay_case_t *c = &replay_cases[i];
		uint32_t most = 0;
		uint32_t e;

		memset(&replay, 0, sizeof(replay));
		/* The random numbers go on from one run to the next. */
		for (e = 0; e < RUNS; e++)
			run(&replay, c);
		for (e = 0; e < ENGINES; e++)
			most = replay.sent[e] > most ? replay.sent[e] : most;
		cr_expect_leq(replay.late * 100u,
		    c->late_max_percent * replay.done, "%s: %u of %u late",
		    c->name, (unsigned)replay.late, (unsigned)replay.done);
		cr_expect_leq(most * 4u, replay.done,
		    "%s: one engine got %u requests", c->name, (unsigned)most);
		if (c->stuck == NO_ENGINE)
			continue;
		cr_expect_leq(replay.stuck_sent, 2u * RUNS, "%s: it got %u",
		    c->name, (unsigned)replay.stuck_sent);
		cr_expect_geq(replay.after_sent, 3u * RUNS,
		    "%s: after that it got %u", c->name,
		    (unsigned)replay.after_sent);
	}
}
