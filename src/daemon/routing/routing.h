/*
 * routing.h - connects the router to this instance: passes reports and instance
 * lists to it, lets it choose an engine for each attempt, and notifies it of
 * how the attempt went.
 */
#ifndef ALMONDTHREAD_DAEMON_ROUTING_H
#define ALMONDTHREAD_DAEMON_ROUTING_H

#include "daemon/requests/exchange_impl.h"

/* at_routing_apply_report() passes an engine's report to the router. */
void at_routing_apply_report(at_node_t *node, const at_backend_t *backend);

/* at_routing_update_list() updates which engines get no new requests. */
void at_routing_update_list(at_node_t *node);

/* at_routing_remove() removes an engine; ctx is the node. */
void at_routing_remove(void *ctx, at_backend_t *backend);

/*
 * at_routing_choose() chooses an engine for an attempt and fills t->choice.
 * Returns AT_REASON_NONE and sets *backend, or returns why there is none and
 * sets *backend to NULL.
 */
at_reason_t at_routing_choose(transport_t *transport, at_backend_t **backend);

/*
 * Notify the router that an attempt was sent to its engine, has received its
 * first token, or has ended. They do nothing for a plain service.
 */
void at_routing_note_sent(transport_t *transport);
void at_routing_note_first_token(transport_t *transport);
void at_routing_note_ended(transport_t *transport, int failed);

#endif
