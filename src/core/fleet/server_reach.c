#include "almondthread/server_reach.h"

/* Time between two rounds while no server is reached. */
#define ROUND_GAP_US 500000u
/* Nothing was received from any server for this time, with requests open. */
#define QUIET_US 700000u
/* A connection to another server is evidence for this time. */
#define CONNECTED_US 200000u
/* Attempts go on directly until the first round has had time to end. */
#define UNSURE_DIRECT_US 50000u
/* Length of one step of the return; in each, more attempts go directly. */
#define RETURN_STEP_US 500000u
/* Connections of one round that show that servers are reached again. */
#define RETURN_CONNECTIONS 2u

static const uint32_t return_percent[] = {25, 50, 75};
#define RETURN_STEPS (sizeof(return_percent) / sizeof(return_percent[0]))

const char *const at_reach_state_names[] = {
    "up", "unsure", "none", "returning"};

static void
set_state(at_reach_t *reach, at_reach_state_t state, uint64_t now_us)
{
	if (reach->state == state)
		return;
	reach->state = state;
	reach->since_us = now_us;
}

void
at_reach_note_connected(at_reach_t *reach, uint64_t now_us)
{
	reach->connected_us = now_us;
	reach->round_connected++;
	if (reach->state == AT_REACH_UNSURE)
		set_state(reach, AT_REACH_UP, now_us);
}

void
at_reach_note_doubt(at_reach_t *reach, uint64_t now_us)
{
	if (reach->state == AT_REACH_UP || reach->state == AT_REACH_RETURNING)
		set_state(reach, AT_REACH_UNSURE, now_us);
}

void
at_reach_note_failed(at_reach_t *reach, uint64_t now_us)
{
	reach->round_failed++;
	if (reach->connected_us == 0 ||
	    now_us >= reach->connected_us + CONNECTED_US)
		at_reach_note_doubt(reach, now_us);
}

void
at_reach_note_sent(at_reach_t *reach, uint64_t now_us)
{
	if (reach->open++ == 0)
		reach->quiet_us = now_us;
}

void
at_reach_note_received(at_reach_t *reach, uint64_t now_us)
{
	reach->received_us = now_us;
	reach->quiet_us = now_us;
}

void
at_reach_note_ended(at_reach_t *reach)
{
	reach->open--;
}

int
at_reach_tick(at_reach_t *reach, uint64_t now_us)
{
	if (reach->state == AT_REACH_RETURNING &&
	    now_us >= reach->since_us + RETURN_STEPS * RETURN_STEP_US)
		set_state(reach, AT_REACH_UP, now_us);
	if (reach->is_round_open)
		return 0;
	if (reach->state == AT_REACH_UNSURE)
		return 1;
	if (reach->state == AT_REACH_NONE)
		return now_us >= reach->round_us + ROUND_GAP_US;
	return reach->open > 0 && now_us >= reach->quiet_us + QUIET_US &&
	       now_us >= reach->round_us + QUIET_US;
}

void
at_reach_begin_round(at_reach_t *reach, uint64_t now_us)
{
	reach->is_round_open = 1;
	reach->round_us = now_us;
	reach->round_connected = 0;
	reach->round_failed = 0;
}

void
at_reach_end_round(at_reach_t *reach, uint64_t now_us)
{
	uint32_t connected = reach->round_connected;

	reach->is_round_open = 0;
	if (reach->state == AT_REACH_UNSURE)
		set_state(
		    reach, connected > 0 ? AT_REACH_UP : AT_REACH_NONE, now_us);
	else if (reach->state == AT_REACH_NONE && connected > 0 &&
		 (connected >= RETURN_CONNECTIONS || reach->round_failed == 0))
		set_state(reach, AT_REACH_RETURNING, now_us);
}

int
at_reach_is_direct(const at_reach_t *reach, uint32_t draw, uint64_t now_us)
{
	uint64_t step = (now_us - reach->since_us) / RETURN_STEP_US;

	switch (reach->state) {
	case AT_REACH_UNSURE:
		return now_us < reach->since_us + UNSURE_DIRECT_US;
	case AT_REACH_NONE:
		return 0;
	case AT_REACH_RETURNING:
		return step >= RETURN_STEPS || draw < return_percent[step];
	default:
		return 1;
	}
}

uint64_t
at_reach_evidence_us(const at_reach_t *reach)
{
	return reach->state == AT_REACH_UP &&
		       reach->received_us > reach->connected_us
		   ? reach->received_us
		   : reach->connected_us;
}
