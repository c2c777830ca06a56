/* Which parts are blocked after a sequence of crashes and beginnings. */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/crash_causes.h"

#define US_PER_MS 1000u
#define STEPS_MAX 24u
#define EXPECTED_MAX 6u
#define SETTLE_MS 400u /* from the last step to the check */

/* Parts of prompts. */
#define COMMON 0x1u /* the first one of most prompts */
#define BAD 0xbadu
#define SUBJECT 0x2u

typedef enum op {
	OP_END,
	OP_CRASH, /* of a server, with one request beginning there */
	OP_BEGUN, /* a request has begun and gone on */
	OP_LIFT   /* of the part request */
} op_t;

typedef struct step {
	op_t op;
	uint32_t at_ms;
	uint64_t server;
	uint64_t request;
	uint64_t parts[3]; /* ends with 0 */
} step_t;

typedef struct expected {
	uint64_t part; /* 0: end */
	at_cause_state_t state;
} expected_t;

static const struct {
	const char *name;
	step_t steps[STEPS_MAX];
	expected_t expected[EXPECTED_MAX];
} cases[] = {
    {"one crash", {{OP_CRASH, 1000, 1, 101, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_CLEAR}}},
    {"two crashes, no part is known to have begun",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_SUSPECT}}},
    {"three crashes, the first part has begun before",
	{{OP_BEGUN, 900, 0, 100, {COMMON, SUBJECT}},
	    {OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_BLOCKED}}},
    {"three crashes, no part is known to have begun",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_BLOCKED}}},
    {"beside one crash of another cause",
	{{OP_CRASH, 900, 9, 109, {COMMON, SUBJECT}},
	    {OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR},
	    {BAD, AT_CAUSE_BLOCKED}}},
    {"sound requests were beginning there, too",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1000, 1, 201, {COMMON, SUBJECT}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 202, {COMMON, SUBJECT}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}},
	    {OP_BEGUN, 1500, 0, 203, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR},
	    {BAD, AT_CAUSE_BLOCKED}}},
    {"one request is sent again and again",
	{{OP_CRASH, 1000, 1, 101, {COMMON, SUBJECT}},
	    {OP_CRASH, 1200, 2, 101, {COMMON, SUBJECT}},
	    {OP_CRASH, 1400, 3, 101, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR},
	    {101, AT_CAUSE_BLOCKED}}},
    {"each request is sent to two servers",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1100, 2, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 3, 102, {COMMON, BAD}},
	    {OP_CRASH, 1300, 4, 102, {COMMON, BAD}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_BLOCKED},
	    {101, AT_CAUSE_CLEAR}, {102, AT_CAUSE_CLEAR}}},
    {"a plain service has no parts",
	{{OP_CRASH, 1000, 1, 101, {0}}, {OP_CRASH, 1200, 2, 101, {0}},
	    {OP_CRASH, 1400, 3, 101, {0}}},
	{{101, AT_CAUSE_BLOCKED}}},
    {"different requests of a plain service",
	{{OP_CRASH, 1000, 1, 101, {0}}, {OP_CRASH, 1200, 2, 102, {0}},
	    {OP_CRASH, 1400, 3, 103, {0}}},
	{{101, AT_CAUSE_CLEAR}, {102, AT_CAUSE_CLEAR}, {103, AT_CAUSE_CLEAR}}},
    {"the part is the first of the prompt",
	{{OP_CRASH, 1000, 1, 101, {BAD, SUBJECT}},
	    {OP_CRASH, 1200, 2, 102, {BAD, 0x3}},
	    {OP_CRASH, 1400, 3, 103, {BAD, 0x4}}},
	{{BAD, AT_CAUSE_BLOCKED}, {SUBJECT, AT_CAUSE_CLEAR}}},
    {"three servers crash together",
	{{OP_CRASH, 1000, 1, 101, {COMMON, SUBJECT}},
	    {OP_CRASH, 1010, 2, 102, {COMMON, SUBJECT}},
	    {OP_CRASH, 1020, 3, 103, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR}}},
    {"it begins between the crashes",
	{{OP_CRASH, 1000, 1, 101, {COMMON, SUBJECT}},
	    {OP_BEGUN, 1100, 0, 102, {COMMON, SUBJECT}},
	    {OP_CRASH, 1200, 2, 103, {COMMON, SUBJECT}},
	    {OP_CRASH, 1400, 3, 104, {COMMON, SUBJECT}},
	    {OP_BEGUN, 1500, 0, 105, {COMMON, SUBJECT}},
	    {OP_CRASH, 1600, 4, 106, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR}}},
    {"a trial of a suspect part begins",
	{{OP_CRASH, 1000, 1, 101, {COMMON, SUBJECT}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, SUBJECT}},
	    {OP_BEGUN, 1600, 0, 103, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR}}},
    {"a blocked part has begun elsewhere",
	{{OP_CRASH, 1000, 1, 101, {COMMON, SUBJECT}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, SUBJECT}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, SUBJECT}},
	    {OP_BEGUN, 2400, 0, 104, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR}}},
    {"a part that used to begin, four crashes",
	{{OP_BEGUN, 100, 0, 100, {BAD}}, {OP_CRASH, 1000, 1, 101, {BAD}},
	    {OP_CRASH, 2000, 2, 102, {BAD}}, {OP_CRASH, 3000, 3, 103, {BAD}},
	    {OP_CRASH, 4000, 4, 104, {BAD}}},
	{{BAD, AT_CAUSE_CLEAR}}},
    {"a part that used to begin, five crashes",
	{{OP_BEGUN, 100, 0, 100, {BAD}}, {OP_CRASH, 1000, 1, 101, {BAD}},
	    {OP_CRASH, 2000, 2, 102, {BAD}}, {OP_CRASH, 3000, 3, 103, {BAD}},
	    {OP_CRASH, 4000, 4, 104, {BAD}}, {OP_CRASH, 5000, 5, 105, {BAD}}},
	{{BAD, AT_CAUSE_BLOCKED}}},
    {"crashes before it began again do not count",
	{{OP_BEGUN, 100, 0, 100, {BAD}}, {OP_CRASH, 1000, 1, 101, {BAD}},
	    {OP_CRASH, 2000, 2, 102, {BAD}}, {OP_CRASH, 3000, 3, 103, {BAD}},
	    {OP_BEGUN, 3500, 0, 104, {BAD}}, {OP_CRASH, 4000, 4, 105, {BAD}},
	    {OP_CRASH, 7000, 5, 106, {BAD}}},
	{{BAD, AT_CAUSE_CLEAR}}},
    {"all servers of a model crash in a second",
	{{OP_BEGUN, 100, 0, 100, {COMMON}}, {OP_CRASH, 1000, 1, 101, {COMMON}},
	    {OP_CRASH, 1200, 2, 102, {COMMON}},
	    {OP_CRASH, 1400, 3, 103, {COMMON}},
	    {OP_CRASH, 1600, 4, 104, {COMMON}},
	    {OP_CRASH, 1800, 5, 105, {COMMON}}},
	{{COMMON, AT_CAUSE_CLEAR}}},
    {"a lifted part",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}},
	    {OP_LIFT, 2000, 0, BAD, {0}}},
	{{BAD, AT_CAUSE_LIFTED}, {COMMON, AT_CAUSE_CLEAR}}},
    {"a lifted part crashes servers again",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}},
	    {OP_LIFT, 2000, 0, BAD, {0}},
	    {OP_CRASH, 3000, 4, 104, {COMMON, BAD}},
	    {OP_CRASH, 3200, 5, 105, {COMMON, BAD}},
	    {OP_CRASH, 3400, 6, 106, {COMMON, BAD}}},
	{{BAD, AT_CAUSE_BLOCKED}, {COMMON, AT_CAUSE_CLEAR}}},
    {"two parts at a time",
	{{OP_BEGUN, 900, 0, 100, {COMMON, SUBJECT}},
	    {OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1100, 2, 102, {COMMON, 0xbeef}},
	    {OP_CRASH, 1200, 3, 103, {COMMON, BAD}},
	    {OP_CRASH, 1300, 4, 104, {COMMON, 0xbeef}},
	    {OP_CRASH, 1400, 5, 105, {COMMON, BAD}},
	    {OP_CRASH, 1500, 6, 106, {COMMON, 0xbeef}}},
	{{COMMON, AT_CAUSE_CLEAR}, {BAD, AT_CAUSE_BLOCKED},
	    {0xbeef, AT_CAUSE_BLOCKED}}},
    {"further crashes accuse nothing else",
	{{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
	    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
	    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}},
	    {OP_CRASH, 2000, 4, 104, {COMMON, BAD}},
	    {OP_CRASH, 2000, 4, 204, {COMMON, SUBJECT}},
	    {OP_CRASH, 2200, 5, 105, {COMMON, BAD}},
	    {OP_CRASH, 2200, 5, 205, {COMMON, SUBJECT}},
	    {OP_CRASH, 2400, 6, 106, {COMMON, BAD}},
	    {OP_CRASH, 2400, 6, 206, {COMMON, SUBJECT}}},
	{{COMMON, AT_CAUSE_CLEAR}, {SUBJECT, AT_CAUSE_CLEAR},
	    {BAD, AT_CAUSE_BLOCKED}}},
};

