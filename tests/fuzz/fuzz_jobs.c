/*
 * Durable jobs on several instances over one object API that delays, loses
 * and refuses: what was accepted ends, and what was refused never runs.
 *
 * Input bytes choose the operations; when they end, numbers seeded by them
 * go on, so that each run has OPERATIONS of them.
 * check-args: -seed=1 -runs=4000 -max_len=512 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/jobs.h"
#include "fuzz/operations.h"
#include "support/faulty_store.h"

#define OPERATIONS 256
#define INSTANCES 3
#define IDS 8
#define WAIT_MS 1000u
#define RETENTION_S 100000u
#define ROUNDS 3000 /* of the fault-free end */
#define ROUND_MS 200u
#define QUIET_ROUNDS 240 /* every lease is taken and every job run */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* What callers were told of one id, and what became of it. */
typedef struct truth {
	int open; /* submissions that may yet be accepted */
	int accepted;
} truth_t;

typedef struct instance {
	at_jobs_t *jobs;
	uint64_t offset_ms;
	int paused;
	int running[IDS];
	int open[IDS]; /* submissions */
} instance_t;

typedef struct submission {
	int used;
	int instance;
	int id;
} submission_t;

static uint64_t now_ms;
static uint64_t lives;
static faulty_store_t *store;
static instance_t instances[INSTANCES];
static truth_t truths[IDS];
static submission_t submissions[64];

static operations_t input;

static unsigned
draw(unsigned bound)
{
	return operations_draw(&input, bound);
}

static uint64_t
instance_now(void *impl)
{
	return now_ms + ((const instance_t *)impl)->offset_ms;
}

static uint64_t
wall_now(void *impl)
{
	(void)impl;
	return now_ms;
}

static at_claim_hash_t
hash_of(int id)
{
	at_claim_hash_t hash = {{0}};

	hash.bytes[0] = (uint8_t)(id % 2); /* two shards */
	hash.bytes[1] = (uint8_t)id;
	return hash;
}

static void
on_run(void *ctx, const at_claim_hash_t *hash, const at_job_record_t *record)
{
	instance_t *i = ctx;
	int id = hash->bytes[1];

	CHECK(record->state == AT_JOB_QUEUED);
	CHECK(record->len == sizeof(id) && memcmp(record->data, &id, 4) == 0);
	/* What was refused, and by nobody accepted, never runs. */
	CHECK(truths[id].open + truths[id].accepted > 0);
	i->running[id] = 1;
}

static void
on_submitted(void *ctx, at_job_outcome_t outcome)
{
	submission_t *s = ctx;
	truth_t *t = &truths[s->id];

	CHECK(s->used);
	s->used = 0;
	instances[s->instance].open[s->id]--;
	if (outcome == AT_JOB_UNKNOWN)
		return; /* it may run: stays open */
	t->open--;
	CHECK(outcome != AT_JOB_MISMATCH);
	if (outcome == AT_JOB_ACCEPTED)
		t->accepted = 1;
}

static void
start_instance(int n)
{
	instance_t *i = &instances[n];
	const at_store_t port = faulty_store_port(store, (unsigned)n);
	const at_clock_t clock = {instance_now, i};
	const at_clock_t wall = {wall_now, NULL};
	const at_incarnation_t self = {.number = ++lives};
	uint32_t s;

	memset(i, 0, sizeof(*i));
	i->offset_ms = draw(200) * 1000u;
	i->jobs = at_jobs_new();
	at_jobs_set_store(i->jobs, &port);
	at_jobs_set_clocks(i->jobs, &clock, &wall);
	at_jobs_set_self(i->jobs, &self);
	at_jobs_set_run(i->jobs, on_run, i);
	at_jobs_set_retention(i->jobs, RETENTION_S);
	for (s = 0; s < AT_JOB_SHARDS; s++)
		at_jobs_set_candidate(i->jobs, s, 1);
}

static void
kill_instance(int n)
{
	size_t i;

	faulty_store_forget(store, (unsigned)n);
	for (i = 0; i < 64; i++) {
		if (submissions[i].used && submissions[i].instance == n)
			submissions[i].used = 0; /* its truth stays open */
	}
	at_jobs_delete(instances[n].jobs);
	instances[n].jobs = NULL;
}

static void
submit(int n, int id)
{
	at_claim_hash_t hash = hash_of(id);
	submission_t *s = NULL;
	size_t i;

	for (i = 0; i < 64 && s == NULL; i++) {
		if (!submissions[i].used)
			s = &submissions[i];
	}
	if (s == NULL || instances[n].paused)
		return;
	s->used = 1;
	s->instance = n;
	s->id = id;
	truths[id].open++;
	instances[n].open[id]++;
	(void)at_jobs_submit(instances[n].jobs, &hash, &hash, &id, sizeof(id),
	    now_ms + 1000u * (unsigned)id, WAIT_MS, on_submitted, s);
}

