/*
 * residency.c - models on engines.
 *
 * Answers two load patterns. Demand moves from one busy model to the next
 * within seconds: the next places, and the loads that the weight store allows,
 * go where they serve the most requests. Many rare models are asked for now
 * and then, more than fit: one that is asked for and stands nowhere takes the
 * place that is missed least, on an engine that has a copy of its weights
 * near. Both at once: rare models do not use up the store's rate while a busy
 * one has too few engines, and room is kept for the model it was made for.
 */
#include "almondthread/residency.h"

#include <math.h>
#include <string.h>

#define PLACE_LOAD 0.5    /* seconds of an engine a second that a place gives */
#define ASKED_FOR 0.08    /* requests a second from which a model is in use */
#define GAIN_RATIO 1.6    /* a move must earn so many times what it costs */
#define LAST_LOSS 0.004   /* of taking the last replica of an unused model */
#define LAST_USED 0.6     /* the same for each request a second it is asked */
#define WAITING_GAIN 0.25 /* requests a second that one waiting is worth */
#define MIN_GAIN 0.1      /* requests a second that are worth an order */
#define MIN_GAIN_STORE 0.3 /* the same for a load from the weight store */
#define STREAM_S 2.        /* that a request keeps a model from going */
#define UNLOAD_MS 2500.    /* until a model with requests has gone */
#define LOSS_MS 4000.      /* what a loss as large as the gain weighs */
#define BUSY_MS 12u /* what each request in flight adds to a load's cost */
#define NO_ENGINE SIZE_MAX
#define NO_MODEL SIZE_MAX

const char *const at_copy_location_names[] = {"memory", "disk", "store"};

/* What one round works on. */
typedef struct round {
	const at_site_service_t *service;
	const at_engine_state_t *engines;
	size_t engine_count;
	uint32_t replicas[AT_RESIDENCY_MODELS_MAX];
	at_model_demand_t demand[AT_RESIDENCY_MODELS_MAX];
	unsigned char taken[AT_RESIDENCY_ENGINES_MAX]; /* has a move */
	/* The model that room is or was made for, or NO_MODEL. */
	size_t reserved[AT_RESIDENCY_ENGINES_MAX];
	at_residency_limits_t limits;
	at_move_t *moves;
	size_t move_count;
	size_t max;
	/* No engine can take these in this round. */
	unsigned char unplaced[AT_RESIDENCY_MODELS_MAX];
} round_t;

static size_t
model_index(const at_site_service_t *service, at_tag_t model)
{
	size_t i;

	for (i = 0; i < service->model_count; i++) {
		if (service->models[i].tag == model)
			return i;
	}
	return NO_MODEL;
}

/*
 * The part of a load that is served in time by so many replicas: nearly all
 * of it while they have time to spare, what they can do when they have not.
 */
static double
served_part(double load, uint32_t replicas)
{
	double use;

	if (replicas == 0)
		return 0.;
	use = load / (replicas * PLACE_LOAD);
	return 1. / cbrt(1. + use * use * use);
}

/*
 * Requests a second that a further replica serves in time. A rare model is
 * asked for again long after its last request, and a load takes seconds: by
 * its rate of just now it would go as soon as it had come.
 */
static double
gain_of_next(const at_model_demand_t *d, uint32_t replicas)
{
	double part = served_part(d->busy_engines, replicas + 1) -
		      served_part(d->busy_engines, replicas);

	return replicas > 0
		   ? d->requests_per_s * part
		   : d->long_term_per_s * part + d->queued * WAITING_GAIN;
}

static size_t
places_for_models(const at_site_service_t *service, size_t engines)
{
	uint64_t sum_mb = 0;
	size_t i;

	for (i = 0; i < service->model_count; i++)
		sum_mb += service->models[i].weights_mb;
	if (sum_mb == 0 || service->model_count == 0)
		return 0;
	return engines * (size_t)(service->weights_mb /
				  (sum_mb / service->model_count + 1u));
}

