/*
 * residency.c - plans which models are resident on which engines.
 *
 * It is designed for two load patterns. Demand shifts from one busy model to
 * another within seconds: free memory and the loads that the weight store
 * allows go where they serve the most requests. Many rare models, more than
 * fit, are requested now and then: one that is requested and not resident
 * replaces the model whose loss costs the least, on an engine with a nearby
 * copy of its weights. With both patterns at once, loads of rare models must
 * not use up the rate of the weight store while a busy model has too few
 * engines, and memory is reserved for the model that it was freed for. When a
 * data centre is evacuated, many models are resident nowhere else at once:
 * those in use are loaded before any further replica, the ones with the most
 * requests first.
 *
 * A third of the engines may take more than twice the time of the others. A
 * replica there serves as much less, and the choice of a server avoids it.
 */
#include "almondthread/residency.h"

#include <math.h>
#include <string.h>

/* Load that a replica serves on time, in seconds of engine time per second. */
#define REPLICA_CAPACITY 0.5
/* Requests per second from which a model is in use. */
#define IN_USE_MIN_PER_S 0.08
/* A move must gain at least this many times what is lost by it. */
#define GAIN_RATIO 1.6
/* Loss of unloading the last replica of an unused model, in requests/s. */
#define LAST_REPLICA_LOSS 0.004
/* Added to LAST_REPLICA_LOSS for each request per second to the model. */
#define LAST_REPLICA_LOSS_PER_RATE 0.6
/* Requests per second that one queued request counts for. */
#define QUEUED_GAIN 0.25
/* Smallest gain, in requests per second, that is worth an order. */
#define MIN_GAIN 0.1
/* Smallest gain of a further replica that is loaded from the weight store. */
#define STORE_MIN_GAIN 0.3
/* Time in seconds for which a request delays the unload of its model. */
#define REQUEST_DURATION_S 2.
/* Longest expected time of an unload with requests in flight. */
#define UNLOAD_MAX_MS 2500.
/* Cost of a move whose loss is as large as its gain. */
#define LOSS_WEIGHT_MS 4000.
/* Added to the cost of a load for each request in flight on the engine. */
#define ACTIVE_REQUEST_MS 12u
#define NO_ENGINE SIZE_MAX
#define NO_MODEL SIZE_MAX

const char *const at_copy_location_names[] = {"memory", "disk", "store"};

/* Working state of one round. */
typedef struct round {
	const at_site_service_t *service;
	const at_engine_state_t *engines;
	size_t engine_count;
	uint32_t replicas[AT_RESIDENCY_MODELS_MAX];
	/* What replicas at slow engines serve less, in replicas. */
	double lacking[AT_RESIDENCY_MODELS_MAX];
	at_model_demand_t demand[AT_RESIDENCY_MODELS_MAX];
	/* A move was ordered in this round. */
	unsigned char has_move[AT_RESIDENCY_ENGINES_MAX];
	/* The model that memory is or was freed for, or NO_MODEL. */
	size_t reserved_for[AT_RESIDENCY_ENGINES_MAX];
	at_residency_limits_t limits;
	at_move_t *moves;
	size_t move_count;
	size_t max;
	/* No engine can load these models in this round. */
	unsigned char is_unplaced[AT_RESIDENCY_MODELS_MAX];
	/* These are resident in evacuated data centres only. */
	unsigned char is_lost[AT_RESIDENCY_MODELS_MAX];
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
 * Returns the fraction of a load that this number of replicas serves on time:
 * nearly all of it while they have spare capacity, and their capacity beyond
 * that.
 */
static double
served_part(double load, double replicas)
{
	double utilization;

	if (replicas <= 0.)
		return 0.;
	utilization = load / (replicas * REPLICA_CAPACITY);
	return 1. / cbrt(1. + utilization * utilization * utilization);
}

/*
 * Returns the requests per second that a further replica serves on time. A
 * model without a replica counts by its long-term rate: a rare model is
 * requested again long after its last request, a load takes seconds, and by its
 * present rate it would be unloaded as soon as it is resident.
 */
static double
next_replica_gain(const at_model_demand_t *d, double replicas)
{
	double gained_part = served_part(d->busy_engines, replicas + 1.) -
			     served_part(d->busy_engines, replicas);

	return replicas > 0.
		   ? d->requests_per_s * gained_part
		   : d->long_term_per_s * gained_part + d->queued * QUEUED_GAIN;
}

static size_t
replica_capacity(const at_site_service_t *service, size_t engines)
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
	size_t replicas_left = replica_capacity(service, engines);
	size_t count = service->model_count < AT_RESIDENCY_MODELS_MAX
			   ? service->model_count
			   : AT_RESIDENCY_MODELS_MAX;
	size_t i;

	for (i = 0; i < count; i++) {
		demands[i] = at_demand_rates_get(
		    demand, service->tag, service->models[i].tag);
		targets[i] = 0;
	}
	while (replicas_left > 0) {
		size_t best = NO_MODEL;
		double best_gain = MIN_GAIN;

		for (i = 0; i < count; i++) {
			double gain;

			if (targets[i] >= engines)
				continue;
			gain = next_replica_gain(&demands[i], targets[i]);
			if (gain <= best_gain)
				continue;
			best = i;
			best_gain = gain;
		}
		if (best == NO_MODEL)
			return;
		targets[best]++;
		replicas_left--;
	}
}

