/*
 * quota.h - a workspace's rate and burst, kept over all instances by what
 * each tells the others of its own spending.
 *
 * Every instance keeps one level for each workspace: it refills with the
 * whole rate and is debited with all spending, its own at once and that of
 * the others when they report it. What is spent before a report arrives is
 * owed afterwards, so that the excess is bounded by one report's delay. For
 * some seconds after a debt, a part of the requests is refused while the level
 * is below its depth.
 *
 * An instance that is not heard may still be spending. As long as it counts
 * as present, its even part of the level and of the rate is left to it.
 *
 * Pure: times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_QUOTA_H
#define ALMONDTHREAD_QUOTA_H

#include "almondthread/site.h"

/* Spending of one workspace since an instance started. */
typedef struct at_quota_usage {
	at_tag_t workspace;
	uint64_t units;
} at_quota_usage_t;

typedef struct at_quota at_quota_t;

/* seed: another one at each instance, for the random part of at_quota_take().
 */
at_quota_t *at_quota_new(uint64_t seed);
void at_quota_delete(at_quota_t *quota);

/* at_quota_set_site() takes over limits; levels above a burst are cut. */
void at_quota_set_site(
    at_quota_t *quota, const at_site_t *site, uint64_t now_us);
/* How many instances are present, and how many of them are heard. */
void at_quota_set_instances(
    at_quota_t *quota, uint32_t present, uint32_t heard, uint64_t now_us);

/*
 * at_quota_take() spends units of a workspace. Returns 0, or in how many
 * milliseconds there will be enough if nobody else spends.
 */
uint32_t at_quota_take(at_quota_t *quota, const at_site_workspace_t *workspace,
    uint64_t units, uint64_t now_us);
/* at_quota_refund() gives back what was taken for a request that never ran. */
void at_quota_refund(at_quota_t *quota, at_tag_t workspace, uint64_t units);

/*
 * at_quota_fill_report() fills rows with what has changed in the last seconds
 * and returns how many there are.
 */
size_t at_quota_fill_report(const at_quota_t *quota, at_quota_usage_t *rows,
    size_t max, uint64_t now_us);
/* at_quota_apply_report() debits what an instance spent since it was last
 * heard. */
void at_quota_apply_report(at_quota_t *quota, at_tag_t instance,
    uint64_t incarnation, const at_quota_usage_t *rows, size_t count,
    uint64_t now_us);

/* at_quota_level() returns the present level, below 0 when units are owed. */
int64_t at_quota_level(const at_quota_t *quota, at_tag_t workspace);
/* at_quota_recent_deficit() returns the debt that still holds requests back. */
int64_t at_quota_recent_deficit(
    const at_quota_t *quota, at_tag_t workspace, uint64_t now_us);

#endif
