/*
 * peers_internal.h - declarations shared by the files of the peers module:
 * peers.c (members, task owners, messages) and peers_conn.c (connections and
 * frames).
 */
#ifndef ALMONDTHREAD_IO_PEERS_INTERNAL_H
#define ALMONDTHREAD_IO_PEERS_INTERNAL_H

#include <uthash.h>

#include "io/peer_link.h"
#include "io/peers.h"
#include "peer.pb-c.h"

#define AT_PEERS_SEEDS_MAX 16u

typedef struct conn conn_t;

/* A member and its connections. */
typedef struct member {
	at_peer_member_t info;
	uint64_t name_hash;
	conn_t *conn;    /* after its hello, or NULL */
	conn_t *dialing; /* dialled; no hello received yet */
	uint64_t unlinked_since_ms;
	uint64_t dial_at_ms; /* earliest time of the next dial */
	uint32_t backoff_ms;
	uint64_t heartbeat_at_ms; /* when the next one is due */
	int leaving_listed;       /* stated by the newest instance list */
	int leaving_reported;     /* stated by its newest heartbeat */
	UT_hash_handle hh;
} member_t;

/* A seed address from the settings. */
typedef struct seed {
	struct sockaddr_in addr;
	char text[AT_ADDR_SIZE];
	conn_t *dialing;
	uint64_t dial_at_ms;
	uint32_t backoff_ms;
	int is_self; /* the address is this instance */
} seed_t;

/* A connection. member is NULL until the hello is received. */
struct conn {
	at_peers_t *peers;
	at_peer_link_t *link;
	member_t *member;
	member_t *dialled_member; /* the member that was dialled, or NULL */
	seed_t *seed;             /* the seed that was dialled, or NULL */
	int is_dialer;            /* this instance dialled */
	int hello_sent;
	uint64_t since_ms;
	conn_t *next;
	conn_t *prev;
};

typedef struct handler {
	at_peers_handler_t call;
	void *ctx;
} handler_t;

struct at_peers {
	struct ev_loop *loop;
	at_incarnation_t self;
	uint64_t self_hash;
	at_name_t data_centre;
	at_fleet_secret_t secret;
	at_counters_t *counters;
	handler_t handlers[AT_PEER_KIND_COUNT];
	at_peers_heartbeat_t on_heartbeat;
	void *heartbeat_ctx;
	char address[AT_ADDR_SIZE];
	uint16_t port;
	int fd; /* listening socket, or -1 */
	ev_io acceptable;
	ev_timer tick;
	member_t *members;
	conn_t *conns;
	size_t unidentified; /* connections without a hello */
	size_t unidentified_max;
	seed_t seeds[AT_PEERS_SEEDS_MAX];
	size_t seed_count;
	uint64_t versions[AT_PEER_DOCUMENT_COUNT];
	uint64_t platform_age_ms;
	int leaving;
	at_peer_traffic_t traffic;
};

/* Functions of peers.c. */
/* Returns the member of that name, or NULL. */
member_t *peers_find(const at_peers_t *peers, const char *name);
/* Adds a member without a link. Returns NULL if out of memory. */
member_t *peers_add(at_peers_t *peers, const at_name_t *name);
/* Returns non-zero if the member is in the data centre of this instance. */
int peers_is_local(const at_peers_t *peers, const member_t *member);
void peers_add_count(
    at_peers_t *peers, const char *name, const char *label, const char *value);
/* Closes a member's link; it may be dialled again after the backoff. */
void peers_unlink(at_peers_t *peers, member_t *member);

/* Functions of peers_conn.c. */
/* Begins a connection on fd, an accepted socket. */
void conn_accept(at_peers_t *peers, int fd);
/* Dials a member or a seed; the other is NULL. Returns NULL on failure. */
conn_t *conn_dial(at_peers_t *peers, const struct sockaddr_in *addr,
    member_t *member, seed_t *seed);
/* Closes the connection and removes all references to it. */
void conn_delete(conn_t *conn);
/* Both send functions return 0, or -1 if nothing was sent. */
int conn_send_heartbeat(conn_t *conn);
int conn_send_message(
    conn_t *conn, at_peer_kind_t kind, const void *data, size_t len);

#endif
