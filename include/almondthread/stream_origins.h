/*
 * stream_origins.h - which software version of a backend server began each
 * recent resumable stream. What two versions generate does not fit together,
 * so a stream may be continued only at the version that began it.
 *
 * A stream is named by the tag of the id of the request that brought its first
 * event; callers that resume it name that request. The origins noted here are
 * reported to the other instances, since a caller may resume its stream at any
 * of them. An origin is forgotten a lifetime after it was last noted or
 * reported.
 *
 * Times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_STREAM_ORIGINS_H
#define ALMONDTHREAD_STREAM_ORIGINS_H

#include "almondthread/site.h"

#define AT_STREAM_ORIGINS_MAX 131072u /* the oldest are dropped beyond this */
/* How often an origin is reported, as reports may be lost. */
#define AT_STREAM_ORIGIN_REPORTS 3u

typedef struct at_stream_origin {
	at_tag_t stream;
	at_tag_t software;
} at_stream_origin_t;

typedef struct at_stream_origins at_stream_origins_t;

/* at_stream_origins_new() returns NULL if out of memory. */
at_stream_origins_t *at_stream_origins_new(void);
void at_stream_origins_delete(at_stream_origins_t *origins);

/*
 * at_stream_origins_set_lifetime() sets how long origins and listed versions
 * are remembered, if that is longer than before. It must cover the longest
 * stream and the time until its caller resumes it.
 */
void at_stream_origins_set_lifetime(
    at_stream_origins_t *origins, uint64_t lifetime_us);

/*
 * at_stream_origins_note() records that this instance has passed on the first
 * event of a stream or of its continuation. at_stream_origins_apply() records
 * another instance's report. An origin that is known stays as it is; its
 * lifetime begins again. Both do nothing if out of memory.
 */
void at_stream_origins_note(at_stream_origins_t *origins, at_tag_t stream,
    at_tag_t software, uint64_t now_us);
void at_stream_origins_apply(at_stream_origins_t *origins,
    const at_stream_origin_t *origin, uint64_t now_us);

/* at_stream_origins_find() returns the version that began a stream, or 0. */
at_tag_t at_stream_origins_find(
    const at_stream_origins_t *origins, at_tag_t stream, uint64_t now_us);

/*
 * at_stream_origins_note_listed() records that the platform lists a server of a
 * service with a version. at_stream_origins_only_version() returns the version
 * if a single one was listed for the service within the lifetime, else 0.
 */
void at_stream_origins_note_listed(at_stream_origins_t *origins,
    at_tag_t service, at_tag_t software, uint64_t now_us);
at_tag_t at_stream_origins_only_version(
    const at_stream_origins_t *origins, at_tag_t service, uint64_t now_us);

/*
 * Versions are recorded outside, for a restart of all instances.
 * at_stream_origins_next_unrecorded() stores a version whose record is missing,
 * or is to be deleted since the version has not been listed for the lifetime;
 * returns zero if there is none. at_stream_origins_set_recorded() notes that it
 * has a record, or none any more; at_stream_origins_forget_recorded() that all
 * records may be lost.
 */
typedef struct at_stream_version {
	at_tag_t service;
	at_tag_t software;
} at_stream_version_t;

int at_stream_origins_next_unrecorded(const at_stream_origins_t *origins,
    uint64_t now_us, at_stream_version_t *version, int *is_deletion);
void at_stream_origins_set_recorded(at_stream_origins_t *origins,
    at_tag_t service, at_tag_t software, int is_recorded);
void at_stream_origins_forget_recorded(at_stream_origins_t *origins);

/*
 * at_stream_origins_take_new() writes the noted origins that have not been
 * reported yet, at most max, and returns their number. take_due() also writes
 * those that are to be reported again. The caller reports what it was given.
 */
size_t at_stream_origins_take_new(
    at_stream_origins_t *origins, at_stream_origin_t *entries, size_t max);
size_t at_stream_origins_take_due(
    at_stream_origins_t *origins, at_stream_origin_t *entries, size_t max);

/*
 * at_stream_origins_batch_ms() returns for how long new origins are collected
 * before they are sent to each of the other instances. Every instance receives
 * at most 300 reports a second for them, however many instances there are.
 */
uint32_t at_stream_origins_batch_ms(uint32_t instances);

/*
 * at_stream_origins_each() visits all origins, or with only_own those that were
 * noted here, the oldest first.
 */
void at_stream_origins_each(const at_stream_origins_t *origins, int only_own,
    void (*visit)(void *ctx, const at_stream_origin_t *origin), void *ctx);

/* at_stream_origins_expire() forgets what is older than the lifetime. */
void at_stream_origins_expire(at_stream_origins_t *origins, uint64_t now_us);

size_t at_stream_origins_count(const at_stream_origins_t *origins);

#endif
