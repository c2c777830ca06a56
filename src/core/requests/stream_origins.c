#include "almondthread/stream_origins.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define LIFETIME_MIN_US 30000000u
#define VERSIONS_MAX 64u      /* versions of all services that are remembered */
#define REPORTS_PENDING 4096u /* origins to be reported */
#define BATCH_MIN_MS 30u
#define RECEIVED_MAX_PER_S 300u /* reports that an instance receives */
#define MS_PER_S 1000u

typedef struct entry {
	at_stream_origin_t origin;
	uint64_t noted_us;
	int is_own; /* noted here */
	UT_hash_handle hh;
} entry_t;

typedef struct listed_version {
	at_tag_t service;
	at_tag_t software;
	uint64_t listed_us;
	int is_recorded;
} listed_version_t;

/* An origin that was noted here and is still to be reported. */
typedef struct pending_report {
	at_stream_origin_t origin;
	uint32_t reported; /* number of reports so far */
} pending_report_t;

struct at_stream_origins {
	uint64_t lifetime_us;
	entry_t *table; /* in the order of noted_us */
	listed_version_t versions[VERSIONS_MAX];
	size_t version_count;
	pending_report_t *pending;
	size_t pending_count;
	size_t pending_size;
};

at_stream_origins_t *
at_stream_origins_new(void)
{
	at_stream_origins_t *origins = calloc(1, sizeof(*origins));

	if (origins != NULL)
		origins->lifetime_us = LIFETIME_MIN_US;
	return origins;
}

static void
delete_entry(at_stream_origins_t *origins, entry_t *entry)
{
	HASH_DEL(origins->table, entry);
	free(entry);
}

void
at_stream_origins_delete(at_stream_origins_t *origins)
{
	if (origins == NULL)
		return;
	while (origins->table != NULL)
		delete_entry(origins, origins->table);
	free(origins->pending);
	free(origins);
}

void
at_stream_origins_set_lifetime(
    at_stream_origins_t *origins, uint64_t lifetime_us)
{
	if (lifetime_us > origins->lifetime_us)
		origins->lifetime_us = lifetime_us;
}

static int
is_expired(
    const at_stream_origins_t *origins, uint64_t since_us, uint64_t now_us)
{
	return now_us > since_us && now_us - since_us > origins->lifetime_us;
}

static void
record(at_stream_origins_t *origins, const at_stream_origin_t *origin,
    int is_own, uint64_t now_us)
{
	entry_t *entry;

	HASH_FIND(
	    hh, origins->table, &origin->stream, sizeof(origin->stream), entry);
	if (entry != NULL && entry->origin.software != origin->software)
		return;
	if (entry != NULL) {
		HASH_DEL(origins->table, entry);
	} else {
		if (HASH_COUNT(origins->table) >= AT_STREAM_ORIGINS_MAX)
			delete_entry(origins, origins->table);
		entry = calloc(1, sizeof(*entry));
		if (entry == NULL)
			return;
		entry->origin = *origin;
	}
	entry->noted_us = now_us;
	entry->is_own |= is_own;
	HASH_ADD(hh, origins->table, origin.stream,
	    sizeof(entry->origin.stream), entry);
}

void
at_stream_origins_apply(at_stream_origins_t *origins,
    const at_stream_origin_t *origin, uint64_t now_us)
{
	record(origins, origin, 0, now_us);
}

static void
add_pending(at_stream_origins_t *origins, const at_stream_origin_t *origin)
{
	size_t size =
	    origins->pending_size == 0 ? 16u : 2u * origins->pending_size;
	pending_report_t *grown;

	if (origins->pending_count == origins->pending_size) {
		if (size > REPORTS_PENDING)
			return;
		grown = realloc(origins->pending, size * sizeof(*grown));
		if (grown == NULL)
			return;
		origins->pending = grown;
		origins->pending_size = size;
	}
	origins->pending[origins->pending_count++] =
	    (pending_report_t){*origin, 0};
}

void
at_stream_origins_note(at_stream_origins_t *origins, at_tag_t stream,
    at_tag_t software, uint64_t now_us)
{
	const at_stream_origin_t origin = {stream, software};

	record(origins, &origin, 1, now_us);
	add_pending(origins, &origin);
}

at_tag_t
at_stream_origins_find(
    const at_stream_origins_t *origins, at_tag_t stream, uint64_t now_us)
{
	const entry_t *entry;

	HASH_FIND(hh, origins->table, &stream, sizeof(stream), entry);
	return entry == NULL || is_expired(origins, entry->noted_us, now_us)
		   ? 0
		   : entry->origin.software;
}

