/*
 * readiness.h - the balancer's readiness check and the counters, over HTTP:
 * GET /readyz answers 200 while callers should be sent here, else 503;
 * GET /metrics answers Prometheus text.
 */
#ifndef ALMONDTHREAD_ENTRY_READINESS_H
#define ALMONDTHREAD_ENTRY_READINESS_H

#include "entry/entry.h"

at_ready_t *at_ready_new(at_entry_t *entry);
at_code_t at_ready_init(at_ready_t *ready, at_status_t *status);
void at_ready_delete(at_ready_t *ready);

#endif
