/*
 * Mirror of objects: list pages, changes, expired history, outages, and watches
 * that miss changes. Each test is a sequence of calls and responses.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/mirror.h"

#define DELETION_DELAY_MS 2000u
#define START_MS 100000u /* later than any deletion delay */

/* Calls of the sink, as "+name@version" and "-name". */
static char events[512];

static void
on_change(void *ctx, const at_object_t *object)
{
	size_t len = strlen(events);

	(void)ctx;
	(void)snprintf(events + len, sizeof(events) - len, "+%s@%llu ",
	    object->name, (unsigned long long)object->version);
}

static void
on_deleted(void *ctx, const char *name, uint64_t version)
{
	size_t len = strlen(events);

	(void)ctx;
	(void)version;
	(void)snprintf(events + len, sizeof(events) - len, "-%s ", name);
}

static at_mirror_t *
new_mirror(void)
{
	const at_mirror_sink_t sink = {on_change, on_deleted, NULL};
	at_mirror_t *mirror = at_mirror_new();

	events[0] = '\0';
	at_mirror_set_sink(mirror, &sink);
	at_mirror_set_deletion_delay(mirror, DELETION_DELAY_MS);
	return mirror;
}

static at_mirror_action_t
step(at_mirror_t *mirror, uint64_t now_ms)
{
	at_mirror_action_t action;

	at_mirror_process(mirror, now_ms, &action);
	return action;
}

/* Responds to the call in flight. has_more: the list has another page. */
static void
respond(at_mirror_t *mirror, uint64_t now_ms, const at_object_t *objects,
    size_t count, int has_more, uint64_t store_version)
{
	const at_objects_page_t page = {
	    AT_OBJECTS_OK, objects, count, has_more, store_version};

	at_mirror_handle_response(mirror, now_ms, &page);
}

static void
respond_with_error(at_mirror_t *mirror, uint64_t now_ms, at_objects_code_t code)
{
	const at_objects_page_t page = {.code = code};

	at_mirror_handle_response(mirror, now_ms, &page);
}

static const at_object_t a1 = {.name = "a", .version = 1};
static const at_object_t a4 = {.name = "a", .version = 4};
static const at_object_t a14 = {.name = "a", .version = 14};
static const at_object_t b2 = {.name = "b", .version = 2};
static const at_object_t b_deleted = {
    .name = "b", .version = 5, .is_deleted = 1};
static const at_object_t objects_a_b[] = {
    {.name = "a", .version = 1}, {.name = "b", .version = 2}};

static void
list_a_and_b(at_mirror_t *mirror)
{
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, objects_a_b, 2, 0, 10);
	events[0] = '\0';
}

Test(mirror, watches_from_the_version_of_the_first_page)
{
	at_mirror_t *mirror = new_mirror();
	at_mirror_action_t action = step(mirror, START_MS);

	cr_assert_eq(action.step, AT_MIRROR_LIST);
	cr_assert_null(action.after);
	respond(mirror, START_MS, &a1, 1, 1, 10);
	cr_assert_not(at_mirror_is_synced(mirror));
	action = step(mirror, START_MS);
	cr_assert_str_eq(action.after, "a");
	respond(mirror, START_MS, &b2, 1, 0, 12);
	cr_assert(at_mirror_is_synced(mirror));
	cr_assert_str_eq(events, "+a@1 +b@2 ");
	action = step(mirror, START_MS);
	cr_assert_eq(action.step, AT_MIRROR_WATCH);
	cr_assert_eq(action.since, 10);
	at_mirror_delete(mirror);
}

Test(mirror, reports_each_change_once_and_no_older_version)
{
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, &a4, 1, 0, 11);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, &a1, 1, 0, 12);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, &b_deleted, 1, 0, 13);
	cr_assert_str_eq(events, "+a@4 -b ");
	at_mirror_delete(mirror);
}

/* A list that was begun before a deletion still has the object. */
Test(mirror, an_older_list_does_not_bring_a_deleted_object_back)
{
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	at_mirror_relist(mirror);
	(void)step(mirror, START_MS);
	at_mirror_feed_deleted(mirror, START_MS, "b", 12);
	cr_assert_str_eq(events, "-b ");
	respond(mirror, START_MS, objects_a_b, 2, 0, 11);
	cr_assert_str_eq(events, "-b ");
	at_mirror_delete(mirror);
}

