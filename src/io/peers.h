/*
 * peers.h - links to the other entry instances: membership, liveness, and
 * messages between the same module on two instances.
 *
 * Each module has a message kind, a schema under proto/ and a handler for its
 * kind. Messages are delivered at most once and, on one link, in order. A
 * message may be lost with its link, and the sender is not notified.
 */
#ifndef ALMONDTHREAD_IO_PEERS_H
#define ALMONDTHREAD_IO_PEERS_H

#include <ev.h>

#include "almondthread/counters.h"
#include "almondthread/keyring.h"
#include "almondthread/ports.h"

#define AT_PEER_PAYLOAD_MAX_BYTES (AT_VALUE_MAX_BYTES + 4096u)

/* Kinds of messages; each belongs to one module. */
typedef enum at_peer_kind {
	AT_PEER_HEARTBEAT,
	AT_PEER_CONFIG,
	AT_PEER_SHARES,
	AT_PEER_ENGINES,
	AT_PEER_SUSPECTS,
	AT_PEER_DEMAND,
	AT_PEER_KIND_COUNT
} at_peer_kind_t;

/* Documents that every instance has; heartbeats state their versions. */
typedef enum at_peer_document {
	AT_PEER_DOCUMENT_CONFIG,
	AT_PEER_DOCUMENT_INSTANCES,
	AT_PEER_DOCUMENT_COUNT
} at_peer_document_t;

/* Platform age before the platform has confirmed any version. */
#define AT_PEER_AGE_UNKNOWN UINT64_MAX

/* An entry instance that this one has, or tries to have, a link to. */
typedef struct at_peer_member {
	at_incarnation_t self; /* number 0 before the first hello */
	at_name_t data_centre;
	char address[AT_ADDR_SIZE];
	uint64_t received_at_ms; /* time of the last frame, 0 if none */
	int is_alive;            /* has a link that is not silent */
	int is_leaving;
	int is_listed; /* it is in the newest instance list */
	uint64_t versions[AT_PEER_DOCUMENT_COUNT]; /* as last reported */
	/*
	 * Time on this instance's clock at which the member last knew that the
	 * platform had no newer versions; 0 if never.
	 */
	uint64_t checked_at_ms;
} at_peer_member_t;

typedef struct at_peers at_peers_t;

/* Receives a message, which is valid during the call. */
typedef void (*at_peers_handler_t)(
    void *ctx, const at_peer_member_t *from, const void *data, size_t len);

/* Called for each heartbeat, after the member was updated from it. */
typedef void (*at_peers_heartbeat_t)(void *ctx, const at_peer_member_t *from);

/*
 * Time without a frame after which a link is closed and its member is not
 * alive: within the data centre and between data centres.
 */
#define AT_PEERS_SILENCE_TIMEOUT_MS 5000u
#define AT_PEERS_REMOTE_SILENCE_TIMEOUT_MS 25000u

/* at_peers_new() returns a module without members, or NULL if out of memory. */
at_peers_t *at_peers_new(struct ev_loop *loop);
void at_peers_set_self(at_peers_t *peers, const at_incarnation_t *self,
    const at_name_t *data_centre);
void at_peers_set_secret(at_peers_t *peers, const at_fleet_secret_t *secret);
void at_peers_set_counters(at_peers_t *peers, at_counters_t *counters);
/* at_peers_set_handler() is called once for each kind, before init. */
void at_peers_set_handler(at_peers_t *peers, at_peer_kind_t kind,
    at_peers_handler_t handler, void *ctx);
void at_peers_set_heartbeat_handler(
    at_peers_t *peers, at_peers_heartbeat_t on_heartbeat, void *ctx);
/*
 * at_peers_set_max_unidentified() limits the connections that have not proved
 * that they belong to the fleet, 1,024 without it. Of more, the oldest is
 * closed.
 */
void at_peers_set_max_unidentified(at_peers_t *peers, size_t connections);
/*
 * at_peers_add_seed() adds the "ip:port" of an instance that is dialled even if
 * the instance list is not available. It is called before init. Returns 0, or
 * -1 if the address is not valid or 16 seeds have been added.
 */
int at_peers_add_seed(at_peers_t *peers, const char *address);
/*
 * at_peers_init() listens on "ip:port" and starts the module's timer. Returns
 * AT_OK, or AT_INVALID or AT_FAILED with a message in status.
 */
at_code_t at_peers_init(
    at_peers_t *peers, const char *address, at_status_t *status);
/* at_peers_port() returns the port in use. */
uint16_t at_peers_port(const at_peers_t *peers);
/* at_peers_delete() closes all links. peers may be NULL. */
void at_peers_delete(at_peers_t *peers);

/* at_peers_update() applies the newest instance list, which is copied. */
void at_peers_update(
    at_peers_t *peers, const at_instance_t *instances, size_t count);

/*
 * at_peers_set_version() sets the version of a document on this instance. A
 * change is broadcast at once.
 */
void at_peers_set_version(
    at_peers_t *peers, at_peer_document_t document, uint64_t version);
/*
 * at_peers_set_platform_age() sets the time since the platform last confirmed
 * these versions. Each heartbeat states it.
 */
void at_peers_set_platform_age(at_peers_t *peers, uint64_t age_ms);

/* at_peers_send_leaving() broadcasts that this instance is leaving. */
void at_peers_send_leaving(at_peers_t *peers);

/*
 * at_peers_send() sends a message of up to AT_PEER_PAYLOAD_MAX_BYTES. Returns 0
 * if it was queued on a link, or -1 if nothing was sent.
 */
int at_peers_send(at_peers_t *peers, const at_name_t *instance,
    at_peer_kind_t kind, const void *data, size_t len);

/* at_peers_each() calls visit for each member; this instance is not one. */
void at_peers_each(at_peers_t *peers,
    void (*visit)(void *ctx, const at_peer_member_t *member), void *ctx);

/*
 * at_peers_member() returns a member by name, or NULL. The pointer is valid
 * until control returns to the event loop.
 */
const at_peer_member_t *at_peers_member(
    const at_peers_t *peers, const at_name_t *instance);

/*
 * at_peers_owner() returns the instance of a data centre to which rendezvous
 * hashing assigns the task named key. Candidates are the instances that are
 * alive and not leaving, this one included. rank 0 is the first choice, 1 the
 * second. Returns NULL if there are not enough candidates; the pointer is valid
 * until control returns to the event loop. Instances may disagree for a time: a
 * task that must have only one owner needs a lease.
 */
const at_name_t *at_peers_owner(const at_peers_t *peers,
    const at_name_t *data_centre, const char *key, uint32_t rank);

#endif
