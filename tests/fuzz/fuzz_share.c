/*
 * Up to 12 instances in 3 data centres share one workspace's limit under
 * message loss, duplication, delay and reordering, pauses, partitions, crashes,
 * replacements, planned stops, outages of the object API and changes of rate
 * and burst. The oracle is one central bucket: it starts full, so that a debit
 * which it cannot cover exceeds the limit in some interval. The shares in use
 * must also never add up to more than the whole, and loans must be covered.
 * Each run enables some of the faults, and at times every instance debits its
 * whole level.
 *
 * Each run makes OPERATIONS_PER_RUN operations. The input determines the
 * first ones and seeds the random generator for the rest.
 *
 * check-args: -seed=1 -runs=3000 -max_len=256
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz/share_world.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t total_ops;
static uint64_t total_admitted;
static uint64_t total_insufficient;

static void
print_totals(void)
{
	(void)fprintf(stderr,
	    "fuzz_share: %llu operations, %llu admitted, %llu insufficient, "
	    "%llu grants delivered\n",
	    (unsigned long long)total_ops, (unsigned long long)total_admitted,
	    (unsigned long long)total_insufficient,
	    (unsigned long long)total_grants);
}

static void
op_store(world_t *world, slot_t *slot)
{
	size_t index;
	uint32_t outcome = share_world_draw(world, 8);
	call_t *call;
	slot_t *owner;

	(void)slot;
	if (world->call_count == 0)
		return;
	index = share_world_draw(world, (uint32_t)world->call_count);
	call = &world->calls[index];
	owner = share_world_slot_of(world, call->owner);
	if (world->is_outage || (owner != NULL && owner->is_cut))
		outcome = outcome < 4 ? 0 : 1;
	else if (outcome > 2)
		outcome = 3;
	if (outcome == 0) {
		share_world_complete_call(world, call, AT_STORE_NOT_SENT);
		share_world_remove_call(world, index);
	} else if (outcome == 1) {
		share_world_complete_call(world, call, AT_STORE_UNKNOWN);
	} else {
		at_store_code_t code = share_world_execute(world, call);

		share_world_complete_call(
		    world, call, outcome == 2 ? AT_STORE_UNKNOWN : code);
		share_world_remove_call(world, index);
	}
}

static void
debit(world_t *world, slot_t *slot, uint64_t cost)
{
	event_t e = {
	    .at_us = world->now_us, .utok = (int64_t)cost * AT_UTOK_PER_TOKEN};
	at_debit_t *admitted;

	if (slot->is_paused || slot->debit_count == DEBITS_MAX ||
	    world->event_count == EVENTS_MAX)
		return;
	if (at_share_admit(slot->share, share_slot_clock_ms(slot), cost,
		&admitted) != AT_ADMIT_OK) {
		total_insufficient++;
		return;
	}
	total_admitted++;
	slot->debits[slot->debit_count] = admitted;
	slot->costs[slot->debit_count] = cost;
	slot->debit_events[slot->debit_count++] = world->event_count;
	world->events[world->event_count++] = e;
}

static void
op_debit(world_t *world, slot_t *slot)
{
	uint64_t burst = world->bursts[slot->limit];
	uint32_t divisor = share_world_draw(world, 8) == 0 ? 2 : 40;

	debit(world, slot, share_world_draw(world, (uint32_t)burst / divisor));
}

static void
op_settle(world_t *world, slot_t *slot)
{
	size_t i;
	uint64_t used;

	if (slot->is_paused || slot->debit_count == 0)
		return;
	i = share_world_draw(world, (uint32_t)slot->debit_count);
	used = slot->costs[i] == 0
		   ? 0
		   : share_world_draw(world, (uint32_t)slot->costs[i] + 1);
	if (share_world_draw(world, 3) == 0)
		used = 0;
	at_share_settle(
	    slot->share, share_slot_clock_ms(slot), slot->debits[i], used);
	world->events[slot->debit_events[i]].utok =
	    (int64_t)used * AT_UTOK_PER_TOKEN;
	slot->debit_count--;
	slot->debits[i] = slot->debits[slot->debit_count];
	slot->costs[i] = slot->costs[slot->debit_count];
	slot->debit_events[i] = slot->debit_events[slot->debit_count];
}

static void
op_deliver(world_t *world, slot_t *slot)
{
	uint32_t count = share_world_draw(world, 4) == 0 ? 20 : 1;

	(void)slot;
	while (count-- > 0 && world->packet_count > 0)
		share_world_deliver(
		    world, share_world_draw(world, 4) != 0
			       ? 0
			       : share_world_draw(
				     world, (uint32_t)world->packet_count));
}

static void
op_ended(world_t *world, slot_t *slot)
{
	if (world->ended_count == 0 || slot->is_paused)
		return;
	at_share_root_note_ended(slot->root, share_slot_clock_ms(slot),
	    world->ended_numbers[share_world_draw(
		world, (uint32_t)world->ended_count)]);
}

static void
op_replace(world_t *world, slot_t *slot)
{
	if (share_world_draw(world, 4) != 0)
		return;
	share_slot_stop(world, slot);
	if (share_world_draw(world, 2) == 0)
		slot->limit = share_world_draw(world, LIMITS);
	share_slot_start(world, slot);
	share_slot_set_roles(world, slot);
}

static void
op_limit(world_t *world, slot_t *slot)
{
	if (slot->is_paused || share_world_draw(world, 2) == 0)
		return;
	/* The previous limit applies until now, the new one from now on. */
	slot->limit = share_world_draw(world, LIMITS);
	at_share_set_limit(slot->share, share_slot_clock_ms(slot),
	    world->rates[slot->limit], world->bursts[slot->limit]);
	share_world_note_limit(world);
}

