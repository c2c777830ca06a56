/*
 * What a round of the planner sees: every model and adapter on every engine.
 */
#include <stdlib.h>
#include <string.h>

#include "core/placement/placement_round.h"

static item_t *
item_of(const at_placement_t *placement, const at_name_t *model,
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
	size_t sum = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++)
		sum += r->engines[e].resident_count;
	return sum;
}

/* Counts each item's places and lays them out one item after another. */
static void
lay_out(round_t *r, const at_order_t *open, size_t open_count)
{
	at_placement_t *p = r->placement;
	size_t next = 0;
	size_t e;
	size_t i;

	for (i = 0; i < p->item_count; i++)
		p->items[i].places = 0;
	for (e = 0; e < r->engine_count; e++) {
		r->first_resident[e] = next;
		for (i = 0; i < r->engines[e].resident_count; i++) {
			const at_resident_t *x = &r->engines[e].residents[i];
			item_t *item = item_of(p, &x->model, &x->adapter);

			r->resident_item[next++] =
			    item == NULL ? NO_ITEM : item->index;
			if (item != NULL)
				item->places++;
		}
	}
	for (i = 0; i < open_count; i++) {
		item_t *item = item_of(p, &open[i].model, &open[i].adapter);

		if (item != NULL)
			item->places++;
	}
	next = 0;
	for (i = 0; i < p->item_count; i++) {
		p->items[i].first = next;
		next += p->items[i].places;
		p->items[i].places = 0;
	}
}

place_t *
at_round_find_place(const round_t *r, const item_t *item, size_t engine)
{
	size_t i;

	for (i = item->first; i < item->first + item->places; i++) {
		if (r->places[i].engine == engine)
			return &r->places[i];
	}
	return NULL;
}

int
at_round_is_excepted(const round_t *r, const item_t *item, size_t engine,
    at_exception_kind_t kind)
{
	const at_config_t *c = r->placement->config;
	size_t i;

	if (!item->restricted)
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

static place_kind_t
kind_of(const round_t *r, const item_t *item, size_t engine,
    const at_resident_t *resident)
{
	const at_place_engine_t *e = &r->engines[engine];

	if (!e->is_usable && !e->is_leaving)
		return PLACE_BLOCKED;
	if (resident->in_transition)
		return PLACE_COMING;
	if (e->is_leaving || resident->version != item->version ||
	    at_round_is_excepted(r, item, engine, AT_EXCEPTION_FORBID))
		return PLACE_OLD;
	return PLACE_SERVING;
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
			place_t *place;

			if (index == NO_ITEM)
				continue;
			item = &r->placement->items[index];
			place = &r->places[item->first + item->places++];
			memset(place, 0, sizeof(*place));
			place->engine = e;
			place->kind =
			    kind_of(r, item, e, &r->engines[e].residents[i]);
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
add_open(round_t *r, const at_order_t *order)
{
	item_t *item = item_of(r->placement, &order->model, &order->adapter);
	size_t engine = find_engine(r, &order->engine);
	int loads = order->kind == AT_ORDER_LOAD_MODEL ||
		    order->kind == AT_ORDER_LOAD_ADAPTER;
	place_t *place;

	if (item == NULL || engine == NO_ITEM)
		return;
	place = at_round_find_place(r, item, engine);
	if (place == NULL) {
		place = &r->places[item->first + item->places++];
		memset(place, 0, sizeof(*place));
		place->engine = engine;
		place->kind = loads ? PLACE_COMING : PLACE_BLOCKED;
		if (r->engines[engine].is_leaving ||
		    !r->engines[engine].is_usable)
			place->kind = PLACE_BLOCKED;
	} else if (!loads && place->kind != PLACE_BLOCKED) {
		place->kind = PLACE_GOING;
		r->soon_mb[engine] += order->memory_mb;
	}
	place->open = 1;
}

/* An adapter serves only beside its base model. */
static void
check_bases(round_t *r)
{
	at_placement_t *p = r->placement;
	size_t i;
	size_t j;

	for (i = 0; i < p->item_count; i++) {
		const item_t *item = &p->items[i];

		if (item->base == NO_ITEM)
			continue;
		for (j = item->first; j < item->first + item->places; j++) {
			const place_t *base = at_round_find_place(
			    r, &p->items[item->base], r->places[j].engine);

			if (r->places[j].kind == PLACE_SERVING &&
			    (base == NULL || base->kind != PLACE_SERVING))
				r->places[j].kind = PLACE_OLD;
		}
	}
}

static void
count_places(round_t *r)
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
		for (j = item->first; j < item->first + item->places; j++) {
			place_kind_t kind = r->places[j].kind;

			s->serving += kind == PLACE_SERVING;
			s->loading += kind == PLACE_COMING;
			s->outdated += kind == PLACE_OLD;
		}
		if (s->loading > 0 && s->serving > 0 &&
		    s->serving + s->loading > item->wanted)
			r->relocating = 1;
		/* What an adapter is asked for counts at its base model. */
		if (s->serving + s->loading == 0 || item->base != NO_ITEM)
			continue;
		share = item->slow_tokens_s / (s->serving + s->loading);
		for (j = item->first; j < item->first + item->places; j++) {
			if (r->places[j].kind == PLACE_SERVING ||
			    r->places[j].kind == PLACE_COMING)
				r->load[r->places[j].engine] += share;
		}
	}
}

static void
fill_engines(round_t *r)
{
	double sum = 0;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_place_engine_t *x = &r->engines[e];

		r->free_mb[e] = x->free_mb;
		r->rate[e] =
		    (double)r->placement->config->defaults.engine_tokens_s *
		    (x->accelerators > 0 ? x->accelerators : 1);
		if (!x->is_usable || x->is_leaving)
			continue;
		r->stays++;
		sum += r->rate[e];
	}
	r->mean_rate = r->stays > 0 ? sum / (double)r->stays : 0;
}

static int
allocate(round_t *r, size_t residents, size_t open_count)
{
	size_t n = r->engine_count + 1;

	r->free_mb = calloc(n, sizeof(*r->free_mb));
	r->soon_mb = calloc(n, sizeof(*r->soon_mb));
	r->kept_mb = calloc(n, sizeof(*r->kept_mb));
	r->load = calloc(n, sizeof(*r->load));
	r->rate = calloc(n, sizeof(*r->rate));
	r->first_resident = calloc(n, sizeof(*r->first_resident));
	r->resident_item = calloc(residents + 1, sizeof(*r->resident_item));
	r->places = calloc(residents + open_count + 1, sizeof(*r->places));
	r->wants = calloc(r->placement->item_count + 1, sizeof(*r->wants));
	return r->free_mb != NULL && r->soon_mb != NULL && r->kept_mb != NULL &&
	       r->load != NULL && r->rate != NULL &&
	       r->first_resident != NULL && r->resident_item != NULL &&
	       r->places != NULL && r->wants != NULL;
}

static void
release(round_t *r)
{
	free(r->free_mb);
	free(r->soon_mb);
	free(r->kept_mb);
	free(r->load);
	free(r->rate);
	free(r->first_resident);
	free(r->resident_item);
	free(r->places);
	free(r->wants);
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
		lay_out(&r, open, open_count);
		add_residents(&r);
		for (i = 0; i < open_count; i++)
			add_open(&r, &open[i]);
		check_bases(&r);
		count_places(&r);
		at_round_run(&r);
	}
	release(&r);
	return r.count;
}
