/*
 * Instances that start while the platform's store does not respond: they begin
 * with what the running ones use, and find these by their seeds.
 */
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <criterion/criterion.h>

#include "entry/store/join.h"
#include "entry/store/sync.h"
#include "io/address.h"
#include "io/clock.h"
#include "support/entry_fixture.h"

#define ENTRIES 4u
#define STARTS_MAX 3u
#define STEADY_MS 2500u
#define READY_MS 2000u
#define GARBAGE 64u
#define MANY_ROUTES 2000u
#define ALL_CALLS 1000000u

typedef enum store_fault {
	STORE_SILENT,
	STORE_REFUSES,
} store_fault_t;

static void
set_fault(entry_fixture_t *fixture, store_fault_t fault, int is_on)
{
	standin_faults_t *faults = standin_store_faults(fixture->store);

	if (fault == STORE_SILENT)
		faults->silent = is_on ? ALL_CALLS : 0;
	else
		faults->outage = is_on;
}

static entry_fixture_t *
deployment_new(size_t further_routes)
{
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_use_hosts(fixture);
	entry_fixture_set_further_routes(fixture, further_routes);
	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_service(fixture);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry_in(
		    fixture, i % 2 == 0 ? "north" : "south");
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_ms(fixture, STEADY_MS);
	return fixture;
}

/* Sets the seeds, numbers of instances, with a port that nobody uses. */
static void
set_seeds(entry_fixture_t *fixture, const int seeds[STARTS_MAX])
{
	char host[AT_ADDR_SIZE];
	size_t len = 0;
	size_t i;

	fixture->seeds[0] = '\0';
	for (i = 0; i < STARTS_MAX && seeds[i] >= 0; i++) {
		entry_fixture_host((size_t)seeds[i], host);
		len += (size_t)snprintf(fixture->seeds + len,
		    sizeof(fixture->seeds) - len, "%s%s:8229",
		    i == 0 ? "" : ",", host);
	}
}

static int
is_like_the_others(const entry_fixture_t *fixture, size_t entry)
{
	const at_entry_t *started = fixture->entries[entry];

	return at_entry_is_ready(started) &&
	       started->site->version == fixture->config_version &&
	       at_fleet_count(started->fleet) == fixture->server_count;
}

static size_t
count_like_the_others(const entry_fixture_t *fixture)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < fixture->entry_count; i++)
		count += fixture->entries[i] != NULL &&
			 is_like_the_others(fixture, i);
	return count;
}

