#include "almondthread/handover.h"

int
at_handover_is_due(const at_handover_t *handover)
{
	const at_successors_t *successors = &handover->successors;

	if (handover->left_ms <=
	    AT_HANDOVER_MARGIN_MS + 2u * (uint64_t)handover->call_ms)
		return 1;
	if (successors->later > 0)
		return 1;
	/* One that has been up for long may be the next to stop. */
	return handover->is_idle && successors->ready > 0 &&
	       successors->leaving == 0;
}
