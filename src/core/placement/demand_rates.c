#include "almondthread/demand_rates.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define US_PER_S 1000000.
/* Time constant of the short-term rates. */
#define RATE_DECAY_S 1.0
/* Time constant of the long-term rate: the time in which two loads end. */
#define LONG_TERM_DECAY_S 8.
/* Time to read a prompt token on an idle engine, which reads 29 in 1 ms. */
#define PROMPT_TOKEN_US 34u
/* Time of a step of a batch, which generates a token for each batch slot. */
#define STEP_US 5600u
/* Time that each batch slot adds to a step. */
#define BATCH_SLOT_US 20u
/* A model is reported for this time after its last request. */
#define REPORT_DURATION_US 3000000u
/* Lifetime of the number of queued requests in a report of a peer. */
#define QUEUED_LIFETIME_US 600000u

typedef struct model_entry {
	struct {
		at_tag_t service;
		at_tag_t model;
	} key;
	uint64_t own_requests;
	uint64_t own_engine_us;
	uint32_t own_queued;
	uint64_t changed_us;
	uint64_t new_requests; /* of all instances since the last tick */
	uint64_t new_engine_us;
	double requests_per_s;
	double long_term_per_s;
	double busy_engines;
	uint32_t peers_queued;
	UT_hash_handle hh;
} model_entry_t;

/* The last report of one instance on one model. */
typedef struct peer_report {
	struct {
		at_tag_t instance;
		at_tag_t service;
		at_tag_t model;
	} key;
	uint64_t incarnation;
	uint64_t requests;
	uint64_t engine_us;
	uint32_t queued;
	uint64_t received_us;
	UT_hash_handle hh;
} peer_report_t;

struct at_demand_rates {
	model_entry_t *models;
	peer_report_t *peer_reports;
	uint64_t ticked_us;
};

at_demand_rates_t *
at_demand_rates_new(void)
{
	return calloc(1, sizeof(at_demand_rates_t));
}

void
at_demand_rates_delete(at_demand_rates_t *rates)
{
	model_entry_t *model;
	model_entry_t *next_model;
	peer_report_t *peer_report;
	peer_report_t *next_report;

	if (rates == NULL)
		return;
	HASH_ITER(hh, rates->models, model, next_model)
	{
		HASH_DEL(rates->models, model);
		free(model);
	}
	HASH_ITER(hh, rates->peer_reports, peer_report, next_report)
	{
		HASH_DEL(rates->peer_reports, peer_report);
		free(peer_report);
	}
	free(rates);
}

static model_entry_t *
find_entry(const at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	model_entry_t lookup;
	model_entry_t *entry;

	memset(&lookup, 0, sizeof(lookup));
	lookup.key.service = service;
	lookup.key.model = model;
	HASH_FIND(hh, rates->models, &lookup.key, sizeof(lookup.key), entry);
	return entry;
}

static model_entry_t *
find_or_add_entry(at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	model_entry_t *entry = find_entry(rates, service, model);

	if (entry != NULL)
		return entry;
	entry = calloc(1, sizeof(*entry));
	if (entry == NULL)
		return NULL;
	entry->key.service = service;
	entry->key.model = model;
	HASH_ADD(hh, rates->models, key, sizeof(entry->key), entry);
	return entry;
}

static uint64_t
engine_us(const at_work_t *work, uint32_t slots)
{
	uint64_t token_us = STEP_US / (slots == 0 ? 1u : slots) + BATCH_SLOT_US;

	return (uint64_t)work->prompt_tokens * PROMPT_TOKEN_US +
	       work->output_tokens * token_us;
}

void
at_demand_rates_add_request(at_demand_rates_t *rates, const at_work_t *work,
    uint32_t slots, uint64_t now_us)
{
	model_entry_t *entry =
	    find_or_add_entry(rates, work->service, work->model);

	if (entry == NULL)
		return;
	entry->own_requests++;
	entry->own_engine_us += engine_us(work, slots);
	entry->new_requests++;
	entry->new_engine_us += engine_us(work, slots);
	entry->changed_us = now_us;
}

void
at_demand_rates_clear_queued(at_demand_rates_t *rates)
{
	model_entry_t *entry;

	for (entry = rates->models; entry != NULL; entry = entry->hh.next)
		entry->own_queued = 0;
}

void
at_demand_rates_add_queued(at_demand_rates_t *rates, const at_work_t *work)
{
	model_entry_t *entry =
	    find_or_add_entry(rates, work->service, work->model);

	if (entry != NULL)
		entry->own_queued++;
}

