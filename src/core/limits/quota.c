/*
 * quota.c - a workspace's limit over all instances.
 *
 * Answers the load pattern of a workspace far over its limit whose requests
 * come together: each instance spends what is left before it hears of the
 * others, and what was spent too much is owed. After a debt, the less is left
 * compared with it the fewer requests are let in, so that the instances do
 * not all begin again with the same request.
 */
#include "almondthread/quota.h"

#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define US_PER_S 1000000.      /* microseconds */
#define REPORT_FOR_US 3000000u /* a row is told so long after a change */
#define DEBT_PART 2.           /* of the burst that may be owed */
#define LATE_DEBT_PART 0.5     /* the same for what is heard late */
#define LATE_US 1000000u       /* after such a silence reports are late */
#define CATCH_UP_US 100000u    /* so long after it, those of all others too */
#define DEBT_FADES_US 5000000u /* until a past debt is forgotten */
#define NEVER_MS 60000u /* told when a request is larger than the burst */

typedef struct account {
	at_tag_t workspace;
	double rate_per_s;
	double burst;
	double level;
	uint64_t refilled_us;
	uint64_t spent; /* by this instance, since its start */
	uint64_t spent_us;
	int unlimited;
	double debt; /* the deepest of late, fading */
	uint64_t debt_us;
	UT_hash_handle hh;
} account_t;

/*
 * What one instance had spent of one workspace when last heard. The entry of
 * workspace 0 says that the instance was heard at all.
 */
typedef struct heard {
	struct {
		at_tag_t instance;
		at_tag_t workspace;
	} key;
	uint64_t incarnation;
	uint64_t units;
	uint64_t heard_us;
	UT_hash_handle hh;
} heard_t;

struct at_quota {
	account_t *accounts;
	heard_t *heard;
	double part;       /* of the rate that is not left to the silent */
	uint64_t draws;    /* state of the generator of draw() */
	uint64_t heard_us; /* when any instance was heard */
	uint64_t late_until_us;
};

at_quota_t *
at_quota_new(uint64_t seed)
{
	at_quota_t *quota = calloc(1, sizeof(*quota));

	if (quota == NULL)
		return NULL;
	quota->part = 1.;
	quota->draws = seed;
	return quota;
}

void
at_quota_delete(at_quota_t *quota)
{
	account_t *account;
	account_t *next_account;
	heard_t *heard;
	heard_t *next_heard;

	if (quota == NULL)
		return;
	HASH_ITER(hh, quota->accounts, account, next_account)
	{
		HASH_DEL(quota->accounts, account);
		free(account);
	}
	HASH_ITER(hh, quota->heard, heard, next_heard)
	{
		HASH_DEL(quota->heard, heard);
		free(heard);
	}
	free(quota);
}

static account_t *
find(const at_quota_t *quota, at_tag_t workspace)
{
	account_t *account;

	HASH_FIND(hh, quota->accounts, &workspace, sizeof(workspace), account);
	return account;
}

static void
refill(const at_quota_t *quota, account_t *account, uint64_t now_us)
{
	double passed_s;

	if (now_us <= account->refilled_us)
		return;
	passed_s = (double)(now_us - account->refilled_us) / US_PER_S;
	account->refilled_us = now_us;
	account->level += passed_s * account->rate_per_s * quota->part;
	if (account->level > account->burst)
		account->level = account->burst;
}

static account_t *
add(at_quota_t *quota, const at_site_workspace_t *workspace, uint64_t now_us)
{
	account_t *account = calloc(1, sizeof(*account));

	if (account == NULL)
		return NULL;
	account->workspace = workspace->tag;
	/* Others may just have spent all there was. */
	account->level = 0;
	account->refilled_us = now_us;
	HASH_ADD(hh, quota->accounts, workspace, sizeof(at_tag_t), account);
	return account;
}

static account_t *
set_limits(
    at_quota_t *quota, const at_site_workspace_t *workspace, uint64_t now_us)
{
	account_t *account = find(quota, workspace->tag);

	if (account == NULL)
		account = add(quota, workspace, now_us);
	if (account == NULL)
		return NULL;
	refill(quota, account, now_us);
	account->rate_per_s = (double)workspace->rate_per_s;
	account->burst = (double)workspace->burst;
	account->unlimited =
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
    at_quota_t *quota, uint32_t present, uint32_t heard, uint64_t now_us)
{
	double part = present == 0 ? 1. : (double)heard / present;
	account_t *account;

	if (part > 1.)
		part = 1.;
	for (account = quota->accounts; account != NULL;
	     account = account->hh.next) {
		refill(quota, account, now_us);
		/* The silent may spend their part of what is left. */
		if (part < quota->part && account->level > 0)
			account->level *= part / quota->part;
	}
	quota->part = part;
}

/* Returns a number from 0 to 1, other ones at each instance. */
static double
draw(at_quota_t *quota)
{
	quota->draws =
	    quota->draws * 6364136223846793005u + 1442695040888963407u;
	return (double)(quota->draws >> 33) / (double)(UINT64_MAX >> 33);
}

static double
recent_debt(const account_t *account, uint64_t now_us)
{
	uint64_t age_us = now_us - account->debt_us;

	if (account->debt <= 0 || age_us >= DEBT_FADES_US)
		return 0;
	return account->debt * (1. - (double)age_us / DEBT_FADES_US);
}

