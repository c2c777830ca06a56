/*
 * placement_view.c - the state that a round of the planner starts from: every
 * model and adapter on every engine.
 */
#include <stdlib.h>
#include <string.h>

#include "core/placement/placement_round.h"

static item_t *
find_item(const at_placement_t *placement, const at_name_t *model,
    const at_name_t *adapter)
{
	item_t *item = at_placement_find(
	    placement, adapter->text[0] ? adapter->text : model->text);

	if (item == NULL || !at_name_equal(&item->model, model))
		return NULL;
	return item;
}

static size_t
count_residents(const round_t *r)
{
	size_t total = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++)
		total += r->engines[e].resident_count;
	return total;
}

/*
 * Counts the replicas of each item and assigns each item a range of
 * r->replicas.
 */
static void
assign_ranges(round_t *r, const at_order_t *open, size_t open_count)
{
	at_placement_t *p = r->placement;
	size_t next = 0;
	size_t e;
	size_t i;

	for (i = 0; i < p->item_count; i++)
		p->items[i].replica_count = 0;
	for (e = 0; e < r->engine_count; e++) {
		r->first_resident[e] = next;
		for (i = 0; i < r->engines[e].resident_count; i++) {
			const at_resident_t *x = &r->engines[e].residents[i];
			item_t *item = find_item(p, &x->model, &x->adapter);

			r->resident_item[next++] =
			    item == NULL ? NO_ITEM : item->index;
			if (item != NULL)
				item->replica_count++;
		}
	}
	for (i = 0; i < open_count; i++) {
		item_t *item = find_item(p, &open[i].model, &open[i].adapter);

		if (item != NULL)
			item->replica_count++;
	}
	next = 0;
	for (i = 0; i < p->item_count; i++) {
		p->items[i].first_replica = next;
		next += p->items[i].replica_count;
		p->items[i].replica_count = 0;
	}
}

replica_t *
at_round_find_replica(const round_t *r, const item_t *item, size_t engine)
{
	size_t i;

	for (i = item->first_replica;
	     i < item->first_replica + item->replica_count; i++) {
		if (r->replicas[i].engine == engine)
			return &r->replicas[i];
	}
	return NULL;
}

int
at_round_is_excepted(const round_t *r, const item_t *item, size_t engine,
    at_exception_kind_t kind)
{
	const at_config_t *c = r->placement->config;
	size_t i;

	if (!item->has_exceptions)
		return 0;
	for (i = 0; i < c->exception_count; i++) {
		const at_exception_t *e = &c->exceptions[i];

		if (e->kind == kind &&
		    at_name_equal(&e->subject, &item->name) &&
		    at_name_equal(&e->engine, &r->engines[engine].name))
			return 1;
	}
	return 0;
}

static replica_state_t
replica_state_of(const round_t *r, const item_t *item, size_t engine,
    const at_resident_t *resident)
{
	const at_place_engine_t *e = &r->engines[engine];

	if (!e->is_usable && !e->is_leaving)
		return REPLICA_BLOCKED;
	if (resident->in_transition)
		return REPLICA_LOADING;
	if (e->is_leaving || resident->version != item->version ||
	    at_round_is_excepted(r, item, engine, AT_EXCEPTION_FORBID))
		return REPLICA_OUTDATED;
	return REPLICA_SERVING;
}

static void
add_residents(round_t *r)
{
	size_t e;
	size_t i;

	for (e = 0; e < r->engine_count; e++) {
		for (i = 0; i < r->engines[e].resident_count; i++) {
			size_t index =
			    r->resident_item[r->first_resident[e] + i];
			item_t *item;
			replica_t *replica;

			if (index == NO_ITEM)
				continue;
			item = &r->placement->items[index];
			replica = &r->replicas[item->first_replica +
					       item->replica_count++];
			memset(replica, 0, sizeof(*replica));
			replica->engine = e;
			replica->state = replica_state_of(
			    r, item, e, &r->engines[e].residents[i]);
		}
	}
}

static size_t
find_engine(const round_t *r, const at_name_t *name)
{
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		if (at_name_equal(&r->engines[e].name, name))
			return e;
	}
	return NO_ITEM;
}

static void
add_open_order(round_t *r, const at_order_t *order)
{
	item_t *item = find_item(r->placement, &order->model, &order->adapter);
	size_t engine = find_engine(r, &order->engine);
	int is_load = order->kind == AT_ORDER_LOAD_MODEL ||
		      order->kind == AT_ORDER_LOAD_ADAPTER;
	replica_t *replica;

	if (item == NULL || engine == NO_ITEM)
		return;
	replica = at_round_find_replica(r, item, engine);
	if (replica == NULL) {
		replica =
		    &r->replicas[item->first_replica + item->replica_count++];
		memset(replica, 0, sizeof(*replica));
		replica->engine = engine;
		replica->state = is_load ? REPLICA_LOADING : REPLICA_BLOCKED;
		if (r->engines[engine].is_leaving ||
		    !r->engines[engine].is_usable)
			replica->state = REPLICA_BLOCKED;
	} else if (!is_load && replica->state != REPLICA_BLOCKED) {
		replica->state = REPLICA_UNLOADING;
		r->unloading_mb[engine] += order->memory_mb;
	}
	replica->has_open_order = 1;
}

