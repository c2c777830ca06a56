#include "core/share_impl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define TERM_MARGIN_PPM 4000u /* over twice the clock error */
#define TERM_MARGIN_MS 2u     /* steps of both clocks */
#define PEER_IDLE_MS (3u * AT_IDLE_TERM_MS)
#define RETRY_MIN_MS 50u
#define RETRY_MAX_MS 60000u

const char *const at_admit_names[] = {"ok", "short", "over_burst"};

uint64_t
at_lender_term_ms(uint64_t term_ms)
{
	return term_ms + term_ms * TERM_MARGIN_PPM / 1000000u + TERM_MARGIN_MS;
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
	share->next_end_ms = NO_TIME;
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
share_find(at_share_t *share, const at_incarnation_t *who)
{
	peer_t *peer;

	HASH_FIND(hh, share->peers, &who->number, sizeof(who->number), peer);
	return peer;
}

peer_t *
share_find_or_add(at_share_t *share, const at_incarnation_t *who)
{
	peer_t *peer = share_find(share, who);

	if (peer == NULL) {
		peer = calloc(1, sizeof(*peer));
		if (peer == NULL)
			abort();
		peer->self = *who;
		HASH_ADD(hh, share->peers, self.number,
		    sizeof(peer->self.number), peer);
	}
	peer->seen_ms = share->now_ms;
	return peer;
}

/* The greatest grant that lasts at least to ends_ms. */
static int64_t
loan_until(const loan_t *loan, uint64_t ends_ms)
{
	int64_t ppb = 0;
	size_t i;

	for (i = 0; i < loan->count; i++) {
		if (loan->grants[i].ends_ms >= ends_ms &&
		    loan->grants[i].ppb > ppb)
			ppb = loan->grants[i].ppb;
	}
	return ppb;
}

int64_t
loan_ppb(const loan_t *loan)
{
	return loan_until(loan, 0);
}

static void
loan_remove(loan_t *loan, size_t index)
{
	loan->count--;
	memmove(&loan->grants[index], &loan->grants[index + 1],
	    (loan->count - index) * sizeof(grant_t));
}

static void
loan_expire(loan_t *loan, uint64_t now_ms)
{
	size_t i = 0;

	while (i < loan->count) {
		if (loan->grants[i].ends_ms <= now_ms)
			loan_remove(loan, i);
		else
			i++;
	}
}

static void
earliest(const loan_t *loan, uint64_t *ends_ms)
{
	size_t i;

	for (i = 0; i < loan->count; i++) {
		if (loan->grants[i].ends_ms < *ends_ms)
			*ends_ms = loan->grants[i].ends_ms;
	}
}

int64_t
share_own_ppb(const at_share_t *share)
{
	int64_t own = share->cap_ppb - share->lent_ppb;

	return own > 0 ? own : 0;
}

int64_t
share_cap_until(const at_share_t *share, uint64_t ends_ms)
{
	int64_t cap = share->floor_ppb;
	const peer_t *peer;

	if (share->lease_expires_ms >= ends_ms)
		cap += share->lease_ppb;
	for (peer = share->peers; peer != NULL; peer = peer->hh.next)
		cap += loan_until(&peer->borrowed, ends_ms);
	return cap;
}

/* Sums the books anew and gives the bucket what is left for own use. */
void
share_refresh(at_share_t *share)
{
	const peer_t *peer;

	share->lent_ppb = 0;
	share->next_end_ms = NO_TIME;
	share->cap_ppb = share->floor_ppb + share->lease_ppb;
	if (share->lease_ppb > 0)
		share->next_end_ms = share->lease_expires_ms;
	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		share->cap_ppb += loan_ppb(&peer->borrowed);
		share->lent_ppb += loan_ppb(&peer->lent);
		earliest(&peer->borrowed, &share->next_end_ms);
		earliest(&peer->lent, &share->next_end_ms);
	}
	at_bucket_set_share(share->bucket, share_own_ppb(share));
}

