/*
 * placement_fixture.h - simulated engines for tests of the placement planner.
 * Each decision of a planning round is carried out at once. The test fails if
 * an engine's memory is exceeded, a loaded name is loaded again, or a name in
 * the configuration is no longer resident on any engine.
 */
#ifndef ALMONDTHREAD_TESTS_PLACEMENT_FIXTURE_H
#define ALMONDTHREAD_TESTS_PLACEMENT_FIXTURE_H

#include "almondthread/placement.h"

#define PLACEMENT_FIXTURE_ENGINES_MAX 6u
#define PLACEMENT_FIXTURE_DECISIONS_MAX 64u /* in one planning round */

typedef struct placement_fixture {
	at_placement_t *placement;
	at_config_t *config;
	at_place_engine_t engines[PLACEMENT_FIXTURE_ENGINES_MAX];
	at_resident_t residents[PLACEMENT_FIXTURE_ENGINES_MAX]
			       [AT_RESIDENTS_MAX];
	size_t engine_count;
	uint64_t now_ms;
	uint32_t loads;   /* carried out so far */
	uint32_t unloads; /* carried out so far */
} placement_fixture_t;

/*
 * placement_fixture_new() takes engines and models from a configuration in
 * JSON, with at most PLACEMENT_FIXTURE_ENGINES_MAX engines. The engines start
 * without residents. Freed by placement_fixture_delete().
 */
placement_fixture_t *placement_fixture_new(const char *json);
void placement_fixture_delete(placement_fixture_t *fixture);

/*
 * placement_fixture_apply_config() replaces the configuration; the engines must
 * be the same.
 */
void placement_fixture_apply_config(
    placement_fixture_t *fixture, const char *json);

/*
 * placement_fixture_run_round() advances the time by one second, plans one
 * round and carries out its decisions.
 */
void placement_fixture_run_round(placement_fixture_t *fixture);

/*
 * placement_fixture_count_resident() returns the number of usable engines on
 * which a model or adapter is resident.
 */
size_t placement_fixture_count_resident(
    const placement_fixture_t *fixture, const char *name);
/*
 * placement_fixture_is_resident() returns non-zero if a model or adapter is
 * resident on an engine in this version; version 0 matches every version.
 */
int placement_fixture_is_resident(const placement_fixture_t *fixture,
    size_t engine, const char *name, uint32_t version);

#endif
