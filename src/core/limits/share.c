#include "core/limits/share_impl.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define TERM_MARGIN_PPM 4000u /* over twice the clock error */
#define TERM_MARGIN_MS 2u     /* steps of both clocks */
#define PEER_IDLE_MS (3u * AT_IDLE_LOAN_TERM_MS)
#define ANSWER_MS 150u /* after which no grant is taken to be on its way */
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

int64_t
share_own_ppb(const at_share_t *share)
{
	int64_t own = share->cap_ppb - share->lent_ppb;

	/* Over the whole only if another fleet's grant is in the books. */
	if (own > AT_PPB_WHOLE)
		return AT_PPB_WHOLE;
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
		loan_earliest(&peer->borrowed, &share->next_end_ms);
		loan_earliest(&peer->lent, &share->next_end_ms);
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
			assert(share->peers != NULL);
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
at_share_set_coordinator(
    at_share_t *share, uint64_t now_ms, const at_incarnation_t *home)
{
	at_share_advance(share, now_ms);
	share->is_home = home == NULL || home->number == share->self.number;
	memset(&share->home, 0, sizeof(share->home));
	if (!share->is_home)
		share->home = *home;
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

/* With a grant on its way a lender would drop what comes back meanwhile. */
static int
answer_is_due(const at_share_t *share, const peer_t *peer)
{
	return peer->answer_due && share->now_ms < peer->due_ms + ANSWER_MS;
}

/* Lowers the only grant of a loan to keep_ppb. */
static void
give_back(at_share_t *share, peer_t *peer, int64_t keep_ppb)
{
	grant_t *grant = &peer->borrowed.grants[0];
	int64_t free_ppb;

	if (peer->borrowed.count != 1 || grant->ppb <= keep_ppb)
		return;
	free_ppb = share_cap_until(share, grant->ends_ms) - share->lent_ppb;
	if (free_ppb > grant->ppb - keep_ppb)
		free_ppb = grant->ppb - keep_ppb;
	if (free_ppb > 0)
		grant->ppb -= free_ppb;
}

void
share_ask(at_share_t *share, peer_t *peer, int64_t keep_ppb, int64_t more_ppb,
    int64_t need_utok, int64_t spare_ppb)
{
	at_share_message_t ask = {.kind = AT_SHARE_REQUEST,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->ask_seq,
	    .requested_ms = share->now_ms,
	    .requested_utok = need_utok,
	    .spare_ppb = spare_ppb,
	    .keep_ppb = -1};
	int64_t back_ppb;

	back_ppb = loan_ppb(&peer->borrowed);
	if (!answer_is_due(share, peer)) {
		loan_compact(share, peer);
		give_back(share, peer, keep_ppb);
	}
	back_ppb -= loan_ppb(&peer->borrowed);
	if (back_ppb > 0)
		ask.level_utok = at_bucket_take(share->bucket,
		    at_bucket_burst_utok(share->bucket, back_ppb));
	ask.requested_ppb = loan_ppb(&peer->borrowed) + more_ppb;
	if (ask.requested_ppb > AT_PPB_WHOLE)
		ask.requested_ppb = AT_PPB_WHOLE;
	ask.ack = peer->newest_grant;
	if (peer->borrowed.count > 0)
		ask.ack = peer->borrowed.grants[0].seq;
	if (peer->borrowed.count <= 1)
		ask.keep_ppb = loan_ppb(&peer->borrowed);
	share_refresh(share);
	peer->seen_ms = share->now_ms;
	peer->asked_ms = share->now_ms;
	if (ask.requested_ppb > 0) {
		peer->due_seq = ask.seq;
		peer->due_ms = share->now_ms;
		peer->answer_due = 1;
	}
	share->asks++;
	share->port.send(share->port.ctx, &peer->self, &ask);
}

int64_t
share_grantable(const at_share_t *share, const peer_t *peer, uint64_t ends_ms)
{
	return share_cap_until(share, ends_ms) - share->lent_ppb +
	       loan_ppb(&peer->lent);
}

/* Takes the level that goes with added_ppb: as asked, and what overflows. */
static int64_t
take_level(at_share_t *share, int64_t added_ppb, int64_t level_utok)
{
	int64_t most_utok = at_bucket_burst_utok(share->bucket, added_ppb);
	int64_t room_utok = at_bucket_burst_utok(
	    share->bucket, share_own_ppb(share) - added_ppb);
	int64_t over_utok = at_bucket_level_utok(share->bucket) - room_utok;

	if (level_utok < over_utok)
		level_utok = over_utok;
	if (level_utok > most_utok)
		level_utok = most_utok;
	return at_bucket_take(share->bucket, level_utok);
}

int64_t
share_grant(at_share_t *share, peer_t *peer, int64_t total_ppb,
    int64_t level_utok, uint32_t term_ms, int64_t want_ppb)
{
	int64_t present_ppb = loan_ppb(&peer->lent);
	at_share_message_t message = {.kind = AT_SHARE_GRANT,
	    .from = share->self.number,
	    .to = peer->self.number,
	    .seq = ++share->grant_seq,
	    .requested_ms = peer->open_asked_ms,
	    .request_seq = peer->newest_ask,
	    .term_ms = term_ms};
	grant_t grant = {.seq = message.seq,
	    .ends_ms = share->now_ms + at_lender_term_ms(term_ms)};
	int64_t most_ppb = share_grantable(share, peer, grant.ends_ms);

	if (total_ppb > most_ppb)
		total_ppb = most_ppb > 0 ? most_ppb : 0;
	grant.ppb = total_ppb;
	message.loan_ppb = total_ppb;
	message.has_more = total_ppb < want_ppb;
	if (total_ppb > present_ppb) {
		message.added_ppb = total_ppb - present_ppb;
		message.level_utok =
		    take_level(share, message.added_ppb, level_utok);
	}
	loan_add_lent(&peer->lent, &grant);
	share_refresh(share);
	share->grants++;
	share->port.send(share->port.ctx, &peer->self, &message);
	return total_ppb;
}

static void
receive_ask(at_share_t *share, peer_t *peer, const at_share_message_t *ask)
{
	int64_t back_ppb = loan_ppb(&peer->lent);
	int64_t level_utok;

	if (ask->seq <= peer->newest_ask)
		return;
	peer->newest_ask = ask->seq;
	loan_acknowledge(&peer->lent, ask->ack, ask->keep_ppb);
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
	uint64_t ends_ms = grant->requested_ms + grant->term_ms;
	grant_t own = {grant->seq, grant->loan_ppb, ends_ms};
	int64_t level_utok;

	if (grant->seq <= peer->newest_grant || ends_ms <= share->now_ms)
		return;
	if (peer->borrowed.count == GRANTS_MAX)
		loan_compact(share, peer);
	if (!loan_add_borrowed(&peer->borrowed, &own))
		return;
	peer->newest_grant = grant->seq;
	if (grant->request_seq >= peer->due_seq && !grant->has_more)
		peer->answer_due = 0;
	peer->term_ms = grant->term_ms;
	share_refresh(share);
	level_utok = at_bucket_burst_utok(share->bucket, grant->added_ppb);
	if (level_utok > grant->level_utok)
		level_utok = grant->level_utok;
	if (level_utok > 0)
		at_bucket_add(share->bucket, level_utok);
	if (grant->added_ppb > 0)
		policy_granted(share);
	if (share->port.changed != NULL)
		share->port.changed(share->port.ctx);
}

/* Would this instance have more than the whole for its own use? */
static int
exceeds_whole(const at_share_t *share, const peer_t *peer,
    const at_share_message_t *grant)
{
	int64_t added_ppb = grant->loan_ppb - loan_ppb(&peer->borrowed);

	return added_ppb > 0 &&
	       share->cap_ppb - share->lent_ppb + added_ppb > AT_PPB_WHOLE;
}

static int
fraction_ok(int64_t ppb)
{
	return ppb >= 0 && ppb <= AT_PPB_WHOLE;
}

static int
message_ok(const at_share_message_t *m)
{
	return fraction_ok(m->requested_ppb) && fraction_ok(m->spare_ppb) &&
	       fraction_ok(m->loan_ppb) && fraction_ok(m->added_ppb) &&
	       m->level_utok >= 0 && m->requested_utok >= 0 &&
	       m->keep_ppb >= -1 && m->keep_ppb <= AT_PPB_WHOLE &&
	       m->term_ms <= AT_IDLE_LOAN_TERM_MS;
}

int
at_share_receive(at_share_t *share, uint64_t now_ms,
    const at_incarnation_t *from, const at_share_message_t *message)
{
	peer_t *peer;

	at_share_advance(share, now_ms);
	if (message->to != share->self.number ||
	    message->from != from->number ||
	    from->number == share->self.number || !message_ok(message))
		return 0;
	peer = share_find_or_add(share, from);
	if (message->kind == AT_SHARE_REQUEST) {
		receive_ask(share, peer, message);
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
	share->leaving = 1;
	policy_tick(share);
}

at_admit_t
at_share_admit(at_share_t *share, uint64_t now_ms, uint64_t cost_tokens,
    at_debit_t **debit)
{
	uint64_t step_tokens = (share->rate_tokens_s + 999u) / 1000u;

	*debit = NULL;
	at_share_advance(share, now_ms);
	if (cost_tokens + step_tokens > share->burst_tokens)
		return AT_ADMIT_OVER_BURST;
	*debit = at_bucket_debit(share->bucket, cost_tokens);
	if (*debit != NULL) {
		policy_debited(share, cost_tokens);
		return AT_ADMIT_OK;
	}
	policy_short(share, cost_tokens);
	return AT_ADMIT_INSUFFICIENT;
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
	int64_t missing_utok = (int64_t)cost_tokens * AT_UTOK_PER_TOKEN -
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
	view->target_ppb = policy_use_ppb(share);
	view->requests_sent = share->asks;
	view->grants_sent = share->grants;
}
