#include "core/limits/share_impl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

/* Added to a term by its lender: more than twice AT_CLOCK_ERROR_PPM. */
#define LENDER_MARGIN_PPM 4000u
/* Added to a term by its lender for the resolution of both clocks. */
#define LENDER_MARGIN_MS 2u
/* A peer without loans is removed after this time without a message. */
#define PEER_IDLE_MS (3u * AT_IDLE_LOAN_TERM_MS)
/* Time after a request in which a grant may be in transit. */
#define GRANT_TIMEOUT_MS 150u
/* Shortest and longest retry time returned. */
#define RETRY_AFTER_MIN_MS 50u
#define RETRY_AFTER_MAX_MS 60000u

const char *const at_admit_names[] = {"ok", "short", "over_burst"};

uint64_t
at_lender_term_ms(uint64_t term_ms)
{
	return term_ms + term_ms * LENDER_MARGIN_PPM / 1000000u +
	       LENDER_MARGIN_MS;
}

at_share_t *
at_share_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_share_port_t *port)
{
	at_share_t *share = calloc(1, sizeof(*share));

	if (share == NULL)
		return NULL;
	share->bucket = at_bucket_new(now_ms);
	if (share->bucket == NULL) {
		free(share);
		return NULL;
	}
	share->self = *self;
	share->port = *port;
	share->now_ms = now_ms;
	share->window_ms = now_ms;
	share->next_end_ms = NO_END;
	return share;
}

void
at_share_delete(at_share_t *share)
{
	peer_t *peer;
	peer_t *next;

	if (share == NULL)
		return;
	peer = share->peers;
	HASH_CLEAR(hh, share->peers);
	for (; peer != NULL; peer = next) {
		next = peer->hh.next;
		free(peer);
	}
	at_bucket_delete(share->bucket);
	free(share->remotes);
	free(share);
}

peer_t *
share_find_peer(at_share_t *share, const at_incarnation_t *incarnation)
{
	peer_t *peer;

	HASH_FIND(hh, share->peers, &incarnation->number,
	    sizeof(incarnation->number), peer);
	return peer;
}

peer_t *
share_find_or_add_peer(at_share_t *share, const at_incarnation_t *incarnation)
{
	peer_t *peer = share_find_peer(share, incarnation);

	if (peer == NULL) {
		peer = calloc(1, sizeof(*peer));
		if (peer == NULL)
			abort();
		peer->self = *incarnation;
		HASH_ADD(hh, share->peers, self.number,
		    sizeof(peer->self.number), peer);
	}
	peer->contact_ms = share->now_ms;
	return peer;
}

int64_t
share_own_ppb(const at_share_t *share)
{
	int64_t own_ppb = share->gross_ppb - share->lent_ppb;

	/* It exceeds the whole only after a grant from another fleet. */
	if (own_ppb > AT_PPB_WHOLE)
		return AT_PPB_WHOLE;
	return own_ppb > 0 ? own_ppb : 0;
}

int64_t
share_gross_until_ppb(const at_share_t *share, uint64_t ends_ms)
{
	int64_t gross_ppb = share->floor_ppb;
	const peer_t *peer;

	if (share->lease_expires_ms >= ends_ms)
		gross_ppb += share->lease_ppb;
	for (peer = share->peers; peer != NULL; peer = peer->hh.next)
		gross_ppb += loan_until_ppb(&peer->borrowed, ends_ms);
	return gross_ppb;
}

void
share_refresh(at_share_t *share)
{
	const peer_t *peer;

	share->lent_ppb = 0;
	share->next_end_ms = NO_END;
	share->gross_ppb = share->floor_ppb + share->lease_ppb;
	if (share->lease_ppb > 0)
		share->next_end_ms = share->lease_expires_ms;
	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		share->gross_ppb += loan_ppb(&peer->borrowed);
		share->lent_ppb += loan_ppb(&peer->lent);
		loan_find_end(&peer->borrowed, &share->next_end_ms);
		loan_find_end(&peer->lent, &share->next_end_ms);
	}
	at_bucket_set_share(share->bucket, share_own_ppb(share));
}

