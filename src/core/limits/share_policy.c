#include "core/limits/share_impl.h"

#define WINDOW_MS 500u      /* over which demand is counted */
#define SMOOTHING 4         /* windows over which it is smoothed */
#define AHEAD_MS 3000u      /* demand for which level is kept ready */
#define COST_HOLD_MS 2000u  /* how long a request's cost is remembered */
#define SHORT_GAP_MS 10u    /* between two asks for a waiting request */
#define LOW_GAP_MS 500u     /* between two asks for a low level */
#define RETURN_GAP_MS 1000u /* between two returns of surplus */
#define DRAW_GAP_MS 200u    /* between two asks for one peer's spare */
#define OPEN_MS 100u        /* how long an ask may be met later */
#define SPARE_MIN_PPB 10000 /* not worth a message */
#define ALL_UTOK (INT64_MAX / 4)

static int64_t
least(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t
greatest(int64_t a, int64_t b)
{
	return a > b ? a : b;
}

/* The fraction of the burst that holds utok, at most the whole. */
static int64_t
fraction(const at_share_t *share, int64_t utok)
{
	__int128 whole = (__int128)share->burst_tokens * AT_UTOK_PER_TOKEN;

	if (utok <= 0)
		return 0;
	if (utok >= whole)
		return AT_PPB_WHOLE;
	return (int64_t)(((__int128)utok * AT_PPB_WHOLE + whole - 1) / whole);
}

/* The level to be kept ready for this instance's callers. */
static int64_t
target_utok(const at_share_t *share)
{
	uint64_t tokens = share->demand_tokens_s * AHEAD_MS / AT_MS_PER_S;

	if (share->now_ms >= share->cost_ms + COST_HOLD_MS)
		return 0;
	if (tokens < share->cost_tokens)
		tokens = share->cost_tokens;
	return (int64_t)tokens * AT_UTOK_PER_TOKEN;
}

int64_t
policy_use_ppb(const at_share_t *share)
{
	return fraction(share,
	    target_utok(share) + at_bucket_refundable_utok(share->bucket));
}

static int
is_remote(const at_share_t *share, const peer_t *peer)
{
	size_t i;

	for (i = 0; i < share->remote_count; i++) {
		if (share->remotes[i].number == peer->self.number)
			return 1;
	}
	return 0;
}

/* What is held beyond level and rights: room without tokens. */
static int64_t
empty_ppb(const at_share_t *share)
{
	int64_t used_utok = greatest(at_bucket_level_utok(share->bucket), 0) +
			    at_bucket_refundable_utok(share->bucket) * 5 / 4;

	return greatest(share_own_ppb(share) - fraction(share, used_utok), 0);
}

/* Returns empty room and asks for a full one. */
static void
ask_for_level(at_share_t *share, peer_t *peer, int64_t need_utok)
{
	int64_t present = loan_ppb(&peer->borrowed);
	int64_t keep = present - least(present, empty_ppb(share));

	/* A loan costs its borrower up to a clock step of the rate. */
	need_utok += AT_UTOK_PER_TOKEN + (int64_t)share->rate_tokens_s * 1000;
	share_ask(share, peer, keep, fraction(share, need_utok), need_utok, 0);
}

/* A home that is short asks the other homes, each for a part. */
static void
ask_remotes(at_share_t *share, int64_t need_utok, uint32_t gap_ms)
{
	int64_t part;
	size_t i;

	if (!share->is_home || share->leaving || share->remote_count == 0 ||
	    need_utok <= 0 ||
	    (share->remotes_asked_ms != 0 &&
		share->now_ms < share->remotes_asked_ms + gap_ms))
		return;
	share->remotes_asked_ms = share->now_ms;
	part = least(
	    2 * (need_utok / (int64_t)share->remote_count) + 1, need_utok);
	for (i = 0; i < share->remote_count; i++)
		ask_for_level(
		    share, share_find_or_add(share, &share->remotes[i]), part);
}

/* A home that is short asks its members for what they have offered. */
static void
draw_spares(at_share_t *share)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		if (peer->spare_ppb <= 0 ||
		    share->now_ms < peer->asked_ms + DRAW_GAP_MS)
			continue;
		share_ask(
		    share, peer, AT_PPB_WHOLE, peer->spare_ppb, ALL_UTOK, 0);
		peer->spare_ppb = 0;
	}
}

