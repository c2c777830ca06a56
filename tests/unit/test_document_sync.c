/*
 * Adoption of documents in every order, and differences between texts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/document_sync.h"

/* A document is "VERSION ..."; one that does not begin so is not valid. */
static uint64_t in_use;
static size_t uses;

static void *
parse(void *impl, const char *text, size_t len, uint64_t *version)
{
	(void)impl;
	(void)len;
	*version = strtoull(text, NULL, 10);
	return *version == 0 ? NULL : strdup(text);
}

static void
use(void *impl, void *object)
{
	(void)impl;
	in_use = strtoull(object, NULL, 10);
	uses++;
	free(object);
}

static void
discard(void *impl, void *object)
{
	(void)impl;
	free(object);
}

static const at_document_sync_port_t port = {parse, use, discard, NULL};

static at_document_sync_result_t
offer(at_document_sync_t *adopt, const char *text)
{
	return at_document_sync_apply(adopt, 0, text, strlen(text));
}

typedef struct offer_row {
	const char *text;
	at_document_sync_result_t result;
	uint64_t in_use;
} offer_row_t;

static const offer_row_t offers[] = {
    {"bad", AT_DOCUMENT_SYNC_REJECTED, 0},
    {"5 five", AT_DOCUMENT_SYNC_APPLIED, 5},
    {"5 five again", AT_DOCUMENT_SYNC_OUTDATED, 5},
    {"4 four", AT_DOCUMENT_SYNC_OUTDATED, 5},
    {"", AT_DOCUMENT_SYNC_REJECTED, 5},
    {"7 seven", AT_DOCUMENT_SYNC_APPLIED, 7},
    {"bad", AT_DOCUMENT_SYNC_REJECTED, 7},
    {"6 six", AT_DOCUMENT_SYNC_OUTDATED, 7},
    {"8 eight", AT_DOCUMENT_SYNC_APPLIED, 8},
};

Test(adopt, only_grows_and_keeps_the_last_good_one)
{
	at_document_sync_t *adopt = at_document_sync_new(&port);
	size_t len;
	size_t i;

	in_use = 0;
	for (i = 0; i < sizeof(offers) / sizeof(offers[0]); i++) {
		cr_assert_eq(
		    offer(adopt, offers[i].text), offers[i].result, "%zu", i);
		cr_assert_eq(in_use, offers[i].in_use, "%zu", i);
		cr_assert_eq(at_document_sync_version(adopt), offers[i].in_use);
	}
	cr_assert_str_eq(at_document_sync_text(adopt, 7, &len), "7 seven");
	cr_assert_null(at_document_sync_text(adopt, 4, &len));
	cr_assert_null(at_document_sync_text(adopt, 0, &len));
	at_document_sync_delete(adopt);
}

Test(adopt, a_difference_needs_its_base)
{
	at_document_sync_t *adopt = at_document_sync_new(&port);
	at_delta_t delta;

	cr_assert_eq(offer(adopt, "1 {a}{b}"), AT_DOCUMENT_SYNC_APPLIED);
	cr_assert_eq(
	    at_delta_make(&delta, "1 {a}{b}", 8, "2 {a}{c}{b}", 11), 0);
	cr_assert_eq(at_document_sync_apply_delta(adopt, 2, 9, &delta),
	    AT_DOCUMENT_SYNC_NO_BASE);
	cr_assert_eq(at_document_sync_apply_delta(adopt, 2, 1, &delta),
	    AT_DOCUMENT_SYNC_APPLIED);
	cr_assert_eq(at_document_sync_apply_delta(adopt, 2, 1, &delta),
	    AT_DOCUMENT_SYNC_OUTDATED);
	delta.result_hash++;
	cr_assert_eq(at_document_sync_apply_delta(adopt, 3, 1, &delta),
	    AT_DOCUMENT_SYNC_NO_BASE);
	cr_assert_eq(at_document_sync_version(adopt), 2);
	at_delta_clear(&delta);
	at_document_sync_delete(adopt);
}

/* One step of a conversation: what is heard, then who may be asked. */
typedef struct ask_row {
	uint64_t now_ms;
	const char *peer; /* NULL: nothing heard */
	uint64_t version;
	const char *asked; /* NULL: nobody */
} ask_row_t;

static const ask_row_t several_peers[] = {
    {0, "a", 5, NULL}, /* others may hold a newer one */
    {10, "a", 5, NULL}, {20, "b", 7, NULL}, {30, "c", 6, "b"},
    {40, "c", 6, NULL}, /* an answer is awaited */
    {1029, NULL, 0, NULL},
    {1030, NULL, 0, NULL}, /* b did not answer: forgotten */
    {1040, "c", 6, "c"},   /* better than nothing */
};

