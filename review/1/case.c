/*
 * One of three servers fails part of its requests after it has begun to work on
 * them: it answers 503 with its signature, and does not state that the request
 * has not been run. Clients send an unsafe request again after a promise only.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define ENTRIES 2u
#define SERVERS 3u
#define SLOTS 6u
#define CONTACT_MS 3000u
#define WORK_MS 60u
#define CHARGES 90u
#define GAP_MS 40u
#define FAILING_PERCENT 40u
#define RETRIES 1u

static const char config[] =
    "{\"version\":1,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},\"services\":[{\"name\":\"booking-app\","
    "\"max_connections\":110}],\"routes\":[{\"name\":\"book-charge\","
    "\"hostname\":\"booths.example\",\"path_prefix\":\"/charge/\",\"type\":"
    "\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,"
    "\"max_attempts\":1,\"service\":\"booking-app\"}],\"tenants\":[{\"name\":"
    "\"studio\",\"api_keys\":[\"key-of-studio\"]}]}";

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static unsigned run_count[CHARGES][RETRIES + 1];
static unsigned failing_turn;

/* Returns non-zero for FAILING_PERCENT of the calls. */
static int
fails(const server_t *server)
{
	int result = 0;

	if (server->ctx == NULL || !standin_has_trouble())
		return 0;
	(void)pthread_mutex_lock(&mutex);
	result = ++failing_turn * FAILING_PERCENT % 100u < FAILING_PERCENT;
	(void)pthread_mutex_unlock(&mutex);
	return result;
}

static int
serve(server_t *server, conn_t *conn, const message_t *request)
{
	char id[64] = "";
	unsigned charge = 0;
	unsigned attempt = 0;

	(void)message_header(request, "X-Attempt-Id", id, sizeof(id));
	if (sscanf(id, "charge-%u-%u", &charge, &attempt) != 2 ||
	    charge >= CHARGES || attempt > RETRIES)
		return -1;
	(void)pthread_mutex_lock(&mutex);
	run_count[charge][attempt]++;
	(void)pthread_mutex_unlock(&mutex);
	sleep_ms(WORK_MS);
	if (fails(server)) {
		record("server %s runs %s and fails: 503, signed, without "
		       "X-Not-Executed",
		    server->id, id);
		return send_text(conn->fd,
		    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n"
		    "X-Server-Stamp: %s.%s\r\nContent-Length: 6\r\n\r\nfailed",
		    id, server->id, id);
	}
	record("server %s runs %s", server->id, id);
	return send_text(conn->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n"
	    "Content-Length: 4\r\n\r\ndone",
	    id, server->id, id);
}

/* Returns the status of the answer, 0 for none. */
static int
send_charge(const entry_t *entry, unsigned charge, unsigned attempt)
{
	conn_t conn = {.fd = connect_to(entry->port)};
	message_t answer = {0};
	int status = 0;

	record("client sends charge-%u-%u to %s", charge, attempt, entry->name);
	if (send_text(conn.fd,
		"POST /charge/x HTTP/1.1\r\nHost: booths.example\r\n"
		"X-Attempt-Id: charge-%u-%u\r\nX-Deadline-Ms: 3000\r\n"
		"Authorization: Bearer key-of-studio\r\n"
		"Content-Length: 2\r\n\r\n{}",
		charge, attempt) == 0 &&
	    message_read(&conn, &answer) == 0)
		status = answer.status;
	record("charge-%u-%u gets %d", charge, attempt, status);
	message_free(&answer);
	conn_close(&conn);
	return status;
}

static int
is_promise(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

int
main(int argc, char **argv)
{
	entry_t *entries[ENTRIES];
	unsigned refused = 0;
	unsigned twice = 0;
	unsigned charge;
	size_t i;

	standin_init(argc > 1 ? argv[1] : ".");
	store_start(1);
	for (i = 0; i < SERVERS; i++) {
		char id[32];

		(void)snprintf(id, sizeof(id), "i-b00%zu", i);
		(void)server_start(id, "booking-app", "[]", SLOTS, serve,
		    i == 0 ? (void *)entries : NULL);
	}
	store_put("config", "main", config);
	entries[0] = entry_start("frontend-muscat-a-1", "muscat-a");
	entries[1] = entry_start("frontend-muscat-b-1", "muscat-b");
	sleep_ms(CONTACT_MS + 1000u);
	for (charge = 0; charge < CHARGES; charge++) {
		unsigned attempt;
		unsigned runs = 0;

		for (attempt = 0; attempt <= RETRIES; attempt++) {
			int status =
			    send_charge(entries[(charge + attempt) % ENTRIES],
				charge, attempt);

			runs += run_count[charge][attempt];
			if (!is_promise(status))
				break;
			refused += run_count[charge][attempt] > 0;
		}
		if (runs > 1)
			record("charge %u has run %u times", charge, runs);
		twice += runs > 1;
		sleep_ms(GAP_MS);
	}
	record("%u attempts that have run were answered as not run; %u of %u "
	       "charges have run twice, since their client was told so",
	    refused, twice, CHARGES);
	standin_end(refused > 0 ? EXIT_BROKEN : EXIT_HELD);
}
