/*
 * demand_rates.h - request rates of each model over all instances, for the
 * residency planner.
 *
 * Every instance counts its requests since its start and reports the totals
 * to the others; the rates follow within one or two seconds. Times are
 * passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_DEMAND_RATES_H
#define ALMONDTHREAD_DEMAND_RATES_H

#include "almondthread/fleet.h"

/* Demand for one model at one instance. */
typedef struct at_demand_report {
	at_tag_t service;
	at_tag_t model;
	uint64_t requests;  /* since the instance's start */
	uint64_t engine_us; /* engine time that these requests need */
	uint32_t queued;    /* requests that wait now */
} at_demand_report_t;

/* Demand for one model over all instances. */
typedef struct at_model_demand {
	at_tag_t service;
	at_tag_t model;
	double requests_per_s;  /* over the last one or two seconds */
	double long_term_per_s; /* requests per second, over about 10 s */
	double busy_engines;    /* number of engines that it keeps busy */
	uint32_t queued;        /* requests that wait now */
} at_model_demand_t;

typedef struct at_demand_rates at_demand_rates_t;

/* at_demand_rates_new() returns NULL if out of memory. */
at_demand_rates_t *at_demand_rates_new(void);
void at_demand_rates_delete(at_demand_rates_t *rates);

/*
 * at_demand_rates_add_request() counts a request of this instance. slots is the
 * number of batch slots of an engine, from which its engine time is computed.
 */
void at_demand_rates_add_request(at_demand_rates_t *rates,
    const at_work_t *work, uint32_t slots, uint64_t now_us);

/*
 * Both count this instance's queued requests: clear() resets the counts, then
 * add() is called for each request.
 */
void at_demand_rates_clear_queued(at_demand_rates_t *rates);
void at_demand_rates_add_queued(
    at_demand_rates_t *rates, const at_work_t *work);

/*
 * at_demand_rates_fill_report() writes the entries that changed recently, at
 * most max, and returns their number.
 */
size_t at_demand_rates_fill_report(const at_demand_rates_t *rates,
    at_demand_report_t *entries, size_t max, uint64_t now_us);

/*
 * at_demand_rates_apply_report() takes the totals of another instance. A new
 * incarnation counts from zero.
 */
void at_demand_rates_apply_report(at_demand_rates_t *rates, at_tag_t instance,
    uint64_t incarnation, const at_demand_report_t *entries, size_t count,
    uint64_t now_us);

/* at_demand_rates_tick() updates the rates; call it a few times a second. */
void at_demand_rates_tick(at_demand_rates_t *rates, uint64_t now_us);

/* at_demand_rates_get() returns zeros for a model without requests. */
at_model_demand_t at_demand_rates_get(
    const at_demand_rates_t *rates, at_tag_t service, at_tag_t model);

#endif
