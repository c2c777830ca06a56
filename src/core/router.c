#include "almondthread/router.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>
#include <xxhash.h>

#include "almondthread/ports.h"
#include "core/prefix_table.h"

#define DEFAULT_PREFILL_TOKENS_S 8000u
#define DEFAULT_BATCH_MAX 32u
#define DEFAULT_BATCH_PLACE_MS 60u
#define DEFAULT_DISTANCE_MS 4u
#define DEFAULT_STALE_MS 1500u
#define SENT_MAX 64u    /* sends remembered since a report */
#define RATIO_ONE 1024u /* observed = predicted */
#define RATIO_MIN (RATIO_ONE / 2)
#define RATIO_MAX (RATIO_ONE * 8)
#define RATIO_SHIFT 4u        /* weight of one observation: 1/16 */
#define SUSPECT_FIRST_MS 500u /* out after the first failure */
#define SUSPECT_MAX_MS 30000u /* out after many */
#define PROBATION_OK 8u       /* answers until full trust */
#define OVERFLOW_GAIN_MS 30u  /* another data centre must be sooner by */

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

const char *const at_route_why_names[] = {
    "least", "prefix", "two", "overflow", "probation"};

at_router_t *
at_router_new(const at_name_t *data_centre, uint64_t seed)
{
	at_router_t *router = calloc(1, sizeof(*router));

	if (router == NULL)
		return NULL;
	router->data_centre = *data_centre;
	router->speed.prefill_tokens_s = DEFAULT_PREFILL_TOKENS_S;
	router->speed.batch_max = DEFAULT_BATCH_MAX;
	router->speed.batch_place_ms = DEFAULT_BATCH_PLACE_MS;
	router->distance_ms = DEFAULT_DISTANCE_MS;
	router->stale_ms = DEFAULT_STALE_MS;
	router->rng.state = seed;
	router->prefixes = at_prefix_table_new();
	if (router->prefixes == NULL) {
		free(router);
		return NULL;
	}
	return router;
}

void
at_router_set_speed(at_router_t *router, const at_engine_speed_t *speed)
{
	assert(speed->prefill_tokens_s > 0 && speed->batch_max > 0);
	router->speed = *speed;
}

void
at_router_set_distance_ms(at_router_t *router, uint32_t distance_ms)
{
	router->distance_ms = distance_ms;
}

void
at_router_set_stale_ms(at_router_t *router, uint32_t stale_ms)
{
	router->stale_ms = stale_ms;
}

static engine_t *
find_engine(const at_router_t *router, const at_name_t *name)
{
	engine_t *e;

	HASH_FIND_STR(router->engines, name->text, e);
	return e;
}

static const char *
target_of(const at_resident_t *resident)
{
	return resident->adapter.text[0] != '\0' ? resident->adapter.text
						 : resident->model.text;
}

static void
holders_remove(at_router_t *router, const char *target, const engine_t *e)
{
	holders_t *h;
	size_t i;

	HASH_FIND_STR(router->holders, target, h);
	if (h == NULL)
		return;
	for (i = 0; i < h->count; i++) {
		if (h->engines[i] == e) {
			h->engines[i] = h->engines[--h->count];
			break;
		}
	}
	if (h->count > 0)
		return;
	HASH_DEL(router->holders, h);
	free(h->engines);
	free(h);
}

static int
holders_grow(holders_t *h)
{
	size_t size = 2 * h->size + 4;
	engine_t **grown = realloc(h->engines, size * sizeof(engine_t *));

	if (grown == NULL)
		return -1;
	h->engines = grown;
	h->size = size;
	return 0;
}

static int
holders_add(at_router_t *router, const char *target, engine_t *e)
{
	holders_t *h;

	HASH_FIND_STR(router->holders, target, h);
	if (h == NULL) {
		h = calloc(1, sizeof(*h));
		if (h == NULL)
			return -1;
		memcpy(h->target, target, strlen(target) + 1);
		HASH_ADD_STR(router->holders, target, h);
	}
	if (h->count == h->size && holders_grow(h) != 0)
		return -1;
	h->engines[h->count++] = e;
	return 0;
}

static void
drop_residents(at_router_t *router, engine_t *e)
{
	size_t i;

	for (i = 0; i < e->view.resident_count; i++)
		holders_remove(router, target_of(&e->view.residents[i]), e);
	free(e->view.residents);
	e->view.residents = NULL;
	e->view.resident_count = 0;
}

