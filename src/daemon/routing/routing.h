/*
 * routing.h - the router at work: feeds it with reports and lists, asks it
 * for each attempt at an engine, and tells it how the attempt went.
 */
#ifndef ALMONDTHREAD_DAEMON_ROUTING_H
#define ALMONDTHREAD_DAEMON_ROUTING_H

#include "daemon/requests/exchange_impl.h"

/* at_routing_apply_report() passes on what an engine reported. */
void at_routing_apply_report(at_node_t *node, const at_backend_t *backend);

/* at_routing_update_list() takes over which engines are listed or leaving. */
void at_routing_update_list(at_node_t *node);

/* at_routing_remove() drops an engine; ctx is the node. */
void at_routing_remove(void *ctx, at_backend_t *backend);

/*
 * at_routing_choose() fills t->choice for an attempt at an engine. Returns
 * AT_REASON_NONE and the backend server, or why there is none.
 */
at_reason_t at_routing_choose(transport_t *t, at_backend_t **backend);

/* The attempt left us, got its first token, ended. */
void at_routing_note_sent(transport_t *t);
void at_routing_note_first_token(transport_t *t);
void at_routing_note_ended(transport_t *t, int failed);

#endif
