/*
 * The planner on a few engines: each row is a configuration, what happens
 * and where things stand some rounds later.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "support/fleet.h"

#define HEAD "{\"data_centres\":[\"d\"],"
#define ENGINE(name) \
	"{\"name\":\"" name "\",\"data_centre\":\"d\",\"memory_mb\":100}"
#define ENGINES3 \
	"\"engines\":[" ENGINE("e0") "," ENGINE("e1") "," ENGINE("e2") "],"
#define MODEL(name, mb) "{\"name\":\"" name "\",\"memory_mb\":" #mb "}"
#define V2(name, mb) \
	"{\"name\":\"" name "\",\"memory_mb\":" #mb ",\"version\":2}"

/* What is done before the rounds. */
typedef enum happening {
	NOTHING,
	LEAVES,   /* engine 0 */
	RESTARTS, /* engine 0 */
	RECONFIGURES,
	RISES,  /* model a, from 200 to 2000 tokens a second */
	WAVERS, /* model a, round 400 tokens a second */
} happening_t;

typedef struct case_row {
	const char *name;
	const char *json;
	happening_t happening;
	const char *after; /* of RECONFIGURES */
	uint32_t rounds;
	/* NAME:COUNT, NAME@ENGINE, NAME!ENGINE or NAME=VERSION, by spaces */
	const char *expected;
	uint32_t moves_max; /* after the first settling; 0: not looked at */
} case_row_t;

#define AB "\"models\":[" MODEL("a", 60) "," MODEL("b", 30) "]"
#define AB2 "\"models\":[" V2("a", 60) "," MODEL("b", 30) "]"
#define ADAPTER \
	",\"adapters\":[{\"name\":\"x\",\"model\":\"a\",\"memory_mb\":5}]"

static const case_row_t cases[] = {
    {"one of each", HEAD ENGINES3 AB "}", NOTHING, NULL, 0, "a:1 b:1", 0},
    {"an adapter follows its base", HEAD ENGINES3 AB ADAPTER "}", NOTHING, NULL,
	0, "a:1 b:1 x:1", 0},
    {"a default minimum",
	HEAD ENGINES3 "\"defaults\":{\"min_replicas\":2}," AB "}", NOTHING,
	NULL, 0, "a:2 b:2", 0},
    {"an exceptional minimum",
	HEAD ENGINES3 AB ",\"exceptions\":[{\"kind\":\"min_replicas\","
			 "\"subject\":\"b\",\"value\":3,\"reason\":\"r\"}]}",
	NOTHING, NULL, 0, "a:1 b:3", 0},
    {"a pin",
	HEAD ENGINES3 AB ",\"exceptions\":[{\"kind\":\"pin\",\"subject\":\"a\","
			 "\"engine\":\"e2\",\"reason\":\"r\"}]}",
	NOTHING, NULL, 0, "a@2 b:1", 0},
    {"a forbidden engine is left", HEAD ENGINES3 AB "}", RECONFIGURES,
	HEAD ENGINES3 AB
	",\"exceptions\":[{\"kind\":\"forbid\",\"subject\":\"a\","
	"\"engine\":\"e0\",\"reason\":\"r\"},{\"kind\":\"forbid\","
	"\"subject\":\"a\",\"engine\":\"e1\",\"reason\":\"r\"}]}",
	6, "a:1 a@2 b:1", 4},
    {"a leaving engine is emptied", HEAD ENGINES3 AB ADAPTER "}", LEAVES, NULL,
	6, "a!0 b!0 x!0 a:1 b:1 x:1", 8},
    {"a restarted engine is filled", HEAD ENGINES3 AB ADAPTER "}", RESTARTS,
	NULL, 4, "a:1 b:1 x:1", 4},
    {"a new version stands beside the old one first",
	HEAD ENGINES3 AB ADAPTER "}", RECONFIGURES,
	HEAD ENGINES3 AB2 ADAPTER "}", 8, "a:1 a=2 b:1 x:1", 6},
    {"a model that is withdrawn goes", HEAD ENGINES3 AB "}", RECONFIGURES,
	HEAD ENGINES3 "\"models\":[" MODEL("a", 60) "]}", 3, "a:1 b:0", 1},
    {"two small ones make room for a large one",
	HEAD "\"engines\":[" ENGINE("e0") "," ENGINE(
	    "e1") "],\"models\":[" MODEL("a", 40) "," MODEL("b", 40) "]}",
	RECONFIGURES,
	HEAD
	"\"engines\":[" ENGINE("e0") "," ENGINE("e1") "],\"models\":[" MODEL(
	    "a", 40) "," MODEL("b", 40) "," MODEL("c", 90) "]}",
	8, "a:1 b:1 c:1", 3},
    {"a tenfold rise within seconds",
	HEAD ENGINES3 "\"models\":[" MODEL("a", 40) "," MODEL("b", 30) "]}",
	RISES, NULL, 6, "a:3 b:1", 3},
    {"noise moves nothing",
	HEAD ENGINES3 "\"models\":[" MODEL("a", 40) "," MODEL("b", 30) "]}",
	WAVERS, NULL, 600, "b:1", 2},
};

