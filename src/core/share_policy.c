#include "core/share_impl.h"

#define WINDOW_MS 500u      /* over which demand is counted */
#define COST_HOLD_MS 1000u  /* how long a request's cost is remembered */
#define SHORT_GAP_MS 20u    /* between two asks for a waiting request */
#define DEFICIT_GAP_MS 200u /* between two asks ahead of need */
#define REPORT_GAP_MS 1000u /* between two offers of spare share */
#define DRAW_GAP_MS 500u    /* between two asks for one peer's spare */
#define OPEN_MS 200u        /* how long an ask may be met later */
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

/* tokens as a fraction of whole, rounded up and at most AT_PPB. */
static int64_t
fraction(uint64_t tokens, uint64_t whole)
{
	if (whole == 0 || tokens >= whole)
		return AT_PPB;
	return (int64_t)(((__int128)tokens * AT_PPB + whole - 1) / whole);
}

static int64_t
burst_fraction(const at_share_t *share, int64_t utok)
{
	uint64_t tokens = (uint64_t)(utok + AT_UTOK - 1) / AT_UTOK;

	return fraction(tokens, share->burst_tokens);
}

int64_t
policy_need_ppb(const at_share_t *share)
{
	int64_t need = share->demand_ppb + share->demand_ppb / 2;

	if (share->now_ms < share->cost_ms + COST_HOLD_MS)
		need = greatest(need, 2 * share->cost_ppb);
	return least(need, AT_PPB);
}

/* The need, and what open debits may give back. */
static int64_t
use_ppb(const at_share_t *share)
{
	int64_t rights_utok = at_bucket_rights_utok(share->bucket);
	int64_t need = policy_need_ppb(share);

	if (rights_utok <= 0)
		return need;
	return least(need + burst_fraction(share, rights_utok), AT_PPB);
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

static void
ask_for(at_share_t *share, peer_t *peer, int64_t more_ppb, int64_t need_utok)
{
	int64_t want = loan_ppb(&peer->borrowed) + more_ppb;

	share_ask(share, peer, AT_PPB, least(want, AT_PPB), need_utok, 0);
}

/* A home that is short asks the others for more than their part. */
static void
ask_remotes(at_share_t *share, int64_t short_ppb, uint32_t gap_ms)
{
	int64_t part;
	size_t i;

	if (!share->is_home || share->leaving || share->remote_count == 0 ||
	    short_ppb <= 0 ||
	    (share->remotes_asked_ms != 0 &&
		share->now_ms < share->remotes_asked_ms + gap_ms))
		return;
	share->remotes_asked_ms = share->now_ms;
	part = 2 * short_ppb / (int64_t)share->remote_count + 1;
	part = least(part, short_ppb);
	for (i = 0; i < share->remote_count; i++)
		ask_for(share, share_find_or_add(share, &share->remotes[i]),
		    part, at_bucket_burst_utok(share->bucket, part));
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
	share_ask(share, peer, keep, keep, 0, 0);
	return before - loan_ppb(&peer->borrowed);
}

/* What may be lent to peer for a term, own need kept back. */
static int64_t
available(const at_share_t *share, const peer_t *peer, uint32_t term_ms)
{
	uint64_t ends_ms = share->now_ms + at_lender_term_ms(term_ms);

	return share_grantable(share, peer, ends_ms) - policy_need_ppb(share);
}

/* Meets the last ask of a peer as far as possible. */
static void
serve(at_share_t *share, peer_t *peer)
{
	int64_t present = loan_ppb(&peer->lent);
	int64_t want = peer->open_ppb;
	uint32_t term_ms = AT_LOAN_TERM_MS;
	int64_t total;

	if (share->home.number == peer->self.number)
		term_ms = AT_IDLE_TERM_MS;
	want -= return_own(share, peer, want - present);
	total = available(share, peer, term_ms);
	if (total < want && available(share, peer, term_ms / 4) > total) {
		term_ms /= 4;
		total = available(share, peer, term_ms);
	}
	total = greatest(least(total, want), 0);
	if (total > 0 || present > 0)
		total =
		    share_grant(share, peer, total, peer->open_utok, term_ms);
	share->drawn_ppb += greatest(total - present, 0);
	if (total >= want) {
		peer->open_ppb = 0;
		return;
	}
	share->short_ppb = least(share->short_ppb + want - total, AT_PPB);
	ask_remotes(share, share->short_ppb, SHORT_GAP_MS);
}

void
policy_asked(at_share_t *share, peer_t *peer, const at_share_message_t *ask)
{
	peer->spare_ppb = ask->spare_ppb;
	peer->open_ppb = ask->want_ppb;
	peer->open_utok = ask->need_utok;
	peer->open_asked_ms = ask->asked_ms;
	peer->open_since_ms = share->now_ms;
	if (share->leaving)
		return;
	if (ask->spare_ppb > 0 && share->is_home &&
	    share->now_ms >= peer->asked_ms + DRAW_GAP_MS)
		ask_for(share, peer, ask->spare_ppb, ALL_UTOK);
	if (ask->want_ppb > 0)
		serve(share, peer);
}

void
policy_granted(at_share_t *share, peer_t *peer)
{
	peer_t *other;

	(void)peer;
	share->short_ppb = 0;
	if (share->leaving)
		return;
	for (other = share->peers; other != NULL; other = other->hh.next) {
		if (other->open_ppb > loan_ppb(&other->lent) &&
		    share->now_ms < other->open_since_ms + OPEN_MS)
			serve(share, other);
	}
}

void
policy_short(at_share_t *share, uint64_t cost_tokens, int64_t missing_utok)
{
	int64_t missing_ppb;
	peer_t *home;

	/* A loan costs its borrower up to a clock step of the rate. */
	missing_utok += AT_UTOK + (int64_t)share->rate_tokens_s * 1000;
	missing_ppb = burst_fraction(share, missing_utok);
	share->cost_ppb = greatest(
	    share->cost_ppb, fraction(cost_tokens, share->burst_tokens));
	share->cost_ms = share->now_ms;
	if (share->leaving)
		return;
	if (share->is_home) {
		ask_remotes(share, missing_ppb, SHORT_GAP_MS);
		return;
	}
	if (share->home.number == 0)
		return;
	home = share_find_or_add(share, &share->home);
	if (home->asked_ms == 0 ||
	    share->now_ms >= home->asked_ms + SHORT_GAP_MS)
		ask_for(share, home, missing_ppb, missing_utok);
}

void
policy_debited(at_share_t *share, uint64_t cost_tokens)
{
	int64_t cost_ppb = fraction(cost_tokens, share->burst_tokens);

	share->window_tokens += cost_tokens;
	if (cost_ppb > share->cost_ppb ||
	    share->now_ms >= share->cost_ms + COST_HOLD_MS)
		share->cost_ppb = cost_ppb;
	share->cost_ms = share->now_ms;
}

static void
roll_window(at_share_t *share)
{
	uint64_t elapsed_ms = share->now_ms - share->window_ms;
	uint64_t rate;

	if (elapsed_ms < WINDOW_MS)
		return;
	rate = share->window_tokens * AT_MS_PER_S / elapsed_ms;
	share->demand_ppb = greatest(share->demand_ppb / 2,
	    rate == 0 ? 0 : fraction(rate, share->rate_tokens_s));
	share->reserve_ppb =
	    least(greatest(share->reserve_ppb / 2, share->drawn_ppb), AT_PPB);
	share->window_ms = share->now_ms;
	share->window_tokens = 0;
	share->drawn_ppb = 0;
	share->short_ppb = 0;
}

/* Returns what was borrowed beyond the need, from any peer that may be. */
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
		share_ask(share, peer, keep, keep, 0, 0);
		surplus -= before - loan_ppb(&peer->borrowed);
	}
	return surplus;
}

