/*
 * Engines that crash where they begin to answer prompts with a certain part. No
 * two requests with it are alike, and sound requests share their other parts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "entry/servers/server_crashes.h"
#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENTRIES 3u
#define ENGINES 6u
#define EVENTS 8u
#define EVENT_GAP_MS 20u
#define REPLACED_MS 700u /* from a crash until another engine serves */
#define CRASH_PART 0xbadu
#define COMMON_PART 0xa1u /* the first part of all prompts */
#define SUBJECTS 6u       /* second parts of sound prompts */
#define CONTACT_MS 3000u
#define CRASHES_JUDGED 5u
#define LATE_ARRIVALS_MAX 3u
#define CRASH_WAIT_MS 4000u /* for the crashes that are judged */
#define STEP_MS 30u
#define STEPS_PER_CRASHING 3u /* a request with the part in so many steps */
#define REQUESTS_MAX 2000u
#define PROMPT_SIZE 8000u

typedef struct sent_request {
	entry_fixture_response_t response;
	uint64_t sent_ms;
	int is_sound;
} sent_request_t;

/* How prompts look. All of them share the further parts. */
typedef struct shape {
	const char *name;
	size_t before;         /* further parts before the one that crashes */
	size_t after;          /* and after it */
	const char *prefix;    /* of the further parts' ids, hexadecimal */
	const char *malformed; /* a part that has no id, or "" */
} shape_t;

static const shape_t plain = {"three parts", 0, 0, "", ""};

typedef struct traffic {
	entry_fixture_t *fixture;
	const shape_t *shape;
	uint64_t replaced_at_ms[ENTRY_FIXTURE_MAX]; /* 0: it has not crashed */
	int is_replaced[ENTRY_FIXTURE_MAX];
	sent_request_t *requests;
	size_t count;
	size_t entry; /* the last one that got a request */
	uint32_t steps;
	uint64_t fifth_crash_ms; /* 0: not yet */
	uint32_t arrivals;       /* with the part, at any engine */
	uint32_t late_arrivals;  /* contact_ms after the fifth crash */
} traffic_t;

static uint64_t
crash_count(const entry_fixture_t *fixture)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		sum += standin_server_crash_count(fixture->servers[i]);
	return sum;
}

static void
on_arrival(void *ctx, const at_httpd_request_t *request, int is_run)
{
	traffic_t *traffic = ctx;
	const char *parts = at_httpd_header(request, WIRE_PROMPT_PREFIX);

	(void)is_run;
	if (parts == NULL || strstr(parts, ",bad:") == NULL)
		return;
	traffic->arrivals++;
	if (traffic->fifth_crash_ms != 0 &&
	    at_clock_now_ms() > traffic->fifth_crash_ms + CONTACT_MS)
		traffic->late_arrivals++;
}

static void
add_engine(traffic_t *traffic)
{
	entry_fixture_t *fixture = traffic->fixture;
	size_t i = entry_fixture_add_engine(fixture, "m0");

	standin_server_set_events(fixture->servers[i], EVENTS, EVENT_GAP_MS);
	standin_server_set_observer(fixture->servers[i], on_arrival, traffic);
	standin_server_faults(fixture->servers[i])->crash_part = CRASH_PART;
}

/* Lists another engine in place of each that has crashed. */
static void
replace_crashed(traffic_t *traffic)
{
	entry_fixture_t *fixture = traffic->fixture;
	uint64_t now_ms = at_clock_now_ms();
	size_t count = fixture->server_count;
	size_t i;

	for (i = 0; i < count; i++) {
		if (standin_server_crash_count(fixture->servers[i]) == 0 ||
		    traffic->is_replaced[i])
			continue;
		if (traffic->replaced_at_ms[i] == 0)
			traffic->replaced_at_ms[i] = now_ms + REPLACED_MS;
		if (now_ms < traffic->replaced_at_ms[i])
			continue;
		traffic->is_replaced[i] = 1;
		entry_fixture_unlist_server(fixture, i);
		add_engine(traffic);
	}
}

static traffic_t *
traffic_new(void)
{
	traffic_t *traffic = calloc(1, sizeof(*traffic));
	size_t i;

	traffic->requests = calloc(REQUESTS_MAX, sizeof(*traffic->requests));
	traffic->fixture = entry_fixture_new();
	traffic->shape = &plain;
	entry_fixture_apply_config(traffic->fixture, 1);
	for (i = 0; i < ENGINES; i++)
		add_engine(traffic);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(traffic->fixture);
	entry_fixture_run_until_ready(traffic->fixture);
	return traffic;
}

