#include "core/routing/router_private.h"

#include <string.h>

#include <xxhash.h>

#define RATIO_MIN (RATIO_ONE / 2) /* smallest ratio of one observation */
#define RATIO_MAX (RATIO_ONE * 8) /* largest ratio of one observation */
/* Added to both times: short ones say little about the speed of an engine. */
#define RATIO_OFFSET_MS 20u
#define RATIO_SHIFT 4u          /* weight of one observation: 1/16 */
#define EXCLUSION_MIN_MS 500u   /* exclusion after the first failure */
#define EXCLUSION_MAX_MS 30000u /* exclusion after many failures */
/* Part of an engine's time in which a full batch is decoded. */
#define DECODE_MAX_PERCENT 90u
#define OVERFLOW_GAIN_MS 30u /* another data centre must be faster by this */

const char *const at_route_choice_reason_names[] = {
    "least", "prefix", "two", "overflow", "probation"};

/* Returns whether the caller of the router has excluded an engine. */
static int
is_avoided(const engine_t *engine, const at_route_request_t *request)
{
	size_t i;

	for (i = 0; i < AT_ROUTER_AVOID_MAX && request->avoid[i]; i++) {
		if (at_name_equal(request->avoid[i], &engine->view.name))
			return 1;
	}
	return 0;
}

/*
 * An engine that failed is excluded for a while. Then it is on probation: the
 * number of its concurrent requests is limited to one more than its successes.
 */
static int
is_available(const engine_t *engine, uint64_t now_ms)
{
	if (engine->view.is_suspected)
		return 0;
	if (now_ms < engine->excluded_until_ms)
		return 0;
	if (engine->successes < PROBATION_SUCCESSES)
		return engine->own_running <= engine->successes;
	return 1;
}

/* Returns the tokens of the longest prefix that an engine has cached. */
static uint32_t
cached_tokens(const at_router_t *router, const engine_t *engine,
    const at_route_request_t *request, uint64_t now_ms)
{
	size_t low = 0;
	size_t high = request->prefix_count;

	/* A cached prefix implies all shorter ones: search the longest. */
	while (low < high) {
		size_t middle = (low + high) / 2;

		if (at_prefix_table_has(router->prefixes,
			request->prefix_hashes[middle], engine->index, now_ms))
			low = middle + 1;
		else
			high = middle;
	}
	return (uint32_t)low * AT_PREFIX_BLOCK_TOKENS;
}

/* Returns the prefill tokens queued at an engine or sent since its report. */
static uint64_t
pending_prefill_tokens(const engine_t *engine)
{
	uint64_t sum = engine->view.queued_prefill_tokens;
	size_t i;

	for (i = 0; i < engine->sent_count; i++)
		sum += engine->sent[i].prefill_tokens;
	return sum;
}

/* Returns the expected wait for a batch slot. */
static uint64_t
slot_wait_ms(const at_router_t *router, const engine_t *engine)
{
	uint64_t load = (uint64_t)engine->view.running + engine->view.queued +
			engine->sent_count;
	uint64_t excess;

	if (load < router->speed.batch_max)
		return 0;
	excess = load - router->speed.batch_max + 1;
	return excess * router->speed.batch_slot_ms / router->speed.batch_max +
	       router->speed.batch_slot_ms;
}

/* Returns the prefill rate in the time that decoding leaves. */
static uint64_t
prefill_tokens_s(const at_router_t *router, const engine_t *engine)
{
	uint64_t batch = (uint64_t)engine->view.running + engine->sent_count;
	uint64_t decode_percent =
	    batch * DECODE_MAX_PERCENT / router->speed.batch_max;

	if (decode_percent > DECODE_MAX_PERCENT)
		decode_percent = DECODE_MAX_PERCENT;
	return (uint64_t)router->speed.prefill_tokens_s *
	       (100 - decode_percent) / 100;
}

/* Returns the predicted time to the first token. */
static uint32_t
predict_ms(const at_router_t *router, const engine_t *engine,
    const at_route_request_t *request, uint32_t cached)
{
	uint32_t own = cached < request->prompt_tokens
			   ? request->prompt_tokens - cached
			   : 1;
	uint64_t prefill = pending_prefill_tokens(engine) + own;
	uint64_t ms = prefill * 1000 / prefill_tokens_s(router, engine);

	ms += slot_wait_ms(router, engine);
	ms = ms * engine->ratio / RATIO_ONE;
	if (!at_name_equal(&engine->view.data_centre, &router->data_centre))
		ms += router->distance_ms;
	return ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms;
}

