#include "almondthread/process_limits.h"

#define PERCENT 100u
/* Descriptors of the process itself: listening sockets, polling, the log. */
#define OWN_DESCRIPTORS 24u
/* Platforms keep some descriptors for files. */
#define OWN_PERCENT 5u
#define CALLERS_PERCENT 60u
/*
 * Of what remains: a request has one connection to a backend server, but most
 * connections of callers have no request.
 */
#define CALLERS_REST_PERCENT 75u
/* Each instance passes on a few requests, and keeps some connections open. */
#define PEERS_PERCENT 10u
/*
 * Operators and load balancers have a few connections, and a check needs one to
 * stay until its request has arrived, while others are opened.
 */
#define OPERATORS_PART 64u
#define OPERATORS_MIN 8u
#define OPERATORS_MAX 64u
#define OPERATOR_ADDRESSES 2u
/* Of the memory, for what the kernel receives in advance, and sends. */
#define BUFFERS_PART 4u
/* So that a body of 4 MB takes 64 round trips at most. */
#define BUFFER_MIN_BYTES (64u << 10)
#define BUFFER_MAX_BYTES (1u << 20)
/* Of the memory, for what is received before a connection is accepted. */
#define BACKLOG_PART 8u
/* Clients that come back at once may be more than the connections. */
#define BACKLOG_WANTED 1024u
#define WAITING_MIN_BYTES (16u << 10)

static uint64_t
bounded(uint64_t value, uint64_t min, uint64_t max)
{
	if (value < min)
		return min;
	return value < max ? value : max;
}

static void
divide_descriptors(at_process_limits_t *limits)
{
	size_t all = limits->descriptors;
	size_t rest;

	limits->operators =
	    bounded(all / OPERATORS_PART, OPERATORS_MIN, OPERATORS_MAX);
	limits->peers = all * PEERS_PERCENT / PERCENT;
	rest = all - OWN_DESCRIPTORS - all * OWN_PERCENT / PERCENT -
	       OPERATOR_ADDRESSES * limits->operators - limits->peers;
	limits->callers = bounded(rest * CALLERS_REST_PERCENT / PERCENT, 1,
	    all * CALLERS_PERCENT / PERCENT);
	limits->outgoing = rest - limits->callers;
}

void
at_process_limits_divide(
    at_process_limits_t *limits, size_t descriptors, uint64_t memory_bytes)
{
	uint64_t waiting_bytes;
	size_t buffer;

	limits->descriptors =
	    bounded(descriptors, AT_PROCESS_DESCRIPTORS_MIN, SIZE_MAX);
	limits->memory_bytes =
	    bounded(memory_bytes, AT_PROCESS_MEMORY_MIN_BYTES, UINT64_MAX);
	divide_descriptors(limits);
	buffer = bounded(limits->memory_bytes / BUFFERS_PART / limits->callers,
	    BUFFER_MIN_BYTES, BUFFER_MAX_BYTES);
	limits->receive_bytes = buffer;
	limits->send_bytes = buffer;
	waiting_bytes = limits->memory_bytes / BACKLOG_PART;
	limits->waiting_bytes =
	    bounded(waiting_bytes / BACKLOG_WANTED, WAITING_MIN_BYTES, buffer);
	limits->backlog = waiting_bytes / limits->waiting_bytes;
}
