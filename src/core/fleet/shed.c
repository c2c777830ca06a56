/*
 * shed.c - the cost to callers of a delay and of a refusal.
 *
 * When capacity is short some requests are not served on time whatever the
 * order. If the request that arrives is always the one to be refused, requests
 * that are late already keep the places of those that could be on time. And in
 * a burst of one workspace all others would wait behind its requests.
 */
#include "almondthread/shed.h"

/* Added to the rank for each step of priority; 0 is the most urgent. */
#define PRIORITY_US 1500000u
/* Weight of an on-time request with priority 0; each step halves it. */
#define WEIGHT 4096u
#define WEIGHT_PRIORITIES_MAX 8u
/* Part of the weight that a late response still has. */
#define LATE_PERCENT 25u
/* Shortest time of work; less is not known that well. */
#define WORK_MIN_US 1000u
#define US_PER_MS 1000u

uint64_t
at_shed_rank(const at_shed_request_t *request)
{
	uint64_t due_us =
	    request->is_begun ? request->arrived_us : request->objective_us;

	/* A surplus counts as one step of priority. */
	return due_us + ((uint64_t)request->priority +
			    (uint64_t)(request->is_surplus != 0)) *
			    PRIORITY_US;
}

int
at_shed_is_surplus(uint32_t own, uint32_t all, uint32_t workspaces)
{
	return workspaces > 1 && own > (all + workspaces - 1u) / workspaces;
}

uint64_t
at_shed_cost(const at_shed_request_t *request, uint64_t start_us)
{
	uint32_t steps = request->priority < WEIGHT_PRIORITIES_MAX
			     ? request->priority
			     : WEIGHT_PRIORITIES_MAX;
	uint64_t work_us =
	    request->work_us < WORK_MIN_US ? WORK_MIN_US : request->work_us;
	uint64_t weight = (uint64_t)(WEIGHT >> steps) * 100u;

	/* What the caller already has would be lost, too. */
	if (request->is_begun)
		return UINT64_MAX;
	if (start_us + request->work_us > request->deadline_us)
		return 0;
	if (start_us + request->work_us > request->objective_us)
		weight = weight * LATE_PERCENT / 100u;
	return weight * US_PER_MS / work_us;
}

int
at_shed_yields(const at_shed_request_t *queued, uint64_t queued_us,
    const at_shed_request_t *other, uint64_t other_us)
{
	/* One that is late anyway does not replace another. */
	if (other_us + other->work_us > other->objective_us)
		return 0;
	/* As long as a queued one can be on time, it keeps its place. */
	if (queued_us + queued->work_us <= queued->objective_us)
		return 0;
	return at_shed_cost(queued, queued_us) < at_shed_cost(other, other_us);
}
