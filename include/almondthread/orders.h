/*
 * orders.h - orders to the engines of one data centre, safe in any order of
 * deliveries.
 *
 * An intent is written to the object "orders/DATA-CENTRE" before its order is
 * sent. The object is replaced version by version. A new holder of the lease
 * reads it and writes it once under its own fencing token before anything else;
 * after that no earlier holder can add an intent. Therefore every order that an
 * earlier holder may still send is in what the new holder has read.
 *
 * An intent closes when no copy of its order can arrive any more and a
 * report that was requested after that is known. Until then a load keeps its
 * memory reserved (account.h), and its slot on the engine takes no other
 * order. No copy can arrive any more:
 *
 * - For an order of ours, order_lifetime_ms after its last transfer ended:
 *   an engine executes an order within that time after the end of the
 *   transfer or never.
 * - For an order of an earlier holder, the same time after that holder is
 *   proved unable to send (at_orders_note_sender_ended()). Meanwhile it is
 *   completed: its load is sent again as an order of ours, and its unload
 *   too once the model is resident on another engine.
 * - An engine that checks fencing tokens and has responded to an order of
 *   ours refuses what earlier holders send. The memory of their loads is
 *   free at once, for as long as that incarnation of the engine lasts.
 *
 * An unload is proposed and sent only while another usable engine serves the
 * model or adapter by a fresh report and has no unload of it open. A base
 * model is not unloaded while one of its adapters is resident.
 *
 * This state machine does no input or output: at_orders_process() returns
 * what to do. Actions are carried out at once and in order. Sending an order
 * is checked against the lease at the moment the action is returned.
 */
#ifndef ALMONDTHREAD_ORDERS_H
#define ALMONDTHREAD_ORDERS_H

#include "almondthread/account.h"
#include "almondthread/lease.h"
#include "almondthread/ports.h"
#include "almondthread/status.h"

#define AT_ORDERS_OBJECT "orders/" /* followed by the data centre */
#define AT_ORDERS_REASON_SIZE 128u /* bytes of a reason, with the NUL */
#define AT_ORDERS_INTENTS_MAX 512u /* open intents at a time */
#define AT_ORDERS_RETRY_MS 500u    /* from a transfer's end to the next */
#define AT_ORDERS_SENDS_MAX 5u     /* transfers of one order */
/* Age up to which a report counts as fresh. */
#define AT_ORDERS_REPORT_MAX_AGE_MS 2500u

/* Limits set by operators (config.h: at_defaults). */
typedef struct at_orders_limits {
	uint32_t order_lifetime_ms;
	uint32_t loads_per_1000_s; /* model loads from the weight store */
	uint32_t loads_in_flight;  /* model loads at full speed of the store */
	uint32_t adapters_in_flight; /* adapter loads on all engines */
} at_orders_limits_t;

/* An open intent, for status output and tests. */
typedef struct at_intent {
	at_order_t order;
	at_incarnation_t sender;
	char reason[AT_ORDERS_REASON_SIZE];
} at_intent_t;

typedef enum at_orders_call {
	AT_ORDERS_NO_CALL,
	AT_ORDERS_READ,  /* get the object */
	AT_ORDERS_WRITE, /* replace expect_version by value */
	AT_ORDERS_SEND,  /* send order to its engine */
	AT_ORDERS_CALL_COUNT
} at_orders_call_t;

/* value belongs to the state machine and is valid until its next call. */
typedef struct at_orders_action {
	at_orders_call_t call;
	uint64_t expect_version;
	const char *value;
	size_t value_len;
	at_order_t order;
} at_orders_action_t;

typedef struct at_orders at_orders_t;

/* at_orders_new() returns NULL if out of memory. */
at_orders_t *at_orders_new(void);
void at_orders_set_self(at_orders_t *orders, const at_incarnation_t *self);
void at_orders_set_limits(
    at_orders_t *orders, const at_orders_limits_t *limits);
void at_orders_delete(at_orders_t *orders);

/*
 * at_orders_set_engine() adds or updates an engine. One that is not usable
 * (leaving, suspected or not listed) does not count as serving a model. Returns
 * 0, or -1 if out of memory.
 */
int at_orders_set_engine(at_orders_t *orders, const char *name,
    uint64_t capacity_mb, int checks_fencing, int usable);

/*
 * at_orders_apply_report() takes an engine's report that was requested at
 * requested_at_ms. Returns 0, or -1 when a newer one is known.
 */
int at_orders_apply_report(at_orders_t *orders, const char *name,
    uint64_t requested_at_ms, uint64_t incarnation,
    const at_resident_t *residents, size_t count);

/* at_orders_begin_term() starts as holder of the lease with a fencing token. */
void at_orders_begin_term(at_orders_t *orders, uint64_t fence);
/*
 * at_orders_end_term() drops all intents. The owner must have closed every
 * open transfer before.
 */
void at_orders_end_term(at_orders_t *orders);
/* at_orders_is_ready() returns non-zero if this term's first write is done. */
int at_orders_is_ready(const at_orders_t *orders);

/*
 * at_orders_process() stores one action. It is called until the action is
 * AT_ORDERS_NO_CALL. At most one READ or WRITE is open at a time.
 */
void at_orders_process(at_orders_t *orders, const at_lease_t *lease,
    uint64_t now_ms, at_orders_action_t *action);
/* at_orders_handle_response() takes the response of the open READ or WRITE. */
void at_orders_handle_response(
    at_orders_t *orders, const at_store_result_t *result);
/*
 * at_orders_note_transfer_ended() takes the end of a transfer; afterwards this
 * instance holds no copy of it.
 */
void at_orders_note_transfer_ended(at_orders_t *orders, uint64_t id,
    at_order_result_t result, uint64_t now_ms);

/*
 * at_orders_note_sender_ended() records that an incarnation sends no more
 * orders with fencing tokens up to fence.
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
 * at_orders_propose() adds an intent for an order, of which it uses kind,
 * engine, model, adapter, version and memory_mb. Returns AT_OK;
 * AT_EXHAUSTED when the memory, the load rate or the number of open intents
 * does not allow it now; AT_CONFLICT when the slot has an open intent or the
 * model would no longer be served; AT_UNAVAILABLE before
 * at_orders_is_ready(); AT_NOT_FOUND for an unknown engine.
 */
at_code_t at_orders_propose(at_orders_t *orders, const at_order_t *order,
    const char *reason, uint64_t now_ms, at_status_t *status);

/* at_orders_each() visits every open intent. */
void at_orders_each(const at_orders_t *orders,
    void (*visit)(void *ctx, const at_intent_t *intent), void *ctx);

/* at_orders_account() returns an engine's account, or NULL. */
const at_account_t *at_orders_account(
    const at_orders_t *orders, const char *engine);

/* at_orders_has_open_intent() returns non-zero if a slot has an open intent. */
int at_orders_has_open_intent(const at_orders_t *orders, const char *engine,
    const char *model, const char *adapter);

#endif
