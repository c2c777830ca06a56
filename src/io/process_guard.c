#include "io/process_guard.h"

#include <assert.h>
#include <inttypes.h>
#include <sys/socket.h>

#include "almondthread/log.h"
#include "io/clock.h"
#include "io/machine.h"
#include "io/resident.h"

#define KERNEL_CHECK_MS 1000u
/* Requests of operators have no body that matters. */
#define OPERATOR_BODY_MAX_BYTES 4096u
#define BYTES_PER_MB_SHIFT 20u
/* Of a request that runs or waits. */
#define REQUEST_BYTES (16u << 10)

void
at_process_guard_init(at_process_guard_t *guard, uint32_t descriptors,
    uint32_t memory_mb, at_httpc_t *httpc)
{
	at_process_limits_t *limits = &guard->limits;
	uint64_t memory_bytes = memory_mb == 0
				    ? at_machine_memory("")
				    : (uint64_t)memory_mb << BYTES_PER_MB_SHIFT;

	at_process_limits_divide(
	    limits, at_machine_descriptors(descriptors), memory_bytes);
	at_memory_init(&guard->memory, limits->memory_bytes);
	guard->httpc = httpc;
	at_httpc_set_open_max(httpc, limits->outgoing);
	at_httpc_set_memory(httpc, &guard->memory);
	at_log(AT_LOG_INFO, "limits", NULL,
	    "descriptors=%zu of %u set, callers=%zu peers=%zu operators=%zu "
	    "outgoing=%zu memory_bytes=%" PRIu64 " of %u MiB set, buffers=%zu",
	    limits->descriptors, descriptors, limits->callers, limits->peers,
	    limits->operators, limits->outgoing, limits->memory_bytes,
	    memory_mb, limits->receive_bytes);
}

static size_t
connections_of(const at_process_limits_t *limits, at_guard_kind_t kind)
{
	switch (kind) {
	case AT_GUARD_CALLERS:
		return limits->callers;
	case AT_GUARD_PEERS:
		return limits->peers;
	case AT_GUARD_OPERATORS:
		break;
	}
	return limits->operators;
}

void
at_process_guard_add(
    at_process_guard_t *guard, at_httpd_t *httpd, at_guard_kind_t kind)
{
	const at_process_limits_t *limits = &guard->limits;

	assert(guard->server_count < AT_GUARD_SERVERS_MAX);
	guard->servers[guard->server_count++] = httpd;
	at_httpd_set_memory(httpd, &guard->memory);
	at_httpd_set_connections_max(httpd, connections_of(limits, kind));
	at_httpd_set_socket_buffers(
	    httpd, limits->receive_bytes, limits->send_bytes);
	at_httpd_set_waiting_buffer(httpd, limits->waiting_bytes);
	if (limits->backlog < SOMAXCONN)
		at_httpd_set_backlog(httpd, (int)limits->backlog);
	if (kind != AT_GUARD_OPERATORS) {
		at_httpd_set_request_bytes(httpd, REQUEST_BYTES);
		return;
	}
	/* A check sends its request at once, and has few connections. */
	at_httpd_set_give_way(httpd, 0);
	at_httpd_set_max_body(httpd, OPERATOR_BODY_MAX_BYTES);
}

/* What the kernel holds is counted once a second: a call a connection. */
static void
count_kernel(at_process_guard_t *guard, uint64_t now_ms)
{
	uint64_t bytes = 0;
	size_t i;

	if (now_ms < guard->kernel_checked_ms + KERNEL_CHECK_MS)
		return;
	guard->kernel_checked_ms = now_ms;
	for (i = 0; i < guard->server_count; i++)
		bytes += at_httpd_kernel_bytes(guard->servers[i]);
	if (guard->httpc != NULL)
		bytes += at_httpc_unread_bytes(guard->httpc);
	at_memory_set_kernel(&guard->memory, bytes);
}

static void
log_change(const at_memory_t *memory, int change)
{
	at_log(AT_LOG_WARN, "memory", NULL,
	    "%s used=%" PRIu64 " limit=%" PRIu64 " bodies=%" PRIu64
	    " responses=%" PRIu64 " connections=%" PRIu64 " kernel=%" PRIu64
	    " other=%" PRIu64 " refused=%" PRIu64 " closed=%" PRIu64,
	    change > 0
		? "short of memory; large or less urgent bodies are refused"
		: "enough memory again; no body is refused",
	    at_memory_used(memory), memory->limit,
	    memory->held[AT_MEMORY_BODIES], memory->held[AT_MEMORY_RESPONSES],
	    memory->held[AT_MEMORY_CONNECTIONS], memory->held[AT_MEMORY_KERNEL],
	    memory->held[AT_MEMORY_OTHER], memory->refused_total,
	    memory->closed_total);
}

void
at_process_guard_check(at_process_guard_t *guard)
{
	at_memory_t *memory = &guard->memory;
	uint64_t now_ms = at_clock_now_ms();
	int change;
	size_t i;

	count_kernel(guard, now_ms);
	at_memory_set_resident(memory, at_resident_bytes());
	for (i = 0; i < guard->server_count; i++)
		at_httpd_relieve(guard->servers[i]);
	change = at_memory_tick(memory, now_ms);
	if (change != 0)
		log_change(memory, change);
}

void
at_process_guard_count(const at_process_guard_t *guard, at_counters_t *counters)
{
	const at_memory_t *memory = &guard->memory;
	at_httpd_closed_counts_t closed = {0};
	size_t i;

	at_counters_set(
	    counters, "memory_limit_bytes", NULL, NULL, memory->limit);
	at_counters_set(counters, "memory_refused_total", NULL, NULL,
	    memory->refused_total);
	at_counters_set(
	    counters, "memory_closed_total", NULL, NULL, memory->closed_total);
	at_counters_set(
	    counters, "memory_paused_total", NULL, NULL, memory->paused_total);
	for (i = 0; i < AT_MEMORY_KIND_COUNT; i++)
		at_counters_set(counters, "memory_bytes", "kind",
		    at_memory_kind_names[i], memory->held[i]);
	for (i = 0; i < guard->server_count; i++)
		at_httpd_add_closed(guard->servers[i], &closed);
	at_counters_set(counters, "connections_closed_total", "reason",
	    "gave_way", closed.gave_way);
	at_counters_set(counters, "connections_closed_total", "reason",
	    "late_headers", closed.late_headers);
}