static void
op_leave(world_t *world, slot_t *slot)
{
	if (slot->is_paused || share_world_draw(world, 4) != 0)
		return;
	slot->is_leaving = 1;
	at_share_root_leave(slot->root, share_slot_clock_ms(slot));
	at_share_leave(slot->share, share_slot_clock_ms(slot));
}

static void
op_time(world_t *world, slot_t *slot)
{
	uint32_t scale = share_world_draw(world, 16);
	uint32_t i;

	(void)slot;
	if (scale < 12)
		world->now_us += share_world_draw(world, 3000);
	else if (scale == 12 && world->loan_end_us > world->now_us)
		world->now_us = world->loan_end_us;
	else if (scale < 15)
		world->now_us += share_world_draw(world, 60000) * 5u;
	else
		world->now_us += share_world_draw(world, 60000) * 500u;
	for (i = 0; i < world->slot_count; i++) {
		if (share_world_draw(world, 2) == 0)
			share_slot_tick(world, &world->slots[i]);
	}
}

static void
op_network(world_t *world, slot_t *slot)
{
	uint32_t a = share_world_draw(world, DATA_CENTRES);
	uint32_t b = share_world_draw(world, DATA_CENTRES);

	(void)slot;
	world->partitions[a][b] = share_world_draw(world, 3) == 0;
	world->is_outage = share_world_draw(world, 12) == 0;
}

static void
op_pause(world_t *world, slot_t *slot)
{
	slot->is_paused = share_world_draw(world, 2) == 0;
}

static void
op_cut(world_t *world, slot_t *slot)
{
	slot->is_cut = share_world_draw(world, 3) == 0;
}

/* Every instance that is not paused debits its whole level. */
static void
op_drain(world_t *world, slot_t *slot)
{
	uint32_t i;

	(void)slot;
	for (i = 0; i < world->slot_count; i++) {
		at_share_view_t view;

		slot = &world->slots[i];
		if (slot->is_paused)
			continue;
		at_share_tick(slot->share, share_slot_clock_ms(slot));
		at_share_view(slot->share, &view);
		if (view.level_utok > AT_UTOK_PER_TOKEN)
			debit(world, slot,
			    (uint64_t)(view.level_utok / AT_UTOK_PER_TOKEN));
	}
}

