/*
 * document_sync.h - how an instance takes over one document of the fleet: the
 * configuration or the instance list. Documents come whole from the platform
 * or, whole or as a difference, from peers, in any order and any number of
 * times. The version in force only grows; a document that cannot be parsed
 * is refused whole and the last good one stays.
 *
 * The machine holds the texts of the last few versions, so that it can tell
 * a peer only what changed. It does no I/O:
 * at_document_sync_note_peer_version() takes in what peers hold and
 * at_document_sync_next_peer() says whom to ask.
 */
#ifndef ALMONDTHREAD_DOCUMENT_SYNC_H
#define ALMONDTHREAD_DOCUMENT_SYNC_H

#include "almondthread/delta.h"
#include "almondthread/units.h"

/* Versions whose texts are kept, the one in force included. */
#define AT_DOCUMENT_SYNC_VERSIONS_MAX 4u
/* Time for an answer before another peer is asked, in ms. */
#define AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS 1000u
/* A new instance first hears this many peers, or waits so long, in ms. */
#define AT_DOCUMENT_SYNC_START_PEERS 3u
#define AT_DOCUMENT_SYNC_START_DELAY_MS 500u

typedef enum at_document_sync_result {
	AT_DOCUMENT_SYNC_APPLIED,  /* in force */
	AT_DOCUMENT_SYNC_OUTDATED, /* not newer than what is in force */
	AT_DOCUMENT_SYNC_REJECTED, /* newer, but not valid */
	AT_DOCUMENT_SYNC_NO_BASE, /* the difference does not fit what is held */
	AT_DOCUMENT_SYNC_RESULT_COUNT
} at_document_sync_result_t;

/* Names of results, indexed by at_document_sync_result_t. */
extern const char *const at_document_sync_result_names[];

/*
 * The document's kind. parse() returns an object and its version, or NULL
 * when the text is not valid; then either use(), which takes the object
 * over, or discard() is called with it.
 */
typedef struct at_document_sync_port {
	void *(*parse)(
	    void *impl, const char *text, size_t len, uint64_t *version);
	void (*use)(void *impl, void *object);
	void (*discard)(void *impl, void *object);
	void *impl;
} at_document_sync_port_t;

typedef struct at_document_sync at_document_sync_t;

/* at_document_sync_new() holds nothing yet. NULL without memory. */
at_document_sync_t *at_document_sync_new(const at_document_sync_port_t *port);
void at_document_sync_delete(at_document_sync_t *adopt);

/*
 * at_document_sync_apply() takes a whole text, which is copied. claimed is the
 * version that its sender states, 0 when it states none: a version that was
 * refused is not asked for again.
 */
at_document_sync_result_t at_document_sync_apply(
    at_document_sync_t *adopt, uint64_t claimed, const char *text, size_t len);
/* at_document_sync_apply_delta() takes the difference to the version base. */
at_document_sync_result_t at_document_sync_apply_delta(
    at_document_sync_t *adopt, uint64_t claimed, uint64_t base,
    const at_delta_t *delta);

/* at_document_sync_version() returns the version in force, or 0. */
uint64_t at_document_sync_version(const at_document_sync_t *adopt);
/* at_document_sync_rejected_version() returns the newest version that was not
 * valid, or 0. */
uint64_t at_document_sync_rejected_version(const at_document_sync_t *adopt);
/* at_document_sync_text() returns the text of a version held, or NULL. */
const char *at_document_sync_text(
    const at_document_sync_t *adopt, uint64_t version, size_t *len);

/* at_document_sync_note_peer_version() notes that a peer holds a version. */
void at_document_sync_note_peer_version(at_document_sync_t *adopt,
    const at_name_t *peer, uint64_t version, uint64_t now_ms);
/*
 * at_document_sync_next_peer() returns the peer to be asked now, or NULL. *base
 * is the version to be named as held; 0 asks for the whole text. chance is a
 * random number. An answer is awaited for AT_DOCUMENT_SYNC_REQUEST_TIMEOUT_MS.
 */
const at_name_t *at_document_sync_next_peer(at_document_sync_t *adopt,
    uint64_t now_ms, uint64_t chance, uint64_t *base);

#endif