size_t
at_demand_rates_fill_report(const at_demand_rates_t *rates,
    at_demand_report_t *entries, size_t max, uint64_t now_us)
{
	const model_entry_t *entry;
	size_t count = 0;

	for (entry = rates->models; entry != NULL && count < max;
	     entry = entry->hh.next) {
		if (entry->own_queued == 0 &&
		    now_us - entry->changed_us > REPORT_DURATION_US)
			continue;
		entries[count].service = entry->key.service;
		entries[count].model = entry->key.model;
		entries[count].requests = entry->own_requests;
		entries[count].engine_us = entry->own_engine_us;
		entries[count].queued = entry->own_queued;
		count++;
	}
	return count;
}

static peer_report_t *
find_or_add_report(at_demand_rates_t *rates, at_tag_t instance,
    const at_demand_report_t *report)
{
	peer_report_t lookup;
	peer_report_t *peer_report;

	memset(&lookup, 0, sizeof(lookup));
	lookup.key.instance = instance;
	lookup.key.service = report->service;
	lookup.key.model = report->model;

	HASH_FIND(hh, rates->peer_reports, &lookup.key, sizeof(lookup.key),
	    peer_report);
	if (peer_report != NULL)
		return peer_report;
	peer_report = calloc(1, sizeof(*peer_report));
	if (peer_report == NULL)
		return NULL;
	peer_report->key = lookup.key;
	/*
	 * Requests before the first report may have been made long ago and do
	 * not count.
	 */
	peer_report->requests = report->requests;
	peer_report->engine_us = report->engine_us;
	HASH_ADD(hh, rates->peer_reports, key, sizeof(peer_report->key),
	    peer_report);
	return peer_report;
}

void
at_demand_rates_apply_report(at_demand_rates_t *rates, at_tag_t instance,
    uint64_t incarnation, const at_demand_report_t *entries, size_t count,
    uint64_t now_us)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const at_demand_report_t *report = &entries[i];
		peer_report_t *peer_report =
		    find_or_add_report(rates, instance, report);
		model_entry_t *entry =
		    find_or_add_entry(rates, report->service, report->model);

		if (peer_report == NULL || entry == NULL)
			return;
		if (peer_report->incarnation != 0 &&
		    peer_report->incarnation != incarnation) {
			peer_report->requests = 0;
			peer_report->engine_us = 0;
		}
		if (report->requests > peer_report->requests) {
			entry->new_requests +=
			    report->requests - peer_report->requests;
			entry->new_engine_us +=
			    report->engine_us - peer_report->engine_us;
		}
		peer_report->incarnation = incarnation;
		peer_report->requests = report->requests;
		peer_report->engine_us = report->engine_us;
		peer_report->queued = report->queued;
		peer_report->received_us = now_us;
	}
}

static void
sum_queued(at_demand_rates_t *rates, uint64_t now_us)
{
	model_entry_t *entry;
	const peer_report_t *peer_report;

	for (entry = rates->models; entry != NULL; entry = entry->hh.next)
		entry->peers_queued = 0;
	for (peer_report = rates->peer_reports; peer_report != NULL;
	     peer_report = peer_report->hh.next) {
		if (now_us - peer_report->received_us > QUEUED_LIFETIME_US)
			continue;
		entry = find_entry(
		    rates, peer_report->key.service, peer_report->key.model);
		if (entry != NULL)
			entry->peers_queued += peer_report->queued;
	}
}

void
at_demand_rates_tick(at_demand_rates_t *rates, uint64_t now_us)
{
	double elapsed_s = (double)(now_us - rates->ticked_us) / US_PER_S;
	double weight;
	double long_term_weight;
	model_entry_t *entry;

	if (rates->ticked_us == 0 || elapsed_s <= 0) {
		rates->ticked_us = now_us;
		return;
	}
	weight = 1. - exp(-elapsed_s / RATE_DECAY_S);
	long_term_weight = 1. - exp(-elapsed_s / LONG_TERM_DECAY_S);
	rates->ticked_us = now_us;
	for (entry = rates->models; entry != NULL; entry = entry->hh.next) {
		double requests = (double)entry->new_requests / elapsed_s;
		double busy_engines =
		    (double)entry->new_engine_us / US_PER_S / elapsed_s;

		entry->requests_per_s +=
		    (requests - entry->requests_per_s) * weight;
		entry->long_term_per_s +=
		    (requests - entry->long_term_per_s) * long_term_weight;
		entry->busy_engines +=
		    (busy_engines - entry->busy_engines) * weight;
		entry->new_requests = 0;
		entry->new_engine_us = 0;
	}
	sum_queued(rates, now_us);
}

at_model_demand_t
at_demand_rates_get(
    const at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	const model_entry_t *entry = find_entry(rates, service, model);
	at_model_demand_t demand = {.service = service, .model = model};

	if (entry == NULL)
		return demand;
	demand.requests_per_s = entry->requests_per_s;
	demand.long_term_per_s = entry->long_term_per_s;
	demand.busy_engines = entry->busy_engines;
	demand.queued = entry->own_queued + entry->peers_queued;
	return demand;
}