static int
same_residents(const at_engine_view_t *a, const at_engine_view_t *b)
{
	size_t i;

	if (a->resident_count != b->resident_count)
		return 0;
	for (i = 0; i < a->resident_count; i++) {
		if (!at_name_equal(
			&a->residents[i].model, &b->residents[i].model) ||
		    !at_name_equal(
			&a->residents[i].adapter, &b->residents[i].adapter))
			return 0;
	}
	return 1;
}

static int
take_residents(at_router_t *router, engine_t *e, const at_engine_view_t *view)
{
	size_t bytes = view->resident_count * sizeof(view->residents[0]);
	size_t i;

	if (same_residents(&e->view, view))
		return 0;
	drop_residents(router, e);
	if (bytes == 0)
		return 0;
	e->view.residents = malloc(bytes);
	if (e->view.residents == NULL)
		return -1;
	memcpy(e->view.residents, view->residents, bytes);
	e->view.resident_count = view->resident_count;
	for (i = 0; i < view->resident_count; i++) {
		if (holders_add(router, target_of(&view->residents[i]), e) != 0)
			return -1;
	}
	return 0;
}

/* What was sent before the report is in the report. */
static void
forget_sent(engine_t *e, uint64_t report_at_ms)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < e->sent_count; i++) {
		if (e->sent[i].at_ms > report_at_ms)
			e->sent[kept++] = e->sent[i];
	}
	e->sent_count = kept;
}

static engine_t *
add_engine(at_router_t *router, const at_name_t *name)
{
	engine_t *e = calloc(1, sizeof(*e));

	if (e == NULL)
		return NULL;
	e->view.name = *name;
	e->index = router->next_index++;
	e->ratio = RATIO_ONE;
	e->successes = PROBATION_OK;
	HASH_ADD_KEYPTR(
	    hh, router->engines, e->view.name.text, strlen(name->text), e);
	return e;
}

int
at_router_report(at_router_t *router, const at_engine_view_t *view)
{
	engine_t *e = find_engine(router, &view->name);
	at_resident_t *residents;
	size_t count;

	if (e == NULL)
		e = add_engine(router, &view->name);
	if (e == NULL)
		return -1;
	if (view->report_at_ms < e->view.report_at_ms)
		return 0;
	if (view->incarnation != e->view.incarnation)
		at_prefix_table_drop(router->prefixes, e->index);
	if (take_residents(router, e, view) != 0)
		return -1;
	forget_sent(e, view->report_at_ms);
	residents = e->view.residents;
	count = e->view.resident_count;
	e->view = *view;
	e->view.residents = residents;
	e->view.resident_count = count;
	return 0;
}

static void
engine_delete(at_router_t *router, engine_t *e)
{
	drop_residents(router, e);
	HASH_DEL(router->engines, e);
	free(e);
}

void
at_router_remove(at_router_t *router, const at_name_t *name)
{
	engine_t *e = find_engine(router, name);

	if (e == NULL)
		return;
	at_prefix_table_drop(router->prefixes, e->index);
	engine_delete(router, e);
}

void
at_router_leaving(at_router_t *router, const at_name_t *name, int leaving)
{
	engine_t *e = find_engine(router, name);

	if (e != NULL)
		e->view.leaving = leaving;
}

void
at_router_delete(at_router_t *router)
{
	engine_t *e;
	engine_t *next;

	if (router == NULL)
		return;
	HASH_ITER(hh, router->engines, e, next)
	{
		engine_delete(router, e);
	}
	at_prefix_table_delete(router->prefixes);
	free(router);
}

static int
is_avoided(const engine_t *e, const at_route_request_t *request)
{
	size_t i;

	for (i = 0; i < AT_ROUTER_AVOID_MAX && request->avoid[i]; i++) {
		if (at_name_equal(request->avoid[i], &e->view.name))
			return 1;
	}
	return 0;
}

/* An engine on probation gets one request for each answer it gave. */
static int
may_take(const engine_t *e, uint64_t now_ms)
{
	if (e->view.leaving || e->view.suspected)
		return 0;
	if (now_ms < e->out_until_ms)
		return 0;
	if (e->successes < PROBATION_OK)
		return e->own_running <= e->successes;
	return 1;
}

static uint32_t
cached_tokens(const at_router_t *router, const engine_t *e,
    const at_route_request_t *request, uint64_t now_ms)
{
	size_t low = 0;
	size_t high = request->prefix_count;

	/* A held prefix implies its shorter ones: search the longest. */
	while (low < high) {
		size_t middle = (low + high) / 2;

		if (at_prefix_table_has(router->prefixes,
			request->prefix_hashes[middle], e->index, now_ms))
			low = middle + 1;
		else
			high = middle;
	}
	return (uint32_t)low * AT_PREFIX_BLOCK_TOKENS;
}

