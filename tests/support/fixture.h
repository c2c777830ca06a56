/*
 * fixture.h - a small fleet in one process and on one loop: the platform,
 * engine and service stand-ins and any number of entry instances, all over
 * loopback. Conditions are awaited with a bound from the stated target.
 */
#ifndef ALMONDTHREAD_TESTS_FIXTURE_H
#define ALMONDTHREAD_TESTS_FIXTURE_H

#include "daemon/node/node.h"
#include "standin/standin.h"

#define FIXTURE_MAX 16 /* of each kind */
#define FIXTURE_STOP_MAX_MS 60000u

typedef struct fixture {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	standin_platform_t *platform;
	char platform_address[AT_ADDR_SIZE];
	standin_engine_t *engines[FIXTURE_MAX];
	char engine_addresses[FIXTURE_MAX][AT_ADDR_SIZE];
	size_t engine_count;
	standin_service_t *services[FIXTURE_MAX];
	char service_addresses[FIXTURE_MAX][AT_ADDR_SIZE];
	size_t service_count;
	at_node_t *nodes[FIXTURE_MAX];
	char node_addresses[FIXTURE_MAX][AT_ADDR_SIZE];
	char operator_addresses[FIXTURE_MAX][AT_ADDR_SIZE];
	char peer_addresses[FIXTURE_MAX][AT_ADDR_SIZE];
	size_t node_count;
	/* Of nodes added from now on; NULL: the platform itself, none. */
	const char *node_platform;
	const char *node_seeds;
} fixture_t;

/* One answer; body is NUL-terminated. Freed by fixture_response_free(). */
typedef struct fixture_response {
	int done;
	int is_complete;
	int status;
	at_reason_t reason;
	uint64_t version; /* of the X-Version header */
	char *body;
	size_t len;
	at_transfer_t *transfer; /* while it is open */
} fixture_response_t;

/*
 * The fleet's secret in hexadecimal, another one in each process: a port that
 * a stopped node leaves may be taken by a node of a test beside this one.
 */
const char *fixture_secret(void);

/* fixture_new() starts the platform alone. */
fixture_t *fixture_new(void);
void fixture_delete(fixture_t *f);

/* Each starts one process's worth and lists it; returns its index. */
size_t fixture_add_engine(
    fixture_t *f, const char *name, const char *data_centre, const char *model);
size_t fixture_add_service(fixture_t *f, const char *name,
    const char *data_centre, const char *service);
size_t fixture_add_node(
    fixture_t *f, const char *name, const char *data_centre);

/* fixture_remove_node() ends a node at once, as a crash would. */
void fixture_remove_node(fixture_t *f, size_t index);

/* fixture_unlist_instance() takes an instance out of the platform's list. */
void fixture_unlist_instance(fixture_t *f, const char *name);

/* fixture_apply_config() stores a configuration over whatever is in force. */
void fixture_apply_config(fixture_t *f, const char *json);

/*
 * fixture_make_key() returns a key's text and writes the hexadecimal hash that
 * a configuration holds for it.
 */
const char *fixture_make_key(const char *id, char hash[65]);

/* fixture_send() starts a call; headers ends with NULL and may be NULL. */
void fixture_send(fixture_t *f, fixture_response_t *response,
    const char *method, const char *address, const char *path,
    const char *const *headers, const char *body);
/* fixture_call() sends and waits; fails the test after 20 s. */
fixture_response_t fixture_call(fixture_t *f, const char *method,
    const char *address, const char *path, const char *const *headers,
    const char *body);
void fixture_response_free(fixture_response_t *response);

/* fixture_cancel() closes an open call as a caller that leaves does. */
void fixture_cancel(fixture_response_t *response);

/* fixture_set_faults() sets faults of a stand-in at an address. */
void fixture_set_faults(fixture_t *f, const char *address, const char *json);

/*
 * fixture_run_until() runs the loop until met() or limit_ms; returns non-zero
 * when it was met.
 */
int fixture_run_until(
    fixture_t *f, int (*met)(void *ctx), void *ctx, uint32_t limit_ms);
/* fixture_run_ms() runs the loop for a time. */
void fixture_run_ms(fixture_t *f, uint32_t time_ms);

#endif
