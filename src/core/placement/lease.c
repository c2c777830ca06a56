#include "almondthread/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define PPM 1000000u

const char *const at_lease_state_names[] = {
    "following", "held", "releasing", "released"};

struct at_lease {
	uint32_t term_ms;
	uint32_t renew_ms;
	at_incarnation_t self;
	int candidate;
	at_lease_state_t state;
	at_lease_call_t open;   /* the call without an answer yet */
	uint64_t asked_at_ms;   /* of the open call */
	uint64_t next_read_ms;  /* following */
	uint64_t next_renew_ms; /* held */
	uint64_t next_take_ms;  /* following; after a write that failed */
	uint64_t valid_until_ms;
	uint64_t fence;
	uint64_t sequence;       /* of the last write that was tried */
	uint64_t write_asked_ms; /* of that write */
	int unresolved;          /* its answer was lost */
	/* The object as last seen. */
	int seen;
	uint64_t version; /* 0: there is none */
	uint64_t first_seen_ms;
	at_incarnation_t holder;
	uint64_t holder_sequence;
	int released;
};

at_lease_t *
at_lease_new(void)
{
	at_lease_t *lease = calloc(1, sizeof(*lease));

	if (lease == NULL)
		return NULL;
	lease->candidate = 1;
	at_lease_set_term(lease, AT_LEASE_TERM_MS);
	return lease;
}

void
at_lease_set_term(at_lease_t *lease, uint32_t term_ms)
{
	lease->term_ms = term_ms;
	lease->renew_ms = (uint32_t)((uint64_t)term_ms * AT_LEASE_RENEW_MS /
				     AT_LEASE_TERM_MS);
}

/*
 * The holder's clock may run slow and the taker's fast; rounding up and one
 * more millisecond keep the inequality strict.
 */
static uint64_t
take_ms(const at_lease_t *lease)
{
	return lease->term_ms +
	       (uint64_t)lease->term_ms * 3u * AT_CLOCK_ERROR_PPM / PPM + 1u;
}

void
at_lease_set_self(at_lease_t *lease, const at_incarnation_t *self)
{
	lease->self = *self;
}

void
at_lease_set_candidate(at_lease_t *lease, int candidate)
{
	lease->candidate = candidate;
}

void
at_lease_delete(at_lease_t *lease)
{
	free(lease);
}

static int
is_self(const at_lease_t *lease)
{
	return lease->holder.number == lease->self.number &&
	       at_name_equal(&lease->holder.instance, &lease->self.instance);
}

static void
ask_read(at_lease_t *lease, uint64_t now_ms, at_lease_action_t *action)
{
	action->call = AT_LEASE_READ;
	lease->open = AT_LEASE_READ;
	lease->asked_at_ms = now_ms;
}

static void
ask_write(
    at_lease_t *lease, uint64_t now_ms, int released, at_lease_action_t *action)
{
	int len;

	lease->sequence++;
	lease->write_asked_ms = now_ms;
	lease->open = AT_LEASE_WRITE;
	lease->asked_at_ms = now_ms;
	action->call = AT_LEASE_WRITE;
	action->expect_version = lease->version;
	len = snprintf(action->value, sizeof(action->value),
	    "{\"holder\":\"%s\",\"number\":\"%" PRIu64
	    "\",\"sequence\":%" PRIu64 ",\"released\":%s}",
	    lease->self.instance.text, lease->self.number, lease->sequence,
	    released ? "true" : "false");
	action->value_len = (size_t)len;
}

/* Whether the object, as seen, may be overwritten by this instance. */
static int
may_take(const at_lease_t *lease, uint64_t now_ms)
{
	if (!lease->candidate || !lease->seen)
		return 0;
	if (lease->version == 0 || lease->released || is_self(lease))
		return 1;
	return now_ms - lease->first_seen_ms >= take_ms(lease);
}

static void
follow(at_lease_t *lease, uint64_t now_ms)
{
	lease->state = AT_LEASE_FOLLOWING;
	lease->next_read_ms = now_ms;
}

void
at_lease_process(at_lease_t *lease, uint64_t now_ms, at_lease_action_t *action)
{
	action->call = AT_LEASE_NO_CALL;
	if (lease->state == AT_LEASE_HELD && now_ms >= lease->valid_until_ms)
		follow(lease, now_ms);
	if (lease->open != AT_LEASE_NO_CALL ||
	    lease->state == AT_LEASE_RELEASED)
		return;
	if (lease->unresolved) {
		if (now_ms >= lease->next_read_ms)
			ask_read(lease, now_ms, action);
	} else if (lease->state == AT_LEASE_RELEASING) {
		ask_write(lease, now_ms, 1, action);
	} else if (lease->state == AT_LEASE_HELD) {
		if (lease->candidate && now_ms >= lease->next_renew_ms)
			ask_write(lease, now_ms, 0, action);
	} else if (may_take(lease, now_ms) && now_ms >= lease->next_take_ms) {
		ask_write(lease, now_ms, 0, action);
	} else if (lease->candidate && now_ms >= lease->next_read_ms) {
		ask_read(lease, now_ms, action);
	}
}

