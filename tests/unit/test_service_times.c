/*
 * Tests of the estimates of how fast backend servers are. Streams are replayed
 * at engines of different speed, seen by many instances that each see a few.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/service_times.h"

#define MS 1000u
#define S 1000000u
#define ENGINES 9u
#define INSTANCES 12u
#define STREAMS 40u /* running at the same time */
#define EVENTS 36u  /* of one stream */
#define REPORT_MS 100u
#define NOISE_MS 600u
#define NOISE_PERCENT 15u

static const at_tag_t service = 7;

typedef struct stream {
	uint32_t engine;
	uint32_t instance;
	uint32_t model;
	uint32_t events;
	uint64_t begin_us;
	uint64_t next_us;
	at_event_gaps_t gaps;
} stream_t;

typedef struct world {
	at_service_times_t *times[INSTANCES];
	at_speed_t *speeds[INSTANCES][ENGINES];
	stream_t streams[STREAMS];
	const uint32_t *factors; /* of the engines, in percent */
	int has_noise;
	uint32_t stuck;  /* engine that is slow from 6 to 10 s */
	uint32_t unused; /* engine without requests from 3 s on */
	uint64_t state;  /* of the random numbers */
	uint64_t reported_ms;
} world_t;

static uint32_t
draw(world_t *world, uint32_t below)
{
	world->state =
	    world->state * 6364136223846793005u + 1442695040888963407u;
	return (uint32_t)((world->state >> 33) % below);
}

/* Spells of noise follow from the engine and the time alone. */
static int
is_noisy(const world_t *world, uint32_t engine, uint64_t now_us)
{
	uint64_t spell = now_us / (NOISE_MS * MS) * 31u + engine * 101u;

	spell = (spell + 1u) * 0x9e3779b97f4a7c15u;
	return world->has_noise && (spell >> 33) % 100u < NOISE_PERCENT;
}

/* Two models; the larger one takes twice as long. */
static uint64_t
gap_us(world_t *world, const stream_t *stream, uint64_t now_us)
{
	uint64_t us = stream->model == 0 ? 20u * MS : 40u * MS;

	/* Another prompt is read in one gap of five. */
	if (draw(world, 5) == 0)
		us += 40u * MS;
	us = us * world->factors[stream->engine] / 100u;
	if (is_noisy(world, stream->engine, now_us))
		us = us * 5u / 2u;
	if (stream->engine == world->stuck && now_us >= 6u * S &&
	    now_us < 10u * S)
		us *= 5u;
	return us;
}

static void
begin_stream(world_t *world, stream_t *stream, uint64_t now_us)
{
	memset(stream, 0, sizeof(*stream));
	stream->instance = draw(world, INSTANCES);
	stream->model = draw(world, 2);
	do
		stream->engine = draw(world, ENGINES);
	while (stream->engine == world->unused && now_us >= 3u * S);
	stream->begin_us = now_us;
	stream->next_us = now_us + gap_us(world, stream, now_us);
}

static void
make_event(world_t *world, stream_t *stream)
{
	at_speed_t *speed = world->speeds[stream->instance][stream->engine];
	uint64_t now_us = stream->next_us;
	uint32_t usual_us = 0;
	uint32_t count = at_event_gaps_add(&stream->gaps, now_us, &usual_us);

	at_speed_note_events(
	    speed, stream->model + 1u, count, usual_us, now_us);
	if (++stream->events < EVENTS) {
		stream->next_us = now_us + gap_us(world, stream, now_us);
		return;
	}
	at_speed_note_stream(speed, stream->model + 1u, EVENTS * 8u,
	    now_us - stream->begin_us, now_us);
	begin_stream(world, stream, now_us);
}

static void
exchange_reports(world_t *world, uint64_t now_us)
{
	uint32_t from;
	uint32_t to;
	uint32_t e;

	for (from = 0; from < INSTANCES; from++) {
		for (e = 0; e < ENGINES; e++) {
			uint32_t report =
			    at_speed_report(world->speeds[from][e], now_us);

			for (to = 0; to < INSTANCES; to++) {
				if (to != from)
					at_speed_apply(world->speeds[to][e],
					    from + 1u, report, now_us);
			}
		}
	}
}

