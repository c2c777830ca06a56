/*
 * plain_rates.c - bounds the requests in flight at the servers of a plain
 * service, over all instances, in an overload.
 *
 * With many instances each would fill the slots that it believes free, several
 * times in the age of a report; the servers then refuse requests in no order,
 * and what they accept waits too long. In a shortage all instances together
 * send what the servers complete, corrected by the difference between the
 * requests in flight and their target. Each instance sends the same part of
 * what it receives, so that no slot is reserved for an instance without
 * requests.
 */
#include "almondthread/plain_rates.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define US_PER_S 1000000.
#define MILLI 1000.
/* Time over which rates are averaged; several times the age of a report. */
#define RATE_WINDOW_US 500000.
/*
 * Requests for each slot in a shortage: one runs, the others wait at the server
 * so that it does not become idle within the age of a report.
 */
#define TARGET_PER_SLOT_MIN 2.5
#define TARGET_PER_SLOT_MAX 4.
#define REPORT_AGE_US 90000.
/* Time over which the capacity falls; it rises at once. */
#define CAPACITY_WINDOW_US 2000000.
/* There is a shortage from this number of requests for each slot above that. */
#define SHORT_PER_SLOT 0.5
/*
 * Time in which a difference from the target is made up for. It is twice the
 * age of a report; with less the number in flight would oscillate.
 */
#define CORRECTION_US 200000.
/* Time in which the requests that wait here would be sent if all could be. */
#define BACKLOG_US 500000.
/* The least that all instances send: one request for each slot in this time. */
#define FLOOR_US 1000000.
/* A shortage ends this time after it was last seen. */
#define SHORT_US 2000000u
/* A shortage is lasting when more has arrived than can be served for so long.
 */
#define LASTING_US 250000u
/* Or when this many times as much arrives. */
#define LASTING_EXCESS 1.5
/* Part of this instance's requests that servers refuse in a shortage. */
#define REFUSED_PART 0.3
/* Refusals in a second from which that part means something. */
#define REFUSED_MIN_PER_S 3.
/* Factor after refusals, and its growth in each interval without them. */
#define REFUSED_FACTOR 0.7
#define REFUSED_FACTOR_MIN 0.1
#define REFUSED_RECOVERY 0.1
#define REFUSED_INTERVAL_US 200000u
/* Requests that may be saved up. */
#define CREDIT_MAX (1.5 + RESERVE * PRIORITIES_MAX)
/*
 * What a request leaves saved up for each step of priority above it, so that an
 * urgent request that arrives next is sent at once.
 */
#define RESERVE 0.5
#define PRIORITIES_MAX 2u
/* A priority without a request for this time counts no longer. */
#define URGENT_US 2000000u
/* One observation has this weight in the mean time at a server. */
#define SERVED_WEIGHT 0.125

/* Events in a second, averaged over RATE_WINDOW_US. */
typedef struct rate {
	double per_s;
	uint64_t updated_us;
} rate_t;

typedef struct plain_rate {
	at_tag_t service;
	rate_t arrivals;
	rate_t served;
	rate_t refused;
	double served_us;
	/* What servers complete in a second for each slot when they are full.
	 */
	double slot_per_s;
	uint64_t slot_us;
	double credit; /* requests that may be sent */
	uint64_t credit_us;
	double factor; /* after refusals; 1: none */
	uint64_t factor_us;
	uint32_t urgent; /* highest priority of recent requests */
	uint64_t urgent_us;
	uint64_t short_until_us;
	uint64_t
	    excess_since_us; /* more arrives than is served; 0: it does not */
} plain_rate_t;

struct at_plain_rates {
	plain_rate_t list[AT_PLAIN_RATES_MAX];
	size_t count;
	uint64_t random_state;
};

at_plain_rates_t *
at_plain_rates_new(uint64_t seed)
{
	at_plain_rates_t *rates = calloc(1, sizeof(*rates));

	if (rates != NULL)
		rates->random_state = seed;
	return rates;
}

void
at_plain_rates_delete(at_plain_rates_t *rates)
{
	free(rates);
}

