/*
 * Up to 12 instances in 3 data centres share one workspace's limit under
 * message loss, duplication, delay and reordering, pauses, partitions, crashes,
 * replacements, planned stops, outages of the object API and changes of rate
 * and burst. The oracle is one central bucket: it starts full, so that a debit
 * which it cannot cover exceeds the limit in some interval. The shares in use
 * must also never add up to more than the whole. Each run enables some of the
 * faults, and at times every instance debits its whole level.
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
op_store(world_t *w, slot_t *s)
{
	size_t index;
	uint32_t outcome = share_world_draw(w, 8);
	call_t *call;
	slot_t *owner;

	(void)s;
	if (w->call_count == 0)
		return;
	index = share_world_draw(w, (uint32_t)w->call_count);
	call = &w->calls[index];
	owner = share_world_slot_of(w, call->owner);
	if (w->is_outage || (owner != NULL && owner->is_cut))
		outcome = outcome < 4 ? 0 : 1;
	else if (outcome > 2)
		outcome = 3;
	if (outcome == 0) {
		share_world_complete_call(w, call, AT_STORE_NOT_SENT);
		share_world_remove_call(w, index);
	} else if (outcome == 1) {
		share_world_complete_call(w, call, AT_STORE_UNKNOWN);
	} else {
		at_store_code_t code = share_world_execute(w, call);

		share_world_complete_call(
		    w, call, outcome == 2 ? AT_STORE_UNKNOWN : code);
		share_world_remove_call(w, index);
	}
}

static void
debit(world_t *w, slot_t *s, uint64_t cost)
{
	event_t e = {
	    .at_us = w->now_us, .utok = (int64_t)cost * AT_UTOK_PER_TOKEN};
	at_debit_t *admitted;

	if (s->is_paused || s->debit_count == DEBITS_MAX ||
	    w->event_count == EVENTS_MAX)
		return;
	if (at_share_admit(s->share, share_slot_clock_ms(s), cost, &admitted) !=
	    AT_ADMIT_OK) {
		total_insufficient++;
		return;
	}
	total_admitted++;
	s->debits[s->debit_count] = admitted;
	s->costs[s->debit_count] = cost;
	s->debit_events[s->debit_count++] = w->event_count;
	w->events[w->event_count++] = e;
}

static void
op_debit(world_t *w, slot_t *s)
{
	uint64_t burst = w->bursts[s->limit];
	uint32_t divisor = share_world_draw(w, 8) == 0 ? 2 : 40;

	debit(w, s, share_world_draw(w, (uint32_t)burst / divisor));
}

static void
op_settle(world_t *w, slot_t *s)
{
	size_t i;
	uint64_t used;

	if (s->is_paused || s->debit_count == 0)
		return;
	i = share_world_draw(w, (uint32_t)s->debit_count);
	used = s->costs[i] == 0
		   ? 0
		   : share_world_draw(w, (uint32_t)s->costs[i] + 1);
	if (share_world_draw(w, 3) == 0)
		used = 0;
	at_share_settle(s->share, share_slot_clock_ms(s), s->debits[i], used);
	w->events[s->debit_events[i]].utok = (int64_t)used * AT_UTOK_PER_TOKEN;
	s->debit_count--;
	s->debits[i] = s->debits[s->debit_count];
	s->costs[i] = s->costs[s->debit_count];
	s->debit_events[i] = s->debit_events[s->debit_count];
}

static void
op_deliver(world_t *w, slot_t *s)
{
	uint32_t count = share_world_draw(w, 4) == 0 ? 20 : 1;

	(void)s;
	while (count-- > 0 && w->packet_count > 0)
		share_world_deliver(
		    w, share_world_draw(w, 4) != 0
			   ? 0
			   : share_world_draw(w, (uint32_t)w->packet_count));
}

static void
op_ended(world_t *w, slot_t *s)
{
	if (w->ended_count == 0 || s->is_paused)
		return;
	at_share_root_note_ended(s->root, share_slot_clock_ms(s),
	    w->ended_numbers[share_world_draw(w, (uint32_t)w->ended_count)]);
}

static void
op_replace(world_t *w, slot_t *s)
{
	if (share_world_draw(w, 4) != 0)
		return;
	share_slot_stop(w, s);
	if (share_world_draw(w, 2) == 0)
		s->limit = share_world_draw(w, LIMITS);
	share_slot_start(w, s);
	share_slot_set_roles(w, s);
}

static void
op_limit(world_t *w, slot_t *s)
{
	if (s->is_paused || share_world_draw(w, 2) == 0)
		return;
	/* The previous limit applies until now, the new one from now on. */
	s->limit = share_world_draw(w, LIMITS);
	at_share_set_limit(s->share, share_slot_clock_ms(s), w->rates[s->limit],
	    w->bursts[s->limit]);
	share_world_note_limit(w);
}

static void
op_leave(world_t *w, slot_t *s)
{
	if (s->is_paused || share_world_draw(w, 4) != 0)
		return;
	s->is_leaving = 1;
	at_share_root_leave(s->root);
	at_share_leave(s->share, share_slot_clock_ms(s));
}

