/*
 * A workspace's limit over several instances that report their usage to each
 * other. In any window of WINDOW_MS the usage must not exceed rate * window +
 * burst by more than a tenth (OVERAGE) and TOLERANCE units.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/quota.h"

#define US_PER_MS 1000u
#define RATE 90000u  /* units per second */
#define BURST 90000u /* units */
#define WINDOW_MS 8000u
#define OVERAGE 0.1
#define TOLERANCE 17000. /* units */
#define INSTANCES 9u
#define DATA_CENTRES 3u
#define REPORT_MS 100u      /* between two reports in a data centre */
#define REMOTE_EVERY 4u     /* each 4th report also leaves the data centre */
#define REQUEST_UNITS 1000u /* units of one request */
#define RESUMED_EVERY 20u   /* one in so many goes on with a stream */

static const at_site_workspace_t workspace = {
    .tag = 42, .rate_per_s = RATE, .burst = BURST, .counts_tokens = 1};

static at_quota_t *
new_quota(uint64_t now_us)
{
	static uint64_t seed;
	at_quota_t *quota = at_quota_new(++seed);

	at_quota_set_instances(quota, 1, 1, now_us);
	(void)at_quota_take(quota, &workspace, 0, now_us);
	return quota;
}

Test(quota, refills_and_returns_the_time_to_wait)
{
	at_quota_t *quota = new_quota(0);
	uint64_t full_us = 10u * 1000u * US_PER_MS;
	uint32_t wait_ms;

	cr_assert_eq(at_quota_take(quota, &workspace, BURST, full_us), 0);
	wait_ms = at_quota_take(quota, &workspace, RATE / 10, full_us);
	cr_assert_geq(wait_ms, 100);
	cr_assert_leq(wait_ms, 102);
	cr_assert_eq(at_quota_take(quota, &workspace, RATE / 10,
			 full_us + wait_ms * US_PER_MS),
	    0);
	at_quota_delete(quota);
}

Test(quota, refunds_requests_never_run)
{
	at_quota_t *quota = new_quota(0);
	uint64_t full_us = 10u * 1000u * US_PER_MS;

	cr_assert_eq(at_quota_take(quota, &workspace, BURST, full_us), 0);
	at_quota_refund(quota, workspace.tag, BURST);
	cr_assert_eq(at_quota_take(quota, &workspace, BURST, full_us), 0);
	at_quota_delete(quota);
}

/*
 * After a pause an instance receives the reports of the whole pause at once.
 * The usage in them must not become a large deficit.
 */
Test(quota, limits_deficit_after_a_pause)
{
	at_quota_t *quota = new_quota(0);
	at_quota_usage_t entry = {workspace.tag, 1000};
	uint64_t now_us = 20u * 1000u * US_PER_MS;
	int i;

	at_quota_apply_report(quota, 7, 1, &entry, 1, US_PER_MS);
	for (i = 0; i < 80; i++) {
		entry.units += RATE / 10;
		at_quota_apply_report(quota, 7, 1, &entry, 1, now_us);
	}
	cr_assert_leq(
	    at_quota_take(quota, &workspace, REQUEST_UNITS, now_us), 600);
	at_quota_delete(quota);
}

/* Instances that receive requests far above the limit of a workspace. */
typedef struct fleet {
	at_quota_t *quotas[INSTANCES];
	uint64_t incarnations[INSTANCES];
	uint64_t used_in[WINDOW_MS * 4]; /* units by millisecond */
	uint64_t sent;
	/* New requests, and those that go on with a stream. */
	uint64_t asked[2];
	uint64_t admitted[2];
} fleet_t;

static void
exchange_reports(fleet_t *fleet, uint64_t round, uint64_t now_us, int is_cut)
{
	at_quota_usage_t entries[4];
	size_t from;
	size_t to;

	for (from = 0; from < INSTANCES; from++) {
		size_t count = at_quota_fill_report(
		    fleet->quotas[from], entries, 4, now_us);

		for (to = 0; to < INSTANCES; to++) {
			int is_remote =
			    from % DATA_CENTRES != to % DATA_CENTRES;

			if (to == from || (is_remote && is_cut))
				continue;
			if (is_remote &&
			    round % REMOTE_EVERY != from % REMOTE_EVERY)
				continue;
			at_quota_apply_report(fleet->quotas[to], from + 1,
			    fleet->incarnations[from], entries, count, now_us);
		}
	}
	for (to = 0; to < INSTANCES; to++)
		at_quota_set_instances(fleet->quotas[to], INSTANCES,
		    is_cut ? INSTANCES / DATA_CENTRES : INSTANCES, now_us);
}

/*
 * Requests at seven times the rate over all instances: evenly spread, or with
 * pulse_ms all at once at this interval.
 */
static void
send_requests(fleet_t *fleet, uint64_t ms, uint64_t pulse_ms, uint64_t now_us)
{
	uint64_t gap_ms = REQUEST_UNITS * INSTANCES * 1000u / RATE / 7u + 1;
	uint64_t requests = pulse_ms == 0 ? 1 : pulse_ms / gap_ms;
	size_t i;
	uint64_t k;

	for (i = 0; i < INSTANCES; i++) {
		if (pulse_ms == 0 ? (ms + i) % gap_ms != 0 : ms % pulse_ms != 0)
			continue;
		for (k = 0; k < requests; k++) {
			int is_resumed = fleet->sent++ % RESUMED_EVERY == 0;
			uint32_t wait_ms =
			    (is_resumed ? at_quota_take_resumed
					: at_quota_take)(fleet->quotas[i],
				&workspace, REQUEST_UNITS, now_us);

			fleet->asked[is_resumed]++;
			fleet->admitted[is_resumed] += wait_ms == 0;
			if (wait_ms == 0)
				fleet->used_in[ms] += REQUEST_UNITS;
		}
	}
}

