#include "io/settings.h"

#include <errno.h>
#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "io/address.h"

/*
 * Parses a decimal number as the platform writes it: "33", "33.157", "1000.0"
 * or "1e3". Returns -1 if it is none.
 */
static int
parse_number(const char *text, double *number)
{
	char *end;

	if (text[strspn(text, "0123456789.eE+-")] != '\0')
		return -1;
	*number = strtod(text, &end);
	return end == text || *end != '\0' || !isfinite(*number) ? -1 : 0;
}

static int
store_number(const at_setting_t *setting, const char *text, at_status_t *status)
{
	double number;

	if (parse_number(text, &number) != 0 || number < setting->low ||
	    number > setting->high) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s: expected a number from %u to %u, not '%s'",
		    setting->flag, setting->low, setting->high, text);
		return -1;
	}
	*(uint32_t *)setting->value =
	    (uint32_t)(setting->type == AT_SETTING_NUMBER_UP ? ceil(number)
							     : floor(number));
	return 0;
}

static int
store_decimal(
    const at_setting_t *setting, const char *text, at_status_t *status)
{
	double number;

	if (parse_number(text, &number) != 0 || number < 0.) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s: expected a number that is not negative, not '%s'",
		    setting->flag, text);
		return -1;
	}
	*(double *)setting->value = number;
	return 0;
}

static int
store_text(const at_setting_t *setting, const char *text, at_status_t *status)
{
	struct sockaddr_in addr;

	if (setting->type == AT_SETTING_ADDRESS && text[0] != '\0' &&
	    at_address_parse(text, &addr) != 0) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s: expected IP:PORT, not '%s'", setting->flag, text);
		return -1;
	}
	*(const char **)setting->value = text;
	return 0;
}

static int
store_value(const at_setting_t *setting, const char *text, at_status_t *status)
{
	if (text == NULL) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s%s%s is missing: %s", setting->flag,
		    setting->variable == NULL ? "" : " or ",
		    setting->variable == NULL ? "" : setting->variable,
		    setting->help);
		return -1;
	}
	if (setting->type == AT_SETTING_NUMBER ||
	    setting->type == AT_SETTING_NUMBER_UP ||
	    setting->type == AT_SETTING_FLAG)
		return store_number(setting, text, status);
	if (setting->type == AT_SETTING_DECIMAL)
		return store_decimal(setting, text, status);
	return store_text(setting, text, status);
}

void
at_settings_help(
    const char *program, const at_setting_t *settings, size_t count)
{
	size_t i;

	(void)printf("usage: %s [settings]\n\n", program);
	for (i = 0; i < count; i++) {
		const at_setting_t *setting = &settings[i];

		(void)printf("  --%s%s\n      %s", setting->flag,
		    setting->type == AT_SETTING_FLAG ? "" : "=VALUE",
		    setting->help);
		if (setting->variable != NULL)
			(void)printf(" [%s]", setting->variable);
		if (setting->fallback != NULL && setting->fallback[0] != '\0')
			(void)printf(" (default %s)", setting->fallback);
		(void)printf("\n");
	}
}

/* A setting in a settings file. */
typedef struct file_line {
	char *flag;
	char *value;
} file_line_t;

struct at_settings_file {
	char *text;
	file_line_t *lines;
	size_t count;
};

void
at_settings_file_delete(at_settings_file_t *file)
{
	if (file == NULL)
		return;
	free(file->lines);
	free(file->text);
	free(file);
}

static char *
read_file(const char *path, at_status_t *status)
{
	FILE *in = fopen(path, "r");
	char *text = NULL;
	size_t size = 0;

	if (in == NULL || getdelim(&text, &size, '\0', in) < 0) {
		(void)at_status_set(
		    status, AT_INVALID, "%s: %s", path, strerror(errno));
		free(text);
		text = NULL;
	}
	if (in != NULL)
		(void)fclose(in);
	return text;
}

static int
is_setting(const at_setting_t *settings, size_t count, const char *flag)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (strcmp(settings[i].flag, flag) == 0)
			return 1;
	}
	return 0;
}