static void
end_run(int n, int id, unsigned how)
{
	at_claim_hash_t hash = hash_of(id);

	if (!instances[n].running[id] || instances[n].paused)
		return;
	instances[n].running[id] = 0;
	if (how == 0)
		at_jobs_retry(instances[n].jobs, &hash);
	else
		at_jobs_finish(
		    instances[n].jobs, &hash, AT_JOB_DONE, &id, sizeof(id));
}

static void
tick(void)
{
	int n;

	for (n = 0; n < INSTANCES; n++) {
		if (!instances[n].paused)
			at_jobs_tick(instances[n].jobs);
	}
}

static void
step(void)
{
	static const uint64_t steps_ms[] = {1, 20, 100, 700, 2500, 7000, 9000};
	unsigned what = draw(32);
	unsigned start;
	int n = (int)draw(INSTANCES);

	if (what < 6) {
		submit(n, (int)draw(IDS));
	} else if (what < 14) {
		start = draw(FAULTY_CALLS);
		faulty_store_handle(
		    store, start, (faulty_fate_t)draw(FAULTY_FATES));
	} else if (what < 18) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
	} else if (what < 22) {
		end_run(n, (int)draw(IDS), draw(3));
	} else if (what < 28) {
		now_ms += steps_ms[draw(7)];
		tick();
	} else if (what == 28) {
		kill_instance(n);
		start_instance(n);
	} else if (what == 29) {
		faulty_store_set_outage(store, draw(3) == 0);
	} else if (what == 30) {
		instances[n].paused = !instances[n].paused;
		faulty_store_set_paused(
		    store, (unsigned)n, instances[n].paused);
	} else if (draw(8) == 0) {
		for (n = 0; n < INSTANCES; n++) {
			kill_instance(n);
			start_instance(n);
		}
	}
}

/* Returns the state of a job's record, or -1 without one. */
static int
stored_state(int id)
{
	at_claim_hash_t hash = hash_of(id);
	char name[AT_JOB_OBJECT_SIZE];
	const faulty_object_t *objects;
	at_job_record_t record;
	size_t count;
	size_t i;

	at_job_object_name(&hash, name);
	objects = faulty_store_objects(store, &count);
	for (i = 0; i < count; i++) {
		if (strcmp(objects[i].name, name) == 0 &&
		    objects[i].version != 0) {
			CHECK(at_job_unpack(&record, objects[i].value,
				  objects[i].len) == 0);
			return (int)record.state;
		}
	}
	return -1;
}

static int
all_ended(void)
{
	int id;

	for (id = 0; id < IDS; id++) {
		if (truths[id].accepted && stored_state(id) != AT_JOB_DONE)
			return 0;
	}
	return 1;
}

static int
all_swept(void)
{
	int id;

	for (id = 0; id < IDS; id++) {
		if (stored_state(id) == AT_JOB_DONE)
			return 0;
	}
	return 1;
}

/* Runs without faults until met, for a while at least. */
static void
work_until(int (*met)(void))
{
	int round;
	int n;
	int id;

	for (round = 0; round < ROUNDS; round++) {
		for (n = 0; n < INSTANCES; n++) {
			for (id = 0; id < IDS; id++)
				end_run(n, id, 1);
		}
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		now_ms += ROUND_MS;
		tick();
		if (round >= QUIET_ROUNDS && met())
			return;
	}
	CHECK(met());
}

/* Without faults everything that was accepted ends; old ends go away. */
static void
finish(void)
{
	size_t i;
	int n;

	faulty_store_set_outage(store, 0);
	for (n = 0; n < INSTANCES; n++) {
		instances[n].paused = 0;
		faulty_store_set_paused(store, (unsigned)n, 0);
	}
	work_until(all_ended);
	for (i = 0; i < 64; i++)
		CHECK(!submissions[i].used);
	for (n = 0; n < INSTANCES; n++)
		CHECK(at_jobs_stats(instances[n].jobs)->malformed == 0);
	now_ms += RETENTION_S * 2000u;
	work_until(all_swept);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int i;

	input = operations_of(data, size);
	lives = 0;
	now_ms = 1000000;
	store = faulty_store_new();
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	for (i = 0; i < OPERATIONS || input.size > 0; i++)
		step();
	finish();
	for (i = 0; i < INSTANCES; i++)
		kill_instance(i);
	faulty_store_delete(store);
	memset(truths, 0, sizeof(truths));
	memset(submissions, 0, sizeof(submissions));
	return 0;
}