static void
traffic_delete(traffic_t *traffic)
{
	size_t i;

	for (i = 0; i < traffic->count; i++)
		entry_fixture_response_free(&traffic->requests[i].response);
	entry_fixture_delete(traffic->fixture);
	free(traffic->requests);
	free(traffic);
}

static size_t
add_parts(char parts[PROMPT_SIZE], size_t len, const char *prefix,
    unsigned first, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++)
		len += (size_t)snprintf(parts + len, PROMPT_SIZE - len,
		    "%s%x:30,", prefix, first + (unsigned)i);
	return len;
}

static void
send_to(traffic_t *traffic, size_t entry, int is_sound)
{
	sent_request_t *request = &traffic->requests[traffic->count];
	const shape_t *shape = traffic->shape;
	char id[32];
	char parts[PROMPT_SIZE];
	size_t len;
	const entry_fixture_request_t fields = {
	    "POST", "/stream/x", id, ENTRY_FIXTURE_KEY, "m0", "prompt"};

	cr_assert_lt(traffic->count, REQUESTS_MAX);
	(void)snprintf(id, sizeof(id), "request-%zu", traffic->count);
	len = (size_t)snprintf(
	    parts, sizeof(parts), "%x:40,%s", COMMON_PART, shape->malformed);
	len = add_parts(parts, len, shape->prefix, 0x2000u, shape->before);
	len += (size_t)snprintf(parts + len, sizeof(parts) - len, "%x:30,",
	    is_sound ? 0x500u + (unsigned)(traffic->count % SUBJECTS)
		     : CRASH_PART);
	len = add_parts(parts, len, shape->prefix, 0x4000u, shape->after);
	(void)snprintf(parts + len, sizeof(parts) - len, "%zx:30",
	    0x10000u + traffic->count);
	request->sent_ms = at_clock_now_ms();
	request->is_sound = is_sound;
	traffic->count++;
	entry_fixture_send_prompt(
	    traffic->fixture, entry, &fields, parts, &request->response);
}

static void
send_next(traffic_t *traffic, int is_sound)
{
	do {
		traffic->entry =
		    (traffic->entry + 1) % traffic->fixture->entry_count;
	} while (traffic->fixture->entries[traffic->entry] == NULL);
	send_to(traffic, traffic->entry, is_sound);
}

static void
run_step(traffic_t *traffic, int with_crashing)
{
	send_next(traffic, 1);
	if (with_crashing && ++traffic->steps % STEPS_PER_CRASHING == 0)
		send_next(traffic, 0);
	entry_fixture_run_ms(traffic->fixture, STEP_MS);
	replace_crashed(traffic);
	if (traffic->fifth_crash_ms == 0 &&
	    crash_count(traffic->fixture) >= CRASHES_JUDGED)
		traffic->fifth_crash_ms = at_clock_now_ms();
}

static void
run_traffic(traffic_t *traffic, uint32_t time_ms, int with_crashing)
{
	uint64_t end_ms = at_clock_now_ms() + time_ms;

	while (at_clock_now_ms() < end_ms)
		run_step(traffic, with_crashing);
}

/* Returns the percentage of sound requests of a time that began. */
static uint32_t
begun_percent(const traffic_t *traffic, uint64_t since_ms, uint64_t until_ms)
{
	uint32_t sent = 0;
	uint32_t begun = 0;
	size_t i;

	for (i = 0; i < traffic->count; i++) {
		const sent_request_t *request = &traffic->requests[i];

		if (!request->is_sound || request->sent_ms < since_ms ||
		    request->sent_ms >= until_ms)
			continue;
		sent++;
		begun += request->response.status == 200 &&
			 request->response.len > 0;
	}
	cr_assert_geq(sent, 20);
	return 100u * begun / sent;
}

/* Sends requests with the part until it has crashed five engines, or longer. */
static void
run_crashes(traffic_t *traffic)
{
	uint64_t end_ms = at_clock_now_ms() + CRASH_WAIT_MS;

	while (traffic->fifth_crash_ms == 0 && at_clock_now_ms() < end_ms)
		run_step(traffic, 1);
	cr_assert_gt(crash_count(traffic->fixture), 0);
	/* The rule counts from the last crash if there are fewer than five. */
	if (traffic->fifth_crash_ms == 0)
		traffic->fifth_crash_ms = at_clock_now_ms();
}

