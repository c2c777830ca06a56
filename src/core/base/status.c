#include "almondthread/status.h"

#include <stdarg.h>
#include <stdio.h>
#include <string.h>

const char *const at_code_names[] = {"ok", "invalid", "not_found", "conflict",
    "unavailable", "exhausted", "failed"};

void
at_status_clear(at_status_t *status)
{
	memset(status, 0, sizeof(*status));
}

at_code_t
at_status_set(at_status_t *status, at_code_t code, const char *fmt, ...)
{
	va_list ap;

	if (status == NULL)
		return code;
	status->code = code;
	va_start(ap, fmt);
	(void)vsnprintf(status->message, sizeof(status->message), fmt, ap);
	va_end(ap);
	return code;
}
