/*
 * call.h - one caller's request: admitted, placed, sent, and answered once.
 */
#ifndef ALMONDTHREAD_ENTRY_CALL_H
#define ALMONDTHREAD_ENTRY_CALL_H

#include "entry/entry.h"

/* Handlers of the callers' HTTP; ctx is the entry. */
void at_call_handle(void *ctx, at_httpd_request_t *request);
void at_call_handle_fault(void *ctx, at_httpd_request_t *request);

/* at_calls_place() sends what waits and finds room now. */
void at_calls_place(at_entry_t *entry);
/* at_calls_expire() refuses what has waited long enough. */
void at_calls_expire(at_entry_t *entry);
/* at_calls_refuse_waiting() refuses all that waits: the process stops. */
void at_calls_refuse_queued(at_entry_t *entry);
/* at_calls_abandon() answers all that is open as far as it can be. */
void at_calls_abandon(at_entry_t *entry);
/* at_calls_delete() ends what is open; callers are not answered. */
void at_calls_delete(at_entry_t *entry);

#endif
