#include "core/limits/share_impl.h"

/* Length of the windows in which demand is counted. */
#define DEMAND_WINDOW_MS 500u
/* The last window has a weight of 1 / DECAY_WINDOWS in the averages. */
#define DECAY_WINDOWS 4
/* An instance keeps enough level for its demand in this time. */
#define LEVEL_DEMAND_MS 3000u
/* An instance keeps no level after this time without requests. */
#define LEVEL_IDLE_MS 2000u
/* Shortest time between requests for level that a debit or a peer waits for. */
#define DEBIT_REQUEST_GAP_MS 10u
/* Shortest time between requests to one peer for other reasons. */
#define REQUEST_GAP_MS 500u
/* Shortest time between two returns of surplus. */
#define RETURN_GAP_MS 1000u
/* Shortest time between two requests to a peer for the share it offers. */
#define SPARE_REQUEST_GAP_MS 200u
/* Time within which a peer's request can be granted from a new loan. */
#define OPEN_REQUEST_MS 100u
/* A surplus up to this size is kept, as it is not worth a message. */
#define SPARE_MIN_PPB 10000
/* Requests all the level that the loan allows. */
#define UNLIMITED_UTOK (INT64_MAX / 4)

static int64_t
min_i64(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
max_i64(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* Returns the fraction of the burst that holds utok, at most the whole. */
static int64_t
burst_fraction_ppb(const at_share_t *share, int64_t utok)
{
	__int128 whole = (__int128)share->burst_tokens * AT_UTOK_PER_TOKEN;

	if (utok <= 0)
		return 0;
	if (utok >= whole)
		return AT_PPB_WHOLE;
	return (int64_t)(((__int128)utok * AT_PPB_WHOLE + whole - 1) / whole);
}

/* Returns the level to be kept for this instance's callers. */
static int64_t
target_level_utok(const at_share_t *share)
{
	uint64_t tokens =
	    share->demand_tokens_s * LEVEL_DEMAND_MS / AT_MS_PER_S;

	if (share->now_ms >= share->cost_ms + LEVEL_IDLE_MS)
		return 0;
	if (tokens < share->cost_tokens)
		tokens = share->cost_tokens;
	return (int64_t)tokens * AT_UTOK_PER_TOKEN;
}

int64_t
policy_target_ppb(const at_share_t *share)
{
	return burst_fraction_ppb(
	    share, target_level_utok(share) +
		       at_bucket_refundable_utok(share->bucket));
}

static int
is_remote_coordinator(const at_share_t *share, const peer_t *peer)
{
	size_t i;

	for (i = 0; i < share->remote_count; i++) {
		if (share->remotes[i].number == peer->self.number)
			return 1;
	}
	return 0;
}

/*
 * Returns the part of this instance's share that is needed neither for the
 * level nor for refunds, to which a quarter is added.
 */
static int64_t
unfilled_ppb(const at_share_t *share)
{
	int64_t used_utok = max_i64(at_bucket_level_utok(share->bucket), 0) +
			    at_bucket_refundable_utok(share->bucket) * 5 / 4;

	return max_i64(
	    share_own_ppb(share) - burst_fraction_ppb(share, used_utok), 0);
}

/* Requests a loan with level, and returns the part that has no level. */
static void
request_level(at_share_t *share, peer_t *peer, int64_t wanted_utok)
{
	int64_t current_ppb = loan_ppb(&peer->borrowed);
	int64_t keep_ppb =
	    current_ppb - min_i64(current_ppb, unfilled_ppb(share));

	/* A loan takes up to 1 ms of the rate from the borrower's level. */
	wanted_utok += AT_UTOK_PER_TOKEN + (int64_t)share->rate_tokens_s * 1000;
	share_send_request(share, peer, keep_ppb,
	    burst_fraction_ppb(share, wanted_utok), wanted_utok, 0);
}

/*
 * Requests a part of the level from each remote coordinator, if this instance
 * is a coordinator.
 */
static void
request_from_remotes(at_share_t *share, int64_t wanted_utok, uint32_t gap_ms)
{
	int64_t part_utok;
	size_t i;

	if (!share->is_coordinator || share->is_leaving ||
	    share->remote_count == 0 || wanted_utok <= 0 ||
	    (share->remotes_requested_ms != 0 &&
		share->now_ms < share->remotes_requested_ms + gap_ms))
		return;
	share->remotes_requested_ms = share->now_ms;
	part_utok = min_i64(
	    2 * (wanted_utok / (int64_t)share->remote_count) + 1, wanted_utok);
	for (i = 0; i < share->remote_count; i++)
		request_level(share,
		    share_find_or_add_peer(share, &share->remotes[i]),
		    part_utok);
}

/* Requests the idle shares that peers have offered to this coordinator. */
static void
request_spares(at_share_t *share)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		if (peer->spare_ppb <= 0 ||
		    share->now_ms < peer->requested_ms + SPARE_REQUEST_GAP_MS)
			continue;
		share_send_request(share, peer, AT_PPB_WHOLE, peer->spare_ppb,
		    UNLIMITED_UTOK, 0);
		peer->spare_ppb = 0;
	}
}

