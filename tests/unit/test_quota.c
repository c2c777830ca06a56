/*
 * A workspace's limit over several instances that tell each other what they
 * spend. The bound: in any window, at most rate x window + burst, a tenth
 * more, and a fixed tolerance.
 */
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/quota.h"

#define US_PER_MS 1000u
#define RATE 90000u
#define BURST 90000u
#define WINDOW_MS 8000u
#define OVERAGE 0.1
#define TOLERANCE 17000.
#define INSTANCES 9u
#define DATA_CENTRES 3u
#define REPORT_MS 100u /* between two reports in a data centre */
#define FAR_EVERY 4u   /* of those go to the other data centres */
#define REQUEST 1000u  /* units of one request */

static const at_site_workspace_t workspace = {
    .tag = 42, .rate_per_s = RATE, .burst = BURST, .counts_tokens = 1};

static at_quota_t *
make(uint64_t now_us)
{
	static uint64_t seed;
	at_quota_t *quota = at_quota_new(++seed);

	at_quota_set_instances(quota, 1, 1, now_us);
	(void)at_quota_take(quota, &workspace, 0, now_us);
	return quota;
}

Test(quota, refills_and_says_when_there_is_enough)
{
	at_quota_t *quota = make(0);
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

Test(quota, gives_back_what_never_ran)
{
	at_quota_t *quota = make(0);
	uint64_t full_us = 10u * 1000u * US_PER_MS;

	cr_assert_eq(at_quota_take(quota, &workspace, BURST, full_us), 0);
	at_quota_refund(quota, workspace.tag, BURST);
	cr_assert_eq(at_quota_take(quota, &workspace, BURST, full_us), 0);
	at_quota_delete(quota);
}

/* An instance that stood still hears at once what others spent meanwhile. */
Test(quota, owes_little_after_a_pause)
{
	at_quota_t *quota = make(0);
	at_quota_usage_t row = {workspace.tag, 1000};
	uint64_t now_us = 20u * 1000u * US_PER_MS;
	int i;

	at_quota_apply_report(quota, 7, 1, &row, 1, US_PER_MS);
	for (i = 0; i < 80; i++) {
		row.units += RATE / 10;
		at_quota_apply_report(quota, 7, 1, &row, 1, now_us);
	}
	cr_assert_leq(at_quota_take(quota, &workspace, REQUEST, now_us), 600);
	at_quota_delete(quota);
}

/* Instances under a workspace that asks far beyond its limit. */
typedef struct crowd {
	at_quota_t *quotas[INSTANCES];
	uint64_t incarnations[INSTANCES];
	uint64_t spent_in[WINDOW_MS * 4]; /* units by millisecond */
} crowd_t;

static void
tell_all(crowd_t *c, uint64_t round, uint64_t now_us, int cut)
{
	at_quota_usage_t rows[4];
	size_t from;
	size_t to;

	for (from = 0; from < INSTANCES; from++) {
		size_t count =
		    at_quota_fill_report(c->quotas[from], rows, 4, now_us);

		for (to = 0; to < INSTANCES; to++) {
			int is_far = from % DATA_CENTRES != to % DATA_CENTRES;

			if (to == from || (is_far && cut))
				continue;
			if (is_far && round % FAR_EVERY != from % FAR_EVERY)
				continue;
			at_quota_apply_report(c->quotas[to], from + 1,
			    c->incarnations[from], rows, count, now_us);
		}
	}
	for (to = 0; to < INSTANCES; to++)
		at_quota_set_instances(c->quotas[to], INSTANCES,
		    cut ? INSTANCES / DATA_CENTRES : INSTANCES, now_us);
}

/* Seven times the rate over all of them, at once every pulse_ms. */
static void
ask_all(crowd_t *c, uint64_t ms, uint64_t pulse_ms, uint64_t now_us)
{
	uint64_t gap_ms = REQUEST * INSTANCES * 1000u / RATE / 7u + 1;
	uint64_t requests = pulse_ms == 0 ? 1 : pulse_ms / gap_ms;
	size_t i;
	uint64_t k;

	for (i = 0; i < INSTANCES; i++) {
		if (pulse_ms == 0 ? (ms + i) % gap_ms != 0 : ms % pulse_ms != 0)
			continue;
		for (k = 0; k < requests; k++) {
			if (at_quota_take(
				c->quotas[i], &workspace, REQUEST, now_us) == 0)
				c->spent_in[ms] += REQUEST;
		}
	}
}

static uint64_t
most_in_window(const crowd_t *c, uint64_t total_ms)
{
	uint64_t sum = 0;
	uint64_t most = 0;
	uint64_t ms;

	for (ms = 0; ms < total_ms; ms++) {
		sum += c->spent_in[ms];
		if (ms >= WINDOW_MS)
			sum -= c->spent_in[ms - WINDOW_MS];
		if (sum > most)
			most = sum;
	}
	return most;
}

/*
 * At which ms data centres lose each other, and all instances die; until
 * quiet_ms the workspace asks for nothing. With pulse_ms its requests come
 * together, so that each instance spends before it hears of the others.
 */
static const struct {
	const char *name;
	uint64_t cut_ms;
	uint64_t heal_ms;
	uint64_t kill_ms;
	uint64_t quiet_ms;
	uint64_t pulse_ms;
} crowds[] = {
    {"calm", 0, 0, 0, 0, 0},
    {"data centres cut off from each other", 9000, 15000, 0, 0, 0},
    {"all killed at once", 0, 0, 9000, 0, 0},
    {"cut, then all killed", 9000, 15000, 12000, 0, 0},
    {"busy after a quiet time", 0, 0, 0, 4000, 0},
    {"many at once, five times a second", 0, 0, 0, 4000, 200},
    {"many at once, twice a second", 0, 0, 0, 4000, 500},
};

Test(quota, holds_over_all_instances)
{
	double bound =
	    (RATE * (WINDOW_MS / 1000.) + BURST) * (1. + OVERAGE) + TOLERANCE;
	uint64_t total_ms = 3u * WINDOW_MS;
	size_t k;

	for (k = 0; k < sizeof(crowds) / sizeof(crowds[0]); k++) {
		static crowd_t c;
		uint64_t ms;
		size_t i;

		memset(&c, 0, sizeof(c));
		for (i = 0; i < INSTANCES; i++) {
			c.quotas[i] = make(0);
			c.incarnations[i] = i + 1;
		}
		for (ms = 0; ms < total_ms; ms++) {
			int cut =
			    ms >= crowds[k].cut_ms && ms < crowds[k].heal_ms;

			if (crowds[k].kill_ms != 0 && ms == crowds[k].kill_ms) {
				for (i = 0; i < INSTANCES; i++) {
					at_quota_delete(c.quotas[i]);
					c.quotas[i] = make(ms * US_PER_MS);
					c.incarnations[i] += 100;
				}
			}
			if (ms >= crowds[k].quiet_ms)
				ask_all(
				    &c, ms, crowds[k].pulse_ms, ms * US_PER_MS);
			if (ms % REPORT_MS == 0)
				tell_all(
				    &c, ms / REPORT_MS, ms * US_PER_MS, cut);
		}
		cr_assert_leq((double)most_in_window(&c, total_ms), bound,
		    "%s: %llu units in a window, allowed %.0f", crowds[k].name,
		    (unsigned long long)most_in_window(&c, total_ms), bound);
		for (i = 0; i < INSTANCES; i++)
			at_quota_delete(c.quotas[i]);
	}
}
