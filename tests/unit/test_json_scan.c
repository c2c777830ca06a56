/*
 * Members and elements in a JSON text, beside values that cannot be read.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/json_scan.h"

/* What a scan finds, as "key=value;" and, at a fault, "!". */
static const struct {
	const char *text;
	const char *found;
} texts[] = {
    {"{}", ""},
    {" [ ] ", ""},
    {"[1,2 , 3]", "1;2;3;"},
    {"{\"a\":1,\"b\" : \"x\"}", "a=1;b=\"x\";"},
    {"{\"a\":{\"b\":[1,{}]},\"c\":[]}", "a={\"b\":[1,{}]};c=[];"},
    {"[\"a]\\\"b\",2]", "\"a]\\\"b\";2;"},
    {"{\"a\\\"b\":1}", "a\\\"b=1;"},
    {"[\"\xff\\u0000\",1e999,99999999999999999999]",
	"\"\xff\\u0000\";1e999;99999999999999999999;"},
    {"[a b]", "a;!"},
    {"[1 2]", "1;!"},
    {"[1,,2]", "1;!"},
    {"[1,]", "1;!"},
    {"[1", "1;!"},
    {"[\"a", "!"},
    {"[\"a\\", "!"},
    {"[{\"a\":1]", "{\"a\":1];!"},
    {"{a:1}", "!"},
    {"{\"a\"}", "!"},
    {"{\"a\":}", "!"},
    {"{\"a\"", "!"},
    {"", "-"},
    {"1", "-"},
    {"\"[]\"", "-"},
};

static void
scan_all(const char *text, char *found, size_t size)
{
	const at_json_span_t value = {text, strlen(text)};
	at_json_span_t key;
	at_json_span_t member;
	at_json_scan_t scan;
	size_t len = 0;
	int result;

	found[0] = '\0';
	if (at_json_scan_init(&scan, value) != 0) {
		(void)snprintf(found, size, "-");
		return;
	}
	while ((result = at_json_scan_next(&scan, &key, &member)) == 1)
		len += (size_t)snprintf(found + len, size - len, "%.*s%s%.*s;",
		    (int)key.len, key.text == NULL ? "" : key.text,
		    key.text == NULL ? "" : "=", (int)member.len, member.text);
	if (result < 0)
		(void)snprintf(found + len, size - len, "!");
}

Test(json_scan, finds_members_and_elements)
{
	char found[256];
	size_t i;

	for (i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
		scan_all(texts[i].text, found, sizeof(found));
		cr_expect_str_eq(
		    found, texts[i].found, "%s: %s", texts[i].text, found);
	}
}

/* The text need not end with a NUL. */
Test(json_scan, reads_no_byte_after_the_text)
{
	static const char text[] = "{\"a\":\"\\\"}";
	size_t len;

	for (len = 0; len < sizeof(text); len++) {
		char *copy = memcpy(malloc(len + 1), text, len);
		at_json_scan_t scan;
		at_json_span_t value = {copy, len};

		copy = realloc(copy, len == 0 ? 1 : len);
		value.text = copy;
		if (at_json_scan_init(&scan, value) == 0)
			cr_assert_eq(
			    at_json_scan_next(&scan, NULL, &value), -1);
		free(copy);
	}
}

Test(json_scan, finds_a_member_by_name)
{
	static const char text[] = "{\"ab\":1,\"a\":[2],\"a\":3,\"b\":";
	const at_json_span_t object = {text, sizeof(text) - 1};
	at_json_span_t value = at_json_scan_member(object, "a");

	cr_assert_eq(value.len, 3);
	cr_assert_eq(memcmp(value.text, "[2]", 3), 0);
	cr_assert_null(at_json_scan_member(object, "b").text);
	cr_assert_null(at_json_scan_member(value, "a").text);
}
