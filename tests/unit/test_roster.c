/*
 * Tests of which instances are present, which are reporting, and which owns
 * shared tasks.
 */
#include <criterion/criterion.h>

#include "almondthread/roster.h"

static at_roster_member_t *
add_member(at_roster_t *roster, const char *name, const char *data_centre)
{
	at_name_t n;

	(void)at_name_set(&n, name);
	return at_roster_add(
	    roster, &n, at_tag_from_text(data_centre), "127.0.0.1:1", 0);
}

static at_roster_t *
make_roster(const char *self)
{
	at_name_t name;

	(void)at_name_set(&name, self);
	return at_roster_new(&name, 10);
}

Test(roster, counts_present_and_reporting_instances)
{
	at_roster_t *roster = make_roster("self");
	at_roster_member_t *a = add_member(roster, "a", "north");
	uint64_t timeout_us = AT_ROSTER_REPORT_TIMEOUT_US + 11;

	(void)add_member(roster, "b", "south");
	cr_assert_null(add_member(roster, "self", "north"));
	cr_assert_eq(at_roster_present_count(roster), 3);
	cr_assert_eq(at_roster_reporting_count(roster, 10), 1);
	cr_assert_eq(at_roster_apply_report(a, 5, 1, 0, 0, 10), 0);
	cr_assert_eq(at_roster_reporting_count(roster, 10), 2);
	cr_assert_eq(at_roster_reporting_count(roster, timeout_us), 1);
	cr_assert_eq(at_roster_apply_report(a, 5, 2, 1, 0, timeout_us), 0);
	cr_assert_eq(at_roster_present_count(roster), 2,
	    "a leaving instance is counted");
	at_roster_delete(roster);
}

/* It took what it had heard before a cut for what the others know. */
Test(roster, an_instance_that_hears_nobody_is_not_in_touch)
{
	at_roster_t *roster = make_roster("self");
	at_tag_t north = at_tag_from_text("north");
	uint64_t late_us = 10 + AT_ROSTER_TOUCH_US + 1;
	at_roster_member_t *a;
	at_roster_member_t *b;
	at_roster_member_t *c;

	cr_assert(at_roster_is_in_touch(roster, north, 10), "alone");
	c = add_member(roster, "c", "south");
	cr_assert_not(at_roster_is_in_touch(roster, north, 10), "none reports");
	(void)at_roster_apply_report(c, 1, 1, 0, 0, 10);
	cr_assert(at_roster_is_in_touch(roster, north, 10), "only elsewhere");
	a = add_member(roster, "a", "north");
	cr_assert_not(at_roster_is_in_touch(roster, north, 10), "a is silent");
	b = add_member(roster, "b", "north");
	(void)at_roster_apply_report(a, 1, 1, 0, 0, 10);
	(void)at_roster_apply_report(b, 1, 1, 0, 0, 10);
	cr_assert(at_roster_is_in_touch(roster, north, 10), "both");
	cr_assert_not(at_roster_is_in_touch(roster, north, late_us), "cut off");
	(void)at_roster_apply_report(a, 1, 2, 0, 0, late_us);
	cr_assert(at_roster_is_in_touch(roster, north, late_us), "b is silent");
	at_roster_delete(roster);
}

static const struct {
	uint64_t incarnation;
	uint64_t sequence;
	int result;
} reports[] = {{5, 2, 0}, {5, 2, -1}, {5, 1, -1}, {5, 3, 0}, {6, 1, 0}};

Test(roster, ignores_outdated_reports)
{
	at_roster_t *roster = make_roster("self");
	at_roster_member_t *a = add_member(roster, "a", "north");
	size_t i;

	for (i = 0; i < sizeof(reports) / sizeof(reports[0]); i++)
		cr_assert_eq(at_roster_apply_report(a, reports[i].incarnation,
				 reports[i].sequence, 0, 0, 10),
		    reports[i].result);
	at_roster_delete(roster);
}

