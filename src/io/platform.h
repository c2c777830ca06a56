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
 * Called with the whole instance list after each change and at least every
 * few seconds while the platform answers.
 */
typedef void (*at_platform_instances_t)(
    void *ctx, const at_instance_t *instances, size_t count);

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

/* at_platform_watch_instances() reads the list from now on. */
void at_platform_watch_instances(
    at_platform_t *platform, at_platform_instances_t on_instances, void *ctx);

/* at_platform_fetch_instances() reads the list once. */
void at_platform_fetch_instances(
    at_platform_t *platform, at_platform_instances_t on_instances, void *ctx);

/*
 * at_platform_age_ms() returns the time since the platform last answered
 * any call, in milliseconds; UINT64_MAX when it never did.
 */
uint64_t at_platform_age_ms(const at_platform_t *platform);

#endif
