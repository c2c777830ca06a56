#include "core/jobs/jobs_internal.h"

#include <stdlib.h>
#include <string.h>

#define MAGIC_BYTES 4u
#define HEADER_BYTES (MAGIC_BYTES + 8u + 8u + 4u)
#define ENTRY_BYTES (AT_CLAIM_HASH_SIZE + 8u + 8u)
#define GROWTH_ENTRIES 64u /* entries added when an index is full */
/* Time between reads while jobs are queued and the lease is not held here. */
#define POLL_QUEUED_MS 2000u
#define POLL_IDLE_MS 30000u       /* between reads while no job is queued */
#define RENEWAL_INTERVAL_MS 2000u /* between renewals of a lease */
/* A lease allows new runs for this time after its renewal was sent. */
#define LEASE_USABLE_MS 4000u

static const uint8_t magic[MAGIC_BYTES] = {'A', 'T', 'I', '1'};

static void
put_u64(uint8_t **pos, uint64_t number)
{
	size_t i;

	for (i = 0; i < 8; i++)
		*(*pos)++ = (uint8_t)(number >> (8 * i));
}

static uint64_t
get_u64(const uint8_t **pos)
{
	uint64_t number = 0;
	size_t i;

	for (i = 0; i < 8; i++)
		number |= (uint64_t) * (*pos)++ << (8 * i);
	return number;
}

void
job_index_free(job_index_t *index)
{
	free(index->entries);
	memset(index, 0, sizeof(*index));
}

job_entry_t *
job_index_find(const job_index_t *index, const at_claim_hash_t *id)
{
	size_t i;

	for (i = 0; i < index->count; i++) {
		if (memcmp(&index->entries[i].id, id, sizeof(*id)) == 0)
			return &index->entries[i];
	}
	return NULL;
}

static int
reserve(job_index_t *index, size_t capacity)
{
	job_entry_t *entries;

	if (capacity <= index->capacity)
		return 0;
	entries = realloc(index->entries, capacity * sizeof(*entries));
	if (entries == NULL)
		return -1;
	index->entries = entries;
	index->capacity = capacity;
	return 0;
}

int
job_index_decode(job_index_t *index, const void *value, size_t len)
{
	const uint8_t *pos = value;
	size_t count;
	size_t i;

	memset(index, 0, sizeof(*index));
	if (len == 0)
		return 0;
	if (len < HEADER_BYTES || memcmp(pos, magic, MAGIC_BYTES) != 0)
		return -1;
	pos += MAGIC_BYTES;
	index->holder = get_u64(&pos);
	index->renewals = get_u64(&pos);
	pos += 4;
	count = (len - HEADER_BYTES) / ENTRY_BYTES;
	if (count * ENTRY_BYTES + HEADER_BYTES != len ||
	    reserve(index, count) != 0)
		return -1;
	for (i = 0; i < count; i++) {
		job_entry_t *entry = &index->entries[i];

		memcpy(entry->id.bytes, pos, AT_CLAIM_HASH_SIZE);
		pos += AT_CLAIM_HASH_SIZE;
		entry->due_ms = get_u64(&pos);
		entry->done_ms = get_u64(&pos);
	}
	index->count = count;
	return 0;
}

static uint8_t *
encode(const job_index_t *index, size_t *len)
{
	uint8_t *bytes;
	uint8_t *pos;
	size_t i;

	*len = HEADER_BYTES + index->count * ENTRY_BYTES;
	bytes = calloc(1, *len);
	if (bytes == NULL)
		return NULL;
	pos = bytes;
	memcpy(pos, magic, MAGIC_BYTES);
	pos += MAGIC_BYTES;
	put_u64(&pos, index->holder);
	put_u64(&pos, index->renewals);
	pos += 4;
	for (i = 0; i < index->count; i++) {
		const job_entry_t *entry = &index->entries[i];

		memcpy(pos, entry->id.bytes, AT_CLAIM_HASH_SIZE);
		pos += AT_CLAIM_HASH_SIZE;
		put_u64(&pos, entry->due_ms);
		put_u64(&pos, entry->done_ms);
	}
	return bytes;
}

int
job_shard_is_candidate(const job_shard_t *shard)
{
	if (shard->jobs->is_stopping)
		return 0;
	return shard->is_candidate || shard->accepted_here;
}

