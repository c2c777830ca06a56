#include "almondthread/crash_causes.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "core/requests/crash_causes_internal.h"

/* Crashes of one incarnation of a server within this time are one crash. */
#define SAME_CRASH_US 10000000u
/* Least time between two trials of one part. */
#define TRIAL_GAP_US 1000000u
/* How long time alone may change the judgement on a crash. */
#define JUDGE_US 5000000u

const char *const at_cause_state_names[] = {
    "clear", "suspect", "blocked", "lifted"};

static uint64_t
hash_text(const char *text, uint64_t seed)
{
	return text == NULL ? seed
			    : XXH3_64bits_withSeed(text, strlen(text), seed);
}

/* A query may differ each time that a caller sends a request again. */
static uint64_t
hash_path(const char *target, uint64_t seed)
{
	return target == NULL
		   ? seed
		   : XXH3_64bits_withSeed(target, strcspn(target, "?"), seed);
}

void
at_request_parts_init(at_request_parts_t *request, uint64_t *parts,
    size_t count, const char *target, const char *key, const void *body,
    size_t body_len)
{
	uint64_t own = count == 0 ? 0 : parts[count - 1];

	request->parts = parts;
	request->count = count;
	request->request = hash_text(key, hash_path(target, own));
	if (body != NULL)
		request->request =
		    XXH3_64bits_withSeed(body, body_len, request->request);
}

void
at_request_parts_copy(
    at_request_parts_t *copy, const at_request_parts_t *request)
{
	*copy = (at_request_parts_t){.request = request->request};
	if (request->count == 0)
		return;
	copy->parts = malloc(request->count * sizeof(*copy->parts));
	if (copy->parts == NULL)
		return;
	memcpy(
	    copy->parts, request->parts, request->count * sizeof(*copy->parts));
	copy->count = request->count;
}

void
at_request_parts_clear(at_request_parts_t *request)
{
	free(request->parts);
	memset(request, 0, sizeof(*request));
}

at_crash_causes_t *
at_crash_causes_new(void)
{
	return calloc(1, sizeof(at_crash_causes_t));
}

/* Crashes */

static accused_t *
find_accused(const at_crash_causes_t *causes, uint64_t part)
{
	accused_t *accused;

	HASH_FIND(hh, causes->accused, &part, sizeof(part), accused);
	return accused;
}

static void
add_accused(at_crash_causes_t *causes, uint64_t part)
{
	accused_t *accused = find_accused(causes, part);

	if (part == AT_REQUEST_PART_NONE)
		return;
	if (accused == NULL) {
		accused = calloc(1, sizeof(*accused));
		if (accused == NULL)
			return;
		accused->part = part;
		HASH_ADD(
		    hh, causes->accused, part, sizeof(accused->part), accused);
	}
	accused->count++;
}

static void
remove_accused(at_crash_causes_t *causes, uint64_t part)
{
	accused_t *accused = find_accused(causes, part);

	if (accused == NULL || --accused->count > 0)
		return;
	HASH_DEL(causes->accused, accused);
	free(accused);
}

static void
clear_requests(at_crash_causes_t *causes, crash_t *crash)
{
	size_t i;
	size_t k;

	for (i = 0; i < crash->count; i++) {
		at_request_parts_t *request = &crash->requests[i];

		for (k = 0; k < request->count; k++)
			remove_accused(causes, request->parts[k]);
		remove_accused(causes, request->request);
		causes->part_count -= request->count;
		at_request_parts_clear(request);
	}
	free(crash->requests);
	crash->requests = NULL;
	crash->count = 0;
}

void
at_crash_causes_delete(at_crash_causes_t *causes)
{
	begun_t *begun;
	begun_t *next;
	size_t i;

	if (causes == NULL)
		return;
	for (i = 0; i < causes->crash_count; i++)
		clear_requests(causes, &causes->crashes[i]);
	HASH_ITER(hh, causes->begun, begun, next)
	{
		HASH_DEL(causes->begun, begun);
		free(begun);
	}
	free(causes);
}

