/*
 * Calls to the platform's store whose response shows that the store is back
 * from an older copy: the handler of that may cancel any call, also this one.
 * And the same for the transfers below them.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "entry/store/join.h"
#include "io/clock.h"
#include "platform/names.h"
#include "platform/store.h"
#include "support/entry_fixture.h"

#define KIND "others"
#define OBJECT KIND "/one"
#define WATCH_MS 5000u
#define DELAY_MS 60u

typedef enum operation {
	OPERATION_LIST,
	OPERATION_WATCH,
	OPERATION_GET,
	OPERATION_PUT,
	OPERATION_DELETE,
	OPERATIONS
} operation_t;

static const char *const operation_names[] = {
    "list", "watch", "get", "put", "delete"};

/* What the handler of a later era does. */
typedef enum reaction {
	REACTION_NONE,
	REACTION_CANCEL_THIS, /* the call that shows it */
	REACTION_CANCEL_OTHER,
	REACTION_CANCEL_BOTH,
	REACTION_CANCEL_AND_BEGIN, /* as join.c does */
	REACTIONS
} reaction_t;

typedef struct world {
	entry_fixture_t *fixture;
	at_wire_store_t *store;
	at_objects_t objects;
	at_store_t port;
	reaction_t reaction;
	at_objects_call_t *call; /* that shows the era */
	at_objects_call_t *other;
	uint32_t eras;
	uint32_t calls_ended;
	uint32_t others_ended;
	uint32_t begun_ended;
} world_t;

static void
on_call_done(void *ctx, const at_objects_page_t *page)
{
	world_t *world = ctx;

	(void)page;
	world->calls_ended++;
	/* The call is ending: this must have no effect. */
	if (world->call != NULL)
		world->objects.cancel(world->objects.impl, world->call);
	world->call = NULL;
}

static void
on_other_done(void *ctx, const at_objects_page_t *page)
{
	(void)page;
	((world_t *)ctx)->others_ended++;
}

static void
on_begun_done(void *ctx, const at_objects_page_t *page)
{
	(void)page;
	((world_t *)ctx)->begun_ended++;
}

static void
on_store_done(void *ctx, const at_store_result_t *result)
{
	(void)result;
	((world_t *)ctx)->calls_ended++;
}

static void
cancel(const world_t *world, at_objects_call_t **call)
{
	if (*call != NULL)
		world->objects.cancel(world->objects.impl, *call);
	*call = NULL;
}

static void
on_later_era(void *ctx)
{
	world_t *world = ctx;

	world->eras++;
	if (world->reaction != REACTION_NONE &&
	    world->reaction != REACTION_CANCEL_OTHER)
		cancel(world, &world->call);
	if (world->reaction == REACTION_CANCEL_OTHER ||
	    world->reaction == REACTION_CANCEL_BOTH)
		cancel(world, &world->other);
	if (world->reaction == REACTION_CANCEL_AND_BEGIN)
		cr_assert_not_null(world->objects.list(
		    world->objects.impl, KIND, NULL, on_begun_done, world));
}

static void
begin(world_t *world, operation_t operation)
{
	const at_objects_t *objects = &world->objects;
	const at_store_t *port = &world->port;

	if (operation == OPERATION_LIST)
		world->call = objects->list(
		    objects->impl, KIND, NULL, on_call_done, world);
	else if (operation == OPERATION_WATCH)
		world->call = objects->watch(
		    objects->impl, KIND, 1, 1, on_call_done, world);
	else if (operation == OPERATION_GET)
		port->get(port->impl, OBJECT, on_store_done, world);
	else if (operation == OPERATION_PUT)
		port->put(port->impl, OBJECT, 0, "{}", 2, on_store_done, world);
	else
		port->del(port->impl, OBJECT, 0, on_store_done, world);
}

static int
is_era_noted(void *ctx)
{
	return ((world_t *)ctx)->eras > 0;
}

static void
run_case(operation_t operation, reaction_t reaction)
{
	world_t world = {.fixture = entry_fixture_new(), .reaction = reaction};
	entry_fixture_t *fixture = world.fixture;
	int is_cancellable =
	    operation == OPERATION_LIST || operation == OPERATION_WATCH;
	uint32_t is_cancelled = is_cancellable && reaction != REACTION_NONE &&
				reaction != REACTION_CANCEL_OTHER;
	at_status_t status;
	char name[80];

	(void)snprintf(name, sizeof(name), "%s, reaction %d",
	    operation_names[operation], (int)reaction);
	standin_store_put(fixture->store, KIND, "one", json_object());
	standin_store_copy(fixture->store);
	world.store = at_wire_store_new(fixture->loop, fixture->httpc);
	cr_assert_eq(
	    at_wire_store_init(world.store, fixture->store_address, &status),
	    AT_OK);
	at_wire_store_set_era_handler(world.store, on_later_era, &world);
	world.objects = at_wire_store_objects(world.store);
	world.port = at_wire_store_port(world.store);
	/* The era of before is known, and a watch waits. */
	begin(&world, OPERATION_LIST);
	entry_fixture_run_ms(fixture, DELAY_MS);
	cr_assert_eq(world.calls_ended, 1);
	world.calls_ended = 0;
	standin_store_faults(fixture->store)->delay_ms = DELAY_MS;
	begin(&world, operation);
	standin_store_restore(fixture->store);
	world.other = world.objects.watch(
	    world.objects.impl, KIND, 1, WATCH_MS, on_other_done, &world);
	entry_fixture_run_until(fixture, is_era_noted, &world);
	entry_fixture_run_ms(fixture, 3 * DELAY_MS);
	cr_expect_eq(world.eras, 1, "%s", name);
	cr_expect_eq(world.calls_ended, 1 - is_cancelled, "%s", name);
	cr_expect_eq(world.begun_ended, reaction == REACTION_CANCEL_AND_BEGIN,
	    "%s", name);
	if (reaction == REACTION_CANCEL_OTHER ||
	    reaction == REACTION_CANCEL_BOTH)
		cr_expect_eq(world.others_ended, 0, "%s", name);
	at_wire_store_delete(world.store);
	entry_fixture_delete(fixture);
}

