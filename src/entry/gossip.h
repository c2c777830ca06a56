/*
 * gossip.h - reports between entry instances, one datagram each: loads at
 * backend servers, spending of workspaces, demand for models, and what the
 * holder of the lease has done with adapters.
 *
 * A datagram is a 16-byte keyed hash under the fleet's secret, then a Report
 * (proto/report.proto). One that is lost costs nothing: the next one carries
 * all of it again. Datagrams are used since a link that is cut, frozen or
 * silent then holds nothing back.
 */
#ifndef ALMONDTHREAD_ENTRY_GOSSIP_H
#define ALMONDTHREAD_ENTRY_GOSSIP_H

#include <jansson.h>

#include "entry/entry.h"

at_gossip_t *at_gossip_new(at_entry_t *entry);
at_code_t at_gossip_init(at_gossip_t *gossip, at_status_t *status);
void at_gossip_delete(at_gossip_t *gossip);
/* at_gossip_soon() sends all a report within a few milliseconds. */
void at_gossip_send_soon(at_gossip_t *gossip);
/* at_gossip_want() tells the holder of the lease what is waited for. */
void at_gossip_send_demand_soon(at_gossip_t *gossip);
/*
 * at_gossip_tell_server() tells the instances of this data centre what the
 * list says of a backend server; spec is NULL when it is gone. What is told
 * together goes out together.
 */
void at_gossip_send_server(at_gossip_t *gossip, const char *name,
    uint64_t version, const json_t *spec);
/*
 * at_gossip_tell_config() tells them a configuration that was read. Where the
 * link is narrow or the configuration large it tells nothing, and each of them
 * reads it itself.
 */
void at_gossip_send_config(at_gossip_t *gossip, const char *name,
    uint64_t version, const json_t *spec);
/* at_gossip_leave() tells every instance that this one is leaving. */
void at_gossip_send_leaving(at_gossip_t *gossip);

#endif
