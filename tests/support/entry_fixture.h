/*
 * entry_fixture.h - a small deployment on the users' platform: the store,
 * backend servers and entry instances in one process, on one event loop and
 * connected over loopback.
 *
 * Routes: "/safe/" and "/unsafe/" lead to the service "plain"; "/stream/" and
 * "/once/" lead to the engines. A stream from "/stream/" may be resumed.
 */
#ifndef ALMONDTHREAD_TESTS_ENTRY_FIXTURE_H
#define ALMONDTHREAD_TESTS_ENTRY_FIXTURE_H

#include "entry/entry.h"
#include "platform/standin/standin_platform.h"
#include "support/fixture.h"

#define ENTRY_FIXTURE_MAX 96 /* of backend servers and of entry instances */
#define ENTRY_FIXTURE_HOST "e.example" /* host name of every route */
#define ENTRY_FIXTURE_KEY "key-one"    /* API key of workspace "studio" */
/* Software version of a backend server that is added without one. */
#define ENTRY_FIXTURE_VERSION "v1"

typedef struct entry_fixture {
	struct ev_loop *loop;
	at_httpc_t *httpc;
	standin_store_t *store;
	char store_address[AT_ADDR_SIZE];
	char seeds[4 * AT_ADDR_SIZE]; /* of the instances added from now on */
	uint32_t descriptors;         /* of each instance added from now on */
	/* Settings of each instance added from now on; regions is borrowed. */
	uint32_t evacuate_ms;
	const char *regions;
	/* Not 0: they have hosts of their own, and this port for reports. */
	uint16_t peers_port;
	standin_server_t *servers[ENTRY_FIXTURE_MAX];
	char ids[ENTRY_FIXTURE_MAX][AT_NAME_SIZE];
	const char *versions[ENTRY_FIXTURE_MAX];     /* of software; borrowed */
	const char *data_centres[ENTRY_FIXTURE_MAX]; /* of servers; borrowed */
	size_t server_count;
	at_entry_t *entries[ENTRY_FIXTURE_MAX]; /* NULL: removed */
	char addresses[ENTRY_FIXTURE_MAX][AT_ADDR_SIZE];
	char peers[ENTRY_FIXTURE_MAX][AT_ADDR_SIZE];
	char names[ENTRY_FIXTURE_MAX][AT_NAME_SIZE];
	size_t entry_count;
	uint64_t config_version;
	size_t further_routes;
	/*
	 * Not 0: what the engines take a second while they are cold, and the
	 * instances added from now on keep to it.
	 */
	uint32_t cold_per_s;
	/* Called with the index of each instance that is added, or NULL. */
	void (*on_entry_created)(void *ctx, size_t entry);
	void *on_entry_created_ctx;
} entry_fixture_t;

/* A response; freed by entry_fixture_response_free(). */
typedef struct entry_fixture_response {
	int done;
	int status;
	int is_complete;
	char retry_after[32];
	char signature[64];
	char *body;
	size_t len;
	at_transfer_t *transfer; /* while it is open, else NULL */
} entry_fixture_response_t;

/*
 * entry_fixture_new() starts the store only. Never returns NULL.
 * entry_fixture_delete() stops and frees everything that the fixture has
 * started.
 */
entry_fixture_t *entry_fixture_new(void);
void entry_fixture_delete(entry_fixture_t *fixture);
/*
 * entry_fixture_apply_config() writes a new version of the configuration to the
 * store, with ENTRY_FIXTURE_KEY or without it.
 */
void entry_fixture_apply_config(entry_fixture_t *fixture, int with_key);
/* The same with as many further routes, "/more0/" and so on, from now on. */
void entry_fixture_set_further_routes(
    entry_fixture_t *fixture, size_t further_routes);
/*
 * Each starts one backend server of the service "plain", one engine with a
 * model or one entry instance, and returns its index.
 */
size_t entry_fixture_add_service(entry_fixture_t *fixture);
size_t entry_fixture_add_engine(entry_fixture_t *fixture, const char *model);
size_t entry_fixture_add_entry(entry_fixture_t *fixture);
/* version, of the engine's software, must outlive the fixture. */
size_t entry_fixture_add_engine_of_version(
    entry_fixture_t *fixture, const char *model, const char *version);