static int
is_peer_idle(const peer_t *peer, uint64_t now_ms)
{
	return peer->borrowed.count == 0 && peer->lent.count == 0 &&
	       peer->contact_ms + PEER_IDLE_MS < now_ms;
}

static void
expire_loans(at_share_t *share, uint64_t now_ms)
{
	peer_t *peer;
	peer_t *next;

	if (share->lease_expires_ms <= now_ms)
		share->lease_ppb = 0;
	for (peer = share->peers; peer != NULL; peer = next) {
		next = peer->hh.next;
		loan_expire(&peer->borrowed, now_ms);
		loan_expire(&peer->lent, now_ms);
		if (is_peer_idle(peer, now_ms)) {
			assert(share->peers != NULL);
			HASH_DEL(share->peers, peer);
			free(peer);
		}
	}
	share_refresh(share);
}

/* Ends each grant at its own time, also after a pause of the process. */
void
at_share_advance(at_share_t *share, uint64_t now_ms)
{
	if (now_ms <= share->now_ms)
		return;
	while (share->next_end_ms <= now_ms) {
		uint64_t ends_ms = share->next_end_ms;

		at_bucket_advance(share->bucket, ends_ms);
		share->now_ms = ends_ms;
		expire_loans(share, ends_ms);
	}
	at_bucket_advance(share->bucket, now_ms);
	share->now_ms = now_ms;
}

void
at_share_set_limit(at_share_t *share, uint64_t now_ms, uint64_t rate_tokens_s,
    uint64_t burst_tokens)
{
	at_share_advance(share, now_ms);
	share->rate_tokens_s = rate_tokens_s;
	share->burst_tokens = burst_tokens;
	at_bucket_set_limit(share->bucket, rate_tokens_s, burst_tokens);
}

void
at_share_set_root(at_share_t *share, uint64_t now_ms, int64_t floor_ppb,
    int64_t lease_ppb, uint64_t lease_expires_ms)
{
	at_share_advance(share, now_ms);
	share->floor_ppb = floor_ppb;
	share->lease_ppb = lease_expires_ms > share->now_ms ? lease_ppb : 0;
	share->lease_expires_ms = lease_expires_ms;
	share_refresh(share);
}

void
at_share_set_coordinator(
    at_share_t *share, uint64_t now_ms, const at_incarnation_t *coordinator)
{
	at_share_advance(share, now_ms);
	share->is_coordinator =
	    coordinator == NULL || coordinator->number == share->self.number;
	memset(&share->coordinator, 0, sizeof(share->coordinator));
	if (!share->is_coordinator)
		share->coordinator = *coordinator;
}

void
at_share_set_remote_coordinators(
    at_share_t *share, const at_incarnation_t *remotes, size_t count)
{
	at_incarnation_t *copy = NULL;

	if (count > 0) {
		copy = calloc(count, sizeof(*copy));
		if (copy == NULL)
			return;
		memcpy(copy, remotes, count * sizeof(*copy));
	}
	free(share->remotes);
	share->remotes = copy;
	share->remote_count = count;
	share->next_remote = 0;
}

/*
 * While a grant may be in transit, nothing is returned to its lender, which
 * counts that grant in full and would discard the returned part.
 */
static int
is_grant_in_transit(const at_share_t *share, const peer_t *peer)
{
	return peer->is_grant_awaited &&
	       share->now_ms < peer->awaited_since_ms + GRANT_TIMEOUT_MS;
}

/*
 * Reduces the only grant of a loan towards keep_ppb, but not below what is lent
 * to others.
 */
