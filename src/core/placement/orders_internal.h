/*
 * orders_internal.h - what orders.c and orders_doc.c share.
 */
#ifndef ALMONDTHREAD_CORE_ORDERS_INTERNAL_H
#define ALMONDTHREAD_CORE_ORDERS_INTERNAL_H

#include <uthash.h>

#include "almondthread/orders.h"

#define NEVER_MS UINT64_MAX

/* One intent and what is known of the copies of its order. */
typedef struct open_intent {
	at_intent_t intent;
	int foreign;    /* of an earlier holder */
	int durable;    /* a write that holds it is confirmed */
	int in_write;   /* it is in the write that is open */
	int in_transit; /* a transfer of ours is open */
	int answered;   /* the engine took it or refused it */
	int landed;     /* the newest report shows what it asked for */
	int closed;
	uint32_t sends;
	uint64_t made_at_ms;
	uint64_t next_send_ms;
	uint64_t dead_at_ms; /* no copy arrives later; NEVER_MS: not known */
} open_intent_t;

typedef struct order_engine {
	at_name_t name;
	at_account_t *account;
	int heeds_fencing;
	int usable;
	uint64_t barrier_at_ms; /* it answered an order of this fence */
	uint64_t barrier_incarnation;
	UT_hash_handle hh;
} order_engine_t;

/* Where the object of intents stands. */
typedef enum doc_state {
	DOC_UNREAD,    /* of this term */
	DOC_READ,      /* known, not yet written under our fence */
	DOC_OURS,      /* written under our fence */
	DOC_UNSURE,    /* a write without an answer */
	DOC_SUPERSEDED /* a newer holder wrote it */
} doc_state_t;

struct at_orders {
	at_incarnation_t self;
	at_orders_limits_t limits;
	order_engine_t *engines;
	open_intent_t *intents;
	size_t count;
	uint64_t fence; /* 0: not the holder */
	uint64_t next_number;
	uint64_t next_load_ms;
	/* The object. */
	doc_state_t doc_state;
	at_orders_call_t open;
	uint64_t doc_version;
	uint64_t doc_fence;
	uint64_t doc_sequence;
	uint64_t sequence; /* of our last write */
	int ready;
	uint64_t ready_at_ms; /* 0 until the first process() when ready */
	int dirty;            /* the object differs from the intents */
	uint64_t next_call_ms;
	char *text;
};

/* at_orders_doc_encode() writes the object's text; returns its length. */
size_t at_orders_doc_encode(at_orders_t *orders);

/*
 * at_orders_doc_parse() reads fence and sequence and, with adopt, replaces
 * all intents by those of the object. Returns 0, or -1 when the text is not
 * what this program writes.
 */
int at_orders_doc_parse(
    at_orders_t *orders, const char *text, size_t len, int adopt);

/* at_orders_find_engine() returns an engine by name, or NULL. */
order_engine_t *at_orders_find_engine(
    const at_orders_t *orders, const char *name);

/*
 * Whether the engine's present incarnation refuses earlier holders, and the
 * newest report shows what it took from them before.
 */
int at_orders_is_fenced(const order_engine_t *engine);

int at_orders_is_load(const at_order_t *order);
int at_orders_is_unload(const at_order_t *order);
/* at_orders_resident() returns what a load makes resident. */
at_resident_t at_orders_resident(const at_order_t *order);
int at_orders_same_slot(const at_order_t *order, const char *engine,
    const char *model, const char *adapter);

/* Whether the newest report shows what an order asked for. */
int at_orders_has_landed(const at_account_t *account, const at_order_t *order);

/* Whether an engine's newest report is fresh and of this term. */
int at_orders_is_fresh(
    const at_orders_t *orders, const order_engine_t *engine, uint64_t now_ms);

/* Whether an unload leaves the model or adapter served elsewhere. */
int at_orders_may_unload(const at_orders_t *orders,
    const order_engine_t *engine, const at_order_t *order, uint64_t now_ms);

/* at_orders_append() adds an own intent; NULL when there is no room. */
open_intent_t *at_orders_append(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms);

#endif
