/*
 * process_limits.h - how the descriptors and the memory of a process are
 * divided among the addresses that it listens on and the connections that it
 * makes.
 *
 * The load: clients that open more connections than a process may have, at any
 * of its addresses, and do not send or read on them. Without parts of their own
 * they would take the descriptors of each other, of backend servers and of the
 * store. The division has no I/O.
 */
#ifndef ALMONDTHREAD_PROCESS_LIMITS_H
#define ALMONDTHREAD_PROCESS_LIMITS_H

#include <stddef.h>
#include <stdint.h>

/*
 * The fewest descriptors, and the least memory, that a process can serve with:
 * one without requests takes 12 MB, and a body of 4 MB is to be served, too.
 */
#define AT_PROCESS_DESCRIPTORS_MIN 128u
#define AT_PROCESS_MEMORY_MIN_BYTES (32u << 20)

typedef struct at_process_limits {
	uint64_t memory_bytes;
	size_t descriptors;
	size_t callers;   /* connections of callers */
	size_t peers;     /* connections of other instances */
	size_t operators; /* connections at each other address */
	size_t outgoing;  /* connections to servers, instances and the store */
	/* Bytes that the kernel holds for each accepted connection. */
	size_t receive_bytes;
	size_t send_bytes;
	/* Connections that may wait to be accepted, and the bytes of each. */
	size_t backlog;
	size_t waiting_bytes;
} at_process_limits_t;

/*
 * at_process_limits_divide() divides what a process has. Values below the
 * smallest are taken for these.
 */
void at_process_limits_divide(
    at_process_limits_t *limits, size_t descriptors, uint64_t memory_bytes);

#endif
