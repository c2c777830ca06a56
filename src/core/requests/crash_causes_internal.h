/*
 * crash_causes_internal.h - types shared by crash_causes.c, which has crashes,
 * what has begun and verdicts, and crash_causes_judge.c, which judges parts by
 * them.
 */
#ifndef ALMONDTHREAD_CORE_CRASH_CAUSES_INTERNAL_H
#define ALMONDTHREAD_CORE_CRASH_CAUSES_INTERNAL_H

#include <uthash.h>

#include "almondthread/crash_causes.h"

/* Candidates that one judgement can choose: no more than verdicts. */
#define CHOSEN_MAX AT_CRASH_VERDICTS_MAX

typedef struct crash {
	uint64_t server;
	uint64_t crashed_us;
	int is_explained; /* by a block; further requests are not accused */
	at_request_parts_t *requests;
	size_t count;
} crash_t;

/* When a part last began, here or at another instance. */
typedef struct begun {
	uint64_t part;
	uint64_t begun_us;
	uint64_t begun_here_us; /* 0: only elsewhere */
	uint64_t reported_us;   /* begun_here_us when it was last reported */
	int is_asked;           /* another instance has blocked the part */
	UT_hash_handle hh;
} begun_t;

/* A part of a request in one of the crashes. */
typedef struct accused {
	uint64_t part;
	uint32_t count; /* requests in crashes that have it */
	UT_hash_handle hh;
} accused_t;

typedef struct verdict {
	at_crash_verdict_t verdict;
	uint64_t trial_us; /* start of the last trial; 0: none */
} verdict_t;

struct at_crash_causes {
	crash_t crashes[AT_CRASHES_MAX];
	size_t crash_count;
	size_t part_count; /* of all requests in crashes */
	accused_t *accused;
	begun_t *begun; /* in the order of the last change */
	verdict_t verdicts[AT_CRASH_VERDICTS_MAX];
	size_t verdict_count;
	uint64_t judge_until_us; /* without a change, nothing to judge then */
	int is_changed;          /* since the last judgement */
	int is_asked;            /* an entry of begun is */
};

/* A part that is to be suspect or blocked. */
typedef struct candidate {
	uint64_t part;
	uint64_t begun_us; /* 0: never */
	uint32_t crashes;
	at_cause_state_t state;
} candidate_t;

/*
 * Returns when a part last began or was lifted: earlier crashes do not count
 * for it. 0: never.
 */
uint64_t crash_causes_cleared_us(
    const at_crash_causes_t *causes, uint64_t part);
/* Returns when a part last began, or 0. */
uint64_t crash_causes_begun_us(const at_crash_causes_t *causes, uint64_t part);
/*
 * Writes the parts that are to be suspect or blocked, and returns their number,
 * at most CHOSEN_MAX.
 */
size_t crash_causes_judge(const at_crash_causes_t *causes, uint64_t now_us,
    candidate_t chosen[CHOSEN_MAX]);
/* Returns non-zero if one of the requests has the part. */
int crash_causes_has_part(const crash_t *crash, uint64_t part);

#endif
