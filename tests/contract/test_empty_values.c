/*
 * A value that is there and empty, zero or no number is not taken for one that
 * is missing.
 */
#include <stdio.h>
#include <string.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "platform/site_decode.h"
#include "support/entry_fixture.h"

typedef struct header_case {
	const char *header;
	int status;
	int runs;
} header_case_t;

static const header_case_t headers[] = {
    {"X-End: 1", 200, 1},
    {WIRE_TOKEN_COUNTS ": 10,20", 200, 1},
    {WIRE_TOKEN_COUNTS ": 10, 20", 200, 1},
    {WIRE_TOKEN_COUNTS ": 10", 200, 1},
    {WIRE_TOKEN_COUNTS ";", 400, 0},
    {WIRE_TOKEN_COUNTS ": many", 400, 0},
    {WIRE_TOKEN_COUNTS ": -10,20", 400, 0},
    {WIRE_TOKEN_COUNTS ": ,20", 400, 0},
    {WIRE_TOKEN_COUNTS ": 10,", 400, 0},
    {WIRE_TOKEN_COUNTS ": 10,20,30", 400, 0},
    {WIRE_DEADLINE ": 5000", 200, 1},
    {WIRE_DEADLINE ": 5000.5", 200, 1},
    {WIRE_DEADLINE ": 0", 503, 0},
    {WIRE_DEADLINE ";", 400, 0},
    {WIRE_DEADLINE ": soon", 400, 0},
    {WIRE_DEADLINE ": -1", 400, 0},
};

typedef struct reply {
	int status;
	int is_done;
} reply_t;

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	(void)transfer;
	((reply_t *)ctx)->status = status;
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	(void)result;
	((reply_t *)ctx)->is_done = 1;
}

static int
is_done(void *ctx)
{
	return ((reply_t *)ctx)->is_done;
}

static int
call(entry_fixture_t *fixture, const char *header)
{
	const char *const lines[] = {"Host: " ENTRY_FIXTURE_HOST,
	    "Authorization: Bearer " ENTRY_FIXTURE_KEY,
	    WIRE_REQUEST_ID ": request-1", header, NULL};
	reply_t reply = {0};
	const at_transfer_events_t events = {
	    .on_headers = on_headers, .on_done = on_done, .ctx = &reply};
	at_transfer_spec_t spec = {
	    .method = "POST", .target = "/unsafe/x", .headers = lines};
	char url[AT_ADDR_SIZE + 16];

	(void)snprintf(url, sizeof(url), "http://%s/", fixture->addresses[0]);
	spec.url = url;
	cr_assert_not_null(at_httpc_start(fixture->httpc, &spec, &events));
	entry_fixture_run_until(fixture, is_done, &reply);
	return reply.status;
}

/* A request whose count was empty cost nothing, one without time had it all. */
Test(empty_values, of_headers_are_not_missing_ones, .timeout = 60)
{
	entry_fixture_t *fixture = entry_fixture_new();
	uint64_t runs;
	size_t i;
	int status;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	for (i = 0; i < sizeof(headers) / sizeof(headers[0]); i++) {
		runs = standin_server_run_count(fixture->servers[0]);
		status = call(fixture, headers[i].header);
		runs = standin_server_run_count(fixture->servers[0]) - runs;
		cr_expect_eq(status, headers[i].status, "%s: %d",
		    headers[i].header, status);
		cr_expect_eq((int)runs, headers[i].runs, "%s: %d runs",
		    headers[i].header, (int)runs);
	}
	entry_fixture_delete(fixture);
}

typedef struct rate_case {
	const char *members; /* of the tenant, after its name */
	int is_taken;
	uint64_t rate_per_s; /* 0: no limit */
} rate_case_t;

static const rate_case_t rates[] = {
    {"", 1, 0},
    {",\"rate_per_s\":0", 1, 0},
    {",\"rate_per_s\":7", 1, 7},
    {",\"rate_per_s\":0.4", 1, 1},
    {",\"rate_per_s\":0.001", 1, 1},
    {",\"rate_per_s\":-1", 0, 0},
    {",\"rate_per_s\":\"7\"", 0, 0},
    {",\"rate_per_s\":null", 0, 0},
    {",\"rate_per_s\":1e300", 1, 0},
};

/* A rate below a half, or one that is no number, was no limit. */
Test(empty_values, of_rates_are_not_missing_ones, .timeout = 60)
{
	const at_fleet_secret_t secret = {0};
	at_status_t status;
	char text[256];
	size_t i;

	for (i = 0; i < sizeof(rates) / sizeof(rates[0]); i++) {
		at_site_t *site;

		(void)snprintf(text, sizeof(text),
		    "{\"version\":1,\"tenants\":[{\"name\":\"a\"%s}]}",
		    rates[i].members);
		site =
		    at_site_decode(text, strlen(text), NULL, &secret, &status);
		cr_expect_eq(site != NULL, rates[i].is_taken, "%s: %d",
		    rates[i].members, site != NULL);
		if (site != NULL)
			cr_expect_eq(site->workspaces[0].rate_per_s,
			    rates[i].rate_per_s, "%s: %llu", rates[i].members,
			    (unsigned long long)site->workspaces[0].rate_per_s);
		at_site_unref(site);
	}
}