static void
check_shape(const shape_t *shape)
{
	traffic_t *traffic = traffic_new();
	uint64_t start_ms = at_clock_now_ms();
	uint64_t crashing_ms;
	uint64_t judged_ms;
	uint32_t before;

	traffic->shape = shape;
	run_traffic(traffic, 1500, 0);
	crashing_ms = at_clock_now_ms();
	run_crashes(traffic);
	run_traffic(traffic, 2 * CONTACT_MS, 1);
	judged_ms = at_clock_now_ms();
	run_traffic(traffic, 2000, 1);
	entry_fixture_run_ms(traffic->fixture, 500);
	before = begun_percent(traffic, start_ms, crashing_ms);
	cr_assert_leq(traffic->late_arrivals, LATE_ARRIVALS_MAX,
	    "%s: %u requests, %llu crashes", shape->name,
	    traffic->late_arrivals,
	    (unsigned long long)crash_count(traffic->fixture));
	cr_assert_geq(2 * begun_percent(traffic, judged_ms, UINT64_MAX), before,
	    "%s: sound requests begin less than half as often as before",
	    shape->name);
	traffic_delete(traffic);
}

/* Each request was new to the instances, so that engines crashed for ever. */
Test(crashing_parts, few_requests_reach_engines_after_five_crashes)
{
	check_shape(&plain);
}

/* Only the first eight parts of a prompt were searched. */
static const shape_t shapes[] = {
    {"the ninth part", 7, 1, "", ""},
    {"the fortieth part", 38, 2, "", ""},
    {"behind 600 parts", 600, 20, "", ""},
    /* Such ids have the same low or no 64 bits. */
    {"ids of 20 digits", 9, 2, "ffffffffffffffff", ""},
    {"behind a part that has no id", 3, 1, "", "other:x,"},
};

#define SHAPE_TEST(number, name)              \
	Test(crashing_parts, name)            \
	{                                     \
		check_shape(&shapes[number]); \
	}

SHAPE_TEST(0, the_ninth_part_is_found)
SHAPE_TEST(1, the_fortieth_part_is_found)
SHAPE_TEST(2, a_part_behind_600_is_found)
SHAPE_TEST(3, a_part_among_long_ids_is_found)
SHAPE_TEST(4, a_part_behind_one_without_an_id_is_found)

/* The verdict is also known to an instance that starts later. */
Test(crashing_parts, an_instance_that_starts_knows_the_part)
{
	traffic_t *traffic = traffic_new();
	size_t entry;
	int i;

	run_traffic(traffic, 500, 0);
	run_crashes(traffic);
	run_traffic(traffic, 1000, 1);
	entry = entry_fixture_add_entry(traffic->fixture);
	run_traffic(traffic, CONTACT_MS, 0);
	traffic->late_arrivals = 0;
	for (i = 0; i < 10; i++) {
		send_to(traffic, entry, 0);
		entry_fixture_run_ms(traffic->fixture, 100);
	}
	cr_assert_leq(traffic->late_arrivals, LATE_ARRIVALS_MAX);
	traffic_delete(traffic);
}

/* Sends some requests with the part; returns how many reach engines. */
static uint32_t
send_crashing(traffic_t *traffic)
{
	uint32_t before = traffic->arrivals;
	int i;

	for (i = 0; i < 10; i++) {
		send_next(traffic, 0);
		entry_fixture_run_ms(traffic->fixture, 50);
	}
	return traffic->arrivals - before;
}

/* The block is in the store; the instances know nothing of each other. */
Test(crashing_parts, a_block_outlasts_all_instances)
{
	traffic_t *traffic = traffic_new();
	entry_fixture_t *fixture = traffic->fixture;
	size_t i;

	run_traffic(traffic, 500, 0);
	run_crashes(traffic);
	run_traffic(traffic, 5000, 1);
	for (i = 0; i < traffic->count; i++)
		entry_fixture_response_free(&traffic->requests[i].response);
	for (i = 0; i < ENTRIES; i++)
		entry_fixture_remove_entry(fixture, i);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_ms(fixture, CONTACT_MS);
	cr_assert_leq(send_crashing(traffic), LATE_ARRIVALS_MAX);
	traffic_delete(traffic);
}

