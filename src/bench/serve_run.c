#include "bench/serve_run.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/fair_queue.h"
#include "bench/sim_engine.h"

#define STEP_US 5000u /* step of the simulation */
#define US_PER_MS 1000u
#define US_PER_S 1000000u
#define REPORT_PERIOD_US 500000u /* between reports of an engine */
#define PLAN_PERIOD_US 1000000u  /* between planning rounds of placement */
#define WARM_UP_S 90u            /* time to load the initial models */
#define FIRST_TOKEN_OBJECTIVE_MS 340u
#define TOKEN_OBJECTIVE_MS 35.0
/* An overnight request is queued if no engine can start it within this time. */
#define OVERNIGHT_FIRST_TOKEN_MS 250u
#define DECISIONS_MAX 64u /* decisions of one planning round */
#define QUEUE_MAX_REQUESTS 100000u
#define DISPATCH_PERIOD_US 10000u /* between attempts to empty the queues */
#define DRAIN_TIME_US 60000000u   /* for requests in flight at the end */
#define BATCH_SLOT_MS 160u        /* expected wait for a slot of a full batch */

const char *const serve_fault_names[] = {"none", "engine", "data_centre"};

typedef struct run run_t;

/* A request that is queued or in flight. */
typedef struct request {
	sim_request_t engine_request; /* must be the first member */
	at_fair_item_t item;
	const serve_arrival_t *arrival;
	run_t *run;
	at_route_choice_t choice;
	uint64_t first_token_us;
	uint64_t sent_us;
	uint32_t router;
	int retried;
} request_t;

struct run {
	const serve_site_t *site;
	const serve_policy_t *policy;
	at_rng_t rng;
	uint64_t now_us;
	uint64_t start_us; /* of the load, after the warm-up */
	at_config_t *config;
	sim_store_t store;
	sim_engine_t *engines;
	uint32_t engine_count;
	at_placement_t **placements;
	at_router_t **routers;
	uint32_t router_count;
	at_fair_queue_t **queues; /* one for each router and target */
	uint32_t target_count;
	uint32_t *next_turn; /* of round robin, for each target */
	serve_result_t result;
};

static uint64_t
now_ms(const run_t *run)
{
	return run->now_us / US_PER_MS;
}

/* Engines are named by their index. */
static sim_engine_t *
find_engine(run_t *run, const at_name_t *name)
{
	return &run->engines[strtoul(name->text + strlen("engine-"), NULL, 10)];
}

/*
 * Returns the engine that a baseline selects among those that serve the target,
 * or NULL. Engines of other data centres are selected last.
 */
static sim_engine_t *
select_baseline(run_t *run, const request_t *request)
{
	uint32_t data_centre = request->router / run->site->routers;
	sim_engine_t *best = NULL;
	uint64_t best_rank = UINT64_MAX;
	uint32_t turn = run->next_turn[request->arrival->target]++;
	uint32_t i;

	for (i = 0; i < run->engine_count; i++) {
		sim_engine_t *e = &run->engines[i];
		uint64_t rank = 0;

		if (e->has_crashed || !at_engine_view_is_serving(&e->view,
					  request->engine_request.target))
			continue;
		if (run->policy->routing == SERVE_ROUTING_RANDOM)
			rank = at_rng_below(&run->rng, 1000);
		else if (run->policy->routing == SERVE_ROUTING_FEWEST)
			rank = e->view.running + e->view.queued;
		else
			rank =
			    (i + run->engine_count - turn % run->engine_count) %
			    run->engine_count;
		if (i % run->site->data_centres != data_centre)
			rank += 1u << 20;
		if (rank < best_rank) {
			best_rank = rank;
			best = e;
		}
	}
	return best;
}

