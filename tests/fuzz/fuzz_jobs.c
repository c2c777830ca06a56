/*
 * Durable jobs on several instances over one object API that delays, loses and
 * refuses calls: an accepted job ends, and a refused job never runs.
 *
 * Input bytes choose the operations, then a generator seeded with them does,
 * so that each run has at least OPERATIONS operations.
 * check-args: -seed=1 -runs=4000 -max_len=512 -len_control=0
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/jobs.h"
#include "core/jobs/jobs_internal.h"
#include "fuzz/operations.h"
#include "support/faulty_store.h"

#define OPERATIONS 256
#define INSTANCES 3
#define IDS 8
#define WAIT_MS 1000u
#define RETENTION_S 100000u
#define ROUNDS_MAX 3000 /* rounds without faults at the end of a run */
#define ROUND_MS 200u
#define ROUNDS_MIN 240 /* in which all leases are taken and all jobs run */

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

/* Submissions of one job. */
typedef struct id_state {
	int open; /* without an outcome, or with an unknown one */
	int accepted;
} id_state_t;

typedef struct instance {
	at_jobs_t *jobs;
	uint64_t offset_ms;
	int is_paused;
	int running[IDS];
	int open[IDS]; /* submissions */
} instance_t;

typedef struct submission {
	int used;
	int instance;
	int id;
} submission_t;

static uint64_t now_ms;
static uint64_t incarnations;
static faulty_store_t *store;
static instance_t instances[INSTANCES];
static id_state_t id_states[IDS];
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
job_hash(int id)
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
	/* A job whose submissions were all refused never runs. */
	CHECK(id_states[id].open + id_states[id].accepted > 0);
	i->running[id] = 1;
}

static void
on_submitted(void *ctx, at_job_outcome_t outcome)
{
	submission_t *s = ctx;
	id_state_t *state = &id_states[s->id];

	CHECK(s->used);
	s->used = 0;
	instances[s->instance].open[s->id]--;
	if (outcome == AT_JOB_UNKNOWN)
		return; /* the job may still run */
	state->open--;
	CHECK(outcome != AT_JOB_MISMATCH);
	if (outcome == AT_JOB_ACCEPTED)
		state->accepted = 1;
}

static void
start_instance(int n)
{
	instance_t *i = &instances[n];
	const at_store_t port = faulty_store_port(store, (unsigned)n);
	const at_clock_t clock = {instance_now, i};
	const at_clock_t wall = {wall_now, NULL};
	const at_incarnation_t self = {.number = ++incarnations};
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
stop_instance(int n)
{
	size_t i;

	faulty_store_remove_client(store, (unsigned)n);
	for (i = 0; i < 64; i++) {
		if (submissions[i].used && submissions[i].instance == n)
			submissions[i].used = 0; /* the job may still run */
	}
	at_jobs_delete(instances[n].jobs);
	instances[n].jobs = NULL;
}

static void
submit(int n, int id)
{
	at_claim_hash_t hash = job_hash(id);
	submission_t *s = NULL;
	size_t i;

	for (i = 0; i < 64 && s == NULL; i++) {
		if (!submissions[i].used)
			s = &submissions[i];
	}
	if (s == NULL || instances[n].is_paused)
		return;
	s->used = 1;
	s->instance = n;
	s->id = id;
	id_states[id].open++;
	instances[n].open[id]++;
	(void)at_jobs_submit(instances[n].jobs, &hash, &hash, &id, sizeof(id),
	    now_ms + 1000u * (unsigned)id, WAIT_MS, on_submitted, s);
}

static void
end_run(int n, int id, unsigned choice)
{
	at_claim_hash_t hash = job_hash(id);

	if (!instances[n].running[id] || instances[n].is_paused)
		return;
	instances[n].running[id] = 0;
	if (choice == 0)
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
		if (!instances[n].is_paused)
			at_jobs_tick(instances[n].jobs);
	}
}

static void
step(void)
{
	static const uint64_t steps_ms[] = {1, 20, 100, 700, 2500, 7000, 9000};
	unsigned choice = draw(32);
	unsigned start;
	int n = (int)draw(INSTANCES);

	if (choice < 6) {
		submit(n, (int)draw(IDS));
	} else if (choice < 14) {
		start = draw(FAULTY_CALLS_MAX);
		faulty_store_handle(
		    store, start, (faulty_outcome_t)draw(FAULTY_OUTCOME_COUNT));
	} else if (choice < 18) {
		faulty_store_handle_all(store, FAULTY_DONE, 0);
	} else if (choice < 22) {
		end_run(n, (int)draw(IDS), draw(3));
	} else if (choice < 28) {
		now_ms += steps_ms[draw(7)];
		tick();
	} else if (choice == 28) {
		stop_instance(n);
		start_instance(n);
	} else if (choice == 29) {
		faulty_store_set_outage(store, draw(3) == 0);
	} else if (choice == 30) {
		instances[n].is_paused = !instances[n].is_paused;
		faulty_store_set_paused(
		    store, (unsigned)n, instances[n].is_paused);
	} else if (draw(8) == 0) {
		for (n = 0; n < INSTANCES; n++) {
			stop_instance(n);
			start_instance(n);
		}
	}
}

