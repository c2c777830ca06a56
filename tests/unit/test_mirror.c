/*
 * The copy of one kind of objects: pages, changes, lost histories, outages
 * and watches that hear nothing. Each case is a script of answers.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/mirror.h"

#define LINGER_MS 2000u
#define START_MS 100000u /* long after any outage */

/* What the sink heard, as "+name@version" and "-name". */
static char heard[512];

static void
on_change(void *ctx, const at_object_t *object)
{
	size_t len = strlen(heard);

	(void)ctx;
	(void)snprintf(heard + len, sizeof(heard) - len, "+%s@%llu ",
	    object->name, (unsigned long long)object->version);
}

static void
on_gone(void *ctx, const char *name, uint64_t version)
{
	size_t len = strlen(heard);

	(void)ctx;
	(void)version;
	(void)snprintf(heard + len, sizeof(heard) - len, "-%s ", name);
}

static at_mirror_t *
make(void)
{
	const at_mirror_sink_t sink = {on_change, on_gone, NULL};
	at_mirror_t *mirror = at_mirror_new();

	heard[0] = '\0';
	at_mirror_set_sink(mirror, &sink);
	at_mirror_set_deletion_delay(mirror, LINGER_MS);
	return mirror;
}

static at_mirror_action_t
step(at_mirror_t *mirror, uint64_t now_ms)
{
	at_mirror_action_t action;

	at_mirror_process(mirror, now_ms, &action);
	return action;
}

/* Answers the open call with objects; more goes on with the list. */
static void
answer(at_mirror_t *mirror, uint64_t now_ms, const at_object_t *objects,
    size_t count, int more, uint64_t as_of)
{
	const at_objects_page_t page = {
	    AT_OBJECTS_OK, objects, count, more, as_of};

	at_mirror_handle_response(mirror, now_ms, &page);
}

static void
fail(at_mirror_t *mirror, uint64_t now_ms, at_objects_code_t code)
{
	const at_objects_page_t page = {.code = code};

	at_mirror_handle_response(mirror, now_ms, &page);
}

static const at_object_t a1 = {.name = "a", .version = 1};
static const at_object_t a4 = {.name = "a", .version = 4};
static const at_object_t b2 = {.name = "b", .version = 2};
static const at_object_t b_gone = {.name = "b", .version = 5, .is_deleted = 1};
static const at_object_t both[] = {
    {.name = "a", .version = 1}, {.name = "b", .version = 2}};

static void
list_both(at_mirror_t *mirror)
{
	(void)step(mirror, START_MS);
	answer(mirror, START_MS, both, 2, 0, 10);
	heard[0] = '\0';
}

Test(mirror, reads_pages_and_watches_from_the_first)
{
	at_mirror_t *mirror = make();
	at_mirror_action_t action = step(mirror, START_MS);

	cr_assert_eq(action.step, AT_MIRROR_LIST);
	cr_assert_null(action.after);
	answer(mirror, START_MS, &a1, 1, 1, 10);
	cr_assert_not(at_mirror_is_synced(mirror));
	action = step(mirror, START_MS);
	cr_assert_str_eq(action.after, "a");
	answer(mirror, START_MS, &b2, 1, 0, 12);
	cr_assert(at_mirror_is_synced(mirror));
	cr_assert_str_eq(heard, "+a@1 +b@2 ");
	action = step(mirror, START_MS);
	cr_assert_eq(action.step, AT_MIRROR_WATCH);
	cr_assert_eq(action.since, 10);
	at_mirror_delete(mirror);
}

Test(mirror, passes_on_changes_once_and_never_backwards)
{
	at_mirror_t *mirror = make();

	list_both(mirror);
	(void)step(mirror, START_MS);
	answer(mirror, START_MS, &a4, 1, 0, 11);
	(void)step(mirror, START_MS);
	answer(mirror, START_MS, &a1, 1, 0, 12);
	(void)step(mirror, START_MS);
	answer(mirror, START_MS, &b_gone, 1, 0, 13);
	cr_assert_str_eq(heard, "+a@4 -b ");
	at_mirror_delete(mirror);
}

Test(mirror, lists_anew_when_the_history_is_gone)
{
	at_mirror_t *mirror = make();

	list_both(mirror);
	(void)step(mirror, START_MS);
	fail(mirror, START_MS, AT_OBJECTS_HISTORY_GONE);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_LIST);
	answer(mirror, START_MS, &a4, 1, 0, 20);
	cr_assert_str_eq(heard, "+a@4 -b ");
	at_mirror_delete(mirror);
}

