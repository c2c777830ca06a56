/*
 * Clients send charges that have another request in their body, with lengths
 * that a server must refuse: a space before the colon of Content-Length, or two
 * lengths that differ.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "standin.h"

#define ENTRIES 2u
#define SERVERS 3u
#define SLOTS 6u
#define CONTACT_MS 3000u
#define ROUNDS 4u
#define ANSWER_MS 1500u

static const char config[] =
    "{\"version\":1,\"limits\":{\"max_header_bytes\":16384,"
    "\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,"
    "\"idle_timeout_ms\":15000},\"services\":[{\"name\":\"booking-app\","
    "\"max_connections\":110}],\"routes\":[{\"name\":\"book-charge\","
    "\"hostname\":\"booths.example\",\"path_prefix\":\"/charge/\",\"type\":"
    "\"unsafe\",\"timeout_ms\":3000,\"target_latency_ms\":300,\"priority\":2,"
    "\"max_attempts\":1,\"service\":\"booking-app\"}],\"tenants\":[{\"name\":"
    "\"studio\",\"api_keys\":[\"key-of-studio\"]}]}";

/* How the length of the body is stated; %1$zu is the true one. */
static const struct {
	const char *what;
	const char *lines;
} forms[] = {{"space-before-colon", "Content-Length : %1$zu\r\n"},
    {"two-lengths", "Content-Length: 2\r\nContent-Length: %1$zu\r\n"}};
#define FORMS (sizeof(forms) / sizeof(forms[0]))
static const char proper_form[] = "Content-Length: %1$zu\r\n";

static volatile unsigned smuggled_count;
static volatile unsigned changed_count;

static int
serve(server_t *server, conn_t *conn, const message_t *request)
{
	char id[64] = "";

	(void)message_header(request, "X-Attempt-Id", id, sizeof(id));
	record("server %s runs %s, body of %zu bytes", server->id, id,
	    request->body_len);
	if (strncmp(id, "sent-", 5) != 0) {
		record("no client has sent %s: it was in a body", id);
		smuggled_count++;
	} else if (strstr(request->body == NULL ? "" : request->body,
		       "smuggled") == NULL) {
		record("the body of %s is not the client's", id);
		changed_count++;
	}
	return send_text(conn->fd,
	    "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Server-Stamp: %s.%s\r\n"
	    "Content-Length: 4\r\n\r\ndone",
	    id, server->id, id);
}

/* Reads all answers that come. */
static void
read_answers(conn_t *conn, const char *id)
{
	const struct timeval limit = {
	    ANSWER_MS / 1000u, (ANSWER_MS % 1000u) * 1000u};
	message_t answer;

	(void)setsockopt(
	    conn->fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	while (message_read(conn, &answer) == 0) {
		record("on the connection of %s comes %d", id, answer.status);
		message_free(&answer);
	}
	message_free(&answer);
}

static void
send_charge(const entry_t *entry, size_t form, unsigned round)
{
	conn_t conn = {.fd = connect_to(entry->port)};
	char id[64];
	char lines[128];
	char body[512];
	const char *stated =
	    standin_has_trouble() ? forms[form].lines : proper_form;
	int len = snprintf(body, sizeof(body),
	    "{}POST /charge/x HTTP/1.1\r\nHost: booths.example\r\n"
	    "X-Attempt-Id: smuggled-%zu-%u\r\nX-Deadline-Ms: 3000\r\n"
	    "Authorization: Bearer key-of-studio\r\n"
	    "Content-Length: 2\r\n\r\n{}",
	    form, round);
	/* Without a length that is read, the body begins with the request. */
	const char *sent = form == 0 && standin_has_trouble() ? body + 2 : body;
	size_t sent_len = (size_t)len - (size_t)(sent - body);

	(void)snprintf(id, sizeof(id), "sent-%zu-%u", form, round);
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wformat-nonliteral"
	(void)snprintf(lines, sizeof(lines), stated, sent_len);
#pragma GCC diagnostic pop
	record("client sends %s (%s) to %s, body of %zu bytes", id,
	    standin_has_trouble() ? forms[form].what : "proper", entry->name,
	    sent_len);
	if (conn.fd >= 0 &&
	    send_text(conn.fd,
		"POST /charge/x HTTP/1.1\r\nHost: booths.example\r\n"
		"X-Attempt-Id: %s\r\nX-Deadline-Ms: 3000\r\n"
		"Authorization: Bearer key-of-studio\r\n%s\r\n%s",
		id, lines, sent) == 0)
		read_answers(&conn, id);
	conn_close(&conn);
}

int
main(int argc, char **argv)
{
	entry_t *entries[ENTRIES];
	unsigned round;
	size_t i;

	standin_init(argc > 1 ? argv[1] : ".");
	store_start(1);
	for (i = 0; i < SERVERS; i++) {
		char id[32];

		(void)snprintf(id, sizeof(id), "i-b00%zu", i);
		(void)server_start(id, "booking-app", "[]", SLOTS, serve, NULL);
	}
	store_put("config", "main", config);
	entries[0] = entry_start("frontend-muscat-a-1", "muscat-a");
	entries[1] = entry_start("frontend-muscat-b-1", "muscat-b");
	sleep_ms(CONTACT_MS + 1000u);
	for (round = 0; round < ROUNDS; round++) {
		for (i = 0; i < FORMS; i++)
			send_charge(entries[round % ENTRIES], i, round);
	}
	record("run: %u requests that were in a body, %u with another body "
	       "than sent",
	    smuggled_count, changed_count);
	standin_end(
	    smuggled_count + changed_count > 0 ? EXIT_BROKEN : EXIT_HELD);
}
