/*
 * engine_status.h - requests status reports from engines: their incarnation,
 * resident models and load.
 */
#ifndef ALMONDTHREAD_DAEMON_ENGINE_STATUS_H
#define ALMONDTHREAD_DAEMON_ENGINE_STATUS_H

#include "daemon/node/node.h"

/*
 * at_engine_status_poll() requests a report from every engine that has no call
 * open; from engines of other data centres less often.
 */
void at_engine_status_poll(at_node_t *node);

/* at_engine_status_request() requests a report unless a call is open. */
void at_engine_status_request(at_node_t *node, at_backend_t *backend);

#endif