/*
 * Changes and responses of a watch cover the versions up to theirs. A list with
 * a higher version shows nothing about the version of the newest change.
 */
Test(mirror, knows_which_versions_it_covers)
{
	static const at_object_t deletion = {
	    .name = "b", .version = 13, .is_deleted = 1};
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	cr_assert_eq(at_mirror_newest(mirror), 2);
	cr_assert(at_mirror_covers(mirror, 10));
	cr_assert_not(at_mirror_covers(mirror, 11));
	at_mirror_feed(
	    mirror, START_MS, &(at_object_t){.name = "c", .version = 12});
	cr_assert_eq(at_mirror_newest(mirror), 12);
	cr_assert(at_mirror_covers(mirror, 12));
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, &deletion, 1, 0, 20);
	cr_assert_eq(at_mirror_newest(mirror), 13);
	cr_assert(at_mirror_covers(mirror, 20));
	cr_assert_not(at_mirror_covers(mirror, 21));
	at_mirror_delete(mirror);
}

Test(mirror, lists_again_when_the_history_is_gone)
{
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	(void)step(mirror, START_MS);
	respond_with_error(mirror, START_MS, AT_OBJECTS_HISTORY_GONE);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_LIST);
	respond(mirror, START_MS, &a4, 1, 0, 20);
	cr_assert_str_eq(events, "+a@4 -b ");
	at_mirror_delete(mirror);
}

Test(mirror, delay_grows_with_each_failed_call)
{
	at_mirror_t *mirror = new_mirror();
	uint64_t now_ms = START_MS;
	uint64_t delay_ms = 0;
	int i;

	for (i = 0; i < 6; i++) {
		(void)step(mirror, now_ms);
		respond_with_error(mirror, now_ms, AT_OBJECTS_NO_RESPONSE);
		cr_assert_eq(step(mirror, now_ms).step, AT_MIRROR_WAIT);
		cr_assert_geq(at_mirror_due_ms(mirror) - now_ms, delay_ms);
		delay_ms = at_mirror_due_ms(mirror) - now_ms;
		now_ms = at_mirror_due_ms(mirror);
	}
	cr_assert_leq(delay_ms, 2000);
	cr_assert(at_mirror_is_platform_away(mirror));
	at_mirror_delete(mirror);
}

/* Others had the platform in the outage: what is missing has been deleted. */
Test(mirror, deletes_missing_objects_after_an_outage_of_its_own)
{
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	(void)step(mirror, START_MS);
	respond_with_error(mirror, START_MS, AT_OBJECTS_NO_RESPONSE);
	at_mirror_relist(mirror);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, &a4, 1, 0, 20);
	cr_assert_str_eq(events, "+a@4 ");
	cr_assert_eq(at_mirror_missing_count(mirror), 1);
	at_mirror_delete_missing(mirror, START_MS);
	cr_assert_str_eq(events, "+a@4 -b ");
	cr_assert_eq(at_mirror_missing_count(mirror), 0);
	at_mirror_delete(mirror);
}

/* An object deleted in an outage reappears in time, or stays deleted. */
static const struct {
	uint64_t reappears_ms; /* after the outage; 0: never */
	const char *events;
} outages[] = {{1000, "+b@6 "}, {0, "-b "}};

Test(mirror, keeps_objects_deleted_in_an_outage_for_the_deletion_delay)
{
	size_t i;

	for (i = 0; i < sizeof(outages) / sizeof(outages[0]); i++) {
		const at_object_t b6 = {.name = "b", .version = 6};
		at_mirror_t *mirror = new_mirror();
		uint64_t now_ms = START_MS + 10000;

		list_a_and_b(mirror);
		(void)step(mirror, now_ms);
		respond_with_error(mirror, now_ms, AT_OBJECTS_NO_RESPONSE);
		now_ms = at_mirror_due_ms(mirror);
		(void)step(mirror, now_ms);
		respond(mirror, now_ms, &b_deleted, 1, 0, 30);
		cr_assert_str_eq(events, "", "deleted too early: %s", events);
		(void)step(mirror, now_ms);
		if (outages[i].reappears_ms != 0)
			respond(mirror, now_ms + outages[i].reappears_ms, &b6,
			    1, 0, 31);
		(void)step(mirror, now_ms + DELETION_DELAY_MS);
		cr_assert_str_eq(events, outages[i].events);
		at_mirror_delete(mirror);
	}
}

