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

#include "almondthread/share_root.h"

#define SLOTS 12u
#define CENTRES 3u
#define OPS 1000u
#define RUN_IN 80u /* rounds without faults, at most */
#define MESSAGES 256u
#define CALLS 64u
#define DEBITS 64u
#define EVENTS (2 * OPS + 64)
#define LIMITS 4u
#define OFFSET_MS 1000000u

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct world world_t;

typedef struct slot {
	world_t *world;
	uint32_t index;
	int alive;
	int paused;
	int cut; /* from the object API */
	int leaving;
	int32_t clock_ppm;
	uint64_t clock_offset_ms;
	at_incarnation_t self;
	at_share_t *share;
	at_share_root_t *root;
	uint32_t limit; /* index of the limit in force here */
	at_debit_t *debits[DEBITS];
	size_t debit_events[DEBITS];
	uint64_t costs[DEBITS];
	size_t debit_count;
} slot_t;

typedef struct mail {
	at_incarnation_t from;
	at_incarnation_t to;
	at_share_message_t message;
} mail_t;

typedef struct call {
	uint64_t owner; /* incarnation */
	int is_put;
	int answered; /* its answer was lost; it may still take effect */
	uint64_t expect;
	char *value;
	size_t len;
	at_store_done_t done;
	void *ctx;
} call_t;

/* A debit, or a change of the greatest limit in force anywhere. */
typedef struct event {
	uint64_t at_us;
	int is_limit;
	int64_t utok;
	uint64_t rate;
	uint64_t burst;
} event_t;

struct world {
	const uint8_t *data;
	size_t size;
	at_rng_t rng;
	uint64_t now_us;
	slot_t slots[SLOTS];
	uint32_t slot_count;
	uint32_t kinds;       /* bit set of the operations enabled */
	uint64_t loan_end_us; /* of the last grant delivered */
	uint64_t next_number;
	uint64_t dead[2 * OPS];
	size_t dead_count;
	uint64_t rates[LIMITS];
	uint64_t bursts[LIMITS];
	mail_t mails[MESSAGES];
	size_t mail_count;
	call_t calls[CALLS];
	size_t call_count;
	char *object;
	size_t object_len;
	uint64_t version;
	int cut[CENTRES][CENTRES];
	int outage;
	event_t events[EVENTS];
	size_t event_count;
};

static uint64_t total_ops;
static uint64_t total_admitted;
static uint64_t total_short;
static uint64_t total_grants;

static void
print_totals(void)
{
	(void)fprintf(stderr,
	    "fuzz_share: %llu operations, %llu admitted, %llu short, "
	    "%llu grants delivered\n",
	    (unsigned long long)total_ops, (unsigned long long)total_admitted,
	    (unsigned long long)total_short, (unsigned long long)total_grants);
}

static uint32_t
draw(world_t *w, uint32_t bound)
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

static uint64_t
clock_ms(const slot_t *s)
{
	uint64_t us = s->world->now_us;

	us += (uint64_t)((int64_t)us * s->clock_ppm / 1000000);
	return us / 1000u + s->clock_offset_ms;
}

static int
may_pass(const world_t *w, uint64_t from, uint64_t to)
{
	uint32_t a = (uint32_t)from % SLOTS % CENTRES;
	uint32_t b = (uint32_t)to % SLOTS % CENTRES;

	return !w->cut[a][b];
}

static void
on_send(void *ctx, const at_incarnation_t *to, const at_share_message_t *m)
{
	slot_t *s = ctx;
	world_t *w = s->world;
	mail_t mail = {s->self, *to, *m};

	if (w->mail_count < MESSAGES)
		w->mails[w->mail_count++] = mail;
}

static void
on_apply(void *ctx, int64_t floor_ppb, int64_t lease_ppb, uint64_t expires_ms)
{
	slot_t *s = ctx;

	at_share_set_root(
	    s->share, clock_ms(s), floor_ppb, lease_ppb, expires_ms);
}

