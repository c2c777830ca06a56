/*
 * platform.h - the platform over HTTP: object API and instance list.
 *
 * This is the only file that knows the platform's protocol, which is
 * described in docs/PROTOCOLS.md; the rest uses the ports it returns.
 */
#ifndef ALMONDTHREAD_IO_PLATFORM_H
#define ALMONDTHREAD_IO_PLATFORM_H

#include "almondthread/counters.h"
#include "almondthread/ports.h"
#include "almondthread/status.h"
#include "io/httpc.h"

typedef struct at_platform at_platform_t;

/*
 * Called with the instance list's text, or with NULL when its revision is
 * the known one; not called when the platform did not answer.
 */
typedef void (*at_platform_list_t)(void *ctx, const char *text, size_t len);

at_platform_t *at_platform_new(struct ev_loop *loop, at_httpc_t *httpc);
/* at_platform_set_counters() counts calls by kind and result. */
void at_platform_set_counters(at_platform_t *platform, at_counters_t *counters);
/* at_platform_init() takes the platform's "ip:port". */
at_code_t at_platform_init(
    at_platform_t *platform, const char *address, at_status_t *status);
/* at_platform_delete() drops open calls without their callbacks. */
void at_platform_delete(at_platform_t *platform);

/* at_platform_store() returns the object API's port. */
at_store_t at_platform_store(at_platform_t *platform);

/*
 * at_platform_pause_watch() stops or resumes the watch on a prefix. A resumed
 * watch replays what exists.
 */
void at_platform_pause_watch(
    at_platform_t *platform, const char *prefix, int paused);

/*
 * at_platform_fetch_list() reads the instance list once, unless it still has
 * the known revision.
 */
void at_platform_fetch_list(at_platform_t *platform, uint64_t known_revision,
    at_platform_list_t on_list, void *ctx);

/*
 * at_platform_age_ms() returns the time since the platform last answered
 * any call, in milliseconds; UINT64_MAX when it never did.
 */
uint64_t at_platform_age_ms(const at_platform_t *platform);

#endif
