/*
 * Cold engines: until when one is, and what many instances together send it.
 *
 * The replays have 64 instances in three data centres, whose reports are 100
 * to 200 ms old, and 140 engines. Those of "north" return cold at 0 ms. The
 * bound is that of the requirement: in any second cold_per_s x 1.5 + 5.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/fleet.h"
#include "almondthread/roster.h"

#define MS 1000u /* microseconds in a millisecond */
#define INSTANCES 64u
#define ENGINES 140u
#define COLD_ENGINES 47u /* the first ones, all of "north" */
#define SLOTS 8u
#define COLD_MS 3000u
#define COLD_PER_S 7.
#define BOUND 15u         /* COLD_PER_S x 1.5 + 5, rounded down */
#define USUAL_PER_S 3.3   /* requests at one engine */
#define STREAM_MS 1000u   /* of one request */
#define REPORT_MS 100u    /* between reports, and their age on arrival */
#define TOLD_MS 50u       /* until a notice has reached all instances */
#define ANSWER_MS 100u    /* until the headers of a response */
#define SETTLING_MS 3000u /* before the engines return */
#define START_MS 10000u   /* when the engines return */
#define END_MS (START_MS + COLD_MS)

static const at_fleet_secret_t secret = {.bytes = {1}};
static const char *const centres[] = {"north", "south", "east"};

static at_fleet_t *
make_fleet(const char *data_centre, uint64_t seed, double cold_per_s)
{
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text(data_centre), seed);

	llm->tag = at_tag_from_text("llm");
	llm->slots = SLOTS;
	llm->has_models = 1;
	llm->kv_tokens = 1000000;
	llm->cold_start_ms = COLD_MS;
	llm->cold_milli = (uint32_t)(cold_per_s * 1000.);
	at_fleet_set_cold_bound(fleet, 1.5, 5.);
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	return fleet;
}

static at_server_entry_t
make_entry(uint32_t engine)
{
	at_server_entry_t entry = {.tag = engine + 1,
	    .service = at_tag_from_text("llm"),
	    .data_centre = at_tag_from_text(centres[engine / COLD_ENGINES]),
	    .slots = SLOTS,
	    .started_ms = 1000,
	    .heartbeat_sequence = 1,
	    .has_warmup = 1,
	    .residents.count = 1};

	entry.residents.models[0].tag = at_tag_from_text("m");
	return entry;
}

/* How an engine becomes cold, and what the next heartbeats state (-1: no). */
enum {
	NOTHING,
	ANSWER,
	OLD_ANSWER,
	MAYBE_COLD,
	REPORT,
	BORN,
	UNREACHABLE,
	REACHED_NONE
};
typedef struct note {
	int kind; /* NOTHING: an entry only */
	uint32_t at_ms;
	int value_ms; /* of an answer or report, or of a heartbeat's entry */
} note_t;

static const struct {
	const char *name;
	uint64_t listed_ms; /* the first entry; started_ms is 1000 */
	int first_ms;       /* it states; -1: nothing */
	note_t notes[2];
	uint32_t until_ms; /* it is cold */
} times[] = {
    {"entry", 0, 2000, {{0}}, 2000},
    {"entry that is warm, of a start that is new here", 0, 0, {{0}}, 0},
    {"start, without a statement", 0, -1, {{0}}, COLD_MS},
    {"start long ago by both clocks", 60000, -1, {{0}}, 0},
    {"start within the difference of clocks", 9000, -1, {{0}}, COLD_MS},
    {"later entry ends it", 0, 2000, {{NOTHING, 500, 0}}, 500},
    {"later entry without a statement", 0, 2000, {{NOTHING, 500, -1}}, 2000},
    {"cold again by an entry", 0, 0, {{NOTHING, 500, 1000}}, 1500},
    {"cold again by an answer", 0, 0, {{ANSWER, 500, 800}}, 1300},
    {"an entry that may be older than the answer", 0, 0,
	{{ANSWER, 500, 800}, {NOTHING, 600, 0}}, 1300},
    {"a newer answer ends it", 0, 0, {{ANSWER, 500, 800}, {ANSWER, 700, 0}},
	700},
    {"an answer that was begun before", 0, 0,
	{{ANSWER, 500, 800}, {OLD_ANSWER, 700, 0}}, 1300},
    {"evacuation taken back", 0, 0, {{MAYBE_COLD, 500, 0}}, 500 + COLD_MS},
    {"a later heartbeat says otherwise", 0, 0,
	{{MAYBE_COLD, 500, 0}, {NOTHING, 900, 0}}, 900},
    {"a report of another instance", 0, 0, {{REPORT, 500, 1000}}, 1500},
    {"a report that is passed on and ages", 0, 0,
	{{REPORT, 500, 1000}, {REPORT, 1400, 200}}, 1500},
    {"no connection", 0, 0, {{UNREACHABLE, 500, 0}}, 500 + COLD_MS},
    {"no connection for reasons of this instance", 0, 0,
	{{UNREACHABLE, 500, 0}, {REACHED_NONE, 900, 0}}, 900},
    {"a new incarnation", 0, 0, {{BORN, 500, -1}}, 500 + COLD_MS},
};

