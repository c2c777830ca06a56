#include "core/claims/claims_internal.h"

#include <stdlib.h>
#include <string.h>

#define READ_EVERY_MS 200u /* between reads for waiting requests */
#define READ_BEFORE_MS 20u /* a table older than this is read before a put */
#define SETTLE_LAG_MS 250u /* a settlement waits this long for a claim */
#define PUT_BURST 4u       /* puts sent at once under the put rate */
#define BACKOFF_MS 10u     /* after the first failure */
#define BACKOFF_DOUBLINGS 6u
#define CONFLICT_SPREAD_MS 8u /* random wait after conflicts in a row */

void
shard_free(shard_t *shard)
{
	while (shard->first != NULL)
		claim_free(shard->first);
	claims_table_free(&shard->table);
	claims_table_free(&shard->next);
}

static const claim_entry_t *
own_entry(const at_claim_t *claim, const claims_table_t *table)
{
	const claim_entry_t *entry = claims_table_find(table, &claim->key);

	return entry != NULL && entry->id == claim->id ? entry : NULL;
}

/* Moves one request on after its shard's table has changed. */
static void
claim_review(at_claim_t *claim, int read)
{
	at_claims_t *claims = claim->claims;
	const claim_entry_t *entry = own_entry(claim, &claim->shard->table);

	switch (claim->state) {
	case CLAIM_ASKING:
	case CLAIM_WAITING:
		claim->fresh |= read && claim->reading;
		if (entry != NULL && read)
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
		if (entry != NULL || claim->sent)
			return;
		claims->stats.released++;
		claim_free(claim);
		return;
	default:
		return;
	}
}

/* The table was replaced; newer tells that older puts cannot land now. */
static void
shard_review(shard_t *shard, int newer, int read)
{
	at_claim_t *claim;
	at_claim_t *next;

	for (claim = shard->first; claim != NULL; claim = next) {
		next = claim->next;
		if (newer && claim->state != CLAIM_READY)
			claim->sent = 0;
		claim_review(claim, read);
	}
}

static void
shard_failed(shard_t *shard)
{
	uint32_t doublings = shard->failures < BACKOFF_DOUBLINGS
				 ? shard->failures
				 : BACKOFF_DOUBLINGS;

	shard->failures++;
	shard->retry_at_ms =
	    claims_now(shard->claims) + ((uint64_t)BACKOFF_MS << doublings);
}

/* Several writers that met once should not meet again at once. */
static void
shard_conflicted(shard_t *shard)
{
	at_claims_t *claims = shard->claims;
	uint64_t draw = claims->random.next(claims->random.impl);

	shard->must_read = 1;
	shard->conflicts++;
	if (shard->conflicts > 1)
		shard->retry_at_ms =
		    claims_now(claims) + draw % CONFLICT_SPREAD_MS;
}

/* Takes over what was read; returns -1 when it cannot be trusted. */
static int
shard_take(shard_t *shard, const at_store_result_t *result)
{
	claims_table_t table;
	uint64_t version =
	    result->code == AT_STORE_NOT_FOUND ? 0 : result->version;
	int newer = version > shard->version;

	/* Versions only grow: an older one is a stale read. */
	if (shard->loaded && version < shard->version)
		return -1;
	if (claims_table_decode(&table,
		result->code == AT_STORE_OK ? result->value : NULL,
		result->code == AT_STORE_OK ? result->value_len : 0) != 0) {
		shard->claims->stats.malformed++;
		return -1;
	}
	claims_table_adopt_ages(
	    &table, &shard->table, claims_now(shard->claims));
	claims_table_free(&shard->table);
	shard->table = table;
	shard->version = version;
	shard->loaded = 1;
	shard->must_read = 0;
	shard->seen_at_ms = claims_now(shard->claims);
	shard->failures = 0;
	shard_review(shard, newer, 1);
	return 0;
}

static void
on_read(void *ctx, const at_store_result_t *result)
{
	shard_t *shard = ctx;
	at_claims_t *claims = shard->claims;

	shard->busy = 0;
	if ((result->code != AT_STORE_OK &&
		result->code != AT_STORE_NOT_FOUND) ||
	    shard_take(shard, result) != 0)
		shard_failed(shard);
	claims_deliver(claims);
	claims_process(claims);
}

static void
shard_read(shard_t *shard)
{
	at_claims_t *claims = shard->claims;
	at_claim_t *claim;

	for (claim = shard->first; claim != NULL; claim = claim->next)
		claim->reading = 1;
	shard->busy = 1;
	shard->read_at_ms = claims_now(claims) + READ_EVERY_MS;
	claims->stats.reads++;
	claims->store.get(claims->store.impl, shard->object, on_read, shard);
}

/* The put took effect: the object is what we wrote. */
static void
shard_written(shard_t *shard, uint64_t version)
{
	claims_table_free(&shard->table);
	shard->table = shard->next;
	memset(&shard->next, 0, sizeof(shard->next));
	shard->version = version;
	shard->seen_at_ms = claims_now(shard->claims);
	shard->failures = 0;
	shard->conflicts = 0;
	shard_review(shard, 1, 0);
}

