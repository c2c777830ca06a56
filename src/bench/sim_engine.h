/*
 * sim_engine.h - a small model engine under virtual time: a batch that is
 * decoded together, a prompt cache, memory, and loads from a shared store.
 * It serves the measurement of decisions and claims no likeness beyond that.
 */
#ifndef ALMONDTHREAD_BENCH_SIM_ENGINE_H
#define ALMONDTHREAD_BENCH_SIM_ENGINE_H

#include "almondthread/engine_view.h"
#include "almondthread/ports.h"
#include "almondthread/router.h"

/* Speeds of one accelerator. */
#define FAKE_PREFILL_TOKENS_S 20000u
#define FAKE_TOKEN_US 12000u        /* one token of a batch of one */
#define FAKE_TOKEN_MORE_US 700u     /* more for each further request */
#define FAKE_TOKEN_LIMIT_US 35000.0 /* chunks of prefill heed it */
#define FAKE_PREFILL_PART 0.1       /* of time, at least */
#define FAKE_BATCH_MAX 32u
#define FAKE_LOAD_MB_S 4000u /* weights, at full speed */
#define FAKE_ADAPTER_LOAD_MS 8u
#define FAKE_CACHE_BLOCKS 4096u /* prompt blocks kept */

typedef struct fake_request {
	struct fake_request *next;
	uint32_t prompt_tokens;
	uint32_t out_tokens;
	const uint64_t *prefix_hashes;
	size_t prefix_count;
	uint32_t left_prefill;
	double made; /* tokens so far */
	char target[AT_NAME_SIZE];
} fake_request_t;

/* The weight store, shared by all engines. */
typedef struct fake_store {
	uint32_t full_speed; /* model loads at once without slowing */
	uint32_t adapters_full_speed;
	uint32_t loading;
	uint32_t adapters_loading;
	uint64_t loads; /* begun, of models and adapters */
} fake_store_t;

typedef struct fake_engine {
	at_engine_view_t view; /* as it is now */
	at_resident_t residents[AT_RESIDENTS_MAX];
	uint64_t ready_at_us[AT_RESIDENTS_MAX]; /* of one being loaded */
	fake_store_t *store;
	fake_request_t *waiting;
	fake_request_t **waiting_tail;
	fake_request_t *running;
	uint64_t *cache; /* of FAKE_CACHE_BLOCKS, by hash */
	int dead;
} fake_engine_t;

/* What a tick reports of a request. */
typedef void (*fake_event_t)(void *ctx, fake_request_t *request);

typedef struct fake_events {
	fake_event_t first_token;
	fake_event_t done;
	fake_event_t lost; /* its engine died */
	void *ctx;
} fake_events_t;

void fake_engine_init(fake_engine_t *engine, const char *name,
    const at_name_t *data_centre, uint32_t accelerators, uint64_t memory_mb,
    fake_store_t *store);
void fake_engine_finish(fake_engine_t *engine);

/* fake_engine_order() returns 0, or -1 when the order cannot be obeyed. */
int fake_engine_order(
    fake_engine_t *engine, const at_order_t *order, uint64_t now_us);
/* fake_engine_submit() queues a request; -1 when it is not served here. */
int fake_engine_submit(fake_engine_t *engine, fake_request_t *request);
/* fake_engine_tick() moves the engine on by step_us. */
void fake_engine_tick(fake_engine_t *engine, uint64_t now_us, uint32_t step_us,
    const fake_events_t *events);
/* fake_engine_die() loses everything. */
void fake_engine_die(fake_engine_t *engine, const fake_events_t *events);
uint64_t fake_engine_used_mb(const fake_engine_t *engine);

#endif
