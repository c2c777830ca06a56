#include "almondthread/call_head.h"

#include <stdio.h>

at_tag_t
at_call_head_adapter_tag(const at_call_head_t *head)
{
	char text[2 * AT_NAME_SIZE];

	if (head->adapter.text[0] == '\0')
		return 0;
	(void)snprintf(
	    text, sizeof(text), "%s/%s", head->model.text, head->adapter.text);
	return at_tag(text);
}