/* Returns an object of the store, or NULL if it does not exist. */
static const faulty_object_t *
find_object(const char *name)
{
	size_t count;
	const faulty_object_t *objects = faulty_store_objects(store, &count);
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(objects[i].name, name) == 0)
			return objects[i].version == 0 ? NULL : &objects[i];
	}
	return NULL;
}

/* Returns the state of a job's record, or -1 without one. */
static int
stored_state(int id)
{
	at_claim_hash_t hash = job_hash(id);
	char name[AT_JOB_OBJECT_SIZE];
	const faulty_object_t *object;
	at_job_record_t record;

	at_job_object_name(&hash, name);
	object = find_object(name);
	if (object == NULL)
		return -1;
	CHECK(at_job_unpack(&record, object->value, object->len) == 0);
	return (int)record.state;
}

/*
 * Before any record expires, an index marks a job as ended only once the end is
 * in its record.
 */
static void
check_marks(void)
{
	static const char *const shards[] = {"jobs/00", "jobs/01"};
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(shards) / sizeof(shards[0]); i++) {
		const faulty_object_t *object = find_object(shards[i]);
		job_index_t index;

		if (object == NULL)
			continue;
		CHECK(
		    job_index_decode(&index, object->value, object->len) == 0);
		for (k = 0; k < index.count; k++)
			CHECK(index.entries[k].done_ms == 0 ||
			      stored_state(index.entries[k].id.bytes[1]) ==
				  AT_JOB_DONE);
		job_index_free(&index);
	}
}

static int
is_every_job_ended(void)
{
	int id;

	for (id = 0; id < IDS; id++) {
		if (id_states[id].accepted && stored_state(id) != AT_JOB_DONE)
			return 0;
	}
	return 1;
}

static int
is_every_record_deleted(void)
{
	int id;

	for (id = 0; id < IDS; id++) {
		if (stored_state(id) == AT_JOB_DONE)
			return 0;
	}
	return 1;
}

/* Runs without faults, at least ROUNDS_MIN, until a condition is met. */
static void
run_until(int (*condition)(void))
{
	int round;
	int n;
	int id;

	for (round = 0; round < ROUNDS_MAX; round++) {
		for (n = 0; n < INSTANCES; n++) {
			for (id = 0; id < IDS; id++)
				end_run(n, id, 1);
		}
		faulty_store_handle_all(store, FAULTY_DONE, 0);
		/* One put without a client takes effect, if there is any. */
		faulty_store_handle(store, (unsigned)round, FAULTY_DONE);
		now_ms += ROUND_MS;
		tick();
		if (round >= ROUNDS_MIN && condition())
			return;
	}
	CHECK(condition());
}

/* Without faults every accepted job ends and expired records are deleted. */
static void
finish(void)
{
	size_t i;
	int n;

	faulty_store_set_outage(store, 0);
	for (n = 0; n < INSTANCES; n++) {
		instances[n].is_paused = 0;
		faulty_store_set_paused(store, (unsigned)n, 0);
	}
	run_until(is_every_job_ended);
	check_marks();
	for (i = 0; i < 64; i++)
		CHECK(!submissions[i].used);
	for (n = 0; n < INSTANCES; n++)
		CHECK(at_jobs_stats(instances[n].jobs)->malformed == 0);
	now_ms += RETENTION_S * 2000u;
	run_until(is_every_record_deleted);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	int i;

	input = operations_of(data, size);
	incarnations = 0;
	now_ms = 1000000;
	store = faulty_store_new();
	for (i = 0; i < INSTANCES; i++)
		start_instance(i);
	for (i = 0; i < OPERATIONS || input.size > 0; i++) {
		step();
		check_marks();
	}
	finish();
	for (i = 0; i < INSTANCES; i++)
		stop_instance(i);
	faulty_store_delete(store);
	memset(id_states, 0, sizeof(id_states));
	memset(submissions, 0, sizeof(submissions));
	return 0;
}
