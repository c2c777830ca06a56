/*
 * peers.h - links to the other entry instances: who is there, who is alive,
 * and messages between parts of the same kind on two instances.
 *
 * Each part packs its own messages (protobuf-c, a schema of its own under
 * proto/) and registers a handler for its kind. Delivery is at most once and
 * in order on one link; a message may be lost with its link, and a sender
 * gets no receipt. Payloads are at most AT_PEER_PAYLOAD_MAX_BYTES bytes.
 */
#ifndef ALMONDTHREAD_IO_PEERS_H
#define ALMONDTHREAD_IO_PEERS_H

#include <ev.h>

#include "almondthread/counters.h"
#include "almondthread/keyring.h"
#include "almondthread/ports.h"

#define AT_PEER_PAYLOAD_MAX_BYTES (AT_VALUE_MAX_BYTES + 4096u) /* bytes */

/* Kinds of messages; each belongs to one part. */
typedef enum at_peer_kind {
	AT_PEER_HEARTBEAT,
	AT_PEER_CONFIG,
	AT_PEER_SHARES,
	AT_PEER_ENGINES,
	AT_PEER_SUSPECTS,
	AT_PEER_DEMAND,
	AT_PEER_KIND_COUNT
} at_peer_kind_t;

/* Documents that every instance holds; heartbeats carry their versions. */
typedef enum at_peer_document {
	AT_PEER_DOCUMENT_CONFIG,
	AT_PEER_DOCUMENT_INSTANCES,
	AT_PEER_DOCUMENT_COUNT
} at_peer_document_t;

/* Platform age of an instance that never heard of the platform's word. */
#define AT_PEER_AGE_UNKNOWN UINT64_MAX

/* One member: an entry instance of the list with a link of ours. */
typedef struct at_peer_member {
	at_incarnation_t self; /* number 0 until it was heard */
	at_name_t data_centre;
	char address[AT_ADDR_SIZE];
	uint64_t received_at_ms; /* 0: never */
	int is_alive;            /* heard within the limit */
	int is_leaving;
	int is_listed; /* in the newest instance list */
	uint64_t versions[AT_PEER_DOCUMENT_COUNT]; /* as last heard */
	/*
	 * When, by this instance's clock, the platform was last known over
	 * there to hold nothing newer than those versions; 0: never.
	 */
	uint64_t checked_at_ms;
} at_peer_member_t;

typedef struct at_peers at_peers_t;

typedef void (*at_peers_handler_t)(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len);

/* Called for each heartbeat; the member's versions are those it carried. */
typedef void (*at_peers_heartbeat_t)(void *ctx, const at_peer_member_t *from);

/*
 * Silence after which a link is replaced and its member not alive, in ms:
 * within the data centre and between data centres.
 */
#define AT_PEERS_SILENCE_TIMEOUT_MS 5000u
#define AT_PEERS_REMOTE_SILENCE_TIMEOUT_MS 25000u

at_peers_t *at_peers_new(struct ev_loop *loop);
void at_peers_set_self(at_peers_t *peers, const at_incarnation_t *self,
    const at_name_t *data_centre);
void at_peers_set_secret(at_peers_t *peers, const at_fleet_secret_t *secret);
void at_peers_set_counters(at_peers_t *peers, at_counters_t *counters);
/* at_peers_set_handler() is called before init, once for each kind. */
void at_peers_set_handler(at_peers_t *peers, at_peer_kind_t kind,
    at_peers_handler_t handler, void *ctx);
void at_peers_set_heartbeat(
    at_peers_t *peers, at_peers_heartbeat_t on_heartbeat, void *ctx);
/*
 * at_peers_add_seed() names a peer's "ip:port" to be tried when the instance
 * list cannot be had; several may be added before init. -1 when it is not an
 * address.
 */
int at_peers_add_seed(at_peers_t *peers, const char *address);
/* at_peers_init() listens for peers on "ip:port". */
at_code_t at_peers_init(
    at_peers_t *peers, const char *address, at_status_t *status);
uint16_t at_peers_port(const at_peers_t *peers);
void at_peers_delete(at_peers_t *peers);

/* at_peers_update() takes over the newest instance list. */
void at_peers_update(
    at_peers_t *peers, const at_instance_t *instances, size_t count);

/*
 * at_peers_set_version() states the version of a document that this instance
 * holds; a change is told to every peer at once.
 */
void at_peers_set_version(
    at_peers_t *peers, at_peer_document_t document, uint64_t version);
/*
 * at_peers_set_platform_age() states how long ago the platform was last known
 * to agree with these versions; it goes out with each heartbeat.
 */
void at_peers_set_platform_age(at_peers_t *peers, uint64_t age_ms);

/* at_peers_send_leaving() tells every peer that this instance is leaving. */
void at_peers_send_leaving(at_peers_t *peers);

/*
 * at_peers_send() returns 0 when the message was queued on a live link, or
 * -1 when nothing of it left us.
 */
int at_peers_send(at_peers_t *peers, const at_name_t *instance,
    at_peer_kind_t kind, const void *data, size_t len);

/* at_peers_each() visits every member but this instance. */
void at_peers_each(at_peers_t *peers,
    void (*visit)(void *ctx, const at_peer_member_t *member), void *ctx);

/* at_peers_member() returns a member by name, or NULL. */
const at_peer_member_t *at_peers_member(
    const at_peers_t *peers, const at_name_t *instance);

/*
 * at_peers_owner() returns the live instance of a data centre, this one
 * included, that rendezvous hashing gives the soft role named key; rank 0 is
 * the first choice, 1 the second. Returns NULL when there is none.
 */
const at_name_t *at_peers_owner(const at_peers_t *peers,
    const at_name_t *data_centre, const char *key, uint32_t rank);

#endif
