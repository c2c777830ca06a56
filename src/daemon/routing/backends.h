/*
 * backends.h - table of the backend servers (engines and plain services), with
 * data from the instance list, the engines' reports and this instance's
 * requests.
 */
#ifndef ALMONDTHREAD_DAEMON_BACKENDS_H
#define ALMONDTHREAD_DAEMON_BACKENDS_H

#include "almondthread/budget.h"
#include "almondthread/engine_view.h"
#include "almondthread/ports.h"

typedef struct at_backend {
	at_instance_t instance;
	at_engine_view_t view; /* engines only */
	uint32_t outstanding;  /* requests of this instance in flight */
	uint32_t failures;     /* consecutive */
	int is_listed;         /* it is in the newest instance list */
	int is_polling;        /* a status call or a probe is open */
	at_budget_t budget;    /* limits retries sent to it */
	int is_down;           /* a connection failed; the crash is noted */
	int is_excluded;       /* not for the request being placed */
	uint64_t avoid_pool_until_ms; /* until then new connections only */
} at_backend_t;

typedef struct at_backends at_backends_t;

/* at_backends_new() returns an empty table, or NULL if out of memory. */
at_backends_t *at_backends_new(void);
void at_backends_delete(at_backends_t *backends);

/* on_remove is called for each backend server before it is removed. */
void at_backends_set_remove_handler(at_backends_t *backends,
    void (*on_remove)(void *ctx, at_backend_t *backend), void *ctx);

/*
 * at_backends_update() applies the newest instance list. A backend server that
 * is not listed is removed when it has no request and no status call open.
 */
void at_backends_update(
    at_backends_t *backends, const at_instance_t *instances, size_t count);

/* at_backends_find() returns a backend server by name, or NULL. */
at_backend_t *at_backends_find(at_backends_t *backends, const char *name);

/* at_backends_each() visits every backend server. */
void at_backends_each(at_backends_t *backends,
    void (*visit)(void *ctx, at_backend_t *backend), void *ctx);

/*
 * at_backends_choose() returns the least loaded backend server of a plain
 * service, or NULL if there is none. Those in data_centre are preferred. avoid,
 * which may be NULL, is chosen only if there is no other. Engines are chosen by
 * the router (routing.h).
 */
at_backend_t *at_backends_choose(at_backends_t *backends, const char *service,
    const at_name_t *data_centre, const at_name_t *avoid);

#endif
