#include "core/claims/claims_internal.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define RETRY_AFTER_MS 1000u /* delay before a retry, as stated to callers */
/*
 * The claimant of an unsettled claim of this age has probably ended: callers do
 * not wait for a settlement.
 */
#define SETTLE_TIMEOUT_MS 120000u

const char *const at_claim_outcome_names[] = {
    "granted", "answered", "in_flight", "mismatch", "unavailable"};

at_claims_t *
at_claims_new(void)
{
	at_claims_t *claims = calloc(1, sizeof(*claims));

	if (claims == NULL)
		return NULL;
	claims->retention_ms = AT_CLAIM_RETENTION_MIN_S * AT_MS_PER_S;
	at_claims_set_shards(claims, AT_CLAIM_SHARDS, AT_VALUE_MAX_BYTES);
	if (claims->shards == NULL) {
		free(claims);
		return NULL;
	}
	return claims;
}

void
at_claims_set_store(at_claims_t *claims, const at_store_t *store)
{
	claims->store = *store;
}

void
at_claims_set_clock(at_claims_t *claims, const at_clock_t *clock)
{
	claims->clock = *clock;
}

void
at_claims_set_random(at_claims_t *claims, const at_random_t *random)
{
	claims->random = *random;
}

void
at_claims_set_self(at_claims_t *claims, const at_incarnation_t *self)
{
	claims->self = *self;
}

void
at_claims_set_retention(at_claims_t *claims, uint32_t retention_s)
{
	uint64_t ms;

	if (retention_s < AT_CLAIM_RETENTION_MIN_S)
		retention_s = AT_CLAIM_RETENTION_MIN_S;
	ms = (uint64_t)retention_s * AT_MS_PER_S;
	claims->retention_ms = ms + ms / AT_CLAIM_CLOCK_RATE_DIVISOR * 2;
}

void
at_claims_set_shards(at_claims_t *claims, uint32_t shards, size_t shard_bytes)
{
	uint32_t i;

	assert(shards > 0 && shards <= AT_CLAIM_SHARDS_MAX);
	assert(shard_bytes <= AT_VALUE_MAX_BYTES && claims->pending == 0);
	free(claims->shards);
	claims->shards = calloc(shards, sizeof(*claims->shards));
	claims->shard_count = claims->shards == NULL ? 0 : shards;
	claims->shard_bytes = shard_bytes;
	for (i = 0; i < claims->shard_count; i++) {
		shard_t *shard = &claims->shards[i];

		shard->claims = claims;
		(void)snprintf(shard->object, sizeof(shard->object),
		    AT_CLAIM_OBJECT_PREFIX "%02u", i);
	}
}

void
at_claims_set_put_rate(at_claims_t *claims, uint32_t puts_s)
{
	claims->put_interval_ms = puts_s == 0 ? 0 : AT_MS_PER_S / puts_s;
}

void
at_claims_delete(at_claims_t *claims)
{
	uint32_t i;

	if (claims == NULL)
		return;
	for (i = 0; i < claims->shard_count; i++)
		shard_free(&claims->shards[i]);
	free(claims->shards);
	free(claims);
}

void
at_claim_hash(at_claim_hash_t *hash, const void *const *parts,
    const size_t *lens, size_t count)
{
	crypto_generichash_state state;
	size_t i;

	(void)crypto_generichash_init(&state, NULL, 0, sizeof(hash->bytes));
	for (i = 0; i < count; i++) {
		uint64_t len = lens[i];

		(void)crypto_generichash_update(
		    &state, (const uint8_t *)&len, sizeof(len));
		(void)crypto_generichash_update(&state, parts[i], lens[i]);
	}
	(void)crypto_generichash_final(
	    &state, hash->bytes, sizeof(hash->bytes));
}

uint64_t
claims_now(const at_claims_t *claims)
{
	return claims->clock.now_ms(claims->clock.impl);
}

void
claim_set_state(at_claim_t *claim, claim_state_t state)
{
	claim->state = state;
	claim->state_since_ms = claims_now(claim->claims);
}

void
claim_free(at_claim_t *claim)
{
	shard_t *shard = claim->shard;

	if (claim->prev != NULL)
		claim->prev->next = claim->next;
	else
		shard->first = claim->next;
	if (claim->next != NULL)
		claim->next->prev = claim->prev;
	else
		shard->last = claim->prev;
	claim->claims->pending--;
	free(claim->response);
	free(claim);
}

void
claim_resolve(
    at_claim_t *claim, at_claim_outcome_t outcome, uint32_t retry_after_ms)
{
	at_claims_t *claims = claim->claims;

	claim_set_state(claim, CLAIM_READY);
	claim->result.outcome = outcome;
	claim->result.retry_after_ms = retry_after_ms;
	claim->next_ready = NULL;
	if (claims->ready_last != NULL)
		claims->ready_last->next_ready = claim;
	else
		claims->ready_first = claim;
	claims->ready_last = claim;
}