static plain_rate_t *
find(at_plain_rates_t *rates, at_tag_t service)
{
	size_t i;

	for (i = 0; i < rates->count; i++) {
		if (rates->list[i].service == service)
			return &rates->list[i];
	}
	return NULL;
}

static plain_rate_t *
find_or_add(at_plain_rates_t *rates, at_tag_t service)
{
	plain_rate_t *rate = find(rates, service);

	if (rate != NULL || rates->count == AT_PLAIN_RATES_MAX)
		return rate;
	rate = &rates->list[rates->count++];
	memset(rate, 0, sizeof(*rate));
	rate->service = service;
	rate->factor = 1.;
	/* Otherwise all instances would hold back their first requests. */
	rates->random_state =
	    rates->random_state * 6364136223846793005u + 1442695040888963407u;
	rate->credit =
	    (double)(rates->random_state >> 33) / (double)(UINT64_MAX >> 33);
	return rate;
}

static double
rate_at(const rate_t *rate, uint64_t now_us)
{
	double elapsed_us = now_us > rate->updated_us
				? (double)(now_us - rate->updated_us)
				: 0.;

	return rate->per_s * exp(-elapsed_us / RATE_WINDOW_US);
}

static void
rate_add(rate_t *rate, uint64_t now_us)
{
	rate->per_s = rate_at(rate, now_us) + US_PER_S / RATE_WINDOW_US;
	rate->updated_us = now_us;
}

/*
 * Returns what the servers can complete in a second. While all slots are taken
 * that is what they do complete. Otherwise it is at least that, and at least
 * what the time of a request allows.
 */
static double
capacity_per_s(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	double served_per_s = rate_at(&rate->served, now_us) +
			      (double)view->peers.served_milli / MILLI;
	double slot_per_s = view->slots == 0 ? 0. : served_per_s / view->slots;
	double elapsed_us =
	    now_us > rate->slot_us ? (double)(now_us - rate->slot_us) : 0.;

	rate->slot_us = now_us;
	if (view->active < view->slots && rate->served_us > 0. &&
	    slot_per_s < US_PER_S / rate->served_us)
		slot_per_s = US_PER_S / rate->served_us;
	if (slot_per_s > rate->slot_per_s)
		rate->slot_per_s = slot_per_s;
	else if (view->active >= view->slots)
		rate->slot_per_s +=
		    (slot_per_s - rate->slot_per_s) *
		    (1. - exp(-elapsed_us / CAPACITY_WINDOW_US));
	return rate->slot_per_s * view->slots;
}

static double
floor_per_s(const at_plain_view_t *view)
{
	return view->slots * US_PER_S / FLOOR_US;
}

/* Returns how many requests should be at the servers. */
static double
target_active(const plain_rate_t *rate, const at_plain_view_t *view)
{
	double per_slot = 1. + rate->slot_per_s * REPORT_AGE_US / US_PER_S;

	if (per_slot < TARGET_PER_SLOT_MIN)
		per_slot = TARGET_PER_SLOT_MIN;
	if (per_slot > TARGET_PER_SLOT_MAX)
		per_slot = TARGET_PER_SLOT_MAX;
	return per_slot * view->slots;
}

/* Returns what all instances should send in a second. */
static double
target_per_s(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	double missing = target_active(rate, view) - (double)view->active;
	double per_s = capacity_per_s(rate, view, now_us) +
		       missing * US_PER_S / CORRECTION_US;

	return per_s < floor_per_s(view) ? floor_per_s(view) : per_s;
}

static double
arrivals_per_s(
    const plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	return rate_at(&rate->arrivals, now_us) +
	       (double)view->peers.arrivals_milli / MILLI;
}

/* Returns what would be sent in a second if all could be. */
static double
demand_per_s(
    const plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	return arrivals_per_s(rate, view, now_us) +
	       ((double)view->queued_here + view->peers_queued) * US_PER_S /
		   BACKLOG_US;
}

