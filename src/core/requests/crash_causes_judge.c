/*
 * crash_causes_judge.c - finds the parts that explain the crashes best: again
 * and again, the one with the most crashes that are not explained yet.
 */
#include <stdlib.h>

#include "core/requests/crash_causes_internal.h"

#define SUSPECT_CRASHES 2u
/* For a part that has begun earlier, and is not known to have changed. */
#define BLOCK_BEGUN_CRASHES 5u
#define BLOCK_BEGUN_REQUESTS 3u
#define BLOCK_BEGUN_US 3000000u
/* Servers that crash within this time of each other have one cause. */
#define TOGETHER_US 30000u
/*
 * Time from the third crash to a block. A request that began before the crash
 * is known to have gone on by then, at any instance.
 */
#define BLOCK_DELAY_US 300000u
#define DEPTH_WHOLE_REQUEST UINT32_MAX
#define REQUESTS_COUNTED                                     \
	3u /* more different requests need not be told apart \
	    */

/* A part and the crashes since it last began that are not explained yet. */
typedef struct tally {
	uint64_t part;
	uint32_t depth; /* position in the prompt; a whole request is last */
	uint32_t crashes;
	uint64_t requests[REQUESTS_COUNTED];
	uint32_t request_count;
	uint64_t cleared_us;
	uint64_t last_us;  /* last crash; 0: none */
	uint64_t block_us; /* crash that is enough for a block */
	UT_hash_handle hh;
} tally_t;

typedef struct judgement {
	const at_crash_causes_t *causes;
	const crash_t *crashes[AT_CRASHES_MAX]; /* not explained, by time */
	size_t count;
	tally_t *tallies;
} judgement_t;

int
crash_causes_has_part(const crash_t *crash, uint64_t part)
{
	size_t i;
	size_t k;

	for (i = 0; i < crash->count; i++) {
		if (crash->requests[i].request == part)
			return 1;
		for (k = 0; k < crash->requests[i].count; k++) {
			if (crash->requests[i].parts[k] == part)
				return 1;
		}
	}
	return 0;
}

/* Keeps the crashes in the order of time. */
static void
add_crash(judgement_t *judgement, const crash_t *crash)
{
	size_t i = judgement->count++;

	for (;
	     i > 0 && judgement->crashes[i - 1]->crashed_us > crash->crashed_us;
	     i--)
		judgement->crashes[i] = judgement->crashes[i - 1];
	judgement->crashes[i] = crash;
}

static tally_t *
find_or_add_tally(judgement_t *judgement, uint64_t part, uint32_t depth)
{
	tally_t *tally;

	HASH_FIND(hh, judgement->tallies, &part, sizeof(part), tally);
	if (tally != NULL) {
		if (depth > tally->depth)
			tally->depth = depth;
		return tally;
	}
	tally = calloc(1, sizeof(*tally));
	if (tally == NULL)
		return NULL;
	tally->part = part;
	tally->depth = depth;
	tally->cleared_us = crash_causes_cleared_us(judgement->causes, part);
	HASH_ADD(hh, judgement->tallies, part, sizeof(tally->part), tally);
	return tally;
}

static void
count_request(tally_t *tally, uint64_t request)
{
	uint32_t i;

	for (i = 0; i < tally->request_count; i++) {
		if (tally->requests[i] == request)
			return;
	}
	if (i < REQUESTS_COUNTED)
		tally->requests[tally->request_count++] = request;
}

/* Counts a crash for a part; crashes come in the order of time. */
static void
count_part(judgement_t *judgement, const crash_t *crash, uint64_t part,
    uint32_t depth, uint64_t request)
{
	tally_t *tally = find_or_add_tally(judgement, part, depth);

	if (tally == NULL || crash->crashed_us <= tally->cleared_us)
		return;
	if (tally->last_us == 0 ||
	    crash->crashed_us > tally->last_us + TOGETHER_US)
		tally->crashes++;
	if (tally->crashes == AT_CRASHES_TO_BLOCK && tally->block_us == 0)
		tally->block_us = crash->crashed_us;
	tally->last_us = crash->crashed_us;
	count_request(tally, request);
}

static void
free_tallies(judgement_t *judgement)
{
	tally_t *tally;
	tally_t *next;

	HASH_ITER(hh, judgement->tallies, tally, next)
	{
		HASH_DEL(judgement->tallies, tally);
		free(tally);
	}
}

