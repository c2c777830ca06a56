/*
 * placement_io.h - places models and adapters on the engines of this instance's
 * data centre: connects the lease, the orders and the planner to the platform,
 * the engines and the peers.
 *
 * It runs in every instance; only the holder of the data centre's lease plans
 * and sends orders. An instance that stops releases the lease.
 */
#ifndef ALMONDTHREAD_DAEMON_PLACEMENT_IO_H
#define ALMONDTHREAD_DAEMON_PLACEMENT_IO_H

#include <jansson.h>

#include "almondthread/config.h"
#include "almondthread/engine_view.h"
#include "almondthread/status.h"

struct at_node;

typedef struct at_placement_io at_placement_io_t;

/* at_placement_io_new() borrows node. Returns NULL if out of memory. */
at_placement_io_t *at_placement_io_new(struct at_node *node);
/*
 * at_placement_io_init() starts the timer. It is called when node has its name,
 * store and peers.
 */
void at_placement_io_init(at_placement_io_t *io);
/*
 * at_placement_io_delete() cancels open transfers; node->httpc must still
 * exist.
 */
void at_placement_io_delete(at_placement_io_t *io);

/* at_placement_io_configure() borrows config until the next call. */
void at_placement_io_configure(
    at_placement_io_t *io, const at_config_t *config);
/* at_placement_io_update_list() is called after each new instance list. */
void at_placement_io_update_list(at_placement_io_t *io);
/* at_placement_io_apply_report() takes over what an engine has resident. */
void at_placement_io_apply_report(at_placement_io_t *io, const char *engine,
    uint64_t requested_at_ms, const at_engine_view_t *view);
/* at_placement_io_add_demand() counts one request for a model or adapter. */
void at_placement_io_add_demand(
    at_placement_io_t *io, const char *name, uint64_t tokens);

/* at_placement_io_release() releases the lease; no order is sent after it. */
void at_placement_io_release(at_placement_io_t *io);

/*
 * at_placement_io_status() returns the state of the lease and the open orders,
 * at_placement_io_explain() the placement of one model or adapter. Both return
 * a new JSON object for operators.
 */
json_t *at_placement_io_status(const at_placement_io_t *io);
json_t *at_placement_io_explain(const at_placement_io_t *io, const char *name);

#endif
