/*
 * Clients that do not respect the limits on bodies, headers and responses,
 * against a process of almond-entry and of almondthreadd on a machine with
 * little memory.
 */
#include "support/crowd.h"

/* One test for each program. */
#define BOTH_TEST(name, ...)                                                 \
	CROWD_TEST(memory_limits, name, .program = CROWD_ENTRY, __VA_ARGS__) \
	CROWD_TEST(                                                          \
	    daemon_memory_limits, name, .program = CROWD_DAEMON, __VA_ARGS__)

/* Each body was kept whole, with room to grow; nothing bounded their sum. */
BOTH_TEST(whole_bodies, .kind = CROWD_LENGTH, .clients = 32, .complete = 4,
    .length = 4000000, .sent = 3999999, .piece = 4000000)
BOTH_TEST(bodies_in_pieces, .kind = CROWD_LENGTH, .clients = 32, .complete = 4,
    .length = 4000000, .sent = 3999999, .piece = 65536)
BOTH_TEST(large_chunks, .kind = CROWD_CHUNKED, .clients = 32, .complete = 4,
    .sent = 3 * 1000009, .piece = 262144, .chunk = 1000000)
BOTH_TEST(one_byte_chunks, .kind = CROWD_CHUNKED, .clients = 32, .complete = 4,
    .sent = 600000, .piece = 60000, .chunk = 1)
/* A body over the limit is not needed, and was kept up to the limit. */
BOTH_TEST(announced_too_large, .kind = CROWD_LENGTH, .clients = 32,
    .length = 1000000000, .sent = 4000000, .piece = 262144)
BOTH_TEST(unannounced_too_large, .kind = CROWD_CHUNKED, .clients = 32,
    .sent = 12000000, .piece = 262144, .chunk = 65536)
BOTH_TEST(headers_without_end, .kind = CROWD_HEADERS, .clients = 400,
    .sent = 1000000, .piece = 16384)
BOTH_TEST(silent_connections, .kind = CROWD_SILENT, .clients = 400)
/* Responses were kept up to a fixed sum, and copied to be sent. */
BOTH_TEST(unread_responses, .kind = CROWD_NO_READING, .stub = STUB_LARGE,
    .clients = 32, .complete = 32, .length = 2, .sent = 2, .piece = 65536)
/* Only almond-entry takes streams that an engine has no model for. */
CROWD_TEST(memory_limits, unread_streams, .kind = CROWD_NO_READING,
    .stub = STUB_STREAM, .clients = 32, .complete = 32, .length = 2, .sent = 2,
    .piece = 65536)
/* Each attempt had a copy of the body. */
BOTH_TEST(servers_that_do_not_read, .kind = CROWD_LENGTH,
    .stub = STUB_NO_READING, .clients = 32, .complete = 32, .length = 3000000,
    .sent = 3000000, .piece = 262144)
/* The bodies of one owner are counted together; these have many. */
BOTH_TEST(bodies_from_many_addresses, .kind = CROWD_LENGTH, .clients = 64,
    .sources = 64, .length = 4000000, .sent = 3999999, .piece = 65536)
/* Whole requests that wait for a backend server keep their headers. */
BOTH_TEST(held_requests_with_large_headers, .kind = CROWD_FIELDS,
    .stub = STUB_SILENT, .descriptors = 2048, .clients = 1000, .piece = 16384)
/* A connection that is kept after a request has its buffer, 48 KB. */
BOTH_TEST(kept_connections, .kind = CROWD_FIELDS, .descriptors = 2048,
    .clients = 1000, .piece = 16384)
BOTH_TEST(several_kinds, .kind = CROWD_MIXED, .clients = 160)

/* Tables by names grew with each name. */
BOTH_TEST(names_of_clients, .kind = CROWD_NAMES, .clients = 16, .piece = 16384)
BOTH_TEST(several_kinds_that_return, .kind = CROWD_MIXED, .clients = 160,
    .returns = 1)