Test(roster, connected_instances_agree_on_one_owner)
{
	static const char *const names[] = {"a", "b", "c", "d"};
	unsigned owners = 0;
	size_t self;
	size_t other;

	for (self = 0; self < 4; self++) {
		at_roster_t *roster = make_roster(names[self]);

		for (other = 0; other < 4; other++) {
			at_roster_member_t *m =
			    add_member(roster, names[other], "north");

			if (m == NULL)
				continue;
			(void)at_roster_apply_report(m, 1, 1, 0, 0, 10);
			m->strength = 10;
			m->strength = 10;
		}
		owners +=
		    (unsigned)at_roster_is_task_owner(roster, 0, 0, 0, 20);
		at_roster_delete(roster);
	}
	cr_assert_eq(owners, 1);
}

Test(roster, returns_the_holder_while_it_is_reporting)
{
	at_roster_t *roster = make_roster("self");
	at_roster_member_t *a = add_member(roster, "a", "north");
	at_roster_member_t *b = add_member(roster, "b", "north");

	(void)at_roster_apply_report(a, 1, 1, 0, 10, 100);
	(void)at_roster_apply_report(b, 1, 1, 0, 12, 100);
	cr_assert_eq(at_roster_lease_holder(roster, 100), b);
	cr_assert_null(
	    at_roster_lease_holder(roster, 101 + AT_ROSTER_REPORT_TIMEOUT_US));
	at_roster_delete(roster);
}

/*
 * Whether the instance that comes first of three in the order of priority owns
 * the shared tasks.
 */
static const struct {
	const char *name;
	int is_away;
	int peers_away[2];
	int is_owner;
} platform_cases[] = {
    {"all reach the platform", 0, {0, 0}, 1},
    {"only others reach it", 1, {0, 0}, 0},
    {"none reaches the platform", 1, {1, 1}, 1},
};

Test(roster, prefers_owners_that_reach_the_platform)
{
	static const char *const names[] = {"a", "b", "c"};
	size_t is_owner = 0;
	size_t i;

	for (i = 1; i < 3; i++) {
		if (at_tag_from_text(names[i]) <
		    at_tag_from_text(names[is_owner]))
			is_owner = i;
	}
	for (i = 0; i < sizeof(platform_cases) / sizeof(platform_cases[0]);
	     i++) {
		at_roster_t *roster = make_roster(names[is_owner]);
		size_t k = 0;
		size_t n;

		for (n = 0; n < 3; n++) {
			at_roster_member_t *m =
			    add_member(roster, names[n], "north");

			if (m == NULL)
				continue;
			(void)at_roster_apply_report(m, 1, 1, 0, 0, 10);
			m->strength = 10;
			m->platform_away = platform_cases[i].peers_away[k++];
		}
		cr_assert_eq(at_roster_is_task_owner(
				 roster, 0, 0, platform_cases[i].is_away, 20),
		    platform_cases[i].is_owner, "%s", platform_cases[i].name);
		at_roster_delete(roster);
	}
}

Test(roster, the_strongest_instance_owns_shared_tasks)
{
	at_roster_t *roster = make_roster("self");
	at_roster_member_t *a = add_member(roster, "a", "north");

	(void)at_roster_apply_report(a, 1, 1, 0, 0, 10);
	a->strength = 9;
	cr_assert(at_roster_is_task_owner(roster, 0, 0, 0, 20));
	a->strength = 11;
	cr_assert_not(at_roster_is_task_owner(roster, 0, 0, 0, 20));
	at_roster_delete(roster);
}

Test(roster, excludes_the_lease_holder_on_request)
{
	at_roster_t *roster = make_roster("a");
	at_roster_member_t *b = add_member(roster, "b", "north");

	(void)at_roster_apply_report(b, 1, 1, 0, 77, 10);
	b->strength = 11;
	cr_assert(at_roster_is_task_owner(roster, 0, 1, 0, 20));
	at_roster_delete(roster);
}

/* Who stands by to acquire the lease: this instance, or b and c. */
typedef struct standby {
	uint64_t started_ms; /* 0: not stated, as in earlier builds */
	uint32_t strength;
	at_standing_t standing;
	int is_leaving;
} standby_t;

