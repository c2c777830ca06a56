#include "fuzz/share_world.h"

#include "core/limits/share_impl.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

uint64_t total_grants;

uint32_t
share_world_draw(world_t *world, uint32_t bound)
{
	uint32_t value;

	if (world->size >= 2) {
		value = world->data[0] | (uint32_t)world->data[1] << 8;
		world->data += 2;
		world->size -= 2;
		return value % bound;
	}
	return (uint32_t)at_rng_below(&world->rng, bound);
}

uint64_t
share_slot_clock_ms(const slot_t *slot)
{
	uint64_t us = slot->world->now_us;

	us += (uint64_t)((int64_t)us * slot->clock_ppm / 1000000);
	return us / 1000u + slot->clock_offset_ms;
}

static int
is_connected(const world_t *world, uint64_t from, uint64_t to)
{
	uint32_t a = (uint32_t)from % SLOTS_MAX % DATA_CENTRES;
	uint32_t b = (uint32_t)to % SLOTS_MAX % DATA_CENTRES;

	return !world->partitions[a][b];
}

static void
on_send(
    void *ctx, const at_incarnation_t *to, const at_share_message_t *message)
{
	slot_t *slot = ctx;
	world_t *world = slot->world;
	packet_t packet = {slot->self, *to, *message};

	if (world->packet_count < PACKETS_MAX)
		world->packets[world->packet_count++] = packet;
}

static void
on_root_changed(
    void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	slot_t *slot = ctx;

	at_share_set_root(slot->share, share_slot_clock_ms(slot), floor_ppb,
	    lease_ppb, expires_ms);
}

static void
add_call(slot_t *slot, const call_t *call)
{
	world_t *world = slot->world;

	if (world->call_count == CALLS_MAX) {
		free(world->calls[0].value);
		world->calls[0] = world->calls[--world->call_count];
	}
	world->calls[world->call_count] = *call;
	world->calls[world->call_count++].owner = slot->self.number;
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
share_world_slot_of(world_t *world, uint64_t number)
{
	slot_t *slot = &world->slots[number % SLOTS_MAX];

	return slot->is_alive && slot->self.number == number ? slot : NULL;
}

at_store_code_t
share_world_execute(world_t *world, call_t *call)
{
	if (!call->is_put)
		return world->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	if (call->expect != world->version)
		return AT_STORE_CONFLICT;
	free(world->object);
	world->object = call->value;
	world->object_len = call->len;
	call->value = NULL;
	world->version++;
	return AT_STORE_OK;
}

void
share_world_complete_call(world_t *world, call_t *call, at_store_code_t code)
{
	at_store_result_t result = {
	    code, world->version, world->object, world->object_len};

	if (!call->is_answered &&
	    share_world_slot_of(world, call->owner) != NULL)
		call->done(call->ctx, &result);
	call->is_answered = 1;
}

void
share_world_remove_call(world_t *world, size_t index)
{
	free(world->calls[index].value);
	world->calls[index] = world->calls[--world->call_count];
}

void
share_world_note_limit(world_t *world)
{
	event_t event = {.at_us = world->now_us, .is_limit = 1};
	uint32_t i;

	for (i = 0; i < world->slot_count; i++) {
		uint32_t limit = world->slots[i].limit;

		if (!world->slots[i].is_alive)
			continue;
		if (world->rates[limit] > event.rate)
			event.rate = world->rates[limit];
		if (world->bursts[limit] > event.burst)
			event.burst = world->bursts[limit];
	}
	if (world->event_count < EVENTS_MAX)
		world->events[world->event_count++] = event;
}

void
share_slot_set_roles(world_t *world, slot_t *slot)
{
	at_incarnation_t remotes[DATA_CENTRES];
	const at_incarnation_t *coordinator = NULL;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < world->slot_count && i < DATA_CENTRES; i++) {
		if (i % DATA_CENTRES == slot->index % DATA_CENTRES)
			coordinator = &world->slots[i].self;
		else
			remotes[count++] = world->slots[i].self;
	}
	if (share_world_draw(world, 8) == 0)
		coordinator =
		    &world->slots[share_world_draw(world, world->slot_count)]
			 .self;
	at_share_set_coordinator(
	    slot->share, share_slot_clock_ms(slot), coordinator);
	at_share_set_remote_coordinators(slot->share, remotes, count);
	at_share_root_set_lease_holder(slot->root,
	    coordinator == NULL || coordinator->number == slot->self.number);
}

