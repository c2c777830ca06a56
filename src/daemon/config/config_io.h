/*
 * config_io.h - how an instance comes by the configuration and the instance
 * list. Two readers in each data centre, found by rendezvous hashing, watch
 * the platform; the others learn from peers. An instance that no peer tells
 * that it is up to date reads by itself, ever more slowly.
 */
#ifndef ALMONDTHREAD_DAEMON_CONFIG_IO_H
#define ALMONDTHREAD_DAEMON_CONFIG_IO_H

#include "almondthread/config.h"
#include "io/peers.h"
#include "io/platform.h"

#define AT_READERS 2u           /* in each data centre */
#define AT_READER_ROLE "reader" /* key of at_peers_owner() */

typedef struct at_config_io at_config_io_t;

/* Called with each new configuration, which the callee takes over. */
typedef void (*at_config_io_config_t)(void *ctx, at_config_t *config);
/* Called with each new instance list, borrowed for the call. */
typedef void (*at_config_io_instances_t)(
    void *ctx, const at_instance_t *instances, size_t count);

/* peers and platform are borrowed; the set functions come before init. */
at_config_io_t *at_config_io_new(
    struct ev_loop *loop, at_peers_t *peers, at_platform_t *platform);
void at_config_io_set_self(at_config_io_t *io, const at_name_t *instance,
    const at_name_t *data_centre);
void at_config_io_set_counters(at_config_io_t *io, at_counters_t *counters);
void at_config_io_set_events(at_config_io_t *io,
    at_config_io_config_t on_config, at_config_io_instances_t on_instances,
    void *ctx);
/* at_config_io_init() takes over the heartbeat callback of peers. */
void at_config_io_init(at_config_io_t *io);
void at_config_io_delete(at_config_io_t *io);

/* at_config_io_is_reader() tells whether this instance is a reader. */
int at_config_io_is_reader(const at_config_io_t *io);
/*
 * at_config_io_age_ms() returns the time since the platform was last known
 * to hold nothing newer than the configuration in force, by this instance's
 * own call or by the word of a peer that made one; UINT64_MAX when never.
 */
uint64_t at_config_io_age_ms(const at_config_io_t *io);
/*
 * at_config_io_rejected_version() returns the newest generation refused, or 0.
 */
uint64_t at_config_io_rejected_version(const at_config_io_t *io);
/* at_config_io_list_revision() returns the instance list's revision. */
uint64_t at_config_io_list_revision(const at_config_io_t *io);

#endif