/*
 * Returns to a peer that requests a loan what was borrowed from it, before
 * anything else is lent to it. Returns the part returned.
 */
static int64_t
return_loan_of(at_share_t *share, peer_t *peer, int64_t wanted_ppb)
{
	int64_t before_ppb = loan_ppb(&peer->borrowed);
	int64_t keep_ppb;

	if (wanted_ppb <= 0 || before_ppb == 0)
		return 0;
	keep_ppb = before_ppb - min_i64(wanted_ppb, before_ppb);
	share_send_request(share, peer, keep_ppb, 0, 0, 0);
	return before_ppb - loan_ppb(&peer->borrowed);
}

/*
 * Limits a loan that is requested for the sake of level to the level available
 * here.
 */
static int64_t
limit_to_level(const at_share_t *share, const peer_t *peer, int64_t wanted_ppb)
{
	int64_t current_ppb = loan_ppb(&peer->lent);
	int64_t level_utok = at_bucket_level_utok(share->bucket);

	if (peer->open_utok <= 0 || peer->open_utok == UNLIMITED_UTOK)
		return wanted_ppb;
	return min_i64(
	    wanted_ppb, current_ppb + burst_fraction_ppb(share, level_utok));
}

static uint32_t
loan_term_ms(const at_share_t *share, const peer_t *peer)
{
	if (share->coordinator.number == peer->self.number)
		return AT_IDLE_LOAN_TERM_MS;
	return is_remote_coordinator(share, peer) ? AT_COORDINATOR_TERM_MS
						  : AT_LOAN_TERM_MS;
}

/*
 * Returns the part of wanted_ppb that can be lent to the peer now. The present
 * loan is reduced only while the level is below half its target.
 */
static int64_t
lendable_ppb(const at_share_t *share, const peer_t *peer, int64_t wanted_ppb)
{
	uint32_t term_ms = loan_term_ms(share, peer);
	uint64_t ends_ms = share->now_ms + at_lender_term_ms(term_ms);
	int64_t max_ppb = share_grantable_ppb(share, peer, ends_ms);
	int64_t total_ppb = max_ppb - policy_target_ppb(share);

	if (at_bucket_level_utok(share->bucket) >= target_level_utok(share) / 2)
		total_ppb =
		    max_i64(total_ppb, min_i64(max_ppb, loan_ppb(&peer->lent)));
	return max_i64(
	    min_i64(total_ppb, limit_to_level(share, peer, wanted_ppb)), 0);
}

/* Grants the open request of a peer as far as possible. */
static void
grant_open_request(at_share_t *share, peer_t *peer)
{
	int64_t current_ppb = loan_ppb(&peer->lent);
	int64_t wanted_ppb = peer->open_ppb;
	int64_t total_ppb;

	wanted_ppb -= return_loan_of(share, peer, wanted_ppb - current_ppb);
	total_ppb =
	    share_send_grant(share, peer, lendable_ppb(share, peer, wanted_ppb),
		peer->open_utok, loan_term_ms(share, peer), wanted_ppb);
	if (total_ppb > current_ppb)
		share->lent_utok += at_bucket_burst_utok(
		    share->bucket, total_ppb - current_ppb);
	peer->open_ppb = total_ppb < wanted_ppb ? wanted_ppb : 0;
	if (total_ppb >= wanted_ppb)
		return;
	request_spares(share);
	request_from_remotes(share,
	    at_bucket_burst_utok(share->bucket, wanted_ppb - total_ppb),
	    DEBIT_REQUEST_GAP_MS);
}