static void
reduce_borrowed(at_share_t *share, peer_t *peer, int64_t keep_ppb)
{
	grant_t *grant = &peer->borrowed.grants[0];
	int64_t excess_ppb;

	if (peer->borrowed.count != 1 || grant->ppb <= keep_ppb)
		return;
	excess_ppb =
	    share_gross_until_ppb(share, grant->ends_ms) - share->lent_ppb;
	if (excess_ppb > grant->ppb - keep_ppb)
		excess_ppb = grant->ppb - keep_ppb;
	if (excess_ppb > 0)
		grant->ppb -= excess_ppb;
}

void
share_send_request(at_share_t *share, peer_t *peer, int64_t keep_ppb,
    int64_t additional_ppb, int64_t wanted_utok, int64_t spare_ppb)
{
	at_share_message_t request = {.kind = AT_SHARE_REQUEST,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->request_seq,
	    .requested_ms = share->now_ms,
	    .requested_utok = wanted_utok,
	    .spare_ppb = spare_ppb,
	    .keep_ppb = -1};
	int64_t returned_ppb;

	returned_ppb = loan_ppb(&peer->borrowed);
	if (!is_grant_in_transit(share, peer)) {
		loan_compact(share, peer);
		reduce_borrowed(share, peer, keep_ppb);
	}
	returned_ppb -= loan_ppb(&peer->borrowed);
	if (returned_ppb > 0)
		request.level_utok = at_bucket_take(share->bucket,
		    at_bucket_burst_utok(share->bucket, returned_ppb));
	request.requested_ppb = loan_ppb(&peer->borrowed) + additional_ppb;
	if (request.requested_ppb > AT_PPB_WHOLE)
		request.requested_ppb = AT_PPB_WHOLE;
	request.ack = peer->newest_grant;
	if (peer->borrowed.count > 0)
		request.ack = peer->borrowed.grants[0].seq;
	if (peer->borrowed.count <= 1)
		request.keep_ppb = loan_ppb(&peer->borrowed);
	share_refresh(share);
	peer->contact_ms = share->now_ms;
	peer->requested_ms = share->now_ms;
	if (request.requested_ppb > 0) {
		peer->awaited_seq = request.seq;
		peer->awaited_since_ms = share->now_ms;
		peer->is_grant_awaited = 1;
	}
	share->requests_sent++;
	share->port.send(share->port.ctx, &peer->self, &request);
}

int64_t
share_grantable_ppb(
    const at_share_t *share, const peer_t *peer, uint64_t ends_ms)
{
	return share_gross_until_ppb(share, ends_ms) - share->lent_ppb +
	       loan_ppb(&peer->lent);
}

/*
 * Takes the level that is transferred with added_ppb: level_utok, or more
 * where the reduced burst would overflow.
 */
static int64_t
take_level(at_share_t *share, int64_t added_ppb, int64_t level_utok)
{
	int64_t max_utok = at_bucket_burst_utok(share->bucket, added_ppb);
	int64_t own_burst_utok = at_bucket_burst_utok(
	    share->bucket, share_own_ppb(share) - added_ppb);
	int64_t excess_utok =
	    at_bucket_level_utok(share->bucket) - own_burst_utok;

	if (level_utok < excess_utok)
		level_utok = excess_utok;
	if (level_utok > max_utok)
		level_utok = max_utok;
	return at_bucket_take(share->bucket, level_utok);
}