uint32_t
at_quota_take(at_quota_t *quota, const at_site_workspace_t *workspace,
    uint64_t units, uint64_t now_us)
{
	account_t *account = find(quota, workspace->tag);
	double missing;
	double wait_ms;

	if (account == NULL)
		account = set_limits(quota, workspace, now_us);
	if (account == NULL)
		return NEVER_MS;
	refill(quota, account, now_us);
	missing = (double)units - account->level +
		  draw(quota) * recent_debt(account, now_us);
	if (account->unlimited || missing <= 0) {
		account->level -= account->unlimited ? 0 : (double)units;
		account->spent += units;
		account->spent_us = now_us;
		return 0;
	}
	if ((double)units > account->burst || account->rate_per_s <= 0)
		return NEVER_MS;
	wait_ms = missing / (account->rate_per_s * quota->part) * AT_MS_PER_S;
	return wait_ms >= NEVER_MS ? NEVER_MS : (uint32_t)wait_ms + 1u;
}

void
at_quota_refund(at_quota_t *quota, at_tag_t workspace, uint64_t units)
{
	account_t *account = find(quota, workspace);

	if (account == NULL || account->spent < units)
		return;
	account->spent -= units;
	if (account->unlimited)
		return;
	account->level += (double)units;
	if (account->level > account->burst)
		account->level = account->burst;
}

size_t
at_quota_fill_report(const at_quota_t *quota, at_quota_usage_t *rows,
    size_t max, uint64_t now_us)
{
	const account_t *account;
	size_t count = 0;

	for (account = quota->accounts; account != NULL && count < max;
	     account = account->hh.next) {
		if (account->spent == 0 ||
		    now_us - account->spent_us > REPORT_FOR_US)
			continue;
		rows[count].workspace = account->workspace;
		rows[count].units = account->spent;
		count++;
	}
	return count;
}

static heard_t *
heard_of(at_quota_t *quota, at_tag_t instance, at_tag_t workspace)
{
	heard_t wanted;
	heard_t *heard;

	memset(&wanted, 0, sizeof(wanted));
	wanted.key.instance = instance;
	wanted.key.workspace = workspace;

	HASH_FIND(hh, quota->heard, &wanted.key, sizeof(wanted.key), heard);
	if (heard != NULL)
		return heard;
	heard = calloc(1, sizeof(*heard));
	if (heard == NULL)
		return NULL;
	heard->key = wanted.key;
	HASH_ADD(hh, quota->heard, key, sizeof(heard->key), heard);
	return heard;
}

/*
 * Returns what an instance spent since it was last heard. What one spent
 * before it was ever heard is not known to be recent.
 */
static uint64_t
newly_spent(at_quota_t *quota, at_tag_t instance, uint64_t incarnation,
    int is_known, const at_quota_usage_t *row)
{
	heard_t *heard = heard_of(quota, instance, row->workspace);
	uint64_t before;

	if (heard == NULL)
		return 0;
	before = heard->incarnation == incarnation ? heard->units : 0;
	if (!is_known)
		before = row->units;
	heard->incarnation = incarnation;
	heard->units = row->units;
	return row->units > before ? row->units - before : 0;
}

/*
 * What is heard after a silence was spent long ago and had been left to the
 * silent; after a pause of our own many reports come at once.
 */
static int
is_late(at_quota_t *quota, heard_t *known, uint64_t now_us)
{
	int late = now_us - known->heard_us > LATE_US;

	if (now_us - quota->heard_us > LATE_US)
		quota->late_until_us = now_us + CATCH_UP_US;
	quota->heard_us = now_us;
	known->heard_us = now_us;
	return late || now_us < quota->late_until_us;
}

static void
owe(account_t *account, uint64_t units, int late, uint64_t now_us)
{
	double floor = -account->burst * (late ? LATE_DEBT_PART : DEBT_PART);
	double level = account->level - (double)units;

	if (level < floor)
		level = account->level < floor ? account->level : floor;
	account->level = level;
	if (!late && -level > recent_debt(account, now_us)) {
		account->debt = -level;
		account->debt_us = now_us;
	}
}

void
at_quota_apply_report(at_quota_t *quota, at_tag_t instance,
    uint64_t incarnation, const at_quota_usage_t *rows, size_t count,
    uint64_t now_us)
{
	heard_t *known = heard_of(quota, instance, 0);
	int is_known = known != NULL && known->units != 0;
	int late = known == NULL || is_late(quota, known, now_us);
	size_t i;

	if (known != NULL)
		known->units = 1;
	for (i = 0; i < count; i++) {
		account_t *account = find(quota, rows[i].workspace);
		uint64_t units = newly_spent(
		    quota, instance, incarnation, is_known, &rows[i]);

		if (account == NULL || account->unlimited)
			continue;
		refill(quota, account, now_us);
		owe(account, units, late, now_us);
	}
}

int64_t
at_quota_level(const at_quota_t *quota, at_tag_t workspace)
{
	const account_t *account = find(quota, workspace);

	return account == NULL ? 0 : (int64_t)account->level;
}

int64_t
at_quota_recent_deficit(
    const at_quota_t *quota, at_tag_t workspace, uint64_t now_us)
{
	const account_t *account = find(quota, workspace);

	return account == NULL ? 0 : (int64_t)recent_debt(account, now_us);
}