static crash_t *
find_or_add_crash(
    at_crash_causes_t *causes, uint64_t server, uint64_t crashed_us)
{
	crash_t *oldest = &causes->crashes[0];
	size_t i;

	for (i = 0; i < causes->crash_count; i++) {
		crash_t *crash = &causes->crashes[i];

		if (crash->server == server &&
		    crashed_us < crash->crashed_us + SAME_CRASH_US)
			return crash;
		if (crash->crashed_us < oldest->crashed_us)
			oldest = crash;
	}
	if (causes->crash_count < AT_CRASHES_MAX) {
		oldest = &causes->crashes[causes->crash_count++];
		memset(oldest, 0, sizeof(*oldest));
	}
	clear_requests(causes, oldest);
	*oldest = (crash_t){.server = server, .crashed_us = crashed_us};
	return oldest;
}

/* Makes room for parts; returns -1 if there is not enough. */
static int
make_room(at_crash_causes_t *causes, const crash_t *crash, size_t count)
{
	while (causes->part_count + count > AT_CRASH_PARTS_MAX) {
		crash_t *oldest = NULL;
		size_t i;

		for (i = 0; i < causes->crash_count; i++) {
			crash_t *other = &causes->crashes[i];

			if (other != crash && other->count > 0 &&
			    (oldest == NULL ||
				other->crashed_us < oldest->crashed_us))
				oldest = other;
		}
		if (oldest == NULL)
			return -1;
		clear_requests(causes, oldest);
	}
	return 0;
}

/*
 * Adds the parts that a recorded request lacks: an instance reports a long
 * prompt in pieces. Returns non-zero if there were any.
 */
static int
add_missing_parts(at_crash_causes_t *causes, const crash_t *crash,
    at_request_parts_t *recorded, const at_request_parts_t *request)
{
	size_t more = request->count > recorded->count
			  ? request->count - recorded->count
			  : 0;
	int is_new = 0;
	size_t i;

	if (more > 0) {
		uint64_t *grown;

		if (make_room(causes, crash, more) != 0)
			return 0;
		grown =
		    realloc(recorded->parts, request->count * sizeof(*grown));
		if (grown == NULL)
			return 0;
		recorded->parts = grown;
		for (i = recorded->count; i < request->count; i++)
			grown[i] = AT_REQUEST_PART_NONE;
		recorded->count = request->count;
		causes->part_count += more;
	}
	for (i = 0; i < request->count; i++) {
		if (recorded->parts[i] != AT_REQUEST_PART_NONE ||
		    request->parts[i] == AT_REQUEST_PART_NONE)
			continue;
		recorded->parts[i] = request->parts[i];
		add_accused(causes, recorded->parts[i]);
		is_new = 1;
	}
	return is_new;
}

/* Returns non-zero if the request, or a part of it, was not recorded before. */
static int
add_request(at_crash_causes_t *causes, crash_t *crash,
    const at_request_parts_t *request)
{
	at_request_parts_t *grown;
	size_t i;

	for (i = 0; i < crash->count; i++) {
		if (crash->requests[i].request == request->request)
			return add_missing_parts(
			    causes, crash, &crash->requests[i], request);
	}
	if (crash->is_explained || crash->count == AT_CRASH_REQUESTS_MAX ||
	    make_room(causes, crash, request->count) != 0)
		return 0;
	grown = realloc(crash->requests, (crash->count + 1) * sizeof(*grown));
	if (grown == NULL)
		return 0;
	crash->requests = grown;
	at_request_parts_copy(&grown[crash->count], request);
	request = &grown[crash->count++];
	causes->part_count += request->count;
	for (i = 0; i < request->count; i++)
		add_accused(causes, request->parts[i]);
	add_accused(causes, request->request);
	return 1;
}

int
at_crash_causes_add_crash(at_crash_causes_t *causes, uint64_t server,
    const at_request_parts_t *requests, size_t count, uint64_t crashed_us)
{
	crash_t *crash;
	int is_new = 0;
	size_t i;

	if (count == 0)
		return 0;
	crash = find_or_add_crash(causes, server, crashed_us);
	for (i = 0; i < count; i++)
		is_new |= add_request(causes, crash, &requests[i]);
	causes->is_changed |= is_new;
	if (is_new)
		causes->judge_until_us = crashed_us + JUDGE_US;
	return is_new;
}

/* What has begun */

static begun_t *
find_begun(const at_crash_causes_t *causes, uint64_t part)
{
	begun_t *begun;

	HASH_FIND(hh, causes->begun, &part, sizeof(part), begun);
	return begun;
}

