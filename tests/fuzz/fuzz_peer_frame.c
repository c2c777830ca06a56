/*
 * Feeds arbitrary bytes to a peer stream, before and after the session keys
 * are known. They must never be accepted as a frame, and the stream must not
 * buffer more than its limits. Arbitrary bytes in a sealed frame must reach the
 * other side unchanged.
 * check-args: -seed=1 -runs=100000 -max_len=2048
 */
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#include "io/peer_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

typedef struct expected {
	const uint8_t *data;
	size_t size;
	size_t frames;
} expected_t;

static at_peer_fault_t
on_frame(void *ctx, const uint8_t *frame, size_t len)
{
	expected_t *expected = ctx;

	if (len != expected->size || memcmp(frame, expected->data, len) != 0)
		abort();
	expected->frames++;
	return AT_PEER_FAULT_NONE;
}

static at_peer_fault_t
reject_frame(void *ctx, const uint8_t *frame, size_t len)
{
	(void)ctx;
	(void)frame;
	(void)len;
	abort();
}

static at_peer_stream_t *
stream_new(int dialer)
{
	static const at_fleet_secret_t secret = {{7}};
	uint8_t nonce[AT_PEER_NONCE_SIZE] = {(uint8_t)dialer};

	return at_peer_stream_new(&secret, dialer, nonce);
}

static void
send_preamble(at_peer_stream_t *from, at_peer_stream_t *to)
{
	uint8_t preamble[AT_PEER_PREAMBLE_SIZE];

	at_peer_stream_preamble(from, preamble);
	if (at_peer_stream_feed(to, preamble, sizeof(preamble), reject_frame,
		NULL) != AT_PEER_FAULT_NONE)
		abort();
}

/* Feeds bytes in pieces of at most piece bytes. */
static at_peer_fault_t
feed_in_pieces(at_peer_stream_t *stream, const uint8_t *data, size_t size,
    size_t piece, at_peer_frame_t handler, void *ctx)
{
	at_peer_fault_t fault = AT_PEER_FAULT_NONE;

	while (size > 0 && fault == AT_PEER_FAULT_NONE) {
		size_t len = piece < size ? piece : size;

		fault = at_peer_stream_feed(stream, data, len, handler, ctx);
		data += len;
		size -= len;
	}
	return fault;
}

static void
round_trip(at_peer_stream_t *from, at_peer_stream_t *to, const uint8_t *data,
    size_t size, size_t piece)
{
	size_t capacity = size + AT_PEER_LENGTH_SIZE + AT_PEER_TAG_SIZE;
	uint8_t *sealed = malloc(capacity);
	expected_t expected = {data, size, 0};
	at_peer_fault_t fault;
	size_t len = at_peer_stream_seal(from, data, size, sealed);

	fault = feed_in_pieces(to, sealed, len, piece, on_frame, &expected);
	if (size <= AT_PEER_HELLO_MAX_BYTES &&
	    (fault != AT_PEER_FAULT_NONE || expected.frames != 1))
		abort();
	if (size > AT_PEER_HELLO_MAX_BYTES && fault != AT_PEER_FAULT_LENGTH)
		abort();
	free(sealed);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	at_peer_stream_t *dialer = stream_new(1);
	at_peer_stream_t *acceptor = stream_new(0);
	at_peer_stream_t *raw = stream_new(0);
	size_t piece = size > 0 ? (size_t)data[0] + 1 : 1;

	(void)feed_in_pieces(raw, data, size, piece, reject_frame, NULL);
	at_peer_stream_delete(raw);
	send_preamble(dialer, acceptor);
	send_preamble(acceptor, dialer);
	round_trip(dialer, acceptor, data, size, piece);
	/* Unsealed bytes on a keyed stream. */
	(void)feed_in_pieces(dialer, data, size, piece, reject_frame, NULL);
	at_peer_stream_delete(dialer);
	at_peer_stream_delete(acceptor);
	return 0;
}
