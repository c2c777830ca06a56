/*
 * Responses that break the syntax or the framing of HTTP/1.1 (RFC 9112), as raw
 * bytes: what could be read in two ways is not passed on.
 */
#include <arpa/inet.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>

#include "platform/names.h"
#include "support/entry_fixture.h"

#define SIGNED WIRE_REQUEST_ID ": id\r\n" WIRE_SIGNATURE ": sig\r\n"
#define OK "HTTP/1.1 200 OK\r\n" SIGNED
#define TURNS_BEFORE_CLOSE 20

typedef struct form {
	const char *name;
	const char *bytes;
	int status; /* what the caller gets */
	const char *body;
	size_t len; /* of bytes; 0: up to the NUL */
} form_t;

#define BAD(name, bytes)                  \
	{                                 \
		name, bytes, 502, NULL, 0 \
	}

static const form_t forms[] = {
    {"a proper response", OK "Content-Length: 5\r\n\r\nhello", 200, "hello", 0},
    /* RFC 9112, 2.3 and 4: the status line. */
    BAD("a status of four digits",
	"HTTP/1.1 2000 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("a status of two digits",
	"HTTP/1.1 20 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("a status that is no number",
	"HTTP/1.1 abc OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("another protocol",
	"ICY 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("a version that was not asked for",
	"HTTP/2 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("a version that does not exist",
	"HTTP/9.9 200 OK\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("a switch of protocols that was not asked for",
	"HTTP/1.1 101 Switching\r\n" SIGNED "Upgrade: x\r\n\r\nhello"),
    {"no reason", "HTTP/1.1 200\r\n" SIGNED "Content-Length: 5\r\n\r\nhello",
	200, "hello", 0},
    {"a response before the response",
	"HTTP/1.1 103 Early\r\nX-A: b\r\nContent-Length: 3\r\n\r\n" OK
	"Content-Length: 5\r\n\r\nhello",
	200, "hello", 0},
    /* 5: fields. */
    BAD("a space before the colon of the length",
	OK "Content-Length : 5\r\n\r\nhello"),
    BAD("a space before the colon",
	OK "X-A : b\r\nContent-Length: 5\r\n\r\nhello"),
    BAD("a name that is no token",
	OK "X(A): b\r\nContent-Length: 5\r\n\r\nhello"),
    BAD("no colon", OK "X-A\r\nContent-Length: 5\r\n\r\nhello"),
    BAD("a carriage return alone in a value",
	OK "X-A: b\rX-B: c\r\nContent-Length: 5\r\n\r\nhello"),
    BAD("a control byte in a value",
	OK "X-A: b\001c\r\nContent-Length: 5\r\n\r\nhello"),
    {"a NUL in a value", OK "X-A: b\0c\r\nContent-Length: 5\r\n\r\nhello", 502,
	NULL, sizeof(OK "X-A: b\0c\r\nContent-Length: 5\r\n\r\nhello") - 1},
    BAD("a value that is folded",
	OK "X-A: b\r\n c\r\nContent-Length: 5\r\n\r\nhello"),
    {"lines that end with a line feed alone",
	"HTTP/1.1 200 OK\n" WIRE_REQUEST_ID ": id\n" WIRE_SIGNATURE
	": sig\nContent-Length: 5\n\nhello",
	200, "hello", 0},
    /* 6: the transfer coding and the length. */
    BAD("two lengths that differ",
	OK "Content-Length: 2\r\nContent-Length: 5\r\n\r\nhello"),
    BAD("two lengths that differ, the longer one first",
	OK "Content-Length: 5\r\nContent-Length: 2\r\n\r\nhello"),
    BAD("two lengths in one line", OK "Content-Length: 5, 2\r\n\r\nhello"),
    BAD("a length and something", OK "Content-Length: 5x\r\n\r\nhello"),
    BAD("a length with a sign", OK "Content-Length: +5\r\n\r\nhello"),
    BAD("a negative length", OK "Content-Length: -5\r\n\r\nhello"),
    BAD("an empty length", OK "Content-Length:\r\n\r\nhello"),
    BAD("a length beyond 64 bits",
	OK "Content-Length: 18446744073709551621\r\n\r\nhello"),
    BAD("a length and a coding",
	OK "Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
	   "5\r\nhello\r\n0\r\n\r\n"),
    BAD("a coding and a length",
	OK "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n"
	   "5\r\nhello\r\n0\r\n\r\n"),
    BAD("another coding", OK "Transfer-Encoding: gzip\r\n\r\nhello"),
    BAD("identity", OK "Transfer-Encoding: identity\r\n\r\nhello"),
    BAD("a coding after chunked",
	OK "Transfer-Encoding: chunked, identity\r\n\r\n"
	   "5\r\nhello\r\n0\r\n\r\n"),
    BAD("chunked twice", OK "Transfer-Encoding: chunked, chunked\r\n\r\n"
			    "5\r\nhello\r\n0\r\n\r\n"),
    BAD("a space before the colon of the coding",
	OK "Transfer-Encoding : chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"),
    BAD("chunks in HTTP/1.0",
	"HTTP/1.0 200 OK\r\n" SIGNED "Transfer-Encoding: chunked\r\n\r\n"
	"5\r\nhello\r\n0\r\n\r\n"),
    {"two lengths that are equal",
	OK "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello", 200, "hello",
	0},
    {"chunks",
	OK "Transfer-Encoding: Chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\n"
	   "Content-Length: 2\r\n\r\n",
	200, "hello", 0},
    {"no length", OK "\r\nhello", 200, "hello", 0},
    BAD("a body that is shorter than its length",
	OK "Content-Length: 9\r\n\r\nhello"),
    {"a body that is longer than its length",
	OK "Content-Length: 5\r\n\r\nhelloHTTP/1.1 200 OK\r\n\r\n", 200,
	"hello", 0},
    {"no content, with a body",
	"HTTP/1.1 204 No\r\n" SIGNED "Content-Length: 5\r\n\r\nhello", 204, "",
	0},
    /* 7: chunks. */
    BAD("chunks without an end",
	OK "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n"),
    BAD("a chunk's size that is none",
	OK "Transfer-Encoding: chunked\r\n\r\ng\r\nhello\r\n0\r\n\r\n"),
    BAD("a negative chunk's size",
	OK "Transfer-Encoding: chunked\r\n\r\n-5\r\nhello\r\n0\r\n\r\n"),
    BAD("a chunk that is longer than its size",
	OK "Transfer-Encoding: chunked\r\n\r\n4\r\nhello\r\n0\r\n\r\n"),
};