Test(mirror, check_list_finds_changes_that_the_watch_missed)
{
	const at_objects_page_t same = {.code = AT_OBJECTS_OK,
	    .objects = objects_a_b,
	    .count = 2,
	    .store_version = 40};
	const at_objects_page_t newer = {.code = AT_OBJECTS_OK,
	    .objects = &a4,
	    .count = 1,
	    .store_version = 41};
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	(void)step(mirror, START_MS);
	cr_assert_not(at_mirror_check_list(mirror, START_MS, &same));
	cr_assert(at_mirror_check_list(mirror, START_MS, &newer));
	cr_assert_str_eq(events, "+a@4 ");
	at_mirror_relist(mirror);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_LIST);
	at_mirror_delete(mirror);
}

Test(mirror, check_watch_finds_changes_that_the_watch_missed)
{
	const at_objects_page_t none = {
	    .code = AT_OBJECTS_OK, .store_version = 41};
	const at_objects_page_t newer = {.code = AT_OBJECTS_OK,
	    .objects = &a4,
	    .count = 1,
	    .store_version = 41};
	at_mirror_t *mirror = new_mirror();
	uint64_t since;

	list_a_and_b(mirror);
	since = at_mirror_since(mirror);
	cr_assert_eq(step(mirror, START_MS).since, since);
	cr_assert_not(at_mirror_check_watch(mirror, START_MS, since, &none));
	/* The open watch has delivered something since the check began. */
	cr_assert_not(
	    at_mirror_check_watch(mirror, START_MS, since - 1, &newer));
	cr_assert_str_eq(events, "");
	cr_assert(at_mirror_check_watch(mirror, START_MS, since, &newer));
	cr_assert_str_eq(events, "+a@4 ");
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WATCH);
	cr_assert_eq(at_mirror_since(mirror), 41);
	at_mirror_delete(mirror);
}

Test(mirror, no_calls_while_following)
{
	at_mirror_t *mirror = new_mirror();
	at_mirror_t *listing_mirror = new_mirror();
	uint64_t before;

	list_a_and_b(listing_mirror);
	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WAIT);
	cr_assert_eq(at_mirror_due_ms(mirror), AT_MIRROR_NOT_DUE);
	cr_assert_eq(
	    at_mirror_digest(mirror), at_mirror_digest(listing_mirror));
	before = at_mirror_digest(mirror);
	at_mirror_feed(mirror, START_MS, &a14);
	at_mirror_feed(mirror, START_MS, &a1);
	cr_assert_neq(at_mirror_digest(mirror), before);
	at_mirror_feed_deleted(mirror, START_MS, "b", 1);
	at_mirror_feed_deleted(mirror, START_MS, "b", 2);
	cr_assert_str_eq(events, "+a@14 -b ");
	/* It has all changes up to that version, and asks for the others. */
	at_mirror_set_following(mirror, 0);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WATCH);
	cr_assert_eq(at_mirror_since(mirror), 10);
	at_mirror_delete(mirror);
	at_mirror_delete(listing_mirror);
}

Test(mirror, waits_for_the_batch_delay_after_changes)
{
	at_mirror_t *mirror = new_mirror();

	at_mirror_set_batch_delay(mirror, 200);
	list_a_and_b(mirror);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WATCH);
	respond(mirror, START_MS, &a4, 1, 0, 11);
	cr_assert_eq(step(mirror, START_MS + 199).step, AT_MIRROR_WAIT);
	cr_assert_eq(step(mirror, START_MS + 200).step, AT_MIRROR_WATCH);
	at_mirror_delete(mirror);
}

/* Steps of a mirror that knows all up to 10; what it then knows, in order. */
typedef struct range {
	uint64_t from;
	uint64_t to;
	int is_complete;
	uint64_t since;
} range_t;

static const range_t ranges[] = {{12, 14, 0, 10}, {10, 12, 1, 12},
    {5, 11, 1, 12}, {12, 12, 1, 12}, {11, 15, 1, 15}, {16, 20, 0, 15}};