static int
has_model(const at_engine_state_t *engine, at_tag_t model)
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
		const at_resident_model_t *resident =
		    &engine->residents->models[i];
		const at_site_model_t *model =
		    at_site_find_model(r->service, resident->tag);

		if (model == NULL)
			continue;
		mb += model->weights_mb;
		mb += model->adapter_mb * resident->adapter_count;
	}
	return mb;
}

/*
 * Returns the memory reserved for adapters: all adapter slots filled with the
 * largest.
 */
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
has_memory(const round_t *r, const at_engine_state_t *engine,
    const at_site_model_t *model)
{
	uint64_t free_mb;
	uint64_t taken_mb = used_mb(r, engine) + reserve_mb(r);

	if (engine->residents->count >= AT_RESIDENT_MODELS_MAX)
		return 0;
	free_mb = r->service->weights_mb > taken_mb
		      ? r->service->weights_mb - taken_mb
		      : 0;
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
find_copy(const at_server_entry_t *entry, at_tag_t model)
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

/* Returns what a replica serves less at this engine than at the mean one. */
static double
lacking_at(const at_engine_state_t *engine)
{
	return engine->slow_milli == 0 ? 0. : 1. - 1000. / engine->slow_milli;
}

/* Returns the replicas of a model, of which those at slow engines count less.
 */
static double
served_by(const round_t *r, size_t model)
{
	return (double)r->replicas[model] - r->lacking[model];
}

/* Returns the cost of unloading a replica, or less than 0 if it must stay. */
static double
unload_loss(const round_t *r, const at_engine_state_t *engine, size_t model)
{
	uint32_t replicas = r->replicas[model];
	const at_model_demand_t *d = &r->demand[model];
	double serves = 1. - lacking_at(engine);

	if (replicas > 1)
		return next_replica_gain(d, served_by(r, model) - serves) *
		       serves;
	if (d->queued > 0)
		return -1.;
	return LAST_REPLICA_LOSS +
	       d->long_term_per_s * LAST_REPLICA_LOSS_PER_RATE;
}

/*
 * Returns the resident model of an engine whose unload costs the least, or
 * NO_MODEL.
 */
static size_t
find_victim(const round_t *r, const at_engine_state_t *engine, double *loss)
{
	size_t victim = NO_MODEL;
	size_t i;

	for (i = 0; i < engine->residents->count; i++) {
		size_t model =
		    model_index(r->service, engine->residents->models[i].tag);
		double model_loss;

		if (model == NO_MODEL)
			continue;
		model_loss = unload_loss(r, engine, model);
		if (model_loss < 0 ||
		    (victim != NO_MODEL && model_loss >= *loss))
			continue;
		victim = model;
		*loss = model_loss;
	}
	return victim;
}

/*
 * Returns the expected time of an unload, given the requests that probably run
 * there.
 */
static double
unload_ms(const round_t *r, size_t model)
{
	double running = r->demand[model].requests_per_s * REQUEST_DURATION_S /
			 (r->replicas[model] + 1u);

	return UNLOAD_MAX_MS * (1. - exp(-running));
}

/* An engine that could load a model. */
typedef struct candidate {
	size_t engine;
	size_t victim; /* model to unload first, or NO_MODEL */
	at_copy_location_t from;
	double cost;
} candidate_t;

static int
evaluate_engine(const round_t *r, size_t e, size_t requested, double gain,
    candidate_t *candidate)
{
	const at_site_model_t *model = &r->service->models[requested];
	const at_engine_state_t *engine = &r->engines[e];
	double loss = 0.;
	double wait_ms = 0.;

	if (!engine->is_usable || engine->is_excluded || engine->is_busy ||
	    r->has_move[e] || r->reserved_for[e] != NO_MODEL ||
	    has_model(engine, model->tag))
		return 0;
	candidate->engine = e;
	candidate->victim = NO_MODEL;
	candidate->from = find_copy(engine->entry, model->tag);
	if (candidate->from == AT_COPY_STORE &&
	    (r->limits.store_loads == 0 ||
		(r->replicas[requested] > 0 && gain < STORE_MIN_GAIN)))
		return 0;
	if (!has_memory(r, engine, model)) {
		candidate->victim = find_victim(r, engine, &loss);
		if (candidate->victim == NO_MODEL || loss * GAIN_RATIO > gain)
			return 0;
		wait_ms = unload_ms(r, candidate->victim);
	}
	/*
	 * The time in milliseconds until it serves there, and the loss weighted
	 * as time.
	 */
	candidate->cost = load_ms(model, candidate->from) + wait_ms +
			  (double)engine->load.active * ACTIVE_REQUEST_MS +
			  (loss / gain + lacking_at(engine)) * LOSS_WEIGHT_MS;
	return 1;
}

static candidate_t
best_candidate(const round_t *r, size_t model, double gain)
{
	candidate_t best = {.engine = NO_ENGINE};
	candidate_t candidate;
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		if (evaluate_engine(r, e, model, gain, &candidate) &&
		    (best.engine == NO_ENGINE || candidate.cost < best.cost))
			best = candidate;
	}
	return best;
}

