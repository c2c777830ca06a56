#include "io/peer_stream.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

#define MAGIC_SIZE 4u
#define KEY_SIZE crypto_aead_chacha20poly1305_ietf_KEYBYTES
#define NONCE_SIZE crypto_aead_chacha20poly1305_ietf_NPUBBYTES
#define KEY_CONTEXT "almondthread peer session"

static const uint8_t magic[MAGIC_SIZE] = {'A', 'L', 'T', 'H'};

const char *const at_peer_fault_names[] = {"none", "preamble", "version",
    "length", "seal", "frame", "surplus", "memory"};

struct at_peer_stream {
	at_fleet_secret_t secret;
	int is_dialer;
	int is_keyed;
	at_peer_fault_t fault;
	uint8_t nonce[AT_PEER_NONCE_SIZE];
	uint8_t send_key[KEY_SIZE];
	uint8_t receive_key[KEY_SIZE];
	uint64_t frames_sent;
	uint64_t frames_received;
	uint8_t *buffer; /* an incomplete preamble or frame */
	size_t len;
	size_t size;
};

at_peer_stream_t *
at_peer_stream_new(const at_fleet_secret_t *secret, int is_dialer,
    const uint8_t nonce[AT_PEER_NONCE_SIZE])
{
	at_peer_stream_t *stream = calloc(1, sizeof(*stream));

	if (stream == NULL)
		return NULL;
	stream->secret = *secret;
	stream->is_dialer = is_dialer;
	memcpy(stream->nonce, nonce, sizeof(stream->nonce));
	return stream;
}

void
at_peer_stream_delete(at_peer_stream_t *stream)
{
	if (stream == NULL)
		return;
	free(stream->buffer);
	sodium_memzero(stream, sizeof(*stream));
	free(stream);
}

void
at_peer_stream_preamble(
    const at_peer_stream_t *stream, uint8_t out[AT_PEER_PREAMBLE_SIZE])
{
	memset(out, 0, AT_PEER_PREAMBLE_SIZE);
	memcpy(out, magic, MAGIC_SIZE);
	out[MAGIC_SIZE] = AT_PEER_VERSION;
	memcpy(out + AT_PEER_PREAMBLE_SIZE - AT_PEER_NONCE_SIZE, stream->nonce,
	    AT_PEER_NONCE_SIZE);
}

int
at_peer_stream_is_keyed(const at_peer_stream_t *stream)
{
	return stream->is_keyed;
}

/* Derives both keys. The dialer's nonce is hashed first on both sides. */
static void
derive_keys(at_peer_stream_t *stream, const uint8_t *peer_nonce)
{
	const uint8_t *first = stream->is_dialer ? stream->nonce : peer_nonce;
	const uint8_t *second = stream->is_dialer ? peer_nonce : stream->nonce;
	crypto_generichash_state state;
	uint8_t keys[2 * KEY_SIZE];

	(void)crypto_generichash_init(&state, stream->secret.bytes,
	    sizeof(stream->secret.bytes), sizeof(keys));
	(void)crypto_generichash_update(
	    &state, (const unsigned char *)KEY_CONTEXT, sizeof(KEY_CONTEXT));
	(void)crypto_generichash_update(&state, first, AT_PEER_NONCE_SIZE);
	(void)crypto_generichash_update(&state, second, AT_PEER_NONCE_SIZE);
	(void)crypto_generichash_final(&state, keys, sizeof(keys));
	memcpy(stream->is_dialer ? stream->send_key : stream->receive_key, keys,
	    KEY_SIZE);
	memcpy(stream->is_dialer ? stream->receive_key : stream->send_key,
	    keys + KEY_SIZE, KEY_SIZE);
	sodium_memzero(keys, sizeof(keys));
	stream->is_keyed = 1;
}

static at_peer_fault_t
read_preamble(at_peer_stream_t *stream, const uint8_t *data)
{
	const size_t nonce_offset = AT_PEER_PREAMBLE_SIZE - AT_PEER_NONCE_SIZE;

	if (memcmp(data, magic, MAGIC_SIZE) != 0)
		return AT_PEER_FAULT_PREAMBLE;
	if (data[MAGIC_SIZE] != AT_PEER_VERSION || data[MAGIC_SIZE + 1] != 0)
		return AT_PEER_FAULT_VERSION;
	derive_keys(stream, data + nonce_offset);
	return AT_PEER_FAULT_NONE;
}

static void
put_length(uint8_t out[AT_PEER_LENGTH_SIZE], size_t len)
{
	size_t i;

	for (i = 0; i < AT_PEER_LENGTH_SIZE; i++)
		out[i] = (uint8_t)(len >> (8 * i));
}

static size_t
get_length(const uint8_t in[AT_PEER_LENGTH_SIZE])
{
	size_t len = 0;
	size_t i;

	for (i = 0; i < AT_PEER_LENGTH_SIZE; i++)
		len |= (size_t)in[i] << (8 * i);
	return len;
}

