/*
 * Validation of responses: the bytes passed on and the fault found, which do
 * not depend on how the bytes are divided into calls.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/response.h"

#define OWN_EVENT "data: {\"id\":\"r1-0\"}\n\n"
#define PREFIXED_EVENT "data: {\"id\":\"chatcmpl-r1-0\"}\n\n"
#define FOREIGN_EVENT "data: {\"id\":\"r2-0\"}\n\n"
#define END_EVENT "data: [DONE]\n\n"

typedef struct case_row {
	at_response_kind_t kind;
	const char *bytes;
	const char *passed;
	at_reason_t reason;
} case_row_t;

static const case_row_t cases[] = {
    {AT_RESPONSE_EVENTS, OWN_EVENT OWN_EVENT END_EVENT,
	OWN_EVENT OWN_EVENT END_EVENT, AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, PREFIXED_EVENT END_EVENT, PREFIXED_EVENT END_EVENT,
	AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, ": wait\n\n" OWN_EVENT END_EVENT "\n",
	": wait\n\n" OWN_EVENT END_EVENT "\n", AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, "data: {\"id\":\"r1-0\"}\r\n\r\ndata: [DONE]\r\n\r\n",
	"data: {\"id\":\"r1-0\"}\r\n\r\ndata: [DONE]\r\n\r\n", AT_REASON_NONE},
    {AT_RESPONSE_EVENTS, OWN_EVENT, OWN_EVENT, AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, OWN_EVENT "data: {\"id\":\"r1-", OWN_EVENT,
	AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, OWN_EVENT "data: [DONE]\n", OWN_EVENT,
	AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, "", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, "data: x\n\n" END_EVENT, "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_EVENTS, FOREIGN_EVENT END_EVENT, "", AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, OWN_EVENT FOREIGN_EVENT END_EVENT, OWN_EVENT,
	AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, "data: {}\n\n" END_EVENT, "", AT_REASON_CROSSED},
    {AT_RESPONSE_EVENTS, OWN_EVENT END_EVENT FOREIGN_EVENT, OWN_EVENT,
	AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-0\"}", "{\"id\":\"r1-0\"}",
	AT_REASON_NONE},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-1\"}", "", AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":7}", "", AT_REASON_CROSSED},
    {AT_RESPONSE_JSON, "{\"id\":\"r1-0\"", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_JSON, "", "", AT_REASON_TRUNCATED},
    {AT_RESPONSE_BUFFERED, "anything", "anything", AT_REASON_NONE},
    {AT_RESPONSE_STREAMED, "anything", "anything", AT_REASON_NONE},
};

typedef struct output {
	char text[512];
	size_t len;
	size_t total;
} output_t;

static void
append(void *ctx, const char *data, size_t len)
{
	output_t *output = ctx;

	output->total += len;
	if (output->len + len >= sizeof(output->text))
		return;
	memcpy(output->text + output->len, data, len);
	output->len += len;
	output->text[output->len] = '\0';
}

static at_response_t *
new_response(at_response_kind_t kind, output_t *output)
{
	at_response_t *response = at_response_new();

	memset(output, 0, sizeof(*output));
	at_response_set_sink(response, append, output);
	cr_assert_eq(at_response_init(response, kind, "r1-0"), 0);
	return response;
}

static void
run_case(size_t i, size_t step)
{
	const case_row_t *c = &cases[i];
	size_t len = strlen(c->bytes);
	size_t at;
	at_reason_t reason = AT_REASON_NONE;
	output_t output;
	at_response_t *response = new_response(c->kind, &output);

	for (at = 0; at < len && reason == AT_REASON_NONE; at += step)
		reason = at_response_feed(
		    response, c->bytes + at, len - at < step ? len - at : step);
	if (reason == AT_REASON_NONE)
		reason = at_response_end(response);
	cr_assert_eq(reason, c->reason, "case %zu step %zu: %s", i, step,
	    at_reason_names[reason]);
	cr_assert_str_eq(output.text, c->passed, "case %zu step %zu", i, step);
	at_response_delete(response);
}

Test(response, passes_on_only_its_own_events)
{
	size_t i;
	size_t step;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		for (step = 1; step <= 512; step *= 2)
			run_case(i, step);
	}
}

typedef struct limit_row {
	at_response_kind_t kind;
	size_t max_bytes;
	at_reason_t reason; /* when the limit is exceeded */
	int is_passed;      /* the bytes are passed on instead */
} limit_row_t;

static const limit_row_t limits[] = {
    {AT_RESPONSE_EVENTS, AT_RESPONSE_EVENT_MAX_BYTES, AT_REASON_TRUNCATED, 0},
    {AT_RESPONSE_JSON, AT_RESPONSE_BUFFER_MAX_BYTES, AT_REASON_TRUNCATED, 0},
    {AT_RESPONSE_BUFFERED, AT_RESPONSE_BUFFER_MAX_BYTES, AT_REASON_NONE, 1},
};

Test(response, limits_the_buffered_bytes)
{
	static char block[4096];
	size_t i;

	memset(block, 'x', sizeof(block));
	for (i = 0; i < sizeof(limits) / sizeof(limits[0]); i++) {
		const limit_row_t *limit = &limits[i];
		at_reason_t reason = AT_REASON_NONE;
		output_t output;
		at_response_t *response = new_response(limit->kind, &output);

		while (at_response_buffered_bytes(response) + sizeof(block) <=
		       limit->max_bytes) {
			reason =
			    at_response_feed(response, block, sizeof(block));
			cr_assert_eq(reason, AT_REASON_NONE);
		}
		reason = at_response_feed(response, block, sizeof(block));
		cr_assert_eq(reason, limit->reason, "case %zu", i);
		cr_assert_eq(output.total > 0, limit->is_passed, "case %zu", i);
		at_response_delete(response);
	}
}
