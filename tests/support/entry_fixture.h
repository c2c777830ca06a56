/*
 * entry_fixture.h - a small deployment on the users' platform in one process and on
 * one loop: the store, backend servers and entry instances, over loopback.
 */
#ifndef ALMONDTHREAD_TESTS_EDGE_H
#define ALMONDTHREAD_TESTS_EDGE_H

#include "entry/entry.h"
#include "platform/standin/standin_platform.h"
#include "support/fixture.h"

#define EDGE_MAX 8            /* of each kind */
#define EDGE_HOST "e.example" /* of every route */
#define EDGE_KEY "key-one"    /* of the one workspace, "studio" */
/*
 * Paths: "/safe/" and "/unsafe/" lead to the plain service, "/stream/" and
 * "/once/" to the engines; a stream of the first may be resumed.
 */

typedef struct edge {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	standin_store_t *store;
	char store_address[AT_ADDR_SIZE];
	standin_server_t *servers[EDGE_MAX];
	char ids[EDGE_MAX][AT_NAME_SIZE];
	size_t server_count;
	at_entry_t *entries[EDGE_MAX];
	char addresses[EDGE_MAX][AT_ADDR_SIZE];
	char peers[EDGE_MAX][AT_ADDR_SIZE];
	char names[EDGE_MAX][AT_NAME_SIZE];
	size_t entry_count;
	uint64_t config_version;
} edge_t;

/* An answer; freed by edge_answer_free(). */
typedef struct edge_answer {
	int done;
	int status;
	int whole;
	char retry_after[32];
	char stamp[64];
	char *body;
	size_t len;
	at_transfer_t *transfer;
} edge_answer_t;

edge_t *edge_new(void);
void edge_delete(edge_t *edge);
/* edge_configure() writes a newer configuration, with or without the key. */
void edge_configure(edge_t *edge, int with_key);
/* Each returns the index of what it adds. */
size_t edge_add_plain(edge_t *edge);
size_t edge_add_engine(edge_t *edge, const char *model);
size_t edge_add_entry(edge_t *edge);
/* edge_list_server() writes what a server says of itself. */
void edge_list_server(edge_t *edge, size_t server, int leaving);
/*
 * edge_list_unreachable() lists two plain servers to which no connection can be
 * made: attempts hang. The sockets behind them are to be closed.
 */
#define EDGE_FULL_SOCKETS 4
void edge_list_unreachable(edge_t *edge, int sockets[EDGE_FULL_SOCKETS]);
/* edge_until() runs the loop until met() is true; fails the test else. */
void edge_until(edge_t *edge, int (*met)(void *ctx), void *ctx);
void edge_run_ms(edge_t *edge, uint32_t time_ms);
void edge_until_ready(edge_t *edge);

/* What is asked; NULL leaves a header out. */
typedef struct edge_request {
	const char *method;
	const char *target;
	const char *id;
	const char *key;
	const char *model;
	const char *body;
} edge_request_t;

void edge_send(edge_t *edge, size_t entry, const edge_request_t *request,
    edge_answer_t *answer);
/* edge_ask() sends and waits for the end. */
void edge_ask(edge_t *edge, size_t entry, const edge_request_t *request,
    edge_answer_t *answer);
void edge_answer_free(edge_answer_t *answer);

#endif
