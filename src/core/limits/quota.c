/*
 * quota.c - a workspace's limit over all instances.
 *
 * Handles the load pattern of a workspace far over its limit whose requests
 * arrive at all instances at the same time: each instance uses the remaining
 * level before the others' reports arrive, and the excess becomes a deficit.
 * After a deficit, the lower the level is compared with that deficit, the
 * fewer requests are admitted, so that the instances do not all resume with
 * the same request.
 */
#include "almondthread/quota.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define US_PER_S 1000000. /* microseconds in a second */
/* Usage is reported for this time after it last changed. */
#define REPORT_DURATION_US 3000000u
/* Largest deficit by reports that are not late, in bursts. */
#define DEFICIT_MAX_BURSTS 2.
/* Largest deficit by late reports, in bursts. */
#define LATE_DEFICIT_MAX_BURSTS 0.5
/* A report is late if its sender was silent for longer before it. */
#define REPORT_LATE_US 1000000u
/* Time after a silence of all instances in which every report is late. */
#define CATCH_UP_US 100000u
/* Time in which a deficit decays to zero. */
#define DEFICIT_DECAY_US 5000000u
/* By so much requests that go on with a stream may exceed the level. */
#define RESUMED_OVERDRAFT_BURSTS 0.1
/* Longest wait returned, also for a request of more units than the burst. */
#define WAIT_MAX_MS 60000u

typedef struct account {
	at_tag_t workspace;
	double rate_per_s;
	double burst;
	double level;
	uint64_t refilled_us;
	uint64_t used_units; /* by this instance since its start */
	uint64_t used_at_us; /* when used_units last grew */
	int is_unlimited;
	double deficit; /* largest recent one, as of deficit_at_us */
	uint64_t deficit_at_us;
	UT_hash_handle hh;
} account_t;

/*
 * Usage of one workspace in the last report of one instance. The entry of
 * workspace 0 records that the instance has sent a report.
 */
typedef struct reported_usage {
	struct {
		at_tag_t instance;
		at_tag_t workspace;
	} key;
	uint64_t incarnation;
	uint64_t units;
	uint64_t received_us;
	uint64_t changed_us; /* when units last grew */
	UT_hash_handle hh;
} reported_usage_t;

struct at_quota {
	account_t *accounts;
	reported_usage_t *reported;
	double reporting_part;  /* of the rate; the rest is reserved */
	uint64_t rng_state;     /* of random_fraction() */
	uint64_t received_us;   /* when the last report arrived */
	uint64_t late_until_us; /* all reports are late before this time */
};

at_quota_t *
at_quota_new(uint64_t seed)
{
	at_quota_t *quota = calloc(1, sizeof(*quota));

	if (quota == NULL)
		return NULL;
	quota->reporting_part = 1.;
	quota->rng_state = seed;
	return quota;
}

void
at_quota_delete(at_quota_t *quota)
{
	account_t *account;
	account_t *next_account;
	reported_usage_t *usage;
	reported_usage_t *next_usage;

	if (quota == NULL)
		return;
	HASH_ITER(hh, quota->accounts, account, next_account)
	{
		HASH_DEL(quota->accounts, account);
		free(account);
	}
	HASH_ITER(hh, quota->reported, usage, next_usage)
	{
		HASH_DEL(quota->reported, usage);
		free(usage);
	}
	free(quota);
}

static account_t *
find_account(const at_quota_t *quota, at_tag_t workspace)
{
	account_t *account;

	HASH_FIND(hh, quota->accounts, &workspace, sizeof(workspace), account);
	return account;
}

static void
refill(const at_quota_t *quota, account_t *account, uint64_t now_us)
{
	double elapsed_s;

	if (now_us <= account->refilled_us)
		return;
	elapsed_s = (double)(now_us - account->refilled_us) / US_PER_S;
	account->refilled_us = now_us;
	account->level +=
	    elapsed_s * account->rate_per_s * quota->reporting_part;
	if (account->level > account->burst)
		account->level = account->burst;
}

static account_t *
add_account(
    at_quota_t *quota, const at_site_workspace_t *workspace, uint64_t now_us)
{
	account_t *account = calloc(1, sizeof(*account));

	if (account == NULL)
		return NULL;
	account->workspace = workspace->tag;
	/* Other instances may just have used the whole level. */
	account->level = 0;
	account->refilled_us = now_us;
	HASH_ADD(hh, quota->accounts, workspace, sizeof(at_tag_t), account);
	return account;
}