/* The servers refuse requests although reports show no shortage. */
static int
is_refused(const plain_rate_t *rate, uint64_t now_us)
{
	double refused = rate_at(&rate->refused, now_us);

	return refused >= REFUSED_MIN_PER_S &&
	       refused >
		   REFUSED_PART * (refused + rate_at(&rate->served, now_us));
}

static void
recover_factor(plain_rate_t *rate, uint64_t now_us)
{
	while (rate->factor < 1. &&
	       now_us >= rate->factor_us + REFUSED_INTERVAL_US) {
		rate->factor += REFUSED_RECOVERY;
		rate->factor_us += REFUSED_INTERVAL_US;
	}
	if (rate->factor > 1.)
		rate->factor = 1.;
}

static int
check_shortage(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	/* Servers that take nothing, as after failures, are not short. */
	if (view->slots == 0)
		return 0;
	if ((double)view->active >=
		target_active(rate, view) + SHORT_PER_SLOT * view->slots ||
	    is_refused(rate, now_us))
		rate->short_until_us = now_us + SHORT_US;
	return now_us < rate->short_until_us;
}

static int
check_lasting(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	double arrivals = arrivals_per_s(rate, view, now_us);
	double capacity = capacity_per_s(rate, view, now_us);

	if (arrivals <= capacity)
		rate->excess_since_us = 0;
	else if (rate->excess_since_us == 0)
		rate->excess_since_us = now_us;
	return arrivals > capacity * LASTING_EXCESS ||
	       (rate->excess_since_us != 0 &&
		   now_us >= rate->excess_since_us + LASTING_US);
}

/* A burst is over before the reports that would show what to send. */
static int
is_limited(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	return check_shortage(rate, view, now_us) &&
	       (rate->factor < 1. || check_lasting(rate, view, now_us));
}

/* Returns the part of the requests that may be sent, up to 1. */
static double
part_to_send(plain_rate_t *rate, const at_plain_view_t *view, uint64_t now_us)
{
	double demand = demand_per_s(rate, view, now_us);
	double target = target_per_s(rate, view, now_us);

	recover_factor(rate, now_us);
	if (!is_limited(rate, view, now_us))
		return 1.;
	return (target >= demand ? 1. : target / demand) * rate->factor;
}

/* Adds what has been saved up for the requests that wait here. */
static void
fill(plain_rate_t *rate, double part, const at_plain_view_t *view,
    uint64_t now_us)
{
	double elapsed_us =
	    now_us > rate->credit_us ? (double)(now_us - rate->credit_us) : 0.;

	rate->credit_us = now_us;
	rate->credit += part * view->queued_here * elapsed_us / BACKLOG_US;
	if (rate->credit > CREDIT_MAX)
		rate->credit = CREDIT_MAX;
}

void
at_plain_rates_note_arrival(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t priority, uint64_t now_us)
{
	plain_rate_t *rate = find_or_add(rates, service);
	double part;

	if (rate == NULL)
		return;
	if (priority <= rate->urgent || now_us >= rate->urgent_us + URGENT_US) {
		rate->urgent = priority;
		rate->urgent_us = now_us;
	}
	rate_add(&rate->arrivals, now_us);
	part = part_to_send(rate, view, now_us);
	fill(rate, part, view, now_us);
	rate->credit += part;
	if (rate->credit > CREDIT_MAX)
		rate->credit = CREDIT_MAX;
}

void
at_plain_rates_note_sent(
    at_plain_rates_t *rates, at_tag_t service, uint64_t now_us)
{
	plain_rate_t *rate = find(rates, service);

	(void)now_us;
	if (rate == NULL)
		return;
	rate->credit -= 1.;
	/* Those that were sent without a shortage are not made up for. */
	if (rate->credit < 0.)
		rate->credit = 0.;
}