/* Returns a peer's own share before lending it another's. */
static int64_t
return_own(at_share_t *share, peer_t *peer, int64_t want_ppb)
{
	int64_t before = loan_ppb(&peer->borrowed);
	int64_t keep;

	if (want_ppb <= 0 || before == 0)
		return 0;
	keep = before - least(want_ppb, before);
	share_ask(share, peer, keep, 0, 0, 0);
	return before - loan_ppb(&peer->borrowed);
}

/* No more room than there are tokens for, when tokens are wished for. */
static int64_t
worth_lending(const at_share_t *share, const peer_t *peer, int64_t want)
{
	int64_t present = loan_ppb(&peer->lent);
	int64_t level = at_bucket_level_utok(share->bucket);

	if (peer->open_utok <= 0 || peer->open_utok == ALL_UTOK)
		return want;
	return least(want, present + fraction(share, level));
}

static uint32_t
term_for(const at_share_t *share, const peer_t *peer)
{
	if (share->home.number == peer->self.number)
		return AT_IDLE_LOAN_TERM_MS;
	return is_remote(share, peer) ? AT_COORDINATOR_TERM_MS
				      : AT_LOAN_TERM_MS;
}

/* What of want_ppb can be lent to peer now; a loan shrinks only in need. */
static int64_t
lendable(const at_share_t *share, const peer_t *peer, int64_t want_ppb)
{
	uint32_t term_ms = term_for(share, peer);
	uint64_t ends_ms = share->now_ms + at_lender_term_ms(term_ms);
	int64_t most = share_grantable(share, peer, ends_ms);
	int64_t total = most - policy_use_ppb(share);

	if (at_bucket_level_utok(share->bucket) >= target_utok(share) / 2)
		total = greatest(total, least(most, loan_ppb(&peer->lent)));
	return greatest(least(total, worth_lending(share, peer, want_ppb)), 0);
}

/* Meets the last ask of a peer as far as possible. */
static void
serve(at_share_t *share, peer_t *peer)
{
	int64_t present = loan_ppb(&peer->lent);
	int64_t want = peer->open_ppb;
	int64_t total;

	want -= return_own(share, peer, want - present);
	total = share_grant(share, peer, lendable(share, peer, want),
	    peer->open_utok, term_for(share, peer), want);
	if (total > present)
		share->drawn_utok +=
		    at_bucket_burst_utok(share->bucket, total - present);
	peer->open_ppb = total < want ? want : 0;
	if (total >= want)
		return;
	draw_spares(share);
	ask_remotes(share, at_bucket_burst_utok(share->bucket, want - total),
	    SHORT_GAP_MS);
}

void
policy_asked(at_share_t *share, peer_t *peer, const at_share_message_t *ask)
{
	peer->spare_ppb = ask->spare_ppb;
	peer->open_ppb = ask->requested_ppb;
	peer->open_utok = ask->requested_utok;
	peer->open_asked_ms = ask->requested_ms;
	peer->open_since_ms = share->now_ms;
	if (share->leaving)
		return;
	if (ask->spare_ppb > 0 && share->is_home)
		draw_spares(share);
	if (ask->requested_ppb > 0)
		serve(share, peer);
}

void
policy_granted(at_share_t *share)
{
	peer_t *other;

	if (share->leaving)
		return;
	for (other = share->peers; other != NULL; other = other->hh.next) {
		if (other->open_ppb > loan_ppb(&other->lent) &&
		    share->now_ms < other->open_since_ms + OPEN_MS &&
		    lendable(share, other, other->open_ppb) >
			loan_ppb(&other->lent))
			serve(share, other);
	}
}

/* Asks whoever may have tokens, not more often than each gap_ms. */
static void
replenish(at_share_t *share, int64_t need_utok, uint32_t gap_ms)
{
	peer_t *home;

	if (share->leaving || need_utok <= 0)
		return;
	if (share->is_home) {
		draw_spares(share);
		ask_remotes(share, need_utok, gap_ms);
		return;
	}
	if (share->home.number == 0)
		return;
	home = share_find_or_add(share, &share->home);
	if (home->asked_ms == 0 || share->now_ms >= home->asked_ms + gap_ms)
		ask_for_level(share, home, need_utok);
}

static void
note_cost(at_share_t *share, uint64_t cost_tokens)
{
	if (cost_tokens > share->cost_tokens ||
	    share->now_ms >= share->cost_ms + COST_HOLD_MS)
		share->cost_tokens = cost_tokens;
	share->cost_ms = share->now_ms;
}

void
policy_short(at_share_t *share, uint64_t cost_tokens)
{
	int64_t need_utok;

	note_cost(share, cost_tokens);
	need_utok = greatest(
	    target_utok(share), (int64_t)cost_tokens * AT_UTOK_PER_TOKEN);
	replenish(share, need_utok - at_bucket_level_utok(share->bucket),
	    SHORT_GAP_MS);
}

