/*
 * memory.c - decides on claims on memory.
 *
 * The load: clients that respect no limits send many large bodies of permitted
 * size at once, most of which stop before their end, endless bodies in chunks,
 * and requests whose responses they do not read. Without the account a process
 * holds all of them and ends. What runs goes before what is new, small bodies
 * before large ones and urgent ones before less urgent ones: each has a part of
 * the limit that those after it may not use. Who makes no progress gives way
 * first, then the owner that holds the most.
 */
#include "almondthread/memory.h"

#include <string.h>

#define PERCENT 100u
/*
 * Of the machine's memory. The rest is for the kernel's part of the process
 * (page tables, sockets) and for growth between two ticks.
 */
#define LIMIT_PERCENT 88u
/* Of the limit. */
/* Reading ahead is of use to slow callers only, and must not displace others.
 */
#define READ_AHEAD_PERCENT 60u
#define LARGE_BODY_PERCENT 70u
#define SMALL_BODY_PERCENT 80u
#define RESPONSE_PERCENT 90u
#define ALL_PERCENT 95u
/* For each step of priority that is less urgent, of two at most. */
#define PRIORITY_PERCENT 5u
#define PRIORITY_STEPS_MAX 2u
#define MS_PER_S 1000u
/* Retry times: a short one costs little, and callers leave after seconds. */
#define RETRY_MIN_MS 200u
#define RETRY_MAX_MS 3000u

const char *const at_memory_kind_names[] = {
    "bodies", "responses", "connections", "kernel", "other"};

void
at_memory_init(at_memory_t *memory, uint64_t machine_bytes)
{
	memset(memory, 0, sizeof(*memory));
	memory->limit = machine_bytes / PERCENT * LIMIT_PERCENT;
}

void
at_memory_add(at_memory_t *memory, at_memory_kind_t kind, uint64_t bytes)
{
	if (memory != NULL)
		memory->held[kind] += bytes;
}

void
at_memory_sub(at_memory_t *memory, at_memory_kind_t kind, uint64_t bytes)
{
	if (memory == NULL)
		return;
	memory->held[kind] -= bytes;
	memory->released += bytes;
}

void
at_memory_add_owned(
    at_memory_t *memory, at_memory_owner_t owner, uint64_t bytes)
{
	if (memory == NULL)
		return;
	memory->held[AT_MEMORY_BODIES] += bytes;
	if (owner != 0)
		memory->by_owner[owner % AT_MEMORY_OWNERS] += bytes;
}

void
at_memory_sub_owned(
    at_memory_t *memory, at_memory_owner_t owner, uint64_t bytes)
{
	if (memory == NULL)
		return;
	at_memory_sub(memory, AT_MEMORY_BODIES, bytes);
	if (owner != 0)
		memory->by_owner[owner % AT_MEMORY_OWNERS] -= bytes;
}

void
at_memory_set_kernel(at_memory_t *memory, uint64_t bytes)
{
	memory->held[AT_MEMORY_KERNEL] = bytes;
}

void
at_memory_set_resident(at_memory_t *memory, uint64_t bytes)
{
	uint64_t known = memory->held[AT_MEMORY_BODIES] - memory->unfilled +
			 memory->held[AT_MEMORY_RESPONSES] +
			 memory->held[AT_MEMORY_CONNECTIONS];

	memory->held[AT_MEMORY_OTHER] = bytes > known ? bytes - known : 0;
}

uint64_t
at_memory_used(const at_memory_t *memory)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < AT_MEMORY_KIND_COUNT; i++)
		sum += memory->held[i];
	return sum;
}

/* Returns the part of the limit that a claim may use. */
static uint64_t
bound(const at_memory_t *memory, const at_memory_claim_t *claim)
{
	uint32_t steps = claim->priority < PRIORITY_STEPS_MAX
			     ? claim->priority
			     : PRIORITY_STEPS_MAX;
	uint32_t percent =
	    claim->is_ahead ? READ_AHEAD_PERCENT : RESPONSE_PERCENT;

	if (claim->kind == AT_MEMORY_BODIES) {
		percent = claim->total <= AT_MEMORY_SMALL_BYTES
			      ? SMALL_BODY_PERCENT
			      : LARGE_BODY_PERCENT;
		percent -= steps * PRIORITY_PERCENT;
		/* A single body is accepted at every size of machine. */
		if (!claim->is_request &&
		    memory->held[AT_MEMORY_BODIES] <= claim->own)
			percent = ALL_PERCENT;
	}
	return memory->limit / PERCENT * percent;
}

