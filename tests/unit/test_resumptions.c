/*
 * Resumed streams while the engines of a service are replaced under load: a
 * replay without sockets. A stream goes on only at an engine of its version, of
 * which fewer and fewer are left.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/wait_queue.h"

#define MS 1000u /* microseconds in a millisecond */
#define STEP_MS 5u
#define REPORT_MS 100u
#define INSTANCES 6u
#define ENGINES 8u
#define SLOTS 8u
#define STREAM_MS 2000u   /* how long a stream takes, without waiting */
#define PATIENCE_MS 2000u /* callers leave without an event for so long */
#define OBJECTIVE_MS 400u
#define RETURN_MS 60u /* from the break until the caller is back */
#define STREAMS_MAX 4096u
#define BEGIN_MS 10000u
#define RELEASE_MS 15000u /* the first engines are taken away */
#define END_MS 21000u

static const at_fleet_secret_t secret = {.bytes = {1}};

typedef enum stream_state {
	STREAM_UNUSED,
	STREAM_QUEUED,
	STREAM_RUNNING,
	STREAM_BROKEN, /* its caller comes back at due_ms */
	STREAM_ENDED
} stream_state_t;

typedef struct stream {
	at_waiter_t waiter;
	stream_state_t state;
	size_t instance;
	size_t engine;
	at_server_t *server;
	uint32_t left_ms;
	uint64_t due_ms;
	uint32_t version; /* that has begun it; 0: none has */
	int is_resumed;
} stream_t;

typedef struct engine {
	at_tag_t tag;
	uint32_t version; /* 0: it is gone */
	uint64_t back_ms; /* when one of the next version takes its place */
} engine_t;

typedef struct plan {
	const char *name;
	uint32_t load_percent; /* of what the engines can run */
	uint32_t together;     /* engines that are replaced at a time */
	uint32_t gap_ms;       /* between two times */
	uint32_t back_ms;      /* until one of the next version serves */
} plan_t;

static const plan_t plans[] = {
    {"one after the other", 150, 1, 600, 1500},
    {"in threes", 150, 3, 1500, 1500},
    {"in threes, twofold load", 200, 3, 1500, 1500},
    {"in threes, threefold load", 300, 3, 1500, 3000},
};

typedef struct world {
	const plan_t *plan;
	at_fleet_t *fleets[INSTANCES];
	at_contention_t *contentions[INSTANCES];
	at_wait_queue_t *queues[INSTANCES];
	engine_t engines[ENGINES];
	stream_t streams[STREAMS_MAX];
	uint64_t now_ms;
	uint64_t arrivals_milli; /* requests that are due, in thousandths */
	uint32_t next_instance;
	uint32_t fresh; /* new requests from the release on */
	uint32_t fresh_begun;
	uint32_t resumed; /* while engines of their version serve */
	uint32_t resumed_begun;
} world_t;

static void
list_engine(world_t *world, size_t engine)
{
	at_server_entry_t entry = {.tag = world->engines[engine].tag,
	    .service = at_tag_from_text("llm"),
	    .software = world->engines[engine].version,
	    .slots = SLOTS,
	    .residents.count = 1};
	size_t i;

	entry.residents.models[0].tag = at_tag_from_text("m");
	for (i = 0; i < INSTANCES; i++)
		(void)at_fleet_update_server(world->fleets[i], &entry);
}

static void
start_engine(world_t *world, size_t engine, uint32_t version)
{
	char name[32];

	(void)snprintf(name, sizeof(name), "e%zu.%u", engine, version);
	world->engines[engine].tag = at_tag_from_text(name);
	world->engines[engine].version = version;
	world->engines[engine].back_ms = 0;
	list_engine(world, engine);
}

static at_site_t *
make_site(void)
{
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);

	llm->tag = at_tag_from_text("llm");
	llm->has_models = 1;
	llm->slots = SLOTS;
	llm->kv_tokens = 1000000;
	return site;
}

static void
place(world_t *world, stream_t *stream, at_server_t *server)
{
	at_tag_t tag = at_server_entry(server)->tag;
	size_t i;

	for (i = 0; i < ENGINES && world->engines[i].tag != tag; i++)
		;
	cr_assert_lt(i, ENGINES);
	at_server_note_sent(server, &stream->waiter.work, world->now_ms * MS);
	at_server_note_first_event(
	    server, &stream->waiter.work, 50 * MS, 50 * MS);
	stream->state = STREAM_RUNNING;
	stream->engine = i;
	stream->server = server;
	stream->due_ms = world->now_ms + stream->left_ms;
	if (stream->version == 0 && world->now_ms >= RELEASE_MS)
		world->fresh_begun++;
	if (stream->is_resumed)
		world->resumed_begun++;
	stream->version = world->engines[i].version;
}

