/*
 * Tests of the encrypted stream of a link. A frame that one side has sealed is
 * accepted by the other side once, in order and in one direction, whatever the
 * sizes of the reads. Any other input is a fault.
 */
#include <string.h>

#include <criterion/criterion.h>
#include <sodium.h>

#include "io/peer_stream.h"

#define FRAME_SIZE 100u
#define SEALED_SIZE (FRAME_SIZE + AT_PEER_TAG_SIZE + AT_PEER_LENGTH_SIZE)

static at_peer_stream_t *dialer;
static at_peer_stream_t *acceptor;
static size_t opened;
static uint8_t frame[FRAME_SIZE];

static at_peer_fault_t
on_frame(void *ctx, const uint8_t *data, size_t len)
{
	(void)ctx;
	cr_assert_eq(len, sizeof(frame));
	cr_assert_eq(memcmp(data, frame, len), 0);
	opened++;
	return AT_PEER_FAULT_NONE;
}

static at_peer_fault_t
feed(at_peer_stream_t *stream, const uint8_t *data, size_t len)
{
	return at_peer_stream_feed(stream, data, len, on_frame, NULL);
}

static void
setup(void)
{
	at_fleet_secret_t secret = {{1, 2, 3}};
	uint8_t nonce[AT_PEER_NONCE_SIZE] = {4};
	uint8_t preamble[AT_PEER_PREAMBLE_SIZE];

	cr_assert_geq(sodium_init(), 0);
	memset(frame, 0x5a, sizeof(frame));
	opened = 0;
	dialer = at_peer_stream_new(&secret, 1, nonce);
	nonce[0] = 5;
	acceptor = at_peer_stream_new(&secret, 0, nonce);
	cr_assert_not(at_peer_stream_is_keyed(dialer));
	at_peer_stream_preamble(dialer, preamble);
	cr_assert_eq(
	    feed(acceptor, preamble, sizeof(preamble)), AT_PEER_FAULT_NONE);
	at_peer_stream_preamble(acceptor, preamble);
	cr_assert_eq(
	    feed(dialer, preamble, sizeof(preamble)), AT_PEER_FAULT_NONE);
	cr_assert(at_peer_stream_is_keyed(dialer));
}

static void
teardown(void)
{
	at_peer_stream_delete(dialer);
	at_peer_stream_delete(acceptor);
}

Test(peer_stream, accepts_frames_in_any_split, .init = setup, .fini = teardown)
{
	uint8_t sealed[2 * SEALED_SIZE];
	size_t len;
	size_t i;

	len = at_peer_stream_seal(dialer, frame, sizeof(frame), sealed);
	cr_assert_eq(len, SEALED_SIZE);
	len += at_peer_stream_seal(dialer, frame, sizeof(frame), sealed + len);
	for (i = 0; i < len; i++)
		cr_assert_eq(feed(acceptor, sealed + i, 1), AT_PEER_FAULT_NONE);
	cr_assert_eq(opened, 2);
	len = at_peer_stream_seal(acceptor, frame, sizeof(frame), sealed);
	len +=
	    at_peer_stream_seal(acceptor, frame, sizeof(frame), sealed + len);
	cr_assert_eq(feed(dialer, sealed, len), AT_PEER_FAULT_NONE);
	cr_assert_eq(opened, 4);
}

typedef struct attack {
	const char *name;
	int is_reflected; /* fed back to its sender */
	int first;        /* index of the frame that is fed first */
	int second;       /* index of the frame that is fed next, or -1 */
	int altered_byte; /* in the first frame, or -1 */
	size_t opened;    /* frames that the receiver accepts */
} attack_t;

static const attack_t attacks[] = {
    {"in order", 0, 0, 1, -1, 2},
    {"replayed", 0, 0, 0, -1, 1},
    {"reordered", 0, 1, 0, -1, 0},
    {"lost", 0, 1, -1, -1, 0},
    {"reflected", 1, 0, -1, -1, 0},
    {"altered body", 0, 0, -1, 30, 0},
    {"altered tag", 0, 0, -1, SEALED_SIZE - 1, 0},
    {"shortened", 0, 0, -1, 0, 0},
};

Test(peer_stream, rejects_each_attack)
{
	size_t i;

	for (i = 0; i < sizeof(attacks) / sizeof(attacks[0]); i++) {
		const attack_t *attack = &attacks[i];
		uint8_t sealed[2][SEALED_SIZE];
		at_peer_stream_t *receiver;
		at_peer_fault_t fault;

		setup();
		(void)at_peer_stream_seal(
		    dialer, frame, sizeof(frame), sealed[0]);
		(void)at_peer_stream_seal(
		    dialer, frame, sizeof(frame), sealed[1]);
		receiver = attack->is_reflected ? dialer : acceptor;
		if (attack->altered_byte >= 0)
			sealed[attack->first][attack->altered_byte] ^= 4;
		fault = feed(receiver, sealed[attack->first], SEALED_SIZE);
		if (attack->second >= 0 && fault == AT_PEER_FAULT_NONE)
			fault =
			    feed(receiver, sealed[attack->second], SEALED_SIZE);
		cr_assert_eq(opened, attack->opened, "%s", attack->name);
		cr_assert_eq(fault,
		    attack->opened == 2 ? AT_PEER_FAULT_NONE
					: AT_PEER_FAULT_SEAL,
		    "%s", attack->name);
		/* After a fault the stream accepts nothing more. */
		if (fault != AT_PEER_FAULT_NONE) {
			cr_assert_eq(
			    feed(receiver, sealed[0], SEALED_SIZE), fault);
			cr_assert_eq(
			    opened, attack->opened, "%s", attack->name);
		}
		teardown();
	}
}