static void
run_until_all_alike(entry_fixture_t *fixture, size_t count)
{
	uint64_t end_ms = at_clock_now_ms() + READY_MS;

	while (count_like_the_others(fixture) < count &&
	       at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(fixture, 10);
}

/* Datagrams that are no reports of this fleet. */
static void
send_garbage(const entry_fixture_t *fixture, size_t entry)
{
	int fd = socket(AF_INET, SOCK_DGRAM, 0);
	unsigned char bytes[GARBAGE];
	struct sockaddr_in addr;
	size_t i;

	cr_assert_eq(at_address_parse(fixture->peers[entry], &addr), 0);
	for (i = 0; i < GARBAGE; i++) {
		memset(bytes, (int)i, sizeof(bytes));
		(void)sendto(fd, bytes, i, 0, (const struct sockaddr *)&addr,
		    sizeof(addr));
	}
	(void)close(fd);
}

static int
serve(entry_fixture_t *fixture, size_t entry)
{
	const entry_fixture_request_t request = {.method = "GET",
	    .target = "/safe/x",
	    .id = "started-1",
	    .key = ENTRY_FIXTURE_KEY};
	entry_fixture_response_t response;
	int status;

	entry_fixture_call(fixture, entry, &request, &response);
	status = response.status;
	entry_fixture_response_free(&response);
	return status;
}

static const struct {
	const char *name;
	store_fault_t fault;
	size_t starts;
	int seeds[STARTS_MAX]; /* -1: no more */
	uint32_t back_ms;      /* the store is back so long after; 0: later */
} starts[] = {
    {"silent store", STORE_SILENT, 1, {0, 1, 2}, 0},
    {"store that refuses", STORE_REFUSES, 1, {0, 1, 2}, 0},
    {"seed in another data centre", STORE_SILENT, 1, {1, -1, -1}, 0},
    {"two stale seeds", STORE_SILENT, 1, {100, 101, 3}, 0},
    {"some start together", STORE_SILENT, 3, {4, 5, 2}, 0},
    {"it is a seed itself", STORE_REFUSES, 1, {4, 0, -1}, 0},
    {"store back meanwhile", STORE_SILENT, 1, {0, 1, 2}, 500},
    {"store back before it asks", STORE_REFUSES, 1, {100, -1, -1}, 150},
};

/* What started while the store was away served nothing until it was back. */
Test(starts_without_store, serve_what_the_others_serve, .timeout = 240)
{
	size_t i;
	size_t k;

	for (i = 0; i < sizeof(starts) / sizeof(starts[0]); i++) {
		entry_fixture_t *fixture = deployment_new(0);
		size_t count = ENTRIES + starts[i].starts;

		set_seeds(fixture, starts[i].seeds);
		set_fault(fixture, starts[i].fault, 1);
		entry_fixture_run_ms(fixture, STEADY_MS);
		for (k = 0; k < starts[i].starts; k++)
			send_garbage(fixture, entry_fixture_add_entry(fixture));
		if (starts[i].back_ms > 0) {
			entry_fixture_run_ms(fixture, starts[i].back_ms);
			set_fault(fixture, starts[i].fault, 0);
		}
		run_until_all_alike(fixture, count);
		cr_expect_eq(count_like_the_others(fixture), count,
		    "%s: %zu of %zu are ready", starts[i].name,
		    count_like_the_others(fixture), count);
		for (k = ENTRIES; k < count; k++)
			cr_expect_eq(serve(fixture, k), 200, "%s: %zu",
			    starts[i].name, k);
		set_fault(fixture, starts[i].fault, 0);
		entry_fixture_apply_config(fixture, 1);
		(void)entry_fixture_add_service(fixture);
		run_until_all_alike(fixture, count);
		cr_expect_eq(count_like_the_others(fixture), count,
		    "%s: %zu of %zu follow when the store is back",
		    starts[i].name, count_like_the_others(fixture), count);
		entry_fixture_run_ms(fixture, READY_MS);
		for (k = 0; k < count; k++)
			cr_expect(
			    at_join_is_complete(fixture->entries[k]->join) &&
				!at_entry_is_platform_away(fixture->entries[k]),
			    "%s: %zu does not have the store", starts[i].name,
			    k);
		entry_fixture_delete(fixture);
	}
}

static int
has_asked(const entry_fixture_t *fixture, size_t entry)
{
	return at_counters_get(fixture->entries[entry]->counters,
		   "document_requests_total", "way", "sent") > 0;
}

/* The instance that was asked for its state has ended. */
Test(starts_without_store, ask_another_when_one_ends, .timeout = 240)
{
	static const int seeds[STARTS_MAX] = {0, 1, 2};
	entry_fixture_t *fixture = deployment_new(MANY_ROUTES);
	uint64_t end_ms;
	size_t entry;
	size_t i;

	set_seeds(fixture, seeds);
	set_fault(fixture, STORE_SILENT, 1);
	entry_fixture_run_ms(fixture, STEADY_MS);
	entry = entry_fixture_add_entry(fixture);
	end_ms = at_clock_now_ms() + READY_MS;
	while (!has_asked(fixture, entry) && at_clock_now_ms() < end_ms)
		entry_fixture_run_ms(fixture, 1);
	for (i = 0; i + 1 < ENTRIES; i++)
		entry_fixture_remove_entry(fixture, i);
	run_until_all_alike(fixture, 2);
	cr_assert(is_like_the_others(fixture, entry));
	entry_fixture_delete(fixture);
}

/* Nobody knows anything: all are refused, until the store is back. */
Test(starts_without_store, serve_nothing_where_nothing_is_known, .timeout = 240)
{
	static const int seeds[STARTS_MAX] = {0, 1, 2};
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;

	entry_fixture_use_hosts(fixture);
	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	set_seeds(fixture, seeds);
	set_fault(fixture, STORE_SILENT, 1);
	for (i = 0; i < ENTRIES; i++)
		(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_ms(fixture, READY_MS);
	for (i = 0; i < ENTRIES; i++) {
		cr_expect_not(at_entry_is_ready(fixture->entries[i]));
		cr_expect_eq(serve(fixture, i), 503);
	}
	set_fault(fixture, STORE_SILENT, 0);
	run_until_all_alike(fixture, ENTRIES);
	cr_expect_eq(count_like_the_others(fixture), ENTRIES);
	entry_fixture_delete(fixture);
}
