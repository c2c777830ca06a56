/*
 * readiness.h - the balancer's readiness check and the counters, over HTTP:
 * GET /readyz returns 200 while callers should be sent here, else 503;
 * GET /metrics returns the counters as Prometheus text.
 */
#ifndef ALMONDTHREAD_ENTRY_READINESS_H
#define ALMONDTHREAD_ENTRY_READINESS_H

#include <ev.h>

#include "almondthread/counters.h"
#include "entry/base/entry_settings.h"
#include "io/process_guard.h"

typedef struct at_readiness at_readiness_t;

/* What it needs, borrowed. */
typedef struct at_readiness_deps {
	struct ev_loop *loop;
	at_counters_t *counters;
	const at_entry_settings_t *settings;
	at_process_guard_t *guard;
	/* Non-zero if callers should be sent here. */
	int (*is_ready)(void *ctx);
	/* Sets the counters that are present values. */
	void (*set_values)(void *ctx);
	void *ctx;
} at_readiness_deps_t;

/* at_readiness_new() returns NULL if out of memory. */
at_readiness_t *at_readiness_new(const at_readiness_deps_t *deps);
/*
 * at_readiness_init() binds the addresses of the settings. Returns the
 * code of at_httpd_init().
 */
at_code_t at_readiness_init(at_readiness_t *readiness, at_status_t *status);
void at_readiness_delete(at_readiness_t *readiness);

#endif
