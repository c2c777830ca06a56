/*
 * One part of prompts, never the last, crashes each engine that begins to
 * write an answer on it. The prompts have eleven parts, and it is the ninth.
 * With SHARED=1 the prompts have four parts and it is the second: a control.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standin.h"

#define ENTRIES 2u
#define ENGINES 4u
#define SLOTS 64u
#define CONTACT_MS 3000u
#define BACK_MS 2000u /* an engine is back after some seconds */
#define FIRST_EVENT_MS 20u
#define EVENT_MS 30u
#define EVENTS 12u
#define CRASHES_COUNTED 5u
#define LATE_MAX 3u /* requests that may reach engines after that */
#define SOUND_CLIENTS 8u
#define SOUND_GAP_MS 200u
#define BAD_GAP_MS 400u
#define TIME_MS 40000u
#define BAD_PART "bad0"
#define SHARED_PARTS 8u

static const char config[] =
    "{\"version\":1,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},\"services\":[{\"name\":\"notes-llm\","
    "\"max_connections\":370,\"engine\":{\"slots\":64,\"kv_capacity\":149759,"
    "\"kv_token_bytes\":163840,\"models\":[{\"name\":\"m0\",\"weights_mb\":"
    "65100,\"load_s\":3.8,\"adapters\":0,\"adapter_mb\":12.0,\"warm_s\":0.45,"
    "\"disk_s\":0.76}],\"weights_mb\":230000.0,\"adapter_slots\":8,"
    "\"loads_per_s\":2.1}}],\"routes\":[{\"name\":\"live-notes\","
    "\"hostname\":\"booths.example\",\"path_prefix\":\"/notes/\",\"type\":"
    "\"streaming\",\"timeout_ms\":15000,\"target_latency_ms\":400,"
    "\"gap_target_ms\":300,\"priority\":0,\"max_attempts\":2,\"sticky\":true,"
    "\"resumable\":true,\"service\":\"notes-llm\"}],\"tenants\":[{\"name\":"
    "\"studio\",\"api_keys\":[\"key-of-studio\"]}]}";

static entry_t *entries[ENTRIES];
static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static volatile int is_over;
static unsigned shared_parts = SHARED_PARTS;
static uint64_t fifth_crash_ms;
static unsigned crash_count;
static unsigned late_count;
static unsigned sound_sent;
static unsigned sound_served;
static unsigned next_number;

static void
note_arrival(const server_t *server, const char *id, int is_bad)
{
	uint64_t at_ms = now_ms();

	(void)pthread_mutex_lock(&mutex);
	if (is_bad && fifth_crash_ms != 0 &&
	    at_ms > fifth_crash_ms + CONTACT_MS)
		late_count++;
	(void)pthread_mutex_unlock(&mutex);
	record("server %s runs %s", server->id, id);
}

static void
crash(server_t *server, const char *id)
{
	(void)pthread_mutex_lock(&mutex);
	if (server->is_up) {
		crash_count++;
		record("crash %u: %s begins to answer %s", crash_count,
		    server->id, id);
		if (crash_count == CRASHES_COUNTED)
			fifth_crash_ms = now_ms();
	}
	(void)pthread_mutex_unlock(&mutex);
	server_crash(server, BACK_MS);
}

static int
send_event(int fd, const char *id, unsigned number)
{
	char event[128];
	int len =
	    snprintf(event, sizeof(event), "id: %u\ndata: %s\n\n", number, id);

	return send_text(fd, "%x\r\n%s\r\n", (unsigned)len, event);
}

static int
serve(server_t *server, conn_t *conn, const message_t *request)
{
	char id[64] = "";
	char after[32] = "0";
	char parts[512] = "";
	unsigned number;
	int is_bad;

	(void)message_header(request, "X-Attempt-Id", id, sizeof(id));
	(void)message_header(request, "Last-Event-Id", after, sizeof(after));
	(void)message_header(request, "X-Prompt-Prefix", parts, sizeof(parts));
	is_bad = strstr(parts, "," BAD_PART ":") != NULL;
	note_arrival(server, id, is_bad);
	sleep_ms(FIRST_EVENT_MS);
	if (is_bad && standin_has_trouble()) {
		crash(server, id);
		return -1;
	}
	if (send_text(conn->fd,
		"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: "
		"%s.%s\r\n"
		"Content-Type: text/event-stream\r\n"
		"Transfer-Encoding: chunked\r\n\r\n",
		id, server->id, id) != 0)
		return -1;
	for (number = (unsigned)atoi(after) + 1; number <= EVENTS; number++) {
		if (!server->is_up || send_event(conn->fd, id, number) != 0)
			return -1;
		sleep_ms(EVENT_MS);
	}
	return server->is_up ? send_text(conn->fd, "0\r\n\r\n") : -1;
}

