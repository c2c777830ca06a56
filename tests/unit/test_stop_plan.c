/*
 * What instances do that are told to stop one soon after the other: a replay
 * without sockets, in which each knows the others by their reports.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/stop_plan.h"

#define INSTANCES 6u
#define STEP_MS 50u
#define BEGIN_MS 100000u
#define GRACE_MS 8000u
#define REPORT_MS 100u

typedef struct instance {
	at_name_t name;
	at_tag_t data_centre;
	at_roster_t *roster;
	uint64_t sequence;
	uint64_t started_ms;
	uint64_t stopped_ms; /* 0: it was not told to stop */
	uint64_t starts_ms;  /* 0: it runs */
	at_stop_t stop;
	at_stop_step_t step;
} instance_t;

typedef struct plan {
	const char *name;
	uint32_t stopped;      /* how many are told to stop */
	uint32_t gap_ms;       /* between two of them */
	uint32_t busy_ms;      /* requests keep each for as long after that */
	uint32_t start_ms;     /* from the exit until it reports */
	uint32_t ready_ms;     /* from then on until it serves */
	uint32_t data_centres; /* instances are spread over them in turn */
	int is_cut;            /* the last one hears of no other */
	/* Least number that take requests, and at a time 3 s after the last. */
	uint32_t least_open;
	/* The first one may be gone within this time after it was told. */
	uint32_t first_gone_ms;
} plan_t;

static const plan_t plans[] = {
    {"one", 1, 0, 1000, 1000, 1500, 1, 0, 5, 3000},
    {"half at once", 3, 0, 1000, 1000, 1500, 1, 0, 3, 3000},
    {"all within 2 s", 6, 350, 1000, 1000, 1500, 1, 0, 3, 3000},
    {"all at once", 6, 0, 1000, 1000, 1500, 1, 0, 3, 8000},
    {"all, busy", 6, 350, 4000, 1000, 1500, 1, 0, 3, 4100},
    {"all, slow starts", 6, 350, 1000, 1500, 2500, 1, 0, 3, 3000},
    {"all, three data centres", 6, 350, 1000, 1000, 1500, 3, 0, 3, 3000},
    {"one, the last is cut", 1, 0, 1000, 1000, 1500, 1, 1, 5, 3000},
};

typedef struct replay {
	const plan_t *plan;
	instance_t instances[INSTANCES];
	uint64_t now_ms;
	uint32_t least_open;
	uint64_t first_gone_ms;
} replay_t;

static void
start(replay_t *replay, instance_t *instance)
{
	instance->sequence = 0;
	instance->started_ms = replay->now_ms;
	instance->stopped_ms = 0;
	instance->starts_ms = 0;
	instance->stop = (at_stop_t){0};
	instance->step = AT_STOP_DRAIN;
	instance->roster = at_roster_new(&instance->name, 100);
}

static int
is_ready(const replay_t *replay, const instance_t *instance)
{
	return instance->starts_ms == 0 && instance->stopped_ms == 0 &&
	       replay->now_ms >= instance->started_ms + replay->plan->ready_ms;
}

static int
is_open(const replay_t *replay, const instance_t *instance)
{
	return is_ready(replay, instance) ||
	       (instance->starts_ms == 0 && instance->stopped_ms != 0 &&
		   instance->step != AT_STOP_CLOSE);
}

static void
report(replay_t *replay, instance_t *from, instance_t *to)
{
	uint64_t now_us = replay->now_ms * 1000u;
	at_roster_member_t *member = at_roster_add(
	    to->roster, &from->name, from->data_centre, "127.0.0.1:1", now_us);

	(void)at_roster_apply_report(member, from->started_ms, from->sequence,
	    from->stopped_ms != 0, 0, now_us);
	at_roster_note_standing(member,
	    is_ready(replay, from) ? AT_STANDING_READY : AT_STANDING_UNABLE,
	    now_us);
	member->ends_ms =
	    from->stopped_ms == 0 ? 0 : from->stopped_ms + GRACE_MS;
}

static void
send_reports(replay_t *replay)
{
	size_t i;
	size_t k;

	for (i = 0; i < INSTANCES; i++) {
		instance_t *from = &replay->instances[i];

		from->sequence++;
		for (k = 0; k < INSTANCES && from->starts_ms == 0; k++) {
			int is_cut = replay->plan->is_cut &&
				     (k == INSTANCES - 1 || i == INSTANCES - 1);

			if (k != i && !is_cut &&
			    replay->instances[k].starts_ms == 0)
				report(replay, from, &replay->instances[k]);
		}
	}
}

