/*
 * One round of the planner: where everything is, what is missing, and what
 * has to give way for it.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/placement/placement_round.h"

#define SHARE_PERCENT 50u  /* of an engine, for one replica */
#define FIT_WEIGHT 0.25    /* of memory left over, against load */
#define HORIZON_S 60.0     /* a move pays for itself within it */
#define LOAD_COST_S 2.0    /* of an engine's work, for one load */
#define EVICTIONS_MAX 64u  /* searches in one round */
#define RELOCATIONS_MAX 8u /* searches in one round */

void
at_round_emit(round_t *r, at_order_kind_t kind, const at_order_t *what,
    size_t engine, const char *reason)
{
	at_decision_t *d;

	if (r->count == r->max)
		return;
	d = &r->decisions[r->count++];
	d->order = *what;
	d->order.kind = kind;
	d->order.engine = r->engines[engine].name;
	(void)snprintf(d->reason, sizeof(d->reason), "%s", reason);
}

static at_order_t
order_of(const item_t *item)
{
	at_order_t order = {.model = item->model,
	    .adapter = item->adapter,
	    .version = item->version,
	    .memory_mb = item->memory_mb};

	return order;
}

/* Whether an item might be loaded on an engine, memory left aside. */
static int
is_eligible(const round_t *r, const item_t *item, size_t engine)
{
	const at_place_engine_t *e = &r->engines[engine];
	const place_t *base;

	if (!e->is_usable || e->is_leaving ||
	    at_round_find_place(r, item, engine) != NULL ||
	    at_round_is_excepted(r, item, engine, AT_EXCEPTION_FORBID))
		return 0;
	if (item->base == NO_ITEM)
		return 1;
	base = at_round_find_place(r, &r->placement->items[item->base], engine);
	return base != NULL && base->kind == PLACE_SERVING;
}

static double
score_of(const round_t *r, const item_t *item, size_t engine)
{
	const at_place_engine_t *e = &r->engines[engine];
	double share = item->slow_tokens_s /
		       (item->state.serving + item->state.loading + 1);
	double left_mb = (double)(r->free_mb[engine] - item->memory_mb);

	if (at_round_is_excepted(r, item, engine, AT_EXCEPTION_PIN))
		return -1;
	return (r->load[engine] + share) / r->rate[engine] +
	       FIT_WEIGHT * left_mb / (double)(e->capacity_mb + 1);
}

/* A model leaves room for its adapters and for those of its neighbours. */
static uint64_t
needed_mb(
    const round_t *r, const item_t *item, size_t engine, int with_adapters)
{
	if (item->base != NO_ITEM || !with_adapters)
		return item->memory_mb;
	return item->memory_mb + item->adapters_mb + r->kept_mb[engine];
}

/* Returns the best engine with room, or NO_ITEM. */
static size_t
find_room(const round_t *r, const item_t *item, int with_adapters)
{
	size_t best = NO_ITEM;
	double best_score = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		double score;

		if (r->free_mb[e] < needed_mb(r, item, e, with_adapters) ||
		    !is_eligible(r, item, e))
			continue;
		score = score_of(r, item, e);
		if (best == NO_ITEM || score < best_score) {
			best = e;
			best_score = score;
		}
	}
	return best;
}

/* Memory that engines keep for adapters that their models may still get. */
static void
keep_for_adapters(round_t *r)
{
	size_t e;
	size_t i;

	for (e = 0; e < r->engine_count; e++) {
		uint64_t held_mb = 0;

		for (i = 0; i < r->engines[e].resident_count; i++) {
			size_t index =
			    r->resident_item[r->first_resident[e] + i];
			const item_t *item;

			if (index == NO_ITEM)
				continue;
			item = &r->placement->items[index];
			if (item->base == NO_ITEM)
				r->kept_mb[e] += item->adapters_mb;
			else
				held_mb += item->memory_mb;
		}
		r->kept_mb[e] -=
		    held_mb < r->kept_mb[e] ? held_mb : r->kept_mb[e];
		r->total_free_mb += r->free_mb[e];
	}
}