/* Selects an engine by router.h; returns a reason if none is selected. */
static at_reason_t
select_by_router(run_t *run, request_t *request, uint32_t deadline_ms)
{
	at_route_request_t route = {.target = request->engine_request.target,
	    .prompt_tokens = request->engine_request.prompt_tokens,
	    .prefix_hashes = request->engine_request.prefix_hashes,
	    .prefix_count = run->policy->routing == SERVE_ROUTING_NO_AFFINITY
				? 0
				: request->engine_request.prefix_count,
	    .deadline_ms = deadline_ms};
	at_router_t *router = run->routers[request->router];
	at_reason_t reason =
	    at_router_choose(router, &route, now_ms(run), &request->choice);

	if (reason == AT_REASON_NONE)
		at_router_note_sent(
		    router, &route, &request->choice, now_ms(run));
	return reason;
}

static uint32_t
age_ms(const run_t *run, const request_t *request)
{
	return (
	    uint32_t)((run->now_us - run->start_us - request->arrival->at_us) /
		      US_PER_MS);
}

/* Sends a request; returns non-zero if it must be queued. */
static int
send_request(run_t *run, request_t *request)
{
	uint32_t waited_ms = age_ms(run, request);
	uint32_t deadline_ms =
	    request->arrival->priority == AT_PRIORITY_OVERNIGHT
		? OVERNIGHT_FIRST_TOKEN_MS
		: (waited_ms < FIRST_TOKEN_OBJECTIVE_MS
			  ? FIRST_TOKEN_OBJECTIVE_MS - waited_ms
			  : 1);
	sim_engine_t *engine = NULL;

	if (run->policy->routing <= SERVE_ROUTING_NO_AFFINITY) {
		if (select_by_router(run, request, deadline_ms) !=
		    AT_REASON_NONE)
			return 1;
		engine = find_engine(run, &request->choice.engine);
	} else {
		engine = select_baseline(run, request);
	}
	request->sent_us = run->now_us;
	if (engine != NULL &&
	    sim_engine_submit(engine, &request->engine_request) == 0)
		return 0;
	if (run->policy->routing <= SERVE_ROUTING_NO_AFFINITY)
		at_router_note_ended(run->routers[request->router],
		    &request->choice, 1, now_ms(run));
	return 1;
}

/* Adds a request to the queue of its router and target. */
static void
queue_request(run_t *run, request_t *request)
{
	uint32_t i =
	    request->router * run->target_count + request->arrival->target;

	if (run->queues[i] == NULL)
		run->queues[i] = at_fair_queue_new(QUEUE_MAX_REQUESTS);
	request->item.workspace = request->arrival->workspace == 0   ? "w0"
				  : request->arrival->workspace == 1 ? "w1"
				  : request->arrival->workspace == 2 ? "w2"
				  : request->arrival->workspace == 3 ? "w3"
								     : "w4";
	request->item.weight = 1;
	request->item.cost_tokens = request->engine_request.prompt_tokens +
				    request->engine_request.output_tokens;
	request->item.priority = request->arrival->priority;
	request->item.deadline_at_ms =
	    (run->start_us + request->arrival->at_us) / US_PER_MS +
	    (request->arrival->priority == AT_PRIORITY_OVERNIGHT
		    ? SERVE_OVERNIGHT_MS
		    : FIRST_TOKEN_OBJECTIVE_MS);
	request->item.user = request;
	(void)at_fair_queue_push(run->queues[i], &request->item);
}

/* Drops the expired requests of all queues and sends those that can be sent. */
static void
dispatch_queued(run_t *run)
{
	uint32_t total = run->router_count * run->target_count;
	at_fair_item_t *item;
	uint32_t i;

	for (i = 0; i < total; i++) {
		at_fair_queue_t *queue = run->queues[i];

		if (queue == NULL || at_fair_queue_count(queue) == 0)
			continue;
		while (
		    (item = at_fair_queue_take_expired(queue, now_ms(run)))) {
			request_t *request = item->user;

			if (request->arrival->priority ==
			    AT_PRIORITY_INTERACTIVE)
				run->result.refused++;
			free(request);
		}
		while ((item = at_fair_queue_peek(queue, now_ms(run)))) {
			if (send_request(run, item->user) != 0)
				break;
			(void)at_fair_queue_pop(queue, now_ms(run));
		}
	}
}