static void
add_call(slot_t *s, const call_t *call)
{
	world_t *w = s->world;

	if (w->call_count == CALLS) {
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

static slot_t *
slot_of(world_t *w, uint64_t number)
{
	slot_t *s = &w->slots[number % SLOTS];

	return s->alive && s->self.number == number ? s : NULL;
}

static at_store_code_t
execute(world_t *w, call_t *call)
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

static void
answer(world_t *w, call_t *call, at_store_code_t code)
{
	at_store_result_t result = {code, w->version, w->object, w->object_len};

	if (!call->answered && slot_of(w, call->owner) != NULL)
		call->done(call->ctx, &result);
	call->answered = 1;
}

static void
remove_call(world_t *w, size_t index)
{
	free(w->calls[index].value);
	w->calls[index] = w->calls[--w->call_count];
}

static void
op_store(world_t *w, slot_t *s)
{
	size_t index;
	uint32_t fate = draw(w, 8);
	call_t *call;
	slot_t *owner;

	(void)s;
	if (w->call_count == 0)
		return;
	index = draw(w, (uint32_t)w->call_count);
	call = &w->calls[index];
	owner = slot_of(w, call->owner);
	if (w->outage || (owner != NULL && owner->cut))
		fate = fate < 4 ? 0 : 1;
	else if (fate > 2)
		fate = 3;
	if (fate == 0) {
		answer(w, call, AT_STORE_NOT_SENT);
		remove_call(w, index);
	} else if (fate == 1) {
		answer(w, call, AT_STORE_UNKNOWN);
	} else {
		at_store_code_t code = execute(w, call);

		answer(w, call, fate == 2 ? AT_STORE_UNKNOWN : code);
		remove_call(w, index);
	}
}

/* Notes the greatest rate and burst that any live instance has in force. */
static void
note_limit(world_t *w)
{
	event_t e = {.at_us = w->now_us, .is_limit = 1};
	uint32_t i;

	for (i = 0; i < w->slot_count; i++) {
		uint32_t limit = w->slots[i].limit;

		if (!w->slots[i].alive)
			continue;
		if (w->rates[limit] > e.rate)
			e.rate = w->rates[limit];
		if (w->bursts[limit] > e.burst)
			e.burst = w->bursts[limit];
	}
	if (w->event_count < EVENTS)
		w->events[w->event_count++] = e;
}

static void
set_roles(world_t *w, slot_t *s)
{
	at_incarnation_t remotes[CENTRES];
	const at_incarnation_t *home = NULL;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < w->slot_count && i < CENTRES; i++) {
		if (i % CENTRES == s->index % CENTRES)
			home = &w->slots[i].self;
		else
			remotes[count++] = w->slots[i].self;
	}
	if (draw(w, 8) == 0)
		home = &w->slots[draw(w, w->slot_count)].self;
	at_share_set_home(s->share, clock_ms(s), home);
	at_share_set_remotes(s->share, remotes, count);
	at_share_root_set_holder(
	    s->root, home == NULL || home->number == s->self.number);
}

static void
start(world_t *w, slot_t *s)
{
	const at_share_port_t port = {on_send, NULL, s};
	const at_store_t store = {store_get, store_put, NULL, NULL, s};

	s->alive = 1;
	s->paused = 0;
	s->leaving = 0;
	s->debit_count = 0;
	s->self.number = (w->next_number += SLOTS) + s->index;
	(void)at_name_set(&s->self.instance, "i");
	s->share = at_share_new(clock_ms(s), &s->self, &port);
	s->root = at_share_root_new(clock_ms(s), &s->self, &store);
	at_share_root_set_apply(s->root, on_apply, s);
	at_share_root_set_floor(
	    s->root, draw(w, 2) == 0 ? AT_PPB : AT_PPB / 10 * draw(w, 10));
	at_share_root_set_fleet(s->root, w->slot_count, CENTRES);
	at_share_set_limit(
	    s->share, clock_ms(s), w->rates[s->limit], w->bursts[s->limit]);
	note_limit(w);
}

static void
stop(world_t *w, slot_t *s)
{
	s->alive = 0;
	at_share_delete(s->share);
	at_share_root_delete(s->root);
	w->dead[w->dead_count++] = s->self.number;
}

static void
debit(world_t *w, slot_t *s, uint64_t cost)
{
	event_t e = {.at_us = w->now_us, .utok = (int64_t)cost * AT_UTOK};
	at_debit_t *made;

	if (s->paused || s->debit_count == DEBITS || w->event_count == EVENTS)
		return;
	if (at_share_admit(s->share, clock_ms(s), cost, &made) != AT_ADMIT_OK) {
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
	uint32_t part = draw(w, 8) == 0 ? 2 : 40;

	debit(w, s, draw(w, (uint32_t)burst / part));
}

static void
op_settle(world_t *w, slot_t *s)
{
	size_t i;
	uint64_t used;

	if (s->paused || s->debit_count == 0)
		return;
	i = draw(w, (uint32_t)s->debit_count);
	used = s->costs[i] == 0 ? 0 : draw(w, (uint32_t)s->costs[i] + 1);
	if (draw(w, 3) == 0)
		used = 0;
	at_share_settle(s->share, clock_ms(s), s->debits[i], used);
	w->events[s->debit_events[i]].utok = (int64_t)used * AT_UTOK;
	s->debit_count--;
	s->debits[i] = s->debits[s->debit_count];
	s->costs[i] = s->costs[s->debit_count];
	s->debit_events[i] = s->debit_events[s->debit_count];
}

/* Just before the borrower's clock reads the end of a loan. */
static uint64_t
loan_end_us(const slot_t *borrower, const at_share_message_t *grant)
{
	uint64_t us = grant->asked_ms + grant->term_ms;

	us = (us - borrower->clock_offset_ms) * 1000u - 1;
	return us - (uint64_t)((int64_t)us * borrower->clock_ppm / 1000000);
}

static void
deliver(world_t *w, size_t index)
{
	mail_t mail = w->mails[index];
	slot_t *to = slot_of(w, mail.to.number);
	uint32_t fate = draw(w, 16);

	if (to != NULL && to->paused)
		return;
	if (fate != 1) { /* 1: it is delivered and comes again */
		w->mail_count--;
		memmove(&w->mails[index], &w->mails[index + 1],
		    (w->mail_count - index) * sizeof(mail_t));
	}
	if (fate == 0 || to == NULL ||
	    !may_pass(w, mail.from.number, mail.to.number))
		return;
	if (mail.message.kind == AT_SHARE_GRANT) {
		total_grants++;
		w->loan_end_us = loan_end_us(to, &mail.message);
	}
	at_share_receive(to->share, clock_ms(to), &mail.from, &mail.message);
}

static void
op_deliver(world_t *w, slot_t *s)
{
	uint32_t count = draw(w, 4) == 0 ? 20 : 1;

	(void)s;
	while (count-- > 0 && w->mail_count > 0)
		deliver(
		    w, draw(w, 4) != 0 ? 0 : draw(w, (uint32_t)w->mail_count));
}

static void
tick(world_t *w, slot_t *s)
{
	at_share_view_t view;

	(void)w;
	if (!s->alive || s->paused)
		return;
	at_share_view(s->share, &view);
	at_share_root_tick(s->root, clock_ms(s), view.lent_ppb);
	at_share_tick(s->share, clock_ms(s));
	if (s->leaving && at_share_root_left(s->root)) {
		stop(w, s);
		start(w, s);
		set_roles(w, s);
	}
}

static void
op_ended(world_t *w, slot_t *s)
{
	if (w->dead_count == 0 || s->paused)
		return;
	at_share_root_ended(
	    s->root, clock_ms(s), w->dead[draw(w, (uint32_t)w->dead_count)]);
}

static void
op_replace(world_t *w, slot_t *s)
{
	if (draw(w, 4) != 0)
		return;
	stop(w, s);
	if (draw(w, 2) == 0)
		s->limit = draw(w, LIMITS);
	start(w, s);
	set_roles(w, s);
}

static void
op_limit(world_t *w, slot_t *s)
{
	if (s->paused || draw(w, 2) == 0)
		return;
	/* The old limit counts up to here, the new one from here. */
	s->limit = draw(w, LIMITS);
	at_share_set_limit(
	    s->share, clock_ms(s), w->rates[s->limit], w->bursts[s->limit]);
	note_limit(w);
}

static void
op_leave(world_t *w, slot_t *s)
{
	if (s->paused || draw(w, 4) != 0)
		return;
	s->leaving = 1;
	at_share_root_leave(s->root);
	at_share_leave(s->share, clock_ms(s));
}

static void
op_time(world_t *w, slot_t *s)
{
	uint32_t scale = draw(w, 16);
	uint32_t i;

	(void)s;
	if (scale < 12)
		w->now_us += draw(w, 3000);
	else if (scale == 12 && w->loan_end_us > w->now_us)
		w->now_us = w->loan_end_us;
	else if (scale < 15)
		w->now_us += draw(w, 60000) * 5u;
	else
		w->now_us += draw(w, 60000) * 500u;
	for (i = 0; i < w->slot_count; i++) {
		if (draw(w, 2) == 0)
			tick(w, &w->slots[i]);
	}
}

static void
op_network(world_t *w, slot_t *s)
{
	uint32_t a = draw(w, CENTRES);
	uint32_t b = draw(w, CENTRES);

	(void)s;
	w->cut[a][b] = draw(w, 3) == 0;
	w->outage = draw(w, 12) == 0;
}

static void
op_pause(world_t *w, slot_t *s)
{
	s->paused = draw(w, 2) == 0;
}

static void
op_cut(world_t *w, slot_t *s)
{
	s->cut = draw(w, 3) == 0;
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
		at_share_tick(s->share, clock_ms(s));
		at_share_view(s->share, &view);
		if (view.level_utok > AT_UTOK)
			debit(w, s, (uint64_t)(view.level_utok / AT_UTOK));
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
	pick = draw(w, total);
	for (i = 0; pick >= operations[i].weight; i++)
		pick -= operations[i].weight;
	if (operations[i].is_fault && (w->kinds >> i & 1u) == 0)
		i = 0;
	operations[i].run(w, &w->slots[draw(w, w->slot_count)]);
}

/* What all instances may use now, each by its own clock. */
static void
check_sum(world_t *w)
{
	int64_t sum_ppb = 0;
	uint32_t i;

	for (i = 0; i < w->slot_count; i++) {
		at_share_view_t view;

		at_share_advance(w->slots[i].share, clock_ms(&w->slots[i]));
		at_share_view(w->slots[i].share, &view);
		sum_ppb += view.own_ppb;
	}
	if (sum_ppb > AT_PPB) {
		(void)fprintf(stderr, "shares add up to %lld ppb at %llu us\n",
		    (long long)sum_ppb, (unsigned long long)w->now_us);
		abort();
	}
}

static void
check(const world_t *w)
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
				level = (int64_t)e->burst * AT_UTOK;
			rate = e->rate;
			burst = (int64_t)e->burst * AT_UTOK;
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

/* Instances join the table, so that the faults meet shares in use. */
static void
run_in(world_t *w)
{
	uint32_t rounds = draw(w, 2) == 0 ? 0 : draw(w, RUN_IN);
	uint32_t i;

	while (rounds-- > 0) {
		w->now_us += 100000u;
		for (i = 0; i < w->slot_count; i++)
			tick(w, &w->slots[i]);
		while (w->call_count > 0) {
			answer(w, &w->calls[0], execute(w, &w->calls[0]));
			remove_call(w, 0);
		}
		while (w->mail_count > 0)
			deliver(w, 0);
	}
}

static void
begin(world_t *w)
{
	int32_t fast;
	uint32_t i;

	for (i = 0; i < LIMITS; i++) {
		w->rates[i] = 1u + draw(w, draw(w, 2) == 0 ? 100 : 60000);
		w->bursts[i] = 1000u + draw(w, 60000) * 100u;
	}
	w->kinds = draw(w, 2) == 0 ? 0 : draw(w, 1u << OPERATIONS);
	w->slot_count = 2 + draw(w, draw(w, 2) == 0 ? 3 : SLOTS - 1);
	fast = (int32_t)draw(w, 3) - 1;
	for (i = 0; i < w->slot_count; i++) {
		slot_t *s = &w->slots[i];

		s->world = w;
		s->index = i;
		s->clock_ppm = draw(w, 2) == 0 ? (int32_t)draw(w, 2001) - 1000
					       : fast * 1000;
		s->clock_offset_ms = OFFSET_MS + draw(w, 60000);
		start(w, s);
	}
	for (i = 0; i < w->slot_count; i++)
		set_roles(w, &w->slots[i]);
	run_in(w);
}

static void
end(world_t *w)
{
	uint32_t i;

	for (i = 0; i < w->slot_count; i++)
		stop(w, &w->slots[i]);
	while (w->call_count > 0)
		remove_call(w, 0);
	free(w->object);
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
		check_sum(&w);
	}
	total_ops += OPS;
	check(&w);
	end(&w);
	return 0;
}
