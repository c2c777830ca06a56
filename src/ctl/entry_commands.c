#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "almondthread/config.h"
#include "almondthread/keyring.h"
#include "ctl/ctl.h"
#include "ctl/document.h"

/* An array of the document and the field that names its entries. */
typedef struct array_kind {
	const char *word;
	const char *array;
	const char *id;
} array_kind_t;

static const array_kind_t kinds[] = {{"workspace", "workspaces", "name"},
    {"model", "models", "name"}, {"adapter", "adapters", "name"},
    {"engine", "engines", "name"}, {"service", "services", "name"},
    {"route", "routes", "path"}};

static const array_kind_t *
find_kind(const char *word)
{
	size_t i;

	for (i = 0; i < sizeof(kinds) / sizeof(kinds[0]); i++) {
		if (strcmp(kinds[i].word, word) == 0)
			return &kinds[i];
	}
	return NULL;
}

/* Returns the array, made when it is missing. */
static json_t *
array_of(json_t *root, const char *name)
{
	json_t *array = json_object_get(root, name);

	if (json_is_array(array))
		return array;
	array = json_array();
	json_object_set_new(root, name, array);
	return array;
}

/* Returns the index of the entry with this id, or the array's size. */
static size_t
index_of(json_t *array, const char *field, const char *id)
{
	json_t *entry;
	size_t i;

	json_array_foreach(array, i, entry)
	{
		const char *own =
		    json_string_value(json_object_get(entry, field));

		if (own != NULL && strcmp(own, id) == 0)
			break;
	}
	return i;
}

/* "true", "false" and numbers keep their JSON type; the rest is text. */
static json_t *
parse_value(const char *text)
{
	json_t *value = json_loads(text, JSON_DECODE_ANY, NULL);

	if (json_is_integer(value) || json_is_boolean(value))
		return value;
	json_decref(value);
	return json_string(text);
}

/* The words FIELD=VALUE of a command. */
typedef struct entry_edit {
	const array_kind_t *kind;
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
edit_set(json_t *root, void *ctx, at_status_t *status)
{
	const entry_edit_t *e = ctx;
	json_t *array = array_of(root, e->kind->array);
	size_t i = index_of(array, e->kind->id, e->id);

	if (i == json_array_size(array))
		json_array_append_new(
		    array, json_pack("{s:s}", e->kind->id, e->id));
	return set_fields(json_array_get(array, i), e->argc, e->argv, status);
}

static at_code_t
edit_delete(json_t *root, void *ctx, at_status_t *status)
{
	const entry_edit_t *e = ctx;
	json_t *array = array_of(root, e->kind->array);
	size_t i = index_of(array, e->kind->id, e->id);

	if (i == json_array_size(array))
		return at_status_set(status, AT_NOT_FOUND,
		    "no %s is named '%s'", e->kind->word, e->id);
	json_array_remove(array, i);
	return AT_OK;
}

static at_code_t
list_entries(const ctl_options_t *o, const char *array, at_status_t *status)
{
	document_t now;
	json_t *entry;
	size_t i;
	at_code_t code = document_fetch(o->platform, &now, status);

	if (code == AT_OK && o->json) {
		(void)json_dumpf(
		    array_of(now.root, array), stdout, JSON_INDENT(2));
		(void)printf("\n");
	} else if (code == AT_OK) {
		json_array_foreach(array_of(now.root, array), i, entry)
		{
			char *text = json_dumps(entry, JSON_COMPACT);

			(void)printf("%s\n", text);
			free(text);
		}
	}
	document_free(&now);
	return code;
}

static at_code_t
run_edit(const ctl_options_t *o, document_edit_t edit, void *ctx,
    at_status_t *status)
{
	uint64_t generation = 0;
	at_code_t code =
	    document_edit(o->platform, edit, ctx, &generation, status);

	if (code == AT_OK)
		(void)printf("Generation %llu is accepted.\n",
		    (unsigned long long)generation);
	return code;
}

at_code_t
ctl_entry(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	entry_edit_t e = {.kind = find_kind(argv[0])};

	if (argc >= 2 && strcmp(argv[1], "list") == 0)
		return list_entries(o, e.kind->array, status);
	if (argc >= 3)
		e.id = argv[2];
	if (argc > 3 && strcmp(argv[1], "set") == 0) {
		e.argc = argc - 3;
		e.argv = argv + 3;
		return run_edit(o, edit_set, &e, status);
	}
	if (argc == 3 && strcmp(argv[1], "delete") == 0)
		return run_edit(o, edit_delete, &e, status);
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl %s list | set ID FIELD=VALUE... | delete ID",
	    argv[0]);
}

/* An exception is named by its kind and subject. */
typedef struct exception_edit {
	const ctl_options_t *options;
	const char *kind;
	const char *subject;
	int argc;
	char **argv;
} exception_edit_t;

static size_t
exception_index(json_t *array, const exception_edit_t *e)
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
		    strcmp(kind, e->kind) == 0 &&
		    strcmp(subject, e->subject) == 0)
			break;
	}
	return i;
}

