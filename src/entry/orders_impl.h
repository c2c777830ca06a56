/*
 * orders_impl.h - shapes shared by the files of orders: orders.c has the lease
 * and the rounds, orders_send.c one order at one engine, orders_adapters.c
 * adapters, orders_report.c what goes to and comes from other instances.
 */
#ifndef ALMONDTHREAD_ENTRY_ORDERS_IMPL_H
#define ALMONDTHREAD_ENTRY_ORDERS_IMPL_H

#include <uthash.h>

#include "almondthread/lease.h"
#include "almondthread/residency.h"
#include "entry/orders.h"
#include "platform/orders.h"

#define CHANGES_MAX 256u        /* changes that are being told */
#define DEMAND_ENTRIES_MAX 512u /* of one instance's report */
#define ADAPTER_REQUESTS_MAX \
	128u /* models asked for at once and held by nobody */

/* The one order under way at an engine. */
typedef enum engine_order_state {
	ENGINE_IDLE,
	ENGINE_UNLOAD_ANNOUNCED, /* an unload was told; the order follows */
	ENGINE_ORDER_SENT,       /* no answer yet */
	ENGINE_ORDER_ACCEPTED,   /* accepted; its end is awaited */
	ENGINE_UNKNOWN /* its count of orders is not known; a report tells */
} engine_order_state_t;

typedef struct engine {
	at_orders_io_t *orders;
	at_tag_t server;
	engine_order_state_t state;
	int is_load;
	at_name_t model;
	at_name_t adapter;      /* empty: the model itself */
	at_name_t next_adapter; /* to load once a victim has gone */
	at_name_t next_model;
	at_tag_t replacement;    /* model that a place was cleared for, or 0 */
	int is_count_known;      /* the next is known */
	uint64_t accepted_count; /* orders that the engine has accepted in its
				    life */
	at_resident_set_t residents; /* what it holds after just those */
	uint64_t started_ms;         /* of that life */
	uint64_t order_started_us;
	uint64_t report_due_us;    /* when its end is looked at again */
	int report_pending;        /* a report is being fetched */
	uint64_t adapter_ready_us; /* 0: no adapter is on its way */
	at_name_t ready_model;     /* of that adapter */
	at_name_t ready_adapter;
	UT_hash_handle hh;
} engine_t;

/* An adapter that was lately looked after. */
typedef struct adapter_request {
	at_tag_t adapter;
	uint64_t next_us; /* no further look before */
	UT_hash_handle hh;
} adapter_request_t;

/* A change of what an engine holds, told for a while. */
typedef struct resident_change {
	at_tag_t server;
	at_name_t model;
	at_name_t adapter; /* empty: the model itself */
	int is_resident;
	uint64_t report_until_us;
} resident_change_t;

struct at_orders_io {
	at_entry_t *entry;
	at_lease_t *lease;
	int lease_call_open;
	int platform_away; /* the last call about the lease failed */
	at_lease_state_t logged_state;
	uint64_t lease_taken_us;  /* when the lease was last taken */
	double store_load_tokens; /* that may begin, by the store's rate */
	uint64_t refilled_us;
	at_demand_rates_t *demand;
	engine_t *engines;
	adapter_request_t *adapter_requests;
	resident_change_t changes[CHANGES_MAX];
	size_t change_count;
	ev_timer tick;
	ev_timer adapter_timer; /* an adapter is there by then */
};

/* orders.c */
int orders_may_send(const at_orders_io_t *orders);
void orders_note_higher_fence(at_orders_io_t *orders);
/* orders_send.c */
engine_t *engine_find_or_add(
    at_orders_io_t *orders, const at_server_entry_t *entry);
void engine_send_order(engine_t *engine, int is_load, const at_name_t *model,
    const at_name_t *adapter);
void engine_fetch_report(engine_t *engine);
/* orders_adapters.c */
void adapters_request(at_orders_io_t *orders, at_tag_t service,
    const at_name_t *model, const at_name_t *adapter);
void adapters_request_queued(at_orders_io_t *orders);
void adapters_prefetch(at_orders_io_t *orders);
void adapters_note_accepted(engine_t *engine);
/* orders_report.c */
void orders_add_change(at_orders_io_t *orders, at_tag_t server,
    const at_name_t *model, const at_name_t *adapter, int resident);

#endif
