/*
 * share.h - one instance's share of one workspace's rate and burst.
 *
 * A share is a fraction of the limit in parts per billion. It consists of a
 * floor without a term and a leased part, both from the fleet's table
 * (share_root.h), plus loans from peers, less loans to peers. Over all
 * instances the fractions never exceed the whole, so that debits less
 * refunds in any interval stay within burst + rate * interval.
 *
 * A loan is between two incarnations. The borrower sends a request. The
 * lender subtracts the loan and then sends a grant, which states the total
 * loan and has a sequence number; the borrower applies each number once. A
 * loan ends by the borrower's clock, counted from when it sent the request.
 * The lender counts a longer term from when it granted, and treats the
 * largest of all grants that may still be in force as lent. Bucket level is
 * transferred only with newly lent burst.
 *
 * One instance per data centre, the coordinator, collects idle shares and
 * lends them on; coordinators borrow from each other. The coordinator need
 * not be unique: two at once cost extra messages and break nothing.
 *
 * Times are of this instance's monotonic clock. All functions run on one
 * thread; some of them call send() and on_changed() before they return.
 */
#ifndef ALMONDTHREAD_SHARE_H
#define ALMONDTHREAD_SHARE_H

#include "almondthread/bucket.h"

/*
 * Terms of loans. A loan is renewed at half its term, so that what is lent
 * on always ends before the loan that it was lent from.
 */
#define AT_LOAN_TERM_MS 3000u        /* from a coordinator to an instance */
#define AT_COORDINATOR_TERM_MS 8000u /* from a coordinator to another one */
#define AT_IDLE_LOAN_TERM_MS 20000u  /* of idle share to the coordinator */

/*
 * at_lender_term_ms() returns the term that a lender counts for a borrower's
 * term. It is longer by twice the clock error and the resolution of both
 * clocks.
 */
uint64_t at_lender_term_ms(uint64_t term_ms);

typedef enum at_share_kind {
	AT_SHARE_REQUEST,
	AT_SHARE_GRANT,
	AT_SHARE_KIND_COUNT
} at_share_kind_t;

/*
 * A message between two incarnations about one workspace. The fields after
 * requested_ms apply to the kind that they name. requested_ms is by the
 * borrower's clock and is returned unchanged.
 */
typedef struct at_share_message {
	at_share_kind_t kind;
	uint64_t from; /* incarnation numbers */
	uint64_t to;
	uint64_t seq; /* increases with each message of the kind */
	uint64_t requested_ms;
	uint64_t ack;     /* request: lower grants are no longer in force */
	int64_t keep_ppb; /* request: part of grant ack kept, -1: all */
	int64_t requested_ppb; /* request: total loan wanted */
	int64_t spare_ppb;     /* request: idle share the sender could lend */
	int64_t level_utok; /* request: returned; grant: moved with the loan */
	int64_t requested_utok; /* request: level to be moved with the loan */
	int64_t loan_ppb;       /* grant: total loan */
	int64_t added_ppb;      /* grant: newly lent */
	uint32_t term_ms;       /* grant: from requested_ms, borrower's clock */
	uint64_t request_seq;   /* grant: of the request that it answers */
	uint32_t has_more;      /* grant: another one may follow */
} at_share_message_t;

/* Callbacks of a share, called with ctx. on_changed() may be NULL. */
typedef struct at_share_port {
	void (*send)(void *ctx, const at_incarnation_t *to,
	    const at_share_message_t *message);
	void (*on_changed)(void *ctx); /* more may be admitted now */
	void *ctx;
} at_share_port_t;

typedef enum at_admit {
	AT_ADMIT_OK,
	AT_ADMIT_INSUFFICIENT, /* a loan was requested and may arrive */
	AT_ADMIT_OVER_BURST,   /* the cost exceeds the whole burst */
	AT_ADMIT_COUNT
} at_admit_t;

/* Names of results, indexed by at_admit_t. */
extern const char *const at_admit_names[];

/* Status of a share for operators. */
typedef struct at_share_view {
	int64_t floor_ppb;
	int64_t lease_ppb;
	int64_t borrowed_ppb;
	int64_t lent_ppb;
	int64_t own_ppb; /* share for use by this instance */
	int64_t level_utok;
	int64_t target_ppb; /* share that this instance intends to keep */
	uint64_t requests_sent;
	uint64_t grants_sent;
} at_share_view_t;

typedef struct at_share at_share_t;

/* at_share_new() returns an empty share, or NULL if out of memory. */
at_share_t *at_share_new(
    uint64_t now_ms, const at_incarnation_t *self, const at_share_port_t *port);
void at_share_delete(at_share_t *share);

/* at_share_set_limit() sets the workspace's configured rate and burst. */
void at_share_set_limit(at_share_t *share, uint64_t now_ms,
    uint64_t rate_tokens_s, uint64_t burst_tokens);
/*
 * at_share_set_root() sets this instance's entry in the table. A smaller
 * floor takes effect at once for own use and new loans.
 */
void at_share_set_root(at_share_t *share, uint64_t now_ms, int64_t floor_ppb,
    int64_t lease_ppb, uint64_t lease_expires_ms);
/*
 * at_share_set_coordinator() sets the coordinator; with NULL or self it is
 * this instance.
 */
void at_share_set_coordinator(
    at_share_t *share, uint64_t now_ms, const at_incarnation_t *coordinator);
/*
 * at_share_set_remote_coordinators() sets the coordinators of the other data
 * centres; they are copied.
 */
void at_share_set_remote_coordinators(
    at_share_t *share, const at_incarnation_t *remotes, size_t count);
/* at_share_leave() stops lending and returns all loans and their level. */
void at_share_leave(at_share_t *share, uint64_t now_ms);

/*
 * at_share_receive() takes one message; a stale one or one for another
 * incarnation is dropped. Returns 0, or -1 for a grant that would give this
 * instance more than the whole, because its sender belongs to another fleet
 * with the same secret.
 */
int at_share_receive(at_share_t *share, uint64_t now_ms,
    const at_incarnation_t *from, const at_share_message_t *message);
/* at_share_advance() refills the bucket and ends loans up to now_ms. */
void at_share_advance(at_share_t *share, uint64_t now_ms);
/* at_share_tick() is called every AT_SHARE_TICK_MS or less often. */
#define AT_SHARE_TICK_MS 100u
void at_share_tick(at_share_t *share, uint64_t now_ms);

/*
 * at_share_admit() debits cost_tokens or returns why it cannot. On
 * AT_ADMIT_OK the debit must be settled once, unless the share is deleted.
 */
at_admit_t at_share_admit(at_share_t *share, uint64_t now_ms,
    uint64_t cost_tokens, at_debit_t **debit);
void at_share_settle(at_share_t *share, uint64_t now_ms, at_debit_t *debit,
    uint64_t used_tokens);
/*
 * at_share_retry_after_ms() returns the time until a refused request of that
 * cost could be within the rate.
 */
uint32_t at_share_retry_after_ms(const at_share_t *share, uint64_t cost_tokens);

/*
 * at_share_lent_ppb() returns the share that peers may still be using under
 * grants of this instance.
 */
int64_t at_share_lent_ppb(const at_share_t *share);
void at_share_view(const at_share_t *share, at_share_view_t *view);

#endif
