/*
 * A configuration that arrives while a request is being decided: in the reports
 * that wait when a resumed stream is looked for, or while that request is held.
 * The request runs under one configuration or the other, for its own workspace.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>

#include <criterion/criterion.h>

#include "entry/peers/gossip_impl.h"
#include "entry/store/sync.h"
#include "io/clock.h"
#include "support/entry_fixture.h"

#define EVENTS 5u
#define EVENTS_MANY 10000u
#define EVENT_GAP_MS 5u
#define STEADY_MS 1500u
#define ARRIVAL_MS 200u /* of reports, in which nothing else is asked */
#define HELD_MS 150u    /* the store's response to the question */
#define RESUMED 8u

static const struct {
	const char *name;
	int has_begun;    /* the report on the origin waits, too */
	int keeps_key;    /* in the new configuration */
	int is_held;      /* it arrives while the requests are held */
	uint32_t configs; /* that arrive */
} cases[] = {
    {"a configuration waits", 0, 1, 0, 1},
    {"a configuration and the origin wait", 1, 1, 0, 1},
    {"several configurations wait", 1, 1, 0, 3},
    {"one without the key waits", 1, 0, 0, 1},
    {"a configuration arrives meanwhile", 0, 1, 1, 1},
    {"one without the key arrives meanwhile", 0, 0, 1, 1},
};

static const entry_fixture_request_t first = {
    "POST", "/stream/x", "first", ENTRY_FIXTURE_KEY, "m0", "prompt"};

static int
has_event(void *ctx)
{
	const entry_fixture_response_t *response = ctx;

	return response->len > 0;
}

static int
are_done(void *ctx)
{
	const entry_fixture_response_t *responses = ctx;
	size_t i;

	for (i = 0; i < RESUMED; i++) {
		if (!responses[i].done)
			return 0;
	}
	return 1;
}

/* The caller leaves after the first event. */
static void
begin_stream(entry_fixture_t *fixture, size_t entry)
{
	entry_fixture_response_t response;

	standin_server_set_events(
	    fixture->servers[0], EVENTS_MANY, EVENT_GAP_MS);
	entry_fixture_send(fixture, entry, &first, &response);
	entry_fixture_run_until(fixture, has_event, &response);
	entry_fixture_response_free(&response);
	standin_server_set_events(fixture->servers[0], EVENTS, EVENT_GAP_MS);
}

/* Returns the instance that follows the reader of the store's lists. */
static size_t
add_entries(entry_fixture_t *fixture)
{
	(void)entry_fixture_add_entry(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, STEADY_MS);
	return at_sync_is_reader(fixture->entries[0]->sync) ? 1 : 0;
}

static void
check_response(size_t i, const entry_fixture_t *fixture,
    const entry_fixture_response_t *response)
{
	cr_expect(response->status == 200 ||
		      (response->status == 401 && !cases[i].keeps_key),
	    "%s: status %d", cases[i].name, response->status);
	if (response->status == 200)
		cr_expect(
		    strstr(standin_server_last_request(fixture->servers[0]),
			"X-Tenant: studio\n") != NULL,
		    "%s: another tenant: %s", cases[i].name,
		    standin_server_last_request(fixture->servers[0]));
}

static void
apply_configs(size_t i, entry_fixture_t *fixture)
{
	uint32_t k;

	for (k = 0; k < cases[i].configs; k++) {
		entry_fixture_apply_config(fixture, cases[i].keeps_key);
		entry_fixture_run_ms(fixture, ARRIVAL_MS / cases[i].configs);
	}
}

static void
run_case(size_t i)
{
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t responses[RESUMED];
	entry_fixture_request_t request = first;
	char ids[RESUMED][16];
	at_gossip_t *gossip;
	size_t late;
	size_t k;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_engine(fixture, "m0");
	standin_server_set_events(fixture->servers[0], EVENTS, EVENT_GAP_MS);
	late = add_entries(fixture);
	gossip = fixture->entries[late]->gossip;
	/* What the others send waits, as when the process does not run. */
	if (!cases[i].is_held) {
		ev_io_stop(fixture->loop, &gossip->readable);
		if (cases[i].has_begun)
			begin_stream(fixture, 1 - late);
		apply_configs(i, fixture);
	}
	standin_store_faults(fixture->store)->delay_ms =
	    cases[i].is_held ? HELD_MS : 0;
	for (k = 0; k < RESUMED; k++) {
		(void)snprintf(ids[k], sizeof(ids[k]), "resumed-%zu", k);
		request.id = ids[k];
		entry_fixture_send_resumed(
		    fixture, late, &request, "first", "1", &responses[k]);
	}
	entry_fixture_run_ms(fixture, 10);
	if (cases[i].is_held)
		entry_fixture_apply_config(fixture, cases[i].keeps_key);
	else
		ev_io_start(fixture->loop, &gossip->readable);
	entry_fixture_run_until(fixture, are_done, responses);
	for (k = 0; k < RESUMED; k++) {
		check_response(i, fixture, &responses[k]);
		entry_fixture_response_free(&responses[k]);
	}
	standin_store_faults(fixture->store)->delay_ms = 0;
	entry_fixture_delete(fixture);
}

/*
 * The configuration that was freed by the next one was still used: requests ran
 * with an empty or a random tenant, and the process ended (UNASKED, LOST).
 */
Test(config_under_request, is_kept_until_the_request_is_decided, .timeout = 120)
{
	size_t i;

	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		run_case(i);
}
