/*
 * raw_server.h - a backend server that writes raw bytes: one response to the
 * first bytes of each connection, then it ends the connection.
 */
#ifndef ALMONDTHREAD_TESTS_RAW_SERVER_H
#define ALMONDTHREAD_TESTS_RAW_SERVER_H

#include "support/entry_fixture.h"

typedef enum raw_end {
	RAW_CLOSE, /* it writes no more */
	RAW_RESET
} raw_end_t;

/* Of an open connection; several may be open. */
typedef struct raw_connection raw_connection_t;

typedef struct raw_server {
	struct ev_loop *loop;
	int fd;
	char address[AT_ADDR_SIZE];
	ev_io acceptable;
	raw_connection_t *connections;
	/* What is written from now on; borrowed. */
	const char *bytes;
	size_t len;
	raw_end_t end;
	uint32_t responses; /* written so far */
} raw_server_t;

/* raw_server_init() listens on loopback. raw_server_close() ends it. */
void raw_server_init(raw_server_t *server, struct ev_loop *loop);
void raw_server_close(raw_server_t *server);

#endif