/* Resolves a claim with the response to an earlier request of its key. */
static void
resolve_completed(at_claim_t *claim, uint16_t status, const uint8_t *response,
    size_t len, int response_stored)
{
	if (len > 0)
		claim->response = malloc(len);
	if (claim->response != NULL) {
		memcpy(claim->response, response, len);
		claim->response_len = len;
	}
	claim->result.status = status;
	claim->result.response_stored =
	    response_stored && (len == 0 || claim->response != NULL);
	claim_resolve(claim, AT_CLAIM_COMPLETED, 0);
}

/* Returns whether an earlier request of this process may put the same key. */
static int
has_earlier_request(const at_claim_t *claim)
{
	const at_claim_t *other;

	for (other = claim->shard->first; other != claim; other = other->next) {
		if (other->state == CLAIM_REQUESTING &&
		    memcmp(&other->key, &claim->key, sizeof(claim->key)) == 0)
			return 1;
	}
	return 0;
}

static void
evaluate_claimed(at_claim_t *claim, const claim_entry_t *entry)
{
	shard_t *shard = claim->shard;
	uint64_t age_ms =
	    entry->age_ms + claims_now(claim->claims) - shard->table.base_ms;
	int is_same_digest =
	    memcmp(&entry->digest, &claim->digest, sizeof(claim->digest)) == 0;

	/*
	 * The entry may have been pruned since an older read, and the request
	 * may have run again.
	 */
	if (!claim->has_fresh_read) {
		claim->state = CLAIM_WAITING;
		shard->needs_read = 1;
	} else if (!is_same_digest) {
		claim_resolve(claim, AT_CLAIM_MISMATCH, 0);
	} else if (entry->status != 0) {
		resolve_completed(claim, entry->status, entry->response,
		    entry->response_len, entry->response_stored);
	} else if (age_ms >= SETTLE_TIMEOUT_MS) {
		claim_resolve(claim, AT_CLAIM_IN_FLIGHT, 0);
	} else {
		claim->state = CLAIM_WAITING;
	}
}

void
claim_evaluate(at_claim_t *claim)
{
	shard_t *shard = claim->shard;
	const claim_entry_t *entry;

	if (claim->state != CLAIM_REQUESTING && claim->state != CLAIM_WAITING)
		return;
	if (!shard->is_loaded) {
		claim->state = CLAIM_WAITING;
		return;
	}
	entry = claims_table_find(&shard->table, &claim->key);
	if (entry != NULL && entry->id == claim->id)
		claim_resolve(claim, AT_CLAIM_GRANTED, 0);
	else if (entry != NULL)
		evaluate_claimed(claim, entry);
	else if (!claim->in_put && has_earlier_request(claim))
		claim->state = CLAIM_WAITING;
	else
		claim->state = CLAIM_REQUESTING;
}

void
claim_abandon(at_claim_t *claim)
{
	const shard_t *shard = claim->shard;
	const claim_entry_t *entry =
	    shard->is_loaded ? claims_table_find(&shard->table, &claim->key)
			     : NULL;

	if (entry != NULL || (!claim->in_put && has_earlier_request(claim)))
		claim_resolve(claim, AT_CLAIM_IN_FLIGHT, RETRY_AFTER_MS);
	else
		claim_resolve(claim, AT_CLAIM_UNAVAILABLE, RETRY_AFTER_MS);
}

/* Frees a delivered request, or releases it if its put may take effect. */
static void
finish_request(at_claim_t *claim)
{
	if (claim->in_put)
		claim_set_state(claim, CLAIM_RELEASING);
	else
		claim_free(claim);
}

/*
 * Replaces an outcome that is delivered after its deadline. A process that was
 * paused must not rely on what it read before: the claim may have been pruned.
 */
static void
downgrade_late_outcome(at_claim_t *claim, at_claim_result_t *result)
{
	result->retry_after_ms = RETRY_AFTER_MS;
	if (result->outcome == AT_CLAIM_GRANTED) {
		claim->in_put = 1;
		result->outcome = AT_CLAIM_UNAVAILABLE;
	} else if (result->outcome == AT_CLAIM_COMPLETED) {
		result->outcome = AT_CLAIM_IN_FLIGHT;
	}
}

static void
deliver_outcome(at_claim_t *claim)
{
	at_claims_t *claims = claim->claims;
	at_claim_result_t result = claim->result;

	if (claim->is_cancelled) {
		claim->in_put |= result.outcome == AT_CLAIM_GRANTED;
		finish_request(claim);
		return;
	}
	if (claims_now(claims) > claim->deadline_ms)
		downgrade_late_outcome(claim, &result);
	claims->stats.outcomes[result.outcome]++;
	result.response = claim->response;
	result.response_len = claim->response_len;
	if (result.outcome == AT_CLAIM_GRANTED) {
		claim->in_put = 0;
		claim_set_state(claim, CLAIM_GRANTED);
		claim->done(claim->ctx, claim, &result);
		return;
	}
	claim->done(claim->ctx, claim, &result);
	finish_request(claim);
}