static void
take_note(at_fleet_t *fleet, const note_t *note, at_server_entry_t *entry)
{
	at_server_t *server = at_fleet_find(fleet, entry->tag);
	uint64_t now_us = (uint64_t)note->at_ms * MS;
	const at_cold_report_t report = {entry->tag, entry->started_ms,
	    (uint32_t)note->value_ms, now_us - 10u * MS};

	if (note->at_ms == 0)
		return;
	if (note->kind == ANSWER || note->kind == OLD_ANSWER)
		(void)at_server_note_cold(server, (uint32_t)note->value_ms,
		    note->kind == ANSWER ? now_us : now_us - 300u * MS, now_us);
	else if (note->kind == MAYBE_COLD)
		at_fleet_note_maybe_cold(fleet, entry->data_centre, now_us);
	else if (note->kind == UNREACHABLE)
		at_fleet_apply_unreachable(fleet, entry->tag, now_us);
	else if (note->kind == REACHED_NONE)
		at_fleet_forget_failures(fleet);
	else if (note->kind == REPORT)
		(void)at_fleet_apply_cold(fleet, &report, now_us);
	else {
		entry->heartbeat_sequence++;
		entry->started_ms += note->kind == BORN;
		entry->has_warmup = note->value_ms >= 0;
		entry->warmup_ms = (uint32_t)note->value_ms;
		(void)at_fleet_update_server(fleet, entry);
	}
}

/* An engine that was not known to be cold would get all that arrives. */
Test(cold_engines, the_newest_statement_counts)
{
	size_t i;
	uint32_t ms;

	for (i = 0; i < sizeof(times) / sizeof(times[0]); i++) {
		at_fleet_t *fleet = make_fleet("north", 1, COLD_PER_S);
		at_server_entry_t entry = make_entry(0);
		at_server_t *server;
		int is_cold;

		entry.listed_ms = times[i].listed_ms;
		entry.has_warmup = times[i].first_ms >= 0;
		entry.warmup_ms = (uint32_t)times[i].first_ms;
		server = at_fleet_update_server(fleet, &entry);
		for (ms = 0; ms < 4000; ms += 10) {
			if (ms == times[i].notes[0].at_ms)
				take_note(fleet, &times[i].notes[0], &entry);
			if (ms == times[i].notes[1].at_ms)
				take_note(fleet, &times[i].notes[1], &entry);
			is_cold = at_server_is_cold(server, (uint64_t)ms * MS);
			/* Before its first note it may be warm. */
			if (ms >= times[i].notes[0].at_ms)
				cr_assert_eq(is_cold, ms < times[i].until_ms,
				    "%s at %u ms", times[i].name, ms);
		}
		at_fleet_delete(fleet);
	}
}

