/*
 * placement_plan.c - one round of the planner: which items need replicas, on
 * which engines, and what is unloaded for them.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/placement/placement_round.h"

/* Part of the rate of an engine that one replica may use. */
#define SHARE_PERCENT 50u
/* Weight of unused memory against load in the score of an engine. */
#define UNUSED_MEMORY_WEIGHT 0.25
/* Time in seconds within which a move must pay off. */
#define HORIZON_S 60.0
/* Engine time in seconds that one load costs. */
#define LOAD_COST_S 2.0
/* Limit of searches for residents to unload in one round. */
#define EVICTION_SEARCHES_MAX 64u
/* Limit of searches for items to relocate in one round. */
#define RELOCATION_SEARCHES_MAX 8u

void
at_round_emit(round_t *r, at_order_kind_t kind, const at_order_t *order,
    size_t engine, const char *reason)
{
	at_decision_t *d;

	if (r->count == r->max)
		return;
	d = &r->decisions[r->count++];
	d->order = *order;
	d->order.kind = kind;
	d->order.engine = r->engines[engine].name;
	(void)snprintf(d->reason, sizeof(d->reason), "%s", reason);
}

static at_order_t
make_order(const item_t *item)
{
	at_order_t order = {.model = item->model,
	    .adapter = item->adapter,
	    .version = item->version,
	    .memory_mb = item->memory_mb};

	return order;
}

/*
 * Returns non-zero if an item may be loaded on an engine, regardless of memory.
 */
static int
is_eligible(const round_t *r, const item_t *item, size_t engine)
{
	const at_place_engine_t *e = &r->engines[engine];
	const replica_t *base;

	if (!e->is_usable || e->is_leaving ||
	    at_round_find_replica(r, item, engine) != NULL ||
	    at_round_is_excepted(r, item, engine, AT_EXCEPTION_FORBID))
		return 0;
	if (item->base == NO_ITEM)
		return 1;
	base =
	    at_round_find_replica(r, &r->placement->items[item->base], engine);
	return base != NULL && base->state == REPLICA_SERVING;
}

static double
compute_score(const round_t *r, const item_t *item, size_t engine)
{
	const at_place_engine_t *e = &r->engines[engine];
	double share = item->slow_tokens_s /
		       (item->state.serving + item->state.loading + 1);
	double left_mb = (double)(r->free_mb[engine] - item->memory_mb);

	if (at_round_is_excepted(r, item, engine, AT_EXCEPTION_PIN))
		return -1;
	return (r->load[engine] + share) / r->rate[engine] +
	       UNUSED_MEMORY_WEIGHT * left_mb / (double)(e->capacity_mb + 1);
}

/*
 * Returns the memory that a load needs. With with_adapters a model also needs
 * that of its own adapters and of those of the other models on the engine.
 */
static uint64_t
needed_mb(
    const round_t *r, const item_t *item, size_t engine, int with_adapters)
{
	if (item->base != NO_ITEM || !with_adapters)
		return item->memory_mb;
	return item->memory_mb + item->adapters_mb +
	       r->adapters_reserved_mb[engine];
}

/* Returns the best engine with enough memory, or NO_ITEM. */
static size_t
find_engine(const round_t *r, const item_t *item, int with_adapters)
{
	size_t best = NO_ITEM;
	double best_score = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		double score;

		if (r->free_mb[e] < needed_mb(r, item, e, with_adapters) ||
		    !is_eligible(r, item, e))
			continue;
		score = compute_score(r, item, e);
		if (best == NO_ITEM || score < best_score) {
			best = e;
			best_score = score;
		}
	}
	return best;
}

/*
 * Computes the memory reserved on each engine for adapters that its models may
 * still get.
 */
static void
reserve_for_adapters(round_t *r)
{
	size_t e;
	size_t i;

	for (e = 0; e < r->engine_count; e++) {
		uint64_t resident_mb = 0;

		for (i = 0; i < r->engines[e].resident_count; i++) {
			size_t index =
			    r->resident_item[r->first_resident[e] + i];
			const item_t *item;

			if (index == NO_ITEM)
				continue;
			item = &r->placement->items[index];
			if (item->base == NO_ITEM)
				r->adapters_reserved_mb[e] += item->adapters_mb;
			else
				resident_mb += item->memory_mb;
		}
		r->adapters_reserved_mb[e] -=
		    resident_mb < r->adapters_reserved_mb[e]
			? resident_mb
			: r->adapters_reserved_mb[e];
		r->total_free_mb += r->free_mb[e];
	}
}

/*
 * Returns non-zero if the memory is needed for items that must be resident
 * here.
 */
