/*
 * peer_stream.h - the protocol of a link between two instances, without its
 * socket: preamble, session keys and encrypted ("sealed") frames.
 *
 * Each side first sends a preamble: magic (4 bytes), version (2 bytes, little
 * endian), two zero bytes and a nonce of 32 bytes. One key for each direction
 * is derived from both nonces and the fleet's secret. A frame is a length of
 * 4 bytes, little endian, and that many bytes of ChaCha20-Poly1305 output. The
 * cipher's nonce is the frame's number in its direction, and the length is
 * authenticated with the frame. A frame that is replayed, reflected, reordered
 * or altered is therefore rejected.
 */
#ifndef ALMONDTHREAD_IO_PEER_STREAM_H
#define ALMONDTHREAD_IO_PEER_STREAM_H

#include "almondthread/keyring.h"

#define AT_PEER_VERSION 1u
#define AT_PEER_NONCE_SIZE 32u        /* bytes */
#define AT_PEER_PREAMBLE_SIZE 40u     /* bytes */
#define AT_PEER_TAG_SIZE 16u          /* bytes that sealing adds */
#define AT_PEER_LENGTH_SIZE 4u        /* bytes before each frame */
#define AT_PEER_HELLO_MAX_BYTES 1024u /* first frame, unsealed */
#define AT_PEER_FRAME_MAX_BYTES \
	(AT_VALUE_MAX_BYTES + 8192u) /* any other frame, unsealed */

/* Why a stream failed. */
typedef enum at_peer_fault {
	AT_PEER_FAULT_NONE,
	AT_PEER_FAULT_PREAMBLE, /* the peer speaks another protocol */
	AT_PEER_FAULT_VERSION,
	AT_PEER_FAULT_LENGTH,    /* a frame is too short or too long */
	AT_PEER_FAULT_SEAL,      /* a frame failed authentication */
	AT_PEER_FAULT_FRAME,     /* an authentic frame is not valid */
	AT_PEER_FAULT_DUPLICATE, /* no fault: another link is kept */
	AT_PEER_FAULT_MEMORY,
	AT_PEER_FAULT_COUNT
} at_peer_fault_t;

/* Names of faults, indexed by at_peer_fault_t. */
extern const char *const at_peer_fault_names[];

typedef struct at_peer_stream at_peer_stream_t;

/*
 * Called for each decrypted frame, which is valid during the call. Returns
 * AT_PEER_FAULT_NONE, or a fault that ends the stream. It must not delete the
 * stream.
 */
typedef at_peer_fault_t (*at_peer_frame_t)(
    void *ctx, const uint8_t *frame, size_t len);

/*
 * at_peer_stream_new() returns a new stream, or NULL if out of memory.
 * is_dialer is non-zero on the side that made the connection. nonce must be
 * random and new for each stream. The secret is copied.
 */
at_peer_stream_t *at_peer_stream_new(const at_fleet_secret_t *secret,
    int is_dialer, const uint8_t nonce[AT_PEER_NONCE_SIZE]);
void at_peer_stream_delete(at_peer_stream_t *stream);

/* at_peer_stream_preamble() writes the preamble that this side sends. */
void at_peer_stream_preamble(
    const at_peer_stream_t *stream, uint8_t out[AT_PEER_PREAMBLE_SIZE]);

/* at_peer_stream_is_keyed() returns non-zero if the session keys are known. */
int at_peer_stream_is_keyed(const at_peer_stream_t *stream);

/*
 * at_peer_stream_feed() processes received bytes and calls on_frame for each
 * complete frame. Returns the stream's fault; after one, bytes are ignored.
 */
at_peer_fault_t at_peer_stream_feed(at_peer_stream_t *stream,
    const uint8_t *data, size_t len, at_peer_frame_t on_frame, void *ctx);

/*
 * at_peer_stream_seal() encrypts a frame and writes it with its length to out,
 * which must have len + AT_PEER_LENGTH_SIZE + AT_PEER_TAG_SIZE bytes. Returns
 * the number of bytes written. The stream must be keyed, and frames must be
 * sent in the order in which they were sealed.
 */
size_t at_peer_stream_seal(
    at_peer_stream_t *stream, const uint8_t *frame, size_t len, uint8_t *out);

#endif