static void
make_world(world_t *world, const uint32_t *factors, int has_noise)
{
	uint32_t i;
	uint32_t e;

	memset(world, 0, sizeof(*world));
	world->factors = factors;
	world->has_noise = has_noise;
	world->stuck = ENGINES;
	world->unused = ENGINES;
	for (i = 0; i < INSTANCES; i++) {
		world->times[i] = at_service_times_new();
		for (e = 0; e < ENGINES; e++)
			world->speeds[i][e] = at_service_times_add(
			    world->times[i], service, e + 1);
	}
	for (i = 0; i < STREAMS; i++)
		begin_stream(world, &world->streams[i], i * 10u * MS);
}

static void
run_until(world_t *world, uint64_t end_ms)
{
	size_t i;

	for (; world->reported_ms < end_ms; world->reported_ms += REPORT_MS) {
		uint64_t now_us = world->reported_ms * MS;

		for (i = 0; i < STREAMS; i++) {
			while (world->streams[i].next_us <= now_us)
				make_event(world, &world->streams[i]);
		}
		exchange_reports(world, now_us);
	}
}

static void
delete_world(world_t *world)
{
	uint32_t i;

	for (i = 0; i < INSTANCES; i++)
		at_service_times_delete(world->times[i]);
}

static uint32_t
factor(world_t *world, uint32_t instance, uint32_t engine, uint64_t now_ms)
{
	return at_speed_factor_milli(
	    world->speeds[instance][engine], now_ms * MS);
}

static const struct {
	const char *name;
	uint32_t factors[ENGINES]; /* in percent */
	int has_noise;
	/* Bounds of the mean estimate, in thousandths. */
	uint32_t fast_min;
	uint32_t fast_max;
	uint32_t slow_min;
	uint32_t slow_max;
} loads[] = {
    {"all engines equal", {100, 100, 100, 100, 100, 100, 100, 100, 100}, 0, 990,
	1010, 990, 1010},
    {"a third is slower", {70, 70, 170, 70, 70, 170, 70, 70, 170}, 0, 630, 740,
	1500, 1750},
    {"the same with noise", {70, 70, 170, 70, 70, 170, 70, 70, 170}, 1, 600,
	800, 1350, 1900},
};

/*
 * Guards against engines that are taken for equal though some are slower, and
 * against equal ones that are taken for different. Every instance knows it,
 * whatever it has seen itself.
 */
Test(service_times, learns_which_engines_are_slow)
{
	size_t c;

	for (c = 0; c < sizeof(loads) / sizeof(loads[0]); c++) {
		uint64_t fast = 0;
		uint64_t slow = 0;
		uint64_t samples = 0;
		uint64_t now_ms;
		world_t world;
		uint32_t i;

		make_world(&world, loads[c].factors, loads[c].has_noise);
		for (now_ms = 5000; now_ms < 10000; now_ms += 250) {
			run_until(&world, now_ms);
			for (i = 0; i < INSTANCES; i++) {
				fast += factor(&world, i, 0, now_ms);
				slow += factor(&world, i, 2, now_ms);
				samples++;
			}
		}
		cr_expect(fast >= loads[c].fast_min * samples &&
			      fast <= loads[c].fast_max * samples,
		    "%s: fast engine %u", loads[c].name,
		    (unsigned)(fast / samples));
		cr_expect(slow >= loads[c].slow_min * samples &&
			      slow <= loads[c].slow_max * samples,
		    "%s: slow engine %u", loads[c].name,
		    (unsigned)(slow / samples));
		delete_world(&world);
	}
}

/* Guards against a change of speed that is noticed late, or never forgotten. */
Test(service_times, follows_an_engine_that_is_slow_for_seconds)
{
	static const uint32_t equal[ENGINES] = {
	    100, 100, 100, 100, 100, 100, 100, 100, 100};
	world_t world;

	make_world(&world, equal, 0);
	world.stuck = 4;
	run_until(&world, 5900);
	cr_expect_eq(factor(&world, 0, 4, 5900), 1000);
	run_until(&world, 7000);
	cr_expect_gt(factor(&world, 0, 4, 7000), 2000, "after 1 s: %u",
	    (unsigned)factor(&world, 0, 4, 7000));
	cr_expect_lt(factor(&world, 0, 3, 7000), 1200);
	run_until(&world, 12000);
	cr_expect_lt(factor(&world, 0, 4, 12000), 1600, "2 s after its end: %u",
	    (unsigned)factor(&world, 0, 4, 12000));
	delete_world(&world);
}

/* Guards against a slow engine that is avoided for ever. */
Test(service_times, forgets_an_engine_without_observations)
{
	world_t world;

	make_world(&world, loads[1].factors, 0);
	world.unused = 2;
	run_until(&world, 6000);
	cr_expect_gt(factor(&world, 0, 2, 6000), 1400);
	run_until(&world, 150000);
	cr_expect_lt(factor(&world, 0, 2, 150000), 1200, "%u",
	    (unsigned)factor(&world, 0, 2, 150000));
	delete_world(&world);
}

