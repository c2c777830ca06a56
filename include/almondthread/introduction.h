/*
 * introduction.h - decides when an instance that has started asks its seeds,
 * the instances that its settings name, for the others, and how many such
 * requests it answers itself. It asks only while the platform has not listed
 * them.
 *
 * Times are passed in, in milliseconds. draw is a uniform random number.
 */
#ifndef ALMONDTHREAD_INTRODUCTION_H
#define ALMONDTHREAD_INTRODUCTION_H

#include <stdint.h>

/* Time that the platform has for its list, before jitter of up to as much. */
#define AT_INTRODUCTION_FIRST_MS 200u
/* Between two requests; it doubles up to this, before jitter of up to half. */
#define AT_INTRODUCTION_RETRY_MS 300u
#define AT_INTRODUCTION_RETRY_MAX_MS 2400u
/* Answers in a second; of more requests, those that are left out come again. */
#define AT_INTRODUCTION_ANSWERS_PER_S 20u

typedef struct at_introduction {
	uint64_t ask_ms;
	uint32_t retry_ms;
	uint32_t asked; /* requests until now */
	uint64_t answered_ms;
	uint32_t answers; /* left at answered_ms */
} at_introduction_t;

void at_introduction_init(
    at_introduction_t *introduction, uint64_t now_ms, uint64_t draw);
/* at_introduction_is_due() returns non-zero if the seeds are asked now. */
int at_introduction_is_due(
    at_introduction_t *introduction, uint64_t now_ms, uint64_t draw);
/*
 * at_introduction_may_answer() returns non-zero if a request is answered, and
 * counts it then.
 */
int at_introduction_may_answer(
    at_introduction_t *introduction, uint64_t now_ms);

#endif
