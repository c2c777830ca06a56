/*
 * orders_impl.h - types shared by the files of orders: orders.c has the lease
 * and the planning rounds, orders_send.c one order at one engine,
 * orders_adapters.c the loading of adapters, orders_regions.c the models for
 * which requests with allowed regions wait, orders_report.c the entries in
 * reports to and from other instances.
 */
#ifndef ALMONDTHREAD_ENTRY_ORDERS_IMPL_H
#define ALMONDTHREAD_ENTRY_ORDERS_IMPL_H

#include <uthash.h>

#include "almondthread/lease.h"
#include "almondthread/residency.h"
#include "entry/orders/orders.h"
#include "platform/orders.h"

#define CHANGES_MAX 256u          /* changes being reported */
#define DEMAND_ENTRIES_MAX 512u   /* models and adapters in one report */
#define ADAPTER_REQUESTS_MAX 128u /* queued requests in one report */

#define REGIONAL_MAX 32u /* models for requests with regions */

/* Requests with allowed regions wait for a model. */
typedef struct regional_demand {
	at_tag_t service;
	at_tag_t model;
	at_site_regions_t regions;
	uint64_t reported_us;
} regional_demand_t;

/* State of the order to an engine, which has at most one at a time. */
typedef enum engine_order_state {
	ENGINE_IDLE,
	ENGINE_UNLOAD_ANNOUNCED, /* reported to the others, not yet sent */
	ENGINE_ORDER_SENT,       /* no response yet */
	ENGINE_ORDER_ACCEPTED,   /* being carried out */
	ENGINE_UNKNOWN           /* order count not known until a report */
} engine_order_state_t;

/* What is known of an engine that orders are sent to. */
typedef struct engine {
	at_orders_io_t *orders;
	at_tag_t server;
	engine_order_state_t state;
	int is_load;
	at_name_t model;
	at_name_t adapter;      /* empty: the order is for the model itself */
	at_name_t next_adapter; /* loaded after the adapter being unloaded */
	at_name_t next_model;
	at_tag_t replacement;        /* model that memory is freed for, or 0 */
	int is_count_known;          /* accepted_count is valid */
	uint64_t accepted_count;     /* orders accepted in this incarnation */
	at_resident_set_t residents; /* after accepted_count orders */
	uint64_t started_ms;         /* start time of the incarnation */
	uint64_t order_started_us;
	uint64_t report_due_us;    /* when its report is fetched next */
	int report_pending;        /* a report is being fetched */
	uint64_t report_sent_us;   /* when its fetch began */
	uint64_t adapter_ready_us; /* expected end of a load; 0: none */
	at_name_t ready_model;     /* model of the adapter being loaded */
	at_name_t ready_adapter;   /* adapter being loaded */
	UT_hash_handle hh;
} engine_t;

/* An adapter that was requested recently. */
typedef struct adapter_request {
	at_tag_t adapter;
	uint64_t next_us; /* requests before this time are ignored */
	UT_hash_handle hh;
} adapter_request_t;

/* A change of an engine's residents, reported for a limited time. */
typedef struct resident_change {
	at_tag_t server;
	at_name_t model;
	at_name_t adapter; /* empty: the model itself */
	int is_resident;
	uint64_t report_until_us;
} resident_change_t;

struct at_orders_io {
	at_orders_io_deps_t deps;
	at_lease_t *lease;
	int lease_call_open;
	int is_release_due; /* with the next call */
	uint64_t
	    ends_ms; /* its grace period, by at_clock_now_ms(); 0: it stays */
	uint64_t stated_ends_ms;     /* the same in ms since 1970 */
	uint64_t able_since_us;      /* to acquire the lease; 0: it is not */
	uint64_t lease_call_ms;      /* when it was sent */
	uint32_t lease_call_took_ms; /* the last one that had a response */
	at_tag_t holder; /* another instance, as it last reported; 0: none */
	uint64_t released_us; /* when such a one last reported a release */
	/* When the last call about the lease failed; 0: it did not. */
	uint64_t failed_ms;
	at_lease_state_t logged_state;
	uint64_t lease_taken_us;  /* when the lease was last taken */
	double store_load_tokens; /* loads that the store's rate permits now */
	uint64_t refilled_us;
	at_demand_rates_t *demand;
	engine_t *engines;
	adapter_request_t *adapter_requests;
	resident_change_t changes[CHANGES_MAX];
	size_t change_count;
	/* Of all instances, if this one holds the lease. */
	regional_demand_t regional[REGIONAL_MAX];
	size_t regional_count;
	ev_timer tick;
	ev_timer adapter_timer; /* expected end of the next adapter load */
};

/*
 * orders_may_send() returns non-zero if the lease is held for long enough to
 * send an order. orders_note_higher_fence() gives the lease up after an engine
 * has seen a higher fencing token.
 */
int orders_may_send(const at_orders_io_t *orders);
/* orders_could_hold() returns non-zero if it could acquire the lease. */
int orders_could_hold(const at_orders_io_t *orders);
void orders_note_higher_fence(at_orders_io_t *orders);
/*
 * engine_find_or_add() returns NULL if out of memory. engine_send_order() sends
 * an order for the adapter, or for the model where adapter is NULL.
 * engine_fetch_report() requests the engine's report.
 */
engine_t *engine_find_or_add(
    at_orders_io_t *orders, const at_server_entry_t *entry);
void engine_send_order(engine_t *engine, int is_load, const at_name_t *model,
    const at_name_t *adapter);
void engine_fetch_report(engine_t *engine);
/*
 * adapters_request() loads an adapter that is not resident anywhere;
 * adapters_request_queued() does so for all that queued requests need.
 * adapters_prefetch() loads adapters in demand on idle engines.
 * adapters_note_accepted() continues after an engine has accepted an order for
 * an adapter.
 */
void adapters_request(at_orders_io_t *orders, at_tag_t service,
    const at_name_t *model, const at_name_t *adapter);
void adapters_request_queued(at_orders_io_t *orders);
void adapters_prefetch(at_orders_io_t *orders);
void adapters_note_accepted(engine_t *engine);
/*
 * regions_fill() and regions_apply() are its parts of the reports.
 * regions_collect() adds what waits here; regions_find() returns the next of a
 * service from *next on, or NULL.
 */
void regions_fill(at_orders_io_t *orders, Report *report);
void regions_apply(at_orders_io_t *orders, const Report *report);
void regions_collect(at_orders_io_t *orders);
const regional_demand_t *regions_find(
    const at_orders_io_t *orders, at_tag_t service, size_t *next);
/* orders_add_change() adds a change to the reports of the next 500 ms. */
void orders_add_change(at_orders_io_t *orders, at_tag_t server,
    const at_name_t *model, const at_name_t *adapter, int resident);

#endif