#define SETTLE_ROUNDS 6u

static int
is_of_version(const fleet_t *fleet, const char *name, uint32_t version)
{
	size_t i;

	for (i = 0; i < fleet->engine_count; i++) {
		if (fleet_on(fleet, i, name, 0) &&
		    !fleet_on(fleet, i, name, version))
			return 0;
	}
	return fleet_has(fleet, name) > 0;
}

static void
check_expected(const fleet_t *fleet, const case_row_t *c)
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
			cr_assert_eq(fleet_has(fleet, name), number,
			    "%s: %s, is %zu", c->name, word,
			    fleet_has(fleet, name));
		else if (word[1] == '=')
			cr_assert(is_of_version(fleet, name, (uint32_t)number),
			    "%s: %s", c->name, word);
		else
			cr_assert_eq(fleet_on(fleet, number, name, 0) != 0,
			    word[1] == '@', "%s: %s", c->name, word);
	}
}

static void
add_demand(fleet_t *fleet, const case_row_t *c, uint32_t round, at_rng_t *rng)
{
	uint64_t requests = 0;
	uint64_t i;

	if (c->happening == RISES)
		requests = round < SETTLE_ROUNDS ? 2 : 20;
	if (c->happening == WAVERS)
		requests = at_rng_below(rng, 9);
	for (i = 0; i < requests; i++)
		at_placement_add_demand(fleet->placement, "a", 100);
}

static void
happen(fleet_t *fleet, const case_row_t *c)
{
	if (c->happening == LEAVES)
		fleet->engines[0].is_leaving = 1;
	if (c->happening == RESTARTS)
		fleet->engines[0].resident_count = 0;
	if (c->happening == RECONFIGURES)
		fleet_configure(fleet, c->after);
}

static void
run_case(const case_row_t *c)
{
	fleet_t *fleet = fleet_new(c->json);
	at_rng_t rng = {1};
	uint32_t before;
	uint32_t round;

	for (round = 0; round < SETTLE_ROUNDS; round++) {
		add_demand(fleet, c, round, &rng);
		fleet_round(fleet);
	}
	before = fleet->loads + fleet->unloads;
	happen(fleet, c);
	for (; round < SETTLE_ROUNDS + c->rounds; round++) {
		add_demand(fleet, c, round, &rng);
		fleet_round(fleet);
	}
	check_expected(fleet, c);
	if (c->moves_max > 0)
		cr_assert_leq(fleet->loads + fleet->unloads - before,
		    c->moves_max, "%s: %u moves", c->name,
		    fleet->loads + fleet->unloads - before);
	fleet_delete(fleet);
}

Test(placement, stands_where_it_should)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(&cases[i]);
}
