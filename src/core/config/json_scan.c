#include "almondthread/json_scan.h"

#include <string.h>

static int
is_space(char c)
{
	return c == ' ' || c == '\t' || c == '\n' || c == '\r';
}

static const char *
skip_spaces(const char *at, const char *end)
{
	while (at < end && is_space(*at))
		at++;
	return at;
}

/* Returns what follows a string that begins at at, or NULL without its end. */
static const char *
skip_string(const char *at, const char *end)
{
	const char *quote;
	const char *escape;

	for (at++; at < end; at = escape + 2) {
		quote = memchr(at, '"', (size_t)(end - at));
		if (quote == NULL)
			return NULL;
		escape = memchr(at, '\\', (size_t)(quote - at));
		if (escape == NULL)
			return quote + 1;
	}
	return NULL;
}

/* The same for an object or array, whose brackets are counted only. */
static const char *
skip_container(const char *at, const char *end)
{
	size_t depth = 0;

	while (at < end) {
		switch (*at) {
		case '"':
			at = skip_string(at, end);
			if (at == NULL)
				return NULL;
			continue;
		case '{':
		case '[':
			depth++;
			break;
		case '}':
		case ']':
			if (--depth == 0)
				return at + 1;
			break;
		default:
			break;
		}
		at++;
	}
	return NULL;
}

/* A number or a word ends at a separator, or with the text. */
static const char *
skip_word(const char *at, const char *end)
{
	while (at < end && !is_space(*at) && *at != ',' && *at != '}' &&
	       *at != ']')
		at++;
	return at;
}

static const char *
skip_value(const char *at, const char *end)
{
	if (at < end && *at == '"')
		return skip_string(at, end);
	if (at < end && (*at == '{' || *at == '['))
		return skip_container(at, end);
	return skip_word(at, end);
}

int
at_json_scan_init(at_json_scan_t *scan, at_json_span_t value)
{
	const char *end = value.text == NULL ? NULL : value.text + value.len;
	const char *at =
	    value.text == NULL ? NULL : skip_spaces(value.text, end);

	if (at == end || (*at != '{' && *at != '['))
		return -1;
	scan->close = *at == '{' ? '}' : ']';
	scan->at = at + 1;
	scan->end = end;
	scan->is_first = 1;
	return 0;
}

/* Finds a member's name and the colon after it; returns 0, or -1 without. */
static int
scan_key(at_json_scan_t *scan, at_json_span_t *key)
{
	const char *begin = scan->at;
	const char *end;

	if (begin == scan->end || *begin != '"')
		return -1;
	end = skip_string(begin, scan->end);
	if (end == NULL)
		return -1;
	if (key != NULL) {
		key->text = begin + 1;
		key->len = (size_t)(end - begin) - 2;
	}
	scan->at = skip_spaces(end, scan->end);
	if (scan->at == scan->end || *scan->at != ':')
		return -1;
	scan->at = skip_spaces(scan->at + 1, scan->end);
	return 0;
}

/* After a fault there is nothing more to find. */
static int
fail(at_json_scan_t *scan)
{
	scan->at = scan->end;
	return -1;
}

int
at_json_scan_next(
    at_json_scan_t *scan, at_json_span_t *key, at_json_span_t *value)
{
	const at_json_span_t none = {NULL, 0};
	const char *end;

	if (key != NULL)
		*key = none;
	scan->at = skip_spaces(scan->at, scan->end);
	if (scan->at == scan->end)
		return -1;
	if (*scan->at == scan->close)
		return 0;
	if (!scan->is_first) {
		if (*scan->at != ',')
			return fail(scan);
		scan->at = skip_spaces(scan->at + 1, scan->end);
	}
	scan->is_first = 0;
	if (scan->close == '}' && scan_key(scan, key) != 0)
		return fail(scan);
	value->text = scan->at;
	end = skip_value(scan->at, scan->end);
	if (end == NULL || end == scan->at)
		return fail(scan);
	value->len = (size_t)(end - value->text);
	scan->at = end;
	return 1;
}

at_json_span_t
at_json_scan_member(at_json_span_t object, const char *name)
{
	at_json_span_t value = {NULL, 0};
	at_json_span_t key;
	at_json_scan_t scan;
	size_t len = strlen(name);

	if (at_json_scan_init(&scan, object) != 0 || scan.close != '}')
		return value;
	while (at_json_scan_next(&scan, &key, &value) == 1) {
		if (key.len == len && memcmp(key.text, name, len) == 0)
			return value;
	}
	return (at_json_span_t){NULL, 0};
}