/* A request reaches an instance. */
static void
arrive(world_t *world, stream_t *stream)
{
	at_waiter_t *waiter = &stream->waiter;
	at_admission_decision_t decision;

	stream->instance = world->next_instance++ % INSTANCES;
	*waiter = (at_waiter_t){.work = {.service = at_tag_from_text("llm"),
				    .model = at_tag_from_text("m"),
				    .prompt_tokens = 200,
				    .output_tokens = 100},
	    .priority = 1,
	    .arrived_us = world->now_ms * MS,
	    .objective_us = (world->now_ms + OBJECTIVE_MS) * MS,
	    .deadline_us = (world->now_ms + 15000u) * MS,
	    .first_event_limit_us = (world->now_ms + PATIENCE_MS) * MS};
	waiter->work.software = stream->version;
	waiter->work.is_resumption = stream->version != 0;
	at_wait_queue_decide(world->queues[stream->instance], waiter,
	    world->now_ms * MS, &decision);
	stream->state = STREAM_ENDED;
	if (decision.admission == AT_ADMISSION_PLACED) {
		place(world, stream, decision.choice.server);
	} else if (decision.admission == AT_ADMISSION_QUEUED) {
		at_wait_queue_add(world->queues[stream->instance], waiter);
		stream->state = STREAM_QUEUED;
	}
}

static void
end_run(world_t *world, stream_t *stream, at_server_outcome_t outcome)
{
	at_fleet_note_ended(world->fleets[stream->instance], stream->server,
	    &stream->waiter.work, 1, outcome, world->now_ms * MS);
	stream->state = STREAM_ENDED;
}

static int
serves_version(const world_t *world, uint32_t version)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		if (world->engines[i].version == version)
			return 1;
	}
	return 0;
}

static void
take_away(world_t *world, size_t engine)
{
	at_tag_t tag = world->engines[engine].tag;
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		stream_t *stream = &world->streams[i];

		if (stream->state != STREAM_RUNNING || stream->engine != engine)
			continue;
		end_run(world, stream, AT_OUTCOME_UNKNOWN);
		stream->left_ms = (uint32_t)(stream->due_ms - world->now_ms);
		stream->state = STREAM_BROKEN;
		stream->due_ms = world->now_ms + RETURN_MS;
	}
	for (i = 0; i < INSTANCES; i++)
		at_fleet_remove(world->fleets[i], tag);
	world->engines[engine].version = 0;
	world->engines[engine].back_ms = world->now_ms + world->plan->back_ms;
}

static void
run_engines(world_t *world)
{
	size_t i;

	for (i = 0; i < ENGINES; i++) {
		if (world->now_ms ==
		    RELEASE_MS + (uint64_t)(i / world->plan->together) *
				     world->plan->gap_ms)
			take_away(world, i);
		if (world->engines[i].back_ms != 0 &&
		    world->now_ms >= world->engines[i].back_ms)
			start_engine(world, i, 2);
	}
}

static stream_t *
find_unused(world_t *world)
{
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		if (world->streams[i].state == STREAM_UNUSED ||
		    world->streams[i].state == STREAM_ENDED)
			return &world->streams[i];
	}
	cr_assert_fail("too many streams");
	return NULL;
}

static void
run_callers(world_t *world)
{
	uint64_t per_s = (uint64_t)ENGINES * SLOTS * 1000u / STREAM_MS *
			 world->plan->load_percent / 100u;
	size_t i;

	for (i = 0; i < STREAMS_MAX; i++) {
		stream_t *stream = &world->streams[i];

		if (stream->state == STREAM_RUNNING &&
		    world->now_ms >= stream->due_ms)
			end_run(world, stream, AT_OUTCOME_SUCCESS);
		if (stream->state != STREAM_BROKEN ||
		    world->now_ms < stream->due_ms)
			continue;
		stream->is_resumed = serves_version(world, stream->version);
		world->resumed += (uint32_t)stream->is_resumed;
		arrive(world, stream);
	}
	world->arrivals_milli += per_s * STEP_MS;
	for (; world->arrivals_milli >= 1000u; world->arrivals_milli -= 1000u) {
		stream_t *stream = find_unused(world);

		*stream = (stream_t){.left_ms = STREAM_MS};
		world->fresh += (uint32_t)(world->now_ms >= RELEASE_MS);
		arrive(world, stream);
	}
}

