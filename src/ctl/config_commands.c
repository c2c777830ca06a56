#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "ctl/ctl.h"
#include "ctl/document.h"

static at_code_t
usage(at_status_t *status, const char *text)
{
	return at_status_set(status, AT_INVALID, "usage: almondctl %s", text);
}

at_code_t
ctl_validate(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	document_t document;
	at_code_t code;

	(void)o;
	if (argc != 2)
		return usage(status, "validate FILE");
	code = document_load(argv[1], &document, status);
	if (code != AT_OK)
		return code;
	code = document_validate(&document, argv[1], status);
	document_free(&document);
	if (code == AT_OK)
		(void)printf("%s is valid.\n", argv[1]);
	return code;
}

/* An edited file must continue the generation that is in force. */
static at_code_t
check_continues(const ctl_options_t *o, const document_t *file,
    const document_t *now, at_status_t *status)
{
	if (o->replace || now->version == 0 ||
	    document_generation(file) == document_generation(now))
		return AT_OK;
	return at_status_set(status, AT_CONFLICT,
	    "the file continues generation %llu but %llu is in force; get it, "
	    "merge and apply again, or give --replace",
	    (unsigned long long)document_generation(file),
	    (unsigned long long)document_generation(now));
}

at_code_t
ctl_apply(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	document_t file = {0};
	document_t now = {0};
	at_code_t code;

	if (argc != 2)
		return usage(status, "apply [--replace] FILE");
	code = document_load(argv[1], &file, status);
	if (code == AT_OK)
		code = document_validate(&file, argv[1], status);
	if (code == AT_OK)
		code = document_fetch(o->platform, &now, status);
	if (code == AT_OK)
		code = check_continues(o, &file, &now, status);
	if (code == AT_OK) {
		file.version = now.version;
		json_object_set_new(file.root, "generation",
		    json_integer((json_int_t)document_generation(&now)));
		code = document_store(o->platform, &file, status);
	}
	if (code == AT_OK)
		(void)printf("Generation %llu is accepted.\n",
		    (unsigned long long)document_generation(&file));
	document_free(&file);
	document_free(&now);
	return code;
}

/* Identity of an entry within its array. */
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
contains(json_t *array, json_t *wanted)
{
	json_t *entry;
	size_t i;

	json_array_foreach(array, i, entry)
	{
		if (json_equal(entry, wanted))
			return 1;
	}
	return 0;
}

static int
print_missing(const char *field, json_t *from, json_t *in, char sign)
{
	json_t *entry;
	size_t i;
	int count = 0;

	json_array_foreach(from, i, entry)
	{
		char *text;

		if (contains(in, entry))
			continue;
		text = json_dumps(entry, JSON_COMPACT | JSON_ENCODE_ANY);
		(void)printf(
		    "%c %s %s %s\n", sign, field, entry_id(entry), text);
		free(text);
		count++;
	}
	return count;
}

static int
print_diff(json_t *now, json_t *file)
{
	static const char *const arrays[] = {"data_centres", "workspaces",
	    "models", "adapters", "engines", "services", "routes",
	    "exceptions"};
	json_t *a = json_object_get(now, "defaults");
	json_t *b = json_object_get(file, "defaults");
	int count = 0;
	size_t i;

	if (a != b && (a == NULL || b == NULL || !json_equal(a, b))) {
		(void)printf("~ defaults\n");
		count++;
	}
	for (i = 0; i < sizeof(arrays) / sizeof(arrays[0]); i++) {
		json_t *old = json_object_get(now, arrays[i]);
		json_t *new = json_object_get(file, arrays[i]);

		count += print_missing(arrays[i], old, new, '-');
		count += print_missing(arrays[i], new, old, '+');
	}
	return count;
}

at_code_t
ctl_diff(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	document_t file = {0};
	document_t now = {0};
	at_code_t code;

	if (argc != 2)
		return usage(status, "diff FILE");
	code = document_load(argv[1], &file, status);
	if (code == AT_OK)
		code = document_fetch(o->platform, &now, status);
	if (code == AT_OK && print_diff(now.root, file.root) == 0)
		(void)printf("No difference.\n");
	document_free(&file);
	document_free(&now);
	return code;
}

at_code_t
ctl_get(const ctl_options_t *o, int argc, char **argv, at_status_t *status)
{
	document_t now = {0};
	at_code_t code;

	(void)argv;
	if (argc != 1)
		return usage(status, "get");
	code = document_fetch(o->platform, &now, status);
	if (code == AT_OK) {
		(void)json_dumpf(now.root, stdout, JSON_INDENT(2));
		(void)printf("\n");
	}
	document_free(&now);
	return code;
}
