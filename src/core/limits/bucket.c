#include "almondthread/bucket.h"

#include <assert.h>
#include <stdlib.h>

#include <utlist.h>

#define CLOCK_RESOLUTION_MS 1u /* largest error of one clock reading */
#define PPM 1000000

typedef __int128 wide_t;

struct at_debit {
	at_debit_t *prev;
	at_debit_t *next;
	uint64_t cost_tokens;
	int64_t refundable_utok; /* what may still be refunded */
};

struct at_bucket {
	uint64_t rate_tokens_s;
	uint64_t burst_tokens;
	int64_t share_ppb;
	int64_t level_utok;
	int64_t refundable_utok; /* sum over the debits */
	uint64_t refilled_at_ms;
	at_debit_t *debits; /* oldest first */
};

at_bucket_t *
at_bucket_new(uint64_t now_ms)
{
	at_bucket_t *bucket = calloc(1, sizeof(*bucket));

	if (bucket != NULL)
		bucket->refilled_at_ms = now_ms;
	return bucket;
}

void
at_bucket_delete(at_bucket_t *bucket)
{
	at_debit_t *debit;
	at_debit_t *next;

	if (bucket == NULL)
		return;
	for (debit = bucket->debits; debit != NULL; debit = next) {
		next = debit->next;
		free(debit);
	}
	free(bucket);
}

/* Returns the refill of a share of the rate in elapsed_ms of true time. */
static int64_t
refill_utok(const at_bucket_t *bucket, int64_t share_ppb, uint64_t elapsed_ms)
{
	wide_t utok = (wide_t)bucket->rate_tokens_s * share_ppb;

	utok = utok * elapsed_ms / AT_UTOK_PER_TOKEN;
	return utok > INT64_MAX / 2 ? INT64_MAX / 2 : (int64_t)utok;
}

int64_t
at_bucket_burst_utok(const at_bucket_t *bucket, int64_t share_ppb)
{
	wide_t utok =
	    (wide_t)bucket->burst_tokens * AT_UTOK_PER_TOKEN * share_ppb;

	return (int64_t)(utok / AT_PPB_WHOLE);
}

/*
 * Returns the largest level: the burst less what one clock reading may add too
 * early.
 */
static int64_t
capacity_utok(const at_bucket_t *bucket)
{
	return at_bucket_burst_utok(bucket, bucket->share_ppb) -
	       refill_utok(bucket, bucket->share_ppb, CLOCK_RESOLUTION_MS);
}

/* Reduces the refundable amounts by excess_utok, oldest debit first. */
static void
reduce_refundable(at_bucket_t *bucket, int64_t excess_utok)
{
	at_debit_t *debit;

	for (debit = bucket->debits; debit != NULL; debit = debit->next) {
		int64_t reduction_utok = debit->refundable_utok < excess_utok
					     ? debit->refundable_utok
					     : excess_utok;

		if (excess_utok <= 0)
			return;
		debit->refundable_utok -= reduction_utok;
		bucket->refundable_utok -= reduction_utok;
		excess_utok -= reduction_utok;
	}
}

/* Restores level <= capacity and level + refundable <= capacity. */
static void
clamp(at_bucket_t *bucket)
{
	int64_t max_utok = capacity_utok(bucket);

	if (bucket->level_utok > max_utok)
		bucket->level_utok = max_utok;
	if (bucket->level_utok + bucket->refundable_utok > max_utok)
		reduce_refundable(bucket,
		    bucket->level_utok + bucket->refundable_utok - max_utok);
}

void
at_bucket_advance(at_bucket_t *bucket, uint64_t now_ms)
{
	uint64_t elapsed_ms;
	wide_t utok;

	if (now_ms <= bucket->refilled_at_ms)
		return;
	elapsed_ms = now_ms - bucket->refilled_at_ms;
	bucket->refilled_at_ms = now_ms;
	utok = refill_utok(bucket, bucket->share_ppb, elapsed_ms);
	utok = utok * (PPM - AT_CLOCK_ERROR_PPM) / PPM;
	bucket->level_utok += (int64_t)utok;
	clamp(bucket);
}

void
at_bucket_set_limit(
    at_bucket_t *bucket, uint64_t rate_tokens_s, uint64_t burst_tokens)
{
	int64_t step_utok =
	    refill_utok(bucket, bucket->share_ppb, CLOCK_RESOLUTION_MS);

	assert(rate_tokens_s <= AT_LIMIT_TOKENS_MAX &&
	       burst_tokens <= AT_LIMIT_TOKENS_MAX);
	bucket->rate_tokens_s = rate_tokens_s;
	bucket->burst_tokens = burst_tokens;
	step_utok =
	    refill_utok(bucket, bucket->share_ppb, CLOCK_RESOLUTION_MS) -
	    step_utok;
	if (step_utok > 0)
		bucket->level_utok -= step_utok;
	clamp(bucket);
}

void
at_bucket_set_share(at_bucket_t *bucket, int64_t share_ppb)
{
	int64_t added_ppb = share_ppb - bucket->share_ppb;

	assert(share_ppb >= 0 && share_ppb <= AT_PPB_WHOLE);
	bucket->share_ppb = share_ppb;
	if (added_ppb > 0)
		bucket->level_utok -=
		    refill_utok(bucket, added_ppb, CLOCK_RESOLUTION_MS);
	clamp(bucket);
}

int64_t
at_bucket_level_utok(const at_bucket_t *bucket)
{
	return bucket->level_utok;
}

int64_t
at_bucket_refundable_utok(const at_bucket_t *bucket)
{
	return bucket->refundable_utok;
}

int64_t
at_bucket_take(at_bucket_t *bucket, int64_t utok)
{
	if (utok > bucket->level_utok)
		utok = bucket->level_utok;
	if (utok < 0)
		return 0;
	bucket->level_utok -= utok;
	return utok;
}

void
at_bucket_add(at_bucket_t *bucket, int64_t utok)
{
	assert(utok >= 0);
	bucket->level_utok += utok;
	clamp(bucket);
}

at_debit_t *
at_bucket_debit(at_bucket_t *bucket, uint64_t cost_tokens)
{
	at_debit_t *debit;

	if (cost_tokens > AT_LIMIT_TOKENS_MAX ||
	    bucket->level_utok < (int64_t)cost_tokens * AT_UTOK_PER_TOKEN)
		return NULL;
	debit = calloc(1, sizeof(*debit));
	if (debit == NULL)
		return NULL;
	debit->cost_tokens = cost_tokens;
	debit->refundable_utok = (int64_t)cost_tokens * AT_UTOK_PER_TOKEN;
	bucket->level_utok -= debit->refundable_utok;
	bucket->refundable_utok += debit->refundable_utok;
	DL_APPEND(bucket->debits, debit);
	return debit;
}

int64_t
at_bucket_settle(at_bucket_t *bucket, at_debit_t *debit, uint64_t used_tokens)
{
	int64_t unused_utok =
	    ((int64_t)debit->cost_tokens - (int64_t)used_tokens) *
	    AT_UTOK_PER_TOKEN;

	if (unused_utok > debit->refundable_utok)
		unused_utok = debit->refundable_utok;
	bucket->refundable_utok -= debit->refundable_utok;
	bucket->level_utok += unused_utok;
	DL_DELETE(bucket->debits, debit);
	free(debit);
	clamp(bucket);
	return unused_utok;
}
