/*
 * server_reach.h - whether this instance reaches the backend servers at all.
 *
 * An instance that is cut off from all servers sees each of them fail. That is
 * a state of the instance and says nothing about the servers.
 *
 *   up         it reaches servers, as far as is known
 *   unsure     a connection has failed and none was made since; a round of
 *              probes, connections to servers of all data centres, decides
 *   none       the round has failed; rounds follow until one succeeds
 *   returning  a round has succeeded; a growing part of the attempts goes to
 *              the servers directly, so that they are not hit at once
 *
 * Only new connections count. Those that were open before a cut may live on,
 * and if they hang, silence alone does not tell a slow server from a cut. With
 * requests open and nothing received from any server for a while, a round is
 * due.
 *
 * No I/O, no clock: times are passed in, in microseconds.
 */
#ifndef ALMONDTHREAD_SERVER_REACH_H
#define ALMONDTHREAD_SERVER_REACH_H

#include <stdint.h>

/* Probes of one round. */
#define AT_REACH_PROBES_MAX 6u

typedef enum at_reach_state {
	AT_REACH_UP,
	AT_REACH_UNSURE,
	AT_REACH_NONE,
	AT_REACH_RETURNING,
	AT_REACH_STATE_COUNT
} at_reach_state_t;

/* Names of states, indexed by at_reach_state_t. */
extern const char *const at_reach_state_names[];

/* Zeroed, an instance that has not tried yet. */
typedef struct at_reach {
	at_reach_state_t state;
	uint64_t since_us;     /* of the state */
	uint64_t connected_us; /* last new connection; 0: never */
	uint64_t received_us;  /* last byte of a response; 0: never */
	uint64_t quiet_us; /* requests are open and nothing is received since */
	uint32_t open;     /* requests at servers */
	uint64_t round_us; /* start of the last round; 0: none */
	int is_round_open;
	uint32_t round_connected;
	uint32_t round_failed;
} at_reach_t;

/*
 * A new connection to a server was made, or could not be made. A failure soon
 * after a connection to another server is one of its server.
 * at_reach_note_doubt() asks for a round all the same.
 */
void at_reach_note_connected(at_reach_t *reach, uint64_t now_us);
void at_reach_note_failed(at_reach_t *reach, uint64_t now_us);
void at_reach_note_doubt(at_reach_t *reach, uint64_t now_us);
/* A request was sent to a server, bytes came from one, a request has ended. */
void at_reach_note_sent(at_reach_t *reach, uint64_t now_us);
void at_reach_note_received(at_reach_t *reach, uint64_t now_us);
void at_reach_note_ended(at_reach_t *reach);

/*
 * at_reach_tick() ends a return and returns non-zero if servers should be
 * probed now; it is called some times a second and after each failure.
 * at_reach_begin_round() is followed by one at_reach_note_connected() or
 * at_reach_note_failed() for each probe and by at_reach_end_round().
 */
int at_reach_tick(at_reach_t *reach, uint64_t now_us);
void at_reach_begin_round(at_reach_t *reach, uint64_t now_us);
void at_reach_end_round(at_reach_t *reach, uint64_t now_us);

/*
 * at_reach_is_direct() returns non-zero if an attempt should go to its server
 * directly, zero if another instance should pass it on. draw is a random number
 * below 100.
 */
int at_reach_is_direct(const at_reach_t *reach, uint32_t draw, uint64_t now_us);
/*
 * at_reach_evidence_us() returns when this instance last had evidence that it
 * reaches a server, or 0.
 */
uint64_t at_reach_evidence_us(const at_reach_t *reach);

#endif
