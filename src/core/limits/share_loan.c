#include "core/limits/share_impl.h"

#include <string.h>

int64_t
loan_until_ppb(const loan_t *loan, uint64_t ends_ms)
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
	return loan_until_ppb(loan, 0);
}

static void
loan_remove(loan_t *loan, size_t index)
{
	loan->count--;
	memmove(&loan->grants[index], &loan->grants[index + 1],
	    (loan->count - index) * sizeof(grant_t));
}

void
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

void
loan_find_end(const loan_t *loan, uint64_t *ends_ms)
{
	size_t i;

	for (i = 0; i < loan->count; i++) {
		if (loan->grants[i].ends_ms < *ends_ms)
			*ends_ms = loan->grants[i].ends_ms;
	}
}

/*
 * Returns whether the loans to peers that last beyond end_ms are covered by
 * what this instance has after end_ms.
 */
static int
is_covered_after(const at_share_t *share, uint64_t end_ms)
{
	const peer_t *peer;
	int64_t excess_ppb = share_gross_until_ppb(share, end_ms + 1);

	for (peer = share->peers; peer != NULL; peer = peer->hh.next)
		excess_ppb -= loan_until_ppb(&peer->lent, end_ms + 1);
	return excess_ppb >= 0;
}

/* Returns whether the loans to peers are covered at all times to until_ms. */
static int
is_covered(const at_share_t *share, uint64_t until_ms)
{
	const peer_t *peer;
	size_t i;

	if (share_gross_until_ppb(share, until_ms) >= share->lent_ppb)
		return 1;
	if (!is_covered_after(share, share->now_ms))
		return 0;
	for (peer = share->peers; peer != NULL; peer = peer->hh.next) {
		for (i = 0; i < peer->borrowed.count; i++) {
			uint64_t end_ms = peer->borrowed.grants[i].ends_ms;

			if (end_ms < until_ms &&
			    !is_covered_after(share, end_ms))
				return 0;
		}
	}
	return share->lease_expires_ms >= until_ms ||
	       share->lease_expires_ms <= share->now_ms ||
	       is_covered_after(share, share->lease_expires_ms);
}

void
loan_compact(at_share_t *share, peer_t *peer)
{
	loan_t *loan = &peer->borrowed;

	while (loan->count > 1) {
		grant_t oldest = loan->grants[0];

		loan_remove(loan, 0);
		if (!is_covered(share, oldest.ends_ms)) {
			memmove(&loan->grants[1], &loan->grants[0],
			    loan->count * sizeof(grant_t));
			loan->grants[0] = oldest;
			loan->count++;
			return;
		}
	}
}

int
loan_add_borrowed(loan_t *loan, const grant_t *grant)
{
	size_t i = 0;

	while (i < loan->count) {
		if (loan->grants[i].ppb <= grant->ppb &&
		    loan->grants[i].ends_ms <= grant->ends_ms)
			loan_remove(loan, i);
		else
			i++;
	}
	if (loan->count == GRANTS_MAX)
		return 0;
	loan->grants[loan->count++] = *grant;
	return 1;
}

void
loan_add_lent(loan_t *loan, const grant_t *grant)
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

void
loan_acknowledge(loan_t *loan, uint64_t ack, int64_t keep_ppb)
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