/* A follower took the age of a list whose changes it did not have. */
Test(mirror, has_all_changes_only_without_a_gap)
{
	at_mirror_t *mirror = new_mirror();
	size_t i;

	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	for (i = 0; i < sizeof(ranges) / sizeof(ranges[0]); i++) {
		cr_expect_eq(
		    at_mirror_advance(mirror, ranges[i].from, ranges[i].to),
		    ranges[i].is_complete, "row %zu", i);
		cr_expect_eq(
		    at_mirror_since(mirror), ranges[i].since, "row %zu", i);
	}
	at_mirror_relist(mirror);
	cr_assert_not(at_mirror_advance(mirror, 1, 30));
	at_mirror_delete(mirror);
}

static void
visit(void *ctx, const at_object_t *object)
{
	char *text = ctx;
	size_t len = strlen(text);

	(void)snprintf(text + len, 128 - len, "%s%s@%llu%.*s ",
	    object->is_deleted ? "-" : "+", object->name,
	    (unsigned long long)object->version, (int)object->len,
	    object->text == NULL ? "" : object->text);
}

Test(mirror, tells_what_has_changed_since_a_version)
{
	const at_object_t c12 = {
	    .name = "c", .version = 12, .text = "{}", .len = 2};
	const at_object_t again = {.name = "b", .version = 14};
	at_mirror_t *mirror = new_mirror();
	char text[128] = "";

	at_mirror_keep_texts(mirror);
	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	at_mirror_feed(mirror, START_MS, &c12);
	at_mirror_feed_deleted(mirror, START_MS, "b", 13);
	cr_assert_eq(at_mirror_changed(mirror), 13);
	cr_assert_eq(at_mirror_count(mirror), 2);
	cr_assert_eq(at_mirror_each_change(mirror, 11, visit, text), 0);
	cr_assert_str_eq(text, "-b@13 +c@12{} ");
	text[0] = '\0';
	cr_assert_eq(at_mirror_each_change(mirror, 12, visit, text), 0);
	cr_assert_str_eq(text, "-b@13 ");
	/* It does not know what was deleted before its first list. */
	cr_assert_eq(at_mirror_each_change(mirror, 9, visit, text), -1);
	text[0] = '\0';
	at_mirror_each(mirror, visit, text);
	cr_assert_str_eq(text, "+a@1 +c@12{} ");
	at_mirror_feed(mirror, START_MS, &again);
	cr_assert_eq(at_mirror_count(mirror), 3);
	at_mirror_delete(mirror);
}

Test(mirror, forgets_deletions_after_a_time)
{
	at_mirror_t *mirror = new_mirror();
	char text[128] = "";

	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	at_mirror_feed_deleted(mirror, START_MS, "b", 13);
	(void)step(mirror, START_MS + AT_MIRROR_DELETED_MS);
	cr_assert_eq(at_mirror_each_change(mirror, 12, visit, text), -1);
	cr_assert_eq(at_mirror_each_change(mirror, 13, visit, text), 0);
	cr_assert_str_eq(text, "");
	at_mirror_delete(mirror);
}

Test(mirror, takes_all_objects_of_another_instance)
{
	const at_object_t all[] = {
	    {.name = "a", .version = 4}, {.name = "d", .version = 15}};
	const at_object_t later = {.name = "c", .version = 22};
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	at_mirror_set_following(mirror, 1);
	at_mirror_feed(mirror, START_MS, &later);
	events[0] = '\0';
	at_mirror_relist(mirror);
	at_mirror_feed_all(mirror, START_MS, all, 2, 20);
	cr_assert_str_eq(events, "+a@4 +d@15 -b ");
	cr_assert_eq(at_mirror_since(mirror), 20);
	cr_assert_eq(at_mirror_count(mirror), 3);
	at_mirror_delete(mirror);
}

/*
 * A watch that has lost its history stated the newest version, without the
 * changes before it, and was refused soon after.
 */
Test(mirror, does_not_trust_a_watch_without_changes_at_once)
{
	at_mirror_t *mirror = new_mirror();

	list_a_and_b(mirror);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, NULL, 0, 0, 15);
	cr_assert_eq(step(mirror, START_MS).since, 10);
	respond(mirror, START_MS + 1000, NULL, 0, 0, 17);
	cr_assert_eq(step(mirror, START_MS + 1000).since, 10);
	respond(mirror, START_MS + 2000, NULL, 0, 0, 19);
	cr_assert_eq(step(mirror, START_MS + 2000).since, 15);
	respond(mirror, START_MS + 4000, NULL, 0, 0, 21);
	cr_assert_eq(step(mirror, START_MS + 4000).since, 19);
	respond_with_error(mirror, START_MS + 5000, AT_OBJECTS_HISTORY_GONE);
	cr_assert_eq(step(mirror, START_MS + 5000).step, AT_MIRROR_LIST);
	at_mirror_delete(mirror);
}

