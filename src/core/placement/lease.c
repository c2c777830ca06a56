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
	int is_candidate;
	at_lease_state_t state;
	at_lease_call_t pending_call; /* the call without a response yet */
	uint64_t requested_at_ms;     /* of the call without a response */
	uint64_t next_read_ms;        /* while following */
	uint64_t release_due_ms;      /* until then a release is expected */
	uint64_t next_renew_ms;       /* while held */
	uint64_t next_claim_ms; /* while following, after a failed write */
	uint64_t valid_until_ms;
	uint64_t fence;
	uint64_t sequence;           /* of the last write attempted */
	uint64_t write_requested_ms; /* of that write */
	int is_release_written;      /* that write is a release */
	/* The outcome of the last write is not known. */
	int is_write_unresolved;
	/* The lease object as last read or written. */
	int is_known;
	uint64_t version; /* 0 if there is none */
	uint64_t first_seen_ms;
	at_incarnation_t holder;
	uint64_t holder_sequence;
	int is_released;
	int steps_down; /* a release is followed by AT_LEASE_FOLLOWING */
	/*
	 * After lost writes of the store: until when another instance may hold
	 * the lease without the object showing it, and until when this one may
	 * acquire it again, as it held it; 0 if it did not.
	 */
	uint64_t lost_until_ms;
	uint64_t reclaim_until_ms;
	int is_call_void; /* the open call is not to be used */
};