void
at_residency_compute_targets(const at_site_service_t *service, size_t engines,
    const at_demand_rates_t *demand, uint32_t *targets)
{
	at_model_demand_t demands[AT_RESIDENCY_MODELS_MAX];
	size_t places = places_for_models(service, engines);
	size_t count = service->model_count < AT_RESIDENCY_MODELS_MAX
			   ? service->model_count
			   : AT_RESIDENCY_MODELS_MAX;
	size_t i;

	for (i = 0; i < count; i++) {
		demands[i] = at_demand_rates_get(
		    demand, service->tag, service->models[i].tag);
		targets[i] = 0;
	}
	while (places > 0) {
		size_t best = NO_MODEL;
		double best_gain = MIN_GAIN;

		for (i = 0; i < count; i++) {
			double gain;

			if (targets[i] >= engines)
				continue;
			gain = gain_of_next(&demands[i], targets[i]);
			if (gain <= best_gain)
				continue;
			best = i;
			best_gain = gain;
		}
		if (best == NO_MODEL)
			return;
		targets[best]++;
		places--;
	}
}

static int
holds(const at_engine_state_t *engine, at_tag_t model)
{
	size_t i;

	if (engine->loading == model)
		return 1;
	for (i = 0; i < engine->residents->count; i++) {
		if (engine->residents->models[i].tag == model)
			return engine->unloading != model;
	}
	return 0;
}

static uint64_t
used_mb(const round_t *r, const at_engine_state_t *engine)
{
	uint64_t mb = 0;
	size_t i;

	for (i = 0; i < engine->residents->count; i++) {
		const at_resident_model_t *held = &engine->residents->models[i];
		const at_site_model_t *model =
		    at_site_find_model(r->service, held->tag);

		if (model == NULL)
			continue;
		mb += model->weights_mb;
		mb += model->adapter_mb * held->adapter_count;
	}
	return mb;
}

/* Adapters need room beside the models: a full set of the largest. */
static uint64_t
reserve_mb(const round_t *r)
{
	uint64_t largest = 0;
	size_t i;

	for (i = 0; i < r->service->model_count; i++) {
		if (r->service->models[i].adapter_mb > largest)
			largest = r->service->models[i].adapter_mb;
	}
	return largest * r->service->adapter_slots;
}

static int
has_room(const round_t *r, const at_engine_state_t *engine,
    const at_site_model_t *model)
{
	uint64_t free_mb;
	uint64_t used = used_mb(r, engine) + reserve_mb(r);

	if (engine->residents->count >= AT_RESIDENT_MODELS_MAX)
		return 0;
	free_mb =
	    r->service->weights_mb > used ? r->service->weights_mb - used : 0;
	return model->weights_mb <= free_mb;
}

static int
is_listed(const at_tag_t *list, size_t count, at_tag_t tag)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (list[i] == tag)
			return 1;
	}
	return 0;
}

static at_copy_location_t
copy_place(const at_server_entry_t *entry, at_tag_t model)
{
	if (is_listed(entry->in_memory, entry->in_memory_count, model))
		return AT_COPY_MEMORY;
	if (is_listed(entry->on_disk, entry->on_disk_count, model))
		return AT_COPY_DISK;
	return AT_COPY_STORE;
}

static uint32_t
load_ms(const at_site_model_t *model, at_copy_location_t from)
{
	if (from == AT_COPY_MEMORY)
		return model->memory_load_ms;
	if (from == AT_COPY_DISK)
		return model->disk_load_ms;
	return model->store_load_ms;
}

/* What taking a replica away costs; below 0 when it must stay. */
static double
loss_of(const round_t *r, size_t model)
{
	uint32_t replicas = r->replicas[model];
	const at_model_demand_t *d = &r->demand[model];

	if (replicas > 1)
		return gain_of_next(d, replicas - 1);
	if (d->queued > 0)
		return -1.;
	return LAST_LOSS + d->long_term_per_s * LAST_USED;
}