static const struct {
	const char *name;
	standby_t self;
	standby_t b;
	standby_t c;
	int stands_by;
} standby_cases[] = {
    {"started together, the strongest", {1000, 11, 0, 0}, {3999, 10, 1, 0},
	{4000, 10, 1, 0}, 1},
    {"started together, not the strongest", {1000, 10, 0, 0}, {3999, 11, 1, 0},
	{4000, 10, 1, 0}, 0},
    {"started last", {9000, 10, 0, 0}, {1000, 11, 1, 0}, {2000, 11, 1, 0}, 1},
    {"another one started last", {1000, 11, 0, 0}, {2000, 11, 1, 0},
	{9000, 10, 1, 0}, 0},
    {"that one is not ready", {1000, 11, 0, 0}, {2000, 10, 1, 0},
	{9000, 10, 2, 0}, 1},
    {"that one leaves", {1000, 11, 0, 0}, {2000, 10, 1, 0}, {9000, 10, 1, 1},
	1},
    {"that one is weak", {1000, 11, 0, 0}, {2000, 10, 1, 0}, {9000, 5, 1, 0},
	1},
    {"none states its start", {0, 11, 0, 0}, {0, 10, 0, 0}, {0, 10, 0, 0}, 1},
    {"earlier builds stand back", {9000, 10, 0, 0}, {0, 11, 0, 0},
	{0, 11, 0, 0}, 1},
};

static void
set_standby(at_roster_member_t *member, const standby_t *standby)
{
	(void)at_roster_apply_report(member, 1, 1, standby->is_leaving, 0, 10);
	member->started_ms = standby->started_ms;
	member->strength = standby->strength;
	at_roster_note_standing(member, standby->standing, 10);
}

/* Guards against a holder that is the next to be restarted. */
Test(roster, those_that_started_last_stand_by)
{
	size_t i;

	for (i = 0; i < sizeof(standby_cases) / sizeof(standby_cases[0]); i++) {
		at_name_t name = {.text = "a"};
		at_roster_t *roster =
		    at_roster_new(&name, standby_cases[i].self.strength);

		at_roster_set_started(roster, standby_cases[i].self.started_ms);
		set_standby(
		    add_member(roster, "b", "north"), &standby_cases[i].b);
		set_standby(
		    add_member(roster, "c", "north"), &standby_cases[i].c);
		cr_expect_eq(at_roster_is_task_owner(roster, 0, 1, 0, 20),
		    standby_cases[i].stands_by, "%s", standby_cases[i].name);
		at_roster_delete(roster);
	}
}

/*
 * A stronger instance that reads the platform's lists, and whether this one
 * must replace it at NOW_US.
 */
#define NOW_US 10000000u
#define RECENT_US (NOW_US - AT_ROSTER_CONFIRMATION_MAX_US)

static const struct {
	const char *name;
	int reads;
	uint64_t reads_since_us;
	uint64_t confirmed_us;
	int platform_away;
	int is_owner;
	int has_reader;
} reader_cases[] = {
    {"confirmed recently", 1, 10, RECENT_US, 0, 0, 1},
    {"frozen, or its calls get no response", 1, 10, RECENT_US - 1, 0, 1, 0},
    {"its first lists are open", 1, RECENT_US, 0, 0, 0, 1},
    {"its first lists get no response", 1, RECENT_US - 1, 0, 0, 1, 0},
    {"reports that the platform is away", 1, 10, RECENT_US, 1, 1, 0},
    {"does not read yet", 0, 0, 0, 0, 0, 0},
};