int64_t
share_send_grant(at_share_t *share, peer_t *peer, int64_t total_ppb,
    int64_t level_utok, uint32_t term_ms, int64_t wanted_ppb)
{
	int64_t current_ppb = loan_ppb(&peer->lent);
	at_share_message_t message = {.kind = AT_SHARE_GRANT,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->grant_seq,
	    .requested_ms = peer->open_requested_ms,
	    .request_seq = peer->newest_request,
	    .term_ms = term_ms};
	grant_t grant = {.seq = message.seq,
	    .ends_ms = share->now_ms + at_lender_term_ms(term_ms)};
	int64_t max_ppb = share_grantable_ppb(share, peer, grant.ends_ms);

	if (total_ppb > max_ppb)
		total_ppb = max_ppb > 0 ? max_ppb : 0;
	grant.ppb = total_ppb;
	message.loan_ppb = total_ppb;
	message.has_more = total_ppb < wanted_ppb;
	if (total_ppb > current_ppb) {
		message.added_ppb = total_ppb - current_ppb;
		message.level_utok =
		    take_level(share, message.added_ppb, level_utok);
	}
	loan_add_lent(&peer->lent, &grant);
	share_refresh(share);
	share->grants_sent++;
	share->port.send(share->port.ctx, &peer->self, &message);
	return total_ppb;
}

static void
receive_request(
    at_share_t *share, peer_t *peer, const at_share_message_t *request)
{
	int64_t returned_ppb = loan_ppb(&peer->lent);
	int64_t level_utok;

	if (request->seq <= peer->newest_request)
		return;
	peer->newest_request = request->seq;
	loan_acknowledge(&peer->lent, request->ack, request->keep_ppb);
	returned_ppb -= loan_ppb(&peer->lent);
	share_refresh(share);
	level_utok = at_bucket_burst_utok(share->bucket, returned_ppb);
	if (level_utok > request->level_utok)
		level_utok = request->level_utok;
	if (level_utok > 0)
		at_bucket_add(share->bucket, level_utok);
	policy_on_request(share, peer, request);
	if (returned_ppb > 0 && share->port.on_changed != NULL)
		share->port.on_changed(share->port.ctx);
}

static void
receive_grant(at_share_t *share, peer_t *peer, const at_share_message_t *grant)
{
	uint64_t ends_ms = grant->requested_ms + grant->term_ms;
	grant_t borrowed = {grant->seq, grant->loan_ppb, ends_ms};
	int64_t level_utok;

	if (grant->seq <= peer->newest_grant || ends_ms <= share->now_ms)
		return;
	if (peer->borrowed.count == GRANTS_MAX)
		loan_compact(share, peer);
	if (!loan_add_borrowed(&peer->borrowed, &borrowed))
		return;
	peer->newest_grant = grant->seq;
	if (grant->request_seq >= peer->awaited_seq && !grant->has_more)
		peer->is_grant_awaited = 0;
	peer->term_ms = grant->term_ms;
	share_refresh(share);
	level_utok = at_bucket_burst_utok(share->bucket, grant->added_ppb);
	if (level_utok > grant->level_utok)
		level_utok = grant->level_utok;
	if (level_utok > 0)
		at_bucket_add(share->bucket, level_utok);
	if (grant->added_ppb > 0)
		policy_on_grant(share);
	if (share->port.on_changed != NULL)
		share->port.on_changed(share->port.ctx);
}

/* Returns whether a grant would give this instance more than the whole. */
static int
exceeds_whole(const at_share_t *share, const peer_t *peer,
    const at_share_message_t *grant)
{
	int64_t added_ppb = grant->loan_ppb - loan_ppb(&peer->borrowed);

	return added_ppb > 0 &&
	       share->gross_ppb - share->lent_ppb + added_ppb > AT_PPB_WHOLE;
}

static int
is_fraction(int64_t ppb)
{
	return ppb >= 0 && ppb <= AT_PPB_WHOLE;
}

static int
is_valid_message(const at_share_message_t *message)
{
	return is_fraction(message->requested_ppb) &&
	       is_fraction(message->spare_ppb) &&
	       is_fraction(message->loan_ppb) &&
	       is_fraction(message->added_ppb) && message->level_utok >= 0 &&
	       message->requested_utok >= 0 && message->keep_ppb >= -1 &&
	       message->keep_ppb <= AT_PPB_WHOLE &&
	       message->term_ms <= AT_IDLE_LOAN_TERM_MS;
}

