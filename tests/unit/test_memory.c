/*
 * Many clients that hold large bodies, unfinished or unread: without the
 * account all of them were kept until the process ended.
 */
#include <stdio.h>

#include <criterion/criterion.h>

#include "almondthread/memory.h"

#define MB (1u << 20)
#define MACHINE_MB 120u
#define LIMIT_MB 105u /* 88 in 100 of it */
#define IDLE_MB 20u   /* resident without traffic */
#define OWNER 5u
#define OTHER_OWNER 7u

/* What is held in MB, and what becomes of a claim then. */
static const struct {
	const char *name;
	uint32_t bodies;
	uint32_t responses;
	uint32_t owner;       /* of the bodies */
	uint32_t other_owner; /* of the bodies */
	at_memory_claim_t claim;
	at_memory_verdict_t verdict;
} cases[] = {
    {"a large body while there is room", 40, 0, 40, 0,
	{.kind = AT_MEMORY_BODIES, .bytes = 4 * MB, .total = 4 * MB},
	AT_MEMORY_ACCEPT},
    {"a large body beyond its part", 52, 0, 52, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 4 * MB,
	    .total = 4 * MB,
	    .owner = OWNER},
	AT_MEMORY_REFUSE},
    {"a small body beyond the part of large ones", 56, 0, 56, 0,
	{.kind = AT_MEMORY_BODIES, .bytes = 1000, .total = 1000},
	AT_MEMORY_ACCEPT},
    {"a small body that is less urgent", 60, 0, 60, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 1000,
	    .total = 1000,
	    .priority = 2,
	    .owner = OWNER},
	AT_MEMORY_REFUSE},
    {"the same, more urgent", 60, 0, 60, 0,
	{.kind = AT_MEMORY_BODIES, .bytes = 1000, .total = 1000},
	AT_MEMORY_ACCEPT},
    {"a response beyond the part of bodies", 56, 12, 56, 0,
	{.kind = AT_MEMORY_RESPONSES, .bytes = MB}, AT_MEMORY_ACCEPT},
    {"a response without room", 56, 22, 56, 0,
	{.kind = AT_MEMORY_RESPONSES, .bytes = MB}, AT_MEMORY_PAUSE},
    {"a response without room, and a caller that does not read", 56, 22, 56, 0,
	{.kind = AT_MEMORY_RESPONSES,
	    .bytes = MB,
	    .stalled_ms = AT_MEMORY_STALLED_MS},
	AT_MEMORY_CLOSE},
    {"a stream is not read ahead in the room of bodies", 20, 30, 20, 0,
	{.kind = AT_MEMORY_RESPONSES, .bytes = 16384, .is_ahead = 1},
	AT_MEMORY_PAUSE},
    {"a body that has stopped gives way", 52, 0, 52, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 4 * MB,
	    .total = 4 * MB,
	    .owner = OWNER,
	    .stalled_ms = AT_MEMORY_STALLED_MS},
	AT_MEMORY_CLOSE},
    {"a body that goes on does not", 52, 0, 52, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 4 * MB,
	    .total = 4 * MB,
	    .owner = OWNER,
	    .stalled_ms = AT_MEMORY_STALLED_MS - 1},
	AT_MEMORY_REFUSE},
    {"the owner that holds the most is cut back", 52, 0, 4, 48,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 4 * MB,
	    .total = 4 * MB,
	    .owner = OWNER},
	AT_MEMORY_CUT_BACK},
    {"not for one that would then hold as much", 52, 0, 24, 28,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 4 * MB,
	    .total = 4 * MB,
	    .owner = OWNER},
	AT_MEMORY_REFUSE},
    {"a body in chunks waits", 52, 0, 52, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 2 * MB,
	    .total = 4 * MB,
	    .own = 2 * MB,
	    .owner = OWNER,
	    .may_pause = 1},
	AT_MEMORY_PAUSE},
    {"not for ever", 52, 0, 52, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 2 * MB,
	    .total = 4 * MB,
	    .own = 2 * MB,
	    .owner = OWNER,
	    .may_pause = 1,
	    .paused_ms = AT_MEMORY_PAUSE_MAX_MS},
	AT_MEMORY_REFUSE},
    {"a single body beside unread responses", 2, 74, 2, 0,
	{.kind = AT_MEMORY_BODIES,
	    .bytes = 2 * MB,
	    .total = 4 * MB,
	    .own = 2 * MB,
	    .owner = OWNER},
	AT_MEMORY_ACCEPT},
};

static void
hold(at_memory_t *memory, size_t i)
{
	at_memory_init(memory, MACHINE_MB * (uint64_t)MB);
	at_memory_add_owned(memory, OWNER, cases[i].owner * (uint64_t)MB);
	at_memory_add_owned(
	    memory, OTHER_OWNER, cases[i].other_owner * (uint64_t)MB);
	at_memory_add(
	    memory, AT_MEMORY_RESPONSES, cases[i].responses * (uint64_t)MB);
	at_memory_set_resident(memory,
	    (IDLE_MB + cases[i].bodies + cases[i].responses) * (uint64_t)MB);
}

