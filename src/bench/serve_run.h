/*
 * serve_run.h - one policy's run over one load: the real placement and
 * routing machines over engine fakes.
 */
#ifndef ALMONDTHREAD_BENCH_SERVE_RUN_H
#define ALMONDTHREAD_BENCH_SERVE_RUN_H

#include "almondthread/placement.h"
#include "bench/serve_load.h"

typedef enum choose {
	CHOOSE_OURS,
	CHOOSE_NO_AFFINITY,
	CHOOSE_RANDOM,
	CHOOSE_FEWEST,
	CHOOSE_ROUND_ROBIN
} choose_t;

typedef struct policy {
	const char *name;
	choose_t choose;
	at_placement_policy_t placement;
	int moves; /* placement goes on after the warm-up */
} policy_t;

typedef struct result {
	uint32_t asked; /* interactive, within rate */
	uint32_t on_time;
	uint32_t refused;
	uint32_t late_first; /* the first token */
	uint32_t late_token; /* between tokens, on average */
	uint32_t night;
	uint32_t night_done;
	uint32_t asked_by[SERVE_WORKSPACES];
	uint32_t on_time_by[SERVE_WORKSPACES];
	uint64_t moves;
	double seconds_asked; /* accelerators' time at best */
	double seconds_on_time;
} result_t;

/* What fails halfway through a run. */
typedef enum serve_loss {
	SERVE_LOSE_NONE,
	SERVE_LOSE_ENGINE,
	SERVE_LOSE_DATA_CENTRE,
	SERVE_LOSS_COUNT
} serve_loss_t;

extern const char *const serve_loss_names[];

/* serve_run() returns what one policy made of a load. */
result_t serve_run(const serve_site_t *site, const policy_t *policy,
    const serve_load_t *load, serve_loss_t loss, uint64_t seed);

#endif
