#include "support/faulty_store.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define NO_CLIENT FAULTY_CLIENTS_MAX /* no client waits for the response */

typedef struct call {
	int is_used;
	unsigned client;
	int is_put;
	int is_del; /* a put that deletes the object */
	int is_applied;
	faulty_object_t *object;
	uint64_t expect;
	uint8_t *value;
	size_t len;
	at_store_code_t code;
	uint64_t version;
	at_store_done_t done;
	void *ctx;
} call_t;

/* The context of a port. */
typedef struct client {
	faulty_store_t *store;
	unsigned number;
	int is_paused;
} client_t;

struct faulty_store {
	client_t clients[FAULTY_CLIENTS_MAX];
	faulty_object_t objects[FAULTY_OBJECTS_MAX];
	size_t object_count;
	call_t calls[FAULTY_CALLS_MAX];
	uint64_t versions;
	int is_outage;
};

faulty_store_t *
faulty_store_new(void)
{
	faulty_store_t *store = calloc(1, sizeof(*store));
	unsigned i;

	for (i = 0; i < FAULTY_CLIENTS_MAX; i++) {
		store->clients[i].store = store;
		store->clients[i].number = i;
	}
	return store;
}

static void
free_call(call_t *call)
{
	free(call->value);
	call->value = NULL;
	call->is_used = 0;
}

void
faulty_store_delete(faulty_store_t *store)
{
	size_t i;

	for (i = 0; i < FAULTY_CALLS_MAX; i++)
		free_call(&store->calls[i]);
	for (i = 0; i < store->object_count; i++)
		free(store->objects[i].value);
	free(store);
}

static faulty_object_t *
find_or_add_object(faulty_store_t *store, const char *name)
{
	size_t i;

	for (i = 0; i < store->object_count; i++) {
		if (strcmp(store->objects[i].name, name) == 0)
			return &store->objects[i];
	}
	assert(i < FAULTY_OBJECTS_MAX);
	store->object_count++;
	(void)snprintf(store->objects[i].name, AT_NAME_SIZE, "%s", name);
	return &store->objects[i];
}

static call_t *
add_call(client_t *client, const char *name, at_store_done_t done, void *ctx)
{
	const at_store_result_t refused = {.code = AT_STORE_NOT_SENT};
	faulty_store_t *store = client->store;
	size_t i;

	for (i = 0; i < FAULTY_CALLS_MAX; i++) {
		call_t *call = &store->calls[i];

		if (call->is_used)
			continue;
		memset(call, 0, sizeof(*call));
		call->is_used = 1;
		call->client = client->number;
		call->object = find_or_add_object(store, name);
		call->done = done;
		call->ctx = ctx;
		return call;
	}
	done(ctx, &refused);
	return NULL;
}

static void
port_get(void *impl, const char *name, at_store_done_t done, void *ctx)
{
	(void)add_call(impl, name, done, ctx);
}

static void
port_put(void *impl, const char *name, uint64_t expect, const void *value,
    size_t len, at_store_done_t done, void *ctx)
{
	call_t *call = add_call(impl, name, done, ctx);

	if (call == NULL)
		return;
	call->is_put = 1;
	call->expect = expect;
	call->value = malloc(len + 1);
	call->len = len;
	memcpy(call->value, value, len);
}

static void
port_del(void *impl, const char *name, uint64_t expect, at_store_done_t done,
    void *ctx)
{
	call_t *call = add_call(impl, name, done, ctx);

	if (call == NULL)
		return;
	call->is_put = 1;
	call->is_del = 1;
	call->expect = expect;
}

at_store_t
faulty_store_port(faulty_store_t *store, unsigned client)
{
	at_store_t port = {
	    port_get, port_put, port_del, NULL, &store->clients[client]};

	return port;
}

void
faulty_store_set_outage(faulty_store_t *store, int is_outage)
{
	store->is_outage = is_outage;
}

void
faulty_store_set_paused(faulty_store_t *store, unsigned client, int is_paused)
{
	store->clients[client].is_paused = is_paused;
}

void
faulty_store_remove_client(faulty_store_t *store, unsigned client)
{
	size_t i;

	store->clients[client].is_paused = 0;
	for (i = 0; i < FAULTY_CALLS_MAX; i++) {
		call_t *call = &store->calls[i];

		if (!call->is_used || call->client != client)
			continue;
		if (call->is_put && !call->is_applied)
			call->client = NO_CLIENT;
		else
			free_call(call);
	}
}

