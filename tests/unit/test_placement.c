/*
 * Tests of the planner on a few engines. Each case is a configuration, an
 * event, and the replicas expected some rounds later.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/placement_fixture.h"

#define HEAD "{\"data_centres\":[\"d\"],"
#define ENGINE(name) \
	"{\"name\":\"" name "\",\"data_centre\":\"d\",\"memory_mb\":100}"
#define ENGINES3 \
	"\"engines\":[" ENGINE("e0") "," ENGINE("e1") "," ENGINE("e2") "],"
#define MODEL(name, mb) "{\"name\":\"" name "\",\"memory_mb\":" #mb "}"
#define V2(name, mb) \
	"{\"name\":\"" name "\",\"memory_mb\":" #mb ",\"version\":2}"

/* The event of a case. */
typedef enum event {
	EVENT_NONE,
	EVENT_LEAVE,   /* engine 0 */
	EVENT_RESTART, /* engine 0 */
	EVENT_RECONFIGURE,
	EVENT_DEMAND_RISES,  /* model a, from 200 to 2000 tokens per second */
	EVENT_DEMAND_VARIES, /* model a, about 400 tokens per second */
} event_t;

typedef struct test_case {
	const char *name;
	const char *json;
	event_t event;
	const char *after; /* configuration of EVENT_RECONFIGURE */
	uint32_t rounds;
	/*
	 * NAME:COUNT, NAME@ENGINE, NAME!ENGINE or NAME=VERSION, separated by
	 * spaces
	 */
	const char *expected;
	uint32_t moves_max; /* after the first rounds; 0 if not checked */
} test_case_t;

#define AB "\"models\":[" MODEL("a", 60) "," MODEL("b", 30) "]"
#define AB2 "\"models\":[" V2("a", 60) "," MODEL("b", 30) "]"
#define ADAPTER \
	",\"adapters\":[{\"name\":\"x\",\"model\":\"a\",\"memory_mb\":5}]"

static const test_case_t cases[] = {
    {"one replica of each", HEAD ENGINES3 AB "}", EVENT_NONE, NULL, 0,
	"a:1 b:1", 0},
    {"an adapter follows its base", HEAD ENGINES3 AB ADAPTER "}", EVENT_NONE,
	NULL, 0, "a:1 b:1 x:1", 0},
    {"a default minimum",
	HEAD ENGINES3 "\"defaults\":{\"min_replicas\":2}," AB "}", EVENT_NONE,
	NULL, 0, "a:2 b:2", 0},
    {"an exceptional minimum",
	HEAD ENGINES3 AB ",\"exceptions\":[{\"kind\":\"min_replicas\","
			 "\"subject\":\"b\",\"value\":3,\"reason\":\"r\"}]}",
	EVENT_NONE, NULL, 0, "a:1 b:3", 0},
    {"a pin",
	HEAD ENGINES3 AB ",\"exceptions\":[{\"kind\":\"pin\",\"subject\":\"a\","
			 "\"engine\":\"e2\",\"reason\":\"r\"}]}",
	EVENT_NONE, NULL, 0, "a@2 b:1", 0},
    {"an engine becomes forbidden", HEAD ENGINES3 AB "}", EVENT_RECONFIGURE,
	HEAD ENGINES3 AB
	",\"exceptions\":[{\"kind\":\"forbid\",\"subject\":\"a\","
	"\"engine\":\"e0\",\"reason\":\"r\"},{\"kind\":\"forbid\","
	"\"subject\":\"a\",\"engine\":\"e1\",\"reason\":\"r\"}]}",
	6, "a:1 a@2 b:1", 4},
    {"a leaving engine is emptied", HEAD ENGINES3 AB ADAPTER "}", EVENT_LEAVE,
	NULL, 6, "a!0 b!0 x!0 a:1 b:1 x:1", 8},
    {"a restarted engine is filled", HEAD ENGINES3 AB ADAPTER "}",
	EVENT_RESTART, NULL, 4, "a:1 b:1 x:1", 4},
    {"a new version is loaded before the old one is unloaded",
	HEAD ENGINES3 AB ADAPTER "}", EVENT_RECONFIGURE,
	HEAD ENGINES3 AB2 ADAPTER "}", 8, "a:1 a=2 b:1 x:1", 6},
    {"a model is removed and unloaded", HEAD ENGINES3 AB "}", EVENT_RECONFIGURE,
	HEAD ENGINES3 "\"models\":[" MODEL("a", 60) "]}", 3, "a:1 b:0", 1},
    {"two small models are moved for a large one",
	HEAD "\"engines\":[" ENGINE("e0") "," ENGINE(
	    "e1") "],\"models\":[" MODEL("a", 40) "," MODEL("b", 40) "]}",
	EVENT_RECONFIGURE,
	HEAD
	"\"engines\":[" ENGINE("e0") "," ENGINE("e1") "],\"models\":[" MODEL(
	    "a", 40) "," MODEL("b", 40) "," MODEL("c", 90) "]}",
	8, "a:1 b:1 c:1", 3},
    {"a tenfold rise within seconds",
	HEAD ENGINES3 "\"models\":[" MODEL("a", 40) "," MODEL("b", 30) "]}",
	EVENT_DEMAND_RISES, NULL, 6, "a:3 b:1", 3},
    {"noise causes no moves",
	HEAD ENGINES3 "\"models\":[" MODEL("a", 40) "," MODEL("b", 30) "]}",
	EVENT_DEMAND_VARIES, NULL, 600, "b:1", 2},
};

