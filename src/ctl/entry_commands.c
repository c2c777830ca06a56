/*
 * The commands that edit parts of the configuration: entries of an array,
 * exceptions and keys of workspaces.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "almondthread/config.h"
#include "almondthread/keyring.h"
#include "ctl/ctl.h"
#include "ctl/document.h"

/*
 * An array of the document, the command that edits it and the field that
 * identifies its entries.
 */
typedef struct entry_kind {
	const char *command;
	const char *array;
	const char *id_field;
} entry_kind_t;

static const entry_kind_t entry_kinds[] = {{"workspace", "workspaces", "name"},
    {"model", "models", "name"}, {"adapter", "adapters", "name"},
    {"engine", "engines", "name"}, {"service", "services", "name"},
    {"route", "routes", "path"}};

static const entry_kind_t *
find_entry_kind(const char *command)
{
	size_t i;

	for (i = 0; i < sizeof(entry_kinds) / sizeof(entry_kinds[0]); i++) {
		if (strcmp(entry_kinds[i].command, command) == 0)
			return &entry_kinds[i];
	}
	return NULL;
}

/* Returns the array of this name; adds an empty one when there is none. */
static json_t *
get_or_add_array(json_t *root, const char *name)
{
	json_t *array = json_object_get(root, name);

	if (json_is_array(array))
		return array;
	array = json_array();
	json_object_set_new(root, name, array);
	return array;
}

/*
 * Returns the index of the entry whose field has this id, or the array's size.
 */
static size_t
find_index(json_t *array, const char *field, const char *id)
{
	json_t *entry;
	size_t i;

	json_array_foreach(array, i, entry)
	{
		const char *value =
		    json_string_value(json_object_get(entry, field));

		if (value != NULL && strcmp(value, id) == 0)
			break;
	}
	return i;
}

/* Integers, "true" and "false" keep their JSON type; other text is a string. */
static json_t *
parse_value(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	if (json_is_integer(value) || json_is_boolean(value))
		return value;
	json_decref(value);
	return json_string(text);
}

/* One set or delete command; argv has the FIELD=VALUE arguments of set. */
typedef struct entry_edit {
	const entry_kind_t *kind;
	const char *id;
	int argc;
	char **argv;
} entry_edit_t;

static at_code_t
set_fields(json_t *entry, int argc, char **argv, at_status_t *status)
{
	int i;

	for (i = 0; i < argc; i++) {
		const char *equals = strchr(argv[i], '=');
		char field[AT_NAME_SIZE];

		if (equals == NULL ||
		    (size_t)(equals - argv[i]) >= sizeof(field))
			return at_status_set(status, AT_INVALID,
			    "usage: '%s': expected FIELD=VALUE", argv[i]);
		(void)snprintf(field, sizeof(field), "%.*s",
		    (int)(equals - argv[i]), argv[i]);
		json_object_set_new(entry, field, parse_value(equals + 1));
	}
	return AT_OK;
}

static at_code_t
edit_entry_set(json_t *root, void *ctx, at_status_t *status)
{
	const entry_edit_t *edit = ctx;
	json_t *array = get_or_add_array(root, edit->kind->array);
	size_t i = find_index(array, edit->kind->id_field, edit->id);

	if (i == json_array_size(array))
		json_array_append_new(
		    array, json_pack("{s:s}", edit->kind->id_field, edit->id));
	return set_fields(
	    json_array_get(array, i), edit->argc, edit->argv, status);
}

static at_code_t
edit_entry_delete(json_t *root, void *ctx, at_status_t *status)
{
	const entry_edit_t *edit = ctx;
	json_t *array = get_or_add_array(root, edit->kind->array);
	size_t i = find_index(array, edit->kind->id_field, edit->id);

	if (i == json_array_size(array))
		return at_status_set(status, AT_NOT_FOUND,
		    "no %s is named '%s'", edit->kind->command, edit->id);
	json_array_remove(array, i);
	return AT_OK;
}