static void
renew(at_share_t *share)
{
	peer_t *peer;

	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		const loan_t *loan = &peer->borrowed;

		if (loan_ppb(loan) > 0 &&
		    loan->grants[loan->count - 1].ends_ms <
			share->now_ms + peer->term_ms / 2 &&
		    share->now_ms >= peer->asked_ms + DEFICIT_GAP_MS)
			ask_for(share, peer, 0, 0);
	}
}

static void
tick_home(at_share_t *share)
{
	int64_t target = least(use_ppb(share) + share->reserve_ppb, AT_PPB);
	int64_t own = share_own_ppb(share);

	if (own < target)
		ask_remotes(share, target - own, DEFICIT_GAP_MS);
	else if (own - target > target / 2)
		(void)return_surplus(share, own - target - target / 4);
}

static void
tick_member(at_share_t *share)
{
	peer_t *home;
	int64_t use = use_ppb(share);
	int64_t own = share_own_ppb(share);
	int64_t surplus = own - use - use / 4;

	if (own > use + use / 2 && surplus > SPARE_MIN_PPB)
		surplus = return_surplus(share, surplus);
	if (share->home.number == 0)
		return;
	home = share_find_or_add(share, &share->home);
	if (policy_need_ppb(share) > own) {
		int64_t more = policy_need_ppb(share) - own;

		if (share->now_ms >= home->asked_ms + DEFICIT_GAP_MS)
			ask_for(share, home, more,
			    at_bucket_burst_utok(share->bucket, more));
		return;
	}
	if (surplus <= SPARE_MIN_PPB ||
	    share->now_ms < share->reported_ms + REPORT_GAP_MS)
		return;
	share->reported_ms = share->now_ms;
	share_ask(share, home, AT_PPB, loan_ppb(&home->borrowed), 0,
	    least(surplus, AT_PPB));
}

void
policy_tick(at_share_t *share)
{
	roll_window(share);
	if (share->leaving) {
		(void)return_surplus(share, AT_PPB);
		return;
	}
	renew(share);
	if (share->is_home)
		tick_home(share);
	else
		tick_member(share);
}