static at_code_t
edit_exception_set(json_t *root, void *ctx, at_status_t *status)
{
	const exception_edit_t *e = ctx;
	json_t *array = array_of(root, "exceptions");
	size_t i = exception_index(array, e);

	if (e->options->reason[0] == '\0')
		return at_status_set(status, AT_INVALID,
		    "an exception needs its reason: --reason=TEXT");
	if (i == json_array_size(array))
		json_array_append_new(
		    array, json_pack("{s:s,s:s}", "kind", e->kind, "subject",
			       e->subject));
	json_object_set_new(json_array_get(array, i), "reason",
	    json_string(e->options->reason));
	return set_fields(json_array_get(array, i), e->argc, e->argv, status);
}

static at_code_t
edit_exception_delete(json_t *root, void *ctx, at_status_t *status)
{
	const exception_edit_t *e = ctx;
	json_t *array = array_of(root, "exceptions");
	size_t i = exception_index(array, e);

	if (i == json_array_size(array))
		return at_status_set(status, AT_NOT_FOUND,
		    "no exception '%s' of '%s'", e->kind, e->subject);
	json_array_remove(array, i);
	return AT_OK;
}

at_code_t
ctl_exception(
    const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	exception_edit_t e = {.options = o};

	if (argc >= 2 && strcmp(argv[1], "list") == 0)
		return list_entries(o, "exceptions", status);
	if (argc >= 4) {
		e.kind = argv[2];
		e.subject = argv[3];
		e.argc = argc - 4;
		e.argv = argv + 4;
		if (strcmp(argv[1], "set") == 0)
			return run_edit(o, edit_exception_set, &e, status);
		if (strcmp(argv[1], "delete") == 0)
			return run_edit(o, edit_exception_delete, &e, status);
	}
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl exception list | set KIND SUBJECT "
	    "[FIELD=VALUE...] --reason=TEXT | delete KIND SUBJECT");
}

typedef struct key_edit {
	const char *workspace;
	const char *id;
	char hash[2 * AT_KEY_HASH_SIZE + 1];
} key_edit_t;

static json_t *
find_workspace(json_t *root, const char *name)
{
	json_t *array = array_of(root, "workspaces");

	return json_array_get(array, index_of(array, "name", name));
}

static at_code_t
edit_key_give(json_t *root, void *ctx, at_status_t *status)
{
	const key_edit_t *e = ctx;
	json_t *workspace = find_workspace(root, e->workspace);
	json_t *keys;
	size_t i;

	if (workspace == NULL)
		return at_status_set(status, AT_NOT_FOUND,
		    "no workspace is named '%s'", e->workspace);
	keys = array_of(workspace, "keys");
	i = index_of(keys, "id", e->id);
	if (i < json_array_size(keys))
		return at_status_set(status, AT_INVALID,
		    "key '%s' exists; withdraw it or take another name", e->id);
	json_array_append_new(
	    keys, json_pack("{s:s,s:s}", "id", e->id, "hash", e->hash));
	return AT_OK;
}

static at_code_t
edit_key_withdraw(json_t *root, void *ctx, at_status_t *status)
{
	const key_edit_t *e = ctx;
	json_t *workspace = find_workspace(root, e->workspace);
	json_t *keys = json_object_get(workspace, "keys");
	size_t i = index_of(keys, "id", e->id);

	if (i >= json_array_size(keys))
		return at_status_set(status, AT_NOT_FOUND,
		    "workspace '%s' has no key '%s'", e->workspace, e->id);
	json_array_remove(keys, i);
	return AT_OK;
}

static at_code_t
give_key(const ctl_options_t *o, key_edit_t *e, at_status_t *status)
{
	at_fleet_secret_t secret;
	at_name_t id;
	uint8_t hash[AT_KEY_HASH_SIZE];
	char key[AT_KEY_SIZE];
	at_code_t code;

	if (at_fleet_secret_parse(&secret, o->secret) != 0)
		return at_status_set(status, AT_INVALID,
		    "--secret: expected 64 hexadecimal digits");
	if (at_name_set(&id, e->id) != 0 || strchr(e->id, '.') != NULL)
		return at_status_set(status, AT_INVALID,
		    "'%s': expected a key's name without '.'", e->id);
	at_key_generate(&secret, &id, key, hash);
	(void)sodium_bin2hex(e->hash, sizeof(e->hash), hash, sizeof(hash));
	code = run_edit(o, edit_key_give, e, status);
	if (code == AT_OK)
		(void)printf("Key, shown only now: %s\n", key);
	sodium_memzero(key, sizeof(key));
	return code;
}

at_code_t
ctl_key(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	key_edit_t e = {0};

	if (argc == 4) {
		e.workspace = argv[2];
		e.id = argv[3];
		if (strcmp(argv[1], "give") == 0)
			return give_key(o, &e, status);
		if (strcmp(argv[1], "withdraw") == 0)
			return run_edit(o, edit_key_withdraw, &e, status);
	}
	return at_status_set(status, AT_INVALID,
	    "usage: almondctl key give|withdraw WORKSPACE ID");
}