/* The write of lease->sequence is proved to have made version. */
static void
write_took_effect(at_lease_t *lease, uint64_t now_ms, uint64_t version)
{
	lease->unresolved = 0;
	lease->version = version;
	lease->holder = lease->self;
	lease->holder_sequence = lease->sequence;
	lease->first_seen_ms = now_ms;
	if (lease->state == AT_LEASE_RELEASING) {
		lease->released = 1;
		lease->state = AT_LEASE_RELEASED;
		return;
	}
	lease->released = 0;
	if (now_ms >= lease->write_asked_ms + lease->term_ms) {
		follow(lease, now_ms);
		return;
	}
	if (lease->state != AT_LEASE_HELD)
		lease->fence = version;
	lease->state = AT_LEASE_HELD;
	lease->valid_until_ms = lease->write_asked_ms + lease->term_ms;
	lease->next_renew_ms = lease->write_asked_ms + lease->renew_ms;
}

/* What cannot be read is waited out like another holder. */
static void
parse_value(at_lease_t *lease, const at_store_result_t *result)
{
	json_t *root = json_loadb(result->value, result->value_len, 0, NULL);
	const char *number = json_string_value(json_object_get(root, "number"));

	memset(&lease->holder, 0, sizeof(lease->holder));
	(void)at_name_set(&lease->holder.instance,
	    json_string_value(json_object_get(root, "holder")));
	lease->holder.number = number == NULL ? 0 : strtoull(number, NULL, 10);
	lease->holder_sequence =
	    (uint64_t)json_integer_value(json_object_get(root, "sequence"));
	lease->released = json_is_true(json_object_get(root, "released"));
	json_decref(root);
}

static void
see(at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	uint64_t version =
	    result->code == AT_STORE_NOT_FOUND ? 0 : result->version;

	if (lease->seen && version == lease->version)
		return;
	lease->seen = 1;
	lease->version = version;
	lease->first_seen_ms = now_ms;
	if (version == 0) {
		memset(&lease->holder, 0, sizeof(lease->holder));
		lease->released = 1;
		return;
	}
	parse_value(lease, result);
}

static void
read_answer(at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	uint64_t known = lease->version;

	lease->next_read_ms = now_ms + AT_LEASE_POLL_MS;
	if (result->code != AT_STORE_OK && result->code != AT_STORE_NOT_FOUND)
		return;
	see(lease, now_ms, result);
	if (!lease->unresolved)
		return;
	if (is_self(lease) && lease->holder_sequence == lease->sequence) {
		write_took_effect(lease, now_ms, lease->version);
		return;
	}
	/*
	 * The lost write did not take effect before this read. If it is still
	 * under way, it and the next write expect the same version, and only
	 * one of them succeeds.
	 */
	lease->unresolved = 0;
	lease->next_read_ms = now_ms;
	if (lease->version != known && !is_self(lease)) {
		if (lease->state == AT_LEASE_RELEASING)
			lease->state = AT_LEASE_RELEASED;
		else
			follow(lease, now_ms);
	}
}

static void
write_answer(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	switch (result->code) {
	case AT_STORE_OK:
		write_took_effect(lease, now_ms, result->version);
		return;
	case AT_STORE_CONFLICT:
	case AT_STORE_UNKNOWN:
		/* An earlier lost write of ours may be what it met. */
		lease->unresolved = 1;
		lease->next_read_ms = now_ms;
		return;
	default:
		lease->next_renew_ms = now_ms + AT_LEASE_POLL_MS;
		lease->next_take_ms = now_ms + AT_LEASE_POLL_MS;
		return;
	}
}

void
at_lease_handle_response(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	at_lease_call_t call = lease->open;

	lease->open = AT_LEASE_NO_CALL;
	if (call == AT_LEASE_READ)
		read_answer(lease, now_ms, result);
	else if (call == AT_LEASE_WRITE)
		write_answer(lease, now_ms, result);
}

void
at_lease_release(at_lease_t *lease)
{
	if (lease->state == AT_LEASE_HELD)
		lease->state = AT_LEASE_RELEASING;
	else if (lease->state == AT_LEASE_FOLLOWING)
		lease->state = AT_LEASE_RELEASED;
}

int
at_lease_is_valid(const at_lease_t *lease, uint64_t now_ms, uint32_t margin_ms)
{
	return lease->state == AT_LEASE_HELD &&
	       now_ms + margin_ms < lease->valid_until_ms;
}

void
at_lease_note_higher_fence(at_lease_t *lease, uint64_t now_ms)
{
	if (lease->state == AT_LEASE_HELD)
		follow(lease, now_ms);
}

uint64_t
at_lease_fencing_token(const at_lease_t *lease)
{
	return lease->fence;
}

at_lease_state_t
at_lease_state(const at_lease_t *lease)
{
	return lease->state;
}

const at_incarnation_t *
at_lease_holder(const at_lease_t *lease)
{
	return &lease->holder;
}
