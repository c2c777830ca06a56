/*
 * adopt.h - how an instance takes over one document of the fleet: the
 * configuration or the instance list. Documents come whole from the platform
 * or, whole or as a difference, from peers, in any order and any number of
 * times. The version in force only grows; a document that cannot be parsed
 * is refused whole and the last good one stays.
 *
 * The machine holds the texts of the last few versions, so that it can tell
 * a peer only what changed. It does no I/O: at_adopt_heard() takes in what
 * peers hold and at_adopt_next() says whom to ask.
 */
#ifndef ALMONDTHREAD_ADOPT_H
#define ALMONDTHREAD_ADOPT_H

#include "almondthread/delta.h"
#include "almondthread/units.h"

/* Versions whose texts are kept, the one in force included. */
#define AT_ADOPT_TEXTS 4u
/* Time for an answer before another peer is asked, in ms. */
#define AT_ADOPT_ASK_MS 1000u
/* A new instance first hears this many peers, or waits so long, in ms. */
#define AT_ADOPT_PEERS_FIRST 3u
#define AT_ADOPT_SETTLE_MS 500u

typedef enum at_adopt_result {
	AT_ADOPT_TAKEN,   /* in force */
	AT_ADOPT_OLD,     /* not newer than what is in force */
	AT_ADOPT_REFUSED, /* newer, but not valid */
	AT_ADOPT_NO_BASE, /* the difference does not fit what is held */
	AT_ADOPT_RESULT_COUNT
} at_adopt_result_t;

/* Names of results, indexed by at_adopt_result_t. */
extern const char *const at_adopt_result_names[];

/*
 * The document's kind. parse() returns an object and its version, or NULL
 * when the text is not valid; then either use(), which takes the object
 * over, or discard() is called with it.
 */
typedef struct at_adopt_port {
	void *(*parse)(
	    void *impl, const char *text, size_t len, uint64_t *version);
	void (*use)(void *impl, void *object);
	void (*discard)(void *impl, void *object);
	void *impl;
} at_adopt_port_t;

typedef struct at_adopt at_adopt_t;

/* at_adopt_new() holds nothing yet. NULL without memory. */
at_adopt_t *at_adopt_new(const at_adopt_port_t *port);
void at_adopt_delete(at_adopt_t *adopt);

/*
 * at_adopt_offer() takes a whole text, which is copied. claimed is the
 * version that its sender states, 0 when it states none: a version that was
 * refused is not asked for again.
 */
at_adopt_result_t at_adopt_offer(
    at_adopt_t *adopt, uint64_t claimed, const char *text, size_t len);
/* at_adopt_offer_delta() takes the difference to the version base. */
at_adopt_result_t at_adopt_offer_delta(at_adopt_t *adopt, uint64_t claimed,
    uint64_t base, const at_delta_t *delta);

/* at_adopt_version() returns the version in force, or 0. */
uint64_t at_adopt_version(const at_adopt_t *adopt);
/* at_adopt_refused() returns the newest version that was not valid, or 0. */
uint64_t at_adopt_refused(const at_adopt_t *adopt);
/* at_adopt_text() returns the text of a version held, or NULL. */
const char *at_adopt_text(
    const at_adopt_t *adopt, uint64_t version, size_t *len);

/* at_adopt_heard() notes that a peer holds a version. */
void at_adopt_heard(at_adopt_t *adopt, const at_name_t *peer, uint64_t version,
    uint64_t now_ms);
/*
 * at_adopt_next() returns the peer to be asked now, or NULL. *base is the
 * version to be named as held; 0 asks for the whole text. chance is a random
 * number. An answer is awaited for AT_ADOPT_ASK_MS.
 */
const at_name_t *at_adopt_next(
    at_adopt_t *adopt, uint64_t now_ms, uint64_t chance, uint64_t *base);

#endif
