/*
 * Tests of orders under a held lease: what a new holder does with the object
 * that it reads, step by step on two engines of 100 MB.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/orders.h"

#define LIFETIME_MS 1000u
#define FENCE 7u

static at_lease_t *lease;
static at_orders_t *orders;
static at_orders_action_t action;
static uint64_t now_ms;
static char object[4096];
static uint64_t object_version;

static const at_incarnation_t self = {{"self"}, 2};
static const at_incarnation_t earlier = {{"earlier"}, 1};

/* Acquires the lease with FENCE and begins the term. */
static void
setup(void)
{
	at_orders_limits_t limits = {LIFETIME_MS, 1000000, 8, 8};
	at_lease_action_t call;
	at_store_result_t result = {.code = AT_STORE_NOT_FOUND};

	now_ms = 1000;
	lease = at_lease_new();
	at_lease_set_self(lease, &self);
	at_lease_process(lease, now_ms, &call);
	at_lease_handle_response(lease, now_ms, &result);
	at_lease_process(lease, now_ms + AT_LEASE_POLL_MS, &call);
	result.code = AT_STORE_OK;
	result.version = FENCE;
	at_lease_handle_response(lease, now_ms + AT_LEASE_POLL_MS, &result);
	now_ms += AT_LEASE_POLL_MS;
	orders = at_orders_new();
	at_orders_set_self(orders, &self);
	at_orders_set_limits(orders, &limits);
	(void)at_orders_set_engine(orders, "heeds", 100, 1, 1);
	(void)at_orders_set_engine(orders, "ignores", 100, 0, 1);
	at_orders_begin_term(orders, FENCE);
	object[0] = '\0';
	object_version = 0;
}

static void
teardown(void)
{
	at_orders_delete(orders);
	at_lease_delete(lease);
}

/*
 * Responds to calls of the object until an order is to be sent or nothing is to
 * be done.
 */
static at_orders_call_t
process_calls(void)
{
	for (;;) {
		at_store_result_t result = {.code = AT_STORE_OK};

		at_orders_process(orders, lease, now_ms, &action);
		if (action.call != AT_ORDERS_READ &&
		    action.call != AT_ORDERS_WRITE)
			return action.call;
		if (action.call == AT_ORDERS_WRITE) {
			cr_assert_eq(action.expect_version, object_version);
			(void)snprintf(object, sizeof(object), "%.*s",
			    (int)action.value_len, action.value);
			object_version++;
		} else if (object_version == 0) {
			result.code = AT_STORE_NOT_FOUND;
		}
		result.version = object_version;
		result.value = object;
		result.value_len = strlen(object);
		at_orders_handle_response(orders, &result);
	}
}

static void
write_foreign_intent(const char *kind, const char *engine, unsigned memory_mb)
{
	object_version = 1;
	(void)snprintf(object, sizeof(object),
	    "{\"fence\":3,\"sequence\":9,\"intents\":[{\"kind\":\"%s\","
	    "\"id\":5,\"fence\":3,\"engine\":\"%s\",\"model\":\"a\","
	    "\"adapter\":\"\",\"version\":1,\"memory_mb\":%u,\"sender\":"
	    "\"earlier\",\"number\":\"1\",\"reason\":\"r\"}]}",
	    kind, engine, memory_mb);
}

static void
report(const char *engine, uint64_t incarnation, const char *models,
    unsigned memory_mb)
{
	at_resident_t residents[4] = {0};
	size_t count = 0;

	for (; models[count] != '\0'; count++) {
		residents[count].model.text[0] = models[count];
		residents[count].version = 1;
		residents[count].memory_mb = memory_mb;
	}
	now_ms += 10;
	cr_assert_eq(at_orders_apply_report(
			 orders, engine, now_ms, incarnation, residents, count),
	    0);
}

static at_code_t
propose(at_order_kind_t kind, const char *engine, char model, unsigned mb)
{
	at_order_t order = {.kind = kind, .version = 1, .memory_mb = mb};
	at_status_t status;

	(void)at_name_set(&order.engine, engine);
	order.model.text[0] = model;
	return at_orders_propose(orders, &order, "test", now_ms, &status);
}

/*
 * Advances the time by one order lifetime. Orders sent meanwhile are refused.
 */
static void
pass_lifetime(const char *engine)
{
	while (process_calls() == AT_ORDERS_SEND)
		at_orders_note_transfer_ended(
		    orders, action.order.id, AT_ORDER_REFUSED, now_ms);
	now_ms += LIFETIME_MS + 10;
	report(engine, 1, "", 0);
	while (process_calls() == AT_ORDERS_SEND)
		at_orders_note_transfer_ended(
		    orders, action.order.id, AT_ORDER_REFUSED, now_ms);
}