/* An operator deletes the object of the block. */
Test(crashing_parts, an_operator_lifts_a_block)
{
	traffic_t *traffic = traffic_new();
	entry_fixture_t *fixture = traffic->fixture;
	size_t i;

	run_traffic(traffic, 500, 0);
	run_crashes(traffic);
	run_traffic(traffic, 6000, 1);
	cr_assert_eq(send_crashing(traffic), 0);
	for (i = 0; i < fixture->server_count; i++)
		standin_server_faults(fixture->servers[i])->crash_part = 0;
	standin_store_remove(fixture->store, "entry-blocked-parts", "bad");
	run_traffic(traffic, 6000, 0);
	cr_assert_eq(send_crashing(traffic), 10);
	traffic_delete(traffic);
}

/* A failure of another kind had counted as the beginning of an answer. */
Test(crashing_parts, a_failure_response_clears_nothing)
{
	traffic_t *traffic = traffic_new();
	entry_fixture_t *fixture = traffic->fixture;
	size_t i;

	for (i = 0; i < ENGINES; i++)
		standin_server_faults(fixture->servers[i])->lose_replies = 1000;
	for (i = 0; i < ENGINES; i++) {
		send_next(traffic, 0);
		entry_fixture_run_ms(fixture, 20);
	}
	cr_assert_eq(crash_count(fixture), 0);
	for (i = 0; i < ENGINES; i++)
		standin_server_faults(fixture->servers[i])->lose_replies = 0;
	for (i = 0; i < 40 && crash_count(fixture) < 3; i++) {
		send_next(traffic, 0);
		entry_fixture_run_ms(fixture, 100);
		replace_crashed(traffic);
	}
	entry_fixture_run_ms(fixture, 1000);
	cr_assert_gt(at_server_crashes_block_age_us(
			 fixture->entries[0]->crashes, CRASH_PART),
	    0);
	traffic_delete(traffic);
}

/* Each instance alone would know one request that crashed two engines. */
Test(crashing_parts, crashes_that_several_instances_saw_count_together)
{
	traffic_t *traffic = traffic_new();
	uint32_t arrivals;
	size_t i;

	for (i = 0; i < ENTRIES; i++) {
		send_to(traffic, i, 0);
		entry_fixture_run_ms(traffic->fixture, 300);
		replace_crashed(traffic);
	}
	entry_fixture_run_ms(traffic->fixture, 1000);
	replace_crashed(traffic);
	entry_fixture_run_ms(traffic->fixture, 500);
	arrivals = traffic->arrivals;
	for (i = 0; i < ENTRIES; i++) {
		send_to(traffic, i, 0);
		entry_fixture_run_ms(traffic->fixture, 10);
	}
	entry_fixture_run_ms(traffic->fixture, 500);
	/* One of them may be a trial. */
	cr_assert_leq(traffic->arrivals, arrivals + 1);
	traffic_delete(traffic);
}

static int
is_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

/* Engines that break connections off and go on serving have not crashed. */
Test(crashing_parts, a_broken_connection_is_no_crash)
{
	traffic_t *traffic = traffic_new();
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		standin_faults_t *faults =
		    standin_server_faults(traffic->fixture->servers[i]);

		faults->crash_part = 0;
		faults->crash = 4;
	}
	(void)send_crashing(traffic);
	for (i = 0; i < ENGINES; i++)
		standin_server_faults(traffic->fixture->servers[i])->crash = 0;
	entry_fixture_run_ms(traffic->fixture, 1000);
	send_next(traffic, 0);
	i = traffic->count - 1;
	entry_fixture_run_until(
	    traffic->fixture, is_done, &traffic->requests[i].response);
	cr_assert_eq(traffic->requests[i].response.status, 200);
	traffic_delete(traffic);
}

