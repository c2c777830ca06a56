/*
 * operations.h - source of operations for fuzzers: first the bytes of the
 * input, then a random generator seeded by them. A run can so have any length
 * and is the same for the same input.
 */
#ifndef ALMONDTHREAD_TESTS_OPERATIONS_H
#define ALMONDTHREAD_TESTS_OPERATIONS_H

#include <stdio.h>
#include <stdlib.h>

#include "almondthread/ports.h"

/* Aborts with the line and the condition if the condition is false. */
#define CHECK(condition)                                               \
	do {                                                           \
		if (!(condition)) {                                    \
			(void)fprintf(                                 \
			    stderr, "%d: %s\n", __LINE__, #condition); \
			abort();                                       \
		}                                                      \
	} while (0)

typedef struct operations {
	const uint8_t *data;
	size_t size;
	at_rng_t rng;
} operations_t;

/* Returns a source for an input, which must outlive it. */
static inline operations_t
operations_of(const uint8_t *data, size_t size)
{
	operations_t o = {data, size, {0}};
	size_t i;

	for (i = 0; i < size; i++)
		o.rng.state = o.rng.state * 31 + data[i];
	return o;
}

/* Returns a number in [0, bound). */
static inline uint32_t
operations_draw(operations_t *o, uint32_t bound)
{
	if (o->size > 0) {
		o->size--;
		return *o->data++ % bound;
	}
	return (uint32_t)at_rng_below(&o->rng, bound);
}

#endif
