/*
 * crashes.h - joins the suspects of the core to this instance: what is in
 * flight, what crashed, the other instances and the operators.
 */
#ifndef ALMONDTHREAD_DAEMON_CRASHES_H
#define ALMONDTHREAD_DAEMON_CRASHES_H

#include <jansson.h>

#include "daemon/node/node.h"

/* at_crashes_new() makes node->suspects; call it before at_peers_init(). */
at_code_t at_crashes_new(at_node_t *node);
/* at_crashes_start() begins to judge crashes as time passes. */
void at_crashes_start(at_node_t *node);
void at_crashes_delete(at_node_t *node);

/*
 * at_crashes_note_connection_lost() says that a connection to a backend server
 * was lost. A plain service tells no incarnation: whether it still takes
 * connections is looked up at once; an engine is asked for a report.
 */
void at_crashes_note_connection_lost(at_node_t *node, at_backend_t *backend);
/* at_crashes_note_unreachable() says that no connection to a backend server is
 * made. */
void at_crashes_note_unreachable(at_node_t *node, at_backend_t *backend);
/*
 * at_crashes_apply_report() takes an engine's own report, asked for at
 * asked_ms; incarnation is 0 when the engine tells none.
 */
void at_crashes_apply_report(at_node_t *node, at_backend_t *backend,
    uint64_t incarnation, uint64_t asked_ms);

/* at_crashes_exclude_backends() marks the backend servers where a request may
 * not run. */
void at_crashes_exclude_backends(
    at_node_t *node, const at_fingerprint_t *fingerprint);
/* at_crashes_include_backends() takes the marks away. */
void at_crashes_include_backends(at_node_t *node);

/* at_crashes_list() returns a new JSON array of all that is not clear. */
json_t *at_crashes_list(at_node_t *node);
/* at_crashes_lift() returns 0, or -1 when text names nothing known. */
int at_crashes_lift(at_node_t *node, const char *text);

#endif