int
at_share_receive(at_share_t *share, uint64_t now_ms,
    const at_incarnation_t *from, const at_share_message_t *message)
{
	peer_t *peer;

	at_share_advance(share, now_ms);
	if (message->to != share->self.number ||
	    message->from != from->number ||
	    from->number == share->self.number || !is_valid_message(message))
		return 0;
	peer = share_find_or_add_peer(share, from);
	if (message->kind == AT_SHARE_REQUEST) {
		receive_request(share, peer, message);
	} else if (message->kind == AT_SHARE_GRANT) {
		if (exceeds_whole(share, peer, message))
			return -1;
		receive_grant(share, peer, message);
	}
	return 0;
}

void
at_share_tick(at_share_t *share, uint64_t now_ms)
{
	at_share_advance(share, now_ms);
	policy_tick(share);
}

void
at_share_leave(at_share_t *share, uint64_t now_ms)
{
	at_share_advance(share, now_ms);
	share->is_leaving = 1;
	policy_tick(share);
}

at_admit_t
at_share_admit(at_share_t *share, uint64_t now_ms, uint64_t cost_tokens,
    at_debit_t **debit)
{
	/* The level stays below the burst by up to 1 ms of the rate. */
	uint64_t step_tokens = (share->rate_tokens_s + 999u) / 1000u;

	*debit = NULL;
	at_share_advance(share, now_ms);
	if (cost_tokens + step_tokens > share->burst_tokens)
		return AT_ADMIT_OVER_BURST;
	*debit = at_bucket_debit(share->bucket, cost_tokens);
	if (*debit != NULL) {
		policy_on_debit(share, cost_tokens);
		return AT_ADMIT_OK;
	}
	policy_on_insufficient(share, cost_tokens);
	return AT_ADMIT_INSUFFICIENT;
}

void
at_share_settle(
    at_share_t *share, uint64_t now_ms, at_debit_t *debit, uint64_t used_tokens)
{
	at_share_advance(share, now_ms);
	if (at_bucket_settle(share->bucket, debit, used_tokens) > 0 &&
	    share->port.on_changed != NULL)
		share->port.on_changed(share->port.ctx);
}

uint32_t
at_share_retry_after_ms(const at_share_t *share, uint64_t cost_tokens)
{
	int64_t missing_utok = (int64_t)cost_tokens * AT_UTOK_PER_TOKEN -
			       at_bucket_level_utok(share->bucket);
	uint64_t wait_ms;

	if (missing_utok <= 0 || share->rate_tokens_s == 0)
		return missing_utok <= 0 ? RETRY_AFTER_MIN_MS
					 : RETRY_AFTER_MAX_MS;
	/* The refill in utok per ms is 1000 times the rate in tokens per s. */
	wait_ms = (uint64_t)missing_utok / (share->rate_tokens_s * 1000u) + 1;
	if (wait_ms < RETRY_AFTER_MIN_MS)
		return RETRY_AFTER_MIN_MS;
	return wait_ms > RETRY_AFTER_MAX_MS ? RETRY_AFTER_MAX_MS
					    : (uint32_t)wait_ms;
}

int64_t
at_share_lent_ppb(const at_share_t *share)
{
	return share->lent_ppb;
}

void
at_share_view(const at_share_t *share, at_share_view_t *view)
{
	memset(view, 0, sizeof(*view));
	view->floor_ppb = share->floor_ppb;
	view->lease_ppb = share->lease_ppb;
	view->borrowed_ppb =
	    share->gross_ppb - share->floor_ppb - share->lease_ppb;
	view->lent_ppb = share->lent_ppb;
	view->own_ppb = share_own_ppb(share);
	view->level_utok = at_bucket_level_utok(share->bucket);
	view->target_ppb = policy_target_ppb(share);
	view->requests_sent = share->requests_sent;
	view->grants_sent = share->grants_sent;
}
