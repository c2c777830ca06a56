/*
 * standin.h - stand-ins for the cases in review/: the platform's store,
 * backend servers, clients, and the start of almond-entry as the deploy file
 * has it. All traffic is on loopback. Threads block; there is one for each
 * connection.
 */
#ifndef REVIEW_STANDIN_H
#define REVIEW_STANDIN_H

#include <pthread.h>
#include <stdint.h>
#include <sys/types.h>

#define EXIT_HELD 0    /* the rule held */
#define EXIT_BROKEN 1  /* the rule was broken */
#define EXIT_NOT_RUN 2 /* the case could not run */

/* A message of HTTP/1.1 with its whole body. */
typedef struct message {
	char *head; /* with the empty line */
	char *body;
	size_t body_len;
	int status; /* of a response */
	char method[32];
	char target[1024];
} message_t;

typedef struct conn {
	int fd;
	char *data; /* read and not yet used */
	size_t len;
	size_t size;
} conn_t;

/* A process of almond-entry. */
typedef struct entry {
	char name[64];
	uint16_t port;       /* for clients */
	uint16_t ready_port; /* for /readyz */
	pid_t pid;
} entry_t;

typedef struct server server_t;

/*
 * Called for each request of a server; returns 0 to keep the connection, -1 to
 * close it.
 */
typedef int (*server_handler_t)(
    server_t *server, conn_t *conn, const message_t *request);

struct server {
	char id[64];
	char service[64];
	char version[16];
	char models[256]; /* JSON array */
	uint32_t slots;
	uint16_t port;
	uint64_t born;
	uint64_t sequence;
	server_handler_t handler;
	void *ctx;
	int listen_fd;
	int is_up;
	int fds[1024]; /* open connections; 0: free */
	pthread_mutex_t mutex;
};

/*
 * standin_init() opens record.txt in the folder, and ends the process with
 * EXIT_NOT_RUN when it takes too long. standin_end() ends all processes of
 * almond-entry and this one.
 */
void standin_init(const char *folder);
_Noreturn void standin_end(int code);
int standin_has_trouble(void); /* zero with TROUBLE=0 */
/* record() adds a line to record.txt. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
uint64_t now_ms(void);
void sleep_ms(uint32_t ms);

/* Returns -1 at the end of the connection or after an error. */
int message_read(conn_t *conn, message_t *message);
void message_free(message_t *message);
/* Copies a header's value; returns out, or NULL if there is none. */
char *message_header(
    const message_t *message, const char *name, char *out, size_t size);
int send_all(int fd, const void *data, size_t len);
int send_text(int fd, const char *format, ...)
    __attribute__((format(printf, 2, 3)));
/* connect_to() returns a socket, or -1. */
int connect_to(uint16_t port);
void conn_close(conn_t *conn);

/* The store. era is stated in all answers unless it is 0. */
void store_start(uint64_t era);
void store_put(const char *kind, const char *name, const char *spec);
void store_delete(const char *kind, const char *name);
/*
 * store_copy() takes a copy; store_restore() comes back from it after away_ms,
 * in the next era.
 */
void store_copy(void);
void store_restore(uint32_t away_ms);
uint64_t store_revision(void);

/* Servers, which are listed in the store. */
server_t *server_start(const char *id, const char *service, const char *models,
    uint32_t slots, server_handler_t handler, void *ctx);
/* server_crash() resets all connections and listens again after back_ms. */
void server_crash(server_t *server, uint32_t back_ms);

/* entry_start() starts almond-entry; it is ready when this returns. */
entry_t *entry_start(const char *name, const char *zone);

#endif
