/*
 * crowd.h - clients that respect no limits, against a process of almond-entry
 * or almondthreadd on a small machine. After the crowd has sent what it sends,
 * the process lives, its memory and its descriptors stay under their bounds,
 * and an ordinary request is answered at each of its addresses. What becomes of
 * the crowd's requests depends on the machine's speed and is not checked.
 */
#ifndef ALMONDTHREAD_TESTS_CROWD_H
#define ALMONDTHREAD_TESTS_CROWD_H

#include <stddef.h>

#include <criterion/criterion.h>

#include "support/process.h"

#define CROWD_MEMORY_MB 48u          /* of the machine, if a row has none */
#define CROWD_DESCRIPTORS 256u       /* likewise */
#define CROWD_BODY_MAX_BYTES 4194304 /* as the configuration has it */

typedef enum crowd_program {
	CROWD_ENTRY, /* almond-entry */
	CROWD_DAEMON /* almondthreadd */
} crowd_program_t;

/* An address that the process listens on. */
typedef enum crowd_address {
	CROWD_CALLERS,
	CROWD_CHECKS,  /* readiness; that of operators in almondthreadd */
	CROWD_METRICS, /* likewise */
	CROWD_PEERS,
	CROWD_ADDRESS_COUNT
} crowd_address_t;

/* What a client sends. It keeps its connection open afterwards. */
typedef enum crowd_kind {
	CROWD_LENGTH,     /* a body with Content-Length */
	CROWD_CHUNKED,    /* one in chunks of chunk bytes */
	CROWD_HEADERS,    /* a header section without end */
	CROWD_FIELDS,     /* a whole one of 15,000 bytes, and no body */
	CROWD_SILENT,     /* nothing */
	CROWD_NO_READING, /* a whole request; its response is not read */
	CROWD_PIPELINED,  /* many; their responses are not read */
	CROWD_JSON,       /* a body of as many JSON values as it can hold */
	CROWD_NAMES,      /* one request after the other, each with new names */
	CROWD_GARBAGE,    /* bytes that are no request */
	CROWD_DATAGRAMS,  /* likewise, over UDP */
	CROWD_MIXED       /* clients of the kinds above */
} crowd_kind_t;

/* The backend server of the crowd's requests. */
typedef enum stub_kind {
	STUB_NONE,       /* a sound one */
	STUB_LARGE,      /* responds with a large body */
	STUB_STREAM,     /* streams events without end */
	STUB_NO_READING, /* does not read request bodies */
	STUB_SILENT      /* reads and does not respond */
} stub_kind_t;

/* What happens while the crowd sends. */
typedef enum crowd_event {
	CROWD_NO_EVENT,
	CROWD_START,         /* the process starts after the crowd */
	CROWD_FREEZE,        /* it does not run for a time */
	CROWD_STOP,          /* it is told to stop, and has to end by itself */
	CROWD_SMALLER_BODIES /* a configuration with a smaller limit */
} crowd_event_t;

typedef struct crowd {
	crowd_program_t program;
	crowd_address_t address;
	crowd_kind_t kind;
	stub_kind_t stub;
	crowd_event_t event;
	size_t clients;
	size_t complete; /* of these send their body whole */
	size_t length;   /* Content-Length */
	size_t sent;     /* bytes of the body that are sent, on the wire */
	size_t piece;    /* sent by a client at a time */
	size_t chunk;
	int returns;    /* a client connects again once it is closed */
	int trickles;   /* one byte a client at a time, 100 ms apart */
	size_t sources; /* IPv4 addresses of the clients; 0: one */
	size_t memory_mb;
	size_t descriptors;
	/*
	 * Not stated in the settings: memory_mb is then the kernel's limit on
	 * the memory of the process.
	 */
	int without_memory_setting;
	/* The kernel enforces the number of descriptors. */
	int has_kernel_limit;
} crowd_t;

/* Runs a crowd, and checks what is stated above. */
void crowd_run(const crowd_t *crowd);
/*
 * Sends one request as slowly as a client may that keeps to the limits, and
 * checks that it is served: the headers in two parts, the body in pieces.
 */
void crowd_run_slow(const crowd_t *crowd);

/*
 * A test with one crowd; the further arguments are fields of crowd_t.
 */
#define CROWD_TEST(suite, name, ...)                               \
	Test(suite, name, .timeout = 280, .fini = process_end)     \
	{                                                          \
		static const crowd_t crowd_of_row = {__VA_ARGS__}; \
		crowd_run(&crowd_of_row);                          \
	}

#endif