static void
on_first_token(void *ctx, sim_request_t *engine_request)
{
	run_t *run = ctx;
	request_t *request = (request_t *)engine_request;

	request->first_token_us = run->now_us;
	if (run->policy->routing <= SERVE_ROUTING_NO_AFFINITY)
		at_router_note_first_token(run->routers[request->router],
		    &request->choice,
		    (uint32_t)((run->now_us - request->sent_us) / US_PER_MS));
}

static void
on_done(void *ctx, sim_request_t *engine_request)
{
	run_t *run = ctx;
	request_t *request = (request_t *)engine_request;
	const serve_arrival_t *arrival = request->arrival;
	uint64_t first_ms =
	    (request->first_token_us - run->start_us - arrival->at_us) /
	    US_PER_MS;
	double token_ms = (double)(run->now_us - request->first_token_us) /
			  US_PER_MS / engine_request->output_tokens;

	if (run->policy->routing <= SERVE_ROUTING_NO_AFFINITY)
		at_router_note_ended(run->routers[request->router],
		    &request->choice, 0, now_ms(run));
	if (arrival->priority == AT_PRIORITY_OVERNIGHT) {
		run->result.overnight_on_time +=
		    age_ms(run, request) <= SERVE_OVERNIGHT_MS;
		run->result.on_time_seconds += serve_least_seconds(arrival);
	} else if (first_ms > FIRST_TOKEN_OBJECTIVE_MS) {
		run->result.late_first_tokens++;
	} else if (token_ms > TOKEN_OBJECTIVE_MS) {
		run->result.late_tokens++;
	} else {
		run->result.on_time++;
		run->result.on_time_by[arrival->workspace]++;
		run->result.on_time_seconds += serve_least_seconds(arrival);
	}
	free(request);
}

/* Sends a request again after its engine crashed; drops it the second time. */
static void
on_lost(void *ctx, sim_request_t *engine_request)
{
	run_t *run = ctx;
	request_t *request = (request_t *)engine_request;

	if (run->policy->routing <= SERVE_ROUTING_NO_AFFINITY)
		at_router_note_ended(run->routers[request->router],
		    &request->choice, 1, now_ms(run));
	if (request->retried++) {
		free(request);
		return;
	}
	if (send_request(run, request) != 0)
		queue_request(run, request);
}

static void
process_arrival(run_t *run, const serve_arrival_t *arrival)
{
	request_t *request;
	uint32_t data_centre = arrival->router / run->site->routers;

	if (arrival->is_over_rate)
		return;
	request = calloc(1, sizeof(*request));
	request->arrival = arrival;
	request->run = run;
	request->router = arrival->router;
	request->engine_request.prompt_tokens = arrival->prompt_tokens;
	request->engine_request.output_tokens = arrival->output_tokens;
	request->engine_request.prefix_hashes = arrival->prefix_hashes;
	request->engine_request.prefix_count = SERVE_PREFIX_BLOCKS;
	serve_target_name(
	    run->site, arrival->target, request->engine_request.target);
	/* Eight prompt tokens count as one output token. */
	at_placement_add_demand(run->placements[data_centre],
	    request->engine_request.target,
	    arrival->prompt_tokens / 8 + arrival->output_tokens);
	run->result.requested_seconds += serve_least_seconds(arrival);
	if (arrival->priority == AT_PRIORITY_OVERNIGHT) {
		run->result.overnight++;
	} else {
		run->result.requests++;
		run->result.requests_by[arrival->workspace]++;
	}
	if (send_request(run, request) != 0)
		queue_request(run, request);
}

/* Reports the engines to the routers and removes those that have crashed. */
static void
report_engines(run_t *run)
{
	uint32_t r;
	uint32_t e;

	for (r = 0; r < run->router_count; r++) {
		for (e = 0; e < run->engine_count; e++) {
			sim_engine_t *engine = &run->engines[e];

			if (engine->has_crashed) {
				at_router_remove(
				    run->routers[r], &engine->view.name);
				continue;
			}
			engine->view.report_at_ms = now_ms(run);
			(void)at_router_apply_report(
			    run->routers[r], &engine->view);
		}
	}
}

