/*
 * engine_status.h - reads the engines' own reports of what they hold.
 */
#ifndef ALMONDTHREAD_DAEMON_ENGINE_STATUS_H
#define ALMONDTHREAD_DAEMON_ENGINE_STATUS_H

#include "daemon/node/node.h"

/* at_engine_status_poll() asks every engine that has no call open. */
void at_engine_status_poll(at_node_t *node);

/* at_engine_status_request() asks one engine at once. */
void at_engine_status_request(at_node_t *node, at_backend_t *backend);

#endif