static void
count_all(judgement_t *judgement)
{
	size_t i;
	size_t k;
	size_t n;

	free_tallies(judgement);
	for (i = 0; i < judgement->count; i++) {
		const crash_t *crash = judgement->crashes[i];

		for (k = 0; k < crash->count; k++) {
			const at_request_parts_t *request = &crash->requests[k];

			for (n = 0; n < request->count; n++) {
				if (request->parts[n] != AT_REQUEST_PART_NONE)
					count_part(judgement, crash,
					    request->parts[n], (uint32_t)n,
					    request->request);
			}
			count_part(judgement, crash, request->request,
			    DEPTH_WHOLE_REQUEST, request->request);
		}
	}
}

static at_cause_state_t
state_of(const judgement_t *judgement, const tally_t *tally, uint64_t now_us)
{
	uint64_t begun_us =
	    crash_causes_begun_us(judgement->causes, tally->part);
	int is_whole = tally->depth == DEPTH_WHOLE_REQUEST;

	if (begun_us != 0)
		return !is_whole && tally->crashes >= BLOCK_BEGUN_CRASHES &&
			       tally->request_count >= BLOCK_BEGUN_REQUESTS &&
			       now_us >= begun_us + BLOCK_BEGUN_US
			   ? AT_CAUSE_BLOCKED
			   : AT_CAUSE_CLEAR;
	if (tally->crashes >= AT_CRASHES_TO_BLOCK &&
	    now_us >= tally->block_us + BLOCK_DELAY_US)
		return AT_CAUSE_BLOCKED;
	return tally->crashes >= SUSPECT_CRASHES ? AT_CAUSE_SUSPECT
						 : AT_CAUSE_CLEAR;
}

/* Returns non-zero if a explains more than b, of which most has most crashes.
 */
static int
is_better(const tally_t *a, const tally_t *b, uint32_t most)
{
	int a_counts = 3u * a->crashes > 2u * most;
	int b_counts = 3u * b->crashes > 2u * most;

	if (a_counts != b_counts)
		return a_counts;
	if (a->depth != b->depth)
		return a->depth > b->depth;
	return a->crashes > b->crashes;
}

static const tally_t *
find_best(const judgement_t *judgement, uint64_t now_us)
{
	const tally_t *best = NULL;
	const tally_t *tally;
	uint32_t most = 0;

	for (tally = judgement->tallies; tally != NULL;
	     tally = tally->hh.next) {
		if (tally->crashes > most &&
		    state_of(judgement, tally, now_us) != AT_CAUSE_CLEAR)
			most = tally->crashes;
	}
	for (tally = judgement->tallies; tally != NULL;
	     tally = tally->hh.next) {
		if (state_of(judgement, tally, now_us) != AT_CAUSE_CLEAR &&
		    (best == NULL || is_better(tally, best, most)))
			best = tally;
	}
	return best;
}

/* Removes the crashes since a part last began in which it was. */
static void
remove_explained(judgement_t *judgement, const tally_t *tally)
{
	size_t kept = 0;
	size_t i;

	for (i = 0; i < judgement->count; i++) {
		const crash_t *crash = judgement->crashes[i];

		if (crash->crashed_us <= tally->cleared_us ||
		    !crash_causes_has_part(crash, tally->part))
			judgement->crashes[kept++] = crash;
	}
	judgement->count = kept;
}

/* Parts that explain the same crashes equally well are chosen with the best. */
static size_t
choose_equals(const judgement_t *judgement, const tally_t *best,
    uint64_t now_us, candidate_t *chosen, size_t count)
{
	const tally_t *tally;

	for (tally = judgement->tallies; tally != NULL && count < CHOSEN_MAX;
	     tally = tally->hh.next) {
		at_cause_state_t state = state_of(judgement, tally, now_us);

		if (tally->depth != best->depth ||
		    tally->crashes != best->crashes || state == AT_CAUSE_CLEAR)
			continue;
		chosen[count++] = (candidate_t){.part = tally->part,
		    .begun_us =
			crash_causes_begun_us(judgement->causes, tally->part),
		    .crashes = tally->crashes,
		    .state = state};
	}
	return count;
}

size_t
crash_causes_judge(const at_crash_causes_t *causes, uint64_t now_us,
    candidate_t chosen[CHOSEN_MAX])
{
	judgement_t judgement = {.causes = causes};
	const tally_t *best;
	size_t count = 0;
	size_t i;

	for (i = 0; i < causes->crash_count; i++) {
		if (!causes->crashes[i].is_explained)
			add_crash(&judgement, &causes->crashes[i]);
	}
	count_all(&judgement);
	while (count < CHOSEN_MAX &&
	       (best = find_best(&judgement, now_us)) != NULL) {
		count = choose_equals(&judgement, best, now_us, chosen, count);
		remove_explained(&judgement, best);
		count_all(&judgement);
	}
	free_tallies(&judgement);
	return count;
}