/* The same in a data centre other than "north"; data_centre is borrowed. */
size_t entry_fixture_add_service_in(
    entry_fixture_t *fixture, const char *data_centre);
size_t entry_fixture_add_engine_in(
    entry_fixture_t *fixture, const char *model, const char *data_centre);
size_t entry_fixture_add_entry_in(
    entry_fixture_t *fixture, const char *data_centre);
/*
 * entry_fixture_use_hosts() gives the instances that are added later hosts of
 * their own, as on machines; entry_fixture_host() returns that of one, which
 * need not have been added yet.
 */
void entry_fixture_use_hosts(entry_fixture_t *fixture);
void entry_fixture_host(size_t entry, char host[AT_ADDR_SIZE]);
/*
 * entry_fixture_remove_entry() deletes an entry instance without a shutdown, as
 * if it had been killed.
 */
void entry_fixture_remove_entry(entry_fixture_t *fixture, size_t entry);
/*
 * entry_fixture_list_server() writes the next heartbeat of a backend server to
 * the store; entry_fixture_unlist_server() removes it from the list.
 */
void entry_fixture_list_server(
    entry_fixture_t *fixture, size_t server, int leaving);
void entry_fixture_unlist_server(entry_fixture_t *fixture, size_t server);
/*
 * entry_fixture_list_unreachable() lists two backend servers of the service
 * "plain" whose address drops connection requests, so that connecting to them
 * times out. The caller closes the sockets: the listener and the connections
 * that fill its backlog.
 */
#define ENTRY_FIXTURE_SOCKETS 4
void entry_fixture_list_unreachable(
    entry_fixture_t *fixture, int sockets[ENTRY_FIXTURE_SOCKETS]);
/*
 * entry_fixture_run_until() runs the loop until met() returns non-zero; fails
 * the test after 20 s. entry_fixture_run_until_ready() does so until each entry
 * instance is ready and knows all backend servers. entry_fixture_run_ms() runs
 * the loop for time_ms.
 */
void entry_fixture_run_until(
    entry_fixture_t *fixture, int (*met)(void *ctx), void *ctx);
void entry_fixture_run_ms(entry_fixture_t *fixture, uint32_t time_ms);
void entry_fixture_run_until_ready(entry_fixture_t *fixture);

/* A request; a header whose field is NULL is not sent. */
typedef struct entry_fixture_request {
	const char *method;
	const char *target;
	const char *id;
	const char *key;
	const char *model;
	const char *body;
} entry_fixture_request_t;

/*
 * entry_fixture_send() starts a request to the entry instance with index entry.
 * response must stay valid until it is freed.
 */
void entry_fixture_send(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response);
/*
 * entry_fixture_send_prompt() starts a request whose prompt has these parts,
 * "ID:TOKENS,ID:TOKENS"; the last one is the request's own.
 */
void entry_fixture_send_prompt(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *parts,
    entry_fixture_response_t *response);
/*
 * entry_fixture_send_resumed() starts a request that continues the stream of
 * request resumes after the event resume_after; both may be NULL.
 */
void entry_fixture_send_resumed(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *resumes,
    const char *resume_after, entry_fixture_response_t *response);
void entry_fixture_call_resumed(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *resumes,
    const char *resume_after, entry_fixture_response_t *response);
/*
 * entry_fixture_call() sends a request and waits until it has ended; fails the
 * test after 20 s. entry_fixture_call_resumed() does the same.
 */
void entry_fixture_call(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, entry_fixture_response_t *response);
/* entry_fixture_call_within() states how long the caller waits, in ms. */
void entry_fixture_call_within(entry_fixture_t *fixture, size_t entry,
    const entry_fixture_request_t *request, const char *deadline_ms,
    entry_fixture_response_t *response);
/* entry_fixture_response_free() also cancels a request that is still open. */
void entry_fixture_response_free(entry_fixture_response_t *response);

#endif
