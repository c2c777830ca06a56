#include "bench/serve_run.h"

#include <stdlib.h>
#include <string.h>

#include "almondthread/fair_queue.h"
#include "bench/sim_engine.h"

#define STEP_US 5000u
#define US_PER_MS 1000u
#define US_PER_S 1000000u
#define REPORT_US 500000u /* between two reports of an engine */
#define ROUND_US 1000000u /* between two rounds of placement */
#define WARM_UP_S 90u     /* of placement alone */
#define FIRST_TOKEN_MS 340u
#define TOKEN_MS 35.0
#define OVERNIGHT_WAIT_MS 250u /* overnight work waits beyond this */
#define DECISIONS 64u
#define QUEUE_MAX 100000u
#define QUEUE_US 10000u     /* between two looks at the queues */
#define DRAIN_US 60000000u  /* for what is open at the end */
#define BATCH_PLACE_MS 160u /* a place of a full batch gets free */

const char *const serve_loss_names[] = {"none", "engine", "data_centre"};

typedef struct run run_t;

/* One request on its way. */
typedef struct job {
	fake_request_t request; /* first: engines hand it back */
	at_fair_item_t item;
	const serve_arrival_t *arrival;
	run_t *run;
	at_route_choice_t choice;
	uint64_t first_us;
	uint64_t sent_us;
	uint32_t router;
	int retried;
} job_t;

struct run {
	const serve_site_t *site;
	const policy_t *policy;
	at_rng_t rng;
	uint64_t now_us;
	uint64_t start_us; /* arrivals count from here */
	at_config_t *config;
	fake_store_t store;
	fake_engine_t *engines;
	uint32_t engine_count;
	at_placement_t **placements;
	at_router_t **routers;
	uint32_t router_count;
	at_fair_queue_t **queues; /* one for each router and target */
	uint32_t target_count;
	uint32_t *turns; /* of round robin, by target */
	result_t result;
};

static uint64_t
now_ms(const run_t *run)
{
	return run->now_us / US_PER_MS;
}

static fake_engine_t *
engine_named(run_t *run, const at_name_t *name)
{
	return &run->engines[strtoul(name->text + strlen("engine-"), NULL, 10)];
}

/* A baseline's choice among the engines that hold the target. */
static fake_engine_t *
choose_baseline(run_t *run, const job_t *job)
{
	uint32_t dc = job->router / run->site->routers;
	fake_engine_t *best = NULL;
	uint64_t best_rank = UINT64_MAX;
	uint32_t turn = run->turns[job->arrival->target]++;
	uint32_t i;

	for (i = 0; i < run->engine_count; i++) {
		fake_engine_t *e = &run->engines[i];
		uint64_t rank = 0;

		if (e->dead ||
		    !at_engine_view_is_serving(&e->view, job->request.target))
			continue;
		if (run->policy->choose == CHOOSE_RANDOM)
			rank = at_rng_below(&run->rng, 1000);
		else if (run->policy->choose == CHOOSE_FEWEST)
			rank = e->view.running + e->view.queued;
		else
			rank =
			    (i + run->engine_count - turn % run->engine_count) %
			    run->engine_count;
		if (i % run->site->data_centres != dc)
			rank += 1u << 20;
		if (rank < best_rank) {
			best_rank = rank;
			best = e;
		}
	}
	return best;
}

static at_reason_t
choose_ours(run_t *run, job_t *job, uint32_t budget_ms)
{
	at_route_request_t request = {.target = job->request.target,
	    .prompt_tokens = job->request.prompt_tokens,
	    .prefix_hashes = job->request.prefix_hashes,
	    .prefix_count = run->policy->choose == CHOOSE_NO_AFFINITY
				? 0
				: job->request.prefix_count,
	    .deadline_ms = budget_ms};
	at_router_t *router = run->routers[job->router];
	at_reason_t reason =
	    at_router_choose(router, &request, now_ms(run), &job->choice);

	if (reason == AT_REASON_NONE)
		at_router_note_sent(
		    router, &request, &job->choice, now_ms(run));
	return reason;
}

static uint32_t
age_ms(const run_t *run, const job_t *job)
{
	return (uint32_t)((run->now_us - run->start_us - job->arrival->at_us) /
			  US_PER_MS);
}

