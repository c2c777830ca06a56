/*
 * share_impl.h - internals of a share. share.c accounts for loans and handles
 * messages, share_loan.c handles the grants of one loan, and share_policy.c
 * decides when to request, grant and return loans.
 */
#ifndef ALMONDTHREAD_CORE_SHARE_IMPL_H
#define ALMONDTHREAD_CORE_SHARE_IMPL_H

#include <uthash.h>

#include "almondthread/share.h"

/* Grants in force at once from one incarnation to another. */
#define GRANTS_MAX 3u
#define NO_END UINT64_MAX /* no grant or lease ends */

/* A grant as stored by its sender or receiver. */
typedef struct grant {
	uint64_t seq;
	int64_t ppb;
	uint64_t ends_ms;
} grant_t;

/* The grants of one direction that may be in force, oldest first. */
typedef struct loan {
	grant_t grants[GRANTS_MAX];
	size_t count;
} loan_t;

/* State of the loans from and to one incarnation of a peer. */
typedef struct peer {
	UT_hash_handle hh;
	at_incarnation_t self;
	loan_t borrowed;
	uint64_t newest_grant;     /* sequence number of the last one applied */
	uint64_t requested_ms;     /* time of the last request sent to it */
	uint64_t awaited_seq;      /* last request that awaits a grant */
	uint64_t awaited_since_ms; /* time of that request */
	int is_grant_awaited;      /* a grant may be in transit */
	uint32_t term_ms;          /* of the newest grant applied */
	loan_t lent;
	uint64_t newest_request; /* sequence number of the last one handled */
	int64_t spare_ppb;       /* idle share that it has offered */
	/* Its last request, until that is granted in full. */
	int64_t open_ppb;
	int64_t open_utok;
	uint64_t open_requested_ms;
	uint64_t open_received_ms;
	uint64_t contact_ms; /* of the last message in either direction */
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
	int64_t gross_ppb;    /* floor + lease + borrowed */
	int64_t lent_ppb;
	uint64_t request_seq;
	uint64_t grant_seq;
	at_incarnation_t coordinator; /* number 0: none, or this instance */
	int is_coordinator;
	int is_leaving;
	at_incarnation_t *remotes;
	size_t remote_count;
	size_t next_remote;
	/* Demand here and, at a coordinator, of its borrowers. */
	uint64_t window_ms; /* start of the present window */
	uint64_t window_tokens;
	uint64_t demand_tokens_s; /* smoothed */
	uint64_t cost_tokens;     /* of the largest recent request */
	uint64_t cost_ms;         /* when the last request arrived */
	int64_t lent_utok;        /* newly lent in the present window */
	int64_t lent_utok_s;      /* smoothed */
	uint64_t remotes_requested_ms;
	uint64_t returned_ms; /* when surplus was last returned or offered */
	uint64_t reported_ms;
	uint64_t requests_sent;
	uint64_t grants_sent;
};

/* share.c */

/* Recomputes all sums and sets the bucket to the share for own use. */
void share_refresh(at_share_t *share);
/* Returns the share for own use, from 0 to the whole. */
int64_t share_own_ppb(const at_share_t *share);
/* Returns floor, lease and loans borrowed that last until ends_ms. */
int64_t share_gross_until_ppb(const at_share_t *share, uint64_t ends_ms);
/* Returns the peer, or NULL. */
peer_t *share_find_peer(at_share_t *share, const at_incarnation_t *incarnation);
/* Returns the peer and sets its contact_ms; aborts if out of memory. */
peer_t *share_find_or_add_peer(
    at_share_t *share, const at_incarnation_t *incarnation);
/* Returns the largest total loan to this peer that may end at ends_ms. */
int64_t share_grantable_ppb(
    const at_share_t *share, const peer_t *peer, uint64_t ends_ms);
/*
 * Sends one request: returns the loan above keep_ppb as far as nothing lent
 * depends on it, requests additional_ppb on top of the rest with wanted_utok of
 * level, and offers spare_ppb.
 */
void share_send_request(at_share_t *share, peer_t *peer, int64_t keep_ppb,
    int64_t additional_ppb, int64_t wanted_utok, int64_t spare_ppb);
/*
 * Grants a total loan of up to total_ppb for term_ms, with level_utok of
 * level, or more if the bucket would overflow. wanted_ppb is the loan that the
 * peer requested. Returns the loan granted.
 */
int64_t share_send_grant(at_share_t *share, peer_t *peer, int64_t total_ppb,
    int64_t level_utok, uint32_t term_ms, int64_t wanted_ppb);

/* share_loan.c */

/* Returns the largest grant of a loan. */
int64_t loan_ppb(const loan_t *loan);
/* Returns the largest grant that lasts at least until ends_ms. */
int64_t loan_until_ppb(const loan_t *loan, uint64_t ends_ms);
/* Removes the grants that have ended. */
void loan_expire(loan_t *loan, uint64_t now_ms);
/* Reduces *ends_ms to the earliest end of a grant. */
void loan_find_end(const loan_t *loan, uint64_t *ends_ms);
/* Removes older grants of the borrowed loan that no loan to a peer needs. */
void loan_compact(at_share_t *share, peer_t *peer);
/*
 * Adds a grant and removes those that it covers. Returns 0 if the loan is full.
 */
int loan_add_borrowed(loan_t *loan, const grant_t *grant);
/* Adds a grant; when full, the two oldest are merged into their maxima. */
void loan_add_lent(loan_t *loan, const grant_t *grant);
/*
 * Removes the grants before ack from a lent loan and reduces grant ack to
 * keep_ppb, unless that is -1.
 */
void loan_acknowledge(loan_t *loan, uint64_t ack, int64_t keep_ppb);

/* share_policy.c */

/* Handles a new request of a peer. */
void policy_on_request(
    at_share_t *share, peer_t *peer, const at_share_message_t *request);
/* Grants open requests after a loan has arrived. */
void policy_on_grant(at_share_t *share);
/* Requests loans after a debit failed because the level was too low. */
void policy_on_insufficient(at_share_t *share, uint64_t cost_tokens);
/* Counts a debit as demand. */
void policy_on_debit(at_share_t *share, uint64_t cost_tokens);
/* Renews, requests, returns, offers and recalls loans. */
void policy_tick(at_share_t *share);
/* Returns the share that this instance intends to keep for its callers. */
int64_t policy_target_ppb(const at_share_t *share);

#endif
