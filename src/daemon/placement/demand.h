/*
 * demand.h - counts requests and tokens for each model and adapter between two
 * messages to the candidates for the placement lease.
 */
#ifndef ALMONDTHREAD_DAEMON_DEMAND_H
#define ALMONDTHREAD_DAEMON_DEMAND_H

#include "almondthread/placement.h"
#include "io/peers.h"

typedef struct at_demand at_demand_t;

/* at_demand_new() returns NULL if out of memory. */
at_demand_t *at_demand_new(void);
void at_demand_delete(at_demand_t *demand);
/* at_demand_add() counts one request; it is dropped if out of memory. */
void at_demand_add(at_demand_t *demand, const char *name, uint64_t tokens);

/*
 * at_demand_flush() adds the counts to planner, if it is not NULL, sends them
 * to the count peers in names, and resets them.
 */
void at_demand_flush(at_demand_t *demand, at_placement_t *planner,
    at_peers_t *peers, const at_name_t *const *names, size_t count);

/*
 * at_demand_apply_message() adds the demand in a peer's message to placement.
 */
void at_demand_apply_message(
    at_placement_t *placement, const void *data, size_t len);

#endif
