#include "core/jobs/jobs_internal.h"

#include <stdlib.h>
#include <string.h>

#define MAGIC_BYTES 4u
#define HEADER_BYTES (MAGIC_BYTES + 8u + 8u + 4u)
#define ENTRY_BYTES (AT_CLAIM_HASH_SIZE + 8u + 8u)
#define GROWTH 64u          /* places added to an index */
#define POLL_MS 2000u       /* between looks at queued work of another */
#define POLL_IDLE_MS 30000u /* between looks while nothing is queued */
#define RENEW_MS 2000u      /* between renewals of a lease */
#define HOLD_MS 4000u       /* after a renewal was sent, jobs may be started */

static const uint8_t magic[MAGIC_BYTES] = {'A', 'T', 'I', '1'};

static void
put_u64(uint8_t **at, uint64_t number)
{
	size_t i;

	for (i = 0; i < 8; i++)
		*(*at)++ = (uint8_t)(number >> (8 * i));
}

static uint64_t
get_u64(const uint8_t **at)
{
	uint64_t number = 0;
	size_t i;

	for (i = 0; i < 8; i++)
		number |= (uint64_t) * (*at)++ << (8 * i);
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
reserve(job_index_t *index, size_t size)
{
	job_entry_t *grown;

	if (size <= index->size)
		return 0;
	grown = realloc(index->entries, size * sizeof(*grown));
	if (grown == NULL)
		return -1;
	index->entries = grown;
	index->size = size;
	return 0;
}

/* Reads a value; NULL and 0 give an empty index. Returns -1 if malformed. */
static int
decode(job_index_t *index, const void *value, size_t len)
{
	const uint8_t *at = value;
	size_t count;
	size_t i;

	memset(index, 0, sizeof(*index));
	if (len == 0)
		return 0;
	if (len < HEADER_BYTES || memcmp(at, magic, MAGIC_BYTES) != 0)
		return -1;
	at += MAGIC_BYTES;
	index->owner = get_u64(&at);
	index->beat = get_u64(&at);
	at += 4;
	count = (len - HEADER_BYTES) / ENTRY_BYTES;
	if (count * ENTRY_BYTES + HEADER_BYTES != len ||
	    reserve(index, count) != 0)
		return -1;
	for (i = 0; i < count; i++) {
		job_entry_t *entry = &index->entries[i];

		memcpy(entry->id.bytes, at, AT_CLAIM_HASH_SIZE);
		at += AT_CLAIM_HASH_SIZE;
		entry->due_ms = get_u64(&at);
		entry->done_ms = get_u64(&at);
	}
	index->count = count;
	return 0;
}

static uint8_t *
encode(const job_index_t *index, size_t *len)
{
	uint8_t *bytes;
	uint8_t *at;
	size_t i;

	*len = HEADER_BYTES + index->count * ENTRY_BYTES;
	bytes = calloc(1, *len);
	if (bytes == NULL)
		return NULL;
	at = bytes;
	memcpy(at, magic, MAGIC_BYTES);
	at += MAGIC_BYTES;
	put_u64(&at, index->owner);
	put_u64(&at, index->beat);
	at += 4;
	for (i = 0; i < index->count; i++) {
		const job_entry_t *entry = &index->entries[i];

		memcpy(at, entry->id.bytes, AT_CLAIM_HASH_SIZE);
		at += AT_CLAIM_HASH_SIZE;
		put_u64(&at, entry->due_ms);
		put_u64(&at, entry->done_ms);
	}
	return bytes;
}

int
job_shard_is_candidate(const job_shard_t *shard)
{
	if (shard->jobs->stopping)
		return 0;
	return shard->candidate || shard->accepted_here;
}

int
job_shard_has_lease(const job_shard_t *shard)
{
	return shard->index.owner == shard->jobs->self &&
	       jobs_now(shard->jobs) < shard->held_until_ms;
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

/* Takes over an index that stands at version. */
static void
take(job_shard_t *shard, job_index_t *index, uint64_t version)
{
	uint64_t now_ms = jobs_now(shard->jobs);
	int newer = version > shard->version;

	if (!shard->loaded || index->owner != shard->index.owner ||
	    index->beat != shard->index.beat)
		shard->beat_seen_ms = now_ms;
	if (index->owner != shard->jobs->self)
		shard->held_until_ms = 0;
	/* Nothing waits, or another holder that lives will run it. */
	if (!has_queued(index))
		shard->accepted_here = 0;
	if (index->owner != 0 && index->owner != shard->jobs->self &&
	    shard->loaded && index->beat != shard->index.beat)
		shard->accepted_here = 0;
	shard->read_at_ms =
	    now_ms + (has_queued(index) ? POLL_MS : POLL_IDLE_MS);
	job_index_free(&shard->index);
	shard->index = *index;
	memset(index, 0, sizeof(*index));
	shard->version = version;
	shard->loaded = 1;
	shard->must_read = 0;
	jobs_index_changed(shard, newer);
}

static void
failed(job_shard_t *shard)
{
	shard->must_read = 1;
	shard->retry_at_ms = jobs_now(shard->jobs) + JOBS_RETRY_MS;
}

static void
on_read(void *ctx, const at_store_result_t *result)
{
	job_shard_t *shard = ctx;
	int found = result->code == AT_STORE_OK;
	uint64_t version = found ? result->version : 0;
	job_index_t index;

	shard->busy = 0;
	if ((!found && result->code != AT_STORE_NOT_FOUND) ||
	    (shard->loaded && version < shard->version)) {
		failed(shard);
		return;
	}
	if (decode(&index, found ? result->value : NULL,
		found ? result->value_len : 0) != 0) {
		shard->jobs->stats.malformed++;
		failed(shard);
		return;
	}
	take(shard, &index, version);
}

static void
on_put(void *ctx, const at_store_result_t *result)
{
	job_shard_t *shard = ctx;
	int mine = shard->next.owner == shard->jobs->self;
	int renewed = mine && shard->next.beat != shard->index.beat;

	shard->busy = 0;
	if (result->code != AT_STORE_OK) {
		job_index_free(&shard->next);
		shard->must_read = 1;
		if (result->code != AT_STORE_CONFLICT)
			failed(shard);
		return;
	}
	/* The lease counts from when its renewal was sent. */
	if (renewed) {
		shard->held_until_ms = shard->put_ms + HOLD_MS;
		shard->renew_at_ms = shard->put_ms + RENEW_MS;
	}
	take(shard, &shard->next, result->version);
}

/* Whether this instance should take or renew the lease now. */
static int
wants_lease(const job_shard_t *shard)
{
	uint64_t now_ms = jobs_now(shard->jobs);

	if (!job_shard_is_candidate(shard) || !has_queued(&shard->index))
		return 0;
	if (shard->index.owner == 0)
		return 1;
	if (shard->index.owner == shard->jobs->self)
		return now_ms >= shard->renew_at_ms;
	return now_ms >= shard->beat_seen_ms + AT_JOB_LEASE_MS;
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
	if (index->count == index->size &&
	    reserve(index, index->size + GROWTH) != 0)
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
	if (run->sweep) {
		index->count--;
		*entry = index->entries[index->count];
	} else if (entry->done_ms == 0) {
		entry->done_ms = jobs_wall(run->jobs);
	}
}

/* Writes what the shard should hold next; returns how much is new. */
static size_t
compose(job_shard_t *shard, job_index_t *next)
{
	at_jobs_t *jobs = shard->jobs;
	at_job_submit_t *submit;
	job_run_t *run;
	size_t changes = 0;

	memset(next, 0, sizeof(*next));
	next->owner = shard->index.owner;
	next->beat = shard->index.beat;
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
		submit->sent = 1;
		changes++;
	}
	if (wants_lease(shard)) {
		jobs->stats.leases_taken += next->owner != jobs->self;
		next->owner = jobs->self;
		next->beat++;
		changes++;
	}
	return changes;
}

static void
start_read(job_shard_t *shard)
{
	at_jobs_t *jobs = shard->jobs;

	shard->busy = 1;
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
	shard->busy = 1;
	shard->put_ms = jobs_now(jobs);
	jobs->store.put(jobs->store.impl, shard->object, shard->version, bytes,
	    len, on_put, shard);
	free(bytes);
}

/* Whether anything but the lease concerns this shard. */
static int
is_needed(const job_shard_t *shard)
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
	int needed = is_needed(shard);

	if (shard->busy || now_ms < shard->retry_at_ms ||
	    (!job_shard_is_candidate(shard) && !needed))
		return;
	if (!needed && !shard->accepted_here && now_ms < shard->first_look_ms)
		return;
	if (shard->must_read || !shard->loaded ||
	    (now_ms >= shard->read_at_ms && !job_shard_has_lease(shard))) {
		start_read(shard);
		return;
	}
	if (!needed && !wants_lease(shard))
		return;
	if (compose(shard, &shard->next) > 0)
		start_put(shard);
	else
		job_index_free(&shard->next);
}
