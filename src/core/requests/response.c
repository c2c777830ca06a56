#include "almondthread/response.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define DATA_FIELD "data:"
#define DONE_MARK "[DONE]"
#define ID_FIELD "{\"id\":\""
#define GROWTH 1024u /* bytes a buffer grows by at least */

const char *const at_response_kind_names[] = {
    "json", "events", "held", "passed"};

struct at_response {
	at_response_kind_t kind;
	char *id;
	at_response_sink_t sink;
	void *sink_ctx;
	char *held;
	size_t len;
	size_t size;
	size_t scanned; /* held bytes known to end no event */
	int done;       /* the end mark is held */
	at_reason_t fault;
	char *lead; /* how an event of ours began, through its id */
	size_t lead_len;
};

at_response_t *
at_response_new(void)
{
	return calloc(1, sizeof(at_response_t));
}

void
at_response_delete(at_response_t *answer)
{
	if (answer == NULL)
		return;
	free(answer->id);
	free(answer->lead);
	free(answer->held);
	free(answer);
}

void
at_response_set_sink(at_response_t *answer, at_response_sink_t sink, void *ctx)
{
	answer->sink = sink;
	answer->sink_ctx = ctx;
}

int
at_response_init(at_response_t *answer, at_response_kind_t kind, const char *id)
{
	answer->kind = kind;
	if (id == NULL || id[0] == '\0')
		return 0;
	answer->id = strdup(id);
	return answer->id == NULL ? -1 : 0;
}

size_t
at_response_buffered_bytes(const at_response_t *answer)
{
	return answer->len;
}

static void
pass(at_response_t *answer, const char *data, size_t len)
{
	if (len > 0)
		answer->sink(answer->sink_ctx, data, len);
}

static int
hold(at_response_t *answer, const char *data, size_t len)
{
	size_t need = answer->len + len;

	if (need > answer->size) {
		size_t size = need + need / 2 + GROWTH;
		char *grown = realloc(answer->held, size);

		if (grown == NULL)
			return -1;
		answer->held = grown;
		answer->size = size;
	}
	memcpy(answer->held + answer->len, data, len);
	answer->len = need;
	return 0;
}

/* Drops the first len held bytes. */
static void
drop(at_response_t *answer, size_t len)
{
	memmove(answer->held, answer->held + len, answer->len - len);
	answer->len -= len;
	answer->scanned = 0;
}

static int
is_ours(const at_response_t *answer, json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "id"));
	size_t own_len;
	size_t len;

	if (answer->id == NULL)
		return 1;
	if (id == NULL)
		return 0;
	own_len = strlen(answer->id);
	len = strlen(id);
	return len >= own_len && strcmp(id + len - own_len, answer->id) == 0;
}

static at_reason_t
check_object(const at_response_t *answer, const char *data, size_t len)
{
	json_t *object = json_loadb(data, len, 0, NULL);
	at_reason_t fault = AT_REASON_NONE;

	if (!json_is_object(object))
		fault = AT_REASON_TRUNCATED;
	else if (!is_ours(answer, object))
		fault = AT_REASON_CROSSED;
	json_decref(object);
	return fault;
}

/*
 * Engines begin each event of a stream alike. Once one was read whole and is
 * ours, another that begins with the same bytes, its id among them, and ends
 * an object needs no reading.
 */
static void
learn_lead(at_response_t *answer, const char *data, size_t len)
{
	const size_t open_len = strlen(ID_FIELD);
	const char *quote;

	if (len <= open_len || memcmp(data, ID_FIELD, open_len) != 0)
		return;
	quote = memchr(data + open_len, '"', len - open_len);
	if (quote == NULL || memchr(data, '\\', (size_t)(quote - data)) != NULL)
		return;
	answer->lead_len = (size_t)(quote - data) + 1;
	answer->lead = malloc(answer->lead_len);
	if (answer->lead != NULL)
		memcpy(answer->lead, data, answer->lead_len);
}

static int
begins_alike(const at_response_t *answer, const char *data, size_t len)
{
	return answer->lead != NULL && len > answer->lead_len &&
	       memcmp(data, answer->lead, answer->lead_len) == 0 &&
	       data[len - 1] == '}';
}

/* Checks the payload of one field "data". */
static at_reason_t
check_data(at_response_t *answer, const char *data, size_t len)
{
	at_reason_t fault;

	while (len > 0 && *data == ' ') {
		data++;
		len--;
	}
	if (answer->done)
		return AT_REASON_CROSSED;
	if (len == strlen(DONE_MARK) && memcmp(data, DONE_MARK, len) == 0) {
		answer->done = 1;
		return AT_REASON_NONE;
	}
	if (begins_alike(answer, data, len))
		return AT_REASON_NONE;
	fault = check_object(answer, data, len);
	if (fault == AT_REASON_NONE && answer->lead == NULL)
		learn_lead(answer, data, len);
	return fault;
}

