/*
 * backends.h - what this instance knows of backend servers: engines and
 * plain services, from the instance list and the engines' own reports.
 */
#ifndef ALMONDTHREAD_DAEMON_BACKENDS_H
#define ALMONDTHREAD_DAEMON_BACKENDS_H

#include "almondthread/budget.h"
#include "almondthread/engine_view.h"
#include "almondthread/ports.h"

typedef struct at_backend {
	at_instance_t instance;
	at_engine_view_t view; /* engines only */
	uint32_t outstanding;  /* our own requests in flight */
	uint32_t failures;     /* in a row */
	int is_listed;         /* in the newest instance list */
	int is_polling;        /* a status call is open */
	at_budget_t budget;    /* of retries sent to it */
	int is_down;           /* no connection is made; a crash was noted */
	int is_excluded;       /* not for the request at hand */
	uint64_t avoid_pool_until_ms; /* until then ride no pooled connection */
} at_backend_t;

typedef struct at_backends at_backends_t;

at_backends_t *at_backends_new(void);
void at_backends_delete(at_backends_t *backends);

/* Called for each backend server before it is forgotten. */
void at_backends_set_remove_handler(at_backends_t *backends,
    void (*forget)(void *ctx, at_backend_t *backend), void *ctx);

/* at_backends_update() takes over the newest instance list. */
void at_backends_update(
    at_backends_t *backends, const at_instance_t *instances, size_t count);

/* at_backends_find() returns a backend server by name, or NULL. */
at_backend_t *at_backends_find(at_backends_t *backends, const char *name);

/* at_backends_each() visits every backend server. */
void at_backends_each(at_backends_t *backends,
    void (*visit)(void *ctx, at_backend_t *backend), void *ctx);

/*
 * at_backends_choose() returns the least loaded backend server of a plain
 * service. Own data centre goes first; avoid is skipped where there is
 * another. NULL when there is none. Engines are the router's.
 */
at_backend_t *at_backends_choose(at_backends_t *backends, const char *service,
    const at_name_t *data_centre, const at_name_t *avoid);

#endif