/* The parts are those of the step. */
static at_request_parts_t
parts_of(const step_t *step)
{
	at_request_parts_t parts = {.request = step->request,
	    .parts = (uint64_t *)(uintptr_t)step->parts};

	while (parts.count < 2 && step->parts[parts.count] != 0)
		parts.count++;
	return parts;
}

static void
run_step(at_crash_causes_t *causes, const step_t *step)
{
	at_request_parts_t parts = parts_of(step);
	uint64_t now_us = (uint64_t)step->at_ms * US_PER_MS;

	if (step->op == OP_CRASH)
		(void)at_crash_causes_add_crash(
		    causes, step->server, &parts, 1, now_us);
	else if (step->op == OP_BEGUN)
		at_crash_causes_note_begun(causes, &parts, now_us);
	else
		cr_assert_eq(
		    at_crash_causes_lift(causes, step->request, now_us), 0);
}

/* Runs the steps, with a judgement every 100 ms, and returns the last time. */
static uint64_t
run_steps(at_crash_causes_t *causes, const step_t *steps)
{
	uint32_t at_ms = 0;
	uint32_t end_ms;
	size_t i;

	for (i = 0; i < STEPS_MAX && steps[i].op != OP_END; i++) {
		for (; at_ms < steps[i].at_ms; at_ms += 100)
			(void)at_crash_causes_decide(
			    causes, (uint64_t)at_ms * US_PER_MS);
		run_step(causes, &steps[i]);
	}
	for (end_ms = at_ms + SETTLE_MS; at_ms <= end_ms; at_ms += 100)
		(void)at_crash_causes_decide(
		    causes, (uint64_t)at_ms * US_PER_MS);
	return (uint64_t)at_ms * US_PER_MS;
}

