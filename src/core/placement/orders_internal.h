/*
 * orders_internal.h - structures shared by the files of the orders: orders.c
 * has the state machine and the sending, orders_doc.c the text of the object,
 * and orders_engines.c the engines and the checks of proposed orders.
 */
#ifndef ALMONDTHREAD_CORE_ORDERS_INTERNAL_H
#define ALMONDTHREAD_CORE_ORDERS_INTERNAL_H

#include <uthash.h>

#include "almondthread/orders.h"

#define UNKNOWN_MS UINT64_MAX /* a time that is not known yet */

/* An intent and what is known of the copies of its order. */
typedef struct open_intent {
	at_intent_t intent;
	int is_foreign;       /* written by an earlier holder of the lease */
	int is_durable;       /* a write that contains it is confirmed */
	int is_in_write;      /* it is part of the write in progress */
	int is_in_transit;    /* a transfer of its order is in progress */
	int is_answered;      /* the engine has executed or refused it */
	int has_taken_effect; /* the newest report shows its result */
	int is_closed;
	uint32_t sends;
	uint64_t created_at_ms;
	uint64_t next_send_ms;
	/* No copy of the order arrives later than this time, or UNKNOWN_MS. */
	uint64_t last_arrival_ms;
} open_intent_t;

typedef struct order_engine {
	at_name_t name;
	at_account_t *account;
	int checks_fencing;
	int is_usable;
	/* When it last executed an order of this term; 0 if it has not. */
	uint64_t fenced_at_ms;
	uint64_t fenced_incarnation;
	UT_hash_handle hh;
} order_engine_t;

/* State of the object that stores the intents. */
typedef enum object_state {
	OBJECT_UNREAD, /* not read in this term */
	OBJECT_READ,   /* read, not yet written under our fencing token */
	OBJECT_OWNED,  /* written under our fencing token */
	OBJECT_WRITE_UNRESOLVED, /* a write whose outcome is not known */
	OBJECT_SUPERSEDED        /* written by a newer holder */
} object_state_t;

struct at_orders {
	at_incarnation_t self;
	at_orders_limits_t limits;
	order_engine_t *engines;
	open_intent_t *intents;
	size_t count;
	uint64_t fence; /* fencing token; 0 if not the holder */
	uint64_t next_number;
	uint64_t next_load_ms;
	/* The stored object. */
	object_state_t object_state;
	at_orders_call_t pending_call;
	uint64_t object_version;
	uint64_t object_fence;
	uint64_t object_sequence;
	uint64_t sequence; /* of our last write */
	int is_ready;      /* the first write of this term is confirmed */
	/* First call of at_orders_process() after is_ready; 0 before it. */
	uint64_t ready_at_ms;
	int is_dirty; /* the object differs from the intents */
	uint64_t next_call_ms;
	char *text;
};

/*
 * at_orders_doc_encode() writes the text of the object to orders->text and
 * returns its length, or 0 if out of memory.
 */
size_t at_orders_doc_encode(at_orders_t *orders);

/*
 * at_orders_doc_parse() reads the fencing token and sequence and, with
 * replace_intents, replaces all intents by those of the object. Returns 0, or
 * -1 if the text is not valid.
 */
int at_orders_doc_parse(
    at_orders_t *orders, const char *text, size_t len, int replace_intents);

/* at_orders_find_engine() returns an engine by name, or NULL. */
order_engine_t *at_orders_find_engine(
    const at_orders_t *orders, const char *name);

/*
 * at_orders_is_fenced() returns non-zero if the present incarnation of the
 * engine refuses orders of earlier holders, and the newest report shows the
 * result of those that it executed before.
 */
int at_orders_is_fenced(const order_engine_t *engine);

int at_orders_is_load(const at_order_t *order);
int at_orders_is_unload(const at_order_t *order);
/* at_orders_resident() returns the resident that a load adds. */
at_resident_t at_orders_resident(const at_order_t *order);
int at_orders_same_slot(const at_order_t *order, const char *engine,
    const char *model, const char *adapter);

/*
 * at_orders_has_taken_effect() returns non-zero if the newest report shows the
 * result of an order.
 */
int at_orders_has_taken_effect(
    const at_account_t *account, const at_order_t *order);

/*
 * at_orders_is_fresh() returns non-zero if the newest report of an engine was
 * requested in this term and within AT_ORDERS_REPORT_MAX_AGE_MS.
 */
int at_orders_is_fresh(
    const at_orders_t *orders, const order_engine_t *engine, uint64_t now_ms);

/*
 * at_orders_may_unload() returns non-zero if the model or adapter stays served
 * by another engine.
 */
int at_orders_may_unload(const at_orders_t *orders,
    const order_engine_t *engine, const at_order_t *order, uint64_t now_ms);

/*
 * at_orders_append() adds an intent of ours. Returns NULL if
 * AT_ORDERS_INTENTS_MAX are open or the numbers of this term are used up.
 */
open_intent_t *at_orders_append(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms);

#endif