static int
is_memory_reserved(const round_t *r, const item_t *item, urgency_t urgency)
{
	if (urgency == URGENCY_REQUIRED)
		return 0;
	return r->total_free_mb < r->missing_mb + item->memory_mb;
}

static void
order_load(round_t *r, item_t *item, size_t engine, const char *reason)
{
	at_order_t order = make_order(item);

	at_round_emit(r,
	    item->base == NO_ITEM ? AT_ORDER_LOAD_MODEL : AT_ORDER_LOAD_ADAPTER,
	    &order, engine, reason);
	(void)snprintf(item->state.reason, sizeof(item->state.reason),
	    "load on %.40s: %.70s", r->engines[engine].name.text, reason);
	r->free_mb[engine] -= item->memory_mb;
	r->total_free_mb -= item->memory_mb;
	if (item->is_required && item->state.serving + item->state.loading == 0)
		r->missing_mb -= item->memory_mb;
	item->state.loading++;
	if (item->base == NO_ITEM)
		r->adapters_reserved_mb[engine] += item->adapters_mb;
	if (item->base == NO_ITEM)
		r->load[engine] += item->slow_tokens_s /
				   (item->state.serving + item->state.loading);
}

static void
order_unload(round_t *r, const eviction_t *e, const char *reason)
{
	const at_resident_t *resident =
	    &r->engines[e->engine].residents[e->resident];
	at_order_t order = {.model = resident->model,
	    .adapter = resident->adapter,
	    .version = resident->version,
	    .memory_mb = resident->memory_mb};

	at_round_emit(r,
	    resident->adapter.text[0] == '\0' ? AT_ORDER_UNLOAD_MODEL
					      : AT_ORDER_UNLOAD_ADAPTER,
	    &order, e->engine, reason);
	r->unloading_mb[e->engine] += resident->memory_mb;
	if (e->replica == NULL)
		return;
	if (e->replica->state == REPLICA_SERVING)
		e->item->state.serving--;
	else
		e->item->state.outdated--;
	e->replica->state = REPLICA_UNLOADING;
	(void)snprintf(e->item->state.reason, sizeof(e->item->state.reason),
	    "unload from %.40s: %.66s", r->engines[e->engine].name.text,
	    reason);
}

/* Returns non-zero if an adapter of a model is resident on an engine. */
static int
has_adapter(const round_t *r, const item_t *item, size_t engine)
{
	const at_place_engine_t *e = &r->engines[engine];
	size_t i;

	if (item->base != NO_ITEM)
		return 0;
	for (i = 0; i < e->resident_count; i++) {
		if (e->residents[i].adapter.text[0] != '\0' &&
		    at_name_equal(&e->residents[i].model, &item->model))
			return 1;
	}
	return 0;
}

/*
 * Returns non-zero and fills e if a resident may be unloaded for an item of
 * this urgency.
 */
static int
may_evict(const round_t *r, size_t engine, size_t resident, urgency_t urgency,
    eviction_t *e)
{
	size_t index = r->resident_item[r->first_resident[engine] + resident];
	uint32_t min_serving = 1;

	memset(e, 0, sizeof(*e));
	e->engine = engine;
	e->resident = resident;
	e->memory_mb = r->engines[engine].residents[resident].memory_mb;
	if (index == NO_ITEM)
		return !r->engines[engine].residents[resident].in_transition;
	e->item = &r->placement->items[index];
	e->replica = at_round_find_replica(r, e->item, engine);
	if (e->replica == NULL || e->replica->has_open_order ||
	    at_round_is_excepted(r, e->item, engine, AT_EXCEPTION_PIN) ||
	    has_adapter(r, e->item, engine))
		return 0;
	if (e->replica->state == REPLICA_OUTDATED)
		return e->item->state.serving >= 1;
	if (e->replica->state != REPLICA_SERVING)
		return 0;
	if (urgency <= URGENCY_DEMAND)
		min_serving = e->item->target;
	else if (urgency <= URGENCY_BELOW_MIN)
		min_serving = e->item->is_required ? e->item->min_replicas : 1;
	if (min_serving == 0)
		min_serving = 1;
	e->served_tokens_s = e->item->slow_tokens_s / e->item->state.serving;
	return e->item->state.serving > min_serving;
}

static int
compare_served(const void *a, const void *b)
{
	const eviction_t *x = a;
	const eviction_t *y = b;

	return (x->served_tokens_s > y->served_tokens_s) -
	       (x->served_tokens_s < y->served_tokens_s);
}

/*
 * Fills r->candidates with the residents to unload from one engine so that the
 * item fits, and served_tokens_s with the demand that they serve. Returns their
 * number, 0 if the item cannot fit.
 */
