/*
 * orders_regions.c - models for which requests with allowed regions wait. Such
 * a model may be resident in other regions, where the planner counts it.
 */
#include <string.h>

#include "entry/orders/orders_impl.h"
#include "io/clock.h"

/* What an instance has not repeated for so long, in us, waits no longer. */
#define REGIONAL_KEPT_US 1000000u

/* The regions that all lists of the request allow. */
static at_site_regions_t
regions_of(const at_work_t *work)
{
	const at_site_regions_t *list =
	    work->regions[0] != NULL ? work->regions[0] : work->regions[1];
	at_site_regions_t regions = {.count = 0};
	size_t i;

	for (i = 0; list != NULL && i < list->count; i++) {
		if (at_work_allows_region(work, list->tags[i]))
			regions.tags[regions.count++] = list->tags[i];
	}
	return regions;
}

static void
add(regional_demand_t *list, size_t *count, const regional_demand_t *added)
{
	size_t i;

	for (i = 0; i < *count; i++) {
		if (list[i].service == added->service &&
		    list[i].model == added->model &&
		    list[i].regions.count == added->regions.count &&
		    memcmp(list[i].regions.tags, added->regions.tags,
			added->regions.count * sizeof(at_tag_t)) == 0)
			break;
	}
	if (i == REGIONAL_MAX)
		return;
	if (i == *count)
		(*count)++;
	list[i] = *added;
}

typedef struct collection {
	regional_demand_t *list;
	size_t *count;
} collection_t;

static void
collect(void *ctx, const at_waiter_t *waiter)
{
	collection_t *collection = ctx;
	regional_demand_t demand = {.service = waiter->work.service,
	    .model = waiter->work.model,
	    .regions = regions_of(&waiter->work),
	    .reported_us = at_clock_now_us()};

	if (demand.model != 0 && demand.regions.count > 0)
		add(collection->list, collection->count, &demand);
}

void
regions_fill(at_orders_io_t *orders, Report *report)
{
	static regional_demand_t own[REGIONAL_MAX];
	static ReportRegionalDemand messages[REGIONAL_MAX];
	static ReportRegionalDemand *list[REGIONAL_MAX];
	size_t count = 0;
	collection_t collection = {own, &count};
	size_t i;

	at_wait_queue_each(orders->deps.queue, collect, &collection);
	for (i = 0; i < count; i++) {
		report_regional_demand__init(&messages[i]);
		messages[i].service = own[i].service;
		messages[i].model = own[i].model;
		messages[i].n_regions = own[i].regions.count;
		messages[i].regions = own[i].regions.tags;
		list[i] = &messages[i];
	}
	report->n_regional_demand = count;
	report->regional_demand = list;
}

void
regions_apply(at_orders_io_t *orders, const Report *report)
{
	size_t i;

	for (i = 0; i < report->n_regional_demand; i++) {
		const ReportRegionalDemand *message =
		    report->regional_demand[i];
		regional_demand_t demand = {.service = message->service,
		    .model = message->model,
		    .reported_us = at_clock_now_us()};

		demand.regions.count = message->n_regions < AT_SITE_REGIONS_MAX
					   ? message->n_regions
					   : AT_SITE_REGIONS_MAX;
		if (demand.regions.count == 0)
			continue;
		memcpy(demand.regions.tags, message->regions,
		    demand.regions.count * sizeof(at_tag_t));
		add(orders->regional, &orders->regional_count, &demand);
	}
}

void
regions_collect(at_orders_io_t *orders)
{
	collection_t collection = {orders->regional, &orders->regional_count};
	uint64_t now_us = at_clock_now_us();
	size_t i = 0;

	while (i < orders->regional_count) {
		if (now_us <=
		    orders->regional[i].reported_us + REGIONAL_KEPT_US)
			i++;
		else
			orders->regional[i] =
			    orders->regional[--orders->regional_count];
	}
	at_wait_queue_each(orders->deps.queue, collect, &collection);
}

const regional_demand_t *
regions_find(const at_orders_io_t *orders, at_tag_t service, size_t *next)
{
	while (*next < orders->regional_count) {
		const regional_demand_t *demand = &orders->regional[(*next)++];

		if (demand->service == service)
			return demand;
	}
	return NULL;
}
