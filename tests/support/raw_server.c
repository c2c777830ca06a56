#include "support/raw_server.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <criterion/criterion.h>
#include <utlist.h>

struct raw_connection {
	raw_server_t *server;
	raw_connection_t *next;
	int fd;
	int is_answered;
	ev_io readable;
};

static void
close_connection(raw_connection_t *connection)
{
	const struct linger reset = {.l_onoff = 1};
	raw_server_t *server = connection->server;

	ev_io_stop(server->loop, &connection->readable);
	if (server->end == RAW_RESET)
		(void)setsockopt(connection->fd, SOL_SOCKET, SO_LINGER, &reset,
		    sizeof(reset));
	(void)close(connection->fd);
	LL_DELETE(server->connections, connection);
	free(connection);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	raw_connection_t *connection = io->data;
	raw_server_t *server = connection->server;
	char buffer[4096];

	(void)loop;
	(void)events;
	if (recv(connection->fd, buffer, sizeof(buffer), 0) <= 0) {
		close_connection(connection);
		return;
	}
	if (connection->is_answered)
		return;
	connection->is_answered = 1;
	server->responses++;
	(void)send(connection->fd, server->bytes, server->len, MSG_NOSIGNAL);
	if (server->end == RAW_RESET)
		close_connection(connection);
	else
		(void)shutdown(connection->fd, SHUT_WR);
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	raw_server_t *server = io->data;
	raw_connection_t *connection = calloc(1, sizeof(*connection));

	(void)events;
	connection->server = server;
	connection->fd = accept(server->fd, NULL, NULL);
	cr_assert_geq(connection->fd, 0);
	LL_PREPEND(server->connections, connection);
	ev_io_init(&connection->readable, on_readable, connection->fd, EV_READ);
	connection->readable.data = connection;
	ev_io_start(loop, &connection->readable);
}

void
raw_server_init(raw_server_t *server, struct ev_loop *loop)
{
	struct sockaddr_in bound = {
	    .sin_family = AF_INET, .sin_addr = {htonl(INADDR_LOOPBACK)}};
	socklen_t len = sizeof(bound);

	memset(server, 0, sizeof(*server));
	server->loop = loop;
	server->bytes = "";
	server->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	cr_assert_eq(
	    bind(server->fd, (struct sockaddr *)&bound, sizeof(bound)), 0);
	cr_assert_eq(listen(server->fd, 64), 0);
	cr_assert_eq(
	    getsockname(server->fd, (struct sockaddr *)&bound, &len), 0);
	(void)snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
	    ntohs(bound.sin_port));
	ev_io_init(&server->acceptable, on_acceptable, server->fd, EV_READ);
	server->acceptable.data = server;
	ev_io_start(loop, &server->acceptable);
}

void
raw_server_close(raw_server_t *server)
{
	while (server->connections != NULL)
		close_connection(server->connections);
	ev_io_stop(server->loop, &server->acceptable);
	(void)close(server->fd);
}
