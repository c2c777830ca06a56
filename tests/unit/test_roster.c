/*
 * Who is present, who is heard, and who should take the lease.
 */
#include <criterion/criterion.h>

#include "almondthread/roster.h"

static at_roster_member_t *
add(at_roster_t *roster, const char *name, const char *data_centre)
{
	at_name_t n;

	(void)at_name_set(&n, name);
	return at_roster_add(
	    roster, &n, at_tag_from_text(data_centre), "127.0.0.1:1", 0);
}

static at_roster_t *
make(const char *self)
{
	at_name_t name;

	(void)at_name_set(&name, self);
	return at_roster_new(&name, 10);
}

Test(roster, counts_the_present_and_the_heard)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");
	uint64_t late_us = AT_ROSTER_REPORT_TIMEOUT_US + 11;

	(void)add(roster, "b", "south");
	cr_assert_null(add(roster, "self", "north"));
	cr_assert_eq(at_roster_present_count(roster), 3);
	cr_assert_eq(at_roster_reporting_count(roster, 10), 1);
	cr_assert_eq(at_roster_apply_report(a, 5, 1, 0, 0, 10), 0);
	cr_assert_eq(at_roster_reporting_count(roster, 10), 2);
	cr_assert_eq(at_roster_reporting_count(roster, late_us), 1);
	cr_assert_eq(at_roster_apply_report(a, 5, 2, 1, 0, late_us), 0);
	cr_assert_eq(
	    at_roster_present_count(roster), 2, "a leaving one counts");
	at_roster_delete(roster);
}

static const struct {
	uint64_t incarnation;
	uint64_t sequence;
	int result;
} reports[] = {{5, 2, 0}, {5, 2, -1}, {5, 1, -1}, {5, 3, 0}, {6, 1, 0}};

Test(roster, takes_no_report_twice_or_late)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");
	size_t i;

	for (i = 0; i < sizeof(reports) / sizeof(reports[0]); i++)
		cr_assert_eq(at_roster_apply_report(a, reports[i].incarnation,
				 reports[i].sequence, 0, 0, 10),
		    reports[i].result);
	at_roster_delete(roster);
}

Test(roster, all_that_hear_each_other_agree_on_one_first)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	unsigned firsts = 0;
	size_t self;
	size_t other;

	for (self = 0; self < 4; self++) {
		at_roster_t *roster = make(names[self]);

		for (other = 0; other < 4; other++) {
			at_roster_member_t *m =
			    add(roster, names[other], "north");

			if (m == NULL)
				continue;
			(void)at_roster_apply_report(m, 1, 1, 0, 0, 10);
			m->strength = 10;
			m->strength = 10;
		}
		firsts +=
		    (unsigned)at_roster_is_task_owner(roster, 0, 0, 0, 20);
		at_roster_delete(roster);
	}
	cr_assert_eq(firsts, 1);
}

Test(roster, knows_the_holder_while_it_is_heard)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");
	at_roster_member_t *b = add(roster, "b", "north");

	(void)at_roster_apply_report(a, 1, 1, 0, 10, 100);
	(void)at_roster_apply_report(b, 1, 1, 0, 12, 100);
	cr_assert_eq(at_roster_lease_holder(roster, 100), b);
	cr_assert_null(
	    at_roster_lease_holder(roster, 101 + AT_ROSTER_REPORT_TIMEOUT_US));
	at_roster_delete(roster);
}

/* Of three instances a < b < c by their order, which one is first. */
static const struct {
	const char *name;
	int self_away;
	int others_away[2];
	int first;
} reaches[] = {
    {"all reach the platform", 0, {0, 0}, 1},
    {"it does not", 1, {0, 0}, 0},
    {"none does", 1, {1, 1}, 1},
};

Test(roster, leaves_shared_tasks_to_those_that_reach_the_platform)
{
	static const char *const names[] = {"a", "b", "c"};
	size_t first = 0;
	size_t i;

	for (i = 1; i < 3; i++) {
		if (at_tag_from_text(names[i]) < at_tag_from_text(names[first]))
			first = i;
	}
	for (i = 0; i < sizeof(reaches) / sizeof(reaches[0]); i++) {
		at_roster_t *roster = make(names[first]);
		size_t k = 0;
		size_t n;

		for (n = 0; n < 3; n++) {
			at_roster_member_t *m = add(roster, names[n], "north");

			if (m == NULL)
				continue;
			(void)at_roster_apply_report(m, 1, 1, 0, 0, 10);
			m->strength = 10;
			m->platform_away = reaches[i].others_away[k++];
		}
		cr_assert_eq(at_roster_is_task_owner(
				 roster, 0, 0, reaches[i].self_away, 20),
		    reaches[i].first, "%s", reaches[i].name);
		at_roster_delete(roster);
	}
}

Test(roster, gives_shared_tasks_to_the_strongest)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");

	(void)at_roster_apply_report(a, 1, 1, 0, 0, 10);
	a->strength = 9;
	cr_assert(at_roster_is_task_owner(roster, 0, 0, 0, 20));
	a->strength = 11;
	cr_assert_not(at_roster_is_task_owner(roster, 0, 0, 0, 20));
	at_roster_delete(roster);
}

Test(roster, one_stands_by_while_the_first_holds_the_lease)
{
	at_roster_t *roster = make("a");
	at_roster_member_t *b = add(roster, "b", "north");

	(void)at_roster_apply_report(b, 1, 1, 0, 77, 10);
	b->strength = 11;
	cr_assert(at_roster_is_task_owner(roster, 0, 1, 0, 20));
	at_roster_delete(roster);
}

static unsigned gone_count;

static void
count_gone(void *ctx, const at_roster_member_t *member)
{
	(void)ctx;
	(void)member;
	gone_count++;
}

Test(roster, forgets_who_left_and_who_is_gone)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");

	(void)add(roster, "b", "north");
	(void)at_roster_apply_report(a, 1, 1, 1, 0, 10);
	at_roster_expire(roster, 20, count_gone, NULL);
	cr_assert_eq(at_roster_present_count(roster), 2);
	at_roster_expire(
	    roster, 11 + AT_ROSTER_REPORT_TIMEOUT_US, count_gone, NULL);
	cr_assert_eq(gone_count, 0);
	at_roster_expire(
	    roster, 1 + AT_ROSTER_REMOVAL_TIMEOUT_US, count_gone, NULL);
	cr_assert_eq(gone_count, 1);
	cr_assert_eq(at_roster_present_count(roster), 1);
	at_roster_delete(roster);
}
