/*
 * router.h - chooses the engine for a request by its predicted time to the
 * first token. The time and the random seed are passed in.
 *
 * The prediction for one engine is
 *
 *   wait for a batch slot
 *     + (queued prefill + prefill sent by this router since the report
 *        + prompt less its cached prefix) / prefill rate
 *     + distance to the data centre,
 *
 * multiplied by the engine's recent ratio of observed to predicted time.
 * Reports are corrected by what this router has sent since they were made.
 * With stale reports the better of two random candidates is taken, so that
 * instances with the same old report do not all choose the same engine.
 */
#ifndef ALMONDTHREAD_ROUTER_H
#define ALMONDTHREAD_ROUTER_H

#include "almondthread/engine_view.h"
#include "almondthread/verdict.h"

#define AT_PREFIX_BLOCK_TOKENS 64u /* prompt tokens in one hashed block */
#define AT_PREFIX_BLOCKS_MAX 64u   /* prefix hashes of one request */
#define AT_ROUTER_AVOID_MAX 4u     /* engines that one request avoids */

typedef struct at_router at_router_t;

/* Speed of one engine; a new engine has the router's defaults. */
typedef struct at_engine_speed {
	uint32_t prefill_tokens_s;
	uint32_t batch_max;     /* requests decoded together */
	uint32_t batch_slot_ms; /* mean time until a batch slot is free */
} at_engine_speed_t;

/* A request. prefix_hashes[i] covers the first i + 1 blocks. */
typedef struct at_route_request {
	const char *target; /* model or adapter */
	uint32_t prompt_tokens;
	const uint64_t *prefix_hashes;
	size_t prefix_count;
	uint32_t deadline_ms; /* for the first token; 0: none */
	/* Engines tried before, or NULL. */
	const at_name_t *avoid[AT_ROUTER_AVOID_MAX];
	/* Returns non-zero if it may run on an engine; NULL: it may on all. */
	int (*may_run)(void *ctx, const at_name_t *engine);
	void *may_run_ctx;
} at_route_request_t;

/* Why an engine was chosen. */
typedef enum at_route_choice_reason {
	AT_ROUTE_LEAST_TIME,    /* least predicted time */
	AT_ROUTE_CACHED_PREFIX, /* it has a prefix of the prompt cached */
	AT_ROUTE_BEST_OF_TWO,   /* better of two candidates, stale reports */
	AT_ROUTE_OVERFLOW,      /* another data centre is faster */
	AT_ROUTE_PROBATION,     /* trial request for an engine that failed */
	AT_ROUTE_CHOICE_REASON_COUNT
} at_route_choice_reason_t;

extern const char *const at_route_choice_reason_names[];

typedef struct at_route_choice {
	at_name_t engine;
	uint32_t predicted_ms;
	uint32_t cached_tokens;
	at_route_choice_reason_t reason;
} at_route_choice_t;

/* at_router_new() returns NULL if out of memory; seed is for random choices. */
at_router_t *at_router_new(const at_name_t *data_centre, uint64_t seed);
void at_router_delete(at_router_t *router);
/* Setters of defaults; called before the first report. */
void at_router_set_speed(at_router_t *router, const at_engine_speed_t *speed);
/* Added to the prediction of an engine in another data centre. */
void at_router_set_distance_ms(at_router_t *router, uint32_t distance_ms);
/* Age from which a report is stale. */
void at_router_set_stale_ms(at_router_t *router, uint32_t stale_ms);

/*
 * at_router_apply_report() copies a newer view of an engine; an older one is
 * ignored. Returns 0, or -1 if out of memory.
 */
int at_router_apply_report(at_router_t *router, const at_engine_view_t *view);
/* at_router_remove() removes an engine that is no longer listed. */
void at_router_remove(at_router_t *router, const at_name_t *engine);
/* at_router_set_leaving() stops choosing an engine; its requests finish. */
void at_router_set_leaving(
    at_router_t *router, const at_name_t *engine, int is_leaving);

/*
 * at_router_choose() returns AT_REASON_NONE with a choice,
 * AT_REASON_NO_BACKEND when the target is resident on no engine, or
 * AT_REASON_OVERLOAD when the best prediction, stored in choice, exceeds the
 * deadline. Nothing is counted until at_router_note_sent().
 */
at_reason_t at_router_choose(at_router_t *router,
    const at_route_request_t *request, uint64_t now_ms,
    at_route_choice_t *choice);

/* at_router_note_sent() counts a request that was sent. */
void at_router_note_sent(at_router_t *router, const at_route_request_t *request,
    const at_route_choice_t *choice, uint64_t now_ms);
/*
 * at_router_note_first_token() updates the engine's ratio by the observed
 * time to the first token.
 */
void at_router_note_first_token(
    at_router_t *router, const at_route_choice_t *choice, uint32_t seen_ms);
/*
 * at_router_note_ended() stops counting a request. A failure makes the router
 * avoid the engine for a time that grows with the number of failures.
 */
void at_router_note_ended(at_router_t *router, const at_route_choice_t *choice,
    int failed, uint64_t now_ms);

/* at_router_outstanding() returns this router's open requests on an engine. */
uint32_t at_router_outstanding(
    const at_router_t *router, const at_name_t *engine);

/*
 * at_prefix_compute_hashes() hashes a prompt of len bytes in blocks of
 * AT_PREFIX_BLOCK_TOKENS tokens of bytes_per_token bytes. workspace makes
 * equal prompts of different workspaces differ. Returns the number of
 * hashes.
 */
size_t at_prefix_compute_hashes(const char *workspace, const char *target,
    const void *prompt, size_t len, uint32_t bytes_per_token,
    uint64_t hashes[AT_PREFIX_BLOCKS_MAX]);

#endif