static size_t
find_evictions(round_t *r, const item_t *item, size_t engine, urgency_t urgency,
    double *served_tokens_s)
{
	uint64_t available_mb = r->free_mb[engine] + r->unloading_mb[engine];
	size_t count = 0;
	size_t used;
	size_t i;

	for (i = 0; i < r->engines[engine].resident_count; i++) {
		if (count < EVICTION_CANDIDATES_MAX &&
		    may_evict(r, engine, i, urgency, &r->candidates[count]))
			count++;
	}
	qsort(r->candidates, count, sizeof(*r->candidates), compare_served);
	*served_tokens_s = 0;
	for (used = 0; used < count && available_mb < item->memory_mb; used++) {
		available_mb += r->candidates[used].memory_mb;
		*served_tokens_s += r->candidates[used].served_tokens_s;
	}
	return available_mb < item->memory_mb ? 0 : used;
}

/* Returns the gain of a further replica minus its cost, in tokens. */
static double
compute_gain(const round_t *r, const item_t *item, double evicted_tokens_s)
{
	double share = r->mean_rate * SHARE_PERCENT / 100;
	double served = share * (item->state.serving + item->state.loading);
	double unserved = item->slow_tokens_s - served;

	return (unserved - evicted_tokens_s) * HORIZON_S -
	       r->mean_rate * LOAD_COST_S;
}

/*
 * Unloads residents so that an item fits on an engine; it is loaded in a later
 * round. Returns non-zero if enough memory is being freed.
 */
static int
evict_for(round_t *r, item_t *item, urgency_t urgency)
{
	char reason[AT_PLACEMENT_REASON_SIZE];
	size_t best = NO_ITEM;
	double best_tokens_s = 0;
	double served_tokens_s;
	size_t count;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		if (!is_eligible(r, item, e))
			continue;
		if (r->free_mb[e] + r->unloading_mb[e] >= item->memory_mb) {
			r->unloading_mb[e] -=
			    item->memory_mb <= r->unloading_mb[e]
				? item->memory_mb
				: r->unloading_mb[e];
			return 1; /* enough memory is being freed */
		}
		if (find_evictions(r, item, e, urgency, &served_tokens_s) > 0 &&
		    (best == NO_ITEM || served_tokens_s < best_tokens_s)) {
			best = e;
			best_tokens_s = served_tokens_s;
		}
	}
	if (best == NO_ITEM || (urgency == URGENCY_DEMAND &&
				   compute_gain(r, item, best_tokens_s) <= 0))
		return 0;
	(void)snprintf(
	    reason, sizeof(reason), "frees memory for %.63s", item->name.text);
	count = find_evictions(r, item, best, urgency, &served_tokens_s);
	for (e = 0; e < count; e++)
		order_unload(r, &r->candidates[e], reason);
	return 1;
}

/*
 * Returns an item whose unload from this engine would free enough memory, and
 * the engine that can take it, or NULL.
 */
static item_t *
find_relocatable(
    const round_t *r, const item_t *item, size_t engine, size_t *to)
{
	uint64_t missing_mb = item->memory_mb - r->free_mb[engine];
	size_t i;

	for (i = 0; i < r->engines[engine].resident_count; i++) {
		size_t index = r->resident_item[r->first_resident[engine] + i];
		item_t *x;

		if (index == NO_ITEM)
			continue;
		x = &r->placement->items[index];
		if (x->memory_mb < missing_mb ||
		    x->memory_mb >= item->memory_mb || x->state.serving != 1 ||
		    x->state.loading != 0 || has_adapter(r, x, engine))
			continue;
		*to = find_engine(r, x, 0);
		if (*to != NO_ITEM)
			return x;
	}
	return NULL;
}

/*
 * Loads another item on a second engine, so that it can be unloaded from the
 * first.
 */
static int
relocate_for(round_t *r, const item_t *item)
{
	char reason[AT_PLACEMENT_REASON_SIZE];
	item_t *relocated;
	size_t to;
	size_t e;

	(void)snprintf(reason, sizeof(reason),
	    "is moved to free memory for %.63s", item->name.text);
	for (e = 0; e < r->engine_count; e++) {
		if (!is_eligible(r, item, e) ||
		    r->free_mb[e] >= item->memory_mb)
			continue;
		relocated = find_relocatable(r, item, e, &to);
		if (relocated == NULL)
			continue;
		order_load(r, relocated, to, reason);
		return 1;
	}
	return 0;
}

static const char *const urgency_reasons[] = {"demand exceeds its replicas",
    "fewer replicas than the minimum",
    "only an old version or a leaving engine serves it",
    "it is resident nowhere",
    "it is resident nowhere and must be resident here"};