int
job_shard_has_lease(const job_shard_t *shard)
{
	return shard->index.holder == shard->jobs->self &&
	       jobs_now(shard->jobs) < shard->lease_until_ms;
}

static int
has_queued(const job_index_t *index)
{
	size_t i;

	for (i = 0; i < index->count; i++) {
		if (index->entries[i].done_ms == 0)
			return 1;
	}
	return 0;
}

/* Replaces the shard's index by the value at version; takes ownership. */
static void
apply_index(job_shard_t *shard, job_index_t *index, uint64_t version)
{
	uint64_t now_ms = jobs_now(shard->jobs);
	int is_newer = version > shard->version;

	if (!shard->is_loaded || index->holder != shard->index.holder ||
	    index->renewals != shard->index.renewals)
		shard->renewal_seen_ms = now_ms;
	if (index->holder != shard->jobs->self)
		shard->lease_until_ms = 0;
	/*
	 * A job accepted here needs no lease of this instance any more: none is
	 * queued, or another holder has renewed the lease and will run it.
	 */
	if (!has_queued(index))
		shard->accepted_here = 0;
	if (index->holder != 0 && index->holder != shard->jobs->self &&
	    shard->is_loaded && index->renewals != shard->index.renewals)
		shard->accepted_here = 0;
	shard->next_read_ms =
	    now_ms + (has_queued(index) ? POLL_QUEUED_MS : POLL_IDLE_MS);
	job_index_free(&shard->index);
	shard->index = *index;
	memset(index, 0, sizeof(*index));
	shard->version = version;
	shard->is_loaded = 1;
	shard->needs_read = 0;
	jobs_index_changed(shard, is_newer);
}

static void
note_failure(job_shard_t *shard)
{
	shard->needs_read = 1;
	shard->retry_at_ms = jobs_now(shard->jobs) + JOBS_RETRY_MS;
}

static void
on_read(void *ctx, const at_store_result_t *result)
{
	job_shard_t *shard = ctx;
	int found = result->code == AT_STORE_OK;
	uint64_t version = found ? result->version : 0;
	job_index_t index;

	shard->call_in_flight = 0;
	if ((!found && result->code != AT_STORE_NOT_FOUND) ||
	    (shard->is_loaded && version < shard->version)) {
		note_failure(shard);
		return;
	}
	if (job_index_decode(&index, found ? result->value : NULL,
		found ? result->value_len : 0) != 0) {
		shard->jobs->stats.malformed++;
		note_failure(shard);
		return;
	}
	apply_index(shard, &index, version);
}

static void
on_put(void *ctx, const at_store_result_t *result)
{
	job_shard_t *shard = ctx;
	int is_holder = shard->next.holder == shard->jobs->self;
	int is_renewal =
	    is_holder && shard->next.renewals != shard->index.renewals;

	shard->call_in_flight = 0;
	if (result->code != AT_STORE_OK) {
		job_index_free(&shard->next);
		shard->needs_read = 1;
		if (result->code != AT_STORE_CONFLICT)
			note_failure(shard);
		return;
	}
	/* The term begins when the renewal was sent, not when it completed. */
	if (is_renewal) {
		shard->lease_until_ms = shard->put_sent_ms + LEASE_USABLE_MS;
		shard->renewal_due_ms =
		    shard->put_sent_ms + RENEWAL_INTERVAL_MS;
	}
	apply_index(shard, &shard->next, result->version);
}

/* Returns whether this instance takes or renews the lease now. */
static int
is_lease_due(const job_shard_t *shard)
{
	uint64_t now_ms = jobs_now(shard->jobs);

	if (!job_shard_is_candidate(shard) || !has_queued(&shard->index))
		return 0;
	if (shard->index.holder == 0)
		return 1;
	if (shard->index.holder == shard->jobs->self)
		return now_ms >= shard->renewal_due_ms;
	return now_ms >= shard->renewal_seen_ms + AT_JOB_LEASE_MS;
}

