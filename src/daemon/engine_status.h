/*
 * engine_status.h - reads the engines' own reports of what they hold.
 */
#ifndef ALMONDTHREAD_DAEMON_ENGINE_STATUS_H
#define ALMONDTHREAD_DAEMON_ENGINE_STATUS_H

#include "daemon/node.h"

/* at_engine_status_poll() asks every engine that has no call open. */
void at_engine_status_poll(at_node_t *node);

#endif