/* Runs one planning round in each data centre and executes its orders. */
static void
plan_placement(run_t *run)
{
	at_place_engine_t *place_engines =
	    calloc(run->engine_count + 1u, sizeof(at_place_engine_t));
	at_decision_t decisions[DECISIONS_MAX];
	uint32_t data_centre;
	uint32_t e;
	size_t i;

	for (data_centre = 0; data_centre < run->site->data_centres;
	     data_centre++) {
		size_t count = 0;

		for (e = data_centre; e < run->engine_count;
		     e += run->site->data_centres) {
			sim_engine_t *engine = &run->engines[e];
			at_place_engine_t *place_engine = &place_engines[count];

			if (engine->has_crashed)
				continue;
			place_engine->name = engine->view.name;
			place_engine->accelerators = engine->view.accelerators;
			place_engine->capacity_mb = engine->view.memory_mb;
			place_engine->free_mb = place_engine->capacity_mb -
						sim_engine_used_mb(engine);
			place_engine->is_usable = 1;
			place_engine->residents = engine->residents;
			place_engine->resident_count =
			    engine->view.resident_count;
			count++;
		}
		count = at_placement_plan(run->placements[data_centre],
		    now_ms(run), place_engines, count, NULL, 0, decisions,
		    DECISIONS_MAX);
		for (i = 0; i < count; i++) {
			at_order_t *order = &decisions[i].order;

			if (run->store.loading_models >=
				2 * run->store.full_speed_loads &&
			    order->kind == AT_ORDER_LOAD_MODEL)
				continue;
			(void)sim_engine_execute(
			    find_engine(run, &order->engine), order,
			    run->now_us);
		}
	}
	free(place_engines);
}

/* Plans placement for the demand of the load before its requests arrive. */
static void
warm_up(run_t *run, const serve_load_t *load, const sim_events_t *events)
{
	char target[AT_NAME_SIZE];
	size_t next = 0;
	uint32_t second;
	uint32_t e;

	for (second = 0; second < WARM_UP_S; second++) {
		size_t per_second = load->count / run->site->time_s;

		for (; per_second > 0 && load->count > 0; per_second--) {
			const serve_arrival_t *arrival =
			    &load->arrivals[next++ % load->count];

			serve_target_name(run->site, arrival->target, target);
			at_placement_add_demand(
			    run->placements[arrival->router /
					    run->site->routers],
			    target,
			    arrival->prompt_tokens / 8 +
				arrival->output_tokens);
		}
		run->now_us += PLAN_PERIOD_US;
		for (e = 0; e < run->engine_count; e++)
			sim_engine_tick(
			    &run->engines[e], run->now_us, STEP_US, events);
		plan_placement(run);
	}
	report_engines(run);
	run->store.loads = 0;
}

/* Crashes one engine, or all engines of data centre 0. */
static void
inject_fault(run_t *run, serve_fault_t fault, const sim_events_t *events)
{
	uint32_t e;

	for (e = 0; e < run->engine_count; e += run->site->data_centres) {
		if (!run->engines[e].has_crashed && fault != SERVE_FAULT_NONE)
			sim_engine_crash(&run->engines[e], events);
		if (fault == SERVE_FAULT_ENGINE)
			return;
	}
}

static void
run_load(run_t *run, const serve_load_t *load, serve_fault_t fault,
    const sim_events_t *events)
{
	uint64_t start_us = run->now_us;
	uint64_t end_us = start_us + (uint64_t)run->site->time_s * US_PER_S;
	uint64_t fault_at_us = start_us + (end_us - start_us) / 2;
	size_t next = 0;
	uint32_t e;

	run->start_us = start_us;
	for (; run->now_us < end_us + DRAIN_TIME_US; run->now_us += STEP_US) {
		uint64_t elapsed_us = run->now_us - start_us;

		for (; next < load->count &&
		       load->arrivals[next].at_us <= elapsed_us;
		     next++)
			process_arrival(run, &load->arrivals[next]);
		for (e = 0; e < run->engine_count; e++)
			sim_engine_tick(
			    &run->engines[e], run->now_us, STEP_US, events);
		if (elapsed_us % DISPATCH_PERIOD_US == 0)
			dispatch_queued(run);
		if (elapsed_us % REPORT_PERIOD_US == 0)
			report_engines(run);
		if (run->policy->continues_placement &&
		    elapsed_us % PLAN_PERIOD_US == 0)
			plan_placement(run);
		if (run->now_us == fault_at_us)
			inject_fault(run, fault, events);
	}
	run->result.moves = run->store.loads;
}

