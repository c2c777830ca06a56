/*
 * sim_engine.h - simulation of a model engine in virtual time, with a batch
 * that is decoded together, a prompt cache, memory, and loads from a weight
 * store that all engines share. It is meant for comparing placement and routing
 * policies, not for predicting the performance of an engine.
 */
#ifndef ALMONDTHREAD_BENCH_SIM_ENGINE_H
#define ALMONDTHREAD_BENCH_SIM_ENGINE_H

#include "almondthread/engine_view.h"
#include "almondthread/ports.h"
#include "almondthread/router.h"

/* Speeds and sizes of one accelerator. */
#define SIM_PREFILL_TOKENS_S 20000u
#define SIM_TOKEN_US 12000u           /* per output token, batch of one */
#define SIM_TOKEN_PER_REQUEST_US 700u /* added by each further request */
#define SIM_TOKEN_LIMIT_US 35000.0    /* longest time of a token with prefill */
#define SIM_PREFILL_MIN_FRACTION 0.1  /* least part of the time for prefill */
#define SIM_BATCH_MAX 32u             /* requests */
#define SIM_LOAD_MB_S 4000u           /* of a model, at full speed */
#define SIM_ADAPTER_LOAD_MS 8u
#define SIM_CACHE_BLOCKS 4096u /* prompt blocks of an engine */

/* A request. The caller sets target, prompt, output length and prefix. */
typedef struct sim_request {
	struct sim_request *next;
	uint32_t prompt_tokens;
	uint32_t output_tokens;
	const uint64_t *prefix_hashes;
	size_t prefix_count;
	uint32_t remaining_prefill; /* tokens */
	double generated_tokens;
	char target[AT_NAME_SIZE];
} sim_request_t;

/* The weight store. */
typedef struct sim_store {
	/* Loads of models, and of adapters, at once that do not slow down. */
	uint32_t full_speed_loads;
	uint32_t full_speed_adapter_loads;
	uint32_t loading_models;
	uint32_t loading_adapters;
	uint64_t loads; /* started, of models and adapters */
} sim_store_t;

typedef struct sim_engine {
	at_engine_view_t view; /* its present state */
	at_resident_t residents[AT_RESIDENTS_MAX];
	uint64_t loaded_at_us[AT_RESIDENTS_MAX]; /* end of their loads */
	sim_store_t *store;
	sim_request_t *queue;
	sim_request_t **queue_tail;
	sim_request_t *running;
	uint64_t *cache; /* SIM_CACHE_BLOCKS hashes of prompt blocks */
	int has_crashed;
} sim_engine_t;

/* Event of a request. The handlers of done and lost may free the request. */
typedef void (*sim_event_t)(void *ctx, sim_request_t *request);

typedef struct sim_events {
	sim_event_t first_token;
	sim_event_t done;
	sim_event_t lost; /* its engine crashed */
	void *ctx;
} sim_events_t;

/* sim_engine_init() sets up an engine without residents. */
void sim_engine_init(sim_engine_t *engine, const char *name,
    const at_name_t *data_centre, uint32_t accelerators, uint64_t memory_mb,
    sim_store_t *store);
/* sim_engine_deinit() frees what the engine owns; requests are not freed. */
void sim_engine_deinit(sim_engine_t *engine);

/*
 * sim_engine_execute() loads or unloads a model or adapter. Returns 0, also if
 * there is nothing to do, or -1 if the order cannot be executed.
 */
int sim_engine_execute(
    sim_engine_t *engine, const at_order_t *order, uint64_t now_us);
/*
 * sim_engine_submit() queues a request. Returns 0, or -1 if the engine does not
 * serve its target.
 */
int sim_engine_submit(sim_engine_t *engine, sim_request_t *request);
/* sim_engine_tick() advances the engine by step_us. */
void sim_engine_tick(sim_engine_t *engine, uint64_t now_us, uint32_t step_us,
    const sim_events_t *events);
/* sim_engine_crash() loses all requests and residents. */
void sim_engine_crash(sim_engine_t *engine, const sim_events_t *events);
/* sim_engine_used_mb() returns the memory of all residents. */
uint64_t sim_engine_used_mb(const sim_engine_t *engine);

#endif