static listed_version_t *
find_or_add_version(
    at_stream_origins_t *origins, at_tag_t service, at_tag_t software)
{
	listed_version_t *oldest = &origins->versions[0];
	size_t i;

	for (i = 0; i < origins->version_count; i++) {
		listed_version_t *version = &origins->versions[i];

		if (version->service == service &&
		    version->software == software)
			return version;
		if (version->listed_us < oldest->listed_us)
			oldest = version;
	}
	if (origins->version_count < VERSIONS_MAX)
		oldest = &origins->versions[origins->version_count++];
	*oldest = (listed_version_t){service, software, 0, 0};
	return oldest;
}

void
at_stream_origins_note_listed(at_stream_origins_t *origins, at_tag_t service,
    at_tag_t software, uint64_t now_us)
{
	find_or_add_version(origins, service, software)->listed_us = now_us;
}

at_tag_t
at_stream_origins_only_version(
    const at_stream_origins_t *origins, at_tag_t service, uint64_t now_us)
{
	at_tag_t only = 0;
	size_t i;

	for (i = 0; i < origins->version_count; i++) {
		const listed_version_t *version = &origins->versions[i];

		if (version->service != service ||
		    is_expired(origins, version->listed_us, now_us))
			continue;
		if (only != 0)
			return 0;
		only = version->software;
	}
	return only;
}

int
at_stream_origins_next_unrecorded(const at_stream_origins_t *origins,
    uint64_t now_us, at_stream_version_t *version, int *is_deletion)
{
	size_t i;

	for (i = 0; i < origins->version_count; i++) {
		const listed_version_t *listed = &origins->versions[i];
		int expired = is_expired(origins, listed->listed_us, now_us);

		if (listed->is_recorded != expired)
			continue;
		*version =
		    (at_stream_version_t){listed->service, listed->software};
		*is_deletion = expired;
		return 1;
	}
	return 0;
}

void
at_stream_origins_set_recorded(at_stream_origins_t *origins, at_tag_t service,
    at_tag_t software, int is_recorded)
{
	find_or_add_version(origins, service, software)->is_recorded =
	    is_recorded;
}

void
at_stream_origins_forget_recorded(at_stream_origins_t *origins)
{
	size_t i;

	for (i = 0; i < origins->version_count; i++)
		origins->versions[i].is_recorded = 0;
}

/* Writes the pending origins that were reported less often than below. */
static size_t
take_reports(at_stream_origins_t *origins, uint32_t below,
    at_stream_origin_t *entries, size_t max)
{
	size_t count = 0;
	size_t kept = 0;
	size_t i;

	for (i = 0; i < origins->pending_count; i++) {
		pending_report_t *report = &origins->pending[i];

		if (report->reported < below && count < max) {
			entries[count++] = report->origin;
			report->reported++;
		}
		if (report->reported < AT_STREAM_ORIGIN_REPORTS)
			origins->pending[kept++] = *report;
	}
	origins->pending_count = kept;
	return count;
}

size_t
at_stream_origins_take_new(
    at_stream_origins_t *origins, at_stream_origin_t *entries, size_t max)
{
	return take_reports(origins, 1, entries, max);
}

size_t
at_stream_origins_take_due(
    at_stream_origins_t *origins, at_stream_origin_t *entries, size_t max)
{
	return take_reports(origins, AT_STREAM_ORIGIN_REPORTS, entries, max);
}

void
at_stream_origins_each(const at_stream_origins_t *origins, int only_own,
    void (*visit)(void *ctx, const at_stream_origin_t *origin), void *ctx)
{
	const entry_t *entry;

	for (entry = origins->table; entry != NULL; entry = entry->hh.next) {
		if (entry->is_own || !only_own)
			visit(ctx, &entry->origin);
	}
}

void
at_stream_origins_expire(at_stream_origins_t *origins, uint64_t now_us)
{
	while (origins->table != NULL &&
	       is_expired(origins, origins->table->noted_us, now_us))
		delete_entry(origins, origins->table);
}

size_t
at_stream_origins_count(const at_stream_origins_t *origins)
{
	return HASH_COUNT(origins->table);
}

uint32_t
at_stream_origins_batch_ms(uint32_t instances)
{
	uint32_t batch_ms = (instances * MS_PER_S + RECEIVED_MAX_PER_S - 1) /
			    RECEIVED_MAX_PER_S;

	return batch_ms < BATCH_MIN_MS ? BATCH_MIN_MS : batch_ms;
}
