/*
 * Determines which earlier holders of the lease can send no more orders. Any
 * of three facts proves it: the holder's own statement in the object API,
 * another incarnation under its name, or absence from the instance list for
 * instance_gone_ms.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/placement/placement_impl.h"
#include "io/clock.h"

#define STATEMENT_INTERVAL_MS 1000u /* between attempts to write it */
#define SENDERS_OBJECT "senders/"   /* followed by data centre, instance */

static void
format_object_name(char name[AT_OBJECT_NAME_SIZE], const at_placement_io_t *io,
    const at_name_t *instance)
{
	(void)snprintf(name, AT_OBJECT_NAME_SIZE, SENDERS_OBJECT "%s/%s",
	    io->node->data_centre.text, instance->text);
}

static int
is_same_incarnation(const at_incarnation_t *a, const at_incarnation_t *b)
{
	return a->number == b->number &&
	       at_name_equal(&a->instance, &b->instance);
}

/* Marks the entry of a sender with open intents as needed, or adds one. */
static void
add_sender(void *ctx, const at_incarnation_t *sender)
{
	at_placement_io_t *io = ctx;
	size_t i;

	for (i = 0; i < io->former_sender_count; i++) {
		if (is_same_incarnation(
			&io->former_senders[i].sender, sender)) {
			io->former_senders[i].is_needed = 1;
			return;
		}
	}
	if (io->former_sender_count == AT_FORMER_SENDERS_MAX)
		return;
	memset(&io->former_senders[i], 0, sizeof(io->former_senders[i]));
	io->former_senders[i].sender = *sender;
	io->former_senders[i].io = io;
	io->former_senders[i].is_needed = 1;
	io->former_sender_count++;
}

static void
on_statement(void *ctx, const at_store_result_t *result)
{
	at_former_sender_t *former = ctx;
	json_t *root;
	const char *number;
	at_incarnation_t sender = former->sender;

	former->is_requested = 0;
	if (result->code != AT_STORE_OK)
		return;
	root = json_loadb(result->value, result->value_len, 0, NULL);
	number = json_string_value(json_object_get(root, "number"));
	/* Another number is a later incarnation: see has_new_incarnation(). */
	if (number != NULL && strtoull(number, NULL, 10) == sender.number)
		at_orders_note_sender_ended(former->io->orders, &sender,
		    (uint64_t)json_integer_value(
			json_object_get(root, "fence")),
		    at_clock_now_ms());
	json_decref(root);
}

static int
has_new_incarnation(const at_placement_io_t *io, const at_incarnation_t *sender)
{
	const at_peer_member_t *member;

	if (at_name_equal(&sender->instance, &io->node->self.instance))
		return sender->number != io->node->self.number;
	member = at_peers_member(io->node->peers, &sender->instance);
	return member != NULL && member->self.number != 0 &&
	       member->self.number != sender->number;
}

/* Removes entries without open intents, unless an open call refers to one. */
static void
remove_settled(at_placement_io_t *io)
{
	size_t used = 0;
	size_t i;

	for (i = 0; i < io->former_sender_count; i++)
		io->former_senders[i].is_needed =
		    io->former_senders[i].is_requested;
	at_orders_each_sender(io->orders, add_sender, io);
	for (i = 0; i < io->former_sender_count; i++) {
		if (io->former_senders[i].is_requested)
			return;
	}
	for (i = 0; i < io->former_sender_count; i++) {
		if (io->former_senders[i].is_needed)
			io->former_senders[used++] = io->former_senders[i];
	}
	io->former_sender_count = used;
}

void
at_former_senders_check(at_placement_io_t *io, uint64_t now_ms)
{
	char name[AT_OBJECT_NAME_SIZE];
	uint32_t instance_gone_ms = io->config->defaults.instance_gone_ms;
	size_t i;

	remove_settled(io);
	for (i = 0; i < io->former_sender_count; i++) {
		at_former_sender_t *former = &io->former_senders[i];

		if (has_new_incarnation(io, &former->sender) ||
		    (former->unlisted_since_ms != 0 &&
			now_ms - former->unlisted_since_ms >= instance_gone_ms))
			at_orders_note_sender_ended(
			    io->orders, &former->sender, UINT64_MAX, now_ms);
		if (former->is_requested)
			continue;
		former->is_requested = 1;
		format_object_name(name, io, &former->sender.instance);
		io->node->store.get(
		    io->node->store.impl, name, on_statement, former);
	}
}

void
at_former_senders_update_list(at_placement_io_t *io, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < io->former_sender_count; i++) {
		at_former_sender_t *former = &io->former_senders[i];
		const at_peer_member_t *member =
		    at_peers_member(io->node->peers, &former->sender.instance);

		if (member != NULL && member->is_listed)
			former->unlisted_since_ms = 0;
		else if (former->unlisted_since_ms == 0)
			former->unlisted_since_ms = now_ms;
	}
}

static void
on_statement_written(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;

	io->statement_call_open = 0;
	if (result->code == AT_STORE_OK && io->ended_fence == io->stated_fence)
		io->ended_fence = 0;
}

static void
on_statement_version(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;
	char name[AT_OBJECT_NAME_SIZE];
	char value[128];
	uint64_t version = 0;

	if (result->code == AT_STORE_OK)
		version = result->version;
	if (result->code != AT_STORE_OK && result->code != AT_STORE_NOT_FOUND) {
		io->statement_call_open = 0;
		return;
	}
	io->stated_fence = io->ended_fence;
	format_object_name(name, io, &io->node->self.instance);
	(void)snprintf(value, sizeof(value),
	    "{\"number\":\"%" PRIu64 "\",\"fence\":%" PRIu64 "}",
	    io->node->self.number, io->ended_fence);
	io->node->store.put(io->node->store.impl, name, version, value,
	    strlen(value), on_statement_written, io);
}

void
at_former_senders_write_statement(at_placement_io_t *io, uint64_t now_ms)
{
	char name[AT_OBJECT_NAME_SIZE];

	if (io->ended_fence == 0 || io->statement_call_open ||
	    now_ms < io->next_statement_ms)
		return;
	io->statement_call_open = 1;
	io->next_statement_ms = now_ms + STATEMENT_INTERVAL_MS;
	format_object_name(name, io, &io->node->self.instance);
	io->node->store.get(
	    io->node->store.impl, name, on_statement_version, io);
}
