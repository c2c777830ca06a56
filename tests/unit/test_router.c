/*
 * Choice of an engine by the router: load, cached prefixes, data centres, stale
 * reports, and engines that fail.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/router.h"

#define NOW_MS 10000u

static at_name_t
name(const char *text)
{
	at_name_t n;

	cr_assert_eq(at_name_set(&n, text), 0);
	return n;
}

static at_router_t *
router_new(void)
{
	at_name_t here = name("here");

	return at_router_new(&here, 7);
}

/* One engine of a case. */
typedef struct engine_row {
	const char *name;
	const char *data_centre;
	const char *model;
	uint32_t running;
	uint64_t prefill_tokens;
	uint64_t report_at_ms;
	int is_leaving;
	int is_suspected;
} engine_row_t;

static void
report(at_router_t *router, const engine_row_t *row)
{
	at_resident_t resident = {.model = name(row->model)};
	at_engine_view_t view = {.name = name(row->name),
	    .data_centre = name(row->data_centre),
	    .residents = &resident,
	    .resident_count = 1,
	    .running = row->running,
	    .queued_prefill_tokens = row->prefill_tokens,
	    .report_at_ms = row->report_at_ms,
	    .incarnation = 1,
	    .is_leaving = row->is_leaving,
	    .is_suspected = row->is_suspected};

	cr_assert_eq(at_router_apply_report(router, &view), 0);
}

typedef struct case_row {
	const char *title;
	engine_row_t engines[3];
	uint32_t deadline_ms;
	const char *avoid;
	at_reason_t result;
	const char *chosen;
	at_route_choice_reason_t reason;
} case_row_t;

#define FRESH_MS (NOW_MS - 100)

