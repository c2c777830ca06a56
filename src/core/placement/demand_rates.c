#include "almondthread/demand_rates.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#define US_PER_S 1000000.
#define FOLLOW_S 1.0        /* time constant of the rates */
#define USUAL_S 8.          /* the same of the usual rate: two loads' time */
#define PROMPT_TOKEN_US 34u /* a prompt token of an idle engine, 29 in a ms */
#define STEP_US 5600u       /* one step of a batch, a token for each place */
#define PLACE_US 20u        /* what each place adds to it */
#define REPORT_FOR_US 3000000u /* a row is told so long after a change */
#define WAITING_FOR_US 600000u /* what an instance said of waiting counts */

typedef struct model_entry {
	struct {
		at_tag_t service;
		at_tag_t model;
	} key;
	uint64_t own_requests;
	uint64_t own_engine_us;
	uint32_t own_waiting;
	uint64_t changed_us;
	uint64_t new_requests; /* of all instances, since the last tick */
	uint64_t new_engine_us;
	double requests_per_s;
	double usual_per_s;
	double load;
	uint32_t others_waiting;
	UT_hash_handle hh;
} model_entry_t;

/* What one instance last said of one model. */
typedef struct heard {
	struct {
		at_tag_t instance;
		at_tag_t service;
		at_tag_t model;
	} key;
	uint64_t incarnation;
	uint64_t requests;
	uint64_t engine_us;
	uint32_t waiting;
	uint64_t heard_us;
	UT_hash_handle hh;
} heard_t;

struct at_demand_rates {
	model_entry_t *models;
	heard_t *heard;
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
	heard_t *heard;
	heard_t *next_heard;

	if (rates == NULL)
		return;
	HASH_ITER(hh, rates->models, model, next_model)
	{
		HASH_DEL(rates->models, model);
		free(model);
	}
	HASH_ITER(hh, rates->heard, heard, next_heard)
	{
		HASH_DEL(rates->heard, heard);
		free(heard);
	}
	free(rates);
}

static model_entry_t *
find(const at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	model_entry_t wanted;
	model_entry_t *entry;

	memset(&wanted, 0, sizeof(wanted));
	wanted.key.service = service;
	wanted.key.model = model;
	HASH_FIND(hh, rates->models, &wanted.key, sizeof(wanted.key), entry);
	return entry;
}

static model_entry_t *
find_or_add(at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	model_entry_t *entry = find(rates, service, model);

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
	uint64_t token_us = STEP_US / (slots == 0 ? 1u : slots) + PLACE_US;

	return (uint64_t)work->prompt_tokens * PROMPT_TOKEN_US +
	       work->output_tokens * token_us;
}

void
at_demand_rates_add_request(at_demand_rates_t *rates, const at_work_t *work,
    uint32_t slots, uint64_t now_us)
{
	model_entry_t *entry = find_or_add(rates, work->service, work->model);

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
		entry->own_waiting = 0;
}

void
at_demand_rates_add_queued(at_demand_rates_t *rates, const at_work_t *work)
{
	model_entry_t *entry = find_or_add(rates, work->service, work->model);

	if (entry != NULL)
		entry->own_waiting++;
}

size_t
at_demand_rates_fill_report(const at_demand_rates_t *rates,
    at_demand_report_t *rows, size_t max, uint64_t now_us)
{
	const model_entry_t *entry;
	size_t count = 0;

	for (entry = rates->models; entry != NULL && count < max;
	     entry = entry->hh.next) {
		if (entry->own_waiting == 0 &&
		    now_us - entry->changed_us > REPORT_FOR_US)
			continue;
		rows[count].service = entry->key.service;
		rows[count].model = entry->key.model;
		rows[count].requests = entry->own_requests;
		rows[count].engine_us = entry->own_engine_us;
		rows[count].queued = entry->own_waiting;
		count++;
	}
	return count;
}

