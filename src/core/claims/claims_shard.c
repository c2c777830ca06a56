#include "core/claims/claims_internal.h"

#include <stdlib.h>
#include <string.h>

#define READ_INTERVAL_MS 200u /* between two reads for waiting requests */
#define TABLE_AGE_MAX_MS 20u  /* an older table is read again before a put */
/* Longest wait of a settlement for a put that adds claims, which saves puts. */
#define SETTLE_DELAY_MS 250u
#define PUT_BURST_MAX 4u         /* puts sent at once within the put rate */
#define BACKOFF_MS 10u           /* delay after the first failed call */
#define BACKOFF_DOUBLINGS 6u     /* most doublings of the delay */
#define CONFLICT_DELAY_MAX_MS 8u /* longest delay after repeated conflicts */

void
shard_free(shard_t *shard)
{
	while (shard->first != NULL)
		claim_free(shard->first);
	claims_table_free(&shard->table);
	claims_table_free(&shard->next);
}

static const claim_entry_t *
find_own_entry(const at_claim_t *claim, const claims_table_t *table)
{
	const claim_entry_t *entry = claims_table_find(table, &claim->key);

	return entry != NULL && entry->id == claim->id ? entry : NULL;
}

/* Updates the state of one request after its shard's table was replaced. */
static void
claim_update(at_claim_t *claim, int from_read)
{
	at_claims_t *claims = claim->claims;
	const claim_entry_t *entry =
	    find_own_entry(claim, &claim->shard->table);

	switch (claim->state) {
	case CLAIM_REQUESTING:
	case CLAIM_WAITING:
		claim->has_fresh_read |= from_read && claim->covered_by_read;
		if (entry != NULL && from_read)
			claims->stats.recovered++;
		claim_evaluate(claim);
		return;
	case CLAIM_SETTLING:
		if (entry != NULL && entry->status == 0)
			return;
		claims->stats.settled++;
		claim_free(claim);
		return;
	case CLAIM_RELEASING:
		if (entry != NULL || claim->in_put)
			return;
		claims->stats.released++;
		claim_free(claim);
		return;
	default:
		return;
	}
}

/*
 * Updates all requests after the table was replaced. is_newer: the version has
 * increased, so that earlier puts can no longer take effect.
 */
static void
shard_update_claims(shard_t *shard, int is_newer, int from_read)
{
	at_claim_t *claim;
	at_claim_t *next;

	for (claim = shard->first; claim != NULL; claim = next) {
		next = claim->next;
		if (is_newer && claim->state != CLAIM_READY)
			claim->in_put = 0;
		claim_update(claim, from_read);
	}
}

static void
shard_note_failure(shard_t *shard)
{
	uint32_t doublings = shard->failures < BACKOFF_DOUBLINGS
				 ? shard->failures
				 : BACKOFF_DOUBLINGS;

	shard->failures++;
	shard->retry_at_ms =
	    claims_now(shard->claims) + ((uint64_t)BACKOFF_MS << doublings);
}

/*
 * Records a conflicting put. A random delay keeps the writers from conflicting
 * with each other again.
 */
static void
shard_note_conflict(shard_t *shard)
{
	at_claims_t *claims = shard->claims;
	uint64_t random = claims->random.next(claims->random.impl);

	shard->needs_read = 1;
	shard->conflicts++;
	if (shard->conflicts > 1)
		shard->retry_at_ms =
		    claims_now(claims) + random % CONFLICT_DELAY_MAX_MS;
}

/* Applies a read; returns -1 when it is outdated or malformed. */
static int
shard_apply_read(shard_t *shard, const at_store_result_t *result)
{
	claims_table_t table;
	uint64_t version =
	    result->code == AT_STORE_NOT_FOUND ? 0 : result->version;
	int is_newer = version > shard->version;

	/* Versions only increase: an older one is a stale read. */
	if (shard->is_loaded && version < shard->version)
		return -1;
	if (claims_table_decode(&table,
		result->code == AT_STORE_OK ? result->value : NULL,
		result->code == AT_STORE_OK ? result->value_len : 0) != 0) {
		shard->claims->stats.malformed++;
		return -1;
	}
	claims_table_merge_ages(
	    &table, &shard->table, claims_now(shard->claims));
	claims_table_free(&shard->table);
	shard->table = table;
	shard->version = version;
	shard->is_loaded = 1;
	shard->needs_read = 0;
	shard->confirmed_ms = claims_now(shard->claims);
	shard->failures = 0;
	shard_update_claims(shard, is_newer, 1);
	return 0;
}

