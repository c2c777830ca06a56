/*
 * counters.h - metrics of one process, formatted as Prometheus text.
 *
 * A counter has a name and at most one label. Each reason of a refusal or
 * retry has a counter from the start, so that zeros are exported.
 */
#ifndef ALMONDTHREAD_COUNTERS_H
#define ALMONDTHREAD_COUNTERS_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

typedef struct at_counters at_counters_t;

/* at_counters_new() returns an empty set, or NULL if out of memory. */
at_counters_t *at_counters_new(void);
void at_counters_delete(at_counters_t *counters);

/*
 * at_counters_add() adds n to name{label="value"}; label and value may both
 * be NULL. The counter is created when it does not exist.
 */
void at_counters_add(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t n);

/* at_counters_set() sets the value of a gauge. */
void at_counters_set(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t n);

/*
 * at_counters_observe() adds a duration to the histogram
 * name{label="value"}, whose bounds are 1, 2, 5, 10 and so on up to
 * 20,000 ms. The first observation creates it.
 */
void at_counters_observe(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t ms);

uint64_t at_counters_get(const at_counters_t *counters, const char *name,
    const char *label, const char *value);

/* Both add one to the counter of a reason. */
void at_counters_add_refusal(at_counters_t *counters, at_reason_t reason);
void at_counters_add_retry(at_counters_t *counters, at_reason_t reason);

/*
 * at_counters_format() returns all counters, sorted by name, as Prometheus
 * text. The caller frees it with free(). NULL if out of memory.
 */
char *at_counters_format(const at_counters_t *counters);

#endif
