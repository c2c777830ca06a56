/*
 * placement_fixture.h - a few engines for the planner's tests and nothing more: what a
 * round decides is carried out at once, and what must hold is checked.
 */
#ifndef ALMONDTHREAD_TESTS_FLEET_H
#define ALMONDTHREAD_TESTS_FLEET_H

#include "almondthread/placement.h"

#define FLEET_ENGINES 6u
#define FLEET_DECISIONS 64u

typedef struct fleet {
	at_placement_t *placement;
	at_config_t *config;
	at_place_engine_t engines[FLEET_ENGINES];
	at_resident_t residents[FLEET_ENGINES][AT_RESIDENTS_MAX];
	size_t engine_count;
	uint64_t now_ms;
	uint32_t loads;
	uint32_t unloads;
} fleet_t;

/* fleet_new() takes its engines and models from a configuration. */
fleet_t *fleet_new(const char *json);
void fleet_delete(fleet_t *fleet);

/* fleet_configure() takes over another configuration of the same engines. */
void fleet_configure(fleet_t *fleet, const char *json);

/* fleet_round() lets a second pass and carries out a round's decisions. */
void fleet_round(fleet_t *fleet);

/* fleet_has() returns on how many usable engines a name is resident. */
size_t fleet_has(const fleet_t *fleet, const char *name);
/* fleet_on() tells whether an engine holds a name at a version; 0: any. */
int fleet_on(
    const fleet_t *fleet, size_t engine, const char *name, uint32_t version);

#endif