typedef struct search {
	uint64_t part;
	at_cause_state_t state;
} search_t;

static void
visit(void *ctx, const at_crash_verdict_t *verdict)
{
	search_t *search = ctx;

	if (verdict->part == search->part)
		search->state = verdict->state;
}

static at_cause_state_t
state_of(const at_crash_causes_t *causes, uint64_t part)
{
	search_t search = {part, AT_CAUSE_CLEAR};

	at_crash_causes_each(causes, visit, &search);
	return search.state;
}

Test(crash_causes, states_after_crashes)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_crash_causes_t *causes = at_crash_causes_new();

		(void)run_steps(causes, cases[i].steps);
		for (k = 0; k < EXPECTED_MAX && cases[i].expected[k].part != 0;
		     k++)
			cr_assert_eq(
			    state_of(causes, cases[i].expected[k].part),
			    cases[i].expected[k].state, "%s: part %llx is %s",
			    cases[i].name,
			    (unsigned long long)cases[i].expected[k].part,
			    at_cause_state_names[state_of(
				causes, cases[i].expected[k].part)]);
		at_crash_causes_delete(causes);
	}
}

static const step_t blocking[] = {{OP_CRASH, 1000, 1, 101, {COMMON, BAD}},
    {OP_CRASH, 1200, 2, 102, {COMMON, BAD}},
    {OP_CRASH, 1400, 3, 103, {COMMON, BAD}}, {OP_END, 0, 0, 0, {0}}};