typedef struct operation {
	void (*run)(world_t *world, slot_t *slot);
	uint32_t weight;
	int is_fault; /* enabled in some runs only */
} operation_t;

static const operation_t operations[] = {
    {op_debit, 10, 0},
    {op_settle, 5, 0},
    {op_deliver, 12, 0},
    {op_store, 6, 0},
    {op_time, 6, 0},
    {op_drain, 2, 0},
    {op_pause, 1, 1},
    {op_network, 1, 1},
    {op_replace, 1, 1},
    {op_limit, 2, 1},
    {op_leave, 1, 1},
    {op_ended, 1, 1},
    {op_cut, 1, 1},
};

#define OPERATION_KINDS (sizeof(operations) / sizeof(operations[0]))

static void
run_operation(world_t *world)
{
	uint32_t total = 0;
	uint32_t pick;
	size_t i;

	for (i = 0; i < OPERATION_KINDS; i++)
		total += operations[i].weight;
	pick = share_world_draw(world, total);
	for (i = 0; pick >= operations[i].weight; i++)
		pick -= operations[i].weight;
	if (operations[i].is_fault && (world->enabled_faults >> i & 1u) == 0)
		i = 0;
	operations[i].run(
	    world, &world->slots[share_world_draw(world, world->slot_count)]);
}

/* Runs without faults, so that the faults affect instances with shares. */
static void
run_without_faults(world_t *world)
{
	uint32_t rounds = share_world_draw(world, 2) == 0
			      ? 0
			      : share_world_draw(world, RUN_IN_ROUNDS_MAX);
	uint32_t i;

	while (rounds-- > 0) {
		world->now_us += 100000u;
		for (i = 0; i < world->slot_count; i++)
			share_slot_tick(world, &world->slots[i]);
		while (world->call_count > 0) {
			share_world_complete_call(world, &world->calls[0],
			    share_world_execute(world, &world->calls[0]));
			share_world_remove_call(world, 0);
		}
		while (world->packet_count > 0)
			share_world_deliver(world, 0);
	}
}

static void
init_world(world_t *world)
{
	int32_t fast_sign;
	uint32_t i;

	for (i = 0; i < LIMITS; i++) {
		world->rates[i] =
		    1u + share_world_draw(world,
			     share_world_draw(world, 2) == 0 ? 100 : 60000);
		world->bursts[i] =
		    1000u + share_world_draw(world, 60000) * 100u;
	}
	world->enabled_faults =
	    share_world_draw(world, 2) == 0
		? 0
		: share_world_draw(world, 1u << OPERATION_KINDS);
	world->slot_count =
	    2 + share_world_draw(
		    world, share_world_draw(world, 2) == 0 ? 3 : SLOTS_MAX - 1);
	fast_sign = (int32_t)share_world_draw(world, 3) - 1;
	for (i = 0; i < world->slot_count; i++) {
		slot_t *slot = &world->slots[i];

		slot->world = world;
		slot->index = i;
		slot->clock_ppm =
		    share_world_draw(world, 2) == 0
			? (int32_t)share_world_draw(world, 2001) - 1000
			: fast_sign * 1000;
		slot->clock_offset_ms =
		    OFFSET_MS + share_world_draw(world, 60000);
		share_slot_start(world, slot);
	}
	for (i = 0; i < world->slot_count; i++)
		share_slot_set_roles(world, &world->slots[i]);
	run_without_faults(world);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static world_t world;
	static int registered;
	uint32_t i;

	if (!registered)
		registered = atexit(print_totals) == 0;
	memset(&world, 0, sizeof(world));
	world.data = data;
	world.size = size;
	world.rng.state = size;
	for (i = 0; i < size; i++)
		world.rng.state = world.rng.state * 31u + data[i];
	init_world(&world);
	for (i = 0; i < OPERATIONS_PER_RUN; i++) {
		run_operation(&world);
		share_world_check_sum(&world);
		share_world_check_cover(&world);
	}
	total_ops += OPERATIONS_PER_RUN;
	share_world_check(&world);
	share_world_end(&world);
	return 0;
}