Test(mirror, waits_longer_after_each_failure)
{
	at_mirror_t *mirror = make();
	uint64_t now_ms = START_MS;
	uint64_t waited_ms = 0;
	int i;

	for (i = 0; i < 6; i++) {
		(void)step(mirror, now_ms);
		fail(mirror, now_ms, AT_OBJECTS_NO_RESPONSE);
		cr_assert_eq(step(mirror, now_ms).step, AT_MIRROR_WAIT);
		cr_assert_geq(at_mirror_due_ms(mirror) - now_ms, waited_ms);
		waited_ms = at_mirror_due_ms(mirror) - now_ms;
		now_ms = at_mirror_due_ms(mirror);
	}
	cr_assert_leq(waited_ms, 2000);
	cr_assert(at_mirror_is_platform_away(mirror));
	at_mirror_delete(mirror);
}

/* Entries that lapsed in an outage: back in time, or gone. */
static const struct {
	uint64_t back_at_ms; /* after the return; 0: never */
	const char *heard;
} outages[] = {{1000, "+b@6 "}, {0, "-b "}};

Test(mirror, keeps_what_lapsed_in_an_outage_for_a_while)
{
	size_t i;

	for (i = 0; i < sizeof(outages) / sizeof(outages[0]); i++) {
		const at_object_t b6 = {.name = "b", .version = 6};
		at_mirror_t *mirror = make();
		uint64_t now_ms = START_MS + 10000;

		list_both(mirror);
		(void)step(mirror, now_ms);
		fail(mirror, now_ms, AT_OBJECTS_NO_RESPONSE);
		now_ms = at_mirror_due_ms(mirror);
		(void)step(mirror, now_ms);
		answer(mirror, now_ms, &b_gone, 1, 0, 30);
		cr_assert_str_eq(heard, "", "gone too soon: %s", heard);
		(void)step(mirror, now_ms);
		if (outages[i].back_at_ms != 0)
			answer(mirror, now_ms + outages[i].back_at_ms, &b6, 1,
			    0, 31);
		(void)step(mirror, now_ms + LINGER_MS);
		cr_assert_str_eq(heard, outages[i].heard);
		at_mirror_delete(mirror);
	}
}

Test(mirror, finds_out_that_a_watch_hears_nothing)
{
	const at_objects_page_t same = {
	    .code = AT_OBJECTS_OK, .objects = both, .count = 2, .as_of = 40};
	const at_objects_page_t newer = {
	    .code = AT_OBJECTS_OK, .objects = &a4, .count = 1, .as_of = 41};
	at_mirror_t *mirror = make();

	list_both(mirror);
	(void)step(mirror, START_MS);
	cr_assert_not(at_mirror_check_list(mirror, START_MS, &same));
	cr_assert(at_mirror_check_list(mirror, START_MS, &newer));
	cr_assert_str_eq(heard, "+a@4 ");
	at_mirror_relist(mirror);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_LIST);
	at_mirror_delete(mirror);
}

Test(mirror, follows_another_instance)
{
	at_mirror_t *mirror = make();
	at_mirror_t *reader = make();
	uint64_t before;

	list_both(reader);
	list_both(mirror);
	at_mirror_set_following(mirror, 1);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WAIT);
	cr_assert_eq(at_mirror_due_ms(mirror), AT_MIRROR_NOT_DUE);
	cr_assert_eq(at_mirror_digest(mirror), at_mirror_digest(reader));
	before = at_mirror_digest(mirror);
	at_mirror_feed(mirror, START_MS, &a4);
	at_mirror_feed(mirror, START_MS, &a1);
	cr_assert_neq(at_mirror_digest(mirror), before);
	at_mirror_feed_deleted(mirror, START_MS, "b", 1);
	at_mirror_feed_deleted(mirror, START_MS, "b", 2);
	cr_assert_str_eq(heard, "+a@4 -b ");
	at_mirror_set_following(mirror, 0);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_LIST);
	at_mirror_delete(mirror);
	at_mirror_delete(reader);
}

Test(mirror, gathers_changes_that_follow_each_other)
{
	at_mirror_t *mirror = make();

	at_mirror_set_batch_delay(mirror, 200);
	list_both(mirror);
	cr_assert_eq(step(mirror, START_MS).step, AT_MIRROR_WATCH);
	answer(mirror, START_MS, &a4, 1, 0, 11);
	cr_assert_eq(step(mirror, START_MS + 199).step, AT_MIRROR_WAIT);
	cr_assert_eq(step(mirror, START_MS + 200).step, AT_MIRROR_WATCH);
	at_mirror_delete(mirror);
}
