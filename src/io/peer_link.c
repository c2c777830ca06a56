#include "io/peer_link.h"

#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <netinet/tcp.h>
#include <sodium.h>
#include <sys/socket.h>

#define READ_BYTES_MAX 65536u /* per call of recv() */

struct at_peer_link {
	at_peer_link_spec_t spec;
	at_peer_stream_t *stream;
	int fd;
	int is_broken; /* a write failed; on_readable() closes */
	ev_io readable;
	ev_io writable;
	uint8_t *queue;
	size_t queue_size;
	size_t queue_head;
	size_t queue_tail;
};

static void
close_link(at_peer_link_t *link, at_peer_fault_t fault)
{
	ev_io_stop(link->spec.loop, &link->readable);
	ev_io_stop(link->spec.loop, &link->writable);
	link->is_broken = 1;
	link->spec.events.on_closed(link->spec.events.ctx, fault);
}

/* Has the event loop close the link, outside any call of its owner. */
static void
break_link(at_peer_link_t *link)
{
	link->is_broken = 1;
	ev_io_stop(link->spec.loop, &link->writable);
	ev_feed_event(link->spec.loop, &link->readable, EV_READ);
}

static void
queue_free(at_peer_link_t *link)
{
	free(link->queue);
	link->queue = NULL;
	link->queue_size = 0;
	link->queue_head = 0;
	link->queue_tail = 0;
}

static void
queue_flush(at_peer_link_t *link)
{
	while (link->queue_head < link->queue_tail) {
		ssize_t n = send(link->fd, link->queue + link->queue_head,
		    link->queue_tail - link->queue_head, MSG_NOSIGNAL);

		if (n < 0 && errno == EINTR)
			continue;
		if (n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK)) {
			ev_io_start(link->spec.loop, &link->writable);
			return;
		}
		if (n < 0) {
			break_link(link);
			return;
		}
		link->queue_head += (size_t)n;
		link->spec.traffic->sent_bytes += (uint64_t)n;
	}
	ev_io_stop(link->spec.loop, &link->writable);
	queue_free(link);
}

/* Returns space for len bytes at the end of the queue, or NULL. */
static uint8_t *
queue_reserve(at_peer_link_t *link, size_t len)
{
	size_t used = link->queue_tail - link->queue_head;
	size_t size;
	uint8_t *grown;

	if (used + len > AT_PEER_QUEUE_MAX_BYTES)
		return NULL;
	if (link->queue_head > 0) {
		memmove(link->queue, link->queue + link->queue_head, used);
		link->queue_head = 0;
		link->queue_tail = used;
	}
	size = used + len;
	if (size > link->queue_size) {
		grown = realloc(link->queue, size);
		if (grown == NULL)
			return NULL;
		link->queue = grown;
		link->queue_size = size;
	}
	return link->queue + link->queue_tail;
}

int
at_peer_link_send(at_peer_link_t *link, const uint8_t *frame, size_t len)
{
	uint8_t *out;

	if (link->is_broken || !at_peer_stream_is_keyed(link->stream) ||
	    len > AT_PEER_FRAME_MAX_BYTES)
		return -1;
	out = queue_reserve(link, len + AT_PEER_LENGTH_SIZE + AT_PEER_TAG_SIZE);
	if (out == NULL)
		return -1;
	link->queue_tail += at_peer_stream_seal(link->stream, frame, len, out);
	if (!ev_is_active(&link->writable))
		queue_flush(link);
	return 0;
}

static void
send_preamble(at_peer_link_t *link)
{
	uint8_t *out = queue_reserve(link, AT_PEER_PREAMBLE_SIZE);

	if (out == NULL) {
		break_link(link);
		return;
	}
	at_peer_stream_preamble(link->stream, out);
	link->queue_tail += AT_PEER_PREAMBLE_SIZE;
	ev_io_start(link->spec.loop, &link->writable);
}

static void
on_writable(struct ev_loop *loop, ev_io *io, int events)
{
	(void)loop;
	(void)events;
	queue_flush(io->data);
}

static void
receive_bytes(at_peer_link_t *link, const uint8_t *data, size_t len)
{
	const at_peer_link_events_t *events = &link->spec.events;
	int was_keyed = at_peer_stream_is_keyed(link->stream);
	at_peer_fault_t fault;

	fault = at_peer_stream_feed(
	    link->stream, data, len, events->on_frame, events->ctx);
	if (fault != AT_PEER_FAULT_NONE)
		close_link(link, fault);
	else if (!was_keyed && at_peer_stream_is_keyed(link->stream))
		events->on_keyed(events->ctx);
}

static void
on_readable(struct ev_loop *loop, ev_io *io, int events)
{
	at_peer_link_t *link = io->data;
	uint8_t data[READ_BYTES_MAX];
	ssize_t n;

	(void)loop;
	(void)events;
	if (link->is_broken) {
		close_link(link, AT_PEER_FAULT_NONE);
		return;
	}
	n = recv(link->fd, data, sizeof(data), 0);
	if (n < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (n <= 0) {
		close_link(link, AT_PEER_FAULT_NONE);
		return;
	}
	link->spec.traffic->received_bytes += (uint64_t)n;
	receive_bytes(link, data, (size_t)n);
}

/* Takes ownership of fd, and closes it if it returns NULL. */
static at_peer_link_t *
link_new(const at_peer_link_spec_t *spec, int fd, int is_dialer)
{
	at_peer_link_t *link = calloc(1, sizeof(*link));
	uint8_t nonce[AT_PEER_NONCE_SIZE];
	int on = 1;

	randombytes_buf(nonce, sizeof(nonce));
	if (link != NULL)
		link->stream =
		    at_peer_stream_new(spec->secret, is_dialer, nonce);
	if (link == NULL || link->stream == NULL) {
		free(link);
		(void)close(fd);
		return NULL;
	}
	(void)setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	link->spec = *spec;
	link->fd = fd;
	ev_io_init(&link->readable, on_readable, fd, EV_READ);
	ev_io_init(&link->writable, on_writable, fd, EV_WRITE);
	link->readable.data = link;
	link->writable.data = link;
	ev_io_start(spec->loop, &link->readable);
	send_preamble(link);
	return link;
}

at_peer_link_t *
at_peer_link_dial(
    const at_peer_link_spec_t *spec, const struct sockaddr_in *addr)
{
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);

	if (fd < 0)
		return NULL;
	if (connect(fd, (const struct sockaddr *)addr, sizeof(*addr)) != 0 &&
	    errno != EINPROGRESS) {
		(void)close(fd);
		return NULL;
	}
	return link_new(spec, fd, 1);
}

at_peer_link_t *
at_peer_link_accept(const at_peer_link_spec_t *spec, int fd)
{
	return link_new(spec, fd, 0);
}

void
at_peer_link_delete(at_peer_link_t *link)
{
	if (link == NULL)
		return;
	ev_io_stop(link->spec.loop, &link->readable);
	ev_io_stop(link->spec.loop, &link->writable);
	(void)close(link->fd);
	at_peer_stream_delete(link->stream);
	queue_free(link);
	free(link);
}