static const ask_row_t one_peer[] = {
    {0, "a", 5, NULL},
    {499, NULL, 0, NULL},
    {500, NULL, 0, "a"},
    {1500, "a", 5, NULL},
    {1501, "a", 5, "a"},
};

static void
converse(const ask_row_t *rows, size_t count)
{
	at_document_sync_t *adopt = at_document_sync_new(&port);
	size_t i;

	for (i = 0; i < count; i++) {
		const ask_row_t *row = &rows[i];
		const at_name_t *asked;
		at_name_t peer;
		uint64_t base = 1;

		if (row->peer != NULL) {
			cr_assert_eq(at_name_set(&peer, row->peer), 0);
			at_document_sync_note_peer_version(
			    adopt, &peer, row->version, row->now_ms);
		}
		asked =
		    at_document_sync_next_peer(adopt, row->now_ms, 0, &base);
		cr_assert_eq(asked == NULL, row->asked == NULL, "row %zu", i);
		if (asked != NULL) {
			cr_assert_str_eq(asked->text, row->asked);
			cr_assert_eq(base, 0);
		}
	}
	at_document_sync_delete(adopt);
}

Test(adopt, a_new_instance_asks_for_the_newest_of_several)
{
	converse(
	    several_peers, sizeof(several_peers) / sizeof(several_peers[0]));
	converse(one_peer, sizeof(one_peer) / sizeof(one_peer[0]));
}

Test(adopt, a_refused_version_is_not_asked_for_again)
{
	at_document_sync_t *adopt = at_document_sync_new(&port);
	at_name_t peer;
	uint64_t base = 0;

	(void)at_name_set(&peer, "a");
	cr_assert_eq(offer(adopt, "1 {a}"), AT_DOCUMENT_SYNC_APPLIED);
	at_document_sync_note_peer_version(adopt, &peer, 2, 0);
	cr_assert_not_null(at_document_sync_next_peer(adopt, 0, 0, &base));
	cr_assert_eq(base, 1);
	cr_assert_eq(at_document_sync_apply(adopt, 2, "bad", 3),
	    AT_DOCUMENT_SYNC_REJECTED);
	cr_assert_eq(at_document_sync_rejected_version(adopt), 2);
	at_document_sync_note_peer_version(adopt, &peer, 2, 1);
	cr_assert_null(at_document_sync_next_peer(adopt, 1, 0, &base));
	at_document_sync_note_peer_version(adopt, &peer, 3, 2);
	cr_assert_not_null(at_document_sync_next_peer(adopt, 2, 0, &base));
	at_document_sync_delete(adopt);
}

typedef struct delta_row {
	const char *base;
	const char *text;
	size_t literal_max; /* bytes that are not copied */
} delta_row_t;

static const delta_row_t deltas[] = {
    {"", "", 0},
    {"", "whole", 5},
    {"{a}{b}{c}", "{a}{b}{c}", 0},
    {"{a}{b}{c}", "{c}{a}{b}", 0},
    {"{a}{b}{c}", "{a}{new}{b}{c}", 5},
    {"{a}{b}{c}", "{a}{c}", 0},
    {"{a}{b}{c}", "", 0},
    {"{a}{a}{b}", "{a}{a}{a}{b}{b}", 0},
    {"{\"generation\":1}{a}{b}{c}{d}", "{\"generation\":2}{a}{b}{x}{d}", 19},
};

Test(delta, turns_each_base_into_its_text)
{
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(deltas) / sizeof(deltas[0]); i++) {
		const delta_row_t *row = &deltas[i];
		at_delta_t delta;
		size_t literal = 0;
		size_t len = 0;
		char *made;

		cr_assert_eq(at_delta_make(&delta, row->base, strlen(row->base),
				 row->text, strlen(row->text)),
		    0);
		for (j = 0; j < delta.count; j++)
			literal += delta.parts[j].literal_len;
		cr_assert_leq(literal, row->literal_max, "row %zu", i);
		made =
		    at_delta_apply(&delta, row->base, strlen(row->base), &len);
		cr_assert_not_null(made, "row %zu", i);
		cr_assert_str_eq(made, row->text);
		free(made);
		at_delta_clear(&delta);
	}
}

Test(delta, refuses_parts_outside_the_base)
{
	static const at_delta_part_t bad[] = {
	    {"", 0, 2, 4},
	    {"", 0, 6, 1},
	    {"", 0, UINT32_MAX, 4},
	    {"", 0, 0, UINT32_MAX},
	    {"abcdef", 6, 0, 0},
	};
	size_t i;

	for (i = 0; i < sizeof(bad) / sizeof(bad[0]); i++) {
		at_delta_part_t part = bad[i];
		at_delta_t delta = {
		    .parts = &part, .count = 1, .result_len = 4};
		size_t len;

		cr_assert_null(
		    at_delta_apply(&delta, "12345", 5, &len), "%zu", i);
	}
}
