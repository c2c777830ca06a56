/*
 * admission.h - debits a request to its workspace's token limit before it runs
 * and corrects the debit to the tokens used when it has ended.
 */
#ifndef ALMONDTHREAD_DAEMON_ADMISSION_H
#define ALMONDTHREAD_DAEMON_ADMISSION_H

#include "daemon/requests/exchange.h"

typedef struct at_admissions at_admissions_t;

/*
 * at_admissions_new() takes over the change callback of node->limits. Returns
 * NULL if out of memory.
 */
at_admissions_t *at_admissions_new(at_node_t *node);
/* at_admissions_delete() drops waiting requests without a response. */
void at_admissions_delete(at_admissions_t *admissions);

#define AT_ADMISSION_WAIT_MAX_MS 100u /* longest wait for tokens */

/* Runs a request that was admitted. */
typedef void (*at_admission_run_t)(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec);

/*
 * at_admission_start() runs the request if its workspace's share covers
 * cost_tokens. Otherwise the request waits for up to AT_ADMISSION_WAIT_MAX_MS
 * for a loan from another instance, then it is refused with the time after
 * which to retry. When the request ends, the debit is settled: to the tokens
 * that the response reports, to none if the request was refused, else to
 * cost_tokens. A request without a workspace or a cost runs without a debit.
 */
void at_admission_start(at_node_t *node, at_httpd_request_t *request,
    const at_exchange_spec_t *spec, uint64_t cost_tokens,
    at_admission_run_t run);

#endif