/* Sends a job; returns non-zero when it has to wait. */
static int
send_job(run_t *run, job_t *job)
{
	uint32_t age = age_ms(run, job);
	uint32_t budget =
	    job->arrival->priority == AT_PRIORITY_OVERNIGHT
		? OVERNIGHT_WAIT_MS
		: (age < FIRST_TOKEN_MS ? FIRST_TOKEN_MS - age : 1);
	fake_engine_t *engine = NULL;

	if (run->policy->choose <= CHOOSE_NO_AFFINITY) {
		if (choose_ours(run, job, budget) != AT_REASON_NONE)
			return 1;
		engine = engine_named(run, &job->choice.engine);
	} else {
		engine = choose_baseline(run, job);
	}
	job->sent_us = run->now_us;
	if (engine != NULL && fake_engine_submit(engine, &job->request) == 0)
		return 0;
	if (run->policy->choose <= CHOOSE_NO_AFFINITY)
		at_router_note_ended(
		    run->routers[job->router], &job->choice, 1, now_ms(run));
	return 1;
}

static void
wait_job(run_t *run, job_t *job)
{
	uint32_t q = job->router * run->target_count + job->arrival->target;

	if (run->queues[q] == NULL)
		run->queues[q] = at_fair_queue_new(QUEUE_MAX);
	job->item.workspace = job->arrival->workspace == 0   ? "w0"
			      : job->arrival->workspace == 1 ? "w1"
			      : job->arrival->workspace == 2 ? "w2"
			      : job->arrival->workspace == 3 ? "w3"
							     : "w4";
	job->item.weight = 1;
	job->item.cost_tokens =
	    job->request.prompt_tokens + job->request.out_tokens;
	job->item.priority = job->arrival->priority;
	job->item.deadline_at_ms =
	    (run->start_us + job->arrival->at_us) / US_PER_MS +
	    (job->arrival->priority == AT_PRIORITY_OVERNIGHT
		    ? SERVE_OVERNIGHT_MS
		    : FIRST_TOKEN_MS);
	job->item.user = job;
	(void)at_fair_queue_push(run->queues[q], &job->item);
}

static void
serve_queues(run_t *run)
{
	uint32_t total = run->router_count * run->target_count;
	at_fair_item_t *item;
	uint32_t q;

	for (q = 0; q < total; q++) {
		at_fair_queue_t *queue = run->queues[q];

		if (queue == NULL || at_fair_queue_count(queue) == 0)
			continue;
		while (
		    (item = at_fair_queue_take_expired(queue, now_ms(run)))) {
			job_t *job = item->user;

			if (job->arrival->priority == AT_PRIORITY_INTERACTIVE)
				run->result.refused++;
			free(job);
		}
		while ((item = at_fair_queue_peek(queue, now_ms(run)))) {
			if (send_job(run, item->user) != 0)
				break;
			(void)at_fair_queue_pop(queue, now_ms(run));
		}
	}
}

static void
on_first_token(void *ctx, fake_request_t *request)
{
	run_t *run = ctx;
	job_t *job = (job_t *)request;

	job->first_us = run->now_us;
	if (run->policy->choose <= CHOOSE_NO_AFFINITY)
		at_router_note_first_token(run->routers[job->router],
		    &job->choice,
		    (uint32_t)((run->now_us - job->sent_us) / US_PER_MS));
}

static void
on_done(void *ctx, fake_request_t *request)
{
	run_t *run = ctx;
	job_t *job = (job_t *)request;
	const serve_arrival_t *a = job->arrival;
	uint64_t first_ms =
	    (job->first_us - run->start_us - a->at_us) / US_PER_MS;
	double token_ms = (double)(run->now_us - job->first_us) / US_PER_MS /
			  request->out_tokens;

	if (run->policy->choose <= CHOOSE_NO_AFFINITY)
		at_router_note_ended(
		    run->routers[job->router], &job->choice, 0, now_ms(run));
	if (a->priority == AT_PRIORITY_OVERNIGHT) {
		run->result.night_done +=
		    age_ms(run, job) <= SERVE_OVERNIGHT_MS;
		run->result.seconds_on_time += serve_seconds(a);
	} else if (first_ms > FIRST_TOKEN_MS) {
		run->result.late_first++;
	} else if (token_ms > TOKEN_MS) {
		run->result.late_token++;
	} else {
		run->result.on_time++;
		run->result.on_time_by[a->workspace]++;
		run->result.seconds_on_time += serve_seconds(a);
	}
	free(job);
}