static at_code_t
list_entries(
    const ctl_options_t *options, const char *array, at_status_t *status)
{
	document_t current;
	json_t *entry;
	size_t i;
	at_code_t code = document_fetch(options->platform, &current, status);

	if (code == AT_OK && options->json) {
		(void)json_dumpf(get_or_add_array(current.root, array), stdout,
		    JSON_INDENT(2));
		(void)printf("\n");
	} else if (code == AT_OK) {
		json_array_foreach(
		    get_or_add_array(current.root, array), i, entry)
		{
			char *text = json_dumps(entry, JSON_COMPACT);

			(void)printf("%s\n", text);
			free(text);
		}
	}
	document_free(&current);
	return code;
}

static at_code_t
run_edit(const ctl_options_t *options, document_edit_t edit, void *ctx,
    at_status_t *status)
{
	uint64_t generation = 0;
	at_code_t code =
	    document_edit(options->platform, edit, ctx, &generation, status);

	if (code == AT_OK)
		(void)printf("Generation %llu is accepted.\n",
		    (unsigned long long)generation);
	return code;
}

at_code_t
ctl_entry(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	entry_edit_t edit = {.kind = find_entry_kind(argv[0])};

	if (argc >= 2 && strcmp(argv[1], "list") == 0)
		return list_entries(options, edit.kind->array, status);
	if (argc >= 3)
		edit.id = argv[2];
	if (argc > 3 && strcmp(argv[1], "set") == 0) {
		edit.argc = argc - 3;
		edit.argv = argv + 3;
		return run_edit(options, edit_entry_set, &edit, status);
	}
	if (argc == 3 && strcmp(argv[1], "delete") == 0)
		return run_edit(options, edit_entry_delete, &edit, status);
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl %s list | set ID FIELD=VALUE... | delete ID",
	    argv[0]);
}

/*
 * One set or delete command for the exception of a kind and a subject; argv
 * has the FIELD=VALUE arguments of set.
 */
typedef struct exception_edit {
	const ctl_options_t *options;
	const char *kind;
	const char *subject;
	int argc;
	char **argv;
} exception_edit_t;

static size_t
find_exception(json_t *array, const exception_edit_t *edit)
{
	json_t *entry;
	size_t i;

	json_array_foreach(array, i, entry)
	{
		const char *kind =
		    json_string_value(json_object_get(entry, "kind"));
		const char *subject =
		    json_string_value(json_object_get(entry, "subject"));

		if (kind != NULL && subject != NULL &&
		    strcmp(kind, edit->kind) == 0 &&
		    strcmp(subject, edit->subject) == 0)
			break;
	}
	return i;
}

static at_code_t
edit_exception_set(json_t *root, void *ctx, at_status_t *status)
{
	const exception_edit_t *edit = ctx;
	json_t *array = get_or_add_array(root, "exceptions");
	size_t i = find_exception(array, edit);

	if (edit->options->reason[0] == '\0')
		return at_status_set(status, AT_INVALID,
		    "an exception requires a reason: --reason=TEXT");
	if (i == json_array_size(array))
		json_array_append_new(
		    array, json_pack("{s:s,s:s}", "kind", edit->kind, "subject",
			       edit->subject));
	json_object_set_new(json_array_get(array, i), "reason",
	    json_string(edit->options->reason));
	return set_fields(
	    json_array_get(array, i), edit->argc, edit->argv, status);
}

static at_code_t
edit_exception_delete(json_t *root, void *ctx, at_status_t *status)
{
	const exception_edit_t *edit = ctx;
	json_t *array = get_or_add_array(root, "exceptions");
	size_t i = find_exception(array, edit);

	if (i == json_array_size(array))
		return at_status_set(status, AT_NOT_FOUND,
		    "no exception '%s' for '%s'", edit->kind, edit->subject);
	json_array_remove(array, i);
	return AT_OK;
}

