/*
 * peers_status.h - this instance's view of its peers and of the documents it
 * holds, for operators.
 */
#ifndef ALMONDTHREAD_DAEMON_PEERS_STATUS_H
#define ALMONDTHREAD_DAEMON_PEERS_STATUS_H

#include <jansson.h>

#include "daemon/node/node.h"

/* at_peers_status_add() sets the fields of the view in root. */
void at_peers_status_add(at_node_t *node, json_t *root);

#endif