/*
 * Orders the load, or the unload that has to precede it. Returns 0 if there is
 * no engine or no move left.
 */
static int
add_move(round_t *r, size_t model, const candidate_t *candidate, int is_urgent)
{
	at_move_t *move;

	if (candidate->engine == NO_ENGINE || r->move_count == r->max)
		return 0;
	move = &r->moves[r->move_count++];
	memset(move, 0, sizeof(*move));
	move->server = r->engines[candidate->engine].entry->tag;
	move->is_urgent = is_urgent;
	r->has_move[candidate->engine] = 1;
	if (candidate->victim != NO_MODEL) {
		move->kind = AT_MOVE_UNLOAD;
		move->model = r->service->models[candidate->victim].tag;
		move->replacement = r->service->models[model].tag;
		r->replicas[candidate->victim]--;
		r->replicas[model]++;
		return 1;
	}
	move->kind = AT_MOVE_LOAD;
	move->model = r->service->models[model].tag;
	move->from = candidate->from;
	r->replicas[model]++;
	if (candidate->from == AT_COPY_STORE)
		r->limits.store_loads--;
	return 1;
}

/*
 * Returns non-zero if a model is still requested often enough for memory to be
 * freed for it.
 */
static int
is_in_use(const round_t *r, size_t model)
{
	return model != NO_MODEL &&
	       (r->demand[model].queued > 0 ||
		   r->demand[model].long_term_per_s >= IN_USE_MIN_PER_S);
}

/*
 * Counts memory that is being freed as a replica of the model it is freed for.
 */
static void
reserve_freed_memory(round_t *r)
{
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_engine_state_t *engine = &r->engines[e];
		size_t model =
		    engine->replacement == 0
			? NO_MODEL
			: model_index(r->service, engine->replacement);

		r->reserved_for[e] = NO_MODEL;
		if (!engine->is_usable || !is_in_use(r, model) ||
		    has_model(engine, engine->replacement) ||
		    (engine->unloading == 0 &&
			!has_memory(r, engine, &r->service->models[model])))
			continue;
		r->reserved_for[e] = model;
		r->replicas[model]++;
	}
}

/* Loads the models that memory was freed for. */
static void
load_reserved(round_t *r)
{
	size_t e;

	for (e = 0; e < r->engine_count; e++) {
		const at_engine_state_t *engine = &r->engines[e];
		size_t model = r->reserved_for[e];
		candidate_t candidate = {.engine = e, .victim = NO_MODEL};

		if (model == NO_MODEL || engine->is_busy)
			continue;
		candidate.from =
		    find_copy(engine->entry, r->service->models[model].tag);
		if (candidate.from == AT_COPY_STORE &&
		    r->limits.store_loads == 0)
			continue;
		r->replicas[model]--;
		(void)add_move(r, model, &candidate,
		    r->replicas[model] == 0 && r->demand[model].queued > 0);
	}
}

/* Returns non-zero if the model was resident and in use until an evacuation. */
static int
is_lost(const round_t *r, size_t model)
{
	return r->is_lost[model] && r->replicas[model] == 0;
}