static const case_row_t cases[] = {
    {"less loaded engine",
	{{"a", "here", "m", 1, 8000, FRESH_MS, 0, 0},
	    {"b", "here", "m", 1, 0, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "b", AT_ROUTE_LEAST_TIME},
    {"only an engine with the model",
	{{"a", "here", "m", 30, 9000, FRESH_MS, 0, 0},
	    {"b", "here", "x", 0, 0, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "a", AT_ROUTE_LEAST_TIME},
    {"no engine with the model", {{"b", "here", "x", 0, 0, FRESH_MS, 0, 0}}, 0,
	NULL, AT_REASON_NO_BACKEND, "", AT_ROUTE_LEAST_TIME},
    {"no leaving engine",
	{{"a", "here", "m", 0, 0, FRESH_MS, 1, 0},
	    {"b", "here", "m", 30, 9000, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "b", AT_ROUTE_LEAST_TIME},
    {"no suspected engine",
	{{"a", "here", "m", 0, 0, FRESH_MS, 0, 1},
	    {"b", "here", "m", 30, 9000, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "b", AT_ROUTE_LEAST_TIME},
    {"only leaving engines", {{"a", "here", "m", 0, 0, FRESH_MS, 1, 0}}, 0,
	NULL, AT_REASON_NO_BACKEND, "", AT_ROUTE_LEAST_TIME},
    {"own data centre first",
	{{"a", "here", "m", 1, 100, FRESH_MS, 0, 0},
	    {"b", "there", "m", 0, 0, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "a", AT_ROUTE_LEAST_TIME},
    {"overflow",
	{{"a", "here", "m", 1, 80000, FRESH_MS, 0, 0},
	    {"b", "there", "m", 0, 0, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "b", AT_ROUTE_OVERFLOW},
    {"no engine in own data centre",
	{{"b", "there", "m", 0, 0, FRESH_MS, 0, 0}}, 0, NULL, AT_REASON_NONE,
	"b", AT_ROUTE_OVERFLOW},
    {"not the engine tried before",
	{{"a", "here", "m", 0, 0, FRESH_MS, 0, 0},
	    {"b", "here", "m", 9, 900, FRESH_MS, 0, 0}},
	0, "a", AT_REASON_NONE, "b", AT_ROUTE_LEAST_TIME},
    {"the engine tried before when it is the only one",
	{{"a", "here", "m", 0, 0, FRESH_MS, 0, 0}}, 0, "a", AT_REASON_NONE, "a",
	AT_ROUTE_LEAST_TIME},
    {"deadline cannot be met", {{"a", "here", "m", 0, 80000, FRESH_MS, 0, 0}},
	340, NULL, AT_REASON_OVERLOAD, "a", AT_ROUTE_LEAST_TIME},
    {"a full batch waits",
	{{"a", "here", "m", 64, 0, FRESH_MS, 0, 0},
	    {"b", "here", "m", 2, 300, FRESH_MS, 0, 0}},
	0, NULL, AT_REASON_NONE, "b", AT_ROUTE_LEAST_TIME},
    {"stale reports", {{"a", "here", "m", 0, 0, 1, 0, 0}}, 0, NULL,
	AT_REASON_NONE, "a", AT_ROUTE_BEST_OF_TWO},
};

Test(router, chooses_best_engine)
{
	size_t i;
	size_t j;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		const case_row_t *c = &cases[i];
		at_router_t *router = router_new();
		at_name_t avoid;
		at_route_request_t request = {.target = "m",
		    .prompt_tokens = 100,
		    .deadline_ms = c->deadline_ms};
		at_route_choice_t choice;

		for (j = 0; j < 3 && c->engines[j].name != NULL; j++)
			report(router, &c->engines[j]);
		if (c->avoid != NULL) {
			avoid = name(c->avoid);
			request.avoid[0] = &avoid;
		}
		cr_assert_eq(
		    at_router_choose(router, &request, NOW_MS, &choice),
		    c->result, "%s", c->title);
		cr_assert_str_eq(choice.engine.text, c->chosen, "%s", c->title);
		cr_assert_eq(choice.reason, c->reason, "%s: %s", c->title,
		    at_route_choice_reason_names[choice.reason]);
		at_router_delete(router);
	}
}

Test(router, adds_requests_sent_since_the_report)
{
	at_router_t *router = router_new();
	const engine_row_t rows[] = {{"a", "here", "m", 0, 0, FRESH_MS, 0, 0},
	    {"b", "here", "m", 0, 0, FRESH_MS, 0, 0}};
	at_route_request_t request = {.target = "m", .prompt_tokens = 4000};
	at_route_choice_t first;
	at_route_choice_t second;
	engine_row_t newer;

	report(router, &rows[0]);
	report(router, &rows[1]);
	(void)at_router_choose(router, &request, NOW_MS, &first);
	at_router_note_sent(router, &request, &first, NOW_MS);
	(void)at_router_choose(router, &request, NOW_MS, &second);
	cr_assert_str_neq(first.engine.text, second.engine.text);
	/* A later report includes the request, which is not counted twice. */
	newer = rows[strcmp(first.engine.text, "a") == 0 ? 0 : 1];
	newer.report_at_ms = NOW_MS + 10;
	report(router, &newer);
	(void)at_router_choose(router, &request, NOW_MS + 20, &second);
	cr_assert_leq(second.predicted_ms, 501);
	at_router_delete(router);
}

Test(router, prefers_a_cached_prefix_until_load_outweighs_it)
{
	at_router_t *router = router_new();
	engine_row_t a = {"a", "here", "m", 0, 0, FRESH_MS, 0, 0};
	const engine_row_t b = {"b", "here", "m", 0, 0, FRESH_MS, 0, 0};
	char prompt[64 * 4 * 8];
	uint64_t hashes[AT_PREFIX_BLOCKS_MAX];
	at_route_request_t request = {.target = "m", .prompt_tokens = 600};
	at_route_choice_t first;
	at_route_choice_t again;

	memset(prompt, 'p', sizeof(prompt));
	request.prefix_hashes = hashes;
	request.prefix_count = at_prefix_compute_hashes(
	    "w", "m", prompt, sizeof(prompt), 4, hashes);
	cr_assert_eq(request.prefix_count, 8);
	report(router, &a);
	report(router, &b);
	(void)at_router_choose(router, &request, NOW_MS, &first);
	at_router_note_sent(router, &request, &first, NOW_MS);
	a.report_at_ms = NOW_MS + 1;
	report(router, &a);
	(void)at_router_choose(router, &request, NOW_MS + 2, &again);
	cr_assert_str_eq(again.engine.text, first.engine.text);
	cr_assert_eq(again.reason, AT_ROUTE_CACHED_PREFIX);
	cr_assert_eq(again.cached_tokens, 512);
	a.report_at_ms = NOW_MS + 3;
	a.prefill_tokens = 4000;
	report(router, &a);
	(void)at_router_choose(router, &request, NOW_MS + 4, &again);
	cr_assert_str_eq(again.engine.text, "b");
	/* Another workspace with the same prompt has no cached prefix. */
	(void)at_prefix_compute_hashes(
	    "v", "m", prompt, sizeof(prompt), 4, hashes);
	(void)at_router_choose(router, &request, NOW_MS + 4, &again);
	cr_assert_eq(again.cached_tokens, 0);
	at_router_delete(router);
}

static const char *
chosen(at_router_t *router, uint64_t now_ms, at_route_choice_t *choice)
{
	at_route_request_t request = {.target = "m", .prompt_tokens = 10};

	cr_assert_eq(
	    at_router_choose(router, &request, now_ms, choice), AT_REASON_NONE);
	return choice->engine.text;
}

Test(router, readmits_a_failed_engine_gradually)
{
	at_router_t *router = router_new();
	const engine_row_t a = {"a", "here", "m", 0, 0, FRESH_MS, 0, 0};
	const engine_row_t b = {"b", "here", "m", 20, 4000, FRESH_MS, 0, 0};
	at_route_request_t request = {.target = "m", .prompt_tokens = 10};
	at_route_choice_t choice;
	at_route_choice_t extra;
	int i;

	report(router, &a);
	report(router, &b);
	cr_assert_str_eq(chosen(router, NOW_MS, &choice), "a");
	at_router_note_sent(router, &request, &choice, NOW_MS);
	at_router_note_ended(router, &choice, 1, NOW_MS);
	cr_assert_str_eq(chosen(router, NOW_MS + 499, &extra), "b");
	cr_assert_str_eq(chosen(router, NOW_MS + 500, &choice), "a");
	cr_assert_eq(choice.reason, AT_ROUTE_PROBATION);
	at_router_note_sent(router, &request, &choice, NOW_MS + 500);
	/* One request at a time until the first success. */
	cr_assert_str_eq(chosen(router, NOW_MS + 501, &extra), "b");
	for (i = 0; i < 8; i++)
		at_router_note_ended(router, &choice, 0, NOW_MS + 600);
	cr_assert_str_eq(chosen(router, NOW_MS + 601, &extra), "a");
	cr_assert_neq(extra.reason, AT_ROUTE_PROBATION);
	cr_assert_eq(at_router_outstanding(router, &choice.engine), 0);
	at_router_delete(router);
}

Test(router, chooses_a_suspected_engine_without_an_alternative)
{
	at_router_t *router = router_new();
	const engine_row_t a = {"a", "here", "m", 0, 0, FRESH_MS, 0, 1};
	const engine_row_t left = {"a", "here", "m", 0, 0, FRESH_MS + 1, 1, 1};
	at_route_request_t request = {.target = "m"};
	at_route_choice_t choice;

	report(router, &a);
	cr_assert_str_eq(chosen(router, NOW_MS, &choice), "a");
	cr_assert_eq(choice.reason, AT_ROUTE_PROBATION);
	report(router, &left);
	cr_assert_eq(at_router_choose(router, &request, NOW_MS, &choice),
	    AT_REASON_NO_BACKEND);
	at_router_delete(router);
}

Test(router, adapts_to_an_engine_slower_than_predicted)
{
	at_router_t *router = router_new();
	const engine_row_t rows[] = {{"a", "here", "m", 0, 0, FRESH_MS, 0, 0},
	    {"b", "here", "m", 0, 0, FRESH_MS, 0, 0}};
	at_route_request_t request = {.target = "m", .prompt_tokens = 800};
	at_route_choice_t choice = {.engine = name("a"), .predicted_ms = 100};
	int i;

	report(router, &rows[0]);
	report(router, &rows[1]);
	for (i = 0; i < 20; i++)
		at_router_note_first_token(router, &choice, 400);
	(void)at_router_choose(router, &request, NOW_MS, &choice);
	cr_assert_str_eq(choice.engine.text, "b");
	at_router_delete(router);
}
