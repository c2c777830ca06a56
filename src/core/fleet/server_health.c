#include "core/fleet/fleet_private.h"

#define REST_FIRST_US 200000u /* after the first failure in a row */
#define REST_MAX_US 4000000u  /* however many there were */
#define FAILURES_TO_REST 2u   /* a single one may be the request's fault */
#define HEARD_REST_US 300000u /* after another instance's word */
#define WELL_US 1500000u      /* what went well here so lately goes before it */
#define SLOW_ONE 1000u        /* as predicted */
#define SLOW_MIN 250u   /* thousandths; a prediction is not that far off */
#define SLOW_MAX 12000u /* thousandths; a slower server rests instead */
#define SLOW_WEIGHT 8u  /* of the past, against one observation */

void
server_health_init(server_health_t *trust)
{
	trust->failures = 0;
	trust->rest_until_us = 0;
	trust->unreachable = 0;
	trust->well_us = 0;
	trust->slow_milli = SLOW_ONE;
}

static uint64_t
rest_us(uint32_t failures)
{
	uint64_t rest = REST_FIRST_US;

	for (; failures > FAILURES_TO_REST && rest < REST_MAX_US; failures--)
		rest *= 2;
	return rest < REST_MAX_US ? rest : REST_MAX_US;
}

void
server_health_note_outcome(
    server_health_t *trust, at_server_outcome_t outcome, uint64_t now_us)
{
	if (outcome == AT_OUTCOME_SUCCESS) {
		trust->failures = 0;
		trust->rest_until_us = 0;
		trust->unreachable = 0;
		trust->well_us = now_us;
	} else if (outcome == AT_OUTCOME_FAILED ||
		   outcome == AT_OUTCOME_UNREACHABLE) {
		trust->unreachable = outcome == AT_OUTCOME_UNREACHABLE;
		trust->failures += trust->unreachable ? FAILURES_TO_REST : 1u;
		if (trust->failures >= FAILURES_TO_REST)
			trust->rest_until_us =
			    now_us + rest_us(trust->failures);
	}
}

void
server_health_apply_unreachable(server_health_t *trust, uint64_t now_us)
{
	if (trust->well_us != 0 && now_us - trust->well_us < WELL_US)
		return;
	if (trust->failures < FAILURES_TO_REST)
		trust->failures = FAILURES_TO_REST;
	if (trust->rest_until_us < now_us + HEARD_REST_US)
		trust->rest_until_us = now_us + HEARD_REST_US;
}

void
server_health_note_time(
    server_health_t *trust, uint64_t predicted_us, uint64_t seen_us)
{
	uint64_t ratio = SLOW_ONE;

	if (predicted_us > 0)
		ratio = seen_us * SLOW_ONE / predicted_us;
	if (ratio < SLOW_MIN)
		ratio = SLOW_MIN;
	if (ratio > SLOW_MAX)
		ratio = SLOW_MAX;
	trust->slow_milli =
	    (uint32_t)((trust->slow_milli * (SLOW_WEIGHT - 1) + ratio) /
		       SLOW_WEIGHT);
}

int
server_health_allows(
    const server_health_t *trust, uint64_t now_us, uint32_t open)
{
	if (now_us < trust->rest_until_us)
		return 0;
	/* After a rest one request at a time shows whether it is well. */
	return trust->failures < FAILURES_TO_REST || open == 0;
}