static heard_t *
heard_entry(
    at_demand_rates_t *rates, at_tag_t instance, const at_demand_report_t *row)
{
	heard_t wanted;
	heard_t *heard;

	memset(&wanted, 0, sizeof(wanted));
	wanted.key.instance = instance;
	wanted.key.service = row->service;
	wanted.key.model = row->model;

	HASH_FIND(hh, rates->heard, &wanted.key, sizeof(wanted.key), heard);
	if (heard != NULL)
		return heard;
	heard = calloc(1, sizeof(*heard));
	if (heard == NULL)
		return NULL;
	heard->key = wanted.key;
	/* What it was asked before it was heard is not known to be recent. */
	heard->requests = row->requests;
	heard->engine_us = row->engine_us;
	HASH_ADD(hh, rates->heard, key, sizeof(heard->key), heard);
	return heard;
}

void
at_demand_rates_apply_report(at_demand_rates_t *rates, at_tag_t instance,
    uint64_t incarnation, const at_demand_report_t *rows, size_t count,
    uint64_t now_us)
{
	size_t i;

	for (i = 0; i < count; i++) {
		const at_demand_report_t *row = &rows[i];
		heard_t *heard = heard_entry(rates, instance, row);
		model_entry_t *entry =
		    find_or_add(rates, row->service, row->model);

		if (heard == NULL || entry == NULL)
			return;
		if (heard->incarnation != 0 &&
		    heard->incarnation != incarnation) {
			heard->requests = 0;
			heard->engine_us = 0;
		}
		if (row->requests > heard->requests) {
			entry->new_requests += row->requests - heard->requests;
			entry->new_engine_us +=
			    row->engine_us - heard->engine_us;
		}
		heard->incarnation = incarnation;
		heard->requests = row->requests;
		heard->engine_us = row->engine_us;
		heard->waiting = row->queued;
		heard->heard_us = now_us;
	}
}

static void
sum_waiting(at_demand_rates_t *rates, uint64_t now_us)
{
	model_entry_t *entry;
	const heard_t *heard;

	for (entry = rates->models; entry != NULL; entry = entry->hh.next)
		entry->others_waiting = 0;
	for (heard = rates->heard; heard != NULL; heard = heard->hh.next) {
		if (now_us - heard->heard_us > WAITING_FOR_US)
			continue;
		entry = find(rates, heard->key.service, heard->key.model);
		if (entry != NULL)
			entry->others_waiting += heard->waiting;
	}
}

void
at_demand_rates_tick(at_demand_rates_t *rates, uint64_t now_us)
{
	double passed_s = (double)(now_us - rates->ticked_us) / US_PER_S;
	double part;
	double usual_part;
	model_entry_t *entry;

	if (rates->ticked_us == 0 || passed_s <= 0) {
		rates->ticked_us = now_us;
		return;
	}
	part = 1. - exp(-passed_s / FOLLOW_S);
	usual_part = 1. - exp(-passed_s / USUAL_S);
	rates->ticked_us = now_us;
	for (entry = rates->models; entry != NULL; entry = entry->hh.next) {
		double requests = (double)entry->new_requests / passed_s;
		double load =
		    (double)entry->new_engine_us / US_PER_S / passed_s;

		entry->requests_per_s +=
		    (requests - entry->requests_per_s) * part;
		entry->usual_per_s +=
		    (requests - entry->usual_per_s) * usual_part;
		entry->load += (load - entry->load) * part;
		entry->new_requests = 0;
		entry->new_engine_us = 0;
	}
	sum_waiting(rates, now_us);
}

at_model_demand_t
at_demand_rates_get(
    const at_demand_rates_t *rates, at_tag_t service, at_tag_t model)
{
	const model_entry_t *entry = find(rates, service, model);
	at_model_demand_t demand = {.service = service, .model = model};

	if (entry == NULL)
		return demand;
	demand.requests_per_s = entry->requests_per_s;
	demand.long_term_per_s = entry->usual_per_s;
	demand.busy_engines = entry->load;
	demand.queued = entry->own_waiting + entry->others_waiting;
	return demand;
}
