/*
 * placement_fixture.h - a few engines for the planner's tests and nothing more:
 * what a round decides is carried out at once, and what must hold is checked.
 */
#ifndef ALMONDTHREAD_TESTS_PLACEMENT_FIXTURE_H
#define ALMONDTHREAD_TESTS_PLACEMENT_FIXTURE_H

#include "almondthread/placement.h"

#define PLACEMENT_FIXTURE_ENGINES_MAX 6u
#define PLACEMENT_FIXTURE_DECISIONS_MAX 64u

typedef struct placement_fixture {
	at_placement_t *placement;
	at_config_t *config;
	at_place_engine_t engines[PLACEMENT_FIXTURE_ENGINES_MAX];
	at_resident_t residents[PLACEMENT_FIXTURE_ENGINES_MAX]
			       [AT_RESIDENTS_MAX];
	size_t engine_count;
	uint64_t now_ms;
	uint32_t loads;
	uint32_t unloads;
} placement_fixture_t;

/* placement_fixture_new() takes its engines and models from a configuration. */
placement_fixture_t *placement_fixture_new(const char *json);
void placement_fixture_delete(placement_fixture_t *fixture);

/* placement_fixture_apply_config() takes over another configuration of the same
 * engines. */
void placement_fixture_apply_config(
    placement_fixture_t *fixture, const char *json);

/* placement_fixture_run_round() lets a second pass and carries out a round's
 * decisions. */
void placement_fixture_run_round(placement_fixture_t *fixture);

/* placement_fixture_count_resident() returns on how many usable engines a name
 * is resident. */
size_t placement_fixture_count_resident(
    const placement_fixture_t *fixture, const char *name);
/* placement_fixture_is_resident() tells whether an engine holds a name at a
 * version; 0: any. */
int placement_fixture_is_resident(const placement_fixture_t *fixture,
    size_t engine, const char *name, uint32_t version);

#endif
