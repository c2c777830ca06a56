#include "almondthread/counters.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define KEY_SIZE 192 /* bytes of name{label="value"} with the NUL */

typedef struct counter {
	char key[KEY_SIZE];
	uint64_t value;
	UT_hash_handle hh;
} counter_t;

struct at_counters {
	counter_t *table;
};

static void
format_key(
    char key[KEY_SIZE], const char *name, const char *label, const char *value)
{
	if (label == NULL)
		(void)snprintf(key, KEY_SIZE, "almondthread_%s", name);
	else
		(void)snprintf(key, KEY_SIZE, "almondthread_%s{%s=\"%s\"}",
		    name, label, value);
}

static counter_t *
find_or_add(at_counters_t *counters, const char *name, const char *label,
    const char *value)
{
	char key[KEY_SIZE];
	counter_t *counter;

	format_key(key, name, label, value);
	HASH_FIND_STR(counters->table, key, counter);
	if (counter != NULL)
		return counter;
	counter = calloc(1, sizeof(*counter));
	if (counter == NULL)
		return NULL;
	memcpy(counter->key, key, sizeof(key));
	HASH_ADD_STR(counters->table, key, counter);
	return counter;
}

at_counters_t *
at_counters_new(void)
{
	at_counters_t *counters = calloc(1, sizeof(*counters));
	int i;

	if (counters == NULL)
		return NULL;
	for (i = AT_REASON_NONE + 1; i < AT_REASON_COUNT; i++) {
		at_counters_add(counters, "refusals_total", "reason",
		    at_reason_names[i], 0);
		at_counters_add(
		    counters, "retries_total", "reason", at_reason_names[i], 0);
	}
	return counters;
}

void
at_counters_delete(at_counters_t *counters)
{
	counter_t *counter;
	counter_t *tmp;

	if (counters == NULL)
		return;
	HASH_ITER(hh, counters->table, counter, tmp)
	{
		HASH_DEL(counters->table, counter);
		free(counter);
	}
	free(counters);
}

void
at_counters_add(at_counters_t *counters, const char *name, const char *label,
    const char *value, uint64_t n)
{
	counter_t *counter = find_or_add(counters, name, label, value);

	if (counter != NULL)
		counter->value += n;
}

void
at_counters_set(at_counters_t *counters, const char *name, const char *label,
    const char *value, uint64_t n)
{
	counter_t *counter = find_or_add(counters, name, label, value);

	if (counter != NULL)
		counter->value = n;
}

uint64_t
at_counters_get(const at_counters_t *counters, const char *name,
    const char *label, const char *value)
{
	char key[KEY_SIZE];
	counter_t *counter;

	format_key(key, name, label, value);
	HASH_FIND_STR(counters->table, key, counter);
	return counter == NULL ? 0 : counter->value;
}

void
at_counters_refusal(at_counters_t *counters, at_reason_t reason)
{
	at_counters_add(
	    counters, "refusals_total", "reason", at_reason_names[reason], 1);
}

void
at_counters_retry(at_counters_t *counters, at_reason_t reason)
{
	at_counters_add(
	    counters, "retries_total", "reason", at_reason_names[reason], 1);
}

static int
by_key(const counter_t *a, const counter_t *b)
{
	return strcmp(a->key, b->key);
}

char *
at_counters_text(const at_counters_t *counters)
{
	/* Sorting only relinks the table; the counters stay as they are. */
	at_counters_t *mutable = (at_counters_t *)(uintptr_t)counters;
	counter_t *counter;
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	if (out == NULL)
		return NULL;
	HASH_SORT(mutable->table, by_key);
	for (counter = mutable->table; counter != NULL;
	     counter = counter->hh.next)
		(void)fprintf(
		    out, "%s %" PRIu64 "\n", counter->key, counter->value);
	if (fclose(out) != 0) {
		free(text);
		return NULL;
	}
	return text;
}
