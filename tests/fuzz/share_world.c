#include "fuzz/share_world.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint64_t total_grants;

uint32_t
share_world_draw(world_t *w, uint32_t bound)
{
	uint32_t value;

	if (w->size >= 2) {
		value = w->data[0] | (uint32_t)w->data[1] << 8;
		w->data += 2;
		w->size -= 2;
		return value % bound;
	}
	return (uint32_t)at_rng_below(&w->rng, bound);
}

uint64_t
share_slot_clock_ms(const slot_t *s)
{
	uint64_t us = s->world->now_us;

	us += (uint64_t)((int64_t)us * s->clock_ppm / 1000000);
	return us / 1000u + s->clock_offset_ms;
}

static int
is_connected(const world_t *w, uint64_t from, uint64_t to)
{
	uint32_t a = (uint32_t)from % SLOTS_MAX % DATA_CENTRES;
	uint32_t b = (uint32_t)to % SLOTS_MAX % DATA_CENTRES;

	return !w->partitions[a][b];
}

static void
on_send(void *ctx, const at_incarnation_t *to, const at_share_message_t *m)
{
	slot_t *s = ctx;
	world_t *w = s->world;
	packet_t packet = {s->self, *to, *m};

	if (w->packet_count < PACKETS_MAX)
		w->packets[w->packet_count++] = packet;
}

static void
on_root_changed(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	slot_t *s = ctx;

	at_share_set_root(
	    s->share, share_slot_clock_ms(s), floor_ppb, lease_ppb, expires_ms);
}

static void
add_call(slot_t *s, const call_t *call)
{
	world_t *w = s->world;

	if (w->call_count == CALLS_MAX) {
		free(w->calls[0].value);
		w->calls[0] = w->calls[--w->call_count];
	}
	w->calls[w->call_count] = *call;
	w->calls[w->call_count++].owner = s->self.number;
}

static void
store_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	call_t call = {.done = done, .ctx = ctx};

	(void)name;
	add_call(impl, &call);
}

static void
store_put(void *impl, const char *name, uint64_t expect, const void *value,
    size_t len, at_store_done_t done, void *ctx)
{
	call_t call = {.is_put = 1,
	    .expect = expect,
	    .value = malloc(len),
	    .len = len,
	    .done = done,
	    .ctx = ctx};

	(void)name;
	memcpy(call.value, value, len);
	add_call(impl, &call);
}

slot_t *
share_world_slot_of(world_t *w, uint64_t number)
{
	slot_t *s = &w->slots[number % SLOTS_MAX];

	return s->is_alive && s->self.number == number ? s : NULL;
}

at_store_code_t
share_world_execute(world_t *w, call_t *call)
{
	if (!call->is_put)
		return w->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	if (call->expect != w->version)
		return AT_STORE_CONFLICT;
	free(w->object);
	w->object = call->value;
	w->object_len = call->len;
	call->value = NULL;
	w->version++;
	return AT_STORE_OK;
}

void
share_world_complete_call(world_t *w, call_t *call, at_store_code_t code)
{
	at_store_result_t result = {code, w->version, w->object, w->object_len};

	if (!call->is_answered && share_world_slot_of(w, call->owner) != NULL)
		call->done(call->ctx, &result);
	call->is_answered = 1;
}

void
share_world_remove_call(world_t *w, size_t index)
{
	free(w->calls[index].value);
	w->calls[index] = w->calls[--w->call_count];
}

void
share_world_note_limit(world_t *w)
{
	event_t e = {.at_us = w->now_us, .is_limit = 1};
	uint32_t i;

	for (i = 0; i < w->slot_count; i++) {
		uint32_t limit = w->slots[i].limit;

		if (!w->slots[i].is_alive)
			continue;
		if (w->rates[limit] > e.rate)
			e.rate = w->rates[limit];
		if (w->bursts[limit] > e.burst)
			e.burst = w->bursts[limit];
	}
	if (w->event_count < EVENTS_MAX)
		w->events[w->event_count++] = e;
}

void
share_slot_set_roles(world_t *w, slot_t *s)
{
	at_incarnation_t remotes[DATA_CENTRES];
	const at_incarnation_t *coordinator = NULL;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < w->slot_count && i < DATA_CENTRES; i++) {
		if (i % DATA_CENTRES == s->index % DATA_CENTRES)
			coordinator = &w->slots[i].self;
		else
			remotes[count++] = w->slots[i].self;
	}
	if (share_world_draw(w, 8) == 0)
		coordinator =
		    &w->slots[share_world_draw(w, w->slot_count)].self;
	at_share_set_coordinator(s->share, share_slot_clock_ms(s), coordinator);
	at_share_set_remote_coordinators(s->share, remotes, count);
	at_share_root_set_lease_holder(s->root,
	    coordinator == NULL || coordinator->number == s->self.number);
}