static int
is_forgotten(const peer_t *peer, uint64_t now_ms)
{
	return peer->borrowed.count == 0 && peer->lent.count == 0 &&
	       peer->seen_ms + PEER_IDLE_MS < now_ms;
}

static void
expire(at_share_t *share, uint64_t now_ms)
{
	peer_t *peer;
	peer_t *next;

	if (share->lease_expires_ms <= now_ms)
		share->lease_ppb = 0;
	for (peer = share->peers; peer != NULL; peer = next) {
		next = peer->hh.next;
		loan_expire(&peer->borrowed, now_ms);
		loan_expire(&peer->lent, now_ms);
		if (is_forgotten(peer, now_ms)) {
			HASH_DEL(share->peers, peer);
			free(peer);
		}
	}
	share_refresh(share);
}

/* Each grant ends at its own time, also when the process was paused. */
void
at_share_advance(at_share_t *share, uint64_t now_ms)
{
	if (now_ms <= share->now_ms)
		return;
	while (share->next_end_ms <= now_ms) {
		uint64_t ends_ms = share->next_end_ms;

		at_bucket_advance(share->bucket, ends_ms);
		share->now_ms = ends_ms;
		expire(share, ends_ms);
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
at_share_set_home(
    at_share_t *share, uint64_t now_ms, const at_incarnation_t *home)
{
	at_share_advance(share, now_ms);
	share->is_home = home == NULL || home->number == share->self.number;
	memset(&share->home, 0, sizeof(share->home));
	if (!share->is_home)
		share->home = *home;
}

void
at_share_set_remotes(
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

/* Drops the older grants of a loan where nothing lent on needs them. */
static void
compact(at_share_t *share, peer_t *peer)
{
	loan_t *loan = &peer->borrowed;

	while (loan->count > 1) {
		grant_t oldest = loan->grants[0];

		loan_remove(loan, 0);
		if (share_cap_until(share, oldest.ends_ms) < share->lent_ppb) {
			memmove(&loan->grants[1], &loan->grants[0],
			    loan->count * sizeof(grant_t));
			loan->grants[0] = oldest;
			loan->count++;
			return;
		}
	}
}

/* Lowers the only grant of a loan to keep_ppb; returns by how much. */
static int64_t
give_back(at_share_t *share, peer_t *peer, int64_t keep_ppb)
{
	grant_t *grant = &peer->borrowed.grants[0];
	int64_t free_ppb;
	int64_t back_ppb;

	if (peer->borrowed.count != 1 || grant->ppb <= keep_ppb)
		return 0;
	free_ppb = share_cap_until(share, grant->ends_ms) - share->lent_ppb;
	back_ppb = grant->ppb - keep_ppb;
	if (back_ppb > free_ppb)
		back_ppb = free_ppb;
	if (back_ppb <= 0)
		return 0;
	grant->ppb -= back_ppb;
	return back_ppb;
}

void
share_ask(at_share_t *share, peer_t *peer, int64_t keep_ppb, int64_t want_ppb,
    int64_t need_utok, int64_t spare_ppb)
{
	at_share_message_t ask = {.kind = AT_SHARE_ASK,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->ask_seq,
	    .asked_ms = share->now_ms,
	    .want_ppb = want_ppb,
	    .need_utok = need_utok,
	    .spare_ppb = spare_ppb,
	    .keep_ppb = -1};
	int64_t back_ppb;

	compact(share, peer);
	back_ppb = give_back(share, peer, keep_ppb);
	if (back_ppb > 0)
		ask.level_utok = at_bucket_take(share->bucket,
		    at_bucket_burst_utok(share->bucket, back_ppb));
	ask.ack = peer->newest_grant;
	if (peer->borrowed.count > 0)
		ask.ack = peer->borrowed.grants[0].seq;
	if (peer->borrowed.count <= 1)
		ask.keep_ppb = loan_ppb(&peer->borrowed);
	share_refresh(share);
	peer->seen_ms = share->now_ms;
	peer->asked_ms = share->now_ms;
	share->asks++;
	share->port.send(share->port.ctx, &peer->self, &ask);
}

int64_t
share_grantable(const at_share_t *share, const peer_t *peer, uint64_t ends_ms)
{
	return share_cap_until(share, ends_ms) - share->lent_ppb +
	       loan_ppb(&peer->lent);
}

static void
remember_grant(loan_t *loan, const grant_t *grant)
{
	if (loan->count == GRANTS_MAX) {
		grant_t *second = &loan->grants[1];

		if (loan->grants[0].ppb > second->ppb)
			second->ppb = loan->grants[0].ppb;
		if (loan->grants[0].ends_ms > second->ends_ms)
			second->ends_ms = loan->grants[0].ends_ms;
		loan_remove(loan, 0);
	}
	loan->grants[loan->count++] = *grant;
}

int64_t
share_grant(at_share_t *share, peer_t *peer, int64_t total_ppb,
    int64_t level_utok, uint32_t term_ms)
{
	int64_t present_ppb = loan_ppb(&peer->lent);
	at_share_message_t message = {.kind = AT_SHARE_GRANT,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->grant_seq,
	    .asked_ms = peer->open_asked_ms,
	    .term_ms = term_ms};
	grant_t grant = {.seq = message.seq,
	    .ends_ms = share->now_ms + at_lender_term_ms(term_ms)};
	int64_t most_ppb = share_grantable(share, peer, grant.ends_ms);

	if (total_ppb > most_ppb)
		total_ppb = most_ppb > 0 ? most_ppb : 0;
	grant.ppb = total_ppb;
	message.loan_ppb = total_ppb;
	if (total_ppb > present_ppb) {
		message.added_ppb = total_ppb - present_ppb;
		if (level_utok >
		    at_bucket_burst_utok(share->bucket, message.added_ppb))
			level_utok = at_bucket_burst_utok(
			    share->bucket, message.added_ppb);
		message.level_utok = at_bucket_take(share->bucket, level_utok);
	}
	remember_grant(&peer->lent, &grant);
	share_refresh(share);
	share->grants++;
	share->port.send(share->port.ctx, &peer->self, &message);
	return total_ppb;
}

/* Takes from the lent loan what the borrower no longer holds. */
static void
apply_ack(loan_t *loan, uint64_t ack, int64_t keep_ppb)
{
	size_t i = 0;

	while (i < loan->count) {
		grant_t *grant = &loan->grants[i];

		if (grant->seq < ack) {
			loan_remove(loan, i);
			continue;
		}
		if (grant->seq == ack && keep_ppb >= 0 && grant->ppb > keep_ppb)
			grant->ppb = keep_ppb;
		i++;
	}
}

static void
receive_ask(at_share_t *share, peer_t *peer, const at_share_message_t *ask)
{
	int64_t back_ppb = loan_ppb(&peer->lent);
	int64_t level_utok;

	if (ask->seq <= peer->newest_ask)
		return;
	peer->newest_ask = ask->seq;
	apply_ack(&peer->lent, ask->ack, ask->keep_ppb);
	back_ppb -= loan_ppb(&peer->lent);
	share_refresh(share);
	level_utok = at_bucket_burst_utok(share->bucket, back_ppb);
	if (level_utok > ask->level_utok)
		level_utok = ask->level_utok;
	if (level_utok > 0)
		at_bucket_add(share->bucket, level_utok);
	policy_asked(share, peer, ask);
	if (back_ppb > 0 && share->port.changed != NULL)
		share->port.changed(share->port.ctx);
}

static void
receive_grant(at_share_t *share, peer_t *peer, const at_share_message_t *grant)
{
	uint64_t ends_ms = grant->asked_ms + grant->term_ms;
	grant_t own = {grant->seq, grant->loan_ppb, ends_ms};
	int64_t level_utok;

	if (grant->seq <= peer->newest_grant || ends_ms <= share->now_ms)
		return;
	compact(share, peer);
	if (peer->borrowed.count == GRANTS_MAX)
		return;
	peer->newest_grant = grant->seq;
	peer->term_ms = grant->term_ms;
	peer->borrowed.grants[peer->borrowed.count++] = own;
	share_refresh(share);
	compact(share, peer);
	share_refresh(share);
	level_utok = at_bucket_burst_utok(share->bucket, grant->added_ppb);
	if (level_utok > grant->level_utok)
		level_utok = grant->level_utok;
	if (level_utok > 0)
		at_bucket_add(share->bucket, level_utok);
	policy_granted(share, peer);
	if (share->port.changed != NULL)
		share->port.changed(share->port.ctx);
}

static int
fraction_ok(int64_t ppb)
{
	return ppb >= 0 && ppb <= AT_PPB;
}

static int
message_ok(const at_share_message_t *m)
{
	return fraction_ok(m->want_ppb) && fraction_ok(m->spare_ppb) &&
	       fraction_ok(m->loan_ppb) && fraction_ok(m->added_ppb) &&
	       m->level_utok >= 0 && m->need_utok >= 0 && m->keep_ppb >= -1 &&
	       m->keep_ppb <= AT_PPB && m->term_ms <= AT_IDLE_TERM_MS;
}

void
at_share_receive(at_share_t *share, uint64_t now_ms,
    const at_incarnation_t *from, const at_share_message_t *message)
{
	peer_t *peer;

	at_share_advance(share, now_ms);
	if (message->to != share->self.number ||
	    message->from != from->number ||
	    from->number == share->self.number || !message_ok(message))
		return;
	peer = share_find_or_add(share, from);
	if (message->kind == AT_SHARE_ASK)
		receive_ask(share, peer, message);
	else if (message->kind == AT_SHARE_GRANT)
		receive_grant(share, peer, message);
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
	share->leaving = 1;
	policy_tick(share);
}

at_admit_t
at_share_admit(at_share_t *share, uint64_t now_ms, uint64_t cost_tokens,
    at_debit_t **debit)
{
	uint64_t step_tokens = (share->rate_tokens_s + 999u) / 1000u;
	int64_t missing_utok;

	*debit = NULL;
	at_share_advance(share, now_ms);
	if (cost_tokens + step_tokens > share->burst_tokens)
		return AT_ADMIT_OVER_BURST;
	*debit = at_bucket_debit(share->bucket, cost_tokens);
	if (*debit != NULL) {
		policy_debited(share, cost_tokens);
		return AT_ADMIT_OK;
	}
	missing_utok = (int64_t)cost_tokens * AT_UTOK -
		       at_bucket_level_utok(share->bucket);
	policy_short(share, cost_tokens, missing_utok);
	return AT_ADMIT_SHORT;
}

void
at_share_settle(
    at_share_t *share, uint64_t now_ms, at_debit_t *debit, uint64_t used_tokens)
{
	at_share_advance(share, now_ms);
	if (at_bucket_settle(share->bucket, debit, used_tokens) > 0 &&
	    share->port.changed != NULL)
		share->port.changed(share->port.ctx);
}

uint32_t
at_share_retry_after_ms(const at_share_t *share, uint64_t cost_tokens)
{
	int64_t missing_utok = (int64_t)cost_tokens * AT_UTOK -
			       at_bucket_level_utok(share->bucket);
	uint64_t wait_ms;

	if (missing_utok <= 0 || share->rate_tokens_s == 0)
		return missing_utok <= 0 ? RETRY_MIN_MS : RETRY_MAX_MS;
	/* utok per ms are the rate times a thousand. */
	wait_ms = (uint64_t)missing_utok / (share->rate_tokens_s * 1000u) + 1;
	if (wait_ms < RETRY_MIN_MS)
		return RETRY_MIN_MS;
	return wait_ms > RETRY_MAX_MS ? RETRY_MAX_MS : (uint32_t)wait_ms;
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
	    share->cap_ppb - share->floor_ppb - share->lease_ppb;
	view->lent_ppb = share->lent_ppb;
	view->own_ppb = share_own_ppb(share);
	view->level_utok = at_bucket_level_utok(share->bucket);
	view->need_ppb = policy_need_ppb(share);
	view->asks = share->asks;
	view->grants = share->grants;
}
