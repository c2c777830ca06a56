/*
 * share_world.h - simulated environment of the shares under test: instances
 * with their clocks, messages in transit, the object API, and the oracles.
 */
#ifndef ALMONDTHREAD_FUZZ_SHARE_WORLD_H
#define ALMONDTHREAD_FUZZ_SHARE_WORLD_H

#include "almondthread/share_root.h"

#define SLOTS_MAX 12u /* instances that run at a time */
#define DATA_CENTRES 3u
#define OPERATIONS_PER_RUN 1000u
#define RUN_IN_ROUNDS_MAX 80u /* rounds without faults at the start */
#define PACKETS_MAX 256u      /* messages in transit */
#define CALLS_MAX 64u         /* open calls of the object API */
#define DEBITS_MAX 64u        /* open debits of one instance */
#define EVENTS_MAX (2 * OPERATIONS_PER_RUN + 64)
#define LIMITS 4u          /* pairs of rate and burst of one run */
#define OFFSET_MS 1000000u /* smallest offset of a clock from true time */

typedef struct world world_t;

/* Runs one instance at a time; each start is a new incarnation. */
typedef struct slot {
	world_t *world;
	uint32_t index;
	int is_alive;
	int is_paused;
	int is_cut; /* the object API cannot be reached */
	int is_leaving;
	int32_t clock_ppm;
	uint64_t clock_offset_ms;
	at_incarnation_t self;
	at_share_t *share;
	at_share_root_t *root;
	uint32_t limit; /* index of the limit in force here */
	at_debit_t *debits[DEBITS_MAX];
	size_t debit_events[DEBITS_MAX];
	uint64_t costs[DEBITS_MAX];
	size_t debit_count;
} slot_t;

/* A message in transit. */
typedef struct packet {
	at_incarnation_t from;
	at_incarnation_t to;
	at_share_message_t message;
} packet_t;

/* An open call of the object API. */
typedef struct call {
	uint64_t owner; /* incarnation */
	int is_put;
	int is_answered; /* its result was lost; it may still take effect */
	uint64_t expect;
	char *value;
	size_t len;
	at_store_done_t done;
	void *ctx;
} call_t;

/* A debit, or a change of the largest limit in force at any instance. */
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
	slot_t slots[SLOTS_MAX];
	uint32_t slot_count;
	uint32_t enabled_faults; /* bit set of the faults enabled */
	uint64_t loan_end_us;    /* of the last grant delivered */
	uint64_t next_number;
	uint64_t ended_numbers[2 * OPERATIONS_PER_RUN];
	int64_t ended_borrowed_ppb[2 * OPERATIONS_PER_RUN];
	size_t ended_count;
	uint64_t rates[LIMITS];
	uint64_t bursts[LIMITS];
	packet_t packets[PACKETS_MAX];
	size_t packet_count;
	call_t calls[CALLS_MAX];
	size_t call_count;
	char *object;
	size_t object_len;
	uint64_t version;
	at_share_table_t table; /* the object's value at table_version */
	uint64_t table_version;
	int partitions[DATA_CENTRES][DATA_CENTRES];
	int is_outage; /* of the object API */
	event_t events[EVENTS_MAX];
	size_t event_count;
};

extern uint64_t total_grants; /* grants delivered in all runs */

/* Applies a call of the object API; returns its result. */
at_store_code_t share_world_execute(world_t *world, call_t *call);
/* Passes a result to the caller at most once, and only if it still runs. */
void share_world_complete_call(
    world_t *world, call_t *call, at_store_code_t code);
void share_world_remove_call(world_t *world, size_t index);
/* Returns the slot in which an incarnation runs, or NULL. */
slot_t *share_world_slot_of(world_t *world, uint64_t number);
/* Records the largest rate and burst in force at any instance. */
void share_world_note_limit(world_t *world);
/* Sets the coordinators; at random, to a wrong one. */
void share_slot_set_roles(world_t *world, slot_t *slot);
void share_slot_start(world_t *world, slot_t *slot);
void share_slot_stop(world_t *world, slot_t *slot);
/* Delivers, loses or duplicates a message in transit. */
void share_world_deliver(world_t *world, size_t index);
/* Calls the tick functions of an instance; replaces it when it has left. */
void share_slot_tick(world_t *world, slot_t *slot);
/* Aborts if the shares in use add up to more than the whole. */
void share_world_check_sum(world_t *world);
/*
 * Aborts if others hold more loans of an instance, running or ended, than its
 * entry of the table and its own loans cover, or one of them more than its
 * lender counts.
 */
void share_world_check_cover(world_t *world);
/* Aborts if the debits of a run exceed the limit in any interval. */
void share_world_check(const world_t *world);
void share_world_end(world_t *world);
/* Returns a number below bound: from the input, and at random after its end. */
uint32_t share_world_draw(world_t *world, uint32_t bound);
/* Returns the time of an instance's monotonic clock. */
uint64_t share_slot_clock_ms(const slot_t *slot);

#endif