static int
run_init(run_t *run)
{
	const serve_site_t *site = run->site;
	uint32_t i;

	run->config = serve_config_new(site);
	run->engine_count = site->data_centres * site->engines;
	run->router_count = site->data_centres * site->routers;
	run->target_count = site->models + site->adapters;
	run->engines = calloc(run->engine_count, sizeof(*run->engines));
	run->placements = calloc(site->data_centres, sizeof(at_placement_t *));
	run->routers = calloc(run->router_count, sizeof(at_router_t *));
	run->queues = calloc((size_t)run->router_count * run->target_count,
	    sizeof(at_fair_queue_t *));
	run->next_turn = calloc(run->target_count, sizeof(uint32_t));
	if (run->config == NULL || run->engines == NULL ||
	    run->placements == NULL || run->routers == NULL ||
	    run->queues == NULL || run->next_turn == NULL)
		return -1;
	for (i = 0; i < run->engine_count; i++) {
		const at_engine_t *e = &run->config->engines[i];

		sim_engine_init(&run->engines[i], e->name.text, &e->data_centre,
		    e->accelerators, e->memory_mb, &run->store);
	}
	for (i = 0; i < site->data_centres; i++) {
		run->placements[i] = at_placement_new();
		at_placement_set_policy(
		    run->placements[i], run->policy->placement);
		(void)at_placement_set_config(run->placements[i], run->config,
		    &run->config->data_centres[i]);
	}
	for (i = 0; i < run->router_count; i++) {
		const at_engine_speed_t speed = {
		    .prefill_tokens_s =
			SIM_PREFILL_TOKENS_S * site->accelerators,
		    .batch_max = SIM_BATCH_MAX * site->accelerators,
		    .batch_slot_ms = BATCH_SLOT_MS};

		run->routers[i] = at_router_new(
		    &run->config->data_centres[i / site->routers], i + 1);
		at_router_set_speed(run->routers[i], &speed);
	}
	return 0;
}

static void
run_deinit(run_t *run)
{
	uint32_t total = run->router_count * run->target_count;
	at_fair_item_t *item;
	uint32_t i;

	for (i = 0; run->queues != NULL && i < total; i++) {
		while (run->queues[i] != NULL &&
		       (item = at_fair_queue_pop(run->queues[i], 0)) != NULL)
			free(item->user);
		at_fair_queue_delete(run->queues[i]);
	}
	for (i = 0; i < run->router_count; i++)
		at_router_delete(run->routers[i]);
	for (i = 0; i < run->site->data_centres; i++)
		at_placement_delete(run->placements[i]);
	for (i = 0; i < run->engine_count; i++)
		sim_engine_deinit(&run->engines[i]);
	at_config_delete(run->config);
	free(run->engines);
	free(run->placements);
	free(run->routers);
	free(run->queues);
	free(run->next_turn);
}

static void
free_request(void *ctx, sim_request_t *engine_request)
{
	(void)ctx;
	free(engine_request);
}

serve_result_t
serve_run(const serve_site_t *site, const serve_policy_t *policy,
    const serve_load_t *load, serve_fault_t fault, uint64_t seed)
{
	run_t run = {.site = site,
	    .policy = policy,
	    .rng = {seed},
	    .store = {.full_speed_loads = site->full_speed_loads,
		.full_speed_adapter_loads = site->full_speed_adapter_loads}};
	const sim_events_t events = {on_first_token, on_done, on_lost, &run};
	const sim_events_t discard = {
	    free_request, free_request, free_request, &run};
	uint32_t e;

	if (run_init(&run) == 0) {
		warm_up(&run, load, &events);
		run_load(&run, load, fault, &events);
		for (e = 0; e < run.engine_count; e++)
			sim_engine_crash(&run.engines[e], &discard);
	}
	run_deinit(&run);
	return run.result;
}