/* Requests that are refused keep the block; without them it ends. */
Test(crash_causes, a_block_expires)
{
	at_crash_causes_t *causes = at_crash_causes_new();
	const at_request_parts_t request = {105, (uint64_t[]){COMMON, BAD}, 2};
	uint64_t now_us = run_steps(causes, blocking);

	now_us += AT_CRASH_VERDICT_LIFETIME_US / 2;
	cr_assert_not_null(at_crash_causes_check(causes, &request, now_us));
	now_us += AT_CRASH_VERDICT_LIFETIME_US / 2 + 1000000u;
	(void)at_crash_causes_decide(causes, now_us);
	cr_assert_not_null(at_crash_causes_check(causes, &request, now_us));
	now_us += AT_CRASH_VERDICT_LIFETIME_US + 1;
	(void)at_crash_causes_decide(causes, now_us);
	cr_assert_null(at_crash_causes_check(causes, &request, now_us));
	at_crash_causes_delete(causes);
}

/* One instance knows that the part has begun, the other has blocked it. */
Test(crash_causes, a_block_that_is_contradicted_is_not_taken)
{
	at_crash_causes_t *causes = at_crash_causes_new();
	at_crash_causes_t *other = at_crash_causes_new();
	const at_request_parts_t begun = {100, (uint64_t[]){COMMON}, 1};
	const at_crash_verdict_t block = {COMMON, AT_CAUSE_BLOCKED, 3, 0,
	    2000000u, 3000000u + AT_CRASH_VERDICT_LIFETIME_US};
	at_part_begun_t reports[4];

	at_crash_causes_note_begun(causes, &begun, 500000u);
	cr_assert_eq(
	    at_crash_causes_apply_verdict(causes, &block, 3000000u), 0);
	cr_assert_eq(state_of(causes, COMMON), AT_CAUSE_CLEAR);
	cr_assert_eq(at_crash_causes_take_begun(causes, reports, 4), 1);
	cr_assert_eq(reports[0].part, COMMON);
	cr_assert_eq(at_crash_causes_take_begun(causes, reports, 4), 0);
	cr_assert_eq(at_crash_causes_apply_verdict(other, &block, 3000000u), 1);
	at_crash_causes_apply_begun(other, COMMON, reports[0].begun_us);
	cr_assert_eq(state_of(other, COMMON), AT_CAUSE_CLEAR);
	at_crash_causes_delete(other);
	at_crash_causes_delete(causes);
}

/* A lifting that arrives at an instance which still has the block. */
Test(crash_causes, the_newer_of_a_block_and_its_lifting_counts)
{
	at_crash_causes_t *causes = at_crash_causes_new();
	uint64_t now_us = run_steps(causes, blocking);
	at_crash_verdict_t update = {BAD, AT_CAUSE_LIFTED, 3, 0, now_us,
	    now_us + AT_CRASH_VERDICT_LIFETIME_US};

	cr_assert_eq(at_crash_causes_apply_verdict(causes, &update, now_us), 1);
	cr_assert_eq(state_of(causes, BAD), AT_CAUSE_LIFTED);
	update.state = AT_CAUSE_BLOCKED;
	update.since_us = now_us - 1;
	cr_assert_eq(at_crash_causes_apply_verdict(causes, &update, now_us), 0);
	update.since_us = now_us + 1;
	cr_assert_eq(at_crash_causes_apply_verdict(causes, &update, now_us), 1);
	cr_assert_eq(state_of(causes, BAD), AT_CAUSE_BLOCKED);
	at_crash_causes_delete(causes);
}