void
policy_debited(at_share_t *share, uint64_t cost_tokens)
{
	share->window_tokens += cost_tokens;
	note_cost(share, cost_tokens);
}

static void
roll_window(at_share_t *share)
{
	uint64_t elapsed_ms = share->now_ms - share->window_ms;
	uint64_t tokens_s;
	int64_t drawn_utok_s;

	if (elapsed_ms < WINDOW_MS)
		return;
	tokens_s = share->window_tokens * AT_MS_PER_S / elapsed_ms;
	share->demand_tokens_s =
	    (share->demand_tokens_s * (SMOOTHING - 1) + tokens_s) / SMOOTHING;
	drawn_utok_s = share->drawn_utok / (int64_t)elapsed_ms * AT_MS_PER_S;
	share->drawn_utok_s =
	    (share->drawn_utok_s * (SMOOTHING - 1) + drawn_utok_s) / SMOOTHING;
	share->window_ms = share->now_ms;
	share->window_tokens = 0;
	share->drawn_utok = 0;
}

/* Returns what was borrowed beyond the use, from any peer that may be. */
static int64_t
return_surplus(at_share_t *share, int64_t surplus)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		int64_t before = loan_ppb(&peer->borrowed);
		int64_t keep = before - least(surplus, before);

		if (before == 0 || surplus <= SPARE_MIN_PPB)
			continue;
		if (share->is_home && !share->leaving &&
		    !is_remote(share, peer))
			continue;
		share_ask(share, peer, keep, 0, 0, 0);
		surplus -= before - loan_ppb(&peer->borrowed);
	}
	return surplus;
}

/* A loan is asked for anew at half its term, or when it shrinks. */
static void
renew(at_share_t *share)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		const loan_t *loan = &peer->borrowed;
		const grant_t *newest;

		if (loan->count == 0 ||
		    share->now_ms < peer->asked_ms + LOW_GAP_MS)
			continue;
		newest = &loan->grants[loan->count - 1];
		if (newest->ppb > 0 &&
		    (loan->count > 1 ||
			newest->ends_ms < share->now_ms + peer->term_ms / 2))
			share_ask(share, peer, AT_PPB_WHOLE, 0, 0, 0);
	}
}

static void
offer(at_share_t *share, int64_t spare_ppb)
{
	peer_t *home;

	if (share->home.number == 0 || spare_ppb <= SPARE_MIN_PPB)
		return;
	home = share_find_or_add(share, &share->home);
	share_ask(
	    share, home, AT_PPB_WHOLE, 0, 0, least(spare_ppb, AT_PPB_WHOLE));
}

/* Asks for up to most_ppb of what was lent to each peer. */
static void
call_back(at_share_t *share, int64_t most_ppb)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		int64_t lent = loan_ppb(&peer->lent);

		if (lent > 0 && share->now_ms >= peer->asked_ms + LOW_GAP_MS)
			share_ask(share, peer,
			    share->leaving ? 0 : AT_PPB_WHOLE,
			    least(lent, most_ppb), 0, 0);
	}
}

void
policy_tick(at_share_t *share)
{
	int64_t target;
	int64_t use;
	int64_t surplus;

	roll_window(share);
	if (share->leaving) {
		(void)return_surplus(share, AT_PPB_WHOLE);
		call_back(share, AT_PPB_WHOLE);
		return;
	}
	renew(share);
	target = target_utok(share);
	/*
	 * A floor that shrank may be less than what was lent of it. Without
	 * demand that is left to the loans' terms.
	 */
	if (share->lent_ppb > share->cap_ppb &&
	    (target > 0 || share->drawn_utok_s > 0))
		call_back(share, share->lent_ppb - share->cap_ppb);
	use = policy_use_ppb(share);
	if (share->is_home) {
		target += share->drawn_utok_s;
		use = least(use + fraction(share, 2 * share->drawn_utok_s),
		    AT_PPB_WHOLE);
	}
	if (at_bucket_level_utok(share->bucket) < target / 2)
		replenish(share, target - at_bucket_level_utok(share->bucket),
		    LOW_GAP_MS);
	surplus = share_own_ppb(share) - use - use / 4;
	if (surplus <= SPARE_MIN_PPB ||
	    share->now_ms < share->returned_ms + RETURN_GAP_MS)
		return;
	share->returned_ms = share->now_ms;
	surplus = return_surplus(share, surplus);
	if (!share->is_home)
		offer(share, surplus);
}