static void
on_read(void *ctx, const at_store_result_t *result)
{
	shard_t *shard = ctx;
	at_claims_t *claims = shard->claims;

	shard->call_in_flight = 0;
	if ((result->code != AT_STORE_OK &&
		result->code != AT_STORE_NOT_FOUND) ||
	    shard_apply_read(shard, result) != 0)
		shard_note_failure(shard);
	claims_deliver(claims);
	claims_process(claims);
}

static void
shard_read(shard_t *shard)
{
	at_claims_t *claims = shard->claims;
	at_claim_t *claim;

	for (claim = shard->first; claim != NULL; claim = claim->next)
		claim->covered_by_read = 1;
	shard->call_in_flight = 1;
	shard->next_read_ms = claims_now(claims) + READ_INTERVAL_MS;
	claims->stats.reads++;
	claims->store.get(claims->store.impl, shard->object, on_read, shard);
}

/* Applies a successful put: the object has the written value. */
static void
shard_apply_put(shard_t *shard, uint64_t version)
{
	claims_table_free(&shard->table);
	shard->table = shard->next;
	memset(&shard->next, 0, sizeof(shard->next));
	shard->version = version;
	shard->confirmed_ms = claims_now(shard->claims);
	shard->failures = 0;
	shard->conflicts = 0;
	shard_update_claims(shard, 1, 0);
}

static void
on_put(void *ctx, const at_store_result_t *result)
{
	shard_t *shard = ctx;
	at_claims_t *claims = shard->claims;

	shard->call_in_flight = 0;
	switch (result->code) {
	case AT_STORE_OK:
		claims->stats.puts_ok++;
		shard_apply_put(shard, result->version);
		break;
	case AT_STORE_CONFLICT:
		claims->stats.puts_conflict++;
		shard_note_conflict(shard);
		break;
	case AT_STORE_NOT_SENT:
		claims->stats.puts_not_sent++;
		shard_note_failure(shard);
		break;
	default:
		claims->stats.puts_unknown++;
		shard->needs_read = 1;
		shard_note_failure(shard);
		break;
	}
	claims_table_free(&shard->next);
	claims_deliver(claims);
	claims_process(claims);
}

/* Records a settlement or removes a released claim, if the entry is ours. */
static void
apply_end(at_claim_t *claim, claims_table_t *table)
{
	claim_entry_t *entry = claims_table_find(table, &claim->key);

	if (entry == NULL || entry->id != claim->id)
		return;
	if (claim->state == CLAIM_RELEASING) {
		claims_table_remove(table, entry);
		return;
	}
	entry->status = claim->status;
	entry->response = claim->response;
	entry->response_len = (uint16_t)claim->response_len;
	entry->response_stored = claim->response_stored;
}

static void
apply_request(at_claim_t *claim, claims_table_t *table)
{
	at_claims_t *claims = claim->claims;
	const claim_entry_t entry = {.key = claim->key,
	    .digest = claim->digest,
	    .id = claim->id,
	    .claimant = claims->self.number};
	size_t entries_max = claims->shard_bytes / claims_table_entry_size();

	if (claims_table_find(table, &claim->key) != NULL)
		return;
	/* The header takes less than the space of one entry. */
	if (table->count + 2 > entries_max ||
	    claims_table_add(table, &entry) != 0) {
		claims->stats.refused_full++;
		claim_abandon(claim);
		return;
	}
	claim->in_put = 1;
}

/* Builds the next value of the object. Returns 0, or -1 if out of memory. */
static int
shard_build_next(shard_t *shard, claims_table_t *table)
{
	at_claims_t *claims = shard->claims;
	at_claim_t *claim;

	if (claims_table_copy(table, &shard->table, claims_now(claims)) != 0)
		return -1;
	claims->stats.pruned += claims_table_prune(table, claims->retention_ms);
	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state == CLAIM_SETTLING ||
		    claim->state == CLAIM_RELEASING)
			apply_end(claim, table);
	}
	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state == CLAIM_REQUESTING)
			apply_request(claim, table);
	}
	claims->stats.responses_dropped +=
	    claims_table_shrink(table, claims->shard_bytes);
	return 0;
}