/* An adapter serves only if its base model serves on the same engine. */
static void
check_base_models(round_t *r)
{
	at_placement_t *p = r->placement;
	size_t i;
	size_t j;

	for (i = 0; i < p->item_count; i++) {
		const item_t *item = &p->items[i];

		if (item->base == NO_ITEM)
			continue;
		for (j = item->first_replica;
		     j < item->first_replica + item->replica_count; j++) {
			const replica_t *base = at_round_find_replica(
			    r, &p->items[item->base], r->replicas[j].engine);

			if (r->replicas[j].state == REPLICA_SERVING &&
			    (base == NULL || base->state != REPLICA_SERVING))
				r->replicas[j].state = REPLICA_OUTDATED;
		}
	}
}

static void
count_replicas(round_t *r)
{
	at_placement_t *p = r->placement;
	size_t i;
	size_t j;

	for (i = 0; i < p->item_count; i++) {
		item_t *item = &p->items[i];
		at_place_state_t *s = &item->state;
		double share;

		s->serving = 0;
		s->loading = 0;
		s->outdated = 0;
		for (j = item->first_replica;
		     j < item->first_replica + item->replica_count; j++) {
			replica_state_t state = r->replicas[j].state;

			s->serving += state == REPLICA_SERVING;
			s->loading += state == REPLICA_LOADING;
			s->outdated += state == REPLICA_OUTDATED;
		}
		if (s->loading > 0 && s->serving > 0 &&
		    s->serving + s->loading > item->target)
			r->is_relocating = 1;
		/* The demand for an adapter counts for its base model. */
		if (s->serving + s->loading == 0 || item->base != NO_ITEM)
			continue;
		share = item->slow_tokens_s / (s->serving + s->loading);
		for (j = item->first_replica;
		     j < item->first_replica + item->replica_count; j++) {
			if (r->replicas[j].state == REPLICA_SERVING ||
			    r->replicas[j].state == REPLICA_LOADING)
				r->load[r->replicas[j].engine] += share;
		}
	}
}

static void
fill_engines(round_t *r)
{
	double total = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_place_engine_t *x = &r->engines[e];

		r->free_mb[e] = x->free_mb;
		r->rate[e] =
		    (double)r->placement->config->defaults.engine_tokens_s *
		    (x->accelerators > 0 ? x->accelerators : 1);
		if (!x->is_usable || x->is_leaving)
			continue;
		r->usable_count++;
		total += r->rate[e];
	}
	r->mean_rate =
	    r->usable_count > 0 ? total / (double)r->usable_count : 0;
}

static int
allocate(round_t *r, size_t residents, size_t open_count)
{
	size_t n = r->engine_count + 1;

	r->free_mb = calloc(n, sizeof(*r->free_mb));
	r->unloading_mb = calloc(n, sizeof(*r->unloading_mb));
	r->adapters_reserved_mb = calloc(n, sizeof(*r->adapters_reserved_mb));
	r->load = calloc(n, sizeof(*r->load));
	r->rate = calloc(n, sizeof(*r->rate));
	r->first_resident = calloc(n, sizeof(*r->first_resident));
	r->resident_item = calloc(residents + 1, sizeof(*r->resident_item));
	r->replicas = calloc(residents + open_count + 1, sizeof(*r->replicas));
	r->needs = calloc(r->placement->item_count + 1, sizeof(*r->needs));
	return r->free_mb != NULL && r->unloading_mb != NULL &&
	       r->adapters_reserved_mb != NULL && r->load != NULL &&
	       r->rate != NULL && r->first_resident != NULL &&
	       r->resident_item != NULL && r->replicas != NULL &&
	       r->needs != NULL;
}

static void
release(round_t *r)
{
	free(r->free_mb);
	free(r->unloading_mb);
	free(r->adapters_reserved_mb);
	free(r->load);
	free(r->rate);
	free(r->first_resident);
	free(r->resident_item);
	free(r->replicas);
	free(r->needs);
}

size_t
at_placement_plan(at_placement_t *placement, uint64_t now_ms,
    const at_place_engine_t *engines, size_t engine_count,
    const at_order_t *open, size_t open_count, at_decision_t *decisions,
    size_t max)
{
	round_t r = {.placement = placement,
	    .now_ms = now_ms,
	    .engines = engines,
	    .engine_count = engine_count,
	    .decisions = decisions,
	    .max = max};
	size_t i;

	if (placement->config == NULL)
		return 0;
	for (i = 0; i < placement->item_count; i++)
		at_placement_estimate(placement->policy, &placement->items[i],
		    now_ms, placement->last_round_ms);
	placement->last_round_ms = now_ms;
	if (allocate(&r, count_residents(&r), open_count)) {
		fill_engines(&r);
		assign_ranges(&r, open, open_count);
		add_residents(&r);
		for (i = 0; i < open_count; i++)
			add_open_order(&r, &open[i]);
		check_base_models(&r);
		count_replicas(&r);
		at_round_run(&r);
	}
	release(&r);
	return r.count;
}
