/*
 * Documents that arrive in any order, requests to peers, and differences
 * between texts.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/document_sync.h"

static uint64_t applied_version; /* version of the last applied document */
static size_t applied_count;

/* A valid document begins with its version, a positive number. */
static void *
parse(void *impl, const char *text, size_t len, uint64_t *version)
{
	(void)impl;
	(void)len;
	*version = strtoull(text, NULL, 10);
	return *version == 0 ? NULL : strdup(text);
}

static void
apply_document(void *impl, void *object)
{
	(void)impl;
	applied_version = strtoull(object, NULL, 10);
	applied_count++;
	free(object);
}

static void
discard(void *impl, void *object)
{
	(void)impl;
	free(object);
}

static const at_document_sync_port_t port = {
    parse, apply_document, discard, NULL};

static at_document_sync_result_t
apply(at_document_sync_t *sync, const char *text)
{
	return at_document_sync_apply(sync, 0, text, strlen(text));
}

typedef struct document_row {
	const char *text;
	at_document_sync_result_t result;
	uint64_t applied_version;
} document_row_t;

static const document_row_t documents[] = {
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

Test(document_sync, version_only_increases_and_invalid_documents_are_rejected)
{
	at_document_sync_t *sync = at_document_sync_new(&port);
	size_t len;
	size_t i;

	applied_version = 0;
	for (i = 0; i < sizeof(documents) / sizeof(documents[0]); i++) {
		cr_assert_eq(apply(sync, documents[i].text),
		    documents[i].result, "%zu", i);
		cr_assert_eq(
		    applied_version, documents[i].applied_version, "%zu", i);
		cr_assert_eq(at_document_sync_version(sync),
		    documents[i].applied_version);
	}
	cr_assert_str_eq(at_document_sync_text(sync, 7, &len), "7 seven");
	cr_assert_null(at_document_sync_text(sync, 4, &len));
	cr_assert_null(at_document_sync_text(sync, 0, &len));
	at_document_sync_delete(sync);
}

Test(document_sync, difference_requires_its_base)
{
	at_document_sync_t *sync = at_document_sync_new(&port);
	at_delta_t delta;

	cr_assert_eq(apply(sync, "1 {a}{b}"), AT_DOCUMENT_SYNC_APPLIED);
	cr_assert_eq(
	    at_delta_make(&delta, "1 {a}{b}", 8, "2 {a}{c}{b}", 11), 0);
	cr_assert_eq(at_document_sync_apply_delta(sync, 2, 9, &delta),
	    AT_DOCUMENT_SYNC_NO_BASE);
	cr_assert_eq(at_document_sync_apply_delta(sync, 2, 1, &delta),
	    AT_DOCUMENT_SYNC_APPLIED);
	cr_assert_eq(at_document_sync_apply_delta(sync, 2, 1, &delta),
	    AT_DOCUMENT_SYNC_OUTDATED);
	delta.result_hash++;
	cr_assert_eq(at_document_sync_apply_delta(sync, 3, 1, &delta),
	    AT_DOCUMENT_SYNC_NO_BASE);
	cr_assert_eq(at_document_sync_version(sync), 2);
	at_delta_clear(&delta);
	at_document_sync_delete(sync);
}

/* A peer's report, if any, and the peer that is to be sent a request. */
typedef struct report_row {
	uint64_t now_ms;
	const char *peer; /* NULL: no report */
	uint64_t version;
	const char *requested; /* NULL: no request */
} report_row_t;

static const report_row_t several_peers[] = {
    {0, "a", 5, NULL}, /* other peers may have a newer version */
    {10, "a", 5, NULL}, {20, "b", 7, NULL}, {30, "c", 6, "b"},
    {40, "c", 6, NULL}, /* a response is expected */
    {1029, NULL, 0, NULL},
    {1030, NULL, 0, NULL}, /* b did not respond: it is removed */
    {1040, "c", 6, "c"},   /* the newest version of the other peers */
};

static const report_row_t one_peer[] = {
    {0, "a", 5, NULL},
    {499, NULL, 0, NULL},
    {500, NULL, 0, "a"},
    {1500, "a", 5, NULL},
    {1501, "a", 5, "a"},
};

static void
check_requests(const report_row_t *rows, size_t count)
{
	at_document_sync_t *sync = at_document_sync_new(&port);
	size_t i;

	for (i = 0; i < count; i++) {
		const report_row_t *row = &rows[i];
		const at_name_t *requested;
		at_name_t peer;
		uint64_t base = 1;

		if (row->peer != NULL) {
			cr_assert_eq(at_name_set(&peer, row->peer), 0);
			at_document_sync_note_peer_version(
			    sync, &peer, row->version, row->now_ms);
		}
		requested =
		    at_document_sync_next_peer(sync, row->now_ms, 0, &base);
		cr_assert_eq(
		    requested == NULL, row->requested == NULL, "row %zu", i);
		if (requested != NULL) {
			cr_assert_str_eq(requested->text, row->requested);
			cr_assert_eq(base, 0);
		}
	}
	at_document_sync_delete(sync);
}

Test(document_sync, new_instance_requests_newest_of_several_versions)
{
	check_requests(
	    several_peers, sizeof(several_peers) / sizeof(several_peers[0]));
	check_requests(one_peer, sizeof(one_peer) / sizeof(one_peer[0]));
}

Test(document_sync, rejected_version_is_not_requested_again)
{
	at_document_sync_t *sync = at_document_sync_new(&port);
	at_name_t peer;
	uint64_t base = 0;

	(void)at_name_set(&peer, "a");
	cr_assert_eq(apply(sync, "1 {a}"), AT_DOCUMENT_SYNC_APPLIED);
	at_document_sync_note_peer_version(sync, &peer, 2, 0);
	cr_assert_not_null(at_document_sync_next_peer(sync, 0, 0, &base));
	cr_assert_eq(base, 1);
	cr_assert_eq(at_document_sync_apply(sync, 2, "bad", 3),
	    AT_DOCUMENT_SYNC_REJECTED);
	cr_assert_eq(at_document_sync_rejected_version(sync), 2);
	at_document_sync_note_peer_version(sync, &peer, 2, 1);
	cr_assert_null(at_document_sync_next_peer(sync, 1, 0, &base));
	at_document_sync_note_peer_version(sync, &peer, 3, 2);
	cr_assert_not_null(at_document_sync_next_peer(sync, 2, 0, &base));
	at_document_sync_delete(sync);
}

typedef struct delta_row {
	const char *base;
	const char *text;
	size_t literal_max; /* most bytes that are not copied from the base */
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

Test(delta, applied_difference_gives_text)
{
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(deltas) / sizeof(deltas[0]); i++) {
		const delta_row_t *row = &deltas[i];
		at_delta_t delta;
		size_t literal_len = 0;
		size_t len = 0;
		char *result;

		cr_assert_eq(at_delta_make(&delta, row->base, strlen(row->base),
				 row->text, strlen(row->text)),
		    0);
		for (j = 0; j < delta.count; j++)
			literal_len += delta.parts[j].literal_len;
		cr_assert_leq(literal_len, row->literal_max, "row %zu", i);
		result =
		    at_delta_apply(&delta, row->base, strlen(row->base), &len);
		cr_assert_not_null(result, "row %zu", i);
		cr_assert_str_eq(result, row->text);
		free(result);
		at_delta_clear(&delta);
	}
}

Test(delta, parts_outside_the_base_are_rejected)
{
	static const at_delta_part_t invalid_parts[] = {
	    {"", 0, 2, 4},
	    {"", 0, 6, 1},
	    {"", 0, UINT32_MAX, 4},
	    {"", 0, 0, UINT32_MAX},
	    {"abcdef", 6, 0, 0},
	};
	size_t i;

	for (i = 0; i < sizeof(invalid_parts) / sizeof(invalid_parts[0]); i++) {
		at_delta_part_t part = invalid_parts[i];
		at_delta_t delta = {
		    .parts = &part, .count = 1, .result_len = 4};
		size_t len;

		cr_assert_null(
		    at_delta_apply(&delta, "12345", 5, &len), "%zu", i);
	}
}