static void
write_parts(char *parts, size_t size, int is_bad, unsigned number)
{
	size_t len = 0;
	unsigned i;

	for (i = 0; i < shared_parts; i++)
		len += (size_t)snprintf(parts + len, size - len, "a%u:20,", i);
	/* Sound prompts have a part of their own subject there. */
	if (is_bad)
		len +=
		    (size_t)snprintf(parts + len, size - len, BAD_PART ":30,");
	else
		len += (size_t)snprintf(
		    parts + len, size - len, "500%u:30,", number % 20u);
	(void)snprintf(
	    parts + len, size - len, "c%u:20,d%06x:30", number % 7u, number);
}

/* Returns non-zero if the whole stream comes. */
static int
send_prompt(size_t client, int is_bad)
{
	conn_t conn;
	message_t answer = {0};
	char id[64];
	char parts[512];
	unsigned number;
	int is_served = 0;
	const entry_t *entry;

	(void)pthread_mutex_lock(&mutex);
	number = next_number++;
	(void)pthread_mutex_unlock(&mutex);
	entry = entries[(client + number) % ENTRIES];
	(void)snprintf(
	    id, sizeof(id), "%s-%u", is_bad ? "bad" : "sound", number);
	write_parts(parts, sizeof(parts), is_bad, number);
	conn.fd = connect_to(entry->port);
	conn.data = NULL;
	conn.len = conn.size = 0;
	record("client sends %s to %s, parts %s", id, entry->name, parts);
	if (conn.fd >= 0 &&
	    send_text(conn.fd,
		"POST /notes/x HTTP/1.1\r\nHost: booths.example\r\n"
		"X-Attempt-Id: %s\r\nX-Deadline-Ms: 15000\r\nX-Model: m0\r\n"
		"X-Token-Count: 250,60\r\nX-Prompt-Prefix: %s\r\n"
		"Authorization: Bearer key-of-studio\r\n"
		"Content-Length: 6\r\n\r\nprompt",
		id, parts) == 0 &&
	    message_read(&conn, &answer) == 0)
		is_served = answer.status == 200;
	record("%s gets %d%s", id, answer.status, is_served ? ", whole" : "");
	message_free(&answer);
	conn_close(&conn);
	return is_served;
}

static void *
run_sound(void *ctx)
{
	size_t client = (size_t)(uintptr_t)ctx;

	while (!is_over) {
		int is_served = send_prompt(client, 0);

		(void)pthread_mutex_lock(&mutex);
		sound_sent++;
		sound_served += (unsigned)is_served;
		(void)pthread_mutex_unlock(&mutex);
		sleep_ms(SOUND_GAP_MS);
	}
	return NULL;
}

/* Each of these comes only once. */
static void *
run_bad(void *ctx)
{
	(void)send_prompt((size_t)(uintptr_t)ctx, 1);
	return NULL;
}

static void
start(void *(*run)(void *ctx), size_t client)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, run, (void *)client) != 0)
		standin_end(EXIT_NOT_RUN);
	(void)pthread_detach(thread);
}

int
main(int argc, char **argv)
{
	uint64_t end_ms;
	size_t i;

	standin_init(argc > 1 ? argv[1] : ".");
	if (getenv("SHARED") != NULL)
		shared_parts = (unsigned)atoi(getenv("SHARED"));
	store_start(1);
	for (i = 0; i < ENGINES; i++) {
		char id[32];

		(void)snprintf(id, sizeof(id), "i-e00%zu", i);
		(void)server_start(id, "notes-llm",
		    "[{\"name\":\"m0\",\"version\":1,\"adapters\":[]}]", SLOTS,
		    serve, NULL);
	}
	store_put("config", "main", config);
	entries[0] = entry_start("frontend-muscat-a-1", "muscat-a");
	entries[1] = entry_start("frontend-muscat-b-1", "muscat-b");
	sleep_ms(CONTACT_MS + 1000u);
	for (i = 0; i < SOUND_CLIENTS; i++)
		start(run_sound, i);
	sleep_ms(2000);
	end_ms = now_ms() + TIME_MS;
	for (i = 0; now_ms() < end_ms; i++) {
		start(run_bad, i);
		sleep_ms(BAD_GAP_MS);
	}
	is_over = 1;
	sleep_ms(1000);
	(void)pthread_mutex_lock(&mutex);
	record("%u crashes; %u requests with the part reach engines later than "
	       "%u ms after the fifth (BUDGET: at most %u); %u of %u sound "
	       "requests served",
	    crash_count, late_count, CONTACT_MS, LATE_MAX, sound_served,
	    sound_sent);
	standin_end(standin_has_trouble() && late_count > LATE_MAX ? EXIT_BROKEN
								   : EXIT_HELD);
}