/* Parsed, each digit takes many times its size. */
CROWD_TEST(daemon_memory_limits, dense_json, .program = CROWD_DAEMON,
    .kind = CROWD_JSON, .clients = 16, .complete = 16, .length = 4000001,
    .sent = 4000001, .piece = 262144)

/* A crowd at another address than the callers'. */
BOTH_TEST(bodies_to_checks, .address = CROWD_CHECKS, .kind = CROWD_LENGTH,
    .clients = 64, .length = 1000000, .sent = 999999, .piece = 65536)
CROWD_TEST(memory_limits, bodies_to_metrics, .address = CROWD_METRICS,
    .kind = CROWD_LENGTH, .clients = 64, .length = 1000000, .sent = 999999,
    .piece = 65536)
CROWD_TEST(memory_limits, bodies_to_peers, .address = CROWD_PEERS,
    .kind = CROWD_LENGTH, .clients = 32, .length = 4000000, .sent = 3999999,
    .piece = 65536)
BOTH_TEST(pipelined_metrics, .address = CROWD_METRICS, .kind = CROWD_PIPELINED,
    .clients = 64, .sent = 2000000, .piece = 65536)
CROWD_TEST(daemon_memory_limits, garbage_to_peers, .program = CROWD_DAEMON,
    .address = CROWD_PEERS, .kind = CROWD_GARBAGE, .clients = 64,
    .sent = 1000000, .piece = 65536)

CROWD_TEST(memory_limits, datagrams_to_peers, .address = CROWD_PEERS,
    .kind = CROWD_DATAGRAMS, .clients = 16, .sent = 240000, .piece = 1200)

/* Without the setting, the process goes by what the kernel grants it. */
BOTH_TEST(bodies_without_the_setting, .kind = CROWD_LENGTH,
    .without_memory_setting = 1, .memory_mb = 96, .clients = 64,
    .length = 4000000, .sent = 3999999, .piece = 65536)
BOTH_TEST(too_large_without_the_setting, .kind = CROWD_CHUNKED,
    .without_memory_setting = 1, .memory_mb = 96, .clients = 64,
    .sent = 4000000, .piece = 262144, .chunk = 65536)

/* While the process is occupied with something else. */
BOTH_TEST(bodies_at_a_start, .event = CROWD_START, .kind = CROWD_LENGTH,
    .returns = 1, .clients = 32, .length = 4000000, .sent = 3999999,
    .piece = 65536)
BOTH_TEST(bodies_to_a_frozen_process, .event = CROWD_FREEZE,
    .kind = CROWD_LENGTH, .clients = 32, .length = 4000000, .sent = 3999999,
    .piece = 65536)
BOTH_TEST(bodies_at_a_stop, .event = CROWD_STOP, .kind = CROWD_LENGTH,
    .clients = 32, .length = 4000000, .sent = 3999999, .piece = 65536)
BOTH_TEST(bodies_over_a_smaller_limit, .event = CROWD_SMALLER_BODIES,
    .kind = CROWD_LENGTH, .clients = 32, .length = 4000000, .sent = 3999999,
    .piece = 32768)

/* A client that keeps to all limits is served, however slow it is. */
#define SLOW_TEST(suite, name, ...)                            \
	Test(suite, name, .timeout = 280, .fini = process_end) \
	{                                                      \
		static const crowd_t crowd = {__VA_ARGS__};    \
		crowd_run_slow(&crowd);                        \
	}

SLOW_TEST(memory_limits, a_slow_body_is_served, .kind = CROWD_LENGTH,
    .complete = 1, .length = CROWD_BODY_MAX_BYTES, .piece = 104858)
SLOW_TEST(memory_limits, a_slow_body_in_chunks_is_served, .kind = CROWD_CHUNKED,
    .complete = 1, .chunk = 131072, .sent = 32 * 131081, .piece = 131081)
SLOW_TEST(daemon_memory_limits, a_slow_body_is_served, .program = CROWD_DAEMON,
    .kind = CROWD_LENGTH, .complete = 1, .length = CROWD_BODY_MAX_BYTES,
    .piece = 104858)