void
policy_on_request(
    at_share_t *share, peer_t *peer, const at_share_message_t *request)
{
	peer->spare_ppb = request->spare_ppb;
	peer->open_ppb = request->requested_ppb;
	peer->open_utok = request->requested_utok;
	peer->open_requested_ms = request->requested_ms;
	peer->open_received_ms = share->now_ms;
	if (share->is_leaving)
		return;
	if (request->spare_ppb > 0 && share->is_coordinator)
		request_spares(share);
	if (request->requested_ppb > 0)
		grant_open_request(share, peer);
}

void
policy_on_grant(at_share_t *share)
{
	peer_t *other;

	if (share->is_leaving)
		return;
	for (other = share->peers; other != NULL; other = other->hh.next) {
		if (other->open_ppb > loan_ppb(&other->lent) &&
		    share->now_ms < other->open_received_ms + OPEN_REQUEST_MS &&
		    lendable_ppb(share, other, other->open_ppb) >
			loan_ppb(&other->lent))
			grant_open_request(share, other);
	}
}

/* Requests level from the peers that may have it, at most once in gap_ms. */
static void
request_more_level(at_share_t *share, int64_t wanted_utok, uint32_t gap_ms)
{
	peer_t *coordinator;

	if (share->is_leaving || wanted_utok <= 0)
		return;
	if (share->is_coordinator) {
		request_spares(share);
		request_from_remotes(share, wanted_utok, gap_ms);
		return;
	}
	if (share->coordinator.number == 0)
		return;
	coordinator = share_find_or_add_peer(share, &share->coordinator);
	if (coordinator->requested_ms == 0 ||
	    share->now_ms >= coordinator->requested_ms + gap_ms)
		request_level(share, coordinator, wanted_utok);
}

/* Records the largest cost since a pause of LEVEL_IDLE_MS in the requests. */
static void
note_cost(at_share_t *share, uint64_t cost_tokens)
{
	if (cost_tokens > share->cost_tokens ||
	    share->now_ms >= share->cost_ms + LEVEL_IDLE_MS)
		share->cost_tokens = cost_tokens;
	share->cost_ms = share->now_ms;
}

void
policy_on_insufficient(at_share_t *share, uint64_t cost_tokens)
{
	int64_t wanted_utok;

	note_cost(share, cost_tokens);
	wanted_utok = max_i64(
	    target_level_utok(share), (int64_t)cost_tokens * AT_UTOK_PER_TOKEN);
	request_more_level(share,
	    wanted_utok - at_bucket_level_utok(share->bucket),
	    DEBIT_REQUEST_GAP_MS);
}

void
policy_on_debit(at_share_t *share, uint64_t cost_tokens)
{
	share->window_tokens += cost_tokens;
	note_cost(share, cost_tokens);
}

/* Averages demand and loans at the end of a window. */
static void
update_demand(at_share_t *share)
{
	uint64_t elapsed_ms = share->now_ms - share->window_ms;
	uint64_t tokens_s;
	int64_t lent_utok_s;

	if (elapsed_ms < DEMAND_WINDOW_MS)
		return;
	tokens_s = share->window_tokens * AT_MS_PER_S / elapsed_ms;
	share->demand_tokens_s =
	    (share->demand_tokens_s * (DECAY_WINDOWS - 1) + tokens_s) /
	    DECAY_WINDOWS;
	lent_utok_s = share->lent_utok / (int64_t)elapsed_ms * AT_MS_PER_S;
	share->lent_utok_s =
	    (share->lent_utok_s * (DECAY_WINDOWS - 1) + lent_utok_s) /
	    DECAY_WINDOWS;
	share->window_ms = share->now_ms;
	share->window_tokens = 0;
	share->lent_utok = 0;
}