/* One instance and others that report every 100 ms. */
static const struct {
	const char *name;
	const char *data_centre; /* of the instance; the engine is in "north" */
	uint32_t north;          /* others there */
	uint32_t south;
	uint32_t reports_until_ms;
	uint32_t rounds_until_ms;
	int is_sending;
	uint32_t at_ms;
	int may_send;
} parts[] = {
    {"alone", "north", 0, 0, 9000, 9000, 1, 3000, 1},
    {"with another one", "north", 1, 1, 9000, 9000, 1, 3000, 1},
    {"just started", "north", 1, 1, 9000, 9000, 1, 1400, 0},
    {"others known, and none heard", "north", 1, 0, 0, 9000, 1, 3000, 0},
    {"just cut off", "north", 1, 0, 3000, 9000, 1, 3300, 1},
    {"cut off", "north", 1, 1, 3000, 9000, 1, 4600, 0},
    {"cut off, and the others removed", "north", 1, 1, 3000, 90000, 1, 70000,
	0},
    {"did not run", "north", 1, 0, 3000, 3000, 1, 4100, 0},
    {"runs again", "north", 1, 0, 9000, 3000, 1, 8000, 0},
    {"stops", "north", 1, 0, 9000, 9000, 0, 3000, 0},
    {"elsewhere", "south", 1, 1, 9000, 9000, 1, 3000, 0},
    {"elsewhere, and those there are lost", "south", 1, 0, 3000, 90000, 1,
	70000, 0},
    {"elsewhere, and none is there", "south", 0, 1, 9000, 9000, 1, 3000, 1},
};

static void
on_removed(void *ctx, const at_roster_member_t *member)
{
	(void)ctx;
	(void)member;
}

static at_choice_result_t
choose(at_fleet_t *fleet, uint64_t now_us, at_choice_t *choice)
{
	const at_work_t work = {
	    .service = at_tag_from_text("llm"), .model = at_tag_from_text("m")};

	return at_fleet_choose(fleet, &work, now_us, choice);
}

/* It would send beside those that took its place, or before it knows them. */
Test(cold_engines, only_instances_that_agree_may_send)
{
	size_t i;
	uint32_t n;
	uint32_t ms;

	for (i = 0; i < sizeof(parts) / sizeof(parts[0]); i++) {
		at_fleet_t *fleet =
		    make_fleet(parts[i].data_centre, 1, COLD_PER_S);
		at_name_t name = {"self"};
		at_roster_t *roster = at_roster_new(&name, 10);
		at_server_entry_t entry = make_entry(0);
		at_roster_member_t *others[2];
		at_choice_t choice;

		entry.warmup_ms = 100000;
		for (n = 0; n < parts[i].north + parts[i].south; n++) {
			name = (at_name_t){{(char)('a' + n)}};
			others[n] = at_roster_add(roster, &name,
			    at_tag_from_text(centres[n >= parts[i].north]),
			    "127.0.0.1:1", 0);
		}
		for (ms = 100; ms < parts[i].at_ms; ms += 100) {
			uint64_t now_us = (uint64_t)ms * MS;

			for (n = 0; n < parts[i].north + parts[i].south &&
				    ms <= parts[i].reports_until_ms;
			     n++)
				(void)at_roster_apply_report(
				    others[n], 1, ms, 0, 0, now_us);
			if (ms > parts[i].rounds_until_ms)
				continue;
			at_roster_expire(roster, now_us, on_removed, NULL);
			at_roster_settle(roster, now_us);
			at_server_share_cold(
			    at_fleet_update_server(fleet, &entry), roster,
			    at_tag_from_text(parts[i].data_centre),
			    parts[i].is_sending, now_us);
		}
		cr_assert_eq(choose(fleet, (uint64_t)parts[i].at_ms * MS,
				 &choice) == AT_CHOICE_SERVER,
		    parts[i].may_send, "%s", parts[i].name);
		cr_assert_eq(choice.cold_us == 0, parts[i].may_send, "%s",
		    parts[i].name);
		at_roster_delete(roster);
		at_fleet_delete(fleet);
	}
}

/* A lone instance, which has its part of the rate at all times. */
static at_server_t *
keep_share(at_fleet_t *fleet, uint64_t now_us)
{
	static const at_name_t name = {"self"};
	at_roster_t *roster = at_roster_new(&name, 10);
	at_server_t *server = at_fleet_find(fleet, 1);
	uint64_t ms;

	for (ms = 0; ms <= 2000; ms += 500)
		at_roster_settle(roster, now_us - (2000 - ms) * MS);
	at_server_share_cold(
	    server, roster, at_tag_from_text("north"), 1, now_us);
	at_roster_delete(roster);
	return server;
}

