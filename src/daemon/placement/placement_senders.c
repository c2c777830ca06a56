/*
 * Which earlier holders of the lease can send no order any more. There are
 * three proofs: the holder's own statement in the object API, another
 * incarnation under its name, and absence from the instance list for
 * instance_gone_ms.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/placement/placement_impl.h"
#include "io/clock.h"

#define STATEMENT_EVERY_MS 1000u
#define OBJECT "senders/" /* followed by data centre and instance */

static void
object_name(char name[AT_OBJECT_NAME_SIZE], const at_placement_io_t *io,
    const at_name_t *instance)
{
	(void)snprintf(name, AT_OBJECT_NAME_SIZE, OBJECT "%s/%s",
	    io->node->data_centre.text, instance->text);
}

static int
same_life(const at_incarnation_t *a, const at_incarnation_t *b)
{
	return a->number == b->number &&
	       at_name_equal(&a->instance, &b->instance);
}

/* Keeps a row for each sender that still matters. */
static void
note_sender(void *ctx, const at_incarnation_t *sender)
{
	at_placement_io_t *io = ctx;
	size_t i;

	for (i = 0; i < io->absent_count; i++) {
		if (same_life(&io->absent[i].sender, sender)) {
			io->absent[i].needed = 1;
			return;
		}
	}
	if (io->absent_count == AT_ABSENT_MAX)
		return;
	memset(&io->absent[i], 0, sizeof(io->absent[i]));
	io->absent[i].sender = *sender;
	io->absent[i].io = io;
	io->absent[i].needed = 1;
	io->absent_count++;
}

static void
on_statement(void *ctx, const at_store_result_t *result)
{
	at_absent_t *row = ctx;
	json_t *root;
	const char *number;
	at_incarnation_t sender = row->sender;

	row->asked = 0;
	if (result->code != AT_STORE_OK)
		return;
	root = json_loadb(result->value, result->value_len, 0, NULL);
	number = json_string_value(json_object_get(root, "number"));
	/* A later life under the same name has ended the earlier ones. */
	if (number != NULL && strtoull(number, NULL, 10) == sender.number)
		at_orders_note_sender_ended(row->io->orders, &sender,
		    (uint64_t)json_integer_value(
			json_object_get(root, "fence")),
		    at_clock_now_ms());
	json_decref(root);
}

static int
has_new_life(const at_placement_io_t *io, const at_incarnation_t *sender)
{
	const at_peer_member_t *member;

	if (at_name_equal(&sender->instance, &io->node->self.instance))
		return sender->number != io->node->self.number;
	member = at_peers_member(io->node->peers, &sender->instance);
	return member != NULL && member->self.number != 0 &&
	       member->self.number != sender->number;
}

/* Drops rows of no more use, unless one is lent to a call. */
static void
forget_settled(at_placement_io_t *io)
{
	size_t used = 0;
	size_t i;

	for (i = 0; i < io->absent_count; i++)
		io->absent[i].needed = io->absent[i].asked;
	at_orders_each_sender(io->orders, note_sender, io);
	for (i = 0; i < io->absent_count; i++) {
		if (io->absent[i].asked)
			return;
	}
	for (i = 0; i < io->absent_count; i++) {
		if (io->absent[i].needed)
			io->absent[used++] = io->absent[i];
	}
	io->absent_count = used;
}

void
at_senders_check(at_placement_io_t *io, uint64_t now_ms)
{
	char name[AT_OBJECT_NAME_SIZE];
	uint32_t gone_ms = io->config->defaults.instance_gone_ms;
	size_t i;

	forget_settled(io);
	for (i = 0; i < io->absent_count; i++) {
		at_absent_t *row = &io->absent[i];

		if (has_new_life(io, &row->sender) ||
		    (row->since_ms != 0 && now_ms - row->since_ms >= gone_ms))
			at_orders_note_sender_ended(
			    io->orders, &row->sender, UINT64_MAX, now_ms);
		if (row->asked)
			continue;
		row->asked = 1;
		object_name(name, io, &row->sender.instance);
		io->node->store.get(
		    io->node->store.impl, name, on_statement, row);
	}
}

void
at_senders_listed(at_placement_io_t *io, uint64_t now_ms)
{
	size_t i;

	for (i = 0; i < io->absent_count; i++) {
		at_absent_t *row = &io->absent[i];
		const at_peer_member_t *member =
		    at_peers_member(io->node->peers, &row->sender.instance);

		if (member != NULL && member->is_listed)
			row->since_ms = 0;
		else if (row->since_ms == 0)
			row->since_ms = now_ms;
	}
}

static void
on_stated(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;

	io->stating = 0;
	if (result->code == AT_STORE_OK && io->ended_fence == io->stated_fence)
		io->ended_fence = 0;
}

static void
on_old_statement(void *ctx, const at_store_result_t *result)
{
	at_placement_io_t *io = ctx;
	char name[AT_OBJECT_NAME_SIZE];
	char value[128];
	uint64_t version = 0;

	if (result->code == AT_STORE_OK)
		version = result->version;
	if (result->code != AT_STORE_OK && result->code != AT_STORE_NOT_FOUND) {
		io->stating = 0;
		return;
	}
	io->stated_fence = io->ended_fence;
	object_name(name, io, &io->node->self.instance);
	(void)snprintf(value, sizeof(value),
	    "{\"number\":\"%" PRIu64 "\",\"fence\":%" PRIu64 "}",
	    io->node->self.number, io->ended_fence);
	io->node->store.put(io->node->store.impl, name, version, value,
	    strlen(value), on_stated, io);
}

void
at_senders_state(at_placement_io_t *io, uint64_t now_ms)
{
	char name[AT_OBJECT_NAME_SIZE];

	if (io->ended_fence == 0 || io->stating ||
	    now_ms < io->next_statement_ms)
		return;
	io->stating = 1;
	io->next_statement_ms = now_ms + STATEMENT_EVERY_MS;
	object_name(name, io, &io->node->self.instance);
	io->node->store.get(io->node->store.impl, name, on_old_statement, io);
}