#define SETTLE_ROUNDS 6u

static int
has_version(
    const placement_fixture_t *fixture, const char *name, uint32_t version)
{
	size_t i;

	for (i = 0; i < fixture->engine_count; i++) {
		if (placement_fixture_is_resident(fixture, i, name, 0) &&
		    !placement_fixture_is_resident(fixture, i, name, version))
			return 0;
	}
	return placement_fixture_count_resident(fixture, name) > 0;
}

static void
check_expected(const placement_fixture_t *fixture, const test_case_t *c)
{
	char text[128];
	char *save = NULL;
	char *word;

	(void)snprintf(text, sizeof(text), "%s", c->expected);
	for (word = strtok_r(text, " ", &save); word != NULL;
	     word = strtok_r(NULL, " ", &save)) {
		char name[2] = {word[0], '\0'};
		size_t number = (size_t)(word[2] - '0');

		if (word[1] == ':')
			cr_assert_eq(
			    placement_fixture_count_resident(fixture, name),
			    number, "%s: %s, found %zu", c->name, word,
			    placement_fixture_count_resident(fixture, name));
		else if (word[1] == '=')
			cr_assert(has_version(fixture, name, (uint32_t)number),
			    "%s: %s", c->name, word);
		else
			cr_assert_eq(placement_fixture_is_resident(
					 fixture, number, name, 0) != 0,
			    word[1] == '@', "%s: %s", c->name, word);
	}
}

static void
add_demand(placement_fixture_t *fixture, const test_case_t *c, uint32_t round,
    at_rng_t *rng)
{
	uint64_t requests = 0;
	uint64_t i;

	if (c->event == EVENT_DEMAND_RISES)
		requests = round < SETTLE_ROUNDS ? 2 : 20;
	if (c->event == EVENT_DEMAND_VARIES)
		requests = at_rng_below(rng, 9);
	for (i = 0; i < requests; i++)
		at_placement_add_demand(fixture->placement, "a", 100);
}

static void
apply_event(placement_fixture_t *fixture, const test_case_t *c)
{
	if (c->event == EVENT_LEAVE)
		fixture->engines[0].is_leaving = 1;
	if (c->event == EVENT_RESTART)
		fixture->engines[0].resident_count = 0;
	if (c->event == EVENT_RECONFIGURE)
		placement_fixture_apply_config(fixture, c->after);
}

static void
run_case(const test_case_t *c)
{
	placement_fixture_t *fixture = placement_fixture_new(c->json);
	at_rng_t rng = {1};
	uint32_t before;
	uint32_t round;

	for (round = 0; round < SETTLE_ROUNDS; round++) {
		add_demand(fixture, c, round, &rng);
		placement_fixture_run_round(fixture);
	}
	before = fixture->loads + fixture->unloads;
	apply_event(fixture, c);
	for (; round < SETTLE_ROUNDS + c->rounds; round++) {
		add_demand(fixture, c, round, &rng);
		placement_fixture_run_round(fixture);
	}
	check_expected(fixture, c);
	if (c->moves_max > 0)
		cr_assert_leq(fixture->loads + fixture->unloads - before,
		    c->moves_max, "%s: %u moves", c->name,
		    fixture->loads + fixture->unloads - before);
	placement_fixture_delete(fixture);
}

Test(placement, replicas_are_where_expected)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}
