#include "almondthread/request_header.h"

#include <stdio.h>

at_tag_t
at_request_header_model_tag(const at_request_header_t *header)
{
	char text[2 * AT_NAME_SIZE];

	if (header->adapter.text[0] == '\0')
		return 0;
	(void)snprintf(text, sizeof(text), "%s/%s", header->model.text,
	    header->adapter.text);
	return at_tag_from_text(text);
}
