/*
 * Tests of the memory account. Each case is a sequence of steps on one engine
 * of 100 MB and the memory committed afterwards.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/account.h"

#define CAPACITY_MB 100u

/*
 * Steps, separated by spaces: rID:SLOT:MB reserves memory, xID:SLOT:MB tries to
 * and must be refused, aID:SLOT:MB reserves it unchecked, dID releases a
 * reservation, and sID suspends one. @TIME/INCARNATION[,SLOT:MB...] applies a
 * report, and !TIME/INCARNATION an outdated one, which must be refused.
 */
typedef struct test_case {
	const char *steps;
	uint64_t committed_mb;
	uint64_t free_mb;
} test_case_t;

static const test_case_t cases[] = {
    {"", 0, 0},
    {"x1:a:10", 0, 0},
    {"@1/1 r1:a:60", 60, 40},
    {"@1/1 r1:a:60 x2:b:50 r3:c:40", 100, 0},
    {"@1/1 r1:a:60 @2/1,a:60", 60, 40},
    {"@1/1 r1:a:60 @2/1,a:60 d1", 60, 40},
    {"@1/1 r1:a:60 @2/1", 60, 40},
    {"@1/1 r1:a:60 @2/1 d1", 0, 100},
    {"@1/1,a:60 x1:b:50", 60, 40},
    {"@1/1,a:60 @2/1 r1:b:50", 50, 50},
    {"@5/1,a:60 !4/1 x1:b:50", 60, 40},
    {"a1:a:70 @1/1,b:60", 130, 0},
    {"a1:a:70 @1/1 s1 r2:b:30", 30, 0},
    {"a1:a:70 @1/1 s1 x2:b:40", 0, 30},
    {"a1:a:70 @1/1,b:20 s1 @2/2", 70, 30},
    {"a1:a:70 r1:a:70", 70, 0},
    {"@1/1 a1:a:70 r2:a:70 d1", 70, 30},
    {"@1/1 a1:a:70 r2:a:70 d1 d2", 0, 100},
};

static at_resident_t
make_resident(char slot, unsigned memory_mb)
{
	at_resident_t r = {.memory_mb = memory_mb};

	r.model.text[0] = slot;
	return r;
}

static void
run_report(at_account_t *account, const char *step, size_t case_index)
{
	at_resident_t residents[4];
	unsigned time;
	unsigned incarnation;
	size_t count = 0;
	int result;

	(void)sscanf(step + 1, "%u/%u", &time, &incarnation);
	while ((step = strchr(step, ',')) != NULL) {
		unsigned mb;
		char slot;

		step++;
		(void)sscanf(step, "%c:%u", &slot, &mb);
		residents[count++] = make_resident(slot, mb);
	}
	result = at_account_apply_report(
	    account, time, incarnation, residents, count);
	cr_assert_eq(result == 0, time != 4, "case %zu", case_index);
}

static void
run_step(at_account_t *account, const char *step, size_t case_index)
{
	unsigned id = 0;
	unsigned mb = 0;
	char slot = 'a';
	at_resident_t reserved;

	if (step[0] == '@' || step[0] == '!') {
		run_report(account, step, case_index);
		return;
	}
	(void)sscanf(step + 1, "%u:%c:%u", &id, &slot, &mb);
	reserved = make_resident(slot, mb);
	if (step[0] == 'r' && at_account_report_requested_at_ms(account) > 0)
		cr_assert_eq(at_account_reserve(account, id, &reserved), 0,
		    "case %zu: %s", case_index, step);
	else if (step[0] == 'x')
		cr_assert_eq(at_account_reserve(account, id, &reserved), -1,
		    "case %zu: %s", case_index, step);
	else if (step[0] == 'a')
		cr_assert_eq(
		    at_account_reserve_unchecked(account, id, &reserved), 0);
	else if (step[0] == 's')
		at_account_suspend(account, id);
	else if (step[0] == 'd')
		at_account_release(account, id);
}

Test(account, commits_memory_possibly_used)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_account_t *account = at_account_new();
		char steps[128];
		char *save = NULL;
		char *step;

		at_account_set_capacity_mb(account, CAPACITY_MB);
		(void)snprintf(steps, sizeof(steps), "%s", cases[i].steps);
		for (step = strtok_r(steps, " ", &save); step != NULL;
		     step = strtok_r(NULL, " ", &save))
			run_step(account, step, i);
		cr_assert_eq(at_account_committed_mb(account),
		    cases[i].committed_mb, "case %zu", i);
		cr_assert_eq(at_account_free_mb(account), cases[i].free_mb,
		    "case %zu", i);
		at_account_delete(account);
	}
}
