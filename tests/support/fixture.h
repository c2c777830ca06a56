/*
 * fixture.h - a small fleet for contract tests: stand-ins for the platform,
 * engines and services, and up to FIXTURE_MAX entry instances ("nodes"), in one
 * process, on one event loop and connected over loopback. Functions that cannot
 * do their work fail the test. Conditions are awaited with a time limit that
 * follows from the stated target.
 */
#ifndef ALMONDTHREAD_TESTS_FIXTURE_H
#define ALMONDTHREAD_TESTS_FIXTURE_H

#include "daemon/node/node.h"
#include "standin/standin.h"

#define FIXTURE_MAX 16             /* of engines, of services and of nodes */
#define FIXTURE_STOP_MAX_MS 60000u /* longest planned stop of a node */

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
	/*
	 * Settings of nodes that are added from now on. node_platform is the
	 * address of the platform; NULL means platform_address. node_seeds has
	 * seed addresses; NULL means none.
	 */
	const char *node_platform;
	const char *node_seeds;
} fixture_t;

/*
 * The response to a call. body ends with a NUL, is NULL until the first byte
 * or the end, and is freed by fixture_response_free().
 */
typedef struct fixture_response {
	int done;
	int is_complete;
	int status;
	at_reason_t reason;
	uint64_t version; /* from the X-Version header, 0 without one */
	char *body;
	size_t len;
	at_transfer_t *transfer; /* while it is open, else NULL */
} fixture_response_t;

/*
 * fixture_secret() returns the fleet's secret in hexadecimal. Each process has
 * another one: a node of a test that runs at the same time may get the port of
 * a node that was stopped here, and must not join this fleet. The text is
 * static.
 */
const char *fixture_secret(void);

/*
 * fixture_new() starts the platform only. fixture_delete() stops and frees
 * everything that the fixture has started.
 */
fixture_t *fixture_new(void);
void fixture_delete(fixture_t *fixture);

/*
 * Each starts an engine, a service or an entry instance, writes it to the
 * platform's instance list, and returns its index. model may be NULL.
 */
size_t fixture_add_engine(fixture_t *fixture, const char *name,
    const char *data_centre, const char *model);
size_t fixture_add_service(fixture_t *fixture, const char *name,
    const char *data_centre, const char *service);
size_t fixture_add_node(
    fixture_t *fixture, const char *name, const char *data_centre);
/* fixture_list_service() lists a service that the caller runs by itself. */
void fixture_list_service(fixture_t *fixture, const char *name,
    const char *data_centre, const char *service, const char *address);

/*
 * fixture_remove_node() deletes a node without a planned stop, like a crash.
 * The instance list is not changed.
 */
void fixture_remove_node(fixture_t *fixture, size_t index);

/* fixture_unlist_instance() removes an instance from the platform's list. */
void fixture_unlist_instance(fixture_t *fixture, const char *name);

/* fixture_apply_config() replaces the platform's configuration document. */
void fixture_apply_config(fixture_t *fixture, const char *json);

/*
 * fixture_make_key() returns the text of the key with an id and writes the
 * hexadecimal hash of it that a configuration has. The text is static and valid
 * until the next call.
 */
const char *fixture_make_key(const char *id, char hash[65]);

/*
 * fixture_send() starts a call on a new connection. headers ends with NULL;
 * headers and body may be NULL. response must stay valid until the call has
 * ended or is cancelled.
 */
void fixture_send(fixture_t *fixture, fixture_response_t *response,
    const char *method, const char *address, const char *path,
    const char *const *headers, const char *body);
/* fixture_call() sends and waits for the end; fails the test after 20 s. */
fixture_response_t fixture_call(fixture_t *fixture, const char *method,
    const char *address, const char *path, const char *const *headers,
    const char *body);
void fixture_response_free(fixture_response_t *response);

/* fixture_cancel() closes the connection of an open call. */
void fixture_cancel(fixture_response_t *response);

/*
 * fixture_set_faults() sets faults of the stand-in at an address; fields that
 * json does not name keep their values.
 */
void fixture_set_faults(
    fixture_t *fixture, const char *address, const char *json);

/*
 * fixture_run_until() runs the loop until met() returns non-zero or limit_ms
 * has passed. Returns non-zero if the condition was met.
 */
int fixture_run_until(
    fixture_t *fixture, int (*met)(void *ctx), void *ctx, uint32_t limit_ms);
/* fixture_run_ms() runs the loop for time_ms. */
void fixture_run_ms(fixture_t *fixture, uint32_t time_ms);

#endif