/*
 * The call whose response shows that the store is back from an older copy was
 * freed twice where the handler of that cancelled it (LOST).
 */
Test(store_calls, may_be_cancelled_when_the_store_is_back_from_a_copy)
{
	operation_t operation;
	reaction_t reaction;

	for (operation = 0; operation < OPERATIONS; operation++) {
		for (reaction = 0; reaction < REACTIONS; reaction++)
			run_case(operation, reaction);
	}
}

static int
has_written(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return standin_store_has(
	    fixture->store, AT_INSTANCES_KIND, fixture->names[0]);
}

static int
has_joined(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return has_written(ctx) &&
	       at_join_is_complete(fixture->entries[0]->join);
}

/*
 * An instance that had just started ended by itself when the store came back
 * from a copy while it listed the other instances (LOST).
 */
Test(store_calls, a_starting_instance_outlives_a_store_back_from_a_copy)
{
	entry_fixture_t *fixture = entry_fixture_new();

	entry_fixture_apply_config(fixture, 1);
	standin_store_copy(fixture->store);
	standin_store_faults(fixture->store)->delay_ms = DELAY_MS;
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until(fixture, has_written, fixture);
	/* The first response of the later era is the one to the list. */
	standin_store_hold(fixture->store, AT_INSTANCES_KIND);
	entry_fixture_run_ms(fixture, 2 * DELAY_MS);
	standin_store_faults(fixture->store)->delay_ms = 0;
	standin_store_restore(fixture->store);
	standin_store_hold(fixture->store, NULL);
	/* The list that was cancelled does not end the joining. */
	entry_fixture_run_until(fixture, has_joined, fixture);
	cr_assert_eq(at_counters_get(fixture->entries[0]->counters,
			 "store_eras_total", NULL, NULL),
	    1);
	entry_fixture_delete(fixture);
}

typedef enum callback {
	CALLBACK_HEADERS,
	CALLBACK_DATA,
	CALLBACK_DONE,
	CALLBACKS
} callback_t;

static const char *const callback_names[] = {
    "on_headers", "on_data", "on_done"};

typedef struct transfers {
	callback_t cancels; /* in this callback of the first one */
	int which;          /* index of the one that is cancelled */
	at_transfer_t *of[2];
	uint32_t done[2];
	int has_cancelled;
} transfers_t;

typedef struct transfer_context {
	transfers_t *transfers;
	int index;
} transfer_context_t;

static void
react(const transfer_context_t *context, callback_t callback)
{
	transfers_t *transfers = context->transfers;

	if (context->index != 0 || callback != transfers->cancels ||
	    transfers->has_cancelled)
		return;
	transfers->has_cancelled = 1;
	if (transfers->of[transfers->which] != NULL)
		at_transfer_cancel(transfers->of[transfers->which]);
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	(void)transfer;
	(void)status;
	react(ctx, CALLBACK_HEADERS);
}

static int
on_data(void *ctx, const char *data, size_t len)
{
	(void)data;
	(void)len;
	react(ctx, CALLBACK_DATA);
	return 0;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	const transfer_context_t *context = ctx;

	(void)result;
	context->transfers->done[context->index]++;
	react(context, CALLBACK_DONE);
	context->transfers->of[context->index] = NULL;
}

static void
run_transfers(callback_t cancels, int which)
{
	entry_fixture_t *fixture = entry_fixture_new();
	transfers_t transfers = {.cancels = cancels, .which = which};
	transfer_context_t contexts[2] = {{&transfers, 0}, {&transfers, 1}};
	char url[128];
	const at_transfer_spec_t spec = {
	    .method = "GET", .url = url, .total_ms = 2000};
	uint32_t first = which == 0 && cancels != CALLBACK_DONE ? 0 : 1;
	int i;

	(void)snprintf(url, sizeof(url), "http://%s" WIRE_OBJECTS_PATH KIND,
	    fixture->store_address);
	/* The second one is still open when the first one ends. */
	for (i = 1; i >= 0; i--) {
		const at_transfer_events_t events = {.on_headers = on_headers,
		    .on_data = on_data,
		    .on_done = on_done,
		    .ctx = &contexts[i]};

		standin_store_faults(fixture->store)->delay_ms =
		    i == 1 ? 3 * DELAY_MS : 0;
		transfers.of[i] =
		    at_httpc_start(fixture->httpc, &spec, &events);
		entry_fixture_run_ms(fixture, DELAY_MS / 2);
	}
	entry_fixture_run_ms(fixture, 4 * DELAY_MS);
	cr_expect(
	    transfers.has_cancelled, "%s, %d", callback_names[cancels], which);
	cr_expect_eq(
	    transfers.done[0], first, "%s, %d", callback_names[cancels], which);
	cr_expect_eq(transfers.done[1], which == 0, "%s, %d",
	    callback_names[cancels], which);
	entry_fixture_delete(fixture);
}

/* A transfer that was cancelled while it ended was used after it was freed. */
Test(store_calls, transfers_may_be_cancelled_in_their_callbacks)
{
	callback_t cancels;
	int which;

	for (cancels = 0; cancels < CALLBACKS; cancels++) {
		for (which = 0; which < 2; which++)
			run_transfers(cancels, which);
	}
}