/* Counts what a lone instance may send within [from_ms, to_ms). */
static uint32_t
count_sent(at_fleet_t *fleet, uint32_t from_ms, uint32_t to_ms, int is_relayed)
{
	const at_work_t work = {.model = at_tag_from_text("m")};
	uint32_t count = 0;
	uint32_t ms;

	for (ms = from_ms; ms < to_ms; ms += 10) {
		uint64_t now_us = (uint64_t)ms * MS;
		at_server_t *server = keep_share(fleet, now_us);
		at_choice_t choice;

		/* Both paths compete for the same rate. */
		if (is_relayed && at_server_take_relayed(server, now_us))
			count++;
		if (choose(fleet, now_us, &choice) != AT_CHOICE_SERVER)
			continue;
		count++;
		at_server_note_sent(server, &work, now_us);
		at_fleet_note_ended(
		    fleet, server, &work, 0, AT_OUTCOME_SUCCESS, now_us);
	}
	return count;
}

static const struct {
	const char *name;
	uint32_t named_milli; /* Server-Limit */
	double cold_per_s;
	int is_relayed;
	uint32_t from_ms; /* after it has become cold, at 10 s and 20 s */
	uint32_t to_ms;
	uint32_t least;
	uint32_t most;
} rates[] = {
    {"its rate", 0, 7, 0, 10000, 14000, 22, 25},
    {"with relayed attempts", 0, 7, 1, 10000, 14000, 22, 25},
    {"a lower named limit", 1000, 7, 0, 10000, 14000, 3, 5},
    {"a higher named limit", 20000, 7, 0, 10000, 14000, 22, 25},
    {"a named limit when it is warm", 1000, 7, 0, 14000, 18000, 3, 5},
    {"no limit when it is warm", 0, 7, 0, 14000, 14100, 10, 10},
    {"a service without a rate", 0, 0, 0, 10000, 10100, 10, 10},
    {"nothing saved up before", 0, 7, 0, 20000, 20100, 0, 0},
};

/* Each path and each limit by itself would exceed what the engine takes. */
Test(cold_engines, one_limiter_has_all_paths_and_limits)
{
	size_t i;

	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		at_fleet_t *fleet = make_fleet("north", 1, rates[i].cold_per_s);
		at_server_entry_t entry = make_entry(0);
		at_server_t *server = at_fleet_update_server(fleet, &entry);
		uint32_t count;

		(void)at_server_note_cold(
		    server, 4000, 10000u * MS, 10000u * MS);
		(void)at_server_note_limit(
		    server, rates[i].named_milli, 10000u * MS);
		at_server_set_limit_share(server, 0, 1, 10000u * MS);
		if (rates[i].from_ms == 20000) {
			(void)keep_share(fleet, 13000u * MS);
			(void)keep_share(fleet, 13900u * MS);
			(void)at_server_note_cold(
			    server, 4000, 20000u * MS, 20000u * MS);
		}
		count = count_sent(fleet, rates[i].from_ms, rates[i].to_ms,
		    rates[i].is_relayed);
		cr_assert(count >= rates[i].least && count <= rates[i].most,
		    "%s: %u", rates[i].name, count);
		at_fleet_delete(fleet);
	}
}

static const struct {
	const char *name;
	int has_slack;
	int is_resumption;
	int is_warm_full;
	uint32_t tokens;
	uint32_t after_ms; /* the part of the rate is one request in 165 ms */
	at_tag_t engine;   /* 1 is cold, 2 is warm */
} preferences[] = {
    {"slack", 1, 0, 0, 200, 250, 1},
    {"slack, the rate is used up", 1, 0, 0, 200, 100, 2},
    {"urgent", 0, 0, 0, 50, 250, 2},
    {"urgent, no other engine", 0, 0, 1, 50, 250, 1},
    {"urgent and short, the rate is not used", 0, 0, 0, 50, 400, 1},
    {"urgent and long, the rate is not used", 0, 0, 0, 200, 400, 2},
    {"a stream that goes on", 1, 1, 0, 50, 400, 2},
    {"a stream that goes on, no other engine", 1, 1, 1, 50, 400, 1},
};