static void
on_put(void *ctx, const at_store_result_t *result)
{
	shard_t *shard = ctx;
	at_claims_t *claims = shard->claims;

	shard->busy = 0;
	switch (result->code) {
	case AT_STORE_OK:
		claims->stats.puts_ok++;
		shard_written(shard, result->version);
		break;
	case AT_STORE_CONFLICT:
		claims->stats.puts_conflict++;
		shard_conflicted(shard);
		break;
	case AT_STORE_NOT_SENT:
		claims->stats.puts_not_sent++;
		shard_failed(shard);
		break;
	default:
		claims->stats.puts_unknown++;
		shard->must_read = 1;
		shard_failed(shard);
		break;
	}
	claims_table_free(&shard->next);
	claims_deliver(claims);
	claims_process(claims);
}

/* Writes one settlement or takes one claim back, where it is still ours. */
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
	entry->answer = claim->answer;
	entry->answer_len = (uint16_t)claim->answer_len;
	entry->answer_kept = claim->answer_kept;
}

static void
apply_ask(at_claim_t *claim, claims_table_t *table)
{
	at_claims_t *claims = claim->claims;
	const claim_entry_t entry = {.key = claim->key,
	    .digest = claim->digest,
	    .id = claim->id,
	    .claimant = claims->self.number};
	size_t room = claims->shard_bytes / claims_table_entry_size();

	if (claims_table_find(table, &claim->key) != NULL)
		return;
	if (table->count + 2 > room || claims_table_add(table, &entry) != 0) {
		claims->stats.refused_full++;
		claim_abandon(claim);
		return;
	}
	claim->sent = 1;
}

/* Writes down what the object should hold next; -1 without memory. */
static int
shard_compose(shard_t *shard, claims_table_t *table)
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
		if (claim->state == CLAIM_ASKING)
			apply_ask(claim, table);
	}
	claims->stats.answers_dropped +=
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

	if (shard_compose(shard, &table) != 0)
		return;
	bytes = claims_table_encode(&table, &len);
	if (bytes != NULL &&
	    claims_table_decode(&shard->next, bytes, len) == 0) {
		shard->next.base_ms = table.base_ms;
		shard->busy = 1;
		claims->stats.puts++;
		shard->paid = 0;
		claims->store.put(claims->store.impl, shard->object,
		    shard->version, bytes, len, on_put, shard);
	}
	free(bytes);
	claims_table_free(&table);
}

/* What a shard has to write. */
typedef enum shard_work {
	WORK_NONE,
	WORK_ENDS, /* settlements and claims to take back */
	WORK_ASKS, /* requests wait for it */
} shard_work_t;

static shard_work_t
shard_work(const shard_t *shard, uint64_t now_ms)
{
	const at_claim_t *claim;
	shard_work_t work = WORK_NONE;

	for (claim = shard->first; claim != NULL; claim = claim->next) {
		if (claim->state == CLAIM_ASKING)
			return WORK_ASKS;
		if ((claim->state == CLAIM_SETTLING ||
			claim->state == CLAIM_RELEASING) &&
		    now_ms >= claim->since_ms + SETTLE_LAG_MS)
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
	return claims->paid_until_ms <=
	       now_ms + (uint64_t)claims->put_gap_ms * (PUT_BURST - 1);
}

/* Each put pays for one gap; unused time is kept for a burst. */
static void
note_put(at_claims_t *claims, uint64_t now_ms)
{
	if (claims->paid_until_ms < now_ms)
		claims->paid_until_ms = now_ms;
	claims->paid_until_ms += claims->put_gap_ms;
}

/* Starts the call that a shard is due, if its work is of this kind. */
static void
shard_kick(shard_t *shard, shard_work_t kind)
{
	at_claims_t *claims = shard->claims;
	uint64_t now_ms = claims_now(claims);

	if (shard->busy || shard->first == NULL || now_ms < shard->retry_at_ms)
		return;
	if (shard->must_read || !shard->loaded ||
	    (now_ms >= shard->read_at_ms && has_waiting(shard))) {
		shard_read(shard);
		return;
	}
	if (shard_work(shard, now_ms) != kind ||
	    (!shard->paid && !may_put(claims, now_ms)))
		return;
	/* Paid before the read, so that no other shard takes the turn. */
	if (!shard->paid)
		note_put(claims, now_ms);
	shard->paid = 1;
	/* Reads are cheaper than puts that meet another writer's. */
	if (now_ms >= shard->seen_at_ms + READ_BEFORE_MS)
		shard_read(shard);
	else
		shard_put(shard);
}

static void
kick_kind(at_claims_t *claims, shard_work_t kind)
{
	uint32_t start = claims->cursor;
	uint32_t i;

	for (i = 0; i < claims->shard_count; i++) {
		uint32_t number = (start + i) % claims->shard_count;
		uint64_t puts = claims->stats.puts;

		shard_kick(&claims->shards[number], kind);
		/* The next turn goes to the shard behind this one. */
		if (claims->stats.puts != puts)
			claims->cursor = (number + 1) % claims->shard_count;
	}
}

void
claims_process(at_claims_t *claims)
{
	kick_kind(claims, WORK_ASKS);
	kick_kind(claims, WORK_ENDS);
}