static uint64_t
pending_prefill(const engine_t *e)
{
	uint64_t sum = e->view.queued_prefill_tokens;
	size_t i;

	for (i = 0; i < e->sent_count; i++)
		sum += e->sent[i].prefill_tokens;
	return sum;
}

static uint64_t
place_wait_ms(const at_router_t *router, const engine_t *e)
{
	uint64_t load =
	    (uint64_t)e->view.running + e->view.queued + e->sent_count;
	uint64_t over;

	if (load < router->speed.batch_max)
		return 0;
	over = load - router->speed.batch_max + 1;
	return over * router->speed.batch_place_ms / router->speed.batch_max +
	       router->speed.batch_place_ms;
}

static uint32_t
predict_ms(const at_router_t *router, const engine_t *e,
    const at_route_request_t *request, uint32_t cached)
{
	uint32_t own = cached < request->prompt_tokens
			   ? request->prompt_tokens - cached
			   : 1;
	uint64_t prefill = pending_prefill(e) + own;
	uint64_t ms = prefill * 1000 / router->speed.prefill_tokens_s;

	ms += place_wait_ms(router, e);
	ms = ms * e->ratio / RATIO_ONE;
	if (!at_name_equal(&e->view.data_centre, &router->data_centre))
		ms += router->distance_ms;
	return ms > UINT32_MAX ? UINT32_MAX : (uint32_t)ms;
}

/* The best candidate found so far in one data centre or elsewhere. */
typedef struct best {
	const engine_t *engine;
	uint32_t ms;
	uint32_t cached;
} best_t;

static void
consider(const at_router_t *router, const engine_t *e,
    const at_route_request_t *request, uint64_t now_ms, best_t *best)
{
	uint32_t cached = cached_tokens(router, e, request, now_ms);
	uint32_t ms = predict_ms(router, e, request, cached);

	if (best->engine != NULL &&
	    (ms > best->ms || (ms == best->ms &&
				  e->own_running >= best->engine->own_running)))
		return;
	best->engine = e;
	best->ms = ms;
	best->cached = cached;
}

static int
is_stale(const at_router_t *router, const engine_t *e, uint64_t now_ms)
{
	return now_ms > e->view.report_at_ms + router->stale_ms;
}

/* One pass over the holders of a target. */
typedef struct search {
	best_t local;
	best_t remote;
	best_t avoided;
	const engine_t *stale[2]; /* two of them, drawn at random */
	uint32_t stale_count;
} search_t;

static void
search_one(at_router_t *router, const engine_t *e,
    const at_route_request_t *request, uint64_t now_ms, search_t *s)
{
	if (!may_take(e, now_ms))
		return;
	if (is_avoided(e, request)) {
		consider(router, e, request, now_ms, &s->avoided);
		return;
	}
	if (!at_name_equal(&e->view.data_centre, &router->data_centre)) {
		consider(router, e, request, now_ms, &s->remote);
		return;
	}
	if (is_stale(router, e, now_ms)) {
		s->stale_count++;
		if (s->stale_count <= 2)
			s->stale[s->stale_count - 1] = e;
		else if (at_rng_below(&router->rng, s->stale_count) < 2)
			s->stale[at_rng_below(&router->rng, 2)] = e;
		return;
	}
	consider(router, e, request, now_ms, &s->local);
}

static void
search_holders(at_router_t *router, const char *target,
    const at_route_request_t *request, uint64_t now_ms, search_t *s)
{
	holders_t *h;
	size_t i;

	HASH_FIND_STR(router->holders, target, h);
	for (i = 0; h != NULL && i < h->count; i++)
		search_one(router, h->engines[i], request, now_ms, s);
}

static at_route_why_t
why(const best_t *best, const search_t *s)
{
	if (best->engine->successes < PROBATION_OK)
		return AT_ROUTE_PROBATION;
	if (best == &s->remote)
		return AT_ROUTE_OVERFLOW;
	return best->cached > 0 ? AT_ROUTE_PREFIX : AT_ROUTE_LEAST;
}

static const best_t *
pick(const search_t *s)
{
	if (s->local.engine == NULL)
		return s->remote.engine != NULL ? &s->remote : &s->avoided;
	if (s->remote.engine != NULL &&
	    s->remote.ms + OVERFLOW_GAIN_MS < s->local.ms)
		return &s->remote;
	return &s->local;
}