/* The best engine found so far in one class of engines. */
typedef struct best {
	const engine_t *engine;
	uint32_t predicted_ms;
	uint32_t cached_tokens;
} best_t;

static void
consider(const at_router_t *router, const engine_t *engine,
    const at_route_request_t *request, uint64_t now_ms, best_t *best)
{
	uint32_t cached = cached_tokens(router, engine, request, now_ms);
	uint32_t ms = predict_ms(router, engine, request, cached);

	if (best->engine != NULL &&
	    (ms > best->predicted_ms ||
		(ms == best->predicted_ms &&
		    engine->own_running >= best->engine->own_running)))
		return;
	best->engine = engine;
	best->predicted_ms = ms;
	best->cached_tokens = cached;
}

static int
is_stale(const at_router_t *router, const engine_t *engine, uint64_t now_ms)
{
	return now_ms > engine->view.report_at_ms + router->stale_ms;
}

/* Result of one pass over the engines of a target. */
typedef struct search {
	best_t local;
	best_t remote;
	best_t avoided; /* tried before: chosen only without a better class */
	best_t unavailable;       /* suspected or failed: chosen last */
	const engine_t *stale[2]; /* two random ones with stale reports */
	uint32_t stale_count;
} search_t;

static void
classify(at_router_t *router, const engine_t *engine,
    const at_route_request_t *request, uint64_t now_ms, search_t *s)
{
	if (engine->view.is_leaving)
		return;
	if (request->may_run != NULL &&
	    !request->may_run(request->may_run_ctx, &engine->view.name))
		return;
	if (!is_available(engine, now_ms)) {
		consider(router, engine, request, now_ms, &s->unavailable);
		return;
	}
	if (is_avoided(engine, request)) {
		consider(router, engine, request, now_ms, &s->avoided);
		return;
	}
	if (!at_name_equal(&engine->view.data_centre, &router->data_centre)) {
		consider(router, engine, request, now_ms, &s->remote);
		return;
	}
	if (is_stale(router, engine, now_ms)) {
		s->stale_count++;
		if (s->stale_count <= 2)
			s->stale[s->stale_count - 1] = engine;
		else if (at_rng_below(&router->rng, s->stale_count) < 2)
			s->stale[at_rng_below(&router->rng, 2)] = engine;
		return;
	}
	consider(router, engine, request, now_ms, &s->local);
}

static void
search_target(at_router_t *router, const char *target,
    const at_route_request_t *request, uint64_t now_ms, search_t *s)
{
	target_engines_t *entry;
	size_t i;

	HASH_FIND_STR(router->targets, target, entry);
	for (i = 0; entry != NULL && i < entry->count; i++)
		classify(router, entry->engines[i], request, now_ms, s);
}

static at_route_choice_reason_t
choice_reason(const best_t *best, const search_t *s)
{
	if (best == &s->unavailable ||
	    best->engine->successes < PROBATION_SUCCESSES)
		return AT_ROUTE_PROBATION;
	if (best == &s->remote)
		return AT_ROUTE_OVERFLOW;
	return best->cached_tokens > 0 ? AT_ROUTE_CACHED_PREFIX
				       : AT_ROUTE_LEAST_TIME;
}

/*
 * An unavailable engine may fail the request, but when there is no other one,
 * refusing the request would certainly fail it.
 */
static const best_t *
pick_best(const search_t *s)
{
	if (s->local.engine != NULL && s->remote.engine != NULL)
		return s->remote.predicted_ms + OVERFLOW_GAIN_MS <
			       s->local.predicted_ms
			   ? &s->remote
			   : &s->local;
	if (s->local.engine != NULL)
		return &s->local;
	if (s->remote.engine != NULL)
		return &s->remote;
	return s->avoided.engine != NULL ? &s->avoided : &s->unavailable;
}

at_reason_t
at_router_choose(at_router_t *router, const at_route_request_t *request,
    uint64_t now_ms, at_route_choice_t *choice)
{
	search_t s = {0};
	const best_t *best;
	uint32_t i;

	memset(choice, 0, sizeof(*choice));
	search_target(router, request->target, request, now_ms, &s);
	for (i = 0; i < s.stale_count && i < 2; i++)
		consider(router, s.stale[i], request, now_ms, &s.local);
	best = pick_best(&s);
	if (best->engine == NULL)
		return AT_REASON_NO_BACKEND;
	choice->engine = best->engine->view.name;
	choice->predicted_ms = best->predicted_ms;
	choice->cached_tokens = best->cached_tokens;
	choice->reason = choice_reason(best, &s);
	if (choice->reason == AT_ROUTE_LEAST_TIME &&
	    is_stale(router, best->engine, now_ms))
		choice->reason = AT_ROUTE_BEST_OF_TWO;
	if (request->deadline_ms != 0 &&
	    best->predicted_ms > request->deadline_ms)
		return AT_REASON_OVERLOAD;
	return AT_REASON_NONE;
}

