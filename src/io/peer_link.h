/*
 * peer_link.h - one TCP connection between two instances: a peer stream on
 * a non-blocking socket with a limited send queue.
 */
#ifndef ALMONDTHREAD_IO_PEER_LINK_H
#define ALMONDTHREAD_IO_PEER_LINK_H

#include <ev.h>
#include <netinet/in.h>

#include "io/peer_stream.h"

/* Size limit of the send queue of a link. */
#define AT_PEER_QUEUE_MAX_BYTES (2u * AT_PEER_FRAME_MAX_BYTES)

typedef struct at_peer_link at_peer_link_t;

/* Bytes on all links of one owner, with preambles and frame lengths. */
typedef struct at_peer_traffic {
	uint64_t sent_bytes;
	uint64_t received_bytes;
} at_peer_traffic_t;

/*
 * Callbacks of a link. on_keyed is called when frames can be sent. on_frame
 * returns AT_PEER_FAULT_NONE, or a fault that ends the link; it must not delete
 * the link. on_closed is called once and only from the event loop, never within
 * a call of this module; the owner deletes the link in it or later.
 */
typedef struct at_peer_link_events {
	void (*on_keyed)(void *ctx);
	at_peer_frame_t on_frame;
	void (*on_closed)(void *ctx, at_peer_fault_t fault);
	void *ctx;
} at_peer_link_events_t;

/* Parameters of a link. The pointers must outlive it. */
typedef struct at_peer_link_spec {
	struct ev_loop *loop;
	const at_fleet_secret_t *secret;
	at_peer_traffic_t *traffic;
	at_peer_link_events_t events;
} at_peer_link_spec_t;

/* at_peer_link_dial() begins to connect to addr. Returns NULL on failure. */
at_peer_link_t *at_peer_link_dial(
    const at_peer_link_spec_t *spec, const struct sockaddr_in *addr);
/* at_peer_link_accept() owns fd, and closes it if it returns NULL. */
at_peer_link_t *at_peer_link_accept(const at_peer_link_spec_t *spec, int fd);
/* at_peer_link_delete() closes the socket. No callback runs after it. */
void at_peer_link_delete(at_peer_link_t *link);

/*
 * at_peer_link_send() seals and queues a frame. Returns 0, or -1 if the link
 * is not keyed, has failed or its queue is full; nothing is sent then.
 */
int at_peer_link_send(at_peer_link_t *link, const uint8_t *frame, size_t len);

#endif