static int
is_urgent(const round_t *r, size_t model)
{
	return (r->replicas[model] == 0 && r->demand[model].queued > 0) ||
	       (is_lost(r, model) && is_in_use(r, model));
}

/* A model that is lost may have become busy only recently. */
static double
gain_of(const round_t *r, size_t model)
{
	const at_model_demand_t *d = &r->demand[model];
	double gain = next_replica_gain(d, served_by(r, model));
	double present = d->requests_per_s * served_part(d->busy_engines, 1);

	return is_lost(r, model) && present > gain ? present : gain;
}

/*
 * Returns the model whose next replica gains the most, or NO_MODEL; those that
 * are lost come first.
 */
static size_t
find_highest_gain(const round_t *r, double *gain)
{
	size_t best = NO_MODEL;
	size_t i;

	*gain = MIN_GAIN;
	for (i = 0; i < r->service->model_count; i++) {
		int is_first =
		    best != NO_MODEL && is_lost(r, i) && !is_lost(r, best);
		int is_last =
		    best != NO_MODEL && !is_lost(r, i) && is_lost(r, best);
		double g;

		if (r->is_unplaced[i] || is_last ||
		    (!is_urgent(r, i) && r->limits.moves == 0))
			continue;
		g = gain_of(r, i);
		if (g <= (is_first ? MIN_GAIN : *gain))
			continue;
		best = i;
		*gain = g;
	}
	return best;
}

/*
 * Gives free memory and the loads that the weight store allows to the models
 * that gain the most, whether they are rare or busy.
 */
static void
plan_by_demand(round_t *r)
{
	double gain;
	size_t model;

	while (r->move_count < r->max &&
	       (model = find_highest_gain(r, &gain)) != NO_MODEL) {
		int needs_no_limit = is_urgent(r, model);
		candidate_t candidate = best_candidate(r, model, gain);

		if (!add_move(r, model, &candidate, needs_no_limit))
			r->is_unplaced[model] = 1;
		else if (!needs_no_limit)
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
		for (e = 0; e < r->engine_count; e++) {
			const at_engine_state_t *engine = &r->engines[e];

			if ((!engine->is_usable && !engine->is_evacuated) ||
			    !has_model(engine, r->service->models[i].tag))
				continue;
			if (engine->is_evacuated) {
				r->is_lost[i] = 1;
				continue;
			}
			r->replicas[i]++;
			r->lacking[i] += lacking_at(engine);
		}
	}
}

/* Returns -1 if the service has no models, or too many. */
static int
begin_round(round_t *r, const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits)
{
	size_t i;

	if (service->model_count == 0 ||
	    service->model_count > AT_RESIDENCY_MODELS_MAX)
		return -1;
	memset(r, 0, sizeof(*r));
	r->service = service;
	r->engines = engines;
	r->engine_count = engine_count < AT_RESIDENCY_ENGINES_MAX
			      ? engine_count
			      : AT_RESIDENCY_ENGINES_MAX;
	r->limits = *limits;
	count_replicas(r);
	for (i = 0; i < service->model_count; i++)
		r->demand[i] = at_demand_rates_get(
		    demand, service->tag, service->models[i].tag);
	reserve_freed_memory(r);
	return 0;
}

size_t
at_residency_plan(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_move_t *moves, size_t max)
{
	static round_t r;

	if (begin_round(&r, service, engines, engine_count, demand, limits) !=
	    0)
		return 0;
	r.moves = moves;
	r.max = max;
	load_reserved(&r);
	plan_by_demand(&r);
	return r.move_count;
}

size_t
at_residency_plan_for(const at_site_service_t *service,
    const at_engine_state_t *engines, size_t engine_count,
    const at_demand_rates_t *demand, const at_residency_limits_t *limits,
    at_tag_t model, at_move_t *move)
{
	static round_t r;
	size_t index = model_index(service, model);
	candidate_t candidate;
	double gain;
	size_t e;

	if (index == NO_MODEL || begin_round(&r, service, engines, engine_count,
				     demand, limits) != 0)
		return 0;
	for (e = 0; e < r.engine_count; e++) {
		if (engines[e].is_usable && !engines[e].is_excluded &&
		    (has_model(&engines[e], model) ||
			r.reserved_for[e] == index))
			return 0;
	}
	/* Those elsewhere do not count. */
	r.replicas[index] = 0;
	gain = gain_of(&r, index);
	if (gain < QUEUED_GAIN)
		gain = QUEUED_GAIN;
	r.moves = move;
	r.max = 1;
	candidate = best_candidate(&r, index, gain);
	(void)add_move(&r, index, &candidate, 1);
	return r.move_count;
}
