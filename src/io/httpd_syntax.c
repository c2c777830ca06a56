#include "io/httpd_syntax.h"

#include <string.h>
#include <strings.h>

#include "io/http_syntax.h"

#define VERSION_1_0 "HTTP/1.0"
#define CHUNKED "chunked"
#define ASCII_MAX 0x7e /* the last visible character */

/* The headers that frame a message, while they are visited. */
typedef struct framing {
	const char *fault; /* the first one found, or NULL */
	const char *end;   /* of what was visited last, in the buffer */
	unsigned int hosts;
	unsigned int lengths;
	unsigned int codings;
} framing_t;

/* A host and a port, without anything that delimits other parts of a URI. */
static int
is_host(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		if (text[i] <= ' ' || text[i] > ASCII_MAX ||
		    strchr("\"#,/<>?@\\^`{|}", text[i]) != NULL)
			return 0;
	}
	return 1;
}

static int
is_target(const char *text)
{
	for (; *text != '\0'; text++) {
		if (*text <= ' ' || *text > ASCII_MAX || *text == '#')
			return 0;
	}
	return 1;
}

/*
 * libmicrohttpd appends the text of a continuation line to the name of the
 * header before it, in other memory. Name and value of each other header lie in
 * the buffer as they were received, with a colon and white space in between.
 */
static int
is_folded(const char *name, size_t name_len, const char *value)
{
	const char *between = name + name_len + 1;

	if (value < between)
		return 1;
	for (; between < value; between++) {
		if (*between != ' ' && *between != '\t')
			return 1;
	}
	return 0;
}

/*
 * Returns whether nothing but the end of a line lies between what was visited
 * last and next: a NUL ends a value in the middle, and libmicrohttpd passes
 * over a line without a name.
 */
static int
is_next_line(const framing_t *framing, const char *next)
{
	return next > framing->end && next <= framing->end + 2;
}

static const char *
check_field(framing_t *framing, const char *name, size_t name_len,
    const char *value, size_t value_len)
{
	if (!http_is_token(name, name_len))
		return "a header's name is not a token";
	if (value == NULL || is_folded(name, name_len, value))
		return "a header is continued on another line";
	if (!is_next_line(framing, name) ||
	    !http_is_field_value(value, value_len))
		return "a header's value has a control character";
	framing->end = value + value_len;
	if (strcasecmp(name, "Host") == 0) {
		framing->hosts++;
		if (!is_host(value, value_len))
			return "the host is not valid";
	} else if (strcasecmp(name, "Content-Length") == 0) {
		framing->lengths++;
	} else if (strcasecmp(name, "Transfer-Encoding") == 0) {
		framing->codings++;
		if (value_len != strlen(CHUNKED) ||
		    strncasecmp(value, CHUNKED, value_len) != 0)
			return "the transfer coding is not known";
	}
	return NULL;
}

static enum MHD_Result
visit_field(void *cls, enum MHD_ValueKind kind, const char *name,
    size_t name_len, const char *value, size_t value_len)
{
	framing_t *framing = cls;

	(void)kind;
	framing->fault = check_field(framing, name, name_len, value, value_len);
	return framing->fault == NULL ? MHD_YES : MHD_NO;
}

static const char *
check_request_line(const at_httpd_request_t *request, const char *version)
{
	const char *end = request->raw_target + strlen(request->target);

	if (!http_is_token(request->method, strlen(request->method)))
		return "the method is not a token";
	/* Also if a NUL ends the target in the middle. */
	if (!is_target(request->target) || version != end + 1)
		return "the request line is not valid";
	return NULL;
}

/* Returns whether only line ends lie between end and that of the headers. */
static int
has_end(const at_httpd_request_t *request, const char *end)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
	    request->connection, MHD_CONNECTION_INFO_REQUEST_HEADER_SIZE);

	return info != NULL &&
	       request->raw_method + info->header_size <= end + 4;
}

const char *
httpd_check_syntax(const at_httpd_request_t *request, const char *version)
{
	framing_t framing = {.end = version + strlen(version)};

	framing.fault = check_request_line(request, version);
	if (framing.fault != NULL)
		return framing.fault;
	(void)MHD_get_connection_values_n(
	    request->connection, MHD_HEADER_KIND, visit_field, &framing);
	if (framing.fault != NULL)
		return framing.fault;
	if (!has_end(request, framing.end))
		return "a header's value has a control character";
	if (framing.hosts > 1 ||
	    (framing.hosts == 0 && strcmp(version, VERSION_1_0) != 0))
		return "there is not one host";
	if (framing.lengths + framing.codings > 1)
		return "the length of the body is stated more than once";
	if (framing.codings > 0 && strcmp(version, VERSION_1_0) == 0)
		return "HTTP/1.0 has no transfer codings";
	if (strcmp(request->method, MHD_HTTP_METHOD_HEAD) == 0 &&
	    (framing.codings > 0 || request->content_len > 0))
		return "HEAD has a body";
	return NULL;
}
