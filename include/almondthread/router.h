/*
 * router.h - chooses the engine for a request by its predicted time to the
 * first token. Pure: time and the seed are passed in.
 *
 * The prediction for one engine is
 *
 *   wait for a place in the batch
 *     + (queued prefill + own prefill since the report + own prompt less the
 *        cached prefix) / prefill rate
 *     + distance to the data centre,
 *
 * times the engine's own recent ratio of observed to predicted time. Reports
 * are corrected by what this router sent since they were made. With a stale
 * report the lesser of two random candidates is taken, so that instances
 * with the same old report do not all choose the same engine.
 */
#ifndef ALMONDTHREAD_ROUTER_H
#define ALMONDTHREAD_ROUTER_H

#include "almondthread/engine_view.h"
#include "almondthread/verdict.h"

#define AT_PREFIX_BLOCK_TOKENS 64u /* prompt tokens under one prefix hash */
#define AT_PREFIX_BLOCKS_MAX 64u   /* prefix hashes of one request */
#define AT_ROUTER_AVOID_MAX 4u     /* engines named in avoid */

typedef struct at_router at_router_t;

/* Speeds of one engine; a fresh engine has the router's defaults. */
typedef struct at_engine_speed {
	uint32_t prefill_tokens_s;
	uint32_t batch_max;     /* requests decoded together */
	uint32_t batch_slot_ms; /* mean time until a place gets free */
} at_engine_speed_t;

/* What is asked. prefix_hashes[i] covers the first i + 1 blocks. */
typedef struct at_route_request {
	const char *target; /* model or adapter */
	uint32_t prompt_tokens;
	const uint64_t *prefix_hashes;
	size_t prefix_count;
	uint32_t deadline_ms; /* for the first token; 0: none */
	const at_name_t *avoid[AT_ROUTER_AVOID_MAX]; /* tried before; NULL */
	/* May it run there? NULL: anywhere. */
	int (*may_run)(void *ctx, const at_name_t *engine);
	void *may_run_ctx;
} at_route_request_t;

/* Why an engine was chosen. */
typedef enum at_route_choice_reason {
	AT_ROUTE_LEAST_TIME,    /* least predicted time */
	AT_ROUTE_CACHED_PREFIX, /* its cache holds a part of the prompt */
	AT_ROUTE_BEST_OF_TWO,   /* the lesser of two, on stale reports */
	AT_ROUTE_OVERFLOW,      /* another data centre is sooner */
	AT_ROUTE_PROBATION,     /* a trial of an engine that had failed */
	AT_ROUTE_CHOICE_REASON_COUNT
} at_route_choice_reason_t;

extern const char *const at_route_choice_reason_names[];

typedef struct at_route_choice {
	at_name_t engine;
	uint32_t predicted_ms;
	uint32_t cached_tokens;
	at_route_choice_reason_t reason;
} at_route_choice_t;

at_router_t *at_router_new(const at_name_t *data_centre, uint64_t seed);
void at_router_delete(at_router_t *router);
/* Setters of the defaults; called before the first report. */
void at_router_set_speed(at_router_t *router, const at_engine_speed_t *speed);
/* Added to the prediction of an engine in another data centre. */
void at_router_set_distance_ms(at_router_t *router, uint32_t distance_ms);
/* A report older than this is stale. */
void at_router_set_stale_ms(at_router_t *router, uint32_t stale_ms);

/*
 * at_router_apply_report() takes over a newer view of an engine; an older one
 * is dropped. Returns 0, or -1 without memory.
 */
int at_router_apply_report(at_router_t *router, const at_engine_view_t *view);
/* at_router_remove() forgets an engine that is no longer listed. */
void at_router_remove(at_router_t *router, const at_name_t *engine);
/* at_router_set_leaving() lets an engine finish and gives it nothing new. */
void at_router_set_leaving(
    at_router_t *router, const at_name_t *engine, int leaving);

/*
 * at_router_choose() returns AT_REASON_NONE with a choice,
 * AT_REASON_NO_BACKEND when no engine holds the target, or
 * AT_REASON_OVERLOAD when the best prediction, left in choice, is beyond the
 * deadline. Nothing is counted until at_router_note_sent().
 */
at_reason_t at_router_choose(at_router_t *router,
    const at_route_request_t *request, uint64_t now_ms,
    at_route_choice_t *choice);

/* at_router_note_sent() counts a request that is now on its way. */
void at_router_note_sent(at_router_t *router, const at_route_request_t *request,
    const at_route_choice_t *choice, uint64_t now_ms);
/* at_router_note_first_token() compares the prediction with what was seen. */
void at_router_note_first_token(
    at_router_t *router, const at_route_choice_t *choice, uint32_t seen_ms);
/* at_router_note_ended() takes a request off; failed raises suspicion. */
void at_router_note_ended(at_router_t *router, const at_route_choice_t *choice,
    int failed, uint64_t now_ms);

/* at_router_outstanding() returns how many of our requests an engine has. */
uint32_t at_router_outstanding(
    const at_router_t *router, const at_name_t *engine);

/*
 * at_prefix_compute_hashes() hashes a prompt of len bytes in blocks of
 * AT_PREFIX_BLOCK_TOKENS tokens of bytes_per_token bytes; workspace keeps
 * prompts of different workspaces apart. Returns the number of hashes.
 */
size_t at_prefix_compute_hashes(const char *workspace, const char *target,
    const void *prompt, size_t len, uint32_t bytes_per_token,
    uint64_t hashes[AT_PREFIX_BLOCKS_MAX]);

#endif
