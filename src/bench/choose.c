/*
 * almond-bench choose: time of one choice of a backend server by an instance.
 * All engines have the model; reports of other instances name all of them.
 */
#include "bench/bench.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "almondthread/fleet.h"
#include "io/clock.h"

#define SERVICE "llm"
#define MODEL "m"
#define SLOTS 16u
#define KV_TOKENS 100000u
#define PEERS 16u
#define EVENT_GAP_MS 300u
#define EVENT_US 40000u
#define OBSERVATIONS 50u

static at_site_t *
make_site(void)
{
	static const at_fleet_secret_t secret = {.bytes = {1}};
	at_site_t *site = at_site_new(&secret);
	at_site_service_t *service =
	    site == NULL ? NULL : at_site_add_service(site);

	if (service == NULL)
		return site;
	service->tag = at_tag_from_text(SERVICE);
	service->has_models = 1;
	service->slots = SLOTS;
	service->kv_tokens = KV_TOKENS;
	return site;
}

static at_server_t *
add_engine(at_fleet_t *fleet, uint32_t number, int has_model)
{
	at_server_entry_t entry = {.service = at_tag_from_text(SERVICE),
	    .data_centre = at_tag_from_text("here"),
	    .slots = SLOTS,
	    .started_ms = 1000,
	    .heartbeat_sequence = 1};
	char id[16];

	(void)snprintf(id, sizeof(id), "e%u", (unsigned)number);
	(void)at_name_set(&entry.id, id);
	entry.tag = at_tag_from_text(id);
	(void)at_name_set(
	    &entry.residents.models[0].name, has_model ? MODEL : "other");
	entry.residents.models[0].tag =
	    at_tag_from_text(has_model ? MODEL : "other");
	entry.residents.count = 1;
	return at_fleet_update_server(fleet, &entry);
}

/* Every third engine is slower, as is known from all instances. */
static void
fill(at_fleet_t *fleet, uint32_t engines, uint32_t with_model,
    const at_work_t *work, uint64_t now_us)
{
	at_load_report_t *reports = calloc(engines, sizeof(*reports));
	uint32_t i;
	uint32_t k;

	if (reports == NULL)
		return;
	for (i = 0; i < engines; i++) {
		at_server_t *server = add_engine(fleet, i, i < with_model);

		if (server == NULL)
			continue;
		for (k = 0; k < OBSERVATIONS; k++)
			at_server_note_events(server, work, 5,
			    i % 3u == 0 ? EVENT_US * 2u : EVENT_US, now_us);
	}
	(void)at_fleet_fill_report(fleet, reports, engines, now_us);
	for (i = 0; i < engines; i++)
		reports[i].load = (at_load_t){
		    .active = i % 4u, .speed = reports[i].load.speed};
	for (k = 0; k < PEERS; k++)
		at_fleet_apply_report(fleet, k + 1u, reports, engines, now_us);
	free(reports);
}

int
bench_choose(int argc, char **argv)
{
	uint32_t engines = (uint32_t)strtoul(
	    bench_option(argc, argv, "engines", "610"), NULL, 10);
	uint32_t with_model = (uint32_t)strtoul(
	    bench_option(argc, argv, "with-model", "610"), NULL, 10);
	uint32_t rounds = (uint32_t)strtoul(
	    bench_option(argc, argv, "rounds", "20000"), NULL, 10);
	at_fleet_t *fleet = at_fleet_new(at_tag_from_text("here"), 1);
	at_site_t *site = make_site();
	at_work_t work = {.service = at_tag_from_text(SERVICE),
	    .model = at_tag_from_text(MODEL),
	    .prompt_tokens = 1000,
	    .output_tokens = 100,
	    .event_gap_ms = EVENT_GAP_MS};
	uint64_t now_us = at_clock_now_us();
	uint64_t begin_us;
	at_choice_t choice;
	uint32_t chosen = 0;
	uint32_t i;

	if (fleet == NULL || site == NULL)
		return 1;
	at_fleet_set_site(fleet, site);
	at_site_unref(site);
	fill(fleet, engines, with_model, &work, now_us);
	begin_us = at_clock_now_us();
	for (i = 0; i < rounds; i++)
		chosen += at_fleet_choose(fleet, &work, at_clock_now_us(),
			      &choice) == AT_CHOICE_SERVER;
	(void)printf("engines=%u with_model=%u chosen=%u/%u us=%.3f\n",
	    (unsigned)engines, (unsigned)with_model, (unsigned)chosen,
	    (unsigned)rounds,
	    (double)(at_clock_now_us() - begin_us) / (double)rounds);
	at_fleet_delete(fleet);
	return 0;
}
