/* The commands validate, apply, diff and get, for the whole configuration. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/document.h"

static at_code_t
usage_error(at_status_t *status, const char *text)
{
	return at_status_set(status, AT_INVALID, "usage: almondctl %s", text);
}

at_code_t
ctl_validate(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	document_t document;
	at_code_t code;

	(void)options;
	if (argc != 2)
		return usage_error(status, "validate FILE");
	code = document_load(argv[1], &document, status);
	if (code != AT_OK)
		return code;
	code = document_validate(&document, argv[1], status);
	document_free(&document);
	if (code == AT_OK)
		(void)printf("%s is valid.\n", argv[1]);
	return code;
}

/*
 * Rejects a file that was edited from a generation other than the one in
 * force, because applying it would undo the changes made since then.
 */
static at_code_t
check_generation(const ctl_options_t *options, const document_t *file,
    const document_t *current, at_status_t *status)
{
	if (options->replace || current->version == 0 ||
	    document_generation(file) == document_generation(current))
		return AT_OK;
	return at_status_set(status, AT_CONFLICT,
	    "the file continues generation %llu but %llu is in force; run "
	    "'almondctl get', merge and apply again, or use --replace",
	    (unsigned long long)document_generation(file),
	    (unsigned long long)document_generation(current));
}

at_code_t
ctl_apply(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	document_t file = {0};
	document_t current = {0};
	at_code_t code;

	if (argc != 2)
		return usage_error(status, "apply [--replace] FILE");
	code = document_load(argv[1], &file, status);
	if (code == AT_OK)
		code = document_validate(&file, argv[1], status);
	if (code == AT_OK)
		code = document_fetch(options->platform, &current, status);
	if (code == AT_OK)
		code = check_generation(options, &file, &current, status);
	if (code == AT_OK) {
		file.version = current.version;
		json_object_set_new(file.root, "generation",
		    json_integer((json_int_t)document_generation(&current)));
		code = document_store(options->platform, &file, status);
	}
	if (code == AT_OK)
		(void)printf("Generation %llu is accepted.\n",
		    (unsigned long long)document_generation(&file));
	document_free(&file);
	document_free(&current);
	return code;
}

/* Returns the text that identifies an entry within its array. */
static const char *
entry_id(json_t *entry)
{
	static const char *const fields[] = {"name", "path", "subject"};
	size_t i;

	for (i = 0; i < sizeof(fields) / sizeof(fields[0]); i++) {
		const char *id =
		    json_string_value(json_object_get(entry, fields[i]));

		if (id != NULL)
			return id;
	}
	return json_string_value(entry) != NULL ? json_string_value(entry) : "";
}

static int
contains(json_t *array, json_t *value)
{
	json_t *entry;
	size_t i;

	json_array_foreach(array, i, entry)
	{
		if (json_equal(entry, value))
			return 1;
	}
	return 0;
}

static int
print_entries_not_in(
    const char *field, json_t *entries, json_t *other, char prefix)
{
	json_t *entry;
	size_t i;
	int count = 0;

	json_array_foreach(entries, i, entry)
	{
		char *text;

		if (contains(other, entry))
			continue;
		text = json_dumps(entry, JSON_COMPACT | JSON_ENCODE_ANY);
		(void)printf(
		    "%c %s %s %s\n", prefix, field, entry_id(entry), text);
		free(text);
		count++;
	}
	return count;
}

static int
print_diff(json_t *current, json_t *file)
{
	static const char *const arrays[] = {"data_centres", "workspaces",
	    "models", "adapters", "engines", "services", "routes",
	    "exceptions"};
	json_t *old_defaults = json_object_get(current, "defaults");
	json_t *new_defaults = json_object_get(file, "defaults");
	int count = 0;
	size_t i;

	if (old_defaults != new_defaults &&
	    (old_defaults == NULL || new_defaults == NULL ||
		!json_equal(old_defaults, new_defaults))) {
		(void)printf("~ defaults\n");
		count++;
	}
	for (i = 0; i < sizeof(arrays) / sizeof(arrays[0]); i++) {
		json_t *old_entries = json_object_get(current, arrays[i]);
		json_t *new_entries = json_object_get(file, arrays[i]);

		count += print_entries_not_in(
		    arrays[i], old_entries, new_entries, '-');
		count += print_entries_not_in(
		    arrays[i], new_entries, old_entries, '+');
	}
	return count;
}

at_code_t
ctl_diff(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	document_t file = {0};
	document_t current = {0};
	at_code_t code;

	if (argc != 2)
		return usage_error(status, "diff FILE");
	code = document_load(argv[1], &file, status);
	if (code == AT_OK)
		code = document_fetch(options->platform, &current, status);
	if (code == AT_OK && print_diff(current.root, file.root) == 0)
		(void)printf("No difference.\n");
	document_free(&file);
	document_free(&current);
	return code;
}

at_code_t
ctl_get(
    const ctl_options_t *options, int argc, char **argv, at_status_t *status)
{
	document_t current = {0};
	at_code_t code;

	(void)argv;
	if (argc != 1)
		return usage_error(status, "get");
	code = document_fetch(options->platform, &current, status);
	if (code == AT_OK) {
		(void)json_dumpf(current.root, stdout, JSON_INDENT(2));
		(void)printf("\n");
	}
	document_free(&current);
	return code;
}
