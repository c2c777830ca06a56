#include "standin/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/address.h"

#define BUFFER_SIZE_BYTES (64u * 1024) /* of one direction */
#define RETRY_S 0.02 /* between attempts while a fault blocks or delays */

/* One direction of a relayed connection and its buffer. */
typedef struct direction {
	char data[BUFFER_SIZE_BYTES];
	size_t start;
	size_t end;
	double due_s; /* earliest time to forward, by the time of the loop */
	int from_fd;
	int to_fd;
	int sender_closed; /* no more bytes to read */
	ev_io readable;
	ev_io writable;
	ev_timer retry;
	struct connection *owner;
} direction_t;

/* A client's connection and the one to the target. */
typedef struct connection {
	struct connection *next;
	struct connection *prev;
	standin_relay_t *relay;
	direction_t directions[2];
	int silent; /* by silent_old; never forwards again */
} connection_t;

struct standin_relay {
	struct ev_loop *loop;
	at_httpd_t *control;
	standin_faults_t faults;
	struct sockaddr_in target;
	int listen_fd;
	uint16_t port;
	ev_io acceptable;
	connection_t *connections;
};

static void
connection_delete(connection_t *connection)
{
	struct ev_loop *loop = connection->relay->loop;
	int i;

	for (i = 0; i < 2; i++) {
		ev_io_stop(loop, &connection->directions[i].readable);
		ev_io_stop(loop, &connection->directions[i].writable);
		ev_timer_stop(loop, &connection->directions[i].retry);
	}
	(void)close(connection->directions[0].from_fd);
	(void)close(connection->directions[0].to_fd);
	if (connection->prev != NULL)
		connection->prev->next = connection->next;
	else
		connection->relay->connections = connection->next;
	if (connection->next != NULL)
		connection->next->prev = connection->prev;
	free(connection);
}

static int
is_blocked(const direction_t *direction)
{
	const standin_faults_t *faults = &direction->owner->relay->faults;

	return direction->owner->silent || faults->silent ||
	       ev_now(direction->owner->relay->loop) < direction->due_s;
}

static void
resume_reading(direction_t *direction)
{
	struct ev_loop *loop = direction->owner->relay->loop;

	ev_io_stop(loop, &direction->writable);
	if (direction->start == direction->end && !direction->sender_closed)
		ev_io_start(loop, &direction->readable);
}

/*
 * Forwards the buffer unless a fault blocks it. Returns -1 when the
 * connection has failed or the sender has closed it, else 0.
 */
static int
forward(direction_t *direction)
{
	struct ev_loop *loop = direction->owner->relay->loop;
	ssize_t len;

	if (is_blocked(direction)) {
		ev_io_stop(loop, &direction->writable);
		ev_timer_set(&direction->retry, RETRY_S, 0.);
		ev_timer_start(loop, &direction->retry);
		return 0;
	}
	while (direction->start < direction->end) {
		len = send(direction->to_fd, direction->data + direction->start,
		    direction->end - direction->start, MSG_NOSIGNAL);
		if (len < 0 && (errno == EAGAIN || errno == EINPROGRESS ||
				   errno == ENOTCONN)) {
			ev_io_start(loop, &direction->writable);
			return 0;
		}
		if (len < 0)
			return -1;
		direction->start += (size_t)len;
	}
	if (direction->sender_closed)
		return -1;
	resume_reading(direction);
	return 0;
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	direction_t *direction = io->data;
	ssize_t len = recv(
	    direction->from_fd, direction->data, sizeof(direction->data), 0);

	(void)events;
	if (len < 0 && errno == EAGAIN)
		return;
	ev_io_stop(loop, &direction->readable);
	if (len <= 0)
		direction->sender_closed = 1;
	direction->start = 0;
	direction->end = len > 0 ? (size_t)len : 0;
	direction->due_s =
	    ev_now(loop) +
	    (double)direction->owner->relay->faults.delay_ms / AT_MS_PER_S;
	if (forward(direction) != 0)
		connection_delete(direction->owner);
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	direction_t *direction = io->data;

	(void)loop;
	(void)events;
	if (forward(direction) != 0)
		connection_delete(direction->owner);
}

static void
on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	direction_t *direction = timer->data;

	(void)loop;
	(void)events;
	if (forward(direction) != 0)
		connection_delete(direction->owner);
}