at_reason_t
at_router_choose(at_router_t *router, const at_route_request_t *request,
    uint64_t now_ms, at_route_choice_t *choice)
{
	search_t s = {0};
	const best_t *best;
	uint32_t i;

	memset(choice, 0, sizeof(*choice));
	search_holders(router, request->target, request, now_ms, &s);
	for (i = 0; i < s.stale_count && i < 2; i++)
		consider(router, s.stale[i], request, now_ms, &s.local);
	best = pick(&s);
	if (best->engine == NULL)
		return AT_REASON_NO_BACKEND;
	choice->engine = best->engine->view.name;
	choice->predicted_ms = best->ms;
	choice->cached_tokens = best->cached;
	choice->why = why(best, &s);
	if (choice->why == AT_ROUTE_LEAST &&
	    is_stale(router, best->engine, now_ms))
		choice->why = AT_ROUTE_TWO;
	if (request->deadline_ms != 0 && best->ms > request->deadline_ms)
		return AT_REASON_OVERLOAD;
	return AT_REASON_NONE;
}

void
at_router_sent(at_router_t *router, const at_route_request_t *request,
    const at_route_choice_t *choice, uint64_t now_ms)
{
	engine_t *e = find_engine(router, &choice->engine);
	size_t i;

	if (e == NULL)
		return;
	e->own_running++;
	if (e->sent_count == SENT_MAX) {
		/* Without a report for long: fold the two oldest. */
		e->sent[1].prefill_tokens += e->sent[0].prefill_tokens;
		memmove(
		    e->sent, e->sent + 1, (SENT_MAX - 1) * sizeof(e->sent[0]));
		e->sent_count--;
	}
	e->sent[e->sent_count].at_ms = now_ms;
	e->sent[e->sent_count].prefill_tokens =
	    choice->cached_tokens < request->prompt_tokens
		? request->prompt_tokens - choice->cached_tokens
		: 1;
	e->sent_count++;
	for (i = 0; i < request->prefix_count; i++)
		at_prefix_table_add(router->prefixes, request->prefix_hashes[i],
		    e->index, now_ms);
}

void
at_router_first_token(
    at_router_t *router, const at_route_choice_t *choice, uint32_t seen_ms)
{
	engine_t *e = find_engine(router, &choice->engine);
	uint64_t predicted = choice->predicted_ms + 1u;
	uint64_t ratio;

	if (e == NULL)
		return;
	/* The prediction holds the present ratio already. */
	ratio = (uint64_t)(seen_ms + 1u) * e->ratio / predicted;
	if (ratio < RATIO_MIN)
		ratio = RATIO_MIN;
	if (ratio > RATIO_MAX)
		ratio = RATIO_MAX;
	e->ratio = (uint32_t)((e->ratio * ((1u << RATIO_SHIFT) - 1) + ratio) >>
			      RATIO_SHIFT);
}

static uint64_t
out_ms(uint32_t failures)
{
	uint64_t ms = SUSPECT_FIRST_MS;

	while (failures-- > 1 && ms < SUSPECT_MAX_MS)
		ms *= 2;
	return ms < SUSPECT_MAX_MS ? ms : SUSPECT_MAX_MS;
}

void
at_router_ended(at_router_t *router, const at_route_choice_t *choice,
    int failed, uint64_t now_ms)
{
	engine_t *e = find_engine(router, &choice->engine);

	if (e == NULL)
		return;
	if (e->own_running > 0)
		e->own_running--;
	if (!failed) {
		if (e->successes < PROBATION_OK &&
		    ++e->successes == PROBATION_OK)
			e->failures = 0;
		return;
	}
	e->failures++;
	e->successes = 0;
	e->out_until_ms = now_ms + out_ms(e->failures);
}

uint32_t
at_router_load(const at_router_t *router, const at_name_t *name)
{
	const engine_t *e = find_engine(router, name);

	return e == NULL ? 0 : e->own_running;
}

size_t
at_prefix_hashes(const char *workspace, const char *target, const void *prompt,
    size_t len, uint32_t bytes_per_token, uint64_t hashes[AT_PREFIX_BLOCKS_MAX])
{
	size_t block = (size_t)AT_PREFIX_BLOCK_TOKENS * bytes_per_token;
	const char *p = prompt;
	uint64_t hash = XXH3_64bits(workspace, strlen(workspace));
	size_t count = 0;

	hash = XXH3_64bits_withSeed(target, strlen(target), hash);
	while (count < AT_PREFIX_BLOCKS_MAX && len >= block) {
		hash = XXH3_64bits_withSeed(p, block, hash);
		/* 0 marks an empty place in the table. */
		hashes[count++] = hash == 0 ? 1 : hash;
		p += block;
		len -= block;
	}
	return count;
}
