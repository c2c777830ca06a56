/*
 * orders_report.c - demand, adapter requests and changes of residents in the
 * reports of instances.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/orders/orders_impl.h"
#include "io/clock.h"

#define CHANGE_REPORT_US 500000u /* how long a change is reported */

void
orders_add_change(at_orders_io_t *orders, at_tag_t server,
    const at_name_t *model, const at_name_t *adapter, int resident)
{
	uint64_t now_us = at_clock_now_us();
	resident_change_t *change = NULL;
	size_t i;

	for (i = 0; i < orders->change_count && change == NULL; i++) {
		resident_change_t *candidate = &orders->changes[i];

		if (candidate->report_until_us < now_us ||
		    (candidate->server == server &&
			at_name_equal(&candidate->model, model) &&
			strcmp(candidate->adapter.text, adapter->text) == 0))
			change = candidate;
	}
	if (change == NULL && orders->change_count < CHANGES_MAX)
		change = &orders->changes[orders->change_count++];
	if (change == NULL)
		return;
	change->server = server;
	change->model = *model;
	change->adapter = *adapter;
	change->is_resident = resident;
	change->report_until_us = now_us + CHANGE_REPORT_US;
}

static void
fill_demand(at_orders_io_t *orders, Report *report)
{
	static at_demand_report_t entries[DEMAND_ENTRIES_MAX];
	static ReportDemand demand[DEMAND_ENTRIES_MAX];
	static ReportDemand *list[DEMAND_ENTRIES_MAX];
	size_t count = at_demand_rates_fill_report(
	    orders->demand, entries, DEMAND_ENTRIES_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		report_demand__init(&demand[i]);
		demand[i].service = entries[i].service;
		demand[i].model = entries[i].model;
		demand[i].requests = entries[i].requests;
		demand[i].engine_us = entries[i].engine_us;
		demand[i].waiting = entries[i].queued;
		list[i] = &demand[i];
	}
	report->n_demand = count;
	report->demand = list;
}

typedef struct request_list {
	ReportWant entries[ADAPTER_REQUESTS_MAX];
	ReportWant *list[ADAPTER_REQUESTS_MAX];
	size_t count;
} request_list_t;

static void
add_request(void *ctx, const at_waiter_t *waiter)
{
	request_list_t *requests = ctx;
	ReportWant *request = &requests->entries[requests->count];

	if (waiter->work.adapter == 0 ||
	    requests->count == ADAPTER_REQUESTS_MAX)
		return;
	report_want__init(request);
	request->service = waiter->work.service;
	request->model = (char *)(uintptr_t)waiter->work.model_name->text;
	request->adapter = (char *)(uintptr_t)waiter->work.adapter_name->text;
	request->waiting = 1;
	requests->list[requests->count++] = request;
}

/* The holder's recent changes. */
static void
fill_changes(at_orders_io_t *orders, Report *report)
{
	static ReportAdapter entries[CHANGES_MAX];
	static ReportAdapter *list[CHANGES_MAX];
	uint64_t now_us = at_clock_now_us();
	size_t count = 0;
	size_t i;

	if (at_orders_io_fence(orders) == 0)
		return;
	for (i = 0; i < orders->change_count; i++) {
		resident_change_t *change = &orders->changes[i];

		if (change->report_until_us < now_us)
			continue;
		report_adapter__init(&entries[count]);
		entries[count].server = change->server;
		entries[count].model = change->model.text;
		entries[count].adapter = change->adapter.text;
		entries[count].held = change->is_resident;
		list[count] = &entries[count];
		count++;
	}
	report->n_adapters = count;
	report->adapters = list;
}

static void
fill_requests(at_orders_io_t *orders, Report *report)
{
	static request_list_t requests;

	requests.count = 0;
	at_wait_queue_each(orders->deps.queue, add_request, &requests);
	report->n_wants = requests.count;
	report->wants = requests.list;
}

static void
fill(void *ctx, at_report_kind_t kind, int is_to_all, Report *report)
{
	at_orders_io_t *orders = ctx;

	(void)is_to_all;
	report->fence = at_orders_io_fence(orders);
	report->standing =
	    orders_could_hold(orders) ? AT_STANDING_READY : AT_STANDING_UNABLE;
	report->ends_ms = orders->stated_ends_ms;
	if (at_report_is_regular(kind))
		fill_changes(orders, report);
	if (kind != AT_REPORT_DEMAND)
		return;
	report->has_demand = 1;
	fill_requests(orders, report);
	fill_demand(orders, report);
	regions_fill(orders, report);
}

static void
apply_change(at_orders_io_t *orders, const ReportAdapter *change)
{
	at_server_t *server = at_fleet_find(orders->deps.fleet, change->server);
	at_name_t model;
	at_name_t adapter;

	if (server == NULL || at_name_set(&model, change->model) != 0)
		return;
	if (at_name_set(&adapter, change->adapter) != 0)
		at_server_note_model(
		    server, &model, change->held, at_clock_now_us());
	else
		at_server_note_adapter(server, &model, &adapter, change->held);
}

static void
apply_request(at_orders_io_t *orders, const ReportWant *request)
{
	at_name_t model;
	at_name_t adapter;

	if (at_name_set(&model, request->model) == 0 &&
	    at_name_set(&adapter, request->adapter) == 0)
		adapters_request(orders, request->service, &model, &adapter);
}

/* Who stands by learns of a release sooner than by the next read. */
static void
note_holder(
    at_orders_io_t *orders, const at_roster_member_t *from, uint64_t fence)
{
	if (fence != 0)
		orders->holder = from->tag;
	if (fence != 0 || orders->holder != from->tag)
		return;
	orders->holder = 0;
	orders->released_us = at_clock_now_us();
	at_lease_note_released(orders->lease, at_clock_now_ms());
}

static void
apply(void *ctx, at_roster_member_t *from, const Report *report)
{
	static at_demand_report_t entries[DEMAND_ENTRIES_MAX];
	at_orders_io_t *orders = ctx;
	size_t count = 0;
	size_t i;

	note_holder(orders, from, report->fence);
	/* Only these reports have it, also where there is none. */
	if (report->has_demand)
		from->demand_us = at_clock_now_us();
	while (count < report->n_demand && count < DEMAND_ENTRIES_MAX) {
		const ReportDemand *demand = report->demand[count];

		entries[count].service = demand->service;
		entries[count].model = demand->model;
		entries[count].requests = demand->requests;
		entries[count].engine_us = demand->engine_us;
		entries[count].queued = demand->waiting;
		count++;
	}
	at_demand_rates_apply_report(orders->demand, from->tag,
	    report->incarnation, entries, count, at_clock_now_us());
	for (i = 0; i < report->n_adapters; i++)
		apply_change(orders, report->adapters[i]);
	for (i = 0; i < report->n_wants; i++)
		apply_request(orders, report->wants[i]);
	regions_apply(orders, report);
}

static int
is_special(void *ctx)
{
	return at_orders_io_fence(ctx) != 0;
}

at_report_section_t
at_orders_io_section(at_orders_io_t *orders)
{
	return (at_report_section_t){.fill = fill,
	    .apply = apply,
	    .is_special = is_special,
	    .ctx = orders};
}
