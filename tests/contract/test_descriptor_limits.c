/*
 * More connections than a process may have descriptors, at each address that it
 * listens on, while the kernel enforces the number: it goes on accepting at all
 * of them, and reaches its backend servers.
 */
#include "support/crowd.h"

/* The addresses of almondthreadd for checks and for metrics are one. */
#define ADDRESSES_TEST(name, ...)                                              \
	CROWD_TEST(descriptor_limits, name##_to_callers,                       \
	    .address = CROWD_CALLERS, .has_kernel_limit = 1, __VA_ARGS__)      \
	CROWD_TEST(descriptor_limits, name##_to_checks,                        \
	    .address = CROWD_CHECKS, .has_kernel_limit = 1, __VA_ARGS__)       \
	CROWD_TEST(descriptor_limits, name##_to_metrics,                       \
	    .address = CROWD_METRICS, .has_kernel_limit = 1, __VA_ARGS__)      \
	CROWD_TEST(descriptor_limits, name##_to_peers, .address = CROWD_PEERS, \
	    .has_kernel_limit = 1, __VA_ARGS__)                                \
	CROWD_TEST(daemon_descriptor_limits, name##_to_callers,                \
	    .program = CROWD_DAEMON, .address = CROWD_CALLERS,                 \
	    .has_kernel_limit = 1, __VA_ARGS__)                                \
	CROWD_TEST(daemon_descriptor_limits, name##_to_operators,              \
	    .program = CROWD_DAEMON, .address = CROWD_CHECKS,                  \
	    .has_kernel_limit = 1, __VA_ARGS__)                                \
	CROWD_TEST(daemon_descriptor_limits, name##_to_peers,                  \
	    .program = CROWD_DAEMON, .address = CROWD_PEERS,                   \
	    .has_kernel_limit = 1, __VA_ARGS__)

/* Only the callers' address of almond-entry had a bound. */
ADDRESSES_TEST(silent, .kind = CROWD_SILENT, .clients = 400)
ADDRESSES_TEST(returning, .kind = CROWD_SILENT, .clients = 400, .returns = 1)
/* A connection with an unfinished request was not idle, and stayed. */
ADDRESSES_TEST(headers_without_end, .kind = CROWD_HEADERS, .clients = 400,
    .sent = 100, .piece = 512)
ADDRESSES_TEST(short_bodies, .kind = CROWD_LENGTH, .clients = 400, .length = 64,
    .sent = 63, .piece = 512)
CROWD_TEST(descriptor_limits, returning_bodies_to_callers,
    .has_kernel_limit = 1, .kind = CROWD_LENGTH, .clients = 400, .length = 64,
    .sent = 63, .piece = 512, .returns = 1)
ADDRESSES_TEST(trickling_bodies, .kind = CROWD_LENGTH, .clients = 400,
    .length = 4000, .sent = 3999, .trickles = 1)
/* Each byte was taken for a sign of life. */
ADDRESSES_TEST(trickling_lines, .kind = CROWD_GARBAGE, .clients = 400,
    .sent = 4000, .trickles = 1)
ADDRESSES_TEST(unread_responses, .kind = CROWD_PIPELINED, .clients = 400,
    .sent = 100000, .piece = 65536)

/* Each request has a connection to a backend server, too. */
CROWD_TEST(descriptor_limits, held_requests, .has_kernel_limit = 1,
    .stub = STUB_SILENT, .kind = CROWD_FIELDS, .clients = 400, .piece = 16384)
CROWD_TEST(daemon_descriptor_limits, held_requests, .program = CROWD_DAEMON,
    .has_kernel_limit = 1, .stub = STUB_SILENT, .kind = CROWD_FIELDS,
    .clients = 400, .piece = 16384)
CROWD_TEST(descriptor_limits, unread_streams, .has_kernel_limit = 1,
    .stub = STUB_STREAM, .kind = CROWD_NO_READING, .clients = 400,
    .complete = 400, .length = 2, .sent = 2, .piece = 512)
