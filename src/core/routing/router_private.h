/*
 * router_private.h - internals of the router. router.c has the choice of an
 * engine, router_table.c the engines and their resident models.
 */
#ifndef ALMONDTHREAD_CORE_ROUTER_PRIVATE_H
#define ALMONDTHREAD_CORE_ROUTER_PRIVATE_H

#include <uthash.h>

#include "almondthread/ports.h"
#include "almondthread/router.h"
#include "core/routing/prefix_table.h"

#define SENT_MAX 64u           /* requests recorded since a report */
#define RATIO_ONE 1024u        /* ratio of equal times */
#define PROBATION_SUCCESSES 8u /* successes that end a probation */

/* A request sent to an engine. */
typedef struct sent {
	uint64_t at_ms;
	uint32_t prefill_tokens;
} sent_t;

typedef struct engine {
	at_engine_view_t view; /* the residents are allocated here */
	uint32_t index;
	uint32_t own_running;  /* requests of this router in flight */
	sent_t sent[SENT_MAX]; /* requests sent after the report */
	size_t sent_count;
	uint32_t ratio;     /* observed to predicted time, times RATIO_ONE */
	uint32_t failures;  /* since the last probation ended */
	uint32_t successes; /* since the last failure */
	uint64_t excluded_until_ms; /* end of the exclusion for a failure */
	UT_hash_handle hh;
} engine_t;

/* The engines with one model or adapter in memory. */
typedef struct target_engines {
	char target[AT_NAME_SIZE];
	engine_t **engines;
	size_t count;
	size_t size;
	UT_hash_handle hh;
} target_engines_t;

struct at_router {
	at_name_t data_centre;
	at_engine_speed_t speed;
	uint32_t distance_ms; /* added for engines in other data centres */
	uint32_t stale_ms;    /* largest age of a report */
	at_rng_t rng;
	engine_t *engines;
	target_engines_t *targets;
	at_prefix_table_t *prefixes;
	uint32_t next_index;
};

/* at_router_find_engine() returns an engine by name, or NULL. */
engine_t *at_router_find_engine(
    const at_router_t *router, const at_name_t *name);

#endif