void
at_plain_rates_note_ended(at_plain_rates_t *rates, at_tag_t service,
    int is_refused_by_server, uint64_t elapsed_us, uint64_t now_us)
{
	plain_rate_t *rate = find(rates, service);

	if (rate == NULL)
		return;
	if (!is_refused_by_server) {
		rate_add(&rate->served, now_us);
		rate->served_us =
		    rate->served_us == 0.
			? (double)elapsed_us
			: rate->served_us +
			      SERVED_WEIGHT *
				  ((double)elapsed_us - rate->served_us);
		return;
	}
	rate_add(&rate->refused, now_us);
	recover_factor(rate, now_us);
	if (!is_refused(rate, now_us) ||
	    now_us < rate->factor_us + REFUSED_INTERVAL_US)
		return;
	rate->factor *= REFUSED_FACTOR;
	if (rate->factor < REFUSED_FACTOR_MIN)
		rate->factor = REFUSED_FACTOR_MIN;
	rate->factor_us = now_us;
}

int
at_plain_rates_is_short(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint64_t now_us)
{
	plain_rate_t *rate = find_or_add(rates, service);

	return rate != NULL && is_limited(rate, view, now_us);
}

int
at_plain_rates_may_send(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t priority, uint64_t now_us)
{
	plain_rate_t *rate = find_or_add(rates, service);
	double part;

	if (rate == NULL)
		return 1;
	part = part_to_send(rate, view, now_us);
	if (part >= 1.)
		return 1;
	fill(rate, part, view, now_us);
	priority = priority > rate->urgent ? priority - rate->urgent : 0;
	return rate->credit >=
	       1. + RESERVE *
			(priority < PRIORITIES_MAX ? priority : PRIORITIES_MAX);
}

uint64_t
at_plain_rates_wait_us(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint32_t ahead, uint64_t now_us)
{
	plain_rate_t *rate = find_or_add(rates, service);
	double part;
	double here_per_s;
	double capacity;
	double missing;

	if (rate == NULL)
		return 0;
	part = part_to_send(rate, view, now_us);
	if (part >= 1.)
		return 0;
	capacity = capacity_per_s(rate, view, now_us);
	if (rate->slot_per_s == 0. && view->request_us > 0)
		capacity = view->slots * US_PER_S / (double)view->request_us;
	if (capacity < floor_per_s(view))
		capacity = floor_per_s(view);
	/* After a burst, what waits everywhere is served, and no more comes. */
	if (!check_lasting(rate, view, now_us)) {
		missing = (double)view->active - target_active(rate, view) +
			  view->queued_here + view->peers_queued + 1.;
		return missing <= 0.
			   ? 0
			   : (uint64_t)(missing * US_PER_S / capacity);
	}
	here_per_s =
	    part * (rate_at(&rate->arrivals, now_us) +
		       (view->queued_here + 1.) * US_PER_S / BACKLOG_US);
	missing = ahead + 1. - rate->credit;
	return missing <= 0. ? 0 : (uint64_t)(missing * US_PER_S / here_per_s);
}

uint64_t
at_plain_rates_return_us(at_plain_rates_t *rates, at_tag_t service,
    const at_plain_view_t *view, uint64_t now_us)
{
	plain_rate_t *rate = find_or_add(rates, service);
	double part = rate == NULL ? 1. : part_to_send(rate, view, now_us);

	return (uint64_t)((1. / part - 1.) * US_PER_S);
}

uint64_t
at_plain_rates_served_us(const at_plain_rates_t *rates, at_tag_t service)
{
	size_t i;

	for (i = 0; i < rates->count; i++) {
		if (rates->list[i].service == service)
			return (uint64_t)rates->list[i].served_us;
	}
	return 0;
}

int
at_plain_rates_next(const at_plain_rates_t *rates, size_t *next,
    at_tag_t *service, at_plain_flow_t *flow, uint64_t now_us)
{
	while (*next < rates->count) {
		const plain_rate_t *rate = &rates->list[(*next)++];

		if (now_us >= rate->short_until_us)
			continue;
		*service = rate->service;
		flow->arrivals_milli =
		    (uint64_t)(rate_at(&rate->arrivals, now_us) * MILLI);
		flow->served_milli =
		    (uint64_t)(rate_at(&rate->served, now_us) * MILLI);
		return 1;
	}
	return 0;
}
