/*
 * document_sync.h - synchronization of one document of the fleet, the
 * configuration or the instance list, for one instance.
 *
 * A document arrives complete from the platform, or complete or as a
 * difference from peers, in any order and any number of times. The version
 * in force only increases. A document that cannot be parsed is rejected as a
 * whole and the last valid one stays in force.
 *
 * The texts of the last AT_DOCUMENT_SYNC_VERSIONS_MAX versions are stored so
 * that a peer can be sent a difference. The module does no input or output:
 * the owner reports the versions that peers have with
 * at_document_sync_note_peer_version() and asks at_document_sync_next_peer()
 * which peer to request a document from.
 */
#ifndef ALMONDTHREAD_DOCUMENT_SYNC_H
#define ALMONDTHREAD_DOCUMENT_SYNC_H

#include "almondthread/delta.h"
#include "almondthread/units.h"

/* Versions whose texts are stored, including the one in force. */
#define AT_DOCUMENT_SYNC_VERSIONS_MAX 4u
/* Time for a peer's response before another peer is tried. */
#define AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS 1000u
/*
 * A new instance sends its first request when it knows the versions of this
 * many peers, or after this delay.
 */
#define AT_DOCUMENT_SYNC_START_PEERS 3u
#define AT_DOCUMENT_SYNC_START_DELAY_MS 500u

typedef enum at_document_sync_result {
	AT_DOCUMENT_SYNC_APPLIED,  /* now in force */
	AT_DOCUMENT_SYNC_OUTDATED, /* not newer than the version in force */
	AT_DOCUMENT_SYNC_REJECTED, /* newer, but not valid */
	AT_DOCUMENT_SYNC_NO_BASE,  /* the difference matches no stored text */
	AT_DOCUMENT_SYNC_RESULT_COUNT
} at_document_sync_result_t;

/* Names of results, indexed by at_document_sync_result_t. */
extern const char *const at_document_sync_result_names[];

/*
 * Parser and consumer of one kind of document. parse() returns an object and
 * its version, or NULL when the text is not valid. The object is then passed
 * either to apply(), which takes ownership, or to discard(), which frees it.
 */
typedef struct at_document_sync_port {
	void *(*parse)(
	    void *impl, const char *text, size_t len, uint64_t *version);
	void (*apply)(void *impl, void *object);
	void (*discard)(void *impl, void *object);
	void *impl;
} at_document_sync_port_t;

typedef struct at_document_sync at_document_sync_t;

/*
 * at_document_sync_new() returns a state without a document, or NULL if out of
 * memory. port is copied.
 */
at_document_sync_t *at_document_sync_new(const at_document_sync_port_t *port);
void at_document_sync_delete(at_document_sync_t *sync);

/*
 * at_document_sync_apply() parses a complete text, which is copied, and puts
 * it in force if it is newer. claimed is the version that the sender states,
 * or 0 when it states none; a version that was rejected is not requested
 * again.
 */
at_document_sync_result_t at_document_sync_apply(
    at_document_sync_t *sync, uint64_t claimed, const char *text, size_t len);

/*
 * at_document_sync_apply_delta() applies a difference to the stored version
 * base and continues like at_document_sync_apply().
 */
at_document_sync_result_t at_document_sync_apply_delta(at_document_sync_t *sync,
    uint64_t claimed, uint64_t base, const at_delta_t *delta);

/* at_document_sync_version() returns the version in force, or 0. */
uint64_t at_document_sync_version(const at_document_sync_t *sync);

/*
 * at_document_sync_rejected_version() returns the newest version that was
 * not valid, or 0.
 */
uint64_t at_document_sync_rejected_version(const at_document_sync_t *sync);

/*
 * at_document_sync_text() returns the text of a stored version and its
 * length in bytes, or NULL. It is valid until the next change.
 */
const char *at_document_sync_text(
    const at_document_sync_t *sync, uint64_t version, size_t *len);

/*
 * at_document_sync_note_peer_version() records the version that a peer
 * reports to have.
 */
void at_document_sync_note_peer_version(at_document_sync_t *sync,
    const at_name_t *peer, uint64_t version, uint64_t now_ms);

/*
 * at_document_sync_next_peer() returns the peer to send a request to now, or
 * NULL. *base is the version to state as stored; 0 requests the complete
 * text. chance is a random number. The response is expected within
 * AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS.
 */
const at_name_t *at_document_sync_next_peer(
    at_document_sync_t *sync, uint64_t now_ms, uint64_t chance, uint64_t *base);

#endif