/* How a mirror came to its list at version 20, from what it knew at 10. */
typedef enum whole_list {
	LISTED_FIRST,
	LISTED_AGAIN,
	FED_FIRST,
	FED_AGAIN,
	WHOLE_LISTS
} whole_list_t;

static const char *const whole_list_names[] = {
    "listed first", "listed again", "handed over first", "handed over again"};

static at_mirror_t *
mirror_with_list(whole_list_t how)
{
	at_mirror_t *mirror = new_mirror();

	if (how == LISTED_AGAIN || how == FED_AGAIN)
		list_a_and_b(mirror);
	if (how == FED_FIRST || how == FED_AGAIN) {
		at_mirror_set_following(mirror, 1);
		at_mirror_feed_all(mirror, START_MS, objects_a_b, 2, 20);
		return mirror;
	}
	if (how == LISTED_AGAIN)
		at_mirror_relist(mirror);
	(void)step(mirror, START_MS);
	respond(mirror, START_MS, objects_a_b, 2, 0, 20);
	at_mirror_set_following(mirror, 1);
	return mirror;
}

/*
 * One that was handed changes of such an instance kept a server that had come
 * and gone between two lists, and took itself for up to date.
 */
Test(mirror, a_whole_list_tells_no_changes_before_it)
{
	char text[128] = "";
	int how;

	for (how = 0; how < WHOLE_LISTS; how++) {
		at_mirror_t *mirror = mirror_with_list((whole_list_t)how);

		cr_expect_eq(
		    at_mirror_since(mirror), 20, "%s", whole_list_names[how]);
		cr_expect_eq(at_mirror_each_change(mirror, 15, visit, text), -1,
		    "%s", whole_list_names[how]);
		cr_expect_eq(at_mirror_each_change(mirror, 20, visit, text), 0,
		    "%s", whole_list_names[how]);
		cr_expect_eq(at_mirror_changed(mirror), 20,
		    "%s: one that has all up to 15 seems to have all",
		    whole_list_names[how]);
		at_mirror_delete(mirror);
	}
}

/* What another instance hands over again although the store has deleted it. */
static const struct {
	const char *name;
	int has_outage;        /* the deletion is delayed */
	int is_deleted_before; /* the object was deleted, and came back */
	uint64_t fed_version;
} returns[] = {
    {"while its deletion is delayed", 1, 0, 1},
    {"while its deletion is delayed, older", 1, 0, 0},
    {"after its deletion", 0, 0, 1},
    {"after it came back and went again", 0, 1, 12},
    {"after it came back and went again in an outage", 1, 1, 12},
};

/* A reader forgot a deletion, and its whole data centre used the server on. */
Test(mirror, what_is_known_to_have_gone_is_not_brought_back)
{
	size_t i;

	for (i = 0; i < sizeof(returns) / sizeof(returns[0]); i++) {
		const at_object_t fed = {
		    .name = "a", .version = returns[i].fed_version};
		const at_object_t deleted_before = {
		    .name = "a", .version = 11, .is_deleted = 1};
		const at_object_t deleted = {
		    .name = "a", .version = 13, .is_deleted = 1};
		uint64_t now_ms = START_MS;
		at_mirror_t *mirror = new_mirror();

		list_a_and_b(mirror);
		if (returns[i].is_deleted_before) {
			(void)step(mirror, now_ms);
			respond(mirror, now_ms, &deleted_before, 1, 0, 11);
		}
		if (returns[i].has_outage) {
			(void)step(mirror, now_ms);
			respond_with_error(
			    mirror, now_ms, AT_OBJECTS_NO_RESPONSE);
			now_ms += DELETION_DELAY_MS;
		}
		(void)step(mirror, now_ms);
		respond(mirror, now_ms, &deleted, 1, 0, 14);
		at_mirror_feed(mirror, now_ms, &fed);
		(void)step(mirror, now_ms + DELETION_DELAY_MS);
		cr_expect_eq(at_mirror_count(mirror), 1, "%s", returns[i].name);
		at_mirror_delete(mirror);
	}
}
