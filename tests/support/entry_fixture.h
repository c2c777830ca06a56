/*
 * entry_fixture.h - a small deployment on the users' platform in one process
 * and on one loop: the store, backend servers and entry instances, over
 * loopback.
 */
#ifndef ALMONDTHREAD_TESTS_ENTRY_FIXTURE_H
#define ALMONDTHREAD_TESTS_ENTRY_FIXTURE_H

#include "entry/entry.h"
#include "platform/standin/standin_platform.h"
#include "support/fixture.h"

#define ENTRY_FIXTURE_MAX 8            /* of each kind */
#define ENTRY_FIXTURE_HOST "e.example" /* of every route */
#define ENTRY_FIXTURE_KEY "key-one"    /* of the one workspace, "studio" */
/*
 * Paths: "/safe/" and "/unsafe/" lead to the plain service, "/stream/" and
 * "/once/" to the engines; a stream of the first may be resumed.
 */

typedef struct entry_fixture {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	standin_store_t *store;
	char store_address[AT_ADDR_SIZE];
	standin_server_t *servers[ENTRY_FIXTURE_MAX];
	char ids[ENTRY_FIXTURE_MAX][AT_NAME_SIZE];
	size_t server_count;
	at_entry_t *entries[ENTRY_FIXTURE_MAX];
	char addresses[ENTRY_FIXTURE_MAX][AT_ADDR_SIZE];
	char peers[ENTRY_FIXTURE_MAX][AT_ADDR_SIZE];
	char names[ENTRY_FIXTURE_MAX][AT_NAME_SIZE];
	size_t entry_count;
	uint64_t config_version;
} entry_fixture_t;

/* An answer; freed by entry_fixture_response_free(). */
typedef struct entry_fixture_response {
	int done;
	int status;
	int is_complete;
	char retry_after[32];
	char signature[64];
	char *body;
	size_t len;
	at_transfer_t *transfer;
} entry_fixture_response_t;

entry_fixture_t *entry_fixture_new(void);
void entry_fixture_delete(entry_fixture_t *f);
/* entry_fixture_apply_config() writes a newer configuration, with or without
 * the key. */
void entry_fixture_apply_config(entry_fixture_t *f, int with_key);
/* Each returns the index of what it adds. */
size_t entry_fixture_add_service(entry_fixture_t *f);
size_t entry_fixture_add_engine(entry_fixture_t *f, const char *model);
size_t entry_fixture_add_entry(entry_fixture_t *f);
/* entry_fixture_list_server() writes what a server says of itself. */
void entry_fixture_list_server(entry_fixture_t *f, size_t server, int leaving);
/*
 * entry_fixture_list_unreachable() lists two plain servers to which no
 * connection can be made: attempts hang. The sockets behind them are to be
 * closed.
 */
#define ENTRY_FIXTURE_SOCKETS 4
void entry_fixture_list_unreachable(
    entry_fixture_t *f, int sockets[ENTRY_FIXTURE_SOCKETS]);
/* entry_fixture_run_until() runs the loop until met() is true; fails the test
 * else. */
void entry_fixture_run_until(
    entry_fixture_t *f, int (*met)(void *ctx), void *ctx);
void entry_fixture_run_ms(entry_fixture_t *f, uint32_t time_ms);
void entry_fixture_run_until_ready(entry_fixture_t *f);

/* What is asked; NULL leaves a header out. */
typedef struct entry_fixture_request {
	const char *method;
	const char *target;
	const char *id;
	const char *key;
	const char *model;
	const char *body;
} entry_fixture_request_t;

void entry_fixture_send(entry_fixture_t *f, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response);
/* entry_fixture_call() sends and waits for the end. */
void entry_fixture_call(entry_fixture_t *f, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response);
void entry_fixture_response_free(entry_fixture_response_t *response);

#endif
