#include "almondthread/response.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define DATA_FIELD "data:"
#define END_MARK "[DONE]"
#define ID_FIELD "{\"id\":\""
#define GROWTH_MIN_BYTES 1024u /* smallest growth of the buffer */

const char *const at_response_kind_names[] = {
    "json", "events", "held", "passed"};

struct at_response {
	at_response_kind_t kind;
	char *id;
	at_response_sink_t sink;
	void *sink_ctx;
	char *buffer;
	size_t len;
	size_t size;
	size_t scanned; /* bytes of the buffer in which no event ends */
	int is_done;    /* the end mark is in the buffer */
	at_reason_t fault;
	char *prefix; /* start of a checked event, including its id */
	size_t prefix_len;
};

at_response_t *
at_response_new(void)
{
	return calloc(1, sizeof(at_response_t));
}

void
at_response_delete(at_response_t *response)
{
	if (response == NULL)
		return;
	free(response->id);
	free(response->prefix);
	free(response->buffer);
	free(response);
}

void
at_response_set_sink(
    at_response_t *response, at_response_sink_t sink, void *ctx)
{
	response->sink = sink;
	response->sink_ctx = ctx;
}

int
at_response_init(
    at_response_t *response, at_response_kind_t kind, const char *id)
{
	response->kind = kind;
	if (id == NULL || id[0] == '\0')
		return 0;
	response->id = strdup(id);
	return response->id == NULL ? -1 : 0;
}

size_t
at_response_buffered_bytes(const at_response_t *response)
{
	return response->len;
}

static void
deliver(at_response_t *response, const char *data, size_t len)
{
	if (len > 0)
		response->sink(response->sink_ctx, data, len);
}

static int
append(at_response_t *response, const char *data, size_t len)
{
	size_t need = response->len + len;

	if (need > response->size) {
		size_t size = need + need / 2 + GROWTH_MIN_BYTES;
		char *buffer = realloc(response->buffer, size);

		if (buffer == NULL)
			return -1;
		response->buffer = buffer;
		response->size = size;
	}
	memcpy(response->buffer + response->len, data, len);
	response->len = need;
	return 0;
}

/* Discards the first len bytes of the buffer. */
static void
discard(at_response_t *response, size_t len)
{
	memmove(response->buffer, response->buffer + len, response->len - len);
	response->len -= len;
	response->scanned = 0;
}

/* Returns whether the object has the expected id or none is expected. */
static int
has_expected_id(const at_response_t *response, json_t *object)
{
	const char *id = json_string_value(json_object_get(object, "id"));
	size_t expected_len;
	size_t len;

	if (response->id == NULL)
		return 1;
	if (id == NULL)
		return 0;
	expected_len = strlen(response->id);
	len = strlen(id);
	return len >= expected_len &&
	       strcmp(id + len - expected_len, response->id) == 0;
}

static at_reason_t
check_object(const at_response_t *response, const char *data, size_t len)
{
	json_t *object = json_loadb(data, len, 0, NULL);
	at_reason_t fault = AT_REASON_NONE;

	if (!json_is_object(object))
		fault = AT_REASON_TRUNCATED;
	else if (!has_expected_id(response, object))
		fault = AT_REASON_CROSSED;
	json_decref(object);
	return fault;
}

/*
 * Engines begin each event of a stream with the same bytes. After one event
 * was parsed and its id matched, a further event that begins with the same
 * bytes, including the id, and ends an object is not parsed.
 */
static void
store_prefix(at_response_t *response, const char *data, size_t len)
{
	const size_t field_len = strlen(ID_FIELD);
	const char *quote;

	if (len <= field_len || memcmp(data, ID_FIELD, field_len) != 0)
		return;
	quote = memchr(data + field_len, '"', len - field_len);
	if (quote == NULL || memchr(data, '\\', (size_t)(quote - data)) != NULL)
		return;
	response->prefix_len = (size_t)(quote - data) + 1;
	response->prefix = malloc(response->prefix_len);
	if (response->prefix != NULL)
		memcpy(response->prefix, data, response->prefix_len);
}

static int
has_known_prefix(const at_response_t *response, const char *data, size_t len)
{
	return response->prefix != NULL && len > response->prefix_len &&
	       memcmp(data, response->prefix, response->prefix_len) == 0 &&
	       data[len - 1] == '}';
}

/* Checks the payload of one field "data". */
static at_reason_t
check_data(at_response_t *response, const char *data, size_t len)
{
	at_reason_t fault;

	while (len > 0 && *data == ' ') {
		data++;
		len--;
	}
	if (response->is_done)
		return AT_REASON_CROSSED;
	if (len == strlen(END_MARK) && memcmp(data, END_MARK, len) == 0) {
		response->is_done = 1;
		return AT_REASON_NONE;
	}
	if (has_known_prefix(response, data, len))
		return AT_REASON_NONE;
	fault = check_object(response, data, len);
	if (fault == AT_REASON_NONE && response->prefix == NULL)
		store_prefix(response, data, len);
	return fault;
}