at_lease_t *
at_lease_new(void)
{
	at_lease_t *lease = calloc(1, sizeof(*lease));

	if (lease == NULL)
		return NULL;
	lease->is_candidate = 1;
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
 * Returns how long the object must stay unchanged before it may be claimed.
 * The clock of the holder may be slow and that of the claimant fast, by up to
 * AT_CLOCK_ERROR_PPM each. Rounding up and one more millisecond keep the
 * inequality strict.
 */
static uint64_t
claim_delay_ms(const at_lease_t *lease)
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
at_lease_set_candidate(at_lease_t *lease, int is_candidate)
{
	lease->is_candidate = is_candidate;
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
request_read(at_lease_t *lease, uint64_t now_ms, at_lease_action_t *action)
{
	action->call = AT_LEASE_READ;
	lease->pending_call = AT_LEASE_READ;
	lease->requested_at_ms = now_ms;
}

static void
request_write(at_lease_t *lease, uint64_t now_ms, int is_released,
    at_lease_action_t *action)
{
	int len;

	lease->sequence++;
	lease->write_requested_ms = now_ms;
	lease->is_release_written = is_released;
	lease->pending_call = AT_LEASE_WRITE;
	lease->requested_at_ms = now_ms;
	action->call = AT_LEASE_WRITE;
	action->expect_version = lease->version;
	len = snprintf(action->value, sizeof(action->value),
	    "{\"holder\":\"%s\",\"number\":\"%" PRIu64
	    "\",\"sequence\":%" PRIu64 ",\"released\":%s}",
	    lease->self.instance.text, lease->self.number, lease->sequence,
	    is_released ? "true" : "false");
	action->value_len = (size_t)len;
}

/* Returns non-zero if this instance may overwrite the object as last seen. */
static int
may_claim(const at_lease_t *lease, uint64_t now_ms)
{
	if (!lease->is_candidate || !lease->is_known)
		return 0;
	if (now_ms < lease->reclaim_until_ms)
		return 1;
	if (now_ms < lease->lost_until_ms)
		return 0;
	if (lease->version == 0 || lease->is_released || is_self(lease))
		return 1;
	return now_ms - lease->first_seen_ms >= claim_delay_ms(lease);
}

static void
begin_following(at_lease_t *lease, uint64_t now_ms)
{
	lease->state = AT_LEASE_FOLLOWING;
	lease->next_read_ms = now_ms;
}

void
at_lease_process(at_lease_t *lease, uint64_t now_ms, at_lease_action_t *action)
{
	action->call = AT_LEASE_NO_CALL;
	if (lease->state == AT_LEASE_HELD && now_ms >= lease->valid_until_ms)
		begin_following(lease, now_ms);
	if (lease->pending_call != AT_LEASE_NO_CALL ||
	    lease->state == AT_LEASE_RELEASED)
		return;
	if (lease->is_write_unresolved) {
		if (now_ms >= lease->next_read_ms)
			request_read(lease, now_ms, action);
	} else if (lease->state == AT_LEASE_RELEASING) {
		request_write(lease, now_ms, 1, action);
	} else if (lease->state == AT_LEASE_HELD) {
		if (lease->is_candidate && now_ms >= lease->next_renew_ms)
			request_write(lease, now_ms, 0, action);
	} else if (may_claim(lease, now_ms) && now_ms >= lease->next_claim_ms) {
		request_write(lease, now_ms, 0, action);
	} else if (lease->is_candidate && now_ms >= lease->next_read_ms) {
		request_read(lease, now_ms, action);
	}
}

static void
end_release(at_lease_t *lease, uint64_t now_ms)
{
	if (lease->steps_down)
		begin_following(lease, now_ms);
	else
		lease->state = AT_LEASE_RELEASED;
	lease->steps_down = 0;
}

/* Records that the write with lease->sequence made this version. */
static void
on_write_confirmed(at_lease_t *lease, uint64_t now_ms, uint64_t version)
{
	lease->is_write_unresolved = 0;
	lease->version = version;
	lease->holder = lease->self;
	lease->holder_sequence = lease->sequence;
	lease->first_seen_ms = now_ms;
	lease->is_released = lease->is_release_written;
	/* The write may be a renewal from before the release. */
	if (lease->state == AT_LEASE_RELEASING) {
		if (lease->is_released)
			end_release(lease, now_ms);
		return;
	}
	if (now_ms >= lease->write_requested_ms + lease->term_ms) {
		begin_following(lease, now_ms);
		return;
	}
	if (lease->state != AT_LEASE_HELD)
		lease->fence = version;
	lease->state = AT_LEASE_HELD;
	lease->valid_until_ms = lease->write_requested_ms + lease->term_ms;
	lease->next_renew_ms = lease->write_requested_ms + lease->renew_ms;
}

/*
 * Parses the object. If it is not valid, the holder is empty, and the
 * object may be claimed only after the term, like one of another holder.
 */
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
	lease->is_released = json_is_true(json_object_get(root, "released"));
	json_decref(root);
}

static void
update_object(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	uint64_t version =
	    result->code == AT_STORE_NOT_FOUND ? 0 : result->version;

	if (lease->is_known && version == lease->version)
		return;
	lease->is_known = 1;
	lease->version = version;
	lease->first_seen_ms = now_ms;
	if (version == 0) {
		memset(&lease->holder, 0, sizeof(lease->holder));
		lease->is_released = 1;
		return;
	}
	parse_value(lease, result);
}

static void
handle_read_response(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	uint64_t known_version = lease->version;

	lease->next_read_ms =
	    now_ms + (now_ms < lease->release_due_ms ? AT_LEASE_RELEASE_POLL_MS
						     : AT_LEASE_POLL_MS);
	if (result->code != AT_STORE_OK && result->code != AT_STORE_NOT_FOUND)
		return;
	update_object(lease, now_ms, result);
	if (!lease->is_write_unresolved)
		return;
	if (is_self(lease) && lease->holder_sequence == lease->sequence) {
		on_write_confirmed(lease, now_ms, lease->version);
		return;
	}
	/*
	 * The lost write had not taken effect before this read. If it is still
	 * in transit, it and the next write expect the same version, and only
	 * one of them succeeds.
	 */
	lease->is_write_unresolved = 0;
	lease->next_read_ms = now_ms;
	if (lease->version != known_version && !is_self(lease)) {
		if (lease->state == AT_LEASE_RELEASING)
			end_release(lease, now_ms);
		else
			begin_following(lease, now_ms);
	}
}

static void
handle_write_response(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	switch (result->code) {
	case AT_STORE_OK:
		on_write_confirmed(lease, now_ms, result->version);
		return;
	case AT_STORE_CONFLICT:
	case AT_STORE_UNKNOWN:
		/*
		 * The conflict may be with an earlier write of our own whose
		 * response was lost.
		 */
		lease->is_write_unresolved = 1;
		lease->next_read_ms = now_ms;
		return;
	default:
		lease->next_renew_ms = now_ms + AT_LEASE_POLL_MS;
		lease->next_claim_ms = now_ms + AT_LEASE_POLL_MS;
		return;
	}
}

void
at_lease_handle_response(
    at_lease_t *lease, uint64_t now_ms, const at_store_result_t *result)
{
	at_lease_call_t call = lease->pending_call;

	lease->pending_call = AT_LEASE_NO_CALL;
	if (lease->is_call_void) {
		lease->is_call_void = 0;
		lease->next_read_ms = now_ms;
		return;
	}
	if (call == AT_LEASE_READ)
		handle_read_response(lease, now_ms, result);
	else if (call == AT_LEASE_WRITE)
		handle_write_response(lease, now_ms, result);
}

void
at_lease_release(at_lease_t *lease)
{
	if (lease->state == AT_LEASE_HELD)
		lease->state = AT_LEASE_RELEASING;
	else if (lease->state == AT_LEASE_FOLLOWING)
		lease->state = AT_LEASE_RELEASED;
	lease->steps_down = 0;
}

void
at_lease_step_down(at_lease_t *lease)
{
	if (lease->state != AT_LEASE_HELD)
		return;
	lease->state = AT_LEASE_RELEASING;
	lease->steps_down = 1;
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
		begin_following(lease, now_ms);
}

void
at_lease_note_lost_writes(at_lease_t *lease, uint64_t now_ms)
{
	/* Nobody else could have acquired a lease that is held. */
	lease->reclaim_until_ms =
	    lease->state == AT_LEASE_HELD ? lease->valid_until_ms : 0;
	lease->lost_until_ms = now_ms + claim_delay_ms(lease);
	if (lease->state == AT_LEASE_HELD)
		begin_following(lease, now_ms);
	lease->is_known = 0;
	lease->is_write_unresolved = 0;
	lease->next_read_ms = now_ms;
	/* An open call may be one of before. */
	lease->is_call_void = lease->pending_call != AT_LEASE_NO_CALL;
}

void
at_lease_note_released(at_lease_t *lease, uint64_t now_ms)
{
	lease->release_due_ms = now_ms + lease->term_ms;
	if (lease->next_read_ms > now_ms)
		lease->next_read_ms = now_ms;
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
