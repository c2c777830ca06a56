#include "almondthread/engine_view.h"

#include <string.h>

const char *const at_engine_role_names[] = {"both", "prefill", "decode"};

int
at_engine_view_is_serving(const at_engine_view_t *view, const char *name)
{
	size_t i;

	for (i = 0; i < view->resident_count; i++) {
		const at_resident_t *r = &view->residents[i];
		const char *own =
		    r->adapter.text[0] ? r->adapter.text : r->model.text;

		if (!r->in_transition && strcmp(own, name) == 0)
			return 1;
	}
	return 0;
}
