/*
 * demand_rates.h - how much is asked of each model, over all instances.
 *
 * Every instance counts what it is asked since its start and tells the
 * others; the rates follow within a second or two. Pure: times are passed
 * in, in microseconds.
 */
#ifndef ALMONDTHREAD_DEMAND_RATES_H
#define ALMONDTHREAD_DEMAND_RATES_H

#include "almondthread/fleet.h"

/* What one instance has been asked of one model. */
typedef struct at_demand_report {
	at_tag_t service;
	at_tag_t model;
	uint64_t requests;  /* since its start */
	uint64_t engine_us; /* engine time that they need, since its start */
	uint32_t queued;    /* now */
} at_demand_report_t;

/* The same over all instances. */
typedef struct at_model_demand {
	at_tag_t service;
	at_tag_t model;
	double requests_per_s;  /* over the last seconds */
	double long_term_per_s; /* the same over some ten seconds */
	double busy_engines;    /* engines that it keeps busy */
	uint32_t queued;        /* requests that wait now */
} at_model_demand_t;

typedef struct at_demand_rates at_demand_rates_t;

at_demand_rates_t *at_demand_rates_new(void);
void at_demand_rates_delete(at_demand_rates_t *rates);

/*
 * at_demand_rates_add_request() counts a request of this instance for engines
 * with so many places in a batch.
 */
void at_demand_rates_add_request(at_demand_rates_t *rates,
    const at_work_t *work, uint32_t slots, uint64_t now_us);
/* at_demand_rates_set_waiting() counts this instance's waiting requests. */
void at_demand_rates_clear_queued(at_demand_rates_t *rates);
void at_demand_rates_add_queued(
    at_demand_rates_t *rates, const at_work_t *work);

/* at_demand_rates_fill_report() fills rows that changed lately; their number.
 */
size_t at_demand_rates_fill_report(const at_demand_rates_t *rates,
    at_demand_report_t *rows, size_t max, uint64_t now_us);
void at_demand_rates_apply_report(at_demand_rates_t *rates, at_tag_t instance,
    uint64_t incarnation, const at_demand_report_t *rows, size_t count,
    uint64_t now_us);

/* at_demand_rates_tick() moves the rates on; a few times a second. */
void at_demand_rates_tick(at_demand_rates_t *rates, uint64_t now_us);
/* at_demand_rates_get() returns zeros for a model nobody asked for. */
at_model_demand_t at_demand_rates_get(
    const at_demand_rates_t *rates, at_tag_t service, at_tag_t model);

#endif