static int
add_entry(job_index_t *index, const at_job_submit_t *submit)
{
	const job_entry_t entry = {.id = submit->id, .due_ms = submit->due_ms};

	if (job_index_find(index, &submit->id) != NULL)
		return 0;
	if (HEADER_BYTES + (index->count + 1) * ENTRY_BYTES >
	    AT_VALUE_MAX_BYTES)
		return -1;
	if (index->count == index->capacity &&
	    reserve(index, index->capacity + GROWTH_ENTRIES) != 0)
		return -1;
	index->entries[index->count++] = entry;
	return 0;
}

static void
apply_run(const job_run_t *run, job_index_t *index)
{
	job_entry_t *entry = job_index_find(index, &run->entry.id);

	if (entry == NULL)
		return;
	if (run->is_expired) {
		index->count--;
		*entry = index->entries[index->count];
	} else if (entry->done_ms == 0) {
		entry->done_ms = jobs_wall_now(run->jobs);
	}
}

/*
 * Builds the next value of the shard in next and returns the number of changes,
 * or 0 if out of memory.
 */
static size_t
build_next(job_shard_t *shard, job_index_t *next)
{
	at_jobs_t *jobs = shard->jobs;
	at_job_submit_t *submit;
	job_run_t *run;
	size_t changes = 0;

	memset(next, 0, sizeof(*next));
	next->holder = shard->index.holder;
	next->renewals = shard->index.renewals;
	if (reserve(next, shard->index.count + 1) != 0)
		return 0;
	if (shard->index.count > 0)
		memcpy(next->entries, shard->index.entries,
		    shard->index.count * sizeof(*next->entries));
	next->count = shard->index.count;
	for (run = jobs->runs; run != NULL; run = run->next) {
		if (run->shard != shard || run->state != RUN_MARKING)
			continue;
		apply_run(run, next);
		changes++;
	}
	for (submit = jobs->submits; submit != NULL; submit = submit->next) {
		if (submit->shard != shard ||
		    submit->state != SUBMIT_INDEXING ||
		    add_entry(next, submit) != 0)
			continue;
		submit->may_be_indexed = 1;
		changes++;
	}
	if (is_lease_due(shard)) {
		jobs->stats.leases_taken += next->holder != jobs->self;
		next->holder = jobs->self;
		next->renewals++;
		changes++;
	}
	return changes;
}

static void
start_read(job_shard_t *shard)
{
	at_jobs_t *jobs = shard->jobs;

	shard->call_in_flight = 1;
	jobs->store.get(jobs->store.impl, shard->object, on_read, shard);
}

static void
start_put(job_shard_t *shard)
{
	at_jobs_t *jobs = shard->jobs;
	uint8_t *bytes;
	size_t len;

	bytes = encode(&shard->next, &len);
	if (bytes == NULL) {
		job_index_free(&shard->next);
		return;
	}
	shard->call_in_flight = 1;
	shard->put_sent_ms = jobs_now(jobs);
	jobs->store.put(jobs->store.impl, shard->object, shard->version, bytes,
	    len, on_put, shard);
	free(bytes);
}

/* Returns whether submissions or runs wait for a put of this shard. */
static int
has_pending_changes(const job_shard_t *shard)
{
	const at_job_submit_t *submit;
	const job_run_t *run;

	for (submit = shard->jobs->submits; submit != NULL;
	     submit = submit->next) {
		if (submit->shard == shard && submit->state == SUBMIT_INDEXING)
			return 1;
	}
	for (run = shard->jobs->runs; run != NULL; run = run->next) {
		if (run->shard == shard && run->state == RUN_MARKING)
			return 1;
	}
	return 0;
}

void
job_shard_tick(job_shard_t *shard)
{
	uint64_t now_ms = jobs_now(shard->jobs);
	int has_changes = has_pending_changes(shard);

	if (shard->call_in_flight || now_ms < shard->retry_at_ms ||
	    (!job_shard_is_candidate(shard) && !has_changes))
		return;
	if (!has_changes && !shard->accepted_here &&
	    now_ms < shard->first_read_ms)
		return;
	if (shard->needs_read || !shard->is_loaded ||
	    (now_ms >= shard->next_read_ms && !job_shard_has_lease(shard))) {
		start_read(shard);
		return;
	}
	if (!has_changes && !is_lease_due(shard))
		return;
	if (build_next(shard, &shard->next) > 0)
		start_put(shard);
	else
		job_index_free(&shard->next);
}