int
at_memory_fits(const at_memory_t *memory, const at_memory_claim_t *claim)
{
	return memory == NULL || memory->limit == 0 ||
	       at_memory_used(memory) + claim->bytes <= bound(memory, claim);
}

size_t
at_memory_largest_owner(const at_memory_t *memory)
{
	size_t largest = 0;
	size_t i;

	for (i = 1; i < AT_MEMORY_OWNERS; i++) {
		if (memory->by_owner[i] > memory->by_owner[largest])
			largest = i;
	}
	return largest;
}

/* Cutting the largest owner back does not make the claimant larger. */
static int
is_other_larger(const at_memory_t *memory, const at_memory_claim_t *claim)
{
	size_t largest = at_memory_largest_owner(memory);
	size_t own = claim->owner % AT_MEMORY_OWNERS;
	uint64_t held = claim->owner == 0 ? 0 : memory->by_owner[own];

	return (claim->owner == 0 || largest != own) &&
	       memory->by_owner[largest] > held + claim->bytes;
}

at_memory_verdict_t
at_memory_decide(const at_memory_t *memory, const at_memory_claim_t *claim)
{
	if (at_memory_fits(memory, claim))
		return AT_MEMORY_ACCEPT;
	if (claim->stalled_ms >= AT_MEMORY_STALLED_MS)
		return AT_MEMORY_CLOSE;
	if (claim->kind == AT_MEMORY_RESPONSES)
		return AT_MEMORY_PAUSE;
	if (is_other_larger(memory, claim))
		return AT_MEMORY_CUT_BACK;
	return claim->may_pause && claim->paused_ms < AT_MEMORY_PAUSE_MAX_MS
		   ? AT_MEMORY_PAUSE
		   : AT_MEMORY_REFUSE;
}

uint64_t
at_memory_excess(const at_memory_t *memory)
{
	uint64_t used = at_memory_used(memory);
	uint64_t all = memory->limit / PERCENT * ALL_PERCENT;

	/* Down to the bound of responses, so that it does not recur at once. */
	return memory->limit == 0 || used <= all
		   ? 0
		   : used - memory->limit / PERCENT * RESPONSE_PERCENT;
}

void
at_memory_note_refused(at_memory_t *memory)
{
	memory->refused_total++;
	memory->has_refused = 1;
}

uint32_t
at_memory_retry_ms(const at_memory_t *memory, const at_memory_claim_t *claim)
{
	uint64_t need = at_memory_used(memory) + claim->bytes;
	uint64_t max = bound(memory, claim);
	/* Of one to two seconds. */
	uint64_t rate = (memory->released + memory->released_before) / 2u;
	uint64_t ms;

	if (need <= max)
		return RETRY_MIN_MS;
	if (rate == 0)
		return RETRY_MAX_MS;
	ms = (need - max) * MS_PER_S / rate;
	if (ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return ms < RETRY_MAX_MS ? (uint32_t)ms : RETRY_MAX_MS;
}

int
at_memory_tick(at_memory_t *memory, uint64_t now_ms)
{
	if (now_ms >= memory->second_ms + MS_PER_S) {
		memory->released_before = memory->released;
		memory->released = 0;
		memory->second_ms = now_ms;
	}
	if (memory->has_refused) {
		memory->has_refused = 0;
		memory->refused_ms = now_ms;
		if (memory->is_refusing)
			return 0;
		memory->is_refusing = 1;
		return 1;
	}
	if (memory->is_refusing && now_ms >= memory->refused_ms + MS_PER_S) {
		memory->is_refusing = 0;
		return -1;
	}
	return 0;
}
