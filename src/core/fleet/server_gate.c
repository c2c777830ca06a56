/*
 * server_gate.c - whether a request may go to a server now, apart from the
 * server's load. All attempts of all requests pass here.
 */
#include "core/fleet/fleet_private.h"

static int
is_tried(const at_work_t *work, at_tag_t server)
{
	size_t i;

	for (i = 0; i < AT_SITE_ATTEMPTS_MAX; i++) {
		if (work->avoid[i] == server)
			return 1;
	}
	return 0;
}

server_gate_t
server_gate_check(at_server_t *server, const at_work_t *work, uint64_t now_us)
{
	if (!server->is_listed || server->entry.is_leaving ||
	    server->entry.service != work->service ||
	    is_tried(work, server->entry.tag))
		return SERVER_GATE_EXCLUDED;
	if (server->is_evacuated)
		return SERVER_GATE_EVACUATED;
	if (!at_work_allows_region(work, server->region))
		return SERVER_GATE_REGION;
	if (work->software != 0 && server->entry.software != work->software)
		return SERVER_GATE_OTHER_VERSION;
	if (!server_health_allows(
		&server->health, now_us, server->own_load.active))
		return SERVER_GATE_BACKOFF;
	if (now_us < server->paused_until_us ||
	    (server->paused_until_us != 0 && server->own_load.active > 0))
		return SERVER_GATE_PAUSED;
	if (server_cold_is_noted(&server->cold))
		server_cold_settle(server, now_us);
	if (!server_limit_allows(&server->limit, now_us))
		return now_us < server->limit.cold_until_us
			   ? SERVER_GATE_COLD
			   : SERVER_GATE_LIMITED;
	return SERVER_GATE_OPEN;
}