/* Engines that end for other reasons must not stop sound requests. */
Test(crashing_parts, other_crashes_block_nothing)
{
	traffic_t *traffic = traffic_new();
	uint64_t start_ms = at_clock_now_ms();
	uint64_t after_ms;
	size_t i;

	run_traffic(traffic, 1000, 0);
	after_ms = at_clock_now_ms();
	for (i = 0; i < ENGINES; i++) {
		standin_server_crash(traffic->fixture->servers[i]);
		run_traffic(traffic, i % 3 == 2 ? 400 : 0, 0);
	}
	after_ms = at_clock_now_ms() + REPLACED_MS;
	run_traffic(traffic, REPLACED_MS + 2000, 0);
	entry_fixture_run_ms(traffic->fixture, 500);
	cr_assert_geq(begun_percent(traffic, after_ms, UINT64_MAX), 90);
	cr_assert_geq(begun_percent(traffic, start_ms, after_ms), 30);
	traffic_delete(traffic);
}

/* A request that crashes plain servers, whose callers do not wait for it. */

#define SERVICES 14u
#define LEAVE_AFTER_MS 20u
#define CRASH_AFTER_MS 400u /* the instance has noticed by then */
#define CALL_EVERY_MS 500u
#define WHOLE_CRASHES_JUDGED 3u
#define BAD_TARGET "/unsafe/bad"

typedef struct victim {
	struct left_callers *callers;
	size_t server;
	ev_timer timer;
} victim_t;

typedef struct left_callers {
	entry_fixture_t *fixture;
	victim_t victims[SERVICES];
	uint64_t third_crash_ms; /* 0: not yet */
	uint32_t late_arrivals;  /* contact_ms after the third crash */
} left_callers_t;

static void
on_victim_timer(struct ev_loop *loop, ev_timer *timer, int events)
{
	victim_t *victim = timer->data;
	left_callers_t *callers = victim->callers;

	(void)loop;
	(void)events;
	standin_server_crash(callers->fixture->servers[victim->server]);
	if (callers->third_crash_ms == 0 &&
	    crash_count(callers->fixture) >= WHOLE_CRASHES_JUDGED)
		callers->third_crash_ms = at_clock_now_ms();
}

static void
on_bad_arrival(void *ctx, const at_httpd_request_t *request, int is_run)
{
	victim_t *victim = ctx;

	(void)is_run;
	if (strcmp(at_httpd_path(request), BAD_TARGET) != 0)
		return;
	if (victim->callers->third_crash_ms != 0 &&
	    at_clock_now_ms() > victim->callers->third_crash_ms + CONTACT_MS)
		victim->callers->late_arrivals++;
	standin_server_faults(victim->callers->fixture->servers[victim->server])
	    ->silent = 1;
	ev_timer_start(victim->callers->fixture->loop, &victim->timer);
}

static void
call_and_leave(left_callers_t *callers, size_t number)
{
	entry_fixture_response_t response;
	char id[32];
	const entry_fixture_request_t fields = {
	    "POST", BAD_TARGET, id, ENTRY_FIXTURE_KEY, NULL, "body"};

	(void)snprintf(id, sizeof(id), "left-%zu", number);
	entry_fixture_send(
	    callers->fixture, number % ENTRIES, &fields, &response);
	entry_fixture_run_ms(callers->fixture, LEAVE_AFTER_MS);
	entry_fixture_response_free(&response);
	entry_fixture_run_ms(callers->fixture, CALL_EVERY_MS);
}

Test(crashing_parts, a_request_whose_caller_has_left_is_blocked)
{
	static left_callers_t callers;
	size_t i;

	callers.fixture = entry_fixture_new();
	entry_fixture_apply_config(callers.fixture, 1);
	for (i = 0; i < SERVICES; i++) {
		victim_t *victim = &callers.victims[i];

		(void)entry_fixture_add_service(callers.fixture);
		*victim = (victim_t){.callers = &callers, .server = i};
		standin_server_set_observer(
		    callers.fixture->servers[i], on_bad_arrival, victim);
		ev_timer_init(
		    &victim->timer, on_victim_timer, CRASH_AFTER_MS / 1e3, 0.);
		victim->timer.data = victim;
	}
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(callers.fixture);
	entry_fixture_run_until_ready(callers.fixture);
	for (i = 0; i < SERVICES; i++)
		call_and_leave(&callers, i);
	cr_expect_leq(callers.late_arrivals, LATE_ARRIVALS_MAX,
	    "%u arrived late, %llu servers crashed", callers.late_arrivals,
	    (unsigned long long)crash_count(callers.fixture));
	for (i = 0; i < SERVICES; i++)
		ev_timer_stop(callers.fixture->loop, &callers.victims[i].timer);
	entry_fixture_delete(callers.fixture);
}