/* Urgent requests would have been slow while other engines were free. */
Test(cold_engines, requests_that_lose_least_go_there)
{
	at_work_t usual = {
	    .model = at_tag_from_text("m"), .prompt_tokens = 100};
	size_t i;
	uint32_t n;

	for (i = 0; i < sizeof(preferences) / sizeof(preferences[0]); i++) {
		at_fleet_t *fleet = make_fleet("north", 1, COLD_PER_S);
		at_server_entry_t cold = make_entry(0);
		at_server_entry_t warm = make_entry(1);
		at_work_t work = {.service = at_tag_from_text("llm"),
		    .model = at_tag_from_text("m"),
		    .has_slack = preferences[i].has_slack,
		    .is_resumption = preferences[i].is_resumption,
		    .prompt_tokens = preferences[i].tokens};
		at_server_t *server;
		at_choice_t choice;

		cold.warmup_ms = 3000;
		(void)at_fleet_update_server(fleet, &cold);
		server = at_fleet_update_server(fleet, &warm);
		for (n = 0; n < 500; n++) {
			at_server_note_sent(server, &usual, 9000u * MS);
			at_fleet_note_ended(fleet, server, &usual, 0,
			    AT_OUTCOME_SUCCESS, 9000u * MS);
		}
		for (n = 0; n < SLOTS && preferences[i].is_warm_full; n++)
			at_server_note_sent(server, &usual, 10000u * MS);
		(void)keep_share(fleet, 10000u * MS);
		cr_assert_eq(
		    at_fleet_choose(fleet, &work,
			(10000u + preferences[i].after_ms) * MS, &choice),
		    AT_CHOICE_SERVER, "%s", preferences[i].name);
		cr_assert_eq(at_server_entry(choice.server)->tag,
		    preferences[i].engine, "%s", preferences[i].name);
		at_fleet_delete(fleet);
	}
}

typedef struct instance {
	at_fleet_t *fleet;
	at_roster_t *roster;
	at_name_t name;
	const char *data_centre;
	uint32_t group;
	uint64_t incarnation;
	uint64_t frozen_until_ms;
	at_load_report_t loads[ENGINES]; /* of the last round */
	size_t load_count;
	uint64_t reported_ms; /* when; 0: not yet */
} instance_t;

typedef struct request {
	uint32_t instance;
	uint64_t incarnation;
	uint32_t engine;
	uint64_t ends_ms;
	at_work_t work;
} request_t;

/* What happens in a replay besides the return of the engines. */
typedef struct replay {
	const char *name;
	double load;            /* in times of USUAL_PER_S for each engine */
	int is_cut;             /* two groups, that know only their own */
	int is_cut_at_return;   /* the same, but all have known all */
	uint32_t restart_ms;    /* one instance after the other; 0: none */
	uint32_t freeze_ms;     /* a third of "north", 500 ms later */
	uint32_t cold_again_ms; /* engine 0, after the others are warm */
	double cold_per_s;
	int least; /* requests at each cold engine */
} replay_t;

static struct {
	instance_t instances[INSTANCES];
	request_t open[200000];
	size_t open_count;
	uint64_t random;
	uint32_t cold_ms[ENGINES];        /* when it ends; 0: it is not cold */
	uint8_t arrivals[ENGINES][20000]; /* in each millisecond */
} w;

static uint32_t
draw(uint32_t bound)
{
	w.random = w.random * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)(w.random >> 33) % bound;
}

static void
list_engines(instance_t *instance, uint32_t from, uint32_t to, uint64_t now_ms)
{
	uint32_t e;

	for (e = from; e < to; e++) {
		at_server_entry_t entry = make_entry(e);

		if (w.cold_ms[e] > now_ms)
			entry.warmup_ms = w.cold_ms[e] - (uint32_t)now_ms;
		(void)at_fleet_update_server(instance->fleet, &entry);
	}
}