Test(memory, claims_beyond_the_limit_do_not_end_the_process)
{
	at_memory_t memory;
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++) {
		hold(&memory, i);
		cr_expect_eq(at_memory_decide(&memory, &cases[i].claim),
		    cases[i].verdict, "%s: %d", cases[i].name,
		    at_memory_decide(&memory, &cases[i].claim));
		/* Without a limit nothing is refused. */
		memory.limit = 0;
		cr_expect_eq(at_memory_decide(&memory, &cases[i].claim),
		    AT_MEMORY_ACCEPT, "%s", cases[i].name);
	}
}

/* A single request within the limits is served at every size in service. */
Test(memory, a_body_of_the_largest_size_is_served_alone)
{
	static const uint32_t sizes_mb[] = {48, 120, 160, 260, 512};
	const at_memory_claim_t claim = {
	    .kind = AT_MEMORY_BODIES, .bytes = 4 * MB, .total = 4 * MB};
	at_memory_t memory;
	size_t i;

	for (i = 0; i < sizeof(sizes_mb) / sizeof(sizes_mb[0]); i++) {
		at_memory_init(&memory, sizes_mb[i] * (uint64_t)MB);
		at_memory_set_resident(&memory, IDLE_MB * (uint64_t)MB);
		cr_expect_eq(
		    at_memory_decide(&memory, &claim), AT_MEMORY_ACCEPT);
	}
}

/* What has not arrived is not resident, and was taken for a part of the rest.
 */
Test(memory, announced_bodies_do_not_hide_the_rest)
{
	at_memory_t memory;

	at_memory_init(&memory, MACHINE_MB * (uint64_t)MB);
	at_memory_add_owned(&memory, OWNER, 50 * (uint64_t)MB);
	memory.unfilled = 40 * (uint64_t)MB;
	at_memory_set_resident(&memory, 30 * (uint64_t)MB);
	cr_expect_eq(memory.held[AT_MEMORY_OTHER], 20 * (uint64_t)MB);
	cr_expect_eq(at_memory_used(&memory), 70 * (uint64_t)MB);
	cr_expect_eq(at_memory_excess(&memory), 0);
	at_memory_set_resident(&memory, 70 * (uint64_t)MB);
	cr_expect_gt(at_memory_excess(&memory), 0);
}

/* Retry times were a constant; refused callers returned before there was room.
 */
Test(memory, a_refusal_states_when_there_is_room)
{
	const at_memory_claim_t claim = {
	    .kind = AT_MEMORY_BODIES, .bytes = 4 * MB, .total = 4 * MB};
	at_memory_t memory;

	at_memory_init(&memory, MACHINE_MB * (uint64_t)MB);
	cr_expect_eq(at_memory_tick(&memory, 1000), 0);
	at_memory_add_owned(&memory, OWNER, 74 * (uint64_t)MB);
	at_memory_note_refused(&memory);
	cr_expect_eq(at_memory_tick(&memory, 1050), 1);
	/* Nothing is released: the longest time. */
	cr_expect_eq(at_memory_retry_ms(&memory, &claim), 3000);
	at_memory_sub_owned(&memory, OWNER, 2 * (uint64_t)MB);
	/* 1 MB a second is; somewhat more than 2 are lacking. */
	cr_expect_gt(at_memory_retry_ms(&memory, &claim), 2000);
	cr_expect_lt(at_memory_retry_ms(&memory, &claim), 3000);
	cr_expect_eq(at_memory_tick(&memory, 2049), 0);
	cr_expect_eq(at_memory_tick(&memory, 2050), -1);
	cr_expect_eq(at_memory_tick(&memory, 2100), 0);
}

/*
 * Requests without a body held no bytes in the account: as many as there were
 * connections were accepted, each with its headers and a transfer.
 */
Test(memory, a_request_has_no_more_room_than_a_small_body)
{
	const at_memory_claim_t request = {.kind = AT_MEMORY_BODIES,
	    .bytes = 20000,
	    .total = 20000,
	    .is_request = 1};
	at_memory_claim_t body = request;
	at_memory_t memory;

	body.is_request = 0;
	at_memory_init(&memory, 100000000);
	/* 88 in 100 are the limit, of which a small body may use 80. */
	at_memory_add(&memory, AT_MEMORY_CONNECTIONS, 70380000);
	cr_expect(at_memory_fits(&memory, &request));
	at_memory_add(&memory, AT_MEMORY_CONNECTIONS, 20000);
	cr_expect_not(at_memory_fits(&memory, &request));
	cr_expect_eq(at_memory_decide(&memory, &request), AT_MEMORY_REFUSE);
	/* A body that is the only one may use more. */
	cr_expect(at_memory_fits(&memory, &body));
}