static uint64_t
admitted_percent(const fleet_t *fleet, int is_resumed)
{
	return 100u * fleet->admitted[is_resumed] / fleet->asked[is_resumed];
}

static uint64_t
max_in_window(const fleet_t *fleet, uint64_t total_ms)
{
	uint64_t sum = 0;
	uint64_t max_units = 0;
	uint64_t ms;

	for (ms = 0; ms < total_ms; ms++) {
		sum += fleet->used_in[ms];
		if (ms >= WINDOW_MS)
			sum -= fleet->used_in[ms - WINDOW_MS];
		if (sum > max_units)
			max_units = sum;
	}
	return max_units;
}

/*
 * Between cut_ms and heal_ms the data centres are cut off from each other, at
 * kill_ms all instances restart, and until quiet_ms there are no requests. With
 * pulse_ms the requests arrive in bursts at this interval at all instances at
 * once, so that each one uses its level before the reports of the others
 * arrive.
 */
static const struct {
	const char *name;
	uint64_t cut_ms;
	uint64_t heal_ms;
	uint64_t kill_ms;
	uint64_t quiet_ms;
	uint64_t pulse_ms;
} cases[] = {
    {"no faults", 0, 0, 0, 0, 0},
    {"data centres cut off from each other", 9000, 15000, 0, 0, 0},
    {"all killed at once", 0, 0, 9000, 0, 0},
    {"cut, then all killed", 9000, 15000, 12000, 0, 0},
    {"requests after a quiet time", 0, 0, 0, 4000, 0},
    {"request bursts five times a second", 0, 0, 0, 4000, 200},
    {"request bursts twice a second", 0, 0, 0, 4000, 500},
};

Test(quota, limits_the_sum_over_instances)
{
	double bound =
	    (RATE * (WINDOW_MS / 1000.) + BURST) * (1. + OVERAGE) + TOLERANCE;
	uint64_t total_ms = 3u * WINDOW_MS;
	size_t k;

	for (k = 0; k < sizeof(cases) / sizeof(cases[0]); k++) {
		static fleet_t fleet;
		uint64_t ms;
		size_t i;

		memset(&fleet, 0, sizeof(fleet));
		for (i = 0; i < INSTANCES; i++) {
			fleet.quotas[i] = new_quota(0);
			fleet.incarnations[i] = i + 1;
		}
		for (ms = 0; ms < total_ms; ms++) {
			int is_cut =
			    ms >= cases[k].cut_ms && ms < cases[k].heal_ms;

			if (cases[k].kill_ms != 0 && ms == cases[k].kill_ms) {
				for (i = 0; i < INSTANCES; i++) {
					at_quota_delete(fleet.quotas[i]);
					fleet.quotas[i] =
					    new_quota(ms * US_PER_MS);
					fleet.incarnations[i] += 100;
				}
			}
			if (ms >= cases[k].quiet_ms)
				send_requests(&fleet, ms, cases[k].pulse_ms,
				    ms * US_PER_MS);
			if (ms % REPORT_MS == 0)
				exchange_reports(&fleet, ms / REPORT_MS,
				    ms * US_PER_MS, is_cut);
		}
		cr_assert_leq((double)max_in_window(&fleet, total_ms), bound,
		    "%s: %llu units used in a window, %.0f allowed",
		    cases[k].name,
		    (unsigned long long)max_in_window(&fleet, total_ms), bound);
		/* Streams that had begun were refused as often as new ones. */
		cr_expect_gt(2u * admitted_percent(&fleet, 1),
		    3u * admitted_percent(&fleet, 0),
		    "%s: %llu in 100 resumed, %llu new admitted", cases[k].name,
		    (unsigned long long)admitted_percent(&fleet, 1),
		    (unsigned long long)admitted_percent(&fleet, 0));
		for (i = 0; i < INSTANCES; i++)
			at_quota_delete(fleet.quotas[i]);
	}
}

/* What instance 7 reports, directly and through a gateway, in this order. */
static const struct {
	uint64_t incarnation;
	uint64_t units;
	uint64_t debited; /* since the first report */
} overtaken[] = {{1, 1000, 0}, {1, 5000, 4000}, {1, 3000, 4000},
    {1, 5000, 4000}, {1, 6000, 5000}, {2, 500, 5500}, {2, 500, 5500}};

Test(quota, a_report_that_was_overtaken_is_debited_twice)
{
	at_quota_t *quota = new_quota(0);
	uint64_t now_us = 20u * 1000u * US_PER_MS;
	size_t i;

	(void)at_quota_take(quota, &workspace, 0, now_us);
	for (i = 0; i < sizeof(overtaken) / sizeof(overtaken[0]); i++) {
		const at_quota_usage_t entry = {
		    workspace.tag, overtaken[i].units};

		at_quota_apply_report(
		    quota, 7, overtaken[i].incarnation, &entry, 1, now_us);
		cr_expect_eq(at_quota_level(quota, workspace.tag),
		    (int64_t)(BURST - overtaken[i].debited), "report %zu: %ld",
		    i, (long)at_quota_level(quota, workspace.tag));
	}
	at_quota_delete(quota);
}