static void
add_member(
    const replay_t *replay, instance_t *instance, uint32_t n, uint64_t now_ms)
{
	at_name_t name;

	(void)snprintf(name.text, sizeof(name.text), "entry-%u", n);
	if (!replay->is_cut || n / 3 % 2 == instance->group)
		(void)at_roster_add(instance->roster, &name,
		    at_tag_from_text(centres[n % 3]), "127.0.0.1:1",
		    now_ms * MS);
}

static void
start_instance(const replay_t *replay, uint32_t n, uint64_t now_ms)
{
	instance_t *instance = &w.instances[n];
	uint32_t i;

	(void)snprintf(
	    instance->name.text, sizeof(instance->name.text), "entry-%u", n);
	instance->data_centre = centres[n % 3];
	instance->group = n / 3 % 2;
	instance->incarnation++;
	instance->reported_ms = 0;
	instance->fleet =
	    make_fleet(instance->data_centre, n + 1, replay->cold_per_s);
	instance->roster = at_roster_new(&instance->name, 10);
	list_engines(
	    instance, now_ms < START_MS ? COLD_ENGINES : 0, ENGINES, now_ms);
	for (i = 0; i < INSTANCES; i++) {
		/* One that restarts first knows its neighbour only. */
		if (now_ms < START_MS || i == (n + 6) % INSTANCES)
			add_member(replay, instance, i, now_ms);
	}
}

static void
stop_instance(uint32_t n)
{
	at_fleet_delete(w.instances[n].fleet);
	at_roster_delete(w.instances[n].roster);
}

static int
hears(const replay_t *replay, const instance_t *a, const instance_t *b,
    uint64_t now_ms)
{
	int is_cut =
	    replay->is_cut || (replay->is_cut_at_return && now_ms >= START_MS);

	return a != b && (!is_cut || a->group == b->group);
}

typedef struct sharing {
	const instance_t *instance;
	uint64_t now_us;
} sharing_t;

static void
share(void *ctx, at_server_t *server)
{
	const sharing_t *sharing = ctx;

	at_server_share_cold(server, sharing->instance->roster,
	    at_tag_from_text(sharing->instance->data_centre), 1,
	    sharing->now_us);
}

/* Takes what the others reported in the round before. */
static void
run_round(const replay_t *replay, instance_t *instance, uint64_t now_ms)
{
	sharing_t sharing = {instance, now_ms * MS};
	uint32_t i;

	for (i = 0; i < INSTANCES; i++) {
		const instance_t *other = &w.instances[i];
		at_tag_t tag = at_tag_from_text(other->name.text);
		at_roster_member_t *member;

		if (!hears(replay, instance, other, now_ms) ||
		    other->reported_ms == 0)
			continue;
		add_member(replay, instance, i, now_ms);
		member = at_roster_find(instance->roster, tag);
		if (at_roster_apply_report(member, other->incarnation,
			other->reported_ms, 0, 0, now_ms * MS) == 0)
			at_fleet_apply_report(instance->fleet, tag,
			    other->loads, other->load_count, now_ms * MS);
	}
	at_roster_settle(instance->roster, now_ms * MS);
	at_fleet_each(instance->fleet, share, &sharing);
}

static void
send_request(uint32_t n, uint64_t now_ms)
{
	instance_t *instance = &w.instances[n];
	request_t *request = &w.open[w.open_count];
	const at_work_t work = {.service = at_tag_from_text("llm"),
	    .model = at_tag_from_text("m"),
	    .prompt_tokens = 50,
	    .output_tokens = 50,
	    .has_slack = draw(2) == 0};
	uint32_t tries;
	at_choice_t choice;

	*request = (request_t){.instance = n, .work = work};
	/* One request in ten is lost and sent again, elsewhere. */
	for (tries = 0; tries < 1u + (draw(10) == 0); tries++) {
		if (at_fleet_choose(instance->fleet, &request->work,
			now_ms * MS, &choice) != AT_CHOICE_SERVER)
			return;
		request->engine =
		    (uint32_t)at_server_entry(choice.server)->tag - 1u;
		w.arrivals[request->engine][now_ms]++;
		request->work.avoid[tries] = request->engine + 1;
		at_server_note_sent(choice.server, &request->work, now_ms * MS);
		request->incarnation = instance->incarnation;
		request->ends_ms = now_ms + STREAM_MS;
		cr_assert_lt(
		    ++w.open_count, sizeof(w.open) / sizeof(w.open[0]));
		w.open[w.open_count] = *request;
		request = &w.open[w.open_count];
	}
}