static void
on_lost(void *ctx, fake_request_t *request)
{
	run_t *run = ctx;
	job_t *job = (job_t *)request;

	if (run->policy->choose <= CHOOSE_NO_AFFINITY)
		at_router_note_ended(
		    run->routers[job->router], &job->choice, 1, now_ms(run));
	if (job->retried++) {
		free(job);
		return;
	}
	if (send_job(run, job) != 0)
		wait_job(run, job);
}

static void
arrive(run_t *run, const serve_arrival_t *a)
{
	job_t *job;
	uint32_t dc = a->router / run->site->routers;

	if (a->over_rate)
		return;
	job = calloc(1, sizeof(*job));
	job->arrival = a;
	job->run = run;
	job->router = a->router;
	job->request.prompt_tokens = a->prompt_tokens;
	job->request.out_tokens = a->out_tokens;
	job->request.prefix_hashes = a->prefix_hashes;
	job->request.prefix_count = SERVE_PREFIX_BLOCKS;
	serve_target(run->site, a->target, job->request.target);
	at_placement_add_demand(run->placements[dc], job->request.target,
	    a->prompt_tokens / 8 + a->out_tokens);
	run->result.seconds_asked += serve_seconds(a);
	if (a->priority == AT_PRIORITY_OVERNIGHT) {
		run->result.night++;
	} else {
		run->result.asked++;
		run->result.asked_by[a->workspace]++;
	}
	if (send_job(run, job) != 0)
		wait_job(run, job);
}