static void
op_time(world_t *w, slot_t *s)
{
	uint32_t scale = share_world_draw(w, 16);
	uint32_t i;

	(void)s;
	if (scale < 12)
		w->now_us += share_world_draw(w, 3000);
	else if (scale == 12 && w->loan_end_us > w->now_us)
		w->now_us = w->loan_end_us;
	else if (scale < 15)
		w->now_us += share_world_draw(w, 60000) * 5u;
	else
		w->now_us += share_world_draw(w, 60000) * 500u;
	for (i = 0; i < w->slot_count; i++) {
		if (share_world_draw(w, 2) == 0)
			share_slot_tick(w, &w->slots[i]);
	}
}

static void
op_network(world_t *w, slot_t *s)
{
	uint32_t a = share_world_draw(w, DATA_CENTRES);
	uint32_t b = share_world_draw(w, DATA_CENTRES);

	(void)s;
	w->partitions[a][b] = share_world_draw(w, 3) == 0;
	w->is_outage = share_world_draw(w, 12) == 0;
}

static void
op_pause(world_t *w, slot_t *s)
{
	s->is_paused = share_world_draw(w, 2) == 0;
}

static void
op_cut(world_t *w, slot_t *s)
{
	s->is_cut = share_world_draw(w, 3) == 0;
}

/* Every instance that is not paused debits its whole level. */
static void
op_drain(world_t *w, slot_t *s)
{
	uint32_t i;

	(void)s;
	for (i = 0; i < w->slot_count; i++) {
		at_share_view_t view;

		s = &w->slots[i];
		if (s->is_paused)
			continue;
		at_share_tick(s->share, share_slot_clock_ms(s));
		at_share_view(s->share, &view);
		if (view.level_utok > AT_UTOK_PER_TOKEN)
			debit(w, s,
			    (uint64_t)(view.level_utok / AT_UTOK_PER_TOKEN));
	}
}

typedef struct operation {
	void (*run)(world_t *w, slot_t *s);
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
run_operation(world_t *w)
{
	uint32_t total = 0;
	uint32_t pick;
	size_t i;

	for (i = 0; i < OPERATION_KINDS; i++)
		total += operations[i].weight;
	pick = share_world_draw(w, total);
	for (i = 0; pick >= operations[i].weight; i++)
		pick -= operations[i].weight;
	if (operations[i].is_fault && (w->enabled_faults >> i & 1u) == 0)
		i = 0;
	operations[i].run(w, &w->slots[share_world_draw(w, w->slot_count)]);
}

/* Instances get their floors first, so that faults meet shares in use. */
static void
run_without_faults(world_t *w)
{
	uint32_t rounds = share_world_draw(w, 2) == 0
			      ? 0
			      : share_world_draw(w, RUN_IN_ROUNDS_MAX);
	uint32_t i;

	while (rounds-- > 0) {
		w->now_us += 100000u;
		for (i = 0; i < w->slot_count; i++)
			share_slot_tick(w, &w->slots[i]);
		while (w->call_count > 0) {
			share_world_complete_call(w, &w->calls[0],
			    share_world_execute(w, &w->calls[0]));
			share_world_remove_call(w, 0);
		}
		while (w->packet_count > 0)
			share_world_deliver(w, 0);
	}
}

static void
init_world(world_t *w)
{
	int32_t fast_sign;
	uint32_t i;

	for (i = 0; i < LIMITS; i++) {
		w->rates[i] =
		    1u + share_world_draw(
			     w, share_world_draw(w, 2) == 0 ? 100 : 60000);
		w->bursts[i] = 1000u + share_world_draw(w, 60000) * 100u;
	}
	w->enabled_faults = share_world_draw(w, 2) == 0
				? 0
				: share_world_draw(w, 1u << OPERATION_KINDS);
	w->slot_count =
	    2 + share_world_draw(
		    w, share_world_draw(w, 2) == 0 ? 3 : SLOTS_MAX - 1);
	fast_sign = (int32_t)share_world_draw(w, 3) - 1;
	for (i = 0; i < w->slot_count; i++) {
		slot_t *s = &w->slots[i];

		s->world = w;
		s->index = i;
		s->clock_ppm = share_world_draw(w, 2) == 0
				   ? (int32_t)share_world_draw(w, 2001) - 1000
				   : fast_sign * 1000;
		s->clock_offset_ms = OFFSET_MS + share_world_draw(w, 60000);
		share_slot_start(w, s);
	}
	for (i = 0; i < w->slot_count; i++)
		share_slot_set_roles(w, &w->slots[i]);
	run_without_faults(w);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static world_t w;
	static int registered;
	uint32_t i;

	if (!registered)
		registered = atexit(print_totals) == 0;
	memset(&w, 0, sizeof(w));
	w.data = data;
	w.size = size;
	w.rng.state = size;
	for (i = 0; i < size; i++)
		w.rng.state = w.rng.state * 31u + data[i];
	init_world(&w);
	for (i = 0; i < OPERATIONS_PER_RUN; i++) {
		run_operation(&w);
		share_world_check_sum(&w);
	}
	total_ops += OPERATIONS_PER_RUN;
	share_world_check(&w);
	share_world_end(&w);
	return 0;
}