void
claims_deliver(at_claims_t *claims)
{
	if (claims->is_delivering || claims->call_depth)
		return;
	claims->is_delivering = 1;
	while (claims->ready_first != NULL) {
		at_claim_t *claim = claims->ready_first;

		claims->ready_first = claim->next_ready;
		if (claims->ready_first == NULL)
			claims->ready_last = NULL;
		deliver_outcome(claim);
	}
	claims->is_delivering = 0;
}

static shard_t *
find_shard(at_claims_t *claims, const at_claim_hash_t *key)
{
	uint32_t number = (uint32_t)key->bytes[0] | (uint32_t)key->bytes[1]
							<< 8;

	return &claims->shards[number % claims->shard_count];
}

/* Starts due calls; callbacks wait until the public function has returned. */
static void
process_without_callbacks(at_claims_t *claims)
{
	claims->call_depth++;
	claims_process(claims);
	claims->call_depth--;
}

at_claim_t *
at_claims_request(at_claims_t *claims, const at_claim_hash_t *key,
    const at_claim_hash_t *digest, uint32_t wait_ms, at_claim_done_t done,
    void *ctx)
{
	at_claim_t *claim = calloc(1, sizeof(*claim));

	if (claim == NULL)
		return NULL;
	claim->claims = claims;
	claim->shard = find_shard(claims, key);
	claim->key = *key;
	claim->digest = *digest;
	claim->id = claims->random.next(claims->random.impl);
	claim->deadline_ms = claims_now(claims) + wait_ms;
	claim->done = done;
	claim->ctx = ctx;
	claim->prev = claim->shard->last;
	if (claim->prev != NULL)
		claim->prev->next = claim;
	else
		claim->shard->first = claim;
	claim->shard->last = claim;
	claims->pending++;
	if (claims->pending > AT_CLAIMS_PENDING_MAX) {
		claims->stats.refused_full++;
		claim_resolve(claim, AT_CLAIM_UNAVAILABLE, RETRY_AFTER_MS);
		return claim;
	}
	claim_set_state(claim, CLAIM_WAITING);
	claim_evaluate(claim);
	process_without_callbacks(claims);
	return claim;
}

void
at_claims_cancel(at_claims_t *claims, at_claim_t *claim)
{
	(void)claims;
	if (claim->state == CLAIM_READY)
		claim->is_cancelled = 1;
	else
		finish_request(claim);
}

void
at_claims_settle(at_claims_t *claims, at_claim_t *claim, uint16_t status,
    const void *response, size_t len)
{
	assert(claim->state == CLAIM_GRANTED && status != 0);
	claim->status = status;
	claim->response_stored = len <= AT_CLAIM_RESPONSE_MAX_BYTES;
	if (claim->response_stored && len > 0) {
		claim->response = malloc(len);
		claim->response_stored = claim->response != NULL;
	}
	if (claim->response != NULL) {
		memcpy(claim->response, response, len);
		claim->response_len = len;
	}
	claim_set_state(claim, CLAIM_SETTLING);
	process_without_callbacks(claims);
}

void
at_claims_release(at_claims_t *claims, at_claim_t *claim)
{
	assert(claim->state == CLAIM_GRANTED);
	claim_set_state(claim, CLAIM_RELEASING);
	process_without_callbacks(claims);
}

void
at_claims_abandon(at_claims_t *claims, at_claim_t *claim)
{
	(void)claims;
	assert(claim->state == CLAIM_GRANTED);
	claim_free(claim);
}

/* Resolves requests past their deadline and reevaluates those that wait. */
static void
check_deadlines(shard_t *shard, uint64_t now_ms)
{
	at_claim_t *claim;

	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state != CLAIM_REQUESTING &&
		    claim->state != CLAIM_WAITING)
			continue;
		if (now_ms >= claim->deadline_ms)
			claim_abandon(claim);
		else if (claim->state == CLAIM_WAITING)
			claim_evaluate(claim);
	}
}

void
at_claims_tick(at_claims_t *claims)
{
	uint64_t now_ms = claims_now(claims);
	uint32_t i;

	for (i = 0; i < claims->shard_count; i++)
		check_deadlines(&claims->shards[i], now_ms);
	process_without_callbacks(claims);
	claims_deliver(claims);
}

size_t
at_claims_pending_count(const at_claims_t *claims)
{
	return claims->pending;
}

size_t
at_claims_unsettled_count(const at_claims_t *claims)
{
	const at_claim_t *claim;
	size_t count = 0;
	uint32_t i;

	for (i = 0; i < claims->shard_count; i++) {
		for (claim = claims->shards[i].first; claim != NULL;
		     claim = claim->next)
			count += claim->state == CLAIM_SETTLING ||
				 claim->state == CLAIM_RELEASING;
	}
	return count;
}

const at_claims_stats_t *
at_claims_stats(const at_claims_t *claims)
{
	return &claims->stats;
}
