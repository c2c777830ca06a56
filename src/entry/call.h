/*
 * call.h - one request of a caller: it is admitted, placed at a backend
 * server, sent, and gets exactly one response.
 */
#ifndef ALMONDTHREAD_ENTRY_CALL_H
#define ALMONDTHREAD_ENTRY_CALL_H

#include "entry/entry.h"

/*
 * Handlers for the callers' HTTP server; ctx is the entry.
 * at_call_handle_fault() refuses requests that are too large to be read.
 */
void at_call_handle(void *ctx, at_httpd_request_t *request);
void at_call_handle_fault(void *ctx, at_httpd_request_t *request);

/* at_calls_place() dispatches queued requests that have a free slot now. */
void at_calls_place(at_entry_t *entry);
/*
 * at_calls_expire() refuses queued requests whose time limit has passed, unless
 * they can be placed now.
 */
void at_calls_expire(at_entry_t *entry);
/*
 * at_calls_apply_verdicts() refuses the queued requests that have a part which
 * is now blocked or suspect, and ends those with a blocked part that have not
 * begun.
 */
void at_calls_apply_verdicts(at_entry_t *entry);
/*
 * at_calls_refuse_queued() refuses the queued requests whose response has not
 * begun, for the shutdown.
 */
void at_calls_refuse_queued(at_entry_t *entry);
/*
 * at_calls_abandon() ends all open requests. Callers whose response has not
 * begun get a refusal.
 */
void at_calls_abandon(at_entry_t *entry);
/* at_calls_delete() frees all open requests without a response. */
void at_calls_delete(at_entry_t *entry);

#endif
