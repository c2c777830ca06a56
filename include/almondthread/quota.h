/*
 * quota.h - enforces a workspace's rate and burst over all instances by the
 * usage that each instance reports to the others.
 *
 * Every instance keeps one level for each workspace. It refills at the whole
 * rate and is debited with all usage: this instance's at once, that of other
 * instances when they report it. Usage before a report arrives becomes a
 * deficit, so the excess is limited by the delay of one report. For some
 * seconds after a deficit, a part of the requests is refused while the level
 * is below the size of that deficit.
 *
 * A silent instance may still admit requests. As long as it counts as
 * present, an equal part of the level and of the rate is reserved for it.
 *
 * Times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_QUOTA_H
#define ALMONDTHREAD_QUOTA_H

#include "almondthread/site.h"

/* Usage of one workspace at an instance since its start. */
typedef struct at_quota_usage {
	at_tag_t workspace;
	uint64_t units;
} at_quota_usage_t;

typedef struct at_quota at_quota_t;

/*
 * at_quota_new() returns NULL if out of memory. seed differs between instances
 * and is used for the random refusals of at_quota_take().
 */
at_quota_t *at_quota_new(uint64_t seed);
void at_quota_delete(at_quota_t *quota);

/* at_quota_set_site() applies limits; levels above a burst are reduced. */
void at_quota_set_site(
    at_quota_t *quota, const at_site_t *site, uint64_t now_us);
/*
 * at_quota_set_instances() sets the number of instances present, and how many
 * of them are reporting.
 */
void at_quota_set_instances(
    at_quota_t *quota, uint32_t present, uint32_t reporting, uint64_t now_us);

/*
 * at_quota_take() uses units of a workspace's quota. Returns 0, or the time
 * in milliseconds until there are enough if no others are used.
 */
uint32_t at_quota_take(at_quota_t *quota, const at_site_workspace_t *workspace,
    uint64_t units, uint64_t now_us);
/*
 * at_quota_take_resumed() does the same for a request that goes on with a
 * stream. After a deficit it is not refused at random, as new ones are, and the
 * level may fall to a tenth of the burst below zero: the caller was charged for
 * the whole stream when it began.
 */
uint32_t at_quota_take_resumed(at_quota_t *quota,
    const at_site_workspace_t *workspace, uint64_t units, uint64_t now_us);
/* at_quota_refund() adds back the units of a request that never ran. */
void at_quota_refund(at_quota_t *quota, at_tag_t workspace, uint64_t units);

/*
 * at_quota_fill_report() writes the usage that changed in the last seconds,
 * at most max entries, and returns their number.
 */
size_t at_quota_fill_report(const at_quota_t *quota, at_quota_usage_t *entries,
    size_t max, uint64_t now_us);
/*
 * at_quota_apply_report() debits what an instance has used since its
 * previous report.
 */
void at_quota_apply_report(at_quota_t *quota, at_tag_t instance,
    uint64_t incarnation, const at_quota_usage_t *entries, size_t count,
    uint64_t now_us);

/*
 * at_quota_each_reported() visits the usage that other instances have reported
 * as changed since since_us.
 */
typedef struct at_quota_reported {
	at_tag_t instance;
	uint64_t incarnation;
	at_quota_usage_t usage;
} at_quota_reported_t;
void at_quota_each_reported(const at_quota_t *quota, uint64_t since_us,
    void (*visit)(void *ctx, const at_quota_reported_t *reported), void *ctx);

/* at_quota_level() returns the level, which is negative after a deficit. */
int64_t at_quota_level(const at_quota_t *quota, at_tag_t workspace);
/* at_quota_recent_deficit() returns the deficit that still limits requests. */
int64_t at_quota_recent_deficit(
    const at_quota_t *quota, at_tag_t workspace, uint64_t now_us);

#endif
