/*
 * Callers that keep far more connections open than an instance may have: it
 * goes on accepting, and reaches backend servers and the store.
 */
#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/address.h"
#include "io/clock.h"
#include "support/entry_fixture.h"

#define DESCRIPTORS 200u
#define CALLERS_MAX 120u /* 60 in 100 of them */
#define CALLERS 400u
#define BATCH 20u /* callers that connect at a time */
#define BATCH_MS 200u
#define CONTACT_MS 3000u

typedef struct caller {
	int fd; /* -1: not connected, or closed */
	int has_response;
} caller_t;

static void
connect_caller(const entry_fixture_t *fixture, caller_t *caller)
{
	struct sockaddr_in addr;

	cr_assert_eq(at_address_parse(fixture->addresses[0], &addr), 0);
	caller->fd = socket(AF_INET, SOCK_STREAM, 0);
	cr_assert_eq(
	    connect(caller->fd, (const struct sockaddr *)&addr, sizeof(addr)),
	    0);
}

static void
send_request(const caller_t *caller, size_t number)
{
	char text[512];
	int len = snprintf(text, sizeof(text),
	    "GET /safe/x HTTP/1.1\r\nHost: " ENTRY_FIXTURE_HOST "\r\n"
	    "Authorization: Bearer " ENTRY_FIXTURE_KEY "\r\n"
	    "X-Attempt-Id: many-%zu\r\nX-Deadline-Ms: 5000\r\n\r\n",
	    number);

	cr_assert_eq(send(caller->fd, text, (size_t)len, 0), len);
}

/* Takes responses; a connection that the instance closes is closed here. */
static void
receive(caller_t *callers, size_t count)
{
	char bytes[4096];
	ssize_t len;
	size_t i;

	for (i = 0; i < count; i++) {
		if (callers[i].fd < 0)
			continue;
		len = recv(callers[i].fd, bytes, sizeof(bytes), MSG_DONTWAIT);
		if (len > 0 && strncmp(bytes, "HTTP/1.1 200", 12) == 0)
			callers[i].has_response = 1;
		if (len == 0 || (len < 0 && errno != EAGAIN)) {
			(void)close(callers[i].fd);
			callers[i].fd = -1;
		}
	}
}

static size_t
count_open(const caller_t *callers)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < CALLERS; i++)
		count += callers[i].fd >= 0;
	return count;
}

static size_t
count_served(const caller_t *callers)
{
	size_t count = 0;
	size_t i;

	for (i = 0; i < CALLERS; i++)
		count += callers[i].has_response != 0;
	return count;
}

/* Idle connections took all descriptors, and no caller or server was reached.
 */
Test(many_connections, idle_ones_make_room, .timeout = 60)
{
	static caller_t callers[CALLERS];
	entry_fixture_t *fixture = entry_fixture_new();
	size_t i;
	size_t k;

	fixture->descriptors = DESCRIPTORS;
	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_service(fixture);
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	for (i = 0; i < CALLERS; i++)
		callers[i].fd = -1;
	for (i = 0; i < CALLERS; i += BATCH) {
		for (k = i; k < i + BATCH; k++) {
			connect_caller(fixture, &callers[k]);
			send_request(&callers[k], k);
		}
		entry_fixture_run_ms(fixture, BATCH_MS);
		receive(callers, CALLERS);
	}
	entry_fixture_run_ms(fixture, CONTACT_MS);
	receive(callers, CALLERS);
	cr_expect_eq(count_served(callers), CALLERS, "%zu of %u are served",
	    count_served(callers), CALLERS);
	cr_expect_leq(count_open(callers), CALLERS_MAX,
	    "%zu connections are open", count_open(callers));
	for (i = 0; i < CALLERS; i++) {
		if (callers[i].fd >= 0)
			(void)close(callers[i].fd);
	}
	entry_fixture_delete(fixture);
}

/* The fewest descriptors that an instance can have. */
#define FEW_DESCRIPTORS 128u
#define FEW_OUTGOING 18u /* connections that it may open itself */
#define SLOW_MS 1500u    /* for which a request holds one */
#define REQUESTS 60u

static int
are_all_done(void *ctx)
{
	const entry_fixture_response_t *responses = ctx;
	size_t i;

	for (i = 0; i < REQUESTS; i++) {
		if (!responses[i].done)
			return 0;
	}
	return 1;
}

static size_t
count_runs(const entry_fixture_t *fixture)
{
	size_t runs = 0;
	size_t i;

	for (i = 0; i < fixture->server_count; i++)
		runs += standin_server_run_count(fixture->servers[i]);
	return runs;
}

/* A connection to a server for each request took all descriptors. */
Test(many_connections, requests_without_a_connection_are_refused, .timeout = 60)
{
	static const entry_fixture_request_t request = {
	    "POST", "/unsafe/x", "slow", ENTRY_FIXTURE_KEY, NULL, "body"};
	static entry_fixture_response_t responses[REQUESTS];
	entry_fixture_t *fixture = entry_fixture_new();
	size_t served = 0;
	size_t begun;
	size_t i;

	fixture->descriptors = FEW_DESCRIPTORS;
	entry_fixture_apply_config(fixture, 1);
	for (i = 0; i < 3; i++) {
		(void)entry_fixture_add_service(fixture);
		standin_server_faults(fixture->servers[i])->work_ms = SLOW_MS;
	}
	(void)entry_fixture_add_entry(fixture);
	entry_fixture_run_until_ready(fixture);
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_send(fixture, 0, &request, &responses[i]);
	/* None has ended by then. */
	entry_fixture_run_ms(fixture, SLOW_MS / 2);
	begun = count_runs(fixture);
	entry_fixture_run_until(fixture, are_all_done, responses);
	for (i = 0; i < REQUESTS; i++) {
		served += responses[i].status == 200;
		if (responses[i].status == 200)
			continue;
		cr_expect_eq(responses[i].status, 503, "request %zu gets %d", i,
		    responses[i].status);
		cr_expect_neq(responses[i].retry_after[0], '\0');
	}
	cr_expect_gt(begun, 0);
	cr_expect_leq(begun, FEW_OUTGOING, "%zu run at once", begun);
	/* What was refused has not run. */
	cr_expect_eq(count_runs(fixture), served, "%zu of %zu ran",
	    count_runs(fixture), served);
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_response_free(&responses[i]);
	entry_fixture_delete(fixture);
}