/* Splits a line in place. Returns -1 if it is not a setting. */
static int
add_line(at_settings_file_t *file, const at_setting_t *settings, size_t count,
    char *line)
{
	char *equals = strchr(line, '=');
	file_line_t *grown;

	if (line[0] == '\0' || line[0] == '#')
		return 0;
	if (equals == NULL)
		return -1;
	*equals = '\0';
	if (!is_setting(settings, count, line))
		return -1;
	grown = realloc(file->lines, (file->count + 1) * sizeof(*grown));
	if (grown == NULL)
		return -1;
	file->lines = grown;
	file->lines[file->count].flag = line;
	file->lines[file->count].value = equals + 1;
	file->count++;
	return 0;
}

at_settings_file_t *
at_settings_file_read(const char *path, const at_setting_t *settings,
    size_t count, at_status_t *status)
{
	at_settings_file_t *file = calloc(1, sizeof(*file));
	unsigned line_number = 0;
	char *remaining;
	char *line;

	if (file == NULL) {
		(void)at_status_set(status, AT_FAILED, "out of memory");
		return NULL;
	}
	file->text = read_file(path, status);
	remaining = file->text;
	while (remaining != NULL && (line = strsep(&remaining, "\n")) != NULL) {
		line_number++;
		if (add_line(file, settings, count, line) == 0)
			continue;
		(void)at_status_set(status, AT_INVALID,
		    "%s, line %u: '%s' is not a setting", path, line_number,
		    line);
		at_settings_file_delete(file);
		return NULL;
	}
	if (file->text == NULL) {
		at_settings_file_delete(file);
		return NULL;
	}
	return file;
}

static const char *
file_value(const at_settings_file_t *file, const char *flag)
{
	size_t i;

	for (i = 0; file != NULL && i < file->count; i++) {
		if (strcmp(file->lines[i].flag, flag) == 0)
			return file->lines[i].value;
	}
	return NULL;
}

static int
read_setting(const at_setting_t *setting, void *arg,
    const at_settings_file_t *file, at_status_t *status)
{
	const char *text = file_value(file, setting->flag);

	if (text == NULL || text[0] == '\0')
		text = setting->fallback;
	if (setting->variable != NULL && getenv(setting->variable) != NULL)
		text = getenv(setting->variable);
	if (setting->type == AT_SETTING_FLAG) {
		if (((struct arg_lit *)arg)->count > 0)
			text = "1";
	} else if (((struct arg_str *)arg)->count > 0) {
		text = ((struct arg_str *)arg)->sval[0];
	}
	return store_value(setting, text, status);
}

static void **
make_table(const at_setting_t *settings, size_t count, struct arg_end **end)
{
	void **table = calloc(count + 2, sizeof(*table));
	size_t i;

	if (table == NULL)
		return NULL;
	for (i = 0; i < count; i++) {
		if (settings[i].type == AT_SETTING_FLAG)
			table[i] =
			    arg_lit0(NULL, settings[i].flag, settings[i].help);
		else
			table[i] = arg_str0(
			    NULL, settings[i].flag, "VALUE", settings[i].help);
	}
	table[count] = arg_lit0("h", "help", "print this text");
	*end = arg_end(1);
	table[count + 1] = *end;
	return table;
}

static void
report_error(struct arg_end *end, const char *program, at_status_t *status)
{
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	if (out == NULL)
		return;
	arg_print_errors(out, end, program);
	(void)fclose(out);
	text[strcspn(text, "\n")] = '\0';
	(void)at_status_set(status, AT_INVALID, "%s", text);
	free(text);
}

int
at_settings_read(const at_setting_t *settings, size_t count, int argc,
    char **argv, at_status_t *status)
{
	return at_settings_read_with(settings, count, argc, argv, NULL, status);
}

int
at_settings_read_with(const at_setting_t *settings, size_t count, int argc,
    char **argv, const at_settings_file_t *file, at_status_t *status)
{
	struct arg_end *end = NULL;
	void **table = make_table(settings, count, &end);
	int result = 0;
	size_t i;

	if (table == NULL) {
		(void)at_status_set(status, AT_FAILED, "out of memory");
		return -1;
	}
	if (arg_parse(argc, argv, table) > 0) {
		report_error(end, argv[0], status);
		result = -1;
	} else if (((struct arg_lit *)table[count])->count > 0) {
		at_settings_help(argv[0], settings, count);
		result = 1;
	}
	for (i = 0; i < count && result == 0; i++)
		result = read_setting(&settings[i], table[i], file, status);
	arg_freetable(table, count + 2);
	free(table);
	return result;
}
