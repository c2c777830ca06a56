/*
 * share_impl.h - the inside of a share: share.c keeps the books of loans,
 * share_policy.c decides when to ask, grant and return.
 */
#ifndef ALMONDTHREAD_CORE_SHARE_IMPL_H
#define ALMONDTHREAD_CORE_SHARE_IMPL_H

#include <uthash.h>

#include "almondthread/share.h"

#define GRANTS_MAX 3u /* alive at once between two incarnations */
#define NO_TIME UINT64_MAX

/* A grant as its sender or receiver remembers it. */
typedef struct grant {
	uint64_t seq;
	int64_t ppb;
	uint64_t ends_ms;
} grant_t;

/* The grants of one direction that may be alive, oldest first. */
typedef struct loan {
	grant_t grants[GRANTS_MAX];
	size_t count;
} loan_t;

/* Everything about one peer's incarnation. */
typedef struct peer {
	UT_hash_handle hh;
	at_incarnation_t self;
	loan_t borrowed;
	uint64_t newest_grant; /* applied */
	uint64_t asked_ms;     /* our last ask */
	uint64_t due_seq;      /* our last ask that is to be answered */
	uint64_t due_ms;
	int answer_due;   /* a grant may be on its way */
	uint32_t term_ms; /* of the newest grant applied */
	loan_t lent;
	uint64_t newest_ask; /* processed */
	int64_t spare_ppb;   /* offered by it */
	/* The last ask, as long as it is not met in full. */
	int64_t open_ppb;
	int64_t open_utok;
	uint64_t open_asked_ms;
	uint64_t open_since_ms;
	uint64_t seen_ms;
} peer_t;

struct at_share {
	at_incarnation_t self;
	at_share_port_t port;
	at_bucket_t *bucket;
	uint64_t rate_tokens_s;
	uint64_t burst_tokens;
	uint64_t now_ms; /* of the last advance */
	int64_t floor_ppb;
	int64_t lease_ppb;
	uint64_t lease_expires_ms;
	peer_t *peers;
	uint64_t next_end_ms; /* earliest end of a grant or lease */
	int64_t cap_ppb;      /* floor + lease + borrowed */
	int64_t lent_ppb;
	uint64_t ask_seq;
	uint64_t grant_seq;
	at_incarnation_t home; /* number 0: none, or this instance */
	int is_home;
	int leaving;
	at_incarnation_t *remotes;
	size_t remote_count;
	size_t next_remote;
	/* Demand of this instance and, at a home, of those it lends to. */
	uint64_t window_ms; /* start of the present window */
	uint64_t window_tokens;
	uint64_t demand_tokens_s; /* smoothed */
	uint64_t cost_tokens;     /* of the dearest recent request */
	uint64_t cost_ms;         /* when it came */
	int64_t drawn_utok;       /* lent on in the present window */
	int64_t drawn_utok_s;     /* smoothed */
	uint64_t remotes_asked_ms;
	uint64_t returned_ms; /* when surplus was last given up */
	uint64_t reported_ms;
	uint64_t asks;
	uint64_t grants;
};

/* share.c */
void share_refresh(at_share_t *share);
int64_t share_own_ppb(const at_share_t *share);
/* What will be there until ends_ms, by loans that last as long. */
int64_t share_cap_until(const at_share_t *share, uint64_t ends_ms);
peer_t *share_find(at_share_t *share, const at_incarnation_t *who);
peer_t *share_find_or_add(at_share_t *share, const at_incarnation_t *who);
/* What all but this peer's loan leave for a loan that ends at ends_ms. */
int64_t share_grantable(
    const at_share_t *share, const peer_t *peer, uint64_t ends_ms);
/* Returns what may be returned above keep_ppb and asks for more_ppb to it. */
void share_ask(at_share_t *share, peer_t *peer, int64_t keep_ppb,
    int64_t more_ppb, int64_t need_utok, int64_t spare_ppb);
/*
 * Grants a loan of up to total_ppb of the want_ppb for term_ms; returns the
 * loan granted.
 */
int64_t share_grant(at_share_t *share, peer_t *peer, int64_t total_ppb,
    int64_t level_utok, uint32_t term_ms, int64_t want_ppb);

/* share_loan.c */
int64_t loan_ppb(const loan_t *loan);
/* The greatest grant that lasts at least to ends_ms. */
int64_t loan_until(const loan_t *loan, uint64_t ends_ms);
void loan_expire(loan_t *loan, uint64_t now_ms);
/* Lowers *ends_ms to the first end of a grant. */
void loan_earliest(const loan_t *loan, uint64_t *ends_ms);
void loan_compact(at_share_t *share, peer_t *peer);
int loan_add_borrowed(loan_t *loan, const grant_t *grant);
void loan_add_lent(loan_t *loan, const grant_t *grant);
void loan_acknowledge(loan_t *loan, uint64_t ack, int64_t keep_ppb);

/* share_policy.c */
void policy_asked(
    at_share_t *share, peer_t *peer, const at_share_message_t *ask);
void policy_granted(at_share_t *share);
void policy_short(at_share_t *share, uint64_t cost_tokens);
void policy_debited(at_share_t *share, uint64_t cost_tokens);
void policy_tick(at_share_t *share);
/* What this instance means to keep for its own callers. */
int64_t policy_use_ppb(const at_share_t *share);

#endif
