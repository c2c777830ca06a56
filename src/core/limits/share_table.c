/*
 * share_table.c - text of the fleet's table of shares: a header line, then one
 * line for each entry with instance name, incarnation number, floor and leased
 * part in ppb, and renewal number.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/share_root.h"

#define HEADER_LINE "shares 1\n"
#define LINE_SIZE_BYTES 256u /* longest line of an entry, with the NUL */

void
at_share_table_clear(at_share_table_t *table)
{
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

at_share_entry_t *
at_share_table_find(const at_share_table_t *table, uint64_t number)
{
	size_t i;

	for (i = 0; i < table->count; i++) {
		if (table->entries[i].incarnation.number == number)
			return &table->entries[i];
	}
	return NULL;
}

int64_t
at_share_table_sum_ppb(const at_share_table_t *table)
{
	int64_t sum = 0;
	size_t i;

	for (i = 0; i < table->count; i++)
		sum +=
		    table->entries[i].floor_ppb + table->entries[i].lease_ppb;
	return sum;
}

static int
parse_line(at_share_entry_t *entry, const char *line)
{
	char name[AT_NAME_SIZE];

	if (sscanf(line, "%63s %" SCNu64 " %" SCNd64 " %" SCNd64 " %" SCNu64,
		name, &entry->incarnation.number, &entry->floor_ppb,
		&entry->lease_ppb, &entry->renewal) != 5 ||
	    at_name_set(&entry->incarnation.instance, name) != 0 ||
	    entry->floor_ppb < 0 || entry->floor_ppb > AT_PPB_WHOLE ||
	    entry->lease_ppb < 0 || entry->lease_ppb > AT_PPB_WHOLE)
		return -1;
	return 0;
}

/* Parses one line. Returns the next, or NULL when it is not a valid entry. */
static const char *
parse_entry(at_share_table_t *table, const char *text, const char *end)
{
	const char *newline = memchr(text, '\n', (size_t)(end - text));
	at_share_entry_t entry = {0};
	char line[LINE_SIZE_BYTES];
	size_t len;

	if (newline == NULL || newline - text >= (ptrdiff_t)sizeof(line))
		return NULL;
	len = (size_t)(newline - text);
	memcpy(line, text, len);
	line[len] = '\0';
	if (parse_line(&entry, line) != 0 ||
	    at_share_table_find(table, entry.incarnation.number) != NULL)
		return NULL;
	table->entries[table->count++] = entry;
	return newline + 1;
}

int
at_share_table_parse(at_share_table_t *table, const char *text, size_t len)
{
	const char *end = text + len;
	size_t lines = 0;
	size_t i;

	memset(table, 0, sizeof(*table));
	if (len < strlen(HEADER_LINE) ||
	    memcmp(text, HEADER_LINE, strlen(HEADER_LINE)) != 0)
		return -1;
	for (i = 0; i < len; i++)
		lines += text[i] == '\n';
	table->entries = calloc(lines, sizeof(*table->entries));
	if (table->entries == NULL)
		return -1;
	text += strlen(HEADER_LINE);
	while (text != NULL && text < end)
		text = parse_entry(table, text, end);
	if (text != NULL && at_share_table_sum_ppb(table) <= AT_PPB_WHOLE)
		return 0;
	at_share_table_clear(table);
	return -1;
}

char *
at_share_table_format(const at_share_table_t *table, size_t *len)
{
	size_t size = sizeof(HEADER_LINE) + table->count * LINE_SIZE_BYTES;
	char *text = malloc(size);
	size_t used = strlen(HEADER_LINE);
	size_t i;

	if (text == NULL)
		return NULL;
	memcpy(text, HEADER_LINE, sizeof(HEADER_LINE));
	for (i = 0; i < table->count; i++) {
		const at_share_entry_t *entry = &table->entries[i];

		used += (size_t)snprintf(text + used, size - used,
		    "%s %" PRIu64 " %" PRId64 " %" PRId64 " %" PRIu64 "\n",
		    entry->incarnation.instance.text, entry->incarnation.number,
		    entry->floor_ppb, entry->lease_ppb, entry->renewal);
	}
	*len = used;
	return text;
}
