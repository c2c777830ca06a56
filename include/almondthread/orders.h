/*
 * orders.h - orders to the engines of one data centre, safe in every order of
 * deliveries.
 *
 * An intent is written to the object "orders/DATA-CENTRE" before its order is
 * sent. The object is replaced version by version: a new holder of the lease
 * reads it and writes it once under its own fencing number before anything
 * else, after which no earlier holder can add an intent. Every order that an
 * earlier holder may still send is therefore in what the new holder read.
 *
 * An intent closes when no copy of its order can arrive any more and a report
 * that was asked for after that is known. Until then a load keeps its memory
 * reserved (account.h), and its slot on the engine takes no other order.
 *
 * - Of our own order: order_lifetime_ms after its last transfer ended. An
 *   engine carries out an order within that time of the transfer's end or
 *   never.
 * - Of an earlier holder's: the same time after that holder is proved unable
 *   to send (at_orders_note_sender_ended()). It is completed meanwhile: its
 * load is sent again as an order of ours, and its unload too, as soon as the
 *   model stands elsewhere.
 * - An engine that heeds fencing and has answered an order of ours refuses
 *   what earlier holders send; the memory of their loads is free at once as
 *   long as that incarnation of the engine lasts.
 *
 * An unload is proposed and sent only while another usable engine serves the
 * model or adapter by a fresh report, with no unload of it open there. A base
 * model is not unloaded under an adapter.
 *
 * A machine without input or output: at_orders_process() says what to do.
 * Actions are carried out at once and in order; a send of an order is checked
 * against the lease at the very moment it is handed out.
 */
#ifndef ALMONDTHREAD_ORDERS_H
#define ALMONDTHREAD_ORDERS_H

#include "almondthread/account.h"
#include "almondthread/lease.h"
#include "almondthread/ports.h"
#include "almondthread/status.h"

#define AT_ORDERS_OBJECT "orders/"        /* followed by the data centre */
#define AT_ORDERS_REASON_SIZE 128u        /* bytes of a reason, with the NUL */
#define AT_ORDERS_INTENTS_MAX 512u        /* intents at a time */
#define AT_ORDERS_RETRY_MS 500u           /* before an order is sent again */
#define AT_ORDERS_SENDS_MAX 5u            /* of one order */
#define AT_ORDERS_REPORT_MAX_AGE_MS 2500u /* of a fresh report */

/* Limits that operators set (config.h: defaults). */
typedef struct at_orders_limits {
	uint32_t order_lifetime_ms;
	uint32_t loads_per_1000_s;   /* of the weight store */
	uint32_t loads_in_flight;    /* at full speed */
	uint32_t adapters_in_flight; /* of all engines */
} at_orders_limits_t;

/* One intent, for status and tests. */
typedef struct at_intent {
	at_order_t order;
	at_incarnation_t sender;
	char reason[AT_ORDERS_REASON_SIZE];
} at_intent_t;

typedef enum at_orders_call {
	AT_ORDERS_NO_CALL,
	AT_ORDERS_READ,  /* get the object */
	AT_ORDERS_WRITE, /* put value over expect_version */
	AT_ORDERS_SEND,  /* send order to its engine */
	AT_ORDERS_CALL_COUNT
} at_orders_call_t;

/* value belongs to the machine and lasts until its next call. */
typedef struct at_orders_action {
	at_orders_call_t call;
	uint64_t expect_version;
	const char *value;
	size_t value_len;
	at_order_t order;
} at_orders_action_t;

typedef struct at_orders at_orders_t;

at_orders_t *at_orders_new(void);
void at_orders_set_self(at_orders_t *orders, const at_incarnation_t *self);
void at_orders_set_limits(
    at_orders_t *orders, const at_orders_limits_t *limits);
void at_orders_delete(at_orders_t *orders);

/*
 * at_orders_set_engine() makes an engine known or changes it. An engine that is
 * not usable (leaving, suspected or gone) is no stand for a model.
 * Returns 0, or -1 without memory.
 */
int at_orders_set_engine(at_orders_t *orders, const char *name,
    uint64_t capacity_mb, int heeds_fencing, int usable);

/*
 * at_orders_apply_report() takes an engine's report, asked for at asked_at_ms.
 * Returns 0, or -1 when it is older than what is known.
 */
int at_orders_apply_report(at_orders_t *orders, const char *engine,
    uint64_t asked_at_ms, uint64_t incarnation, const at_resident_t *residents,
    size_t count);

/* at_orders_begin_term() starts as holder of the lease with a fencing number.
 */
void at_orders_begin_term(at_orders_t *orders, uint64_t fence);
/*
 * at_orders_end_term() forgets all intents. The owner has closed every open
 * transfer before it calls this.
 */
void at_orders_end_term(at_orders_t *orders);
/* at_orders_is_ready() tells whether the first write of this term is done. */
int at_orders_is_ready(const at_orders_t *orders);

/*
 * at_orders_process() returns one action; it is called until it says
 * AT_ORDERS_NO_CALL. No more than one call to the object is open at a time.
 */
void at_orders_process(at_orders_t *orders, const at_lease_t *lease,
    uint64_t now_ms, at_orders_action_t *action);
/* at_orders_handle_response() takes the answer of the open READ or WRITE. */
void at_orders_handle_response(
    at_orders_t *orders, const at_store_result_t *result);
/*
 * at_orders_note_transfer_ended() takes the end of a transfer; afterwards this
 * instance holds no copy of it.
 */
void at_orders_note_transfer_ended(at_orders_t *orders, uint64_t id,
    at_order_result_t result, uint64_t now_ms);

/*
 * at_orders_note_sender_ended() tells that an incarnation sends no order with a
 * fencing number up to fence any more.
 */
void at_orders_note_sender_ended(at_orders_t *orders,
    const at_incarnation_t *sender, uint64_t fence, uint64_t now_ms);
/*
 * at_orders_each_sender() visits the senders of open intents that are not
 * proved unable to send.
 */
void at_orders_each_sender(const at_orders_t *orders,
    void (*visit)(void *ctx, const at_incarnation_t *sender), void *ctx);

/*
 * at_orders_propose() adds an intent for order (kind, engine, model, adapter,
 * version, memory_mb). Returns AT_OK; AT_EXHAUSTED when memory, pace or
 * the number of open intents does not allow it now; AT_CONFLICT when the slot
 * has an open intent or the model would stand nowhere; AT_UNAVAILABLE before
 * the machine is ready; AT_NOT_FOUND for an engine that is not known.
 */
at_code_t at_orders_propose(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms, at_status_t *status);

/* at_orders_each() visits every open intent. */
void at_orders_each(const at_orders_t *orders,
    void (*visit)(void *ctx, const at_intent_t *intent), void *ctx);

/* at_orders_account() returns an engine's account, or NULL. */
const at_account_t *at_orders_account(
    const at_orders_t *orders, const char *engine);

/* at_orders_has_open_intent() tells whether a slot has an open intent. */
int at_orders_has_open_intent(const at_orders_t *orders, const char *engine,
    const char *model, const char *adapter);

#endif
