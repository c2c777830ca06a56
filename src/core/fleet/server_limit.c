/*
 * server_limit.c - this instance's part of the rate that a server has named,
 * and of that which an engine takes while it is cold (server_cold.c).
 *
 * The rate is that of all instances together. Each instance that may send has
 * an equal part and may have saved up one request, so that the number of these
 * instances bounds what a server gets in a short time. It is therefore smaller
 * than that of all instances if the rate is low.
 */
#include "core/fleet/fleet_private.h"

#define US_PER_S 1000000u
#define MILLI 1000u
/* Part of the rate that is used; instances may disagree on who may send. */
#define USED_PERCENT 90u
/* Instances that may send: SENDERS_MIN and SENDERS_PER_10_S for 10 a second. */
#define SENDERS_MIN 2u
#define SENDERS_PER_10_S 24u
/* One request, in the unit of the level. */
#define REQUEST_MICRO 1000000u

int
server_limit_note(
    server_limit_t *limit, uint32_t rate_milli, uint64_t received_us)
{
	uint32_t before = limit->rate_milli;

	if (received_us <= limit->received_us)
		return 0;
	/* Servers without a limit, which are most, are not kept. */
	if (rate_milli == 0 && before == 0)
		return 0;
	if (rate_milli != 0 && rate_milli < AT_SERVER_LIMIT_MIN_MILLI)
		rate_milli = AT_SERVER_LIMIT_MIN_MILLI;
	limit->received_us = received_us;
	limit->rate_milli = rate_milli;
	/* What was saved up for a cold engine counts, too. */
	if (before == 0 && received_us >= limit->cold_until_us) {
		limit->level_micro = 0;
		limit->filled_us = received_us;
	}
	return before != rate_milli;
}

void
server_limit_set_share(
    server_limit_t *limit, uint32_t rank, uint32_t instances, uint64_t now_us)
{
	uint32_t senders = (uint32_t)((uint64_t)limit->rate_milli *
				      SENDERS_PER_10_S / (10u * MILLI)) +
			   SENDERS_MIN;

	/* What was saved up until now is kept. */
	(void)server_limit_allows(limit, now_us);
	if (senders > instances)
		senders = instances;
	limit->share_milli = rank < senders
				 ? (uint32_t)((uint64_t)limit->rate_milli *
					      USED_PERCENT / 100u / senders)
				 : 0;
}

static uint64_t
min_u64(uint64_t a, uint64_t b)
{
	return a < b ? a : b;
}

static uint64_t
between(uint64_t from_us, uint64_t to_us)
{
	return to_us > from_us ? to_us - from_us : 0;
}

/*
 * Adds what has been saved up since the last call: by the part for a cold
 * engine until it is no longer cold, by the other one since.
 */
static void
fill(server_limit_t *limit, uint64_t now_us)
{
	uint64_t cold_us = min_u64(now_us, limit->cold_until_us);
	uint64_t since_us = limit->filled_us;
	uint64_t added =
	    between(since_us, min_u64(cold_us, limit->cold_share_until_us)) *
	    limit->cold_share_milli / MILLI;

	if (since_us < cold_us)
		since_us = cold_us;
	added += between(since_us, now_us) * limit->share_milli / MILLI;
	limit->filled_us = now_us;
	limit->level_micro += added;
	if (limit->level_micro <= REQUEST_MICRO)
		return;
	limit->unused_micro = min_u64(REQUEST_MICRO,
	    limit->unused_micro + limit->level_micro - REQUEST_MICRO);
	limit->level_micro = REQUEST_MICRO;
}

static int
is_cold(const server_limit_t *limit, uint64_t now_us)
{
	return now_us < limit->cold_until_us;
}

uint32_t
server_limit_named_milli(const server_limit_t *limit)
{
	return (uint32_t)((uint64_t)limit->rate_milli * USED_PERCENT / 100u);
}

void
server_limit_set_cold(server_limit_t *limit, uint64_t until_us, uint64_t now_us)
{
	int was_cold = is_cold(limit, now_us);

	if (was_cold || limit->rate_milli != 0)
		fill(limit, now_us);
	limit->cold_until_us = until_us;
	if (was_cold || !is_cold(limit, now_us))
		return;
	/* Nothing that was saved up before it became cold may be used. */
	limit->level_micro = 0;
	limit->unused_micro = 0;
	limit->filled_us = now_us;
	limit->cold_share_milli = 0;
}

void
server_limit_set_cold_share(server_limit_t *limit, uint32_t share_milli,
    uint64_t until_us, uint64_t now_us)
{
	if (!is_cold(limit, now_us))
		return;
	fill(limit, now_us);
	limit->cold_share_milli = share_milli;
	limit->cold_share_until_us = until_us;
	/* Another instance sends instead of this one, and may have sent. */
	if (share_milli == 0)
		limit->level_micro = 0;
}

int
server_limit_allows(server_limit_t *limit, uint64_t now_us)
{
	if (limit->rate_milli == 0 && !is_cold(limit, now_us))
		return 1;
	fill(limit, now_us);
	return limit->level_micro >= REQUEST_MICRO &&
	       (!is_cold(limit, now_us) ||
		   (limit->cold_share_milli != 0 &&
		       now_us < limit->cold_share_until_us));
}

void
server_limit_take(server_limit_t *limit, uint64_t now_us)
{
	if (limit->rate_milli == 0 && !is_cold(limit, now_us))
		return;
	fill(limit, now_us);
	limit->unused_micro = 0;
	limit->level_micro = limit->level_micro > REQUEST_MICRO
				 ? limit->level_micro - REQUEST_MICRO
				 : 0;
}

int
server_limit_is_unused(const server_limit_t *limit)
{
	return limit->unused_micro >= REQUEST_MICRO;
}

uint64_t
server_limit_wait_us(const server_limit_t *limit)
{
	uint64_t missing = REQUEST_MICRO - limit->level_micro;

	if (is_cold(limit, limit->filled_us)) {
		uint64_t warm_us = limit->cold_until_us - limit->filled_us;

		if (limit->cold_share_milli == 0 ||
		    limit->filled_us >= limit->cold_share_until_us)
			return warm_us;
		return min_u64(
		    missing * MILLI / limit->cold_share_milli, warm_us);
	}

	/* Another instance may send sooner than one without a part. */
	if (limit->share_milli == 0)
		return (uint64_t)US_PER_S * MILLI / limit->rate_milli;
	return missing * MILLI / limit->share_milli;
}