uint64_t
crash_causes_begun_us(const at_crash_causes_t *causes, uint64_t part)
{
	const begun_t *begun = find_begun(causes, part);

	return begun == NULL ? 0 : begun->begun_us;
}

/* Returns the entry, now the newest one, or NULL if out of memory. */
static begun_t *
renew_begun(at_crash_causes_t *causes, uint64_t part)
{
	begun_t *begun = find_begun(causes, part);

	if (begun != NULL) {
		HASH_DEL(causes->begun, begun);
	} else if (HASH_COUNT(causes->begun) >= AT_CRASH_BEGUN_MAX) {
		begun = causes->begun;
		HASH_DEL(causes->begun, begun);
		memset(begun, 0, sizeof(*begun));
	} else {
		begun = calloc(1, sizeof(*begun));
		if (begun == NULL)
			return NULL;
	}
	begun->part = part;
	HASH_ADD(hh, causes->begun, part, sizeof(begun->part), begun);
	return begun;
}

static verdict_t *
find_verdict(at_crash_causes_t *causes, uint64_t part)
{
	size_t i;

	for (i = 0; i < causes->verdict_count; i++) {
		if (causes->verdicts[i].verdict.part == part)
			return &causes->verdicts[i];
	}
	return NULL;
}

uint64_t
crash_causes_cleared_us(const at_crash_causes_t *causes, uint64_t part)
{
	uint64_t cleared_us = crash_causes_begun_us(causes, part);
	size_t i;

	for (i = 0; i < causes->verdict_count; i++) {
		const at_crash_verdict_t *verdict =
		    &causes->verdicts[i].verdict;

		if (verdict->part == part &&
		    verdict->state == AT_CAUSE_LIFTED &&
		    verdict->since_us > cleared_us)
			cleared_us = verdict->since_us;
	}
	return cleared_us;
}

static void
remove_verdict(at_crash_causes_t *causes, verdict_t *verdict)
{
	*verdict = causes->verdicts[--causes->verdict_count];
}

/*
 * A part that had never begun is cleared by any beginning, one that is blocked
 * although it had begun by a later one only.
 */
static void
clear_verdict(at_crash_causes_t *causes, uint64_t part, uint64_t begun_us)
{
	verdict_t *verdict = find_verdict(causes, part);

	if (verdict == NULL || verdict->verdict.state == AT_CAUSE_LIFTED ||
	    (verdict->verdict.has_begun &&
		begun_us <= verdict->verdict.since_us))
		return;
	remove_verdict(causes, verdict);
}

static void
set_begun(at_crash_causes_t *causes, uint64_t part, uint64_t begun_us, int here)
{
	begun_t *begun = renew_begun(causes, part);

	if (begun == NULL)
		return;
	if (begun_us > begun->begun_us)
		begun->begun_us = begun_us;
	if (here && begun_us > begun->begun_here_us)
		begun->begun_here_us = begun_us;
	clear_verdict(causes, part, begun_us);
	if (find_accused(causes, part) != NULL)
		causes->is_changed = 1;
}

void
at_crash_causes_note_begun(at_crash_causes_t *causes,
    const at_request_parts_t *request, uint64_t begun_us)
{
	size_t i;

	for (i = 0; i < request->count; i++)
		set_begun(causes, request->parts[i], begun_us, 1);
	/* Whole requests are many; only those that are accused are noted. */
	if (find_accused(causes, request->request) != NULL)
		set_begun(causes, request->request, begun_us, 1);
}

void
at_crash_causes_apply_begun(
    at_crash_causes_t *causes, uint64_t part, uint64_t begun_us)
{
	set_begun(causes, part, begun_us, 0);
}

size_t
at_crash_causes_take_begun(
    at_crash_causes_t *causes, at_part_begun_t *entries, size_t max)
{
	begun_t *begun;
	size_t count = 0;

	if (causes->accused == NULL && !causes->is_asked)
		return 0;
	causes->is_asked = 0;
	for (begun = causes->begun; begun != NULL && count < max;
	     begun = begun->hh.next) {
		if (begun->begun_here_us <= begun->reported_us ||
		    (!begun->is_asked &&
			find_accused(causes, begun->part) == NULL))
			continue;
		begun->reported_us = begun->begun_here_us;
		begun->is_asked = 0;
		entries[count++] =
		    (at_part_begun_t){begun->part, begun->begun_here_us};
	}
	return count;
}

/* Verdicts */

