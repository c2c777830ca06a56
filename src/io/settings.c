#include "io/settings.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <argtable2.h>

#include "io/address.h"

static int
store_number(const at_setting_t *row, const char *text, at_status_t *status)
{
	char *end;
	unsigned long long number;

	errno = 0;
	number = strtoull(text, &end, 10);
	if (text[0] < '0' || text[0] > '9' || *end != '\0' || errno != 0 ||
	    number < row->low || number > row->high) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s: expected a number from %u to %u, not '%s'",
		    row->flag, row->low, row->high, text);
		return -1;
	}
	*(uint32_t *)row->value = (uint32_t)number;
	return 0;
}

static int
store_text(const at_setting_t *row, const char *text, at_status_t *status)
{
	struct sockaddr_in addr;

	if (row->type == AT_SETTING_ADDRESS && text[0] != '\0' &&
	    at_address_parse(text, &addr) != 0) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s: expected IP:PORT, not '%s'", row->flag, text);
		return -1;
	}
	*(const char **)row->value = text;
	return 0;
}

static int
store(const at_setting_t *row, const char *text, at_status_t *status)
{
	if (text == NULL) {
		(void)at_status_set(status, AT_INVALID,
		    "--%s%s%s is missing: %s", row->flag,
		    row->variable == NULL ? "" : " or ",
		    row->variable == NULL ? "" : row->variable, row->help);
		return -1;
	}
	if (row->type == AT_SETTING_NUMBER || row->type == AT_SETTING_FLAG)
		return store_number(row, text, status);
	return store_text(row, text, status);
}

void
at_settings_help(const char *program, const at_setting_t *rows, size_t count)
{
	size_t i;

	(void)printf("usage: %s [settings]\n\n", program);
	for (i = 0; i < count; i++) {
		const at_setting_t *row = &rows[i];

		(void)printf("  --%s%s\n      %s", row->flag,
		    row->type == AT_SETTING_FLAG ? "" : "=VALUE", row->help);
		if (row->variable != NULL)
			(void)printf(" [%s]", row->variable);
		if (row->fallback != NULL && row->fallback[0] != '\0')
			(void)printf(" (default %s)", row->fallback);
		(void)printf("\n");
	}
}

static int
read_row(const at_setting_t *row, void *arg, at_status_t *status)
{
	const char *text = row->fallback;

	if (row->variable != NULL && getenv(row->variable) != NULL)
		text = getenv(row->variable);
	if (row->type == AT_SETTING_FLAG) {
		if (((struct arg_lit *)arg)->count > 0)
			text = "1";
	} else if (((struct arg_str *)arg)->count > 0) {
		text = ((struct arg_str *)arg)->sval[0];
	}
	return store(row, text, status);
}

static void **
make_table(const at_setting_t *rows, size_t count, struct arg_end **end)
{
	void **table = calloc(count + 2, sizeof(*table));
	size_t i;

	if (table == NULL)
		return NULL;
	for (i = 0; i < count; i++) {
		if (rows[i].type == AT_SETTING_FLAG)
			table[i] = arg_lit0(NULL, rows[i].flag, rows[i].help);
		else
			table[i] =
			    arg_str0(NULL, rows[i].flag, "VALUE", rows[i].help);
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
at_settings_read(const at_setting_t *rows, size_t count, int argc, char **argv,
    at_status_t *status)
{
	struct arg_end *end = NULL;
	void **table = make_table(rows, count, &end);
	int result = 0;
	size_t i;

	if (table == NULL) {
		(void)at_status_set(status, AT_FAILED, "no memory");
		return -1;
	}
	if (arg_parse(argc, argv, table) > 0) {
		report_error(end, argv[0], status);
		result = -1;
	} else if (((struct arg_lit *)table[count])->count > 0) {
		at_settings_help(argv[0], rows, count);
		result = 1;
	}
	for (i = 0; i < count && result == 0; i++)
		result = read_row(&rows[i], table[i], status);
	arg_freetable(table, count + 2);
	free(table);
	return result;
}
