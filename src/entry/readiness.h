/*
 * readiness.h - the balancer's readiness check and the counters, over HTTP:
 * GET /readyz returns 200 while callers should be sent here, else 503;
 * GET /metrics returns the counters as Prometheus text.
 */
#ifndef ALMONDTHREAD_ENTRY_READINESS_H
#define ALMONDTHREAD_ENTRY_READINESS_H

#include "entry/entry.h"

/* at_readiness_new() returns NULL if out of memory. */
at_readiness_t *at_readiness_new(at_entry_t *entry);
/*
 * at_readiness_init() binds the addresses of the entry's settings. Returns the
 * code of at_httpd_init().
 */
at_code_t at_readiness_init(at_readiness_t *readiness, at_status_t *status);
void at_readiness_delete(at_readiness_t *readiness);

#endif
