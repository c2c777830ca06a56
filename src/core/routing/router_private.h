/*
 * router_private.h - what router.c (decisions) and router_table.c (engines
 * and what they hold) share.
 */
#ifndef ALMONDTHREAD_CORE_ROUTER_PRIVATE_H
#define ALMONDTHREAD_CORE_ROUTER_PRIVATE_H

#include <uthash.h>

#include "almondthread/ports.h"
#include "almondthread/router.h"
#include "core/routing/prefix_table.h"

#define SENT_MAX 64u    /* sends remembered since a report */
#define RATIO_ONE 1024u /* observed = predicted */
#define PROBATION_OK 8u /* answers until full trust */

typedef struct sent {
	uint64_t at_ms;
	uint32_t prefill_tokens;
} sent_t;

typedef struct engine {
	at_engine_view_t view; /* residents are owned */
	uint32_t index;
	uint32_t own_running;
	sent_t sent[SENT_MAX]; /* since the report */
	size_t sent_count;
	uint32_t ratio; /* observed / predicted, in RATIO_ONE */
	uint32_t failures;
	uint32_t successes; /* since the last failure */
	uint64_t out_until_ms;
	UT_hash_handle hh;
} engine_t;

/* The engines that hold one model or adapter. */
typedef struct holders {
	char target[AT_NAME_SIZE];
	engine_t **engines;
	size_t count;
	size_t size;
	UT_hash_handle hh;
} holders_t;

struct at_router {
	at_name_t data_centre;
	at_engine_speed_t speed;
	uint32_t distance_ms;
	uint32_t stale_ms;
	at_rng_t rng;
	engine_t *engines;
	holders_t *holders;
	at_prefix_table_t *prefixes;
	uint32_t next_index;
};

/* at_router_engine() returns an engine by name, or NULL. */
engine_t *at_router_engine(const at_router_t *router, const at_name_t *name);

#endif