static account_t *
set_limits(
    at_quota_t *quota, const at_site_workspace_t *workspace, uint64_t now_us)
{
	account_t *account = find_account(quota, workspace->tag);

	if (account == NULL)
		account = add_account(quota, workspace, now_us);
	if (account == NULL)
		return NULL;
	refill(quota, account, now_us);
	account->rate_per_s = (double)workspace->rate_per_s;
	account->burst = (double)workspace->burst;
	account->is_unlimited =
	    workspace->rate_per_s == 0 && workspace->burst == 0;
	if (account->level > account->burst)
		account->level = account->burst;
	return account;
}

void
at_quota_set_site(at_quota_t *quota, const at_site_t *site, uint64_t now_us)
{
	size_t i;

	for (i = 0; i < site->workspace_count; i++)
		(void)set_limits(quota, &site->workspaces[i], now_us);
}

void
at_quota_set_instances(
    at_quota_t *quota, uint32_t present, uint32_t reporting, uint64_t now_us)
{
	double reporting_part = present == 0 ? 1. : (double)reporting / present;
	account_t *account;

	if (reporting_part > 1.)
		reporting_part = 1.;
	for (account = quota->accounts; account != NULL;
	     account = account->hh.next) {
		refill(quota, account, now_us);
		/* Silent instances may use their part of the level. */
		if (reporting_part < quota->reporting_part &&
		    account->level > 0)
			account->level *=
			    reporting_part / quota->reporting_part;
	}
	quota->reporting_part = reporting_part;
}

/* Returns a random number from 0 to 1, a different one at each instance. */
static double
random_fraction(at_quota_t *quota)
{
	quota->rng_state =
	    quota->rng_state * 6364136223846793005u + 1442695040888963407u;
	return (double)(quota->rng_state >> 33) / (double)(UINT64_MAX >> 33);
}

static double
recent_deficit(const account_t *account, uint64_t now_us)
{
	uint64_t age_us = now_us - account->deficit_at_us;

	if (account->deficit <= 0 || age_us >= DEFICIT_DECAY_US)
		return 0;
	return account->deficit * (1. - (double)age_us / DEFICIT_DECAY_US);
}

/*
 * reserve is the part of the recent deficit that must be left, overdraft how
 * far the level may fall below zero, in bursts.
 */
static uint32_t
take(at_quota_t *quota, const at_site_workspace_t *workspace, uint64_t units,
    double reserve, double overdraft, uint64_t now_us)
{
	account_t *account = find_account(quota, workspace->tag);
	double missing_units;
	double wait_ms;

	if (account == NULL)
		account = set_limits(quota, workspace, now_us);
	if (account == NULL)
		return WAIT_MAX_MS;
	refill(quota, account, now_us);
	missing_units = (double)units - account->level +
			reserve * recent_deficit(account, now_us) -
			overdraft * account->burst;
	if (account->is_unlimited || missing_units <= 0) {
		account->level -= account->is_unlimited ? 0 : (double)units;
		account->used_units += units;
		account->used_at_us = now_us;
		return 0;
	}
	if ((double)units > account->burst || account->rate_per_s <= 0)
		return WAIT_MAX_MS;
	wait_ms = missing_units /
		  (account->rate_per_s * quota->reporting_part) * AT_MS_PER_S;
	return wait_ms >= WAIT_MAX_MS ? WAIT_MAX_MS : (uint32_t)wait_ms + 1u;
}

uint32_t
at_quota_take(at_quota_t *quota, const at_site_workspace_t *workspace,
    uint64_t units, uint64_t now_us)
{
	return take(
	    quota, workspace, units, random_fraction(quota), 0., now_us);
}

uint32_t
at_quota_take_resumed(at_quota_t *quota, const at_site_workspace_t *workspace,
    uint64_t units, uint64_t now_us)
{
	return take(
	    quota, workspace, units, 0., RESUMED_OVERDRAFT_BURSTS, now_us);
}

void
at_quota_refund(at_quota_t *quota, at_tag_t workspace, uint64_t units)
{
	account_t *account = find_account(quota, workspace);

	if (account == NULL || account->used_units < units)
		return;
	account->used_units -= units;
	if (account->is_unlimited)
		return;
	account->level += (double)units;
	if (account->level > account->burst)
		account->level = account->burst;
}

size_t
at_quota_fill_report(const at_quota_t *quota, at_quota_usage_t *entries,
    size_t max, uint64_t now_us)
{
	const account_t *account;
	size_t count = 0;

	for (account = quota->accounts; account != NULL && count < max;
	     account = account->hh.next) {
		if (account->used_units == 0 ||
		    now_us - account->used_at_us > REPORT_DURATION_US)
			continue;
		entries[count].workspace = account->workspace;
		entries[count].units = account->used_units;
		count++;
	}
	return count;
}

