#include "almondthread/stop_plan.h"

/* Returns non-zero if this instance is needed beside those that serve. */
static int
is_needed(const at_presence_t *presence, uint32_t total)
{
	return 2u * (presence->ready + presence->outlast) < total;
}

static void
note_total(uint32_t *total, const at_presence_t *presence)
{
	if (presence->total > *total)
		*total = presence->total;
}

at_stop_step_t
at_stop_next(at_stop_t *stop, const at_stop_view_t *view)
{
	note_total(&stop->near_total, &view->near);
	note_total(&stop->all_total, &view->all);
	if (view->left_ms <= AT_STOP_RESERVE_MS)
		return AT_STOP_CLOSE;
	if (view->waited_ms < AT_STOP_DRAIN_MS)
		return AT_STOP_DRAIN;
	if (stop->all_total > 1 && is_needed(&view->all, stop->all_total))
		return AT_STOP_LINGER;
	/*
	 * Where none of a data centre is ready, its callers are sent to the
	 * others; where few are, also to those that are not.
	 */
	return view->near.ready > 0 && is_needed(&view->near, stop->near_total)
		   ? AT_STOP_LINGER
		   : AT_STOP_CLOSE;
}
