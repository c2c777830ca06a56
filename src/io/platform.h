/*
 * platform.h - HTTP client of the platform: object API and instance list.
 *
 * The platform's protocol is described in docs/PROTOCOLS.md and is known only
 * to platform.c; other modules use the port that at_platform_store() returns.
 */
#ifndef ALMONDTHREAD_IO_PLATFORM_H
#define ALMONDTHREAD_IO_PLATFORM_H

#include "almondthread/counters.h"
#include "almondthread/ports.h"
#include "almondthread/status.h"
#include "io/httpc.h"

typedef struct at_platform at_platform_t;

/*
 * Called with the text of the instance list, valid during the call, or with
 * NULL if the list still has the known revision. Not called if the platform
 * does not respond.
 */
typedef void (*at_platform_list_t)(void *ctx, const char *text, size_t len);

/* at_platform_new() returns a client, or NULL if out of memory. */
at_platform_t *at_platform_new(struct ev_loop *loop, at_httpc_t *httpc);
/* at_platform_set_counters() has calls counted by kind and result. */
void at_platform_set_counters(at_platform_t *platform, at_counters_t *counters);
/*
 * at_platform_init() sets the platform's "ip:port". Returns AT_OK or
 * AT_INVALID.
 */
at_code_t at_platform_init(
    at_platform_t *platform, const char *address, at_status_t *status);
/* at_platform_delete() cancels the open calls without their callbacks. */
void at_platform_delete(at_platform_t *platform);

/* at_platform_store() returns the object API as a port. */
at_store_t at_platform_store(at_platform_t *platform);

/*
 * at_platform_pause_watch() pauses or resumes the watch on a prefix. A resumed
 * watch first delivers all existing objects.
 */
void at_platform_pause_watch(
    at_platform_t *platform, const char *prefix, int paused);

/*
 * at_platform_fetch_list() requests the instance list once. on_list gets NULL
 * if the list still has known_revision.
 */
void at_platform_fetch_list(at_platform_t *platform, uint64_t known_revision,
    at_platform_list_t on_list, void *ctx);

/*
 * at_platform_age_ms() returns the ms since the last complete response of the
 * platform with a status below 500, or UINT64_MAX if there was none.
 */
uint64_t at_platform_age_ms(const at_platform_t *platform);

#endif