/* What must stand here comes before all that need not. */
static int
holds_back(const round_t *r, const item_t *item, urgency_t urgency)
{
	if (urgency == URGENCY_REQUIRED)
		return 0;
	return r->total_free_mb < r->missing_mb + item->memory_mb;
}

static void
load(round_t *r, item_t *item, size_t engine, const char *reason)
{
	at_order_t order = order_of(item);

	at_round_emit(r,
	    item->base == NO_ITEM ? AT_ORDER_LOAD_MODEL : AT_ORDER_LOAD_ADAPTER,
	    &order, engine, reason);
	(void)snprintf(item->state.reason, sizeof(item->state.reason),
	    "load on %.40s: %.70s", r->engines[engine].name.text, reason);
	r->free_mb[engine] -= item->memory_mb;
	r->total_free_mb -= item->memory_mb;
	if (item->required && item->state.serving + item->state.loading == 0)
		r->missing_mb -= item->memory_mb;
	item->state.loading++;
	if (item->base == NO_ITEM)
		r->kept_mb[engine] += item->adapters_mb;
	if (item->base == NO_ITEM)
		r->load[engine] += item->slow_tokens_s /
				   (item->state.serving + item->state.loading);
}

static void
unload(round_t *r, const eviction_t *e, const char *reason)
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
	r->soon_mb[e->engine] += resident->memory_mb;
	if (e->place == NULL)
		return;
	if (e->place->kind == PLACE_SERVING)
		e->item->state.serving--;
	else
		e->item->state.outdated--;
	e->place->kind = PLACE_GOING;
	(void)snprintf(e->item->state.reason, sizeof(e->item->state.reason),
	    "unload from %.40s: %.66s", r->engines[e->engine].name.text,
	    reason);
}

/* Whether an adapter of a model is on an engine. */
static int
carries_adapter(const round_t *r, const item_t *item, size_t engine)
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

/* Fills e when a resident may give way to an item of some urgency. */
static int
may_evict(const round_t *r, size_t engine, size_t resident, urgency_t urgency,
    eviction_t *e)
{
	size_t index = r->resident_item[r->first_resident[engine] + resident];
	uint32_t keep = 1;

	memset(e, 0, sizeof(*e));
	e->engine = engine;
	e->resident = resident;
	e->memory_mb = r->engines[engine].residents[resident].memory_mb;
	if (index == NO_ITEM)
		return !r->engines[engine].residents[resident].in_transition;
	e->item = &r->placement->items[index];
	e->place = at_round_find_place(r, e->item, engine);
	if (e->place == NULL || e->place->open ||
	    at_round_is_excepted(r, e->item, engine, AT_EXCEPTION_PIN) ||
	    carries_adapter(r, e->item, engine))
		return 0;
	if (e->place->kind == PLACE_OLD)
		return e->item->state.serving >= 1;
	if (e->place->kind != PLACE_SERVING)
		return 0;
	if (urgency <= URGENCY_DEMAND)
		keep = e->item->wanted;
	else if (urgency <= URGENCY_FEW)
		keep = e->item->required ? e->item->min_replicas : 1;
	if (keep == 0)
		keep = 1;
	e->worth = e->item->slow_tokens_s / e->item->state.serving;
	return e->item->state.serving > keep;
}

static int
by_worth(const void *a, const void *b)
{
	const eviction_t *x = a;
	const eviction_t *y = b;

	return (x->worth > y->worth) - (x->worth < y->worth);
}

