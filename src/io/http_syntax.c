#include "io/http_syntax.h"

#include <string.h>
#include <strings.h>

#define CHUNKED "chunked"
#define DECIMAL 10u
/* "HTTP/1.1 200", which a space and a reason may follow. */
#define STATUS_LINE_MIN 12u
#define STATUS_AT 9u
#define STATUS_DIGITS 3u
#define STATUS_MIN 100
#define STATUS_MAX 599

int
http_is_token(const char *text, size_t len)
{
	static const char other[] = "!#$%&'*+-.^_`|~";
	size_t i;

	for (i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if (!((c >= '0' && c <= '9') || (c >= 'A' && c <= 'Z') ||
			(c >= 'a' && c <= 'z') ||
			(c != '\0' && strchr(other, c) != NULL)))
			return 0;
	}
	return len > 0;
}

int
http_is_field_value(const char *text, size_t len)
{
	size_t i;

	for (i = 0; i < len; i++) {
		unsigned char c = (unsigned char)text[i];

		if ((c < ' ' && c != '\t') || c == 0x7f)
			return 0;
	}
	return 1;
}

int
http_is_status(int status)
{
	return status >= STATUS_MIN && status <= STATUS_MAX;
}

static const char *
parse_status_line(http_head_t *head, const char *line, size_t len)
{
	size_t i;

	if (len < STATUS_LINE_MIN ||
	    (strncmp(line, "HTTP/1.1 ", STATUS_AT) != 0 &&
		strncmp(line, "HTTP/1.0 ", STATUS_AT) != 0) ||
	    (len > STATUS_LINE_MIN && line[STATUS_LINE_MIN] != ' '))
		return "the status line is not valid";
	for (i = STATUS_AT; i < STATUS_AT + STATUS_DIGITS; i++) {
		if (line[i] < '0' || line[i] > '9')
			return "the status is not a number";
		head->status = head->status * (int)DECIMAL + (line[i] - '0');
	}
	if (!http_is_status(head->status))
		return "the status is not between 100 and 599";
	head->is_version_1_0 = line[strlen("HTTP/1.")] == '0';
	return NULL;
}

static const char *
add_length(http_head_t *head, const char *value, size_t len)
{
	uint64_t length = 0;
	size_t i;

	for (i = 0; i < len; i++) {
		uint64_t digit = (uint64_t)(value[i] - '0');

		if (value[i] < '0' || value[i] > '9' ||
		    length > (UINT64_MAX - digit) / DECIMAL)
			return "the length is not a number";
		length = length * DECIMAL + digit;
	}
	if (len == 0 || (head->has_length && length != head->length))
		return "the length is stated in two ways";
	head->has_length = 1;
	head->length = length;
	return NULL;
}

static const char *
add_coding(http_head_t *head, const char *value, size_t len)
{
	if (len != strlen(CHUNKED) || strncasecmp(value, CHUNKED, len) != 0 ||
	    head->has_coding || head->is_version_1_0)
		return "the transfer coding is not known";
	head->has_coding = 1;
	return NULL;
}

static int
has_name(const char *line, size_t name_len, const char *name)
{
	return name_len == strlen(name) &&
	       strncasecmp(line, name, name_len) == 0;
}

static const char *
add_field(http_head_t *head, const char *line, size_t len)
{
	const char *colon = memchr(line, ':', len);
	size_t name_len = colon == NULL ? len : (size_t)(colon - line);
	const char *value = line + name_len + 1;
	size_t value_len = colon == NULL ? 0 : len - name_len - 1;

	if (colon == NULL || !http_is_token(line, name_len))
		return "a header's name is not a token";
	if (!http_is_field_value(value, value_len))
		return "a header's value has a control character";
	for (; value_len > 0 && (value[0] == ' ' || value[0] == '\t');
	     value_len--)
		value++;
	while (value_len > 0 &&
	       (value[value_len - 1] == ' ' || value[value_len - 1] == '\t'))
		value_len--;
	if (has_name(line, name_len, "Content-Length"))
		return add_length(head, value, value_len);
	if (has_name(line, name_len, "Transfer-Encoding"))
		return add_coding(head, value, value_len);
	return NULL;
}

const char *
http_head_add_line(http_head_t *head, const char *line, size_t len)
{
	if (len > 0 && line[len - 1] == '\n')
		len--;
	if (len > 0 && line[len - 1] == '\r')
		len--;
	if (head->lines++ == 0)
		return parse_status_line(head, line, len);
	if (len > 0)
		return add_field(head, line, len);
	/* No switch of protocols is asked for. */
	if (head->status == 101)
		return "the protocol is switched";
	if (head->has_length && head->has_coding)
		return "there are a length and a transfer coding";
	return NULL;
}
