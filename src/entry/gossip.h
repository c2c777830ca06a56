/*
 * gossip.h - reports between entry instances, one datagram each: loads of
 * backend servers, quota usage of workspaces, demand for models, origins of
 * streams, and the changes to models and adapters that the holder of the lease
 * has ordered.
 *
 * A datagram is a 16-byte keyed hash under the fleet's secret, then a Report
 * (proto/report.proto). Reports repeat their contents, so that the next one
 * makes up for one that is lost. With datagrams, a link that is cut, frozen or
 * silent does not delay the others.
 */
#ifndef ALMONDTHREAD_ENTRY_GOSSIP_H
#define ALMONDTHREAD_ENTRY_GOSSIP_H

#include "almondthread/report_paths.h"
#include "entry/config_text.h"
#include "entry/entry.h"

/* at_gossip_new() returns NULL if out of memory. */
at_gossip_t *at_gossip_new(at_entry_t *entry);
/*
 * at_gossip_init() binds the socket and starts the periodic reports. Returns
 * AT_INVALID for a malformed address and AT_FAILED when it cannot be bound.
 */
at_code_t at_gossip_init(at_gossip_t *gossip, at_status_t *status);
void at_gossip_delete(at_gossip_t *gossip);
/* at_gossip_send_soon() broadcasts a report within a few milliseconds. */
void at_gossip_send_soon(at_gossip_t *gossip);
/*
 * at_gossip_send_demand_soon() sends the demand and the queued requests to
 * the holder of the lease within a few milliseconds.
 */
void at_gossip_send_demand_soon(at_gossip_t *gossip);
/*
 * at_gossip_send_server() sends a backend server's object in the list to the
 * instances of this data centre; text is NULL when it was deleted. Objects
 * that change within two milliseconds are sent in one report; where they do not
 * fit, those of servers that leave (is_leaving) or were deleted go first.
 */
void at_gossip_send_server(at_gossip_t *gossip, const char *name,
    uint64_t version, const char *text, size_t len, int is_leaving);
/*
 * at_gossip_note_config() takes a newer configuration object. A reader of the
 * platform's lists (is_reader non-zero) sends it to the same instances, as the
 * difference to the one before: in one report if that is small, else in parts.
 */
void at_gossip_note_config(at_gossip_t *gossip, const char *name,
    uint64_t version, const char *text, size_t len, int is_reader);
/*
 * at_gossip_send_origins_soon() sends the origins of streams that were noted
 * here to all instances after at_stream_origins_batch_ms().
 */
void at_gossip_send_origins_soon(at_gossip_t *gossip);
/*
 * at_gossip_note_versions() records which software versions the platform lists
 * for each service.
 */
void at_gossip_note_versions(at_gossip_t *gossip);
/*
 * at_gossip_send_crashes_soon() sends crashes, and parts that are accused of
 * one and have begun here, to all instances within a few milliseconds.
 */
void at_gossip_send_crashes_soon(at_gossip_t *gossip);
/*
 * at_gossip_is_listening() returns non-zero until an instance that has started
 * has had the time to receive the reports of the others.
 */
int at_gossip_is_listening(const at_gossip_t *gossip);
/* at_gossip_config_text() returns the text of the configuration in force. */
at_config_text_t *at_gossip_config_text(at_gossip_t *gossip);
/* at_gossip_send_to() sends a report in one datagram. */
void at_gossip_send_to(
    at_gossip_t *gossip, const char *address, const Report *report);
/* at_gossip_paths() returns the ways of the reports. */
at_report_paths_t *at_gossip_paths(at_gossip_t *gossip);
/* at_gossip_send_leaving() tells every instance that this one shuts down. */
void at_gossip_send_leaving(at_gossip_t *gossip);

#endif