Test(roster, replaces_a_reader_without_confirmation)
{
	at_tag_t north = at_tag_from_text("north");
	size_t i;

	for (i = 0; i < sizeof(reader_cases) / sizeof(reader_cases[0]); i++) {
		at_roster_t *roster = make_roster("self");
		at_roster_member_t *a = add_member(roster, "a", "north");

		a->strength = 11;
		at_roster_note_reads(a, reader_cases[i].reads,
		    reader_cases[i].confirmed_us,
		    reader_cases[i].reads_since_us);
		a->platform_away = reader_cases[i].platform_away;
		(void)at_roster_apply_report(a, 1, 1, 0, 0, NOW_US - 1);
		cr_assert_eq(
		    at_roster_is_task_owner(roster, north, 0, 0, NOW_US),
		    reader_cases[i].is_owner, "%s", reader_cases[i].name);
		cr_assert_eq(at_roster_has_reader(roster, north, NOW_US),
		    reader_cases[i].has_reader, "%s", reader_cases[i].name);
		cr_assert_not(at_roster_has_reader(
		    roster, at_tag_from_text("south"), NOW_US));
		at_roster_delete(roster);
	}
}

static unsigned removed_count;

static void
count_removed(void *ctx, const at_roster_member_t *member)
{
	(void)ctx;
	(void)member;
	removed_count++;
}

Test(roster, removes_leaving_and_silent_instances)
{
	at_roster_t *roster = make_roster("self");
	at_roster_member_t *a = add_member(roster, "a", "north");

	(void)add_member(roster, "b", "north");
	(void)at_roster_apply_report(a, 1, 1, 1, 0, 10);
	at_roster_expire(roster, 20, count_removed, NULL);
	cr_assert_eq(at_roster_present_count(roster), 2);
	at_roster_expire(
	    roster, 11 + AT_ROSTER_REPORT_TIMEOUT_US, count_removed, NULL);
	cr_assert_eq(removed_count, 0);
	at_roster_expire(
	    roster, 1 + AT_ROSTER_REMOVAL_TIMEOUT_US, count_removed, NULL);
	cr_assert_eq(removed_count, 1);
	cr_assert_eq(at_roster_present_count(roster), 1);
	at_roster_delete(roster);
}

/* What the instances b to d, and e in another data centre, report. */
static const struct {
	const char *name;
	uint32_t relayed[4];
	uint32_t own[4]; /* passed on for this instance */
	int reaches_none[4];
	int is_leaving[4];
	char except;
	char chosen; /* '-': none */
} relays[] = {{"least used", {3, 1, 2, 0}, {0}, {0}, {0}, 0, 'c'},
    {"own attempts count at once", {0, 0, 1, 0}, {2, 3, 0, 0}, {0}, {0}, 0,
	'd'},
    {"another data centre", {9, 9, 9, 0}, {0}, {0}, {0}, 0, 'e'},
    {"not one that is cut off itself", {0, 5, 5, 9}, {0}, {1, 0, 1, 0}, {0}, 0,
	'c'},
    {"all are cut off", {0}, {0}, {1, 1, 1, 1}, {0}, 0, '-'},
    {"all are full",
	{AT_ROSTER_RELAYED_MAX, AT_ROSTER_RELAYED_MAX, AT_ROSTER_RELAYED_MAX,
	    AT_ROSTER_RELAYED_MAX},
	{0}, {0}, {0}, 0, '-'},
    {"not the one that is silent", {0, 1, 2, 9}, {0}, {0}, {0}, 'b', 'c'},
    {"the silent one if there is no other", {0}, {0}, {0, 1, 1, 1}, {0}, 'b',
	'b'},
    {"not one that leaves", {0, 5, 9, 9}, {0}, {0}, {1, 0, 0, 0}, 0, 'c'},
    {"one that leaves if there is no other", {0}, {0}, {0, 1, 1, 1},
	{1, 0, 0, 0}, 0, 'b'},
    {"one that leaves rather than the silent one", {0}, {0}, {0, 0, 1, 1},
	{0, 1, 0, 0}, 'b', 'c'}};

