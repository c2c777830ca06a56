/*
 * Backend servers whose bytes have no end, in each part of a response. Such a
 * response is rejected after a bounded number of bytes, long before the
 * deadline, and requests beside it are served as usual.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "io/clock.h"
#include "platform/names.h"
#include "support/entry_fixture.h"

#define CONNECTIONS_MAX 64
#define REQUESTS 8 /* at a time */
/* Sent by the server until its connection is closed, in all. */
#define BYTES_MAX (64u << 20)
/* Of a response of which nothing is used, with what the kernel holds. */
#define NO_PART_MAX (2u << 20)
/*
 * Half of a request's time limit. A stream goes on at another engine, which
 * loads the model first.
 */
#define DONE_MS 7500u
#define SOUND_MS 1000u /* the route's objective */
#define MODEL "m1" /* of the server without end; m0 is that of a sound one */

#define SIGNED WIRE_REQUEST_ID ": id\r\n" WIRE_SIGNATURE ": sig\r\n"

typedef struct endless {
	const char *name;
	const char *target;
	const char *begin;
	const char *repeat;
} endless_t;

static const endless_t kinds[] = {
    {"bytes that are no response", "/stream/x", "", "no response"},
    {"one line of the head", "/stream/x", "HTTP/1.1 200 OK\r\nA: ", "aaaaaaa"},
    {"lines of the head", "/stream/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"lines of the head, unsafe", "/once/x", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
    {"responses before the response", "/stream/x", "",
	"HTTP/1.1 100 Continue\r\n\r\n"},
    {"an event", "/stream/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\nid: 1\ndata: ", "abcdefgh"},
    {"an event in chunks", "/stream/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n",
	"8\r\nabcdefgh\r\n"},
    {"the size of a chunk", "/stream/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n",
	"00000000"},
    {"the extension of a chunk", "/stream/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n8;a=",
	"abcdefgh"},
    {"the trailer", "/stream/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n0\r\n",
	"A: b\r\n"},
    {"the body of a failure", "/stream/x",
	"HTTP/1.1 500 Failed\r\n" SIGNED "\r\n", "abcdefgh"},
    {"the body of a failure, unsafe", "/once/x",
	"HTTP/1.1 500 Failed\r\n" SIGNED "\r\n", "abcdefgh"},
    {"the body of a refusal", "/stream/x",
	"HTTP/1.1 503 Full\r\n" WIRE_NOT_RUN ": 1\r\n\r\n", "abcdefgh"},
    {"the body of a refusal, unsafe", "/once/x",
	"HTTP/1.1 503 Full\r\n" WIRE_NOT_RUN ": 1\r\n\r\n", "abcdefgh"},
    {"a body that is shorter than its length", "/once/x",
	"HTTP/1.1 500 Failed\r\n" SIGNED "Content-Length: 99999999999\r\n\r\n",
	"abcdefgh"},
};

typedef struct connection {
	struct server *server;
	int fd;
	int is_request; /* of a caller; else a report, or nothing was sent */
	ev_io readable;
	ev_io writable;
	size_t begin_sent;
} connection_t;

typedef struct server {
	struct ev_loop *loop;
	const endless_t *kind;
	int fd;
	void (*on_writable)(struct ev_loop *loop, ev_io *io, int events);
	ev_io acceptable;
	connection_t connections[CONNECTIONS_MAX];
	size_t count;
	uint64_t sent_bytes;
	size_t requests;     /* connections of callers' requests */
	size_t closed;       /* of these */
	char block[1 << 16]; /* whole repetitions */
	size_t block_len;
} server_t;

static void
close_connection(connection_t *connection)
{
	ev_io_stop(connection->server->loop, &connection->readable);
	ev_io_stop(connection->server->loop, &connection->writable);
	(void)close(connection->fd);
	connection->server->closed += (size_t)connection->is_request;
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	connection_t *connection = io->data;
	server_t *server = connection->server;
	size_t begin_len = strlen(server->kind->begin);
	const char *data = server->kind->begin + connection->begin_sent;
	size_t len = begin_len - connection->begin_sent;
	ssize_t sent;

	(void)loop;
	(void)events;
	if (len == 0) {
		/* A partial write may break a repetition, once. */
		data = server->block;
		len = server->block_len;
	}
	sent = send(connection->fd, data, len, MSG_NOSIGNAL);
	if (sent < 0 && errno != EAGAIN) {
		close_connection(connection);
		return;
	}
	if (sent <= 0)
		return;
	if (connection->begin_sent < begin_len)
		connection->begin_sent += (size_t)sent;
	server->sent_bytes += (uint64_t)sent;
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	connection_t *connection = io->data;
	char buffer[4096];
	ssize_t len = recv(connection->fd, buffer, sizeof(buffer), 0);

	(void)events;
	if (len <= 0) {
		close_connection(connection);
		return;
	}
	if (ev_is_active(&connection->writable))
		return;
	connection->is_request =
	    len >= 4 && strncmp(buffer, "POST", strlen("POST")) == 0;
	connection->server->requests += (size_t)connection->is_request;
	ev_io_start(loop, &connection->writable);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	server_t *server = io->data;
	connection_t *connection = &server->connections[server->count];
	int fd = accept(server->fd, NULL, NULL);

	(void)events;
	if (fd < 0)
		return;
	cr_assert_lt(++server->count, CONNECTIONS_MAX);
	(void)fcntl(fd, F_SETFL, O_NONBLOCK);
	*connection = (connection_t){.server = server, .fd = fd};
	ev_io_init(&connection->readable, on_readable, fd, EV_READ);
	ev_io_init(&connection->writable, server->on_writable, fd, EV_WRITE);
	connection->readable.data = connection;
	connection->writable.data = connection;
	ev_io_start(loop, &connection->readable);
}

/* Lists a server with the model MODEL that responds as kind says. */
static server_t *
server_new(entry_fixture_t *fixture, const endless_t *kind)
{
	server_t *server = calloc(1, sizeof(*server));
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);
	size_t repeat_len = strlen(kind->repeat);
	char address[AT_ADDR_SIZE];

	server->loop = fixture->loop;
	server->kind = kind;
	server->on_writable = on_writable;
	while (server->block_len + repeat_len <= sizeof(server->block)) {
		memcpy(server->block + server->block_len, kind->repeat,
		    repeat_len);
		server->block_len += repeat_len;
	}
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	cr_assert_eq(
	    bind(server->fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(listen(server->fd, CONNECTIONS_MAX), 0);
	cr_assert_eq(
	    getsockname(server->fd, (struct sockaddr *)&bound, &len), 0);
	ev_io_init(&server->acceptable, on_acceptable, server->fd, EV_READ);
	server->acceptable.data = server;
	ev_io_start(fixture->loop, &server->acceptable);
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(bound.sin_port));
	standin_store_put(fixture->store, WIRE_KIND_SERVERS, "endless",
	    standin_server_spec(
		"llm", address, "north", ENTRY_FIXTURE_VERSION, MODEL, 0, 1));
	return server;
}

static void
server_delete(server_t *server)
{
	size_t i;

	ev_io_stop(server->loop, &server->acceptable);
	(void)close(server->fd);
	for (i = 0; i < server->count; i++) {
		if (ev_is_active(&server->connections[i].readable))
			close_connection(&server->connections[i]);
	}
	free(server);
}

static int
has_both_servers(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return at_fleet_count(fixture->entries[0]->fleet) == 2;
}

static int
is_done(void *ctx)
{
	return ((const entry_fixture_response_t *)ctx)->done;
}

/* Of these no byte is a part of the head or the body. */
static int
is_no_part(const endless_t *kind)
{
	return strcmp(kind->name, "the size of a chunk") == 0 ||
	       strcmp(kind->name, "the extension of a chunk") == 0;
}

static void
run_kind(const endless_t *kind)
{
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t responses[REQUESTS];
	entry_fixture_response_t sound;
	const entry_fixture_request_t sound_request = {
	    "POST", "/stream/y", "sound", ENTRY_FIXTURE_KEY, "m0", "prompt"};
	entry_fixture_request_t request = {
	    "POST", kind->target, "id", ENTRY_FIXTURE_KEY, MODEL, "prompt"};
	server_t *server;
	uint64_t start_ms;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_engine(fixture, "m0");
	(void)entry_fixture_add_entry(fixture);
	server = server_new(fixture, kind);
	entry_fixture_run_until_ready(fixture);
	entry_fixture_run_until(fixture, has_both_servers, fixture);
	start_ms = at_clock_now_ms();
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_send(fixture, 0, &request, &responses[i]);
	entry_fixture_run_ms(fixture, 50);
	entry_fixture_call(fixture, 0, &sound_request, &sound);
	cr_assert_eq(sound.status, 200, "%s", kind->name);
	cr_assert_lt(at_clock_now_ms(), start_ms + SOUND_MS, "%s", kind->name);
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_run_until(fixture, is_done, &responses[i]);
	cr_assert_lt(at_clock_now_ms(), start_ms + DONE_MS, "%s took %llu ms",
	    kind->name, (unsigned long long)(at_clock_now_ms() - start_ms));
	entry_fixture_run_ms(fixture, 300);
	cr_assert_geq(server->requests, REQUESTS, "%s", kind->name);
	cr_assert_eq(server->closed, server->requests, "%s: %zu open",
	    kind->name, server->requests - server->closed);
	cr_assert(!is_no_part(kind) ||
		      server->sent_bytes <= server->requests * NO_PART_MAX,
	    "%s: %llu bytes at %zu requests", kind->name,
	    (unsigned long long)server->sent_bytes, server->requests);
	cr_assert_leq(server->sent_bytes, BYTES_MAX, "%s: %llu bytes",
	    kind->name, (unsigned long long)server->sent_bytes);
	for (i = 0; i < REQUESTS; i++)
		entry_fixture_response_free(&responses[i]);
	entry_fixture_response_free(&sound);
	server_delete(server);
	entry_fixture_delete(fixture);
}

#define KIND_TEST(number, name)           \
	Test(endless_bytes, name)         \
	{                                 \
		run_kind(&kinds[number]); \
	}

KIND_TEST(0, no_response)
KIND_TEST(1, a_line_of_the_head)
KIND_TEST(2, lines_of_the_head)
KIND_TEST(3, lines_of_the_head_unsafe)
KIND_TEST(4, informational_responses)
KIND_TEST(5, an_event)
KIND_TEST(6, an_event_in_chunks)
KIND_TEST(7, the_size_of_a_chunk)
KIND_TEST(8, the_extension_of_a_chunk)
KIND_TEST(9, the_trailer)
KIND_TEST(10, the_body_of_a_failure)
KIND_TEST(11, the_body_of_a_failure_unsafe)
KIND_TEST(12, the_body_of_a_refusal)
KIND_TEST(13, the_body_of_a_refusal_unsafe)
KIND_TEST(14, a_body_shorter_than_its_length)

/* Responses that have neither a length nor chunks end with their connection. */
static const struct {
	const char *name;
	const char *target;
	const char *response;
	int is_reset;
	int status;
	int is_complete;
} ended[] = {
    {"a whole stream", "/once/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\nid: 1\ndata: a\n\n", 0, 200, 1},
    {"a stream that ends inside an event", "/once/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\nid: 1\ndata: a\n\nid: 2\nda", 0, 200,
	0},
    {"a stream that is reset", "/once/x",
	"HTTP/1.1 200 OK\r\n" SIGNED "\r\nid: 1\ndata: a\n\n", 1, 200, 0},
    {"a whole body", "/once/x", "HTTP/1.1 400 Bad\r\n" SIGNED "\r\nabc", 0, 400,
	1},
    {"a body that is reset", "/once/x", "HTTP/1.1 400 Bad\r\n" SIGNED "\r\nabc",
	1, 502, 1},
};

static void
send_and_close(struct ev_loop *loop, ev_io *io, int events)
{
	connection_t *connection = io->data;
	const struct linger reset = {.l_onoff = 1, .l_linger = 0};
	const char *response = connection->server->kind->begin;

	(void)loop;
	(void)events;
	if (connection->begin_sent == 0) {
		(void)send(
		    connection->fd, response, strlen(response), MSG_NOSIGNAL);
		connection->begin_sent = 1;
		return;
	}
	/* The loop has gone round, so that the bytes have been read. */
	if (connection->begin_sent++ < 20)
		return;
	if (connection->server->kind->repeat[0] == 'r')
		(void)setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
	close_connection(connection);
}

static void
run_ended(size_t i)
{
	const endless_t kind = {ended[i].name, ended[i].target,
	    ended[i].response, ended[i].is_reset ? "r" : "-"};
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;
	entry_fixture_request_t request = {
	    "POST", ended[i].target, "id", ENTRY_FIXTURE_KEY, MODEL, "prompt"};
	server_t *server;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_engine(fixture, "m0");
	(void)entry_fixture_add_entry(fixture);
	server = server_new(fixture, &kind);
	server->on_writable = send_and_close;
	entry_fixture_run_until(fixture, has_both_servers, fixture);
	entry_fixture_call(fixture, 0, &request, &response);
	cr_assert_eq(response.status, ended[i].status, "%s: status %d",
	    ended[i].name, response.status);
	cr_assert_eq(
	    response.is_complete, ended[i].is_complete, "%s", ended[i].name);
	entry_fixture_response_free(&response);
	server_delete(server);
	entry_fixture_delete(fixture);
}

Test(endless_bytes, a_response_ends_with_its_connection)
{
	size_t i;

	for (i = 0; i < sizeof(ended) / sizeof(ended[0]); i++)
		run_ended(i);
}
