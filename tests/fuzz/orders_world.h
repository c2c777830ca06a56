/*
 * orders_world.h - the simulated environment of the instances in fuzz_orders.c:
 * the true state of the engines, the store, orders and reports in transit, and
 * the invariants. All choices are drawn from one seeded generator.
 */
#ifndef ALMONDTHREAD_TESTS_ORDERS_WORLD_H
#define ALMONDTHREAD_TESTS_ORDERS_WORLD_H

#include "almondthread/orders.h"
#include "almondthread/placement.h"

#define NODES 3u
#define ENGINES 3u
/* Four models and two adapters of the first. */
#define SLOTS 6u
/* Memory of one engine. */
#define CAPACITY_MB 100u
/* Time after a transfer within which an engine executes an order or never. */
#define LIFETIME_MS 3000u
/* Longest transfer of an order. */
#define TRANSFER_MS 1000u
/*
 * Longest time after a restart of an engine for which the newest report may be
 * fresh and not show it, at any clock rate.
 */
#define UNSEEN_RESTART_MS (AT_ORDERS_REPORT_MAX_AGE_MS + 10u)
/* True time at the start of a run. */
#define START_MS 100000u
/* Events that are pending at a time. */
#define EVENTS 512u
#define VALUE_SIZE 65536u
/* Reading of each clock at true time 0. */
#define CLOCK_START_MS 1000000u

extern const uint64_t slot_mb[SLOTS];

/* The true state of a model or adapter on an engine. */
typedef struct resident {
	int is_resident;
	int change;       /* 1: being loaded, -1: being unloaded, 0: neither */
	uint64_t done_at; /* end of the change */
} resident_t;

typedef struct engine {
	resident_t residents[SLOTS];
	uint64_t incarnation;
	uint64_t highest_fence;
	int heeds_fencing;
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
	uint64_t fence; /* term begun in orders; 0 if none */
	uint64_t ended_fence;
	int64_t rate_ppm;
	uint64_t paused_until;
	int has_paused_action; /* an action is delayed by a pause */
	at_orders_action_t paused_action;
	uint64_t paused_checked_at;
	char *paused_value;
} node_t;

typedef enum event_kind {
	EVENT_LEASE,          /* response to a call of the lease */
	EVENT_ORDERS,         /* response to a call of the orders */
	EVENT_EFFECT,         /* effect of a write on its object */
	EVENT_ORDER,          /* a copy of an order arrives at its engine */
	EVENT_TRANSFER_ENDED, /* the transfer of an order ends */
	EVENT_SNAPSHOT,       /* an engine makes a report */
	EVENT_REPORT          /* the report arrives */
} event_kind_t;

typedef struct event {
	int is_used;
	event_kind_t kind;
	uint64_t at;
	size_t node;
	uint64_t number; /* incarnation of the node */
	int is_write;
	int is_lease;
	int is_lost;
	uint64_t expect;
	char *value;
	size_t len;
	at_store_result_t result;
	at_order_t order;
	at_order_result_t order_result;
	uint64_t checked_at;
	size_t engine;
	uint64_t requested_at;
	uint64_t incarnation;
	at_resident_t residents[SLOTS];
	size_t count;
	uint64_t serial;
	size_t response_event; /* event that receives the result of this one */
	/* Serial of that event, as its entry may be used again. */
	uint64_t response_serial;
} event_t;

extern at_rng_t rng;
extern uint64_t now; /* true time in milliseconds */
extern uint64_t next_number;
extern engine_t engines[ENGINES];
extern node_t nodes[NODES];
extern uint64_t outage_until;

void fail_oracle(const char *message) __attribute__((noreturn));
int chance(uint64_t percent);
uint64_t clock_of(const node_t *node);
void slot_names(size_t slot, at_name_t *model, at_name_t *adapter);
void engine_name(char name[8], size_t engine);
void engine_restart(engine_t *engine);
/*
 * store_call() starts a call. Its effect and its response occur in any order.
 */
void store_call(node_t *node, int is_lease, int is_write, uint64_t expect,
    const char *value, size_t len);
/*
 * store_drop_responses() discards responses to the calls of a node for its
 * orders.
 */
void store_drop_responses(const node_t *node);
void send_order(node_t *node, const at_order_t *order, uint64_t checked_at);
/*
 * end_transfers() ends the transfers of a node. Copies may still be in transit.
 */
void end_transfers(const node_t *node);
void request_report(node_t *node, size_t engine);
/* run_events() advances the time to until. */
void run_events(uint64_t until);
void world_reset(void);

#endif