void
share_slot_start(world_t *w, slot_t *s)
{
	const at_share_port_t port = {on_send, NULL, s};
	const at_store_t store = {store_get, store_put, NULL, NULL, s};

	s->is_alive = 1;
	s->is_paused = 0;
	s->is_leaving = 0;
	s->debit_count = 0;
	s->self.number = (w->next_number += SLOTS_MAX) + s->index;
	(void)at_name_set(&s->self.instance, "i");
	s->share = at_share_new(share_slot_clock_ms(s), &s->self, &port);
	s->root = at_share_root_new(share_slot_clock_ms(s), &s->self, &store);
	at_share_root_set_changed(s->root, on_root_changed, s);
	at_share_root_set_floor(
	    s->root, share_world_draw(w, 2) == 0
			 ? AT_PPB_WHOLE
			 : AT_PPB_WHOLE / 10 * share_world_draw(w, 10));
	at_share_root_set_instance_counts(s->root, w->slot_count, DATA_CENTRES);
	at_share_set_limit(s->share, share_slot_clock_ms(s), w->rates[s->limit],
	    w->bursts[s->limit]);
	share_world_note_limit(w);
}

void
share_slot_stop(world_t *w, slot_t *s)
{
	s->is_alive = 0;
	at_share_delete(s->share);
	at_share_root_delete(s->root);
	w->ended_numbers[w->ended_count++] = s->self.number;
}

/* Returns the time just before a loan ends by the borrower's clock. */
static uint64_t
loan_end_us(const slot_t *borrower, const at_share_message_t *grant)
{
	uint64_t us = grant->requested_ms + grant->term_ms;

	us = (us - borrower->clock_offset_ms) * 1000u - 1;
	return us - (uint64_t)((int64_t)us * borrower->clock_ppm / 1000000);
}

void
share_world_deliver(world_t *w, size_t index)
{
	packet_t packet = w->packets[index];
	slot_t *to = share_world_slot_of(w, packet.to.number);
	uint32_t outcome = share_world_draw(w, 16);

	if (to != NULL && to->is_paused)
		return;
	if (outcome != 1) { /* 1: it is delivered and kept */
		w->packet_count--;
		memmove(&w->packets[index], &w->packets[index + 1],
		    (w->packet_count - index) * sizeof(packet_t));
	}
	if (outcome == 0 || to == NULL ||
	    !is_connected(w, packet.from.number, packet.to.number))
		return;
	if (packet.message.kind == AT_SHARE_GRANT) {
		total_grants++;
		w->loan_end_us = loan_end_us(to, &packet.message);
	}
	at_share_receive(
	    to->share, share_slot_clock_ms(to), &packet.from, &packet.message);
}

void
share_slot_tick(world_t *w, slot_t *s)
{
	at_share_view_t view;

	(void)w;
	if (!s->is_alive || s->is_paused)
		return;
	at_share_view(s->share, &view);
	at_share_root_tick(s->root, share_slot_clock_ms(s), view.lent_ppb);
	at_share_tick(s->share, share_slot_clock_ms(s));
	if (s->is_leaving && at_share_root_has_left(s->root)) {
		share_slot_stop(w, s);
		share_slot_start(w, s);
		share_slot_set_roles(w, s);
	}
}

/* Each instance counts by its own clock. */
void
share_world_check_sum(world_t *w)
{
	int64_t sum_ppb = 0;
	uint32_t i;

	for (i = 0; i < w->slot_count; i++) {
		at_share_view_t view;

		at_share_advance(
		    w->slots[i].share, share_slot_clock_ms(&w->slots[i]));
		at_share_view(w->slots[i].share, &view);
		sum_ppb += view.own_ppb;
	}
	if (sum_ppb > AT_PPB_WHOLE) {
		(void)fprintf(stderr, "shares add up to %lld ppb at %llu us\n",
		    (long long)sum_ppb, (unsigned long long)w->now_us);
		abort();
	}
}

void
share_world_check(const world_t *w)
{
	int64_t level = 0;
	uint64_t rate = 0;
	uint64_t last_us = 0;
	int64_t burst = 0;
	size_t i;

	for (i = 0; i < w->event_count; i++) {
		const event_t *e = &w->events[i];

		level += (int64_t)((e->at_us - last_us) * rate);
		last_us = e->at_us;
		if (e->is_limit) {
			if (i == 0)
				level = (int64_t)e->burst * AT_UTOK_PER_TOKEN;
			rate = e->rate;
			burst = (int64_t)e->burst * AT_UTOK_PER_TOKEN;
		}
		if (level > burst)
			level = burst;
		if (e->is_limit)
			continue;
		level -= e->utok;
		if (level < 0) {
			(void)fprintf(stderr,
			    "excess of %lld utok at %llu us, event %zu\n",
			    (long long)-level, (unsigned long long)e->at_us, i);
			abort();
		}
	}
}

void
share_world_end(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->slot_count; i++)
		share_slot_stop(w, &w->slots[i]);
	while (w->call_count > 0)
		share_world_remove_call(w, 0);
	free(w->object);
}