static void
apply_put(faulty_store_t *store, call_t *call)
{
	faulty_object_t *object = call->object;

	if (call->expect != object->version) {
		call->code = AT_STORE_CONFLICT;
		return;
	}
	free(object->value);
	object->value = malloc(call->len + 1);
	if (call->len > 0)
		memcpy(object->value, call->value, call->len);
	object->len = call->len;
	store->versions++;
	object->version = call->is_del ? 0 : store->versions;
	call->code = AT_STORE_OK;
}

static void
apply_get(call_t *call)
{
	const faulty_object_t *object = call->object;

	call->code = object->version == 0 ? AT_STORE_NOT_FOUND : AT_STORE_OK;
	call->value = malloc(object->len + 1);
	call->len = object->len;
	if (object->len > 0)
		memcpy(call->value, object->value, object->len);
}

static void
apply(faulty_store_t *store, call_t *call)
{
	if (call->is_applied)
		return;
	call->is_applied = 1;
	if (call->is_put)
		apply_put(store, call);
	else
		apply_get(call);
	call->version = call->object->version;
}

/*
 * Ends a call at its client. With may_apply_later, the put stays in the table
 * without a client, and may be applied later.
 */
static void
respond(call_t *call, at_store_code_t code, int may_apply_later)
{
	call_t ended = *call;
	const at_store_result_t result = {.code = code,
	    .version = call->version,
	    .value = call->is_put ? NULL : (const char *)call->value,
	    .value_len = call->is_put ? 0 : call->len};

	if (may_apply_later) {
		call->client = NO_CLIENT;
		ended.value = NULL;
	} else {
		call->is_used = 0;
		call->value = NULL;
	}
	ended.done(ended.ctx, &result);
	free(ended.value);
}

static void
apply_abandoned(faulty_store_t *store, call_t *call)
{
	if (store->is_outage)
		return;
	apply(store, call);
	free_call(call);
}

static faulty_outcome_t
effective_outcome(
    const faulty_store_t *store, const call_t *call, faulty_outcome_t outcome)
{
	if (store->clients[call->client].is_paused)
		return FAULTY_DELAYED;
	if (store->is_outage && !call->is_applied && outcome != FAULTY_NOT_SENT)
		return FAULTY_NO_RESPONSE;
	if (outcome == FAULTY_NOT_SENT && call->is_applied)
		return FAULTY_DONE;
	return outcome;
}

static void
handle_call(faulty_store_t *store, call_t *call, faulty_outcome_t outcome)
{
	if (call->client == NO_CLIENT) {
		if (outcome != FAULTY_DELAYED)
			apply_abandoned(store, call);
		return;
	}
	outcome = effective_outcome(store, call, outcome);
	if (outcome != FAULTY_NO_RESPONSE && outcome != FAULTY_NOT_SENT &&
	    !store->is_outage)
		apply(store, call);
	switch (outcome) {
	case FAULTY_NO_RESPONSE:
		respond(
		    call, AT_STORE_UNKNOWN, call->is_put && !call->is_applied);
		break;
	case FAULTY_RESPONSE_LOST:
		respond(call, AT_STORE_UNKNOWN, 0);
		break;
	case FAULTY_DELAYED:
		break;
	case FAULTY_NOT_SENT:
		respond(call, AT_STORE_NOT_SENT, 0);
		break;
	default:
		respond(call, call->code, 0);
		break;
	}
}

void
faulty_store_handle(
    faulty_store_t *store, unsigned start, faulty_outcome_t outcome)
{
	unsigned i;

	for (i = 0; i < FAULTY_CALLS_MAX; i++) {
		call_t *call = &store->calls[(start + i) % FAULTY_CALLS_MAX];

		if (!call->is_used)
			continue;
		handle_call(store, call, outcome);
		return;
	}
}

void
faulty_store_handle_all(
    faulty_store_t *store, faulty_outcome_t outcome, int only_puts)
{
	unsigned i;

	for (i = 0; i < FAULTY_CALLS_MAX; i++) {
		call_t *call = &store->calls[i];

		if (call->is_used && call->client != NO_CLIENT &&
		    (call->is_put || !only_puts))
			handle_call(store, call, outcome);
	}
}

void
faulty_store_apply_abandoned(faulty_store_t *store)
{
	unsigned i;

	for (i = 0; i < FAULTY_CALLS_MAX; i++) {
		call_t *call = &store->calls[i];

		if (call->is_used && call->client == NO_CLIENT)
			apply_abandoned(store, call);
	}
}

const faulty_object_t *
faulty_store_objects(const faulty_store_t *store, size_t *count)
{
	*count = store->object_count;
	return store->objects;
}