static void
report(run_t *run)
{
	uint32_t r;
	uint32_t e;

	for (r = 0; r < run->router_count; r++) {
		for (e = 0; e < run->engine_count; e++) {
			fake_engine_t *engine = &run->engines[e];

			if (engine->dead) {
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

static void
place(run_t *run)
{
	at_place_engine_t *list =
	    calloc(run->engine_count + 1u, sizeof(at_place_engine_t));
	at_decision_t decisions[DECISIONS];
	uint32_t dc;
	uint32_t e;
	size_t i;

	for (dc = 0; dc < run->site->data_centres; dc++) {
		size_t count = 0;

		for (e = dc; e < run->engine_count;
		     e += run->site->data_centres) {
			fake_engine_t *engine = &run->engines[e];
			at_place_engine_t *p = &list[count];

			if (engine->dead)
				continue;
			p->name = engine->view.name;
			p->accelerators = engine->view.accelerators;
			p->capacity_mb = engine->view.memory_mb;
			p->free_mb =
			    p->capacity_mb - fake_engine_used_mb(engine);
			p->is_usable = 1;
			p->residents = engine->residents;
			p->resident_count = engine->view.resident_count;
			count++;
		}
		count = at_placement_plan(run->placements[dc], now_ms(run),
		    list, count, NULL, 0, decisions, DECISIONS);
		for (i = 0; i < count; i++) {
			at_order_t *order = &decisions[i].order;

			if (run->store.loading >= 2 * run->store.full_speed &&
			    order->kind == AT_ORDER_LOAD_MODEL)
				continue;
			(void)fake_engine_order(
			    engine_named(run, &order->engine), order,
			    run->now_us);
		}
	}
	free(list);
}

/* Gives placement the demand to come and lets its loads finish. */
static void
warm_up(run_t *run, const serve_load_t *load, const fake_events_t *events)
{
	char target[AT_NAME_SIZE];
	size_t next = 0;
	uint32_t s;
	uint32_t e;

	for (s = 0; s < WARM_UP_S; s++) {
		size_t part = load->count / run->site->time_s;

		for (; part > 0 && load->count > 0; part--) {
			const serve_arrival_t *a =
			    &load->arrivals[next++ % load->count];

			serve_target(run->site, a->target, target);
			at_placement_add_demand(
			    run->placements[a->router / run->site->routers],
			    target, a->prompt_tokens / 8 + a->out_tokens);
		}
		run->now_us += ROUND_US;
		for (e = 0; e < run->engine_count; e++)
			fake_engine_tick(
			    &run->engines[e], run->now_us, STEP_US, events);
		place(run);
	}
	report(run);
	run->store.loads = 0;
}

static void
lose(run_t *run, serve_loss_t loss, const fake_events_t *events)
{
	uint32_t e;

	for (e = 0; e < run->engine_count; e += run->site->data_centres) {
		if (!run->engines[e].dead && loss != SERVE_LOSE_NONE)
			fake_engine_die(&run->engines[e], events);
		if (loss == SERVE_LOSE_ENGINE)
			return;
	}
}

static void
run_load(run_t *run, const serve_load_t *load, serve_loss_t loss,
    const fake_events_t *events)
{
	uint64_t start = run->now_us;
	uint64_t end = start + (uint64_t)run->site->time_s * US_PER_S;
	uint64_t half = start + (end - start) / 2;
	size_t next = 0;
	uint32_t e;

	run->start_us = start;
	for (; run->now_us < end + DRAIN_US; run->now_us += STEP_US) {
		uint64_t past = run->now_us - start;

		for (; next < load->count && load->arrivals[next].at_us <= past;
		     next++)
			arrive(run, &load->arrivals[next]);
		for (e = 0; e < run->engine_count; e++)
			fake_engine_tick(
			    &run->engines[e], run->now_us, STEP_US, events);
		if (past % QUEUE_US == 0)
			serve_queues(run);
		if (past % REPORT_US == 0)
			report(run);
		if (run->policy->moves && past % ROUND_US == 0)
			place(run);
		if (run->now_us == half)
			lose(run, loss, events);
	}
	run->result.moves = run->store.loads;
}

static int
run_init(run_t *run)
{
	const serve_site_t *site = run->site;
	uint32_t i;

	run->config = serve_config(site);
	run->engine_count = site->data_centres * site->engines;
	run->router_count = site->data_centres * site->routers;
	run->target_count = site->models + site->adapters;
	run->engines = calloc(run->engine_count, sizeof(*run->engines));
	run->placements = calloc(site->data_centres, sizeof(at_placement_t *));
	run->routers = calloc(run->router_count, sizeof(at_router_t *));
	run->queues = calloc((size_t)run->router_count * run->target_count,
	    sizeof(at_fair_queue_t *));
	run->turns = calloc(run->target_count, sizeof(uint32_t));
	if (run->config == NULL || run->engines == NULL ||
	    run->placements == NULL || run->routers == NULL ||
	    run->queues == NULL || run->turns == NULL)
		return -1;
	for (i = 0; i < run->engine_count; i++) {
		const at_engine_t *e = &run->config->engines[i];

		fake_engine_init(&run->engines[i], e->name.text,
		    &e->data_centre, e->accelerators, e->memory_mb,
		    &run->store);
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
			FAKE_PREFILL_TOKENS_S * site->accelerators,
		    .batch_max = FAKE_BATCH_MAX * site->accelerators,
		    .batch_slot_ms = BATCH_PLACE_MS};

		run->routers[i] = at_router_new(
		    &run->config->data_centres[i / site->routers], i + 1);
		at_router_set_speed(run->routers[i], &speed);
	}
	return 0;
}

static void
run_finish(run_t *run)
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
		fake_engine_finish(&run->engines[i]);
	at_config_delete(run->config);
	free(run->engines);
	free(run->placements);
	free(run->routers);
	free(run->queues);
	free(run->turns);
}

static void
free_job(void *ctx, fake_request_t *request)
{
	(void)ctx;
	free(request);
}

result_t
serve_run(const serve_site_t *site, const policy_t *policy,
    const serve_load_t *load, serve_loss_t loss, uint64_t seed)
{
	run_t run = {.site = site,
	    .policy = policy,
	    .rng = {seed},
	    .store = {.full_speed = site->loads_full_speed,
		.adapters_full_speed = site->adapters_in_flight}};
	const fake_events_t events = {on_first_token, on_done, on_lost, &run};
	const fake_events_t none = {free_job, free_job, free_job, &run};
	uint32_t e;

	if (run_init(&run) == 0) {
		warm_up(&run, load, &events);
		run_load(&run, load, loss, &events);
		for (e = 0; e < run.engine_count; e++)
			fake_engine_die(&run.engines[e], &none);
	}
	run_finish(&run);
	return run.result;
}