/* Guards against one estimate for models that differ in size. */
Test(service_times, gets_times_by_model_and_server)
{
	at_service_time_t small;
	at_service_time_t large;
	at_service_time_t slow;
	at_service_time_t none;
	world_t world;

	make_world(&world, loads[1].factors, 0);
	at_service_times_get(world.times[0], service, 0, 1, 0, &none);
	cr_expect_eq(none.age_us, AT_SERVICE_TIME_NO_AGE);
	cr_expect_eq(none.event_us, 0);
	run_until(&world, 10000);
	at_service_times_get(world.times[0], service, 0, 1, 10 * S, &small);
	at_service_times_get(world.times[0], service, 0, 2, 10 * S, &large);
	at_service_times_get(world.times[0], service, 3, 1, 10 * S, &slow);
	cr_expect(small.event_us > 17u * MS && small.event_us < 26u * MS,
	    "%u us", (unsigned)small.event_us);
	cr_expect(large.event_us > 34u * MS && large.event_us < 50u * MS,
	    "%u us", (unsigned)large.event_us);
	cr_expect_gt(slow.event_us, small.event_us * 14u / 10u);
	cr_expect(small.token_us > 2500 && small.token_us < 5500, "%u us",
	    (unsigned)small.token_us);
	cr_expect_lt(small.error_percent, none.error_percent);
	cr_expect_lt(small.age_us, 5u * S);
	delete_world(&world);
}

static const struct {
	const char *name;
	uint32_t gaps_ms[AT_EVENT_GAPS]; /* 0: no more */
	uint32_t usual_ms;
} gap_cases[] = {
    {"equal", {40, 40, 40, 40, 40, 40}, 40},
    {"two prompts are read", {40, 150, 40, 40, 200, 40}, 40},
    {"an event is delivered with the next", {40, 40, 80, 0, 40, 40}, 40},
    {"slow: after three gaps", {200, 200, 200, 0, 0, 0}, 200},
};

/* Guards against prompts of other requests that count as a slow server. */
Test(service_times, usual_gap_is_without_pauses)
{
	size_t c;
	size_t i;

	for (c = 0; c < sizeof(gap_cases) / sizeof(gap_cases[0]); c++) {
		at_event_gaps_t gaps = {0};
		uint64_t now_us = 5;
		uint32_t usual_us = 0;

		(void)at_event_gaps_add(&gaps, now_us, &usual_us);
		for (i = 0; i < AT_EVENT_GAPS && usual_us == 0; i++) {
			now_us += (uint64_t)gap_cases[c].gaps_ms[i] * MS;
			(void)at_event_gaps_add(&gaps, now_us, &usual_us);
		}
		cr_expect_eq(usual_us, gap_cases[c].usual_ms * MS, "%s: %u us",
		    gap_cases[c].name, (unsigned)usual_us);
	}
}

static int
is_member(void *ctx, at_tag_t instance)
{
	(void)ctx;
	return instance != 99;
}

/* Guards against a summary that counts an instance of another data centre. */
Test(service_times, sums_the_observations_of_members)
{
	at_service_times_t *times = at_service_times_new();
	at_speed_t *speed = at_service_times_add(times, service, 1);
	at_speed_t *other = at_service_times_add(times, service, 2);
	uint32_t sum;
	uint32_t i;

	cr_assert_eq(at_speed_report(speed, 1), 0);
	for (i = 0; i < 20; i++) {
		at_speed_note_events(speed, 1, 5, 40u * MS, i * 100u * MS);
		at_speed_note_events(other, 1, 5, 80u * MS, i * 100u * MS);
	}
	sum = at_speed_sum(speed, is_member, NULL, 2u * S);
	cr_assert_eq(sum, at_speed_report(speed, 2u * S));
	at_speed_apply(speed, 99, at_speed_report(other, 2u * S), 2u * S);
	cr_assert_eq(at_speed_sum(speed, is_member, NULL, 2u * S), sum);
	at_speed_apply(speed, 98, at_speed_report(other, 2u * S), 2u * S);
	cr_assert_neq(at_speed_sum(speed, is_member, NULL, 2u * S), sum);
	cr_assert_eq(at_speed_report(speed, 3u * S), 0, "reported for ever");
	at_service_times_delete(times);
}