/* Each instance sends one trial, after its own delay, and none after three. */
Test(crash_causes, trials_are_few)
{
	at_crash_causes_t *causes = at_crash_causes_new();
	const step_t suspicious[] = {blocking[0], blocking[1], blocking[3]};
	const at_request_parts_t third = {103, (uint64_t[]){COMMON, BAD}, 2};
	uint64_t now_us = run_steps(causes, suspicious);

	cr_assert_eq(
	    at_crash_causes_start_trial(causes, BAD, 10000000u, now_us), 0);
	cr_assert_eq(at_crash_causes_start_trial(causes, BAD, 0, now_us), 1);
	cr_assert_eq(
	    at_crash_causes_start_trial(causes, BAD, 0, now_us + 900000u), 0);
	cr_assert_eq(
	    at_crash_causes_start_trial(causes, BAD, 0, now_us + 1100000u), 1);
	(void)at_crash_causes_add_crash(
	    causes, 3, &third, 1, now_us + 1100000u);
	(void)at_crash_causes_decide(causes, now_us + 1100000u);
	cr_assert_eq(state_of(causes, BAD), AT_CAUSE_SUSPECT);
	cr_assert_eq(
	    at_crash_causes_start_trial(causes, BAD, 0, now_us + 3000000u), 0);
	at_crash_causes_delete(causes);
}

/* What all instances tell of many crashes stays within the tables. */
Test(crash_causes, tables_are_bounded)
{
	at_crash_causes_t *causes = at_crash_causes_new();
	uint64_t i;
	uint64_t k;

	for (i = 0; i < 4 * AT_CRASHES_MAX; i++) {
		for (k = 0; k < 2 * AT_CRASH_REQUESTS_MAX; k++) {
			const at_request_parts_t request = {
			    i * 1000 + k, (uint64_t[]){COMMON, 7 + i % 50}, 2};

			(void)at_crash_causes_add_crash(
			    causes, i + 1, &request, 1, i * 100000u);
			at_crash_causes_note_begun(
			    causes, &request, i * 100000u);
		}
		(void)at_crash_causes_decide(causes, i * 100000u);
	}
	for (i = 0; i < 3 * AT_CRASH_BEGUN_MAX; i++) {
		const at_request_parts_t request = {i, (uint64_t[]){i + 1}, 1};

		at_crash_causes_note_begun(causes, &request, 1000000000u);
	}
	for (i = 0; i < 4 * AT_CRASH_VERDICTS_MAX; i++) {
		const at_crash_verdict_t block = {0x100000u + i,
		    AT_CAUSE_BLOCKED, 3, 0, 1000000000u, 2000000000u + i};

		cr_assert_eq(
		    at_crash_causes_apply_verdict(causes, &block, 1000000000u),
		    1);
	}
	cr_assert_eq(state_of(causes, 0x100000u + i - 1), AT_CAUSE_BLOCKED);
	cr_assert_eq(state_of(causes, 0x100000u), AT_CAUSE_CLEAR);
	at_crash_causes_delete(causes);
}

/* The last part of a prompt is the request's own. */
Test(crash_causes, requests_are_told_apart)
{
	static const struct {
		const char *name;
		const char *target;
		const char *key;
		const char *body;
		uint64_t own;
		int is_same;
	} others[] = {{"the same", "/a", "k", "b", 9, 1},
	    {"another path", "/b", "k", "b", 9, 0},
	    {"another query", "/a?x=1", "k", "b", 9, 1},
	    {"an empty query", "/a?", "k", "b", 9, 1},
	    {"another path with a query", "/ab?x=1", "k", "b", 9, 0},
	    {"another key", "/a", "l", "b", 9, 0},
	    {"another body", "/a", "k", "c", 9, 0},
	    {"another last part", "/a", "k", "b", 8, 0}};
	uint64_t first[] = {1, 9};
	at_request_parts_t parts;
	size_t i;

	at_request_parts_init(&parts, first, 2, "/a", "k", "b", 1);
	cr_assert_eq(parts.count, 2);
	for (i = 0; i < sizeof(others) / sizeof(others[0]); i++) {
		uint64_t prefix[] = {1, others[i].own};
		at_request_parts_t other;

		at_request_parts_init(&other, prefix, 2, others[i].target,
		    others[i].key, others[i].body, 1);
		cr_assert_eq(parts.request == other.request, others[i].is_same,
		    "%s", others[i].name);
	}
}