/*
 * Returns up to surplus_ppb of the borrowed loans to their lenders. A
 * coordinator keeps the loans from instances of its data centre. Returns the
 * surplus that remains.
 */
static int64_t
return_surplus(at_share_t *share, int64_t surplus_ppb)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		int64_t before_ppb = loan_ppb(&peer->borrowed);
		int64_t keep_ppb =
		    before_ppb - min_i64(surplus_ppb, before_ppb);

		if (before_ppb == 0 || surplus_ppb <= SPARE_MIN_PPB)
			continue;
		if (share->is_coordinator && !share->is_leaving &&
		    !is_remote_coordinator(share, peer))
			continue;
		share_send_request(share, peer, keep_ppb, 0, 0, 0);
		surplus_ppb -= before_ppb - loan_ppb(&peer->borrowed);
	}
	return surplus_ppb;
}

/*
 * Renews loans at half their term, and loans of several grants to have them
 * replaced by one.
 */
static void
renew_loans(at_share_t *share)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		const loan_t *loan = &peer->borrowed;
		const grant_t *newest;

		if (loan->count == 0 ||
		    share->now_ms < peer->requested_ms + REQUEST_GAP_MS)
			continue;
		newest = &loan->grants[loan->count - 1];
		if (newest->ppb > 0 &&
		    (loan->count > 1 ||
			newest->ends_ms < share->now_ms + peer->term_ms / 2))
			share_send_request(share, peer, AT_PPB_WHOLE, 0, 0, 0);
	}
}

static void
offer_spare(at_share_t *share, int64_t spare_ppb)
{
	peer_t *coordinator;

	if (share->coordinator.number == 0 || spare_ppb <= SPARE_MIN_PPB)
		return;
	coordinator = share_find_or_add_peer(share, &share->coordinator);
	share_send_request(share, coordinator, AT_PPB_WHOLE, 0, 0,
	    min_i64(spare_ppb, AT_PPB_WHOLE));
}

/* Requests up to max_ppb of what was lent to each peer. */
static void
recall_loans(at_share_t *share, int64_t max_ppb)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		int64_t lent_ppb = loan_ppb(&peer->lent);

		if (lent_ppb > 0 &&
		    share->now_ms >= peer->requested_ms + REQUEST_GAP_MS)
			share_send_request(share, peer,
			    share->is_leaving ? 0 : AT_PPB_WHOLE,
			    min_i64(lent_ppb, max_ppb), 0, 0);
	}
}

void
policy_tick(at_share_t *share)
{
	int64_t target_utok;
	int64_t used_ppb;
	int64_t surplus_ppb;

	update_demand(share);
	if (share->is_leaving) {
		(void)return_surplus(share, AT_PPB_WHOLE);
		recall_loans(share, AT_PPB_WHOLE);
		return;
	}
	renew_loans(share);
	target_utok = target_level_utok(share);
	/*
	 * A reduced floor may be less than what was lent of it. While there
	 * is demand, the excess is recalled; otherwise it returns when the
	 * loans expire.
	 */
	if (share->lent_ppb > share->gross_ppb &&
	    (target_utok > 0 || share->lent_utok_s > 0))
		recall_loans(share, share->lent_ppb - share->gross_ppb);
	used_ppb = policy_target_ppb(share);
	if (share->is_coordinator) {
		target_utok += share->lent_utok_s;
		used_ppb = min_i64(used_ppb + burst_fraction_ppb(share,
						  2 * share->lent_utok_s),
		    AT_PPB_WHOLE);
	}
	if (at_bucket_level_utok(share->bucket) < target_utok / 2)
		request_more_level(share,
		    target_utok - at_bucket_level_utok(share->bucket),
		    REQUEST_GAP_MS);
	surplus_ppb = share_own_ppb(share) - used_ppb - used_ppb / 4;
	if (surplus_ppb <= SPARE_MIN_PPB ||
	    share->now_ms < share->returned_ms + RETURN_GAP_MS)
		return;
	share->returned_ms = share->now_ms;
	surplus_ppb = return_surplus(share, surplus_ppb);
	if (!share->is_coordinator)
		offer_spare(share, surplus_ppb);
}
