/*
 * replica.h - this instance's copy of one at_peer_document_t: texts from the
 * platform, and requests and updates between peers.
 */
#ifndef ALMONDTHREAD_IO_REPLICA_H
#define ALMONDTHREAD_IO_REPLICA_H

#include "almondthread/document_sync.h"
#include "io/peers.h"

typedef struct at_replica at_replica_t;

/* Called with the result of each text from the platform or a peer. */
typedef void (*at_replica_result_t)(
    void *ctx, at_document_sync_result_t result, int from_platform);

/* at_replica_new() returns an empty replica, or NULL if out of memory. */
at_replica_t *at_replica_new(at_peers_t *peers, at_peer_document_t document,
    const at_document_sync_port_t *port);
void at_replica_set_counters(at_replica_t *replica, at_counters_t *counters);
void at_replica_set_result(
    at_replica_t *replica, at_replica_result_t on_result, void *ctx);
void at_replica_delete(at_replica_t *replica);

/* at_replica_apply() applies a text from the platform. */
at_document_sync_result_t at_replica_apply(
    at_replica_t *replica, const char *text, size_t len);
/*
 * at_replica_note_peer_version() records the version that a member has reported
 * by a heartbeat, and calls at_replica_tick().
 */
void at_replica_note_peer_version(
    at_replica_t *replica, const at_peer_member_t *from);
/*
 * at_replica_tick() requests the document from a peer that has reported a newer
 * version, when a request is due.
 */
void at_replica_tick(at_replica_t *replica);

/* The version in force, and the newest one that was not valid; 0 if none. */
uint64_t at_replica_version(const at_replica_t *replica);
uint64_t at_replica_rejected_version(const at_replica_t *replica);

/*
 * at_replicas_handle_message() passes a message of kind AT_PEER_CONFIG to the
 * replica of its document. replicas is indexed by at_peer_document_t.
 */
void at_replicas_handle_message(at_replica_t *const *replicas,
    const at_peer_member_t *from, const void *data, size_t len);

#endif