/* Checks the lines of one event. Comments and other fields are not checked. */
static at_reason_t
check_event(at_response_t *response, const char *event, size_t len)
{
	const size_t field_len = strlen(DATA_FIELD);
	const char *end = event + len;
	at_reason_t fault = AT_REASON_NONE;

	while (event < end && fault == AT_REASON_NONE) {
		const char *newline =
		    memchr(event, '\n', (size_t)(end - event));
		const char *line_end = newline == NULL ? end : newline;
		size_t line_len = (size_t)(line_end - event);

		if (line_len > 0 && event[line_len - 1] == '\r')
			line_len--;
		if (line_len >= field_len &&
		    memcmp(event, DATA_FIELD, field_len) == 0)
			fault = check_data(
			    response, event + field_len, line_len - field_len);
		event = line_end + 1;
	}
	return fault;
}

/* Returns the length of the first complete event, or 0. */
static size_t
event_length(at_response_t *response)
{
	size_t i;

	for (i = response->scanned; i + 1 < response->len; i++) {
		if (response->buffer[i] != '\n')
			continue;
		if (response->buffer[i + 1] == '\n')
			return i + 2;
		if (i + 2 < response->len && response->buffer[i + 1] == '\r' &&
		    response->buffer[i + 2] == '\n')
			return i + 3;
	}
	response->scanned = response->len < 2 ? 0 : response->len - 2;
	return 0;
}

/* Passes on the complete events with this id; the end mark stays buffered. */
static at_reason_t
feed_events(at_response_t *response)
{
	size_t checked = 0;
	at_reason_t fault = AT_REASON_NONE;
	at_response_t unchecked = *response;

	/* Events are checked in place and passed on together. */
	while (fault == AT_REASON_NONE && !response->is_done) {
		size_t len = event_length(&unchecked);

		if (len == 0)
			break;
		fault = check_event(response, unchecked.buffer, len);
		if (fault != AT_REASON_NONE || response->is_done)
			break;
		checked += len;
		unchecked.buffer += len;
		unchecked.len -= len;
		unchecked.scanned = 0;
	}
	deliver(response, response->buffer, checked);
	if (checked > 0)
		discard(response, checked);
	response->scanned = unchecked.scanned;
	if (fault == AT_REASON_NONE &&
	    response->len > AT_RESPONSE_EVENT_MAX_BYTES)
		return AT_REASON_TRUNCATED;
	return fault;
}

static at_reason_t
feed_buffered(at_response_t *response)
{
	if (response->len <= AT_RESPONSE_BUFFER_MAX_BYTES)
		return AT_REASON_NONE;
	if (response->kind == AT_RESPONSE_JSON)
		return AT_REASON_TRUNCATED;
	response->kind = AT_RESPONSE_STREAMED;
	deliver(response, response->buffer, response->len);
	response->len = 0;
	return AT_REASON_NONE;
}

at_reason_t
at_response_feed(at_response_t *response, const char *data, size_t len)
{
	if (response->fault != AT_REASON_NONE)
		return response->fault;
	if (response->kind == AT_RESPONSE_STREAMED) {
		deliver(response, data, len);
		return AT_REASON_NONE;
	}
	if (append(response, data, len) != 0)
		response->fault = AT_REASON_INTERNAL;
	else if (response->kind == AT_RESPONSE_EVENTS)
		response->fault = feed_events(response);
	else
		response->fault = feed_buffered(response);
	return response->fault;
}

/* Checks the end of a stream: only empty lines may follow the end mark. */
static at_reason_t
end_events(at_response_t *response)
{
	size_t len;

	/* The end mark is the only complete event that stays buffered. */
	response->scanned = 0;
	len = event_length(response);
	if (len == 0)
		return AT_REASON_TRUNCATED;
	for (; len < response->len; len++) {
		if (response->buffer[len] != '\n' &&
		    response->buffer[len] != '\r')
			return AT_REASON_CROSSED;
	}
	return AT_REASON_NONE;
}

at_reason_t
at_response_end(at_response_t *response)
{
	if (response->fault != AT_REASON_NONE)
		return response->fault;
	if (response->kind == AT_RESPONSE_EVENTS)
		response->fault = end_events(response);
	else if (response->kind == AT_RESPONSE_JSON)
		response->fault =
		    check_object(response, response->buffer, response->len);
	if (response->fault == AT_REASON_NONE)
		deliver(response, response->buffer, response->len);
	return response->fault;
}