/* Finds what has to go from one engine; returns how many, 0 for never. */
static size_t
evictions_on(round_t *r, const item_t *item, size_t engine, urgency_t urgency,
    double *worth)
{
	uint64_t room_mb = r->free_mb[engine] + r->soon_mb[engine];
	size_t count = 0;
	size_t used;
	size_t i;

	for (i = 0; i < r->engines[engine].resident_count; i++) {
		if (count < EVICTION_LIST_MAX &&
		    may_evict(r, engine, i, urgency, &r->list[count]))
			count++;
	}
	qsort(r->list, count, sizeof(*r->list), by_worth);
	*worth = 0;
	for (used = 0; used < count && room_mb < item->memory_mb; used++) {
		room_mb += r->list[used].memory_mb;
		*worth += r->list[used].worth;
	}
	return room_mb < item->memory_mb ? 0 : used;
}

/* What a further replica brings, less what it costs, in tokens. */
static double
gain_of(const round_t *r, const item_t *item, double evicted_worth)
{
	double share = r->mean_rate * SHARE_PERCENT / 100;
	double served = share * (item->state.serving + item->state.loading);
	double unserved = item->slow_tokens_s - served;

	return (unserved - evicted_worth) * HORIZON_S -
	       r->mean_rate * LOAD_COST_S;
}

/* Makes room for an item; its load follows in a later round. */
static int
evict_for(round_t *r, item_t *item, urgency_t urgency)
{
	char reason[AT_PLACEMENT_REASON_SIZE];
	size_t best = NO_ITEM;
	double best_worth = 0;
	double worth;
	size_t count;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		if (!is_eligible(r, item, e))
			continue;
		if (r->free_mb[e] + r->soon_mb[e] >= item->memory_mb) {
			r->soon_mb[e] -= item->memory_mb <= r->soon_mb[e]
					     ? item->memory_mb
					     : r->soon_mb[e];
			return 1; /* room is on its way */
		}
		if (evictions_on(r, item, e, urgency, &worth) > 0 &&
		    (best == NO_ITEM || worth < best_worth)) {
			best = e;
			best_worth = worth;
		}
	}
	if (best == NO_ITEM ||
	    (urgency == URGENCY_DEMAND && gain_of(r, item, best_worth) <= 0))
		return 0;
	(void)snprintf(
	    reason, sizeof(reason), "makes room for %.63s", item->name.text);
	count = evictions_on(r, item, best, urgency, &worth);
	for (e = 0; e < count; e++)
		unload(r, &r->list[e], reason);
	return 1;
}

/* Finds what could leave an engine for an item, and where it could go. */
static item_t *
find_mover(const round_t *r, const item_t *item, size_t engine, size_t *to)
{
	uint64_t short_mb = item->memory_mb - r->free_mb[engine];
	size_t i;

	for (i = 0; i < r->engines[engine].resident_count; i++) {
		size_t index = r->resident_item[r->first_resident[engine] + i];
		item_t *x;

		if (index == NO_ITEM)
			continue;
		x = &r->placement->items[index];
		if (x->memory_mb < short_mb ||
		    x->memory_mb >= item->memory_mb || x->state.serving != 1 ||
		    x->state.loading != 0 || carries_adapter(r, x, engine))
			continue;
		*to = find_room(r, x, 0);
		if (*to != NO_ITEM)
			return x;
	}
	return NULL;
}

/* Loads something else a second time, so that it can leave one engine. */
static int
relocate_for(round_t *r, const item_t *item)
{
	char reason[AT_PLACEMENT_REASON_SIZE];
	item_t *mover;
	size_t to;
	size_t e;

	(void)snprintf(reason, sizeof(reason), "moves, to make room for %.63s",
	    item->name.text);
	for (e = 0; e < r->engine_count; e++) {
		if (!is_eligible(r, item, e) ||
		    r->free_mb[e] >= item->memory_mb)
			continue;
		mover = find_mover(r, item, e, &to);
		if (mover == NULL)
			continue;
		load(r, mover, to, reason);
		return 1;
	}
	return 0;
}

