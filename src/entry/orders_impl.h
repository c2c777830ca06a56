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

#define NEWS_MAX 256u        /* changes that are being told */
#define DEMAND_ROWS_MAX 512u /* of one instance's report */
#define WANTS_MAX 128u       /* models asked for at once and held by nobody */

/* The one order under way at an engine. */
typedef enum track_state {
	TRACK_IDLE,
	TRACK_CLOSING, /* an unload was told; the order follows */
	TRACK_SENT,    /* no answer yet */
	TRACK_CARRIED, /* accepted; its end is awaited */
	TRACK_UNSURE   /* its count of orders is not known; a report tells */
} track_state_t;

typedef struct track {
	at_orders_io_t *orders;
	at_tag_t server;
	track_state_t state;
	int load;
	at_name_t model;
	at_name_t adapter;      /* empty: the model itself */
	at_name_t next_adapter; /* to load once a victim has gone */
	at_name_t next_model;
	at_tag_t room_for;  /* model that a place was cleared for, or 0 */
	int knows_accepted; /* the next is known */
	uint64_t accepted; /* orders that the engine has accepted in its life */
	at_resident_set_t held; /* what it holds after just those */
	uint64_t born_ms;       /* of that life */
	uint64_t begun_us;
	uint64_t look_us;          /* when its end is looked at again */
	int looking;               /* a report is being fetched */
	uint64_t adapter_ready_us; /* 0: no adapter is on its way */
	at_name_t ready_model;     /* of that adapter */
	at_name_t ready_adapter;
	UT_hash_handle hh;
} track_t;

/* An adapter that was lately looked after. */
typedef struct want {
	at_tag_t adapter;
	uint64_t until_us; /* no further look before */
	UT_hash_handle hh;
} want_t;

/* A change of what an engine holds, told for a while. */
typedef struct news {
	at_tag_t server;
	at_name_t model;
	at_name_t adapter; /* empty: the model itself */
	int held;
	uint64_t told_until_us;
} news_t;

struct at_orders_io {
	at_entry_t *entry;
	at_lease_t *lease;
	int lease_call_open;
	int platform_away; /* the last call about the lease failed */
	at_lease_state_t told_state;
	uint64_t taken_us;  /* when the lease was last taken */
	double store_loads; /* that may begin, by the store's rate */
	uint64_t refilled_us;
	at_demand_rates_t *demand;
	track_t *tracks;
	want_t *wants;
	news_t news[NEWS_MAX];
	size_t news_count;
	ev_timer tick;
	ev_timer adapter_timer; /* an adapter is there by then */
};

/* orders.c */
int orders_may_send(const at_orders_io_t *orders);
void orders_outranked(at_orders_io_t *orders);
/* orders_send.c */
track_t *track_of(at_orders_io_t *orders, const at_server_entry_t *entry);
void track_send(
    track_t *track, int load, const at_name_t *model, const at_name_t *adapter);
void track_look(track_t *track);
/* orders_adapters.c */
void adapters_want(at_orders_io_t *orders, at_tag_t service,
    const at_name_t *model, const at_name_t *adapter);
void adapters_own_wants(at_orders_io_t *orders);
void adapters_load_ahead(at_orders_io_t *orders);
void adapters_accepted(track_t *track);
/* orders_report.c */
void orders_tell(at_orders_io_t *orders, at_tag_t server,
    const at_name_t *model, const at_name_t *adapter, int held);

#endif