/* Returns the entry of a part; the one that expires first gives way. */
static verdict_t *
add_verdict(at_crash_causes_t *causes, uint64_t part)
{
	verdict_t *first = &causes->verdicts[0];
	size_t i;

	for (i = 1; i < causes->verdict_count; i++) {
		if (causes->verdicts[i].verdict.expires_us <
		    first->verdict.expires_us)
			first = &causes->verdicts[i];
	}
	if (causes->verdict_count < AT_CRASH_VERDICTS_MAX)
		first = &causes->verdicts[causes->verdict_count++];
	*first = (verdict_t){.verdict = {.part = part}};
	return first;
}

/* Returns non-zero if the state has changed. */
static int
set_verdict(
    at_crash_causes_t *causes, const candidate_t *candidate, uint64_t now_us)
{
	verdict_t *verdict = find_verdict(causes, candidate->part);

	if (verdict != NULL && verdict->verdict.state != AT_CAUSE_LIFTED &&
	    verdict->verdict.state >= candidate->state) {
		verdict->verdict.crashes = candidate->crashes;
		return 0;
	}
	if (verdict == NULL)
		verdict = add_verdict(causes, candidate->part);
	verdict->verdict.state = candidate->state;
	verdict->verdict.crashes = candidate->crashes;
	verdict->verdict.since_us = now_us;
	verdict->verdict.expires_us = now_us + AT_CRASH_VERDICT_LIFETIME_US;
	verdict->verdict.has_begun = candidate->begun_us != 0;
	return 1;
}

/* The crashes that a block explains accuse nothing else. */
static void
mark_explained(at_crash_causes_t *causes)
{
	size_t i;
	size_t k;

	for (i = 0; i < causes->crash_count; i++) {
		crash_t *crash = &causes->crashes[i];

		for (k = 0; k < causes->verdict_count; k++) {
			const at_crash_verdict_t *verdict =
			    &causes->verdicts[k].verdict;

			if (verdict->state != AT_CAUSE_BLOCKED ||
			    !crash_causes_has_part(crash, verdict->part))
				continue;
			clear_requests(causes, crash);
			crash->is_explained = 1;
			break;
		}
	}
}

static int
is_chosen(const candidate_t *chosen, size_t count, uint64_t part)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (chosen[i].part == part)
			return 1;
	}
	return 0;
}

/*
 * A suspicion ends when other parts explain the crashes; a block does not.
 * chosen is NULL if the crashes have not been judged again.
 */
static int
remove_outdated(at_crash_causes_t *causes, const candidate_t *chosen,
    size_t count, uint64_t now_us)
{
	int is_changed = 0;
	size_t i = 0;

	while (i < causes->verdict_count) {
		verdict_t *verdict = &causes->verdicts[i];

		if (now_us < verdict->verdict.expires_us &&
		    (verdict->verdict.state != AT_CAUSE_SUSPECT ||
			chosen == NULL ||
			is_chosen(chosen, count, verdict->verdict.part))) {
			i++;
			continue;
		}
		remove_verdict(causes, verdict);
		is_changed = 1;
	}
	return is_changed;
}

static void
expire_crashes(at_crash_causes_t *causes, uint64_t now_us)
{
	size_t i = 0;

	while (i < causes->crash_count) {
		crash_t *crash = &causes->crashes[i];

		if (now_us < crash->crashed_us + AT_CRASH_VERDICT_LIFETIME_US) {
			i++;
			continue;
		}
		clear_requests(causes, crash);
		*crash = causes->crashes[--causes->crash_count];
	}
}

int
at_crash_causes_decide(at_crash_causes_t *causes, uint64_t now_us)
{
	candidate_t chosen[CHOSEN_MAX];
	size_t count = 0;
	int is_changed;
	size_t i;

	expire_crashes(causes, now_us);
	if (!causes->is_changed && now_us >= causes->judge_until_us)
		return remove_outdated(causes, NULL, 0, now_us);
	causes->is_changed = 0;
	mark_explained(causes);
	count = crash_causes_judge(causes, now_us, chosen);
	is_changed = remove_outdated(causes, chosen, count, now_us);
	for (i = 0; i < count; i++)
		is_changed |= set_verdict(causes, &chosen[i], now_us);
	return is_changed;
}

