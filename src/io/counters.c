#include "almondthread/counters.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define KEY_SIZE 192 /* bytes of name{label="value"}, with the NUL */

typedef struct counter {
	char key[KEY_SIZE];
	uint64_t value;
	UT_hash_handle hh;
} counter_t;

/* Upper bounds of a histogram's buckets; the last bucket has none. */
static const uint64_t bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000, 20000};
#define BOUND_COUNT (sizeof(bounds_ms) / sizeof(bounds_ms[0]))

typedef struct histogram {
	char key[KEY_SIZE]; /* name{label="value"} */
	char name[KEY_SIZE / 2];
	char label[KEY_SIZE / 2]; /* label="value" */
	uint64_t buckets[BOUND_COUNT + 1];
	uint64_t sum_ms;
	UT_hash_handle hh;
} histogram_t;

struct at_counters {
	counter_t *table;
	histogram_t *histograms;
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
	counter_t *next_counter;
	histogram_t *histogram;
	histogram_t *next_histogram;

	if (counters == NULL)
		return;
	HASH_ITER(hh, counters->histograms, histogram, next_histogram)
	{
		HASH_DEL(counters->histograms, histogram);
		free(histogram);
	}
	HASH_ITER(hh, counters->table, counter, next_counter)
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

static histogram_t *
find_or_add_histogram(at_counters_t *counters, const char *name,
    const char *label, const char *value)
{
	char key[KEY_SIZE];
	histogram_t *histogram;

	format_key(key, name, label, value);
	HASH_FIND_STR(counters->histograms, key, histogram);
	if (histogram != NULL)
		return histogram;
	histogram = calloc(1, sizeof(*histogram));
	if (histogram == NULL)
		return NULL;
	memcpy(histogram->key, key, sizeof(key));
	(void)snprintf(histogram->name, sizeof(histogram->name), "%s", name);
	(void)snprintf(histogram->label, sizeof(histogram->label), "%s=\"%s\"",
	    label, value);
	HASH_ADD_STR(counters->histograms, key, histogram);
	return histogram;
}

void
at_counters_observe(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t ms)
{
	histogram_t *histogram =
	    find_or_add_histogram(counters, name, label, value);
	size_t i = 0;

	if (histogram == NULL)
		return;
	while (i < BOUND_COUNT && ms > bounds_ms[i])
		i++;
	histogram->buckets[i]++;
	histogram->sum_ms += ms;
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
at_counters_add_refusal(at_counters_t *counters, at_reason_t reason)
{
	at_counters_add(
	    counters, "refusals_total", "reason", at_reason_names[reason], 1);
}

void
at_counters_add_retry(at_counters_t *counters, at_reason_t reason)
{
	at_counters_add(
	    counters, "retries_total", "reason", at_reason_names[reason], 1);
}

static int
compare_keys(const counter_t *a, const counter_t *b)
{
	return strcmp(a->key, b->key);
}

static void
print_histogram(FILE *out, const histogram_t *h)
{
	uint64_t count = 0;
	size_t i;

	for (i = 0; i < BOUND_COUNT; i++) {
		count += h->buckets[i];
		(void)fprintf(out,
		    "almondthread_%s_bucket{%s,le=\"%" PRIu64 "\"} %" PRIu64
		    "\n",
		    h->name, h->label, bounds_ms[i], count);
	}
	count += h->buckets[BOUND_COUNT];
	(void)fprintf(out,
	    "almondthread_%s_bucket{%s,le=\"+Inf\"} %" PRIu64 "\n"
	    "almondthread_%s_sum{%s} %" PRIu64 "\n"
	    "almondthread_%s_count{%s} %" PRIu64 "\n",
	    h->name, h->label, count, h->name, h->label, h->sum_ms, h->name,
	    h->label, count);
}

char *
at_counters_format(const at_counters_t *counters)
{
	/* Sorting changes the order of the table, but no counter. */
	at_counters_t *mutable = (at_counters_t *)(uintptr_t)counters;
	const histogram_t *histogram;
	counter_t *counter;
	char *text = NULL;
	size_t size = 0;
	FILE *out = open_memstream(&text, &size);

	if (out == NULL)
		return NULL;
	HASH_SORT(mutable->table, compare_keys);
	for (counter = mutable->table; counter != NULL;
	     counter = counter->hh.next)
		(void)fprintf(
		    out, "%s %" PRIu64 "\n", counter->key, counter->value);
	for (histogram = counters->histograms; histogram != NULL;
	     histogram = histogram->hh.next)
		print_histogram(out, histogram);
	if (fclose(out) != 0) {
		free(text);
		return NULL;
	}
	return text;
}