static void
go_on_stopping(replay_t *replay, instance_t *instance)
{
	uint64_t now_us = replay->now_ms * 1000u;
	uint64_t waited_ms = replay->now_ms - instance->stopped_ms;
	const at_stop_view_t view = {.waited_ms = waited_ms,
	    .left_ms = waited_ms < GRACE_MS ? GRACE_MS - waited_ms : 0,
	    .near = at_roster_presence(
		instance->roster, instance->data_centre, now_us),
	    .all = at_roster_presence(instance->roster, 0, now_us)};

	if (instance->step != AT_STOP_CLOSE)
		instance->step = at_stop_next(&instance->stop, &view);
	if (instance->step != AT_STOP_CLOSE ||
	    waited_ms < replay->plan->busy_ms)
		return;
	at_roster_delete(instance->roster);
	instance->starts_ms = replay->now_ms + replay->plan->start_ms;
	if (instance == &replay->instances[0])
		replay->first_gone_ms = waited_ms;
}

static void
step(replay_t *replay)
{
	const plan_t *plan = replay->plan;
	uint32_t open = 0;
	size_t i;

	for (i = 0; i < INSTANCES; i++) {
		instance_t *instance = &replay->instances[i];

		if (instance->starts_ms != 0 &&
		    replay->now_ms >= instance->starts_ms)
			start(replay, instance);
		if (i < plan->stopped &&
		    replay->now_ms == BEGIN_MS + 3000u + i * plan->gap_ms) {
			instance->stopped_ms = replay->now_ms;
			at_roster_set_ends(
			    instance->roster, replay->now_ms + GRACE_MS);
		}
		if (instance->starts_ms == 0 && instance->stopped_ms != 0)
			go_on_stopping(replay, instance);
		open += (uint32_t)is_open(replay, instance);
	}
	if (replay->now_ms % REPORT_MS == 0)
		send_reports(replay);
	if (replay->now_ms >= BEGIN_MS + 3000u && open < replay->least_open)
		replay->least_open = open;
}

static void
run(replay_t *replay, const plan_t *plan)
{
	size_t i;

	*replay = (replay_t){
	    .plan = plan, .now_ms = BEGIN_MS, .least_open = INSTANCES};
	for (i = 0; i < INSTANCES; i++) {
		instance_t *instance = &replay->instances[i];

		(void)snprintf(instance->name.text, sizeof(instance->name.text),
		    "i%zu", i);
		instance->data_centre = 1 + i % plan->data_centres;
		start(replay, instance);
		instance->started_ms = 0;
	}
	for (; replay->now_ms < BEGIN_MS + 25000u; replay->now_ms += STEP_MS)
		step(replay);
	for (i = 0; i < INSTANCES; i++) {
		if (replay->instances[i].starts_ms == 0)
			at_roster_delete(replay->instances[i].roster);
	}
}

/* Guards against a time in which nobody accepts a connection. */
Test(stop_plan, half_accept_requests_while_all_are_restarted)
{
	static replay_t replay;
	size_t i;

	for (i = 0; i < sizeof(plans) / sizeof(plans[0]); i++) {
		run(&replay, &plans[i]);
		cr_expect_geq(replay.least_open, plans[i].least_open,
		    "%s: %u accept requests", plans[i].name, replay.least_open);
		cr_expect_leq(replay.first_gone_ms, plans[i].first_gone_ms,
		    "%s: %llu ms", plans[i].name,
		    (unsigned long long)replay.first_gone_ms);
		cr_log_info("%s: %u open, first gone after %llu ms\n",
		    plans[i].name, replay.least_open,
		    (unsigned long long)replay.first_gone_ms);
	}
}

static const struct {
	const char *name;
	at_stop_view_t view;
	at_stop_step_t step;
} cases[] = {
    {"the balancer still sends requests", {2599, 5401, {9, 0, 10}, {9, 0, 10}},
	AT_STOP_DRAIN},
    {"enough others", {2600, 5400, {1, 0, 2}, {5, 0, 10}}, AT_STOP_CLOSE},
    {"too few of all", {2600, 5400, {1, 0, 2}, {4, 0, 10}}, AT_STOP_LINGER},
    {"others leave later", {2600, 5400, {1, 0, 2}, {2, 3, 10}}, AT_STOP_CLOSE},
    {"too few here", {2600, 5400, {1, 0, 3}, {9, 0, 12}}, AT_STOP_LINGER},
    {"none here", {2600, 5400, {0, 0, 3}, {9, 0, 12}}, AT_STOP_CLOSE},
    {"cut off from all", {2600, 5400, {0, 0, 1}, {0, 0, 1}}, AT_STOP_CLOSE},
    {"end of the grace", {7000, 1000, {0, 0, 2}, {0, 0, 10}}, AT_STOP_CLOSE},
    {"short grace", {1000, 1000, {0, 0, 2}, {0, 0, 10}}, AT_STOP_CLOSE},
};

Test(stop_plan, closes_when_others_suffice_or_time_is_up)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_stop_t stop = {0};

		cr_expect_eq(at_stop_next(&stop, &cases[i].view), cases[i].step,
		    "%s", cases[i].name);
	}
}