static void
frame_nonce(uint64_t number, uint8_t out[NONCE_SIZE])
{
	size_t i;

	memset(out, 0, NONCE_SIZE);
	for (i = 0; i < sizeof(number); i++)
		out[i] = (uint8_t)(number >> (8 * i));
}

/* Decrypts a frame in place and passes it to on_frame. */
static at_peer_fault_t
open_frame(at_peer_stream_t *stream, uint8_t *frame, size_t sealed_len,
    at_peer_frame_t on_frame, void *ctx)
{
	uint8_t *body = frame + AT_PEER_LENGTH_SIZE;
	uint8_t nonce[NONCE_SIZE];
	unsigned long long len = 0;

	frame_nonce(stream->frames_received, nonce);
	if (crypto_aead_chacha20poly1305_ietf_decrypt(body, &len, NULL, body,
		sealed_len, frame, AT_PEER_LENGTH_SIZE, nonce,
		stream->receive_key) != 0)
		return AT_PEER_FAULT_SEAL;
	stream->frames_received++;
	return on_frame(ctx, body, (size_t)len);
}

/* Returns the buffered bytes that the next step of parsing needs. */
static size_t
required_bytes(const at_peer_stream_t *stream)
{
	if (!stream->is_keyed)
		return AT_PEER_PREAMBLE_SIZE;
	if (stream->len < AT_PEER_LENGTH_SIZE)
		return AT_PEER_LENGTH_SIZE;
	return AT_PEER_LENGTH_SIZE + get_length(stream->buffer);
}

static at_peer_fault_t
check_length(const at_peer_stream_t *stream)
{
	size_t max = stream->frames_received == 0 ? AT_PEER_HELLO_MAX_BYTES
						  : AT_PEER_FRAME_MAX_BYTES;
	size_t len;

	if (!stream->is_keyed || stream->len < AT_PEER_LENGTH_SIZE)
		return AT_PEER_FAULT_NONE;
	len = get_length(stream->buffer);
	if (len < AT_PEER_TAG_SIZE || len > max + AT_PEER_TAG_SIZE)
		return AT_PEER_FAULT_LENGTH;
	return AT_PEER_FAULT_NONE;
}

static int
buffer_reserve(at_peer_stream_t *stream, size_t size)
{
	uint8_t *grown;

	if (size <= stream->size)
		return 0;
	grown = realloc(stream->buffer, size);
	if (grown == NULL)
		return -1;
	stream->buffer = grown;
	stream->size = size;
	return 0;
}

/* Parses the buffer, which has required_bytes(). */
static at_peer_fault_t
process_buffer(at_peer_stream_t *stream, at_peer_frame_t on_frame, void *ctx)
{
	at_peer_fault_t fault;

	if (!stream->is_keyed)
		fault = read_preamble(stream, stream->buffer);
	else if (stream->len == AT_PEER_LENGTH_SIZE)
		return check_length(stream);
	else
		fault = open_frame(stream, stream->buffer,
		    stream->len - AT_PEER_LENGTH_SIZE, on_frame, ctx);
	stream->len = 0;
	return fault;
}

/* Frees the buffer if it is empty: an idle link keeps none. */
static void
buffer_release(at_peer_stream_t *stream)
{
	if (stream->len > 0)
		return;
	free(stream->buffer);
	stream->buffer = NULL;
	stream->size = 0;
}

at_peer_fault_t
at_peer_stream_feed(at_peer_stream_t *stream, const uint8_t *data, size_t len,
    at_peer_frame_t on_frame, void *ctx)
{
	while (len > 0 && stream->fault == AT_PEER_FAULT_NONE) {
		size_t required = required_bytes(stream);
		size_t count =
		    required - stream->len < len ? required - stream->len : len;

		if (buffer_reserve(stream, required) != 0) {
			stream->fault = AT_PEER_FAULT_MEMORY;
			break;
		}
		memcpy(stream->buffer + stream->len, data, count);
		stream->len += count;
		data += count;
		len -= count;
		if (stream->len == required)
			stream->fault = process_buffer(stream, on_frame, ctx);
	}
	buffer_release(stream);
	return stream->fault;
}

size_t
at_peer_stream_seal(
    at_peer_stream_t *stream, const uint8_t *frame, size_t len, uint8_t *out)
{
	uint8_t nonce[NONCE_SIZE];
	unsigned long long sealed = 0;

	assert(stream->is_keyed);
	put_length(out, len + AT_PEER_TAG_SIZE);
	frame_nonce(stream->frames_sent++, nonce);
	(void)crypto_aead_chacha20poly1305_ietf_encrypt(
	    out + AT_PEER_LENGTH_SIZE, &sealed, frame, len, out,
	    AT_PEER_LENGTH_SIZE, NULL, nonce, stream->send_key);
	return AT_PEER_LENGTH_SIZE + (size_t)sealed;
}
