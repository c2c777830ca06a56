/*
 * limits_io.h - the shares of all workspaces' token limits at this instance,
 * connected to the peers, the object API and the configuration.
 */
#ifndef ALMONDTHREAD_DAEMON_LIMITS_IO_H
#define ALMONDTHREAD_DAEMON_LIMITS_IO_H

#include <ev.h>
#include <jansson.h>

#include "almondthread/config.h"
#include "almondthread/counters.h"
#include "almondthread/share_root.h"
#include "io/peers.h"

typedef struct at_limits at_limits_t;

/* at_limits_new() borrows loop and peers. Returns NULL if out of memory. */
at_limits_t *at_limits_new(struct ev_loop *loop, at_peers_t *peers);
void at_limits_set_counters(at_limits_t *limits, at_counters_t *counters);
/* changed is called when waiting requests may have become admissible. */
void at_limits_set_changed(
    at_limits_t *limits, void (*changed)(void *ctx), void *ctx);
/*
 * at_limits_init() joins the fleet's table of shares. store must outlive the
 * object and must not call back after at_limits_delete(). Returns AT_FAILED and
 * sets status if out of memory.
 */
at_code_t at_limits_init(at_limits_t *limits, const at_incarnation_t *self,
    const at_name_t *data_centre, const at_store_t *store, at_status_t *status);
void at_limits_delete(at_limits_t *limits);

/* at_limits_set_config() applies the limits of all workspaces. */
void at_limits_set_config(at_limits_t *limits, const at_config_t *config);
/* at_limits_set_instances() takes over the newest instance list. */
void at_limits_set_instances(
    at_limits_t *limits, const at_instance_t *instances, size_t count);
/*
 * at_limits_leave() gives all shares back. at_limits_has_left() returns
 * non-zero once that is complete.
 */
void at_limits_leave(at_limits_t *limits);
int at_limits_has_left(const at_limits_t *limits);

/*
 * at_limits_is_ready() returns non-zero if the instance has a floor or, 10 s
 * after its start, a lender in its data centre.
 */
int at_limits_is_ready(const at_limits_t *limits);

/*
 * at_limits_admit() debits cost_tokens; see at_share_admit(). Returns
 * AT_ADMIT_INSUFFICIENT for a workspace that has no limit here. *retry_after_ms
 * is the time after which a request that is not admitted may retry.
 */
at_admit_t at_limits_admit(at_limits_t *limits, const char *workspace,
    uint64_t cost_tokens, at_debit_t **debit, uint32_t *retry_after_ms);
/*
 * at_limits_settle() ends a debit; used_tokens replaces its cost. It does
 * nothing if the workspace has no share here.
 */
void at_limits_settle(at_limits_t *limits, const char *workspace,
    at_debit_t *debit, uint64_t used_tokens);

/* at_limits_status() returns a new JSON array with an object per workspace. */
json_t *at_limits_status(const at_limits_t *limits);

#endif
