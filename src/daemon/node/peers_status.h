/*
 * peers_status.h - state of the peers and of the configuration and the instance
 * list, for operators.
 */
#ifndef ALMONDTHREAD_DAEMON_PEERS_STATUS_H
#define ALMONDTHREAD_DAEMON_PEERS_STATUS_H

#include <jansson.h>

#include "daemon/node/node.h"

/* at_peers_status_add() adds the state to root, a JSON object. */
void at_peers_status_add(at_node_t *node, json_t *root);

#endif