static uint64_t
free_mb(const char *engine)
{
	return at_account_free_mb(at_orders_account(orders, engine));
}

Test(orders, writes_the_intent_before_sending, .init = setup, .fini = teardown)
{
	cr_assert_eq(
	    propose(AT_ORDER_LOAD_MODEL, "heeds", 'a', 60), AT_UNAVAILABLE);
	cr_assert_eq(process_calls(), AT_ORDERS_NO_CALL);
	report("heeds", 1, "", 0);
	cr_assert_eq(propose(AT_ORDER_LOAD_MODEL, "heeds", 'a', 60), AT_OK);
	cr_assert_eq(
	    propose(AT_ORDER_LOAD_MODEL, "heeds", 'a', 60), AT_CONFLICT);
	cr_assert_eq(
	    propose(AT_ORDER_LOAD_MODEL, "heeds", 'b', 60), AT_EXHAUSTED);
	at_orders_process(orders, lease, now_ms, &action);
	cr_assert_eq(action.call, AT_ORDERS_WRITE);
	cr_assert(strstr(action.value, "\"model\":\"a\""));
	at_orders_handle_response(
	    orders, &(at_store_result_t){.code = AT_STORE_OK, .version = 2});
	at_orders_process(orders, lease, now_ms, &action);
	cr_assert_eq(action.call, AT_ORDERS_SEND);
	cr_assert_eq(action.order.fence, FENCE);
}

Test(orders, reserves_memory_for_orders_of_an_earlier_holder, .init = setup,
    .fini = teardown)
{
	write_foreign_intent("load_model", "ignores", 60);
	cr_assert_eq(process_calls(), AT_ORDERS_NO_CALL);
	report("ignores", 1, "", 0);
	cr_assert_eq(free_mb("ignores"), 40);
	cr_assert_eq(
	    propose(AT_ORDER_LOAD_MODEL, "ignores", 'b', 60), AT_EXHAUSTED);
	cr_assert_eq(
	    process_calls(), AT_ORDERS_SEND, "the order is not repeated");
	cr_assert_str_eq(action.order.model.text, "a");
	at_orders_note_transfer_ended(
	    orders, action.order.id, AT_ORDER_DONE, now_ms);
	pass_lifetime("ignores");
	pass_lifetime("ignores");
	cr_assert_eq(free_mb("ignores"), 40, "its sender may still send it");
	at_orders_note_sender_ended(orders, &earlier, 3, now_ms);
	report("ignores", 1, "", 0);
	(void)process_calls();
	cr_assert_eq(free_mb("ignores"), 40, "a copy may be in transit");
	pass_lifetime("ignores");
	pass_lifetime("ignores");
	cr_assert_eq(free_mb("ignores"), 100);
}

Test(orders, fencing_frees_memory_at_once, .init = setup, .fini = teardown)
{
	write_foreign_intent("load_model", "heeds", 60);
	cr_assert_eq(process_calls(), AT_ORDERS_NO_CALL);
	report("heeds", 1, "", 0);
	cr_assert_eq(process_calls(), AT_ORDERS_SEND);
	now_ms += 100;
	at_orders_note_transfer_ended(
	    orders, action.order.id, AT_ORDER_DONE, now_ms);
	now_ms -= 50;
	report("heeds", 1, "", 0);
	cr_assert_eq(free_mb("heeds"), 40, "requested before the response");
	now_ms += 2 * LIFETIME_MS;
	report("heeds", 1, "", 0);
	(void)process_calls();
	report("heeds", 1, "", 0);
	cr_assert_eq(free_mb("heeds"), 40, "it may arrive after a restart");
	report("heeds", 1, "b", 40);
	cr_assert_eq(
	    free_mb("heeds"), 40, "suspended: 40 MB resident and no more");
	report("heeds", 2, "b", 40);
	cr_assert_eq(free_mb("heeds"), 0, "restarted: it may arrive again");
}

Test(orders, unloads_only_what_another_engine_serves, .init = setup,
    .fini = teardown)
{
	cr_assert_eq(process_calls(), AT_ORDERS_NO_CALL);
	report("heeds", 1, "ab", 10);
	report("ignores", 1, "b", 10);
	cr_assert_eq(
	    propose(AT_ORDER_UNLOAD_MODEL, "heeds", 'a', 10), AT_CONFLICT);
	cr_assert_eq(propose(AT_ORDER_UNLOAD_MODEL, "heeds", 'b', 10), AT_OK);
	cr_assert_eq(propose(AT_ORDER_UNLOAD_MODEL, "ignores", 'b', 10),
	    AT_CONFLICT, "the other replica is being unloaded");
	cr_assert_eq(process_calls(), AT_ORDERS_SEND);
	cr_assert_eq(free_mb("heeds"), 80, "freed before a report shows it");
}
