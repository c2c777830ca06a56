/*
 * Entries that another writer has left among those of the backend servers: they
 * name no server to use, and the others hold.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "support/entry_fixture.h"

#define ENTRIES 2u
#define IN_FORCE_MS 2000u
#define DEPTH 5000u
#define LONG_BYTES 200000u
#define ODD_ID "m-odd" /* between those of the servers of the fixture */

/* A sound entry but for one field; fill stands for a long value. */
#define ENTRY(fields)                                                    \
	"{\"service\":\"plain\",\"address\":\"127.0.0.1:9\",\"zone\":"   \
	"\"north\",\"version\":\"v1\",\"state\":\"ready\",\"sequence\":" \
	"1," fields "}"
#define ADDRESS(address)                                                   \
	"{\"service\":\"plain\",\"address\":\"" address "\",\"zone\":"     \
	"\"north\",\"version\":\"v1\",\"state\":\"ready\",\"sequence\":1," \
	"\"slots\":4}"

typedef struct odd_entry {
	const char *name;
	const char *text;
	char fill; /* repeated where the text has "@", or 0 */
	size_t count;
	const char *close; /* the same number of times after it, or NULL */
} odd_entry_t;

static const odd_entry_t odd_entries[] = {
    {"deeply nested", ENTRY("\"slots\":4,\"more\":@"), '[', DEPTH, "]"},
    {"only nested", "@", '[', DEPTH, "]"},
    {"integer too large", ENTRY("\"slots\":99999999999999999999999"), 0, 0,
	NULL},
    {"integer of 2^32", ENTRY("\"slots\":4294967296"), 0, 0, NULL},
    {"no slots at all", ENTRY("\"slots\":0"), 0, 0, NULL},
    {"real too large", ENTRY("\"slots\":4,\"remaining_ms\":1e999"), 0, 0, NULL},
    {"start too large", ENTRY("\"slots\":4,\"born\":1e300"), 0, 0, NULL},
    {"number of many digits", ENTRY("\"slots\":@"), '9', LONG_BYTES, NULL},
    {"port too large", ADDRESS("127.0.0.1:70000"), 0, 0, NULL},
    {"port 0", ADDRESS("127.0.0.1:0"), 0, 0, NULL},
    {"port of many digits", ADDRESS("127.0.0.1:@"), '1', LONG_BYTES, NULL},
    {"negative port", ADDRESS("127.0.0.1:-1"), 0, 0, NULL},
    {"not UTF-8", ENTRY("\"slots\":4,\"more\":\"\xff\xfe\""), 0, 0, NULL},
    {"NUL in a text", ENTRY("\"slots\":4,\"more\":\"a\\u0000b\""), 0, 0, NULL},
    {"half a surrogate", ENTRY("\"slots\":4,\"more\":\"\\ud800\""), 0, 0, NULL},
    {"no value", ENTRY("\"slots\":"), 0, 0, NULL},
    {"no JSON", "{\"a\":b c}", 0, 0, NULL},
    {"long text", ENTRY("\"slots\":4,\"more\":\"@\""), 'x', LONG_BYTES, NULL},
    {"null", "null", 0, 0, NULL},
};

/* Returns the text of an entry, which the caller frees. */
static char *
make_text(const odd_entry_t *odd)
{
	const char *mark = strchr(odd->text, '@');
	char *text = malloc(strlen(odd->text) + 2 * odd->count + 1);
	size_t len =
	    mark == NULL ? strlen(odd->text) : (size_t)(mark - odd->text);

	memcpy(text, odd->text, len);
	if (mark == NULL) {
		text[len] = '\0';
		return text;
	}
	memset(text + len, odd->fill, odd->count);
	len += odd->count;
	if (odd->close != NULL) {
		memset(text + len, odd->close[0], odd->count);
		len += odd->count;
	}
	(void)strcpy(text + len, mark + 1);
	return text;
}

/* All know the servers of the fixture, and no others. */
static int
know_the_servers(const entry_fixture_t *fixture)
{
	size_t i;
	size_t k;

	for (i = 0; i < fixture->entry_count; i++) {
		const at_fleet_t *fleet = fixture->entries[i]->fleet;

		if (!at_entry_is_ready(fixture->entries[i]) ||
		    at_fleet_count(fleet) != fixture->server_count)
			return 0;
		for (k = 0; k < fixture->server_count; k++) {
			if (at_fleet_find(fixture->entries[i]->fleet,
				at_tag_from_text(fixture->ids[k])) == NULL)
				return 0;
		}
	}
	return 1;
}

static void
run_until_known(entry_fixture_t *fixture)
{
	uint32_t waited_ms;

	for (waited_ms = 0;
	     !know_the_servers(fixture) && waited_ms < IN_FORCE_MS;
	     waited_ms += 10)
		entry_fixture_run_ms(fixture, 10);
}

/* One odd entry made the whole list unreadable. */
Test(odd_entries, name_no_server_and_the_others_hold, .timeout = 240)
{
	size_t i;

	for (i = 0; i < sizeof(odd_entries) / sizeof(odd_entries[0]); i++) {
		entry_fixture_t *fixture = entry_fixture_new();
		char *text = make_text(&odd_entries[i]);
		size_t k;

		entry_fixture_apply_config(fixture, 1);
		(void)entry_fixture_add_service(fixture);
		for (k = 0; k < ENTRIES; k++)
			(void)entry_fixture_add_entry(fixture);
		entry_fixture_run_until_ready(fixture);
		standin_store_put_text(
		    fixture->store, WIRE_KIND_SERVERS, ODD_ID, text);
		entry_fixture_run_ms(fixture, 100);
		(void)entry_fixture_add_service(fixture);
		run_until_known(fixture);
		cr_expect(know_the_servers(fixture),
		    "%s: not all know a server that came after it",
		    odd_entries[i].name);
		(void)entry_fixture_add_entry(fixture);
		run_until_known(fixture);
		cr_expect(know_the_servers(fixture),
		    "%s: an instance that starts does not know the servers",
		    odd_entries[i].name);
		entry_fixture_delete(fixture);
		free(text);
	}
}

static const char *const odd_names[] = {"a b&c=d", "a#b%zz", "a/../b?x",
    "a\xc3\xa9\xe2\x82\xac", "a\nb", "a\"b\\c",
    "a-name-that-is-longer-than-an-instance-may-have-and-that-goes-on-for-"
    "more-than-one-hundred-and-twenty-eight-bytes-before-its-end-comes-at-"
    "last"};

#define PAGE_OBJECTS 3u /* of the stand-in's lists */

/* A list that continues after such a name was refused, or began anew. */
Test(odd_entries, names_do_not_end_a_list, .timeout = 240)
{
	size_t i;

	for (i = 0; i < sizeof(odd_names) / sizeof(odd_names[0]); i++) {
		entry_fixture_t *fixture = entry_fixture_new();
		char name[8];
		size_t k;

		entry_fixture_apply_config(fixture, 1);
		for (k = 0; k + 1u < PAGE_OBJECTS; k++) {
			(void)snprintf(name, sizeof(name), "A%zu", k);
			standin_store_put_text(
			    fixture->store, WIRE_KIND_SERVERS, name, "null");
		}
		standin_store_put_text(fixture->store, WIRE_KIND_SERVERS,
		    odd_names[i], ENTRY("\"slots\":0"));
		(void)entry_fixture_add_service(fixture);
		for (k = 0; k < ENTRIES; k++)
			(void)entry_fixture_add_entry(fixture);
		run_until_known(fixture);
		cr_expect(know_the_servers(fixture), "%s", odd_names[i]);
		entry_fixture_delete(fixture);
	}
}
