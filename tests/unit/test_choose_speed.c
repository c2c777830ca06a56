/*
 * Tests of the choice among backend servers of different speed, and of the
 * observations and reports that it rests on.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "almondthread/fleet.h"

#define MS 1000u
#define S 1000000u
#define SLOTS 16u
#define ENGINES 9u
#define EVENT_US 40000u

static const at_fleet_secret_t secret = {.bytes = {1}};

static at_server_t *
add_server(at_fleet_t *fleet, const char *service, uint32_t number)
{
	at_server_entry_t entry = {.service = at_tag_from_text(service),
	    .data_centre = at_tag_from_text("north"),
	    .slots = SLOTS,
	    .started_ms = 1000,
	    .heartbeat_sequence = 1};
	char id[16];

	(void)snprintf(id, sizeof(id), "%s-%u", service, (unsigned)number);
	(void)at_name_set(&entry.id, id);
	entry.tag = at_tag_from_text(id);
	(void)at_name_set(&entry.residents.models[0].name, "m");
	entry.residents.models[0].tag = at_tag_from_text("m");
	entry.residents.count = 1;
	return at_fleet_update_server(fleet, &entry);
}

static at_fleet_t *
make_fleet(const char *service, at_server_t *servers[ENGINES], uint64_t seed)
{
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("north"), seed);
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *llm = at_site_add_service(site);
	uint32_t i;

	llm->tag = at_tag_from_text("llm");
	llm->has_models = 1;
	llm->slots = SLOTS;
	llm->kv_tokens = 100000;
	at_site_add_service(site)->tag = at_tag_from_text("plain");
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	for (i = 0; i < ENGINES; i++)
		servers[i] = add_server(fleet, service, i);
	return fleet;
}

static at_work_t
make_work(const char *service, uint32_t prompt)
{
	int is_plain = strcmp(service, "plain") == 0;
	at_work_t work = {.service = at_tag_from_text(service),
	    .model = is_plain ? 0 : at_tag_from_text("m"),
	    .prompt_tokens = prompt,
	    .output_tokens = is_plain ? 0 : 100,
	    .event_gap_ms = is_plain ? 0 : 300};

	return work;
}

/* Streams at all engines, by the time of each, in percent. */
static void
observe(at_server_t *servers[ENGINES], const at_work_t *work,
    const uint32_t *percent, uint64_t begin_us, uint64_t end_us)
{
	uint64_t now_us;
	size_t i;

	for (now_us = begin_us; now_us < end_us; now_us += 200u * MS) {
		for (i = 0; i < ENGINES; i++) {
			if (work->model != 0)
				at_server_note_events(servers[i], work, 5,
				    EVENT_US * percent[i] / 100u, now_us);
			else
				at_server_note_completed(servers[i], work, 0,
				    EVENT_US * percent[i] / 100u, now_us);
		}
	}
}

static int
is_member(void *ctx, at_tag_t instance)
{
	(void)ctx;
	(void)instance;
	return 1;
}

static uint32_t
factor_of(const at_fleet_t *fleet, const at_server_t *server, uint64_t now_us)
{
	at_service_time_t time;

	at_service_times_get(at_fleet_service_times(fleet),
	    at_tag_from_text("llm"), at_server_entry(server)->tag,
	    at_tag_from_text("m"), now_us, &time);
	return time.factor_milli;
}

/*
 * Guards against observations that stay with one instance: they reach another
 * one of its data centre, and by a summary those of others, also of engines at
 * which no request is left. A new incarnation begins anew.
 */
Test(choose_speed, observations_are_reported)
{
	static const uint32_t percent[ENGINES] = {
	    100, 100, 100, 200, 100, 100, 100, 100, 100};
	at_server_t *seen[ENGINES];
	at_server_t *near[ENGINES];
	at_server_t *far[ENGINES];
	at_fleet_t *fleets[3] = {make_fleet("llm", seen, 1),
	    make_fleet("llm", near, 2), make_fleet("llm", far, 3)};
	at_load_report_t entries[ENGINES + 1];
	at_server_entry_t entry;
	at_work_t work = make_work("llm", 1000);
	size_t count;
	size_t i;

	observe(seen, &work, percent, S, 2u * S);
	count = at_fleet_fill_report(fleets[0], entries, ENGINES, 2u * S);
	cr_assert_eq(count, ENGINES);
	at_fleet_apply_report(fleets[1], 1, entries, count, 2u * S);
	cr_expect_gt(factor_of(fleets[1], near[3], 2u * S), 1500);
	cr_expect_lt(factor_of(fleets[1], near[2], 2u * S), 1001);
	count = at_fleet_sum_reports(
	    fleets[1], is_member, NULL, entries, ENGINES, 2u * S);
	cr_assert_eq(count, ENGINES);
	at_fleet_apply_report(fleets[2], 2, entries, count, 2u * S);
	cr_expect_gt(factor_of(fleets[2], far[3], 2u * S), 1500);
	cr_expect_eq(
	    at_fleet_fill_report(fleets[0], entries, ENGINES, 3u * S), 0);
	entry = *at_server_entry(far[3]);
	entry.started_ms++;
	(void)at_fleet_update_server(fleets[2], &entry);
	cr_expect_lt(factor_of(fleets[2], far[3], 4u * S), 1200,
	    "the speed of an earlier incarnation is kept");
	for (i = 0; i < 3; i++)
		at_fleet_delete(fleets[i]);
}
