/*
 * world2.h - the surroundings of a few instances of almond-entry on loopback:
 * the platform's store, backend servers, clients, and the processes themselves.
 * Each case has a main() that lets them run and decides on the rule.
 *
 * Stand-ins run on threads of one process; the instances are separate
 * processes, started with the command of the deploy file.
 */
#ifndef REVIEW_WORLD2_H
#define REVIEW_WORLD2_H

#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

#define HEADERS_MAX 40
#define TEXT_MAX 65536
#define INSTANCES_MAX 9
#define SERVERS_MAX 16

/* The record, and time in ms since the start. */
void record_open(const char *path);
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint64_t now_ms(void);
void sleep_ms(uint32_t ms);
void sleep_until(uint64_t at_ms);

/* A message on a connection. */
typedef struct message {
	char start[2048]; /* request or status line */
	char names[HEADERS_MAX][48];
	char values[HEADERS_MAX][512];
	int count;
	char *body;
	size_t len;
	int is_complete;
} message_t;

const char *message_header(const message_t *message, const char *name);
void message_clear(message_t *message);

/* The platform's store. */
typedef struct store store_t;

store_t *store_start(void);
/* An address of its own for an instance, which store_cut() closes. */
const char *store_open(store_t *store, int gate);
/* Calls through the gate get no answer any more; connections stay open. */
void store_cut(store_t *store, int gate);
void store_put(
    store_t *store, const char *kind, const char *name, const char *spec);
/* Time that each answer takes. */
void store_set_delay(store_t *store, uint32_t ms);
/* Calls wait until store_return(); the connections stay open. */
void store_leave(store_t *store);
/* The copy from which the store may come back. */
void store_copy(store_t *store);
/*
 * Ends the absence. With from_copy the store has the state of the copy, states
 * the next Store-Era, and what the operator and the servers wrote since is
 * written again. What waits is answered in the order of its arrival.
 */
void store_return(store_t *store, int from_copy);

/* A backend server, or a model engine if model is set. */
typedef struct server server_t;
typedef struct server_spec {
	const char *id;
	const char *service;
	const char *zone;
	const char *model;   /* NULL: a plain service */
	const char *version; /* of the software */
	uint32_t slots;
	uint32_t work_ms;  /* of a plain request */
	uint32_t event_ms; /* between two events of a stream */
} server_spec_t;

server_t *server_start(const server_spec_t *spec);
void server_list(store_t *store, server_t *server);
/* Called when a request begins to run. */
extern void (*server_on_run)(const server_t *server, const message_t *request);
/*
 * Asked for each stream, before each event: non-zero to reset its connection.
 */
extern int (*server_is_reset)(const server_t *server, const char *id);
/* Events of the stream that answers a request; the case decides. */
extern uint32_t (*server_events_of)(const message_t *request);
const char *server_id(const server_t *server);

/* An instance of almond-entry. */
typedef struct instance {
	char name[48];
	char zone[32];
	char listen[32];
	char ready[32];
	char conf[256];
	char log[256];
	pid_t pid;
	uint64_t started_ms;
	int ended; /* status of a process that ended by itself, plus 1 */
} instance_t;

void instance_add(instance_t *instance, const char *folder, const char *name,
    const char *zone, const char *store);
void instance_start(instance_t *instance);
void instance_signal(const instance_t *instance, int number);
/* Returns non-zero if the process has ended; wait_ms is the longest wait. */
int instance_wait(instance_t *instance, uint32_t wait_ms);
/* Asks as the platform does. */
int instance_is_ready(const instance_t *instance);
int instance_await_ready(const instance_t *instance, uint32_t wait_ms);

/* A client's connection. */
typedef struct client {
	int fd;
	char unread[TEXT_MAX];
	size_t unread_len;
} client_t;

int client_connect(client_t *client, const char *address);
void client_close(client_t *client);
int client_send(client_t *client, const char *text, size_t len);
/* Returns 0 with a whole answer, -1 if the connection ended before its end. */
int client_read(client_t *client, message_t *answer, uint32_t wait_ms);
/* The same, but calls back for each piece of the body. */
int client_read_each(client_t *client, message_t *answer, uint32_t wait_ms,
    int (*on_body)(void *ctx, const char *data, size_t len), void *ctx);
int status_of(const message_t *answer);

/* Ends what was started. */
void world_end(instance_t *instances, int count);
uint16_t free_port(void);
const char *world_folder(void);

#endif