static reported_usage_t *
find_or_add_usage(at_quota_t *quota, at_tag_t instance, at_tag_t workspace)
{
	reported_usage_t search;
	reported_usage_t *usage;

	memset(&search, 0, sizeof(search));
	search.key.instance = instance;
	search.key.workspace = workspace;

	HASH_FIND(hh, quota->reported, &search.key, sizeof(search.key), usage);
	if (usage != NULL)
		return usage;
	usage = calloc(1, sizeof(*usage));
	if (usage == NULL)
		return NULL;
	usage->key = search.key;
	HASH_ADD(hh, quota->reported, key, sizeof(usage->key), usage);
	return usage;
}

/*
 * Returns the units that an instance has used since its previous report, and
 * 0 at its first report, as that usage may be old.
 */
static uint64_t
new_usage(at_quota_t *quota, at_tag_t instance, uint64_t incarnation,
    int is_known, const at_quota_usage_t *entry, uint64_t now_us)
{
	reported_usage_t *usage =
	    find_or_add_usage(quota, instance, entry->workspace);
	uint64_t before;

	if (usage == NULL)
		return 0;
	before = usage->incarnation == incarnation ? usage->units : 0;
	if (!is_known)
		before = entry->units;
	/* A report that another one has overtaken takes nothing back. */
	if (usage->incarnation == incarnation && entry->units < usage->units)
		return 0;
	if (usage->incarnation != incarnation || entry->units > usage->units)
		usage->changed_us = now_us;
	usage->incarnation = incarnation;
	usage->units = entry->units;
	return entry->units > before ? entry->units - before : 0;
}

/*
 * Returns whether a report is late. After a silence of its sender, a report is
 * about old usage, for which a part of the rate was reserved. After a pause of
 * this process, the reports of many instances arrive at once, and all are late.
 */
static int
is_late(at_quota_t *quota, reported_usage_t *sender, uint64_t now_us)
{
	int is_report_late = now_us - sender->received_us > REPORT_LATE_US;

	if (now_us - quota->received_us > REPORT_LATE_US)
		quota->late_until_us = now_us + CATCH_UP_US;
	quota->received_us = now_us;
	sender->received_us = now_us;
	return is_report_late || now_us < quota->late_until_us;
}

/* Debits reported usage; the deficit is limited, more so for late reports. */
static void
debit_report(
    account_t *account, uint64_t units, int is_report_late, uint64_t now_us)
{
	double min_level =
	    -account->burst *
	    (is_report_late ? LATE_DEFICIT_MAX_BURSTS : DEFICIT_MAX_BURSTS);
	double level = account->level - (double)units;

	if (level < min_level)
		level = account->level < min_level ? account->level : min_level;
	account->level = level;
	if (!is_report_late && -level > recent_deficit(account, now_us)) {
		account->deficit = -level;
		account->deficit_at_us = now_us;
	}
}

void
at_quota_apply_report(at_quota_t *quota, at_tag_t instance,
    uint64_t incarnation, const at_quota_usage_t *entries, size_t count,
    uint64_t now_us)
{
	reported_usage_t *sender = find_or_add_usage(quota, instance, 0);
	int is_known = sender != NULL && sender->units != 0;
	int is_report_late = sender == NULL || is_late(quota, sender, now_us);
	size_t i;

	if (sender != NULL)
		sender->units = 1;
	for (i = 0; i < count; i++) {
		account_t *account = find_account(quota, entries[i].workspace);
		uint64_t units = new_usage(quota, instance, incarnation,
		    is_known, &entries[i], now_us);

		if (account == NULL || account->is_unlimited)
			continue;
		refill(quota, account, now_us);
		debit_report(account, units, is_report_late, now_us);
	}
}

void
at_quota_each_reported(const at_quota_t *quota, uint64_t since_us,
    void (*visit)(void *ctx, const at_quota_reported_t *reported), void *ctx)
{
	const reported_usage_t *usage;

	for (usage = quota->reported; usage != NULL; usage = usage->hh.next) {
		const at_quota_reported_t reported = {usage->key.instance,
		    usage->incarnation, {usage->key.workspace, usage->units}};

		if (usage->key.workspace != 0 &&
		    usage->changed_us >= since_us && usage->changed_us != 0)
			visit(ctx, &reported);
	}
}

int64_t
at_quota_level(const at_quota_t *quota, at_tag_t workspace)
{
	const account_t *account = find_account(quota, workspace);

	return account == NULL ? 0 : (int64_t)account->level;
}

int64_t
at_quota_recent_deficit(
    const at_quota_t *quota, at_tag_t workspace, uint64_t now_us)
{
	const account_t *account = find_account(quota, workspace);

	return account == NULL ? 0 : (int64_t)recent_deficit(account, now_us);
}
