/*
 * Up to 12 instances in 3 data centres share one workspace's limit under
 * loss, duplication, delay, reordering, pause, partition, crash, replacement,
 * planned stop, outage of the object API and changes of rate and burst. The
 * oracle is one true bucket: it starts full, so that a debit which it cannot
 * cover breaks the bound for some interval. The fractions in use must also
 * never add up to more than the whole. Each run enables some of the faults,
 * and now and then every instance debits all that it has.
 *
 * Each run makes OPS operations; the input steers the first ones and seeds
 * the rest.
 * check-args: -seed=1 -runs=3000 -max_len=256
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fuzz/share_world.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static uint64_t total_ops;
static uint64_t total_admitted;
static uint64_t total_short;

static void
print_totals(void)
{
	(void)fprintf(stderr,
	    "fuzz_share: %llu operations, %llu admitted, %llu short, "
	    "%llu grants delivered\n",
	    (unsigned long long)total_ops, (unsigned long long)total_admitted,
	    (unsigned long long)total_short, (unsigned long long)total_grants);
}

static void
op_store(world_t *w, slot_t *s)
{
	size_t index;
	uint32_t fate = share_world_draw(w, 8);
	call_t *call;
	slot_t *owner;

	(void)s;
	if (w->call_count == 0)
		return;
	index = share_world_draw(w, (uint32_t)w->call_count);
	call = &w->calls[index];
	owner = share_world_slot_of(w, call->owner);
	if (w->outage || (owner != NULL && owner->cut))
		fate = fate < 4 ? 0 : 1;
	else if (fate > 2)
		fate = 3;
	if (fate == 0) {
		share_world_answer(w, call, AT_STORE_NOT_SENT);
		share_world_remove_call(w, index);
	} else if (fate == 1) {
		share_world_answer(w, call, AT_STORE_UNKNOWN);
	} else {
		at_store_code_t code = share_world_execute(w, call);

		share_world_answer(
		    w, call, fate == 2 ? AT_STORE_UNKNOWN : code);
		share_world_remove_call(w, index);
	}
}

static void
debit(world_t *w, slot_t *s, uint64_t cost)
{
	event_t e = {
	    .at_us = w->now_us, .utok = (int64_t)cost * AT_UTOK_PER_TOKEN};
	at_debit_t *made;

	if (s->paused || s->debit_count == DEBITS || w->event_count == EVENTS)
		return;
	if (at_share_admit(s->share, share_slot_clock_ms(s), cost, &made) !=
	    AT_ADMIT_OK) {
		total_short++;
		return;
	}
	total_admitted++;
	s->debits[s->debit_count] = made;
	s->costs[s->debit_count] = cost;
	s->debit_events[s->debit_count++] = w->event_count;
	w->events[w->event_count++] = e;
}

static void
op_debit(world_t *w, slot_t *s)
{
	uint64_t burst = w->bursts[s->limit];
	uint32_t part = share_world_draw(w, 8) == 0 ? 2 : 40;

	debit(w, s, share_world_draw(w, (uint32_t)burst / part));
}

static void
op_settle(world_t *w, slot_t *s)
{
	size_t i;
	uint64_t used;

	if (s->paused || s->debit_count == 0)
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
	while (count-- > 0 && w->mail_count > 0)
		share_world_deliver(
		    w, share_world_draw(w, 4) != 0
			   ? 0
			   : share_world_draw(w, (uint32_t)w->mail_count));
}

static void
op_ended(world_t *w, slot_t *s)
{
	if (w->dead_count == 0 || s->paused)
		return;
	at_share_root_note_ended(s->root, share_slot_clock_ms(s),
	    w->dead[share_world_draw(w, (uint32_t)w->dead_count)]);
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
	if (s->paused || share_world_draw(w, 2) == 0)
		return;
	/* The old limit counts up to here, the new one from here. */
	s->limit = share_world_draw(w, LIMITS);
	at_share_set_limit(s->share, share_slot_clock_ms(s), w->rates[s->limit],
	    w->bursts[s->limit]);
	share_world_note_limit(w);
}