/* RFC 9110, 15: a status is 100 to 599. */
static const form_t statuses[] = {
    BAD("status 000",
	"HTTP/1.1 000 None\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("status 099",
	"HTTP/1.1 099 None\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("status 600",
	"HTTP/1.1 600 None\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("status 999",
	"HTTP/1.1 999 None\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    BAD("status 000 with a body up to the end of the connection",
	"HTTP/1.1 000 None\r\n" SIGNED "\r\nhello"),
    BAD("status 600 after an interim response",
	"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 600 None\r\n" SIGNED
	"Content-Length: 5\r\n\r\nhello"),
    BAD("status 000 after an interim response",
	"HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 000 None\r\n" SIGNED
	"Content-Length: 5\r\n\r\nhello"),
    BAD("a response after one with status 000",
	"HTTP/1.1 000 None\r\nContent-Length: 0\r\n\r\n" OK
	"Content-Length: 5\r\n\r\nhello"),
    BAD("an interim response only",
	"HTTP/1.1 100 Continue\r\n" SIGNED "Content-Length: 5\r\n\r\nhello"),
    {"status 599",
	"HTTP/1.1 599 Other\r\n" SIGNED "Content-Length: 5\r\n\r\nhello", 599,
	"hello", 0},
};

typedef struct server {
	const form_t *form;
	struct ev_loop *loop;
	int fd;
	int connection;
	int turns; /* of the loop since the response was sent */
	ev_io acceptable;
	ev_io readable;
	ev_check check;
} server_t;

static void
close_connection(server_t *server)
{
	if (server->connection < 0)
		return;
	ev_io_stop(server->loop, &server->readable);
	ev_check_stop(server->loop, &server->check);
	(void)close(server->connection);
	server->connection = -1;
}

static void
on_check(struct ev_loop *loop, ev_check *check, int events)
{
	server_t *server = check->data;

	(void)loop;
	(void)events;
	if (server->turns > 0 && ++server->turns > TURNS_BEFORE_CLOSE)
		close_connection(server);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	server_t *server = io->data;
	const form_t *form = server->form;
	size_t len = form->len == 0 ? strlen(form->bytes) : form->len;
	char buffer[4096];

	(void)loop;
	(void)events;
	if (recv(server->connection, buffer, sizeof(buffer), 0) <= 0) {
		close_connection(server);
		return;
	}
	if (server->turns++ == 0)
		(void)send(server->connection, form->bytes, len, MSG_NOSIGNAL);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	server_t *server = io->data;

	(void)events;
	close_connection(server);
	server->connection = accept(server->fd, NULL, NULL);
	cr_assert_geq(server->connection, 0);
	server->turns = 0;
	ev_io_init(&server->readable, on_readable, server->connection, EV_READ);
	ev_check_init(&server->check, on_check);
	server->readable.data = server;
	server->check.data = server;
	ev_io_start(loop, &server->readable);
	ev_check_start(loop, &server->check);
}

