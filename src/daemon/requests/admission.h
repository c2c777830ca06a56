/*
 * admission.h - a request is debited to its workspace before it runs, and
 * settled to what it used when it has ended.
 */
#ifndef ALMONDTHREAD_DAEMON_ADMISSION_H
#define ALMONDTHREAD_DAEMON_ADMISSION_H

#include "daemon/requests/exchange.h"

typedef struct at_admissions at_admissions_t;

at_admissions_t *at_admissions_new(at_node_t *node);
/* at_admissions_delete() refuses nothing; waiting requests are forgotten. */
void at_admissions_delete(at_admissions_t *admissions);

#define AT_ADMISSION_WAIT_MS 100u /* longest wait for a grant */

/* Runs a request that was admitted. */
typedef void (*at_admission_run_t)(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec);

/*
 * at_admission_start() runs the request when its workspace's share covers
 * cost_tokens. A request that is short waits at most AT_ADMISSION_WAIT_MS
 * for a grant and is then refused at once with the time to come back. It is
 * settled when the request ends: to what the answer reports, to nothing when
 * it was refused, else to the whole cost.
 */
void at_admission_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, uint64_t cost_tokens,
    at_admission_run_t run);

#endif
