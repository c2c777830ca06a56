/*
 * explain.h - responds to operators who call /explain for the reason of a
 * refusal or for the placement of a model.
 */
#ifndef ALMONDTHREAD_DAEMON_EXPLAIN_H
#define ALMONDTHREAD_DAEMON_EXPLAIN_H

#include "daemon/node/node.h"

/*
 * at_explain_handle() responds to /explain?request=ID with the reason and the
 * verdict of the refusal, and to /explain?model=NAME with the engines that have
 * the model or adapter resident, the exceptions for it and its placement.
 */
void at_explain_handle(at_node_t *node, at_httpd_request_t *request);

#endif