static const char *const urgency_reasons[] = {"demand is beyond its replicas",
    "fewer replicas than the minimum",
    "only an old version or a leaving engine holds it", "it stands nowhere",
    "it stands nowhere and must stand here"};

static void
serve_want(round_t *r, item_t *item, urgency_t urgency)
{
	size_t engine;

	if (holds_back(r, item, urgency))
		return;
	engine = find_room(r, item, 1);
	if (engine == NO_ITEM &&
	    (urgency == URGENCY_OLD || urgency == URGENCY_REQUIRED))
		engine = find_room(r, item, 0);
	if (engine != NO_ITEM) {
		if (urgency > URGENCY_DEMAND ||
		    r->placement->policy == AT_PLACEMENT_GREEDY ||
		    gain_of(r, item, 0) > 0)
			load(r, item, engine, urgency_reasons[urgency]);
		return;
	}
	if (r->evictions == EVICTIONS_MAX)
		return;
	r->evictions++;
	if (evict_for(r, item, urgency) || urgency < URGENCY_OLD ||
	    r->relocating || r->relocations == RELOCATIONS_MAX)
		return;
	r->relocations++;
	r->relocating = relocate_for(r, item);
}

static int
by_urgency(const void *a, const void *b)
{
	const want_t *x = a;
	const want_t *y = b;

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
urgency_of(const item_t *item)
{
	uint32_t standing = item->state.serving + item->state.loading;

	if (standing == 0)
		return item->state.outdated > 0 ? URGENCY_OLD
		       : item->required         ? URGENCY_REQUIRED
						: URGENCY_NOWHERE;
	if (item->required && standing < item->min_replicas)
		return URGENCY_FEW;
	return URGENCY_DEMAND;
}

static void
serve_wants(round_t *r)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < r->placement->item_count; i++) {
		const item_t *item = &r->placement->items[i];
		want_t *w = &r->wants[count];

		if (item->state.serving + item->state.loading >= item->wanted)
			continue;
		w->item = i;
		w->urgency = urgency_of(item);
		if (w->urgency == URGENCY_REQUIRED)
			r->missing_mb += item->memory_mb;
		w->is_adapter = item->base != NO_ITEM;
		w->demand = item->slow_tokens_s;
		w->memory_mb = item->memory_mb;
		count++;
	}
	qsort(r->wants, count, sizeof(*r->wants), by_urgency);
	for (i = 0; i < count; i++)
		serve_want(r, &r->placement->items[r->wants[i].item],
		    r->wants[i].urgency);
}

/* Whether a resident is to go although nothing needs its memory. */
static const char *
reason_to_go(const round_t *r, const eviction_t *e)
{
	const at_place_engine_t *engine = &r->engines[e->engine];
	const at_resident_t *resident = &engine->residents[e->resident];

	if (e->item == NULL)
		return "it is not configured any more";
	if (e->place->kind == PLACE_OLD) {
		if (e->item->state.serving < e->item->wanted &&
		    e->item->state.loading > 0)
			return NULL;
		if (engine->is_leaving)
			return "the engine leaves, and it stands elsewhere";
		if (resident->version != e->item->version)
			return "a newer version stands elsewhere";
		return "it is forbidden here or its base model is old";
	}
	if (r->placement->policy == AT_PLACEMENT_GREEDY &&
	    e->item->state.serving > e->item->wanted)
		return "more replicas than wanted";
	return NULL;
}

static void
clear_out(round_t *r)
{
	size_t e;
	size_t i;

	for (e = 0; e < r->engine_count; e++) {
		for (i = 0; i < r->engines[e].resident_count; i++) {
			eviction_t eviction;
			const char *reason;

			if (!may_evict(r, e, i, URGENCY_DEMAND, &eviction))
				continue;
			reason = reason_to_go(r, &eviction);
			if (reason != NULL)
				unload(r, &eviction, reason);
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
		    r->stays, r->now_ms);
	keep_for_adapters(r);
	serve_wants(r);
	clear_out(r);
}
