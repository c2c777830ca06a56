/*
 * Answers: what is passed on and what is found wrong, the same for bytes
 * that come at once and one by one.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/response.h"

#define OURS "data: {\"id\":\"r1-0\"}\n\n"
#define PREFIXED "data: {\"id\":\"chatcmpl-r1-0\"}\n\n"
#define FOREIGN "data: {\"id\":\"r2-0\"}\n\n"
#define DONE "data: [DONE]\n\n"

typedef struct case_row {
	at_response_kind_t kind;
	const char *bytes;
	const char *passed;
	at_reason_t reason;
} case_row_t;

static const case_row_t cases[] = {
    {AT_RESPONSE_EVENTS, OURS OURS DONE, OURS OURS DONE, AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, PREFIXED DONE, PREFIXED DONE, AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, ": wait\n\n" OURS DONE "\n",
	": wait\n\n" OURS DONE "\n", AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, "data: {\"id\":\"r1-0\"}\r\n\r\ndata: [DONE]\r\n\r\n",
	"data: {\"id\":\"r1-0\"}\r\n\r\ndata: [DONE]\r\n\r\n", AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, OURS, OURS, AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, OURS "data: {\"id\":\"r1-", OURS, AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, OURS "data: [DONE]\n", OURS, AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, "", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, "data: x\n\n" DONE, "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, FOREIGN DONE, "", AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, OURS FOREIGN DONE, OURS, AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, "data: {}\n\n" DONE, "", AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, OURS DONE FOREIGN, OURS, AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-0\"}", "{\"id\":\"r1-0\"}",
	AT_REASON_NONE},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-1\"}", "", AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":7}", "", AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-0\"", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_JSON, "", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_BUFFERED, "anything", "anything", AT_REASON_NONE},
    {AT_RESPONSE_STREAMED, "anything", "anything", AT_REASON_NONE},
};

typedef struct sunk {
	char text[512];
	size_t len;
	size_t total;
} sunk_t;

static void
sink(void *ctx, const char *data, size_t len)
{
	sunk_t *s = ctx;

	s->total += len;
	if (s->len + len >= sizeof(s->text))
		return;
	memcpy(s->text + s->len, data, len);
	s->len += len;
	s->text[s->len] = '\0';
}

static at_response_t *
begin(at_response_kind_t kind, sunk_t *s)
{
	at_response_t *answer = at_response_new();

	memset(s, 0, sizeof(*s));
	at_response_set_sink(answer, sink, s);
	cr_assert_eq(at_response_init(answer, kind, "r1-0"), 0);
	return answer;
}

static void
run_case(size_t i, size_t step)
{
	const case_row_t *c = &cases[i];
	size_t len = strlen(c->bytes);
	size_t at;
	at_reason_t reason = AT_REASON_NONE;
	sunk_t s;
	at_response_t *answer = begin(c->kind, &s);

	for (at = 0; at < len && reason == AT_REASON_NONE; at += step)
		reason = at_response_feed(
		    answer, c->bytes + at, len - at < step ? len - at : step);
	if (reason == AT_REASON_NONE)
		reason = at_response_end(answer);
	cr_assert_eq(reason, c->reason, "case %zu step %zu: %s", i, step,
	    at_reason_names[reason]);
	cr_assert_str_eq(s.text, c->passed, "case %zu step %zu", i, step);
	at_response_delete(answer);
}

Test(answer, passes_on_only_what_is_ours)
{
	size_t i;
	size_t step;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (step = 1; step <= 512; step *= 2)
			run_case(i, step);
	}
}

typedef struct bound_row {
	at_response_kind_t kind;
	size_t held_max;
	at_reason_t reason; /* once the bound is passed */
	int passed;         /* the bytes come out instead */
} bound_row_t;

static const bound_row_t bounds[] = {
    {AT_RESPONSE_EVENTS, AT_RESPONSE_EVENT_MAX_BYTES, AT_REASON_TRUNCATED, 0},
    {AT_RESPONSE_JSON, AT_RESPONSE_BUFFER_MAX_BYTES, AT_REASON_TRUNCATED, 0},
    {AT_RESPONSE_BUFFERED, AT_RESPONSE_BUFFER_MAX_BYTES, AT_REASON_NONE, 1},
};

Test(answer, holds_no_more_than_stated)
{
	static char block[4096];
	size_t i;

	memset(block, 'x', sizeof(block));
	for (i = 0; i < sizeof(bounds) / sizeof(bounds[0]); i++) {
		const bound_row_t *b = &bounds[i];
		at_reason_t reason = AT_REASON_NONE;
		sunk_t s;
		at_response_t *answer = begin(b->kind, &s);

		while (at_response_buffered_bytes(answer) + sizeof(block) <=
		       b->held_max) {
			reason = at_response_feed(answer, block, sizeof(block));
			cr_assert_eq(reason, AT_REASON_NONE);
		}
		reason = at_response_feed(answer, block, sizeof(block));
		cr_assert_eq(reason, b->reason, "case %zu", i);
		cr_assert_eq(s.total > 0, b->passed, "case %zu", i);
		at_response_delete(answer);
	}
}
