/*
 * orders_report.c - demand, wants and news in the reports of instances.
 */
#include <stdlib.h>
#include <string.h>

#include "entry/orders_impl.h"
#include "io/clock.h"

#define TOLD_FOR_US 500000u /* news are in every report for so long */

void
orders_tell(at_orders_io_t *orders, at_tag_t server, const at_name_t *model,
    const at_name_t *adapter, int held)
{
	uint64_t now_us = at_clock_now_us();
	news_t *news = NULL;
	size_t i;

	for (i = 0; i < orders->news_count && news == NULL; i++) {
		news_t *n = &orders->news[i];

		if (n->told_until_us < now_us ||
		    (n->server == server && at_name_equal(&n->model, model) &&
			strcmp(n->adapter.text, adapter->text) == 0))
			news = n;
	}
	if (news == NULL && orders->news_count < NEWS_MAX)
		news = &orders->news[orders->news_count++];
	if (news == NULL)
		return;
	news->server = server;
	news->model = *model;
	news->adapter = *adapter;
	news->held = held;
	news->told_until_us = now_us + TOLD_FOR_US;
}

static void
fill_demand(at_orders_io_t *orders, Report *report)
{
	static at_demand_report_t rows[DEMAND_ROWS_MAX];
	static ReportDemand demand[DEMAND_ROWS_MAX];
	static ReportDemand *list[DEMAND_ROWS_MAX];
	size_t count = at_demand_rates_fill_report(
	    orders->demand, rows, DEMAND_ROWS_MAX, at_clock_now_us());
	size_t i;

	for (i = 0; i < count; i++) {
		report_demand__init(&demand[i]);
		demand[i].service = rows[i].service;
		demand[i].model = rows[i].model;
		demand[i].requests = rows[i].requests;
		demand[i].engine_us = rows[i].engine_us;
		demand[i].waiting = rows[i].queued;
		list[i] = &demand[i];
	}
	report->n_demand = count;
	report->demand = list;
}

typedef struct wants {
	ReportWant rows[WANTS_MAX];
	ReportWant *list[WANTS_MAX];
	size_t count;
} wants_t;

static void
add_want(void *ctx, const at_waiter_t *waiter)
{
	wants_t *wants = ctx;
	ReportWant *want = &wants->rows[wants->count];

	if (waiter->work.adapter == 0 || wants->count == WANTS_MAX)
		return;
	report_want__init(want);
	want->service = waiter->work.service;
	want->model = (char *)(uintptr_t)waiter->work.model_name->text;
	want->adapter = (char *)(uintptr_t)waiter->work.adapter_name->text;
	want->waiting = 1;
	wants->list[wants->count++] = want;
}

void
at_orders_io_fill_news(at_orders_io_t *orders, Report *report)
{
	static ReportAdapter rows[NEWS_MAX];
	static ReportAdapter *list[NEWS_MAX];
	uint64_t now_us = at_clock_now_us();
	size_t count = 0;
	size_t i;

	if (at_orders_io_fence(orders) == 0)
		return;
	for (i = 0; i < orders->news_count; i++) {
		news_t *news = &orders->news[i];

		if (news->told_until_us < now_us)
			continue;
		report_adapter__init(&rows[count]);
		rows[count].server = news->server;
		rows[count].model = news->model.text;
		rows[count].adapter = news->adapter.text;
		rows[count].held = news->held;
		list[count] = &rows[count];
		count++;
	}
	report->n_adapters = count;
	report->adapters = list;
}

void
at_orders_io_fill_demand(at_orders_io_t *orders, Report *report)
{
	static wants_t wants;

	wants.count = 0;
	at_wait_queue_each(orders->entry->waiting, add_want, &wants);
	report->n_wants = wants.count;
	report->wants = wants.list;
	fill_demand(orders, report);
}

static void
take_news(at_orders_io_t *orders, const ReportAdapter *row)
{
	at_server_t *server = at_fleet_find(orders->entry->fleet, row->server);
	at_name_t model;
	at_name_t adapter;

	if (server == NULL || at_name_set(&model, row->model) != 0)
		return;
	if (at_name_set(&adapter, row->adapter) != 0)
		at_server_note_model(
		    server, &model, row->held, at_clock_now_us());
	else
		at_server_note_adapter(server, &model, &adapter, row->held);
}

static void
take_want(at_orders_io_t *orders, const ReportWant *want)
{
	at_name_t model;
	at_name_t adapter;

	if (at_name_set(&model, want->model) == 0 &&
	    at_name_set(&adapter, want->adapter) == 0)
		adapters_want(orders, want->service, &model, &adapter);
}

void
at_orders_io_take_report(at_orders_io_t *orders, const at_roster_member_t *from,
    const Report *report)
{
	static at_demand_report_t rows[DEMAND_ROWS_MAX];
	size_t count = 0;
	size_t i;

	while (count < report->n_demand && count < DEMAND_ROWS_MAX) {
		const ReportDemand *demand = report->demand[count];

		rows[count].service = demand->service;
		rows[count].model = demand->model;
		rows[count].requests = demand->requests;
		rows[count].engine_us = demand->engine_us;
		rows[count].queued = demand->waiting;
		count++;
	}
	at_demand_rates_apply_report(orders->demand, from->tag,
	    report->incarnation, rows, count, at_clock_now_us());
	for (i = 0; i < report->n_adapters; i++)
		take_news(orders, report->adapters[i]);
	for (i = 0; i < report->n_wants; i++)
		take_want(orders, report->wants[i]);
}