at_code_t
ctl_exception(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	exception_edit_t edit = {.options = options};

	if (argc >= 2 && strcmp(argv[1], "list") == 0)
		return list_entries(options, "exceptions", status);
	if (argc >= 4) {
		edit.kind = argv[2];
		edit.subject = argv[3];
		edit.argc = argc - 4;
		edit.argv = argv + 4;
		if (strcmp(argv[1], "set") == 0)
			return run_edit(
			    options, edit_exception_set, &edit, status);
		if (strcmp(argv[1], "delete") == 0)
			return run_edit(
			    options, edit_exception_delete, &edit, status);
	}
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl exception list | set KIND SUBJECT "
	    "[FIELD=VALUE...] --reason=TEXT | delete KIND SUBJECT");
}

/* One give or withdraw command; hash is hexadecimal and set for give only. */
typedef struct key_edit {
	const char *workspace;
	const char *id;
	char hash[2 * AT_KEY_HASH_SIZE + 1];
} key_edit_t;

static json_t *
find_workspace(json_t *root, const char *name)
{
	json_t *array = get_or_add_array(root, "workspaces");

	return json_array_get(array, find_index(array, "name", name));
}

static at_code_t
edit_key_give(json_t *root, void *ctx, at_status_t *status)
{
	const key_edit_t *edit = ctx;
	json_t *workspace = find_workspace(root, edit->workspace);
	json_t *keys;
	size_t i;

	if (workspace == NULL)
		return at_status_set(status, AT_NOT_FOUND,
		    "no workspace is named '%s'", edit->workspace);
	keys = get_or_add_array(workspace, "keys");
	i = find_index(keys, "id", edit->id);
	if (i < json_array_size(keys))
		return at_status_set(status, AT_INVALID,
		    "key '%s' exists; withdraw it or choose another ID",
		    edit->id);
	json_array_append_new(
	    keys, json_pack("{s:s,s:s}", "id", edit->id, "hash", edit->hash));
	return AT_OK;
}

static at_code_t
edit_key_withdraw(json_t *root, void *ctx, at_status_t *status)
{
	const key_edit_t *edit = ctx;
	json_t *workspace = find_workspace(root, edit->workspace);
	json_t *keys = json_object_get(workspace, "keys");
	size_t i = find_index(keys, "id", edit->id);

	if (i >= json_array_size(keys))
		return at_status_set(status, AT_NOT_FOUND,
		    "workspace '%s' has no key '%s'", edit->workspace,
		    edit->id);
	json_array_remove(keys, i);
	return AT_OK;
}

static at_code_t
give_key(const ctl_options_t *options, key_edit_t *edit, at_status_t *status)
{
	at_fleet_secret_t secret;
	at_name_t id;
	uint8_t hash[AT_KEY_HASH_SIZE];
	char key[AT_KEY_SIZE];
	at_code_t code;

	if (at_fleet_secret_parse(&secret, options->secret) != 0)
		return at_status_set(status, AT_INVALID,
		    "--secret: expected 64 hexadecimal digits");
	if (at_name_set(&id, edit->id) != 0 || strchr(edit->id, '.') != NULL)
		return at_status_set(status, AT_INVALID,
		    "'%s': expected a key ID without '.'", edit->id);
	at_key_generate(&secret, &id, key, hash);
	(void)sodium_bin2hex(
	    edit->hash, sizeof(edit->hash), hash, sizeof(hash));
	code = run_edit(options, edit_key_give, edit, status);
	if (code == AT_OK)
		(void)printf("Key, shown only now: %s\n", key);
	sodium_memzero(key, sizeof(key));
	return code;
}

at_code_t
ctl_key(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	key_edit_t edit = {0};

	if (argc == 4) {
		edit.workspace = argv[2];
		edit.id = argv[3];
		if (strcmp(argv[1], "give") == 0)
			return give_key(options, &edit, status);
		if (strcmp(argv[1], "withdraw") == 0)
			return run_edit(
			    options, edit_key_withdraw, &edit, status);
	}
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl key give|withdraw WORKSPACE ID");
}
