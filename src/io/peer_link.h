/*
 * peer_link.h - one TCP connection between two instances: a peer stream on
 * a non-blocking socket with a bounded send queue.
 */
#ifndef ALMONDTHREAD_IO_PEER_LINK_H
#define ALMONDTHREAD_IO_PEER_LINK_H

#include <ev.h>
#include <netinet/in.h>

#include "io/peer_stream.h"

/* Bytes that wait on one link at most. */
#define AT_PEER_QUEUE_MAX_BYTES (2u * AT_PEER_FRAME_MAX_BYTES)

typedef struct at_peer_link at_peer_link_t;

/* Bytes of all links of one owner, preambles and lengths included. */
typedef struct at_peer_traffic {
	uint64_t sent_bytes;
	uint64_t received_bytes;
} at_peer_traffic_t;

/*
 * Callbacks of a link. on_frame returns a fault to end the link and must not
 * delete it; on_closed is called once, never from within a call of this
 * module's, and the owner deletes the link in it or later.
 */
typedef struct at_peer_link_events {
	void (*on_keyed)(void *ctx);
	at_peer_frame_t on_frame;
	void (*on_closed)(void *ctx, at_peer_fault_t fault);
	void *ctx;
} at_peer_link_events_t;

/* What links of one owner share. Pointers are borrowed. */
typedef struct at_peer_link_spec {
	struct ev_loop *loop;
	const at_fleet_secret_t *secret;
	at_peer_traffic_t *traffic;
	at_peer_link_events_t events;
} at_peer_link_spec_t;

/* at_peer_link_dial() connects to addr. NULL when a system call failed. */
at_peer_link_t *at_peer_link_dial(
    const at_peer_link_spec_t *spec, const struct sockaddr_in *addr);
/* at_peer_link_accept() takes over an accepted socket. */
at_peer_link_t *at_peer_link_accept(const at_peer_link_spec_t *spec, int fd);
/* at_peer_link_delete() closes the socket; no callback runs any more. */
void at_peer_link_delete(at_peer_link_t *link);

/*
 * at_peer_link_send() seals and queues a frame. Returns 0, or -1 when the
 * link is not keyed, is broken or has no room; nothing left us then.
 */
int at_peer_link_send(at_peer_link_t *link, const uint8_t *frame, size_t len);

#endif