static void
shard_put(shard_t *shard)
{
	at_claims_t *claims = shard->claims;
	claims_table_t table;
	uint8_t *bytes = NULL;
	size_t len;

	if (shard_build_next(shard, &table) != 0)
		return;
	bytes = claims_table_encode(&table, &len);
	if (bytes != NULL &&
	    claims_table_decode(&shard->next, bytes, len) == 0) {
		shard->next.base_ms = table.base_ms;
		shard->call_in_flight = 1;
		claims->stats.puts++;
		shard->is_put_counted = 0;
		claims->store.put(claims->store.impl, shard->object,
		    shard->version, bytes, len, on_put, shard);
	}
	free(bytes);
	claims_table_free(&table);
}

/* Kinds of changes that a shard has to write. */
typedef enum shard_work {
	WORK_NONE,
	WORK_ENDS,   /* settlements and released claims */
	WORK_CLAIMS, /* new claims, which callers wait for */
} shard_work_t;

static shard_work_t
shard_work(const shard_t *shard, uint64_t now_ms)
{
	const at_claim_t *claim;
	shard_work_t work = WORK_NONE;

	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state == CLAIM_REQUESTING)
			return WORK_CLAIMS;
		if ((claim->state == CLAIM_SETTLING ||
			claim->state == CLAIM_RELEASING) &&
		    now_ms >= claim->state_since_ms + SETTLE_DELAY_MS)
			work = WORK_ENDS;
	}
	return work;
}

static int
has_waiting(const shard_t *shard)
{
	const at_claim_t *claim;

	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state == CLAIM_WAITING)
			return 1;
	}
	return 0;
}

static int
may_put(const at_claims_t *claims, uint64_t now_ms)
{
	return claims->puts_counted_until_ms <=
	       now_ms + (uint64_t)claims->put_interval_ms * (PUT_BURST_MAX - 1);
}

/* Counts a put in the put rate; unused intervals allow a burst. */
static void
note_put(at_claims_t *claims, uint64_t now_ms)
{
	if (claims->puts_counted_until_ms < now_ms)
		claims->puts_counted_until_ms = now_ms;
	claims->puts_counted_until_ms += claims->put_interval_ms;
}

/* Starts a due read of a shard, or a put if its work is of this kind. */
static void
shard_process(shard_t *shard, shard_work_t kind)
{
	at_claims_t *claims = shard->claims;
	uint64_t now_ms = claims_now(claims);

	if (shard->call_in_flight || shard->first == NULL ||
	    now_ms < shard->retry_at_ms)
		return;
	if (shard->needs_read || !shard->is_loaded ||
	    (now_ms >= shard->next_read_ms && has_waiting(shard))) {
		shard_read(shard);
		return;
	}
	if (shard_work(shard, now_ms) != kind ||
	    (!shard->is_put_counted && !may_put(claims, now_ms)))
		return;
	/* Counting the put before the read keeps the rate for this shard. */
	if (!shard->is_put_counted)
		note_put(claims, now_ms);
	shard->is_put_counted = 1;
	/* A read costs less than a put that conflicts with another writer. */
	if (now_ms >= shard->confirmed_ms + TABLE_AGE_MAX_MS)
		shard_read(shard);
	else
		shard_put(shard);
}

static void
process_kind(at_claims_t *claims, shard_work_t kind)
{
	uint32_t start = claims->next_shard;
	uint32_t i;

	for (i = 0; i < claims->shard_count; i++) {
		uint32_t number = (start + i) % claims->shard_count;
		uint64_t puts = claims->stats.puts;

		shard_process(&claims->shards[number], kind);
		/* The shard after this one is processed first next time. */
		if (claims->stats.puts != puts)
			claims->next_shard = (number + 1) % claims->shard_count;
	}
}

void
claims_process(at_claims_t *claims)
{
	process_kind(claims, WORK_CLAIMS);
	process_kind(claims, WORK_ENDS);
}