Test(roster, chooses_who_passes_attempts_on)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(relays) / sizeof(relays[0]); i++) {
		at_roster_t *roster = make_roster("self");
		const at_roster_member_t *chosen;
		char except[] = {relays[i].except, '\0'};

		for (k = 0; k < 4; k++) {
			char name[] = {(char)('b' + k), '\0'};
			at_roster_member_t *member = add_member(
			    roster, name, k == 3 ? "south" : "north");

			(void)at_roster_apply_report(
			    member, 1, 1, relays[i].is_leaving[k], 0, 10);
			member->strength = 100;
			member->relayed = relays[i].relayed[k];
			member->relays_open = relays[i].own[k];
			member->reaches_none = relays[i].reaches_none[k];
		}
		chosen =
		    at_roster_choose_relay(roster, at_tag_from_text("north"),
			except[0] == '\0' ? 0 : at_tag_from_text(except), 20);
		cr_expect_eq(chosen == NULL ? '-' : chosen->name.text[0],
		    relays[i].chosen, "%s", relays[i].name);
		at_roster_delete(roster);
	}
}

/* What a summary states of instance b, after its own reports. */
static const struct {
	const char *name;
	uint64_t own_incarnation; /* 0: it has not reported itself */
	uint64_t stated_incarnation;
	uint64_t stated_us; /* its last report to the gateway */
	uint32_t reporting; /* with this instance, at 2 s */
} summaries[] = {{"newer than its own report", 7, 7, 1900000, 2},
    {"as old", 7, 7, 100000, 1},
    {"of an earlier incarnation", 7, 6, 1900000, 1},
    {"of one that has not reported itself", 0, 7, 1900000, 2}};

Test(roster, instances_in_summaries_count_as_silent)
{
	size_t i;

	for (i = 0; i < sizeof(summaries) / sizeof(summaries[0]); i++) {
		at_roster_t *roster = make_roster("self");
		at_roster_member_t *member = add_member(roster, "b", "south");

		if (summaries[i].own_incarnation != 0)
			(void)at_roster_apply_report(member,
			    summaries[i].own_incarnation, 1, 0, 0, 200000);
		(void)at_roster_note_summarised(member,
		    summaries[i].stated_incarnation, summaries[i].stated_us,
		    2000000);
		cr_expect_eq(at_roster_reporting_count(roster, 2000000),
		    summaries[i].reporting, "%s", summaries[i].name);
		at_roster_delete(roster);
	}
}

/* Strength of b to d, the time of their reports, and who leaves. */
static const struct {
	const char *name;
	uint32_t strength[3];
	uint64_t reported_us[3];
	int is_leaving[3];
	int takes_summaries[3];
	char gateway; /* at 1 s; '-': none */
} gateways[] = {{"the strongest", {10, 30, 20}, {900000, 900000, 900000}, {0},
		    {1, 1, 1}, 'c'},
    {"not one that is silent", {10, 30, 20}, {900000, 500000, 900000}, {0},
	{1, 1, 1}, 'd'},
    {"not one that leaves", {10, 30, 20}, {900000, 900000, 900000}, {0, 1, 0},
	{1, 1, 1}, 'd'},
    {"not an earlier build", {10, 30, 20}, {900000, 900000, 900000}, {0},
	{1, 0, 0}, 'b'},
    {"none", {10, 30, 20}, {500000, 500000, 0}, {0}, {1, 1, 1}, '-'}};

Test(roster, a_gateway_is_gone)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(gateways) / sizeof(gateways[0]); i++) {
		at_roster_t *roster = make_roster("self");
		const at_roster_member_t *gateway;

		for (k = 0; k < 3; k++) {
			char name[] = {(char)('b' + k), '\0'};
			at_roster_member_t *member =
			    add_member(roster, name, "south");

			(void)at_roster_apply_report(member, 1, 1,
			    gateways[i].is_leaving[k], 0,
			    gateways[i].reported_us[k]);
			member->strength = gateways[i].strength[k];
			member->takes_summaries =
			    gateways[i].takes_summaries[k];
		}
		gateway = at_roster_find_gateway(
		    roster, at_tag_from_text("south"), 1000000);
		cr_expect_eq(gateway == NULL ? '-' : gateway->name.text[0],
		    gateways[i].gateway, "%s", gateways[i].name);
		at_roster_delete(roster);
	}
}
