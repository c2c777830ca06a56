/*
 * holds.c - servers that are held for requests which go on with streams. New
 * requests can begin at any version, and would take all slots of the few
 * servers that are left of one which is replaced.
 */
#include <string.h>

#include "core/fleet/fleet_private.h"

void
at_fleet_set_holds(at_fleet_t *fleet, const at_hold_t *holds, size_t count)
{
	fleet->hold_count = count < AT_HOLDS_MAX ? count : AT_HOLDS_MAX;
	if (fleet->hold_count > 0)
		memcpy(fleet->holds, holds, fleet->hold_count * sizeof(*holds));
}

int
fleet_is_held(
    const at_fleet_t *fleet, at_server_t *server, const at_work_t *work)
{
	size_t i;

	if (work->is_resumption)
		return 0;
	for (i = 0; i < fleet->hold_count; i++) {
		const at_hold_t *hold = &fleet->holds[i];

		if (server->entry.software == hold->software &&
		    work->priority >= hold->priority &&
		    (hold->model == 0 ||
			at_server_has_resident(server, hold->model, 0)))
			return 1;
	}
	return 0;
}
