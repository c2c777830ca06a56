/*
 * crashes.h - detects crashes of backend servers and connects the suspects
 * (almondthread/suspects.h) to the peers and to operators' calls.
 */
#ifndef ALMONDTHREAD_DAEMON_CRASHES_H
#define ALMONDTHREAD_DAEMON_CRASHES_H

#include <jansson.h>

#include "daemon/node/node.h"

/*
 * at_crashes_new() creates node->suspects; call it before at_peers_init().
 * Returns AT_EXHAUSTED if out of memory.
 */
at_code_t at_crashes_new(at_node_t *node);
/* at_crashes_start() starts the timer that decides on suspects. */
void at_crashes_start(at_node_t *node);
void at_crashes_delete(at_node_t *node);

/*
 * at_crashes_note_connection_lost() checks whether a backend server crashed
 * after a connection to it was lost. An engine is sent a status request. A
 * plain service reports no incarnation: a new connection to it is tried.
 */
void at_crashes_note_connection_lost(at_node_t *node, at_backend_t *backend);
/*
 * at_crashes_note_unreachable() counts a failed connection as a crash, once
 * until the backend server responds again.
 */
void at_crashes_note_unreachable(at_node_t *node, at_backend_t *backend);
/*
 * at_crashes_apply_report() applies proof that a backend server runs, which was
 * requested at requested_ms. incarnation is 0 if the backend server reports
 * none; a changed incarnation counts as a crash.
 */
void at_crashes_apply_report(at_node_t *node, at_backend_t *backend,
    uint64_t incarnation, uint64_t requested_ms);

/*
 * at_crashes_exclude_backends() marks the backend servers on which the request
 * may not run because of suspects.
 */
void at_crashes_exclude_backends(
    at_node_t *node, const at_fingerprint_t *fingerprint);
/* at_crashes_include_backends() removes the marks. */
void at_crashes_include_backends(at_node_t *node);

/* at_crashes_list() returns a new JSON array of the suspects. */
json_t *at_crashes_list(at_node_t *node);
/*
 * at_crashes_lift() lifts the suspicion of the fingerprint in text. Returns 0,
 * or -1 if text is not the fingerprint of a suspect.
 */
int at_crashes_lift(at_node_t *node, const char *text);

#endif