/* Returns the held model of an engine that is missed least, or NO_MODEL. */
static size_t
victim_of(const round_t *r, const at_engine_state_t *engine, double *loss)
{
	size_t victim = NO_MODEL;
	size_t i;

	for (i = 0; i < engine->residents->count; i++) {
		size_t model =
		    model_index(r->service, engine->residents->models[i].tag);
		double l;

		if (model == NO_MODEL)
			continue;
		l = loss_of(r, model);
		if (l < 0 || (victim != NO_MODEL && l >= *loss))
			continue;
		victim = model;
		*loss = l;
	}
	return victim;
}

/* How long a model takes to go, by the requests that probably run there. */
static double
unload_ms(const round_t *r, size_t model)
{
	double running = r->demand[model].requests_per_s * STREAM_S /
			 (r->replicas[model] + 1u);

	return UNLOAD_MS * (1. - exp(-running));
}

typedef struct spot {
	size_t engine;
	size_t victim; /* NO_MODEL: there is room */
	at_copy_location_t from;
	double cost;
} spot_t;

static int
consider(const round_t *r, size_t e, size_t wanted, double gain, spot_t *spot)
{
	const at_site_model_t *model = &r->service->models[wanted];
	const at_engine_state_t *engine = &r->engines[e];
	double loss = 0.;
	double wait_ms = 0.;

	if (!engine->is_usable || engine->is_busy || r->taken[e] ||
	    r->reserved[e] != NO_MODEL || holds(engine, model->tag))
		return 0;
	spot->engine = e;
	spot->victim = NO_MODEL;
	spot->from = copy_place(engine->entry, model->tag);
	if (spot->from == AT_COPY_STORE &&
	    (r->limits.store_loads == 0 ||
		(r->replicas[wanted] > 0 && gain < MIN_GAIN_STORE)))
		return 0;
	if (!has_room(r, engine, model)) {
		spot->victim = victim_of(r, engine, &loss);
		if (spot->victim == NO_MODEL || loss * GAIN_RATIO > gain)
			return 0;
		wait_ms = unload_ms(r, spot->victim);
	}
	/* In milliseconds until it serves there; a loss weighs like time. */
	spot->cost = load_ms(model, spot->from) + wait_ms +
		     (double)engine->load.active * BUSY_MS +
		     loss / gain * LOSS_MS;
	return 1;
}

static spot_t
best_spot(const round_t *r, size_t model, double gain)
{
	spot_t best = {.engine = NO_ENGINE};
	spot_t spot;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		if (consider(r, e, model, gain, &spot) &&
		    (best.engine == NO_ENGINE || spot.cost < best.cost))
			best = spot;
	}
	return best;
}

/* Orders the load, or first the unload that makes room for it. */
static int
move_to(round_t *r, size_t model, const spot_t *spot, int urgent)
{
	at_move_t *move;

	if (spot->engine == NO_ENGINE || r->move_count == r->max)
		return 0;
	move = &r->moves[r->move_count++];
	memset(move, 0, sizeof(*move));
	move->server = r->engines[spot->engine].entry->tag;
	move->is_urgent = urgent;
	r->taken[spot->engine] = 1;
	if (spot->victim != NO_MODEL) {
		move->kind = AT_MOVE_UNLOAD;
		move->model = r->service->models[spot->victim].tag;
		move->replacement = r->service->models[model].tag;
		r->replicas[spot->victim]--;
		r->replicas[model]++;
		return 1;
	}
	move->kind = AT_MOVE_LOAD;
	move->model = r->service->models[model].tag;
	move->from = spot->from;
	r->replicas[model]++;
	if (spot->from == AT_COPY_STORE)
		r->limits.store_loads--;
	return 1;
}

/* Whether a model is still worth the room that is made for it. */
static int
is_wanted(const round_t *r, size_t model)
{
	return model != NO_MODEL &&
	       (r->demand[model].queued > 0 ||
		   r->demand[model].long_term_per_s >= ASKED_FOR);
}