static void
serve_need(round_t *r, item_t *item, urgency_t urgency)
{
	size_t engine;

	if (is_memory_reserved(r, item, urgency))
		return;
	engine = find_engine(r, item, 1);
	if (engine == NO_ITEM &&
	    (urgency == URGENCY_OUTDATED || urgency == URGENCY_REQUIRED))
		engine = find_engine(r, item, 0);
	if (engine != NO_ITEM) {
		if (urgency > URGENCY_DEMAND ||
		    r->placement->policy == AT_PLACEMENT_GREEDY ||
		    compute_gain(r, item, 0) > 0)
			order_load(r, item, engine, urgency_reasons[urgency]);
		return;
	}
	if (r->eviction_searches == EVICTION_SEARCHES_MAX)
		return;
	r->eviction_searches++;
	if (evict_for(r, item, urgency) || urgency < URGENCY_OUTDATED ||
	    r->is_relocating ||
	    r->relocation_searches == RELOCATION_SEARCHES_MAX)
		return;
	r->relocation_searches++;
	r->is_relocating = relocate_for(r, item);
}

static int
compare_urgency(const void *a, const void *b)
{
	const need_t *x = a;
	const need_t *y = b;

	if (x->urgency != y->urgency)
		return x->urgency > y->urgency ? -1 : 1;
	if (x->is_adapter != y->is_adapter)
		return x->is_adapter ? 1 : -1;
	if (x->demand != y->demand)
		return x->demand > y->demand ? -1 : 1;
	if (x->memory_mb != y->memory_mb)
		return x->memory_mb > y->memory_mb ? -1 : 1;
	return (x->item > y->item) - (x->item < y->item);
}

static urgency_t
find_urgency(const item_t *item)
{
	uint32_t replicas = item->state.serving + item->state.loading;

	if (replicas == 0)
		return item->state.outdated > 0 ? URGENCY_OUTDATED
		       : item->is_required      ? URGENCY_REQUIRED
						: URGENCY_NOT_RESIDENT;
	if (item->is_required && replicas < item->min_replicas)
		return URGENCY_BELOW_MIN;
	return URGENCY_DEMAND;
}

static void
serve_needs(round_t *r)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < r->placement->item_count; i++) {
		const item_t *item = &r->placement->items[i];
		need_t *need = &r->needs[count];

		if (item->state.serving + item->state.loading >= item->target)
			continue;
		need->item = i;
		need->urgency = find_urgency(item);
		if (need->urgency == URGENCY_REQUIRED)
			r->missing_mb += item->memory_mb;
		need->is_adapter = item->base != NO_ITEM;
		need->demand = item->slow_tokens_s;
		need->memory_mb = item->memory_mb;
		count++;
	}
	qsort(r->needs, count, sizeof(*r->needs), compare_urgency);
	for (i = 0; i < count; i++)
		serve_need(r, &r->placement->items[r->needs[i].item],
		    r->needs[i].urgency);
}

/*
 * Returns the reason to unload a resident even if its memory is not needed, or
 * NULL.
 */
static const char *
unload_reason(const round_t *r, const eviction_t *e)
{
	const at_place_engine_t *engine = &r->engines[e->engine];
	const at_resident_t *resident = &engine->residents[e->resident];

	if (e->item == NULL)
		return "it is not configured any more";
	if (e->replica->state == REPLICA_OUTDATED) {
		if (e->item->state.serving < e->item->target &&
		    e->item->state.loading > 0)
			return NULL;
		if (engine->is_leaving)
			return "the engine is leaving and another engine "
			       "serves it";
		if (resident->version != e->item->version)
			return "another engine serves a newer version";
		return "it is forbidden here or its base model is old";
	}
	if (r->placement->policy == AT_PLACEMENT_GREEDY &&
	    e->item->state.serving > e->item->target)
		return "more replicas than the target";
	return NULL;
}

static void
unload_unneeded(round_t *r)
{
	size_t e;
	size_t i;

	for (e = 0; e < r->engine_count; e++) {
		for (i = 0; i < r->engines[e].resident_count; i++) {
			eviction_t eviction;
			const char *reason;

			if (!may_evict(r, e, i, URGENCY_DEMAND, &eviction))
				continue;
			reason = unload_reason(r, &eviction);
			if (reason != NULL)
				order_unload(r, &eviction, reason);
		}
	}
}

void
at_round_run(round_t *r)
{
	size_t i;

	for (i = 0; i < r->placement->item_count; i++)
		at_placement_set_target(r->placement->policy,
		    &r->placement->items[i], r->mean_rate * SHARE_PERCENT / 100,
		    r->usable_count, r->now_ms);
	reserve_for_adapters(r);
	serve_needs(r);
	unload_unneeded(r);
}