static void
op_leave(world_t *w, slot_t *s)
{
	if (s->paused || share_world_draw(w, 4) != 0)
		return;
	s->leaving = 1;
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
	uint32_t a = share_world_draw(w, CENTRES);
	uint32_t b = share_world_draw(w, CENTRES);

	(void)s;
	w->cut[a][b] = share_world_draw(w, 3) == 0;
	w->outage = share_world_draw(w, 12) == 0;
}

static void
op_pause(world_t *w, slot_t *s)
{
	s->paused = share_world_draw(w, 2) == 0;
}

static void
op_cut(world_t *w, slot_t *s)
{
	s->cut = share_world_draw(w, 3) == 0;
}

/* Every instance that runs debits all that it has. */
static void
op_drain(world_t *w, slot_t *s)
{
	uint32_t i;

	(void)s;
	for (i = 0; i < w->slot_count; i++) {
		at_share_view_t view;

		s = &w->slots[i];
		if (s->paused)
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

#define OPERATIONS (sizeof(operations) / sizeof(operations[0]))

static void
operate(world_t *w)
{
	uint32_t total = 0;
	uint32_t pick;
	size_t i;

	for (i = 0; i < OPERATIONS; i++)
		total += operations[i].weight;
	pick = share_world_draw(w, total);
	for (i = 0; pick >= operations[i].weight; i++)
		pick -= operations[i].weight;
	if (operations[i].is_fault && (w->kinds >> i & 1u) == 0)
		i = 0;
	operations[i].run(w, &w->slots[share_world_draw(w, w->slot_count)]);
}

/* Instances join the table, so that the faults meet shares in use. */
static void
run_in(world_t *w)
{
	uint32_t rounds =
	    share_world_draw(w, 2) == 0 ? 0 : share_world_draw(w, RUN_IN);
	uint32_t i;

	while (rounds-- > 0) {
		w->now_us += 100000u;
		for (i = 0; i < w->slot_count; i++)
			share_slot_tick(w, &w->slots[i]);
		while (w->call_count > 0) {
			share_world_answer(w, &w->calls[0],
			    share_world_execute(w, &w->calls[0]));
			share_world_remove_call(w, 0);
		}
		while (w->mail_count > 0)
			share_world_deliver(w, 0);
	}
}

static void
begin(world_t *w)
{
	int32_t fast;
	uint32_t i;

	for (i = 0; i < LIMITS; i++) {
		w->rates[i] =
		    1u + share_world_draw(
			     w, share_world_draw(w, 2) == 0 ? 100 : 60000);
		w->bursts[i] = 1000u + share_world_draw(w, 60000) * 100u;
	}
	w->kinds = share_world_draw(w, 2) == 0
		       ? 0
		       : share_world_draw(w, 1u << OPERATIONS);
	w->slot_count = 2 + share_world_draw(
				w, share_world_draw(w, 2) == 0 ? 3 : SLOTS - 1);
	fast = (int32_t)share_world_draw(w, 3) - 1;
	for (i = 0; i < w->slot_count; i++) {
		slot_t *s = &w->slots[i];

		s->world = w;
		s->index = i;
		s->clock_ppm = share_world_draw(w, 2) == 0
				   ? (int32_t)share_world_draw(w, 2001) - 1000
				   : fast * 1000;
		s->clock_offset_ms = OFFSET_MS + share_world_draw(w, 60000);
		share_slot_start(w, s);
	}
	for (i = 0; i < w->slot_count; i++)
		share_slot_set_roles(w, &w->slots[i]);
	run_in(w);
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
	begin(&w);
	for (i = 0; i < OPS; i++) {
		operate(&w);
		share_world_check_sum(&w);
	}
	total_ops += OPS;
	share_world_check(&w);
	share_world_end(&w);
	return 0;
}
