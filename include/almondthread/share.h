/*
 * share.h - one instance's share of one workspace's rate and burst.
 *
 * A share is a fraction of the limit in parts per billion. It is made of a
 * floor without a term and a leased part, both from the fleet's table
 * (share_root.h), plus what peers have lent, less what was lent to peers.
 * Over all instances the fractions never exceed the whole, so that debits
 * less refunds in any interval stay within burst + rate * interval.
 *
 * A loan is between two incarnations. The borrower asks; the lender
 * subtracts and then sends a grant, which states the whole loan anew and has
 * a sequence number; the borrower applies each number once. A loan ends by
 * the borrower's clock counted from when it asked. The lender counts a
 * longer term from when it granted, and takes the greatest of all grants
 * that may still be alive as lent. Level travels only with newly lent burst.
 *
 * One instance per data centre, the home, gathers idle shares and lends them
 * on; homes borrow from each other. Who is home is a soft role: two homes at
 * once cost messages and break nothing.
 *
 * Times are this instance's monotonic clock. All functions run on one
 * thread; send() and changed() are called from within them.
 */
#ifndef ALMONDTHREAD_SHARE_H
#define ALMONDTHREAD_SHARE_H

#include "almondthread/bucket.h"

/*
 * Terms of loans. A loan is renewed at half its term, so that what is lent
 * on always ends before the loan it was lent from.
 */
#define AT_LOAN_TERM_MS 3000u /* from a home to an instance */
#define AT_COORDINATOR_TERM_MS                                              \
	8000u                       /* from a home to another data centre's \
				     */
#define AT_IDLE_LOAN_TERM_MS 20000u /* of idle share to the home */

/*
 * at_lender_term_ms() is the term that a lender counts for a borrower's
 * term: longer by twice the clock error and the steps of both clocks.
 */
uint64_t at_lender_term_ms(uint64_t term_ms);

typedef enum at_share_kind {
	AT_SHARE_REQUEST,
	AT_SHARE_GRANT,
	AT_SHARE_KIND_COUNT
} at_share_kind_t;

/*
 * A message between two incarnations about one workspace. The fields after
 * asked_ms belong to the kind named there; asked_ms is the borrower's clock
 * and is returned as it came.
 */
typedef struct at_share_message {
	at_share_kind_t kind;
	uint64_t from; /* incarnation numbers */
	uint64_t to;
	uint64_t seq; /* grows with each message of the kind */
	uint64_t requested_ms;
	uint64_t ack;           /* ask: no grant below this is alive */
	int64_t keep_ppb;       /* ask: of the grant ack, -1 for all of it */
	int64_t requested_ppb;  /* ask: the whole loan that is wished for */
	int64_t spare_ppb;      /* ask: idle share that the sender could lend */
	int64_t level_utok;     /* ask: returned; grant: moved with the loan */
	int64_t requested_utok; /* ask: level that is wished for */
	int64_t loan_ppb;       /* grant: the whole loan */
	int64_t added_ppb;      /* grant: newly lent */
	uint32_t term_ms;     /* grant: from asked_ms by the borrower's clock */
	uint64_t request_seq; /* grant: of the ask that it answers */
	uint32_t has_more;    /* grant: another one may follow for that ask */
} at_share_message_t;

/* What a share calls; ctx comes back. changed() may be NULL. */
typedef struct at_share_port {
	void (*send)(void *ctx, const at_incarnation_t *to,
	    const at_share_message_t *message);
	void (*changed)(void *ctx); /* more may be admitted now */
	void *ctx;
} at_share_port_t;

typedef enum at_admit {
	AT_ADMIT_OK,
	AT_ADMIT_INSUFFICIENT, /* a grant was asked for and may come */
	AT_ADMIT_OVER_BURST,   /* more than the whole burst */
	AT_ADMIT_COUNT
} at_admit_t;

extern const char *const at_admit_names[];

/* What operators see. */
typedef struct at_share_view {
	int64_t floor_ppb;
	int64_t lease_ppb;
	int64_t borrowed_ppb;
	int64_t lent_ppb;
	int64_t own_ppb; /* in use here */
	int64_t level_utok;
	int64_t target_ppb;     /* meant to be kept here */
	uint64_t requests_sent; /* sent */
	uint64_t grants_sent;   /* sent */
} at_share_view_t;

typedef struct at_share at_share_t;

/* at_share_new() returns an empty share, or NULL without memory. */
at_share_t *at_share_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_share_port_t *port);
void at_share_delete(at_share_t *share);

/* at_share_set_limit() puts a configured rate and burst in force here. */
void at_share_set_limit(at_share_t *share, uint64_t now_ms,
    uint64_t rate_tokens_s, uint64_t burst_tokens);
/*
 * at_share_set_root() states what the table gives this instance. A smaller
 * floor takes effect at once for own use and new loans.
 */
void at_share_set_root(at_share_t *share, uint64_t now_ms, int64_t floor_ppb,
    int64_t lease_ppb, uint64_t lease_expires_ms);
/* at_share_set_coordinator() names the home; NULL or self: this instance is it.
 */
void at_share_set_coordinator(
    at_share_t *share, uint64_t now_ms, const at_incarnation_t *home);
/* at_share_set_remote_coordinators() names the other data centres' homes. */
void at_share_set_remote_coordinators(
    at_share_t *share, const at_incarnation_t *remotes, size_t count);
/* at_share_leave() stops lending and returns all loans with their level. */
void at_share_leave(at_share_t *share, uint64_t now_ms);

/*
 * at_share_receive() takes one message; a stale or foreign one is dropped.
 * Returns 0, or -1 for a grant that would give this instance more than the
 * whole: its sender belongs to another fleet with the same secret.
 */
int at_share_receive(at_share_t *share, uint64_t now_ms,
    const at_incarnation_t *from, const at_share_message_t *message);
/* at_share_advance() refills and ends loans up to now_ms. */
void at_share_advance(at_share_t *share, uint64_t now_ms);
/* at_share_tick() is called every AT_SHARE_TICK_MS, or later. */
#define AT_SHARE_TICK_MS 100u
void at_share_tick(at_share_t *share, uint64_t now_ms);

/*
 * at_share_admit() debits cost_tokens or says why not. On AT_ADMIT_OK the
 * debit must be settled once, or dies with the share.
 */
at_admit_t at_share_admit(at_share_t *share, uint64_t now_ms,
    uint64_t cost_tokens, at_debit_t **debit);
void at_share_settle(at_share_t *share, uint64_t now_ms, at_debit_t *debit,
    uint64_t used_tokens);
/* When a refused request of that cost could be within the rate. */
uint32_t at_share_retry_after_ms(const at_share_t *share, uint64_t cost_tokens);

/* at_share_lent_ppb() is what peers may hold of this share's floor. */
int64_t at_share_lent_ppb(const at_share_t *share);
void at_share_view(const at_share_t *share, at_share_view_t *view);

#endif