void
at_router_note_sent(at_router_t *router, const at_route_request_t *request,
    const at_route_choice_t *choice, uint64_t now_ms)
{
	engine_t *engine = at_router_find_engine(router, &choice->engine);
	size_t i;

	if (engine == NULL)
		return;
	engine->own_running++;
	if (engine->sent_count == SENT_MAX) {
		/* No report for a long time: merge the two oldest. */
		engine->sent[1].prefill_tokens +=
		    engine->sent[0].prefill_tokens;
		memmove(engine->sent, engine->sent + 1,
		    (SENT_MAX - 1) * sizeof(engine->sent[0]));
		engine->sent_count--;
	}
	engine->sent[engine->sent_count].at_ms = now_ms;
	engine->sent[engine->sent_count].prefill_tokens =
	    choice->cached_tokens < request->prompt_tokens
		? request->prompt_tokens - choice->cached_tokens
		: 1;
	engine->sent_count++;
	for (i = 0; i < request->prefix_count; i++)
		at_prefix_table_add(router->prefixes, request->prefix_hashes[i],
		    engine->index, now_ms);
}

void
at_router_note_first_token(
    at_router_t *router, const at_route_choice_t *choice, uint32_t seen_ms)
{
	engine_t *engine = at_router_find_engine(router, &choice->engine);
	uint64_t predicted = (uint64_t)choice->predicted_ms + RATIO_OFFSET_MS;
	uint64_t ratio;

	if (engine == NULL)
		return;
	/* The prediction already includes the present ratio. */
	ratio =
	    ((uint64_t)seen_ms + RATIO_OFFSET_MS) * engine->ratio / predicted;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	engine->ratio =
	    (uint32_t)((engine->ratio * ((1u << RATIO_SHIFT) - 1) + ratio) >>
		       RATIO_SHIFT);
}

/* Returns the exclusion after consecutive failures: doubled with each. */
static uint64_t
exclusion_ms(uint32_t failures)
{
	uint64_t ms = EXCLUSION_MIN_MS;

	while (failures-- > 1 && ms < EXCLUSION_MAX_MS)
		ms *= 2;
	return ms < EXCLUSION_MAX_MS ? ms : EXCLUSION_MAX_MS;
}

void
at_router_note_ended(at_router_t *router, const at_route_choice_t *choice,
    int failed, uint64_t now_ms)
{
	engine_t *engine = at_router_find_engine(router, &choice->engine);

	if (engine == NULL)
		return;
	if (engine->own_running > 0)
		engine->own_running--;
	if (!failed) {
		if (engine->successes < PROBATION_SUCCESSES &&
		    ++engine->successes == PROBATION_SUCCESSES)
			engine->failures = 0;
		return;
	}
	engine->failures++;
	engine->successes = 0;
	engine->excluded_until_ms = now_ms + exclusion_ms(engine->failures);
}

uint32_t
at_router_outstanding(const at_router_t *router, const at_name_t *name)
{
	const engine_t *engine = at_router_find_engine(router, name);

	return engine == NULL ? 0 : engine->own_running;
}

size_t
at_prefix_compute_hashes(const char *workspace, const char *target,
    const void *prompt, size_t len, uint32_t bytes_per_token,
    uint64_t hashes[AT_PREFIX_BLOCKS_MAX])
{
	size_t block = (size_t)AT_PREFIX_BLOCK_TOKENS * bytes_per_token;
	const char *p = prompt;
	uint64_t hash = XXH3_64bits(workspace, strlen(workspace));
	size_t count = 0;

	hash = XXH3_64bits_withSeed(target, strlen(target), hash);
	while (count < AT_PREFIX_BLOCKS_MAX && len >= block) {
		hash = XXH3_64bits_withSeed(p, block, hash);
		/* 0 marks an empty entry in the table. */
		hashes[count++] = hash == 0 ? 1 : hash;
		p += block;
		len -= block;
	}
	return count;
}
