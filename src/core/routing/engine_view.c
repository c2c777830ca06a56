#include "almondthread/engine_view.h"

#include <string.h>

const char *const at_engine_role_names[] = {"both", "prefill", "decode"};

int
at_engine_view_is_serving(const at_engine_view_t *view, const char *name)
{
	size_t i;

	for (i = 0; i < view->resident_count; i++) {
		const at_resident_t *resident = &view->residents[i];
		const char *served = resident->adapter.text[0]
					 ? resident->adapter.text
					 : resident->model.text;

		if (!resident->in_transition && strcmp(served, name) == 0)
			return 1;
	}
	return 0;
}