void
share_slot_start(world_t *world, slot_t *slot)
{
	const at_share_port_t port = {on_send, NULL, slot};
	const at_store_t store = {store_get, store_put, NULL, NULL, slot};

	slot->is_alive = 1;
	slot->is_paused = 0;
	slot->is_leaving = 0;
	slot->debit_count = 0;
	slot->self.number = (world->next_number += SLOTS_MAX) + slot->index;
	(void)at_name_set(&slot->self.instance, "i");
	slot->share =
	    at_share_new(share_slot_clock_ms(slot), &slot->self, &port);
	slot->root =
	    at_share_root_new(share_slot_clock_ms(slot), &slot->self, &store);
	at_share_root_set_changed(slot->root, on_root_changed, slot);
	at_share_root_set_floor(
	    slot->root, share_world_draw(world, 2) == 0
			    ? AT_PPB_WHOLE
			    : AT_PPB_WHOLE / 10 * share_world_draw(world, 10));
	at_share_root_set_instance_counts(
	    slot->root, world->slot_count, DATA_CENTRES);
	at_share_set_limit(slot->share, share_slot_clock_ms(slot),
	    world->rates[slot->limit], world->bursts[slot->limit]);
	share_world_note_limit(world);
}

static int64_t
borrowed_ppb(const at_share_t *share)
{
	return share->gross_ppb - share->floor_ppb - share->lease_ppb;
}

