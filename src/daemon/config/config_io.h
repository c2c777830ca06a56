/*
 * config_io.h - keeps the configuration and the instance list up to date. Two
 * readers in each data centre, chosen by rendezvous hashing, watch the
 * platform; the other instances get both documents from their peers. An
 * instance whose peers do not confirm that it is up to date reads the platform
 * itself, at increasing intervals.
 */
#ifndef ALMONDTHREAD_DAEMON_CONFIG_IO_H
#define ALMONDTHREAD_DAEMON_CONFIG_IO_H

#include "almondthread/config.h"
#include "io/peers.h"
#include "io/platform.h"

#define AT_READERS_PER_DATA_CENTRE 2u /* instances that read the platform */
#define AT_READER_ROLE "reader"       /* key of at_peers_owner() */

typedef struct at_config_io at_config_io_t;

/* Called with each new configuration, which the callee owns. */
typedef void (*at_config_io_config_t)(void *ctx, at_config_t *config);
/* Called with each new instance list, which is valid during the call only. */
typedef void (*at_config_io_instances_t)(
    void *ctx, const at_instance_t *instances, size_t count);

/*
 * at_config_io_new() borrows its arguments. Returns NULL if out of memory. The
 * set functions must be called before at_config_io_init().
 */
at_config_io_t *at_config_io_new(
    struct ev_loop *loop, at_peers_t *peers, at_platform_t *platform);
void at_config_io_set_self(at_config_io_t *io, const at_name_t *instance,
    const at_name_t *data_centre);
void at_config_io_set_counters(at_config_io_t *io, at_counters_t *counters);
void at_config_io_set_events(at_config_io_t *io,
    at_config_io_config_t on_config, at_config_io_instances_t on_instances,
    void *ctx);
/*
 * at_config_io_init() starts to read the documents, and takes over the
 * heartbeat handler and the AT_PEER_CONFIG handler of peers.
 */
void at_config_io_init(at_config_io_t *io);
void at_config_io_delete(at_config_io_t *io);

/* at_config_io_is_reader() returns non-zero if this instance is a reader. */
int at_config_io_is_reader(const at_config_io_t *io);
/*
 * at_config_io_age_ms() returns the time since the platform last confirmed, to
 * this instance or to a peer that reported it, that the configuration in force
 * is the newest; UINT64_MAX if it never did.
 */
uint64_t at_config_io_age_ms(const at_config_io_t *io);
/*
 * at_config_io_rejected_version() returns the newest generation that was not
 * valid, or 0.
 */
uint64_t at_config_io_rejected_version(const at_config_io_t *io);
/* at_config_io_list_revision() returns the instance list's revision. */
uint64_t at_config_io_list_revision(const at_config_io_t *io);

#endif