/* Returns the more severe of two verdicts; either may be NULL. */
static verdict_t *
more_severe(verdict_t *a, verdict_t *b)
{
	if (b == NULL || b->verdict.state == AT_CAUSE_LIFTED)
		return a;
	return a == NULL || b->verdict.state > a->verdict.state ? b : a;
}

const at_crash_verdict_t *
at_crash_causes_check(at_crash_causes_t *causes,
    const at_request_parts_t *request, uint64_t now_us)
{
	verdict_t *found = NULL;
	size_t i;

	if (causes->verdict_count == 0)
		return NULL;
	for (i = 0; i < request->count; i++)
		found =
		    more_severe(found, find_verdict(causes, request->parts[i]));
	found = more_severe(found, find_verdict(causes, request->request));
	if (found == NULL)
		return NULL;
	if (found->verdict.state == AT_CAUSE_BLOCKED)
		found->verdict.expires_us =
		    now_us + AT_CRASH_VERDICT_LIFETIME_US;
	return &found->verdict;
}

int
at_crash_causes_has_verdicts(const at_crash_causes_t *causes)
{
	return causes->verdict_count > 0;
}

int
at_crash_causes_start_trial(at_crash_causes_t *causes, uint64_t part,
    uint64_t delay_us, uint64_t now_us)
{
	verdict_t *verdict = find_verdict(causes, part);

	if (verdict == NULL || verdict->verdict.state != AT_CAUSE_SUSPECT ||
	    verdict->verdict.crashes >= AT_CRASHES_TO_BLOCK ||
	    now_us < verdict->verdict.since_us + delay_us ||
	    (verdict->trial_us != 0 &&
		now_us < verdict->trial_us + TRIAL_GAP_US + delay_us))
		return 0;
	verdict->trial_us = now_us;
	return 1;
}

void
at_crash_causes_note_trial(
    at_crash_causes_t *causes, uint64_t part, uint64_t now_us)
{
	verdict_t *verdict = find_verdict(causes, part);

	if (verdict != NULL)
		verdict->trial_us = now_us;
}

void
at_crash_causes_each(const at_crash_causes_t *causes,
    void (*visit)(void *ctx, const at_crash_verdict_t *verdict), void *ctx)
{
	size_t i;

	for (i = 0; i < causes->verdict_count; i++)
		visit(ctx, &causes->verdicts[i].verdict);
}

/*
 * Returns non-zero if a part has begun and another instance does not know it;
 * the next report tells it.
 */
static int
contradicts(at_crash_causes_t *causes, const at_crash_verdict_t *block)
{
	begun_t *begun = find_begun(causes, block->part);

	if (begun == NULL ||
	    (block->has_begun && begun->begun_us <= block->since_us))
		return 0;
	begun->is_asked = 1;
	begun->reported_us = 0;
	causes->is_asked = 1;
	return 1;
}

int
at_crash_causes_apply_verdict(at_crash_causes_t *causes,
    const at_crash_verdict_t *update, uint64_t now_us)
{
	verdict_t *verdict = find_verdict(causes, update->part);

	if ((update->state != AT_CAUSE_BLOCKED &&
		update->state != AT_CAUSE_LIFTED) ||
	    update->expires_us <= now_us)
		return 0;
	if (verdict != NULL && verdict->verdict.state == update->state) {
		if (update->expires_us > verdict->verdict.expires_us)
			verdict->verdict.expires_us = update->expires_us;
		return 0;
	}
	/* Of a block and its lifting, the newer one counts. */
	if (verdict != NULL && verdict->verdict.state != AT_CAUSE_SUSPECT &&
	    update->since_us <= verdict->verdict.since_us)
		return 0;
	if (update->state == AT_CAUSE_BLOCKED && contradicts(causes, update))
		return 0;
	if (verdict == NULL)
		verdict = add_verdict(causes, update->part);
	verdict->verdict = *update;
	causes->is_changed = 1;
	return 1;
}

int
at_crash_causes_lift(at_crash_causes_t *causes, uint64_t part, uint64_t now_us)
{
	verdict_t *verdict = find_verdict(causes, part);

	if (verdict == NULL || verdict->verdict.state == AT_CAUSE_LIFTED)
		return -1;
	verdict->verdict.state = AT_CAUSE_LIFTED;
	verdict->verdict.since_us = now_us;
	verdict->verdict.expires_us = now_us + AT_CRASH_VERDICT_LIFETIME_US;
	causes->is_changed = 1;
	return 0;
}
