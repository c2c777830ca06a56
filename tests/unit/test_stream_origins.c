/*
 * Tests of the table of which software version began each stream.
 */
#include <criterion/criterion.h>

#include "almondthread/stream_origins.h"

#define V1 ((at_tag_t)11)
#define V2 ((at_tag_t)12)
#define STREAM ((at_tag_t)5)
#define SERVICE ((at_tag_t)21)
#define S 1000000u /* microseconds in a second */
#define LIFETIME_S 40u

static at_stream_origins_t *
make_origins(void)
{
	at_stream_origins_t *origins = at_stream_origins_new();

	at_stream_origins_set_lifetime(origins, LIFETIME_S * S);
	return origins;
}

Test(stream_origins, are_remembered_for_a_lifetime)
{
	at_stream_origins_t *origins = make_origins();
	const uint64_t again_us = 30u * S;
	const uint64_t end_us = again_us + LIFETIME_S * S;

	cr_assert_eq(at_stream_origins_find(origins, STREAM, 0), 0);
	at_stream_origins_note(origins, STREAM, V1, 0);
	cr_assert_eq(at_stream_origins_find(origins, STREAM, again_us), V1);
	/* Resumed: the first request stays the name of the stream. */
	at_stream_origins_note(origins, STREAM, V1, again_us);
	cr_assert_eq(at_stream_origins_find(origins, STREAM, end_us), V1);
	cr_assert_eq(at_stream_origins_find(origins, STREAM, end_us + 1), 0);
	at_stream_origins_expire(origins, end_us);
	cr_assert_eq(at_stream_origins_count(origins), 1);
	at_stream_origins_expire(origins, end_us + 1);
	cr_assert_eq(at_stream_origins_count(origins), 0);
	at_stream_origins_delete(origins);
}

Test(stream_origins, are_not_changed_by_a_later_report)
{
	at_stream_origins_t *origins = make_origins();
	const at_stream_origin_t other = {STREAM, V2};

	at_stream_origins_note(origins, STREAM, V1, 0);
	at_stream_origins_apply(origins, &other, S);
	cr_assert_eq(at_stream_origins_find(origins, STREAM, S), V1);
	at_stream_origins_delete(origins);
}

Test(stream_origins, are_reported_thrice_and_only_where_they_were_noted)
{
	at_stream_origins_t *origins = make_origins();
	const at_stream_origin_t reported = {STREAM + 1, V2};
	at_stream_origin_t entries[4];
	unsigned i;

	at_stream_origins_note(origins, STREAM, V1, 0);
	at_stream_origins_apply(origins, &reported, 0);
	cr_assert_eq(at_stream_origins_take_new(origins, entries, 4), 1);
	cr_assert_eq(entries[0].stream, STREAM);
	cr_assert_eq(entries[0].software, V1);
	for (i = 1; i < AT_STREAM_ORIGIN_REPORTS; i++) {
		cr_assert_eq(
		    at_stream_origins_take_new(origins, entries, 4), 0);
		cr_assert_eq(
		    at_stream_origins_take_due(origins, entries, 4), 1);
	}
	cr_assert_eq(at_stream_origins_take_due(origins, entries, 4), 0);
	at_stream_origins_delete(origins);
}

Test(stream_origins, beyond_one_report_follow_in_the_next)
{
	at_stream_origins_t *origins = make_origins();
	at_stream_origin_t entries[4];
	at_tag_t i;

	for (i = 0; i < 100; i++)
		at_stream_origins_note(origins, STREAM + i, V1, 0);
	for (i = 0; i < 100; i += 4) {
		cr_assert_eq(
		    at_stream_origins_take_new(origins, entries, 4), 4);
		cr_assert_eq(entries[0].stream, STREAM + i);
	}
	cr_assert_eq(at_stream_origins_take_new(origins, entries, 4), 0);
	at_stream_origins_delete(origins);
}

Test(stream_origins, are_bounded)
{
	at_stream_origins_t *origins = make_origins();
	at_tag_t i;

	for (i = 1; i <= AT_STREAM_ORIGINS_MAX + 2; i++) {
		const at_stream_origin_t origin = {i, V1};

		at_stream_origins_apply(origins, &origin, i);
	}
	cr_assert_eq(at_stream_origins_count(origins), AT_STREAM_ORIGINS_MAX);
	cr_assert_eq(at_stream_origins_find(origins, 2, 0), 0);
	cr_assert_eq(at_stream_origins_find(origins, 3, 0), V1);
	at_stream_origins_delete(origins);
}

/* A version whose servers are gone may have begun a stream until recently. */
static const struct {
	uint64_t v1_s; /* when each version was last listed */
	uint64_t v2_s;
	uint64_t now_s;
	at_tag_t only;
} listed[] = {
    {100, 100, 100, 0},
    {100, 130, 130, 0},
    {100, 140, 141, V2},
    {100, 100, 141, 0},
};

Test(stream_origins, may_be_told_from_a_single_listed_version)
{
	size_t i;

	for (i = 0; i < sizeof(listed) / sizeof(listed[0]); i++) {
		at_stream_origins_t *origins = make_origins();

		at_stream_origins_note_listed(
		    origins, SERVICE, V1, listed[i].v1_s * S);
		at_stream_origins_note_listed(
		    origins, SERVICE + 1, V1, listed[i].now_s * S);
		at_stream_origins_note_listed(
		    origins, SERVICE, V2, listed[i].v2_s * S);
		cr_assert_eq(at_stream_origins_only_version(
				 origins, SERVICE, listed[i].now_s * S),
		    listed[i].only, "case %zu", i);
		at_stream_origins_delete(origins);
	}
}

/* Instances that each send to all others must not do so ever more often. */
Test(stream_origins, reports_do_not_grow_with_the_square_of_the_instances)
{
	static const uint32_t instances[] = {1, 6, 9, 61, 320};
	size_t i;

	for (i = 0; i < sizeof(instances) / sizeof(instances[0]); i++) {
		uint32_t batch_ms = at_stream_origins_batch_ms(instances[i]);

		cr_assert_geq(batch_ms, 30);
		cr_assert_leq(instances[i] * 1000 / batch_ms, 300,
		    "%u instances: %u ms", instances[i], batch_ms);
	}
	cr_assert_eq(at_stream_origins_batch_ms(9), 30);
}
