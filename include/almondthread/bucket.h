/*
 * bucket.h - token bucket of one workspace at one instance.
 *
 * The bucket refills at a fraction of the workspace's rate up to the same
 * fraction of its burst. Fractions are in parts per billion (ppb), levels in
 * millionths of a token (utok).
 *
 * A debit is made at admission and settled once. Settling refunds what was not
 * used, but the level and the refundable amounts of all open debits together
 * never exceed the burst: where they would, the oldest refundable amounts are
 * reduced. Therefore a refund that counts against its own debit cannot make any
 * interval exceed burst + rate * interval.
 *
 * The clock may run fast by AT_CLOCK_ERROR_PPM and is read in whole
 * milliseconds. The refill is reduced and the level limited to allow for
 * both.
 */
#ifndef ALMONDTHREAD_BUCKET_H
#define ALMONDTHREAD_BUCKET_H

#include "almondthread/units.h"

#define AT_PPB_WHOLE 1000000000            /* the whole limit of a workspace */
#define AT_UTOK_PER_TOKEN 1000000          /* utok in one token */
#define AT_CLOCK_ERROR_PPM 1000u           /* largest error of a clock's rate */
#define AT_LIMIT_TOKENS_MAX 1000000000000u /* largest rate, burst and cost */

typedef struct at_bucket at_bucket_t;

/* A debit that is not settled yet; owned by its bucket. */
typedef struct at_debit at_debit_t;

/* at_bucket_new() returns an empty bucket as of now_ms, or NULL. */
at_bucket_t *at_bucket_new(uint64_t now_ms);

/* at_bucket_delete() frees the bucket and all its debits. */
void at_bucket_delete(at_bucket_t *bucket);

/* at_bucket_advance() refills up to now_ms; an earlier time is ignored. */
void at_bucket_advance(at_bucket_t *bucket, uint64_t now_ms);

/*
 * Both set what applies from the last advance on. An increase lowers the level
 * by 1 ms of the added refill, the resolution of the clock; a level above the
 * new burst is reduced to it.
 */
void at_bucket_set_limit(
    at_bucket_t *bucket, uint64_t rate_tokens_s, uint64_t burst_tokens);
void at_bucket_set_share(at_bucket_t *bucket, int64_t share_ppb);

/*
 * at_bucket_level_utok() returns the level. It may be negative by what the
 * clock's resolution may have added too early.
 */
int64_t at_bucket_level_utok(const at_bucket_t *bucket);

/* at_bucket_refundable_utok() returns what open debits may still refund. */
int64_t at_bucket_refundable_utok(const at_bucket_t *bucket);

/* at_bucket_burst_utok() returns the fraction share_ppb of the burst. */
int64_t at_bucket_burst_utok(const at_bucket_t *bucket, int64_t share_ppb);

/* at_bucket_take() removes up to utok and returns the amount removed. */
int64_t at_bucket_take(at_bucket_t *bucket, int64_t utok);

/* at_bucket_add() adds utok; any excess over the capacity is lost. */
void at_bucket_add(at_bucket_t *bucket, int64_t utok);

/*
 * at_bucket_debit() removes cost_tokens and returns the debit, or NULL if the
 * level is lower than the cost or if out of memory.
 */
at_debit_t *at_bucket_debit(at_bucket_t *bucket, uint64_t cost_tokens);

/*
 * at_bucket_settle() ends a debit and refunds cost less used, limited by its
 * refundable amount. When more was used than debited, the level falls below
 * zero. Returns the amount refunded, in utok.
 */
int64_t at_bucket_settle(
    at_bucket_t *bucket, at_debit_t *debit, uint64_t used_tokens);

#endif
