/*
 * process_guard.h - keeps a process within its descriptors and its memory,
 * whatever its clients do: divides both among its servers, keeps the memory
 * account, and has connections give way when it is exceeded.
 */
#ifndef ALMONDTHREAD_IO_PROCESS_GUARD_H
#define ALMONDTHREAD_IO_PROCESS_GUARD_H

#include "almondthread/counters.h"
#include "almondthread/process_limits.h"
#include "io/httpc.h"
#include "io/httpd.h"

#define AT_GUARD_SERVERS_MAX 4u

/* Whose requests a server receives. */
typedef enum at_guard_kind {
	AT_GUARD_CALLERS,
	AT_GUARD_PEERS,    /* other instances */
	AT_GUARD_OPERATORS /* checks, counters and commands, of a few clients */
} at_guard_kind_t;

/* Zeroed by the owner before at_process_guard_init(). */
typedef struct at_process_guard {
	at_process_limits_t limits;
	at_memory_t memory;
	at_httpd_t *servers[AT_GUARD_SERVERS_MAX];
	size_t server_count;
	at_httpc_t *httpc;
	uint64_t kernel_checked_ms;
} at_process_guard_t;

/*
 * at_process_guard_init() takes the settings: how many descriptors the process
 * may have, of which the kernel may grant fewer, and the memory of the machine
 * in MiB; 0: what the kernel grants. httpc is borrowed, and limited.
 */
void at_process_guard_init(at_process_guard_t *guard, uint32_t descriptors,
    uint32_t memory_mb, at_httpc_t *httpc);
/*
 * at_process_guard_add() sets the limits of a server, before at_httpd_init().
 * The server is borrowed until the last at_process_guard_check().
 */
void at_process_guard_add(
    at_process_guard_t *guard, at_httpd_t *httpd, at_guard_kind_t kind);
/*
 * at_process_guard_check() is called several times a second. It logs when the
 * account begins to refuse, and when it has ended.
 */
void at_process_guard_check(at_process_guard_t *guard);
/*
 * at_process_guard_count() sets the counters of the memory and of the
 * connections that were closed.
 */
void at_process_guard_count(
    const at_process_guard_t *guard, at_counters_t *counters);

#endif
