/*
 * placement_io.h - placement of one data centre as one instance does it: the
 * lease, the orders and the planner over the platform, the engines and peers.
 *
 * Every instance runs it; only the holder of the lease plans and sends. An
 * instance that stops hands the lease over.
 */
#ifndef ALMONDTHREAD_DAEMON_PLACEMENT_IO_H
#define ALMONDTHREAD_DAEMON_PLACEMENT_IO_H

#include <jansson.h>

#include "almondthread/config.h"
#include "almondthread/engine_view.h"
#include "almondthread/status.h"

struct at_node;

typedef struct at_placement_io at_placement_io_t;

at_placement_io_t *at_placement_io_new(struct at_node *node);
/* at_placement_io_init() starts when name, store and peers are there. */
void at_placement_io_init(at_placement_io_t *io);
/* at_placement_io_delete() drops open transfers; it goes before httpc. */
void at_placement_io_delete(at_placement_io_t *io);

/* at_placement_io_configure() takes over the configuration in force. */
void at_placement_io_configure(
    at_placement_io_t *io, const at_config_t *config);
/* at_placement_io_instances() tells that the instance list was read. */
void at_placement_io_instances(at_placement_io_t *io);
/* at_placement_io_apply_report() takes an engine's report. */
void at_placement_io_apply_report(at_placement_io_t *io, const char *engine,
    uint64_t asked_at_ms, const at_engine_view_t *view);
/* at_placement_io_add_demand() counts one request of a caller. */
void at_placement_io_add_demand(
    at_placement_io_t *io, const char *name, uint64_t tokens);

/* at_placement_io_release() hands the lease over; no order follows. */
void at_placement_io_release(at_placement_io_t *io);

/* Each returns a new object for operators. */
json_t *at_placement_io_status(const at_placement_io_t *io);
json_t *at_placement_io_explain(const at_placement_io_t *io, const char *name);

#endif
