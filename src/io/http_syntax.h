/*
 * http_syntax.h - parts of the syntax of HTTP/1.1 (RFC 9110, RFC 9112) that the
 * libraries do not check.
 */
#ifndef ALMONDTHREAD_IO_HTTP_SYNTAX_H
#define ALMONDTHREAD_IO_HTTP_SYNTAX_H

#include <stddef.h>
#include <stdint.h>

/* A method or a header's name: one character at least, no separators. */
int http_is_token(const char *text, size_t len);
/* A header's value: no control characters but tabs. */
int http_is_field_value(const char *text, size_t len);
/* A status: 100 to 599 (RFC 9110, section 15). */
int http_is_status(int status);

/* The head of a response, line by line; zeroed before its status line. */
typedef struct http_head {
	uint32_t lines;
	int status;
	int is_version_1_0;
	int has_length;
	uint64_t length;
	int has_coding;
} http_head_t;

/*
 * http_head_add_line() checks the next line, with its line end. Returns NULL,
 * or what makes the response ambiguous or invalid, a static text.
 */
const char *http_head_add_line(http_head_t *head, const char *line, size_t len);

#endif
