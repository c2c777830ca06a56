#include "standin/standin.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "io/address.h"

#define BLOCK_SIZE (64u * 1024) /* bytes held in one direction */
#define RETRY_S 0.02            /* between looks at bytes held back */

/* One direction of a connection. */
typedef struct pipe {
	char data[BLOCK_SIZE];
	size_t start;
	size_t end;
	double due; /* when the bytes held may go on */
	int from;
	int to;
	int ended; /* the sender closed */
	ev_io readable;
	ev_io writable;
	ev_timer retry;
	struct relayed *owner;
} pipe_t;

typedef struct relayed {
	struct relayed *next;
	struct relayed *prev;
	standin_relay_t *relay;
	pipe_t pipes[2];
	int silent; /* for good */
} relayed_t;

struct standin_relay {
	struct ev_loop *loop;
	at_httpd_t *control;
	standin_faults_t faults;
	struct sockaddr_in target;
	int listen_fd;
	uint16_t port;
	ev_io acceptable;
	relayed_t *open;
};

static void
relayed_delete(relayed_t *r)
{
	struct ev_loop *loop = r->relay->loop;
	int i;

	for (i = 0; i < 2; i++) {
		ev_io_stop(loop, &r->pipes[i].readable);
		ev_io_stop(loop, &r->pipes[i].writable);
		ev_timer_stop(loop, &r->pipes[i].retry);
	}
	(void)close(r->pipes[0].from);
	(void)close(r->pipes[0].to);
	if (r->prev != NULL)
		r->prev->next = r->next;
	else
		r->relay->open = r->next;
	if (r->next != NULL)
		r->next->prev = r->prev;
	free(r);
}

static int
held_back(const pipe_t *p)
{
	const standin_faults_t *f = &p->owner->relay->faults;

	return p->owner->silent || f->silent ||
	       ev_now(p->owner->relay->loop) < p->due;
}

static void
wait_for_bytes(pipe_t *p)
{
	struct ev_loop *loop = p->owner->relay->loop;

	ev_io_stop(loop, &p->writable);
	if (p->start == p->end && !p->ended)
		ev_io_start(loop, &p->readable);
}

/* Passes on what may go; returns -1 when the connection is over. */
static int
pass_on(pipe_t *p)
{
	struct ev_loop *loop = p->owner->relay->loop;
	ssize_t n;

	if (held_back(p)) {
		ev_io_stop(loop, &p->writable);
		ev_timer_set(&p->retry, RETRY_S, 0.);
		ev_timer_start(loop, &p->retry);
		return 0;
	}
	while (p->start < p->end) {
		n = send(
		    p->to, p->data + p->start, p->end - p->start, MSG_NOSIGNAL);
		if (n < 0 && (errno == EAGAIN || errno == EINPROGRESS ||
				 errno == ENOTCONN)) {
			ev_io_start(loop, &p->writable);
			return 0;
		}
		if (n < 0)
			return -1;
		p->start += (size_t)n;
	}
	if (p->ended)
		return -1;
	wait_for_bytes(p);
	return 0;
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	pipe_t *p = io->data;
	ssize_t n = recv(p->from, p->data, sizeof(p->data), 0);

	(void)events;
	if (n < 0 && errno == EAGAIN)
		return;
	ev_io_stop(loop, &p->readable);
	if (n <= 0)
		p->ended = 1;
	p->start = 0;
	p->end = n > 0 ? (size_t)n : 0;
	p->due = ev_now(loop) +
		 (double)p->owner->relay->faults.delay_ms / AT_MS_PER_S;
	if (pass_on(p) != 0)
		relayed_delete(p->owner);
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	pipe_t *p = io->data;

	(void)loop;
	(void)events;
	if (pass_on(p) != 0)
		relayed_delete(p->owner);
}

static void
on_retry(struct ev_loop *loop, ev_timer *timer, int events)
{
	pipe_t *p = timer->data;

	(void)loop;
	(void)events;
	if (pass_on(p) != 0)
		relayed_delete(p->owner);
}

static void
pipe_init(pipe_t *p, relayed_t *owner, int from, int to)
{
	p->owner = owner;
	p->from = from;
	p->to = to;
	ev_io_init(&p->readable, on_readable, from, EV_READ);
	ev_io_init(&p->writable, on_writable, to, EV_WRITE);
	ev_timer_init(&p->retry, on_retry, 0., 0.);
	p->readable.data = p;
	p->writable.data = p;
	p->retry.data = p;
	ev_io_start(owner->relay->loop, &p->readable);
}

static int
connect_to(const struct sockaddr_in *target)
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
	int fd =
	    accept4(relay->listen_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
	int other;
	relayed_t *r;

	(void)loop;
	(void)events;
	if (fd < 0)
		return;
	other = relay->faults.outage ? -1 : connect_to(&relay->target);
	r = other < 0 ? NULL : calloc(1, sizeof(*r));
	if (r == NULL) {
		(void)close(fd);
		if (other >= 0)
			(void)close(other);
		return;
	}
	r->relay = relay;
	r->next = relay->open;
	if (r->next != NULL)
		r->next->prev = r;
	relay->open = r;
	pipe_init(&r->pipes[0], r, fd, other);
	pipe_init(&r->pipes[1], r, other, fd);
}

static void
apply_faults(standin_relay_t *relay)
{
	relayed_t *r;

	while (relay->faults.outage && relay->open != NULL)
		relayed_delete(relay->open);
	if (!relay->faults.silent_old)
		return;
	relay->faults.silent_old = 0;
	for (r = relay->open; r != NULL; r = r->next)
		r->silent = 1;
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
	while (relay->open != NULL)
		relayed_delete(relay->open);
	ev_io_stop(relay->loop, &relay->acceptable);
	if (relay->listen_fd >= 0)
		(void)close(relay->listen_fd);
	at_httpd_delete(relay->control);
	free(relay);
}