static stream_t *
stream_of(at_waiter_t *waiter)
{
	return (
	    stream_t *)(void *)((char *)waiter - offsetof(stream_t, waiter));
}

static void
run_queue(world_t *world, size_t i)
{
	uint64_t now_us = world->now_ms * MS;
	at_waiter_t *waiter;
	at_choice_t choice;

	while ((waiter = at_wait_queue_take_placeable(
		    world->queues[i], now_us, &choice)) != NULL)
		place(world, stream_of(waiter), choice.server);
	while ((waiter = at_wait_queue_take_expired(
		    world->queues[i], now_us)) != NULL)
		stream_of(waiter)->state = STREAM_ENDED;
}

static void
send_reports(world_t *world)
{
	static at_load_report_t loads[AT_LOAD_REPORTS_MAX];
	static at_queue_report_t queues[AT_QUEUE_REPORTS_MAX];
	uint64_t now_us = world->now_ms * MS;
	size_t i;
	size_t k;

	for (i = 0; i < INSTANCES; i++) {
		size_t load_count = at_fleet_fill_report(
		    world->fleets[i], loads, AT_LOAD_REPORTS_MAX, now_us);
		size_t queue_count = at_wait_queue_fill_report(
		    world->queues[i], queues, AT_QUEUE_REPORTS_MAX, now_us);

		for (k = 0; k < INSTANCES; k++) {
			if (k == i)
				continue;
			at_fleet_apply_report(
			    world->fleets[k], i + 1, loads, load_count, now_us);
			at_contention_apply_report(world->contentions[k], i + 1,
			    queues, queue_count, now_us);
		}
	}
}

static void
run(world_t *world, const plan_t *plan)
{
	at_site_t *site = make_site();
	size_t i;

	*world = (world_t){.plan = plan, .now_ms = BEGIN_MS};
	for (i = 0; i < INSTANCES; i++) {
		world->fleets[i] =
		    at_fleet_new(at_tag_from_text("north"), i + 1);
		at_fleet_set_site(world->fleets[i], site);
		world->contentions[i] = at_contention_new(i + 1);
		world->queues[i] =
		    at_wait_queue_new(world->fleets[i], world->contentions[i]);
	}
	for (i = 0; i < ENGINES; i++)
		start_engine(world, i, 1);
	for (; world->now_ms < END_MS; world->now_ms += STEP_MS) {
		run_engines(world);
		run_callers(world);
		for (i = 0; i < INSTANCES; i++)
			run_queue(world, i);
		if (world->now_ms % REPORT_MS == 0)
			send_reports(world);
	}
	for (i = 0; i < STREAMS_MAX; i++) {
		stream_t *stream = &world->streams[i];

		if (stream->state == STREAM_RUNNING)
			end_run(world, stream, AT_OUTCOME_UNKNOWN);
		if (stream->state == STREAM_QUEUED)
			at_wait_queue_remove(
			    world->queues[stream->instance], &stream->waiter);
	}
	for (i = 0; i < INSTANCES; i++) {
		at_wait_queue_delete(world->queues[i]);
		at_contention_delete(world->contentions[i]);
		at_fleet_delete(world->fleets[i]);
	}
	at_site_unref(site);
}

/* Guards against streams that end because new requests take their engines. */
Test(resumptions, go_on_at_least_as_often_as_new_requests_begin)
{
	static world_t world;
	size_t i;

	for (i = 0; i < sizeof(plans) / sizeof(plans[0]); i++) {
		run(&world, &plans[i]);
		cr_log_info("%s: resumed %u of %u, begun %u of %u\n",
		    plans[i].name, world.resumed_begun, world.resumed,
		    world.fresh_begun, world.fresh);
		cr_expect_gt(world.resumed, 20u, "%s", plans[i].name);
		/* They go first: most of them go on, whatever the load. */
		cr_expect_geq(4u * world.resumed_begun, 3u * world.resumed,
		    "%s: resumed %u of %u", plans[i].name, world.resumed_begun,
		    world.resumed);
		cr_expect_geq((uint64_t)world.resumed_begun * world.fresh,
		    (uint64_t)world.fresh_begun * world.resumed,
		    "%s: resumed %u of %u, begun %u of %u", plans[i].name,
		    world.resumed_begun, world.resumed, world.fresh_begun,
		    world.fresh);
	}
}
