/*
 * explain.h - answers operators' questions about one request or one model.
 */
#ifndef ALMONDTHREAD_DAEMON_EXPLAIN_H
#define ALMONDTHREAD_DAEMON_EXPLAIN_H

#include "daemon/node/node.h"

/*
 * at_explain_handle() answers /explain?request=ID with the refusal's reason
 * and verdict, or /explain?model=NAME with where a model or adapter sits.
 */
void at_explain_handle(at_node_t *node, at_httpd_request_t *request);

#endif
