/*
 * Three instances share a workspace's limit: together they never admit more
 * than its rate and burst, and they refuse no request within the rate.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <criterion/criterion.h>

#include "daemon/limits/limits_io.h"
#include "io/clock.h"
#include "support/fixture.h"

#define NODES 3u
#define CHARGE_TOKENS 100u     /* cost of one request */
#define RATE 1000u             /* tokens per second */
#define BURST 6000u            /* tokens */
#define CONFIG_LIMIT_MS 12000u /* target: a configuration is in force */
/* Time until all have shares; includes two retries of the slowest instance. */
#define JOIN_LIMIT_MS 30000u

static fixture_t *fixture;
static char bearer[160];

static int
have_all_shares(void *ctx)
{
	size_t i;

	(void)ctx;
	for (i = 0; i < NODES; i++) {
		json_t *list = at_limits_status(fixture->nodes[i]->limits);
		json_t *floor =
		    json_object_get(json_array_get(list, 0), "floor_ppb");
		int has = json_integer_value(floor) > 0;

		json_decref(list);
		if (!has)
			return 0;
	}
	return 1;
}

static void
setup(void)
{
	static const char *const names[NODES] = {"n1", "n2", "n3"};
	static const char *const data_centres[NODES] = {
	    "north", "north", "south"};
	char config[2048];
	char hash[65];
	const char *key = fixture_make_key("k1", hash);
	size_t i;

	fixture = fixture_new();
	(void)fixture_add_service(fixture, "s1", "north", "desk");
	for (i = 0; i < NODES; i++)
		(void)fixture_add_node(fixture, names[i], data_centres[i]);
	(void)snprintf(bearer, sizeof(bearer), "Authorization: Bearer %s", key);
	(void)snprintf(config, sizeof(config),
	    "{\"generation\":1,\"data_centres\":[\"north\",\"south\"],"
	    "\"workspaces\":[{\"name\":\"w1\",\"rate_tokens_s\":%u,"
	    "\"burst_tokens\":%u,\"keys\":[{\"id\":\"k1\",\"hash\":\"%s\"}]}],"
	    "\"services\":[{\"name\":\"desk\"}],"
	    "\"routes\":[{\"path\":\"/slots\",\"method\":\"GET\",\"service\":"
	    "\"desk\",\"repeat\":\"repeatable\",\"cost_tokens\":%u},"
	    "{\"path\":\"/large\",\"method\":\"GET\",\"service\":\"desk\","
	    "\"repeat\":\"repeatable\",\"cost_tokens\":%u}]}",
	    RATE, BURST, hash, CHARGE_TOKENS, BURST + 1);
	fixture_apply_config(fixture, config);
	cr_assert(fixture_run_until(
	    fixture, have_all_shares, NULL, CONFIG_LIMIT_MS + JOIN_LIMIT_MS));
}

static void
teardown(void)
{
	fixture_delete(fixture);
}

static int
call_with_key(size_t node, const char *path, const char *reason)
{
	const char *headers[] = {bearer, NULL};
	fixture_response_t response = fixture_call(
	    fixture, "GET", fixture->node_addresses[node], path, headers, NULL);
	int status = response.status;

	if (status != 200) {
		cr_assert(strstr(response.body, reason), "%s", response.body);
		cr_assert(strstr(response.body, "\"verdict\":\"not_run\""));
	}
	fixture_response_free(&response);
	return status;
}

Test(
    limits, admits_no_more_than_rate_and_burst, .init = setup, .fini = teardown)
{
	uint64_t start_ms = at_clock_now_ms();
	uint64_t admitted = 0;
	uint64_t refused = 0;
	size_t i;

	for (i = 0; i < 200; i++) {
		int status = call_with_key(i % NODES, "/slots", "over_rate");

		cr_assert(status == 200 || status == 429, "%d", status);
		admitted += status == 200;
		refused += status == 429;
		cr_assert_leq(admitted * CHARGE_TOKENS,
		    BURST + RATE * (at_clock_now_ms() + 1 - start_ms) / 1000);
	}
	cr_assert_gt(admitted, 0);
	cr_assert_gt(refused, 0);
}

/* Sends half of the rate, five requests to one instance after the other. */
Test(limits, admits_all_requests_within_the_rate, .init = setup,
    .fini = teardown)
{
	size_t i;

	fixture_run_ms(fixture, 3000);
	for (i = 0; i < 15; i++) {
		cr_assert_eq(call_with_key(i / 5 % NODES, "/slots", "none"),
		    200, "request %zu", i);
		fixture_run_ms(fixture, 200);
	}
}

Test(limits, refuses_a_cost_above_the_burst, .init = setup, .fini = teardown)
{
	cr_assert_eq(call_with_key(0, "/large", "over_burst"), 400);
}

static int
has_left(void *ctx)
{
	at_limits_t *limits = ctx;

	return at_limits_has_left(limits);
}

Test(limits, a_planned_stop_returns_the_share, .init = setup, .fini = teardown)
{
	at_limits_leave(fixture->nodes[1]->limits);
	cr_assert(fixture_run_until(fixture, has_left,
	    fixture->nodes[1]->limits, AT_IDLE_LOAN_TERM_MS + 10000));
}