static void
direction_init(
    direction_t *direction, connection_t *owner, int from_fd, int to_fd)
{
	direction->owner = owner;
	direction->from_fd = from_fd;
	direction->to_fd = to_fd;
	ev_io_init(&direction->readable, on_readable, from_fd, EV_READ);
	ev_io_init(&direction->writable, on_writable, to_fd, EV_WRITE);
	ev_timer_init(&direction->retry, on_retry, 0., 0.);
	direction->readable.data = direction;
	direction->writable.data = direction;
	direction->retry.data = direction;
	ev_io_start(owner->relay->loop, &direction->readable);
}

static int
start_connect(const struct sockaddr_in *target)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return -1;
	if (connect(fd, (const struct sockaddr *)target, sizeof(*target)) !=
		0 &&
	    errno != EINPROGRESS) {
		(void)close(fd);
		return -1;
	}
	return fd;
}

static void
on_acceptable(struct ev_loop *loop, ev_io *io, int events)
{
	standin_relay_t *relay = io->data;
	int client_fd =
	    accept4(relay->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int target_fd;
	connection_t *connection;

	(void)loop;
	(void)events;
	if (client_fd < 0)
		return;
	target_fd = relay->faults.outage ? -1 : start_connect(&relay->target);
	connection = target_fd < 0 ? NULL : calloc(1, sizeof(*connection));
	if (connection == NULL) {
		(void)close(client_fd);
		if (target_fd >= 0)
			(void)close(target_fd);
		return;
	}
	connection->relay = relay;
	connection->next = relay->connections;
	if (connection->next != NULL)
		connection->next->prev = connection;
	relay->connections = connection;
	direction_init(
	    &connection->directions[0], connection, client_fd, target_fd);
	direction_init(
	    &connection->directions[1], connection, target_fd, client_fd);
}

static void
apply_faults(standin_relay_t *relay)
{
	connection_t *connection;

	while (relay->faults.outage && relay->connections != NULL)
		connection_delete(relay->connections);
	if (!relay->faults.silent_old)
		return;
	relay->faults.silent_old = 0;
	for (connection = relay->connections; connection != NULL;
	     connection = connection->next)
		connection->silent = 1;
}

static void
on_control(void *ctx, at_httpd_request_t *request)
{
	standin_relay_t *relay = ctx;
	size_t len;
	const char *body = at_httpd_body(request, &len);
	json_t *object = json_loadb(body, len, 0, NULL);

	standin_faults_update(&relay->faults, object);
	json_decref(object);
	apply_faults(relay);
	standin_reply_json(request, 200, json_object());
}

standin_relay_t *
standin_relay_new(struct ev_loop *loop)
{
	standin_relay_t *relay = calloc(1, sizeof(*relay));

	relay->loop = loop;
	relay->listen_fd = -1;
	relay->control = at_httpd_new(loop);
	at_httpd_set_handler(relay->control, on_control, relay);
	return relay;
}

at_code_t
standin_relay_init(standin_relay_t *relay, const char *address,
    const char *target, const char *control, at_status_t *status)
{
	struct sockaddr_in addr;
	socklen_t len = sizeof(addr);

	if (at_address_parse(address, &addr) != 0 ||
	    at_address_parse(target, &relay->target) != 0)
		return at_status_set(status, AT_INVALID,
		    "'%s' to '%s': expected IP:PORT", address, target);
	relay->listen_fd =
	    socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
	if (bind(relay->listen_fd, (struct sockaddr *)&addr, len) != 0 ||
	    listen(relay->listen_fd, SOMAXCONN) != 0 ||
	    getsockname(relay->listen_fd, (struct sockaddr *)&addr, &len) != 0)
		return at_status_set(status, AT_FAILED, "listen on %s: %s",
		    address, strerror(errno));
	relay->port = ntohs(addr.sin_port);
	ev_io_init(
	    &relay->acceptable, on_acceptable, relay->listen_fd, EV_READ);
	relay->acceptable.data = relay;
	ev_io_start(relay->loop, &relay->acceptable);
	return at_httpd_init(relay->control, control, status);
}

uint16_t
standin_relay_port(const standin_relay_t *relay)
{
	return relay->port;
}

uint16_t
standin_relay_control_port(const standin_relay_t *relay)
{
	return at_httpd_port(relay->control);
}

void
standin_relay_delete(standin_relay_t *relay)
{
	while (relay->connections != NULL)
		connection_delete(relay->connections);
	ev_io_stop(relay->loop, &relay->acceptable);
	if (relay->listen_fd >= 0)
		(void)close(relay->listen_fd);
	at_httpd_delete(relay->control);
	free(relay);
}
