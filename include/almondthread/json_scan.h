/*
 * json_scan.h - finds the members of a JSON object and the elements of an array
 * in its text, without reading what is in them.
 *
 * One value that a JSON library refuses (too deeply nested, a number out of
 * range, bytes that are not UTF-8) does not make the others unreadable, and a
 * value can be passed on or compared as it was written. The scanner neither
 * recurses nor allocates. It does not check values: whoever uses one parses it.
 */
#ifndef ALMONDTHREAD_JSON_SCAN_H
#define ALMONDTHREAD_JSON_SCAN_H

#include <stddef.h>

/* A part of a text, which it borrows. text is NULL for none. */
typedef struct at_json_span {
	const char *text;
	size_t len;
} at_json_span_t;

/* The progress through one object or array. */
typedef struct at_json_scan {
	const char *at;
	const char *end;
	char close; /* '}' or ']' */
	int is_first;
} at_json_scan_t;

/*
 * at_json_scan_init() begins with the first member or element of value. Returns
 * 0, or -1 if value is neither an object nor an array.
 */
int at_json_scan_init(at_json_scan_t *scan, at_json_span_t value);
/*
 * at_json_scan_next() finds the next member or element. Returns 1, 0 at the
 * end, or -1 if the text is not JSON. key is a member's name as it is written,
 * without its quotes; key may be NULL, and is set to none for an element.
 */
int at_json_scan_next(
    at_json_scan_t *scan, at_json_span_t *key, at_json_span_t *value);
/*
 * at_json_scan_member() returns the first member of an object with a name that
 * is written without escapes, or none if there is no such member before the end
 * of what can be read.
 */
at_json_span_t at_json_scan_member(at_json_span_t object, const char *name);

#endif