/* Checks the lines of one event. Comments and other fields are free. */
static at_reason_t
check_event(at_response_t *answer, const char *event, size_t len)
{
	const size_t field_len = strlen(DATA_FIELD);
	const char *end = event + len;
	at_reason_t fault = AT_REASON_NONE;

	while (event < end && fault == AT_REASON_NONE) {
		const char *newline =
		    memchr(event, '\n', (size_t)(end - event));
		const char *stop = newline == NULL ? end : newline;
		size_t line_len = (size_t)(stop - event);

		if (line_len > 0 && event[line_len - 1] == '\r')
			line_len--;
		if (line_len >= field_len &&
		    memcmp(event, DATA_FIELD, field_len) == 0)
			fault = check_data(
			    answer, event + field_len, line_len - field_len);
		event = stop + 1;
	}
	return fault;
}

/* Returns the length of the first whole event, or 0. */
static size_t
event_length(at_response_t *answer)
{
	size_t i;

	for (i = answer->scanned; i + 1 < answer->len; i++) {
		if (answer->held[i] != '\n')
			continue;
		if (answer->held[i + 1] == '\n')
			return i + 2;
		if (i + 2 < answer->len && answer->held[i + 1] == '\r' &&
		    answer->held[i + 2] == '\n')
			return i + 3;
	}
	answer->scanned = answer->len < 2 ? 0 : answer->len - 2;
	return 0;
}

/* Passes on the whole events that are ours; the end mark stays held. */
static at_reason_t
feed_events(at_response_t *answer)
{
	size_t proved = 0;
	at_reason_t fault = AT_REASON_NONE;
	at_response_t rest = *answer;

	/* Events are looked at in place and passed on together. */
	while (fault == AT_REASON_NONE && !answer->done) {
		size_t len = event_length(&rest);

		if (len == 0)
			break;
		fault = check_event(answer, rest.held, len);
		if (fault != AT_REASON_NONE || answer->done)
			break;
		proved += len;
		rest.held += len;
		rest.len -= len;
		rest.scanned = 0;
	}
	pass(answer, answer->held, proved);
	if (proved > 0)
		drop(answer, proved);
	answer->scanned = rest.scanned;
	if (fault == AT_REASON_NONE &&
	    answer->len > AT_RESPONSE_EVENT_MAX_BYTES)
		return AT_REASON_TRUNCATED;
	return fault;
}

static at_reason_t
feed_held(at_response_t *answer)
{
	if (answer->len <= AT_RESPONSE_BUFFER_MAX_BYTES)
		return AT_REASON_NONE;
	if (answer->kind == AT_RESPONSE_JSON)
		return AT_REASON_TRUNCATED;
	answer->kind = AT_RESPONSE_STREAMED;
	pass(answer, answer->held, answer->len);
	answer->len = 0;
	return AT_REASON_NONE;
}

at_reason_t
at_response_feed(at_response_t *answer, const char *data, size_t len)
{
	if (answer->fault != AT_REASON_NONE)
		return answer->fault;
	if (answer->kind == AT_RESPONSE_STREAMED) {
		pass(answer, data, len);
		return AT_REASON_NONE;
	}
	if (hold(answer, data, len) != 0)
		answer->fault = AT_REASON_INTERNAL;
	else if (answer->kind == AT_RESPONSE_EVENTS)
		answer->fault = feed_events(answer);
	else
		answer->fault = feed_held(answer);
	return answer->fault;
}

/* What stands after the end mark may only be empty lines. */
static at_reason_t
end_events(at_response_t *answer)
{
	size_t len;

	/* The only whole event that stays held is the end mark. */
	answer->scanned = 0;
	len = event_length(answer);
	if (len == 0)
		return AT_REASON_TRUNCATED;
	for (; len < answer->len; len++) {
		if (answer->held[len] != '\n' && answer->held[len] != '\r')
			return AT_REASON_CROSSED;
	}
	return AT_REASON_NONE;
}

at_reason_t
at_response_end(at_response_t *answer)
{
	if (answer->fault != AT_REASON_NONE)
		return answer->fault;
	if (answer->kind == AT_RESPONSE_EVENTS)
		answer->fault = end_events(answer);
	else if (answer->kind == AT_RESPONSE_JSON)
		answer->fault = check_object(answer, answer->held, answer->len);
	if (answer->fault == AT_REASON_NONE)
		pass(answer, answer->held, answer->len);
	return answer->fault;
}