/* Engines that are cold state it in their answers. */
static void
answer(const replay_t *replay, const request_t *request, uint64_t now_ms)
{
	const instance_t *instance = &w.instances[request->instance];
	at_server_t *server =
	    at_fleet_find(instance->fleet, request->engine + 1);

	if (now_ms + STREAM_MS - ANSWER_MS != request->ends_ms ||
	    request->incarnation != instance->incarnation ||
	    replay->cold_again_ms == 0)
		return;
	(void)at_server_note_cold(server,
	    w.cold_ms[request->engine] > now_ms
		? w.cold_ms[request->engine] - (uint32_t)now_ms
		: 0,
	    now_ms * MS, now_ms * MS);
}

static void
end_requests(const replay_t *replay, uint64_t now_ms)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < w.open_count; i++) {
		request_t *request = &w.open[i];
		instance_t *instance = &w.instances[request->instance];

		answer(replay, request, now_ms);
		if (request->ends_ms > now_ms) {
			w.open[kept++] = *request;
			continue;
		}
		if (request->incarnation == instance->incarnation)
			at_fleet_note_ended(instance->fleet,
			    at_fleet_find(instance->fleet, request->engine + 1),
			    &request->work, 0, AT_OUTCOME_SUCCESS, now_ms * MS);
	}
	w.open_count = kept;
}

/* A notice reaches the others soon after the answer that it comes from. */
static void
spread_notices(const replay_t *replay, uint64_t now_ms)
{
	at_cold_report_t reports[ENGINES];
	uint32_t i;
	uint32_t k;
	size_t r;

	for (i = 0; i < INSTANCES; i++) {
		size_t count = at_fleet_fill_cold(w.instances[i].fleet, reports,
		    ENGINES, (now_ms - TOLD_MS) * MS);

		for (k = 0; k < INSTANCES; k++) {
			for (r = 0; r < count; r++) {
				if (hears(replay, &w.instances[i],
					&w.instances[k], now_ms))
					(void)at_fleet_apply_cold(
					    w.instances[k].fleet, &reports[r],
					    now_ms * MS);
			}
		}
	}
}

static void
step(const replay_t *replay, uint64_t now_ms)
{
	double arriving = replay->load * USUAL_PER_S * ENGINES / 1000.;
	uint32_t count = (uint32_t)arriving;
	uint32_t n;

	if (replay->restart_ms != 0 && now_ms >= START_MS &&
	    now_ms % replay->restart_ms == 0) {
		n = (uint32_t)(now_ms / replay->restart_ms) % INSTANCES;
		stop_instance(n);
		start_instance(replay, n, now_ms);
	}
	for (n = 0; n < INSTANCES; n++) {
		instance_t *instance = &w.instances[n];

		if (now_ms == START_MS && n % 3 == 1)
			instance->frozen_until_ms =
			    START_MS + replay->freeze_ms;
		if (now_ms < instance->frozen_until_ms)
			continue;
		/* Entries come within 100 ms. */
		if (now_ms == START_MS + n)
			list_engines(instance, 0, COLD_ENGINES, START_MS);
		if ((now_ms + n) % REPORT_MS != 0)
			continue;
		run_round(replay, instance, now_ms);
		instance->load_count = at_fleet_fill_report(
		    instance->fleet, instance->loads, ENGINES, now_ms * MS);
		instance->reported_ms = now_ms;
	}
	end_requests(replay, now_ms);
	if (replay->cold_again_ms != 0 && now_ms % 10 == 0)
		spread_notices(replay, now_ms);
	if (now_ms < START_MS)
		return;
	count += draw(1000) < (uint32_t)((arriving - count) * 1000.);
	while (count-- > 0) {
		n = draw(INSTANCES);
		if (now_ms >= w.instances[n].frozen_until_ms)
			send_request(n, now_ms);
	}
}

