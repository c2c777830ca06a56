/*
 * Validation of the configuration document, and look-up of callers' keys.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>
#include <sodium.h>

#include "almondthread/config.h"
#include "almondthread/keyring.h"

typedef struct case_row {
	const char *text;
	const char *message; /* part of the error message; NULL: valid */
} case_row_t;

#define MODEL "{\"name\":\"m\",\"memory_mb\":10}"

static const case_row_t cases[] = {
    {"{}", NULL},
    {"{\"models\":[" MODEL "]}", NULL},
    {"[", "line 1, column 1: ']' expected near end of file"},
    {"[]", "expected an object"},
    {"{\"modles\":[]}", "modles: unknown field"},
    {"{\"models\":[{\"name\":\"m\"}]}",
	"models[0].memory_mb: expected a number from 1 to 100000000"},
    {"{\"models\":[{\"name\":\"a b\",\"memory_mb\":1}]}",
	"models[0].name: expected a name"},
    {"{\"models\":[" MODEL "," MODEL "]}", "duplicate name 'm'"},
    {"{\"models\":[" MODEL "],\"exceptions\":[{\"kind\":\"min_replicas\","
     "\"subject\":\"m\",\"value\":2}]}",
	"exceptions[0].reason: expected a reason of 1 to 127 bytes"},
    {"{\"models\":[" MODEL "],\"exceptions\":[{\"kind\":\"min_replicas\","
     "\"subject\":\"x\",\"value\":2,\"reason\":\"r\"}]}",
	"exceptions[0]: 'x' is not configured"},
    {"{\"routes\":[{\"path\":\"/a\",\"method\":\"GET\",\"service\":\"s\","
     "\"repeat\":\"once\"}]}",
	"routes[0]: 's' is not configured"},
    {"{\"services\":[{\"name\":\"s\"}],\"routes\":[{\"path\":\"/a\","
     "\"method\":\"GET\",\"service\":\"s\",\"repeat\":\"twice\"}]}",
	"routes[0].repeat: expected one of"},
    {"{\"defaults\":{\"idle_ms\":-1}}",
	"defaults.idle_ms: expected a number from 0"},
};

Test(config, names_the_invalid_field)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		at_status_t status;
		at_config_t *config;

		at_status_clear(&status);
		config = at_config_parse(
		    cases[i].text, strlen(cases[i].text), &status);
		if (cases[i].message == NULL) {
			cr_assert_not_null(
			    config, "case %zu: %s", i, status.message);
		} else {
			cr_assert_null(config, "case %zu", i);
			cr_assert(strstr(status.message, cases[i].message),
			    "case %zu: '%s'", i, status.message);
		}
		at_config_delete(config);
	}
}

Test(keyring, finds_only_the_complete_key)
{
	at_fleet_secret_t secret = {{1}};
	at_key_t key;
	at_workspace_t workspace = {.keys = &key, .key_count = 1};
	at_config_t config = {.workspaces = &workspace, .workspace_count = 1};
	char text[AT_KEY_SIZE];

	cr_assert_geq(sodium_init(), 0);
	cr_assert_eq(at_name_set(&workspace.name, "w"), 0);
	cr_assert_eq(at_name_set(&key.id, "k"), 0);
	at_key_generate(&secret, &key.id, text, key.hash);
	cr_assert_eq(at_config_index_keys(&config), 0);
	cr_assert_eq(at_key_find(&config, &secret, text), &workspace);
	cr_assert_null(at_key_find(&config, &secret, "k.00"));
	cr_assert_null(at_key_find(&config, &secret, "k"));
	cr_assert_null(at_key_find(&config, &secret, ""));
	text[strlen(text) - 1] ^= 1;
	cr_assert_null(at_key_find(&config, &secret, text));
	free(config.key_slots);
}

Test(keyring, finds_each_of_many_keys_and_no_other)
{
	enum {
		KEY_COUNT = 300
	};
	at_fleet_secret_t secret = {{2}};
	at_key_t keys[KEY_COUNT];
	at_workspace_t workspaces[2] = {
	    {.keys = keys, .key_count = KEY_COUNT / 2},
	    {.keys = keys + KEY_COUNT / 2, .key_count = KEY_COUNT / 2}};
	at_config_t config = {.workspaces = workspaces, .workspace_count = 2};
	char texts[KEY_COUNT][AT_KEY_SIZE];
	size_t i;

	cr_assert_geq(sodium_init(), 0);
	for (i = 0; i < KEY_COUNT; i++) {
		/* Both workspaces have keys with the same ids. */
		(void)snprintf(keys[i].id.text, sizeof(keys[i].id.text), "k%zu",
		    i % (KEY_COUNT / 2));
		at_key_generate(&secret, &keys[i].id, texts[i], keys[i].hash);
	}
	cr_assert_null(at_key_find(&config, &secret, texts[0]));
	cr_assert_eq(at_config_index_keys(&config), 0);
	for (i = 0; i < KEY_COUNT; i++)
		cr_assert_eq(at_key_find(&config, &secret, texts[i]),
		    &workspaces[i / (KEY_COUNT / 2)]);
	/* The hash of one key with the id of another matches no key. */
	keys[1].id = keys[2].id;
	cr_assert_null(at_key_find(&config, &secret, texts[1]));
	secret.bytes[0]++;
	cr_assert_null(at_key_find(&config, &secret, texts[0]));
	free(config.key_slots);
}