/* Lists a server of the service "plain". */
static void
server_init(server_t *server, entry_fixture_t *fixture)
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);
	char address[AT_ADDR_SIZE];

	memset(server, 0, sizeof(*server));
	server->loop = fixture->loop;
	server->connection = -1;
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	cr_assert_eq(
	    bind(server->fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(listen(server->fd, 16), 0);
	cr_assert_eq(
	    getsockname(server->fd, (struct sockaddr *)&bound, &len), 0);
	ev_io_init(&server->acceptable, on_acceptable, server->fd, EV_READ);
	server->acceptable.data = server;
	ev_io_start(fixture->loop, &server->acceptable);
	(void)snprintf(
	    address, sizeof(address), "127.0.0.1:%u", ntohs(bound.sin_port));
	standin_store_put(fixture->store, WIRE_KIND_SERVERS, "raw",
	    standin_server_spec(
		"plain", address, "north", ENTRY_FIXTURE_VERSION, NULL, 0, 1));
}

static void
server_close(server_t *server)
{
	close_connection(server);
	ev_io_stop(server->loop, &server->acceptable);
	(void)close(server->fd);
}

static int
has_server(void *ctx)
{
	const entry_fixture_t *fixture = ctx;

	return at_fleet_count(fixture->entries[0]->fleet) == 1;
}

static const form_t with_options = {"two lists",
    OK "Connection: X-Hop-1\r\nConnection: keep-alive, x-hop-2\r\n"
       "X-Hop-1: 1\r\nX-Hop-2: 2\r\nX-End: 3\r\nContent-Length: 0\r\n\r\n",
    200, "", 0};

typedef struct passed_on {
	int hops;
	int ends;
	int is_done;
} passed_on_t;

static void
count_header(void *ctx, const char *name, const char *value)
{
	passed_on_t *passed_on = ctx;

	(void)value;
	passed_on->hops += strncmp(name, "X-Hop", strlen("X-Hop")) == 0;
	passed_on->ends += strcmp(name, "X-End") == 0;
}

static void
on_headers(void *ctx, at_transfer_t *transfer, int status)
{
	(void)status;
	at_transfer_each_header(transfer, count_header, ctx);
}

static void
on_done(void *ctx, const at_transfer_result_t *result)
{
	(void)result;
	((passed_on_t *)ctx)->is_done = 1;
}

static int
is_done(void *ctx)
{
	return ((passed_on_t *)ctx)->is_done;
}

/* What a server's Connection header names went on to the caller. */
Test(response_framing, headers_of_the_connection_are_not_passed_on,
    .timeout = 120)
{
	static const char *const headers[] = {"Host: " ENTRY_FIXTURE_HOST,
	    "Authorization: Bearer " ENTRY_FIXTURE_KEY, WIRE_REQUEST_ID ": id",
	    NULL};
	entry_fixture_t *fixture = entry_fixture_new();
	passed_on_t passed_on = {0};
	const at_transfer_events_t events = {
	    .on_headers = on_headers, .on_done = on_done, .ctx = &passed_on};
	at_transfer_spec_t spec = {
	    .method = "POST", .target = "/unsafe/x", .headers = headers};
	server_t server;
	char url[AT_ADDR_SIZE + 16];

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_entry(fixture);
	server_init(&server, fixture);
	server.form = &with_options;
	entry_fixture_run_until(fixture, has_server, fixture);
	(void)snprintf(url, sizeof(url), "http://%s/", fixture->addresses[0]);
	spec.url = url;
	cr_assert_not_null(at_httpc_start(fixture->httpc, &spec, &events));
	entry_fixture_run_until(fixture, is_done, &passed_on);
	cr_expect_eq(passed_on.hops, 0, "%d", passed_on.hops);
	cr_expect_eq(passed_on.ends, 1, "%d", passed_on.ends);
	server_close(&server);
	entry_fixture_delete(fixture);
}

static void
check_forms(const form_t *rows, size_t count)
{
	static const entry_fixture_request_t request = {
	    "POST", "/unsafe/x", "id", ENTRY_FIXTURE_KEY, NULL, "body"};
	entry_fixture_t *fixture = entry_fixture_new();
	entry_fixture_response_t response;
	server_t server;
	size_t i;

	entry_fixture_apply_config(fixture, 1);
	(void)entry_fixture_add_entry(fixture);
	server_init(&server, fixture);
	entry_fixture_run_until(fixture, has_server, fixture);
	for (i = 0; i < count; i++) {
		server.form = &rows[i];
		entry_fixture_call(fixture, 0, &request, &response);
		cr_expect_eq(response.status, rows[i].status,
		    "%s: status %d, body '%.20s'", rows[i].name,
		    response.status,
		    response.body == NULL ? "" : response.body);
		if (rows[i].body != NULL)
			cr_expect(response.len == strlen(rows[i].body) &&
				      (response.len == 0 ||
					  memcmp(response.body, rows[i].body,
					      response.len) == 0),
			    "%s: body '%.20s'", rows[i].name, response.body);
		entry_fixture_response_free(&response);
	}
	server_close(&server);
	entry_fixture_delete(fixture);
}

/* Of two lengths, one was taken, and a part of the body for all of it. */
Test(response_framing, is_read_in_one_way_only, .timeout = 120)
{
	check_forms(forms, sizeof(forms) / sizeof(forms[0]));
}

/* Statuses that HTTP does not have were passed on to callers. */
Test(response_framing, has_a_valid_status, .timeout = 120)
{
	check_forms(statuses, sizeof(statuses) / sizeof(statuses[0]));
}