static uint32_t worst; /* most requests of an engine in a second */

/* Checks each second within [from_ms, to_ms); returns all arrivals in it. */
static uint32_t
check_bound(const replay_t *replay, uint32_t engine, uint32_t from_ms,
    uint32_t to_ms, uint32_t bound)
{
	uint32_t total = 0;
	uint32_t second = 0;
	uint32_t ms;

	for (ms = from_ms; ms < to_ms; ms++) {
		total += w.arrivals[engine][ms];
		second += w.arrivals[engine][ms];
		if (ms >= from_ms + 1000u)
			second -= w.arrivals[engine][ms - 1000u];
		worst = second > worst ? second : worst;
		cr_assert_leq(second, bound, "%s: engine %u got %u in a second",
		    replay->name, engine, second);
	}
	return total;
}

static const replay_t replays[] = {
    {.name = "3 times the usual load", .load = 3, .cold_per_s = 7, .least = 4},
    {.name = "10 times", .load = 10, .cold_per_s = 7, .least = 8},
    {.name = "40 times", .load = 40, .cold_per_s = 7, .least = 8},
    {.name = "low rate", .load = 10, .cold_per_s = .5},
    {.name = "high rate", .load = 40, .cold_per_s = 20, .least = 20},
    {.name = "two groups since long",
	.load = 40,
	.is_cut = 1,
	.cold_per_s = 7,
	.least = 8},
    {.name = "two groups since the return",
	.load = 40,
	.is_cut_at_return = 1,
	.cold_per_s = 7,
	.least = 4},
    {.name = "restarts", .load = 40, .restart_ms = 50, .cold_per_s = 7},
    {.name = "restarts of two groups",
	.load = 40,
	.restart_ms = 50,
	.is_cut = 1,
	.cold_per_s = 7},
    {.name = "frozen instances",
	.load = 40,
	.freeze_ms = 1800,
	.cold_per_s = 7,
	.least = 8},
    {.name = "cold again",
	.load = 10,
	.cold_again_ms = END_MS + 500,
	.cold_per_s = 7,
	.least = 4},
};

static void
run_replay(const replay_t *replay)
{
	uint32_t bound = (uint32_t)(replay->cold_per_s * 1.5 + 5.);
	uint32_t end_ms =
	    replay->cold_again_ms == 0 ? END_MS : END_MS + 500 + COLD_MS;
	uint32_t served = 0;
	uint32_t e;
	uint32_t n;
	uint64_t ms;

	memset(&w, 0, sizeof(w));
	worst = 0;
	for (e = 0; e < COLD_ENGINES; e++)
		w.cold_ms[e] = END_MS;
	for (n = 0; n < INSTANCES; n++)
		start_instance(replay, n, START_MS - SETTLING_MS);
	for (ms = START_MS - SETTLING_MS; ms < end_ms; ms++) {
		if (ms == replay->cold_again_ms && ms != 0)
			w.cold_ms[0] = end_ms;
		step(replay, ms);
	}
	for (e = 0; e < COLD_ENGINES; e++) {
		uint32_t count =
		    check_bound(replay, e, START_MS, END_MS, bound);

		served += count;
		cr_assert_geq((int)count, replay->least, "%s: engine %u got %u",
		    replay->name, e, count);
	}
	if (replay->cold_again_ms != 0) {
		uint32_t from_ms = replay->cold_again_ms;

		while (w.arrivals[0][from_ms] == 0)
			from_ms++;
		from_ms += ANSWER_MS + TOLD_MS + 10u;
		cr_assert_geq(
		    (int)check_bound(replay, 0, from_ms, end_ms, bound),
		    replay->least);
	}
	cr_log_info(
	    "%s: %u requests at the cold engines, at most %u of %u in a second",
	    replay->name, served, worst, bound);
	for (n = 0; n < INSTANCES; n++)
		stop_instance(n);
}

/* All instances saw 47 engines without a request and sent them what arrived. */
Test(cold_engines, all_instances_together_keep_to_the_bound)
{
	size_t i;

	for (i = 0; i < sizeof(replays) / sizeof(replays[0]); i++)
		run_replay(&replays[i]);
}