void
share_slot_stop(world_t *world, slot_t *slot)
{
	world->ended_borrowed_ppb[world->ended_count] =
	    borrowed_ppb(slot->share);
	slot->is_alive = 0;
	at_share_delete(slot->share);
	at_share_root_delete(slot->root);
	world->ended_numbers[world->ended_count++] = slot->self.number;
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
share_world_deliver(world_t *world, size_t index)
{
	packet_t packet = world->packets[index];
	slot_t *to = share_world_slot_of(world, packet.to.number);
	uint32_t outcome = share_world_draw(world, 16);

	if (to != NULL && to->is_paused)
		return;
	if (outcome != 1) { /* 1: it is delivered twice or more */
		world->packet_count--;
		memmove(&world->packets[index], &world->packets[index + 1],
		    (world->packet_count - index) * sizeof(packet_t));
	}
	if (outcome == 0 || to == NULL ||
	    !is_connected(world, packet.from.number, packet.to.number))
		return;
	if (packet.message.kind == AT_SHARE_GRANT) {
		total_grants++;
		world->loan_end_us = loan_end_us(to, &packet.message);
	}
	at_share_receive(
	    to->share, share_slot_clock_ms(to), &packet.from, &packet.message);
}

void
share_slot_tick(world_t *world, slot_t *slot)
{
	at_share_view_t view;

	(void)world;
	if (!slot->is_alive || slot->is_paused)
		return;
	at_share_view(slot->share, &view);
	at_share_root_tick(
	    slot->root, share_slot_clock_ms(slot), view.lent_ppb);
	at_share_tick(slot->share, share_slot_clock_ms(slot));
	if (slot->is_leaving && at_share_root_has_left(slot->root)) {
		share_slot_stop(world, slot);
		share_slot_start(world, slot);
		share_slot_set_roles(world, slot);
	}
}

/* Every instance is first advanced to now by its own clock. */
void
share_world_check_sum(world_t *world)
{
	int64_t sum_ppb = 0;
	uint32_t i;

	for (i = 0; i < world->slot_count; i++) {
		at_share_view_t view;

		at_share_advance(world->slots[i].share,
		    share_slot_clock_ms(&world->slots[i]));
		at_share_view(world->slots[i].share, &view);
		sum_ppb += view.own_ppb;
	}
	if (sum_ppb > AT_PPB_WHOLE) {
		(void)fprintf(stderr, "shares add up to %lld ppb at %llu us\n",
		    (long long)sum_ppb, (unsigned long long)world->now_us);
		abort();
	}
}

/* Returns what the table states for an incarnation. */
static int64_t
entry_ppb(world_t *world, uint64_t number)
{
	const at_share_entry_t *entry;

	if (world->table_version != world->version) {
		at_share_table_clear(&world->table);
		if (at_share_table_parse(
			&world->table, world->object, world->object_len) != 0)
			abort();
		world->table_version = world->version;
	}
	entry = at_share_table_find(&world->table, number);
	return entry == NULL ? 0 : entry->floor_ppb + entry->lease_ppb;
}

/* Returns what an incarnation may have lent; one that ended keeps its loans. */
static int64_t
cover_ppb(world_t *world, uint64_t number)
{
	const slot_t *slot = share_world_slot_of(world, number);
	int64_t ppb = entry_ppb(world, number);
	size_t i;

	if (slot != NULL)
		return ppb + borrowed_ppb(slot->share);
	for (i = 0; i < world->ended_count; i++) {
		if (world->ended_numbers[i] == number)
			ppb += world->ended_borrowed_ppb[i];
	}
	return ppb;
}

/* Returns the loans from an incarnation to all instances. */
static int64_t
borrowed_from_ppb(world_t *world, const at_incarnation_t *lender)
{
	int64_t ppb = 0;
	uint32_t i;

	for (i = 0; i < world->slot_count; i++) {
		const peer_t *peer =
		    share_find_peer(world->slots[i].share, lender);

		if (peer != NULL)
			ppb += loan_ppb(&peer->borrowed);
	}
	return ppb;
}

static void
check_lender(world_t *world, const at_incarnation_t *lender)
{
	int64_t lent_ppb = borrowed_from_ppb(world, lender);
	int64_t max_ppb;

	if (lent_ppb == 0)
		return;
	max_ppb = cover_ppb(world, lender->number);
	if (lent_ppb <= max_ppb)
		return;
	(void)fprintf(stderr,
	    "instance %llu has lent %lld ppb of %lld ppb at %llu us\n",
	    (unsigned long long)lender->number, (long long)lent_ppb,
	    (long long)max_ppb, (unsigned long long)world->now_us);
	abort();
}

/* A lender counts each loan in full for at least as long as its borrower. */
static void
check_pair(const slot_t *borrower, const peer_t *peer, const slot_t *lender)
{
	const peer_t *lent = share_find_peer(lender->share, &borrower->self);
	int64_t borrowed_ppb = loan_ppb(&peer->borrowed);
	int64_t lent_ppb = lent == NULL ? 0 : loan_ppb(&lent->lent);

	if (borrowed_ppb <= lent_ppb)
		return;
	(void)fprintf(stderr,
	    "instance %llu has a loan of %lld ppb, its lender counts %lld "
	    "ppb\n",
	    (unsigned long long)borrower->self.number, (long long)borrowed_ppb,
	    (long long)lent_ppb);
	abort();
}

void
share_world_check_cover(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->slot_count; i++) {
		const peer_t *peer;

		check_lender(world, &world->slots[i].self);
		for (peer = world->slots[i].share->peers; peer != NULL;
		     peer = peer->hh.next) {
			const slot_t *lender =
			    share_world_slot_of(world, peer->self.number);

			if (peer->borrowed.count == 0)
				continue;
			if (lender != NULL)
				check_pair(&world->slots[i], peer, lender);
			else
				check_lender(world, &peer->self);
		}
	}
}

void
share_world_check(const world_t *world)
{
	int64_t level = 0;
	uint64_t rate = 0;
	uint64_t last_us = 0;
	int64_t burst = 0;
	size_t i;

	for (i = 0; i < world->event_count; i++) {
		const event_t *event = &world->events[i];

		level += (int64_t)((event->at_us - last_us) * rate);
		last_us = event->at_us;
		if (event->is_limit) {
			if (i == 0)
				level =
				    (int64_t)event->burst * AT_UTOK_PER_TOKEN;
			rate = event->rate;
			burst = (int64_t)event->burst * AT_UTOK_PER_TOKEN;
		}
		if (level > burst)
			level = burst;
		if (event->is_limit)
			continue;
		level -= event->utok;
		if (level < 0) {
			(void)fprintf(stderr,
			    "excess of %lld utok at %llu us, event %zu\n",
			    (long long)-level, (unsigned long long)event->at_us,
			    i);
			abort();
		}
	}
}

void
share_world_end(world_t *world)
{
	uint32_t i;

	for (i = 0; i < world->slot_count; i++)
		share_slot_stop(world, &world->slots[i]);
	while (world->call_count > 0)
		share_world_remove_call(world, 0);
	free(world->object);
	at_share_table_clear(&world->table);
}
