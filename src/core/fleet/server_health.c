#include "core/fleet/fleet_private.h"

/* First backoff; each further consecutive failure doubles it. */
#define BACKOFF_FIRST_US 200000u
/* Upper bound of the backoff. */
#define BACKOFF_MAX_US 4000000u
/* Failures until a backoff; a single one may be caused by the request. */
#define FAILURES_TO_BACKOFF 2u
/* Backoff after a peer reports the server as unreachable. */
#define PEER_REPORT_BACKOFF_US 300000u
/* Reports of peers are ignored for this time after a success. */
#define LOCAL_SUCCESS_US 1500000u
/* Ratio of a server that is as fast as predicted, in thousandths. */
#define SLOWDOWN_NONE 1000u
/* Smallest ratio; a prediction is at most four times too high. */
#define SLOWDOWN_MIN_MILLI 250u
/* Largest ratio; a slower server gets failures and a backoff instead. */
#define SLOWDOWN_MAX_MILLI 12000u
/* One observation has a weight of 1 / SLOWDOWN_WEIGHT in the ratio. */
#define SLOWDOWN_WEIGHT 8u

void
server_health_init(server_health_t *health)
{
	health->failures = 0;
	health->backoff_until_us = 0;
	health->unreachable = 0;
	health->succeeded_us = 0;
	health->slowdown_milli = SLOWDOWN_NONE;
}

static uint64_t
backoff_us(uint32_t failures)
{
	uint64_t backoff = BACKOFF_FIRST_US;

	for (; failures > FAILURES_TO_BACKOFF && backoff < BACKOFF_MAX_US;
	     failures--)
		backoff *= 2;
	return backoff < BACKOFF_MAX_US ? backoff : BACKOFF_MAX_US;
}

void
server_health_note_outcome(
    server_health_t *health, at_server_outcome_t outcome, uint64_t now_us)
{
	if (outcome == AT_OUTCOME_SUCCESS) {
		health->failures = 0;
		health->backoff_until_us = 0;
		health->unreachable = 0;
		health->succeeded_us = now_us;
	} else if (outcome == AT_OUTCOME_FAILED ||
		   outcome == AT_OUTCOME_UNREACHABLE) {
		health->unreachable = outcome == AT_OUTCOME_UNREACHABLE;
		health->failures +=
		    health->unreachable ? FAILURES_TO_BACKOFF : 1u;
		if (health->failures >= FAILURES_TO_BACKOFF)
			health->backoff_until_us =
			    now_us + backoff_us(health->failures);
	}
}

void
server_health_forget_failures(server_health_t *health)
{
	health->failures = 0;
	health->backoff_until_us = 0;
	health->unreachable = 0;
}

void
server_health_apply_unreachable(server_health_t *health, uint64_t now_us)
{
	if (health->succeeded_us != 0 &&
	    now_us - health->succeeded_us < LOCAL_SUCCESS_US)
		return;
	if (health->failures < FAILURES_TO_BACKOFF)
		health->failures = FAILURES_TO_BACKOFF;
	if (health->backoff_until_us < now_us + PEER_REPORT_BACKOFF_US)
		health->backoff_until_us = now_us + PEER_REPORT_BACKOFF_US;
}

void
server_health_note_time(
    server_health_t *health, uint64_t predicted_us, uint64_t observed_us)
{
	uint64_t ratio = SLOWDOWN_NONE;

	if (predicted_us > 0)
		ratio = observed_us * SLOWDOWN_NONE / predicted_us;
	if (ratio < SLOWDOWN_MIN_MILLI)
		ratio = SLOWDOWN_MIN_MILLI;
	if (ratio > SLOWDOWN_MAX_MILLI)
		ratio = SLOWDOWN_MAX_MILLI;
	health->slowdown_milli =
	    (uint32_t)((health->slowdown_milli * (SLOWDOWN_WEIGHT - 1) +
			   ratio) /
		       SLOWDOWN_WEIGHT);
}

int
server_health_allows(
    const server_health_t *health, uint64_t now_us, uint32_t in_flight)
{
	if (now_us < health->backoff_until_us)
		return 0;
	/*
	 * After a backoff one request at a time tests whether the server has
	 * recovered.
	 */
	return health->failures < FAILURES_TO_BACKOFF || in_flight == 0;
}
