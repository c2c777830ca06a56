/*
 * peer_stream.h - the bytes of one link between two instances, without its
 * socket: preamble, session keys, sealed frames.
 *
 * Each side first sends a preamble: magic (4 bytes), version (2 bytes, least
 * significant first), two zero bytes and a nonce of 32 bytes. Both nonces
 * and the fleet's secret give one key for each direction. A frame is a
 * length of 4 bytes, least significant first, and that many bytes of
 * ChaCha20-Poly1305 output; the cipher's nonce is the frame's number in its
 * direction and the length is authenticated with it. A frame that is
 * replayed, reflected, reordered or altered is therefore refused.
 */
#ifndef ALMONDTHREAD_IO_PEER_STREAM_H
#define ALMONDTHREAD_IO_PEER_STREAM_H

#include "almondthread/keyring.h"

#define AT_PEER_VERSION 1u
#define AT_PEER_NONCE_SIZE 32u        /* bytes */
#define AT_PEER_PREAMBLE_SIZE 40u     /* bytes */
#define AT_PEER_TAG_SIZE 16u          /* bytes a frame grows by sealing */
#define AT_PEER_LENGTH_SIZE 4u        /* bytes before each frame */
#define AT_PEER_HELLO_MAX_BYTES 1024u /* bytes of the first frame, unsealed */
#define AT_PEER_FRAME_MAX_BYTES \
	(AT_VALUE_MAX_BYTES + 8192u) /* bytes of any other frame, unsealed */

/* Why a stream is given up. */
typedef enum at_peer_fault {
	AT_PEER_FAULT_NONE,
	AT_PEER_FAULT_PREAMBLE, /* not this protocol */
	AT_PEER_FAULT_VERSION,
	AT_PEER_FAULT_LENGTH,    /* a frame too short or too long */
	AT_PEER_FAULT_SEAL,      /* not sealed with this session's key */
	AT_PEER_FAULT_FRAME,     /* sealed, but not understood */
	AT_PEER_FAULT_DUPLICATE, /* no fault: a better link exists */
	AT_PEER_FAULT_MEMORY,
	AT_PEER_FAULT_COUNT
} at_peer_fault_t;

/* Names of faults, indexed by at_peer_fault_t. */
extern const char *const at_peer_fault_names[];

typedef struct at_peer_stream at_peer_stream_t;

/*
 * Called for each opened frame, which is borrowed for the call. Returns a
 * fault to give the stream up. The stream must not be deleted within.
 */
typedef at_peer_fault_t (*at_peer_frame_t)(
    void *ctx, const uint8_t *frame, size_t len);

/*
 * at_peer_stream_new() begins a stream; dialer is non-zero on the side that
 * made the connection, and nonce is fresh for each stream. The secret is
 * copied. Returns NULL without memory.
 */
at_peer_stream_t *at_peer_stream_new(const at_fleet_secret_t *secret,
    int is_dialer, const uint8_t nonce[AT_PEER_NONCE_SIZE]);
void at_peer_stream_delete(at_peer_stream_t *stream);

/* at_peer_stream_preamble() writes what this side sends first. */
void at_peer_stream_preamble(
    const at_peer_stream_t *stream, uint8_t out[AT_PEER_PREAMBLE_SIZE]);

/* at_peer_stream_is_keyed() tells whether frames can be sealed. */
int at_peer_stream_is_keyed(const at_peer_stream_t *stream);

/*
 * at_peer_stream_feed() takes received bytes and calls on_frame for each
 * whole frame. After a fault the stream takes nothing more.
 */
at_peer_fault_t at_peer_stream_feed(at_peer_stream_t *stream,
    const uint8_t *data, size_t len, at_peer_frame_t on_frame, void *ctx);

/*
 * at_peer_stream_seal() writes a frame with its length to out, which has
 * room for len + AT_PEER_LENGTH_SIZE + AT_PEER_TAG_SIZE bytes, and returns
 * the bytes written. Frames must be sent in the order of sealing.
 */
size_t at_peer_stream_seal(
    at_peer_stream_t *stream, const uint8_t *frame, size_t len, uint8_t *out);

#endif
