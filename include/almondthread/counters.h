/*
 * counters.h - counters of one process, printed as Prometheus text.
 *
 * A counter is a name with at most one label. Reasons of refusal and retry
 * have one counter each from the start, so that a zero is visible.
 */
#ifndef ALMONDTHREAD_COUNTERS_H
#define ALMONDTHREAD_COUNTERS_H

#include "almondthread/units.h"
#include "almondthread/verdict.h"

typedef struct at_counters at_counters_t;

/* at_counters_new() returns an empty set, or NULL without memory. */
at_counters_t *at_counters_new(void);
void at_counters_delete(at_counters_t *counters);

/*
 * at_counters_add() adds n to name{label="value"}; label and value may both
 * be NULL. The counter is made when it does not exist.
 */
void at_counters_add(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t n);

/* at_counters_set() stores a gauge's present value. */
void at_counters_set(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t n);

/*
 * at_counters_observe() adds a time to the histogram name{label="value"}; its
 * bounds are 1, 2, 5, 10 and so on to 20,000 ms. The first observation makes
 * it.
 */
void at_counters_observe(at_counters_t *counters, const char *name,
    const char *label, const char *value, uint64_t ms);

uint64_t at_counters_get(const at_counters_t *counters, const char *name,
    const char *label, const char *value);

/* One refusal or one retry, by reason. */
void at_counters_add_refusal(at_counters_t *counters, at_reason_t reason);
void at_counters_add_retry(at_counters_t *counters, at_reason_t reason);

/*
 * at_counters_format() returns all counters, sorted by name, as Prometheus
 * text. The caller frees it with free(). NULL without memory.
 */
char *at_counters_format(const at_counters_t *counters);

#endif