/* Room that is being made counts as a replica of the model it is for. */
static void
reserve_rooms(round_t *r)
{
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_engine_state_t *engine = &r->engines[e];
		size_t model =
		    engine->replacement == 0
			? NO_MODEL
			: model_index(r->service, engine->replacement);

		r->reserved[e] = NO_MODEL;
		if (!engine->is_usable || !is_wanted(r, model) ||
		    holds(engine, engine->replacement) ||
		    (engine->unloading == 0 &&
			!has_room(r, engine, &r->service->models[model])))
			continue;
		r->reserved[e] = model;
		r->replicas[model]++;
	}
}

/* Loads what room was made for. */
static void
fill_rooms(round_t *r)
{
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_engine_state_t *engine = &r->engines[e];
		size_t model = r->reserved[e];
		spot_t spot = {.engine = e, .victim = NO_MODEL};

		if (model == NO_MODEL || engine->is_busy)
			continue;
		spot.from =
		    copy_place(engine->entry, r->service->models[model].tag);
		if (spot.from == AT_COPY_STORE && r->limits.store_loads == 0)
			continue;
		r->replicas[model]--;
		(void)move_to(r, model, &spot,
		    r->replicas[model] == 0 && r->demand[model].queued > 0);
	}
}

/* Returns the model whose next replica earns the most, or NO_MODEL. */
static size_t
most_wanted(const round_t *r, double *gain)
{
	size_t best = NO_MODEL;
	size_t i;

	*gain = MIN_GAIN;
	for (i = 0; i < r->service->model_count; i++) {
		int urgent = r->replicas[i] == 0 && r->demand[i].queued > 0;
		double g;

		if (r->unplaced[i] || (!urgent && r->limits.moves == 0))
			continue;
		g = gain_of_next(&r->demand[i], r->replicas[i]);
		if (g <= *gain)
			continue;
		best = i;
		*gain = g;
	}
	return best;
}

/*
 * Gives the next places, and the loads that the weight store allows, to the
 * models that earn the most by them, whether they are rare or busy.
 */
static void
follow_demand(round_t *r)
{
	double gain;
	size_t model;

	while (r->move_count < r->max &&
	       (model = most_wanted(r, &gain)) != NO_MODEL) {
		int urgent =
		    r->replicas[model] == 0 && r->demand[model].queued > 0;
		spot_t spot = best_spot(r, model, gain);

		if (!move_to(r, model, &spot, urgent))
			r->unplaced[model] = 1;
		else if (!urgent)
			r->limits.moves--;
	}
}

static void
count_replicas(round_t *r)
{
	size_t i;
	size_t e;

	for (i = 0; i < r->service->model_count; i++) {
		r->replicas[i] = 0;
		for (e = 0; e < r->engine_count; e++)
			r->replicas[i] +=
			    (uint32_t)(r->engines[e].is_usable &&
				       holds(&r->engines[e],
					   r->service->models[i].tag));
	}
}

size_t
at_residency_plan(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_move_t *moves, size_t max)
{
	static round_t r;
	size_t i;

	if (service->model_count == 0 ||
	    service->model_count > AT_RESIDENCY_MODELS_MAX)
		return 0;
	memset(&r, 0, sizeof(r));
	r.service = service;
	r.engines = engines;
	r.engine_count = engine_count < AT_RESIDENCY_ENGINES_MAX
			     ? engine_count
			     : AT_RESIDENCY_ENGINES_MAX;
	r.limits = *limits;
	r.moves = moves;
	r.max = max;
	count_replicas(&r);
	for (i = 0; i < service->model_count; i++)
		r.demand[i] = at_demand_rates_get(
		    demand, service->tag, service->models[i].tag);
	reserve_rooms(&r);
	fill_rooms(&r);
	follow_demand(&r);
	return r.move_count;
}
