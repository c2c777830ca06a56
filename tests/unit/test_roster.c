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
	return at_roster_add(roster, &n, at_tag(data_centre), "127.0.0.1:1", 0);
}

static at_roster_t *
make(const char *self)
{
	at_name_t name;

	(void)at_name_set(&name, self);
	return at_roster_new(&name);
}

Test(roster, counts_the_present_and_the_heard)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");
	uint64_t late_us = AT_ROSTER_SILENT_US + 11;

	(void)add(roster, "b", "south");
	cr_assert_null(add(roster, "self", "north"));
	cr_assert_eq(at_roster_present(roster), 3);
	cr_assert_eq(at_roster_heard_count(roster, 10), 1);
	cr_assert_eq(at_roster_heard(a, 5, 1, 0, 0, 10), 0);
	cr_assert_eq(at_roster_heard_count(roster, 10), 2);
	cr_assert_eq(at_roster_heard_count(roster, late_us), 1);
	cr_assert_eq(at_roster_heard(a, 5, 2, 1, 0, late_us), 0);
	cr_assert_eq(at_roster_present(roster), 2, "a leaving one counts");
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
		cr_assert_eq(at_roster_heard(a, reports[i].incarnation,
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

			if (m != NULL)
				(void)at_roster_heard(m, 1, 1, 0, 0, 10);
		}
		firsts += (unsigned)at_roster_is_first(roster, 20);
		at_roster_delete(roster);
	}
	cr_assert_eq(firsts, 1);
}

Test(roster, knows_the_holder_while_it_is_heard)
{
	at_roster_t *roster = make("self");
	at_roster_member_t *a = add(roster, "a", "north");
	at_roster_member_t *b = add(roster, "b", "north");

	(void)at_roster_heard(a, 1, 1, 0, 10, 100);
	(void)at_roster_heard(b, 1, 1, 0, 12, 100);
	cr_assert_eq(at_roster_holder(roster, 100), b);
	cr_assert_null(at_roster_holder(roster, 101 + AT_ROSTER_SILENT_US));
	at_roster_delete(roster);
}
