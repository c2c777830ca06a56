/*
 * orders_world.h - the world round the instances of fuzz_orders.c: engines
 * as they truly are, the store, orders and reports on their way, and what
 * must hold. Everything is drawn from one seeded generator.
 */
#ifndef ALMONDTHREAD_TESTS_ORDERS_WORLD_H
#define ALMONDTHREAD_TESTS_ORDERS_WORLD_H

#include "almondthread/orders.h"
#include "almondthread/placement.h"

#define NODES 3u
#define ENGINES 3u
#define SLOTS 6u /* four models, two adapters of the first */
#define CAPACITY_MB 100u
#define LIFETIME_MS 3000u
#define TRANSFER_MS 1000u /* longest transfer of an order */
#define EXCUSE_MS (AT_ORDERS_REPORT_MAX_AGE_MS + 10u) /* and clock rates */
#define START_MS 100000u
#define EVENTS 512u
#define VALUE_SIZE 65536u
#define CLOCK_START_MS 1000000u

extern const uint64_t slot_mb[SLOTS];

/* One resident of an engine, as it truly is. */
typedef struct held {
	int present;
	int changing;
	uint64_t done_at; /* of the change */
} held_t;

typedef struct engine {
	held_t held[SLOTS];
	uint64_t incarnation;
	uint64_t highest_fence;
	int heeds;
} engine_t;

typedef struct object {
	uint64_t version;
	char *value;
	size_t len;
} object_t;

typedef struct node {
	at_lease_t *lease;
	at_orders_t *orders;
	at_placement_t *placement;
	at_incarnation_t self;
	uint64_t fence; /* begun in orders; 0: none */
	uint64_t ended_fence;
	int64_t rate_ppm;
	uint64_t paused_until;
	int has_held; /* an action that a pause keeps back */
	at_orders_action_t held;
	uint64_t held_checked_at;
	char *held_value;
} node_t;

typedef enum event_kind {
	EVENT_LEASE, /* call of the lease machine */
	EVENT_ORDERS,
	EVENT_EFFECT, /* of a write */
	EVENT_ORDER,  /* a copy arrives at its engine */
	EVENT_SENT,   /* the transfer ends */
	EVENT_SNAPSHOT,
	EVENT_REPORT
} event_kind_t;

typedef struct event {
	int used;
	event_kind_t kind;
	uint64_t at;
	size_t node;
	uint64_t number; /* of the node's incarnation */
	int is_write;
	int is_lease;
	int lost;
	uint64_t expect;
	char *value;
	size_t len;
	at_store_result_t result;
	at_order_t order;
	at_order_result_t order_result;
	uint64_t checked_at;
	size_t engine;
	uint64_t asked_at;
	uint64_t incarnation;
	at_resident_t residents[SLOTS];
	size_t count;
	uint64_t serial;
	size_t link;          /* the event that answers for this one */
	uint64_t link_serial; /* which goes when its slot has another */
} event_t;

extern at_rng_t rng;
extern uint64_t now; /* milliseconds of true time */
extern uint64_t next_number;
extern engine_t engines[ENGINES];
extern node_t nodes[NODES];
extern uint64_t outage_until;

void violated(const char *what) __attribute__((noreturn));
int chance(uint64_t percent);
uint64_t clock_of(const node_t *node);
void slot_names(size_t slot, at_name_t *model, at_name_t *adapter);
void engine_name(char name[8], size_t engine);
void engine_restart(engine_t *engine);
/* store_call() starts a call; its effect and answer come in any order. */
void store_call(node_t *node, int is_lease, int is_write, uint64_t expect,
    const char *value, size_t len);
/* store_forget() drops the answers of a node's calls for its orders. */
void store_forget(const node_t *node);
void send_order(node_t *node, const at_order_t *order, uint64_t checked_at);
/* end_transfers() cancels a node's; copies may still be on their way. */
void end_transfers(const node_t *node);
void ask_report(node_t *node, size_t engine);
/* run_events() moves the time on to until. */
void run_events(uint64_t until);
void world_reset(void);

#endif
